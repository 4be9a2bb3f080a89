/* EbForwardServer: the listener for callers whose requests are forwarded.
 *
 * Reads HTTP/1.1 requests with their bodies, hands them on decoded and writes
 * answers and streams back. A caller that leaves is noticed while its request
 * runs. An answer that can't be finished closes its connection, so that it
 * never looks complete. */
#ifndef EBONYHOLLOW_FORWARD_SERVER_H
#define EBONYHOLLOW_FORWARD_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/settings.h"

struct event_base;

typedef struct EbForwardServer EbForwardServer;

typedef struct {
    struct event_base *base;
    const EbSettings *settings; /* address and limits; must outlive it */
    const EbForwardProtocol *protocol;
    const EbEventSink *events;
    /* Takes a request and returns its handle, never 0. The answer must not be
     * given from within this call. */
    uint64_t (*submit)(void *context, EbForwardCall *call);
    /* The caller's connection closed before the answer. */
    void (*caller_gone)(void *context, uint64_t request);
    /* Unsent output rose above the high mark, or fell below the low one. */
    void (*flow_control)(void *context, uint64_t request, bool paused);
    void *context;
} EbForwardServerOptions;

/* Listens. Returns NULL with `error` set when the address can't be bound. */
EbForwardServer *EbForwardServer_New(const EbForwardServerOptions *options,
                                     EbError *error);

/* Closes the listener and every connection without further callbacks. */
void EbForwardServer_Free(EbForwardServer *server);

uint16_t EbForwardServer_Port(const EbForwardServer *server);

/* Sends the head or events of a stream. Unknown handles are ignored. */
void EbForwardServer_Relay(EbForwardServer *server, const EbRelay *relay);

/* Sends the answer, or ends a stream: in order when the outcome is done, by
 * closing the connection otherwise. Unknown handles are ignored. */
void EbForwardServer_Answer(EbForwardServer *server, const EbAnswer *answer);

/* Closes the listener and idle connections; the others are closed after
 * their answer. */
void EbForwardServer_StopAccepting(EbForwardServer *server);

/* Asks callers to close after their next answer (RFC 9112, section 9.6). */
void EbForwardServer_AnnounceClose(EbForwardServer *server);

/* Requests that wait for their answer, and answers not yet sent. */
size_t EbForwardServer_PendingCount(const EbForwardServer *server);

#endif
