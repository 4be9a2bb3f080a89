/* EbOutcome: what a caller is told about its request, and why.
 *
 * The wire names are fixed; docs/api.md lists them. */
#ifndef EBONYHOLLOW_OUTCOME_H
#define EBONYHOLLOW_OUTCOME_H

#include <stdint.h>

typedef enum {
    EB_OUTCOME_DONE,    /* the whole answer follows */
    EB_OUTCOME_NOT_RUN, /* nothing was handed out and nothing will be */
    EB_OUTCOME_FAILED,  /* no non-idempotent call was handed out */
    EB_OUTCOME_UNKNOWN, /* a non-idempotent call may have run */
    EB_OUTCOME_COUNT
} EbOutcome;

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
    EB_REASON_COUNT
} EbReason;

typedef struct {
    const char *name;     /* wire name, last part of the problem type */
    uint16_t http_status; /* status of the answer when it is not done */
    const char *title;    /* one sentence for people */
    uint8_t retry_after;  /* 1 when Retry-After helps the caller */
} EbReasonInfo;

/* Table parallel to EbReason. */
extern const EbReasonInfo EbReason_table[EB_REASON_COUNT];

/* Looks a wire name up.
 *
 * Returns the outcome, or EB_OUTCOME_COUNT for an unknown name. */
EbOutcome EbOutcome_Parse(const char *name);

/* Returns the reason, or EB_REASON_COUNT for an unknown name. */
EbReason EbReason_Parse(const char *name);

#endif
