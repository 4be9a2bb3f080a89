/* EbMetrics: counters, gauges and histograms of a daemon, with a bounded
 * number of series.
 *
 * The metrics are the rows of a table in metrics.c. A test compares
 * docs/metrics.md with it. Each metric has up to three labels. Once it has its
 * maximum number of series, values for new labels go to one series whose
 * labels are all "other". */
#ifndef EBONYHOLLOW_METRICS_H
#define EBONYHOLLOW_METRICS_H

#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/histogram.h"

#define EB_METRIC_MAX_LABELS 3

typedef enum {
    EB_METRIC_REQUESTS,          /* customer, pipeline, outcome */
    EB_METRIC_IN_TIME,           /* customer, pipeline */
    EB_METRIC_REFUSALS,          /* reason */
    EB_METRIC_ATTEMPTS,          /* pipeline, stage, result */
    EB_METRIC_RETRIES,           /* pipeline, stage */
    EB_METRIC_HEDGES,            /* pipeline, stage */
    EB_METRIC_RESUMES,           /* pipeline, stage */
    EB_METRIC_WASTED_CALLS,      /* pipeline, stage */
    EB_METRIC_SAVED_CALLS,       /* pipeline, stage */
    EB_METRIC_SERVER_TIME_US,    /* customer, pipeline, stage */
    EB_METRIC_TOKENS,            /* customer, pipeline */
    EB_METRIC_LATE_STAGE_JOBS,   /* service, cause */
    EB_METRIC_PLATFORM_CALLS,    /* operation, status */
    EB_METRIC_PEER_BYTES,        /* direction */
    EB_METRIC_PEER_MESSAGES,     /* direction, kind */
    EB_METRIC_EVENTS_SUPPRESSED, /* event */
    EB_METRIC_DIRECTIVES,        /* kind */
    EB_METRIC_EVACUATIONS,       /* failure_domain, state */
    EB_METRIC_COLD_CALLS,
    EB_METRIC_PACE_ENDED,         /* cause */
    EB_METRIC_CLIENTS_ENDED,      /* reason */
    EB_METRIC_TOTAL_TIME_US,      /* histogram: customer */
    EB_METRIC_STAGE_TIME_US,      /* histogram: pipeline, stage */
    EB_METRIC_QUEUE_TIME_US,      /* histogram: pipeline, stage */
    EB_METRIC_FIRST_TOKEN_US,     /* histogram: customer */
    EB_METRIC_TOKEN_GAP_US,       /* histogram: customer */
    EB_METRIC_READY,              /* gauge */
    EB_METRIC_GENERATION,         /* gauge */
    EB_METRIC_LIVE_REQUESTS,      /* gauge */
    EB_METRIC_PLATFORM_UP,        /* gauge */
    EB_METRIC_UNWRITTEN_OUTCOMES, /* gauge */
    EB_METRIC_LIVE_DAEMONS,       /* gauge */
    EB_METRIC_QUARANTINED,        /* gauge */
    EB_METRIC_EVACUATED,          /* gauge */
    EB_METRIC_EVACUATED_CALLS,    /* gauge */
    EB_METRIC_PACED_SERVERS,      /* gauge */
    EB_METRIC_FULL,               /* gauge */
    EB_METRIC_COUNT
} EbMetricId;

typedef enum {
    EB_METRIC_COUNTER,
    EB_METRIC_HISTOGRAM,
    EB_METRIC_GAUGE,
    EB_METRIC_TYPE_COUNT
} EbMetricType;

extern const char *const EbMetricType_names[EB_METRIC_TYPE_COUNT];

typedef struct {
    const char *name; /* a counter ends in _total, a histogram in its unit */
    EbMetricType type;
    const char *help;
    const char *labels[EB_METRIC_MAX_LABELS]; /* names; NULL: unused */
    uint32_t max_series;                      /* without the series "other" */
} EbMetricInfo;

extern const EbMetricInfo EbMetrics_table[EB_METRIC_COUNT];

typedef struct EbMetrics EbMetrics;

/* Returns metrics without series, which the caller frees with EbMetrics_Free.
 */
EbMetrics *EbMetrics_New(void);

/* Frees the metrics. Accepts NULL. */
void EbMetrics_Free(EbMetrics *metrics);

/* Adds to a counter. Label values are given in the order of the metric's
 * labels; those beyond them must be NULL. */
void EbMetrics_Add(EbMetrics *metrics, EbMetricId metric, uint64_t amount,
                   const char *label1, const char *label2, const char *label3);

/* Adds a value to a histogram. Labels are as for EbMetrics_Add. */
void EbMetrics_Observe(EbMetrics *metrics, EbMetricId metric, int64_t value,
                       const char *label1, const char *label2,
                       const char *label3);

/* Sets a gauge. Gauges have no labels. */
void EbMetrics_Set(EbMetrics *metrics, EbMetricId metric, uint64_t value);

/* Returns the value of a counter or gauge, or 0 when the series is absent. */
uint64_t EbMetrics_Read(const EbMetrics *metrics, EbMetricId metric,
                        const char *label1, const char *label2,
                        const char *label3);

/* Visits one series.
 *
 * labels: EB_METRIC_MAX_LABELS label values, NULL beyond the metric's; valid
 * during the call.
 * value: of a counter or gauge. histogram: NULL unless the metric is one. */
typedef void (*EbMetricsVisit)(void *context, const char *const labels[],
                               uint64_t value, const EbHistogram *histogram);

/* Calls `visit` for every series of a metric, sorted by label values. */
void EbMetrics_ForEach(const EbMetrics *metrics, EbMetricId metric,
                       EbMetricsVisit visit, void *context);

/* Formats all series in the text exposition format, version 0.0.4.
 *
 * byte_count: set to the length of the text; may be NULL.
 *
 * Returns a string that the caller frees with free(). */
char *EbMetrics_Format(const EbMetrics *metrics, size_t *byte_count);

#endif
