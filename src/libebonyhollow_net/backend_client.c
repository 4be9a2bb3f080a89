#include "ebonyhollow/backend_client.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "backend_connection.h"
#include "clock.h"
#include "ebonyhollow/http_message.h"
#include "event_stream.h"
#include "options.h"
#include "socket.h"

#define DEFAULT_MAX_IDLE 32
#define DEFAULT_IDLE_TIMEOUT_US (30LL * 1000 * 1000)
#define DEFAULT_CONNECT_TIMEOUT_US (1000LL * 1000)
#define DEFAULT_INACTIVITY_TIMEOUT_US (60LL * 1000 * 1000)
#define DEFAULT_MAX_HEADER_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES 4194304
#define DEFAULT_MAX_BUFFERED_BYTES ((size_t)32 * 1024 * 1024)
#define MAX_LINE_BYTES 65536
/* Interval of the events for paused attempts. It is shorter than any sensible
 * time-out between tokens. */
#define PAUSED_EVENT_INTERVAL_US 100000

typedef struct EbBackendAttempt {
    uint64_t id;
    EbBackendClient *client;
    EbBackendConnection *connection;
    struct evhttp_request *request; /* valid only within its callbacks */
    bool stream;
    bool paused;
    struct event *connect_timer; /* NULL for a reused connection */
    EbEventStream *parser;       /* NULL until a stream's headers arrived */
    bool stream_done;            /* [DONE] was received */
    bool malformed;
    GString *text; /* tokens from the current read */
    uint64_t token_index;
    uint32_t token_count;
} Attempt;

struct EbBackendClient {
    EbBackendClientOptions options;
    GHashTable *attempts; /* id -> Attempt */
    EbBackendConnections *connections;
    struct event *paused_event; /* pending while an attempt is paused */
    uint32_t paused_count;
    bool in_callback; /* the event callback is running */
};

static void
free_attempt(void *data)
{
    Attempt *attempt = data;
    if (attempt->connect_timer != NULL) {
        event_free(attempt->connect_timer);
    }
    EbEventStream_Free(attempt->parser);
    g_string_free(attempt->text, TRUE);
    g_free(attempt);
}

/* Copies the response's status and headers into an event. */
static void
read_headers(const Attempt *attempt, EbAttemptEvent *event)
{
    event->echo_stage = -1;
    event->echo_attempt = -1;
    if (attempt->request == NULL) {
        return;
    }
    struct evkeyvalq *headers =
        evhttp_request_get_input_headers(attempt->request);
    event->http_status =
        (uint16_t)evhttp_request_get_response_code(attempt->request);
    event->echo_request_id = evhttp_find_header(headers, "Eb-Request-Id");
    const char *value = evhttp_find_header(headers, "Eb-Stage");
    if (value != NULL) {
        event->echo_stage = g_ascii_strtoll(value, NULL, 10);
    }
    value = evhttp_find_header(headers, "Eb-Attempt");
    if (value != NULL) {
        event->echo_attempt = g_ascii_strtoll(value, NULL, 10);
    }
    value = evhttp_find_header(headers, "Eb-Leaving");
    event->directive.leaving = value != NULL && strcmp(value, "1") == 0;
    EbServerDirective_ReadLimit(&event->directive,
                                evhttp_find_header(headers, "Eb-Limit"));
    EbServerDirective_ReadRetryAfter(
        &event->directive, event->http_status,
        evhttp_find_header(headers, "Retry-After"));
    value = evhttp_find_header(headers, "Eb-Load");
    if (value != NULL) {
        char *end = NULL;
        guint64 running = g_ascii_strtoull(value, &end, 10);
        if (end != value && *end == '/') {
            event->has_load = true;
            event->load_running = (uint32_t)MIN(running, UINT32_MAX);
            guint64 waiting = g_ascii_strtoull(end + 1, NULL, 10);
            event->load_waiting = (uint32_t)MIN(waiting, UINT32_MAX);
        }
    }
}

static void
emit(const Attempt *attempt, EbAttemptEvent *event)
{
    EbBackendClient *client = attempt->client;
    event->attempt_id = attempt->id;
    read_headers(attempt, event);
    client->in_callback = true;
    client->options.event(client->options.context, event);
    client->in_callback = false;
}

/* Reports the tokens from the current read as one event. */
static void
flush_tokens(Attempt *attempt)
{
    if (attempt->token_count == 0) {
        return;
    }
    EbAttemptEvent event = {.kind = EB_ATTEMPT_TOKENS,
                            .token_index = attempt->token_index,
                            .token_count = attempt->token_count,
                            .text = attempt->text->str};
    attempt->token_count = 0;
    emit(attempt, &event);
    g_string_truncate(attempt->text, 0);
}

/* Clears the pause of an attempt that ends or is resumed. */
static void
clear_pause(Attempt *attempt)
{
    EbBackendClient *client = attempt->client;
    if (attempt->paused && --client->paused_count == 0) {
        event_del(client->paused_event);
    }
    attempt->paused = false;
}

/* Reports progress for paused attempts. Nothing is read from them, which is
 * not their server's fault and must not count as inactivity. */
static void
on_paused_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    const EbBackendClient *client = arg;
    GList *ids = g_hash_table_get_keys(client->attempts);
    for (GList *item = ids; item != NULL; item = item->next) {
        const Attempt *attempt =
            g_hash_table_lookup(client->attempts, item->data);
        if (attempt != NULL && attempt->paused) {
            EbAttemptEvent event = {.kind = EB_ATTEMPT_TOKENS, .text = ""};
            emit(attempt, &event);
        }
    }
    g_list_free(ids);
}

/* Ends an attempt with its last event. The caller must release or close the
 * connection. */
static void
finish_attempt(Attempt *attempt, EbAttemptEventKind kind, json_t *body)
{
    EbBackendConnection *connection = attempt->connection;
    EbBackendClient *client = attempt->client;
    connection->attempt = NULL;
    connection->call_ended_us = EbClock_Monotonic();
    clear_pause(attempt);
    g_hash_table_steal(client->attempts, &attempt->id);
    EbAttemptEvent event = {.kind = kind, .body = body};
    emit(attempt, &event);
    free_attempt(attempt);
}

static void
fail_attempt(Attempt *attempt)
{
    EbBackendConnection *connection = attempt->connection;
    attempt->request = NULL;
    finish_attempt(attempt,
                   connection->wrote ? EB_ATTEMPT_BROKEN : EB_ATTEMPT_REFUSED,
                   NULL);
}

static void
append_token(Attempt *attempt, uint64_t index, const char *text)
{
    if (attempt->token_count > 0 &&
        index != attempt->token_index + attempt->token_count) {
        flush_tokens(attempt);
    }
    if (attempt->token_count == 0) {
        attempt->token_index = index;
    }
    attempt->token_count++;
    g_string_append(attempt->text, text);
}

/* Handles one chunk of a completion. Returns false if it violates the
 * protocol. */
static bool
handle_chunk(Attempt *attempt, json_t *chunk)
{
    json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);
    const char *text = json_string_value(json_object_get(choice, "text"));
    json_t *index = json_object_get(chunk, "token_index");
    if (text == NULL) {
        return false;
    }
    if (text[0] == '\0' &&
        json_is_string(json_object_get(choice, "finish_reason"))) {
        return true;
    }
    if (!json_is_integer(index) || json_integer_value(index) < 0) {
        return false;
    }
    append_token(attempt, (uint64_t)json_integer_value(index), text);
    return true;
}

static bool
on_data_line(void *context, const char *value, size_t value_bytes)
{
    Attempt *attempt = context;
    if (value_bytes == 6 && memcmp(value, "[DONE]", 6) == 0) {
        attempt->stream_done = true;
        return false;
    }
    json_t *chunk = json_loadb(value, value_bytes, 0, NULL);
    bool valid = chunk != NULL && handle_chunk(attempt, chunk);
    json_decref(chunk);
    attempt->malformed = !valid;
    return valid;
}

static void
on_chunk(struct evhttp_request *request, void *arg)
{
    EbBackendConnection *connection = arg;
    Attempt *attempt = connection->attempt;
    if (attempt == NULL) {
        return;
    }
    attempt->request = request;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    bool more = EbEventStream_Feed(attempt->parser, bytes, length);
    flush_tokens(attempt);
    if (attempt->stream_done) {
        finish_attempt(attempt, EB_ATTEMPT_ENDED, NULL);
    }
    else if (!more) {
        finish_attempt(attempt, EB_ATTEMPT_MALFORMED, NULL);
        EbBackendConnection_CloseLater(connection);
    }
    else {
        attempt->request = NULL;
    }
}

/* A stream with status 200 is parsed as it arrives. evhttp collects the body
 * of any other response. */
static int
on_headers(struct evhttp_request *request, void *arg)
{
    EbBackendConnection *connection = arg;
    Attempt *attempt = connection->attempt;
    if (attempt != NULL && attempt->stream &&
        evhttp_request_get_response_code(request) == HTTP_OK) {
        attempt->parser =
            EbEventStream_New(MAX_LINE_BYTES, on_data_line, attempt);
        evhttp_request_set_chunked_cb(request, on_chunk);
        EbBackendConnection_StartStream(connection);
    }
    return 0;
}

/* Returns whether a response has the status of a final one. evhttp waits for
 * the final response after status 100 only, and accepts status codes that
 * don't exist (RFC 9110, section 15). */
static bool
has_final_status(struct evhttp_request *request)
{
    int status = evhttp_request_get_response_code(request);
    return status >= EB_HTTP_FIRST_FINAL_STATUS &&
           status <= EB_HTTP_MAX_STATUS;
}

/* Ends an attempt whose response was received completely. */
static void
finish_response(Attempt *attempt, struct evhttp_request *request)
{
    attempt->request = request;
    if (attempt->parser != NULL) {
        finish_attempt(attempt, EB_ATTEMPT_BROKEN, NULL);
        return;
    }
    if (!has_final_status(request)) {
        finish_attempt(attempt, EB_ATTEMPT_MALFORMED, NULL);
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    json_t *body = length > 0 ? json_loadb(bytes, length, 0, NULL) : NULL;
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    EbAttemptEventKind kind = EB_ATTEMPT_ANSWERED;
    if (body == NULL && evhttp_request_get_response_code(request) == HTTP_OK) {
        /* A response that ends with the connection may be truncated. */
        bool framed = evhttp_find_header(headers, "Content-Length") != NULL ||
                      evhttp_find_header(headers, "Transfer-Encoding") != NULL;
        kind = framed ? EB_ATTEMPT_MALFORMED : EB_ATTEMPT_BROKEN;
    }
    finish_attempt(attempt, kind, body);
    json_decref(body);
}

/* evhttp's last callback for a request. evhttp reports a failed connect with
 * status 0 and a failure on an established connection with a NULL request. */
static void
on_done(struct evhttp_request *request, void *arg)
{
    EbBackendConnection *connection = arg;
    Attempt *attempt = connection->attempt;
    bool complete =
        request != NULL && evhttp_request_get_response_code(request) != 0;
    if (connection->close_pending) {
        return;
    }
    if (attempt == NULL) {
        if (complete) {
            EbBackendConnection_Release(connection);
        }
        else {
            EbBackendConnection_CloseLater(connection);
        }
        return;
    }
    if (!complete) {
        fail_attempt(attempt);
        EbBackendConnection_CloseLater(connection);
        return;
    }
    bool reusable = attempt->parser == NULL && has_final_status(request);
    finish_response(attempt, request);
    if (reusable) {
        EbBackendConnection_Release(connection);
    }
    else {
        EbBackendConnection_CloseLater(connection);
    }
}

static void
on_overflow(EbBackendConnection *connection)
{
    Attempt *attempt = connection->attempt;
    attempt->request = NULL;
    finish_attempt(attempt, EB_ATTEMPT_MALFORMED, NULL);
    EbBackendConnection_CloseLater(connection);
}

static void
on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Attempt *attempt = arg;
    EbBackendConnection *connection = attempt->connection;
    if (!connection->wrote) {
        fail_attempt(attempt);
        EbBackendConnection_Close(connection);
    }
}

static void
add_integer_header(struct evkeyvalq *headers, const char *name, uint64_t value)
{
    char text[24];
    snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
    evhttp_add_header(headers, name, text);
}

static struct evhttp_request *
build_request(EbBackendConnection *connection, const EbSendAttempt *send)
{
    struct evhttp_request *request = evhttp_request_new(on_done, connection);
    assert(request != NULL);
    evhttp_request_set_header_cb(request, on_headers);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char host[80];
    snprintf(host, sizeof(host), "%s:%u", send->host, (unsigned)send->port);
    evhttp_add_header(headers, "Host", host);
    evhttp_add_header(headers, "Eb-Request-Id", send->request_id);
    add_integer_header(headers, "Eb-Stage", send->stage);
    add_integer_header(headers, "Eb-Attempt", send->attempt);
    if (send->idempotency_key != NULL) {
        evhttp_add_header(headers, "Idempotency-Key", send->idempotency_key);
    }
    if (send->fencing_token != 0) {
        add_integer_header(headers, "Eb-Fencing-Token", send->fencing_token);
    }
    if (send->traceparent != NULL) {
        evhttp_add_header(headers, "traceparent", send->traceparent);
    }
    if (!send->lookup) {
        evhttp_add_header(headers, "Content-Type", "application/json");
        char *text = json_dumps(send->body, JSON_COMPACT | JSON_ENCODE_ANY);
        if (text != NULL) {
            evbuffer_add(evhttp_request_get_output_buffer(request), text,
                         strlen(text));
            free(text);
        }
    }
    return request;
}

/* Returns the path of a call. The key of a look-up is added as a query unless
 * the path already has one. */
static char *
build_path(const EbSendAttempt *send)
{
    if (!send->lookup || send->idempotency_key == NULL ||
        strchr(send->path, '?') != NULL) {
        return g_strdup(send->path);
    }
    char *key = evhttp_encode_uri(send->idempotency_key);
    char *path = g_strdup_printf("%s?key=%s", send->path, key);
    free(key);
    return path;
}

void
EbBackendClient_Send(EbBackendClient *client, const EbSendAttempt *send)
{
    bool opened;
    EbBackendConnection *connection =
        EbBackendConnections_Acquire(client->connections, send, &opened);
    Attempt *attempt = g_new0(Attempt, 1);
    attempt->id = send->attempt_id;
    attempt->client = client;
    attempt->connection = connection;
    attempt->stream = send->stream;
    attempt->text = g_string_new(NULL);
    connection->attempt = attempt;
    EbBackendConnection_StartCall(connection);
    g_hash_table_insert(client->attempts, &attempt->id, attempt);
    if (opened) {
        struct timeval limit =
            EbClock_Timeval(client->options.connect_timeout_us);
        attempt->connect_timer =
            evtimer_new(client->options.base, on_connect_timeout, attempt);
        evtimer_add(attempt->connect_timer, &limit);
    }
    struct evhttp_request *request = build_request(connection, send);
    char *path = build_path(send);
    enum evhttp_cmd_type type =
        send->lookup ? EVHTTP_REQ_GET : EVHTTP_REQ_POST;
    int status = evhttp_make_request(connection->evcon, request, type, path);
    g_free(path);
    /* A failure within evhttp_make_request may have ended the attempt. */
    if (g_hash_table_lookup(client->attempts, &send->attempt_id) != attempt) {
        return;
    }
    if (status != 0) {
        fail_attempt(attempt);
        EbBackendConnection_CloseLater(connection);
    }
    else if (attempt->connect_timer != NULL) {
        EbSocket_SetNoDelay(bufferevent_getfd(
            evhttp_connection_get_bufferevent(connection->evcon)));
    }
}

void
EbBackendClient_Cancel(EbBackendClient *client, uint64_t attempt_id)
{
    Attempt *attempt = g_hash_table_lookup(client->attempts, &attempt_id);
    if (attempt == NULL) {
        return;
    }
    assert(!client->in_callback);
    EbBackendConnection *connection = attempt->connection;
    clear_pause(attempt);
    g_hash_table_remove(client->attempts, &attempt_id);
    connection->attempt = NULL;
    EbBackendConnection_Close(connection);
}

void
EbBackendClient_CloseIdle(EbBackendClient *client, const char *server_id)
{
    EbBackendConnections_CloseIdle(client->connections, server_id);
}

void
EbBackendClient_Pause(EbBackendClient *client, uint64_t attempt_id,
                      bool paused)
{
    Attempt *attempt = g_hash_table_lookup(client->attempts, &attempt_id);
    if (attempt == NULL || attempt->paused == paused) {
        return;
    }
    assert(!client->in_callback);
    struct bufferevent *bufev =
        evhttp_connection_get_bufferevent(attempt->connection->evcon);
    if (paused) {
        struct timeval interval = EbClock_Timeval(PAUSED_EVENT_INTERVAL_US);
        bufferevent_disable(bufev, EV_READ);
        attempt->paused = true;
        client->paused_count++;
        event_add(client->paused_event, &interval);
    }
    else {
        clear_pause(attempt);
        bufferevent_enable(bufev, EV_READ);
    }
}

size_t
EbBackendClient_ActiveCount(const EbBackendClient *client)
{
    return g_hash_table_size(client->attempts);
}

size_t
EbBackendClient_IdleCount(const EbBackendClient *client, const char *server_id)
{
    return EbBackendConnections_IdleCount(client->connections, server_id);
}

EbBackendClient *
EbBackendClient_New(const EbBackendClientOptions *options)
{
    assert(options->base != NULL && options->event != NULL);
    EbBackendClient *client = g_new0(EbBackendClient, 1);
    client->options = *options;
    EbBackendClientOptions *resolved = &client->options;
    EB_SET_DEFAULT(resolved->max_idle_per_server, DEFAULT_MAX_IDLE);
    EB_SET_DEFAULT(resolved->idle_timeout_us, DEFAULT_IDLE_TIMEOUT_US);
    EB_SET_DEFAULT(resolved->connect_timeout_us, DEFAULT_CONNECT_TIMEOUT_US);
    EB_SET_DEFAULT(resolved->inactivity_timeout_us,
                   DEFAULT_INACTIVITY_TIMEOUT_US);
    EB_SET_DEFAULT(resolved->max_header_bytes, DEFAULT_MAX_HEADER_BYTES);
    EB_SET_DEFAULT(resolved->max_body_bytes, DEFAULT_MAX_BODY_BYTES);
    EB_SET_DEFAULT(resolved->max_buffered_bytes, DEFAULT_MAX_BUFFERED_BYTES);
    client->attempts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_attempt);
    client->connections = EbBackendConnections_New(resolved, on_overflow);
    client->paused_event =
        event_new(resolved->base, -1, EV_PERSIST, on_paused_timer, client);
    return client;
}

void
EbBackendClient_Free(EbBackendClient *client)
{
    if (client == NULL) {
        return;
    }
    event_free(client->paused_event);
    g_hash_table_destroy(client->attempts);
    EbBackendConnections_Free(client->connections);
    g_free(client);
}
