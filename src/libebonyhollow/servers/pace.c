#include <string.h>

#include "ebonyhollow/incarnation.h"
#include "pace_state.h"

/* Servers that are kept, those of earlier configurations included. */
#define MAX_SERVERS 4096
/* An entry that arrives sooner after an event may have been written before it.
 */
#define ENTRY_DELAY_US INT64_C(500000)

static void
free_server(gpointer pointer)
{
    EbPaceServer *server = pointer;
    g_free(server->id);
    g_free(server->failure_domain);
    g_free(server);
}

EbPace *
EbPace_New(const EbPaceOptions *options)
{
    EbPace *pace = g_new0(EbPace, 1);
    pace->options = *options;
    pace->instance = g_strdup(options->instance);
    pace->options.instance = pace->instance;
    pace->fleet = EbFleetShare_New(options->instance);
    pace->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    pace->references =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return pace;
}

void
EbPace_Free(EbPace *pace)
{
    if (pace == NULL) {
        return;
    }
    g_hash_table_destroy(pace->servers);
    g_hash_table_destroy(pace->references);
    EbFleetShare_Free(pace->fleet);
    g_free(pace->instance);
    g_free(pace);
}

EbPace *
EbPace_Copy(const EbPace *pace)
{
    EbPaceOptions options = pace->options;
    options.events = NULL;
    options.metrics = NULL;
    EbPace *copy = EbPace_New(&options);
    copy->configured = pace->configured;
    copy->cold_end_us = pace->cold_end_us;
    copy->paced_count = pace->paced_count;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        /* The answers of its pool stay with the original. */
        EbPaceServer *server = g_memdup2(value, sizeof(*server));
        server->id = g_strdup(server->id);
        server->failure_domain = g_strdup(server->failure_domain);
        g_hash_table_insert(copy->servers, server->id, server);
    }
    return copy;
}

EbPaceServer *
EbPace_FindServer(const EbPace *pace, const char *id)
{
    return g_hash_table_lookup(pace->servers, id);
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    const EbPaceServer *server = value;
    return !server->current && !server->paced;
}

/* Returns NULL when there is no room for a server. */
static EbPaceServer *
add_server(EbPace *pace, const char *id)
{
    if (g_hash_table_size(pace->servers) >= MAX_SERVERS) {
        g_hash_table_foreach_remove(pace->servers, is_unused, NULL);
    }
    if (g_hash_table_size(pace->servers) >= MAX_SERVERS) {
        return NULL;
    }
    EbPaceServer *server = g_new0(EbPaceServer, 1);
    server->id = g_strdup(id);
    server->cause = "";
    g_hash_table_insert(pace->servers, server->id, server);
    return server;
}

void
EbPace_Readmitted(EbPace *pace, const char *server_id, int64_t now_us)
{
    EbPaceServer *server = EbPace_FindServer(pace, server_id);
    if (server == NULL) {
        server = add_server(pace, server_id);
    }
    if (server != NULL) {
        EbPace_Begin(pace, server, "readmitted", false, now_us);
    }
}

void
EbPace_SetMembers(EbPace *pace, const char *const *live, size_t live_count,
                  const char *const *lost, size_t lost_count, int64_t now_us)
{
    EbFleetShare_SetMembers(pace->fleet, live, live_count, lost, lost_count);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPaceServer *server = value;
        if (now_us < EbPace_ColdEnd(server)) {
            EbPace_UpdatePart(pace, server, now_us);
        }
        if (server->paced) {
            server->rank = EbFleetShare_LiveRank(pace->fleet, server->id);
        }
    }
}

/* Handles a start of a server that this daemon did not know of. */
static void
record_start(EbPace *pace, EbPaceServer *server, uint64_t incarnation,
             int64_t cold_left_us, int64_t now_us)
{
    bool was_cold = now_us < EbPace_ColdEnd(server);
    server->incarnation = incarnation;
    server->doubt_until_us = 0;
    server->cold_until_us =
        now_us + (cold_left_us >= 0 ? cold_left_us : server->pool_cold_us);
    EbPace_ColdChanged(pace, server, was_cold, now_us);
    EbPace_Begin(pace, server, "started", true, now_us);
}

void
EbPace_RecordEntry(EbPace *pace, const char *server_id, uint64_t incarnation,
                   int64_t cold_left_us, int64_t now_us)
{
    EbPaceServer *server = EbPace_FindServer(pace, server_id);
    bool is_new = server == NULL;
    if (is_new) {
        server = add_server(pace, server_id);
        if (server == NULL) {
            return;
        }
        server->incarnation = incarnation;
    }
    if (pace->configured &&
        (is_new ||
         EbIncarnation_HasChanged(server->incarnation, incarnation))) {
        record_start(pace, server, incarnation, cold_left_us, now_us);
        return;
    }
    server->incarnation = incarnation != 0 ? incarnation : server->incarnation;
    if (cold_left_us < 0) {
        return;
    }
    bool was_cold = now_us < EbPace_ColdEnd(server);
    server->cold_until_us = now_us + cold_left_us;
    if (now_us >= server->doubted_us + ENTRY_DELAY_US) {
        server->doubt_until_us = 0;
    }
    EbPace_ColdChanged(pace, server, was_cold, now_us);
    if (cold_left_us > 0 && !was_cold && !server->paced) {
        EbPace_Begin(pace, server, "cold", true, now_us);
    }
}

void
EbPace_DomainReturned(EbPace *pace, const char *failure_domain, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPaceServer *server = value;
        if (server->current &&
            g_strcmp0(server->failure_domain, failure_domain) == 0) {
            EbPace_DoubtServer(pace, server, now_us);
            EbPace_Begin(pace, server, "evacuation", true, now_us);
        }
    }
}

static EbAnswerReference *
get_reference(EbPace *pace, const char *pool)
{
    EbAnswerReference *reference = g_hash_table_lookup(pace->references, pool);
    if (reference == NULL) {
        reference = g_new0(EbAnswerReference, 1);
        g_hash_table_insert(pace->references, g_strdup(pool), reference);
    }
    return reference;
}

static void
set_server(EbPace *pace, const EbConfigPool *pool,
           const EbConfigBackendServer *row, int64_t now_us)
{
    EbPaceServer *server = EbPace_FindServer(pace, row->id);
    bool is_new = server == NULL;
    if (is_new) {
        server = add_server(pace, row->id);
    }
    if (server == NULL) {
        return;
    }
    bool was_cold = now_us < EbPace_ColdEnd(server);
    server->current = true;
    server->capacity = row->capacity;
    server->reference = get_reference(pace, pool->name);
    server->cold_per_s = pool->cold_requests_per_s;
    server->pool_cold_us = pool->cold_us;
    if (g_strcmp0(server->failure_domain, row->failure_domain) != 0) {
        g_free(server->failure_domain);
        server->failure_domain = g_strdup(row->failure_domain);
    }
    if (is_new && pace->configured) {
        record_start(pace, server, row->incarnation, -1, now_us);
        return;
    }
    EbPace_ColdChanged(pace, server, was_cold, now_us);
    if (was_cold) {
        EbPace_UpdatePart(pace, server, now_us);
    }
}

static gboolean
is_unknown_pool(gpointer name, gpointer reference, gpointer context)
{
    (void)reference;
    const EbConfig *config = context;
    for (uint32_t i = 0; i < config->pool_count; i++) {
        if (strcmp(config->pools[i].name, name) == 0) {
            return FALSE;
        }
    }
    return TRUE;
}

void
EbPace_SetConfig(EbPace *pace, const EbConfig *config, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPaceServer *server = value;
        server->current = false;
        server->reference = NULL;
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        const EbConfigBackendServer *row = &config->servers[i];
        set_server(pace, &config->pools[row->pool_index], row, now_us);
    }
    g_hash_table_foreach_remove(pace->references, is_unknown_pool,
                                (gpointer)config);
    pace->configured = true;
}

void
EbPace_View(EbPace *pace, const char *server_id, EbPaceView *view,
            int64_t now_us)
{
    const EbPaceServer *cold = EbPace_FindCold(pace, server_id, now_us);
    const EbPaceServer *paced = EbPace_FindPaced(pace, server_id, now_us);
    *view = (EbPaceView){
        .paced = paced != NULL,
        .cause = paced != NULL ? paced->cause : "",
        .cold_left_us = cold != NULL ? EbPace_ColdEnd(cold) - now_us : 0,
    };
}

uint32_t
EbPace_Count(const EbPace *pace)
{
    return pace->paced_count;
}
