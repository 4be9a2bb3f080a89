/* Random sequences of faults over two daemons that share one store. */
#include "sequences.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "simulation.h"
#include "test_runner.h"

#define DEFAULT_SEED_COUNT 2500
#define SECOND_US 1000000LL
#define MAX_RUN_US (180 * SECOND_US)
#define KEY_COUNT 4

typedef struct {
    uint64_t steps;
    uint64_t requests;
    uint64_t outcomes[EB_OUTCOME_COUNT];
    uint64_t unanswered;
    uint64_t replayed;
    uint64_t executed_calls;
    uint64_t faults;
} Totals;

static uint64_t
random_below(Simulation *simulation, uint64_t bound)
{
    return EbRandom_Below(&simulation->random, bound);
}

static void
submit_random(Simulation *simulation, uint32_t daemon)
{
    static const char *const pipelines[] = {"ask", "full", "pay", "pay"};
    const char *pipeline =
        pipelines[random_below(simulation, TABLE_COUNT(pipelines))];
    bool pay = strcmp(pipeline, "pay") == 0;
    uint64_t number = random_below(simulation, KEY_COUNT);
    char key[16];
    char input[32];
    snprintf(key, sizeof(key), "k%u", (unsigned)number);
    /* A few keys are reused with another body, and a few requests without a
     * key crash the server. */
    snprintf(input, sizeof(input), "%s-%s",
             random_below(simulation, 40) == 0 ? "other" : "text", key);
    if (!pay && random_below(simulation, 25) == 0) {
        snprintf(input, sizeof(input), "poison");
    }
    int64_t timeout_us = 0;
    if (random_below(simulation, 4) == 0) {
        timeout_us = (int64_t)random_below(simulation, 600000);
    }
    SimulationSubmit options = {.daemon = daemon,
                                .pipeline = pipeline,
                                .input = input,
                                .stream = random_below(simulation, 2) == 0,
                                .timeout_us = timeout_us};
    if (pay) {
        options.key = key;
    }
    Simulation_Submit(simulation, &options);
}

/* Restarts a dead daemon. For a live one, does nothing half of the time,
 * otherwise kills, aborts or pauses it, or changes the configuration. */
static void
inject_daemon_fault(Simulation *simulation, uint32_t index)
{
    SimulationDaemon *daemon = &simulation->daemons[index];
    if (!daemon->alive) {
        Simulation_Restart(simulation, index);
        return;
    }
    switch (random_below(simulation, 8)) {
    case 0:
        Simulation_Kill(simulation, index);
        break;
    case 1:
        EbDispatcher_Drain(daemon->dispatcher, INT64_MAX, simulation->now_us);
        EbDispatcher_Abort(daemon->dispatcher, simulation->now_us);
        Simulation_RunActions(simulation, index);
        Simulation_Kill(simulation, index);
        break;
    case 2:
        daemon->paused_until_us =
            simulation->now_us +
            (int64_t)random_below(simulation, 40 * SECOND_US);
        Simulation_Log(simulation, "d%u: paused", index);
        break;
    case 3:
        Simulation_ChangeConfig(simulation);
        break;
    default:
        break;
    }
}

static void
announce_leaving_server(Simulation *simulation, uint32_t index)
{
    char server[32];
    snprintf(server, sizeof(server), "%s%u",
             EbStageKind_names[random_below(simulation, EB_STAGE_KIND_COUNT)],
             (unsigned)random_below(simulation, 3));
    EbDispatcher_ServerLeaving(simulation->daemons[index].dispatcher, server,
                               0, random_below(simulation, 2) == 0, "platform",
                               simulation->now_us);
    Simulation_RunActions(simulation, index);
}

static void
run_random_action(Simulation *simulation)
{
    uint32_t index = (uint32_t)random_below(simulation, SIMULATION_DAEMONS);
    bool running =
        simulation->daemons[index].alive &&
        simulation->daemons[index].paused_until_us <= simulation->now_us;
    uint64_t choice = random_below(simulation, 20);
    if (choice < 12 && running) {
        submit_random(simulation, index);
    }
    else if (choice < 14 && simulation->requests->len > 0) {
        Simulation_CallerGone(
            simulation,
            g_ptr_array_index(
                simulation->requests,
                random_below(simulation, simulation->requests->len)));
    }
    else if (choice < 17) {
        inject_daemon_fault(simulation, index);
    }
    else if (choice < 18 && running) {
        announce_leaving_server(simulation, index);
    }
}

static Simulation *
run_seed(uint64_t seed, uint64_t *steps)
{
    EbRandom random;
    EbRandom_Init(&random, seed);
    static const uint32_t permilles[] = {0, 30, 120, 300, 600};
    static const uint32_t latencies[] = {1000, 5000, 40000};
    Simulation *simulation = Simulation_New(&(SimulationOptions){
        .seed = seed,
        .policy = seed % 5 == 0 ? EB_POLICY_PLAIN : EB_POLICY_ADAPTIVE,
        .latency_us =
            latencies[EbRandom_Below(&random, TABLE_COUNT(latencies))],
        .config = {.lookup = EbRandom_Below(&random, 2) == 0,
                   .cannot_resume = EbRandom_Below(&random, 2) == 0,
                   .deadline_ms =
                       EbRandom_Below(&random, 4) == 0 ? 60000 : 4000},
    });
    simulation->fault_permille =
        permilles[EbRandom_Below(&random, TABLE_COUNT(permilles))];
    uint64_t actions = 1 + EbRandom_Below(&random, seed % 10 == 0 ? 60 : 12);
    for (uint64_t i = 0; i < actions && !simulation->failed; i++) {
        run_random_action(simulation);
        uint64_t step_count = random_below(simulation, 40);
        for (uint64_t k = 0; k < step_count && !simulation->failed; k++) {
            Simulation_Step(simulation, INT64_MAX);
            (*steps)++;
        }
    }
    simulation->fault_permille = 0;
    if (!simulation->failed) {
        Simulation_Run(simulation, simulation->now_us + MAX_RUN_US);
        Simulation_CheckEnd(simulation);
    }
    return simulation;
}

static void
add_totals(Totals *totals, Simulation *simulation)
{
    totals->requests += simulation->requests->len;
    totals->faults += simulation->faults_hit;
    for (guint i = 0; i < simulation->requests->len; i++) {
        const SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i);
        if (request->answered) {
            totals->outcomes[request->outcome]++;
            totals->replayed += request->replayed;
        }
        else {
            totals->unanswered++;
        }
    }
    for (unsigned i = 0; i < KEY_COUNT; i++) {
        char key[16];
        snprintf(key, sizeof(key), "k%u", i);
        totals->executed_calls += Simulation_Record(simulation, key)->runs;
    }
}

bool
Sequences_Run(uint64_t first_seed, uint64_t count)
{
    Totals totals = {0};
    bool passed = true;
    for (uint64_t i = 0; i < count; i++) {
        uint64_t seed = first_seed + i;
        Simulation *simulation = run_seed(seed, &totals.steps);
        add_totals(&totals, simulation);
        if (simulation->failed) {
            printf("seed %llu: %s\n%s", (unsigned long long)seed,
                   simulation->failure, simulation->trace->str);
            passed = false;
        }
        Simulation_Free(simulation);
        if (!passed) {
            break;
        }
    }
    printf("%llu seeds, %llu steps, %llu faults, %llu requests: %llu done "
           "(%llu replayed), %llu not-run, %llu failed, %llu unknown, "
           "%llu without an answer; %llu calls executed\n",
           (unsigned long long)count, (unsigned long long)totals.steps,
           (unsigned long long)totals.faults,
           (unsigned long long)totals.requests,
           (unsigned long long)totals.outcomes[EB_OUTCOME_DONE],
           (unsigned long long)totals.replayed,
           (unsigned long long)totals.outcomes[EB_OUTCOME_NOT_RUN],
           (unsigned long long)totals.outcomes[EB_OUTCOME_FAILED],
           (unsigned long long)totals.outcomes[EB_OUTCOME_UNKNOWN],
           (unsigned long long)totals.unanswered,
           (unsigned long long)totals.executed_calls);
    return passed;
}

void
test_sequences(void)
{
    const char *count = getenv("EB_SEEDS");
    CU_ASSERT_TRUE(Sequences_Run(1, count != NULL ? strtoull(count, NULL, 10)
                                                  : DEFAULT_SEED_COUNT));
}
