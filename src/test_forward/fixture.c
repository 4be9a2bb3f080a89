#include "forward.h"

#include <string.h>

#include <glib.h>

#include "test_runner.h"

static int64_t
no_clock(void *context)
{
    (void)context;
    return 0;
}

static void
add_route(EbConfig *config, const char *name, EbStageKind kind,
          bool idempotent, uint32_t max_attempts)
{
    EbConfigForward *forward = g_new0(EbConfigForward, 1);
    *forward =
        (EbConfigForward){.host = g_strdup("h.example"),
                          .path_prefix = g_strdup_printf("/%s/", name),
                          .resumable = kind == EB_STAGE_GENERATE && idempotent,
                          .max_attempts = max_attempts,
                          .latency_goal_us = SECOND_US};
    EbConfigPipeline *pipeline = &config->pipelines[config->pipeline_count++];
    *pipeline = (EbConfigPipeline){.name = g_strdup(name),
                                   .stages = g_new0(EbConfigStage, 1),
                                   .stage_count = 1,
                                   .deadline_us = 6 * SECOND_US,
                                   .forward = forward};
    pipeline->stages[0] = (EbConfigStage){.name = g_strdup("forward"),
                                          .kind = kind,
                                          .idempotent = idempotent,
                                          .timeout_us = 6 * SECOND_US};
}

EbConfig *
Fixture_MakeConfig(void)
{
    EbConfig *config = EbConfig_New("site", 1);
    config->pools = g_new0(EbConfigPool, 2);
    config->pool_count = 2;
    config->servers = g_new0(EbConfigBackendServer, 3);
    config->server_count = 3;
    config->pools[0] = (EbConfigPool){.name = g_strdup("model"),
                                      .kind = EB_STAGE_GENERATE,
                                      .queue_max = 8,
                                      .service_estimate_us = 100000,
                                      .server_indexes = g_new0(uint32_t, 3),
                                      .server_count = 3};
    config->pools[1] =
        (EbConfigPool){.name = g_strdup("encode"),
                       .kind = EB_STAGE_CALL,
                       .batch = {.max_items = 4, .max_calls = 1}};
    for (uint32_t i = 0; i < 3; i++) {
        config->pools[0].server_indexes[i] = i;
        config->servers[i] =
            (EbConfigBackendServer){.id = g_strdup_printf("s-%u", i),
                                    .host = g_strdup("10.0.0.1"),
                                    .port = (uint16_t)(7000 + i),
                                    .failure_domain = g_strdup("recife"),
                                    .capacity = 4};
    }
    config->customers = g_new0(EbConfigCustomer, 3);
    config->customer_count = 3;
    config->customers[0] = (EbConfigCustomer){
        .id = g_strdup("c-1"), .contract = {.weight = 1}, .priority = -1};
    EbConfig_DigestToken(TOKEN, config->customers[0].token_digest);
    config->customers[1] = (EbConfigCustomer){.id = g_strdup("anonymous-2"),
                                              .contract = {.weight = 1},
                                              .priority = -1,
                                              .anonymous = true};
    config->customers[2] = (EbConfigCustomer){.id = g_strdup("c-3\r\n"),
                                              .contract = {.weight = 1},
                                              .priority = -1,
                                              .unusable = true};
    EbConfig_DigestToken(UNUSABLE_TOKEN, config->customers[2].token_digest);
    config->pipelines = g_new0(EbConfigPipeline, 8);
    add_route(config, "read", EB_STAGE_CALL, true, 2);
    add_route(config, "pay", EB_STAGE_CALL, false, 2);
    add_route(config, "resumable", EB_STAGE_GENERATE, true, 2);
    add_route(config, "once", EB_STAGE_GENERATE, false, 2);
    add_route(config, "staged", EB_STAGE_CALL, true, 2);
    EbConfigForward *staged = config->pipelines[4].forward;
    staged->preparations = g_new0(EbConfigPreparation, 3);
    staged->preparation_count = 3;
    staged->preparations[0] =
        (EbConfigPreparation){.pool_index = 1, .result_bytes = 7};
    staged->preparations[1] =
        (EbConfigPreparation){.pool_index = 1, .result_bytes = 100};
    staged->preparations[2] =
        (EbConfigPreparation){.pool_index = 1,
                              .dependencies = EB_PREPARATION_BIT(1),
                              .result_bytes = 5};
    add_route(config, "unusable", EB_STAGE_CALL, true, 2);
    config->pipelines[5].forward->unusable = true;
    add_route(config, "open", EB_STAGE_CALL, true, 2);
    config->pipelines[6].forward->anonymous = true;
    return config;
}

void
Fixture_Open(Fixture *fixture)
{
    *fixture = (Fixture){.actions = EbActionQueue_New(),
                         .now_us = SECOND_US,
                         .config = Fixture_MakeConfig(),
                         .item_counts = {1, 2, 1},
                         .item_stage_count = 3,
                         .relayed = g_string_new(NULL)};
    EbRandom_Init(&fixture->random, 7);
    fixture->metrics = EbMetrics_New();
    fixture->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = "i-1",
                                        .peer_address = "10.0.0.9:1",
                                        .actions = fixture->actions,
                                        .random = &fixture->random,
                                        .wall_clock_us = no_clock});
    fixture->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = "i-1", .config = fixture->config});
    fixture->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    fixture->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &fixture->random});
    fixture->evacuations = EbEvacuations_New(&(EbEvacuationsOptions){0});
    fixture->suspects = EbSuspects_New(&(EbSuspectsOptions){
        .random = &fixture->random, .quarantine = fixture->quarantine});
    fixture->dispatcher = EbDispatcher_New(
        &(EbDispatcherOptions){.instance = "i-1",
                               .failure_domain = "recife",
                               .actions = fixture->actions,
                               .random = &fixture->random,
                               .ledger = fixture->ledger,
                               .limiter = fixture->limiter,
                               .quarantine = fixture->quarantine,
                               .directives = fixture->directives,
                               .evacuations = fixture->evacuations,
                               .suspects = fixture->suspects,
                               .metrics = fixture->metrics});
    EbDispatcher_SetConfig(fixture->dispatcher, fixture->config,
                           fixture->now_us);
}

void
Fixture_Close(Fixture *fixture)
{
    EbDispatcher_Free(fixture->dispatcher);
    EbLedger_Free(fixture->ledger);
    EbLimiter_Free(fixture->limiter);
    EbSuspects_Free(fixture->suspects);
    EbDirectives_Free(fixture->directives);
    EbEvacuations_Free(fixture->evacuations);
    EbQuarantine_Free(fixture->quarantine);
    EbMetrics_Free(fixture->metrics);
    EbActionQueue_Free(fixture->actions);
    EbConfig_Unref(fixture->config);
    g_string_free(fixture->relayed, TRUE);
    g_free(fixture->inputs);
}

static void
record_send(Fixture *fixture, const EbSendAttempt *send)
{
    CU_ASSERT_TRUE_FATAL(fixture->send_count < MAX_SENDS);
    g_strlcpy(fixture->servers[fixture->send_count], send->server_id,
              sizeof(fixture->servers[0]));
    fixture->resumed_after[fixture->send_count] = send->resume_after;
    g_strlcpy(fixture->customer, send->customer != NULL ? send->customer : "",
              sizeof(fixture->customer));
    fixture->sends[fixture->send_count++] = send->attempt_id;
    g_free(fixture->inputs);
    GString *inputs = g_string_new(NULL);
    for (guint i = 0; i < send->inputs->len; i++) {
        g_string_append_printf(inputs, "%s ",
                               (char *)g_ptr_array_index(send->inputs, i));
    }
    fixture->inputs = g_string_free(inputs, FALSE);
}

static void
record_answer(Fixture *fixture, const EbAnswer *answer)
{
    CU_ASSERT_FALSE(fixture->answered);
    fixture->answered = true;
    fixture->outcome = answer->outcome;
    fixture->reason = answer->reason;
    fixture->retry_after_us = answer->retry_after_us;
    fixture->status = answer->reply != NULL ? answer->reply->status : 0;
}

void
Fixture_ProcessActions(Fixture *fixture)
{
    EbAction action;
    while (EbActionQueue_Pop(fixture->actions, &action)) {
        switch (action.kind) {
        case EB_ACTION_SEND_ATTEMPT:
            record_send(fixture, &action.as.send);
            break;
        case EB_ACTION_CANCEL_ATTEMPT:
            fixture->cancel_count++;
            break;
        case EB_ACTION_RELAY:
            fixture->head_count += action.as.relay.head != NULL;
            g_string_append_len(fixture->relayed,
                                (const char *)action.as.relay.bytes,
                                (gssize)action.as.relay.byte_count);
            break;
        case EB_ACTION_ANSWER:
            record_answer(fixture, &action.as.answer);
            break;
        case EB_ACTION_PREPARE:
            fixture->job_stages[fixture->job_count] = action.as.prepare.stage;
            fixture->job_bytes[fixture->job_count] =
                action.as.prepare.transfer_bytes;
            fixture->job_near_inputs[fixture->job_count] =
                action.as.prepare.near_inputs;
            fixture->job_due_us[fixture->job_count] = action.as.prepare.due_us;
            fixture->job_deadlines_us[fixture->job_count] =
                action.as.prepare.deadline_us;
            fixture->jobs[fixture->job_count++] = action.as.prepare.job;
            break;
        case EB_ACTION_END_PREPARATION:
            fixture->ended_count++;
            break;
        default:
            break;
        }
        EbAction_Clear(&action);
    }
}

uint64_t
Fixture_Submit(Fixture *fixture, const char *path, const char *token)
{
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->message = EbHttpMessage_NewRequest("POST", path);
    call->request_id = g_strdup("r-1");
    call->token = g_strdup(token);
    call->host = g_strdup("h.example");
    call->path = g_strdup(path);
    call->last_event_id = EB_FORWARD_NO_EVENT;
    call->timeout_us = fixture->caller_timeout_us;
    call->parts =
        g_memdup2(fixture->parts, sizeof(EbPromptPart) * fixture->part_count);
    call->part_count = fixture->part_count;
    call->item_stage_count = fixture->item_stage_count;
    memcpy(call->item_counts, fixture->item_counts, sizeof(call->item_counts));
    uint64_t id =
        EbDispatcher_Submit(fixture->dispatcher,
                            &(EbSubmission){.forward = call}, fixture->now_us);
    EbForwardCall_Unref(call);
    Fixture_ProcessActions(fixture);
    return id;
}

void
Fixture_Advance(Fixture *fixture, int64_t by_us)
{
    int64_t end_us = fixture->now_us + by_us;
    while (fixture->now_us < end_us) {
        int64_t next_us = EbDispatcher_NextTimer(fixture->dispatcher);
        fixture->now_us = MIN(MAX(next_us, fixture->now_us + 1000), end_us);
        EbDispatcher_Tick(fixture->dispatcher, fixture->now_us);
        Fixture_ProcessActions(fixture);
    }
}

void
Fixture_SendEvent(Fixture *fixture, const Event *event)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(event->status);
    const char *request_id = event->wrong_request_id ? "r-0" : "r-1";
    if (event->no_request_id) {
        request_id = NULL;
    }
    EbDispatcher_AttemptEvent(
        fixture->dispatcher,
        &(EbAttemptEvent){
            .attempt_id = fixture->sends[fixture->send_count - 1],
            .kind = event->kind,
            .http_status = event->status,
            .reply = reply,
            .forward = {.request_id = request_id,
                        .sealed = !event->unsigned_answer,
                        .not_run = event->not_run},
            .reused_connection = event->reused_connection,
            .directive = event->directive,
            .event_id = event->event_id,
            .bytes = (const uint8_t *)event->bytes,
            .byte_count = event->bytes != NULL ? strlen(event->bytes) : 0},
        fixture->now_us);
    EbHttpMessage_Unref(reply);
    Fixture_ProcessActions(fixture);
}
