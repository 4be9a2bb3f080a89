#include <glib.h>

#include "ebonyhollow/settings.h"

#include "schema_rows.h"

static const char *const policy_names[] = {"adaptive", "plain"};
static const char *const server_speeds_names[EB_SERVER_SPEEDS_COUNT] = {
    [EB_SERVER_SPEEDS_OFF] = "off",
    [EB_SERVER_SPEEDS_SHARED] = "shared",
};

#define HOUR_MS 3600000
#define MIB 1048576LL
#define MAX_CAPACITY 1048576

#define CHOICE_ROW(path, names, count, text, default_value, member, meaning)  \
    {                                                                         \
        path, EB_SCHEMA_CHOICE, "", 0, 0, names, count, text, default_value,  \
            offsetof(EbSettings, member), meaning                             \
    }
#define ADDRESS_ROWS(name, min_port, meaning)                                 \
    CUSTOM_ROW(#name, OBJECT, EB_SCHEMA_REQUIRED, 0, meaning),                \
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
    ADDRESS_ROWS(caller, 0,
                 "Listener for callers; port 0 selects a free port."),
    ADDRESS_ROWS(admin, 0,
                 "Listener for operators, probes and metrics; port 0 selects "
                 "a free port."),
    ADDRESS_ROWS(peer, 0,
                 "Listener for other daemons; port 0 selects a free port."),
    ADDRESS_ROWS(platform, 1, "The platform's object API."),
    CUSTOM_ROW("platform_token", SECRET, EB_SCHEMA_NONE, 0,
               "Token for the platform: a string of 1 to 1024 bytes or "
               "{\"file\": PATH}."),
    ROW("store_silence_ms", MILLISECONDS, "ms", 1000, HOUR_MS, "27000",
        EbSettings, store_silence_us,
        "A watch of the platform's store without a response for this long is "
        "replaced, since its connection may be lost while it stays open; a "
        "change may be known this much later. Each watch calls the store at "
        "least this often."),
    ROW("evacuations", BOOLEAN, "", 0, 0, "false", EbSettings, evacuations,
        "Whether the operator may evacuate failure domains by objects in the "
        "platform's store. They are then watched like the configuration, and "
        "no request is served before they are known."),
    ROW("yield_homes", BOOLEAN, "", 0, 0, "false", EbSettings, yield_homes,
        "Whether this instance names a quarter of its capacity to its peers "
        "while its event loop is late, so that the homes of work items move "
        "to others."),
    CUSTOM_ROW("seeds", ARRAY, "[]", EB_SETTINGS_MAX_SEEDS,
               "Addresses of peers to connect to at start."),
    ROW("seeds[].host", HOST, "", 0, 0, EB_SCHEMA_REQUIRED, EbAddress, host,
        "IP address."),
    ROW("seeds[].port", UINT16, "", 1, 65535, EB_SCHEMA_REQUIRED, EbAddress,
        port, "TCP port."),
    CUSTOM_ROW("peer_key", SECRET, EB_SCHEMA_REQUIRED, 0,
               "Key of the links between daemons: 64 hex digits or "
               "{\"file\": PATH}."),
    ROW("bootstrap_token_digest", DIGEST, "", 0, 0, EB_SCHEMA_NONE, EbSettings,
        bootstrap_token_digest,
        "BLAKE2b-256 of a token that acts as admin until a configuration is "
        "in force, 64 hex digits."),
    ROW("viewer_token_digest", DIGEST, "", 0, 0, EB_SCHEMA_NONE, EbSettings,
        viewer_token_digest,
        "BLAKE2b-256 of a token that acts as viewer while no operators are "
        "configured, 64 hex digits."),
    CHOICE_ROW("log_level", EbLevel_names, EB_LEVEL_COUNT, false, "\"info\"",
               log_level, "Least severe level that is logged."),
    ROW("balancer_delay_ms", MILLISECONDS, "ms", 0, HOUR_MS, "10000",
        EbSettings, balancer_delay_us,
        "Time for which the listeners stay open at the start of a drain."),
    ROW("drain_limit_ms", MILLISECONDS, "ms", 0, HOUR_MS, "30000", EbSettings,
        drain_limit_us,
        "Longest drain after that delay; should be at least the longest "
        "deadline."),
    ROW("capacity", UINT32, "units", 1, MAX_CAPACITY, "100", EbSettings,
        capacity,
        "Weight of this instance when the home of a service's work items is "
        "chosen, in any common unit; an instance with less than half of the "
        "largest capacity is not chosen. The homes of contracts do not depend "
        "on it."),
    ROW("max_body_bytes", UINT32, "bytes", 1024, 16 * MIB, "262144",
        EbSettings, max_body_bytes, "Largest body of a request."),
    ROW("max_header_bytes", UINT32, "bytes", 1024, MIB, "16384", EbSettings,
        max_header_bytes, "Largest header of a request."),
    ROW("client_memory_bytes", UINT32, "bytes", MIB, 4095 * MIB, "134217728",
        EbSettings, client_memory_bytes,
        "Memory for what is held for callers and operators: unread requests, "
        "requests in progress and unsent answers."),
    ROW("max_connections", UINT32, "connections", 1, 65536, "1024", EbSettings,
        max_connections, "Maximum number of open connections from callers."),
    ROW("max_requests", UINT32, "requests", 1, 65536, "512", EbSettings,
        max_requests, "Maximum number of live requests."),
    ROW("max_buffer_bytes", UINT32, "bytes", 4096, 16 * MIB, "131072",
        EbSettings, max_buffer_bytes,
        "Maximum amount of unsent output per caller."),
    CHOICE_ROW(
        "server_speeds", server_speeds_names, EB_SERVER_SPEEDS_COUNT, false,
        "\"off\"", server_speeds,
        "\"shared\": the speed of backend servers is measured by the "
        "streams of forwarded calls, told to the other daemons and used "
        "for the choice of a server."),
    ROW("least_class_permille", UINT32, "permille", 1, 500, "100", EbSettings,
        least_class_permille,
        "Least share of the turns of a full pool for each priority that "
        "waits; otherwise more urgent calls go first."),
    ROW("header_timeout_ms", MILLISECONDS, "ms", 100, HOUR_MS, "10000",
        EbSettings, header_timeout_us,
        "The connection of a caller that takes longer to send a request is "
        "closed."),
    ROW("cold_overrun_permille", UINT32, "thousandths", 1000, 100000, "1000",
        EbSettings, cold_overrun_permille,
        "Factor by which calls to a cold server may exceed its rate in a "
        "second."),
    ROW("cold_margin", UINT32, "calls", 0, 65536, "0", EbSettings, cold_margin,
        "Calls to a cold server that are allowed in a second, in addition."),
    CHOICE_ROW("policy", policy_names, G_N_ELEMENTS(policy_names), true,
               "\"adaptive\"", policy,
               "\"plain\" is the baseline for measurements."),
};

const size_t EbSettings_field_count = G_N_ELEMENTS(EbSettings_fields);
