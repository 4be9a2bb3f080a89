/* EbRetry: the budget for extra calls of one stage, and their delays.
 *
 * Retries and hedges draw from one bucket that fresh calls fill with a fixed
 * share, so that extra load stays bounded when everything fails at once. */
#ifndef EBONYHOLLOW_RETRY_H
#define EBONYHOLLOW_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/random.h"

typedef struct {
    uint32_t share_permille; /* extra calls per fresh call; 0: 100 */
    uint32_t reserve;        /* extra calls allowed at start; 0: 3 */
    uint32_t max_saved;      /* bound of the bucket; 0: 20 */
} EbRetryOptions;

typedef struct {
    uint64_t saved_permille;
    uint64_t max_permille;
    uint32_t share_permille;
    uint64_t fresh_calls;
    uint64_t extra_calls;
    uint64_t refused_calls;
} EbRetry;

void EbRetry_Init(EbRetry *retry, const EbRetryOptions *options);

/* Counts a fresh call. */
void EbRetry_Fresh(EbRetry *retry);

/* Takes one extra call from the budget. Returns false when it is spent. */
bool EbRetry_Take(EbRetry *retry);

/* Gives back a call taken but not sent. */
void EbRetry_Return(EbRetry *retry);

/* Delay before retry number `attempt` (1 is the first retry): full jitter
 * over an exponentially growing bound. */
int64_t EbRetry_Backoff(EbRandom *random, uint32_t attempt);

#endif
