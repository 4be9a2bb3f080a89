/* EbBackendClient: HTTP client for calls to backend servers.
 *
 * Sends the attempts that the dispatcher requests and reports their results.
 * It makes no decisions: it never retries a call and never chooses a server.
 * Each attempt produces any number of EB_ATTEMPT_TOKENS events and then
 * exactly one event of another kind, unless it is cancelled.
 *
 * EB_ATTEMPT_REFUSED is reported only if no byte of the call was written to a
 * connection; every later failure is reported as EB_ATTEMPT_BROKEN. */
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
    int64_t idle_timeout_us;       /* closes an idle connection; 0: 30 s */
    int64_t connect_timeout_us;    /* 0: 1 s */
    int64_t inactivity_timeout_us; /* longest time without data; 0: 60 s */
    size_t max_header_bytes;       /* of a response; 0: 16 KiB */
    size_t max_body_bytes;         /* of a response or stream; 0: 4 MiB */
    /* Of all responses that are incomplete, streams excluded. Each may take as
     * much as the others leave free; up to 64 KiB are always accepted. 0:
     * 32 MiB. */
    size_t max_buffered_bytes;
    /* Called for each event. Pointers in the event are valid only during the
     * call. The callback must not call EbBackendClient_Cancel or
     * EbBackendClient_Pause, because evhttp is still using the connection. */
    void (*event)(void *context, const EbAttemptEvent *event);
    void *context;
} EbBackendClientOptions;

/* Creates a client without connections. `options` is copied; `base` is
 * borrowed and must outlive the client. Free it with EbBackendClient_Free. */
EbBackendClient *EbBackendClient_New(const EbBackendClientOptions *options);

/* Closes every connection; running attempts end without an event. Accepts
 * NULL. */
void EbBackendClient_Free(EbBackendClient *client);

/* Starts an attempt. `send` is borrowed for the duration of this call. If the
 * attempt fails immediately, its event may be delivered before this function
 * returns. */
void EbBackendClient_Send(EbBackendClient *client, const EbSendAttempt *send);

/* Cancels an attempt without an event and closes its connection. Unknown ids
 * are ignored. */
void EbBackendClient_Cancel(EbBackendClient *client, uint64_t attempt_id);

/* Closes the idle connections to a server. */
void EbBackendClient_CloseIdle(EbBackendClient *client, const char *server_id);

/* Pauses or resumes reading the response to an attempt. While reading is
 * paused, the kernel's socket buffers fill up and TCP flow control slows the
 * server down. At most one more read is delivered after a pause. A paused
 * attempt produces an EB_ATTEMPT_TOKENS event without tokens several times a
 * second, so that it is not mistaken for a silent one. */
void EbBackendClient_Pause(EbBackendClient *client, uint64_t attempt_id,
                           bool paused);

/* Returns the number of attempts that are running. */
size_t EbBackendClient_ActiveCount(const EbBackendClient *client);

/* Returns the number of idle connections to a server. */
size_t EbBackendClient_IdleCount(const EbBackendClient *client,
                                 const char *server_id);

#endif
