/* Tests of histograms and metrics. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ebonyhollow/histogram.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* Guards against values that land outside the bounds of their bucket. */
static void
test_bounds(void)
{
    EbRandom random;
    EbRandom_Init(&random, 1);
    for (int i = 0; i < 20000; i++) {
        int64_t value = (int64_t)(EbRandom_Next(&random) >> (24 + i % 40)) + 1;
        EbHistogram histogram = {0};
        EbHistogram_Add(&histogram, value);
        int64_t bound = EbHistogram_Quantile(&histogram, 500);
        CU_ASSERT_TRUE(bound >= value);
        if (bound != INT64_MAX) {
            CU_ASSERT_TRUE((double)bound <= (double)value * 1.19 + 1.0);
        }
    }
}

/* Guards against wrong ranks at the ends of the distribution. */
static void
test_quantiles(void)
{
    EbHistogram histogram = {0};
    CU_ASSERT_EQUAL(EbHistogram_Quantile(&histogram, 950), 0);
    for (int i = 0; i < 95; i++) {
        EbHistogram_Add(&histogram, 100);
    }
    for (int i = 0; i < 5; i++) {
        EbHistogram_Add(&histogram, 100000);
    }
    CU_ASSERT_TRUE(EbHistogram_Quantile(&histogram, 950) < 120);
    CU_ASSERT_TRUE(EbHistogram_Quantile(&histogram, 960) > 99999);
    CU_ASSERT_EQUAL(histogram.sum, 95 * 100 + 5 * 100000);
}

/* Guards against a merge that differs from adding all values to one. */
static void
test_merge(void)
{
    EbHistogram parts[2] = {{0}}, whole = {0};
    for (int64_t i = -1; i < 5000; i++) {
        EbHistogram_Add(&parts[i & 1], i * 37);
        EbHistogram_Add(&whole, i * 37);
    }
    EbHistogram_Merge(&parts[0], &parts[1]);
    CU_ASSERT_EQUAL(memcmp(&parts[0], &whole, sizeof(whole)), 0);
}

/* Guards against unbounded series when label values keep changing. */
static void
test_series_bound(void)
{
    EbMetrics *metrics = EbMetrics_New();
    uint32_t bound = EbMetrics_table[EB_METRIC_REFUSALS].max_series;
    for (uint32_t i = 0; i < bound + 50; i++) {
        char label[32];
        snprintf(label, sizeof(label), "r%u", i);
        EbMetrics_Add(metrics, EB_METRIC_REFUSALS, 1, label, NULL, NULL);
    }
    CU_ASSERT_EQUAL(
        EbMetrics_Read(metrics, EB_METRIC_REFUSALS, "other", NULL, NULL), 50);
    EbMetrics_Free(metrics);
}

/* Guards against text that a scraper rejects: unescaped label values and
 * buckets that are not cumulative. */
static void
test_exposition(void)
{
    EbMetrics *metrics = EbMetrics_New();
    EbMetrics_Add(metrics, EB_METRIC_REFUSALS, 3, "a\"b\\c\nd", NULL, NULL);
    EbMetrics_Observe(metrics, EB_METRIC_TOTAL_TIME_US, 2, "c1", NULL, NULL);
    EbMetrics_Observe(metrics, EB_METRIC_TOTAL_TIME_US, 900, "c1", NULL, NULL);
    size_t bytes = 0;
    char *text = EbMetrics_Format(metrics, &bytes);
    CU_ASSERT_EQUAL(bytes, strlen(text));
    static const char *const expected[] = {
        "ebonyhollow_refusals_total{reason=\"a\\\"b\\\\c\\nd\"} 3\n",
        "_bucket{customer=\"c1\",le=\"2\"} 1\n",
        "_bucket{customer=\"c1\",le=\"+Inf\"} 2\n",
        "ebonyhollow_request_time_microseconds_sum{customer=\"c1\"} 902\n",
        "# TYPE ebonyhollow_request_time_microseconds histogram\n",
    };
    for (size_t i = 0; i < TABLE_COUNT(expected); i++) {
        CU_ASSERT_PTR_NOT_NULL(strstr(text, expected[i]));
    }
    free(text);
    EbMetrics_Free(metrics);
}

/* Guards against counter names without a unit or a total. */
static void
test_names(void)
{
    for (int i = 0; i < EB_METRIC_COUNT; i++) {
        const EbMetricInfo *info = &EbMetrics_table[i];
        const char *suffix =
            info->type == EB_METRIC_COUNTER ? "_total" : "_microseconds";
        size_t length = strlen(info->name);
        CU_ASSERT_TRUE(length > strlen(suffix));
        CU_ASSERT_STRING_EQUAL(info->name + length - strlen(suffix), suffix);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"bounds", test_bounds},         {"quantiles", test_quantiles},
        {"merge", test_merge},           {"series bound", test_series_bound},
        {"exposition", test_exposition}, {"names", test_names},
    };
    return EbTest_Run("test_metrics", cases, TABLE_COUNT(cases));
}
