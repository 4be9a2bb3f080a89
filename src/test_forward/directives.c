/* Tests of calls to servers that limit them, ask for a pause or leave. */
#include <string.h>

#include <glib.h>

#include "forward.h"
#include "test_runner.h"

#define SERVERS 3 /* of the fixture */

static void
submit(Fixture *fixture)
{
    fixture->answered = false;
    Fixture_Submit(fixture, "/read/x", TOKEN);
}

/* Answers the last call. */
static void
answer(Fixture *fixture, EbServerDirective directive)
{
    Fixture_SendEvent(fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED,
                                        .status = 200,
                                        .directive = directive});
}

/* Makes each server name a limit. */
static void
limit_servers(Fixture *fixture, uint32_t requests_per_s_milli)
{
    EbServerDirective directive = {
        .has_limit = true, .requests_per_s_milli = requests_per_s_milli};
    for (uint32_t i = 0; i < SERVERS; i++) {
        submit(fixture);
        answer(fixture, directive);
    }
}

/* Guards against calls above the limits of servers, and against the refusal of
 * a request that one of them takes in time. */
void
test_limited_servers(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    limit_servers(&fixture, 1000);
    CU_ASSERT_EQUAL(fixture.send_count, SERVERS);
    CU_ASSERT_TRUE(strcmp(fixture.servers[0], fixture.servers[1]) != 0);
    CU_ASSERT_TRUE(strcmp(fixture.servers[1], fixture.servers[2]) != 0);
    submit(&fixture);
    CU_ASSERT_EQUAL(fixture.send_count, SERVERS);
    Fixture_Advance(&fixture, SECOND_US - 10000);
    CU_ASSERT_EQUAL(fixture.send_count, SERVERS);
    Fixture_Advance(&fixture, 20000);
    CU_ASSERT_EQUAL(fixture.send_count, SERVERS + 1);
    CU_ASSERT_FALSE(fixture.answered);
    Fixture_Close(&fixture);
}

/* Guards against a request that waits until its deadline for servers which
 * won't take it in time, and against a caller that is not told when to come
 * back. */
void
test_retry_after_from_limit(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    limit_servers(&fixture, 100);
    unsigned sent = fixture.send_count;
    submit(&fixture);
    CU_ASSERT_FALSE(fixture.answered); /* 0.3 calls a second in all */
    submit(&fixture);
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.send_count, sent);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.reason, EB_REASON_OVERLOADED);
    CU_ASSERT_TRUE(fixture.retry_after_us >= 6 * SECOND_US);
    CU_ASSERT_TRUE(fixture.retry_after_us <= 14 * SECOND_US);
    Fixture_Close(&fixture);
}

/* Guards against what another server, or an answer to another request, says
 * about the server that was called. */
void
test_foreign_directive(void)
{
    static const Event rows[] = {
        {.status = 421, .not_run = true},
        {.status = 200, .wrong_request_id = true},
        {.status = 503, .not_run = true, .wrong_request_id = true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        Fixture_Open(&fixture);
        submit(&fixture);
        Event event = rows[i];
        event.kind = EB_ATTEMPT_ANSWERED;
        event.directive = (EbServerDirective){.leaving = true,
                                              .has_limit = true,
                                              .requests_per_s_milli = 1000,
                                              .retry_after_us = SECOND_US};
        Fixture_SendEvent(&fixture, &event);
        CU_ASSERT_TRUE(EbDirectives_Admits(
            fixture.directives, fixture.servers[0], fixture.now_us));
        Fixture_Close(&fixture);
    }
}

/* Guards against calls to a server that rejected one and asked for a pause. */
void
test_paused_server(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    submit(&fixture);
    Fixture_SendEvent(
        &fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED,
                           .status = 503,
                           .not_run = true,
                           .directive = {.retry_after_us = 2 * SECOND_US}});
    char paused[8];
    g_strlcpy(paused, fixture.servers[0], sizeof(paused));
    Fixture_Advance(&fixture, SECOND_US);
    answer(&fixture, (EbServerDirective){0});
    bool used_again = false;
    for (int i = 0; i < 40; i++) {
        Fixture_Advance(&fixture, SECOND_US / 10);
        fixture.send_count = 0;
        submit(&fixture);
        bool paused_now = i < 9;
        bool used = strcmp(fixture.servers[0], paused) == 0;
        CU_ASSERT_FALSE(paused_now && used);
        used_again = used_again || used;
        answer(&fixture, (EbServerDirective){0});
    }
    CU_ASSERT_TRUE(used_again);
    Fixture_Close(&fixture);
}

/* Guards against further calls to a server that announced in an answer that it
 * leaves, also after a change of the configuration. */
void
test_leaving_server(void)
{
    Fixture fixture;
    Fixture_Open(&fixture);
    submit(&fixture);
    char leaving[8];
    g_strlcpy(leaving, fixture.servers[0], sizeof(leaving));
    answer(&fixture, (EbServerDirective){.leaving = true});
    for (int i = 0; i < 40; i++) {
        if (i == 20) {
            EbDispatcher_SetConfig(fixture.dispatcher, fixture.config,
                                   fixture.now_us);
        }
        fixture.send_count = 0;
        submit(&fixture);
        CU_ASSERT_TRUE(strcmp(fixture.servers[0], leaving) != 0);
        answer(&fixture, (EbServerDirective){0});
    }
    Fixture_Close(&fixture);
}
