/* EbPoolExplain: what a pool would choose for a call now, and what speaks for
 * and against each of its servers.
 *
 * The functions of EbPool decide, on a snapshot of the pool: no call is
 * counted, no event or metric is recorded, and neither the pool's random
 * numbers nor the pace of its servers change. All times are monotonic
 * microseconds. */
#ifndef EBONYHOLLOW_POOL_EXPLAIN_H
#define EBONYHOLLOW_POOL_EXPLAIN_H

#include "ebonyhollow/pool.h"

/* Why a server is not drawn for a call. */
typedef enum {
    EB_OBJECTION_LEAVING,
    EB_OBJECTION_EVACUATED, /* its failure domain is closed */
    EB_OBJECTION_EJECTED,
    EB_OBJECTION_NO_FREE_SLOT,   /* of those that this daemon may use */
    EB_OBJECTION_ASKED_TO_WAIT,  /* a pause, a limit or the cold bound */
    EB_OBJECTION_TURN_OF_OTHERS, /* on pace: other daemons use it first */
    EB_OBJECTION_NOT_ELIGIBLE,   /* excluded by the call or by one above */
    EB_OBJECTION_COUNT
} EbObjection;

#define EB_OBJECTION_BIT(objection) (UINT32_C(1) << (objection))

/* Names in answers to operators, indexed by EbObjection. */
extern const char *const EbObjection_names[EB_OBJECTION_COUNT];

/* One server that was considered. */
typedef struct {
    EbServerView view;
    uint32_t objections; /* mask of EB_OBJECTION_BIT; 0: it may be drawn */
    uint32_t slots;      /* calls that this daemon may have there now */
    bool in_own_domain;
    /* When it takes a call as far as it named a pause or a limit; `now_us` of
     * the question: now; INT64_MAX: unknown. */
    int64_t admission_us;
    int64_t report_age_us; /* of reported_load; -1: there is no report */
    /* By these, drawn servers are compared. */
    double load;         /* calls there, of all daemons, estimated */
    double latency_us;   /* expected */
    double failure_rate; /* 0 to 1 */
    double work_factor;  /* time that work takes, relative to a typical one */
    double cost_us;      /* the lower one is chosen */
} EbPoolCandidate;

/* Copies what a choice changes; the rest is shared with the pool, which must
 * not change while the snapshot exists. It may be passed to functions that
 * take a const EbPool and to EbPool_Choose, and to no other one.
 *
 * random: the choice draws from it; borrowed.
 *
 * Free it with EbPool_FreeSnapshot. */
EbPool *EbPool_NewSnapshot(const EbPool *pool, EbRandom *random);

/* Accepts NULL. */
void EbPool_FreeSnapshot(EbPool *snapshot);

/* Returns the server that EbPool_BeginCall would choose with the snapshot's
 * random numbers, or NULL when none can take the call now. */
const EbConfigBackendServer *EbPool_Choose(EbPool *snapshot,
                                           const EbPoolCriteria *criteria,
                                           int64_t now_us);

/* Name of the pool, borrowed from its configuration. */
const char *EbPool_Name(const EbPool *pool);

/* Describes a server of the subset; index is below EbPool_ServerCount. */
void EbPool_DescribeCandidate(const EbPool *snapshot, size_t index,
                              const EbPoolCriteria *criteria, int64_t now_us,
                              EbPoolCandidate *candidate);

#endif
