#ifndef EB_TEST_SIMULATION_PRIVATE_H
#define EB_TEST_SIMULATION_PRIVATE_H

#include "simulation.h"

/* A call sent to a backend server. */
typedef struct {
    uint32_t daemon;
    uint64_t incarnation;
    uint64_t attempt_id;
    char *request_id;
    char *server_id;
    char *key;
    json_t *body;
    EbStageKind kind;
    uint32_t stage;
    uint32_t number; /* of the attempt; echoed in the answer */
    bool lookup;
    bool at_most_once; /* the non-idempotent call */
    bool finished;     /* its last event was delivered */
    Fault fault;
} Call;

typedef enum {
    EVENT_CALL_ARRIVES,  /* a call reaches its server */
    EVENT_CALL_RUNS,     /* the server runs the non-idempotent call */
    EVENT_REPLY,         /* an event of the attempt reaches the daemon */
    EVENT_STORE_REQUEST, /* a request reaches the store */
    EVENT_STORE_APPLY,   /* a write takes effect after its answer was lost */
    EVENT_STORE_REPLY,
    EVENT_OUTCOME_QUERY, /* reaches the owner of a claim */
    EVENT_OUTCOME_REPLY, /* reaches the daemon that asked */
    EVENT_CHECK_OWNER,   /* check whether a claim's owner is reachable */
    EVENT_TRIGGER,       /* a fault of a daemon or a caller happens */
} SimulationEventKind;

typedef struct {
    int64_t time_us;
    uint64_t sequence;
    SimulationEventKind kind;
    uint32_t daemon; /* sender of a call or store request, else receiver */
    uint64_t incarnation;
    Call *call;
    EbAttemptEvent attempt;
    EbStoreRequest store;
    EbStoreReply reply;
    Fault fault;
    bool reached; /* the owner answered the query */
    uint64_t query;
    uint32_t peer; /* the other daemon of an outcome query */
    char *customer;
    char *key_digest;
    char *request_id;
    EbLedgerLocalClaim local;
    json_t *body; /* owned; used by attempt, reply or local */
    char *text;   /* owned; used by attempt */
} SimulationEvent;

/* Schedules an event and returns it, so that the caller can fill in the other
 * members. The simulation owns and frees it. */
SimulationEvent *Simulation_Schedule(Simulation *simulation, int64_t delay_us,
                                     SimulationEventKind kind,
                                     uint32_t daemon);

/* Returns a random delay for one message, in microseconds. */
int64_t Simulation_Latency(Simulation *simulation);

/* simulation_daemon.c */

/* EbEventSink callback; `context` is the simulation. */
void Simulation_LogEvent(void *context, EbEventId event,
                         const EbEventField *fields, size_t field_count);
void Simulation_StartDaemon(Simulation *simulation, uint32_t index);
void Simulation_StopDaemon(SimulationDaemon *daemon);

/* Tells a daemon that asked a claim's owner if the owner is unreachable. */
void Simulation_CheckOwner(Simulation *simulation, SimulationEvent *event);

/* simulation_caller.c */

/* Checks that the outcome agrees with the backend servers' own record. */
void Simulation_CheckAnswer(Simulation *simulation, uint32_t daemon,
                            const EbAnswer *answer);

/* Checks that the tokens are the next ones of their request. */
void Simulation_CheckRelay(Simulation *simulation, uint32_t daemon,
                           const EbRelay *relay);

/* simulation_fault.c */

/* Returns the fault that happens to a message: the first injected one that
 * remains for the step, otherwise a random one or FAULT_NONE.
 *
 * store: the message goes to the store, not to a backend server. */
Fault Simulation_ChooseFault(Simulation *simulation, Step step, bool store);

/* With the probability of a random fault, makes the owner unreachable, or its
 * reply out of date or without a body. */
void Simulation_InjectOwnerReplyFault(Simulation *simulation,
                                      SimulationEvent *event);

/* Lets the fault of an EVENT_TRIGGER happen. */
void Simulation_CauseFault(Simulation *simulation,
                           const SimulationEvent *event);

/* simulation_backend.c */
void Simulation_SendCall(Simulation *simulation, uint32_t daemon,
                         const EbSendAttempt *send);
void Simulation_ReceiveCall(Simulation *simulation, Call *call);
void Simulation_RunCall(Simulation *simulation, Call *call);
void Simulation_FreeCall(gpointer call);

/* simulation_store.c */
void Simulation_SendStoreRequest(Simulation *simulation, uint32_t daemon,
                                 EbStoreRequest *store);
void Simulation_ApplyStoreRequest(Simulation *simulation,
                                  SimulationEvent *event);
void Simulation_ReceiveStoreRequest(Simulation *simulation,
                                    SimulationEvent *event);
void Simulation_FreeObject(gpointer object);

#endif
