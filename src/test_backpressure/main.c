/* Tests of backpressure in the dispatcher: streams that are not read for a
 * while because their caller is slow. */
#include <string.h>

#include "simulation.h"
#include "test_runner.h"

typedef struct {
    Simulation *simulation;
    EbDispatcher *dispatcher;
    uint64_t attempt_id; /* of the generate stage, 0 before it starts */
    uint32_t stage, attempt;
    char server_id[32];
    uint32_t generate_attempts;
    uint32_t retired;   /* actions that retire connections */
    uint32_t cancelled; /* actions that cancel an attempt */
} Fixture;

static void
answer(Fixture *fixture, const EbSendAttempt *send, const char *json)
{
    json_t *body = json_loads(json, 0, NULL);
    EbAttemptEvent event = {.attempt_id = send->attempt_id,
                            .kind = EB_ATTEMPT_ANSWERED,
                            .http_status = 200,
                            .body = body,
                            .echo_request_id = send->request_id,
                            .echo_stage = send->stage,
                            .echo_attempt = send->attempt};
    EbDispatcher_AttemptEvent(fixture->dispatcher, &event,
                              fixture->simulation->now_us);
    json_decref(body);
}

/* Reports `count` tokens of the generate stage. 0 tokens report that reading
 * the stream is paused. `echo` is the echoed request id, or NULL. */
static void
send_tokens(Fixture *fixture, uint32_t count, const char *echo)
{
    EbAttemptEvent event = {.attempt_id = fixture->attempt_id,
                            .kind = EB_ATTEMPT_TOKENS,
                            .http_status = 200,
                            .echo_request_id = echo,
                            .echo_stage = echo ? (int64_t)fixture->stage : -1,
                            .echo_attempt =
                                echo ? (int64_t)fixture->attempt : -1,
                            .token_count = count,
                            .text = count > 0 ? "a" : ""};
    EbDispatcher_AttemptEvent(fixture->dispatcher, &event,
                              fixture->simulation->now_us);
}

/* Answers the calls of the encode and retrieve stages, and records the call of
 * the generate stage and the actions that cancel or retire. */
static void
process_actions(Fixture *fixture)
{
    EbAction action;
    EbActionQueue *actions = fixture->simulation->daemons[0].actions;
    while (EbActionQueue_Pop(actions, &action)) {
        const EbSendAttempt *send = &action.as.send;
        fixture->retired += action.kind == EB_ACTION_RETIRE_CONNECTIONS;
        fixture->cancelled += action.kind == EB_ACTION_CANCEL_ATTEMPT;
        if (action.kind == EB_ACTION_SEND_ATTEMPT &&
            send->kind == EB_STAGE_ENCODE) {
            answer(fixture, send, "{\"vectors\": [[0.5]]}");
        }
        else if (action.kind == EB_ACTION_SEND_ATTEMPT &&
                 send->kind == EB_STAGE_RETRIEVE) {
            answer(fixture, send,
                   "{\"documents\": [{\"id\": \"d\", \"text\": \"t\", "
                   "\"score\": 1.0}]}");
        }
        else if (action.kind == EB_ACTION_SEND_ATTEMPT &&
                 ++fixture->generate_attempts == 1) {
            fixture->attempt_id = send->attempt_id;
            fixture->stage = send->stage;
            fixture->attempt = send->attempt;
            g_strlcpy(fixture->server_id, send->server_id,
                      sizeof(fixture->server_id));
        }
        EbAction_Clear(&action);
    }
}

/* Submits a request and delivers the first token of its stream. */
static void
start_stream(Fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->simulation = Simulation_New(
        &(SimulationOptions){.seed = 1, .config = {.generation = 1}});
    fixture->dispatcher = fixture->simulation->daemons[0].dispatcher;
    static const char body[] = "{\"input\": \"sleeve\"}";
    EbSubmission submission = {.request_id = "r-1",
                               .token = SIMULATION_TOKEN,
                               .pipeline = "ask",
                               .body = body,
                               .body_bytes = sizeof(body) - 1,
                               .stream = true};
    EbDispatcher_Submit(fixture->dispatcher, &submission,
                        fixture->simulation->now_us);
    process_actions(fixture);
    CU_ASSERT_NOT_EQUAL_FATAL(fixture->attempt_id, 0);
    send_tokens(fixture, 1, "r-1");
    process_actions(fixture);
}

static void
advance_clock(Fixture *fixture, int64_t us)
{
    fixture->simulation->now_us += us;
    EbDispatcher_Tick(fixture->dispatcher, fixture->simulation->now_us);
    process_actions(fixture);
}

static uint64_t
server_failures(const Fixture *fixture)
{
    for (size_t i = 0; i < EbDispatcher_PoolCount(fixture->dispatcher); i++) {
        const EbPool *pool = EbDispatcher_Pool(fixture->dispatcher, i);
        for (size_t j = 0; j < EbPool_ServerCount(pool); j++) {
            EbServerView view;
            EbPool_View(pool, j, &view, 0);
            if (strcmp(view.server->id, fixture->server_id) == 0) {
                return view.failures;
            }
        }
    }
    return UINT64_MAX;
}

/* Guards against a server that counts as silent because its caller is slow,
 * between tokens and when the stage's time-out ends the call. In the
 * configuration of the simulation the limit between tokens is 300 ms and that
 * of the stage 1 s. */
static void
test_held_back(void)
{
    Fixture fixture;
    start_stream(&fixture);
    for (int i = 0; i < 8; i++) {
        send_tokens(&fixture, 0, NULL);
        advance_clock(&fixture, 100000);
    }
    CU_ASSERT_EQUAL(fixture.cancelled, 0);
    for (int i = 0; i < 5; i++) {
        send_tokens(&fixture, 0, NULL);
        advance_clock(&fixture, 100000);
    }
    CU_ASSERT_EQUAL(fixture.cancelled, 1);
    CU_ASSERT_EQUAL(fixture.retired, 0);
    CU_ASSERT_EQUAL(server_failures(&fixture), 0);
    Simulation_Free(fixture.simulation);
}

/* Guards against a server that falls silent unnoticed after its caller has
 * read on and the stream is no longer paused. */
static void
test_silent_afterwards(void)
{
    Fixture fixture;
    start_stream(&fixture);
    send_tokens(&fixture, 0, NULL);
    advance_clock(&fixture, 100000);
    EbAttemptEvent more = {.attempt_id = fixture.attempt_id,
                           .kind = EB_ATTEMPT_TOKENS,
                           .echo_stage = -1,
                           .echo_attempt = -1,
                           .token_index = 1,
                           .token_count = 1,
                           .text = "b"};
    EbDispatcher_AttemptEvent(fixture.dispatcher, &more,
                              fixture.simulation->now_us);
    advance_clock(&fixture, 400000);
    CU_ASSERT_EQUAL(fixture.cancelled, 1);
    CU_ASSERT_EQUAL(fixture.retired, 1);
    CU_ASSERT_EQUAL(server_failures(&fixture), 1);
    Simulation_Free(fixture.simulation);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"held back", test_held_back},
        {"silent afterwards", test_silent_afterwards},
    };
    return EbTest_Run("test_backpressure", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
