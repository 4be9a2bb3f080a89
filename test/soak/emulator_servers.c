/* The emulated model servers, services and stage servers. */
#include <stdio.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include "emulator.h"

#define WORK_US 15000     /* from a request to the answer or first event */
#define EVENT_GAP_US 8000 /* between the events of a stream */
#define REMOVE_AFTER_US 4000000 /* from the start of a drain */
/* Daemons must stop sending to a draining server within this time after they
 * can read its state. */
#define DRAIN_NOTICE_US 2000000
/* Within this time after a fault, daemons can read the store again. */
#define STORE_CONTACT_US 3000000

/* A limited server takes this many requests a second, and in a window at most
 * a half more and LIMIT_EXTRA. That is checked from LIMIT_CONTACT_US after the
 * first answer with the limit or the last disturbance of a daemon. */
#define LIMIT_PER_S 6
#define LIMIT_WINDOW_US 4000000
#define LIMIT_MAX (LIMIT_PER_S * LIMIT_WINDOW_US / 1000000 * 3 / 2)
#define LIMIT_EXTRA 5
#define LIMIT_CONTACT_US 3000000

struct Server {
    Soak *soak;
    struct evhttp *http;
    uint16_t port;
    char *id;
    char *service;
    ServerFault fault;
    int64_t fault_since_us;
    GQueue arrivals;     /* times, while it names a limit */
    int64_t draining_us; /* 0: not draining */
    bool removed;        /* from the store */
    struct event *removal_timer;
};

/* A request that a server is processing. */
typedef struct {
    Server *server;
    struct evhttp_request *request;
    struct event *timer;
    char *id;
    int64_t next_event_id;
    bool started;
    bool stream;
} Work;

static void
free_work(Work *work)
{
    event_free(work->timer);
    g_free(work->id);
    g_free(work);
}

static void
close_connection(struct evhttp_request *request)
{
    struct evhttp_connection *connection =
        evhttp_request_get_connection(request);
    if (connection != NULL) {
        shutdown(
            bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
            SHUT_RDWR);
    }
}

static void
on_connection_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Work *work = context;
    Emulator_FreeOrphan(work->request);
    free_work(work);
}

static void
record_run(Work *work)
{
    GHashTable *runs = work->server->soak->runs;
    guint count = GPOINTER_TO_UINT(g_hash_table_lookup(runs, work->id)) + 1;
    g_hash_table_replace(runs, g_strdup(work->id), GUINT_TO_POINTER(count));
    if (g_hash_table_contains(work->server->soak->refused_ids, work->id)) {
        Soak_Violation(work->server->soak,
                       "a request answered as not run does not run", work->id,
                       "it runs after the answer");
    }
}

static void
add_answer_headers(const Work *work, const char *id)
{
    if (work->server->fault == SERVER_LIMITED) {
        Emulator_AddHeader(work->request, "Server-Limit",
                           G_STRINGIFY(LIMIT_PER_S) ".0");
    }
    Emulator_AddHeader(work->request, "Attempt-Id", id);
    Emulator_AddHeader(work->request, "Server-Seal", work->server->id);
}

static void
schedule(const Work *work, int64_t after_us)
{
    struct timeval delay = {0, after_us};
    event_add(work->timer, &delay);
}

static void
end_work(Work *work)
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(work->request),
                                  NULL, NULL);
    free_work(work);
}

static void
start_stream(Work *work)
{
    if (!work->started) {
        work->started = true;
        add_answer_headers(work, work->id);
        Emulator_AddHeader(work->request, "Content-Type", "text/event-stream");
        evhttp_send_reply_start(work->request, 200, "OK");
    }
}

static void
send_event(Work *work)
{
    start_stream(work);
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add_printf(buffer, "id: %d\ndata: %s\n\n",
                        (int)work->next_event_id, work->id);
    evhttp_send_reply_chunk(work->request, buffer);
    evbuffer_free(buffer);
    work->next_event_id++;
}

static void
finish_plain(Work *work)
{
    bool error = work->server->fault == SERVER_ERRORS;
    bool wrong_id = work->server->fault == SERVER_WRONG_ID;
    char *body = Soak_Body(work->id);
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body, strlen(body));
    add_answer_headers(work, wrong_id ? "another" : work->id);
    struct evhttp_request *request = work->request;
    end_work(work);
    evhttp_send_reply(request, error ? 500 : 200, "Status", buffer);
    evbuffer_free(buffer);
    g_free(body);
}

static void
on_work_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Work *work = context;
    ServerFault fault = work->server->fault;
    if (fault == SERVER_SILENT) {
        schedule(work, WORK_US); /* checks again whether the fault has ended */
        return;
    }
    if (fault == SERVER_RESETS && (!work->stream || work->next_event_id > 3)) {
        close_connection(work->request);
        return; /* the close callback frees the work */
    }
    if (!work->stream || (fault == SERVER_ERRORS && !work->started)) {
        finish_plain(work);
        return;
    }
    if (work->next_event_id < SOAK_EVENTS) {
        send_event(work);
        schedule(work, EVENT_GAP_US);
        return;
    }
    /* A stream that is resumed after its last event has no event left. */
    start_stream(work);
    struct evhttp_request *request = work->request;
    end_work(work);
    evhttp_send_reply_end(request);
}

static void
refuse(struct evhttp_request *request, int status)
{
    Emulator_AddHeader(request, "Not-Executed", "1");
    evhttp_send_reply(request, status, "Refused", NULL);
}

/* Checks that every input handle contains the id of the request, which shows
 * that it was made for this request. */
static bool
check_inputs(Server *server, const char *id, const char *inputs)
{
    char **handles = g_strsplit(inputs != NULL ? inputs : "", ",", -1);
    bool own_handles = handles[0] != NULL;
    for (size_t i = 0; handles[i] != NULL; i++) {
        const char *slash = strchr(handles[i], '/');
        own_handles =
            own_handles && slash != NULL && g_str_has_prefix(slash + 1, id);
    }
    g_strfreev(handles);
    if (!own_handles) {
        Soak_Violation(server->soak, "input handles belong to the request", id,
                       inputs != NULL ? inputs : "none");
    }
    return own_handles;
}

static void
run_batch(Server *server, struct evhttp_request *request)
{
    json_t *body = Emulator_ReadBody(request);
    json_t *results = json_array();
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(body, "items"), index, item)
    {
        const char *id = json_string_value(json_object_get(item, "id"));
        json_int_t stage = json_integer_value(json_object_get(item, "stage"));
        json_t *inputs = json_object_get(item, "inputs");
        if (stage == 1 || inputs != NULL) {
            check_inputs(server, id,
                         json_string_value(json_array_get(inputs, 0)));
        }
        char *handle = g_strdup_printf(
            SOAK_HOST ":%u/%s.%d.%d", (unsigned)server->port, id, (int)stage,
            (int)json_integer_value(json_object_get(item, "piece")));
        json_array_append_new(results, json_pack("{s:s}", "handle", handle));
        g_free(handle);
    }
    json_decref(body);
    Emulator_ReplyJson(request, 200, json_pack("{s:o}", "items", results));
}

static void
check_drain(const Server *server, const char *id)
{
    /* Daemons learn of the drain when they can reach the store. */
    int64_t learned_us =
        MAX(server->draining_us,
            server->soak->store_disturbed_us + STORE_CONTACT_US);
    if (server->draining_us != 0 &&
        Soak_Now() > learned_us + DRAIN_NOTICE_US) {
        Soak_Violation(server->soak,
                       "a leaving server receives no new requests", id,
                       server->id);
    }
}

/* Returns the last time at which a daemon was started, stopped or paused. */
static int64_t
last_disturbance(const Soak *soak)
{
    int64_t last_us = 0;
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        last_us = MAX(last_us, soak->daemons[i].disturbed_us);
    }
    return last_us;
}

static void
check_limit(Server *server, const char *id)
{
    int64_t now_us = Soak_Now();
    int64_t since_us =
        MAX(server->fault_since_us, last_disturbance(server->soak));
    if (server->fault != SERVER_LIMITED ||
        now_us < since_us + LIMIT_CONTACT_US) {
        g_queue_clear_full(&server->arrivals, g_free);
        return;
    }
    g_queue_push_tail(&server->arrivals, g_memdup2(&now_us, sizeof(now_us)));
    while (*(int64_t *)server->arrivals.head->data <
           now_us - LIMIT_WINDOW_US) {
        g_free(g_queue_pop_head(&server->arrivals));
    }
    if (server->arrivals.length > LIMIT_MAX + LIMIT_EXTRA) {
        Soak_Violation(server->soak,
                       "a server gets no more requests than it takes", id,
                       server->id);
    }
}

static void
start_work(Server *server, struct evhttp_request *request, const char *id)
{
    const char *path = evhttp_request_get_uri(request);
    const char *after = Emulator_Header(request, "Last-Event-Id");
    Work *work = g_new0(Work, 1);
    work->server = server;
    work->request = request;
    work->id = g_strdup(id);
    work->stream = g_str_has_prefix(path, "/draft/") ||
                   g_str_has_prefix(path, "/answer/") ||
                   g_str_has_prefix(path, "/chain/");
    work->next_event_id =
        after != NULL ? g_ascii_strtoll(after, NULL, 10) + 1 : 0;
    work->timer = evtimer_new(server->soak->base, on_work_timer, work);
    if (work->stream) {
        check_inputs(server, id, Emulator_Header(request, "Inputs"));
    }
    const char *tenant = g_str_has_prefix(path, "/open/") ? NULL : SOAK_TENANT;
    if (Emulator_Header(request, "Authorization") != NULL ||
        g_strcmp0(Emulator_Header(request, "Tenant"), tenant) != 0) {
        Soak_Violation(server->soak,
                       "the caller's API key is not passed on, but its tenant",
                       id, server->id);
    }
    record_run(work);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_connection_closed, work);
    schedule(work, WORK_US);
}

static void
on_server(struct evhttp_request *request, void *context)
{
    Server *server = context;
    const char *path = evhttp_request_get_uri(request);
    const char *expected = Emulator_Header(request, "Expected-Instance");
    const char *id = Emulator_Header(request, "Attempt-Id");
    if (expected != NULL && strcmp(expected, server->id) != 0) {
        refuse(request, 421);
    }
    else if (strcmp(path, "/ebonyhollow/stage-free") == 0) {
        evhttp_send_reply(request, 200, "OK", NULL);
    }
    else if (server->fault == SERVER_SHEDS) {
        refuse(request, 503);
    }
    else if (strcmp(path, "/ebonyhollow/stage-run") == 0) {
        if (server->fault == SERVER_RESETS || server->fault == SERVER_SILENT) {
            close_connection(request);
            return;
        }
        check_drain(server, "stage-run");
        run_batch(server, request);
    }
    else if (id == NULL) {
        refuse(request, 400);
    }
    else {
        check_drain(server, id);
        check_limit(server, id);
        start_work(server, request, id);
    }
}

static void
put_registration(const Server *server)
{
    char address[32];
    snprintf(address, sizeof(address), SOAK_HOST ":%u",
             (unsigned)server->port);
    Store_Put(server->soak, "servers", server->id,
              json_pack("{s:s, s:s, s:s, s:i, s:s}", "service",
                        server->service, "address", address, "zone", "z0",
                        "slots", 16, "state",
                        server->draining_us != 0 ? "draining" : "ready"),
              false);
}

static void
on_removal(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Server *server = context;
    server->removed = true;
    Store_Put(server->soak, "servers", server->id, json_null(), true);
}

Server *
Emulator_AddServer(Soak *soak, const char *service)
{
    Server *server = g_new0(Server, 1);
    server->soak = soak;
    server->service = g_strdup(service);
    server->id = g_strdup_printf("s-%u", (unsigned)++soak->next_server);
    server->port = Soak_FindFreePort();
    server->http = evhttp_new(soak->base);
    server->removal_timer = evtimer_new(soak->base, on_removal, server);
    evhttp_set_gencb(server->http, on_server, server);
    g_assert(evhttp_bind_socket(server->http, SOAK_HOST, server->port) == 0);
    g_ptr_array_add(soak->servers, server);
    put_registration(server);
    return server;
}

void
Emulator_Drain(Soak *soak, Server *server)
{
    if (server->draining_us == 0) {
        server->draining_us = Soak_Now();
        put_registration(server);
        struct timeval delay = {REMOVE_AFTER_US / 1000000, 0};
        event_add(server->removal_timer, &delay);
        Emulator_AddServer(soak, server->service);
    }
}

void
Server_SetFault(Server *server, ServerFault fault)
{
    server->fault = fault;
    server->fault_since_us = Soak_Now();
}

void
Servers_Register(Soak *soak)
{
    for (guint i = 0; i < soak->servers->len; i++) {
        Server *server = g_ptr_array_index(soak->servers, i);
        if (server->removed) {
            Store_Put(soak, "servers", server->id, json_null(), true);
        }
        else {
            put_registration(server);
        }
    }
}

void
Servers_Start(Soak *soak)
{
    static const char *const services[] = {"model",  "model",  "model",
                                           "orders", "orders", "orders",
                                           "encode", "encode"};
    soak->servers = g_ptr_array_new();
    for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
        Emulator_AddServer(soak, services[i]);
    }
}

void
Servers_Stop(Soak *soak)
{
    for (guint i = 0; i < soak->servers->len; i++) {
        Server *server = g_ptr_array_index(soak->servers, i);
        event_free(server->removal_timer);
        g_queue_clear_full(&server->arrivals, g_free);
        evhttp_free(server->http);
        g_free(server->id);
        g_free(server->service);
        g_free(server);
    }
    g_ptr_array_unref(soak->servers);
}
