/* Tests of the network code for forwarded requests: EbHttpReader,
 * EbEventSplitter, EbForwardClient and EbForwardServer. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/forward_client.h"
#include "ebonyhollow/forward_server.h"
#include "event_splitter.h"
#include "http_reader.h"
#include "net_fixture.h"
#include "test_runner.h"

#define MAX_EVENTS 16
#define ENDLESS_BODIES 12
#define ENDLESS_PART_BYTES ((size_t)6 * 1024 * 1024)
#define MAX_BUFFERED_BYTES ((size_t)32 * 1024 * 1024)
#define ID "X-Id"
#define HEAD "HTTP/1.1 200 OK\r\n" ID ": r-1\r\n"
#define STREAM_HEAD                                                           \
    HEAD "Content-Type: text/event-stream\r\n"                                \
         "Transfer-Encoding: chunked\r\n\r\n"
/* Neither length nor chunks: the stream ends with its connection. */
#define UNFRAMED_STREAM_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"

/* The protocol of these tests has a single header with the request id. */
static EbForwardCall *
read_call(EbHttpMessage *message, EbError *error)
{
    const char *id = EbHttpMessage_FindHeader(message, ID);
    if (id == NULL) {
        EbError_Set(error, EB_ERROR_MISSING_FIELD, "no " ID);
        return NULL;
    }
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->message = EbHttpMessage_Ref(message);
    call->request_id = g_strdup(id);
    return call;
}

static void
read_reply(const EbHttpMessage *head, EbForwardReply *reply)
{
    *reply =
        (EbForwardReply){.request_id = EbHttpMessage_FindHeader(head, ID)};
}

static const EbForwardProtocol protocol = {
    .request_id_header = ID,
    .read_call = read_call,
    .read_reply = read_reply,
};

typedef struct {
    GString *body;
    unsigned heads;
    unsigned completes;
    bool reusable;
} ReadResult;

static bool
on_head(void *context, EbHttpMessage *message)
{
    ((ReadResult *)context)->heads++;
    EbHttpMessage_Unref(message);
    return true;
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    g_string_append_len(((ReadResult *)context)->body, (const char *)bytes,
                        (gssize)byte_count);
    return true;
}

static void
on_complete(void *context, bool reusable)
{
    ReadResult *read = context;
    read->completes++;
    read->reusable = reusable;
}

typedef struct {
    EbHttpReaderKind kind;
    const char *bytes;
    EbHttpReadResult result;
    const char *body;
    const char *rest; /* bytes that are not consumed; NULL: not checked */
    bool ends;        /* closing the connection completes the message */
} ReaderCase;

/* Guards against accepting ambiguous framing, and against treating bytes after
 * a message as a part of it. */
static void
test_reader(void)
{
    static const ReaderCase rows[] = {
        {EB_HTTP_REQUESTS, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET",
         EB_HTTP_READ_COMPLETE, "", "GET", false},
        {EB_HTTP_REQUESTS, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd",
         EB_HTTP_READ_COMPLETE, "abc", "d", false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nX",
         EB_HTTP_READ_COMPLETE, "abc", "X", false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
         "Content-Length: 4\r\n\r\nabcd",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS, "GET /a HTTP/1.1\r\nBad Name: x\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_RESPONSES, "HTTP/1.1 200 OK\r\n\r\nabc", EB_HTTP_READ_MORE,
         "abc", "", true},
        {EB_HTTP_RESPONSES, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
         EB_HTTP_READ_MORE, "abc", "", false},
        {EB_HTTP_RESPONSES,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         EB_HTTP_READ_MORE, "abc", "", false},
        {EB_HTTP_RESPONSES,
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Content-Length: 1\r\n\r\na",
         EB_HTTP_READ_COMPLETE, "a", "", false},
        {EB_HTTP_RESPONSES, "nonsense", EB_HTTP_READ_INVALID, "", NULL, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ReadResult read = {.body = g_string_new(NULL)};
        EbHttpReader *reader =
            EbHttpReader_New(&(EbHttpReaderOptions){.kind = rows[i].kind,
                                                    .max_header_bytes = 200,
                                                    .head = on_head,
                                                    .body = on_body,
                                                    .complete = on_complete,
                                                    .context = &read});
        size_t consumed = 0;
        size_t length = strlen(rows[i].bytes);
        EbHttpReadResult result = EbHttpReader_Feed(
            reader, (const uint8_t *)rows[i].bytes, length, &consumed);
        if (result != rows[i].result) {
            printf("row %zu: result %d\n", i, (int)result);
        }
        CU_ASSERT_EQUAL(result, rows[i].result);
        CU_ASSERT_STRING_EQUAL(read.body->str, rows[i].body);
        CU_ASSERT_EQUAL(read.completes, result == EB_HTTP_READ_COMPLETE);
        if (rows[i].rest != NULL) {
            CU_ASSERT_STRING_EQUAL(rows[i].bytes + consumed, rows[i].rest);
        }
        if (result == EB_HTTP_READ_MORE) {
            CU_ASSERT_EQUAL(EbHttpReader_HandleEof(reader), rows[i].ends);
        }
        EbHttpReader_Free(reader);
        g_string_free(read.body, TRUE);
    }
}

/* Guards against unlimited memory use for a header that never ends. */
static void
test_header_limit(void)
{
    ReadResult read = {.body = g_string_new(NULL)};
    EbHttpReader *reader =
        EbHttpReader_New(&(EbHttpReaderOptions){.kind = EB_HTTP_REQUESTS,
                                                .max_header_bytes = 64,
                                                .head = on_head,
                                                .body = on_body,
                                                .complete = on_complete,
                                                .context = &read});
    char *value = g_strnfill(200, 'a');
    char *bytes = g_strconcat("GET / HTTP/1.1\r\nX: ", value, NULL);
    size_t consumed = 0;
    CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)bytes,
                                      strlen(bytes), &consumed),
                    EB_HTTP_READ_TOO_LARGE);
    g_free(bytes);
    g_free(value);
    EbHttpReader_Free(reader);
    g_string_free(read.body, TRUE);
}

/* Guards against reading for ever what is no response: each row's unit comes
 * again and again, and reading must end with an error within a few times the
 * header limit. */
static void
test_endless_bytes(void)
{
    static const struct {
        const char *name;
        const char *start;
        const char *unit;
    } rows[] = {
        {"empty lines before the status line", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "aaaaaaaa"},
        {"header name", "HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
        {"header value", "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
        {"space before a header value", "HTTP/1.1 200 OK\r\nX:", "        "},
        {"headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        {"empty headers", "HTTP/1.1 200 OK\r\n", "X:\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim responses with headers", "",
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
        {"chunk size", HEAD "Transfer-Encoding: chunked\r\n\r\n", "00000000"},
        {"chunk extension", HEAD "Transfer-Encoding: chunked\r\n\r\n1;",
         "aaaaaaaa"},
        {"long chunk extensions", HEAD "Transfer-Encoding: chunked\r\n\r\n",
         "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "\r\na\r\n"},
        {"trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "X: a\r\n"},
        {"empty trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "X:\r\n"},
    };
    static const size_t max_header_bytes = 4096;
    static const size_t limit_bytes = 262144;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ReadResult read = {.body = g_string_new(NULL)};
        EbHttpReader *reader = EbHttpReader_New(
            &(EbHttpReaderOptions){.kind = EB_HTTP_RESPONSES,
                                   .max_header_bytes = max_header_bytes,
                                   .head = on_head,
                                   .body = on_body,
                                   .complete = on_complete,
                                   .context = &read});
        size_t fed = 0;
        size_t consumed = 0;
        const char *bytes = rows[i].start;
        EbHttpReadResult result = EB_HTTP_READ_MORE;
        while (result == EB_HTTP_READ_MORE && fed < limit_bytes) {
            result = EbHttpReader_Feed(reader, (const uint8_t *)bytes,
                                       strlen(bytes), &consumed);
            fed += strlen(bytes);
            bytes = rows[i].unit;
        }
        bool ended =
            result == EB_HTTP_READ_TOO_LARGE || result == EB_HTTP_READ_INVALID;
        if (!ended) {
            printf("%s: still read after %zu bytes\n", rows[i].name, fed);
        }
        CU_ASSERT_TRUE(ended);
        CU_ASSERT_EQUAL(read.completes, 0);
        EbHttpReader_Free(reader);
        g_string_free(read.body, TRUE);
    }
}

/* Guards against a limit that also ends a sound response: many small chunks
 * take more bytes for their sizes than for their contents. */
static void
test_small_chunks(void)
{
    static const unsigned chunks = 20000;
    ReadResult read = {.body = g_string_new(NULL)};
    EbHttpReader *reader =
        EbHttpReader_New(&(EbHttpReaderOptions){.kind = EB_HTTP_RESPONSES,
                                                .max_header_bytes = 4096,
                                                .head = on_head,
                                                .body = on_body,
                                                .complete = on_complete,
                                                .context = &read});
    static const char head[] = HEAD "Transfer-Encoding: chunked\r\n\r\n";
    static const char chunk[] = "1;a=b\r\nx\r\n";
    static const char end[] = "0\r\n\r\n";
    size_t consumed = 0;
    EbHttpReader_Feed(reader, (const uint8_t *)head, strlen(head), &consumed);
    for (unsigned i = 0; i < chunks; i++) {
        CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)chunk,
                                          strlen(chunk), &consumed),
                        EB_HTTP_READ_MORE);
    }
    CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)end,
                                      strlen(end), &consumed),
                    EB_HTTP_READ_COMPLETE);
    CU_ASSERT_EQUAL(read.body->len, chunks);
    EbHttpReader_Free(reader);
    g_string_free(read.body, TRUE);
}

typedef struct {
    GString *text;
    int64_t last_id;
    unsigned count;
} SeenEvents;

static void
on_stream_event(void *context, int64_t id, const uint8_t *bytes,
                size_t byte_count)
{
    SeenEvents *seen = context;
    seen->last_id = id;
    seen->count++;
    g_string_append_len(seen->text, (const char *)bytes, (gssize)byte_count);
}

/* Guards against events that are truncated, changed or passed on incomplete,
 * wherever reads split the stream. */
static void
test_event_splitter(void)
{
    static const char stream[] =
        "id: 3\ndata: a\n\nversion: 2\nid: 4\ndata: b\n\ndata: c\r\n\r\nid: 9";
    static const size_t whole_bytes = sizeof(stream) - 1 - strlen("id: 9");
    for (size_t step = 1; step < sizeof(stream); step++) {
        SeenEvents seen = {.text = g_string_new(NULL)};
        EbEventSplitter *splitter =
            EbEventSplitter_New(on_stream_event, &seen);
        for (size_t at = 0; at < sizeof(stream) - 1; at += step) {
            size_t count = MIN(step, sizeof(stream) - 1 - at);
            CU_ASSERT_TRUE(EbEventSplitter_Feed(
                splitter, (const uint8_t *)stream + at, count));
        }
        CU_ASSERT_EQUAL(seen.count, 3);
        CU_ASSERT_EQUAL(seen.last_id, -1);
        CU_ASSERT_EQUAL(seen.text->len, whole_bytes);
        CU_ASSERT_EQUAL(memcmp(seen.text->str, stream, whole_bytes), 0);
        CU_ASSERT_FALSE(EbEventSplitter_IsEmpty(splitter));
        EbEventSplitter_Free(splitter);
        g_string_free(seen.text, TRUE);
    }
}

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
    fixture->client =
        EbForwardClient_New(&(EbForwardClientOptions){.base = fixture->base,
                                                      .protocol = &protocol,
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

/* Guards against accepting an incomplete response or a response to another
 * call, and against reusing a connection that the server closes or on which
 * extra bytes arrived. */
static void
test_client_responses(void)
{
    static const ClientRow rows[] = {
        {"whole response", HEAD "Content-Length: 2\r\n\r\nab", false, false,
         false, EB_ATTEMPT_ANSWERED, "ab", "", 1},
        {"close announced",
         HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nab", false, true,
         false, EB_ATTEMPT_ANSWERED, "ab", "", 2},
        {"ended by closing the connection", HEAD "\r\nab", false, true, false,
         EB_ATTEMPT_ANSWERED, "ab", "", 2},
        {"reset before the end", HEAD "\r\nab", false, false, true,
         EB_ATTEMPT_BROKEN, "", "", 2},
        {"truncated", HEAD "Content-Length: 9\r\n\r\nab", false, true, false,
         EB_ATTEMPT_BROKEN, "", "", 2},
        {"bytes after the response",
         HEAD "Content-Length: 2\r\n\r\nabHTTP/1.1", false, false, false,
         EB_ATTEMPT_ANSWERED, "ab", "", 2},
        {"late response to another call",
         "HTTP/1.1 200 OK\r\n" ID ": r-0\r\nContent-Length: 1\r\n\r\nz" HEAD
         "Content-Length: 2\r\n\r\nab",
         false, false, false, EB_ATTEMPT_ANSWERED, "ab", "", 1},
        {"not HTTP", "nonsense\r\n\r\n", false, false, false,
         EB_ATTEMPT_MALFORMED, "", "", 2},
        {"stream with bytes after its last event",
         STREAM_HEAD "8\r\nid: 1\n\n\n\r\n0\r\n\r\n", true, false, false,
         EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 1},
        {"whole stream", STREAM_HEAD "7\r\nid: 1\n\n\r\n0\r\n\r\n", true,
         false, false, EB_ATTEMPT_ENDED, "", "id: 1\n\n", 1},
        {"stream without its end", STREAM_HEAD "7\r\nid: 1\n\n\r\n", true,
         true, false, EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
        {"stream that ends with its connection",
         UNFRAMED_STREAM_HEAD "id: 1\n\nid: 2\n\n", true, true, false,
         EB_ATTEMPT_ENDED, "", "id: 1\n\nid: 2\n\n", 2},
        {"stream whose connection ends in an event",
         UNFRAMED_STREAM_HEAD "id: 1\n\nid: 2\n", true, true, false,
         EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
        {"stream whose connection ends before an event", UNFRAMED_STREAM_HEAD,
         true, true, false, EB_ATTEMPT_ENDED, "", "", 2},
        {"stream whose connection is reset after an event",
         UNFRAMED_STREAM_HEAD "id: 1\n\n", true, false, true,
         EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
        {"stream truncated in an event", STREAM_HEAD "9\r\nid: 1\n\nid\r\n",
         true, true, false, EB_ATTEMPT_BROKEN, "", "id: 1\n\n", 2},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ClientFixture fixture;
        open_client(&fixture);
        fixture.response = rows[i].response;
        fixture.closes = rows[i].closes;
        fixture.resets = rows[i].resets;
        send_call(&fixture, 1, fixture.server->port, rows[i].stream);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        bool expected = fixture.kinds[fixture.count - 1] == rows[i].last &&
                        strcmp(fixture.body->str, rows[i].body) == 0 &&
                        strcmp(fixture.events->str, rows[i].events) == 0;
        CU_ASSERT_TRUE(expected);
        fixture.count = 0;
        send_call(&fixture, 2, fixture.server->port, rows[i].stream);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
        if (fixture.server->accepted != rows[i].connections || !expected) {
            printf("%s: %u connections, kind %s, events %s\n", rows[i].name,
                   fixture.server->accepted,
                   EbAttemptEventKind_names[fixture.kinds[0]],
                   fixture.events->str);
        }
        CU_ASSERT_EQUAL(fixture.server->accepted, rows[i].connections);
        close_client(&fixture);
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
static void
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
static void
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

/* Guards against reading for ever a stream whose bytes are no answer, and
 * against passing more than a little of it on to the caller. */
static void
test_client_endless_stream(void)
{
    static const EndlessStream rows[] = {
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
static void
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

static bool
has_closed_one(void *context)
{
    return ((ClientFixture *)context)->server->closed == 1;
}

/* Guards against opening more connections than the server accepts, which it
 * would reset together with the calls on them. */
static void
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
static void
test_client_refused(void)
{
    ClientFixture fixture;
    open_client(&fixture);
    send_call(&fixture, 1, Port_FindUnused(), false);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_ended, &fixture));
    CU_ASSERT_EQUAL(fixture.kinds[0], EB_ATTEMPT_REFUSED);
    close_client(&fixture);
}

static bool
peer_closed(void *context)
{
    return ((ClientFixture *)context)->server->closed > 0;
}

/* Guards against a server that keeps working on a cancelled call. */
static void
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

typedef struct {
    struct event_base *base;
    EbSettings settings;
    EbForwardServer *server;
    RawClient *client;
    unsigned submitted, wanted_submitted;
    unsigned gone;
    char *body;
    const char *wanted;
} ServerFixture;

static uint64_t
on_submit(void *context, EbForwardCall *call)
{
    ServerFixture *fixture = context;
    g_free(fixture->body);
    fixture->body = g_strndup((const char *)call->message->body,
                              call->message->body_bytes);
    return ++fixture->submitted;
}

static void
on_caller_gone(void *context, uint64_t request)
{
    (void)request;
    ((ServerFixture *)context)->gone++;
}

static void
on_flow_control(void *context, uint64_t request, bool paused)
{
    (void)context;
    (void)request;
    (void)paused;
}

static void
open_server(ServerFixture *fixture)
{
    *fixture = (ServerFixture){
        .base = event_base_new(),
        .settings = {.caller = {.host = "127.0.0.1", .port = 0},
                     .max_body_bytes = 16,
                     .max_header_bytes = 512,
                     .max_connections = 4,
                     .max_buffer_bytes = 1000,
                     .header_timeout_us = 5000000}};
    fixture->server = EbForwardServer_New(
        &(EbForwardServerOptions){.base = fixture->base,
                                  .settings = &fixture->settings,
                                  .protocol = &protocol,
                                  .submit = on_submit,
                                  .caller_gone = on_caller_gone,
                                  .flow_control = on_flow_control,
                                  .context = fixture},
        NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(fixture->server);
    fixture->client =
        RawClient_New(fixture->base, EbForwardServer_Port(fixture->server));
}

static void
close_server(ServerFixture *fixture)
{
    RawClient_Free(fixture->client);
    EbForwardServer_Free(fixture->server);
    g_free(fixture->body);
    event_base_free(fixture->base);
}

static bool
has_text(void *context)
{
    const ServerFixture *fixture = context;
    return strstr(fixture->client->text, fixture->wanted) != NULL;
}

static bool
is_closed(void *context)
{
    return ((ServerFixture *)context)->client->closed;
}

static bool
is_submitted(void *context)
{
    return ((ServerFixture *)context)->submitted > 0;
}

static bool
is_caller_gone(void *context)
{
    return ((ServerFixture *)context)->gone > 0;
}

#define REQUEST "POST /a HTTP/1.1\r\nHost: h\r\n" ID ": r-1\r\n"

/* Guards against submitting malformed requests, and against rejecting them
 * without an error status. */
static void
test_server_rejects(void)
{
    static const struct {
        const char *bytes;
        const char *status;
    } rows[] = {
        {"nonsense\r\n\r\n", "HTTP/1.1 400 "},
        {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
         "HTTP/1.1 400 "},
        {REQUEST "Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
         "HTTP/1.1 400 "},
        {REQUEST "Content-Length: 17\r\n\r\n01234567890123456",
         "HTTP/1.1 413 "},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ServerFixture fixture;
        open_server(&fixture);
        RawClient_Send(fixture.client, rows[i].bytes);
        fixture.wanted = rows[i].status;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
        CU_ASSERT_EQUAL(fixture.submitted, 0);
        close_server(&fixture);
    }
}

static void
answer(ServerFixture *fixture, EbOutcome outcome, EbReason reason,
       EbHttpMessage *reply)
{
    EbForwardServer_Answer(fixture->server,
                           &(EbAnswer){.request = fixture->submitted,
                                       .outcome = outcome,
                                       .reason = reason,
                                       .reply = reply,
                                       .retry_after_us = 1250000});
}

/* Guards against a status that means "not run" for a request that may have
 * run, and against one that means "may have run" for a request that did not.
 */
static void
test_server_error_responses(void)
{
    static const struct {
        EbOutcome outcome;
        EbReason reason;
        const char *status;
        bool retry_after;
    } rows[] = {
        {EB_OUTCOME_NOT_RUN, EB_REASON_OVERLOADED, "HTTP/1.1 503 ", true},
        {EB_OUTCOME_NOT_RUN, EB_REASON_BACKEND_FAILED, "HTTP/1.1 503 ", true},
        {EB_OUTCOME_NOT_RUN, EB_REASON_UNAUTHENTICATED, "HTTP/1.1 401 ", true},
        {EB_OUTCOME_NOT_RUN, EB_REASON_UNKNOWN_PIPELINE, "HTTP/1.1 404 ",
         true},
        {EB_OUTCOME_FAILED, EB_REASON_NO_BACKEND_SERVER, "HTTP/1.1 502 ",
         false},
        {EB_OUTCOME_UNKNOWN, EB_REASON_SHUTDOWN, "HTTP/1.1 502 ", false},
        {EB_OUTCOME_UNKNOWN, EB_REASON_DEADLINE_EXCEEDED, "HTTP/1.1 504 ",
         false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ServerFixture fixture;
        open_server(&fixture);
        RawClient_Send(fixture.client, REQUEST "Content-Length: 2\r\n\r\nab");
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
        CU_ASSERT_STRING_EQUAL(fixture.body, "ab");
        answer(&fixture, rows[i].outcome, rows[i].reason, NULL);
        fixture.wanted = rows[i].status;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
        CU_ASSERT_PTR_NOT_NULL(strstr(fixture.client->text, ID ": r-1\r\n"));
        CU_ASSERT_EQUAL(
            strstr(fixture.client->text, "Retry-After: 1.250\r\n") != NULL,
            rows[i].retry_after);
        close_server(&fixture);
    }
}

static void
relay(ServerFixture *fixture, EbHttpMessage *head, const char *bytes)
{
    EbForwardServer_Relay(fixture->server,
                          &(EbRelay){.request = fixture->submitted,
                                     .head = head,
                                     .bytes = (uint8_t *)bytes,
                                     .byte_count = strlen(bytes)});
}

/* Guards against an incomplete stream that looks complete to the caller, and
 * against a complete stream that looks incomplete. */
static void
test_server_stream(void)
{
    for (int whole = 0; whole < 2; whole++) {
        ServerFixture fixture;
        open_server(&fixture);
        RawClient_Send(fixture.client, REQUEST "Content-Length: 0\r\n\r\n");
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
        EbHttpMessage *head = EbHttpMessage_NewResponse(200);
        EbHttpMessage_AddHeader(head, "Seal", "s");
        EbHttpMessage_AddHeader(head, "Content-Length", "5");
        relay(&fixture, head, "id: 1\n\n");
        EbHttpMessage_Unref(head);
        fixture.wanted = "7\r\nid: 1\n\n\r\n";
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
        CU_ASSERT_PTR_NOT_NULL(strstr(fixture.client->text, "Seal: s\r\n"));
        CU_ASSERT_PTR_NULL(strstr(fixture.client->text, "Content-Length"));
        answer(&fixture, whole ? EB_OUTCOME_DONE : EB_OUTCOME_UNKNOWN,
               whole ? EB_REASON_NONE : EB_REASON_BACKEND_FAILED, NULL);
        fixture.wanted = "0\r\n\r\n";
        CU_ASSERT_TRUE(
            Loop_Until(fixture.base, whole ? has_text : is_closed, &fixture));
        CU_ASSERT_EQUAL(has_text(&fixture), whole);
        close_server(&fixture);
    }
}

/* Guards against a pipelined request that is submitted before the first one is
 * answered, and against losing it. */
static void
test_server_pipelined(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    RawClient_Send(fixture.client, REQUEST "Content-Length: 1\r\n\r\na" REQUEST
                                           "Content-Length: 1\r\n\r\nb");
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
    Loop_For(fixture.base, 20000);
    CU_ASSERT_EQUAL(fixture.submitted, 1);
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    answer(&fixture, EB_OUTCOME_DONE, EB_REASON_NONE, reply);
    EbHttpMessage_Unref(reply);
    CU_ASSERT_EQUAL(fixture.submitted, 2);
    CU_ASSERT_STRING_EQUAL(fixture.body, "b");
    close_server(&fixture);
}

/* Guards against working for a caller that disconnected before its answer. */
static void
test_server_caller_gone(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    RawClient_Send(fixture.client, REQUEST "Content-Length: 0\r\n\r\n");
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
    RawClient_Free(fixture.client);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_caller_gone, &fixture));
    CU_ASSERT_EQUAL(EbForwardServer_PendingCount(fixture.server), 0);
    fixture.client =
        RawClient_New(fixture.base, EbForwardServer_Port(fixture.server));
    close_server(&fixture);
}

/* Guards against a drain that interrupts a request, and against a connection
 * that stays open afterwards. */
static void
test_server_drain(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    RawClient_Send(fixture.client, REQUEST "Content-Length: 0\r\n\r\n");
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
    EbForwardServer_StopAccepting(fixture.server);
    CU_ASSERT_EQUAL(EbForwardServer_PendingCount(fixture.server), 1);
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    EbHttpMessage_AddBody(reply, "done", 4);
    answer(&fixture, EB_OUTCOME_DONE, EB_REASON_NONE, reply);
    EbHttpMessage_Unref(reply);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_closed, &fixture));
    CU_ASSERT_PTR_NOT_NULL(strstr(fixture.client->text, "done"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(fixture.client->text, "Connection: close\r\n"));
    CU_ASSERT_EQUAL(EbForwardServer_PendingCount(fixture.server), 0);
    close_server(&fixture);
}

/* Connects and sends a request without running the event loop, so that the
 * server has neither accepted the connection nor read from it. */
static int
send_unseen(uint16_t port, int socket_fd)
{
    static const char request[] = REQUEST "Content-Length: 0\r\n\r\n";
    if (socket_fd < 0) {
        struct sockaddr_in address = {.sin_family = AF_INET,
                                      .sin_port = htons(port),
                                      .sin_addr = {htonl(INADDR_LOOPBACK)}};
        socket_fd = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL_FATAL(
            connect(socket_fd, (struct sockaddr *)&address, sizeof(address)),
            0);
    }
    CU_ASSERT_EQUAL(send(socket_fd, request, strlen(request), 0),
                    (ssize_t)strlen(request));
    return socket_fd;
}

static void
answer_done(ServerFixture *fixture)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    answer(fixture, EB_OUTCOME_DONE, EB_REASON_NONE, reply);
    EbHttpMessage_Unref(reply);
}

/* Returns whether the next bytes on a socket are a response with status 200.
 */
static bool
receives_success(int socket_fd)
{
    char text[256] = "";
    ssize_t count = recv(socket_fd, text, sizeof(text) - 1, MSG_DONTWAIT);
    return count > 0 && strncmp(text, "HTTP/1.1 200 ", 13) == 0;
}

static bool
has_all_submitted(void *context)
{
    const ServerFixture *fixture = context;
    return fixture->submitted >= fixture->wanted_submitted;
}

/* Guards against a planned stop that cuts off requests that have just arrived:
 * on a connection that is not accepted yet, and on a kept connection whose
 * bytes are not read yet. */
static void
test_server_drain_arrived(void)
{
    static const int rounds = 300;
    for (int i = 0; i < rounds; i++) {
        bool kept = i % 2 == 1;
        ServerFixture fixture;
        open_server(&fixture);
        uint16_t port = EbForwardServer_Port(fixture.server);
        int fd = send_unseen(port, -1);
        fixture.wanted_submitted = 1;
        if (kept) {
            CU_ASSERT_TRUE(
                Loop_Until(fixture.base, has_all_submitted, &fixture));
            answer_done(&fixture);
            Loop_For(fixture.base, 1000);
            CU_ASSERT_TRUE(receives_success(fd));
            send_unseen(port, fd);
            fixture.wanted_submitted = 2;
        }
        EbForwardServer_StopAccepting(fixture.server);
        CU_ASSERT_TRUE(EbForwardServer_PendingCount(fixture.server) > 0);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_all_submitted, &fixture));
        answer_done(&fixture);
        Loop_For(fixture.base, 1000);
        CU_ASSERT_TRUE(receives_success(fd));
        close(fd);
        close_server(&fixture);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"reader", test_reader},
        {"header limit", test_header_limit},
        {"endless bytes", test_endless_bytes},
        {"small chunks", test_small_chunks},
        {"event splitter", test_event_splitter},
        {"client responses", test_client_responses},
        {"client late copy", test_client_late_copy},
        {"client endless late body", test_client_endless_late_body},
        {"client endless stream", test_client_endless_stream},
        {"client endless bodies", test_client_endless_bodies},
        {"client connection limit", test_client_connection_limit},
        {"client refused", test_client_refused},
        {"client cancel", test_client_cancel},
        {"server rejects", test_server_rejects},
        {"server error responses", test_server_error_responses},
        {"server stream", test_server_stream},
        {"server pipelined", test_server_pipelined},
        {"server caller gone", test_server_caller_gone},
        {"server drain", test_server_drain},
        {"server drain, requests that just arrived",
         test_server_drain_arrived},
    };
    return EbTest_Run("test_forward_net", cases, G_N_ELEMENTS(cases));
}
