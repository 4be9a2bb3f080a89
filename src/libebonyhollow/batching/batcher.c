#include "ebonyhollow/batcher.h"

#include <string.h>

#include <glib.h>

#include "batcher_state.h"
#include "ebonyhollow/incarnation.h"

/* Releases are collected for this long, so that one message to a server frees
 * several results. */
#define RELEASE_INTERVAL_US 15000

static char *
job_key(const char *requester, uint64_t job)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT, requester, job);
}

static void
free_server(gpointer pointer)
{
    EbBatchServer *server = pointer;
    g_ptr_array_unref(server->releases);
    g_free(server->id);
    g_free(server->host);
    g_free(server->failure_domain);
    g_free(server);
}

static void
free_service(gpointer pointer)
{
    EbBatchService *service = pointer;
    g_sequence_free(service->queue);
    g_hash_table_destroy(service->servers);
    g_free(service->name);
    g_free(service);
}

static void
free_job(gpointer pointer)
{
    EbBatchJob *job = pointer;
    for (uint32_t i = 0; i < job->spec.item_count; i++) {
        g_free(job->items[i].handle);
        g_free(job->items[i].server_id);
    }
    g_free(job->items);
    g_queue_clear(&job->waiting);
    EbPreparationJob_Clear(&job->spec);
    g_free(job->requester);
    g_free(job);
}

EbBatcher *
EbBatcher_New(const EbBatcherOptions *options)
{
    EbBatcher *batcher = g_new0(EbBatcher, 1);
    batcher->options = *options;
    batcher->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    batcher->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_job);
    batcher->unfinished = g_sequence_new(NULL);
    batcher->ended_jobs = g_hash_table_new_full(NULL, NULL, free_job, NULL);
    batcher->requesters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    batcher->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                           EbBatchCall_Free);
    g_queue_init(&batcher->results);
    batcher->next_release_us = INT64_MAX;
    return batcher;
}

void
EbBatcherResult_Clear(EbBatcherResult *result)
{
    for (uint32_t i = 0; i < result->handle_count; i++) {
        g_free(result->handles[i]);
    }
    g_free(result->handles);
    g_free(result->requester);
    *result = (EbBatcherResult){0};
}

void
EbBatcher_Free(EbBatcher *batcher)
{
    if (batcher == NULL) {
        return;
    }
    EbBatcherResult result;
    while (EbBatcher_NextResult(batcher, &result)) {
        EbBatcherResult_Clear(&result);
    }
    g_hash_table_destroy(batcher->calls);
    g_hash_table_destroy(batcher->jobs);
    g_hash_table_destroy(batcher->ended_jobs);
    g_sequence_free(batcher->unfinished);
    g_hash_table_destroy(batcher->requesters);
    g_hash_table_destroy(batcher->services);
    g_free(batcher);
}

/* Configuration */

static EbBatchService *
get_service(EbBatcher *batcher, const char *name)
{
    EbBatchService *service = g_hash_table_lookup(batcher->services, name);
    if (service == NULL) {
        service = g_new0(EbBatchService, 1);
        service->name = g_strdup(name);
        service->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
        service->queue = g_sequence_new(NULL);
        g_hash_table_insert(batcher->services, service->name, service);
    }
    return service;
}

static void
forget_results(GHashTable *jobs, const char *server_id)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchJob *job = value;
        for (uint32_t i = 0; i < job->spec.item_count; i++) {
            if (g_strcmp0(job->items[i].server_id, server_id) == 0) {
                job->items[i].holds_memory = false;
            }
        }
    }
}

/* A server that has started anew holds no results, and nothing that was
 * learned of its speed and failures is known of the new start. */
static void
reset_server(EbBatcher *batcher, EbBatchServer *server)
{
    forget_results(batcher->jobs, server->id);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchCall *call = value;
        for (guint i = 0; call->server == server && i < call->items->len;
             i++) {
            ((EbBatchItem *)g_ptr_array_index(call->items, i))->holds_memory =
                false;
        }
    }
    g_ptr_array_set_size(server->releases, 0);
    server->held_bytes = 0;
    server->released_bytes = 0;
    server->slowdown = 1;
    server->failures = 0;
    server->blocked_until_us = 0;
}

static void
update_server(EbBatcher *batcher, EbBatchService *service,
              const EbConfigBackendServer *row)
{
    EbBatchServer *server = g_hash_table_lookup(service->servers, row->id);
    if (server == NULL) {
        server = g_new0(EbBatchServer, 1);
        server->id = g_strdup(row->id);
        server->slowdown = 1;
        server->releases = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(service->servers, server->id, server);
    }
    g_free(server->host);
    g_free(server->failure_domain);
    server->host = g_strdup(row->host);
    server->failure_domain = g_strdup(row->failure_domain);
    server->port = row->port;
    server->current = true;
    if (EbIncarnation_HasChanged(server->incarnation, row->incarnation)) {
        reset_server(batcher, server);
    }
    server->incarnation = row->incarnation;
    EbBatchServer_CheckEvacuation(batcher, server);
}

static gboolean
is_unused_server(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    const EbBatchServer *server = value;
    return !server->current && server->running == 0;
}

static void
mark_servers_outdated(EbBatchService *service)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((EbBatchServer *)value)->current = false;
    }
}

void
EbBatcher_SetConfig(EbBatcher *batcher, EbConfig *config, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mark_servers_outdated(value);
    }
    for (uint32_t i = 0; i < config->pool_count; i++) {
        const EbConfigPool *pool = &config->pools[i];
        if (pool->batch.max_items == 0) {
            continue;
        }
        EbBatchService *service = get_service(batcher, pool->name);
        service->batch = pool->batch;
        service->by_urgency = EbConfig_PreparesByUrgency(config, i);
        for (uint32_t k = 0; k < pool->server_count; k++) {
            update_server(batcher, service,
                          &config->servers[pool->server_indexes[k]]);
        }
    }
    g_hash_table_iter_init(&iter, batcher->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbBatchService *service = value;
        g_hash_table_foreach_remove(service->servers, is_unused_server, NULL);
        EbBatchService_StartCalls(batcher, service, now_us);
    }
}

/* Queue */

static gint
compare_jobs(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    const EbBatchJob *a = left;
    const EbBatchJob *b = right;
    if (a->spec.due_us != b->spec.due_us) {
        return a->spec.due_us < b->spec.due_us ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

void
EbBatchJob_Dequeue(EbBatchJob *job)
{
    if (job->queue_position != NULL) {
        g_sequence_remove(job->queue_position);
        job->queue_position = NULL;
    }
}

void
EbBatchJob_EnqueueItem(EbBatchJob *job, EbBatchItem *item)
{
    g_queue_push_tail(&job->waiting, item);
    job->service->waiting_count++;
    job->service->waiting_bytes += job->spec.result_bytes;
    if (job->queue_position == NULL) {
        job->queue_position = g_sequence_insert_sorted(
            job->service->queue, job, compare_jobs, NULL);
    }
}

void
EbBatchJob_DropWaiting(EbBatchJob *job)
{
    job->service->waiting_count -= job->waiting.length;
    job->service->waiting_bytes -=
        job->waiting.length * job->spec.result_bytes;
    g_queue_clear(&job->waiting);
    EbBatchJob_Dequeue(job);
}

static bool
is_prepared(const EbBatchJob *job)
{
    return !job->ended && job->done_count == job->spec.item_count;
}

static void
push_result(EbBatcher *batcher, const EbBatchJob *job, EbPreparedStatus status)
{
    EbBatcherResult *result = g_new0(EbBatcherResult, 1);
    result->requester = g_strdup(job->requester);
    result->job = job->spec.job;
    result->status = status;
    result->room_in_us = job->room_in_us;
    if (status == EB_PREPARED_OK) {
        result->handle_count = job->spec.item_count;
        result->handles = g_new0(char *, result->handle_count);
        for (uint32_t i = 0; i < result->handle_count; i++) {
            result->handles[i] = g_strdup(job->items[i].handle);
        }
    }
    g_queue_push_tail(&batcher->results, result);
}

/* Results */

static void
finish(EbBatchJob *job)
{
    job->finished = true;
    if (job->deadline_position != NULL) {
        g_sequence_remove(job->deadline_position);
        job->deadline_position = NULL;
    }
}

void
EbBatchJob_Report(EbBatcher *batcher, EbBatchJob *job, EbPreparedStatus status,
                  int64_t now_us)
{
    finish(job);
    EbBatchJob_DropWaiting(job);
    EB_EMIT(batcher->options.events, EB_EVENT_PREPARATION_ENDED,
            EB_STRING_FIELD("request_id", job->spec.request_id),
            EB_STRING_FIELD("service", job->spec.service),
            EB_INTEGER_FIELD("stage", job->spec.stage),
            EB_INTEGER_FIELD("pieces", job->spec.item_count),
            EB_STRING_FIELD("status", EbPreparedStatus_names[status]),
            EB_INTEGER_FIELD("wait_us", now_us - job->added_us));
    push_result(batcher, job, status);
}

bool
EbBatcher_NextResult(EbBatcher *batcher, EbBatcherResult *result)
{
    EbBatcherResult *next = g_queue_pop_head(&batcher->results);
    if (next == NULL) {
        return false;
    }
    *result = *next;
    g_free(next);
    return true;
}

EbBatchServer *
EbBatchJob_FindItemServer(const EbBatchJob *job, const EbBatchItem *item)
{
    return item->server_id != NULL
               ? g_hash_table_lookup(job->service->servers, item->server_id)
               : NULL;
}

void
EbBatchJob_FreeResultMemory(const EbBatchJob *job, EbBatchItem *item,
                            EbBatchServer *server)
{
    if (item->holds_memory) {
        item->holds_memory = false;
        server->held_bytes -= MIN(server->held_bytes, job->spec.result_bytes);
    }
}

static void
queue_release(EbBatcher *batcher, const EbBatchServer *server,
              const char *handle, int64_t now_us)
{
    g_ptr_array_add(server->releases, g_strdup(handle));
    batcher->next_release_us =
        MIN(batcher->next_release_us, now_us + RELEASE_INTERVAL_US);
}

void
EbBatchJob_ReleaseResult(EbBatcher *batcher, const EbBatchJob *job,
                         EbBatchItem *item, int64_t now_us)
{
    EbBatchServer *server = EbBatchJob_FindItemServer(job, item);
    if (server != NULL && item->handle != NULL) {
        queue_release(batcher, server, item->handle, now_us);
        if (item->holds_memory) {
            item->holds_memory = false;
            server->released_bytes += job->spec.result_bytes;
        }
    }
}

void
EbBatchJob_Free(EbBatcher *batcher, EbBatchJob *job)
{
    if (g_hash_table_remove(batcher->ended_jobs, job)) {
        return;
    }
    char *key = job_key(job->requester, job->spec.job);
    g_hash_table_remove(batcher->jobs, key);
    g_free(key);
}

void
EbBatchJob_End(EbBatcher *batcher, EbBatchJob *job, int64_t now_us)
{
    if (job->ended) {
        return;
    }
    finish(job);
    job->ended = true;
    EbBatchJob_DropWaiting(job);
    for (uint32_t i = 0; i < job->spec.item_count; i++) {
        if (job->items[i].handle != NULL) {
            EbBatchJob_ReleaseResult(batcher, job, &job->items[i], now_us);
        }
    }
    /* Removed from `jobs` now, although items may still run: the requester may
     * use the number for another job at once. */
    char *key = job_key(job->requester, job->spec.job);
    gpointer owned_key = NULL;
    g_hash_table_steal_extended(batcher->jobs, key, &owned_key, NULL);
    g_free(owned_key);
    g_free(key);
    g_hash_table_add(batcher->ended_jobs, job);
    if (job->running_count == 0) {
        EbBatchJob_Free(batcher, job);
    }
}

/* Jobs */

/* Returns whether two jobs with the same number are the same preparation. A
 * requester that was restarted numbers its jobs from the beginning. */
static bool
is_same_preparation(const EbPreparationJob *a, const EbPreparationJob *b)
{
    return a->stage == b->stage && strcmp(a->request_id, b->request_id) == 0;
}

static int
compare_deadlines(gconstpointer left, gconstpointer right, gpointer unused)
{
    (void)unused;
    int64_t a = ((const EbBatchJob *)left)->spec.deadline_us;
    int64_t b = ((const EbBatchJob *)right)->spec.deadline_us;
    return a < b ? -1 : a > b;
}

void
EbBatcher_AddJob(EbBatcher *batcher, const char *requester,
                 const EbPreparationJob *spec, int64_t now_us)
{
    char *key = job_key(requester, spec->job);
    EbBatchJob *job = g_hash_table_lookup(batcher->jobs, key);
    if (job != NULL && is_same_preparation(&job->spec, spec)) {
        /* The requester asks again because its link broke. */
        job->grace_until_us = INT64_MAX;
        if (is_prepared(job)) {
            push_result(batcher, job, EB_PREPARED_OK);
        }
        g_free(key);
        return;
    }
    if (job != NULL) {
        EbBatchJob_End(batcher, job, now_us);
    }
    job = g_new0(EbBatchJob, 1);
    job->requester = g_strdup(requester);
    job->sequence = ++batcher->last_sequence;
    job->spec = EbPreparationJob_Copy(spec);
    job->service = get_service(batcher, spec->service);
    job->items = g_new0(EbBatchItem, spec->item_count);
    job->added_us = now_us;
    job->grace_until_us = INT64_MAX;
    job->expires_us =
        spec->deadline_us + job->service->batch.result_lifetime_us;
    job->deadline_position = g_sequence_insert_sorted(batcher->unfinished, job,
                                                      compare_deadlines, NULL);
    g_queue_init(&job->waiting);
    g_hash_table_insert(batcher->jobs, key, job);
    for (uint32_t i = 0; i < spec->item_count; i++) {
        job->items[i] = (EbBatchItem){.job = job, .index = i};
        EbBatchJob_EnqueueItem(job, &job->items[i]);
    }
    if (spec->due_us >=
        now_us + EbBatchService_ExpectedTime(job->service, 1)) {
        EbStageRates_Add(
            &job->service->arrivals,
            EbStageSchedule_Class(spec->priority, spec->route_priority),
            spec->item_count, now_us);
    }
    EbBatchService_StartCalls(batcher, job->service, now_us);
}

void
EbBatcher_EndJob(EbBatcher *batcher, const char *requester, uint64_t number,
                 int64_t now_us)
{
    char *key = job_key(requester, number);
    EbBatchJob *job = g_hash_table_lookup(batcher->jobs, key);
    g_free(key);
    if (job != NULL) {
        EbBatchJob_End(batcher, job, now_us);
    }
}

void
EbBatcher_RequesterLost(EbBatcher *batcher, const char *requester,
                        int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(batcher->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbBatchJob *job = item->data;
        if (strcmp(job->requester, requester) != 0) {
            continue;
        }
        if (is_prepared(job)) {
            job->grace_until_us = now_us + EB_BATCHER_REQUESTER_GRACE_US;
        }
        else {
            EbBatchJob_End(batcher, job, now_us);
        }
    }
    g_list_free(jobs);
}

void
EbBatcher_RequesterLinked(EbBatcher *batcher, const char *requester,
                          uint64_t incarnation, int64_t now_us)
{
    const uint64_t *known =
        g_hash_table_lookup(batcher->requesters, requester);
    bool restarted = known != NULL && *known != incarnation;
    GList *jobs = g_hash_table_get_values(batcher->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbBatchJob *job = item->data;
        if (strcmp(job->requester, requester) != 0) {
            continue;
        }
        if (restarted) {
            EbBatchJob_End(batcher, job, now_us);
        }
        else {
            job->grace_until_us = INT64_MAX;
        }
    }
    g_list_free(jobs);
    g_hash_table_replace(batcher->requesters, g_strdup(requester),
                         g_memdup2(&incarnation, sizeof(incarnation)));
}

void
EbBatcher_ReleaseResult(EbBatcher *batcher, const char *service,
                        const char *host, uint16_t port, const char *handle,
                        int64_t now_us)
{
    const EbBatchService *found =
        g_hash_table_lookup(batcher->services, service);
    GHashTableIter iter;
    gpointer value;
    if (found == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, found->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->port == port && strcmp(server->host, host) == 0) {
            queue_release(batcher, server, handle, now_us);
            return;
        }
    }
}

size_t
EbBatcher_PendingJobCount(const EbBatcher *batcher)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += !((const EbBatchJob *)value)->finished;
    }
    return count;
}
