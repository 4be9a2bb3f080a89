/* The report, as text and as JSON, and the check of executions. */
#include <stdio.h>
#include <string.h>

#include "load.h"

/* Executions of a key that are consistent with its outcome. */
static const struct {
    json_int_t min;
    json_int_t max;
} allowed_runs[EB_OUTCOME_COUNT + 1] = {
    [EB_OUTCOME_DONE] = {1, 1},   [EB_OUTCOME_NOT_RUN] = {0, 0},
    [EB_OUTCOME_FAILED] = {0, 0}, [EB_OUTCOME_UNKNOWN] = {0, 1},
    [EB_OUTCOME_COUNT] = {0, 1},
};

uint64_t
Report_CheckRuns(const Load *load, json_t *runs)
{
    uint64_t violations = 0;
    for (guint i = 0; i < load->keyed->len; i++) {
        const KeyedResult *result =
            &g_array_index(load->keyed, KeyedResult, i);
        json_int_t count =
            json_integer_value(json_object_get(runs, result->key));
        if (count < allowed_runs[result->outcome].min ||
            count > allowed_runs[result->outcome].max) {
            printf(
                "violation: key %s was answered %s but executed %lld times\n",
                result->key,
                result->outcome < EB_OUTCOME_COUNT
                    ? EbOutcome_names[result->outcome]
                    : "(cut)",
                (long long)count);
            violations++;
        }
    }
    return violations;
}

uint64_t
Report_Violations(const Load *load)
{
    uint64_t violations = 0;
    for (uint32_t i = 0; i < load->kind_count; i++) {
        violations += load->tallies[i].cut + load->tallies[i].crossed +
                      load->tallies[i].broken;
    }
    return violations;
}

static uint64_t
mean_us(const EbHistogram *histogram)
{
    return histogram->count > 0 ? histogram->sum / histogram->count : 0;
}

static json_t *
describe_tally(const RequestKind *kind, const Tally *tally)
{
    double attainment =
        tally->sent > 0 ? (double)tally->in_time / (double)tally->sent : 1.0;
    return json_pack(
        "{s:s, s:s, s:I, s:I, s:I, s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:I, s:I, s:I, s:I, s:I}",
        "name", kind->name, "customer", kind->customer, "sent",
        (json_int_t)tally->sent, "in_time", (json_int_t)tally->in_time,
        "in_window", (json_int_t)tally->in_window, "attainment", attainment,
        "done", (json_int_t)tally->done, "not_run",
        (json_int_t)tally->outcomes[EB_OUTCOME_NOT_RUN], "failed",
        (json_int_t)tally->outcomes[EB_OUTCOME_FAILED], "unknown",
        (json_int_t)tally->outcomes[EB_OUTCOME_UNKNOWN], "cut",
        (json_int_t)tally->cut, "crossed", (json_int_t)tally->crossed,
        "broken", (json_int_t)tally->broken, "mean_us",
        (json_int_t)mean_us(&tally->total_us), "p50_us",
        (json_int_t)EbHistogram_Quantile(&tally->total_us, 500), "p95_us",
        (json_int_t)EbHistogram_Quantile(&tally->total_us, 950),
        "first_token_p95_us",
        (json_int_t)EbHistogram_Quantile(&tally->first_token_us, 950),
        "token_gap_p95_us",
        (json_int_t)EbHistogram_Quantile(&tally->token_gap_us, 950));
}

json_t *
Report_Json(const Load *load, double seconds)
{
    json_t *kinds = json_array();
    uint64_t sent = 0, in_time = 0;
    for (uint32_t i = 0; i < load->kind_count; i++) {
        json_array_append_new(
            kinds, describe_tally(&load->kinds[i], &load->tallies[i]));
        sent += load->tallies[i].sent;
        in_time += load->tallies[i].in_time;
    }
    json_t *reasons = json_object();
    GHashTableIter iterator;
    gpointer name, count;
    g_hash_table_iter_init(&iterator, load->reasons);
    while (g_hash_table_iter_next(&iterator, &name, &count)) {
        json_object_set_new(reasons, name,
                            json_integer((json_int_t)GPOINTER_TO_SIZE(count)));
    }
    return json_pack("{s:f, s:I, s:I, s:f, s:o, s:o}", "seconds", seconds,
                     "sent", (json_int_t)sent, "in_time", (json_int_t)in_time,
                     "attainment",
                     sent > 0 ? (double)in_time / (double)sent : 1.0, "kinds",
                     kinds, "reasons", reasons);
}

void
Report_Print(const Load *load, double seconds)
{
    printf("%-24s %8s %8s %7s %7s %7s %7s %5s %9s %9s %9s\n", "request",
           "sent", "in time", "attain", "not-run", "failed", "unknown", "cut",
           "p50 ms", "p95 ms", "token1 ms");
    uint64_t sent = 0, in_time = 0;
    for (uint32_t i = 0; i < load->kind_count; i++) {
        const Tally *tally = &load->tallies[i];
        sent += tally->sent;
        in_time += tally->in_time;
        printf("%-24s %8" G_GUINT64_FORMAT " %8" G_GUINT64_FORMAT
               " %6.2f%% %7" G_GUINT64_FORMAT " %7" G_GUINT64_FORMAT
               " %7" G_GUINT64_FORMAT " %5" G_GUINT64_FORMAT
               " %9.1f %9.1f %9.1f\n",
               load->kinds[i].name, tally->sent, tally->in_time,
               tally->sent > 0
                   ? 100.0 * (double)tally->in_time / (double)tally->sent
                   : 100.0,
               tally->outcomes[EB_OUTCOME_NOT_RUN],
               tally->outcomes[EB_OUTCOME_FAILED],
               tally->outcomes[EB_OUTCOME_UNKNOWN], tally->cut,
               (double)EbHistogram_Quantile(&tally->total_us, 500) / 1000.0,
               (double)EbHistogram_Quantile(&tally->total_us, 950) / 1000.0,
               (double)EbHistogram_Quantile(&tally->first_token_us, 950) /
                   1000.0);
    }
    printf("total: %" G_GUINT64_FORMAT " sent, %" G_GUINT64_FORMAT
           " in time (%.2f%%) in %.1f s\n",
           sent, in_time,
           sent > 0 ? 100.0 * (double)in_time / (double)sent : 100.0, seconds);
    GHashTableIter iterator;
    gpointer name, count;
    g_hash_table_iter_init(&iterator, load->reasons);
    while (g_hash_table_iter_next(&iterator, &name, &count)) {
        printf("  not done: %s %zu\n", (const char *)name,
               GPOINTER_TO_SIZE(count));
    }
}
