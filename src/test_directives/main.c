/* Tests of EbDirectives: limits, pauses and their division among daemons. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/directives.h"
#include "fleet.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)
#define SERVER "s-1"

static uint64_t fleet_seeds = 1;
static bool print_fleets;

typedef struct {
    EbRandom random;
    EbDirectives *directives;
    int64_t now_us;
} Fixture;

static void
open_fixture(Fixture *fixture)
{
    fixture->now_us = SECOND_US;
    EbRandom_Init(&fixture->random, 7);
    fixture->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &fixture->random});
}

/* Passes an answer to a call that was just sent. `limit_milli` is 0 when it
 * names no limit. */
static void
answer(Fixture *fixture, uint32_t limit_milli, int64_t retry_after_us)
{
    EbServerDirective directive = {.has_limit = limit_milli > 0,
                                   .requests_per_s_milli = limit_milli,
                                   .retry_after_us = retry_after_us};
    EbDirectives_RecordAnswer(fixture->directives, SERVER, &directive,
                              fixture->now_us, fixture->now_us);
}

/* Sends as many calls as are admitted in a time. Returns their number. */
static unsigned
send_for(Fixture *fixture, int64_t duration_us)
{
    unsigned count = 0;
    int64_t end_us = fixture->now_us + duration_us;
    for (; fixture->now_us < end_us; fixture->now_us += 1000) {
        if (EbDirectives_Admits(fixture->directives, SERVER,
                                fixture->now_us)) {
            EbDirectives_RecordCall(fixture->directives, SERVER,
                                    fixture->now_us);
            count++;
        }
    }
    return count;
}

/* Guards against a limit that is not kept, or kept too strictly. */
static void
test_limit(void)
{
    static const struct {
        uint32_t limit_milli;
        unsigned min_calls, max_calls; /* in 20 s */
    } rows[] = {
        {2000, 39, 41},     {200, 3, 4},    {20, 1, 2}, /* counts as 0.1 */
        {50000, 990, 1013}, {1300, 25, 27},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        CU_ASSERT_TRUE(
            EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
        answer(&fixture, rows[i].limit_milli, 0);
        CU_ASSERT_FALSE(
            EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
        unsigned calls = send_for(&fixture, 20 * SECOND_US);
        CU_ASSERT_TRUE(calls >= rows[i].min_calls);
        CU_ASSERT_TRUE(calls <= rows[i].max_calls);
        EbDirectives_Free(fixture.directives);
    }
}

/* Guards against a server that stays limited after it stopped to say so, and
 * against a late answer that ends the limit although it is older. */
static void
test_end_of_limit(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    answer(&fixture, 1000, 0);
    EbServerDirective none = {0};
    EbDirectives_RecordAnswer(fixture.directives, SERVER, &none,
                              fixture.now_us - 1, fixture.now_us + 1);
    fixture.now_us += 10;
    CU_ASSERT_FALSE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    answer(&fixture, 0, 0);
    CU_ASSERT_TRUE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));

    answer(&fixture, 1000, 0);
    fixture.now_us += EB_DIRECTIVES_LIMIT_LIFETIME_US;
    double share;
    CU_ASSERT_FALSE(EbDirectives_FindShare(fixture.directives, SERVER, &share,
                                           fixture.now_us));
    CU_ASSERT_TRUE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    EbDirectives_Free(fixture.directives);
}

/* Guards against calls during the pause that a server asked for, and against a
 * pause that an answer without one ends. */
static void
test_pause(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    answer(&fixture, 0, 2 * SECOND_US);
    answer(&fixture, 0, SECOND_US);
    answer(&fixture, 0, 0);
    int64_t end_us = fixture.now_us + 2 * SECOND_US;
    CU_ASSERT_EQUAL(
        EbDirectives_NextAdmission(fixture.directives, SERVER, fixture.now_us),
        end_us);
    CU_ASSERT_FALSE(
        EbDirectives_Admits(fixture.directives, SERVER, end_us - 1));
    CU_ASSERT_TRUE(EbDirectives_Admits(fixture.directives, SERVER, end_us));
    EbDirectives_Free(fixture.directives);
}

static void
test_leaving(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbDirectives_SetLeaving(fixture.directives, SERVER, 0, true,
                            fixture.now_us);
    CU_ASSERT_EQUAL(
        EbDirectives_NextAdmission(fixture.directives, SERVER, fixture.now_us),
        INT64_MAX);
    EbDirectives_SetLeaving(fixture.directives, SERVER, 0, false,
                            fixture.now_us);
    CU_ASSERT_TRUE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    EbDirectives_Free(fixture.directives);
}

static void
set_incarnation(const Fixture *fixture, uint64_t incarnation)
{
    EbConfigBackendServer row = {.id = (char *)SERVER,
                                 .incarnation = incarnation};
    EbConfig config = {.servers = &row, .server_count = 1};
    EbDirectives_SetConfig(fixture->directives, &config, fixture->now_us);
}

/* Guards against a server that left, started again under its id and is not
 * used any more, and against marks about another start than the present one.
 */
static void
test_leaving_incarnations(void)
{
    static const struct {
        uint64_t before, marked, after; /* marked 0: the sender knows none */
        bool leaving_before, leaving_after;
    } rows[] = {
        {5, 5, 6, true, false},  {5, 0, 6, true, false},
        {6, 6, 5, true, false},  /* the server's clock stepped back */
        {5, 4, 5, false, false}, /* told late */
        {5, 6, 6, false, true},  /* told before the entry was read */
        {5, 5, 5, true, true},   {0, 0, 0, true, true},
        {0, 5, 5, true, true},   {5, 5, 7, true, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        set_incarnation(&fixture, rows[i].before);
        EbDirectives_SetLeaving(fixture.directives, SERVER, rows[i].marked,
                                true, fixture.now_us);
        CU_ASSERT_EQUAL(EbDirectives_IsLeaving(fixture.directives, SERVER),
                        rows[i].leaving_before);
        set_incarnation(&fixture, rows[i].after);
        CU_ASSERT_EQUAL(EbDirectives_IsLeaving(fixture.directives, SERVER),
                        rows[i].leaving_after);
        CU_ASSERT_EQUAL(
            EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us),
            !rows[i].leaving_after);
        EbDirectives_Free(fixture.directives);
    }
}

/* Guards against a pause or limit of an earlier start, also one that arrives
 * late or from a peer, that holds for the present start. */
static void
test_limit_incarnations(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    set_incarnation(&fixture, 5);
    answer(&fixture, 1000, 60 * SECOND_US);
    CU_ASSERT_FALSE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    int64_t sent_us = fixture.now_us;
    fixture.now_us += SECOND_US;
    set_incarnation(&fixture, 6);
    CU_ASSERT_TRUE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    EbServerDirective directive = {.has_limit = true,
                                   .requests_per_s_milli = 100};
    EbDirectives_RecordAnswer(fixture.directives, SERVER, &directive, sent_us,
                              fixture.now_us);
    EbDirectives_Merge(fixture.directives,
                       &(EbLimitReport){.server_id = (char *)SERVER,
                                        .limited = true,
                                        .requests_per_s_milli = 100,
                                        .ago_us = SECOND_US},
                       fixture.now_us);
    CU_ASSERT_TRUE(
        EbDirectives_Admits(fixture.directives, SERVER, fixture.now_us));
    CU_ASSERT_FALSE(
        EbDirectives_IsLimited(fixture.directives, SERVER, fixture.now_us));
    EbDirectives_Free(fixture.directives);
}

/* Adds up the shares of the daemons from `first` on that know each other, of
 * all `count`, while the others are lost. */
static double
sum_side(uint32_t first, uint32_t size, uint32_t count, uint32_t limit_milli)
{
    char names[FLEET_MAX_DAEMONS][16];
    const char *live[FLEET_MAX_DAEMONS];
    const char *lost[FLEET_MAX_DAEMONS];
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = (first + i) % count;
        g_snprintf(names[i], sizeof(names[i]), "i-%u", index);
        live[i] = names[i];
        lost[i] = names[i];
    }
    double sum = 0;
    for (uint32_t i = 0; i < size; i++) {
        EbRandom random;
        EbRandom_Init(&random, 1);
        EbDirectives *directives = EbDirectives_New(
            &(EbDirectivesOptions){.instance = names[i], .random = &random});
        EbDirectives_SetMembers(directives, live, size, lost + size,
                                count - size, SECOND_US);
        EbServerDirective directive = {.has_limit = true,
                                       .requests_per_s_milli = limit_milli};
        EbDirectives_RecordAnswer(directives, SERVER, &directive, SECOND_US,
                                  SECOND_US);
        double share = 0;
        CU_ASSERT_TRUE(
            EbDirectives_FindShare(directives, SERVER, &share, SECOND_US));
        sum += share;
        EbDirectives_Free(directives);
    }
    return sum;
}

/* Guards against shares that add up to more than the limit, or to less while
 * no daemon is missing, and against sides of a partition that use each other's
 * shares or leave some unused. */
static void
test_shares(void)
{
    static const struct {
        uint32_t daemons, lost, limit_milli;
        double sum;
    } rows[] = {
        {1, 0, 2000, 2},         {8, 0, 300, 0.3},      {8, 0, 1300, 1.3},
        {8, 0, 5500, 5.5},       {8, 0, 80000, 80},     {300, 0, 1600, 1.6},
        {300, 0, 2000000, 2000}, {8, 4, 1300, 1.3},     {8, 4, 80000, 80},
        {300, 1, 200000, 200},   {300, 100, 1600, 1.6},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        uint32_t live = rows[i].daemons - rows[i].lost;
        double sum = sum_side(0, live, rows[i].daemons, rows[i].limit_milli);
        if (rows[i].lost > 0) {
            CU_ASSERT_TRUE(sum <= rows[i].sum + 0.001);
            sum += sum_side(live, rows[i].lost, rows[i].daemons,
                            rows[i].limit_milli);
        }
        CU_ASSERT_DOUBLE_EQUAL(sum, rows[i].sum, 0.001);
    }
}

/* Guards against a daemon that still uses limits after it announced that it
 * leaves, when the others have taken over its part. */
static void
test_leaving_daemon(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    answer(&fixture, 2000, 0);
    EbDirectives_SetMembers(fixture.directives, NULL, 0, NULL, 0,
                            fixture.now_us);
    CU_ASSERT_EQUAL(send_for(&fixture, 10 * SECOND_US), 0);
    EbDirectives_Free(fixture.directives);
}

/* Guards against reports that repeat what is known, and against one that is
 * older than what this daemon heard itself. */
static void
test_reports(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbLimitReport report;
    answer(&fixture, 1000, 0);
    fixture.now_us += SECOND_US;
    CU_ASSERT_TRUE(EbDirectives_NextTimer(fixture.directives) <=
                   fixture.now_us);
    CU_ASSERT_TRUE_FATAL(
        EbDirectives_NextReport(fixture.directives, &report, fixture.now_us));
    CU_ASSERT_STRING_EQUAL(report.server_id, SERVER);
    CU_ASSERT_TRUE(report.limited);
    CU_ASSERT_EQUAL(report.requests_per_s_milli, 1000);
    CU_ASSERT_EQUAL(report.ago_us, SECOND_US);
    CU_ASSERT_FALSE(
        EbDirectives_NextReport(fixture.directives, &report, fixture.now_us));
    answer(&fixture, 1010, 0);
    CU_ASSERT_EQUAL(EbDirectives_NextTimer(fixture.directives), INT64_MAX);

    EbLimitReport old = {.server_id = (char *)SERVER, .ago_us = SECOND_US / 2};
    EbDirectives_Merge(fixture.directives, &old, fixture.now_us);
    double share;
    CU_ASSERT_TRUE(EbDirectives_FindShare(fixture.directives, SERVER, &share,
                                          fixture.now_us));
    fixture.now_us += SECOND_US;
    EbDirectives_Merge(fixture.directives, &old, fixture.now_us);
    CU_ASSERT_FALSE(EbDirectives_FindShare(fixture.directives, SERVER, &share,
                                           fixture.now_us));
    EbDirectives_Free(fixture.directives);
}

/* Guards against a table that grows without bound, and against one that is
 * full of entries which no longer matter. */
static void
test_many_servers(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbServerDirective directive = {.has_limit = true,
                                   .requests_per_s_milli = 1000};
    for (uint32_t round = 0; round < 2; round++) {
        char id[24];
        for (uint32_t i = 0; i < 6000; i++) {
            g_snprintf(id, sizeof(id), "s-%u-%u", round, i);
            EbDirectives_RecordAnswer(fixture.directives, id, &directive,
                                      fixture.now_us, fixture.now_us);
        }
        double share;
        CU_ASSERT_FALSE(EbDirectives_FindShare(fixture.directives, id, &share,
                                               fixture.now_us));
        g_snprintf(id, sizeof(id), "s-%u-0", round);
        CU_ASSERT_TRUE(EbDirectives_FindShare(fixture.directives, id, &share,
                                              fixture.now_us));
        fixture.now_us += EB_DIRECTIVES_LIMIT_LIFETIME_US;
    }
    EbDirectives_Free(fixture.directives);
}

/* Guards against a server that gets more than it takes while daemons join,
 * leave, die or lose each other; against servers that are hardly used because
 * their limits are divided too finely; and against one that stays unused after
 * its limit ended. */
static void
test_fleets(void)
{
    static const FleetOptions rows[] = {
        {.daemon_count = 8,
         .server_count = 18,
         .limited_servers = 13,
         .limit_per_s = 2,
         .requests_per_s = 80},
        {.daemon_count = 8,
         .server_count = 18,
         .limited_servers = 18,
         .limit_per_s = 0.4,
         .requests_per_s = 80},
        {.daemon_count = 8,
         .server_count = 3,
         .limited_servers = 2,
         .limit_per_s = 30,
         .requests_per_s = 200,
         .leave_us = 9 * SECOND_US},
        {.daemon_count = 8,
         .server_count = 18,
         .limited_servers = 13,
         .limit_per_s = 12,
         .requests_per_s = 400,
         .join_us = 9 * SECOND_US,
         .kill_us = 12 * SECOND_US},
        {.daemon_count = 8,
         .server_count = 8,
         .limited_servers = 8,
         .limit_per_s = 12,
         .requests_per_s = 200,
         .partition_us = 6 * SECOND_US},
        {.daemon_count = 30,
         .server_count = 32,
         .limited_servers = 22,
         .limit_per_s = 3.5,
         .requests_per_s = 200,
         .join_us = 8 * SECOND_US,
         .leave_us = 10 * SECOND_US,
         .kill_us = 13 * SECOND_US},
        {.daemon_count = 300,
         .server_count = 32,
         .limited_servers = 22,
         .limit_per_s = 12,
         .requests_per_s = 800,
         .join_us = 9 * SECOND_US,
         .kill_us = 11 * SECOND_US},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (uint64_t seed = 1; seed <= fleet_seeds; seed++) {
            FleetOptions options = rows[i];
            options.seed = seed;
            options.limit_from_us = 4 * SECOND_US;
            options.limit_until_us = 22 * SECOND_US;
            options.end_us = 28 * SECOND_US;
            FleetResult result;
            Fleet_Play(&options, &result);
            CU_ASSERT_EQUAL(result.breaches, 0);
            CU_ASSERT_TRUE(result.calls_after_end > 0);
            double limited_calls =
                options.limit_per_s * 18 * options.limited_servers;
            if (print_fleets) {
                printf("%u daemons, limit %.1f, seed %" G_GUINT64_FORMAT
                       ": %.0f%% of the limit used, at most %u calls in a "
                       "window of %.0f, %u windows above, %u reports, %.1f%% "
                       "of %u requests sent\n",
                       options.daemon_count, options.limit_per_s, seed,
                       100 * result.calls / limited_calls, result.worst_calls,
                       result.allowed_calls, result.breaches, result.reports,
                       100.0 * result.served / result.requests,
                       result.requests);
            }
        }
    }
}

/* Guards against parts of killed daemons that the others do not use although
 * they know that the processes have ended, and against parts that are used
 * twice meanwhile. */
static void
test_ended_daemons(void)
{
    static const uint32_t sizes[] = {8, 30, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (uint64_t seed = 1; seed <= fleet_seeds; seed++) {
            FleetOptions options = {.seed = seed,
                                    .daemon_count = sizes[i],
                                    .server_count = 32,
                                    .limited_servers = 22,
                                    .limit_per_s = 12,
                                    .requests_per_s = 800,
                                    .limit_from_us = 4 * SECOND_US,
                                    .kill_us = 11 * SECOND_US,
                                    .kill_refuses = true,
                                    .limit_until_us = 22 * SECOND_US,
                                    .end_us = 22 * SECOND_US};
            FleetResult result;
            Fleet_Play(&options, &result);
            CU_ASSERT_EQUAL(result.breaches, 0);
            CU_ASSERT_TRUE(result.used_after >= 0.95 * result.used_before);
            if (print_fleets) {
                printf("%u daemons, seed %" G_GUINT64_FORMAT
                       ": a quarter ended, %.0f%% of the limit used before, "
                       "%.0f%% from 5 s after\n",
                       sizes[i], seed, 100 * result.used_before,
                       100 * result.used_after);
            }
        }
    }
}

int
main(int argc, char **argv)
{
    static const EbTestCase cases[] = {
        {"limit", test_limit},
        {"end of a limit", test_end_of_limit},
        {"pause", test_pause},
        {"leaving server", test_leaving},
        {"leaving incarnations", test_leaving_incarnations},
        {"limit incarnations", test_limit_incarnations},
        {"shares", test_shares},
        {"leaving daemon", test_leaving_daemon},
        {"reports", test_reports},
        {"many servers", test_many_servers},
        {"fleets", test_fleets},
        {"ended daemons", test_ended_daemons},
    };
    if (argc == 3 && strcmp(argv[1], "--seeds") == 0) {
        fleet_seeds = strtoull(argv[2], NULL, 10);
        print_fleets = true;
    }
    return EbTest_Run("test_directives", cases, G_N_ELEMENTS(cases));
}
