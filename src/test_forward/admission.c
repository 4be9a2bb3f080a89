/* Tests of whose requests are taken, and of requests at the end of a daemon or
 * after their caller has left. */
#include <glib.h>

#include "forward.h"
#include "test_runner.h"

/* Guards against a request that is accepted without a pipeline or a valid
 * token, or waits at a pipeline or of a customer that can't be used, and
 * against a refused request that is sent to a server. */
void
test_refusals(void)
{
    static const struct {
        const char *path;
        const char *token;
        EbReason reason;
    } rows[] = {
        {"/unknown/x", TOKEN, EB_REASON_UNKNOWN_PIPELINE},
        {"/read", TOKEN, EB_REASON_UNKNOWN_PIPELINE},
        {"/read/x", NULL, EB_REASON_UNAUTHENTICATED},
        {"/read/x", "other", EB_REASON_UNAUTHENTICATED},
        {"/unusable/x", "other", EB_REASON_UNAUTHENTICATED},
        {"/unusable/x", TOKEN, EB_REASON_PIPELINE_UNUSABLE},
        {"/read/x", UNUSABLE_TOKEN, EB_REASON_PIPELINE_UNUSABLE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, rows[i].path, rows[i].token);
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
        CU_ASSERT_EQUAL(fixture.reason, rows[i].reason);
        CU_ASSERT_EQUAL(fixture.send_count, 0);
        Fixture_Close(&fixture);
    }
}

/* Guards against refusing callers without a token where none is needed, and
 * against a call that names a customer who is not its caller. */
void
test_callers(void)
{
    static const struct {
        const char *path;
        const char *token;
        const char *customer;
    } rows[] = {
        {"/read/x", TOKEN, "c-1"},
        {"/open/x", NULL, ""},
        {"/open/x", "other", ""},
        {"/open/x", TOKEN, ""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, rows[i].path, rows[i].token);
        CU_ASSERT_FALSE(fixture.answered);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        CU_ASSERT_STRING_EQUAL(fixture.customer, rows[i].customer);
        Fixture_Close(&fixture);
    }
}

/* Guards against a request that is sent shortly before the end of a drain, and
 * is cut then although it may not be repeated, instead of being refused as not
 * run, and against taking new requests in a drain. */
void
test_drain(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    unsigned submitted = 0;
    while (submitted == fixture.send_count) {
        Fixture_Submit(&fixture, "/pay/x", TOKEN);
        submitted++;
    }
    unsigned sent = fixture.send_count; /* all slots; the last one waits */
    int64_t end_us = fixture.now_us + 2 * SECOND_US;
    EbDispatcher_Drain(fixture.dispatcher, end_us, fixture.now_us);
    Fixture_Advance(&fixture, SECOND_US);
    CU_ASSERT_FALSE(fixture.answered);
    Fixture_Advance(&fixture, end_us - fixture.now_us - SECOND_US / 100);
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_SHUTDOWN);
    fixture.answered = false;
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    CU_ASSERT_EQUAL(fixture.send_count, sent);
    fixture.answered = false;
    Fixture_Submit(&fixture, "/pay/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_DRAINING);
    CU_ASSERT_EQUAL(fixture.send_count, sent);
    Fixture_Close(&fixture);
}

/* Guards against another attempt, which places an order, for a caller who has
 * left, after a server stated that it didn't run the call. */
void
test_detached(void)
{
    static const struct {
        const char *path;
        Event end; /* of the call that was in progress */
        uint64_t saved;
    } rows[] = {
        {"/pay/x",
         {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true},
         1},
        {"/pay/x",
         {.kind = EB_ATTEMPT_ANSWERED, .status = 421, .not_run = true},
         1},
        {"/pay/x", {.kind = EB_ATTEMPT_REFUSED}, 1},
        {"/pay/x", {.kind = EB_ATTEMPT_BROKEN}, 0},
        {"/pay/x", {.kind = EB_ATTEMPT_ANSWERED, .status = 200}, 0},
        {"/read/x", {.kind = EB_ATTEMPT_BROKEN}, 0},
        {"/once/x", {.kind = EB_ATTEMPT_BROKEN}, 0},
        {"/resumable/x", {.kind = EB_ATTEMPT_BROKEN}, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        uint64_t id = Fixture_Submit(&fixture, rows[i].path, TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
        Fixture_ProcessActions(&fixture);
        if (fixture.cancel_count == 0) {
            Fixture_SendEvent(&fixture, &rows[i].end);
        }
        Fixture_Advance(&fixture, 7 * SECOND_US);
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        CU_ASSERT_FALSE(fixture.answered);
        CU_ASSERT_EQUAL(EbMetrics_Read(fixture.metrics, EB_METRIC_SAVED_CALLS,
                                       "pay", "forward", NULL),
                        rows[i].saved);
        CU_ASSERT_EQUAL(EbDispatcher_LiveCount(fixture.dispatcher), 0);
        Fixture_Close(&fixture);
    }
}

/* Guards against an attempt for a caller who left between two attempts. */
void
test_left_between_attempts(void)
{
    static const struct {
        const char *path;
        Event end; /* of the first attempt */
    } rows[] = {
        {"/read/x", {.kind = EB_ATTEMPT_BROKEN}},
        {"/read/x",
         {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true}},
        {"/resumable/x", {.kind = EB_ATTEMPT_BROKEN}},
        {"/pay/x",
         {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        uint64_t id = Fixture_Submit(&fixture, rows[i].path, TOKEN);
        Fixture_SendEvent(&fixture, &rows[i].end);
        CU_ASSERT_EQUAL(EbDispatcher_LiveCount(fixture.dispatcher), 1);
        unsigned sent = fixture.send_count;
        if (sent == 1) {
            EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
            Fixture_Advance(&fixture, 7 * SECOND_US);
        }
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        CU_ASSERT_FALSE(fixture.answered);
        CU_ASSERT_EQUAL(EbDispatcher_LiveCount(fixture.dispatcher), 0);
        Fixture_Close(&fixture);
    }
}

/* Guards against a call for a caller who left while the request waited for a
 * free server, or for the results of its stages at a home. */
void
test_left_while_waiting(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    unsigned submitted = 0;
    uint64_t id = 0;
    while (submitted == fixture.send_count) {
        id = Fixture_Submit(&fixture, "/pay/x", TOKEN);
        submitted++;
    }
    unsigned sent = fixture.send_count;
    EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    Fixture_Advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL(fixture.send_count, sent);
    id = Fixture_Submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_TRUE(fixture.job_count > 0);
    unsigned started = fixture.job_count;
    EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
    Fixture_Advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL(fixture.ended_count, started);
    CU_ASSERT_EQUAL(fixture.job_count, started);
    CU_ASSERT_EQUAL(fixture.send_count, sent);
    Fixture_Close(&fixture);
}
