/* Which server makes which pieces next. */
#include <stdlib.h>
#include <string.h>

#include "pieces_state.h"

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

/* Returns whether one more result of the most urgent job fits. */
static bool
has_room(const EbPieceService *service, const EbPieceServer *server)
{
    GSequenceIter *first = g_sequence_get_begin_iter(service->queue);
    if (service->batch.room_bytes == 0 || g_sequence_iter_is_end(first)) {
        return true;
    }
    const EbPieceJob *job = g_sequence_get(first);
    return server->held_bytes + job->prepare.result_bytes <=
           service->batch.room_bytes;
}

static bool
is_free(const EbPieceService *service, const EbPieceServer *server,
        int64_t now_us)
{
    return server->current && server->running < service->batch.max_calls &&
           server->blocked_us <= now_us && server->passed_us != now_us &&
           has_room(service, server);
}

static bool
is_wanted_at(const EbPieceJob *job, const EbPieceServer *server)
{
    return job->prepare.failure_domain == NULL ||
           strcmp(job->prepare.failure_domain, server->failure_domain) == 0;
}

/* Rates a server for a call that begins with a job, lower is better: its pace,
 * raised when the results would cross failure domains. */
static double
rate(const EbPieceJob *job, const EbPieceServer *server)
{
    return is_wanted_at(job, server) ? server->pace
                                     : server->pace * CROSSING_PACE;
}

EbPieceServer *
EbPieceService_ChooseServer(const EbPieceService *service, int64_t now_us)
{
    const EbPieceJob *first =
        g_sequence_get(g_sequence_get_begin_iter(service->queue));
    EbPieceServer *best = NULL;
    double fastest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPieceServer *server = value;
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

int64_t
EbPieceService_ExpectedTime(const EbPieceService *service, size_t items)
{
    return service->batch.call_us + (int64_t)items * service->batch.item_us;
}

/* Moves items of one job into a call. */
static void
take_items(EbPieceCall *call, EbPieceJob *job, uint32_t max_items)
{
    EbPieceServer *server = call->server;
    uint64_t room_bytes = job->service->batch.room_bytes;
    while (call->pieces->len < max_items && job->waiting.length > 0 &&
           (room_bytes == 0 ||
            server->held_bytes + job->prepare.result_bytes <= room_bytes)) {
        EbPiece *piece = g_queue_pop_head(&job->waiting);
        job->service->waiting_count--;
        job->running_count++;
        piece->holds_room = true;
        server->held_bytes += job->prepare.result_bytes;
        g_ptr_array_add(call->pieces, piece);
    }
    if (job->waiting.length == 0) {
        EbPieceJob_LeaveQueue(job);
    }
}

/* Returns whether a job with large results can wait for a server where they
 * are used. */
static bool
can_wait(const EbPieceService *service, const EbPieceJob *job, int64_t done_us)
{
    if (job->prepare.result_bytes < PLACED_RESULT_BYTES ||
        job->prepare.due_us - done_us < PLACED_SLACK_US) {
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPieceServer *server = value;
        if (server->current && server->failures == 0 &&
            is_wanted_at(job, server)) {
            return true;
        }
    }
    return false;
}

/* Place of a job in a call, by its fields from first to last. */
typedef struct {
    EbPieceJob *job;
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
is_crowded(const EbPieceService *service)
{
    return service->waiting_count > (size_t)service->batch.max_items *
                                        g_hash_table_size(service->servers);
}

void
EbPieceCall_Gather(EbPieceCall *call, int64_t now_us)
{
    EbPieceService *service = call->service;
    bool crowded = is_crowded(service);
    int64_t done_us = now_us + EbPieceService_ExpectedTime(service, 1);
    GArray *turns = g_array_new(FALSE, FALSE, sizeof(Turn));
    for (GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        EbPieceJob *job = g_sequence_get(iter);
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
