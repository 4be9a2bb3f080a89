/* The configuration and the servers of a deployment whose platform has an
 * adapter: objects of its store, watched, put into force together. */
#include <string.h>

#include "daemon_internal.h"

/* After an outage of the store, entries that lapsed meanwhile come back within
 * this; until then their servers stay in use. */
#define RETURN_US 2000000
#define REGISTER_RETRY_US 1000000
/* The list of daemons serves those that know no other one; they learn of each
 * other through their links. */
#define DAEMONS_LIST_US 30000000

typedef struct {
    EbServerRegistration entry;
    int64_t gone_us; /* leaves the table then; INT64_MAX while it is listed */
} ServerRow;

static void
free_row(gpointer pointer)
{
    ServerRow *row = pointer;
    EbServerRegistration_Clear(&row->entry);
    g_free(row);
}

void
EbDiscovery_Init(EbDiscovery *discovery)
{
    discovery->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
    discovery->removal_due_us = INT64_MAX;
    discovery->register_us = INT64_MAX;
}

void
EbDiscovery_Clear(EbDiscovery *discovery)
{
    if (discovery->servers != NULL) {
        g_hash_table_destroy(discovery->servers);
    }
    json_decref(discovery->config);
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

/* Puts the configuration and the servers known now into force. */
static void
apply(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    discovery->changed = false;
    if (discovery->config == NULL || !discovery->servers_listed) {
        return;
    }
    guint count = g_hash_table_size(discovery->servers);
    const EbServerRegistration **entries =
        g_new0(const EbServerRegistration *, count + 1);
    GHashTableIter iter;
    gpointer row;
    size_t used = 0;
    g_hash_table_iter_init(&iter, discovery->servers);
    while (g_hash_table_iter_next(&iter, NULL, &row)) {
        entries[used++] = &((const ServerRow *)row)->entry;
    }
    EbError error = {0};
    EbConfig *config = daemon->adapter->read_config(
        discovery->config, daemon->settings->site, entries, used, &error);
    g_free(entries);
    if (config == NULL) {
        report_bad_object(daemon, daemon->adapter->config_kind,
                          daemon->adapter->config_name, &error);
        return;
    }
    EbConfigManager_OfferConfig(daemon->config_manager, config, "platform",
                                now_us);
    EbConfig_Unref(config);
}

static void
take_config(EbDaemon *daemon, const json_t *item)
{
    EbDiscovery *discovery = &daemon->discovery;
    json_t *value = json_object_get(item, "value");
    const char *name = json_string_value(json_object_get(item, "name"));
    if (strcmp(name, daemon->adapter->config_name) != 0 ||
        json_is_true(json_object_get(item, "deleted"))) {
        return;
    }
    uint64_t version = daemon->adapter->config_version(value);
    uint64_t known = discovery->config != NULL
                         ? daemon->adapter->config_version(discovery->config)
                         : 0;
    if (version > known) {
        json_decref(discovery->config);
        discovery->config = json_incref(value);
        discovery->changed = true;
    }
}

static void
report_server(const EbDaemon *daemon, const EbServerRegistration *entry,
              const char *state)
{
    EB_EMIT(daemon->events, EB_EVENT_SERVER_LISTED,
            EB_STRING_FIELD("backend_server", entry->id),
            EB_STRING_FIELD("service", entry->service),
            EB_STRING_FIELD("state", state));
}

static void
set_server(EbDaemon *daemon, const char *name, const json_t *value)
{
    EbDiscovery *discovery = &daemon->discovery;
    EbServerRegistration entry;
    EbError error = {0};
    if (!daemon->adapter->read_server(name, value, &entry, &error)) {
        EbServerRegistration_Clear(&entry);
        report_bad_object(daemon, daemon->adapter->servers_kind, name, &error);
        if (g_hash_table_remove(discovery->servers, name)) {
            discovery->changed = true;
        }
        return;
    }
    const ServerRow *known = g_hash_table_lookup(discovery->servers, name);
    bool same = known != NULL && known->gone_us == INT64_MAX &&
                known->entry.leaving == entry.leaving &&
                known->entry.port == entry.port &&
                strcmp(known->entry.host, entry.host) == 0 &&
                strcmp(known->entry.service, entry.service) == 0 &&
                known->entry.slots == entry.slots;
    if (same) {
        EbServerRegistration_Clear(&entry);
        return;
    }
    report_server(daemon, &entry, entry.leaving ? "leaving" : "ready");
    ServerRow *row = g_new0(ServerRow, 1);
    row->entry = entry;
    row->gone_us = INT64_MAX;
    g_hash_table_replace(discovery->servers, g_strdup(name), row);
    discovery->changed = true;
}

static void
remove_server(EbDaemon *daemon, const char *name, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    ServerRow *row = g_hash_table_lookup(discovery->servers, name);
    if (row == NULL) {
        return;
    }
    if (now_us < discovery->store_recovered_us + RETURN_US &&
        !row->entry.leaving) {
        row->gone_us = discovery->store_recovered_us + RETURN_US;
        discovery->removal_due_us =
            MIN(discovery->removal_due_us, row->gone_us);
        report_server(daemon, &row->entry, "lapsed");
        return;
    }
    report_server(daemon, &row->entry, "gone");
    g_hash_table_remove(discovery->servers, name);
    discovery->changed = true;
}

static void
take_server(EbDaemon *daemon, const json_t *item, int64_t now_us)
{
    const char *name = json_string_value(json_object_get(item, "name"));
    if (json_is_true(json_object_get(item, "deleted"))) {
        remove_server(daemon, name, now_us);
    }
    else {
        set_server(daemon, name, json_object_get(item, "value"));
    }
}

/* Removes servers that a whole list does not name. */
static void
remove_unlisted(EbDaemon *daemon, const json_t *items, int64_t now_us)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    size_t index;
    const json_t *item;
    json_array_foreach(items, index, item)
    {
        g_hash_table_add(listed, (gpointer)json_string_value(
                                     json_object_get(item, "name")));
    }
    GList *names = g_hash_table_get_keys(daemon->discovery.servers);
    for (GList *name = names; name != NULL; name = name->next) {
        if (!g_hash_table_contains(listed, name->data)) {
            remove_server(daemon, name->data, now_us);
        }
    }
    g_list_free(names);
    g_hash_table_destroy(listed);
}

/* Daemons */

static void
on_registered(void *context, const EbStoreReply *reply)
{
    EbDaemon *daemon = context;
    EbDiscovery *discovery = &daemon->discovery;
    if (reply->status == EB_STORE_OK) {
        discovery->register_us = INT64_MAX;
        return;
    }
    discovery->register_us = EbClock_Monotonic() + REGISTER_RETRY_US;
}

/* Writes this daemon's entry, from which others learn its address. The entry
 * of an earlier process of the instance is replaced. */
static void
register_daemon(EbDaemon *daemon)
{
    EbDiscovery *discovery = &daemon->discovery;
    json_t *value =
        json_pack("{s:s, s:s}", "address", daemon->peer_address,
                  "failure_domain", daemon->settings->failure_domain);
    bool known = discovery->own_version > 0;
    discovery->register_us = INT64_MAX;
    EbDaemon_Store(daemon, known ? EB_STORE_UPDATE : EB_STORE_CREATE,
                   daemon->adapter->daemons_kind, daemon->settings->instance,
                   discovery->own_version, value, on_registered, daemon);
    json_decref(value);
}

static const char *
get_string(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != NULL ? text : "";
}

static void
take_daemons(EbDaemon *daemon, const json_t *items, int64_t now_us)
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
            .instance = (char *)get_string(item, "name"),
            .address = (char *)get_string(value, "address"),
            .failure_domain = (char *)get_string(value, "failure_domain"),
            .state = EB_MEMBER_ALIVE};
        if (strcmp(member.instance, daemon->settings->instance) == 0) {
            discovery->own_version =
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
        discovery->register_us = current ? INT64_MAX : now_us;
    }
}

/* Watches */

void
EbDiscovery_Watch(EbDaemon *daemon)
{
    const EbPlatformAdapter *adapter = daemon->adapter;
    EbPlatformClient_Watch(daemon->platform, adapter->config_kind);
    EbPlatformClient_Watch(daemon->platform, adapter->servers_kind);
    EbPlatformClient_ListPeriodically(daemon->platform, adapter->daemons_kind,
                                      DAEMONS_LIST_US);
}

/* Notes outages of the store from the pauses between its answers. */
static void
note_answer(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    bool up = EbPlatformClient_IsUp(daemon->platform);
    if (!discovery->was_up && up) {
        discovery->store_recovered_us = now_us;
    }
    discovery->was_up = up;
}

void
EbDiscovery_Listed(EbDaemon *daemon, const char *kind, json_t *items)
{
    EbDiscovery *discovery = &daemon->discovery;
    int64_t now_us = EbClock_Monotonic();
    size_t index;
    const json_t *item;
    note_answer(daemon, now_us);
    if (strcmp(kind, daemon->adapter->daemons_kind) == 0) {
        take_daemons(daemon, items, now_us);
    }
    else if (strcmp(kind, daemon->adapter->config_kind) == 0) {
        json_array_foreach(items, index, item)
        {
            take_config(daemon, item);
        }
    }
    else {
        json_array_foreach(items, index, item)
        {
            take_server(daemon, item, now_us);
        }
        remove_unlisted(daemon, items, now_us);
        discovery->changed = true;
        discovery->servers_listed = true;
    }
    EbDaemon_ScheduleActions(daemon);
}

void
EbDiscovery_Changed(EbDaemon *daemon, const char *kind, json_t *events)
{
    int64_t now_us = EbClock_Monotonic();
    size_t index;
    const json_t *event;
    note_answer(daemon, now_us);
    bool config = strcmp(kind, daemon->adapter->config_kind) == 0;
    json_array_foreach(events, index, event)
    {
        if (config) {
            take_config(daemon, event);
        }
        else {
            take_server(daemon, event, now_us);
        }
    }
    EbDaemon_ScheduleActions(daemon);
}

void
EbDiscovery_ApplyChanges(EbDaemon *daemon, int64_t now_us)
{
    EbDiscovery *discovery = &daemon->discovery;
    note_answer(daemon, now_us);
    if (now_us >= discovery->register_us) {
        register_daemon(daemon);
    }
    if (now_us >= discovery->removal_due_us) {
        discovery->removal_due_us = INT64_MAX;
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, discovery->servers);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            const ServerRow *row = value;
            if (row->gone_us <= now_us) {
                report_server(daemon, &row->entry, "gone");
                g_hash_table_iter_remove(&iter);
                discovery->changed = true;
            }
            else {
                discovery->removal_due_us =
                    MIN(discovery->removal_due_us, row->gone_us);
            }
        }
    }
    if (discovery->changed) {
        apply(daemon, now_us);
    }
}

int64_t
EbDiscovery_NextTimer(const EbDaemon *daemon)
{
    return MIN(daemon->discovery.removal_due_us,
               daemon->discovery.register_us);
}
