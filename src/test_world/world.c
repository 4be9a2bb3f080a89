/* Clock, daemons, callers and the rules that every run must keep. */
#include "world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "world_private.h"

#define OWNER_CHECK_US 2000000
#define MAX_TRACE_BYTES ((size_t)64 * 1024)

const char *const Step_names[STEP_COUNT] = {
    "admit",    "queue", "claim",  "encode", "retrieve", "rerank",
    "generate", "call",  "record", "answer", "drain",    "look-up",
};

const char *const Fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "no fault",
    [FAULT_REFUSED] = "server refuses",
    [FAULT_BROKEN] = "server breaks before it ran",
    [FAULT_BROKEN_RAN] = "server breaks after it ran",
    [FAULT_SILENT] = "server silent, not run",
    [FAULT_SILENT_RAN] = "server silent, ran",
    [FAULT_SLOW] = "server slow",
    [FAULT_LATE] = "server answers late",
    [FAULT_WRONG_ECHO] = "answer of another request",
    [FAULT_MALFORMED] = "malformed answer",
    [FAULT_STATUS_429] = "status 429",
    [FAULT_STATUS_503] = "status 503",
    [FAULT_STATUS_500] = "status 500",
    [FAULT_STATUS_400] = "status 400",
    [FAULT_LEAVING] = "server leaving",
    [FAULT_CRASH] = "server crashes",
    [FAULT_STORE_UNAVAILABLE] = "store unavailable",
    [FAULT_STORE_SLOW] = "store slow",
    [FAULT_STORE_LOST] = "store answer lost, no effect",
    [FAULT_STORE_LOST_EFFECT] = "store answer lost, effect",
    [FAULT_STORE_LOST_LATE] = "store answer lost, late effect",
    [FAULT_STORE_STALE] = "store answers stale",
    [FAULT_OWNER_DEAD] = "owner dies",
    [FAULT_OWNER_PAUSED] = "owner paused past its hold",
    [FAULT_CALLER_GONE] = "caller gone",
    [FAULT_DEADLINE] = "deadline",
    [FAULT_DRAIN] = "drain begins",
    [FAULT_ABORT] = "drain limit reached",
    [FAULT_CONFIG] = "configuration changes",
};

/* Trace and failure */

void
World_Log(World *world, const char *format, ...)
{
    if (world->trace->len > MAX_TRACE_BYTES) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_string_append_printf(world->trace, "%9.3f ms  ",
                           (double)world->now_us / 1000.0);
    g_string_append_vprintf(world->trace, format, arguments);
    g_string_append_c(world->trace, '\n');
    va_end(arguments);
}

void
World_Fail(World *world, const char *format, ...)
{
    if (world->failed) {
        return;
    }
    world->failed = true;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(world->failure, sizeof(world->failure), format, arguments);
    va_end(arguments);
    World_Log(world, "RULE BROKEN: %s", world->failure);
}

/* Scheduling */

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const WorldEvent *a = left;
    const WorldEvent *b = right;
    if (a->time_us != b->time_us) {
        return a->time_us < b->time_us ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

static void
free_event(gpointer pointer)
{
    WorldEvent *event = pointer;
    EbAction store = {.kind = EB_ACTION_STORE, .as.store = event->store};
    EbAction_Clear(&store);
    g_free(event->customer);
    g_free(event->key_digest);
    g_free(event->request_id);
    g_free(event->text);
    json_decref(event->body);
    g_free(event);
}

WorldEvent *
World_Schedule(World *world, int64_t delay_us, WorldEventKind kind,
               uint32_t daemon)
{
    WorldEvent *event = g_new0(WorldEvent, 1);
    event->time_us = world->now_us + delay_us;
    event->sequence = ++world->next_sequence;
    event->kind = kind;
    event->daemon = daemon;
    event->incarnation = world->daemons[daemon].incarnation;
    g_sequence_insert_sorted(world->scheduled, event, compare_events, NULL);
    return event;
}

int64_t
World_Latency(World *world)
{
    return 1 + (int64_t)EbRandom_Below(&world->random, world->latency_us);
}

/* Faults */

static bool
fits(Fault fault, bool store)
{
    return store
               ? fault >= FAULT_STORE_UNAVAILABLE && fault <= FAULT_STORE_STALE
               : fault >= FAULT_REFUSED && fault <= FAULT_CRASH;
}

Fault
World_ChooseFault(World *world, Step step, bool store)
{
    for (uint32_t i = 0; i < world->injection_count; i++) {
        Injection *injection = &world->injections[i];
        if (injection->step == step && injection->count > 0 &&
            fits(injection->fault, store)) {
            injection->count--;
            world->faults_hit++;
            return injection->fault;
        }
    }
    if (EbRandom_Below(&world->random, 1000) >= world->fault_permille) {
        return FAULT_NONE;
    }
    Fault first = store ? FAULT_STORE_UNAVAILABLE : FAULT_REFUSED;
    Fault last = store ? FAULT_STORE_STALE : FAULT_CRASH;
    world->faults_hit++;
    return first +
           (Fault)EbRandom_Below(&world->random, (uint64_t)last - first + 1);
}

void
World_Trigger(World *world, Step step, uint32_t daemon, const char *request_id)
{
    for (uint32_t i = 0; i < world->injection_count; i++) {
        Injection *injection = &world->injections[i];
        if (injection->step != step || injection->count == 0 ||
            injection->fault < FAULT_OWNER_DEAD ||
            (request_id != NULL &&
             g_strcmp0(request_id, world->spared) == 0)) {
            continue;
        }
        injection->count--;
        world->faults_hit++;
        WorldEvent *event = World_Schedule(world, 0, EVENT_TRIGGER, daemon);
        event->fault = injection->fault;
        event->request_id = g_strdup(request_id);
    }
}

/* Daemons */

static void
log_event(void *context, EbEventId event, const EbEventField *fields,
          size_t field_count)
{
    GString *text = g_string_new(EbEvent_table[event].name);
    for (size_t i = 0; i < field_count; i++) {
        if (fields[i].type == EB_FIELD_STRING) {
            g_string_append_printf(text, " %s=%s", fields[i].name,
                                   fields[i].string);
        }
        else {
            g_string_append_printf(text, " %s=%" G_GINT64_FORMAT,
                                   fields[i].name, fields[i].integer);
        }
    }
    World_Log(context, "event: %s", text->str);
    g_string_free(text, TRUE);
}

static int64_t
wall_clock(void *context)
{
    return ((World *)context)->now_us;
}

static bool
ask_owner(void *context, const EbLedgerResult *held, uint64_t query,
          const char *customer, const char *key_digest, int64_t now_us)
{
    (void)now_us;
    World *world = context;
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        const WorldDaemon *owner = &world->daemons[i];
        if (strcmp(owner->name, held->instance) != 0 || !owner->alive ||
            owner->incarnation != held->incarnation) {
            continue;
        }
        WorldEvent *event =
            World_Schedule(world, World_Latency(world), EVENT_QUESTION, i);
        event->peer = 1 - i;
        event->query = query;
        event->customer = g_strdup(customer);
        event->key_digest = g_strdup(key_digest);
        WorldEvent *check =
            World_Schedule(world, OWNER_CHECK_US, EVENT_CHECK_OWNER, 1 - i);
        check->peer = i;
        check->query = query;
        return true;
    }
    return false;
}

static void
start_daemon(World *world, uint32_t index)
{
    WorldDaemon *daemon = &world->daemons[index];
    static const char *const names[WORLD_DAEMONS] = {"d0", "d1"};
    g_strlcpy(daemon->name, names[index], sizeof(daemon->name));
    daemon->alive = true;
    daemon->incarnation++;
    daemon->paused_until_us = 0;
    EbRandom_Init(&daemon->random,
                  world->seed * 31 + index + 1000 * daemon->incarnation);
    daemon->actions = EbActionQueue_New();
    daemon->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = daemon->name,
                                        .incarnation = daemon->incarnation,
                                        .peer_address = daemon->name,
                                        .actions = daemon->actions,
                                        .random = &daemon->random,
                                        .events = &world->sink,
                                        .wall_clock_us = wall_clock,
                                        .context = world});
    daemon->limiter = EbLimiter_New(&(EbLimiterOptions){
        .instance = daemon->name, .config = world->config});
    EbLimiter_SetMembers(daemon->limiter, names, WORLD_DAEMONS, world->now_us);
    daemon->quarantine =
        EbQuarantine_New(&(EbQuarantineOptions){.events = &world->sink});
    daemon->metrics = EbMetrics_New();
    daemon->dispatcher = EbDispatcher_New(
        &(EbDispatcherOptions){.instance = daemon->name,
                               .incarnation = daemon->incarnation,
                               .failure_domain = "fd0",
                               .policy = world->policy,
                               .max_requests = world->max_requests,
                               .actions = daemon->actions,
                               .random = &daemon->random,
                               .events = &world->sink,
                               .ledger = daemon->ledger,
                               .limiter = daemon->limiter,
                               .quarantine = daemon->quarantine,
                               .metrics = daemon->metrics,
                               .ask_owner = ask_owner,
                               .context = world});
    EbDispatcher_SetConfig(daemon->dispatcher, world->config, world->now_us);
}

static void
stop_daemon(WorldDaemon *daemon)
{
    EbDispatcher_Free(daemon->dispatcher);
    EbMetrics_Free(daemon->metrics);
    EbQuarantine_Free(daemon->quarantine);
    EbLimiter_Free(daemon->limiter);
    EbLedger_Free(daemon->ledger);
    EbActionQueue_Free(daemon->actions);
    daemon->dispatcher = NULL;
    daemon->alive = false;
}

void
World_Kill(World *world, uint32_t index)
{
    World_Log(world, "d%u: dies", index);
    for (guint i = 0; i < world->requests->len; i++) {
        WorldRequest *request = g_ptr_array_index(world->requests, i);
        if (request->daemon == index && !request->answered &&
            request->incarnation == world->daemons[index].incarnation) {
            request->gone = true;
        }
    }
    stop_daemon(&world->daemons[index]);
}

void
World_Restart(World *world, uint32_t index)
{
    World_Log(world, "d%u: restarts", index);
    start_daemon(world, index);
}

static EbConfig *
parse_config(WorldConfig *options)
{
    options->generation++;
    char *text = World_Config(options);
    EbError error;
    EbError_Clear(&error);
    EbConfig *config =
        EbConfig_Parse(text, strlen(text), "site", "world", &error);
    g_free(text);
    if (config == NULL) {
        char message[1024];
        EbError_Format(&error, message, sizeof(message));
        g_error("%s", message);
    }
    return config;
}

World *
World_New(const WorldOptions *options)
{
    World *world = g_new0(World, 1);
    world->seed = options->seed;
    world->latency_us = options->latency_us > 0 ? options->latency_us : 1000;
    world->now_us = 1000000;
    world->trace = g_string_new(NULL);
    EbRandom_Init(&world->random, options->seed);
    world->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           World_FreeObject);
    world->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->requests = g_ptr_array_new();
    world->calls = g_hash_table_new_full(NULL, NULL, World_FreeCall, NULL);
    world->scheduled = g_sequence_new(free_event);
    world->sink = (EbEventSink){log_event, world};
    world->policy = options->policy;
    world->max_requests = options->max_requests;
    world->config_options = options->config;
    world->config = parse_config(&world->config_options);
    world->deadline_us = world->config->pipelines[0].deadline_us;
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        start_daemon(world, i);
    }
    return world;
}

void
World_Free(World *world)
{
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        if (world->daemons[i].alive) {
            stop_daemon(&world->daemons[i]);
        }
    }
    for (guint i = 0; i < world->requests->len; i++) {
        WorldRequest *request = g_ptr_array_index(world->requests, i);
        g_free(request->request_id);
        g_free(request->key);
        g_free(request->input);
        g_free(request->pipeline);
        g_free(request);
    }
    GHashTableIter iter;
    gpointer record;
    g_hash_table_iter_init(&iter, world->records);
    while (g_hash_table_iter_next(&iter, NULL, &record)) {
        json_decref(((WorldRecord *)record)->result);
    }
    g_ptr_array_free(world->requests, TRUE);
    g_sequence_free(world->scheduled);
    g_hash_table_destroy(world->calls);
    g_hash_table_destroy(world->records);
    g_hash_table_destroy(world->objects);
    EbConfig_Unref(world->config);
    g_string_free(world->trace, TRUE);
    g_free(world);
}

/* Callers */

static const char *
name_of(const WorldRequest *request)
{
    return request->key != NULL ? request->key : request->request_id;
}

WorldRequest *
World_Submit(World *world, const WorldSubmit *submit)
{
    WorldDaemon *daemon = &world->daemons[submit->daemon];
    WorldRequest *request = g_new0(WorldRequest, 1);
    request->request_id = g_strdup_printf("r%u", world->requests->len + 1);
    request->key = g_strdup(submit->key);
    request->input = g_strdup(submit->input);
    request->pipeline = g_strdup(submit->pipeline);
    request->daemon = submit->daemon;
    request->incarnation = daemon->incarnation;
    request->stream = submit->stream;
    request->submitted_us = world->now_us;
    g_ptr_array_add(world->requests, request);
    World_Log(world, "d%u: receives %s key %s", submit->daemon,
              request->request_id, submit->key != NULL ? submit->key : "-");
    char *body = g_strdup_printf("{\"input\": \"%s\"}", submit->input);
    request->handle = EbDispatcher_Submit(
        daemon->dispatcher,
        &(EbSubmission){
            .request_id = request->request_id,
            .token = submit->token != NULL ? submit->token : WORLD_TOKEN,
            .pipeline = submit->pipeline,
            .body = body,
            .body_bytes = strlen(body),
            .idempotency_key = submit->key,
            .timeout_us = submit->timeout_us,
            .stream = submit->stream,
        },
        world->now_us);
    g_free(body);
    World_Drain(world, submit->daemon);
    return request;
}

void
World_CallerGone(World *world, WorldRequest *request)
{
    WorldDaemon *daemon = &world->daemons[request->daemon];
    if (request->answered || request->gone || !daemon->alive) {
        return;
    }
    World_Log(world, "d%u: caller of %s leaves", request->daemon,
              request->request_id);
    request->gone = true;
    EbDispatcher_CallerGone(daemon->dispatcher, request->handle,
                            world->now_us);
    World_Drain(world, request->daemon);
}

static WorldRequest *
find_request(World *world, uint32_t daemon, uint64_t handle)
{
    for (guint i = world->requests->len; i > 0; i--) {
        WorldRequest *request = g_ptr_array_index(world->requests, i - 1);
        if (request->daemon == daemon && !request->gone &&
            request->incarnation == world->daemons[daemon].incarnation &&
            (request->handle == handle || request->handle == 0)) {
            return request;
        }
    }
    return NULL;
}

static void
check_done(World *world, const WorldRequest *request, json_t *body)
{
    json_t *answer = json_object_get(body, "answer");
    const char *text = json_string_value(json_object_get(answer, "text"));
    json_t *result = json_object_get(answer, "result");
    const char *echo = json_string_value(json_object_get(result, "echo"));
    bool pay = strcmp(request->pipeline, "pay") == 0;
    GString *expected = g_string_new(NULL);
    for (int i = 0; i < WORLD_TOKENS; i++) {
        g_string_append_printf(expected, "%s.%d ", request->input, i);
    }
    if ((text != NULL || !request->replayed) &&
        g_strcmp0(text, expected->str) != 0) {
        World_Fail(world, "%s answered with text '%s'", request->request_id,
                   text != NULL ? text : "");
    }
    g_string_free(expected, TRUE);
    if (pay && g_strcmp0(echo, request->input) != 0) {
        World_Fail(world, "%s answered with result of '%s'",
                   request->request_id, echo != NULL ? echo : "");
    }
    if (pay && World_Record(world, request->key)->runs != 1) {
        World_Fail(world, "%s done, but its call did not run",
                   request->request_id);
    }
    if (request->stream && !request->replayed && request->relayed > 0 &&
        request->relayed != WORLD_TOKENS) {
        World_Fail(world, "%s got %" G_GUINT64_FORMAT " tokens",
                   request->request_id, request->relayed);
    }
}

/* Checks the rules of outcomes at the moment of the answer. */
static void
take_answer(World *world, uint32_t daemon, const EbAnswer *answer)
{
    WorldRequest *request = find_request(world, daemon, answer->request);
    if (request == NULL) {
        World_Fail(world, "an answer for no request");
        return;
    }
    World_Log(world, "d%u: answers %s %s %s%s", daemon, request->request_id,
              EbOutcome_names[answer->outcome],
              EbReason_table[answer->reason].name,
              answer->replayed ? " replayed" : "");
    if (++request->answers > 1) {
        World_Fail(world, "%s answered twice", request->request_id);
    }
    request->answered = true;
    request->outcome = answer->outcome;
    request->reason = answer->reason;
    request->replayed = answer->replayed;
    request->retry_after_us = answer->retry_after_us;
    request->total_us = world->now_us - request->submitted_us;
    WorldRecord *record = World_Record(world, name_of(request));
    if (answer->outcome == EB_OUTCOME_DONE) {
        check_done(world, request, answer->body);
    }
    else if (answer->outcome == EB_OUTCOME_NOT_RUN) {
        record->told_not_run = true;
        if (record->receipts > 0) {
            World_Fail(world, "%s not-run, but a server was called",
                       request->request_id);
        }
    }
    else if (answer->outcome == EB_OUTCOME_FAILED &&
             (record->runs > 0 || record->pending > 0)) {
        World_Fail(world, "%s failed, but its call was dispatched",
                   request->request_id);
    }
    World_Trigger(world, STEP_ANSWER, daemon, request->request_id);
}

static void
take_relay(World *world, uint32_t daemon, const EbRelay *relay)
{
    WorldRequest *request = find_request(world, daemon, relay->request);
    if (request == NULL) {
        World_Fail(world, "tokens for no request");
        return;
    }
    char *expected =
        g_strdup_printf("%s.%u ", request->input, (unsigned)request->relayed);
    if (!request->stream || request->answered ||
        relay->token_index != request->relayed || relay->token_count != 1 ||
        strcmp(relay->text, expected) != 0) {
        World_Fail(world, "%s got token %" G_GUINT64_FORMAT " '%s'",
                   request->request_id, relay->token_index, relay->text);
    }
    request->relayed += relay->token_count;
    g_free(expected);
}

/* Another daemon may answer too early or without the body. */
static void
disturb_answer(World *world, WorldEvent *event)
{
    if (EbRandom_Below(&world->random, 1000) >= world->fault_permille) {
        return;
    }
    switch (EbRandom_Below(&world->random, 4)) {
    case 0:
        event->reached = false;
        break;
    case 1:
        event->local.state = EB_LEDGER_LOCAL_RUNNING;
        break;
    case 2:
        event->local.state = EB_LEDGER_LOCAL_ABSENT;
        break;
    default:
        event->local.body = NULL;
        break;
    }
}

void
World_Drain(World *world, uint32_t index)
{
    WorldDaemon *daemon = &world->daemons[index];
    EbAction action;
    while (daemon->alive && EbActionQueue_Pop(daemon->actions, &action)) {
        switch (action.kind) {
        case EB_ACTION_SEND_ATTEMPT:
            World_Send(world, index, &action.as.send);
            break;
        case EB_ACTION_STORE:
            World_Store(world, index, &action.as.store);
            break;
        case EB_ACTION_ANSWER:
            take_answer(world, index, &action.as.answer);
            break;
        case EB_ACTION_RELAY:
            take_relay(world, index, &action.as.relay);
            break;
        case EB_ACTION_RETIRE_CONNECTIONS:
            world->retired++;
            break;
        default:
            /* A cancelled call still runs and its answer comes too late. */
            break;
        }
        EbAction_Clear(&action);
    }
    EbOutcomeQuery pending;
    while (daemon->alive &&
           EbDispatcher_NextOutcomeQuery(daemon->dispatcher, &pending)) {
        EbLedgerLocalClaim local = {0};
        EbLedger_FindLocal(daemon->ledger, pending.customer,
                           pending.key_digest, &local);
        WorldEvent *event = World_Schedule(world, World_Latency(world),
                                           EVENT_ANSWER, 1 - index);
        event->query = pending.query;
        event->reached = true;
        event->local = local;
        event->body = json_incref(local.body);
        disturb_answer(world, event);
        EbOutcomeQuery_Clear(&pending);
    }
}

/* Events */

void
World_ChangeConfig(World *world)
{
    EbConfig *config = parse_config(&world->config_options);
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        WorldDaemon *daemon = &world->daemons[i];
        if (daemon->alive) {
            EbLimiter_SetConfig(daemon->limiter, config);
            EbDispatcher_SetConfig(daemon->dispatcher, config, world->now_us);
        }
    }
    EbConfig_Unref(world->config);
    world->config = config;
}

static void
set_off(World *world, const WorldEvent *event)
{
    WorldDaemon *daemon = &world->daemons[event->daemon];
    World_Log(world, "d%u: %s", event->daemon, Fault_names[event->fault]);
    switch (event->fault) {
    case FAULT_OWNER_DEAD:
        World_Kill(world, event->daemon);
        break;
    case FAULT_OWNER_PAUSED:
        daemon->paused_until_us = world->now_us + EB_LEDGER_HOLD_US + 1000000;
        break;
    case FAULT_CALLER_GONE:
        for (guint i = 0; i < world->requests->len; i++) {
            World_CallerGone(world, g_ptr_array_index(world->requests, i));
        }
        break;
    case FAULT_DRAIN:
        EbDispatcher_Drain(daemon->dispatcher, world->now_us);
        break;
    case FAULT_ABORT:
        EbDispatcher_Abort(daemon->dispatcher, world->now_us);
        break;
    case FAULT_CONFIG:
        World_ChangeConfig(world);
        break;
    case FAULT_DEADLINE:
        /* The daemon makes no progress until the deadline has passed. */
        daemon->paused_until_us = world->now_us + world->deadline_us;
        break;
    default:
        break;
    }
}

static void
take_reply(World *world, const WorldEvent *event)
{
    Call *call = event->call;
    if (call->over) {
        return;
    }
    call->over = event->attempt.kind != EB_ATTEMPT_TOKENS;
    WorldDaemon *daemon = &world->daemons[event->daemon];
    World_Log(world, "d%u: attempt %" G_GUINT64_FORMAT " %s", event->daemon,
              call->attempt_id, EbAttemptEventKind_names[event->attempt.kind]);
    EbDispatcher_AttemptEvent(daemon->dispatcher, &event->attempt,
                              world->now_us);
}

static void
check_owner(World *world, WorldEvent *event)
{
    WorldDaemon *daemon = &world->daemons[event->daemon];
    const WorldDaemon *owner = &world->daemons[event->peer];
    if (!owner->alive || owner->paused_until_us > world->now_us) {
        EbDispatcher_OwnerReply(daemon->dispatcher, event->query, false, NULL,
                                world->now_us);
        return;
    }
    WorldEvent *again = World_Schedule(world, OWNER_CHECK_US,
                                       EVENT_CHECK_OWNER, event->daemon);
    again->peer = event->peer;
    again->query = event->query;
}

static void
tell_daemon(World *world, WorldEvent *event)
{
    WorldDaemon *daemon = &world->daemons[event->daemon];
    switch (event->kind) {
    case EVENT_REPLY:
        take_reply(world, event);
        break;
    case EVENT_STORE_REPLY:
        if (event->reply.owner == EB_STORE_OWNER_LEDGER) {
            EbLedger_StoreReply(daemon->ledger, &event->reply, world->now_us);
            EbDispatcher_LedgerResults(daemon->dispatcher, world->now_us);
        }
        break;
    case EVENT_QUESTION: {
        char peer[8];
        g_snprintf(peer, sizeof(peer), "d%u", event->peer);
        EbDispatcher_QueryOutcome(daemon->dispatcher, peer, event->query,
                                  event->customer, event->key_digest,
                                  world->now_us);
        break;
    }
    case EVENT_ANSWER:
        EbDispatcher_OwnerReply(daemon->dispatcher, event->query,
                                event->reached, &event->local, world->now_us);
        break;
    case EVENT_CHECK_OWNER:
        check_owner(world, event);
        break;
    default:
        set_off(world, event);
        break;
    }
    World_Drain(world, event->daemon);
}

static void
handle(World *world, WorldEvent *event)
{
    WorldDaemon *daemon = &world->daemons[event->daemon];
    switch (event->kind) {
    case EVENT_ARRIVE:
        World_Arrive(world, event->call);
        return;
    case EVENT_RUN:
        World_RunCall(world, event->call);
        return;
    case EVENT_STORE:
        World_StoreArrives(world, event);
        return;
    case EVENT_STORE_APPLY:
        World_ApplyStore(world, event);
        return;
    default:
        break;
    }
    if (!daemon->alive || daemon->incarnation != event->incarnation) {
        return;
    }
    if (daemon->paused_until_us > world->now_us &&
        event->kind != EVENT_TRIGGER) {
        /* Its sockets are read when it goes on, in the same order. */
        event->time_us = daemon->paused_until_us;
        return;
    }
    tell_daemon(world, event);
}

static int64_t
next_timer(const World *world, uint32_t *index)
{
    int64_t next_us = INT64_MAX;
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        const WorldDaemon *daemon = &world->daemons[i];
        if (!daemon->alive) {
            continue;
        }
        int64_t timer_us = MIN(EbDispatcher_NextTimer(daemon->dispatcher),
                               EbLedger_NextTimer(daemon->ledger));
        timer_us = MAX(timer_us, daemon->paused_until_us);
        if (timer_us < next_us) {
            next_us = timer_us;
            *index = i;
        }
    }
    return next_us;
}

bool
World_Step(World *world, int64_t until_us)
{
    uint32_t index = 0;
    int64_t timer_us = next_timer(world, &index);
    GSequenceIter *first = g_sequence_get_begin_iter(world->scheduled);
    WorldEvent *event =
        g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
    int64_t event_us = event != NULL ? event->time_us : INT64_MAX;
    int64_t next_us = MIN(timer_us, event_us);
    if (next_us == INT64_MAX) {
        return false;
    }
    if (next_us > until_us) {
        world->now_us = MAX(world->now_us, until_us);
        return false;
    }
    if (event_us > timer_us) {
        WorldDaemon *daemon = &world->daemons[index];
        world->now_us = MAX(world->now_us, timer_us);
        EbLedger_Tick(daemon->ledger, world->now_us);
        EbDispatcher_LedgerResults(daemon->dispatcher, world->now_us);
        EbDispatcher_Tick(daemon->dispatcher, world->now_us);
        World_Drain(world, index);
        return true;
    }
    world->now_us = MAX(world->now_us, event_us);
    handle(world, event);
    if (event->time_us > world->now_us) {
        g_sequence_sort_changed(first, compare_events, NULL);
    }
    else {
        g_sequence_remove(first);
    }
    return true;
}

static bool
is_settled(const World *world)
{
    for (guint i = 0; i < world->requests->len; i++) {
        const WorldRequest *request = g_ptr_array_index(world->requests, i);
        if (!request->answered && !request->gone) {
            return false;
        }
    }
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        const WorldDaemon *daemon = &world->daemons[i];
        if (daemon->alive && (EbDispatcher_LiveCount(daemon->dispatcher) > 0 ||
                              EbLedger_UnwrittenCount(daemon->ledger) > 0)) {
            return false;
        }
    }
    return true;
}

void
World_Run(World *world, int64_t until_us)
{
    while (!world->failed && !is_settled(world) &&
           World_Step(world, until_us)) {
    }
}

void
World_CheckEnd(World *world)
{
    for (guint i = 0; i < world->requests->len; i++) {
        const WorldRequest *request = g_ptr_array_index(world->requests, i);
        if (!request->gone && request->answers != 1) {
            World_Fail(world, "%s was answered %u times", request->request_id,
                       request->answers);
        }
    }
    for (uint32_t i = 0; i < WORLD_DAEMONS; i++) {
        const WorldDaemon *daemon = &world->daemons[i];
        if (daemon->alive && EbDispatcher_LiveCount(daemon->dispatcher) > 0) {
            World_Fail(world, "d%u still has requests", i);
        }
    }
}
