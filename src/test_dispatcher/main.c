/* Tests of the dispatcher without faults and with one kind of fault each.
 * test_fault_matrix tests combinations of faults. */
#include <stdio.h>
#include <string.h>

#include "simulation.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define END_US (60LL * 1000000) /* enough for all requests to finish */
#define COST_REQUESTS 30        /* of each customer in test_cost */

static void
finish(Simulation *simulation)
{
    Simulation_Run(simulation, simulation->now_us + END_US);
    Simulation_CheckEnd(simulation);
    if (simulation->failed) {
        printf("%s\n%s", simulation->failure, simulation->trace->str);
    }
    CU_ASSERT_FALSE(simulation->failed);
}

static void
inject(Simulation *simulation, Fault fault, Step step, uint32_t count)
{
    simulation->injections[simulation->injection_count++] =
        (Injection){fault, step, count};
}

static SimulationRequest *
submit(Simulation *simulation, const char *pipeline, const char *key)
{
    return Simulation_Submit(
        simulation, &(SimulationSubmit){
                        .pipeline = pipeline, .key = key, .input = "sleeve"});
}

static uint64_t
metric(const Simulation *simulation, EbMetricId id, const char *stage)
{
    return EbMetrics_Read(simulation->daemons[0].metrics, id, "ask", stage,
                          NULL);
}

/* Guards against results that don't reach the next stage or the caller. */
static void
test_normal_path(void)
{
    static const char *const pipelines[] = {"ask", "full", "pay"};
    for (size_t i = 0; i < TABLE_COUNT(pipelines); i++) {
        Simulation *simulation =
            Simulation_New(&(SimulationOptions){.seed = i});
        SimulationSubmit wanted = {.pipeline = pipelines[i],
                                   .key = i == 2 ? "k" : NULL,
                                   .input = "sleeve",
                                   .stream = i == 1};
        SimulationRequest *request = Simulation_Submit(simulation, &wanted);
        finish(simulation);
        CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
        CU_ASSERT_EQUAL(request->relayed, i == 1 ? SIMULATION_TOKENS : 0);
        CU_ASSERT_STRING_EQUAL(Simulation_ClaimState(simulation, "k"),
                               i == 2 ? "done" : "absent");
        Simulation_Free(simulation);
    }
}

typedef struct {
    const char *pipeline;
    const char *key;
    const char *token;
    const char *input;
    int64_t timeout_us;
    EbOutcome outcome;
    EbReason reason;
} Refusal;

/* Guards against the outcome `not-run` for a key that may have been claimed
 * before, and against a refused request that reaches a server. */
static void
test_refusals(void)
{
    static const Refusal refusals[] = {
        {"ask", NULL, "wrong", "a", 0, EB_OUTCOME_NOT_RUN,
         EB_REASON_UNAUTHENTICATED},
        {"pay", "k", "wrong", "a", 0, EB_OUTCOME_UNKNOWN,
         EB_REASON_UNAUTHENTICATED},
        {"none", NULL, NULL, "a", 0, EB_OUTCOME_NOT_RUN,
         EB_REASON_UNKNOWN_PIPELINE},
        {"none", "k", NULL, "a", 0, EB_OUTCOME_UNKNOWN,
         EB_REASON_UNKNOWN_PIPELINE},
        {"pay", NULL, NULL, "a", 0, EB_OUTCOME_NOT_RUN,
         EB_REASON_KEY_REQUIRED},
        {"ask", NULL, NULL, "", 0, EB_OUTCOME_NOT_RUN, EB_REASON_BAD_REQUEST},
        {"pay", "k", NULL, "", 0, EB_OUTCOME_UNKNOWN, EB_REASON_BAD_REQUEST},
        {"ask", NULL, NULL, "\" x", 0, EB_OUTCOME_NOT_RUN,
         EB_REASON_BAD_REQUEST},
        {"ask", "k", NULL, "a", 3000, EB_OUTCOME_NOT_RUN,
         EB_REASON_DEADLINE_INFEASIBLE},
        {"pay", "k", NULL, "a", 3000, EB_OUTCOME_UNKNOWN,
         EB_REASON_DEADLINE_INFEASIBLE},
    };
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    for (size_t i = 0; i < TABLE_COUNT(refusals); i++) {
        const Refusal *row = &refusals[i];
        SimulationSubmit wanted = {.pipeline = row->pipeline,
                                   .key = row->key,
                                   .token = row->token,
                                   .input = row->input,
                                   .timeout_us = row->timeout_us};
        SimulationRequest *request = Simulation_Submit(simulation, &wanted);
        CU_ASSERT_TRUE(request->answered);
        CU_ASSERT_EQUAL(request->outcome, row->outcome);
        CU_ASSERT_EQUAL(request->reason, row->reason);
        CU_ASSERT_EQUAL(request->retry_after_us > 0,
                        EbReason_table[row->reason].retry_after == 1);
    }
    CU_ASSERT_EQUAL(g_hash_table_size(simulation->calls), 0);
    CU_ASSERT_STRING_EQUAL(Simulation_ClaimState(simulation, "k"), "absent");
    finish(simulation);
    Simulation_Free(simulation);
}

static void
count_request(void *context, json_t *request)
{
    CU_ASSERT_TRUE(json_array_size(json_object_get(request, "trace")) > 0);
    CU_ASSERT_PTR_NOT_NULL(json_object_get(request, "state"));
    (*(uint32_t *)context)++;
}

/* Guards against more live requests, concurrent requests of one customer or
 * recent requests than the bounds allow. */
static void
test_bounds(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){
        .seed = 1,
        .max_requests = 4,
        .config = {.contract = "\"concurrent_requests\": 6"}});
    uint32_t limited = 0;
    uint32_t overloaded = 0;
    for (int i = 0; i < 400; i++) {
        SimulationRequest *request = submit(simulation, "ask", NULL);
        limited += request->answered &&
                   request->reason == EB_REASON_CONCURRENCY_LIMITED;
        overloaded +=
            request->answered && request->reason == EB_REASON_OVERLOADED;
    }
    /* This daemon's share is half of the contract: 3 of 6. */
    CU_ASSERT_EQUAL(limited, 397);
    CU_ASSERT_EQUAL(overloaded, 0);
    finish(simulation);
    uint32_t described = 0;
    EbDispatcher_DescribeRequests(simulation->daemons[0].dispatcher, NULL,
                                  simulation->now_us, count_request,
                                  &described);
    CU_ASSERT_EQUAL(described, 256); /* limit on recent requests */
    Simulation_Free(simulation);

    simulation =
        Simulation_New(&(SimulationOptions){.seed = 1, .max_requests = 4});
    for (int i = 0; i < 6; i++) {
        overloaded +=
            submit(simulation, "ask", NULL)->reason == EB_REASON_OVERLOADED;
    }
    CU_ASSERT_EQUAL(overloaded, 2);
    finish(simulation);
    Simulation_Free(simulation);
}

/* Guards against tokens that are lost or relayed twice when a stream breaks,
 * and against a restart from the first token after some were relayed. */
static void
test_streams(void)
{
    for (int i = 0; i < 4; i++) {
        bool cannot_resume = i >= 2;
        bool stream = i % 2 == 1;
        Simulation *simulation = Simulation_New(&(SimulationOptions){
            .seed = 1, .config = {.cannot_resume = cannot_resume}});
        inject(simulation, FAULT_BROKEN_RAN, STEP_GENERATE, 1);
        SimulationSubmit wanted = {
            .pipeline = "ask", .input = "sleeve", .stream = stream};
        SimulationRequest *request = Simulation_Submit(simulation, &wanted);
        finish(simulation);
        bool cut_off = cannot_resume && stream;
        CU_ASSERT_EQUAL(request->outcome,
                        cut_off ? EB_OUTCOME_FAILED : EB_OUTCOME_DONE);
        CU_ASSERT_EQUAL(request->relayed, !stream   ? 0
                                          : cut_off ? SIMULATION_TOKENS / 2
                                                    : SIMULATION_TOKENS);
        /* A resumed stream repeats at most one token. */
        CU_ASSERT_TRUE(cannot_resume ||
                       simulation->tokens_sent <= SIMULATION_TOKENS + 1);
        CU_ASSERT_EQUAL(metric(simulation, EB_METRIC_RESUMES, "generate"),
                        cannot_resume ? 0 : 1);
        Simulation_Free(simulation);
    }
}

/* Guards against a caller that has to wait for one slow server, and against a
 * second answer from the slower of two hedged calls. */
static void
test_hedge(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 3});
    for (int i = 0; i < 40; i++) {
        submit(simulation, "ask", NULL);
        finish(simulation);
    }
    CU_ASSERT_EQUAL(metric(simulation, EB_METRIC_HEDGES, "retrieve"), 0);
    inject(simulation, FAULT_LATE, STEP_RETRIEVE, 1);
    SimulationRequest *request = submit(simulation, "ask", NULL);
    finish(simulation);
    CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
    CU_ASSERT_TRUE(request->total_us < 100000);
    CU_ASSERT_EQUAL(metric(simulation, EB_METRIC_HEDGES, "retrieve"), 1);
    CU_ASSERT_EQUAL(metric(simulation, EB_METRIC_WASTED_CALLS, "retrieve"), 1);
    Simulation_Free(simulation);
}

/* Guards against connections to a server that stay in use after one of them
 * proved silent. */
static void
test_silence(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    inject(simulation, FAULT_SILENT, STEP_ENCODE, 1);
    SimulationRequest *request = submit(simulation, "ask", NULL);
    finish(simulation);
    CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
    CU_ASSERT_EQUAL(simulation->retired, 1);
    Simulation_Free(simulation);
}

/* Guards against a poison request that goes on crashing servers: it must be
 * quarantined however often its caller repeats it, while other requests are
 * served. */
static void
test_poison(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    SimulationRequest *last = NULL;
    for (int i = 0; i < 6; i++) {
        SimulationSubmit wanted = {.pipeline = "ask", .input = "poison"};
        last = Simulation_Submit(simulation, &wanted);
        Simulation_Submit(simulation, &wanted);
        SimulationRequest *other = submit(simulation, "ask", NULL);
        finish(simulation);
        CU_ASSERT_EQUAL(other->outcome, EB_OUTCOME_DONE);
    }
    /* Three crashes quarantine a request; one more is allowed because the
     * first two copies were both in flight at the first crash. */
    CU_ASSERT_TRUE(simulation->crashes <= 4);
    CU_ASSERT_EQUAL(last->outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(last->reason, EB_REASON_QUARANTINED);
    Simulation_Free(simulation);
}

/* Guards against the quarantine of a harmless request that meets, in each of
 * two pools, a server that breaks the connection. */
static void
test_broken_connections_in_two_pools(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    inject(simulation, FAULT_BROKEN, STEP_ENCODE, 1);
    inject(simulation, FAULT_BROKEN, STEP_RETRIEVE, 1);
    SimulationRequest *request = submit(simulation, "ask", NULL);
    finish(simulation);
    CU_ASSERT_EQUAL(simulation->faults_hit, 2);
    CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
    CU_ASSERT_EQUAL(request->reason, EB_REASON_NONE);
    Simulation_Free(simulation);
}

/* Guards against a second run of the call when the same key arrives, here or
 * at the other daemon, while the first request is running, and against a key
 * that is accepted again with another body. */
static void
test_repeats(void)
{
    for (uint32_t daemon = 0; daemon < 2; daemon++) {
        for (int faulty = 0; faulty < 2; faulty++) {
            Simulation *simulation =
                Simulation_New(&(SimulationOptions){.seed = 1});
            if (faulty) {
                inject(simulation, FAULT_STATUS_400, STEP_RERANK, 1);
            }
            SimulationRequest *first = submit(simulation, "pay", "k");
            Simulation_Step(simulation, simulation->now_us + 3000);
            SimulationSubmit wanted = {.daemon = daemon,
                                       .pipeline = "pay",
                                       .key = "k",
                                       .input = "sleeve"};
            SimulationRequest *second = Simulation_Submit(simulation, &wanted);
            wanted.input = "another body";
            SimulationRequest *third = Simulation_Submit(simulation, &wanted);
            finish(simulation);
            CU_ASSERT_EQUAL(first->outcome,
                            faulty ? EB_OUTCOME_FAILED : EB_OUTCOME_DONE);
            CU_ASSERT_EQUAL(second->outcome, EB_OUTCOME_DONE);
            CU_ASSERT_EQUAL(second->replayed, !faulty);
            CU_ASSERT_EQUAL(third->reason, EB_REASON_KEY_REUSED);
            CU_ASSERT_EQUAL(Simulation_Record(simulation, "k")->runs, 1);
            Simulation_Free(simulation);
        }
    }
}

/* Guards against the answer `failed` for a key whose call has run. The second
 * daemon asks the owner for the outcome and is then paused. When it reads the
 * reply that the first request failed, a third request has claimed the key and
 * run the call. */
static void
test_outdated_owner_reply(void)
{
    Simulation *simulation = Simulation_New(
        &(SimulationOptions){.seed = 1, .config = {.deadline_ms = 60000}});
    inject(simulation, FAULT_STATUS_400, STEP_RERANK, 1);
    SimulationRequest *first = submit(simulation, "pay", "k");
    while (g_hash_table_size(simulation->calls) == 0) {
        Simulation_Step(simulation, INT64_MAX);
    }
    SimulationSubmit wanted = {
        .daemon = 1, .pipeline = "pay", .key = "k", .input = "sleeve"};
    SimulationRequest *second = Simulation_Submit(simulation, &wanted);
    for (int64_t until_us = simulation->now_us + 6000;
         Simulation_Step(simulation, until_us);) {
    }
    simulation->daemons[1].paused_until_us = simulation->now_us + 5000000;
    while (!first->answered) {
        Simulation_Step(simulation, INT64_MAX);
    }
    CU_ASSERT_EQUAL(first->outcome, EB_OUTCOME_FAILED);
    SimulationRequest *third = submit(simulation, "pay", "k");
    finish(simulation);
    CU_ASSERT_EQUAL(third->outcome, EB_OUTCOME_DONE);
    CU_ASSERT_EQUAL(second->outcome, EB_OUTCOME_DONE);
    CU_ASSERT_TRUE(second->replayed);
    Simulation_Free(simulation);
}

/* Guards against new calls to a leaving server, also after a configuration
 * change. */
static void
test_leaving(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    EbDispatcher_ServerLeaving(simulation->daemons[0].dispatcher, "encode0", 0,
                               true, "peer", simulation->now_us);
    for (int i = 0; i < 20; i++) {
        submit(simulation, "ask", NULL);
    }
    Simulation_ChangeConfig(simulation);
    for (int i = 0; i < 20; i++) {
        submit(simulation, "ask", NULL);
    }
    finish(simulation);
    CU_ASSERT_PTR_NULL(strstr(simulation->trace->str, "to encode0"));
    CU_ASSERT_PTR_NOT_NULL(strstr(simulation->trace->str, "to encode1"));
    Simulation_Free(simulation);
}

/* Guards against requests that are interrupted by a drain, or by a
 * configuration that removes the servers on which they run. */
static void
test_drain_and_config(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    SimulationRequest *requests[20];
    for (size_t i = 0; i < TABLE_COUNT(requests); i++) {
        requests[i] = submit(simulation, "ask", NULL);
    }
    simulation->config_options.servers = 1;
    Simulation_ChangeConfig(simulation);
    EbDispatcher_Drain(simulation->daemons[0].dispatcher, INT64_MAX,
                       simulation->now_us);
    SimulationRequest *late = submit(simulation, "ask", NULL);
    CU_ASSERT_EQUAL(late->reason, EB_REASON_DRAINING);
    finish(simulation);
    for (size_t i = 0; i < TABLE_COUNT(requests); i++) {
        CU_ASSERT_EQUAL(requests[i]->outcome, EB_OUTCOME_DONE);
    }
    CU_ASSERT_EQUAL(EbDispatcher_PoolCount(simulation->daemons[0].dispatcher),
                    EB_STAGE_KIND_COUNT);
    Simulation_Free(simulation);
}

/* Guards against a plain policy, the baseline for measurements, that does not
 * match its description: three retries without a budget, no hedges, no
 * admission control, and non-idempotent calls sent at most once. */
static void
test_plain_policy(void)
{
    Simulation *simulation = Simulation_New(
        &(SimulationOptions){.seed = 1, .policy = EB_POLICY_PLAIN});
    for (int i = 0; i < 12; i++) {
        inject(simulation, FAULT_STATUS_500, STEP_ENCODE, 3);
        SimulationRequest *request = submit(simulation, "ask", NULL);
        finish(simulation);
        CU_ASSERT_EQUAL(request->outcome, EB_OUTCOME_DONE);
        simulation->injection_count = 0;
    }
    CU_ASSERT_EQUAL(metric(simulation, EB_METRIC_RETRIES, "encode"), 36);
    inject(simulation, FAULT_STATUS_500, STEP_ENCODE, 4);
    SimulationRequest *failed = submit(simulation, "ask", NULL);
    finish(simulation);
    CU_ASSERT_EQUAL(failed->outcome, EB_OUTCOME_FAILED);
    inject(simulation, FAULT_BROKEN_RAN, STEP_CALL, 1);
    SimulationRequest *call = submit(simulation, "pay", "k");
    finish(simulation);
    CU_ASSERT_EQUAL(call->outcome, EB_OUTCOME_UNKNOWN);
    CU_ASSERT_EQUAL(Simulation_Record(simulation, "k")->runs, 1);
    Simulation_Free(simulation);
}

/* Guards against retries that multiply the load when everything fails: beyond
 * the initial balance, extra calls are at most a tenth of the first calls. */
static void
test_budget(void)
{
    Simulation *simulation = Simulation_New(&(SimulationOptions){.seed = 1});
    inject(simulation, FAULT_STATUS_500, STEP_ENCODE, 100000);
    for (int i = 0; i < 200; i++) {
        submit(simulation, "ask", NULL);
        finish(simulation);
    }
    uint64_t retries = metric(simulation, EB_METRIC_RETRIES, "encode");
    CU_ASSERT_TRUE(retries >= 20 && retries <= 23);
    Simulation_Free(simulation);
}

/* Guards against a customer that gets less than its share of a pool because
 * its pipeline's max_tokens is far above what is generated. Two customers with
 * equal weights each have 30 requests waiting for a single slot. */
static void
test_cost(void)
{
    Simulation *simulation = Simulation_New(
        &(SimulationOptions){.seed = 1,
                             .config = {.servers = 1,
                                        .capacity = 1,
                                        .deadline_ms = 60000,
                                        .full_max_tokens = 6400}});
    SimulationSubmit wanted[] = {
        {.pipeline = "ask", .input = "sleeve"},
        {.pipeline = "full",
         .input = "sleeve",
         .token = SIMULATION_OTHER_TOKEN},
    };
    SimulationRequest *requests[2][COST_REQUESTS];
    /* The cost of a queued call is max_tokens until the pool has seen how many
     * tokens the pipeline generates. */
    for (int i = 0; i < 2; i++) {
        Simulation_Submit(simulation, &wanted[i]);
    }
    finish(simulation);
    for (int i = 0; i < COST_REQUESTS; i++) {
        for (int j = 0; j < 2; j++) {
            requests[j][i] = Simulation_Submit(simulation, &wanted[j]);
        }
    }
    int answered[2] = {0};
    while (answered[0] < COST_REQUESTS &&
           Simulation_Step(simulation, INT64_MAX)) {
        for (int j = 0; j < 2; j++) {
            answered[j] = 0;
            for (int i = 0; i < COST_REQUESTS; i++) {
                answered[j] += requests[j][i]->answered;
            }
        }
    }
    CU_ASSERT_TRUE(answered[1] >= COST_REQUESTS / 2);
    finish(simulation);
    CU_ASSERT_EQUAL(requests[1][0]->outcome, EB_OUTCOME_DONE);
    Simulation_Free(simulation);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"normal path", test_normal_path},
        {"refusals", test_refusals},
        {"bounds", test_bounds},
        {"streams", test_streams},
        {"hedge", test_hedge},
        {"silence", test_silence},
        {"poison", test_poison},
        {"broken connections in two pools",
         test_broken_connections_in_two_pools},
        {"repeats", test_repeats},
        {"outdated owner reply", test_outdated_owner_reply},
        {"leaving", test_leaving},
        {"drain and configuration", test_drain_and_config},
        {"plain policy", test_plain_policy},
        {"budget", test_budget},
        {"cost", test_cost},
    };
    return EbTest_Run("test_dispatcher", cases, TABLE_COUNT(cases));
}
