/* Tests of EbStageSchedule. */
#include <string.h>

#include "ebonyhollow/stage_schedule.h"
#include "test_runner.h"

#define MS INT64_C(1000)

/* 100 items a second, 100 ms a call. */
static const EbStageCapacity capacity = {.by_urgency = true,
                                         .items_at_once = 10,
                                         .call_us = 100 * MS,
                                         .items_per_s = 100,
                                         .least_share = 0.1,
                                         .least_rate_share = 0.1};

static EbStageEntry
make_entry(uint8_t priority, uint8_t route_priority, uint32_t items,
           int64_t due_us)
{
    return (EbStageEntry){.class =
                              EbStageSchedule_Class(priority, route_priority),
                          .items = items,
                          .due_us = due_us,
                          .deadline_us = due_us + 1000 * MS};
}

/* Guards against a less urgent class that goes first, against late work before
 * work in time, and against a shortage that is not seen. */
static void
test_order(void)
{
    static const struct {
        uint32_t items; /* of each entry */
        int64_t due_us; /* of the first entry; each next one 10 ms later */
        bool shortage;
        uint32_t first; /* class */
    } rows[] = {
        {2, 400 * MS, false, 1},
        {20, 400 * MS, true, 1},
        {2, 95 * MS, true, 1},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        EbStageEntry entries[] = {
            make_entry(9, 9, rows[i].items, rows[i].due_us),
            make_entry(0, 2, rows[i].items, rows[i].due_us + 10 * MS),
            make_entry(0, 1, rows[i].items, rows[i].due_us + 20 * MS)};
        CU_ASSERT_EQUAL(EbStageSchedule_Order(entries, 3, &capacity),
                        rows[i].shortage);
        CU_ASSERT_EQUAL(entries[0].class, rows[i].first);
        CU_ASSERT_FALSE(entries[0].late);
    }
}

/* Guards against late work that is done at the end of its deadline while newer
 * work becomes as late, and against work that was started and then displaced.
 */
static void
test_late_order(void)
{
    EbStageEntry entries[] = {
        make_entry(0, 0, 1, 10 * MS), make_entry(0, 0, 1, 30 * MS),
        make_entry(0, 0, 1, 20 * MS), make_entry(0, 0, 1, 5 * MS)};
    entries[3].started = true;
    EbStageSchedule_Order(entries, 4, &capacity);
    static const int64_t due_us[] = {5 * MS, 30 * MS, 20 * MS, 10 * MS};
    for (size_t i = 0; i < 4; i++) {
        CU_ASSERT_EQUAL(entries[i].due_us, due_us[i]);
    }
}

/* Guards against jobs that wait until their deadline has passed although they
 * can't be done before it, and against others refused with them. */
static void
test_projection(void)
{
    EbStageCapacity busy = capacity;
    busy.arrivals_per_s[0] = 80;
    EbStageEntry entries[] = {make_entry(0, 0, 20, 400 * MS),
                              make_entry(1, 0, 20, 90 * MS),
                              make_entry(1, 0, 20, 91 * MS)};
    EbStageSchedule_Order(entries, 3, &busy);
    EbStageSchedule_Project(entries, 3, &busy);
    CU_ASSERT_TRUE(entries[0].in_time);
    CU_ASSERT_TRUE(entries[1].hopeless);
    EbStageSchedule_Project(entries, 3, &capacity);
    CU_ASSERT_FALSE(entries[1].hopeless);
    CU_ASSERT_FALSE(entries[2].hopeless);
    busy.items_per_s = 0; /* no server is known: nothing can be said */
    EbStageSchedule_Project(entries, 3, &busy);
    CU_ASSERT_FALSE(entries[1].hopeless);
}

/* Guards against a class that gets nothing in a shortage that lasts. */
static void
test_shares(void)
{
    EbStageShares shares = {0};
    uint32_t given[EB_STAGE_CLASSES] = {0};
    for (int call = 0; call < 100; call++) {
        EbStageEntry entries[] = {make_entry(0, 0, 10, 0),
                                  make_entry(1, 0, 2, 0)};
        size_t next = EbStageShares_Next(&shares, entries, 2);
        given[entries[next].class] += entries[next].items;
        EbStageShares_Record(&shares, entries[next].class, entries[next].items,
                             entries, 2, capacity.least_share);
    }
    uint32_t less_urgent = given[EbStageSchedule_Class(1, 0)];
    uint32_t all = less_urgent + given[0];
    CU_ASSERT_TRUE(less_urgent * 20 >= all && less_urgent * 8 <= all);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"order", test_order},
        {"late order", test_late_order},
        {"projection", test_projection},
        {"shares", test_shares},
    };
    return EbTest_Run("test_stage_schedule", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
