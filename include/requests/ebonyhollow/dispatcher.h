/* EbDispatcher: the requests of this daemon.
 *
 * Owns live requests and attempts. It alone decides admission, hand-out,
 * retry, hedge, resume and outcome. Events go in through its functions in the
 * order in which they happened, actions come out of the action queue. Each
 * submission leads to exactly one EB_ACTION_ANSWER. */
#ifndef EBONYHOLLOW_DISPATCHER_H
#define EBONYHOLLOW_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/ledger.h"
#include "ebonyhollow/limiter.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/pool.h"
#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/random.h"

typedef struct EbDispatcher EbDispatcher;

typedef enum {
    EB_POLICY_ADAPTIVE,
    EB_POLICY_PLAIN, /* round robin, first come first served, three retries,
                        no admission: the baseline for measurements */
    EB_POLICY_COUNT
} EbPolicy;

extern const char *const EbPolicy_names[EB_POLICY_COUNT];

typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *failure_domain;
    EbPolicy policy;
    uint32_t max_requests; /* live requests; 0: 4096 */
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbMetrics *metrics;
    /* Asks the owner of a claim for a key's outcome. Returns false when the
     * owner is dead or unknown; the answer comes through
     * EbDispatcher_OwnerReply with the same query number. */
    bool (*ask_owner)(void *context, const EbLedgerResult *held,
                      uint64_t query, const char *customer,
                      const char *key_digest, int64_t now_us);
    /* Tells the other daemons that a backend server is leaving, unless the
     * notice came from one of them. */
    void (*server_leaving)(void *context, const char *server_id,
                           int64_t now_us);
    void *context;
} EbDispatcherOptions;

EbDispatcher *EbDispatcher_New(const EbDispatcherOptions *options);
void EbDispatcher_Free(EbDispatcher *dispatcher);

/* Takes a new configuration. Live requests finish with their own. */
void EbDispatcher_SetConfig(EbDispatcher *dispatcher, EbConfig *config,
                            int64_t now_us);

/* Sets the number of live daemons, which share the connections that backend
 * servers take. */
void EbDispatcher_SetDaemonCount(EbDispatcher *dispatcher, uint32_t daemons,
                                 int64_t now_us);

/* A caller's request. Everything is borrowed for the call. */
typedef struct {
    const char *request_id;
    const char *token; /* bearer token, NULL when absent */
    const char *pipeline;
    const char *body; /* JSON text */
    size_t body_bytes;
    const char *idempotency_key; /* NULL when absent */
    const char *traceparent;     /* NULL when absent */
    int64_t timeout_us;          /* 0: the pipeline's deadline */
    bool stream;                 /* relay generated tokens */
    /* A forwarded request; the other fields are not used then. The
     * dispatcher keeps a reference. */
    EbForwardCall *forward;
} EbSubmission;

/* Takes a request. Returns its handle, never 0. The answer may be in the
 * action queue when this returns. */
uint64_t EbDispatcher_Submit(EbDispatcher *dispatcher,
                             const EbSubmission *submission, int64_t now_us);

/* The caller's connection closed before the answer. No answer action follows
 * for the handle any more; a claimed call that was handed out goes on and its
 * outcome is recorded. */
void EbDispatcher_CallerGone(EbDispatcher *dispatcher, uint64_t request,
                             int64_t now_us);

/* What happened to an attempt. */
typedef enum {
    EB_ATTEMPT_REFUSED,   /* connect failed: nothing was sent */
    EB_ATTEMPT_ANSWERED,  /* whole answer to a call without stream */
    EB_ATTEMPT_TOKENS,    /* some tokens of a stream */
    EB_ATTEMPT_ENDED,     /* orderly end of a stream */
    EB_ATTEMPT_BROKEN,    /* closed or reset before the end */
    EB_ATTEMPT_MALFORMED, /* the answer breaks the protocol */
    EB_ATTEMPT_STREAMING, /* head of a forwarded stream */
    EB_ATTEMPT_EVENTS,    /* a whole event of a forwarded stream */
    EB_ATTEMPT_EVENT_COUNT
} EbAttemptEventKind;

extern const char *const EbAttemptEventKind_names[EB_ATTEMPT_EVENT_COUNT];

typedef struct {
    uint64_t attempt_id;
    EbAttemptEventKind kind;
    uint16_t http_status; /* ANSWERED; a stream refused by status as well */
    json_t *body;         /* ANSWERED: borrowed, NULL when there is none */
    const char *echo_request_id; /* NULL when absent */
    int64_t echo_stage;          /* -1 when absent */
    int64_t echo_attempt;        /* -1 when absent */
    uint64_t token_index;        /* TOKENS: index of the first */
    uint32_t token_count; /* TOKENS; 0: the attempt is not read, since its
                             caller is slow, and is no silent server */
    const char *text;     /* TOKENS */
    bool leaving;         /* the answer announced that the server leaves */
    bool has_load;        /* the answer carried a load report */
    uint32_t load_running;
    uint32_t load_waiting;
    /* Forwarded calls. */
    EbHttpMessage *reply;   /* ANSWERED: whole; STREAMING: head; borrowed */
    EbForwardReply forward; /* what that head says */
    int64_t event_id;       /* EVENTS; -1: without id */
    const uint8_t *bytes;   /* EVENTS */
    size_t byte_count;
} EbAttemptEvent;

/* Takes an attempt's event. Events of attempts that ended are ignored. */
void EbDispatcher_AttemptEvent(EbDispatcher *dispatcher,
                               const EbAttemptEvent *event, int64_t now_us);

/* How a preparation ended. */
typedef enum {
    EB_PREPARED_OK,
    EB_PREPARED_INPUT_GONE, /* an earlier result no longer exists */
    EB_PREPARED_LATE,
    EB_PREPARED_FAILED,
    EB_PREPARED_STATUS_COUNT
} EbPreparedStatus;

extern const char *const EbPreparedStatus_names[EB_PREPARED_STATUS_COUNT];

/* Takes the end of a preparation: one handle for each work item, in order,
 * when it succeeded. Unknown jobs are ignored. */
void EbDispatcher_PreparationEnded(EbDispatcher *dispatcher, uint64_t job,
                                   EbPreparedStatus status,
                                   char *const *handles, uint32_t handle_count,
                                   int64_t now_us);

/* Takes the results that the ledger has ready. Call it after each event
 * given to the ledger. */
void EbDispatcher_LedgerResults(EbDispatcher *dispatcher, int64_t now_us);

/* Takes the answer to ask_owner. `reached` false: the owner could not be
 * asked. `local` is borrowed. */
void EbDispatcher_OwnerReply(EbDispatcher *dispatcher, uint64_t query,
                             bool reached, const EbLedgerLocalClaim *local,
                             int64_t now_us);

/* Fills in what is known of a key and, while it is running here, registers
 * the asking peer; its answer comes through EbDispatcher_NextOutcomeQuery. */
typedef struct {
    char *peer; /* instance that asked */
    uint64_t query;
    char *customer;
    char *key_digest;
} EbOutcomeQuery;

void EbDispatcher_QueryOutcome(EbDispatcher *dispatcher, const char *peer,
                               uint64_t query, const char *customer,
                               const char *key_digest, int64_t now_us);

/* Takes the next question that can be answered now through EbLedger_FindLocal;
 * free it with EbOutcomeQuery_Clear. Returns false when there is none. */
bool EbDispatcher_NextOutcomeQuery(EbDispatcher *dispatcher,
                                   EbOutcomeQuery *query);
void EbOutcomeQuery_Clear(EbOutcomeQuery *query);

/* A backend server leaves, or is back, according to `source`: "platform", or
 * "peer" for a notice that is not passed on. */
void EbDispatcher_ServerLeaving(EbDispatcher *dispatcher,
                                const char *server_id, bool leaving,
                                const char *source, int64_t now_us);

void EbDispatcher_Tick(EbDispatcher *dispatcher, int64_t now_us);

/* Time of the next Tick that does something, or INT64_MAX. */
int64_t EbDispatcher_NextTimer(const EbDispatcher *dispatcher);

/* Refuses new requests from now on. */
void EbDispatcher_Drain(EbDispatcher *dispatcher, int64_t now_us);

/* Answers every live request with its true outcome at once. */
void EbDispatcher_Abort(EbDispatcher *dispatcher, int64_t now_us);

/* Requests not finished, detached ones included. */
size_t EbDispatcher_LiveCount(const EbDispatcher *dispatcher);

/* Pool of the configuration in force, for the administration API. */
size_t EbDispatcher_PoolCount(const EbDispatcher *dispatcher);
const EbPool *EbDispatcher_Pool(const EbDispatcher *dispatcher, size_t index);

typedef enum {
    EB_REQUEST_RECEIVED,
    EB_REQUEST_CLAIMING,
    EB_REQUEST_ASKING_OWNER,
    EB_REQUEST_PREPARING, /* stages before a forwarded request run */
    EB_REQUEST_QUEUED,
    EB_REQUEST_RUNNING,
    EB_REQUEST_CALLING, /* a non-idempotent call is handed out */
    EB_REQUEST_DETACHED,
    EB_REQUEST_FINISHED,
    EB_REQUEST_STATE_COUNT
} EbRequestState;

extern const char *const EbRequestState_names[EB_REQUEST_STATE_COUNT];

/* Calls `visit` with a JSON description of each live request and of recently
 * finished ones: id, customer, pipeline, state, stage, age and the trace of
 * claims, attempts, hedges and the outcome. request_id NULL means all. */
void EbDispatcher_DescribeRequests(
    const EbDispatcher *dispatcher, const char *request_id, int64_t now_us,
    void (*visit)(void *context, json_t *request), void *context);

#endif
