/* Virtual clock, daemons and callers, and the checks of each answer. */
#include "simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "simulation_private.h"

/* Interval at which a daemon that waits for the reply of a claim's owner
 * learns whether the owner is still reachable. */
#define OWNER_CHECK_INTERVAL_US 2000000
#define MAX_TRACE_BYTES ((size_t)64 * 1024)

const char *const Step_names[STEP_COUNT] = {
    "admit",    "queue", "claim",  "encode", "retrieve", "rerank",
    "generate", "call",  "record", "answer", "drain",    "look-up",
};

const char *const Fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "no fault",
    [FAULT_REFUSED] = "server refuses",
    [FAULT_BROKEN] = "connection broken, not run",
    [FAULT_BROKEN_RAN] = "connection broken, ran",
    [FAULT_SILENT] = "server silent, not run",
    [FAULT_SILENT_RAN] = "server silent, ran",
    [FAULT_SLOW] = "server slow",
    [FAULT_LATE] = "server answers late",
    [FAULT_WRONG_ECHO] = "answer for another request",
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
    [FAULT_STORE_STALE] = "stale read",
    [FAULT_OWNER_DEAD] = "owner dies",
    [FAULT_OWNER_PAUSED] = "owner paused past its hold",
    [FAULT_CALLER_GONE] = "caller leaves",
    [FAULT_DEADLINE] = "deadline passes",
    [FAULT_DRAIN] = "drain begins",
    [FAULT_ABORT] = "drain limit reached",
    [FAULT_CONFIG] = "configuration changes",
};

/* Trace and failure */

void
Simulation_Log(Simulation *simulation, const char *format, ...)
{
    if (simulation->trace->len > MAX_TRACE_BYTES) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_string_append_printf(simulation->trace, "%9.3f ms  ",
                           (double)simulation->now_us / 1000.0);
    g_string_append_vprintf(simulation->trace, format, arguments);
    g_string_append_c(simulation->trace, '\n');
    va_end(arguments);
}

void
Simulation_Fail(Simulation *simulation, const char *format, ...)
{
    if (simulation->failed) {
        return;
    }
    simulation->failed = true;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(simulation->failure, sizeof(simulation->failure), format,
              arguments);
    va_end(arguments);
    Simulation_Log(simulation, "CHECK FAILED: %s", simulation->failure);
}

/* Scheduling */

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer data)
{
    (void)data;
    const SimulationEvent *a = left;
    const SimulationEvent *b = right;
    if (a->time_us != b->time_us) {
        return a->time_us < b->time_us ? -1 : 1;
    }
    return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

static void
free_event(gpointer pointer)
{
    SimulationEvent *event = pointer;
    EbAction store = {.kind = EB_ACTION_STORE, .as.store = event->store};
    EbAction_Clear(&store);
    g_free(event->customer);
    g_free(event->key_digest);
    g_free(event->request_id);
    g_free(event->text);
    json_decref(event->body);
    g_free(event);
}

SimulationEvent *
Simulation_Schedule(Simulation *simulation, int64_t delay_us,
                    SimulationEventKind kind, uint32_t daemon)
{
    SimulationEvent *event = g_new0(SimulationEvent, 1);
    event->time_us = simulation->now_us + delay_us;
    event->sequence = ++simulation->next_sequence;
    event->kind = kind;
    event->daemon = daemon;
    event->incarnation = simulation->daemons[daemon].incarnation;
    g_sequence_insert_sorted(simulation->scheduled, event, compare_events,
                             NULL);
    return event;
}

int64_t
Simulation_Latency(Simulation *simulation)
{
    return 1 + (int64_t)EbRandom_Below(&simulation->random,
                                       simulation->latency_us);
}

/* Faults */

static bool
is_message_fault(Fault fault, bool store)
{
    return store
               ? fault >= FAULT_STORE_UNAVAILABLE && fault <= FAULT_STORE_STALE
               : fault >= FAULT_REFUSED && fault <= FAULT_CRASH;
}

Fault
Simulation_ChooseFault(Simulation *simulation, Step step, bool store)
{
    for (uint32_t i = 0; i < simulation->injection_count; i++) {
        Injection *injection = &simulation->injections[i];
        if (injection->step == step && injection->count > 0 &&
            is_message_fault(injection->fault, store)) {
            injection->count--;
            simulation->faults_hit++;
            return injection->fault;
        }
    }
    if (EbRandom_Below(&simulation->random, 1000) >=
        simulation->fault_permille) {
        return FAULT_NONE;
    }
    Fault first = store ? FAULT_STORE_UNAVAILABLE : FAULT_REFUSED;
    Fault last = store ? FAULT_STORE_STALE : FAULT_CRASH;
    simulation->faults_hit++;
    return first + (Fault)EbRandom_Below(&simulation->random,
                                         (uint64_t)last - first + 1);
}

void
Simulation_Trigger(Simulation *simulation, Step step, uint32_t daemon,
                   const char *request_id)
{
    for (uint32_t i = 0; i < simulation->injection_count; i++) {
        Injection *injection = &simulation->injections[i];
        if (injection->step != step || injection->count == 0 ||
            injection->fault < FAULT_OWNER_DEAD ||
            (request_id != NULL &&
             g_strcmp0(request_id, simulation->exempt_request_id) == 0)) {
            continue;
        }
        injection->count--;
        simulation->faults_hit++;
        SimulationEvent *event =
            Simulation_Schedule(simulation, 0, EVENT_TRIGGER, daemon);
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
    Simulation_Log(context, "event: %s", text->str);
    g_string_free(text, TRUE);
}

static int64_t
wall_clock(void *context)
{
    return ((Simulation *)context)->now_us;
}

static bool
ask_owner(void *context, const EbLedgerResult *claim, uint64_t query,
          const char *customer, const char *key_digest, int64_t now_us)
{
    (void)now_us;
    Simulation *simulation = context;
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        const SimulationDaemon *owner = &simulation->daemons[i];
        if (strcmp(owner->name, claim->instance) != 0 || !owner->alive ||
            owner->incarnation != claim->incarnation) {
            continue;
        }
        SimulationEvent *event =
            Simulation_Schedule(simulation, Simulation_Latency(simulation),
                                EVENT_OUTCOME_QUERY, i);
        event->peer = 1 - i;
        event->query = query;
        event->customer = g_strdup(customer);
        event->key_digest = g_strdup(key_digest);
        SimulationEvent *check = Simulation_Schedule(
            simulation, OWNER_CHECK_INTERVAL_US, EVENT_CHECK_OWNER, 1 - i);
        check->peer = i;
        check->query = query;
        return true;
    }
    return false;
}

static void
start_daemon(Simulation *simulation, uint32_t index)
{
    SimulationDaemon *daemon = &simulation->daemons[index];
    static const char *const names[SIMULATION_DAEMONS] = {"d0", "d1"};
    g_strlcpy(daemon->name, names[index], sizeof(daemon->name));
    daemon->alive = true;
    daemon->incarnation++;
    daemon->paused_until_us = 0;
    EbRandom_Init(&daemon->random,
                  simulation->seed * 31 + index + 1000 * daemon->incarnation);
    daemon->actions = EbActionQueue_New();
    daemon->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = daemon->name,
                                        .incarnation = daemon->incarnation,
                                        .peer_address = daemon->name,
                                        .actions = daemon->actions,
                                        .random = &daemon->random,
                                        .events = &simulation->sink,
                                        .wall_clock_us = wall_clock,
                                        .context = simulation});
    daemon->limiter = EbLimiter_New(&(EbLimiterOptions){
        .instance = daemon->name, .config = simulation->config});
    EbLimiter_SetMembers(daemon->limiter, names, SIMULATION_DAEMONS,
                         simulation->now_us);
    daemon->quarantine =
        EbQuarantine_New(&(EbQuarantineOptions){.events = &simulation->sink});
    daemon->metrics = EbMetrics_New();
    daemon->dispatcher = EbDispatcher_New(
        &(EbDispatcherOptions){.instance = daemon->name,
                               .incarnation = daemon->incarnation,
                               .failure_domain = "fd0",
                               .policy = simulation->policy,
                               .max_requests = simulation->max_requests,
                               .actions = daemon->actions,
                               .random = &daemon->random,
                               .events = &simulation->sink,
                               .ledger = daemon->ledger,
                               .limiter = daemon->limiter,
                               .quarantine = daemon->quarantine,
                               .metrics = daemon->metrics,
                               .ask_owner = ask_owner,
                               .context = simulation});
    EbDispatcher_SetConfig(daemon->dispatcher, simulation->config,
                           simulation->now_us);
}

static void
stop_daemon(SimulationDaemon *daemon)
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
Simulation_Kill(Simulation *simulation, uint32_t index)
{
    Simulation_Log(simulation, "d%u: dies", index);
    for (guint i = 0; i < simulation->requests->len; i++) {
        SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i);
        if (request->daemon == index && !request->answered &&
            request->incarnation == simulation->daemons[index].incarnation) {
            request->cut = true;
        }
    }
    stop_daemon(&simulation->daemons[index]);
}

void
Simulation_Restart(Simulation *simulation, uint32_t index)
{
    Simulation_Log(simulation, "d%u: restarts", index);
    start_daemon(simulation, index);
}

/* Raises the generation and parses the configuration with it. */
static EbConfig *
parse_next_config(SimulationConfig *options)
{
    options->generation++;
    char *text = Simulation_Config(options);
    EbError error;
    EbError_Clear(&error);
    EbConfig *config =
        EbConfig_Parse(text, strlen(text), "site", "simulation", &error);
    g_free(text);
    if (config == NULL) {
        char message[1024];
        EbError_Format(&error, message, sizeof(message));
        g_error("%s", message);
    }
    return config;
}

Simulation *
Simulation_New(const SimulationOptions *options)
{
    Simulation *simulation = g_new0(Simulation, 1);
    simulation->seed = options->seed;
    simulation->latency_us =
        options->latency_us > 0 ? options->latency_us : 1000;
    simulation->now_us = 1000000;
    simulation->trace = g_string_new(NULL);
    EbRandom_Init(&simulation->random, options->seed);
    simulation->objects = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                g_free, Simulation_FreeObject);
    simulation->records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    simulation->requests = g_ptr_array_new();
    simulation->calls =
        g_hash_table_new_full(NULL, NULL, Simulation_FreeCall, NULL);
    simulation->scheduled = g_sequence_new(free_event);
    simulation->sink = (EbEventSink){log_event, simulation};
    simulation->policy = options->policy;
    simulation->max_requests = options->max_requests;
    simulation->config_options = options->config;
    simulation->config = parse_next_config(&simulation->config_options);
    simulation->deadline_us = simulation->config->pipelines[0].deadline_us;
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        start_daemon(simulation, i);
    }
    return simulation;
}

void
Simulation_Free(Simulation *simulation)
{
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        if (simulation->daemons[i].alive) {
            stop_daemon(&simulation->daemons[i]);
        }
    }
    for (guint i = 0; i < simulation->requests->len; i++) {
        SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i);
        g_free(request->request_id);
        g_free(request->key);
        g_free(request->input);
        g_free(request->pipeline);
        g_free(request);
    }
    GHashTableIter iter;
    gpointer record;
    g_hash_table_iter_init(&iter, simulation->records);
    while (g_hash_table_iter_next(&iter, NULL, &record)) {
        json_decref(((SimulationRecord *)record)->result);
    }
    g_ptr_array_free(simulation->requests, TRUE);
    g_sequence_free(simulation->scheduled);
    g_hash_table_destroy(simulation->calls);
    g_hash_table_destroy(simulation->records);
    g_hash_table_destroy(simulation->objects);
    EbConfig_Unref(simulation->config);
    g_string_free(simulation->trace, TRUE);
    g_free(simulation);
}

/* Callers */

static const char *
request_name(const SimulationRequest *request)
{
    return request->key != NULL ? request->key : request->request_id;
}

SimulationRequest *
Simulation_Submit(Simulation *simulation, const SimulationSubmit *submit)
{
    SimulationDaemon *daemon = &simulation->daemons[submit->daemon];
    SimulationRequest *request = g_new0(SimulationRequest, 1);
    request->request_id =
        g_strdup_printf("r%u", simulation->requests->len + 1);
    request->key = g_strdup(submit->key);
    request->input = g_strdup(submit->input);
    request->pipeline = g_strdup(submit->pipeline);
    request->daemon = submit->daemon;
    request->incarnation = daemon->incarnation;
    request->stream = submit->stream;
    request->submitted_us = simulation->now_us;
    g_ptr_array_add(simulation->requests, request);
    Simulation_Log(simulation, "d%u: receives %s key %s", submit->daemon,
                   request->request_id,
                   submit->key != NULL ? submit->key : "-");
    char *body = g_strdup_printf("{\"input\": \"%s\"}", submit->input);
    request->handle = EbDispatcher_Submit(
        daemon->dispatcher,
        &(EbSubmission){
            .request_id = request->request_id,
            .token = submit->token != NULL ? submit->token : SIMULATION_TOKEN,
            .pipeline = submit->pipeline,
            .body = body,
            .body_bytes = strlen(body),
            .idempotency_key = submit->key,
            .timeout_us = submit->timeout_us,
            .stream = submit->stream,
        },
        simulation->now_us);
    g_free(body);
    Simulation_RunActions(simulation, submit->daemon);
    return request;
}

void
Simulation_CallerGone(Simulation *simulation, SimulationRequest *request)
{
    SimulationDaemon *daemon = &simulation->daemons[request->daemon];
    if (request->answered || request->cut || !daemon->alive) {
        return;
    }
    Simulation_Log(simulation, "d%u: caller of %s closes its connection",
                   request->daemon, request->request_id);
    request->cut = true;
    EbDispatcher_CallerGone(daemon->dispatcher, request->handle,
                            simulation->now_us);
    Simulation_RunActions(simulation, request->daemon);
}

static SimulationRequest *
find_request(Simulation *simulation, uint32_t daemon, uint64_t handle)
{
    for (guint i = simulation->requests->len; i > 0; i--) {
        SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i - 1);
        if (request->daemon == daemon && !request->cut &&
            request->incarnation == simulation->daemons[daemon].incarnation &&
            (request->handle == handle || request->handle == 0)) {
            return request;
        }
    }
    return NULL;
}

static void
check_done(Simulation *simulation, const SimulationRequest *request,
           json_t *body)
{
    json_t *answer = json_object_get(body, "answer");
    const char *text = json_string_value(json_object_get(answer, "text"));
    json_t *result = json_object_get(answer, "result");
    const char *echo = json_string_value(json_object_get(result, "echo"));
    bool pay = strcmp(request->pipeline, "pay") == 0;
    GString *expected = g_string_new(NULL);
    for (int i = 0; i < SIMULATION_TOKENS; i++) {
        g_string_append_printf(expected, "%s.%d ", request->input, i);
    }
    if ((text != NULL || !request->replayed) &&
        g_strcmp0(text, expected->str) != 0) {
        Simulation_Fail(simulation, "%s was answered with text '%s'",
                        request->request_id, text != NULL ? text : "");
    }
    g_string_free(expected, TRUE);
    if (pay && g_strcmp0(echo, request->input) != 0) {
        Simulation_Fail(simulation, "%s was answered with the result for '%s'",
                        request->request_id, echo != NULL ? echo : "");
    }
    if (pay && Simulation_Record(simulation, request->key)->runs != 1) {
        Simulation_Fail(simulation,
                        "%s was answered done, but its call did not run "
                        "exactly once",
                        request->request_id);
    }
    if (request->stream && !request->replayed && request->relayed > 0 &&
        request->relayed != SIMULATION_TOKENS) {
        Simulation_Fail(simulation, "%s received %" G_GUINT64_FORMAT " tokens",
                        request->request_id, request->relayed);
    }
}

/* Checks that the outcome agrees with the backend servers' own record. */
static void
check_answer(Simulation *simulation, uint32_t daemon, const EbAnswer *answer)
{
    SimulationRequest *request =
        find_request(simulation, daemon, answer->request);
    if (request == NULL) {
        Simulation_Fail(simulation, "an answer that belongs to no request");
        return;
    }
    Simulation_Log(simulation, "d%u: answers %s %s %s%s", daemon,
                   request->request_id, EbOutcome_names[answer->outcome],
                   EbReason_table[answer->reason].name,
                   answer->replayed ? " replayed" : "");
    if (++request->answers > 1) {
        Simulation_Fail(simulation, "%s was answered twice",
                        request->request_id);
    }
    request->answered = true;
    request->outcome = answer->outcome;
    request->reason = answer->reason;
    request->replayed = answer->replayed;
    request->retry_after_us = answer->retry_after_us;
    request->total_us = simulation->now_us - request->submitted_us;
    SimulationRecord *record =
        Simulation_Record(simulation, request_name(request));
    if (answer->outcome == EB_OUTCOME_DONE) {
        check_done(simulation, request, answer->body);
    }
    else if (answer->outcome == EB_OUTCOME_NOT_RUN) {
        record->reported_not_run = true;
        if (record->received_calls > 0) {
            Simulation_Fail(simulation,
                            "%s was answered not-run, but a server was called",
                            request->request_id);
        }
    }
    else if (answer->outcome == EB_OUTCOME_FAILED &&
             (record->runs > 0 || record->pending > 0)) {
        Simulation_Fail(simulation,
                        "%s was answered failed, but its call was sent",
                        request->request_id);
    }
    Simulation_Trigger(simulation, STEP_ANSWER, daemon, request->request_id);
}

static void
check_relay(Simulation *simulation, uint32_t daemon, const EbRelay *relay)
{
    SimulationRequest *request =
        find_request(simulation, daemon, relay->request);
    if (request == NULL) {
        Simulation_Fail(simulation, "tokens that belong to no request");
        return;
    }
    char *expected =
        g_strdup_printf("%s.%u ", request->input, (unsigned)request->relayed);
    if (!request->stream || request->answered ||
        relay->token_index != request->relayed || relay->token_count != 1 ||
        strcmp(relay->text, expected) != 0) {
        Simulation_Fail(simulation,
                        "%s received token %" G_GUINT64_FORMAT " '%s'",
                        request->request_id, relay->token_index, relay->text);
    }
    request->relayed += relay->token_count;
    g_free(expected);
}

/* With the probability of a random fault, makes the owner unreachable, or its
 * reply out of date or without a body. */
static void
inject_owner_reply_fault(Simulation *simulation, SimulationEvent *event)
{
    if (EbRandom_Below(&simulation->random, 1000) >=
        simulation->fault_permille) {
        return;
    }
    switch (EbRandom_Below(&simulation->random, 4)) {
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
Simulation_RunActions(Simulation *simulation, uint32_t index)
{
    SimulationDaemon *daemon = &simulation->daemons[index];
    EbAction action;
    while (daemon->alive && EbActionQueue_Pop(daemon->actions, &action)) {
        switch (action.kind) {
        case EB_ACTION_SEND_ATTEMPT:
            Simulation_SendCall(simulation, index, &action.as.send);
            break;
        case EB_ACTION_STORE:
            Simulation_SendStoreRequest(simulation, index, &action.as.store);
            break;
        case EB_ACTION_ANSWER:
            check_answer(simulation, index, &action.as.answer);
            break;
        case EB_ACTION_RELAY:
            check_relay(simulation, index, &action.as.relay);
            break;
        case EB_ACTION_RETIRE_CONNECTIONS:
            simulation->retired++;
            break;
        default:
            /* Cancellation is ignored: the call still runs, and its answer
             * arrives too late. */
            break;
        }
        EbAction_Clear(&action);
    }
    EbOutcomeQuery query;
    while (daemon->alive &&
           EbDispatcher_NextOutcomeQuery(daemon->dispatcher, &query)) {
        EbLedgerLocalClaim local = {0};
        EbLedger_FindLocal(daemon->ledger, query.customer, query.key_digest,
                           &local);
        SimulationEvent *event =
            Simulation_Schedule(simulation, Simulation_Latency(simulation),
                                EVENT_OUTCOME_REPLY, 1 - index);
        event->query = query.query;
        event->reached = true;
        event->local = local;
        event->body = json_incref(local.body);
        inject_owner_reply_fault(simulation, event);
        EbOutcomeQuery_Clear(&query);
    }
}

/* Events */

void
Simulation_ChangeConfig(Simulation *simulation)
{
    EbConfig *config = parse_next_config(&simulation->config_options);
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        SimulationDaemon *daemon = &simulation->daemons[i];
        if (daemon->alive) {
            EbLimiter_SetConfig(daemon->limiter, config);
            EbDispatcher_SetConfig(daemon->dispatcher, config,
                                   simulation->now_us);
        }
    }
    EbConfig_Unref(simulation->config);
    simulation->config = config;
}

static void
trigger_fault(Simulation *simulation, const SimulationEvent *event)
{
    SimulationDaemon *daemon = &simulation->daemons[event->daemon];
    Simulation_Log(simulation, "d%u: %s", event->daemon,
                   Fault_names[event->fault]);
    switch (event->fault) {
    case FAULT_OWNER_DEAD:
        Simulation_Kill(simulation, event->daemon);
        break;
    case FAULT_OWNER_PAUSED:
        daemon->paused_until_us =
            simulation->now_us + EB_LEDGER_HOLD_US + 1000000;
        break;
    case FAULT_CALLER_GONE:
        for (guint i = 0; i < simulation->requests->len; i++) {
            Simulation_CallerGone(simulation,
                                  g_ptr_array_index(simulation->requests, i));
        }
        break;
    case FAULT_DRAIN:
        EbDispatcher_Drain(daemon->dispatcher, simulation->now_us);
        break;
    case FAULT_ABORT:
        EbDispatcher_Abort(daemon->dispatcher, simulation->now_us);
        break;
    case FAULT_CONFIG:
        Simulation_ChangeConfig(simulation);
        break;
    case FAULT_DEADLINE:
        /* The daemon makes no progress until the deadline has passed. */
        daemon->paused_until_us = simulation->now_us + simulation->deadline_us;
        break;
    default:
        break;
    }
}

static void
deliver_reply(Simulation *simulation, const SimulationEvent *event)
{
    Call *call = event->call;
    if (call->finished) {
        return;
    }
    call->finished = event->attempt.kind != EB_ATTEMPT_TOKENS;
    SimulationDaemon *daemon = &simulation->daemons[event->daemon];
    Simulation_Log(simulation, "d%u: attempt %" G_GUINT64_FORMAT " %s",
                   event->daemon, call->attempt_id,
                   EbAttemptEventKind_names[event->attempt.kind]);
    EbDispatcher_AttemptEvent(daemon->dispatcher, &event->attempt,
                              simulation->now_us);
}

static void
check_owner(Simulation *simulation, SimulationEvent *event)
{
    SimulationDaemon *daemon = &simulation->daemons[event->daemon];
    const SimulationDaemon *owner = &simulation->daemons[event->peer];
    if (!owner->alive || owner->paused_until_us > simulation->now_us) {
        EbDispatcher_OwnerReply(daemon->dispatcher, event->query, false, NULL,
                                simulation->now_us);
        return;
    }
    SimulationEvent *next_check = Simulation_Schedule(
        simulation, OWNER_CHECK_INTERVAL_US, EVENT_CHECK_OWNER, event->daemon);
    next_check->peer = event->peer;
    next_check->query = event->query;
}

static void
deliver_to_daemon(Simulation *simulation, SimulationEvent *event)
{
    SimulationDaemon *daemon = &simulation->daemons[event->daemon];
    switch (event->kind) {
    case EVENT_REPLY:
        deliver_reply(simulation, event);
        break;
    case EVENT_STORE_REPLY:
        if (event->reply.owner == EB_STORE_OWNER_LEDGER) {
            EbLedger_StoreReply(daemon->ledger, &event->reply,
                                simulation->now_us);
            EbDispatcher_LedgerResults(daemon->dispatcher, simulation->now_us);
        }
        break;
    case EVENT_OUTCOME_QUERY: {
        char peer[8];
        g_snprintf(peer, sizeof(peer), "d%u", event->peer);
        EbDispatcher_QueryOutcome(daemon->dispatcher, peer, event->query,
                                  event->customer, event->key_digest,
                                  simulation->now_us);
        break;
    }
    case EVENT_OUTCOME_REPLY:
        EbDispatcher_OwnerReply(daemon->dispatcher, event->query,
                                event->reached, &event->local,
                                simulation->now_us);
        break;
    case EVENT_CHECK_OWNER:
        check_owner(simulation, event);
        break;
    default:
        trigger_fault(simulation, event);
        break;
    }
    Simulation_RunActions(simulation, event->daemon);
}

static void
handle_event(Simulation *simulation, SimulationEvent *event)
{
    SimulationDaemon *daemon = &simulation->daemons[event->daemon];
    switch (event->kind) {
    case EVENT_CALL_ARRIVES:
        Simulation_ReceiveCall(simulation, event->call);
        return;
    case EVENT_CALL_RUNS:
        Simulation_RunCall(simulation, event->call);
        return;
    case EVENT_STORE_REQUEST:
        Simulation_ReceiveStoreRequest(simulation, event);
        return;
    case EVENT_STORE_APPLY:
        Simulation_ApplyStoreRequest(simulation, event);
        return;
    default:
        break;
    }
    if (!daemon->alive || daemon->incarnation != event->incarnation) {
        return;
    }
    if (daemon->paused_until_us > simulation->now_us &&
        event->kind != EVENT_TRIGGER) {
        /* A paused daemon reads its sockets when it is resumed, in the same
         * order. */
        event->time_us = daemon->paused_until_us;
        return;
    }
    deliver_to_daemon(simulation, event);
}

static int64_t
next_timer(const Simulation *simulation, uint32_t *index)
{
    int64_t next_us = INT64_MAX;
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        const SimulationDaemon *daemon = &simulation->daemons[i];
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
Simulation_Step(Simulation *simulation, int64_t until_us)
{
    uint32_t index = 0;
    int64_t timer_us = next_timer(simulation, &index);
    GSequenceIter *first = g_sequence_get_begin_iter(simulation->scheduled);
    SimulationEvent *event =
        g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
    int64_t event_us = event != NULL ? event->time_us : INT64_MAX;
    int64_t next_us = MIN(timer_us, event_us);
    if (next_us == INT64_MAX) {
        return false;
    }
    if (next_us > until_us) {
        simulation->now_us = MAX(simulation->now_us, until_us);
        return false;
    }
    if (event_us > timer_us) {
        SimulationDaemon *daemon = &simulation->daemons[index];
        simulation->now_us = MAX(simulation->now_us, timer_us);
        EbLedger_Tick(daemon->ledger, simulation->now_us);
        EbDispatcher_LedgerResults(daemon->dispatcher, simulation->now_us);
        EbDispatcher_Tick(daemon->dispatcher, simulation->now_us);
        Simulation_RunActions(simulation, index);
        return true;
    }
    simulation->now_us = MAX(simulation->now_us, event_us);
    handle_event(simulation, event);
    if (event->time_us > simulation->now_us) {
        g_sequence_sort_changed(first, compare_events, NULL);
    }
    else {
        g_sequence_remove(first);
    }
    return true;
}

static bool
is_finished(const Simulation *simulation)
{
    for (guint i = 0; i < simulation->requests->len; i++) {
        const SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i);
        if (!request->answered && !request->cut) {
            return false;
        }
    }
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        const SimulationDaemon *daemon = &simulation->daemons[i];
        if (daemon->alive && (EbDispatcher_LiveCount(daemon->dispatcher) > 0 ||
                              EbLedger_UnwrittenCount(daemon->ledger) > 0)) {
            return false;
        }
    }
    return true;
}

void
Simulation_Run(Simulation *simulation, int64_t until_us)
{
    while (!simulation->failed && !is_finished(simulation) &&
           Simulation_Step(simulation, until_us)) {
    }
}

void
Simulation_CheckEnd(Simulation *simulation)
{
    for (guint i = 0; i < simulation->requests->len; i++) {
        const SimulationRequest *request =
            g_ptr_array_index(simulation->requests, i);
        if (!request->cut && request->answers != 1) {
            Simulation_Fail(simulation, "%s was answered %u times",
                            request->request_id, request->answers);
        }
    }
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        const SimulationDaemon *daemon = &simulation->daemons[i];
        if (daemon->alive && EbDispatcher_LiveCount(daemon->dispatcher) > 0) {
            Simulation_Fail(simulation, "d%u still has requests", i);
        }
    }
}
