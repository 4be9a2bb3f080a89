#include <math.h>
#include <stdlib.h>

#include "pool_state.h"

#define LATENCY_GAIN 0.1 /* an average of about ten calls */
#define FAILURE_GAIN 0.1
/* A server that is avoided gives no new measurements. Its old ones decay, so
 * that it is tried again. */
#define MEMORY_HALF_LIFE_US 10000000

#define LIMIT_DECREASE 0.7
/* A queue at the server is noticed early and by all daemons at once, so each
 * step is smaller. */
#define LIMIT_QUEUE_DECREASE 0.9
/* Several failures with one cause lower the limit once. */
#define LIMIT_DECREASE_INTERVAL_US 200000
#define REPORT_FRESH_US 2000000

#define EJECT_FAILURES 3
#define EJECT_LATENCY_FACTOR 4
#define EJECT_LATENCY_MIN_US 20000 /* a smaller difference is jitter */
#define EJECT_MIN_SAMPLES 10
/* The median of fewer servers is not meaningful. */
#define EJECT_MIN_MEASURED_SERVERS 3
/* Servers of known piece interval that are needed for a typical one. */
#define MIN_INTERVALS 4
/* Piece intervals of servers count in a pool in which they differ by this
 * ratio, apart from a fifth of the servers at either end. */
#define UNEVEN_ENTER_RATIO 2.0
#define UNEVEN_LEAVE_RATIO 1.6
#define UNEVEN_OUTER_DIVISOR 5
#define PERMILLE 1000
#define EJECT_MAX_DIVISOR 3 /* at most one server in three is ejected */
#define EJECT_BASE_US 5000000
#define EJECT_MAX_US 120000000
/* One earlier ejection is forgotten each time that a server has not been
 * ejected for this long. */
#define EJECT_FORGET_US 60000000

static double
decay(int64_t since_us, int64_t now_us)
{
    double age = (double)(now_us - since_us);
    return exp2(-fmax(age, 0) / MEMORY_HALF_LIFE_US);
}

double
EbPool_Latency(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    double typical = pool->median_us > 0
                         ? pool->median_us
                         : (double)pool->config->service_estimate_us;
    if (server->samples == 0) {
        return fmax(typical, 1);
    }
    double excess = server->latency_us - typical;
    return fmax(typical + excess * decay(server->measured_us, now_us), 1);
}

double
EbPool_UsualCost(const EbPoolServer *server)
{
    return EbServerSpeed_UsualCost(&server->speed);
}

double
EbPool_PresentCost(const EbPool *pool, const EbPoolServer *server,
                   int64_t now_us)
{
    bool known = pool->uneven || server->speed.work_percent > 0;
    return known ? EbPool_UsualCost(server) *
                       EbServerSpeed_Slowdown(&server->speed, now_us)
                 : 1;
}

double
EbPool_FailureRate(const EbPoolServer *server, int64_t now_us)
{
    return server->failure_rate * decay(server->failure_rate_us, now_us);
}

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left, b = *(const double *)right;
    return (a > b) - (a < b);
}

static double
lower_median(double *values, uint32_t count)
{
    qsort(values, count, sizeof(double), compare_doubles);
    return count > 0 ? values[(count - 1) / 2] : 0;
}

/* Returns whether the slower servers differ so much from the faster ones that
 * it outweighs the prompts that are read again when keys move. Servers that
 * were cold lately are slower, but not by that much.
 *
 * intervals: sorted */
static bool
is_uneven(const EbPool *pool, const double *intervals, uint32_t count)
{
    uint32_t outer = count / UNEVEN_OUTER_DIVISOR;
    double ratio = intervals[count - 1 - outer] / intervals[outer];
    return ratio >= (pool->uneven ? UNEVEN_LEAVE_RATIO : UNEVEN_ENTER_RATIO);
}

static void
update_typical_interval(EbPool *pool)
{
    double *intervals = g_new(double, pool->member_count + 1);
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        if (pool->members[i]->speed.samples > 0) {
            intervals[count++] = pool->members[i]->speed.piece_interval_us;
        }
    }
    double median_us = lower_median(intervals, count);
    pool->uneven = count >= MIN_INTERVALS && is_uneven(pool, intervals, count);
    pool->typical_interval_us = pool->uneven ? median_us : 0;
    g_free(intervals);
}

static void
update_costs(EbPool *pool)
{
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        EbServerSpeed_UpdateCost(&server->speed, pool->typical_interval_us);
        uint32_t before = server->logged_cost_permille != 0
                              ? server->logged_cost_permille
                              : PERMILLE;
        uint32_t cost = (uint32_t)lround(EbPool_UsualCost(server) * PERMILLE);
        if (cost != before) {
            server->logged_cost_permille = cost;
            EB_EMIT(pool->events, EB_EVENT_SERVER_COST_CHANGED,
                    EB_STRING_FIELD("backend_server", server->id),
                    EB_STRING_FIELD("pool", pool->config->name),
                    EB_INTEGER_FIELD("piece_interval_us",
                                     server->speed.piece_interval_us),
                    EB_INTEGER_FIELD("cost_permille", cost));
        }
    }
}

/* For an even number of servers the lower of the two middle values is used, so
 * that the faster of two servers is not measured against the slower one. */
void
EbPool_UpdateMedian(EbPool *pool, int64_t now_us)
{
    double *latencies = g_new(double, pool->member_count + 1);
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        if (server->samples > 0 && !server->leaving) {
            latencies[count++] = EbPool_Latency(pool, server, now_us);
        }
    }
    pool->measured_count = count;
    pool->median_us = lower_median(latencies, count);
    g_free(latencies);
    update_typical_interval(pool);
    update_costs(pool);
}

static bool
may_eject(const EbPool *pool)
{
    uint32_t staying = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        staying += !pool->members[i]->leaving;
    }
    return pool->ejected_count + 1 <= staying / EJECT_MAX_DIVISOR;
}

static void
eject(EbPool *pool, EbPoolServer *server, const char *cause, int64_t now_us)
{
    if (server->ejected || server->leaving || !may_eject(pool)) {
        return;
    }
    int64_t duration_us = EJECT_BASE_US;
    for (uint32_t i = 0; i < server->ejections; i++) {
        duration_us = MIN(2 * duration_us, EJECT_MAX_US);
    }
    server->ejections++;
    server->ejected = true;
    server->cause = cause;
    server->ejected_until_us = now_us + duration_us;
    pool->ejected_count++;
    EB_EMIT(pool->events, EB_EVENT_SERVER_EJECTED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("pool", pool->config->name),
            EB_STRING_FIELD("cause", cause),
            EB_INTEGER_FIELD("until_us", server->ejected_until_us));
}

/* Ends an ejection. The latency is measured again from the start. Until the
 * first success a single failure ejects the server again. */
static void
readmit_server(EbPool *pool, EbPoolServer *server, int64_t now_us)
{
    server->ejected = false;
    server->cause = "";
    server->ejected_until_us = 0;
    server->samples = 0;
    server->failure_rate = 0;
    server->consecutive_failures = 0;
    server->probation = true;
    server->readmitted_us = now_us;
    pool->ejected_count--;
    if (pool->pace != NULL) {
        EbPace_Readmitted(pool->pace, server->id, now_us);
    }
    EB_EMIT(pool->events, EB_EVENT_SERVER_RETURNED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("pool", pool->config->name));
}

static void
lower_limit(EbPoolServer *server, double factor, int64_t now_us)
{
    if (now_us - server->limit_lowered_us < LIMIT_DECREASE_INTERVAL_US) {
        return;
    }
    server->limit = fmax(server->limit * factor, 1);
    server->limit_lowered_us = now_us;
}

static bool
is_far_above_median(const EbPool *pool, double latency_us)
{
    return pool->measured_count >= EJECT_MIN_MEASURED_SERVERS &&
           latency_us > EJECT_LATENCY_FACTOR * pool->median_us &&
           latency_us > pool->median_us + EJECT_LATENCY_MIN_US;
}

/* Raises the limit by one per full round of calls at the limit, unless the
 * server recently reported waiting calls: all daemons share its capacity. */
static void
raise_limit(EbPoolServer *server, int64_t now_us)
{
    bool waiting = server->has_report && server->reported_waiting > 0 &&
                   now_us - server->reported_us < REPORT_FRESH_US;
    if (!waiting) {
        server->limit =
            fmin(server->limit + 1 / server->limit, server->config->capacity);
    }
}

static void
add_latency(EbPool *pool, EbPoolServer *server, int64_t duration_us,
            int64_t now_us)
{
    double gain = fmax(LATENCY_GAIN, 1.0 / (server->samples + 1));
    double before = EbPool_Latency(pool, server, now_us);
    server->latency_us = before + gain * ((double)duration_us - before);
    server->samples++;
    server->measured_us = now_us;
    if (pool->median_us <= 0) {
        EbPool_UpdateMedian(pool, now_us);
    }
}

/* Counts the duration of a call that was given up, which would have taken
 * longer still. Without it, a server whose slow calls are all cancelled in
 * favour of their hedges would look fast. */
static void
add_lower_bound(EbPool *pool, EbPoolServer *server, int64_t duration_us,
                int64_t now_us)
{
    if ((double)duration_us > EbPool_Latency(pool, server, now_us)) {
        add_latency(pool, server, duration_us, now_us);
    }
}

static void
add_result(EbPoolServer *server, bool failed, int64_t now_us)
{
    double rate = EbPool_FailureRate(server, now_us);
    server->failure_rate = rate + FAILURE_GAIN * ((failed ? 1 : 0) - rate);
    server->failure_rate_us = now_us;
}

static void
record_success(EbPool *pool, EbPoolServer *server, int64_t duration_us,
               bool at_limit, int64_t now_us)
{
    server->consecutive_failures = 0;
    server->probation = false;
    add_latency(pool, server, duration_us, now_us);
    add_result(server, false, now_us);
    double latency_us = EbPool_Latency(pool, server, now_us);
    if (is_far_above_median(pool, latency_us)) {
        lower_limit(server, LIMIT_DECREASE, now_us);
    }
    else if (at_limit) {
        raise_limit(server, now_us);
    }
}

static void
record_failure(EbPool *pool, EbPoolServer *server, const char *cause,
               int64_t now_us)
{
    server->failures++;
    server->consecutive_failures++;
    add_result(server, true, now_us);
    lower_limit(server, LIMIT_DECREASE, now_us);
    uint32_t max_failures = server->probation ? 1 : EJECT_FAILURES;
    if (server->consecutive_failures >= max_failures) {
        eject(pool, server, cause, now_us);
    }
}

static void
record_pace(const EbPool *pool, const EbPoolServer *server,
            EbCallResult result, int64_t duration_us, int64_t started_us,
            int64_t now_us)
{
    static const EbPaceResult results[EB_CALL_RESULT_COUNT] = {
        [EB_CALL_OK] = EB_PACE_ANSWERED,
        [EB_CALL_REFUSED] = EB_PACE_REFUSED,
        [EB_CALL_OVERLOADED] = EB_PACE_FAILED,
        [EB_CALL_ERROR] = EB_PACE_FAILED,
        [EB_CALL_BROKEN] = EB_PACE_FAILED,
        [EB_CALL_SILENT] = EB_PACE_FAILED,
        [EB_CALL_CANCELLED] = EB_PACE_GIVEN_UP,
    };
    if (pool->pace != NULL && result != EB_CALL_REJECTED) {
        EbPaceCall call = {.result = results[result],
                           .time = fmax((double)duration_us, 1),
                           .started_us = started_us};
        EbPace_RecordResult(pool->pace, server->id, &call, now_us);
    }
}

void
EbPool_RecordCall(EbPool *pool, EbPoolServer *server, EbCallResult result,
                  int64_t duration_us, int64_t started_us, bool at_limit,
                  int64_t now_us)
{
    record_pace(pool, server, result, duration_us, started_us, now_us);
    switch (result) {
    case EB_CALL_OK:
        record_success(pool, server, duration_us, at_limit, now_us);
        break;
    case EB_CALL_OVERLOADED:
        /* No ejection: it would move the load to the other servers. */
        server->failures++;
        add_result(server, true, now_us);
        lower_limit(server, LIMIT_DECREASE, now_us);
        break;
    case EB_CALL_REJECTED:
        server->consecutive_failures = 0;
        break;
    case EB_CALL_CANCELLED:
        add_lower_bound(pool, server, duration_us, now_us);
        break;
    case EB_CALL_SILENT:
        add_lower_bound(pool, server, duration_us, now_us);
        record_failure(pool, server, EbCallResult_names[result], now_us);
        break;
    default:
        record_failure(pool, server, EbCallResult_names[result], now_us);
        break;
    }
}

void
EbPool_RecordLoadReport(EbPoolServer *server, int64_t now_us)
{
    /* A short queue is wanted: it keeps the server's batch full. */
    if (server->reported_waiting > MAX(1, server->config->capacity / 4)) {
        lower_limit(server, LIMIT_QUEUE_DECREASE, now_us);
    }
}

static void
update_server(EbPool *pool, EbPoolServer *server, int64_t now_us)
{
    if (server->ejected) {
        if (now_us >= server->ejected_until_us) {
            readmit_server(pool, server, now_us);
        }
        return;
    }
    if (server->ejections > 0 &&
        now_us - server->readmitted_us >= EJECT_FORGET_US) {
        server->ejections--;
        server->readmitted_us = now_us;
    }
    if (server->consecutive_failures >= EJECT_FAILURES) {
        eject(pool, server, "failures", now_us);
    }
    else if (server->samples >= EJECT_MIN_SAMPLES &&
             is_far_above_median(pool, EbPool_Latency(pool, server, now_us))) {
        eject(pool, server, "latency", now_us);
    }
}

void
EbPool_UpdateHealth(EbPool *pool, int64_t now_us)
{
    EbPool_UpdateMedian(pool, now_us);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        update_server(pool, pool->servers[i], now_us);
    }
}
