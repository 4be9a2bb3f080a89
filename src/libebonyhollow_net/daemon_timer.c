/* The timer that all modules share. */
#include "daemon_internal.h"

/* Shorter waits are rounded up. Otherwise a module that reports a time in the
 * past but has nothing to do would keep the event loop busy. */
#define MIN_WAIT_US 1000
#define MAX_WAIT_US 500000

static int64_t
next_timer(const EbDaemon *daemon)
{
    int64_t next_us =
        MIN(daemon->next_usage_report_us, daemon->next_watch_check_us);
    next_us = MIN(next_us, daemon->drain_state_end_us);
    next_us = MIN(next_us, EbDaemon_NextListingTime(daemon));
    next_us = MIN(next_us, EbDispatcher_NextTimer(daemon->dispatcher));
    next_us = MIN(next_us, EbLedger_NextTimer(daemon->ledger));
    if (daemon->adapter != NULL) {
        next_us = MIN(next_us, EbBatcher_NextTimer(daemon->batcher));
        next_us = MIN(next_us, EbDiscovery_NextTimer(daemon));
    }
    else {
        next_us =
            MIN(next_us, EbConfigManager_NextTimer(daemon->config_manager));
    }
    next_us = MIN(next_us, EbDirectives_NextTimer(daemon->directives));
    next_us = MIN(next_us, EbSuspects_NextTimer(daemon->suspects));
    next_us = MIN(next_us, EbQuarantine_NextTimer(daemon->quarantine));
    next_us = MIN(next_us, EbDaemon_NextQuarantineWrite(daemon));
    return MIN(next_us, EbMembership_NextTimer(daemon->membership));
}

void
EbDaemon_ArmTimer(EbDaemon *daemon)
{
    int64_t timer_us = next_timer(daemon);
    int64_t now_us = EbClock_Monotonic();
    int64_t wait_us = CLAMP(timer_us - now_us, MIN_WAIT_US, MAX_WAIT_US);
    daemon->timer_due_us = now_us + wait_us;
    struct timeval wait = {0, wait_us};
    event_add(daemon->timer, &wait);
}

static void
set_gauges(EbDaemon *daemon, uint32_t live_daemons, int64_t now_us)
{
    EbMetrics *metrics = daemon->metrics;
    bool ready = daemon->drain_state == EB_DRAIN_NONE &&
                 EbConfigManager_Current(daemon->config_manager) != NULL;
    EbMetrics_Set(metrics, EB_METRIC_READY, ready);
    EbMetrics_Set(metrics, EB_METRIC_GENERATION,
                  EbConfigManager_Generation(daemon->config_manager));
    EbMetrics_Set(metrics, EB_METRIC_LIVE_REQUESTS,
                  EbDispatcher_LiveCount(daemon->dispatcher));
    EbMetrics_Set(metrics, EB_METRIC_PLATFORM_UP,
                  EbPlatformClient_IsUp(daemon->platform_client));
    EbMetrics_Set(metrics, EB_METRIC_UNWRITTEN_OUTCOMES,
                  EbLedger_UnwrittenCount(daemon->ledger));
    EbMetrics_Set(metrics, EB_METRIC_LIVE_DAEMONS, live_daemons);
    EbMetrics_Set(metrics, EB_METRIC_PACED_SERVERS,
                  EbPace_Count(daemon->pace));
    EbMetrics_Set(metrics, EB_METRIC_QUARANTINED,
                  EbQuarantine_Count(daemon->quarantine,
                                     EB_FINGERPRINT_QUARANTINED, now_us));
}

/* Names less capacity to the peers while the event loop is late. A daemon that
 * is shutting down keeps capacity 0. */
static void
measure_load(EbDaemon *daemon, int64_t now_us)
{
    int64_t delay_us = MAX(now_us - daemon->timer_due_us, 0);
    if (!daemon->settings->yield_homes ||
        daemon->drain_state != EB_DRAIN_NONE ||
        !EbDaemonLoad_AddDelay(&daemon->load, delay_us, now_us)) {
        return;
    }
    uint32_t capacity =
        EbDaemonLoad_Capacity(&daemon->load, daemon->settings->capacity);
    EbMembership_SetCapacity(daemon->membership, capacity, now_us);
    bool full = daemon->load.state == EB_DAEMON_LOAD_FULL;
    EbMetrics_Set(daemon->metrics, EB_METRIC_FULL, full);
    EB_EMIT(daemon->events, EB_EVENT_CAPACITY_CHANGED,
            EB_STRING_FIELD("state", full ? "full" : "calm"),
            EB_INTEGER_FIELD("capacity", capacity),
            EB_INTEGER_FIELD("delay_us", delay_us),
            EB_INTEGER_FIELD("hold_us", daemon->load.hold_us));
}

void
EbDaemon_OnTimer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbDaemon *daemon = arg;
    int64_t now_us = EbClock_Monotonic();
    measure_load(daemon, now_us);
    EbLedger_Tick(daemon->ledger, now_us);
    EbDispatcher_LedgerResults(daemon->dispatcher, now_us);
    EbDispatcher_Tick(daemon->dispatcher, now_us);
    if (daemon->adapter != NULL) {
        EbBatcher_Tick(daemon->batcher, now_us);
        EbDaemon_CheckHomes(daemon, now_us);
    }
    else {
        EbConfigManager_Tick(daemon->config_manager, now_us);
    }
    EbMembership_Tick(daemon->membership, now_us);
    if (now_us >= daemon->next_usage_report_us) {
        daemon->next_usage_report_us = now_us + EB_LIMITER_REPORT_INTERVAL_US;
        EbDaemon_ReportUsage(daemon, now_us);
        EbDaemon_PublishSpeeds(daemon, now_us);
        uint32_t live_daemons =
            (uint32_t)EbMembership_LiveInstances(daemon->membership, NULL, 0);
        EbSuspects_SetDaemonCount(daemon->suspects, live_daemons);
        set_gauges(daemon, live_daemons, now_us);
        EbEvacuations_Tick(daemon->evacuations, now_us);
        EbLog_Tick(daemon->log);
    }
    EbDaemon_StartDueListings(daemon, now_us);
    EbDaemon_RetryQuarantineWrites(daemon, now_us);
    if (now_us >= daemon->next_watch_check_us) {
        EbDaemon_CheckWatches(daemon, now_us);
    }
    EbDaemon_ScheduleActions(daemon);
}
