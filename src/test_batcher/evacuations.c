/* Tests of work items while failure domains are evacuated. */
#include <string.h>

#include "fixture.h"
#include "test_runner.h"

static void
evacuate(Fixture *fixture, const char *failure_domain, bool evacuated)
{
    EbEvacuations_Set(fixture->evacuations, failure_domain, evacuated,
                      &(EbStorePosition){0}, fixture->now_us);
    EbBatcher_EvacuationsChanged(fixture->batcher, fixture->now_us);
}

/* Opens a batcher with a server in "recife" and one in "natal". */
static void
open_two_domains(Fixture *fixture)
{
    Fixture_Open(fixture, 2, 0);
    g_free(fixture->config->servers[1].failure_domain);
    fixture->config->servers[1].failure_domain = g_strdup("natal");
    EbBatcher_SetConfig(fixture->batcher, fixture->config, fixture->now_us);
}

static bool
sent_to(const Fixture *fixture, const char *server_id)
{
    return g_strcmp0(fixture->call.as.batch.server_id, server_id) == 0;
}

/* Guards against items that go to a server in a closed failure domain although
 * they waited for it, belong there, or failed elsewhere; against a call there
 * that is not let finish; and against a message there that frees results. */
void
test_evacuated_servers(void)
{
    Fixture fixture;
    open_two_domains(&fixture);
    EbPreparationJob job = {.job = 1,
                            .request_id = "r-1",
                            .service = SERVICE,
                            .item_count = 1,
                            .transfer_bytes = 2900000,
                            .failure_domain = "recife",
                            .key = "key",
                            .due_us = fixture.now_us + 2 * SECOND_US,
                            .deadline_us = fixture.now_us + 6 * SECOND_US};
    EbBatcher_AddJob(fixture.batcher, "i-1", &job, fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    CU_ASSERT_TRUE(sent_to(&fixture, "s-0"));
    uint64_t first_call = fixture.call.as.batch.attempt_id;
    job.job = 2;
    job.request_id = "r-2";
    EbBatcher_AddJob(fixture.batcher, "i-1", &job, fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 0); /* waits for s-0 */

    fixture.now_us += SECOND_US / 10;
    evacuate(&fixture, "recife", true);
    CU_ASSERT_EQUAL(EbBatcher_CountCalls(fixture.batcher, "recife"), 1);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    CU_ASSERT_TRUE(sent_to(&fixture, "s-1"));
    EbWorkItemResult result = {.kind = EB_WORK_ITEM_DONE,
                               .handle = g_strdup("r-1/0")};
    EbBatcher_CallAnswered(fixture.batcher, first_call, &result, 1,
                           fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_OK);
    CU_ASSERT_EQUAL(EbBatcher_CountCalls(fixture.batcher, "recife"), 0);

    EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ReleasedAfter(&fixture, SECOND_US), 0);
    Fixture_AnswerCall(&fixture, EB_WORK_ITEM_ERROR);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    CU_ASSERT_TRUE(sent_to(&fixture, "s-1"));
    CU_ASSERT_TRUE(EbBatcher_NextTimer(fixture.batcher) > fixture.now_us);

    evacuate(&fixture, "recife", false);
    job.job = 3;
    job.request_id = "r-3";
    EbBatcher_AddJob(fixture.batcher, "i-1", &job, fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    CU_ASSERT_TRUE(sent_to(&fixture, "s-0"));
    Fixture_Close(&fixture);
}

/* Guards against items that wait until their deadline, or are sent, although
 * every server of their service is in a closed failure domain. */
void
test_evacuated_service(void)
{
    Fixture fixture;
    open_two_domains(&fixture);
    Fixture_AddJob(&fixture, 1, 3 * MAX_ITEMS, fixture.now_us + SECOND_US);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 2);
    evacuate(&fixture, "natal", true);
    CU_ASSERT_EQUAL(EbBatcher_PendingJobCount(fixture.batcher), 1);
    evacuate(&fixture, "recife", true);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_FAILED);
    CU_ASSERT_EQUAL(EbBatcher_PendingJobCount(fixture.batcher), 0);
    Fixture_AddJob(&fixture, 2, 1, fixture.now_us + SECOND_US);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 2), EB_PREPARED_FAILED);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 0);
    evacuate(&fixture, "recife", false);
    evacuate(&fixture, "natal", false);
    Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
    Fixture_AddJob(&fixture, 3, 1, fixture.now_us + SECOND_US);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    Fixture_Close(&fixture);
}
