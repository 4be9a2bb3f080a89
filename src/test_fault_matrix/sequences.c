/* Random sequences of faults over two daemons that share one store. */
#include "sequences.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test_runner.h"
#include "world.h"

#define NORMAL_SEEDS 2500
#define SECOND_US 1000000LL
#define SETTLE_US (180 * SECOND_US)
#define KEYS 4

typedef struct {
    uint64_t steps;
    uint64_t requests;
    uint64_t outcomes[EB_OUTCOME_COUNT];
    uint64_t gone;
    uint64_t replayed;
    uint64_t calls_run;
    uint64_t faults;
} Totals;

static uint64_t
below(World *world, uint64_t bound)
{
    return EbRandom_Below(&world->random, bound);
}

static void
submit_random(World *world, uint32_t daemon)
{
    static const char *const pipelines[] = {"ask", "full", "pay", "pay"};
    const char *pipeline = pipelines[below(world, TABLE_COUNT(pipelines))];
    bool pay = strcmp(pipeline, "pay") == 0;
    uint64_t number = below(world, KEYS);
    char key[16];
    char input[32];
    snprintf(key, sizeof(key), "k%u", (unsigned)number);
    /* Rarely, a key comes with another body; some requests crash servers. */
    snprintf(input, sizeof(input), "%s-%s",
             below(world, 40) == 0 ? "other" : "text", key);
    if (!pay && below(world, 25) == 0) {
        snprintf(input, sizeof(input), "poison");
    }
    int64_t timeout_us = 0;
    if (below(world, 4) == 0) {
        timeout_us = (int64_t)below(world, 600000);
    }
    WorldSubmit wanted = {.daemon = daemon,
                          .pipeline = pipeline,
                          .input = input,
                          .stream = below(world, 2) == 0,
                          .timeout_us = timeout_us};
    if (pay) {
        wanted.key = key;
    }
    World_Submit(world, &wanted);
}

static void
stop_or_start(World *world, uint32_t index)
{
    WorldDaemon *daemon = &world->daemons[index];
    if (!daemon->alive) {
        World_Restart(world, index);
        return;
    }
    switch (below(world, 8)) {
    case 0:
        World_Kill(world, index);
        break;
    case 1:
        EbDispatcher_Drain(daemon->dispatcher, world->now_us);
        EbDispatcher_Abort(daemon->dispatcher, world->now_us);
        World_Drain(world, index);
        World_Kill(world, index);
        break;
    case 2:
        daemon->paused_until_us =
            world->now_us + (int64_t)below(world, 40 * SECOND_US);
        World_Log(world, "d%u: paused", index);
        break;
    case 3:
        World_ChangeConfig(world);
        break;
    default:
        break;
    }
}

static void
leave_random(World *world, uint32_t index)
{
    char server[32];
    snprintf(server, sizeof(server), "%s%u",
             EbStageKind_names[below(world, EB_STAGE_KIND_COUNT)],
             (unsigned)below(world, 3));
    EbDispatcher_ServerLeaving(world->daemons[index].dispatcher, server,
                               below(world, 2) == 0, "platform",
                               world->now_us);
    World_Drain(world, index);
}

static void
act(World *world)
{
    uint32_t index = (uint32_t)below(world, WORLD_DAEMONS);
    bool runs = world->daemons[index].alive &&
                world->daemons[index].paused_until_us <= world->now_us;
    uint64_t choice = below(world, 20);
    if (choice < 12 && runs) {
        submit_random(world, index);
    }
    else if (choice < 14 && world->requests->len > 0) {
        World_CallerGone(
            world, g_ptr_array_index(world->requests,
                                     below(world, world->requests->len)));
    }
    else if (choice < 17) {
        stop_or_start(world, index);
    }
    else if (choice < 18 && runs) {
        leave_random(world, index);
    }
}

static World *
run_seed(uint64_t seed, uint64_t *steps)
{
    EbRandom random;
    EbRandom_Init(&random, seed);
    static const uint32_t permilles[] = {0, 30, 120, 300, 600};
    static const uint32_t latencies[] = {1000, 5000, 40000};
    World *world = World_New(&(WorldOptions){
        .seed = seed,
        .policy = seed % 5 == 0 ? EB_POLICY_PLAIN : EB_POLICY_ADAPTIVE,
        .latency_us =
            latencies[EbRandom_Below(&random, TABLE_COUNT(latencies))],
        .config = {.lookup = EbRandom_Below(&random, 2) == 0,
                   .restarts = EbRandom_Below(&random, 2) == 0,
                   .deadline_ms =
                       EbRandom_Below(&random, 4) == 0 ? 60000 : 4000},
    });
    world->fault_permille =
        permilles[EbRandom_Below(&random, TABLE_COUNT(permilles))];
    uint64_t actions = 1 + EbRandom_Below(&random, seed % 10 == 0 ? 60 : 12);
    for (uint64_t i = 0; i < actions && !world->failed; i++) {
        act(world);
        uint64_t pause = below(world, 40);
        for (uint64_t k = 0; k < pause && !world->failed; k++) {
            World_Step(world, INT64_MAX);
            (*steps)++;
        }
    }
    world->fault_permille = 0;
    if (!world->failed) {
        World_Run(world, world->now_us + SETTLE_US);
        World_CheckEnd(world);
    }
    return world;
}

static void
add_totals(Totals *totals, World *world)
{
    totals->requests += world->requests->len;
    totals->faults += world->faults_hit;
    for (guint i = 0; i < world->requests->len; i++) {
        const WorldRequest *request = g_ptr_array_index(world->requests, i);
        if (request->answered) {
            totals->outcomes[request->outcome]++;
            totals->replayed += request->replayed;
        }
        else {
            totals->gone++;
        }
    }
    for (unsigned i = 0; i < KEYS; i++) {
        char key[16];
        snprintf(key, sizeof(key), "k%u", i);
        totals->calls_run += World_Record(world, key)->runs;
    }
}

bool
Sequences_Run(uint64_t first_seed, uint64_t count)
{
    Totals totals = {0};
    bool passed = true;
    for (uint64_t i = 0; i < count; i++) {
        uint64_t seed = first_seed + i;
        World *world = run_seed(seed, &totals.steps);
        add_totals(&totals, world);
        if (world->failed) {
            printf("seed %llu: %s\n%s", (unsigned long long)seed,
                   world->failure, world->trace->str);
            passed = false;
        }
        World_Free(world);
        if (!passed) {
            break;
        }
    }
    printf(
        "%llu seeds, %llu steps, %llu faults, %llu requests: %llu done "
        "(%llu replayed), %llu not-run, %llu failed, %llu unknown, "
        "%llu without a caller; %llu calls ran\n",
        (unsigned long long)count, (unsigned long long)totals.steps,
        (unsigned long long)totals.faults, (unsigned long long)totals.requests,
        (unsigned long long)totals.outcomes[EB_OUTCOME_DONE],
        (unsigned long long)totals.replayed,
        (unsigned long long)totals.outcomes[EB_OUTCOME_NOT_RUN],
        (unsigned long long)totals.outcomes[EB_OUTCOME_FAILED],
        (unsigned long long)totals.outcomes[EB_OUTCOME_UNKNOWN],
        (unsigned long long)totals.gone, (unsigned long long)totals.calls_run);
    return passed;
}

void
test_sequences(void)
{
    const char *count = getenv("EB_SEEDS");
    CU_ASSERT_TRUE(Sequences_Run(1, count != NULL ? strtoull(count, NULL, 10)
                                                  : NORMAL_SEEDS));
}
