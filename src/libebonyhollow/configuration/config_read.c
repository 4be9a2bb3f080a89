#include <assert.h>
#include <string.h>

#include <glib.h>

#include "config_members.h"
#include "config_private.h"

typedef bool (*ReadEntry)(EbConfig *config, const char *name, json_t *entry,
                          EbSchemaReader *reader);

/* Reads the entries of one object in ascending order of their names. */
static bool
read_entries(EbConfig *config, json_t *entries, size_t max,
             EbSchemaReader *reader, ReadEntry read_entry)
{
    if (json_object_size(entries) > max) {
        return EbSchema_Fail(reader, EB_ERROR_LIMIT,
                             "%zu entries are more than the limit of %zu",
                             json_object_size(entries), max);
    }
    const char **names = EbSchema_SortedKeys(entries);
    bool read = true;
    for (size_t i = 0; read && names[i] != NULL; i++) {
        EbSchema_PushKey(reader, names[i]);
        if (!EbSchema_IsName(names[i])) {
            read = EbSchema_Fail(reader, EB_ERROR_RANGE,
                                 "a name is 1 to %d characters of "
                                 "A-Za-z0-9._-",
                                 EB_SCHEMA_NAME_MAX_BYTES);
        }
        else {
            read = read_entry(config, names[i],
                              json_object_get(entries, names[i]), reader);
        }
        EbSchema_Pop(reader);
    }
    g_free(names);
    return read;
}

static bool
read_pool(EbConfig *config, const char *name, json_t *entry,
          EbSchemaReader *reader)
{
    EbConfigPool *pool = &config->pools[config->pool_count++];
    pool->name = g_strdup(name);
    return EbSchema_Read(reader, entry, "pools.<name>", pool);
}

/* Finds the index of the pool that an entry names. */
static bool
find_pool(const EbConfig *config, const char *name, uint32_t *index,
          EbSchemaReader *reader)
{
    *index = EbConfig_PoolIndex(config, name);
    if (*index == UINT32_MAX) {
        return EbSchema_FailField(reader, "pool", EB_ERROR_REFERENCE,
                                  "there is no pool \"%s\"", name);
    }
    return true;
}

static bool
read_server(EbConfig *config, const char *id, json_t *entry,
            EbSchemaReader *reader)
{
    ServerMembers members = {0};
    bool read =
        EbSchema_Read(reader, entry, "backend_servers.<id>", &members) &&
        find_pool(config, members.pool, &members.server.pool_index, reader);
    g_free(members.pool);
    members.server.id = g_strdup(id);
    config->servers[config->server_count++] = members.server;
    return read;
}

/* Fills in the servers of each pool. */
static void
index_servers(EbConfig *config)
{
    for (uint32_t i = 0; i < config->server_count; i++) {
        config->pools[config->servers[i].pool_index].server_count++;
    }
    for (uint32_t i = 0; i < config->pool_count; i++) {
        EbConfigPool *pool = &config->pools[i];
        pool->server_indexes = g_new0(uint32_t, pool->server_count);
        pool->server_count = 0;
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        EbConfigPool *pool = &config->pools[config->servers[i].pool_index];
        assert(pool->server_indexes != NULL);
        pool->server_indexes[pool->server_count++] = i;
    }
}

#define DEFAULT_FIRST_TOKEN_TIMEOUT_US 5000000
#define DEFAULT_TOKEN_GAP_TIMEOUT_US 2000000

/* Sets the defaults that depend on other fields, and clears those of fields
 * that the stage's kind does not use. */
static void
set_stage_defaults(const EbConfigPipeline *pipeline, EbConfigStage *stage)
{
    if (stage->timeout_us == 0) {
        stage->timeout_us = pipeline->deadline_us;
    }
    if (stage->kind == EB_STAGE_GENERATE) {
        if (stage->first_token_timeout_us == 0) {
            stage->first_token_timeout_us =
                MIN(DEFAULT_FIRST_TOKEN_TIMEOUT_US, stage->timeout_us);
        }
        if (stage->token_gap_timeout_us == 0) {
            stage->token_gap_timeout_us =
                MIN(DEFAULT_TOKEN_GAP_TIMEOUT_US, stage->timeout_us);
        }
    }
    else {
        stage->max_tokens = 0;
    }
    if (stage->kind != EB_STAGE_RETRIEVE && stage->kind != EB_STAGE_RERANK) {
        stage->top_k = 0;
    }
}

static bool
read_stage(const EbConfig *config, EbConfigPipeline *pipeline, json_t *entry,
           EbSchemaReader *reader)
{
    StageMembers members = {0};
    bool read =
        EbSchema_Read(reader, entry, "pipelines.<name>.stages[]", &members) &&
        find_pool(config, members.pool, &members.stage.pool_index, reader);
    g_free(members.pool);
    set_stage_defaults(pipeline, &members.stage);
    pipeline->stages[pipeline->stage_count++] = members.stage;
    return read;
}

static bool
read_pipeline(EbConfig *config, const char *name, json_t *entry,
              EbSchemaReader *reader)
{
    EbConfigPipeline *pipeline = &config->pipelines[config->pipeline_count++];
    pipeline->name = g_strdup(name);
    if (!EbSchema_Read(reader, entry, "pipelines.<name>", pipeline)) {
        return false;
    }
    json_t *stages = json_object_get(entry, "stages");
    size_t count = json_array_size(stages);
    if (count < EB_CONFIG_MIN_STAGES || count > EB_CONFIG_MAX_STAGES) {
        return EbSchema_FailField(reader, "stages", EB_ERROR_RANGE,
                                  "expected %d to %d stages, found %zu",
                                  EB_CONFIG_MIN_STAGES, EB_CONFIG_MAX_STAGES,
                                  count);
    }
    pipeline->stages = g_new0(EbConfigStage, count);
    EbSchema_PushKey(reader, "stages");
    for (size_t i = 0; i < count; i++) {
        EbSchema_PushIndex(reader, i);
        if (!read_stage(config, pipeline, json_array_get(stages, i), reader)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    EbSchema_Pop(reader);
    pipeline->needs_key = !pipeline->stages[count - 1].idempotent;
    return true;
}

static bool
read_contract(EbContract *contract, json_t *entry, EbSchemaReader *reader)
{
    json_t *empty = json_object();
    EbSchema_PushKey(reader, "contract");
    bool read = EbSchema_Read(reader, entry != NULL ? entry : empty,
                              "customers.<id>.contract", contract);
    EbSchema_Pop(reader);
    json_decref(empty);
    if (contract->requests_per_s_milli > 0 && contract->burst_requests == 0) {
        contract->burst_requests =
            (uint32_t)((contract->requests_per_s_milli + 999) / 1000);
    }
    return read;
}

static bool
read_customer(EbConfig *config, const char *id, json_t *entry,
              EbSchemaReader *reader)
{
    EbConfigCustomer *customer = &config->customers[config->customer_count++];
    customer->id = g_strdup(id);
    return EbSchema_Read(reader, entry, "customers.<id>", customer) &&
           read_contract(&customer->contract,
                         json_object_get(entry, "contract"), reader);
}

/* Reads one customer of a pipeline's routes. */
static bool
read_route(EbConfig *config, uint32_t pipeline_index, json_t *item,
           EbSchemaReader *reader)
{
    const char *id = json_string_value(item);
    if (id == NULL) {
        return EbSchema_Fail(reader, EB_ERROR_TYPE,
                             "expected the id of a customer or \"*\"");
    }
    EbConfigRoute route = {pipeline_index, EB_ROUTE_ANY};
    if (strcmp(id, "*") != 0) {
        route.customer_index = EbConfig_CustomerIndex(config, id);
        if (route.customer_index == UINT32_MAX) {
            return EbSchema_Fail(reader, EB_ERROR_REFERENCE,
                                 "there is no customer \"%.64s\"", id);
        }
    }
    for (uint32_t i = config->route_count; i > 0; i--) {
        const EbConfigRoute *other = &config->routes[i - 1];
        if (other->pipeline_index != pipeline_index) {
            break;
        }
        if (other->customer_index == route.customer_index) {
            return EbSchema_Fail(reader, EB_ERROR_DUPLICATE,
                                 "\"%s\" is listed twice", id);
        }
    }
    config->routes[config->route_count++] = route;
    return true;
}

static bool
read_routes(EbConfig *config, const char *name, json_t *entry,
            EbSchemaReader *reader)
{
    uint32_t pipeline_index = EbConfig_PipelineIndex(config, name);
    if (pipeline_index == UINT32_MAX) {
        return EbSchema_Fail(reader, EB_ERROR_REFERENCE,
                             "there is no pipeline \"%s\"", name);
    }
    if (!json_is_array(entry)) {
        return EbSchema_Fail(reader, EB_ERROR_TYPE,
                             "expected an array of customers");
    }
    size_t count = json_array_size(entry);
    if (count > EB_CONFIG_MAX_CUSTOMERS) {
        return EbSchema_Fail(reader, EB_ERROR_LIMIT,
                             "%zu entries are more than the limit of %d",
                             count, EB_CONFIG_MAX_CUSTOMERS);
    }
    config->routes =
        g_renew(EbConfigRoute, config->routes, config->route_count + count);
    for (size_t i = 0; i < count; i++) {
        EbSchema_PushIndex(reader, i);
        if (!read_route(config, pipeline_index, json_array_get(entry, i),
                        reader)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    return true;
}

static bool
read_operator(EbConfig *config, const char *id, json_t *entry,
              EbSchemaReader *reader)
{
    OperatorMembers members = {0};
    bool read = EbSchema_Read(reader, entry, "operators.<id>", &members);
    members.operator.id = g_strdup(id);
    members.operator.pipelines = members.pipelines.items;
    members.operator.pipeline_count = members.pipelines.count;
    members.operator.customers = members.customers.items;
    members.operator.customer_count = members.customers.count;
    config->operators[config->operator_count++] = members.operator;
    return read;
}

static bool
read_section(EbConfig *config, json_t *merged, const char *name, size_t max,
             EbSchemaReader *reader, ReadEntry read_entry)
{
    EbSchema_PushKey(reader, name);
    bool read = read_entries(config, json_object_get(merged, name), max,
                             reader, read_entry);
    EbSchema_Pop(reader);
    return read;
}

/* Returns the number of entries to allocate for a section, at most its limit;
 * a section with more is refused before any entry is read. */
static size_t
section_size(json_t *merged, const char *name, size_t max)
{
    return MIN(json_object_size(json_object_get(merged, name)), max);
}

bool
EbConfig_ReadSite(EbConfig *config, json_t *merged, EbSchemaReader *reader)
{
    if (!EbSchema_Read(reader, merged, "", config)) {
        return false;
    }
    config->pools = g_new0(EbConfigPool,
                           section_size(merged, "pools", EB_CONFIG_MAX_POOLS));
    config->servers =
        g_new0(EbConfigBackendServer,
               section_size(merged, "backend_servers", EB_CONFIG_MAX_SERVERS));
    config->pipelines =
        g_new0(EbConfigPipeline,
               section_size(merged, "pipelines", EB_CONFIG_MAX_PIPELINES));
    config->customers =
        g_new0(EbConfigCustomer,
               section_size(merged, "customers", EB_CONFIG_MAX_CUSTOMERS));
    config->operators =
        g_new0(EbConfigOperator,
               section_size(merged, "operators", EB_CONFIG_MAX_OPERATORS));
    if (!read_section(config, merged, "pools", EB_CONFIG_MAX_POOLS, reader,
                      read_pool) ||
        !read_section(config, merged, "backend_servers", EB_CONFIG_MAX_SERVERS,
                      reader, read_server)) {
        return false;
    }
    index_servers(config);
    return read_section(config, merged, "pipelines", EB_CONFIG_MAX_PIPELINES,
                        reader, read_pipeline) &&
           read_section(config, merged, "customers", EB_CONFIG_MAX_CUSTOMERS,
                        reader, read_customer) &&
           read_section(config, merged, "routes", EB_CONFIG_MAX_PIPELINES,
                        reader, read_routes) &&
           read_section(config, merged, "operators", EB_CONFIG_MAX_OPERATORS,
                        reader, read_operator);
}
