/* Tests of EbQueue, the queue of waiting attempts. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "ebonyhollow/queue.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define FAR_DEADLINE_US INT64_C(1000000000)

static void
push(EbQueue *queue, uint64_t id, const char *customer, uint32_t weight,
     uint32_t cost, int64_t deadline_us)
{
    EbQueueEntry entry = {.id = id,
                          .customer = customer,
                          .weight = weight,
                          .cost = cost,
                          .deadline_us = deadline_us,
                          .needed_us = 10};
    CU_ASSERT_TRUE_FATAL(EbQueue_Push(queue, &entry, 0));
}

static EbQueue *
new_queue(EbQueueOrder order, uint32_t max_entries)
{
    return EbQueue_New(
        &(EbQueueOptions){.order = order, .max_entries = max_entries});
}

/* Guards against a customer with a backlog that gets less than its share. The
 * bound is that of start-time fair queuing: over any interval in which two
 * customers both wait, their service divided by weight differs by at most the
 * sum of the largest cost of each divided by its weight. */
static void
test_lag_bound(void)
{
    static const uint32_t weights[] = {1, 1, 2, 5, 10};
    enum { CUSTOMERS = 5, ENTRIES_EACH = 700, MAX_COST = 30 };
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 0);
    EbRandom random;
    EbRandom_Init(&random, 11);
    uint32_t waiting[CUSTOMERS] = {0};
    for (uint64_t id = 0; id < (uint64_t)CUSTOMERS * ENTRIES_EACH; id++) {
        /* One burst after another. */
        uint32_t c = (uint32_t)(id / ENTRIES_EACH);
        char name[8];
        snprintf(name, sizeof(name), "c%u", c);
        push(queue, id, name, weights[c],
             1 + (uint32_t)EbRandom_Below(&random, MAX_COST),
             FAR_DEADLINE_US + (int64_t)EbRandom_Below(&random, 1000));
        waiting[c]++;
    }
    double served[CUSTOMERS] = {0};
    double min_lag[CUSTOMERS][CUSTOMERS] = {{0}},
           max_lag[CUSTOMERS][CUSTOMERS] = {{0}};
    EbQueueEntry entry;
    while (EbQueue_Pop(queue, 0, &entry)) {
        int c = entry.customer[1] - '0';
        served[c] += (double)entry.cost / weights[c];
        waiting[c]--;
        for (int a = 0; a < CUSTOMERS; a++) {
            for (int b = 0; b < a; b++) {
                if (waiting[a] == 0 || waiting[b] == 0) {
                    continue;
                }
                double lag = served[a] - served[b];
                min_lag[a][b] = fmin(min_lag[a][b], lag);
                max_lag[a][b] = fmax(max_lag[a][b], lag);
                double bound = (double)MAX_COST / weights[a] +
                               (double)MAX_COST / weights[b];
                CU_ASSERT_TRUE(max_lag[a][b] - min_lag[a][b] <= bound + 1e-6);
            }
        }
    }
    EbQueue_Free(queue);
}

/* Guards against one customer's burst that delays another customer, and
 * against a new customer that is served ahead of the others to make up for
 * the time before its first request. */
static void
test_burst(void)
{
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 0);
    EbQueueEntry entry;
    for (uint64_t id = 0; id < 3000; id++) {
        push(queue, id, "large", 1, 5, FAR_DEADLINE_US);
    }
    for (int i = 0; i < 1000; i++) {
        CU_ASSERT_TRUE(EbQueue_Pop(queue, 0, &entry));
    }
    push(queue, 5000, "small", 1, 5, FAR_DEADLINE_US);
    int served = 0;
    do {
        CU_ASSERT_TRUE_FATAL(EbQueue_Pop(queue, 0, &entry));
        served++;
    } while (entry.id != 5000);
    CU_ASSERT_TRUE(served <= 2);
    /* The queue of "small" was empty only for a moment, so the service that it
     * has just had still counts. */
    for (uint64_t id = 6000; id < 6100; id++) {
        push(queue, id, "small", 1, 5, FAR_DEADLINE_US);
    }
    int small = 0;
    for (int i = 0; i < 100; i++) {
        CU_ASSERT_TRUE(EbQueue_Pop(queue, 0, &entry));
        small += strcmp(entry.customer, "small") == 0;
    }
    CU_ASSERT_TRUE(small >= 49 && small <= 51);
    EbQueue_Free(queue);
}

/* Guards against entries that are not served in the configured order. */
static void
test_orders(void)
{
    static const struct {
        EbQueueOrder order;
        uint64_t ids[6];
    } rows[] = {
        {EB_QUEUE_WEIGHTED_FAIR, {2, 4, 1, 5, 0, 3}},
        {EB_QUEUE_FIRST_COME, {0, 1, 2, 3, 4, 5}},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbQueue *queue = new_queue(rows[i].order, 0);
        push(queue, 0, "a", 1, 1, 500);
        push(queue, 1, "a", 1, 1, 400);
        push(queue, 2, "a", 1, 1, 300);
        push(queue, 3, "b", 1, 1, 900);
        push(queue, 4, "b", 1, 1, 700);
        push(queue, 5, "b", 1, 1, 800);
        EbQueueEntry entry;
        for (size_t j = 0; j < TABLE_COUNT(rows[i].ids); j++) {
            CU_ASSERT_TRUE(EbQueue_Pop(queue, 0, &entry));
            CU_ASSERT_EQUAL(entry.id, rows[i].ids[j]);
        }
        CU_ASSERT_FALSE(EbQueue_Pop(queue, 0, &entry));
        EbQueue_Free(queue);
    }
}

/* Guards against entries that are served although they can't finish in time,
 * and against expired entries that are never returned. */
static void
test_expiry(void)
{
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 0);
    EbQueueEntry entry;
    CU_ASSERT_EQUAL(EbQueue_NextExpiry(queue), INT64_MAX);
    push(queue, 1, "a", 1, 1, 100);
    push(queue, 2, "a", 1, 1, 200);
    push(queue, 3, "b", 1, 1, 150);
    CU_ASSERT_EQUAL(EbQueue_NextExpiry(queue), 91);
    CU_ASSERT_FALSE(EbQueue_PopExpired(queue, 90, &entry));
    CU_ASSERT_TRUE(EbQueue_Pop(queue, 141, &entry));
    CU_ASSERT_EQUAL(entry.id, 2);
    CU_ASSERT_EQUAL(EbQueue_Count(queue), 2);
    CU_ASSERT_EQUAL(EbQueue_NextExpiry(queue), 91);
    CU_ASSERT_TRUE(EbQueue_Remove(queue, 1));
    CU_ASSERT_TRUE(EbQueue_PopExpired(queue, 141, &entry));
    CU_ASSERT_EQUAL(entry.id, 3);
    CU_ASSERT_FALSE(EbQueue_PopExpired(queue, 141, &entry));
    CU_ASSERT_EQUAL(EbQueue_Count(queue), 0);
    EbQueue_Free(queue);
}

/* Guards against a queue that grows without bound. */
static void
test_bound(void)
{
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 3);
    push(queue, 1, "a", 1, 1, 100);
    push(queue, 2, "a", 1, 1, 100);
    push(queue, 3, "a", 1, 1, 100);
    EbQueueEntry entry = {.id = 4, .customer = "b", .weight = 1, .cost = 1};
    CU_ASSERT_FALSE(EbQueue_Push(queue, &entry, 0));
    CU_ASSERT_FALSE(EbQueue_Remove(queue, 4));
    CU_ASSERT_TRUE(EbQueue_Remove(queue, 2));
    CU_ASSERT_TRUE(EbQueue_Push(queue, &entry, 0));
    EbQueue_Free(queue);
}

enum { MODEL_IDS = 20000 };

typedef struct {
    int64_t deadline_us[MODEL_IDS];
    int64_t latest_start_us[MODEL_IDS];
    char customer[MODEL_IDS];
    bool waiting[MODEL_IDS];
    size_t count;
} Model;

/* Returns whether no waiting entry of the same customer has an earlier
 * deadline that can still be met. Looks only at the last 500 entries: one is
 * pushed each microsecond, and all deadlines are less than 400 us away, so
 * older entries have expired. */
static bool
has_earliest_deadline(const Model *model, uint64_t pushed, uint64_t id,
                      int64_t now_us)
{
    uint64_t from = pushed > 500 ? pushed - 500 : 0;
    for (uint64_t other = from; other < pushed; other++) {
        if (model->waiting[other] &&
            model->customer[other] == model->customer[id] &&
            model->latest_start_us[other] >= now_us &&
            model->deadline_us[other] < model->deadline_us[id]) {
            return false;
        }
    }
    return true;
}

/* Removes an entry that the queue returned and checks that it was waiting. */
static void
remove_id(Model *model, uint64_t id)
{
    CU_ASSERT_TRUE(model->waiting[id]);
    model->waiting[id] = false;
    model->count--;
}

/* Guards against entries that are lost, returned twice, served too late or in
 * the wrong order by a random mix of all operations. */
static void
test_random_operations(void)
{
    static Model model;
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 200);
    EbRandom random;
    EbRandom_Init(&random, 5);
    uint64_t pushed = 0;
    EbQueueEntry entry;
    for (int64_t now_us = 0; pushed < MODEL_IDS; now_us++) {
        char name[2] = {(char)('a' + EbRandom_Below(&random, 7)), '\0'};
        entry = (EbQueueEntry){
            .id = pushed,
            .customer = name,
            .weight = 1 + (uint32_t)EbRandom_Below(&random, 4),
            .cost = 1 + (uint32_t)EbRandom_Below(&random, 9),
            .deadline_us = now_us + (int64_t)EbRandom_Below(&random, 400),
            .needed_us = (int64_t)EbRandom_Below(&random, 50)};
        model.deadline_us[pushed] = entry.deadline_us;
        model.latest_start_us[pushed] = entry.deadline_us - entry.needed_us;
        model.customer[pushed] = name[0];
        bool added = EbQueue_Push(queue, &entry, now_us);
        CU_ASSERT_EQUAL(added, model.count < 200);
        model.waiting[pushed++] = added;
        model.count += added;
        switch (EbRandom_Below(&random, 4)) {
        case 0:
            if (EbQueue_PopExpired(queue, now_us, &entry)) {
                CU_ASSERT_TRUE(model.latest_start_us[entry.id] < now_us);
                remove_id(&model, entry.id);
            }
            break;
        case 1: {
            uint64_t id = EbRandom_Below(&random, pushed);
            bool waiting = model.waiting[id];
            CU_ASSERT_EQUAL(EbQueue_Remove(queue, id), waiting);
            if (waiting) {
                remove_id(&model, id);
            }
            break;
        }
        default:
            if (EbQueue_Pop(queue, now_us, &entry)) {
                CU_ASSERT_TRUE(model.latest_start_us[entry.id] >= now_us);
                CU_ASSERT_TRUE(
                    has_earliest_deadline(&model, pushed, entry.id, now_us));
                remove_id(&model, entry.id);
            }
            break;
        }
        CU_ASSERT_EQUAL(EbQueue_Count(queue), model.count);
    }
    EbQueue_Free(queue);
}

typedef struct {
    uint32_t offered[3];
    uint32_t served[3];
} ClassCounts;

/* Serves one entry every 10 ms, while each class offers one every
 * `interval_us`; entries can wait for 300 ms. */
static void
play_classes(const int64_t *intervals_us, ClassCounts *counts)
{
    EbQueue *queue = new_queue(EB_QUEUE_WEIGHTED_FAIR, 0);
    uint64_t id = 0;
    for (int64_t now_us = 0; now_us < 60000000; now_us += 1000) {
        for (uint32_t i = 0; i < 3; i++) {
            if (now_us % intervals_us[i] == 0) {
                id++;
                EbQueueEntry entry = {.id = id,
                                      .customer = id % 3 == 0 ? "a" : "b",
                                      .weight = 1,
                                      .cost = 1,
                                      .deadline_us = now_us + 300000,
                                      .urgency = i};
                CU_ASSERT_TRUE_FATAL(EbQueue_Push(queue, &entry, now_us));
                counts->offered[i]++;
            }
        }
        EbQueueEntry entry;
        while (EbQueue_PopExpired(queue, now_us, &entry)) {
        }
        if (now_us % 10000 == 0 && EbQueue_Pop(queue, now_us, &entry)) {
            counts->served[entry.urgency]++;
        }
    }
    EbQueue_Free(queue);
}

/* Guards against a class that is served less often than a less urgent one, and
 * against one that is starved: each gets at least a tenth of the service in a
 * shortage that lasts, as far as it asks for it. */
static void
test_urgency(void)
{
    static const struct {
        int64_t intervals_us[3];
    } rows[] = {
        {{20000, 25000, 20000}}, /* 140% of the room */
        {{10000, 10000, 10000}}, /* 300% */
        {{5000, 50000, 5000}},   /* the first class alone asks for 200% */
        {{40000, 40000, 40000}}, /* enough room */
    };
    const double total = 6000;
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        ClassCounts counts = {0};
        play_classes(rows[i].intervals_us, &counts);
        double share[3];
        for (uint32_t c = 0; c < 3; c++) {
            share[c] = counts.served[c] / (double)counts.offered[c];
            CU_ASSERT_TRUE(counts.served[c] >=
                           fmin(0.098 * total, 0.97 * counts.offered[c]));
        }
        /* The second class of the third row asks for less than its least
         * share. */
        CU_ASSERT_TRUE(i == 2 || share[0] > share[1] - 0.05);
        CU_ASSERT_TRUE(share[1] > share[2] - 0.05);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"lag bound", test_lag_bound},
        {"burst", test_burst},
        {"orders", test_orders},
        {"expiry", test_expiry},
        {"bound", test_bound},
        {"urgency", test_urgency},
        {"random operations", test_random_operations},
    };
    return EbTest_Run("test_queue", cases, TABLE_COUNT(cases));
}
