/* EbSettings: the settings of one daemon, read from its own JSON file.
 *
 * Settings belong to a process (addresses, limits); the configuration
 * (EbConfig) belongs to a deployment. docs/configuration.md lists every
 * field; a test compares that page with the field table in settings.c. */
#ifndef EBONYHOLLOW_SETTINGS_H
#define EBONYHOLLOW_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/schema.h"

#define EB_SETTINGS_MAX_BYTES 65536
#define EB_SETTINGS_MAX_SEEDS 64
#define EB_PEER_KEY_BYTES 32
#define EB_SETTINGS_DIGEST_BYTES 32
#define EB_PLATFORM_TOKEN_MAX_BYTES 1024
/* Bound of the bodies and unsent output that a daemon may hold, summed over
 * its limits. */
#define EB_SETTINGS_MAX_BUFFERED_BYTES INT64_C(1073741824)

typedef struct {
    char *host; /* IP address */
    uint16_t port;
} EbAddress;

typedef struct {
    char *instance; /* unique name of this instance */
    char *site;
    char *failure_domain;
    char *region;
    EbAddress caller;     /* listener for callers; port 0: any free one */
    EbAddress admin;      /* listener for operators, probes and metrics */
    EbAddress peer;       /* listener for other daemons */
    EbAddress platform;   /* the platform's object API */
    char *platform_token; /* NULL when it needs none */
    EbAddress *seeds;     /* peer addresses tried at start */
    uint32_t seed_count;
    uint8_t peer_key[EB_PEER_KEY_BYTES];
    /* Token of an operator with role admin while no configuration, and so no
     * operator, is known. All zero: there is none. */
    uint8_t bootstrap_token_digest[EB_SETTINGS_DIGEST_BYTES];
    EbLevel log_level;
    int64_t balancer_delay_us; /* listeners stay open so long in a drain */
    int64_t drain_limit_us;    /* longest drain after that delay */
    uint32_t capacity;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_connections;
    uint32_t max_requests;     /* live requests */
    uint32_t max_buffer_bytes; /* unsent output per caller */
    int64_t header_timeout_us; /* slow or idle callers are closed */
    char *policy; /* "adaptive" or "plain", the baseline for measurements */
} EbSettings;

/* Parses and checks settings.
 *
 * file: name used in errors, or NULL. A secret that is given as
 *     {"file": PATH} is read here; a relative path starts at the directory of
 *     `file`.
 *
 * Returns settings that the caller frees with EbSettings_Free, or NULL with
 * `error` set to the first fault; an unknown field names the nearest known
 * one. */
EbSettings *EbSettings_Parse(const char *text, size_t text_bytes,
                             const char *file, EbError *error);

/* Reads and parses a settings file. */
EbSettings *EbSettings_Load(const char *file, EbError *error);

void EbSettings_Free(EbSettings *settings);

/* The field table, also for the documentation test. */
extern const EbSchemaField EbSettings_fields[];
extern const size_t EbSettings_field_count;

#endif
