/* Events of attempts: answers, tokens and failures from backend servers. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

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
handle_answer(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
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
        EbRequest_HandleLookup(request, event->body, now_us);
    }
    else if (EbStage_protocols[stage->kind].stream) {
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "expected a stream", now_us);
    }
    else {
        EbAttempt_ReadAnswer(attempt, event->body, now_us);
    }
}

static bool
carries_echo(EbAttemptEventKind kind)
{
    return kind == EB_ATTEMPT_ANSWERED || kind == EB_ATTEMPT_TOKENS ||
           kind == EB_ATTEMPT_ENDED;
}

/* Checks the echo, which shows that the answer belongs to this call. The head
 * of a stream arrives only once, so its later events may have no echo. */
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
handle_event(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    if (attempt->request->forward != NULL) {
        EbAttempt_HandleForwardEvent(attempt, event, now_us);
        return;
    }
    const EbConfigStage *stage = EbRequest_Stage(attempt->request);
    bool stream = EbStage_protocols[stage->kind].stream;
    if (carries_echo(event->kind) && !check_echo(attempt, event)) {
        EbAttempt_PushCancel(attempt); /* closes the connection */
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "echo mismatch", now_us);
        return;
    }
    switch (event->kind) {
    case EB_ATTEMPT_REFUSED:
        EbAttempt_Fail(attempt, EB_CALL_REFUSED, "connect failed", now_us);
        break;
    case EB_ATTEMPT_ANSWERED:
        handle_answer(attempt, event, now_us);
        break;
    case EB_ATTEMPT_TOKENS:
    case EB_ATTEMPT_ENDED:
        if (!stream) {
            EbAttempt_Fail(attempt, EB_CALL_ERROR, "unexpected stream",
                           now_us);
        }
        else if (event->kind == EB_ATTEMPT_TOKENS) {
            EbAttempt_HandleTokens(attempt, event, now_us);
        }
        else {
            EbAttempt_HandleStreamEnd(attempt, now_us);
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

/* Returns whether the head of the answer is from the server that was called
 * and belongs to this call, so that what it asks for is current. */
static bool
has_own_head(const EbAttempt *attempt, const EbAttemptEvent *event)
{
    const EbRequest *request = attempt->request;
    const char *sent = request->summary->request_id;
    const char *echoed = event->echo_request_id;
    if (request->forward != NULL) {
        sent = request->forward->call->request_id;
        echoed = event->forward.request_id;
    }
    return event->http_status != 0 &&
           event->http_status != EB_STATUS_MISDIRECTED && echoed != NULL &&
           strcmp(echoed, sent) == 0;
}

static void
record_directive(EbAttempt *attempt, const EbAttemptEvent *event,
                 int64_t now_us)
{
    EbDispatcher *dispatcher = attempt->request->dispatcher;
    if (attempt->directive_recorded || !has_own_head(attempt, event)) {
        return;
    }
    attempt->directive_recorded = true;
    EbDirectives_RecordAnswer(dispatcher->options.directives,
                              attempt->server_id, &event->directive,
                              attempt->started_us, now_us);
    if (event->directive.leaving &&
        EbDirectives_IsPresent(dispatcher->options.directives,
                               attempt->server_id, attempt->started_us)) {
        EbDispatcher_MarkLeaving(dispatcher, attempt->server_id, 0, true,
                                 "response", now_us);
    }
}

void
EbAttempt_HandleEvent(EbAttempt *attempt, const EbAttemptEvent *event,
                      int64_t now_us)
{
    EbRequest_MarkTimerStale(attempt->request);
    /* The events of a stream repeat what its head says, which is old then. */
    if (event->has_load && !attempt->load_recorded) {
        attempt->load_recorded = true;
        EbPool_ReportLoad(attempt->pool->pool, attempt->server_id,
                          event->load_running, event->load_waiting, now_us,
                          now_us);
        EbPool_RecordWork(attempt->pool->pool, attempt->server_id,
                          event->load_work_percent, now_us);
    }
    record_directive(attempt, event, now_us);
    handle_event(attempt, event, now_us);
}
