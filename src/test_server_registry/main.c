/* Tests of EbServerRegistry: servers' entries that appear, disappear and
 * contradict what is known. */
#include <string.h>

#include "ebonyhollow/server_registry.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)

typedef enum { STEP_READY, STEP_LEAVING, STEP_REMOVED } StepKind;

typedef enum { USE_NONE, USE_READY, USE_LEAVING } Use;

/* What the store says of the server at a time, and its use right after it. */
typedef struct {
    int64_t at_us;
    StepKind kind;
    bool restored;
    Use use;
} Step;

static EbServerRegistration
new_registration(bool leaving)
{
    return (EbServerRegistration){.id = g_strdup("s-1"),
                                  .service = g_strdup("orders"),
                                  .host = g_strdup("10.0.0.1"),
                                  .port = 80,
                                  .failure_domain = g_strdup("recife"),
                                  .slots = 4,
                                  .leaving = leaving};
}

static Use
find_use(const EbServerRegistry *registry)
{
    GPtrArray *list = EbServerRegistry_List(registry);
    Use use = USE_NONE;
    CU_ASSERT_TRUE(list->len <= 1);
    if (list->len > 0) {
        const EbServerRegistration *registration = g_ptr_array_index(list, 0);
        use = registration->leaving ? USE_LEAVING : USE_READY;
    }
    g_ptr_array_unref(list);
    return use;
}

static void
take_step(EbServerRegistry *registry, const Step *step, int64_t store_back_us)
{
    if (step->kind == STEP_REMOVED) {
        EbServerRegistry_Remove(registry, "s-1", store_back_us, step->at_us);
        return;
    }
    EbServerRegistration registration =
        new_registration(step->kind == STEP_LEAVING);
    EbServerRegistry_Set(registry, &registration, step->restored, step->at_us);
    CU_ASSERT_PTR_NULL(registration.id);
}

#define MAX_STEPS 4
static const struct {
    Step steps[MAX_STEPS];
    unsigned step_count;
    int64_t store_back_us;
    Use final; /* 20 s after the last step */
} sequences[] = {
    {{{1, STEP_READY, false, USE_READY},
      {2, STEP_LEAVING, false, USE_LEAVING},
      {3, STEP_REMOVED, false, USE_NONE}},
     3,
     INT64_MIN,
     USE_NONE},
    /* Leaving, and ready in the copy until it writes again. */
    {{{1, STEP_READY, false, USE_READY},
      {2, STEP_LEAVING, false, USE_LEAVING},
      {SECOND_US, STEP_READY, true, USE_LEAVING},
      {2 * SECOND_US, STEP_LEAVING, false, USE_LEAVING}},
     4,
     SECOND_US,
     USE_LEAVING},
    {{{1, STEP_LEAVING, false, USE_LEAVING},
      {SECOND_US, STEP_READY, true, USE_LEAVING},
      {2 * SECOND_US, STEP_REMOVED, false, USE_NONE}},
     3,
     SECOND_US,
     USE_NONE},
    {{{1, STEP_LEAVING, false, USE_LEAVING},
      {SECOND_US, STEP_READY, true, USE_LEAVING},
      {2 * SECOND_US, STEP_READY, false, USE_READY}},
     3,
     SECOND_US,
     USE_READY},
    {{{1, STEP_LEAVING, false, USE_LEAVING},
      {SECOND_US, STEP_READY, true, USE_LEAVING}},
     2,
     SECOND_US,
     USE_READY},
    /* Gone, and ready in the copy. */
    {{{1, STEP_READY, false, USE_READY},
      {2, STEP_REMOVED, false, USE_NONE},
      {SECOND_US, STEP_READY, true, USE_NONE},
      {2 * SECOND_US, STEP_REMOVED, false, USE_NONE}},
     4,
     SECOND_US,
     USE_NONE},
    {{{1, STEP_READY, false, USE_READY},
      {2, STEP_REMOVED, false, USE_NONE},
      {SECOND_US, STEP_READY, true, USE_NONE}},
     3,
     INT64_MIN,
     USE_READY},
    /* Missing in the copy, and written again in time, or not. */
    {{{1, STEP_READY, false, USE_READY},
      {SECOND_US, STEP_REMOVED, true, USE_READY},
      {2 * SECOND_US, STEP_READY, false, USE_READY}},
     3,
     SECOND_US,
     USE_READY},
    {{{1, STEP_READY, false, USE_READY},
      {SECOND_US, STEP_REMOVED, true, USE_READY}},
     2,
     SECOND_US,
     USE_NONE},
    {{{1, STEP_LEAVING, false, USE_LEAVING},
      {SECOND_US, STEP_REMOVED, true, USE_NONE}},
     2,
     SECOND_US,
     USE_NONE},
    /* New in the copy: unknown here, so it is used. */
    {{{1, STEP_READY, true, USE_READY}}, 1, 1, USE_READY},
};

/* Guards against calls to a server that left, because the store returned from
 * a copy in which it was ready; against a server that is dropped because the
 * copy or an outage lacks its entry; and against one that is never used again.
 */
static void
test_sequences(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sequences); i++) {
        EbServerRegistry *registry = EbServerRegistry_New(NULL);
        int64_t now_us = 0;
        for (unsigned k = 0; k < sequences[i].step_count; k++) {
            const Step *step = &sequences[i].steps[k];
            now_us = step->at_us;
            EbServerRegistry_Tick(registry, now_us);
            int64_t back_us = now_us >= sequences[i].store_back_us
                                  ? sequences[i].store_back_us
                                  : INT64_MIN;
            take_step(registry, step, back_us);
            CU_ASSERT_EQUAL(find_use(registry), step->use);
        }
        int64_t end_us = now_us + 20 * SECOND_US;
        while (EbServerRegistry_NextTimer(registry) <= end_us) {
            EbServerRegistry_Tick(registry,
                                  EbServerRegistry_NextTimer(registry));
        }
        CU_ASSERT_EQUAL(find_use(registry), sequences[i].final);
        EbServerRegistry_Free(registry);
    }
}

/* Guards against a configuration that is applied again for an entry that says
 * what is known, and against one that is not applied for a change. */
static void
test_changes(void)
{
    EbServerRegistry *registry = EbServerRegistry_New(NULL);
    CU_ASSERT_FALSE(EbServerRegistry_TakeChange(registry));
    static const struct {
        Step step;
        bool changed;
    } rows[] = {
        {{1, STEP_READY, false, USE_READY}, true},
        {{2, STEP_READY, false, USE_READY}, false},
        {{3, STEP_LEAVING, false, USE_LEAVING}, true},
        {{4, STEP_READY, true, USE_LEAVING}, false},
        {{5, STEP_REMOVED, false, USE_NONE}, true},
        {{6, STEP_REMOVED, false, USE_NONE}, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        take_step(registry, &rows[i].step, INT64_MIN);
        CU_ASSERT_EQUAL(EbServerRegistry_TakeChange(registry),
                        rows[i].changed);
        CU_ASSERT_FALSE(EbServerRegistry_TakeChange(registry));
    }
    EbServerRegistry_Free(registry);
}

/* Guards against a start of a server that is missed, and against a new
 * configuration for each entry that a server writes. */
static void
test_incarnations(void)
{
    static const struct {
        uint64_t before, after;
        bool restored;
        bool changed;
    } rows[] = {
        {5, 6, false, true}, {6, 5, false, true}, {5, 5, false, false},
        {0, 5, false, true}, {5, 4, true, false}, /* doubted */
        {5, 5, true, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbServerRegistry *registry = EbServerRegistry_New(NULL);
        EbServerRegistration registration = new_registration(false);
        registration.incarnation = rows[i].before;
        EbServerRegistry_Set(registry, &registration, false, 1);
        CU_ASSERT_TRUE(EbServerRegistry_TakeChange(registry));
        registration = new_registration(false);
        registration.incarnation = rows[i].after;
        registration.cold_left_us = SECOND_US;
        EbServerRegistry_Set(registry, &registration, rows[i].restored, 2);
        CU_ASSERT_EQUAL(EbServerRegistry_TakeChange(registry),
                        rows[i].changed);
        EbServerRegistry_Free(registry);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"sequences", test_sequences},
        {"changes", test_changes},
        {"incarnations", test_incarnations},
    };
    return EbTest_Run("test_server_registry", cases, G_N_ELEMENTS(cases));
}
