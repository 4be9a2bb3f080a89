/* Graceful shutdown as described in docs/design.md, section 5.6. */
#include "daemon_internal.h"

/* After a daemon has stopped accepting requests, it waits at most this long
 * for the preparations that it does for other daemons. */
#define PEER_JOBS_GRACE_US 2000000
/* Time for sending the announcement to the peers. */
#define ANNOUNCE_LEAVING_US 200000
/* Time for sending the answers of the requests that an abort ended. */
#define ABORT_TIMEOUT_US 2000000

const char *const EbDrainState_names[EB_DRAIN_STATE_COUNT] = {
    [EB_DRAIN_NONE] = "none",
    [EB_DRAIN_DELAY] = "delay",
    [EB_DRAIN_FINISHING] = "finishing",
    [EB_DRAIN_LEAVING] = "leaving",
};

static void
stop_accepting(EbDaemon *daemon, int64_t now_us)
{
    daemon->drain_state = EB_DRAIN_FINISHING;
    daemon->finishing_since_us = now_us;
    daemon->drain_state_end_us = now_us + daemon->settings->drain_limit_us;
    if (daemon->adapter != NULL) {
        EbForwardServer_StopAccepting(daemon->forward_server);
    }
    else {
        EbCallerServer_StopAccepting(daemon->caller_server);
    }
    EbDispatcher_Drain(daemon->dispatcher, daemon->drain_state_end_us, now_us);
}

static void
start_leaving(EbDaemon *daemon, int64_t now_us)
{
    daemon->drain_state = EB_DRAIN_LEAVING;
    daemon->drain_state_end_us = now_us + ANNOUNCE_LEAVING_US;
    EbMembership_Leave(daemon->membership, now_us);
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_AbortRequests(EbDaemon *daemon, int64_t now_us)
{
    if (daemon->drain_state < EB_DRAIN_FINISHING) {
        stop_accepting(daemon, now_us);
    }
    if (daemon->aborted || daemon->drain_state == EB_DRAIN_LEAVING) {
        return;
    }
    daemon->aborted = true;
    daemon->unfinished_requests = EbDispatcher_LiveCount(daemon->dispatcher);
    EbDispatcher_Abort(daemon->dispatcher, now_us);
    daemon->drain_state_end_us = now_us + ABORT_TIMEOUT_US;
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_StartDrain(void *context)
{
    EbDaemon *daemon = context;
    if (daemon->drain_state != EB_DRAIN_NONE) {
        return;
    }
    daemon->drain_state = EB_DRAIN_DELAY;
    daemon->drain_state_end_us =
        EbClock_Monotonic() + daemon->settings->balancer_delay_us;
    if (daemon->forward_server != NULL) {
        EbForwardServer_AnnounceClose(daemon->forward_server);
    }
    EbMembership_SetCapacity(daemon->membership, 0, EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

static bool
has_open_callers(const EbDaemon *daemon)
{
    if (daemon->adapter != NULL) {
        return EbForwardServer_PendingCount(daemon->forward_server) > 0;
    }
    return EbCallerServer_PendingCount(daemon->caller_server) > 0 ||
           EbCallerServer_HasUnsent(daemon->caller_server);
}

/* Whether unfinished preparations keep this daemon from leaving. */
static bool
must_finish_jobs(const EbDaemon *daemon, int64_t now_us)
{
    return daemon->batcher != NULL &&
           now_us < daemon->finishing_since_us + PEER_JOBS_GRACE_US &&
           EbBatcher_PendingJobCount(daemon->batcher) > 0;
}

/* Whether no requests, unsent answers or unwritten outcomes are left. For the
 * first PEER_JOBS_GRACE_US, preparations for other daemons count as well. */
static bool
is_finished(const EbDaemon *daemon, int64_t now_us)
{
    return !must_finish_jobs(daemon, now_us) &&
           EbDispatcher_LiveCount(daemon->dispatcher) == 0 &&
           EbLedger_UnwrittenCount(daemon->ledger) == 0 &&
           !has_open_callers(daemon);
}

void
EbDaemon_CheckDrain(EbDaemon *daemon, int64_t now_us)
{
    bool expired = now_us >= daemon->drain_state_end_us;
    switch (daemon->drain_state) {
    case EB_DRAIN_NONE:
    case EB_DRAIN_STATE_COUNT:
        break;
    case EB_DRAIN_DELAY:
        if (expired) {
            stop_accepting(daemon, now_us);
            EbDaemon_ScheduleActions(daemon);
        }
        break;
    case EB_DRAIN_FINISHING:
        if (is_finished(daemon, now_us) || (expired && daemon->aborted)) {
            start_leaving(daemon, now_us);
        }
        else if (expired) {
            EbDaemon_AbortRequests(daemon, now_us);
        }
        break;
    case EB_DRAIN_LEAVING:
        if (expired) {
            event_base_loopbreak(daemon->base);
        }
        break;
    }
}
