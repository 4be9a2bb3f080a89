/* Forwarded requests: who may send them and what is sent. */
#include <assert.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* Until calls of a pipeline were measured. */
#define ANSWER_TIME_US 250000
#define ANSWER_TIME_MARGIN 1.5 /* deviations above the mean */

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
    for (size_t i = 0; i < EB_FORWARD_MAX_PREPARATIONS; i++) {
        if (state->preparations[i].handles != NULL) {
            g_ptr_array_unref(state->preparations[i].handles);
        }
    }
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
        return EbConfig_FindCustomer(request->config, EB_CUSTOMER_ANONYMOUS);
    }
    return token != NULL ? EbConfig_FindCustomerByToken(request->config, token)
                         : NULL;
}

EbReason
EbRequest_AuthorizeForward(EbRequest *request)
{
    if (request->pipeline == NULL) {
        return EB_REASON_UNKNOWN_PIPELINE;
    }
    g_free(request->summary->pipeline);
    request->summary->pipeline = g_strdup(request->pipeline->name);
    request->customer = find_customer(request);
    if (request->customer == NULL) {
        return EB_REASON_UNAUTHENTICATED;
    }
    g_free(request->summary->customer);
    request->summary->customer = g_strdup(request->customer->id);
    return EB_REASON_NONE;
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
    uint64_t at = EbRandom_Below(request->dispatcher->options.random, total);
    uint32_t index = 0;
    while (at >= forward->splits[index].weight) {
        at -= forward->splits[index].weight;
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
    send->inputs = EbRequest_Inputs(request);
}

int64_t
EbRequest_AnswerTime(const EbRequest *request)
{
    const EbAnswerTime *time = g_hash_table_lookup(
        request->pools[0]->answer_times, request->pipeline->name);
    return time != NULL ? (int64_t)(time->mean_us +
                                    ANSWER_TIME_MARGIN * time->deviation_us)
                        : ANSWER_TIME_US;
}
