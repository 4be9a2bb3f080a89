/* The platform's object API, kept in memory. The protocol is described in
 * docs/protocols.md. */
#include <stdlib.h>
#include <string.h>

#include <event2/keyvalq_struct.h>

#include "standin.h"

#define PREFIX_OBJECTS "/v1/objects/"
#define PREFIX_WATCH "/v1/watch/"
#define MAX_CHANGES 4096 /* changes kept for watches */
#define WATCH_INTERVAL_US 20000

typedef struct {
    uint64_t version;
    json_t *value;
    json_t *previous; /* for stale reads */
    uint64_t previous_version;
} Object;

typedef struct {
    uint64_t revision;
    char *kind;
    char *name;
    uint64_t version;
    bool deleted;
} Change;

typedef struct {
    Platform *platform;
    struct evhttp_request *request;
    char *kind;
    uint64_t since;
    int64_t until_us;
} Watch;

struct Platform {
    Standin *standin;
    struct evhttp *http;
    GHashTable *objects; /* "kind/name" to Object */
    GQueue changes;      /* of Change, oldest first */
    GQueue watches;      /* of Watch */
    uint64_t revision;
    Fault fault;
    struct event *watch_timer;
    uint64_t calls[5]; /* by CALL_GET to CALL_WATCH */
};

enum { CALL_GET, CALL_PUT, CALL_DELETE, CALL_LIST, CALL_WATCH };

static void
free_object(gpointer pointer)
{
    Object *object = pointer;
    json_decref(object->value);
    json_decref(object->previous);
    g_free(object);
}

static void
free_change(Change *change)
{
    g_free(change->kind);
    g_free(change->name);
    g_free(change);
}

static void
record_change(Platform *platform, const char *path, uint64_t version,
              bool deleted)
{
    const char *slash = strchr(path, '/');
    Change *change = g_new0(Change, 1);
    change->revision = ++platform->revision;
    change->kind = g_strndup(path, (gsize)(slash - path));
    change->name = g_strdup(slash + 1);
    change->version = version;
    change->deleted = deleted;
    g_queue_push_tail(&platform->changes, change);
    if (platform->changes.length > MAX_CHANGES) {
        free_change(g_queue_pop_head(&platform->changes));
    }
}

static void
put_object(Platform *platform, const char *path, json_t *value)
{
    Object *object = g_hash_table_lookup(platform->objects, path);
    if (object == NULL) {
        object = g_new0(Object, 1);
        g_hash_table_insert(platform->objects, g_strdup(path), object);
    }
    json_decref(object->previous);
    object->previous = object->value;
    object->previous_version = object->version;
    object->value = json_incref(value);
    object->version++;
    record_change(platform, path, object->version, false);
}

void
Platform_ListInstance(Platform *platform, const char *name, json_t *value)
{
    char *path = g_strdup_printf("instances/%s", name);
    put_object(platform, path, value);
    g_free(path);
}

static void
reply_version(struct evhttp_request *request, int status, uint64_t version)
{
    Reply_Json(request, status,
               json_pack("{s:I}", "version", (json_int_t)version));
}

static void
get_object(Platform *platform, struct evhttp_request *request,
           const char *path, bool stale)
{
    platform->calls[CALL_GET]++;
    const Object *object = g_hash_table_lookup(platform->objects, path);
    json_t *value = object != NULL ? object->value : NULL;
    uint64_t version = object != NULL ? object->version : 0;
    if (stale && object != NULL) {
        value = object->previous;
        version = object->previous_version;
    }
    if (value == NULL) {
        reply_version(request, HTTP_NOTFOUND, 0);
        return;
    }
    Reply_Json(request, HTTP_OK,
               json_pack("{s:I, s:O}", "version", (json_int_t)version, "value",
                         value));
}

static void
list_objects(Platform *platform, struct evhttp_request *request,
             const char *kind)
{
    platform->calls[CALL_LIST]++;
    json_t *items = json_array();
    size_t kind_bytes = strlen(kind);
    GHashTableIter iterator;
    gpointer path, pointer;
    g_hash_table_iter_init(&iterator, platform->objects);
    while (g_hash_table_iter_next(&iterator, &path, &pointer)) {
        const Object *object = pointer;
        const char *text = path;
        if (strncmp(text, kind, kind_bytes) == 0 && text[kind_bytes] == '/') {
            json_array_append_new(items,
                                  json_pack("{s:s, s:I, s:O}", "name",
                                            text + kind_bytes + 1, "version",
                                            (json_int_t)object->version,
                                            "value", object->value));
        }
    }
    Reply_Json(request, HTTP_OK,
               json_pack("{s:I, s:o}", "revision",
                         (json_int_t)platform->revision, "items", items));
}

static void
close_without_answer(struct evhttp_request *request)
{
    evhttp_connection_free(evhttp_request_get_connection(request));
}

static void
write_object(Platform *platform, struct evhttp_request *request,
             const char *path, uint64_t version, bool lose_answer)
{
    bool is_delete = evhttp_request_get_command(request) == EVHTTP_REQ_DELETE;
    platform->calls[is_delete ? CALL_DELETE : CALL_PUT]++;
    const Object *object = g_hash_table_lookup(platform->objects, path);
    uint64_t current = object != NULL ? object->version : 0;
    if (current != version) {
        reply_version(request, 409, current);
        return;
    }
    if (is_delete) {
        g_hash_table_remove(platform->objects, path);
        record_change(platform, path, current, true);
    }
    else {
        json_t *value = Reply_ReadBody(request);
        if (value == NULL) {
            Reply_Json(request, HTTP_BADREQUEST, json_object());
            return;
        }
        put_object(platform, path, value);
        json_decref(value);
        current++;
    }
    if (lose_answer) {
        close_without_answer(request);
        return;
    }
    reply_version(request, HTTP_OK, current);
}

static uint64_t
read_number(const struct evkeyvalq *query, const char *name)
{
    const char *text = Reply_Query(query, name);
    return text != NULL ? strtoull(text, NULL, 10) : 0;
}

static void
handle_objects(Platform *platform, struct evhttp_request *request,
               const char *path, const struct evkeyvalq *query,
               FaultKind fault)
{
    const char *name = strchr(path, '/');
    enum evhttp_cmd_type command = evhttp_request_get_command(request);
    if (name == NULL) {
        list_objects(platform, request, path);
    }
    else if (command == EVHTTP_REQ_GET) {
        get_object(platform, request, path, fault == FAULT_STALE);
    }
    else {
        write_object(platform, request, path, read_number(query, "version"),
                     fault == FAULT_LOSE_ANSWER);
    }
}

/* Answers a watch that has events, whose time is over, or that missed changes.
 * Returns whether it was answered. */
static bool
answer_if_due(Watch *watch)
{
    Platform *platform = watch->platform;
    const Change *oldest = g_queue_peek_head(&platform->changes);
    int64_t amount;
    bool gap = oldest != NULL && watch->since + 1 < oldest->revision;
    if (gap || (platform->fault.kind == FAULT_GAP &&
                Fault_Next(&platform->fault, &amount) == FAULT_GAP)) {
        Reply_Json(watch->request, 410, json_object());
        return true;
    }
    json_t *events = json_array();
    for (GList *item = platform->changes.head; item; item = item->next) {
        const Change *change = item->data;
        if (change->revision > watch->since &&
            strcmp(change->kind, watch->kind) == 0) {
            json_array_append_new(
                events, json_pack("{s:s, s:I, s:b}", "name", change->name,
                                  "version", (json_int_t)change->version,
                                  "deleted", change->deleted));
        }
    }
    if (json_array_size(events) == 0 &&
        EbClock_Monotonic() < watch->until_us) {
        json_decref(events);
        return false;
    }
    Reply_Json(watch->request, HTTP_OK,
               json_pack("{s:I, s:o}", "revision",
                         (json_int_t)platform->revision, "events", events));
    return true;
}

static void
free_watch(Watch *watch)
{
    g_queue_remove(&watch->platform->watches, watch);
    g_free(watch->kind);
    g_free(watch);
}

static void
watch_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    free_watch(context);
}

static void
check_watch(Watch *watch)
{
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(watch->request), NULL, NULL);
    if (answer_if_due(watch)) {
        free_watch(watch);
        return;
    }
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(watch->request), watch_closed, watch);
}

static void
handle_watch(Platform *platform, struct evhttp_request *request,
             const char *kind, const struct evkeyvalq *query)
{
    platform->calls[CALL_WATCH]++;
    Watch *watch = g_new0(Watch, 1);
    watch->platform = platform;
    watch->request = request;
    watch->kind = g_strdup(kind);
    watch->since = read_number(query, "since");
    watch->until_us =
        EbClock_Monotonic() + (int64_t)read_number(query, "timeout_ms") * 1000;
    g_queue_push_tail(&platform->watches, watch);
    check_watch(watch);
}

static void
check_watches(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Platform *platform = context;
    GList *item = platform->watches.head;
    while (item != NULL) {
        GList *next = item->next;
        check_watch(item->data);
        item = next;
    }
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    Platform *platform = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    const char *query_text = evhttp_uri_get_query(uri);
    struct evkeyvalq query;
    evhttp_parse_query_str(query_text != NULL ? query_text : "", &query);
    int64_t amount = 0;
    FaultKind fault = platform->fault.kind == FAULT_GAP
                          ? FAULT_NONE
                          : Fault_Next(&platform->fault, &amount);
    if (fault == FAULT_DOWN) {
        Reply_Json(request, HTTP_SERVUNAVAIL, json_object());
    }
    else if (fault == FAULT_SILENT) {
        /* Not answered; the caller closes the connection after its time-out.
         */
    }
    else if (strncmp(path, PREFIX_OBJECTS, strlen(PREFIX_OBJECTS)) == 0) {
        handle_objects(platform, request, path + strlen(PREFIX_OBJECTS),
                       &query, fault);
    }
    else if (strncmp(path, PREFIX_WATCH, strlen(PREFIX_WATCH)) == 0) {
        handle_watch(platform, request, path + strlen(PREFIX_WATCH), &query);
    }
    else {
        Reply_Json(request, HTTP_NOTFOUND, json_object());
    }
    evhttp_clear_headers(&query);
}

Platform *
Platform_New(Standin *standin, const char *host, uint16_t port)
{
    Platform *platform = g_new0(Platform, 1);
    platform->standin = standin;
    platform->objects =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_object);
    g_queue_init(&platform->changes);
    g_queue_init(&platform->watches);
    platform->http = evhttp_new(standin->base);
    evhttp_set_allowed_methods(
        platform->http, EVHTTP_REQ_GET | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(platform->http, handle_request, platform);
    Standin_Listen(platform->http, host, port);
    platform->watch_timer =
        event_new(standin->base, -1, EV_PERSIST, check_watches, platform);
    event_add(platform->watch_timer,
              &(struct timeval){.tv_usec = WATCH_INTERVAL_US});
    return platform;
}

void
Platform_SetFault(Platform *platform, Fault fault)
{
    platform->fault = fault;
}

json_t *
Platform_Describe(const Platform *platform)
{
    return json_pack("{s:i, s:I, s:I, s:I, s:I, s:I, s:i}", "objects",
                     (int)g_hash_table_size(platform->objects), "get",
                     (json_int_t)platform->calls[CALL_GET], "put",
                     (json_int_t)platform->calls[CALL_PUT], "delete",
                     (json_int_t)platform->calls[CALL_DELETE], "list",
                     (json_int_t)platform->calls[CALL_LIST], "watch",
                     (json_int_t)platform->calls[CALL_WATCH],
                     "waiting_watches", (int)platform->watches.length);
}

void
Platform_Free(Platform *platform)
{
    event_free(platform->watch_timer);
    while (platform->watches.length > 0) {
        Watch *watch = g_queue_peek_head(&platform->watches);
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(watch->request), NULL, NULL);
        free_watch(watch);
    }
    evhttp_free(platform->http);
    Change *change;
    while ((change = g_queue_pop_head(&platform->changes)) != NULL) {
        free_change(change);
    }
    g_hash_table_destroy(platform->objects);
    g_free(platform);
}
