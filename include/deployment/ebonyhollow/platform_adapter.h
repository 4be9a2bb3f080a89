/* EbPlatformAdapter: a table of functions that translates one platform's wire
 * formats and stored objects.
 *
 * An adapter converts between a platform's formats and the project's types and
 * makes no decisions. Without an adapter the daemon uses the protocols of
 * docs/protocols.md and accepts requests as docs/api.md describes. */
#ifndef EBONYHOLLOW_PLATFORM_ADAPTER_H
#define EBONYHOLLOW_PLATFORM_ADAPTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/store_protocol.h"

/* A backend server's own entry in the platform's store. */
typedef struct {
    char *id;
    char *service;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint32_t slots; /* calls that it runs at once */
    bool leaving;
    /* Identifies one start of the server; 0: unknown. A greater number need
     * not be a later start, since a server's clock may step back. */
    uint64_t incarnation;
    int64_t cold_left_us; /* time that it stays cold; -1: unknown */
} EbServerRegistration;

/* Frees what a registration owns and zeroes it. */
void EbServerRegistration_Clear(EbServerRegistration *registration);

/* Parts of a configuration that can't be used. */
typedef struct {
    uint32_t count;
    EbError first; /* the first of them; valid if there is one */
} EbConfigDefects;

typedef struct {
    const EbForwardProtocol *forward;
    const EbStoreProtocol *store;
    const char *config_kind;  /* kind of the configuration object */
    const char *config_name;  /* its name */
    const char *servers_kind; /* kind of the backend servers' entries */
    const char *daemons_kind; /* kind of the daemons' own entries */
    /* Kind of the objects each of which orders the evacuation of the failure
     * domain that it is named after; NULL: there are none. */
    const char *evacuations_kind;
    /* Reads a server's entry into `registration`, which the caller clears.
     * Returns false with `error` set when the entry does not describe a usable
     * server. */
    bool (*read_server)(const char *name, const json_t *value,
                        EbServerRegistration *registration, EbError *error);
    /* Returns the version that a configuration object states, or 0. */
    uint64_t (*config_version)(const json_t *value);
    /* Reads a configuration for `site`, with the registered servers as the
     * servers of its services. A part that can't be used is left out, or in
     * force in a form that refuses requests, and is counted in `defects`.
     * Returns a configuration with one reference, or NULL with `error` set if
     * the object is no configuration. */
    EbConfig *(*read_config)(const json_t *value, const char *site,
                             const EbServerRegistration *const *registrations,
                             size_t registration_count,
                             EbConfigDefects *defects, EbError *error);
} EbPlatformAdapter;

#endif
