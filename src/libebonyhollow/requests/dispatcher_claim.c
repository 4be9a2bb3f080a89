/* Claims on idempotency keys, repeats of a key, and queries from other daemons
 * for the outcome of a key. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define MAX_OUTCOME_QUERIES 64 /* that may wait for one request */

static char *
holder_name(const EbRequest *request)
{
    return EbDispatcher_HolderName(request->customer->id, request->key_digest);
}

void
EbRequest_Claim(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    assert(request->keyed && request->claim == 0);
    request->summary->state = EB_REQUEST_CLAIMING;
    request->claim_count++;
    request->claimed_us = now_us;
    request->claim = EbLedger_Claim(
        dispatcher->options.ledger, request->customer->id, request->key,
        request->claim_text, request->claim_text_bytes, request->deadline_us,
        now_us);
    g_hash_table_insert(dispatcher->claims,
                        g_memdup2(&request->claim, sizeof(request->claim)),
                        request);
    char *name = holder_name(request);
    if (g_hash_table_contains(dispatcher->holders, name)) {
        g_free(name);
    }
    else {
        g_hash_table_insert(dispatcher->holders, name, request);
    }
    EbRequest_Trace(request, "claim", "", 0, now_us);
}

static void
refuse_reused_key(EbRequest *request, int64_t now_us)
{
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_KEY_REUSED,
            EB_STRING_FIELD("request_id", request->summary->request_id),
            EB_STRING_FIELD("customer", request->customer->id));
    EbRequest_Fail(request, EB_REASON_KEY_REUSED, NULL, now_us);
}

static void
wait_for_local_holder(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    char *name = holder_name(request);
    EbRequest *holder = g_hash_table_lookup(dispatcher->holders, name);
    g_free(name);
    if (holder == NULL || holder == request) {
        EbLedgerLocalClaim local = {0};
        EbLedger_FindLocal(dispatcher->options.ledger, request->customer->id,
                           request->key_digest, &local);
        if (local.state == EB_LEDGER_LOCAL_FINISHED) {
            EbRequest_HolderFinished(request, local.outcome, local.reason,
                                     local.body, now_us);
        }
        else {
            EbRequest_RetryClaimLater(request, now_us);
        }
        return;
    }
    if (holder->claim_text_bytes != request->claim_text_bytes ||
        memcmp(holder->claim_text, request->claim_text,
               request->claim_text_bytes) != 0) {
        refuse_reused_key(request, now_us);
        return;
    }
    g_array_append_val(holder->waiters, request->id);
}

static void
wait_for_holder(EbRequest *request, const EbLedgerResult *held, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    const EbDispatcherOptions *options = &dispatcher->options;
    request->summary->state = EB_REQUEST_ASKING_OWNER;
    EbRequest_Trace(request, "held", held->instance, 0, now_us);
    bool same_instance = strcmp(held->instance, dispatcher->instance) == 0;
    if (same_instance && held->incarnation == options->incarnation) {
        wait_for_local_holder(request, now_us);
        return;
    }
    uint64_t query = ++dispatcher->last_query;
    /* An earlier incarnation of this instance no longer runs and can't be
     * asked. */
    if (same_instance || options->ask_owner == NULL ||
        !options->ask_owner(options->context, held, query,
                            request->customer->id, request->key_digest,
                            now_us)) {
        EbRequest_HolderLost(request, now_us);
        return;
    }
    request->owner_query = query;
    g_hash_table_insert(dispatcher->queries, g_memdup2(&query, sizeof(query)),
                        request);
}

static void
handle_owned(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    request->owned = true;
    request->reopened = result->reopened;
    request->fencing_token = result->fencing_token;
    g_hash_table_replace(request->dispatcher->holders, holder_name(request),
                         request);
    EbRequest_Trace(request, "claimed", "", 0, now_us);
    if (EbRequest_CheckQuarantine(request, now_us) != EB_REASON_NONE) {
        EbRequest_Fail(request, EB_REASON_QUARANTINED, NULL, now_us);
        return;
    }
    EbRequest_StartStage(request, now_us);
}

static void
replay(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    if (result->outcome == EB_OUTCOME_UNKNOWN) {
        /* The service may know the outcome by now. */
        request->summary->state = EB_REQUEST_ASKING_OWNER;
        request->unknown_reason = result->reason;
        EbRequest_LookUpOutcome(request, now_us);
        return;
    }
    EbRequest_HolderFinished(request, result->outcome, result->reason,
                             result->body, now_us);
}

static void
handle_result(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    if (result->kind != EB_LEDGER_OWNED) {
        request->claim = 0;
    }
    switch (result->kind) {
    case EB_LEDGER_OWNED:
        handle_owned(request, result, now_us);
        break;
    case EB_LEDGER_RECORDED:
        replay(request, result, now_us);
        break;
    case EB_LEDGER_BODY_DIFFERS:
        refuse_reused_key(request, now_us);
        break;
    case EB_LEDGER_HELD:
        wait_for_holder(request, result, now_us);
        break;
    case EB_LEDGER_UNAVAILABLE:
    case EB_LEDGER_RESULT_COUNT:
        EbRequest_Fail(request, EB_REASON_STORE_UNAVAILABLE, NULL, now_us);
        break;
    }
}

bool
EbDispatcher_ProcessLedgerResults(EbDispatcher *dispatcher, int64_t now_us)
{
    bool processed = false;
    EbLedgerResult result = {0};
    while (EbLedger_NextResult(dispatcher->options.ledger, &result)) {
        processed = true;
        EbRequest *request =
            g_hash_table_lookup(dispatcher->claims, &result.claim);
        if (request != NULL) {
            g_hash_table_remove(dispatcher->claims, &result.claim);
            handle_result(request, &result, now_us);
        }
        json_decref(result.body);
        result = (EbLedgerResult){0};
    }
    return processed;
}

void
EbRequest_OwnerReplied(EbRequest *request, const EbLedgerLocalClaim *local,
                       int64_t now_us)
{
    g_hash_table_remove(request->dispatcher->queries, &request->owner_query);
    request->owner_query = 0;
    EbRequest_MarkTimerStale(request);
    if (local == NULL) {
        EbRequest_HolderLost(request, now_us);
    }
    else if (local->state == EB_LEDGER_LOCAL_FINISHED) {
        EbRequest_HolderFinished(request, local->outcome, local->reason,
                                 local->body, now_us);
    }
    else {
        EbRequest_RetryClaimLater(request, now_us);
    }
}

/* Outcome queries of other daemons */

void
EbDispatcher_QueryOutcome(EbDispatcher *dispatcher, const char *peer,
                          uint64_t query, const char *customer,
                          const char *key_digest, int64_t now_us)
{
    (void)now_us;
    EbOutcomeQuery *pending = g_new0(EbOutcomeQuery, 1);
    pending->peer = g_strdup(peer);
    pending->query = query;
    pending->customer = g_strdup(customer);
    pending->key_digest = g_strdup(key_digest);
    char *name = EbDispatcher_HolderName(customer, key_digest);
    EbRequest *holder = g_hash_table_lookup(dispatcher->holders, name);
    g_free(name);
    if (holder != NULL &&
        holder->outcome_queries.length < MAX_OUTCOME_QUERIES) {
        g_queue_push_tail(&holder->outcome_queries, pending);
    }
    else {
        g_queue_push_tail(&dispatcher->answerable_queries, pending);
    }
}

bool
EbDispatcher_NextOutcomeQuery(EbDispatcher *dispatcher, EbOutcomeQuery *query)
{
    EbOutcomeQuery *next = g_queue_pop_head(&dispatcher->answerable_queries);
    if (next == NULL) {
        return false;
    }
    *query = *next;
    g_free(next);
    return true;
}

void
EbOutcomeQuery_Clear(EbOutcomeQuery *query)
{
    g_free(query->peer);
    g_free(query->customer);
    g_free(query->key_digest);
    *query = (EbOutcomeQuery){0};
}
