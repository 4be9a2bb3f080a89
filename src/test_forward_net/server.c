/* Tests of EbForwardServer. */
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "client_guard.h"
#include "ebonyhollow/forward_server.h"
#include "forward_net.h"
#include "net_fixture.h"
#include "test_runner.h"

typedef struct {
    struct event_base *base;
    EbSettings settings;
    EbClientGuard *guard;
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
open_limited_server(ServerFixture *fixture, uint64_t max_bytes)
{
    *fixture = (ServerFixture){
        .base = event_base_new(),
        .settings = {.caller = {.host = "127.0.0.1", .port = 0},
                     .max_body_bytes = 16,
                     .max_header_bytes = 512,
                     .max_connections = 4,
                     .max_buffer_bytes = 1000,
                     .header_timeout_us = 5000000}};
    fixture->guard = EbClientGuard_New(&(EbClientGuardOptions){
        .base = fixture->base, .max_bytes = max_bytes});
    fixture->server = EbForwardServer_New(
        &(EbForwardServerOptions){.base = fixture->base,
                                  .settings = &fixture->settings,
                                  .protocol = &test_protocol,
                                  .guard = fixture->guard,
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
open_server(ServerFixture *fixture)
{
    open_limited_server(fixture, 0);
}

static void
close_server(ServerFixture *fixture)
{
    RawClient_Free(fixture->client);
    EbForwardServer_Free(fixture->server);
    EbClientGuard_Free(fixture->guard);
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
has_all_submitted(void *context)
{
    const ServerFixture *fixture = context;
    return fixture->submitted >= fixture->wanted_submitted;
}

static bool
is_caller_gone(void *context)
{
    return ((ServerFixture *)context)->gone > 0;
}

#define REQUEST "POST /a HTTP/1.1\r\nHost: h\r\n" ID ": r-1\r\n"

/* Guards against submitting malformed requests, and against rejecting them
 * without an error status. */
void
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
void
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
void
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

#define HEAD_REQUEST "HEAD /a HTTP/1.1\r\nHost: h\r\n" ID ": r-1\r\n\r\n"

/* Returns a server's response as EbForwardClient reports it. */
static EbHttpMessage *
new_reply(uint16_t status, const char *length)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(status);
    EbHttpMessage_AddHeader(reply, "Seal", "s");
    if (length != NULL) {
        EbHttpMessage_AddHeader(reply, "Content-Length", length);
    }
    return reply;
}

/* Guards against a response whose status or request allows no body but that
 * has one, or names a length that isn't its own (RFC 9110, section 8.6): the
 * caller would read the body as the beginning of the next response. */
void
test_server_no_body(void)
{
    static const struct {
        const char *request;
        uint16_t status;    /* of the server's response; 0: the daemon's own */
        const char *length; /* that the server names */
        const char *sent;   /* the length in the response; NULL: none */
    } rows[] = {
        {HEAD_REQUEST, 0, NULL, "39"},
        {HEAD_REQUEST, 200, "5", "5"},
        {HEAD_REQUEST, 200, NULL, NULL},
        {HEAD_REQUEST, 204, "5", NULL},
        {REQUEST "Content-Length: 0\r\n\r\n", 204, "5", NULL},
        {REQUEST "Content-Length: 0\r\n\r\n", 304, "5", "5"},
        {REQUEST "Content-Length: 0\r\n\r\n", 304, NULL, NULL},
        {REQUEST "Content-Length: 0\r\n\r\n", 200, NULL, "0"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ServerFixture fixture;
        open_server(&fixture);
        RawClient_Send(fixture.client, rows[i].request);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
        EbHttpMessage *reply = rows[i].status != 0
                                   ? new_reply(rows[i].status, rows[i].length)
                                   : NULL;
        answer(&fixture, reply != NULL ? EB_OUTCOME_DONE : EB_OUTCOME_NOT_RUN,
               reply != NULL ? EB_REASON_NONE : EB_REASON_NO_BACKEND_SERVER,
               reply);
        EbHttpMessage_Unref(reply);
        fixture.wanted = "\r\n\r\n";
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
        Loop_For(fixture.base, 20000);
        const char *text = fixture.client->text;
        CU_ASSERT_EQUAL(strlen(strstr(text, "\r\n\r\n")), 4);
        char *length =
            g_strdup_printf("Content-Length: %s\r\n",
                            rows[i].sent != NULL ? rows[i].sent : "");
        bool expected = rows[i].sent != NULL
                            ? strstr(text, length) != NULL
                            : strstr(text, "Content-Length") == NULL;
        if (!expected) {
            printf("row %zu: %s", i, text);
        }
        CU_ASSERT_TRUE(expected);
        g_free(length);
        close_server(&fixture);
    }
}

/* Guards against chunks, or the end of chunks, behind the head of a stream
 * that answers HEAD. */
void
test_server_stream_head(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    for (unsigned i = 1; i <= 2; i++) {
        fixture.wanted_submitted = i;
        RawClient_Send(fixture.client, HEAD_REQUEST);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_all_submitted, &fixture));
        EbHttpMessage *head = new_reply(200, NULL);
        relay(&fixture, head, "id: 1\n\n");
        EbHttpMessage_Unref(head);
        answer(&fixture, EB_OUTCOME_DONE, EB_REASON_NONE, NULL);
    }
    fixture.wanted = "chunked\r\n\r\nHTTP/1.1 200 OK\r\n";
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
    Loop_For(fixture.base, 20000);
    CU_ASSERT_TRUE(g_str_has_suffix(fixture.client->text, "chunked\r\n\r\n"));
    CU_ASSERT_FALSE(fixture.client->closed);
    close_server(&fixture);
}

/* Guards against a pipelined request that is submitted before the first one is
 * answered, and against losing it. */
void
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

/* Guards against a trailer field (RFC 9112, section 7.1.2) that ends the
 * process when the next request arrives on its connection. */
void
test_server_trailers(void)
{
    static const char request[] = REQUEST "Transfer-Encoding: chunked\r\n\r\n"
                                          "2\r\nab\r\n0\r\nSum: 1\r\n\r\n";
    ServerFixture fixture;
    open_server(&fixture);
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    for (unsigned i = 1; i <= 3; i++) {
        fixture.wanted_submitted = i;
        RawClient_Send(fixture.client, request);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_all_submitted, &fixture));
        CU_ASSERT_STRING_EQUAL(fixture.body, "ab");
        answer(&fixture, EB_OUTCOME_DONE, EB_REASON_NONE, reply);
    }
    CU_ASSERT_FALSE(fixture.client->closed);
    EbHttpMessage_Unref(reply);
    close_server(&fixture);
}

/* Connects a socket that accepts few bytes before it is read, and sends a
 * request on it. */
static int
connect_slow_reader(const ServerFixture *fixture, int buffer_bytes,
                    const char *requests)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
        .sin_port = htons(EbForwardServer_Port(fixture->server))};
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    0);
    CU_ASSERT_EQUAL(write(fd, requests, strlen(requests)),
                    (ssize_t)strlen(requests));
    return fd;
}

static void
answer_large(ServerFixture *fixture, size_t body_bytes)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    char *body = g_strnfill(body_bytes, 'a');
    EbHttpMessage_AddBody(reply, body, body_bytes);
    answer(fixture, EB_OUTCOME_DONE, EB_REASON_NONE, reply);
    EbHttpMessage_Unref(reply);
    g_free(body);
}

/* Guards against requests that are run while the caller reads none of their
 * answers, which then fill the memory, and against counting only the unsent
 * part of an answer that is held as a whole. */
void
test_server_unread_answers(void)
{
    enum { ANSWER_BYTES = 16 * 1024 * 1024 };
    ServerFixture fixture;
    open_server(&fixture);
    static const char requests[] = REQUEST "Content-Length: 0\r\n\r\n" REQUEST
                                           "Content-Length: 0\r\n\r\n";
    int fd = connect_slow_reader(&fixture, 1, requests);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
    answer_large(&fixture, ANSWER_BYTES);
    Loop_For(fixture.base, 50000);
    CU_ASSERT_EQUAL(fixture.submitted, 1);
    CU_ASSERT_EQUAL(write(fd, "P", 1), 1); /* the account is updated */
    Loop_For(fixture.base, 20000);
    CU_ASSERT_TRUE(EbIntake_Bytes(EbClientGuard_Intake(fixture.guard)) >=
                   ANSWER_BYTES);
    close(fd);
    close_server(&fixture);
}

/* Guards against limits of the configuration that are not applied to an open
 * connection from its next request on, and against applying odd ones. */
void
test_server_limits(void)
{
    static const struct {
        EbConfigLimits limits;
        const char *status; /* NULL: the request is submitted */
    } rows[] = {
        {{.max_body_bytes = 8}, "HTTP/1.1 413 "},
        {{.max_body_bytes = 16}, NULL},
        {{0}, NULL},
        {{.max_header_bytes = 20}, "HTTP/1.1 431 "},
        {{.max_header_bytes = 4096, .max_body_bytes = 12}, NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ServerFixture fixture;
        open_server(&fixture);
        RawClient_Send(fixture.client, REQUEST "Content-Length: 2\r\n\r\nab");
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
        answer(&fixture, EB_OUTCOME_NOT_RUN, EB_REASON_OVERLOADED, NULL);
        EbForwardServer_SetLimits(fixture.server, &rows[i].limits);
        fixture.submitted = 0;
        RawClient_Send(fixture.client,
                       REQUEST "Content-Length: 12\r\n\r\n012345678901");
        fixture.wanted = rows[i].status;
        CU_ASSERT_TRUE(Loop_Until(
            fixture.base, rows[i].status != NULL ? has_text : is_submitted,
            &fixture));
        CU_ASSERT_EQUAL(fixture.submitted, rows[i].status == NULL);
        close_server(&fixture);
    }
}

/* Guards against closing a connection before it has been idle for as long as
 * the configuration allows, and against keeping it. */
void
test_server_idle_timeout(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    Loop_For(fixture.base, 10000);
    EbForwardServer_SetLimits(fixture.server,
                              &(EbConfigLimits){.header_timeout_us = 50000,
                                                .idle_timeout_us = 400000});
    Loop_For(fixture.base, 200000);
    CU_ASSERT_FALSE(fixture.client->closed);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_closed, &fixture));
    close_server(&fixture);
}

/* Guards against waiting for a head that comes a byte at a time. */
void
test_server_slow_head(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    EbForwardServer_SetLimits(fixture.server,
                              &(EbConfigLimits){.header_timeout_us = 100000});
    for (int i = 0; i < 20 && !fixture.client->closed; i++) {
        RawClient_Send(fixture.client, i == 0 ? "POST /" : "a");
        Loop_For(fixture.base, 20000);
    }
    fixture.wanted = "HTTP/1.1 408 ";
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
    close_server(&fixture);
}

/* Guards against a request that is refused for want of memory and submitted
 * nevertheless, or refused without saying when to come back. */
void
test_server_memory(void)
{
    ServerFixture fixture;
    open_server(&fixture);
    EbForwardServer_Free(fixture.server);
    fixture.settings.client_memory_bytes = 20000;
    fixture.settings.max_body_bytes = 100000;
    fixture.server = EbForwardServer_New(
        &(EbForwardServerOptions){.base = fixture.base,
                                  .settings = &fixture.settings,
                                  .protocol = &test_protocol,
                                  .submit = on_submit,
                                  .caller_gone = on_caller_gone,
                                  .flow_control = on_flow_control,
                                  .context = &fixture},
        NULL);
    RawClient_Free(fixture.client);
    fixture.client =
        RawClient_New(fixture.base, EbForwardServer_Port(fixture.server));
    RawClient_Send(fixture.client, REQUEST "Content-Length: 60000\r\n\r\n");
    fixture.wanted = "HTTP/1.1 503 ";
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_text, &fixture));
    CU_ASSERT_PTR_NOT_NULL(strstr(fixture.client->text, "Retry-After: 1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(fixture.client->text, ID ": r-1\r\n"));
    CU_ASSERT_EQUAL(fixture.submitted, 0);
    close_server(&fixture);
}

/* Guards against connections without requests that keep others out. */
void
test_server_connections(void)
{
    enum { SILENT = 8 }; /* twice max_connections */
    ServerFixture fixture;
    open_server(&fixture);
    RawClient *silent[SILENT];
    for (int i = 0; i < SILENT; i++) {
        silent[i] =
            RawClient_New(fixture.base, EbForwardServer_Port(fixture.server));
        Loop_For(fixture.base, 1000);
    }
    RawClient_Free(fixture.client);
    fixture.client =
        RawClient_New(fixture.base, EbForwardServer_Port(fixture.server));
    RawClient_Send(fixture.client, REQUEST "Content-Length: 0\r\n\r\n");
    CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
    for (int i = 0; i < SILENT; i++) {
        RawClient_Free(silent[i]);
    }
    close_server(&fixture);
}

/* Guards against a listener that uses a processor while no descriptor is left,
 * or that doesn't serve a caller although another one is silent. */
void
test_server_descriptors(void)
{
    for (int silent = 0; silent < 2; silent++) {
        ServerFixture fixture;
        open_server(&fixture);
        if (!silent) {
            RawClient_Free(fixture.client);
        }
        Loop_For(fixture.base, 20000);
        RawClient *late =
            RawClient_New(fixture.base, EbForwardServer_Port(fixture.server));
        RawClient_Send(late, REQUEST "Content-Length: 0\r\n\r\n");
        uint64_t limit = Descriptors_Exhaust();
        clock_t begin = clock();
        Loop_For(fixture.base, 400000);
        CU_ASSERT_TRUE(clock() - begin < CLOCKS_PER_SEC / 5);
        CU_ASSERT_EQUAL(fixture.submitted, (unsigned)silent);
        Descriptors_Restore(limit);
        CU_ASSERT_TRUE(Loop_Until(fixture.base, is_submitted, &fixture));
        if (!silent) {
            fixture.client = RawClient_New(
                fixture.base, EbForwardServer_Port(fixture.server));
        }
        RawClient_Free(late);
        close_server(&fixture);
    }
}

/* Guards against connections of callers that take the descriptors needed for
 * servers, the store and peers. */
void
test_server_descriptor_limit(void)
{
    struct event_base *base = event_base_new();
    EbClientGuard *guard =
        EbClientGuard_New(&(EbClientGuardOptions){.base = base});
    struct rlimit before;
    getrlimit(RLIMIT_NOFILE, &before);
    struct rlimit lowered = {.rlim_cur = 400, .rlim_max = before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    CU_ASSERT_EQUAL(EbClientGuard_CapConnections(
                        guard, 1024, EB_CALLER_DESCRIPTORS_PERMILLE),
                    150);
    CU_ASSERT_EQUAL(EbClientGuard_CapConnections(
                        guard, 16, EB_OPERATOR_DESCRIPTORS_PERMILLE),
                    16);
    setrlimit(RLIMIT_NOFILE, &before);
    EbClientGuard_Free(guard);
    event_base_free(base);
}

/* Guards against working for a caller that disconnected before its answer. */
void
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
void
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

/* Guards against a planned stop that cuts off requests that have just arrived:
 * on a connection that is not accepted yet, and on a kept connection whose
 * bytes are not read yet. */
void
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

/* Guards against ending, when memory is short, a client that takes a part of
 * its answer now and then before one that takes nothing. */
void
test_server_slow_reader(void)
{
    enum { MIB = 1024 * 1024, STEP_US = 100000, STEPS = 15, CLIENTS = 3 };
    /* The first client reads. */
    static const size_t answer_mib[CLIENTS] = {48, 24, 20};
    static char part[2 * MIB];
    ServerFixture fixture;
    open_limited_server(&fixture, (uint64_t)80 * MIB);
    int fds[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        for (int step = 0; i == 2 && step < STEPS; step++) {
            CU_ASSERT_TRUE(recv(fds[0], part, sizeof(part), MSG_DONTWAIT) > 0);
            Loop_For(fixture.base, STEP_US);
        }
        fds[i] = connect_slow_reader(&fixture, i == 0 ? MIB : 1,
                                     REQUEST "Content-Length: 0\r\n\r\n");
        fixture.wanted_submitted = (unsigned)i + 1;
        CU_ASSERT_TRUE(Loop_Until(fixture.base, has_all_submitted, &fixture));
        answer_large(&fixture, answer_mib[i] * MIB);
    }
    Loop_For(fixture.base, STEP_US);
    CU_ASSERT_EQUAL(EbIntake_Bytes(EbClientGuard_Intake(fixture.guard)) / MIB,
                    48 + 20);
    for (int i = 0; i < CLIENTS; i++) {
        close(fds[i]);
    }
    close_server(&fixture);
}
