#include "ebonyhollow/retry_budget.h"

#include <assert.h>

#define PERMILLE 1000
#define DEFAULT_SHARE_PERMILLE 100
#define DEFAULT_INITIAL_BALANCE 3
#define DEFAULT_MAX_BALANCE 20
/* About ten round trips between failure domains. */
#define BACKOFF_BASE_US 25000
/* A tenth of the deadline of 11 s, so that several retries still fit. */
#define BACKOFF_MAX_US 1000000

static uint32_t
value_or(uint32_t value, uint32_t fallback)
{
    return value != 0 ? value : fallback;
}

static void
deposit(EbRetryBudget *budget, uint64_t permille)
{
    budget->balance_permille += permille;
    if (budget->balance_permille > budget->max_balance_permille) {
        budget->balance_permille = budget->max_balance_permille;
    }
}

void
EbRetryBudget_Init(EbRetryBudget *budget, const EbRetryBudgetOptions *options)
{
    uint64_t initial_balance =
        value_or(options->initial_balance, DEFAULT_INITIAL_BALANCE);
    uint64_t max_balance = value_or(options->max_balance, DEFAULT_MAX_BALANCE);
    *budget = (EbRetryBudget){
        .max_balance_permille = max_balance * PERMILLE,
        .share_permille =
            value_or(options->share_permille, DEFAULT_SHARE_PERMILLE),
    };
    deposit(budget, initial_balance * PERMILLE);
}

void
EbRetryBudget_RecordFirstCall(EbRetryBudget *budget)
{
    budget->first_calls++;
    deposit(budget, budget->share_permille);
}

bool
EbRetryBudget_Take(EbRetryBudget *budget)
{
    if (budget->balance_permille < PERMILLE) {
        budget->refused_calls++;
        return false;
    }
    budget->balance_permille -= PERMILLE;
    budget->extra_calls++;
    return true;
}

void
EbRetryBudget_Refund(EbRetryBudget *budget)
{
    assert(budget->extra_calls > 0);
    budget->extra_calls--;
    deposit(budget, PERMILLE);
}

int64_t
EbRetryBudget_BackoffDelay(EbRandom *random, uint32_t attempt)
{
    int64_t bound_us = BACKOFF_BASE_US;
    for (uint32_t i = 1; i < attempt && bound_us < BACKOFF_MAX_US; i++) {
        bound_us *= 2;
    }
    if (bound_us > BACKOFF_MAX_US) {
        bound_us = BACKOFF_MAX_US;
    }
    return (int64_t)EbRandom_Below(random, (uint64_t)bound_us + 1);
}
