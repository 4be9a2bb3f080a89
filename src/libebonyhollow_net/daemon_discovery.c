/* Discovery for a platform with an adapter: learns the configuration, the
 * backend servers and the evacuations from the platform's store or from other
 * daemons. The configuration and the servers come into force together, once
 * the evacuations are known; evacuations do at once.
 */
#include <string.h>

#include "daemon_internal.h"

#define REGISTRATION_RETRY_US 1000000
/* The list of daemons is only needed by a daemon that knows no other one; the
 * others learn of each other through their links. */
#define DAEMONS_LIST_INTERVAL_US 30000000
/* Membership changes come in series. The sources are chosen anew at most this
 * often. */
#define SOURCES_INTERVAL_US 250000
#define SOURCES_MAX 64
/* Running daemons tell each other what is quarantined; the list is for those
 * that start. */
#define QUARANTINE_LIST_INTERVAL_US 60000000

static const char *
stream_kind(const EbDaemon *daemon, EbFeedStream stream)
{
    const EbPlatformAdapter *adapter = daemon->adapter;
    const char *const kinds[EB_FEED_STREAM_COUNT] = {
        [EB_FEED_CONFIG] = adapter->config_kind,
        [EB_FEED_SERVERS] = adapter->servers_kind,
        [EB_FEED_EVACUATIONS] = adapter->evacuations_kind,
    };
    return kinds[stream];
}

static EbFeedStream
kind_stream(const EbDaemon *daemon, const char *kind)
{
    const EbPlatformAdapter *adapter = daemon->adapter;
    if (strcmp(kind, adapter->config_kind) == 0) {
        return EB_FEED_CONFIG;
    }
    return strcmp(kind, adapter->servers_kind) == 0 ? EB_FEED_SERVERS
                                                    : EB_FEED_EVACUATIONS;
}

static bool
send_feed_message(void *context, const char *instance,
                  const EbMessage *message, int64_t now_us)
{
    EbDaemon *daemon = context;
    EbDaemon_ScheduleActions(daemon);
    return EbMembership_Send(daemon->membership, instance, message, now_us);
}

static void on_feed_changed(void *context, EbFeedStream stream,
                            const json_t *events, bool restored,
                            int64_t now_us);

static bool
has_evacuations(const EbDaemon *daemon)
{
    return daemon->settings->evacuations &&
           daemon->adapter->evacuations_kind != NULL;
}

void
EbDiscovery_Init(EbDaemon *daemon)
{
    EbDiscovery *discovery = &daemon->discovery;
    discovery->feed = EbStoreFeed_New(
        &(EbStoreFeedOptions){.events = daemon->events,
                              .follow_evacuations = has_evacuations(daemon),
                              .send = send_feed_message,
                              .changed = on_feed_changed,
                              .context = daemon});
    discovery->registry = EbServerRegistry_New(daemon->events);
    discovery->next_registration_us = INT64_MAX;
}

void
EbDiscovery_Clear(EbDiscovery *discovery)
{
    EbStoreFeed_Free(discovery->feed);
    EbServerRegistry_Free(discovery->registry);
    json_decref(discovery->config);
    json_decref(discovery->readable_config);
}

static void
report_bad_object(const EbDaemon *daemon, const char *kind, const char *name,
                  const EbError *error)
{
    char text[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
    EbError_Format(error, text, sizeof(text));
    EB_EMIT(daemon->events, EB_EVENT_OBJECT_IGNORED,
            EB_STRING_FIELD("kind", kind), EB_STRING_FIELD("name", name),
            EB_STRING_FIELD("cause", text));
}

/* Reports parts of the newest configuration that can't be used. */
static void
report_defects(const EbDaemon *daemon, const EbConfig *config,
               const EbConfigDefects *defects)
{
    char text[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
    EbError_Format(&defects->first, text, sizeof(text));
    EB_EMIT(daemon->events, EB_EVENT_CONFIGURATION_DEFECTS,
            EB_INTEGER_FIELD("generation", (int64_t)config->generation),
            EB_INTEGER_FIELD("defects", defects->count),
            EB_STRING_FIELD("cause", text));
}

/* Reads the newest configuration object with the known servers. If it can't be
 * read, the last one that could be takes its place. Returns NULL if there is
 * none. */
static EbConfig *
read_config(EbDaemon *daemon)
{
    EbDiscovery *discovery = &daemon->discovery;
    GPtrArray *registrations = EbServerRegistry_List(discovery->registry);
    EbConfig *config = NULL;
    while (config == NULL && discovery->config != NULL) {
        EbConfigDefects defects;
        EbError error = {0};
        config = daemon->adapter->read_config(
            discovery->config, daemon->settings->site,
            (const EbServerRegistration *const *)registrations->pdata,
            registrations->len, &defects, &error);
        bool is_new = discovery->config != discovery->readable_config;
        if (config == NULL) {
            report_bad_object(daemon, daemon->adapter->config_kind,
                              daemon->adapter->config_name, &error);
            json_decref(discovery->config);
            discovery->config =
                is_new ? json_incref(discovery->readable_config) : NULL;
        }
        else if (is_new && defects.count > 0) {
            report_defects(daemon, config, &defects);
        }
    }
    g_ptr_array_unref(registrations);
    return config;
}

/* Puts the newest configuration and the known servers into force, once both
 * were read and the evacuations are known. */
static void
apply_config(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    discovery->needs_apply = false;
    if (discovery->config == NULL || !discovery->servers_listed ||
        !discovery->evacuations_known) {
        return;
    }
    if (EbConfigManager_Generation(daemon->config_manager) == 0 &&
        EbRestoredConfig_MustWait(&discovery->restored_config, now_us)) {
        discovery->needs_apply = true;
        return;
    }
    EbConfig *config = read_config(daemon);
    if (config == NULL) {
        return;
    }
    json_decref(discovery->readable_config);
    discovery->readable_config = json_incref(discovery->config);
    EbConfigManager_OfferConfig(daemon->config_manager, config, "platform",
                                now_us);
    EbConfig_Unref(config);
}

static void
use_config(EbDiscovery *discovery, json_t *value)
{
    json_decref(discovery->config);
    discovery->config = json_incref(value);
    discovery->needs_apply = true;
}

static void
handle_config_object(EbDaemon *daemon, const json_t *item, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    json_t *value = json_object_get(item, "value");
    const char *name = json_string_value(json_object_get(item, "name"));
    if (strcmp(name, daemon->adapter->config_name) != 0 ||
        json_is_true(json_object_get(item, "deleted"))) {
        return;
    }
    EbStorePosition position;
    EbStoreFeed_Position(discovery->feed, EB_FEED_CONFIG, &position);
    if (EbRestoredConfig_RecordStored(&discovery->restored_config,
                                      daemon->adapter->config_version(value),
                                      &position, now_us)) {
        use_config(discovery, value);
    }
    EbMembership_SetGeneration(daemon->membership,
                               discovery->restored_config.announced);
}

const json_t *
EbDiscovery_Config(const EbDaemon *daemon, uint64_t *version)
{
    const json_t *config = daemon->discovery.readable_config;
    *version = config != NULL ? daemon->adapter->config_version(config) : 0;
    return config;
}

void
EbDiscovery_OfferConfig(EbDaemon *daemon, const char *text, size_t text_bytes)
{
    EbDiscovery *discovery = &daemon->discovery;
    json_t *value = json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, NULL);
    if (value != NULL &&
        EbRestoredConfig_RecordTold(&discovery->restored_config,
                                    daemon->adapter->config_version(value))) {
        use_config(discovery, value);
        EbMembership_SetGeneration(daemon->membership,
                                   discovery->restored_config.announced);
    }
    json_decref(value);
}

static void
handle_server_object(EbDaemon *daemon, const json_t *item, bool restored,
                     int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    const char *name = json_string_value(json_object_get(item, "name"));
    if (json_is_true(json_object_get(item, "deleted"))) {
        EbServerRegistry_Remove(discovery->registry, name,
                                EbStoreFeed_RecoveredAt(discovery->feed),
                                now_us);
        return;
    }
    EbServerRegistration registration;
    EbError error = {0};
    if (daemon->adapter->read_server(name, json_object_get(item, "value"),
                                     &registration, &error)) {
        if (!restored) {
            EbPace_RecordEntry(daemon->pace, name, registration.incarnation,
                               registration.cold_left_us, now_us);
        }
        EbServerRegistry_Set(discovery->registry, &registration, restored,
                             now_us);
        return;
    }
    EbServerRegistration_Clear(&registration);
    report_bad_object(daemon, daemon->adapter->servers_kind, name, &error);
    EbServerRegistry_Drop(discovery->registry, name, now_us);
}

/* An object of any content orders an evacuation, so that no defect of it lets
 * requests into the failure domain. */
static void
handle_evacuation_object(EbDaemon *daemon, const json_t *item, int64_t now_us)
{
    EbStorePosition position;
    EbStoreFeed_Position(daemon->discovery.feed, EB_FEED_EVACUATIONS,
                         &position);
    EbEvacuations_Set(
        daemon->evacuations, json_string_value(json_object_get(item, "name")),
        !json_is_true(json_object_get(item, "deleted")), &position, now_us);
}

/* Registration and listing of daemons */

static void
on_registered(void *context, const EbStoreReply *reply)
{
    EbDaemon *daemon = context;
    EbDiscovery *discovery = &daemon->discovery;
    if (reply->status == EB_STORE_OK) {
        discovery->next_registration_us = INT64_MAX;
        return;
    }
    discovery->next_registration_us =
        EbClock_Monotonic() + REGISTRATION_RETRY_US;
}

/* Writes this daemon's entry in the store, from which other daemons learn its
 * address. Replaces the entry of an earlier process of the same instance. */
static void
register_daemon(EbDaemon *daemon)
{
    EbDiscovery *discovery = &daemon->discovery;
    json_t *value =
        json_pack("{s:s, s:s}", "address", daemon->peer_address,
                  "failure_domain", daemon->settings->failure_domain);
    bool known = discovery->registration_version > 0;
    discovery->next_registration_us = INT64_MAX;
    EbDaemon_CallStore(
        daemon, known ? EB_STORE_UPDATE : EB_STORE_CREATE,
        daemon->adapter->daemons_kind, daemon->settings->instance,
        discovery->registration_version, value, on_registered, daemon);
    json_decref(value);
}

static void
handle_daemons_list(EbDaemon *daemon, const json_t *items, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    GArray *members = g_array_new(FALSE, TRUE, sizeof(EbMessageMember));
    bool current = false;
    size_t index;
    const json_t *item;
    json_array_foreach(items, index, item)
    {
        const json_t *value = json_object_get(item, "value");
        EbMessageMember member = {
            .instance = (char *)EbDaemon_GetString(item, "name"),
            .address = (char *)EbDaemon_GetString(value, "address"),
            .failure_domain =
                (char *)EbDaemon_GetString(value, "failure_domain"),
            .state = EB_MEMBER_ALIVE};
        if (strcmp(member.instance, daemon->settings->instance) == 0) {
            discovery->registration_version =
                (uint64_t)json_integer_value(json_object_get(item, "version"));
            current = strcmp(member.address, daemon->peer_address) == 0;
        }
        else if (member.address[0] != '\0' &&
                 !json_is_true(json_object_get(item, "deleted"))) {
            g_array_append_val(members, member);
        }
    }
    EbMembership_SetListed(daemon->membership,
                           (EbMessageMember *)members->data, members->len,
                           now_us);
    g_array_free(members, TRUE);
    if (!discovery->daemons_listed) {
        discovery->daemons_listed = true;
        discovery->next_registration_us = current ? INT64_MAX : now_us;
    }
}

/* Watches and the feed */

static void
start_read(EbDaemon *daemon, EbFeedStream stream)
{
    const char *kind = stream_kind(daemon, stream);
    EbStorePosition position;
    if (EbStoreFeed_Position(daemon->discovery.feed, stream, &position)) {
        EbPlatformClient_WatchFrom(daemon->platform_client, kind, &position);
    }
    else {
        EbPlatformClient_Watch(daemon->platform_client, kind);
    }
}

/* Starts and stops watches as the feed decided. */
static void
follow_feed(EbDaemon *daemon)
{
    EbDiscovery *discovery = &daemon->discovery;
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        EbFeedStream stream = (EbFeedStream)i;
        /* Streams that are not followed are never to be read. */
        bool read = EbStoreFeed_MustRead(discovery->feed, stream);
        if (read == discovery->reading[i]) {
            continue;
        }
        discovery->reading[i] = read;
        if (read) {
            start_read(daemon, stream);
        }
        else {
            EbPlatformClient_Unwatch(daemon->platform_client,
                                     stream_kind(daemon, stream));
        }
    }
    if (EbStoreFeed_MustProbe(discovery->feed)) {
        EbPlatformClient_StartProbes(
            daemon->platform_client, daemon->adapter->daemons_kind,
            daemon->settings->instance, EB_FEED_PROBE_INTERVAL_US);
    }
    else {
        EbPlatformClient_StopProbes(daemon->platform_client);
    }
}

void
EbDiscovery_HandleProbe(EbDaemon *daemon, int64_t latency_us)
{
    EbStoreFeed_HandleProbe(daemon->discovery.feed, latency_us,
                            EbClock_Monotonic());
}

void
EbDiscovery_Watch(EbDaemon *daemon)
{
    follow_feed(daemon);
    EbPlatformClient_ListPeriodically(daemon->platform_client,
                                      daemon->adapter->daemons_kind,
                                      DAEMONS_LIST_INTERVAL_US);
    EbPlatformClient_ListPeriodically(daemon->platform_client,
                                      EB_QUARANTINE_KIND,
                                      QUARANTINE_LIST_INTERVAL_US);
}

void
EbDiscovery_MembersChanged(EbDaemon *daemon)
{
    daemon->discovery.sources_stale = true;
}

/* Lists other live daemons, beginning at a random one. */
static size_t
list_live_daemons(EbDaemon *daemon, const char **names, size_t max)
{
    size_t live = EbMembership_LiveInstances(daemon->membership, NULL, 0);
    const char **all = g_new0(const char *, live + 1);
    EbMembership_LiveInstances(daemon->membership, all, live);
    size_t first = live > 0 ? EbRandom_Below(&daemon->random, live) : 0;
    size_t count = 0;
    for (size_t i = 0; i < live && count < max; i++) {
        const char *name = all[(first + i) % live];
        if (strcmp(name, daemon->settings->instance) != 0) {
            names[count++] = name;
        }
    }
    g_free(all);
    return count;
}

/* Chooses whom the feed asks: the daemons that watch the store, or any while
 * nothing is known here yet. */
static void
update_sources(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    const char *names[SOURCES_MAX];
    size_t count =
        discovery->servers_listed
            ? EbMembership_ListWatchers(daemon->membership, names, SOURCES_MAX)
            : list_live_daemons(daemon, names, SOURCES_MAX);
    discovery->sources_stale = false;
    discovery->sources_due_us = now_us + SOURCES_INTERVAL_US;
    EbStoreFeed_SetSources(discovery->feed,
                           EbMembership_IsWatcher(daemon->membership), names,
                           count, now_us);
}

static void
on_feed_changed(void *context, EbFeedStream stream, const json_t *events,
                bool restored, int64_t now_us)
{
    EbDaemon *daemon = context;
    size_t index;
    const json_t *event;
    json_array_foreach(events, index, event)
    {
        switch (stream) {
        case EB_FEED_CONFIG:
            handle_config_object(daemon, event, now_us);
            break;
        case EB_FEED_SERVERS:
            handle_server_object(daemon, event, restored, now_us);
            break;
        case EB_FEED_EVACUATIONS:
            handle_evacuation_object(daemon, event, now_us);
            break;
        case EB_FEED_STREAM_COUNT:
            break;
        }
    }
}

void
EbDiscovery_HandleList(EbDaemon *daemon, const char *kind,
                       const EbStorePosition *position, json_t *items)
{
    int64_t now_us = EbClock_Monotonic();
    if (strcmp(kind, daemon->adapter->daemons_kind) == 0) {
        handle_daemons_list(daemon, items, now_us);
    }
    else {
        EbStoreFeed_HandleList(daemon->discovery.feed,
                               kind_stream(daemon, kind), position, items,
                               now_us);
    }
    EbDaemon_ScheduleActions(daemon);
}

void
EbDiscovery_HandleChanges(EbDaemon *daemon, const char *kind,
                          uint64_t base_revision,
                          const EbStorePosition *position, json_t *events)
{
    int64_t now_us = EbClock_Monotonic();
    EbStoreFeed_HandleChanges(daemon->discovery.feed,
                              kind_stream(daemon, kind), base_revision,
                              position, events, now_us);
    EbDaemon_ScheduleActions(daemon);
}

void
EbDiscovery_HandleFailure(EbDaemon *daemon, const char *kind)
{
    if (strcmp(kind, daemon->adapter->daemons_kind) != 0) {
        EbStoreFeed_HandleFailure(daemon->discovery.feed,
                                  kind_stream(daemon, kind),
                                  EbClock_Monotonic());
        EbDaemon_ScheduleActions(daemon);
    }
}

void
EbDiscovery_HandleMessage(EbDaemon *daemon, const char *peer,
                          const EbMessage *message, int64_t now_us)
{
    if (daemon->adapter != NULL) {
        EbStoreFeed_Receive(daemon->discovery.feed, peer, message, now_us);
    }
}

void
EbDiscovery_StartEra(EbDaemon *daemon, uint64_t era)
{
    EbDiscovery *discovery = &daemon->discovery;
    EbStoreFeed_StartEra(discovery->feed, era, EbClock_Monotonic());
    /* The entry of this daemon may be missing. The next list shows it. */
    discovery->daemons_listed = false;
    discovery->registration_version = 0;
    discovery->next_registration_us = INT64_MAX;
    EbDaemon_ScheduleActions(daemon);
}

void
EbDiscovery_ApplyChanges(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    if (discovery->sources_stale && now_us >= discovery->sources_due_us) {
        update_sources(daemon, now_us);
    }
    EbStoreFeed_Tick(discovery->feed, now_us);
    follow_feed(daemon);
    if (now_us >= discovery->next_registration_us) {
        register_daemon(daemon);
    }
    EbServerRegistry_Tick(discovery->registry, now_us);
    if (EbServerRegistry_TakeChange(discovery->registry)) {
        discovery->needs_apply = true;
    }
    if (!discovery->servers_listed &&
        EbStoreFeed_IsKnown(discovery->feed, EB_FEED_SERVERS)) {
        discovery->servers_listed = true;
        discovery->sources_stale = true;
        discovery->needs_apply = true;
    }
    if (!discovery->evacuations_known &&
        (!has_evacuations(daemon) ||
         EbStoreFeed_IsKnown(discovery->feed, EB_FEED_EVACUATIONS))) {
        discovery->evacuations_known = true;
        discovery->needs_apply = true;
    }
    if (EbEvacuations_TakeChange(daemon->evacuations)) {
        EbDispatcher_EvacuationsChanged(daemon->dispatcher, now_us);
        EbBatcher_EvacuationsChanged(daemon->batcher, now_us);
    }
    if (discovery->needs_apply) {
        apply_config(daemon, now_us);
    }
}

int64_t
EbDiscovery_NextTimer(const EbDaemon *daemon)
{
    const EbDiscovery *discovery = &daemon->discovery;
    int64_t next_us = MIN(EbServerRegistry_NextTimer(discovery->registry),
                          discovery->next_registration_us);
    next_us =
        MIN(next_us, EbRestoredConfig_NextTimer(&discovery->restored_config,
                                                EbClock_Monotonic()));
    if (discovery->sources_stale) {
        next_us = MIN(next_us, discovery->sources_due_us);
    }
    return MIN(next_us, EbStoreFeed_NextTimer(discovery->feed));
}
