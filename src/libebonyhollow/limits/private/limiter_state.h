/* State shared by the files of the limiter module. */
#ifndef EB_LIMITER_STATE_H
#define EB_LIMITER_STATE_H

#include <glib.h>

#include "ebonyhollow/limiter.h"

/* What a contract limits. */
typedef enum {
    EB_LIMIT_REQUESTS, /* per second */
    EB_LIMIT_CONCURRENT,
    EB_LIMIT_TOKENS, /* per second */
    EB_LIMIT_COUNT
} EbLimitKind;

/* A daemon that reported demand of a customer homed here. */
typedef struct {
    double demand[EB_LIMIT_COUNT];
    double granted[EB_LIMIT_COUNT];
    int64_t granted_us;
    int64_t expires_us;
} EbLimiterReporter;

typedef struct {
    char *id;
    double limits[EB_LIMIT_COUNT]; /* 0: no limit */
    double burst;
    const char *home; /* NULL until it is looked up */

    /* Local admission. */
    double grant[EB_LIMIT_COUNT];
    int64_t grant_until_us;
    double requests; /* level of the request bucket */
    double tokens;   /* level of the token bucket, may be negative */
    double request_depth;
    double token_depth;
    int64_t filled_us;
    bool started;
    uint32_t in_flight;
    uint64_t refused;
    double charged_tokens;    /* with finished_requests: mean tokens */
    double finished_requests; /* of a request, recent ones first */

    /* Demand since the last report, and the estimate it was folded into. */
    bool active; /* in EbLimiter.active */
    bool urgent; /* in EbLimiter.urgent */
    int64_t window_us;
    uint32_t offered;
    uint32_t refused_concurrent;
    uint32_t peak;
    double window_tokens;
    double demand[EB_LIMIT_COUNT];
    double token_rate;
    int64_t reported_us;   /* last report to this home, or -1 */
    int64_t unanswered_us; /* oldest report without a grant since, or -1 */
    double reported[EB_LIMIT_COUNT];

    /* As its home: instance name to EbLimiterReporter, or NULL. */
    GHashTable *reporters;
    bool rebalance_pending; /* in EbLimiter.rebalance_queue */
    int64_t rebalanced_us;  /* last search for a grant to change */
} EbLimiterCustomer;

struct EbLimiter {
    char *instance;
    char **members;
    uint32_t member_count;
    GHashTable *member_names; /* set of `members` */
    GHashTable *customers;    /* id to EbLimiterCustomer */
    GPtrArray *active;        /* customers to report */
    GQueue urgent;            /* customers to report before their time */
    GQueue rebalance_queue;   /* customers homed here with a grant to change */
};

/* limiter.c: the equal share of a daemon without a grant. */
double EbLimiter_EqualShare(const EbLimiter *limiter,
                            const EbLimiterCustomer *customer,
                            EbLimitKind kind);

const char *EbLimiter_HomeOf(const EbLimiter *limiter,
                             EbLimiterCustomer *customer);

/* Returns the limiter's own copy of a member's name, or NULL. */
const char *EbLimiter_FindMember(const EbLimiter *limiter,
                                 const char *instance);

/* Fills the buckets up to now with the share that held until now. */
void EbLimiter_Refill(const EbLimiter *limiter, EbLimiterCustomer *customer,
                      int64_t now_us);

/* limiter_demand.c */
void EbLimiter_MarkActive(EbLimiter *limiter, EbLimiterCustomer *customer,
                          int64_t now_us);
void EbLimiter_MarkUrgent(EbLimiter *limiter, EbLimiterCustomer *customer,
                          double share_concurrent, int64_t now_us);
bool EbLimiter_IsIdle(const double demand[EB_LIMIT_COUNT]);
double EbLimiter_TokensPerRequest(const EbLimiterCustomer *customer);

#endif
