/* Instances in the platform's store, and which lists and watches there are. */
#include <stdio.h>
#include <string.h>

#include "daemon_internal.h"

/* Interval of the checks whether this daemon is to watch the objects. */
#define WATCH_CHECK_INTERVAL_US 1000000
/* Interval of the listings by a daemon that does not watch them. */
#define POLL_INTERVAL_US 60000000
/* Minimum time between two listings of a kind: an eighth of the 2 s in which
 * the daemons must learn of a leaving server. */
#define MIN_LISTING_INTERVAL_US 250000

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
        EbDispatcher_ServerLeaving(daemon->dispatcher, server->id, 0, leaving,
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
    bool leaving = strcmp(EbDaemon_GetString(value, "state"), "leaving") == 0;
    bool known = g_hash_table_contains(daemon->leaving_servers, name);
    const char *address = EbDaemon_GetString(value, "address");
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
        const char *name = EbDaemon_GetString(item, "name");
        const json_t *value = json_object_get(item, "value");
        const char *role = EbDaemon_GetString(value, "role");
        if (strcmp(role, "backend") == 0) {
            handle_backend_instance(daemon, name, value, now_us);
        }
        else if (strcmp(role, "daemon") == 0) {
            bool leaving =
                strcmp(EbDaemon_GetString(value, "state"), "leaving") == 0;
            EbMessageMember member = {
                .instance = (char *)name,
                .address = (char *)EbDaemon_GetString(value, "address"),
                .failure_domain =
                    (char *)EbDaemon_GetString(value, "failure_domain"),
                .state = leaving ? EB_MEMBER_LEAVING : EB_MEMBER_ALIVE};
            g_array_append_val(members, member);
        }
    }
    EbMembership_SetListed(daemon->membership,
                           (EbMessageMember *)members->data, members->len,
                           now_us);
    g_array_free(members, TRUE);
}

void
EbDaemon_OnObjectsListed(void *context, const char *kind,
                         const EbStorePosition *position, json_t *items)
{
    EbDaemon *daemon = context;
    if (strcmp(kind, EB_QUARANTINE_KIND) == 0) {
        EbDaemon_HandleQuarantineList(daemon, items);
    }
    else if (daemon->adapter != NULL) {
        EbDiscovery_HandleList(daemon, kind, position, items);
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
        EbStorePosition position = {
            EbPlatformClient_Era(daemon->platform_client), reply->version};
        EbDaemon_OnObjectsListed(daemon, listed_kinds[kind], &position,
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
                          uint64_t base_revision,
                          const EbStorePosition *position, json_t *events)
{
    EbDaemon *daemon = context;
    if (daemon->adapter != NULL) {
        EbDiscovery_HandleChanges(daemon, kind, base_revision, position,
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
EbDaemon_OnStoreRestored(void *context, uint64_t era)
{
    EbDaemon *daemon = context;
    daemon->quarantine_outdated = true;
    if (daemon->adapter != NULL) {
        EbDiscovery_StartEra(daemon, era);
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
