#include <math.h>
#include <stdlib.h>

#include "pool_state.h"

#define LATENCY_GAIN 0.1 /* remembers about ten calls */
#define FAILURE_GAIN 0.1
/* A server that is avoided gives no new measurements; what is known of it
 * fades, so that it is tried again. */
#define MEMORY_HALF_LIFE_US 10000000

#define LIMIT_DECREASE 0.7
/* Queueing at the server is found early and by all of its daemons at once,
 * so each step is smaller. */
#define LIMIT_QUEUE_DECREASE 0.9
#define LIMIT_PAUSE_US 200000 /* one decrease for one cause */
#define REPORT_FRESH_US 2000000

#define EJECT_FAILURES 3
#define EJECT_LATENCY_FACTOR 4
#define EJECT_LATENCY_MIN_US 20000 /* below it, the gap is jitter */
#define EJECT_SAMPLES 10
#define EJECT_MEASURED 3 /* a median of fewer servers says little */
#define EJECT_SHARE 3    /* at most one server in three */
#define EJECT_BASE_US 5000000
#define EJECT_MAX_US 120000000
#define EJECT_FORGIVE_US 60000000 /* without an ejection, for each of them */
#define SLOW_START_US 10000000
#define SLOW_START_FIRST 0.1

static double
fade(int64_t since_us, int64_t now_us)
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
    double known = server->latency_us - typical;
    return fmax(typical + known * fade(server->measured_us, now_us), 1);
}

double
EbPool_FailureRate(const EbPoolServer *server, int64_t now_us)
{
    return server->failure_rate * fade(server->failure_rate_us, now_us);
}

double
EbPool_SlowStartShare(const EbPoolServer *server, int64_t now_us)
{
    if (!server->slow_start) {
        return 1;
    }
    double progress = (double)(now_us - server->returned_us) / SLOW_START_US;
    return fmin(fmax(progress, SLOW_START_FIRST), 1);
}

static int
compare_doubles(const void *left, const void *right)
{
    double a = *(const double *)left, b = *(const double *)right;
    return (a > b) - (a < b);
}

/* Takes the lower middle value, so that one slow server of two doesn't become
 * the measure of the other. */
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
    qsort(latencies, count, sizeof(double), compare_doubles);
    pool->measured_count = count;
    pool->median_us = count > 0 ? latencies[(count - 1) / 2] : 0;
    g_free(latencies);
}

static bool
may_eject(const EbPool *pool)
{
    uint32_t staying = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        staying += !pool->members[i]->leaving;
    }
    return pool->ejected_count + 1 <= staying / EJECT_SHARE;
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
    server->slow_start = false;
    server->cause = cause;
    server->until_us = now_us + duration_us;
    pool->ejected_count++;
    EB_EMIT(pool->events, EB_EVENT_SERVER_EJECTED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("pool", pool->config->name),
            EB_STRING_FIELD("cause", cause),
            EB_INTEGER_FIELD("until_us", server->until_us));
}

/* Lets a server back in. Its latency is measured anew; until its first
 * success a single failure ejects it again. */
static void
take_back(EbPool *pool, EbPoolServer *server, int64_t now_us)
{
    server->ejected = false;
    server->cause = "";
    server->until_us = 0;
    server->samples = 0;
    server->failure_rate = 0;
    server->consecutive_failures = 0;
    server->probation = true;
    server->slow_start = true;
    server->returned_us = now_us;
    pool->ejected_count--;
    EB_EMIT(pool->events, EB_EVENT_SERVER_RETURNED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("pool", pool->config->name));
}

static void
lower_limit(EbPoolServer *server, double factor, int64_t now_us)
{
    if (now_us - server->lowered_us < LIMIT_PAUSE_US) {
        return;
    }
    server->limit = fmax(server->limit * factor, 1);
    server->lowered_us = now_us;
}

static bool
is_far_above_median(const EbPool *pool, double latency_us)
{
    return pool->measured_count >= EJECT_MEASURED &&
           latency_us > EJECT_LATENCY_FACTOR * pool->median_us &&
           latency_us > pool->median_us + EJECT_LATENCY_MIN_US;
}

/* One more call for each round of calls at the limit, unless the server says
 * that calls wait there: its capacity is shared by all daemons. */
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

/* A call that was given up would have taken longer than it did. Without it a
 * server whose slow calls are all hedged away would look fast. */
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
observe_success(EbPool *pool, EbPoolServer *server, int64_t duration_us,
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
observe_failure(EbPool *pool, EbPoolServer *server, const char *cause,
                int64_t now_us)
{
    server->failures++;
    server->consecutive_failures++;
    add_result(server, true, now_us);
    lower_limit(server, LIMIT_DECREASE, now_us);
    uint32_t allowed = server->probation ? 1 : EJECT_FAILURES;
    if (server->consecutive_failures >= allowed) {
        eject(pool, server, cause, now_us);
    }
}

void
EbPool_RecordCall(EbPool *pool, EbPoolServer *server, EbCallResult result,
                  int64_t duration_us, bool at_limit, int64_t now_us)
{
    switch (result) {
    case EB_CALL_OK:
        observe_success(pool, server, duration_us, at_limit, now_us);
        break;
    case EB_CALL_OVERLOADED:
        /* An ejection would push the load onto the other servers. */
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
        observe_failure(pool, server, EbCallResult_names[result], now_us);
        break;
    default:
        observe_failure(pool, server, EbCallResult_names[result], now_us);
        break;
    }
}

void
EbPool_RecordLoadReport(EbPoolServer *server, int64_t now_us)
{
    /* A short queue at the server keeps its batch full. */
    if (server->reported_waiting > MAX(1, server->config->capacity / 4)) {
        lower_limit(server, LIMIT_QUEUE_DECREASE, now_us);
    }
}

static void
update_server(EbPool *pool, EbPoolServer *server, int64_t now_us)
{
    if (server->ejected) {
        if (now_us >= server->until_us) {
            take_back(pool, server, now_us);
        }
        return;
    }
    if (server->slow_start && now_us - server->returned_us >= SLOW_START_US) {
        server->slow_start = false;
    }
    if (server->ejections > 0 &&
        now_us - server->returned_us >= EJECT_FORGIVE_US) {
        server->ejections--;
        server->returned_us = now_us;
    }
    if (server->consecutive_failures >= EJECT_FAILURES) {
        eject(pool, server, "failures", now_us);
    }
    else if (server->samples >= EJECT_SAMPLES &&
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
