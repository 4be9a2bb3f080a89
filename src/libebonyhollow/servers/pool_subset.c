#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "pool_state.h"

uint64_t
EbPool_HashRank(const char *instance, const char *server_id)
{
    XXH64_hash_t seed = XXH64(instance, strlen(instance), 0);
    return XXH64(server_id, strlen(server_id), seed);
}

static int
compare_ranks(const void *left, const void *right)
{
    const EbPoolServer *a = *(EbPoolServer *const *)left;
    const EbPoolServer *b = *(EbPoolServer *const *)right;
    if (a->rank != b->rank) {
        return a->rank > b->rank ? -1 : 1;
    }
    return strcmp(a->id, b->id);
}

static bool
is_in_own_domain(const EbPool *pool, const EbPoolServer *server)
{
    return strcmp(server->config->failure_domain, pool->failure_domain) == 0;
}

static bool
takes_new_calls(const EbPool *pool, const EbPoolServer *server)
{
    return !server->leaving && !EbPool_IsClosed(pool, server);
}

/* Divides the size of the subset between this daemon's failure domain and the
 * others. A third comes from the others, so that after the loss of its own
 * domain the daemon still has servers whose latency is known. */
static void
split_subset_size(const EbPool *pool, uint32_t *own, uint32_t *others)
{
    uint32_t own_count = 0, other_count = 0;
    for (uint32_t i = 0; i < pool->server_count; i++) {
        if (takes_new_calls(pool, pool->servers[i])) {
            (*(is_in_own_domain(pool, pool->servers[i]) ? &own_count
                                                        : &other_count))++;
        }
    }
    uint32_t size = pool->config->subset_size;
    *others = MIN(other_count, (size + 2) / 3);
    *own = MIN(own_count, size - *others);
    *others = MIN(other_count, size - *own);
}

/* Chooses the servers with the highest ranks in each of the two groups.
 * Leaving servers among them, and those in closed failure domains, stay
 * members for their calls in flight but don't count, so that each of them adds
 * one new server and changes nothing else. */
void
EbPool_BuildSubset(EbPool *pool)
{
    pool->member_count = 0;
    uint32_t size = pool->config->subset_size;
    if (size == 0 || size >= pool->server_count) {
        for (uint32_t i = 0; i < pool->server_count; i++) {
            pool->members[pool->member_count++] = pool->servers[i];
        }
        return;
    }
    uint32_t wanted[2];
    split_subset_size(pool, &wanted[true], &wanted[false]);
    EbPoolServer **ranked = g_new(EbPoolServer *, pool->server_count);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        ranked[i] = pool->servers[i];
    }
    qsort(ranked, pool->server_count, sizeof(EbPoolServer *), compare_ranks);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        uint32_t *remaining = &wanted[is_in_own_domain(pool, ranked[i])];
        if (*remaining > 0) {
            *remaining -= takes_new_calls(pool, ranked[i]) ? 1 : 0;
            pool->members[pool->member_count++] = ranked[i];
        }
    }
    g_free(ranked);
}
