#include "ebonyhollow/caller_server.h"

#include <assert.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <sodium.h>

#include "http_server.h"

#define REQUEST_ID_MAX_BYTES 64
#define KEY_MAX_BYTES 255
#define TRACEPARENT_MAX_BYTES 128
#define GENERATED_ID_BYTES 16
#define OVERLOAD_RETRY_AFTER_US 1000000
#define PROBLEM_TYPE "application/problem+json"

/* A request without an answer yet. */
typedef struct {
    EbCallerServer *server;
    uint64_t handle;
    struct evhttp_request *request;
    struct evhttp_connection *evcon;
    char *request_id;
    bool keyed;
    bool stream;  /* the caller asked for a stream */
    bool started; /* the stream's head was sent */
    bool paused;  /* reading from the backend server is paused */
    struct event *disconnect_event; /* detects the caller's disconnect */
    GString *text;                  /* tokens of this loop iteration */
    uint64_t token_index;           /* of the first token in `text` */
    uint32_t token_count;           /* 0 when `text` is empty */
} PendingRequest;

struct EbCallerServer {
    EbCallerServerOptions options;
    EbHttpServer *http;
    GHashTable *by_handle; /* handle -> PendingRequest */
    GHashTable *by_evcon;  /* evhttp_connection -> PendingRequest */
    GPtrArray *unflushed;  /* of PendingRequest with unsent tokens */
    struct event *flush_event;
};

static void
free_pending(void *data)
{
    PendingRequest *pending = data;
    event_free(pending->disconnect_event);
    g_string_free(pending->text, TRUE);
    g_free(pending->request_id);
    g_free(pending);
}

/* Removes a request from the tables and frees it, but not its evhttp request.
 */
static void
remove_pending(PendingRequest *pending)
{
    EbCallerServer *server = pending->server;
    g_ptr_array_remove_fast(server->unflushed, pending);
    g_hash_table_remove(server->by_evcon, pending->evcon);
    g_hash_table_remove(server->by_handle, &pending->handle);
}

/* If a connection failed, evhttp has detached its request, which must be freed
 * here. If the connection is being freed, the request still points to it and
 * evhttp frees both. */
static void
on_connection_closed(struct evhttp_connection *evcon, void *context)
{
    EbCallerServer *server = context;
    PendingRequest *pending = g_hash_table_lookup(server->by_evcon, evcon);
    if (pending == NULL) {
        return;
    }
    struct evhttp_request *request = pending->request;
    uint64_t handle = pending->handle;
    remove_pending(pending);
    if (evhttp_request_get_connection(request) == NULL) {
        evhttp_request_free(request);
    }
    server->options.caller_gone(server->options.context, handle);
}

/* Peeks for the end of the input without consuming it. evhttp does not read
 * while a request is pending, so it would not notice that the caller
 * disconnected. A caller that sends more data before its answer arrives is no
 * longer watched; its disconnect is noticed when a write fails. */
static void
on_caller_input(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    PendingRequest *pending = arg;
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        event_del(pending->disconnect_event);
    }
    else if (got == 0 || (errno != EAGAIN && errno != EINTR)) {
        evhttp_connection_free(pending->evcon);
    }
}

static size_t
unsent_bytes(const PendingRequest *pending)
{
    struct bufferevent *bufev =
        evhttp_connection_get_bufferevent(pending->evcon);
    return evbuffer_get_length(bufferevent_get_output(bufev));
}

/* Called when the output fell below the low watermark. */
static void
on_written(struct evhttp_connection *evcon, void *arg)
{
    EbCallerServer *server = arg;
    PendingRequest *pending = g_hash_table_lookup(server->by_evcon, evcon);
    if (pending != NULL && pending->paused) {
        pending->paused = false;
        server->options.flow_control(server->options.context, pending->handle,
                                     false);
    }
}

static void
add_header(PendingRequest *pending, const char *name, const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(pending->request),
                      name, value);
}

static void
start_stream(PendingRequest *pending)
{
    if (pending->started) {
        return;
    }
    pending->started = true;
    add_header(pending, "Content-Type", "text/event-stream");
    add_header(pending, "Cache-Control", "no-store");
    add_header(pending, "Eb-Request-Id", pending->request_id);
    struct bufferevent *bufev =
        evhttp_connection_get_bufferevent(pending->evcon);
    uint32_t limit = pending->server->options.settings->max_buffer_bytes;
    bufferevent_setwatermark(bufev, EV_WRITE, limit / 4, 0);
    evhttp_send_reply_start(pending->request, HTTP_OK, NULL);
}

static void
send_event(PendingRequest *pending, const char *name, const json_t *data)
{
    struct evbuffer *chunk = evbuffer_new();
    char *text = json_dumps(data, JSON_COMPACT);
    evbuffer_add_printf(chunk, "event: %s\ndata: %s\n\n", name,
                        text ? text : "{}");
    free(text);
    evhttp_send_reply_chunk_with_cb(pending->request, chunk, on_written,
                                    pending->server);
    evbuffer_free(chunk);
}

static void
send_tokens(PendingRequest *pending)
{
    if (pending->token_count == 0) {
        return;
    }
    start_stream(pending);
    json_t *data =
        json_pack("{s:I, s:s%}", "index", (json_int_t)pending->token_index,
                  "text", pending->text->str, pending->text->len);
    send_event(pending, "token", data);
    json_decref(data);
    pending->token_count = 0;
    g_string_truncate(pending->text, 0);
}

/* Sends buffered tokens and pauses the stream above the high watermark. If the
 * unsent output nevertheless exceeds the limit, the connection is closed. */
static void
flush_pending(PendingRequest *pending)
{
    EbCallerServer *server = pending->server;
    send_tokens(pending);
    size_t unsent = unsent_bytes(pending);
    uint32_t limit = server->options.settings->max_buffer_bytes;
    if (unsent > limit) {
        evhttp_connection_free(pending->evcon);
    }
    else if (unsent > limit / 2 && !pending->paused) {
        pending->paused = true;
        server->options.flow_control(server->options.context, pending->handle,
                                     true);
    }
}

static void
on_flush(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    EbCallerServer *server = arg;
    while (server->unflushed->len > 0) {
        PendingRequest *pending = g_ptr_array_remove_index(
            server->unflushed, server->unflushed->len - 1);
        flush_pending(pending);
    }
}

void
EbCallerServer_Relay(EbCallerServer *server, const EbRelay *relay)
{
    PendingRequest *pending =
        g_hash_table_lookup(server->by_handle, &relay->request);
    if (pending == NULL || !pending->stream || relay->token_count == 0) {
        return;
    }
    if (pending->token_count > 0 &&
        relay->token_index != pending->token_index + pending->token_count) {
        send_tokens(pending);
    }
    if (pending->token_count == 0) {
        pending->token_index = relay->token_index;
        if (!g_ptr_array_find(server->unflushed, pending, NULL)) {
            g_ptr_array_add(server->unflushed, pending);
        }
        event_active(server->flush_event, EV_TIMEOUT, 0);
    }
    pending->token_count += relay->token_count;
    g_string_append(pending->text, relay->text);
}

/* Builds the body of a JSON response, or the data of a stream's outcome event.
 */
static json_t *
build_outcome(const PendingRequest *pending, const EbAnswer *answer)
{
    json_t *document = json_object();
    json_object_set_new(document, "request_id",
                        json_string(pending->request_id));
    json_object_set_new(document, "outcome",
                        json_string(EbOutcome_names[answer->outcome]));
    if (pending->started) {
        json_object_set_new(document, "reason",
                            json_string(EbReason_table[answer->reason].name));
    }
    if (json_is_object(answer->body)) {
        json_object_update(document, answer->body);
    }
    return document;
}

static json_t *
build_problem(const char *request_id, const EbAnswer *answer)
{
    const EbReasonInfo *info = &EbReason_table[answer->reason];
    json_t *document = json_object();
    json_object_set_new(
        document, "type",
        json_sprintf("urn:ebonyhollow:problem:%s", info->name));
    json_object_set_new(document, "title", json_string(info->title));
    json_object_set_new(document, "status", json_integer(info->http_status));
    if (answer->detail != NULL) {
        json_object_set_new(document, "detail", json_string(answer->detail));
    }
    json_object_set_new(document, "request_id", json_string(request_id));
    json_object_set_new(document, "outcome",
                        json_string(EbOutcome_names[answer->outcome]));
    json_object_set_new(document, "reason", json_string(info->name));
    return document;
}

static void
send_problem(EbCallerServer *server, struct evhttp_request *request,
             const char *request_id, const EbAnswer *answer)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Eb-Request-Id", request_id);
    evhttp_add_header(headers, "Eb-Outcome", EbOutcome_names[answer->outcome]);
    if (answer->retry_after_us > 0) {
        char text[24];
        snprintf(text, sizeof(text), "%lld",
                 (long long)((answer->retry_after_us + 999999) / 1000000));
        evhttp_add_header(headers, "Retry-After", text);
    }
    json_t *document = build_problem(request_id, answer);
    EbHttpServer_SendJson(server->http, request,
                          EbReason_table[answer->reason].http_status,
                          PROBLEM_TYPE, document);
    json_decref(document);
}

/* Ends a stream with its outcome event. */
static void
finish_stream(PendingRequest *pending, const EbAnswer *answer)
{
    EbCallerServer *server = pending->server;
    send_tokens(pending);
    start_stream(pending);
    json_t *data = build_outcome(pending, answer);
    send_event(pending, "outcome", data);
    json_decref(data);
    /* evhttp closes the connection only after the output is empty. */
    bufferevent_setwatermark(evhttp_connection_get_bufferevent(pending->evcon),
                             EV_WRITE, 0, 0);
    struct evhttp_request *request = pending->request;
    EbHttpServer_ResponseComplete(server->http, request);
    remove_pending(pending);
    evhttp_send_reply_end(request);
}

void
EbCallerServer_Answer(EbCallerServer *server, const EbAnswer *answer)
{
    PendingRequest *pending =
        g_hash_table_lookup(server->by_handle, &answer->request);
    if (pending == NULL) {
        return;
    }
    bool done = answer->outcome == EB_OUTCOME_DONE;
    if (answer->replayed && !pending->started) {
        add_header(pending, "Eb-Replayed", "true");
    }
    if (pending->started || (pending->stream && done) ||
        pending->token_count > 0) {
        finish_stream(pending, answer);
        return;
    }
    struct evhttp_request *request = pending->request;
    if (done) {
        add_header(pending, "Eb-Request-Id", pending->request_id);
        add_header(pending, "Eb-Outcome", EbOutcome_names[answer->outcome]);
        json_t *document = build_outcome(pending, answer);
        remove_pending(pending);
        EbHttpServer_SendJson(server->http, request, HTTP_OK,
                              "application/json", document);
        json_decref(document);
    }
    else {
        char *request_id = g_strdup(pending->request_id);
        remove_pending(pending);
        send_problem(server, request, request_id, answer);
        g_free(request_id);
    }
}

static bool
is_valid_id(const char *id)
{
    if (id == NULL || id[0] == '\0' || strlen(id) > REQUEST_ID_MAX_BYTES) {
        return false;
    }
    for (const char *at = id; *at != '\0'; at++) {
        if (!g_ascii_isalnum(*at) && strchr("._-", *at) == NULL) {
            return false;
        }
    }
    return true;
}

static char *
choose_request_id(struct evhttp_request *request)
{
    const char *given = EbHttp_Header(request, "Eb-Request-Id");
    if (is_valid_id(given)) {
        return g_strdup(given);
    }
    unsigned char bytes[GENERATED_ID_BYTES];
    char hex[GENERATED_ID_BYTES * 2 + 1];
    randombytes_buf(bytes, sizeof(bytes));
    return g_strdup(sodium_bin2hex(hex, sizeof(hex), bytes, sizeof(bytes)));
}

/* Reads the idempotency key, with or without quotes. Returns false if it is
 * invalid. `key` is set to NULL if there is none. */
static bool
read_key(struct evhttp_request *request, char **key)
{
    *key = NULL;
    const char *value = EbHttp_Header(request, "Idempotency-Key");
    if (value == NULL) {
        return true;
    }
    size_t length = strlen(value);
    if (length >= 2 && value[0] == '"' && value[length - 1] == '"') {
        value++;
        length -= 2;
    }
    if (length == 0 || length > KEY_MAX_BYTES) {
        return false;
    }
    *key = g_strndup(value, length);
    return true;
}

static bool
read_timeout(struct evhttp_request *request, int64_t *timeout_us)
{
    *timeout_us = 0;
    const char *value = EbHttp_Header(request, "Eb-Timeout-Ms");
    if (value == NULL) {
        return true;
    }
    guint64 ms;
    if (!g_ascii_string_to_unsigned(value, 10, 1, INT64_MAX / 1000, &ms,
                                    NULL)) {
        return false;
    }
    *timeout_us = (int64_t)ms * 1000;
    return true;
}

/* Checks the method and content type. Returns an error message, or NULL if
 * they are valid. */
static const char *
check_request(struct evhttp_request *request)
{
    const char *type = EbHttp_Header(request, "Content-Type");
    if (evhttp_request_get_command(request) != EVHTTP_REQ_POST) {
        return "only POST is supported";
    }
    if (type == NULL || g_ascii_strncasecmp(type, "application/json", 16)) {
        return "Content-Type must be application/json";
    }
    return NULL;
}

/* Rejects a request before it is submitted. Another copy of a request with an
 * idempotency key may have run, so only a request without a key gets the
 * outcome not-run. */
static void
reject(EbCallerServer *server, struct evhttp_request *request,
       const char *request_id, EbReason reason, const char *detail)
{
    bool keyed = EbHttp_Header(request, "Idempotency-Key") != NULL;
    EbAnswer answer = {
        .outcome = keyed ? EB_OUTCOME_UNKNOWN : EB_OUTCOME_NOT_RUN,
        .reason = reason,
        .retry_after_us =
            reason == EB_REASON_OVERLOADED ? OVERLOAD_RETRY_AFTER_US : 0,
        .detail = (char *)detail};
    send_problem(server, request, request_id, &answer);
}

/* Adds a request to the tables and watches its connection. */
static void
add_pending(EbCallerServer *server, struct evhttp_request *request,
            uint64_t handle, const char *request_id, bool stream)
{
    PendingRequest *pending = g_new0(PendingRequest, 1);
    pending->server = server;
    pending->handle = handle;
    pending->request = request;
    pending->evcon = evhttp_request_get_connection(request);
    pending->request_id = g_strdup(request_id);
    pending->stream = stream;
    pending->text = g_string_new(NULL);
    evutil_socket_t fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(pending->evcon));
    pending->disconnect_event =
        event_new(server->options.base, fd, EV_READ | EV_PERSIST,
                  on_caller_input, pending);
    event_add(pending->disconnect_event, NULL);
    g_hash_table_insert(server->by_handle, &pending->handle, pending);
    g_hash_table_insert(server->by_evcon, pending->evcon, pending);
}

static void
submit_request(EbCallerServer *server, struct evhttp_request *request,
               const char *pipeline, const char *request_id)
{
    char *key;
    int64_t timeout_us;
    if (!read_key(request, &key)) {
        reject(server, request, request_id, EB_REASON_BAD_REQUEST,
               "Idempotency-Key must have 1 to 255 bytes");
        return;
    }
    if (!read_timeout(request, &timeout_us)) {
        reject(server, request, request_id, EB_REASON_BAD_REQUEST,
               "Eb-Timeout-Ms must be a positive integer");
        g_free(key);
        return;
    }
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    const char *accept = EbHttp_Header(request, "Accept");
    const char *trace = EbHttp_Header(request, "traceparent");
    bool stream =
        accept != NULL && strstr(accept, "text/event-stream") != NULL;
    const char *body = (const char *)evbuffer_pullup(input, -1);
    EbSubmission submission = {
        .request_id = request_id,
        .token = EbHttp_BearerToken(request),
        .pipeline = pipeline,
        .body = body != NULL ? body : "",
        .body_bytes = evbuffer_get_length(input),
        .idempotency_key = key,
        .traceparent =
            trace && strlen(trace) <= TRACEPARENT_MAX_BYTES ? trace : NULL,
        .timeout_us = timeout_us,
        .stream = stream};
    uint64_t handle =
        server->options.submit(server->options.context, &submission);
    add_pending(server, request, handle, request_id, stream);
    g_free(key);
}

/* Returns whether the requests in progress, with the one that has just
 * arrived, fit into the memory for clients. */
static bool
has_memory(const EbCallerServer *server)
{
    EbClientGuard *guard = server->options.guard;
    return guard == NULL || EbIntake_Admits(EbClientGuard_Intake(guard), 0);
}

static void
on_request(struct evhttp_request *request, void *context)
{
    EbCallerServer *server = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    char *request_id = choose_request_id(request);
    const char *problem = check_request(request);
    size_t length =
        evbuffer_get_length(evhttp_request_get_input_buffer(request));
    if (path == NULL ||
        strncmp(path, EB_CALLER_PATH_PREFIX, strlen(EB_CALLER_PATH_PREFIX)) !=
            0 ||
        path[strlen(EB_CALLER_PATH_PREFIX)] == '\0') {
        reject(server, request, request_id, EB_REASON_UNKNOWN_PIPELINE,
               "the path must be " EB_CALLER_PATH_PREFIX "{pipeline}");
    }
    else if (problem != NULL) {
        reject(server, request, request_id, EB_REASON_BAD_REQUEST, problem);
    }
    else if (length > server->options.settings->max_body_bytes) {
        reject(server, request, request_id, EB_REASON_BODY_TOO_LARGE, NULL);
    }
    else if (!has_memory(server)) {
        EbClientGuard_Count(server->options.guard, EB_INTAKE_NO_MEMORY);
        reject(server, request, request_id, EB_REASON_OVERLOADED,
               "the memory for clients is taken by requests in progress");
    }
    else {
        char *pipeline =
            evhttp_uridecode(path + strlen(EB_CALLER_PATH_PREFIX), 0, NULL);
        submit_request(server, request, pipeline ? pipeline : "", request_id);
        free(pipeline);
    }
    g_free(request_id);
}

uint16_t
EbCallerServer_Port(const EbCallerServer *server)
{
    return EbHttpServer_Port(server->http);
}

void
EbCallerServer_StopAccepting(EbCallerServer *server)
{
    EbHttpServer_StopAccepting(server->http);
}

size_t
EbCallerServer_PendingCount(const EbCallerServer *server)
{
    return g_hash_table_size(server->by_handle);
}

bool
EbCallerServer_HasUnsent(const EbCallerServer *server)
{
    return EbHttpServer_HasUnsent(server->http);
}

size_t
EbCallerServer_ConnectionCount(const EbCallerServer *server)
{
    return EbHttpServer_ConnectionCount(server->http);
}

EbCallerServer *
EbCallerServer_New(const EbCallerServerOptions *options, EbError *error)
{
    assert(options->submit != NULL && options->caller_gone != NULL);
    assert(options->flow_control != NULL);
    EbCallerServer *server = g_new0(EbCallerServer, 1);
    const EbSettings *settings = options->settings;
    server->options = *options;
    server->by_handle =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_pending);
    server->by_evcon = g_hash_table_new(NULL, NULL);
    server->unflushed = g_ptr_array_new();
    server->flush_event = event_new(options->base, -1, 0, on_flush, server);
    EbHttpServerOptions http = {
        .base = options->base,
        .address = &settings->caller,
        .max_body_bytes = settings->max_body_bytes,
        .max_header_bytes = settings->max_header_bytes,
        .max_connections = settings->max_connections,
        .descriptors_permille = EB_CALLER_DESCRIPTORS_PERMILLE,
        .send_buffer_bytes = settings->max_buffer_bytes,
        .header_timeout_us = settings->header_timeout_us,
        .guard = options->guard,
        .request = on_request,
        .closed = on_connection_closed,
        .context = server};
    server->http = EbHttpServer_New(&http, error);
    if (server->http == NULL) {
        EbCallerServer_Free(server);
        return NULL;
    }
    return server;
}

void
EbCallerServer_Free(EbCallerServer *server)
{
    if (server == NULL) {
        return;
    }
    event_free(server->flush_event);
    /* The events must be removed before evhttp closes their descriptors. */
    g_hash_table_destroy(server->by_evcon);
    g_hash_table_destroy(server->by_handle);
    g_ptr_array_free(server->unflushed, TRUE);
    EbHttpServer_Free(server->http);
    g_free(server);
}
