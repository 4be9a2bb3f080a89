/* State shared by the files of the pool module. */
#ifndef EB_POOL_STATE_H
#define EB_POOL_STATE_H

#include <glib.h>

#include "ebonyhollow/histogram.h"
#include "ebonyhollow/pool.h"

/* One backend server as this daemon sees it. */
typedef struct {
    char *id;
    uint32_t connection_share; /* that this daemon may have to it */
    const EbConfigBackendServer *config;
    uint64_t rank; /* rendezvous hash of daemon and server */
    bool leaving;
    bool ejected;

    /* Calls in flight; a ring of their start times, oldest first. */
    uint32_t in_flight;
    uint32_t ring_head;
    uint32_t ring_size;
    int64_t *ring;

    double limit;
    int64_t lowered_us; /* last decrease of the limit */

    double latency_us; /* moving average, valid at measured_us */
    int64_t measured_us;
    double failure_rate; /* moving average, valid at failure_rate_us */
    int64_t failure_rate_us;
    uint32_t samples; /* latencies since the start or the last return */

    uint32_t consecutive_failures;
    bool probation; /* returned, no success yet */
    const char *cause;
    uint32_t ejections; /* recent ones, for the growing ejection time */
    int64_t until_us;   /* end of the ejection */
    int64_t returned_us;
    bool slow_start;

    bool has_report;
    uint32_t reported_load;
    uint32_t reported_waiting;
    uint32_t own_at_report;
    int64_t reported_us;

    uint64_t calls;
    uint64_t failures;
} EbPoolServer;

/* One policy: how a server is chosen and whether limits and ejections adapt
 * to what calls report. */
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
    EbPoolServer **servers;
    uint32_t server_count;
    EbPoolServer **members; /* the subset this daemon uses */
    uint32_t member_count;
    GHashTable *by_id;
    uint32_t daemons;     /* live ones, this one included */
    uint32_t next_member; /* round robin */
    uint32_t ejected_count;
    double median_us; /* latency of measured members; 0 before any */
    uint32_t measured_count;
    double service_us; /* moving average from Begin to End of a success */
    uint64_t service_samples;
    /* Latencies of the current and of the previous interval. */
    EbHistogram recent;
    EbHistogram previous;
    int64_t rotated_us;
};

/* pool_subset.c */
uint64_t EbPool_HashRank(const char *instance, const char *server_id);
void EbPool_BuildSubset(EbPool *pool);

/* pool_choice.c */
extern const EbPoolPolicyRow EbPool_policies[EB_POOL_POLICY_COUNT];
uint32_t EbPool_Slots(const EbPoolServer *server, int64_t now_us);

/* pool_health.c */
double EbPool_Latency(const EbPool *pool, const EbPoolServer *server,
                      int64_t now_us);
double EbPool_FailureRate(const EbPoolServer *server, int64_t now_us);
double EbPool_SlowStartShare(const EbPoolServer *server, int64_t now_us);
void EbPool_RecordCall(EbPool *pool, EbPoolServer *server, EbCallResult result,
                       int64_t duration_us, bool at_limit, int64_t now_us);
void EbPool_RecordLoadReport(EbPoolServer *server, int64_t now_us);
void EbPool_UpdateMedian(EbPool *pool, int64_t now_us);
void EbPool_UpdateHealth(EbPool *pool, int64_t now_us);

#endif
