#include "ebonyhollow/metrics.h"

#include <assert.h>
#include <stdbool.h>
#include <string.h>

#include <glib.h>

#define SERIES_DEFAULT 256
/* 400 customers with up to 7 pipelines each, rounded up. */
#define SERIES_BY_CUSTOMER_PIPELINE 3200
#define SERIES_BY_CUSTOMER 512
/* Replaces the labels of series beyond a metric's max_series. */
#define OTHER_LABEL "other"
#define LABEL_SEPARATOR "\x1f"

const EbMetricInfo EbMetrics_table[EB_METRIC_COUNT] = {
    [EB_METRIC_REQUESTS] = {"ebonyhollow_requests_total",
                            EB_METRIC_COUNTER,
                            "Requests answered, by outcome.",
                            {"customer", "pipeline", "outcome"},
                            4 * SERIES_BY_CUSTOMER_PIPELINE},
    [EB_METRIC_IN_TIME] = {"ebonyhollow_requests_in_time_total",
                           EB_METRIC_COUNTER,
                           "Requests answered done within their deadline.",
                           {"customer", "pipeline", NULL},
                           SERIES_BY_CUSTOMER_PIPELINE},
    [EB_METRIC_REFUSALS] = {"ebonyhollow_refusals_total",
                            EB_METRIC_COUNTER,
                            "Answers other than done, by reason.",
                            {"reason", NULL, NULL},
                            SERIES_DEFAULT},
    [EB_METRIC_ATTEMPTS] = {"ebonyhollow_attempts_total",
                            EB_METRIC_COUNTER,
                            "Calls to backend servers, by result.",
                            {"pipeline", "stage", "result"},
                            SERIES_DEFAULT * 2},
    [EB_METRIC_RETRIES] = {"ebonyhollow_retries_total",
                           EB_METRIC_COUNTER,
                           "Calls sent again after a failure.",
                           {"pipeline", "stage", NULL},
                           SERIES_DEFAULT},
    [EB_METRIC_HEDGES] = {"ebonyhollow_hedges_total",
                          EB_METRIC_COUNTER,
                          "Second calls sent while the first was slow.",
                          {"pipeline", "stage", NULL},
                          SERIES_DEFAULT},
    [EB_METRIC_RESUMES] = {"ebonyhollow_resumes_total",
                           EB_METRIC_COUNTER,
                           "Streams continued on another server.",
                           {"pipeline", "stage", NULL},
                           SERIES_DEFAULT},
    [EB_METRIC_WASTED_CALLS] = {"ebonyhollow_wasted_calls_total",
                                EB_METRIC_COUNTER,
                                "Calls that were sent and did not succeed, "
                                "cancelled ones included.",
                                {"pipeline", "stage", NULL},
                                SERIES_DEFAULT},
    [EB_METRIC_SAVED_CALLS] = {"ebonyhollow_saved_calls_total",
                               EB_METRIC_COUNTER,
                               "Further calls that were not sent, since the "
                               "client had gone or had its answer.",
                               {"pipeline", "stage", NULL},
                               SERIES_DEFAULT},
    [EB_METRIC_SERVER_TIME_US] =
        {"ebonyhollow_server_time_microseconds_total",
         EB_METRIC_COUNTER,
         "Time that backend servers spent on calls: the cost by stage.",
         {"customer", "pipeline", "stage"},
         SERIES_BY_CUSTOMER_PIPELINE * 6},
    [EB_METRIC_TOKENS] = {"ebonyhollow_generated_tokens_total",
                          EB_METRIC_COUNTER,
                          "Tokens generated.",
                          {"customer", "pipeline", NULL},
                          SERIES_BY_CUSTOMER_PIPELINE},
    [EB_METRIC_LATE_STAGE_JOBS] =
        {"ebonyhollow_late_stage_jobs_total",
         EB_METRIC_COUNTER,
         "Jobs of a stage that this daemon, as its home, reported as late: "
         "projected, before their deadline; expired, at it.",
         {"service", "cause", NULL},
         SERIES_DEFAULT},
    [EB_METRIC_PLATFORM_CALLS] = {"ebonyhollow_platform_calls_total",
                                  EB_METRIC_COUNTER,
                                  "Calls to the platform's object API, "
                                  "watches included.",
                                  {"operation", "status", NULL},
                                  SERIES_DEFAULT},
    [EB_METRIC_PEER_BYTES] = {"ebonyhollow_peer_bytes_total",
                              EB_METRIC_COUNTER,
                              "Bytes on links to other daemons.",
                              {"direction", NULL, NULL},
                              SERIES_DEFAULT},
    [EB_METRIC_PEER_MESSAGES] = {"ebonyhollow_peer_messages_total",
                                 EB_METRIC_COUNTER,
                                 "Messages on links to other daemons.",
                                 {"direction", "kind", NULL},
                                 SERIES_DEFAULT},
    [EB_METRIC_EVENTS_SUPPRESSED] = {"ebonyhollow_events_suppressed_total",
                                     EB_METRIC_COUNTER,
                                     "Log events held back by the rate limit.",
                                     {"event", NULL, NULL},
                                     SERIES_DEFAULT},
    [EB_METRIC_DIRECTIVES] = {"ebonyhollow_server_directives_total",
                              EB_METRIC_COUNTER,
                              "Answers of backend servers that name a limit, "
                              "ask for a pause or announce that the server "
                              "leaves.",
                              {"kind", NULL, NULL},
                              SERIES_DEFAULT},
    [EB_METRIC_EVACUATIONS] = {"ebonyhollow_evacuations_total",
                               EB_METRIC_COUNTER,
                               "Changes of a failure domain to a state of its "
                               "evacuation: none, evacuating, evacuated or "
                               "returning.",
                               {"failure_domain", "state", NULL},
                               SERIES_DEFAULT},
    [EB_METRIC_COLD_CALLS] = {"ebonyhollow_cold_calls_total",
                              EB_METRIC_COUNTER,
                              "Calls to cold backend servers.",
                              {NULL, NULL, NULL},
                              1},
    [EB_METRIC_PACE_ENDED] = {"ebonyhollow_server_pace_ended_total",
                              EB_METRIC_COUNTER,
                              "Backend servers that get their full load "
                              "again after a start or a recovery.",
                              {"cause", NULL, NULL},
                              SERIES_DEFAULT},
    [EB_METRIC_CLIENTS_ENDED] = {"ebonyhollow_clients_ended_total",
                                 EB_METRIC_COUNTER,
                                 "Clients refused, or their connections "
                                 "ended, to protect the daemon.",
                                 {"reason", NULL, NULL},
                                 SERIES_DEFAULT},
    [EB_METRIC_TOTAL_TIME_US] =
        {"ebonyhollow_request_time_microseconds",
         EB_METRIC_HISTOGRAM,
         "Time from a request's arrival to its answer.",
         {"customer", NULL, NULL},
         SERIES_BY_CUSTOMER},
    [EB_METRIC_STAGE_TIME_US] =
        {"ebonyhollow_stage_time_microseconds",
         EB_METRIC_HISTOGRAM,
         "Time of one successful stage, without its queue.",
         {"pipeline", "stage", NULL},
         SERIES_DEFAULT},
    [EB_METRIC_QUEUE_TIME_US] =
        {"ebonyhollow_queue_time_microseconds",
         EB_METRIC_HISTOGRAM,
         "Time that a stage waited for a backend server.",
         {"pipeline", "stage", NULL},
         SERIES_DEFAULT},
    [EB_METRIC_FIRST_TOKEN_US] =
        {"ebonyhollow_first_token_time_microseconds",
         EB_METRIC_HISTOGRAM,
         "Time from a request's arrival to its first token.",
         {"customer", NULL, NULL},
         SERIES_BY_CUSTOMER},
    [EB_METRIC_TOKEN_GAP_US] = {"ebonyhollow_token_gap_microseconds",
                                EB_METRIC_HISTOGRAM,
                                "Time between tokens of a stream.",
                                {"customer", NULL, NULL},
                                SERIES_BY_CUSTOMER},
    [EB_METRIC_READY] = {"ebonyhollow_ready",
                         EB_METRIC_GAUGE,
                         "1 while the daemon takes requests.",
                         {NULL, NULL, NULL},
                         1},
    [EB_METRIC_GENERATION] = {"ebonyhollow_configuration_generation",
                              EB_METRIC_GAUGE,
                              "Configuration generation in force.",
                              {NULL, NULL, NULL},
                              1},
    [EB_METRIC_LIVE_REQUESTS] = {"ebonyhollow_live_requests",
                                 EB_METRIC_GAUGE,
                                 "Requests not finished.",
                                 {NULL, NULL, NULL},
                                 1},
    [EB_METRIC_PLATFORM_UP] = {"ebonyhollow_platform_up",
                               EB_METRIC_GAUGE,
                               "1 while the platform's API answers.",
                               {NULL, NULL, NULL},
                               1},
    [EB_METRIC_UNWRITTEN_OUTCOMES] =
        {"ebonyhollow_unwritten_outcomes",
         EB_METRIC_GAUGE,
         "Outcomes of keyed requests that the store does not have yet.",
         {NULL, NULL, NULL},
         1},
    [EB_METRIC_LIVE_DAEMONS] = {"ebonyhollow_live_daemons",
                                EB_METRIC_GAUGE,
                                "Daemons taken for live, this one included.",
                                {NULL, NULL, NULL},
                                1},
    [EB_METRIC_QUARANTINED] = {"ebonyhollow_quarantined_fingerprints",
                               EB_METRIC_GAUGE,
                               "Requests refused because they crash servers.",
                               {NULL, NULL, NULL},
                               1},
    [EB_METRIC_EVACUATED] = {"ebonyhollow_evacuated_failure_domains",
                             EB_METRIC_GAUGE,
                             "Failure domains to whose servers nothing new is "
                             "sent by order of the operator.",
                             {NULL, NULL, NULL},
                             1},
    [EB_METRIC_EVACUATED_CALLS] = {"ebonyhollow_evacuated_calls",
                                   EB_METRIC_GAUGE,
                                   "Calls of this daemon that still run in "
                                   "these domains.",
                                   {NULL, NULL, NULL},
                                   1},
    [EB_METRIC_PACED_SERVERS] = {"ebonyhollow_paced_servers",
                                 EB_METRIC_GAUGE,
                                 "Backend servers whose calls this daemon "
                                 "raises step by step after a start or a "
                                 "recovery.",
                                 {NULL, NULL, NULL},
                                 1},
    [EB_METRIC_FULL] = {"ebonyhollow_full",
                        EB_METRIC_GAUGE,
                        "1 while the event loop is late and the daemon names "
                        "a quarter of its capacity, so that homes move.",
                        {NULL, NULL, NULL},
                        1},
};

const char *const EbMetricType_names[EB_METRIC_TYPE_COUNT] = {
    [EB_METRIC_COUNTER] = "counter",
    [EB_METRIC_HISTOGRAM] = "histogram",
    [EB_METRIC_GAUGE] = "gauge",
};

typedef struct {
    uint64_t value;
    EbHistogram *histogram; /* NULL unless the metric is a histogram */
} Series;

struct EbMetrics {
    GHashTable *series[EB_METRIC_COUNT]; /* joined labels to Series */
};

static void
free_series(gpointer pointer)
{
    Series *series = pointer;
    g_free(series->histogram);
    g_free(series);
}

EbMetrics *
EbMetrics_New(void)
{
    EbMetrics *metrics = g_new0(EbMetrics, 1);
    for (int i = 0; i < EB_METRIC_COUNT; i++) {
        metrics->series[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                   g_free, free_series);
    }
    return metrics;
}

void
EbMetrics_Free(EbMetrics *metrics)
{
    if (metrics == NULL) {
        return;
    }
    for (int i = 0; i < EB_METRIC_COUNT; i++) {
        g_hash_table_destroy(metrics->series[i]);
    }
    g_free(metrics);
}

static char *
join_labels(EbMetricId metric, const char *const labels[])
{
    GString *key = g_string_new(NULL);
    for (int i = 0; i < EB_METRIC_MAX_LABELS; i++) {
        if (EbMetrics_table[metric].labels[i] == NULL) {
            assert(labels[i] == NULL);
            break;
        }
        if (i > 0) {
            g_string_append(key, LABEL_SEPARATOR);
        }
        g_string_append(key, labels[i] != NULL ? labels[i] : "");
    }
    return g_string_free(key, FALSE);
}

static Series *
get_series(EbMetrics *metrics, EbMetricId metric, const char *label1,
           const char *label2, const char *label3)
{
    assert(metric < EB_METRIC_COUNT);
    const EbMetricInfo *info = &EbMetrics_table[metric];
    GHashTable *table = metrics->series[metric];
    const char *const labels[] = {label1, label2, label3};
    char *key = join_labels(metric, labels);
    Series *series = g_hash_table_lookup(table, key);
    if (series == NULL && g_hash_table_size(table) >= info->max_series) {
        const char *others[EB_METRIC_MAX_LABELS];
        for (int i = 0; i < EB_METRIC_MAX_LABELS; i++) {
            others[i] = info->labels[i] != NULL ? OTHER_LABEL : NULL;
        }
        g_free(key);
        key = join_labels(metric, others);
        series = g_hash_table_lookup(table, key);
    }
    if (series != NULL) {
        g_free(key);
        return series;
    }
    series = g_new0(Series, 1);
    if (info->type == EB_METRIC_HISTOGRAM) {
        series->histogram = g_new0(EbHistogram, 1);
    }
    g_hash_table_insert(table, key, series);
    return series;
}

void
EbMetrics_Add(EbMetrics *metrics, EbMetricId metric, uint64_t amount,
              const char *label1, const char *label2, const char *label3)
{
    assert(EbMetrics_table[metric].type == EB_METRIC_COUNTER);
    get_series(metrics, metric, label1, label2, label3)->value += amount;
}

void
EbMetrics_Observe(EbMetrics *metrics, EbMetricId metric, int64_t value,
                  const char *label1, const char *label2, const char *label3)
{
    assert(EbMetrics_table[metric].type == EB_METRIC_HISTOGRAM);
    Series *series = get_series(metrics, metric, label1, label2, label3);
    EbHistogram_Add(series->histogram, value);
}

void
EbMetrics_Set(EbMetrics *metrics, EbMetricId metric, uint64_t value)
{
    assert(EbMetrics_table[metric].type == EB_METRIC_GAUGE);
    get_series(metrics, metric, NULL, NULL, NULL)->value = value;
}

uint64_t
EbMetrics_Read(const EbMetrics *metrics, EbMetricId metric, const char *label1,
               const char *label2, const char *label3)
{
    const char *const labels[] = {label1, label2, label3};
    char *key = join_labels(metric, labels);
    const Series *series = g_hash_table_lookup(metrics->series[metric], key);
    g_free(key);
    return series != NULL ? series->value : 0;
}

static int
compare_keys(gconstpointer left, gconstpointer right)
{
    return strcmp(left, right);
}

void
EbMetrics_ForEach(const EbMetrics *metrics, EbMetricId metric,
                  EbMetricsVisit visit, void *context)
{
    GList *keys = g_hash_table_get_keys(metrics->series[metric]);
    keys = g_list_sort(keys, compare_keys);
    for (GList *item = keys; item != NULL; item = item->next) {
        const Series *series =
            g_hash_table_lookup(metrics->series[metric], item->data);
        char **parts =
            g_strsplit(item->data, LABEL_SEPARATOR, EB_METRIC_MAX_LABELS);
        const char *labels[EB_METRIC_MAX_LABELS] = {NULL};
        for (int i = 0; parts[i] != NULL; i++) {
            labels[i] = parts[i];
        }
        visit(context, labels, series->value, series->histogram);
        g_strfreev(parts);
    }
    g_list_free(keys);
}

typedef struct {
    GString *text;
    const EbMetricInfo *info;
} FormatContext;

static void
append_label_value(GString *text, const char *value)
{
    for (const char *c = value; *c != '\0'; c++) {
        if (*c == '\n') {
            g_string_append(text, "\\n");
            continue;
        }
        if (*c == '"' || *c == '\\') {
            g_string_append_c(text, '\\');
        }
        g_string_append_c(text, *c);
    }
}

static void
append_name(FormatContext *format, const char *suffix,
            const char *const labels[], const char *bound)
{
    GString *text = format->text;
    g_string_append_printf(text, "%s%s{", format->info->name, suffix);
    const char *separator = "";
    for (int i = 0; i < EB_METRIC_MAX_LABELS; i++) {
        if (format->info->labels[i] == NULL) {
            break;
        }
        g_string_append_printf(text, "%s%s=\"", separator,
                               format->info->labels[i]);
        append_label_value(text, labels[i] != NULL ? labels[i] : "");
        g_string_append_c(text, '"');
        separator = ",";
    }
    if (bound != NULL) {
        g_string_append_printf(text, "%sle=\"%s\"", separator, bound);
    }
    g_string_append(text, "} ");
}

static void
append_histogram(FormatContext *format, const char *const labels[],
                 const EbHistogram *histogram)
{
    uint64_t total = 0;
    for (size_t i = 0; i + 1 < EB_HISTOGRAM_BUCKETS; i++) {
        total += histogram->buckets[i];
        /* Empty buckets are omitted. Counts are cumulative, so nothing is
         * lost, and the output for 400 customers stays readable. */
        if (histogram->buckets[i] == 0) {
            continue;
        }
        char bound[32];
        g_snprintf(bound, sizeof(bound), "%" G_GINT64_FORMAT,
                   EbHistogram_Bound(i));
        append_name(format, "_bucket", labels, bound);
        g_string_append_printf(format->text, "%" G_GUINT64_FORMAT "\n", total);
    }
    append_name(format, "_bucket", labels, "+Inf");
    g_string_append_printf(format->text, "%" G_GUINT64_FORMAT "\n",
                           histogram->count);
    append_name(format, "_sum", labels, NULL);
    g_string_append_printf(format->text, "%" G_GUINT64_FORMAT "\n",
                           histogram->sum);
    append_name(format, "_count", labels, NULL);
    g_string_append_printf(format->text, "%" G_GUINT64_FORMAT "\n",
                           histogram->count);
}

static void
append_series(void *context, const char *const labels[], uint64_t value,
              const EbHistogram *histogram)
{
    FormatContext *format = context;
    if (histogram != NULL) {
        append_histogram(format, labels, histogram);
        return;
    }
    append_name(format, "", labels, NULL);
    g_string_append_printf(format->text, "%" G_GUINT64_FORMAT "\n", value);
}

char *
EbMetrics_Format(const EbMetrics *metrics, size_t *byte_count)
{
    FormatContext format = {g_string_new(NULL), NULL};
    for (int i = 0; i < EB_METRIC_COUNT; i++) {
        format.info = &EbMetrics_table[i];
        g_string_append_printf(format.text, "# HELP %s %s\n# TYPE %s %s\n",
                               format.info->name, format.info->help,
                               format.info->name,
                               EbMetricType_names[format.info->type]);
        EbMetrics_ForEach(metrics, (EbMetricId)i, append_series, &format);
    }
    if (byte_count != NULL) {
        *byte_count = format.text->len;
    }
    return g_string_free(format.text, FALSE);
}
