/* Tests of EbLimiter. */
#include <stdio.h>

#include "cluster.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US INT64_C(1000000)

static const EbContract contract_100 = {.weight = 1,
                                        .requests_per_s_milli = 100000,
                                        .burst_requests = 100,
                                        .concurrent_requests = 64,
                                        .tokens_per_s = 5000};

static void
print_cluster(const char *name, const Cluster *cluster)
{
    printf("  %s: %.2f%% of %lu admitted (one bucket: %.2f%%), refused: rate "
           "%lu, concurrency %lu, tokens %lu; %.1f messages/s, grants up to "
           "%.2f of the limit\n",
           name, 100 * Cluster_AdmittedFraction(cluster),
           (unsigned long)cluster->offered,
           100 * (double)cluster->central_admitted / (double)cluster->offered,
           (unsigned long)cluster->decisions[EB_REASON_RATE_LIMITED],
           (unsigned long)cluster->decisions[EB_REASON_CONCURRENCY_LIMITED],
           (unsigned long)cluster->decisions[EB_REASON_TOKENS_LIMITED],
           (double)cluster->message_count / ((double)cluster->now_us / 1e6),
           cluster->peak_granted_fraction);
}

/* Guards against refusals of a customer within its contract whose requests
 * arrive at few of the daemons or shift between daemons. */
static void
test_inside_contract(void)
{
    static const struct {
        const char *name;
        double offered_per_s;
        int64_t shift_us; /* time between shifts; 0: no shift */
    } rows[] = {
        {"uneven, 50% of the contract", 50, 0},
        {"uneven, 80% of the contract", 80, 0},
        {"uneven, 90% of the contract", 90, 0},
        {"shift every 60 s, 80%", 80, 60 * SECOND_US},
        {"shift every 20 s, 80%", 80, 20 * SECOND_US},
        {"shift every 20 s, 90%", 90, 20 * SECOND_US},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        static Cluster cluster;
        Cluster_Init(&cluster,
                     &(ClusterOptions){.daemons = 8,
                                       .contract = contract_100,
                                       .offered_per_s = rows[i].offered_per_s,
                                       .request_duration_us = 200000,
                                       .tokens = 50,
                                       .seed = 41 + i});
        int64_t run_us =
            rows[i].shift_us > 0 ? rows[i].shift_us : 240 * SECOND_US;
        for (uint32_t first = 0; cluster.now_us < 240 * SECOND_US;
             first += 3) {
            Cluster_Skew(&cluster, first);
            Cluster_Run(&cluster, run_us);
        }
        print_cluster(rows[i].name, &cluster);
        CU_ASSERT_TRUE(Cluster_AdmittedFraction(&cluster) >= 0.99);
        Cluster_Clear(&cluster);
    }
}

/* Returns the upper bound on admissions in `seconds` without a change of
 * members: the granted rates plus the content of the request buckets. See the
 * bounds in limiter.h. */
static double
admission_bound(const Cluster *cluster, double seconds)
{
    const EbContract *contract = &cluster->options.contract;
    double limit = (double)contract->requests_per_s_milli / 1000;
    return 1.1 * limit * seconds + 3.0 * contract->burst_requests +
           3.0 * cluster->options.daemons;
}

/* Guards against daemons that together exceed the contract: at overload while
 * demand shifts between them, after the death of the home, and in a partition
 * with several sides. */
static void
test_bounds(void)
{
    static const struct {
        const char *name;
        bool kill_home;
        uint32_t sides;
    } rows[] = {
        {"overload", false, 1},
        {"overload, home dies", true, 1},
        {"overload, two sides", false, 2},
        {"overload, four sides", false, 4},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        static Cluster cluster;
        Cluster_Init(&cluster, &(ClusterOptions){.daemons = 8,
                                                 .contract = contract_100,
                                                 .offered_per_s = 300,
                                                 .request_duration_us = 20000,
                                                 .tokens = 10,
                                                 .seed = 51 + i});
        Cluster_Skew(&cluster, 0);
        Cluster_Run(&cluster, 20 * SECOND_US);
        CU_ASSERT_TRUE((double)cluster.admitted <=
                       admission_bound(&cluster, 20));
        CU_ASSERT_TRUE((double)cluster.admitted >= 0.9 * 100 * 20);
        double messages_per_s = (double)cluster.message_count / 20;
        /* A report and a grant at every interval for the 7 daemons that are
         * not the home: overload must not cause urgent reports. */
        CU_ASSERT_TRUE(messages_per_s <= 2.0 * 2 * 7);
        uint64_t before = cluster.admitted;
        cluster.daemons[Cluster_Home(&cluster)].dead = rows[i].kill_home;
        /* Reports go to the dead home until the other daemons notice. */
        Cluster_Skew(&cluster, 3);
        Cluster_Run(&cluster, 3 * SECOND_US);
        for (uint32_t d = 0; d < 8; d++) {
            cluster.daemons[d].side = d % rows[i].sides;
        }
        Cluster_UpdateMembers(&cluster);
        Cluster_Run(&cluster, 17 * SECOND_US);
        double admitted = (double)(cluster.admitted - before);
        double bound = admission_bound(&cluster, 20) * rows[i].sides;
        printf("  %s: %.0f admitted in 20 s, bound %.0f, %.1f messages/s\n",
               rows[i].name, admitted, bound, messages_per_s);
        CU_ASSERT_TRUE(admitted <= bound);
        CU_ASSERT_TRUE(admitted >= 0.8 * 100 * 20);
        Cluster_Clear(&cluster);
    }
}

/* Guards against refusals of a customer with sparse traffic, whose share at
 * each of many daemons is far below one request. */
static void
test_sparse(void)
{
    static Cluster cluster;
    Cluster_Init(&cluster,
                 &(ClusterOptions){.daemons = 330,
                                   .contract = {.weight = 1,
                                                .requests_per_s_milli = 6000,
                                                .burst_requests = 12,
                                                .concurrent_requests = 30,
                                                .tokens_per_s = 1200},
                                   .offered_per_s = 5,
                                   .request_duration_us = 2 * SECOND_US,
                                   .tokens = 200,
                                   .seed = 61});
    Cluster_Run(&cluster, 600 * SECOND_US);
    print_cluster("5 requests/s over 330 daemons", &cluster);
    CU_ASSERT_TRUE(Cluster_AdmittedFraction(&cluster) >= 0.99);
    Cluster_Clear(&cluster);
}

/* Guards against refusals of a customer within a small contract, which is
 * divided into shares of about one request. */
static void
test_small_contracts(void)
{
    static const struct {
        const char *name;
        uint32_t rate_milli;
        uint32_t concurrent;
        double offered;
    } rows[] = {
        {"1.6 of 4 requests/s, 3 daemons", 4000, 16, 1.6},
        {"3.1 of 6 requests/s, 3 daemons", 6000, 24, 3.1},
        {"12 of 15 requests/s, 3 daemons", 15000, 60, 12},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        static Cluster cluster;
        const EbContract contract = {
            .weight = 1,
            .requests_per_s_milli = rows[i].rate_milli,
            .burst_requests = rows[i].rate_milli / 1000,
            .concurrent_requests = rows[i].concurrent,
            .tokens_per_s = 200 * rows[i].rate_milli / 1000};
        Cluster_Init(&cluster,
                     &(ClusterOptions){.daemons = 3,
                                       .contract = contract,
                                       .offered_per_s = rows[i].offered,
                                       .request_duration_us = 2200000,
                                       .tokens = 60,
                                       .seed = 71 + i});
        Cluster_Run(&cluster, 1200 * SECOND_US);
        print_cluster(rows[i].name, &cluster);
        CU_ASSERT_TRUE(Cluster_AdmittedFraction(&cluster) >= 0.99);
        Cluster_Clear(&cluster);
    }
}

static EbLimiter *
new_limiter(const EbConfig *config, uint32_t members)
{
    static const char *const names[] = {"a", "b", "c", "d"};
    EbLimiter *limiter =
        EbLimiter_New(&(EbLimiterOptions){.instance = "a", .config = config});
    EbLimiter_SetMembers(limiter, names, members, 0);
    return limiter;
}

/* Guards against a limit that is not enforced, a wrong reason, and a retry
 * time at which the request is refused again. */
static void
test_local_limits(void)
{
    static const struct {
        EbContract contract;
        EbReason reason;
        int admitted;
    } rows[] = {
        {{.requests_per_s_milli = 8000, .burst_requests = 24},
         EB_REASON_RATE_LIMITED,
         12},
        {{.requests_per_s_milli = 8000, .burst_requests = 2},
         EB_REASON_RATE_LIMITED,
         2},
        {{.concurrent_requests = 20}, EB_REASON_CONCURRENCY_LIMITED, 5},
        {{.concurrent_requests = 2}, EB_REASON_CONCURRENCY_LIMITED, 1},
        {{.tokens_per_s = 400}, EB_REASON_TOKENS_LIMITED, 2},
        {{0}, EB_REASON_NONE, 1000},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbConfigCustomer customer = {.id = "c", .contract = rows[i].contract};
        EbConfig config = {.customers = &customer, .customer_count = 1};
        EbLimiter *limiter = new_limiter(&config, 4);
        int admitted = 0;
        int64_t retry_us = 0;
        EbReason reason = EB_REASON_NONE;
        while (admitted < 1000) {
            reason = EbLimiter_Admit(limiter, "c", SECOND_US, &retry_us);
            if (reason != EB_REASON_NONE) {
                break;
            }
            EbLimiter_ChargeTokens(limiter, "c", 150, SECOND_US);
            admitted++;
        }
        CU_ASSERT_EQUAL(reason, rows[i].reason);
        CU_ASSERT_EQUAL(admitted, rows[i].admitted);
        if (reason == EB_REASON_CONCURRENCY_LIMITED) {
            EbLimiter_EndRequest(limiter, "c", SECOND_US);
        }
        CU_ASSERT_EQUAL(
            EbLimiter_Admit(limiter, "c", SECOND_US + retry_us, NULL),
            EB_REASON_NONE);
        EbLimiter_Free(limiter);
    }
}

/* Guards against a grant that is valid for longer than its home assumes, even
 * if the home sent it again without another report, against a grant that is
 * lost when the configuration changes, and against the admission of an unknown
 * customer. */
static void
test_grant_validity(void)
{
    EbConfigCustomer customer = {.id = "c",
                                 .contract = {.requests_per_s_milli = 8000}};
    EbConfig config = {.customers = &customer, .customer_count = 1};
    EbLimiter *limiter = new_limiter(&config, 4);
    EbLimiterView view;
    CU_ASSERT_TRUE(EbLimiter_View(limiter, "c", 0, &view));
    CU_ASSERT_FALSE(view.granted);
    CU_ASSERT_EQUAL(view.share_requests_per_s_milli, 2000);
    CU_ASSERT_EQUAL(EbLimiter_Admit(limiter, "c", 0, NULL), EB_REASON_NONE);
    EbLimiterShare share;
    size_t count = EbLimiter_WriteReport(limiter, EbLimiter_Home(limiter, "c"),
                                         &share, 1, SECOND_US);
    CU_ASSERT_EQUAL_FATAL(count, 1);
    EbLimiterShare grant = {.customer = "c", .requests_per_s_milli = 7000};
    EbLimiter_ApplyGrants(limiter, &grant, 1, 2 * SECOND_US);
    /* Sent again without another report. */
    EbLimiter_ApplyGrants(limiter, &grant, 1, 4 * SECOND_US);
    EbLimiter_SetConfig(limiter, &config);
    EbLimiter_View(limiter, "c", SECOND_US + EB_LIMITER_GRANT_VALIDITY_US - 1,
                   &view);
    CU_ASSERT_TRUE(view.granted);
    CU_ASSERT_EQUAL(view.in_flight, 1);
    CU_ASSERT_EQUAL(view.share_requests_per_s_milli, 7000);
    EbLimiter_View(limiter, "c", SECOND_US + EB_LIMITER_GRANT_VALIDITY_US,
                   &view);
    CU_ASSERT_FALSE(view.granted);
    CU_ASSERT_FALSE(EbLimiter_View(limiter, "d", 0, &view));
    CU_ASSERT_EQUAL(EbLimiter_Admit(limiter, "d", 0, NULL),
                    EB_REASON_FORBIDDEN);
    EbLimiter_Free(limiter);
}

/* Guards against an entry that is freed while it is on the list of active
 * customers, because a configuration lists its customer twice. */
static void
test_repeated_customer(void)
{
    EbConfigCustomer customers[] = {
        {.id = "c", .contract = {.requests_per_s_milli = 8000}},
        {.id = "c", .contract = {.requests_per_s_milli = 1000}},
        {.id = "d"},
    };
    EbConfig once = {.customers = customers, .customer_count = 1};
    EbConfig twice = {.customers = customers, .customer_count = 3};
    EbLimiter *limiter = new_limiter(&once, 4);
    CU_ASSERT_EQUAL(EbLimiter_Admit(limiter, "c", 0, NULL), EB_REASON_NONE);
    for (unsigned i = 0; i < 2; i++) {
        EbLimiter_SetConfig(limiter, &twice);
        EbLimiterShare share;
        size_t count = EbLimiter_WriteReport(
            limiter, EbLimiter_Home(limiter, "c"), &share, 1, SECOND_US);
        CU_ASSERT_EQUAL(count, i == 0 ? 1 : 0);
        EbLimiterView view;
        CU_ASSERT_TRUE(EbLimiter_View(limiter, "c", SECOND_US, &view));
        CU_ASSERT_EQUAL(view.in_flight, 1);
        CU_ASSERT_EQUAL(view.share_requests_per_s_milli, 2000);
        CU_ASSERT_TRUE(EbLimiter_View(limiter, "d", SECOND_US, &view));
    }
    EbLimiter_EndRequest(limiter, "c", SECOND_US);
    EbLimiter_Free(limiter);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"inside contract", test_inside_contract},
        {"bounds", test_bounds},
        {"repeated customer", test_repeated_customer},
        {"sparse", test_sparse},
        {"small contracts", test_small_contracts},
        {"local limits", test_local_limits},
        {"grant validity", test_grant_validity},
    };
    return EbTest_Run("test_limiter", cases, TABLE_COUNT(cases));
}
