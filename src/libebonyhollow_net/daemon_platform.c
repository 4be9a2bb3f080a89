/* Instances and quarantine entries in the platform's store. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "daemon_internal.h"

/* Interval of the checks whether this daemon is to watch the objects. */
#define WATCH_CHECK_INTERVAL_US 1000000
/* Interval of the listings by a daemon that does not watch them. */
#define POLL_INTERVAL_US 60000000
#define ENTRY_NAME_BYTES 17 /* 16 hex digits and the terminator */
/* Minimum time between two listings of a kind: an eighth of the 2 s in which
 * the daemons must learn of a leaving server. */
#define MIN_LISTING_INTERVAL_US 250000
/* The clocks of instances differ, so an expired entry is kept for this time
 * before any daemon deletes it. */
#define EXPIRED_RETENTION_US 60000000
/* Pause before a write of a quarantine entry that got no response is repeated,
 * and how often that is done. */
#define WRITE_RETRY_US 1000000
#define MAX_WRITE_RETRIES 60
/* Evidence that one message carries; the rest follows in the next one. */
#define MAX_SUSPICIONS 64

static const char *
get_string(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value != NULL ? value : "";
}

/* Finds the configured server of a listed instance by its name, or else by its
 * address. Returns NULL when there is none. */
static const EbConfigBackendServer *
find_server(const EbConfig *config, const char *name, const char *address)
{
    const EbConfigBackendServer *server = EbConfig_FindServer(config, name);
    for (uint32_t i = 0; server == NULL && i < config->server_count; i++) {
        char text[80];
        snprintf(text, sizeof(text), "%s:%u", config->servers[i].host,
                 (unsigned)config->servers[i].port);
        if (strcmp(text, address) == 0) {
            server = &config->servers[i];
        }
    }
    return server;
}

static void
mark_server(EbDaemon *daemon, const char *name, const char *address,
            bool leaving, int64_t now_us)
{
    const EbConfig *config = EbConfigManager_Current(daemon->config_manager);
    if (config == NULL) {
        return;
    }
    const EbConfigBackendServer *server = find_server(config, name, address);
    if (server != NULL) {
        EbDispatcher_ServerLeaving(daemon->dispatcher, server->id, leaving,
                                   "platform", now_us);
    }
}

void
EbDaemon_MarkLeavingServers(EbDaemon *daemon, int64_t now_us)
{
    GHashTableIter iter;
    void *name;
    void *address;
    g_hash_table_iter_init(&iter, daemon->leaving_servers);
    while (g_hash_table_iter_next(&iter, &name, &address)) {
        mark_server(daemon, name, address, true, now_us);
    }
}

/* The platform's list lags behind what servers and peers report. A server is
 * therefore only marked as returned if the list itself showed it as leaving
 * before. */
static void
handle_backend_instance(EbDaemon *daemon, const char *name,
                        const json_t *value, int64_t now_us)
{
    bool leaving = strcmp(get_string(value, "state"), "leaving") == 0;
    bool known = g_hash_table_contains(daemon->leaving_servers, name);
    const char *address = get_string(value, "address");
    if (leaving == known) {
        return;
    }
    if (leaving) {
        g_hash_table_insert(daemon->leaving_servers, g_strdup(name),
                            g_strdup(address));
    }
    else {
        g_hash_table_remove(daemon->leaving_servers, name);
    }
    mark_server(daemon, name, address, leaving, now_us);
}

static void
handle_instances(EbDaemon *daemon, json_t *items)
{
    int64_t now_us = EbClock_Monotonic();
    GArray *members = g_array_new(FALSE, TRUE, sizeof(EbMessageMember));
    size_t index;
    json_t *item;
    json_array_foreach(items, index, item)
    {
        const char *name = get_string(item, "name");
        const json_t *value = json_object_get(item, "value");
        const char *role = get_string(value, "role");
        if (strcmp(role, "backend") == 0) {
            handle_backend_instance(daemon, name, value, now_us);
        }
        else if (strcmp(role, "daemon") == 0) {
            bool leaving = strcmp(get_string(value, "state"), "leaving") == 0;
            EbMessageMember member = {
                .instance = (char *)name,
                .address = (char *)get_string(value, "address"),
                .failure_domain = (char *)get_string(value, "failure_domain"),
                .state = leaving ? EB_MEMBER_LEAVING : EB_MEMBER_ALIVE};
            g_array_append_val(members, member);
        }
    }
    EbMembership_SetListed(daemon->membership,
                           (EbMessageMember *)members->data, members->len,
                           now_us);
    g_array_free(members, TRUE);
}

static void
ignore_reply(void *context, const EbStoreReply *reply)
{
    (void)context;
    (void)reply;
}

/* Stored entries give the end of their quarantine as wall clock time, because
 * the monotonic clocks of instances are unrelated. */
static void
handle_quarantine_entries(EbDaemon *daemon, json_t *items)
{
    int64_t now_us = EbClock_Monotonic();
    int64_t wall_us = EbClock_Wall();
    size_t index;
    json_t *item;
    json_array_foreach(items, index, item)
    {
        const char *name = get_string(item, "name");
        const json_t *value = json_object_get(item, "value");
        EbQuarantineEntry entry = {
            .fingerprint = g_ascii_strtoull(name, NULL, 16),
            .points =
                (uint32_t)json_integer_value(json_object_get(value, "points")),
            .state = EB_FINGERPRINT_QUARANTINED,
            .remaining_us =
                json_integer_value(json_object_get(value, "until_wall_us")) -
                wall_us};
        if (entry.remaining_us > 0) {
            EbQuarantine_Merge(daemon->quarantine, &entry, now_us);
        }
        else if (entry.remaining_us < -EXPIRED_RETENTION_US) {
            uint64_t version =
                (uint64_t)json_integer_value(json_object_get(item, "version"));
            EbDaemon_CallStore(daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND,
                               name, version, NULL, ignore_reply, NULL);
        }
    }
}

void
EbDaemon_OnObjectsListed(void *context, const char *kind, uint64_t revision,
                         json_t *items)
{
    EbDaemon *daemon = context;
    if (strcmp(kind, EB_QUARANTINE_KIND) == 0) {
        handle_quarantine_entries(daemon, items);
    }
    else if (daemon->adapter != NULL) {
        EbDiscovery_HandleList(daemon, kind, revision, items);
        return;
    }
    else if (strcmp(kind, EB_INSTANCES_KIND) == 0) {
        handle_instances(daemon, items);
    }
    else if (strcmp(kind, EB_CONFIG_OBJECT_KIND) == 0) {
        EbConfigManager_Refresh(daemon->config_manager, EbClock_Monotonic());
    }
    EbDaemon_ScheduleActions(daemon);
}

static const char *const listed_kinds[EB_LISTED_KIND_COUNT] = {
    [EB_LISTED_INSTANCES] = EB_INSTANCES_KIND,
    [EB_LISTED_QUARANTINE] = EB_QUARANTINE_KIND,
};

static void
finish_listing(EbDaemon *daemon, EbListedKind kind, const EbStoreReply *reply)
{
    daemon->listings[kind].running = false;
    if (reply->status == EB_STORE_OK) {
        EbDaemon_OnObjectsListed(daemon, listed_kinds[kind], reply->version,
                                 reply->value);
    }
}

static void
on_instances_listed(void *context, const EbStoreReply *reply)
{
    finish_listing(context, EB_LISTED_INSTANCES, reply);
}

static void
on_quarantine_listed(void *context, const EbStoreReply *reply)
{
    finish_listing(context, EB_LISTED_QUARANTINE, reply);
}

/* Lists the kinds that changed. The loss of a failure domain changes hundreds
 * of instances within seconds. With one listing at a time and an interval
 * between them, each listing covers all changes since the last one. */
void
EbDaemon_StartDueListings(EbDaemon *daemon, int64_t now_us)
{
    static const EbDaemonStoreDone finished[EB_LISTED_KIND_COUNT] = {
        [EB_LISTED_INSTANCES] = on_instances_listed,
        [EB_LISTED_QUARANTINE] = on_quarantine_listed,
    };
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        EbDaemonListing *list = &daemon->listings[i];
        if (!list->wanted || list->running || now_us < list->earliest_us) {
            continue;
        }
        list->wanted = false;
        list->running = true;
        list->earliest_us = now_us + MIN_LISTING_INTERVAL_US;
        EbDaemon_CallStore(daemon, EB_STORE_LIST, listed_kinds[i], "", 0, NULL,
                           finished[i], daemon);
    }
}

int64_t
EbDaemon_NextListingTime(const EbDaemon *daemon)
{
    int64_t next_us = INT64_MAX;
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        const EbDaemonListing *list = &daemon->listings[i];
        if (list->wanted && !list->running) {
            next_us = MIN(next_us, list->earliest_us);
        }
    }
    return next_us;
}

static void
request_listing(EbDaemon *daemon, const char *kind)
{
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        if (strcmp(kind, listed_kinds[i]) == 0) {
            daemon->listings[i].wanted = true;
        }
    }
    EbDaemon_StartDueListings(daemon, EbClock_Monotonic());
}

void
EbDaemon_OnObjectsChanged(void *context, const char *kind,
                          uint64_t base_revision, uint64_t revision,
                          json_t *events)
{
    EbDaemon *daemon = context;
    if (daemon->adapter != NULL) {
        EbDiscovery_HandleChanges(daemon, kind, base_revision, revision,
                                  events);
        return;
    }
    if (json_array_size(events) == 0) {
        return;
    }
    if (strcmp(kind, EB_CONFIG_OBJECT_KIND) == 0) {
        EbConfigManager_Refresh(daemon->config_manager, EbClock_Monotonic());
        EbDaemon_ScheduleActions(daemon);
    }
    else {
        request_listing(daemon, kind);
    }
}

void
EbDaemon_OnReadFailed(void *context, const char *kind)
{
    EbDaemon *daemon = context;
    if (daemon->adapter != NULL && strcmp(kind, EB_QUARANTINE_KIND) != 0) {
        EbDiscovery_HandleFailure(daemon, kind);
    }
}

void
EbDaemon_OnProbed(void *context, int64_t latency_us)
{
    EbDiscovery_HandleProbe(context, latency_us);
}

void
EbDaemon_CheckWatches(EbDaemon *daemon, int64_t now_us)
{
    static const char *const kinds[] = {EB_CONFIG_OBJECT_KIND,
                                        EB_INSTANCES_KIND, EB_QUARANTINE_KIND};
    bool watcher = EbMembership_IsWatcher(daemon->membership);
    daemon->next_watch_check_us = now_us + WATCH_CHECK_INTERVAL_US;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (watcher && !daemon->watching) {
            EbPlatformClient_Watch(daemon->platform_client, kinds[i]);
        }
        else if (!watcher && daemon->watching) {
            EbPlatformClient_Unwatch(daemon->platform_client, kinds[i]);
        }
    }
    daemon->watching = watcher;
    /* The configuration object is polled by EbConfigManager. */
    if (!watcher && now_us >= daemon->next_poll_us) {
        daemon->next_poll_us = now_us + POLL_INTERVAL_US;
        request_listing(daemon, EB_INSTANCES_KIND);
        request_listing(daemon, EB_QUARANTINE_KIND);
    }
}

/* A quarantine entry that has to be stored or deleted. */
typedef struct {
    EbDaemon *daemon;
    char name[ENTRY_NAME_BYTES];
    json_t *value;    /* NULL: delete the object */
    bool superseded;  /* by a later change of the entry */
    int64_t retry_us; /* INT64_MAX while a call runs */
    uint32_t retries;
} QuarantineWrite;

static void
finish_write(QuarantineWrite *write)
{
    g_ptr_array_remove_fast(write->daemon->quarantine_writes, write);
}

/* Retries a write whose call got no response, since daemons that start later
 * depend on it. */
static void
retry_or_finish_write(QuarantineWrite *write)
{
    if (write->superseded || ++write->retries > MAX_WRITE_RETRIES) {
        finish_write(write);
        return;
    }
    write->retry_us = EbClock_Monotonic() + WRITE_RETRY_US;
    EbDaemon_ScheduleActions(write->daemon);
}

static bool
has_response(const EbStoreReply *reply)
{
    return reply->status != EB_STORE_UNAVAILABLE &&
           reply->status != EB_STORE_LOST;
}

static void
on_entry_written(void *context, const EbStoreReply *reply)
{
    QuarantineWrite *write = context;
    if (has_response(reply)) {
        finish_write(write);
    }
    else {
        retry_or_finish_write(write);
    }
}

static void
on_entry_read(void *context, const EbStoreReply *reply)
{
    QuarantineWrite *write = context;
    bool found = reply->status == EB_STORE_OK;
    if (!has_response(reply)) {
        retry_or_finish_write(write);
    }
    else if (write->superseded || (write->value == NULL && !found)) {
        finish_write(write);
    }
    else if (write->value == NULL) {
        EbDaemon_CallStore(write->daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND,
                           write->name, reply->version, NULL, on_entry_written,
                           write);
    }
    else {
        /* An earlier quarantine of the fingerprint may still be stored. */
        EbDaemon_CallStore(
            write->daemon, found ? EB_STORE_UPDATE : EB_STORE_CREATE,
            EB_QUARANTINE_KIND, write->name, found ? reply->version : 0,
            write->value, on_entry_written, write);
    }
}

static void
start_write(QuarantineWrite *write)
{
    write->retry_us = INT64_MAX;
    EbDaemon_CallStore(write->daemon, EB_STORE_GET, EB_QUARANTINE_KIND,
                       write->name, 0, NULL, on_entry_read, write);
}

void
EbDaemon_FreeQuarantineWrite(void *pointer)
{
    QuarantineWrite *write = pointer;
    json_decref(write->value);
    g_free(write);
}

void
EbDaemon_RetryQuarantineWrites(EbDaemon *daemon, int64_t now_us)
{
    for (guint i = 0; i < daemon->quarantine_writes->len; i++) {
        QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i);
        if (write->retry_us <= now_us) {
            start_write(write);
        }
    }
}

int64_t
EbDaemon_NextQuarantineWrite(const EbDaemon *daemon)
{
    int64_t next_us = INT64_MAX;
    for (guint i = 0; i < daemon->quarantine_writes->len; i++) {
        const QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i);
        next_us = MIN(next_us, write->retry_us);
    }
    return next_us;
}

/* Ends the earlier writes of an entry, unless a call of theirs runs. */
static void
supersede_writes(EbDaemon *daemon, const char *name)
{
    for (guint i = daemon->quarantine_writes->len; i > 0; i--) {
        QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i - 1);
        if (strcmp(write->name, name) != 0) {
            continue;
        }
        write->superseded = true;
        if (write->retry_us != INT64_MAX) {
            finish_write(write);
        }
    }
}

/* Stores a quarantined fingerprint or deletes a released one. Running daemons
 * learn of the change from the peers' messages; only daemons that start later
 * depend on the objects. */
static void
store_quarantine_entry(EbDaemon *daemon, const EbQuarantineEntry *entry)
{
    if (entry->state == EB_FINGERPRINT_SUSPECTED) {
        return;
    }
    QuarantineWrite *write = g_new0(QuarantineWrite, 1);
    write->daemon = daemon;
    snprintf(write->name, sizeof(write->name), "%016" PRIx64,
             entry->fingerprint);
    supersede_writes(daemon, write->name);
    g_ptr_array_add(daemon->quarantine_writes, write);
    if (entry->state == EB_FINGERPRINT_QUARANTINED) {
        int64_t until_us = EbClock_Wall() + entry->remaining_us;
        write->value =
            json_pack("{s:I, s:I}", "points", (json_int_t)entry->points,
                      "until_wall_us", (json_int_t)until_us);
    }
    start_write(write);
}

void
EbDaemon_PublishSuspicions(EbDaemon *daemon, int64_t now_us)
{
    EbSuspicion suspicions[MAX_SUSPICIONS];
    uint32_t count = 0;
    while (
        count < MAX_SUSPICIONS &&
        EbSuspects_NextReport(daemon->suspects, &suspicions[count], now_us)) {
        count++;
    }
    if (count > 0) {
        EbMessage message = {.kind = EB_MESSAGE_SUSPICIONS,
                             .suspicions = suspicions,
                             .suspicion_count = count};
        EbMembership_Flood(daemon->membership, &message, now_us);
    }
}

void
EbDaemon_PublishQuarantine(EbDaemon *daemon, int64_t now_us)
{
    EbQuarantineEntry entry;
    while (EbQuarantine_NextChange(daemon->quarantine, &entry, now_us)) {
        EbMessage message = {.kind = EB_MESSAGE_QUARANTINE,
                             .entries = &entry,
                             .entry_count = 1};
        EbMembership_Flood(daemon->membership, &message, now_us);
        store_quarantine_entry(daemon, &entry);
    }
}
