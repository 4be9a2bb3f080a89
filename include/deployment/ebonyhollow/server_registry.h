/* EbServerRegistry: the backend servers that registered themselves in the
 * platform's store.
 *
 * Entries can be missing or outdated for a while after the store was away:
 *
 * - Entries that expired during an outage are written again soon after it. The
 *   servers stay in use for EB_REGISTRY_GRACE_US, unless they were leaving.
 * - When the store returns from an older copy, entries that were written since
 *   are missing, too. An entry from the copy that says that a server is ready
 *   is doubted if the server is known to be leaving or gone: it is not used
 *   until the server writes it again, or until it is still there after
 *   EB_REGISTRY_DOUBT_US, since the entry of a server that ended has expired
 *   by then.
 *
 * Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_SERVER_REGISTRY_H
#define EBONYHOLLOW_SERVER_REGISTRY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/event.h"
#include "ebonyhollow/platform_adapter.h"

#define EB_REGISTRY_GRACE_US 2000000
#define EB_REGISTRY_DOUBT_US 10000000

typedef struct EbServerRegistry EbServerRegistry;

/* Creates an empty registry. `events` is borrowed and may be NULL. Free it
 * with EbServerRegistry_Free. */
EbServerRegistry *EbServerRegistry_New(const EbEventSink *events);

/* Accepts NULL. */
void EbServerRegistry_Free(EbServerRegistry *registry);

/* Handles an entry of the store.
 *
 * registration: taken over and zeroed.
 * restored: it comes from the older copy from which the store returned. */
void EbServerRegistry_Set(EbServerRegistry *registry,
                          EbServerRegistration *registration, bool restored,
                          int64_t now_us);

/* Handles the removal of an entry.
 *
 * store_back_us: end of the store's last outage, or INT64_MIN. */
void EbServerRegistry_Remove(EbServerRegistry *registry, const char *id,
                             int64_t store_back_us, int64_t now_us);

/* Removes a server at once, since its entry can't be used. */
void EbServerRegistry_Drop(EbServerRegistry *registry, const char *id,
                           int64_t now_us);

/* Does what is due: removals, and the use of entries that were doubted. */
void EbServerRegistry_Tick(EbServerRegistry *registry, int64_t now_us);

/* Returns the earliest time at which EbServerRegistry_Tick has something to
 * do, or INT64_MAX. */
int64_t EbServerRegistry_NextTimer(const EbServerRegistry *registry);

/* Returns whether registrations have changed since the last call. */
bool EbServerRegistry_TakeChange(EbServerRegistry *registry);

/* Returns the registrations in use, leaving servers included, as an array of
 * const EbServerRegistration *. They are borrowed until the next change; the
 * caller frees the array with g_ptr_array_unref. */
GPtrArray *EbServerRegistry_List(const EbServerRegistry *registry);

#endif
