/* Pools of the current and earlier configurations, and leaving servers. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"
#include "ebonyhollow/incarnation.h"

void
EbDispatcherPool_Free(gpointer pointer)
{
    EbDispatcherPool *pool = pointer;
    EbPool_Free(pool->pool);
    EbQueue_Free(pool->queue);
    g_hash_table_destroy(pool->mean_tokens);
    g_hash_table_destroy(pool->answer_times);
    g_hash_table_destroy(pool->caller_times);
    if (pool->prefixes != NULL) {
        EbPrefixIndex_Free(pool->prefixes);
    }
    EbConfig_Unref(pool->config);
    g_free(pool->key);
    g_free(pool);
}

/* The kind is part of the key: if a pool's kind changes, the queue and the
 * statistics of the old one don't fit the new work. */
static char *
pool_key(const EbConfigPool *pool)
{
    return g_strdup_printf("%s %s", EbStageKind_names[pool->kind], pool->name);
}

EbDispatcherPool *
EbDispatcher_FindPool(EbDispatcher *dispatcher, const EbConfigPool *pool)
{
    char *key = pool_key(pool);
    EbDispatcherPool *state = g_hash_table_lookup(dispatcher->pools, key);
    g_free(key);
    return state;
}

static EbDispatcherPool *
create_pool(EbDispatcher *dispatcher, EbConfig *config, uint32_t index)
{
    bool plain = EbDispatcher_IsPlain(dispatcher);
    EbDispatcherPool *state = g_new0(EbDispatcherPool, 1);
    state->key = pool_key(&config->pools[index]);
    state->pool = EbPool_New(
        &(EbPoolOptions){
            .config = config,
            .pool_index = index,
            .instance = dispatcher->instance,
            .failure_domain = dispatcher->failure_domain,
            .policy = plain ? EB_POOL_ROUND_ROBIN : EB_POOL_ADAPTIVE,
            .random = dispatcher->options.random,
            .events = dispatcher->options.events,
            .directives = dispatcher->options.directives,
            .evacuations = dispatcher->options.evacuations,
            .pace = EbDirectives_Pace(dispatcher->options.directives),
            .measure_speeds = dispatcher->options.measure_speeds,
        },
        NULL);
    assert(state->pool != NULL);
    state->admission_us = INT64_MAX;
    EbPool_SetDaemonCount(state->pool, dispatcher->daemon_count);
    /* A request is in a queue at most once, so max_requests bounds the queue.
     * queue_max is checked on enqueueing, because it may change later. */
    state->queue = EbQueue_New(&(EbQueueOptions){
        .order = plain ? EB_QUEUE_FIRST_COME : EB_QUEUE_WEIGHTED_FAIR,
        .max_entries = dispatcher->options.max_requests,
        .least_class_permille = dispatcher->options.least_class_permille,
    });
    if (config->pools[index].kind == EB_STAGE_GENERATE) {
        state->prefixes = EbPrefixIndex_New(&(EbPrefixIndexOptions){0});
    }
    state->mean_tokens =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    state->answer_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    state->caller_times =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    EbRetryBudget_Init(&state->retry_budget, &(EbRetryBudgetOptions){0});
    g_hash_table_insert(dispatcher->pools, state->key, state);
    return state;
}

static gboolean
is_unused_pool(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    const EbDispatcherPool *pool = value;
    return !pool->current && pool->live_stages == 0;
}

static void
apply_leaving(EbDispatcher *dispatcher, EbDispatcherPool *pool, int64_t now_us)
{
    const EbDirectives *directives = dispatcher->options.directives;
    for (uint32_t i = 0; i < pool->config->server_count; i++) {
        const char *id = pool->config->servers[i].id;
        if (EbDirectives_IsLeaving(directives, id)) {
            EbPool_SetLeaving(pool->pool, id, true, now_us);
        }
    }
}

/* Forgets the prefixes that servers held before they started anew. */
static void
forget_prefixes(const EbDispatcherPool *pool, const EbConfig *config)
{
    GHashTable *starts = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < pool->config->server_count; i++) {
        const EbConfigBackendServer *row = &pool->config->servers[i];
        g_hash_table_insert(starts, row->id, (gpointer)row);
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        const EbConfigBackendServer *row = &config->servers[i];
        const EbConfigBackendServer *old =
            g_hash_table_lookup(starts, row->id);
        if (old != NULL &&
            EbIncarnation_HasChanged(old->incarnation, row->incarnation)) {
            EbPrefixIndex_RemoveServer(pool->prefixes, row->id);
        }
    }
    g_hash_table_destroy(starts);
}

static void
apply_pool(EbDispatcher *dispatcher, EbConfig *config, uint32_t index,
           int64_t now_us)
{
    EbDispatcherPool *pool =
        EbDispatcher_FindPool(dispatcher, &config->pools[index]);
    if (pool == NULL) {
        pool = create_pool(dispatcher, config, index);
    }
    else {
        EbPool_SetConfig(pool->pool, config, index);
        if (pool->prefixes != NULL) {
            forget_prefixes(pool, config);
        }
        EbConfig_Unref(pool->config);
    }
    pool->config = EbConfig_Ref(config);
    pool->queue_max = config->pools[index].queue_max;
    pool->current = true;
    pool->dirty = true;
    apply_leaving(dispatcher, pool, now_us);
    g_ptr_array_add(dispatcher->current_pools, pool);
}

void
EbDispatcher_ApplyPools(EbDispatcher *dispatcher, EbConfig *config,
                        int64_t now_us)
{
    for (guint i = 0; i < dispatcher->current_pools->len; i++) {
        EbDispatcherPool *pool =
            g_ptr_array_index(dispatcher->current_pools, i);
        pool->current = false;
    }
    g_ptr_array_set_size(dispatcher->current_pools, 0);
    for (uint32_t i = 0; i < config->pool_count; i++) {
        apply_pool(dispatcher, config, i, now_us);
    }
    g_hash_table_foreach_remove(dispatcher->pools, is_unused_pool, NULL);
}

void
EbDispatcher_ReleasePools(EbDispatcher *dispatcher, EbRequest *request)
{
    bool unused = false;
    for (uint32_t i = 0; i < EB_CONFIG_MAX_STAGES; i++) {
        EbDispatcherPool *pool = request->pools[i];
        if (pool != NULL) {
            pool->live_stages--;
            unused = unused || is_unused_pool(NULL, pool, NULL);
        }
        request->pools[i] = NULL;
    }
    if (unused) {
        g_hash_table_foreach_remove(dispatcher->pools, is_unused_pool, NULL);
    }
}

void
EbDispatcher_MarkLeaving(EbDispatcher *dispatcher, const char *server_id,
                         uint64_t incarnation, bool leaving,
                         const char *source, int64_t now_us)
{
    EbDirectives *directives = dispatcher->options.directives;
    EbDirectives_SetLeaving(directives, server_id, incarnation, leaving,
                            now_us);
    if (leaving && !EbDirectives_IsLeaving(directives, server_id)) {
        return; /* the mark is about another start of the server */
    }
    bool changed = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbDispatcherPool *pool = value;
        if (EbPool_SetLeaving(pool->pool, server_id, leaving, now_us)) {
            changed = true;
            pool->dirty = true;
            if (leaving && pool->prefixes != NULL) {
                EbPrefixIndex_RemoveServer(pool->prefixes, server_id);
            }
        }
    }
    if (changed && leaving) {
        EB_EMIT(dispatcher->options.events, EB_EVENT_SERVER_LEAVING,
                EB_STRING_FIELD("backend_server", server_id),
                EB_STRING_FIELD("source", source));
    }
    if (changed && leaving && dispatcher->options.server_leaving != NULL &&
        strcmp(source, "peer") != 0) {
        dispatcher->options.server_leaving(dispatcher->options.context,
                                           server_id, now_us);
    }
}
