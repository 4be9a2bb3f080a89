/* Outcomes: answering requests, recording and looking up outcomes. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define MAX_LOOKUPS 3         /* of one request */
#define LOOKUP_RETRY_US 50000 /* delay when no server can take a look-up */
/* Lower bound for Retry-After and its default. The interface for callers
 * rounds it up to whole seconds. */
#define MIN_RETRY_AFTER_US 1000000
/* Bound on the claims of one request. A request that repeats a key claims it
 * again whenever the owner has forgotten or released the key; without a bound
 * that could go on for ever. */
#define MAX_CLAIMS 6
/* Base of the delay before a key is claimed again. The delay doubles with each
 * claim so far, at most four times. */
#define RECLAIM_BACKOFF_US 50000

const char *const EbRequestState_names[EB_REQUEST_STATE_COUNT] = {
    [EB_REQUEST_RECEIVED] = "received",
    [EB_REQUEST_CLAIMING] = "claiming",
    [EB_REQUEST_ASKING_OWNER] = "asking-owner",
    [EB_REQUEST_PREPARING] = "preparing",
    [EB_REQUEST_QUEUED] = "queued",
    [EB_REQUEST_RUNNING] = "running",
    [EB_REQUEST_CALLING] = "calling",
    [EB_REQUEST_DETACHED] = "detached",
    [EB_REQUEST_FINISHED] = "finished",
};

bool
EbRequest_HasCallInFlight(const EbRequest *request)
{
    return request->call_sent &&
           (request->attempt_count > 0 || request->retry_at_us > 0);
}

EbOutcome
EbRequest_CurrentOutcome(const EbRequest *request)
{
    if (request->call_sent || (request->keyed && !request->owned)) {
        return EB_OUTCOME_UNKNOWN;
    }
    /* If the key was released before, an earlier copy of the request may have
     * run some of its stages. */
    return request->sent_count > 0 || request->reopened ? EB_OUTCOME_FAILED
                                                        : EB_OUTCOME_NOT_RUN;
}

void
EbRequest_SetRetryAfter(EbRequest *request, int64_t delay_us)
{
    request->retry_after_us =
        delay_us < INT64_MAX ? MAX(delay_us, MIN_RETRY_AFTER_US) : 0;
}

static int64_t
retry_after(EbRequest *request, EbReason reason)
{
    if (EbReason_table[reason].retry_after == 0) {
        return 0;
    }
    /* Adds up to the same time again at random, so that refused callers do not
     * all return at once. */
    int64_t base_us = MAX(request->retry_after_us, MIN_RETRY_AFTER_US);
    return base_us +
           (int64_t)EbRandom_Below(request->dispatcher->options.random,
                                   (uint64_t)base_us);
}

static void
count_answer(const EbRequest *request, EbOutcome outcome, EbReason reason,
             int64_t now_us)
{
    EbMetrics *metrics = request->dispatcher->options.metrics;
    const char *customer = request->summary->customer;
    /* An unknown pipeline's name comes from the caller and must not become a
     * label value. */
    const char *pipeline =
        request->pipeline != NULL ? request->pipeline->name : "";
    EbMetrics_Add(metrics, EB_METRIC_REQUESTS, 1, customer, pipeline,
                  EbOutcome_names[outcome]);
    EbMetrics_Observe(metrics, EB_METRIC_TOTAL_TIME_US,
                      now_us - request->summary->received_us, customer, NULL,
                      NULL);
    if (outcome != EB_OUTCOME_DONE) {
        EbMetrics_Add(metrics, EB_METRIC_REFUSALS, 1,
                      EbReason_table[reason].name, NULL, NULL);
    }
    else if (now_us <= request->deadline_us) {
        EbMetrics_Add(metrics, EB_METRIC_IN_TIME, 1, customer, pipeline, NULL);
    }
}

static const char *
last_server(const EbRequest *request)
{
    for (guint i = request->summary->trace->len; i > 0; i--) {
        const EbTraceEntry *entry =
            &g_array_index(request->summary->trace, EbTraceEntry, i - 1);
        if (strcmp(entry->event, "attempt") == 0) {
            return entry->detail;
        }
    }
    return "";
}

static void
report_answer(const EbRequest *request, EbOutcome outcome, EbReason reason,
              int64_t now_us)
{
    const EbEventSink *events = request->dispatcher->options.events;
    const EbRequestSummary *summary = request->summary;
    EB_EMIT(events, EB_EVENT_REQUEST_FINISHED,
            EB_STRING_FIELD("request_id", summary->request_id),
            EB_STRING_FIELD("customer", summary->customer),
            EB_STRING_FIELD("pipeline", summary->pipeline),
            EB_STRING_FIELD("outcome", EbOutcome_names[outcome]),
            EB_STRING_FIELD("reason", EbReason_table[reason].name),
            EB_INTEGER_FIELD("generation", request->config != NULL
                                               ? request->config->generation
                                               : 0),
            EB_INTEGER_FIELD("sent", request->sent_count),
            EB_INTEGER_FIELD("total_us", now_us - summary->received_us));
    if (outcome == EB_OUTCOME_UNKNOWN && request->call_sent) {
        EB_EMIT(events, EB_EVENT_OUTCOME_UNKNOWN,
                EB_STRING_FIELD("request_id", summary->request_id),
                EB_STRING_FIELD("customer", summary->customer),
                EB_STRING_FIELD("pipeline", summary->pipeline),
                EB_STRING_FIELD("backend_server", last_server(request)));
    }
}

static EbHttpMessage *
forward_reply(const EbRequest *request)
{
    return request->forward != NULL && request->forward->reply != NULL
               ? EbHttpMessage_Ref(request->forward->reply)
               : NULL;
}

/* Answers a request, once. If the caller has gone, the outcome is only counted
 * and logged. */
static void
answer(EbRequest *request, EbOutcome outcome, EbReason reason,
       const char *detail, json_t *body, int64_t now_us)
{
    EbRequestSummary *summary = request->summary;
    if (summary->outcome != EB_OUTCOME_COUNT) {
        return;
    }
    summary->outcome = outcome;
    summary->reason = reason;
    count_answer(request, outcome, reason, now_us);
    report_answer(request, outcome, reason, now_us);
    EbRequest_Trace(request, EbOutcome_names[outcome],
                    EbReason_table[reason].name, 0, now_us);
    if (request->answered) {
        return;
    }
    request->answered = true;
    EbActionQueue_Push(
        request->dispatcher->options.actions,
        &(EbAction){.kind = EB_ACTION_ANSWER,
                    .as.answer = {
                        .request = request->id,
                        .outcome = outcome,
                        .reason = reason,
                        .detail = g_strdup(detail),
                        .body = json_incref(body),
                        .reply = outcome != EB_OUTCOME_NOT_RUN
                                     ? forward_reply(request)
                                     : NULL,
                        .retry_after_us = retry_after(request, reason),
                        .replayed = request->replayed,
                    }});
}

/* Finishes an owned claim with the outcome to record, or abandons a claim that
 * is not confirmed yet. */
static void
end_claim(EbRequest *request, EbOutcome outcome, EbReason reason, json_t *body,
          int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (request->claim == 0) {
        return;
    }
    if (!request->owned) {
        g_hash_table_remove(dispatcher->claims, &request->claim);
        EbLedger_Abandon(dispatcher->options.ledger, request->claim, now_us);
        request->claim = 0;
        return;
    }
    EbLedger_Finish(dispatcher->options.ledger, request->claim, outcome,
                    reason, body, now_us);
    request->claim = 0;
}

static void
remove_holder(EbRequest *request)
{
    GHashTable *holders = request->dispatcher->holders;
    if (!request->keyed || request->customer == NULL) {
        return;
    }
    char *name =
        EbDispatcher_HolderName(request->customer->id, request->key_digest);
    if (g_hash_table_lookup(holders, name) == request) {
        g_hash_table_remove(holders, name);
    }
    g_free(name);
}

static void
stop_work(EbRequest *request, EbOutcome outcome, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    while (request->attempt_count > 0) {
        EbAttempt *attempt = request->attempts[0];
        const EbConfigStage *stage =
            &request->pipeline->stages[attempt->stage];
        bool stream =
            request->forward != NULL && stage->kind == EB_STAGE_GENERATE;
        if (!stage->idempotent && !attempt->lookup && !stream &&
            outcome == EB_OUTCOME_UNKNOWN) {
            /* A non-idempotent call may be running: its connection stays
             * open. */
            EbAttempt_End(attempt, EB_CALL_CANCELLED, now_us);
        }
        else {
            EbAttempt_Cancel(attempt, now_us);
        }
    }
    if (request->waiting) {
        EbQueue_Remove(request->pools[request->stage]->queue, request->id);
        request->waiting = false;
    }
    if (request->forward != NULL) {
        EbRequest_EndPreparations(request);
    }
    if (request->owner_query != 0) {
        g_hash_table_remove(dispatcher->queries, &request->owner_query);
        request->owner_query = 0;
    }
    if (request->admitted) {
        EbLimiter_EndRequest(dispatcher->options.limiter,
                             request->customer->id, now_us);
        request->admitted = false;
    }
}

/* Passes the outcome to requests that repeat the key, here and, by way of the
 * answerable queries, at other daemons. */
static void
notify_waiters(EbRequest *request, EbOutcome outcome, EbReason reason,
               json_t *body, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    for (guint i = 0; i < request->waiters->len; i++) {
        uint64_t id = g_array_index(request->waiters, uint64_t, i);
        EbRequest *waiter = g_hash_table_lookup(dispatcher->requests, &id);
        if (waiter != NULL) {
            EbRequest_HolderFinished(waiter, outcome, reason, body, now_us);
        }
    }
    EbOutcomeQuery *pending = NULL;
    while ((pending = g_queue_pop_head(&request->outcome_queries)) != NULL) {
        g_queue_push_tail(&dispatcher->answerable_queries, pending);
    }
}

void
EbRequest_Finish(EbRequest *request, EbOutcome outcome, EbReason reason,
                 const char *detail, json_t *body, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    assert(!EbRequest_IsFinished(request));
    /* `not-run` would make the key void. When the caller has gone or has been
     * answered, nobody learns of `not-run`, so the key is released for a
     * repeat instead. */
    EbOutcome recorded = outcome == EB_OUTCOME_NOT_RUN && request->answered
                             ? EB_OUTCOME_FAILED
                             : outcome;
    /* The functions below may release the last reference to `body`. */
    json_incref(body);
    end_claim(request, recorded, reason, body, now_us);
    remove_holder(request);
    answer(request, outcome, reason, detail, body, now_us);
    stop_work(request, outcome, now_us);
    request->summary->state = EB_REQUEST_FINISHED;
    request->summary->finished_us = now_us;
    request->retry_at_us = 0;
    EbRequest_MarkTimerStale(request);
    g_hash_table_steal(dispatcher->requests, &request->id);
    g_ptr_array_add(dispatcher->finished, request);
    notify_waiters(request, recorded, reason, body, now_us);
    json_decref(body);
}

void
EbRequest_Fail(EbRequest *request, EbReason reason, const char *detail,
               int64_t now_us)
{
    EbRequest_Finish(request, EbRequest_CurrentOutcome(request), reason,
                     detail, NULL, now_us);
}

void
EbRequest_CompleteForward(EbRequest *request, EbHttpMessage *reply,
                          int64_t now_us)
{
    /* `reply` may hold the failure of an earlier attempt. */
    EbHttpMessage_Unref(request->forward->reply);
    request->forward->reply = reply != NULL ? EbHttpMessage_Ref(reply) : NULL;
    EbRequest_Finish(request, EB_OUTCOME_DONE, EB_REASON_NONE, NULL, NULL,
                     now_us);
}

/* Answer and usage */

static json_t *
collect_answer(const EbRequest *request)
{
    static const char *const parts[] = {"text", "documents", "result"};
    json_t *collected = json_object();
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        for (size_t k = 0; k < G_N_ELEMENTS(parts); k++) {
            json_t *part = json_object_get(request->results[i], parts[k]);
            if (part != NULL) {
                json_object_set(collected, parts[k], part);
            }
        }
    }
    return collected;
}

static json_t *
collect_usage(const EbRequest *request, int64_t now_us)
{
    json_t *stages = json_array();
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        const EbStageRun *run = &request->runs[i];
        json_array_append_new(
            stages, json_pack("{s:s, s:i, s:I, s:I}", "name",
                              request->pipeline->stages[i].name, "attempts",
                              (int)run->attempts, "queue_ms",
                              (json_int_t)(run->queue_us / 1000), "server_ms",
                              (json_int_t)(run->server_us / 1000)));
    }
    int64_t total_us = now_us - request->summary->received_us;
    return json_pack("{s:I, s:I, s:o}", "tokens",
                     (json_int_t)request->total_tokens, "total_ms",
                     (json_int_t)(total_us / 1000), "stages", stages);
}

void
EbRequest_Complete(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    json_t *body = json_pack("{s:o, s:o}", "answer", collect_answer(request),
                             "usage", collect_usage(request, now_us));
    if (!EbDispatcher_IsPlain(dispatcher)) {
        EbQuarantine_RecordSuccess(dispatcher->options.quarantine,
                                   request->fingerprint, now_us);
    }
    EbRequest_Finish(request, EB_OUTCOME_DONE, EB_REASON_NONE, NULL, body,
                     now_us);
    json_decref(body);
}

/* Calls without a usable answer */

void
EbRequest_Detach(EbRequest *request, EbReason reason, int64_t now_us)
{
    request->summary->state = EB_REQUEST_DETACHED;
    EbRequest_MarkTimerStale(request);
    answer(request, EB_OUTCOME_UNKNOWN, reason, NULL, NULL, now_us);
}

/* Stops looking up an outcome that the service can't tell. */
static void
give_up_lookup(EbRequest *request, int64_t now_us)
{
    EbReason reason = request->unknown_reason != EB_REASON_NONE
                          ? request->unknown_reason
                          : EB_REASON_BACKEND_FAILED;
    request->lookup_ended = true;
    request->retry_at_us = 0;
    if (request->attempt_count > 0) {
        EbRequest_Detach(request, reason, now_us);
    }
    else {
        EbRequest_Finish(request, EB_OUTCOME_UNKNOWN, reason, NULL, NULL,
                         now_us);
    }
}

void
EbRequest_CallLost(EbRequest *request, int64_t now_us)
{
    bool lookup_pending = request->retry_at_us > 0;
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        lookup_pending = lookup_pending || request->attempts[i]->lookup;
    }
    if (!lookup_pending) {
        EbRequest_LookUpOutcome(request, now_us);
    }
}

void
EbRequest_LookUpOutcome(EbRequest *request, int64_t now_us)
{
    request->stage = request->pipeline->stage_count - 1;
    const EbConfigStage *stage = EbRequest_Stage(request);
    const char *path =
        request->forward == NULL
            ? request->config->pools[stage->pool_index].outcome_path
            : NULL;
    if (path == NULL || request->lookup_ended ||
        request->lookup_count >= MAX_LOOKUPS) {
        give_up_lookup(request, now_us);
        return;
    }
    request->lookup_count++;
    EbDispatcherPool *pool = request->pools[request->stage];
    EbPoolCriteria criteria = {0};
    const EbConfigBackendServer *server =
        EbPool_BeginCall(pool->pool, &criteria, now_us);
    if (server == NULL) {
        request->retry_at_us = now_us + LOOKUP_RETRY_US;
        EbRequest_MarkTimerStale(request);
        return;
    }
    EbAttempt_Start(request, server,
                    &(EbAttemptStart){.path = path, .lookup = true}, now_us);
}

void
EbRequest_HandleLookup(EbRequest *request, json_t *body, int64_t now_us)
{
    json_t *ran = json_object_get(body, "ran");
    if (body == NULL || !json_is_boolean(ran)) {
        request->retry_at_us =
            now_us +
            EbRetryBudget_BackoffDelay(request->dispatcher->options.random,
                                       request->lookup_count);
        EbRequest_MarkTimerStale(request);
        return;
    }
    json_t *found = json_object_get(body, "result");
    json_t *result = NULL;
    if (json_is_true(ran) && found != NULL) {
        EbStageInput input = {.pipeline = request->pipeline,
                              .stage = request->stage,
                              .request = request->body,
                              .results = request->results};
        result = EbStage_protocols[EB_STAGE_CALL].read(&input, found, NULL);
    }
    if (result == NULL) {
        give_up_lookup(request, now_us);
        return;
    }
    request->results[request->stage] = result;
    request->replayed = !request->owned;
    EbRequest_Complete(request, now_us);
}

/* Repeats of a key */

void
EbRequest_HolderLost(EbRequest *request, int64_t now_us)
{
    EbRequest_Trace(request, "holder-lost", "", 0, now_us);
    request->summary->state = EB_REQUEST_ASKING_OWNER;
    request->unknown_reason = EB_REASON_OWNER_UNREACHABLE;
    EbRequest_LookUpOutcome(request, now_us);
}

void
EbRequest_RetryClaimLater(EbRequest *request, int64_t now_us)
{
    if (request->claim_count >= MAX_CLAIMS) {
        EbRequest_HolderLost(request, now_us);
        return;
    }
    request->summary->state = EB_REQUEST_CLAIMING;
    request->retry_at_us =
        now_us + ((int64_t)RECLAIM_BACKOFF_US << MIN(request->claim_count, 4));
    EbRequest_MarkTimerStale(request);
}

void
EbRequest_HolderFinished(EbRequest *request, EbOutcome outcome,
                         EbReason reason, json_t *body, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    /* After `failed` the key is released, and another copy may claim it and
     * run the call before a repeated `failed` reaches the caller, so the key
     * is claimed again. The key is also claimed again after `done` without a
     * body, because the result of the claim contains the stored answer. */
    if (outcome == EB_OUTCOME_FAILED ||
        (outcome == EB_OUTCOME_DONE && body == NULL)) {
        EbRequest_RetryClaimLater(request, now_us);
        return;
    }
    request->replayed = true;
    EbRequest_Finish(request, outcome, reason, NULL, body, now_us);
}
