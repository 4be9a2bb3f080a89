#include <math.h>
#include <string.h>

#include "limiter_state.h"

#define US_PER_S 1e6
/* Time constants of the moving averages of the request and token rates. */
#define DEMAND_TIME_CONSTANT_S 1.0
#define TOKEN_TIME_CONSTANT_S 2.0
/* Lower bound on the time over which a rate is computed, since rates of
 * shorter windows are not meaningful. */
#define MIN_WINDOW_S 0.2
/* A count that differs from its expectation by more than this many standard
 * deviations of a Poisson count is a change of demand, not a fluctuation. */
#define CHANGE_DEVIATIONS 2.0
#define CHANGE_MIN 2.0 /* requests, added to that bound */
/* Demand below this is dropped after the first interval without requests; the
 * content of a bucket is enough for it without a grant. */
#define NEGLIGIBLE_REQUESTS_PER_S 1.0
/* Changes of an estimate up to the larger of these tolerances are not
 * reported: a part of the last report plus a part of the limit, or an absolute
 * one. */
#define REPORT_CHANGE 0.2
#define REPORT_CHANGE_OF_LIMIT 0.02
#define REPORT_CHANGE_MIN 1.0 /* request per second, or request in flight */
/* Time constant of the decay of the demand for concurrent requests. */
#define PEAK_TIME_CONSTANT_S 5.0
/* Unchanged demand is not reported at every interval, but often enough that
 * the grant doesn't expire because of one lost report. */
#define STEADY_REPORT_INTERVAL_US 2000000
/* A report asks for enough to refill the buckets within this time. */
#define REFILL_S 2.0
/* The mean tokens of a request cover about this many requests. */
#define TOKEN_MEAN_REQUESTS 64

void
EbLimiter_MarkActive(EbLimiter *limiter, EbLimiterCustomer *customer,
                     int64_t now_us)
{
    if (!customer->active) {
        customer->active = true;
        customer->window_start_us = now_us;
        g_ptr_array_add(limiter->active, customer);
    }
}

static double
window_s(const EbLimiterCustomer *customer, int64_t now_us)
{
    double elapsed_s = (double)(now_us - customer->window_start_us) / US_PER_S;
    return fmax(elapsed_s, MIN_WINDOW_S);
}

/* Returns how far a count may be from its expectation without a change of
 * demand. */
static double
fluctuation_bound(double expected)
{
    return CHANGE_DEVIATIONS * sqrt(expected) + CHANGE_MIN;
}

/* Returns the peak plus the standard deviation of a Poisson count, so that the
 * next requests find free slots. */
static double
wanted_concurrent(const EbLimiterCustomer *customer)
{
    double peak =
        (double)customer->peak_in_flight + customer->window_refused_concurrent;
    return peak + sqrt(peak);
}

/* A customer that is refused although the home knows its demand causes no
 * urgent report. */
void
EbLimiter_MarkUrgent(EbLimiter *limiter, EbLimiterCustomer *customer,
                     double share_concurrent, int64_t now_us)
{
    if (customer->urgent) {
        return;
    }
    const double *limits = customer->limits;
    const double *reported = customer->reported;
    double elapsed_s = (double)(now_us - customer->window_start_us) / US_PER_S;
    double expected = customer->demand[EB_LIMIT_REQUESTS] * elapsed_s;
    bool more_requests =
        reported[EB_LIMIT_REQUESTS] < limits[EB_LIMIT_REQUESTS] &&
        customer->window_offered > expected + fluctuation_bound(expected);
    /* Already before the first refusal: the next request would find no free
     * slot. */
    bool more_concurrent =
        reported[EB_LIMIT_CONCURRENT] < limits[EB_LIMIT_CONCURRENT] &&
        customer->in_flight + 1.0 > share_concurrent &&
        wanted_concurrent(customer) > reported[EB_LIMIT_CONCURRENT];
    if (more_requests || more_concurrent) {
        customer->urgent = true;
        g_queue_push_tail(&limiter->urgent, customer);
    }
}

bool
EbLimiter_IsIdle(const double demand[EB_LIMIT_COUNT])
{
    return demand[EB_LIMIT_REQUESTS] <= 0 && demand[EB_LIMIT_CONCURRENT] <= 0;
}

double
EbLimiter_TokensPerRequest(const EbLimiterCustomer *customer)
{
    return customer->finished_requests > 0
               ? customer->charged_tokens / customer->finished_requests
               : 0;
}

const char *
EbLimiter_UrgentHome(EbLimiter *limiter, int64_t now_us)
{
    for (GList *link = limiter->urgent.head; link != NULL; link = link->next) {
        EbLimiterCustomer *customer = link->data;
        if (customer->reported_us < 0 ||
            now_us - customer->reported_us >= EB_LIMITER_URGENT_INTERVAL_US) {
            return EbLimiter_HomeOf(limiter, customer);
        }
    }
    return NULL;
}

static double
update_rate(double previous, double count, double elapsed_s)
{
    double expected = previous * elapsed_s;
    double rate = count / elapsed_s;
    if (count < expected - fluctuation_bound(expected)) {
        return rate;
    }
    if (count > expected + fluctuation_bound(expected)) {
        /* Demand grew after the window began, so the rate is estimated
         * higher. */
        return (count + CHANGE_DEVIATIONS * sqrt(count)) / elapsed_s;
    }
    return previous +
           (1 - exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)) * (rate - previous);
}

static double
cap_to_limit(double demand, double limit)
{
    return limit > 0 ? fmin(demand, limit) : demand;
}

static void
update_demand(EbLimiterCustomer *customer, int64_t now_us)
{
    double elapsed_s = window_s(customer, now_us);
    const double *limits = customer->limits;
    double *demand = customer->demand;
    demand[EB_LIMIT_REQUESTS] =
        cap_to_limit(update_rate(demand[EB_LIMIT_REQUESTS],
                                 customer->window_offered, elapsed_s),
                     limits[EB_LIMIT_REQUESTS]);
    demand[EB_LIMIT_CONCURRENT] =
        cap_to_limit(fmax(wanted_concurrent(customer),
                          exp(-elapsed_s / PEAK_TIME_CONSTANT_S) *
                              demand[EB_LIMIT_CONCURRENT]),
                     limits[EB_LIMIT_CONCURRENT]);
    double gain = 1 - exp(-elapsed_s / TOKEN_TIME_CONSTANT_S);
    customer->token_rate +=
        gain * (customer->window_tokens / elapsed_s - customer->token_rate);
    /* Requests that were refused or have just begun have not generated tokens
     * yet, so their expected tokens count as well. */
    double expected =
        demand[EB_LIMIT_REQUESTS] * EbLimiter_TokensPerRequest(customer);
    demand[EB_LIMIT_TOKENS] = cap_to_limit(
        fmax(customer->token_rate, expected), limits[EB_LIMIT_TOKENS]);
}

/* Computes what a report asks for: the demand, and enough in addition to fill
 * the buckets again. A daemon whose bucket is low thereby gets more of the
 * unused contract, and fluctuations are shared as if there were one bucket. */
static void
compute_wanted(const EbLimiterCustomer *customer,
               double wanted[EB_LIMIT_COUNT])
{
    const double *limits = customer->limits;
    memcpy(wanted, customer->demand, sizeof(customer->demand));
    if (EbLimiter_IsIdle(customer->demand)) {
        return;
    }
    wanted[EB_LIMIT_REQUESTS] = cap_to_limit(
        wanted[EB_LIMIT_REQUESTS] +
            (customer->request_depth - customer->request_level) / REFILL_S,
        limits[EB_LIMIT_REQUESTS]);
    wanted[EB_LIMIT_TOKENS] = cap_to_limit(
        wanted[EB_LIMIT_TOKENS] +
            (customer->token_depth - customer->token_level) / REFILL_S,
        limits[EB_LIMIT_TOKENS]);
}

/* Returns whether the last report still describes what is wanted. */
static bool
is_report_current(const EbLimiterCustomer *customer,
                  const double wanted[EB_LIMIT_COUNT], int64_t now_us)
{
    if (customer->reported_us < 0 ||
        now_us - customer->reported_us >= STEADY_REPORT_INTERVAL_US) {
        return false;
    }
    const double least[EB_LIMIT_COUNT] = {
        [EB_LIMIT_REQUESTS] = REPORT_CHANGE_MIN,
        [EB_LIMIT_CONCURRENT] = REPORT_CHANGE_MIN,
        [EB_LIMIT_TOKENS] =
            REPORT_CHANGE_MIN * EbLimiter_TokensPerRequest(customer),
    };
    for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
        double previous = customer->reported[kind];
        double tolerance = REPORT_CHANGE * previous +
                           REPORT_CHANGE_OF_LIMIT * customer->limits[kind];
        tolerance = fmax(tolerance, least[kind]);
        if (fabs(wanted[kind] - previous) > tolerance) {
            return false;
        }
    }
    return true;
}

/* Updates the estimates with the window and begins a new one. */
static void
end_window(EbLimiterCustomer *customer, int64_t now_us)
{
    update_demand(customer, now_us);
    if (customer->window_offered == 0 && customer->in_flight == 0 &&
        customer->demand[EB_LIMIT_REQUESTS] < NEGLIGIBLE_REQUESTS_PER_S) {
        memset(customer->demand, 0, sizeof(customer->demand));
        customer->token_rate = 0;
    }
    customer->window_start_us = now_us;
    customer->window_offered = 0;
    customer->window_refused_concurrent = 0;
    customer->peak_in_flight = customer->in_flight;
    customer->window_tokens = 0;
    if (customer->finished_requests > TOKEN_MEAN_REQUESTS) {
        customer->charged_tokens /= 2;
        customer->finished_requests /= 2;
    }
}

/* Writes the estimates as a report. Without demand the grant ends here at the
 * same time, so that the home can give the share to others at once. */
static EbLimiterShare
write_report(EbLimiter *limiter, EbLimiterCustomer *customer,
             const double wanted[EB_LIMIT_COUNT], int64_t now_us)
{
    if (customer->urgent) {
        customer->urgent = false;
        g_queue_remove(&limiter->urgent, customer);
    }
    memcpy(customer->reported, wanted, sizeof(customer->reported));
    customer->reported_us = now_us;
    if (customer->unanswered_us < 0) {
        customer->unanswered_us = now_us;
    }
    if (EbLimiter_IsIdle(wanted)) {
        customer->unanswered_us = -1;
        customer->grant_until_us = now_us;
        customer->active = false;
        g_ptr_array_remove_fast(limiter->active, customer);
    }
    return (EbLimiterShare){
        .customer = customer->id,
        .requests_per_s_milli = (uint64_t)(wanted[EB_LIMIT_REQUESTS] * 1000),
        .concurrent_requests = (uint32_t)ceil(wanted[EB_LIMIT_CONCURRENT]),
        .tokens_per_s = (uint64_t)wanted[EB_LIMIT_TOKENS],
    };
}

size_t
EbLimiter_WriteReport(EbLimiter *limiter, const char *home,
                      EbLimiterShare *shares, size_t max, int64_t now_us)
{
    size_t count = 0;
    /* Homes are compared by address, since this loop runs for 400 customers
     * times 330 homes. */
    home = EbLimiter_FindMember(limiter, home);
    if (home == NULL) {
        return 0;
    }
    /* Backwards, since a customer that has become idle is removed by moving
     * the last one into its place. */
    for (guint i = limiter->active->len; i > 0 && count < max; i--) {
        EbLimiterCustomer *customer =
            g_ptr_array_index(limiter->active, i - 1);
        /* An urgent report for another customer may come early in the window
         * of this one. */
        bool is_due = customer->urgent || customer->reported_us < 0 ||
                      now_us - customer->window_start_us >=
                          EB_LIMITER_REPORT_INTERVAL_US / 2;
        if (!is_due || EbLimiter_HomeOf(limiter, customer) != home) {
            continue;
        }
        end_window(customer, now_us);
        EbLimiter_Refill(limiter, customer, now_us);
        double wanted[EB_LIMIT_COUNT];
        compute_wanted(customer, wanted);
        if (customer->urgent || !is_report_current(customer, wanted, now_us)) {
            shares[count++] = write_report(limiter, customer, wanted, now_us);
        }
    }
    return count;
}
