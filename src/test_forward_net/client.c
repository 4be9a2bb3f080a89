/* Tests of EbForwardClient. */
#include <string.h>

#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/forward_client.h"
#include "forward_net.h"
#include "net_fixture.h"
#include "resetting_server.h"
#include "test_runner.h"

#define MAX_EVENTS 16
#define ENDLESS_BODIES 12
#define ENDLESS_PART_BYTES ((size_t)6 * 1024 * 1024)
#define ENDLESS_EVENTS 60
#define ENDLESS_EVENT_BYTES ((size_t)900 * 1024)
#define MAX_BUFFERED_BYTES ((size_t)32 * 1024 * 1024)
#define STREAM_HEAD                                                           \
    HEAD "Content-Type: text/event-stream\r\n"                                \
         "Transfer-Encoding: chunked\r\n\r\n"
/* Neither length nor chunks: the stream ends with its connection. */
#define UNFRAMED_STREAM_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"

typedef struct {
    struct event_base *base;
    EbForwardClient *client;
    RawServer *server;
    const char *response;
    bool closes;
    bool resets;
    const struct EndlessStream *endless;
    bool unlimited_events; /* `kinds` is not written */
    EbAttemptEventKind kinds[MAX_EVENTS];
    EbAttemptEventKind last_kind;
    unsigned count;
    GString *body;
    GString *events;
    uint16_t status;
    unsigned received; /* calls, at the server */
    unsigned ended;    /* calls, by an event other than one of a stream */
} ClientFixture;

static void
on_attempt(void *context, const EbAttemptEvent *event)
{
    ClientFixture *fixture = context;
    fixture->last_kind = event->kind;
    if (!fixture->unlimited_events) {
        CU_ASSERT_TRUE_FATAL(fixture->count < MAX_EVENTS);
        fixture->kinds[fixture->count] = event->kind;
    }
    fixture->count++;
    fixture->ended += event->kind != EB_ATTEMPT_STREAMING &&
                      event->kind != EB_ATTEMPT_EVENTS;
    fixture->status = event->http_status;
    if (event->kind == EB_ATTEMPT_ANSWERED) {
        g_string_append_len(fixture->body, (const char *)event->reply->body,
                            (gssize)event->reply->body_bytes);
    }
    if (event->kind == EB_ATTEMPT_EVENTS) {
        g_string_append_len(fixture->events, (const char *)event->bytes,
                            (gssize)event->byte_count);
    }
}

static void
send_response(RawPeer *peer, const char *request)
{
    ClientFixture *fixture = peer->server->context;
    CU_ASSERT_PTR_NOT_NULL(strstr(request, "Host: "));
    if (fixture->closes || fixture->resets) {
        /* Sent directly, because closing discards buffered output. */
        ssize_t sent = send(bufferevent_getfd(peer->bufev), fixture->response,
                            strlen(fixture->response), 0);
        CU_ASSERT_EQUAL(sent, (ssize_t)strlen(fixture->response));
        RawPeer_Close(peer, fixture->resets);
        return;
    }
    RawPeer_Send(peer, fixture->response);
}

static bool
has_ended(void *context)
{
    const ClientFixture *fixture = context;
    return fixture->count > 0 && fixture->last_kind != EB_ATTEMPT_STREAMING &&
           fixture->last_kind != EB_ATTEMPT_EVENTS;
}

static void
open_client(ClientFixture *fixture)
{
    *fixture = (ClientFixture){.base = event_base_new(),
                               .body = g_string_new(NULL),
                               .events = g_string_new(NULL)};
    fixture->server = RawServer_New(fixture->base, send_response, fixture);
    fixture->client = EbForwardClient_New(
        &(EbForwardClientOptions){.base = fixture->base,
                                  .protocol = &test_protocol,
                                  .event = on_attempt,
                                  .context = fixture});
}

static void
close_client(ClientFixture *fixture)
{
    EbForwardClient_Free(fixture->client);
    RawServer_Free(fixture->server);
    g_string_free(fixture->body, TRUE);
    g_string_free(fixture->events, TRUE);
    event_base_free(fixture->base);
}

static void
send_call(ClientFixture *fixture, uint64_t id, uint16_t port, bool stream)
{
    EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/x?y=1");
    EbHttpMessage_AddHeader(message, ID, "r-1");
    EbHttpMessage_AddBody(message, "body", 4);
    EbForwardClient_Send(fixture->client,
                         &(EbForwardSend){.attempt_id = id,
                                          .server_id = "s-1",
                                          .host = "127.0.0.1",
                                          .port = port,
                                          .request_id = "r-1",
                                          .stream = stream},
                         message);
    EbHttpMessage_Unref(message);
}

typedef struct {
    const char *name;
    const char *response;
    bool stream;
    bool closes;
    bool resets;
    EbAttemptEventKind last;
    const char *body;
    const char *events;
    unsigned connections; /* opened by two identical calls */
} ClientRow;

static const ClientRow client_rows[] = {
    {"whole response", HEAD "Content-Length: 2\r\n\r\nab", false, false, false,
     EB_ATTEMPT_ANSWERED, "ab", "", 1},
    {"trailer fields",
     HEAD "Transfer-Encoding: chunked\r\n\r\n"
          "2\r\nab\r\n0\r\nSum: 1\r\n\r\n",
     false, false, false, EB_ATTEMPT_ANSWERED, "ab", "", 1},
    {"interim response with a body",
     "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nbody" HEAD
     "Content-Length: 2\r\n\r\nab",
     false, false, false, EB_ATTEMPT_MALFORMED, "", "", 2},
    {"interim response with a body, then a stream",
     "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nbody" STREAM_HEAD
     "7\r\nid: 1\n\n\r\n0\r\n\r\n",
     true, false, false, EB_ATTEMPT_MALFORMED, "", "", 2},
    {"interim response with a length only",
     "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\n" HEAD
     "Content-Length: 2\r\n\r\nab",
     false, false, false, EB_ATTEMPT_ANSWERED, "ab", "", 1},
    {"304 with a length",
     "HTTP/1.1 304 Not Modified\r\n" ID ": r-1\r\n"
     "Content-Length: 2\r\n\r\n",
     false, false, false, EB_ATTEMPT_ANSWERED, "", "", 1},
    {"bytes behind 204",
     "HTTP/1.1 204 No Content\r\n" ID ": r-1\r\n"
     "Content-Length: 2\r\n\r\nab",
     false, false, false, EB_ATTEMPT_ANSWERED, "", "", 2},
    {"status 000",
     "HTTP/1.1 000 Trouble\r\n" ID ": r-1\r\nContent-Length: 2\r\n\r\nab",
     false, false, false, EB_ATTEMPT_MALFORMED, "", "", 2},
    {"close announced",
     HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nab", false, true,
     false, EB_ATTEMPT_ANSWERED, "ab", "", 2},
    {"ended by closing the connection", HEAD "\r\nab", false, true, false,
     EB_ATTEMPT_ANSWERED, "ab", "", 2},
    {"reset before the end", HEAD "\r\nab", false, false, true,
     EB_ATTEMPT_BROKEN, "", "", 2},
    {"truncated", HEAD "Content-Length: 9\r\n\r\nab", false, true, false,
     EB_ATTEMPT_BROKEN, "", "", 2},
    {"bytes after the response", HEAD "Content-Length: 2\r\n\r\nabHTTP/1.1",
     false, false, false, EB_ATTEMPT_ANSWERED, "ab", "", 2},
    {"late response to another call",
     "HTTP/1.1 200 OK\r\n" ID ": r-0\r\nContent-Length: 1\r\n\r\nz" HEAD
     "Content-Length: 2\r\n\r\nab",
     false, false, false, EB_ATTEMPT_ANSWERED, "ab", "", 1},
    {"not HTTP", "nonsense\r\n\r\n", false, false, false, EB_ATTEMPT_MALFORMED,
     "", "", 2},
    {"stream with bytes after its last event",
     STREAM_HEAD "8\r\nid: 1\n\n\n\r\n0\r\n\r\n", true, false, false,
     EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 1},
    {"whole stream", STREAM_HEAD "7\r\nid: 1\n\n\r\n0\r\n\r\n", true, false,
     false, EB_ATTEMPT_ENDED, "", "id: 1\n\n", 1},
    {"stream without its end", STREAM_HEAD "7\r\nid: 1\n\n\r\n", true, true,
     false, EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
    {"stream that ends with its connection",
     UNFRAMED_STREAM_HEAD "id: 1\n\nid: 2\n\n", true, true, false,
     EB_ATTEMPT_ENDED, "", "id: 1\n\nid: 2\n\n", 2},
    {"stream whose connection ends in an event",
     UNFRAMED_STREAM_HEAD "id: 1\n\nid: 2\n", true, true, false,
     EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
    {"stream whose connection ends before an event", UNFRAMED_STREAM_HEAD,
     true, true, false, EB_ATTEMPT_ENDED, "", "", 2},
    {"stream whose connection is reset after an event",
     UNFRAMED_STREAM_HEAD "id: 1\n\n", true, false, true, EB_ATTEMPT_BROKEN,
     "", "id: 1\n\n", 2},
    {"stream truncated in an event", STREAM_HEAD "9\r\nid: 1\n\nid\r\n", true,
     true, false, EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
};

/* Guards against accepting an incomplete response or a response to another
 * call, and against reusing a connection that the server closes or on which
 * extra bytes arrived. */
void
test_client_responses(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(client_rows); i++) {
        const ClientRow *row = &client_rows[i];
        ClientFixture fixture;
        open_client(&fixture);
        fixture.response = row->response;
        fixture.closes = row->closes;
        fixture.resets = row->resets;
        send_call(&fixture, 1, fixture.server->port, row->stream);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        bool expected = fixture.kinds[fixture.count - 1] == row->last &&
                        strcmp(fixture.body->str, row->body) == 0 &&
                        strcmp(fixture.events->str, row->events) == 0;
        CU_ASSERT_TRUE(expected);
        fixture.count = 0;
        send_call(&fixture, 2, fixture.server->port, row->stream);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        if (fixture.server->accepted != row->connections || !expected) {
            printf("%s: %u connections, kind %s, events %s\n", row->name,
                   fixture.server->accepted,
                   EbAttemptEventKind_names[fixture.kinds[0]],
                   fixture.events->str);
        }
        CU_ASSERT_EQUAL(fixture.server->accepted, row->connections);
        close_client(&fixture);
    }
}

typedef struct {
    const char *response;
    bool stream;
    const char *open_ended; /* where an unframed body begins, or NULL */
} CutRow;

/* Returns whether the first `length` bytes of a response are a whole one when
 * the connection ends behind them. */
static bool
is_whole(const CutRow *row, size_t length)
{
    if (row->open_ended == NULL) {
        return length == strlen(row->response);
    }
    size_t head_bytes =
        (size_t)(strstr(row->response, row->open_ended) - row->response);
    bool in_event = row->stream && length > head_bytes &&
                    strncmp(row->response + length - 2, "\n\n", 2) != 0;
    return length >= head_bytes && !in_event;
}

/* Guards against a response whose head or body was cut off at any byte and
 * that counts as whole, so that its caller gets a success with an empty or
 * short body. */
void
test_client_cut_responses(void)
{
    static const CutRow rows[] = {
        {HEAD "Content-Length: 2\r\n\r\nab", false, NULL},
        {HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", false,
         NULL},
        {"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" HEAD
         "Content-Length: 2\r\n\r\nab",
         false, NULL},
        {"HTTP/1.1 200 OK\n" ID ": r-1\nContent-Length: 2\n\nab", false, NULL},
        {STREAM_HEAD "7\r\nid: 1\n\n\r\n0\r\n\r\n", true, NULL},
        {HEAD "X: a\r\n\r\nabc", false, "abc"},
        {UNFRAMED_STREAM_HEAD "id: 1\n\nid: 2\n\n", true, "id: 1\n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        for (size_t length = 0; length <= strlen(rows[i].response); length++) {
            char *response = g_strndup(rows[i].response, length);
            ClientFixture fixture;
            open_client(&fixture);
            fixture.response = response;
            fixture.closes = true;
            send_call(&fixture, 1, fixture.server->port, rows[i].stream);
            CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
            bool whole = fixture.last_kind == EB_ATTEMPT_ANSWERED ||
                         fixture.last_kind == EB_ATTEMPT_ENDED;
            if (whole != is_whole(&rows[i], length)) {
                printf("row %zu, %zu bytes: kind %s\n", i, length,
                       EbAttemptEventKind_names[fixture.last_kind]);
            }
            CU_ASSERT_EQUAL(whole, is_whole(&rows[i], length));
            close_client(&fixture);
            g_free(response);
        }
    }
}

/* Answers the first request twice: the second copy comes late, when the next
 * request has arrived on the same connection, and before its own answer. */
static void
send_late_copy(RawPeer *peer, const char *request)
{
    ClientFixture *fixture = peer->server->context;
    (void)request;
    if (peer->server->requests > 1 && peer->requests > 1) {
        RawPeer_Send(peer, fixture->response);
    }
    RawPeer_Send(peer, peer->server->requests == 1
                           ? fixture->response
                           : "HTTP/1.1 200 OK\r\n"
                             "Content-Length: 3\r\n\r\nown");
}

/* Guards against taking a late second copy of an earlier answer for the answer
 * to a call whose answers carry no request id. */
void
test_client_late_copy(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.server->handler = send_late_copy;
    fixture.response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
    for (uint64_t id = 1; id <= 2; id++) {
        EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/");
        g_string_truncate(fixture.body, 0);
        fixture.count = 0;
        EbForwardClient_Send(fixture.client,
                             &(EbForwardSend){.attempt_id = id,
                                              .server_id = "s-1",
                                              .host = "127.0.0.1",
                                              .port = fixture.server->port},
                             message);
        EbHttpMessage_Unref(message);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        CU_ASSERT_EQUAL(fixture.kinds[0], EB_ATTEMPT_ANSWERED);
        CU_ASSERT_STRING_EQUAL(fixture.body->str, id == 1 ? "old" : "own");
    }
    close_client(&fixture);
}

/* Sends a response to another call whose body never ends. */
static void
send_endless_late_body(RawPeer *peer, const char *request)
{
    static const size_t part_bytes = 65536;
    (void)request;
    RawPeer_Send(peer, "HTTP/1.1 200 OK\r\n" ID ": r-0\r\n\r\n");
    char *part = g_strnfill(part_bytes, 'a');
    for (int i = 0; i < 256; i++) {
        RawPeer_Send(peer, part);
    }
    g_free(part);
}

/* Guards against discarding a late response for ever: 16 MiB come, twice the
 * limit of a body, and the call must end without waiting for its time-out. */
void
test_client_endless_late_body(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.server->handler = send_endless_late_body;
    send_call(&fixture, 1, fixture.server->port, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
    CU_ASSERT_EQUAL(fixture.kinds[0], EB_ATTEMPT_MALFORMED);
    close_client(&fixture);
}

typedef struct EndlessStream {
    const char *start;
    const char *unit; /* comes again and again */
} EndlessStream;

static void
send_endless_stream(RawPeer *peer, const char *request)
{
    static const size_t total_bytes = (size_t)4 * 1024 * 1024;
    const ClientFixture *fixture = peer->server->context;
    (void)request;
    GString *text = g_string_new(fixture->endless->start);
    while (text->len < total_bytes) {
        g_string_append(text, fixture->endless->unit);
    }
    RawPeer_Send(peer, text->str);
    g_string_free(text, TRUE);
}

/* Guards against reading for ever a head or a stream whose bytes are no
 * answer, and against passing more than a little of it on to the caller. */
void
test_client_endless_stream(void)
{
    static const EndlessStream rows[] = {
        {"", "\r\n"},
        {"", "aaaaaaaa"},
        {"HTTP/1.1 200 ", "aaaaaaaa"},
        {"HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
        {"HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
        {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        {"HTTP/1.1 200 OK\r\nX: a\r\n", " a\r\n"},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {STREAM_HEAD, "00000000"},
        {STREAM_HEAD "1;", "aaaaaaaa"},
        {STREAM_HEAD "0\r\n", "X: a\r\n"},
        {UNFRAMED_STREAM_HEAD, "aaaaaaaa"},
        {UNFRAMED_STREAM_HEAD, "\n"},
        {UNFRAMED_STREAM_HEAD, ":\n\n"},
        {UNFRAMED_STREAM_HEAD, "data: a\n\n"},
        {UNFRAMED_STREAM_HEAD "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n"},
        {UNFRAMED_STREAM_HEAD "id: 5\ndata: a\n\n",
         "id: 4\ndata: a\n\nid: 5\ndata: a\n\n"},
    };
    static const size_t max_relayed_bytes = 131072;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ClientFixture fixture;
        open_client(&fixture);
        fixture.unlimited_events = true;
        fixture.endless = &rows[i];
        fixture.server->handler = send_endless_stream;
        send_call(&fixture, 1, fixture.server->port, true);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        CU_ASSERT_EQUAL(fixture.last_kind, EB_ATTEMPT_MALFORMED);
        CU_ASSERT_TRUE(fixture.events->len < max_relayed_bytes);
        close_client(&fixture);
    }
}

/* Sends a body that never ends to all calls but the last, which gets a whole
 * answer. */
static void
send_endless_bodies(RawPeer *peer, const char *request)
{
    ClientFixture *fixture = peer->server->context;
    (void)request;
    if (++fixture->received == ENDLESS_BODIES + 1) {
        RawPeer_Send(peer, HEAD "Content-Length: 2\r\n\r\nab");
        return;
    }
    char *part = g_strnfill(ENDLESS_PART_BYTES, 'a');
    RawPeer_Send(peer, HEAD "\r\n");
    RawPeer_Send(peer, part);
    g_free(part);
}

/* Returns whether so many calls have failed that the bodies of the others fit
 * within the common limit. Each body alone stays below its own, 8 MiB. */
static bool
are_bodies_limited(void *context)
{
    const ClientFixture *fixture = context;
    return (ENDLESS_BODIES - fixture->count) * ENDLESS_PART_BYTES <=
           MAX_BUFFERED_BYTES;
}

static bool
has_answer(void *context)
{
    return ((ClientFixture *)context)->body->len > 0;
}

/* Guards against bodies without end that take the memory of the process
 * together although each is below its own limit, and against small answers
 * that fail beside them. */
void
test_client_endless_bodies(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.server->handler = send_endless_bodies;
    for (uint64_t id = 1; id <= ENDLESS_BODIES; id++) {
        send_call(&fixture, id, fixture.server->port, false);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, are_bodies_limited, &fixture));
    send_call(&fixture, ENDLESS_BODIES + 1, fixture.server->port, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_answer, &fixture));
    CU_ASSERT_STRING_EQUAL(fixture.body->str, "ab");
    close_client(&fixture);
}

/* Announces a large body and sends none of it. */
static void
send_announcement(RawPeer *peer, const char *request)
{
    (void)request;
    char *text = g_strdup_printf(HEAD "Content-Length: %zu\r\n\r\n",
                                 ENDLESS_PART_BYTES);
    RawPeer_Send(peer, text);
    g_free(text);
}

/* Guards against taking memory for bodies that were only announced, beyond the
 * common limit. */
void
test_client_announced_bodies(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.server->handler = send_announcement;
    for (uint64_t id = 1; id <= ENDLESS_BODIES; id++) {
        send_call(&fixture, id, fixture.server->port, false);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, are_bodies_limited, &fixture));
    CU_ASSERT_EQUAL(fixture.last_kind, EB_ATTEMPT_MALFORMED);
    for (uint64_t id = 1; id <= ENDLESS_BODIES; id++) {
        EbForwardClient_Cancel(fixture.client, id);
    }
    fixture.server->handler = send_response;
    fixture.response = HEAD "Content-Length: 2\r\n\r\nab";
    send_call(&fixture, ENDLESS_BODIES + 1, fixture.server->port, false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_answer, &fixture));
    close_client(&fixture);
}

/* Sends a stream whose first event never ends to all calls but the last, which
 * gets a whole stream with an event in two parts. */
static void
send_endless_events(RawPeer *peer, const char *request)
{
    ClientFixture *fixture = peer->server->context;
    (void)request;
    RawPeer_Send(peer, UNFRAMED_STREAM_HEAD "id: 1\ndata: ");
    if (++fixture->received == ENDLESS_EVENTS + 1) {
        RawPeer_Send(peer, "whole\n\n");
        return;
    }
    char *part = g_strnfill(ENDLESS_EVENT_BYTES, 'a');
    RawPeer_Send(peer, part);
    g_free(part);
}

/* Returns whether so many streams have failed that the incomplete events of
 * the others fit within the common limit. Each alone stays below its own. */
static bool
are_events_limited(void *context)
{
    const ClientFixture *fixture = context;
    return fixture->received >= ENDLESS_EVENTS &&
           (ENDLESS_EVENTS - fixture->ended) * ENDLESS_EVENT_BYTES <=
               MAX_BUFFERED_BYTES;
}

static bool
has_whole_event(void *context)
{
    return strstr(((ClientFixture *)context)->events->str, "whole") != NULL;
}

/* Guards against events without end in many streams that together take the
 * memory of the process, and against a sound stream that fails beside them. */
void
test_client_endless_events(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.unlimited_events = true;
    fixture.server->handler = send_endless_events;
    for (uint64_t id = 1; id <= ENDLESS_EVENTS; id++) {
        send_call(&fixture, id, fixture.server->port, true);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, are_events_limited, &fixture));
    send_call(&fixture, ENDLESS_EVENTS + 1, fixture.server->port, true);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_whole_event, &fixture));
    close_client(&fixture);
}

static bool
has_closed_one(void *context)
{
    return ((ClientFixture *)context)->server->closed == 1;
}

/* Guards against opening more connections than the server accepts, which it
 * would reset together with the calls on them. */
void
test_client_connection_limit(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.response = HEAD "Content-Length: 2\r\n\r\nab";
    for (uint64_t id = 1; id <= 2; id++) {
        EbHttpMessage *message = EbHttpMessage_NewRequest("GET", "/");
        EbForwardClient_Send(fixture.client,
                             &(EbForwardSend){.attempt_id = id,
                                              .server_id = "s-1",
                                              .host = "127.0.0.1",
                                              .port = fixture.server->port,
                                              .request_id = "r-1",
                                              .fresh_connection = true,
                                              .max_connections = 1},
                             message);
        EbHttpMessage_Unref(message);
        fixture.count = 0;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
    }
    CU_ASSERT_EQUAL(fixture.server->accepted, 2);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_closed_one, &fixture));
    close_client(&fixture);
}

/* Guards against reporting a call as sent although its connection was refused.
 * A request that must not be repeated could then not use another server. */
void
test_client_refused(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    send_call(&fixture, 1, Port_FindUnused(), false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
    CU_ASSERT_EQUAL(fixture.kinds[0], EB_ATTEMPT_REFUSED);
    close_client(&fixture);
}

#define UPLOAD_BYTES ((size_t)16 * 1024 * 1024)

static void
check_reset_upload(ResettingServer server, bool stream)
{
    ClientFixture fixture;
    open_client(&fixture);
    ResettingServer_Open(&server, fixture.base);
    EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/x");
    char *body = g_strnfill(UPLOAD_BYTES, 'u');
    EbHttpMessage_AddBody(message, body, UPLOAD_BYTES);
    g_free(body);
    EbForwardClient_Send(fixture.client,
                         &(EbForwardSend){.attempt_id = 1,
                                          .server_id = "s-1",
                                          .host = "127.0.0.1",
                                          .port = server.port,
                                          .request_id = "r-1",
                                          .stream = stream},
                         message);
    EbHttpMessage_Unref(message);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
    EbAttemptEventKind kind = !server.takes_rest ? EB_ATTEMPT_BROKEN
                              : stream           ? EB_ATTEMPT_ENDED
                                                 : EB_ATTEMPT_ANSWERED;
    if (fixture.last_kind != kind) {
        printf("%s after %d us, half close %d: kind %s\n", server.response,
               (int)server.reset_delay_us, server.half_closes,
               EbAttemptEventKind_names[fixture.last_kind]);
    }
    CU_ASSERT_EQUAL(fixture.last_kind, kind);
    ResettingServer_Close(&server);
    close_client(&fixture);
}

/* Guards against a response without a length that counts as complete although
 * its connection was reset while the call was still being written, and against
 * giving up the response of a server that ends its output and takes the rest
 * of the call. */
void
test_client_reset_upload(void)
{
    static const int64_t delays_us[] = {0, 1000, 20000};
    for (size_t i = 0; i < G_N_ELEMENTS(delays_us); i++) {
        for (int variant = 0; variant < 4; variant++) {
            ResettingServer server = {.response = HEAD "\r\npart of it",
                                      .reset_delay_us = delays_us[i],
                                      .reads_first = variant % 2 != 0,
                                      .half_closes = variant / 2 != 0};
            check_reset_upload(server, false);
            server.response = UNFRAMED_STREAM_HEAD "id: 1\n\n";
            check_reset_upload(server, true);
        }
    }
    ResettingServer lingering = {.response = HEAD "\r\nall of it",
                                 .half_closes = true,
                                 .takes_rest = true};
    check_reset_upload(lingering, false);
    lingering.response = UNFRAMED_STREAM_HEAD "id: 1\n\n";
    check_reset_upload(lingering, true);
}

/* Guards against sending a message of which a part was refused, since the rest
 * of it may mean something else to the server. */
void
test_client_invalid(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.response = HEAD "Content-Length: 2\r\n\r\nab";
    EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/");
    EbHttpMessage_AddHeader(message, "Inputs", "a\r\n\r\n");
    EbForwardClient_Send(fixture.client,
                         &(EbForwardSend){.attempt_id = 1,
                                          .server_id = "s-1",
                                          .host = "127.0.0.1",
                                          .port = fixture.server->port},
                         message);
    EbHttpMessage_Unref(message);
    CU_ASSERT_EQUAL(fixture.count, 1);
    CU_ASSERT_EQUAL(fixture.kinds[0], EB_ATTEMPT_REFUSED);
    Loop_For(fixture.base, 20000);
    CU_ASSERT_EQUAL(fixture.server->accepted, 0);
    close_client(&fixture);
}

static bool
peer_closed(void *context)
{
    return ((ClientFixture *)context)->server->closed > 0;
}

/* Guards against a server that keeps working on a cancelled call. */
void
test_client_cancel(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    fixture.response = "";
    send_call(&fixture, 1, fixture.server->port, false);
    Loop_For(fixture.base, 50000);
    EbForwardClient_Cancel(fixture.client, 1);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, peer_closed, &fixture));
    CU_ASSERT_EQUAL(fixture.count, 0);
    close_client(&fixture);
}
