#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "pool_state.h"

#define US_PER_S 1e6
#define FULL_MEMORY_S 1.0
/* Shares of the time without a slot at which the subset changes, and the
 * least time between two changes. It shrinks slowly, since a server that is
 * added has to be measured first. */
#define GROW_FULL_SHARE 0.8
#define GROW_INTERVAL_US 500000
#define SHRINK_FULL_SHARE 0.2
#define SHRINK_INTERVAL_US 10000000
/* Daemons that are all short must not connect to all servers. */
#define MAX_GROWTH 2

uint64_t
EbPool_Rank(const char *instance, const char *server_id)
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
    uint32_t size = pool->config->subset_size + pool->extra_members;
    *others = MIN(other_count, (size + 2) / 3);
    *own = MIN(own_count, size - *others);
    *others = MIN(other_count, size - *own);
}

/* A server that leaves the subset is not looked at until it is used again. */
static void
forget_ejections(EbPool *pool)
{
    GHashTable *members = g_hash_table_new(NULL, NULL);
    for (uint32_t i = 0; i < pool->member_count; i++) {
        g_hash_table_add(members, pool->members[i]);
    }
    for (uint32_t i = 0; i < pool->server_count; i++) {
        EbPoolServer *server = pool->servers[i];
        if (server->ejected && !g_hash_table_contains(members, server)) {
            server->ejected = false;
            server->cause = "";
            server->until_us = 0;
            pool->ejected_count--;
        }
    }
    g_hash_table_destroy(members);
}

/* Takes the highest ranks of each group. Leaving servers on the way are kept
 * for their calls in flight but don't count, so that a server that leaves
 * adds one new server and changes nothing else. */
void
EbPool_BuildSubset(EbPool *pool)
{
    pool->member_count = 0;
    uint32_t size = pool->config->subset_size;
    size += size > 0 ? pool->extra_members : 0;
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
    forget_ejections(pool);
}

/* Changes the size by one server when the subset was busy for most of the
 * time, or was not for long. */
void
EbPool_ResizeSubset(EbPool *pool, int64_t now_us)
{
    uint32_t size = pool->config->subset_size;
    if (size == 0 || size >= pool->server_count) {
        return;
    }
    double elapsed_s = (double)(now_us - pool->full_us) / US_PER_S;
    double gain = 1 - exp(-fmax(elapsed_s, 0) / FULL_MEMORY_S);
    bool full = EbPool_HasServer(pool) && !EbPool_HasSlot(pool, now_us);
    pool->full_share += gain * (full - pool->full_share);
    pool->full_us = now_us;
    int64_t unchanged_us = now_us - pool->resized_us;
    uint32_t largest = MIN(MAX_GROWTH * size, pool->server_count) - size;
    if (pool->full_share > GROW_FULL_SHARE && pool->extra_members < largest &&
        unchanged_us >= GROW_INTERVAL_US) {
        pool->extra_members++;
    }
    else if (pool->extra_members > 0 && pool->full_share < SHRINK_FULL_SHARE &&
             unchanged_us >= SHRINK_INTERVAL_US) {
        pool->extra_members--;
    }
    else {
        return;
    }
    pool->resized_us = now_us;
    EbPool_BuildSubset(pool);
}
