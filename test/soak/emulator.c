/* The emulated platform: its store, model servers, services and stage
 * servers. */
#include <stdio.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include "soak.h"

#define WORK_US 15000     /* from a request to the answer or first event */
#define EVENT_GAP_US 8000 /* between the events of a stream */
#define REMOVE_AFTER_US 4000000 /* from the start of a drain */
/* Daemons must stop sending to a draining server within this time after they
 * can read its state. */
#define DRAIN_NOTICE_US 2000000
/* Within this time after a fault, daemons can read the store again. */
#define STORE_CONTACT_US 3000000

/* Until what a restored store lacks is written again. */
#define REWRITE_US 400000
/* How long the writes of the store are kept to be undone. */
#define WRITE_AGE_MAX_US 10000000
/* A limited server takes this many requests a second, and in a window at most
 * a half more and LIMIT_EXTRA. That is checked from LIMIT_CONTACT_US after the
 * first answer with the limit or the last disturbance of a daemon. */
#define LIMIT_PER_S 6
#define LIMIT_WINDOW_US 4000000
#define LIMIT_MAX (LIMIT_PER_S * LIMIT_WINDOW_US / 1000000 * 3 / 2)
#define LIMIT_EXTRA 5
#define LIMIT_CONTACT_US 3000000

/* A write to the store. */
typedef struct {
    char *key;
    json_t *before; /* the object before it, or NULL */
    uint64_t revision_before;
    int64_t at_us;
} Write;

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

typedef struct {
    struct evhttp_request *request;
    struct event *timer;
    Soak *soak;
    char *kind;
    uint64_t since;
} Watch;

static const char *
header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

static void
add_header(struct evhttp_request *request, const char *name, const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value);
}

static void
reply_json(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, text, strlen(text));
    add_header(request, "Content-Type", "application/json");
    evhttp_send_reply(request, status, "Status", buffer);
    evbuffer_free(buffer);
    free(text);
    json_decref(body);
}

static json_t *
read_body(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    return length > 0 ? json_loadb((char *)evbuffer_pullup(input, -1), length,
                                   0, NULL)
                      : NULL;
}

/* Store */

static char *
object_key(const char *kind, const char *name)
{
    return g_strdup_printf("%s/%s", kind, name);
}

static json_t *
list_kind(Soak *soak, const char *kind, uint64_t since)
{
    json_t *items = json_array();
    char *prefix = g_strdup_printf("%s/", kind);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, soak->objects);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        json_int_t revision = json_integer_value(
            json_object_get(json_object_get(value, "metadata"), "revision"));
        bool deleted = json_is_true(json_object_get(value, "deleted"));
        if (!g_str_has_prefix(key, prefix) || (uint64_t)revision <= since ||
            (since == 0 && deleted)) {
            continue;
        }
        json_array_append_new(items, since == 0 ? json_incref(value)
                                                : json_pack("{s:b, s:O}",
                                                            "deleted", deleted,
                                                            "object", value));
    }
    g_free(prefix);
    return items;
}

static void
add_era(const Soak *soak, struct evhttp_request *request)
{
    char text[24];
    snprintf(text, sizeof(text), "%u", (unsigned)soak->era);
    add_header(request, "Store-Era", text);
}

static void
finish_watch(Watch *watch, json_t *events)
{
    g_ptr_array_remove_fast(watch->soak->watches, watch);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(watch->request), NULL, NULL);
    add_era(watch->soak, watch->request);
    reply_json(watch->request, 200,
               json_pack("{s:o, s:I}", "events", events, "current_rev",
                         (json_int_t)watch->soak->revision));
    event_free(watch->timer);
    g_free(watch->kind);
    g_free(watch);
}

static void
on_watch_timeout(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    finish_watch(context, json_array());
}

/* Frees a request whose connection has failed: evhttp leaves that to the
 * handler. */
static void
free_orphaned_request(struct evhttp_request *request)
{
    if (evhttp_request_get_connection(request) == NULL) {
        evhttp_request_free(request);
    }
}

static void
on_watch_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Watch *watch = context;
    free_orphaned_request(watch->request);
    g_ptr_array_remove_fast(watch->soak->watches, watch);
    event_free(watch->timer);
    g_free(watch->kind);
    g_free(watch);
}

static void
free_write(gpointer pointer)
{
    Write *write = pointer;
    json_decref(write->before);
    g_free(write->key);
    g_free(write);
}

/* Keeps what a write replaces. Takes over the key. */
static void
log_write(Soak *soak, char *key)
{
    Write *write = g_new0(Write, 1);
    json_t *before = g_hash_table_lookup(soak->objects, key);
    *write = (Write){.key = key,
                     .before = json_incref(before),
                     .revision_before = soak->revision,
                     .at_us = Soak_Now()};
    g_queue_push_tail(&soak->writes, write);
    while (((Write *)soak->writes.head->data)->at_us <
           Soak_Now() - WRITE_AGE_MAX_US) {
        free_write(g_queue_pop_head(&soak->writes));
    }
}

static void
put_object(Soak *soak, const char *kind, const char *name, json_t *spec,
           bool deleted)
{
    log_write(soak, object_key(kind, name));
    json_t *object = json_pack("{s:{s:s, s:I}, s:o, s:b}", "metadata", "name",
                               name, "revision", (json_int_t)++soak->revision,
                               "spec", spec, "deleted", deleted);
    g_hash_table_replace(soak->objects, object_key(kind, name), object);
    for (guint i = soak->watches->len; i > 0; i--) {
        Watch *watch = g_ptr_array_index(soak->watches, i - 1);
        if (strcmp(watch->kind, kind) == 0) {
            finish_watch(watch, list_kind(soak, kind, watch->since));
        }
    }
}

static void
start_watch(Soak *soak, struct evhttp_request *request, const char *kind,
            uint64_t since, int64_t wait_ms)
{
    if (since > soak->revision) {
        add_era(soak, request);
        evhttp_send_reply(request, 410, "Gone", NULL);
        return;
    }
    json_t *events = list_kind(soak, kind, since);
    Watch *watch = g_new0(Watch, 1);
    *watch = (Watch){.request = request,
                     .soak = soak,
                     .kind = g_strdup(kind),
                     .since = since};
    watch->timer = evtimer_new(soak->base, on_watch_timeout, watch);
    g_ptr_array_add(soak->watches, watch);
    if (json_array_size(events) > 0) {
        finish_watch(watch, events);
        return;
    }
    json_decref(events);
    struct timeval wait = {wait_ms / 1000, wait_ms % 1000 * 1000};
    event_add(watch->timer, &wait);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_watch_closed, watch);
}

static void
write_object(Soak *soak, struct evhttp_request *request, const char *kind,
             const char *path_name)
{
    json_t *body = read_body(request);
    json_t *metadata = json_object_get(body, "metadata");
    const char *name =
        path_name != NULL
            ? path_name
            : json_string_value(json_object_get(metadata, "name"));
    char *key = object_key(kind, name != NULL ? name : "");
    json_t *current = g_hash_table_lookup(soak->objects, key);
    json_int_t revision = json_integer_value(
        json_object_get(json_object_get(current, "metadata"), "revision"));
    json_t *expected_revision = json_object_get(metadata, "revision");
    bool conflict =
        path_name == NULL
            ? current != NULL
            : expected_revision != NULL &&
                  json_integer_value(expected_revision) != revision;
    if (!conflict) {
        put_object(soak, kind, name,
                   json_incref(json_object_get(body, "spec")), false);
        current = g_hash_table_lookup(soak->objects, key);
    }
    add_era(soak, request);
    reply_json(request, conflict ? 409 : 200, json_incref(current));
    g_free(key);
    json_decref(body);
}

static void
on_store(struct evhttp_request *request, void *context)
{
    Soak *soak = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    char **parts = g_strsplit(evhttp_uri_get_path(uri), "/", 5);
    struct evkeyvalq query = {0};
    const char *text = evhttp_uri_get_query(uri);
    evhttp_parse_query_str(text != NULL ? text : "", &query);
    const char *kind = g_strv_length(parts) > 3 ? parts[3] : "";
    const char *name = g_strv_length(parts) > 4 ? parts[4] : NULL;
    const char *since = evhttp_find_header(&query, "watch");
    const char *wait = evhttp_find_header(&query, "wait_ms");
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
        write_object(soak, request, kind, name);
    }
    else if (since != NULL) {
        start_watch(soak, request, kind, g_ascii_strtoull(since, NULL, 10),
                    wait != NULL ? g_ascii_strtoll(wait, NULL, 10) : 1000);
    }
    else {
        add_era(soak, request);
        reply_json(request, 200,
                   json_pack("{s:o, s:b, s:I}", "items",
                             list_kind(soak, kind, 0), "has_more", 0,
                             "current_rev", (json_int_t)soak->revision));
    }
    evhttp_clear_headers(&query);
    g_strfreev(parts);
}

static void
write_config(Soak *soak)
{
    static const char routes[] =
        "[{\"name\":\"read\",\"host\":\"h\",\"path_prefix\":\"/read/\","
        "\"route_kind\":\"idempotent\",\"timeout_ms\":3000,\"goal_ms\":300,"
        "\"service\":\"orders\",\"max_attempts\":3},"
        "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
        "\"route_kind\":\"non_idempotent\",\"timeout_ms\":3000,"
        "\"goal_ms\":300,\"service\":\"orders\",\"max_attempts\":2},"
        "{\"name\":\"draft\",\"host\":\"h\",\"path_prefix\":\"/draft/\","
        "\"route_kind\":\"streaming\",\"timeout_ms\":3000,\"goal_ms\":900,"
        "\"service\":\"model\",\"max_attempts\":3,\"resumable\":true,"
        "\"stages\":[{\"service\":\"encode\",\"after\":[],"
        "\"byte_count\":1000}]},"
        "{\"name\":\"answer\",\"host\":\"h\",\"path_prefix\":\"/answer/\","
        "\"route_kind\":\"streaming\",\"timeout_ms\":3000,\"goal_ms\":900,"
        "\"service\":\"model\",\"max_attempts\":1,\"resumable\":false,"
        "\"stages\":[{\"service\":\"encode\",\"after\":[],"
        "\"byte_count\":1000},{\"service\":\"encode\",\"after\":[0],"
        "\"byte_count\":1000}]}]";
    static const char services[] =
        "[{\"name\":\"model\",\"engine\":{\"slots\":16}},"
        "{\"name\":\"orders\"},{\"name\":\"encode\",\"pieces\":{\"slots\":1,"
        "\"queue\":2,\"batch\":8,\"call_ms\":20,\"item_ms\":1,"
        "\"headroom_mb\":4,\"handle_s\":4}}]";
    put_object(soak, "config", "main",
               json_pack("{s:I, s:o, s:o, s:[{s:s, s:[s]}]}", "version",
                         (json_int_t)soak->config_version, "routes",
                         json_loads(routes, 0, NULL), "services",
                         json_loads(services, 0, NULL), "tenants", "name",
                         "c-1", "api_keys", SOAK_KEY),
               false);
}

void
Emulator_PutConfig(Soak *soak)
{
    soak->config_version += 1 + EbRandom_Below(&soak->random, 3);
    write_config(soak);
}

/* Servers */

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
    free_orphaned_request(work->request);
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
        add_header(work->request, "Server-Limit",
                   G_STRINGIFY(LIMIT_PER_S) ".0");
    }
    add_header(work->request, "Attempt-Id", id);
    add_header(work->request, "Server-Seal", work->server->id);
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
        add_header(work->request, "Content-Type", "text/event-stream");
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
    add_header(request, "Not-Executed", "1");
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
    json_t *body = read_body(request);
    json_t *results = json_array();
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(body, "items"), index, item)
    {
        const char *id = json_string_value(json_object_get(item, "id"));
        json_int_t stage = json_integer_value(json_object_get(item, "stage"));
        json_t *inputs = json_object_get(item, "inputs");
        if (stage == 1) {
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
    reply_json(request, 200, json_pack("{s:o}", "items", results));
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
    const char *after = header(request, "Last-Event-Id");
    Work *work = g_new0(Work, 1);
    work->server = server;
    work->request = request;
    work->id = g_strdup(id);
    work->stream = g_str_has_prefix(path, "/draft/") ||
                   g_str_has_prefix(path, "/answer/");
    work->next_event_id =
        after != NULL ? g_ascii_strtoll(after, NULL, 10) + 1 : 0;
    work->timer = evtimer_new(server->soak->base, on_work_timer, work);
    if (work->stream) {
        check_inputs(server, id, header(request, "Inputs"));
    }
    if (header(request, "Authorization") != NULL ||
        g_strcmp0(header(request, "Tenant"), "c-1") != 0) {
        Soak_Violation(server->soak, "the caller's API key is not passed on",
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
    const char *expected = header(request, "Expected-Instance");
    const char *id = header(request, "Attempt-Id");
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
    put_object(server->soak, "servers", server->id,
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
    put_object(server->soak, "servers", server->id, json_null(), true);
}

/* Writes again what a restored store may lack. */
static void
on_rewrite(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Soak *soak = context;
    write_config(soak);
    for (guint i = 0; i < soak->servers->len; i++) {
        Server *server = g_ptr_array_index(soak->servers, i);
        if (server->removed) {
            put_object(soak, "servers", server->id, json_null(), true);
        }
        else {
            put_registration(server);
        }
    }
    soak->store_disturbed_us = Soak_Now();
}

void
Emulator_Restore(Soak *soak, int64_t age_us)
{
    int64_t copy_us = Soak_Now() - age_us;
    Write *write;
    while ((write = g_queue_peek_tail(&soak->writes)) != NULL &&
           write->at_us > copy_us) {
        if (write->before != NULL) {
            g_hash_table_replace(soak->objects, g_strdup(write->key),
                                 json_incref(write->before));
        }
        else {
            g_hash_table_remove(soak->objects, write->key);
        }
        soak->revision = write->revision_before;
        free_write(g_queue_pop_tail(&soak->writes));
    }
    soak->era++;
    while (soak->watches->len > 0) {
        finish_watch(g_ptr_array_index(soak->watches, 0), json_array());
    }
    soak->store_disturbed_us = Soak_Now() + REWRITE_US;
    struct timeval delay = {0, REWRITE_US};
    event_add(soak->rewrite_timer, &delay);
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
Emulator_Start(Soak *soak)
{
    static const char *const services[] = {"model",  "model",  "model",
                                           "orders", "orders", "orders",
                                           "encode", "encode"};
    soak->era = 1;
    g_queue_init(&soak->writes);
    soak->rewrite_timer = evtimer_new(soak->base, on_rewrite, soak);
    soak->servers = g_ptr_array_new();
    soak->watches = g_ptr_array_new();
    soak->objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)json_decref);
    soak->store_port = Soak_FindFreePort();
    soak->store = evhttp_new(soak->base);
    evhttp_set_allowed_methods(soak->store, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_POST |
                                                EVHTTP_REQ_DELETE);
    evhttp_set_gencb(soak->store, on_store, soak);
    g_assert(evhttp_bind_socket(soak->store, SOAK_HOST, soak->store_port) ==
             0);
    Emulator_PutConfig(soak);
    for (size_t i = 0; i < G_N_ELEMENTS(services); i++) {
        Emulator_AddServer(soak, services[i]);
    }
}

void
Emulator_Stop(Soak *soak)
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
    evhttp_free(soak->store);
    event_free(soak->rewrite_timer);
    g_queue_clear_full(&soak->writes, free_write);
    g_ptr_array_unref(soak->watches);
    g_hash_table_destroy(soak->objects);
}
