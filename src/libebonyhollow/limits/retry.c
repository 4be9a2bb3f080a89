#include "ebonyhollow/retry.h"

#include <assert.h>

#define PERMILLE 1000
#define DEFAULT_SHARE_PERMILLE 100
#define DEFAULT_RESERVE 3
#define DEFAULT_MAX_SAVED 20
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
save(EbRetry *retry, uint64_t permille)
{
    retry->saved_permille += permille;
    if (retry->saved_permille > retry->max_permille) {
        retry->saved_permille = retry->max_permille;
    }
}

void
EbRetry_Init(EbRetry *retry, const EbRetryOptions *options)
{
    uint64_t reserve = value_or(options->reserve, DEFAULT_RESERVE);
    uint64_t max_saved = value_or(options->max_saved, DEFAULT_MAX_SAVED);
    *retry = (EbRetry){
        .max_permille = max_saved * PERMILLE,
        .share_permille =
            value_or(options->share_permille, DEFAULT_SHARE_PERMILLE),
    };
    save(retry, reserve * PERMILLE);
}

void
EbRetry_Fresh(EbRetry *retry)
{
    retry->fresh_calls++;
    save(retry, retry->share_permille);
}

bool
EbRetry_Take(EbRetry *retry)
{
    if (retry->saved_permille < PERMILLE) {
        retry->refused_calls++;
        return false;
    }
    retry->saved_permille -= PERMILLE;
    retry->extra_calls++;
    return true;
}

void
EbRetry_Return(EbRetry *retry)
{
    assert(retry->extra_calls > 0);
    retry->extra_calls--;
    save(retry, PERMILLE);
}

int64_t
EbRetry_Backoff(EbRandom *random, uint32_t attempt)
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
