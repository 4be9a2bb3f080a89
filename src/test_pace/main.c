/* Tests of EbPace: the bound for cold servers, and the learned pace. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/answer_times.h"
#include "ebonyhollow/pace.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)
#define MS_US INT64_C(1000)
#define SERVER "s-1"
#define DOMAIN "d-1"
#define MAX_DAEMONS 300
#define OVERRUN 1.5
#define MARGIN 5
#define CRASH_FACTOR                                                          \
    3 /* a cold server crashes at this many times its rate                    \
       */

static char server_id[] = SERVER;
static char domain[] = DOMAIN;
static char pool_name[] = "pool";

/* A configuration of one server. */
typedef struct {
    EbConfigPool pool;
    EbConfigBackendServer server;
    EbConfig config;
    uint32_t index;
} OneServer;

static void
set_one_server(OneServer *one, double cold_per_s, uint32_t capacity)
{
    memset(one, 0, sizeof(*one));
    one->pool = (EbConfigPool){.name = pool_name,
                               .server_indexes = &one->index,
                               .server_count = 1,
                               .cold_us = 3 * SECOND_US,
                               .cold_requests_per_s = cold_per_s};
    one->server = (EbConfigBackendServer){.id = server_id,
                                          .failure_domain = domain,
                                          .capacity = capacity,
                                          .incarnation = 1};
    one->config = (EbConfig){.pools = &one->pool,
                             .pool_count = 1,
                             .servers = &one->server,
                             .server_count = 1};
}

/* A fleet of daemons that send to one server, on a virtual clock. */

typedef enum {
    TROUBLE_NONE,
    TROUBLE_PARTITION, /* half of the daemons lose the other half */
    TROUBLE_KILLED,    /* a quarter dies; the others notice after a while */
    TROUBLE_FROZEN,    /* a quarter stands still and wakes with old state */
    TROUBLE_OLD_VIEW,  /* a tenth joins; the others learn of it later */
    TROUBLE_LONE_START /* a daemon starts that reaches no other one */
} Trouble;

typedef struct {
    uint32_t daemons;
    double cold_per_s;
    double requests_per_s; /* of each daemon, all for this server */
    Trouble trouble;
} FleetRow;

typedef struct {
    EbPace *pace;
    bool running;
    bool frozen;
    int64_t view_due_us; /* when it learns who the others are; 0: known */
} Daemon;

typedef struct {
    const FleetRow *row;
    OneServer one;
    EbRandom random;
    Daemon daemons[MAX_DAEMONS];
    char names[MAX_DAEMONS][16];
    GQueue calls; /* times of the calls of the last second */
    uint32_t worst_calls;
    uint32_t sent;
    bool divided;
    int64_t now_us;
} Fleet;

static bool
sees(const Fleet *fleet, uint32_t observer, uint32_t other)
{
    return fleet->daemons[other].running &&
           !(fleet->divided && observer % 2 != other % 2);
}

/* Tells a daemon who the others are; those that it doesn't see are lost. */
static void
update_view(Fleet *fleet, uint32_t index)
{
    const char *live[MAX_DAEMONS];
    const char *lost[MAX_DAEMONS];
    size_t live_count = 0;
    size_t lost_count = 0;
    uint32_t started =
        fleet->row->trouble == TROUBLE_OLD_VIEW ? fleet->row->daemons / 10 : 0;
    for (uint32_t i = 0; i < fleet->row->daemons; i++) {
        if (i == index || sees(fleet, index, i)) {
            live[live_count++] = fleet->names[i];
        }
        else if (i >= started) {
            lost[lost_count++] = fleet->names[i];
        }
    }
    EbPace_SetMembers(fleet->daemons[index].pace, live, live_count, lost,
                      lost_count, fleet->now_us);
    fleet->daemons[index].view_due_us = 0;
}

static void
start_daemon(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    daemon->pace =
        EbPace_New(&(EbPaceOptions){.instance = fleet->names[index],
                                    .cold_overrun = OVERRUN,
                                    .cold_margin = MARGIN,
                                    .min_members = MIN(4, fleet->row->daemons),
                                    .started_us = fleet->now_us});
    daemon->running = true;
    EbPace_SetConfig(daemon->pace, &fleet->one.config, fleet->now_us);
}

static void
open_fleet(Fleet *fleet, const FleetRow *row, uint64_t seed)
{
    memset(fleet, 0, sizeof(*fleet));
    fleet->row = row;
    set_one_server(&fleet->one, row->cold_per_s, 16);
    EbRandom_Init(&fleet->random, seed);
    uint32_t late = row->trouble == TROUBLE_OLD_VIEW ? row->daemons / 10 : 0;
    uint32_t count = row->daemons;
    for (uint32_t i = 0; i < count; i++) {
        snprintf(fleet->names[i], sizeof(fleet->names[i]), "i-%u", i);
    }
    if (row->trouble == TROUBLE_LONE_START) {
        late = 1;
    }
    for (uint32_t i = late; i < count; i++) {
        start_daemon(fleet, i);
    }
    fleet->now_us = 100 * SECOND_US;
    for (uint32_t i = late; i < count; i++) {
        update_view(fleet, i);
    }
}

static void
close_fleet(Fleet *fleet)
{
    for (uint32_t i = 0; i < fleet->row->daemons; i++) {
        EbPace_Free(fleet->daemons[i].pace);
    }
    g_queue_clear(&fleet->calls);
}

static void
begin_trouble(Fleet *fleet)
{
    uint32_t count = fleet->row->daemons;
    switch (fleet->row->trouble) {
    case TROUBLE_PARTITION:
        fleet->divided = true;
        break;
    case TROUBLE_KILLED:
        for (uint32_t i = 0; i < count / 4; i++) {
            fleet->daemons[i].running = false;
        }
        break;
    case TROUBLE_FROZEN:
        for (uint32_t i = 0; i < count / 4; i++) {
            fleet->daemons[i].frozen = true;
        }
        break;
    case TROUBLE_OLD_VIEW:
        for (uint32_t i = 0; i < count / 10; i++) {
            start_daemon(fleet, i);
            update_view(fleet, i);
        }
        break;
    case TROUBLE_LONE_START:
        start_daemon(fleet, 0);
        break;
    case TROUBLE_NONE:
        break;
    }
    for (uint32_t i = 0; i < count; i++) {
        bool joined = i < count / 10;
        if (fleet->row->trouble != TROUBLE_LONE_START &&
            !(fleet->row->trouble == TROUBLE_OLD_VIEW && joined)) {
            fleet->daemons[i].view_due_us =
                fleet->now_us +
                (int64_t)EbRandom_Below(&fleet->random, 8 * SECOND_US);
        }
    }
}

static void
count_call(Fleet *fleet)
{
    fleet->sent++;
    g_queue_push_tail(&fleet->calls, GSIZE_TO_POINTER(fleet->now_us));
    while ((int64_t)GPOINTER_TO_SIZE(g_queue_peek_head(&fleet->calls)) <=
           fleet->now_us - SECOND_US) {
        g_queue_pop_head(&fleet->calls);
    }
    fleet->worst_calls = MAX(fleet->worst_calls, fleet->calls.length);
}

static void
send_calls(Fleet *fleet, Daemon *daemon, int64_t step_us)
{
    double wanted =
        fleet->row->requests_per_s * (double)step_us / (double)SECOND_US;
    double drawn = (double)EbRandom_Below(&fleet->random, 1000000) / 1e6;
    if (drawn < wanted &&
        EbPace_NextAdmission(daemon->pace, SERVER, fleet->now_us) <=
            fleet->now_us) {
        EbPace_RecordCall(daemon->pace, SERVER, fleet->now_us);
        count_call(fleet);
    }
}

/* Plays 20 s in which the server is cold, with trouble after 5 s. */
static void
play_fleet(Fleet *fleet)
{
    const int64_t step_us = 10 * MS_US;
    int64_t begin_us = fleet->now_us;
    for (; fleet->now_us < begin_us + 20 * SECOND_US;
         fleet->now_us += step_us) {
        int64_t age_us = fleet->now_us - begin_us;
        if (age_us == 5 * SECOND_US) {
            begin_trouble(fleet);
        }
        for (uint32_t i = 0; i < fleet->row->daemons; i++) {
            Daemon *daemon = &fleet->daemons[i];
            if (!daemon->running) {
                continue;
            }
            if (daemon->frozen && age_us < 12 * SECOND_US) {
                continue;
            }
            if (daemon->view_due_us > 0 &&
                daemon->view_due_us <= fleet->now_us) {
                update_view(fleet, i);
            }
            if (age_us % SECOND_US == 0) {
                EbPace_RecordEntry(daemon->pace, SERVER, 1, 3 * SECOND_US,
                                   fleet->now_us);
            }
            send_calls(fleet, daemon, step_us);
        }
    }
}

/* Guards against more calls to a cold server than the bound allows in any
 * second, with demand far above it, and against a bound that is kept by using
 * little of it. A server that crashes above its rate stays up. */
static void
test_bound(void)
{
    static const FleetRow rows[] = {
        {66, 15, 5, TROUBLE_NONE},        {66, 15, 5, TROUBLE_PARTITION},
        {66, 15, 5, TROUBLE_KILLED},      {66, 15, 5, TROUBLE_FROZEN},
        {66, 15, 5, TROUBLE_OLD_VIEW},    {66, 15, 5, TROUBLE_LONE_START},
        {300, 15, 5, TROUBLE_NONE},       {300, 15, 5, TROUBLE_PARTITION},
        {300, 15, 5, TROUBLE_KILLED},     {300, 15, 5, TROUBLE_FROZEN},
        {300, 15, 5, TROUBLE_LONE_START}, {3, 15, 50, TROUBLE_NONE},
        {14, 15, 50, TROUBLE_PARTITION},  {1, 15, 50, TROUBLE_NONE},
        {66, 200, 20, TROUBLE_PARTITION}, {66, 1, 5, TROUBLE_PARTITION},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (uint64_t seed = 1; seed <= 3; seed++) {
            static Fleet fleet;
            open_fleet(&fleet, &rows[i], seed);
            play_fleet(&fleet);
            double bound = rows[i].cold_per_s * OVERRUN + MARGIN;
            double used = fleet.sent / 20.0 / rows[i].cold_per_s;
            printf("  %u daemons, %g a second, trouble %d: worst second %u "
                   "of %g, %.0f%% used\n",
                   rows[i].daemons, rows[i].cold_per_s, (int)rows[i].trouble,
                   fleet.worst_calls, bound, 100 * used);
            CU_ASSERT_TRUE(fleet.worst_calls <= bound);
            CU_ASSERT_TRUE(fleet.worst_calls <=
                           CRASH_FACTOR * rows[i].cold_per_s + MARGIN);
            CU_ASSERT_TRUE(used >= 0.5);
            close_fleet(&fleet);
        }
    }
}

typedef struct {
    OneServer one;
    EbPace *pace;
} Fixture;

static void
open_fixture(Fixture *fixture, double cold_per_s, uint32_t capacity)
{
    set_one_server(&fixture->one, cold_per_s, capacity);
    fixture->pace = EbPace_New(&(EbPaceOptions){
        .instance = "i-1", .cold_overrun = OVERRUN, .cold_margin = MARGIN});
    EbPace_RecordEntry(fixture->pace, SERVER, 1, 0, 0);
    EbPace_SetConfig(fixture->pace, &fixture->one.config, 0);
}

static int64_t
cold_left(const Fixture *fixture, int64_t now_us)
{
    EbPaceView view;
    EbPace_View(fixture->pace, SERVER, &view, now_us);
    return view.cold_left_us;
}

/* Guards against a cold server that a daemon takes for warm, and against one
 * that stays bounded although its entry says that it is warm. */
static void
test_coldness(void)
{
    Fixture fixture;
    open_fixture(&fixture, 15, 16);
    EbPace *pace = fixture.pace;
    CU_ASSERT_EQUAL(cold_left(&fixture, SECOND_US), 0);
    /* It becomes cold without a start. */
    EbPace_RecordEntry(pace, SERVER, 1, 2 * SECOND_US, 10 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 11 * SECOND_US), SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 12 * SECOND_US), 0);
    /* A start whose entry doesn't say counts as cold for the pool's time. */
    EbPace_RecordEntry(pace, SERVER, 2, -1, 20 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 21 * SECOND_US), 2 * SECOND_US);
    /* A clock that stepped back is another start as well. */
    EbPace_RecordEntry(pace, SERVER, 1, 3 * SECOND_US, 30 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 31 * SECOND_US), 2 * SECOND_US);
    /* After an evacuation and after a refused connection only a later entry
     * tells. */
    EbPace_DomainReturned(pace, "d-2", 40 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 40 * SECOND_US), 0);
    EbPace_DomainReturned(pace, DOMAIN, 50 * SECOND_US);
    EbPace_RecordEntry(pace, SERVER, 1, 0, 50 * SECOND_US + 1);
    CU_ASSERT_TRUE(cold_left(&fixture, 51 * SECOND_US) > 0);
    EbPace_RecordEntry(pace, SERVER, 1, 0, 51 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 51 * SECOND_US), 0);
    EbPace_RecordResult(pace, SERVER, &(EbPaceCall){.result = EB_PACE_REFUSED},
                        60 * SECOND_US);
    CU_ASSERT_TRUE(cold_left(&fixture, 61 * SECOND_US) > 0);
    EbPace_RecordEntry(pace, SERVER, 1, SECOND_US, 62 * SECOND_US);
    CU_ASSERT_EQUAL(cold_left(&fixture, 62 * SECOND_US), SECOND_US);
    EbPace_Free(pace);
}

/* Guards against a bound in pools that name no rate. */
static void
test_no_rate(void)
{
    Fixture fixture;
    open_fixture(&fixture, 0, 16);
    EbPace_RecordEntry(fixture.pace, SERVER, 2, 3 * SECOND_US, SECOND_US);
    EbPace_RecordResult(fixture.pace, SERVER,
                        &(EbPaceCall){.result = EB_PACE_REFUSED}, SECOND_US);
    for (int i = 0; i < 100; i++) {
        EbPace_RecordCall(fixture.pace, SERVER, SECOND_US);
    }
    CU_ASSERT_EQUAL(EbPace_NextAdmission(fixture.pace, SERVER, SECOND_US),
                    SECOND_US);
    EbPace_Free(fixture.pace);
}

/* Ends calls in `time` ms at `now_us`, all of which began at `started_us`. */
static void
end_calls(EbPace *pace, int count, EbPaceResult result, double time,
          int64_t started_us, int64_t now_us)
{
    for (int i = 0; i < count; i++) {
        EbPace_RecordResult(pace, SERVER,
                            &(EbPaceCall){result, time, started_us}, now_us);
    }
}

/* Guards against a pace that doesn't follow the answers. */
static void
test_learned_pace(void)
{
    Fixture fixture;
    open_fixture(&fixture, 0, 16);
    EbPace *pace = fixture.pace;
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, SECOND_US), 16);
    end_calls(pace, 20, EB_PACE_ANSWERED, 100, 0, SECOND_US);
    EbPace_RecordEntry(pace, SERVER, 2, -1, SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, SECOND_US), 4);
    end_calls(pace, 1, EB_PACE_ANSWERED, 100, SECOND_US, SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, SECOND_US), 5);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 3, SECOND_US), 3);
    /* One slow answer doesn't lower it, three do so once: the others began
     * before. From then on it grows by one in a round trip. */
    end_calls(pace, 1, EB_PACE_ANSWERED, 1000, SECOND_US, 2 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, SECOND_US), 6);
    end_calls(pace, 9, EB_PACE_ANSWERED, 1000, SECOND_US, 2 * SECOND_US);
    double slots = EbPace_Slots(pace, SERVER, 16, 2 * SECOND_US);
    CU_ASSERT_TRUE(slots >= 3 && slots <= 4);
    end_calls(pace, 1, EB_PACE_ANSWERED, 100, 2 * SECOND_US, 2 * SECOND_US);
    double raised = EbPace_Slots(pace, SERVER, 16, 2 * SECOND_US);
    CU_ASSERT_TRUE(raised > slots && raised < slots + 0.5);
    /* It ends with usual answers, once it has its part of the capacity. */
    end_calls(pace, 7, EB_PACE_ANSWERED, 100, 2 * SECOND_US, 2 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 1);
    end_calls(pace, 10, EB_PACE_ANSWERED, 100, 2 * SECOND_US, 2 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 0);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, 2 * SECOND_US), 16);
    /* A server that is slow stays on pace; it ends when it was not found slow
     * for a while. */
    EbPace_Readmitted(pace, SERVER, 10 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, 10 * SECOND_US), 1);
    end_calls(pace, 4, EB_PACE_GIVEN_UP, 500, 10 * SECOND_US, 13 * SECOND_US);
    EbPace_Slots(pace, SERVER, 16, 16 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 1);
    EbPace_Slots(pace, SERVER, 16, 17 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 0);
    /* A daemon with few calls doesn't wait long for a second opinion. */
    EbPace_Readmitted(pace, SERVER, 18 * SECOND_US);
    end_calls(pace, 1, EB_PACE_ANSWERED, 1000, 18 * SECOND_US, 19 * SECOND_US);
    EbPace_Slots(pace, SERVER, 16, 22 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 1);
    EbPace_Slots(pace, SERVER, 16, 23 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Count(pace), 0);
    /* A refused connection begins again with one call. */
    EbPace_RecordEntry(pace, SERVER, 3, -1, 30 * SECOND_US);
    end_calls(pace, 1, EB_PACE_REFUSED, 0, 30 * SECOND_US, 30 * SECOND_US);
    CU_ASSERT_EQUAL(EbPace_Slots(pace, SERVER, 16, 30 * SECOND_US), 1);
    EbPace_Free(pace);
}

/* Guards against a fleet whose daemons all begin with a call at once, and
 * against a sound server that some of them still leave out after 4 s. */
static void
test_turns(void)
{
    static const struct {
        uint32_t daemons, capacity, max_first;
    } rows[] = {{66, 16, 8}, {300, 16, 8}, {300, 128, 48}, {66, 1, 4}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        static Fleet fleet;
        FleetRow row = {.daemons = rows[i].daemons};
        open_fleet(&fleet, &row, 1);
        fleet.one.server.capacity = rows[i].capacity;
        int64_t begin_us = fleet.now_us;
        uint32_t first = 0;
        uint32_t after = 0;
        for (uint32_t k = 0; k < row.daemons; k++) {
            EbPace *pace = fleet.daemons[k].pace;
            EbPace_SetConfig(pace, &fleet.one.config, begin_us);
            EbPace_RecordEntry(pace, SERVER, 2, -1, begin_us);
            EbPace_RecordEntry(pace, SERVER, 3, -1, begin_us);
            first += !EbPace_IsHeld(pace, SERVER, begin_us + 100 * MS_US);
            after += !EbPace_IsHeld(pace, SERVER, begin_us + 4 * SECOND_US);
        }
        CU_ASSERT_TRUE(first >= 1 && first <= rows[i].max_first);
        CU_ASSERT_EQUAL(after, row.daemons);
        close_fleet(&fleet);
    }
}

/* Guards against a verdict on a server by one answer, by the usual spread of
 * answers, or by failures that all servers have. */
static void
test_answer_times(void)
{
    EbAnswerReference reference = {0};
    EbAnswerTest test = {0};
    for (int i = 0; i < 7; i++) { /* no reference yet */
        CU_ASSERT_EQUAL(EbAnswerTest_AddAnswer(&test, &reference, 1000),
                        EB_ANSWERS_UNDECIDED);
    }
    CU_ASSERT_EQUAL(EbAnswerTest_AddAnswer(&test, &reference, 1000),
                    EB_ANSWERS_USUAL);
    for (int i = 0; i < 100; i++) {
        EbAnswerReference_AddAnswer(&reference, i % 2 == 0 ? 50 : 200);
    }
    CU_ASSERT_EQUAL(EbAnswerTest_AddAnswer(&test, &reference, 100000),
                    EB_ANSWERS_UNDECIDED);
    CU_ASSERT_EQUAL(EbAnswerTest_AddGivenUp(&test, &reference, 10),
                    EB_ANSWERS_UNDECIDED);
    CU_ASSERT_EQUAL(EbAnswerTest_AddGivenUp(&test, &reference, 100000),
                    EB_ANSWERS_SLOW);
    for (int i = 0; i < 100; i++) {
        double time = i % 2 == 0 ? 50 : 200;
        CU_ASSERT_NOT_EQUAL(EbAnswerTest_AddAnswer(&test, &reference, time),
                            EB_ANSWERS_SLOW);
    }
    for (int i = 0; i < 500; i++) { /* a fifth fails everywhere */
        EbAnswerReference_AddAnswer(&reference, 100);
        if (i % 4 == 0) {
            EbAnswerReference_AddFailure(&reference);
        }
    }
    for (int i = 0; i < 100; i++) {
        EbAnswerVerdict verdict =
            i % 5 == 0 ? EbAnswerTest_AddFailure(&test, &reference)
                       : EbAnswerTest_AddAnswer(&test, &reference, 100);
        CU_ASSERT_NOT_EQUAL(verdict, EB_ANSWERS_SLOW);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"bound", test_bound},     {"coldness", test_coldness},
        {"no rate", test_no_rate}, {"learned pace", test_learned_pace},
        {"turns", test_turns},     {"answer times", test_answer_times},
    };
    return EbTest_Run("test_pace", cases, G_N_ELEMENTS(cases));
}
