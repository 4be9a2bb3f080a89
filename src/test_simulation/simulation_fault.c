/* Faults of messages, daemons and callers. */
#include "simulation_private.h"

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

void
Simulation_InjectOwnerReplyFault(Simulation *simulation,
                                 SimulationEvent *event)
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
Simulation_CauseFault(Simulation *simulation, const SimulationEvent *event)
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
        EbDispatcher_Drain(daemon->dispatcher, INT64_MAX, simulation->now_us);
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
