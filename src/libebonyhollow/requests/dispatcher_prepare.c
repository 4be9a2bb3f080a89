/* Preparations: running the stages whose results a forwarded request needs. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* How often one request may prepare lost results again. */
#define MAX_RESTARTS 2
/* A preparation is not started while another one is expected to take longer
 * until the call by more than this. */
#define EARLY_MARGIN_US 100000

const char *const EbPreparedStatus_names[EB_PREPARED_STATUS_COUNT] = {
    [EB_PREPARED_OK] = "ok",
    [EB_PREPARED_INPUT_GONE] = "input-gone",
    [EB_PREPARED_LATE] = "late",
    [EB_PREPARED_FAILED] = "failed",
};

static uint32_t
item_count(const EbRequest *request, uint32_t index)
{
    const EbForwardCall *call = request->forward->call;
    return index < call->item_stage_count ? call->item_counts[index] : 0;
}

/* Returns the expected time from the start of a preparation to the request's
 * call. */
static int64_t
time_to_call(const EbRequest *request, uint32_t index)
{
    const EbConfigPreparation *preparation =
        &EbRequest_ForwardConfig(request)->preparations[index];
    return EbConfig_BatchCallTime(
               &request->config->pools[preparation->pool_index].batch) +
           preparation->downstream_us;
}

/* Returns the time that a preparation and those after it take at least. */
static int64_t
min_time_to_call(const EbRequest *request, uint32_t index)
{
    const EbConfigPreparation *preparation =
        &EbRequest_ForwardConfig(request)->preparations[index];
    return EbConfig_BatchCallMinTime(
               &request->config->pools[preparation->pool_index].batch) +
           preparation->downstream_min_us;
}

/* Returns whether another preparation takes so much longer that the result of
 * this one would only occupy memory, which is scarce at the servers. */
static bool
is_early(const EbRequest *request, uint32_t index)
{
    const EbPreparation *preparations = request->forward->preparations;
    int64_t own_us = time_to_call(request, index);
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if (preparations[i].needed && !preparations[i].done &&
            time_to_call(request, i) > own_us + EARLY_MARGIN_US) {
            return true;
        }
    }
    return false;
}

static bool
is_startable(const EbRequest *request, uint32_t index)
{
    const EbPreparation *preparations = request->forward->preparations;
    if (!preparations[index].needed || preparations[index].done ||
        preparations[index].job != 0) {
        return false;
    }
    EbPreparationSet dependencies =
        EbRequest_ForwardConfig(request)->preparations[index].dependencies;
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if ((dependencies & EB_PREPARATION_BIT(i)) != 0 &&
            preparations[i].needed && !preparations[i].done) {
            return false;
        }
    }
    return !is_early(request, index);
}

/* Returns the failure_domain of the server that the call will probably go to,
 * or NULL when it can't be predicted. */
static const char *
expected_domain(const EbRequest *request, int64_t now_us)
{
    uint64_t key = EbForwardCall_PromptKey(request->forward->call);
    const EbConfigBackendServer *server =
        key != 0 ? EbPool_ChooseAffine(request->pools[0]->pool,
                                       &(EbPoolCriteria){0}, key, now_us)
                 : NULL;
    return server != NULL ? server->failure_domain : NULL;
}

/* Returns the size of all inputs of a preparation, each of whose work items
 * fetches all of them. */
static uint64_t
input_bytes(const EbRequest *request, uint32_t index)
{
    const EbConfigForward *forward = EbRequest_ForwardConfig(request);
    uint64_t total_bytes = 0;
    for (uint32_t i = 0; i < forward->preparation_count; i++) {
        if ((forward->preparations[index].dependencies &
             EB_PREPARATION_BIT(i)) != 0) {
            total_bytes +=
                item_count(request, i) * forward->preparations[i].result_bytes;
        }
    }
    return total_bytes;
}

/* Returns how often a result of a preparation is fetched: by each work item of
 * the preparations that depend on it, or once by the call. */
static uint32_t
fetch_count(const EbRequest *request, uint32_t index)
{
    const EbConfigForward *forward = EbRequest_ForwardConfig(request);
    uint32_t count = 0;
    for (uint32_t i = 0; i < forward->preparation_count; i++) {
        if ((forward->preparations[i].dependencies &
             EB_PREPARATION_BIT(index)) != 0) {
            count += item_count(request, i);
        }
    }
    return MAX(count, 1);
}

/* Returns when the time of the latency goal began. At a service whose items
 * are done by urgency, a caller that was refused and returns is late already;
 * as if it were in time it would go before those that are. */
static int64_t
goal_start(const EbRequest *request, const EbConfigPreparation *preparation)
{
    int64_t received_us = request->summary->received_us;
    int64_t asked_us = EbRequest_AskedAt(request);
    return asked_us != received_us &&
                   EbConfig_PreparesByUrgency(request->config,
                                              preparation->pool_index)
               ? asked_us
               : received_us;
}

static void
start_preparation(EbRequest *request, uint32_t index, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    const EbConfigPreparation *preparation =
        &EbRequest_ForwardConfig(request)->preparations[index];
    EbPreparation *state = &request->forward->preparations[index];
    state->job = ++dispatcher->last_job;
    g_hash_table_insert(dispatcher->jobs,
                        g_memdup2(&state->job, sizeof(state->job)), request);
    uint64_t inputs_bytes = input_bytes(request, index);
    uint64_t outputs_bytes =
        fetch_count(request, index) * preparation->result_bytes;
    EbAction action = {
        .kind = EB_ACTION_PREPARE,
        .as.prepare = {
            .job = state->job,
            .request_id = g_strdup(request->forward->call->request_id),
            .service =
                g_strdup(request->config->pools[preparation->pool_index].name),
            .stage = index,
            .item_count = item_count(request, index),
            .result_bytes = preparation->result_bytes,
            .transfer_bytes = inputs_bytes + outputs_bytes,
            .near_inputs = inputs_bytes > outputs_bytes,
            .failure_domain = g_strdup(expected_domain(request, now_us)),
            .priority = EbRequest_Priority(request),
            .route_priority = EbRequest_ForwardConfig(request)->priority,
            .due_us = goal_start(request, preparation) +
                      EbRequest_ForwardConfig(request)->latency_goal_us -
                      preparation->downstream_us -
                      EbRequest_PredictAnswerTime(request),
            /* Later results can't lead to an answer in time. */
            .deadline_us = EbRequest_BeginDeadline(request) -
                           preparation->downstream_min_us -
                           EbRequest_MeanAnswerTime(request),
        }};
    if (preparation->dependencies == 0) {
        action.as.prepare.key = g_strdup(request->forward->call->item_key);
    }
    else {
        action.as.prepare.inputs =
            EbRequest_CollectHandles(request, preparation->dependencies);
    }
    EbActionQueue_Push(dispatcher->options.actions, &action);
    EbRequest_Trace(request, "prepare", action.as.prepare.service, index,
                    now_us);
}

/* Ends finished preparations whose results neither the call nor an unfinished
 * preparation needs, since memory for results is scarce at the servers. */
static void
end_consumed_preparations(EbRequest *request)
{
    EbPreparation *preparations = request->forward->preparations;
    EbPreparationSet consumed = 0;
    EbPreparationSet still_needed =
        ~EbRequest_IntermediatePreparations(request);
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        EbPreparationSet dependencies =
            EbRequest_ForwardConfig(request)->preparations[i].dependencies;
        if (preparations[i].needed && preparations[i].done) {
            consumed |= dependencies;
        }
        else if (preparations[i].needed) {
            still_needed |= dependencies;
        }
    }
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if (preparations[i].done &&
            (consumed & ~still_needed & EB_PREPARATION_BIT(i)) != 0) {
            EbRequest_EndPreparation(request, &preparations[i]);
        }
    }
}

void
EbRequest_Prepare(EbRequest *request, int64_t now_us)
{
    EbPreparation *preparations = request->forward->preparations;
    bool missing = false;
    end_consumed_preparations(request);
    if (EbRequest_IsEvacuated(request)) {
        EbRequest_FailEvacuated(request, now_us);
        return;
    }
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if (is_startable(request, i)) {
            start_preparation(request, i, now_us);
        }
        missing = missing || (preparations[i].needed && !preparations[i].done);
    }
    if (missing) {
        request->summary->state = EB_REQUEST_PREPARING;
        EbRequest_MarkTimerStale(request);
    }
    else if (request->waiting || request->attempt_count > 0) {
        return;
    }
    else if (request->last_attempt_number == 0) {
        EbRequest_StartStage(request, now_us);
    }
    else {
        EbRequest_Enqueue(request, now_us);
    }
}

void
EbRequest_PlanPreparations(EbRequest *request)
{
    EbForwardState *state = request->forward;
    state->preparation_count =
        EbRequest_ForwardConfig(request)->preparation_count;
    state->preparations = g_new0(EbPreparation, state->preparation_count);
    for (uint32_t i = 0; i < state->preparation_count; i++) {
        state->preparations[i].needed = item_count(request, i) > 0;
    }
}

int64_t
EbRequest_PredictPreparationTime(const EbRequest *request)
{
    int64_t longest_us = 0;
    int64_t longest_min_us = 0;
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if (request->forward->preparations[i].needed) {
            longest_us = MAX(longest_us, time_to_call(request, i));
            longest_min_us = MAX(longest_min_us, min_time_to_call(request, i));
        }
    }
    /* The expected time of a long chain allows for busy servers at each of its
     * stages. Where a whole deadline is too short for that, it would refuse
     * every request of the pipeline, also while all servers are free. */
    int64_t available_us =
        MIN(request->pipeline->deadline_us, EbRequest_AbandonTime(request)) -
        EbRequest_PredictAnswerTime(request);
    return longest_us <= available_us ? longest_us : longest_min_us;
}

/* Returns whether a preparation whose results the call needs has no job: it
 * was ended or has not been started. */
static bool
lacks_results(const EbRequest *request)
{
    const EbPreparation *preparations = request->forward->preparations;
    EbPreparationSet required = EbRequest_IntermediatePreparations(request);
    for (uint32_t i = 0; i < request->forward->preparation_count; i++) {
        if (preparations[i].needed && preparations[i].job == 0 &&
            (required & EB_PREPARATION_BIT(i)) == 0) {
            return true;
        }
    }
    return false;
}

bool
EbRequest_PrepareAgain(EbRequest *request, int64_t now_us)
{
    if (!lacks_results(request)) {
        return false;
    }
    EbRequest_DropPreparations(request);
    if (++request->forward->restarts > MAX_RESTARTS) {
        EbRequest_Fail(request, EB_REASON_BACKEND_FAILED,
                       "Results of earlier stages were lost.", now_us);
        return true;
    }
    EbRequest_Prepare(request, now_us);
    return true;
}

static void
handle_failure(EbRequest *request, EbPreparedStatus status, int64_t now_us)
{
    EbRequest_Trace(request, "not-prepared", EbPreparedStatus_names[status], 0,
                    now_us);
    if (status == EB_PREPARED_INPUT_GONE) {
        EbRequest_DropPreparations(request);
        if (!EbRequest_PrepareAgain(request, now_us)) {
            EbRequest_Prepare(request, now_us);
        }
        return;
    }
    if (EbRequest_IsEvacuated(request)) {
        EbRequest_FailEvacuated(request, now_us);
        return;
    }
    EbRequest_Fail(request,
                   status == EB_PREPARED_LATE ? EB_REASON_DEADLINE_INFEASIBLE
                                              : EB_REASON_BACKEND_FAILED,
                   NULL, now_us);
}

void
EbRequest_PreparationEnded(EbRequest *request, uint64_t job,
                           EbPreparedStatus status, char *const *handles,
                           uint32_t handle_count, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    EbPreparation *preparation = request->forward->preparations;
    while (preparation->job != job) {
        preparation++;
    }
    uint32_t index = (uint32_t)(preparation - request->forward->preparations);
    if (preparation->done) {
        return; /* repeated by the home after its link broke */
    }
    if (status != EB_PREPARED_OK ||
        handle_count != item_count(request, index)) {
        handle_failure(request,
                       status == EB_PREPARED_OK ? EB_PREPARED_FAILED : status,
                       now_us);
        return;
    }
    preparation->done = true;
    preparation->handles = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < handle_count; i++) {
        g_ptr_array_add(preparation->handles, g_strdup(handles[i]));
    }
    EbRequest_Trace(request, "prepared", "", index, now_us);
    EbRequest_Prepare(request, now_us);
}
