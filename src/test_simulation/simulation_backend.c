/* Backend servers: execution of calls, answers, faults and the servers' own
 * record. */
#include <string.h>

#include "simulation_private.h"

#define SERVICE_US 4000
#define TOKEN_US 1000
/* 80 to 100 ms at the default latency, below every time-out. Latencies of up
 * to 40 ms give up to 880 ms, above the time-out of the first token. */
#define SLOW_FACTOR 20
#define LATE_US 2500000 /* above every time-out of a call */

void
Simulation_FreeCall(gpointer pointer)
{
    Call *call = pointer;
    g_free(call->request_id);
    g_free(call->server_id);
    g_free(call->key);
    json_decref(call->body);
    g_free(call);
}

SimulationRecord *
Simulation_Record(Simulation *simulation, const char *key)
{
    SimulationRecord *record = g_hash_table_lookup(simulation->records, key);
    if (record == NULL) {
        record = g_new0(SimulationRecord, 1);
        g_hash_table_insert(simulation->records, g_strdup(key), record);
    }
    return record;
}

static Step
call_step(const Call *call)
{
    return call->lookup ? STEP_LOOKUP : (Step)(STEP_ENCODE + (int)call->kind);
}

/* Returns the name under which a call's request is recorded. It is looked up,
 * since only some calls carry the idempotency key. */
static const char *
find_request_name(const Simulation *simulation, const Call *call)
{
    for (guint i = simulation->requests->len; i > 0; i--) {
        const SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i - 1);
        if (strcmp(request->request_id, call->request_id) == 0) {
            return request->key != NULL ? request->key : request->request_id;
        }
    }
    return call->request_id;
}

void
Simulation_SendCall(Simulation *simulation, uint32_t daemon,
                    const EbSendAttempt *send)
{
    Call *call = g_new0(Call, 1);
    call->daemon = daemon;
    call->incarnation = simulation->daemons[daemon].incarnation;
    call->attempt_id = send->attempt_id;
    call->request_id = g_strdup(send->request_id);
    call->server_id = g_strdup(send->server_id);
    call->key = g_strdup(send->idempotency_key);
    call->body = json_incref(send->body);
    call->kind = send->kind;
    call->stage = send->stage;
    call->number = send->attempt;
    call->lookup = send->lookup;
    call->at_most_once = send->fresh_connection;
    g_hash_table_add(simulation->calls, call);
    Simulation_Log(simulation,
                   "d%u: sends %s %s attempt %" G_GUINT64_FORMAT " to %s",
                   daemon, call->request_id, Step_names[call_step(call)],
                   call->attempt_id, call->server_id);
    if (call->at_most_once) {
        if (send->idempotency_key == NULL || send->fencing_token == 0) {
            Simulation_Fail(simulation,
                            "a call without a key or a fencing token");
        }
        Simulation_Record(simulation, call->key)->pending++;
    }
    SimulationEvent *event =
        Simulation_Schedule(simulation, Simulation_Latency(simulation),
                            EVENT_CALL_ARRIVES, daemon);
    event->call = call;
    Simulation_Trigger(simulation, call_step(call), daemon, call->request_id);
}

static SimulationEvent *
reply(Simulation *simulation, Call *call, int64_t delay_us,
      EbAttemptEventKind kind)
{
    SimulationEvent *event =
        Simulation_Schedule(simulation, delay_us, EVENT_REPLY, call->daemon);
    event->incarnation = call->incarnation;
    event->call = call;
    event->attempt = (EbAttemptEvent){
        .attempt_id = call->attempt_id,
        .kind = kind,
        .http_status = 200,
        .echo_request_id =
            call->fault == FAULT_WRONG_ECHO ? "another" : call->request_id,
        .echo_stage = call->stage,
        .echo_attempt = call->number,
        .directive.leaving = call->fault == FAULT_LEAVING,
    };
    return event;
}

/* Returns the input of the request as it stands in the body of a call, which
 * the answers repeat. */
static const char *
call_input(const Call *call)
{
    static const char *const members[] = {"input", "text", "query"};
    json_t *body = call->body;
    if (call->fault == FAULT_WRONG_ECHO) {
        return "text of another request";
    }
    json_t *inputs = json_object_get(body, "inputs");
    if (inputs != NULL) {
        return json_string_value(json_array_get(inputs, 0));
    }
    const char *prompt = json_string_value(json_object_get(body, "prompt"));
    if (prompt != NULL) {
        const char *line = strrchr(prompt, '\n');
        return line != NULL ? line + 1 : prompt;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        json_t *value = json_object_get(body, members[i]);
        if (value != NULL) {
            return json_string_value(value);
        }
    }
    return "";
}

/* Returns the answer to a call; the body doesn't show a fault other than
 * FAULT_WRONG_ECHO. */
static json_t *
correct_answer(Simulation *simulation, const Call *call)
{
    const char *input = call_input(call);
    if (call->lookup) {
        SimulationRecord *record = Simulation_Record(simulation, call->key);
        return record->runs == 0 ? json_pack("{s:b}", "ran", 0)
                                 : json_pack("{s:b, s:O}", "ran", 1, "result",
                                             record->result);
    }
    switch (call->kind) {
    case EB_STAGE_ENCODE:
        return json_pack("{s:[[i, i]]}", "vectors", (int)strlen(input), 1);
    case EB_STAGE_RETRIEVE:
        return json_pack("{s:[{s:s, s:s, s:f}, {s:s, s:s, s:f}]}", "documents",
                         "id", input, "text", "first", "score", 0.5, "id", "b",
                         "text", "second", "score", 0.25);
    case EB_STAGE_RERANK:
        return json_pack("{s:[{s:i, s:f}, {s:i, s:f}]}", "results", "index", 1,
                         "score", 0.9, "index", 0, "score", 0.1);
    default:
        return json_pack("{s:s, s:s}", "echo", input, "key",
                         call->key != NULL ? call->key : "");
    }
}

static void
reply_tokens(Simulation *simulation, Call *call, int64_t start_us)
{
    json_t *resume = json_object_get(call->body, "resume");
    json_int_t first =
        json_integer_value(json_object_get(resume, "token_index"));
    json_int_t last = SIMULATION_TOKENS;
    if (first > 0 && EbRandom_Below(&simulation->random, 4) == 0) {
        first--; /* a resumed stream may repeat its last token */
    }
    if (call->fault == FAULT_BROKEN_RAN || call->fault == FAULT_SILENT_RAN) {
        last = MAX(first, SIMULATION_TOKENS / 2);
    }
    int64_t time_us = start_us;
    for (json_int_t i = first; i < last; i++) {
        SimulationEvent *token =
            reply(simulation, call, time_us, EB_ATTEMPT_TOKENS);
        token->text = g_strdup_printf("%s.%d ", call_input(call), (int)i);
        token->attempt.text = token->text;
        token->attempt.token_index = (uint64_t)i;
        token->attempt.token_count = 1;
        time_us += TOKEN_US;
        simulation->tokens_sent++;
    }
    if (call->fault == FAULT_BROKEN_RAN) {
        reply(simulation, call, time_us, EB_ATTEMPT_BROKEN);
    }
    else if (call->fault != FAULT_SILENT_RAN) {
        reply(simulation, call, time_us, EB_ATTEMPT_ENDED);
    }
}

static void
reply_status(Simulation *simulation, Call *call, int64_t delay_us,
             uint16_t status)
{
    SimulationEvent *event =
        reply(simulation, call, delay_us, EB_ATTEMPT_ANSWERED);
    event->attempt.http_status = status;
}

/* Breaks the connections of all calls at the server. */
static void
crash(Simulation *simulation, const char *server_id)
{
    GHashTableIter iter;
    gpointer pointer;
    simulation->crashes++;
    g_hash_table_iter_init(&iter, simulation->calls);
    while (g_hash_table_iter_next(&iter, &pointer, NULL)) {
        Call *call = pointer;
        if (!call->finished && strcmp(call->server_id, server_id) == 0) {
            reply(simulation, call, Simulation_Latency(simulation),
                  EB_ATTEMPT_BROKEN);
        }
    }
}

/* Returns whether the non-idempotent call runs although a fault happens. */
static bool
runs_despite(Fault fault)
{
    switch (fault) {
    case FAULT_REFUSED:
    case FAULT_BROKEN:
    case FAULT_SILENT:
    case FAULT_STATUS_429:
    case FAULT_STATUS_503:
    case FAULT_STATUS_400:
    case FAULT_CRASH:
        return false;
    default:
        return true;
    }
}

void
Simulation_RunCall(Simulation *simulation, Call *call)
{
    SimulationRecord *record = Simulation_Record(simulation, call->key);
    if (++record->runs > 1) {
        Simulation_Fail(simulation, "key %s ran %u times", call->key,
                        record->runs);
    }
    if (record->reported_not_run) {
        Simulation_Fail(simulation,
                        "key %s ran after it was reported as not-run",
                        call->key);
    }
    json_decref(record->result);
    Fault fault = call->fault;
    call->fault = FAULT_NONE; /* the service's own record stays correct */
    record->result = correct_answer(simulation, call);
    call->fault = fault;
}

/* Schedules the events with which the server answers, as the call's fault
 * requires. */
static void
answer_call(Simulation *simulation, Call *call)
{
    int64_t delay_us = SERVICE_US + Simulation_Latency(simulation);
    if (call->fault == FAULT_SLOW) {
        delay_us *= SLOW_FACTOR;
    }
    else if (call->fault == FAULT_LATE) {
        delay_us += LATE_US;
    }
    SimulationEvent *event = NULL;
    switch (call->fault) {
    case FAULT_SILENT:
        return;
    case FAULT_REFUSED:
        reply(simulation, call, Simulation_Latency(simulation),
              EB_ATTEMPT_REFUSED);
        return;
    case FAULT_CRASH:
        crash(simulation, call->server_id);
        return;
    case FAULT_BROKEN:
        reply(simulation, call, delay_us, EB_ATTEMPT_BROKEN);
        return;
    case FAULT_MALFORMED:
        event = reply(simulation, call, delay_us, EB_ATTEMPT_ANSWERED);
        event->body = json_pack("[s]", "invalid");
        event->attempt.body = event->body;
        return;
    case FAULT_STATUS_429:
        reply_status(simulation, call, Simulation_Latency(simulation), 429);
        return;
    case FAULT_STATUS_503:
        reply_status(simulation, call, Simulation_Latency(simulation), 503);
        return;
    case FAULT_STATUS_500:
        reply_status(simulation, call, delay_us, 500);
        return;
    case FAULT_STATUS_400:
        reply_status(simulation, call, Simulation_Latency(simulation), 400);
        return;
    default:
        break;
    }
    if (call->kind == EB_STAGE_GENERATE) {
        reply_tokens(simulation, call, delay_us);
    }
    else if (call->fault == FAULT_BROKEN_RAN) {
        reply(simulation, call, delay_us, EB_ATTEMPT_BROKEN);
    }
    else if (call->fault != FAULT_SILENT_RAN) {
        event = reply(simulation, call, delay_us, EB_ATTEMPT_ANSWERED);
        event->body = correct_answer(simulation, call);
        event->attempt.body = event->body;
    }
}

void
Simulation_ReceiveCall(Simulation *simulation, Call *call)
{
    Step step = call_step(call);
    if (g_strcmp0(call->request_id, simulation->exempt_request_id) != 0) {
        call->fault = Simulation_ChooseFault(simulation, step, false);
    }
    if (step == STEP_GENERATE &&
        g_str_has_prefix(call_input(call), "poison")) {
        call->fault = FAULT_CRASH;
    }
    Simulation_Log(simulation, "%s: %s %s: %s", call->server_id,
                   call->request_id, Step_names[step],
                   Fault_names[call->fault]);
    if (call->fault == FAULT_REFUSED) {
        if (call->at_most_once) {
            Simulation_Record(simulation, call->key)->pending--;
        }
    }
    else if (!call->lookup) {
        const char *name = find_request_name(simulation, call);
        SimulationRecord *record = Simulation_Record(simulation, name);
        record->received_calls++;
        if (record->reported_not_run) {
            Simulation_Fail(
                simulation,
                "%s reached a server after it was reported as not-run", name);
        }
    }
    if (call->at_most_once && runs_despite(call->fault)) {
        SimulationEvent *event = Simulation_Schedule(
            simulation, SERVICE_US / 2, EVENT_CALL_RUNS, call->daemon);
        event->call = call;
    }
    answer_call(simulation, call);
}
