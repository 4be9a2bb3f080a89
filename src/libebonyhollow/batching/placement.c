#include "ebonyhollow/placement.h"

static const char *
find_result_domain(const EbConfig *config,
                   bool (*read_handle)(const char *, char **, uint16_t *),
                   const char *handle)
{
    char *host = NULL;
    uint16_t port = 0;
    const EbConfigBackendServer *server = NULL;
    if (read_handle(handle, &host, &port)) {
        server = EbConfig_FindServerByAddress(config, host, port);
    }
    g_free(host);
    return server != NULL ? server->failure_domain : NULL;
}

const char *
EbPlacement_FindInputDomain(const EbConfig *config,
                            bool (*read_handle)(const char *handle,
                                                char **host, uint16_t *port),
                            const GPtrArray *inputs)
{
    GHashTable *counts = g_hash_table_new(g_str_hash, g_str_equal);
    const char *best = NULL;
    guint highest = 0;
    for (guint i = 0; inputs != NULL && i < inputs->len; i++) {
        const char *domain = find_result_domain(config, read_handle,
                                                g_ptr_array_index(inputs, i));
        if (domain == NULL) {
            continue;
        }
        guint count =
            GPOINTER_TO_UINT(g_hash_table_lookup(counts, domain)) + 1;
        g_hash_table_insert(counts, (gpointer)domain, GUINT_TO_POINTER(count));
        if (count > highest) {
            highest = count;
            best = domain;
        }
    }
    g_hash_table_destroy(counts);
    return best;
}
