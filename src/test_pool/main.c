/* Tests of the pool of backend servers. */
#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "ebonyhollow/error.h"
#include "fixture.h"
#include "returning.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US INT64_C(1000000)

static const EbPoolCriteria no_criteria;

static uint64_t
member_bits(const EbPool *pool)
{
    uint64_t members = 0;
    for (size_t i = 0; i < EbPool_ServerCount(pool); i++) {
        EbServerView view;
        EbPool_View(pool, i, &view, 0);
        unsigned index = 0;
        CU_ASSERT_EQUAL(sscanf(view.server->id, "s%u", &index), 1);
        members |= UINT64_C(1) << index;
    }
    return members;
}

static EbServerView
find_view_at(const EbPool *pool, const char *id, int64_t now_us)
{
    EbServerView view = {0};
    for (size_t i = 0; i < EbPool_ServerCount(pool); i++) {
        EbPool_View(pool, i, &view, now_us);
        if (strcmp(view.server->id, id) == 0) {
            return view;
        }
    }
    CU_FAIL("no such server");
    return view;
}

static EbServerView
find_view(const EbPool *pool, const char *id)
{
    return find_view_at(pool, id, 0);
}

/* Begins a call; fails the test when no server can take it. */
static const EbConfigBackendServer *
begin_call(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us)
{
    const EbConfigBackendServer *server =
        EbPool_BeginCall(pool, criteria, now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    assert(server != NULL);
    return server;
}

/* Runs `count` calls at one server. The server is passed as the preferred one;
 * servers that are chosen instead are excluded one by one. */
static void
run_calls(EbPool *pool, const char *id, EbCallResult result,
          int64_t duration_us, int count, int64_t now_us)
{
    for (int i = 0; i < count; i++) {
        const EbConfigBackendServer *server = NULL;
        const char *others[EB_POOL_MAX_EXCLUDED];
        EbPoolCriteria criteria = {.preferred = id};
        for (int skip = 0; skip < EB_POOL_MAX_EXCLUDED; skip++) {
            server = begin_call(pool, &criteria, now_us - duration_us);
            if (strcmp(server->id, id) == 0) {
                break;
            }
            others[skip] = server->id;
            EbPool_EndCall(pool, server->id, EB_CALL_CANCELLED, 0, now_us);
            criteria.excluded[criteria.excluded_count++] = others[skip];
        }
        CU_ASSERT_STRING_EQUAL_FATAL(server->id, id);
        EbPool_EndCall(pool, id, result, duration_us, now_us);
    }
}

/* Guards against subsets without servers from other failure domains, which
 * would be lost together with the daemon's own domain, and against other
 * members that are replaced when one server joins or leaves. */
static void
test_subset(void)
{
    static const struct {
        uint32_t servers, domains, subset;
        int own, others;
    } rows[] = {
        {24, 3, 9, 6, 3},   {24, 3, 10, 6, 4}, {24, 3, 0, 8, 16},
        {24, 3, 18, 8, 10}, {12, 1, 6, 6, 0},  {10, 5, 50, 2, 8},
    };
    EbRandom random;
    EbRandom_Init(&random, 1);
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        for (int daemon = 0; daemon < 20; daemon++) {
            char name[16];
            snprintf(name, sizeof(name), "i%d", daemon);
            Fixture fixture;
            Fixture_Init(&fixture, rows[i].servers, rows[i].domains,
                         rows[i].subset, 4);
            EbPool *pool =
                Fixture_NewPool(&fixture, name, EB_POOL_ADAPTIVE, &random);
            uint64_t members = member_bits(pool);
            int own = 0, others = 0;
            for (uint32_t s = 0; s < rows[i].servers; s++) {
                if (members >> s & 1) {
                    (*(s % rows[i].domains == 0 ? &own : &others))++;
                }
            }
            CU_ASSERT_EQUAL(own, rows[i].own);
            CU_ASSERT_EQUAL(others, rows[i].others);
            for (uint32_t removed = 0; removed < rows[i].servers; removed++) {
                Fixture fewer = fixture;
                fewer.config.servers = fewer.servers;
                fewer.config.pools = &fewer.pool;
                fewer.pool.server_indexes = fewer.indexes;
                fewer.indexes[removed] = rows[i].servers - 1;
                fewer.pool.server_count--;
                EbPool_SetConfig(pool, &fewer.config, 0);
                uint64_t changed = members & ~member_bits(pool);
                changed &= ~(UINT64_C(1) << removed);
                CU_ASSERT_EQUAL(changed, 0);
                EbPool_SetConfig(pool, &fixture.config, 0);
                CU_ASSERT_EQUAL(member_bits(pool), members);
            }
            Fixture_Close(&fixture, pool);
        }
    }
}

/* Guards against a slow server that gets as many calls as the others. It takes
 * ten times as long, so at equal utilisation it would get a tenth of another
 * server's calls. A quarter of the even share is allowed, for the calls that
 * measure it again. */
static void
test_straggler(void)
{
    /* Calls per ms; the servers can do about 2. */
    static const double loads[] = {0.2, 0.8, 1.6};
    for (size_t i = 0; i < TABLE_COUNT(loads); i++) {
        PoolSimulationOptions options = {.daemons = 1,
                                         .policy = EB_POOL_ADAPTIVE,
                                         .calls_per_ms = loads[i],
                                         .seed = 17};
        Fixture_Init(&options.fixture, 8, 2, 0, 16);
        for (int s = 0; s < 8; s++) {
            options.service_us[s] = s == 3 ? 600000 : 60000;
        }
        PoolSimulationResult result;
        SimulatePool(&options, 120 * SECOND_US, &result);
        double share = (double)result.calls[3] / (double)result.ended;
        printf("  straggler at %.1f calls/ms: %.2f%% of calls\n", loads[i],
               100 * share);
        CU_ASSERT_TRUE(share < 0.25 / 8);
        for (int s = 0; s < 8; s++) {
            double peer = (double)result.calls[s] / (double)result.ended;
            CU_ASSERT_TRUE(s == 3 || (peer > 0.09 && peer < 0.2));
        }
    }
}

/* Guards against daemons that together overload a server, so that calls wait
 * there instead of in the daemons' fair queues, and against limits that leave
 * servers idle. */
static void
test_shared_capacity(void)
{
    PoolSimulationOptions options = {.daemons = 8,
                                     .policy = EB_POOL_ADAPTIVE,
                                     .calls_per_ms = 0.5,
                                     .seed = 23};
    Fixture_Init(&options.fixture, 8, 2, 0, 16);
    for (int s = 0; s < 8; s++) {
        /* The servers can do 2.1 calls per ms, 4 are offered. */
        options.service_us[s] = 60000;
    }
    PoolSimulationResult result;
    SimulatePool(&options, 60 * SECOND_US, &result);
    printf("  shared capacity 16: %.1f running, %.1f waiting per server\n",
           result.mean_running, result.mean_waiting);
    CU_ASSERT_TRUE(result.mean_running > 0.9 * 16);
    CU_ASSERT_TRUE(result.mean_waiting < 0.5 * 16);
}

/* Guards against a round-robin baseline that distributes calls unevenly. */
static void
test_round_robin(void)
{
    Fixture fixture;
    Fixture_Init(&fixture, 5, 1, 0, 100);
    EbRandom random;
    EbRandom_Init(&random, 1);
    EbPool *pool =
        Fixture_NewPool(&fixture, "i", EB_POOL_ROUND_ROBIN, &random);
    for (int i = 0; i < 500; i++) {
        const EbConfigBackendServer *server =
            EbPool_BeginCall(pool, &no_criteria, i);
        CU_ASSERT_PTR_EQUAL_FATAL(server, &fixture.servers[i % 5]);
    }
    CU_ASSERT_FALSE(EbPool_HasFreeSlot(pool, 500));
    CU_ASSERT_PTR_NULL(EbPool_BeginCall(pool, &no_criteria, 500));
    Fixture_Close(&fixture, pool);
}

/* Guards against a broken server that stays in use, against repeated ejections
 * that don't get longer, and against a server that gets its full load at once
 * after it is readmitted. */
static void
test_ejection(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 6, 1, 0, 16);
    int64_t now_us = SECOND_US;
    int64_t previous_us = 0;
    for (int round = 0; round < 3; round++) {
        run_calls(pool, "s0", EB_CALL_BROKEN, 10, round == 0 ? 3 : 1, now_us);
        EbServerView view = find_view(pool, "s0");
        CU_ASSERT_EQUAL(view.state, EB_SERVER_EJECTED);
        CU_ASSERT_STRING_EQUAL(view.cause, "broken");
        CU_ASSERT_TRUE(view.until_us - now_us > previous_us);
        previous_us = view.until_us - now_us;
        for (int i = 0; i < 20; i++) {
            const EbConfigBackendServer *server =
                begin_call(pool, &no_criteria, now_us);
            CU_ASSERT_STRING_NOT_EQUAL(server->id, "s0");
        }
        for (size_t s = 0; s < 6; s++) {
            while (find_view(pool, fixture.ids[s]).in_flight > 0) {
                EbPool_EndCall(pool, fixture.ids[s], EB_CALL_OK, 1000, now_us);
            }
        }
        now_us = view.until_us;
        EbPool_Tick(pool, now_us);
        CU_ASSERT_EQUAL(find_view(pool, "s0").state, EB_SERVER_SLOW_START);
    }
    int begun = 0; /* pace begins with one call at a time */
    while (EbPool_BeginCall(pool, &no_criteria, now_us) != NULL) {
        begun++;
    }
    CU_ASSERT_TRUE(begun > 0);
    CU_ASSERT_EQUAL(find_view(pool, "s0").in_flight, 1);
    EbPool_Tick(pool, now_us + 10 * SECOND_US);
    CU_ASSERT_EQUAL(find_view_at(pool, "s0", now_us + 10 * SECOND_US).state,
                    EB_SERVER_AVAILABLE);
    Fixture_Close(&fixture, pool);
}

/* Guards against the ejection of more than a third of a pool, and against
 * calls that get no server although ejected ones are left. */
static void
test_ejection_bound(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 7, 1, 0, 4);
    for (int i = 0; i < 200; i++) {
        const EbConfigBackendServer *server =
            begin_call(pool, &no_criteria, SECOND_US);
        EbPool_EndCall(pool, server->id, EB_CALL_ERROR, 10, SECOND_US);
    }
    EbPool_Tick(pool, SECOND_US);
    int ejected = 0;
    for (size_t s = 0; s < 7; s++) {
        if (find_view(pool, fixture.ids[s]).state == EB_SERVER_EJECTED) {
            ejected++;
        }
        else {
            EbPool_SetLeaving(pool, fixture.ids[s], true, SECOND_US);
        }
    }
    CU_ASSERT_EQUAL(ejected, 2);
    CU_ASSERT_FALSE(EbPool_HasUsableServer(pool));
    CU_ASSERT_TRUE(EbPool_HasFreeSlot(pool, SECOND_US));
    const EbConfigBackendServer *server =
        begin_call(pool, &no_criteria, SECOND_US);
    CU_ASSERT_EQUAL(find_view(pool, server->id).state, EB_SERVER_EJECTED);
    Fixture_Close(&fixture, pool);
}

/* Guards against a slow server that is not ejected, and against ejections
 * because of jitter or of a median over too few servers. */
static void
test_latency_ejection(void)
{
    static const struct {
        uint32_t servers;
        int64_t slow_us, typical_us;
        EbServerState state;
    } rows[] = {
        {6, 300000, 50000, EB_SERVER_EJECTED},
        {6, 150000, 50000, EB_SERVER_AVAILABLE},
        {6, 10000, 1000, EB_SERVER_AVAILABLE},
        {2, 300000, 50000, EB_SERVER_AVAILABLE},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fixture fixture;
        EbPool *pool = Fixture_Open(&fixture, rows[i].servers, 1, 0, 4);
        for (uint32_t s = 0; s < rows[i].servers; s++) {
            run_calls(pool, fixture.ids[s], EB_CALL_OK,
                      s == 0 ? rows[i].slow_us : rows[i].typical_us, 20,
                      SECOND_US);
        }
        EbPool_Tick(pool, SECOND_US);
        EbServerView view = find_view(pool, "s0");
        CU_ASSERT_EQUAL(view.state, rows[i].state);
        if (view.state == EB_SERVER_EJECTED) {
            CU_ASSERT_STRING_EQUAL(view.cause, "latency");
        }
        Fixture_Close(&fixture, pool);
    }
}

/* Guards against a dead server in a pool of two that keeps half of the calls,
 * or is not used again after it has recovered. A server in so small a pool is
 * never ejected. */
static void
test_two_servers(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 2, 1, 0, 4);
    int dead = 0, recovered = 0;
    for (int i = 0; i < 12000; i++) {
        int64_t now_us = i * INT64_C(10000);
        const EbConfigBackendServer *server =
            begin_call(pool, &no_criteria, now_us);
        bool is_first = strcmp(server->id, "s0") == 0;
        bool is_dead = is_first && i < 6000;
        dead += is_dead;
        recovered += is_first && i >= 9000;
        EbPool_EndCall(pool, server->id,
                       is_dead ? EB_CALL_REFUSED : EB_CALL_OK,
                       is_dead ? 100 : 9000, now_us + 9000);
        if (i % 100 == 0) {
            EbPool_Tick(pool, now_us);
        }
    }
    printf("  dead server of two: %.2f%% of calls, recovered: %.1f%%\n",
           dead / 60.0, recovered / 30.0);
    CU_ASSERT_TRUE(dead < 6000 * 0.25 / 2); /* a quarter of its even share */
    CU_ASSERT_TRUE(recovered > 3000 * 0.4);
    Fixture_Close(&fixture, pool);
}

static bool
accept_none(void *context, const char *server_id)
{
    (void)context;
    (void)server_id;
    return false;
}

/* Guards against calls that are sent to a server which is leaving, was tried
 * before or is not accepted. */
static void
test_criteria(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 3, 1, 0, 4);
    CU_ASSERT_PTR_NOT_NULL(EbPool_BeginCall(pool, &no_criteria, 0));
    CU_ASSERT_TRUE(EbPool_SetLeaving(pool, "s0", true, 0));
    CU_ASSERT_FALSE(EbPool_SetLeaving(pool, "s0", true, 0));
    CU_ASSERT_FALSE(EbPool_SetLeaving(pool, "s9", true, 0));
    EbPoolCriteria criteria = {
        .excluded = {"s1"}, .excluded_count = 1, .preferred = "s0"};
    for (int i = 0; i < 2; i++) {
        const EbConfigBackendServer *server =
            EbPool_BeginCall(pool, &criteria, 0);
        if (server != NULL) {
            CU_ASSERT_STRING_EQUAL(server->id, "s2");
        }
    }
    EbPoolCriteria none = {.accept = accept_none};
    CU_ASSERT_PTR_NULL(EbPool_BeginCall(pool, &none, 0));
    EbPool_SetLeaving(pool, "s1", true, 0);
    EbPool_SetLeaving(pool, "s2", true, 0);
    CU_ASSERT_FALSE(EbPool_HasUsableServer(pool));
    CU_ASSERT_FALSE(EbPool_HasFreeSlot(pool, 0));
    CU_ASSERT_PTR_NULL(EbPool_BeginCall(pool, &no_criteria, 0));
    CU_ASSERT_TRUE(EbPool_SetLeaving(pool, "s0", false, 0));
    CU_ASSERT_PTR_NOT_NULL(EbPool_BeginCall(pool, &no_criteria, 0));
    Fixture_Close(&fixture, pool);
}

/* Guards against a new configuration that resets the calls in flight of a
 * server, or that fails when calls in flight on a removed server end. */
static void
test_set_config(void)
{
    Fixture fixture, other;
    EbPool *pool = Fixture_Open(&fixture, 4, 1, 0, 4);
    Fixture_Init(&other, 2, 1, 0, 1);
    int begun = 0;
    while (EbPool_BeginCall(pool, &no_criteria, 0) != NULL) {
        begun++;
    }
    CU_ASSERT_EQUAL(begun, 8);
    EbPool_SetConfig(pool, &other.config, 0);
    CU_ASSERT_EQUAL(EbPool_ServerCount(pool), 2);
    CU_ASSERT_EQUAL(find_view(pool, "s0").in_flight, 2);
    EbPool_EndCall(pool, "s3", EB_CALL_OK, 10, 10);
    EbPool_EndCall(pool, "s0", EB_CALL_OK, 10, 10);
    CU_ASSERT_FALSE(EbPool_HasFreeSlot(pool, 10));
    EbPool_EndCall(pool, "s0", EB_CALL_OK, 10, 10);
    CU_ASSERT_TRUE(EbPool_HasFreeSlot(pool, 10));
    Fixture_Close(&fixture, pool);
}

/* Guards against limits below one or above the capacity, and against limits
 * that ignore overload or a queue at the server. */
static void
test_limit(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 1, 1, 0, 16);
    CU_ASSERT_EQUAL(find_view(pool, "s0").limit, 8);
    int64_t now_us = 0;
    for (int round = 0; round < 100; round++) {
        uint32_t begun = 0;
        while (EbPool_BeginCall(pool, &no_criteria, now_us) != NULL) {
            begun++;
        }
        CU_ASSERT_TRUE(begun <= 16);
        now_us += 1000;
        for (uint32_t i = 0; i < begun; i++) {
            EbPool_EndCall(pool, "s0", EB_CALL_OK, 1000, now_us);
        }
    }
    CU_ASSERT_EQUAL(find_view(pool, "s0").limit, 16);
    EbPool_ReportLoad(pool, "s0", 16, 10, now_us, now_us);
    CU_ASSERT_EQUAL(find_view(pool, "s0").limit, 14);
    for (int i = 0; i < 20; i++) {
        now_us += SECOND_US;
        CU_ASSERT_PTR_NOT_NULL(EbPool_BeginCall(pool, &no_criteria, now_us));
        EbPool_EndCall(pool, "s0", EB_CALL_OVERLOADED, 1000, now_us);
    }
    CU_ASSERT_EQUAL(find_view(pool, "s0").limit, 1);
    CU_ASSERT_EQUAL(find_view(pool, "s0").state, EB_SERVER_AVAILABLE);
    Fixture_Close(&fixture, pool);
}

/* Guards against prefix affinity that overloads a server. */
static void
test_affinity(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 4, 1, 0, 16);
    EbPoolCriteria criteria = {.preferred = "s2"};
    for (int i = 0; i < 8; i++) {
        CU_ASSERT_STRING_EQUAL(begin_call(pool, &criteria, 0)->id, "s2");
    }
    CU_ASSERT_STRING_NOT_EQUAL(begin_call(pool, &criteria, 0)->id, "s2");
    for (int i = 0; i < 8; i++) {
        EbPool_EndCall(pool, "s2", EB_CALL_OK, 1000, 1000);
    }
    EbPool_ReportLoad(pool, "s2", 16, 2, 1000,
                      1000); /* other daemons' calls */
    CU_ASSERT_STRING_NOT_EQUAL(begin_call(pool, &criteria, 1000)->id, "s2");
    CU_ASSERT_STRING_EQUAL(begin_call(pool, &criteria, 9 * SECOND_US)->id,
                           "s2");
    Fixture_Close(&fixture, pool);
}

/* Guards against predictions that use the configured estimate although calls
 * were measured, or that ignore the queue. */
static void
test_predict(void)
{
    Fixture fixture;
    /* Each server has four slots at first. */
    EbPool *pool = Fixture_Open(&fixture, 2, 1, 0, 8);
    CU_ASSERT_EQUAL(EbPool_PredictLatency(pool, 0, 0), 50000);
    while (EbPool_BeginCall(pool, &no_criteria, 0) != NULL) {
    }
    CU_ASSERT_EQUAL(EbPool_PredictLatency(pool, 7, 0), 100000);
    CU_ASSERT_EQUAL(EbPool_LatencyP95(pool), 0);
    for (size_t s = 0; s < 2; s++) {
        while (find_view(pool, fixture.ids[s]).in_flight > 0) {
            EbPool_EndCall(pool, fixture.ids[s], EB_CALL_OK, 200000, 200000);
        }
    }
    for (int i = 0; i < 200; i++) {
        const EbConfigBackendServer *server =
            begin_call(pool, &no_criteria, SECOND_US);
        EbPool_EndCall(pool, server->id, EB_CALL_OK, 200000,
                       SECOND_US + 200000);
    }
    int64_t service_us = EbPool_PredictLatency(pool, 0, 2 * SECOND_US);
    CU_ASSERT_TRUE(service_us > 190000 && service_us <= 200000);
    int64_t quantile_us = EbPool_LatencyP95(pool);
    CU_ASSERT_TRUE(quantile_us >= 200000 && quantile_us < 240000);
    Fixture_Close(&fixture, pool);
}

/* Guards against statistics of an earlier start of a server that hold for the
 * present one, also when its clock stepped back, and against failures of calls
 * to the earlier one that count against it. An unknown start changes nothing.
 */
static void
test_incarnations(void)
{
    static const struct {
        uint64_t before, after;
        bool reset;
    } rows[] = {{5, 6, true},
                {6, 5, true},
                {5, 5, false},
                {0, 5, false},
                {5, 0, false}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fixture fixture;
        Fixture_Init(&fixture, 6, 1, 0, 16);
        fixture.servers[0].incarnation = rows[i].before;
        EbRandom_Init(&fixture.random, 1);
        EbPool *pool =
            Fixture_NewPool(&fixture, "i", EB_POOL_ADAPTIVE, &fixture.random);
        run_calls(pool, "s0", EB_CALL_BROKEN, 10, 3, SECOND_US);
        CU_ASSERT_EQUAL(find_view(pool, "s0").state, EB_SERVER_EJECTED);
        fixture.servers[0].incarnation = rows[i].after;
        EbPool_SetConfig(pool, &fixture.config, 0);
        EbServerView view = find_view(pool, "s0");
        CU_ASSERT_EQUAL(view.state == EB_SERVER_AVAILABLE, rows[i].reset);
        CU_ASSERT_EQUAL(view.failures == 0, rows[i].reset);
        Fixture_Close(&fixture, pool);
    }
}

/* Guards against calls that were in flight at a server's earlier start, and
 * whose connections break, that eject the present one. */
static void
test_earlier_calls(void)
{
    Fixture fixture;
    EbPool *pool = Fixture_Open(&fixture, 6, 1, 0, 16);
    fixture.servers[0].incarnation = 1;
    EbPool_SetConfig(pool, &fixture.config, 0);
    while (find_view(pool, "s0").in_flight < 4) {
        EbPool_BeginCall(pool, &no_criteria, SECOND_US);
    }
    fixture.servers[0].incarnation = 2;
    EbPool_SetConfig(pool, &fixture.config, 0);
    for (int i = 0; i < 4; i++) {
        EbPool_EndCall(pool, "s0", EB_CALL_BROKEN, 1000, 2 * SECOND_US);
    }
    EbServerView view = find_view(pool, "s0");
    CU_ASSERT_EQUAL(view.state, EB_SERVER_AVAILABLE);
    CU_ASSERT_EQUAL(view.failures, 0);
    CU_ASSERT_EQUAL(view.in_flight, 0);
    Fixture_Close(&fixture, pool);
}

/* Guards against a call to a server in a closed failure domain, by whatever
 * choice: at random, by affinity, since it is preferred, since all others are
 * full or ejected, in turn, or since the daemon's subset lies in that domain.
 */
static void
test_evacuation(void)
{
    static const struct {
        EbPoolPolicy policy;
        uint32_t domains; /* of 8 servers; the first is closed */
        uint32_t subset;
        bool eject_open; /* every server in an open domain */
        uint32_t calls;  /* that begin */
    } rows[] = {
        {EB_POOL_ADAPTIVE, 2, 0, false, 8},
        {EB_POOL_ADAPTIVE, 4, 0, false, 12},
        {EB_POOL_ADAPTIVE, 4, 3, false, 6},
        {EB_POOL_ADAPTIVE, 2, 0, true, 8},
        {EB_POOL_ROUND_ROBIN, 2, 0, false, 16},
        {EB_POOL_ADAPTIVE, 1, 0, false, 0},
        {EB_POOL_ROUND_ROBIN, 1, 0, false, 0},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fixture fixture;
        EbEvacuations *evacuations =
            EbEvacuations_New(&(EbEvacuationsOptions){0});
        Fixture_Init(&fixture, 8, rows[i].domains, rows[i].subset, 4);
        EbRandom_Init(&fixture.random, 1);
        fixture.evacuations = evacuations;
        EbPool *pool =
            Fixture_NewPool(&fixture, "i", rows[i].policy, &fixture.random);
        for (size_t s = 0; rows[i].eject_open && s < 8; s++) {
            for (int k = 0; k < 8 && s % rows[i].domains != 0; k++) {
                EbPool_EndCall(pool, fixture.ids[s], EB_CALL_REFUSED, 1, 1);
            }
        }
        EbEvacuations_Set(evacuations, "d0", true, &(EbStorePosition){0}, 1);
        EbPool_EvacuationsChanged(pool);
        CU_ASSERT_EQUAL(EbPool_IsEvacuated(pool), rows[i].domains == 1);
        CU_ASSERT_EQUAL(EbPool_HasFreeSlot(pool, 1), rows[i].domains > 1);
        EbPoolCriteria criteria = {.preferred = "s0"};
        for (uint64_t key = 1; key < 50; key++) {
            const EbConfigBackendServer *affine =
                EbPool_ChooseAffine(pool, &criteria, key, 1);
            CU_ASSERT_TRUE(affine == NULL ||
                           strcmp(affine->failure_domain, "d0") != 0);
        }
        uint32_t calls = 0;
        const EbConfigBackendServer *server;
        while ((server = EbPool_BeginCall(pool, &criteria, 1)) != NULL) {
            CU_ASSERT_STRING_NOT_EQUAL(server->failure_domain, "d0");
            calls++;
        }
        CU_ASSERT_EQUAL(calls, rows[i].calls);
        CU_ASSERT_EQUAL(EbPool_CountCalls(pool, "d0"), 0);
        if (rows[i].subset == 0) {
            CU_ASSERT_EQUAL(find_view(pool, "s0").state, EB_SERVER_EVACUATED);
        }
        EbEvacuations_Set(evacuations, "d0", false, &(EbStorePosition){0}, 2);
        EbPool_EvacuationsChanged(pool);
        server = EbPool_BeginCall(pool, &no_criteria, 2);
        CU_ASSERT_PTR_NOT_NULL_FATAL(server);
        CU_ASSERT_STRING_EQUAL(server->failure_domain, "d0");
        CU_ASSERT_EQUAL(EbPool_CountCalls(pool, "d0"), 1);
        EbPool_Free(pool);
        EbEvacuations_Free(evacuations);
    }
}

/* Guards against a call to a server outside the home regions of a request, or
 * in a failure domain of which the region isn't known, however it is chosen.
 */
static void
test_home_regions(void)
{
    static const char *const north[] = {"north"};
    static const char *const both[] = {"south", "north"};
    static const EbDomainRegion domains[] = {{"d0", "south"}, {"d1", "north"}};
    static const struct {
        EbRegionList pipeline;
        EbRegionList customer;
        bool allowed[3]; /* in d0, d1, d2 */
    } rows[] = {
        {{NULL, 0}, {NULL, 0}, {true, true, true}},
        {{north, 1}, {NULL, 0}, {false, true, false}},
        {{NULL, 0}, {north, 1}, {false, true, false}},
        {{both, 2}, {NULL, 0}, {true, true, false}},
        {{both, 2}, {north, 1}, {false, true, false}},
        {{both, 1}, {north, 1}, {false, false, false}},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fixture fixture;
        EbPool *pool = Fixture_Open(&fixture, 6, 3, 0, 4);
        EbHomeRegions homes = {.pipeline = rows[i].pipeline,
                               .customer = rows[i].customer,
                               .domains = domains,
                               .domain_count = TABLE_COUNT(domains)};
        EbPoolCriteria criteria = {.preferred = "s0", .homes = &homes};
        uint32_t calls[3] = {0};
        const EbConfigBackendServer *server;
        while ((server = EbPool_BeginCall(pool, &criteria, 0)) != NULL) {
            calls[server->failure_domain[1] - '0']++;
        }
        for (size_t domain = 0; domain < 3; domain++) {
            CU_ASSERT_EQUAL(calls[domain] > 0, rows[i].allowed[domain]);
        }
        Fixture_Close(&fixture, pool);
    }
}

/* Guards against keys that move from server to server, and content that is
 * read again, for differences of speed that are not worth it: those of servers
 * that were cold lately. */
static void
test_uneven_speeds(void)
{
    static const struct {
        double slow; /* interval of half of the servers; 1: the others */
        bool moves;
    } rows[] = {{1.0, false}, {1.6, false}, {2.4, true}};
    enum { SERVERS = 12, KEYS = 200 };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fixture fixture;
        EbPool *pool = Fixture_Open(&fixture, SERVERS, 1, 0, 16);
        const EbConfigBackendServer *before[KEYS];
        for (uint64_t key = 0; key < KEYS; key++) {
            before[key] =
                EbPool_ChooseAffine(pool, &no_criteria, key, SECOND_US);
        }
        for (uint32_t s = 0; s < SERVERS; s++) {
            EbPool_RecordPieceInterval(pool, fixture.ids[s],
                                       10000 * (s % 2 == 0 ? 1 : rows[i].slow),
                                       SECOND_US);
        }
        EbPool_Tick(pool, 2 * SECOND_US);
        uint32_t moved = 0;
        for (uint64_t key = 0; key < KEYS; key++) {
            moved += EbPool_ChooseAffine(pool, &no_criteria, key,
                                         2 * SECOND_US) != before[key];
        }
        CU_ASSERT_EQUAL(moved > 0, rows[i].moves);
        Fixture_Close(&fixture, pool);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"subset", test_subset},
        {"straggler", test_straggler},
        {"shared capacity", test_shared_capacity},
        {"round robin", test_round_robin},
        {"ejection", test_ejection},
        {"ejection bound", test_ejection_bound},
        {"latency ejection", test_latency_ejection},
        {"two servers", test_two_servers},
        {"criteria", test_criteria},
        {"set config", test_set_config},
        {"limit", test_limit},
        {"affinity", test_affinity},
        {"predict", test_predict},
        {"evacuation", test_evacuation},
        {"uneven speeds", test_uneven_speeds},
        {"returning server", test_returning_server},
        {"incarnations", test_incarnations},
        {"earlier calls", test_earlier_calls},
        {"home regions", test_home_regions},
    };
    return EbTest_Run("test_pool", cases, TABLE_COUNT(cases));
}
