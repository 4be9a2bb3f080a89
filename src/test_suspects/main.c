/* Tests of the search for what in requests crashes backend servers.
 *
 * With --seeds N the simulated fleets are played with N seeds and printed. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/suspects.h"
#include "fleet.h"
#include "test_runner.h"

#define SECOND_US 1000000LL
#define SUSPECT 7

typedef struct {
    EbRandom random;
    EbQuarantine *quarantine;
    EbSuspects *suspects;
    int64_t now_us;
} Fixture;

static const EbSuspectSet suspect_set = {{SUSPECT}, 1};
static uint64_t fleet_seeds = 10;
static bool print_fleets;

static void
open_fixture(Fixture *fixture, uint32_t max_entries)
{
    EbRandom_Init(&fixture->random, 1);
    fixture->now_us = 100 * SECOND_US;
    fixture->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    fixture->suspects = EbSuspects_New(
        &(EbSuspectsOptions){.max_entries = max_entries,
                             .random = &fixture->random,
                             .quarantine = fixture->quarantine});
}

static void
close_fixture(Fixture *fixture)
{
    EbSuspects_Free(fixture->suspects);
    EbQuarantine_Free(fixture->quarantine);
}

static bool
is_quarantined(Fixture *fixture, EbFingerprint fingerprint)
{
    return EbQuarantine_State(fixture->quarantine, fingerprint,
                              fixture->now_us) == EB_FINGERPRINT_QUARANTINED;
}

/* Plays steps: a letter is a crash of the server of that name, in upper case
 * when no other call broke with it, `+` an answer, `.` 0.2 s, `-` 30 s. */
static void
play(Fixture *fixture, const char *steps)
{
    for (const char *step = steps; *step != '\0'; step++) {
        char server_id[2] = {*step, '\0'};
        if (*step == '+') {
            EbSuspects_RecordAnswer(fixture->suspects, SUSPECT, true,
                                    fixture->now_us);
        }
        else if (*step == '.' || *step == '-') {
            fixture->now_us += *step == '.' ? SECOND_US / 5 : 30 * SECOND_US;
        }
        else {
            EbSuspects_RecordCrash(fixture->suspects, &suspect_set, server_id,
                                   g_ascii_isupper(*step), fixture->now_us,
                                   fixture->now_us);
        }
    }
}

/* Guards against a suspect that crashes more than three servers, against one
 * crash that counts more than once, and against sound suspects that are
 * quarantined: after an answer, after joint crashes, long after, or after a
 * few connections that broke alone. */
static void
test_evidence(void)
{
    static const struct {
        const char *steps;
        bool quarantined;
    } rows[] = {
        {"a.b", false},
        {"a.b.c", true},
        {"aaa.a.a", false},
        {"abcdef", false},
        {"abc.def.ghi", true},
        {"a.b.+c.d", false},
        {"a.b.+.c.d.e", false},
        {"a.b--c", false},
        {"a-b-c", false},
        {"A.B.C.D.E", false},
        {"A.B.C.D.E.F", true},
        {"a.b.C", false},
        {"a.b.C.D", true},
        {"Aa.Bb.C", false},
        {"Aa.Bb.Cc", true},
        {"+.a.b.c.d", false},
        {"+.a.b.c.d.e", true},
        {"+.A.B.C.D.E.F.G.H.I", false},
        {"+.A.B.C.D.E.F.G.H.I.J", true},
        {"+--a.b.c", true},
        {"a.b.c.+", false},
        {"a.b.c.+.d.e.f", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture, 0);
        play(&fixture, rows[i].steps);
        CU_ASSERT_EQUAL(is_quarantined(&fixture, SUSPECT),
                        rows[i].quarantined);
        close_fixture(&fixture);
    }
}

/* Guards against suspects that are doubted by a single broken connection, or
 * still after an answer or long after the crash. */
static void
test_doubts(void)
{
    static const struct {
        const char *steps;
        bool doubted;
    } rows[] = {
        {"", false},    {"+", false},   {"A", false},    {"A.B", true},
        {"a", true},    {"a.+", false}, {"a.+.b", true}, {"+.a", true},
        {"a--", false}, {"Aa", true},   {"a-", true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture, 0);
        play(&fixture, rows[i].steps);
        CU_ASSERT_EQUAL(EbSuspects_AreDoubted(fixture.suspects, &suspect_set,
                                              fixture.now_us),
                        rows[i].doubted);
        close_fixture(&fixture);
    }
}

/* Guards against evidence of another daemon that is lost, counted twice, or
 * taken as newer than it is. */
static void
test_merge(void)
{
    Fixture fixture;
    open_fixture(&fixture, 0);
    play(&fixture, "a.b.");
    EbSuspicion other = {suspect_set, 99, false, 0};
    EbSuspects_Merge(fixture.suspects, &other, fixture.now_us);
    CU_ASSERT_TRUE(is_quarantined(&fixture, SUSPECT));
    close_fixture(&fixture);

    open_fixture(&fixture, 0);
    for (int i = 0; i < 5; i++) {
        EbSuspects_Merge(fixture.suspects, &other, fixture.now_us);
        fixture.now_us += SECOND_US / 5;
        other.ago_us += SECOND_US / 5;
    }
    EbSuspicion expired = {suspect_set, 98, false, EB_SUSPECT_MEMORY_US};
    EbSuspects_Merge(fixture.suspects, &expired, fixture.now_us);
    expired.ago_us = UINT64_MAX;
    EbSuspects_Merge(fixture.suspects, &expired, fixture.now_us);
    play(&fixture, "b");
    CU_ASSERT_FALSE(is_quarantined(&fixture, SUSPECT));
    EbSuspicion before_all = {suspect_set, 0, false, 20 * SECOND_US};
    EbSuspects_Merge(fixture.suspects, &before_all, fixture.now_us);
    play(&fixture, ".c");
    CU_ASSERT_FALSE(is_quarantined(&fixture, SUSPECT));
    play(&fixture, ".d.e.f");
    CU_ASSERT_TRUE(is_quarantined(&fixture, SUSPECT));
    close_fixture(&fixture);
}

/* Guards against sound requests that are refused since they carry a part that
 * came together with the one that crashes servers at every crash, and against
 * a part that is never found because of another one. */
static void
test_parts_that_come_together(void)
{
    const EbSuspectSet both = {{SUSPECT, 8}, 2};
    const EbSuspectSet first = {{SUSPECT, 9}, 2};
    const EbSuspectSet second = {{8, 9}, 2};
    Fixture fixture;
    open_fixture(&fixture, 0);
    for (int i = 0; i < 3; i++) {
        char server_id[] = {(char)('a' + i), '\0'};
        EbSuspects_RecordCrash(fixture.suspects, &both, server_id, false,
                               fixture.now_us, fixture.now_us);
        fixture.now_us += SECOND_US;
    }
    CU_ASSERT_TRUE(is_quarantined(&fixture, SUSPECT));
    CU_ASSERT_TRUE(is_quarantined(&fixture, 8));
    CU_ASSERT_TRUE(EbSuspects_Blocks(fixture.suspects, &both, fixture.now_us));
    CU_ASSERT_FALSE(
        EbSuspects_Blocks(fixture.suspects, &first, fixture.now_us));
    CU_ASSERT_FALSE(
        EbSuspects_Blocks(fixture.suspects, &second, fixture.now_us));
    /* A request with the second part only is answered, one with the first part
     * only crashes its server. */
    EbSuspects_RecordAnswer(fixture.suspects, 8, true, fixture.now_us);
    CU_ASSERT_FALSE(is_quarantined(&fixture, 8));
    EbSuspects_RecordCrash(fixture.suspects, &first, "d", false,
                           fixture.now_us, fixture.now_us);
    CU_ASSERT_TRUE(
        EbSuspects_Blocks(fixture.suspects, &first, fixture.now_us));
    CU_ASSERT_TRUE(EbSuspects_Blocks(fixture.suspects, &both, fixture.now_us));
    CU_ASSERT_FALSE(
        EbSuspects_Blocks(fixture.suspects, &second, fixture.now_us));
    close_fixture(&fixture);
}

/* Quarantines the suspect by three crashes that other daemons report. */
static void
quarantine_by_reports(Fixture *fixture, int64_t between_us)
{
    for (uint64_t server = 1; server <= 3; server++) {
        EbSuspicion crash = {suspect_set, server, false, 0};
        EbSuspects_Merge(fixture->suspects, &crash, fixture->now_us);
        fixture->now_us += between_us;
    }
    CU_ASSERT_TRUE(is_quarantined(fixture, SUSPECT));
}

/* Guards against a quarantine that daemons without the evidence never learn
 * of, since the daemon that saw the last crash had lost the earlier ones, and
 * against one that every daemon tells the others about. */
static void
test_quarantine_by_evidence_of_others(void)
{
    for (int told = 0; told <= 1; told++) {
        Fixture fixture;
        open_fixture(&fixture, 0);
        quarantine_by_reports(&fixture, SECOND_US);
        if (told) {
            EbQuarantineEntry entry = {SUSPECT, 3, EB_FINGERPRINT_QUARANTINED,
                                       EB_QUARANTINE_DURATION_US};
            EbQuarantine_Merge(fixture.quarantine, &entry, fixture.now_us);
        }
        EbQuarantineEntry change;
        bool tells = EbQuarantine_NextChange(fixture.quarantine, &change,
                                             fixture.now_us);
        CU_ASSERT_EQUAL(tells, !told);
        CU_ASSERT_EQUAL(EbQuarantine_NextTimer(fixture.quarantine), INT64_MAX);
        close_fixture(&fixture);
    }
}

/* Guards against sound requests that stay blocked since a daemon quarantined
 * one of their parts by evidence that an answer elsewhere has voided, and
 * against a release that every daemon tells the others about. */
static void
test_release_by_answer_of_others(void)
{
    for (int told = 0; told <= 1; told++) {
        Fixture fixture;
        open_fixture(&fixture, 0);
        quarantine_by_reports(&fixture, SECOND_US / 10);
        EbSuspicion answer = {suspect_set, 0, false, 1000};
        EbSuspects_Merge(fixture.suspects, &answer, fixture.now_us);
        CU_ASSERT_FALSE(is_quarantined(&fixture, SUSPECT));
        if (told) {
            EbQuarantineEntry entry = {SUSPECT, 0, EB_FINGERPRINT_CLEAR, 0};
            EbQuarantine_Merge(fixture.quarantine, &entry, fixture.now_us);
        }
        fixture.now_us += SECOND_US;
        EbQuarantineEntry change;
        bool tells = EbQuarantine_NextChange(fixture.quarantine, &change,
                                             fixture.now_us);
        CU_ASSERT_EQUAL(tells, !told);
        CU_ASSERT_TRUE(!tells || change.state == EB_FINGERPRINT_CLEAR);
        close_fixture(&fixture);
    }
}

/* Returns the report of another daemon on a call that broke alone. */
static EbSuspicion
report_of_other(const char *server_id, int64_t now_us)
{
    Fixture other;
    open_fixture(&other, 0);
    EbSuspects_RecordCrash(other.suspects, &suspect_set, server_id, true,
                           now_us, now_us);
    EbSuspicion report;
    CU_ASSERT_TRUE(EbSuspects_NextReport(other.suspects, &report, now_us));
    close_fixture(&other);
    return report;
}

/* Guards against crashes that count for half since each daemon had a single
 * call on the server, against broken connections that count as crashes since
 * others broke elsewhere or at another time, and against confirmations that
 * every daemon sends. */
static void
test_crashes_seen_by_several(void)
{
    static const struct {
        const char *own_server;
        int64_t own_before_us; /* the crash of which the other daemon tells */
        bool told;             /* by a third daemon */
        bool confirmed;
    } rows[] = {
        {"a", SECOND_US / 50, false, true},
        {"a", -SECOND_US / 50, false, true},
        {"a", SECOND_US / 50, true, false},
        {"b", SECOND_US / 50, false, false},
        {"a", SECOND_US / 5, false, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture, 0);
        int64_t crash_us = fixture.now_us;
        EbSuspicion report = report_of_other("a", crash_us);
        EbSuspects_Merge(fixture.suspects, &report, crash_us);
        /* The own call broke after its answer had begun. */
        EbSuspects_RecordCrash(
            fixture.suspects, &(EbSuspectSet){0}, rows[i].own_server, true,
            crash_us - rows[i].own_before_us, crash_us + SECOND_US / 25);
        if (rows[i].told) {
            report.alone = false;
            EbSuspects_Merge(fixture.suspects, &report, crash_us);
        }
        EbSuspicion sent;
        CU_ASSERT_FALSE(EbSuspects_NextReport(fixture.suspects, &sent,
                                              crash_us + SECOND_US / 25));
        CU_ASSERT_TRUE(EbSuspects_NextTimer(fixture.suspects) <
                       crash_us + SECOND_US / 5);
        int64_t later_us = crash_us + SECOND_US / 5;
        bool confirmed =
            EbSuspects_NextReport(fixture.suspects, &sent, later_us);
        CU_ASSERT_EQUAL(confirmed, rows[i].confirmed);
        if (confirmed) {
            CU_ASSERT_EQUAL(sent.server, report.server);
            CU_ASSERT_EQUAL(sent.set.fingerprints[0], SUSPECT);
            CU_ASSERT_FALSE(sent.alone);
            CU_ASSERT_EQUAL(sent.ago_us, SECOND_US / 5);
        }
        CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), INT64_MAX);
        close_fixture(&fixture);
    }
}

static unsigned
count_reports(Fixture *fixture, bool crashes)
{
    EbSuspicion suspicion;
    unsigned count = 0;
    while (EbSuspects_NextReport(fixture->suspects, &suspicion,
                                 fixture->now_us)) {
        CU_ASSERT_EQUAL(suspicion.set.count, 1);
        CU_ASSERT_EQUAL(suspicion.set.fingerprints[0], SUSPECT);
        CU_ASSERT_EQUAL(suspicion.server != 0, crashes);
        count++;
    }
    return count;
}

/* Guards against reports that are sent twice or never, and against answers of
 * undoubted suspects that are reported. */
static void
test_reports(void)
{
    Fixture fixture;
    open_fixture(&fixture, 0);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), INT64_MAX);
    play(&fixture, "+++.");
    CU_ASSERT_EQUAL(count_reports(&fixture, true), 0);
    play(&fixture, "a");
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), 0);
    CU_ASSERT_EQUAL(count_reports(&fixture, true), 1);
    CU_ASSERT_TRUE(EbSuspects_NextTimer(fixture.suspects) <
                   fixture.now_us + SECOND_US / 5);
    fixture.now_us += SECOND_US / 5;
    CU_ASSERT_EQUAL(count_reports(&fixture, false), 1);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), INT64_MAX);
    play(&fixture, "b");
    CU_ASSERT_EQUAL(count_reports(&fixture, true), 1);
    play(&fixture, ".");
    CU_ASSERT_EQUAL(count_reports(&fixture, false), 0);
    close_fixture(&fixture);
}

/* Guards against an answer that every daemon tells the others about. */
static void
test_answer_told_by_another(void)
{
    Fixture fixture;
    open_fixture(&fixture, 0);
    play(&fixture, "+.");
    EbSuspicion crash = {suspect_set, 5, false, 0};
    EbSuspicion answer = {suspect_set, 0, false, 1000};
    EbSuspects_Merge(fixture.suspects, &crash, fixture.now_us);
    EbSuspects_Merge(fixture.suspects, &answer, fixture.now_us);
    play(&fixture, ".");
    CU_ASSERT_EQUAL(count_reports(&fixture, false), 0);
    close_fixture(&fixture);
}

/* Returns how many of the daemons tell the others about an answer that all
 * know of, after a crash, if messages take 50 ms. */
static uint32_t
count_tellers(uint32_t daemon_count)
{
    Fixture *fixtures = g_new0(Fixture, daemon_count);
    int64_t crash_us = 0;
    EbSuspicion crash = {suspect_set, 5, false, 0};
    for (uint32_t i = 0; i < daemon_count; i++) {
        open_fixture(&fixtures[i], 0);
        EbRandom_Init(&fixtures[i].random, i);
        EbSuspects_SetDaemonCount(fixtures[i].suspects, daemon_count);
        play(&fixtures[i], "+.");
        crash_us = fixtures[i].now_us;
        EbSuspects_Merge(fixtures[i].suspects, &crash, crash_us);
    }
    uint32_t tellers = 0;
    int64_t heard_us = INT64_MAX;
    for (int64_t now_us = crash_us; now_us < heard_us; now_us += 1000) {
        for (uint32_t i = 0; i < daemon_count; i++) {
            EbSuspicion answer;
            if (EbSuspects_NextReport(fixtures[i].suspects, &answer, now_us)) {
                tellers++;
                heard_us = MIN(heard_us, now_us + SECOND_US / 20);
            }
        }
    }
    for (uint32_t i = 0; i < daemon_count; i++) {
        close_fixture(&fixtures[i]);
    }
    g_free(fixtures);
    return tellers;
}

/* Guards against reports whose number grows with that of the daemons, so that
 * a crash floods a large fleet. */
static void
test_few_tell(void)
{
    static const uint32_t daemon_counts[] = {10, 100, 300};
    for (size_t i = 0; i < G_N_ELEMENTS(daemon_counts); i++) {
        uint32_t tellers = count_tellers(daemon_counts[i]);
        CU_ASSERT_TRUE(tellers >= 1 && tellers <= 10);
    }
}

/* Guards against a table that grows without a bound, and against the use of an
 * entry that was evicted while its answer was to be reported. */
static void
test_eviction(void)
{
    Fixture fixture;
    open_fixture(&fixture, 4);
    for (EbFingerprint i = 1; i <= 1000; i++) {
        fixture.now_us += 1000;
        EbSuspects_RecordAnswer(fixture.suspects, i, true, fixture.now_us);
        EbSuspectSet set = {{i}, 1};
        EbSuspects_RecordCrash(fixture.suspects, &set, "a", false,
                               fixture.now_us + 1, fixture.now_us + 1);
    }
    fixture.now_us += SECOND_US;
    EbSuspicion suspicion;
    unsigned answers = 0;
    while (
        EbSuspects_NextReport(fixture.suspects, &suspicion, fixture.now_us)) {
        answers += suspicion.server == 0;
    }
    CU_ASSERT_EQUAL(answers, 4);
    close_fixture(&fixture);
}

/* The rules of the users' platform: at most three requests with such a part
 * after the fifth crash; sound requests with the same first part are served at
 * least half as often; at most 5 and 1 in 500 proper requests are refused. */
static void
check_fleet(const FleetOptions *options)
{
    FleetResult result = Fleet_Run(options);
    CU_ASSERT_TRUE(result.late_poison_sends <= 3);
    CU_ASSERT_TRUE(2 * result.related_late_refused <= result.related_late);
    if (options->poison_percent == 0) {
        CU_ASSERT_TRUE(result.sound_refused <= 5 + result.sound / 500);
    }
    if (print_fleets) {
        printf("seed %" PRIu64 ", daemons %u, poison %u%%, lost %u%%: "
               "%u crashes, %u late sends, %u of %u sound requests refused\n",
               options->seed, options->daemon_count, options->poison_percent,
               options->lost_percent, result.poison_crashes,
               result.late_poison_sends, result.sound_refused, result.sound);
    }
}

/* Guards against requests with a part that crashes servers which still reach
 * servers after the fifth crash, and against sound requests that are refused
 * with them: with a part that was sound before, beside joint crashes, lost
 * answers and a restarted daemon, in small and large fleets. */
static void
test_fleets(void)
{
    static const FleetOptions rows[] = {
        {.daemon_count = 8, .poison_percent = 5},
        {.daemon_count = 8, .poison_percent = 1},
        {.daemon_count = 8, .poison_percent = 20},
        {.daemon_count = 8, .poison_percent = 5, .poison_was_sound = true},
        {.daemon_count = 8, .poison_percent = 5, .companion = true},
        {.daemon_count = 100, .poison_percent = 2, .companion = true},
        {.daemon_count = 8,
         .poison_percent = 5,
         .joint_crash_us = 6 * SECOND_US,
         .lost_percent = 10,
         .lost_for_us = 30 * SECOND_US},
        {.daemon_count = 8,
         .poison_percent = 5,
         .restart_daemon_us = 4 * SECOND_US},
        {.daemon_count = 8,
         .poison_percent = 5,
         .restart_daemon_us = 10 * SECOND_US},
        {.daemon_count = 100,
         .poison_percent = 5,
         .lost_percent = 3,
         .lost_for_us = 30 * SECOND_US},
        {.daemon_count = 8, .joint_crash_us = 6 * SECOND_US},
        /* The deployments' days have up to 2.7 crashes a second of so many
         * servers, for 6 s, by servers that go down and up by turns. */
        {.daemon_count = 8, .crash_every_us = 375000},
        /* Two fifths of the answers of three fifths of the servers, the most
         * that the deployments' days have. */
        {.daemon_count = 8,
         .lost_percent = 24,
         .lost_from_us = 10 * SECOND_US,
         .lost_for_us = 6 * SECOND_US},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (uint64_t seed = 1; seed <= fleet_seeds; seed++) {
            FleetOptions options = rows[i];
            options.seed = seed;
            check_fleet(&options);
        }
    }
}

/* Guards against fleets that failed before:
 * - 797: most calls that broke in a crash were alone at their daemon, so the
 *   part was found only after ten crashes.
 * - 323: the last crash was seen by a daemon that had lost the earlier ones.
 * - 564, 656, 662, 993: an answer had voided the evidence on a part by which a
 *   daemon quarantined it, which the others were told nevertheless. */
static void
test_fleets_that_failed(void)
{
    static const FleetOptions rows[] = {
        {.seed = 797,
         .daemon_count = 8,
         .poison_percent = 5,
         .poison_was_sound = true},
        {.seed = 323,
         .daemon_count = 8,
         .poison_percent = 5,
         .restart_daemon_us = 4 * SECOND_US},
        {.seed = 564,
         .daemon_count = 8,
         .poison_percent = 5,
         .joint_crash_us = 6 * SECOND_US,
         .lost_percent = 10,
         .lost_for_us = 30 * SECOND_US},
        {.seed = 656, .daemon_count = 8, .poison_percent = 20},
        {.seed = 662, .daemon_count = 8, .poison_percent = 20},
        {.seed = 993,
         .daemon_count = 8,
         .poison_percent = 5,
         .restart_daemon_us = 4 * SECOND_US},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        check_fleet(&rows[i]);
    }
}

int
main(int argc, char **argv)
{
    static const EbTestCase cases[] = {
        {"evidence", test_evidence},
        {"doubts", test_doubts},
        {"evidence of other daemons", test_merge},
        {"parts that come together", test_parts_that_come_together},
        {"quarantine by evidence of others",
         test_quarantine_by_evidence_of_others},
        {"release by an answer of others", test_release_by_answer_of_others},
        {"crashes that several daemons saw", test_crashes_seen_by_several},
        {"reports", test_reports},
        {"answer told by another daemon", test_answer_told_by_another},
        {"few daemons tell the same", test_few_tell},
        {"eviction", test_eviction},
        {"fleets with a part that crashes servers", test_fleets},
        {"fleets that failed before", test_fleets_that_failed},
    };
    if (argc == 3 && strcmp(argv[1], "--seeds") == 0) {
        fleet_seeds = strtoull(argv[2], NULL, 10);
        print_fleets = true;
    }
    return EbTest_Run("test_suspects", cases, G_N_ELEMENTS(cases));
}
