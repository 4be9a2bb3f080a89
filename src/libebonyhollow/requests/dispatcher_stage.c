/* Queueing of stages and sending of attempts and hedges. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* Delay before a deferred request tries again to get a server. */
#define DEFERRAL_US 20000
/* Deferrals after which servers that failed the stage may be chosen again. */
#define DEFERRALS_WITH_EXCLUSIONS 3
#define TOKENS_GAIN 0.05 /* averages over about 20 answers */

static void
reset_stage(EbRequest *request)
{
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        g_free(request->excluded[i]);
    }
    request->excluded_count = 0;
    request->failures = 0;
    request->call_broken = false;
    request->deferrals = 0;
    request->hedged = false;
    request->retry_at_us = 0;
    request->hedge_at_us = 0;
    g_string_truncate(request->text, 0);
    request->token_count = 0;
    request->relayed_count = 0;
    request->last_token_us = 0;
}

void
EbRequest_StartStage(EbRequest *request, int64_t now_us)
{
    reset_stage(request);
    request->summary->stage = request->stage;
    EbRetryBudget_RecordFirstCall(
        &request->pools[request->stage]->retry_budget);
    EbRequest_Enqueue(request, now_us);
}

/* Predicts the time from the start of the current stage to the end of the
 * request, or of a forwarded one to its first event: the calls of the other
 * pipelines of its pool may take far longer or shorter. For a retry the
 * current stage is not counted, because the time that it still needs is not
 * known. */
static int64_t
predict_remaining(const EbRequest *request, int64_t now_us)
{
    int64_t total_us = 0;
    if (request->forward != NULL) {
        return request->failures > 0 ? 0
                                     : EbRequest_PredictAnswerTime(request);
    }
    uint32_t first = request->stage + (request->failures > 0 ? 1 : 0);
    for (uint32_t i = first; i < request->pipeline->stage_count; i++) {
        total_us += EbPool_PredictLatency(request->pools[i]->pool, 0, now_us);
        total_us += request->pools[i]->mean_stream_us;
    }
    return total_us;
}

void
EbRequest_ObserveTokens(const EbRequest *request, uint64_t tokens)
{
    GHashTable *means = request->pools[request->stage]->mean_tokens;
    double *mean = g_hash_table_lookup(means, request->pipeline->name);
    if (mean == NULL) {
        mean = g_new(double, 1);
        *mean = (double)tokens;
        g_hash_table_insert(means, g_strdup(request->pipeline->name), mean);
    }
    *mean += TOKENS_GAIN * ((double)tokens - *mean);
}

/* Returns the expected work for the fair queue: the mean number of tokens that
 * the pipeline has generated. max_tokens is far above what most answers need,
 * so with it a customer whose pipelines have high bounds would get less than
 * its share. */
static uint32_t
stage_cost(const EbRequest *request)
{
    const EbConfigStage *stage = EbRequest_Stage(request);
    if (stage->kind != EB_STAGE_GENERATE) {
        return 1;
    }
    const double *mean = g_hash_table_lookup(
        request->pools[request->stage]->mean_tokens, request->pipeline->name);
    return mean != NULL ? MAX((uint32_t)(*mean + 0.5), 1)
                        : MAX(stage->max_tokens, 1);
}

/* Sets the time after which a refused request can return: when the pool has
 * room behind the requests that wait now. */
static void
set_backlog_delay(EbRequest *request, const EbDispatcherPool *pool,
                  int64_t now_us)
{
    EbRequest_SetRetryAfter(
        request,
        EbPool_PredictLatency(pool->pool, EbQueue_Count(pool->queue), now_us));
}

EbReason
EbRequest_CheckQueue(EbRequest *request, int64_t now_us)
{
    const EbDispatcherPool *pool = request->pools[request->stage];
    if (EbRequest_IsEvacuated(request)) {
        return EB_REASON_EVACUATED;
    }
    if (EbQueue_Count(pool->queue) >= pool->queue_max) {
        set_backlog_delay(request, pool, now_us);
        return EB_REASON_OVERLOADED;
    }
    int64_t delay_us =
        EbPool_LimitDelay(pool->pool, EbQueue_Count(pool->queue), now_us);
    if (delay_us >= EbRequest_BeginDeadline(request) - now_us) {
        EbRequest_SetRetryAfter(request, delay_us);
        return EB_REASON_OVERLOADED;
    }
    return EB_REASON_NONE;
}

void
EbRequest_Enqueue(EbRequest *request, int64_t now_us)
{
    EbDispatcherPool *pool = request->pools[request->stage];
    EbRequest_MarkTimerStale(request);
    request->summary->state = EB_REQUEST_QUEUED;
    EbReason reason = EbRequest_CheckQueue(request, now_us);
    if (reason == EB_REASON_EVACUATED) {
        EbRequest_FailEvacuated(request, now_us);
        return;
    }
    if (reason != EB_REASON_NONE) {
        EbRequest_Fail(request, reason, NULL, now_us);
        return;
    }
    bool plain = EbDispatcher_IsPlain(request->dispatcher);
    EbQueueEntry entry = {
        .id = request->id,
        .customer = request->customer->id,
        .weight = MAX(request->customer->contract.weight, 1),
        .cost = stage_cost(request),
        .deadline_us = MIN(EbRequest_BeginDeadline(request),
                           request->dispatcher->drain_end_us),
        .needed_us = plain ? 0 : predict_remaining(request, now_us),
        .urgency = request->forward != NULL ? EbRequest_Priority(request) : 0,
    };
    if (!EbQueue_Push(pool->queue, &entry, now_us)) {
        EbRequest_Fail(request, EB_REASON_OVERLOADED, NULL, now_us);
        return;
    }
    request->waiting = true;
    request->queued_us = now_us;
    pool->dirty = true;
}

static void
defer(EbRequest *request, int64_t now_us)
{
    request->deferrals++;
    request->retry_at_us = now_us + DEFERRAL_US;
    EbRequest_MarkTimerStale(request);
}

static json_t *
build_body(EbRequest *request, EbError *error)
{
    EbStageInput input = {
        .pipeline = request->pipeline,
        .stage = request->stage,
        .request = request->body,
        .results = request->results,
        .resume_token_index = request->token_count,
        .resume_text = request->text->str,
    };
    return EbStage_protocols[EbRequest_Stage(request)->kind].build(&input,
                                                                   error);
}

static void
add_exclusions(EbRequest *request, EbPoolCriteria *criteria)
{
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        criteria->excluded[criteria->excluded_count++] = request->excluded[i];
    }
}

static void
report_choice(const EbRequest *request, const EbConfigBackendServer *server,
              bool affine, int64_t now_us)
{
    EB_EMIT(
        request->dispatcher->options.events, EB_EVENT_ATTEMPT_STARTED,
        EB_STRING_FIELD("request_id", request->summary->request_id),
        EB_STRING_FIELD("customer", request->customer->id),
        EB_STRING_FIELD("pipeline", request->pipeline->name),
        EB_INTEGER_FIELD("attempt", request->last_attempt_number + 1),
        EB_STRING_FIELD("backend_server", server->id),
        EB_INTEGER_FIELD(
            "in_flight",
            EbPool_InFlight(request->pools[request->stage]->pool, server->id)),
        EB_INTEGER_FIELD("affine", affine),
        EB_INTEGER_FIELD("left_us", request->deadline_us - now_us));
}

const EbConfigBackendServer *
EbRequest_PreferAffine(const EbRequest *request, EbPoolCriteria *criteria,
                       int64_t now_us)
{
    const EbPool *pool = request->pools[request->stage]->pool;
    uint64_t key = EbForwardCall_PromptKey(request->forward->call);
    const EbConfigBackendServer *affine =
        key != 0 ? EbPool_ChooseAffine(pool, criteria, key, now_us) : NULL;
    if (affine != NULL) {
        criteria->preferred = affine->id;
    }
    return affine;
}

static const EbConfigBackendServer *
choose_for_forward(EbRequest *request, EbPoolCriteria *criteria,
                   int64_t now_us)
{
    const EbConfigBackendServer *affine =
        EbRequest_PreferAffine(request, criteria, now_us);
    const EbConfigBackendServer *server = EbPool_BeginCall(
        request->pools[request->stage]->pool, criteria, now_us);
    if (server != NULL) {
        report_choice(request, server, server == affine, now_us);
    }
    return server;
}

static const EbConfigBackendServer *
choose_server(EbRequest *request, json_t *body, int64_t now_us)
{
    EbDispatcherPool *pool = request->pools[request->stage];
    EbPoolCriteria criteria = {0};
    if (request->deferrals < DEFERRALS_WITH_EXCLUSIONS) {
        add_exclusions(request, &criteria);
    }
    if (EbRequest_IsSuspected(request, now_us)) {
        request->dispatcher->now_us = now_us;
        criteria.accept = EbRequest_AcceptsServer;
        criteria.context = request;
    }
    if (request->forward != NULL) {
        return choose_for_forward(request, &criteria, now_us);
    }
    const char *prompt = EbStage_Prompt(body);
    bool affinity = pool->prefixes != NULL && prompt != NULL &&
                    !EbDispatcher_IsPlain(request->dispatcher);
    if (affinity) {
        criteria.preferred = EbPrefixIndex_FindServer(
            pool->prefixes, prompt, strlen(prompt), now_us, NULL);
    }
    const EbConfigBackendServer *server =
        EbPool_BeginCall(pool->pool, &criteria, now_us);
    if (server != NULL && affinity) {
        EbPrefixIndex_RecordRouting(pool->prefixes, prompt, strlen(prompt),
                                    server->id, now_us);
    }
    return server;
}

static void
record_queue_time(EbRequest *request, int64_t now_us)
{
    int64_t queue_us = now_us - request->queued_us;
    request->runs[request->stage].queue_us += queue_us;
    EbMetrics_Observe(request->dispatcher->options.metrics,
                      EB_METRIC_QUEUE_TIME_US, queue_us,
                      request->pipeline->name, EbRequest_Stage(request)->name,
                      NULL);
}

/* Repeats the checks whose result may have changed while the request waited.
 * Returns false when it may not be sent now; it is then failed or deferred. */
static bool
may_dispatch(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (!EbRequest_MayStartAttempt(request)) {
        EbRequest_Fail(request, EB_REASON_CALLER_GONE, NULL, now_us);
        return false;
    }
    if (EbRequest_BeginDeadline(request) <= now_us) {
        EbRequest_Fail(request,
                       request->deadline_us <= now_us
                           ? EB_REASON_DEADLINE_EXCEEDED
                           : EB_REASON_DEADLINE_INFEASIBLE,
                       NULL, now_us);
        return false;
    }
    EbReason quarantine = EbRequest_CheckQuarantine(request, now_us);
    if (quarantine != EB_REASON_NONE) {
        EbRequest_Fail(request, quarantine, NULL, now_us);
        return false;
    }
    if (!EbRequest_Stage(request)->idempotent && request->forward == NULL &&
        !EbLedger_MaySend(dispatcher->options.ledger, request->claim,
                          now_us)) {
        EB_EMIT(dispatcher->options.events, EB_EVENT_HOLD_EXPIRED,
                EB_STRING_FIELD("request_id", request->summary->request_id),
                EB_STRING_FIELD("customer", request->customer->id),
                EB_INTEGER_FIELD("overdue_us", now_us - request->claimed_us -
                                                   EB_LEDGER_HOLD_US));
        EbRequest_Fail(request, EB_REASON_HOLD_EXPIRED, NULL, now_us);
        return false;
    }
    if (EbRequest_HasRunningCopy(request, now_us)) {
        defer(request, now_us);
        return false;
    }
    return true;
}

static void
dispatch(EbRequest *request, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    request->waiting = false;
    record_queue_time(request, now_us);
    if (!may_dispatch(request, now_us)) {
        return;
    }
    EbError error;
    EbError_Clear(&error);
    json_t *body =
        request->forward == NULL ? build_body(request, &error) : NULL;
    if (body == NULL && request->forward == NULL) {
        EbRequest_Fail(request, EB_REASON_BAD_REQUEST, error.message, now_us);
        return;
    }
    const EbConfigBackendServer *server = choose_server(request, body, now_us);
    if (server == NULL) {
        json_decref(body);
        defer(request, now_us);
        return;
    }
    EbAttempt_Start(request, server, &(EbAttemptStart){.body = body}, now_us);
    int64_t slow_us = EbPool_LatencyP95(request->pools[request->stage]->pool);
    const EbConfigStage *stage = EbRequest_Stage(request);
    if (slow_us > 0 && stage->idempotent && !request->hedged &&
        EbStage_protocols[stage->kind].may_hedge &&
        !EbDispatcher_IsPlain(request->dispatcher)) {
        request->hedge_at_us = now_us + slow_us;
    }
}

void
EbRequest_Hedge(EbRequest *request, int64_t now_us)
{
    EbDispatcherPool *pool = request->pools[request->stage];
    request->hedge_at_us = 0;
    if (request->attempt_count != 1 || request->hedged ||
        EbRequest_AttemptsExhausted(request) ||
        EbRequest_IsSuspected(request, now_us) ||
        !EbRequest_MayStartAttempt(request) ||
        !EbRetryBudget_Take(&pool->retry_budget)) {
        return;
    }
    EbPoolCriteria criteria = {0};
    add_exclusions(request, &criteria);
    if (criteria.excluded_count < EB_POOL_MAX_EXCLUDED) {
        criteria.excluded[criteria.excluded_count++] =
            request->attempts[0]->server_id;
    }
    const EbConfigBackendServer *server =
        EbPool_BeginCall(pool->pool, &criteria, now_us);
    if (server == NULL) {
        EbRetryBudget_Refund(&pool->retry_budget);
        return;
    }
    request->hedged = true;
    json_t *body = NULL;
    if (request->forward == NULL) {
        body = build_body(request, NULL);
        assert(body != NULL); /* the first attempt built the same body */
    }
    EbMetrics_Add(request->dispatcher->options.metrics, EB_METRIC_HEDGES, 1,
                  request->pipeline->name, EbRequest_Stage(request)->name,
                  NULL);
    EbAttempt_Start(request, server,
                    &(EbAttemptStart){.body = body, .hedge = true}, now_us);
}

/* Returns the request of an entry that was removed from the queue. */
static EbRequest *
take_request(const EbDispatcher *dispatcher, const EbQueueEntry *entry)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->requests, &entry->id);
    assert(request != NULL && request->waiting);
    return request;
}

void
EbDispatcherPool_ServeQueue(EbDispatcher *dispatcher, EbDispatcherPool *pool,
                            int64_t now_us)
{
    EbQueueEntry entry;
    while (EbQueue_PopExpired(pool->queue, now_us, &entry)) {
        EbRequest *request = take_request(dispatcher, &entry);
        request->waiting = false;
        EbReason reason =
            EbRequest_BeginDeadline(request) > dispatcher->drain_end_us
                ? EB_REASON_SHUTDOWN
                : EB_REASON_DEADLINE_INFEASIBLE;
        if (reason == EB_REASON_DEADLINE_INFEASIBLE) {
            set_backlog_delay(request, pool, now_us);
        }
        EbRequest_Fail(request, reason, NULL, now_us);
    }
    while (EbPool_IsEvacuated(pool->pool) &&
           EbQueue_Pop(pool->queue, now_us, &entry)) {
        EbRequest *request = take_request(dispatcher, &entry);
        request->waiting = false;
        EbRequest_FailEvacuated(request, now_us);
    }
    while (EbPool_HasFreeSlot(pool->pool, now_us) &&
           EbQueue_Pop(pool->queue, now_us, &entry)) {
        dispatch(take_request(dispatcher, &entry), now_us);
    }
    pool->admission_us = EbQueue_Count(pool->queue) > 0
                             ? EbPool_NextAdmission(pool->pool, now_us)
                             : INT64_MAX;
}
