/* Tests of EbEvacuations: which failure domains are closed, and when they are
 * empty. */
#include <string.h>

#include "ebonyhollow/evacuations.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US INT64_C(1000000)

typedef struct {
    uint32_t calls; /* that run in domain "a" */
    uint32_t events;
    char state[16]; /* named by the last event */
    int64_t revision;
    uint32_t opened; /* calls of on_opened */
    EbEventSink sink;
    EbMetrics *metrics;
    EbEvacuations *evacuations;
} Fixture;

static uint32_t
count_calls(void *context, const char *failure_domain)
{
    return strcmp(failure_domain, "a") == 0 ? ((Fixture *)context)->calls : 0;
}

static void
on_opened(void *context, const char *failure_domain, int64_t now_us)
{
    (void)failure_domain;
    (void)now_us;
    ((Fixture *)context)->opened++;
}

static void
record_event(void *context, EbEventId event, const EbEventField *fields,
             size_t field_count)
{
    Fixture *fixture = context;
    CU_ASSERT_EQUAL(event, EB_EVENT_EVACUATION_STATE);
    fixture->events++;
    for (size_t i = 0; i < field_count; i++) {
        if (strcmp(fields[i].name, "state") == 0) {
            strncpy(fixture->state, fields[i].string,
                    sizeof(fixture->state) - 1);
        }
        else if (strcmp(fields[i].name, "revision") == 0) {
            fixture->revision = fields[i].integer;
        }
    }
}

static void
open_fixture(Fixture *fixture)
{
    *fixture = (Fixture){.sink = {record_event, fixture}};
    fixture->metrics = EbMetrics_New();
    fixture->evacuations =
        EbEvacuations_New(&(EbEvacuationsOptions){.events = &fixture->sink,
                                                  .metrics = fixture->metrics,
                                                  .count_calls = count_calls,
                                                  .opened = on_opened,
                                                  .context = fixture});
}

static void
close_fixture(Fixture *fixture)
{
    EbEvacuations_Free(fixture->evacuations);
    EbMetrics_Free(fixture->metrics);
}

/* Guards against a domain that counts as empty while calls run there, that is
 * opened by anything but the withdrawal of the order, or that is taken for
 * settled right after its return. */
static void
test_states(void)
{
    typedef enum { NOTHING, ORDER, WITHDRAWAL } Step;
    static const struct {
        int64_t at_us;
        Step step;
        uint32_t calls;
        EbEvacuationState state;
        bool closed;
        bool changed; /* what is closed */
    } rows[] = {
        {0, WITHDRAWAL, 0, EB_EVACUATION_NONE, false, false},
        {1 * SECOND_US, ORDER, 2, EB_EVACUATION_EVACUATING, true, true},
        {2 * SECOND_US, NOTHING, 1, EB_EVACUATION_EVACUATING, true, false},
        {3 * SECOND_US, NOTHING, 0, EB_EVACUATION_EVACUATED, true, false},
        {4 * SECOND_US, ORDER, 0, EB_EVACUATION_EVACUATED, true, false},
        {5 * SECOND_US, NOTHING, 1, EB_EVACUATION_EVACUATING, true, false},
        {90 * SECOND_US, NOTHING, 0, EB_EVACUATION_EVACUATED, true, false},
        {91 * SECOND_US, WITHDRAWAL, 0, EB_EVACUATION_RETURNING, false, true},
        {92 * SECOND_US, NOTHING, 9, EB_EVACUATION_RETURNING, false, false},
        {93 * SECOND_US, ORDER, 9, EB_EVACUATION_EVACUATING, true, true},
        {94 * SECOND_US, WITHDRAWAL, 9, EB_EVACUATION_RETURNING, false, true},
        {95 * SECOND_US, WITHDRAWAL, 9, EB_EVACUATION_RETURNING, false, false},
        {94 * SECOND_US + EB_EVACUATION_RETURN_US, NOTHING, 9,
         EB_EVACUATION_NONE, false, false},
    };
    Fixture fixture;
    open_fixture(&fixture);
    EbEvacuations *evacuations = fixture.evacuations;
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        fixture.calls = rows[i].calls;
        if (rows[i].step != NOTHING) {
            EbEvacuations_Set(evacuations, "a", rows[i].step == ORDER,
                              &(EbStorePosition){.era = 1, .revision = i + 1},
                              rows[i].at_us);
        }
        EbEvacuations_Tick(evacuations, rows[i].at_us);
        CU_ASSERT_EQUAL(EbEvacuations_State(evacuations, "a"), rows[i].state);
        CU_ASSERT_EQUAL(EbEvacuations_IsClosed(evacuations, "a"),
                        rows[i].closed);
        CU_ASSERT_FALSE(EbEvacuations_IsClosed(evacuations, "b"));
        CU_ASSERT_EQUAL(EbEvacuations_TakeChange(evacuations),
                        rows[i].changed);
        CU_ASSERT_EQUAL(EbMetrics_Read(fixture.metrics, EB_METRIC_EVACUATED,
                                       NULL, NULL, NULL),
                        rows[i].closed);
        CU_ASSERT_EQUAL(EbMetrics_Read(fixture.metrics,
                                       EB_METRIC_EVACUATED_CALLS, NULL, NULL,
                                       NULL),
                        rows[i].closed ? rows[i].calls : 0);
    }
    CU_ASSERT_EQUAL(EbEvacuations_Count(evacuations), 0);
    CU_ASSERT_EQUAL(fixture.opened, 2);
    CU_ASSERT_EQUAL(EbMetrics_Read(fixture.metrics, EB_METRIC_EVACUATIONS, "a",
                                   "evacuated", NULL),
                    2);
    close_fixture(&fixture);
}

/* Guards against orders for several domains that are mixed up, and against a
 * log from which an operator can't tell which order was followed. */
static void
test_several_domains(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbEvacuations *evacuations = fixture.evacuations;
    EbStorePosition first = {.era = 2, .revision = 7};
    EbStorePosition second = {.era = 2, .revision = 9};
    EbEvacuations_Set(evacuations, "b", true, &first, SECOND_US);
    CU_ASSERT_STRING_EQUAL(fixture.state, "evacuated");
    CU_ASSERT_EQUAL(fixture.revision, 7);
    fixture.calls = 3;
    EbEvacuations_Set(evacuations, "a", true, &second, 2 * SECOND_US);
    CU_ASSERT_EQUAL_FATAL(EbEvacuations_Count(evacuations), 2);
    EbEvacuationView view;
    EbEvacuations_View(evacuations, 0, 5 * SECOND_US, &view);
    CU_ASSERT_STRING_EQUAL(view.failure_domain, "a");
    CU_ASSERT_EQUAL(view.state, EB_EVACUATION_EVACUATING);
    CU_ASSERT_EQUAL(view.position.revision, 9);
    CU_ASSERT_EQUAL(view.age_us, 3 * SECOND_US);
    CU_ASSERT_EQUAL(view.calls, 3);
    EbEvacuations_Set(evacuations, "b", false, &second, 6 * SECOND_US);
    CU_ASSERT_STRING_EQUAL(fixture.state, "returning");
    CU_ASSERT_TRUE(EbEvacuations_IsClosed(evacuations, "a"));
    CU_ASSERT_FALSE(EbEvacuations_IsClosed(evacuations, "b"));
    CU_ASSERT_FALSE(EbEvacuations_IsClosed(NULL, "a"));
    close_fixture(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"states", test_states},
        {"several domains", test_several_domains},
    };
    return EbTest_Run("test_evacuations", cases, TABLE_COUNT(cases));
}
