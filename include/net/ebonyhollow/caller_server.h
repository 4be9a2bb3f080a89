/* EbCallerServer: HTTP server for callers.
 *
 * Converts HTTP requests into submissions and answers into HTTP responses, as
 * described in docs/api.md. The memory for each caller is bounded by the limit
 * of the request body and that of the unsent output. Watermarks on the unsent
 * output pause and resume the relay of tokens. */
#ifndef EBONYHOLLOW_CALLER_SERVER_H
#define EBONYHOLLOW_CALLER_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/settings.h"

struct event_base;
struct EbClientGuard;

/* Path of the requests to a pipeline, before its name. */
#define EB_CALLER_PATH_PREFIX "/v1/pipelines/"

typedef struct EbCallerServer EbCallerServer;

typedef struct {
    struct event_base *base;
    /* Address and limits; must outlive the server. */
    const EbSettings *settings;
    /* Accounts of the clients' memory, shared with other listeners and
     * borrowed. NULL: none are kept. */
    struct EbClientGuard *guard;
    /* Submits a request and returns its handle, which is never 0. The
     * callback must not call EbCallerServer_Answer for this request. */
    uint64_t (*submit)(void *context, const EbSubmission *submission);
    /* Called when the caller's connection closed before the answer. */
    void (*caller_gone)(void *context, uint64_t request);
    /* Called when the unsent output rose above the high watermark (`paused`
     * is true) or fell below the low watermark (`paused` is false). */
    void (*flow_control)(void *context, uint64_t request, bool paused);
    void *context;
} EbCallerServerOptions;

/* Starts listening. `options` is copied; `base` and `settings` are borrowed
 * and must outlive the server.
 *
 * Returns a server to be freed with EbCallerServer_Free, or NULL with `error`
 * set if the address can't be bound. */
EbCallerServer *EbCallerServer_New(const EbCallerServerOptions *options,
                                   EbError *error);

/* Closes the listener and every connection without further callbacks.
 * Accepts NULL. */
void EbCallerServer_Free(EbCallerServer *server);

/* Returns the port on which the server listens. */
uint16_t EbCallerServer_Port(const EbCallerServer *server);

/* Sends tokens to a caller that asked for a stream, at the end of the current
 * iteration of the event loop. Unknown handles are ignored. */
void EbCallerServer_Relay(EbCallerServer *server, const EbRelay *relay);

/* Sends the answer to a request and forgets its handle. Unknown handles are
 * ignored. */
void EbCallerServer_Answer(EbCallerServer *server, const EbAnswer *answer);

/* Closes the listener. Open connections are closed after their next answer.
 */
void EbCallerServer_StopAccepting(EbCallerServer *server);

/* Returns the number of requests that have no answer yet. */
size_t EbCallerServer_PendingCount(const EbCallerServer *server);

/* Returns true if a connection still has output to send. */
bool EbCallerServer_HasUnsent(const EbCallerServer *server);

/* Returns the number of open connections. */
size_t EbCallerServer_ConnectionCount(const EbCallerServer *server);

#endif
