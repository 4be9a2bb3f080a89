/* Forwarded requests and their preparations: connects the listener, the
 * modules, the backend servers and the daemons that batch work items. */
#include <string.h>

#include <xxhash.h>

#include "daemon_internal.h"
#include "ebonyhollow/placement.h"

/* A home whose link broke or did not come up is not chosen again for this
 * time. */
#define HOME_EXCLUSION_US 1500000
/* If the link to a newly chosen home does not come up within this time,
 * another home is chosen. */
#define LINK_TIMEOUT_US 700000
/* Limit on the memory for incomplete responses of backend servers. */
#define RESPONSE_DIVISOR 2 /* of the memory for clients */
#define MAX_RESPONSE_BYTES ((size_t)32 * 1024 * 1024)

_Static_assert(EB_FORWARD_MAX_HANDLE_BYTES <= EB_MESSAGE_MAX_NAME_BYTES,
               "a message between daemons carries every handle");

static uint64_t
on_submit(void *context, EbForwardCall *call)
{
    EbDaemon *daemon = context;
    EbSubmission submission = {.forward = call};
    submission.request_id = call->request_id;
    submission.pipeline = "";
    return EbDaemon_OnSubmit(daemon, &submission);
}

/* Handles what the head of the answer to a call with work items asks for. An
 * instance that refuses the call as misdirected is not the one that was
 * called.
 */
static void
record_batch_directive(EbDaemon *daemon, const EbAttemptEvent *event,
                       int64_t now_us)
{
    if (event->kind != EB_ATTEMPT_ANSWERED ||
        (event->http_status != 200 && event->http_status != 503)) {
        return;
    }
    const char *server_id = EbBatcher_RecordDirective(
        daemon->batcher, event->attempt_id, &event->directive, now_us);
    if (server_id != NULL && event->directive.leaving) {
        EbDispatcher_ServerLeaving(daemon->dispatcher, server_id, 0, true,
                                   "response", now_us);
    }
}

static void
handle_batch_event(EbDaemon *daemon, const EbAttemptEvent *event,
                   int64_t now_us)
{
    size_t count = EbBatcher_CallItemCount(daemon->batcher, event->attempt_id);
    if (count == 0) {
        /* A call that releases results, or an abandoned call. */
        EbReleaseCalls_RecordEnd(daemon->release_calls, event->attempt_id);
        return;
    }
    record_batch_directive(daemon, event, now_us);
    if (event->kind != EB_ATTEMPT_ANSWERED) {
        EbBatcher_CallFailed(daemon->batcher, event->attempt_id,
                             event->kind == EB_ATTEMPT_REFUSED
                                 ? EB_CALL_REFUSED
                                 : EB_CALL_BROKEN,
                             EbAttemptEventKind_names[event->kind], now_us);
        return;
    }
    if (event->http_status != 200) {
        char cause[80];
        g_snprintf(cause, sizeof(cause), "status %u %.*s", event->http_status,
                   (int)MIN(event->reply->body_bytes, 60),
                   (const char *)event->reply->body);
        EbBatcher_CallFailed(daemon->batcher, event->attempt_id,
                             event->http_status == 503 ? EB_CALL_OVERLOADED
                                                       : EB_CALL_ERROR,
                             cause, now_us);
        return;
    }
    EbWorkItemResult *results = g_new0(EbWorkItemResult, count);
    EbError error = {0};
    if (daemon->adapter->forward->read_batch_reply(event->reply, results,
                                                   count, &error)) {
        EbBatcher_CallAnswered(daemon->batcher, event->attempt_id, results,
                               count, now_us);
    }
    else {
        EbBatcher_CallFailed(daemon->batcher, event->attempt_id, EB_CALL_ERROR,
                             error.message, now_us);
    }
    for (size_t i = 0; i < count; i++) {
        g_free(results[i].handle);
    }
    g_free(results);
}

static void
on_event(void *context, const EbAttemptEvent *event)
{
    EbDaemon *daemon = context;
    if ((event->attempt_id & EB_BATCH_ATTEMPT_BIT) == 0) {
        EbDaemon_OnAttemptEvent(daemon, event);
        return;
    }
    handle_batch_event(daemon, event, EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

/* Sends a call to a server and drops the reference to its message. */
static void
send_message(EbDaemon *daemon, const EbForwardSend *call,
             EbHttpMessage *message)
{
    EbForwardClient_Send(daemon->forward_client, call, message);
    EbHttpMessage_Unref(message);
}

static void
send_release(void *context, const EbReleaseResults *release)
{
    EbDaemon *daemon = context;
    EbForwardSend call = {0};
    call.attempt_id = release->attempt_id;
    call.server_id = release->server_id;
    call.host = release->host;
    call.port = release->port;
    call.timeout_us = EB_RELEASE_CALLS_TIMEOUT_US;
    send_message(daemon, &call,
                 daemon->adapter->forward->write_release(
                     (const char *const *)release->handles->pdata,
                     release->handles->len));
}

bool
EbDaemon_CreateForward(EbDaemon *daemon, EbError *error)
{
    EbDiscovery_Init(daemon);
    daemon->preparations = EbPreparationTable_New();
    daemon->excluded_homes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    daemon->batcher =
        EbBatcher_New(&(EbBatcherOptions){.actions = daemon->actions,
                                          .events = daemon->events,
                                          .directives = daemon->directives,
                                          .metrics = daemon->metrics,
                                          .evacuations = daemon->evacuations});
    daemon->release_calls =
        EbReleaseCalls_New(send_release, daemon, daemon->events);
    daemon->forward_client = EbForwardClient_New(&(EbForwardClientOptions){
        .base = daemon->base,
        .protocol = daemon->adapter->forward,
        .max_buffered_bytes = MIN(
            (size_t)daemon->settings->client_memory_bytes / RESPONSE_DIVISOR,
            MAX_RESPONSE_BYTES),
        .event = on_event,
        .context = daemon});
    daemon->forward_server = EbForwardServer_New(
        &(EbForwardServerOptions){.base = daemon->base,
                                  .settings = daemon->settings,
                                  .protocol = daemon->adapter->forward,
                                  .events = daemon->events,
                                  .guard = daemon->client_guard,
                                  .submit = on_submit,
                                  .caller_gone = EbDaemon_OnCallerGone,
                                  .flow_control = EbDaemon_OnFlowControl,
                                  .context = daemon},
        error);
    return daemon->forward_server != NULL;
}

void
EbDaemon_FreeForward(EbDaemon *daemon)
{
    EbForwardServer_Free(daemon->forward_server);
    EbForwardClient_Free(daemon->forward_client);
    EbReleaseCalls_Free(daemon->release_calls);
    EbBatcher_Free(daemon->batcher);
    EbPreparationTable_Free(daemon->preparations);
    if (daemon->excluded_homes != NULL) {
        g_hash_table_destroy(daemon->excluded_homes);
    }
    EbDiscovery_Clear(&daemon->discovery);
}

/* Actions */

void
EbDaemon_SendForward(EbDaemon *daemon, const EbSendAttempt *send)
{
    const EbForwardProtocol *protocol = daemon->adapter->forward;
    EbForwardAttempt attempt = {
        .server_id = send->server_id,
        .customer = send->customer,
        .remaining_us = send->remaining_us,
        .resume_after = send->resume_after,
        .priority = send->priority,
    };
    if (send->inputs != NULL) {
        attempt.input_count = send->inputs->len;
        attempt.inputs = (const char *const *)send->inputs->pdata;
    }
    EbForwardSend call = {0};
    call.attempt_id = send->attempt_id;
    call.server_id = send->server_id;
    call.host = send->host;
    call.port = send->port;
    call.request_id = send->request_id;
    call.stream = send->stream;
    call.fresh_connection = send->fresh_connection;
    call.max_connections = send->max_connections;
    send_message(daemon, &call, protocol->write_call(send->forward, &attempt));
}

/* Sends a call to a server of a preparation stage. */
static void
send_preparation_call(EbDaemon *daemon, uint64_t attempt_id,
                      const char *server_id, const char *host, uint16_t port,
                      EbHttpMessage *message)
{
    EbForwardSend call = {0};
    call.attempt_id = attempt_id;
    call.server_id = server_id;
    call.host = host;
    call.port = port;
    send_message(daemon, &call, message);
}

void
EbDaemon_SendBatch(EbDaemon *daemon, const EbSendBatch *send)
{
    send_preparation_call(
        daemon, send->attempt_id, send->server_id, send->host, send->port,
        daemon->adapter->forward->write_batch(
            send->server_id, (const EbWorkItem *)send->items->data,
            send->items->len));
}

void
EbDaemon_ReleaseResults(EbDaemon *daemon, const EbReleaseResults *release)
{
    EbReleaseCalls_Add(daemon->release_calls, release);
}

/* Preparations */

static bool
is_eligible_home(const EbDaemon *daemon, const char *instance, int64_t now_us)
{
    const int64_t *until_us =
        g_hash_table_lookup(daemon->excluded_homes, instance);
    return until_us == NULL || *until_us <= now_us;
}

/* Reads a member, which may be this daemon. Returns true if it is alive and
 * not excluded from being a home. */
static bool
read_home_candidate(const EbDaemon *daemon, size_t index, int64_t now_us,
                    EbMemberView *view)
{
    EbMembership_View(daemon->membership, index, now_us, view);
    return view->state == EB_MEMBER_ALIVE &&
           is_eligible_home(daemon, view->instance, now_us);
}

/* If there are no candidates, this daemon is the home. */
const char *
EbDaemon_FindHome(const EbDaemon *daemon, const char *service, int64_t now_us)
{
    GArray *candidates = g_array_new(false, false, sizeof(EbHomeCandidate));
    EbMemberView view;
    size_t count = EbMembership_Count(daemon->membership);
    for (size_t i = 0; i < count; i++) {
        if (read_home_candidate(daemon, i, now_us, &view)) {
            EbHomeCandidate candidate = {.instance = view.instance,
                                         .capacity = view.capacity};
            g_array_append_val(candidates, candidate);
        }
    }
    const char *home = EbDaemonLoad_ChooseHome(
        (const EbHomeCandidate *)candidates->data, candidates->len, service);
    g_array_unref(candidates);
    return home != NULL ? home : daemon->settings->instance;
}

static bool
is_own_instance(const EbDaemon *daemon, const char *home)
{
    return strcmp(home, daemon->settings->instance) == 0;
}

static bool
send_prepare(EbDaemon *daemon, const EbPlacedPreparation *job, int64_t now_us)
{
    const EbPreparationJob *spec = &job->spec;
    int64_t due_us = spec->due_us - now_us;
    EbMessage message = {
        .kind = EB_MESSAGE_PREPARE,
        .job = spec->job,
        .request_id = spec->request_id,
        .service = spec->service,
        .stage = spec->stage,
        .piece_count = spec->item_count,
        .priority = spec->priority,
        .route_priority = spec->route_priority,
        .result_bytes = spec->result_bytes,
        .transfer_bytes = spec->transfer_bytes,
        .failure_domain = spec->failure_domain,
        .piece_key = spec->key,
        .due_in_us = due_us > 0 ? (uint64_t)due_us : 0,
        .late_us = due_us < 0 ? (uint64_t)-due_us : 0,
        .left_us = (uint64_t)MAX(spec->deadline_us - now_us, 0),
    };
    if (spec->inputs != NULL) {
        message.handles = (char **)spec->inputs->pdata;
        message.handle_count = spec->inputs->len;
    }
    return EbMembership_Send(daemon->membership, job->home, &message, now_us);
}

static void
place_job(EbDaemon *daemon, EbPlacedPreparation *job, int64_t now_us)
{
    EbPlacedPreparation_SetHome(
        job, EbDaemon_FindHome(daemon, job->spec.service, now_us), now_us);
    if (!is_own_instance(daemon, job->home) &&
        !send_prepare(daemon, job, now_us)) {
        EbPlacedPreparation_SetHome(job, daemon->settings->instance, now_us);
    }
    EB_EMIT(daemon->events, EB_EVENT_PREPARATION_PLACED,
            EB_STRING_FIELD("request_id", job->spec.request_id),
            EB_STRING_FIELD("service", job->spec.service),
            EB_INTEGER_FIELD("stage", job->spec.stage),
            EB_INTEGER_FIELD("pieces", job->spec.item_count),
            EB_STRING_FIELD("home", job->home),
            EB_INTEGER_FIELD("due_in_us", job->spec.due_us - now_us));
    if (is_own_instance(daemon, job->home)) {
        EbBatcher_AddJob(daemon->batcher, job->home, &job->spec, now_us);
    }
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_Prepare(EbDaemon *daemon, const EbPreparationJob *spec)
{
    EbPreparationJob placed = *spec;
    const EbConfig *config = EbConfigManager_Current(daemon->config_manager);
    const char *domain =
        spec->near_inputs && config != NULL
            ? EbPlacement_FindInputDomain(
                  config, daemon->adapter->forward->read_handle, spec->inputs)
            : NULL;
    if (domain != NULL) {
        placed.failure_domain = (char *)domain;
    }
    place_job(daemon, EbPreparationTable_Add(daemon->preparations, &placed),
              EbClock_Monotonic());
}

/* Releases the results of a job on the servers that keep them. Called for a
 * job whose home was abandoned, since that home may not release them. */
static void
release_job_results(EbDaemon *daemon, const EbPlacedPreparation *job,
                    int64_t now_us)
{
    for (guint i = 0; i < job->handles->len; i++) {
        const char *handle = g_ptr_array_index(job->handles, i);
        char *host = NULL;
        uint16_t port = 0;
        if (daemon->adapter->forward->read_handle(handle, &host, &port)) {
            EbBatcher_ReleaseResult(daemon->batcher, job->spec.service, host,
                                    port, handle, now_us);
        }
        g_free(host);
    }
}

void
EbDaemon_EndPreparation(EbDaemon *daemon, uint64_t number)
{
    int64_t now_us = EbClock_Monotonic();
    const EbPlacedPreparation *job =
        EbPreparationTable_Find(daemon->preparations, number);
    if (job == NULL) {
        return;
    }
    if (is_own_instance(daemon, job->home)) {
        EbBatcher_EndJob(daemon->batcher, job->home, number, now_us);
    }
    else {
        EbMessage message = {.kind = EB_MESSAGE_END_PREPARATION,
                             .job = number};
        EbMembership_Send(daemon->membership, job->home, &message, now_us);
    }
    if (job->home_abandoned) {
        release_job_results(daemon, job, now_us);
    }
    EbPreparationTable_Remove(daemon->preparations, number);
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_HandlePrepare(EbDaemon *daemon, const char *peer,
                       const EbMessage *message, int64_t now_us)
{
    EbPreparationJob spec = {
        .job = message->job,
        .request_id = message->request_id,
        .service = message->service,
        .stage = message->stage,
        .item_count = message->piece_count,
        .priority = (uint8_t)message->priority,
        .route_priority = (uint8_t)message->route_priority,
        .result_bytes = message->result_bytes,
        .transfer_bytes = message->transfer_bytes,
        .failure_domain = message->failure_domain,
        .key = message->piece_key,
        .due_us =
            now_us + (int64_t)message->due_in_us - (int64_t)message->late_us,
        .deadline_us = now_us + (int64_t)message->left_us,
    };
    if (message->piece_key == NULL) {
        spec.inputs = g_ptr_array_new_with_free_func(g_free);
        for (uint32_t i = 0; i < message->handle_count; i++) {
            g_ptr_array_add(spec.inputs, g_strdup(message->handles[i]));
        }
    }
    EbBatcher_AddJob(daemon->batcher, peer, &spec, now_us);
    if (spec.inputs != NULL) {
        g_ptr_array_unref(spec.inputs);
    }
}

/* Records the result that the home of a job reported. A report from any other
 * instance is ignored. */
static void
record_result(EbDaemon *daemon, const char *instance,
              const EbBatcherResult *result, int64_t now_us)
{
    if (EbPreparationTable_RecordResult(
            daemon->preparations, instance, result->job, result->status,
            result->handles, result->handle_count)) {
        EbDispatcher_SetRoomIn(daemon->dispatcher, result->job,
                               result->room_in_us);
        EbDispatcher_PreparationEnded(daemon->dispatcher, result->job,
                                      result->status, result->handles,
                                      result->handle_count, now_us);
    }
}

/* Returns whether all handles that a peer passed on can go into a request. A
 * peer of an earlier version doesn't check those that it gets from servers. */
static bool
are_valid_handles(const EbDaemon *daemon, char *const *handles, uint32_t count)
{
    bool valid = true;
    for (uint32_t i = 0; i < count && valid; i++) {
        valid = daemon->adapter->forward->is_handle(handles[i]);
    }
    return valid;
}

void
EbDaemon_HandlePrepared(EbDaemon *daemon, const char *peer,
                        const EbMessage *message, int64_t now_us)
{
    EbBatcherResult result = {.job = message->job,
                              .status = (EbPreparedStatus)message->prepared,
                              .room_in_us = (int64_t)message->room_in_us,
                              .handles = message->handles,
                              .handle_count = message->handle_count};
    if (!are_valid_handles(daemon, message->handles, message->handle_count)) {
        result = (EbBatcherResult){.job = message->job,
                                   .status = EB_PREPARED_FAILED};
    }
    record_result(daemon, peer, &result, now_us);
}

/* Sends a result to its requester. If the message can't be sent, the job ends
 * here and its requester is told that it failed. */
static void
send_result(EbDaemon *daemon, const EbBatcherResult *result,
            const EbMessage *message, int64_t now_us)
{
    if (EbMembership_Send(daemon->membership, result->requester, message,
                          now_us) ||
        result->handle_count == 0) {
        return;
    }
    EbMessage failure = {.kind = EB_MESSAGE_PREPARED,
                         .job = result->job,
                         .prepared = EB_PREPARED_FAILED};
    EbBatcher_EndJob(daemon->batcher, result->requester, result->job, now_us);
    EbMembership_Send(daemon->membership, result->requester, &failure, now_us);
}

void
EbDaemon_SendPreparationResults(EbDaemon *daemon, int64_t now_us)
{
    EbBatcherResult result;
    while (daemon->batcher != NULL &&
           EbBatcher_NextResult(daemon->batcher, &result)) {
        if (is_own_instance(daemon, result.requester)) {
            record_result(daemon, result.requester, &result, now_us);
        }
        else {
            EbMessage message = {.kind = EB_MESSAGE_PREPARED,
                                 .job = result.job,
                                 .prepared = result.status,
                                 .room_in_us = (uint64_t)result.room_in_us,
                                 .handles = result.handles,
                                 .handle_count = result.handle_count};
            send_result(daemon, &result, &message, now_us);
        }
        EbBatcherResult_Clear(&result);
    }
}

/* Excludes a home that can't be reached for HOME_EXCLUSION_US and gives its
 * unfinished preparations to other homes. */
static void
abandon_home(EbDaemon *daemon, const char *home, int64_t now_us)
{
    int64_t until_us = now_us + HOME_EXCLUSION_US;
    g_hash_table_replace(daemon->excluded_homes, g_strdup(home),
                         g_memdup2(&until_us, sizeof(until_us)));
    GPtrArray *jobs =
        EbPreparationTable_AbandonHome(daemon->preparations, home);
    for (guint i = 0; i < jobs->len; i++) {
        place_job(daemon, g_ptr_array_index(jobs, i), now_us);
    }
    g_ptr_array_unref(jobs);
}

void
EbDaemon_ForwardPeerUnreachable(EbDaemon *daemon, const char *peer,
                                int64_t now_us)
{
    if (daemon->batcher == NULL) {
        return;
    }
    EbBatcher_RequesterLost(daemon->batcher, peer, now_us);
    abandon_home(daemon, peer, now_us);
}

void
EbDaemon_ForwardPeerUp(EbDaemon *daemon, const char *peer,
                       uint64_t incarnation, int64_t now_us)
{
    if (daemon->batcher != NULL) {
        EbBatcher_RequesterLinked(daemon->batcher, peer, incarnation, now_us);
    }
}

static bool
is_linked(const EbDaemon *daemon, const char *instance, int64_t now_us)
{
    EbMemberView view;
    return EbMembership_Find(daemon->membership, instance, now_us, &view) &&
           view.linked;
}

void
EbDaemon_CheckHomes(EbDaemon *daemon, int64_t now_us)
{
    GPtrArray *unlinked = g_ptr_array_new_with_free_func(g_free);
    GHashTable *homes = EbPreparationTable_PendingHomes(
        daemon->preparations, now_us - LINK_TIMEOUT_US);
    GHashTableIter iter;
    gpointer home;
    g_hash_table_iter_init(&iter, homes);
    while (g_hash_table_iter_next(&iter, &home, NULL)) {
        if (!is_own_instance(daemon, home) &&
            !is_linked(daemon, home, now_us)) {
            g_ptr_array_add(unlinked, g_strdup(home));
        }
    }
    g_hash_table_destroy(homes);
    for (guint i = 0; i < unlinked->len; i++) {
        abandon_home(daemon, g_ptr_array_index(unlinked, i), now_us);
    }
    g_ptr_array_unref(unlinked);
}
