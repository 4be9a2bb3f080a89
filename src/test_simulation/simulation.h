/* Simulation: daemons, a store and backend servers in one process on a virtual
 * clock, driven by the actions of the dispatcher and the ledger.
 *
 * Everything that happens is a scheduled event, so that a run is determined
 * by its seed. After each event the rules of docs/design.md, section 2, are
 * checked against the backend servers' own record; Simulation_Fail reports. */
#ifndef EB_TEST_SIMULATION_H
#define EB_TEST_SIMULATION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/dispatcher.h"

#define SIMULATION_DAEMONS 2
#define SIMULATION_TOKENS 6 /* generated for every request */
#define SIMULATION_TOKEN "caller-token"
#define SIMULATION_OTHER_TOKEN "other-caller-token" /* of customer `d` */

/* What a message to the store or a server belongs to. */
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
    /* Of a backend server. */
    FAULT_REFUSED,
    FAULT_BROKEN,     /* before it ran */
    FAULT_BROKEN_RAN, /* after it ran; a stream after half its tokens */
    FAULT_SILENT,     /* never runs, never answers */
    FAULT_SILENT_RAN, /* runs, never answers */
    FAULT_SLOW,       /* answers within its time-out */
    FAULT_LATE,       /* answers after its time-out */
    FAULT_WRONG_ECHO, /* runs, answers for another request */
    FAULT_MALFORMED,  /* runs, answers nonsense */
    FAULT_STATUS_429,
    FAULT_STATUS_503,
    FAULT_STATUS_500, /* runs */
    FAULT_STATUS_400,
    FAULT_LEAVING, /* answers and announces that it leaves */
    FAULT_CRASH,   /* the server breaks all its calls */
    /* Of the store. */
    FAULT_STORE_UNAVAILABLE,
    FAULT_STORE_SLOW,
    FAULT_STORE_LOST,        /* without effect */
    FAULT_STORE_LOST_EFFECT, /* took effect, the answer is lost */
    FAULT_STORE_LOST_LATE,   /* takes effect after the answer is lost */
    FAULT_STORE_STALE,       /* a read of the state before the last write */
    /* Of everything else, set off when a message of the step is sent. */
    FAULT_OWNER_DEAD,
    FAULT_OWNER_PAUSED, /* past its hold */
    FAULT_CALLER_GONE,
    FAULT_DEADLINE,
    FAULT_DRAIN,
    FAULT_ABORT,
    FAULT_CONFIG,
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
    bool gone; /* the caller left, or its daemon died */
    bool answered;
    uint32_t answers;
    EbOutcome outcome;
    EbReason reason;
    bool replayed;
    int64_t retry_after_us;
    int64_t total_us;
    int64_t submitted_us;
    uint64_t relayed; /* tokens */
} SimulationRequest;

/* What backend servers know of a key, or of a request without one. */
typedef struct {
    uint32_t runs;           /* of the non-idempotent call */
    uint32_t pending;        /* such calls sent and not refused */
    uint32_t received_calls; /* calls of any stage */
    bool reported_not_run;
    json_t *result;
} SimulationRecord;

/* Configuration document with pipelines `ask` (encode, retrieve, generate),
 * `full` (rerank too) and `pay` (all and a non-idempotent call).
 *
 * lookup: the called service can be asked for a key.
 * resumes: the engines resume streams.
 * deadline_ms: of each pipeline.
 *
 * Returns new memory for g_free(). */
typedef struct {
    uint64_t generation;
    bool lookup;
    bool restarts;            /* the engines can't resume streams */
    uint32_t deadline_ms;     /* 0: 4000 */
    uint32_t servers;         /* per pool; 0: 3 */
    uint32_t capacity;        /* per server; 0: 8 */
    const char *contract;     /* members of the customer's contract, or NULL */
    uint32_t full_max_tokens; /* of pipeline `full`; 0: 64 */
} SimulationConfig;

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
    GHashTable *objects; /* name to StoredObject, see simulation.c */
    uint64_t store_version;
    GHashTable *records;  /* key or request id to SimulationRecord */
    GPtrArray *requests;  /* of SimulationRequest */
    GHashTable *calls;    /* set of Call, see simulation_private.h */
    GSequence *scheduled; /* of SimulationEvent */
    uint64_t next_sequence;
    Injection injections[4];
    uint32_t injection_count;
    const char
        *exempt_request_id; /* request that meets no injected fault, or NULL */
    uint32_t fault_permille; /* random faults */
    uint32_t faults_hit;
    uint32_t retired; /* RETIRE_CONNECTIONS actions */
    uint32_t crashes;
    uint32_t tokens_sent; /* by all engines */
    EbEventSink sink;
    uint32_t latency_us;
    int64_t deadline_us; /* length of a pause that FAULT_DEADLINE causes */
    bool failed;
    GString *trace;
    char failure[256];
} Simulation;

typedef struct {
    uint64_t seed;
    SimulationConfig config;
    EbPolicy policy;
    uint32_t max_requests;
    uint32_t latency_us; /* longest delay of a message; 0: 1000 */
} SimulationOptions;

Simulation *Simulation_New(const SimulationOptions *options);
void Simulation_Free(Simulation *simulation);

typedef struct {
    uint32_t daemon;
    const char *pipeline;
    const char *key;
    const char *input;
    const char *token; /* NULL: SIMULATION_TOKEN */
    int64_t timeout_us;
    bool stream;
} SimulationSubmit;

SimulationRequest *Simulation_Submit(Simulation *simulation,
                                     const SimulationSubmit *submit);

/* Handles the next event. Returns false when nothing is left to happen
 * before `until_us`. */
bool Simulation_Step(Simulation *simulation, int64_t until_us);

/* Runs until every request is settled, at most to `until_us`. */
void Simulation_Run(Simulation *simulation, int64_t until_us);

/* Checks that every request was answered exactly once. */
void Simulation_CheckEnd(Simulation *simulation);

/* State of a key's claim: "absent", "claimed", "done", ... */
const char *Simulation_ClaimState(Simulation *simulation, const char *key);
SimulationRecord *Simulation_Record(Simulation *simulation, const char *key);

/* Sets off faults of whole daemons or callers that belong to a step. */
void Simulation_Trigger(Simulation *simulation, Step step, uint32_t daemon,
                        const char *request_id);

void Simulation_Kill(Simulation *simulation, uint32_t daemon);
void Simulation_Restart(Simulation *simulation, uint32_t daemon);
void Simulation_ChangeConfig(Simulation *simulation);
/* Handles all actions of a daemon. */
void Simulation_RunActions(Simulation *simulation, uint32_t daemon);
void Simulation_CallerGone(Simulation *simulation, SimulationRequest *request);

void Simulation_Log(Simulation *simulation, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void Simulation_Fail(Simulation *simulation, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
