#include "ebonyhollow/forward_client.h"

#include <assert.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <glib.h>

#include "clock.h"
#include "event_splitter.h"
#include "http_reader.h"
#include "options.h"
#include "socket.h"

#define DEFAULT_MAX_IDLE 8
#define DEFAULT_IDLE_TIMEOUT_US 10000000
#define DEFAULT_CONNECT_TIMEOUT_US 500000
#define DEFAULT_MAX_HEADER_BYTES 32768
#define DEFAULT_MAX_BODY_BYTES ((size_t)8 * 1024 * 1024)
#define DEFAULT_MAX_BUFFERED_BYTES ((size_t)32 * 1024 * 1024)
/* A body or an incomplete event of at most this size is accepted also while
 * others take all of `max_buffered_bytes`. */
#define SMALL_BYTES ((size_t)64 * 1024)
/* Of the events of a stream that have no id greater than all before. */
#define MAX_STALE_EVENT_BYTES 65536
/* Idle connections are closed this long before the server would close them. */
#define IDLE_MARGIN_US 500000
/* A server that has ended its output must go on taking the rest of the call:
 * after this time without progress the call is given up. */
#define REST_OF_CALL_TIMEOUT_US 1000000

typedef struct {
    EbForwardClient *client;
    char *server_id;
    struct bufferevent *bufev;
    EbHttpReader *reader;

    uint64_t attempt_id; /* 0: no call */
    char *request_id;
    bool stream;
    bool head;   /* its response has no body, whatever its length says */
    bool wrote;  /* bytes of the call may have been sent */
    bool reused; /* the connection carried an earlier call */
    EbHttpMessage *response;
    size_t body_bytes; /* of its body, in `buffered_bytes` */
    EbForwardReply reply;
    bool streaming;        /* the response is an event stream */
    int64_t last_event_id; /* greatest of the stream, -1: none */
    size_t stale_event_bytes;
    bool late_response; /* the response belongs to an earlier call */
    size_t late_bytes;  /* of the bodies of such responses */
    EbEventSplitter *splitter;
    size_t event_bytes; /* of an incomplete event, in `buffered_bytes` */
    int64_t idle_since_us;
    int64_t idle_timeout_us;
    struct event *timeout; /* of the call; NULL: none */
    bool done;             /* the call ended; reuse or free the connection */
    bool reusable;
} Connection;

struct EbForwardClient {
    EbForwardClientOptions options;
    GHashTable *calls; /* attempt id -> Connection */
    GHashTable *idle;  /* server id -> GQueue of Connection, newest first */
    GHashTable *connections; /* set of Connection */
    size_t buffered_bytes;   /* of the bodies of incomplete responses and of
                                incomplete events */
};

static void
drop_response(Connection *connection)
{
    if (connection->response == NULL) {
        return;
    }
    connection->client->buffered_bytes -= connection->body_bytes;
    connection->body_bytes = 0;
    EbHttpMessage_Unref(connection->response);
    connection->response = NULL;
}

/* Adds to the client's buffered bytes what its incomplete event has grown by.
 */
static void
count_incomplete_event(Connection *connection)
{
    size_t bytes = EbEventSplitter_BufferedBytes(connection->splitter);
    connection->client->buffered_bytes -= connection->event_bytes;
    connection->client->buffered_bytes += bytes;
    connection->event_bytes = bytes;
}

static void
drop_incomplete_event(Connection *connection)
{
    EbEventSplitter_Reset(connection->splitter);
    count_incomplete_event(connection);
}

static void
clear_timeout(Connection *connection)
{
    if (connection->timeout != NULL) {
        event_free(connection->timeout);
        connection->timeout = NULL;
    }
}

static void
free_connection(gpointer data)
{
    Connection *connection = data;
    clear_timeout(connection);
    bufferevent_free(connection->bufev);
    EbHttpReader_Free(connection->reader);
    drop_incomplete_event(connection);
    EbEventSplitter_Free(connection->splitter);
    drop_response(connection);
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
close_connection(Connection *connection)
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
report_event(Connection *connection, EbAttemptEvent *event)
{
    EbForwardClient *client = connection->client;
    event->attempt_id = connection->attempt_id;
    event->reply = connection->response;
    event->http_status =
        connection->response != NULL ? connection->response->status : 0;
    event->forward = connection->reply;
    event->reused_connection = connection->reused;
    event->directive = connection->reply.directive;
    event->has_load = connection->reply.has_load;
    event->load_running = connection->reply.load_running;
    event->load_waiting = connection->reply.load_waiting;
    event->load_work_percent = connection->reply.load_work_percent;
    client->options.event(client->options.context, event);
}

/* Reports the last event of a call and detaches it from the connection. */
static void
end_call(Connection *connection, EbAttemptEventKind kind)
{
    if (connection->attempt_id == 0) {
        return;
    }
    clear_timeout(connection);
    EbAttemptEvent event = {.kind = kind};
    report_event(connection, &event);
    g_hash_table_remove(connection->client->calls, &connection->attempt_id);
    connection->attempt_id = 0;
    connection->done = true;
}

static bool
is_event_stream(const EbHttpMessage *head)
{
    const char *type = EbHttpMessage_FindHeader(head, "Content-Type");
    return head->status == 200 && type != NULL &&
           g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

static void
read_keep_alive(Connection *connection, const EbHttpMessage *head)
{
    const char *value = EbHttpMessage_FindHeader(head, "Keep-Alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    connection->idle_timeout_us = connection->client->options.idle_timeout_us;
    if (timeout != NULL) {
        int64_t announced_us =
            g_ascii_strtoll(timeout + strlen("timeout="), NULL, 10) * 1000000;
        connection->idle_timeout_us =
            MIN(connection->idle_timeout_us, announced_us - IDLE_MARGIN_US);
    }
}

/* Returns whether a body or an incomplete event may have `total_bytes`, of
 * which `added_bytes` are not counted yet. */
static bool
has_room(const EbForwardClient *client, size_t total_bytes, size_t added_bytes)
{
    return total_bytes <= SMALL_BYTES ||
           client->buffered_bytes + added_bytes <=
               client->options.max_buffered_bytes;
}

/* Counts a body of this size, before memory is taken for it. Returns false if
 * it is too large. */
static bool
count_body(Connection *connection, uint64_t total_bytes)
{
    EbForwardClient *client = connection->client;
    if (total_bytes <= connection->body_bytes) {
        return true;
    }
    if (total_bytes > client->options.max_body_bytes) {
        return false;
    }
    size_t added_bytes = (size_t)total_bytes - connection->body_bytes;
    if (!has_room(client, (size_t)total_bytes, added_bytes)) {
        return false;
    }
    client->buffered_bytes += added_bytes;
    connection->body_bytes += added_bytes;
    return true;
}

/* Makes room for a body of declared length, which then isn't copied as it
 * grows. Returns false if it is too large. */
static bool
reserve_body(Connection *connection, EbHttpMessage *message)
{
    const char *value = EbHttpMessage_FindHeader(message, "Content-Length");
    uint64_t bytes = value != NULL ? g_ascii_strtoull(value, NULL, 10) : 0;
    if (connection->head || !EbHttpMessage_StatusAllowsBody(message->status)) {
        return true;
    }
    if (!count_body(connection, bytes)) {
        return false;
    }
    EbHttpMessage_ReserveBody(message, (size_t)bytes);
    return true;
}

static bool
on_head(void *context, EbHttpMessage *message)
{
    Connection *connection = context;
    drop_response(connection);
    connection->response = message;
    connection->client->options.protocol->read_reply(message,
                                                     &connection->reply);
    connection->late_response =
        connection->request_id != NULL &&
        connection->reply.request_id != NULL &&
        strcmp(connection->reply.request_id, connection->request_id) != 0;
    if (connection->late_response) {
        return true;
    }
    read_keep_alive(connection, message);
    connection->streaming = connection->stream && is_event_stream(message);
    if (!connection->streaming && !reserve_body(connection, message)) {
        return false;
    }
    if (connection->streaming) {
        EbAttemptEvent event = {.kind = EB_ATTEMPT_STREAMING};
        report_event(connection, &event);
    }
    return true;
}

/* Returns whether the event's id is new. The bytes of other events are
 * counted, since they may come without end. */
static bool
count_event(Connection *connection, int64_t id, size_t byte_count)
{
    if (id > connection->last_event_id) {
        connection->last_event_id = id;
        return true;
    }
    connection->stale_event_bytes += byte_count;
    return false;
}

static void
on_stream_event(void *context, int64_t id, const uint8_t *bytes,
                size_t byte_count)
{
    Connection *connection = context;
    if (connection->attempt_id == 0) {
        return;
    }
    if (!count_event(connection, id, byte_count) &&
        connection->stale_event_bytes > MAX_STALE_EVENT_BYTES) {
        return;
    }
    EbAttemptEvent event = {.kind = EB_ATTEMPT_EVENTS,
                            .event_id = id,
                            .bytes = bytes,
                            .byte_count = byte_count};
    report_event(connection, &event);
}

static bool
feed_stream(Connection *connection, const uint8_t *bytes, size_t byte_count)
{
    bool valid = EbEventSplitter_Feed(connection->splitter, bytes, byte_count);
    count_incomplete_event(connection);
    return valid && connection->stale_event_bytes <= MAX_STALE_EVENT_BYTES &&
           has_room(connection->client, connection->event_bytes, 0);
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    Connection *connection = context;
    if (connection->late_response) {
        connection->late_bytes += byte_count;
        return connection->late_bytes <=
               connection->client->options.max_body_bytes;
    }
    if (connection->streaming) {
        return feed_stream(connection, bytes, byte_count);
    }
    if (!count_body(connection,
                    connection->response->body_bytes + byte_count)) {
        return false;
    }
    EbHttpMessage_AddBody(connection->response, bytes, byte_count);
    return true;
}

static void
on_complete(void *context, bool reusable)
{
    Connection *connection = context;
    if (connection->late_response) {
        return;
    }
    connection->reusable = reusable && connection->request_id != NULL;
    bool stream_complete =
        !connection->streaming ||
        EbEventSplitter_BufferedBytes(connection->splitter) == 0;
    if (!stream_complete) {
        end_call(connection, EB_ATTEMPT_BROKEN);
        return;
    }
    end_call(connection,
             connection->streaming ? EB_ATTEMPT_ENDED : EB_ATTEMPT_ANSWERED);
}

static void
release_connection(Connection *connection)
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
    drop_response(connection);
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

static void on_event(struct bufferevent *bufev, short what, void *context);

static void
on_read(struct bufferevent *bufev, void *context)
{
    Connection *connection = context;
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
            end_call(connection, EB_ATTEMPT_MALFORMED);
            close_connection(connection);
            return;
        }
    }
    if (connection->done) {
        release_connection(connection);
    }
}

/* Ends a call whose server has ended its output: its response may be complete
 * with that. */
static void
end_input(Connection *connection)
{
    if (!EbHttpReader_HandleEof(connection->reader)) {
        end_call(connection, EB_ATTEMPT_BROKEN);
    }
    close_connection(connection);
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
write_rest(Connection *connection)
{
    struct timeval limit = EbClock_Timeval(REST_OF_CALL_TIMEOUT_US);
    bufferevent_setcb(connection->bufev, NULL, on_rest_written, on_event,
                      connection);
    bufferevent_set_timeouts(connection->bufev, NULL, &limit);
}

static void
on_event(struct bufferevent *bufev, short what, void *context)
{
    Connection *connection = context;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connection->wrote = true;
        bufferevent_set_timeouts(connection->bufev, NULL, NULL);
        return;
    }
    bool input_ended = connection->attempt_id != 0 && connection->wrote &&
                       (what & BEV_EVENT_EOF) != 0;
    if (input_ended && EbHttpReader_EndsWithEof(connection->reader) &&
        evbuffer_get_length(bufferevent_get_output(bufev)) > 0) {
        write_rest(connection);
        return;
    }
    if (input_ended) {
        end_input(connection);
        return;
    }
    end_call(connection,
             connection->wrote ? EB_ATTEMPT_BROKEN : EB_ATTEMPT_REFUSED);
    close_connection(connection);
}

static Connection *
pop_idle(EbForwardClient *client, const char *server_id)
{
    GQueue *idle = g_hash_table_lookup(client->idle, server_id);
    if (idle == NULL) {
        return NULL;
    }
    Connection *connection = g_queue_pop_head(idle);
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
        count += strcmp(((const Connection *)key)->server_id, server_id) == 0;
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

static Connection *
open_connection(EbForwardClient *client, const EbForwardSend *send)
{
    Connection *connection = g_new0(Connection, 1);
    connection->client = client;
    connection->server_id = g_strdup(send->server_id);
    connection->idle_timeout_us = client->options.idle_timeout_us;
    connection->bufev = bufferevent_socket_new(client->options.base, -1,
                                               BEV_OPT_CLOSE_ON_FREE);
    connection->splitter = EbEventSplitter_New(on_stream_event, connection);
    connection->reader = EbHttpReader_New(&(EbHttpReaderOptions){
        .kind = EB_HTTP_RESPONSES,
        .max_header_bytes = client->options.max_header_bytes,
        .head = on_head,
        .body = on_body,
        .complete = on_complete,
        .context = connection});
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
    Connection *connection = context;
    end_call(connection,
             connection->wrote ? EB_ATTEMPT_BROKEN : EB_ATTEMPT_REFUSED);
    close_connection(connection);
}

static void
start_timeout(Connection *connection, int64_t timeout_us)
{
    struct timeval limit = EbClock_Timeval(timeout_us);
    connection->timeout =
        evtimer_new(connection->client->options.base, on_timeout, connection);
    event_add(connection->timeout, &limit);
}

static bool
start_connect(const Connection *connection, const EbForwardSend *send)
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
write_call(Connection *connection, const EbForwardSend *send,
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
    Connection *connection = fresh ? NULL : pop_idle(client, send->server_id);
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
    drop_incomplete_event(connection);
    connection->head = strcmp(message->method, "HEAD") == 0;
    EbHttpReader_SkipBody(connection->reader, connection->head);
    g_hash_table_insert(client->calls, &connection->attempt_id, connection);
    if (opened && !start_connect(connection, send)) {
        end_call(connection, EB_ATTEMPT_REFUSED);
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
    Connection *connection = g_hash_table_lookup(client->calls, &attempt_id);
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
    Connection *connection = g_hash_table_lookup(client->calls, &attempt_id);
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
