/* Tests of EbBatcher on a virtual clock. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/batcher.h"
#include "ebonyhollow/placement.h"
#include "ebonyhollow/preparation_table.h"
#include "load.h"
#include "test_runner.h"

#define SERVICE "encode"
#define CALL_US 200000
#define ITEM_US 10000
#define MAX_ITEMS 8
#define SECOND_US INT64_C(1000000)

typedef struct {
    EbActionQueue *actions;
    EbBatcher *batcher;
    EbDirectives *directives;
    EbRandom random;
    EbConfig *config;
    int64_t now_us;
    EbAction call; /* the last call sent */
    unsigned call_count;
    GPtrArray *released; /* of char *, handles that servers had to free */
} Fixture;

static EbConfig *
make_config(uint32_t servers, uint64_t result_memory_bytes)
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

static void
init_fixture(Fixture *fixture, uint32_t servers, uint64_t result_memory_bytes)
{
    *fixture = (Fixture){.actions = EbActionQueue_New(),
                         .now_us = SECOND_US,
                         .config = make_config(servers, result_memory_bytes),
                         .released = g_ptr_array_new_with_free_func(g_free)};
    fixture->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &fixture->random});
    fixture->batcher = EbBatcher_New(&(EbBatcherOptions){
        .actions = fixture->actions, .directives = fixture->directives});
    EbBatcher_SetConfig(fixture->batcher, fixture->config, fixture->now_us);
}

static void
clear_fixture(Fixture *fixture)
{
    EbBatcher_Free(fixture->batcher);
    EbDirectives_Free(fixture->directives);
    EbAction_Clear(&fixture->call);
    EbActionQueue_Free(fixture->actions);
    EbConfig_Unref(fixture->config);
    g_ptr_array_unref(fixture->released);
}

/* Processes the queued actions; returns the number of calls sent. */
static unsigned
process_actions(Fixture *fixture)
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

static void
add_job_of_request(Fixture *fixture, const char *id, uint64_t job,
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

static void
add_job(Fixture *fixture, uint64_t job, uint32_t items, int64_t due_us)
{
    char id[24];
    snprintf(id, sizeof(id), "r-%u", (unsigned)job);
    add_job_of_request(fixture, id, job, items, due_us);
}

static const EbWorkItem *
call_item(const Fixture *fixture, guint index)
{
    return &g_array_index(fixture->call.as.batch.items, EbWorkItem, index);
}

static guint
call_item_count(const Fixture *fixture)
{
    const GArray *items = fixture->call.as.batch.items;
    return items != NULL ? items->len : 0;
}

/* Answers the last call with the same kind of result for all items. */
static void
answer_call(Fixture *fixture, EbWorkItemResultKind kind)
{
    uint64_t id = fixture->call.as.batch.attempt_id;
    guint count = call_item_count(fixture);
    EbWorkItemResult *results = g_new0(EbWorkItemResult, count);
    for (guint i = 0; i < count; i++) {
        results[i].kind = kind;
        if (kind == EB_WORK_ITEM_DONE) {
            results[i].handle =
                g_strdup_printf("%s/%u", call_item(fixture, i)->request_id,
                                call_item(fixture, i)->index);
        }
    }
    EbBatcher_CallAnswered(fixture->batcher, id, results, count,
                           fixture->now_us);
    for (guint i = 0; i < count; i++) {
        g_free(results[i].handle);
    }
    g_free(results);
}

static EbPreparedStatus
expect_status(Fixture *fixture, uint64_t job)
{
    EbBatcherResult result;
    CU_ASSERT_TRUE_FATAL(EbBatcher_NextResult(fixture->batcher, &result));
    CU_ASSERT_EQUAL(result.job, job);
    CU_ASSERT_STRING_EQUAL(result.requester, "i-1");
    EbPreparedStatus status = result.status;
    EbBatcherResult_Clear(&result);
    return status;
}

/* Guards against results that are given to another request or in the wrong
 * order, and against calls that are sent half empty while items wait. */
static void
test_batching(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job(&fixture, 1, 1, 5 * SECOND_US);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    add_job(&fixture, 2, 3, 5 * SECOND_US);
    add_job(&fixture, 3, 9, 4 * SECOND_US);
    CU_ASSERT_EQUAL(process_actions(&fixture), 0); /* the server is busy */
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_EQUAL(call_item_count(&fixture), MAX_ITEMS);
    CU_ASSERT_STRING_EQUAL(call_item(&fixture, 0)->request_id, "r-3");
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_EQUAL(call_item_count(&fixture), 4);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    for (int i = 0; i < 2; i++) {
        EbBatcherResult result;
        CU_ASSERT_TRUE_FATAL(EbBatcher_NextResult(fixture.batcher, &result));
        CU_ASSERT_EQUAL(result.handle_count, result.job == 2 ? 3 : 9);
        for (uint32_t k = 0; k < result.handle_count; k++) {
            char expected[24];
            snprintf(expected, sizeof(expected), "r-%u/%u",
                     (unsigned)result.job, k);
            CU_ASSERT_STRING_EQUAL(result.handles[k], expected);
        }
        EbBatcherResult_Clear(&result);
    }
    clear_fixture(&fixture);
}

/* Guards against items that are already late and displace those that can still
 * be in time. */
static void
test_late_items_last(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job(&fixture, 1, 1, 5 * SECOND_US);
    process_actions(&fixture);
    add_job(&fixture, 2, MAX_ITEMS, fixture.now_us - 1);
    add_job(&fixture, 3, 1, 5 * SECOND_US);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    process_actions(&fixture);
    CU_ASSERT_STRING_EQUAL(call_item(&fixture, 0)->request_id, "r-3");
    CU_ASSERT_STRING_EQUAL(call_item(&fixture, 1)->request_id, "r-2");
    clear_fixture(&fixture);
}

/* Guards against items that are lost when their call fails, and against items
 * that are sent again although no server can complete them. */
static void
test_failures(void)
{
    static const struct {
        EbWorkItemResultKind kind; /* RESULT_COUNT: the connection broke */
        bool sent_again;
        EbPreparedStatus status; /* of the job in the end */
    } rows[] = {
        {EB_WORK_ITEM_RESULT_COUNT, true, EB_PREPARED_OK},
        {EB_WORK_ITEM_ERROR, true, EB_PREPARED_OK},
        {EB_WORK_ITEM_OUT_OF_MEMORY, true, EB_PREPARED_OK},
        {EB_WORK_ITEM_INPUT_GONE, false, EB_PREPARED_INPUT_GONE},
        {EB_WORK_ITEM_LATE, false, EB_PREPARED_LATE},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        init_fixture(&fixture, 2, 0);
        add_job(&fixture, 1, 2, 5 * SECOND_US);
        process_actions(&fixture);
        if (rows[i].kind == EB_WORK_ITEM_RESULT_COUNT) {
            EbBatcher_CallFailed(fixture.batcher,
                                 fixture.call.as.batch.attempt_id,
                                 EB_CALL_BROKEN, "reset", fixture.now_us);
        }
        else {
            answer_call(&fixture, rows[i].kind);
        }
        fixture.now_us += SECOND_US;
        EbBatcher_Tick(fixture.batcher, fixture.now_us);
        CU_ASSERT_EQUAL(process_actions(&fixture), rows[i].sent_again);
        if (rows[i].sent_again) {
            CU_ASSERT_EQUAL(call_item_count(&fixture), 2);
            answer_call(&fixture, EB_WORK_ITEM_DONE);
        }
        CU_ASSERT_EQUAL(expect_status(&fixture, 1), rows[i].status);
        clear_fixture(&fixture);
    }
}

/* Guards against an item that crashes every server and is sent again without
 * end. */
static void
test_attempts_bounded(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job(&fixture, 1, 1, 100 * SECOND_US);
    unsigned sent = process_actions(&fixture);
    for (int i = 0; i < 20; i++) {
        EbBatcher_CallFailed(fixture.batcher, fixture.call.as.batch.attempt_id,
                             EB_CALL_BROKEN, "reset", fixture.now_us);
        fixture.now_us += SECOND_US / 4;
        EbBatcher_Tick(fixture.batcher, fixture.now_us);
        sent += process_actions(&fixture);
    }
    CU_ASSERT_EQUAL(sent, 4);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_FAILED);
    clear_fixture(&fixture);
}

/* Guards against a silent server that blocks its items: after the time-out
 * they have to be sent to another server. */
static void
test_silent_server(void)
{
    Fixture fixture;
    init_fixture(&fixture, 2, 0);
    add_job(&fixture, 1, 1, 5 * SECOND_US);
    process_actions(&fixture);
    char *first = g_strdup(fixture.call.as.batch.server_id);
    fixture.now_us += 2 * SECOND_US;
    EbBatcher_Tick(fixture.batcher, fixture.now_us);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_STRING_NOT_EQUAL(fixture.call.as.batch.server_id, first);
    g_free(first);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    clear_fixture(&fixture);
}

/* Guards against results that stay at their servers after their job has ended,
 * whether they were completed before or after that. */
static void
test_release(void)
{
    Fixture fixture;
    init_fixture(&fixture, 2, 0);
    add_job(&fixture, 1, 2, 5 * SECOND_US);
    CU_ASSERT_EQUAL(EbBatcher_PendingJobCount(fixture.batcher), 1);
    process_actions(&fixture);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    CU_ASSERT_EQUAL(EbBatcher_PendingJobCount(fixture.batcher), 0);
    EbBatcher_EndJob(fixture.batcher, "i-2", 1,
                     fixture.now_us); /* a job of another requester */
    add_job(&fixture, 2, 1, 5 * SECOND_US);
    process_actions(&fixture);
    EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
    EbBatcher_EndJob(fixture.batcher, "i-1", 2, fixture.now_us);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    EbBatcherResult result;
    CU_ASSERT_FALSE(EbBatcher_NextResult(fixture.batcher, &result));
    fixture.now_us += SECOND_US;
    EbBatcher_Tick(fixture.batcher, fixture.now_us);
    process_actions(&fixture);
    CU_ASSERT_EQUAL(fixture.released->len, 3);
    clear_fixture(&fixture);
}

/* Guards against calls whose results do not fit into the server's memory, and
 * against memory that is never counted as free again. */
static void
test_result_memory(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 300);
    add_job(&fixture, 1, 5, 5 * SECOND_US);
    process_actions(&fixture);
    CU_ASSERT_EQUAL(call_item_count(&fixture), 3);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(process_actions(&fixture), 0);
    EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
    fixture.now_us += SECOND_US;
    EbBatcher_Tick(fixture.batcher, fixture.now_us);
    add_job(&fixture, 2, 2, 5 * SECOND_US);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_EQUAL(call_item_count(&fixture), 2);
    clear_fixture(&fixture);
}

/* Guards against items that are sent to a server which is no longer in the
 * configuration. */
static void
test_server_removed(void)
{
    Fixture fixture;
    init_fixture(&fixture, 2, 0);
    EbConfig *smaller = make_config(1, 0);
    EbBatcher_SetConfig(fixture.batcher, smaller, fixture.now_us);
    add_job(&fixture, 1, 2 * MAX_ITEMS, 5 * SECOND_US);
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-0"), 0);
    EbConfig_Unref(smaller);
    clear_fixture(&fixture);
}

/* Guards against calls for jobs whose daemon is no longer reachable. */
static void
test_requester_lost(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job(&fixture, 1, 1, 5 * SECOND_US);
    process_actions(&fixture);
    add_job(&fixture, 2, 1, 5 * SECOND_US);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(process_actions(&fixture), 0);
    clear_fixture(&fixture);
}

/* Lets time pass with regular ticks; returns the number of results freed so
 * far. */
static guint
released_after(Fixture *fixture, int64_t for_us)
{
    int64_t until_us = fixture->now_us + for_us;
    for (; fixture->now_us < until_us; fixture->now_us += 50000) {
        EbBatcher_Tick(fixture->batcher, fixture->now_us);
    }
    process_actions(fixture);
    return fixture->released->len;
}

/* Guards against results that are freed although their request continues,
 * because the link to its daemon broke for a moment, and against results that
 * stay at their servers after their daemon died or was restarted. */
static void
test_requester_linked(void)
{
    static const struct {
        bool linked_again;
        uint64_t incarnation;
        guint released; /* a second after the end of the grace period */
    } rows[] = {{true, 7, 0}, {true, 8, 2}, {false, 0, 2}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        init_fixture(&fixture, 1, 0);
        EbBatcher_RequesterLinked(fixture.batcher, "i-1", 7, fixture.now_us);
        add_job(&fixture, 1, 2, 5 * SECOND_US);
        process_actions(&fixture);
        answer_call(&fixture, EB_WORK_ITEM_DONE);
        CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
        EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
        CU_ASSERT_EQUAL(released_after(&fixture, SECOND_US), 0);
        if (rows[i].linked_again) {
            EbBatcher_RequesterLinked(fixture.batcher, "i-1",
                                      rows[i].incarnation, fixture.now_us);
        }
        CU_ASSERT_EQUAL(
            released_after(&fixture, EB_BATCHER_REQUESTER_GRACE_US),
            rows[i].released);
        EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
        CU_ASSERT_EQUAL(released_after(&fixture, SECOND_US), 2);
        clear_fixture(&fixture);
    }
}

/* Guards against a request that waits without end: the link broke before its
 * daemon received the results, and the daemon asks for them again. */
static void
test_results_requested_again(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job(&fixture, 1, 2, 5 * SECOND_US);
    process_actions(&fixture);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    add_job(&fixture, 1, 2, 5 * SECOND_US);
    CU_ASSERT_EQUAL(process_actions(&fixture), 0);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    CU_ASSERT_EQUAL(
        released_after(&fixture, EB_BATCHER_REQUESTER_GRACE_US + SECOND_US),
        0);
    clear_fixture(&fixture);
}

/* Guards against results that stay at their servers after the home that had
 * requested them was stopped. */
static void
test_release_for_other_daemon(void)
{
    Fixture fixture;
    init_fixture(&fixture, 2, 0);
    EbBatcher_ReleaseResult(fixture.batcher, SERVICE, "10.0.0.1", 7001, "a",
                            fixture.now_us);
    EbBatcher_ReleaseResult(fixture.batcher, SERVICE, "10.0.0.1", 7009, "b",
                            fixture.now_us); /* no server has this port */
    EbBatcher_ReleaseResult(fixture.batcher, "unknown", "10.0.0.1", 7001, "c",
                            fixture.now_us);
    CU_ASSERT_EQUAL(released_after(&fixture, SECOND_US), 1);
    clear_fixture(&fixture);
}

/* Guards against results that are given to another request after their daemon
 * was restarted: it numbers its jobs from the beginning. */
static void
test_job_number_reused(void)
{
    Fixture fixture;
    init_fixture(&fixture, 1, 0);
    add_job_of_request(&fixture, "old", 1, 2, 5 * SECOND_US);
    process_actions(&fixture);
    answer_call(&fixture, EB_WORK_ITEM_DONE);
    CU_ASSERT_EQUAL(expect_status(&fixture, 1), EB_PREPARED_OK);
    EbBatcher_RequesterLost(fixture.batcher, "i-1", fixture.now_us);
    add_job_of_request(&fixture, "new", 1, 2, 5 * SECOND_US);
    EbBatcherResult result;
    CU_ASSERT_FALSE(EbBatcher_NextResult(fixture.batcher, &result));
    CU_ASSERT_EQUAL(process_actions(&fixture), 1);
    CU_ASSERT_EQUAL(call_item_count(&fixture), 2);
    CU_ASSERT_EQUAL(released_after(&fixture, SECOND_US), 2);
    clear_fixture(&fixture);
}

static EbPlacedPreparation *
place(EbPreparationTable *preparations, uint64_t number, const char *home)
{
    char id[] = "r";
    char service[] = SERVICE;
    EbPreparationJob spec = {
        .job = number, .request_id = id, .service = service};
    EbPlacedPreparation *job = EbPreparationTable_Add(preparations, &spec);
    EbPlacedPreparation_SetHome(job, home, 0);
    return job;
}

/* Guards against results that are made again although their servers still have
 * them, because the link to the home broke. Also guards against jobs that stay
 * at a lost home, and against a result from an instance that is not the job's
 * home. */
static void
test_abandon_home(void)
{
    EbPreparationTable *preparations = EbPreparationTable_New();
    EbPlacedPreparation *waiting = place(preparations, 1, "h-1");
    place(preparations, 2, "h-1");
    place(preparations, 3, "h-2");
    char *const handles[] = {"a", "b"};
    CU_ASSERT_FALSE(EbPreparationTable_RecordResult(
        preparations, "h-2", 2, EB_PREPARED_OK, handles, 2));
    CU_ASSERT_TRUE(EbPreparationTable_RecordResult(
        preparations, "h-1", 2, EB_PREPARED_OK, handles, 2));
    CU_ASSERT_FALSE(EbPreparationTable_RecordResult(
        preparations, "h-1", 9, EB_PREPARED_OK, handles, 2));
    GHashTable *homes = EbPreparationTable_PendingHomes(preparations, 0);
    CU_ASSERT_EQUAL(g_hash_table_size(homes), 2);
    g_hash_table_destroy(homes);
    GPtrArray *unprepared =
        EbPreparationTable_AbandonHome(preparations, "h-1");
    CU_ASSERT_EQUAL_FATAL(unprepared->len, 1);
    CU_ASSERT_PTR_EQUAL(g_ptr_array_index(unprepared, 0), waiting);
    g_ptr_array_unref(unprepared);
    CU_ASSERT_FALSE(waiting->home_abandoned);
    const EbPlacedPreparation *prepared =
        EbPreparationTable_Find(preparations, 2);
    CU_ASSERT_TRUE(prepared->home_abandoned);
    CU_ASSERT_EQUAL(prepared->handles->len, 2);
    EbPreparationTable_Remove(preparations, 1);
    CU_ASSERT_PTR_NULL(EbPreparationTable_Find(preparations, 1));
    EbPreparationTable_Free(preparations);
}

/* Guards against work that moves many bytes and is done in another failure
 * domain although a server of its own would still do it in time, and against
 * such work that waits until it is late or while all servers are needed. */
static void
test_local_work(void)
{
    static const struct {
        uint64_t transfer_bytes;
        int64_t due_in_us;
        const char *domain;
        uint32_t items;
        unsigned sent; /* while the server of "recife" is busy */
    } rows[] = {
        {2900000, SECOND_US, "recife", 1, 0},
        {2900000, SECOND_US, "natal", 1, 1},
        {2900000, SECOND_US, NULL, 1, 1},
        {50000, SECOND_US, "recife", 1, 1},
        {2900000, 300000, "recife", 1, 1},
        {2900000, SECOND_US, "recife", 2 * MAX_ITEMS / 4, 0},
        {2900000, SECOND_US, "recife", 2 * MAX_ITEMS / 4 + 1, 1},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        init_fixture(&fixture, 2, 0);
        g_free(fixture.config->servers[1].failure_domain);
        fixture.config->servers[1].failure_domain = g_strdup("natal");
        EbBatcher_SetConfig(fixture.batcher, fixture.config, fixture.now_us);
        EbPreparationJob first = {.job = 1,
                                  .request_id = "r-1",
                                  .service = SERVICE,
                                  .item_count = 1,
                                  .transfer_bytes = 2900000,
                                  .failure_domain = "recife",
                                  .key = "key",
                                  .due_us = fixture.now_us + SECOND_US,
                                  .deadline_us =
                                      fixture.now_us + 6 * SECOND_US};
        EbBatcher_AddJob(fixture.batcher, "i-1", &first, fixture.now_us);
        CU_ASSERT_EQUAL(process_actions(&fixture), 1);
        CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-0"), 0);
        EbPreparationJob second = first;
        second.job = 2;
        second.request_id = "r-2";
        second.item_count = rows[i].items;
        second.transfer_bytes = rows[i].transfer_bytes;
        second.failure_domain = (char *)rows[i].domain;
        second.due_us = fixture.now_us + rows[i].due_in_us;
        EbBatcher_AddJob(fixture.batcher, "i-1", &second, fixture.now_us);
        unsigned sent = process_actions(&fixture);
        CU_ASSERT_EQUAL(sent, rows[i].sent);
        if (rows[i].sent > 0) {
            CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-1"),
                            0);
        }
        else {
            answer_call(&fixture, EB_WORK_ITEM_DONE);
            CU_ASSERT_EQUAL(process_actions(&fixture), 1);
            CU_ASSERT_EQUAL(g_strcmp0(fixture.call.as.batch.server_id, "s-0"),
                            0);
        }
        clear_fixture(&fixture);
    }
}

/* Reads a handle "PORT/NUMBER" of a server of make_config. */
static bool
read_handle(const char *handle, char **host, uint16_t *port)
{
    *host = g_strdup("10.0.0.1");
    *port = (uint16_t)strtoul(handle, NULL, 10);
    return strchr(handle, '/') != NULL;
}

/* Guards against work that is done far from most of its inputs. */
static void
test_input_domain(void)
{
    static const struct {
        const char *inputs[4];
        const char *domain;
    } rows[] = {
        {{NULL}, NULL},
        {{"7000/1"}, "recife"},
        {{"7001/1", "7000/1", "7001/2"}, "natal"},
        {{"7000/1", "7001/1"}, "recife"},
        {{"7009/1", "7009/2", "7001/2"}, "natal"},
        {{"unreadable", "7009/1"}, NULL},
    };
    EbConfig *config = make_config(2, 0);
    g_free(config->servers[1].failure_domain);
    config->servers[1].failure_domain = g_strdup("natal");
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        GPtrArray *inputs = g_ptr_array_new();
        for (size_t k = 0; k < 4 && rows[i].inputs[k] != NULL; k++) {
            g_ptr_array_add(inputs, (gpointer)rows[i].inputs[k]);
        }
        const char *domain =
            EbPlacement_FindInputDomain(config, read_handle, inputs);
        CU_ASSERT_EQUAL(g_strcmp0(domain, rows[i].domain), 0);
        g_ptr_array_unref(inputs);
    }
    CU_ASSERT_PTR_NULL(EbPlacement_FindInputDomain(config, read_handle, NULL));
    EbConfig_Unref(config);
}

/* A sixth of the large site (agreste-capas-large): its stages' servers, and
 * classes with the goals, deadlines and result sizes of that site. While 115
 * questions a second come, the second stage has to make 768 results a second;
 * its servers make 810 in full calls. */
static LoadPlan
large_site_load(double questions_per_s)
{
    return (LoadPlan){
        .services = {{7, 14, 200000, 12000, 32000000},
                     {6, 50, 200000, 3400, 6500000},
                     {7, 70, 200000, 2400, 930000}},
        .service_count = 3,
        .classes = {{"draft",
                     41,
                     41,
                     1,
                     1100000,
                     6000000,
                     200000,
                     1,
                     {{0, 3, 1500000}}},
                    {"question",
                     50,
                     questions_per_s,
                     0,
                     1900000,
                     6000000,
                     200000,
                     3,
                     {{0, 1, 8000}, {1, 6, 60000}, {2, 8, 6000}}},
                    {"chat",
                     13,
                     13,
                     2,
                     1800000,
                     20000000,
                     250000,
                     3,
                     {{0, 1, 8000}, {1, 6, 60000}, {2, 8, 6000}}}},
        .class_count = 3,
        .burst_from_us = 4 * SECOND_US,
        .burst_until_us = 10600000,
        .end_us = 20 * SECOND_US,
    };
}

/* Guards against servers that could do the work of a burst but don't: calls
 * that are sent nearly empty because memory for results is still taken, and
 * work that is ordered by times at which the rest can't be in time. Nine of
 * ten requests must be answered within their goal while the burst is within
 * the servers' capacity, and nearly all served at a little beyond it. */
static void
test_burst(void)
{
    static const double questions_per_s[] = {104, 115};
    static const uint64_t seeds = 5;
    for (size_t i = 0; i < G_N_ELEMENTS(questions_per_s); i++) {
        LoadOutcome total = {0};
        for (uint64_t seed = 1; seed <= seeds; seed++) {
            LoadPlan plan = large_site_load(questions_per_s[i]);
            LoadReport report;
            plan.seed = seed;
            Load_Play(&plan, &report);
            for (uint32_t c = 0; c < plan.class_count; c++) {
                total.asked += report.classes[c].asked;
                total.in_goal += report.classes[c].in_goal;
                total.refused += report.classes[c].refused;
            }
        }
        printf("%.0f questions a second: %u of %u in goal, %u refused\n",
               questions_per_s[i], total.in_goal, total.asked, total.refused);
        CU_ASSERT_TRUE(total.in_goal * 10 >= total.asked * 9);
        CU_ASSERT_TRUE(total.refused * 100 <= total.asked);
    }
}

/* Guards against calls with work items and releases above the limit of a
 * server, in its pause, or to one that leaves. */
static void
test_directives(void)
{
    static const struct {
        EbServerDirective directive;
        int64_t next_call_us; /* after the answer */
    } rows[] = {
        {{.has_limit = false}, 0},
        {{.has_limit = true, .requests_per_s_milli = 2000}, 500000},
        {{.retry_after_us = 700000}, 700000},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        init_fixture(&fixture, 1, 0);
        add_job(&fixture, 1, 4, 5 * SECOND_US);
        add_job(&fixture, 2, 4, 6 * SECOND_US);
        CU_ASSERT_EQUAL(process_actions(&fixture), 1);
        const char *server_id = EbBatcher_RecordDirective(
            fixture.batcher, fixture.call.as.batch.attempt_id,
            &rows[i].directive, fixture.now_us);
        CU_ASSERT_STRING_EQUAL(server_id, fixture.call.as.batch.server_id);
        answer_call(&fixture, EB_WORK_ITEM_DONE);
        EbBatcher_EndJob(fixture.batcher, "i-1", 1, fixture.now_us);
        int64_t start_us = fixture.now_us;
        unsigned calls = process_actions(&fixture);
        while (calls == 0 && fixture.now_us < start_us + 2 * SECOND_US) {
            int64_t next_us = EbBatcher_NextTimer(fixture.batcher);
            fixture.now_us = MAX(next_us, fixture.now_us + 1000);
            EbBatcher_Tick(fixture.batcher, fixture.now_us);
            calls = process_actions(&fixture);
        }
        CU_ASSERT_EQUAL(calls, 1);
        CU_ASSERT_TRUE(!rows[i].directive.has_limit ||
                       fixture.released->len == 0);
        CU_ASSERT_TRUE(fixture.now_us - start_us >= rows[i].next_call_us);
        CU_ASSERT_TRUE(fixture.now_us - start_us <=
                       rows[i].next_call_us + 1000);
        clear_fixture(&fixture);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"batching", test_batching},
        {"late items last", test_late_items_last},
        {"failures", test_failures},
        {"attempts bounded", test_attempts_bounded},
        {"silent server", test_silent_server},
        {"release", test_release},
        {"result memory", test_result_memory},
        {"server removed", test_server_removed},
        {"requester lost", test_requester_lost},
        {"requester linked", test_requester_linked},
        {"results requested again", test_results_requested_again},
        {"release for other daemon", test_release_for_other_daemon},
        {"job number reused", test_job_number_reused},
        {"abandon home", test_abandon_home},
        {"local work", test_local_work},
        {"input domain", test_input_domain},
        {"limits and pauses of servers", test_directives},
        {"burst", test_burst},
    };
    return EbTest_Run("test_batcher", cases, G_N_ELEMENTS(cases));
}
