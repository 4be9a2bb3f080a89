#include "load.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/batcher.h"
#include "ebonyhollow/random.h"

#define REQUESTER "i-1"
#define STEP_US 2000
#define FETCH_US 5000
#define LIFETIME_US 4000000
#define MAX_RESTARTS 2 /* after lost inputs, as in the dispatcher */
/* As the dispatcher chooses Retry-After. */
#define MIN_RETRY_AFTER_US 1000000
/* Callers wait for this part of the time that they have left, at most. */
#define MAX_WAIT_DIVISOR 3
#define SERVERS_MAX 64

typedef struct {
    uint64_t id;
    const LoadClass *class;
    LoadOutcome *outcome;
    int64_t asked_us; /* when its caller asked first */
    bool returned;    /* it was refused before */
    uint32_t stage;   /* that is prepared; stage_count: on the engine */
    uint32_t restarts;
    uint32_t items[LOAD_STAGES_MAX];
    int64_t work_us; /* that servers spent on it */
    uint64_t jobs[LOAD_STAGES_MAX];
    GPtrArray *handles[LOAD_STAGES_MAX];
    int64_t done_us; /* on the engine */
} Request;

/* A refused caller that waits. */
typedef struct {
    const LoadClass *class;
    LoadOutcome *outcome;
    int64_t asked_us;
    int64_t return_us;
} Return;

typedef struct {
    char *handle;
    uint32_t service;
    uint32_t server;
    uint64_t bytes;
    int64_t expires_us; /* INT64_MAX while its call runs */
    bool used;
} Result;

typedef struct {
    bool busy;
    int64_t done_us;
    uint64_t held_bytes;
    EbAction call;
    EbWorkItemResult *results;
} Server;

typedef struct {
    const LoadPlan *plan;
    LoadReport *report;
    EbActionQueue *actions;
    EbBatcher *batcher;
    EbDirectives *directives;
    EbConfig *config;
    EbRandom random;
    EbRandom return_random; /* so that arrivals don't depend on returns */
    int64_t now_us;
    uint64_t last_id;
    uint64_t last_job;
    GHashTable *requests; /* id -> Request */
    GHashTable *jobs;     /* job -> Request */
    GHashTable *results;  /* handle -> Result */
    Server servers[LOAD_STAGES_MAX][SERVERS_MAX];
    int64_t busy_us[LOAD_STAGES_MAX];
    double next_arrival[LOAD_CLASSES_MAX];
    GArray *returns; /* of Return */
} Play;

/* Adds a route for each class. */
static void
add_routes(EbConfig *config, const LoadPlan *plan)
{
    config->pipelines = g_new0(EbConfigPipeline, plan->class_count);
    config->pipeline_count = plan->class_count;
    for (uint32_t c = 0; c < plan->class_count; c++) {
        const LoadClass *class = &plan->classes[c];
        EbConfigForward *forward = g_new0(EbConfigForward, 1);
        forward->priority = class->priority;
        forward->preparations = g_new0(EbConfigPreparation, LOAD_STAGES_MAX);
        forward->preparation_count = class->stage_count;
        for (uint32_t i = 0; i < class->stage_count; i++) {
            forward->preparations[i].pool_index = class->stages[i].service;
        }
        config->pipelines[c].name = g_strdup(class->name);
        config->pipelines[c].forward = forward;
    }
}

static EbConfig *
make_config(const LoadPlan *plan)
{
    EbConfig *config = EbConfig_New("site", 1);
    if (plan->routes) {
        add_routes(config, plan);
    }
    config->pools = g_new0(EbConfigPool, plan->service_count);
    config->pool_count = plan->service_count;
    config->servers =
        g_new0(EbConfigBackendServer, plan->service_count * SERVERS_MAX);
    for (uint32_t s = 0; s < plan->service_count; s++) {
        const LoadService *service = &plan->services[s];
        EbConfigPool *pool = &config->pools[s];
        *pool = (EbConfigPool){
            .name = g_strdup_printf("service-%u", s),
            .batch = {.max_items = service->batch_items,
                      .max_calls = 1,
                      .call_us = service->call_us,
                      .item_us = service->item_us,
                      .result_memory_bytes = service->memory_bytes,
                      .result_lifetime_us = LIFETIME_US},
            .server_indexes = g_new0(uint32_t, service->servers),
            .server_count = service->servers,
        };
        for (uint32_t i = 0; i < service->servers; i++) {
            uint32_t index = config->server_count++;
            pool->server_indexes[i] = index;
            config->servers[index] =
                (EbConfigBackendServer){.id = g_strdup_printf("%u-%u", s, i),
                                        .host = g_strdup("10.0.0.1"),
                                        .port = (uint16_t)(7000 + index),
                                        .failure_domain = g_strdup("recife"),
                                        .capacity = 1};
        }
    }
    return config;
}

static void
free_result(gpointer pointer)
{
    Result *result = pointer;
    g_free(result->handle);
    g_free(result);
}

static void
free_request(gpointer pointer)
{
    Request *request = pointer;
    for (uint32_t i = 0; i < LOAD_STAGES_MAX; i++) {
        if (request->handles[i] != NULL) {
            g_ptr_array_unref(request->handles[i]);
        }
    }
    g_free(request);
}

static void
remove_result(Play *play, Result *result)
{
    play->servers[result->service][result->server].held_bytes -= result->bytes;
    play->report->unused_results += !result->used;
    g_hash_table_remove(play->results, result->handle);
}

/* Requests */

static void
end_job(Play *play, Request *request, uint32_t stage)
{
    if (request->jobs[stage] != 0) {
        g_hash_table_remove(play->jobs, &request->jobs[stage]);
        EbBatcher_EndJob(play->batcher, REQUESTER, request->jobs[stage],
                         play->now_us);
        request->jobs[stage] = 0;
    }
}

static int64_t
time_left(const Play *play, const Request *request)
{
    return request->asked_us + request->class->deadline_us - play->now_us;
}

/* Lets the caller of a refused request wait and ask once more. Returns false
 * if it doesn't. */
static bool
schedule_return(Play *play, const Request *request, int64_t room_in_us)
{
    if (!play->plan->callers_return || request->returned ||
        time_left(play, request) <= 0) {
        return false;
    }
    int64_t base_us = MAX(room_in_us, MIN_RETRY_AFTER_US);
    int64_t wait_us = base_us + (int64_t)EbRandom_Below(&play->return_random,
                                                        (uint64_t)base_us);
    Return caller = {.class = request->class,
                     .outcome = request->outcome,
                     .asked_us = request->asked_us,
                     .return_us =
                         play->now_us + MIN(wait_us, time_left(play, request) /
                                                         MAX_WAIT_DIVISOR)};
    g_array_append_val(play->returns, caller);
    request->outcome->returned++;
    return true;
}

static void
finish(Play *play, Request *request, bool served, int64_t room_in_us)
{
    int64_t took_us = play->now_us - request->asked_us;
    LoadOutcome *outcome = request->outcome;
    for (uint32_t i = 0; i < LOAD_STAGES_MAX; i++) {
        end_job(play, request, i);
    }
    if (!served) {
        play->report->wasted_us += request->work_us;
        if (!schedule_return(play, request, room_in_us)) {
            outcome->refused_after_us += took_us;
            outcome->refused++;
            outcome->refused_early += took_us <= request->class->goal_us / 8;
        }
    }
    else if (took_us <= request->class->goal_us) {
        outcome->in_goal++;
    }
    else {
        outcome->late++;
        outcome->returned_late += request->returned;
    }
    g_hash_table_remove(play->requests, &request->id);
}

/* Fills in the due time and the deadline of a stage, as the dispatcher does
 * it. */
static void
set_times(const Play *play, const Request *request, EbPreparationJob *job)
{
    const LoadClass *class = request->class;
    job->due_us = request->asked_us + class->goal_us - class->engine_us;
    job->deadline_us =
        request->asked_us + class->deadline_us - class->engine_us;
    for (uint32_t i = request->stage + 1; i < class->stage_count; i++) {
        const EbConfigBatch *batch =
            &play->config->pools[class->stages[i].service].batch;
        job->due_us -= EbConfig_BatchCallTime(batch);
        job->deadline_us -= EbConfig_BatchCallMinTime(batch);
    }
}

/* Draws the number of work items of each stage. */
static void
draw_items(Play *play, Request *request)
{
    EbRandom *random =
        request->returned ? &play->return_random : &play->random;
    for (uint32_t i = 0; i < request->class->stage_count; i++) {
        const LoadStage *stage = &request->class->stages[i];
        request->items[i] = stage->items;
        if (stage->items_max > stage->items) {
            request->items[i] += (uint32_t)EbRandom_Below(
                random, stage->items_max - stage->items + 1);
        }
    }
}

static void
start_stage(Play *play, Request *request)
{
    const LoadClass *class = request->class;
    const LoadStage *stage = &class->stages[request->stage];
    char id[32];
    char service[32];
    snprintf(id, sizeof(id), "r-%u", (unsigned)request->id);
    snprintf(service, sizeof(service), "service-%u", stage->service);
    EbPreparationJob job = {
        .job = ++play->last_job,
        .request_id = id,
        .service = service,
        .stage = request->stage,
        .item_count = request->items[request->stage],
        .priority = class->priority,
        .result_bytes = stage->result_bytes,
    };
    set_times(play, request, &job);
    if (request->stage == 0) {
        job.key = "key";
    }
    else {
        job.inputs = request->handles[request->stage - 1];
    }
    request->jobs[request->stage] = job.job;
    g_hash_table_insert(play->jobs, g_memdup2(&job.job, sizeof(job.job)),
                        request);
    EbBatcher_AddJob(play->batcher, REQUESTER, &job, play->now_us);
}

static void
restart(Play *play, Request *request)
{
    if (++request->restarts > MAX_RESTARTS) {
        finish(play, request, false, 0);
        return;
    }
    for (uint32_t i = 0; i < LOAD_STAGES_MAX; i++) {
        end_job(play, request, i);
    }
    request->stage = 0;
    start_stage(play, request);
}

static void
complete_stage(Play *play, Request *request, const EbBatcherResult *result)
{
    uint32_t stage = request->stage++;
    GPtrArray *handles = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < result->handle_count; i++) {
        g_ptr_array_add(handles, g_strdup(result->handles[i]));
    }
    if (request->handles[stage] != NULL) {
        g_ptr_array_unref(request->handles[stage]);
    }
    request->handles[stage] = handles;
    if (stage > 0) {
        end_job(play, request, stage - 1);
    }
    if (request->stage < request->class->stage_count) {
        start_stage(play, request);
        return;
    }
    request->done_us = play->now_us + request->class->engine_us;
}

static void
deliver_results(Play *play)
{
    EbBatcherResult result;
    while (EbBatcher_NextResult(play->batcher, &result)) {
        Request *request = g_hash_table_lookup(play->jobs, &result.job);
        if (request != NULL && result.status == EB_PREPARED_OK) {
            complete_stage(play, request, &result);
        }
        else if (request != NULL && result.status == EB_PREPARED_INPUT_GONE) {
            restart(play, request);
        }
        else if (request != NULL) {
            finish(play, request, false, result.room_in_us);
        }
        EbBatcherResult_Clear(&result);
    }
}

/* Adds the request of a caller that asked first at `asked_us`. */
static void
add_request(Play *play, const LoadClass *class, LoadOutcome *outcome,
            int64_t asked_us)
{
    Request *request = g_new0(Request, 1);
    request->id = ++play->last_id;
    request->class = class;
    request->outcome = outcome;
    request->asked_us = asked_us;
    request->returned = asked_us < play->now_us;
    g_hash_table_insert(play->requests, &request->id, request);
    draw_items(play, request);
    start_stage(play, request);
}

static void
add_returns(Play *play)
{
    guint i = 0;
    while (i < play->returns->len) {
        Return caller = g_array_index(play->returns, Return, i);
        if (caller.return_us <= play->now_us) {
            g_array_remove_index(play->returns, i);
            add_request(play, caller.class, caller.outcome, caller.asked_us);
        }
        else {
            i++;
        }
    }
}

static void
add_arrivals(Play *play)
{
    const LoadPlan *plan = play->plan;
    bool burst = play->now_us >= plan->burst_from_us &&
                 play->now_us < plan->burst_until_us;
    for (uint32_t c = 0; c < plan->class_count; c++) {
        const LoadClass *class = &plan->classes[c];
        double per_us = (burst ? class->burst_per_s : class->per_s) / 1e6;
        while (play->now_us < plan->end_us &&
               play->next_arrival[c] <= (double)play->now_us) {
            double uniform =
                ((double)EbRandom_Below(&play->random, 1000000) + 1) / 1e6;
            play->next_arrival[c] += -log(uniform) / per_us;
            LoadOutcome *outcome = &play->report->classes[c];
            outcome->asked++;
            add_request(play, class, outcome, play->now_us);
        }
    }
}

static void
end_engine_runs(Play *play)
{
    GList *requests = g_hash_table_get_values(play->requests);
    for (GList *item = requests; item != NULL; item = item->next) {
        Request *request = item->data;
        if (request->done_us > 0 && request->done_us <= play->now_us) {
            finish(play, request, true, 0);
        }
        else if (time_left(play, request) <= 0) {
            finish(play, request, false, 0);
        }
    }
    g_list_free(requests);
}

/* Servers */

/* Returns the request of a work item, NULL when it has ended. */
static Request *
find_request(const Play *play, const EbWorkItem *item)
{
    uint64_t number = (uint64_t)strtoull(item->request_id + 2, NULL, 10);
    return g_hash_table_lookup(play->requests, &number);
}

/* Charges the time of an item to its request; it is wasted if the request is
 * not served. */
static int64_t
charge_item(Play *play, const EbWorkItem *item, const LoadService *service,
            guint item_count)
{
    Request *request = find_request(play, item);
    double factor =
        request != NULL ? request->class->stages[item->stage].work_factor : 0;
    int64_t item_us =
        (int64_t)((factor > 0 ? factor : 1) * (double)service->item_us);
    int64_t share_us = item_us + service->call_us / item_count;
    if (request != NULL) {
        request->work_us += share_us;
    }
    else {
        play->report->wasted_us += share_us;
    }
    return item_us;
}

static EbWorkItemResult
make_result(Play *play, uint32_t service, uint32_t index,
            const EbWorkItem *item)
{
    Server *server = &play->servers[service][index];
    for (uint32_t i = 0; i < item->input_count; i++) {
        Result *input = g_hash_table_lookup(play->results, item->inputs[i]);
        if (input == NULL) {
            play->report->inputs_gone++;
            return (EbWorkItemResult){.kind = EB_WORK_ITEM_INPUT_GONE};
        }
        input->used = true;
    }
    const Request *request = find_request(play, item);
    uint64_t bytes =
        request != NULL ? request->class->stages[item->stage].result_bytes : 0;
    if (server->held_bytes + bytes >
        play->plan->services[service].memory_bytes) {
        play->report->no_room++;
        return (EbWorkItemResult){.kind = EB_WORK_ITEM_OUT_OF_MEMORY};
    }
    server->held_bytes += bytes;
    Result *result = g_new0(Result, 1);
    *result =
        (Result){.handle = g_strdup_printf("h-%u", (unsigned)++play->last_id),
                 .service = service,
                 .server = index,
                 .bytes = bytes,
                 .expires_us = INT64_MAX};
    g_hash_table_insert(play->results, result->handle, result);
    return (EbWorkItemResult){.kind = EB_WORK_ITEM_DONE,
                              .handle = g_strdup(result->handle)};
}

static void
start_call(Play *play, EbAction *action)
{
    uint32_t service = 0;
    uint32_t index = 0;
    sscanf(action->as.batch.server_id, "%u-%u", &service, &index);
    Server *server = &play->servers[service][index];
    g_assert(!server->busy);
    GArray *items = action->as.batch.items;
    server->busy = true;
    server->call = *action;
    server->results = g_new0(EbWorkItemResult, items->len);
    int64_t work_us = FETCH_US + play->plan->services[service].call_us;
    for (guint i = 0; i < items->len; i++) {
        server->results[i] = make_result(play, service, index,
                                         &g_array_index(items, EbWorkItem, i));
        if (server->results[i].kind == EB_WORK_ITEM_DONE) {
            work_us += charge_item(play, &g_array_index(items, EbWorkItem, i),
                                   &play->plan->services[service], items->len);
        }
    }
    server->done_us = play->now_us + work_us;
    play->report->work_us += work_us;
    play->report->calls[service]++;
    play->report->items[service] += items->len;
    if (play->now_us >= play->plan->burst_from_us &&
        play->now_us < play->plan->burst_until_us) {
        play->busy_us[service] += work_us;
    }
}

static void
end_call(Play *play, Server *server)
{
    GArray *items = server->call.as.batch.items;
    for (guint i = 0; i < items->len; i++) {
        if (server->results[i].kind == EB_WORK_ITEM_DONE) {
            Result *result =
                g_hash_table_lookup(play->results, server->results[i].handle);
            result->expires_us = play->now_us + LIFETIME_US;
        }
    }
    server->busy = false;
    EbAction call = server->call;
    EbWorkItemResult *results = server->results;
    EbBatcher_CallAnswered(play->batcher, call.as.batch.attempt_id, results,
                           items->len, play->now_us);
    for (guint i = 0; i < items->len; i++) {
        g_free(results[i].handle);
    }
    g_free(results);
    EbAction_Clear(&call);
}

static void
release(Play *play, const GPtrArray *handles)
{
    for (guint i = 0; i < handles->len; i++) {
        Result *result =
            g_hash_table_lookup(play->results, g_ptr_array_index(handles, i));
        if (result != NULL) {
            remove_result(play, result);
        }
    }
}

static void
perform_actions(Play *play)
{
    EbAction action;
    while (EbActionQueue_Pop(play->actions, &action)) {
        if (action.kind == EB_ACTION_SEND_BATCH) {
            start_call(play, &action);
            continue;
        }
        if (action.kind == EB_ACTION_RELEASE_RESULTS) {
            release(play, action.as.release.handles);
        }
        EbAction_Clear(&action);
    }
}

static void
run_servers(Play *play)
{
    for (uint32_t s = 0; s < play->plan->service_count; s++) {
        for (uint32_t i = 0; i < play->plan->services[s].servers; i++) {
            Server *server = &play->servers[s][i];
            if (server->busy && server->done_us <= play->now_us) {
                end_call(play, server);
            }
        }
    }
}

static void
expire_results(Play *play)
{
    GList *results = g_hash_table_get_values(play->results);
    for (GList *item = results; item != NULL; item = item->next) {
        Result *result = item->data;
        if (result->expires_us <= play->now_us) {
            remove_result(play, result);
        }
    }
    g_list_free(results);
}

static void
clear_play(Play *play)
{
    EbBatcher_Free(play->batcher);
    EbDirectives_Free(play->directives);
    EbConfig_Unref(play->config);
    for (uint32_t s = 0; s < LOAD_STAGES_MAX; s++) {
        for (uint32_t i = 0; i < SERVERS_MAX; i++) {
            if (play->servers[s][i].busy) {
                EbAction_Clear(&play->servers[s][i].call);
                g_free(play->servers[s][i].results);
            }
        }
    }
    EbActionQueue_Free(play->actions);
    g_hash_table_destroy(play->jobs);
    g_hash_table_destroy(play->requests);
    g_hash_table_destroy(play->results);
    g_array_free(play->returns, TRUE);
    g_free(play);
}

void
Load_Play(const LoadPlan *plan, LoadReport *report)
{
    Play *play = g_new0(Play, 1);
    memset(report, 0, sizeof(*report));
    play->plan = plan;
    play->report = report;
    play->actions = EbActionQueue_New();
    play->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &play->random});
    play->batcher = EbBatcher_New(&(EbBatcherOptions){
        .actions = play->actions, .directives = play->directives});
    play->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    play->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    play->results =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_result);
    play->returns = g_array_new(FALSE, FALSE, sizeof(Return));
    EbRandom_Init(&play->random, plan->seed);
    EbRandom_Init(&play->return_random, plan->seed + 1);
    play->config = make_config(plan);
    EbBatcher_SetConfig(play->batcher, play->config, 0);
    while (play->now_us < plan->end_us ||
           g_hash_table_size(play->requests) > 0 || play->returns->len > 0) {
        play->now_us += STEP_US;
        run_servers(play);
        deliver_results(play);
        end_engine_runs(play);
        add_arrivals(play);
        add_returns(play);
        if (EbBatcher_NextTimer(play->batcher) <= play->now_us) {
            EbBatcher_Tick(play->batcher, play->now_us);
            deliver_results(play);
        }
        perform_actions(play);
        if (play->now_us % 100000 == 0) {
            expire_results(play);
        }
    }
    for (uint32_t s = 0; s < plan->service_count; s++) {
        report->busy_share[s] =
            (double)play->busy_us[s] /
            ((double)(plan->burst_until_us - plan->burst_from_us) *
             plan->services[s].servers);
    }
    for (uint32_t c = 0; c < plan->class_count; c++) {
        LoadOutcome *outcome = &report->classes[c];
        if (outcome->refused > 0) {
            outcome->refused_after_us /= outcome->refused;
        }
    }
    clear_play(play);
}

void
Load_Print(const LoadPlan *plan, const LoadReport *report)
{
    for (uint32_t c = 0; c < plan->class_count; c++) {
        const LoadOutcome *outcome = &report->classes[c];
        printf("%-8s asked %5u in goal %5u late %5u refused %5u (%u early) "
               "after %.1f s, returned %u (%u served late)\n",
               plan->classes[c].name, outcome->asked, outcome->in_goal,
               outcome->late, outcome->refused, outcome->refused_early,
               (double)outcome->refused_after_us / 1e6, outcome->returned,
               outcome->returned_late);
    }
    for (uint32_t s = 0; s < plan->service_count; s++) {
        printf("service %u: %u calls, %.1f items a call, busy %.2f\n", s,
               report->calls[s],
               report->calls[s] > 0
                   ? (double)report->items[s] / report->calls[s]
                   : 0,
               report->busy_share[s]);
    }
    printf("no room %u, inputs gone %u, unused %u, wasted %.1f of %.1f s\n",
           report->no_room, report->inputs_gone, report->unused_results,
           (double)report->wasted_us / 1e6, (double)report->work_us / 1e6);
}
