#include "ebonyhollow/pool.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "ebonyhollow/incarnation.h"
#include "pool_state.h"

#define QUANTILE_PERMILLE 950
#define QUANTILE_MIN_CALLS 20
/* The 95th percentile covers the last one to two intervals, and longer while
 * calls are rare. */
#define QUANTILE_INTERVAL_US 30000000
/* The configured estimate weighs as much as four calls, so that a single
 * unusual first call doesn't decide about admission. */
#define ESTIMATE_CALLS 4
/* Part of a server's connections that is divided among the known daemons. The
 * rest is for daemons that join or that do not see each other. */
#define CONNECTIONS_USED 0.8
#define SERVICE_GAIN 0.03 /* an average of about 30 calls */

const char *const EbServerState_names[EB_SERVER_STATE_COUNT] = {
    [EB_SERVER_AVAILABLE] = "available",   [EB_SERVER_EJECTED] = "ejected",
    [EB_SERVER_SLOW_START] = "slow-start", [EB_SERVER_LEAVING] = "leaving",
    [EB_SERVER_EVACUATED] = "evacuated",
};

const char *const EbCallResult_names[EB_CALL_RESULT_COUNT] = {
    [EB_CALL_OK] = "ok",
    [EB_CALL_REFUSED] = "refused",
    [EB_CALL_OVERLOADED] = "overloaded",
    [EB_CALL_ERROR] = "error",
    [EB_CALL_REJECTED] = "rejected",
    [EB_CALL_BROKEN] = "broken",
    [EB_CALL_SILENT] = "silent",
    [EB_CALL_CANCELLED] = "cancelled",
};

static void
free_server(EbPoolServer *server)
{
    g_free(server->ring);
    g_free(server->id);
    g_free(server);
}

static EbPoolServer *
new_server(const EbPool *pool, const EbConfigBackendServer *config)
{
    EbPoolServer *server = g_new0(EbPoolServer, 1);
    server->id = g_strdup(config->id);
    server->rank = EbPool_HashRank(pool->instance, config->id);
    server->cause = "";
    server->limit_lowered_us = INT64_MIN / 2;
    /* Other daemons use the server as well. Half of its capacity is left for
     * them until the limit has adapted. */
    server->limit = ceil(config->capacity / 2.0);
    return server;
}

/* Returns the server of a new configuration that was in the old one, NULL for
 * another one. A server that has started anew keeps only its calls in flight:
 * they end in the same way as others but say nothing of the new start. */
static EbPoolServer *
keep_server(EbPool *pool, GHashTable *old_ids,
            const EbConfigBackendServer *row)
{
    EbPoolServer *server =
        old_ids != NULL ? g_hash_table_lookup(old_ids, row->id) : NULL;
    if (server == NULL ||
        !EbIncarnation_HasChanged(server->incarnation, row->incarnation)) {
        return server;
    }
    EbPoolServer *started = new_server(pool, row);
    started->in_flight = server->in_flight;
    started->earlier_calls = server->in_flight;
    started->ring = g_steal_pointer(&server->ring);
    started->ring_head = server->ring_head;
    started->ring_size = server->ring_size;
    return started;
}

/* Resizes the ring of start times and keeps its content. */
static void
resize_ring(EbPoolServer *server, uint32_t size)
{
    int64_t *ring = g_new(int64_t, size);
    for (uint32_t i = 0; i < server->in_flight; i++) {
        ring[i] = server->ring[(server->ring_head + i) % server->ring_size];
    }
    g_free(server->ring);
    server->ring = ring;
    server->ring_head = 0;
    server->ring_size = size;
}

static void
update_server_config(const EbPool *pool, EbPoolServer *server,
                     const EbConfigBackendServer *config)
{
    assert(config->capacity > 0);
    server->config = config;
    server->incarnation = config->incarnation;
    server->limit = pool->policy->adapts
                        ? fmin(server->limit, config->capacity)
                        : config->capacity;
    resize_ring(server, MAX(config->capacity, server->in_flight));
    server->connection_share = EbPool_ConnectionShare(pool);
}

uint32_t
EbPool_ConnectionShare(const EbPool *pool)
{
    uint32_t max_connections = pool->config->max_connections;
    if (max_connections == 0) {
        return UINT32_MAX;
    }
    double share = max_connections * CONNECTIONS_USED / fmax(pool->daemons, 1);
    return MAX((uint32_t)share, 1);
}

void
EbPool_SetDaemonCount(EbPool *pool, uint32_t daemons)
{
    pool->daemons = daemons;
    for (uint32_t i = 0; i < pool->server_count; i++) {
        pool->servers[i]->connection_share = EbPool_ConnectionShare(pool);
    }
}

void
EbPool_SetConfig(EbPool *pool, const EbConfig *config, uint32_t pool_index)
{
    assert(pool_index < config->pool_count);
    EbPoolServer **old = pool->servers;
    GHashTable *old_ids = pool->by_id;
    uint32_t old_count = pool->server_count;
    pool->config = &config->pools[pool_index];
    pool->server_count = pool->config->server_count;
    pool->servers = g_new(EbPoolServer *, pool->server_count + 1);
    pool->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        const EbConfigBackendServer *row =
            &config->servers[pool->config->server_indexes[i]];
        EbPoolServer *server = keep_server(pool, old_ids, row);
        if (server == NULL) {
            server = new_server(pool, row);
        }
        update_server_config(pool, server, row);
        pool->servers[i] = server;
        g_hash_table_insert(pool->by_id, server->id, server);
    }
    for (uint32_t i = 0; i < old_count; i++) {
        if (g_hash_table_lookup(pool->by_id, old[i]->id) != old[i]) {
            pool->ejected_count -= old[i]->ejected;
            free_server(old[i]);
        }
    }
    g_free(old);
    if (old_ids != NULL) {
        g_hash_table_destroy(old_ids);
    }
    g_free(pool->members);
    pool->members = g_new(EbPoolServer *, pool->server_count + 1);
    EbPool_BuildSubset(pool);
}

EbPool *
EbPool_New(const EbPoolOptions *options, EbError *error)
{
    assert(options->policy < EB_POOL_POLICY_COUNT);
    assert(options->random != NULL);
    if (options->pool_index >= options->config->pool_count) {
        EbError_Set(error, EB_ERROR_RANGE,
                    "pool index %u is out of range: there are %u pools",
                    options->pool_index, options->config->pool_count);
        return NULL;
    }
    EbPool *pool = g_new0(EbPool, 1);
    pool->policy = &EbPool_policies[options->policy];
    pool->instance = g_strdup(options->instance);
    pool->failure_domain = g_strdup(options->failure_domain);
    pool->random = options->random;
    pool->daemons = 1;
    pool->events = options->events;
    pool->directives = options->directives;
    pool->evacuations = options->evacuations;
    pool->pace = options->pace;
    pool->measure_speeds = options->measure_speeds;
    EbPool_SetConfig(pool, options->config, options->pool_index);
    return pool;
}

void
EbPool_Free(EbPool *pool)
{
    if (pool == NULL) {
        return;
    }
    for (uint32_t i = 0; i < pool->server_count; i++) {
        free_server(pool->servers[i]);
    }
    g_hash_table_destroy(pool->by_id);
    g_free(pool->servers);
    g_free(pool->members);
    g_free(pool->instance);
    g_free(pool->failure_domain);
    g_free(pool);
}

const EbConfigBackendServer *
EbPool_BeginCall(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us)
{
    assert(criteria->excluded_count <= EB_POOL_MAX_EXCLUDED);
    EbPoolServer *server = pool->policy->choose(pool, criteria, now_us);
    if (server == NULL) {
        return NULL;
    }
    assert(server->in_flight < server->ring_size);
    uint32_t slot =
        (server->ring_head + server->in_flight) % server->ring_size;
    server->ring[slot] = now_us;
    server->in_flight++;
    server->calls++;
    if (pool->directives != NULL) {
        EbDirectives_RecordCall(pool->directives, server->id, now_us);
    }
    return server->config;
}

/* Returns whether the end of a call says nothing of the server's present
 * start. A failure may be that of a call to an earlier one, as long as such
 * calls are in flight; they fail when their connections break. */
static bool
ends_earlier_call(EbPoolServer *server, EbCallResult result)
{
    if (server->earlier_calls == 0) {
        return false;
    }
    if (result == EB_CALL_OK || result == EB_CALL_REJECTED) {
        return false;
    }
    server->earlier_calls--;
    return true;
}

/* Removes the start time of the server's oldest call and returns how long that
 * call has run. It need not be the call that ended: the sum over all calls is
 * the same, and only the average is used. */
static int64_t
pop_oldest_call(EbPoolServer *server, int64_t now_us)
{
    int64_t started_us = server->ring[server->ring_head];
    server->ring_head = (server->ring_head + 1) % server->ring_size;
    server->in_flight--;
    return now_us - started_us;
}

static void
add_service_time(EbPool *pool, int64_t service_us)
{
    if (pool->service_samples == 0) {
        pool->service_us = (double)pool->config->service_estimate_us;
    }
    pool->service_samples++;
    double gain = fmax(SERVICE_GAIN,
                       1.0 / (double)(pool->service_samples + ESTIMATE_CALLS));
    pool->service_us += gain * ((double)service_us - pool->service_us);
}

/* Scales the duration of a call to that of a call of average length, so that
 * a server that happened to get long ones doesn't seem slow. */
static int64_t
normalize_duration(EbPool *pool, EbCallResult result, int64_t duration_us,
                   int64_t expected_us)
{
    if (result == EB_CALL_OK) {
        double gain = pool->mean_duration_us > 0 ? SERVICE_GAIN : 1;
        pool->mean_duration_us +=
            gain * ((double)duration_us - pool->mean_duration_us);
    }
    if (expected_us <= 0 || pool->mean_duration_us <= 0) {
        return duration_us;
    }
    return (int64_t)((double)duration_us * pool->mean_duration_us /
                     (double)expected_us);
}

void
EbPool_EndCall(EbPool *pool, const char *server_id, EbCallResult result,
               int64_t duration_us, int64_t now_us)
{
    EbPool_EndCallOfKind(pool, server_id, result, duration_us, 0, now_us);
}

void
EbPool_EndCallOfKind(EbPool *pool, const char *server_id, EbCallResult result,
                     int64_t duration_us, int64_t expected_us, int64_t now_us)
{
    assert(result < EB_CALL_RESULT_COUNT);
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    /* A server that was removed and added again has no call to end. */
    if (server == NULL || server->in_flight == 0) {
        return;
    }
    bool at_limit = server->in_flight >= EbPool_Slots(pool, server, now_us);
    int64_t service_us = pop_oldest_call(server, now_us);
    bool earlier = ends_earlier_call(server, result);
    server->earlier_calls = MIN(server->earlier_calls, server->in_flight);
    if (earlier) {
        return;
    }
    if (result == EB_CALL_OK) {
        add_service_time(pool, service_us);
        EbHistogram_Add(&pool->recent, duration_us);
    }
    int64_t normal_us =
        normalize_duration(pool, result, duration_us, expected_us);
    if (pool->policy->adapts) {
        EbPool_RecordCall(pool, server, result, normal_us,
                          now_us - duration_us, at_limit, now_us);
    }
    else if (result != EB_CALL_OK && result != EB_CALL_REJECTED &&
             result != EB_CALL_CANCELLED) {
        server->failures++;
    }
}

void
EbPool_ReportLoad(EbPool *pool, const char *server_id, uint32_t running,
                  uint32_t waiting, int64_t reported_us, int64_t now_us)
{
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    if (server == NULL ||
        (server->has_report && reported_us < server->reported_us)) {
        return;
    }
    server->has_report = true;
    server->reported_load =
        running > UINT32_MAX - waiting ? UINT32_MAX : running + waiting;
    server->reported_waiting = waiting;
    server->own_calls_at_report = server->in_flight;
    server->reported_us = MIN(reported_us, now_us);
    if (pool->policy->adapts) {
        EbPool_RecordLoadReport(server, now_us);
    }
}

void
EbPool_RecordPieceInterval(EbPool *pool, const char *server_id,
                           double piece_interval_us, int64_t now_us)
{
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    if (server != NULL && pool->measure_speeds && piece_interval_us > 0) {
        EbServerSpeed_Observe(&server->speed, piece_interval_us, now_us);
    }
}

void
EbPool_RecordWork(EbPool *pool, const char *server_id, uint32_t percent,
                  int64_t now_us)
{
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    if (server != NULL && percent > 0) {
        EbServerSpeed_RecordWork(&server->speed, percent, now_us);
    }
}

void
EbPool_MergeSpeed(EbPool *pool, const EbSpeedReport *report, int64_t now_us)
{
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, report->server_id);
    if (server != NULL && pool->measure_speeds &&
        report->piece_interval_us > 0) {
        EbServerSpeed_Merge(&server->speed, report, now_us);
    }
}

uint32_t
EbPool_TakeSpeedReports(EbPool *pool, EbSpeedReport *reports, uint32_t max,
                        int64_t now_us)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->server_count && count < max; i++) {
        EbPoolServer *server = pool->servers[i];
        if (EbServerSpeed_TakeReport(&server->speed, &reports[count],
                                     now_us)) {
            reports[count++].server_id = server->id;
        }
    }
    return count;
}

bool
EbPool_SetLeaving(EbPool *pool, const char *server_id, bool leaving,
                  int64_t now_us)
{
    (void)now_us;
    EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    if (server == NULL || server->leaving == leaving) {
        return false;
    }
    server->leaving = leaving;
    if (server->ejected) {
        server->ejected = false;
        server->cause = "";
        server->ejected_until_us = 0;
        pool->ejected_count--;
    }
    EbPool_BuildSubset(pool);
    return true;
}

void
EbPool_EvacuationsChanged(EbPool *pool)
{
    EbPool_BuildSubset(pool);
}

bool
EbPool_IsEvacuated(const EbPool *pool)
{
    bool closed = false;
    for (uint32_t i = 0; i < pool->server_count; i++) {
        const EbPoolServer *server = pool->servers[i];
        if (!server->leaving && !EbPool_IsClosed(pool, server)) {
            return false;
        }
        closed = closed || !server->leaving;
    }
    return closed;
}

uint32_t
EbPool_CountCalls(const EbPool *pool, const char *failure_domain)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < pool->server_count; i++) {
        const EbPoolServer *server = pool->servers[i];
        if (strcmp(server->config->failure_domain, failure_domain) == 0) {
            count += server->in_flight;
        }
    }
    return count;
}

void
EbPool_Tick(EbPool *pool, int64_t now_us)
{
    if (pool->policy->adapts) {
        EbPool_UpdateHealth(pool, now_us);
    }
    if (now_us - pool->rotated_us >= QUANTILE_INTERVAL_US &&
        pool->recent.count >= QUANTILE_MIN_CALLS) {
        pool->previous = pool->recent;
        pool->recent = (EbHistogram){0};
        pool->rotated_us = now_us;
    }
}

int64_t
EbPool_LatencyP95(const EbPool *pool)
{
    EbHistogram merged = pool->recent;
    EbHistogram_Merge(&merged, &pool->previous);
    if (merged.count < QUANTILE_MIN_CALLS) {
        return 0;
    }
    return EbHistogram_Quantile(&merged, QUANTILE_PERMILLE);
}

uint32_t
EbPool_InFlight(const EbPool *pool, const char *server_id)
{
    const EbPoolServer *server = g_hash_table_lookup(pool->by_id, server_id);
    return server != NULL ? server->in_flight : 0;
}

size_t
EbPool_ServerCount(const EbPool *pool)
{
    return pool->member_count;
}

static EbServerState
server_state(const EbPool *pool, const EbPoolServer *server, bool paced)
{
    if (server->leaving) {
        return EB_SERVER_LEAVING;
    }
    if (EbPool_IsClosed(pool, server)) {
        return EB_SERVER_EVACUATED;
    }
    if (server->ejected) {
        return EB_SERVER_EJECTED;
    }
    return paced ? EB_SERVER_SLOW_START : EB_SERVER_AVAILABLE;
}

void
EbPool_View(const EbPool *pool, size_t index, EbServerView *view,
            int64_t now_us)
{
    assert(index < pool->member_count);
    const EbPoolServer *server = pool->members[index];
    EbPaceView pace = {.cause = ""};
    if (pool->pace != NULL) {
        EbPace_View(pool->pace, server->id, &pace, now_us);
    }
    *view = (EbServerView){
        .server = server->config,
        .state = server_state(pool, server, pace.paced),
        .cause = server->ejected ? server->cause : pace.cause,
        .in_flight = server->in_flight,
        .cold_left_us = pace.cold_left_us,
        .limit = (uint32_t)server->limit,
        .reported_load = server->reported_load,
        .latency_us = server->samples > 0 ? (int64_t)server->latency_us : 0,
        .piece_interval_us = (int64_t)server->speed.piece_interval_us,
        .until_us = server->ejected_until_us,
        .calls = server->calls,
        .failures = server->failures,
    };
}
