/* The table of faults and steps.
 *
 * Each cell is one run: a keyed request with a non-idempotent call is sent to
 * one daemon and the fault happens. Once the request has ended, the caller
 * repeats it with the same key at the other daemon. */
#include "matrix.h"

#include <stdio.h>
#include <string.h>

#include "sequences.h"
#include "simulation.h"
#include "test_page.h"
#include "test_runner.h"

#define SECOND_US 1000000LL
#define MAX_RUN_US (120 * SECOND_US)
#define PAGE EB_SOURCE_DIRECTORY "/docs/fault-matrix.md"
/* There is no answer: the caller left, or its daemon died. */
#define OUTCOME_CUT EB_OUTCOME_COUNT

/* Result of a request and of its repeat. */
typedef struct {
    EbOutcome outcome;
    uint32_t runs;     /* executions of the call, before the repeat */
    const char *claim; /* state of the claim, before the repeat */
    EbOutcome repeat;
    uint32_t total_runs;
} Result;

/* Results that occur in the table, with their members in the order above. */
#define DONE                                                                  \
    {                                                                         \
        EB_OUTCOME_DONE, 1, "done", EB_OUTCOME_DONE, 1                        \
    }
#define RELEASED                                                              \
    {                                                                         \
        EB_OUTCOME_FAILED, 0, "open", EB_OUTCOME_DONE, 1                      \
    }
#define RELEASED_TWICE                                                        \
    {                                                                         \
        EB_OUTCOME_FAILED, 0, "open", EB_OUTCOME_FAILED, 0                    \
    }
#define VOID                                                                  \
    {                                                                         \
        EB_OUTCOME_NOT_RUN, 0, "void", EB_OUTCOME_NOT_RUN, 0                  \
    }
#define UNKNOWN                                                               \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 0, "unknown", EB_OUTCOME_UNKNOWN, 0               \
    }
#define UNKNOWN_RAN                                                           \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 1, "unknown", EB_OUTCOME_UNKNOWN, 1               \
    }
#define LATE_DONE                                                             \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 1, "done", EB_OUTCOME_DONE, 1                     \
    }
#define REFUSED                                                               \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 0, "absent", EB_OUTCOME_DONE, 1                   \
    }
#define ABANDONED                                                             \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 0, "open", EB_OUTCOME_DONE, 1                     \
    }
#define CALLER_LEFT                                                           \
    {                                                                         \
        OUTCOME_CUT, 0, "open", EB_OUTCOME_DONE, 1                            \
    }
#define CALLER_LEFT_RAN                                                       \
    {                                                                         \
        OUTCOME_CUT, 1, "done", EB_OUTCOME_DONE, 1                            \
    }
#define ORPHANED                                                              \
    {                                                                         \
        OUTCOME_CUT, 0, "claimed", EB_OUTCOME_UNKNOWN, 0                      \
    }
#define ORPHANED_RAN                                                          \
    {                                                                         \
        OUTCOME_CUT, 1, "claimed", EB_OUTCOME_UNKNOWN, 1                      \
    }
#define ORPHANED_FOUND                                                        \
    {                                                                         \
        OUTCOME_CUT, 1, "claimed", EB_OUTCOME_DONE, 1                         \
    }
#define UNKNOWN_FOUND                                                         \
    {                                                                         \
        EB_OUTCOME_UNKNOWN, 1, "unknown", EB_OUTCOME_DONE, 1                  \
    }
#define NOT_SUBMITTED                                                         \
    {                                                                         \
        OUTCOME_CUT, 0, "absent", EB_OUTCOME_DONE, 1                          \
    }

typedef struct {
    Fault fault;
    Step first; /* the row covers the steps first to last */
    Step last;
    bool lookup;     /* the service can be asked for the outcome of a key */
    bool once;       /* the fault can't happen twice */
    Result expected; /* after one fault */
    Result expected_twice; /* after the same fault twice */
} Row;

/* After three crashes or broken connections in one step, the daemon
 * quarantines the request, which fails. The repeat succeeds because the
 * simulated daemons don't exchange quarantine entries. */
static const Result expected_quarantined = RELEASED;

static const Row rows[] = {
    {FAULT_REFUSED, STEP_ENCODE, STEP_CALL, false, false, DONE, DONE},
    {FAULT_BROKEN, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_BROKEN_RAN, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_SILENT, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_SILENT_RAN, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_SLOW, STEP_ENCODE, STEP_CALL, false, false, DONE, DONE},
    {FAULT_LATE, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_WRONG_ECHO, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_MALFORMED, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_STATUS_429, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_STATUS_503, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_STATUS_500, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_STATUS_400, STEP_ENCODE, STEP_GENERATE, false, false, RELEASED,
     RELEASED_TWICE},
    {FAULT_LEAVING, STEP_ENCODE, STEP_CALL, false, false, DONE, DONE},
    {FAULT_CRASH, STEP_ENCODE, STEP_GENERATE, false, false, DONE, DONE},
    {FAULT_BROKEN, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_BROKEN_RAN, STEP_CALL, STEP_CALL, false, false, UNKNOWN_RAN,
     UNKNOWN_RAN},
    {FAULT_SILENT, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_SILENT_RAN, STEP_CALL, STEP_CALL, false, false, UNKNOWN_RAN,
     UNKNOWN_RAN},
    {FAULT_LATE, STEP_CALL, STEP_CALL, false, false, LATE_DONE, LATE_DONE},
    {FAULT_WRONG_ECHO, STEP_CALL, STEP_CALL, false, false, UNKNOWN_RAN,
     UNKNOWN_RAN},
    {FAULT_MALFORMED, STEP_CALL, STEP_CALL, false, false, UNKNOWN_RAN,
     UNKNOWN_RAN},
    {FAULT_STATUS_429, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_STATUS_503, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_STATUS_500, STEP_CALL, STEP_CALL, false, false, UNKNOWN_RAN,
     UNKNOWN_RAN},
    {FAULT_STATUS_400, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_CRASH, STEP_CALL, STEP_CALL, false, false, UNKNOWN, UNKNOWN},
    {FAULT_BROKEN, STEP_CALL, STEP_CALL, true, false, UNKNOWN, UNKNOWN},
    {FAULT_BROKEN_RAN, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_SILENT, STEP_CALL, STEP_CALL, true, false, UNKNOWN, UNKNOWN},
    {FAULT_SILENT_RAN, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_LATE, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_WRONG_ECHO, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_MALFORMED, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_STATUS_500, STEP_CALL, STEP_CALL, true, false, DONE, DONE},
    {FAULT_OWNER_DEAD, STEP_CALL, STEP_CALL, true, true, ORPHANED_FOUND, DONE},
    {FAULT_ABORT, STEP_CALL, STEP_CALL, true, true, UNKNOWN_FOUND, DONE},
    {FAULT_STORE_UNAVAILABLE, STEP_CLAIM, STEP_CLAIM, false, false, DONE,
     DONE},
    {FAULT_STORE_SLOW, STEP_CLAIM, STEP_CLAIM, false, false, DONE, DONE},
    {FAULT_STORE_LOST, STEP_CLAIM, STEP_CLAIM, false, false, DONE, DONE},
    {FAULT_STORE_LOST_EFFECT, STEP_CLAIM, STEP_CLAIM, false, false, DONE,
     DONE},
    {FAULT_STORE_LOST_LATE, STEP_CLAIM, STEP_CLAIM, false, false, DONE, DONE},
    {FAULT_STORE_STALE, STEP_CLAIM, STEP_CLAIM, false, false, DONE, DONE},
    {FAULT_STORE_UNAVAILABLE, STEP_RECORD, STEP_RECORD, false, false, DONE,
     DONE},
    {FAULT_STORE_SLOW, STEP_RECORD, STEP_RECORD, false, false, DONE, DONE},
    {FAULT_STORE_LOST, STEP_RECORD, STEP_RECORD, false, false, DONE, DONE},
    {FAULT_STORE_LOST_EFFECT, STEP_RECORD, STEP_RECORD, false, false, DONE,
     DONE},
    {FAULT_STORE_LOST_LATE, STEP_RECORD, STEP_RECORD, false, false, DONE,
     DONE},
    {FAULT_OWNER_DEAD, STEP_ADMIT, STEP_ADMIT, false, true, NOT_SUBMITTED,
     DONE},
    {FAULT_OWNER_DEAD, STEP_QUEUE, STEP_GENERATE, false, true, ORPHANED, DONE},
    {FAULT_OWNER_DEAD, STEP_CALL, STEP_CALL, false, true, ORPHANED_RAN, DONE},
    {FAULT_OWNER_DEAD, STEP_RECORD, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_OWNER_PAUSED, STEP_QUEUE, STEP_GENERATE, false, true, RELEASED,
     DONE},
    {FAULT_OWNER_PAUSED, STEP_CALL, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_CALLER_GONE, STEP_QUEUE, STEP_GENERATE, false, true, CALLER_LEFT,
     DONE},
    {FAULT_CALLER_GONE, STEP_CALL, STEP_CALL, false, true, CALLER_LEFT_RAN,
     DONE},
    {FAULT_CALLER_GONE, STEP_RECORD, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_DEADLINE, STEP_ADMIT, STEP_ADMIT, false, true, REFUSED, DONE},
    {FAULT_DEADLINE, STEP_QUEUE, STEP_CLAIM, false, true, VOID, DONE},
    {FAULT_DEADLINE, STEP_ENCODE, STEP_GENERATE, false, true, RELEASED, DONE},
    {FAULT_DEADLINE, STEP_CALL, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_DRAIN, STEP_ADMIT, STEP_ADMIT, false, true, REFUSED, DONE},
    {FAULT_DRAIN, STEP_QUEUE, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_ABORT, STEP_QUEUE, STEP_QUEUE, false, true, VOID, DONE},
    {FAULT_ABORT, STEP_CLAIM, STEP_CLAIM, false, true, ABANDONED, DONE},
    {FAULT_ABORT, STEP_ENCODE, STEP_GENERATE, false, true, RELEASED, DONE},
    {FAULT_ABORT, STEP_CALL, STEP_CALL, false, true, UNKNOWN_RAN, DONE},
    {FAULT_ABORT, STEP_RECORD, STEP_ANSWER, false, true, DONE, DONE},
    {FAULT_CONFIG, STEP_ADMIT, STEP_ANSWER, false, true, DONE, DONE},
};

/* A row at one of its steps. */
typedef struct {
    const Row *row;
    Step step;
} Cell;

static GArray *
all_cells(void)
{
    GArray *cells = g_array_new(FALSE, FALSE, sizeof(Cell));
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        for (Step step = rows[i].first; step <= rows[i].last; step++) {
            Cell cell = {&rows[i], step};
            g_array_append_val(cells, cell);
        }
    }
    return cells;
}

/* What happened in one run of a cell or of a pair. */
typedef struct {
    Result found;
    bool hit[2]; /* faults that happened before the repeat */
    Simulation *simulation;
} Run;

static void
step_until(Simulation *simulation, int64_t until_us)
{
    while (!simulation->failed && Simulation_Step(simulation, until_us)) {
    }
}

/* Submits a request without a key that occupies the only server of the first
 * pool. */
static void
occupy_server(Simulation *simulation)
{
    SimulationRequest *request = Simulation_Submit(
        simulation, &(SimulationSubmit){.pipeline = "ask", .input = "other"});
    step_until(simulation, simulation->now_us + 3000);
    simulation->exempt_request_id = request->request_id;
}

static SimulationRequest *
submit(Simulation *simulation, uint32_t daemon, int64_t timeout_us)
{
    if (!simulation->daemons[daemon].alive) {
        return NULL;
    }
    return Simulation_Submit(simulation,
                             &(SimulationSubmit){.daemon = daemon,
                                                 .pipeline = "pay",
                                                 .key = "key",
                                                 .input = "text",
                                                 .timeout_us = timeout_us,
                                                 .stream = daemon == 0});
}

static EbOutcome
request_outcome(const SimulationRequest *request)
{
    return request != NULL && request->answered ? request->outcome
                                                : OUTCOME_CUT;
}

/* Returns whether a fault is injected at a step. FAULT_NONE and STEP_COUNT
 * stand for any fault and any step. */
static bool
has_fault(const Injection *injections, uint32_t count, Fault fault, Step step)
{
    for (uint32_t i = 0; i < count; i++) {
        if ((fault == FAULT_NONE || injections[i].fault == fault) &&
            (step == STEP_COUNT || injections[i].step == step)) {
            return true;
        }
    }
    return false;
}

static Run
run_faults(const Injection *injections, uint32_t count, bool lookup)
{
    /* For a fault in the queue, a slow call occupies the only server. A paused
     * owner needs a deadline that is later than the end of its hold. */
    bool queued = has_fault(injections, count, FAULT_NONE, STEP_QUEUE);
    bool paused = has_fault(injections, count, FAULT_OWNER_PAUSED, STEP_COUNT);
    Simulation *simulation = Simulation_New(
        &(SimulationOptions){.seed = 1,
                             .config = {.lookup = lookup,
                                        .servers = queued ? 1 : 0,
                                        .capacity = queued ? 1 : 0,
                                        .deadline_ms = paused ? 60000 : 0}});
    if (queued) {
        simulation->injections[0] = (Injection){FAULT_SLOW, STEP_ENCODE, 1};
        simulation->injection_count = 1;
        occupy_server(simulation);
    }
    memcpy(simulation->injections, injections, count * sizeof(*injections));
    simulation->injection_count = count;
    bool short_deadline =
        has_fault(injections, count, FAULT_DEADLINE, STEP_ADMIT);
    Simulation_Trigger(simulation, STEP_ADMIT, 0, NULL);
    step_until(simulation, simulation->now_us);
    SimulationRequest *first =
        submit(simulation, 0, short_deadline ? 1000 : 0);
    if (queued) {
        step_until(simulation, simulation->now_us + 10000);
        Simulation_Trigger(simulation, STEP_QUEUE, 0, NULL);
    }
    Simulation_Run(simulation, simulation->now_us + MAX_RUN_US);
    step_until(simulation, simulation->now_us + 3 * SECOND_US);
    SimulationRecord *record = Simulation_Record(simulation, "key");
    Result found = {request_outcome(first), record->runs,
                    Simulation_ClaimState(simulation, "key"), 0, 0};
    Run run = {.simulation = simulation};
    for (uint32_t i = 0; i < count; i++) {
        run.hit[i] = simulation->injections[i].count < injections[i].count;
    }
    SimulationRequest *repeat = submit(simulation, 1, 0);
    Simulation_Run(simulation, simulation->now_us + MAX_RUN_US);
    Simulation_CheckEnd(simulation);
    found.repeat = request_outcome(repeat);
    found.total_runs = Simulation_Record(simulation, "key")->runs;
    run.found = found;
    return run;
}

static const char *
outcome_name(EbOutcome outcome)
{
    return outcome == OUTCOME_CUT ? "cut" : EbOutcome_names[outcome];
}

static bool
is_same_result(const Result *left, const Result *right)
{
    return left->outcome == right->outcome && left->runs == right->runs &&
           strcmp(left->claim, right->claim) == 0 &&
           left->repeat == right->repeat &&
           left->total_runs == right->total_runs;
}

static void
print_result(const char *title, const Result *expected)
{
    printf("  %s: %s, %u runs, claim %s; repeat %s, %u runs\n", title,
           outcome_name(expected->outcome), expected->runs, expected->claim,
           outcome_name(expected->repeat), expected->total_runs);
}

static bool
check_cell(const Cell *cell, uint32_t count, const Result *expected)
{
    Injection injection = {cell->row->fault, cell->step, count};
    Run run = run_faults(&injection, 1, cell->row->lookup);
    bool passed =
        !run.simulation->failed && is_same_result(&run.found, expected);
    if (!passed) {
        printf("%s at %s, %u times%s: %s\n", Fault_names[cell->row->fault],
               Step_names[cell->step], count,
               cell->row->lookup ? ", with look-up" : "",
               run.simulation->failure);
        print_result("expected", expected);
        print_result("found", &run.found);
        printf("%s", run.simulation->trace->str);
    }
    Simulation_Free(run.simulation);
    return passed;
}

static bool
is_quarantined_thrice(const Cell *cell)
{
    bool crash = cell->row->fault == FAULT_BROKEN ||
                 cell->row->fault == FAULT_BROKEN_RAN ||
                 cell->row->fault == FAULT_CRASH;
    return crash && cell->step != STEP_CALL;
}

/* Returns the result after `count` times the fault, or NULL if the cell isn't
 * played so often. */
static const Result *
find_expected(const Cell *cell, uint32_t count)
{
    if (count == 1) {
        return &cell->row->expected;
    }
    if (count == 2) {
        return cell->row->once ? NULL : &cell->row->expected_twice;
    }
    return is_quarantined_thrice(cell) ? &expected_quarantined : NULL;
}

static void
check_cells(uint32_t count)
{
    GArray *cells = all_cells();
    uint32_t played = 0;
    uint32_t wrong = 0;
    for (guint i = 0; i < cells->len; i++) {
        const Cell *cell = &g_array_index(cells, Cell, i);
        const Result *expected = find_expected(cell, count);
        if (expected != NULL) {
            played++;
            wrong += !check_cell(cell, count, expected);
        }
    }
    printf("%u cells, each fault %u times, %u wrong\n", played, count, wrong);
    CU_ASSERT_EQUAL(wrong, 0);
    g_array_free(cells, TRUE);
}

void
test_single_faults(void)
{
    check_cells(1);
}

void
test_repeated_faults(void)
{
    check_cells(2);
    check_cells(3);
}

/* Returns whether a fault keeps its daemon from going on with the request: it
 * pauses the daemon, or ends the request at the drain limit. */
static bool
interrupts_daemon(const Cell *cell)
{
    return cell->row->fault == FAULT_DEADLINE ||
           cell->row->fault == FAULT_OWNER_PAUSED ||
           cell->row->fault == FAULT_ABORT;
}

/* Returns whether two faults can prevent the confirmation of the claim. */
static bool
may_stay_unconfirmed(const Cell *a, const Cell *b)
{
    bool delayed =
        a->step == STEP_CLAIM &&
        (interrupts_daemon(a) || a->row->fault >= FAULT_STORE_UNAVAILABLE);
    return delayed && interrupts_daemon(b) && b->step <= STEP_CLAIM;
}

/* Returns whether an outcome can result from two faults that both happened. It
 * is the outcome listed for one of them, with the exceptions below. */
static bool
follows_from_both(const Cell *a, const Cell *b, EbOutcome outcome)
{
    EbOutcome first = a->row->expected.outcome;
    EbOutcome second = b->row->expected.outcome;
    if (outcome == EB_OUTCOME_DONE) {
        /* A daemon that was paused reads a late answer before it handles the
         * time-out, so the answer counts as in time. */
        return first == second ||
               (a->row->fault == FAULT_LATE && interrupts_daemon(b));
    }
    if (outcome == EB_OUTCOME_UNKNOWN && may_stay_unconfirmed(a, b)) {
        return true;
    }
    if (outcome == EB_OUTCOME_FAILED && a->row->fault <= FAULT_CRASH) {
        /* Both use up the retries or quarantine the request, or the deadline
         * passes before a refused call is sent to another server. */
        return b->row->fault <= FAULT_CRASH ||
               (a->row->fault == FAULT_REFUSED && interrupts_daemon(b));
    }
    if (outcome == EB_OUTCOME_NOT_RUN && a->row->fault == FAULT_REFUSED) {
        return interrupts_daemon(b); /* nothing was sent before the deadline */
    }
    return outcome == first || outcome == second;
}

static bool
is_allowed(const Cell *a, const Cell *b, const Run *run)
{
    EbOutcome outcome = run->found.outcome;
    if (run->hit[0] && run->hit[1]) {
        return follows_from_both(a, b, outcome) ||
               follows_from_both(b, a, outcome);
    }
    return outcome == (run->hit[0] ? a : b)->row->expected.outcome;
}

static bool
check_pair(const Cell *a, const Cell *b)
{
    Injection both[2] = {{a->row->fault, a->step, 1},
                         {b->row->fault, b->step, 1}};
    Run run = run_faults(both, 2, a->row->lookup);
    bool passed = !run.simulation->failed && is_allowed(a, b, &run);
    if (!passed) {
        printf("%s at %s and %s at %s: %s\n", Fault_names[a->row->fault],
               Step_names[a->step], Fault_names[b->row->fault],
               Step_names[b->step], run.simulation->failure);
        print_result("found", &run.found);
        printf("%s", run.simulation->trace->str);
    }
    Simulation_Free(run.simulation);
    return passed;
}

void
test_pairs(void)
{
    GArray *cells = all_cells();
    uint32_t pairs = 0;
    uint32_t wrong = 0;
    for (guint i = 0; i < cells->len; i++) {
        for (guint k = i + 1; k < cells->len; k++) {
            const Cell *a = &g_array_index(cells, Cell, i);
            const Cell *b = &g_array_index(cells, Cell, k);
            if (a->row->lookup == b->row->lookup) {
                pairs++;
                wrong += !check_pair(a, b);
            }
        }
    }
    printf("%u pairs, %u wrong\n", pairs, wrong);
    CU_ASSERT_EQUAL(wrong, 0);
    g_array_free(cells, TRUE);
}

/* Documentation page */

static void
append_result(GString *text, const Result *expected)
{
    g_string_append_printf(text, " %s | %u | %s | %s | %u |",
                           outcome_name(expected->outcome), expected->runs,
                           expected->claim, outcome_name(expected->repeat),
                           expected->total_runs);
}

static void
append_cells(GString *text, uint32_t count)
{
    GArray *cells = all_cells();
    g_string_append(text,
                    "| fault | step | outcome | runs | claim | repeat | total "
                    "runs |\n|---|---|---|---|---|---|---|\n");
    for (guint i = 0; i < cells->len; i++) {
        const Cell *cell = &g_array_index(cells, Cell, i);
        const Result *expected = find_expected(cell, count);
        if (expected == NULL) {
            continue;
        }
        g_string_append_printf(
            text, "| %s | %s%s |", Fault_names[cell->row->fault],
            Step_names[cell->step], cell->row->lookup ? ", look-up" : "");
        append_result(text, expected);
        g_string_append_c(text, '\n');
    }
    g_array_free(cells, TRUE);
}

GString *
Matrix_Format(void)
{
    GString *text = g_string_new(
        "# Fault matrix\n\n"
        "Generated by `test_fault_matrix --write docs/fault-matrix.md` from "
        "the table in\n`src/test_fault_matrix/matrix.c`; a test compares this "
        "page with the table and the\ntable with what the dispatcher does.\n\n"
        "Each row is one run. A keyed request with the stages encode, "
        "retrieve, rerank,\ngenerate and a non-idempotent call is sent to one "
        "daemon, and the fault happens\nat the step. `outcome` is what the "
        "caller is told (`cut`: it left or its daemon\ndied, so there is no "
        "answer), `runs` how often the service executed the call\naccording "
        "to its own record, and `claim` the state of the claim in the store.\n"
        "Then the caller repeats the request with the same key at another "
        "daemon; the\nresults are `repeat` and `total runs`. `look-up` marks "
        "a service that can be asked\nfor the outcome of a key.\n\n"
        "Steps: admit and queue are inside the daemon, claim and record are "
        "writes to the\nstore, encode to call are calls to backend servers, "
        "and answer is the moment\nafter the answer was given. A drain is "
        "treated as a fault that can begin at any\nstep; the pairs combine it "
        "with every other fault.\n\n## One fault\n\n");
    append_cells(text, 1);
    g_string_append(text, "\n## The same fault twice\n\n"
                          "If the first request meets the fault only once, "
                          "its repeat meets it the second\ntime.\n\n");
    append_cells(text, 2);
    g_string_append(
        text, "\n## The same crash three times\n\n"
              "The third crash of a server quarantines the request.\n\n");
    append_cells(text, 3);
    g_string_append(
        text,
        "\n## Pairs\n\n"
        "The test also runs every pair of the cells above that have the same "
        "kind of service.\nIf only one of the two faults happens, the outcome "
        "must be the one listed for it.\nOtherwise it must be one of the two "
        "that are listed, and `done` only if it is listed\nfor both, with "
        "these exceptions:\n\n"
        "- Two faults of backend servers may use up the retries or quarantine "
        "the request\n  (`failed`).\n"
        "- A refused call together with a deadline gives `failed` or "
        "`not-run`.\n"
        "- A late answer is in time for a daemon that was paused.\n"
        "- A request whose claim is not confirmed when it ends is "
        "`unknown`.\n\n"
        "In every run the call is executed at most once, each request is "
        "answered once and\nwith its own result, and an answer `not-run` or "
        "`failed` is always true.\n");
    return text;
}

void
test_page(void)
{
    GString *expected = Matrix_Format();
    EbTest_ComparePage(PAGE, expected->str);
    g_string_free(expected, TRUE);
}
