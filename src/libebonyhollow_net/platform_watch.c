/* Watches of the platform client: list, then long polls. */
#include <assert.h>
#include <stdlib.h>

#include "platform_internal.h"

/* A poll without an answer for so long after its own time-out has lost its
 * connection. */
#define POLL_GRACE_US 2000000
#define BACKOFF_FIRST_US 100000
#define BACKOFF_MAX_US 2000000

typedef struct {
    EbPlatformClient *client;
    char *kind;
    struct evhttp_connection *evcon;
    struct event *timer; /* next try */
    bool listed;         /* `revision` is valid */
    uint64_t revision;
    uint32_t failures; /* one after another */
} Watch;

static void poll_kind(Watch *watch);

void
EbPlatformWatch_Free(void *data)
{
    Watch *watch = data;
    if (watch->evcon != NULL) {
        evhttp_connection_free(watch->evcon);
    }
    event_free(watch->timer);
    g_free(watch->kind);
    g_free(watch);
}

static void
schedule(Watch *watch, int64_t delay_us)
{
    struct timeval delay = EbPlatform_Time(delay_us);
    event_add(watch->timer, &delay);
}

/* Tries again after a delay with full jitter, since many daemons lose the
 * platform at once. */
static void
retry_later(Watch *watch)
{
    uint32_t doublings = MIN(watch->failures, 10);
    int64_t limit_us =
        MIN((int64_t)BACKOFF_FIRST_US << doublings, BACKOFF_MAX_US);
    watch->failures++;
    schedule(watch,
             1000 + (int64_t)EbRandom_Below(watch->client->options.random,
                                            (uint64_t)limit_us));
}

static void
take_list(Watch *watch, json_t *body)
{
    EbPlatformClient *client = watch->client;
    json_t *items = json_object_get(body, "items");
    watch->revision =
        (uint64_t)json_integer_value(json_object_get(body, "revision"));
    watch->listed = true;
    if (client->options.listed != NULL && json_is_array(items)) {
        client->options.listed(client->options.context, watch->kind, items);
    }
}

static void
take_events(Watch *watch, json_t *body)
{
    EbPlatformClient *client = watch->client;
    json_t *events = json_object_get(body, "events");
    watch->revision =
        (uint64_t)json_integer_value(json_object_get(body, "revision"));
    if (client->options.changed != NULL && json_array_size(events) > 0) {
        client->options.changed(client->options.context, watch->kind, events);
    }
}

static void
take_answer(Watch *watch, int status, json_t *body)
{
    EbPlatformClient *client = watch->client;
    const char *operation = watch->listed ? "watch" : "list";
    bool valid =
        status == 200 && json_is_integer(json_object_get(body, "revision"));
    if (valid) {
        EbPlatform_Count(client, operation, "ok", NULL);
        watch->failures = 0;
        if (watch->listed) {
            take_events(watch, body);
        }
        else {
            take_list(watch, body);
        }
        schedule(watch, 0);
    }
    else if (status == 410 && watch->listed) {
        EbPlatform_Count(client, operation, "gap", NULL);
        EB_EMIT(client->options.events, EB_EVENT_WATCH_GAP,
                EB_STRING_FIELD("kind", watch->kind));
        watch->listed = false;
        schedule(watch, 0);
    }
    else {
        /* The rate limit's 429 says that the platform is up. */
        EbPlatform_Count(client, operation, "unavailable",
                         status == 429 ? NULL : "watch failed");
        retry_later(watch);
    }
}

static void
on_poll_done(struct evhttp_request *request, void *arg)
{
    Watch *watch = arg;
    int status = request ? evhttp_request_get_response_code(request) : 0;
    json_t *body = status != 0 ? EbPlatform_Body(request) : NULL;
    take_answer(watch, status, body);
    json_decref(body);
}

static void
poll_kind(Watch *watch)
{
    EbPlatformClient *client = watch->client;
    int64_t poll_us = client->options.watch_timeout_us;
    if (watch->evcon == NULL) {
        watch->evcon = EbPlatform_Connect(client, poll_us + POLL_GRACE_US);
    }
    char *kind = evhttp_encode_uri(watch->kind);
    char *path = watch->listed
                     ? g_strdup_printf("/v1/watch/%s?since=%" G_GUINT64_FORMAT
                                       "&timeout_ms=%" G_GINT64_FORMAT,
                                       kind, watch->revision, poll_us / 1000)
                     : g_strdup_printf("/v1/objects/%s", kind);
    free(kind);
    struct evhttp_request *request =
        EbPlatform_Request(client, on_poll_done, watch);
    if (evhttp_make_request(watch->evcon, request, EVHTTP_REQ_GET, path) !=
        0) {
        take_answer(watch, 0, NULL);
    }
    g_free(path);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    poll_kind(arg);
}

void
EbPlatformClient_Watch(EbPlatformClient *client, const char *kind)
{
    if (g_hash_table_contains(client->watches, kind)) {
        return;
    }
    Watch *watch = g_new0(Watch, 1);
    watch->client = client;
    watch->kind = g_strdup(kind);
    watch->timer = evtimer_new(client->options.base, on_timer, watch);
    g_hash_table_insert(client->watches, watch->kind, watch);
    schedule(watch, 0);
}

void
EbPlatformClient_Unwatch(EbPlatformClient *client, const char *kind)
{
    g_hash_table_remove(client->watches, kind);
}
