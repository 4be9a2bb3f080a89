/* Generated tokens as they come, and the end of their stream. */
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define MAX_TEXT_BYTES ((size_t)192 * 1024)

static bool
is_last_generate(const EbRequest *request, uint32_t stage)
{
    for (uint32_t i = stage + 1; i < request->pipeline->stage_count; i++) {
        if (request->pipeline->stages[i].kind == EB_STAGE_GENERATE) {
            return false;
        }
    }
    return true;
}

static void
observe_tokens(EbAttempt *attempt, uint32_t count, int64_t now_us)
{
    EbRequest *request = attempt->request;
    const EbDispatcherOptions *options = &request->dispatcher->options;
    const char *customer = request->customer->id;
    if (request->token_us > 0) {
        EbMetrics_Observe(options->metrics, EB_METRIC_TOKEN_GAP_US,
                          now_us - request->token_us, customer, NULL, NULL);
    }
    else if (is_last_generate(request, attempt->stage)) {
        EbMetrics_Observe(options->metrics, EB_METRIC_FIRST_TOKEN_US,
                          now_us - request->summary->received_us, customer,
                          NULL, NULL);
    }
    request->token_us = now_us;
    EbMetrics_Add(options->metrics, EB_METRIC_TOKENS, count, customer,
                  request->pipeline->name, NULL);
    EbLimiter_ChargeTokens(options->limiter, customer, count, now_us);
}

static void
relay(EbRequest *request, uint32_t stage, const EbAttemptEvent *event)
{
    if (!request->stream || request->answered ||
        !is_last_generate(request, stage)) {
        return;
    }
    request->relayed_count += event->token_count;
    EbActionQueue_Push(request->dispatcher->options.actions,
                       &(EbAction){.kind = EB_ACTION_RELAY,
                                   .as.relay = {
                                       .request = request->id,
                                       .token_index = event->token_index,
                                       .token_count = event->token_count,
                                       .text = g_strdup(event->text),
                                   }});
}

void
EbAttempt_HandleTokens(EbAttempt *attempt, const EbAttemptEvent *event,
                       int64_t now_us)
{
    EbRequest *request = attempt->request;
    uint64_t next = request->token_count;
    uint64_t end = event->token_index + event->token_count;
    attempt->paused = event->token_count == 0;
    if (end <= next) {
        /* Sent before the resume, or twice. */
        EbAttempt_RecordProgress(attempt, now_us);
        return;
    }
    /* The text of an event can't be divided among its tokens. */
    if (event->token_index != next || event->text == NULL ||
        request->text->len + strlen(event->text) > MAX_TEXT_BYTES) {
        EbAttempt_RejectAnswer(attempt, "token index out of order", now_us);
        return;
    }
    EbAttempt_RecordProgress(attempt, now_us);
    g_string_append(request->text, event->text);
    request->token_count = end;
    request->total_tokens += event->token_count;
    observe_tokens(attempt, event->token_count, now_us);
    relay(request, attempt->stage, event);
}

void
EbAttempt_HandleStreamEnd(EbAttempt *attempt, int64_t now_us)
{
    EbRequest *request = attempt->request;
    json_t *answer = json_pack("{s:s, s:I}", "text", request->text->str,
                               "tokens", (json_int_t)request->token_count);
    EbAttempt_ReadAnswer(attempt, answer, now_us);
    json_decref(answer);
}
