/* EbCallerServer: the listener for callers.
 *
 * Converts HTTP requests into submissions and answers into responses, as
 * docs/api.md describes. Memory is bounded for each caller: a body, and the
 * unsent output, whose marks stop and resume the relay of tokens. */
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

typedef struct EbCallerServer EbCallerServer;

typedef struct {
    struct event_base *base;
    const EbSettings *settings; /* address and limits; must outlive it */
    /* Takes a request and returns its handle, never 0. The answer must not be
     * given from within this call. */
    uint64_t (*submit)(void *context, const EbSubmission *submission);
    /* The caller's connection closed before the answer. */
    void (*caller_gone)(void *context, uint64_t request);
    /* Unsent output rose above the high mark, or fell below the low one. */
    void (*flow_control)(void *context, uint64_t request, bool paused);
    void *context;
} EbCallerServerOptions;

/* Listens. Returns NULL with `error` set when the address can't be bound. */
EbCallerServer *EbCallerServer_New(const EbCallerServerOptions *options,
                                   EbError *error);

/* Closes the listener and every connection without further callbacks. */
void EbCallerServer_Free(EbCallerServer *server);

uint16_t EbCallerServer_Port(const EbCallerServer *server);

/* Sends tokens to a streaming caller at the end of the loop turn. Unknown
 * handles are ignored. */
void EbCallerServer_Relay(EbCallerServer *server, const EbRelay *relay);

/* Sends the answer. The handle is unknown afterwards. */
void EbCallerServer_Answer(EbCallerServer *server, const EbAnswer *answer);

/* Closes the listener; connections are closed after their answer. */
void EbCallerServer_StopAccepting(EbCallerServer *server);

/* Requests that wait for their answer. */
size_t EbCallerServer_PendingCount(const EbCallerServer *server);

/* Returns whether answers are still being sent on some connection. */
bool EbCallerServer_HasUnsent(const EbCallerServer *server);

size_t EbCallerServer_ConnectionCount(const EbCallerServer *server);

#endif
