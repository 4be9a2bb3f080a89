/* Tests of requests that crash servers. */
#include <glib.h>

#include "forward.h"
#include "test_runner.h"

/* Submits a request whose prompt has a common first part, the given one and
 * one of its own. Its body is its own too. */
static uint64_t
submit_prompt(Fixture *fixture, const char *pipeline, uint64_t part)
{
    fixture->submit_count++;
    fixture->parts[0] = (EbPromptPart){1, 100};
    fixture->parts[1] = (EbPromptPart){part, 100};
    fixture->parts[2] = (EbPromptPart){1000 + fixture->submit_count, 100};
    fixture->part_count = 3;
    fixture->answered = false;
    fixture->send_count = 0;
    char path[32];
    g_snprintf(path, sizeof(path), "/%s/%u", pipeline, fixture->submit_count);
    return Fixture_Submit(fixture, path, TOKEN);
}

/* Breaks the last call, as a crash of its server does. */
static void
crash_server(Fixture *fixture)
{
    Fixture_SendEvent(fixture, &(Event){.kind = EB_ATTEMPT_BROKEN});
    Fixture_Advance(fixture, SECOND_US / 2);
}

static void
answer_request(Fixture *fixture)
{
    Fixture_SendEvent(fixture,
                      &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    Fixture_SendEvent(fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                        .status = 200,
                                        .event_id = 0,
                                        .bytes = "a"});
    Fixture_SendEvent(fixture,
                      &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
}

/* Guards against requests that share a part of their prompt and crash one
 * server after the other, and against the refusal of requests that share only
 * other parts with them. */
void
test_prompt_part_crashes_servers(void)
{
    enum { POISON_PART = 7, SOUND_PART = 8 };
    Fixture fixture;
    Fixture_Open(&fixture);
    unsigned sent = 0;
    for (int i = 0; i < 20; i++) {
        submit_prompt(&fixture, "once", POISON_PART);
        if (fixture.send_count > 0) {
            sent++;
            crash_server(&fixture);
        }
        else {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_SUSPECT_QUARANTINED);
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
        }
        submit_prompt(&fixture, "once", SOUND_PART);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        answer_request(&fixture);
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        Fixture_Advance(&fixture, SECOND_US / 2);
    }
    /* The calls break alone, each counts for one point. */
    CU_ASSERT_EQUAL(sent, EB_SUSPECT_POINTS);
    Fixture_Close(&fixture);
}

/* Guards against a request that is sent again at once although it carries what
 * may have crashed its server, and against one that waits or is refused
 * without evidence. */
void
test_repeat_awaits_evidence(void)
{
    static const struct {
        int crashes; /* under the part before */
        bool delayed;
        bool refused;
    } rows[] = {
        {0, false, false},
        {1, true, false},
        {2, true, true}, /* by the crash that broke the call, and a report */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        EbSuspicion crash = {.set = {{EbSuspects_PartFingerprint(7)}, 1}};
        for (int j = 0; j < rows[i].crashes; j++) {
            crash.server = (uint64_t)j + 1;
            EbSuspects_Merge(fixture.suspects, &crash, fixture.now_us);
            Fixture_Advance(&fixture, SECOND_US);
        }
        submit_prompt(&fixture, "resumable", 7);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        Fixture_Advance(&fixture, SECOND_US / 5);
        int64_t broken_us = fixture.now_us;
        Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_BROKEN});
        Fixture_Advance(&fixture, SECOND_US / 10);
        CU_ASSERT_EQUAL(fixture.send_count, rows[i].delayed ? 1 : 2);
        /* Another daemon saw the crash too. */
        crash.server = (uint64_t)rows[i].crashes + 1;
        crash.ago_us = (uint64_t)(fixture.now_us - broken_us);
        EbSuspects_Merge(fixture.suspects, &crash, fixture.now_us);
        Fixture_Advance(&fixture, SECOND_US / 5);
        CU_ASSERT_EQUAL(fixture.send_count, rows[i].refused ? 1 : 2);
        CU_ASSERT_EQUAL(fixture.answered, rows[i].refused);
        if (rows[i].refused) {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_SUSPECT_QUARANTINED);
        }
        Fixture_Close(&fixture);
    }
}

/* Guards against a broken connection that counts as a crash of its server
 * although another call goes on there. */
void
test_single_broken_call(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    EbConfig *one_server = Fixture_MakeConfig();
    one_server->pools[0].server_count = 1;
    EbDispatcher_SetConfig(fixture.dispatcher, one_server, fixture.now_us);
    uint64_t running = submit_prompt(&fixture, "once", 2);
    Fixture_Advance(&fixture, SECOND_US / 5);
    submit_prompt(&fixture, "once", 3);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    crash_server(&fixture);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), INT64_MAX);
    EbDispatcher_CallerGone(fixture.dispatcher, running, fixture.now_us);
    submit_prompt(&fixture, "once", 3);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    crash_server(&fixture);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), 0);
    EbConfig_Unref(one_server);
    Fixture_Close(&fixture);
}
