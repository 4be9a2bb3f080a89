/* State shared by the files of the pool module. */
#ifndef EB_POOL_STATE_H
#define EB_POOL_STATE_H

#include <glib.h>

#include "ebonyhollow/histogram.h"
#include "ebonyhollow/pool.h"
#include "ebonyhollow/pool_explain.h"

/* One backend server as this daemon sees it. */
typedef struct {
    char *id;
    uint32_t connection_share; /* connections that this daemon may have */
    const EbConfigBackendServer *config;
    uint64_t incarnation;
    uint64_t rank; /* rendezvous hash of daemon and server */
    bool leaving;
    bool ejected;

    uint32_t in_flight;
    uint32_t earlier_calls; /* of those, begun at an earlier incarnation */
    /* Ring buffer of the start times of calls in flight, oldest first. */
    uint32_t ring_head;
    uint32_t ring_size;
    int64_t *ring;

    double limit; /* of calls in flight from this daemon */
    int64_t limit_lowered_us;

    double latency_us; /* moving average, valid at measured_us */
    int64_t measured_us;
    double failure_rate; /* moving average, valid at failure_rate_us */
    int64_t failure_rate_us;
    uint32_t samples; /* latencies since the start or the last readmission */

    uint32_t consecutive_failures;
    bool probation;     /* readmitted, no success yet */
    const char *cause;  /* of the ejection, otherwise "" */
    uint32_t ejections; /* recent ones; each doubles the ejection time */
    int64_t ejected_until_us;
    /* Time of the readmission, moved on when an ejection is forgotten. */
    int64_t readmitted_us;

    EbServerSpeed speed;
    uint32_t logged_cost_permille; /* 0: none, as the typical server */

    bool has_report;
    uint32_t reported_load; /* calls running and waiting at the server */
    uint32_t reported_waiting;
    uint32_t own_calls_at_report; /* own calls in flight at that time */
    int64_t reported_us;

    uint64_t calls;
    uint64_t failures;
} EbPoolServer;

/* A policy: how a server is chosen, and whether limits and ejections adapt to
 * the results of calls. */
typedef struct {
    EbPoolServer *(*choose)(EbPool *pool, const EbPoolCriteria *criteria,
                            int64_t now_us);
    bool adapts;
} EbPoolPolicyRow;

struct EbPool {
    const EbPoolPolicyRow *policy;
    const EbConfigPool *config;
    char *instance;
    char *failure_domain;
    EbRandom *random;
    const EbEventSink *events;
    EbDirectives *directives;         /* may be NULL */
    const EbEvacuations *evacuations; /* may be NULL */
    EbPace *pace;                     /* may be NULL */
    EbPoolServer **servers;
    uint32_t server_count;
    EbPoolServer **members; /* the subset this daemon uses */
    uint32_t member_count;
    GHashTable *by_id;
    bool measure_speeds;
    uint32_t daemons;     /* live ones, this one included */
    uint32_t next_member; /* round robin */
    uint32_t ejected_count;
    double median_us; /* median latency of measured members, 0 if none */
    uint32_t measured_count;
    bool uneven; /* piece intervals of its servers differ much */
    double typical_interval_us; /* median of members, 0 unless `uneven` */
    double mean_duration_us;    /* of successful calls, of all kinds */
    double service_us;          /* moving average from BeginCall to EndCall */
    uint64_t service_samples;
    /* Latencies of the current and the previous interval. */
    EbHistogram recent;
    EbHistogram previous;
    int64_t rotated_us;
};

/* Returns whether nothing new may be sent to a server since its failure domain
 * is closed. */
static inline bool
EbPool_IsClosed(const EbPool *pool, const EbPoolServer *server)
{
    return EbEvacuations_IsClosed(pool->evacuations,
                                  server->config->failure_domain);
}

/* pool_subset.c */

/* Returns the rendezvous hash of a daemon and a server. */
uint64_t EbPool_HashRank(const char *instance, const char *server_id);
void EbPool_BuildSubset(EbPool *pool);

/* pool_choice.c */
extern const EbPoolPolicyRow EbPool_policies[EB_POOL_POLICY_COUNT];

/* Returns how many calls this daemon may have in flight at a server now, by
 * its limit, pace and share of connections; at least 1. */
uint32_t EbPool_Slots(const EbPool *pool, const EbPoolServer *server,
                      int64_t now_us);

/* Returns whether the server has a free slot for this daemon and does not ask
 * for calls to wait. */
bool EbPool_HasRoom(const EbPool *pool, const EbPoolServer *server,
                    int64_t now_us);

/* Returns what speaks against sending a call to a server now, as a mask of
 * EB_OBJECTION_BIT. Without any, the server is among those that the policy
 * draws from. */
uint32_t EbPool_FindObjections(const EbPool *pool, const EbPoolServer *server,
                               const EbPoolCriteria *criteria, int64_t now_us);

/* Sets the members of a candidate by which servers are compared. */
void EbPool_Weigh(const EbPool *pool, const EbPoolServer *server,
                  int64_t now_us, EbPoolCandidate *candidate);

/* pool_health.c */

/* Returns the expected latency of a server in microseconds. What was measured
 * decays towards the median of the pool. */
double EbPool_Latency(const EbPool *pool, const EbPoolServer *server,
                      int64_t now_us);
/* Returns the time that work takes at a server relative to a typical one, by
 * its usual piece interval: 1 while that is unknown. */
double EbPool_UsualCost(const EbPoolServer *server);
/* Returns the time that work takes at a server now, relative to a typical one
 * at its usual piece interval. */
double EbPool_PresentCost(const EbPool *pool, const EbPoolServer *server,
                          int64_t now_us);
/* Returns the share of failed calls, 0 to 1, which decays without calls. */
double EbPool_FailureRate(const EbPoolServer *server, int64_t now_us);
/* Updates latency, failure rate, limit and ejection with the result of a call.
 *
 * duration_us: as long as a call of average length would have taken.
 * at_limit: all slots of the server were in use when the call ended. */
void EbPool_RecordCall(EbPool *pool, EbPoolServer *server, EbCallResult result,
                       int64_t duration_us, int64_t started_us, bool at_limit,
                       int64_t now_us);
void EbPool_RecordLoadReport(EbPoolServer *server, int64_t now_us);
void EbPool_UpdateMedian(EbPool *pool, int64_t now_us);
void EbPool_UpdateHealth(EbPool *pool, int64_t now_us);

#endif
