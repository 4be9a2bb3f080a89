/* Tests of the retry budget and backoff. */
#include "ebonyhollow/retry_budget.h"

#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* Guards against retries and hedges that multiply the load when every call
 * fails. */
static void
test_budget_share(void)
{
    static const struct {
        EbRetryBudgetOptions options;
        uint32_t share_permille;
        uint32_t initial_balance;
    } rows[] = {
        {{0}, 100, 3},
        {{.share_permille = 250, .initial_balance = 1, .max_balance = 5},
         250,
         1},
        {{.initial_balance = 50, .max_balance = 4}, 100, 4},
    };
    enum { FIRST_CALLS = 10000 };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbRetryBudget budget;
        EbRetryBudget_Init(&budget, &rows[i].options);
        uint64_t taken = 0;
        for (int call = 0; call < FIRST_CALLS; call++) {
            EbRetryBudget_RecordFirstCall(&budget);
            while (EbRetryBudget_Take(&budget)) {
                taken++;
            }
        }
        uint64_t share = (uint64_t)FIRST_CALLS / 1000 * rows[i].share_permille;
        CU_ASSERT_TRUE(taken <= share + rows[i].initial_balance);
        CU_ASSERT_TRUE(taken >= share);
        CU_ASSERT_EQUAL(budget.extra_calls, taken);
        CU_ASSERT_EQUAL(budget.refused_calls, FIRST_CALLS);
    }
}

/* Guards against an unbounded burst of extra calls after a time with few
 * failures, and against the loss of a call that was taken from the budget and
 * then not sent. */
static void
test_budget_bound(void)
{
    EbRetryBudget budget;
    EbRetryBudget_Init(&budget, &(EbRetryBudgetOptions){0});
    for (int i = 0; i < 100000; i++) {
        EbRetryBudget_RecordFirstCall(&budget);
    }
    int taken = 0;
    while (EbRetryBudget_Take(&budget)) {
        taken++;
    }
    CU_ASSERT_EQUAL(taken, 20);
    EbRetryBudget_Refund(&budget);
    CU_ASSERT_EQUAL(budget.extra_calls, 19);
    CU_ASSERT_TRUE(EbRetryBudget_Take(&budget));
    CU_ASSERT_FALSE(EbRetryBudget_Take(&budget));
}

/* Guards against synchronised retries and unbounded delays. */
static void
test_backoff(void)
{
    static const struct {
        uint32_t attempt;
        int64_t bound_us;
    } rows[] = {{1, 25000},  {2, 50000},   {3, 100000},
                {6, 800000}, {7, 1000000}, {UINT32_MAX, 1000000}};
    EbRandom random;
    EbRandom_Init(&random, 3);
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        int64_t sum_us = 0;
        for (int draw = 0; draw < 4000; draw++) {
            int64_t delay_us =
                EbRetryBudget_BackoffDelay(&random, rows[i].attempt);
            CU_ASSERT_TRUE(delay_us >= 0 && delay_us <= rows[i].bound_us);
            sum_us += delay_us;
        }
        /* With full jitter the mean is half of the bound. */
        double mean = (double)sum_us / 4000 / (double)rows[i].bound_us;
        CU_ASSERT_TRUE(mean > 0.47 && mean < 0.53);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"budget share", test_budget_share},
        {"budget bound", test_budget_bound},
        {"backoff", test_backoff},
    };
    return EbTest_Run("test_retry_budget", cases, TABLE_COUNT(cases));
}
