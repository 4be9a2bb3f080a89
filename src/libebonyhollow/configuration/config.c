#include "ebonyhollow/config.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "config_members.h"
#include "config_private.h"

const char *const EbStageKind_names[EB_STAGE_KIND_COUNT] = {
    [EB_STAGE_ENCODE] = "encode", [EB_STAGE_RETRIEVE] = "retrieve",
    [EB_STAGE_RERANK] = "rerank", [EB_STAGE_GENERATE] = "generate",
    [EB_STAGE_CALL] = "call",
};

const char *const EbRole_names[EB_ROLE_COUNT] = {
    [EB_ROLE_VIEWER] = "viewer",
    [EB_ROLE_OPERATOR] = "operator",
    [EB_ROLE_ADMIN] = "admin",
};

static void
free_forward(EbConfigForward *forward)
{
    if (forward == NULL) {
        return;
    }
    g_free(forward->host);
    g_free(forward->path_prefix);
    g_free(forward->splits);
    g_free(forward->preparations);
    g_free(forward);
}

static void
free_pipeline(EbConfigPipeline *pipeline)
{
    free_forward(pipeline->forward);
    for (uint32_t i = 0; i < pipeline->stage_count; i++) {
        g_free(pipeline->stages[i].name);
        g_free(pipeline->stages[i].model);
        g_free(pipeline->stages[i].prompt);
        g_free(pipeline->stages[i].path);
    }
    g_free(pipeline->stages);
    g_free(pipeline->name);
}

static void
free_operator(EbConfigOperator *operator)
{
    EbSchemaNames pipelines = {operator->pipelines, operator->pipeline_count };
    EbSchemaNames customers = {operator->customers, operator->customer_count };
    EbSchema_FreeNames(&pipelines);
    EbSchema_FreeNames(&customers);
    g_free(operator->id);
}

static void
free_config(EbConfig *config)
{
    for (uint32_t i = 0; i < config->pool_count; i++) {
        g_free(config->pools[i].name);
        g_free(config->pools[i].server_indexes);
        g_free(config->pools[i].outcome_path);
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        g_free(config->servers[i].id);
        g_free(config->servers[i].host);
        g_free(config->servers[i].failure_domain);
    }
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        free_pipeline(&config->pipelines[i]);
    }
    for (uint32_t i = 0; i < config->customer_count; i++) {
        g_free(config->customers[i].id);
        g_free(config->customers[i].more_digests);
    }
    for (uint32_t i = 0; i < config->operator_count; i++) {
        free_operator(&config->operators[i]);
    }
    g_free(config->pools);
    g_free(config->servers);
    g_free(config->pipelines);
    g_free(config->customers);
    g_free(config->routes);
    g_free(config->operators);
    g_free(config->site);
    json_decref(config->merged);
    json_decref(config->document);
    EbConfigNames_Free(config->names);
    g_free(config);
}

EbConfig *
EbConfig_New(const char *site, uint64_t generation)
{
    EbConfig *config = g_new0(EbConfig, 1);
    config->references = 1;
    config->names = EbConfigNames_New();
    config->site = g_strdup(site);
    config->generation = generation;
    return config;
}

EbConfig *
EbConfig_Ref(EbConfig *config)
{
    assert(config->references > 0);
    config->references++;
    return config;
}

void
EbConfig_Unref(EbConfig *config)
{
    if (config == NULL) {
        return;
    }
    assert(config->references > 0);
    if (--config->references == 0) {
        free_config(config);
    }
}

/* Reads and checks one site. `overlay_name` is NULL for the base alone. */
static EbConfig *
parse_site(EbSchemaReader *reader, json_t *document, const char *overlay_name)
{
    json_t *base = json_object_get(document, "base");
    json_t *overlay =
        json_object_get(json_object_get(document, "overlays"), overlay_name);
    static const EbSchemaPath base_root = {.steps = {{.key = "base"}},
                                           .count = 1};
    reader->path.count = 0;
    reader->root_count = 0;
    reader->site = overlay_name;
    if (overlay != NULL) {
        reader->roots[reader->root_count++] = (EbSchemaPath){
            .steps = {{.key = "overlays"}, {.key = overlay_name}}, .count = 2};
    }
    reader->roots[reader->root_count++] = base_root;
    EbConfig *config = EbConfig_New(NULL, 0);
    config->merged =
        overlay != NULL ? EbConfig_Merge(base, overlay) : json_incref(base);
    if (config->merged == NULL) {
        EbSchema_Fail(reader, EB_ERROR_LIMIT, "out of memory");
    }
    else if (EbConfig_ReadSite(config, config->merged, reader) &&
             EbConfig_Check(config, reader)) {
        return config;
    }
    EbConfig_Unref(config);
    return NULL;
}

static bool
same_contract(const EbContract *left, const EbContract *right)
{
    return left->weight == right->weight &&
           left->requests_per_s_milli == right->requests_per_s_milli &&
           left->burst_requests == right->burst_requests &&
           left->concurrent_requests == right->concurrent_requests &&
           left->tokens_per_s == right->tokens_per_s;
}

/* Checks that the contracts are those of the other sites. A contract is
 * divided among the daemons of all sites, which therefore need the same one.
 * `contracts` has the contracts of the sites read so far, by customer id. */
static bool
check_contracts(EbSchemaReader *reader, const EbConfig *config,
                GHashTable *contracts)
{
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *customer = &config->customers[i];
        const EbContract *other = g_hash_table_lookup(contracts, customer->id);
        if (other == NULL) {
            g_hash_table_insert(
                contracts, g_strdup(customer->id),
                g_memdup2(&customer->contract, sizeof(EbContract)));
        }
        else if (!same_contract(other, &customer->contract)) {
            reader->path.count = 0;
            EbSchema_PushKey(reader, "customers");
            EbSchema_PushKey(reader, customer->id);
            return EbSchema_FailField(
                reader, "contract", EB_ERROR_RANGE,
                "an overlay must not change a contract, which holds across "
                "the daemons of all sites; change it in the base");
        }
    }
    return true;
}

/* Parses a site and compares its contracts with those of the others. */
static EbConfig *
parse_consistent_site(EbSchemaReader *reader, json_t *document,
                      const char *overlay_name, GHashTable *contracts)
{
    EbConfig *config = parse_site(reader, document, overlay_name);
    if (config != NULL && !check_contracts(reader, config, contracts)) {
        EbConfig_Unref(config);
        return NULL;
    }
    return config;
}

/* Parses the base and every overlay. Returns the configuration for `site`. */
static EbConfig *
parse_sites(EbSchemaReader *reader, json_t *document, const char *site)
{
    GHashTable *contracts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    json_t *overlays = json_object_get(document, "overlays");
    EbConfig *selected =
        parse_consistent_site(reader, document, NULL, contracts);
    void *iterator = json_object_iter(overlays);
    while (selected != NULL && iterator != NULL) {
        const char *name = json_object_iter_key(iterator);
        EbConfig *config =
            parse_consistent_site(reader, document, name, contracts);
        if (config == NULL || (site != NULL && strcmp(name, site) == 0)) {
            EbConfig_Unref(selected);
            selected = config;
        }
        else {
            EbConfig_Unref(config);
        }
        iterator = json_object_iter_next(overlays, iterator);
    }
    g_hash_table_destroy(contracts);
    return selected;
}

static bool
check_overlays(EbSchemaReader *reader, json_t *document)
{
    json_t *overlays = json_object_get(document, "overlays");
    if (json_object_size(overlays) > EB_CONFIG_MAX_SITES) {
        return EbSchema_FailField(reader, "overlays", EB_ERROR_LIMIT,
                                  "%zu sites are more than the limit of %d",
                                  json_object_size(overlays),
                                  EB_CONFIG_MAX_SITES);
    }
    EbSchema_PushKey(reader, "overlays");
    const char *name;
    json_t *overlay;
    json_object_foreach(overlays, name, overlay)
    {
        if (!EbSchema_IsName(name)) {
            return EbSchema_FailField(reader, name, EB_ERROR_RANGE,
                                      "the name of a site is 1 to %d "
                                      "characters of A-Za-z0-9._-",
                                      EB_SCHEMA_NAME_MAX_BYTES);
        }
        if (!json_is_object(overlay)) {
            return EbSchema_FailField(reader, name, EB_ERROR_TYPE,
                                      "expected an object");
        }
    }
    EbSchema_Pop(reader);
    return true;
}

EbConfig *
EbConfig_Parse(const char *text, size_t text_bytes, const char *site,
               const char *file, EbError *error)
{
    json_t *document =
        EbSchema_Load(text, text_bytes, EB_CONFIG_MAX_BYTES, file, error);
    if (document == NULL) {
        return NULL;
    }
    EbSchemaReader reader = {.fields = EbConfig_fields,
                             .field_count = EB_CONFIG_DOCUMENT_FIELDS,
                             .text = text,
                             .text_bytes = text_bytes,
                             .file = file,
                             .root_count = 1,
                             .error = error};
    DocumentMembers members = {0};
    EbConfig *config = NULL;
    if (EbSchema_Read(&reader, document, "", &members) &&
        check_overlays(&reader, document)) {
        reader.fields = EbConfig_fields + EB_CONFIG_DOCUMENT_FIELDS;
        reader.field_count = EbConfig_field_count - EB_CONFIG_DOCUMENT_FIELDS;
        config = parse_sites(&reader, document, site);
    }
    if (config != NULL) {
        config->generation = members.generation;
        config->site = g_strdup(site);
        config->document = json_incref(document);
    }
    json_decref(document);
    return config;
}
