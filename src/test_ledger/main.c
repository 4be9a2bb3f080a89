/* Tests of the ledger against an in-memory store with scripted faults. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/ledger.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000LL
#define DAEMON_COUNT 2
/* Number of 30 s ticks in which one daemon lists every kind of claim. */
#define SWEEP_TICKS (4 * EB_LEDGER_KIND_COUNT)

/* What the store does with one operation. */
typedef enum {
    STORE_WORKS,
    STORE_LOSES_REPLY,   /* takes effect; reply LOST */
    STORE_LOSES_REQUEST, /* no effect; reply LOST */
    STORE_APPLIES_LATE, /* reply LOST; takes effect after the next operation */
    STORE_DOWN,         /* no effect; reply UNAVAILABLE */
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
} Simulation;

static void
free_object(gpointer pointer)
{
    Object *object = pointer;
    json_decref(object->value);
    g_free(object);
}

static int64_t
read_wall_clock(void *context)
{
    return ((Simulation *)context)->wall_us;
}

static Simulation *
new_simulation(uint64_t seed)
{
    Simulation *simulation = g_new0(Simulation, 1);
    simulation->now_us = 100 * SECOND_US;
    simulation->wall_us = 1000000 * SECOND_US;
    simulation->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
    for (int i = 0; i < DAEMON_COUNT; i++) {
        Daemon *daemon = &simulation->daemons[i];
        EbRandom_Init(&daemon->random, seed * DAEMON_COUNT + (uint64_t)i);
        daemon->actions = EbActionQueue_New();
        daemon->ledger = EbLedger_New(&(EbLedgerOptions){
            .instance = i == 0 ? "i-0" : "i-1",
            .incarnation = 7,
            .peer_address = "127.0.0.1:1",
            .actions = daemon->actions,
            .random = &daemon->random,
            .wall_clock_us = read_wall_clock,
            .context = simulation,
        });
    }
    return simulation;
}

static void
free_simulation(Simulation *simulation)
{
    for (int i = 0; i < DAEMON_COUNT; i++) {
        EbLedger_Free(simulation->daemons[i].ledger);
        EbActionQueue_Free(simulation->daemons[i].actions);
    }
    if (simulation->has_late) {
        EbAction_Clear(&simulation->late);
    }
    g_hash_table_destroy(simulation->objects);
    g_free(simulation);
}

static void
list_objects(Simulation *simulation, const char *kind, EbStoreReply *reply)
{
    json_t *items = json_array();
    GHashTableIter iterator;
    gpointer path, pointer;
    g_hash_table_iter_init(&iterator, simulation->objects);
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
apply_operation(Simulation *simulation, const EbStoreRequest *request,
                EbStoreReply *reply)
{
    char *path = g_strdup_printf("%s/%s", request->kind, request->name);
    Object *object = g_hash_table_lookup(simulation->objects, path);
    reply->status = EB_STORE_OK;
    if (request->operation == EB_STORE_LIST) {
        simulation->lists++;
        list_objects(simulation, request->kind, reply);
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
        g_hash_table_remove(simulation->objects, path);
    }
    else {
        Object *next = g_new0(Object, 1);
        next->version = request->version + 1;
        next->value = json_incref(request->value);
        reply->version = next->version;
        g_hash_table_replace(simulation->objects, g_strdup(path), next);
        simulation->writes++;
    }
    g_free(path);
}

static void
apply_late(Simulation *simulation)
{
    if (!simulation->has_late) {
        return;
    }
    EbStoreReply ignored = {0};
    apply_operation(simulation, &simulation->late.as.store, &ignored);
    json_decref(ignored.value);
    EbAction_Clear(&simulation->late);
    simulation->has_late = false;
}

/* Serves the oldest pending operation of a daemon. Returns false when it has
 * none. */
static bool
serve_operation(Simulation *simulation, int number, StoreFault fault)
{
    Daemon *daemon = &simulation->daemons[number];
    EbAction action;
    if (!EbActionQueue_Pop(daemon->actions, &action)) {
        return false;
    }
    CU_ASSERT_EQUAL_FATAL(action.kind, EB_ACTION_STORE);
    EbStoreReply reply = {.owner = action.as.store.owner,
                          .operation_id = action.as.store.operation_id};
    if (fault == STORE_WORKS || fault == STORE_LOSES_REPLY) {
        apply_operation(simulation, &action.as.store, &reply);
    }
    if (fault == STORE_APPLIES_LATE && !simulation->has_late) {
        simulation->late = action;
        simulation->has_late = true;
        action = (EbAction){.kind = EB_ACTION_CANCEL_ATTEMPT};
    }
    else {
        apply_late(simulation);
    }
    if (fault == STORE_DOWN) {
        reply.status = EB_STORE_UNAVAILABLE;
    }
    else if (fault != STORE_WORKS) {
        reply.status = EB_STORE_LOST;
    }
    EbLedger_StoreReply(daemon->ledger, &reply, simulation->now_us);
    json_decref(reply.value);
    EbAction_Clear(&action);
    return true;
}

/* Runs one daemon against a store that works. */
static void
run_for(Simulation *simulation, int number, int64_t duration_us)
{
    int64_t until_us = simulation->now_us + duration_us;
    while (simulation->now_us < until_us) {
        while (serve_operation(simulation, number, STORE_WORKS)) {
        }
        simulation->now_us += 10000;
        EbLedger_Tick(simulation->daemons[number].ledger, simulation->now_us);
    }
}

static uint64_t
claim_key(Simulation *simulation, int number, const char *key,
          const char *body)
{
    return EbLedger_Claim(simulation->daemons[number].ledger, "c", key, body,
                          strlen(body), simulation->now_us + 11 * SECOND_US,
                          simulation->now_us);
}

/* Removes the only result from the queue. Its kind is EB_LEDGER_RESULT_COUNT
 * when there was none. */
static EbLedgerResult
pop_only_result(Simulation *simulation, int number)
{
    EbLedgerResult result = {.kind = EB_LEDGER_RESULT_COUNT};
    EbLedgerResult extra;
    EbLedger_NextResult(simulation->daemons[number].ledger, &result);
    CU_ASSERT_FALSE(
        EbLedger_NextResult(simulation->daemons[number].ledger, &extra));
    return result;
}

/* Guards against a key with two owners, or with none, when the write of a
 * claim or its reply is lost, or the write takes effect late or is refused. */
static void
test_claim_faults(void)
{
    static const struct {
        StoreFault faults[3];
        EbLedgerResultKind expected;
    } rows[] = {
        {{STORE_WORKS}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REPLY}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REQUEST}, EB_LEDGER_OWNED},
        {{STORE_APPLIES_LATE}, EB_LEDGER_OWNED},
        {{STORE_DOWN}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REPLY, STORE_LOSES_REPLY}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REPLY, STORE_DOWN, STORE_DOWN}, EB_LEDGER_OWNED},
        {{STORE_LOSES_REQUEST, STORE_WORKS, STORE_LOSES_REPLY},
         EB_LEDGER_OWNED},
        {{STORE_DOWN, STORE_LOSES_REPLY, STORE_DOWN}, EB_LEDGER_OWNED},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Simulation *simulation = new_simulation(i);
        uint64_t claim = claim_key(simulation, 0, "k", "{}");
        for (int f = 0; f < 3; f++) {
            serve_operation(simulation, 0, rows[i].faults[f]);
            simulation->now_us += SECOND_US;
            EbLedger_Tick(simulation->daemons[0].ledger, simulation->now_us);
        }
        run_for(simulation, 0, SECOND_US);
        EbLedgerResult result = pop_only_result(simulation, 0);
        CU_ASSERT_EQUAL(result.kind, rows[i].expected);
        CU_ASSERT_EQUAL(result.claim, claim);
        CU_ASSERT_TRUE(EbLedger_MaySend(simulation->daemons[0].ledger, claim,
                                        simulation->now_us));
        uint64_t other = claim_key(simulation, 1, "k", "{}");
        run_for(simulation, 1, SECOND_US);
        CU_ASSERT_EQUAL(pop_only_result(simulation, 1).kind, EB_LEDGER_HELD);
        CU_ASSERT_FALSE(EbLedger_MaySend(simulation->daemons[1].ledger, other,
                                         simulation->now_us));
        free_simulation(simulation);
    }
}

/* Guards against a store outage that leaves a request without a result, and
 * against a write that takes effect late and leaves its key held forever. */
static void
test_outage(void)
{
    Simulation *simulation = new_simulation(1);
    claim_key(simulation, 0, "k", "{}");
    for (int i = 0; i < 600; i++) {
        serve_operation(simulation, 0,
                        i == 0 ? STORE_LOSES_REPLY : STORE_DOWN);
        simulation->now_us += 10000;
        EbLedger_Tick(simulation->daemons[0].ledger, simulation->now_us);
    }
    CU_ASSERT_EQUAL(pop_only_result(simulation, 0).kind,
                    EB_LEDGER_UNAVAILABLE);
    run_for(simulation, 0, 20 * SECOND_US);
    claim_key(simulation, 1, "k", "{}");
    run_for(simulation, 1, SECOND_US);
    CU_ASSERT_EQUAL(pop_only_result(simulation, 1).kind, EB_LEDGER_OWNED);
    free_simulation(simulation);
}

/* Guards against a later claim on a finished key that gets anything other than
 * the recorded outcome and answer, or that can't own a key whose request
 * failed. */
static void
test_outcomes(void)
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
        {EB_OUTCOME_DONE, EB_LEDGER_RECORDED, STORE_LOSES_REPLY},
        {EB_OUTCOME_FAILED, EB_LEDGER_OWNED, STORE_LOSES_REPLY},
        {EB_OUTCOME_DONE, EB_LEDGER_RECORDED, STORE_LOSES_REQUEST},
        {EB_OUTCOME_FAILED, EB_LEDGER_OWNED, STORE_DOWN},
        {EB_OUTCOME_NOT_RUN, EB_LEDGER_RECORDED, STORE_APPLIES_LATE},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Simulation *simulation = new_simulation(i);
        uint64_t claim = claim_key(simulation, 0, "k", "{}");
        run_for(simulation, 0, 20000);
        CU_ASSERT_EQUAL(pop_only_result(simulation, 0).kind, EB_LEDGER_OWNED);
        json_t *body = json_pack("{s:i}", "n", 5);
        EbLedger_Finish(simulation->daemons[0].ledger, claim, rows[i].outcome,
                        EB_REASON_NONE, body, simulation->now_us);
        json_decref(body);
        serve_operation(simulation, 0, rows[i].fault);
        run_for(simulation, 0, 10 * SECOND_US);
        CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(simulation->daemons[0].ledger),
                        0);
        claim_key(simulation, 1, "k", "{}");
        run_for(simulation, 1, SECOND_US);
        EbLedgerResult result = pop_only_result(simulation, 1);
        CU_ASSERT_EQUAL(result.kind, rows[i].expected);
        if (result.kind == EB_LEDGER_RECORDED) {
            CU_ASSERT_EQUAL(result.outcome, rows[i].outcome);
            CU_ASSERT_EQUAL(
                json_integer_value(json_object_get(result.body, "n")), 5);
        }
        json_decref(result.body);
        free_simulation(simulation);
    }
}

/* Claims the key "k" at the first daemon. Returns the claim. */
static uint64_t
own_key(Simulation *simulation)
{
    uint64_t claim = claim_key(simulation, 0, "k", "{}");
    run_for(simulation, 0, 20000);
    CU_ASSERT_EQUAL(pop_only_result(simulation, 0).kind, EB_LEDGER_OWNED);
    return claim;
}

/* Guards against requests with different bodies that run under one key. */
static void
test_different_body(void)
{
    Simulation *simulation = new_simulation(1);
    uint64_t claim = own_key(simulation);
    claim_key(simulation, 0, "k", "{\"a\":1}");
    CU_ASSERT_EQUAL(pop_only_result(simulation, 0).kind,
                    EB_LEDGER_BODY_DIFFERS);
    claim_key(simulation, 1, "k", "{\"a\":1}");
    run_for(simulation, 1, 20000);
    CU_ASSERT_EQUAL(pop_only_result(simulation, 1).kind,
                    EB_LEDGER_BODY_DIFFERS);
    EbLedger_Finish(simulation->daemons[0].ledger, claim, EB_OUTCOME_DONE,
                    EB_REASON_NONE, NULL, simulation->now_us);
    run_for(simulation, 0, 20000);
    claim_key(simulation, 1, "k", "{\"a\":1}");
    run_for(simulation, 1, 20000);
    CU_ASSERT_EQUAL(pop_only_result(simulation, 1).kind,
                    EB_LEDGER_BODY_DIFFERS);
    free_simulation(simulation);
}

/* Guards against an owner that was suspended and sends the call after its hold
 * expired. */
static void
test_hold(void)
{
    Simulation *simulation = new_simulation(1);
    uint64_t claim = claim_key(simulation, 0, "k", "{}");
    int64_t sent_us = simulation->now_us;
    run_for(simulation, 0, 20000);
    pop_only_result(simulation, 0);
    EbLedger *ledger = simulation->daemons[0].ledger;
    CU_ASSERT_TRUE(
        EbLedger_MaySend(ledger, claim, sent_us + EB_LEDGER_HOLD_US - 1));
    CU_ASSERT_FALSE(
        EbLedger_MaySend(ledger, claim, sent_us + EB_LEDGER_HOLD_US));
    EbLedger_Finish(ledger, claim, EB_OUTCOME_NOT_RUN, EB_REASON_HOLD_EXPIRED,
                    NULL, sent_us + EB_LEDGER_HOLD_US);
    CU_ASSERT_FALSE(EbLedger_MaySend(ledger, claim, sent_us));
    free_simulation(simulation);
}

/* Guards against a second request with the same key at the same daemon that
 * runs concurrently with the first, and against one that is refused while the
 * first releases the key. */
static void
test_same_daemon(void)
{
    Simulation *simulation = new_simulation(1);
    uint64_t first = own_key(simulation);
    claim_key(simulation, 0, "k", "{}");
    EbLedgerResult held = pop_only_result(simulation, 0);
    CU_ASSERT_EQUAL(held.kind, EB_LEDGER_HELD);
    CU_ASSERT_STRING_EQUAL(held.instance, "i-0");
    EbLedger_Finish(simulation->daemons[0].ledger, first, EB_OUTCOME_FAILED,
                    EB_REASON_BACKEND_FAILED, NULL, simulation->now_us);
    uint64_t second = claim_key(simulation, 0, "k", "{}");
    run_for(simulation, 0, 100000);
    EbLedgerResult owned = pop_only_result(simulation, 0);
    CU_ASSERT_EQUAL(owned.kind, EB_LEDGER_OWNED);
    CU_ASSERT_EQUAL(owned.claim, second);
    free_simulation(simulation);
}

/* Guards against unbounded memory during a long outage, and against a burst of
 * writes after it. */
static void
test_unwritten_bound(void)
{
    Simulation *simulation = new_simulation(1);
    EbLedger *ledger = simulation->daemons[0].ledger;
    for (int i = 0; i < EB_LEDGER_MAX_UNWRITTEN + 10; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        uint64_t claim = claim_key(simulation, 0, key, "{}");
        serve_operation(simulation, 0, STORE_WORKS);
        pop_only_result(simulation, 0);
        EbLedger_Finish(ledger, claim, EB_OUTCOME_DONE, EB_REASON_NONE, NULL,
                        simulation->now_us);
        serve_operation(simulation, 0, STORE_DOWN);
    }
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), EB_LEDGER_MAX_UNWRITTEN);
    uint32_t before = simulation->writes;
    run_for(simulation, 0, 4 * SECOND_US);
    uint32_t per_s = (simulation->writes - before) / 4;
    CU_ASSERT_TRUE(per_s <= 50 + 50 / 4 + 1);
    EbLedger_SetWriteRate(ledger, 10);
    before = simulation->writes;
    run_for(simulation, 0, 4 * SECOND_US);
    CU_ASSERT_TRUE(simulation->writes - before <= 5 * 10);
    CU_ASSERT_TRUE(simulation->writes - before >= 3 * 10);
    EbLedger_SetWriteRate(ledger, 0);
    run_for(simulation, 0, 60 * SECOND_US);
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), 0);
    free_simulation(simulation);
}

/* Guards against finished claims that each send a write at once while the
 * store is failing. */
static void
test_failing_store(void)
{
    Simulation *simulation = new_simulation(1);
    EbLedger *ledger = simulation->daemons[0].ledger;
    uint64_t claims[20];
    for (int i = 0; i < 20; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        claims[i] = claim_key(simulation, 0, key, "{}");
        serve_operation(simulation, 0, STORE_WORKS);
        pop_only_result(simulation, 0);
    }
    for (int i = 0; i < 20; i++) {
        EbLedger_Finish(ledger, claims[i], EB_OUTCOME_DONE, EB_REASON_NONE,
                        NULL, simulation->now_us);
        bool sent = serve_operation(simulation, 0, STORE_DOWN);
        CU_ASSERT_EQUAL(sent, i == 0);
    }
    run_for(simulation, 0, 30 * SECOND_US);
    CU_ASSERT_EQUAL(EbLedger_UnwrittenCount(ledger), 0);
    free_simulation(simulation);
}

/* Guards against claim objects that are never deleted, or deleted before their
 * retention is over. */
static void
test_retention(void)
{
    Simulation *simulation = new_simulation(1);
    uint64_t claim = own_key(simulation);
    EbLedger_Finish(simulation->daemons[0].ledger, claim, EB_OUTCOME_DONE,
                    EB_REASON_NONE, NULL, simulation->now_us);
    run_for(simulation, 0, 20000);
    simulation->wall_us += EB_LEDGER_RETENTION_US;
    for (int i = 0; i < SWEEP_TICKS; i++) {
        simulation->now_us += 30 * SECOND_US;
        EbLedger_Tick(simulation->daemons[0].ledger, simulation->now_us);
        while (serve_operation(simulation, 0, STORE_WORKS)) {
        }
    }
    CU_ASSERT_EQUAL(g_hash_table_size(simulation->objects), 1);
    /* More than the margin of an hour for clocks that differ. */
    simulation->wall_us += 7200 * SECOND_US;
    for (int i = 0; i < SWEEP_TICKS; i++) {
        simulation->now_us += 30 * SECOND_US;
        EbLedger_Tick(simulation->daemons[0].ledger, simulation->now_us);
        while (serve_operation(simulation, 0, STORE_WORKS)) {
        }
    }
    CU_ASSERT_EQUAL(g_hash_table_size(simulation->objects), 0);
    free_simulation(simulation);
}

/* Claims and finishes keys, lets them expire and counts the listings and
 * deletes that a daemon with the given write rate sends in an hour. */
static void
count_sweep_operations(uint32_t writes_per_s, uint32_t *lists,
                       uint32_t *deletes)
{
    enum { KEYS = 2000, STEP_US = 100000, HOUR_S = 3600 };
    Simulation *simulation = new_simulation(1);
    EbLedger *ledger = simulation->daemons[0].ledger;
    for (int i = 0; i < KEYS; i++) {
        char key[32];
        snprintf(key, sizeof(key), "k%d", i);
        uint64_t claim = claim_key(simulation, 0, key, "{}");
        serve_operation(simulation, 0, STORE_WORKS);
        pop_only_result(simulation, 0);
        EbLedger_Finish(ledger, claim, EB_OUTCOME_DONE, EB_REASON_NONE, NULL,
                        simulation->now_us);
        serve_operation(simulation, 0, STORE_WORKS);
    }
    EbLedger_SetWriteRate(ledger, writes_per_s);
    simulation->wall_us += EB_LEDGER_RETENTION_US + 7200 * SECOND_US;
    uint32_t lists_before = simulation->lists;
    guint objects = g_hash_table_size(simulation->objects);
    for (int i = 0; i < HOUR_S * (int)(SECOND_US / STEP_US); i++) {
        simulation->now_us += STEP_US;
        EbLedger_Tick(ledger, simulation->now_us);
        while (serve_operation(simulation, 0, STORE_WORKS)) {
        }
    }
    *lists = simulation->lists - lists_before;
    *deletes = objects - g_hash_table_size(simulation->objects);
    free_simulation(simulation);
}

/* Guards against deletes and listings whose total grows with the number of
 * daemons. With 330 daemons each has a write rate of 1. */
static void
test_sweep_rate(void)
{
    uint32_t lists, deletes;
    count_sweep_operations(50, &lists, &deletes);
    printf("  50 writes/s: %u lists, %u deletes an hour\n", lists, deletes);
    /* About one listing a minute. */
    CU_ASSERT_TRUE(lists >= 40 && lists <= 80);
    count_sweep_operations(1, &lists, &deletes);
    printf("  1 write/s: %u lists, %u deletes an hour\n", lists, deletes);
    /* One listing in 50 minutes, and one delete in 10 seconds. */
    CU_ASSERT_TRUE(lists <= 3);
    CU_ASSERT_TRUE(deletes <= 360 + 36);
}

/* Guards against a key that counts as free although an object that is not a
 * claim occupies its name. */
static void
test_foreign_object(void)
{
    Simulation *simulation = new_simulation(1);
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest("k", digest);
    Object *object = g_new0(Object, 1);
    object->version = 4;
    object->value = json_string("x");
    g_hash_table_insert(simulation->objects,
                        g_strdup_printf("claims-%.3s/c.%s", digest, digest),
                        object);
    claim_key(simulation, 0, "k", "{}");
    run_for(simulation, 0, 20000);
    EbLedgerResult result = pop_only_result(simulation, 0);
    CU_ASSERT_EQUAL(result.kind, EB_LEDGER_RECORDED);
    CU_ASSERT_EQUAL(result.outcome, EB_OUTCOME_UNKNOWN);
    free_simulation(simulation);
}

typedef struct {
    uint64_t claim;
    uint32_t results;
    bool owned;
    bool finished;
} TrackedClaim;

#define SEEDS 3000
#define STEPS 120
#define CLAIMS_MAX 12

typedef struct {
    TrackedClaim tracked[DAEMON_COUNT][CLAIMS_MAX];
    uint32_t count[DAEMON_COUNT];
    uint32_t runs;
    bool void_reported;
} Sequence;

static bool
collect_results(Simulation *simulation, Sequence *sequence, int number)
{
    EbLedgerResult result;
    while (EbLedger_NextResult(simulation->daemons[number].ledger, &result)) {
        json_decref(result.body);
        for (uint32_t i = 0; i < sequence->count[number]; i++) {
            TrackedClaim *tracked = &sequence->tracked[number][i];
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

/* Finishes an owned claim, with or without running its call. */
static void
finish_owned_claim(Simulation *simulation, Sequence *sequence, int number,
                   EbRandom *random)
{
    for (uint32_t i = 0; i < sequence->count[number]; i++) {
        TrackedClaim *tracked = &sequence->tracked[number][i];
        if (!tracked->owned || tracked->finished) {
            continue;
        }
        EbLedger *ledger = simulation->daemons[number].ledger;
        EbOutcome outcome = (EbOutcome)EbRandom_Below(random, 4);
        bool runs =
            outcome == EB_OUTCOME_DONE || outcome == EB_OUTCOME_UNKNOWN;
        if (runs &&
            !EbLedger_MaySend(ledger, tracked->claim, simulation->now_us)) {
            outcome = EB_OUTCOME_NOT_RUN;
            runs = false;
        }
        sequence->runs += runs;
        sequence->void_reported |= outcome == EB_OUTCOME_NOT_RUN;
        EbLedger_Finish(ledger, tracked->claim, outcome, EB_REASON_NONE, NULL,
                        simulation->now_us);
        tracked->finished = true;
        return;
    }
}

static bool
run_sequence(uint64_t seed)
{
    Simulation *simulation = new_simulation(seed);
    Sequence sequence = {0};
    EbRandom random;
    EbRandom_Init(&random, seed);
    bool invariants_hold = true;
    for (int step = 0; step < STEPS && invariants_hold; step++) {
        int number = (int)EbRandom_Below(&random, DAEMON_COUNT);
        uint32_t *count = &sequence.count[number];
        switch (EbRandom_Below(&random, 6)) {
        case 0:
            if (*count < CLAIMS_MAX) {
                sequence.tracked[number][(*count)++].claim =
                    claim_key(simulation, number, "k", "{}");
            }
            break;
        case 1:
            finish_owned_claim(simulation, &sequence, number, &random);
            break;
        case 2:
            simulation->now_us +=
                (int64_t)EbRandom_Below(&random, 3 * SECOND_US);
            EbLedger_Tick(simulation->daemons[number].ledger,
                          simulation->now_us);
            break;
        default:
            serve_operation(
                simulation, number,
                (StoreFault)EbRandom_Below(&random, STORE_FAULT_COUNT));
            break;
        }
        invariants_hold = collect_results(simulation, &sequence, number) &&
                          sequence.runs <= 1 &&
                          !(sequence.void_reported && sequence.runs > 0);
    }
    for (int i = 0; i < DAEMON_COUNT && invariants_hold; i++) {
        run_for(simulation, i, 40 * SECOND_US);
        invariants_hold = collect_results(simulation, &sequence, i);
        for (uint32_t c = 0; c < sequence.count[i]; c++) {
            invariants_hold =
                invariants_hold && sequence.tracked[i][c].results == 1;
        }
    }
    free_simulation(simulation);
    return invariants_hold;
}

/* Guards against a key whose call runs twice, or runs although the key was
 * reported void, and against a claim without exactly one result, under random
 * sequences of faults. */
static void
test_sequences(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        bool invariants_hold = run_sequence(seed);
        if (!invariants_hold) {
            printf("seed %" G_GUINT64_FORMAT " broke an invariant\n", seed);
        }
        CU_ASSERT_TRUE_FATAL(invariants_hold);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"claim faults", test_claim_faults},
        {"outage", test_outage},
        {"outcomes", test_outcomes},
        {"different body", test_different_body},
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
