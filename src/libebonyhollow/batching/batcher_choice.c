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
 * room for this share of the items that it could take, or after the wait. A
 * server with memory for one and a half full calls does a third more with
 * calls of all and of half of a batch in turn than if it waits, idle, for the
 * room that the results of the last full call take. */
#define MIN_CALL_SHARE 0.5
#define MEMORY_WAIT_US 150000

/* Returns the memory that results of others still take at a server. */
static uint64_t
foreign_memory(const EbBatchService *service, const EbBatchServer *server,
               int64_t now_us)
{
    int64_t lifetime_us = service->batch.result_lifetime_us;
    int64_t left_us = server->foreign_seen_us + lifetime_us - now_us;
    return server->foreign_bytes > 0 && left_us > 0
               ? (uint64_t)((double)server->foreign_bytes * (double)left_us /
                            (double)lifetime_us)
               : 0;
}

uint64_t
EbBatchService_FreeMemory(const EbBatchService *service,
                          const EbBatchServer *server, int64_t now_us)
{
    uint64_t taken_bytes =
        server->held_bytes + foreign_memory(service, server, now_us);
    uint64_t memory_bytes = service->batch.result_memory_bytes;
    return memory_bytes - MIN(taken_bytes, memory_bytes);
}

void
EbBatchService_RecordFullMemory(const EbBatchService *service,
                                EbBatchServer *server, uint64_t missing_bytes,
                                int64_t now_us)
{
    server->foreign_bytes =
        MIN(foreign_memory(service, server, now_us) + missing_bytes,
            service->batch.result_memory_bytes);
    server->foreign_seen_us = now_us;
}

/* Returns whether the server has memory for the results of the next call. A
 * call costs far more than an item, so the server waits for memory that is
 * about to be released, unless there is room for most of a call. After
 * MEMORY_WAIT_US one result is enough. */
bool
EbBatchService_HasMemory(const EbBatchService *service,
                         const EbBatchServer *server, int64_t now_us)
{
    uint64_t memory_bytes = service->batch.result_memory_bytes;
    if (memory_bytes == 0 || service->waiting_count == 0) {
        return true;
    }
    uint64_t mean_bytes =
        MAX(service->waiting_bytes / service->waiting_count, 1);
    uint64_t room =
        EbBatchService_FreeMemory(service, server, now_us) / mean_bytes;
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
           EbBatchService_HasMemory(service, server, now_us) &&
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
add_items(EbBatchCall *call, EbBatchJob *job, int64_t now_us)
{
    EbBatchServer *server = call->server;
    const EbBatchService *service = job->service;
    while (call->items->len < service->batch.max_items &&
           job->waiting.length > 0 &&
           (service->batch.result_memory_bytes == 0 ||
            job->spec.result_bytes <=
                EbBatchService_FreeMemory(service, server, now_us))) {
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

size_t
EbBatchService_ItemsAtOnce(const EbBatchService *service)
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
    bool busy = service->waiting_count >
                EbBatchService_ItemsAtOnce(service) / LOCAL_BUSY_DIVISOR;
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

GArray *
EbBatchService_ListEntries(const EbBatchService *service,
                           const EbBatchServer *server, int64_t done_us)
{
    GArray *entries = g_array_new(FALSE, FALSE, sizeof(EbStageEntry));
    for (GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
         !g_sequence_iter_is_end(iter); iter = g_sequence_iter_next(iter)) {
        EbBatchJob *job = g_sequence_get(iter);
        bool remote = server != NULL && !is_local(job, server);
        if (remote && can_wait_for_local_server(service, job, done_us)) {
            continue;
        }
        EbStageEntry entry = {
            .job = job,
            .items = job->waiting.length,
            .class = EbStageSchedule_Class(job->spec.priority,
                                           job->spec.route_priority),
            .stage = job->spec.stage,
            .remote = remote,
            .started = job->running_count > 0 || job->done_count > 0,
            .due_us = job->spec.due_us,
            .deadline_us = job->spec.deadline_us};
        g_array_append_val(entries, entry);
    }
    return entries;
}

void
EbBatchCall_SelectItems(EbBatchCall *call, int64_t now_us)
{
    EbBatchService *service = call->service;
    EbStageCapacity capacity = EbBatchService_Capacity(service, now_us);
    GArray *list = EbBatchService_ListEntries(service, call->server,
                                              now_us + capacity.call_us);
    EbStageEntry *entries = (EbStageEntry *)list->data;
    bool shortage = EbStageSchedule_Order(entries, list->len, &capacity);
    if (!shortage) {
        service->shares = (EbStageShares){0};
        service->short_since_us = 0;
    }
    else if (service->short_since_us == 0) {
        service->short_since_us = now_us;
    }
    size_t next = 0;
    while (call->items->len < service->batch.max_items &&
           (next = EbStageShares_Next(&service->shares, entries, list->len)) <
               list->len) {
        EbStageEntry *entry = &entries[next];
        guint before = call->items->len;
        add_items(call, entry->job, now_us);
        entry->items = 0;
        if (shortage) {
            EbStageShares_Record(&service->shares, entry->class,
                                 call->items->len - before, entries, list->len,
                                 capacity.least_share);
        }
    }
    g_array_free(list, TRUE);
}
