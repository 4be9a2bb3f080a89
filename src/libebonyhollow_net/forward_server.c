#include "ebonyhollow/forward_server.h"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "clock.h"
#include "forward_response.h"
#include "forward_server_connection.h"
#include "socket.h"

#define LISTEN_BACKLOG 1024
/* When the server stops, a caller that has just connected has this long to
 * send its first request. */
#define FIRST_REQUEST_GRACE_US 1000000
/* Largest part of the memory for clients that one body may take, so that its
 * copies fit and leave room for others. */
#define BODY_SHARE_DIVISOR 4
#define LARGEST_HEADER_BYTES 65536

/* Returns whether there is room for another connection, after ending one that
 * has no request if necessary. */
static bool
make_room(EbForwardServer *server)
{
    return g_hash_table_size(server->connections) < server->max_connections ||
           EbIntake_EndIdle(EbClientGuard_Intake(server->guard), server,
                            EbClock_Monotonic());
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t socket,
          struct sockaddr *address, int length, void *context)
{
    EbForwardServer *server = context;
    if (!make_room(server)) {
        EB_EMIT(server->options.events, EB_EVENT_CONNECTION_REFUSED,
                EB_INTEGER_FIELD("max_connections", server->max_connections));
        evutil_closesocket(socket);
        return;
    }
    EbSocket_SetNoDelay(socket);
    EbForwardConnection_Open(server, evconnlistener_get_base(listener), socket,
                             EbSocket_HashAddress(address, length));
}

/* Pauses the listener: the connection that waits keeps it readable. */
static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    EbForwardServer *server = context;
    struct timeval pause = EbClock_Timeval(EB_ACCEPT_PAUSE_US);
    evconnlistener_disable(listener);
    event_add(server->accept_event, &pause);
    EbClientGuard_HandleAcceptError(server->guard,
                                    evconnlistener_get_fd(listener));
}

static void
on_accept_retry(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    EbForwardServer *server = context;
    if (server->listener != NULL) {
        evconnlistener_enable(server->listener);
    }
}

void
EbForwardServer_SetLimits(EbForwardServer *server,
                          const EbConfigLimits *limits)
{
    const EbSettings *settings = server->options.settings;
    EbConfigLimits *in_force = &server->limits;
    if (limits->max_header_bytes > 0) {
        in_force->max_header_bytes = EbClientGuard_CapLimit(
            server->guard, "max_header_bytes", limits->max_header_bytes,
            MAX(settings->max_header_bytes, LARGEST_HEADER_BYTES));
    }
    if (limits->max_body_bytes > 0) {
        in_force->max_body_bytes = EbClientGuard_CapLimit(
            server->guard, "max_body_bytes", limits->max_body_bytes,
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
        EbForwardConnection *connection = key;
        if (connection->wait == EB_FORWARD_WAIT_REQUEST) {
            connection->wait = EB_FORWARD_WAIT_NONE;
            EbForwardConnection_SetWait(connection, EB_FORWARD_WAIT_REQUEST);
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
    server->max_connections = EbClientGuard_CapConnections(
        server->guard, options->settings->max_connections,
        EB_CALLER_DESCRIPTORS_PERMILLE);
    server->accept_event = evtimer_new(options->base, on_accept_retry, server);
    server->connections =
        g_hash_table_new_full(NULL, NULL, EbForwardConnection_Free, NULL);
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
    evconnlistener_set_error_cb(server->listener, on_accept_error);
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
    event_free(server->accept_event);
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
pause_if_full(EbForwardConnection *connection)
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
    EbForwardConnection *connection =
        g_hash_table_lookup(server->requests, &relay->request);
    if (connection == NULL) {
        return;
    }
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    if (relay->head != NULL && !connection->head_sent) {
        connection->head_sent = true;
        EbForwardResponse_WriteStreamHead(
            output, relay->head,
            EbForwardConnection_ClosesAfterResponse(connection));
    }
    if (relay->byte_count > 0 && !connection->head_request) {
        EbForwardResponse_WriteChunk(output, relay->bytes, relay->byte_count);
        pause_if_full(connection);
    }
    EbForwardConnection_Update(connection);
}

/* Ends a response whose head has been sent. Without the last chunk the caller
 * knows that it is incomplete. A response to HEAD has ended with its head. */
static void
end_stream(EbForwardConnection *connection, bool whole)
{
    if (!whole) {
        connection->reusable = false;
    }
    else if (!connection->head_request) {
        bufferevent_write(connection->bufev, "0\r\n\r\n", 5);
    }
}

void
EbForwardServer_Answer(EbForwardServer *server, const EbAnswer *answer)
{
    EbForwardConnection *connection =
        g_hash_table_lookup(server->requests, &answer->request);
    if (connection == NULL) {
        return;
    }
    if (connection->head_sent) {
        end_stream(connection, answer->outcome == EB_OUTCOME_DONE);
    }
    else if (answer->reply != NULL) {
        EbForwardConnection_WriteResponse(connection, answer->reply);
    }
    else {
        EbHttpMessage *response = EbForwardResponse_New(
            server->options.protocol, connection->request_id, answer);
        EbForwardConnection_WriteResponse(connection, response);
        EbHttpMessage_Unref(response);
    }
    EbForwardConnection_FinishRequest(connection);
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
has_unread_bytes(const EbForwardConnection *connection)
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
stop_connection(EbForwardConnection *connection)
{
    if (connection->request != 0 || has_unread_bytes(connection) ||
        EbHttpReader_IsInMessage(connection->reader)) {
        return;
    }
    if (connection->used) {
        EbForwardConnection_CloseAfterOutput(connection);
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
        const EbForwardConnection *connection = key;
        open += connection->request != 0 || connection->closing;
    }
    return open;
}
