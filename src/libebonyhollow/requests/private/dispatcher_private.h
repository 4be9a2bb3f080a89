/* Requests, attempts and pools inside the dispatcher.
 *
 * Each public function of dispatcher.h ends with EbDispatcher_RunPending,
 * which serves the queues, sets timers and releases finished requests. All
 * other functions only mark what has to be done, so a finished request stays
 * readable until then. */
#ifndef EBONYHOLLOW_DISPATCHER_PRIVATE_H
#define EBONYHOLLOW_DISPATCHER_PRIVATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/prefix_index.h"
#include "ebonyhollow/queue.h"
#include "ebonyhollow/retry_budget.h"
#include "ebonyhollow/stage.h"

/* Attempts in flight at the same time: the call, a hedge and a look-up. */
#define EB_REQUEST_MAX_ATTEMPTS 3
#define EB_REQUEST_MAX_TRACE 64   /* trace entries of one request */
#define EB_REQUEST_MAX_RECENT 256 /* finished requests that are kept */
#define EB_STATUS_MISDIRECTED 421 /* RFC 9110, 15.5.20 */

/* Moving averages of the time from sending a forwarded call to its answer or
 * first event, and of the absolute deviation from it. */
typedef struct {
    double mean_us;
    double deviation_us;
} EbAnswerTime;

/* A pool and what the dispatcher keeps for it. There is one for each pair of
 * pool name and stage kind; it survives configuration changes. */
typedef struct {
    char *key;
    EbConfig *config; /* referenced while `pool` uses it */
    EbPool *pool;
    EbQueue *queue;
    EbPrefixIndex *prefixes; /* NULL unless the pool generates */
    EbRetryBudget retry_budget;
    uint32_t queue_max;
    int64_t mean_stream_us;   /* moving average from first token to end */
    GHashTable *mean_tokens;  /* pipeline name to double: tokens generated */
    GHashTable *answer_times; /* pipeline name to EbAnswerTime */
    GHashTable *caller_times; /* pipeline name to double: see
                                 EbRequest_RecordCallerTime */
    uint32_t live_stages;     /* stages of live requests that use the pool */
    bool current;             /* part of the configuration in force */
    /* When a server that limits its calls takes one that waits, or INT64_MAX.
     */
    int64_t admission_us;
    bool dirty; /* the queue has to be served: an entry was added or a slot
                   may have become free */
} EbDispatcherPool;

typedef struct EbRequest EbRequest;

/* One preparation of a forwarded request. */
typedef struct {
    uint64_t job; /* 0: not started, not needed, or ended */
    bool needed;
    bool done;
    GPtrArray *handles; /* of char *; set when done */
} EbPreparation;

/* State that only forwarded requests have. */
typedef struct {
    EbForwardCall *call;
    EbPreparation *preparations; /* those of the pipeline */
    uint32_t preparation_count;
    uint32_t restarts; /* times that lost results were prepared again */
    /* What may crash servers: the request, and the parts of its prompt that
     * other requests may share. */
    EbSuspectSet suspects;
    EbHttpMessage *head;   /* head of the relayed stream */
    EbHttpMessage *reply;  /* a server's answer that is not a stream */
    int64_t last_event_id; /* last event relayed, or EB_FORWARD_NO_EVENT */
} EbForwardState;

/* A forwarded call whose connection broke. Whether its server crashed is seen
 * a little later. */
typedef struct {
    char *server_id;
    int64_t at_us;
    bool alone;            /* no other call on the server broke with it */
    EbSuspectSet suspects; /* empty when the call's answer had begun */
} EbBrokenCall;

typedef struct {
    uint64_t id;
    EbRequest *request;
    EbDispatcherPool *pool;
    char *server_id;
    uint32_t stage;
    uint32_t number; /* within the request, from 1; sent as Eb-Attempt */
    bool hedge;
    bool lookup;
    bool echo_checked;
    bool directive_recorded; /* what the head of the answer asks for */
    bool has_tokens;         /* a token or forwarded event has arrived */
    bool overdue;            /* a non-idempotent call past its time-out */
    bool crash_recorded;     /* counted by EbAttempt_RecordCrash */
    int64_t started_us;
    int64_t first_token_us;
    int64_t timeout_at_us; /* when EbAttempt_TimedOut has to be called */
    bool paused;           /* not being read, because the caller is slow */
    bool load_recorded;    /* what the head of the answer says of the load */
    EbPieceIntervals piece_intervals; /* of a forwarded stream */
} EbAttempt;

/* Figures of one stage for the `usage` part of the answer. */
typedef struct {
    uint32_t attempts;
    int64_t queue_us;
    int64_t server_us;
} EbStageRun;

typedef struct {
    int64_t at_us;
    const char *event; /* static */
    uint32_t stage;
    uint32_t attempt;
    char detail[48]; /* server id or cause */
} EbTraceEntry;

/* The part of a request that operators can list. It is kept among the recent
 * requests after the request itself was freed. */
typedef struct {
    char *request_id;
    char *customer; /* "" before authentication */
    char *pipeline;
    EbRequestState state;
    uint32_t stage;
    int64_t received_us;
    int64_t finished_us;
    EbOutcome outcome; /* EB_OUTCOME_COUNT until it is known */
    EbReason reason;
    GArray *trace; /* of EbTraceEntry */
} EbRequestSummary;

struct EbRequest {
    uint64_t id;
    EbDispatcher *dispatcher;
    EbRequestSummary *summary;
    EbConfig *config; /* in force at submission; NULL when there was none */
    const EbConfigPipeline *pipeline;
    const EbConfigCustomer *customer;
    EbDispatcherPool *pools[EB_CONFIG_MAX_STAGES];
    char *key;
    char key_digest[EB_KEY_DIGEST_HEX_BYTES];
    char *traceparent;
    json_t *body;
    char *claim_text; /* pipeline and body; the ledger keeps its digest */
    size_t claim_text_bytes;
    EbFingerprint fingerprint;
    int64_t deadline_us;
    int64_t begin_deadline_us; /* see EbRequest_BeginDeadline */
    bool stream;

    int64_t retry_after_us; /* lower bound for the answer; 0: the default */
    bool keyed;             /* has a key that must be claimed */
    bool admitted;          /* EbLimiter_EndRequest must be called */
    bool answered;          /* answered, or the caller has gone */
    bool replayed;
    bool timer_stale; /* its timer has to be set again */
    int64_t timer_us; /* INT64_MAX: no timer is set */

    uint64_t claim; /* 0 when there is none */
    bool owned;     /* the store has confirmed the claim */
    bool reopened;  /* see EbLedgerResult */
    uint64_t fencing_token;
    uint32_t claim_count;
    int64_t claimed_us;     /* start of the last claim */
    uint64_t owner_query;   /* 0 when the owner is not being asked */
    GArray *waiters;        /* ids of this daemon's requests that wait for the
                               outcome, since they repeat the key */
    GQueue outcome_queries; /* of EbOutcomeQuery, to be answered at the end */

    uint32_t stage;
    json_t *results[EB_CONFIG_MAX_STAGES];
    EbStageRun runs[EB_CONFIG_MAX_STAGES];
    EbAttempt *attempts[EB_REQUEST_MAX_ATTEMPTS];
    uint32_t attempt_count;
    uint32_t last_attempt_number;
    uint32_t sent_count; /* attempts whose call may have reached a server */
    bool call_sent;      /* one of them is the non-idempotent call */
    char *excluded[EB_POOL_MAX_EXCLUDED]; /* servers that failed this stage */
    uint32_t excluded_count;
    uint32_t failures; /* failed attempts of this stage */
    bool call_broken;  /* the connection of a call of this stage broke */
    uint32_t deferrals;
    bool hedged;
    int64_t queued_us;
    int64_t retry_at_us; /* next claim, enqueueing or look-up; 0: none */
    int64_t hedge_at_us; /* earliest start of a hedge; 0: none */
    bool waiting;        /* in its pool's queue */

    EbReason unknown_reason; /* reported when look-ups find no outcome */
    bool lookup_ended;       /* another look-up would find nothing new */
    uint32_t lookup_count;

    GString *text; /* generated so far by the running generate stage */
    uint64_t token_count;
    uint64_t relayed_count;
    int64_t last_token_us; /* 0 before the first token of the stage */
    uint64_t total_tokens; /* of all generate stages */

    EbForwardState *forward; /* NULL unless the request is forwarded */
};

struct EbDispatcher {
    EbDispatcherOptions options;
    char *instance;
    char *failure_domain;
    EbConfig *config;
    GHashTable *pools;              /* key to EbDispatcherPool */
    GPtrArray *current_pools;       /* those of `config`, in its order */
    GHashTable *requests;           /* id to EbRequest */
    GHashTable *attempts;           /* id to EbAttempt */
    GHashTable *claims;             /* claim handle to EbRequest */
    GHashTable *queries;            /* owner query to EbRequest */
    GHashTable *jobs;               /* preparation job to EbRequest */
    GHashTable *holders;            /* customer and key digest to the EbRequest
                                       that claims or owns the key */
    GHashTable *attempts_by_server; /* id to GPtrArray of EbAttempt */
    GHashTable *attempts_by_fingerprint; /* to the number of them */
    GTree *timers;                       /* EbRequest by timer_us */
    GPtrArray *stale_timers;             /* of EbRequest */
    GPtrArray *finished;                 /* of EbRequest, to be released */
    GQueue broken_calls;                 /* of EbBrokenCall, oldest first */
    GQueue recent;             /* of EbRequestSummary, newest first */
    GQueue answerable_queries; /* of EbOutcomeQuery that can be answered */
    uint64_t last_request_id;
    uint64_t last_attempt_id;
    uint64_t last_query;
    uint64_t last_job;
    uint32_t daemon_count; /* live daemons */
    int64_t pool_tick_us;  /* next time to call EbPool_Tick */
    int64_t now_us; /* for EbRequest_AcceptsServer, a callback without time */
    bool draining;
    int64_t drain_end_us; /* when live requests are ended, or INT64_MAX */
};

/* Makes EbDispatcher_RunPending set the timer of a request again. */
static inline void
EbRequest_MarkTimerStale(EbRequest *request)
{
    if (!request->timer_stale) {
        request->timer_stale = true;
        g_ptr_array_add(request->dispatcher->stale_timers, request);
    }
}

static inline bool
EbDispatcher_IsPlain(const EbDispatcher *dispatcher)
{
    return dispatcher->options.policy == EB_POLICY_PLAIN;
}

/* Returns how long a caller waits at most for its answer to begin; INT64_MAX:
 * as long as for its end. */
static inline int64_t
EbRequest_AbandonTime(const EbRequest *request)
{
    const EbConfigForward *forward = request->pipeline->forward;
    return forward != NULL && forward->abandon_us > 0 ? forward->abandon_us
                                                      : INT64_MAX;
}

/* Sets the times by which a request that arrives now has to be answered.
 *
 * requested_us: the caller's time limit; 0: none */
static inline void
EbRequest_SetDeadline(EbRequest *request, int64_t requested_us, int64_t now_us)
{
    int64_t limit_us = request->pipeline->deadline_us;
    if (requested_us > 0) {
        limit_us = MIN(limit_us, requested_us);
    }
    request->deadline_us = now_us + limit_us;
    request->begin_deadline_us =
        now_us + MIN(limit_us, EbRequest_AbandonTime(request));
}

/* Returns when the answer must have begun to reach the caller: the deadline,
 * or the earlier time at which callers leave a stream without events. */
static inline int64_t
EbRequest_BeginDeadline(const EbRequest *request)
{
    return request->relayed_count > 0 ? request->deadline_us
                                      : request->begin_deadline_us;
}

static inline const EbConfigStage *
EbRequest_Stage(const EbRequest *request)
{
    return &request->pipeline->stages[request->stage];
}

/* Returns whether a forwarded request has been sent as often as its pipeline
 * allows. Always false for other requests. */
static inline bool
EbRequest_AttemptsExhausted(const EbRequest *request)
{
    return request->forward != NULL &&
           request->sent_count >= request->pipeline->forward->max_attempts;
}

static inline bool
EbRequest_IsFinished(const EbRequest *request)
{
    return request->summary->state == EB_REQUEST_FINISHED;
}

/* Returns the key for EbDispatcher.holders. Free it with g_free. */
static inline char *
EbDispatcher_HolderName(const char *customer, const char *key_digest)
{
    return g_strdup_printf("%s %s", customer, key_digest);
}

static inline const EbConfigForward *
EbRequest_ForwardConfig(const EbRequest *request)
{
    return request->pipeline->forward;
}

/* Calls between the files go in one direction: a file uses only functions that
 * are declared above its own section. */

/* dispatcher_describe.c */

/* Appends an entry to the request's trace, unless the trace is full.
 *
 * event: not copied, so it must be a string constant.
 * attempt: number of the attempt, 0 when the entry is about none. */
void EbRequest_Trace(EbRequest *request, const char *event, const char *detail,
                     uint32_t attempt, int64_t now_us);
EbRequestSummary *EbRequestSummary_New(const EbSubmission *submission,
                                       int64_t now_us);
void EbRequestSummary_Free(EbRequestSummary *summary);

/* dispatcher_pool.c */

void EbDispatcherPool_Free(gpointer pool);

/* Returns the pool with the same name and kind, or NULL. */
EbDispatcherPool *EbDispatcher_FindPool(EbDispatcher *dispatcher,
                                        const EbConfigPool *pool);

/* Creates and updates the pools of a new configuration, and frees pools that
 * neither it nor a live request uses. */
void EbDispatcher_ApplyPools(EbDispatcher *dispatcher, EbConfig *config,
                             int64_t now_us);

/* Ends a request's use of its pools. */
void EbDispatcher_ReleasePools(EbDispatcher *dispatcher, EbRequest *request);

/* Marks a server in all pools as leaving or, with false, as back. Tells the
 * other daemons of a leaving server unless `source` is "peer". */
void EbDispatcher_MarkLeaving(EbDispatcher *dispatcher, const char *server_id,
                              uint64_t incarnation, bool leaving,
                              const char *source, int64_t now_us);

/* dispatcher_crash.c */

/* Records a crash of the attempt's server for each fingerprint that is in
 * flight there. */
void EbAttempt_RecordCrash(EbAttempt *attempt, int64_t now_us);

/* Returns whether a suspected request has to wait because a request with the
 * same fingerprint is in flight. */
bool EbRequest_HasRunningCopy(EbRequest *request, int64_t now_us);

/* EbPoolCriteria.accept callback that keeps a suspected request away from
 * servers on which another one is in flight. `context` is the EbRequest. */
bool EbRequest_AcceptsServer(void *context, const char *server_id);

bool EbRequest_IsSuspected(EbRequest *request, int64_t now_us);

/* Returns why the request must not be sent to servers: it is quarantined, or,
 * if it is forwarded, it carries suspects that are. Otherwise returns
 * EB_REASON_NONE. */
EbReason EbRequest_CheckQuarantine(EbRequest *request, int64_t now_us);

/* dispatcher_suspects.c */

/* Sets what a forwarded request carries that may crash servers. */
void EbRequest_SetSuspects(EbRequest *request);

/* Records that the connection of a forwarded call broke. */
void EbAttempt_RecordBroken(const EbAttempt *attempt, int64_t now_us);

/* Returns how long a request whose connection broke has to wait until it is
 * known whether it carries what crashes servers. Returns 0 unless there is
 * evidence already. */
int64_t EbRequest_CrashEvidenceDelay(const EbRequest *request, int64_t now_us);

/* Records that a forwarded call's answer began. */
void EbAttempt_RecordAnswered(const EbAttempt *attempt, int64_t now_us);

/* Reports the crashes among the broken calls that are due. */
void EbDispatcher_CheckBrokenCalls(EbDispatcher *dispatcher, int64_t now_us);

/* Returns the time of the next check, or INT64_MAX. */
int64_t EbDispatcher_NextBrokenCallCheck(const EbDispatcher *dispatcher);

void EbBrokenCall_Free(gpointer call);

/* dispatcher_preparation.c */

/* Returns a bit mask of the preparations whose results are inputs of other
 * preparations that the request needs. The call takes the results of all
 * other preparations. */
EbPreparationSet EbRequest_IntermediatePreparations(const EbRequest *request);

/* Returns the handles of the results of the preparations in a bit mask.
 * Release the array with g_ptr_array_unref. */
GPtrArray *EbRequest_CollectHandles(const EbRequest *request,
                                    EbPreparationSet set);

/* Returns the handles of the results that the request's call takes as input.
 * Release the array with g_ptr_array_unref. */
GPtrArray *EbRequest_CollectInputs(const EbRequest *request);

/* Ends one preparation, or all of them: their results may be freed. */
void EbRequest_EndPreparation(EbRequest *request, EbPreparation *preparation);
void EbRequest_EndPreparations(EbRequest *request);

/* Ends all preparations and forgets their handles, because the results no
 * longer exist. */
void EbRequest_DropPreparations(EbRequest *request);

/* dispatcher_forward.c */

EbForwardState *EbForwardState_New(EbForwardCall *call);
void EbForwardState_Free(EbForwardState *state);

/* Checks the pipeline and the customer of a forwarded request, which are NULL
 * where they were not found. Returns EB_REASON_NONE or the reason to refuse
 * it. */
EbReason EbRequest_CheckForward(const EbRequest *request);

/* Finds the customer of a forwarded request and checks the request like
 * EbRequest_CheckForward. */
EbReason EbRequest_AuthorizeForward(EbRequest *request);

/* Chooses the pool of a forwarded request at random by the weights of its
 * pipeline. Returns an index into the configuration's pools. */
uint32_t EbRequest_ChooseForwardPool(const EbRequest *request);

/* Returns the priority of a forwarded request: the customer's, or the
 * pipeline's when the customer has none. 0 is the most urgent. */
uint8_t EbRequest_Priority(const EbRequest *request);

/* Fills in the members of EbSendAttempt that only forwarded calls use. */
void EbRequest_FillForward(EbRequest *request, EbSendAttempt *send,
                           int64_t now_us);

/* Predicts the time from sending the call of a forwarded request to its
 * answer or first event, with a margin, in microseconds. */
int64_t EbRequest_PredictAnswerTime(const EbRequest *request);

/* Returns the mean of that time, 0 before it was measured. */
int64_t EbRequest_MeanAnswerTime(const EbRequest *request);

/* dispatcher_repeat.c */

/* Learns the time that callers of a request's pipeline usually leave. */
void EbRequest_RecordCallerTime(const EbRequest *request);
/* Returns when the caller of a request asked first, as far as the time that it
 * leaves tells: the time of arrival, or an earlier one if much less is left
 * than usual, since the caller was refused before. */
int64_t EbRequest_AskedAt(const EbRequest *request);

/* dispatcher_call.c */

typedef struct {
    json_t *body;
    const char *path; /* NULL: that of the stage */
    bool hedge;
    bool lookup;
} EbAttemptStart;

/* Sends a call to a server that EbPool_BeginCall chose. Takes over `body`. */
EbAttempt *EbAttempt_Start(EbRequest *request,
                           const EbConfigBackendServer *server,
                           const EbAttemptStart *start, int64_t now_us);

/* Reports an attempt's result to its pool and frees the attempt. */
void EbAttempt_End(EbAttempt *attempt, EbCallResult result, int64_t now_us);

/* Closes the connection of an attempt and ends the attempt. */
void EbAttempt_Cancel(EbAttempt *attempt, int64_t now_us);

/* Returns whether a call, other than a look-up, may be sent for a request. If
 * not, counts it: nobody waits for its answer. A detached request only waits
 * for the outcome of the call that it has sent. All paths to a call ask this,
 * also for requests with idempotency keys. */
bool EbRequest_MayStartAttempt(const EbRequest *request);

/* Closes the connection of an attempt. */
void EbAttempt_PushCancel(const EbAttempt *attempt);

/* dispatcher_outcome.c */

/* Returns whether the outcome of the non-idempotent call may still become
 * known, from the call itself or from a look-up. */
bool EbRequest_HasCallInFlight(const EbRequest *request);

/* Returns the outcome to report if the request ended now without a result. */
EbOutcome EbRequest_CurrentOutcome(const EbRequest *request);

/* Ends a request: answers it unless it has been answered, records its outcome
 * and cancels its attempts. `body` and `detail` are borrowed, may be NULL. */
void EbRequest_Finish(EbRequest *request, EbOutcome outcome, EbReason reason,
                      const char *detail, json_t *body, int64_t now_us);

/* Sets the time after which a request that is refused could be served.
 *
 * delay_us: INT64_MAX when it is unknown or only another daemon can serve it.
 */
void EbRequest_SetRetryAfter(EbRequest *request, int64_t delay_us);

/* Ends a request that has no result, with EbRequest_CurrentOutcome. */
void EbRequest_Fail(EbRequest *request, EbReason reason, const char *detail,
                    int64_t now_us);

/* Ends a forwarded request with a server's answer; NULL after a stream. */
void EbRequest_CompleteForward(EbRequest *request, EbHttpMessage *reply,
                               int64_t now_us);

/* Ends a request whose last stage has its result. */
void EbRequest_Complete(EbRequest *request, int64_t now_us);

/* Answers `unknown` and lets the request go on without its caller while calls
 * are in flight. */
void EbRequest_Detach(EbRequest *request, EbReason reason, int64_t now_us);

/* Handles a non-idempotent call that ended or timed out without a usable
 * answer: looks up the outcome unless a look-up runs or is scheduled. */
void EbRequest_CallLost(EbRequest *request, int64_t now_us);

/* Asks the service for the outcome of the key. */
void EbRequest_LookUpOutcome(EbRequest *request, int64_t now_us);

/* Handles the answer to a look-up; `body` is NULL when the look-up failed. */
void EbRequest_HandleLookup(EbRequest *request, json_t *body, int64_t now_us);

/* Handles the outcome of the holder that this request waited for. */
void EbRequest_HolderFinished(EbRequest *request, EbOutcome outcome,
                              EbReason reason, json_t *body, int64_t now_us);

/* Claims the key again after a delay. */
void EbRequest_RetryClaimLater(EbRequest *request, int64_t now_us);

/* Looks up the outcome at the service, because the holder cannot be asked. */
void EbRequest_HolderLost(EbRequest *request, int64_t now_us);

/* dispatcher_evacuation.c */

/* Returns whether a request can't be served since all servers of its current
 * stage, or of a preparation that it still needs, are in failure domains that
 * are closed. */
bool EbRequest_IsEvacuated(const EbRequest *request);

/* Ends a request for which EbRequest_IsEvacuated holds. */
void EbRequest_FailEvacuated(EbRequest *request, int64_t now_us);

/* dispatcher_stage.c */

/* Starts the current stage: resets the state of the stage before it and puts
 * the request into the queue. */
void EbRequest_StartStage(EbRequest *request, int64_t now_us);

/* Returns why the queue of its stage's pool doesn't take the request now, or
 * EB_REASON_NONE. Changes only the request's time to come back. */
EbReason EbRequest_CheckQueue(EbRequest *request, int64_t now_us);

/* Prefers the server to which all daemons send requests whose prompts begin
 * alike, so that it has their common prefix cached. Returns it, or NULL. */
const EbConfigBackendServer *EbRequest_PreferAffine(const EbRequest *request,
                                                    EbPoolCriteria *criteria,
                                                    int64_t now_us);

/* Puts the request into the queue of its stage's pool. */
void EbRequest_Enqueue(EbRequest *request, int64_t now_us);

/* Records how many tokens a generate stage generated, for the cost of later
 * requests. */
void EbRequest_ObserveTokens(const EbRequest *request, uint64_t tokens);

/* Sends a hedge if it is still useful and the retry budget allows it. */
void EbRequest_Hedge(EbRequest *request, int64_t now_us);

/* Fails expired entries of the queue and starts calls while the pool has free
 * slots. */
void EbDispatcherPool_ServeQueue(EbDispatcher *dispatcher,
                                 EbDispatcherPool *pool, int64_t now_us);

/* dispatcher_prepare.c */

/* Marks the preparations that a forwarded request needs. */
void EbRequest_PlanPreparations(EbRequest *request);

/* Predicts the time of the preparations up to the request's call, without the
 * wait for busy servers, in microseconds. */
int64_t EbRequest_PredictPreparationTime(const EbRequest *request);

/* Starts each preparation that is needed and can start now. When all are
 * done, starts the request's call. */
void EbRequest_Prepare(EbRequest *request, int64_t now_us);

/* Runs all preparations again if the call lacks results that it needs, or
 * fails the request if that happened too often.
 *
 * Returns false when no result is missing. */
bool EbRequest_PrepareAgain(EbRequest *request, int64_t now_us);

/* Handles the end of a preparation. */
void EbRequest_PreparationEnded(EbRequest *request, uint64_t job,
                                EbPreparedStatus status, char *const *handles,
                                uint32_t handle_count, int64_t now_us);

/* dispatcher_claim.c */

/* Claims the request's key. May be called again after an earlier holder
 * released the key. */
void EbRequest_Claim(EbRequest *request, int64_t now_us);

/* Handles all results that the ledger has ready. Returns whether there were
 * any. */
bool EbDispatcher_ProcessLedgerResults(EbDispatcher *dispatcher,
                                       int64_t now_us);

/* Handles the key owner's reply; NULL when the owner was not reached. */
void EbRequest_OwnerReplied(EbRequest *request,
                            const EbLedgerLocalClaim *local, int64_t now_us);

/* dispatcher_request.c */

/* Returns why the customer may not use the pipeline, each of which is NULL if
 * it was not found, or EB_REASON_NONE. */
EbReason EbRequest_CheckCaller(const EbRequest *request);

/* Returns the index of a stage's pool in the configuration. That of a
 * forwarded request is drawn at random. */
uint32_t EbRequest_ChoosePool(const EbRequest *request, uint32_t stage);

/* Checks whether the request can probably pass all its stages before its
 * deadline. Changes only the request's time to come back. */
EbReason EbRequest_CheckFeasibility(EbRequest *request, int64_t now_us);

/* Starts or refuses a request. Returns its id. */
uint64_t EbRequest_Submit(EbDispatcher *dispatcher,
                          const EbSubmission *submission, int64_t now_us);

/* Handles the loss of a caller that has not been answered. */
void EbRequest_CallerGone(EbRequest *request, int64_t now_us);

/* dispatcher_attempt.c */

/* Handles an attempt whose time-out has passed. */
void EbAttempt_TimedOut(EbAttempt *attempt, int64_t now_us);

/* Ends a failed attempt, then retries, looks up or fails the request. */
void EbAttempt_Fail(EbAttempt *attempt, EbCallResult result, const char *cause,
                    int64_t now_us);

/* Like EbAttempt_Fail, for a call that its server states it did not run. */
void EbAttempt_FailNotRun(EbAttempt *attempt, EbCallResult result,
                          const char *cause, int64_t now_us);

/* Like EbAttempt_Fail, for an invalid answer: also closes the connection. */
void EbAttempt_RejectAnswer(EbAttempt *attempt, const char *cause,
                            int64_t now_us);

/* Records in the trace that the head of a stream arrived. */
void EbAttempt_RecordHead(EbAttempt *attempt, int64_t now_us);

/* Records that a stream makes progress, and moves its time-out. */
void EbAttempt_RecordProgress(EbAttempt *attempt, int64_t now_us);

/* Reads the whole answer of an attempt and ends its stage, or fails the
 * attempt when the answer is malformed. */
void EbAttempt_ReadAnswer(EbAttempt *attempt, json_t *answer, int64_t now_us);

/* dispatcher_stream.c */

/* Handle generated tokens and the end of their stream. */
void EbAttempt_HandleTokens(EbAttempt *attempt, const EbAttemptEvent *event,
                            int64_t now_us);
void EbAttempt_HandleStreamEnd(EbAttempt *attempt, int64_t now_us);

/* dispatcher_relay.c */

/* Handles an event of an attempt of a forwarded request. */
void EbAttempt_HandleForwardEvent(EbAttempt *attempt,
                                  const EbAttemptEvent *event, int64_t now_us);

/* dispatcher_event.c */

/* Handles an event of any attempt. */
void EbAttempt_HandleEvent(EbAttempt *attempt, const EbAttemptEvent *event,
                           int64_t now_us);

/* dispatcher.c */

/* Does the work that other functions only marked; see the top of this file. */
void EbDispatcher_RunPending(EbDispatcher *dispatcher, int64_t now_us);

#endif
