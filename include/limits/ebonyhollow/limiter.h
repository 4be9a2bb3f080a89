/* EbLimiter: holds customers to their contracts across all daemons.
 *
 * Each daemon admits from local buckets filled with its share of each
 * contract. Shares come from the customer's home daemon, which divides the
 * contract in proportion to reported demand. The home of a customer is the
 * live daemon with the highest rendezvous hash. The module is both sides:
 * local admission and, for the customers homed here, division.
 *
 * Bounds, for a limit L and n live daemons:
 *
 * - The last grants that one home sent and that have not lapsed add up to at
 *   most L plus one floor for each daemon. The floor is a tenth of the equal
 *   share L / n, or one request in flight, so the floors add up to L / 10, or
 *   n requests in flight. A daemon uses an older, larger grant while the new
 *   one is on its way.
 *   When the limit is lowered, grants of the old one hold until the next
 *   report, 2 s at most while daemon and home are connected.
 * - A daemon without a grant uses L / n, at least one request in flight, until
 *   its first report is answered.
 * - In a partition with k sides, each side has homes of its own and knows its
 *   own daemons only: at most k times the limit.
 * - On top of the rates, request buckets hold at most 3.1 times the burst of
 *   the contract and three requests for each daemon; token buckets hold 4.2 s
 *   of the limit and the tokens of two requests for each daemon. */
#ifndef EBONYHOLLOW_LIMITER_H
#define EBONYHOLLOW_LIMITER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/outcome.h"

#define EB_LIMITER_GRANT_US 5000000 /* validity of a grant */
#define EB_LIMITER_REPORT_US 500000 /* interval of reports */
#define EB_LIMITER_URGENT_US 100000 /* least interval of urgent reports */

typedef struct EbLimiter EbLimiter;

typedef struct {
    const char *instance; /* this daemon */
    const EbConfig *config;
} EbLimiterOptions;

/* Demand of one customer at one daemon, and the share granted to it. */
typedef struct {
    const char *customer;
    uint64_t requests_per_s_milli; /* report: offered; grant: allowed */
    uint32_t concurrent_requests;  /* report: wanted; grant: allowed */
    uint64_t tokens_per_s;         /* report: offered; grant: allowed */
} EbLimiterShare;

EbLimiter *EbLimiter_New(const EbLimiterOptions *options);
void EbLimiter_Free(EbLimiter *limiter);
void EbLimiter_SetConfig(EbLimiter *limiter, const EbConfig *config);

/* Sets the live daemons, this one included. Instance names are copied. */
void EbLimiter_SetMembers(EbLimiter *limiter, const char *const *instances,
                          size_t count, int64_t now_us);

/* Asks to admit a request.
 *
 * retry_after_us: set to when a refused request could be admitted; may be
 *     NULL.
 *
 * Returns EB_REASON_NONE when admitted; the caller then owes one
 * EbLimiter_EndRequest. Otherwise the limit that refused it. */
EbReason EbLimiter_Admit(EbLimiter *limiter, const char *customer,
                         int64_t now_us, int64_t *retry_after_us);

/* Charges generated tokens as they are relayed. The token bucket may go
 * below zero; then new requests wait until it has recovered. */
void EbLimiter_ChargeTokens(EbLimiter *limiter, const char *customer,
                            uint64_t tokens, int64_t now_us);

void EbLimiter_EndRequest(EbLimiter *limiter, const char *customer,
                          int64_t now_us);

/* Home daemon of a customer; valid until SetMembers. */
const char *EbLimiter_Home(const EbLimiter *limiter, const char *customer);

/* Returns a home to which a report should go now instead of at the next
 * interval, because demand there has grown beyond what was reported, or NULL.
 * Ask after EbLimiter_Admit. Valid until SetMembers. */
const char *EbLimiter_UrgentHome(EbLimiter *limiter, int64_t now_us);

/* Writes this daemon's reports for customers homed at `home` whose demand has
 * changed or was last reported 2 s ago; a customer that fell idle gets one
 * last report without demand. Call it for each home at every interval.
 *
 * Returns the number written, at most `max`. */
size_t EbLimiter_WriteReport(EbLimiter *limiter, const char *home,
                             EbLimiterShare *shares, size_t max,
                             int64_t now_us);

/* Takes a report of daemon `instance` as the home of its customers and writes
 * the grants that answer it; a report without demand ends a grant and gets
 * none. Returns the number of grants. */
size_t EbLimiter_AnswerReport(EbLimiter *limiter, const char *instance,
                              const EbLimiterShare *reports,
                              size_t report_count, EbLimiterShare *grants,
                              int64_t now_us);

/* Changes a grant before its daemon's next report: raises one that is short of
 * its daemon's demand or far below its share of a free contract, and lowers
 * one above its share when another daemon lacks what it holds. Call it after
 * EbLimiter_AnswerReport until it returns false, and send the grants in that
 * order.
 *
 * instance: set to the daemon; valid until the next call. */
bool EbLimiter_NextGrantChange(EbLimiter *limiter, const char **instance,
                               EbLimiterShare *grant, int64_t now_us);

/* Takes grants from a home daemon. One that answers a report is valid for
 * EB_LIMITER_GRANT_US from the oldest report not answered before; a pushed one
 * doesn't change the validity. Before any report, grants have no effect. */
void EbLimiter_ApplyGrants(EbLimiter *limiter, const EbLimiterShare *grants,
                           size_t count, int64_t now_us);

/* State of one customer, for the administration API.
 * Returns false for an unknown customer. */
typedef struct {
    uint32_t in_flight;
    uint64_t share_requests_per_s_milli;
    uint32_t share_concurrent_requests;
    uint64_t share_tokens_per_s;
    bool granted; /* false: the equal share is in use */
    uint64_t refused;
} EbLimiterView;

bool EbLimiter_View(const EbLimiter *limiter, const char *customer,
                    int64_t now_us, EbLimiterView *view);

#endif
