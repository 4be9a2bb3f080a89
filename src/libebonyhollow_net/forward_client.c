#include "ebonyhollow/forward_client.h"

#include <assert.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "clock.h"
#include "forward_client_connection.h"
#include "options.h"
#include "socket.h"

#define DEFAULT_MAX_IDLE 8
#define DEFAULT_IDLE_TIMEOUT_US 10000000
#define DEFAULT_CONNECT_TIMEOUT_US 500000
#define DEFAULT_MAX_HEADER_BYTES 32768
#define DEFAULT_MAX_BODY_BYTES ((size_t)8 * 1024 * 1024)
#define DEFAULT_MAX_BUFFERED_BYTES ((size_t)32 * 1024 * 1024)
/* A server that has ended its output must go on taking the rest of the call:
 * after this time without progress the call is given up. */
#define REST_OF_CALL_TIMEOUT_US 1000000

static void end_input(EbForwardClientConnection *connection);
static void on_event(struct bufferevent *bufev, short what, void *context);

static void
free_connection(gpointer data)
{
    EbForwardClientConnection *connection = data;
    EbForwardClientCall_ClearTimeout(connection);
    bufferevent_free(connection->bufev);
    EbHttpReader_Free(connection->reader);
    EbForwardClientCall_DropEvent(connection);
    EbEventSplitter_Free(connection->splitter);
    EbForwardClientCall_DropResponse(connection);
    g_free(connection->request_id);
    g_free(connection->server_id);
    g_free(connection);
}

static void
free_queue(gpointer queue)
{
    g_queue_free(queue);
}

static void
close_connection(EbForwardClientConnection *connection)
{
    EbForwardClient *client = connection->client;
    if (connection->attempt_id != 0) {
        g_hash_table_remove(client->calls, &connection->attempt_id);
        connection->attempt_id = 0;
    }
    GQueue *idle = g_hash_table_lookup(client->idle, connection->server_id);
    if (idle != NULL) {
        g_queue_remove(idle, connection);
        if (idle->length == 0) {
            g_hash_table_remove(client->idle, connection->server_id);
        }
    }
    g_hash_table_remove(client->connections, connection);
}

static void
release_connection(EbForwardClientConnection *connection)
{
    EbForwardClient *client = connection->client;
    GQueue *idle = g_hash_table_lookup(client->idle, connection->server_id);
    struct evbuffer *input = bufferevent_get_input(connection->bufev);
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    bool keep = connection->reusable && evbuffer_get_length(input) == 0 &&
                evbuffer_get_length(output) == 0 &&
                connection->idle_timeout_us > 0;
    if (!keep || (idle != NULL &&
                  idle->length >= client->options.max_idle_per_server)) {
        close_connection(connection);
        return;
    }
    EbForwardClientCall_DropResponse(connection);
    connection->reply = (EbForwardReply){0};
    connection->done = false;
    connection->idle_since_us = EbClock_Monotonic();
    struct timeval limit = EbClock_Timeval(connection->idle_timeout_us);
    bufferevent_set_timeouts(connection->bufev, &limit, NULL);
    bufferevent_enable(connection->bufev, EV_READ);
    if (idle == NULL) {
        idle = g_queue_new();
        g_hash_table_insert(client->idle, g_strdup(connection->server_id),
                            idle);
    }
    g_queue_push_head(idle, connection);
}

static void
on_read(struct bufferevent *bufev, void *context)
{
    EbForwardClientConnection *connection = context;
    if (connection->attempt_id == 0) {
        /* The server sent data without a call. */
        close_connection(connection);
        return;
    }
    struct evbuffer *input = bufferevent_get_input(bufev);
    while (connection->attempt_id != 0 && evbuffer_get_length(input) > 0) {
        size_t length = evbuffer_get_contiguous_space(input);
        const uint8_t *bytes = evbuffer_pullup(input, (ev_ssize_t)length);
        size_t consumed = 0;
        EbHttpReadResult result =
            EbHttpReader_Feed(connection->reader, bytes, length, &consumed);
        evbuffer_drain(input, consumed);
        if (result == EB_HTTP_READ_INVALID ||
            result == EB_HTTP_READ_TOO_LARGE) {
            EbForwardClientCall_End(connection, EB_ATTEMPT_MALFORMED);
            close_connection(connection);
            return;
        }
    }
    if (connection->done) {
        release_connection(connection);
    }
}

static void
on_rest_written(struct bufferevent *bufev, void *context)
{
    (void)bufev;
    end_input(context);
}

/* Writes the rest of a call before its response counts as complete: if the
 * server, or its instance, ended on the way, the connection is reset. */
static void
write_rest(EbForwardClientConnection *connection)
{
    struct timeval limit = EbClock_Timeval(REST_OF_CALL_TIMEOUT_US);
    bufferevent_setcb(connection->bufev, NULL, on_rest_written, on_event,
                      connection);
    bufferevent_set_timeouts(connection->bufev, NULL, &limit);
}

/* Ends a call whose server has ended its output: its response may be complete
 * with that. */
static void
end_input(EbForwardClientConnection *connection)
{
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    if (EbHttpReader_EndsWithEof(connection->reader) &&
        evbuffer_get_length(output) > 0) {
        write_rest(connection);
        return;
    }
    if (!EbHttpReader_HandleEof(connection->reader)) {
        EbForwardClientCall_End(connection, EB_ATTEMPT_BROKEN);
    }
    close_connection(connection);
}

static void
on_event(struct bufferevent *bufev, short what, void *context)
{
    (void)bufev;
    EbForwardClientConnection *connection = context;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->wrote = true;
        bufferevent_set_timeouts(connection->bufev, NULL, NULL);
        return;
    }
    if (connection->attempt_id != 0 && connection->wrote &&
        (what & BEV_EVENT_EOF) != 0) {
        end_input(connection);
        return;
    }
    EbForwardClientCall_End(connection, connection->wrote
                                            ? EB_ATTEMPT_BROKEN
                                            : EB_ATTEMPT_REFUSED);
    close_connection(connection);
}

static EbForwardClientConnection *
pop_idle(EbForwardClient *client, const char *server_id)
{
    GQueue *idle = g_hash_table_lookup(client->idle, server_id);
    if (idle == NULL) {
        return NULL;
    }
    EbForwardClientConnection *connection = g_queue_pop_head(idle);
    if (idle->length == 0) {
        g_hash_table_remove(client->idle, server_id);
    }
    bufferevent_set_timeouts(connection->bufev, NULL, NULL);
    return connection;
}

static uint32_t
count_connections(const EbForwardClient *client, const char *server_id)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer key;
    g_hash_table_iter_init(&iter, client->connections);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        count += strcmp(((const EbForwardClientConnection *)key)->server_id,
                        server_id) == 0;
    }
    return count;
}

/* Closes idle connections until another one may be opened within the limit. A
 * server resets connections beyond its own limit, together with the calls that
 * were sent on them. */
static void
close_excess_idle(EbForwardClient *client, const EbForwardSend *send)
{
    uint32_t count = count_connections(client, send->server_id);
    GQueue *idle;
    while (count >= send->max_connections &&
           (idle = g_hash_table_lookup(client->idle, send->server_id)) !=
               NULL) {
        close_connection(g_queue_peek_tail(idle));
        count--;
    }
}

static EbForwardClientConnection *
open_connection(EbForwardClient *client, const EbForwardSend *send)
{
    EbForwardClientConnection *connection =
        g_new0(EbForwardClientConnection, 1);
    connection->client = client;
    connection->server_id = g_strdup(send->server_id);
    connection->idle_timeout_us = client->options.idle_timeout_us;
    connection->bufev = bufferevent_socket_new(client->options.base, -1,
                                               BEV_OPT_CLOSE_ON_FREE);
    EbForwardClientCall_OpenReader(connection);
    bufferevent_setcb(connection->bufev, on_read, NULL, on_event, connection);
    struct timeval limit = EbClock_Timeval(client->options.connect_timeout_us);
    bufferevent_set_timeouts(connection->bufev, &limit, &limit);
    g_hash_table_add(client->connections, connection);
    return connection;
}

static void
on_timeout(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    EbForwardClientConnection *connection = context;
    EbForwardClientCall_End(connection, connection->wrote
                                            ? EB_ATTEMPT_BROKEN
                                            : EB_ATTEMPT_REFUSED);
    close_connection(connection);
}

static void
start_timeout(EbForwardClientConnection *connection, int64_t timeout_us)
{
    struct timeval limit = EbClock_Timeval(timeout_us);
    connection->timeout =
        evtimer_new(connection->client->options.base, on_timeout, connection);
    event_add(connection->timeout, &limit);
}

static bool
start_connect(const EbForwardClientConnection *connection,
              const EbForwardSend *send)
{
    struct sockaddr_storage storage;
    int length = EbSocket_ParseAddress(send->host, send->port, &storage);
    if (length == 0 ||
        bufferevent_socket_connect(connection->bufev,
                                   (struct sockaddr *)&storage, length) != 0) {
        return false;
    }
    EbSocket_SetNoDelay(bufferevent_getfd(connection->bufev));
    return true;
}

static void
release_message(const void *bytes, size_t byte_count, void *message)
{
    (void)bytes;
    (void)byte_count;
    EbHttpMessage_Unref(message);
}

static void
write_call(EbForwardClientConnection *connection, const EbForwardSend *send,
           EbHttpMessage *message)
{
    struct evbuffer *output = bufferevent_get_output(connection->bufev);
    evbuffer_add_printf(output, "%s %s HTTP/1.1\r\n", message->method,
                        message->target);
    for (uint32_t i = 0; i < message->header_count; i++) {
        evbuffer_add_printf(output, "%s: %s\r\n", message->headers[i].name,
                            message->headers[i].value);
    }
    if (EbHttpMessage_FindHeader(message, "Host") == NULL) {
        evbuffer_add_printf(output, "Host: %s:%u\r\n", send->host,
                            (unsigned)send->port);
    }
    bool has_length = message->body_bytes > 0 ||
                      strcmp(message->method, "POST") == 0 ||
                      strcmp(message->method, "PUT") == 0;
    if (has_length) {
        evbuffer_add_printf(output, "Content-Length: %zu\r\n",
                            message->body_bytes);
    }
    evbuffer_add(output, "\r\n", 2);
    if (message->body_bytes > 0) {
        evbuffer_add_reference(output, message->body, message->body_bytes,
                               release_message, EbHttpMessage_Ref(message));
    }
}

void
EbForwardClient_Send(EbForwardClient *client, const EbForwardSend *send,
                     EbHttpMessage *message)
{
    if (message->invalid) {
        client->options.event(
            client->options.context,
            &(EbAttemptEvent){.kind = EB_ATTEMPT_REFUSED,
                              .attempt_id = send->attempt_id});
        return;
    }
    /* Without an id a late second copy of an earlier response could not be
     * told from the response to this call. */
    bool fresh = send->fresh_connection || send->request_id == NULL;
    EbForwardClientConnection *connection =
        fresh ? NULL : pop_idle(client, send->server_id);
    bool opened = connection == NULL;
    if (opened) {
        if (send->max_connections > 0) {
            close_excess_idle(client, send);
        }
        connection = open_connection(client, send);
    }
    connection->attempt_id = send->attempt_id;
    connection->reused = !opened;
    g_free(connection->request_id);
    connection->request_id = g_strdup(send->request_id);
    connection->stream = send->stream;
    connection->streaming = false;
    connection->late_response = false;
    connection->late_bytes = 0;
    connection->last_event_id = -1;
    connection->stale_event_bytes = 0;
    connection->done = false;
    EbForwardClientCall_DropEvent(connection);
    connection->head_request = strcmp(message->method, "HEAD") == 0;
    EbHttpReader_SkipBody(connection->reader, connection->head_request);
    g_hash_table_insert(client->calls, &connection->attempt_id, connection);
    if (opened && !start_connect(connection, send)) {
        EbForwardClientCall_End(connection, EB_ATTEMPT_REFUSED);
        close_connection(connection);
        return;
    }
    if (send->timeout_us > 0) {
        start_timeout(connection, send->timeout_us);
    }
    write_call(connection, send, message);
    bufferevent_enable(connection->bufev, EV_READ | EV_WRITE);
}

void
EbForwardClient_Cancel(EbForwardClient *client, uint64_t attempt_id)
{
    EbForwardClientConnection *connection =
        g_hash_table_lookup(client->calls, &attempt_id);
    if (connection != NULL) {
        close_connection(connection);
    }
}

void
EbForwardClient_CloseIdle(EbForwardClient *client, const char *server_id)
{
    GQueue *idle;
    while ((idle = g_hash_table_lookup(client->idle, server_id)) != NULL) {
        close_connection(g_queue_peek_head(idle));
    }
}

void
EbForwardClient_Pause(EbForwardClient *client, uint64_t attempt_id,
                      bool paused)
{
    EbForwardClientConnection *connection =
        g_hash_table_lookup(client->calls, &attempt_id);
    if (connection == NULL) {
        return;
    }
    if (paused) {
        bufferevent_disable(connection->bufev, EV_READ);
    }
    else {
        bufferevent_enable(connection->bufev, EV_READ);
    }
}

EbForwardClient *
EbForwardClient_New(const EbForwardClientOptions *options)
{
    assert(options->base != NULL && options->event != NULL);
    EbForwardClient *client = g_new0(EbForwardClient, 1);
    client->options = *options;
    EbForwardClientOptions *resolved = &client->options;
    EB_SET_DEFAULT(resolved->max_idle_per_server, DEFAULT_MAX_IDLE);
    EB_SET_DEFAULT(resolved->idle_timeout_us, DEFAULT_IDLE_TIMEOUT_US);
    EB_SET_DEFAULT(resolved->connect_timeout_us, DEFAULT_CONNECT_TIMEOUT_US);
    EB_SET_DEFAULT(resolved->max_header_bytes, DEFAULT_MAX_HEADER_BYTES);
    EB_SET_DEFAULT(resolved->max_body_bytes, DEFAULT_MAX_BODY_BYTES);
    EB_SET_DEFAULT(resolved->max_buffered_bytes, DEFAULT_MAX_BUFFERED_BYTES);
    client->calls = g_hash_table_new(g_int64_hash, g_int64_equal);
    client->idle =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_queue);
    client->connections =
        g_hash_table_new_full(NULL, NULL, free_connection, NULL);
    return client;
}

void
EbForwardClient_Free(EbForwardClient *client)
{
    if (client == NULL) {
        return;
    }
    g_hash_table_destroy(client->calls);
    g_hash_table_destroy(client->idle);
    g_hash_table_destroy(client->connections);
    g_free(client);
}
