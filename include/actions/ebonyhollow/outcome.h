/* EbOutcome: the outcome of a request as reported to its caller, and the
 * reason for it.
 *
 * The wire names are fixed; docs/api.md lists them. */
#ifndef EBONYHOLLOW_OUTCOME_H
#define EBONYHOLLOW_OUTCOME_H

#include <stdint.h>

typedef enum {
    EB_OUTCOME_DONE,    /* the request is complete; its answer follows */
    EB_OUTCOME_NOT_RUN, /* no call was sent to a server and none will be */
    EB_OUTCOME_FAILED,  /* calls may have run, but none non-idempotent */
    EB_OUTCOME_UNKNOWN, /* a non-idempotent call may have run */
    EB_OUTCOME_COUNT
} EbOutcome;

/* Wire names, indexed by EbOutcome. */
extern const char *const EbOutcome_names[EB_OUTCOME_COUNT];

typedef enum {
    EB_REASON_NONE,
    EB_REASON_BAD_REQUEST,
    EB_REASON_BODY_TOO_LARGE,
    EB_REASON_UNAUTHENTICATED,
    EB_REASON_FORBIDDEN,
    EB_REASON_UNKNOWN_PIPELINE,
    EB_REASON_KEY_REQUIRED,
    EB_REASON_KEY_REUSED,
    EB_REASON_RATE_LIMITED,
    EB_REASON_CONCURRENCY_LIMITED,
    EB_REASON_TOKENS_LIMITED,
    EB_REASON_OVERLOADED,
    EB_REASON_DEADLINE_INFEASIBLE,
    EB_REASON_DEADLINE_EXCEEDED,
    EB_REASON_DRAINING,
    EB_REASON_NO_CONFIGURATION,
    EB_REASON_NO_BACKEND_SERVER,
    EB_REASON_BACKEND_FAILED,
    EB_REASON_BACKEND_REFUSED, /* the backend server answered 4xx */
    EB_REASON_STORE_UNAVAILABLE,
    EB_REASON_OWNER_UNREACHABLE, /* the claim's owner is dead or cut off */
    EB_REASON_HOLD_EXPIRED,
    EB_REASON_QUARANTINED,
    EB_REASON_CALLER_GONE,
    EB_REASON_SHUTDOWN,
    EB_REASON_SUSPECT_QUARANTINED,
    EB_REASON_PIPELINE_UNUSABLE,
    EB_REASON_EVACUATED, /* every server is in an evacuated failure domain */
    EB_REASON_COUNT
} EbReason;

typedef struct {
    const char *name;     /* wire name, last part of the problem type */
    uint16_t http_status; /* of the answer, unless the outcome is done */
    const char *title;    /* title of the problem, one sentence */
    uint8_t retry_after;  /* 1: a later retry may succeed; send Retry-After */
} EbReasonInfo;

/* Indexed by EbReason. */
extern const EbReasonInfo EbReason_table[EB_REASON_COUNT];

/* Returns the outcome with this wire name, or EB_OUTCOME_COUNT for an unknown
 * name. */
EbOutcome EbOutcome_Parse(const char *name);

/* Returns the reason with this wire name, or EB_REASON_COUNT for an unknown
 * name. */
EbReason EbReason_Parse(const char *name);

#endif
