#include "fixture.h"

#include <stdio.h>
#include <string.h>

#include "test_runner.h"

EbConfig *
Fixture_MakeConfig(uint32_t servers, uint64_t result_memory_bytes)
{
    EbConfig *config = EbConfig_New("site", 1);
    config->pools = g_new0(EbConfigPool, 1);
    config->pool_count = 1;
    config->servers = g_new0(EbConfigBackendServer, servers + 1);
    config->pools[0] = (EbConfigPool){
        .name = g_strdup(SERVICE),
        .batch = {.max_items = MAX_ITEMS,
                  .max_calls = 1,
                  .call_us = CALL_US,
                  .item_us = ITEM_US,
                  .result_memory_bytes = result_memory_bytes,
                  .result_lifetime_us = 4 * SECOND_US},
    };
    config->pools[0].server_indexes = g_new0(uint32_t, servers + 1);
    for (uint32_t i = 0; i < servers; i++) {
        config->pools[0].server_indexes[i] = i;
        config->servers[i] =
            (EbConfigBackendServer){.id = g_strdup_printf("s-%u", i),
                                    .host = g_strdup("10.0.0.1"),
                                    .port = (uint16_t)(7000 + i),
                                    .failure_domain = g_strdup("recife"),
                                    .capacity = 1};
    }
    config->pools[0].server_count = servers;
    config->server_count = servers;
    return config;
}

void
Fixture_Open(Fixture *fixture, uint32_t servers, uint64_t result_memory_bytes)
{
    *fixture =
        (Fixture){.actions = EbActionQueue_New(),
                  .now_us = SECOND_US,
                  .config = Fixture_MakeConfig(servers, result_memory_bytes),
                  .released = g_ptr_array_new_with_free_func(g_free)};
    fixture->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &fixture->random});
    fixture->evacuations = EbEvacuations_New(&(EbEvacuationsOptions){0});
    fixture->batcher = EbBatcher_New(
        &(EbBatcherOptions){.actions = fixture->actions,
                            .directives = fixture->directives,
                            .evacuations = fixture->evacuations});
    EbBatcher_SetConfig(fixture->batcher, fixture->config, fixture->now_us);
}

void
Fixture_Close(Fixture *fixture)
{
    EbBatcher_Free(fixture->batcher);
    EbDirectives_Free(fixture->directives);
    EbEvacuations_Free(fixture->evacuations);
    EbAction_Clear(&fixture->call);
    EbActionQueue_Free(fixture->actions);
    EbConfig_Unref(fixture->config);
    g_ptr_array_unref(fixture->released);
}

/* Processes the queued actions; returns the number of calls sent. */
unsigned
Fixture_ProcessActions(Fixture *fixture)
{
    unsigned calls = 0;
    EbAction action;
    while (EbActionQueue_Pop(fixture->actions, &action)) {
        if (action.kind == EB_ACTION_SEND_BATCH) {
            EbAction_Clear(&fixture->call);
            fixture->call = action;
            calls++;
            continue;
        }
        if (action.kind == EB_ACTION_RELEASE_RESULTS) {
            for (guint i = 0; i < action.as.release.handles->len; i++) {
                g_ptr_array_add(
                    fixture->released,
                    g_strdup(g_ptr_array_index(action.as.release.handles, i)));
            }
        }
        EbAction_Clear(&action);
    }
    fixture->call_count += calls;
    return calls;
}

void
Fixture_AddJobOfRequest(Fixture *fixture, const char *id, uint64_t job,
                        uint32_t items, int64_t due_us)
{
    char request_id[24];
    g_strlcpy(request_id, id, sizeof(request_id));
    EbBatcher_AddJob(
        fixture->batcher, "i-1",
        &(EbPreparationJob){.job = job,
                            .request_id = request_id,
                            .service = SERVICE,
                            .item_count = items,
                            .result_bytes = 100,
                            .key = "key",
                            .due_us = due_us,
                            .deadline_us = fixture->now_us + 10 * SECOND_US},
        fixture->now_us);
}

void
Fixture_AddJob(Fixture *fixture, uint64_t job, uint32_t items, int64_t due_us)
{
    char id[24];
    snprintf(id, sizeof(id), "r-%u", (unsigned)job);
    Fixture_AddJobOfRequest(fixture, id, job, items, due_us);
}

const EbWorkItem *
Fixture_CallItem(const Fixture *fixture, guint index)
{
    return &g_array_index(fixture->call.as.batch.items, EbWorkItem, index);
}

guint
Fixture_CallItemCount(const Fixture *fixture)
{
    const GArray *items = fixture->call.as.batch.items;
    return items != NULL ? items->len : 0;
}

/* Answers the last call with the same kind of result for all items. */
void
Fixture_AnswerCall(Fixture *fixture, EbWorkItemResultKind kind)
{
    uint64_t id = fixture->call.as.batch.attempt_id;
    guint count = Fixture_CallItemCount(fixture);
    EbWorkItemResult *results = g_new0(EbWorkItemResult, count);
    for (guint i = 0; i < count; i++) {
        results[i].kind = kind;
        if (kind == EB_WORK_ITEM_DONE) {
            results[i].handle = g_strdup_printf(
                "%s/%u", Fixture_CallItem(fixture, i)->request_id,
                Fixture_CallItem(fixture, i)->index);
        }
    }
    EbBatcher_CallAnswered(fixture->batcher, id, results, count,
                           fixture->now_us);
    for (guint i = 0; i < count; i++) {
        g_free(results[i].handle);
    }
    g_free(results);
}

EbPreparedStatus
Fixture_ExpectStatus(Fixture *fixture, uint64_t job)
{
    EbBatcherResult result;
    CU_ASSERT_TRUE_FATAL(EbBatcher_NextResult(fixture->batcher, &result));
    CU_ASSERT_EQUAL(result.job, job);
    CU_ASSERT_STRING_EQUAL(result.requester, "i-1");
    EbPreparedStatus status = result.status;
    EbBatcherResult_Clear(&result);
    return status;
}

/* Lets time pass with regular ticks; returns the number of results freed so
 * far. */
guint
Fixture_ReleasedAfter(Fixture *fixture, int64_t for_us)
{
    int64_t until_us = fixture->now_us + for_us;
    for (; fixture->now_us < until_us; fixture->now_us += 50000) {
        EbBatcher_Tick(fixture->batcher, fixture->now_us);
    }
    Fixture_ProcessActions(fixture);
    return fixture->released->len;
}
