#include "world.h"

#include <string.h>

#include <glib.h>

#include "test_runner.h"

#define BIG_POOL                                                              \
    5 /* servers of the first pool; the others are the second's               \
       */

const char *const World_paths[] = {"/split/x", "/plain/x", "/staged/x"};

static int64_t
no_clock(void *context)
{
    (void)context;
    return 0;
}

static void
log_event(void *context, EbEventId event, const EbEventField *fields,
          size_t field_count)
{
    (void)fields;
    World *world = context;
    g_string_append_printf(world->log, "e%d.%zu ", (int)event, field_count);
}

static void
add_route(EbConfig *config, const char *name)
{
    EbConfigForward *forward = g_new0(EbConfigForward, 1);
    *forward = (EbConfigForward){.host = g_strdup("h.example"),
                                 .path_prefix = g_strdup_printf("/%s/", name),
                                 .max_attempts = 2,
                                 .latency_goal_us = SECOND_US};
    EbConfigPipeline *pipeline = &config->pipelines[config->pipeline_count++];
    *pipeline = (EbConfigPipeline){.name = g_strdup(name),
                                   .stages = g_new0(EbConfigStage, 1),
                                   .stage_count = 1,
                                   .deadline_us = 2 * SECOND_US,
                                   .forward = forward};
    pipeline->stages[0] = (EbConfigStage){.name = g_strdup("forward"),
                                          .kind = EB_STAGE_CALL,
                                          .idempotent = true,
                                          .timeout_us = 2 * SECOND_US};
}

static void
add_pool(EbConfig *config, const char *name, uint32_t first, uint32_t count)
{
    EbConfigPool *pool = &config->pools[config->pool_count++];
    *pool = (EbConfigPool){.name = g_strdup(name),
                           .kind = EB_STAGE_CALL,
                           .queue_max = 3,
                           .service_estimate_us = 100000,
                           .server_indexes = g_new0(uint32_t, count),
                           .server_count = count,
                           .cold_us = 3 * SECOND_US,
                           .cold_requests_per_s = 4};
    for (uint32_t i = 0; i < count; i++) {
        pool->server_indexes[i] = first + i;
    }
}

static EbConfig *
make_config(const World *world)
{
    static const char *const domains[] = {"natal", "olinda", "recife"};
    EbConfig *config = EbConfig_New("site", 1);
    config->pools = g_new0(EbConfigPool, 3);
    config->servers = g_new0(EbConfigBackendServer, SERVERS);
    config->server_count = SERVERS;
    add_pool(config, "big", 0, BIG_POOL);
    add_pool(config, "small", BIG_POOL, SERVERS - BIG_POOL);
    config->pools[config->pool_count++] =
        (EbConfigPool){.name = g_strdup("encode"),
                       .kind = EB_STAGE_CALL,
                       .batch = {.max_items = 4, .max_calls = 1}};
    for (uint32_t i = 0; i < SERVERS; i++) {
        config->servers[i] = (EbConfigBackendServer){
            .id = g_strdup_printf("s-%u", i),
            .pool_index = i >= BIG_POOL,
            .host = g_strdup("10.0.0.1"),
            .port = (uint16_t)(7000 + i),
            .failure_domain = g_strdup(domains[i % G_N_ELEMENTS(domains)]),
            .capacity = 2 + i % 3,
            .incarnation = world->incarnations[i]};
    }
    config->customers = g_new0(EbConfigCustomer, 1);
    config->customer_count = 1;
    config->customers[0] =
        (EbConfigCustomer){.id = g_strdup("c-1"),
                           .contract = {.weight = 1,
                                        .requests_per_s_milli = 20000,
                                        .burst_requests = 20,
                                        .concurrent_requests = 16},
                           .priority = -1};
    EbConfig_DigestToken(TOKEN, config->customers[0].token_digest);
    config->pipelines = g_new0(EbConfigPipeline, WORLD_PATHS);
    add_route(config, "split");
    add_route(config, "plain");
    add_route(config, "staged");
    EbConfigForward *split = config->pipelines[0].forward;
    split->split_count = 2;
    split->splits = g_new0(EbConfigSplit, 2);
    split->splits[0] = (EbConfigSplit){.pool_index = 0, .weight = 2};
    split->splits[1] = (EbConfigSplit){.pool_index = 1, .weight = 1};
    EbConfigForward *staged = config->pipelines[2].forward;
    staged->preparation_count = 1;
    staged->preparations = g_new0(EbConfigPreparation, 1);
    staged->preparations[0].pool_index = 2;
    return config;
}

void
World_Configure(World *world)
{
    EbConfig *old = world->config;
    world->config = make_config(world);
    EbDirectives_SetConfig(world->directives, world->config, world->now_us);
    EbLimiter_SetConfig(world->limiter, world->config);
    EbDispatcher_SetConfig(world->dispatcher, world->config, world->now_us);
    EbConfig_Unref(old);
}

void
World_Open(World *world, uint64_t seed)
{
    *world = (World){.now_us = SECOND_US,
                     .actions = EbActionQueue_New(),
                     .metrics = EbMetrics_New(),
                     .running = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
                     .log = g_string_new(NULL)};
    for (uint32_t i = 0; i < SERVERS; i++) {
        world->incarnations[i] = 1;
    }
    world->sink = (EbEventSink){.emit = log_event, .context = world};
    world->config = make_config(world);
    EbRandom_Init(&world->random, seed);
    world->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = "i-1",
                                        .peer_address = "10.0.0.9:1",
                                        .actions = world->actions,
                                        .random = &world->random,
                                        .wall_clock_us = no_clock});
    world->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = "i-1", .config = world->config});
    world->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    world->pace = EbPace_New(&(EbPaceOptions){
        .instance = "i-1", .events = &world->sink, .metrics = world->metrics});
    world->directives =
        EbDirectives_New(&(EbDirectivesOptions){.instance = "i-1",
                                                .random = &world->random,
                                                .events = &world->sink,
                                                .metrics = world->metrics,
                                                .pace = world->pace});
    /* With others, it is not always first this daemon's turn. */
    static const char *const live[] = {"i-1", "i-2", "i-3", "i-4"};
    EbDirectives_SetMembers(world->directives, live, 1, NULL, 0,
                            world->now_us);
    EbPace_SetMembers(world->pace, live, G_N_ELEMENTS(live), NULL, 0,
                      world->now_us);
    world->evacuations = EbEvacuations_New(&(EbEvacuationsOptions){0});
    world->dispatcher = EbDispatcher_New(
        &(EbDispatcherOptions){.instance = "i-1",
                               .failure_domain = "recife",
                               .actions = world->actions,
                               .random = &world->random,
                               .events = &world->sink,
                               .ledger = world->ledger,
                               .limiter = world->limiter,
                               .quarantine = world->quarantine,
                               .directives = world->directives,
                               .evacuations = world->evacuations,
                               .metrics = world->metrics,
                               .max_requests = 64});
    World_Configure(world);
}

void
World_Close(World *world)
{
    EbDispatcher_Free(world->dispatcher);
    EbLedger_Free(world->ledger);
    EbLimiter_Free(world->limiter);
    EbDirectives_Free(world->directives);
    EbPace_Free(world->pace);
    EbEvacuations_Free(world->evacuations);
    EbQuarantine_Free(world->quarantine);
    EbMetrics_Free(world->metrics);
    EbActionQueue_Free(world->actions);
    EbConfig_Unref(world->config);
    g_array_free(world->running, TRUE);
    g_string_free(world->log, TRUE);
    g_free(world->last_server);
}

static void
drop_attempt(World *world, uint64_t id)
{
    for (guint i = 0; i < world->running->len; i++) {
        if (g_array_index(world->running, uint64_t, i) == id) {
            g_array_remove_index(world->running, i);
            return;
        }
    }
}

static void
process_actions(World *world)
{
    EbAction action;
    while (EbActionQueue_Pop(world->actions, &action)) {
        switch (action.kind) {
        case EB_ACTION_SEND_ATTEMPT:
            g_free(world->last_server);
            world->last_server = g_strdup(action.as.send.server_id);
            g_array_append_val(world->running, action.as.send.attempt_id);
            g_string_append_printf(world->log, "s%s ", world->last_server);
            break;
        case EB_ACTION_CANCEL_ATTEMPT:
            drop_attempt(world, action.as.cancel_attempt_id);
            break;
        case EB_ACTION_ANSWER:
            world->answered = true;
            world->reason = action.as.answer.reason;
            g_string_append_printf(world->log, "a%d ", (int)world->reason);
            break;
        default:
            break;
        }
        EbAction_Clear(&action);
    }
}

EbForwardCall *
World_NewCall(const World *world, uint32_t path, uint64_t part)
{
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->message = EbHttpMessage_NewRequest("POST", World_paths[path]);
    call->request_id = g_strdup_printf("r-%u", world->submit_count);
    call->token = g_strdup(TOKEN);
    call->host = g_strdup("h.example");
    call->path = g_strdup(World_paths[path]);
    call->last_event_id = EB_FORWARD_NO_EVENT;
    call->parts = g_new0(EbPromptPart, 1);
    call->parts[0].id = part;
    call->part_count = part != 0;
    call->item_counts[0] = 1;
    call->item_stage_count = 1;
    return call;
}

void
World_Submit(World *world, uint32_t path, uint64_t part)
{
    world->submit_count++;
    world->answered = false;
    g_clear_pointer(&world->last_server, g_free);
    EbForwardCall *call = World_NewCall(world, path, part);
    EbDispatcher_Submit(world->dispatcher, &(EbSubmission){.forward = call},
                        world->now_us);
    EbForwardCall_Unref(call);
    process_actions(world);
}

void
World_SendEvent(World *world, uint32_t index, const EbAttemptEvent *event)
{
    EbAttemptEvent sent = *event;
    sent.attempt_id = g_array_index(world->running, uint64_t, index);
    sent.reply = EbHttpMessage_NewResponse(event->http_status);
    sent.forward.sealed = true;
    g_array_remove_index(world->running, index);
    EbDispatcher_AttemptEvent(world->dispatcher, &sent, world->now_us);
    EbHttpMessage_Unref(sent.reply);
    process_actions(world);
}

void
World_Advance(World *world, int64_t by_us)
{
    int64_t end_us = world->now_us + by_us;
    do {
        int64_t next_us = EbDispatcher_NextTimer(world->dispatcher);
        world->now_us = CLAMP(next_us, world->now_us + 1000, end_us);
        EbDispatcher_Tick(world->dispatcher, world->now_us);
        process_actions(world);
    } while (world->now_us < end_us);
}

void
World_Evacuate(World *world, const char *failure_domain, bool closed)
{
    EbEvacuations_Set(world->evacuations, failure_domain, closed,
                      &(EbStorePosition){0}, world->now_us);
    EbDispatcher_EvacuationsChanged(world->dispatcher, world->now_us);
    process_actions(world);
}
