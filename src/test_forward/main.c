/* Tests of forwarded requests in the dispatcher, on a virtual clock: what is
 * sent to servers, how often, and what the caller is answered. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/dispatcher.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)
#define TOKEN "caller-token"
#define MAX_SENDS 16

typedef struct {
    EbActionQueue *actions;
    EbRandom random;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbSuspects *suspects;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    EbConfig *config;
    EbPromptPart parts[3]; /* of the prompts of submitted requests */
    uint32_t part_count;
    unsigned submit_count;
    int64_t now_us;
    uint64_t sends[MAX_SENDS]; /* attempt ids */
    char servers[MAX_SENDS][8];
    int64_t resumed_after[MAX_SENDS];
    unsigned send_count;
    unsigned cancel_count;
    uint64_t jobs[MAX_SENDS]; /* preparations that were started */
    uint32_t job_stages[MAX_SENDS];
    uint64_t job_bytes[MAX_SENDS]; /* that a work item moves */
    bool job_near_inputs[MAX_SENDS];
    int64_t job_deadlines_us[MAX_SENDS];
    unsigned job_count;
    unsigned ended_count; /* preparations that were ended */
    char *inputs;         /* of the last send, each followed by a blank */
    GString *relayed;     /* bytes of the relayed events */
    unsigned head_count;  /* relayed heads */
    bool answered;
    EbOutcome outcome;
    EbReason reason;
    uint16_t status; /* of the server's answer that was passed on; 0: none */
} Fixture;

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

static EbConfig *
make_config(void)
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
    config->customers = g_new0(EbConfigCustomer, 1);
    config->customer_count = 1;
    config->customers[0] = (EbConfigCustomer){
        .id = g_strdup("c-1"), .contract = {.weight = 1}, .priority = -1};
    EbConfig_DigestToken(TOKEN, config->customers[0].token_digest);
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
    staged->preparations[2] = (EbConfigPreparation){
        .pool_index = 1, .dependencies = 1U << 1, .result_bytes = 5};
    return config;
}

static void
open_fixture(Fixture *fixture)
{
    *fixture = (Fixture){.actions = EbActionQueue_New(),
                         .now_us = SECOND_US,
                         .config = make_config(),
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
                               .suspects = fixture->suspects,
                               .metrics = fixture->metrics});
    EbDispatcher_SetConfig(fixture->dispatcher, fixture->config,
                           fixture->now_us);
}

static void
close_fixture(Fixture *fixture)
{
    EbDispatcher_Free(fixture->dispatcher);
    EbLedger_Free(fixture->ledger);
    EbLimiter_Free(fixture->limiter);
    EbSuspects_Free(fixture->suspects);
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
    fixture->status = answer->reply != NULL ? answer->reply->status : 0;
}

static void
process_actions(Fixture *fixture)
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

static uint64_t
submit(Fixture *fixture, const char *path, const char *token)
{
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->message = EbHttpMessage_NewRequest("POST", path);
    call->request_id = g_strdup("r-1");
    call->token = g_strdup(token);
    call->host = g_strdup("h.example");
    call->path = g_strdup(path);
    call->last_event_id = EB_FORWARD_NO_EVENT;
    call->parts =
        g_memdup2(fixture->parts, sizeof(EbPromptPart) * fixture->part_count);
    call->part_count = fixture->part_count;
    call->item_stage_count = 3;
    call->item_counts[0] = 1;
    call->item_counts[1] = 2;
    call->item_counts[2] = 1;
    uint64_t id =
        EbDispatcher_Submit(fixture->dispatcher,
                            &(EbSubmission){.forward = call}, fixture->now_us);
    EbForwardCall_Unref(call);
    process_actions(fixture);
    return id;
}

static void
advance(Fixture *fixture, int64_t by_us)
{
    int64_t end_us = fixture->now_us + by_us;
    while (fixture->now_us < end_us) {
        int64_t next_us = EbDispatcher_NextTimer(fixture->dispatcher);
        fixture->now_us = MIN(MAX(next_us, fixture->now_us + 1000), end_us);
        EbDispatcher_Tick(fixture->dispatcher, fixture->now_us);
        process_actions(fixture);
    }
}

typedef struct {
    EbAttemptEventKind kind;
    uint16_t status;
    bool not_run;
    bool unsigned_answer;
    bool wrong_request_id;
    int64_t event_id;
    const char *bytes;
} Event;

/* Passes an event of the latest attempt to the dispatcher. */
static void
send_event(Fixture *fixture, const Event *event)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(event->status);
    EbDispatcher_AttemptEvent(
        fixture->dispatcher,
        &(EbAttemptEvent){
            .attempt_id = fixture->sends[fixture->send_count - 1],
            .kind = event->kind,
            .http_status = event->status,
            .reply = reply,
            .forward = {.request_id = event->wrong_request_id ? "r-0" : "r-1",
                        .sealed = !event->unsigned_answer,
                        .not_run = event->not_run},
            .event_id = event->event_id,
            .bytes = (const uint8_t *)event->bytes,
            .byte_count = event->bytes != NULL ? strlen(event->bytes) : 0},
        fixture->now_us);
    EbHttpMessage_Unref(reply);
    process_actions(fixture);
}

/* Guards against work that is given up or started again elsewhere when its
 * server is missing from the list for a while, since it was slow to report or
 * the list lags. */
static void
test_server_missing(void)
{
    static const char *const paths[] = {"/read/x", "/pay/x", "/resumable/x",
                                        "/once/x"};
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        submit(&fixture, paths[i], TOKEN);
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        EbConfig *without = make_config();
        without->pools[0].server_count = 0;
        EbDispatcher_SetConfig(fixture.dispatcher, without, fixture.now_us);
        process_actions(&fixture);
        advance(&fixture, 3 * SECOND_US);
        CU_ASSERT_FALSE(fixture.answered);
        EbDispatcher_SetConfig(fixture.dispatcher, fixture.config,
                               fixture.now_us);
        process_actions(&fixture);
        advance(&fixture, SECOND_US);
        CU_ASSERT_FALSE(fixture.answered);
        CU_ASSERT_EQUAL(fixture.send_count, 1);
        CU_ASSERT_EQUAL(fixture.cancel_count, 0);
        send_event(&fixture,
                   &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        EbConfig_Unref(without);
        close_fixture(&fixture);
    }
}

/* Guards against a slow but sound stream that is cut, and against a stalled
 * one that goes on for ever since something comes now and then: events without
 * an id, or the same event again. */
static void
test_slow_streams(void)
{
    static const struct {
        const char *path;
        int64_t first_id;
        int64_t id_step;
        int64_t interval_us;
        unsigned count;
        bool ends; /* the server ends the stream after the last event */
    } rows[] = {
        {"/once/x", 0, 1, 1900000, 4, true},
        {"/resumable/x", 0, 1, 1900000, 4, true},
        {"/once/x", -1, 0, 300000, 30, false},
        {"/resumable/x", 3, 0, 300000, 30, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        int64_t start_us = fixture.now_us;
        submit(&fixture, rows[i].path, TOKEN);
        send_event(&fixture,
                   &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
        for (unsigned k = 0; k < rows[i].count && !fixture.answered; k++) {
            if (k > 0) {
                advance(&fixture, rows[i].interval_us);
            }
            if (!fixture.answered) {
                send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                              .status = 200,
                                              .event_id = rows[i].first_id +
                                                          rows[i].id_step * k,
                                              .bytes = "a"});
            }
        }
        if (rows[i].ends) {
            CU_ASSERT_FALSE(fixture.answered);
            CU_ASSERT_EQUAL(fixture.send_count, 1);
            send_event(&fixture,
                       &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        }
        else {
            CU_ASSERT_TRUE(fixture.answered);
            CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
            CU_ASSERT_EQUAL(fixture.cancel_count, 1);
            CU_ASSERT_TRUE(fixture.now_us - start_us <= 6400000);
        }
        close_fixture(&fixture);
    }
}

/* Submits a request whose prompt has a common first part, the given one and
 * one of its own. Its body is its own too. */
static uint64_t
submit_prompt(Fixture *fixture, const char *pipeline, uint64_t part)
{
    fixture->submit_count++;
    fixture->parts[0] = (EbPromptPart){1, 100};
    fixture->parts[1] = (EbPromptPart){part, 100};
    fixture->parts[2] = (EbPromptPart){1000 + fixture->submit_count, 100};
    fixture->part_count = 3;
    fixture->answered = false;
    fixture->send_count = 0;
    char path[32];
    g_snprintf(path, sizeof(path), "/%s/%u", pipeline, fixture->submit_count);
    return submit(fixture, path, TOKEN);
}

/* Breaks the last call, as a crash of its server does. */
static void
crash_server(Fixture *fixture)
{
    send_event(fixture, &(Event){.kind = EB_ATTEMPT_BROKEN});
    advance(fixture, SECOND_US / 2);
}

static void
answer_request(Fixture *fixture)
{
    send_event(fixture, &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    send_event(fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                 .status = 200,
                                 .event_id = 0,
                                 .bytes = "a"});
    send_event(fixture, &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
}

/* Guards against requests that share a part of their prompt and crash one
 * server after the other, and against the refusal of requests that share only
 * other parts with them. */
static void
test_prompt_part_crashes_servers(void)
{
    enum { POISON_PART = 7, SOUND_PART = 8 };
    Fixture fixture;
    open_fixture(&fixture);
    unsigned sent = 0;
    for (int i = 0; i < 20; i++) {
        submit_prompt(&fixture, "once", POISON_PART);
        if (fixture.send_count > 0) {
            sent++;
            crash_server(&fixture);
        }
        else {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_SUSPECT_QUARANTINED);
            CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
        }
        submit_prompt(&fixture, "once", SOUND_PART);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        answer_request(&fixture);
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        advance(&fixture, SECOND_US / 2);
    }
    /* The calls break alone, each counts for one point. */
    CU_ASSERT_EQUAL(sent, EB_SUSPECT_POINTS);
    close_fixture(&fixture);
}

/* Guards against a request that is sent again at once although it carries what
 * may have crashed its server, and against one that waits or is refused
 * without evidence. */
static void
test_repeat_awaits_evidence(void)
{
    static const struct {
        int crashes; /* under the part before */
        bool delayed;
        bool refused;
    } rows[] = {
        {0, false, false},
        {1, true, false},
        {2, true, true}, /* by the crash that broke the call, and a report */
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        EbSuspicion crash = {.set = {{EbSuspects_PartFingerprint(7)}, 1}};
        for (int j = 0; j < rows[i].crashes; j++) {
            crash.server = (uint64_t)j + 1;
            EbSuspects_Merge(fixture.suspects, &crash, fixture.now_us);
            advance(&fixture, SECOND_US);
        }
        submit_prompt(&fixture, "resumable", 7);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        advance(&fixture, SECOND_US / 5);
        int64_t broken_us = fixture.now_us;
        send_event(&fixture, &(Event){.kind = EB_ATTEMPT_BROKEN});
        advance(&fixture, SECOND_US / 10);
        CU_ASSERT_EQUAL(fixture.send_count, rows[i].delayed ? 1 : 2);
        /* Another daemon saw the crash too. */
        crash.server = (uint64_t)rows[i].crashes + 1;
        crash.ago_us = (uint64_t)(fixture.now_us - broken_us);
        EbSuspects_Merge(fixture.suspects, &crash, fixture.now_us);
        advance(&fixture, SECOND_US / 5);
        CU_ASSERT_EQUAL(fixture.send_count, rows[i].refused ? 1 : 2);
        CU_ASSERT_EQUAL(fixture.answered, rows[i].refused);
        if (rows[i].refused) {
            CU_ASSERT_EQUAL(fixture.reason, EB_REASON_SUSPECT_QUARANTINED);
        }
        close_fixture(&fixture);
    }
}

/* Guards against a broken connection that counts as a crash of its server
 * although another call goes on there. */
static void
test_single_broken_call(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbConfig *one_server = make_config();
    one_server->pools[0].server_count = 1;
    EbDispatcher_SetConfig(fixture.dispatcher, one_server, fixture.now_us);
    uint64_t running = submit_prompt(&fixture, "once", 2);
    advance(&fixture, SECOND_US / 5);
    submit_prompt(&fixture, "once", 3);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    crash_server(&fixture);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), INT64_MAX);
    EbDispatcher_CallerGone(fixture.dispatcher, running, fixture.now_us);
    submit_prompt(&fixture, "once", 3);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    crash_server(&fixture);
    CU_ASSERT_EQUAL(EbSuspects_NextTimer(fixture.suspects), 0);
    EbConfig_Unref(one_server);
    close_fixture(&fixture);
}

/* Guards against a request that is accepted without a pipeline or a valid
 * token, and against a refused request that is sent to a server. */
static void
test_refusals(void)
{
    static const struct {
        const char *path;
        const char *token;
        EbReason reason;
    } rows[] = {
        {"/unknown/x", TOKEN, EB_REASON_UNKNOWN_PIPELINE},
        {"/read", TOKEN, EB_REASON_UNKNOWN_PIPELINE},
        {"/read/x", NULL, EB_REASON_UNAUTHENTICATED},
        {"/read/x", "other", EB_REASON_UNAUTHENTICATED},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        submit(&fixture, rows[i].path, rows[i].token);
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
        CU_ASSERT_EQUAL(fixture.reason, rows[i].reason);
        CU_ASSERT_EQUAL(fixture.send_count, 0);
        close_fixture(&fixture);
    }
}

typedef struct {
    const char *name;
    const char *path;
    Event first;       /* event of the first attempt */
    unsigned sends;    /* expected; a second attempt always succeeds */
    EbOutcome outcome; /* expected at the end */
    uint16_t status;   /* expected of the answer; 0: none was passed on */
} FaultRow;

static const FaultRow first_attempt_rows[] = {
    {"read ok",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200},
     1,
     EB_OUTCOME_DONE,
     200},
    {"read not found",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 404},
     1,
     EB_OUTCOME_DONE,
     404},
    {"read refused",
     "/read/x",
     {.kind = EB_ATTEMPT_REFUSED},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read broken",
     "/read/x",
     {.kind = EB_ATTEMPT_BROKEN},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read 500",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 500},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read shed",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read misdirected",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 421},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read unsigned",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .unsigned_answer = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"read with another id",
     "/read/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .wrong_request_id = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay ok",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200},
     1,
     EB_OUTCOME_DONE,
     200},
    {"pay refused",
     "/pay/x",
     {.kind = EB_ATTEMPT_REFUSED},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay shed",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503, .not_run = true},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay misdirected",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 421},
     2,
     EB_OUTCOME_DONE,
     200},
    {"pay broken",
     "/pay/x",
     {.kind = EB_ATTEMPT_BROKEN},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay malformed",
     "/pay/x",
     {.kind = EB_ATTEMPT_MALFORMED},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay unsigned",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 200, .unsigned_answer = true},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"pay 500",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 500},
     1,
     EB_OUTCOME_UNKNOWN,
     500},
    {"pay 503 that ran",
     "/pay/x",
     {.kind = EB_ATTEMPT_ANSWERED, .status = 503},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"once broken",
     "/once/x",
     {.kind = EB_ATTEMPT_BROKEN},
     1,
     EB_OUTCOME_UNKNOWN,
     0},
    {"resumable broken",
     "/resumable/x",
     {.kind = EB_ATTEMPT_BROKEN},
     2,
     EB_OUTCOME_DONE,
     200},
};

/* Guards against a non-idempotent request that runs twice, against an answer
 * that is accepted without a signature or for another request, and against
 * "not run" for a request that may have run. */
static void
test_first_attempt(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(first_attempt_rows); i++) {
        const FaultRow *row = &first_attempt_rows[i];
        Fixture fixture;
        open_fixture(&fixture);
        submit(&fixture, row->path, TOKEN);
        CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
        send_event(&fixture, &row->first);
        advance(&fixture, SECOND_US);
        if (!fixture.answered && fixture.send_count == 2) {
            CU_ASSERT_STRING_NOT_EQUAL(fixture.servers[0], fixture.servers[1]);
            send_event(&fixture,
                       &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
        }
        advance(&fixture, 7 * SECOND_US);
        bool as_expected =
            fixture.answered && fixture.send_count == row->sends &&
            fixture.outcome == row->outcome && fixture.status == row->status;
        if (!as_expected) {
            printf("%s: %u sends, outcome %s, status %u\n", row->name,
                   fixture.send_count, EbOutcome_names[fixture.outcome],
                   fixture.status);
        }
        CU_ASSERT_TRUE(as_expected);
        close_fixture(&fixture);
    }
}

/* Guards against more attempts of a request than its pipeline allows. */
static void
test_max_attempts(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    submit(&fixture, "/read/x", TOKEN);
    for (int i = 0; i < 5 && !fixture.answered; i++) {
        send_event(&fixture,
                   &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 500});
        advance(&fixture, SECOND_US / 2);
    }
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.send_count, 2);
    CU_ASSERT_EQUAL(fixture.status, 500);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_FAILED);
    close_fixture(&fixture);
}

/* Guards against events that are lost or relayed twice when a stream resumes,
 * and against a second head. */
static void
test_resume(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    submit(&fixture, "/resumable/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.resumed_after[0], EB_FORWARD_NO_EVENT);
    send_event(&fixture,
               &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    CU_ASSERT_EQUAL(fixture.head_count, 0);
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                  .status = 200,
                                  .event_id = 0,
                                  .bytes = "a"});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                  .status = 200,
                                  .event_id = 1,
                                  .bytes = "b"});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_BROKEN, .status = 200});
    advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 2);
    CU_ASSERT_EQUAL(fixture.resumed_after[1], 1);
    send_event(&fixture,
               &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                  .status = 200,
                                  .event_id = 1,
                                  .bytes = "b"});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                  .status = 200,
                                  .event_id = 2,
                                  .bytes = "c"});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_ENDED, .status = 200});
    CU_ASSERT_STRING_EQUAL(fixture.relayed->str, "abc");
    CU_ASSERT_EQUAL(fixture.head_count, 1);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    close_fixture(&fixture);
}

/* Guards against a resume of a stream whose pipeline allows none. */
static void
test_no_resume(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    submit(&fixture, "/once/x", TOKEN);
    send_event(&fixture,
               &(Event){.kind = EB_ATTEMPT_STREAMING, .status = 200});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_EVENTS,
                                  .status = 200,
                                  .event_id = 0,
                                  .bytes = "a"});
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_BROKEN, .status = 200});
    advance(&fixture, 7 * SECOND_US);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_UNKNOWN);
    close_fixture(&fixture);
}

/* Guards against a server that goes on working for a caller that has gone.
 * Only a non-idempotent call that is not a stream continues. */
static void
test_caller_gone(void)
{
    static const struct {
        const char *path;
        unsigned cancels;
    } rows[] = {
        {"/read/x", 1}, {"/resumable/x", 1}, {"/once/x", 1}, {"/pay/x", 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        uint64_t id = submit(&fixture, rows[i].path, TOKEN);
        EbDispatcher_CallerGone(fixture.dispatcher, id, fixture.now_us);
        process_actions(&fixture);
        CU_ASSERT_EQUAL(fixture.cancel_count, rows[i].cancels);
        CU_ASSERT_FALSE(fixture.answered);
        close_fixture(&fixture);
    }
}

/* Guards against a caller that waits for its answer past the deadline. */
static void
test_deadline(void)
{
    static const char *const paths[] = {"/read/x", "/pay/x", "/once/x",
                                        "/staged/x"};
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        submit(&fixture, paths[i], TOKEN);
        advance(&fixture, 6 * SECOND_US + 10000);
        CU_ASSERT_TRUE(fixture.answered);
        CU_ASSERT_NOT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
        close_fixture(&fixture);
    }
}

static void
end_preparation(Fixture *fixture, unsigned index, EbPreparedStatus status,
                char *const *handles, uint32_t count)
{
    EbDispatcher_PreparationEnded(fixture->dispatcher, fixture->jobs[index],
                                  status, handles, count, fixture->now_us);
    process_actions(fixture);
}

static char *results_a[] = {"a0"};
static char *results_b[] = {"b0", "b1"};
static char *results_c[] = {"c0"};

/* Opens the fixture and submits a request with three preparations: a, b, and
 * c, which takes the results of b as input. */
static void
open_staged(Fixture *fixture)
{
    open_fixture(fixture);
    submit(fixture, "/staged/x", TOKEN);
}

/* Guards against a call that is sent before its inputs are ready, with the
 * results of a stage that only feeds another stage, or with inputs in the
 * wrong order, and against results that are kept after their use. */
static void
test_preparations(void)
{
    Fixture fixture;
    open_staged(&fixture);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 2);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 3);
    CU_ASSERT_EQUAL(fixture.job_stages[2], 2);
    static const uint64_t moved_bytes[] = {7, 100, 2 * 100 + 5};
    for (unsigned i = 0; i < 3; i++) {
        CU_ASSERT_EQUAL(fixture.job_bytes[i],
                        moved_bytes[fixture.job_stages[i]]);
        CU_ASSERT_EQUAL(fixture.job_near_inputs[i],
                        fixture.job_stages[i] == 2);
    }
    end_preparation(&fixture, 2, EB_PREPARED_OK, results_c, 1);
    CU_ASSERT_EQUAL(fixture.ended_count, 1); /* b has been used */
    CU_ASSERT_EQUAL(fixture.send_count, 0);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    CU_ASSERT_STRING_EQUAL(fixture.inputs, "a0 c0 ");
    send_event(&fixture, &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 200});
    CU_ASSERT_EQUAL(fixture.ended_count, 3);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_DONE);
    close_fixture(&fixture);
}

/* Guards against results that occupy memory at their server because they were
 * prepared long before the end of a longer chain of preparations. */
static void
test_early_preparation(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    fixture.config->pools[1].batch.call_us = SECOND_US / 4;
    EbConfig_PlanPreparations(fixture.config);
    submit(&fixture, "/staged/x", TOKEN);
    CU_ASSERT_EQUAL(fixture.job_count, 1);
    CU_ASSERT_EQUAL(fixture.job_stages[0], 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL(fixture.job_count, 3);
    close_fixture(&fixture);
}

/* Guards against preparing what can't lead to an answer in time: a stage's
 * deadline must leave the time that the stages after it take at least. */
static void
test_useless_preparations(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbConfigForward *staged = fixture.config->pipelines[4].forward;
    staged->preparations[1].downstream_min_us = 210000;
    submit(&fixture, "/staged/x", TOKEN);
    int64_t deadline_us = fixture.now_us + 6 * SECOND_US;
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 3);
    for (unsigned i = 0; i < 3; i++) {
        bool has_next = fixture.job_stages[i] == 1;
        CU_ASSERT_EQUAL(fixture.job_deadlines_us[i],
                        deadline_us - (has_next ? 210000 : 0));
    }
    close_fixture(&fixture);
}

/* Guards against a second call when a home reports the end of a preparation
 * twice, before and after its link broke. */
static void
test_prepared_twice(void)
{
    Fixture fixture;
    open_staged(&fixture);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 2, EB_PREPARED_OK, results_c, 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 2, EB_PREPARED_LATE, NULL, 0);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    CU_ASSERT_FALSE(fixture.answered);
    close_fixture(&fixture);
}

/* Guards against a request that fails at the first loss of a prepared result,
 * and against an outcome other than "not run" when no server ran its call. */
static void
test_lost_results(void)
{
    Fixture fixture;
    open_staged(&fixture);
    end_preparation(&fixture, 1, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 0, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 2, EB_PREPARED_INPUT_GONE, NULL, 0);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 5);
    end_preparation(&fixture, 3, EB_PREPARED_OK, results_a, 1);
    end_preparation(&fixture, 4, EB_PREPARED_OK, results_b, 2);
    end_preparation(&fixture, 5, EB_PREPARED_OK, results_c, 1);
    CU_ASSERT_EQUAL_FATAL(fixture.send_count, 1);
    send_event(
        &fixture,
        &(Event){.kind = EB_ATTEMPT_ANSWERED, .status = 409, .not_run = true});
    advance(&fixture, SECOND_US);
    CU_ASSERT_EQUAL_FATAL(fixture.job_count, 8);
    end_preparation(&fixture, 6, EB_PREPARED_FAILED, NULL, 0);
    CU_ASSERT_TRUE(fixture.answered);
    CU_ASSERT_EQUAL(fixture.outcome, EB_OUTCOME_NOT_RUN);
    CU_ASSERT_EQUAL(fixture.send_count, 1);
    close_fixture(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"a prompt part crashes servers", test_prompt_part_crashes_servers},
        {"a repeat awaits evidence", test_repeat_awaits_evidence},
        {"single broken call", test_single_broken_call},
        {"refusals", test_refusals},
        {"first attempt", test_first_attempt},
        {"max attempts", test_max_attempts},
        {"resume", test_resume},
        {"no resume", test_no_resume},
        {"caller gone", test_caller_gone},
        {"server missing from the list", test_server_missing},
        {"slow streams", test_slow_streams},
        {"deadline", test_deadline},
        {"preparations", test_preparations},
        {"early preparation", test_early_preparation},
        {"useless preparations", test_useless_preparations},
        {"prepared twice", test_prepared_twice},
        {"lost results", test_lost_results},
    };
    return EbTest_Run("test_forward", cases, G_N_ELEMENTS(cases));
}
