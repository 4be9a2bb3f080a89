/* What the batcher does at a time: releases of results, expiry of jobs, and
 * the next time at which a server is considered. */
#include "batcher_state.h"

/* A free server that no waiting item suited is considered again after this
 * time. */
#define RECHECK_INTERVAL_US 20000

/* Forgets what waits to be released at a server. */
static void
clear_releases(EbBatchServer *server)
{
    g_ptr_array_set_size(server->releases, 0);
    server->held_bytes -= MIN(server->held_bytes, server->released_bytes);
    server->released_bytes = 0;
}

/* Sends what waits to be released. A server that asks for calls to wait gets
 * it later; one that leaves takes its results with it; in an evacuated failure
 * domain, to which nothing is sent, they expire. */
static void
release_results(EbBatcher *batcher, int64_t now_us)
{
    EbDirectives *directives = batcher->options.directives;
    GHashTableIter services;
    GHashTableIter servers;
    gpointer service;
    gpointer value;
    batcher->next_release_us = INT64_MAX;
    g_hash_table_iter_init(&services, batcher->services);
    while (g_hash_table_iter_next(&services, NULL, &service)) {
        g_hash_table_iter_init(&servers, ((EbBatchService *)service)->servers);
        while (g_hash_table_iter_next(&servers, NULL, &value)) {
            EbBatchServer *server = value;
            if (server->releases->len == 0) {
                continue;
            }
            if (server->evacuated) {
                clear_releases(server);
                continue;
            }
            int64_t admission_us =
                EbDirectives_NextAdmission(directives, server->id, now_us);
            if (admission_us > now_us) {
                batcher->next_release_us =
                    MIN(batcher->next_release_us, admission_us);
                continue;
            }
            EbDirectives_RecordCall(directives, server->id, now_us);
            EbActionQueue_Push(
                batcher->options.actions,
                &(EbAction){.kind = EB_ACTION_RELEASE_RESULTS,
                            .as.release = {
                                .attempt_id = ++batcher->last_attempt_id |
                                              EB_BATCH_ATTEMPT_BIT,
                                .server_id = g_strdup(server->id),
                                .host = g_strdup(server->host),
                                .port = server->port,
                                .handles = server->releases,
                            }});
            server->releases = g_ptr_array_new_with_free_func(g_free);
            clear_releases(server);
        }
    }
}

static void
free_job_result_memory(EbBatchJob *job)
{
    for (uint32_t i = 0; i < job->spec.item_count; i++) {
        EbBatchItem *item = &job->items[i];
        EbBatchServer *server = EbBatchJob_FindItemServer(job, item);
        if (server != NULL) {
            EbBatchJob_FreeResultMemory(job, item, server);
        }
    }
}

/* Returns the unfinished job with the earliest deadline, or NULL. */
static EbBatchJob *
first_unfinished(const EbBatcher *batcher)
{
    GSequenceIter *first = g_sequence_get_begin_iter(batcher->unfinished);
    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/* Reports the jobs whose deadline passes while their items run. */
static void
report_expired_jobs(EbBatcher *batcher, int64_t now_us)
{
    EbBatchJob *job = first_unfinished(batcher);
    while (job != NULL && job->spec.deadline_us <= now_us) {
        EbBatchJob_ReportLate(batcher, job, "expired", now_us);
        job = first_unfinished(batcher);
    }
}

/* Ends the jobs of requesters that did not reconnect, and removes those whose
 * results no longer exist. */
static void
remove_expired_jobs(EbBatcher *batcher, int64_t now_us)
{
    GList *jobs = g_hash_table_get_values(batcher->jobs);
    for (GList *item = jobs; item != NULL; item = item->next) {
        EbBatchJob *job = item->data;
        if (job->grace_until_us <= now_us) {
            EbBatchJob_End(batcher, job, now_us);
        }
        else if (job->expires_us <= now_us && job->running_count == 0) {
            EbBatchJob_DropWaiting(job);
            free_job_result_memory(job);
            EbBatchJob_Free(batcher, job);
        }
    }
    g_list_free(jobs);
}

void
EbBatcher_Tick(EbBatcher *batcher, int64_t now_us)
{
    EbBatcher_TimeOutCalls(batcher, now_us);
    report_expired_jobs(batcher, now_us);
    remove_expired_jobs(batcher, now_us);
    /* Before the releases, which may otherwise use up what a server's limit
     * allows. */
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbBatchService_StartCalls(batcher, value, now_us);
    }
    if (batcher->next_release_us <= now_us) {
        release_results(batcher, now_us);
    }
}

static int64_t
next_server_check(const EbBatcher *batcher, const EbBatchService *service)
{
    int64_t next_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->current && !server->evacuated &&
            server->running < service->batch.max_calls) {
            int64_t check_us = MAX(server->blocked_until_us,
                                   server->skipped_us + RECHECK_INTERVAL_US);
            int64_t admission_us = EbDirectives_NextAdmission(
                batcher->options.directives, server->id, check_us);
            next_us = MIN(next_us, MAX(check_us, admission_us));
        }
    }
    return next_us;
}

int64_t
EbBatcher_NextTimer(const EbBatcher *batcher)
{
    int64_t next_us = batcher->next_release_us;
    const EbBatchJob *expiring = first_unfinished(batcher);
    if (expiring != NULL) {
        next_us = MIN(next_us, expiring->spec.deadline_us);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        next_us = MIN(next_us, ((const EbBatchCall *)value)->timeout_at_us);
    }
    g_hash_table_iter_init(&iter, batcher->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchService *service = value;
        if (service->waiting_count > 0) {
            next_us = MIN(next_us, next_server_check(batcher, service));
        }
    }
    return next_us;
}
