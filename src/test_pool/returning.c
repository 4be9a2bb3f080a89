#include "returning.h"

#include <math.h>
#include <stdio.h>

#include <glib.h>

#include "fixture.h"
#include "test_runner.h"

#define STEP_US INT64_C(1000)
#define SECOND_US INT64_C(1000000)
#define SERVERS 12
#define CAPACITY 16
#define GONE_US (10 * SECOND_US)
#define RETURN_US (20 * SECOND_US)
#define WATCHED_US (10 * SECOND_US)
#define SHORTEST_US 60000.0
#define SPREAD_LOG 0.3
#define TAIL_PERMILLE 20
#define ERROR_PERMILLE 50

typedef struct {
    const char *name;
    bool readmitted;         /* after an ejection; otherwise it restarted */
    double slowness;         /* of the server that returns */
    uint32_t error_permille; /* of the calls at all servers */
    double max_full_s;       /* until it has as many calls as the others */
    double min_use, max_use; /* of what the others have, over 10 s */
} Row;

typedef struct {
    uint32_t server;
    int64_t started_us;
    int64_t end_us;
    bool fails;
} Call;

typedef struct {
    const Row *row;
    Fixture fixture;
    EbPool *pool;
    EbRandom random;
    GQueue calls;
    uint32_t in_flight[SERVERS];
} Play;

static double
draw(EbRandom *random)
{
    return ((double)EbRandom_Below(random, 1000000) + 0.5) / 1e6;
}

static double
draw_normal(EbRandom *random)
{
    return sqrt(-2 * log(draw(random))) * cos(2 * G_PI * draw(random));
}

/* Prompts differ tenfold, and one call in fifty takes 6 to 14 times as long.
 */
static int64_t
draw_duration(Play *play)
{
    double duration = SHORTEST_US * pow(10, draw(&play->random)) *
                      exp(SPREAD_LOG * draw_normal(&play->random));
    if (EbRandom_Below(&play->random, 1000) < TAIL_PERMILLE) {
        duration *= 6 + 8 * draw(&play->random);
    }
    return (int64_t)duration;
}

static void
end_calls(Play *play, int64_t now_us)
{
    for (GList *link = play->calls.head; link != NULL;) {
        GList *next = link->next;
        Call *call = link->data;
        if (call->end_us <= now_us) {
            EbPool_EndCall(play->pool, play->fixture.ids[call->server],
                           call->fails ? EB_CALL_ERROR : EB_CALL_OK,
                           now_us - call->started_us, now_us);
            play->in_flight[call->server]--;
            g_queue_delete_link(&play->calls, link);
            g_free(call);
        }
        link = next;
    }
}

/* Begins as many calls as the pool takes. */
static void
begin_calls(Play *play, int64_t now_us)
{
    bool is_gone = now_us >= GONE_US && now_us < RETURN_US;
    EbPoolCriteria criteria = {.excluded = {"s0"}, .excluded_count = is_gone};
    const EbConfigBackendServer *chosen;
    while ((chosen = EbPool_BeginCall(play->pool, &criteria, now_us)) !=
           NULL) {
        Call *call = g_new0(Call, 1);
        call->server = (uint32_t)(chosen - play->fixture.servers);
        call->started_us = now_us;
        double slowness =
            call->server == 0 && now_us >= RETURN_US ? play->row->slowness : 1;
        call->end_us =
            now_us + (int64_t)(slowness * (double)draw_duration(play));
        call->fails =
            EbRandom_Below(&play->random, 1000) < play->row->error_permille;
        g_queue_push_tail(&play->calls, call);
        play->in_flight[call->server]++;
    }
}

static void
return_server(Play *play)
{
    if (play->row->readmitted) {
        EbPace_Readmitted(play->fixture.pace, "s0", RETURN_US);
    }
    else {
        EbPace_RecordEntry(play->fixture.pace, "s0", 1, 0, RETURN_US - 1);
        EbPace_RecordEntry(play->fixture.pace, "s0", 2, 0, RETURN_US);
    }
}

/* Returns the calls at the server that came back, relative to the mean of the
 * other ones. */
static double
relative_use(const Play *play)
{
    double others = 0;
    for (uint32_t i = 1; i < SERVERS; i++) {
        others += play->in_flight[i];
    }
    return others > 0 ? play->in_flight[0] * (SERVERS - 1) / others : 0;
}

static void
play_return(const Row *row, uint64_t seed, double *full_s, double *use)
{
    Play play = {.row = row};
    play.pool = Fixture_Open(&play.fixture, SERVERS, 1, 0, CAPACITY);
    EbRandom_Init(&play.random, seed);
    *full_s = (double)WATCHED_US / SECOND_US;
    *use = 0;
    double recent = 0; /* average of about a second */
    for (int64_t now_us = 0; now_us < RETURN_US + WATCHED_US;
         now_us += STEP_US) {
        if (now_us == RETURN_US) {
            return_server(&play);
        }
        end_calls(&play, now_us);
        begin_calls(&play, now_us);
        if (now_us % SECOND_US == 0) {
            EbPool_Tick(play.pool, now_us);
        }
        if (now_us < RETURN_US) {
            continue;
        }
        double since_s = (double)(now_us - RETURN_US) / SECOND_US;
        recent += 0.001 * (relative_use(&play) - recent);
        *use += relative_use(&play) * STEP_US / WATCHED_US;
        if (recent >= 0.9 && since_s < *full_s) {
            *full_s = since_s;
        }
    }
    g_queue_clear_full(&play.calls, g_free);
    Fixture_Close(&play.fixture, play.pool);
}

/* Guards against a sound server that is left idle after its return since some
 * of its answers are slow by chance, and against a flood of one that is slow.
 * The calls take 0.3 s on average. Callers need a sound server within 5 s,
 * three seconds of which are the doubling from one call and the average here;
 * at one that is five times slower, half of its calls would be late. */
void
test_returning_server(void)
{
    static const Row rows[] = {
        {"restart", false, 1, 0, 5, 0.75, 1.5},
        {"readmission", true, 1, 0, 5, 0.75, 1.5},
        {"restart, errors", false, 1, ERROR_PERMILLE, 5, 0.75, 1.5},
        {"restart, slow", false, 5, 0, 10, 0, 0.5},
        {"readmission, slow", true, 5, 0, 10, 0, 0.5},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (uint64_t seed = 1; seed <= 5; seed++) {
            double full_s, use;
            play_return(&rows[i], seed, &full_s, &use);
            printf("  %s: full after %.1f s, %.0f%% of the others' calls\n",
                   rows[i].name, full_s, 100 * use);
            CU_ASSERT_TRUE(full_s <= rows[i].max_full_s);
            CU_ASSERT_TRUE(use >= rows[i].min_use);
            CU_ASSERT_TRUE(use <= rows[i].max_use);
        }
    }
}
