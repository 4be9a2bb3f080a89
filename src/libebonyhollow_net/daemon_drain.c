/* Graceful shutdown, as docs/design.md, section 5.6, describes it. */
#include <signal.h>

#include "daemon_internal.h"

/* How long a daemon without own requests prepares what others gave it. */
#define HANDOVER_US 2000000
/* Time for the announcement to leave through the links. */
#define LEAVE_US 200000
/* Time for the answers of an abort to be written. */
#define ABORT_US 2000000

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
    daemon->finishing_us = now_us;
    daemon->drain_us = now_us + daemon->settings->drain_limit_us;
    if (daemon->adapter != NULL) {
        EbForwardServer_StopAccepting(daemon->forward_server);
    }
    else {
        EbCallerServer_StopAccepting(daemon->callers);
    }
    EbDispatcher_Drain(daemon->dispatcher, now_us);
}

static void
leave(EbDaemon *daemon, int64_t now_us)
{
    daemon->drain_state = EB_DRAIN_LEAVING;
    daemon->drain_us = now_us + LEAVE_US;
    EbMembership_Leave(daemon->membership, now_us);
    EbDaemon_ScheduleActions(daemon);
}

/* Ends every request with its true outcome and waits a little for the
 * answers to be written. */
static void
abort_requests(EbDaemon *daemon, int64_t now_us)
{
    if (daemon->drain_state < EB_DRAIN_FINISHING) {
        stop_accepting(daemon, now_us);
    }
    if (daemon->aborted || daemon->drain_state == EB_DRAIN_LEAVING) {
        return;
    }
    daemon->aborted = true;
    daemon->cut_requests = EbDispatcher_LiveCount(daemon->dispatcher);
    EbDispatcher_Abort(daemon->dispatcher, now_us);
    daemon->drain_us = now_us + ABORT_US;
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
    daemon->drain_us =
        EbClock_Monotonic() + daemon->settings->balancer_delay_us;
    if (daemon->forward_server != NULL) {
        EbForwardServer_AnnounceClose(daemon->forward_server);
    }
    EbMembership_WithdrawCapacity(daemon->membership, EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_OnSignal(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    EbDaemon *daemon = arg;
    if (fd == SIGHUP) {
        EB_EMIT(daemon->events, EB_EVENT_RELOAD_REQUESTED,
                EB_STRING_FIELD("instance", daemon->settings->instance));
        return;
    }
    if (daemon->drain_state == EB_DRAIN_NONE) {
        EbDaemon_StartDrain(daemon);
    }
    else {
        abort_requests(daemon, EbClock_Monotonic());
    }
}

static bool
has_callers(const EbDaemon *daemon)
{
    if (daemon->adapter != NULL) {
        return EbForwardServer_PendingCount(daemon->forward_server) > 0;
    }
    return EbCallerServer_PendingCount(daemon->callers) > 0 ||
           EbCallerServer_HasUnsent(daemon->callers);
}

/* Whether other daemons wait for what this one gathered. */
static bool
is_home(const EbDaemon *daemon, int64_t now_us)
{
    return daemon->batcher != NULL &&
           now_us < daemon->finishing_us + HANDOVER_US &&
           EbBatcher_PendingJobCount(daemon->batcher) > 0;
}

/* Whether nothing is left: requests, answers on their way, records of
 * outcomes, work for others. */
static bool
is_finished(const EbDaemon *daemon, int64_t now_us)
{
    return !is_home(daemon, now_us) &&
           EbDispatcher_LiveCount(daemon->dispatcher) == 0 &&
           EbLedger_UnwrittenCount(daemon->ledger) == 0 &&
           !has_callers(daemon);
}

void
EbDaemon_CheckDrain(EbDaemon *daemon, int64_t now_us)
{
    bool expired = now_us >= daemon->drain_us;
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
            leave(daemon, now_us);
        }
        else if (expired) {
            abort_requests(daemon, now_us);
        }
        break;
    case EB_DRAIN_LEAVING:
        if (expired) {
            event_base_loopbreak(daemon->base);
        }
        break;
    }
}
