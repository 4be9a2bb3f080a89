/* Forwarded requests: authentication, choice of the pool and what is sent. */
#include <assert.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* Assumed before the first call of a pipeline has been measured. */
#define INITIAL_ANSWER_TIME_US 250000
/* The predicted answer time is the mean plus this many mean deviations. */
#define ANSWER_TIME_DEVIATIONS 1.5

EbForwardState *
EbForwardState_New(EbForwardCall *call)
{
    EbForwardState *state = g_new0(EbForwardState, 1);
    state->call = EbForwardCall_Ref(call);
    state->last_event_id = call->last_event_id;
    return state;
}

void
EbForwardState_Free(EbForwardState *state)
{
    if (state == NULL) {
        return;
    }
    for (uint32_t i = 0; i < state->preparation_count; i++) {
        if (state->preparations[i].handles != NULL) {
            g_ptr_array_unref(state->preparations[i].handles);
        }
    }
    g_free(state->preparations);
    EbForwardCall_Unref(state->call);
    EbHttpMessage_Unref(state->head);
    EbHttpMessage_Unref(state->reply);
    g_free(state);
}

static const EbConfigCustomer *
find_customer(const EbRequest *request)
{
    const char *token = request->forward->call->token;
    if (request->pipeline->forward->anonymous) {
        return EbConfig_AnonymousCustomer(request->config);
    }
    return token != NULL ? EbConfig_FindCustomerByToken(request->config, token)
                         : NULL;
}

EbReason
EbRequest_CheckForward(const EbRequest *request)
{
    if (request->pipeline == NULL) {
        return EB_REASON_UNKNOWN_PIPELINE;
    }
    if (request->customer == NULL) {
        return EB_REASON_UNAUTHENTICATED;
    }
    bool usable =
        !request->pipeline->forward->unusable && !request->customer->unusable;
    return usable ? EB_REASON_NONE : EB_REASON_PIPELINE_UNUSABLE;
}

EbReason
EbRequest_AuthorizeForward(EbRequest *request)
{
    if (request->pipeline != NULL) {
        g_free(request->summary->pipeline);
        request->summary->pipeline = g_strdup(request->pipeline->name);
        request->customer = find_customer(request);
    }
    if (request->customer != NULL) {
        g_free(request->summary->customer);
        request->summary->customer = g_strdup(request->customer->id);
    }
    return EbRequest_CheckForward(request);
}

uint32_t
EbRequest_ChooseForwardPool(const EbRequest *request)
{
    const EbConfigForward *forward = request->pipeline->forward;
    uint64_t total = 0;
    for (uint32_t i = 0; i < forward->split_count; i++) {
        total += forward->splits[i].weight;
    }
    if (total == 0) {
        return request->pipeline->stages[0].pool_index;
    }
    uint64_t position =
        EbRandom_Below(request->dispatcher->options.random, total);
    uint32_t index = 0;
    while (position >= forward->splits[index].weight) {
        position -= forward->splits[index].weight;
        index++;
    }
    return forward->splits[index].pool_index;
}

uint8_t
EbRequest_Priority(const EbRequest *request)
{
    return request->customer->priority >= 0
               ? (uint8_t)request->customer->priority
               : request->pipeline->forward->priority;
}

void
EbRequest_FillForward(EbRequest *request, EbSendAttempt *send, int64_t now_us)
{
    const EbForwardState *state = request->forward;
    send->request_id = g_strdup(state->call->request_id);
    send->forward = EbForwardCall_Ref(state->call);
    if (!request->pipeline->forward->anonymous) {
        send->customer = g_strdup(request->customer->id);
    }
    send->remaining_us = request->deadline_us - now_us;
    send->resume_after = state->last_event_id;
    send->priority = EbRequest_Priority(request);
    send->max_connections = EbPool_ConnectionShare(request->pools[0]->pool);
    send->inputs = EbRequest_CollectInputs(request);
}

static const EbAnswerTime *
find_answer_time(const EbRequest *request)
{
    return g_hash_table_lookup(request->pools[0]->answer_times,
                               request->pipeline->name);
}

int64_t
EbRequest_MeanAnswerTime(const EbRequest *request)
{
    const EbAnswerTime *time = find_answer_time(request);
    return time != NULL ? (int64_t)time->mean_us : 0;
}

int64_t
EbRequest_PredictAnswerTime(const EbRequest *request)
{
    const EbAnswerTime *time = find_answer_time(request);
    return time != NULL ? (int64_t)(time->mean_us + ANSWER_TIME_DEVIATIONS *
                                                        time->deviation_us)
                        : INITIAL_ANSWER_TIME_US;
}
