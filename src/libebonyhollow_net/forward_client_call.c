/* Calls of EbForwardClient: their responses and events. */
#include "forward_client_connection.h"

#include <string.h>

#include <event2/event.h>

/* Of the events of a stream that have no id greater than all before. */
#define MAX_STALE_EVENT_BYTES 65536
/* A body or an incomplete event of at most this size is accepted also while
 * others take all of `max_buffered_bytes`. */
#define SMALL_BYTES ((size_t)64 * 1024)
/* Idle connections are closed this long before the server would close them. */
#define IDLE_MARGIN_US 500000

void
EbForwardClientCall_DropResponse(EbForwardClientConnection *connection)
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
count_incomplete_event(EbForwardClientConnection *connection)
{
    size_t bytes = EbEventSplitter_BufferedBytes(connection->splitter);
    connection->client->buffered_bytes -= connection->event_bytes;
    connection->client->buffered_bytes += bytes;
    connection->event_bytes = bytes;
}

void
EbForwardClientCall_DropEvent(EbForwardClientConnection *connection)
{
    EbEventSplitter_Reset(connection->splitter);
    count_incomplete_event(connection);
}

void
EbForwardClientCall_ClearTimeout(EbForwardClientConnection *connection)
{
    if (connection->timeout != NULL) {
        event_free(connection->timeout);
        connection->timeout = NULL;
    }
}

static void
report_event(EbForwardClientConnection *connection, EbAttemptEvent *event)
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

void
EbForwardClientCall_End(EbForwardClientConnection *connection,
                        EbAttemptEventKind kind)
{
    if (connection->attempt_id == 0) {
        return;
    }
    EbForwardClientCall_ClearTimeout(connection);
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
read_keep_alive(EbForwardClientConnection *connection,
                const EbHttpMessage *head)
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
count_body(EbForwardClientConnection *connection, uint64_t total_bytes)
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
reserve_body(EbForwardClientConnection *connection, EbHttpMessage *message)
{
    const char *value = EbHttpMessage_FindHeader(message, "Content-Length");
    uint64_t bytes = value != NULL ? g_ascii_strtoull(value, NULL, 10) : 0;
    if (connection->head_request ||
        !EbHttpMessage_StatusAllowsBody(message->status)) {
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
    EbForwardClientConnection *connection = context;
    EbForwardClientCall_DropResponse(connection);
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
count_event(EbForwardClientConnection *connection, int64_t id,
            size_t byte_count)
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
    EbForwardClientConnection *connection = context;
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
feed_stream(EbForwardClientConnection *connection, const uint8_t *bytes,
            size_t byte_count)
{
    bool valid = EbEventSplitter_Feed(connection->splitter, bytes, byte_count);
    count_incomplete_event(connection);
    return valid && connection->stale_event_bytes <= MAX_STALE_EVENT_BYTES &&
           has_room(connection->client, connection->event_bytes, 0);
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    EbForwardClientConnection *connection = context;
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
    EbForwardClientConnection *connection = context;
    if (connection->late_response) {
        return;
    }
    connection->reusable = reusable && connection->request_id != NULL;
    bool stream_complete =
        !connection->streaming ||
        EbEventSplitter_BufferedBytes(connection->splitter) == 0;
    if (!stream_complete) {
        EbForwardClientCall_End(connection, EB_ATTEMPT_BROKEN);
        return;
    }
    EbForwardClientCall_End(connection, connection->streaming
                                            ? EB_ATTEMPT_ENDED
                                            : EB_ATTEMPT_ANSWERED);
}

void
EbForwardClientCall_OpenReader(EbForwardClientConnection *connection)
{
    connection->splitter = EbEventSplitter_New(on_stream_event, connection);
    connection->reader = EbHttpReader_New(&(EbHttpReaderOptions){
        .kind = EB_HTTP_RESPONSES,
        .max_header_bytes = connection->client->options.max_header_bytes,
        .head = on_head,
        .body = on_body,
        .complete = on_complete,
        .context = connection});
}
