/* Tests of EbDaemonLoad. */
#include <string.h>

#include <glib.h>

#include "ebonyhollow/daemon_load.h"
#include "test_runner.h"

#define MS INT64_C(1000)
#define TICK_US (100 * MS)
#define LATE_US ((int64_t)EB_DAEMON_LOAD_LATE_US)

/* 82 daemons: 6 of 500, 20 of 125 and 56 of 50 thousandths of a core. Each
 * service takes `SERVICE_LOAD` thousandths of its home. */
#define DAEMON_COUNT 82
#define LARGE_COUNT 6
#define MEDIUM_COUNT 20
#define SERVICE_LOAD 45

static const char *const services[] = {"print", "venue", "member", "press"};
#define SERVICE_COUNT G_N_ELEMENTS(services)

typedef struct {
    EbHomeCandidate candidates[DAEMON_COUNT]; /* what each daemon names */
    EbDaemonLoad loads[DAEMON_COUNT];
    uint32_t old;    /* 1: the daemons are of a version without EbDaemonLoad */
    double slowdown; /* of the daemon that is the first service's home */
    size_t homes[SERVICE_COUNT];
    uint32_t moves;
    int64_t now_us;
} Fleet;

static uint32_t
size_of(size_t i)
{
    return i < LARGE_COUNT ? 500 : i < LARGE_COUNT + MEDIUM_COUNT ? 125 : 50;
}

/* Runs the fleet while the daemons' own work grows from 0 to `work`
 * thousandths of a core, half to one and a half of it at each. One without
 * room is 100 ms late, one near its limit for a moment now and then. */
static void
run_fleet(Fleet *fleet, size_t slow, int64_t seconds, double work)
{
    int64_t ticks = seconds * 1000 * MS / TICK_US;
    for (int64_t tick = 0; tick < ticks; tick++, fleet->now_us += TICK_US) {
        for (size_t i = 0; i < DAEMON_COUNT; i++) {
            double used =
                work * (double)tick / (double)ticks *
                (0.5 + (double)(i * 37 % DAEMON_COUNT) / DAEMON_COUNT);
            for (size_t s = 0; s < SERVICE_COUNT; s++) {
                used += fleet->homes[s] == i ? SERVICE_LOAD : 0;
            }
            used *= (i == slow ? fleet->slowdown : 1) / size_of(i);
            bool blip = used > 0.8 && (tick + (int64_t)i) % 4 == 0;
            EbDaemonLoad_AddDelay(&fleet->loads[i],
                                  used > 1 ? 100 * MS
                                  : blip   ? 2 * LATE_US
                                           : MS,
                                  fleet->now_us);
            fleet->candidates[i].capacity =
                fleet->old
                    ? size_of(i)
                    : EbDaemonLoad_Capacity(&fleet->loads[i], size_of(i));
        }
        for (size_t s = 0; s < SERVICE_COUNT; s++) {
            const char *home = EbDaemonLoad_ChooseHome(
                fleet->candidates, DAEMON_COUNT, services[s]);
            size_t i = (size_t)g_ascii_strtoull(home, NULL, 10);
            fleet->moves += fleet->homes[s] != i;
            fleet->homes[s] = i;
        }
    }
}

/* Guards against homes on small daemons, a slow home that keeps its services
 * or gets them back each time that it looks calm, homes that move during a
 * wave of load or more than once from each large daemon when all are full, and
 * a change of the rule for daemons of an earlier version. */
static void
test_fleet(void)
{
    static char names[DAEMON_COUNT][4];
    static const struct {
        uint32_t old;
        double slowdown;
        int64_t seconds;
        double work;
        uint32_t repeats;
        uint32_t max_moves;
        bool leaves; /* the slow home has lost the first service */
    } rows[] = {
        {0, 1, 17, 42, 20, 0, false},
        {0, 1, 17, 140, 20, 0, false}, /* others than the large ones full */
        {0, 1, 80, 1600, 1, SERVICE_COUNT * LARGE_COUNT, false},
        {0, 30, 2, 10, 1, SERVICE_COUNT, true},
        {0, 30, 600, 10, 1, 12 * (uint32_t)SERVICE_COUNT, true},
        {1, 30, 600, 10, 1, 0, false},
    };
    for (size_t row = 0; row < G_N_ELEMENTS(rows); row++) {
        Fleet fleet = {.slowdown = rows[row].slowdown, .old = rows[row].old};
        for (size_t i = 0; i < DAEMON_COUNT; i++) {
            g_snprintf(names[i], sizeof(names[i]), "%u", (unsigned)i);
            fleet.candidates[i].instance = names[i];
        }
        run_fleet(&fleet, DAEMON_COUNT, 1, 0);
        size_t slow = fleet.homes[0];
        fleet.moves = 0;
        for (uint32_t i = 0; i < rows[row].repeats; i++) {
            run_fleet(&fleet, slow, rows[row].seconds, rows[row].work);
        }
        CU_ASSERT_TRUE(fleet.moves <= rows[row].max_moves);
        for (size_t s = 0; s < SERVICE_COUNT; s++) {
            CU_ASSERT_TRUE(fleet.homes[s] < LARGE_COUNT);
        }
        if (fleet.slowdown > 1) {
            CU_ASSERT_EQUAL(fleet.homes[0] != slow, rows[row].leaves);
        }
    }
}

/* Guards against more moves than the services of a lost home, and against
 * homes on the smallest daemons when all large ones are lost. */
static void
test_loss(void)
{
    EbHomeCandidate large[] = {{"a", 500}, {"b", 500}, {"c", 500},
                               {"d", 125}, {"e", 125}, {"f", 50}};
    const char *lost = EbDaemonLoad_ChooseHome(large, 6, services[0]);
    const char *kept[SERVICE_COUNT] = {NULL};
    for (size_t s = 0; s < SERVICE_COUNT; s++) {
        kept[s] = EbDaemonLoad_ChooseHome(large, 6, services[s]);
    }
    large[lost[0] - 'a'].capacity = 0;
    for (size_t s = 0; s < SERVICE_COUNT; s++) {
        const char *home = EbDaemonLoad_ChooseHome(large, 6, services[s]);
        CU_ASSERT_EQUAL(home != kept[s], kept[s] == lost);
        CU_ASSERT_EQUAL(large[home[0] - 'a'].capacity, 500);
        home = EbDaemonLoad_ChooseHome(&large[3], 3, services[s]);
        CU_ASSERT_NOT_EQUAL(home[0], 'f');
    }
    CU_ASSERT_PTR_NULL(EbDaemonLoad_ChooseHome(NULL, 0, services[0]));
}

/* Adds late delays and then `calm` delays in time. */
static EbDaemonLoadState
add_delays(EbDaemonLoad *load, int64_t *now_us, size_t late, int64_t calm)
{
    for (int64_t i = 0; i < (int64_t)late + calm; i++) {
        *now_us += TICK_US;
        EbDaemonLoad_AddDelay(load, i < (int64_t)late ? LATE_US : MS, *now_us);
    }
    return load->state;
}

/* Guards against a daemon that is full after one pause, never full because
 * some timers are in time, or calm too soon, and a hold that doesn't grow. */
static void
test_state(void)
{
    EbDaemonLoad load = {0};
    int64_t now_us = 0;
    int64_t hold = EB_DAEMON_LOAD_HOLD_US / TICK_US;
    EbDaemonLoad_AddDelay(&load, 3000 * MS, now_us);
    CU_ASSERT_EQUAL(add_delays(&load, &now_us, 0, 9), EB_DAEMON_LOAD_CALM);
    CU_ASSERT_EQUAL(add_delays(&load, &now_us, 3, 3), EB_DAEMON_LOAD_CALM);
    CU_ASSERT_EQUAL(add_delays(&load, &now_us, 1, 1), EB_DAEMON_LOAD_CALM);
    CU_ASSERT_EQUAL(add_delays(&load, &now_us, 1, 1), EB_DAEMON_LOAD_CALM);
    CU_ASSERT_EQUAL(add_delays(&load, &now_us, 1, 0), EB_DAEMON_LOAD_FULL);
    CU_ASSERT_EQUAL(EbDaemonLoad_Capacity(&load, 1), 1);
    for (int i = 0; i < 8; i++) {
        CU_ASSERT_EQUAL(add_delays(&load, &now_us, 1, hold - 1),
                        EB_DAEMON_LOAD_FULL);
        CU_ASSERT_EQUAL(add_delays(&load, &now_us, 0, 1), EB_DAEMON_LOAD_CALM);
        CU_ASSERT_EQUAL(add_delays(&load, &now_us, 4, 0), EB_DAEMON_LOAD_FULL);
        hold = MIN(2 * hold, EB_DAEMON_LOAD_MAX_HOLD_US / TICK_US);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"fleet", test_fleet}, {"loss", test_loss}, {"state", test_state}};
    return EbTest_Run("test_daemon_load", cases, G_N_ELEMENTS(cases));
}
