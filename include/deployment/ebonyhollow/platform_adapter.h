/* EbPlatformAdapter: what a deployment's own platform speaks, a table of
 * functions.
 *
 * An adapter translates between the wire of one platform and the project's
 * types and decides nothing. Without one the daemon speaks docs/protocols.md
 * and takes requests as docs/api.md describes. */
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

/* A backend server as it registered itself in the platform's store. */
typedef struct {
    char *id;
    char *service;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint32_t slots; /* calls that it runs at once */
    bool leaving;
} EbServerRegistration;

void EbServerRegistration_Clear(EbServerRegistration *entry);

typedef struct {
    const EbForwardProtocol *forward;
    const EbStoreProtocol *store;
    const char *config_kind; /* of the object with the configuration */
    const char *config_name;
    const char *servers_kind; /* of the entries of backend servers */
    const char *daemons_kind; /* of the entries of daemons, written by them */
    /* Reads the entry of a server. Returns false with `error` set when it
     * names no server that can be used. */
    bool (*read_server)(const char *name, const json_t *value,
                        EbServerRegistration *entry, EbError *error);
    /* Version of a configuration object, 0 when it has none. */
    uint64_t (*config_version)(const json_t *value);
    /* Reads a configuration together with the servers of its services.
     * Returns one reference, or NULL with `error` set. */
    EbConfig *(*read_config)(const json_t *value, const char *site,
                             const EbServerRegistration *const *entries,
                             size_t entry_count, EbError *error);
} EbPlatformAdapter;

#endif
