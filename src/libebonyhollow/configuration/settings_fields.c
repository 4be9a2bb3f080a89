#include <glib.h>

#include "ebonyhollow/settings.h"

#include "schema_rows.h"

static const char *const policy_names[] = {"adaptive", "plain"};

#define HOUR_MS 3600000
#define MB 1048576
#define MB_16 16777216

#define CHOICE_ROW(path, names, count, text, initial, member, meaning)        \
    {                                                                         \
        path, EB_SCHEMA_CHOICE, "", 0, 0, names, count, text, initial,        \
            offsetof(EbSettings, member), meaning                             \
    }
#define ADDRESS_ROWS(name, min_port, meaning)                                 \
    PART_ROW(#name, OBJECT, EB_SCHEMA_REQUIRED, 0, meaning),                  \
        {#name ".host",                                                       \
         EB_SCHEMA_HOST,                                                      \
         "",                                                                  \
         0,                                                                   \
         0,                                                                   \
         NULL,                                                                \
         0,                                                                   \
         false,                                                               \
         EB_SCHEMA_REQUIRED,                                                  \
         offsetof(EbSettings, name) + offsetof(EbAddress, host),              \
         "IP address."},                                                      \
    {                                                                         \
#name ".port", EB_SCHEMA_UINT16, "", min_port, 65535, NULL, 0, false, \
            EB_SCHEMA_REQUIRED,                                               \
            offsetof(EbSettings, name) + offsetof(EbAddress, port),           \
            "TCP port."                                                       \
    }

const EbSchemaField EbSettings_fields[] = {
    ROW("instance", NAME, "", 0, 0, EB_SCHEMA_REQUIRED, EbSettings, instance,
        "Unique name of this instance."),
    ROW("site", NAME, "", 0, 0, EB_SCHEMA_REQUIRED, EbSettings, site,
        "Site whose merged configuration is in force here."),
    ROW("failure_domain", NAME, "", 0, 0, EB_SCHEMA_REQUIRED, EbSettings,
        failure_domain, "Failure domain of this instance."),
    ROW("region", NAME, "", 0, 0, EB_SCHEMA_REQUIRED, EbSettings, region,
        "Region of this instance."),
    ADDRESS_ROWS(caller, 0, "Listener for callers; port 0 takes a free one."),
    ADDRESS_ROWS(admin, 0,
                 "Listener for operators, probes and metrics; port 0 takes a "
                 "free one."),
    ADDRESS_ROWS(peer, 0,
                 "Listener for other daemons; port 0 takes a free one."),
    ADDRESS_ROWS(platform, 1, "The platform's object API."),
    PART_ROW("platform_token", SECRET, EB_SCHEMA_NONE, 0,
             "Token for the platform: a string of 1 to 1024 bytes or "
             "{\"file\": PATH}."),
    PART_ROW("seeds", ARRAY, "[]", EB_SETTINGS_MAX_SEEDS,
             "Peer addresses tried at start."),
    ROW("seeds[].host", HOST, "", 0, 0, EB_SCHEMA_REQUIRED, EbAddress, host,
        "IP address."),
    ROW("seeds[].port", UINT16, "", 1, 65535, EB_SCHEMA_REQUIRED, EbAddress,
        port, "TCP port."),
    PART_ROW("peer_key", SECRET, EB_SCHEMA_REQUIRED, 0,
             "Key of the links between daemons: 64 hex digits or "
             "{\"file\": PATH}."),
    ROW("bootstrap_token_digest", DIGEST, "", 0, 0, EB_SCHEMA_NONE, EbSettings,
        bootstrap_token_digest,
        "BLAKE2b-256 of a token that acts as admin until a configuration is "
        "in force, 64 hex digits."),
    CHOICE_ROW("log_level", EbLevel_names, EB_LEVEL_COUNT, false, "\"info\"",
               log_level, "Least severe level that is logged."),
    ROW("balancer_delay_ms", MILLISECONDS, "ms", 0, HOUR_MS, "10000",
        EbSettings, balancer_delay_us,
        "Listeners stay open so long at the start of a drain."),
    ROW("drain_limit_ms", MILLISECONDS, "ms", 0, HOUR_MS, "30000", EbSettings,
        drain_limit_us,
        "Longest drain after that delay; at least the longest deadline."),
    ROW("capacity", UINT32, "units", 1, MB, "100", EbSettings, capacity,
        "Room of this instance for duties that it does for all daemons, in "
        "any unit; instances with less than half of the largest get none."),
    ROW("max_body_bytes", UINT32, "bytes", 1024, MB_16, "262144", EbSettings,
        max_body_bytes, "Body of a request."),
    ROW("max_header_bytes", UINT32, "bytes", 1024, MB, "16384", EbSettings,
        max_header_bytes, "Header of a request."),
    ROW("max_connections", UINT32, "connections", 1, 65536, "1024", EbSettings,
        max_connections, "Open connections of callers."),
    ROW("max_requests", UINT32, "requests", 1, 65536, "512", EbSettings,
        max_requests, "Live requests."),
    ROW("max_buffer_bytes", UINT32, "bytes", 4096, MB_16, "131072", EbSettings,
        max_buffer_bytes, "Unsent output per caller."),
    ROW("header_timeout_ms", MILLISECONDS, "ms", 100, HOUR_MS, "10000",
        EbSettings, header_timeout_us,
        "A caller that takes longer to send a request is closed."),
    CHOICE_ROW("policy", policy_names, G_N_ELEMENTS(policy_names), true,
               "\"adaptive\"", policy,
               "\"plain\" is the baseline for measurements."),
};

const size_t EbSettings_field_count = G_N_ELEMENTS(EbSettings_fields);
