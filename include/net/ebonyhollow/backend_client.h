/* EbBackendClient: calls to backend servers over HTTP.
 *
 * Performs the attempts that the dispatcher hands out and reports what
 * happened to them. It decides nothing: it never sends a call twice and never
 * chooses a server. Each attempt leads to any number of EB_ATTEMPT_TOKENS and
 * then to one other event, unless it is cancelled.
 *
 * EB_ATTEMPT_REFUSED is reported only when no byte of the call was given to
 * a connection; every failure after that is EB_ATTEMPT_BROKEN. */
#ifndef EBONYHOLLOW_BACKEND_CLIENT_H
#define EBONYHOLLOW_BACKEND_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/dispatcher.h"

struct event_base;

typedef struct EbBackendClient EbBackendClient;

typedef struct {
    struct event_base *base;
    uint32_t max_idle_per_server;  /* idle connections kept; 0: 32 */
    int64_t idle_timeout_us;       /* idle ones are closed then; 0: 30 s */
    int64_t connect_timeout_us;    /* 0: 1 s */
    int64_t inactivity_timeout_us; /* bound without any byte; 0: 60 s */
    size_t max_header_bytes;       /* of an answer; 0: 16 KiB */
    size_t max_body_bytes;         /* of an answer or stream; 0: 4 MiB */
    /* Called with each event. What the event points to is valid during the
     * call. EbBackendClient_Cancel and _Pause must not be called from it,
     * since evhttp still uses the connection. */
    void (*event)(void *context, const EbAttemptEvent *event);
    void *context;
} EbBackendClientOptions;

EbBackendClient *EbBackendClient_New(const EbBackendClientOptions *options);

/* Closes every connection; attempts end without an event. */
void EbBackendClient_Free(EbBackendClient *client);

/* Starts an attempt. `send` is borrowed for the call. The event of a call
 * that fails at once may arrive before this returns. */
void EbBackendClient_Send(EbBackendClient *client, const EbSendAttempt *send);

/* Ends an attempt without an event and closes its connection. Unknown ids are
 * ignored. */
void EbBackendClient_Cancel(EbBackendClient *client, uint64_t attempt_id);

/* Closes the idle connections to a server. */
void EbBackendClient_CloseIdle(EbBackendClient *client, const char *server_id);

/* Stops or resumes reading an attempt's answer. While it is stopped, the
 * kernel's buffers fill and hold the server back;
 * at most one read of the connection is still delivered afterwards. Several
 * times a second an EB_ATTEMPT_TOKENS without tokens says that the attempt is
 * held back and not silent. */
void EbBackendClient_Pause(EbBackendClient *client, uint64_t attempt_id,
                           bool paused);

size_t EbBackendClient_ActiveCount(const EbBackendClient *client);
size_t EbBackendClient_IdleCount(const EbBackendClient *client,
                                 const char *server_id);

#endif
