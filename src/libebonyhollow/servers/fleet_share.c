#include "ebonyhollow/fleet_share.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

/* A call takes one token. It may start a little earlier, so that rounding of
 * times does not hold it back again. */
#define MIN_TOKENS 0.999999

struct EbFleetShare {
    char *instance;
    GPtrArray *live;
    GPtrArray *lost;
    bool is_member;
};

EbFleetShare *
EbFleetShare_New(const char *instance)
{
    EbFleetShare *fleet = g_new0(EbFleetShare, 1);
    fleet->instance = g_strdup(instance);
    fleet->live = g_ptr_array_new_with_free_func(g_free);
    fleet->lost = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(fleet->live, g_strdup(instance));
    fleet->is_member = true;
    return fleet;
}

void
EbFleetShare_Free(EbFleetShare *fleet)
{
    if (fleet == NULL) {
        return;
    }
    g_ptr_array_unref(fleet->live);
    g_ptr_array_unref(fleet->lost);
    g_free(fleet->instance);
    g_free(fleet);
}

void
EbFleetShare_SetMembers(EbFleetShare *fleet, const char *const *live,
                        size_t live_count, const char *const *lost,
                        size_t lost_count)
{
    g_ptr_array_set_size(fleet->live, 0);
    g_ptr_array_set_size(fleet->lost, 0);
    fleet->is_member = false;
    for (size_t i = 0; i < live_count; i++) {
        g_ptr_array_add(fleet->live, g_strdup(live[i]));
        fleet->is_member =
            fleet->is_member || strcmp(live[i], fleet->instance) == 0;
    }
    for (size_t i = 0; i < lost_count; i++) {
        g_ptr_array_add(fleet->lost, g_strdup(lost[i]));
    }
}

bool
EbFleetShare_IsMember(const EbFleetShare *fleet)
{
    return fleet->is_member;
}

size_t
EbFleetShare_LiveCount(const EbFleetShare *fleet)
{
    return fleet->live->len;
}

size_t
EbFleetShare_KnownCount(const EbFleetShare *fleet)
{
    return (size_t)fleet->live->len + fleet->lost->len;
}

static uint64_t
hash_pair(const char *instance, uint64_t server_hash)
{
    return XXH64(instance, strlen(instance), server_hash);
}

static size_t
count_before(const EbFleetShare *fleet, const GPtrArray *names,
             const char *server_id)
{
    uint64_t server_hash = XXH64(server_id, strlen(server_id), 0);
    uint64_t own = hash_pair(fleet->instance, server_hash);
    size_t count = 0;
    for (guint i = 0; i < names->len; i++) {
        count += hash_pair(g_ptr_array_index(names, i), server_hash) > own;
    }
    return count;
}

size_t
EbFleetShare_LiveRank(const EbFleetShare *fleet, const char *server_id)
{
    return count_before(fleet, fleet->live, server_id);
}

size_t
EbFleetShare_KnownRank(const EbFleetShare *fleet, const char *server_id)
{
    return count_before(fleet, fleet->live, server_id) +
           count_before(fleet, fleet->lost, server_id);
}

double
EbTokenBucket_TokensAt(const EbTokenBucket *bucket, int64_t now_us)
{
    int64_t passed_us = MAX(now_us - bucket->filled_us, 0);
    double gained = (double)passed_us / G_USEC_PER_SEC * bucket->per_s;
    return fmin(bucket->tokens + gained, bucket->max_tokens);
}

static void
refill(EbTokenBucket *bucket, int64_t now_us)
{
    bucket->tokens = EbTokenBucket_TokensAt(bucket, now_us);
    bucket->filled_us = MAX(bucket->filled_us, now_us);
}

void
EbTokenBucket_SetRate(EbTokenBucket *bucket, double per_s, double max_tokens,
                      int64_t now_us)
{
    refill(bucket, now_us);
    bucket->per_s = per_s;
    bucket->max_tokens = max_tokens;
    if (per_s <= 0) {
        bucket->tokens = 0;
    }
    bucket->tokens = fmin(bucket->tokens, max_tokens);
}

void
EbTokenBucket_Take(EbTokenBucket *bucket, int64_t now_us)
{
    refill(bucket, now_us);
    bucket->tokens -= 1;
}

int64_t
EbTokenBucket_NextToken(const EbTokenBucket *bucket, int64_t now_us)
{
    double tokens = EbTokenBucket_TokensAt(bucket, now_us);
    if (tokens >= MIN_TOKENS) {
        return now_us;
    }
    if (bucket->per_s <= 0) {
        return INT64_MAX;
    }
    double wait_us = (1 - tokens) / bucket->per_s * G_USEC_PER_SEC;
    return now_us + (int64_t)ceil(wait_us);
}
