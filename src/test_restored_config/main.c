/* Tests of EbRestoredConfig: versions of the configuration around a store that
 * came back from an older copy. */
#include <glib.h>

#include "ebonyhollow/restored_config.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)

/* One thing that a daemon learns, and its state right after it. */
typedef struct {
    int64_t at_us;
    uint64_t stored;    /* version; 0: none */
    uint64_t told;      /* version; 0: none */
    uint64_t era;       /* of `stored` */
    uint64_t used;      /* version that may be in force */
    uint64_t announced; /* 0: none */
} Step;

static void
play(const Step *steps, size_t count)
{
    EbRestoredConfig config = {0};
    uint64_t used = 0;
    for (size_t i = 0; i < count; i++) {
        const Step *step = &steps[i];
        EbStorePosition position = {step->era, 5};
        if (step->stored > 0) {
            EbRestoredConfig_RecordStored(&config, step->stored, &position,
                                          step->at_us);
        }
        if (step->told > 0) {
            EbRestoredConfig_RecordTold(&config, step->told);
        }
        if (used > 0 || !EbRestoredConfig_MustWait(&config, step->at_us)) {
            used = config.version;
        }
        CU_ASSERT_EQUAL(used, step->used);
        CU_ASSERT_EQUAL(config.announced, step->announced);
        CU_ASSERT_EQUAL(EbRestoredConfig_NextTimer(&config, step->at_us) !=
                            INT64_MAX,
                        EbRestoredConfig_MustWait(&config, step->at_us));
    }
}

/* Guards against a daemon that starts on the copy of a restored store and uses
 * its version before a peer can tell of a newer one. */
static void
test_start(void)
{
    static const Step told[] = {{1 * SECOND_US, 2, 0, 2, 0, 0},
                                {2 * SECOND_US, 0, 3, 0, 3, 3},
                                {3 * SECOND_US, 0, 3, 0, 3, 3}};
    static const Step alone[] = {
        {1 * SECOND_US, 2, 0, 2, 0, 0},
        {1 * SECOND_US + EB_RESTORED_CONFIG_WAIT_US, 0, 0, 0, 2, 0},
        {9 * SECOND_US, 4, 0, 2, 4, 0}};
    static const Step told_first[] = {{1 * SECOND_US, 0, 3, 0, 3, 3},
                                      {2 * SECOND_US, 2, 0, 2, 3, 3}};
    play(told, G_N_ELEMENTS(told));
    play(alone, G_N_ELEMENTS(alone));
    play(told_first, G_N_ELEMENTS(told_first));
}

/* Guards against a start that waits although the store was never restored. */
static void
test_first_era(void)
{
    static const Step eras[] = {{1 * SECOND_US, 2, 0, 1, 2, 0},
                                {2 * SECOND_US, 3, 0, 1, 3, 0}};
    static const Step none[] = {{1 * SECOND_US, 2, 0, 0, 2, 0}};
    play(eras, G_N_ELEMENTS(eras));
    play(none, G_N_ELEMENTS(none));
}

/* Guards against a running daemon that returns to the copy's version or
 * doesn't tell of its own, and against an older version from a peer. */
static void
test_running(void)
{
    static const Step steps[] = {{1 * SECOND_US, 3, 0, 1, 3, 0},
                                 {2 * SECOND_US, 2, 0, 2, 3, 3},
                                 {3 * SECOND_US, 0, 2, 0, 3, 3},
                                 {4 * SECOND_US, 4, 0, 2, 4, 3},
                                 {5 * SECOND_US, 3, 0, 3, 4, 4}};
    play(steps, G_N_ELEMENTS(steps));
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"start", test_start},
        {"first era", test_first_era},
        {"running", test_running},
    };
    return EbTest_Run("test_restored_config", cases, G_N_ELEMENTS(cases));
}
