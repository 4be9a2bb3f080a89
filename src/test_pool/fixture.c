#include "fixture.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "test_runner.h"

#define STEP_US 1000
#define REPORT_LAG_US 5000

void
Fixture_Init(Fixture *fixture, uint32_t servers, uint32_t domains,
             uint32_t subset, uint32_t capacity)
{
    memset(fixture, 0, sizeof(*fixture));
    for (uint32_t i = 0; i < servers; i++) {
        snprintf(fixture->ids[i], sizeof(fixture->ids[i]), "s%u", i);
        snprintf(fixture->domains[i], sizeof(fixture->domains[i]), "d%u",
                 i % domains);
        fixture->indexes[i] = i;
        fixture->servers[i] =
            (EbConfigBackendServer){.id = fixture->ids[i],
                                    .failure_domain = fixture->domains[i],
                                    .capacity = capacity};
    }
    fixture->pool = (EbConfigPool){.name = "pool",
                                   .server_indexes = fixture->indexes,
                                   .server_count = servers,
                                   .subset_size = subset,
                                   .service_estimate_us = 50000};
    fixture->config = (EbConfig){.pools = &fixture->pool,
                                 .pool_count = 1,
                                 .servers = fixture->servers,
                                 .server_count = servers};
}

EbPool *
Fixture_NewPool(const Fixture *fixture, const char *instance,
                EbPoolPolicy policy, EbRandom *random)
{
    EbPool *pool =
        EbPool_New(&(EbPoolOptions){.config = &fixture->config,
                                    .instance = instance,
                                    .failure_domain = "d0",
                                    .policy = policy,
                                    .random = random,
                                    .evacuations = fixture->evacuations,
                                    .pace = fixture->pace,
                                    .measure_speeds = true},
                   NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(pool);
    return pool;
}

EbPool *
Fixture_Open(Fixture *fixture, uint32_t servers, uint32_t domains,
             uint32_t subset, uint32_t capacity)
{
    Fixture_Init(fixture, servers, domains, subset, capacity);
    EbRandom_Init(&fixture->random, 1);
    fixture->pace = EbPace_New(&(EbPaceOptions){.instance = "i"});
    EbPace_SetConfig(fixture->pace, &fixture->config, 0);
    return Fixture_NewPool(fixture, "i", EB_POOL_ADAPTIVE, &fixture->random);
}

void
Fixture_Close(Fixture *fixture, EbPool *pool)
{
    EbPool_Free(pool);
    EbPace_Free(fixture->pace);
    fixture->pace = NULL;
}

typedef struct {
    uint32_t daemon;
    int64_t started_us;
    int64_t end_us;
} Call;

typedef struct {
    GQueue waiting;
    GQueue running;
} Server;

typedef struct {
    const PoolSimulationOptions *options;
    PoolSimulationResult *result;
    EbRandom random;
    EbPool *pools[MAX_DAEMONS];
    uint64_t queued[MAX_DAEMONS];
    Server servers[MAX_SERVERS];
} PoolSimulation;

static void
end_calls(PoolSimulation *simulation, uint32_t index, int64_t now_us)
{
    Server *server = &simulation->servers[index];
    const Fixture *fixture = &simulation->options->fixture;
    for (GList *link = server->running.head; link != NULL;) {
        GList *next = link->next;
        Call *call = link->data;
        if (call->end_us <= now_us) {
            g_queue_delete_link(&server->running, link);
            EbPool *pool = simulation->pools[call->daemon];
            EbPool_ReportLoad(pool, fixture->ids[index],
                              server->running.length, server->waiting.length,
                              now_us - REPORT_LAG_US, now_us);
            EbPool_EndCall(pool, fixture->ids[index], EB_CALL_OK,
                           now_us - call->started_us, now_us);
            simulation->result->ended++;
            g_free(call);
        }
        link = next;
    }
    while (server->running.length < fixture->servers[index].capacity &&
           server->waiting.length > 0) {
        Call *call = g_queue_pop_head(&server->waiting);
        /* Between 0.5 and 1.5 times the mean. */
        int64_t service_us = simulation->options->service_us[index];
        call->end_us =
            now_us + service_us / 2 +
            (int64_t)EbRandom_Below(&simulation->random, (uint64_t)service_us);
        g_queue_push_tail(&server->running, call);
    }
    simulation->result->mean_running += server->running.length;
    simulation->result->mean_waiting += server->waiting.length;
}

static void
begin_calls(PoolSimulation *simulation, uint32_t daemon, int64_t now_us)
{
    const Fixture *fixture = &simulation->options->fixture;
    while (simulation->queued[daemon] > 0) {
        const EbConfigBackendServer *chosen = EbPool_BeginCall(
            simulation->pools[daemon], &(EbPoolCriteria){0}, now_us);
        if (chosen == NULL) {
            return;
        }
        size_t index = (size_t)(chosen - fixture->servers);
        Call *call = g_new0(Call, 1);
        call->daemon = daemon;
        call->started_us = now_us;
        g_queue_push_tail(&simulation->servers[index].waiting, call);
        simulation->result->calls[index]++;
        simulation->queued[daemon]--;
    }
}

static void
step(PoolSimulation *simulation, int64_t now_us)
{
    const PoolSimulationOptions *options = simulation->options;
    for (uint32_t i = 0; i < options->daemons; i++) {
        double draw = (double)EbRandom_Below(&simulation->random, 1000000);
        double whole = floor(options->calls_per_ms);
        simulation->queued[i] += (uint64_t)whole;
        simulation->queued[i] += draw < (options->calls_per_ms - whole) * 1e6;
        /* Bounds the queue: callers further back have given up. */
        simulation->queued[i] = MIN(simulation->queued[i], 50);
        begin_calls(simulation, i, now_us);
        if (now_us % 1000000 == 0) {
            EbPool_Tick(simulation->pools[i], now_us);
        }
    }
    for (uint32_t i = 0; i < options->fixture.pool.server_count; i++) {
        end_calls(simulation, i, now_us);
    }
}

void
SimulatePool(const PoolSimulationOptions *options, int64_t duration_us,
             PoolSimulationResult *result)
{
    PoolSimulation simulation = {.options = options, .result = result};
    *result = (PoolSimulationResult){0};
    EbRandom_Init(&simulation.random, options->seed);
    for (uint32_t i = 0; i < options->daemons; i++) {
        char name[16];
        snprintf(name, sizeof(name), "i%u", i);
        simulation.pools[i] = Fixture_NewPool(
            &options->fixture, name, options->policy, &simulation.random);
    }
    for (int64_t now_us = 0; now_us < duration_us; now_us += STEP_US) {
        step(&simulation, now_us);
    }
    double steps =
        (double)duration_us / STEP_US * options->fixture.pool.server_count;
    result->mean_running /= steps;
    result->mean_waiting /= steps;
    for (uint32_t i = 0; i < options->fixture.pool.server_count; i++) {
        g_queue_clear_full(&simulation.servers[i].waiting, g_free);
        g_queue_clear_full(&simulation.servers[i].running, g_free);
    }
    for (uint32_t i = 0; i < options->daemons; i++) {
        EbPool_Free(simulation.pools[i]);
    }
}
