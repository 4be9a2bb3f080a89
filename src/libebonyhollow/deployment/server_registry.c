#include "ebonyhollow/server_registry.h"

#include <string.h>

#include "ebonyhollow/incarnation.h"

/* How long it is remembered that a server has gone: longer than a copy of the
 * store is old and the entries in it are doubted. */
#define GONE_LIFETIME_US 120000000

typedef struct {
    EbServerRegistration registration;
    int64_t due_us; /* of a removal, or of the use of a doubted entry;
                       INT64_MAX: none */
} Entry;

struct EbServerRegistry {
    const EbEventSink *events;
    GHashTable *servers; /* id to Entry in use */
    GHashTable *doubted; /* id to Entry that may be used later */
    GHashTable *gone;    /* id to the int64_t at which it was removed */
    int64_t due_us;      /* no entry is due before; INT64_MAX: none is */
    bool changed;
};

static void
free_entry(gpointer pointer)
{
    Entry *entry = pointer;
    EbServerRegistration_Clear(&entry->registration);
    g_free(entry);
}

EbServerRegistry *
EbServerRegistry_New(const EbEventSink *events)
{
    EbServerRegistry *registry = g_new0(EbServerRegistry, 1);
    registry->events = events;
    registry->due_us = INT64_MAX;
    registry->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    registry->doubted =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    registry->gone =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return registry;
}

void
EbServerRegistry_Free(EbServerRegistry *registry)
{
    if (registry == NULL) {
        return;
    }
    g_hash_table_destroy(registry->servers);
    g_hash_table_destroy(registry->doubted);
    g_hash_table_destroy(registry->gone);
    g_free(registry);
}

static void
report(const EbServerRegistry *registry,
       const EbServerRegistration *registration, const char *state)
{
    EB_EMIT(registry->events, EB_EVENT_SERVER_LISTED,
            EB_STRING_FIELD("backend_server", registration->id),
            EB_STRING_FIELD("service", registration->service),
            EB_STRING_FIELD("state", state));
}

static void
put_entry(EbServerRegistry *registry, GHashTable *table,
          EbServerRegistration *registration, int64_t due_us)
{
    registry->due_us = MIN(registry->due_us, due_us);
    Entry *entry = g_new0(Entry, 1);
    *entry = (Entry){.registration = *registration, .due_us = due_us};
    *registration = (EbServerRegistration){0};
    g_hash_table_replace(table, entry->registration.id, entry);
}

static bool
is_same(const Entry *known, const EbServerRegistration *registration)
{
    const EbServerRegistration *other = &known->registration;
    return known->due_us == INT64_MAX &&
           other->leaving == registration->leaving &&
           other->port == registration->port &&
           other->slots == registration->slots &&
           other->incarnation == registration->incarnation &&
           strcmp(other->host, registration->host) == 0 &&
           strcmp(other->service, registration->service) == 0;
}

/* Puts a registration into use and takes it over. */
static void
use_registration(EbServerRegistry *registry,
                 EbServerRegistration *registration)
{
    const Entry *known =
        g_hash_table_lookup(registry->servers, registration->id);
    g_hash_table_remove(registry->gone, registration->id);
    if (known != NULL && is_same(known, registration)) {
        EbServerRegistration_Clear(registration);
        return;
    }
    report(registry, registration,
           registration->leaving ? "leaving" : "ready");
    put_entry(registry, registry->servers, registration, INT64_MAX);
    registry->changed = true;
}

/* Returns whether an entry contradicts what is known of its server. */
static bool
is_doubtful(const EbServerRegistry *registry,
            const EbServerRegistration *registration)
{
    const Entry *known =
        g_hash_table_lookup(registry->servers, registration->id);
    bool known_leaving = known != NULL && known->registration.leaving;
    bool other_start = known != NULL && EbIncarnation_HasChanged(
                                            known->registration.incarnation,
                                            registration->incarnation);
    return !registration->leaving &&
           (known_leaving || other_start ||
            g_hash_table_contains(registry->gone, registration->id));
}

void
EbServerRegistry_Set(EbServerRegistry *registry,
                     EbServerRegistration *registration, bool restored,
                     int64_t now_us)
{
    g_hash_table_remove(registry->doubted, registration->id);
    if (restored && is_doubtful(registry, registration)) {
        report(registry, registration, "doubted");
        put_entry(registry, registry->doubted, registration,
                  now_us + EB_REGISTRY_DOUBT_US);
        return;
    }
    use_registration(registry, registration);
}

void
EbServerRegistry_Drop(EbServerRegistry *registry, const char *id,
                      int64_t now_us)
{
    g_hash_table_remove(registry->doubted, id);
    const Entry *entry = g_hash_table_lookup(registry->servers, id);
    if (entry == NULL) {
        return;
    }
    report(registry, &entry->registration, "gone");
    g_hash_table_replace(registry->gone, g_strdup(id),
                         g_memdup2(&now_us, sizeof(now_us)));
    g_hash_table_remove(registry->servers, id);
    registry->changed = true;
}

void
EbServerRegistry_Remove(EbServerRegistry *registry, const char *id,
                        int64_t store_back_us, int64_t now_us)
{
    g_hash_table_remove(registry->doubted, id);
    Entry *entry = g_hash_table_lookup(registry->servers, id);
    if (entry == NULL) {
        return;
    }
    bool grace = store_back_us != INT64_MIN &&
                 now_us < store_back_us + EB_REGISTRY_GRACE_US;
    if (grace && !entry->registration.leaving) {
        entry->due_us = store_back_us + EB_REGISTRY_GRACE_US;
        registry->due_us = MIN(registry->due_us, entry->due_us);
        report(registry, &entry->registration, "lapsed");
        return;
    }
    EbServerRegistry_Drop(registry, id, now_us);
}

static gboolean
is_forgotten(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return *(const int64_t *)context - *(const int64_t *)value >=
           GONE_LIFETIME_US;
}

/* Returns the ids of the entries that are due. Free with g_ptr_array_unref. */
static GPtrArray *
list_due(GHashTable *table, int64_t now_us)
{
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        if (((const Entry *)value)->due_us <= now_us) {
            g_ptr_array_add(ids, g_strdup(id));
        }
    }
    return ids;
}

static int64_t
earliest_due(GHashTable *table)
{
    int64_t due_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        due_us = MIN(due_us, ((const Entry *)value)->due_us);
    }
    return due_us;
}

void
EbServerRegistry_Tick(EbServerRegistry *registry, int64_t now_us)
{
    if (registry->due_us > now_us) {
        return;
    }
    GPtrArray *removed = list_due(registry->servers, now_us);
    for (guint i = 0; i < removed->len; i++) {
        EbServerRegistry_Drop(registry, g_ptr_array_index(removed, i), now_us);
    }
    g_ptr_array_unref(removed);
    GPtrArray *confirmed = list_due(registry->doubted, now_us);
    for (guint i = 0; i < confirmed->len; i++) {
        const char *id = g_ptr_array_index(confirmed, i);
        Entry *entry = g_hash_table_lookup(registry->doubted, id);
        EbServerRegistration registration = entry->registration;
        entry->registration = (EbServerRegistration){0};
        g_hash_table_steal(registry->doubted, id);
        g_free(entry);
        use_registration(registry, &registration);
    }
    g_ptr_array_unref(confirmed);
    g_hash_table_foreach_remove(registry->gone, is_forgotten, &now_us);
    registry->due_us =
        MIN(earliest_due(registry->servers), earliest_due(registry->doubted));
}

int64_t
EbServerRegistry_NextTimer(const EbServerRegistry *registry)
{
    return registry->due_us;
}

bool
EbServerRegistry_TakeChange(EbServerRegistry *registry)
{
    bool changed = registry->changed;
    registry->changed = false;
    return changed;
}

GPtrArray *
EbServerRegistry_List(const EbServerRegistry *registry)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, registry->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(list, &((Entry *)value)->registration);
    }
    return list;
}
