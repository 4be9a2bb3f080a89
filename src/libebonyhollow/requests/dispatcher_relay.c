/* Answers and streams of forwarded requests, and their relay to the caller. */
#include <math.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define ANSWER_TIME_GAIN 0.1 /* averages over about ten calls */

/* Checks the head of an answer to a call that ran. Returns a description of
 * the fault, or NULL when there is none. */
static const char *
check_head(const EbRequest *request, const EbAttemptEvent *event)
{
    const EbForwardReply *head = &event->forward;
    if (head->request_id == NULL ||
        strcmp(head->request_id, request->forward->call->request_id) != 0) {
        return "answer without the request's id";
    }
    if (!head->sealed) {
        return "answer without signature";
    }
    return head->encoded ? "answer with a content coding" : NULL;
}

static void
observe_answer_time(const EbAttempt *attempt, int64_t now_us)
{
    const EbRequest *request = attempt->request;
    double duration_us = (double)(now_us - attempt->started_us);
    EbAnswerTime *time = g_hash_table_lookup(attempt->pool->answer_times,
                                             request->pipeline->name);
    if (time == NULL) {
        time = g_new0(EbAnswerTime, 1);
        *time = (EbAnswerTime){.mean_us = duration_us,
                               .deviation_us = duration_us / 4};
        g_hash_table_insert(attempt->pool->answer_times,
                            g_strdup(request->pipeline->name), time);
    }
    double error_us = duration_us - time->mean_us;
    time->mean_us += ANSWER_TIME_GAIN * error_us;
    time->deviation_us +=
        ANSWER_TIME_GAIN * (fabs(error_us) - time->deviation_us);
}

static void
complete(EbAttempt *attempt, EbHttpMessage *reply, int64_t now_us)
{
    EbRequest *request = attempt->request;
    EbMetrics_Observe(request->dispatcher->options.metrics,
                      EB_METRIC_STAGE_TIME_US, now_us - attempt->started_us,
                      request->pipeline->name, EbRequest_Stage(request)->name,
                      NULL);
    if (attempt->has_tokens) {
        EbDispatcherPool *pool = attempt->pool;
        pool->mean_stream_us +=
            (now_us - attempt->first_token_us - pool->mean_stream_us) / 8;
    }
    EbAttempt_End(attempt, EB_CALL_OK, now_us);
    while (request->attempt_count > 0) {
        EbAttempt_Cancel(request->attempts[0], now_us);
    }
    EbRequest_CompleteForward(request, reply, now_us);
}

/* Handles an answer that states that the server did not run the call. */
static void
handle_not_run(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    EbRequest *request = attempt->request;
    char cause[48];
    g_snprintf(cause, sizeof(cause), "not run, status %u", event->http_status);
    /* An input of the call no longer exists, so all are prepared again. */
    if (event->http_status == 409) {
        EbRequest_DropPreparations(request);
    }
    EbCallResult result = EB_CALL_OVERLOADED;
    if (event->http_status == EB_STATUS_MISDIRECTED) {
        result = EB_CALL_REFUSED;
    }
    else if (event->http_status == 400) {
        result = EB_CALL_REJECTED;
    }
    EbAttempt_FailNotRun(attempt, result, cause, now_us);
}

/* Returns whether a status tells the caller that its request has not run. */
static bool
promises_not_run(uint16_t status)
{
    return status == 408 || status == EB_STATUS_MISDIRECTED || status == 429 ||
           status == 503;
}

/* Returns whether an answer states that this call has not run. On a connection
 * that was used before, one without an id may be a copy of an earlier answer.
 */
static bool
states_not_run(const EbRequest *request, const EbAttemptEvent *event)
{
    const char *id = event->forward.request_id;
    bool own = id != NULL ? strcmp(id, request->forward->call->request_id) == 0
                          : !event->reused_connection;
    return own && (event->forward.not_run ||
                   event->http_status == EB_STATUS_MISDIRECTED);
}

static void
handle_answer(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    EbRequest *request = attempt->request;
    uint16_t status = event->http_status;
    if (states_not_run(request, event)) {
        handle_not_run(attempt, event, now_us);
        return;
    }
    const char *fault = check_head(request, event);
    if (fault != NULL) {
        EbAttempt_Fail(attempt, EB_CALL_ERROR, fault, now_us);
        return;
    }
    EbAttempt_RecordAnswered(attempt, now_us);
    /* What is no stream can't be the rest of one that has begun. */
    bool begun = request->forward->head != NULL;
    if (status < 500 && !promises_not_run(status) && !begun) {
        complete(attempt, event->reply, now_us);
        return;
    }
    /* Becomes the answer to the caller if no other server succeeds. */
    if (!promises_not_run(status) && !begun) {
        EbHttpMessage_Unref(request->forward->reply);
        request->forward->reply = EbHttpMessage_Ref(event->reply);
    }
    char cause[32];
    g_snprintf(cause, sizeof(cause), "status %u", status);
    EbAttempt_Fail(attempt, EB_CALL_ERROR, cause, now_us);
}

static void
push_relay(EbRequest *request, EbHttpMessage *head, const uint8_t *bytes,
           size_t byte_count)
{
    EbActionQueue_Push(
        request->dispatcher->options.actions,
        &(EbAction){
            .kind = EB_ACTION_RELAY,
            .as.relay = {
                .request = request->id,
                .head = head != NULL ? EbHttpMessage_Ref(head) : NULL,
                .bytes = byte_count > 0 ? g_memdup2(bytes, byte_count) : NULL,
                .byte_count = byte_count,
            }});
}

/* Relays the head of the stream, once. It is relayed with the first event,
 * because until then another server's answer can replace this one. */
static void
relay_head(EbRequest *request, EbHttpMessage *head)
{
    if (request->forward->head == NULL) {
        request->forward->head = EbHttpMessage_Ref(head);
        push_relay(request, head, NULL, 0);
    }
}

static void
handle_head(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    const char *fault = check_head(attempt->request, event);
    if (fault != NULL) {
        EbAttempt_RejectAnswer(attempt, fault, now_us);
        return;
    }
    EbAttempt_RecordHead(attempt, now_us);
}

static void
observe_first_event(const EbRequest *request, int64_t now_us)
{
    EbMetrics_Observe(request->dispatcher->options.metrics,
                      EB_METRIC_FIRST_TOKEN_US,
                      now_us - request->summary->received_us,
                      request->customer->id, NULL, NULL);
}

static void
handle_event(EbAttempt *attempt, const EbAttemptEvent *event, int64_t now_us)
{
    EbRequest *request = attempt->request;
    EbForwardState *state = request->forward;
    if (!attempt->has_tokens) {
        observe_answer_time(attempt, now_us);
        EbAttempt_RecordAnswered(attempt, now_us);
        /* The server has fetched its inputs, so they can be freed. */
        EbRequest_EndPreparations(request);
        observe_first_event(request, now_us);
    }
    EbAttempt_RecordProgress(attempt, now_us);
    EbPieceIntervals_AddPiece(&attempt->piece_intervals, now_us);
    if (event->event_id >= 0 && event->event_id <= state->last_event_id) {
        return; /* relayed before the resume */
    }
    relay_head(request, event->reply);
    request->relayed_count++;
    if (event->event_id >= 0) {
        state->last_event_id = event->event_id;
    }
    push_relay(request, NULL, event->bytes, event->byte_count);
}

void
EbAttempt_HandleForwardEvent(EbAttempt *attempt, const EbAttemptEvent *event,
                             int64_t now_us)
{
    switch (event->kind) {
    case EB_ATTEMPT_REFUSED:
        EbAttempt_Fail(attempt, EB_CALL_REFUSED, "connect failed", now_us);
        break;
    case EB_ATTEMPT_ANSWERED:
        handle_answer(attempt, event, now_us);
        break;
    case EB_ATTEMPT_STREAMING:
        handle_head(attempt, event, now_us);
        break;
    case EB_ATTEMPT_EVENTS:
        handle_event(attempt, event, now_us);
        break;
    case EB_ATTEMPT_ENDED:
        relay_head(attempt->request, event->reply);
        complete(attempt, NULL, now_us);
        break;
    case EB_ATTEMPT_BROKEN:
        EbAttempt_Fail(attempt, EB_CALL_BROKEN, "connection broken", now_us);
        break;
    case EB_ATTEMPT_TOKENS:
    case EB_ATTEMPT_MALFORMED:
    case EB_ATTEMPT_EVENT_COUNT:
        EbAttempt_Fail(attempt, EB_CALL_ERROR, "malformed answer", now_us);
        break;
    }
}
