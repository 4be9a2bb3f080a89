/* Tests of the configuration's generation against a stand-in for the
 * platform's object, whose calls may lose answers or read old versions. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/config_manager.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000LL
#define LONGEST_US (60 * SECOND_US)

/* The platform's object. `faults` has one letter for each operation to come:
 * `.` none, `l` takes effect but its answer is lost, `n` lost before it took
 * effect, `d` lost, takes effect only after the next operation, `u` refused
 * without effect, `s` a read of the version before. */
typedef struct {
    uint64_t version;
    json_t *value;
    json_t *old_value;
    const char *faults;
    EbStoreRequest late; /* kind set: a write under way after fault `d` */
    uint32_t writes;     /* that took effect */
} Store;

typedef struct {
    EbActionQueue *actions;
    EbConfigManager *config_manager;
    uint32_t applied_count;
    uint64_t applied;
    uint32_t finished_count;
    EbError result;
} Daemon;

static char *
make_document(uint64_t generation, const char *tag)
{
    return g_strdup_printf("{\"generation\": %" PRIu64
                           ", \"base\": {\"customers\": {\"%s\": "
                           "{\"token_digest\": \"%064d\"}}}}",
                           generation, tag, 0);
}

static void
take_applied(void *context, EbConfig *config, int64_t now_us)
{
    (void)now_us;
    Daemon *daemon = context;
    CU_ASSERT_TRUE(config->generation > daemon->applied);
    daemon->applied = config->generation;
    daemon->applied_count++;
}

static void
take_finished(void *context, const EbError *error, uint64_t generation)
{
    Daemon *daemon = context;
    daemon->finished_count++;
    daemon->result = *error;
    if (error->code == EB_ERROR_NONE) {
        CU_ASSERT_EQUAL(generation,
                        EbConfigManager_Generation(daemon->config_manager));
    }
}

static Daemon *
new_daemon(void)
{
    Daemon *daemon = g_new0(Daemon, 1);
    daemon->actions = EbActionQueue_New();
    daemon->config_manager = EbConfigManager_New(
        &(EbConfigManagerOptions){.site = "recife",
                                  .actions = daemon->actions,
                                  .applied = take_applied,
                                  .context = daemon});
    return daemon;
}

static void
free_daemon(Daemon *daemon)
{
    EbConfigManager_Free(daemon->config_manager);
    EbActionQueue_Free(daemon->actions);
    g_free(daemon);
}

static EbConfigResult
offer(Daemon *daemon, uint64_t generation, const char *tag)
{
    char *text = make_document(generation, tag);
    EbConfigResult result = EbConfigManager_OfferDocument(
        daemon->config_manager, text, strlen(text), 0, "peer", NULL, 0);
    g_free(text);
    return result;
}

static void
change(Daemon *daemon, uint64_t generation, const char *tag, int64_t now_us)
{
    char *text = make_document(generation, tag);
    EbConfigManager_SubmitChange(daemon->config_manager, text, strlen(text),
                                 take_finished, daemon, now_us);
    g_free(text);
}

static void
set_value(Store *store, json_t *value)
{
    json_decref(store->old_value);
    store->old_value = store->value;
    store->value = json_deep_copy(value);
    store->version++;
}

static void
put_document(Store *store, uint64_t generation, const char *tag)
{
    char *text = make_document(generation, tag);
    json_t *value = json_loads(text, 0, NULL);
    set_value(store, value);
    json_decref(value);
    g_free(text);
}

static EbStoreStatus
write_object(Store *store, const EbStoreRequest *request)
{
    if (request->version != store->version) {
        return EB_STORE_CONFLICT;
    }
    set_value(store, request->value);
    store->writes++;
    return EB_STORE_OK;
}

static EbStoreReply
run_request(Store *store, const EbStoreRequest *request, char fault)
{
    EbStoreReply reply = {request->owner, request->operation_id, EB_STORE_LOST,
                          0, NULL};
    CU_ASSERT_STRING_EQUAL(request->kind, EB_CONFIG_OBJECT_KIND);
    if (fault == 'n' || fault == 'd') {
        return reply;
    }
    if (fault == 'u') {
        reply.status = EB_STORE_UNAVAILABLE;
        return reply;
    }
    if (request->operation != EB_STORE_GET) {
        reply.status = write_object(store, request);
        reply.version = store->version;
    }
    else {
        bool stale = fault == 's';
        reply.value = stale ? store->old_value : store->value;
        reply.version = store->version - stale;
        reply.status = reply.value == NULL ? EB_STORE_NOT_FOUND : EB_STORE_OK;
    }
    if (fault == 'l') {
        reply.status = EB_STORE_LOST;
    }
    return reply;
}

/* Answers one action of a daemon. Returns false when there was none. */
static bool
step(Store *store, Daemon *daemon, int64_t now_us)
{
    EbAction action;
    if (!EbActionQueue_Pop(daemon->actions, &action)) {
        return false;
    }
    char fault = '.';
    if (store->faults != NULL && *store->faults != '\0') {
        fault = *store->faults++;
    }
    EbStoreReply reply = run_request(store, &action.as.store, fault);
    EbConfigManager_StoreReply(daemon->config_manager, &reply, now_us);
    if (store->late.kind != NULL) {
        write_object(store, &store->late);
        g_free(store->late.kind);
        json_decref(store->late.value);
        store->late = (EbStoreRequest){.kind = NULL};
    }
    if (fault == 'd') {
        store->late = action.as.store;
        store->late.kind = g_strdup(action.as.store.kind);
        json_incref(store->late.value);
    }
    EbAction_Clear(&action);
    return true;
}

/* Runs a daemon until its change is finished; returns the time. */
static int64_t
run(Store *store, Daemon *daemon, int64_t now_us)
{
    while (daemon->finished_count == 0 && now_us < LONGEST_US) {
        if (!step(store, daemon, now_us)) {
            int64_t next_us =
                EbConfigManager_NextTimer(daemon->config_manager);
            now_us = MAX(now_us + 1, next_us);
            EbConfigManager_Tick(daemon->config_manager, now_us);
        }
    }
    return now_us;
}

static void
clear_store(Store *store)
{
    json_decref(store->value);
    json_decref(store->old_value);
    json_decref(store->late.value);
    g_free(store->late.kind);
}

/* Guards against a configuration that reverts, is applied twice or replaces a
 * valid one although it is not valid. */
static void
test_never_reverts(void)
{
    static const struct {
        uint64_t generation;
        EbConfigResult expected;
        uint64_t in_force;
    } rows[] = {
        {2, EB_CONFIG_APPLIED, 2}, {2, EB_CONFIG_UNCHANGED, 2},
        {1, EB_CONFIG_STALE, 2},   {5, EB_CONFIG_APPLIED, 5},
        {4, EB_CONFIG_STALE, 5},   {0, EB_CONFIG_INVALID, 5},
    };
    Daemon *daemon = new_daemon();
    CU_ASSERT_PTR_NULL(EbConfigManager_Current(daemon->config_manager));
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        CU_ASSERT_EQUAL(offer(daemon, rows[i].generation, "c"),
                        rows[i].expected);
        CU_ASSERT_EQUAL(EbConfigManager_Generation(daemon->config_manager),
                        rows[i].in_force);
    }
    EbError error = {0};
    const char broken[] = "{\"generation\": 9, \"base\": {\"x\": 1}}";
    CU_ASSERT_EQUAL(EbConfigManager_OfferDocument(daemon->config_manager,
                                                  broken, strlen(broken), 0,
                                                  "peer", &error, 0),
                    EB_CONFIG_INVALID);
    CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_NONE);
    size_t text_bytes;
    char *text = make_document(5, "c");
    CU_ASSERT_STRING_EQUAL(
        EbConfigManager_Text(daemon->config_manager, &text_bytes), text);
    CU_ASSERT_EQUAL(text_bytes, strlen(text));
    CU_ASSERT_EQUAL(daemon->applied_count, 2);
    g_free(text);
    free_daemon(daemon);
}

/* Guards against a daemon that misses a change without a watch, that gives up
 * while the platform is down, or that takes a stale read for the truth. */
static void
test_refresh(void)
{
    Store store = {.faults = "ul"};
    put_document(&store, 1, "a");
    Daemon *daemon = new_daemon();
    int64_t now_us = 1;
    while (daemon->applied == 0 && now_us < LONGEST_US) {
        EbConfigManager_Tick(daemon->config_manager, now_us);
        while (step(&store, daemon, now_us)) {
        }
        now_us = EbConfigManager_NextTimer(daemon->config_manager);
    }
    CU_ASSERT_EQUAL(daemon->applied, 1);
    put_document(&store, 2, "b");
    EbConfigManager_Refresh(daemon->config_manager, now_us);
    EbConfigManager_Refresh(daemon->config_manager,
                            now_us); /* event while reading */
    store.faults = ".s";
    CU_ASSERT_TRUE(step(&store, daemon, now_us));
    CU_ASSERT_TRUE(step(&store, daemon, now_us));
    CU_ASSERT_FALSE(step(&store, daemon, now_us));
    CU_ASSERT_EQUAL(daemon->applied, 2);
    CU_ASSERT_EQUAL(EbConfigManager_NextTimer(daemon->config_manager),
                    now_us + EB_CONFIG_POLL_US);
    free_daemon(daemon);
    clear_store(&store);
}

/* Guards against a change that is reported wrongly after faults at any step,
 * that is in force before it was accepted, or that is written twice. */
static void
test_change_faults(void)
{
    static const struct {
        const char *faults; /* read, write, read, ... */
        const char *other;  /* tag of another change to generation 2 */
        EbErrorCode expected;
        const char *message;
        uint64_t in_force;
        uint32_t writes;
    } rows[] = {
        {"", NULL, EB_ERROR_NONE, "", 2, 1},
        {"u", NULL, EB_ERROR_UNAVAILABLE, "not accepted", 1, 0},
        {"n", NULL, EB_ERROR_UNAVAILABLE, "not accepted", 1, 0},
        {".u", NULL, EB_ERROR_UNAVAILABLE, "not accepted", 1, 0},
        {".l", NULL, EB_ERROR_NONE, "", 2, 1},
        {".n", NULL, EB_ERROR_NONE, "", 2, 1},
        {".d", NULL, EB_ERROR_NONE, "", 2, 1},
        {".ls", NULL, EB_ERROR_NONE, "", 2, 1},
        {".luulu", NULL, EB_ERROR_NONE, "", 2, 1},
        {".nuunnu", NULL, EB_ERROR_NONE, "", 2, 1},
        {".luuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuuu",
         NULL, EB_ERROR_UNAVAILABLE, "may have been accepted", 1, 1},
        {".", "other", EB_ERROR_CONFLICT, "generation 2", 2, 0},
        {"s", "other", EB_ERROR_CONFLICT, "generation 2", 2, 0},
        {"s.s", "other", EB_ERROR_CONFLICT, "generation 2", 2, 0},
        {"s.uuu", "other", EB_ERROR_CONFLICT, "generation 2", 2, 0},
        {"sl", "other", EB_ERROR_CONFLICT, "generation 2", 2, 0},
        {".", "mine", EB_ERROR_NONE, "", 2, 0}, /* lost answer long ago */
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Store store = {.faults = rows[i].faults};
        put_document(&store, 1, "base");
        if (rows[i].other != NULL) {
            put_document(&store, 2, rows[i].other);
        }
        Daemon *daemon = new_daemon();
        offer(daemon, 1, "base");
        change(daemon, 2, "mine", 1);
        CU_ASSERT_EQUAL(EbConfigManager_Generation(daemon->config_manager), 1);
        run(&store, daemon, 1);
        CU_ASSERT_EQUAL(daemon->finished_count, 1);
        CU_ASSERT_EQUAL(daemon->result.code, rows[i].expected);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(daemon->result.message, rows[i].message));
        CU_ASSERT_EQUAL(EbConfigManager_Generation(daemon->config_manager),
                        rows[i].in_force);
        CU_ASSERT_EQUAL(store.writes, rows[i].writes);
        if (daemon->result.code != rows[i].expected) {
            printf("row %zu: %s\n", i, daemon->result.message);
        }
        free_daemon(daemon);
        clear_store(&store);
    }
}

/* Guards against two operators who are both told that they won, in every
 * interleaving of their store operations. Bit i of `order` chooses whose
 * operation comes i-th. */
static void
test_race(void)
{
    for (uint32_t order = 0; order < 64; order++) {
        Store store = {.faults = ""};
        put_document(&store, 1, "base");
        Daemon *daemons[2] = {new_daemon(), new_daemon()};
        for (int i = 0; i < 2; i++) {
            offer(daemons[i], 1, "base");
            change(daemons[i], 2, i == 0 ? "first" : "second", 1);
        }
        for (int i = 0; i < 6; i++) {
            step(&store, daemons[order >> i & 1], 1);
        }
        int winners = 0;
        for (int i = 0; i < 2; i++) {
            run(&store, daemons[i], 1);
            CU_ASSERT_EQUAL(daemons[i]->finished_count, 1);
            CU_ASSERT_EQUAL(daemons[i]->applied, 2);
            bool won = daemons[i]->result.code == EB_ERROR_NONE;
            winners += won;
            if (!won) {
                CU_ASSERT_EQUAL(daemons[i]->result.code, EB_ERROR_CONFLICT);
                CU_ASSERT_PTR_NOT_NULL(
                    strstr(daemons[i]->result.message, "generation 2"));
            }
        }
        CU_ASSERT_EQUAL(winners, 1);
        CU_ASSERT_EQUAL(store.writes, 1);
        free_daemon(daemons[0]);
        free_daemon(daemons[1]);
        clear_store(&store);
    }
}

/* Guards against a second change on one daemon that is mixed up with the
 * first, a wrong number that is written, and the first configuration of all
 * that cannot be created. */
static void
test_numbers(void)
{
    Store store = {.faults = ""};
    Daemon *daemon = new_daemon();
    change(daemon, 2, "a", 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_RANGE);
    daemon->finished_count = 0;
    change(daemon, 1, "a", 1);
    CU_ASSERT_EQUAL(daemon->finished_count, 0);
    change(daemon, 1, "b", 1);
    CU_ASSERT_EQUAL(daemon->finished_count, 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_CONFLICT);
    daemon->finished_count = 0;
    run(&store, daemon, 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_NONE);
    CU_ASSERT_EQUAL(store.writes, 1);
    daemon->finished_count = 0;
    change(daemon, 1, "c", 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_CONFLICT);
    CU_ASSERT_EQUAL(store.writes, 1);
    free_daemon(daemon);
    clear_store(&store);
}

/* Guards against a lost answer that is reported wrongly when the change is
 * learned from a peer or was replaced before it was read back. */
static void
test_settled_by_peer(void)
{
    static const struct {
        uint64_t offered; /* generation from a peer, or 0 */
        const char *tag;
        uint64_t stored; /* generation that replaces it, or 0 */
        EbErrorCode expected;
    } rows[] = {
        {2, "mine", 0, EB_ERROR_NONE},
        {2, "other", 0, EB_ERROR_CONFLICT},
        {2, "mine", 3, EB_ERROR_NONE},
        {0, "", 3, EB_ERROR_UNAVAILABLE},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Store store = {.faults = ".lu"};
        put_document(&store, 1, "base");
        Daemon *daemon = new_daemon();
        offer(daemon, 1, "base");
        change(daemon, 2, "mine", 1);
        while (step(&store, daemon, 1)) {
        }
        CU_ASSERT_EQUAL(daemon->finished_count, 0);
        if (rows[i].offered != 0) {
            offer(daemon, rows[i].offered, rows[i].tag);
        }
        if (rows[i].stored != 0) {
            put_document(&store, rows[i].stored, "later");
        }
        run(&store, daemon, 1);
        CU_ASSERT_EQUAL(daemon->finished_count, 1);
        CU_ASSERT_EQUAL(daemon->result.code, rows[i].expected);
        free_daemon(daemon);
        clear_store(&store);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"never reverts", test_never_reverts},
        {"refresh", test_refresh},
        {"change faults", test_change_faults},
        {"race", test_race},
        {"numbers", test_numbers},
        {"settled by peer", test_settled_by_peer},
    };
    return EbTest_Run("test_config_manager", cases, TABLE_COUNT(cases));
}
