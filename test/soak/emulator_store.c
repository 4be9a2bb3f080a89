/* The emulated store of the platform. */
#include <stdio.h>
#include <string.h>

#include <event2/keyvalq_struct.h>

#include "emulator.h"

/* Until what a restored store lacks is written again. */
#define REWRITE_US 400000
/* How long the writes of the store are kept to be undone. */
#define WRITE_AGE_MAX_US 10000000

/* A write to the store. */
typedef struct {
    char *key;
    json_t *before; /* the object before it, or NULL */
    uint64_t revision_before;
    int64_t at_us;
} Write;

typedef struct {
    struct evhttp_request *request;
    struct event *timer;
    Soak *soak;
    char *kind;
    uint64_t since;
} Watch;

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
    Emulator_AddHeader(request, "Store-Era", text);
}

static void
finish_watch(Watch *watch, json_t *events)
{
    g_ptr_array_remove_fast(watch->soak->watches, watch);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(watch->request), NULL, NULL);
    add_era(watch->soak, watch->request);
    Emulator_ReplyJson(watch->request, 200,
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

static void
on_watch_closed(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Watch *watch = context;
    Emulator_FreeOrphan(watch->request);
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

static bool
is_unchanged(const Soak *soak, const char *key, const json_t *spec,
             bool deleted)
{
    const json_t *object = g_hash_table_lookup(soak->objects, key);
    return object != NULL &&
           json_is_true(json_object_get(object, "deleted")) == deleted &&
           json_equal(json_object_get(object, "spec"), spec);
}

void
Store_Put(Soak *soak, const char *kind, const char *name, json_t *spec,
          bool deleted)
{
    char *key = object_key(kind, name);
    bool unchanged = is_unchanged(soak, key, spec, deleted);
    g_free(key);
    if (unchanged) {
        json_decref(spec);
        return;
    }
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
    json_t *body = Emulator_ReadBody(request);
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
        Store_Put(soak, kind, name, json_incref(json_object_get(body, "spec")),
                  false);
        current = g_hash_table_lookup(soak->objects, key);
    }
    add_era(soak, request);
    Emulator_ReplyJson(request, conflict ? 409 : 200, json_incref(current));
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
        Emulator_ReplyJson(request, 200,
                           json_pack("{s:o, s:b, s:I}", "items",
                                     list_kind(soak, kind, 0), "has_more", 0,
                                     "current_rev",
                                     (json_int_t)soak->revision));
    }
    evhttp_clear_headers(&query);
    g_strfreev(parts);
}

/* Returns a route whose stages form a chain that is listed backwards. */
static json_t *
make_chain_route(void)
{
    json_t *stages = json_array();
    for (int i = 0; i < SOAK_CHAIN_STAGES; i++) {
        json_t *after = json_array();
        if (i + 1 < SOAK_CHAIN_STAGES) {
            json_array_append_new(after, json_integer(i + 1));
        }
        json_array_append_new(stages,
                              json_pack("{s:s, s:o, s:i}", "service", "encode",
                                        "after", after, "byte_count", 1000));
    }
    return json_pack("{s:s, s:s, s:s, s:s, s:i, s:i, s:s, s:i, s:b, s:o}",
                     "name", "chain", "host", "h", "path_prefix", "/chain/",
                     "route_kind", "streaming", "timeout_ms", 3000, "goal_ms",
                     900, "service", "model", "max_attempts", 3, "resumable",
                     1, "stages", stages);
}

/* Puts an entry at a random place of a list, which it takes over. */
static void
insert_anywhere(json_t *list, json_t *entry, EbRandom *random)
{
    json_array_insert_new(
        list, EbRandom_Below(random, json_array_size(list) + 1), entry);
}

/* Adds routes of unusual form and, in some versions, entries that nobody uses:
 * tenants whose names sort before others or are words of the product, and
 * parts that can't be used. None of them may affect a request. */
static void
extend_config(json_t *config, uint64_t version)
{
    static const char open_route[] =
        "{\"name\":\"open\",\"host\":\"h\",\"path_prefix\":\"/open/\","
        "\"route_kind\":\"idempotent\",\"timeout_ms\":3000,\"goal_ms\":300,"
        "\"service\":\"orders\",\"max_attempts\":3,\"anonymous\":true}";
    static const struct {
        const char *list;
        const char *entry;
    } extras[] = {
        {"tenants", "{\"name\":\"anonymous\",\"api_keys\":[\"k-1\"]}"},
        {"tenants", "{\"name\":\"7-inch\",\"api_keys\":[\"k-2\"]}"},
        {"tenants", "{\"name\":\"c-1\",\"api_keys\":[\"k-3\"]}"},
        {"tenants", "{\"api_keys\":[\"k-4\"]}"},
        {"services", "{\"name\":\"orders\"}"},
        {"services", "{\"name\":\"Empty\"}"},
        {"routes", "{\"name\":\"no-service\",\"host\":\"h\","
                   "\"path_prefix\":\"/read/none/\",\"route_kind\":"
                   "\"idempotent\",\"timeout_ms\":3000,"
                   "\"service\":\"none\"}"},
        {"routes", "{\"name\":\"cycle\",\"host\":\"h\","
                   "\"path_prefix\":\"/cycle/\",\"route_kind\":"
                   "\"idempotent\",\"timeout_ms\":3000,"
                   "\"service\":\"orders\",\"stages\":"
                   "[{\"service\":\"encode\",\"after\":[0]}]}"},
    };
    EbRandom random;
    EbRandom_Init(&random, version);
    json_t *routes = json_object_get(config, "routes");
    insert_anywhere(routes, json_loads(open_route, 0, NULL), &random);
    insert_anywhere(routes, make_chain_route(), &random);
    for (size_t i = 0; i < G_N_ELEMENTS(extras); i++) {
        if (EbRandom_Below(&random, 2) == 0) {
            insert_anywhere(json_object_get(config, extras[i].list),
                            json_loads(extras[i].entry, 0, NULL), &random);
        }
    }
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
    json_t *config = json_pack("{s:I, s:o, s:o, s:[{s:s, s:[s]}]}", "version",
                               (json_int_t)soak->config_version, "routes",
                               json_loads(routes, 0, NULL), "services",
                               json_loads(services, 0, NULL), "tenants",
                               "name", SOAK_TENANT, "api_keys", SOAK_KEY);
    if (soak->extended) {
        extend_config(config, soak->config_version);
    }
    Store_Put(soak, "config", "main", config, false);
}

void
Emulator_PutConfig(Soak *soak)
{
    soak->config_version += 1 + EbRandom_Below(&soak->random, 3);
    write_config(soak);
}

/* Writes again what a restored store may lack. */
static void
on_rewrite(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Soak *soak = context;
    write_config(soak);
    Servers_Register(soak);
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
    GPtrArray *watches = soak->watches;
    soak->watches = g_ptr_array_new();
    for (guint i = 0; i < watches->len; i++) {
        finish_watch(g_ptr_array_index(watches, i), json_array());
    }
    g_ptr_array_unref(watches);
    soak->store_disturbed_us = Soak_Now() + REWRITE_US;
    struct timeval delay = {0, REWRITE_US};
    event_add(soak->rewrite_timer, &delay);
}

void
Store_Start(Soak *soak)
{
    soak->era = 1;
    g_queue_init(&soak->writes);
    soak->rewrite_timer = evtimer_new(soak->base, on_rewrite, soak);
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
}

void
Store_Stop(Soak *soak)
{
    evhttp_free(soak->store);
    event_free(soak->rewrite_timer);
    g_queue_clear_full(&soak->writes, free_write);
    g_ptr_array_unref(soak->watches);
    g_hash_table_destroy(soak->objects);
}
