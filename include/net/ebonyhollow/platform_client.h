/* EbPlatformClient: client of the platform's object store, with watches.
 *
 * The numbers of running and of waiting calls are bounded. Each call gets
 * exactly one reply. The status of a write is EB_STORE_LOST if the write may
 * have taken effect, that is, if bytes of it were written to a connection and
 * no response tells whether it was applied. A read has no effect, so its
 * status is EB_STORE_UNAVAILABLE in that case. */
#ifndef EBONYHOLLOW_PLATFORM_CLIENT_H
#define EBONYHOLLOW_PLATFORM_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/store_protocol.h"

struct event_base;

typedef struct EbPlatformClient EbPlatformClient;

/* The store protocol described in docs/protocols.md. */
extern const EbStoreProtocol EbStoreProtocol_native;

typedef struct {
    struct event_base *base;
    const char *host;
    uint16_t port;
    const EbStoreProtocol *protocol; /* NULL: EbStoreProtocol_native */
    const char *token;               /* bearer token, NULL if none is needed */
    uint32_t max_calls;              /* running, without watches; 0: 16 */
    uint32_t max_waiting;            /* calls in the queue; 0: 256 */
    int64_t call_timeout_us;  /* includes the wait in the queue; 0: 2 s */
    int64_t watch_timeout_us; /* of one long poll; 0: 5 s */
    /* A poll without a response this long after its time-out is overdue: its
     * connection is replaced and the kind is listed again. While the platform
     * answers slowly, the time of its last answer is added. 0: 2 s. */
    int64_t watch_grace_us;
    /* Delay after a poll that returned changes, so that changes in quick
     * succession are read with one poll; 0: none. */
    int64_t batch_delay_us;
    EbRandom *random;
    EbMetrics *metrics;
    const EbEventSink *events;
    /* Called with the reply to each call, which is valid only during the
     * callback. */
    void (*reply)(void *context, const EbStoreReply *reply);
    /* Called with all objects of a kind as of a revision: when its watch
     * starts, after changes may have been missed, and for each periodic
     * listing. `items` is borrowed. May be NULL. */
    void (*listed)(void *context, const char *kind,
                   const EbStorePosition *position, json_t *items);
    /* Called after each poll of a watched kind, with the changes after
     * `base_revision` up to `position`, possibly none; both are of one era.
     * `events` is borrowed. May be NULL. */
    void (*changed)(void *context, const char *kind, uint64_t base_revision,
                    const EbStorePosition *position, json_t *events);
    /* Called when a response was of a later era than all before it. Lists and
     * watches of earlier eras are dropped and begun again. May be NULL. */
    void (*era_changed)(void *context, uint64_t era);
    /* Called after a list or a poll failed, other than by a gap, which is
     * followed by a list. May be NULL. */
    void (*failed)(void *context, const char *kind);
    /* Called when the platform answered a probe. May be NULL. */
    void (*probed)(void *context, int64_t latency_us);
    void *context;
} EbPlatformClientOptions;

/* Creates a client without watches. `host` and `token` are copied; `base`,
 * `protocol`, `random`, `metrics` and `events` are borrowed and must outlive
 * the client. Free it with EbPlatformClient_Free. */
EbPlatformClient *EbPlatformClient_New(const EbPlatformClientOptions *options);

/* Closes every connection; calls end without a reply. Accepts NULL. */
void EbPlatformClient_Free(EbPlatformClient *client);

/* Starts or queues a call. `request` is borrowed for the duration of this
 * call. The reply may be delivered before this function returns. */
void EbPlatformClient_StartCall(EbPlatformClient *client,
                                const EbStoreRequest *request);

/* Watches a kind until EbPlatformClient_Unwatch: lists its objects, then polls
 * for changes. Failed polls are retried with jittered backoff. Does nothing if
 * the kind is watched or listed periodically already. */
void EbPlatformClient_Watch(EbPlatformClient *client, const char *kind);

/* Watches a kind whose objects are known as of `position`, without listing
 * them unless the store's era has changed. The first poll is short, so that
 * `changed` soon tells whether that is still so. Does nothing if the kind is
 * watched already. */
void EbPlatformClient_WatchFrom(EbPlatformClient *client, const char *kind,
                                const EbStorePosition *position);

/* Lists a kind now and then every `interval_us` without watching it, until
 * EbPlatformClient_Unwatch. The lists may be seconds old. Does nothing if the
 * kind is watched or listed periodically already. */
void EbPlatformClient_ListPeriodically(EbPlatformClient *client,
                                       const char *kind, int64_t interval_us);

/* Calls the platform every `interval_us` to see whether it answers, until
 * EbPlatformClient_StopProbes. The calls read one object. Does nothing if this
 * has started already. */
void EbPlatformClient_StartProbes(EbPlatformClient *client, const char *kind,
                                  const char *name, int64_t interval_us);
void EbPlatformClient_StopProbes(EbPlatformClient *client);

/* Stops watching a kind or listing it periodically. */
void EbPlatformClient_Unwatch(EbPlatformClient *client, const char *kind);

/* Returns the latest era of which a response was; 0 when there was none or the
 * store has no eras. */
uint64_t EbPlatformClient_Era(const EbPlatformClient *client);

/* Returns false after two consecutive calls failed, until one succeeds. */
bool EbPlatformClient_IsUp(const EbPlatformClient *client);

/* Returns the number of running and waiting calls, without watches. */
size_t EbPlatformClient_PendingCount(const EbPlatformClient *client);

#endif
