/* EbExplain: where a request would go if it arrived now, and why.
 *
 * The functions that decide on requests decide here too, on copies of what a
 * decision changes: nothing is sent, counted or learned, and the decisions on
 * the requests that follow are the same as without the question.
 *
 * What depends on the content of a request is not part of the answer: the
 * quarantine, a repeated key and, unless the parts of the prompt are given,
 * the server that has them cached. All times are in microseconds. */
#ifndef EBONYHOLLOW_EXPLAIN_H
#define EBONYHOLLOW_EXPLAIN_H

#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/limiter.h"
#include "ebonyhollow/pool_explain.h"

/* A request that isn't sent. All pointers are borrowed. */
typedef struct {
    /* Of a forwarded request; host, path, timeout_us, parts and work items are
     * used. */
    EbForwardCall *call;
    /* Name of a pipeline that doesn't forward, which is used if no route has
     * the host and path; NULL: none. */
    const char *pipeline;
    const char *customer; /* id; NULL: none. Not used on open routes */
} EbExplainQuery;

typedef enum {
    EB_ADMISSION_GOES,    /* a server gets it at once */
    EB_ADMISSION_WAITS,   /* for what EbExplanation.waits_for names */
    EB_ADMISSION_REFUSED, /* for EbExplanation.reason */
    EB_ADMISSION_COUNT
} EbAdmission;

/* Names in answers to operators, indexed by EbAdmission. */
extern const char *const EbAdmission_names[EB_ADMISSION_COUNT];

/* A stage of the request. */
typedef struct {
    const char *service; /* name of its pool */
    /* Served by this daemon's view of the pool. Otherwise its results are
     * prepared by the service's home, which alone knows the wait there. */
    bool local;
    EbPreparationSet dependencies; /* on stages by their index */
    uint32_t item_count;           /* 0: the request doesn't need it */
    /* If local, as measured, with the wait. Otherwise that is allowed for one
     * batched call. */
    int64_t expected_us;
    int64_t min_us; /* that one batched call takes at least; 0 if local */
    bool evacuated;
} EbExplainedStage;

/* Strings are borrowed from the configuration in force. */
typedef struct {
    EbAdmission admission;
    EbReason reason; /* EB_REASON_NONE unless it is refused */
    /* "claim", "stages", "queue" or "free-slot"; NULL: nothing */
    const char *waits_for;
    int64_t retry_after_us; /* 0: the default of the reason */

    const EbConfigPipeline *pipeline; /* NULL: there is none */
    const EbConfigCustomer *customer; /* NULL: none */
    uint8_t priority;                 /* 0 is the most urgent */
    int64_t deadline_us;              /* from arrival */
    EbLimiterView limits;             /* of the customer */

    /* The pool of the call: of a forwarded request as its weights drew it, or
     * of the first stage. NULL: the members below are not set. */
    const char *pool;
    size_t waiting; /* requests in the pool's queue */
    uint32_t queue_max;
    /* As servers limit their calls; INT64_MAX: none may be sent. */
    int64_t limit_delay_us;
    int64_t expected_us; /* from arrival to the answer or its first event */

    EbExplainedStage *stages; /* all of the pipeline's, in its order */
    uint32_t stage_count;
    EbPoolCandidate *servers; /* those of the pool that this daemon uses */
    size_t server_count;
    const EbConfigBackendServer *cached; /* has the prompt's parts, or NULL */
    /* The server that gets the call if it can be sent now, or NULL. */
    const EbConfigBackendServer *chosen;
} EbExplanation;

/* Explains a request. Free what `explanation` owns with EbExplanation_Clear;
 * its strings are valid until the next EbDispatcher_SetConfig. */
void EbDispatcher_Explain(const EbDispatcher *dispatcher,
                          const EbExplainQuery *query, int64_t now_us,
                          EbExplanation *explanation);

void EbExplanation_Clear(EbExplanation *explanation);

#endif
