/* EbStoreFeed: what this daemon knows of the objects in the platform's store,
 * and from whom it learns of changes.
 *
 * In a large deployment only some daemons, the sources, watch the store. Each
 * other daemon asks one of them for changes every EB_FEED_REQUEST_INTERVAL_US
 * and is sent them as they occur. A daemon whose knowledge was not confirmed
 * for EB_FEED_CONFIRMED_US reads the store itself until it is confirmed again.
 * A daemon answers requests only while it reads the store itself, so that
 * nothing that is known only from another daemon counts as confirmed. Its
 * watches can't show that the store is out of reach before they are overdue,
 * so it calls the store every EB_FEED_PROBE_INTERVAL_US while others ask it.
 *
 * A daemon that starts while the store can't be read asks the sources for all
 * they know, and uses it until it can read the store.
 *
 * The objects of one kind are a stream. Their state is that of a position of
 * the store, its era and revision, which never goes back. Changes apply to a
 * range of revisions and are ignored unless the known revision lies in that
 * range, so that an old message can't bring back an object that was removed.
 *
 * A deployment without evacuations has two streams, and its daemons send no
 * field of the third. A daemon that follows it passes over sources that don't.
 *
 * Objects are {"name", "value"}, events have "deleted" in addition, as in
 * EbStoreProtocol. Times are in microseconds on the monotonic clock. */
#ifndef EBONYHOLLOW_STORE_FEED_H
#define EBONYHOLLOW_STORE_FEED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/event.h"
#include "ebonyhollow/message.h"
#include "ebonyhollow/store_protocol.h"

/* Together with a hop to the source it is below the 2 s within which a change
 * of the store must be in force in the strictest deployment. */
#define EB_FEED_CONFIRMED_US 1500000
#define EB_FEED_REQUEST_INTERVAL_US 500000
#define EB_FEED_PROBE_INTERVAL_US 400000
/* Larger changes are not sent; the other daemons read them from the store. */
#define EB_FEED_MAX_TEXT_BYTES ((size_t)64 * 1024)
/* The same for all objects of a stream. */
#define EB_FEED_MAX_SNAPSHOT_BYTES ((size_t)1024 * 1024)

typedef struct EbStoreFeed EbStoreFeed;

typedef struct {
    const EbEventSink *events; /* may be NULL */
    bool follow_evacuations;   /* EB_FEED_EVACUATIONS is a stream, too */
    /* Sends a message to a daemon. Returns false when it can't be sent. */
    bool (*send)(void *context, const char *instance, const EbMessage *message,
                 int64_t now_us);
    /* Called with the objects of a stream that changed, as an array of events
     * that is valid during the call.
     *
     * restored: they lead to the older copy from which the store returned, so
     *     that what was written since may be missing. */
    void (*changed)(void *context, EbFeedStream stream, const json_t *events,
                    bool restored, int64_t now_us);
    void *context;
} EbStoreFeedOptions;

/* Creates a feed that knows no objects. `events` is copied. Free it with
 * EbStoreFeed_Free. */
EbStoreFeed *EbStoreFeed_New(const EbStoreFeedOptions *options);

/* Frees a feed. Accepts NULL. */
void EbStoreFeed_Free(EbStoreFeed *feed);

/* Sets whom this daemon asks.
 *
 * is_source: this daemon is to read the store for others.
 * sources: the other daemons that do, in the order in which this daemon asks
 *     them; copied. For a daemon that has listed nothing yet they may be any
 *     daemons. */
void EbStoreFeed_SetSources(EbStoreFeed *feed, bool is_source,
                            const char *const *sources, size_t count,
                            int64_t now_us);

/* Handles a complete list of a stream's objects that the store returned as of
 * `position`. Ignores a list that is older than the known state. */
void EbStoreFeed_HandleList(EbStoreFeed *feed, EbFeedStream stream,
                            const EbStorePosition *position,
                            const json_t *items, int64_t now_us);

/* Handles the store's response to a watch: all changes after `base_revision`
 * up to `position`, in the same era, possibly none. */
void EbStoreFeed_HandleChanges(EbStoreFeed *feed, EbFeedStream stream,
                               uint64_t base_revision,
                               const EbStorePosition *position,
                               const json_t *events, int64_t now_us);

/* Reports that the store has returned from an older copy. The streams are read
 * until they were listed in this era. */
void EbStoreFeed_StartEra(EbStoreFeed *feed, uint64_t era, int64_t now_us);

/* Reports that the store answered a probe after `latency_us`. */
void EbStoreFeed_HandleProbe(EbStoreFeed *feed, int64_t latency_us,
                             int64_t now_us);

/* Reports that a list or a watch of a stream failed. */
void EbStoreFeed_HandleFailure(EbStoreFeed *feed, EbFeedStream stream,
                               int64_t now_us);

/* Returns the end of the store's last outage, as seen by this daemon or by the
 * source that it asks; INT64_MIN when there was none. */
int64_t EbStoreFeed_RecoveredAt(const EbStoreFeed *feed);

/* Handles a FEED_* message. */
void EbStoreFeed_Receive(EbStoreFeed *feed, const char *peer,
                         const EbMessage *message, int64_t now_us);

/* Sends the request that is due, and decides whether to read the store. */
void EbStoreFeed_Tick(EbStoreFeed *feed, int64_t now_us);

/* Returns the earliest time at which EbStoreFeed_Tick has work to do. */
int64_t EbStoreFeed_NextTimer(const EbStoreFeed *feed);

/* Returns whether this daemon is to list and watch a stream's objects at the
 * store, as decided by the last EbStoreFeed_Tick. */
bool EbStoreFeed_MustRead(const EbStoreFeed *feed, EbFeedStream stream);

/* Returns whether this daemon is to call the store every
 * EB_FEED_PROBE_INTERVAL_US, since others ask it. */
bool EbStoreFeed_MustProbe(const EbStoreFeed *feed);

/* Sets `position` to that of the known state of a stream. Returns whether a
 * watch can continue from it; if not, its objects must be listed first. */
bool EbStoreFeed_Position(const EbStoreFeed *feed, EbFeedStream stream,
                          EbStorePosition *position);

/* Returns whether the objects of a stream were listed, in any era. */
bool EbStoreFeed_IsKnown(const EbStoreFeed *feed, EbFeedStream stream);

#endif
