#include "http_server.h"

#include <assert.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <glib.h>

#include "clock.h"
#include "socket.h"

#define SWEEP_INTERVAL_US 100000
/* A body that exceeds the limit by at most this much still reaches the request
 * callback, which can respond with a problem document. evhttp rejects larger
 * bodies with its own error page. */
#define BODY_MARGIN_BYTES 65536
#define LISTEN_BACKLOG 1024
/* Memory that evhttp takes for each byte of a header section that consists of
 * the shortest fields: three allocations for each of them. */
#define HEADER_COST_FACTOR 28
/* A request in progress is kept as it was read, in one piece, and parsed. */
#define RUNNING_COPIES 3

/* An accepted connection. evhttp does not report when it closes a connection
 * that never sent a request, and the descriptor may then be reused for another
 * connection. The socket's unique cookie (SO_COOKIE) is therefore compared
 * before the descriptor is used. */
typedef struct {
    evutil_socket_t fd;
    uint64_t cookie;
    struct evhttp_connection *evcon; /* NULL until the first request */
    bool busy;                       /* a request has no response yet */
    EbIntakePhase phase;
    int64_t since_us;   /* when the phase began */
    size_t taken_bytes; /* by the client, of the answer being sent */
    EbHttpServer *server;
    EbIntakeAccount *account; /* NULL once the connection was shut down */
    struct bufferevent *bufev;
    struct evbuffer_cb_entry *input_callback;
    struct evbuffer_cb_entry *output_callback;
    size_t received_bytes; /* of the request being read or answered */
} Connection;

struct EbHttpServer {
    EbHttpServerOptions options;
    struct evhttp *http;
    struct evhttp_bound_socket *bound; /* NULL while not accepting */
    uint16_t port;
    GHashTable *connections; /* fd -> Connection */
    GQueue accepted;         /* of bufferevent, not in `connections` yet */
    struct event *register_event;
    struct event *sweep_event;
    int64_t stale_removed_us;
    bool freeing;
};

static bool
read_cookie(evutil_socket_t fd, uint64_t *cookie)
{
    socklen_t length = sizeof(*cookie);
    return getsockopt(fd, SOL_SOCKET, SO_COOKIE, cookie, &length) == 0;
}

static bool
is_open(const Connection *connection)
{
    uint64_t cookie;
    return read_cookie(connection->fd, &cookie) &&
           cookie == connection->cookie;
}

static gboolean
is_stale(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    const Connection *connection = value;
    return connection->evcon == NULL && !is_open(connection);
}

/* Starts the time of a phase. While an answer is sent, a client need not send
 * anything; evhttp would close the connection after its time-out. */
static void
set_phase(Connection *connection, EbIntakePhase phase)
{
    if (phase == connection->phase) {
        return;
    }
    bool answering = phase == EB_INTAKE_ANSWERING;
    if (answering || connection->phase == EB_INTAKE_ANSWERING) {
        struct timeval timeout =
            EbClock_Timeval(connection->server->options.header_timeout_us);
        bufferevent_set_timeouts(connection->bufev,
                                 answering ? NULL : &timeout, &timeout);
    }
    connection->phase = phase;
    connection->since_us = EbClock_Monotonic();
    connection->taken_bytes = 0;
}

static void
free_connection(gpointer data)
{
    Connection *connection = data;
    EbIntake_Close(connection->account);
    g_free(connection);
}

/* Updates the account of a connection. Its head is counted as if it consisted
 * of the shortest fields. */
static void
update(Connection *connection)
{
    const EbHttpServerOptions *options = &connection->server->options;
    if (connection->account == NULL) {
        return;
    }
    size_t received = connection->received_bytes;
    size_t unsent =
        evbuffer_get_length(bufferevent_get_output(connection->bufev));
    uint64_t bytes =
        received + HEADER_COST_FACTOR *
                       (uint64_t)MIN(received, options->max_header_bytes);
    EbIntakePhase phase = connection->busy ? EB_INTAKE_RUNNING
                          : unsent > 0     ? EB_INTAKE_ANSWERING
                          : received > 0   ? EB_INTAKE_READING
                                           : EB_INTAKE_IDLE;
    set_phase(connection, phase);
    if (connection->busy) {
        bytes *= RUNNING_COPIES;
    }
    EbClientGuard_Update(options->guard, connection->account, phase,
                         bytes + unsent);
}

static void
on_input_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                 void *context)
{
    (void)buffer;
    Connection *connection = context;
    if (info->n_added > 0) {
        connection->received_bytes += info->n_added;
        update(connection);
    }
}

static void
on_output_changed(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
                  void *context)
{
    (void)buffer;
    Connection *connection = context;
    connection->taken_bytes += info->n_deleted;
    update(connection);
}

/* Must be called before a connection is removed while its bufferevent still
 * exists. */
static void
remove_callbacks(Connection *connection)
{
    if (connection->input_callback != NULL) {
        evbuffer_remove_cb_entry(bufferevent_get_input(connection->bufev),
                                 connection->input_callback);
        evbuffer_remove_cb_entry(bufferevent_get_output(connection->bufev),
                                 connection->output_callback);
        connection->input_callback = NULL;
    }
}

/* Lets evhttp free a connection at once, as at the end of its input. After a
 * shutdown alone it would first read all that the kernel still holds. Calls
 * on_closed if a request came on the connection. */
static void
abort_connection(const Connection *connection)
{
    struct bufferevent *bufev = connection->bufev;
    struct evbuffer *input = bufferevent_get_input(bufev);
    evbuffer_drain(input, evbuffer_get_length(input));
    bufferevent_trigger_event(bufev, BEV_EVENT_READING | BEV_EVENT_EOF, 0);
}

/* Called by the guard, never while a connection is being read. */
static void
on_end(void *context, EbIntakeReason reason)
{
    Connection *connection = context;
    GHashTable *connections = connection->server->connections;
    EbClientGuard_Count(connection->server->options.guard, reason);
    EbIntake_Close(connection->account);
    connection->account = NULL;
    bool unknown = connection->evcon == NULL;
    if (is_open(connection)) {
        remove_callbacks(connection);
        abort_connection(connection);
    }
    if (unknown) { /* evhttp doesn't report its end */
        g_hash_table_remove(connections, GINT_TO_POINTER(connection->fd));
    }
}

static void
open_account(Connection *connection, struct bufferevent *bufev)
{
    EbHttpServer *server = connection->server;
    if (server->options.guard == NULL) {
        return;
    }
    connection->bufev = bufev;
    connection->account = EbIntake_Open(
        EbClientGuard_Intake(server->options.guard),
        &(EbIntakeClient){
            .end = on_end, .context = connection, .group = server},
        EbClock_Monotonic());
    connection->input_callback = evbuffer_add_cb(bufferevent_get_input(bufev),
                                                 on_input_changed, connection);
    connection->output_callback = evbuffer_add_cb(
        bufferevent_get_output(bufev), on_output_changed, connection);
}

/* Removes connections that evhttp closed without a callback, at most once per
 * sweep interval. */
static void
remove_stale(EbHttpServer *server)
{
    int64_t now_us = EbClock_Monotonic();
    if (now_us - server->stale_removed_us >= SWEEP_INTERVAL_US) {
        server->stale_removed_us = now_us;
        g_hash_table_foreach_remove(server->connections, is_stale, NULL);
    }
}

/* Ends a connection without a request, so that another one can be served. */
static bool
make_room(EbHttpServer *server)
{
    return server->options.guard != NULL &&
           EbIntake_EndIdle(EbClientGuard_Intake(server->options.guard),
                            server, EbClock_Monotonic());
}

static void
register_connection(EbHttpServer *server, struct bufferevent *bufev)
{
    evutil_socket_t fd = bufferevent_getfd(bufev);
    uint64_t cookie;
    if (fd < 0 || !read_cookie(fd, &cookie)) {
        return;
    }
    uint32_t limit = server->options.max_connections;
    if (g_hash_table_size(server->connections) >= limit) {
        remove_stale(server);
    }
    if (g_hash_table_size(server->connections) >= limit &&
        !make_room(server)) {
        shutdown(fd, SHUT_RDWR);
        return;
    }
    if (server->options.send_buffer_bytes > 0) {
        int bytes = (int)MIN(server->options.send_buffer_bytes, INT_MAX);
        setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
    }
    Connection *connection = g_new0(Connection, 1);
    connection->server = server;
    connection->fd = fd;
    connection->cookie = cookie;
    connection->since_us = EbClock_Monotonic();
    open_account(connection, bufev);
    g_hash_table_replace(server->connections, GINT_TO_POINTER(fd), connection);
}

static void
on_register(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbHttpServer *server = arg;
    struct bufferevent *bufev;
    while ((bufev = g_queue_pop_head(&server->accepted)) != NULL) {
        register_connection(server, bufev);
    }
}

/* evhttp sets the descriptor after this callback, so the connection is added
 * to the table later in the same iteration of the event loop. */
static struct bufferevent *
on_accepted(struct event_base *base, void *arg)
{
    EbHttpServer *server = arg;
    struct bufferevent *bufev = bufferevent_socket_new(base, -1, 0);
    if (bufev != NULL) {
        g_queue_push_tail(&server->accepted, bufev);
        event_active(server->register_event, EV_TIMEOUT, 0);
    }
    return bufev;
}

/* Pauses the listener until the next sweep: the connection that waits keeps it
 * readable. `context` is evhttp's. */
static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    (void)context;
    evconnlistener_disable(listener);
}

/* Ends the pause of the listener. If a connection waits and no descriptor is
 * left, one is freed first. */
static void
resume_accepting(const EbHttpServer *server)
{
    if (server->bound == NULL) {
        return;
    }
    struct evconnlistener *listener =
        evhttp_bound_socket_get_listener(server->bound);
    if (server->options.guard != NULL) {
        EbClientGuard_HandleAcceptError(server->options.guard,
                                        evconnlistener_get_fd(listener));
    }
    evconnlistener_enable(listener);
}

/* Returns whether a connection is idle for too long, or its request arrives or
 * its answer is taken at less than any sound client's rate. */
static bool
is_too_slow(const Connection *connection, int64_t now_us)
{
    size_t passed =
        connection->phase == EB_INTAKE_READING     ? connection->received_bytes
        : connection->phase == EB_INTAKE_ANSWERING ? connection->taken_bytes
                                                   : 0;
    return !connection->busy &&
           EbIntake_IsTooSlow(now_us - connection->since_us, passed,
                              connection->server->options.header_timeout_us);
}

/* Shuts down connections whose client is too slow. evhttp then reads the end
 * of the input and frees them. */
static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbHttpServer *server = arg;
    int64_t now_us = EbClock_Monotonic();
    resume_accepting(server);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Connection *connection = value;
        if (!is_too_slow(connection, now_us)) {
            continue;
        }
        if (is_open(connection)) {
            if (connection->phase != EB_INTAKE_IDLE) {
                EbClientGuard_Count(server->options.guard, EB_INTAKE_SLOW);
            }
            shutdown(connection->fd, SHUT_RDWR);
            connection->since_us = now_us;
        }
        else if (connection->evcon == NULL) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static Connection *
find_connection(const EbHttpServer *server, struct evhttp_connection *evcon)
{
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(evcon));
    return g_hash_table_lookup(server->connections, GINT_TO_POINTER(fd));
}

static gboolean
has_evcon(gpointer key, gpointer value, gpointer evcon)
{
    (void)key;
    Connection *connection = value;
    if (connection->evcon != evcon) {
        return FALSE;
    }
    remove_callbacks(connection);
    return TRUE;
}

static void
on_closed(struct evhttp_connection *evcon, void *arg)
{
    EbHttpServer *server = arg;
    if (server->freeing) {
        return;
    }
    Connection *connection = find_connection(server, evcon);
    if (connection != NULL && connection->evcon == evcon) {
        remove_callbacks(connection);
        g_hash_table_remove(server->connections,
                            GINT_TO_POINTER(connection->fd));
    }
    else {
        g_hash_table_foreach_remove(server->connections, has_evcon, evcon);
    }
    if (server->options.closed != NULL) {
        server->options.closed(evcon, server->options.context);
    }
}

static void
on_request(struct evhttp_request *request, void *arg)
{
    EbHttpServer *server = arg;
    struct evhttp_connection *evcon = evhttp_request_get_connection(request);
    Connection *connection = find_connection(server, evcon);
    if (connection != NULL) {
        connection->evcon = evcon;
        connection->busy = true;
        update(connection);
    }
    evhttp_connection_set_closecb(evcon, on_closed, server);
    server->options.request(request, server->options.context);
}

void
EbHttpServer_ResponseComplete(EbHttpServer *server,
                              struct evhttp_request *request)
{
    struct evhttp_connection *evcon = evhttp_request_get_connection(request);
    Connection *connection = evcon ? find_connection(server, evcon) : NULL;
    if (connection != NULL) {
        connection->busy = false;
        connection->received_bytes = evbuffer_get_length(
            bufferevent_get_input(evhttp_connection_get_bufferevent(evcon)));
        connection->since_us = EbClock_Monotonic();
        connection->taken_bytes = 0;
        update(connection);
    }
    if (server->bound == NULL) {
        struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
        evhttp_remove_header(headers, "Connection");
        evhttp_add_header(headers, "Connection", "close");
    }
}

bool
EbHttpServer_HasUnsent(const EbHttpServer *server)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const Connection *connection = value;
        if (connection->evcon == NULL) {
            continue;
        }
        struct bufferevent *bufev =
            evhttp_connection_get_bufferevent(connection->evcon);
        if (evbuffer_get_length(bufferevent_get_output(bufev)) > 0) {
            return true;
        }
    }
    return false;
}

/* Adds a body to a response. That to HEAD has only its length (RFC 9110,
 * section 9.3.2): evhttp would send the body, and the client read it as the
 * next response. */
static void
add_body(struct evhttp_request *request, struct evbuffer *body,
         const char *text, size_t text_bytes)
{
    if (evhttp_request_get_command(request) != EVHTTP_REQ_HEAD) {
        evbuffer_add(body, text, text_bytes);
        return;
    }
    char length[24];
    snprintf(length, sizeof(length), "%zu", text_bytes);
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Length", length);
}

void
EbHttpServer_Send(EbHttpServer *server, struct evhttp_request *request,
                  int status, const char *content_type, const char *text,
                  size_t text_bytes)
{
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", content_type);
    struct evbuffer *body = evbuffer_new();
    add_body(request, body, text, text_bytes);
    EbHttpServer_ResponseComplete(server, request);
    evhttp_send_reply(request, status, NULL, body);
    evbuffer_free(body);
}

void
EbHttpServer_SendJson(EbHttpServer *server, struct evhttp_request *request,
                      int status, const char *content_type,
                      const json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT | JSON_ENCODE_ANY);
    EbHttpServer_Send(server, request, status, content_type,
                      text != NULL ? text : "",
                      text != NULL ? strlen(text) : 0);
    free(text);
}

const char *
EbHttp_Header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

const char *
EbHttp_BearerToken(struct evhttp_request *request)
{
    static const char scheme[] = "Bearer ";
    const char *value = EbHttp_Header(request, "Authorization");
    if (value == NULL ||
        g_ascii_strncasecmp(value, scheme, sizeof(scheme) - 1) != 0) {
        return NULL;
    }
    value += sizeof(scheme) - 1;
    return value[0] != '\0' ? value : NULL;
}

uint16_t
EbHttpServer_Port(const EbHttpServer *server)
{
    return server->port;
}

size_t
EbHttpServer_ConnectionCount(const EbHttpServer *server)
{
    return g_hash_table_size(server->connections);
}

void
EbHttpServer_StopAccepting(EbHttpServer *server)
{
    if (server->bound != NULL) {
        evhttp_del_accept_socket(server->http, server->bound);
        server->bound = NULL;
    }
}

/* Opens the listener. The backlog is large enough for a burst of connections.
 */
static bool
listen_on(EbHttpServer *server, EbError *error)
{
    const EbAddress *address = server->options.address;
    struct sockaddr_storage storage;
    int length = EbSocket_ParseAddress(address->host, address->port, &storage);
    if (length == 0) {
        EbError_Set(error, EB_ERROR_IO, "%s is not an IP address",
                    address->host);
        return false;
    }
    struct evconnlistener *listener = evconnlistener_new_bind(
        server->options.base, NULL, NULL,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        LISTEN_BACKLOG, (struct sockaddr *)&storage, length);
    if (listener == NULL) {
        EbError_Set(error, EB_ERROR_IO, "cannot listen on %s:%u: %s",
                    address->host, (unsigned)address->port,
                    evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
        return false;
    }
    EbSocket_SetNoDelay(evconnlistener_get_fd(listener));
    server->port = EbSocket_Port(evconnlistener_get_fd(listener));
    evconnlistener_set_error_cb(listener, on_accept_error);
    server->bound = evhttp_bind_listener(server->http, listener);
    assert(server->bound != NULL);
    return true;
}

EbHttpServer *
EbHttpServer_New(const EbHttpServerOptions *options, EbError *error)
{
    assert(options->base != NULL && options->request != NULL);
    EbHttpServer *server = g_new0(EbHttpServer, 1);
    server->options = *options;
    if (options->guard != NULL && options->descriptors_permille > 0) {
        server->options.max_connections = EbClientGuard_CapConnections(
            options->guard, options->max_connections,
            options->descriptors_permille);
    }
    server->connections =
        g_hash_table_new_full(NULL, NULL, NULL, free_connection);
    g_queue_init(&server->accepted);
    server->http = evhttp_new(options->base);
    assert(server->http != NULL);
    evhttp_set_bevcb(server->http, on_accepted, server);
    evhttp_set_gencb(server->http, on_request, server);
    evhttp_set_default_content_type(server->http, NULL);
    evhttp_set_max_headers_size(server->http, options->max_header_bytes);
    evhttp_set_max_body_size(
        server->http, (ev_ssize_t)options->max_body_bytes + BODY_MARGIN_BYTES);
    struct timeval timeout = EbClock_Timeval(options->header_timeout_us);
    evhttp_set_timeout_tv(server->http, &timeout);
    server->register_event =
        event_new(options->base, -1, 0, on_register, server);
    server->sweep_event =
        event_new(options->base, -1, EV_PERSIST, on_sweep, server);
    struct timeval interval = {0, SWEEP_INTERVAL_US};
    event_add(server->sweep_event, &interval);
    if (!listen_on(server, error)) {
        EbHttpServer_Free(server);
        return NULL;
    }
    return server;
}

void
EbHttpServer_Free(EbHttpServer *server)
{
    if (server == NULL) {
        return;
    }
    server->freeing = true;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, server->connections);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_open(value)) {
            remove_callbacks(value);
        }
    }
    event_free(server->register_event);
    event_free(server->sweep_event);
    evhttp_free(server->http);
    g_queue_clear(&server->accepted);
    g_hash_table_destroy(server->connections);
    g_free(server);
}
