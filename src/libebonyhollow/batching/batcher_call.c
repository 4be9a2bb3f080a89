/* Batched calls: sending, answers, failures and time-outs. */
#include <assert.h>

#include "batcher_state.h"

/* After this many failed attempts at an item its job fails. */
#define MAX_ATTEMPTS 4
/* Time-out of a call as a multiple of its expected time, and its lower bound.
 * A server that exceeds it is silent or far too slow. */
#define TIMEOUT_FACTOR 4
#define TIMEOUT_MIN_US 1500000
/* A server that failed gets no call for this time, which doubles with each
 * further failure. */
#define BLOCK_INITIAL_US 100000
#define BLOCK_MAX_US 3000000
#define BLOCK_MAX_DOUBLINGS 5
/* A server that has no free slot or memory gets no call for this time. */
#define BLOCK_FULL_US 50000
#define SLOWDOWN_GAIN 0.3 /* an average of about three calls */

void
EbBatchCall_Free(gpointer pointer)
{
    EbBatchCall *call = pointer;
    g_ptr_array_unref(call->items);
    g_free(call);
}

static const char *
copy_string(GPtrArray *strings, const char *text)
{
    char *copy = g_strdup(text);
    g_ptr_array_add(strings, copy);
    return copy;
}

static EbWorkItem
describe_item(const EbBatchItem *item, GPtrArray *strings, int64_t now_us)
{
    const EbPreparationJob *spec = &item->job->spec;
    EbWorkItem work = {
        .request_id = copy_string(strings, spec->request_id),
        .stage = spec->stage,
        .index = item->index,
        .remaining_us = spec->deadline_us - now_us,
    };
    if (spec->key != NULL) {
        work.key = copy_string(strings, spec->key);
    }
    if (spec->inputs != NULL) {
        work.input_count = spec->inputs->len;
        const char **inputs = g_new0(const char *, work.input_count + 1);
        g_ptr_array_add(strings, inputs);
        for (uint32_t i = 0; i < work.input_count; i++) {
            inputs[i] =
                copy_string(strings, g_ptr_array_index(spec->inputs, i));
        }
        work.inputs = inputs;
    }
    return work;
}

static void
send_call(EbBatcher *batcher, const EbBatchCall *call, int64_t now_us)
{
    const EbBatchServer *server = call->server;
    EbAction action = {
        .kind = EB_ACTION_SEND_BATCH,
        .as.batch = {
            .attempt_id = call->id,
            .server_id = g_strdup(server->id),
            .host = g_strdup(server->host),
            .port = server->port,
            .items = g_array_new(FALSE, FALSE, sizeof(EbWorkItem)),
            .strings = g_ptr_array_new_with_free_func(g_free),
        }};
    for (guint i = 0; i < call->items->len; i++) {
        EbWorkItem item = describe_item(g_ptr_array_index(call->items, i),
                                        action.as.batch.strings, now_us);
        g_array_append_val(action.as.batch.items, item);
    }
    EbActionQueue_Push(batcher->options.actions, &action);
}

/* Starts a call. Returns false when no waiting item suits this server now. */
static bool
start_call(EbBatcher *batcher, EbBatchService *service, EbBatchServer *server,
           int64_t now_us)
{
    EbBatchCall *call = g_new0(EbBatchCall, 1);
    call->id = ++batcher->last_attempt_id | EB_BATCH_ATTEMPT_BIT;
    call->service = service;
    call->server = server;
    call->items = g_ptr_array_new();
    EbBatchCall_SelectItems(call, now_us);
    if (call->items->len == 0) {
        EbBatchCall_Free(call);
        return false;
    }
    call->started_us = now_us;
    call->expected_us = EbBatchService_ExpectedTime(service, call->items->len);
    call->timeout_at_us =
        now_us + MAX(TIMEOUT_MIN_US, TIMEOUT_FACTOR * call->expected_us);
    server->running++;
    EbDirectives_RecordCall(batcher->options.directives, server->id, now_us);
    g_hash_table_insert(batcher->calls, &call->id, call);
    send_call(batcher, call, now_us);
    return true;
}

/* Ends the jobs that can no longer be prepared before their deadline, and all
 * that wait for servers of which none may be called. */
static void
end_hopeless_jobs(EbBatcher *batcher, EbBatchService *service, int64_t now_us)
{
    bool evacuated = EbBatchService_IsEvacuated(service);
    /* While many items wait, an item is done with a full call. */
    size_t items = MIN(service->waiting_count, service->batch.max_items);
    int64_t call_us = EbBatchService_ExpectedTime(service, (uint32_t)items);
    GSequenceIter *iter = g_sequence_get_begin_iter(service->queue);
    while (!g_sequence_iter_is_end(iter)) {
        GSequenceIter *next = g_sequence_iter_next(iter);
        EbBatchJob *job = g_sequence_get(iter);
        if (evacuated) {
            EbBatchJob_Report(batcher, job, EB_PREPARED_FAILED, now_us);
        }
        else if (job->spec.deadline_us <= now_us + call_us) {
            EbBatchJob_ReportLate(batcher, job, "expired", now_us);
        }
        iter = next;
    }
}

void
EbBatchService_StartCalls(EbBatcher *batcher, EbBatchService *service,
                          int64_t now_us)
{
    end_hopeless_jobs(batcher, service, now_us);
    EbBatchService_ReviewJobs(batcher, service, now_us);
    while (service->waiting_count > 0) {
        EbBatchServer *server =
            EbBatchService_ChooseServer(batcher, service, now_us);
        if (server == NULL) {
            return;
        }
        if (!start_call(batcher, service, server, now_us)) {
            server->skipped_us = now_us;
        }
    }
}

/* Removes a call from the table and from its server's count. Returns NULL when
 * it is unknown. */
static EbBatchCall *
remove_call(EbBatcher *batcher, uint64_t attempt_id, int64_t now_us)
{
    EbBatchCall *call = g_hash_table_lookup(batcher->calls, &attempt_id);
    if (call != NULL) {
        g_hash_table_steal(batcher->calls, &attempt_id);
        call->server->running--;
        call->server->idle_since_us = now_us;
    }
    return call;
}

static void
block_server(EbBatchServer *server, int64_t duration_us, int64_t now_us)
{
    server->blocked_until_us =
        MAX(server->blocked_until_us, now_us + duration_us);
}

static void
record_server_failure(EbBatchServer *server, int64_t now_us)
{
    uint32_t doublings = MIN(server->failures, BLOCK_MAX_DOUBLINGS);
    server->failures++;
    block_server(server,
                 MIN((int64_t)BLOCK_INITIAL_US << doublings, BLOCK_MAX_US),
                 now_us);
}

/* Handles an item that was not done: it is queued again or its job ends. Only
 * errors count as attempts; a full server does not. */
static void
requeue_or_fail_item(EbBatcher *batcher, EbBatchItem *item,
                     EbBatchServer *server, EbWorkItemResultKind kind,
                     int64_t now_us)
{
    EbBatchJob *job = item->job;
    EbBatchJob_FreeResultMemory(job, item, server);
    if (job->finished) {
        return;
    }
    if (kind == EB_WORK_ITEM_INPUT_GONE) {
        EbBatchJob_Report(batcher, job, EB_PREPARED_INPUT_GONE, now_us);
    }
    else if (kind == EB_WORK_ITEM_LATE) {
        EbBatchJob_Report(batcher, job, EB_PREPARED_LATE, now_us);
    }
    else if (kind == EB_WORK_ITEM_ERROR && ++item->attempts >= MAX_ATTEMPTS) {
        EbBatchJob_Report(batcher, job, EB_PREPARED_FAILED, now_us);
    }
    else {
        EbBatchJob_EnqueueItem(job, item);
    }
}

static void
complete_item(EbBatcher *batcher, EbBatchItem *item,
              const EbBatchServer *server, EbWorkItemResult *result,
              int64_t now_us)
{
    EbBatchJob *job = item->job;
    item->handle = result->handle;
    item->server_id = g_strdup(server->id);
    result->handle = NULL;
    job->done_count++;
    EbStageRates_Add(&job->service->done, 0, 1, now_us);
    if (job->ended) {
        EbBatchJob_ReleaseResult(batcher, job, item, now_us);
    }
    else if (!job->finished && job->done_count == job->spec.item_count) {
        EbBatchJob_Report(batcher, job, EB_PREPARED_OK, now_us);
    }
}

static void
end_running_item(EbBatcher *batcher, EbBatchJob *job)
{
    if (--job->running_count == 0 && job->ended) {
        EbBatchJob_Free(batcher, job);
    }
}

/* Frees a call, and those of its jobs that have ended and have no item in
 * another call. Then starts the next calls. */
static void
end_call(EbBatcher *batcher, EbBatchCall *call, int64_t now_us)
{
    for (guint i = 0; i < call->items->len; i++) {
        const EbBatchItem *item = g_ptr_array_index(call->items, i);
        end_running_item(batcher, item->job);
    }
    EbBatchService *service = call->service;
    EbBatchCall_Free(call);
    EbBatchService_StartCalls(batcher, service, now_us);
}

void
EbBatcher_CallAnswered(EbBatcher *batcher, uint64_t attempt_id,
                       EbWorkItemResult *results, size_t count, int64_t now_us)
{
    EbBatchCall *call = remove_call(batcher, attempt_id, now_us);
    if (call == NULL) {
        return;
    }
    assert(count == call->items->len);
    EbBatchServer *server = call->server;
    double slowdown =
        (double)(now_us - call->started_us) / (double)call->expected_us;
    EbPaceCall ended = {.result = EB_PACE_ANSWERED,
                        .time = slowdown,
                        .started_us = call->started_us};
    EbDirectives_RecordResult(batcher->options.directives, server->id, &ended,
                              now_us);
    server->slowdown += SLOWDOWN_GAIN * (slowdown - server->slowdown);
    server->failures = 0;
    uint64_t missing_bytes = 0;
    for (size_t i = 0; i < count; i++) {
        EbBatchItem *item = g_ptr_array_index(call->items, i);
        if (results[i].kind == EB_WORK_ITEM_OUT_OF_MEMORY) {
            missing_bytes += item->job->spec.result_bytes;
        }
        if (results[i].kind == EB_WORK_ITEM_DONE) {
            complete_item(batcher, item, server, &results[i], now_us);
        }
        else {
            requeue_or_fail_item(batcher, item, server, results[i].kind,
                                 now_us);
        }
    }
    if (missing_bytes > 0) {
        block_server(server, BLOCK_FULL_US, now_us);
        EbBatchService_RecordFullMemory(call->service, server, missing_bytes,
                                        now_us);
    }
    end_call(batcher, call, now_us);
}

void
EbBatcher_CallFailed(EbBatcher *batcher, uint64_t attempt_id,
                     EbCallResult result, const char *cause, int64_t now_us)
{
    EbBatchCall *call = remove_call(batcher, attempt_id, now_us);
    if (call == NULL) {
        return;
    }
    EB_EMIT(batcher->options.events, EB_EVENT_PREPARATION_RETRIED,
            EB_STRING_FIELD("backend_server", call->server->id),
            EB_STRING_FIELD("service", call->service->name),
            EB_INTEGER_FIELD("pieces", call->items->len),
            EB_STRING_FIELD("cause", cause));
    EbPaceCall failed = {.result = result == EB_CALL_REFUSED ? EB_PACE_REFUSED
                                                             : EB_PACE_FAILED,
                         .started_us = call->started_us};
    EbDirectives_RecordResult(batcher->options.directives, call->server->id,
                              &failed, now_us);
    bool full = result == EB_CALL_OVERLOADED;
    if (full) {
        block_server(call->server, BLOCK_FULL_US, now_us);
    }
    else {
        record_server_failure(call->server, now_us);
    }
    for (guint i = 0; i < call->items->len; i++) {
        requeue_or_fail_item(
            batcher, g_ptr_array_index(call->items, i), call->server,
            full ? EB_WORK_ITEM_OUT_OF_MEMORY : EB_WORK_ITEM_ERROR, now_us);
    }
    end_call(batcher, call, now_us);
}

const char *
EbBatcher_RecordDirective(EbBatcher *batcher, uint64_t attempt_id,
                          const EbServerDirective *directive, int64_t now_us)
{
    const EbBatchCall *call = g_hash_table_lookup(batcher->calls, &attempt_id);
    if (call == NULL) {
        return NULL;
    }
    EbDirectives_RecordAnswer(batcher->options.directives, call->server->id,
                              directive, call->started_us, now_us);
    return EbDirectives_IsPresent(batcher->options.directives,
                                  call->server->id, call->started_us)
               ? call->server->id
               : NULL;
}

size_t
EbBatcher_CallItemCount(const EbBatcher *batcher, uint64_t attempt_id)
{
    const EbBatchCall *call = g_hash_table_lookup(batcher->calls, &attempt_id);
    return call != NULL ? call->items->len : 0;
}

void
EbBatcher_TimeOutCalls(EbBatcher *batcher, int64_t now_us)
{
    GList *calls = g_hash_table_get_values(batcher->calls);
    for (GList *item = calls; item != NULL; item = item->next) {
        EbBatchCall *call = item->data;
        if (call->timeout_at_us <= now_us) {
            EbAction action = {.kind = EB_ACTION_CANCEL_ATTEMPT};
            action.as.cancel_attempt_id = call->id;
            EbActionQueue_Push(batcher->options.actions, &action);
            EbBatcher_CallFailed(batcher, call->id, EB_CALL_SILENT,
                                 "no answer in time", now_us);
        }
    }
    g_list_free(calls);
}
