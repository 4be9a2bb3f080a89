/* EbPlatformClient: calls to the platform's object API, and watches.
 *
 * A bounded number of calls runs at once; a bounded number waits. Each call
 * gets exactly one reply. A write is EB_STORE_LOST whenever it may have taken
 * effect: its bytes went to a connection and no answer settled it. Reads have
 * no effect and are EB_STORE_UNAVAILABLE instead. */
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

/* The protocol of docs/protocols.md. */
extern const EbStoreProtocol EbStoreProtocol_native;

typedef struct {
    struct event_base *base;
    const char *host;
    uint16_t port;
    const EbStoreProtocol *protocol; /* NULL: the one of docs/protocols.md */
    const char *token;        /* bearer token, NULL when none is needed */
    uint32_t max_calls;       /* at once, without watches; 0: 16 */
    uint32_t max_waiting;     /* calls; 0: 256 */
    int64_t call_timeout_us;  /* 0: 2 s */
    int64_t watch_timeout_us; /* of one long poll; 0: 5 s */
    /* Wait after a poll that found changes, so that those that follow one
     * another are read together; 0: none. */
    int64_t batch_delay_us;
    EbRandom *random;
    EbMetrics *metrics;
    const EbEventSink *events;
    void (*reply)(void *context, const EbStoreReply *reply);
    /* A watched kind was listed: at the start of the watch and after a gap.
     * `items` is borrowed. May be NULL. */
    void (*listed)(void *context, const char *kind, json_t *items);
    /* Objects of a watched kind changed. `events` is borrowed. */
    void (*changed)(void *context, const char *kind, json_t *events);
    void *context;
} EbPlatformClientOptions;

EbPlatformClient *EbPlatformClient_New(const EbPlatformClientOptions *options);

/* Closes every connection; calls end without a reply. */
void EbPlatformClient_Free(EbPlatformClient *client);

/* Starts a call. `request` is borrowed for the call. The reply may arrive
 * before this returns. */
void EbPlatformClient_Store(EbPlatformClient *client,
                            const EbStoreRequest *request);

/* Watches a kind until Unwatch: lists it, then polls for changes. Failed
 * polls are repeated with jittered backoff. Watching it twice is the same as
 * once. */
void EbPlatformClient_Watch(EbPlatformClient *client, const char *kind);
/* Lists a kind now and again every `interval_us`, without watching it. */
void EbPlatformClient_ListPeriodically(EbPlatformClient *client,
                                       const char *kind, int64_t interval_us);
void EbPlatformClient_Unwatch(EbPlatformClient *client, const char *kind);

/* Returns false while calls fail one after another. */
bool EbPlatformClient_IsUp(const EbPlatformClient *client);

/* Calls that wait or run, without watches. */
size_t EbPlatformClient_PendingCount(const EbPlatformClient *client);

#endif
