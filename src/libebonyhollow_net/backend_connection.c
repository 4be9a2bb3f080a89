#include <assert.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "backend_connection.h"
#include "clock.h"

#define SWEEP_INTERVAL_US (1000LL * 1000)
/* A stream's connection is reused only if its response ends within this time
 * after [DONE]. */
#define STREAM_TAIL_TIMEOUT_US (1000LL * 1000)

/* A body may come in chunks of one byte, each with six bytes in all. */
#define MAX_BYTES_PER_BODY_BYTE 8

/* A response of at most this size is accepted also while others take all of
 * `max_buffered_bytes`. */
#define SMALL_BYTES ((size_t)64 * 1024)

typedef struct EbBackendServer {
    char *id;
    char *host;
    uint16_t port;
    GQueue idle; /* of EbBackendConnection, most recently used first */
    uint32_t connections;
} Server;

struct EbBackendConnections {
    const EbBackendClientOptions *options;
    EbBackendOverflowHandler overflow;
    GHashTable *servers;     /* id -> Server */
    GHashTable *connections; /* set of EbBackendConnection */
    GQueue close_pending;    /* of EbBackendConnection */
    size_t buffered_bytes;   /* of all connections */
    struct event *close_event;
    struct event *sweep_event;
};

static void
free_server(void *data)
{
    Server *server = data;
    g_queue_clear(&server->idle);
    g_free(server->id);
    g_free(server->host);
    g_free(server);
}

static void
remove_from_idle(EbBackendConnection *connection)
{
    if (connection->idle_link != NULL) {
        g_queue_delete_link(&connection->server->idle, connection->idle_link);
        connection->idle_link = NULL;
    }
}

static void
drop_buffered_bytes(EbBackendConnection *connection)
{
    connection->pool->buffered_bytes -= connection->buffered_bytes;
    connection->buffered_bytes = 0;
}

void
EbBackendConnection_StartCall(EbBackendConnection *connection)
{
    drop_buffered_bytes(connection);
    connection->wrote = false;
    connection->streams = false;
    connection->received_bytes = 0;
}

void
EbBackendConnection_StartStream(EbBackendConnection *connection)
{
    drop_buffered_bytes(connection);
    connection->streams = true;
}

void
EbBackendConnection_Close(EbBackendConnection *connection)
{
    drop_buffered_bytes(connection);
    remove_from_idle(connection);
    connection->close_pending = true;
    connection->server->connections--;
    g_hash_table_remove(connection->pool->connections, connection);
    evhttp_connection_free(connection->evcon);
    g_free(connection);
}

void
EbBackendConnection_CloseLater(EbBackendConnection *connection)
{
    if (connection->close_pending) {
        return;
    }
    remove_from_idle(connection);
    drop_buffered_bytes(connection);
    connection->close_pending = true;
    connection->attempt = NULL;
    struct bufferevent *bufev =
        evhttp_connection_get_bufferevent(connection->evcon);
    bufferevent_disable(bufev, EV_READ);
    g_queue_push_tail(&connection->pool->close_pending, connection);
    event_active(connection->pool->close_event, EV_TIMEOUT, 0);
}

static void
on_close_pending(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbBackendConnections *pool = arg;
    EbBackendConnection *connection;
    while ((connection = g_queue_pop_head(&pool->close_pending)) != NULL) {
        EbBackendConnection_Close(connection);
    }
}

static gboolean
has_no_connections(gpointer id, gpointer server, gpointer context)
{
    (void)id;
    (void)context;
    return ((const Server *)server)->connections == 0;
}

/* Closes connections that were idle for too long or whose stream did not end
 * in time after [DONE]. Also removes servers without connections, which may no
 * longer be in the configuration. */
static void
on_sweep(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbBackendConnections *pool = arg;
    int64_t now_us = EbClock_Monotonic();
    GHashTableIter iter;
    void *key;
    g_hash_table_iter_init(&iter, pool->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        EbBackendConnection *connection = key;
        int64_t age_us = now_us - connection->call_ended_us;
        int64_t limit_us = connection->idle_link != NULL
                               ? pool->options->idle_timeout_us
                               : STREAM_TAIL_TIMEOUT_US;
        if (connection->attempt == NULL && age_us >= limit_us) {
            EbBackendConnection_CloseLater(connection);
        }
    }
    g_hash_table_foreach_remove(pool->servers, has_no_connections, NULL);
}

/* Records that bytes of a call were added to the output buffer. */
static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
    (void)buffer;
    EbBackendConnection *connection = arg;
    if (info->n_added > 0) {
        connection->wrote = true;
    }
}

/* Returns whether the responses that are incomplete take more memory together
 * than they may, and this one is not a small one. */
static bool
exceeds_buffered(const EbBackendConnection *connection)
{
    const EbBackendConnections *pool = connection->pool;
    return connection->buffered_bytes > SMALL_BYTES &&
           pool->buffered_bytes > pool->options->max_buffered_bytes;
}

/* evhttp limits the head and the body of a response, but neither what comes
 * between them, such as interim responses and chunk extensions, nor a line
 * that it waits for the end of, nor the responses of several connections. */
static void
on_input(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
         void *arg)
{
    EbBackendConnection *connection = arg;
    const EbBackendClientOptions *options = connection->pool->options;
    connection->received_bytes += info->n_added;
    if (connection->attempt != NULL && !connection->streams) {
        connection->buffered_bytes += info->n_added;
        connection->pool->buffered_bytes += info->n_added;
    }
    size_t max_unparsed_bytes =
        options->max_header_bytes + options->max_body_bytes;
    size_t max_received_bytes =
        options->max_header_bytes +
        MAX_BYTES_PER_BODY_BYTE * options->max_body_bytes;
    if (info->n_added > 0 && connection->attempt != NULL &&
        (evbuffer_get_length(buffer) > max_unparsed_bytes ||
         connection->received_bytes > max_received_bytes ||
         exceeds_buffered(connection))) {
        connection->pool->overflow(connection);
    }
}

static void
on_closed(struct evhttp_connection *evcon, void *arg)
{
    (void)evcon;
    EbBackendConnection *connection = arg;
    connection->closed = true;
    if (connection->attempt == NULL) {
        EbBackendConnection_CloseLater(connection);
    }
}

static Server *
find_server(EbBackendConnections *pool, const EbSendAttempt *send)
{
    Server *server = g_hash_table_lookup(pool->servers, send->server_id);
    if (server == NULL) {
        server = g_new0(Server, 1);
        server->id = g_strdup(send->server_id);
        g_queue_init(&server->idle);
        g_hash_table_insert(pool->servers, server->id, server);
    }
    if (server->host == NULL || strcmp(server->host, send->host) != 0 ||
        server->port != send->port) {
        EbBackendConnections_CloseIdle(pool, send->server_id);
        g_free(server->host);
        server->host = g_strdup(send->host);
        server->port = send->port;
    }
    return server;
}

static EbBackendConnection *
open_connection(EbBackendConnections *pool, Server *server)
{
    const EbBackendClientOptions *options = pool->options;
    EbBackendConnection *connection = g_new0(EbBackendConnection, 1);
    connection->pool = pool;
    connection->server = server;
    connection->evcon = evhttp_connection_base_new(options->base, NULL,
                                                   server->host, server->port);
    assert(connection->evcon != NULL);
    struct timeval timeout = EbClock_Timeval(options->inactivity_timeout_us);
    evhttp_connection_set_timeout_tv(connection->evcon, &timeout);
    evhttp_connection_set_retries(connection->evcon, 0);
    evhttp_connection_set_max_headers_size(
        connection->evcon, (ev_ssize_t)options->max_header_bytes);
    evhttp_connection_set_max_body_size(connection->evcon,
                                        (ev_ssize_t)options->max_body_bytes);
    evhttp_connection_set_closecb(connection->evcon, on_closed, connection);
    struct bufferevent *bufev =
        evhttp_connection_get_bufferevent(connection->evcon);
    evbuffer_add_cb(bufferevent_get_output(bufev), on_output, connection);
    evbuffer_add_cb(bufferevent_get_input(bufev), on_input, connection);
    g_hash_table_add(pool->connections, connection);
    server->connections++;
    return connection;
}

void
EbBackendConnection_Release(EbBackendConnection *connection)
{
    EbBackendConnections *pool = connection->pool;
    Server *server = connection->server;
    if (connection->closed || connection->close_pending ||
        g_queue_get_length(&server->idle) >=
            pool->options->max_idle_per_server) {
        EbBackendConnection_CloseLater(connection);
        return;
    }
    drop_buffered_bytes(connection);
    connection->call_ended_us = EbClock_Monotonic();
    g_queue_push_head(&server->idle, connection);
    connection->idle_link = server->idle.head;
}

EbBackendConnection *
EbBackendConnections_Acquire(EbBackendConnections *pool,
                             const EbSendAttempt *send, bool *opened)
{
    Server *server = find_server(pool, send);
    EbBackendConnection *connection = NULL;
    if (!send->fresh_connection) {
        connection = g_queue_peek_head(&server->idle);
    }
    *opened = connection == NULL;
    if (*opened) {
        return open_connection(pool, server);
    }
    remove_from_idle(connection);
    return connection;
}

void
EbBackendConnections_CloseIdle(EbBackendConnections *pool,
                               const char *server_id)
{
    Server *server = g_hash_table_lookup(pool->servers, server_id);
    EbBackendConnection *connection;
    while (server != NULL &&
           (connection = g_queue_peek_head(&server->idle)) != NULL) {
        EbBackendConnection_CloseLater(connection);
    }
}

size_t
EbBackendConnections_IdleCount(const EbBackendConnections *pool,
                               const char *server_id)
{
    const Server *server = g_hash_table_lookup(pool->servers, server_id);
    return server != NULL ? server->idle.length : 0;
}

EbBackendConnections *
EbBackendConnections_New(const EbBackendClientOptions *options,
                         EbBackendOverflowHandler overflow)
{
    EbBackendConnections *pool = g_new0(EbBackendConnections, 1);
    pool->options = options;
    pool->overflow = overflow;
    pool->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    pool->connections = g_hash_table_new(NULL, NULL);
    g_queue_init(&pool->close_pending);
    pool->close_event =
        event_new(options->base, -1, 0, on_close_pending, pool);
    pool->sweep_event =
        event_new(options->base, -1, EV_PERSIST, on_sweep, pool);
    struct timeval interval =
        EbClock_Timeval(MIN(SWEEP_INTERVAL_US, options->idle_timeout_us));
    event_add(pool->sweep_event, &interval);
    return pool;
}

void
EbBackendConnections_Free(EbBackendConnections *pool)
{
    event_free(pool->sweep_event);
    event_free(pool->close_event);
    g_queue_clear(&pool->close_pending);
    GList *connections = g_hash_table_get_keys(pool->connections);
    for (GList *item = connections; item != NULL; item = item->next) {
        EbBackendConnection *connection = item->data;
        connection->attempt = NULL;
        EbBackendConnection_Close(connection);
    }
    g_list_free(connections);
    g_hash_table_destroy(pool->connections);
    g_hash_table_destroy(pool->servers);
    g_free(pool);
}
