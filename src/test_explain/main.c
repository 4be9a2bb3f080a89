/* Tests of EbExplain: the explained choice is the one that a real request
 * gets, and the question changes nothing. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/explain.h"
#include "test_runner.h"
#include "world.h"

#define SEEDS 12
#define STEPS 600

/* What was seen, so that the test can't pass without the states it is for. */
typedef struct {
    unsigned admissions[EB_ADMISSION_COUNT];
    unsigned objections[EB_OBJECTION_COUNT];
    unsigned reasons[EB_REASON_COUNT];
    unsigned cached; /* choices of the server with the prompt's parts */
} Seen;

static void
explain(const World *world, uint32_t path, uint64_t part,
        EbExplanation *explanation)
{
    EbForwardCall *call = World_NewCall(world, path, part);
    EbDispatcher_Explain(world->dispatcher,
                         &(EbExplainQuery){.call = call, .customer = "c-1"},
                         world->now_us, explanation);
    EbForwardCall_Unref(call);
}

/* Compares the explanation with what the dispatcher then did. */
static bool
is_right(const World *world, const EbExplanation *explanation)
{
    if (explanation->admission == EB_ADMISSION_REFUSED) {
        return world->answered && world->reason == explanation->reason &&
               world->last_server == NULL;
    }
    if (explanation->admission == EB_ADMISSION_WAITS) {
        return !world->answered && world->last_server == NULL;
    }
    return !world->answered && world->last_server != NULL &&
           strcmp(world->last_server, explanation->chosen->id) == 0;
}

/* Returns whether the objections agree with the choice: a server with some is
 * chosen only if no server is without, and one is chosen if any is without. */
static bool
agrees(const EbExplanation *explanation)
{
    bool any_free = false;
    uint32_t chosen = 0;
    for (size_t i = 0; i < explanation->server_count; i++) {
        const EbPoolCandidate *candidate = &explanation->servers[i];
        any_free = any_free || candidate->objections == 0;
        if (candidate->view.server == explanation->chosen) {
            chosen = candidate->objections;
        }
    }
    return any_free ? explanation->chosen != NULL && chosen == 0
                    : explanation->chosen == NULL || chosen != 0;
}

static void
record(Seen *seen, const EbExplanation *explanation)
{
    seen->admissions[explanation->admission]++;
    seen->reasons[explanation->reason]++;
    seen->cached += explanation->admission == EB_ADMISSION_GOES &&
                    explanation->chosen == explanation->cached;
    for (size_t i = 0; i < explanation->server_count; i++) {
        for (uint32_t j = 0; j < EB_OBJECTION_COUNT; j++) {
            seen->objections[j] += (explanation->servers[i].objections &
                                    EB_OBJECTION_BIT(j)) != 0;
        }
    }
}

/* Ends a running call in one of the ways that change what is known of its
 * server. */
static void
end_call(World *world, EbRandom *script)
{
    static const EbAttemptEvent ends[] = {
        {.kind = EB_ATTEMPT_ANSWERED, .http_status = 200},
        {.kind = EB_ATTEMPT_ANSWERED, .http_status = 200},
        {.kind = EB_ATTEMPT_ANSWERED, .http_status = 200},
        {.kind = EB_ATTEMPT_ANSWERED, .http_status = 200},
        {.kind = EB_ATTEMPT_ANSWERED, .http_status = 500},
        {.kind = EB_ATTEMPT_BROKEN},
        {.kind = EB_ATTEMPT_REFUSED},
        {.kind = EB_ATTEMPT_ANSWERED,
         .http_status = 200,
         .directive = {.has_limit = true, .requests_per_s_milli = 3000}},
        {.kind = EB_ATTEMPT_ANSWERED,
         .http_status = 503,
         .forward = {.not_run = true},
         .directive = {.retry_after_us = SECOND_US}},
    };
    uint32_t end = (uint32_t)EbRandom_Below(script, G_N_ELEMENTS(ends));
    uint32_t index = (uint32_t)EbRandom_Below(script, SERVERS);
    if (index < world->running->len) {
        World_SendEvent(world, index, &ends[end]);
    }
}

static void
change_servers(World *world, EbRandom *script)
{
    static const char *const domains[] = {"natal", "olinda"};
    uint32_t index = (uint32_t)EbRandom_Below(script, SERVERS);
    char id[16];
    snprintf(id, sizeof(id), "s-%u", index);
    switch (EbRandom_Below(script, 4)) {
    case 0: /* starts anew */
        world->incarnations[index]++;
        World_Configure(world);
        EbPace_RecordEntry(world->pace, id, world->incarnations[index], -1,
                           world->now_us);
        break;
    case 1:
        EbDispatcher_ServerLeaving(world->dispatcher, id, 0,
                                   EbRandom_Below(script, 3) == 0, "peer",
                                   world->now_us);
        break;
    default:
        World_Evacuate(world, domains[index % 2],
                       EbRandom_Below(script, 3) == 0);
        break;
    }
}

/* Plays one step of a script. With `seen`, requests are explained before they
 * are submitted, and explained again at random. */
static void
play_step(World *world, EbRandom *script, Seen *seen)
{
    uint64_t kind = EbRandom_Below(script, 100);
    uint32_t path = (uint32_t)EbRandom_Below(script, WORLD_PATHS);
    uint64_t part = EbRandom_Below(script, 4);
    World_Advance(world, 1000 + (int64_t)EbRandom_Below(script, 40000));
    if (seen != NULL) {
        EbExplanation other;
        explain(world, WORLD_PATHS - 1 - path, part + 1, &other);
        CU_ASSERT_TRUE(agrees(&other));
        EbExplanation_Clear(&other);
    }
    if (kind < 3) {
        change_servers(world, script);
    }
    else if (kind < 75) {
        end_call(world, script);
    }
    else if (seen == NULL) {
        World_Submit(world, path, part);
    }
    else {
        EbExplanation explanation;
        explain(world, path, part, &explanation);
        World_Submit(world, path, part);
        CU_ASSERT_TRUE(is_right(world, &explanation));
        CU_ASSERT_TRUE(agrees(&explanation));
        record(seen, &explanation);
        EbExplanation_Clear(&explanation);
    }
}

static char *
format_metrics(const World *world)
{
    size_t length;
    return EbMetrics_Format(world->metrics, &length);
}

/* Guards against an explanation that names another server, or another outcome
 * of the admission, than a request then gets; and against one that changes
 * later choices, counters or events. Of two dispatchers that get the same
 * requests only one is asked. */
static void
test_same_as_real(void)
{
    Seen seen = {0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        World asked, plain;
        EbRandom scripts[2];
        World_Open(&asked, seed);
        World_Open(&plain, seed);
        EbRandom_Init(&scripts[0], seed);
        EbRandom_Init(&scripts[1], seed);
        for (int i = 0; i < STEPS; i++) {
            play_step(&asked, &scripts[0], &seen);
            play_step(&plain, &scripts[1], NULL);
        }
        char *metrics[] = {format_metrics(&asked), format_metrics(&plain)};
        CU_ASSERT_STRING_EQUAL(asked.log->str, plain.log->str);
        CU_ASSERT_STRING_EQUAL(metrics[0], metrics[1]);
        CU_ASSERT_EQUAL(asked.random.state, plain.random.state);
        CU_ASSERT_EQUAL(EbPace_Count(asked.pace), EbPace_Count(plain.pace));
        free(metrics[0]);
        free(metrics[1]);
        World_Close(&asked);
        World_Close(&plain);
    }
    CU_ASSERT_TRUE(seen.admissions[EB_ADMISSION_GOES] > 300);
    CU_ASSERT_TRUE(seen.admissions[EB_ADMISSION_WAITS] > 100);
    CU_ASSERT_TRUE(seen.reasons[EB_REASON_OVERLOADED] > 20);
    CU_ASSERT_TRUE(seen.reasons[EB_REASON_CONCURRENCY_LIMITED] +
                       seen.reasons[EB_REASON_RATE_LIMITED] >
                   20);
    CU_ASSERT_TRUE(seen.cached > 100);
    for (uint32_t i = 0; i < EB_OBJECTION_COUNT; i++) {
        CU_ASSERT_TRUE(seen.objections[i] > 20);
    }
    printf("goes %u, waits %u, refused %u;", seen.admissions[0],
           seen.admissions[1], seen.admissions[2]);
    for (uint32_t i = 0; i < EB_OBJECTION_COUNT; i++) {
        printf(" %s %u", EbObjection_names[i], seen.objections[i]);
    }
    for (uint32_t i = 1; i < EB_REASON_COUNT; i++) {
        if (seen.reasons[i] > 0) {
            printf(" %s %u", EbReason_table[i].name, seen.reasons[i]);
        }
    }
    printf(" cached %u\n", seen.cached);
}

/* Guards against an answer that names a customer's route or stages although
 * there is none. */
static void
test_refusals(void)
{
    static const struct {
        const char *path, *customer;
        EbReason reason;
    } rows[] = {{"/none/x", "c-1", EB_REASON_UNKNOWN_PIPELINE},
                {"/plain/x", NULL, EB_REASON_UNAUTHENTICATED},
                {"/plain/x", "c-2", EB_REASON_UNAUTHENTICATED},
                {"/plain/x", "c-1", EB_REASON_NONE}};
    World world;
    World_Open(&world, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbForwardCall call = {.host = (char *)"h.example",
                              .path = (char *)rows[i].path};
        EbExplanation explanation;
        EbDispatcher_Explain(
            world.dispatcher,
            &(EbExplainQuery){.call = &call, .customer = rows[i].customer},
            world.now_us, &explanation);
        CU_ASSERT_EQUAL(explanation.reason, rows[i].reason);
        CU_ASSERT_EQUAL(explanation.pool == NULL,
                        rows[i].reason != EB_REASON_NONE);
        EbExplanation_Clear(&explanation);
    }
    World_Close(&world);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"the same as a real request", test_same_as_real},
        {"refusals", test_refusals},
    };
    return EbTest_Run("test_explain", cases, G_N_ELEMENTS(cases));
}
