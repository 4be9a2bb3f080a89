/* Tests of the measured speed of servers. The last one plays engines of uneven
 * speed, slowed by neighbours, behind many daemons that share what they
 * measured. */
#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/pool.h"
#include "ebonyhollow/server_speed.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define MS INT64_C(1000)
#define SECOND_US INT64_C(1000000)

/* Neither a prompt that is read in between nor an event that is late, which
 * makes the time to the next ones short, may change the interval. */
static void
test_piece_intervals(void)
{
    static const int64_t gaps_ms[] = {0, 20, 20, 90, 20, 20, 20, 20, 20, 60,
                                      1, 1,  20, 20, 20, 20, 20, 20, 20, 20};
    EbPieceIntervals intervals = {0};
    int64_t now_us = SECOND_US;
    for (size_t i = 0; i < TABLE_COUNT(gaps_ms); i++) {
        CU_ASSERT_EQUAL(EbPieceIntervals_Result(&intervals) > 0,
                        i > EB_SERVER_SPEED_SPAN_EVENTS);
        now_us += gaps_ms[i] * MS;
        EbPieceIntervals_AddPiece(&intervals, now_us);
    }
    CU_ASSERT_DOUBLE_EQUAL(EbPieceIntervals_Result(&intervals), 20000, 1);
}

/* A neighbour's work slows a server for some hundred milliseconds: the usual
 * piece interval stays, the present one shows it and forgets it. */
static void
test_two_scales(void)
{
    EbServerSpeed speed = {0};
    for (int i = 0; i < 5; i++) {
        EbServerSpeed_Observe(&speed, 20000, i * SECOND_US);
    }
    int64_t now_us = 10 * SECOND_US;
    EbServerSpeed_Observe(&speed, 50000, now_us);
    CU_ASSERT_DOUBLE_EQUAL(speed.piece_interval_us, 20000, 1);
    CU_ASSERT_DOUBLE_EQUAL(EbServerSpeed_Slowdown(&speed, now_us), 2.5, 0.01);
    CU_ASSERT_TRUE(EbServerSpeed_Slowdown(&speed, now_us + SECOND_US) < 1.1);
    /* A server that stays slow gets a new usual interval. */
    for (int i = 0; i < 5; i++) {
        EbServerSpeed_Observe(&speed, 50000, now_us);
    }
    CU_ASSERT_TRUE(speed.piece_interval_us > 42000);
}

/* The server's own statement counts while it is fresh, and no longer. */
static void
test_stated_work(void)
{
    EbServerSpeed speed = {0};
    CU_ASSERT_EQUAL(EbServerSpeed_Slowdown(&speed, 0), 1);
    EbServerSpeed_RecordWork(&speed, 250, SECOND_US);
    CU_ASSERT_DOUBLE_EQUAL(
        EbServerSpeed_Slowdown(&speed, SECOND_US + 200 * MS), 2.5, 0.01);
    CU_ASSERT_EQUAL(EbServerSpeed_Slowdown(&speed, SECOND_US + 400 * MS), 1);
}

/* A report is sent once, and again only when the piece interval has changed:
 * at once when it is faster, and when several streams show that it is slower.
 */
static void
test_reports(void)
{
    EbServerSpeed first = {0};
    EbServerSpeed second = {0};
    EbSpeedReport report = {0};
    CU_ASSERT_FALSE(EbServerSpeed_TakeReport(&first, &report, 0));
    EbServerSpeed_Observe(&first, 20000, 0);
    CU_ASSERT_TRUE(EbServerSpeed_TakeReport(&first, &report, 250 * MS));
    CU_ASSERT_EQUAL(report.piece_interval_us, 20000);
    CU_ASSERT_EQUAL(report.ago_ms, 250);
    CU_ASSERT_FALSE(EbServerSpeed_TakeReport(&first, &report, 250 * MS));
    EbServerSpeed_Merge(&second, &report, 250 * MS);
    CU_ASSERT_TRUE(EbServerSpeed_TakeReport(&second, &report, SECOND_US));
    EbServerSpeed_Observe(&second, 21000, 2 * SECOND_US);
    CU_ASSERT_FALSE(EbServerSpeed_TakeReport(&second, &report, 2 * SECOND_US));
    EbServerSpeed_Observe(&second, 10000, 3 * SECOND_US);
    CU_ASSERT_TRUE(EbServerSpeed_TakeReport(&second, &report, 3 * SECOND_US));
    int64_t now_us = 5 * SECOND_US;
    for (int i = 0; i < 3; i++) {
        CU_ASSERT_FALSE(EbServerSpeed_TakeReport(&second, &report, now_us));
        EbServerSpeed_Observe(&second, 40000, now_us);
    }
    CU_ASSERT_TRUE(EbServerSpeed_TakeReport(&second, &report, now_us));
    /* One stream of another daemon doesn't make a server slow, three do. */
    report = (EbSpeedReport){.piece_interval_us = 50000, .streams = 1};
    EbServerSpeed_Merge(&first, &report, 6 * SECOND_US);
    CU_ASSERT_EQUAL(first.piece_interval_us, 20000);
    report.streams = 3;
    EbServerSpeed_Merge(&first, &report, 8 * SECOND_US);
    CU_ASSERT_TRUE(first.piece_interval_us > 40000);
}

/* Guards against news that goes round for ever, that replaces newer news, and
 * that is passed on without the age that it has by then. */
static void
test_news_passed_on(void)
{
    static const struct {
        int64_t now_s;
        EbSpeedReport report;
        bool passed_on;
        uint32_t ago_ms;
    } rows[] = {
        {10, {.piece_interval_us = 20000, .streams = 1}, true, 500},
        {11, {.piece_interval_us = 20000, .ago_ms = 900}, false, 0},
        {12, {.piece_interval_us = 90000, .ago_ms = 2500}, false, 0},
        {13, {.piece_interval_us = 21000, .streams = 1}, false, 0},
        {20,
         {.piece_interval_us = 60000, .streams = 3, .ago_ms = 4000},
         true,
         4500},
        {21,
         {.piece_interval_us = 20000, .streams = 1, .ago_ms = 5500},
         false,
         0},
        /* Those of the version without ages count as measured just now. */
        {23, {.piece_interval_us = 20000}, true, 500},
        {200,
         {.piece_interval_us = 90000, .streams = 9, .ago_ms = 60001},
         false,
         0},
        {200,
         {.piece_interval_us = 90000, .streams = 9, .ago_ms = 59000},
         true,
         59500},
        {300,
         {.piece_interval_us = 9000, .streams = 9, .ago_ms = 59800},
         false,
         0},
    };
    EbServerSpeed speed = {0};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        int64_t now_us = rows[i].now_s * SECOND_US;
        EbSpeedReport report = {0};
        EbServerSpeed_Merge(&speed, &rows[i].report, now_us);
        now_us += 500 * MS;
        CU_ASSERT_EQUAL(EbServerSpeed_TakeReport(&speed, &report, now_us),
                        rows[i].passed_on);
        if (rows[i].passed_on) {
            CU_ASSERT_EQUAL(report.piece_interval_us,
                            rows[i].report.piece_interval_us);
            CU_ASSERT_EQUAL(report.ago_ms, rows[i].ago_ms);
        }
        CU_ASSERT_FALSE(EbServerSpeed_TakeReport(&speed, &report, now_us));
    }
}

/* Daemons whose measurements differ a little must choose alike: the cost stays
 * until the piece interval is a whole step away from it. */
static void
test_cost_steps(void)
{
    static const struct {
        double piece_interval_us;
        double cost;
    } rows[] = {{20000, 1},        {15400, 1},       {28000, 1},
                {14000, 1},        {8235, 1 / 2.25}, {6500, 1 / 2.25},
                {12000, 1 / 2.25}, {14000, 1 / 1.5}, {17000, 1 / 1.5},
                {2000000, 3.375},  {10, 1 / 3.375}};
    EbServerSpeed speed = {.samples = 1};
    EbServerSpeed_UpdateCost(&speed, 0);
    CU_ASSERT_EQUAL(EbServerSpeed_UsualCost(&speed), 1);
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        speed.piece_interval_us = rows[i].piece_interval_us;
        EbServerSpeed_UpdateCost(&speed, 20000);
        CU_ASSERT_DOUBLE_EQUAL(EbServerSpeed_UsualCost(&speed), rows[i].cost,
                               0.001);
    }
}

#define SERVERS 90
#define DAEMONS 82
#define STREAMS_PER_CLUMP 3
#define CLUMP_INTERVAL_US (11 * MS) /* 270 streams a second */
#define DAY_US (30 * SECOND_US)
#define WARM_UP_US (8 * SECOND_US)
#define NOISE_INTERVAL_US (600 * MS)
#define EVENT_US (25 * MS)     /* at speed 1 */
#define MEAN_READ_US (80 * MS) /* of a prompt at speed 1 */
#define PROMPTS 2000
/* Each daemon reports once in REPORT_PHASES intervals, to a few others. */
#define REPORT_INTERVAL_US (500 * MS)
#define REPORT_PHASES 2

typedef struct {
    char ids[SERVERS][8];
    EbConfigBackendServer servers[SERVERS];
    uint32_t indexes[SERVERS];
    EbConfigPool config_pool;
    EbConfig config;
    EbPool *pools[DAEMONS];
    EbRandom random;
    double slowdown[SERVERS];
    int64_t free_us[SERVERS]; /* when the prompts so far have been read */
    GQueue ends;              /* of End, by time */
} Fleet;

typedef struct {
    int64_t end_us;
    uint32_t daemon;
    uint32_t server;
    double piece_interval_us;
    int64_t first_us;
    int64_t expected_us; /* usual time to the first event of such a prompt */
} End;

typedef struct {
    uint64_t calls;
    uint64_t fast_calls; /* at the third of the servers that is fast */
    uint64_t late;       /* first event after 250 ms */
    double mean_first_us;
    uint64_t received; /* reports */
} Outcome;

static double
speed_of(uint32_t server)
{
    return server % 3 == 2 ? 1.7 : 0.7;
}

static void
open_fleet(Fleet *fleet)
{
    memset(fleet, 0, sizeof(*fleet));
    EbRandom_Init(&fleet->random, 4);
    for (uint32_t i = 0; i < SERVERS; i++) {
        snprintf(fleet->ids[i], sizeof(fleet->ids[i]), "s%u", i);
        fleet->indexes[i] = i;
        fleet->servers[i] = (EbConfigBackendServer){
            .id = fleet->ids[i], .failure_domain = "d", .capacity = 32};
    }
    fleet->config_pool = (EbConfigPool){.name = "engines",
                                        .server_indexes = fleet->indexes,
                                        .server_count = SERVERS,
                                        .service_estimate_us = 100000};
    fleet->config = (EbConfig){.pools = &fleet->config_pool,
                               .pool_count = 1,
                               .servers = fleet->servers,
                               .server_count = SERVERS};
    for (uint32_t i = 0; i < DAEMONS; i++) {
        char name[16];
        snprintf(name, sizeof(name), "i%u", i);
        fleet->pools[i] =
            EbPool_New(&(EbPoolOptions){.config = &fleet->config,
                                        .instance = name,
                                        .failure_domain = "d",
                                        .measure_speeds = true,
                                        .random = &fleet->random},
                       NULL);
    }
}

static uint32_t
index_of(const EbConfigBackendServer *server)
{
    unsigned index = 0;
    assert(server != NULL);
    CU_ASSERT_EQUAL(sscanf(server->id, "s%u", &index), 1);
    return index;
}

static gint
compare_ends(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const End *a = left, *b = right;
    return (a->end_us > b->end_us) - (a->end_us < b->end_us);
}

static void
begin_stream(Fleet *fleet, Outcome *outcome, int64_t now_us)
{
    uint32_t daemon = (uint32_t)EbRandom_Below(&fleet->random, DAEMONS);
    uint64_t prompt = 1 + EbRandom_Below(&fleet->random, PROMPTS);
    EbPool *pool = fleet->pools[daemon];
    const EbConfigBackendServer *affine =
        EbPool_ChooseAffine(pool, &(EbPoolCriteria){0}, prompt, now_us);
    const EbConfigBackendServer *chosen = EbPool_BeginCall(
        pool,
        &(EbPoolCriteria){.preferred = affine != NULL ? affine->id : NULL},
        now_us);
    CU_ASSERT_PTR_NOT_NULL_FATAL(chosen);
    if (chosen == NULL) {
        return;
    }
    uint32_t server = index_of(chosen);
    double cost = fleet->slowdown[server] / speed_of(server);
    /* One prompt in twenty is ten times as long as the others. */
    double length = EbRandom_Below(&fleet->random, 20) == 0 ? 6.9 : 0.69;
    int64_t read_us = (int64_t)(MEAN_READ_US * length * cost);
    fleet->free_us[server] = MAX(fleet->free_us[server], now_us) + read_us;
    End *end = g_new(End, 1);
    *end = (End){.daemon = daemon,
                 .server = server,
                 .piece_interval_us = EVENT_US * cost,
                 .first_us = fleet->free_us[server] - now_us,
                 .expected_us = (int64_t)(MEAN_READ_US * (1 + length))};
    end->end_us =
        fleet->free_us[server] + (int64_t)(12 * end->piece_interval_us);
    g_queue_insert_sorted(&fleet->ends, end, compare_ends, NULL);
    if (now_us >= WARM_UP_US) {
        outcome->calls++;
        outcome->fast_calls += speed_of(server) > 1;
        outcome->late += end->first_us > 250 * MS;
        outcome->mean_first_us += (double)end->first_us;
    }
}

static void
end_streams(Fleet *fleet, bool measured, int64_t now_us)
{
    End *end;
    while ((end = g_queue_peek_head(&fleet->ends)) != NULL &&
           end->end_us <= now_us) {
        g_queue_pop_head(&fleet->ends);
        const char *id = fleet->ids[end->server];
        EbPool *pool = fleet->pools[end->daemon];
        EbPool_EndCallOfKind(pool, id, EB_CALL_OK, end->first_us,
                             end->expected_us, now_us);
        if (measured) {
            EbPool_RecordPieceInterval(pool, id, end->piece_interval_us,
                                       now_us);
        }
        g_free(end);
    }
}

static void
share_reports(Fleet *fleet, Outcome *outcome, int64_t now_us)
{
    for (uint32_t i = 0; i < DAEMONS; i++) {
        EbSpeedReport reports[EB_SPEED_REPORTS_MAX];
        uint32_t count = 0;
        if (i % REPORT_PHASES ==
            (uint32_t)(now_us / REPORT_INTERVAL_US) % REPORT_PHASES) {
            count = EbPool_TakeSpeedReports(fleet->pools[i], reports,
                                            EB_SPEED_REPORTS_MAX, now_us);
        }
        for (uint32_t link = 0; link < EB_SPEED_REPORT_LINKS; link++) {
            EbPool *receiver =
                fleet->pools[EbRandom_Below(&fleet->random, DAEMONS)];
            for (uint32_t k = 0; k < count; k++) {
                outcome->received++;
                EbPool_MergeSpeed(receiver, &reports[k], now_us);
            }
        }
        EbPool_Tick(fleet->pools[i], now_us);
    }
}

/* Returns the share of prompts for which two daemons choose the same server.
 */
static double
agreement(Fleet *fleet, int64_t now_us)
{
    uint32_t same = 0;
    for (uint64_t prompt = 1; prompt <= PROMPTS; prompt++) {
        same += EbPool_ChooseAffine(fleet->pools[3], &(EbPoolCriteria){0},
                                    prompt, now_us) ==
                EbPool_ChooseAffine(fleet->pools[70], &(EbPoolCriteria){0},
                                    prompt, now_us);
    }
    return (double)same / PROMPTS;
}

static void
play(bool measured, Outcome *outcome, double *agreed)
{
    Fleet *fleet = g_new(Fleet, 1);
    open_fleet(fleet);
    *outcome = (Outcome){0};
    for (int64_t now_us = 0; now_us < DAY_US; now_us += MS) {
        if (now_us % NOISE_INTERVAL_US == 0) {
            for (uint32_t i = 0; i < SERVERS; i++) {
                bool noise = EbRandom_Below(&fleet->random, 100) < 15;
                fleet->slowdown[i] = noise ? 2.5 : 1;
            }
        }
        end_streams(fleet, measured, now_us);
        if (now_us % CLUMP_INTERVAL_US == 0) {
            for (int i = 0; i < STREAMS_PER_CLUMP; i++) {
                begin_stream(fleet, outcome, now_us);
            }
        }
        if (now_us % REPORT_INTERVAL_US == 0) {
            share_reports(fleet, outcome, now_us);
        }
    }
    outcome->mean_first_us /= (double)outcome->calls;
    *agreed = agreement(fleet, DAY_US);
    g_queue_clear_full(&fleet->ends, g_free);
    for (uint32_t i = 0; i < DAEMONS; i++) {
        EbPool_Free(fleet->pools[i]);
    }
    g_free(fleet);
}

/* Bounds, from what callers need: with the measured speeds at least a third
 * fewer first events are late, the daemons agree on the server of a prompt
 * nearly as often as without, and of each server a daemon tells a few others
 * at most twice: its first interval, of which one in seven is slowed by
 * neighbours, and the correction. */
static void
test_uneven_engines(void)
{
    Outcome before, after;
    double agreed_before, agreed;
    play(false, &before, &agreed_before);
    play(true, &after, &agreed);
    double late_before = (double)before.late / (double)before.calls;
    double late = (double)after.late / (double)after.calls;
    double fast = (double)after.fast_calls / (double)after.calls;
    printf("  late %.3f, before %.3f; first event %.0f ms, before %.0f ms; "
           "on fast servers %.2f; agreed %.2f, before %.2f; %u reports "
           "received\n",
           late, late_before, after.mean_first_us / 1000,
           before.mean_first_us / 1000, fast, agreed, agreed_before,
           (unsigned)after.received);
    CU_ASSERT_TRUE(late < late_before * 2 / 3);
    CU_ASSERT_TRUE(after.mean_first_us < before.mean_first_us);
    CU_ASSERT_TRUE(fast > 0.6);
    CU_ASSERT_TRUE(agreed > agreed_before - 0.05);
    CU_ASSERT_TRUE(after.received <
                   (uint64_t)SERVERS * DAEMONS * 2 * EB_SPEED_REPORT_LINKS);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"piece intervals", test_piece_intervals},
        {"two scales", test_two_scales},
        {"stated work", test_stated_work},
        {"reports", test_reports},
        {"news passed on", test_news_passed_on},
        {"cost steps", test_cost_steps},
        {"uneven engines", test_uneven_engines},
    };
    return EbTest_Run("test_server_speed", cases, TABLE_COUNT(cases));
}
