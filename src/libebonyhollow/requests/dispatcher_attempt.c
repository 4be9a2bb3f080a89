/* Attempts: what is sent, what comes back, failures and time-outs. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* Failed attempts of one stage; the first call and three retries. */
#define MAX_FAILURES 4
/* The answer of a non-idempotent call is waited for this many times its
 * time-out, so that its outcome can still be recorded. */
#define GENEROUS_TIMEOUTS 3
#define LOOKUP_TIMEOUT_US 1000000

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
    GPtrArray *running =
        g_hash_table_lookup(dispatcher->servers, attempt->server_id);
    if (running == NULL) {
        running = g_ptr_array_new();
        g_hash_table_insert(dispatcher->servers, g_strdup(attempt->server_id),
                            running);
    }
    g_ptr_array_add(running, attempt);
    if (attempt->lookup) {
        return;
    }
    gpointer count =
        g_hash_table_lookup(dispatcher->fingerprints, &request->fingerprint);
    g_hash_table_replace(
        dispatcher->fingerprints,
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
    GPtrArray *running =
        g_hash_table_lookup(dispatcher->servers, attempt->server_id);
    g_ptr_array_remove_fast(running, attempt);
    if (running->len == 0) {
        g_hash_table_remove(dispatcher->servers, attempt->server_id);
    }
    if (!attempt->lookup) {
        guint count = GPOINTER_TO_UINT(g_hash_table_lookup(
            dispatcher->fingerprints, &request->fingerprint));
        if (count <= 1) {
            g_hash_table_remove(dispatcher->fingerprints,
                                &request->fingerprint);
        }
        else {
            g_hash_table_replace(
                dispatcher->fingerprints,
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
    attempt->id = ++request->dispatcher->next_attempt;
    attempt->request = request;
    attempt->pool = request->pools[request->stage];
    attempt->server_id = g_strdup(server->id);
    attempt->stage = request->stage;
    attempt->number = ++request->next_number;
    attempt->hedge = start->hedge;
    attempt->lookup = start->lookup;
    attempt->started_us = now_us;
    attempt->timeout_us = first_timeout(stage, start->lookup, now_us);
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
    EbRequest_Touch(request);
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
    /* A look-up is quicker than the pool's calls and would distort them. */
    EbPool_End(attempt->pool->pool, attempt->server_id,
               attempt->lookup && result == EB_CALL_OK ? EB_CALL_CANCELLED
                                                       : result,
               duration_us, now_us);
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
    EbRequest_Touch(request);
    unregister_attempt(attempt);
}

static void
push_cancel(const EbAttempt *attempt)
{
    EbAction action = {.kind = EB_ACTION_CANCEL_ATTEMPT};
    action.as.cancel_attempt_id = attempt->id;
    EbActionQueue_Push(attempt->request->dispatcher->options.actions, &action);
}

void
EbAttempt_Cancel(EbAttempt *attempt, int64_t now_us)
{
    push_cancel(attempt);
    EbAttempt_End(attempt, EB_CALL_CANCELLED, now_us);
}

static void
exclude(EbRequest *request, const char *server_id)
{
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        if (strcmp(request->excluded[i], server_id) == 0) {
            return;
        }
    }
    if (request->excluded_count < EB_POOL_MAX_EXCLUDED) {
        request->excluded[request->excluded_count++] = g_strdup(server_id);
    }
}

/* Decides what is kept of a broken stream. Returns false when it can be
 * neither resumed nor restarted without tokens lost or sent twice. */
static bool
prepare_stream(EbRequest *request)
{
    if (request->forward != NULL) {
        return request->forward->head == NULL ||
               request->pipeline->forward->resumable;
    }
    const EbConfigStage *stage = EbRequest_Stage(request);
    if (request->token_count == 0 ||
        request->config->pools[stage->pool_index].resumes_streams) {
        return true;
    }
    if (request->relayed_count > 0) {
        return false;
    }
    g_string_truncate(request->text, 0);
    request->total_tokens -= request->token_count;
    request->token_count = 0;
    return true;
}

static bool
take_budget(EbRequest *request, EbCallResult result)
{
    EbRetry *budget = &request->pools[request->stage]->budget;
    /* A refused connect caused no load. */
    if (EbDispatcher_IsPlain(request->dispatcher) ||
        result == EB_CALL_REFUSED) {
        return true;
    }
    /* A resumed stream only continues work that was admitted, so that it
     * draws from the budget but is not refused by it: one crash breaks more
     * streams than the budget ever holds. */
    return EbRetry_Take(budget) || request->token_count > 0;
}

static void
retry(EbRequest *request, EbCallResult result, int64_t now_us)
{
    EbReason reason = result == EB_CALL_REFUSED ? EB_REASON_NO_BACKEND_SERVER
                                                : EB_REASON_BACKEND_FAILED;
    request->failures++;
    request->parks = 0;
    int64_t delay_us = 0;
    if (result != EB_CALL_REFUSED || request->failures > 1) {
        delay_us = EbRetry_Backoff(request->dispatcher->options.random,
                                   request->failures);
    }
    if (result == EB_CALL_REJECTED) {
        EbRequest_Fail(request, EB_REASON_BACKEND_REFUSED, NULL, now_us);
    }
    else if (EbRequest_IsQuarantined(request, now_us)) {
        EbRequest_Fail(request, EB_REASON_QUARANTINED, NULL, now_us);
    }
    else if (request->failures >= MAX_FAILURES ||
             EbRequest_SpentAttempts(request) ||
             now_us + delay_us >= request->deadline_us) {
        EbRequest_Fail(request, reason, NULL, now_us);
    }
    else if (!prepare_stream(request)) {
        EbRequest_Fail(request, reason,
                       "The stream broke and its engine cannot resume it.",
                       now_us);
    }
    else if (!take_budget(request, result)) {
        EbRequest_Fail(request, reason, "The retry budget is spent.", now_us);
    }
    else {
        EbMetrics_Add(
            request->dispatcher->options.metrics,
            request->token_count > 0 ? EB_METRIC_RESUMES : EB_METRIC_RETRIES,
            1, request->pipeline->name, EbRequest_Stage(request)->name, NULL);
        request->summary->state = EB_REQUEST_QUEUED;
        request->hedge_us = 0;
        request->retry_us = MAX(now_us + delay_us, 1);
    }
}

/* The attempt did not run: the request is as if it had not been sent. */
static void
take_back_send(EbRequest *request)
{
    request->sent_count--;
    request->call_sent = false;
}

/* A non-idempotent call whose connect was refused: nothing was sent. */
static void
retry_refused_call(EbRequest *request, int64_t now_us)
{
    while (request->attempt_count > 0) {
        EbAttempt_Cancel(request->attempts[0], now_us); /* a look-up */
    }
    request->retry_us = 0;
    if (request->answered) {
        EbRequest_Fail(request, EB_REASON_NO_BACKEND_SERVER, NULL, now_us);
    }
    else {
        retry(request, EB_CALL_REFUSED, now_us);
    }
}

static void
report_failure(EbAttempt *attempt, const char *cause)
{
    const EbRequest *request = attempt->request;
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_ATTEMPT_FAILED,
            EB_STRING_FIELD("request_id", request->summary->request_id),
            EB_STRING_FIELD("customer", request->customer->id),
            EB_STRING_FIELD("pipeline", request->pipeline->name),
            EB_STRING_FIELD("stage",
                            request->pipeline->stages[attempt->stage].name),
            EB_INTEGER_FIELD("attempt", attempt->number),
            EB_STRING_FIELD("backend_server", attempt->server_id),
            EB_STRING_FIELD("cause", cause));
}

void
EbAttempt_Fail(EbAttempt *attempt, EbCallResult result, const char *cause,
               int64_t now_us)
{
    EbRequest *request = attempt->request;
    bool lookup = attempt->lookup;
    bool idempotent = request->pipeline->stages[attempt->stage].idempotent;
    report_failure(attempt, cause);
    if (result == EB_CALL_BROKEN && !lookup && request->forward == NULL) {
        request->broken = true;
        EbAttempt_Crashed(attempt, now_us);
        if (attempt->pool->prefix != NULL) {
            EbPrefix_Forget(attempt->pool->prefix, attempt->server_id);
        }
    }
    if (!lookup) {
        exclude(request, attempt->server_id);
    }
    if (!lookup && result == EB_CALL_REFUSED) {
        take_back_send(request);
    }
    EbAttempt_End(attempt, result, now_us);
    if (lookup) {
        EbRequest_LookedUp(request, NULL, now_us);
    }
    else if (!idempotent) {
        if (result == EB_CALL_REFUSED) {
            retry_refused_call(request, now_us);
        }
        else {
            EbRequest_CallLost(request, now_us);
        }
    }
    else if (request->attempt_count == 0) {
        retry(request, result, now_us);
    }
}

void
EbAttempt_NotRun(EbAttempt *attempt, EbCallResult result, const char *cause,
                 int64_t now_us)
{
    EbRequest *request = attempt->request;
    report_failure(attempt, cause);
    exclude(request, attempt->server_id);
    take_back_send(request);
    EbAttempt_End(attempt, result, now_us);
    if (request->attempt_count == 0) {
        retry(request, result, now_us);
    }
}

void
EbAttempt_Refuse(EbAttempt *attempt, const char *cause, int64_t now_us)
{
    push_cancel(attempt);
    EbAttempt_Fail(attempt, EB_CALL_ERROR, cause, now_us);
}

static void
retire_connections(const EbAttempt *attempt)
{
    const EbRequest *request = attempt->request;
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_SERVER_SILENT,
            EB_STRING_FIELD("backend_server", attempt->server_id),
            EB_STRING_FIELD("stage",
                            request->pipeline->stages[attempt->stage].name));
    EbAction action = {.kind = EB_ACTION_RETIRE_CONNECTIONS};
    action.as.retire_server_id = g_strdup(attempt->server_id);
    EbActionQueue_Push(request->dispatcher->options.actions, &action);
}

void
EbAttempt_Overdue(EbAttempt *attempt, int64_t now_us)
{
    EbRequest *request = attempt->request;
    const EbConfigStage *stage = &request->pipeline->stages[attempt->stage];
    if (attempt->held_back) {
        push_cancel(attempt);
        EbAttempt_Fail(attempt, EB_CALL_CANCELLED, "held back by its caller",
                       now_us);
        return;
    }
    if (stage->idempotent || attempt->lookup || attempt->overdue) {
        push_cancel(attempt);
        retire_connections(attempt);
        EbAttempt_Fail(attempt, EB_CALL_SILENT, "no progress in time", now_us);
        return;
    }
    attempt->overdue = true;
    attempt->timeout_us =
        attempt->started_us + GENEROUS_TIMEOUTS * stage->timeout_us;
    retire_connections(attempt);
    EbRequest_Trace(request, "overdue", attempt->server_id, attempt->number,
                    now_us);
    if (!request->answered) {
        EbRequest_CallLost(request, now_us);
    }
}

/* Results */

static EbStageInput
input_of(const EbAttempt *attempt)
{
    EbRequest *request = attempt->request;
    return (EbStageInput){
        .pipeline = request->pipeline,
        .stage = attempt->stage,
        .request = request->body,
        .results = request->results,
    };
}

/* Clears the suspicion of a request whose stage succeeded after a server
 * broke a call of it. Otherwise a faulty server in each of two pools is enough
 * to quarantine a request that harms none. A success without a break says
 * nothing, since a poison request may crash the servers of a later stage. */
static void
clear_suspicion(const EbAttempt *attempt, int64_t now_us)
{
    const EbRequest *request = attempt->request;
    EbDispatcher *dispatcher = request->dispatcher;
    if ((request->broken || attempt->crash_scored) &&
        !EbDispatcher_IsPlain(dispatcher)) {
        EbQuarantine_Success(dispatcher->options.quarantine,
                             request->fingerprint, now_us);
    }
}

static void
complete_stage(EbAttempt *attempt, json_t *result, int64_t now_us)
{
    clear_suspicion(attempt, now_us);
    EbRequest *request = attempt->request;
    const EbConfigStage *stage = EbRequest_Stage(request);
    EbMetrics_Observe(request->dispatcher->options.metrics,
                      EB_METRIC_STAGE_TIME_US, now_us - attempt->started_us,
                      request->pipeline->name, stage->name, NULL);
    if (attempt->has_tokens) {
        EbPoolState *pool = attempt->pool;
        int64_t stream_us = now_us - attempt->first_token_us;
        pool->stream_us += (stream_us - pool->stream_us) / 8;
        EbRequest_ObserveTokens(request, request->token_count);
    }
    EbAttempt_End(attempt, EB_CALL_OK, now_us);
    while (request->attempt_count > 0) {
        EbAttempt_Cancel(request->attempts[0], now_us);
    }
    request->results[request->stage] = result;
    request->retry_us = 0;
    request->hedge_us = 0;
    if (++request->stage < request->pipeline->stage_count) {
        EbRequest_StartStage(request, now_us);
    }
    else {
        EbRequest_Complete(request, now_us);
    }
}

void
EbAttempt_ReadAnswer(EbAttempt *attempt, json_t *answer, int64_t now_us)
{
    const EbConfigStage *stage = EbRequest_Stage(attempt->request);
    EbStageInput input = input_of(attempt);
    EbError error;
    EbError_Clear(&error);
    json_t *result =
        EbStage_protocols[stage->kind].read(&input, answer, &error);
    if (result == NULL) {
        EbAttempt_Fail(attempt, EB_CALL_ERROR, error.message, now_us);
        return;
    }
    complete_stage(attempt, result, now_us);
}

static EbCallResult
result_of_status(uint16_t status)
{
    if (status == 429 || status == 503) {
        return EB_CALL_OVERLOADED;
    }
    if (status >= 200 && status < 300) {
        return EB_CALL_OK;
    }
    return status >= 400 && status < 500 ? EB_CALL_REJECTED : EB_CALL_ERROR;
}

static void
take_answer(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    EbRequest *request = attempt->request;
    const EbConfigStage *stage = EbRequest_Stage(request);
    EbCallResult result = result_of_status(event->http_status);
    if (result != EB_CALL_OK) {
        char cause[32];
        g_snprintf(cause, sizeof(cause), "status %u", event->http_status);
        EbAttempt_Fail(attempt, result, cause, now_us);
    }
    else if (attempt->lookup) {
        EbAttempt_End(attempt, EB_CALL_OK, now_us);
        EbRequest_LookedUp(request, event->body, now_us);
    }
    else if (EbStage_protocols[stage->kind].stream) {
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "no stream", now_us);
    }
    else {
        EbAttempt_ReadAnswer(attempt, event->body, now_us);
    }
}

/* Events */

static bool
carries_echo(EbAttemptEventKind kind)
{
    return kind == EB_ATTEMPT_ANSWERED || kind == EB_ATTEMPT_TOKENS ||
           kind == EB_ATTEMPT_ENDED;
}

/* Checks that the answer is for this call. The headers of a stream come once,
 * so that later events of it may lack them. */
static bool
check_echo(EbAttempt *attempt, const EbAttemptEvent *event)
{
    const EbRequest *request = attempt->request;
    bool absent = event->echo_request_id == NULL && event->echo_stage < 0 &&
                  event->echo_attempt < 0;
    if (absent && attempt->echo_checked) {
        return true;
    }
    attempt->echo_checked = true;
    if (event->echo_request_id != NULL &&
        strcmp(event->echo_request_id, request->summary->request_id) == 0 &&
        event->echo_stage == (int64_t)attempt->stage &&
        event->echo_attempt == (int64_t)attempt->number) {
        return true;
    }
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_ECHO_MISMATCH,
            EB_STRING_FIELD("request_id", request->summary->request_id),
            EB_STRING_FIELD("stage",
                            request->pipeline->stages[attempt->stage].name),
            EB_INTEGER_FIELD("attempt", attempt->number),
            EB_STRING_FIELD("backend_server", attempt->server_id));
    return false;
}

static void
take_event(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    if (attempt->request->forward != NULL) {
        EbAttempt_TakeForward(attempt, event, now_us);
        return;
    }
    const EbConfigStage *stage = EbRequest_Stage(attempt->request);
    bool stream = EbStage_protocols[stage->kind].stream;
    if (carries_echo(event->kind) && !check_echo(attempt, event)) {
        push_cancel(attempt); /* closes the connection */
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "echo mismatch", now_us);
        return;
    }
    switch (event->kind) {
    case EB_ATTEMPT_REFUSED:
        EbAttempt_Fail(attempt, EB_CALL_REFUSED, "connect refused", now_us);
        break;
    case EB_ATTEMPT_ANSWERED:
        take_answer(attempt, event, now_us);
        break;
    case EB_ATTEMPT_TOKENS:
    case EB_ATTEMPT_ENDED:
        if (!stream) {
            EbAttempt_Fail(attempt, EB_CALL_ERROR, "unexpected stream",
                           now_us);
        }
        else if (event->kind == EB_ATTEMPT_TOKENS) {
            EbAttempt_TakeTokens(attempt, event, now_us);
        }
        else {
            EbAttempt_TakeEnd(attempt, now_us);
        }
        break;
    case EB_ATTEMPT_BROKEN:
        EbAttempt_Fail(attempt, EB_CALL_BROKEN, "connection broken", now_us);
        break;
    case EB_ATTEMPT_MALFORMED:
    case EB_ATTEMPT_STREAMING:
    case EB_ATTEMPT_EVENTS:
    case EB_ATTEMPT_EVENT_COUNT:
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "malformed answer", now_us);
        break;
    }
}

void
EbDispatcher_Attempt(EbDispatcher *dispatcher, const EbAttemptEvent *event,
                     int64_t now_us)
{
    EbAttempt *attempt =
        g_hash_table_lookup(dispatcher->attempts, &event->attempt_id);
    if (attempt == NULL) {
        EB_EMIT(dispatcher->options.events, EB_EVENT_LATE_ANSWER_DROPPED,
                EB_INTEGER_FIELD("attempt_id", event->attempt_id));
        return;
    }
    EbRequest_Touch(attempt->request);
    if (event->has_load) {
        EbPool_Report(attempt->pool->pool, attempt->server_id,
                      event->load_running, event->load_waiting, now_us,
                      now_us);
    }
    if (event->leaving) {
        char *server_id = g_strdup(attempt->server_id);
        EbDispatcher_MarkLeaving(dispatcher, server_id, true, "response",
                                 now_us);
        g_free(server_id);
    }
    take_event(attempt, event, now_us);
    EbDispatcher_Settle(dispatcher, now_us);
}
