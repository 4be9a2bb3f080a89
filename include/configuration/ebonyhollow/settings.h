/* EbSettings: the settings of one daemon, read from its own JSON file.
 *
 * Settings, such as addresses and limits, belong to one process; the
 * configuration (EbConfig) is common to a deployment. docs/configuration.md
 * lists every field; a test compares it with the table in settings_fields.c.
 */
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
/* Limit on the memory for request bodies and unsent output: max_requests x
 * max_body_bytes + max_connections x max_buffer_bytes. */
#define EB_SETTINGS_MAX_BUFFERED_BYTES INT64_C(1073741824)

/* Whether the speed of backend servers is measured and used. */
typedef enum {
    EB_SERVER_SPEEDS_OFF,
    EB_SERVER_SPEEDS_SHARED,
    EB_SERVER_SPEEDS_COUNT
} EbServerSpeeds;

typedef struct {
    char *host; /* IP address */
    uint16_t port;
} EbAddress;

typedef struct {
    char *instance; /* unique name of this instance */
    char *site;
    char *failure_domain;
    char *region;
    EbAddress caller;         /* listener for callers; port 0: any free port */
    EbAddress admin;          /* listener for operators, probes and metrics */
    EbAddress peer;           /* listener for other daemons */
    EbAddress platform;       /* the platform's object API */
    char *platform_token;     /* NULL when the platform needs none */
    int64_t store_silence_us; /* a watch of the platform's store without a
                                 response for this long is replaced */
    bool evacuations;         /* the operator may evacuate failure domains */
    bool yield_homes;         /* homes move while the event loop is late */
    EbAddress *seeds;         /* peers to connect to at start */
    uint32_t seed_count;
    uint8_t peer_key[EB_PEER_KEY_BYTES]; /* shared key of the peer links */
    /* Digest of a token that acts as an operator with role admin until a
     * configuration, which defines the operators, is known. All zero: none. */
    uint8_t bootstrap_token_digest[EB_SETTINGS_DIGEST_BYTES];
    /* Digest of a token that acts as an operator with role viewer while no
     * operators are configured. All zero: none. */
    uint8_t viewer_token_digest[EB_SETTINGS_DIGEST_BYTES];
    EbLevel log_level;
    EbServerSpeeds server_speeds;
    uint32_t least_class_permille; /* see EbQueueOptions */
    int64_t balancer_delay_us; /* listeners stay open this long in a drain */
    int64_t drain_limit_us;    /* longest drain after that delay */
    uint32_t capacity; /* weight as a home of work items, in any common unit */
    uint32_t max_body_bytes;      /* of a request */
    uint32_t max_header_bytes;    /* of a request */
    uint32_t client_memory_bytes; /* for what is held for all clients */
    uint32_t max_connections;     /* from callers */
    uint32_t max_requests;        /* live requests */
    uint32_t max_buffer_bytes;    /* unsent output per caller */
    /* A cold server of a pool with cold_requests_per_s gets at most that rate
     * times cold_overrun, plus cold_margin calls in a second. */
    uint32_t cold_overrun_permille;
    uint32_t cold_margin;
    int64_t header_timeout_us; /* for receiving a request, and while idle */
    char *policy; /* "adaptive" or "plain", the baseline for measurements */
} EbSettings;

/* Parses and checks settings. A secret that is given as {"file": PATH} is read
 * from that file; a relative path is resolved against the directory of `file`,
 * or the working directory if `file` is NULL.
 *
 * text, text_bytes: JSON text of at most EB_SETTINGS_MAX_BYTES bytes.
 * file: name used in errors, or NULL.
 *
 * Returns settings that the caller frees with EbSettings_Free, or NULL with
 * `error` set to the first error found. The message for an unknown field names
 * the known field that is most similar. */
EbSettings *EbSettings_Parse(const char *text, size_t text_bytes,
                             const char *file, EbError *error);

/* Reads and parses a settings file; see EbSettings_Parse. */
EbSettings *EbSettings_Load(const char *file, EbError *error);

/* Overwrites the secrets and frees the settings. Accepts NULL. */
void EbSettings_Free(EbSettings *settings);

/* Names of settings, separated by spaces. */
typedef struct {
    char *applied; /* taken over */
    char *restart; /* differ too, but need a restart */
} EbSettingsChange;

/* Takes over from `newer` those settings that a running process can change:
 * log_level, balancer_delay_ms and drain_limit_ms. The others keep their
 * values. Sets `change`, to be cleared with EbSettingsChange_Clear, to the
 * names of the settings that differed. */
void EbSettings_TakeOver(EbSettings *settings, const EbSettings *newer,
                         EbSettingsChange *change);

void EbSettingsChange_Clear(EbSettingsChange *change);

/* The field table; public for the documentation test. */
extern const EbSchemaField EbSettings_fields[];
extern const size_t EbSettings_field_count;

#endif
