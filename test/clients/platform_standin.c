/* Stand-in for the users' platform with one backend server, for the tests with
 * clients that misbehave and the one with a restored store.
 *
 * Usage: platform_standin STORE-PORT SERVER-PORT
 *
 * The server answers a request for /order/big with 4 MiB and one for
 * /order/stream with events without end; GET /runs answers with the ids of
 * all requests that ran, and after GET /restore the store holds an older
 * configuration, without the routes below /order/. */
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>

#define HOST "127.0.0.1"
#define BIG_ANSWER_BYTES 4194304
#define EVENT_BYTES 65536
#define MAX_REQUEST_BYTES 16777216

typedef struct {
    struct event_base *base;
    char *server_entry;
    GString *runs;
    unsigned era;
} Standin;

typedef struct {
    struct evhttp_request *request;
    struct event *timer;
} Watch;

typedef struct {
    struct evhttp_request *request;
    uint64_t next_event_id;
} Stream;

static const char config[] =
    "{\"version\":3,\"routes\":["
    "{\"name\":\"order\",\"host\":\"h\",\"path_prefix\":\"/order/\","
    "\"route_kind\":\"non_idempotent\",\"timeout_ms\":20000,\"goal_ms\":300,"
    "\"service\":\"orders\",\"max_attempts\":1},"
    "{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/order/stream/\","
    "\"route_kind\":\"streaming\",\"timeout_ms\":20000,\"goal_ms\":300,"
    "\"service\":\"orders\",\"max_attempts\":1}],"
    "\"services\":[{\"name\":\"orders\"}],"
    "\"tenants\":[{\"name\":\"c-1\",\"api_keys\":[\"k-1\"]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000}}";

static const char restored_config[] =
    "{\"version\":2,\"routes\":["
    "{\"name\":\"former\",\"host\":\"h\",\"path_prefix\":\"/former/\","
    "\"route_kind\":\"non_idempotent\",\"timeout_ms\":20000,\"goal_ms\":300,"
    "\"service\":\"orders\",\"max_attempts\":1}],"
    "\"services\":[{\"name\":\"orders\"}],"
    "\"tenants\":[{\"name\":\"c-1\",\"api_keys\":[\"k-1\"]}]}";

static void
reply(struct evhttp_request *request, const char *text)
{
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, text, strlen(text));
    evhttp_send_reply(request, 200, "OK", buffer);
    evbuffer_free(buffer);
}

static void
free_watch(Watch *watch)
{
    event_free(watch->timer);
    g_free(watch);
}

static void
on_watch_timeout(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Watch *watch = context;
    struct evhttp_request *request = watch->request;
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), NULL,
                                  NULL);
    free_watch(watch);
    reply(request, "{\"events\":[],\"current_rev\":9}");
}

static void
on_watch_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Watch *watch = context;
    if (evhttp_request_get_connection(watch->request) == NULL) {
        evhttp_request_free(watch->request);
    }
    free_watch(watch);
}

static void
start_watch(Standin *standin, struct evhttp_request *request, int wait_ms)
{
    Watch *watch = g_new0(Watch, 1);
    watch->request = request;
    watch->timer = evtimer_new(standin->base, on_watch_timeout, watch);
    struct timeval wait = {wait_ms / 1000, wait_ms % 1000 * 1000L};
    event_add(watch->timer, &wait);
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  on_watch_closed, watch);
}

static void
list_objects(const Standin *standin, struct evhttp_request *request,
             const char *path)
{
    bool is_config = strstr(path, "/config") != NULL;
    bool is_server = strstr(path, "/servers") != NULL;
    char *text = g_strdup_printf(
        is_config || is_server
            ? "{\"items\":[{\"metadata\":{\"name\":\"%s\",\"revision\":5,"
              "\"created\":1,\"finalizers\":[],\"deletion_pending\":false},"
              "\"spec\":%s,\"status\":null}],\"has_more\":false,"
              "\"current_rev\":9}"
            : "{\"items\":[],\"has_more\":false,\"current_rev\":9}",
        is_config ? "main" : "s-1",
        !is_config          ? standin->server_entry
        : standin->era == 1 ? config
                            : restored_config);
    reply(request, text);
    g_free(text);
}

static void
on_store(struct evhttp_request *request, void *context)
{
    Standin *standin = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *query = evhttp_uri_get_query(uri);
    struct evkeyvalq fields = {0};
    evhttp_parse_query_str(query != NULL ? query : "", &fields);
    const char *wait = evhttp_find_header(&fields, "wait_ms");
    char era[16];
    g_snprintf(era, sizeof(era), "%u", standin->era);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Store-Era",
                      era);
    if (evhttp_request_get_command(request) != EVHTTP_REQ_GET) {
        reply(request, "{\"metadata\":{\"name\":\"x\",\"revision\":9},"
                       "\"spec\":{},\"status\":null}");
    }
    else if (evhttp_find_header(&fields, "watch") != NULL) {
        start_watch(standin, request, wait != NULL ? atoi(wait) : 1000);
    }
    else {
        list_objects(standin, request, evhttp_uri_get_path(uri));
    }
    evhttp_clear_headers(&fields);
}

static void
send_event(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Stream *stream = context;
    struct evbuffer *buffer = evbuffer_new();
    char *data = g_strnfill(EVENT_BYTES, 'e');
    evbuffer_add_printf(buffer, "id: %u\ndata: %s\n\n",
                        (unsigned)stream->next_event_id++, data);
    g_free(data);
    evhttp_send_reply_chunk_with_cb(stream->request, buffer, send_event,
                                    stream);
    evbuffer_free(buffer);
}

static void
on_stream_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Stream *stream = context;
    if (evhttp_request_get_connection(stream->request) == NULL) {
        evhttp_request_free(stream->request);
    }
    g_free(stream);
}

static void
answer(struct evhttp_request *request, const char *path)
{
    if (g_str_has_prefix(path, "/order/stream")) {
        Stream *stream = g_new0(Stream, 1);
        stream->request = request;
        evhttp_add_header(evhttp_request_get_output_headers(request),
                          "Content-Type", "text/event-stream");
        evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                      on_stream_closed, stream);
        evhttp_send_reply_start(request, 200, "OK");
        send_event(NULL, stream);
        return;
    }
    char *body = g_strnfill(
        g_str_has_prefix(path, "/order/big") ? BIG_ANSWER_BYTES : 16, 'a');
    reply(request, body);
    g_free(body);
}

static void
on_server(struct evhttp_request *request, void *context)
{
    Standin *standin = context;
    const char *path = evhttp_request_get_uri(request);
    const char *id = evhttp_find_header(
        evhttp_request_get_input_headers(request), "Attempt-Id");
    if (strcmp(path, "/runs") == 0) {
        reply(request, standin->runs->str);
        return;
    }
    if (strcmp(path, "/restore") == 0) {
        standin->era++;
    }
    if (id == NULL) {
        reply(request, "{}");
        return;
    }
    g_string_append_printf(standin->runs, "%s\n", id);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Attempt-Id", id);
    evhttp_add_header(headers, "Server-Seal", "s-1");
    answer(request, path);
}

static void
listen_on(struct evhttp *http, const char *port,
          void (*handle)(struct evhttp_request *, void *), Standin *standin)
{
    evhttp_set_max_body_size(http, MAX_REQUEST_BYTES);
    evhttp_set_allowed_methods(http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT |
                                         EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(http, handle, standin);
    if (evhttp_bind_socket(http, HOST, (uint16_t)atoi(port)) != 0) {
        fprintf(stderr, "platform_standin: port %s is in use\n", port);
        exit(2);
    }
}

int
main(int argc, char **argv)
{
    if (argc != 3) {
        fprintf(stderr, "Usage: platform_standin STORE-PORT SERVER-PORT\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    Standin standin = {
        .base = event_base_new(), .runs = g_string_new(NULL), .era = 1};
    standin.server_entry = g_strdup_printf(
        "{\"service\":\"orders\",\"address\":\"" HOST ":%s\",\"zone\":\"z0\","
        "\"slots\":64,\"state\":\"ready\",\"seq\":1,\"born\":1}",
        argv[2]);
    listen_on(evhttp_new(standin.base), argv[1], on_store, &standin);
    listen_on(evhttp_new(standin.base), argv[2], on_server, &standin);
    return event_base_dispatch(standin.base) == 0 ? 0 : 1;
}
