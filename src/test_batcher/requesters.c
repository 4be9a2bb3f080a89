/* Tests of links to requesters and to homes that break. */
#include <string.h>

#include "ebonyhollow/preparation_table.h"
#include "fixture.h"
#include "test_runner.h"

/* Guards against calls for jobs whose daemon is no longer reachable. */
void
test_requester_lost(void)
{
    Fixture fixture;
    Fixture_Open(&fixture, 1, 0);
    Fixture_AddJob(&fixture, 1, 1, 5 * SECOND_US);
    Fixture_ProcessActions(&fixture);
    Fixture_AddJob(&fixture, 2, 1, 5 * SECOND_US);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 0);
    Fixture_Close(&fixture);
}

/* Guards against results that are freed although their request continues,
 * because the link to its daemon broke for a moment, and against results that
 * stay at their servers after their daemon died or was restarted. */
void
test_requester_linked(void)
{
    static const struct {
        bool linked_again;
        uint64_t incarnation;
        guint released; /* a second after the end of the grace period */
    } rows[] = {{true, 7, 0}, {true, 8, 2}, {false, 0, 2}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture, 1, 0);
        EbBatcher_RequesterLinked(fixture.batcher, "i-1", 7, fixture.now_us);
        Fixture_AddJob(&fixture, 1, 2, 5 * SECOND_US);
        Fixture_ProcessActions(&fixture);
        Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
        CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_OK);
        EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
        CU_ASSERT_EQUAL(Fixture_ReleasedAfter(&fixture, SECOND_US), 0);
        if (rows[i].linked_again) {
            EbBatcher_RequesterLinked(fixture.batcher, "i-1",
                                      rows[i].incarnation, fixture.now_us);
        }
        CU_ASSERT_EQUAL(
            Fixture_ReleasedAfter(&fixture, EB_BATCHER_REQUESTER_GRACE_US),
            rows[i].released);
        EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
        CU_ASSERT_EQUAL(Fixture_ReleasedAfter(&fixture, SECOND_US), 2);
        Fixture_Close(&fixture);
    }
}

/* Guards against a request that waits without end: the link broke before its
 * daemon received the results, and the daemon asks for them again. */
void
test_results_requested_again(void)
{
    Fixture fixture;
    Fixture_Open(&fixture, 1, 0);
    Fixture_AddJob(&fixture, 1, 2, 5 * SECOND_US);
    Fixture_ProcessActions(&fixture);
    Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_OK);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    Fixture_AddJob(&fixture, 1, 2, 5 * SECOND_US);
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 0);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_OK);
    CU_ASSERT_EQUAL(Fixture_ReleasedAfter(
                        &fixture, EB_BATCHER_REQUESTER_GRACE_US + SECOND_US),
                    0);
    Fixture_Close(&fixture);
}

/* Guards against results that stay at their servers after the home that had
 * requested them was stopped. */
void
test_release_for_other_daemon(void)
{
    Fixture fixture;
    Fixture_Open(&fixture, 2, 0);
    EbBatcher_ReleaseResult(fixture.batcher, SERVICE, "10.0.0.1", 7001, "a",
                            fixture.now_us);
    EbBatcher_ReleaseResult(fixture.batcher, SERVICE, "10.0.0.1", 7009, "b",
                            fixture.now_us); /* no server has this port */
    EbBatcher_ReleaseResult(fixture.batcher, "unknown", "10.0.0.1", 7001, "c",
                            fixture.now_us);
    CU_ASSERT_EQUAL(Fixture_ReleasedAfter(&fixture, SECOND_US), 1);
    Fixture_Close(&fixture);
}

/* Guards against results that are given to another request after their daemon
 * was restarted: it numbers its jobs from the beginning. */
void
test_job_number_reused(void)
{
    Fixture fixture;
    Fixture_Open(&fixture, 1, 0);
    Fixture_AddJobOfRequest(&fixture, "old", 1, 2, 5 * SECOND_US);
    Fixture_ProcessActions(&fixture);
    Fixture_AnswerCall(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(Fixture_ExpectStatus(&fixture, 1), EB_PREPARED_OK);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    Fixture_AddJobOfRequest(&fixture, "new", 1, 2, 5 * SECOND_US);
    EbBatcherResult result;
    CU_ASSERT_FALSE(EbBatcher_NextResult(fixture.batcher, &result));
    CU_ASSERT_EQUAL(Fixture_ProcessActions(&fixture), 1);
    CU_ASSERT_EQUAL(Fixture_CallItemCount(&fixture), 2);
    CU_ASSERT_EQUAL(Fixture_ReleasedAfter(&fixture, SECOND_US), 2);
    Fixture_Close(&fixture);
}

static EbPlacedPreparation *
place(EbPreparationTable *preparations, uint64_t number, const char *home)
{
    char id[] = "r";
    char service[] = SERVICE;
    EbPreparationJob spec = {
        .job = number, .request_id = id, .service = service};
    EbPlacedPreparation *job = EbPreparationTable_Add(preparations, &spec);
    EbPlacedPreparation_SetHome(job, home, 0);
    return job;
}

/* Guards against results that are made again although their servers still have
 * them, because the link to the home broke. Also guards against jobs that stay
 * at a lost home, and against a result from an instance that is not the job's
 * home. */
void
test_abandon_home(void)
{
    EbPreparationTable *preparations = EbPreparationTable_New();
    EbPlacedPreparation *waiting = place(preparations, 1, "h-1");
    place(preparations, 2, "h-1");
    place(preparations, 3, "h-2");
    char *const handles[] = {"a", "b"};
    CU_ASSERT_FALSE(EbPreparationTable_RecordResult(
        preparations, "h-2", 2, EB_PREPARED_OK, handles, 2));
    CU_ASSERT_TRUE(EbPreparationTable_RecordResult(
        preparations, "h-1", 2, EB_PREPARED_OK, handles, 2));
    CU_ASSERT_FALSE(EbPreparationTable_RecordResult(
        preparations, "h-1", 9, EB_PREPARED_OK, handles, 2));
    GHashTable *homes = EbPreparationTable_PendingHomes(preparations, 0);
    CU_ASSERT_EQUAL(g_hash_table_size(homes), 2);
    g_hash_table_destroy(homes);
    GPtrArray *unprepared =
        EbPreparationTable_AbandonHome(preparations, "h-1");
    CU_ASSERT_EQUAL_FATAL(unprepared->len, 1);
    CU_ASSERT_PTR_EQUAL(g_ptr_array_index(unprepared, 0), waiting);
    g_ptr_array_unref(unprepared);
    CU_ASSERT_FALSE(waiting->home_abandoned);
    const EbPlacedPreparation *prepared =
        EbPreparationTable_Find(preparations, 2);
    CU_ASSERT_TRUE(prepared->home_abandoned);
    CU_ASSERT_EQUAL(prepared->handles->len, 2);
    EbPreparationTable_Remove(preparations, 1);
    CU_ASSERT_PTR_NULL(EbPreparationTable_Find(preparations, 1));
    EbPreparationTable_Free(preparations);
}
