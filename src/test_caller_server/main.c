/* Tests of EbCallerServer with raw sockets. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "client_guard.h"
#include "ebonyhollow/caller_server.h"
#include "net_fixture.h"
#include "test_runner.h"

#define IDLE_CONNECTIONS 1000
#define MAX_CONNECTIONS 1200
#define GUARD_BYTES 100000

typedef struct {
    struct event_base *base;
    EbSettings settings;
    EbClientGuard *guard;
    EbCallerServer *server;
    uint64_t last_handle;
    unsigned submitted, gone, pauses, resumes;
    uint64_t gone_handle;
    char id[80], key[300], token[80], pipeline[80], body[200];
    int64_t timeout_us;
    bool stream;
    const RawClient *client; /* used by the conditions below */
    const char *wanted;
    unsigned wanted_submitted, wanted_gone;
} Fixture;

static uint64_t
on_submit(void *context, const EbSubmission *submission)
{
    Fixture *fixture = context;
    g_strlcpy(fixture->id, submission->request_id, sizeof(fixture->id));
    g_strlcpy(fixture->key,
              submission->idempotency_key ? submission->idempotency_key : "",
              sizeof(fixture->key));
    g_strlcpy(fixture->token, submission->token ? submission->token : "",
              sizeof(fixture->token));
    g_strlcpy(fixture->pipeline, submission->pipeline,
              sizeof(fixture->pipeline));
    snprintf(fixture->body, sizeof(fixture->body), "%.*s",
             (int)submission->body_bytes, submission->body);
    fixture->timeout_us = submission->timeout_us;
    fixture->stream = submission->stream;
    fixture->submitted++;
    return ++fixture->last_handle;
}

static void
on_caller_gone(void *context, uint64_t request)
{
    Fixture *fixture = context;
    fixture->gone++;
    fixture->gone_handle = request;
}

static void
on_flow_control(void *context, uint64_t request, bool paused)
{
    Fixture *fixture = context;
    CU_ASSERT_EQUAL(request, fixture->last_handle);
    if (paused) {
        fixture->pauses++;
    }
    else {
        fixture->resumes++;
    }
}

static void
open_limited_fixture(Fixture *fixture, uint64_t max_bytes)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->settings = (EbSettings){.caller = {"127.0.0.1", 0},
                                     .max_body_bytes = 1000,
                                     .max_header_bytes = 4096,
                                     .max_connections = MAX_CONNECTIONS,
                                     .max_buffer_bytes = 65536,
                                     .header_timeout_us = 500000};
    fixture->guard = EbClientGuard_New(&(EbClientGuardOptions){
        .base = fixture->base, .max_bytes = max_bytes});
    EbError error = {0};
    fixture->server = EbCallerServer_New(
        &(EbCallerServerOptions){.base = fixture->base,
                                 .settings = &fixture->settings,
                                 .guard = fixture->guard,
                                 .submit = on_submit,
                                 .caller_gone = on_caller_gone,
                                 .flow_control = on_flow_control,
                                 .context = fixture},
        &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
}

static void
open_fixture(Fixture *fixture)
{
    open_limited_fixture(fixture, GUARD_BYTES);
}

static void
close_fixture(Fixture *fixture)
{
    EbCallerServer_Free(fixture->server);
    EbClientGuard_Free(fixture->guard);
    event_base_free(fixture->base);
}

static bool
has_text(void *context)
{
    Fixture *fixture = context;
    return strstr(fixture->client->text, fixture->wanted) != NULL;
}

static bool
is_closed(void *context)
{
    return ((Fixture *)context)->client->closed;
}

static bool
has_submitted(void *context)
{
    Fixture *fixture = context;
    return fixture->submitted >= fixture->wanted_submitted;
}

static bool
is_caller_gone(void *context)
{
    Fixture *fixture = context;
    return fixture->gone >= fixture->wanted_gone;
}

static bool
wait_for_text(Fixture *fixture, const RawClient *client, const char *text)
{
    fixture->client = client;
    fixture->wanted = text;
    return Loop_Until(fixture->base, has_text, fixture);
}

static bool
wait_for_close(Fixture *fixture, const RawClient *client)
{
    fixture->client = client;
    return Loop_Until(fixture->base, is_closed, fixture);
}

static RawClient *
connect_client(Fixture *fixture)
{
    return RawClient_New(fixture->base, EbCallerServer_Port(fixture->server));
}

/* Sends a request and waits until it is submitted. */
static void
post(Fixture *fixture, RawClient *client, const char *headers)
{
    char text[1024];
    snprintf(text, sizeof(text),
             "POST /v1/pipelines/catalogue HTTP/1.1\r\nHost: x\r\n"
             "Authorization: Bearer t-1\r\nContent-Type: application/json\r\n"
             "%sContent-Length: 13\r\n\r\n{\"input\":\"a\"}",
             headers);
    fixture->wanted_submitted = fixture->submitted + 1;
    RawClient_Send(client, text);
    CU_ASSERT_TRUE(Loop_Until(fixture->base, has_submitted, fixture));
}

static void
answer_done(Fixture *fixture)
{
    json_t *body =
        json_pack("{s:{s:s}, s:{}}", "answer", "text", "Gatefold", "usage");
    EbAnswer answer = {.request = fixture->last_handle,
                       .outcome = EB_OUTCOME_DONE,
                       .body = body,
                       .replayed = true};
    EbCallerServer_Answer(fixture->server, &answer);
    json_decref(body);
}

/* Guards against lost request headers or bodies, and wrong responses. */
static void
test_json_answer(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    post(&fixture, client,
         "Idempotency-Key: \"k 1\"\r\nEb-Timeout-Ms: 250\r\n"
         "Eb-Request-Id: shop-7.a\r\n");
    CU_ASSERT_STRING_EQUAL(fixture.id, "shop-7.a");
    CU_ASSERT_STRING_EQUAL(fixture.key, "k 1");
    CU_ASSERT_STRING_EQUAL(fixture.token, "t-1");
    CU_ASSERT_STRING_EQUAL(fixture.pipeline, "catalogue");
    CU_ASSERT_STRING_EQUAL(fixture.body, "{\"input\":\"a\"}");
    CU_ASSERT_EQUAL(fixture.timeout_us, 250000);
    CU_ASSERT_FALSE(fixture.stream);
    answer_done(&fixture);
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "}}"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "HTTP/1.1 200 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Eb-Request-Id: shop-7.a\r"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Eb-Outcome: done\r"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Eb-Replayed: true\r"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "\"text\":\"Gatefold\""));
    post(&fixture, client, "Eb-Request-Id: a b\r\n");
    CU_ASSERT_EQUAL(strlen(fixture.id), 32);
    EbAnswer rejection = {.request = fixture.last_handle,
                          .outcome = EB_OUTCOME_NOT_RUN,
                          .reason = EB_REASON_RATE_LIMITED,
                          .retry_after_us = 1500000};
    EbCallerServer_Answer(fixture.server, &rejection);
    CU_ASSERT_TRUE(
        wait_for_text(&fixture, client, "\"reason\":\"rate-limited\""));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "HTTP/1.1 429 "));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Retry-After: 2\r"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Eb-Outcome: not-run\r"));
    CU_ASSERT_EQUAL(EbCallerServer_PendingCount(fixture.server), 0);
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against a trailer field (RFC 9112, section 7.1.2) that ends the
 * process or is lost with the next request on its connection. */
static void
test_trailers(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    for (unsigned i = 1; i <= 3; i++) {
        fixture.wanted_submitted = i;
        RawClient_Send(client,
                       "POST /v1/pipelines/catalogue HTTP/1.1\r\nHost: x\r\n"
                       "Authorization: Bearer t-1\r\n"
                       "Content-Type: application/json\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n"
                       "d\r\n{\"input\":\"a\"}\r\n0\r\nSum: 1\r\n\r\n");
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_submitted, &fixture));
        CU_ASSERT_STRING_EQUAL(fixture.body, "{\"input\":\"a\"}");
        answer_done(&fixture);
    }
    CU_ASSERT_FALSE(client->closed);
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against a body behind an answer to HEAD, which the client would read
 * as the beginning of the next answer. */
static void
test_head(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    RawClient_Send(client, "HEAD /v1/other HTTP/1.1\r\nHost: x\r\n\r\n");
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "\r\n\r\n"));
    Loop_For(fixture.base, 20000);
    CU_ASSERT_EQUAL(strncmp(client->text, "HTTP/1.1 404 ", 13), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Content-Length: "));
    CU_ASSERT_EQUAL(strlen(strstr(client->text, "\r\n\r\n")), 4);
    RawClient_Send(client, "GET /v1/other HTTP/1.1\r\nHost: x\r\n\r\n");
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "\r\n\r\nHTTP/1.1 404 "));
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against submitting invalid requests, and against answering not-run to
 * an invalid request with an idempotency key, since an earlier request with
 * that key may have run. */
static void
test_refused(void)
{
    static const struct {
        const char *request;
        const char *expected;
        const char *outcome;
    } rows[] = {
        {"GET /v1/pipelines/a HTTP/1.1\r\n", "HTTP/1.1 400 ", "not-run"},
        {"POST /v1/other HTTP/1.1\r\n", "HTTP/1.1 404 ", "not-run"},
        {"POST /v1/pipelines/ HTTP/1.1\r\n", "HTTP/1.1 404 ", "not-run"},
        {"POST /v1/pipelines/a HTTP/1.1\r\n", "HTTP/1.1 400 ", "not-run"},
        {"POST /v1/pipelines/a HTTP/1.1\r\nIdempotency-Key: k\r\n",
         "HTTP/1.1 400 ", "unknown"},
        {"POST /v1/pipelines/a HTTP/1.1\r\nContent-Type: application/json\r\n"
         "Idempotency-Key: \"\"\r\n",
         "HTTP/1.1 400 ", "unknown"},
        {"POST /v1/pipelines/a HTTP/1.1\r\nContent-Type: application/json\r\n"
         "Eb-Timeout-Ms: -4\r\n",
         "HTTP/1.1 400 ", "not-run"},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        Fixture fixture;
        open_fixture(&fixture);
        RawClient *client = connect_client(&fixture);
        RawClient_Send(client, rows[i].request);
        RawClient_Send(client, "Host: x\r\nContent-Length: 2\r\n\r\n{}");
        char outcome[64];
        snprintf(outcome, sizeof(outcome), "\"outcome\":\"%s\"",
                 rows[i].outcome);
        CU_ASSERT_TRUE(wait_for_text(&fixture, client, outcome));
        CU_ASSERT_PTR_NOT_NULL(strstr(client->text, rows[i].expected));
        CU_ASSERT_EQUAL(fixture.submitted, 0);
        RawClient_Free(client);
        close_fixture(&fixture);
    }
}

static void
relay(Fixture *fixture, uint64_t index, const char *text)
{
    EbRelay tokens = {.request = fixture->last_handle,
                      .token_index = index,
                      .token_count = 1,
                      .text = (char *)text};
    EbCallerServer_Relay(fixture->server, &tokens);
}

/* Guards against tokens that are lost or reordered, tokens that are not
 * combined into one event although they arrive together, and a stream without
 * an outcome event. */
static void
test_stream(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    post(&fixture, client, "Accept: text/event-stream\r\n");
    CU_ASSERT_TRUE(fixture.stream);
    relay(&fixture, 0, "Gate");
    relay(&fixture, 1, "fold");
    CU_ASSERT_TRUE(wait_for_text(&fixture, client,
                                 "event: token\ndata: {\"index\":0,\"text\":"
                                 "\"Gatefold\"}\n\n"));
    CU_ASSERT_PTR_NULL(strstr(client->text, "Eb-Outcome"));
    relay(&fixture, 2, " \xc3\xa9");
    answer_done(&fixture);
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "0\r\n\r\n"));
    const char *token = strstr(client->text, "{\"index\":2");
    const char *outcome = strstr(client->text, "event: outcome\ndata: ");
    CU_ASSERT_PTR_NOT_NULL_FATAL(token);
    CU_ASSERT_PTR_NOT_NULL_FATAL(outcome);
    CU_ASSERT_TRUE(token < outcome);
    CU_ASSERT_PTR_NOT_NULL(strstr(outcome, "\"reason\":\"none\""));
    /* The connection can be reused for another request. */
    post(&fixture, client, "Accept: text/event-stream\r\n");
    EbAnswer rejection = {.request = fixture.last_handle,
                          .outcome = EB_OUTCOME_NOT_RUN,
                          .reason = EB_REASON_OVERLOADED};
    EbCallerServer_Answer(fixture.server, &rejection);
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "problem+json"));
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against an undetected disconnect of a caller whose request is
 * running, before and after its stream started, and against a crash of evhttp
 * when more input arrives before the answer. */
static void
test_gone(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    for (unsigned i = 0; i < 2; i++) {
        RawClient *client = connect_client(&fixture);
        post(&fixture, client, "Accept: text/event-stream\r\n");
        if (i == 1) {
            relay(&fixture, 0, "Gate");
            CU_ASSERT_TRUE(wait_for_text(&fixture, client, "Gate"));
        }
        RawClient_Free(client);
        fixture.wanted_gone = i + 1;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_caller_gone, &fixture));
        CU_ASSERT_EQUAL(fixture.gone_handle, fixture.last_handle);
        answer_done(&fixture);
    }
    RawClient *client = connect_client(&fixture);
    post(&fixture, client, "");
    RawClient_Send(client, "POST / HTTP/1.1\r\n\r\nxx");
    Loop_For(fixture.base, 50000);
    answer_done(&fixture);
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "Gatefold"));
    CU_ASSERT_EQUAL(fixture.gone, 2);
    RawClient_Free(client);
    close_fixture(&fixture);
}

static bool
has_paused(void *context)
{
    return ((Fixture *)context)->pauses > 0;
}

static bool
has_resumed(void *context)
{
    return ((Fixture *)context)->resumes > 0;
}

/* Guards against missing backpressure for a slow reader, and against tokens
 * lost by backpressure. */
static void
test_backpressure(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    fixture.settings.header_timeout_us = 5000000;
    RawClient *client = connect_client(&fixture);
    post(&fixture, client, "Accept: text/event-stream\r\n");
    RawClient_Pause(client, true);
    char text[4001];
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    uint64_t index = 0;
    while (fixture.pauses == 0 && index < 20000) {
        relay(&fixture, index++, text);
        event_base_loop(fixture.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    CU_ASSERT_TRUE(has_paused(&fixture));
    CU_ASSERT_EQUAL(fixture.gone, 0);
    RawClient_Pause(client, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_resumed, &fixture));
    answer_done(&fixture);
    CU_ASSERT_TRUE(wait_for_text(&fixture, client, "event: outcome"));
    size_t count = 0;
    for (const char *at = client->text; (at = strstr(at, "event: token"));
         at++) {
        count++;
    }
    CU_ASSERT_EQUAL(count, index);
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against unbounded output for a caller that does not read: its
 * connection must be closed when the unsent output exceeds the limit, and also
 * on a time-out if no more tokens are relayed after the pause. */
static void
test_blocked_reader(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    post(&fixture, client, "Accept: text/event-stream\r\n");
    RawClient_Pause(client, true);
    char text[4001];
    memset(text, 'x', sizeof(text) - 1);
    text[sizeof(text) - 1] = '\0';
    for (uint64_t index = 0; fixture.gone == 0 && index < 20000; index++) {
        relay(&fixture, index, text);
        event_base_loop(fixture.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    CU_ASSERT_EQUAL(fixture.gone, 1);
    RawClient_Free(client);
    client = connect_client(&fixture);
    post(&fixture, client, "Accept: text/event-stream\r\n");
    RawClient_Pause(client, true);
    for (uint64_t index = 0; fixture.pauses < 2 && index < 20000; index++) {
        relay(&fixture, index, text);
        event_base_loop(fixture.base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    fixture.wanted_gone = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_caller_gone, &fixture));
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Checks that a request on a new connection is submitted and answered. */
static void
serve_one(Fixture *fixture)
{
    RawClient *client = connect_client(fixture);
    post(fixture, client, "");
    answer_done(fixture);
    CU_ASSERT_TRUE(wait_for_text(fixture, client, "Gatefold"));
    RawClient_Free(client);
}

/* Guards against malformed, oversized and slow requests that block other
 * callers or keep their connections open. */
static void
test_bad_requests(void)
{
    static const char slow_body[] =
        "POST /v1/pipelines/a HTTP/1.1\r\nContent-Type: application/json\r\n"
        "Content-Length: 500\r\n\r\n{";
    static const char bad_chunk[] =
        "POST /v1/pipelines/a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "zz\r\n";
    GString *long_header = g_string_new("POST / HTTP/1.1\r\nX: ");
    for (int i = 0; i < 9000; i++) {
        g_string_append_c(long_header, 'x');
    }
    GString *big = g_string_new("POST /v1/pipelines/a HTTP/1.1\r\n"
                                "Content-Type: application/json\r\n"
                                "Content-Length: 1500\r\n\r\n");
    for (int i = 0; i < 1500; i++) {
        g_string_append_c(big, 'x');
    }
    const char *const requests[] = {
        "",
        "POST /v1/pipe",
        "POST /v1/pipelines/a HTTP/1.1\r\nHost: x\r\n",
        slow_body,
        "\r\n\r\n\r\n",
        "\x16\x03\x01\x02",
        "BREW / HTTP/1.1\r\n\r\n",
        "POST / HTTP/9.9\r\nA\r\n\r\n",
        "POST /v1/pipelines/a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST /v1/pipelines/a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
        bad_chunk,
        long_header->str};
    enum { COUNT = sizeof(requests) / sizeof(requests[0]) };
    RawClient *clients[COUNT];
    Fixture fixture;
    open_fixture(&fixture);
    for (int i = 0; i < COUNT; i++) {
        clients[i] = connect_client(&fixture);
        RawClient_Send(clients[i], requests[i]);
    }
    serve_one(&fixture);
    RawClient *too_large = connect_client(&fixture);
    RawClient_Send(too_large, big->str);
    CU_ASSERT_TRUE(wait_for_text(&fixture, too_large, "body-too-large"));
    CU_ASSERT_PTR_NOT_NULL(strstr(too_large->text, "HTTP/1.1 413 "));
    RawClient_Free(too_large);
    for (int i = 0; i < COUNT; i++) {
        CU_ASSERT_TRUE(wait_for_close(&fixture, clients[i]));
        RawClient_Free(clients[i]);
    }
    serve_one(&fixture);
    CU_ASSERT_EQUAL(fixture.submitted, 2);
    g_string_free(long_header, TRUE);
    g_string_free(big, TRUE);
    close_fixture(&fixture);
}

/* Guards against never closing the connection of a caller that sends one byte
 * at a time, which restarts evhttp's own time-out. */
static void
test_slow_headers(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    for (int i = 0; i < 40 && !client->closed; i++) {
        RawClient_Send(client, "P");
        Loop_For(fixture.base, 50000);
    }
    CU_ASSERT_TRUE(client->closed);
    RawClient_Free(client);
    close_fixture(&fixture);
}

static bool
has_no_connections(void *context)
{
    Fixture *fixture = context;
    return EbCallerServer_ConnectionCount(fixture->server) == 0;
}

/* Guards against closing the connection of a slow but sound client before its
 * request has arrived or its answer is taken, and against waiting for one that
 * takes a byte now and then. */
static void
test_slow_clients(void)
{
    enum { BODY_BYTES = 900, PARTS = 9, STEP_US = 100000, STEPS = 15 };
    enum { MIB = 1024 * 1024 };
    static char part[MIB];
    Fixture fixture;
    open_limited_fixture(&fixture, (uint64_t)64 * MIB);
    RawClient *client = connect_client(&fixture);
    RawClient_Send(client, "POST /v1/pipelines/p HTTP/1.1\r\nHost: x\r\n"
                           "Content-Type: application/json\r\n"
                           "Content-Length: 900\r\n\r\n");
    char *piece = g_strnfill(BODY_BYTES / PARTS, ' ');
    for (int i = 0; i < PARTS; i++) {
        Loop_For(fixture.base, STEP_US);
        RawClient_Send(client, piece);
    }
    g_free(piece);
    fixture.wanted_submitted = 1;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_submitted, &fixture));
    bufferevent_disable(client->bufev, EV_READ | EV_WRITE);
    char *text = g_strnfill((gsize)24 * MIB, 'a');
    json_t *body = json_pack("{s:{s:s}}", "answer", "text", text);
    EbCallerServer_Answer(fixture.server,
                          &(EbAnswer){.request = fixture.last_handle,
                                      .outcome = EB_OUTCOME_DONE,
                                      .body = body});
    json_decref(body);
    g_free(text);
    evutil_socket_t fd = bufferevent_getfd(client->bufev);
    for (int i = 0; i < STEPS; i++) {
        Loop_For(fixture.base, STEP_US);
        CU_ASSERT_TRUE(recv(fd, part, sizeof(part), MSG_DONTWAIT) > 0);
    }
    CU_ASSERT_EQUAL(EbCallerServer_ConnectionCount(fixture.server), 1);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_no_connections, &fixture));
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against idle connections that block other callers or are never
 * closed. */
static void
test_idle_connections(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient **clients = g_new0(RawClient *, IDLE_CONNECTIONS);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        clients[i] = connect_client(&fixture);
    }
    serve_one(&fixture);
    for (int i = 0; i < IDLE_CONNECTIONS; i++) {
        CU_ASSERT_TRUE(wait_for_close(&fixture, clients[i]));
        RawClient_Free(clients[i]);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_no_connections, &fixture));
    g_free(clients);
    close_fixture(&fixture);
}

/* Guards against exceeding the connection limit, and against connections that
 * still count after they were closed. */
static void
test_connection_limit(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *clients[MAX_CONNECTIONS];
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        clients[i] = connect_client(&fixture);
    }
    RawClient *extra = connect_client(&fixture);
    CU_ASSERT_TRUE(wait_for_close(&fixture, extra));
    CU_ASSERT_TRUE(EbCallerServer_ConnectionCount(fixture.server) <=
                   MAX_CONNECTIONS);
    RawClient_Free(extra);
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
        RawClient_Free(clients[i]);
    }
    Loop_For(fixture.base, 150000);
    serve_one(&fixture);
    close_fixture(&fixture);
}

/* Guards against a listener that uses a processor while no descriptor is left,
 * and against a caller, or a probe, that isn't served although another
 * connection is silent. */
static void
test_descriptors(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    fixture.wanted_submitted = 1;
    RawClient *silent = connect_client(&fixture);
    Loop_For(fixture.base, 20000);
    RawClient *late = connect_client(&fixture);
    RawClient_Send(late, "POST /v1/pipelines/p HTTP/1.1\r\nHost: x\r\n"
                         "Content-Type: application/json\r\n"
                         "Content-Length: 2\r\n\r\n{}");
    uint64_t limit = Descriptors_Exhaust();
    clock_t begin = clock();
    Loop_For(fixture.base, 400000);
    CU_ASSERT_TRUE(clock() - begin < CLOCKS_PER_SEC / 5);
    CU_ASSERT_EQUAL(fixture.submitted, 1);
    Descriptors_Restore(limit);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_submitted, &fixture));
    RawClient_Free(silent);
    RawClient_Free(late);
    close_fixture(&fixture);
}

/* Guards against a drain that interrupts a request or accepts connections. */
static void
test_stop_accepting(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client = connect_client(&fixture);
    post(&fixture, client, "");
    uint16_t port = EbCallerServer_Port(fixture.server);
    EbCallerServer_StopAccepting(fixture.server);
    RawClient *late = RawClient_New(fixture.base, port);
    CU_ASSERT_TRUE(wait_for_close(&fixture, late));
    answer_done(&fixture);
    CU_ASSERT_TRUE(wait_for_close(&fixture, client));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Gatefold"));
    CU_ASSERT_PTR_NOT_NULL(strstr(client->text, "Connection: close"));
    CU_ASSERT_FALSE(EbCallerServer_HasUnsent(fixture.server));
    RawClient_Free(late);
    RawClient_Free(client);
    close_fixture(&fixture);
}

/* Guards against a connection that evhttp goes on reading, and keeps, after it
 * was ended for want of memory. */
static void
test_ended_at_once(void)
{
    Fixture fixture;
    open_fixture(&fixture);
    RawClient *client =
        RawClient_New(fixture.base, EbCallerServer_Port(fixture.server));
    char *value = g_strnfill(4000, 'a'); /* counts 28 times */
    RawClient_Send(client, "POST /v1/pipelines/p HTTP/1.1\r\nCookie: ");
    RawClient_Send(client, value);
    g_free(value);
    fixture.client = client;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_closed, &fixture));
    CU_ASSERT_EQUAL(EbIntake_Bytes(EbClientGuard_Intake(fixture.guard)), 0);
    CU_ASSERT_EQUAL(EbCallerServer_ConnectionCount(fixture.server), 0);
    RawClient_Free(client);
    close_fixture(&fixture);
}

int
main(void)
{
    signal(SIGPIPE, SIG_IGN); /* as in the daemon */
    static const EbTestCase cases[] = {
        {"json answer", test_json_answer},
        {"trailers", test_trailers},
        {"head", test_head},
        {"refused", test_refused},
        {"stream", test_stream},
        {"gone", test_gone},
        {"backpressure", test_backpressure},
        {"blocked reader", test_blocked_reader},
        {"bad requests", test_bad_requests},
        {"slow headers", test_slow_headers},
        {"slow clients", test_slow_clients},
        {"idle connections", test_idle_connections},
        {"connection limit", test_connection_limit},
        {"descriptors", test_descriptors},
        {"stop accepting", test_stop_accepting},
        {"ended at once", test_ended_at_once},
    };
    return EbTest_Run("test_caller_server", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
