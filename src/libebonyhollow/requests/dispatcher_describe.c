/* Descriptions of live and recent requests. */
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

EbRequestSummary *
EbRequestSummary_New(const EbSubmission *submission, int64_t now_us)
{
    EbRequestSummary *summary = g_new0(EbRequestSummary, 1);
    summary->request_id = g_strdup(submission->request_id);
    summary->customer = g_strdup("");
    summary->pipeline = g_strdup(submission->pipeline);
    summary->state = EB_REQUEST_RECEIVED;
    summary->received_us = now_us;
    summary->outcome = EB_OUTCOME_COUNT;
    summary->trace = g_array_new(FALSE, FALSE, sizeof(EbTraceEntry));
    return summary;
}

void
EbRequestSummary_Free(EbRequestSummary *summary)
{
    g_free(summary->request_id);
    g_free(summary->customer);
    g_free(summary->pipeline);
    g_array_free(summary->trace, TRUE);
    g_free(summary);
}

void
EbRequest_Trace(EbRequest *request, const char *event, const char *detail,
                uint32_t attempt, int64_t now_us)
{
    GArray *trace = request->summary->trace;
    if (trace->len >= EB_REQUEST_MAX_TRACE) {
        return;
    }
    EbTraceEntry entry = {
        .at_us = now_us,
        .event = event,
        .stage = request->stage,
        .attempt = attempt,
    };
    g_strlcpy(entry.detail, detail, sizeof(entry.detail));
    g_array_append_val(trace, entry);
}

static json_t *
describe_trace(const EbRequestSummary *summary)
{
    json_t *trace = json_array();
    for (guint i = 0; i < summary->trace->len; i++) {
        const EbTraceEntry *entry =
            &g_array_index(summary->trace, EbTraceEntry, i);
        json_t *item =
            json_pack("{s:I, s:s, s:i}", "after_us",
                      (json_int_t)(entry->at_us - summary->received_us),
                      "event", entry->event, "stage", (int)entry->stage);
        if (entry->attempt > 0) {
            json_object_set_new(item, "attempt", json_integer(entry->attempt));
        }
        if (entry->detail[0] != '\0') {
            json_object_set_new(item, "detail", json_string(entry->detail));
        }
        json_array_append_new(trace, item);
    }
    return trace;
}

static json_t *
describe(const EbRequestSummary *summary, int64_t now_us)
{
    bool finished = summary->state == EB_REQUEST_FINISHED;
    int64_t end_us = finished ? summary->finished_us : now_us;
    json_t *request = json_pack(
        "{s:s, s:s, s:s, s:s, s:i, s:I, s:o}", "request_id",
        summary->request_id, "customer", summary->customer, "pipeline",
        summary->pipeline, "state", EbRequestState_names[summary->state],
        "stage", (int)summary->stage, "age_us",
        (json_int_t)(end_us - summary->received_us), "trace",
        describe_trace(summary));
    if (request != NULL && summary->outcome != EB_OUTCOME_COUNT) {
        json_object_set_new(request, "outcome",
                            json_string(EbOutcome_names[summary->outcome]));
        json_object_set_new(request, "reason",
                            json_string(EbReason_table[summary->reason].name));
    }
    return request;
}

static void
visit_summary(const EbRequestSummary *summary, const char *request_id,
              int64_t now_us, void (*visit)(void *context, json_t *request),
              void *context)
{
    if (request_id != NULL && strcmp(request_id, summary->request_id) != 0) {
        return;
    }
    json_t *request = describe(summary, now_us);
    if (request != NULL) {
        visit(context, request);
    }
    json_decref(request);
}

void
EbDispatcher_DescribeRequests(const EbDispatcher *dispatcher,
                              const char *request_id, int64_t now_us,
                              void (*visit)(void *context, json_t *request),
                              void *context)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, dispatcher->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbRequest *request = value;
        visit_summary(request->summary, request_id, now_us, visit, context);
    }
    for (const GList *item = dispatcher->recent.head; item != NULL;
         item = item->next) {
        visit_summary(item->data, request_id, now_us, visit, context);
    }
}
