/* Tests of EbBackendClient, and of the behaviour of evhttp it depends on. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/backend_client.h"
#include "net_fixture.h"
#include "resetting_server.h"
#include "test_runner.h"

#define MAX_EVENTS 256
#define MAX_BUFFERED_BYTES ((size_t)400000)
#define ENDLESS_CALLS 12
#define ENDLESS_PART_BYTES ((size_t)90000)
#define STREAM_HEAD                                                           \
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"                  \
    "Transfer-Encoding: chunked\r\nEb-Request-Id: r-1\r\nEb-Stage: 2\r\n"     \
    "Eb-Attempt: 7\r\nEb-Load: 3/4\r\nEb-Leaving: 1\r\n"                      \
    "Eb-Limit: 2.5\r\n\r\n"

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

typedef struct {
    uint64_t id;
    EbAttemptEventKind kind;
    uint16_t status;
    uint64_t token_index;
    uint32_t token_count;
    EbServerDirective directive;
    bool has_body;
} SeenEvent;

typedef struct {
    struct event_base *base;
    EbBackendClient *client;
    RawServer *server;
    SeenEvent seen[MAX_EVENTS];
    unsigned seen_count;
    unsigned ends; /* events other than tokens */
    GString *text;
    char echo_request[32];
    int64_t echo_stage, echo_attempt;
    uint32_t load_running, load_waiting;
    unsigned wanted_ends;
    unsigned wanted_closed;
    unsigned chunk_bytes; /* of the stream test's response */
    const struct EndlessResponse *endless;
    RawPeer *endless_peer; /* once the response was sent to it */
} Fixture;

static void
on_event(void *context, const EbAttemptEvent *event)
{
    Fixture *fixture = context;
    if (fixture->seen_count < MAX_EVENTS) {
        fixture->seen[fixture->seen_count++] = (SeenEvent){
            event->attempt_id,  event->kind,        event->http_status,
            event->token_index, event->token_count, event->directive,
            event->body != NULL};
    }
    fixture->ends += event->kind != EB_ATTEMPT_TOKENS;
    if (event->kind == EB_ATTEMPT_TOKENS) {
        g_string_append(fixture->text, event->text);
    }
    g_strlcpy(fixture->echo_request,
              event->echo_request_id ? event->echo_request_id : "",
              sizeof(fixture->echo_request));
    fixture->echo_stage = event->echo_stage;
    fixture->echo_attempt = event->echo_attempt;
    fixture->load_running = event->load_running;
    fixture->load_waiting = event->load_waiting;
}

static void
open_fixture(Fixture *fixture, RawHandler handler)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->base = event_base_new();
    fixture->text = g_string_new(NULL);
    fixture->server = RawServer_New(fixture->base, handler, fixture);
    fixture->client = EbBackendClient_New(
        &(EbBackendClientOptions){.base = fixture->base,
                                  .max_body_bytes = 100000,
                                  .max_buffered_bytes = MAX_BUFFERED_BYTES,
                                  .idle_timeout_us = 200000,
                                  .event = on_event,
                                  .context = fixture});
}

static void
close_fixture(Fixture *fixture)
{
    EbBackendClient_Free(fixture->client);
    RawServer_Free(fixture->server);
    g_string_free(fixture->text, TRUE);
    event_base_free(fixture->base);
}

static bool
has_ends(void *context)
{
    Fixture *fixture = context;
    return fixture->ends >= fixture->wanted_ends;
}

static bool
has_closed(void *context)
{
    Fixture *fixture = context;
    return fixture->server->closed >= fixture->wanted_closed;
}

static void
send_call(Fixture *fixture, uint64_t id, uint16_t port, bool stream,
          bool fresh_connection)
{
    json_t *body = json_pack("{s:s}", "input", "sleeve");
    EbSendAttempt send = {.attempt_id = id,
                          .request_id = "r-1",
                          .stage = 2,
                          .attempt = 7,
                          .server_id = "s-1",
                          .host = "127.0.0.1",
                          .port = port,
                          .path = "/v1/x",
                          .body = body,
                          .stream = stream,
                          .fresh_connection = fresh_connection};
    EbBackendClient_Send(fixture->client, &send);
    json_decref(body);
}

/* Sends one call, waits for its last event and returns its kind. */
static EbAttemptEventKind
run_call(Fixture *fixture, uint64_t id, bool stream)
{
    fixture->wanted_ends = fixture->ends + 1;
    send_call(fixture, id, fixture->server->port, stream, false);
    CU_ASSERT_TRUE(Loop_Until(fixture->base, has_ends, fixture));
    return fixture->seen[fixture->seen_count - 1].kind;
}

static void
send_json_response(RawPeer *peer, const char *request)
{
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "Eb-Request-Id: r-1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "Eb-Stage: 2\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "Eb-Attempt: 7\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "{\"input\":\"sleeve\"}"));
    RawPeer_SendJson(peer, "{\"vectors\": []}");
}

/* Guards against wrong request headers, connections that are not reused, and
 * idle connections that are not closed, either by EbBackendClient_CloseIdle or
 * after the idle time-out. */
static void
test_reuse(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_json_response);
    CU_ASSERT_EQUAL(run_call(&fixture, 1, false), EB_ATTEMPT_ANSWERED);
    CU_ASSERT_TRUE(fixture.seen[0].has_body);
    CU_ASSERT_EQUAL(fixture.seen[0].status, 200);
    CU_ASSERT_EQUAL(fixture.echo_stage, -1);
    CU_ASSERT_EQUAL(run_call(&fixture, 2, false), EB_ATTEMPT_ANSWERED);
    CU_ASSERT_EQUAL(fixture.server->accepted, 1);
    fixture.wanted_ends = 3;
    send_call(&fixture, 3, fixture.server->port, false, true);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
    CU_ASSERT_EQUAL(fixture.server->accepted, 2);
    CU_ASSERT_EQUAL(EbBackendClient_IdleCount(fixture.client, "s-1"), 2);
    EbBackendClient_CloseIdle(fixture.client, "s-1");
    CU_ASSERT_EQUAL(EbBackendClient_IdleCount(fixture.client, "s-1"), 0);
    fixture.wanted_closed = 2;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_closed, &fixture));
    run_call(&fixture, 4, false);
    fixture.wanted_closed = 3;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_closed, &fixture));
    CU_ASSERT_EQUAL(EbBackendClient_IdleCount(fixture.client, "s-1"), 0);
    close_fixture(&fixture);
}

/* Guards against reporting a call as sent although its connection was refused.
 */
static void
test_refused(void)
{
    Fixture fixture;
    open_fixture(&fixture, NULL);
    fixture.wanted_ends = 1;
    send_call(&fixture, 1, Port_FindUnused(), false, true);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
    CU_ASSERT_EQUAL(fixture.seen[0].kind, EB_ATTEMPT_REFUSED);
    CU_ASSERT_EQUAL(fixture.seen_count, 1);
    close_fixture(&fixture);
}

static void
reset_connection(RawPeer *peer, const char *request)
{
    (void)request;
    RawPeer_Close(peer, true);
}

/* Guards against reporting a connection reset after sending as a refused
 * connection, and against evhttp sending the call again. */
static void
test_reset(void)
{
    Fixture fixture;
    open_fixture(&fixture, reset_connection);
    CU_ASSERT_EQUAL(run_call(&fixture, 1, false), EB_ATTEMPT_BROKEN);
    CU_ASSERT_EQUAL(run_call(&fixture, 2, true), EB_ATTEMPT_BROKEN);
    Loop_For(fixture.base, 300000);
    CU_ASSERT_EQUAL(fixture.server->requests, 2);
    CU_ASSERT_EQUAL(fixture.seen_count, 2);
    close_fixture(&fixture);
}

static void
respond_once(RawPeer *peer, const char *request)
{
    (void)request;
    if (peer->requests == 1) {
        RawPeer_SendJson(peer, "{}");
    }
    else {
        RawPeer_Close(peer, false);
    }
}

/* Guards against a call on a reused connection being reported as unsent, or
 * being sent again, after the server closed the connection. */
static void
test_reused_closed(void)
{
    Fixture fixture;
    open_fixture(&fixture, respond_once);
    CU_ASSERT_EQUAL(run_call(&fixture, 1, false), EB_ATTEMPT_ANSWERED);
    CU_ASSERT_EQUAL(run_call(&fixture, 2, false), EB_ATTEMPT_BROKEN);
    Loop_For(fixture.base, 300000);
    CU_ASSERT_EQUAL(fixture.server->requests, 2);
    CU_ASSERT_EQUAL(fixture.server->accepted, 1);
    close_fixture(&fixture);
}

static void
send_close_response(RawPeer *peer, const char *request)
{
    (void)request;
    RawPeer_Send(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                       "Connection: close\r\n\r\n{}");
}

/* Guards against reusing a connection after a "Connection: close" response. */
static void
test_connection_close(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_close_response);
    CU_ASSERT_EQUAL(run_call(&fixture, 1, false), EB_ATTEMPT_ANSWERED);
    CU_ASSERT_EQUAL(EbBackendClient_IdleCount(fixture.client, "s-1"), 0);
    CU_ASSERT_EQUAL(run_call(&fixture, 2, false), EB_ATTEMPT_ANSWERED);
    CU_ASSERT_EQUAL(fixture.server->accepted, 2);
    close_fixture(&fixture);
}

static const char stream_text[] =
    ": comment\r\n\r\n"
    "data: {\"choices\": [{\"index\": 0, \"text\": \"Gate\"}],"
    " \"token_index\": 5}\r\n\r\n"
    "data:{\"choices\":[{\"index\":0,\"text\":\"fold\"}],"
    "\"token_index\":6}\n\n"
    "event: x\nid: 3\n"
    "data: {\"choices\": [{\"index\": 0, \"text\": \" \\u00e9\"}],"
    " \"token_index\": 7}\n\n"
    "data: {\"choices\": [{\"index\": 0, \"text\": \"\","
    " \"finish_reason\": \"stop\"}]}\n\n"
    "data: [DONE]\n\n";

/* Sends stream_text in chunks of fixture->chunk_bytes bytes. */
static void
send_stream(RawPeer *peer, const char *request)
{
    (void)request;
    const Fixture *fixture = peer->server->context;
    RawPeer_Send(peer, STREAM_HEAD);
    for (size_t at = 0; at < strlen(stream_text); at += fixture->chunk_bytes) {
        char chunk[1024];
        size_t length = MIN(fixture->chunk_bytes, strlen(stream_text) - at);
        snprintf(chunk, sizeof(chunk), "%zx\r\n%.*s\r\n", length, (int)length,
                 stream_text + at);
        RawPeer_Send(peer, chunk);
    }
    RawPeer_Send(peer, "0\r\n\r\n");
}

/* Guards against tokens that are lost, merged or reordered at chunk
 * boundaries.
 */
static void
test_stream_split(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_stream);
    for (fixture.chunk_bytes = 1; fixture.chunk_bytes <= sizeof(stream_text);
         fixture.chunk_bytes += 1 + fixture.chunk_bytes / 8) {
        g_string_truncate(fixture.text, 0);
        unsigned before = fixture.seen_count;
        EbAttemptEventKind kind =
            run_call(&fixture, fixture.chunk_bytes, true);
        CU_ASSERT_EQUAL(kind, EB_ATTEMPT_ENDED);
        CU_ASSERT_STRING_EQUAL(fixture.text->str, "Gatefold \xc3\xa9");
        uint64_t next = 5;
        for (unsigned i = before; i + 1 < fixture.seen_count; i++) {
            CU_ASSERT_EQUAL(fixture.seen[i].token_index, next);
            next += fixture.seen[i].token_count;
        }
        CU_ASSERT_EQUAL(next, 8);
    }
    CU_ASSERT_STRING_EQUAL(fixture.echo_request, "r-1");
    CU_ASSERT_EQUAL(fixture.echo_stage, 2);
    CU_ASSERT_EQUAL(fixture.echo_attempt, 7);
    CU_ASSERT_EQUAL(fixture.load_running, 3);
    CU_ASSERT_EQUAL(fixture.load_waiting, 4);
    CU_ASSERT_TRUE(fixture.seen[0].directive.leaving);
    CU_ASSERT_EQUAL(fixture.seen[0].directive.requests_per_s_milli, 2500);
    CU_ASSERT_EQUAL(fixture.server->accepted, 1);
    close_fixture(&fixture);
}

static const char *scripted_response;

static void
send_scripted_response(RawPeer *peer, const char *request)
{
    (void)request;
    RawPeer_Send(peer, scripted_response);
}

/* Guards against accepting incomplete or malformed responses, and against
 * responses of unlimited size. */
static void
test_bad_responses(void)
{
    static const char big_head[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 900000000\r\n\r\n{";
    GString *long_header = g_string_new("HTTP/1.1 200 OK\r\nX: ");
    for (int i = 0; i < 40000; i++) {
        g_string_append_c(long_header, 'x');
    }
    g_string_append(long_header, "\r\nContent-Length: 2\r\n\r\n{}");
    /* One chunk of 0x11176 = 70,006 bytes: "data: " and 70,000 bytes. */
    GString *long_line = g_string_new(STREAM_HEAD "11176\r\ndata: ");
    for (int i = 0; i < 70000; i++) {
        g_string_append_c(long_line, 'x');
    }
    const struct {
        const char *response;
        bool stream;
        EbAttemptEventKind kind;
    } rows[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{xx}", false,
         EB_ATTEMPT_MALFORMED},
        {"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\n{xx}", false,
         EB_ATTEMPT_ANSWERED},
        {"HTTP/1.1 429 Busy\r\nContent-Length: 2\r\n\r\n{}", true,
         EB_ATTEMPT_ANSWERED},
        {STREAM_HEAD "9\r\ndata: {}\n\r\n", true, EB_ATTEMPT_MALFORMED},
        {STREAM_HEAD "3\r\n: x\r\n0\r\n\r\n", true, EB_ATTEMPT_BROKEN},
        {STREAM_HEAD "fffffff\r\n", true, EB_ATTEMPT_BROKEN},
        {STREAM_HEAD "zz\r\n", true, EB_ATTEMPT_BROKEN},
        {"SSH-2.0-x\r\n\r\n", false, EB_ATTEMPT_BROKEN},
        {big_head, false, EB_ATTEMPT_BROKEN},
        {long_header->str, false, EB_ATTEMPT_BROKEN},
        {long_line->str, true, EB_ATTEMPT_MALFORMED},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        Fixture fixture;
        open_fixture(&fixture, send_scripted_response);
        scripted_response = rows[i].response;
        EbAttemptEventKind kind = run_call(&fixture, 1, rows[i].stream);
        CU_ASSERT_EQUAL(kind, rows[i].kind);
        CU_ASSERT_EQUAL(fixture.ends, 1);
        close_fixture(&fixture);
    }
    g_string_free(long_header, TRUE);
    g_string_free(long_line, TRUE);
}

/* Guards against a response without a length that counts as complete although
 * its connection was reset while the call was still being written. */
static void
test_reset_upload(void)
{
    enum { INPUT_BYTES = 16 * 1024 * 1024 };
    static const int64_t delays_us[] = {0, 1000, 20000};
    char *input = g_strnfill(INPUT_BYTES, 'u');
    json_t *body = json_pack("{s:s}", "input", input);
    for (unsigned i = 0; i < 4 * G_N_ELEMENTS(delays_us); i++) {
        Fixture fixture;
        open_fixture(&fixture, NULL);
        ResettingServer server = {.response =
                                      "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}",
                                  .reset_delay_us = delays_us[i / 4],
                                  .reads_first = i % 2 != 0,
                                  .half_closes = i / 2 % 2 != 0};
        ResettingServer_Open(&server, fixture.base);
        fixture.wanted_ends = 1;
        EbBackendClient_Send(fixture.client,
                             &(EbSendAttempt){.attempt_id = 1,
                                              .request_id = "r-1",
                                              .server_id = "s-1",
                                              .host = "127.0.0.1",
                                              .port = server.port,
                                              .path = "/v1/x",
                                              .body = body});
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
        CU_ASSERT_EQUAL(fixture.seen[0].kind, EB_ATTEMPT_BROKEN);
        ResettingServer_Close(&server);
        close_fixture(&fixture);
    }
    json_decref(body);
    g_free(input);
}

/* Answers the first call with the scripted response and later ones soundly. */
static void
send_scripted_response_first(RawPeer *peer, const char *request)
{
    if (peer->server->requests == 1) {
        send_scripted_response(peer, request);
    }
    else {
        RawPeer_SendJson(peer, "{}");
    }
}

/* Guards against an odd response that ends the process, and against one whose
 * bytes are taken for the response to the next call. */
static void
test_odd_responses(void)
{
    static const struct {
        const char *response;
        EbAttemptEventKind kind;
        unsigned connections; /* opened by this call and the next one */
    } rows[] = {
        {CHUNKED_HEAD "2\r\n{}\r\n0\r\nSum: 1\r\n\r\n", EB_ATTEMPT_ANSWERED,
         1},
        {"HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nbody",
         EB_ATTEMPT_MALFORMED, 2},
        {"HTTP/1.1 100 Continue\r\nContent-Length: 6\r\n\r\nbody\r\n",
         EB_ATTEMPT_BROKEN, 2},
        {"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
         EB_ATTEMPT_BROKEN, 2},
        {"HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n\r\n{}",
         EB_ATTEMPT_MALFORMED, 2},
        {"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\n{}",
         EB_ATTEMPT_MALFORMED, 2},
        {"HTTP/1.1 1200 Trouble\r\nContent-Length: 2\r\n\r\n{}",
         EB_ATTEMPT_MALFORMED, 2},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        Fixture fixture;
        open_fixture(&fixture, send_scripted_response_first);
        scripted_response = rows[i].response;
        EbAttemptEventKind kind = run_call(&fixture, 1, false);
        if (kind != rows[i].kind) {
            printf("row %zu: %s\n", i, EbAttemptEventKind_names[kind]);
        }
        CU_ASSERT_EQUAL(kind, rows[i].kind);
        CU_ASSERT_EQUAL(run_call(&fixture, 2, false), EB_ATTEMPT_ANSWERED);
        CU_ASSERT_EQUAL(fixture.seen[1].status, 200);
        CU_ASSERT_EQUAL(fixture.server->accepted, rows[i].connections);
        close_fixture(&fixture);
    }
}

static void
send_cut_response(RawPeer *peer, const char *request)
{
    (void)request;
    /* Sent directly, because closing discards buffered output. */
    ssize_t sent = send(bufferevent_getfd(peer->bufev), scripted_response,
                        strlen(scripted_response), 0);
    CU_ASSERT_EQUAL(sent, (ssize_t)strlen(scripted_response));
    RawPeer_Close(peer, false);
}

/* Guards against a response whose head or body was cut off at any byte and
 * that counts as whole. */
static void
test_cut_responses(void)
{
    static const struct {
        const char *response;
        bool stream;
    } rows[] = {
        {"HTTP/1.1 200 OK\r\nEb-Load: 3/4\r\nContent-Length: 2\r\n\r\n{}",
         false},
        {CHUNKED_HEAD "2\r\n{}\r\n0\r\n\r\n", false},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Content-Length: 2\r\n\r\n{}",
         false},
        {STREAM_HEAD "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n", true},
    };
    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        /* A stream is whole with its last event. */
        const char *last = strstr(rows[i].response, "[DONE]\n");
        size_t whole_bytes = last != NULL ? (size_t)(last - rows[i].response) +
                                                strlen("[DONE]\n")
                                          : strlen(rows[i].response);
        for (size_t length = 0; length < whole_bytes; length++) {
            char *response = g_strndup(rows[i].response, length);
            scripted_response = response;
            Fixture fixture;
            open_fixture(&fixture, send_cut_response);
            EbAttemptEventKind kind = run_call(&fixture, 1, rows[i].stream);
            if (kind == EB_ATTEMPT_ANSWERED || kind == EB_ATTEMPT_ENDED) {
                printf("row %zu, %zu bytes: kind %d, status %u\n", i, length,
                       (int)kind, fixture.seen[0].status);
            }
            CU_ASSERT_NOT_EQUAL(kind, EB_ATTEMPT_ANSWERED);
            CU_ASSERT_NOT_EQUAL(kind, EB_ATTEMPT_ENDED);
            close_fixture(&fixture);
            g_free(response);
        }
    }
}

/* Guards against calls that are blocked because another server does not
 * respond, and against events for cancelled calls. */
static void
test_silent_and_cancel(void)
{
    Fixture fixture;
    open_fixture(&fixture, NULL);
    RawServer *other =
        RawServer_New(fixture.base, send_json_response, &fixture);
    for (uint64_t id = 1; id <= 100; id++) {
        send_call(&fixture, id, fixture.server->port, false, true);
    }
    Loop_For(fixture.base, 50000);
    CU_ASSERT_EQUAL(fixture.server->accepted, 100);
    fixture.wanted_ends = 1;
    send_call(&fixture, 1000, other->port, false, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
    for (uint64_t id = 1; id <= 100; id++) {
        EbBackendClient_Cancel(fixture.client, id);
    }
    fixture.wanted_closed = 100;
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_closed, &fixture));
    CU_ASSERT_EQUAL(EbBackendClient_ActiveCount(fixture.client), 0);
    CU_ASSERT_EQUAL(fixture.seen_count, 1);
    RawServer_Free(other);
    close_fixture(&fixture);
}

/* Streams 90 tokens of 1000 bytes. */
static void
send_long_stream(RawPeer *peer, const char *request)
{
    (void)request;
    RawPeer_Send(peer, STREAM_HEAD);
    GString *line = g_string_new("data: {\"choices\": [{\"text\": \"");
    for (int i = 0; i < 1000; i++) {
        g_string_append_c(line, 'x');
    }
    for (int i = 0; i < 90; i++) {
        char *chunk =
            g_strdup_printf("%s\"}], \"token_index\": %d}\n\n", line->str, i);
        char *framed = g_strdup_printf("%zx\r\n%s\r\n", strlen(chunk), chunk);
        RawPeer_Send(peer, framed);
        g_free(chunk);
        g_free(framed);
    }
    g_string_free(line, TRUE);
    RawPeer_Send(peer, "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n");
}

static bool
has_tokens(void *context)
{
    Fixture *fixture = context;
    return fixture->seen_count > 0;
}

/* Guards against reading on while paused, against a paused stream being taken
 * for a silent server, and against tokens lost by a pause. */
static void
test_pause(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_long_stream);
    fixture.wanted_ends = 1;
    send_call(&fixture, 1, fixture.server->port, true, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_tokens, &fixture));
    EbBackendClient_Pause(fixture.client, 1, true);
    unsigned before = fixture.seen_count;
    Loop_For(fixture.base, 350000);
    CU_ASSERT_EQUAL(fixture.ends, 0);
    /* One read may still be delivered after the pause. The client sends events
     * without tokens, so that the stream is not taken for a silent one. */
    unsigned reads = 0;
    unsigned empty_events = 0;
    for (unsigned i = before; i < fixture.seen_count; i++) {
        reads += fixture.seen[i].token_count > 0;
        empty_events += fixture.seen[i].token_count == 0;
    }
    CU_ASSERT_TRUE(reads <= 1);
    CU_ASSERT_TRUE(empty_events >= 1);
    EbBackendClient_Pause(fixture.client, 1, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
    CU_ASSERT_EQUAL(fixture.seen[fixture.seen_count - 1].kind,
                    EB_ATTEMPT_ENDED);
    CU_ASSERT_EQUAL(fixture.text->len, 90000);
    close_fixture(&fixture);
}

typedef struct EndlessResponse {
    const char *name;
    bool stream;
    const char *start;
    const char *unit; /* comes again and again */
} EndlessResponse;

#define ENDLESS_RESPONSE_BYTES 4194304 /* far above every limit */

static void
send_endless_response(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    (void)request;
    GString *text = g_string_new(fixture->endless->start);
    while (text->len < ENDLESS_RESPONSE_BYTES) {
        g_string_append(text, fixture->endless->unit);
    }
    RawPeer_Send(peer, text->str);
    fixture->endless_peer = peer;
    g_string_free(text, TRUE);
}

/* Returns whether the call has ended, or the client has read everything. */
static bool
has_ended_or_read_all(void *context)
{
    const Fixture *fixture = context;
    if (fixture->ends > 0 || fixture->server->closed > 0) {
        return true;
    }
    return fixture->endless_peer != NULL &&
           evbuffer_get_length(
               bufferevent_get_output(fixture->endless_peer->bufev)) == 0;
}

/* Guards against bytes without end that are no response and are read until the
 * call's time-out, which fills the memory. */
static void
test_endless_responses(void)
{
    static const EndlessResponse rows[] = {
        {"empty lines before the status line", false, "", "\r\n"},
        {"status line", false, "HTTP/1.1 200 ", "aaaaaaaa"},
        {"header name", false, "HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
        {"header value", false, "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
        {"headers", false, "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        {"interim responses", false, "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim responses with headers", false, "",
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
        {"body", false, "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa"},
        {"chunk size", false, CHUNKED_HEAD, "00000000"},
        {"chunk extension", false, CHUNKED_HEAD "1;", "aaaaaaaa"},
        {"chunk extensions", false, CHUNKED_HEAD,
         "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\na\r\n"},
        {"empty lines between chunks", false, CHUNKED_HEAD, "\r\n"},
        {"trailers", false, CHUNKED_HEAD "0\r\n", "X: a\r\n"},
        {"stream of comments", true, STREAM_HEAD, "3\r\n:\n\n\r\n"},
        {"stream of empty lines", true, STREAM_HEAD, "1\r\n\n\r\n"},
        {"stream of one line", true, STREAM_HEAD, "4\r\naaaa\r\n"},
        {"stream, chunk extension", true, STREAM_HEAD "1;", "aaaaaaaa"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        Fixture fixture;
        open_fixture(&fixture, send_endless_response);
        fixture.endless = &rows[i];
        send_call(&fixture, 1, fixture.server->port, rows[i].stream, false);
        CU_ASSERT_TRUE(
            Loop_Until(fixture.base, has_ended_or_read_all, &fixture));
        bool failed =
            fixture.ends == 1 && fixture.seen[0].kind != EB_ATTEMPT_ANSWERED;
        if (!failed) {
            printf("%s: %u ends, kind %d, status %u\n", rows[i].name,
                   fixture.ends, (int)fixture.seen[0].kind,
                   fixture.seen[0].status);
        }
        CU_ASSERT_TRUE(failed);
        close_fixture(&fixture);
    }
}

/* Sends a body that never ends to all calls but the last, which gets a whole
 * answer. */
static void
send_endless_bodies(RawPeer *peer, const char *request)
{
    Fixture *fixture = peer->server->context;
    (void)request;
    if (fixture->server->requests > ENDLESS_CALLS) {
        RawPeer_Send(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        return;
    }
    char *part = g_strnfill(ENDLESS_PART_BYTES, 'a');
    RawPeer_Send(peer, "HTTP/1.1 200 OK\r\n\r\n");
    RawPeer_Send(peer, part);
    g_free(part);
}

/* Returns whether so many calls have failed that the bodies of the others fit
 * within the common limit. Each body alone stays below its own. */
static bool
are_bodies_limited(void *context)
{
    const Fixture *fixture = context;
    return (ENDLESS_CALLS - fixture->ends) * ENDLESS_PART_BYTES <=
           MAX_BUFFERED_BYTES;
}

/* Guards against bodies without end that take the memory of the process
 * together although each is below its own limit, against small answers that
 * fail beside them, and against counting what is no longer kept. */
static void
test_endless_bodies(void)
{
    Fixture fixture;
    open_fixture(&fixture, send_endless_bodies);
    for (uint64_t id = 1; id <= ENDLESS_CALLS; id++) {
        send_call(&fixture, id, fixture.server->port, false, true);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, are_bodies_limited, &fixture));
    for (uint64_t id = 1; id <= 40; id++) {
        fixture.wanted_ends = fixture.ends + 1;
        send_call(&fixture, ENDLESS_CALLS + id, fixture.server->port, false,
                  false);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ends, &fixture));
        CU_ASSERT_EQUAL(fixture.seen[fixture.seen_count - 1].kind,
                        EB_ATTEMPT_ANSWERED);
    }
    close_fixture(&fixture);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"reuse", test_reuse},
        {"refused", test_refused},
        {"reset", test_reset},
        {"reused closed", test_reused_closed},
        {"connection close", test_connection_close},
        {"stream split", test_stream_split},
        {"bad responses", test_bad_responses},
        {"odd responses", test_odd_responses},
        {"reset upload", test_reset_upload},
        {"cut responses", test_cut_responses},
        {"silent and cancel", test_silent_and_cancel},
        {"pause", test_pause},
        {"endless responses", test_endless_responses},
        {"endless bodies", test_endless_bodies},
    };
    signal(SIGPIPE, SIG_IGN); /* as in the daemon */
    return EbTest_Run("test_backend_client", cases,
                      sizeof(cases) / sizeof(cases[0]));
}
