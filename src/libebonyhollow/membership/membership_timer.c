#include <glib.h>

#include "membership_private.h"

#define LINK_TIMEOUT_US ((int64_t)EB_HEARTBEAT_MISSED_MAX * EB_HEARTBEAT_US)
#define LINK_IDLE_TIMEOUT_US 30000000
/* Suspicion after which a daemon that is not a neighbour is declared dead, in
 * case none of its neighbours has done so. */
#define REMOTE_DEAD_US (4LL * EB_MEMBER_DEAD_US)

static void
check_link(EbMembership *membership, EbMember *member, int64_t now_us)
{
    bool broken = now_us - member->link.received_us >= LINK_TIMEOUT_US;
    bool idle = !member->neighbour &&
                now_us - member->link.last_use_us >= LINK_IDLE_TIMEOUT_US;
    if (broken || idle) {
        EbMembership_CloseLink(membership, member, now_us);
    }
}

/* Suspects a neighbour without a link, and declares a member dead if it does
 * not refute the suspicion in time. A leaving neighbour without a link is
 * declared dead without being suspected. */
static void
check_state(EbMembership *membership, EbMember *member, int64_t now_us)
{
    if (member->link.up) {
        return;
    }
    int64_t state_age_us = now_us - member->state_since_us;
    bool overdue = now_us >= member->suspect_due_us;
    switch (member->state) {
    case EB_MEMBER_ALIVE:
        if (overdue) {
            EbMembership_SetState(membership, member, EB_MEMBER_SUSPECTED,
                                  now_us);
        }
        break;
    case EB_MEMBER_SUSPECTED:
        if (state_age_us >=
            (member->neighbour ? EB_MEMBER_DEAD_US : REMOTE_DEAD_US)) {
            EbMembership_SetState(membership, member, EB_MEMBER_DEAD, now_us);
        }
        break;
    case EB_MEMBER_LEAVING:
        if (overdue && now_us - member->suspect_due_us >= EB_MEMBER_DEAD_US) {
            EbMembership_SetState(membership, member, EB_MEMBER_DEAD, now_us);
        }
        break;
    default:
        break;
    }
}

static void
drop_expired_sends(EbMember *member, int64_t now_us)
{
    EbPendingSend *send;
    while ((send = g_queue_peek_head(&member->pending)) != NULL &&
           send->expires_us <= now_us) {
        g_queue_pop_head(&member->pending);
        free(send->bytes);
        g_free(send);
    }
}

static void
check_members(EbMembership *membership, int64_t now_us)
{
    for (guint i = membership->members->len; i > 0; i--) {
        EbMember *member = membership->members->pdata[i - 1];
        if (member == membership->self) {
            continue;
        }
        if (member->link.up) {
            check_link(membership, member, now_us);
        }
        check_state(membership, member, now_us);
        EbMembership_UpdateMember(membership, member, now_us);
        drop_expired_sends(member, now_us);
        if (member->state == EB_MEMBER_DEAD && !member->link.up &&
            now_us - member->state_since_us >= EB_MEMBER_FORGET_US) {
            EbMembership_RemoveMember(membership, member);
        }
    }
}

void
EbMembership_Tick(EbMembership *membership, int64_t now_us)
{
    if (now_us >= membership->next_scan_us) {
        /* The first interval is random, so that daemons that start together
         * do not send at the same time. */
        membership->next_scan_us =
            now_us +
            (membership->next_scan_us == 0
                 ? 1 + (int64_t)EbRandom_Below(membership->options.random,
                                               EB_HEARTBEAT_US)
                 : EB_HEARTBEAT_US);
        check_members(membership, now_us);
        EbMembership_UpdateTopology(membership, now_us);
        EbMembership_StartDueDials(membership, now_us);
        membership->heartbeat_now = true;
    }
    if (membership->heartbeat_now) {
        EbMembership_SendHeartbeats(membership);
    }
    if (now_us >= membership->changes_due_us) {
        EbMembership_SendChangedRecords(membership);
    }
    EbMembership_PublishChanges(membership, now_us);
}

int64_t
EbMembership_NextTimer(const EbMembership *membership)
{
    if (membership->heartbeat_now) {
        return 0;
    }
    return MIN(membership->next_scan_us, membership->changes_due_us);
}
