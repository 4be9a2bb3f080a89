/* Watches of the platform client: a listing, then long polls. */
#include <assert.h>

#include "clock.h"
#include "platform_internal.h"

/* Largest latency that is allowed for in addition to the grace time. */
#define LATENCY_MAX_US 2000000
/* When one watch is interrupted, the kinds of the other watches whose polls
 * have been pending for at least this long are listed again. */
#define RELIST_MIN_POLL_US 200000
#define BACKOFF_FIRST_US 100000
#define BACKOFF_MAX_US 800000
/* While one watch tries to reach the platform again, the others wait for it,
 * at most this long. */
#define HELD_RETRY_US 4000000
/* Time-out of the first poll that continues from a known revision. */
#define FIRST_POLL_US 20000
/* A listing is expected to return at once; otherwise it is retried on another
 * connection. */
#define LIST_TIMEOUT_US 1000000

typedef struct {
    EbPlatformClient *client;
    char *kind;
    struct evhttp_connection *evcon;
    struct event *timer; /* next request */
    bool listed;         /* the listing is complete, `revision` is valid */
    bool polling;
    bool held;       /* waits for the retry of another watch */
    bool confirming; /* the next poll is the first one from a known revision */
    int64_t poll_started_us;
    int64_t wait_us; /* time-out of the poll; 0 for a listing */
    EbStorePosition position;
    uint32_t consecutive_failures;
    json_t *items; /* of an incomplete listing */
    char *after;   /* last name of an incomplete listing */
    /* Interval between listings without a watch; 0: watch the kind. */
    int64_t relist_interval_us;
} Watch;

static void send_request(Watch *watch);

void
EbPlatformWatch_Free(void *data)
{
    Watch *watch = data;
    if (watch->evcon != NULL) {
        evhttp_connection_free(watch->evcon);
    }
    event_free(watch->timer);
    json_decref(watch->items);
    g_free(watch->after);
    g_free(watch->kind);
    g_free(watch);
}

static void
schedule(Watch *watch, int64_t delay_us)
{
    struct timeval delay = EbClock_Timeval(delay_us);
    event_add(watch->timer, &delay);
}

/* Retries after a delay with full jitter, because many daemons lose the
 * platform at the same time. Only one watch retries soon. */
static void
retry_later(Watch *watch)
{
    EbPlatformClient *client = watch->client;
    if (client->retrying != NULL && client->retrying != watch) {
        watch->consecutive_failures++;
        watch->held = true;
        schedule(watch, HELD_RETRY_US);
        return;
    }
    client->retrying = watch;
    uint32_t doublings = MIN(watch->consecutive_failures, 10);
    int64_t limit_us =
        MIN((int64_t)BACKOFF_FIRST_US << doublings, BACKOFF_MAX_US);
    watch->consecutive_failures++;
    schedule(watch, 1000 + (int64_t)EbRandom_Below(client->options.random,
                                                   (uint64_t)limit_us));
}

/* Removes a watch from those that wait for a retry. Returns NULL when none
 * does. */
static Watch *
take_held(const EbPlatformClient *client)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, client->watches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Watch *watch = value;
        if (watch->held) {
            watch->held = false;
            return watch;
        }
    }
    return NULL;
}

/* The platform answered: the watches that waited for that retry now. */
static void
release_held(const Watch *watch)
{
    EbPlatformClient *client = watch->client;
    if (client->retrying == watch) {
        client->retrying = NULL;
    }
    Watch *other;
    while ((other = take_held(client)) != NULL) {
        schedule(other, 0);
    }
}

/* Lets a watch that waits retry in place of one that is stopped. */
static void
hand_over_retry(EbPlatformClient *client)
{
    client->retrying = NULL;
    Watch *other = take_held(client);
    if (other != NULL) {
        retry_later(other);
    }
}

static void
reset_listing(Watch *watch)
{
    json_decref(watch->items);
    watch->items = NULL;
    g_free(watch->after);
    watch->after = NULL;
}

/* Handles one page of a listing. The revision of the first page is kept, so
 * that changes made during the listing are reported again as events. */
static bool
handle_list_page(Watch *watch, json_t *body)
{
    EbPlatformClient *client = watch->client;
    bool more = false;
    json_t *page = client->options.protocol->read_list(body, &more);
    if (page == NULL) {
        return false;
    }
    json_t *items = json_object_get(page, "items");
    if (watch->items == NULL) {
        watch->items = json_array();
        watch->position = (EbStorePosition){
            client->era,
            (uint64_t)json_integer_value(json_object_get(page, "revision"))};
    }
    json_array_extend(watch->items, items);
    size_t count = json_array_size(items);
    if (more && count > 0) {
        g_free(watch->after);
        watch->after = g_strdup(json_string_value(
            json_object_get(json_array_get(items, count - 1), "name")));
    }
    else {
        watch->listed = true;
        if (client->options.listed != NULL) {
            client->options.listed(client->options.context, watch->kind,
                                   &watch->position, watch->items);
        }
        reset_listing(watch);
    }
    json_decref(page);
    return true;
}

static bool
handle_changes(Watch *watch, json_t *body, bool *found_changes)
{
    EbPlatformClient *client = watch->client;
    json_t *changes = client->options.protocol->read_changes(body);
    if (changes == NULL) {
        return false;
    }
    json_t *events = json_object_get(changes, "events");
    uint64_t base_revision = watch->position.revision;
    watch->position.revision =
        (uint64_t)json_integer_value(json_object_get(changes, "revision"));
    watch->confirming = false;
    *found_changes = json_array_size(events) > 0;
    if (client->options.changed != NULL) {
        client->options.changed(client->options.context, watch->kind,
                                base_revision, &watch->position, events);
    }
    json_decref(changes);
    return true;
}

/* Drops what a watch knows and lists its kind again. Its request, if one is
 * pending, is cancelled. */
static void
restart(Watch *watch)
{
    if (watch->polling) {
        evhttp_connection_free(watch->evcon);
        watch->evcon = NULL;
        watch->polling = false;
    }
    watch->listed = false;
    watch->confirming = false;
    reset_listing(watch);
    schedule(watch, 0);
}

void
EbPlatformWatch_RestartAll(EbPlatformClient *client)
{
    GHashTableIter iter;
    gpointer value;
    client->retrying = NULL;
    g_hash_table_iter_init(&iter, client->watches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Watch *watch = value;
        watch->held = false;
        restart(watch);
    }
}

/* Lists the kinds of all other watches again whose polls have been pending for
 * at least RELIST_MIN_POLL_US. What interrupted one watch, a restart of the
 * store or a loss of its history, may have kept events from the others too. */
static void
relist_others(const Watch *watch)
{
    int64_t now_us = EbClock_Monotonic();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, watch->client->watches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Watch *other = value;
        if (other != watch && other->polling &&
            now_us - other->poll_started_us >= RELIST_MIN_POLL_US) {
            restart(other);
        }
    }
}

/* Schedules the next request after a valid response: the next page, the next
 * listing or a poll. */
static void
schedule_next(Watch *watch, bool found_changes)
{
    if (watch->listed && watch->relist_interval_us > 0) {
        watch->listed = false;
        schedule(watch, watch->relist_interval_us);
        return;
    }
    schedule(watch, found_changes ? watch->client->options.batch_delay_us : 0);
}

static void
handle_response(Watch *watch, int status, json_t *body)
{
    EbPlatformClient *client = watch->client;
    const char *operation = watch->listed ? "watch" : "list";
    bool found_changes = false;
    bool valid = status == 200 &&
                 (watch->listed ? handle_changes(watch, body, &found_changes)
                                : handle_list_page(watch, body));
    if (valid) {
        EbPlatformClient_RecordCall(client, operation, "ok", NULL);
        watch->consecutive_failures = 0;
        release_held(watch);
        schedule_next(watch, found_changes);
    }
    else if (status == 410 && watch->listed) {
        EbPlatformClient_RecordCall(client, operation, "gap", NULL);
        EB_EMIT(client->options.events, EB_EVENT_WATCH_GAP,
                EB_STRING_FIELD("kind", watch->kind));
        watch->listed = false;
        reset_listing(watch);
        schedule(watch, 0);
        relist_others(watch);
    }
    else {
        if (client->options.failed != NULL) {
            client->options.failed(client->options.context, watch->kind);
        }
        /* Status 429 comes from the rate limit, so the platform is up. */
        EbPlatformClient_RecordCall(client, operation, "unavailable",
                                    status == 429 ? NULL : "watch failed");
        if (status == 0 && watch->listed) {
            EB_EMIT(client->options.events, EB_EVENT_WATCH_BROKEN,
                    EB_STRING_FIELD("kind", watch->kind),
                    EB_INTEGER_FIELD("revision", watch->position.revision),
                    EB_INTEGER_FIELD("waited_us", EbClock_Monotonic() -
                                                      watch->poll_started_us));
            /* Events may have been lost with the connection. */
            watch->listed = false;
            reset_listing(watch);
            relist_others(watch);
        }
        retry_later(watch);
    }
}

/* A response before the poll's time-out carries changes and tells nothing
 * about the latency. */
static void
observe_latency(const Watch *watch)
{
    int64_t latency_us =
        EbClock_Monotonic() - watch->poll_started_us - watch->wait_us;
    if (latency_us >= 0) {
        watch->client->watch_latency_us = MIN(latency_us, LATENCY_MAX_US);
    }
}

static void
on_request_done(struct evhttp_request *request, void *arg)
{
    Watch *watch = arg;
    int status = EbPlatformClient_ReadStatus(request, &watch->evcon);
    watch->polling = false;
    if (status != 0) {
        observe_latency(watch);
    }
    EbPlatformClient_SetKeepAlive(watch->evcon);
    if (status != 0 && !EbPlatformClient_CheckEra(watch->client, request)) {
        status = 0;
    }
    bool begun = watch->listed || watch->items != NULL;
    if (begun && watch->position.era != watch->client->era) {
        restart(watch);
        return;
    }
    json_t *body = status != 0 ? EbPlatformClient_ParseBody(request) : NULL;
    handle_response(watch, status, body);
    json_decref(body);
}

static void
send_request(Watch *watch)
{
    EbPlatformClient *client = watch->client;
    int64_t poll_us =
        watch->confirming ? FIRST_POLL_US : client->options.watch_timeout_us;
    int64_t overdue_us =
        poll_us + client->options.watch_grace_us + client->watch_latency_us;
    struct timeval timeout =
        EbClock_Timeval(watch->listed ? overdue_us : LIST_TIMEOUT_US);
    if (watch->evcon == NULL) {
        watch->evcon =
            EbPlatformClient_OpenConnection(client, LIST_TIMEOUT_US);
    }
    evhttp_connection_set_timeout_tv(watch->evcon, &timeout);
    const EbStoreProtocol *protocol = client->options.protocol;
    char *path = watch->listed
                     ? protocol->watch_path(watch->kind,
                                            watch->position.revision, poll_us)
                     : protocol->list_path(watch->kind, watch->after,
                                           watch->relist_interval_us > 0);
    struct evhttp_request *request =
        EbPlatformClient_NewRequest(client, on_request_done, watch);
    watch->polling = true;
    watch->wait_us = watch->listed ? poll_us : 0;
    watch->poll_started_us = EbClock_Monotonic();
    if (evhttp_make_request(watch->evcon, request, EVHTTP_REQ_GET, path) !=
        0) {
        watch->polling = false;
        handle_response(watch, 0, NULL);
    }
    g_free(path);
}

static void
on_timer(evutil_socket_t fd, short what, void *arg)
{
    Watch *watch = arg;
    (void)fd;
    (void)what;
    watch->held = false;
    send_request(watch);
}

/* Adds a watch that starts with a listing. Returns NULL when the kind has one.
 */
static Watch *
add_watch(EbPlatformClient *client, const char *kind)
{
    if (g_hash_table_contains(client->watches, kind)) {
        return NULL;
    }
    Watch *watch = g_new0(Watch, 1);
    watch->client = client;
    watch->kind = g_strdup(kind);
    watch->timer = evtimer_new(client->options.base, on_timer, watch);
    g_hash_table_insert(client->watches, watch->kind, watch);
    schedule(watch, 0);
    return watch;
}

void
EbPlatformClient_Watch(EbPlatformClient *client, const char *kind)
{
    add_watch(client, kind);
}

void
EbPlatformClient_WatchFrom(EbPlatformClient *client, const char *kind,
                           const EbStorePosition *position)
{
    Watch *watch = add_watch(client, kind);
    if (watch != NULL) {
        watch->listed = true;
        watch->confirming = true;
        watch->position = *position;
    }
}

void
EbPlatformClient_ListPeriodically(EbPlatformClient *client, const char *kind,
                                  int64_t interval_us)
{
    Watch *watch = add_watch(client, kind);
    if (watch != NULL) {
        watch->relist_interval_us = interval_us;
    }
}

void
EbPlatformClient_Unwatch(EbPlatformClient *client, const char *kind)
{
    const Watch *watch = g_hash_table_lookup(client->watches, kind);
    if (watch != NULL && client->retrying == watch) {
        hand_over_retry(client);
    }
    g_hash_table_remove(client->watches, kind);
}
