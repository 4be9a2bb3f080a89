/* Tests of forwarded requests while failure domains are evacuated. */
#include <string.h>

#include "forward.h"
#include "test_runner.h"

static void
evacuate(Fixture *fixture, const char *failure_domain, bool evacuated)
{
    EbEvacuations_Set(fixture->evacuations, failure_domain, evacuated,
                      &(EbStorePosition){0}, fixture->now_us);
    EbDispatcher_EvacuationsChanged(fixture->dispatcher, fixture->now_us);
    Fixture_ProcessActions(fixture);
}

/* Opens a dispatcher with the server s-0 in "recife", s-1 and s-2 in "natal",
 * and s-2 also as the server of the preparations. */
static void
open_two_domains(Fixture *fixture)
{
    Fixture_Open(fixture);
    EbConfig *config = fixture->config;
    for (uint32_t i = 1; i < config->server_count; i++) {
        g_free(config->servers[i].failure_domain);
        config->servers[i].failure_domain = g_strdup("natal");
    }
    config->pools[1].server_indexes = g_new0(uint32_t, 1);
    config->pools[1].server_indexes[0] = 2;
    config->pools[1].server_count = 1;
    EbDispatcher_SetConfig(fixture->dispatcher, config, fixture->now_us);
}

static const char *
last_server(const Fixture *fixture)
{
    return fixture->servers[fixture->send_count - 1];
}

/* Guards against a retry, a resumption or a new request that goes to a server
 * in a closed failure domain, and against the end of what runs there. */
void
test_evacuated_domain(void)
{
    static const struct {
        const char *path;
        Event end; /* of the first call, when "natal" is closed */
    } rows[] = {
        {"/read/x", {.kind = EB_ATTEMPT_BROKEN}},
        {"/pay/x", {.kind = EB_ATTEMPT_REFUSED}},
        {"/pay/x",
         {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true}},
        {"/resumable/x", {.kind = EB_ATTEMPT_BROKEN}},
        {"/read/x", {.kind = EB_ATTEMPT_ANSWERED, .status = 200}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_two_domains(&fixture);
        evacuate(&fixture, "recife", true);
        Fixture_Submit(&fixture, rows[i].path, TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        CU_ASSERT_STRING_NOT_EQUAL(last_server(&fixture), "s-0");
        evacuate(&fixture, "recife", false);
        evacuate(&fixture, "natal", true);
        CU_ASSERT_EQUAL(fixture.cancel_count, 0);
        CU_ASSERT_FALSE(fixture.answered);
        Fixture_SendEvent(&fixture, &rows[i].end);
        if (rows[i].end.status == 200) {
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        }
        else {
            Fixture_Advance(&fixture, SECOND_US);
            CU_ASSERT_EQUAL_FATAL(fixture.send_count, 2);
            CU_ASSERT_STRING_EQUAL(last_server(&fixture), "s-0");
        }
        Fixture_Close(&fixture);
    }
}

/* Guards against requests that wait until their deadline while every server is
 * in a closed failure domain: those that wait and new ones are refused at
 * once, as not run. */
void
test_everything_evacuated(void)
{
    Fixture fixture;
    open_two_domains(&fixture);
    unsigned submitted = 0;
    while (submitted == fixture.send_count) {
        Fixture_Submit(&fixture, "/pay/x", TOKEN);
        submitted++;
    }
    unsigned sent = fixture.send_count; /* all slots; the last one waits */
    evacuate(&fixture, "natal", true);
    CU_ASSERT_FALSE(fixture.answered);
    evacuate(&fixture, "recife", true);
    CU_ASSERT_TRUE_FATAL(fixture.answered);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_EVACUATED);
    CU_ASSERT_TRUE(fixture.retry_after_us >= SECOND_US);
    fixture.answered = false;
    Fixture_Submit(&fixture, "/read/x", TOKEN);
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_EVACUATED);
    CU_ASSERT_EQUAL(EbDispatcher_CountCalls(fixture.dispatcher, "recife") +
                        EbDispatcher_CountCalls(fixture.dispatcher, "natal"),
                    sent);
    fixture.answered = false;
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    fixture.answered = false;
    evacuate(&fixture, "recife", false);
    evacuate(&fixture, "natal", false);
    Fixture_Submit(&fixture, "/read/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.send_count, sent + 1);
    Fixture_Close(&fixture);
}

/* Guards against a request that is prepared, or waits for its preparation,
 * although no server of a stage that it needs may be called. */
void
test_evacuated_preparation(void)
{
    Fixture fixture;
    open_two_domains(&fixture);
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.job_count, 2);
    evacuate(&fixture, "natal", true);
    EbDispatcher_PreparationEnded(fixture.dispatcher, fixture.jobs[0],
                                  EB_PREPARED_FAILED, NULL, 0, fixture.now_us);
    Fixture_ProcessActions(&fixture);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_EVACUATED);
    fixture.answered = false;
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_EVACUATED);
    CU_ASSERT_EQUAL(fixture.job_count, 2);
    fixture.answered = false;
    fixture.item_stage_count = 0; /* needs no preparation */
    Fixture_Submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_FALSE(fixture.answered);
    CU_ASSERT_STRING_EQUAL(last_server(&fixture), "s-0");
    Fixture_Close(&fixture);
}
