/* Backend servers: what they run, what they answer, and their own record. */
#include <string.h>

#include "world_private.h"

#define SERVICE_US 4000
#define TOKEN_US 1000
#define SLOW_FACTOR 20  /* 80 ms, below every time-out */
#define LATE_US 2500000 /* above every time-out of a call */

void
World_FreeCall(gpointer pointer)
{
    Call *call = pointer;
    g_free(call->request_id);
    g_free(call->server_id);
    g_free(call->key);
    json_decref(call->body);
    g_free(call);
}

WorldRecord *
World_Record(World *world, const char *key)
{
    WorldRecord *record = g_hash_table_lookup(world->records, key);
    if (record == NULL) {
        record = g_new0(WorldRecord, 1);
        g_hash_table_insert(world->records, g_strdup(key), record);
    }
    return record;
}

static Step
step_of(const Call *call)
{
    return call->lookup ? STEP_LOOKUP : (Step)(STEP_ENCODE + (int)call->kind);
}

/* The key of the request behind a call; servers only see it on some calls. */
static const char *
identity(const World *world, const Call *call)
{
    for (guint i = world->requests->len; i > 0; i--) {
        const WorldRequest *request =
            g_ptr_array_index(world->requests, i - 1);
        if (strcmp(request->request_id, call->request_id) == 0) {
            return request->key != NULL ? request->key : request->request_id;
        }
    }
    return call->request_id;
}

void
World_Send(World *world, uint32_t daemon, const EbSendAttempt *send)
{
    Call *call = g_new0(Call, 1);
    call->daemon = daemon;
    call->incarnation = world->daemons[daemon].incarnation;
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
    g_hash_table_add(world->calls, call);
    World_Log(world, "d%u: sends %s %s attempt %" G_GUINT64_FORMAT " to %s",
              daemon, call->request_id, Step_names[step_of(call)],
              call->attempt_id, call->server_id);
    if (call->at_most_once) {
        if (send->idempotency_key == NULL || send->fencing_token == 0) {
            World_Fail(world, "a call without a key or a fencing token");
        }
        World_Record(world, call->key)->pending++;
    }
    WorldEvent *event =
        World_Schedule(world, World_Latency(world), EVENT_ARRIVE, daemon);
    event->call = call;
    World_Trigger(world, step_of(call), daemon, call->request_id);
}

static WorldEvent *
reply(World *world, Call *call, int64_t delay_us, EbAttemptEventKind kind)
{
    WorldEvent *event =
        World_Schedule(world, delay_us, EVENT_REPLY, call->daemon);
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
        .leaving = call->fault == FAULT_LEAVING,
    };
    return event;
}

static const char *
input_of(const Call *call)
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

/* What a server that works correctly answers. */
static json_t *
right_answer(World *world, const Call *call)
{
    const char *input = input_of(call);
    if (call->lookup) {
        WorldRecord *record = World_Record(world, call->key);
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
reply_tokens(World *world, Call *call, int64_t start_us)
{
    json_t *resume = json_object_get(call->body, "resume");
    json_int_t first =
        json_integer_value(json_object_get(resume, "token_index"));
    json_int_t last = WORLD_TOKENS;
    if (first > 0 && EbRandom_Below(&world->random, 4) == 0) {
        first--; /* the engine repeats a token */
    }
    if (call->fault == FAULT_BROKEN_RAN || call->fault == FAULT_SILENT_RAN) {
        last = MAX(first, WORLD_TOKENS / 2);
    }
    int64_t time_us = start_us;
    for (json_int_t i = first; i < last; i++) {
        WorldEvent *token = reply(world, call, time_us, EB_ATTEMPT_TOKENS);
        token->text = g_strdup_printf("%s.%d ", input_of(call), (int)i);
        token->attempt.text = token->text;
        token->attempt.token_index = (uint64_t)i;
        token->attempt.token_count = 1;
        time_us += TOKEN_US;
        world->tokens_sent++;
    }
    if (call->fault == FAULT_BROKEN_RAN) {
        reply(world, call, time_us, EB_ATTEMPT_BROKEN);
    }
    else if (call->fault != FAULT_SILENT_RAN) {
        reply(world, call, time_us, EB_ATTEMPT_ENDED);
    }
}

static void
reply_status(World *world, Call *call, int64_t delay_us, uint16_t status)
{
    WorldEvent *event = reply(world, call, delay_us, EB_ATTEMPT_ANSWERED);
    event->attempt.http_status = status;
}

/* The server breaks every call that it has. */
static void
crash(World *world, const char *server_id)
{
    GHashTableIter iter;
    gpointer pointer;
    world->crashes++;
    g_hash_table_iter_init(&iter, world->calls);
    while (g_hash_table_iter_next(&iter, &pointer, NULL)) {
        Call *call = pointer;
        if (!call->over && strcmp(call->server_id, server_id) == 0) {
            reply(world, call, World_Latency(world), EB_ATTEMPT_BROKEN);
        }
    }
}

static bool
runs_under(Fault fault)
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
World_RunCall(World *world, Call *call)
{
    WorldRecord *record = World_Record(world, call->key);
    if (++record->runs > 1) {
        World_Fail(world, "key %s ran %u times", call->key, record->runs);
    }
    if (record->told_not_run) {
        World_Fail(world, "key %s ran after not-run", call->key);
    }
    json_decref(record->result);
    Fault fault = call->fault;
    call->fault = FAULT_NONE; /* the service's own record is right */
    record->result = right_answer(world, call);
    call->fault = fault;
}

/* Sends what the call's fault leaves of the answer. */
static void
answer_call(World *world, Call *call)
{
    int64_t delay_us = SERVICE_US + World_Latency(world);
    if (call->fault == FAULT_SLOW) {
        delay_us *= SLOW_FACTOR;
    }
    else if (call->fault == FAULT_LATE) {
        delay_us += LATE_US;
    }
    WorldEvent *event = NULL;
    switch (call->fault) {
    case FAULT_SILENT:
        return;
    case FAULT_REFUSED:
        reply(world, call, World_Latency(world), EB_ATTEMPT_REFUSED);
        return;
    case FAULT_CRASH:
        crash(world, call->server_id);
        return;
    case FAULT_BROKEN:
        reply(world, call, delay_us, EB_ATTEMPT_BROKEN);
        return;
    case FAULT_MALFORMED:
        event = reply(world, call, delay_us, EB_ATTEMPT_ANSWERED);
        event->body = json_pack("[s]", "nonsense");
        event->attempt.body = event->body;
        return;
    case FAULT_STATUS_429:
        reply_status(world, call, World_Latency(world), 429);
        return;
    case FAULT_STATUS_503:
        reply_status(world, call, World_Latency(world), 503);
        return;
    case FAULT_STATUS_500:
        reply_status(world, call, delay_us, 500);
        return;
    case FAULT_STATUS_400:
        reply_status(world, call, World_Latency(world), 400);
        return;
    default:
        break;
    }
    if (call->kind == EB_STAGE_GENERATE) {
        reply_tokens(world, call, delay_us);
    }
    else if (call->fault == FAULT_BROKEN_RAN) {
        reply(world, call, delay_us, EB_ATTEMPT_BROKEN);
    }
    else if (call->fault != FAULT_SILENT_RAN) {
        event = reply(world, call, delay_us, EB_ATTEMPT_ANSWERED);
        event->body = right_answer(world, call);
        event->attempt.body = event->body;
    }
}

void
World_Arrive(World *world, Call *call)
{
    Step step = step_of(call);
    if (g_strcmp0(call->request_id, world->spared) != 0) {
        call->fault = World_ChooseFault(world, step, false);
    }
    if (step == STEP_GENERATE && g_str_has_prefix(input_of(call), "poison")) {
        call->fault = FAULT_CRASH;
    }
    World_Log(world, "%s: %s %s: %s", call->server_id, call->request_id,
              Step_names[step], Fault_names[call->fault]);
    if (call->fault == FAULT_REFUSED) {
        if (call->at_most_once) {
            World_Record(world, call->key)->pending--;
        }
    }
    else if (!call->lookup) {
        const char *name = identity(world, call);
        WorldRecord *record = World_Record(world, name);
        record->receipts++;
        if (record->told_not_run) {
            World_Fail(world, "%s reached a server after not-run", name);
        }
    }
    if (call->at_most_once && runs_under(call->fault)) {
        WorldEvent *event =
            World_Schedule(world, SERVICE_US / 2, EVENT_RUN, call->daemon);
        event->call = call;
    }
    answer_call(world, call);
}
