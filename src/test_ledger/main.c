/* Tests of the ledger against a store in memory whose faults are scripted. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/ledger.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000LL
#define DAEMON_COUNT 2
/* Ticks of 30 s in which one daemon lists every kind of claims. */
#define SWEEP_TICKS (4 * EB_LEDGER_KIND_COUNT)

/* What the store does with one operation. */
typedef enum {
    STORE_WORKS,
    STORE_LOSES_ANSWER,  /* takes effect, answered LOST */
    STORE_LOSES_REQUEST, /* no effect, answered LOST */
    STORE_TAKES_IT_LATE, /* answered LOST, takes effect after the next one */
    STORE_DOWN,          /* answered UNAVAILABLE */
    STORE_FAULT_COUNT
} StoreFault;

typedef struct {
    uint64_t version;
    json_t *value;
} Object;

typedef struct {
    EbLedger *ledger;
    EbActionQueue *actions;
    EbRandom random;
} Daemon;

typedef struct {
    GHashTable *objects;
    EbAction late; /* operation that takes effect late */
    bool has_late;
    uint32_t lists;
    uint32_t writes;
    Daemon daemons[DAEMON_COUNT];
    int64_t now_us;
    int64_t wall_us;
} World;

static void
free_object(gpointer pointer)
{
    Object *object = pointer;
    json_decref(object->value);
    g_free(object);
}

static int64_t
read_wall(void *context)
{
    return ((World *)context)->wall_us;
}

static World *
new_world(uint64_t seed)
{
    World *world = g_new0(World, 1);
    world->now_us = 100 * SECOND_US;
    world->wall_us = 1000000 * SECOND_US;
    world->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
    for (int i = 0; i < DAEMON_COUNT; i++) {
        Daemon *daemon = &world->daemons[i];
        EbRandom_Init(&daemon->random, seed * DAEMON_COUNT + (uint64_t)i);
        daemon->actions = EbActionQueue_New();
        daemon->ledger = EbLedger_New(&(EbLedgerOptions){
            .instance = i == 0 ? "i-0" : "i-1",
            .incarnation = 7,
            .peer_address = "127.0.0.1:1",
            .actions = daemon->actions,
            .random = &daemon->random,
            .wall_clock_us = read_wall,
            .context = world,
        });
    }
    return world;
}

static void
free_world(World *world)
{
    for (int i = 0; i < DAEMON_COUNT; i++) {
        EbLedger_Free(world->daemons[i].ledger);
        EbActionQueue_Free(world->daemons[i].actions);
    }
    if (world->has_late) {
        EbAction_Clear(&world->late);
    }
    g_hash_table_destroy(world->objects);
    g_free(world);
}

static void
list_objects(World *world, const char *kind, EbStoreReply *reply)
{
    json_t *items = json_array();
    GHashTableIter iterator;
    gpointer path, pointer;
    g_hash_table_iter_init(&iterator, world->objects);
    while (g_hash_table_iter_next(&iterator, &path, &pointer)) {
        Object *object = pointer;
        if (g_str_has_prefix(path, kind)) {
            json_array_append_new(items,
                                  json_pack("{s:s, s:I, s:O}", "name",
                                            strchr(path, '/') + 1, "version",
                                            (json_int_t)object->version,
                                            "value", object->value));
        }
    }
    reply->status = EB_STORE_OK;
    reply->value = json_pack("{s:o}", "items", items);
}

/* Applies an operation; reply->value is a new reference. */
static void
apply(World *world, const EbStoreRequest *request, EbStoreReply *reply)
{
    char *path = g_strdup_printf("%s/%s", request->kind, request->name);
    Object *object = g_hash_table_lookup(world->objects, path);
    reply->status = EB_STORE_OK;
    if (request->operation == EB_STORE_LIST) {
        world->lists++;
        list_objects(world, request->kind, reply);
    }
    else if (request->operation == EB_STORE_GET) {
        reply->status = object != NULL ? EB_STORE_OK : EB_STORE_NOT_FOUND;
        reply->version = object != NULL ? object->version : 0;
        reply->value = object != NULL ? json_incref(object->value) : NULL;
    }
    else if ((object != NULL ? object->version : 0) != request->version) {
        reply->status = EB_STORE_CONFLICT;
    }
    else if (request->operation == EB_STORE_DELETE) {
        g_hash_table_remove(world->objects, path);
    }
    else {
        Object *next = g_new0(Object, 1);
        next->version = request->version + 1;
        next->value = json_incref(request->value);
        reply->version = next->version;
        g_hash_table_replace(world->objects, g_strdup(path), next);
        world->writes++;
    }
    g_free(path);
}

static void
apply_late(World *world)
{
    if (!world->has_late) {
        return;
    }
    EbStoreReply ignored = {0};
    apply(world, &world->late.as.store, &ignored);
    json_decref(ignored.value);
    EbAction_Clear(&world->late);
    world->has_late = false;
}

/* Serves the oldest operation of a daemon. Returns false when it has none. */
static bool
serve(World *world, int number, StoreFault fault)
{
    Daemon *daemon = &world->daemons[number];
    EbAction action;
    if (!EbActionQueue_Pop(daemon->actions, &action)) {
        return false;
    }
    CU_ASSERT_EQUAL_FATAL(action.kind, EB_ACTION_STORE);
    EbStoreReply reply = {.owner = action.as.store.owner,
                          .operation_id = action.as.store.operation_id};
    if (fault == STORE_WORKS || fault == STORE_LOSES_ANSWER) {
        apply(world, &action.as.store, &reply);
    }
    if (fault == STORE_TAKES_IT_LATE && !world->has_late) {
        world->late = action;
        world->has_late = true;
        action = (EbAction){.kind = EB_ACTION_CANCEL_ATTEMPT};
    }
    else {
        apply_late(world);
    }
    if (fault == STORE_DOWN) {
        reply.status = EB_STORE_UNAVAILABLE;
    }
    else if (fault != STORE_WORKS) {
        reply.status = EB_STORE_LOST;
    }
    EbLedger_StoreReply(daemon->ledger, &reply, world->now_us);
    json_decref(reply.value);
    EbAction_Clear(&action);
    return true;
}

/* Lets time pass with a store that works until the daemon is quiet. */
static void
settle(World *world, int number, int64_t for_us)
{
    int64_t until_us = world->now_us + for_us;
    while (world->now_us < until_us) {
        while (serve(world, number, STORE_WORKS)) {
        }
        world->now_us += 10000;
        EbLedger_Tick(world->daemons[number].ledger, world->now_us);
    }
}

static uint64_t
claim_key(World *world, int number, const char *key, const char *body)
{
    return EbLedger_Claim(world->daemons[number].ledger, "c", key, body,
                          strlen(body), world->now_us + 11 * SECOND_US,
                          world->now_us);
}

/* Takes the only result; EB_LEDGER_RESULT_COUNT when there is none. */
static EbLedgerResult
take_result(World *world, int number)
{
    EbLedgerResult result = {.kind = EB_LEDGER_RESULT_COUNT};
    EbLedgerResult extra;
    EbLedger_NextResult(world->daemons[number].ledger, &result);
    CU_ASSERT_FALSE(
        EbLedger_NextResult(world->daemons[number].ledger, &extra));
    return result;
}

/* Guards against a claim that is owned twice, or not at all, when the answer
 * of its write is lost, late or refused. */
static void
test_claim_faults(void)
{
    static const struct {
        StoreFault faults[3];
        EbLedgerResultKind expected;
    } rows[] = {
        {{STORE_WORKS}, EB_LEDGER_OWNED},
        {{STORE_LOSES_ANSWER}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REQUEST}, EB_LEDGER_OWNED},
        {{STORE_TAKES_IT_LATE}, EB_LEDGER_OWNED},
        {{STORE_DOWN}, EB_LEDGER_OWNED},
        {{STORE_LOSES_ANSWER, STORE_LOSES_ANSWER}, EB_LEDGER_OWNED},
        {{STORE_LOSES_ANSWER, STORE_DOWN, STORE_DOWN}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REQUEST, STORE_WORKS, STORE_LOSES_ANSWER},
         EB_LEDGER_OWNED},
        {{STORE_DOWN, STORE_LOSES_ANSWER, STORE_DOWN}, EB_LEDGER_OWNED},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        World *world = new_world(i);
        uint64_t claim = claim_key(world, 0, "k", "{}");
        for (int f = 0; f < 3; f++) {
            serve(world, 0, rows[i].faults[f]);
            world->now_us += SECOND_US;
            EbLedger_Tick(world->daemons[0].ledger, world->now_us);
        }
        settle(world, 0, SECOND_US);
        EbLedgerResult result = take_result(world, 0);
        CU_ASSERT_EQUAL(result.kind, rows[i].expected);
        CU_ASSERT_EQUAL(result.claim, claim);
        CU_ASSERT_TRUE(
            EbLedger_MaySend(world->daemons[0].ledger, claim, world->now_us));
        uint64_t other = claim_key(world, 1, "k", "{}");
        settle(world, 1, SECOND_US);
        CU_ASSERT_EQUAL(take_result(world, 1).kind, EB_LEDGER_HELD);
        CU_ASSERT_FALSE(
            EbLedger_MaySend(world->daemons[1].ledger, other, world->now_us));
        free_world(world);
    }
}

/* Guards against a store outage that leaves a request without a result, and
 * against a late write that leaves its key held for ever. */
static void
test_outage(void)
{
    World *world = new_world(1);
    claim_key(world, 0, "k", "{}");
    for (int i = 0; i < 600; i++) {
        serve(world, 0, i == 0 ? STORE_LOSES_ANSWER : STORE_DOWN);
        world->now_us += 10000;
        EbLedger_Tick(world->daemons[0].ledger, world->now_us);
    }
    CU_ASSERT_EQUAL(take_result(world, 0).kind, EB_LEDGER_UNAVAILABLE);
    settle(world, 0, 20 * SECOND_US);
    claim_key(world, 1, "k", "{}");
    settle(world, 1, SECOND_US);
    CU_ASSERT_EQUAL(take_result(world, 1).kind, EB_LEDGER_OWNED);
    free_world(world);
}

/* Guards against a repeat that gets something else than the recorded end. */
static void
test_ends(void)
{
    static const struct {
        EbOutcome outcome;
        EbLedgerResultKind expected;
        StoreFault fault;
    } rows[] = {
        {EB_OUTCOME_DONE, EB_LEDGER_RECORDED, STORE_WORKS},
        {EB_OUTCOME_NOT_RUN, EB_LEDGER_RECORDED, STORE_WORKS},
        {EB_OUTCOME_UNKNOWN, EB_LEDGER_RECORDED, STORE_WORKS},
        {EB_OUTCOME_FAILED, EB_LEDGER_OWNED, STORE_WORKS},
        {EB_OUTCOME_DONE, EB_LEDGER_RECORDED, STORE_LOSES_ANSWER},
        {EB_OUTCOME_FAILED, EB_LEDGER_OWNED, STORE_LOSES_ANSWER},
        {EB_OUTCOME_DONE, EB_LEDGER_RECORDED, STORE_LOSES_REQUEST},
        {EB_OUTCOME_FAILED, EB_LEDGER_OWNED, STORE_DOWN},
        {EB_OUTCOME_NOT_RUN, EB_LEDGER_RECORDED, STORE_TAKES_IT_LATE},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        World *world = new_world(i);
        uint64_t claim = claim_key(world, 0, "k", "{}");
        settle(world, 0, 20000);
        CU_ASSERT_EQUAL(take_result(world, 0).kind, EB_LEDGER_OWNED);
        json_t *body = json_pack("{s:i}", "n", 5);
        EbLedger_Finish(world->daemons[0].ledger, claim, rows[i].outcome,
                        EB_REASON_NONE, body, world->now_us);
        json_decref(body);
        serve(world, 0, rows[i].fault);
        settle(world, 0, 10 * SECOND_US);
        CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(world->daemons[0].ledger), 0);
        claim_key(world, 1, "k", "{}");
        settle(world, 1, SECOND_US);
        EbLedgerResult result = take_result(world, 1);
        CU_ASSERT_EQUAL(result.kind, rows[i].expected);
        if (result.kind == EB_LEDGER_RECORDED) {
            CU_ASSERT_EQUAL(result.outcome, rows[i].outcome);
            CU_ASSERT_EQUAL(
                json_integer_value(json_object_get(result.body, "n")), 5);
        }
        json_decref(result.body);
        free_world(world);
    }
}

/* Guards against a key that runs with two different bodies. */
static void
test_body_differs(void)
{
    World *world = new_world(1);
    uint64_t claim = claim_key(world, 0, "k", "{}");
    settle(world, 0, 20000);
    take_result(world, 0);
    claim_key(world, 0, "k", "{\"a\":1}");
    CU_ASSERT_EQUAL(take_result(world, 0).kind, EB_LEDGER_BODY_DIFFERS);
    claim_key(world, 1, "k", "{\"a\":1}");
    settle(world, 1, 20000);
    CU_ASSERT_EQUAL(take_result(world, 1).kind, EB_LEDGER_BODY_DIFFERS);
    EbLedger_Finish(world->daemons[0].ledger, claim, EB_OUTCOME_DONE,
                    EB_REASON_NONE, NULL, world->now_us);
    settle(world, 0, 20000);
    claim_key(world, 1, "k", "{\"a\":1}");
    settle(world, 1, 20000);
    CU_ASSERT_EQUAL(take_result(world, 1).kind, EB_LEDGER_BODY_DIFFERS);
    free_world(world);
}

/* Guards against a paused owner that hands the call out after its hold. */
static void
test_hold(void)
{
    World *world = new_world(1);
    uint64_t claim = claim_key(world, 0, "k", "{}");
    int64_t sent_us = world->now_us;
    settle(world, 0, 20000);
    take_result(world, 0);
    EbLedger *ledger = world->daemons[0].ledger;
    CU_ASSERT_TRUE(
        EbLedger_MaySend(ledger, claim, sent_us + EB_LEDGER_HOLD_US - 1));
    CU_ASSERT_FALSE(
        EbLedger_MaySend(ledger, claim, sent_us + EB_LEDGER_HOLD_US));
    EbLedger_Finish(ledger, claim, EB_OUTCOME_NOT_RUN, EB_REASON_HOLD_EXPIRED,
                    NULL, sent_us + EB_LEDGER_HOLD_US);
    CU_ASSERT_FALSE(EbLedger_MaySend(ledger, claim, sent_us));
    free_world(world);
}

/* Guards against a repeat in the same daemon that runs next to the first
 * request, and against one that is refused while the key is released. */
static void
test_same_daemon(void)
{
    World *world = new_world(1);
    uint64_t first = claim_key(world, 0, "k", "{}");
    settle(world, 0, 20000);
    take_result(world, 0);
    claim_key(world, 0, "k", "{}");
    EbLedgerResult held = take_result(world, 0);
    CU_ASSERT_EQUAL(held.kind, EB_LEDGER_HELD);
    CU_ASSERT_STRING_EQUAL(held.instance, "i-0");
    EbLedger_Finish(world->daemons[0].ledger, first, EB_OUTCOME_FAILED,
                    EB_REASON_BACKEND_FAILED, NULL, world->now_us);
    uint64_t second = claim_key(world, 0, "k", "{}");
    settle(world, 0, 100000);
    EbLedgerResult owned = take_result(world, 0);
    CU_ASSERT_EQUAL(owned.kind, EB_LEDGER_OWNED);
    CU_ASSERT_EQUAL(owned.claim, second);
    free_world(world);
}

/* Guards against unbounded memory and a write storm after a long outage. */
static void
test_unwritten_bound(void)
{
    World *world = new_world(1);
    EbLedger *ledger = world->daemons[0].ledger;
    for (int i = 0; i < EB_LEDGER_MAX_UNWRITTEN + 10; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        uint64_t claim = claim_key(world, 0, key, "{}");
        serve(world, 0, STORE_WORKS);
        take_result(world, 0);
        EbLedger_Finish(ledger, claim, EB_OUTCOME_DONE, EB_REASON_NONE, NULL,
                        world->now_us);
        serve(world, 0, STORE_DOWN);
    }
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), EB_LEDGER_MAX_UNWRITTEN);
    uint32_t before = world->writes;
    settle(world, 0, 4 * SECOND_US);
    uint32_t per_s = (world->writes - before) / 4;
    CU_ASSERT_TRUE(per_s <= 50 + 50 / 4 + 1);
    EbLedger_SetWriteRate(ledger, 10);
    before = world->writes;
    settle(world, 0, 4 * SECOND_US);
    CU_ASSERT_TRUE(world->writes - before <= 5 * 10);
    CU_ASSERT_TRUE(world->writes - before >= 3 * 10);
    EbLedger_SetWriteRate(ledger, 0);
    settle(world, 0, 60 * SECOND_US);
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), 0);
    free_world(world);
}

/* Guards against ends that meet a failing store at once, one write each. */
static void
test_failing_store(void)
{
    World *world = new_world(1);
    EbLedger *ledger = world->daemons[0].ledger;
    uint64_t claims[20];
    for (int i = 0; i < 20; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        claims[i] = claim_key(world, 0, key, "{}");
        serve(world, 0, STORE_WORKS);
        take_result(world, 0);
    }
    for (int i = 0; i < 20; i++) {
        EbLedger_Finish(ledger, claims[i], EB_OUTCOME_DONE, EB_REASON_NONE,
                        NULL, world->now_us);
        bool sent = serve(world, 0, STORE_DOWN);
        CU_ASSERT_EQUAL(sent, i == 0);
    }
    settle(world, 0, 30 * SECOND_US);
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), 0);
    free_world(world);
}

/* Guards against records that stay for ever or go before their retention. */
static void
test_retention(void)
{
    World *world = new_world(1);
    uint64_t claim = claim_key(world, 0, "k", "{}");
    settle(world, 0, 20000);
    take_result(world, 0);
    EbLedger_Finish(world->daemons[0].ledger, claim, EB_OUTCOME_DONE,
                    EB_REASON_NONE, NULL, world->now_us);
    settle(world, 0, 20000);
    world->wall_us += EB_LEDGER_RETENTION_US;
    for (int i = 0; i < SWEEP_TICKS; i++) {
        world->now_us += 30 * SECOND_US;
        EbLedger_Tick(world->daemons[0].ledger, world->now_us);
        while (serve(world, 0, STORE_WORKS)) {
        }
    }
    CU_ASSERT_EQUAL(g_hash_table_size(world->objects), 1);
    world->wall_us += 7200 * SECOND_US;
    for (int i = 0; i < SWEEP_TICKS; i++) {
        world->now_us += 30 * SECOND_US;
        EbLedger_Tick(world->daemons[0].ledger, world->now_us);
        while (serve(world, 0, STORE_WORKS)) {
        }
    }
    CU_ASSERT_EQUAL(g_hash_table_size(world->objects), 0);
    free_world(world);
}

/* Claims and finishes keys, lets them expire and counts what a daemon with
 * the given write rate sends in an hour. */
static void
count_sweep(uint32_t writes_per_s, uint32_t *lists, uint32_t *deletes)
{
    enum { KEYS = 2000, STEP_US = 100000, HOUR_S = 3600 };
    World *world = new_world(1);
    EbLedger *ledger = world->daemons[0].ledger;
    for (int i = 0; i < KEYS; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        uint64_t claim = claim_key(world, 0, key, "{}");
        serve(world, 0, STORE_WORKS);
        take_result(world, 0);
        EbLedger_Finish(ledger, claim, EB_OUTCOME_DONE, EB_REASON_NONE, NULL,
                        world->now_us);
        serve(world, 0, STORE_WORKS);
    }
    EbLedger_SetWriteRate(ledger, writes_per_s);
    world->wall_us += EB_LEDGER_RETENTION_US + 7200 * SECOND_US;
    uint32_t lists_before = world->lists;
    guint objects = g_hash_table_size(world->objects);
    for (int i = 0; i < HOUR_S * (int)(SECOND_US / STEP_US); i++) {
        world->now_us += STEP_US;
        EbLedger_Tick(ledger, world->now_us);
        while (serve(world, 0, STORE_WORKS)) {
        }
    }
    *lists = world->lists - lists_before;
    *deletes = objects - g_hash_table_size(world->objects);
    free_world(world);
}

/* Guards against deletes and listings that grow with the number of daemons:
 * 330 daemons have a write rate of 1 each. */
static void
test_sweep_rate(void)
{
    uint32_t lists, deletes;
    count_sweep(50, &lists, &deletes);
    printf("  50 writes/s: %u lists, %u deletes an hour\n", lists, deletes);
    /* Once a minute, and after each list at most 5 deletes a second. */
    CU_ASSERT_TRUE(lists >= 40 && lists <= 80);
    count_sweep(1, &lists, &deletes);
    printf("  1 write/s: %u lists, %u deletes an hour\n", lists, deletes);
    /* A list in 50 minutes and a tenth of a write a second. */
    CU_ASSERT_TRUE(lists <= 3);
    CU_ASSERT_TRUE(deletes <= 360 + 36);
}

/* Guards against an object that is not ours being taken for a free key. */
static void
test_foreign_object(void)
{
    World *world = new_world(1);
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest("k", digest);
    Object *object = g_new0(Object, 1);
    object->version = 4;
    object->value = json_string("x");
    g_hash_table_insert(world->objects,
                        g_strdup_printf("claims-%.3s/c.%s", digest, digest),
                        object);
    claim_key(world, 0, "k", "{}");
    settle(world, 0, 20000);
    EbLedgerResult result = take_result(world, 0);
    CU_ASSERT_EQUAL(result.kind, EB_LEDGER_RECORDED);
    CU_ASSERT_EQUAL(result.outcome, EB_OUTCOME_UNKNOWN);
    free_world(world);
}

typedef struct {
    uint64_t claim;
    uint32_t results;
    bool owned;
    bool finished;
} Tracked;

#define SEEDS 3000
#define STEPS 120
#define CLAIMS_MAX 12

typedef struct {
    Tracked tracked[DAEMON_COUNT][CLAIMS_MAX];
    uint32_t count[DAEMON_COUNT];
    uint32_t runs;
    bool void_told;
} Sequence;

static bool
take_results(World *world, Sequence *sequence, int number)
{
    EbLedgerResult result;
    while (EbLedger_NextResult(world->daemons[number].ledger, &result)) {
        json_decref(result.body);
        for (uint32_t i = 0; i < sequence->count[number]; i++) {
            Tracked *tracked = &sequence->tracked[number][i];
            if (tracked->claim == result.claim) {
                tracked->results++;
                tracked->owned = result.kind == EB_LEDGER_OWNED;
                if (tracked->results > 1) {
                    return false;
                }
            }
        }
    }
    return true;
}

/* Runs the call of an owned claim or ends it without a run. */
static void
end_owned(World *world, Sequence *sequence, int number, EbRandom *random)
{
    for (uint32_t i = 0; i < sequence->count[number]; i++) {
        Tracked *tracked = &sequence->tracked[number][i];
        if (!tracked->owned || tracked->finished) {
            continue;
        }
        EbLedger *ledger = world->daemons[number].ledger;
        EbOutcome outcome = (EbOutcome)EbRandom_Below(random, 4);
        bool runs =
            outcome == EB_OUTCOME_DONE || outcome == EB_OUTCOME_UNKNOWN;
        if (runs && !EbLedger_MaySend(ledger, tracked->claim, world->now_us)) {
            outcome = EB_OUTCOME_NOT_RUN;
            runs = false;
        }
        sequence->runs += runs;
        sequence->void_told |= outcome == EB_OUTCOME_NOT_RUN;
        EbLedger_Finish(ledger, tracked->claim, outcome, EB_REASON_NONE, NULL,
                        world->now_us);
        tracked->finished = true;
        return;
    }
}

static bool
run_sequence(uint64_t seed)
{
    World *world = new_world(seed);
    Sequence sequence = {0};
    EbRandom random;
    EbRandom_Init(&random, seed);
    bool held = true;
    for (int step = 0; step < STEPS && held; step++) {
        int number = (int)EbRandom_Below(&random, DAEMON_COUNT);
        uint32_t *count = &sequence.count[number];
        switch (EbRandom_Below(&random, 6)) {
        case 0:
            if (*count < CLAIMS_MAX) {
                sequence.tracked[number][(*count)++].claim =
                    claim_key(world, number, "k", "{}");
            }
            break;
        case 1:
            end_owned(world, &sequence, number, &random);
            break;
        case 2:
            world->now_us += (int64_t)EbRandom_Below(&random, 3 * SECOND_US);
            EbLedger_Tick(world->daemons[number].ledger, world->now_us);
            break;
        default:
            serve(world, number,
                  (StoreFault)EbRandom_Below(&random, STORE_FAULT_COUNT));
            break;
        }
        held = take_results(world, &sequence, number) && sequence.runs <= 1 &&
               !(sequence.void_told && sequence.runs > 0);
    }
    for (int i = 0; i < DAEMON_COUNT && held; i++) {
        settle(world, i, 40 * SECOND_US);
        held = take_results(world, &sequence, i);
        for (uint32_t c = 0; c < sequence.count[i]; c++) {
            held = held && sequence.tracked[i][c].results == 1;
        }
    }
    free_world(world);
    return held;
}

/* Guards against two runs of one key, a run next to a void and a claim with
 * no or two results, under any order of faults. */
static void
test_sequences(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        bool held = run_sequence(seed);
        if (!held) {
            printf("seed %" G_GUINT64_FORMAT " broke an invariant\n", seed);
        }
        CU_ASSERT_TRUE_FATAL(held);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"claim faults", test_claim_faults},
        {"outage", test_outage},
        {"ends", test_ends},
        {"body differs", test_body_differs},
        {"hold", test_hold},
        {"same daemon", test_same_daemon},
        {"unwritten bound", test_unwritten_bound},
        {"failing store", test_failing_store},
        {"retention", test_retention},
        {"sweep rate", test_sweep_rate},
        {"foreign object", test_foreign_object},
        {"sequences", test_sequences},
    };
    return EbTest_Run("test_ledger", cases, TABLE_COUNT(cases));
}
