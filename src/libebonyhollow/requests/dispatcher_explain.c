/* Explains where a request would go, without sending it. */
#include "ebonyhollow/explain.h"

#include <assert.h>

#include <glib.h>

#include "dispatcher_private.h"

const char *const EbAdmission_names[EB_ADMISSION_COUNT] = {
    [EB_ADMISSION_GOES] = "goes",
    [EB_ADMISSION_WAITS] = "waits",
    [EB_ADMISSION_REFUSED] = "refused",
};

/* A request that belongs to no table of the dispatcher, and copies of what
 * decisions on it change. */
typedef struct {
    EbRandom random;
    EbDispatcher dispatcher; /* draws from `random` */
    /* Use snapshots of the EbPools of the real ones. */
    EbDispatcherPool pools[EB_CONFIG_MAX_STAGES];
    uint32_t pool_count;
    EbForwardState forward;
    EbRequest request;
} Trial;

/* Finds the pipeline, and with it whether the request is forwarded. */
static void
find_pipeline(Trial *trial, const EbExplainQuery *query)
{
    EbRequest *request = &trial->request;
    trial->forward.call = query->call;
    request->forward = &trial->forward;
    request->pipeline = EbConfig_FindForwardPipeline(
        request->config, query->call->host, query->call->path);
    if (request->pipeline != NULL || query->pipeline == NULL) {
        return;
    }
    const EbConfigPipeline *named =
        EbConfig_FindPipeline(request->config, query->pipeline);
    if (named != NULL && named->forward == NULL) {
        request->forward = NULL;
        request->pipeline = named;
        /* The request is taken to have a key that is new. */
        request->keyed = named->needs_key;
        request->key = named->needs_key ? trial->request.key_digest : NULL;
    }
}

static void
trial_init(Trial *trial, const EbDispatcher *dispatcher,
           const EbExplainQuery *query, int64_t now_us)
{
    trial->random = *dispatcher->options.random;
    trial->dispatcher = *dispatcher;
    trial->dispatcher.options.random = &trial->random;
    EbRequest *request = &trial->request;
    request->dispatcher = &trial->dispatcher;
    request->config = dispatcher->config;
    if (request->config != NULL) {
        find_pipeline(trial, query);
    }
    if (request->pipeline == NULL) {
        return;
    }
    if (request->forward != NULL && request->pipeline->forward->anonymous) {
        request->customer = EbConfig_AnonymousCustomer(request->config);
    }
    else if (query->customer != NULL) {
        request->customer =
            EbConfig_FindCustomer(request->config, query->customer);
    }
    EbRequest_SetDeadline(request, query->call->timeout_us, now_us);
}

/* Chooses the pool of a forwarded request, or binds those of all stages. */
static void
trial_bind(Trial *trial)
{
    EbRequest *request = &trial->request;
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        uint32_t index = EbRequest_ChoosePool(request, i);
        EbDispatcherPool *pool = &trial->pools[i];
        *pool = *EbDispatcher_FindPool(&trial->dispatcher,
                                       &request->config->pools[index]);
        pool->pool = EbPool_NewSnapshot(pool->pool, &trial->random);
        request->pools[i] = pool;
        trial->pool_count++;
    }
    if (request->forward != NULL) {
        EbRequest_PlanPreparations(request);
    }
}

static void
trial_clear(Trial *trial)
{
    for (uint32_t i = 0; i < trial->pool_count; i++) {
        EbPool_FreeSnapshot(trial->pools[i].pool);
    }
    g_free(trial->forward.preparations);
}

static EbReason
check_arrival(const EbDispatcher *dispatcher, const EbRequest *request)
{
    if (dispatcher->draining) {
        return EB_REASON_DRAINING;
    }
    if (request->config == NULL) {
        return EB_REASON_NO_CONFIGURATION;
    }
    EbReason reason = EbRequest_CheckCaller(request);
    bool full = g_hash_table_size(dispatcher->requests) >=
                dispatcher->options.max_requests;
    return reason == EB_REASON_NONE && full ? EB_REASON_OVERLOADED : reason;
}

/* Decides like the admission of a request, and then like its queue. */
static EbReason
check_admission(EbRequest *request, int64_t now_us)
{
    EbReason reason = EbLimiter_Check(request->dispatcher->options.limiter,
                                      request->customer->id, now_us,
                                      &request->retry_after_us);
    if (reason == EB_REASON_NONE &&
        !EbDispatcher_IsPlain(request->dispatcher)) {
        reason = EbRequest_CheckFeasibility(request, now_us);
    }
    return reason != EB_REASON_NONE ? reason
                                    : EbRequest_CheckQueue(request, now_us);
}

/* Returns what the request waits for first, or NULL. */
static const char *
find_wait(const EbRequest *request, const EbExplanation *explanation,
          int64_t now_us)
{
    if (request->keyed) {
        return "claim";
    }
    uint32_t count =
        request->forward != NULL ? request->forward->preparation_count : 0;
    for (uint32_t i = 0; i < count; i++) {
        if (request->forward->preparations[i].needed) {
            return "stages";
        }
    }
    if (EbQueue_Count(request->pools[0]->queue) > 0) {
        return "queue";
    }
    return explanation->chosen != NULL &&
                   EbPool_HasFreeSlot(request->pools[0]->pool, now_us)
               ? NULL
               : "free-slot";
}

static void
describe_preparation(const EbRequest *request, uint32_t index,
                     EbExplainedStage *stage)
{
    const EbConfigPreparation *preparation =
        &EbRequest_ForwardConfig(request)->preparations[index];
    const EbConfigPool *pool =
        &request->config->pools[preparation->pool_index];
    const EbDispatcherPool *state =
        EbDispatcher_FindPool(request->dispatcher, pool);
    const EbForwardState *forward = request->forward;
    *stage = (EbExplainedStage){
        .service = pool->name,
        .dependencies = preparation->dependencies,
        .item_count = forward->preparations[index].needed
                          ? forward->call->item_counts[index]
                          : 0,
        .expected_us = EbConfig_BatchCallTime(&pool->batch),
        .min_us = EbConfig_BatchCallMinTime(&pool->batch),
        .evacuated = state != NULL && EbPool_IsEvacuated(state->pool),
    };
}

static void
describe_local_stage(const EbRequest *request, uint32_t index, int64_t now_us,
                     EbExplainedStage *stage)
{
    const EbDispatcherPool *pool = request->pools[index];
    assert(pool != NULL);
    uint32_t pool_index = request->pipeline->stages[index].pool_index;
    *stage = (EbExplainedStage){
        .service = request->config->pools[pool_index].name,
        .local = true,
        .dependencies = index > 0 ? EB_PREPARATION_BIT(index - 1) : 0,
        .item_count = 1,
        .expected_us = EbPool_PredictLatency(
                           pool->pool, EbQueue_Count(pool->queue), now_us) +
                       pool->mean_stream_us,
        .evacuated = EbPool_IsEvacuated(pool->pool),
    };
}

static void
describe_stages(const EbRequest *request, EbExplanation *explanation,
                int64_t now_us)
{
    bool local = request->forward == NULL;
    explanation->stage_count =
        local ? request->pipeline->stage_count
              : EbRequest_ForwardConfig(request)->preparation_count;
    explanation->stages = g_new0(EbExplainedStage, explanation->stage_count);
    for (uint32_t i = 0; i < explanation->stage_count; i++) {
        EbExplainedStage *stage = &explanation->stages[i];
        if (local) {
            describe_local_stage(request, i, now_us, stage);
            explanation->expected_us += stage->expected_us;
        }
        else {
            describe_preparation(request, i, stage);
        }
    }
    if (!local) {
        explanation->expected_us = EbRequest_PredictPreparationTime(request) +
                                   EbRequest_PredictAnswerTime(request);
    }
}

/* Describes the pool of the call and its servers, and chooses one. */
static void
describe_pool(const EbRequest *request, EbExplanation *explanation,
              int64_t now_us)
{
    const EbDispatcherPool *pool = request->pools[0];
    size_t count = EbPool_ServerCount(pool->pool);
    EbPoolCriteria criteria = {0};
    if (request->forward != NULL) {
        explanation->cached =
            EbRequest_PreferAffine(request, &criteria, now_us);
    }
    explanation->pool = EbPool_Name(pool->pool);
    explanation->waiting = EbQueue_Count(pool->queue);
    explanation->queue_max = pool->queue_max;
    explanation->limit_delay_us =
        EbPool_LimitDelay(pool->pool, explanation->waiting, now_us);
    explanation->servers = g_new0(EbPoolCandidate, count);
    explanation->server_count = count;
    for (size_t i = 0; i < count; i++) {
        EbPool_DescribeCandidate(pool->pool, i, &criteria, now_us,
                                 &explanation->servers[i]);
    }
    explanation->chosen = EbPool_Choose(pool->pool, &criteria, now_us);
}

void
EbDispatcher_Explain(const EbDispatcher *dispatcher,
                     const EbExplainQuery *query, int64_t now_us,
                     EbExplanation *explanation)
{
    Trial trial = {0};
    EbRequest *request = &trial.request;
    trial_init(&trial, dispatcher, query, now_us);
    *explanation = (EbExplanation){
        .admission = EB_ADMISSION_REFUSED,
        .pipeline = request->pipeline,
        .customer = request->customer,
        .reason = check_arrival(dispatcher, request),
    };
    if (request->config != NULL &&
        EbRequest_CheckCaller(request) == EB_REASON_NONE) {
        assert(request->pipeline != NULL && request->customer != NULL);
        trial_bind(&trial);
        assert(request->pools[0] != NULL);
        if (explanation->reason == EB_REASON_NONE) {
            explanation->reason = check_admission(request, now_us);
        }
        explanation->priority =
            request->forward != NULL ? EbRequest_Priority(request) : 0;
        explanation->deadline_us = request->deadline_us - now_us;
        EbLimiter_View(dispatcher->options.limiter, request->customer->id,
                       now_us, &explanation->limits);
        describe_stages(request, explanation, now_us);
        describe_pool(request, explanation, now_us);
        if (explanation->reason == EB_REASON_NONE) {
            explanation->waits_for = find_wait(request, explanation, now_us);
            explanation->admission = explanation->waits_for != NULL
                                         ? EB_ADMISSION_WAITS
                                         : EB_ADMISSION_GOES;
        }
    }
    explanation->retry_after_us = request->retry_after_us;
    trial_clear(&trial);
}

void
EbExplanation_Clear(EbExplanation *explanation)
{
    g_free(explanation->stages);
    g_free(explanation->servers);
    *explanation = (EbExplanation){0};
}
