/* What the platform's lists say, and the quarantine kept there. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "daemon_internal.h"

#define WATCH_CHECK_US 1000000
#define POLL_US 60000000
#define NAME_BYTES 17
/* Least time between two lists of a kind; an eighth of the 2 s in which a
 * leaving server has to be known. */
#define LIST_INTERVAL_US 250000
/* Clocks of instances differ, so that an expired entry is kept for a while
 * before any daemon deletes it. */
#define EXPIRED_KEPT_US 60000000

static const char *
get_string(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value != NULL ? value : "";
}

/* Finds the configured server of a listed instance, by name or address. */
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
EbDaemon_MarkLeaving(EbDaemon *daemon, int64_t now_us)
{
    GHashTableIter iter;
    void *name;
    void *address;
    g_hash_table_iter_init(&iter, daemon->leaving);
    while (g_hash_table_iter_next(&iter, &name, &address)) {
        mark_server(daemon, name, address, true, now_us);
    }
}

/* The list lags behind notices of servers and peers. It takes a server back
 * only when it listed the server as leaving itself. */
static void
take_backend(EbDaemon *daemon, const char *name, const json_t *value,
             int64_t now_us)
{
    bool leaving = strcmp(get_string(value, "state"), "leaving") == 0;
    bool known = g_hash_table_contains(daemon->leaving, name);
    const char *address = get_string(value, "address");
    if (leaving == known) {
        return;
    }
    if (leaving) {
        g_hash_table_insert(daemon->leaving, g_strdup(name),
                            g_strdup(address));
    }
    else {
        g_hash_table_remove(daemon->leaving, name);
    }
    mark_server(daemon, name, address, leaving, now_us);
}

static void
take_instances(EbDaemon *daemon, json_t *items)
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
            take_backend(daemon, name, value, now_us);
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
on_stored(void *context, const EbStoreReply *reply)
{
    (void)context;
    (void)reply;
}

/* Entries are stored with the end of their quarantine by the wall clock,
 * since monotonic clocks of instances have nothing in common. */
static void
take_stored(EbDaemon *daemon, json_t *items)
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
        else if (entry.remaining_us < -EXPIRED_KEPT_US) {
            uint64_t version =
                (uint64_t)json_integer_value(json_object_get(item, "version"));
            EbDaemon_Store(daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND, name,
                           version, NULL, on_stored, NULL);
        }
    }
}

void
EbDaemon_OnListed(void *context, const char *kind, json_t *items)
{
    EbDaemon *daemon = context;
    if (daemon->adapter != NULL) {
        EbDiscovery_Listed(daemon, kind, items);
        return;
    }
    if (strcmp(kind, EB_INSTANCES_KIND) == 0) {
        take_instances(daemon, items);
    }
    else if (strcmp(kind, EB_QUARANTINE_KIND) == 0) {
        take_stored(daemon, items);
    }
    else if (strcmp(kind, EB_CONFIG_OBJECT_KIND) == 0) {
        EbConfigManager_Refresh(daemon->config_manager, EbClock_Monotonic());
    }
    EbDaemon_ScheduleActions(daemon);
}

/* Kinds that are listed whole after a change. */
static const char *const listed_kinds[EB_LISTED_KIND_COUNT] = {
    [EB_LISTED_INSTANCES] = EB_INSTANCES_KIND,
    [EB_LISTED_QUARANTINE] = EB_QUARANTINE_KIND,
};

static void
finish_list(EbDaemon *daemon, EbListedKind kind, const EbStoreReply *reply)
{
    daemon->lists[kind].running = false;
    if (reply->status == EB_STORE_OK) {
        EbDaemon_OnListed(daemon, listed_kinds[kind], reply->value);
    }
}

static void
on_instances(void *context, const EbStoreReply *reply)
{
    finish_list(context, EB_LISTED_INSTANCES, reply);
}

static void
on_quarantine(void *context, const EbStoreReply *reply)
{
    finish_list(context, EB_LISTED_QUARANTINE, reply);
}

/* Lists the kinds that changed. The loss of a failure domain changes hundreds
 * of instances within seconds: one list at a time, at intervals, takes in all
 * changes that came meanwhile. */
void
EbDaemon_StartDueListings(EbDaemon *daemon, int64_t now_us)
{
    static const EbDaemonStored finished[EB_LISTED_KIND_COUNT] = {
        [EB_LISTED_INSTANCES] = on_instances,
        [EB_LISTED_QUARANTINE] = on_quarantine,
    };
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        EbDaemonListing *list = &daemon->lists[i];
        if (!list->wanted || list->running || now_us < list->earliest_us) {
            continue;
        }
        list->wanted = false;
        list->running = true;
        list->earliest_us = now_us + LIST_INTERVAL_US;
        EbDaemon_Store(daemon, EB_STORE_LIST, listed_kinds[i], "", 0, NULL,
                       finished[i], daemon);
    }
}

int64_t
EbDaemon_NextListingTime(const EbDaemon *daemon)
{
    int64_t next_us = INT64_MAX;
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        const EbDaemonListing *list = &daemon->lists[i];
        if (list->wanted && !list->running) {
            next_us = MIN(next_us, list->earliest_us);
        }
    }
    return next_us;
}

static void
list_kind(EbDaemon *daemon, const char *kind)
{
    for (int i = 0; i < EB_LISTED_KIND_COUNT; i++) {
        if (strcmp(kind, listed_kinds[i]) == 0) {
            daemon->lists[i].wanted = true;
        }
    }
    EbDaemon_StartDueListings(daemon, EbClock_Monotonic());
}

void
EbDaemon_OnChanged(void *context, const char *kind, json_t *events)
{
    EbDaemon *daemon = context;
    if (daemon->adapter != NULL) {
        EbDiscovery_Changed(daemon, kind, events);
        return;
    }
    if (strcmp(kind, EB_CONFIG_OBJECT_KIND) == 0) {
        EbConfigManager_Refresh(daemon->config_manager, EbClock_Monotonic());
        EbDaemon_ScheduleActions(daemon);
    }
    else {
        list_kind(daemon, kind);
    }
}

void
EbDaemon_CheckWatches(EbDaemon *daemon, int64_t now_us)
{
    static const char *const kinds[] = {EB_CONFIG_OBJECT_KIND,
                                        EB_INSTANCES_KIND, EB_QUARANTINE_KIND};
    bool watcher = EbMembership_IsWatcher(daemon->membership);
    daemon->watch_us = now_us + WATCH_CHECK_US;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (watcher && !daemon->watching) {
            EbPlatformClient_Watch(daemon->platform, kinds[i]);
        }
        else if (!watcher && daemon->watching) {
            EbPlatformClient_Unwatch(daemon->platform, kinds[i]);
        }
    }
    daemon->watching = watcher;
    /* EbConfigManager polls its object itself. */
    if (!watcher && now_us >= daemon->poll_us) {
        daemon->poll_us = now_us + POLL_US;
        list_kind(daemon, EB_INSTANCES_KIND);
        list_kind(daemon, EB_QUARANTINE_KIND);
    }
}

typedef struct {
    EbDaemon *daemon;
    char name[NAME_BYTES];
    json_t *value; /* NULL: the object is to be deleted */
} EntryWrite;

static void
on_found(void *context, const EbStoreReply *reply)
{
    EntryWrite *write = context;
    bool found = reply->status == EB_STORE_OK;
    if (write->value == NULL && found) {
        EbDaemon_Store(write->daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND,
                       write->name, reply->version, NULL, on_stored, NULL);
    }
    else if (write->value != NULL) {
        /* An older quarantine of the same fingerprint may be stored. */
        EbDaemon_Store(
            write->daemon, found ? EB_STORE_UPDATE : EB_STORE_CREATE,
            EB_QUARANTINE_KIND, write->name, found ? reply->version : 0,
            write->value, on_stored, NULL);
    }
    g_ptr_array_remove_fast(write->daemon->entry_writes, write);
}

void
EbDaemon_FreeEntryWrite(void *pointer)
{
    EntryWrite *write = pointer;
    json_decref(write->value);
    g_free(write);
}

/* Stores a quarantined fingerprint, or removes a released one. The store only
 * serves daemons that start later, so a failed write is not repeated. */
static void
store_entry(EbDaemon *daemon, const EbQuarantineEntry *entry)
{
    if (entry->state == EB_FINGERPRINT_SUSPECTED) {
        return;
    }
    EntryWrite *write = g_new0(EntryWrite, 1);
    write->daemon = daemon;
    g_ptr_array_add(daemon->entry_writes, write);
    snprintf(write->name, sizeof(write->name), "%016" PRIx64,
             entry->fingerprint);
    if (entry->state == EB_FINGERPRINT_QUARANTINED) {
        int64_t until_us = EbClock_Wall() + entry->remaining_us;
        write->value =
            json_pack("{s:I, s:I}", "points", (json_int_t)entry->points,
                      "until_wall_us", (json_int_t)until_us);
    }
    EbDaemon_Store(daemon, EB_STORE_GET, EB_QUARANTINE_KIND, write->name, 0,
                   NULL, on_found, write);
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
        store_entry(daemon, &entry);
    }
}
