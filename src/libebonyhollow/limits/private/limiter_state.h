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

/* A daemon that reported demand of a customer whose home is this daemon. */
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
    const char *home; /* borrowed from `members`; NULL until looked up */

    /* Local admission. */
    double grant[EB_LIMIT_COUNT];
    int64_t grant_until_us;
    double request_level; /* of the request bucket */
    double token_level;   /* of the token bucket, may be negative */
    double request_depth;
    double token_depth;
    int64_t refilled_us;
    bool buckets_filled;
    uint32_t in_flight;
    uint64_t refused;
    /* Their quotient is the mean tokens of a request. Both are halved from
     * time to time (TOKEN_MEAN_REQUESTS), so that recent requests weigh more.
     */
    double charged_tokens;
    double finished_requests;

    /* Demand counted in the current window, and the estimates to which it is
     * added at the end of the window. */
    bool active; /* in EbLimiter.active */
    bool urgent; /* in EbLimiter.urgent */
    int64_t window_start_us;
    uint32_t window_offered;
    uint32_t window_refused_concurrent;
    uint32_t peak_in_flight;
    double window_tokens;
    double demand[EB_LIMIT_COUNT];
    double token_rate;
    int64_t reported_us;   /* last report to this home, or -1 */
    int64_t unanswered_us; /* oldest unanswered report, or -1 */
    double reported[EB_LIMIT_COUNT];

    /* If this daemon is the home: instance name to EbLimiterReporter; NULL
     * before any report. */
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
    GQueue urgent;          /* customers to report before the interval ends */
    GQueue rebalance_queue; /* customers whose grants may have to change */
};

/* limiter.c */

/* Returns the share of a daemon without a grant: the limit divided equally
 * among the live daemons, at least one request in flight. */
double EbLimiter_EqualShare(const EbLimiter *limiter,
                            const EbLimiterCustomer *customer,
                            EbLimitKind kind);

const char *EbLimiter_HomeOf(const EbLimiter *limiter,
                             EbLimiterCustomer *customer);

/* Returns the limiter's own copy of a member's name, or NULL. */
const char *EbLimiter_FindMember(const EbLimiter *limiter,
                                 const char *instance);

/* Fills the buckets up to now at the rate of the current share. To be called
 * before the share changes. */
void EbLimiter_Refill(const EbLimiter *limiter, EbLimiterCustomer *customer,
                      int64_t now_us);

/* limiter_demand.c */

/* Adds a customer to those that are reported, with a new window. */
void EbLimiter_MarkActive(EbLimiter *limiter, EbLimiterCustomer *customer,
                          int64_t now_us);
/* Requests a report before the interval ends if demand has grown beyond what
 * the home knows. */
void EbLimiter_MarkUrgent(EbLimiter *limiter, EbLimiterCustomer *customer,
                          double share_concurrent, int64_t now_us);
bool EbLimiter_IsIdle(const double demand[EB_LIMIT_COUNT]);
/* Returns the mean tokens of recent requests, 0 before any has finished. */
double EbLimiter_TokensPerRequest(const EbLimiterCustomer *customer);

#endif
