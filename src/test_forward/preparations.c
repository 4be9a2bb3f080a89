/* Tests of requests whose inputs are prepared in stages. */
#include <stdlib.h>

#include <glib.h>

#include "forward.h"
#include "test_runner.h"

static void
end_preparation(Fixture *fixture, unsigned index, EbPreparedStatus status,
                char *const *handles, uint32_t count)
{
    EbDispatcher_PreparationEnded(fixture->dispatcher, fixture->jobs[index],
                                  status, handles, count, fixture->now_us);
    Fixture_ProcessActions(fixture);
}

static char *results_a[] = {"a0"};
static char *results_b[] = {"b0", "b1"};
static char *results_c[] = {"c0"};

/* Opens the fixture and submits a request with three preparations: a, b, and
 * c, which takes the results of b as input. */
static void
open_staged(Fixture *fixture)
{
    Fixture_Open(fixture);
    Fixture_Submit(fixture, "/staged/x", TOKEN);
}

/* Guards against a call that is sent before its inputs are ready, with the
 * results of a stage that only feeds another stage, or with inputs in the
 * wrong order, and against results that are kept after their use. */
void
test_preparations(void)
{
    Fixture fixture;
    open_staged(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 2);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 3);
    CU_ASSERT_EQUAL(fixture.job_stages[2], 2);
    static const uint64_t moved_bytes[] = {7, 100, 2 * 100 + 5};
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(fixture.job_bytes[i],
                        moved_bytes[fixture.job_stages[i]]);
        CU_ASSERT_EQUAL(fixture.job_near_inputs[i],
                        fixture.job_stages[i] == 2);
    }
    end_preparation(&fixture, 2, EB_PREPARED_OK, results_c, 1);
    CU_ASSERT_EQUAL(fixture.ended_count, 1); /* b has been used */
    CU_ASSERT_EQUAL(fixture.send_count, 0);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    CU_ASSERT_STRING_EQUAL(fixture.inputs, "a0 c0 ");
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    CU_ASSERT_EQUAL(fixture.ended_count, 3);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    Fixture_Close(&fixture);
}

/* Guards against results that occupy memory at their server because they were
 * prepared long before the end of a longer chain of preparations. */
void
test_early_preparation(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    fixture.config->pools[1].batch.call_us = SECOND_US / 4;
    EbConfig_PlanForward(fixture.config, fixture.config->pipelines[4].forward);
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.job_count, 1);
    CU_ASSERT_EQUAL(fixture.job_stages[0], 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL(fixture.job_count, 3);
    Fixture_Close(&fixture);
}

/* Guards against preparing what can't lead to an answer in time: a stage's
 * deadline must leave the time that the stages after it take at least. */
void
test_useless_preparations(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    EbConfigForward *staged = fixture.config->pipelines[4].forward;
    staged->preparations[1].downstream_min_us = 210000;
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    int64_t deadline_us = fixture.now_us + 6 * SECOND_US;
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 3);
    for (unsigned i = 0; i < 3; i++) {
        bool has_next = fixture.job_stages[i] == 1;
        CU_ASSERT_EQUAL(fixture.job_deadlines_us[i],
                        deadline_us - (has_next ? 210000 : 0));
    }
    Fixture_Close(&fixture);
}

/* Lets another route of other priority prepare at the service of /staged/,
 * whose memory for results is limited, so that its items are done by urgency.
 */
static void
order_by_urgency(EbConfig *config)
{
    EbConfigForward *other = config->pipelines[3].forward;
    other->preparations = g_new0(EbConfigPreparation, 1);
    other->preparations[0].pool_index = 1;
    other->preparation_count = 1;
    other->priority = 2;
    config->pools[1].batch.result_memory_bytes = 1000000;
}

/* Guards against a caller that was refused, comes back when its goal has
 * passed and goes before those that can be in time, and against a caller that
 * leaves a little less time than others and is taken for one. */
void
test_repeated_request(void)
{
    static const struct {
        bool by_urgency;
        int64_t left_us;
        int64_t earlier_us; /* its results are due, about */
    } rows[] = {{true, 6 * SECOND_US, 0},
                {true, 5 * SECOND_US, 0},
                {true, 3 * SECOND_US, 3 * SECOND_US},
                {false, 3 * SECOND_US, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        if (rows[i].by_urgency) {
            order_by_urgency(fixture.config);
        }
        Fixture_Submit(&fixture, "/staged/x", TOKEN);
        unsigned first_count = fixture.job_count;
        CU_ASSERT_TRUE_FATAL(first_count > 0);
        fixture.caller_timeout_us = rows[i].left_us;
        Fixture_Submit(&fixture, "/staged/x", TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.job_count, 2 * first_count);
        int64_t earlier_us =
            fixture.job_due_us[0] - fixture.job_due_us[first_count];
        CU_ASSERT_TRUE(llabs(earlier_us - rows[i].earlier_us) <=
                       SECOND_US / 10);
        Fixture_Close(&fixture);
    }
}

/* Guards against a second call when a home reports the end of a preparation
 * twice, before and after its link broke. */
void
test_prepared_twice(void)
{
    Fixture fixture;
    open_staged(&fixture);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 2, EB_PREPARED_OK, results_c, 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 2, EB_PREPARED_LATE, NULL, 0);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    CU_ASSERT_FALSE(fixture.answered);
    Fixture_Close(&fixture);
}

/* Guards against a request that fails at the first loss of a prepared result,
 * and against an outcome other than "not run" when no server ran its call. */
void
test_lost_results(void)
{
    Fixture fixture;
    open_staged(&fixture);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 2, EB_PREPARED_INPUT_GONE, NULL, 0);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 5);
    end_preparation(&fixture, 3, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 4, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 5, EB_PREPARED_OK, results_c, 1);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    Fixture_SendEvent(
        &fixture,
        &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 409, .not_run = true});
    Fixture_Advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 8);
    end_preparation(&fixture, 6, EB_PREPARED_FAILED, NULL, 0);
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    Fixture_Close(&fixture);
}

#define CHAIN_LENGTH 12

/* Makes the preparations of /staged/ a chain that is listed backwards: the
 * first of the list is the last of the chain. */
static void
make_chain(Fixture *fixture)
{
    EbConfigForward *staged = fixture->config->pipelines[4].forward;
    staged->preparations =
        g_renew(EbConfigPreparation, staged->preparations, CHAIN_LENGTH);
    staged->preparation_count = CHAIN_LENGTH;
    for (unsigned i = 0; i < CHAIN_LENGTH; i++) {
        staged->preparations[i] =
            (EbConfigPreparation){.pool_index = 1, .result_bytes = 100};
        if (i + 1 < CHAIN_LENGTH) {
            staged->preparations[i].dependencies = EB_PREPARATION_BIT(i + 1);
        }
        fixture->item_counts[i] = 1;
    }
    fixture->item_stage_count = CHAIN_LENGTH;
    CU_ASSERT_TRUE(EbConfig_PlanForward(fixture->config, staged));
}

/* Guards against preparing a stream whose caller will have left before its
 * first event, and against a refusal at the end of the deadline instead of at
 * once. */
void
test_abandoned_streams(void)
{
    static const struct {
        int64_t abandon_us;
        int64_t preparation_us; /* at least */
        bool refused;
    } rows[] = {
        {0, 300000, false},
        {4 * SECOND_US, 300000, false},
        {60 * SECOND_US, 300000, false},
        {2 * SECOND_US, 2 * SECOND_US, true},
        {0, 2 * SECOND_US, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        EbConfigForward *staged = fixture.config->pipelines[4].forward;
        staged->abandon_us = rows[i].abandon_us;
        fixture.config->pools[1].batch.call_us = rows[i].preparation_us;
        EbConfig_PlanForward(fixture.config, staged);
        Fixture_Submit(&fixture, "/staged/x", TOKEN);
        CU_ASSERT_EQUAL(fixture.answered, rows[i].refused);
        if (rows[i].refused) {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_DEADLINE_INFEASIBLE);
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
            Fixture_Close(&fixture);
            continue;
        }
        int64_t limit_us =
            rows[i].abandon_us > 0 ? rows[i].abandon_us : INT64_MAX;
        CU_ASSERT_EQUAL(
            fixture.job_deadlines_us[0],
            fixture.now_us + MIN(limit_us, 6 * SECOND_US) -
                staged->preparations[fixture.job_stages[0]].downstream_min_us);
        Fixture_Close(&fixture);
    }
}

/* Guards against a request that waits for its deadline, or is sent without its
 * inputs, because its pipeline has many preparations or lists them in another
 * order than that of their dependencies. */
void
test_long_chain(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    make_chain(&fixture);
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    for (unsigned i = 0; i < CHAIN_LENGTH; i++) {
        CU_ASSERT_EQUAL(fixture.send_count, 0);
        CU_ASSERT_EQUAL_FATAL(fixture.job_count, i + 1);
        CU_ASSERT_EQUAL(fixture.job_stages[i], CHAIN_LENGTH - 1 - i);
        end_preparation(&fixture, i, EB_PREPARED_OK, results_c, 1);
    }
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    CU_ASSERT_STRING_EQUAL(fixture.inputs, "c0 ");
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    CU_ASSERT_EQUAL(fixture.ended_count, CHAIN_LENGTH);
    Fixture_Close(&fixture);
}

/* Guards against a pipeline whose requests are all refused because waiting for
 * busy servers at each of its many stages would take longer than its deadline,
 * and against accepting one that can't be answered in time by free servers. */
void
test_feasible_chain(void)
{
    static const struct {
        int64_t call_us;
        bool accepted;
    } rows[] = {
        {100000, true},  /* 12 calls: 1.2 s */
        {400000, true},  /* 4.8 s, or 8 s with busy servers; deadline 6 s */
        {550000, false}, /* 6.6 s */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        fixture.config->pools[1].batch.call_us = rows[i].call_us;
        make_chain(&fixture);
        Fixture_Submit(&fixture, "/staged/x", TOKEN);
        CU_ASSERT_EQUAL(fixture.answered, !rows[i].accepted);
        CU_ASSERT_EQUAL(fixture.job_count, rows[i].accepted ? 1 : 0);
        if (fixture.answered) {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_DEADLINE_INFEASIBLE);
        }
        Fixture_Close(&fixture);
    }
}
