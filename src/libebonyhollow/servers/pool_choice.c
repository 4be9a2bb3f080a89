#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "pool_state.h"

/* Load reports arrive with a lag; half of a report's weight is lost in the
 * time in which a call of a typical stage ends. */
#define REPORT_HALF_LIFE_US 1000000
#define MAX_FAILURE_RATE 0.9
#define RANDOM_PROBES 6
/* Scores closer than this are equal. Otherwise a pool of two at low load would
 * always use one server, and never measure the other again after a single
 * failure. */
#define CHOICE_MARGIN 0.9
/* A server with a cached prefix is used up to this share of its capacity in
 * any case, and beyond it while it is not much busier than the alternative. */
#define AFFINITY_FREE_LOAD 0.5
#define AFFINITY_TOLERANCE 1.25
/* Bounds of a server that calls with the same key go to: bounded loads
 * (Mirrokni, Thorup, Zadimoghaddam 2018). */
#define AFFINE_BOUND 1.5
#define AFFINE_FREE_CALLS 3
#define AFFINE_MAX_SLOWNESS 2.0 /* of the pool's median latency */

static bool
is_excluded(const EbPoolCriteria *criteria, const EbPoolServer *server)
{
    for (uint32_t i = 0; i < criteria->excluded_count; i++) {
        if (strcmp(criteria->excluded[i], server->id) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether a server may take the call at all, ejected or not. */
static bool
is_eligible(const EbPoolServer *server, const EbPoolCriteria *criteria)
{
    return !server->leaving && !is_excluded(criteria, server) &&
           (criteria->accept == NULL ||
            criteria->accept(criteria->context, server->id));
}

uint32_t
EbPool_Slots(const EbPoolServer *server, int64_t now_us)
{
    double slots = server->limit * EbPool_SlowStartShare(server, now_us);
    return slots < 1 ? 1 : MIN((uint32_t)slots, server->connection_share);
}

static bool
has_slot(const EbPoolServer *server, int64_t now_us)
{
    return server->in_flight < EbPool_Slots(server, now_us);
}

static bool
is_usable(const EbPoolServer *server, const EbPoolCriteria *criteria,
          int64_t now_us)
{
    return !server->ejected && has_slot(server, now_us) &&
           is_eligible(server, criteria);
}

/* Returns own calls in flight and, by its age, what the last report says of
 * the calls of other daemons. */
static double
estimate_load(const EbPoolServer *server, int64_t now_us)
{
    double load = server->in_flight;
    if (server->has_report && server->reported_load > server->own_at_report) {
        double age = (double)(now_us - server->reported_us);
        double others = server->reported_load - server->own_at_report;
        load += others * exp2(-fmax(age, 0) / REPORT_HALF_LIFE_US);
    }
    return load;
}

static double
utilisation(const EbPoolServer *server, int64_t now_us)
{
    return (estimate_load(server, now_us) + 1) / server->config->capacity /
           EbPool_SlowStartShare(server, now_us);
}

/* Expected time to a successful answer, up to a constant factor. */
static double
score(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    double failing =
        fmin(EbPool_FailureRate(server, now_us), MAX_FAILURE_RATE);
    return utilisation(server, now_us) * EbPool_Latency(pool, server, now_us) /
           (1 - failing);
}

/* Draws a usable member other than `other`, uniformly: a few probes first,
 * then a scan of the whole subset. */
static EbPoolServer *
draw(EbPool *pool, const EbPoolCriteria *criteria, const EbPoolServer *other,
     int64_t now_us)
{
    for (int i = 0; i < RANDOM_PROBES && pool->member_count > 0; i++) {
        EbPoolServer *server =
            pool->members[EbRandom_Below(pool->random, pool->member_count)];
        if (server != other && is_usable(server, criteria, now_us)) {
            return server;
        }
    }
    EbPoolServer *drawn = NULL;
    uint64_t seen = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        if (server != other && is_usable(server, criteria, now_us) &&
            EbRandom_Below(pool->random, ++seen) == 0) {
            drawn = server;
        }
    }
    return drawn;
}

/* Finds the least bad ejected server when every eligible one is ejected. */
static EbPoolServer *
choose_ejected(const EbPool *pool, const EbPoolCriteria *criteria,
               int64_t now_us)
{
    EbPoolServer *best = NULL;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        if (!is_eligible(server, criteria)) {
            continue;
        }
        if (!server->ejected) {
            return NULL; /* it is full; the call waits for its slot */
        }
        if (has_slot(server, now_us) &&
            (best == NULL ||
             score(pool, server, now_us) < score(pool, best, now_us))) {
            best = server;
        }
    }
    return best;
}

/* Returns the server with a cached prefix if it is usable and not loaded. */
static EbPoolServer *
choose_preferred(const EbPool *pool, const EbPoolCriteria *criteria,
                 const EbPoolServer *alternative, int64_t now_us)
{
    EbPoolServer *preferred =
        g_hash_table_lookup(pool->by_id, criteria->preferred);
    if (preferred == NULL || !is_usable(preferred, criteria, now_us)) {
        return NULL;
    }
    for (uint32_t i = 0; i < pool->member_count; i++) {
        if (pool->members[i] != preferred) {
            continue;
        }
        double slower =
            pool->median_us > 0
                ? EbPool_Latency(pool, preferred, now_us) / pool->median_us
                : 1;
        double load = utilisation(preferred, now_us) * fmax(slower, 1);
        bool idle = load <= AFFINITY_FREE_LOAD;
        return idle || load <= AFFINITY_TOLERANCE *
                                   utilisation(alternative, now_us)
                   ? preferred
                   : NULL;
    }
    return NULL;
}

/* Whether a server is fit for calls with affinity: neither much slower nor
 * much busier with own calls than the others. */
static bool
takes_affine(const EbPool *pool, const EbPoolServer *server, double mean_calls,
             int64_t now_us)
{
    bool slow =
        pool->median_us > 0 && EbPool_Latency(pool, server, now_us) >
                                   AFFINE_MAX_SLOWNESS * pool->median_us;
    return !slow &&
           server->in_flight <= AFFINE_FREE_CALLS + AFFINE_BOUND * mean_calls;
}

const EbConfigBackendServer *
EbPool_ChooseAffine(const EbPool *pool, const EbPoolCriteria *criteria,
                    uint64_t key, int64_t now_us)
{
    double calls = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        calls += pool->members[i]->in_flight;
    }
    double mean_calls = calls / fmax(pool->member_count, 1);
    const EbPoolServer *best = NULL;
    uint64_t highest = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        uint64_t weight = XXH64(server->id, strlen(server->id), key);
        if ((best == NULL || weight > highest) &&
            is_usable(server, criteria, now_us) &&
            takes_affine(pool, server, mean_calls, now_us)) {
            best = server;
            highest = weight;
        }
    }
    return best != NULL ? best->config : NULL;
}

static EbPoolServer *
choose_adaptive(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us)
{
    EbPoolServer *first = draw(pool, criteria, NULL, now_us);
    if (first == NULL) {
        return choose_ejected(pool, criteria, now_us);
    }
    EbPoolServer *second = draw(pool, criteria, first, now_us);
    EbPoolServer *best = first;
    if (second != NULL && score(pool, second, now_us) <
                              CHOICE_MARGIN * score(pool, first, now_us)) {
        best = second;
    }
    EbPoolServer *preferred = NULL;
    if (criteria->preferred != NULL) {
        preferred = choose_preferred(pool, criteria, best, now_us);
    }
    return preferred != NULL ? preferred : best;
}

static EbPoolServer *
choose_round_robin(EbPool *pool, const EbPoolCriteria *criteria,
                   int64_t now_us)
{
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server =
            pool->members[pool->next_member++ % pool->member_count];
        if (is_usable(server, criteria, now_us)) {
            return server;
        }
    }
    return NULL;
}

const EbPoolPolicyRow EbPool_policies[EB_POOL_POLICY_COUNT] = {
    [EB_POOL_ADAPTIVE] = {choose_adaptive, true},
    [EB_POOL_ROUND_ROBIN] = {choose_round_robin, false},
};
