#include "ebonyhollow/limiter.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "limiter_state.h"

/* Requests that every daemon may admit at once, so that a customer with sparse
 * traffic is not refused although its share is far below one request. */
#define MIN_BURST_REQUESTS 3
#define MIN_BURST_SHARES 2.0
/* Token buckets hold the share of this many seconds. */
#define TOKEN_BURST_S 2.0
#define US_PER_S 1e6

static void
free_customer(gpointer pointer)
{
    EbLimiterCustomer *customer = pointer;
    if (customer->reporters != NULL) {
        g_hash_table_destroy(customer->reporters);
    }
    g_free(customer->id);
    g_free(customer);
}

static void
set_contract(EbLimiterCustomer *customer, const EbContract *contract)
{
    double rate = (double)contract->requests_per_s_milli / 1000;
    customer->limits[EB_LIMIT_REQUESTS] = rate;
    customer->limits[EB_LIMIT_CONCURRENT] = contract->concurrent_requests;
    customer->limits[EB_LIMIT_TOKENS] = (double)contract->tokens_per_s;
    customer->burst = contract->burst_requests > 0 ? contract->burst_requests
                                                   : fmax(rate, 1);
}

void
EbLimiter_SetConfig(EbLimiter *limiter, const EbConfig *config)
{
    GHashTable *old = limiter->customers;
    limiter->customers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_customer);
    g_ptr_array_set_size(limiter->active, 0);
    g_queue_clear(&limiter->urgent);
    g_queue_clear(&limiter->rebalance_queue);
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *row = &config->customers[i];
        if (g_hash_table_contains(limiter->customers, row->id)) {
            continue; /* listed twice: the first contract holds */
        }
        EbLimiterCustomer *customer = NULL;
        if (old != NULL) {
            g_hash_table_steal_extended(old, row->id, NULL,
                                        (gpointer *)&customer);
        }
        if (customer == NULL) {
            customer = g_new0(EbLimiterCustomer, 1);
            customer->id = g_strdup(row->id);
            customer->reported_us = -1;
            customer->unanswered_us = -1;
        }
        customer->urgent = false;
        customer->rebalance_pending = false;
        set_contract(customer, &row->contract);
        g_hash_table_insert(limiter->customers, customer->id, customer);
        if (customer->active) {
            g_ptr_array_add(limiter->active, customer);
        }
    }
    if (old != NULL) {
        g_hash_table_destroy(old);
    }
}

EbLimiter *
EbLimiter_New(const EbLimiterOptions *options)
{
    EbLimiter *limiter = g_new0(EbLimiter, 1);
    limiter->instance = g_strdup(options->instance);
    limiter->active = g_ptr_array_new();
    limiter->member_names = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&limiter->urgent);
    g_queue_init(&limiter->rebalance_queue);
    EbLimiter_SetConfig(limiter, options->config);
    EbLimiter_SetMembers(limiter, &options->instance, 1, 0);
    return limiter;
}

void
EbLimiter_Free(EbLimiter *limiter)
{
    if (limiter == NULL) {
        return;
    }
    g_queue_clear(&limiter->urgent);
    g_queue_clear(&limiter->rebalance_queue);
    g_ptr_array_free(limiter->active, TRUE);
    g_hash_table_destroy(limiter->customers);
    g_hash_table_destroy(limiter->member_names);
    g_strfreev(limiter->members);
    g_free(limiter->instance);
    g_free(limiter);
}

static EbLimiterCustomer *
find_customer(const EbLimiter *limiter, const char *id)
{
    return g_hash_table_lookup(limiter->customers, id);
}

static const char *
find_home(const EbLimiter *limiter, const char *id)
{
    XXH64_hash_t seed = XXH64(id, strlen(id), 0);
    const char *home = NULL;
    uint64_t highest = 0;
    for (uint32_t i = 0; i < limiter->member_count; i++) {
        const char *member = limiter->members[i];
        uint64_t rank = XXH64(member, strlen(member), seed);
        if (home == NULL || rank > highest ||
            (rank == highest && strcmp(member, home) < 0)) {
            home = member;
            highest = rank;
        }
    }
    return home;
}

/* Finds the home of an active customer again. A new home doesn't know its
 * demand, so the next report is due at once. */
static void
update_home(const EbLimiter *limiter, EbLimiterCustomer *customer)
{
    const char *old = customer->home;
    customer->home = find_home(limiter, customer->id);
    if (old == NULL || strcmp(old, customer->home) != 0) {
        customer->reported_us = -1;
        customer->unanswered_us = -1;
    }
}

void
EbLimiter_SetMembers(EbLimiter *limiter, const char *const *instances,
                     size_t count, int64_t now_us)
{
    (void)now_us;
    assert(count > 0);
    char **old = limiter->members;
    g_hash_table_remove_all(limiter->member_names);
    limiter->members = g_new0(char *, count + 1);
    limiter->member_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        limiter->members[i] = g_strdup(instances[i]);
        g_hash_table_add(limiter->member_names, limiter->members[i]);
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, limiter->customers);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        EbLimiterCustomer *customer = value;
        if (customer->active) {
            update_home(limiter, customer);
        }
        else {
            customer->home = NULL;
        }
    }
    g_strfreev(old);
}

const char *
EbLimiter_HomeOf(const EbLimiter *limiter, EbLimiterCustomer *customer)
{
    if (customer->home == NULL) {
        customer->home = find_home(limiter, customer->id);
    }
    return customer->home;
}

const char *
EbLimiter_Home(const EbLimiter *limiter, const char *customer)
{
    EbLimiterCustomer *found = find_customer(limiter, customer);
    return found != NULL ? EbLimiter_HomeOf(limiter, found)
                         : find_home(limiter, customer);
}

const char *
EbLimiter_FindMember(const EbLimiter *limiter, const char *instance)
{
    return g_hash_table_lookup(limiter->member_names, instance);
}

double
EbLimiter_EqualShare(const EbLimiter *limiter,
                     const EbLimiterCustomer *customer, EbLimitKind kind)
{
    double share = customer->limits[kind] / limiter->member_count;
    return kind == EB_LIMIT_CONCURRENT ? fmax(share, 1) : share;
}

static double
current_share(const EbLimiter *limiter, const EbLimiterCustomer *customer,
              EbLimitKind kind, int64_t now_us)
{
    if (now_us < customer->grant_until_us) {
        return customer->grant[kind];
    }
    return EbLimiter_EqualShare(limiter, customer, kind);
}

/* Returns the depth of the request bucket: the part of the burst that matches
 * the daemon's share, but at least twice the equal share. This covers the time
 * until new grants answer a shift of demand between daemons. With the equal
 * share alone, a customer at 90% of its contract whose demand shifted every
 * 20 s lost 2.0% of its requests instead of 0.8%. */
static double
request_depth(const EbLimiter *limiter, const EbLimiterCustomer *customer,
              double share)
{
    double part = fmax(share / customer->limits[EB_LIMIT_REQUESTS],
                       MIN_BURST_SHARES / limiter->member_count);
    return fmax(customer->burst * part,
                fmin(customer->burst, MIN_BURST_REQUESTS));
}

static double
token_depth(const EbLimiter *limiter, const EbLimiterCustomer *customer,
            double share)
{
    double equal = EbLimiter_EqualShare(limiter, customer, EB_LIMIT_TOKENS);
    return TOKEN_BURST_S * fmax(share, equal);
}

/* Returns the level of the token bucket at or below which new requests are
 * refused. A daemon may thus owe the tokens of MIN_BURST_REQUESTS requests,
 * the last of them admitted just above this level. The reason is the same as
 * for MIN_BURST_REQUESTS. */
static double
token_threshold(const EbLimiterCustomer *customer)
{
    return -(MIN_BURST_REQUESTS - 1) * EbLimiter_TokensPerRequest(customer);
}

static double
fill_bucket(double level, double rate, double elapsed_s, double depth,
            bool filled)
{
    return filled ? fmin(level + rate * elapsed_s, depth) : depth;
}

void
EbLimiter_Refill(const EbLimiter *limiter, EbLimiterCustomer *customer,
                 int64_t now_us)
{
    double elapsed_s =
        (double)MAX(now_us - customer->refilled_us, 0) / US_PER_S;
    if (customer->limits[EB_LIMIT_REQUESTS] > 0) {
        double share =
            current_share(limiter, customer, EB_LIMIT_REQUESTS, now_us);
        customer->request_depth = request_depth(limiter, customer, share);
        customer->request_level =
            fill_bucket(customer->request_level, share, elapsed_s,
                        customer->request_depth, customer->buckets_filled);
    }
    if (customer->limits[EB_LIMIT_TOKENS] > 0) {
        double share =
            current_share(limiter, customer, EB_LIMIT_TOKENS, now_us);
        customer->token_depth = token_depth(limiter, customer, share);
        customer->token_level =
            fill_bucket(customer->token_level, share, elapsed_s,
                        customer->token_depth, customer->buckets_filled);
    }
    customer->buckets_filled = true;
    customer->refilled_us = MAX(now_us, customer->refilled_us);
}

static int64_t
time_to_fill(double missing, double rate)
{
    double seconds = rate > 0 ? fmax(missing, 0) / rate : 0;
    /* Shares change with each report, so a longer forecast is not useful. */
    double longest = EB_LIMITER_GRANT_VALIDITY_US / US_PER_S;
    return (int64_t)(fmin(seconds, longest) * US_PER_S) + 1;
}

/* Returns the limit that refuses a request now, or EB_REASON_NONE. */
static EbReason
check_limits(const EbLimiter *limiter, const EbLimiterCustomer *customer,
             int64_t now_us, int64_t *retry_after_us)
{
    double share =
        current_share(limiter, customer, EB_LIMIT_CONCURRENT, now_us);
    if (customer->limits[EB_LIMIT_CONCURRENT] > 0 &&
        customer->in_flight >= (uint32_t)share) {
        *retry_after_us = EB_LIMITER_REPORT_INTERVAL_US;
        return EB_REASON_CONCURRENCY_LIMITED;
    }
    double threshold = token_threshold(customer);
    if (customer->limits[EB_LIMIT_TOKENS] > 0 &&
        customer->token_level <= threshold) {
        share = current_share(limiter, customer, EB_LIMIT_TOKENS, now_us);
        *retry_after_us =
            time_to_fill(threshold - customer->token_level, share);
        return EB_REASON_TOKENS_LIMITED;
    }
    if (customer->limits[EB_LIMIT_REQUESTS] > 0 &&
        customer->request_level < 1) {
        share = current_share(limiter, customer, EB_LIMIT_REQUESTS, now_us);
        *retry_after_us = time_to_fill(1 - customer->request_level, share);
        return EB_REASON_RATE_LIMITED;
    }
    return EB_REASON_NONE;
}

EbReason
EbLimiter_Check(const EbLimiter *limiter, const char *customer_id,
                int64_t now_us, int64_t *retry_after_us)
{
    *retry_after_us = 0;
    const EbLimiterCustomer *customer = find_customer(limiter, customer_id);
    if (customer == NULL) {
        return EB_REASON_FORBIDDEN;
    }
    EbLimiterCustomer copy = *customer;
    EbLimiter_Refill(limiter, &copy, now_us);
    return check_limits(limiter, &copy, now_us, retry_after_us);
}

EbReason
EbLimiter_Admit(EbLimiter *limiter, const char *customer_id, int64_t now_us,
                int64_t *retry_after_us)
{
    int64_t unused;
    if (retry_after_us == NULL) {
        retry_after_us = &unused;
    }
    *retry_after_us = 0;
    EbLimiterCustomer *customer = find_customer(limiter, customer_id);
    if (customer == NULL) {
        return EB_REASON_FORBIDDEN;
    }
    EbLimiter_Refill(limiter, customer, now_us);
    EbLimiter_MarkActive(limiter, customer, now_us);
    customer->window_offered++;
    EbReason reason = check_limits(limiter, customer, now_us, retry_after_us);
    if (reason == EB_REASON_NONE) {
        customer->request_level -= 1;
        customer->in_flight++;
        customer->peak_in_flight =
            MAX(customer->peak_in_flight, customer->in_flight);
    }
    else {
        customer->refused++;
        customer->window_refused_concurrent +=
            reason == EB_REASON_CONCURRENCY_LIMITED;
    }
    EbLimiter_MarkUrgent(
        limiter, customer,
        current_share(limiter, customer, EB_LIMIT_CONCURRENT, now_us), now_us);
    return reason;
}

void
EbLimiter_ChargeTokens(EbLimiter *limiter, const char *customer_id,
                       uint64_t tokens, int64_t now_us)
{
    EbLimiterCustomer *customer = find_customer(limiter, customer_id);
    if (customer == NULL) {
        return;
    }
    EbLimiter_Refill(limiter, customer, now_us);
    EbLimiter_MarkActive(limiter, customer, now_us);
    customer->token_level -= (double)tokens;
    customer->window_tokens += (double)tokens;
    customer->charged_tokens += (double)tokens;
}

void
EbLimiter_EndRequest(EbLimiter *limiter, const char *customer_id,
                     int64_t now_us)
{
    EbLimiterCustomer *customer = find_customer(limiter, customer_id);
    /* A customer that was removed and added again has no request to end. */
    if (customer == NULL || customer->in_flight == 0) {
        return;
    }
    EbLimiter_MarkActive(limiter, customer, now_us);
    customer->in_flight--;
    customer->finished_requests++;
}

void
EbLimiter_ApplyGrants(EbLimiter *limiter, const EbLimiterShare *grants,
                      size_t count, int64_t now_us)
{
    for (size_t i = 0; i < count; i++) {
        EbLimiterCustomer *customer =
            find_customer(limiter, grants[i].customer);
        if (customer == NULL) {
            continue;
        }
        EbLimiter_Refill(limiter, customer, now_us);
        customer->grant[EB_LIMIT_REQUESTS] =
            (double)grants[i].requests_per_s_milli / 1000;
        customer->grant[EB_LIMIT_CONCURRENT] = grants[i].concurrent_requests;
        customer->grant[EB_LIMIT_TOKENS] = (double)grants[i].tokens_per_s;
        /* Counted from the oldest report that the grant may answer, so that it
         * expires here before the home gives its share to others. A grant that
         * doesn't answer a report is not valid longer than the one it
         * replaces. */
        if (customer->unanswered_us >= 0) {
            customer->grant_until_us =
                customer->unanswered_us + EB_LIMITER_GRANT_VALIDITY_US;
            customer->unanswered_us = -1;
        }
    }
}

bool
EbLimiter_View(const EbLimiter *limiter, const char *customer_id,
               int64_t now_us, EbLimiterView *view)
{
    const EbLimiterCustomer *customer = find_customer(limiter, customer_id);
    if (customer == NULL) {
        return false;
    }
    double shares[EB_LIMIT_COUNT] = {0};
    for (int kind = 0; kind < EB_LIMIT_COUNT; kind++) {
        shares[kind] =
            current_share(limiter, customer, (EbLimitKind)kind, now_us);
    }
    *view = (EbLimiterView){
        .in_flight = customer->in_flight,
        .share_requests_per_s_milli =
            (uint64_t)(shares[EB_LIMIT_REQUESTS] * 1000),
        .share_concurrent_requests = (uint32_t)shares[EB_LIMIT_CONCURRENT],
        .share_tokens_per_s = (uint64_t)shares[EB_LIMIT_TOKENS],
        .granted = now_us < customer->grant_until_us,
        .grant_left_us = MAX(customer->grant_until_us - now_us, 0),
        .refused = customer->refused,
    };
    return true;
}
