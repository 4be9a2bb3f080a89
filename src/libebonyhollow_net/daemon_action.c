/* Routes actions to clients, and the clients' events to the decisions. */
#include <assert.h>

#include "daemon_internal.h"

/* Actions performed before the loop looks at sockets again. */
#define MAX_ACTIONS_PER_TURN 4096

typedef struct {
    EbAction action;
    uint64_t attempt_id;
} PendingAction;

/* The stream of a request, for backpressure. */
typedef struct {
    uint64_t request;
    uint64_t attempt_id; /* whose tokens were relayed last */
    bool paused;
} Flow;

typedef struct {
    uint64_t operation_id;
    EbDaemonStored done;
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
    event_active(daemon->drain_event, EV_TIMEOUT, 0);
}

static void
pause_attempt(EbDaemon *daemon, uint64_t attempt_id, bool paused)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_Pause(daemon->forward_client, attempt_id, paused);
    }
    else {
        EbBackendClient_Pause(daemon->backend, attempt_id, paused);
    }
}

static void
send_attempt(EbDaemon *daemon, const EbSendAttempt *send)
{
    if (send->forward != NULL) {
        EbDaemon_SendForward(daemon, send);
    }
    else {
        EbBackendClient_Send(daemon->backend, send);
    }
}

static void
cancel_attempt(EbDaemon *daemon, uint64_t attempt_id)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_Cancel(daemon->forward_client, attempt_id);
    }
    else {
        EbBackendClient_Cancel(daemon->backend, attempt_id);
    }
}

static void
retire_connections(EbDaemon *daemon, const char *server_id)
{
    if (daemon->adapter != NULL) {
        EbForwardClient_CloseIdle(daemon->forward_client, server_id);
    }
    else {
        EbBackendClient_CloseIdle(daemon->backend, server_id);
    }
}

static void
give_answer(EbDaemon *daemon, const EbAnswer *answer)
{
    g_hash_table_remove(daemon->flows, &answer->request);
    if (daemon->adapter != NULL) {
        EbForwardServer_Answer(daemon->forward_server, answer);
    }
    else {
        EbCallerServer_Answer(daemon->callers, answer);
    }
}

static void
relay(EbDaemon *daemon, const EbRelay *tokens, uint64_t attempt_id)
{
    Flow *flow = g_hash_table_lookup(daemon->flows, &tokens->request);
    if (flow == NULL) {
        flow = g_new0(Flow, 1);
        flow->request = tokens->request;
        g_hash_table_insert(daemon->flows, &flow->request, flow);
    }
    if (attempt_id != 0 && attempt_id != flow->attempt_id) {
        flow->attempt_id = attempt_id;
        pause_attempt(daemon, attempt_id, flow->paused);
    }
    if (daemon->adapter != NULL) {
        EbForwardServer_Relay(daemon->forward_server, tokens);
    }
    else {
        EbCallerServer_Relay(daemon->callers, tokens);
    }
}

static void
perform(EbDaemon *daemon, const PendingAction *pending)
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
        relay(daemon, &action->as.relay, pending->attempt_id);
        break;
    case EB_ACTION_ANSWER:
        give_answer(daemon, &action->as.answer);
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
        EbPlatformClient_StartCall(daemon->platform, &action->as.store);
        break;
    case EB_ACTION_PEER_SEND:
        EbPeerLinks_Send(daemon->links, action->as.peer.peer,
                         action->as.peer.bytes, action->as.peer.byte_count);
        break;
    case EB_ACTION_PEER_CONNECT:
        EbPeerLinks_Connect(daemon->links, action->as.peer.address);
        break;
    case EB_ACTION_PEER_CLOSE:
        EbPeerLinks_Close(daemon->links, action->as.peer.peer);
        break;
    case EB_ACTION_COUNT:
        assert(false);
    }
}

/* Collects what the modules have ready. */
static void
collect(EbDaemon *daemon, int64_t now_us)
{
    if (daemon->adapter != NULL) {
        EbDiscovery_ApplyChanges(daemon, now_us);
    }
    EbDaemon_SendPreparationResults(daemon, now_us);
    EbDispatcher_LedgerResults(daemon->dispatcher, now_us);
    EbDaemon_AnswerOutcomeQueries(daemon, now_us);
    EbDaemon_PublishQuarantine(daemon, now_us);
    EbDaemon_CollectActions(daemon, 0);
}

void
EbDaemon_OnDrainEvent(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbDaemon *daemon = arg;
    collect(daemon, EbClock_Monotonic());
    PendingAction *pending;
    for (int i = 0;
         i < MAX_ACTIONS_PER_TURN &&
         (pending = g_queue_pop_head(&daemon->pending_actions)) != NULL;
         i++) {
        perform(daemon, pending);
        EbAction_Clear(&pending->action);
        g_free(pending);
        if (daemon->pending_actions.length == 0) {
            collect(daemon, EbClock_Monotonic());
        }
    }
    if (daemon->pending_actions.length > 0) {
        EbDaemon_ScheduleActions(daemon);
    }
    EbDaemon_CheckDrain(daemon, EbClock_Monotonic());
    EbDaemon_ArmTimer(daemon);
}

void
EbDaemon_OnAttempt(void *context, const EbAttemptEvent *event)
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
    EbDaemon_ReportUrgent(daemon, now_us);
    EbDaemon_ScheduleActions(daemon);
    return handle;
}

void
EbDaemon_OnCallerGone(void *context, uint64_t request)
{
    EbDaemon *daemon = context;
    g_hash_table_remove(daemon->flows, &request);
    EbDispatcher_CallerGone(daemon->dispatcher, request, EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_OnFlowControl(void *context, uint64_t request, bool paused)
{
    EbDaemon *daemon = context;
    Flow *flow = g_hash_table_lookup(daemon->flows, &request);
    if (flow != NULL) {
        flow->paused = paused;
        pause_attempt(daemon, flow->attempt_id, paused);
    }
}

void
EbDaemon_Store(EbDaemon *daemon, EbStoreOperation operation, const char *kind,
               const char *name, uint64_t version, json_t *value,
               EbDaemonStored done, void *context)
{
    StoreCall *call = g_new0(StoreCall, 1);
    call->operation_id = ++daemon->last_operation_id;
    call->done = done;
    call->context = context;
    g_hash_table_insert(daemon->stores, &call->operation_id, call);
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
        call = g_hash_table_lookup(daemon->stores, &reply->operation_id);
        if (call != NULL) {
            g_hash_table_steal(daemon->stores, &reply->operation_id);
            call->done(call->context, reply);
            g_free(call);
        }
        break;
    case EB_STORE_OWNER_COUNT:
        assert(false);
    }
    EbDaemon_ScheduleActions(daemon);
}
