#include "ebonyhollow/membership.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "membership_private.h"

/* Time for a neighbour that lost its link to reconnect before it is
 * suspected. */
#define RECONNECT_GRACE_US 1000000
/* Consecutive heartbeats with another digest after which all records are
 * sent. */
#define MISMATCHES_MAX 4
/* Mismatches count only when this daemon's digest has not changed for this
 * time. */
#define DIGEST_STABLE_US 1000000
/* Interval at which a newer generation of one peer is reported again. */
#define ANNOUNCE_INTERVAL_US 2000000
/* Bounds of the messages that wait for a link to one member. */
#define PENDING_MAX 32
#define PENDING_TIMEOUT_US 5000000

static void
free_member(gpointer member)
{
    EbMembership_FreeMember(member);
}

static void
free_dial(gpointer dial)
{
    EbMembership_FreeDial(dial);
}

EbMembership *
EbMembership_New(const EbMembershipOptions *options)
{
    EbMembership *membership = g_new0(EbMembership, 1);
    membership->options = *options;
    if (options->events != NULL) {
        membership->events = *options->events;
    }
    membership->members = g_ptr_array_new();
    membership->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    membership->dials =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_dial);
    membership->origins =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    membership->live = g_ptr_array_new();
    membership->changes_due_us = INT64_MAX;
    g_queue_init(&membership->recent);
    g_queue_init(&membership->quarantine_floods);
    EbMember *self = EbMembership_AddMember(membership, options->instance,
                                            options->address, 0);
    membership->self = self;
    self->incarnation = options->incarnation;
    self->sequence = 1;
    g_free(self->failure_domain);
    self->failure_domain = g_strdup(options->failure_domain);
    self->capacity = options->capacity;
    EbMembership_UpdateMember(membership, self, 0);
    EbMembership_UpdateTopology(membership, 0);
    membership->live_changed = false;
    return membership;
}

void
EbMembership_Free(EbMembership *membership)
{
    if (membership == NULL) {
        return;
    }
    EbMembership_FreeFloods(membership);
    g_hash_table_destroy(membership->by_name);
    g_ptr_array_set_free_func(membership->members, free_member);
    g_ptr_array_free(membership->members, TRUE);
    g_hash_table_destroy(membership->dials);
    g_ptr_array_free(membership->live, TRUE);
    g_free(membership);
}

void
EbMembership_ClearPending(EbMember *member)
{
    EbPendingSend *send;
    while ((send = g_queue_pop_head(&member->pending)) != NULL) {
        free(send->bytes);
        g_free(send);
    }
}

void
EbMembership_SendBytes(EbMembership *membership, const EbMember *peer,
                       const uint8_t *bytes, size_t byte_count)
{
    EbActionQueue_Push(
        membership->options.actions,
        &(EbAction){.kind = EB_ACTION_PEER_SEND,
                    .as.peer = {.peer = g_strdup(peer->name),
                                .bytes = g_memdup2(bytes, byte_count),
                                .byte_count = byte_count}});
}

/* Encodes a message to a peer. Returns false, logs and counts it when it can't
 * be encoded, for instance since a name in it is too long. */
static bool
encode(const EbMembership *membership, const EbMember *peer,
       const EbMessage *message, uint8_t **bytes, size_t *byte_count)
{
    if (EbMessage_Encode(message, bytes, byte_count)) {
        return true;
    }
    const char *kind = EbMessageKind_names[message->kind];
    EB_EMIT(membership->options.events, EB_EVENT_MESSAGE_UNSENT,
            EB_STRING_FIELD("peer", peer->name),
            EB_STRING_FIELD("kind", kind));
    if (membership->options.metrics != NULL) {
        EbMetrics_Add(membership->options.metrics, EB_METRIC_PEER_MESSAGES, 1,
                      "unsent", kind, NULL);
    }
    return false;
}

bool
EbMembership_SendMessage(EbMembership *membership, const EbMember *peer,
                         const EbMessage *message)
{
    uint8_t *bytes;
    size_t byte_count;
    if (!encode(membership, peer, message, &bytes, &byte_count)) {
        return false;
    }
    EbMembership_SendBytes(membership, peer, bytes, byte_count);
    free(bytes);
    return true;
}

static EbMessage
describe_heartbeat(const EbMembership *membership)
{
    return (EbMessage){.kind = EB_MESSAGE_HEARTBEAT,
                       .generation = membership->generation,
                       .digest = membership->digest};
}

void
EbMembership_SendHeartbeats(EbMembership *membership)
{
    membership->heartbeat_now = false;
    EbMessage heartbeat = describe_heartbeat(membership);
    uint8_t *bytes;
    size_t byte_count;
    if (membership->link_count == 0 ||
        !EbMessage_Encode(&heartbeat, &bytes, &byte_count)) {
        return;
    }
    for (guint i = 0; i < membership->members->len; i++) {
        const EbMember *peer = membership->members->pdata[i];
        if (peer->link.up) {
            EbMembership_SendBytes(membership, peer, bytes, byte_count);
        }
    }
    free(bytes);
}

void
EbMembership_PublishChanges(EbMembership *membership, int64_t now_us)
{
    EbMembership_UpdateTopology(membership, now_us);
    if (membership->live_changed) {
        membership->live_changed = false;
        membership->options.changed(membership->options.context, now_us);
    }
}

static void
mark_link_down(EbMembership *membership, EbMember *member, int64_t now_us)
{
    member->link.up = false;
    membership->link_count--;
    member->dial->next_us =
        now_us +
        (int64_t)EbRandom_Below(membership->options.random, EB_HEARTBEAT_US);
    member->dial->pending_until_us = 0;
    if (member->neighbour) {
        member->suspect_due_us = now_us + RECONNECT_GRACE_US;
    }
}

void
EbMembership_CloseLink(EbMembership *membership, EbMember *member,
                       int64_t now_us)
{
    EbActionQueue_Push(
        membership->options.actions,
        &(EbAction){.kind = EB_ACTION_PEER_CLOSE,
                    .as.peer = {.peer = g_strdup(member->name)}});
    mark_link_down(membership, member, now_us);
}

void
EbMembership_LinkDown(EbMembership *membership, const char *peer,
                      int64_t now_us)
{
    EbMember *member = EbMembership_FindMember(membership, peer);
    if (member != NULL && member->link.up) {
        mark_link_down(membership, member, now_us);
    }
}

static void
send_pending(EbMembership *membership, EbMember *member)
{
    EbPendingSend *send;
    while ((send = g_queue_pop_head(&member->pending)) != NULL) {
        EbMembership_SendBytes(membership, member, send->bytes,
                               send->byte_count);
        free(send->bytes);
        g_free(send);
    }
}

/* Adds or updates the member at the other end of a new link. Its own record,
 * which also has its failure domain, follows as the first message. */
static EbMember *
update_linked_peer(EbMembership *membership, const char *peer,
                   uint64_t incarnation, const char *address, int64_t now_us)
{
    EbMember *member = EbMembership_FindMember(membership, peer);
    if (member == NULL) {
        member = EbMembership_AddMember(membership, peer, address, now_us);
    }
    if (member != NULL && incarnation > member->incarnation) {
        EbMembership_SetAddress(membership, member, address);
        membership->live_changed = true;
        member->incarnation = incarnation;
        member->known_us = now_us;
        member->sequence = 0;
        member->state = EB_MEMBER_ALIVE;
        member->left = false;
        member->state_since_us = now_us;
        EbMembership_UpdateMember(membership, member, now_us);
    }
    return member;
}

void
EbMembership_LinkUp(EbMembership *membership, const char *peer,
                    uint64_t incarnation, const char *address, int64_t now_us)
{
    EbMember *member =
        update_linked_peer(membership, peer, incarnation, address, now_us);
    if (member == NULL || member == membership->self) {
        return;
    }
    if (!member->link.up) {
        membership->link_count++;
    }
    member->link = (EbMemberLink){.up = true,
                                  .received_us = now_us,
                                  .last_use_us = now_us,
                                  .digest_unchecked = true};
    member->suspect_due_us = INT64_MAX;
    member->dial->failures = 0;
    member->dial->pending_until_us = 0;
    EbMembership_SendOwnRecord(membership, member);
    EbMessage heartbeat = describe_heartbeat(membership);
    EbMembership_SendMessage(membership, member, &heartbeat);
    EbMembership_ResendFloods(membership, member, now_us);
    send_pending(membership, member);
    EbMembership_PublishChanges(membership, now_us);
}

/* Sends all records to a peer whose digest differs: at once on a new link,
 * otherwise only after several heartbeats, since the records that are sent
 * when they change usually remove the difference. */
static void
compare_digest(EbMembership *membership, EbMember *peer, uint64_t digest,
               int64_t now_us)
{
    bool digest_unchecked = peer->link.digest_unchecked;
    peer->link.digest_unchecked = false;
    if (digest == membership->digest) {
        peer->link.mismatches = 0;
        return;
    }
    if (now_us - membership->digest_changed_us >= DIGEST_STABLE_US) {
        peer->link.mismatches++;
    }
    if (digest_unchecked || peer->link.mismatches >= MISMATCHES_MAX) {
        peer->link.mismatches = 0;
        EbMembership_SendAllRecords(membership, peer);
    }
}

static void
handle_heartbeat(EbMembership *membership, EbMember *peer,
                 const EbMessage *message, int64_t now_us)
{
    compare_digest(membership, peer, message->digest, now_us);
    if (message->generation > membership->generation &&
        (peer->link.announced_us == 0 ||
         now_us - peer->link.announced_us >= ANNOUNCE_INTERVAL_US)) {
        peer->link.announced_us = now_us;
        membership->options.announced(membership->options.context, peer->name,
                                      message->generation, now_us);
    }
}

void
EbMembership_Receive(EbMembership *membership, const char *peer,
                     const EbMessage *message, int64_t now_us)
{
    EbMember *member = EbMembership_FindMember(membership, peer);
    if (member == NULL || !member->link.up) {
        return;
    }
    member->link.received_us = now_us;
    if (message->kind == EB_MESSAGE_HEARTBEAT) {
        handle_heartbeat(membership, member, message, now_us);
    }
    else if (message->kind == EB_MESSAGE_MEMBERS) {
        for (uint32_t i = 0; i < message->member_count; i++) {
            EbMembership_MergeRecord(membership, &message->members[i], now_us);
        }
    }
    else if (EbMessage_IsFlooded(message->kind)) {
        EbMembership_ReceiveFlood(membership, member, message, now_us);
    }
    else {
        member->link.last_use_us = now_us;
        membership->options.deliver(membership->options.context, member->name,
                                    message, now_us);
    }
    EbMembership_PublishChanges(membership, now_us);
}

static bool
queue_send(EbMembership *membership, EbMember *member,
           const EbMessage *message, int64_t now_us)
{
    uint8_t *bytes;
    size_t byte_count;
    if (member->pending.length >= PENDING_MAX ||
        !encode(membership, member, message, &bytes, &byte_count)) {
        return false;
    }
    EbPendingSend *send = g_new0(EbPendingSend, 1);
    *send = (EbPendingSend){bytes, byte_count, now_us + PENDING_TIMEOUT_US};
    g_queue_push_tail(&member->pending, send);
    EbMembership_Dial(membership, member->dial, member->name, now_us);
    return true;
}

bool
EbMembership_Send(EbMembership *membership, const char *instance,
                  const EbMessage *message, int64_t now_us)
{
    EbMember *member = EbMembership_FindMember(membership, instance);
    if (member == NULL || member == membership->self ||
        (member->visible == EB_MEMBER_DEAD && !member->link.up)) {
        return false;
    }
    if (!member->link.up) {
        return queue_send(membership, member, message, now_us);
    }
    member->link.last_use_us = now_us;
    return EbMembership_SendMessage(membership, member, message);
}

void
EbMembership_SetGeneration(EbMembership *membership, uint64_t generation)
{
    if (generation > membership->generation) {
        membership->generation = generation;
        membership->heartbeat_now = true;
    }
}

void
EbMembership_SetCapacity(EbMembership *membership, uint32_t capacity,
                         int64_t now_us)
{
    membership->self->capacity = capacity;
    EbMembership_RaiseOwnSequence(membership, 0, now_us);
    EbMembership_SendChangedRecords(membership);
    EbMembership_PublishChanges(membership, now_us);
}

void
EbMembership_Leave(EbMembership *membership, int64_t now_us)
{
    membership->self->state = EB_MEMBER_LEAVING;
    EbMembership_RaiseOwnSequence(membership, 0, now_us);
    EbMembership_SendChangedRecords(membership);
    EbMembership_PublishChanges(membership, now_us);
}

size_t
EbMembership_Count(const EbMembership *membership)
{
    return membership->members->len;
}

static void
fill_view(const EbMember *member, int64_t now_us, EbMemberView *view)
{
    *view = (EbMemberView){
        .instance = member->name,
        .incarnation = member->incarnation,
        .address = member->address,
        .failure_domain = member->failure_domain,
        .capacity = member->capacity,
        .state = member->visible,
        .linked = member->link.up,
        .idle_us = member->link.up ? now_us - member->link.received_us : 0,
    };
}

void
EbMembership_View(const EbMembership *membership, size_t index, int64_t now_us,
                  EbMemberView *view)
{
    g_assert(index < membership->members->len);
    fill_view(membership->members->pdata[index], now_us, view);
}

size_t
EbMembership_LostInstances(const EbMembership *membership, const char **names,
                           size_t max)
{
    size_t count = 0;
    for (guint i = 0; i < membership->members->len; i++) {
        const EbMember *member = membership->members->pdata[i];
        if (member->visible != EB_MEMBER_DEAD || member->left) {
            continue;
        }
        if (count < max) {
            names[count] = member->name;
        }
        count++;
    }
    return count;
}

bool
EbMembership_Find(const EbMembership *membership, const char *instance,
                  int64_t now_us, EbMemberView *view)
{
    const EbMember *member = EbMembership_FindMember(membership, instance);
    if (member == NULL) {
        return false;
    }
    fill_view(member, now_us, view);
    return true;
}
