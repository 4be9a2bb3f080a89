/* Passes the actions that the modules queue to the clients and servers, and
 * the events that these report back to the modules. */
#include <assert.h>

#include "daemon_internal.h"

/* Number of actions performed before the event loop polls sockets again. */
#define MAX_ACTIONS_PER_ITERATION 4096

typedef struct {
    EbAction action;
    uint64_t attempt_id;
} PendingAction;

/* Flow control of the response that is relayed to the caller of a request. */
typedef struct {
    uint64_t request;
    uint64_t attempt_id; /* attempt whose tokens were relayed last */
    bool paused;         /* the caller reads too slowly */
} RelayState;

typedef struct {
    uint64_t operation_id;
    EbDaemonStoreDone done;
    void *context;
} StoreCall;

void
EbDaemon_CollectActions(EbDaemon *daemon, uint64_t attempt_id)
{
    EbAction action;
    while (EbActionQueue_Pop(daemon->actions, &action)) {
        PendingAction *pending = g_new0(PendingAction, 1);
        pending->action = action;
        pending->attempt_id = attempt_id;
        g_queue_push_tail(&daemon->pending_actions, pending);
    }
}

void
EbDaemon_FreePendingActions(EbDaemon *daemon)
{
    PendingAction *pending;
    while ((pending = g_queue_pop_head(&daemon->pending_actions)) != NULL) {
        EbAction_Clear(&pending->action);
        g_free(pending);
    }
}

void
EbDaemon_ScheduleActions(EbDaemon *daemon)
{
    event_active(daemon->action_event, EV_TIMEOUT, 0);
}

static void
pause_attempt(EbDaemon *daemon, uint64_t attempt_id, bool paused)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_Pause(daemon->forward_client, attempt_id, paused);
    }
    else {
        EbBackendClient_Pause(daemon->backend_client, attempt_id, paused);
    }
}

static void
send_attempt(EbDaemon *daemon, const EbSendAttempt *send)
{
    if (send->forward != NULL) {
        EbDaemon_SendForward(daemon, send);
    }
    else {
        EbBackendClient_Send(daemon->backend_client, send);
    }
}

static void
cancel_attempt(EbDaemon *daemon, uint64_t attempt_id)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_Cancel(daemon->forward_client, attempt_id);
    }
    else {
        EbBackendClient_Cancel(daemon->backend_client, attempt_id);
    }
}

static void
retire_connections(EbDaemon *daemon, const char *server_id)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_CloseIdle(daemon->forward_client, server_id);
    }
    else {
        EbBackendClient_CloseIdle(daemon->backend_client, server_id);
    }
}

static void
send_answer(EbDaemon *daemon, const EbAnswer *answer)
{
    g_hash_table_remove(daemon->relays, &answer->request);
    if (daemon->adapter != NULL) {
        EbForwardServer_Answer(daemon->forward_server, answer);
    }
    else {
        EbCallerServer_Answer(daemon->caller_server, answer);
    }
}

static void
relay_to_caller(EbDaemon *daemon, const EbRelay *relay, uint64_t attempt_id)
{
    RelayState *state = g_hash_table_lookup(daemon->relays, &relay->request);
    if (state == NULL) {
        state = g_new0(RelayState, 1);
        state->request = relay->request;
        g_hash_table_insert(daemon->relays, &state->request, state);
    }
    if (attempt_id != 0 && attempt_id != state->attempt_id) {
        state->attempt_id = attempt_id;
        pause_attempt(daemon, attempt_id, state->paused);
    }
    if (daemon->adapter != NULL) {
        EbForwardServer_Relay(daemon->forward_server, relay);
    }
    else {
        EbCallerServer_Relay(daemon->caller_server, relay);
    }
}

static void
perform_action(EbDaemon *daemon, const PendingAction *pending)
{
    const EbAction *action = &pending->action;
    switch (action->kind) {
    case EB_ACTION_SEND_ATTEMPT:
        send_attempt(daemon, &action->as.send);
        break;
    case EB_ACTION_CANCEL_ATTEMPT:
        cancel_attempt(daemon, action->as.cancel_attempt_id);
        break;
    case EB_ACTION_RETIRE_CONNECTIONS:
        retire_connections(daemon, action->as.retire_server_id);
        break;
    case EB_ACTION_RELAY:
        relay_to_caller(daemon, &action->as.relay, pending->attempt_id);
        break;
    case EB_ACTION_ANSWER:
        send_answer(daemon, &action->as.answer);
        break;
    case EB_ACTION_PREPARE:
        EbDaemon_Prepare(daemon, &action->as.prepare);
        break;
    case EB_ACTION_END_PREPARATION:
        EbDaemon_EndPreparation(daemon, action->as.end_job);
        break;
    case EB_ACTION_SEND_BATCH:
        EbDaemon_SendBatch(daemon, &action->as.batch);
        break;
    case EB_ACTION_RELEASE_RESULTS:
        EbDaemon_ReleaseResults(daemon, &action->as.release);
        break;
    case EB_ACTION_STORE:
        EbPlatformClient_StartCall(daemon->platform_client, &action->as.store);
        break;
    case EB_ACTION_PEER_SEND:
        EbPeerLinks_Send(daemon->peer_links, action->as.peer.peer,
                         action->as.peer.bytes, action->as.peer.byte_count);
        break;
    case EB_ACTION_PEER_CONNECT:
        EbPeerLinks_Connect(daemon->peer_links, action->as.peer.address);
        break;
    case EB_ACTION_PEER_CLOSE:
        EbPeerLinks_Close(daemon->peer_links, action->as.peer.peer);
        break;
    case EB_ACTION_COUNT:
        assert(false);
    }
}

/* Runs the deferred work of the modules and collects the actions that they
 * queued. */
static void
collect_module_actions(EbDaemon *daemon, int64_t now_us)
{
    if (daemon->adapter != NULL) {
        EbDiscovery_ApplyChanges(daemon, now_us);
    }
    EbDaemon_SendPreparationResults(daemon, now_us);
    EbDispatcher_LedgerResults(daemon->dispatcher, now_us);
    EbDaemon_AnswerOutcomeQueries(daemon, now_us);
    EbDaemon_PublishSuspicions(daemon, now_us);
    EbDaemon_PublishLimits(daemon, now_us);
    EbDaemon_PublishQuarantine(daemon, now_us);
    EbDaemon_CollectActions(daemon, 0);
}

void
EbDaemon_OnActionEvent(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbDaemon *daemon = arg;
    collect_module_actions(daemon, EbClock_Monotonic());
    PendingAction *pending;
    for (int i = 0;
         i < MAX_ACTIONS_PER_ITERATION &&
         (pending = g_queue_pop_head(&daemon->pending_actions)) != NULL;
         i++) {
        perform_action(daemon, pending);
        EbAction_Clear(&pending->action);
        g_free(pending);
        if (daemon->pending_actions.length == 0) {
            collect_module_actions(daemon, EbClock_Monotonic());
        }
    }
    if (daemon->pending_actions.length > 0) {
        EbDaemon_ScheduleActions(daemon);
    }
    EbDaemon_CheckDrain(daemon, EbClock_Monotonic());
    EbDaemon_ArmTimer(daemon);
}

void
EbDaemon_OnAttemptEvent(void *context, const EbAttemptEvent *event)
{
    EbDaemon *daemon = context;
    EbDaemon_CollectActions(daemon, 0);
    EbDispatcher_AttemptEvent(daemon->dispatcher, event, EbClock_Monotonic());
    EbDaemon_CollectActions(daemon, event->kind == EB_ATTEMPT_TOKENS ||
                                            event->kind == EB_ATTEMPT_EVENTS
                                        ? event->attempt_id
                                        : 0);
    EbDaemon_ScheduleActions(daemon);
}

uint64_t
EbDaemon_OnSubmit(void *context, const EbSubmission *submission)
{
    EbDaemon *daemon = context;
    int64_t now_us = EbClock_Monotonic();
    uint64_t handle =
        EbDispatcher_Submit(daemon->dispatcher, submission, now_us);
    EbDaemon_ReportUrgentUsage(daemon, now_us);
    EbDaemon_ScheduleActions(daemon);
    return handle;
}

void
EbDaemon_OnCallerGone(void *context, uint64_t request)
{
    EbDaemon *daemon = context;
    g_hash_table_remove(daemon->relays, &request);
    EbDispatcher_CallerGone(daemon->dispatcher, request, EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_OnFlowControl(void *context, uint64_t request, bool paused)
{
    EbDaemon *daemon = context;
    RelayState *state = g_hash_table_lookup(daemon->relays, &request);
    if (state != NULL) {
        state->paused = paused;
        pause_attempt(daemon, state->attempt_id, paused);
    }
}

void
EbDaemon_CallStore(EbDaemon *daemon, EbStoreOperation operation,
                   const char *kind, const char *name, uint64_t version,
                   json_t *value, EbDaemonStoreDone done, void *context)
{
    StoreCall *call = g_new0(StoreCall, 1);
    call->operation_id = ++daemon->last_operation_id;
    call->done = done;
    call->context = context;
    g_hash_table_insert(daemon->store_calls, &call->operation_id, call);
    EbAction action = {.kind = EB_ACTION_STORE};
    action.as.store = (EbStoreRequest){.owner = EB_STORE_OWNER_ADMIN,
                                       .operation_id = call->operation_id,
                                       .operation = operation,
                                       .kind = g_strdup(kind),
                                       .name = g_strdup(name),
                                       .version = version,
                                       .value = json_incref(value)};
    EbActionQueue_Push(daemon->actions, &action);
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_OnStoreReply(void *context, const EbStoreReply *reply)
{
    EbDaemon *daemon = context;
    int64_t now_us = EbClock_Monotonic();
    StoreCall *call;
    switch (reply->owner) {
    case EB_STORE_OWNER_LEDGER:
        EbLedger_StoreReply(daemon->ledger, reply, now_us);
        break;
    case EB_STORE_OWNER_CONFIG:
        EbConfigManager_StoreReply(daemon->config_manager, reply, now_us);
        break;
    case EB_STORE_OWNER_QUARANTINE:
    case EB_STORE_OWNER_ADMIN:
        call = g_hash_table_lookup(daemon->store_calls, &reply->operation_id);
        if (call != NULL) {
            g_hash_table_steal(daemon->store_calls, &reply->operation_id);
            call->done(call->context, reply);
            g_free(call);
        }
        break;
    case EB_STORE_OWNER_COUNT:
        assert(false);
    }
    EbDaemon_ScheduleActions(daemon);
}
