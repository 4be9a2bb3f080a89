#include <string.h>

#include <glib.h>

#include "membership_private.h"

#define DIAL_LIMIT_US 5000000
#define BACKOFF_FIRST_US 500000
#define BACKOFF_LONGEST_US 5000000
/* The side of a link that waits dials after this time as well, in case the
 * other side does not know it yet. */
#define OTHER_SIDE_US 2000000
/* Beyond its neighbours a daemon dials one address in this time, so that the
 * sides of a healed partition find each other. */
#define CANDIDATE_US 2000000
/* A daemon without any link dials so many addresses at once. */
#define CANDIDATES_ALONE 3

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

/* Doubles with each failure; the second half of the time is random, so that
 * daemons that lost the same peer do not dial it together. */
static int64_t
backoff_us(EbMembership *membership, uint32_t failures)
{
    int64_t longest_us = BACKOFF_FIRST_US;
    for (uint32_t i = 0; i < failures && longest_us < BACKOFF_LONGEST_US;
         i++) {
        longest_us *= 2;
    }
    longest_us = MIN(longest_us, BACKOFF_LONGEST_US);
    return longest_us / 2 + (int64_t)EbRandom_Below(membership->options.random,
                                                    (uint64_t)longest_us / 2);
}

void
EbMembership_Dial(EbMembership *membership, EbDial *dial, const char *name,
                  int64_t now_us)
{
    if (now_us < dial->pending_until_us) {
        return;
    }
    dial->pending_until_us = now_us + DIAL_LIMIT_US;
    dial->next_us = now_us + backoff_us(membership, dial->failures);
    EbActionQueue_Push(
        membership->options.actions,
        &(EbAction){.kind = EB_ACTION_PEER_CONNECT,
                    .as.peer = {.peer = g_strdup(name),
                                .address = g_strdup(dial->address)}});
}

void
EbMembership_DialFailed(EbMembership *membership, const char *address,
                        int64_t now_us)
{
    EbDial *dial = g_hash_table_lookup(membership->dials, address);
    if (dial == NULL) {
        return;
    }
    dial->pending_until_us = 0;
    dial->failures += dial->failures < UINT32_MAX;
    dial->next_us = now_us + backoff_us(membership, dial->failures);
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
        bool waited =
            now_us - MAX(member->link.heard_us, member->state_since_us) >=
            OTHER_SIDE_US;
        if (member->dials || waited) {
            EbMembership_Dial(membership, member->dial, member->name, now_us);
        }
    }
}

/* Addresses behind which no living member is known. */
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
    bool alone = membership->link_count == 0;
    if (!alone && now_us < membership->candidate_dial_us) {
        return;
    }
    membership->candidate_dial_us =
        now_us + CANDIDATE_US / 2 +
        (int64_t)EbRandom_Below(membership->options.random, CANDIDATE_US);
    GPtrArray *candidates = collect_candidates(membership, now_us);
    for (int i = 0; i < (alone ? CANDIDATES_ALONE : 1) && candidates->len > 0;
         i++) {
        guint chosen =
            (guint)EbRandom_Below(membership->options.random, candidates->len);
        EbMembership_Dial(membership, candidates->pdata[chosen], NULL, now_us);
        g_ptr_array_remove_index_fast(candidates, chosen);
    }
    g_ptr_array_free(candidates, TRUE);
}

void
EbMembership_DialPending(EbMembership *membership, int64_t now_us)
{
    dial_neighbours(membership, now_us);
    dial_candidates(membership, now_us);
}

/* Takes one entry of the platform's list. */
static void
take_listed(EbMembership *membership, const EbMessageMember *listed,
            int64_t now_us)
{
    bool leaving = listed->state == EB_MEMBER_LEAVING;
    EbMember *member = EbMembership_FindMember(membership, listed->instance);
    if (member == membership->self) {
        return;
    }
    if (member != NULL) {
        /* The list lags: a mark that was seen for an earlier incarnation
         * does not hold for the next one. */
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
        take_listed(membership, &members[i], now_us);
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
