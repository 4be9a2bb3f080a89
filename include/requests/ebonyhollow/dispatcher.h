/* EbDispatcher: the requests of this daemon.
 *
 * Owns the live requests and their attempts, and is the only module that
 * decides on admission, sending, retries, hedges, resumes and outcomes. Its
 * functions have to be called with events in the order in which these
 * happened, and they append the resulting actions to the action queue. Each
 * submission produces exactly one EB_ACTION_ANSWER, or none if the caller
 * disconnects first.
 *
 * Times are monotonic microseconds; `now_us` is the time of the event. */
#ifndef EBONYHOLLOW_DISPATCHER_H
#define EBONYHOLLOW_DISPATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/directives.h"
#include "ebonyhollow/evacuations.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/ledger.h"
#include "ebonyhollow/limiter.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/pool.h"
#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/suspects.h"

typedef struct EbDispatcher EbDispatcher;

typedef enum {
    EB_POLICY_ADAPTIVE,
    EB_POLICY_PLAIN, /* baseline for measurements: round robin, first come
                        first served, three retries, no admission */
    EB_POLICY_COUNT
} EbPolicy;

extern const char *const EbPolicy_names[EB_POLICY_COUNT];

/* The strings are copied; the modules must outlive the dispatcher. `events`
 * may be NULL. */
typedef struct {
    const char *instance; /* of this daemon */
    uint64_t incarnation;
    const char *failure_domain;
    EbPolicy policy;
    uint32_t max_requests;         /* bound on live requests; 0: 4096 */
    bool measure_speeds;           /* of servers, see EbPoolOptions */
    uint32_t least_class_permille; /* see EbQueueOptions */
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDirectives *directives;
    const EbEvacuations *evacuations; /* NULL: every domain is open */
    EbSuspects *suspects; /* NULL: broken forwarded calls are no evidence */
    EbMetrics *metrics;
    /* Asks the owner of a claim for the outcome of a key. Returns false when
     * the owner is dead or unknown. Otherwise EbDispatcher_OwnerReply is
     * called later with the same query number. May be NULL. */
    bool (*ask_owner)(void *context, const EbLedgerResult *held,
                      uint64_t query, const char *customer,
                      const char *key_digest, int64_t now_us);
    /* Tells the other daemons that a backend server is leaving. Not called
     * when one of them sent the notice. May be NULL. */
    void (*server_leaving)(void *context, const char *server_id,
                           int64_t now_us);
    void *context; /* passed to the callbacks */
} EbDispatcherOptions;

/* Creates a dispatcher. Strings in `options` are copied; the modules,
 * `actions`, `random`, `events` and `metrics` are borrowed and must outlive
 * the dispatcher. Free it with EbDispatcher_Free. */
EbDispatcher *EbDispatcher_New(const EbDispatcherOptions *options);

/* Frees a dispatcher and its requests, without answers. Accepts NULL. */
void EbDispatcher_Free(EbDispatcher *dispatcher);

/* Applies a new configuration and keeps a reference to it. Live requests
 * finish with the one that was in force at their submission. */
void EbDispatcher_SetConfig(EbDispatcher *dispatcher, EbConfig *config,
                            int64_t now_us);

/* Sets the incarnation of this daemon, by which it recognises its own claims.
 */
void EbDispatcher_SetIncarnation(EbDispatcher *dispatcher,
                                 uint64_t incarnation);

/* Sets the number of live daemons, this one included. They share the
 * connections that backend servers accept. */
void EbDispatcher_SetDaemonCount(EbDispatcher *dispatcher, uint32_t daemons,
                                 int64_t now_us);

/* A caller's request. Everything is borrowed during EbDispatcher_Submit. */
typedef struct {
    const char *request_id;
    const char *token; /* bearer token, NULL when absent */
    const char *pipeline;
    const char *body; /* JSON text */
    size_t body_bytes;
    const char *idempotency_key; /* NULL when absent */
    const char *traceparent;     /* NULL when absent */
    int64_t timeout_us;          /* 0: the pipeline's deadline, the maximum */
    bool stream;                 /* relay generated tokens */
    /* A forwarded request, or NULL. When set, the other members are not used
     * and the dispatcher keeps a reference. */
    EbForwardCall *forward;
} EbSubmission;

/* Submits a request. Its answer, for example a refusal, may be in the action
 * queue when this returns.
 *
 * Returns the handle of the request, never 0. */
uint64_t EbDispatcher_Submit(EbDispatcher *dispatcher,
                             const EbSubmission *submission, int64_t now_us);

/* Reports that a caller's connection closed before the answer. No answer
 * action follows for the request. A non-idempotent call that was sent
 * continues, and its outcome is recorded, unless it is a stream; all other
 * calls are cancelled. Unknown and answered requests are ignored. */
void EbDispatcher_CallerGone(EbDispatcher *dispatcher, uint64_t request,
                             int64_t now_us);

/* What happened to an attempt. */
typedef enum {
    EB_ATTEMPT_REFUSED,   /* connect failed: nothing was sent */
    EB_ATTEMPT_ANSWERED,  /* whole answer that is not a stream */
    EB_ATTEMPT_TOKENS,    /* some tokens of a stream */
    EB_ATTEMPT_ENDED,     /* regular end of a stream */
    EB_ATTEMPT_BROKEN,    /* connection closed or reset before the end */
    EB_ATTEMPT_MALFORMED, /* the answer violates the protocol */
    EB_ATTEMPT_STREAMING, /* head of a forwarded stream */
    EB_ATTEMPT_EVENTS,    /* a whole event of a forwarded stream */
    EB_ATTEMPT_EVENT_COUNT
} EbAttemptEventKind;

extern const char *const EbAttemptEventKind_names[EB_ATTEMPT_EVENT_COUNT];

/* An event of an attempt. Everything is borrowed. A kind in a comment means
 * that the member is used for this kind of event only. */
typedef struct {
    uint64_t attempt_id;
    EbAttemptEventKind kind;
    uint16_t http_status;        /* ANSWERED, also when a stream was refused */
    json_t *body;                /* ANSWERED: NULL when there is none */
    const char *echo_request_id; /* NULL when absent */
    int64_t echo_stage;          /* -1 when absent */
    int64_t echo_attempt;        /* -1 when absent */
    uint64_t token_index;        /* TOKENS: index of the first token */
    /* TOKENS. 0: the daemon has paused reading the attempt because its caller
     * is slow, so the missing progress is not the server's fault. */
    uint32_t token_count;
    const char *text; /* TOKENS */
    EbServerDirective directive;
    bool has_load; /* the answer carried a load report */
    uint32_t load_running;
    uint32_t load_waiting;
    uint32_t load_work_percent; /* of the usual time for work; 0: not stated */
    /* The members below are for forwarded calls only. */
    EbHttpMessage *reply;   /* ANSWERED: whole answer; of a stream: its head */
    EbForwardReply forward; /* decoded from the head */
    bool reused_connection; /* it carried an earlier call */
    int64_t event_id;       /* EVENTS; -1: without an id */
    const uint8_t *bytes;   /* EVENTS */
    size_t byte_count;
} EbAttemptEvent;

/* Handles an event of an attempt. Events of attempts that have ended are
 * ignored. */
void EbDispatcher_AttemptEvent(EbDispatcher *dispatcher,
                               const EbAttemptEvent *event, int64_t now_us);

/* How a preparation ended. */
typedef enum {
    EB_PREPARED_OK,
    EB_PREPARED_INPUT_GONE, /* an earlier result no longer exists */
    EB_PREPARED_LATE,       /* it could not finish in time */
    EB_PREPARED_FAILED,
    EB_PREPARED_STATUS_COUNT
} EbPreparedStatus;

extern const char *const EbPreparedStatus_names[EB_PREPARED_STATUS_COUNT];

/* Sets when there will be room for a request whose preparation is about to be
 * reported as late. Its refusal asks the caller to return then. Unknown jobs
 * and times that are not positive are ignored. */
void EbDispatcher_SetRoomIn(EbDispatcher *dispatcher, uint64_t job,
                            int64_t room_in_us);

/* Handles the end of a preparation.
 *
 * job: number from EB_ACTION_PREPARE. Unknown jobs are ignored.
 * handles, handle_count: when it succeeded, the handle of the result of each
 *     work item, in order; copied. */
void EbDispatcher_PreparationEnded(EbDispatcher *dispatcher, uint64_t job,
                                   EbPreparedStatus status,
                                   char *const *handles, uint32_t handle_count,
                                   int64_t now_us);

/* Handles the results that the ledger has ready. Call it after each event that
 * was passed to the ledger. */
void EbDispatcher_LedgerResults(EbDispatcher *dispatcher, int64_t now_us);

/* Handles the answer to ask_owner.
 *
 * query: number that was passed to ask_owner. Unknown queries are ignored.
 * reached: false when the owner could not be asked; `local` is not used then.
 * local: the owner's answer; borrowed. */
void EbDispatcher_OwnerReply(EbDispatcher *dispatcher, uint64_t query,
                             bool reached, const EbLedgerLocalClaim *local,
                             int64_t now_us);

/* A peer's query for the outcome of a key. */
typedef struct {
    char *peer; /* instance that asked */
    uint64_t query;
    char *customer;
    char *key_digest;
} EbOutcomeQuery;

/* Handles a peer's query for the outcome of a key. While a request with the
 * key is running here, the query waits for its end, unless 64 queries wait for
 * it already. EbDispatcher_NextOutcomeQuery returns the query once it can be
 * answered. The strings are copied. */
void EbDispatcher_QueryOutcome(EbDispatcher *dispatcher, const char *peer,
                               uint64_t query, const char *customer,
                               const char *key_digest, int64_t now_us);

/* Removes the next query that can be answered now, with EbLedger_FindLocal.
 *
 * query: set to the query. The caller frees it with EbOutcomeQuery_Clear.
 *
 * Returns false when there is none. */
bool EbDispatcher_NextOutcomeQuery(EbDispatcher *dispatcher,
                                   EbOutcomeQuery *query);

/* Frees what a query owns. */
void EbOutcomeQuery_Clear(EbOutcomeQuery *query);

/* Handles the notice that a backend server is leaving or, with `leaving`
 * false, is back.
 *
 * incarnation: which start of the server it is about; 0: the present one. A
 *     notice about another start changes nothing.
 * source: who sent the notice, for the log: "platform", or "peer" for another
 *     daemon. A notice from a peer is not passed on to the others. */
void EbDispatcher_ServerLeaving(EbDispatcher *dispatcher,
                                const char *server_id, uint64_t incarnation,
                                bool leaving, const char *source,
                                int64_t now_us);

/* Handles that failure domains were closed or opened. Requests that wait for
 * servers of which all are in closed domains are refused. */
void EbDispatcher_EvacuationsChanged(EbDispatcher *dispatcher, int64_t now_us);

/* Returns the number of calls that run at the servers of a failure domain. */
uint32_t EbDispatcher_CountCalls(const EbDispatcher *dispatcher,
                                 const char *failure_domain);

/* Adds the measured speed of a server that another daemon told. */
void EbDispatcher_MergeSpeed(EbDispatcher *dispatcher,
                             const EbSpeedReport *report, int64_t now_us);

/* Writes up to `max` speeds of servers that other daemons have to be told.
 * Their `server_id` is borrowed until the next call of the module. Returns
 * their number. */
uint32_t EbDispatcher_TakeSpeedReports(EbDispatcher *dispatcher,
                                       EbSpeedReport *reports, uint32_t max,
                                       int64_t now_us);

/* Handles deadlines, time-outs, delayed retries and hedges that are due, and
 * serves the queues. */
void EbDispatcher_Tick(EbDispatcher *dispatcher, int64_t now_us);

/* Returns the time of the next EbDispatcher_Tick that does something, or
 * INT64_MAX. */
int64_t EbDispatcher_NextTimer(const EbDispatcher *dispatcher);

/* Starts a drain: new requests are refused, live ones continue. At `end_us`
 * the caller will call EbDispatcher_Abort. A request that waits is refused as
 * soon as its call, if it began then, would probably not end before. */
void EbDispatcher_Drain(EbDispatcher *dispatcher, int64_t end_us,
                        int64_t now_us);

/* Ends every live request now. Each is answered with the outcome that is true
 * at this time. New requests are refused. */
void EbDispatcher_Abort(EbDispatcher *dispatcher, int64_t now_us);

/* Returns the number of unfinished requests, detached ones included. */
size_t EbDispatcher_LiveCount(const EbDispatcher *dispatcher);

/* The pools of the configuration in force, for the administration API. A pool
 * is valid until EbDispatcher_SetConfig. */
size_t EbDispatcher_PoolCount(const EbDispatcher *dispatcher);
const EbPool *EbDispatcher_Pool(const EbDispatcher *dispatcher, size_t index);

typedef enum {
    EB_REQUEST_RECEIVED,
    EB_REQUEST_CLAIMING,
    EB_REQUEST_ASKING_OWNER, /* waits for the key's owner or a look-up */
    EB_REQUEST_PREPARING,    /* the preparations of a forwarded request run */
    EB_REQUEST_QUEUED,
    EB_REQUEST_RUNNING,  /* an idempotent call has been sent */
    EB_REQUEST_CALLING,  /* a non-idempotent call has been sent */
    EB_REQUEST_DETACHED, /* no caller waits; its outcome is still awaited */
    EB_REQUEST_FINISHED,
    EB_REQUEST_STATE_COUNT
} EbRequestState;

extern const char *const EbRequestState_names[EB_REQUEST_STATE_COUNT];

/* Describes live requests and up to 256 recently finished ones.
 *
 * request_id: describe only requests with this id; NULL: all.
 * visit: called with a JSON object for each request, borrowed during the call.
 *     Its members are request_id, customer, pipeline, state, stage, age_us and
 *     trace, which lists claims, attempts, hedges and other steps. Once the
 *     request has an outcome, the members outcome and reason are added. */
void EbDispatcher_DescribeRequests(
    const EbDispatcher *dispatcher, const char *request_id, int64_t now_us,
    void (*visit)(void *context, json_t *request), void *context);

#endif
