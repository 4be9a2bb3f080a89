#include "ebonyhollow/outcome.h"

#include <string.h>

const char *const EbOutcome_names[EB_OUTCOME_COUNT] = {
    [EB_OUTCOME_DONE] = "done",
    [EB_OUTCOME_NOT_RUN] = "not-run",
    [EB_OUTCOME_FAILED] = "failed",
    [EB_OUTCOME_UNKNOWN] = "unknown",
};

const EbReasonInfo EbReason_table[EB_REASON_COUNT] = {
    [EB_REASON_NONE] = {"none", 200, "The request is done.", 0},
    [EB_REASON_BAD_REQUEST] = {"bad-request", 400, "The request is not valid.",
                               0},
    [EB_REASON_BODY_TOO_LARGE] = {"body-too-large", 413,
                                  "The body exceeds the limit.", 0},
    [EB_REASON_UNAUTHENTICATED] = {"unauthenticated", 401,
                                   "The bearer token is missing or wrong.", 0},
    [EB_REASON_FORBIDDEN] = {"forbidden", 403,
                             "No route binds this customer to the pipeline.",
                             0},
    [EB_REASON_UNKNOWN_PIPELINE] = {"unknown-pipeline", 404,
                                    "There is no such pipeline.", 0},
    [EB_REASON_KEY_REQUIRED] = {"key-required", 400,
                                "This pipeline needs an Idempotency-Key.", 0},
    [EB_REASON_KEY_REUSED] = {"key-reused", 422,
                              "The key was used with another body.", 0},
    [EB_REASON_RATE_LIMITED] = {"rate-limited", 429,
                                "The customer's request rate is used up.", 1},
    [EB_REASON_CONCURRENCY_LIMITED] =
        {"concurrency-limited", 429,
         "The customer has too many requests in flight.", 1},
    [EB_REASON_TOKENS_LIMITED] = {"tokens-limited", 429,
                                  "The customer's token rate is used up.", 1},
    [EB_REASON_OVERLOADED] = {"overloaded", 503, "The system is overloaded.",
                              1},
    [EB_REASON_DEADLINE_INFEASIBLE] =
        {"deadline-infeasible", 503,
         "The request could not finish before its deadline.", 1},
    [EB_REASON_DEADLINE_EXCEEDED] = {"deadline-exceeded", 504,
                                     "The deadline passed.", 0},
    [EB_REASON_DRAINING] = {"draining", 503, "This instance is shutting down.",
                            1},
    [EB_REASON_NO_CONFIGURATION] = {"no-configuration", 503,
                                    "This instance has no configuration yet.",
                                    1},
    [EB_REASON_NO_BACKEND_SERVER] = {"no-backend-server", 503,
                                     "No backend server can take the request.",
                                     1},
    [EB_REASON_BACKEND_FAILED] = {"backend-failed", 502,
                                  "A backend server failed.", 1},
    [EB_REASON_BACKEND_REFUSED] = {"backend-refused", 502,
                                   "A backend server rejected the call.", 0},
    [EB_REASON_STORE_UNAVAILABLE] = {"store-unavailable", 503,
                                     "The platform's store does not answer.",
                                     1},
    [EB_REASON_OWNER_UNREACHABLE] =
        {"owner-unreachable", 503,
         "The instance that ran this key can't be reached.", 1},
    [EB_REASON_HOLD_EXPIRED] = {"hold-expired", 503,
                                "The claim on the key ran out.", 0},
    [EB_REASON_QUARANTINED] = {"quarantined", 422,
                               "This request crashed backend servers.", 0},
    [EB_REASON_SUSPECT_QUARANTINED] =
        {"suspect-quarantined", 503,
         "The request or a part of its prompt crashed backend servers.", 1},
    [EB_REASON_PIPELINE_UNUSABLE] =
        {"pipeline-unusable", 503,
         "The configuration of the pipeline or customer can't be used.", 1},
    [EB_REASON_EVACUATED] =
        {"evacuated", 503,
         "Every server for the request is in an evacuated failure domain.", 1},
    [EB_REASON_CALLER_GONE] = {"caller-gone", 499,
                               "The caller closed its connection.", 0},
    [EB_REASON_SHUTDOWN] = {"shutdown", 503,
                            "The instance stopped before the end.", 1},
};

EbOutcome
EbOutcome_Parse(const char *name)
{
    int outcome = 0;
    while (outcome < EB_OUTCOME_COUNT &&
           strcmp(name, EbOutcome_names[outcome]) != 0) {
        outcome++;
    }
    return (EbOutcome)outcome;
}

EbReason
EbReason_Parse(const char *name)
{
    int reason = 0;
    while (reason < EB_REASON_COUNT &&
           strcmp(name, EbReason_table[reason].name) != 0) {
        reason++;
    }
    return (EbReason)reason;
}
