#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "pool_state.h"

/* Load reports arrive late. A report loses half of its weight in about the
 * time of one call of a typical stage. */
#define REPORT_HALF_LIFE_US 1000000
#define MAX_FAILURE_RATE 0.9 /* keeps the cost finite */
#define RANDOM_PROBES 6
/* The second server is used only if its cost is below this part of the first
 * one's. Otherwise a pool of two at low load would always use one server, and
 * never measure the other again after a single failure. */
#define CHOICE_MARGIN 0.9
/* A server with a cached prefix is always used up to this share of its
 * capacity, and beyond it as long as it is not much busier than the
 * alternative. */
#define PREFERRED_FREE_LOAD 0.5
#define PREFERRED_MAX_LOAD_RATIO 1.25
/* Limits for a server that is chosen by an affinity key: consistent hashing
 * with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018). */
#define AFFINE_LOAD_FACTOR 1.5       /* of the mean calls per server */
#define AFFINE_FREE_CALLS 3          /* allowed in addition */
#define AFFINE_MAX_LATENCY_RATIO 2.0 /* of the pool's median latency */
/* Share of the affinity keys that a server gets, as a power of its speed. The
 * time that a call waits for the work of others grows with their share of the
 * server's time, so a server of twice the speed gets more than twice the
 * calls at the same wait. */
#define AFFINE_SPEED_POWER 2

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

/* Returns whether a server may take the call, regardless of ejection and of
 * free slots. */
static bool
is_eligible(const EbPool *pool, const EbPoolServer *server,
            const EbPoolCriteria *criteria)
{
    return !server->leaving && !EbPool_IsClosed(pool, server) &&
           !is_excluded(criteria, server) &&
           EbHomeRegions_Allow(criteria->homes,
                               server->config->failure_domain) &&
           (criteria->accept == NULL ||
            criteria->accept(criteria->context, server->id));
}

uint32_t
EbPool_Slots(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    double slots = server->limit;
    if (pool->pace != NULL) {
        slots = EbPace_Slots(pool->pace, server->id, slots, now_us);
    }
    return slots < 1 ? 1 : MIN((uint32_t)slots, server->connection_share);
}

bool
EbPool_HasRoom(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    return server->in_flight < EbPool_Slots(pool, server, now_us) &&
           (pool->directives == NULL ||
            EbDirectives_Admits(pool->directives, server->id, now_us));
}

static bool
is_usable(const EbPool *pool, const EbPoolServer *server,
          const EbPoolCriteria *criteria, int64_t now_us)
{
    return !server->ejected && EbPool_HasRoom(pool, server, now_us) &&
           is_eligible(pool, server, criteria);
}

/* Returns whether a server is usable and it is not first the turn of other
 * daemons to use it. */
static bool
is_preferable(const EbPool *pool, const EbPoolServer *server,
              const EbPoolCriteria *criteria, int64_t now_us)
{
    return is_usable(pool, server, criteria, now_us) &&
           (pool->pace == NULL ||
            !EbPace_IsHeld(pool->pace, server->id, now_us));
}

uint32_t
EbPool_FindObjections(const EbPool *pool, const EbPoolServer *server,
                      const EbPoolCriteria *criteria, int64_t now_us)
{
    bool found[EB_OBJECTION_COUNT] = {
        [EB_OBJECTION_LEAVING] = server->leaving,
        [EB_OBJECTION_EVACUATED] = EbPool_IsClosed(pool, server),
        [EB_OBJECTION_EJECTED] = server->ejected,
        [EB_OBJECTION_NO_FREE_SLOT] =
            server->in_flight >= EbPool_Slots(pool, server, now_us),
        [EB_OBJECTION_ASKED_TO_WAIT] =
            pool->directives != NULL &&
            !EbDirectives_Admits(pool->directives, server->id, now_us),
        [EB_OBJECTION_TURN_OF_OTHERS] =
            pool->pace != NULL &&
            EbPace_IsHeld(pool->pace, server->id, now_us),
        [EB_OBJECTION_NOT_ELIGIBLE] = !is_eligible(pool, server, criteria),
    };
    uint32_t objections = 0;
    for (uint32_t i = 0; i < EB_OBJECTION_COUNT; i++) {
        objections |= found[i] ? EB_OBJECTION_BIT(i) : 0;
    }
    return objections;
}

/* Returns the calls at a server: this daemon's calls in flight, and those of
 * other daemons by the last load report, weighted by its age. */
static double
estimate_load(const EbPoolServer *server, int64_t now_us)
{
    double load = server->in_flight;
    if (server->has_report &&
        server->reported_load > server->own_calls_at_report) {
        double age = (double)(now_us - server->reported_us);
        double others = server->reported_load - server->own_calls_at_report;
        load += others * exp2(-fmax(age, 0) / REPORT_HALF_LIFE_US);
    }
    return load;
}

static double
utilisation(const EbPoolServer *server, int64_t now_us)
{
    return (estimate_load(server, now_us) + 1) / server->config->capacity;
}

/* Returns the expected time to a successful answer, up to a constant factor.
 */
static double
server_cost(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    double failure_rate =
        fmin(EbPool_FailureRate(server, now_us), MAX_FAILURE_RATE);
    return utilisation(server, now_us) * EbPool_Latency(pool, server, now_us) *
           EbPool_PresentCost(pool, server, now_us) / (1 - failure_rate);
}

void
EbPool_Weigh(const EbPool *pool, const EbPoolServer *server, int64_t now_us,
             EbPoolCandidate *candidate)
{
    candidate->load = estimate_load(server, now_us);
    candidate->latency_us = EbPool_Latency(pool, server, now_us);
    candidate->failure_rate = EbPool_FailureRate(server, now_us);
    candidate->work_factor = EbPool_PresentCost(pool, server, now_us);
    candidate->cost_us = server_cost(pool, server, now_us);
}

/* Draws a preferable member other than `other` at random, each with the same
 * probability: by a few probes, then by a scan of the whole subset. */
static EbPoolServer *
draw_server(EbPool *pool, const EbPoolCriteria *criteria,
            const EbPoolServer *other, int64_t now_us)
{
    for (int i = 0; i < RANDOM_PROBES && pool->member_count > 0; i++) {
        EbPoolServer *server =
            pool->members[EbRandom_Below(pool->random, pool->member_count)];
        if (server != other && is_preferable(pool, server, criteria, now_us)) {
            return server;
        }
    }
    EbPoolServer *drawn = NULL;
    uint64_t seen = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        if (server != other && is_preferable(pool, server, criteria, now_us) &&
            EbRandom_Below(pool->random, ++seen) == 0) {
            drawn = server;
        }
    }
    return drawn;
}

/* Returns the usable server with the lowest cost, whosever turn it is. */
static EbPoolServer *
choose_held(const EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us)
{
    EbPoolServer *best = NULL;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        if (is_usable(pool, server, criteria, now_us) &&
            (best == NULL || server_cost(pool, server, now_us) <
                                 server_cost(pool, best, now_us))) {
            best = server;
        }
    }
    return best;
}

/* Returns the ejected server with a free slot and the lowest cost. Returns
 * NULL when there is none, or when an eligible server is not ejected. */
static EbPoolServer *
choose_ejected(const EbPool *pool, const EbPoolCriteria *criteria,
               int64_t now_us)
{
    EbPoolServer *best = NULL;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        EbPoolServer *server = pool->members[i];
        if (!is_eligible(pool, server, criteria)) {
            continue;
        }
        if (!server->ejected) {
            return NULL; /* it is full; the call waits for a slot there */
        }
        if (EbPool_HasRoom(pool, server, now_us) &&
            (best == NULL || server_cost(pool, server, now_us) <
                                 server_cost(pool, best, now_us))) {
            best = server;
        }
    }
    return best;
}

/* Returns the preferred server if it is in the subset, usable and not too
 * busy; otherwise NULL. */
static EbPoolServer *
choose_preferred(const EbPool *pool, const EbPoolCriteria *criteria,
                 const EbPoolServer *alternative, int64_t now_us)
{
    EbPoolServer *preferred =
        g_hash_table_lookup(pool->by_id, criteria->preferred);
    if (preferred == NULL ||
        !is_preferable(pool, preferred, criteria, now_us)) {
        return NULL;
    }
    for (uint32_t i = 0; i < pool->member_count; i++) {
        if (pool->members[i] != preferred) {
            continue;
        }
        double latency_ratio =
            pool->median_us > 0
                ? EbPool_Latency(pool, preferred, now_us) / pool->median_us
                : 1;
        double load = utilisation(preferred, now_us) * fmax(latency_ratio, 1);
        bool idle = load <= PREFERRED_FREE_LOAD;
        return idle || load <= PREFERRED_MAX_LOAD_RATIO *
                                   utilisation(alternative, now_us)
                   ? preferred
                   : NULL;
    }
    return NULL;
}

/* Returns whether a server may be chosen by an affinity key: it is not much
 * slower and has not many more of this daemon's calls than the others. */
static bool
is_fit_for_affinity(const EbPool *pool, const EbPoolServer *server,
                    double mean_calls, int64_t now_us)
{
    bool slow =
        pool->median_us > 0 && EbPool_Latency(pool, server, now_us) >
                                   AFFINE_MAX_LATENCY_RATIO * pool->median_us;
    return !slow && server->in_flight <=
                        AFFINE_FREE_CALLS + AFFINE_LOAD_FACTOR * mean_calls;
}

/* Returns the score of a server for a key; the highest one is chosen. This is
 * weighted rendezvous hashing (Schindelhauer, Schomaker 2005): a server gets a
 * share of the keys in proportion to its weight, and a change of its weight
 * moves only keys from or to that server. */
static double
affinity_score(const EbPoolServer *server, uint64_t key)
{
    uint64_t hash = XXH64(server->id, strlen(server->id), key);
    double draw = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C(1) << 53);
    double cost = pow(EbPool_UsualCost(server), AFFINE_SPEED_POWER);
    return log(draw) * cost;
}

static bool
is_limited(const EbPool *pool, const EbPoolServer *server, int64_t now_us)
{
    return pool->directives != NULL &&
           EbDirectives_IsLimited(pool->directives, server->id, now_us);
}

/* Chooses between a server without and one with a limit, each of which may be
 * NULL. What a limit allows now can't be used later, so the limited server is
 * chosen while it is not slower, or has fewer calls. */
static const EbPoolServer *
choose_by_limit(const EbPool *pool, const EbPoolServer *unlimited,
                const EbPoolServer *limited, int64_t now_us)
{
    if (unlimited == NULL || limited == NULL) {
        return unlimited != NULL ? unlimited : limited;
    }
    return limited->in_flight < unlimited->in_flight ||
                   EbPool_Latency(pool, limited, now_us) <=
                       EbPool_Latency(pool, unlimited, now_us)
               ? limited
               : unlimited;
}

const EbConfigBackendServer *
EbPool_ChooseAffine(const EbPool *pool, const EbPoolCriteria *criteria,
                    uint64_t key, int64_t now_us)
{
    double calls = 0;
    double open = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        if (!EbPool_IsClosed(pool, pool->members[i])) {
            calls += pool->members[i]->in_flight;
            open++;
        }
    }
    double mean_calls = calls / fmax(open, 1);
    const EbPoolServer *best[2] = {NULL, NULL}; /* without and with a limit */
    double highest[2] = {0, 0};
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        bool limited = is_limited(pool, server, now_us);
        double score = affinity_score(server, key);
        if ((best[limited] == NULL || score > highest[limited]) &&
            is_preferable(pool, server, criteria, now_us) &&
            is_fit_for_affinity(pool, server, mean_calls, now_us)) {
            best[limited] = server;
            highest[limited] = score;
        }
    }
    const EbPoolServer *chosen =
        choose_by_limit(pool, best[false], best[true], now_us);
    return chosen != NULL ? chosen->config : NULL;
}

static EbPoolServer *
choose_adaptive(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us)
{
    EbPoolServer *first = draw_server(pool, criteria, NULL, now_us);
    if (first == NULL) {
        EbPoolServer *held = choose_held(pool, criteria, now_us);
        return held != NULL ? held : choose_ejected(pool, criteria, now_us);
    }
    EbPoolServer *second = draw_server(pool, criteria, first, now_us);
    EbPoolServer *best = first;
    if (second != NULL &&
        server_cost(pool, second, now_us) <
            CHOICE_MARGIN * server_cost(pool, first, now_us)) {
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
        if (is_usable(pool, server, criteria, now_us)) {
            return server;
        }
    }
    return NULL;
}

const EbPoolPolicyRow EbPool_policies[EB_POOL_POLICY_COUNT] = {
    [EB_POOL_ADAPTIVE] = {choose_adaptive, true},
    [EB_POOL_ROUND_ROBIN] = {choose_round_robin, false},
};
