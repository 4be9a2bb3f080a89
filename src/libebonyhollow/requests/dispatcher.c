/* The public functions, and the timers of requests and pools. */
#include "ebonyhollow/dispatcher.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

#define DEFAULT_MAX_REQUESTS 4096
#define POOL_TICK_US 500000 /* interval of EbPool_Tick */

const char *const EbPolicy_names[EB_POLICY_COUNT] = {
    [EB_POLICY_ADAPTIVE] = "adaptive",
    [EB_POLICY_PLAIN] = "plain",
};

const char *const EbAttemptEventKind_names[EB_ATTEMPT_EVENT_COUNT] = {
    [EB_ATTEMPT_REFUSED] = "refused",     [EB_ATTEMPT_ANSWERED] = "answered",
    [EB_ATTEMPT_TOKENS] = "tokens",       [EB_ATTEMPT_ENDED] = "ended",
    [EB_ATTEMPT_BROKEN] = "broken",       [EB_ATTEMPT_MALFORMED] = "malformed",
    [EB_ATTEMPT_STREAMING] = "streaming", [EB_ATTEMPT_EVENTS] = "events",
};

static void
free_attempt(gpointer pointer)
{
    EbAttempt *attempt = pointer;
    g_free(attempt->server_id);
    g_free(attempt);
}

static void
free_attempt_list(gpointer list)
{
    g_ptr_array_free(list, TRUE);
}

static void
free_outcome_query(gpointer pointer)
{
    EbOutcomeQuery *pending = pointer;
    EbOutcomeQuery_Clear(pending);
    g_free(pending);
}

static void
free_request(gpointer pointer)
{
    EbRequest *request = pointer;
    for (uint32_t i = 0; i < EB_CONFIG_MAX_STAGES; i++) {
        json_decref(request->results[i]);
    }
    for (uint32_t i = 0; i < request->excluded_count; i++) {
        g_free(request->excluded[i]);
    }
    if (request->summary != NULL) {
        EbRequestSummary_Free(request->summary);
    }
    g_array_free(request->waiters, TRUE);
    g_queue_clear_full(&request->outcome_queries, free_outcome_query);
    g_string_free(request->text, TRUE);
    json_decref(request->body);
    g_free(request->key);
    g_free(request->traceparent);
    g_free(request->claim_text);
    EbForwardState_Free(request->forward);
    EbConfig_Unref(request->config);
    g_free(request);
}

static gint
compare_timers(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const EbRequest *a = left;
    const EbRequest *b = right;
    if (a->timer_us != b->timer_us) {
        return a->timer_us < b->timer_us ? -1 : 1;
    }
    return a->id < b->id ? -1 : a->id > b->id;
}

EbDispatcher *
EbDispatcher_New(const EbDispatcherOptions *options)
{
    assert(options->actions != NULL && options->random != NULL);
    assert(options->ledger != NULL && options->limiter != NULL);
    assert(options->quarantine != NULL && options->metrics != NULL);
    assert(options->directives != NULL);
    EbDispatcher *dispatcher = g_new0(EbDispatcher, 1);
    dispatcher->drain_end_us = INT64_MAX;
    dispatcher->options = *options;
    dispatcher->daemon_count = 1;
    if (options->max_requests == 0) {
        dispatcher->options.max_requests = DEFAULT_MAX_REQUESTS;
    }
    dispatcher->instance = g_strdup(options->instance);
    dispatcher->failure_domain = g_strdup(options->failure_domain);
    dispatcher->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                              EbDispatcherPool_Free);
    dispatcher->current_pools = g_ptr_array_new();
    dispatcher->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    dispatcher->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
    dispatcher->claims =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatcher->queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatcher->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatcher->holders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    dispatcher->attempts_by_server = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, free_attempt_list);
    dispatcher->attempts_by_fingerprint =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    dispatcher->timers = g_tree_new_full(compare_timers, NULL, NULL, NULL);
    dispatcher->stale_timers = g_ptr_array_new();
    dispatcher->finished = g_ptr_array_new_with_free_func(free_request);
    g_queue_init(&dispatcher->broken_calls);
    g_queue_init(&dispatcher->recent);
    g_queue_init(&dispatcher->answerable_queries);
    return dispatcher;
}

void
EbDispatcher_Free(EbDispatcher *dispatcher)
{
    if (dispatcher == NULL) {
        return;
    }
    g_hash_table_destroy(dispatcher->attempts);
    g_hash_table_destroy(dispatcher->requests);
    g_hash_table_destroy(dispatcher->pools);
    g_hash_table_destroy(dispatcher->claims);
    g_hash_table_destroy(dispatcher->queries);
    g_hash_table_destroy(dispatcher->jobs);
    g_hash_table_destroy(dispatcher->holders);
    g_hash_table_destroy(dispatcher->attempts_by_server);
    g_hash_table_destroy(dispatcher->attempts_by_fingerprint);
    g_tree_destroy(dispatcher->timers);
    g_ptr_array_free(dispatcher->current_pools, TRUE);
    g_ptr_array_free(dispatcher->stale_timers, TRUE);
    g_ptr_array_free(dispatcher->finished, TRUE);
    g_queue_clear_full(&dispatcher->broken_calls, EbBrokenCall_Free);
    g_queue_clear_full(&dispatcher->recent,
                       (GDestroyNotify)EbRequestSummary_Free);
    g_queue_clear_full(&dispatcher->answerable_queries, free_outcome_query);
    EbConfig_Unref(dispatcher->config);
    g_free(dispatcher->instance);
    g_free(dispatcher->failure_domain);
    g_free(dispatcher);
}

void
EbDispatcher_SetConfig(EbDispatcher *dispatcher, EbConfig *config,
                       int64_t now_us)
{
    assert(config != NULL);
    EbDispatcher_ApplyPools(dispatcher, config, now_us);
    EbConfig *previous = dispatcher->config;
    dispatcher->config = EbConfig_Ref(config);
    EbConfig_Unref(previous);
    EbDispatcher_RunPending(dispatcher, now_us);
}

void
EbDispatcher_SetIncarnation(EbDispatcher *dispatcher, uint64_t incarnation)
{
    dispatcher->options.incarnation = incarnation;
}

void
EbDispatcher_SetDaemonCount(EbDispatcher *dispatcher, uint32_t daemons,
                            int64_t now_us)
{
    dispatcher->daemon_count = daemons;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbDispatcherPool *pool = value;
        EbPool_SetDaemonCount(pool->pool, daemons);
        pool->dirty = true;
    }
    EbDispatcher_RunPending(dispatcher, now_us);
}

/* Timers */

static int64_t
next_timer(const EbRequest *request)
{
    int64_t timer_us = request->answered ? INT64_MAX : request->deadline_us;
    if (request->retry_at_us > 0) {
        timer_us = MIN(timer_us, request->retry_at_us);
    }
    if (request->hedge_at_us > 0) {
        timer_us = MIN(timer_us, request->hedge_at_us);
    }
    for (uint32_t i = 0; i < request->attempt_count; i++) {
        timer_us = MIN(timer_us, request->attempts[i]->timeout_at_us);
    }
    return timer_us;
}

static void
set_timer(EbDispatcher *dispatcher, EbRequest *request, int64_t timer_us)
{
    if (timer_us == request->timer_us) {
        return;
    }
    if (request->timer_us != INT64_MAX) {
        g_tree_remove(dispatcher->timers, request);
    }
    request->timer_us = timer_us;
    if (timer_us != INT64_MAX) {
        g_tree_insert(dispatcher->timers, request, request);
    }
}

static bool
serve_pools(EbDispatcher *dispatcher, int64_t now_us)
{
    bool served = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbDispatcherPool *pool = value;
        if (pool->dirty) {
            pool->dirty = false;
            EbDispatcherPool_ServeQueue(dispatcher, pool, now_us);
            served = true;
        }
    }
    return served;
}

static void
add_recent(EbDispatcher *dispatcher, EbRequest *request)
{
    g_queue_push_head(&dispatcher->recent, request->summary);
    request->summary = NULL;
    if (dispatcher->recent.length > EB_REQUEST_MAX_RECENT) {
        EbRequestSummary_Free(g_queue_pop_tail(&dispatcher->recent));
    }
}

void
EbDispatcher_RunPending(EbDispatcher *dispatcher, int64_t now_us)
{
    bool progress = true;
    while (progress) {
        progress = EbDispatcher_ProcessLedgerResults(dispatcher, now_us);
        progress = serve_pools(dispatcher, now_us) || progress;
    }
    for (guint i = 0; i < dispatcher->stale_timers->len; i++) {
        EbRequest *request = g_ptr_array_index(dispatcher->stale_timers, i);
        request->timer_stale = false;
        set_timer(dispatcher, request,
                  EbRequest_IsFinished(request) ? INT64_MAX
                                                : next_timer(request));
    }
    g_ptr_array_set_size(dispatcher->stale_timers, 0);
    for (guint i = 0; i < dispatcher->finished->len; i++) {
        EbRequest *request = g_ptr_array_index(dispatcher->finished, i);
        EbDispatcher_ReleasePools(dispatcher, request);
        add_recent(dispatcher, request);
    }
    g_ptr_array_set_size(dispatcher->finished, 0);
}

/* Runs the step that was scheduled for retry_at_us. The request's state tells
 * which step it is. */
static void
retry_now(EbRequest *request, int64_t now_us)
{
    request->retry_at_us = 0;
    EbRequestState state = request->summary->state;
    if (request->call_sent || state == EB_REQUEST_DETACHED ||
        state == EB_REQUEST_ASKING_OWNER) {
        EbRequest_LookUpOutcome(request, now_us);
    }
    else if (state == EB_REQUEST_CLAIMING) {
        EbRequest_Claim(request, now_us);
    }
    else if (request->forward == NULL ||
             !EbRequest_PrepareAgain(request, now_us)) {
        EbRequest_Enqueue(request, now_us);
    }
}

static void
handle_deadline(EbRequest *request, int64_t now_us)
{
    bool stream = request->forward != NULL &&
                  EbRequest_Stage(request)->kind == EB_STAGE_GENERATE;
    if (EbRequest_HasCallInFlight(request) && !stream) {
        EbRequest_Detach(request, EB_REASON_DEADLINE_EXCEEDED, now_us);
    }
    else {
        EbRequest_Fail(request, EB_REASON_DEADLINE_EXCEEDED, NULL, now_us);
    }
}

/* Handles the deadline, time-outs, hedge and retry of a request that are due.
 * Each step clears the time that it handles, so the request's next timer lies
 * in the future. */
static void
run_timers(EbRequest *request, int64_t now_us)
{
    EbRequest_MarkTimerStale(request);
    if (!request->answered && request->deadline_us <= now_us) {
        handle_deadline(request, now_us);
    }
    for (uint32_t i = request->attempt_count; i > 0; i--) {
        /* Handling one time-out may end other attempts as well. */
        if (EbRequest_IsFinished(request) || i > request->attempt_count) {
            continue;
        }
        if (request->attempts[i - 1]->timeout_at_us <= now_us) {
            EbAttempt_TimedOut(request->attempts[i - 1], now_us);
        }
    }
    if (!EbRequest_IsFinished(request) && request->hedge_at_us > 0 &&
        request->hedge_at_us <= now_us) {
        EbRequest_Hedge(request, now_us);
    }
    if (!EbRequest_IsFinished(request) && request->retry_at_us > 0 &&
        request->retry_at_us <= now_us) {
        retry_now(request, now_us);
    }
}

static void
tick_pools(EbDispatcher *dispatcher, int64_t now_us)
{
    bool tick = now_us >= dispatcher->pool_tick_us;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbDispatcherPool *pool = value;
        if (tick) {
            EbPool_Tick(pool->pool, now_us);
        }
        pool->dirty = pool->dirty || EbQueue_Count(pool->queue) > 0;
    }
    if (tick) {
        dispatcher->pool_tick_us = now_us + POOL_TICK_US;
    }
}

void
EbDispatcher_Tick(EbDispatcher *dispatcher, int64_t now_us)
{
    GTreeNode *node = g_tree_node_first(dispatcher->timers);
    while (node != NULL) {
        EbRequest *request = g_tree_node_key(node);
        if (request->timer_us > now_us) {
            break;
        }
        set_timer(dispatcher, request, INT64_MAX);
        run_timers(request, now_us);
        node = g_tree_node_first(dispatcher->timers);
    }
    EbDispatcher_CheckBrokenCalls(dispatcher, now_us);
    tick_pools(dispatcher, now_us);
    EbDispatcher_RunPending(dispatcher, now_us);
}

int64_t
EbDispatcher_NextTimer(const EbDispatcher *dispatcher)
{
    int64_t next_us = dispatcher->current_pools->len > 0
                          ? dispatcher->pool_tick_us
                          : INT64_MAX;
    GTreeNode *node = g_tree_node_first(dispatcher->timers);
    if (node != NULL) {
        const EbRequest *request = g_tree_node_key(node);
        next_us = MIN(next_us, request->timer_us);
    }
    next_us = MIN(next_us, EbDispatcher_NextBrokenCallCheck(dispatcher));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbDispatcherPool *pool = value;
        next_us = MIN(next_us, EbQueue_NextExpiry(pool->queue));
        next_us = MIN(next_us, pool->admission_us);
    }
    return next_us;
}

/* Requests and events */

uint64_t
EbDispatcher_Submit(EbDispatcher *dispatcher, const EbSubmission *submission,
                    int64_t now_us)
{
    uint64_t id = EbRequest_Submit(dispatcher, submission, now_us);
    EbDispatcher_RunPending(dispatcher, now_us);
    return id;
}

void
EbDispatcher_CallerGone(EbDispatcher *dispatcher, uint64_t id, int64_t now_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->requests, &id);
    if (request != NULL && !request->answered) {
        EbRequest_CallerGone(request, now_us);
        EbDispatcher_RunPending(dispatcher, now_us);
    }
}

void
EbDispatcher_AttemptEvent(EbDispatcher *dispatcher,
                          const EbAttemptEvent *event, int64_t now_us)
{
    EbAttempt *attempt =
        g_hash_table_lookup(dispatcher->attempts, &event->attempt_id);
    if (attempt == NULL) {
        EB_EMIT(dispatcher->options.events, EB_EVENT_LATE_ANSWER_DROPPED,
                EB_INTEGER_FIELD("attempt_id", event->attempt_id));
        return;
    }
    EbAttempt_HandleEvent(attempt, event, now_us);
    EbDispatcher_RunPending(dispatcher, now_us);
}

void
EbDispatcher_SetRoomIn(EbDispatcher *dispatcher, uint64_t job,
                       int64_t room_in_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->jobs, &job);
    if (request != NULL && room_in_us > 0) {
        EbRequest_SetRetryAfter(request, room_in_us);
    }
}

void
EbDispatcher_PreparationEnded(EbDispatcher *dispatcher, uint64_t job,
                              EbPreparedStatus status, char *const *handles,
                              uint32_t handle_count, int64_t now_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->jobs, &job);
    if (request != NULL) {
        EbRequest_PreparationEnded(request, job, status, handles, handle_count,
                                   now_us);
        EbDispatcher_RunPending(dispatcher, now_us);
    }
}

void
EbDispatcher_LedgerResults(EbDispatcher *dispatcher, int64_t now_us)
{
    EbDispatcher_RunPending(dispatcher, now_us);
}

void
EbDispatcher_OwnerReply(EbDispatcher *dispatcher, uint64_t query, bool reached,
                        const EbLedgerLocalClaim *local, int64_t now_us)
{
    EbRequest *request = g_hash_table_lookup(dispatcher->queries, &query);
    if (request != NULL) {
        EbRequest_OwnerReplied(request, reached ? local : NULL, now_us);
        EbDispatcher_RunPending(dispatcher, now_us);
    }
}

/* Leaving servers */

void
EbDispatcher_ServerLeaving(EbDispatcher *dispatcher, const char *server_id,
                           uint64_t incarnation, bool leaving,
                           const char *source, int64_t now_us)
{
    EbDispatcher_MarkLeaving(dispatcher, server_id, incarnation, leaving,
                             source, now_us);
    EbDispatcher_RunPending(dispatcher, now_us);
}

/* Evacuations */

void
EbDispatcher_EvacuationsChanged(EbDispatcher *dispatcher, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbDispatcherPool *pool = value;
        EbPool_EvacuationsChanged(pool->pool);
        pool->dirty = true;
    }
    EbDispatcher_RunPending(dispatcher, now_us);
}

uint32_t
EbDispatcher_CountCalls(const EbDispatcher *dispatcher,
                        const char *failure_domain)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->pools);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbDispatcherPool *pool = value;
        count += EbPool_CountCalls(pool->pool, failure_domain);
    }
    return count;
}

/* Speeds of servers */

void
EbDispatcher_MergeSpeed(EbDispatcher *dispatcher, const EbSpeedReport *report,
                        int64_t now_us)
{
    for (guint i = 0; i < dispatcher->current_pools->len; i++) {
        EbDispatcherPool *pool =
            g_ptr_array_index(dispatcher->current_pools, i);
        EbPool_MergeSpeed(pool->pool, report, now_us);
    }
}

uint32_t
EbDispatcher_TakeSpeedReports(EbDispatcher *dispatcher, EbSpeedReport *reports,
                              uint32_t max, int64_t now_us)
{
    uint32_t count = 0;
    for (guint i = 0; i < dispatcher->current_pools->len; i++) {
        EbDispatcherPool *pool =
            g_ptr_array_index(dispatcher->current_pools, i);
        count += EbPool_TakeSpeedReports(pool->pool, &reports[count],
                                         max - count, now_us);
    }
    return count;
}

/* Shutdown */

/* Puts waiting requests into their queues again, now with the end of the drain
 * as their limit. */
static void
requeue_waiting(EbDispatcher *dispatcher, int64_t now_us)
{
    GList *requests = g_hash_table_get_values(dispatcher->requests);
    for (GList *item = requests; item != NULL; item = item->next) {
        EbRequest *request = item->data;
        if (request->waiting) {
            EbQueue_Remove(request->pools[request->stage]->queue, request->id);
            request->waiting = false;
            EbRequest_Enqueue(request, now_us);
        }
    }
    g_list_free(requests);
}

void
EbDispatcher_Drain(EbDispatcher *dispatcher, int64_t end_us, int64_t now_us)
{
    if (dispatcher->draining) {
        return;
    }
    dispatcher->draining = true;
    dispatcher->drain_end_us = end_us;
    requeue_waiting(dispatcher, now_us);
    EB_EMIT(
        dispatcher->options.events, EB_EVENT_DRAIN_STARTED,
        EB_STRING_FIELD("instance", dispatcher->instance),
        EB_INTEGER_FIELD("live_requests", EbDispatcher_LiveCount(dispatcher)));
}

void
EbDispatcher_Abort(EbDispatcher *dispatcher, int64_t now_us)
{
    dispatcher->draining = true;
    GList *requests = g_hash_table_get_values(dispatcher->requests);
    for (GList *item = requests; item != NULL; item = item->next) {
        EbRequest *request = item->data;
        if (!EbRequest_IsFinished(request)) {
            EbRequest_Fail(request, EB_REASON_SHUTDOWN, NULL, now_us);
        }
    }
    g_list_free(requests);
    EbDispatcher_RunPending(dispatcher, now_us);
}

size_t
EbDispatcher_LiveCount(const EbDispatcher *dispatcher)
{
    return g_hash_table_size(dispatcher->requests);
}

size_t
EbDispatcher_PoolCount(const EbDispatcher *dispatcher)
{
    return dispatcher->current_pools->len;
}

const EbPool *
EbDispatcher_Pool(const EbDispatcher *dispatcher, size_t index)
{
    assert(index < dispatcher->current_pools->len);
    const EbDispatcherPool *pool =
        g_ptr_array_index(dispatcher->current_pools, index);
    return pool->pool;
}
