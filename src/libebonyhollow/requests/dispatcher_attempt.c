/* The end of attempts: failures, time-outs and results, and the retry or next
 * stage that follows. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* Failed attempts after which a stage fails: the first call and three
 * retries. */
#define MAX_FAILURES 4
/* A non-idempotent call is cancelled only after this many times its time-out,
 * so that a late answer can still be recorded as its outcome. */
#define OVERDUE_TIMEOUTS 3

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

/* Prepares a broken stream for a resume, or for a restart without the tokens
 * so far. Returns false when neither is possible without losing tokens or
 * relaying them twice. */
static bool
prepare_resume(EbRequest *request)
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
draw_retry_budget(EbRequest *request, EbCallResult result)
{
    EbRetryBudget *budget = &request->pools[request->stage]->retry_budget;
    /* A refused connection put no load on a server. */
    if (EbDispatcher_IsPlain(request->dispatcher) ||
        result == EB_CALL_REFUSED) {
        return true;
    }
    /* A resume takes from the budget but is never refused: it continues work
     * that was admitted, and one crash breaks more streams than the budget
     * can hold. */
    return EbRetryBudget_Take(budget) || request->token_count > 0;
}

/* Starts another attempt of the stage after a while, or fails the request. */
static void
retry(EbRequest *request, EbCallResult result, int64_t now_us)
{
    EbReason reason = result == EB_CALL_REFUSED ? EB_REASON_NO_BACKEND_SERVER
                                                : EB_REASON_BACKEND_FAILED;
    if (!EbRequest_MayStartAttempt(request)) {
        EbRequest_Fail(request, reason, NULL, now_us);
        return;
    }
    EbReason quarantine = EbRequest_CheckQuarantine(request, now_us);
    request->failures++;
    request->deferrals = 0;
    int64_t delay_us = 0;
    if (result != EB_CALL_REFUSED || request->failures > 1) {
        delay_us = EbRetryBudget_BackoffDelay(
            request->dispatcher->options.random, request->failures);
    }
    if (result == EB_CALL_BROKEN) {
        delay_us =
            MAX(delay_us, EbRequest_CrashEvidenceDelay(request, now_us));
    }
    if (result == EB_CALL_REJECTED) {
        EbRequest_Fail(request, EB_REASON_BACKEND_REFUSED, NULL, now_us);
    }
    else if (quarantine != EB_REASON_NONE) {
        EbRequest_Fail(request, quarantine, NULL, now_us);
    }
    else if (request->failures >= MAX_FAILURES ||
             EbRequest_AttemptsExhausted(request) ||
             now_us + delay_us >= EbRequest_BeginDeadline(request)) {
        EbRequest_Fail(request, reason, NULL, now_us);
    }
    else if (!prepare_resume(request)) {
        EbRequest_Fail(request, reason,
                       "The stream broke and its engine cannot resume it.",
                       now_us);
    }
    else if (!draw_retry_budget(request, result)) {
        EbRequest_Fail(request, reason, "The retry budget is exhausted.",
                       now_us);
    }
    else {
        EbMetrics_Add(
            request->dispatcher->options.metrics,
            request->token_count > 0 ? EB_METRIC_RESUMES : EB_METRIC_RETRIES,
            1, request->pipeline->name, EbRequest_Stage(request)->name, NULL);
        request->summary->state = EB_REQUEST_QUEUED;
        request->hedge_at_us = 0;
        request->retry_at_us = MAX(now_us + delay_us, 1);
    }
}

/* Undoes the bookkeeping of a send, since the server did not run the call. */
static void
undo_send(EbRequest *request)
{
    request->sent_count--;
    request->call_sent = false;
}

/* Handles a non-idempotent call whose connection was refused. Nothing was
 * sent, so it can be sent again. */
static void
retry_refused_call(EbRequest *request, int64_t now_us)
{
    while (request->attempt_count > 0) {
        /* Only look-ups are left. */
        EbAttempt_Cancel(request->attempts[0], now_us);
    }
    request->retry_at_us = 0;
    retry(request, EB_CALL_REFUSED, now_us);
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
        request->call_broken = true;
        EbAttempt_RecordCrash(attempt, now_us);
        if (attempt->pool->prefixes != NULL) {
            EbPrefixIndex_RemoveServer(attempt->pool->prefixes,
                                       attempt->server_id);
        }
    }
    if (result == EB_CALL_BROKEN && request->forward != NULL) {
        EbAttempt_RecordBroken(attempt, now_us);
    }
    if (!lookup) {
        exclude(request, attempt->server_id);
    }
    if (!lookup && result == EB_CALL_REFUSED) {
        undo_send(request);
    }
    EbAttempt_End(attempt, result, now_us);
    if (lookup) {
        EbRequest_HandleLookup(request, NULL, now_us);
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
EbAttempt_FailNotRun(EbAttempt *attempt, EbCallResult result,
                     const char *cause, int64_t now_us)
{
    EbRequest *request = attempt->request;
    report_failure(attempt, cause);
    exclude(request, attempt->server_id);
    undo_send(request);
    EbAttempt_End(attempt, result, now_us);
    if (request->attempt_count == 0) {
        retry(request, result, now_us);
    }
}

void
EbAttempt_RejectAnswer(EbAttempt *attempt, const char *cause, int64_t now_us)
{
    EbAttempt_PushCancel(attempt);
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
EbAttempt_TimedOut(EbAttempt *attempt, int64_t now_us)
{
    EbRequest *request = attempt->request;
    const EbConfigStage *stage = &request->pipeline->stages[attempt->stage];
    if (attempt->paused) {
        EbAttempt_PushCancel(attempt);
        EbAttempt_Fail(attempt, EB_CALL_CANCELLED, "paused for a slow caller",
                       now_us);
        return;
    }
    if (stage->idempotent || attempt->lookup || attempt->overdue) {
        EbAttempt_PushCancel(attempt);
        retire_connections(attempt);
        EbAttempt_Fail(attempt, EB_CALL_SILENT, "no progress in time", now_us);
        return;
    }
    attempt->overdue = true;
    attempt->timeout_at_us =
        attempt->started_us + OVERDUE_TIMEOUTS * stage->timeout_us;
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

/* Clears the suspicion of a request if its stage succeeded after the
 * connection of another call of the stage had broken. Otherwise one faulty
 * server in each of two pools would be enough to quarantine a harmless
 * request. A stage that succeeded without a broken connection proves nothing:
 * a poison request may crash the servers of a later stage. */
static void
clear_suspicion(const EbAttempt *attempt, int64_t now_us)
{
    const EbRequest *request = attempt->request;
    EbDispatcher *dispatcher = request->dispatcher;
    if ((request->call_broken || attempt->crash_recorded) &&
        !EbDispatcher_IsPlain(dispatcher)) {
        EbQuarantine_RecordSuccess(dispatcher->options.quarantine,
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
        EbDispatcherPool *pool = attempt->pool;
        int64_t stream_us = now_us - attempt->first_token_us;
        pool->mean_stream_us += (stream_us - pool->mean_stream_us) / 8;
        EbRequest_ObserveTokens(request, request->token_count);
    }
    EbAttempt_End(attempt, EB_CALL_OK, now_us);
    while (request->attempt_count > 0) {
        EbAttempt_Cancel(request->attempts[0], now_us);
    }
    request->results[request->stage] = result;
    request->retry_at_us = 0;
    request->hedge_at_us = 0;
    if (++request->stage >= request->pipeline->stage_count) {
        EbRequest_Complete(request, now_us);
    }
    else if (EbRequest_MayStartAttempt(request)) {
        EbRequest_StartStage(request, now_us);
    }
    else {
        EbRequest_Fail(request, EB_REASON_CALLER_GONE, NULL, now_us);
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

void
EbAttempt_RecordHead(EbAttempt *attempt, int64_t now_us)
{
    EbRequest_Trace(attempt->request, "head", attempt->server_id,
                    attempt->number, now_us);
}

void
EbAttempt_RecordProgress(EbAttempt *attempt, int64_t now_us)
{
    const EbConfigStage *stage = EbRequest_Stage(attempt->request);
    if (!attempt->has_tokens) {
        attempt->has_tokens = true;
        attempt->first_token_us = now_us;
    }
    int64_t gap_us = stage->token_gap_timeout_us;
    int64_t end_us = attempt->started_us + stage->timeout_us;
    attempt->timeout_at_us =
        gap_us > 0 ? MIN(now_us + gap_us, end_us) : end_us;
}
