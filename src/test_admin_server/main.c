/* Tests of EbAdminServer over raw sockets, with the real modules and an
 * in-memory store in place of the platform. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>
#include <sodium.h>

#include "ebonyhollow/admin_server.h"
#include "net_fixture.h"
#include "test_runner.h"

#define DOCUMENT EB_SOURCE_DIRECTORY "/examples/capas/configuration.json"
#define ADMIN "demo-capas-on-call"
#define EDITOR "demo-capas-editor"
#define VIEWER "demo-capas-dashboard"

typedef struct {
    struct event_base *base;
    EbSettings settings;
    EbEventSink sink;
    EbRandom random;
    EbActionQueue *actions;
    EbMetrics *metrics;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDirectives *directives;
    EbConfigManager *config_manager;
    EbMembership *membership;
    EbDispatcher *dispatcher;
    EbPlatformClient *platform;
    EbAdminServer *server;
    json_t *document;           /* example, with generation 1 */
    json_t *stored_config;      /* configuration object in the store */
    uint64_t stored_version;    /* 0 while absent */
    bool platform_silent;       /* the platform does not answer */
    EbAdminStoreDone read_done; /* callback of the last outcome read */
    void *read_context;
    char *read_name;
    bool draining;
    unsigned drain_starts, audit_events, denied_events;
    const RawClient *client;
} Fixture;

static void
on_event(void *context, EbEventId event, const EbEventField *fields,
         size_t field_count)
{
    (void)fields;
    (void)field_count;
    Fixture *fixture = context;
    fixture->audit_events += event == EB_EVENT_AUDIT;
    fixture->denied_events += event == EB_EVENT_ADMIN_DENIED;
}

static void
on_applied(void *context, EbConfig *config, int64_t now_us)
{
    Fixture *fixture = context;
    EbLimiter_SetConfig(fixture->limiter, config);
    EbDispatcher_SetConfig(fixture->dispatcher, config, now_us);
}

static void
ignore_message(void *context, const char *peer, const EbMessage *message,
               int64_t now_us)
{
    (void)context;
    (void)peer;
    (void)message;
    (void)now_us;
}

static void
ignore_change(void *context, int64_t now_us)
{
    (void)context;
    (void)now_us;
}

static void
ignore_announcement(void *context, const char *peer, uint64_t generation,
                    int64_t now_us)
{
    (void)context;
    (void)peer;
    (void)generation;
    (void)now_us;
}

static void
ignore_reply(void *context, const EbStoreReply *reply)
{
    (void)context;
    (void)reply;
}

static int64_t
read_clock(void *context)
{
    (void)context;
    return 0;
}

static bool
is_draining(void *context)
{
    return ((Fixture *)context)->draining;
}

static const char *
drain_state(void *context)
{
    return is_draining(context) ? "delay" : "none";
}

static void
start_drain(void *context)
{
    Fixture *fixture = context;
    fixture->drain_starts++;
    fixture->draining = true;
}

static void
record_store_call(void *context, EbStoreOperation operation, const char *kind,
                  const char *name, EbAdminStoreDone done, void *done_context)
{
    Fixture *fixture = context;
    CU_ASSERT_EQUAL(operation, EB_STORE_GET);
    CU_ASSERT_EQUAL(strncmp(kind, "claims-", 7), 0);
    CU_ASSERT_EQUAL(strncmp(kind + 7, strchr(name, '.') + 1, 2), 0);
    fixture->read_done = done;
    fixture->read_context = done_context;
    g_free(fixture->read_name);
    fixture->read_name = g_strdup(name);
}

/* Performs a store operation of the config manager on the in-memory object. */
static void
perform_config_operation(Fixture *fixture, const EbStoreRequest *request)
{
    EbStoreReply reply = {.owner = request->owner,
                          .operation_id = request->operation_id,
                          .status = EB_STORE_OK};
    bool write = request->operation == EB_STORE_CREATE ||
                 request->operation == EB_STORE_UPDATE;
    uint64_t expected =
        request->operation == EB_STORE_UPDATE ? request->version : 0;
    if (write && expected != fixture->stored_version) {
        reply.status = EB_STORE_CONFLICT;
    }
    else if (write) {
        json_decref(fixture->stored_config);
        fixture->stored_config = json_incref(request->value);
        fixture->stored_version++;
    }
    else if (fixture->stored_version == 0) {
        reply.status = EB_STORE_NOT_FOUND;
    }
    else {
        reply.value = fixture->stored_config;
    }
    reply.version = fixture->stored_version;
    EbConfigManager_StoreReply(fixture->config_manager, &reply, 0);
}

static void
schedule_actions(void *context)
{
    Fixture *fixture = context;
    EbAction action;
    while (!fixture->platform_silent &&
           EbActionQueue_Pop(fixture->actions, &action)) {
        if (action.kind == EB_ACTION_STORE &&
            action.as.store.owner == EB_STORE_OWNER_CONFIG) {
            perform_config_operation(fixture, &action.as.store);
        }
        EbAction_Clear(&action);
    }
}

static void
create_modules(Fixture *fixture)
{
    static const EbConfig no_config;
    fixture->actions = EbActionQueue_New();
    fixture->metrics = EbMetrics_New();
    EbRandom_Init(&fixture->random, 1);
    fixture->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = "i-1",
                                        .peer_address = "127.0.0.1:1",
                                        .actions = fixture->actions,
                                        .random = &fixture->random,
                                        .wall_clock_us = read_clock});
    fixture->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = "i-1", .config = &no_config});
    fixture->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    fixture->config_manager = EbConfigManager_New(
        &(EbConfigManagerOptions){.site = "recife",
                                  .actions = fixture->actions,
                                  .applied = on_applied,
                                  .context = fixture});
    fixture->membership = EbMembership_New(
        &(EbMembershipOptions){.instance = "i-1",
                               .incarnation = 1,
                               .address = "127.0.0.1:1",
                               .failure_domain = "recife",
                               .actions = fixture->actions,
                               .random = &fixture->random,
                               .deliver = ignore_message,
                               .changed = ignore_change,
                               .announced = ignore_announcement,
                               .context = fixture});
    fixture->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &fixture->random});
    fixture->dispatcher = EbDispatcher_New(
        &(EbDispatcherOptions){.instance = "i-1",
                               .failure_domain = "recife",
                               .actions = fixture->actions,
                               .random = &fixture->random,
                               .ledger = fixture->ledger,
                               .limiter = fixture->limiter,
                               .quarantine = fixture->quarantine,
                               .directives = fixture->directives,
                               .metrics = fixture->metrics});
    fixture->platform = EbPlatformClient_New(
        &(EbPlatformClientOptions){.base = fixture->base,
                                   .host = "127.0.0.1",
                                   .port = 1,
                                   .random = &fixture->random,
                                   .metrics = fixture->metrics,
                                   .reply = ignore_reply});
}

static void
open_fixture(Fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->sink = (EbEventSink){on_event, fixture};
    fixture->settings = (EbSettings){.instance = "i-1",
                                     .site = "recife",
                                     .failure_domain = "recife",
                                     .admin = {"127.0.0.1", 0},
                                     .max_header_bytes = 16384,
                                     .header_timeout_us = 5000000};
    create_modules(fixture);
    EbError error = {0};
    fixture->server = EbAdminServer_New(
        &(EbAdminServerOptions){.base = fixture->base,
                                .settings = &fixture->settings,
                                .events = &fixture->sink,
                                .metrics = fixture->metrics,
                                .dispatcher = fixture->dispatcher,
                                .config_manager = fixture->config_manager,
                                .membership = fixture->membership,
                                .limiter = fixture->limiter,
                                .quarantine = fixture->quarantine,
                                .platform = fixture->platform,
                                .draining = is_draining,
                                .drain_state = drain_state,
                                .start_drain = start_drain,
                                .call_store = record_store_call,
                                .schedule_actions = schedule_actions,
                                .context = fixture},
        &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
    fixture->document = json_load_file(DOCUMENT, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->document);
    json_object_set_new(fixture->document, "generation", json_integer(1));
}

/* Puts the example configuration into force. */
static void
apply_document(Fixture *fixture)
{
    char *text = json_dumps(fixture->document, 0);
    EbError error = {0};
    EbConfigResult result = EbConfigManager_OfferDocument(
        fixture->config_manager, text, strlen(text), 1, "test", &error, 0);
    CU_ASSERT_EQUAL_FATAL(result, EB_CONFIG_APPLIED);
    free(text);
    fixture->stored_config = json_incref(fixture->document);
    fixture->stored_version = 1;
}

static void
close_fixture(Fixture *fixture)
{
    EbAdminServer_Free(fixture->server);
    EbPlatformClient_Free(fixture->platform);
    EbDispatcher_Free(fixture->dispatcher);
    EbMembership_Free(fixture->membership);
    EbConfigManager_Free(fixture->config_manager);
    EbQuarantine_Free(fixture->quarantine);
    EbDirectives_Free(fixture->directives);
    EbLimiter_Free(fixture->limiter);
    EbLedger_Free(fixture->ledger);
    EbMetrics_Free(fixture->metrics);
    EbActionQueue_Free(fixture->actions);
    json_decref(fixture->document);
    json_decref(fixture->stored_config);
    g_free(fixture->read_name);
    event_base_free(fixture->base);
}

static bool
is_closed(void *context)
{
    return ((Fixture *)context)->client->closed;
}

static RawClient *
send_call(Fixture *fixture, const char *method, const char *path,
          const char *token, const char *body)
{
    RawClient *client =
        RawClient_New(fixture->base, EbAdminServer_Port(fixture->server));
    char *text = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n%s",
        method, path, token, strlen(body), body);
    RawClient_Send(client, text);
    g_free(text);
    return client;
}

/* Makes a call and returns its status; `answer` gets the parsed body. */
static int
call(Fixture *fixture, const char *method, const char *path, const char *token,
     const char *body, json_t **answer)
{
    RawClient *client = send_call(fixture, method, path, token, body);
    fixture->client = client;
    CU_ASSERT_TRUE(Loop_Until(fixture->base, is_closed, fixture));
    int status = 0;
    if (client->text_bytes > 12) {
        status = atoi(client->text + strlen("HTTP/1.1 "));
    }
    const char *end = strstr(client->text, "\r\n\r\n");
    if (answer != NULL) {
        *answer = end ? json_loads(end + 4, 0, NULL) : NULL;
    }
    RawClient_Free(client);
    return status;
}

/* Guards against a route that accepts a role below the required one, and
 * against wrong status codes. */
static void
test_required_roles(void)
{
    static const struct {
        const char *method, *path;
        int unknown, viewer, editor, admin;
    } route_cases[] = {
        {"GET", "/healthz", 200, 200, 200, 200},
        {"GET", "/readyz", 200, 200, 200, 200},
        {"GET", "/metrics", 200, 200, 200, 200},
        {"GET", "/v1/status", 401, 200, 200, 200},
        {"GET", "/v1/config", 401, 200, 200, 200},
        {"GET", "/v1/config/merged", 401, 200, 200, 200},
        {"GET", "/v1/config/history", 401, 200, 200, 200},
        {"POST", "/v1/config/check", 401, 422, 422, 422},
        {"PUT", "/v1/config", 401, 403, 400, 400},
        {"GET", "/v1/servers", 401, 200, 200, 200},
        {"GET", "/v1/peers", 401, 200, 200, 200},
        {"GET", "/v1/customers", 401, 200, 200, 200},
        {"GET", "/v1/requests", 401, 200, 200, 200},
        {"GET", "/v1/requests?id=r-1", 401, 200, 200, 200},
        {"GET", "/v1/explain?host=h&path=/", 401, 200, 200, 200},
        {"GET", "/v1/explain?host=h", 401, 400, 400, 400},
        {"GET", "/v1/explain?host=h&path=/&items=1,,2", 401, 400, 400, 400},
        {"GET", "/v1/explain?host=h&path=/&tokens=1", 401, 400, 400, 400},
        {"GET", "/v1/explain?host=h&path=/&parts=g", 401, 400, 400, 400},
        {"GET", "/v1/quarantine", 401, 200, 200, 200},
        {"DELETE", "/v1/quarantine/0123", 401, 403, 403, 404},
        {"GET", "/v1/outcomes/c-1", 401, 404, 404, 404},
        {"DELETE", "/v1/config", 405, 405, 405, 405},
        {"GET", "/v1/nothing", 404, 404, 404, 404},
    };
    Fixture fixture;
    open_fixture(&fixture);
    apply_document(&fixture);
    for (size_t i = 0; i < sizeof(route_cases) / sizeof(route_cases[0]); i++) {
        const int expected[] = {route_cases[i].unknown, route_cases[i].viewer,
                                route_cases[i].editor, route_cases[i].admin};
        static const char *const tokens[] = {"wrong", VIEWER, EDITOR, ADMIN};
        for (int j = 0; j < 4; j++) {
            int status = call(&fixture, route_cases[i].method,
                              route_cases[i].path, tokens[j], "", NULL);
            if (status != expected[j]) {
                printf("%s %s as %s: %d\n", route_cases[i].method,
                       route_cases[i].path, tokens[j], status);
            }
            CU_ASSERT_EQUAL(status, expected[j]);
        }
    }
    CU_ASSERT_EQUAL(fixture.audit_events, 1);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "/v1/drain", EDITOR, "", NULL),
                    403);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "/v1/drain", ADMIN, "", NULL), 202);
    CU_ASSERT_EQUAL(fixture.drain_starts, 1);
    CU_ASSERT_EQUAL(fixture.audit_events, 2);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/readyz", "", "", NULL), 503);
    close_fixture(&fixture);
}

/* Builds the body of a PUT request: the example with one entry replaced. */
static char *
build_change(const Fixture *fixture, uint64_t from, const char *section,
             const char *entry, json_t *value)
{
    json_t *body = json_deep_copy(fixture->document);
    json_object_del(body, "generation");
    json_object_set_new(body, "from_generation",
                        json_integer((json_int_t)from));
    json_t *target = json_object_get(json_object_get(body, "base"), section);
    json_object_set_new(target, entry, value);
    char *text = json_dumps(body, 0);
    json_decref(body);
    return text;
}

static json_t *
build_changed_pipeline(const Fixture *fixture, const char *pipeline)
{
    json_t *base = json_object_get(fixture->document, "base");
    json_t *value = json_deep_copy(
        json_object_get(json_object_get(base, "pipelines"), pipeline));
    json_object_set_new(value, "deadline_ms", json_integer(9000));
    return value;
}

static int
put_change(Fixture *fixture, const char *token, uint64_t from,
           const char *section, const char *entry, json_t *value)
{
    char *body = build_change(fixture, from, section, entry, value);
    int status = call(fixture, "PUT", "/v1/config", token, body, NULL);
    free(body);
    return status;
}

/* Guards against changes outside an operator's scope, changes based on an
 * outdated generation, invalid documents that come into force, and changes
 * without an audit event. */
static void
test_config_change(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    apply_document(&fixture);
    json_t *promoted_operator =
        json_pack("{s:s, s:s}", "token_digest",
                  "75b2f46d0b4aed005f77b1c842853b85fea95a3dd434d6"
                  "5c664d693139f37ccd",
                  "role", "admin");
    CU_ASSERT_EQUAL(put_change(&fixture, EDITOR, 1, "operators", "editor",
                               json_incref(promoted_operator)),
                    403);
    json_decref(promoted_operator);
    CU_ASSERT_EQUAL(
        put_change(&fixture, EDITOR, 1, "pipelines", "stock-question",
                   build_changed_pipeline(&fixture, "stock-question")),
        403);
    CU_ASSERT_EQUAL(fixture.denied_events, 2);
    CU_ASSERT_EQUAL(fixture.audit_events, 0);
    CU_ASSERT_EQUAL(
        put_change(&fixture, EDITOR, 0, "pipelines", "liner-text-draft",
                   build_changed_pipeline(&fixture, "liner-text-draft")),
        409);
    CU_ASSERT_EQUAL(put_change(&fixture, ADMIN, 1, "pipelines",
                               "liner-text-draft", json_integer(3)),
                    422);
    CU_ASSERT_EQUAL(EbConfigManager_Generation(fixture.config_manager), 1);
    CU_ASSERT_EQUAL(
        put_change(&fixture, EDITOR, 1, "pipelines", "liner-text-draft",
                   build_changed_pipeline(&fixture, "liner-text-draft")),
        200);
    CU_ASSERT_EQUAL(EbConfigManager_Generation(fixture.config_manager), 2);
    CU_ASSERT_EQUAL(fixture.stored_version, 2);
    CU_ASSERT_EQUAL(fixture.audit_events, 3);
    json_t *answer;
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/config", VIEWER, "", &answer),
                    200);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(answer, "generation")),
                    2);
    json_decref(answer);
    close_fixture(&fixture);
}

/* Guards against a check that does not list the changes in a document. */
static void
test_config_check(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    apply_document(&fixture);
    json_t *document = json_deep_copy(fixture.document);
    json_object_set_new(document, "generation", json_integer(2));
    json_t *base = json_object_get(document, "base");
    json_object_set_new(json_object_get(base, "pipelines"), "liner-text-draft",
                        build_changed_pipeline(&fixture, "liner-text-draft"));
    char *text = json_dumps(document, 0);
    json_t *answer;
    CU_ASSERT_EQUAL(
        call(&fixture, "POST", "/v1/config/check", VIEWER, text, &answer),
        200);
    json_t *changes = json_object_get(answer, "changes");
    CU_ASSERT_TRUE(json_is_true(json_object_get(answer, "valid")));
    CU_ASSERT_EQUAL(json_array_size(changes), 2);
    const char *path =
        json_string_value(json_object_get(json_array_get(changes, 1), "path"));
    const char *kind = json_string_value(
        json_object_get(json_array_get(changes, 1), "change"));
    CU_ASSERT_STRING_EQUAL(kind, "changed");
    CU_ASSERT_STRING_EQUAL(path,
                           "$.base.pipelines.liner-text-draft.deadline_ms");
    free(text);
    json_decref(answer);
    json_decref(document);
    close_fixture(&fixture);
}

/* Guards against a new deployment in which nobody can submit the first
 * configuration, and against a bootstrap token that remains valid after it. */
static void
test_bootstrap_token(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/readyz", "", "", NULL), 503);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "boot", "", NULL),
                    401);
    EbConfig_DigestToken("boot", fixture.settings.bootstrap_token_digest);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "boo", "", NULL), 401);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/config", "boot", "", NULL),
                    503);
    CU_ASSERT_EQUAL(
        put_change(&fixture, "boot", 0, "pipelines", "liner-text-draft",
                   build_changed_pipeline(&fixture, "liner-text-draft")),
        200);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/readyz", "", "", NULL), 200);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "boot", "", NULL),
                    401);
    close_fixture(&fixture);
}

/* Guards against operators who can't look at a daemon of the users' platform,
 * whose configuration names none, and against a token of the settings that may
 * change anything or remains valid beside configured operators. */
static void
test_viewer_token(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    EbConfig_DigestToken("look", fixture.settings.viewer_token_digest);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "look", "", NULL),
                    200);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "other", "", NULL),
                    401);
    CU_ASSERT_EQUAL(call(&fixture, "POST", "/v1/drain", "look", "", NULL),
                    403);
    json_object_set_new(fixture.document, "generation", json_integer(2));
    EbConfig *config = EbConfig_New("site", 1);
    CU_ASSERT_EQUAL(
        EbConfigManager_OfferConfig(fixture.config_manager, config, "test", 0),
        EB_CONFIG_APPLIED);
    EbConfig_Unref(config);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "look", "", NULL),
                    200);
    apply_document(&fixture);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/v1/status", "look", "", NULL),
                    401);
    close_fixture(&fixture);
}

/* Guards against a release from quarantine that does not reach the module, an
 * outcome read under a wrong object name, and a late reply of the store that
 * is sent to a closed connection. */
static void
test_quarantine_and_outcome(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    apply_document(&fixture);
    /* The crashes are dated in the future, so that the entry has not expired
     * by the server's clock. */
    for (int i = 0; i < EB_QUARANTINE_CRASHES; i++) {
        EbQuarantine_RecordCrash(fixture.quarantine, 0xabc, INT64_MAX / 4);
    }
    CU_ASSERT_EQUAL(call(&fixture, "DELETE", "/v1/quarantine/0000000000000abc",
                         ADMIN, "", NULL),
                    200);
    EbQuarantineEntry entry;
    CU_ASSERT_TRUE(
        EbQuarantine_NextChange(fixture.quarantine, &entry, INT64_MAX / 4));
    CU_ASSERT_EQUAL(entry.state, EB_FINGERPRINT_CLEAR);

    RawClient *client =
        send_call(&fixture, "GET", "/v1/outcomes/c-1/k%2F1", VIEWER, "");
    Loop_For(fixture.base, 50000);
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest("k/1", digest);
    char *name = g_strconcat("c-1.", digest, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture.read_done);
    CU_ASSERT_STRING_EQUAL(fixture.read_name, name);
    g_free(name);
    EbStoreReply reply = {.status = EB_STORE_OK,
                          .value = json_pack("{s:s}", "state", "void")};
    fixture.read_done(fixture.read_context, &reply);
    fixture.client = client;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_closed, &fixture));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "\"outcome\":\"not-run\""));
    RawClient_Free(client);

    client = send_call(&fixture, "GET", "/v1/outcomes/c-1/k", VIEWER, "");
    Loop_For(fixture.base, 50000);
    RawClient_Free(client);
    Loop_For(fixture.base, 50000);
    fixture.read_done(fixture.read_context, &reply);
    Loop_For(fixture.base, 50000);
    json_decref(reply.value);
    CU_ASSERT_EQUAL(call(&fixture, "GET", "/healthz", "", "", NULL), 200);
    close_fixture(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"required roles", test_required_roles},
        {"configuration change", test_config_change},
        {"configuration check", test_config_check},
        {"bootstrap token", test_bootstrap_token},
        {"viewer token", test_viewer_token},
        {"quarantine and outcome", test_quarantine_and_outcome},
    };
    if (sodium_init() < 0) {
        return 1;
    }
    return EbTest_Run("test_admin_server", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
