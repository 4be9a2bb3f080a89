/* Tests of forwarded requests in the dispatcher, on a virtual clock: what is
 * sent to servers, how often, and what the caller is answered. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "forward.h"
#include "test_runner.h"

/* Guards against work that is given up or started again elsewhere when its
 * server is missing from the list for a while, since it was slow to report or
 * the list lags. */
static void
test_server_missing(void)
{
    static const char *const paths[] = {"/read/x", "/pay/x", "/resumable/x",
                                        "/once/x"};
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, paths[i], TOKEN);
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        EbConfig *without = Fixture_MakeConfig();
        without->pools[0].server_count = 0;
        EbDispatcher_SetConfig(fixture.dispatcher, without, fixture.now_us);
        Fixture_ProcessActions(&fixture);
        Fixture_Advance(&fixture, 3 * SECOND_US);
        CU_ASSERT_FALSE(fixture.answered);
        EbDispatcher_SetConfig(fixture.dispatcher, fixture.config,
                               fixture.now_us);
        Fixture_ProcessActions(&fixture);
        Fixture_Advance(&fixture, SECOND_US);
        CU_ASSERT_FALSE(fixture.answered);
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        CU_ASSERT_EQUAL(fixture.cancel_count, 0);
        Fixture_SendEvent(
            &fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        EbConfig_Unref(without);
        Fixture_Close(&fixture);
    }
}

/* Guards against a slow but sound stream that is cut, and against a stalled
 * one that goes on for ever since something comes now and then: events without
 * an id, or the same event again. */
static void
test_slow_streams(void)
{
    static const struct {
        const char *path;
        int64_t first_id;
        int64_t id_step;
        int64_t interval_us;
        unsigned count;
        bool ends; /* the server ends the stream after the last event */
    } rows[] = {
        {"/once/x", 0, 1, 1900000, 4, true},
        {"/resumable/x", 0, 1, 1900000, 4, true},
        {"/once/x", -1, 0, 300000, 30, false},
        {"/resumable/x", 3, 0, 300000, 30, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        int64_t start_us = fixture.now_us;
        Fixture_Submit(&fixture, rows[i].path, TOKEN);
        Fixture_SendEvent(
            &fixture, &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
        for (unsigned k = 0; k < rows[i].count && !fixture.answered; k++) {
            if (k > 0) {
                Fixture_Advance(&fixture, rows[i].interval_us);
            }
            if (!fixture.answered) {
                Fixture_SendEvent(&fixture,
                                  &(Event){.kind = EB_ATTEMPT_EVENTS,
                                           .status = 200,
                                           .event_id = rows[i].first_id +
                                                       rows[i].id_step * k,
                                           .bytes = "a"});
            }
        }
        if (rows[i].ends) {
            CU_ASSERT_FALSE(fixture.answered);
            CU_ASSERT_EQUAL(fixture.send_count, 1);
            Fixture_SendEvent(
                &fixture, &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        }
        else {
            CU_ASSERT_TRUE(fixture.answered);
            CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
            CU_ASSERT_EQUAL(fixture.cancel_count, 1);
            CU_ASSERT_TRUE(fixture.now_us - start_us <= 6400000);
        }
        Fixture_Close(&fixture);
    }
}

typedef struct {
    const char *name;
    const char *path;
    Event first;       /* event of the first attempt */
    unsigned sends;    /* expected; a second attempt always succeeds */
    EbOutcome outcome; /* expected at the end */
    uint16_t status;   /* expected of the answer; 0: none was passed on */
} FaultRow;

static const FaultRow first_attempt_rows[] = {
    {"read ok",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200},
     1,
     EB_OUTCOME_DONE,
     200},
    {"read not found",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 404},
     1,
     EB_OUTCOME_DONE,
     404},
    {"read refused",
     "/read/x",
     {.kind = EB_ATTEMPT_REFUSED},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read broken",
     "/read/x",
     {.kind = EB_ATTEMPT_BROKEN},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read 500",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 500},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read shed",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read misdirected",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 421},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read unsigned",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .unsigned_answer = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read with another id",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .wrong_request_id = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay ok",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200},
     1,
     EB_OUTCOME_DONE,
     200},
    {"pay refused",
     "/pay/x",
     {.kind = EB_ATTEMPT_REFUSED},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay shed",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay misdirected",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 421},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay broken",
     "/pay/x",
     {.kind = EB_ATTEMPT_BROKEN},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay malformed",
     "/pay/x",
     {.kind = EB_ATTEMPT_MALFORMED},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay unsigned",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .unsigned_answer = true},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay 500",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 500},
     1,
     EB_OUTCOME_UNKNOWN,
     500},
    {"pay 503 that ran",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"once broken",
     "/once/x",
     {.kind = EB_ATTEMPT_BROKEN},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"resumable broken",
     "/resumable/x",
     {.kind = EB_ATTEMPT_BROKEN},
     2,
     EB_OUTCOME_DONE,
     200},
};

/* Guards against a non-idempotent request that runs twice, against an answer
 * that is accepted without a signature or for another request, and against
 * "not run" for a request that may have run. */
static void
test_first_attempt(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(first_attempt_rows); i++) {
        const FaultRow *row = &first_attempt_rows[i];
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, row->path, TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        Fixture_SendEvent(&fixture, &row->first);
        Fixture_Advance(&fixture, SECOND_US);
        if (!fixture.answered && fixture.send_count == 2) {
            CU_ASSERT_STRING_NOT_EQUAL(fixture.servers[0], fixture.servers[1]);
            Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED,
                                                 .status = 200});
        }
        Fixture_Advance(&fixture, 7 * SECOND_US);
        bool as_expected =
            fixture.answered && fixture.send_count == row->sends &&
            fixture.outcome == row->outcome && fixture.status == row->status;
        if (!as_expected) {
            printf("%s: %u sends, outcome %s, status %u\n", row->name,
                   fixture.send_count, EbOutcome_names[fixture.outcome],
                   fixture.status);
        }
        CU_ASSERT_TRUE(as_expected);
        Fixture_Close(&fixture);
    }
}

/* Guards against more attempts of a request than its pipeline allows. */
static void
test_max_attempts(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    Fixture_Submit(&fixture, "/read/x", TOKEN);
    for (int i = 0; i < 5 && !fixture.answered; i++) {
        Fixture_SendEvent(
            &fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 500});
        Fixture_Advance(&fixture, SECOND_US / 2);
    }
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.send_count, 2);
    CU_ASSERT_EQUAL(fixture.status, 500);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_FAILED);
    Fixture_Close(&fixture);
}

/* Guards against events that are lost or relayed twice when a stream resumes,
 * and against a second head. */
static void
test_resume(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    Fixture_Submit(&fixture, "/resumable/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.resumed_after[0], EB_FORWARD_NO_EVENT);
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    CU_ASSERT_EQUAL(fixture.head_count, 0);
    Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                         .status = 200,
                                         .event_id = 0,
                                         .bytes = "a"});
    Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                         .status = 200,
                                         .event_id = 1,
                                         .bytes = "b"});
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_BROKEN, .status = 200});
    Fixture_Advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 2);
    CU_ASSERT_EQUAL(fixture.resumed_after[1], 1);
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                         .status = 200,
                                         .event_id = 1,
                                         .bytes = "b"});
    Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                         .status = 200,
                                         .event_id = 2,
                                         .bytes = "c"});
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
    CU_ASSERT_STRING_EQUAL(fixture.relayed->str, "abc");
    CU_ASSERT_EQUAL(fixture.head_count, 1);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    Fixture_Close(&fixture);
}

/* Guards against a copy of an earlier refusal, on a connection that is used
 * again, that is taken for the answer to a call which a server runs: its
 * caller would be told that it has not run. */
static void
test_repeated_refusal(void)
{
    static const struct {
        Event event;
        EbOutcome outcome;
    } rows[] = {
        {{.status = 503, .not_run = true}, EB_OUTCOME_NOT_RUN},
        {{.status = 503, .not_run = true, .no_request_id = true},
         EB_OUTCOME_NOT_RUN},
        {{.status = 503,
          .not_run = true,
          .no_request_id = true,
          .reused_connection = true},
         EB_OUTCOME_FAILED},
        {{.status = 421, .no_request_id = true, .reused_connection = true},
         EB_OUTCOME_FAILED},
        {{.status = 503, .not_run = true, .wrong_request_id = true},
         EB_OUTCOME_FAILED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, "/read/x", TOKEN);
        Event event = rows[i].event;
        event.kind = EB_ATTEMPT_ANSWERED;
        for (int round = 0; round < 8 && !fixture.answered; round++) {
            unsigned sent = fixture.send_count;
            Fixture_SendEvent(&fixture, &event);
            Fixture_Advance(&fixture, SECOND_US);
            if (fixture.send_count == sent) {
                Fixture_Advance(&fixture, 7 * SECOND_US);
            }
        }
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_EQUAL(fixture.outcome, rows[i].outcome);
        Fixture_Close(&fixture);
    }
}

/* Guards against a stream that looks complete, or contains another answer,
 * since the server that was to go on with it answered something else. */
static void
test_resume_answered(void)
{
    static const uint16_t statuses[] = {200, 204, 400, 404, 409, 500, 503};
    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, "/resumable/x", TOKEN);
        Fixture_SendEvent(
            &fixture, &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
        Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                             .status = 200,
                                             .event_id = 0,
                                             .bytes = "a"});
        Fixture_SendEvent(&fixture,
                          &(Event){.kind = EB_ATTEMPT_BROKEN, .status = 200});
        Fixture_Advance(&fixture, SECOND_US);
        CU_ASSERT_EQUAL(fixture.send_count, 2);
        Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED,
                                             .status = statuses[i]});
        Fixture_Advance(&fixture, 7 * SECOND_US);
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
        CU_ASSERT_STRING_EQUAL(fixture.relayed->str, "a");
        Fixture_Close(&fixture);
    }
}

/* Guards against a resume of a stream whose pipeline allows none. */
static void
test_no_resume(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    Fixture_Submit(&fixture, "/once/x", TOKEN);
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    Fixture_SendEvent(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                         .status = 200,
                                         .event_id = 0,
                                         .bytes = "a"});
    Fixture_SendEvent(&fixture,
                      &(Event){.kind = EB_ATTEMPT_BROKEN, .status = 200});
    Fixture_Advance(&fixture, 7 * SECOND_US);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_UNKNOWN);
    Fixture_Close(&fixture);
}

/* Guards against a server that goes on working for a caller that has gone.
 * Only a non-idempotent call that is not a stream continues. */
static void
test_caller_gone(void)
{
    static const struct {
        const char *path;
        unsigned cancels;
    } rows[] = {
        {"/read/x", 1}, {"/resumable/x", 1}, {"/once/x", 1}, {"/pay/x", 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        uint64_t id = Fixture_Submit(&fixture, rows[i].path, TOKEN);
        EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
        Fixture_ProcessActions(&fixture);
        CU_ASSERT_EQUAL(fixture.cancel_count, rows[i].cancels);
        CU_ASSERT_FALSE(fixture.answered);
        Fixture_Close(&fixture);
    }
}

/* Guards against a caller that waits for its answer past the deadline. */
static void
test_deadline(void)
{
    static const char *const paths[] = {"/read/x", "/pay/x", "/once/x",
                                        "/staged/x"};
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        Fixture_Submit(&fixture, paths[i], TOKEN);
        Fixture_Advance(&fixture, 6 * SECOND_US + 10000);
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        Fixture_Close(&fixture);
    }
}

/* Guards against the refusal of short calls because the streams of another
 * pipeline on the same servers take longer than their deadline. */
static void
test_short_calls_beside_streams(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    for (int i = 0; i < 14; i++) {
        fixture.answered = false;
        fixture.send_count = 0;
        Fixture_Submit(&fixture, "/once/x", TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        Fixture_SendEvent(
            &fixture, &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
        Fixture_SendEvent(
            &fixture,
            &(Event){.kind = EB_ATTEMPT_EVENTS, .status = 200, .bytes = "a"});
        Fixture_Advance(&fixture, 11 * SECOND_US / 2);
        Fixture_SendEvent(&fixture,
                          &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    }
    fixture.answered = false;
    fixture.send_count = 0;
    Fixture_Submit(&fixture, "/read/x", TOKEN);
    CU_ASSERT_FALSE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    Fixture_Close(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"a prompt part crashes servers", test_prompt_part_crashes_servers},
        {"a repeat awaits evidence", test_repeat_awaits_evidence},
        {"single broken call", test_single_broken_call},
        {"refusals", test_refusals},
        {"callers", test_callers},
        {"drain", test_drain},
        {"detached", test_detached},
        {"left between attempts", test_left_between_attempts},
        {"left while waiting", test_left_while_waiting},
        {"first attempt", test_first_attempt},
        {"max attempts", test_max_attempts},
        {"resume", test_resume},
        {"repeated refusal", test_repeated_refusal},
        {"resume answered otherwise", test_resume_answered},
        {"no resume", test_no_resume},
        {"caller gone", test_caller_gone},
        {"server missing from the list", test_server_missing},
        {"slow streams", test_slow_streams},
        {"deadline", test_deadline},
        {"short calls beside long streams", test_short_calls_beside_streams},
        {"limited servers", test_limited_servers},
        {"retry-after from a limit", test_retry_after_from_limit},
        {"directive of another server", test_foreign_directive},
        {"paused server", test_paused_server},
        {"leaving server", test_leaving_server},
        {"evacuated domain", test_evacuated_domain},
        {"everything evacuated", test_everything_evacuated},
        {"evacuated preparation", test_evacuated_preparation},
        {"preparations", test_preparations},
        {"early preparation", test_early_preparation},
        {"useless preparations", test_useless_preparations},
        {"abandoned streams", test_abandoned_streams},
        {"repeated request", test_repeated_request},
        {"prepared twice", test_prepared_twice},
        {"lost results", test_lost_results},
        {"long chain", test_long_chain},
        {"feasible chain", test_feasible_chain},
    };
    return EbTest_Run("test_forward", cases, G_N_ELEMENTS(cases));
}
