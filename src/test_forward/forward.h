/* Declarations shared by the files of test_forward: a dispatcher on a virtual
 * clock, and what it did. */
#ifndef EB_TEST_FORWARD_H
#define EB_TEST_FORWARD_H

#include "ebonyhollow/dispatcher.h"

#define SECOND_US INT64_C(1000000)
#define TOKEN "caller-token"
#define UNUSABLE_TOKEN "t-3"
#define MAX_SENDS 16

typedef struct {
    EbActionQueue *actions;
    EbRandom random;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbSuspects *suspects;
    EbDirectives *directives;
    EbEvacuations *evacuations;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    EbConfig *config;
    EbPromptPart parts[3]; /* of the prompts of submitted requests */
    uint32_t part_count;
    /* Work items of submitted requests, by preparation. */
    uint32_t item_counts[EB_CONFIG_MAX_PREPARATIONS];
    uint32_t item_stage_count;
    unsigned submit_count;
    int64_t now_us;
    uint64_t sends[MAX_SENDS]; /* attempt ids */
    char servers[MAX_SENDS][8];
    int64_t resumed_after[MAX_SENDS];
    char customer[16]; /* that the last send names; empty: none */
    unsigned send_count;
    unsigned cancel_count;
    uint64_t jobs[MAX_SENDS]; /* preparations that were started */
    uint32_t job_stages[MAX_SENDS];
    uint64_t job_bytes[MAX_SENDS]; /* that a work item moves */
    bool job_near_inputs[MAX_SENDS];
    int64_t job_due_us[MAX_SENDS];
    int64_t job_deadlines_us[MAX_SENDS];
    int64_t caller_timeout_us; /* of the next requests; 0: the route's */
    unsigned job_count;
    unsigned ended_count; /* preparations that were ended */
    char *inputs;         /* of the last send, each followed by a blank */
    GString *relayed;     /* bytes of the relayed events */
    unsigned head_count;  /* relayed heads */
    bool answered;
    EbOutcome outcome;
    EbReason reason;
    int64_t retry_after_us;
    uint16_t status; /* of the server's answer that was passed on; 0: none */
} Fixture;

typedef struct {
    EbAttemptEventKind kind;
    uint16_t status;
    bool not_run;
    bool unsigned_answer;
    bool wrong_request_id;
    bool no_request_id;
    bool reused_connection;
    int64_t event_id;
    const char *bytes;
    EbServerDirective directive;
} Event;

/* fixture.c */

EbConfig *Fixture_MakeConfig(void);

void Fixture_Open(Fixture *fixture);
void Fixture_Close(Fixture *fixture);

/* Records what the dispatcher wants to be done. */
void Fixture_ProcessActions(Fixture *fixture);

/* Submits a request with the prompt of `parts`. `token` may be NULL. Returns
 * its id. */
uint64_t Fixture_Submit(Fixture *fixture, const char *path, const char *token);

/* Runs the dispatcher's timers for a time. */
void Fixture_Advance(Fixture *fixture, int64_t by_us);

/* Passes an event of the latest attempt to the dispatcher. */
void Fixture_SendEvent(Fixture *fixture, const Event *event);

/* admission.c */

void test_refusals(void);
void test_callers(void);
void test_drain(void);
void test_detached(void);
void test_left_between_attempts(void);
void test_left_while_waiting(void);

/* preparations.c */

void test_preparations(void);
void test_early_preparation(void);
void test_useless_preparations(void);
void test_abandoned_streams(void);
void test_repeated_request(void);
void test_prepared_twice(void);
void test_lost_results(void);
void test_long_chain(void);
void test_feasible_chain(void);

/* directives.c */

void test_limited_servers(void);
void test_retry_after_from_limit(void);
void test_foreign_directive(void);
void test_paused_server(void);
void test_leaving_server(void);

/* evacuations.c */

void test_evacuated_domain(void);
void test_everything_evacuated(void);
void test_evacuated_preparation(void);

/* suspects.c */

void test_prompt_part_crashes_servers(void);
void test_repeat_awaits_evidence(void);
void test_single_broken_call(void);

#endif
