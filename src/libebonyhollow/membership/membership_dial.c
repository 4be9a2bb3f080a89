#include <string.h>

#include <glib.h>

#include "membership_private.h"

#define DIAL_TIMEOUT_US 5000000
#define BACKOFF_FIRST_US 500000
#define BACKOFF_MAX_US 5000000
/* Time after which the passive side of a missing link dials as well, in case
 * the active side does not know the passive one yet. */
#define PASSIVE_DIAL_DELAY_US 2000000
/* Mean interval at which a daemon dials an address whose members are all dead
 * or not known, so that the sides of a healed partition find each other. */
#define CANDIDATE_INTERVAL_US 2000000
/* Number of addresses that a daemon without any link dials at once. */
#define CANDIDATES_WHEN_ISOLATED 3

EbDial *
EbMembership_FindDial(EbMembership *membership, const char *address)
{
    EbDial *dial = g_hash_table_lookup(membership->dials, address);
    if (dial == NULL) {
        dial = g_new0(EbDial, 1);
        dial->address = g_strdup(address);
        g_hash_table_insert(membership->dials, dial->address, dial);
    }
    return dial;
}

void
EbMembership_FreeDial(EbDial *dial)
{
    g_free(dial->address);
    g_free(dial);
}

void
EbMembership_ReleaseDial(EbMembership *membership, EbDial *dial)
{
    if (dial->members == 0 && !dial->seed && !dial->listed) {
        g_hash_table_remove(membership->dials, dial->address);
    }
}

/* Returns a delay that doubles with each failure. Half of it is random, so
 * that daemons that lost the same peer do not dial it at the same time. */
static int64_t
backoff_us(EbMembership *membership, uint32_t failures)
{
    int64_t delay_us = BACKOFF_FIRST_US;
    for (uint32_t i = 0; i < failures && delay_us < BACKOFF_MAX_US; i++) {
        delay_us *= 2;
    }
    delay_us = MIN(delay_us, BACKOFF_MAX_US);
    return delay_us / 2 + (int64_t)EbRandom_Below(membership->options.random,
                                                  (uint64_t)delay_us / 2);
}

void
EbMembership_Dial(EbMembership *membership, EbDial *dial, const char *name,
                  int64_t now_us)
{
    if (now_us < dial->pending_until_us) {
        return;
    }
    dial->pending_until_us = now_us + DIAL_TIMEOUT_US;
    dial->started_us = now_us;
    dial->next_us = now_us + backoff_us(membership, dial->failures);
    EbActionQueue_Push(
        membership->options.actions,
        &(EbAction){.kind = EB_ACTION_PEER_CONNECT,
                    .as.peer = {.peer = g_strdup(name),
                                .address = g_strdup(dial->address)}});
}

/* Handles a refused connection. A daemon opens its listener before it dials,
 * so one that was known before this dial no longer runs. Once it has refuted
 * that, further refusals are ignored: something on the path refuses. */
static void
set_ended(EbMembership *membership, EbMember *member, int64_t now_us)
{
    if (member->link.up || member->known_us > member->dial->started_us ||
        member->ended == member->incarnation || member->left) {
        return;
    }
    member->ended = member->incarnation;
    if (member->state == EB_MEMBER_DEAD) {
        member->left = true;
        membership->live_changed = true;
    }
    else {
        EbMembership_SetState(membership, member, EB_MEMBER_LEAVING, now_us);
    }
}

void
EbMembership_DialFailed(EbMembership *membership, const char *address,
                        bool refused, int64_t now_us)
{
    EbDial *dial = g_hash_table_lookup(membership->dials, address);
    if (dial == NULL) {
        return;
    }
    dial->pending_until_us = 0;
    dial->failures += dial->failures < UINT32_MAX;
    dial->next_us = now_us + backoff_us(membership, dial->failures);
    for (guint i = 0; refused && i < membership->members->len; i++) {
        EbMember *member = membership->members->pdata[i];
        if (member->dial == dial) {
            set_ended(membership, member, now_us);
        }
    }
    if (refused) {
        EbMembership_PublishChanges(membership, now_us);
    }
}

void
EbMembership_AddSeed(EbMembership *membership, const char *address,
                     int64_t now_us)
{
    if (strcmp(address, membership->self->address) != 0) {
        EbDial *dial = EbMembership_FindDial(membership, address);
        dial->seed = true;
        dial->next_us = now_us;
    }
}

static void
dial_neighbours(EbMembership *membership, int64_t now_us)
{
    for (guint i = 0; i < membership->members->len; i++) {
        const EbMember *member = membership->members->pdata[i];
        if (!member->neighbour || member->link.up ||
            now_us < member->dial->next_us) {
            continue;
        }
        bool waited_enough =
            now_us - MAX(member->link.received_us, member->state_since_us) >=
            PASSIVE_DIAL_DELAY_US;
        if (member->outbound || waited_enough) {
            EbMembership_Dial(membership, member->dial, member->name, now_us);
        }
    }
}

/* Collects the addresses that may be dialled now and whose members, if any,
 * are all dead. */
static GPtrArray *
collect_candidates(EbMembership *membership, int64_t now_us)
{
    GPtrArray *candidates = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->dials);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const EbDial *dial = value;
        if (dial->living_members == 0 && now_us >= dial->next_us &&
            now_us >= dial->pending_until_us) {
            g_ptr_array_add(candidates, value);
        }
    }
    return candidates;
}

static void
dial_candidates(EbMembership *membership, int64_t now_us)
{
    bool isolated = membership->link_count == 0;
    if (!isolated && now_us < membership->candidate_dial_us) {
        return;
    }
    membership->candidate_dial_us =
        now_us + CANDIDATE_INTERVAL_US / 2 +
        (int64_t)EbRandom_Below(membership->options.random,
                                CANDIDATE_INTERVAL_US);
    GPtrArray *candidates = collect_candidates(membership, now_us);
    for (int i = 0;
         i < (isolated ? CANDIDATES_WHEN_ISOLATED : 1) && candidates->len > 0;
         i++) {
        guint chosen =
            (guint)EbRandom_Below(membership->options.random, candidates->len);
        EbMembership_Dial(membership, candidates->pdata[chosen], NULL, now_us);
        g_ptr_array_remove_index_fast(candidates, chosen);
    }
    g_ptr_array_free(candidates, TRUE);
}

void
EbMembership_StartDueDials(EbMembership *membership, int64_t now_us)
{
    dial_neighbours(membership, now_us);
    dial_candidates(membership, now_us);
}

/* Applies one entry of the platform's list. */
static void
merge_listed(EbMembership *membership, const EbMessageMember *listed,
             int64_t now_us)
{
    bool leaving = listed->state == EB_MEMBER_LEAVING;
    EbMember *member = EbMembership_FindMember(membership, listed->instance);
    if (member == membership->self) {
        return;
    }
    if (member != NULL) {
        /* The list lags: a leaving mark that was first seen during one
         * incarnation does not apply to the next. */
        if (!leaving) {
            member->listed_leaving_incarnation = 0;
        }
        else if (member->listed_leaving_incarnation == 0) {
            member->listed_leaving_incarnation = member->incarnation;
        }
        EbMembership_UpdateMember(membership, member, now_us);
    }
    if (!leaving && listed->address != NULL && listed->address[0] != '\0' &&
        strcmp(listed->address, membership->self->address) != 0 &&
        g_hash_table_size(membership->dials) < EB_MEMBERS_MAX) {
        EbMembership_FindDial(membership, listed->address)->listed = true;
    }
}

void
EbMembership_SetListed(EbMembership *membership,
                       const EbMessageMember *members, size_t count,
                       int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, membership->dials);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        ((EbDial *)value)->listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        merge_listed(membership, &members[i], now_us);
    }
    g_hash_table_iter_init(&iterator, membership->dials);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const EbDial *dial = value;
        if (dial->members == 0 && !dial->seed && !dial->listed) {
            g_hash_table_iter_remove(&iterator);
        }
    }
    EbMembership_PublishChanges(membership, now_us);
}
