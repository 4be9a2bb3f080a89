#include "ebonyhollow/forward_server.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "client_guard.h"
#include "clock.h"
#include "forward_response.h"
#include "http_reader.h"
#include "socket.h"

/* Largest part of a pipelined request that is buffered while another one is
 * running. */
#define MAX_READ_AHEAD_BYTES 65536
/* The connection of a caller that does not read is closed after this time. */
#define WRITE_TIMEOUT_S 20
#define LISTEN_BACKLOG 1024
/* When the server stops, a caller that has just connected has this long to
 * send its first request. */
#define FIRST_REQUEST_GRACE_US 1000000
/* A body that stops arriving for this long is given up, and one that has not
 * arrived after this time and a second for each kilobyte. */
#define BODY_GRACE_US 10000000
/* A request in progress is kept twice: as it was read, and as it is sent to a
 * server. */
#define RUNNING_COPIES 2
/* Largest part of the memory for clients that one body may take, so that its
 * copies fit and leave room for others. */
#define BODY_SHARE_DIVISOR 4
#define LARGEST_HEADER_BYTES 65536
#define OVERLOAD_RETRY_AFTER_S "1"
/* After a refusal, what the client still sends is discarded for this long:
 * closing with unread bytes would reset the connection and lose the answer. */
#define LINGER_US 1000000

/* What the connection waits for; each has a time-out of its own. */
typedef enum {
    WAIT_NONE, /* for the answer, or until its output is sent */
    WAIT_REQUEST,
    WAIT_HEAD,
    WAIT_BODY,
    WAIT_CLOSE, /* input is discarded */
} Wait;

typedef struct {
    EbForwardServer *server;
    struct bufferevent *bufev;
    EbIntakeAccount *account;
    Wait wait;
    int64_t begin_us;       /* of the message being read */
    size_t head_held_bytes; /* of `message` while its body is read */
    size_t running_bytes;   /* of the running request and its copies */
    size_t answer_bytes;    /* of answers, kept until all output is sent */
    EbHttpReader *reader;
    EbHttpMessage *message;    /* being read */
    bool used;                 /* a request came on it */
    uint64_t request;          /* handle; 0: none is running */
    char *request_id;          /* of the running request */
    bool head_sent;            /* of a stream */
    bool reusable;             /* the caller may send another request */
    bool paused;               /* reading from the backend server is paused */
    bool closing;              /* to be closed once the output is sent */
    int64_t linger_end_us;     /* when its input is being discarded */
    uint16_t rejection_status; /* for the message being read, or 0 */
} Connection;

struct EbForwardServer {
    EbForwardServerOptions options;
    struct evconnlistener *listener; /* NULL after the server was stopped */
    uint16_t port;
    struct EbClientGuard *guard;
    bool owns_guard;
    EbConfigLimits limits;   /* in force */
    GHashTable *connections; /* set of Connection */
    GHashTable *requests;    /* handle -> Connection */
    bool announce_close;
    bool stopped;
};

static void read_requests(Connection *connection);
static EbHttpReader *new_reader(Connection *connection);

/* libevent frees a bufferevent and its output at the end of the iteration
 * only; answers are freed at once. */
static void
drop_output(struct bufferevent *bufev)
{
    struct evbuffer *output = bufferevent_get_output(bufev);
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
}

static void
free_connection(gpointer data)
{
    Connection *connection = data;
    EbIntake_Close(connection->account);
    drop_output(connection->bufev);
    bufferevent_free(connection->bufev);
    EbHttpReader_Free(connection->reader);
    EbHttpMessage_Unref(connection->message);
    g_free(connection->request_id);
    g_free(connection);
}

static void
close_connection(Connection *connection)
{
    EbForwardServer *server = connection->server;
    uint64_t request = connection->request;
    if (request != 0) {
        g_hash_table_remove(server->requests, &connection->request);
    }
    g_hash_table_remove(server->connections, connection);
    if (request != 0) {
        server->options.caller_gone(server->options.context, request);
    }
}

static bool
closes_after_response(const Connection *connection)
{
    return !connection->reusable || connection->server->announce_close ||
           connection->server->stopped;
}

static void
write_response(Connection *connection, const EbHttpMessage *response)
{
    connection->answer_bytes += response->body_bytes;
    EbForwardResponse_Write(bufferevent_get_output(connection->bufev),
                            response, closes_after_response(connection));
}

static size_t
unsent_bytes(const Connection *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection->bufev));
}

/* Returns what the unsent output takes: an answer whose body is referenced is
 * held as a whole until its last byte is sent. */
static size_t
output_bytes(Connection *connection)
{
    size_t unsent = unsent_bytes(connection);
    if (unsent == 0) {
        connection->answer_bytes = 0;
    }
    return MAX(unsent, connection->answer_bytes);
}

/* Sets the time-out of what the connection waits for. */
static void
set_wait(Connection *connection, Wait wait)
{
    if (wait == connection->wait) {
        return;
    }
    connection->wait = wait;
    const EbConfigLimits *limits = &connection->server->limits;
    const int64_t timeouts_us[] = {
        [WAIT_NONE] = limits->idle_timeout_us,
        [WAIT_REQUEST] = limits->idle_timeout_us,
        [WAIT_HEAD] = limits->header_timeout_us,
        [WAIT_BODY] = BODY_GRACE_US,
        [WAIT_CLOSE] = LINGER_US,
    };
    struct timeval read = EbClock_Timeval(timeouts_us[wait]);
    struct timeval write = {WRITE_TIMEOUT_S, 0};
    bufferevent_set_timeouts(connection->bufev, &read, &write);
}

/* Updates the account and the time-out after what the connection holds has
 * changed. */
static void
update(Connection *connection)
{
    size_t input =
        evbuffer_get_length(bufferevent_get_input(connection->bufev));
    size_t output = unsent_bytes(connection);
    bool reading = EbHttpReader_IsInMessage(connection->reader);
    size_t message =
        connection->message != NULL
            ? connection->head_held_bytes + connection->message->body_bytes
            : 0;
    size_t bytes =
        input + output_bytes(connection) + message + connection->running_bytes;
    if (reading && message == 0) {
        bytes += EbHttpReader_HeldBytes(connection->reader);
    }
    EbIntakePhase phase = connection->request != 0 ? EB_INTAKE_RUNNING
                          : output > 0             ? EB_INTAKE_ANSWERING
                          : reading                ? EB_INTAKE_READING
                                                   : EB_INTAKE_IDLE;
    EbClientGuard_Update(connection->server->guard, connection->account, phase,
                         bytes);
    if (connection->wait != WAIT_CLOSE) {
        set_wait(connection,
                 phase != EB_INTAKE_READING
                     ? (phase == EB_INTAKE_IDLE ? WAIT_REQUEST : WAIT_NONE)
                 : message > 0 ? WAIT_BODY
                               : WAIT_HEAD);
    }
}

/* Closes the connection when its output has been sent, or now if it has none.
 */
static void
close_after_output(Connection *connection)
{
    connection->closing = true;
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    if (evbuffer_get_length(output) == 0) {
        close_connection(connection);
    }
}

/* Ends a connection whose request was refused: frees what was read, and
 * discards what the client still sends until it closes or LINGER_US passed. */
static void
linger(Connection *connection)
{
    connection->closing = true;
    EbHttpMessage_Unref(connection->message);
    connection->message = NULL;
    EbHttpReader_Free(connection->reader);
    connection->reader = new_reader(connection);
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    evbuffer_drain(input, evbuffer_get_length(input));
    connection->linger_end_us = EbClock_Monotonic() + LINGER_US;
    set_wait(connection, WAIT_CLOSE);
    update(connection);
}

/* Discards input. The connection may be freed when this function returns. */
static void
discard_input(Connection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (EbClock_Monotonic() > connection->linger_end_us) {
        close_connection(connection);
    }
}

/* Removes the running request and reads the next one. The connection may be
 * freed when this function returns. */
static void
finish_request(Connection *connection)
{
    g_hash_table_remove(connection->server->requests, &connection->request);
    connection->request = 0;
    connection->running_bytes = 0;
    connection->head_sent = false;
    connection->paused = false;
    g_free(connection->request_id);
    connection->request_id = NULL;
    if (closes_after_response(connection)) {
        close_after_output(connection);
        return;
    }
    update(connection);
    read_requests(connection);
}

/* Rejects a request that was not submitted. */
static void
reject(Connection *connection, uint16_t status, bool reusable)
{
    connection->reusable = connection->reusable && reusable;
    EbHttpMessage *response = EbHttpMessage_NewResponse(status);
    if (status == 503) {
        EbHttpMessage_AddHeader(response, "Retry-After",
                                OVERLOAD_RETRY_AFTER_S);
    }
    const char *name = connection->server->options.protocol->request_id_header;
    const char *id = connection->message != NULL
                         ? EbHttpMessage_FindHeader(connection->message, name)
                         : NULL;
    if (id != NULL) {
        EbHttpMessage_AddHeader(response, name, id);
    }
    write_response(connection, response);
    EbHttpMessage_Unref(response);
    EbHttpMessage_Unref(connection->message);
    connection->message = NULL;
    if (closes_after_response(connection)) {
        linger(connection);
    }
}

/* Refuses the request that is being read, since the daemon protects itself. */
static void
refuse(Connection *connection, uint16_t status, EbIntakeReason reason)
{
    EbClientGuard_Count(connection->server->guard, reason);
    reject(connection, status, false);
}

/* Called by the guard, never while the connection is being read. */
static void
on_end(void *context, EbIntakeReason reason)
{
    Connection *connection = context;
    bool reads = EbHttpReader_IsInMessage(connection->reader) &&
                 unsent_bytes(connection) == 0 && !connection->closing;
    if (reads && reason != EB_INTAKE_CONNECTIONS) {
        refuse(connection, 503, reason);
        return;
    }
    EbClientGuard_Count(connection->server->guard, reason);
    close_connection(connection);
}

/* Returns the length that the request declares for its body, or 0. */
static uint64_t
declared_bytes(const EbHttpMessage *message)
{
    const char *value = EbHttpMessage_FindHeader(message, "Content-Length");
    return value != NULL ? g_ascii_strtoull(value, NULL, 10) : 0;
}

/* Returns whether the body may be read; sets the status of the refusal. */
static bool
check_declared(Connection *connection, const EbHttpMessage *message)
{
    EbForwardServer *server = connection->server;
    uint64_t body_bytes = declared_bytes(message);
    if (body_bytes > server->limits.max_body_bytes) {
        connection->rejection_status = 413;
    }
    else if (!EbIntake_Admits(EbClientGuard_Intake(server->guard),
                              RUNNING_COPIES * (connection->head_held_bytes +
                                                body_bytes))) {
        EbClientGuard_Count(server->guard, EB_INTAKE_NO_MEMORY);
        connection->rejection_status = 503;
    }
    return connection->rejection_status == 0;
}

static bool
on_head(void *context, EbHttpMessage *message)
{
    Connection *connection = context;
    EbHttpMessage_Unref(connection->message);
    connection->message = message;
    connection->head_held_bytes = EbHttpMessage_HeldBytes(message);
    if (!check_declared(connection, message)) {
        return false;
    }
    const char *expect = EbHttpMessage_FindHeader(message, "Expect");
    if (expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        evbuffer_add_printf(bufferevent_get_output(connection->bufev),
                            "HTTP/1.1 100 Continue\r\n\r\n");
    }
    return true;
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    Connection *connection = context;
    EbHttpMessage *message = connection->message;
    if (message->body_bytes + byte_count >
        connection->server->limits.max_body_bytes) {
        connection->rejection_status = 413;
        return false;
    }
    EbHttpMessage_AddBody(message, bytes, byte_count);
    return true;
}

static void
report_malformed(const Connection *connection, const EbError *error)
{
    char text[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
    EbError_Format(error, text, sizeof(text));
    EB_EMIT(connection->server->options.events, EB_EVENT_REQUEST_MALFORMED,
            EB_STRING_FIELD("cause", text));
}

static void
on_complete(void *context, bool reusable)
{
    Connection *connection = context;
    EbForwardServer *server = connection->server;
    connection->reusable = reusable;
    connection->used = true;
    size_t running_bytes = RUNNING_COPIES * (connection->head_held_bytes +
                                             connection->message->body_bytes);
    if (!EbIntake_Admits(EbClientGuard_Intake(server->guard), running_bytes)) {
        EbClientGuard_Count(server->guard, EB_INTAKE_NO_MEMORY);
        connection->rejection_status = 503;
        return;
    }
    EbError error;
    EbError_Clear(&error);
    EbForwardCall *call =
        server->options.protocol->read_call(connection->message, &error);
    if (call == NULL) {
        report_malformed(connection, &error);
        connection->rejection_status = 400;
        return;
    }
    EbHttpMessage_Unref(connection->message);
    connection->message = NULL;
    connection->request_id = g_strdup(call->request_id);
    connection->running_bytes = running_bytes;
    connection->request =
        server->options.submit(server->options.context, call);
    g_hash_table_insert(server->requests, &connection->request, connection);
    EbForwardCall_Unref(call);
}

/* Handles the end of a piece of input. Returns whether to go on reading. */
static bool
handle_result(Connection *connection, EbHttpReadResult result)
{
    if (result == EB_HTTP_READ_TOO_LARGE) {
        reject(connection, 431, false);
        return false;
    }
    if (result == EB_HTTP_READ_INVALID) {
        if (connection->rejection_status == 0) {
            EbError error = {0};
            EbError_Set(&error, EB_ERROR_SYNTAX,
                        "the request is not a valid HTTP/1.1 message");
            report_malformed(connection, &error);
        }
        uint16_t status = connection->rejection_status;
        reject(connection, status != 0 ? status : 400, false);
        return false;
    }
    if (connection->rejection_status != 0) {
        reject(connection, connection->rejection_status, true);
    }
    return !connection->closing;
}

static bool
feed_reader(Connection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    size_t length = evbuffer_get_contiguous_space(input);
    const uint8_t *bytes = evbuffer_pullup(input, (ev_ssize_t)length);
    size_t consumed = 0;
    connection->rejection_status = 0;
    if (!EbHttpReader_IsInMessage(connection->reader)) {
        connection->begin_us = EbClock_Monotonic();
        EbHttpReader_SetMaxHeaderBytes(
            connection->reader, connection->server->limits.max_header_bytes);
    }
    EbHttpReadResult result =
        EbHttpReader_Feed(connection->reader, bytes, length, &consumed);
    evbuffer_drain(input, consumed);
    return handle_result(connection, result);
}

/* Ends a request that arrives too slowly. */
static void
check_pace(Connection *connection)
{
    if (connection->closing || !EbHttpReader_IsInMessage(connection->reader)) {
        return;
    }
    int64_t elapsed_us = EbClock_Monotonic() - connection->begin_us;
    const EbHttpMessage *message = connection->message;
    const EbConfigLimits *limits = &connection->server->limits;
    bool slow =
        message != NULL
            ? EbIntake_IsTooSlow(elapsed_us, message->body_bytes,
                                 limits->header_timeout_us + BODY_GRACE_US)
            : elapsed_us > limits->header_timeout_us;
    if (slow) {
        refuse(connection, 408, EB_INTAKE_SLOW);
    }
}

/* Reads while no request is running and at most max_buffer_bytes are held of
 * earlier answers. The connection may be freed when this function returns. */
static void
read_requests(Connection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    while (connection->request == 0 && !connection->closing &&
           output_bytes(connection) <=
               connection->server->options.settings->max_buffer_bytes &&
           evbuffer_get_length(input) > 0) {
        if (!feed_reader(connection)) {
            return;
        }
    }
    check_pace(connection);
    update(connection);
}

static void
on_read(struct bufferevent *bufev, void *context)
{
    (void)bufev;
    Connection *connection = context;
    if (connection->wait == WAIT_CLOSE) {
        discard_input(connection);
    }
    else {
        read_requests(connection);
    }
}

static void
on_written(struct bufferevent *bufev, void *context)
{
    Connection *connection = context;
    if (connection->wait == WAIT_CLOSE) {
        shutdown(bufferevent_getfd(bufev), SHUT_WR);
        update(connection);
        return;
    }
    if (connection->closing) {
        close_connection(connection);
        return;
    }
    if (connection->paused) {
        connection->paused = false;
        const EbForwardServerOptions *options = &connection->server->options;
        options->flow_control(options->context, connection->request, false);
    }
    read_requests(connection);
}

static void
on_event(struct bufferevent *bufev, short what, void *context)
{
    Connection *connection = context;
    bool read_timeout =
        (what & BEV_EVENT_TIMEOUT) != 0 && (what & BEV_EVENT_READING) != 0;
    if (read_timeout && connection->wait == WAIT_NONE) {
        /* A caller need not send anything before it has its answer. */
        bufferevent_enable(bufev, EV_READ);
        return;
    }
    if (read_timeout && EbHttpReader_IsInMessage(connection->reader)) {
        bufferevent_enable(bufev, EV_READ);
        refuse(connection, 408, EB_INTAKE_SLOW);
        return;
    }
    close_connection(connection);
}

static EbHttpReader *
new_reader(Connection *connection)
{
    return EbHttpReader_New(&(EbHttpReaderOptions){
        .kind = EB_HTTP_REQUESTS,
        .max_header_bytes = connection->server->limits.max_header_bytes,
        .head = on_head,
        .body = on_body,
        .complete = on_complete,
        .context = connection});
}

/* Returns whether there is room for another connection, after ending one that
 * has no request if necessary. */
static bool
make_room(EbForwardServer *server)
{
    uint32_t limit = server->options.settings->max_connections;
    return g_hash_table_size(server->connections) < limit ||
           EbIntake_EndIdle(EbClientGuard_Intake(server->guard), server,
                            EbClock_Monotonic());
}

static void
open_connection(EbForwardServer *server, struct event_base *base,
                evutil_socket_t socket, uint64_t address)
{
    Connection *connection = g_new0(Connection, 1);
    connection->server = server;
    connection->reusable = true;
    connection->account =
        EbIntake_Open(EbClientGuard_Intake(server->guard),
                      &(EbIntakeClient){.end = on_end,
                                        .context = connection,
                                        .group = server,
                                        .address = address},
                      EbClock_Monotonic());
    connection->bufev =
        bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    connection->reader = new_reader(connection);
    bufferevent_setcb(connection->bufev, on_read, on_written, on_event,
                      connection);
    bufferevent_setwatermark(connection->bufev, EV_READ, 0,
                             MAX_READ_AHEAD_BYTES);
    set_wait(connection, WAIT_REQUEST);
    bufferevent_enable(connection->bufev, EV_READ | EV_WRITE);
    g_hash_table_add(server->connections, connection);
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t socket,
          struct sockaddr *address, int length, void *context)
{
    EbForwardServer *server = context;
    const EbSettings *settings = server->options.settings;
    if (!make_room(server)) {
        EB_EMIT(
            server->options.events, EB_EVENT_CONNECTION_REFUSED,
            EB_INTEGER_FIELD("max_connections", settings->max_connections));
        evutil_closesocket(socket);
        return;
    }
    EbSocket_SetNoDelay(socket);
    open_connection(server, evconnlistener_get_base(listener), socket,
                    EbSocket_HashAddress(address, length));
}

static uint32_t
cap_limit(const EbForwardServer *server, const char *name, uint32_t wanted,
          uint64_t largest)
{
    if (wanted <= largest) {
        return wanted;
    }
    EB_EMIT(server->options.events, EB_EVENT_LIMIT_CAPPED,
            EB_STRING_FIELD("limit", name), EB_INTEGER_FIELD("wanted", wanted),
            EB_INTEGER_FIELD("in_force", (int64_t)largest));
    return (uint32_t)largest;
}

void
EbForwardServer_SetLimits(EbForwardServer *server,
                          const EbConfigLimits *limits)
{
    const EbSettings *settings = server->options.settings;
    EbConfigLimits *in_force = &server->limits;
    if (limits->max_header_bytes > 0) {
        in_force->max_header_bytes =
            cap_limit(server, "max_header_bytes", limits->max_header_bytes,
                      MAX(settings->max_header_bytes, LARGEST_HEADER_BYTES));
    }
    if (limits->max_body_bytes > 0) {
        in_force->max_body_bytes =
            cap_limit(server, "max_body_bytes", limits->max_body_bytes,
                      MAX(settings->max_body_bytes,
                          settings->client_memory_bytes / BODY_SHARE_DIVISOR));
    }
    if (limits->header_timeout_us > 0) {
        in_force->header_timeout_us = limits->header_timeout_us;
    }
    if (limits->idle_timeout_us > 0) {
        in_force->idle_timeout_us = limits->idle_timeout_us;
    }
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        Connection *connection = key;
        if (connection->wait == WAIT_REQUEST) {
            connection->wait = WAIT_NONE;
            set_wait(connection, WAIT_REQUEST);
        }
    }
}

EbForwardServer *
EbForwardServer_New(const EbForwardServerOptions *options, EbError *error)
{
    const EbAddress *address = &options->settings->caller;
    struct sockaddr_storage storage;
    int length = EbSocket_ParseAddress(address->host, address->port, &storage);
    EbForwardServer *server = g_new0(EbForwardServer, 1);
    server->options = *options;
    server->limits = (EbConfigLimits){
        .max_header_bytes = options->settings->max_header_bytes,
        .max_body_bytes = options->settings->max_body_bytes,
        .header_timeout_us = options->settings->header_timeout_us,
        .idle_timeout_us = options->settings->header_timeout_us};
    server->owns_guard = options->guard == NULL;
    server->guard =
        options->guard != NULL
            ? options->guard
            : EbClientGuard_New(&(EbClientGuardOptions){
                  .base = options->base,
                  .max_bytes = options->settings->client_memory_bytes,
                  .events = options->events});
    server->connections =
        g_hash_table_new_full(NULL, NULL, free_connection, NULL);
    server->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
    if (length > 0) {
        server->listener = evconnlistener_new_bind(
            options->base, on_accept, server,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, LISTEN_BACKLOG,
            (struct sockaddr *)&storage, length);
    }
    if (server->listener == NULL) {
        EbError_Set(error, EB_ERROR_IO, "cannot listen on %s port %u",
                    address->host, (unsigned)address->port);
        EbForwardServer_Free(server);
        return NULL;
    }
    server->port = EbSocket_Port(evconnlistener_get_fd(server->listener));
    return server;
}

void
EbForwardServer_Free(EbForwardServer *server)
{
    if (server == NULL) {
        return;
    }
    if (server->listener != NULL) {
        evconnlistener_free(server->listener);
    }
    g_hash_table_destroy(server->requests);
    g_hash_table_destroy(server->connections);
    if (server->owns_guard) {
        EbClientGuard_Free(server->guard);
    }
    g_free(server);
}

uint16_t
EbForwardServer_Port(const EbForwardServer *server)
{
    return server->port;
}

static void
pause_if_full(Connection *connection)
{
    const EbForwardServerOptions *options = &connection->server->options;
    size_t unsent =
        evbuffer_get_length(bufferevent_get_output(connection->bufev));
    if (!connection->paused && unsent > options->settings->max_buffer_bytes) {
        connection->paused = true;
        options->flow_control(options->context, connection->request, true);
    }
}

void
EbForwardServer_Relay(EbForwardServer *server, const EbRelay *relay)
{
    Connection *connection =
        g_hash_table_lookup(server->requests, &relay->request);
    if (connection == NULL) {
        return;
    }
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    if (relay->head != NULL && !connection->head_sent) {
        connection->head_sent = true;
        EbForwardResponse_WriteStreamHead(output, relay->head,
                                          closes_after_response(connection));
    }
    if (relay->byte_count > 0) {
        EbForwardResponse_WriteChunk(output, relay->bytes, relay->byte_count);
        pause_if_full(connection);
    }
    update(connection);
}

void
EbForwardServer_Answer(EbForwardServer *server, const EbAnswer *answer)
{
    Connection *connection =
        g_hash_table_lookup(server->requests, &answer->request);
    if (connection == NULL) {
        return;
    }
    if (connection->head_sent && answer->outcome == EB_OUTCOME_DONE) {
        bufferevent_write(connection->bufev, "0\r\n\r\n", 5);
    }
    else if (connection->head_sent) {
        /* Without the last chunk the caller knows that the stream is
         * incomplete. */
        connection->reusable = false;
    }
    else if (answer->reply != NULL) {
        write_response(connection, answer->reply);
    }
    else {
        EbHttpMessage *response = EbForwardResponse_New(
            server->options.protocol, connection->request_id, answer);
        write_response(connection, response);
        EbHttpMessage_Unref(response);
    }
    finish_request(connection);
}

void
EbForwardServer_AnnounceClose(EbForwardServer *server)
{
    server->announce_close = true;
}

/* Accepts the connections that the kernel has established already. Closing the
 * listener would reset them, with the requests on them. */
static void
accept_established(EbForwardServer *server)
{
    evutil_socket_t listener = evconnlistener_get_fd(server->listener);
    evutil_socket_t socket;
    while ((socket = accept(listener, NULL, NULL)) >= 0) {
        evutil_make_socket_nonblocking(socket);
        evutil_make_socket_closeonexec(socket);
        on_accept(server->listener, socket, NULL, 0, server);
    }
}

static bool
has_unread_bytes(const Connection *connection)
{
    int waiting = 0;
    return evbuffer_get_length(bufferevent_get_input(connection->bufev)) > 0 ||
           (ioctl(bufferevent_getfd(connection->bufev), FIONREAD, &waiting) ==
                0 &&
            waiting > 0);
}

/* Closes a connection that is idle. One on which a request has arrived in part
 * or as a whole, or on which the first one may be on its way, stays open until
 * it is answered. */
static void
stop_connection(Connection *connection)
{
    if (connection->request != 0 || has_unread_bytes(connection) ||
        EbHttpReader_IsInMessage(connection->reader)) {
        return;
    }
    if (connection->used) {
        close_after_output(connection);
        return;
    }
    struct timeval grace = EbClock_Timeval(FIRST_REQUEST_GRACE_US);
    bufferevent_set_timeouts(connection->bufev, &grace, NULL);
}

void
EbForwardServer_StopAccepting(EbForwardServer *server)
{
    if (server->stopped) {
        return;
    }
    accept_established(server);
    server->stopped = true;
    evconnlistener_free(server->listener);
    server->listener = NULL;
    GList *connections = g_hash_table_get_keys(server->connections);
    for (GList *item = connections; item != NULL; item = item->next) {
        stop_connection(item->data);
    }
    g_list_free(connections);
}

size_t
EbForwardServer_PendingCount(const EbForwardServer *server)
{
    /* A stopped server keeps only connections that wait for something. */
    if (server->stopped) {
        return g_hash_table_size(server->connections);
    }
    size_t open = 0;
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const Connection *connection = key;
        open += connection->request != 0 || connection->closing;
    }
    return open;
}
