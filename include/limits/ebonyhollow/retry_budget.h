/* EbRetryBudget: the budget for extra calls to one pool, and retry delays.
 *
 * Extra calls are retries and hedges. They are paid from one token bucket to
 * which each first call adds a fixed share, so that the extra load stays
 * bounded when all calls fail at once. */
#ifndef EBONYHOLLOW_RETRY_BUDGET_H
#define EBONYHOLLOW_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/random.h"

typedef struct {
    uint32_t share_permille;  /* extra calls per 1000 first calls; 0: 100 */
    uint32_t initial_balance; /* extra calls allowed at the start; 0: 3 */
    uint32_t max_balance;     /* limit on unused extra calls; 0: 20 */
} EbRetryBudgetOptions;

typedef struct {
    uint64_t balance_permille; /* thousandths of an extra call */
    uint64_t max_balance_permille;
    uint32_t share_permille;
    uint64_t first_calls;
    uint64_t extra_calls;
    uint64_t refused_calls; /* extra calls that the budget did not allow */
} EbRetryBudget;

void EbRetryBudget_Init(EbRetryBudget *budget,
                        const EbRetryBudgetOptions *options);

/* Counts a first call and adds its share to the budget. */
void EbRetryBudget_RecordFirstCall(EbRetryBudget *budget);

/* Takes one extra call from the budget. Returns false when the budget is
 * exhausted. */
bool EbRetryBudget_Take(EbRetryBudget *budget);

/* Undoes EbRetryBudget_Take for an extra call that was not sent. */
void EbRetryBudget_Refund(EbRetryBudget *budget);

/* Returns the delay before retry number `attempt` in microseconds; 1 is the
 * first retry. The delay is uniform between 0 and a bound that doubles with
 * each retry up to 1 s (full jitter). */
int64_t EbRetryBudget_BackoffDelay(EbRandom *random, uint32_t attempt);

#endif
