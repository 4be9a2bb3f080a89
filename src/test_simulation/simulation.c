/* Virtual clock, trace, actions and events of the daemons. */
#include "simulation.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "simulation_private.h"

#define MAX_TRACE_BYTES ((size_t)64 * 1024)

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
    simulation->sink = (EbEventSink){Simulation_LogEvent, simulation};
    simulation->policy = options->policy;
    simulation->max_requests = options->max_requests;
    simulation->config_options = options->config;
    simulation->config = parse_next_config(&simulation->config_options);
    simulation->deadline_us = simulation->config->pipelines[0].deadline_us;
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        Simulation_StartDaemon(simulation, i);
    }
    return simulation;
}

void
Simulation_Free(Simulation *simulation)
{
    for (uint32_t i = 0; i < SIMULATION_DAEMONS; i++) {
        if (simulation->daemons[i].alive) {
            Simulation_StopDaemon(&simulation->daemons[i]);
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
            Simulation_CheckAnswer(simulation, index, &action.as.answer);
            break;
        case EB_ACTION_RELAY:
            Simulation_CheckRelay(simulation, index, &action.as.relay);
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
        Simulation_InjectOwnerReplyFault(simulation, event);
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
        Simulation_CheckOwner(simulation, event);
        break;
    default:
        Simulation_CauseFault(simulation, event);
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
