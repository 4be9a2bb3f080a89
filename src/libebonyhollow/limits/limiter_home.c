#include <math.h>
#include <string.h>

#include "limiter_state.h"

/* The floors of all daemons add up to a tenth of the contract. */
#define FLOOR_SHARE 0.1
/* Part of the unused contract that is divided. The rest is kept, so that the
 * next report of higher demand can be granted at once. */
#define SLACK_SHARE 0.75
/* A grant is changed without a report only if it changes by more than this
 * factor. */
#define MIN_CHANGE_FACTOR 1.1
#define MIN_COVERED_CHANGE_FACTOR 2.0 /* if the grant covers the demand */
/* Part of a limit that has to be free before a grant is raised. */
#define MIN_FREE_SHARE 0.01
/* Minimum time between searches for grants to change, for each reporter. */
#define REBALANCE_INTERVAL_PER_REPORTER_US 300

/* Returns the least that every reporter is granted. After a loss of members
 * there may be more reporters than live daemons for a while. */
static double
grant_floor(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            EbLimitKind kind)
{
    if (kind == EB_LIMIT_CONCURRENT) {
        return 1;
    }
    uint32_t reporters = g_hash_table_size(customer->reporters);
    return FLOOR_SHARE * customer->limits[kind] /
           MAX(limiter->member_count, reporters);
}

typedef struct {
    double demand;  /* of all reporters */
    double granted; /* to all reporters */
    uint32_t reporters;
} Totals;

static gboolean
has_expired(gpointer key, gpointer value, gpointer now_us)
{
    (void)key;
    return ((EbLimiterReporter *)value)->expires_us <= *(int64_t *)now_us;
}

static void
sum_reporters(const EbLimiterCustomer *customer, Totals totals[EB_LIMIT_COUNT])
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const EbLimiterReporter *reporter = value;
        for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
            totals[kind].demand += reporter->demand[kind];
            totals[kind].reporters += reporter->demand[kind] > 0;
            totals[kind].granted += reporter->granted[kind];
        }
    }
}

/* Computes the share of one reporter: its demand and a part of the unused
 * contract. Half of that part is divided in proportion to demand and half
 * equally, since small demands fluctuate more. If the demand exceeds the
 * contract, the contract is divided in proportion to demand. */
static double
compute_target(double limit, double demand, double equal, const Totals *totals)
{
    if (demand <= 0) {
        return 0;
    }
    if (totals->demand > limit) {
        return limit * demand / totals->demand;
    }
    double mean = totals->demand / totals->reporters;
    double slack = SLACK_SHARE * (limit - totals->demand);
    double target = demand + slack * (demand + mean) / (2 * totals->demand);
    /* The first reporter must not take everything before others report. */
    return fmin(target, 2 * demand + equal);
}

static double
reporter_target(const EbLimiter *limiter, const EbLimiterCustomer *customer,
                const EbLimiterReporter *reporter, EbLimitKind kind,
                const Totals *totals)
{
    return compute_target(customer->limits[kind], reporter->demand[kind],
                          EbLimiter_EqualShare(limiter, customer, kind),
                          totals);
}

/* Computes the grants that a reporter could get now. */
static void
compute_grants(const EbLimiter *limiter, const EbLimiterCustomer *customer,
               const EbLimiterReporter *reporter,
               const Totals totals[EB_LIMIT_COUNT],
               double grants[EB_LIMIT_COUNT])
{
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        EbLimitKind kind = (EbLimitKind)i;
        double limit = customer->limits[kind];
        double minimum = grant_floor(limiter, customer, kind);
        double target =
            reporter_target(limiter, customer, reporter, kind, &totals[kind]);
        double others = totals[kind].granted - reporter->granted[kind];
        double free_share = limit - others;
        double grant = fmax(fmin(target, free_share), minimum);
        grants[kind] = kind == EB_LIMIT_CONCURRENT ? floor(grant) : grant;
    }
}

static EbLimiterShare
make_grant(const EbLimiter *limiter, const EbLimiterCustomer *customer,
           EbLimiterReporter *reporter, int64_t now_us)
{
    Totals totals[EB_LIMIT_COUNT] = {{0}};
    sum_reporters(customer, totals);
    compute_grants(limiter, customer, reporter, totals, reporter->granted);
    reporter->granted_us = now_us;
    const double *granted = reporter->granted;
    return (EbLimiterShare){
        .customer = customer->id,
        .requests_per_s_milli = (uint64_t)(granted[EB_LIMIT_REQUESTS] * 1000),
        .concurrent_requests = (uint32_t)granted[EB_LIMIT_CONCURRENT],
        .tokens_per_s = (uint64_t)granted[EB_LIMIT_TOKENS],
    };
}

static EbLimiterReporter *
get_reporter(EbLimiterCustomer *customer, const char *instance, int64_t now_us)
{
    if (customer->reporters == NULL) {
        customer->reporters =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    g_hash_table_foreach_remove(customer->reporters, has_expired, &now_us);
    EbLimiterReporter *reporter =
        g_hash_table_lookup(customer->reporters, instance);
    if (reporter == NULL) {
        reporter = g_new0(EbLimiterReporter, 1);
        g_hash_table_insert(customer->reporters, g_strdup(instance), reporter);
    }
    return reporter;
}

size_t
EbLimiter_AnswerReport(EbLimiter *limiter, const char *instance,
                       const EbLimiterShare *reports, size_t report_count,
                       EbLimiterShare *grants, int64_t now_us)
{
    size_t count = 0;
    for (size_t i = 0; i < report_count; i++) {
        EbLimiterCustomer *customer =
            g_hash_table_lookup(limiter->customers, reports[i].customer);
        if (customer == NULL) {
            continue; /* not in this generation of the configuration */
        }
        EbLimiterReporter *reporter = get_reporter(customer, instance, now_us);
        reporter->demand[EB_LIMIT_REQUESTS] =
            (double)reports[i].requests_per_s_milli / 1000;
        reporter->demand[EB_LIMIT_CONCURRENT] = reports[i].concurrent_requests;
        reporter->demand[EB_LIMIT_TOKENS] = (double)reports[i].tokens_per_s;
        reporter->expires_us = now_us + EB_LIMITER_GRANT_VALIDITY_US;
        if (EbLimiter_IsIdle(reporter->demand)) {
            g_hash_table_remove(customer->reporters, instance);
        }
        else {
            grants[count++] = make_grant(limiter, customer, reporter, now_us);
        }
        if (!customer->rebalance_pending) {
            customer->rebalance_pending = true;
            g_queue_push_tail(&limiter->rebalance_queue, customer);
        }
    }
    return count;
}

/* Returns whether a higher grant is worth a message. A grant that covers the
 * demand is raised only if it is far below the target; otherwise it leaves
 * enough room for fluctuations. */
static bool
is_worth_raising(const EbLimiterReporter *reporter, EbLimitKind kind,
                 double grant)
{
    double granted = reporter->granted[kind];
    double min_factor = granted < reporter->demand[kind]
                            ? MIN_CHANGE_FACTOR
                            : MIN_COVERED_CHANGE_FACTOR;
    return grant > min_factor * granted;
}

/* Returns whether a reporter's grant could be raised now. */
static bool
may_raise(const EbLimiter *limiter, const EbLimiterCustomer *customer,
          const EbLimiterReporter *reporter,
          const Totals totals[EB_LIMIT_COUNT])
{
    double grants[EB_LIMIT_COUNT];
    compute_grants(limiter, customer, reporter, totals, grants);
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        EbLimitKind kind = (EbLimitKind)i;
        if (customer->limits[kind] > 0 &&
            is_worth_raising(reporter, kind, grants[kind])) {
            return true;
        }
    }
    return false;
}

/* Returns whether enough of any limit is free to look for a grant to raise. */
static bool
has_free_share(const EbLimiterCustomer *customer,
               const Totals totals[EB_LIMIT_COUNT])
{
    for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
        double limit = customer->limits[kind];
        if (limit - totals[kind].granted > MIN_FREE_SHARE * limit) {
            return true;
        }
    }
    return false;
}

/* Returns whether a reporter would get more of a limit if the others held no
 * more than their targets. Always false when the demand exceeds the contract.
 */
static bool
is_short_of_share(const EbLimiter *limiter, const EbLimiterCustomer *customer,
                  const EbLimiterReporter *reporter, EbLimitKind kind,
                  const Totals *totals)
{
    return customer->limits[kind] > 0 &&
           totals->demand <= customer->limits[kind] &&
           is_worth_raising(
               reporter, kind,
               reporter_target(limiter, customer, reporter, kind, totals));
}

/* Returns how much a reporter holds above its target, 0 if lowering its grant
 * is not worth a message. */
static double
excess_grant(const EbLimiter *limiter, const EbLimiterCustomer *customer,
             const EbLimiterReporter *reporter, EbLimitKind kind,
             const Totals *totals)
{
    double target = reporter_target(limiter, customer, reporter, kind, totals);
    double granted = reporter->granted[kind];
    return granted > MIN_CHANGE_FACTOR * target ? granted - target : 0;
}

/* Returns the reporter that holds most above its target and may be changed
 * now, or NULL. */
static EbLimiterReporter *
find_largest_excess(const EbLimiter *limiter,
                    const EbLimiterCustomer *customer, EbLimitKind kind,
                    const Totals *totals, const char **instance,
                    int64_t now_us)
{
    EbLimiterReporter *largest = NULL;
    double most = 0;
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        EbLimiterReporter *reporter = value;
        double excess =
            excess_grant(limiter, customer, reporter, kind, totals);
        if (excess > most && now_us < reporter->expires_us &&
            now_us - reporter->granted_us >= EB_LIMITER_URGENT_INTERVAL_US) {
            *instance = key;
            largest = reporter;
            most = excess;
        }
    }
    return largest;
}

/* Returns a reporter whose grant should be lowered because another one is
 * short of its share, or NULL. Otherwise a daemon where requests begin to
 * arrive would have only the floor until the daemons that hold the unused part
 * of the contract report again. */
static EbLimiterReporter *
find_reclaimable(const EbLimiter *limiter, const EbLimiterCustomer *customer,
                 const Totals totals[EB_LIMIT_COUNT], const char **instance,
                 int64_t now_us)
{
    EbLimiterReporter *most_excess[EB_LIMIT_COUNT];
    const char *names[EB_LIMIT_COUNT] = {NULL};
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        most_excess[i] = find_largest_excess(limiter, customer, (EbLimitKind)i,
                                             &totals[i], &names[i], now_us);
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        EbLimiterReporter *reporter = value;
        for (int i = 0; i < EB_LIMIT_COUNT; i++) {
            EbLimitKind kind = (EbLimitKind)i;
            if (most_excess[kind] != NULL &&
                is_short_of_share(limiter, customer, reporter, kind,
                                  &totals[kind])) {
                /* Its own grant may then be raised at once. */
                reporter->granted_us = now_us - EB_LIMITER_URGENT_INTERVAL_US;
                *instance = names[kind];
                return most_excess[kind];
            }
        }
    }
    return NULL;
}

/* Returns a reporter whose grant may be raised, or NULL. */
static EbLimiterReporter *
find_raisable(const EbLimiter *limiter, const EbLimiterCustomer *customer,
              const Totals totals[EB_LIMIT_COUNT], const char **instance,
              int64_t now_us)
{
    if (!has_free_share(customer, totals)) {
        return NULL;
    }
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        EbLimiterReporter *reporter = value;
        if (now_us < reporter->expires_us &&
            now_us - reporter->granted_us >= EB_LIMITER_URGENT_INTERVAL_US &&
            may_raise(limiter, customer, reporter, totals)) {
            *instance = key;
            return reporter;
        }
    }
    return NULL;
}

/* Returns a reporter whose grant should change before its next report, or
 * NULL. */
static EbLimiterReporter *
find_grant_change(const EbLimiter *limiter, const EbLimiterCustomer *customer,
                  const char **instance, int64_t now_us)
{
    Totals totals[EB_LIMIT_COUNT] = {{0}};
    sum_reporters(customer, totals);
    EbLimiterReporter *reporter =
        find_raisable(limiter, customer, totals, instance, now_us);
    return reporter != NULL
               ? reporter
               : find_reclaimable(limiter, customer, totals, instance, now_us);
}

/* Limits the rate of searches: one after each report would take time in
 * proportion to the square of the number of reporters. Calls at the same time
 * belong to one search, which returns one change after another. */
static bool
is_rebalance_due(const EbLimiterCustomer *customer, int64_t now_us)
{
    int64_t interval_us = REBALANCE_INTERVAL_PER_REPORTER_US *
                          (int64_t)g_hash_table_size(customer->reporters);
    return now_us == customer->rebalanced_us ||
           now_us - customer->rebalanced_us >= interval_us;
}

bool
EbLimiter_NextGrantChange(EbLimiter *limiter, const char **instance,
                          EbLimiterShare *share, int64_t now_us)
{
    for (GList *link = limiter->rebalance_queue.head; link != NULL;) {
        GList *next = link->next;
        EbLimiterCustomer *customer = link->data;
        if (is_rebalance_due(customer, now_us)) {
            customer->rebalanced_us = now_us;
            EbLimiterReporter *reporter =
                find_grant_change(limiter, customer, instance, now_us);
            if (reporter != NULL) {
                *share = make_grant(limiter, customer, reporter, now_us);
                return true;
            }
            customer->rebalance_pending = false;
            g_queue_delete_link(&limiter->rebalance_queue, link);
        }
        link = next;
    }
    return false;
}
