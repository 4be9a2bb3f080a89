#include <math.h>
#include <string.h>

#include "limiter_state.h"

#define US_PER_S 1e6
#define DEMAND_MEMORY_S 1.0
#define TOKEN_MEMORY_S 2.0
/* Shorter windows say too little of a rate. */
#define MIN_WINDOW_S 0.2
/* Standard deviations of a Poisson count at which demand has changed rather
 * than fluctuated. */
#define CHANGE_DEVIATIONS 2.0
#define CHANGE_MIN 2.0
/* Demand below it ends with the first quiet interval; the content of a bucket
 * covers it without a grant. */
#define NEGLIGIBLE_PER_S 1.0
/* Change of an estimate that is worth a report. */
#define REPORT_CHANGE 0.2
#define REPORT_CHANGE_MIN 1.0 /* request a second, or in flight */
#define REPORT_CHANGE_OF_LIMIT 0.02
#define PEAK_MEMORY_S 5.0
/* Steady demand is reported less often than at every interval, but often
 * enough that a lost report doesn't let the grant lapse. */
#define STEADY_REPORT_US 2000000
#define REFILL_S 2.0
#define MEAN_REQUESTS 64 /* requests that the mean of tokens remembers */

void
EbLimiter_MarkActive(EbLimiter *limiter, EbLimiterCustomer *customer,
                     int64_t now_us)
{
    if (!customer->active) {
        customer->active = true;
        customer->window_us = now_us;
        g_ptr_array_add(limiter->active, customer);
    }
}

static double
window_s(const EbLimiterCustomer *customer, int64_t now_us)
{
    double elapsed_s = (double)(now_us - customer->window_us) / US_PER_S;
    return fmax(elapsed_s, MIN_WINDOW_S);
}

/* How far a count may be from its expectation without a change of demand. */
static double
fluctuation(double expected)
{
    return CHANGE_DEVIATIONS * sqrt(expected) + CHANGE_MIN;
}

/* More than the peak by the standard deviation of a Poisson count, so that the
 * next requests find slots. */
static double
wanted_concurrent(const EbLimiterCustomer *customer)
{
    double peak = (double)customer->peak + customer->refused_concurrent;
    return peak + sqrt(peak);
}

/* Asks for a report before its time when demand has grown beyond what the
 * home knows. A customer that is refused at a known demand causes none. */
void
EbLimiter_MarkUrgent(EbLimiter *limiter, EbLimiterCustomer *customer,
                     double share_concurrent, int64_t now_us)
{
    if (customer->urgent) {
        return;
    }
    const double *limits = customer->limits;
    const double *reported = customer->reported;
    double elapsed_s = (double)(now_us - customer->window_us) / US_PER_S;
    double expected = customer->demand[EB_LIMIT_REQUESTS] * elapsed_s;
    bool more_requests =
        reported[EB_LIMIT_REQUESTS] < limits[EB_LIMIT_REQUESTS] &&
        customer->offered > expected + fluctuation(expected);
    /* Before the first refusal: the next request would find no slot. */
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
            now_us - customer->reported_us >= EB_LIMITER_URGENT_US) {
            return EbLimiter_HomeOf(limiter, customer);
        }
    }
    return NULL;
}

static double
update_rate(double known, double count, double elapsed_s)
{
    double expected = known * elapsed_s;
    double rate = count / elapsed_s;
    if (count < expected - fluctuation(expected)) {
        return rate;
    }
    if (count > expected + fluctuation(expected)) {
        /* The window began before the growth. */
        return (count + CHANGE_DEVIATIONS * sqrt(count)) / elapsed_s;
    }
    return known + (1 - exp(-elapsed_s / DEMAND_MEMORY_S)) * (rate - known);
}

static double
bound(double demand, double limit)
{
    return limit > 0 ? fmin(demand, limit) : demand;
}

static void
update_demand(EbLimiterCustomer *customer, int64_t now_us)
{
    double elapsed_s = window_s(customer, now_us);
    const double *limits = customer->limits;
    double *demand = customer->demand;
    demand[EB_LIMIT_REQUESTS] = bound(
        update_rate(demand[EB_LIMIT_REQUESTS], customer->offered, elapsed_s),
        limits[EB_LIMIT_REQUESTS]);
    demand[EB_LIMIT_CONCURRENT] = bound(
        fmax(wanted_concurrent(customer),
             exp(-elapsed_s / PEAK_MEMORY_S) * demand[EB_LIMIT_CONCURRENT]),
        limits[EB_LIMIT_CONCURRENT]);
    double gain = 1 - exp(-elapsed_s / TOKEN_MEMORY_S);
    customer->token_rate +=
        gain * (customer->window_tokens / elapsed_s - customer->token_rate);
    /* Requests refused or just begun have generated nothing yet. */
    double expected =
        demand[EB_LIMIT_REQUESTS] * EbLimiter_TokensPerRequest(customer);
    demand[EB_LIMIT_TOKENS] =
        bound(fmax(customer->token_rate, expected), limits[EB_LIMIT_TOKENS]);
}

/* What a report asks for: the demand, and enough on top to fill the buckets
 * again. The daemon whose bucket is low gets more of the unused contract, so
 * that fluctuations are shared as if there were one bucket. */
static void
find_wanted(const EbLimiterCustomer *customer, double wanted[EB_LIMIT_COUNT])
{
    const double *limits = customer->limits;
    memcpy(wanted, customer->demand, sizeof(customer->demand));
    if (EbLimiter_IsIdle(customer->demand)) {
        return;
    }
    wanted[EB_LIMIT_REQUESTS] =
        bound(wanted[EB_LIMIT_REQUESTS] +
                  (customer->request_depth - customer->requests) / REFILL_S,
              limits[EB_LIMIT_REQUESTS]);
    wanted[EB_LIMIT_TOKENS] =
        bound(wanted[EB_LIMIT_TOKENS] +
                  (customer->token_depth - customer->tokens) / REFILL_S,
              limits[EB_LIMIT_TOKENS]);
}

/* Returns whether the last report still describes what is wanted. */
static bool
is_steady(const EbLimiterCustomer *customer,
          const double wanted[EB_LIMIT_COUNT], int64_t now_us)
{
    if (customer->reported_us < 0 ||
        now_us - customer->reported_us >= STEADY_REPORT_US) {
        return false;
    }
    const double least[EB_LIMIT_COUNT] = {
        [EB_LIMIT_REQUESTS] = REPORT_CHANGE_MIN,
        [EB_LIMIT_CONCURRENT] = REPORT_CHANGE_MIN,
        [EB_LIMIT_TOKENS] =
            REPORT_CHANGE_MIN * EbLimiter_TokensPerRequest(customer),
    };
    for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
        double known = customer->reported[kind];
        double tolerance = REPORT_CHANGE * known +
                           REPORT_CHANGE_OF_LIMIT * customer->limits[kind];
        tolerance = fmax(tolerance, least[kind]);
        if (fabs(wanted[kind] - known) > tolerance) {
            return false;
        }
    }
    return true;
}

/* Folds the window into the estimates and begins a new one. */
static void
end_window(EbLimiterCustomer *customer, int64_t now_us)
{
    update_demand(customer, now_us);
    if (customer->offered == 0 && customer->in_flight == 0 &&
        customer->demand[EB_LIMIT_REQUESTS] < NEGLIGIBLE_PER_S) {
        memset(customer->demand, 0, sizeof(customer->demand));
        customer->token_rate = 0;
    }
    customer->window_us = now_us;
    customer->offered = 0;
    customer->refused_concurrent = 0;
    customer->peak = customer->in_flight;
    customer->window_tokens = 0;
    if (customer->finished_requests > MEAN_REQUESTS) {
        customer->charged_tokens /= 2;
        customer->finished_requests /= 2;
    }
}

/* Writes the estimates as a report. A customer without demand ends its grant
 * here, so that the home can hand its share to others at once. */
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
    /* Homes are compared by address: 400 customers times 330 homes. */
    home = EbLimiter_FindMember(limiter, home);
    if (home == NULL) {
        return 0;
    }
    /* Backwards, since a customer that fell idle is removed by moving the
     * last one into its place. */
    for (guint i = limiter->active->len; i > 0 && count < max; i--) {
        EbLimiterCustomer *customer =
            g_ptr_array_index(limiter->active, i - 1);
        /* A report of another customer may come in mid-window. */
        bool is_due = customer->urgent || customer->reported_us < 0 ||
                      now_us - customer->window_us >= EB_LIMITER_REPORT_US / 2;
        if (!is_due || EbLimiter_HomeOf(limiter, customer) != home) {
            continue;
        }
        end_window(customer, now_us);
        EbLimiter_Refill(limiter, customer, now_us);
        double wanted[EB_LIMIT_COUNT];
        find_wanted(customer, wanted);
        if (customer->urgent || !is_steady(customer, wanted, now_us)) {
            shares[count++] = write_report(limiter, customer, wanted, now_us);
        }
    }
    return count;
}
