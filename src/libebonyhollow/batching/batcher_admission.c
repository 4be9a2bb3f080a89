/* Admission: which waiting jobs the servers of a service can't do in time. */
#include "batcher_state.h"

/* Of the items done in a shortage, kept for each class of urgency. With a
 * tenth the least urgent class pays for a shortage with most of its service.
 */
#define LEAST_SHARE 0.5
/* Of the rate of a service, which a class is expected to get at least. With
 * less, jobs are refused that would be served; with more, jobs wait that are
 * refused in the end. */
#define LEAST_RATE_SHARE 0.2
/* In a shortage that lasts this long, the rate of the items done is known. */
#define MEASURED_AFTER_US 2500000
#define REPORT_INTERVAL_US 1000000
/* Of the time to its deadline, for which a job waits of whose request nothing
 * is done yet, or that is late on arrival. Its caller learns while it can
 * still come back; one that came back late isn't held in vain. */
#define LATE_WAIT_SHARE 0.3
/* Bound on the time after which refused callers are asked to return: few have
 * longer deadlines. */
#define MAX_ROOM_IN_US 3000000

EbStageCapacity
EbBatchService_Capacity(const EbBatchService *service, int64_t now_us)
{
    EbStageCapacity capacity = {
        .now_us = now_us,
        .by_urgency = service->by_urgency,
        .items_at_once = EbBatchService_ItemsAtOnce(service),
        .call_us = EbBatchService_ExpectedTime(service, 1),
        .least_share = LEAST_SHARE,
        .least_rate_share = LEAST_RATE_SHARE};
    double full_call_us =
        (double)EbBatchService_ExpectedTime(service, service->batch.max_items);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->current && !server->evacuated && server->failures == 0) {
            capacity.items_per_s += service->batch.max_items * 1e6 /
                                    (full_call_us * server->slowdown);
        }
    }
    /* In a shortage, what is done shows also what memory for results allows.
     */
    if (service->short_since_us != 0 &&
        now_us - service->short_since_us >= MEASURED_AFTER_US) {
        capacity.items_per_s =
            MIN(capacity.items_per_s,
                EbStageRates_PerSecond(&service->done, 0, now_us));
    }
    for (uint32_t i = 0; i < EB_STAGE_CLASSES; i++) {
        capacity.arrivals_per_s[i] =
            EbStageRates_PerSecond(&service->arrivals, i, now_us);
    }
    return capacity;
}

typedef struct {
    int64_t busy;
    int64_t blocked;
    int64_t without_memory;
    uint64_t held_bytes;
    uint64_t foreign_bytes;
} ServerCounts;

static ServerCounts
count_servers(const EbBatchService *service, int64_t now_us)
{
    ServerCounts counts = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        counts.held_bytes += server->held_bytes;
        counts.foreign_bytes += server->foreign_bytes;
        if (server->running > 0) {
            counts.busy++;
        }
        else if (server->blocked_until_us > now_us) {
            counts.blocked++;
        }
        else if (!EbBatchService_HasMemory(service, server, now_us)) {
            counts.without_memory++;
        }
    }
    return counts;
}

/* Returns the number of waiting items of each class, "priority/priority of the
 * route:items ". */
static GString *
format_classes(const EbStageEntry *entries, guint count)
{
    uint32_t by_class[EB_STAGE_CLASSES] = {0};
    for (guint i = 0; i < count; i++) {
        by_class[entries[i].class] += entries[i].items;
    }
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < EB_STAGE_CLASSES; i++) {
        if (by_class[i] > 0) {
            g_string_append_printf(text, "%u/%u:%u ", i / EB_STAGE_PRIORITIES,
                                   i % EB_STAGE_PRIORITIES, by_class[i]);
        }
    }
    return text;
}

static int64_t
count_late_items(const EbStageEntry *entries, guint count)
{
    int64_t items = 0;
    for (guint i = 0; i < count; i++) {
        items += entries[i].late ? entries[i].items : 0;
    }
    return items;
}

/* Logs a shortage, once a second. */
static void
report_shortage(const EbBatcher *batcher, EbBatchService *service,
                const EbStageEntry *entries, guint count,
                const EbStageCapacity *capacity)
{
    int64_t now_us = capacity->now_us;
    if (service->next_report_us > now_us) {
        return;
    }
    service->next_report_us = now_us + REPORT_INTERVAL_US;
    ServerCounts servers = count_servers(service, now_us);
    int64_t mean_bytes =
        (int64_t)(service->waiting_bytes / service->waiting_count);
    double done_per_s = EbStageRates_PerSecond(&service->done, 0, now_us);
    GString *by_priority = format_classes(entries, count);
    EB_EMIT(batcher->options.events, EB_EVENT_STAGE_SHORTAGE,
            EB_STRING_FIELD("service", service->name),
            EB_INTEGER_FIELD("items", (int64_t)service->waiting_count),
            EB_STRING_FIELD("by_priority", by_priority->str),
            EB_INTEGER_FIELD("late_items", count_late_items(entries, count)),
            EB_INTEGER_FIELD("busy", servers.busy),
            EB_INTEGER_FIELD("blocked", servers.blocked),
            EB_INTEGER_FIELD("without_memory", servers.without_memory),
            EB_INTEGER_FIELD("held_bytes", (int64_t)servers.held_bytes),
            EB_INTEGER_FIELD("foreign_bytes", (int64_t)servers.foreign_bytes),
            EB_INTEGER_FIELD("mean_bytes", mean_bytes),
            EB_INTEGER_FIELD("items_per_s", (int64_t)capacity->items_per_s),
            EB_INTEGER_FIELD("done_per_s", (int64_t)done_per_s));
    g_string_free(by_priority, TRUE);
}

void
EbBatchJob_ReportLate(EbBatcher *batcher, EbBatchJob *job, const char *cause,
                      int64_t now_us)
{
    if (batcher->options.metrics != NULL) {
        EbMetrics_Add(batcher->options.metrics, EB_METRIC_LATE_STAGE_JOBS, 1,
                      job->spec.service, cause, NULL);
    }
    EbBatchJob_Report(batcher, job, EB_PREPARED_LATE, now_us);
}

/* Returns until when a job may wait. Inputs are lost after the lifetime of a
 * result, and the stages before would have to run again. */
static int64_t
wait_end(const EbBatchService *service, const EbBatchJob *job)
{
    int64_t end_us = job->spec.deadline_us;
    int64_t lifetime_us = service->batch.result_lifetime_us;
    bool first = job->spec.inputs == NULL;
    if (!first && lifetime_us > 0) {
        end_us = MIN(end_us, job->added_us + lifetime_us);
    }
    int64_t call_us = EbBatchService_ExpectedTime(service, 1);
    if (!first && job->spec.due_us >= job->added_us + call_us) {
        return end_us;
    }
    double wait_us = (double)(end_us - job->added_us);
    return job->added_us + (int64_t)(LATE_WAIT_SHARE * wait_us);
}

void
EbBatchService_ReviewJobs(EbBatcher *batcher, EbBatchService *service,
                          int64_t now_us)
{
    if (!service->by_urgency || service->next_review_us > now_us ||
        service->waiting_count == 0) {
        return;
    }
    service->next_review_us = now_us + EB_BATCH_REVIEW_US;
    EbStageCapacity capacity = EbBatchService_Capacity(service, now_us);
    GArray *list = EbBatchService_ListEntries(service, NULL, now_us);
    EbStageEntry *entries = (EbStageEntry *)list->data;
    for (guint i = 0; i < list->len; i++) {
        entries[i].deadline_us = wait_end(service, entries[i].job);
    }
    if (EbStageSchedule_Order(entries, list->len, &capacity)) {
        report_shortage(batcher, service, entries, list->len, &capacity);
    }
    EbStageSchedule_Project(entries, list->len, &capacity);
    int64_t room_in_us = capacity.items_per_s > 0
                             ? (int64_t)MIN((double)service->waiting_count *
                                                1e6 / capacity.items_per_s,
                                            MAX_ROOM_IN_US)
                             : 0;
    for (guint i = 0; i < list->len; i++) {
        EbBatchJob *job = entries[i].job;
        if (entries[i].hopeless && job->running_count == 0 &&
            job->done_count == 0) {
            job->room_in_us = room_in_us;
            EbBatchJob_ReportLate(batcher, job, "projected", now_us);
        }
    }
    g_array_free(list, TRUE);
}
