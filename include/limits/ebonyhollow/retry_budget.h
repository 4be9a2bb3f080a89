/* EbRetryBudget: the budget for extra calls of one stage, and their delays.
 *
 * Retries and hedges draw from one bucket that fresh calls fill with a fixed
 * share, so that extra load stays bounded when everything fails at once. */
#ifndef EBONYHOLLOW_RETRY_BUDGET_H
#define EBONYHOLLOW_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/random.h"

typedef struct {
    uint32_t share_permille;  /* extra calls per fresh call; 0: 100 */
    uint32_t initial_balance; /* extra calls allowed at start; 0: 3 */
    uint32_t max_balance;     /* bound of the bucket; 0: 20 */
} EbRetryBudgetOptions;

typedef struct {
    uint64_t balance_permille;
    uint64_t max_balance_permille;
    uint32_t share_permille;
    uint64_t first_calls;
    uint64_t extra_calls;
    uint64_t refused_calls;
} EbRetryBudget;

void EbRetryBudget_Init(EbRetryBudget *budget,
                        const EbRetryBudgetOptions *options);

/* Counts a fresh call. */
void EbRetryBudget_RecordFirstCall(EbRetryBudget *budget);

/* Takes one extra call from the budget. Returns false when it is spent. */
bool EbRetryBudget_Take(EbRetryBudget *budget);

/* Gives back a call taken but not sent. */
void EbRetryBudget_Refund(EbRetryBudget *budget);

/* Delay before retry number `attempt` (1 is the first retry): full jitter
 * over an exponentially growing bound. */
int64_t EbRetryBudget_BackoffDelay(EbRandom *random, uint32_t attempt);

#endif
