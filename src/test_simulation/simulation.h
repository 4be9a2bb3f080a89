/* Simulation: daemons, a store and backend servers in one process on a virtual
 * clock. The daemons are real dispatchers and ledgers, whose actions the
 * simulation carries out.
 *
 * Scheduled events and the daemons' timers are handled in the order of the
 * virtual clock, so the seed determines the run. When calls run and answers
 * are given, the simulation checks the rules of docs/design.md, section 2,
 * against the backend servers' own record. Simulation_Fail records the first
 * violation. */
#ifndef EB_TEST_SIMULATION_H
#define EB_TEST_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/dispatcher.h"

#define SIMULATION_DAEMONS 2
#define SIMULATION_TOKENS 6                         /* generated per request */
#define SIMULATION_TOKEN "caller-token"             /* customer `c` */
#define SIMULATION_OTHER_TOKEN "other-caller-token" /* customer `d` */

/* Step of a request at which a fault can be injected: inside the daemon, or
 * with a message to the store or to a backend server. */
typedef enum {
    STEP_ADMIT,
    STEP_QUEUE,
    STEP_CLAIM,
    STEP_ENCODE,
    STEP_RETRIEVE,
    STEP_RERANK,
    STEP_GENERATE,
    STEP_CALL,
    STEP_RECORD,
    STEP_ANSWER,
    STEP_DRAIN,
    STEP_LOOKUP,
    STEP_COUNT
} Step;

extern const char *const Step_names[STEP_COUNT];

typedef enum {
    FAULT_NONE,
    /* Faults of a backend server. */
    FAULT_REFUSED,
    FAULT_BROKEN,     /* connection lost before the call runs */
    FAULT_BROKEN_RAN, /* after it ran; a stream after half of its tokens */
    FAULT_SILENT,     /* never runs, never answers */
    FAULT_SILENT_RAN, /* runs, never answers */
    FAULT_SLOW,       /* answers late, but within the time-out */
    FAULT_LATE,       /* answers after the time-out */
    FAULT_WRONG_ECHO, /* runs, answers with another request's id */
    FAULT_MALFORMED,  /* runs, answers with an invalid body */
    FAULT_STATUS_429,
    FAULT_STATUS_503,
    FAULT_STATUS_500, /* runs */
    FAULT_STATUS_400,
    FAULT_LEAVING, /* answers and announces that the server leaves */
    FAULT_CRASH,   /* the server breaks the connections of all its calls */
    /* Faults of the store. */
    FAULT_STORE_UNAVAILABLE,
    FAULT_STORE_SLOW,
    FAULT_STORE_LOST,        /* no effect, the answer is lost */
    FAULT_STORE_LOST_EFFECT, /* takes effect, the answer is lost */
    FAULT_STORE_LOST_LATE,   /* answer lost, takes effect later */
    FAULT_STORE_STALE, /* a read returns the state before the last write */
    /* Faults of a daemon or a caller and changes of the deployment, which
     * happen when a message of the step is sent. */
    FAULT_OWNER_DEAD,
    FAULT_OWNER_PAUSED, /* until after its hold has expired */
    FAULT_CALLER_GONE,
    FAULT_DEADLINE, /* the daemon is paused until the deadline has passed */
    FAULT_DRAIN,    /* the daemon begins to drain */
    FAULT_ABORT,    /* the daemon ends all requests, as at the drain limit */
    FAULT_CONFIG,   /* a new generation is applied */
    FAULT_COUNT
} Fault;

extern const char *const Fault_names[FAULT_COUNT];

/* A fault that happens to the next `count` messages of a step. */
typedef struct {
    Fault fault;
    Step step;
    uint32_t count;
} Injection;

typedef struct {
    char name[8];
    bool alive;
    uint64_t incarnation;
    int64_t paused_until_us;
    EbActionQueue *actions;
    EbRandom random;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDirectives *directives;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
} SimulationDaemon;

/* A caller's request at one daemon. */
typedef struct {
    char *request_id;
    char *key; /* NULL when there is none */
    char *input;
    char *pipeline;
    uint32_t daemon;
    uint64_t incarnation;
    uint64_t handle; /* 0 while it is being submitted */
    bool stream;
    bool cut; /* the caller closed its connection, or its daemon died */
    bool answered;
    uint32_t answers;
    EbOutcome outcome;
    EbReason reason;
    bool replayed;
    int64_t retry_after_us;
    int64_t total_us;
    int64_t submitted_us;
    uint64_t relayed; /* tokens passed on to the caller */
} SimulationRequest;

/* The backend servers' own record of a key, or of a request without one. */
typedef struct {
    uint32_t runs;           /* executions of the non-idempotent call */
    uint32_t pending;        /* non-idempotent calls sent and not refused */
    uint32_t received_calls; /* calls received, of any stage */
    bool reported_not_run;   /* a caller was told not-run */
    json_t *result;
} SimulationRecord;

/* Options of the configuration document. It has the pipelines `ask` (encode,
 * retrieve, generate), `full` (with rerank) and `pay` (all of these and a
 * non-idempotent call). */
typedef struct {
    uint64_t generation;
    bool lookup;        /* the service can be asked for the outcome of a key */
    bool cannot_resume; /* generate servers can't resume streams */
    uint32_t deadline_ms;     /* of each pipeline; 0: 4000 */
    uint32_t servers;         /* per pool; 0: 3 */
    uint32_t capacity;        /* per server; 0: 8 */
    const char *contract;     /* members of the customer's contract, or NULL */
    uint32_t full_max_tokens; /* of pipeline `full`; 0: 64 */
} SimulationConfig;

/* Returns the configuration document as JSON; free it with g_free(). */
char *Simulation_Config(const SimulationConfig *config);

typedef struct Simulation {
    uint64_t seed;
    int64_t now_us;
    EbRandom random;
    SimulationDaemon daemons[SIMULATION_DAEMONS];
    EbConfig *config;
    SimulationConfig config_options;
    EbPolicy policy;
    uint32_t max_requests;
    /* "kind/name" to StoredObject, see simulation_store.c */
    GHashTable *objects;
    uint64_t store_version;
    GHashTable *records;  /* key or request id to SimulationRecord */
    GPtrArray *requests;  /* of SimulationRequest */
    GHashTable *calls;    /* set of Call, see simulation_private.h */
    GSequence *scheduled; /* of SimulationEvent */
    uint64_t next_sequence;
    Injection injections[4];
    uint32_t injection_count;
    const char *exempt_request_id; /* its calls meet no faults; may be NULL */
    uint32_t fault_permille;       /* probability of random faults */
    uint32_t faults_hit;
    uint32_t retired; /* number of EB_ACTION_RETIRE_CONNECTIONS */
    uint32_t crashes;
    uint32_t tokens_sent; /* by all generate servers */
    EbEventSink sink;
    uint32_t latency_us;
    /* Deadline of the first pipeline, and pause of FAULT_DEADLINE. */
    int64_t deadline_us;
    bool failed;
    GString *trace;
    char failure[256];
} Simulation;

typedef struct {
    uint64_t seed;
    SimulationConfig config;
    EbPolicy policy;
    uint32_t max_requests;
    uint32_t latency_us; /* maximum delay of a message; 0: 1000 */
} SimulationOptions;

/* Returns a simulation in which all daemons run; free it with
 * Simulation_Free(). */
Simulation *Simulation_New(const SimulationOptions *options);
void Simulation_Free(Simulation *simulation);

typedef struct {
    uint32_t daemon;
    const char *pipeline;
    const char *key; /* NULL: no idempotency key */
    const char *input;
    const char *token;  /* NULL: SIMULATION_TOKEN */
    int64_t timeout_us; /* 0: the deadline of the pipeline */
    bool stream;
} SimulationSubmit;

/* Submits a request to a daemon that is alive. The simulation owns the request
 * that is returned. */
SimulationRequest *Simulation_Submit(Simulation *simulation,
                                     const SimulationSubmit *submit);

/* Handles the next event or timer and moves the clock to it.
 *
 * Returns false if there is none up to `until_us`. If a later one exists, the
 * clock is then moved to `until_us`. */
bool Simulation_Step(Simulation *simulation, int64_t until_us);

/* Runs until every request has ended and every outcome is written, at most
 * until `until_us`. */
void Simulation_Run(Simulation *simulation, int64_t until_us);

/* Checks that every request that was not cut was answered exactly once, and
 * that no daemon has live requests. */
void Simulation_CheckEnd(Simulation *simulation);

/* Returns the state of a key's claim in the store, such as "claimed" or
 * "done", or "absent". */
const char *Simulation_ClaimState(Simulation *simulation, const char *key);

/* Returns the backend servers' record of a key or request id; creates it if
 * there is none. */
SimulationRecord *Simulation_Record(Simulation *simulation, const char *key);

/* Schedules the injected faults of daemons and callers that belong to a step.
 *
 * daemon: the daemon at which they happen.
 * request_id: the request that reached the step; NULL if unknown. */
void Simulation_Trigger(Simulation *simulation, Step step, uint32_t daemon,
                        const char *request_id);

/* Kills a daemon; its unanswered requests are cut. */
void Simulation_Kill(Simulation *simulation, uint32_t daemon);
/* Starts a killed daemon with the next incarnation. */
void Simulation_Restart(Simulation *simulation, uint32_t daemon);
/* Applies a configuration with the next generation at all live daemons. */
void Simulation_ChangeConfig(Simulation *simulation);
/* Carries out all actions that a daemon has queued. */
void Simulation_RunActions(Simulation *simulation, uint32_t daemon);
/* Closes the caller's connection, unless the request has ended. */
void Simulation_CallerGone(Simulation *simulation, SimulationRequest *request);

/* Adds a line to the trace. */
void Simulation_Log(Simulation *simulation, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Records the first violated rule; the simulation then counts as failed. */
void Simulation_Fail(Simulation *simulation, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
