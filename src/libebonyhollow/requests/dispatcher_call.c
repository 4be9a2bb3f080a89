/* Sending, ending and cancelling calls to backend servers. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define LOOKUP_TIMEOUT_US 1000000 /* at most; the stage may allow less */

static void
push_forward(const EbAttempt *attempt, const EbConfigBackendServer *server,
             int64_t now_us)
{
    EbRequest *request = attempt->request;
    const EbConfigStage *stage = EbRequest_Stage(request);
    EbAction action = {.kind = EB_ACTION_SEND_ATTEMPT,
                       .as.send = {
                           .attempt_id = attempt->id,
                           .attempt = attempt->number,
                           .kind = stage->kind,
                           .server_id = g_strdup(server->id),
                           .host = g_strdup(server->host),
                           .port = server->port,
                           .stream = EbStage_protocols[stage->kind].stream,
                           .fresh_connection = !stage->idempotent,
                       }};
    EbRequest_FillForward(request, &action.as.send, now_us);
    EbActionQueue_Push(request->dispatcher->options.actions, &action);
}

static void
push_send(const EbAttempt *attempt, const EbConfigBackendServer *server,
          const EbAttemptStart *start)
{
    const EbRequest *request = attempt->request;
    const EbConfigStage *stage = &request->pipeline->stages[attempt->stage];
    const EbConfigPool *pool = &request->config->pools[stage->pool_index];
    bool keyed = stage->kind == EB_STAGE_CALL;
    EbActionQueue_Push(
        request->dispatcher->options.actions,
        &(EbAction){
            .kind = EB_ACTION_SEND_ATTEMPT,
            .as.send = {
                .attempt_id = attempt->id,
                .request_id = g_strdup(request->summary->request_id),
                .stage = attempt->stage,
                .attempt = attempt->number,
                .kind = stage->kind,
                .server_id = g_strdup(server->id),
                .host = g_strdup(server->host),
                .port = server->port,
                .path = g_strdup(start->path),
                .body = start->body,
                .idempotency_key = keyed ? g_strdup(request->key) : NULL,
                .traceparent = g_strdup(request->traceparent),
                .fencing_token = pool->checks_fencing && !start->lookup
                                     ? request->fencing_token
                                     : 0,
                .lookup = start->lookup,
                .stream = EbStage_protocols[stage->kind].stream,
                .fresh_connection = !stage->idempotent && !start->lookup,
            }});
}

static void
register_attempt(EbAttempt *attempt)
{
    EbRequest *request = attempt->request;
    EbDispatcher *dispatcher = request->dispatcher;
    assert(request->attempt_count < EB_REQUEST_MAX_ATTEMPTS);
    request->attempts[request->attempt_count++] = attempt;
    g_hash_table_insert(dispatcher->attempts, &attempt->id, attempt);
    GPtrArray *running = g_hash_table_lookup(dispatcher->attempts_by_server,
                                             attempt->server_id);
    if (running == NULL) {
        running = g_ptr_array_new();
        g_hash_table_insert(dispatcher->attempts_by_server,
                            g_strdup(attempt->server_id), running);
    }
    g_ptr_array_add(running, attempt);
    if (attempt->lookup) {
        return;
    }
    gpointer count = g_hash_table_lookup(dispatcher->attempts_by_fingerprint,
                                         &request->fingerprint);
    g_hash_table_replace(
        dispatcher->attempts_by_fingerprint,
        g_memdup2(&request->fingerprint, sizeof(request->fingerprint)),
        GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
}

static void
unregister_attempt(EbAttempt *attempt)
{
    EbRequest *request = attempt->request;
    EbDispatcher *dispatcher = request->dispatcher;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        if (request->attempts[i] == attempt) {
            request->attempts[i] = request->attempts[--request->attempt_count];
        }
    }
    GPtrArray *running = g_hash_table_lookup(dispatcher->attempts_by_server,
                                             attempt->server_id);
    g_ptr_array_remove_fast(running, attempt);
    if (running->len == 0) {
        g_hash_table_remove(dispatcher->attempts_by_server,
                            attempt->server_id);
    }
    if (!attempt->lookup) {
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(
            dispatcher->attempts_by_fingerprint, &request->fingerprint));
        if (count <= 1) {
            g_hash_table_remove(dispatcher->attempts_by_fingerprint,
                                &request->fingerprint);
        }
        else {
            g_hash_table_replace(
                dispatcher->attempts_by_fingerprint,
                g_memdup2(&request->fingerprint, sizeof(request->fingerprint)),
                GUINT_TO_POINTER(count - 1));
        }
    }
    g_hash_table_remove(dispatcher->attempts, &attempt->id);
}

static int64_t
first_timeout(const EbConfigStage *stage, bool lookup, int64_t now_us)
{
    if (lookup) {
        return now_us + MIN(stage->timeout_us, LOOKUP_TIMEOUT_US);
    }
    int64_t timeout_us = stage->timeout_us;
    if (stage->kind == EB_STAGE_GENERATE &&
        stage->first_token_timeout_us > 0) {
        timeout_us = MIN(timeout_us, stage->first_token_timeout_us);
    }
    return now_us + timeout_us;
}

bool
EbRequest_MayStartAttempt(const EbRequest *request)
{
    if (!request->answered) {
        return true;
    }
    EbMetrics_Add(request->dispatcher->options.metrics, EB_METRIC_SAVED_CALLS,
                  1, request->pipeline->name, EbRequest_Stage(request)->name,
                  NULL);
    return false;
}

EbAttempt *
EbAttempt_Start(EbRequest *request, const EbConfigBackendServer *server,
                const EbAttemptStart *start, int64_t now_us)
{
    const EbConfigStage *stage = EbRequest_Stage(request);
    const char *path = EbStage_protocols[stage->kind].path;
    EbAttemptStart sent = *start;
    if (sent.path == NULL && request->forward == NULL) {
        sent.path = path != NULL ? path : stage->path;
    }
    EbAttempt *attempt = g_new0(EbAttempt, 1);
    attempt->id = ++request->dispatcher->last_attempt_id;
    attempt->request = request;
    attempt->pool = request->pools[request->stage];
    attempt->server_id = g_strdup(server->id);
    attempt->stage = request->stage;
    attempt->number = ++request->last_attempt_number;
    attempt->hedge = start->hedge;
    attempt->lookup = start->lookup;
    attempt->started_us = now_us;
    attempt->timeout_at_us = first_timeout(stage, start->lookup, now_us);
    register_attempt(attempt);
    if (request->forward != NULL) {
        push_forward(attempt, server, now_us);
    }
    else {
        push_send(attempt, server, &sent);
    }
    if (!start->lookup) {
        request->sent_count++;
        request->call_sent = request->call_sent || !stage->idempotent;
        request->runs[request->stage].attempts++;
        request->summary->state =
            stage->idempotent ? EB_REQUEST_RUNNING : EB_REQUEST_CALLING;
    }
    const char *event = start->hedge ? "hedge" : "attempt";
    if (start->lookup) {
        event = "look-up";
    }
    EbRequest_Trace(request, event, server->id, attempt->number, now_us);
    EbRequest_MarkTimerStale(request);
    return attempt;
}

void
EbAttempt_End(EbAttempt *attempt, EbCallResult result, int64_t now_us)
{
    EbRequest *request = attempt->request;
    EbDispatcher *dispatcher = request->dispatcher;
    EbMetrics *metrics = dispatcher->options.metrics;
    const char *pipeline = request->pipeline->name;
    const char *stage = request->pipeline->stages[attempt->stage].name;
    int64_t total_us = now_us - attempt->started_us;
    int64_t duration_us = total_us;
    if (attempt->has_tokens) {
        duration_us = attempt->first_token_us - attempt->started_us;
    }
    /* A look-up is quicker than the pool's calls and would distort their
     * latency statistics, so it is reported as cancelled. */
    EbPool_EndCallOfKind(
        attempt->pool->pool, attempt->server_id,
        attempt->lookup && result == EB_CALL_OK ? EB_CALL_CANCELLED : result,
        duration_us,
        request->forward != NULL ? EbRequest_MeanAnswerTime(request) : 0,
        now_us);
    EbPool_RecordPieceInterval(
        attempt->pool->pool, attempt->server_id,
        EbPieceIntervals_Result(&attempt->piece_intervals), now_us);
    attempt->pool->dirty = true;
    request->runs[attempt->stage].server_us += total_us;
    EbMetrics_Add(metrics, EB_METRIC_ATTEMPTS, 1, pipeline, stage,
                  EbCallResult_names[result]);
    EbMetrics_Add(metrics, EB_METRIC_SERVER_TIME_US, (uint64_t)total_us,
                  request->customer->id, pipeline, stage);
    if (result != EB_CALL_OK && result != EB_CALL_REFUSED) {
        EbMetrics_Add(metrics, EB_METRIC_WASTED_CALLS, 1, pipeline, stage,
                      NULL);
    }
    EbRequest_Trace(request, EbCallResult_names[result], attempt->server_id,
                    attempt->number, now_us);
    EbRequest_MarkTimerStale(request);
    unregister_attempt(attempt);
}

void
EbAttempt_PushCancel(const EbAttempt *attempt)
{
    EbAction action = {.kind = EB_ACTION_CANCEL_ATTEMPT};
    action.as.cancel_attempt_id = attempt->id;
    EbActionQueue_Push(attempt->request->dispatcher->options.actions, &action);
}

void
EbAttempt_Cancel(EbAttempt *attempt, int64_t now_us)
{
    EbAttempt_PushCancel(attempt);
    EbAttempt_End(attempt, EB_CALL_CANCELLED, now_us);
}
