#include "ebonyhollow/pieces.h"

#include <string.h>

#include <glib.h>

#include "pieces_state.h"

/* Results to be freed are gathered for so long. */
#define RELEASE_INTERVAL_US 15000
/* How soon a free server is looked at again that no item was for. */
#define REVIEW_US 20000

static char *
job_key(const char *origin, uint64_t job)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT, origin, job);
}

static void
free_server(gpointer pointer)
{
    EbPieceServer *server = pointer;
    g_ptr_array_unref(server->releases);
    g_free(server->id);
    g_free(server->host);
    g_free(server->failure_domain);
    g_free(server);
}

static void
free_service(gpointer pointer)
{
    EbPieceService *service = pointer;
    g_sequence_free(service->queue);
    g_hash_table_destroy(service->servers);
    g_free(service->name);
    g_free(service);
}

static void
free_job(gpointer pointer)
{
    EbPieceJob *job = pointer;
    for (uint32_t i = 0; i < job->prepare.piece_count; i++) {
        g_free(job->pieces[i].handle);
        g_free(job->pieces[i].server_id);
    }
    g_free(job->pieces);
    g_queue_clear(&job->waiting);
    EbPrepare_Clear(&job->prepare);
    g_free(job->origin);
    g_free(job);
}

EbPieces *
EbPieces_New(const EbPiecesOptions *options)
{
    EbPieces *pieces = g_new0(EbPieces, 1);
    pieces->options = *options;
    pieces->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    pieces->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_job);
    pieces->ended = g_hash_table_new_full(NULL, NULL, free_job, NULL);
    pieces->origins =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pieces->calls = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          EbPieceCall_Free);
    g_queue_init(&pieces->results);
    pieces->release_us = INT64_MAX;
    return pieces;
}

void
EbPiecesResult_Clear(EbPiecesResult *result)
{
    for (uint32_t i = 0; i < result->handle_count; i++) {
        g_free(result->handles[i]);
    }
    g_free(result->handles);
    g_free(result->origin);
    *result = (EbPiecesResult){0};
}

void
EbPieces_Free(EbPieces *pieces)
{
    if (pieces == NULL) {
        return;
    }
    EbPiecesResult result;
    while (EbPieces_NextResult(pieces, &result)) {
        EbPiecesResult_Clear(&result);
    }
    g_hash_table_destroy(pieces->calls);
    g_hash_table_destroy(pieces->jobs);
    g_hash_table_destroy(pieces->ended);
    g_hash_table_destroy(pieces->origins);
    g_hash_table_destroy(pieces->services);
    g_free(pieces);
}

/* Configuration */

static EbPieceService *
get_service(EbPieces *pieces, const char *name)
{
    EbPieceService *service = g_hash_table_lookup(pieces->services, name);
    if (service == NULL) {
        service = g_new0(EbPieceService, 1);
        service->name = g_strdup(name);
        service->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
        service->queue = g_sequence_new(NULL);
        g_hash_table_insert(pieces->services, service->name, service);
    }
    return service;
}

static void
update_server(EbPieceService *service, const EbConfigBackendServer *row)
{
    EbPieceServer *server = g_hash_table_lookup(service->servers, row->id);
    if (server == NULL) {
        server = g_new0(EbPieceServer, 1);
        server->id = g_strdup(row->id);
        server->pace = 1;
        server->releases = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(service->servers, server->id, server);
    }
    g_free(server->host);
    g_free(server->failure_domain);
    server->host = g_strdup(row->host);
    server->failure_domain = g_strdup(row->failure_domain);
    server->port = row->port;
    server->current = true;
}

static gboolean
is_unused_server(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    const EbPieceServer *server = value;
    return !server->current && server->running == 0;
}

static void
mark_servers(EbPieceService *service)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((EbPieceServer *)value)->current = false;
    }
}

void
EbPieces_SetConfig(EbPieces *pieces, EbConfig *config, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        mark_servers(value);
    }
    for (uint32_t i = 0; i < config->pool_count; i++) {
        const EbConfigPool *pool = &config->pools[i];
        if (pool->batch.max_items == 0) {
            continue;
        }
        EbPieceService *service = get_service(pieces, pool->name);
        service->batch = pool->batch;
        for (uint32_t k = 0; k < pool->server_count; k++) {
            update_server(service, &config->servers[pool->server_indexes[k]]);
        }
    }
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPieceService *service = value;
        g_hash_table_foreach_remove(service->servers, is_unused_server, NULL);
        EbPieceService_Pump(pieces, service, now_us);
    }
}

/* Queue */

static gint
compare_jobs(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    const EbPieceJob *a = left;
    const EbPieceJob *b = right;
    if (a->prepare.due_us != b->prepare.due_us) {
        return a->prepare.due_us < b->prepare.due_us ? -1 : 1;
    }
    return a < b ? -1 : a > b;
}

void
EbPieceJob_LeaveQueue(EbPieceJob *job)
{
    if (job->place != NULL) {
        g_sequence_remove(job->place);
        job->place = NULL;
    }
}

void
EbPieceJob_WaitAgain(EbPieceJob *job, EbPiece *piece)
{
    g_queue_push_tail(&job->waiting, piece);
    job->service->waiting_count++;
    if (job->place == NULL) {
        job->place = g_sequence_insert_sorted(job->service->queue, job,
                                              compare_jobs, NULL);
    }
}

static void
drop_waiting(EbPieceJob *job)
{
    job->service->waiting_count -= job->waiting.length;
    g_queue_clear(&job->waiting);
    EbPieceJob_LeaveQueue(job);
}

static bool
is_prepared(const EbPieceJob *job)
{
    return !job->ended && job->done_count == job->prepare.piece_count;
}

static void
push_result(EbPieces *pieces, const EbPieceJob *job, EbPreparedStatus status)
{
    EbPiecesResult *result = g_new0(EbPiecesResult, 1);
    result->origin = g_strdup(job->origin);
    result->job = job->prepare.job;
    result->status = status;
    if (status == EB_PREPARED_OK) {
        result->handle_count = job->prepare.piece_count;
        result->handles = g_new0(char *, result->handle_count);
        for (uint32_t i = 0; i < result->handle_count; i++) {
            result->handles[i] = g_strdup(job->pieces[i].handle);
        }
    }
    g_queue_push_tail(&pieces->results, result);
}

/* Results */

void
EbPieceJob_Report(EbPieces *pieces, EbPieceJob *job, EbPreparedStatus status,
                  int64_t now_us)
{
    job->over = true;
    drop_waiting(job);
    EB_EMIT(pieces->options.events, EB_EVENT_PREPARATION_ENDED,
            EB_STRING_FIELD("request_id", job->prepare.request_id),
            EB_STRING_FIELD("service", job->prepare.service),
            EB_INTEGER_FIELD("stage", job->prepare.stage),
            EB_INTEGER_FIELD("pieces", job->prepare.piece_count),
            EB_STRING_FIELD("status", EbPreparedStatus_names[status]),
            EB_INTEGER_FIELD("wait_us", now_us - job->added_us));
    push_result(pieces, job, status);
}

bool
EbPieces_NextResult(EbPieces *pieces, EbPiecesResult *result)
{
    EbPiecesResult *next = g_queue_pop_head(&pieces->results);
    if (next == NULL) {
        return false;
    }
    *result = *next;
    g_free(next);
    return true;
}

/* Returns the server that made a piece, or NULL when the piece is not made or
 * the server has left the configuration. */
static EbPieceServer *
server_of(const EbPieceJob *job, const EbPiece *piece)
{
    return piece->server_id != NULL
               ? g_hash_table_lookup(job->service->servers, piece->server_id)
               : NULL;
}

void
EbPieceJob_FreeRoom(const EbPieceJob *job, EbPiece *piece,
                    EbPieceServer *server)
{
    if (piece->holds_room) {
        piece->holds_room = false;
        server->held_bytes -=
            MIN(server->held_bytes, job->prepare.result_bytes);
    }
}

static void
queue_release(EbPieces *pieces, const EbPieceServer *server,
              const char *handle, int64_t now_us)
{
    g_ptr_array_add(server->releases, g_strdup(handle));
    pieces->release_us = MIN(pieces->release_us, now_us + RELEASE_INTERVAL_US);
}

void
EbPieceJob_ReleaseResult(EbPieces *pieces, const EbPieceJob *job,
                         EbPiece *piece, int64_t now_us)
{
    EbPieceServer *server = server_of(job, piece);
    if (server != NULL && piece->handle != NULL) {
        queue_release(pieces, server, piece->handle, now_us);
        if (piece->holds_room) {
            piece->holds_room = false;
            server->released_bytes += job->prepare.result_bytes;
        }
    }
}

void
EbPieceJob_Forget(EbPieces *pieces, EbPieceJob *job)
{
    if (g_hash_table_remove(pieces->ended, job)) {
        return;
    }
    char *key = job_key(job->origin, job->prepare.job);
    g_hash_table_remove(pieces->jobs, key);
    g_free(key);
}

static void
end_job(EbPieces *pieces, EbPieceJob *job, int64_t now_us)
{
    if (job->ended) {
        return;
    }
    job->over = true;
    job->ended = true;
    drop_waiting(job);
    for (uint32_t i = 0; i < job->prepare.piece_count; i++) {
        if (job->pieces[i].handle != NULL) {
            EbPieceJob_ReleaseResult(pieces, job, &job->pieces[i], now_us);
        }
    }
    /* Its number is free for another job of its origin at once. */
    char *key = job_key(job->origin, job->prepare.job);
    gpointer owned_key = NULL;
    g_hash_table_steal_extended(pieces->jobs, key, &owned_key, NULL);
    g_free(owned_key);
    g_free(key);
    g_hash_table_add(pieces->ended, job);
    if (job->running_count == 0) {
        EbPieceJob_Forget(pieces, job);
    }
}

/* Jobs */

/* Whether a job is the same piece of work: an origin that was started again
 * uses its numbers again. */
static bool
is_same(const EbPrepare *left, const EbPrepare *right)
{
    return left->stage == right->stage &&
           strcmp(left->request_id, right->request_id) == 0;
}

void
EbPieces_Add(EbPieces *pieces, const char *origin, const EbPrepare *prepare,
             int64_t now_us)
{
    char *key = job_key(origin, prepare->job);
    EbPieceJob *job = g_hash_table_lookup(pieces->jobs, key);
    if (job != NULL && is_same(&job->prepare, prepare)) {
        /* Asked for again by its origin after the link broke. */
        job->kept_until_us = INT64_MAX;
        if (is_prepared(job)) {
            push_result(pieces, job, EB_PREPARED_OK);
        }
        g_free(key);
        return;
    }
    if (job != NULL) {
        end_job(pieces, job, now_us);
    }
    job = g_new0(EbPieceJob, 1);
    job->origin = g_strdup(origin);
    job->prepare = EbPrepare_Copy(prepare);
    job->service = get_service(pieces, prepare->service);
    job->pieces = g_new0(EbPiece, prepare->piece_count);
    job->added_us = now_us;
    job->kept_until_us = INT64_MAX;
    job->expires_us = prepare->deadline_us + job->service->batch.result_us;
    g_queue_init(&job->waiting);
    g_hash_table_insert(pieces->jobs, key, job);
    for (uint32_t i = 0; i < prepare->piece_count; i++) {
        job->pieces[i] = (EbPiece){.job = job, .piece = i};
        EbPieceJob_WaitAgain(job, &job->pieces[i]);
    }
    EbPieceService_Pump(pieces, job->service, now_us);
}

void
EbPieces_End(EbPieces *pieces, const char *origin, uint64_t number,
             int64_t now_us)
{
    char *key = job_key(origin, number);
    EbPieceJob *job = g_hash_table_lookup(pieces->jobs, key);
    g_free(key);
    if (job != NULL) {
        end_job(pieces, job, now_us);
    }
}

void
EbPieces_OriginGone(EbPieces *pieces, const char *origin, int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(pieces->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbPieceJob *job = item->data;
        if (strcmp(job->origin, origin) != 0) {
            continue;
        }
        if (is_prepared(job)) {
            job->kept_until_us = now_us + EB_PIECES_ORIGIN_GRACE_US;
        }
        else {
            end_job(pieces, job, now_us);
        }
    }
    g_list_free(jobs);
}

void
EbPieces_OriginBack(EbPieces *pieces, const char *origin, uint64_t incarnation,
                    int64_t now_us)
{
    const uint64_t *known = g_hash_table_lookup(pieces->origins, origin);
    bool restarted = known != NULL && *known != incarnation;
    GList *jobs = g_hash_table_get_values(pieces->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbPieceJob *job = item->data;
        if (strcmp(job->origin, origin) != 0) {
            continue;
        }
        if (restarted) {
            end_job(pieces, job, now_us);
        }
        else {
            job->kept_until_us = INT64_MAX;
        }
    }
    g_list_free(jobs);
    g_hash_table_replace(pieces->origins, g_strdup(origin),
                         g_memdup2(&incarnation, sizeof(incarnation)));
}

void
EbPieces_Release(EbPieces *pieces, const char *service, const char *host,
                 uint16_t port, const char *handle, int64_t now_us)
{
    const EbPieceService *found =
        g_hash_table_lookup(pieces->services, service);
    GHashTableIter iter;
    gpointer value;
    if (found == NULL) {
        return;
    }
    g_hash_table_iter_init(&iter, found->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPieceServer *server = value;
        if (server->port == port && strcmp(server->host, host) == 0) {
            queue_release(pieces, server, handle, now_us);
            return;
        }
    }
}

size_t
EbPieces_PendingCount(const EbPieces *pieces)
{
    size_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pieces->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += !((const EbPieceJob *)value)->over;
    }
    return count;
}

/* Timers */

static void
release_results(EbPieces *pieces)
{
    GHashTableIter services;
    GHashTableIter servers;
    gpointer service;
    gpointer value;
    pieces->release_us = INT64_MAX;
    g_hash_table_iter_init(&services, pieces->services);
    while (g_hash_table_iter_next(&services, NULL, &service)) {
        g_hash_table_iter_init(&servers, ((EbPieceService *)service)->servers);
        while (g_hash_table_iter_next(&servers, NULL, &value)) {
            EbPieceServer *server = value;
            if (server->releases->len == 0) {
                continue;
            }
            EbActionQueue_Push(
                pieces->options.actions,
                &(EbAction){.kind = EB_ACTION_RELEASE_RESULTS,
                            .as.release = {
                                .attempt_id = ++pieces->next_attempt |
                                              EB_PIECES_ATTEMPT_BIT,
                                .server_id = g_strdup(server->id),
                                .host = g_strdup(server->host),
                                .port = server->port,
                                .handles = server->releases,
                            }});
            server->releases = g_ptr_array_new_with_free_func(g_free);
            server->held_bytes -=
                MIN(server->held_bytes, server->released_bytes);
            server->released_bytes = 0;
        }
    }
}

static void
forget_rooms(EbPieceJob *job)
{
    for (uint32_t i = 0; i < job->prepare.piece_count; i++) {
        EbPiece *piece = &job->pieces[i];
        EbPieceServer *server = server_of(job, piece);
        if (server != NULL) {
            EbPieceJob_FreeRoom(job, piece, server);
        }
    }
}

/* Ends the jobs of instances that did not come back, and forgets those whose
 * results no longer exist. */
static void
forget_expired(EbPieces *pieces, int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(pieces->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbPieceJob *job = item->data;
        if (job->kept_until_us <= now_us) {
            end_job(pieces, job, now_us);
        }
        else if (job->expires_us <= now_us && job->running_count == 0) {
            drop_waiting(job);
            forget_rooms(job);
            EbPieceJob_Forget(pieces, job);
        }
    }
    g_list_free(jobs);
}

void
EbPieces_Tick(EbPieces *pieces, int64_t now_us)
{
    EbPieces_TimeOutCalls(pieces, now_us);
    forget_expired(pieces, now_us);
    if (pieces->release_us <= now_us) {
        release_results(pieces);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPieceService_Pump(pieces, value, now_us);
    }
}

static int64_t
next_unblocked(const EbPieceService *service)
{
    int64_t next_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPieceServer *server = value;
        if (server->current && server->running < service->batch.max_calls) {
            next_us = MIN(next_us, MAX(server->blocked_us,
                                       server->passed_us + REVIEW_US));
        }
    }
    return next_us;
}

int64_t
EbPieces_NextTimer(const EbPieces *pieces)
{
    int64_t next_us = pieces->release_us;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pieces->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        next_us = MIN(next_us, ((const EbPieceCall *)value)->timeout_us);
    }
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPieceService *service = value;
        if (service->waiting_count > 0) {
            next_us = MIN(next_us, next_unblocked(service));
        }
    }
    return next_us;
}
