#include "ebonyhollow/action.h"

#include <assert.h>

#include <glib.h>

const char *const EbActionKind_names[EB_ACTION_COUNT] = {
    [EB_ACTION_SEND_ATTEMPT] = "send-attempt",
    [EB_ACTION_CANCEL_ATTEMPT] = "cancel-attempt",
    [EB_ACTION_RETIRE_CONNECTIONS] = "retire-connections",
    [EB_ACTION_RELAY] = "relay",
    [EB_ACTION_ANSWER] = "answer",
    [EB_ACTION_PREPARE] = "prepare",
    [EB_ACTION_END_PREPARATION] = "end-preparation",
    [EB_ACTION_SEND_BATCH] = "send-pieces",
    [EB_ACTION_RELEASE_RESULTS] = "release-results",
    [EB_ACTION_STORE] = "store",
    [EB_ACTION_PEER_SEND] = "peer-send",
    [EB_ACTION_PEER_CONNECT] = "peer-connect",
    [EB_ACTION_PEER_CLOSE] = "peer-close",
};

const char *const EbStoreOperation_names[EB_STORE_OPERATION_COUNT] = {
    [EB_STORE_GET] = "get",       [EB_STORE_CREATE] = "create",
    [EB_STORE_UPDATE] = "update", [EB_STORE_DELETE] = "delete",
    [EB_STORE_LIST] = "list",
};

const char *const EbStoreStatus_names[EB_STORE_STATUS_COUNT] = {
    [EB_STORE_OK] = "ok",
    [EB_STORE_CONFLICT] = "conflict",
    [EB_STORE_NOT_FOUND] = "not-found",
    [EB_STORE_LOST] = "lost",
    [EB_STORE_UNAVAILABLE] = "unavailable",
};

struct EbActionQueue {
    GQueue actions; /* of EbAction */
};

EbActionQueue *
EbActionQueue_New(void)
{
    EbActionQueue *queue = g_new0(EbActionQueue, 1);
    g_queue_init(&queue->actions);
    return queue;
}

void
EbActionQueue_Free(EbActionQueue *queue)
{
    if (queue == NULL) {
        return;
    }
    EbAction action;
    while (EbActionQueue_Pop(queue, &action)) {
        EbAction_Clear(&action);
    }
    g_free(queue);
}

void
EbActionQueue_Push(EbActionQueue *queue, const EbAction *action)
{
    assert(action->kind < EB_ACTION_COUNT);
    g_queue_push_tail(&queue->actions, g_memdup2(action, sizeof(*action)));
}

bool
EbActionQueue_Pop(EbActionQueue *queue, EbAction *action)
{
    EbAction *oldest = g_queue_pop_head(&queue->actions);
    if (oldest == NULL) {
        return false;
    }
    *action = *oldest;
    g_free(oldest);
    return true;
}

size_t
EbActionQueue_Count(const EbActionQueue *queue)
{
    return queue->actions.length;
}

static void
clear_strings(GPtrArray *strings)
{
    if (strings != NULL) {
        g_ptr_array_unref(strings);
    }
}

static void
clear_send(EbSendAttempt *send)
{
    g_free(send->request_id);
    g_free(send->server_id);
    g_free(send->host);
    g_free(send->path);
    g_free(send->idempotency_key);
    g_free(send->traceparent);
    json_decref(send->body);
    EbForwardCall_Unref(send->forward);
    g_free(send->customer);
    clear_strings(send->inputs);
}

EbPreparationJob
EbPreparationJob_Copy(const EbPreparationJob *preparation)
{
    EbPreparationJob copy = *preparation;
    copy.request_id = g_strdup(preparation->request_id);
    copy.service = g_strdup(preparation->service);
    copy.failure_domain = g_strdup(preparation->failure_domain);
    copy.key = g_strdup(preparation->key);
    if (preparation->inputs != NULL) {
        g_ptr_array_ref(preparation->inputs);
    }
    return copy;
}

void
EbPreparationJob_Clear(EbPreparationJob *preparation)
{
    g_free(preparation->request_id);
    g_free(preparation->service);
    g_free(preparation->failure_domain);
    g_free(preparation->key);
    clear_strings(preparation->inputs);
    *preparation = (EbPreparationJob){0};
}

static void
clear_batch(EbSendBatch *batch)
{
    g_free(batch->server_id);
    g_free(batch->host);
    g_array_free(batch->items, TRUE);
    clear_strings(batch->strings);
}

void
EbReleaseResults_Clear(EbReleaseResults *release)
{
    g_free(release->server_id);
    g_free(release->host);
    clear_strings(release->handles);
    *release = (EbReleaseResults){0};
}

static void
clear_peer(EbPeerSend *peer)
{
    g_free(peer->peer);
    g_free(peer->address);
    free(peer->bytes);
}

void
EbAction_Clear(EbAction *action)
{
    switch (action->kind) {
    case EB_ACTION_SEND_ATTEMPT:
        clear_send(&action->as.send);
        break;
    case EB_ACTION_RETIRE_CONNECTIONS:
        g_free(action->as.retire_server_id);
        break;
    case EB_ACTION_RELAY:
        g_free(action->as.relay.text);
        g_free(action->as.relay.bytes);
        EbHttpMessage_Unref(action->as.relay.head);
        break;
    case EB_ACTION_ANSWER:
        g_free(action->as.answer.detail);
        json_decref(action->as.answer.body);
        EbHttpMessage_Unref(action->as.answer.reply);
        break;
    case EB_ACTION_PREPARE:
        EbPreparationJob_Clear(&action->as.prepare);
        break;
    case EB_ACTION_SEND_BATCH:
        clear_batch(&action->as.batch);
        break;
    case EB_ACTION_RELEASE_RESULTS:
        EbReleaseResults_Clear(&action->as.release);
        break;
    case EB_ACTION_STORE:
        g_free(action->as.store.kind);
        g_free(action->as.store.name);
        json_decref(action->as.store.value);
        break;
    case EB_ACTION_PEER_SEND:
    case EB_ACTION_PEER_CONNECT:
    case EB_ACTION_PEER_CLOSE:
        clear_peer(&action->as.peer);
        break;
    case EB_ACTION_CANCEL_ATTEMPT:
    case EB_ACTION_END_PREPARATION:
    case EB_ACTION_COUNT:
        break;
    }
    *action = (EbAction){.kind = EB_ACTION_CANCEL_ATTEMPT};
}
