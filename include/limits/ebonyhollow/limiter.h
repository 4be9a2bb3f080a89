/* EbLimiter: enforces the contracts of customers across all daemons.
 *
 * Each daemon admits requests from local buckets that are filled with its
 * share of each contract. The share is granted by the customer's home: the
 * live daemon with the highest rendezvous hash for the customer, which divides
 * the contract in proportion to the reported demand. This module does both:
 * local admission, and the division for the customers whose home is this
 * daemon.
 *
 * Bounds, for a limit L and n live daemons:
 *
 * - The latest grants of one home that have not expired add up to at most L
 *   plus one floor for each daemon. The floor is a tenth of the equal share
 *   L / n, or one request in flight, so the floors add up to L / 10, or n
 *   requests in flight. A daemon uses an older, larger grant until the new one
 *   has arrived. When the limit is lowered, grants of the old limit stay in
 *   use until the next report: 2 s at most while daemon and home are
 *   connected.
 * - A daemon without a grant uses L / n, at least one request in flight, until
 *   its first report is answered.
 * - In a partition with k sides, each side has homes of its own and knows its
 *   own daemons only, so at most k times the limit is used.
 * - In addition to the rates, request buckets hold at most 3.1 times the burst
 *   of the contract and three requests for each daemon. Token buckets hold
 *   4.2 s of the limit and the tokens of two requests for each daemon.
 *
 * All times are monotonic microseconds. */
#ifndef EBONYHOLLOW_LIMITER_H
#define EBONYHOLLOW_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/outcome.h"

#define EB_LIMITER_GRANT_VALIDITY_US 5000000
#define EB_LIMITER_REPORT_INTERVAL_US 500000
/* Minimum time between a customer's last report and an urgent one, and between
 * changes of one grant without a report. */
#define EB_LIMITER_URGENT_INTERVAL_US 100000

typedef struct EbLimiter EbLimiter;

typedef struct {
    const char *instance;   /* this daemon */
    const EbConfig *config; /* used only during EbLimiter_New */
} EbLimiterOptions;

/* In a report, the demand of one customer at one daemon; in a grant, the share
 * of the contract that the daemon may use. */
typedef struct {
    const char *customer;
    uint64_t requests_per_s_milli; /* thousandths of a request per second */
    uint32_t concurrent_requests;
    uint64_t tokens_per_s;
} EbLimiterShare;

/* Creates a limiter whose only live daemon is this one. Free it with
 * EbLimiter_Free. */
EbLimiter *EbLimiter_New(const EbLimiterOptions *options);

/* Accepts NULL. */
void EbLimiter_Free(EbLimiter *limiter);

/* Applies a new configuration. Customers that were in the old one keep their
 * buckets, grants and requests in flight. */
void EbLimiter_SetConfig(EbLimiter *limiter, const EbConfig *config);

/* Sets the live daemons, this one included; `count` is at least 1. Instance
 * names are copied. */
void EbLimiter_SetMembers(EbLimiter *limiter, const char *const *instances,
                          size_t count, int64_t now_us);

/* Decides whether a request is admitted.
 *
 * retry_after_us: set to the time after which a refused request could be
 *     admitted, 0 when it is admitted; may be NULL.
 *
 * Returns EB_REASON_NONE when admitted; the caller then has to call
 * EbLimiter_EndRequest once. Otherwise returns the limit that refused it, or
 * EB_REASON_FORBIDDEN for an unknown customer. */
EbReason EbLimiter_Admit(EbLimiter *limiter, const char *customer,
                         int64_t now_us, int64_t *retry_after_us);

/* Decides like EbLimiter_Admit and changes nothing: no request is admitted or
 * counted. The parameters and the result are those of EbLimiter_Admit, but
 * `retry_after_us` is required. */
EbReason EbLimiter_Check(const EbLimiter *limiter, const char *customer,
                         int64_t now_us, int64_t *retry_after_us);

/* Charges generated tokens as they are relayed. The token bucket may go below
 * zero; if it is too low, new requests are refused until it has recovered. */
void EbLimiter_ChargeTokens(EbLimiter *limiter, const char *customer,
                            uint64_t tokens, int64_t now_us);

/* Ends a request that EbLimiter_Admit admitted. */
void EbLimiter_EndRequest(EbLimiter *limiter, const char *customer,
                          int64_t now_us);

/* Returns the home daemon of a customer; valid until SetMembers. */
const char *EbLimiter_Home(const EbLimiter *limiter, const char *customer);

/* Returns a home to which a report should be sent now instead of at the next
 * interval, because demand has grown beyond what was reported, or NULL. To be
 * called after EbLimiter_Admit. Valid until SetMembers. */
const char *EbLimiter_UrgentHome(EbLimiter *limiter, int64_t now_us);

/* Writes this daemon's reports for the customers whose home is `home`, if
 * their demand has changed or was last reported 2 s ago. A customer that has
 * become idle gets one last report without demand. To be called for each home
 * every EB_LIMITER_REPORT_INTERVAL_US.
 *
 * Returns the number of reports written, at most `max`. */
size_t EbLimiter_WriteReport(EbLimiter *limiter, const char *home,
                             EbLimiterShare *shares, size_t max,
                             int64_t now_us);

/* Records the reports of daemon `instance` for customers whose home is this
 * daemon, and writes the grants that answer them. A report without demand ends
 * a grant and is not answered. Unknown customers are ignored.
 *
 * grants: has room for `report_count` grants.
 *
 * Returns the number of grants written. */
size_t EbLimiter_AnswerReport(EbLimiter *limiter, const char *instance,
                              const EbLimiterShare *reports,
                              size_t report_count, EbLimiterShare *grants,
                              int64_t now_us);

/* Changes a grant before its daemon's next report. Raises a grant that is
 * below its daemon's demand, or far below its share of a contract that is not
 * fully granted. Lowers a grant that is above its share while another daemon
 * has less than its own share. To be called after EbLimiter_AnswerReport until
 * it returns false; the grants have to be sent in that order.
 *
 * instance: set to the daemon that gets the grant; valid until the next call.
 *
 * Returns false when no grant has to change. */
bool EbLimiter_NextGrantChange(EbLimiter *limiter, const char **instance,
                               EbLimiterShare *grant, int64_t now_us);

/* Applies grants from a home daemon. A grant that answers a report is valid
 * for EB_LIMITER_GRANT_VALIDITY_US, counted from the oldest report that had no
 * answer yet. A grant that was changed without a report keeps the validity of
 * the one it replaces. Grants before the first report have no effect. */
void EbLimiter_ApplyGrants(EbLimiter *limiter, const EbLimiterShare *grants,
                           size_t count, int64_t now_us);

/* State of one customer at this daemon, for the administration API. */
typedef struct {
    uint32_t in_flight;
    uint64_t share_requests_per_s_milli;
    uint32_t share_concurrent_requests;
    uint64_t share_tokens_per_s;
    bool granted;          /* false: the equal share is in use */
    int64_t grant_left_us; /* of EB_LIMITER_GRANT_VALIDITY_US; 0: not granted
                            */
    uint64_t refused;
} EbLimiterView;

/* Returns false for an unknown customer. */
bool EbLimiter_View(const EbLimiter *limiter, const char *customer,
                    int64_t now_us, EbLimiterView *view);

#endif
