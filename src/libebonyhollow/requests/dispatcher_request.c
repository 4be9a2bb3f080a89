/* Submission and admission of requests. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define MAX_KEY_BYTES 255

static EbRequest *
create_request(EbDispatcher *dispatcher, const EbSubmission *submission,
               int64_t now_us)
{
    EbRequest *request = g_new0(EbRequest, 1);
    request->id = ++dispatcher->last_request_id;
    request->dispatcher = dispatcher;
    request->summary = EbRequestSummary_New(submission, now_us);
    request->key = g_strdup(submission->idempotency_key);
    request->traceparent = g_strdup(submission->traceparent);
    request->stream = submission->stream;
    request->timer_us = INT64_MAX;
    request->deadline_us = INT64_MAX;
    request->begin_deadline_us = INT64_MAX;
    request->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_queue_init(&request->outcome_queries);
    request->text = g_string_new(NULL);
    if (submission->forward != NULL) {
        request->forward = EbForwardState_New(submission->forward);
        request->stream = true;
    }
    if (dispatcher->config != NULL) {
        request->config = EbConfig_Ref(dispatcher->config);
        request->pipeline =
            submission->forward != NULL
                ? EbConfig_FindForwardPipeline(request->config,
                                               submission->forward->host,
                                               submission->forward->path)
                : EbConfig_FindPipeline(request->config, submission->pipeline);
    }
    /* If the pipeline is not known, the key may have been claimed before, so
     * the request is treated as one that needs a claim. */
    request->keyed = request->key != NULL && (request->pipeline == NULL ||
                                              request->pipeline->needs_key);
    g_hash_table_insert(dispatcher->requests, &request->id, request);
    return request;
}

EbReason
EbRequest_CheckCaller(const EbRequest *request)
{
    if (request->forward != NULL) {
        return EbRequest_CheckForward(request);
    }
    if (request->customer == NULL) {
        return EB_REASON_UNAUTHENTICATED;
    }
    if (request->pipeline == NULL) {
        return EB_REASON_UNKNOWN_PIPELINE;
    }
    if (!EbConfig_Allows(request->config, request->customer,
                         request->pipeline)) {
        return EB_REASON_FORBIDDEN;
    }
    return request->pipeline->needs_key && request->key == NULL
               ? EB_REASON_KEY_REQUIRED
               : EB_REASON_NONE;
}

/* Checks the customer, the pipeline and whether the one may use the other. */
static EbReason
authorize(EbRequest *request, const EbSubmission *submission)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (dispatcher->draining) {
        return EB_REASON_DRAINING;
    }
    if (request->config == NULL) {
        return EB_REASON_NO_CONFIGURATION;
    }
    if (request->forward != NULL) {
        return EbRequest_AuthorizeForward(request);
    }
    if (submission->token != NULL) {
        request->customer =
            EbConfig_FindCustomerByToken(request->config, submission->token);
    }
    if (request->customer != NULL) {
        g_free(request->summary->customer);
        request->summary->customer = g_strdup(request->customer->id);
    }
    return EbRequest_CheckCaller(request);
}

static EbReason
read_body(EbRequest *request, const EbSubmission *submission, EbError *error)
{
    json_error_t syntax;
    request->body = json_loadb(submission->body, submission->body_bytes,
                               JSON_REJECT_DUPLICATES, &syntax);
    if (request->body == NULL) {
        EbError_Set(error, EB_ERROR_SYNTAX, "%s", syntax.text);
        EbError_SetLocation(error, NULL, syntax.line, syntax.column);
        return EB_REASON_BAD_REQUEST;
    }
    if (!EbStage_CheckRequest(request->pipeline, request->body, error)) {
        return EB_REASON_BAD_REQUEST;
    }
    if (request->key != NULL &&
        (request->key[0] == '\0' || strlen(request->key) > MAX_KEY_BYTES)) {
        EbError_Set(error, EB_ERROR_RANGE, "the key must have 1 to %d bytes",
                    MAX_KEY_BYTES);
        return EB_REASON_BAD_REQUEST;
    }
    return EB_REASON_NONE;
}

uint32_t
EbRequest_ChoosePool(const EbRequest *request, uint32_t stage)
{
    return request->forward != NULL
               ? EbRequest_ChooseForwardPool(request)
               : request->pipeline->stages[stage].pool_index;
}

static void
bind_pools(EbRequest *request)
{
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        uint32_t index = EbRequest_ChoosePool(request, i);
        request->pools[i] = EbDispatcher_FindPool(
            request->dispatcher, &request->config->pools[index]);
        assert(request->pools[i] != NULL);
        request->pools[i]->live_stages++;
    }
}

EbReason
EbRequest_CheckFeasibility(EbRequest *request, int64_t now_us)
{
    int64_t deadline_us = EbRequest_BeginDeadline(request);
    int64_t total_us = 0;
    int64_t limit_delay_us = 0;
    if (EbRequest_IsEvacuated(request)) {
        return EB_REASON_EVACUATED;
    }
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        EbDispatcherPool *pool = request->pools[i];
        size_t waiting = EbQueue_Count(pool->queue);
        if (EbPool_IsEvacuated(pool->pool)) {
            return EB_REASON_EVACUATED;
        }
        if (!EbPool_HasUsableServer(pool->pool)) {
            return EB_REASON_NO_BACKEND_SERVER;
        }
        if (i == 0 && waiting >= pool->queue_max) {
            return EB_REASON_OVERLOADED;
        }
        int64_t delay_us = EbPool_LimitDelay(pool->pool, waiting, now_us);
        if (delay_us >= deadline_us - now_us) {
            EbRequest_SetRetryAfter(request, delay_us);
            return EB_REASON_OVERLOADED;
        }
        limit_delay_us += delay_us;
        total_us += EbPool_PredictLatency(pool->pool, waiting, now_us);
        total_us += pool->mean_stream_us;
    }
    if (request->forward != NULL) {
        /* The pool's latency is not used: calls of its other pipelines may
         * take far longer or shorter. */
        total_us = EbRequest_PredictPreparationTime(request) +
                   EbRequest_PredictAnswerTime(request);
    }
    total_us += limit_delay_us;
    if (now_us + total_us <= deadline_us) {
        return EB_REASON_NONE;
    }
    EbRequest_SetRetryAfter(request, now_us + total_us - deadline_us);
    return EB_REASON_DEADLINE_INFEASIBLE;
}

static EbReason
admit(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    /* A request with a key is checked after its claim, so that a repeat still
     * gets the recorded answer. */
    EbReason reason = request->keyed
                          ? EB_REASON_NONE
                          : EbRequest_CheckQuarantine(request, now_us);
    if (reason != EB_REASON_NONE) {
        return reason;
    }
    reason =
        EbLimiter_Admit(dispatcher->options.limiter, request->customer->id,
                        now_us, &request->retry_after_us);
    if (reason != EB_REASON_NONE) {
        return reason;
    }
    request->admitted = true;
    return EbDispatcher_IsPlain(dispatcher)
               ? EB_REASON_NONE
               : EbRequest_CheckFeasibility(request, now_us);
}

/* Sets the fingerprint and, for a request with a key, the text and digest of
 * its claim. The text contains the pipeline's name, because the same key and
 * body on another pipeline are another request. */
static void
set_identity(EbRequest *request, const EbSubmission *submission)
{
    const char *pipeline = request->pipeline->name;
    if (request->forward != NULL) {
        const EbHttpMessage *message = request->forward->call->message;
        request->fingerprint = EbQuarantine_Fingerprint(
            request->customer->id, message->target,
            (const char *)message->body, message->body_bytes);
        EbRequest_SetSuspects(request);
        return;
    }
    request->fingerprint =
        EbQuarantine_Fingerprint(request->customer->id, pipeline,
                                 submission->body, submission->body_bytes);
    if (!request->keyed) {
        return;
    }
    GString *text = g_string_new(pipeline);
    g_string_append_c(text, '\n');
    g_string_append_len(text, submission->body,
                        (gssize)submission->body_bytes);
    request->claim_text_bytes = text->len;
    request->claim_text = g_string_free(text, FALSE);
    EbLedger_KeyDigest(request->key, request->key_digest);
}

static EbReason
check_submission(EbRequest *request, const EbSubmission *submission,
                 EbError *error, int64_t now_us)
{
    EbReason reason = authorize(request, submission);
    if (reason == EB_REASON_NONE &&
        g_hash_table_size(request->dispatcher->requests) >
            request->dispatcher->options.max_requests) {
        reason = EB_REASON_OVERLOADED;
    }
    if (reason == EB_REASON_NONE && request->forward == NULL) {
        reason = read_body(request, submission, error);
    }
    if (reason != EB_REASON_NONE) {
        return reason;
    }
    EbRequest_SetDeadline(request,
                          request->forward != NULL
                              ? request->forward->call->timeout_us
                              : submission->timeout_us,
                          now_us);
    set_identity(request, submission);
    bind_pools(request);
    if (request->forward != NULL) {
        EbRequest_PlanPreparations(request);
        EbRequest_RecordCallerTime(request);
    }
    return admit(request, now_us);
}

uint64_t
EbRequest_Submit(EbDispatcher *dispatcher, const EbSubmission *submission,
                 int64_t now_us)
{
    assert(submission->forward != NULL ||
           (submission->request_id != NULL && submission->pipeline != NULL));
    EbRequest *request = create_request(dispatcher, submission, now_us);
    uint64_t id = request->id;
    EbError error;
    EbError_Clear(&error);
    EbReason reason = check_submission(request, submission, &error, now_us);
    EbRequest_MarkTimerStale(request);
    if (reason == EB_REASON_EVACUATED) {
        EbRequest_FailEvacuated(request, now_us);
    }
    else if (reason != EB_REASON_NONE) {
        char detail[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
        EbError_Format(&error, detail, sizeof(detail));
        EbRequest_Fail(request, reason,
                       error.code != EB_ERROR_NONE ? detail : NULL, now_us);
    }
    else if (request->keyed) {
        EbRequest_Claim(request, now_us);
    }
    else if (request->forward != NULL) {
        EbRequest_Prepare(request, now_us);
    }
    else {
        EbRequest_StartStage(request, now_us);
    }
    return id;
}

void
EbRequest_CallerGone(EbRequest *request, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    request->answered = true;
    request->summary->reason = EB_REASON_CALLER_GONE;
    EbRequest_Trace(request, "caller-gone", "", 0, now_us);
    /* A stream is useless without its caller. Any other non-idempotent call
     * continues, and its outcome is recorded. */
    bool stream = request->forward != NULL &&
                  EbRequest_Stage(request)->kind == EB_STAGE_GENERATE;
    if (EbRequest_HasCallInFlight(request) && !stream) {
        request->summary->state = EB_REQUEST_DETACHED;
    }
    else {
        EbRequest_Fail(request, EB_REASON_CALLER_GONE, NULL, now_us);
    }
}
