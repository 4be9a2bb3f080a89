#include <arpa/inet.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "config_private.h"

/* Fields of a stage that belong to some kinds only. */
static const struct {
    const char *name;
    unsigned kinds; /* set of 1 << EbStageKind */
    bool required;
} stage_fields[] = {
    {"model", 1U << EB_STAGE_GENERATE, true},
    {"prompt", 1U << EB_STAGE_GENERATE, false},
    {"max_tokens", 1U << EB_STAGE_GENERATE, false},
    {"first_token_timeout_ms", 1U << EB_STAGE_GENERATE, false},
    {"token_gap_timeout_ms", 1U << EB_STAGE_GENERATE, false},
    {"path", 1U << EB_STAGE_CALL, true},
    {"top_k", 1U << EB_STAGE_RETRIEVE | 1U << EB_STAGE_RERANK, false},
};

static bool
check_stage_fields(const EbConfigStage *stage, json_t *entry,
                   EbSchemaReader *reader)
{
    for (size_t i = 0; i < G_N_ELEMENTS(stage_fields); i++) {
        bool used = (stage_fields[i].kinds & 1U << stage->kind) != 0;
        bool present = json_object_get(entry, stage_fields[i].name) != NULL;
        if (present && !used) {
            return EbSchema_FailField(reader, stage_fields[i].name,
                                      EB_ERROR_RANGE,
                                      "a stage of kind %s has no such field",
                                      EbStageKind_names[stage->kind]);
        }
        if (!present && used && stage_fields[i].required) {
            return EbSchema_FailField(reader, stage_fields[i].name,
                                      EB_ERROR_MISSING_FIELD,
                                      "a stage of kind %s needs this field",
                                      EbStageKind_names[stage->kind]);
        }
    }
    return true;
}

static bool
check_limit(EbSchemaReader *reader, const char *field, int64_t value_us,
            int64_t limit_us, const char *limit)
{
    if (value_us <= limit_us) {
        return true;
    }
    return EbSchema_FailField(reader, field, EB_ERROR_RANGE,
                              "%" G_GINT64_FORMAT
                              " ms is more than the %s of %" G_GINT64_FORMAT
                              " ms",
                              value_us / 1000, limit, limit_us / 1000);
}

static bool
check_stage(const EbConfig *config, const EbConfigPipeline *pipeline,
            uint32_t index, EbSchemaReader *reader)
{
    const EbConfigStage *stage = &pipeline->stages[index];
    const EbConfigPool *pool = &config->pools[stage->pool_index];
    if (stage->kind != pool->kind) {
        return EbSchema_FailField(
            reader, "kind", EB_ERROR_REFERENCE,
            "the stage is of kind %s, its pool \"%s\" of kind %s",
            EbStageKind_names[stage->kind], pool->name,
            EbStageKind_names[pool->kind]);
    }
    if (pool->server_count == 0) {
        return EbSchema_FailField(reader, "pool", EB_ERROR_REFERENCE,
                                  "pool \"%s\" has no backend server",
                                  pool->name);
    }
    if (!stage->idempotent && stage->kind != EB_STAGE_CALL) {
        return EbSchema_FailField(reader, "idempotent", EB_ERROR_RANGE,
                                  "only a stage of kind call may be "
                                  "non-idempotent");
    }
    if (!stage->idempotent && index + 1 != pipeline->stage_count) {
        return EbSchema_FailField(reader, "idempotent", EB_ERROR_RANGE,
                                  "a non-idempotent call must be the last "
                                  "stage");
    }
    for (uint32_t i = 0; i < index; i++) {
        if (strcmp(pipeline->stages[i].name, stage->name) == 0) {
            return EbSchema_FailField(reader, "name", EB_ERROR_DUPLICATE,
                                      "stage %u has the name \"%s\" too", i,
                                      stage->name);
        }
    }
    return check_limit(reader, "timeout_ms", stage->timeout_us,
                       pipeline->deadline_us, "pipeline's deadline") &&
           check_limit(reader, "first_token_timeout_ms",
                       stage->first_token_timeout_us, stage->timeout_us,
                       "stage's time-out") &&
           check_limit(reader, "token_gap_timeout_ms",
                       stage->token_gap_timeout_us, stage->timeout_us,
                       "stage's time-out");
}

/* A pipeline whose stages are estimated to take longer than its deadline
 * would have every request refused at admission. */
static bool
check_estimates(const EbConfig *config, const EbConfigPipeline *pipeline,
                EbSchemaReader *reader)
{
    int64_t sum_us = 0;
    for (uint32_t i = 0; i < pipeline->stage_count; i++) {
        const EbConfigStage *stage = &pipeline->stages[i];
        sum_us += config->pools[stage->pool_index].service_estimate_us;
    }
    if (sum_us < pipeline->deadline_us) {
        return true;
    }
    return EbSchema_FailField(
        reader, "deadline_ms", EB_ERROR_RANGE,
        "the deadline of %" G_GINT64_FORMAT " ms is not above the sum of the "
        "stages' service estimates, %" G_GINT64_FORMAT " ms",
        pipeline->deadline_us / 1000, sum_us / 1000);
}

static bool
check_pipeline(const EbConfig *config, const EbConfigPipeline *pipeline,
               EbSchemaReader *reader)
{
    json_t *entry = json_object_get(
        json_object_get(config->merged, "pipelines"), pipeline->name);
    json_t *stages = json_object_get(entry, "stages");
    EbSchema_PushKey(reader, pipeline->name);
    EbSchema_PushKey(reader, "stages");
    for (uint32_t i = 0; i < pipeline->stage_count; i++) {
        EbSchema_PushIndex(reader, i);
        if (!check_stage_fields(&pipeline->stages[i],
                                json_array_get(stages, i), reader) ||
            !check_stage(config, pipeline, i, reader)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    EbSchema_Pop(reader);
    bool valid = check_estimates(config, pipeline, reader);
    EbSchema_Pop(reader);
    return valid;
}

static bool
check_pipelines(const EbConfig *config, EbSchemaReader *reader)
{
    EbSchema_PushKey(reader, "pipelines");
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        if (!check_pipeline(config, &config->pipelines[i], reader)) {
            return false;
        }
    }
    EbSchema_Pop(reader);
    return true;
}

/* Refuses a pool's field that only another kind uses. */
static bool
check_pool_kind(const EbConfigPool *pool, bool set, EbStageKind kind,
                const char *field, EbSchemaReader *reader)
{
    if (!set || pool->kind == kind) {
        return true;
    }
    return EbSchema_FailField(reader, field, EB_ERROR_RANGE,
                              "only a pool of kind %s may set it",
                              EbStageKind_names[kind]);
}

static bool
check_pools(const EbConfig *config, EbSchemaReader *reader)
{
    uint64_t queued = 0;
    EbSchema_PushKey(reader, "pools");
    for (uint32_t i = 0; i < config->pool_count; i++) {
        const EbConfigPool *pool = &config->pools[i];
        EbSchema_PushKey(reader, pool->name);
        queued += pool->queue_max;
        if (queued > EB_CONFIG_MAX_QUEUED) {
            return EbSchema_FailField(reader, "queue_max", EB_ERROR_RANGE,
                                      "the sum over the pools so far, %" PRIu64
                                      " attempts, is above %d",
                                      queued, EB_CONFIG_MAX_QUEUED);
        }
        if (!check_pool_kind(pool, pool->checks_fencing, EB_STAGE_CALL,
                             "checks_fencing", reader) ||
            !check_pool_kind(pool, pool->outcome_path != NULL, EB_STAGE_CALL,
                             "outcome_path", reader) ||
            !check_pool_kind(pool, pool->resumes_streams, EB_STAGE_GENERATE,
                             "resumes_streams", reader)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    EbSchema_Pop(reader);
    return true;
}

/* Adds a key to the set of those seen; `owner` is borrowed. Returns the owner
 * of an equal key, or NULL. */
static const char *
add_unique(GHashTable *seen, char *key, const char *owner)
{
    const char *other = g_hash_table_lookup(seen, key);
    if (other != NULL) {
        g_free(key);
        return other;
    }
    g_hash_table_insert(seen, key, (char *)owner);
    return NULL;
}

/* Writes the address in one form, since IPv6 has several for one. */
static char *
server_address(const EbConfigBackendServer *server)
{
    unsigned char binary[sizeof(struct in6_addr)] = {0};
    char host[INET6_ADDRSTRLEN] = "";
    int family = strchr(server->host, ':') != NULL ? AF_INET6 : AF_INET;
    inet_pton(family, server->host, binary);
    inet_ntop(family, binary, host, sizeof(host));
    return g_strdup_printf("%s %u", host, server->port);
}

/* Two servers at one address would count its capacity twice. */
static bool
check_servers(const EbConfig *config, EbSchemaReader *reader)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool valid = true;
    EbSchema_PushKey(reader, "backend_servers");
    for (uint32_t i = 0; valid && i < config->server_count; i++) {
        const EbConfigBackendServer *server = &config->servers[i];
        char *address = server_address(server);
        const char *other = add_unique(seen, address, server->id);
        if (other != NULL) {
            EbSchema_PushKey(reader, server->id);
            valid = EbSchema_FailField(reader, "host", EB_ERROR_DUPLICATE,
                                       "backend server \"%s\" has the same "
                                       "address and port",
                                       other);
            EbSchema_Pop(reader);
        }
    }
    EbSchema_Pop(reader);
    g_hash_table_destroy(seen);
    return valid;
}

static bool
check_digest(GHashTable *seen, const char *section, const char *id,
             const uint8_t *digest, EbSchemaReader *reader)
{
    GString *key = g_string_new(NULL);
    for (size_t i = 0; i < EB_TOKEN_DIGEST_BYTES; i++) {
        g_string_append_printf(key, "%02x", digest[i]);
    }
    const char *other = add_unique(seen, g_string_free(key, FALSE), id);
    if (other == NULL) {
        return true;
    }
    EbSchema_PushKey(reader, section);
    EbSchema_PushKey(reader, id);
    return EbSchema_FailField(reader, "token_digest", EB_ERROR_DUPLICATE,
                              "\"%s\" has the same token", other);
}

/* No token may identify two parties. */
static bool
check_tokens(const EbConfig *config, EbSchemaReader *reader)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool valid = true;
    for (uint32_t i = 0; valid && i < config->customer_count; i++) {
        valid = check_digest(seen, "customers", config->customers[i].id,
                             config->customers[i].token_digest, reader);
    }
    for (uint32_t i = 0; valid && i < config->operator_count; i++) {
        valid = check_digest(seen, "operators", config->operators[i].id,
                             config->operators[i].token_digest, reader);
    }
    g_hash_table_destroy(seen);
    return valid;
}

/* Checks that a scope names entries that exist. */
static bool
check_scope(const EbConfig *config, const EbConfigOperator *operator,
            EbSchemaReader * reader)
{
    for (uint32_t i = 0; i < operator->pipeline_count; i++) {
        if (EbConfig_FindPipeline(config, operator->pipelines[i]) == NULL) {
            return EbSchema_FailField(
                reader, "pipelines", EB_ERROR_REFERENCE,
                "there is no pipeline \"%s\"", operator->pipelines[i]);
        }
    }
    for (uint32_t i = 0; i < operator->customer_count; i++) {
        if (EbConfig_FindCustomer(config, operator->customers[i]) == NULL) {
            return EbSchema_FailField(
                reader, "customers", EB_ERROR_REFERENCE,
                "there is no customer \"%s\"", operator->customers[i]);
        }
    }
    return true;
}

static bool
check_operators(const EbConfig *config, EbSchemaReader *reader)
{
    EbSchema_PushKey(reader, "operators");
    for (uint32_t i = 0; i < config->operator_count; i++) {
        EbSchema_PushKey(reader, config->operators[i].id);
        if (!check_scope(config, &config->operators[i], reader)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    EbSchema_Pop(reader);
    return true;
}

bool
EbConfig_Check(const EbConfig *config, EbSchemaReader *reader)
{
    return check_pools(config, reader) && check_servers(config, reader) &&
           check_pipelines(config, reader) && check_tokens(config, reader) &&
           check_operators(config, reader);
}
