#include <glib.h>

#include "config_members.h"

/* Longest deadline; far below the ledger's retention of 24 hours. */
#define DEADLINE_MAX_MS 600000 /* 10 minutes */
#define COUNT_MAX 1000000

/* Rows: path, type, unit, min, max, default, struct, member, meaning. */
#define ROW(path, type, unit, min, max, initial, holder, member, meaning)     \
    {                                                                         \
        path, EB_SCHEMA_##type, unit, min, max, NULL, 0, false, initial,      \
            offsetof(holder, member), meaning                                 \
    }
#define CHOICE_ROW(path, names, count, initial, holder, member, meaning)      \
    {                                                                         \
        path, EB_SCHEMA_CHOICE, "", 0, 0, names, count, false, initial,       \
            offsetof(holder, member), meaning                                 \
    }
#define PART_ROW(path, type, initial, max, meaning)                           \
    {                                                                         \
        path, EB_SCHEMA_##type, "", 0, max, NULL, 0, false, initial, 0,       \
            meaning                                                           \
    }

const EbSchemaField EbConfig_fields[] = {
    ROW("generation", UINT64, "", 0, INT64_C(1) << 53, EB_SCHEMA_REQUIRED,
        DocumentMembers, generation,
        "Number of the change; rises with each accepted one."),
    PART_ROW("base", OBJECT, EB_SCHEMA_REQUIRED, 0,
             "Configuration common to all sites."),
    PART_ROW("overlays", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_SITES,
             "One JSON merge patch per site, by name of the site."),
    /* The fields below are those of the merged configuration of a site. */
    PART_ROW("pools", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_POOLS,
             "Pools of backend servers, by name."),
    CHOICE_ROW("pools.<name>.kind", EbStageKind_names, EB_STAGE_KIND_COUNT,
               EB_SCHEMA_REQUIRED, EbConfigPool, kind,
               "Kind of call that the pool's servers answer."),
    ROW("pools.<name>.subset_size", UINT32, "servers", 0,
        EB_CONFIG_MAX_SERVERS, "0", EbConfigPool, subset_size,
        "Servers that one daemon uses; 0 means all."),
    ROW("pools.<name>.queue_max", UINT32, "attempts", 1, EB_CONFIG_MAX_QUEUED,
        "256", EbConfigPool, queue_max,
        "Waiting attempts that one daemon holds."),
    ROW("pools.<name>.checks_fencing", BOOLEAN, "", 0, 0, "false",
        EbConfigPool, checks_fencing,
        "The service refuses old fencing tokens. Kind call only."),
    ROW("pools.<name>.resumes_streams", BOOLEAN, "", 0, 0, "false",
        EbConfigPool, resumes_streams,
        "The engine resumes a broken stream. Kind generate only."),
    ROW("pools.<name>.outcome_path", PATH, "", 0, 0, EB_SCHEMA_NONE,
        EbConfigPool, outcome_path,
        "Path that tells whether a key ran. Kind call only."),
    ROW("pools.<name>.service_estimate_ms", MILLISECONDS, "ms", 1,
        DEADLINE_MAX_MS, "100", EbConfigPool, service_estimate_us,
        "Duration of a call assumed until calls were measured."),
    PART_ROW("backend_servers", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_SERVERS,
             "Backend servers, by id."),
    ROW("backend_servers.<id>.pool", NAME, "", 0, 0, EB_SCHEMA_REQUIRED,
        ServerMembers, pool, "Pool that the server belongs to."),
    ROW("backend_servers.<id>.host", HOST, "", 0, 0, EB_SCHEMA_REQUIRED,
        ServerMembers, server.host, "IP address."),
    ROW("backend_servers.<id>.port", UINT16, "", 1, 65535, EB_SCHEMA_REQUIRED,
        ServerMembers, server.port, "TCP port."),
    ROW("backend_servers.<id>.failure_domain", NAME, "", 0, 0,
        EB_SCHEMA_REQUIRED, ServerMembers, server.failure_domain,
        "Failure domain that the server runs in."),
    ROW("backend_servers.<id>.capacity", UINT32, "calls", 1, 65536, "8",
        ServerMembers, server.capacity, "Calls that the server runs at once."),
    PART_ROW("pipelines", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_PIPELINES,
             "Pipelines, by name."),
    ROW("pipelines.<name>.deadline_ms", MILLISECONDS, "ms", 1, DEADLINE_MAX_MS,
        "11000", EbConfigPipeline, deadline_us,
        "Default and upper bound of a request's deadline."),
    PART_ROW("pipelines.<name>.stages", ARRAY, EB_SCHEMA_REQUIRED,
             EB_CONFIG_MAX_STAGES, "3 to 6 stages in order."),
    ROW("pipelines.<name>.stages[].name", NAME, "", 0, 0, EB_SCHEMA_REQUIRED,
        StageMembers, stage.name,
        "Name of the stage, unique in its pipeline."),
    CHOICE_ROW("pipelines.<name>.stages[].kind", EbStageKind_names,
               EB_STAGE_KIND_COUNT, EB_SCHEMA_REQUIRED, StageMembers,
               stage.kind, "Kind of call; the kind of its pool."),
    ROW("pipelines.<name>.stages[].pool", NAME, "", 0, 0, EB_SCHEMA_REQUIRED,
        StageMembers, pool, "Pool that runs the stage."),
    ROW("pipelines.<name>.stages[].idempotent", BOOLEAN, "", 0, 0, "true",
        StageMembers, stage.idempotent,
        "False only for a call that must not be repeated, which is the last "
        "stage."),
    ROW("pipelines.<name>.stages[].model", NAME, "", 0, 0, EB_SCHEMA_NONE,
        StageMembers, stage.model,
        "Model; required for kind generate and only there."),
    ROW("pipelines.<name>.stages[].prompt", TEXT, "", 0, 16384, EB_SCHEMA_NONE,
        StageMembers, stage.prompt,
        "Instruction put before the input. Kind generate only."),
    ROW("pipelines.<name>.stages[].path", PATH, "", 0, 0, EB_SCHEMA_NONE,
        StageMembers, stage.path,
        "Request path; required for kind call and only there."),
    ROW("pipelines.<name>.stages[].top_k", UINT32, "documents", 1, 1000, "8",
        StageMembers, stage.top_k,
        "Documents kept. Kinds retrieve and rerank only."),
    ROW("pipelines.<name>.stages[].max_tokens", UINT32, "tokens", 1, 131072,
        "512", StageMembers, stage.max_tokens,
        "Bound of generated tokens. Kind generate only."),
    ROW("pipelines.<name>.stages[].timeout_ms", MILLISECONDS, "ms", 1,
        DEADLINE_MAX_MS, EB_SCHEMA_NONE, StageMembers, stage.timeout_us,
        "Bound of one whole call; the pipeline's deadline when absent."),
    ROW("pipelines.<name>.stages[].first_token_timeout_ms", MILLISECONDS, "ms",
        1, DEADLINE_MAX_MS, EB_SCHEMA_NONE, StageMembers,
        stage.first_token_timeout_us,
        "Longest wait for the first token; 5,000 ms or the stage's time-out, "
        "whichever is shorter, when absent. Kind generate only."),
    ROW("pipelines.<name>.stages[].token_gap_timeout_ms", MILLISECONDS, "ms",
        1, DEADLINE_MAX_MS, EB_SCHEMA_NONE, StageMembers,
        stage.token_gap_timeout_us,
        "Longest wait between tokens; 2,000 ms or the stage's time-out, "
        "whichever is shorter, when absent. Kind generate only."),
    PART_ROW("customers", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_CUSTOMERS,
             "Customers, by id."),
    ROW("customers.<id>.token_digest", DIGEST, "", 0, 0, EB_SCHEMA_REQUIRED,
        EbConfigCustomer, token_digest,
        "BLAKE2b-256 of the customer's token, 64 hex digits."),
    PART_ROW("customers.<id>.contract", OBJECT, EB_SCHEMA_NONE, 0,
             "What the customer may use across the daemons of all sites."),
    ROW("customers.<id>.contract.weight", UINT32, "", 1, 1000, "1", EbContract,
        weight, "Share of a contended pool."),
    ROW("customers.<id>.contract.requests_per_s_milli", UINT64,
        "1/1000 requests/s", 0, INT64_C(1000000000), "0", EbContract,
        requests_per_s_milli, "Rate of requests; 0 means no limit."),
    ROW("customers.<id>.contract.burst_requests", UINT32, "requests", 0,
        COUNT_MAX, "0", EbContract, burst_requests,
        "Requests above the rate at once; 0 means those of one second, at "
        "least one."),
    ROW("customers.<id>.contract.concurrent_requests", UINT32, "requests", 0,
        COUNT_MAX, "0", EbContract, concurrent_requests,
        "Live requests; 0 means no limit."),
    ROW("customers.<id>.contract.tokens_per_s", UINT64, "tokens/s", 0,
        INT64_C(1000000000), "0", EbContract, tokens_per_s,
        "Rate of generated tokens; 0 means no limit."),
    PART_ROW("routes", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_PIPELINES,
             "Customers that may use a pipeline, by name of the pipeline."),
    PART_ROW("routes.<pipeline>", ARRAY, EB_SCHEMA_NONE,
             EB_CONFIG_MAX_CUSTOMERS,
             "Ids of customers, or [\"*\"] for every customer."),
    PART_ROW("operators", OBJECT, EB_SCHEMA_NONE, EB_CONFIG_MAX_OPERATORS,
             "Operators, by id."),
    ROW("operators.<id>.token_digest", DIGEST, "", 0, 0, EB_SCHEMA_REQUIRED,
        OperatorMembers, operator.token_digest,
        "BLAKE2b-256 of the operator's token, 64 hex digits."),
    CHOICE_ROW("operators.<id>.role", EbRole_names, EB_ROLE_COUNT,
               EB_SCHEMA_REQUIRED, OperatorMembers, operator.role,
               "What the operator may do."),
    ROW("operators.<id>.pipelines", NAMES, "", 0, 0, "[]", OperatorMembers,
        pipelines, "Pipelines that changes are restricted to."),
    ROW("operators.<id>.customers", NAMES, "", 0, 0, "[]", OperatorMembers,
        customers, "Customers that changes are restricted to."),
};

const size_t EbConfig_field_count = G_N_ELEMENTS(EbConfig_fields);
