/* EbForwardServer: HTTP/1.1 server for callers whose requests are forwarded.
 *
 * Reads requests with their bodies, decodes and submits them, and writes the
 * responses and streams. It notices when a caller disconnects while its
 * request is running. If a response can't be completed, its connection is
 * closed, so that the caller never takes it for a complete one. */
#ifndef EBONYHOLLOW_FORWARD_SERVER_H
#define EBONYHOLLOW_FORWARD_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/settings.h"

struct event_base;
struct EbClientGuard;

typedef struct EbForwardServer EbForwardServer;

typedef struct {
    struct event_base *base;
    /* Address and limits; must outlive the server. */
    const EbSettings *settings;
    const EbForwardProtocol *protocol;
    const EbEventSink *events;
    /* Accounts of the clients' memory, shared with other listeners and
     * borrowed. NULL: the server has its own. */
    struct EbClientGuard *guard;
    /* Submits a request and returns its handle, which is never 0. `call` is
     * borrowed. The callback must not call EbForwardServer_Answer for this
     * request. */
    uint64_t (*submit)(void *context, EbForwardCall *call);
    /* Called when the caller's connection closed before the answer. */
    void (*caller_gone)(void *context, uint64_t request);
    /* Called when the unsent output rose above the high watermark (`paused`
     * is true) or fell below the low watermark (`paused` is false). */
    void (*flow_control)(void *context, uint64_t request, bool paused);
    void *context;
} EbForwardServerOptions;

/* Starts listening. `options` is copied; `base`, `settings`, `protocol` and
 * `events` are borrowed and must outlive the server.
 *
 * Returns a server to be freed with EbForwardServer_Free, or NULL with `error`
 * set if the address can't be bound. */
EbForwardServer *EbForwardServer_New(const EbForwardServerOptions *options,
                                     EbError *error);

/* Closes the listener and every connection without further callbacks.
 * Accepts NULL. */
void EbForwardServer_Free(EbForwardServer *server);

/* Applies the limits of a configuration to each request that begins from now
 * on, and to connections that are idle. The sizes are capped at what the
 * memory for clients allows. Before the first call, the limits of the settings
 * apply. */
void EbForwardServer_SetLimits(EbForwardServer *server,
                               const EbConfigLimits *limits);

/* Returns the port on which the server listens. */
uint16_t EbForwardServer_Port(const EbForwardServer *server);

/* Sends the header section or events of a stream. Unknown handles are
 * ignored. */
void EbForwardServer_Relay(EbForwardServer *server, const EbRelay *relay);

/* Sends the answer to a request or ends its stream. A stream whose outcome is
 * not EB_OUTCOME_DONE is ended by closing the connection, without the last
 * chunk. Unknown handles are ignored. */
void EbForwardServer_Answer(EbForwardServer *server, const EbAnswer *answer);

/* Accepts the connections that callers have established already, then closes
 * the listener and all idle connections. A connection on which a request has
 * arrived in part or as a whole is closed after its answer. One on which no
 * request has come yet is closed if none comes within a second. */
void EbForwardServer_StopAccepting(EbForwardServer *server);

/* Sends "Connection: close" with the next answer on each connection (RFC 9112,
 * section 9.6). */
void EbForwardServer_AnnounceClose(EbForwardServer *server);

/* Returns the number of connections on which a request is running or an
 * answer has not been sent completely; after EbForwardServer_StopAccepting,
 * of all that are still open. */
size_t EbForwardServer_PendingCount(const EbForwardServer *server);

#endif
