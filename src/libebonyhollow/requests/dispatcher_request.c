/* Submission, admission, claims and repeats of a key. */
#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define MAX_KEY_BYTES 255
/* Claims of one request: an owner that forgot the key or released it sends
 * its repeats back to the store, which must end. */
#define MAX_CLAIMS 6
#define RECLAIM_US 50000
#define RETRY_AFTER_MIN_US 1000000
#define MAX_ASKED 64 /* peers that wait for one request */

static EbRequest *
create_request(EbDispatcher *dispatcher, const EbSubmission *submission,
               int64_t now_us)
{
    EbRequest *request = g_new0(EbRequest, 1);
    request->id = ++dispatcher->next_request;
    request->dispatcher = dispatcher;
    request->summary = EbRequestSummary_New(submission, now_us);
    request->key = g_strdup(submission->idempotency_key);
    request->traceparent = g_strdup(submission->traceparent);
    request->stream = submission->stream;
    request->wake_us = INT64_MAX;
    request->deadline_us = INT64_MAX;
    request->waiters = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_queue_init(&request->asked);
    request->text = g_string_new(NULL);
    if (submission->forward != NULL) {
        request->forward = EbForwardState_New(submission->forward);
        request->stream = true;
    }
    if (dispatcher->config != NULL) {
        request->config = EbConfig_Ref(dispatcher->config);
        request->pipeline =
            submission->forward != NULL
                ? EbConfig_FindRoute(request->config,
                                     submission->forward->host,
                                     submission->forward->path)
                : EbConfig_FindPipeline(request->config, submission->pipeline);
    }
    /* Until the pipeline is known, a key may belong to a claimed request. */
    request->keyed = request->key != NULL && (request->pipeline == NULL ||
                                              request->pipeline->needs_key);
    g_hash_table_insert(dispatcher->requests, &request->id, request);
    return request;
}

/* Checks who asks and for what. */
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
    if (request->customer == NULL) {
        return EB_REASON_UNAUTHENTICATED;
    }
    g_free(request->summary->customer);
    request->summary->customer = g_strdup(request->customer->id);
    if (request->pipeline == NULL) {
        return EB_REASON_UNKNOWN_PIPELINE;
    }
    if (!EbConfig_Allows(request->config, request->customer,
                         request->pipeline)) {
        return EB_REASON_FORBIDDEN;
    }
    if (request->pipeline->needs_key && request->key == NULL) {
        return EB_REASON_KEY_REQUIRED;
    }
    return EB_REASON_NONE;
}

static EbReason
read_body(EbRequest *request, const EbSubmission *submission, EbError *error)
{
    json_error_t syntax;
    request->body = json_loadb(submission->body, submission->body_bytes,
                               JSON_REJECT_DUPLICATES, &syntax);
    if (request->body == NULL) {
        EbError_Set(error, EB_ERROR_SYNTAX, "%s", syntax.text);
        EbError_SetPlace(error, NULL, syntax.line, syntax.column);
        return EB_REASON_BAD_REQUEST;
    }
    if (!EbStage_CheckRequest(request->pipeline, request->body, error)) {
        return EB_REASON_BAD_REQUEST;
    }
    if (request->key != NULL &&
        (request->key[0] == '\0' || strlen(request->key) > MAX_KEY_BYTES)) {
        EbError_Set(error, EB_ERROR_RANGE, "the key has 1 to %d bytes",
                    MAX_KEY_BYTES);
        return EB_REASON_BAD_REQUEST;
    }
    return EB_REASON_NONE;
}

static void
bind_pools(EbRequest *request)
{
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        uint32_t index = request->forward != NULL
                             ? EbRequest_ForwardPool(request)
                             : request->pipeline->stages[i].pool_index;
        request->pools[i] = EbDispatcher_FindPool(
            request->dispatcher, &request->config->pools[index]);
        assert(request->pools[i] != NULL);
        request->pools[i]->users++;
    }
}

/* Predicts whether the request can finish in time over all its stages. */
static EbReason
predict(EbRequest *request, int64_t now_us)
{
    int64_t total_us = 0;
    for (uint32_t i = 0; i < request->pipeline->stage_count; i++) {
        EbPoolState *pool = request->pools[i];
        size_t waiting = EbQueue_Count(pool->queue);
        if (!EbPool_HasServer(pool->pool)) {
            return EB_REASON_NO_BACKEND_SERVER;
        }
        if (i == 0 && waiting >= pool->queue_max) {
            return EB_REASON_OVERLOADED;
        }
        total_us += EbPool_Predict(pool->pool, waiting, now_us);
        total_us += pool->stream_us;
    }
    if (request->forward != NULL) {
        /* Calls of other routes in the pool may last far longer or shorter. */
        total_us =
            EbRequest_PreparationTime(request) + EbRequest_AnswerTime(request);
    }
    if (now_us + total_us <= request->deadline_us) {
        return EB_REASON_NONE;
    }
    request->retry_after_us =
        MAX(now_us + total_us - request->deadline_us, RETRY_AFTER_MIN_US);
    return EB_REASON_DEADLINE_INFEASIBLE;
}

static EbReason
admit(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    /* A keyed request is checked after its claim, so that a repeat of one
     * that ran still gets its recorded answer. */
    if (!request->keyed && EbRequest_IsQuarantined(request, now_us)) {
        return EB_REASON_QUARANTINED;
    }
    EbReason reason =
        EbLimiter_Admit(dispatcher->options.limiter, request->customer->id,
                        now_us, &request->retry_after_us);
    if (reason != EB_REASON_NONE) {
        return reason;
    }
    request->admitted = true;
    return EbDispatcher_IsPlain(dispatcher) ? EB_REASON_NONE
                                            : predict(request, now_us);
}

/* The pipeline's name is digested with the body: the same key on another
 * pipeline is another request. */
static void
identify(EbRequest *request, const EbSubmission *submission)
{
    const char *pipeline = request->pipeline->name;
    if (request->forward != NULL) {
        const EbHttpMessage *message = request->forward->call->message;
        request->fingerprint = EbQuarantine_Fingerprint(
            request->customer->id, message->target,
            (const char *)message->body, message->body_bytes);
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
accept(EbRequest *request, const EbSubmission *submission, EbError *error,
       int64_t now_us)
{
    EbReason reason = authorize(request, submission);
    if (reason == EB_REASON_NONE &&
        EbDispatcher_LiveCount(request->dispatcher) >
            request->dispatcher->options.max_requests) {
        reason = EB_REASON_OVERLOADED;
    }
    if (reason == EB_REASON_NONE && request->forward == NULL) {
        reason = read_body(request, submission, error);
    }
    if (reason != EB_REASON_NONE) {
        return reason;
    }
    int64_t timeout_us = request->pipeline->deadline_us;
    int64_t asked_us = request->forward != NULL
                           ? request->forward->call->timeout_us
                           : submission->timeout_us;
    if (asked_us > 0) {
        timeout_us = MIN(timeout_us, asked_us);
    }
    request->deadline_us = now_us + timeout_us;
    identify(request, submission);
    bind_pools(request);
    if (request->forward != NULL) {
        EbRequest_PlanPreparations(request);
    }
    return admit(request, now_us);
}

uint64_t
EbDispatcher_Submit(EbDispatcher *dispatcher, const EbSubmission *submission,
                    int64_t now_us)
{
    assert(submission->forward != NULL ||
           (submission->request_id != NULL && submission->pipeline != NULL));
    EbRequest *request = create_request(dispatcher, submission, now_us);
    uint64_t id = request->id;
    EbError error;
    EbError_Clear(&error);
    EbReason reason = accept(request, submission, &error, now_us);
    EbRequest_Touch(request);
    if (reason != EB_REASON_NONE) {
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
    EbDispatcher_Settle(dispatcher, now_us);
    return id;
}

/* Claims */

static char *
holder_name(const EbRequest *request)
{
    return g_strdup_printf("%s %s", request->customer->id,
                           request->key_digest);
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

/* The holder can't be asked: the service may know the key. */
static void
lose_holder(EbRequest *request, int64_t now_us)
{
    EbRequest_Trace(request, "holder-lost", "", 0, now_us);
    request->summary->state = EB_REQUEST_ASKING_OWNER;
    request->unknown_reason = EB_REASON_OWNER_UNREACHABLE;
    EbRequest_LookUp(request, now_us);
}

static void
claim_later(EbRequest *request, int64_t now_us)
{
    if (request->claim_count >= MAX_CLAIMS) {
        lose_holder(request, now_us);
        return;
    }
    request->summary->state = EB_REQUEST_CLAIMING;
    request->retry_us =
        now_us + ((int64_t)RECLAIM_US << MIN(request->claim_count, 4));
    EbRequest_Touch(request);
}

void
EbRequest_HolderFinished(EbRequest *request, EbOutcome outcome,
                         EbReason reason, json_t *body, int64_t now_us)
{
    EbRequest_Touch(request);
    /* After `failed` the key is released: answering that could be overtaken
     * by another copy that claims it and dispatches the call. An answer that
     * did not come along is read from the store. */
    if (outcome == EB_OUTCOME_FAILED ||
        (outcome == EB_OUTCOME_DONE && body == NULL)) {
        claim_later(request, now_us);
        return;
    }
    request->replayed = true;
    EbRequest_Finish(request, outcome, reason, NULL, body, now_us);
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
wait_for_local(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    char *name = holder_name(request);
    EbRequest *holder = g_hash_table_lookup(dispatcher->holders, name);
    g_free(name);
    if (holder == NULL || holder == request) {
        EbLedgerLocal local = {0};
        EbLedger_Local(dispatcher->options.ledger, request->customer->id,
                       request->key_digest, &local);
        if (local.state == EB_LEDGER_LOCAL_FINISHED) {
            EbRequest_HolderFinished(request, local.outcome, local.reason,
                                     local.body, now_us);
        }
        else {
            claim_later(request, now_us);
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
        wait_for_local(request, now_us);
        return;
    }
    uint64_t query = ++dispatcher->next_query;
    /* An earlier incarnation of this instance is dead. */
    if (same_instance || options->ask_owner == NULL ||
        !options->ask_owner(options->context, held, query,
                            request->customer->id, request->key_digest,
                            now_us)) {
        lose_holder(request, now_us);
        return;
    }
    request->owner_query = query;
    g_hash_table_insert(dispatcher->queries, g_memdup2(&query, sizeof(query)),
                        request);
}

static void
own_claim(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    request->owned = true;
    request->reopened = result->reopened;
    request->fencing_token = result->fencing_token;
    g_hash_table_replace(request->dispatcher->holders, holder_name(request),
                         request);
    EbRequest_Trace(request, "claimed", "", 0, now_us);
    if (EbRequest_IsQuarantined(request, now_us)) {
        EbRequest_Fail(request, EB_REASON_QUARANTINED, NULL, now_us);
        return;
    }
    EbRequest_StartStage(request, now_us);
}

static void
replay(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    if (result->outcome == EB_OUTCOME_UNKNOWN) {
        /* The service may have learned more since it was recorded. */
        request->summary->state = EB_REQUEST_ASKING_OWNER;
        request->unknown_reason = result->reason;
        EbRequest_LookUp(request, now_us);
        return;
    }
    EbRequest_HolderFinished(request, result->outcome, result->reason,
                             result->body, now_us);
}

static void
take_result(EbRequest *request, const EbLedgerResult *result, int64_t now_us)
{
    EbRequest_Touch(request);
    if (result->kind != EB_LEDGER_OWNED) {
        request->claim = 0;
    }
    switch (result->kind) {
    case EB_LEDGER_OWNED:
        own_claim(request, result, now_us);
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
EbDispatcher_TakeLedgerResults(EbDispatcher *dispatcher, int64_t now_us)
{
    bool taken = false;
    EbLedgerResult result = {0};
    while (EbLedger_NextResult(dispatcher->options.ledger, &result)) {
        taken = true;
        EbRequest *request =
            g_hash_table_lookup(dispatcher->claims, &result.claim);
        if (request != NULL) {
            g_hash_table_remove(dispatcher->claims, &result.claim);
            take_result(request, &result, now_us);
        }
        json_decref(result.body);
        result = (EbLedgerResult){0};
    }
    return taken;
}

void
EbDispatcher_LedgerResults(EbDispatcher *dispatcher, int64_t now_us)
{
    EbDispatcher_Settle(dispatcher, now_us);
}

void
EbDispatcher_OwnerReply(EbDispatcher *dispatcher, uint64_t query, bool reached,
                        const EbLedgerLocal *local, int64_t now_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->queries, &query);
    if (request == NULL) {
        return;
    }
    g_hash_table_remove(dispatcher->queries, &query);
    request->owner_query = 0;
    EbRequest_Touch(request);
    if (!reached) {
        lose_holder(request, now_us);
    }
    else if (local->state == EB_LEDGER_LOCAL_FINISHED) {
        EbRequest_HolderFinished(request, local->outcome, local->reason,
                                 local->body, now_us);
    }
    else {
        claim_later(request, now_us);
    }
    EbDispatcher_Settle(dispatcher, now_us);
}

/* Questions of other daemons */

void
EbDispatcher_Asked(EbDispatcher *dispatcher, const char *peer, uint64_t query,
                   const char *customer, const char *key_digest,
                   int64_t now_us)
{
    (void)now_us;
    EbAsked *asked = g_new0(EbAsked, 1);
    asked->peer = g_strdup(peer);
    asked->query = query;
    asked->customer = g_strdup(customer);
    asked->key_digest = g_strdup(key_digest);
    char *name = g_strdup_printf("%s %s", customer, key_digest);
    EbRequest *holder = g_hash_table_lookup(dispatcher->holders, name);
    g_free(name);
    if (holder != NULL && holder->asked.length < MAX_ASKED) {
        g_queue_push_tail(&holder->asked, asked);
    }
    else {
        g_queue_push_tail(&dispatcher->asked, asked);
    }
}

bool
EbDispatcher_NextAsked(EbDispatcher *dispatcher, EbAsked *asked)
{
    EbAsked *next = g_queue_pop_head(&dispatcher->asked);
    if (next == NULL) {
        return false;
    }
    *asked = *next;
    g_free(next);
    return true;
}

void
EbAsked_Clear(EbAsked *asked)
{
    g_free(asked->peer);
    g_free(asked->customer);
    g_free(asked->key_digest);
    *asked = (EbAsked){0};
}

void
EbDispatcher_CallerGone(EbDispatcher *dispatcher, uint64_t id, int64_t now_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->requests, &id);
    if (request == NULL || request->answered) {
        return;
    }
    EbRequest_Touch(request);
    request->answered = true;
    request->summary->reason = EB_REASON_CALLER_GONE;
    EbRequest_Trace(request, "caller-gone", "", 0, now_us);
    /* A stream is of no use without its caller; other calls that must not be
     * repeated go on to their end. */
    bool stream = request->forward != NULL &&
                  EbRequest_Stage(request)->kind == EB_STAGE_GENERATE;
    if (EbRequest_HasCallOut(request) && !stream) {
        request->summary->state = EB_REQUEST_DETACHED;
    }
    else {
        EbRequest_Fail(request, EB_REASON_CALLER_GONE, NULL, now_us);
    }
    EbDispatcher_Settle(dispatcher, now_us);
}
