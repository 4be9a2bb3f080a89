#include <math.h>
#include <string.h>

#include "limiter_state.h"

/* Floors of all daemons together are a tenth of the contract. */
#define FLOOR_SHARE 0.1
/* Part of the unused contract that is divided; the rest answers the next
 * report of grown demand at once. */
#define SLACK_SHARE 0.75
/* A grant is changed without a report if it changes at least by this factor.
 */
#define PUSH_GAIN 1.1
#define SLACK_GAIN 2.0 /* where the grant covers the demand */
#define PUSH_FREE_SHARE 0.01
#define PUSH_INTERVAL_US 300 /* for each reporter */

/* What every reporter is granted at least. Reporters may outnumber the live
 * daemons for a while when members are lost. */
static double
find_floor(const EbLimiter *limiter, const EbLimiterCustomer *customer,
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
add_up(const EbLimiterCustomer *customer, Totals totals[EB_LIMIT_COUNT])
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

/* The share of one reporter: its demand and a part of what is unused, half
 * of it in proportion to demand and half equally, since small demands
 * fluctuate more. Above the contract, the proportion of its demand. */
static double
find_target(double limit, double demand, double equal, const Totals *totals)
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
target_of(const EbLimiter *limiter, const EbLimiterCustomer *customer,
          const EbLimiterReporter *reporter, EbLimitKind kind,
          const Totals *totals)
{
    return find_target(customer->limits[kind], reporter->demand[kind],
                       EbLimiter_EqualShare(limiter, customer, kind), totals);
}

/* Computes what each limit of a reporter could be now. */
static void
find_grants(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            const EbLimiterReporter *reporter,
            const Totals totals[EB_LIMIT_COUNT], double grants[EB_LIMIT_COUNT])
{
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        EbLimitKind kind = (EbLimitKind)i;
        double limit = customer->limits[kind];
        double lowest = find_floor(limiter, customer, kind);
        double target =
            target_of(limiter, customer, reporter, kind, &totals[kind]);
        double others = totals[kind].granted - reporter->granted[kind];
        double free_share = limit - others;
        double grant = fmax(fmin(target, free_share), lowest);
        grants[kind] = kind == EB_LIMIT_CONCURRENT ? floor(grant) : grant;
    }
}

static EbLimiterShare
grant(const EbLimiter *limiter, const EbLimiterCustomer *customer,
      EbLimiterReporter *reporter, int64_t now_us)
{
    Totals totals[EB_LIMIT_COUNT] = {{0}};
    add_up(customer, totals);
    find_grants(limiter, customer, reporter, totals, reporter->granted);
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
        reporter->expires_us = now_us + EB_LIMITER_GRANT_US;
        if (EbLimiter_IsIdle(reporter->demand)) {
            g_hash_table_remove(customer->reporters, instance);
        }
        else {
            grants[count++] = grant(limiter, customer, reporter, now_us);
        }
        if (!customer->rebalance_pending) {
            customer->rebalance_pending = true;
            g_queue_push_tail(&limiter->rebalance_queue, customer);
        }
    }
    return count;
}

/* Returns whether a higher grant is worth a message. One that covers the
 * demand leaves room for fluctuations, unless it is far below the target. */
static bool
is_worth_raising(const EbLimiterReporter *reporter, EbLimitKind kind,
                 double grant)
{
    double granted = reporter->granted[kind];
    double gain = granted < reporter->demand[kind] ? PUSH_GAIN : SLACK_GAIN;
    return grant > gain * granted;
}

/* Returns whether a reporter's grant could be raised now. */
static bool
may_raise(const EbLimiter *limiter, const EbLimiterCustomer *customer,
          const EbLimiterReporter *reporter,
          const Totals totals[EB_LIMIT_COUNT])
{
    double grants[EB_LIMIT_COUNT];
    find_grants(limiter, customer, reporter, totals, grants);
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        EbLimitKind kind = (EbLimitKind)i;
        if (customer->limits[kind] > 0 &&
            is_worth_raising(reporter, kind, grants[kind])) {
            return true;
        }
    }
    return false;
}

/* Returns whether enough of a limit is free to look for a reporter. */
static bool
has_free_share(const EbLimiterCustomer *customer,
               const Totals totals[EB_LIMIT_COUNT])
{
    for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
        double limit = customer->limits[kind];
        if (limit - totals[kind].granted > PUSH_FREE_SHARE * limit) {
            return true;
        }
    }
    return false;
}

/* Returns whether a reporter would get more of a limit if others held no more
 * than their targets, while all demand fits into the contract. */
static bool
lacks_share(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            const EbLimiterReporter *reporter, EbLimitKind kind,
            const Totals *totals)
{
    return customer->limits[kind] > 0 &&
           totals->demand <= customer->limits[kind] &&
           is_worth_raising(
               reporter, kind,
               target_of(limiter, customer, reporter, kind, totals));
}

/* How much a reporter holds above its target; 0 if it is not worth a message.
 */
static double
find_excess(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            const EbLimiterReporter *reporter, EbLimitKind kind,
            const Totals *totals)
{
    double target = target_of(limiter, customer, reporter, kind, totals);
    double granted = reporter->granted[kind];
    return granted > PUSH_GAIN * target ? granted - target : 0;
}

/* Finds the reporter that holds most above its target. */
static EbLimiterReporter *
find_holder(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            EbLimitKind kind, const Totals *totals, const char **instance,
            int64_t now_us)
{
    EbLimiterReporter *holder = NULL;
    double most = 0;
    GHashTableIter iterator;
    gpointer key, value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        EbLimiterReporter *reporter = value;
        double excess = find_excess(limiter, customer, reporter, kind, totals);
        if (excess > most && now_us < reporter->expires_us &&
            now_us - reporter->granted_us >= EB_LIMITER_URGENT_US) {
            *instance = key;
            holder = reporter;
            most = excess;
        }
    }
    return holder;
}

/* Finds a reporter whose grant may be lowered, because another one lacks its
 * share. Without it a daemon where requests begin to arrive has the floor
 * only, until those that hold the slack report again. */
static EbLimiterReporter *
find_reclaimable(const EbLimiter *limiter, const EbLimiterCustomer *customer,
                 const Totals totals[EB_LIMIT_COUNT], const char **instance,
                 int64_t now_us)
{
    EbLimiterReporter *holders[EB_LIMIT_COUNT];
    const char *names[EB_LIMIT_COUNT] = {NULL};
    for (int i = 0; i < EB_LIMIT_COUNT; i++) {
        holders[i] = find_holder(limiter, customer, (EbLimitKind)i, &totals[i],
                                 &names[i], now_us);
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, customer->reporters);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        EbLimiterReporter *reporter = value;
        for (int i = 0; i < EB_LIMIT_COUNT; i++) {
            EbLimitKind kind = (EbLimitKind)i;
            if (holders[kind] != NULL &&
                lacks_share(limiter, customer, reporter, kind,
                            &totals[kind])) {
                /* It gets what is freed at once. */
                reporter->granted_us = now_us - EB_LIMITER_URGENT_US;
                *instance = names[kind];
                return holders[kind];
            }
        }
    }
    return NULL;
}

/* Finds a reporter whose grant may be raised. */
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
            now_us - reporter->granted_us >= EB_LIMITER_URGENT_US &&
            may_raise(limiter, customer, reporter, totals)) {
            *instance = key;
            return reporter;
        }
    }
    return NULL;
}

/* Finds a reporter whose grant should change before its next report. */
static EbLimiterReporter *
find_due(const EbLimiter *limiter, const EbLimiterCustomer *customer,
         const char **instance, int64_t now_us)
{
    Totals totals[EB_LIMIT_COUNT] = {{0}};
    add_up(customer, totals);
    EbLimiterReporter *reporter =
        find_raisable(limiter, customer, totals, instance, now_us);
    return reporter != NULL
               ? reporter
               : find_reclaimable(limiter, customer, totals, instance, now_us);
}

/* Looking at all reporters after each report would cost time in proportion to
 * their square. */
static bool
is_look_due(const EbLimiterCustomer *customer, int64_t now_us)
{
    int64_t interval_us =
        PUSH_INTERVAL_US * (int64_t)g_hash_table_size(customer->reporters);
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
        if (is_look_due(customer, now_us)) {
            customer->rebalanced_us = now_us;
            EbLimiterReporter *reporter =
                find_due(limiter, customer, instance, now_us);
            if (reporter != NULL) {
                *share = grant(limiter, customer, reporter, now_us);
                return true;
            }
            customer->rebalance_pending = false;
            g_queue_delete_link(&limiter->rebalance_queue, link);
        }
        link = next;
    }
    return false;
}
