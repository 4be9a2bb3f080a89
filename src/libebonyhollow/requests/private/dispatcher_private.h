/* Requests, attempts and pools inside the dispatcher.
 *
 * Public functions of dispatcher.h end with EbDispatcher_RunPending, which
 * starts waiting attempts, sets timers and releases finished requests.
 * Everything else only marks: a finished request stays readable until then. */
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

#define EB_REQUEST_MAX_ATTEMPTS 3 /* at once: call, hedge, look-up */
#define EB_REQUEST_MAX_TRACE 64
#define EB_REQUEST_RECENT 256

/* Time from a forwarded call's sending to its answer or first event: moving
 * averages of it and of its deviation. */
typedef struct {
    double mean_us;
    double deviation_us;
} EbAnswerTime;

/* A pool with everything the dispatcher keeps for it. One is kept for each
 * name and kind, across configurations. */
typedef struct {
    char *key;
    EbConfig *config; /* referenced while `pool` uses it */
    EbPool *pool;
    EbQueue *queue;
    EbPrefixIndex *prefixes; /* NULL unless the pool generates */
    EbRetryBudget budget;
    uint32_t queue_max;
    int64_t stream_us;  /* moving average from first token to end */
    GHashTable *tokens; /* pipeline name to double: mean generated tokens */
    GHashTable *answer_times; /* pipeline name to EbAnswerTime */
    uint32_t users;           /* stages of live requests */
    bool current;             /* in the configuration in force */
    bool dirty; /* a slot or an entry may have become available */
} EbDispatcherPool;

typedef struct EbRequest EbRequest;

/* One preparation of a forwarded request. */
typedef struct {
    uint64_t job; /* 0: not started, or not needed */
    bool needed;
    bool done;
    GPtrArray *handles; /* of char *, when done */
} EbPreparation;

/* What a forwarded request has beside the others. */
typedef struct {
    EbForwardCall *call;
    EbPreparation preparations[EB_FORWARD_MAX_PREPARATIONS];
    uint32_t restarts;     /* of preparations whose results were lost */
    EbHttpMessage *head;   /* of the relayed stream */
    EbHttpMessage *reply;  /* a server's answer without stream */
    int64_t last_event_id; /* relayed, or EB_FORWARD_NO_EVENT */
} EbForwardState;

typedef struct {
    uint64_t id;
    EbRequest *request;
    EbDispatcherPool *pool;
    char *server_id;
    uint32_t stage;
    uint32_t number; /* in the request, sent as Eb-Attempt */
    bool hedge;
    bool lookup;
    bool echo_checked;
    bool has_tokens;
    bool overdue;      /* a non-idempotent call past its time-out */
    bool crash_scored; /* its fingerprint was counted for a crash */
    int64_t started_us;
    int64_t first_token_us;
    int64_t timeout_us; /* when it counts as silent */
    bool paused;        /* not read, since its caller is slow */
} EbAttempt;

/* What is kept of a stage for the answer's usage. */
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
    char detail[48]; /* server or cause */
} EbTraceEntry;

/* The part of a request that outlives it in the ring of recent ones. */
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
    EbConfig *config; /* the one in force at submission; may be NULL */
    const EbConfigPipeline *pipeline;
    const EbConfigCustomer *customer;
    EbDispatcherPool *pools[EB_CONFIG_MAX_STAGES];
    char *key;
    char key_digest[EB_KEY_DIGEST_HEX_BYTES];
    char *traceparent;
    json_t *body;
    char *claim_text; /* pipeline and body, digested by the ledger */
    size_t claim_text_bytes;
    EbFingerprint fingerprint;
    int64_t deadline_us;
    bool stream;

    int64_t retry_after_us; /* hint for the answer; 0: derived */
    bool keyed;             /* the pipeline needs a claim */
    bool admitted;          /* owes an EbLimiter_EndRequest */
    bool answered;
    bool replayed;
    bool timer_stale; /* its timer has to be set */
    int64_t wake_us;

    uint64_t claim; /* 0 when there is none */
    bool owned;
    bool reopened;
    uint64_t fencing_token;
    uint32_t claim_count;
    int64_t claimed_us;     /* when the last claim began */
    uint64_t owner_query;   /* 0 when the owner is not being asked */
    GArray *waiters;        /* ids of requests that wait for this one's key */
    GQueue outcome_queries; /* of EbOutcomeQuery, peers that wait for it */

    uint32_t stage;
    json_t *results[EB_CONFIG_MAX_STAGES];
    EbStageRun runs[EB_CONFIG_MAX_STAGES];
    EbAttempt *attempts[EB_REQUEST_MAX_ATTEMPTS];
    uint32_t attempt_count;
    uint32_t next_number;
    uint32_t sent_count; /* attempts whose call may have reached a server */
    bool call_sent;      /* one of them is the non-idempotent call */
    char *excluded[EB_POOL_MAX_EXCLUDED]; /* servers that failed this stage */
    uint32_t excluded_count;
    uint32_t failures; /* of this stage */
    bool broken;       /* a call of this stage broke mid-call */
    uint32_t deferrals;
    bool hedged;
    int64_t queued_us;
    int64_t retry_us; /* next try to claim, queue or look up */
    int64_t hedge_us;
    bool waiting; /* in its pool's queue */

    EbReason unknown_reason; /* of the answer when a look-up tells nothing */
    bool lookup_over;
    uint32_t lookup_count;

    GString *text; /* of the running generate stage */
    uint64_t token_count;
    uint64_t relayed_count;
    int64_t token_us; /* last token */
    uint64_t total_tokens;

    EbForwardState *forward; /* NULL unless the request is forwarded */
};

struct EbDispatcher {
    EbDispatcherOptions options;
    char *instance;
    char *failure_domain;
    EbConfig *config;
    GHashTable *pools;     /* key to EbDispatcherPool */
    GPtrArray *pool_order; /* those in force, in the configuration's order */
    GHashTable *leaving;   /* ids of leaving servers */
    GHashTable *requests;  /* id to EbRequest */
    GHashTable *attempts;  /* id to EbAttempt */
    GHashTable *claims;    /* claim handle to EbRequest */
    GHashTable *queries;   /* owner query to EbRequest */
    GHashTable *jobs;      /* preparation job to EbRequest */
    GHashTable *holders;   /* customer and key digest to the EbRequest
                              that claims or owns the key */
    GHashTable *servers;   /* id to GPtrArray of EbAttempt in flight */
    GHashTable *fingerprints; /* to the number of attempts in flight */
    GTree *timers;            /* requests by wake_us */
    GPtrArray *stale_timers;
    GPtrArray *finished;
    GQueue recent;             /* of EbRequestSummary, newest first */
    GQueue answerable_queries; /* of EbOutcomeQuery that can be answered */
    uint64_t next_request;
    uint64_t next_attempt;
    uint64_t next_query;
    uint64_t next_job;
    uint32_t daemons; /* live ones */
    int64_t pool_tick_us;
    int64_t now_us; /* for EbRequest_AcceptsServer, which is given no time */
    bool draining;
};

/* Marks a request so that its timer is set by EbDispatcher_RunPending. */
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

static inline const EbConfigStage *
EbRequest_Stage(const EbRequest *request)
{
    return &request->pipeline->stages[request->stage];
}

/* Returns whether a forwarded request was run by as many servers as its route
 * allows. */
static inline bool
EbRequest_AttemptsExhausted(const EbRequest *request)
{
    return request->forward != NULL &&
           request->sent_count >= request->pipeline->forward->max_attempts;
}

static inline bool
EbRequest_IsOver(const EbRequest *request)
{
    return request->summary->state == EB_REQUEST_FINISHED;
}

/* Key of EbDispatcher.holders; to be freed. */
static inline char *
EbDispatcher_HolderName(const char *customer, const char *key_digest)
{
    return g_strdup_printf("%s %s", customer, key_digest);
}

static inline const EbConfigForward *
EbRequest_Route(const EbRequest *request)
{
    return request->pipeline->forward;
}

/* The files call in one direction: each uses those above its section only. */

/* dispatcher_describe.c */
void EbRequest_Trace(EbRequest *request, const char *event, const char *detail,
                     uint32_t attempt, int64_t now_us);
EbRequestSummary *EbRequestSummary_New(const EbSubmission *submission,
                                       int64_t now_us);
void EbRequestSummary_Free(EbRequestSummary *summary);

/* dispatcher_pool.c */
void EbDispatcherPool_Free(gpointer pool);
EbDispatcherPool *EbDispatcher_FindPool(EbDispatcher *dispatcher,
                                        const EbConfigPool *pool);
/* Creates and changes pools as a configuration says. */
void EbDispatcher_ApplyPools(EbDispatcher *dispatcher, EbConfig *config,
                             int64_t now_us);
void EbDispatcher_ReleasePools(EbDispatcher *dispatcher, EbRequest *request);
void EbDispatcher_MarkLeaving(EbDispatcher *dispatcher, const char *server_id,
                              bool leaving, const char *source,
                              int64_t now_us);

/* dispatcher_crash.c */
/* Counts a crash for all fingerprints in flight on the attempt's server. */
void EbAttempt_Crashed(EbAttempt *attempt, int64_t now_us);
/* Returns whether a suspected request has to wait for its other copy. */
bool EbRequest_HasRunningCopy(EbRequest *request, int64_t now_us);
/* Criterion that keeps suspects apart; `context` is the EbRequest. */
bool EbRequest_AcceptsServer(void *context, const char *server_id);
bool EbRequest_IsSuspected(EbRequest *request, int64_t now_us);
bool EbRequest_IsQuarantined(EbRequest *request, int64_t now_us);

/* dispatcher_preparation.c */

/* Bits of the preparations that others need, without those left out. */
uint32_t EbRequest_RequiredPreparations(const EbRequest *request);
/* Handles of the results of preparations, by their bits; to be unreferenced.
 */
GPtrArray *EbRequest_CollectHandles(const EbRequest *request, uint32_t bits);
/* Handles of the results that the call needs; to be unreferenced. */
GPtrArray *EbRequest_Inputs(const EbRequest *request);
/* Ends one preparation, or all of them, and gives the results up. */
void EbRequest_EndPreparation(EbRequest *request, EbPreparation *row);
void EbRequest_EndPreparations(EbRequest *request);
/* The same, and forgets what they gave: the results no longer exist. */
void EbRequest_DropPreparations(EbRequest *request);

/* dispatcher_forward.c */
EbForwardState *EbForwardState_New(EbForwardCall *call);
void EbForwardState_Free(EbForwardState *state);
/* Checks who asks and finds the route. */
EbReason EbRequest_AuthorizeForward(EbRequest *request);
/* Chooses the pool of a forwarded request by the weights of its route. */
uint32_t EbRequest_ChooseForwardPool(const EbRequest *request);
/* Rank of a forwarded request, 0 is the most urgent: the customer's, else the
 * route's. */
uint8_t EbRequest_Priority(const EbRequest *request);
/* Fills in what an attempt of a forwarded request sends. */
void EbRequest_FillForward(EbRequest *request, EbSendAttempt *send,
                           int64_t now_us);
/* Time that the call of a forwarded request will probably take to its answer
 * or first event, with a margin. */
int64_t EbRequest_AnswerTime(const EbRequest *request);

/* dispatcher_call.c */
typedef struct {
    json_t *body;
    const char *path;
    bool hedge;
    bool lookup;
} EbAttemptStart;

/* Sends a call to a server that EbPool_BeginCall chose. Takes over `body`. */
EbAttempt *EbAttempt_Start(EbRequest *request,
                           const EbConfigBackendServer *server,
                           const EbAttemptStart *start, int64_t now_us);
/* Forgets an attempt and reports its result to its pool. */
void EbAttempt_End(EbAttempt *attempt, EbCallResult result, int64_t now_us);
/* Ends an attempt whose answer is not wanted any more. */
void EbAttempt_Cancel(EbAttempt *attempt, int64_t now_us);
/* Closes the connection of an attempt. */
void EbAttempt_PushCancel(const EbAttempt *attempt);

/* dispatcher_outcome.c */
/* Returns whether the non-idempotent call, or the look-up after it, may still
 * tell its outcome. */
bool EbRequest_HasCallInFlight(const EbRequest *request);
/* What is true of the request now. */
EbOutcome EbRequest_TrueOutcome(const EbRequest *request);
/* Ends a request: answers it unless it was answered, records its outcome and
 * cancels what runs. `body` and `detail` are borrowed and may be NULL. */
void EbRequest_Finish(EbRequest *request, EbOutcome outcome, EbReason reason,
                      const char *detail, json_t *body, int64_t now_us);
/* Ends a request that is not done with its true outcome. */
void EbRequest_Fail(EbRequest *request, EbReason reason, const char *detail,
                    int64_t now_us);
/* Ends a forwarded request with a server's answer; NULL after a stream. */
void EbRequest_CompleteForward(EbRequest *request, EbHttpMessage *reply,
                               int64_t now_us);
/* Ends a request whose last stage has its result. */
void EbRequest_Complete(EbRequest *request, int64_t now_us);
/* Answers `unknown` and goes on without the caller while calls are out. */
void EbRequest_Detach(EbRequest *request, EbReason reason, int64_t now_us);
/* The non-idempotent call ended without a usable answer. */
void EbRequest_CallLost(EbRequest *request, int64_t now_us);
/* Asks the service for the key's outcome. */
void EbRequest_LookUp(EbRequest *request, int64_t now_us);
/* Takes a look-up's answer; `body` NULL when it failed. */
void EbRequest_HandleLookup(EbRequest *request, json_t *body, int64_t now_us);

/* Takes the outcome of the holder that the request waited for. */
void EbRequest_HolderFinished(EbRequest *request, EbOutcome outcome,
                              EbReason reason, json_t *body, int64_t now_us);
/* Claims the key again after a while. */
void EbRequest_RetryClaimLater(EbRequest *request, int64_t now_us);
/* The holder can't be asked: the service may know the key. */
void EbRequest_HolderLost(EbRequest *request, int64_t now_us);

/* dispatcher_stage.c */
void EbRequest_StartStage(EbRequest *request, int64_t now_us);
/* Puts the request into its stage's queue. */
void EbRequest_Enqueue(EbRequest *request, int64_t now_us);
/* Takes the tokens of a finished generate stage for the cost of the next. */
void EbRequest_ObserveTokens(const EbRequest *request, uint64_t tokens);

void EbRequest_Hedge(EbRequest *request, int64_t now_us);
/* Starts waiting attempts while the pool has slots. */
void EbDispatcherPool_ServeQueue(EbDispatcher *dispatcher,
                                 EbDispatcherPool *pool, int64_t now_us);

/* dispatcher_prepare.c */

/* Notes which preparations a forwarded request needs. */
void EbRequest_PlanPreparations(EbRequest *request);
/* Expected time of those, without the wait for crowded servers. */
int64_t EbRequest_PreparationTime(const EbRequest *request);
/* Starts the preparations that a forwarded request needs and that can start,
 * and its call when all are done. */
void EbRequest_Prepare(EbRequest *request, int64_t now_us);
/* Prepares anew what the call needs and was given up. Returns false when
 * nothing is missing. */
bool EbRequest_PrepareAgain(EbRequest *request, int64_t now_us);
/* Takes the end of a preparation. */
void EbRequest_PreparationEnded(EbRequest *request, uint64_t job,
                                EbPreparedStatus status, char *const *handles,
                                uint32_t handle_count, int64_t now_us);

/* dispatcher_claim.c */

/* Claims the request's key, again after an earlier holder released it. */
void EbRequest_Claim(EbRequest *request, int64_t now_us);
/* Takes all results that the ledger has. Returns true when there were any. */
bool EbDispatcher_ProcessLedgerResults(EbDispatcher *dispatcher,
                                       int64_t now_us);
/* Takes what the owner of the key says; NULL when it was not reached. */
void EbRequest_OwnerReplied(EbRequest *request,
                            const EbLedgerLocalClaim *local, int64_t now_us);

/* dispatcher_request.c */

/* Starts or refuses a request. Returns its id. */
uint64_t EbRequest_Submit(EbDispatcher *dispatcher,
                          const EbSubmission *submission, int64_t now_us);
void EbRequest_CallerGone(EbRequest *request, int64_t now_us);

/* dispatcher_attempt.c */
/* Takes the time-out of an attempt. */
void EbAttempt_TimedOut(EbAttempt *attempt, int64_t now_us);

/* Ends an attempt that failed and decides what follows. */
void EbAttempt_Fail(EbAttempt *attempt, EbCallResult result, const char *cause,
                    int64_t now_us);
/* As above, for a call that its server states it did not run. */
void EbAttempt_NotRun(EbAttempt *attempt, EbCallResult result,
                      const char *cause, int64_t now_us);
/* As EbAttempt_Fail for an answer at fault: closes the connection. */
void EbAttempt_RejectAnswer(EbAttempt *attempt, const char *cause,
                            int64_t now_us);
/* Notes that the head of a stream arrived. */
void EbAttempt_RecordHead(EbAttempt *attempt, int64_t now_us);
/* Notes that a stream goes on and moves its time-out. */
void EbAttempt_RecordProgress(EbAttempt *attempt, int64_t now_us);

/* Reads the whole answer of an attempt and ends its stage. */
void EbAttempt_ReadAnswer(EbAttempt *attempt, json_t *answer, int64_t now_us);

/* dispatcher_stream.c */
/* Takes generated tokens, and the end of their stream. */
void EbAttempt_HandleTokens(EbAttempt *attempt, const EbAttemptEvent *event,
                            int64_t now_us);
void EbAttempt_HandleStreamEnd(EbAttempt *attempt, int64_t now_us);

/* dispatcher_relay.c */

/* Takes an event of a forwarded request's attempt. */
void EbAttempt_HandleForwardEvent(EbAttempt *attempt,
                                  const EbAttemptEvent *event, int64_t now_us);

/* dispatcher_event.c */
void EbAttempt_HandleEvent(EbAttempt *attempt, const EbAttemptEvent *event,
                           int64_t now_us);

/* dispatcher.c */
void EbDispatcher_RunPending(EbDispatcher *dispatcher, int64_t now_us);

#endif
