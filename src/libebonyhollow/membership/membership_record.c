#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "membership_private.h"

/* Delay before changed records are sent, so that changes close together go
 * into one message. */
#define CHANGES_DELAY_US 50000
/* Time for a member to refute its death when this daemon did not see it
 * suspected, as happens after a partition heals and when a daemon joins. */
#define REFUTE_GRACE_US 1000000
/* Delay before a neighbour without a link is suspected again, after its record
 * was renewed through other daemons. */
#define RESUSPECT_DELAY_US 15000000

/* Returns the position of `name` among the members, or where to insert it. */
static guint
find_position(const EbMembership *membership, const char *name)
{
    guint low = 0, high = membership->members->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        const EbMember *member = membership->members->pdata[middle];
        if (strcmp(member->name, name) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

EbMember *
EbMembership_FindMember(const EbMembership *membership, const char *name)
{
    return g_hash_table_lookup(membership->by_name, name);
}

void
EbMembership_FreeMember(EbMember *member)
{
    EbMembership_ClearPending(member);
    g_free(member->name);
    g_free(member->address);
    g_free(member->failure_domain);
    g_free(member);
}

static void
update_dial_counts(EbMember *member, bool add)
{
    if (member->dial == NULL) {
        return;
    }
    uint32_t step = add ? 1 : UINT32_MAX;
    member->dial->members += step;
    if (member->visible != EB_MEMBER_DEAD) {
        member->dial->living_members += step;
    }
}

void
EbMembership_SetAddress(EbMembership *membership, EbMember *member,
                        const char *address)
{
    if (member->address != NULL && strcmp(member->address, address) == 0) {
        return;
    }
    if (member->dial != NULL) {
        update_dial_counts(member, false);
        EbMembership_ReleaseDial(membership, member->dial);
    }
    g_free(member->address);
    member->address = g_strdup(address);
    member->dial = EbMembership_FindDial(membership, address);
    update_dial_counts(member, true);
}

EbMember *
EbMembership_AddMember(EbMembership *membership, const char *name,
                       const char *address, int64_t now_us)
{
    if (membership->members->len >= EB_MEMBERS_MAX) {
        return NULL;
    }
    EbMember *member = g_new0(EbMember, 1);
    member->name = g_strdup(name);
    member->ring_position = XXH3_64bits(name, strlen(name));
    member->failure_domain = g_strdup("");
    member->state_since_us = now_us;
    member->known_us = now_us;
    member->suspect_due_us = INT64_MAX;
    member->visible = EB_MEMBER_DEAD;
    g_queue_init(&member->pending);
    EbMembership_SetAddress(membership, member, address);
    g_ptr_array_insert(membership->members,
                       (gint)find_position(membership, name), member);
    g_hash_table_insert(membership->by_name, member->name, member);
    return member;
}

void
EbMembership_RemoveMember(EbMembership *membership, EbMember *member)
{
    membership->digest ^= member->digest;
    g_hash_table_remove(membership->origins, member->name);
    g_hash_table_remove(membership->by_name, member->name);
    g_ptr_array_remove_index(membership->members,
                             find_position(membership, member->name));
    update_dial_counts(member, false);
    if (member->dial != NULL) {
        EbMembership_ReleaseDial(membership, member->dial);
    }
    EbMembership_FreeMember(member);
    membership->topology_stale = true;
}

/* Returns the digest of one record. Dead members are left out, since each
 * daemon forgets them at a different time. */
static uint64_t
record_digest(const EbMember *member)
{
    if (member->state == EB_MEMBER_DEAD) {
        return 0;
    }
    const uint64_t parts[] = {member->ring_position, member->incarnation,
                              member->sequence, member->state};
    return XXH3_64bits(parts, sizeof(parts));
}

static EbMemberState
visible_state(const EbMembership *membership, const EbMember *member,
              int64_t now_us)
{
    if (member == membership->self) {
        return member->state;
    }
    if (member->state == EB_MEMBER_DEAD && now_us < member->dead_from_us) {
        return EB_MEMBER_SUSPECTED;
    }
    if (member->state < EB_MEMBER_LEAVING &&
        member->listed_leaving_incarnation != 0 &&
        member->listed_leaving_incarnation == member->incarnation) {
        return EB_MEMBER_LEAVING;
    }
    return member->state;
}

static void
emit_state(const EbMembership *membership, const EbMember *member,
           EbMemberState before, int64_t now_us)
{
    const EbEventSink *sink = &membership->events;
    switch (member->visible) {
    case EB_MEMBER_ALIVE:
        EB_EMIT(sink, EB_EVENT_PEER_ALIVE,
                EB_STRING_FIELD("peer", member->name),
                EB_INTEGER_FIELD("incarnation", member->incarnation));
        break;
    case EB_MEMBER_SUSPECTED:
        if (before == EB_MEMBER_ALIVE) {
            EB_EMIT(sink, EB_EVENT_PEER_SUSPECTED,
                    EB_STRING_FIELD("peer", member->name),
                    EB_INTEGER_FIELD("idle_us",
                                     now_us - member->link.received_us));
        }
        break;
    case EB_MEMBER_LEAVING:
        EB_EMIT(sink, EB_EVENT_PEER_LEAVING,
                EB_STRING_FIELD("peer", member->name));
        break;
    default:
        EB_EMIT(sink, EB_EVENT_PEER_DEAD,
                EB_STRING_FIELD("peer", member->name),
                EB_INTEGER_FIELD("incarnation", member->incarnation));
    }
}

static bool
is_live(EbMemberState state)
{
    return state < EB_MEMBER_LEAVING;
}

void
EbMembership_UpdateMember(EbMembership *membership, EbMember *member,
                          int64_t now_us)
{
    uint64_t digest = record_digest(member);
    if (digest != member->digest) {
        membership->digest ^= member->digest ^ digest;
        member->digest = digest;
        membership->digest_changed_us = now_us;
    }
    EbMemberState before = member->visible;
    EbMemberState after = visible_state(membership, member, now_us);
    if (after == before) {
        return;
    }
    update_dial_counts(member, false);
    member->visible = after;
    update_dial_counts(member, true);
    if (is_live(before) != is_live(after)) {
        membership->live_changed = true;
    }
    membership->topology_stale = true;
    if (member != membership->self) {
        emit_state(membership, member, before, now_us);
    }
}

static void
mark_changed(EbMembership *membership, EbMember *member, int64_t now_us)
{
    member->change_pending = true;
    membership->changes_due_us =
        MIN(membership->changes_due_us, now_us + CHANGES_DELAY_US);
}

void
EbMembership_SetState(EbMembership *membership, EbMember *member,
                      EbMemberState state, int64_t now_us)
{
    member->left = state == EB_MEMBER_LEAVING ||
                   (state == EB_MEMBER_DEAD && member->left);
    member->state = state;
    member->state_since_us = now_us;
    member->dead_from_us = now_us;
    mark_changed(membership, member, now_us);
    EbMembership_UpdateMember(membership, member, now_us);
}

void
EbMembership_RaiseOwnSequence(EbMembership *membership, uint64_t above,
                              int64_t now_us)
{
    EbMember *self = membership->self;
    self->sequence = MAX(self->sequence, above) + 1;
    EbMembership_SetState(membership, self, self->state, now_us);
}

/* Whether a record replaces the known one: by the incarnation, then by the
 * member's own sequence, then by the more final state. */
static bool
is_newer(const EbMessageMember *record, const EbMember *member)
{
    if (record->incarnation != member->incarnation) {
        return record->incarnation > member->incarnation;
    }
    if (record->sequence != member->sequence) {
        return record->sequence > member->sequence;
    }
    return record->state > member->state;
}

/* Moves past an incarnation of this instance that others know. Incarnations
 * are the wall clock at the start, so an earlier process has a higher one if
 * the clock was stepped back since. The number of times is bounded, since two
 * processes with the same name would otherwise raise theirs without end. */
static void
raise_own_incarnation(EbMembership *membership, uint64_t above, int64_t now_us)
{
    EbMember *self = membership->self;
    if (above == UINT64_MAX ||
        membership->raises >= EB_MEMBERSHIP_MAX_RAISES) {
        return;
    }
    membership->raises++;
    self->incarnation = above + 1;
    EbMembership_RaiseOwnSequence(membership, 0, now_us);
    EB_EMIT(&membership->events, EB_EVENT_INCARNATION_RAISED,
            EB_INTEGER_FIELD("incarnation", self->incarnation));
    if (membership->options.incarnation_raised != NULL) {
        membership->options.incarnation_raised(membership->options.context,
                                               self->incarnation);
    }
}

static void
merge_self(EbMembership *membership, const EbMessageMember *record,
           int64_t now_us)
{
    const EbMember *self = membership->self;
    if (record->incarnation > self->incarnation) {
        raise_own_incarnation(membership, record->incarnation, now_us);
    }
    else if (record->incarnation == self->incarnation &&
             record->sequence < UINT64_MAX && is_newer(record, self)) {
        EbMembership_RaiseOwnSequence(membership, record->sequence, now_us);
    }
}

static void
adopt_record(EbMembership *membership, EbMember *member,
             const EbMessageMember *record, int64_t now_us)
{
    bool unsuspected = record->state == EB_MEMBER_DEAD &&
                       member->state == EB_MEMBER_ALIVE &&
                       record->incarnation == member->incarnation;
    if (record->incarnation != member->incarnation) {
        membership->live_changed = true;
        member->known_us = now_us;
    }
    EbMembership_SetAddress(membership, member, record->address);
    g_free(member->failure_domain);
    member->failure_domain = g_strdup(record->failure_domain);
    member->capacity = record->capacity;
    member->incarnation = record->incarnation;
    member->sequence = record->sequence;
    EbMembership_SetState(membership, member, record->state, now_us);
    if (unsuspected) {
        member->dead_from_us = now_us + REFUTE_GRACE_US;
        EbMembership_UpdateMember(membership, member, now_us);
    }
    if (member->neighbour && !member->link.up) {
        member->suspect_due_us = now_us + RESUSPECT_DELAY_US;
    }
}

void
EbMembership_MergeRecord(EbMembership *membership,
                         const EbMessageMember *record, int64_t now_us)
{
    if (strcmp(record->instance, membership->self->name) == 0) {
        merge_self(membership, record, now_us);
        return;
    }
    EbMember *member = EbMembership_FindMember(membership, record->instance);
    if (member == NULL) {
        if (record->state == EB_MEMBER_DEAD) {
            return;
        }
        member = EbMembership_AddMember(membership, record->instance,
                                        record->address, now_us);
        if (member == NULL) {
            return;
        }
    }
    else if (!is_newer(record, member)) {
        return;
    }
    adopt_record(membership, member, record, now_us);
}

static EbMessageMember
describe_member(const EbMember *member)
{
    return (EbMessageMember){.instance = member->name,
                             .incarnation = member->incarnation,
                             .address = member->address,
                             .failure_domain = member->failure_domain,
                             .capacity = member->capacity,
                             .state = member->state,
                             .sequence = member->sequence};
}

/* Collects all records, or only the changed ones, which it marks as sent. */
static GArray *
collect_records(EbMembership *membership, bool changed_only)
{
    GArray *records = g_array_new(FALSE, FALSE, sizeof(EbMessageMember));
    for (guint i = 0; i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (changed_only && !member->change_pending) {
            continue;
        }
        if (changed_only) {
            member->change_pending = false;
        }
        EbMessageMember record = describe_member(member);
        g_array_append_val(records, record);
    }
    return records;
}

static EbMessage
describe_records(const GArray *records)
{
    return (EbMessage){.kind = EB_MESSAGE_MEMBERS,
                       .members = (EbMessageMember *)(void *)records->data,
                       .member_count = records->len};
}

void
EbMembership_SendChangedRecords(EbMembership *membership)
{
    membership->changes_due_us = INT64_MAX;
    GArray *records = collect_records(membership, true);
    EbMessage message = describe_records(records);
    uint8_t *bytes;
    size_t byte_count;
    if (records->len > 0 && EbMessage_Encode(&message, &bytes, &byte_count)) {
        for (guint i = 0; i < membership->members->len; i++) {
            EbMember *peer = membership->members->pdata[i];
            if (peer->link.up) {
                EbMembership_SendBytes(membership, peer, bytes, byte_count);
            }
        }
        free(bytes);
    }
    g_array_free(records, TRUE);
}

void
EbMembership_SendAllRecords(EbMembership *membership, EbMember *peer)
{
    GArray *records = collect_records(membership, false);
    EbMessage message = describe_records(records);
    EbMembership_SendMessage(membership, peer, &message);
    g_array_free(records, TRUE);
}

void
EbMembership_SendOwnRecord(EbMembership *membership, EbMember *peer)
{
    EbMessageMember records[2] = {describe_member(membership->self),
                                  describe_member(peer)};
    EbMessage message = {
        .kind = EB_MESSAGE_MEMBERS, .members = records, .member_count = 1};
    if (peer->state != EB_MEMBER_ALIVE) {
        message.member_count++;
    }
    EbMembership_SendMessage(membership, peer, &message);
}
