/* Connections of EbForwardServer: the account, reading, rejecting, lingering,
 * and the callbacks of the event loop. */
#include "forward_server_connection.h"

#include <string.h>

#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "clock.h"
#include "forward_response.h"

/* Largest part of a pipelined request that is buffered while another one is
 * running. */
#define MAX_READ_AHEAD_BYTES 65536
/* The connection of a caller that does not read is closed after this time. */
#define WRITE_TIMEOUT_S 20
/* A body that stops arriving for this long is given up, and one that has not
 * arrived after this time and a second for each kilobyte. */
#define BODY_GRACE_US 10000000
/* A request in progress is kept twice: as it was read, and as it is sent to a
 * server. */
#define RUNNING_COPIES 2
#define OVERLOAD_RETRY_AFTER_S "1"
/* After a refusal, what the client still sends is discarded for this long:
 * closing with unread bytes would reset the connection and lose the answer. */
#define LINGER_US 1000000

static void read_requests(EbForwardConnection *connection);
static EbHttpReader *new_reader(EbForwardConnection *connection);

/* libevent frees a bufferevent and its output at the end of the iteration
 * only; answers are freed at once. */
static void
drop_output(struct bufferevent *bufev)
{
    struct evbuffer *output = bufferevent_get_output(bufev);
    evbuffer_unfreeze(output, 1);
    evbuffer_drain(output, evbuffer_get_length(output));
}

/* An answer is counted as a whole until its last byte is sent, so that the
 * account doesn't change when the client takes a part of it. */
static void
on_output_changed(struct evbuffer *output, const struct evbuffer_cb_info *info,
                  void *context)
{
    (void)output;
    const EbForwardConnection *connection = context;
    if (info->n_deleted > 0) {
        EbIntake_Progress(connection->account, EbClock_Monotonic());
    }
}

void
EbForwardConnection_Free(gpointer data)
{
    EbForwardConnection *connection = data;
    evbuffer_remove_cb(bufferevent_get_output(connection->bufev),
                       on_output_changed, connection);
    EbIntake_Close(connection->account);
    drop_output(connection->bufev);
    bufferevent_free(connection->bufev);
    EbHttpReader_Free(connection->reader);
    EbHttpMessage_Unref(connection->message);
    g_free(connection->request_id);
    g_free(connection);
}

void
EbForwardConnection_Close(EbForwardConnection *connection)
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

bool
EbForwardConnection_ClosesAfterResponse(const EbForwardConnection *connection)
{
    return !connection->reusable || connection->server->announce_close ||
           connection->server->stopped;
}

void
EbForwardConnection_WriteResponse(EbForwardConnection *connection,
                                  const EbHttpMessage *response)
{
    connection->answer_bytes += response->body_bytes;
    EbForwardResponse_Write(
        bufferevent_get_output(connection->bufev), response,
        connection->head_request,
        EbForwardConnection_ClosesAfterResponse(connection));
}

static size_t
unsent_bytes(const EbForwardConnection *connection)
{
    return evbuffer_get_length(bufferevent_get_output(connection->bufev));
}

/* Returns what the unsent output takes: an answer whose body is referenced is
 * held as a whole until its last byte is sent. */
static size_t
output_bytes(EbForwardConnection *connection)
{
    size_t unsent = unsent_bytes(connection);
    if (unsent == 0) {
        connection->answer_bytes = 0;
    }
    return MAX(unsent, connection->answer_bytes);
}

void
EbForwardConnection_SetWait(EbForwardConnection *connection,
                            EbForwardWait wait)
{
    if (wait == connection->wait) {
        return;
    }
    connection->wait = wait;
    const EbConfigLimits *limits = &connection->server->limits;
    const int64_t timeouts_us[] = {
        [EB_FORWARD_WAIT_NONE] = limits->idle_timeout_us,
        [EB_FORWARD_WAIT_REQUEST] = limits->idle_timeout_us,
        [EB_FORWARD_WAIT_HEAD] = limits->header_timeout_us,
        [EB_FORWARD_WAIT_BODY] = BODY_GRACE_US,
        [EB_FORWARD_WAIT_CLOSE] = LINGER_US,
    };
    struct timeval read = EbClock_Timeval(timeouts_us[wait]);
    struct timeval write = {WRITE_TIMEOUT_S, 0};
    bufferevent_set_timeouts(connection->bufev, &read, &write);
}

void
EbForwardConnection_Update(EbForwardConnection *connection)
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
    if (connection->wait != EB_FORWARD_WAIT_CLOSE) {
        EbForwardConnection_SetWait(connection,
                                    phase != EB_INTAKE_READING
                                        ? (phase == EB_INTAKE_IDLE
                                               ? EB_FORWARD_WAIT_REQUEST
                                               : EB_FORWARD_WAIT_NONE)
                                    : message > 0 ? EB_FORWARD_WAIT_BODY
                                                  : EB_FORWARD_WAIT_HEAD);
    }
}

void
EbForwardConnection_CloseAfterOutput(EbForwardConnection *connection)
{
    connection->closing = true;
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    if (evbuffer_get_length(output) == 0) {
        EbForwardConnection_Close(connection);
    }
}

/* Ends a connection whose request was refused: frees what was read, and
 * discards what the client still sends until it closes or LINGER_US passed. */
static void
linger(EbForwardConnection *connection)
{
    connection->closing = true;
    EbHttpMessage_Unref(connection->message);
    connection->message = NULL;
    EbHttpReader_Free(connection->reader);
    connection->reader = new_reader(connection);
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    evbuffer_drain(input, evbuffer_get_length(input));
    connection->linger_end_us = EbClock_Monotonic() + LINGER_US;
    EbForwardConnection_SetWait(connection, EB_FORWARD_WAIT_CLOSE);
    EbForwardConnection_Update(connection);
}

/* Discards input. The connection may be freed when this function returns. */
static void
discard_input(EbForwardConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    evbuffer_drain(input, evbuffer_get_length(input));
    if (EbClock_Monotonic() > connection->linger_end_us) {
        EbForwardConnection_Close(connection);
    }
}

void
EbForwardConnection_FinishRequest(EbForwardConnection *connection)
{
    g_hash_table_remove(connection->server->requests, &connection->request);
    connection->request = 0;
    connection->running_bytes = 0;
    connection->head_sent = false;
    connection->paused = false;
    g_free(connection->request_id);
    connection->request_id = NULL;
    if (EbForwardConnection_ClosesAfterResponse(connection)) {
        EbForwardConnection_CloseAfterOutput(connection);
        return;
    }
    EbForwardConnection_Update(connection);
    read_requests(connection);
}

/* Rejects a request that was not submitted. */
static void
reject(EbForwardConnection *connection, uint16_t status, bool reusable)
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
    EbForwardConnection_WriteResponse(connection, response);
    EbHttpMessage_Unref(response);
    EbHttpMessage_Unref(connection->message);
    connection->message = NULL;
    if (EbForwardConnection_ClosesAfterResponse(connection)) {
        linger(connection);
    }
}

/* Refuses the request that is being read, since the daemon protects itself. */
static void
refuse(EbForwardConnection *connection, uint16_t status, EbIntakeReason reason)
{
    EbClientGuard_Count(connection->server->guard, reason);
    reject(connection, status, false);
}

/* Called by the guard, never while the connection is being read. */
static void
on_end(void *context, EbIntakeReason reason)
{
    EbForwardConnection *connection = context;
    bool reads = EbHttpReader_IsInMessage(connection->reader) &&
                 unsent_bytes(connection) == 0 && !connection->closing;
    if (reads && reason != EB_INTAKE_CONNECTIONS) {
        refuse(connection, 503, reason);
        return;
    }
    EbClientGuard_Count(connection->server->guard, reason);
    EbForwardConnection_Close(connection);
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
check_declared(EbForwardConnection *connection, const EbHttpMessage *message)
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
    EbForwardConnection *connection = context;
    EbHttpMessage_Unref(connection->message);
    connection->message = message;
    connection->head_held_bytes = EbHttpMessage_HeldBytes(message);
    connection->head_request = strcmp(message->method, "HEAD") == 0;
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
    EbForwardConnection *connection = context;
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
report_malformed(const EbForwardConnection *connection, const EbError *error)
{
    char text[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
    EbError_Format(error, text, sizeof(text));
    EB_EMIT(connection->server->options.events, EB_EVENT_REQUEST_MALFORMED,
            EB_STRING_FIELD("cause", text));
}

static void
on_complete(void *context, bool reusable)
{
    EbForwardConnection *connection = context;
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
handle_result(EbForwardConnection *connection, EbHttpReadResult result)
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
feed_reader(EbForwardConnection *connection)
{
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    size_t length = evbuffer_get_contiguous_space(input);
    const uint8_t *bytes = evbuffer_pullup(input, (ev_ssize_t)length);
    size_t consumed = 0;
    connection->rejection_status = 0;
    if (!EbHttpReader_IsInMessage(connection->reader)) {
        connection->head_request = false;
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
check_pace(EbForwardConnection *connection)
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
read_requests(EbForwardConnection *connection)
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
    EbForwardConnection_Update(connection);
}

static void
on_read(struct bufferevent *bufev, void *context)
{
    (void)bufev;
    EbForwardConnection *connection = context;
    if (connection->wait == EB_FORWARD_WAIT_CLOSE) {
        discard_input(connection);
    }
    else {
        read_requests(connection);
    }
}

static void
on_written(struct bufferevent *bufev, void *context)
{
    EbForwardConnection *connection = context;
    if (connection->wait == EB_FORWARD_WAIT_CLOSE) {
        shutdown(bufferevent_getfd(bufev), SHUT_WR);
        EbForwardConnection_Update(connection);
        return;
    }
    if (connection->closing) {
        EbForwardConnection_Close(connection);
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
    EbForwardConnection *connection = context;
    bool read_timeout =
        (what & BEV_EVENT_TIMEOUT) != 0 && (what & BEV_EVENT_READING) != 0;
    if (read_timeout && connection->wait == EB_FORWARD_WAIT_NONE) {
        /* A caller need not send anything before it has its answer. */
        bufferevent_enable(bufev, EV_READ);
        return;
    }
    if (read_timeout && EbHttpReader_IsInMessage(connection->reader)) {
        bufferevent_enable(bufev, EV_READ);
        refuse(connection, 408, EB_INTAKE_SLOW);
        return;
    }
    EbForwardConnection_Close(connection);
}

static EbHttpReader *
new_reader(EbForwardConnection *connection)
{
    return EbHttpReader_New(&(EbHttpReaderOptions){
        .kind = EB_HTTP_REQUESTS,
        .max_header_bytes = connection->server->limits.max_header_bytes,
        .head = on_head,
        .body = on_body,
        .complete = on_complete,
        .context = connection});
}

void
EbForwardConnection_Open(EbForwardServer *server, struct event_base *base,
                         evutil_socket_t socket, uint64_t address)
{
    EbForwardConnection *connection = g_new0(EbForwardConnection, 1);
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
    evbuffer_add_cb(bufferevent_get_output(connection->bufev),
                    on_output_changed, connection);
    bufferevent_setwatermark(connection->bufev, EV_READ, 0,
                             MAX_READ_AHEAD_BYTES);
    EbForwardConnection_SetWait(connection, EB_FORWARD_WAIT_REQUEST);
    bufferevent_enable(connection->bufev, EV_READ | EV_WRITE);
    g_hash_table_add(server->connections, connection);
}
