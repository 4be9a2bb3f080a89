#include "ebonyhollow/platform_client.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include "clock.h"
#include "json_lenient.h"
#include "platform_internal.h"
#include "socket.h"

#define DEFAULT_MAX_CALLS 16
#define DEFAULT_MAX_WAITING 256
/* A call is sent only if at least 1/MIN_REMAINING_DIVISOR of the call time-out
 * is left. */
#define MIN_REMAINING_DIVISOR 4
#define DEFAULT_CALL_TIMEOUT_US 2000000
#define DEFAULT_WATCH_TIMEOUT_US 5000000
#define DEFAULT_WATCH_GRACE_US 2000000
#define MAX_HEADER_BYTES 16384
#define MAX_BODY_BYTES 8388608
/* The platform counts as down after this number of consecutive failed calls. A
 * single one may be due to a broken connection. */
#define FAILURES_UNTIL_DOWN 2

typedef struct {
    EbStoreOwner owner;
    uint64_t operation_id;
    EbStoreOperation operation;
    char *path;
    char *body; /* JSON text, or NULL */
    int64_t deadline_us;
} Call;

/* A connection for calls, which is kept open between them. */
typedef struct {
    EbPlatformClient *client;
    struct evhttp_connection *evcon; /* NULL until the first call */
    Call *call;                      /* NULL while idle */
    struct event *timer;
    bool wrote; /* a byte of the current call was written */
} Slot;

static void
free_call(void *data)
{
    Call *call = data;
    g_free(call->path);
    free(call->body);
    g_free(call);
}

static void
close_slot(Slot *slot)
{
    if (slot->evcon != NULL) {
        evhttp_connection_free(slot->evcon);
        slot->evcon = NULL;
    }
}

static void
free_slot(void *data)
{
    Slot *slot = data;
    close_slot(slot);
    event_free(slot->timer);
    if (slot->call != NULL) {
        free_call(slot->call);
    }
    g_free(slot);
}

static bool
is_write_operation(EbStoreOperation operation)
{
    return operation == EB_STORE_CREATE || operation == EB_STORE_UPDATE ||
           operation == EB_STORE_DELETE;
}

void
EbPlatformClient_RecordCall(EbPlatformClient *client, const char *operation,
                            const char *status, const char *cause)
{
    EbMetrics_Add(client->options.metrics, EB_METRIC_PLATFORM_CALLS, 1,
                  operation, status, NULL);
    int64_t now_us = EbClock_Monotonic();
    if (cause == NULL) {
        client->consecutive_failures = 0;
        if (!client->up) {
            client->up = true;
            EB_EMIT(
                client->options.events, EB_EVENT_PLATFORM_UP,
                EB_INTEGER_FIELD("down_us", now_us - client->down_since_us));
        }
        return;
    }
    client->consecutive_failures++;
    if (client->up && client->consecutive_failures >= FAILURES_UNTIL_DOWN) {
        client->up = false;
        client->down_since_us = now_us;
        EB_EMIT(client->options.events, EB_EVENT_PLATFORM_DOWN,
                EB_STRING_FIELD("cause", cause));
    }
}

struct evhttp_connection *
EbPlatformClient_OpenConnection(EbPlatformClient *client, int64_t timeout_us)
{
    struct evhttp_connection *evcon = evhttp_connection_base_new(
        client->options.base, NULL, client->host, client->options.port);
    assert(evcon != NULL);
    struct timeval timeout = EbClock_Timeval(timeout_us);
    evhttp_connection_set_timeout_tv(evcon, &timeout);
    evhttp_connection_set_retries(evcon, 0);
    evhttp_connection_set_max_headers_size(evcon, MAX_HEADER_BYTES);
    evhttp_connection_set_max_body_size(evcon, MAX_BODY_BYTES);
    return evcon;
}

struct evhttp_request *
EbPlatformClient_NewRequest(EbPlatformClient *client,
                            void (*done)(struct evhttp_request *, void *),
                            void *arg)
{
    struct evhttp_request *request = evhttp_request_new(done, arg);
    assert(request != NULL);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char host[80];
    snprintf(host, sizeof(host), "%s:%u", client->host,
             (unsigned)client->options.port);
    evhttp_add_header(headers, "Host", host);
    if (client->token != NULL) {
        char *value = g_strconcat("Bearer ", client->token, NULL);
        evhttp_add_header(headers, "Authorization", value);
        g_free(value);
    }
    return request;
}

int
EbPlatformClient_ReadStatus(struct evhttp_request *request,
                            struct evhttp_connection **evcon)
{
    int status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 0 || status >= HTTP_OK) {
        return status;
    }
    evhttp_connection_free(*evcon);
    *evcon = NULL;
    return 0;
}

void
EbPlatformClient_SetKeepAlive(struct evhttp_connection *evcon)
{
    if (evcon != NULL) {
        EbSocket_SetKeepAlive(
            bufferevent_getfd(evhttp_connection_get_bufferevent(evcon)));
    }
}

json_t *
EbPlatformClient_ParseBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    if (length == 0) {
        return NULL;
    }
    const char *bytes = (const char *)evbuffer_pullup(input, -1);
    return EbJson_LoadLenient(bytes, length);
}

bool
EbPlatformClient_CheckEra(EbPlatformClient *client,
                          struct evhttp_request *request)
{
    const char *text =
        evhttp_find_header(evhttp_request_get_input_headers(request),
                           client->options.protocol->era_header);
    uint64_t era = 0;
    if (text == NULL ||
        !g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, &era, NULL)) {
        return true; /* the store has no eras */
    }
    if (era < client->era) {
        EB_EMIT(client->options.events, EB_EVENT_STORE_ANSWER_OUTDATED,
                EB_INTEGER_FIELD("era", era),
                EB_INTEGER_FIELD("current", client->era));
        return false;
    }
    if (era == client->era) {
        return true;
    }
    uint64_t before = client->era;
    client->era = era;
    if (before > 0) {
        EB_EMIT(client->options.events, EB_EVENT_STORE_RESTORED,
                EB_INTEGER_FIELD("era", era));
        EbPlatformWatch_RestartAll(client);
    }
    if (client->options.era_changed != NULL) {
        client->options.era_changed(client->options.context, era);
    }
    return true;
}

uint64_t
EbPlatformClient_Era(const EbPlatformClient *client)
{
    return client->era;
}

static void
deliver_reply(EbPlatformClient *client, const Call *call, EbStoreStatus status,
              uint64_t version, json_t *value)
{
    EbStoreReply reply = {.owner = call->owner,
                          .operation_id = call->operation_id,
                          .status = status,
                          .version = version,
                          .value = value};
    client->options.reply(client->options.context, &reply);
}

static void start_waiting_calls(EbPlatformClient *client);

/* Ends the call in a slot and starts the next waiting one. */
static void
finish_call(Slot *slot, EbStoreStatus status, const char *cause, json_t *body)
{
    EbPlatformClient *client = slot->client;
    Call *call = slot->call;
    slot->call = NULL;
    client->running_count--;
    event_del(slot->timer);
    EbPlatformClient_RecordCall(client,
                                EbStoreOperation_names[call->operation],
                                EbStoreStatus_names[status], cause);
    bool list = call->operation == EB_STORE_LIST;
    uint64_t version = (uint64_t)json_integer_value(
        json_object_get(body, list ? "revision" : "version"));
    deliver_reply(client, call, status, version,
                  json_object_get(body, list ? "items" : "value"));
    free_call(call);
    start_waiting_calls(client);
}

static void
fail_call(Slot *slot, const char *cause)
{
    bool lost = slot->wrote && is_write_operation(slot->call->operation);
    finish_call(slot, lost ? EB_STORE_LOST : EB_STORE_UNAVAILABLE, cause,
                NULL);
}

static void
on_call_done(struct evhttp_request *request, void *arg)
{
    Slot *slot = arg;
    if (slot->call == NULL) {
        return;
    }
    int status = EbPlatformClient_ReadStatus(request, &slot->evcon);
    if (status == 0) {
        fail_call(slot, slot->wrote ? "connection broke" : "connect failed");
        return;
    }
    if (!EbPlatformClient_CheckEra(slot->client, request)) {
        fail_call(slot, "answer of an earlier era");
        return;
    }
    json_t *body = EbPlatformClient_ParseBody(request);
    bool success = status == 200 || status == 201;
    json_t *result =
        success
            ? slot->client->options.protocol->read(slot->call->operation, body)
            : NULL;
    if (result != NULL) {
        finish_call(slot, EB_STORE_OK, NULL, result);
    }
    else if (status == 404) {
        finish_call(slot, EB_STORE_NOT_FOUND, NULL, NULL);
    }
    else if (status == 409) {
        finish_call(slot, EB_STORE_CONFLICT, NULL, body);
    }
    else if (status == 429) {
        /* Rejected by the rate limit, so the platform itself is up. */
        finish_call(slot, EB_STORE_UNAVAILABLE, NULL, NULL);
    }
    else if (status == 503) {
        finish_call(slot, EB_STORE_UNAVAILABLE, "status 503", NULL);
    }
    else {
        fail_call(slot, "unexpected response");
    }
    json_decref(result);
    json_decref(body);
}

/* Closes the connection of a call that got no response. The idle connections
 * may have failed in the same way, so they are closed too. */
static void
on_call_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    Slot *slot = arg;
    EbPlatformClient *client = slot->client;
    close_slot(slot);
    for (guint i = 0; i < client->slots->len; i++) {
        Slot *other = g_ptr_array_index(client->slots, i);
        if (other->call == NULL) {
            close_slot(other);
        }
    }
    fail_call(slot, "no response");
}

static void
on_output(struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
    (void)buffer;
    Slot *slot = arg;
    if (info->n_added > 0) {
        slot->wrote = true;
    }
}

static enum evhttp_cmd_type
http_method_for(const EbPlatformClient *client, EbStoreOperation operation)
{
    switch (operation) {
    case EB_STORE_CREATE:
        return client->options.protocol->creates_with_post ? EVHTTP_REQ_POST
                                                           : EVHTTP_REQ_PUT;
    case EB_STORE_UPDATE:
        return EVHTTP_REQ_PUT;
    case EB_STORE_DELETE:
        return EVHTTP_REQ_DELETE;
    case EB_STORE_GET:
    case EB_STORE_LIST:
    case EB_STORE_OPERATION_COUNT:
        break;
    }
    return EVHTTP_REQ_GET;
}

static void
start_call(Slot *slot, Call *call)
{
    EbPlatformClient *client = slot->client;
    slot->call = call;
    slot->wrote = false;
    client->running_count++;
    if (slot->evcon == NULL) {
        slot->evcon = EbPlatformClient_OpenConnection(
            client, client->options.call_timeout_us);
        struct bufferevent *bufev =
            evhttp_connection_get_bufferevent(slot->evcon);
        evbuffer_add_cb(bufferevent_get_output(bufev), on_output, slot);
    }
    struct evhttp_request *request =
        EbPlatformClient_NewRequest(client, on_call_done, slot);
    if (call->body != NULL) {
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(request), call->body,
                     strlen(call->body));
    }
    struct timeval timeout =
        EbClock_Timeval(MAX(call->deadline_us - EbClock_Monotonic(), 1000));
    event_add(slot->timer, &timeout);
    /* A failure within evhttp_make_request may already have ended this call
     * and started another one in the slot, even at the same address. */
    uint64_t id = call->operation_id;
    if (evhttp_make_request(slot->evcon, request,
                            http_method_for(client, call->operation),
                            call->path) != 0 &&
        slot->call == call && call->operation_id == id) {
        fail_call(slot, "connect failed");
    }
}

static Slot *
find_free_slot(EbPlatformClient *client)
{
    for (guint i = 0; i < client->slots->len; i++) {
        Slot *slot = g_ptr_array_index(client->slots, i);
        if (slot->call == NULL) {
            return slot;
        }
    }
    return NULL;
}

static void
start_waiting_calls(EbPlatformClient *client)
{
    Slot *slot;
    while (client->waiting.length > 0 &&
           (slot = find_free_slot(client)) != NULL) {
        Call *call = g_queue_pop_head(&client->waiting);
        /* A call that is sent with little time left probably ends as
         * EB_STORE_LOST. EB_STORE_UNAVAILABLE is more useful to its owner,
         * since it says that the call was not sent. */
        int64_t min_remaining_us =
            client->options.call_timeout_us / MIN_REMAINING_DIVISOR;
        if (call->deadline_us - EbClock_Monotonic() < min_remaining_us) {
            EbPlatformClient_RecordCall(
                client, EbStoreOperation_names[call->operation], "expired",
                "no free connection");
            deliver_reply(client, call, EB_STORE_UNAVAILABLE, 0, NULL);
            free_call(call);
            continue;
        }
        start_call(slot, call);
    }
}

void
EbPlatformClient_StartCall(EbPlatformClient *client,
                           const EbStoreRequest *request)
{
    Call *call = g_new0(Call, 1);
    call->owner = request->owner;
    call->operation_id = request->operation_id;
    call->operation = request->operation;
    call->deadline_us = EbClock_Monotonic() + client->options.call_timeout_us;
    if (client->waiting.length >= client->options.max_waiting) {
        EbPlatformClient_RecordCall(client,
                                    EbStoreOperation_names[call->operation],
                                    "not-queued", NULL);
        deliver_reply(client, call, EB_STORE_UNAVAILABLE, 0, NULL);
        free_call(call);
        return;
    }
    call->path = client->options.protocol->path(request);
    if (request->operation == EB_STORE_CREATE ||
        request->operation == EB_STORE_UPDATE) {
        json_t *body = client->options.protocol->body(request);
        call->body = json_dumps(body, JSON_COMPACT | JSON_ENCODE_ANY);
        json_decref(body);
    }
    g_queue_push_tail(&client->waiting, call);
    start_waiting_calls(client);
}

bool
EbPlatformClient_IsUp(const EbPlatformClient *client)
{
    return client->up;
}

size_t
EbPlatformClient_PendingCount(const EbPlatformClient *client)
{
    return client->waiting.length + client->running_count;
}

static void
set_defaults(EbPlatformClientOptions *options)
{
    if (options->protocol == NULL) {
        options->protocol = &EbStoreProtocol_native;
    }
    if (options->max_calls == 0) {
        options->max_calls = DEFAULT_MAX_CALLS;
    }
    if (options->max_waiting == 0) {
        options->max_waiting = DEFAULT_MAX_WAITING;
    }
    if (options->call_timeout_us == 0) {
        options->call_timeout_us = DEFAULT_CALL_TIMEOUT_US;
    }
    if (options->watch_timeout_us == 0) {
        options->watch_timeout_us = DEFAULT_WATCH_TIMEOUT_US;
    }
    if (options->watch_grace_us == 0) {
        options->watch_grace_us = DEFAULT_WATCH_GRACE_US;
    }
}

EbPlatformClient *
EbPlatformClient_New(const EbPlatformClientOptions *options)
{
    assert(options->base != NULL && options->reply != NULL);
    assert(options->random != NULL && options->metrics != NULL);
    EbPlatformClient *client = g_new0(EbPlatformClient, 1);
    client->options = *options;
    set_defaults(&client->options);
    client->host = g_strdup(options->host);
    client->token = g_strdup(options->token);
    client->up = true;
    g_queue_init(&client->waiting);
    client->slots = g_ptr_array_new_with_free_func(free_slot);
    for (uint32_t i = 0; i < client->options.max_calls; i++) {
        Slot *slot = g_new0(Slot, 1);
        slot->client = client;
        slot->timer = evtimer_new(options->base, on_call_timeout, slot);
        g_ptr_array_add(client->slots, slot);
    }
    client->watches = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
                                            EbPlatformWatch_Free);
    return client;
}

void
EbPlatformClient_Free(EbPlatformClient *client)
{
    if (client == NULL) {
        return;
    }
    EbPlatformClient_StopProbes(client);
    g_hash_table_destroy(client->watches);
    g_ptr_array_free(client->slots, TRUE);
    g_queue_clear_full(&client->waiting, free_call);
    g_free(client->host);
    g_free(client->token);
    g_free(client);
}
