/* Which server runs which items next. */
#include <stdlib.h>
#include <string.h>

#include "batcher_state.h"

/* A server this much slower than the fastest gets calls only when all items
 * could not be in time otherwise. */
#define SLOW_RATIO 2.5
/* A server elsewhere is chosen when those near the results' use are this much
 * slower. */
#define CROSS_DOMAIN_SLOWDOWN 1.5
/* Results from this size on are made where they are used while that keeps
 * them in time by this margin. */
#define LOCAL_RESULT_MIN_BYTES 100000
#define LOCAL_RESULT_SLACK_US 200000

/* Returns whether one more result of the most urgent job fits. */
static bool
has_memory(const EbBatchService *service, const EbBatchServer *server)
{
    GSequenceIter *first = g_sequence_get_begin_iter(service->queue);
    if (service->batch.result_memory_bytes == 0 ||
        g_sequence_iter_is_end(first)) {
        return true;
    }
    const EbBatchJob *job = g_sequence_get(first);
    return server->held_bytes + job->prepare.result_bytes <=
           service->batch.result_memory_bytes;
}

static bool
is_free(const EbBatchService *service, const EbBatchServer *server,
        int64_t now_us)
{
    return server->current && server->running < service->batch.max_calls &&
           server->blocked_us <= now_us && server->skipped_us != now_us &&
           has_memory(service, server);
}

static bool
is_used_near(const EbBatchJob *job, const EbBatchServer *server)
{
    return job->prepare.failure_domain == NULL ||
           strcmp(job->prepare.failure_domain, server->failure_domain) == 0;
}

/* Rates a server for a call that begins with a job, lower is better: its pace,
 * raised when the results would cross failure domains. */
static double
rate(const EbBatchJob *job, const EbBatchServer *server)
{
    return is_used_near(job, server)
               ? server->slowdown
               : server->slowdown * CROSS_DOMAIN_SLOWDOWN;
}

EbBatchServer *
EbBatchService_ChooseServer(const EbBatchService *service, int64_t now_us)
{
    const EbBatchJob *first =
        g_sequence_get(g_sequence_get_begin_iter(service->queue));
    EbBatchServer *best = NULL;
    double fastest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbBatchServer *server = value;
        if (server->current && server->failures == 0 &&
            (fastest == 0 || server->slowdown < fastest)) {
            fastest = server->slowdown;
        }
        if (is_free(service, server, now_us) &&
            (best == NULL || rate(first, server) < rate(first, best))) {
            best = server;
        }
    }
    if (best != NULL && fastest > 0 && best->slowdown > SLOW_RATIO * fastest &&
        service->waiting_count < service->batch.max_items) {
        return NULL;
    }
    return best;
}

int64_t
EbBatchService_ExpectedTime(const EbBatchService *service, size_t items)
{
    return service->batch.call_us + (int64_t)items * service->batch.item_us;
}

/* Moves items of one job into a call. */
static void
take_items(EbBatchCall *call, EbBatchJob *job, uint32_t max_items)
{
    EbBatchServer *server = call->server;
    uint64_t result_memory_bytes = job->service->batch.result_memory_bytes;
    while (call->items->len < max_items && job->waiting.length > 0 &&
           (result_memory_bytes == 0 ||
            server->held_bytes + job->prepare.result_bytes <=
                result_memory_bytes)) {
        EbBatchItem *item = g_queue_pop_head(&job->waiting);
        job->service->waiting_count--;
        job->running_count++;
        item->holds_memory = true;
        server->held_bytes += job->prepare.result_bytes;
        g_ptr_array_add(call->items, item);
    }
    if (job->waiting.length == 0) {
        EbBatchJob_Dequeue(job);
    }
}

/* Returns whether a job with large results can wait for a server where they
 * are used. */
static bool
can_wait(const EbBatchService *service, const EbBatchJob *job, int64_t done_us)
{
    if (job->prepare.result_bytes < LOCAL_RESULT_MIN_BYTES ||
        job->prepare.due_us - done_us < LOCAL_RESULT_SLACK_US) {
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->current && server->failures == 0 &&
            is_used_near(job, server)) {
            return true;
        }
    }
    return false;
}

/* Place of a job in a call, by its fields from first to last. */
typedef struct {
    EbBatchJob *job;
    bool late;      /* its request can't be in time any more */
    bool elsewhere; /* its results are used in another failure domain */
    int32_t rank;   /* while servers are crowded, the request's priority */
    int32_t left;   /* of late ones, the stages before are worth most */
    int64_t due_us;
} Candidate;

static int
compare_candidates(const void *left, const void *right)
{
    const Candidate *a = left;
    const Candidate *b = right;
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
is_crowded(const EbBatchService *service)
{
    return service->waiting_count > (size_t)service->batch.max_items *
                                        g_hash_table_size(service->servers);
}

void
EbBatchCall_SelectItems(EbBatchCall *call, int64_t now_us)
{
    EbBatchService *service = call->service;
    bool crowded = is_crowded(service);
    int64_t done_us = now_us + EbBatchService_ExpectedTime(service, 1);
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(Candidate));
    for (GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        EbBatchJob *job = g_sequence_get(iter);
        bool late = job->prepare.due_us < done_us;
        bool elsewhere = !is_used_near(job, call->server);
        if (elsewhere && can_wait(service, job, done_us)) {
            continue;
        }
        Candidate candidate = {
            .job = job,
            .late = late,
            .elsewhere = !late && elsewhere,
            .rank = crowded || late ? job->prepare.priority : 0,
            .left = late ? -(int32_t)job->prepare.stage : 0,
            .due_us = job->prepare.due_us,
        };
        g_array_append_val(candidates, candidate);
    }
    qsort(candidates->data, candidates->len, sizeof(Candidate),
          compare_candidates);
    for (guint i = 0;
         i < candidates->len && call->items->len < service->batch.max_items;
         i++) {
        take_items(call, g_array_index(candidates, Candidate, i).job,
                   service->batch.max_items);
    }
    g_array_free(candidates, TRUE);
}
