/* Tests of the configuration manager against a stand-in for the platform's
 * object. Its operations may lose their replies or read an old version. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/config_manager.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000LL
#define RUN_LIMIT_US (60 * SECOND_US)

/* The platform's object. `faults` has one letter for each of the next
 * operations; none after the last:
 *
 *     .  no fault
 *     l  it takes effect, but the reply is lost
 *     n  it is lost and does not take effect
 *     d  the reply is lost, and it takes effect after the next operation
 *     u  it is refused without effect
 *     s  it reads the previous version */
typedef struct {
    uint64_t version;
    json_t *value;
    json_t *old_value;
    const char *faults;
    EbStoreRequest late; /* write delayed by fault `d`; kind NULL: none */
    uint32_t writes;     /* writes that took effect */
} Store;

/* A configuration manager and the results that it reported. */
typedef struct {
    EbActionQueue *actions;
    EbConfigManager *config_manager;
    uint32_t applied_count;
    uint64_t applied; /* last generation that came into force */
    uint32_t finished_count;
    EbError result; /* of the last change that finished */
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
on_applied(void *context, EbConfig *config, int64_t now_us)
{
    (void)now_us;
    Daemon *daemon = context;
    CU_ASSERT_TRUE(config->generation > daemon->applied);
    daemon->applied = config->generation;
    daemon->applied_count++;
}

static void
on_finished(void *context, const EbError *error, uint64_t generation)
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
                                  .applied = on_applied,
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
offer_document(Daemon *daemon, uint64_t generation, const char *tag)
{
    char *text = make_document(generation, tag);
    EbConfigResult result = EbConfigManager_OfferDocument(
        daemon->config_manager, text, strlen(text), 0, "peer", NULL, 0);
    g_free(text);
    return result;
}

static void
submit_change(Daemon *daemon, uint64_t generation, const char *tag,
              int64_t now_us)
{
    char *text = make_document(generation, tag);
    EbConfigManager_SubmitChange(daemon->config_manager, text, strlen(text),
                                 on_finished, daemon, now_us);
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

/* Carries out a daemon's next action. Returns false when there is none. */
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

/* Runs a daemon until its change is finished, and returns the time. */
static int64_t
run_until_finished(Store *store, Daemon *daemon, int64_t now_us)
{
    while (daemon->finished_count == 0 && now_us < RUN_LIMIT_US) {
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

/* Guards against going back to a lower generation, applying a generation
 * twice, and replacing a valid configuration by one that is not valid. */
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
        CU_ASSERT_EQUAL(offer_document(daemon, rows[i].generation, "c"),
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

/* Guards against a daemon that misses a change when it has no watch, stops
 * reading while the platform is down, or relies on a stale read although a
 * change was announced during it. */
static void
test_refresh(void)
{
    Store store = {.faults = "ul"};
    put_document(&store, 1, "a");
    Daemon *daemon = new_daemon();
    int64_t now_us = 1;
    while (daemon->applied == 0 && now_us < RUN_LIMIT_US) {
        EbConfigManager_Tick(daemon->config_manager, now_us);
        while (step(&store, daemon, now_us)) {
        }
        now_us = EbConfigManager_NextTimer(daemon->config_manager);
    }
    CU_ASSERT_EQUAL(daemon->applied, 1);
    put_document(&store, 2, "b");
    EbConfigManager_Refresh(daemon->config_manager, now_us);
    /* A second event arrives while the object is read. */
    EbConfigManager_Refresh(daemon->config_manager, now_us);
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

/* Guards against a change whose result is reported wrongly after a fault at
 * any step, that is in force before it is accepted, or that is written twice.
 */
static void
test_change_faults(void)
{
    static const struct {
        const char *faults; /* of the read, the write, the next read, ... */
        const char *other;  /* tag of a generation 2 that is stored already */
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
        /* The same change was accepted earlier, but its reply was lost. */
        {".", "mine", EB_ERROR_NONE, "", 2, 0},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Store store = {.faults = rows[i].faults};
        put_document(&store, 1, "base");
        if (rows[i].other != NULL) {
            put_document(&store, 2, rows[i].other);
        }
        Daemon *daemon = new_daemon();
        offer_document(daemon, 1, "base");
        submit_change(daemon, 2, "mine", 1);
        CU_ASSERT_EQUAL(EbConfigManager_Generation(daemon->config_manager), 1);
        run_until_finished(&store, daemon, 1);
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

/* Guards against two concurrent changes that are both reported as accepted, in
 * every interleaving of their store operations. Bit i of `order` selects the
 * daemon whose operation is the i-th. */
static void
test_race(void)
{
    for (uint32_t order = 0; order < 64; order++) {
        Store store = {.faults = ""};
        put_document(&store, 1, "base");
        Daemon *daemons[2] = {new_daemon(), new_daemon()};
        for (int i = 0; i < 2; i++) {
            offer_document(daemons[i], 1, "base");
            submit_change(daemons[i], 2, i == 0 ? "first" : "second", 1);
        }
        for (int i = 0; i < 6; i++) {
            step(&store, daemons[order >> i & 1], 1);
        }
        int winners = 0;
        for (int i = 0; i < 2; i++) {
            run_until_finished(&store, daemons[i], 1);
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

/* Guards against confusing a second change on one daemon with the first,
 * against writing a change with a wrong generation, and against failing to
 * create the very first configuration. */
static void
test_generation_numbers(void)
{
    Store store = {.faults = ""};
    Daemon *daemon = new_daemon();
    submit_change(daemon, 2, "a", 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_RANGE);
    daemon->finished_count = 0;
    submit_change(daemon, 1, "a", 1);
    CU_ASSERT_EQUAL(daemon->finished_count, 0);
    submit_change(daemon, 1, "b", 1);
    CU_ASSERT_EQUAL(daemon->finished_count, 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_CONFLICT);
    daemon->finished_count = 0;
    run_until_finished(&store, daemon, 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_NONE);
    CU_ASSERT_EQUAL(store.writes, 1);
    daemon->finished_count = 0;
    submit_change(daemon, 1, "c", 1);
    CU_ASSERT_EQUAL(daemon->result.code, EB_ERROR_CONFLICT);
    CU_ASSERT_EQUAL(store.writes, 1);
    free_daemon(daemon);
    clear_store(&store);
}

/* Guards against a wrong result after a lost reply when a peer reports the
 * generation, or when a later generation replaces it before it is read back.
 */
static void
test_resolved_by_peer(void)
{
    static const struct {
        uint64_t offered; /* generation that a peer reports, or 0 */
        const char *tag;  /* of the peer's configuration */
        uint64_t stored;  /* generation that replaces it in the store, or 0 */
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
        offer_document(daemon, 1, "base");
        submit_change(daemon, 2, "mine", 1);
        while (step(&store, daemon, 1)) {
        }
        CU_ASSERT_EQUAL(daemon->finished_count, 0);
        if (rows[i].offered != 0) {
            offer_document(daemon, rows[i].offered, rows[i].tag);
        }
        if (rows[i].stored != 0) {
            put_document(&store, rows[i].stored, "later");
        }
        run_until_finished(&store, daemon, 1);
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
        {"generation numbers", test_generation_numbers},
        {"resolved by peer", test_resolved_by_peer},
    };
    return EbTest_Run("test_config_manager", cases, TABLE_COUNT(cases));
}
