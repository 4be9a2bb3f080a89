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
is_own(const EbPool *pool, const EbPoolServer *server)
{
    return strcmp(server->config->failure_domain, pool->failure_domain) == 0;
}

/* Divides the subset's size between the own failure domain and the others. A
 * third comes from others, so that the loss of the own domain leaves
 * measured servers to go on with. */
static void
divide_size(const EbPool *pool, uint32_t *own, uint32_t *others)
{
    uint32_t own_count = 0, other_count = 0;
    for (uint32_t i = 0; i < pool->server_count; i++) {
        if (!pool->servers[i]->leaving) {
            (*(is_own(pool, pool->servers[i]) ? &own_count : &other_count))++;
        }
    }
    uint32_t size = pool->config->subset_size;
    *others = MIN(other_count, (size + 2) / 3);
    *own = MIN(own_count, size - *others);
    *others = MIN(other_count, size - *own);
}

/* Takes the highest ranks of each group. Leaving servers on the way are kept
 * for their calls in flight but don't count, so that a server that leaves
 * adds one new server and changes nothing else. */
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
    divide_size(pool, &wanted[true], &wanted[false]);
    EbPoolServer **ranked = g_new(EbPoolServer *, pool->server_count);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        ranked[i] = pool->servers[i];
    }
    qsort(ranked, pool->server_count, sizeof(EbPoolServer *), compare_ranks);
    for (uint32_t i = 0; i < pool->server_count; i++) {
        uint32_t *left = &wanted[is_own(pool, ranked[i])];
        if (*left > 0) {
            *left -= ranked[i]->leaving ? 0 : 1;
            pool->members[pool->member_count++] = ranked[i];
        }
    }
    g_free(ranked);
}
