/* Tests of EbPlatformClient with a scripted server. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/platform_client.h"
#include "net_fixture.h"
#include "test_runner.h"

typedef struct {
    struct event_base *base;
    RawServer *server;
    EbPlatformClient *client;
    EbMetrics *metrics;
    EbRandom random;
    EbEventSink sink;
    EbStoreReply last;
    char *last_value;
    unsigned replies, wanted_replies;
    unsigned statuses[EB_STORE_STATUS_COUNT];
    unsigned mixed; /* successes whose version isn't the operation's id */
    unsigned listed, wanted_listed;
    size_t items; /* of the last list */
    unsigned changed, wanted_changed;
    unsigned unchanged, failed;
    unsigned probed, wanted_probed;
    unsigned instance_lists, quarantine_lists;
    uint64_t revision; /* reported last */
    uint64_t era;      /* the same */
    unsigned eras;     /* changes of it */
    unsigned events[EB_EVENT_COUNT];
    const char *response; /* raw bytes; NULL: no response */
    bool close_after;
    char *request; /* the last one received */
    unsigned polls;
} Fixture;

static void
on_reply(void *context, const EbStoreReply *reply)
{
    Fixture *fixture = context;
    fixture->last = *reply;
    g_free(fixture->last_value);
    fixture->last_value =
        reply->value ? json_dumps(reply->value, JSON_COMPACT) : NULL;
    fixture->last.value = NULL;
    fixture->statuses[reply->status]++;
    fixture->mixed +=
        reply->status == EB_STORE_OK && reply->version != reply->operation_id;
    fixture->replies++;
}

static void
on_listed(void *context, const char *kind, const EbStorePosition *position,
          json_t *items)
{
    Fixture *fixture = context;
    CU_ASSERT_STRING_EQUAL(kind, "instances");
    CU_ASSERT_TRUE(json_is_array(items));
    fixture->items = json_array_size(items);
    CU_ASSERT_EQUAL(position->revision, 7);
    fixture->revision = position->revision;
    fixture->era = position->era;
    fixture->listed++;
}

static void
on_changed(void *context, const char *kind, uint64_t base_revision,
           const EbStorePosition *position, json_t *events)
{
    Fixture *fixture = context;
    CU_ASSERT_STRING_EQUAL(kind, "instances");
    CU_ASSERT_EQUAL(base_revision, fixture->revision);
    CU_ASSERT_TRUE(position->revision >= base_revision);
    fixture->revision = position->revision;
    if (json_array_size(events) == 0) {
        fixture->unchanged++;
        return;
    }
    CU_ASSERT_EQUAL(json_array_size(events), 1);
    fixture->changed++;
}

static void
on_failed(void *context, const char *kind)
{
    CU_ASSERT_TRUE(strcmp(kind, "instances") == 0 ||
                   strcmp(kind, "quarantine") == 0);
    ((Fixture *)context)->failed++;
}

static void
on_probed(void *context, int64_t latency_us)
{
    CU_ASSERT_TRUE(latency_us >= 0);
    ((Fixture *)context)->probed++;
}

static void
on_era_changed(void *context, uint64_t era)
{
    (void)era;
    ((Fixture *)context)->eras++;
}

static void
on_log_event(void *context, EbEventId event, const EbEventField *fields,
             size_t field_count)
{
    (void)fields;
    (void)field_count;
    ((Fixture *)context)->events[event]++;
}

static void
send_scripted_response(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    g_free(fixture->request);
    fixture->request = g_strdup(request);
    if (fixture->response != NULL) {
        RawPeer_Send(peer, fixture->response);
    }
    if (fixture->close_after) {
        RawPeer_Close(peer, true);
    }
}

static void
open_fixture(Fixture *fixture, RawHandler handler, uint16_t port)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->server = RawServer_New(fixture->base, handler, fixture);
    fixture->metrics = EbMetrics_New();
    fixture->sink = (EbEventSink){on_log_event, fixture};
    EbRandom_Init(&fixture->random, 1);
    fixture->client = EbPlatformClient_New(
        &(EbPlatformClientOptions){.base = fixture->base,
                                   .host = "127.0.0.1",
                                   .port = port ? port : fixture->server->port,
                                   .token = "secret",
                                   .max_calls = 2,
                                   .max_waiting = 3,
                                   .call_timeout_us = 300000,
                                   .watch_timeout_us = 200000,
                                   .watch_grace_us = 200000,
                                   .random = &fixture->random,
                                   .metrics = fixture->metrics,
                                   .events = &fixture->sink,
                                   .reply = on_reply,
                                   .listed = on_listed,
                                   .changed = on_changed,
                                   .failed = on_failed,
                                   .probed = on_probed,
                                   .era_changed = on_era_changed,
                                   .context = fixture});
}

static void
close_fixture(Fixture *fixture)
{
    EbPlatformClient_Free(fixture->client);
    EbMetrics_Free(fixture->metrics);
    RawServer_Free(fixture->server);
    g_free(fixture->last_value);
    g_free(fixture->request);
    event_base_free(fixture->base);
}

static bool
has_replies(void *context)
{
    Fixture *fixture = context;
    return fixture->replies >= fixture->wanted_replies;
}

static void
send_call(Fixture *fixture, EbStoreOperation operation)
{
    json_t *value = json_pack("{s:i}", "a", 1);
    EbStoreRequest request = {.owner = EB_STORE_OWNER_LEDGER,
                              .operation_id = 9,
                              .operation = operation,
                              .kind = "claims",
                              .name = "c-1.ab/c",
                              .version = 17,
                              .value = value};
    EbPlatformClient_StartCall(fixture->client, &request);
    json_decref(value);
}

#define HEAD(status, length)                                                  \
    "HTTP/1.1 " status " X\r\nContent-Length: " length "\r\n\r\n"

/* Guards against reporting a write that may have taken effect as one without
 * effect, and against wrong paths, methods and headers. */
static void
test_statuses(void)
{
    static const struct {
        EbStoreOperation operation;
        const char *response;
        bool close;
        EbStoreStatus status;
        uint64_t version;
        const char *request; /* start of the request line */
    } rows[] = {
        {EB_STORE_GET, HEAD("200", "29") "{\"version\": 12, \"value\": \"x\"}",
         false, EB_STORE_OK, 12, "GET /v1/objects/claims/c-1.ab%2Fc HTTP"},
        {EB_STORE_GET, HEAD("404", "0"), false, EB_STORE_NOT_FOUND, 0, "GET"},
        {EB_STORE_GET, HEAD("500", "0"), false, EB_STORE_UNAVAILABLE, 0,
         "GET"},
        {EB_STORE_GET, "", true, EB_STORE_UNAVAILABLE, 0, "GET"},
        {EB_STORE_CREATE, HEAD("200", "13") "{\"version\":3}", false,
         EB_STORE_OK, 3, "PUT /v1/objects/claims/c-1.ab%2Fc?version=0 HTTP"},
        {EB_STORE_CREATE, HEAD("200", "1") "{", false, EB_STORE_LOST, 0,
         "PUT"},
        {EB_STORE_CREATE, HEAD("409", "13") "{\"version\":4}", false,
         EB_STORE_CONFLICT, 4, "PUT"},
        {EB_STORE_CREATE, HEAD("429", "0"), false, EB_STORE_UNAVAILABLE, 0,
         "PUT"},
        {EB_STORE_CREATE, HEAD("503", "0"), false, EB_STORE_UNAVAILABLE, 0,
         "PUT"},
        {EB_STORE_CREATE, HEAD("500", "0"), false, EB_STORE_LOST, 0, "PUT"},
        {EB_STORE_UPDATE, "", true, EB_STORE_LOST, 0,
         "PUT /v1/objects/claims/c-1.ab%2Fc?version=17 HTTP"},
        {EB_STORE_UPDATE, NULL, false, EB_STORE_LOST, 0, "PUT"},
        {EB_STORE_UPDATE, "HTTP/1.1 200 OK\r\nContent-Le", true, EB_STORE_LOST,
         0, "PUT"},
        {EB_STORE_DELETE, HEAD("200", "2") "{}", false, EB_STORE_OK, 0,
         "DELETE /v1/objects/claims/c-1.ab%2Fc?version=17 HTTP"},
        {EB_STORE_DELETE, "", true, EB_STORE_LOST, 0, "DELETE"},
        {EB_STORE_LIST, HEAD("200", "28") "{\"revision\": 5, \"items\":[1]}",
         false, EB_STORE_OK, 5, "GET /v1/objects/claims HTTP"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        Fixture fixture;
        open_fixture(&fixture, send_scripted_response, 0);
        fixture.response = rows[i].response;
        fixture.close_after = rows[i].close;
        fixture.wanted_replies = 1;
        send_call(&fixture, rows[i].operation);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
        CU_ASSERT_EQUAL(fixture.last.status, rows[i].status);
        CU_ASSERT_EQUAL(fixture.last.version, rows[i].version);
        CU_ASSERT_EQUAL(fixture.last.operation_id, 9);
        CU_ASSERT_EQUAL(
            strncmp(fixture.request, rows[i].request, strlen(rows[i].request)),
            0);
        CU_ASSERT_PTR_NOT_NULL(
            strstr(fixture.request, "Authorization: Bearer secret\r\n"));
        Loop_For(fixture.base, 20000);
        CU_ASSERT_EQUAL(fixture.server->requests, 1);
        CU_ASSERT_EQUAL(
            EbMetrics_Read(fixture.metrics, EB_METRIC_PLATFORM_CALLS,
                           EbStoreOperation_names[rows[i].operation],
                           EbStoreStatus_names[rows[i].status], NULL),
            1);
        close_fixture(&fixture);
    }
}

/* Answers the first request with an interim response before the final one, as
 * any server may. The version in each answer is the number in the name. */
static void
respond_after_interim(RawPeer *peer, const char *request)
{
    static const char prefix[] = "/claims/c-";
    const char *name = strstr(request, prefix);
    CU_ASSERT_PTR_NOT_NULL_FATAL(name);
    if (name == NULL) {
        return;
    }
    if (peer->server->requests == 1) {
        RawPeer_Send(peer, "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n");
    }
    char *body = g_strdup_printf("{\"version\": %d, \"value\": 1}",
                                 atoi(name + strlen(prefix)));
    RawPeer_SendJson(peer, body);
    g_free(body);
}

/* Guards against taking the final response to one call, which evhttp reads
 * behind an interim response, for the response to the next call. */
static void
test_interim_response(void)
{
    enum { CALLS = 5 };
    Fixture fixture;
    open_fixture(&fixture, respond_after_interim, 0);
    fixture.wanted_replies = CALLS;
    for (uint64_t id = 1; id <= CALLS; id++) {
        char name[16];
        snprintf(name, sizeof(name), "c-%u", (unsigned)id);
        EbPlatformClient_StartCall(
            fixture.client, &(EbStoreRequest){.owner = EB_STORE_OWNER_LEDGER,
                                              .operation_id = id,
                                              .operation = EB_STORE_GET,
                                              .kind = "claims",
                                              .name = name});
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
    CU_ASSERT_EQUAL(fixture.mixed, 0);
    CU_ASSERT_EQUAL(fixture.statuses[EB_STORE_OK], CALLS - 1);
    CU_ASSERT_EQUAL(fixture.statuses[EB_STORE_UNAVAILABLE], 1);
    close_fixture(&fixture);
}

/* Guards against reporting a call as lost although its connection was refused,
 * and against an outage that is not logged exactly once. */
static void
test_refused(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_scripted_response, Port_FindUnused());
    for (unsigned i = 1; i <= 4; i++) {
        fixture.wanted_replies = i;
        send_call(&fixture, EB_STORE_CREATE);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
        CU_ASSERT_EQUAL(fixture.last.status, EB_STORE_UNAVAILABLE);
    }
    CU_ASSERT_FALSE(EbPlatformClient_IsUp(fixture.client));
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_PLATFORM_DOWN], 1);
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_PLATFORM_UP], 0);
    close_fixture(&fixture);
}

/* Guards against more pending calls than the limits while the platform does
 * not respond, against a call without a reply, and against a client that does
 * not recover. */
static void
test_silent(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_scripted_response, 0);
    for (unsigned i = 0; i < 20; i++) {
        send_call(&fixture, EB_STORE_CREATE);
    }
    CU_ASSERT_EQUAL(fixture.replies, 15);
    CU_ASSERT_EQUAL(fixture.statuses[EB_STORE_UNAVAILABLE], 15);
    CU_ASSERT_EQUAL(EbPlatformClient_PendingCount(fixture.client), 5);
    fixture.wanted_replies = 20;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
    CU_ASSERT_EQUAL(fixture.statuses[EB_STORE_LOST], 2);
    CU_ASSERT_EQUAL(fixture.server->requests, 2);
    CU_ASSERT_FALSE(EbPlatformClient_IsUp(fixture.client));
    fixture.response = HEAD("200", "13") "{\"version\":3}";
    fixture.wanted_replies = 21;
    send_call(&fixture, EB_STORE_CREATE);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
    CU_ASSERT_EQUAL(fixture.last.status, EB_STORE_OK);
    CU_ASSERT_TRUE(EbPlatformClient_IsUp(fixture.client));
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_PLATFORM_DOWN], 1);
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_PLATFORM_UP], 1);
    close_fixture(&fixture);
}

/* Responds to a listing. Returns false if the request is another one. */
static bool
respond_to_listing(RawPeer *peer, const char *request)
{
    if (strncmp(request, "GET /v1/objects/instances ", 26) != 0) {
        return false;
    }
    RawPeer_SendJson(peer, "{\"revision\": 7, \"items\": []}");
    return true;
}

/* Responds to listings. Responds to the polls with a change, no change, a gap,
 * an error, a reset, silence and another change. */
static void
respond_to_watch(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    if (respond_to_listing(peer, request)) {
        return;
    }
    switch (++fixture->polls) {
    case 1:
        CU_ASSERT_EQUAL(strncmp(request,
                                "GET /v1/watch/instances?since=7"
                                "&timeout_ms=200 ",
                                47),
                        0);
        RawPeer_SendJson(peer, "{\"revision\": 8, \"events\": [{}]}");
        break;
    case 2:
        CU_ASSERT_PTR_NOT_NULL(strstr(request, "since=8&"));
        RawPeer_SendJson(peer, "{\"revision\": 8, \"events\": []}");
        break;
    case 3:
        RawPeer_Send(peer, HEAD("410", "0"));
        break;
    case 4:
        RawPeer_Send(peer, HEAD("503", "0"));
        break;
    case 5:
        RawPeer_Close(peer, true);
        break;
    case 6:
        break; /* no response: the client closes the connection */
    case 7:
        RawPeer_SendJson(peer, "{\"revision\": 9, \"events\": [{}]}");
        break;
    default:
        break;
    }
}

static bool
has_watched(void *context)
{
    Fixture *fixture = context;
    return fixture->listed >= fixture->wanted_listed &&
           fixture->changed >= fixture->wanted_changed;
}

/* Guards against a watch that stops after a gap, an error or a broken or
 * silent connection, and against events that are lost with a connection. The
 * kind must be listed at the start and after the gap, the reset and the
 * silence. */
static void
test_watch(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_watch, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    EbPlatformClient_Watch(fixture.client, "instances");
    fixture.wanted_listed = 4;
    fixture.wanted_changed = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_EQUAL(fixture.listed, 4);
    CU_ASSERT_EQUAL(fixture.polls, 7);
    CU_ASSERT_EQUAL(fixture.unchanged, 1);
    CU_ASSERT_EQUAL(fixture.failed, 3);
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_WATCH_GAP], 1);
    EbPlatformClient_Unwatch(fixture.client, "instances");
    unsigned requests = fixture.server->requests;
    Loop_For(fixture.base, 100000);
    CU_ASSERT_EQUAL(fixture.server->requests, requests);
    close_fixture(&fixture);
}

/* Answers the first poll with an interim response before the final one. */
static void
respond_to_interim_watch(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    if (respond_to_listing(peer, request)) {
        return;
    }
    if (++fixture->polls == 1) {
        RawPeer_Send(peer, "HTTP/1.1 102 Processing\r\n\r\n");
        RawPeer_SendJson(peer, "{\"revision\": 8, \"events\": [{}]}");
    }
    else if (fixture->polls == 2) {
        RawPeer_SendJson(peer, "{\"revision\": 9, \"events\": [{}]}");
    }
}

/* Guards against taking the final response to one poll for that to the next
 * one: the kind must be listed again, and the next poll go on from there. */
static void
test_watch_interim_response(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_interim_watch, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    fixture.wanted_listed = 2;
    fixture.wanted_changed = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_EQUAL(fixture.listed, 2);
    CU_ASSERT_EQUAL(fixture.changed, 1);
    CU_ASSERT_EQUAL(fixture.revision, 9);
    close_fixture(&fixture);
}

/* The first poll must come at once, be short and continue from the given
 * revision, the second one must have the usual time-out. */
static void
respond_to_known_watch(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    switch (++fixture->polls) {
    case 1:
        CU_ASSERT_PTR_NOT_NULL(strstr(request, "since=7&timeout_ms=20 "));
        RawPeer_SendJson(peer, "{\"revision\": 7, \"events\": []}");
        break;
    case 2:
        CU_ASSERT_PTR_NOT_NULL(strstr(request, "since=7&timeout_ms=200 "));
        RawPeer_SendJson(peer, "{\"revision\": 8, \"events\": [{}]}");
        break;
    default:
        break;
    }
}

/* Guards against a listing where the objects are known, and against a watch
 * that does not tell soon whether they changed meanwhile. */
static void
test_watch_from(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_known_watch, 0);
    fixture.revision = 7;
    EbStorePosition position = {.revision = 7};
    EbPlatformClient_WatchFrom(fixture.client, "instances", &position);
    fixture.wanted_changed = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_EQUAL(fixture.listed, 0);
    CU_ASSERT_EQUAL(fixture.unchanged, 1);
    close_fixture(&fixture);
}

/* A list in which one entry is odd and the next one is sound. */
static void
respond_with_odd_entry(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    if (strstr(request, "since=") != NULL) {
        return;
    }
    GString *body = g_string_new("{\"revision\": 7, \"items\": [{\"name\": "
                                 "\"odd\", \"value\": ");
    g_string_append(body, fixture->response);
    g_string_append(body, "}, {\"name\": \"sound\", \"value\": 1}]}");
    RawPeer_SendJson(peer, body->str);
    g_string_free(body, TRUE);
}

/* Guards against a list that can't be read any more since another writer left
 * one entry that the JSON library refuses. */
static void
test_odd_entries(void)
{
    enum { DEPTH = 5000 };
    char *opening = g_strnfill(DEPTH, '[');
    char *closing = g_strnfill(DEPTH, ']');
    char *nested = g_strconcat(opening, closing, NULL);
    g_free(opening);
    g_free(closing);
    const char *const values[] = {
        nested,
        "{\"slots\": 123456789012345678901234567890}",
        "{\"slots\": 1e999}",
        "{\"address\": \"10.0.0.1:\xff\xfe\"}",
        "{\"address\": \"\\u0000\"}",
        "{\"\\ud800\": \"]}\\\"\"}",
        "{\"state\": \"line\nbreak\"}",
        "nonsense",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(values); i++) {
        Fixture fixture;
        open_fixture(&fixture, respond_with_odd_entry, 0);
        fixture.response = values[i];
        EbPlatformClient_Watch(fixture.client, "instances");
        fixture.wanted_listed = 1;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
        CU_ASSERT_EQUAL(fixture.items, 2);
        CU_ASSERT_EQUAL(fixture.failed, 0);
        close_fixture(&fixture);
    }
    g_free(nested);
}

static void
send_with_era(RawPeer *peer, const char *era, const char *body)
{
    char text[256];
    g_snprintf(text, sizeof(text),
               "HTTP/1.1 200 OK\r\nEb-Store-Era: %s\r\n"
               "Content-Length: %zu\r\n\r\n%s",
               era, strlen(body), body);
    RawPeer_Send(peer, text);
}

/* Answers polls of era 4 as if the store had returned from a copy whose
 * revisions have reached the watch's. */
static void
respond_as_restored(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    const char *era = fixture->polls > 0 ? "5" : "4";
    if (strstr(request, "since=") == NULL) {
        send_with_era(peer, era, "{\"revision\": 7, \"items\": []}");
        return;
    }
    if (++fixture->polls == 1) {
        send_with_era(peer, "5", "{\"revision\": 9, \"events\": [{}]}");
    }
}

/* Guards against a watch that goes on from a revision of before the store
 * returned from an older copy, although the store gives it out again. */
static void
test_restored_store(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_as_restored, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    fixture.wanted_listed = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_EQUAL(fixture.changed, 0);
    CU_ASSERT_EQUAL(fixture.era, 5);
    CU_ASSERT_EQUAL(fixture.eras, 2);
    CU_ASSERT_EQUAL(EbPlatformClient_Era(fixture.client), 5);
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_STORE_RESTORED], 1);
    close_fixture(&fixture);
}

/* Guards against an answer of before the store returned from an older copy
 * that arrives late, and against a watch from a position of then. */
static void
test_outdated_answer(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_scripted_response, 0);
    static const struct {
        const char *response;
        EbStoreStatus status;
    } rows[] = {
        {"HTTP/1.1 404 Not Found\r\nEb-Store-Era: 5\r\n"
         "Content-Length: 0\r\n\r\n",
         EB_STORE_NOT_FOUND},
        {"HTTP/1.1 404 Not Found\r\nEb-Store-Era: 4\r\n"
         "Content-Length: 0\r\n\r\n",
         EB_STORE_UNAVAILABLE},
        {"HTTP/1.1 404 Not Found\r\nEb-Store-Era: 5\r\n"
         "Content-Length: 0\r\n\r\n",
         EB_STORE_NOT_FOUND},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        fixture.response = rows[i].response;
        fixture.wanted_replies = (unsigned)i + 1;
        EbPlatformClient_StartCall(
            fixture.client, &(EbStoreRequest){.operation_id = i + 1,
                                              .operation = EB_STORE_GET,
                                              .kind = (char *)"configuration",
                                              .name = (char *)"current"});
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_replies, &fixture));
        CU_ASSERT_EQUAL(fixture.last.status, rows[i].status);
    }
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_STORE_ANSWER_OUTDATED], 1);
    EbStorePosition position = {.era = 4, .revision = 7};
    fixture.response = "HTTP/1.1 200 OK\r\nEb-Store-Era: 5\r\n"
                       "Content-Length: 28\r\n\r\n"
                       "{\"revision\": 7, \"items\": []}";
    EbPlatformClient_WatchFrom(fixture.client, "instances", &position);
    fixture.wanted_listed = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_EQUAL(fixture.era, 5);
    close_fixture(&fixture);
}

/* Lists, but leaves every poll without a response on an open connection. */
static void
respond_only_to_lists(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    if (respond_to_listing(peer, request)) {
        return;
    }
    fixture->polls++;
}

/* Guards against changes that stay unknown for seconds after a response was
 * lost on a connection that stays open: the poll takes 0.2 s, the grace time
 * 0.2 s and the pause before the listing 0.1 s. */
static void
test_lost_response(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_only_to_lists, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    fixture.wanted_listed = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    int64_t listed_us = g_get_monotonic_time();
    fixture.wanted_listed = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_watched, &fixture));
    CU_ASSERT_TRUE(g_get_monotonic_time() - listed_us < 1000000);
    CU_ASSERT_EQUAL(fixture.events[EB_EVENT_WATCH_BROKEN], 1);
    close_fixture(&fixture);
}

static void
send_empty_changes(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    RawPeer_SendJson(arg, "{\"revision\": 7, \"items\": [], \"events\": []}");
}

/* Responds 0.35 s late: longer than the grace time. */
static void
respond_slowly(RawPeer *peer, const char *request)
{
    bool poll = strstr(request, "timeout_ms=200 ") != NULL;
    struct timeval delay = {.tv_usec = poll ? 550000 : 350000};
    event_base_once(peer->server->base, -1, EV_TIMEOUT, send_empty_changes,
                    peer, &delay);
}

/* Guards against watches that are replaced again and again while the platform
 * answers slowly. */
static void
test_slow_platform(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_slowly, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    Loop_For(fixture.base, 2000000);
    CU_ASSERT_EQUAL(fixture.listed, 1);
    CU_ASSERT_TRUE(fixture.unchanged >= 2);
    CU_ASSERT_EQUAL(fixture.failed, 0);
    close_fixture(&fixture);
}

/* Answers probes with an object, "no such object", an error and a reset in
 * turn. */
static void
respond_to_probe(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    CU_ASSERT_EQUAL(strncmp(request, "GET /v1/objects/instances/i-1 ", 30), 0);
    switch (fixture->polls++ % 4) {
    case 0:
        RawPeer_SendJson(peer, "{\"version\": 1, \"value\": {}}");
        break;
    case 1:
        RawPeer_Send(peer, HEAD("404", "0"));
        break;
    case 2:
        RawPeer_Send(peer, HEAD("503", "0"));
        break;
    default:
        RawPeer_Close(peer, true);
        break;
    }
}

static bool
has_probed(void *context)
{
    Fixture *fixture = context;
    return fixture->probed >= fixture->wanted_probed;
}

/* Guards against an error or a reset that counts as an answer of the platform,
 * and against probes that end after one, or go on after they were stopped. */
static void
test_probes(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_probe, 0);
    EbPlatformClient_StartProbes(fixture.client, "instances", "i-1", 10000);
    EbPlatformClient_StartProbes(fixture.client, "instances", "i-1", 10000);
    fixture.wanted_probed = 4;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_probed, &fixture));
    CU_ASSERT_EQUAL(fixture.probed, 4);
    CU_ASSERT_EQUAL(fixture.polls, 6);
    EbPlatformClient_StopProbes(fixture.client);
    Loop_For(fixture.base, 50000);
    CU_ASSERT_EQUAL(fixture.polls, 6);
    close_fixture(&fixture);
}

/* Answers the first probe with an interim response before the final one. */
static void
respond_to_interim_probe(RawPeer *peer, const char *request)
{
    (void)request;
    if (peer->server->requests == 1) {
        RawPeer_Send(peer, "HTTP/1.1 102 Processing\r\n\r\n");
    }
    RawPeer_Send(peer, HEAD("404", "0"));
}

/* Guards against probes that end after an interim response. */
static void
test_probe_interim_response(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_interim_probe, 0);
    EbPlatformClient_StartProbes(fixture.client, "instances", "i-1", 20000);
    fixture.wanted_probed = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_probed, &fixture));
    CU_ASSERT_EQUAL(fixture.server->requests, 3);
    CU_ASSERT_EQUAL(fixture.server->accepted, 2);
    close_fixture(&fixture);
}

/* Leaves the first probe without a response on an open connection. */
static void
respond_to_second_probe(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    (void)request;
    if (fixture->polls++ > 0) {
        RawPeer_Send(peer, HEAD("404", "0"));
    }
}

/* Guards against a source that refuses requests for seconds, because it waits
 * for the response to a probe that was lost. */
static void
test_lost_probe(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_to_second_probe, 0);
    int64_t started_us = g_get_monotonic_time();
    EbPlatformClient_StartProbes(fixture.client, "instances", "i-1", 10000);
    fixture.wanted_probed = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_probed, &fixture));
    CU_ASSERT_TRUE(g_get_monotonic_time() - started_us < 1500000);
    CU_ASSERT_EQUAL(fixture.polls, 2);
    close_fixture(&fixture);
}

/* Refuses every list. */
static void
respond_unavailable(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    unsigned *count = strstr(request, "instances") != NULL
                          ? &fixture->instance_lists
                          : &fixture->quarantine_lists;
    (*count)++;
    RawPeer_Send(peer, HEAD("503", "0"));
}

/* Guards against a watch of each kind that tries again and again while the
 * platform is down: one does, the others wait for it. */
static void
test_one_watch_retries(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_unavailable, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    EbPlatformClient_Watch(fixture.client, "quarantine");
    Loop_For(fixture.base, 3000000);
    unsigned fewer = MIN(fixture.instance_lists, fixture.quarantine_lists);
    unsigned more = MAX(fixture.instance_lists, fixture.quarantine_lists);
    CU_ASSERT_EQUAL(fewer, 1);
    CU_ASSERT_TRUE(more >= 3);
    close_fixture(&fixture);
}

/* Guards against a watch that waits for the retry of another one after that
 * one was stopped, seconds longer than the platform is away. */
static void
test_stopped_retry(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_unavailable, 0);
    EbPlatformClient_Watch(fixture.client, "instances");
    EbPlatformClient_Watch(fixture.client, "quarantine");
    Loop_For(fixture.base, 1000000);
    bool instances_retry = fixture.instance_lists > fixture.quarantine_lists;
    unsigned *waiting =
        instances_retry ? &fixture.quarantine_lists : &fixture.instance_lists;
    CU_ASSERT_EQUAL(*waiting, 1);
    EbPlatformClient_Unwatch(fixture.client,
                             instances_retry ? "instances" : "quarantine");
    Loop_For(fixture.base, 2000000);
    CU_ASSERT_TRUE(*waiting >= 3);
    close_fixture(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"statuses", test_statuses},
        {"interim response", test_interim_response},
        {"refused", test_refused},
        {"silent", test_silent},
        {"watch", test_watch},
        {"interim response to a watch", test_watch_interim_response},
        {"watch from a known revision", test_watch_from},
        {"odd entries", test_odd_entries},
        {"restored store", test_restored_store},
        {"outdated answer", test_outdated_answer},
        {"a poll's response is lost", test_lost_response},
        {"the platform is slow", test_slow_platform},
        {"probes", test_probes},
        {"interim response to a probe", test_probe_interim_response},
        {"a probe's response is lost", test_lost_probe},
        {"one watch retries", test_one_watch_retries},
        {"the watch that retries is stopped", test_stopped_retry},
    };
    return EbTest_Run("test_platform_client", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
