#include "ebonyhollow/pieces.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* An item goes to this many servers before its job fails. */
#define MAX_TRIES 4
/* A call that takes longer than this many times what is expected is given up:
 * its server is silent or far too slow. */
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MIN_US 1500000
/* A server that failed gets no call for so long, doubled each time. */
#define BLOCK_FIRST_US 100000
#define BLOCK_MAX_US 3000000
#define BLOCK_MAX_DOUBLINGS 5
/* A server that has no place or no memory free is asked again after this. */
#define BLOCK_FULL_US 50000
/* Results to be freed are gathered for so long. */
#define RELEASE_INTERVAL_US 15000
/* A server this much slower than the fastest gets calls only when all items
 * could not be in time otherwise. */
#define SLOW_RATIO 2.5
/* A server elsewhere is chosen when those near the results' use are this much
 * slower. */
#define CROSSING_PACE 1.5
/* Results from this size on are made where they are used while that keeps
 * them in time by this margin. */
#define PLACED_RESULT_BYTES 100000
#define PLACED_SLACK_US 200000
/* How soon a free server is looked at again that no item was for. */
#define REVIEW_US 20000
#define PACE_GAIN 0.3 /* remembers about three calls */

typedef struct Job Job;

typedef struct {
    Job *job;
    uint32_t piece;
    uint32_t tries;
    char *handle;    /* when done */
    char *server_id; /* that made the result */
    bool holds_room; /* its result takes memory there */
} Piece;

struct Job {
    char *origin;
    EbPrepare prepare; /* its own copy */
    Piece *pieces;
    GQueue waiting; /* of Piece */
    uint32_t done_count;
    uint32_t running_count;
    bool over;  /* reported, or ended by its origin */
    bool ended; /* ended by its origin; freed when nothing runs */
    int64_t added_us;
    int64_t expires_us; /* its results no longer exist */
    struct Service *service;
    GSequenceIter *place; /* in the service's queue, or NULL */
};

typedef struct {
    char *id;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint32_t running;
    uint32_t failures;
    int64_t blocked_us;  /* no call before */
    int64_t passed_us;   /* when it was free and no item was for it */
    double pace;         /* time of calls as a multiple of what is expected */
    uint64_t held_bytes; /* of results that lie there or are being made */
    uint64_t released_bytes; /* of those in `releases` */
    bool current;            /* in the configuration in force */
    GPtrArray *releases;     /* of char *, handles to be freed */
} Server;

typedef struct Service {
    char *name;
    EbConfigBatch batch;
    GHashTable *servers; /* id to Server */
    GSequence *queue;    /* of Job with waiting items, by due time */
    size_t waiting_count;
} Service;

typedef struct {
    uint64_t id;
    Service *service;
    Server *server;
    GPtrArray *pieces; /* of Piece */
    int64_t started_us;
    int64_t expected_us;
    int64_t timeout_us;
} Call;

struct EbPieces {
    EbPiecesOptions options;
    GHashTable *services; /* name to Service */
    GHashTable *jobs;     /* origin and number to Job */
    GHashTable *calls;    /* attempt id to Call */
    GQueue results;       /* of EbPiecesResult */
    uint64_t next_attempt;
    int64_t release_us; /* next release of results, or INT64_MAX */
};

static char *
job_key(const char *origin, uint64_t job)
{
    return g_strdup_printf("%s %" G_GUINT64_FORMAT, origin, job);
}

static void
free_server(gpointer pointer)
{
    Server *server = pointer;
    g_ptr_array_unref(server->releases);
    g_free(server->id);
    g_free(server->host);
    g_free(server->failure_domain);
    g_free(server);
}

static void
free_service(gpointer pointer)
{
    Service *service = pointer;
    g_sequence_free(service->queue);
    g_hash_table_destroy(service->servers);
    g_free(service->name);
    g_free(service);
}

static void
free_job(gpointer pointer)
{
    Job *job = pointer;
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

static void
free_call(gpointer pointer)
{
    Call *call = pointer;
    g_ptr_array_unref(call->pieces);
    g_free(call);
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
    pieces->calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
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
    g_hash_table_destroy(pieces->services);
    g_free(pieces);
}

/* Configuration */

static Service *
get_service(EbPieces *pieces, const char *name)
{
    Service *service = g_hash_table_lookup(pieces->services, name);
    if (service == NULL) {
        service = g_new0(Service, 1);
        service->name = g_strdup(name);
        service->servers =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
        service->queue = g_sequence_new(NULL);
        g_hash_table_insert(pieces->services, service->name, service);
    }
    return service;
}

static void
update_server(Service *service, const EbConfigBackendServer *row)
{
    Server *server = g_hash_table_lookup(service->servers, row->id);
    if (server == NULL) {
        server = g_new0(Server, 1);
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
    const Server *server = value;
    return !server->current && server->running == 0;
}

static void
mark_servers(Service *service)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Server *)value)->current = false;
    }
}

static void pump(EbPieces *pieces, Service *service, int64_t now_us);

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
        Service *service = get_service(pieces, pool->name);
        service->batch = pool->batch;
        for (uint32_t k = 0; k < pool->server_count; k++) {
            update_server(service, &config->servers[pool->server_indexes[k]]);
        }
    }
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Service *service = value;
        g_hash_table_foreach_remove(service->servers, is_unused_server, NULL);
        pump(pieces, service, now_us);
    }
}

/* Queue */

static gint
compare_jobs(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    const Job *a = left;
    const Job *b = right;
    if (a->prepare.due_us != b->prepare.due_us) {
        return a->prepare.due_us < b->prepare.due_us ? -1 : 1;
    }
    return a < b ? -1 : a > b;
}

static void
leave_queue(Job *job)
{
    if (job->place != NULL) {
        g_sequence_remove(job->place);
        job->place = NULL;
    }
}

static void
wait_again(Job *job, Piece *piece)
{
    g_queue_push_tail(&job->waiting, piece);
    job->service->waiting_count++;
    if (job->place == NULL) {
        job->place = g_sequence_insert_sorted(job->service->queue, job,
                                              compare_jobs, NULL);
    }
}

static void
drop_waiting(Job *job)
{
    job->service->waiting_count -= job->waiting.length;
    g_queue_clear(&job->waiting);
    leave_queue(job);
}

/* Results */

static void
report(EbPieces *pieces, Job *job, EbPreparedStatus status, int64_t now_us)
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

/* Counts memory as free again that the piece's result took. */
static void
free_room(const Job *job, Piece *piece, Server *server)
{
    if (piece->holds_room) {
        piece->holds_room = false;
        server->held_bytes -=
            MIN(server->held_bytes, job->prepare.result_bytes);
    }
}

static void
release_result(EbPieces *pieces, const Job *job, Piece *piece, int64_t now_us)
{
    Server *server =
        g_hash_table_lookup(job->service->servers, piece->server_id);
    if (server != NULL && piece->handle != NULL) {
        g_ptr_array_add(server->releases, g_strdup(piece->handle));
        if (piece->holds_room) {
            piece->holds_room = false;
            server->released_bytes += job->prepare.result_bytes;
        }
        pieces->release_us =
            MIN(pieces->release_us, now_us + RELEASE_INTERVAL_US);
    }
}

static void
forget_job(EbPieces *pieces, Job *job)
{
    char *key = job_key(job->origin, job->prepare.job);
    g_hash_table_remove(pieces->jobs, key);
    g_free(key);
}

static void
end_job(EbPieces *pieces, Job *job, int64_t now_us)
{
    if (job->ended) {
        return;
    }
    job->over = true;
    job->ended = true;
    drop_waiting(job);
    for (uint32_t i = 0; i < job->prepare.piece_count; i++) {
        if (job->pieces[i].handle != NULL) {
            release_result(pieces, job, &job->pieces[i], now_us);
        }
    }
    if (job->running_count == 0) {
        forget_job(pieces, job);
    }
}

void
EbPieces_End(EbPieces *pieces, const char *origin, uint64_t number,
             int64_t now_us)
{
    char *key = job_key(origin, number);
    Job *job = g_hash_table_lookup(pieces->jobs, key);
    g_free(key);
    if (job != NULL) {
        end_job(pieces, job, now_us);
    }
}

void
EbPieces_EndOrigin(EbPieces *pieces, const char *origin, int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(pieces->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;
        if (strcmp(job->origin, origin) == 0) {
            end_job(pieces, job, now_us);
        }
    }
    g_list_free(jobs);
}

/* Calls */

/* Returns whether one more result of the most urgent job fits. */
static bool
has_room(const Service *service, const Server *server)
{
    GSequenceIter *first = g_sequence_get_begin_iter(service->queue);
    if (service->batch.room_bytes == 0 || g_sequence_iter_is_end(first)) {
        return true;
    }
    const Job *job = g_sequence_get(first);
    return server->held_bytes + job->prepare.result_bytes <=
           service->batch.room_bytes;
}

static bool
is_free(const Service *service, const Server *server, int64_t now_us)
{
    return server->current && server->running < service->batch.max_calls &&
           server->blocked_us <= now_us && server->passed_us != now_us &&
           has_room(service, server);
}

static bool
is_wanted_at(const Job *job, const Server *server)
{
    return job->prepare.failure_domain == NULL ||
           strcmp(job->prepare.failure_domain, server->failure_domain) == 0;
}

/* Rates a server for a call that begins with a job, lower is better: its pace,
 * raised when the results would cross failure domains. */
static double
rate(const Job *job, const Server *server)
{
    return is_wanted_at(job, server) ? server->pace
                                     : server->pace * CROSSING_PACE;
}

/* Returns the free server that is best for the most urgent job. */
static Server *
choose_server(const Service *service, int64_t now_us)
{
    const Job *first =
        g_sequence_get(g_sequence_get_begin_iter(service->queue));
    Server *best = NULL;
    double fastest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Server *server = value;
        if (server->current && server->failures == 0 &&
            (fastest == 0 || server->pace < fastest)) {
            fastest = server->pace;
        }
        if (is_free(service, server, now_us) &&
            (best == NULL || rate(first, server) < rate(first, best))) {
            best = server;
        }
    }
    if (best != NULL && fastest > 0 && best->pace > SLOW_RATIO * fastest &&
        service->waiting_count < service->batch.max_items) {
        return NULL;
    }
    return best;
}

static int64_t
expected_time(const Service *service, size_t items)
{
    return service->batch.call_us + (int64_t)items * service->batch.item_us;
}

/* Moves items of one job into a call. */
static void
take_items(Call *call, Job *job, uint32_t max_items)
{
    Server *server = call->server;
    uint64_t room_bytes = job->service->batch.room_bytes;
    while (call->pieces->len < max_items && job->waiting.length > 0 &&
           (room_bytes == 0 ||
            server->held_bytes + job->prepare.result_bytes <= room_bytes)) {
        Piece *piece = g_queue_pop_head(&job->waiting);
        job->service->waiting_count--;
        job->running_count++;
        piece->holds_room = true;
        server->held_bytes += job->prepare.result_bytes;
        g_ptr_array_add(call->pieces, piece);
    }
    if (job->waiting.length == 0) {
        leave_queue(job);
    }
}

/* Returns whether a job with large results can wait for a server where they
 * are used. */
static bool
can_wait(const Service *service, const Job *job, int64_t done_us)
{
    if (job->prepare.result_bytes < PLACED_RESULT_BYTES ||
        job->prepare.due_us - done_us < PLACED_SLACK_US) {
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Server *server = value;
        if (server->current && server->failures == 0 &&
            is_wanted_at(job, server)) {
            return true;
        }
    }
    return false;
}

/* Place of a job in a call, by its fields from first to last. */
typedef struct {
    Job *job;
    bool late;      /* its request can't be in time any more */
    bool elsewhere; /* its results are used in another failure domain */
    int32_t rank;   /* while servers are crowded, the request's priority */
    int32_t left;   /* of late ones, the stages before are worth most */
    int64_t due_us;
} Turn;

static int
compare_turns(const void *left, const void *right)
{
    const Turn *a = left;
    const Turn *b = right;
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    if (a->elsewhere != b->elsewhere) {
        return a->elsewhere ? 1 : -1;
    }
    if (a->left != b->left) {
        return a->left < b->left ? -1 : 1;
    }
    return a->due_us < b->due_us ? -1 : a->due_us > b->due_us;
}

/* Whether more items wait than all servers take in their next calls. */
static bool
is_crowded(const Service *service)
{
    return service->waiting_count > (size_t)service->batch.max_items *
                                        g_hash_table_size(service->servers);
}

/* Takes the most urgent items: first those whose requests can be in time, in
 * the order of priorities while servers are crowded, then those whose results
 * are used near this server. */
static void
gather(Call *call, int64_t now_us)
{
    Service *service = call->service;
    bool crowded = is_crowded(service);
    int64_t done_us = now_us + expected_time(service, 1);
    GArray *turns = g_array_new(FALSE, FALSE, sizeof(Turn));
    for (GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        Job *job = g_sequence_get(iter);
        bool late = job->prepare.due_us < done_us;
        bool elsewhere = !is_wanted_at(job, call->server);
        if (elsewhere && can_wait(service, job, done_us)) {
            continue;
        }
        Turn turn = {
            .job = job,
            .late = late,
            .elsewhere = !late && elsewhere,
            .rank = crowded || late ? job->prepare.priority : 0,
            .left = late ? -(int32_t)job->prepare.stage : 0,
            .due_us = job->prepare.due_us,
        };
        g_array_append_val(turns, turn);
    }
    qsort(turns->data, turns->len, sizeof(Turn), compare_turns);
    for (guint i = 0;
         i < turns->len && call->pieces->len < service->batch.max_items; i++) {
        take_items(call, g_array_index(turns, Turn, i).job,
                   service->batch.max_items);
    }
    g_array_free(turns, TRUE);
}

static const char *
keep(GPtrArray *strings, const char *text)
{
    char *copy = g_strdup(text);
    g_ptr_array_add(strings, copy);
    return copy;
}

static EbPieceItem
describe_item(const Piece *piece, GPtrArray *strings, int64_t now_us)
{
    const EbPrepare *prepare = &piece->job->prepare;
    EbPieceItem item = {
        .request_id = keep(strings, prepare->request_id),
        .stage = prepare->stage,
        .piece = piece->piece,
        .left_us = prepare->deadline_us - now_us,
    };
    if (prepare->key != NULL) {
        item.key = keep(strings, prepare->key);
    }
    if (prepare->inputs != NULL) {
        item.input_count = prepare->inputs->len;
        const char **inputs = g_new0(const char *, item.input_count + 1);
        g_ptr_array_add(strings, inputs);
        for (uint32_t i = 0; i < item.input_count; i++) {
            inputs[i] = keep(strings, g_ptr_array_index(prepare->inputs, i));
        }
        item.inputs = inputs;
    }
    return item;
}

static void
send_call(EbPieces *pieces, const Call *call, int64_t now_us)
{
    const Server *server = call->server;
    EbAction action = {
        .kind = EB_ACTION_SEND_PIECES,
        .as.pieces = {
            .attempt_id = call->id,
            .server_id = g_strdup(server->id),
            .host = g_strdup(server->host),
            .port = server->port,
            .items = g_array_new(FALSE, FALSE, sizeof(EbPieceItem)),
            .strings = g_ptr_array_new_with_free_func(g_free),
        }};
    for (guint i = 0; i < call->pieces->len; i++) {
        EbPieceItem item = describe_item(g_ptr_array_index(call->pieces, i),
                                         action.as.pieces.strings, now_us);
        g_array_append_val(action.as.pieces.items, item);
    }
    EbActionQueue_Push(pieces->options.actions, &action);
}

/* Starts a call. Returns false when no item should be made there now. */
static bool
start_call(EbPieces *pieces, Service *service, Server *server, int64_t now_us)
{
    Call *call = g_new0(Call, 1);
    call->id = ++pieces->next_attempt | EB_PIECES_ATTEMPT_BIT;
    call->service = service;
    call->server = server;
    call->pieces = g_ptr_array_new();
    gather(call, now_us);
    if (call->pieces->len == 0) {
        free_call(call);
        return false;
    }
    call->started_us = now_us;
    call->expected_us = expected_time(service, call->pieces->len);
    call->timeout_us =
        now_us + MAX(TIMEOUT_MIN_US, TIMEOUT_FACTOR * call->expected_us);
    server->running++;
    g_hash_table_insert(pieces->calls, &call->id, call);
    send_call(pieces, call, now_us);
    return true;
}

/* Drops jobs that nobody waits for any more. */
static void
expire(EbPieces *pieces, Service *service, int64_t now_us)
{
    GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
    while (!g_sequence_iter_is_end(iter)) {
        GSequenceIter *next = g_sequence_iter_next(iter);
        Job *job = g_sequence_get(iter);
        if (job->prepare.deadline_us <= now_us + expected_time(service, 1)) {
            report(pieces, job, EB_PREPARED_LATE, now_us);
        }
        iter = next;
    }
}

static void
pump(EbPieces *pieces, Service *service, int64_t now_us)
{
    expire(pieces, service, now_us);
    while (service->waiting_count > 0) {
        Server *server = choose_server(service, now_us);
        if (server == NULL) {
            return;
        }
        if (!start_call(pieces, service, server, now_us)) {
            server->passed_us = now_us;
        }
    }
}

void
EbPieces_Add(EbPieces *pieces, const char *origin, const EbPrepare *prepare,
             int64_t now_us)
{
    char *key = job_key(origin, prepare->job);
    if (g_hash_table_contains(pieces->jobs, key)) {
        g_free(key); /* repeated by its origin */
        return;
    }
    Job *job = g_new0(Job, 1);
    job->origin = g_strdup(origin);
    job->prepare = EbPrepare_Copy(prepare);
    job->service = get_service(pieces, prepare->service);
    job->pieces = g_new0(Piece, prepare->piece_count);
    job->added_us = now_us;
    job->expires_us = prepare->deadline_us + job->service->batch.result_us;
    g_queue_init(&job->waiting);
    g_hash_table_insert(pieces->jobs, key, job);
    for (uint32_t i = 0; i < prepare->piece_count; i++) {
        job->pieces[i] = (Piece){.job = job, .piece = i};
        wait_again(job, &job->pieces[i]);
    }
    pump(pieces, job->service, now_us);
}

/* Forgets the room of a piece that was not done. */
static void
give_up_room(const Call *call)
{
    for (guint i = 0; i < call->pieces->len; i++) {
        Piece *piece = g_ptr_array_index(call->pieces, i);
        if (piece->handle == NULL) {
            free_room(piece->job, piece, call->server);
        }
    }
}

/* Takes a call off its server. */
static Call *
take_call(EbPieces *pieces, uint64_t attempt_id)
{
    Call *call = g_hash_table_lookup(pieces->calls, &attempt_id);
    if (call != NULL) {
        g_hash_table_steal(pieces->calls, &attempt_id);
        call->server->running--;
    }
    return call;
}

static void
block(Server *server, int64_t duration_us, int64_t now_us)
{
    server->blocked_us = MAX(server->blocked_us, now_us + duration_us);
}

static void
fail_server(Server *server, int64_t now_us)
{
    uint32_t doublings = MIN(server->failures, BLOCK_MAX_DOUBLINGS);
    server->failures++;
    block(server, MIN((int64_t)BLOCK_FIRST_US << doublings, BLOCK_MAX_US),
          now_us);
}

/* An item was not done: it waits again, or its job ends. */
static void
retry_piece(EbPieces *pieces, Piece *piece, EbPieceResultKind kind,
            int64_t now_us)
{
    Job *job = piece->job;
    if (job->over) {
        return;
    }
    if (kind == EB_PIECE_GONE) {
        report(pieces, job, EB_PREPARED_INPUT_GONE, now_us);
    }
    else if (kind == EB_PIECE_LATE) {
        report(pieces, job, EB_PREPARED_LATE, now_us);
    }
    else if (kind == EB_PIECE_ERROR && ++piece->tries >= MAX_TRIES) {
        report(pieces, job, EB_PREPARED_FAILED, now_us);
    }
    else {
        wait_again(job, piece);
    }
}

static void
finish_piece(EbPieces *pieces, Piece *piece, const Server *server,
             EbPieceResult *result, int64_t now_us)
{
    Job *job = piece->job;
    piece->handle = result->handle;
    piece->server_id = g_strdup(server->id);
    result->handle = NULL;
    job->done_count++;
    if (job->ended) {
        release_result(pieces, job, piece, now_us);
    }
    else if (!job->over && job->done_count == job->prepare.piece_count) {
        report(pieces, job, EB_PREPARED_OK, now_us);
    }
}

static void
leave_call(EbPieces *pieces, Job *job)
{
    if (--job->running_count == 0 && job->ended) {
        forget_job(pieces, job);
    }
}

void
EbPieces_Answered(EbPieces *pieces, uint64_t attempt_id,
                  EbPieceResult *results, size_t count, int64_t now_us)
{
    Call *call = take_call(pieces, attempt_id);
    if (call == NULL) {
        return;
    }
    assert(count == call->pieces->len);
    Server *server = call->server;
    double pace =
        (double)(now_us - call->started_us) / (double)call->expected_us;
    server->pace += PACE_GAIN * (pace - server->pace);
    server->failures = 0;
    for (size_t i = 0; i < count; i++) {
        Piece *piece = g_ptr_array_index(call->pieces, i);
        if (results[i].kind != EB_PIECE_DONE) {
            free_room(piece->job, piece, server);
        }
        if (results[i].kind == EB_PIECE_DONE) {
            finish_piece(pieces, piece, server, &results[i], now_us);
        }
        else {
            retry_piece(pieces, piece, results[i].kind, now_us);
        }
        if (results[i].kind == EB_PIECE_NO_ROOM) {
            block(server, BLOCK_FULL_US, now_us);
        }
    }
    for (size_t i = 0; i < count; i++) {
        leave_call(pieces, ((Piece *)g_ptr_array_index(call->pieces, i))->job);
    }
    Service *service = call->service;
    free_call(call);
    pump(pieces, service, now_us);
}

void
EbPieces_Failed(EbPieces *pieces, uint64_t attempt_id, EbCallResult result,
                const char *cause, int64_t now_us)
{
    Call *call = take_call(pieces, attempt_id);
    if (call == NULL) {
        return;
    }
    EB_EMIT(pieces->options.events, EB_EVENT_PREPARATION_RETRIED,
            EB_STRING_FIELD("backend_server", call->server->id),
            EB_STRING_FIELD("service", call->service->name),
            EB_INTEGER_FIELD("pieces", call->pieces->len),
            EB_STRING_FIELD("cause", cause));
    give_up_room(call);
    bool full = result == EB_CALL_OVERLOADED;
    if (full) {
        block(call->server, BLOCK_FULL_US, now_us);
    }
    else {
        fail_server(call->server, now_us);
    }
    for (guint i = 0; i < call->pieces->len; i++) {
        retry_piece(pieces, g_ptr_array_index(call->pieces, i),
                    full ? EB_PIECE_NO_ROOM : EB_PIECE_ERROR, now_us);
    }
    for (guint i = 0; i < call->pieces->len; i++) {
        leave_call(pieces, ((Piece *)g_ptr_array_index(call->pieces, i))->job);
    }
    Service *service = call->service;
    free_call(call);
    pump(pieces, service, now_us);
}

size_t
EbPieces_ItemCount(const EbPieces *pieces, uint64_t attempt_id)
{
    const Call *call = g_hash_table_lookup(pieces->calls, &attempt_id);
    return call != NULL ? call->pieces->len : 0;
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
        g_hash_table_iter_init(&servers, ((Service *)service)->servers);
        while (g_hash_table_iter_next(&servers, NULL, &value)) {
            Server *server = value;
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
time_out_calls(EbPieces *pieces, int64_t now_us)
{
    GList *calls = g_hash_table_get_values(pieces->calls);
    for (GList *item = calls; item != NULL; item = item->next) {
        Call *call = item->data;
        if (call->timeout_us <= now_us) {
            EbAction action = {.kind = EB_ACTION_CANCEL_ATTEMPT};
            action.as.cancel_attempt_id = call->id;
            EbActionQueue_Push(pieces->options.actions, &action);
            EbPieces_Failed(pieces, call->id, EB_CALL_SILENT,
                            "no answer in time", now_us);
        }
    }
    g_list_free(calls);
}

static void
forget_rooms(Job *job)
{
    for (uint32_t i = 0; i < job->prepare.piece_count; i++) {
        Piece *piece = &job->pieces[i];
        Server *server =
            piece->server_id != NULL
                ? g_hash_table_lookup(job->service->servers, piece->server_id)
                : NULL;
        if (server != NULL) {
            free_room(job, piece, server);
        }
    }
}

static void
forget_expired(EbPieces *pieces, int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(pieces->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        Job *job = item->data;
        if (job->expires_us <= now_us && job->running_count == 0) {
            drop_waiting(job);
            forget_rooms(job);
            forget_job(pieces, job);
        }
    }
    g_list_free(jobs);
}

void
EbPieces_Tick(EbPieces *pieces, int64_t now_us)
{
    time_out_calls(pieces, now_us);
    forget_expired(pieces, now_us);
    if (pieces->release_us <= now_us) {
        release_results(pieces);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pump(pieces, value, now_us);
    }
}

static int64_t
next_unblocked(const Service *service)
{
    int64_t next_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Server *server = value;
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
        next_us = MIN(next_us, ((const Call *)value)->timeout_us);
    }
    g_hash_table_iter_init(&iter, pieces->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Service *service = value;
        if (service->waiting_count > 0) {
            next_us = MIN(next_us, next_unblocked(service));
        }
    }
    return next_us;
}
