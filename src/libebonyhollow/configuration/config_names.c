/* Look-up of entries by name. The lists keep the order of their source, which
 * need not be that of the names, so each list has a hash table. */
#include <glib.h>

#include "config_private.h"

typedef const char *(*NameOf)(const void *entry);

/* The names of one list. Lists grow while a configuration is read; `count`
 * tells how many of the entries have been added. */
typedef struct {
    GHashTable *indexes; /* borrowed name to index */
    uint32_t count;
} NameTable;

struct EbConfigNames {
    NameTable pools;
    NameTable servers;
    NameTable pipelines;
    NameTable customers;
};

EbConfigNames *
EbConfigNames_New(void)
{
    return g_new0(EbConfigNames, 1);
}

static void
clear_table(NameTable *table)
{
    if (table->indexes != NULL) {
        g_hash_table_destroy(table->indexes);
    }
}

void
EbConfigNames_Free(EbConfigNames *names)
{
    if (names == NULL) {
        return;
    }
    clear_table(&names->pools);
    clear_table(&names->servers);
    clear_table(&names->pipelines);
    clear_table(&names->customers);
    g_free(names);
}

static const char *
pool_name(const void *entry)
{
    return ((const EbConfigPool *)entry)->name;
}

static const char *
server_id(const void *entry)
{
    return ((const EbConfigBackendServer *)entry)->id;
}

static const char *
pipeline_name(const void *entry)
{
    return ((const EbConfigPipeline *)entry)->name;
}

static const char *
customer_id(const void *entry)
{
    return ((const EbConfigCustomer *)entry)->id;
}

/* Adds the entries that were appended since the last call. Of two entries with
 * the same name, the first is found. */
static void
add_entries(NameTable *table, const void *entries, uint32_t count,
            size_t entry_bytes, NameOf name_of)
{
    if (table->indexes == NULL) {
        table->indexes = g_hash_table_new(g_str_hash, g_str_equal);
    }
    for (; table->count < count; table->count++) {
        const char *entry = (const char *)entries + table->count * entry_bytes;
        gpointer name = (gpointer)name_of(entry);
        if (!g_hash_table_contains(table->indexes, name)) {
            g_hash_table_insert(table->indexes, name,
                                GUINT_TO_POINTER(table->count));
        }
    }
}

static uint32_t
find_index(NameTable *table, const void *entries, uint32_t count,
           size_t entry_bytes, NameOf name_of, const char *name)
{
    if (name == NULL) {
        return UINT32_MAX;
    }
    add_entries(table, entries, count, entry_bytes, name_of);
    gpointer index;
    return g_hash_table_lookup_extended(table->indexes, name, NULL, &index)
               ? GPOINTER_TO_UINT(index)
               : UINT32_MAX;
}

uint32_t
EbConfig_PoolIndex(const EbConfig *config, const char *name)
{
    return find_index(&config->names->pools, config->pools, config->pool_count,
                      sizeof(config->pools[0]), pool_name, name);
}

uint32_t
EbConfig_ServerIndex(const EbConfig *config, const char *id)
{
    return find_index(&config->names->servers, config->servers,
                      config->server_count, sizeof(config->servers[0]),
                      server_id, id);
}

uint32_t
EbConfig_PipelineIndex(const EbConfig *config, const char *name)
{
    return find_index(&config->names->pipelines, config->pipelines,
                      config->pipeline_count, sizeof(config->pipelines[0]),
                      pipeline_name, name);
}

uint32_t
EbConfig_CustomerIndex(const EbConfig *config, const char *id)
{
    return find_index(&config->names->customers, config->customers,
                      config->customer_count, sizeof(config->customers[0]),
                      customer_id, id);
}
