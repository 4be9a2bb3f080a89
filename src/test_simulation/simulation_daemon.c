/* Starts and ends of daemons, and what they ask of their surroundings. */
#include <string.h>

#include "simulation_private.h"

/* Interval at which a daemon that waits for the reply of a claim's owner
 * learns whether the owner is still reachable. */
#define OWNER_CHECK_INTERVAL_US 2000000

void
Simulation_LogEvent(void *context, EbEventId event, const EbEventField *fields,
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

void
Simulation_StartDaemon(Simulation *simulation, uint32_t index)
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
    daemon->directives = EbDirectives_New(&(EbDirectivesOptions){
        .instance = daemon->name, .random = &daemon->random});
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
                               .directives = daemon->directives,
                               .metrics = daemon->metrics,
                               .ask_owner = ask_owner,
                               .context = simulation});
    EbDispatcher_SetConfig(daemon->dispatcher, simulation->config,
                           simulation->now_us);
}

void
Simulation_StopDaemon(SimulationDaemon *daemon)
{
    EbDispatcher_Free(daemon->dispatcher);
    EbMetrics_Free(daemon->metrics);
    EbQuarantine_Free(daemon->quarantine);
    EbDirectives_Free(daemon->directives);
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
    Simulation_StopDaemon(&simulation->daemons[index]);
}

void
Simulation_Restart(Simulation *simulation, uint32_t index)
{
    Simulation_Log(simulation, "d%u: restarts", index);
    Simulation_StartDaemon(simulation, index);
}

void
Simulation_CheckOwner(Simulation *simulation, SimulationEvent *event)
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
