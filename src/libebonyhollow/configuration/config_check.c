#include <arpa/inet.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "config_private.h"

/* Fields of a stage that are allowed for some kinds only. */
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
            int64_t limit_us, const char *limit_name)
{
    if (value_us <= limit_us) {
        return true;
    }
    return EbSchema_FailField(reader, field, EB_ERROR_RANGE,
                              "%" G_GINT64_FORMAT
                              " ms is more than the %s of %" G_GINT64_FORMAT
                              " ms",
                              value_us / 1000, limit_name, limit_us / 1000);
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
            "the stage has kind %s, but its pool \"%s\" has kind %s",
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
                                      "stage %u is also named \"%s\"", i,
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

/* Refuses a pipeline whose stages are estimated to take as long as its
 * deadline or longer, since admission would refuse all its requests. */
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
        "the deadline of %" G_GINT64_FORMAT " ms must be more than the sum of "
        "the stages' service estimates, %" G_GINT64_FORMAT " ms",
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

/* Refuses a field that only pools of another kind may set. */
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
                                      "the sum over the pools up to this one, "
                                      "%" PRIu64 " attempts, exceeds the "
                                      "limit of %d",
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

/* A fixed-size key and the entry that it belongs to. Sorting an array of them
 * finds duplicates without an allocation for each entry. */
#define KEY_BYTES 32

typedef struct {
    uint8_t bytes[KEY_BYTES];
    const char *section;
    const char *id;
} UniqueKey;

static int
compare_unique(const void *left, const void *right)
{
    const UniqueKey *first = left;
    const UniqueKey *second = right;
    int order = memcmp(first->bytes, second->bytes, KEY_BYTES);
    if (order != 0) {
        return order;
    }
    /* Equal keys are ordered by section and id, so that every daemon reports
     * the same entry. */
    order = strcmp(first->section, second->section);
    return order != 0 ? order : strcmp(first->id, second->id);
}

/* Sorts the keys and reports the second of two equal ones as a duplicate.
 * `description` says in the message what the keys stand for. */
static bool
check_unique(UniqueKey *keys, size_t count, const char *field,
             const char *description, EbSchemaReader *reader)
{
    if (count < 2) {
        return true; /* `keys` is NULL when there are none */
    }
    qsort(keys, count, sizeof(keys[0]), compare_unique);
    for (size_t i = 1; i < count; i++) {
        if (memcmp(keys[i - 1].bytes, keys[i].bytes, KEY_BYTES) == 0) {
            EbSchema_PushKey(reader, keys[i].section);
            EbSchema_PushKey(reader, keys[i].id);
            return EbSchema_FailField(reader, field, EB_ERROR_DUPLICATE,
                                      "\"%s\" has the same %s", keys[i - 1].id,
                                      description);
        }
    }
    return true;
}

/* Converts the address to binary form, since an IPv6 address can be written in
 * several ways. */
static UniqueKey
address_key(const EbConfigBackendServer *server)
{
    UniqueKey key = {.section = "backend_servers", .id = server->id};
    bool is_ipv6 = strchr(server->host, ':') != NULL;
    key.bytes[0] = is_ipv6;
    key.bytes[1] = (uint8_t)(server->port >> 8);
    key.bytes[2] = (uint8_t)(server->port & 0xFF);
    inet_pton(is_ipv6 ? AF_INET6 : AF_INET, server->host, key.bytes + 3);
    return key;
}

/* Refuses two servers with one address, whose capacity would count twice. */
static bool
check_servers(const EbConfig *config, EbSchemaReader *reader)
{
    UniqueKey *keys = g_new0(UniqueKey, config->server_count);
    for (uint32_t i = 0; i < config->server_count; i++) {
        keys[i] = address_key(&config->servers[i]);
    }
    bool valid = check_unique(keys, config->server_count, "host",
                              "address and port", reader);
    g_free(keys);
    return valid;
}

static UniqueKey
digest_key(const uint8_t *digest, const char *section, const char *id)
{
    UniqueKey key = {.section = section, .id = id};
    memcpy(key.bytes, digest, KEY_BYTES);
    return key;
}

/* Refuses a token that identifies two customers or operators. */
static bool
check_tokens(const EbConfig *config, EbSchemaReader *reader)
{
    size_t count = (size_t)config->customer_count + config->operator_count;
    UniqueKey *keys = g_new0(UniqueKey, count);
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *customer = &config->customers[i];
        keys[i] =
            digest_key(customer->token_digest, "customers", customer->id);
    }
    for (uint32_t i = 0; i < config->operator_count; i++) {
        const EbConfigOperator *operator= & config->operators[i];
        keys[config->customer_count + i] =
            digest_key(operator->token_digest, "operators", operator->id);
    }
    bool valid = check_unique(keys, count, "token_digest", "token", reader);
    g_free(keys);
    return valid;
}

/* Checks that the pipelines and customers of an operator's scope exist. */
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
