/* Choice of the server for the next call and of the items in it. */
#include <string.h>

#include "batcher_state.h"

/* A server this many times slower than the fastest gets calls only while a
 * full batch waits; otherwise the faster servers can do all items in time. */
#define MAX_SLOWDOWN_RATIO 2.5
/* A server in another failure domain than the one where the results are used
 * is chosen only if the local servers are more than this many times slower. */
#define CROSS_DOMAIN_COST_FACTOR 1.5
#define HELD_COST_FACTOR 3
/* Work that moves at least this many bytes an item is done in its failure
 * domain, as long as a call that starts now would end at least this margin
 * before it is due, and no more items wait than this part of what all servers
 * take at once: a busy service needs every free server. */
#define LOCAL_MIN_BYTES 100000
#define LOCAL_MARGIN_US 200000
#define LOCAL_BUSY_DIVISOR 4
/* While memory for results is short, a server gets its next call when there is
 * room for this share of the items that it could take, or after the wait. */
#define MIN_CALL_SHARE 0.7
#define MEMORY_WAIT_US 150000

/* Returns whether the server has memory for the results of the next call. A
 * call costs far more than an item, so the server waits for memory that is
 * about to be released, unless there is room for most of a call. After
 * MEMORY_WAIT_US one result is enough. */
static bool
has_memory(const EbBatchService *service, const EbBatchServer *server,
           int64_t now_us)
{
    uint64_t memory_bytes = service->batch.result_memory_bytes;
    if (memory_bytes == 0 || service->waiting_count == 0) {
        return true;
    }
    uint64_t mean_bytes =
        MAX(service->waiting_bytes / service->waiting_count, 1);
    uint64_t free_bytes = memory_bytes - MIN(server->held_bytes, memory_bytes);
    uint64_t room = free_bytes / mean_bytes;
    uint64_t wanted = MIN(service->waiting_count, service->batch.max_items);
    if (now_us >= server->idle_since_us + MEMORY_WAIT_US) {
        return room >= 1;
    }
    return room >= 1 && (double)room >= MIN_CALL_SHARE * (double)wanted;
}

static bool
is_free(const EbBatcher *batcher, const EbBatchService *service,
        const EbBatchServer *server, int64_t now_us)
{
    return server->current && !server->evacuated &&
           server->running < service->batch.max_calls &&
           server->blocked_until_us <= now_us &&
           server->skipped_us != now_us &&
           has_memory(service, server, now_us) &&
           EbDirectives_Admits(batcher->options.directives, server->id,
                               now_us);
}

static bool
is_local(const EbBatchJob *job, const EbBatchServer *server)
{
    return job->spec.failure_domain == NULL ||
           strcmp(job->spec.failure_domain, server->failure_domain) == 0;
}

/* Returns the cost of a server for a call that begins with this job: its
 * slowdown, raised when the results would cross failure domains and while it
 * is the turn of other daemons to use the server. */
static double
server_cost(const EbBatcher *batcher, const EbBatchJob *job,
            const EbBatchServer *server, int64_t now_us)
{
    bool held =
        EbDirectives_IsHeld(batcher->options.directives, server->id, now_us);
    double cost = server->slowdown * (held ? HELD_COST_FACTOR : 1);
    return is_local(job, server) ? cost : cost * CROSS_DOMAIN_COST_FACTOR;
}

EbBatchServer *
EbBatchService_ChooseServer(const EbBatcher *batcher,
                            const EbBatchService *service, int64_t now_us)
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
        if (server->current && !server->evacuated && server->failures == 0 &&
            (fastest == 0 || server->slowdown < fastest)) {
            fastest = server->slowdown;
        }
        if (is_free(batcher, service, server, now_us) &&
            (best == NULL || server_cost(batcher, first, server, now_us) <
                                 server_cost(batcher, first, best, now_us))) {
            best = server;
        }
    }
    if (best != NULL && fastest > 0 &&
        best->slowdown > MAX_SLOWDOWN_RATIO * fastest &&
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

/* Moves waiting items of one job into a call, up to the batch size and the
 * server's memory. */
static void
add_items(EbBatchCall *call, EbBatchJob *job, uint32_t max_items)
{
    EbBatchServer *server = call->server;
    uint64_t result_memory_bytes = job->service->batch.result_memory_bytes;
    while (
        call->items->len < max_items && job->waiting.length > 0 &&
        (result_memory_bytes == 0 ||
         server->held_bytes + job->spec.result_bytes <= result_memory_bytes)) {
        EbBatchItem *item = g_queue_pop_head(&job->waiting);
        job->service->waiting_count--;
        job->service->waiting_bytes -= job->spec.result_bytes;
        job->running_count++;
        item->holds_memory = true;
        server->held_bytes += job->spec.result_bytes;
        g_ptr_array_add(call->items, item);
    }
    if (job->waiting.length == 0) {
        EbBatchJob_Dequeue(job);
    }
}

/* Returns the number of items that all servers to which calls may be sent take
 * in one call each. */
static size_t
call_capacity(const EbBatchService *service)
{
    return (size_t)service->batch.max_items *
           EbBatchService_CountOpen(service);
}

/* Returns whether a job that moves many bytes can wait for a server in its
 * failure domain. */
static bool
can_wait_for_local_server(const EbBatchService *service, const EbBatchJob *job,
                          int64_t done_us)
{
    bool busy =
        service->waiting_count > call_capacity(service) / LOCAL_BUSY_DIVISOR;
    if (busy || job->spec.transfer_bytes < LOCAL_MIN_BYTES ||
        job->spec.due_us - done_us < LOCAL_MARGIN_US) {
        return false;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->current && !server->evacuated && server->failures == 0 &&
            is_local(job, server)) {
            return true;
        }
    }
    return false;
}

/* A job considered for a call. See compare_candidates for the order. */
typedef struct {
    EbBatchJob *job;
    bool late;   /* its request can't be in time any more */
    bool remote; /* its results are used in another failure domain */
    /* The request's priority if the job is late or there is a backlog,
     * otherwise 0. */
    int32_t priority;
    /* Late jobs of later stages go first, since the stages already completed
     * for them are worth the most. */
    int32_t stage_order;
    int64_t due_us;
} Candidate;

static int
compare_candidates(gconstpointer left, gconstpointer right)
{
    const Candidate *a = left;
    const Candidate *b = right;
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->remote != b->remote) {
        return a->remote ? 1 : -1;
    }
    if (a->stage_order != b->stage_order) {
        return a->stage_order < b->stage_order ? -1 : 1;
    }
    return a->due_us < b->due_us ? -1 : a->due_us > b->due_us;
}

void
EbBatchCall_SelectItems(EbBatchCall *call, int64_t now_us)
{
    EbBatchService *service = call->service;
    bool backlogged = service->waiting_count > call_capacity(service);
    int64_t done_us = now_us + EbBatchService_ExpectedTime(service, 1);
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(Candidate));
    for (GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        EbBatchJob *job = g_sequence_get(iter);
        bool late = job->spec.due_us < done_us;
        bool remote = !is_local(job, call->server);
        if (remote && can_wait_for_local_server(service, job, done_us)) {
            continue;
        }
        Candidate candidate = {
            .job = job,
            .late = late,
            .remote = !late && remote,
            .priority = backlogged || late ? job->spec.priority : 0,
            .stage_order = late ? -(int32_t)job->spec.stage : 0,
            .due_us = job->spec.due_us,
        };
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_candidates);
    for (guint i = 0;
         i < candidates->len && call->items->len < service->batch.max_items;
         i++) {
        add_items(call, g_array_index(candidates, Candidate, i).job,
                  service->batch.max_items);
    }
    g_array_free(candidates, TRUE);
}
