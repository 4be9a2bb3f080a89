/* EbForwardClient: HTTP/1.1 client for forwarded calls to backend servers.
 *
 * Sends the calls that the dispatcher and the batcher request and reports
 * their results. It makes no decisions: it never retries a call and never
 * chooses a server. A connection carries one call at a time. A response with a
 * different request id is a late response to an earlier call and is dropped.
 * What is no response is read only up to a limit: heads, bodies, late
 * responses, and events of a stream whose ids don't increase. */
#ifndef EBONYHOLLOW_FORWARD_CLIENT_H
#define EBONYHOLLOW_FORWARD_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/forward.h"

struct event_base;

typedef struct EbForwardClient EbForwardClient;

typedef struct {
    struct event_base *base;
    const EbForwardProtocol *protocol;
    uint32_t max_idle_per_server; /* idle connections kept; 0: 8 */
    /* Closes an idle connection; a server's Keep-Alive header may shorten it.
     * 0: 10 s. */
    int64_t idle_timeout_us;
    int64_t connect_timeout_us; /* 0: 500 ms */
    size_t max_header_bytes;    /* of a response; 0: 32 KiB */
    size_t max_body_bytes;      /* of a response; 0: 8 MiB */
    /* Of the bodies of all responses that are incomplete, and of incomplete
     * events of streams. Each may take as much as the others leave free; up to
     * 64 KiB are always accepted, so that small ones arrive beside several
     * without end. 0: 32 MiB. */
    size_t max_buffered_bytes;
    /* Called for each event. Pointers in the event are valid only during the
     * call. */
    void (*event)(void *context, const EbAttemptEvent *event);
    void *context;
} EbForwardClientOptions;

/* Creates a client without connections. `options` is copied; `base` and
 * `protocol` are borrowed and must outlive the client. Free it with
 * EbForwardClient_Free. */
EbForwardClient *EbForwardClient_New(const EbForwardClientOptions *options);

/* Closes every connection; running calls end without an event. Accepts NULL.
 */
void EbForwardClient_Free(EbForwardClient *client);

typedef struct {
    uint64_t attempt_id;
    const char *server_id;
    const char *host;
    uint16_t port;
    const char *request_id; /* expected in the response; NULL: none, the call
                              gets a connection of its own */
    bool stream;            /* report events of a stream as they arrive */
    bool fresh_connection;  /* must not use an idle connection */
    /* Largest number of connections to the server, including this one. Idle
     * connections are closed to stay within it. 0: no limit. */
    uint32_t max_connections;
    /* The call is broken when it has not ended by then. 0: no limit; whoever
     * sent it cancels it. */
    int64_t timeout_us;
} EbForwardSend;

/* Starts a call. `send` and `message` are borrowed for the duration of this
 * call. If the call fails immediately, its event may be delivered before this
 * function returns. */
void EbForwardClient_Send(EbForwardClient *client, const EbForwardSend *send,
                          EbHttpMessage *message);

/* Cancels a call without an event and closes its connection. Unknown ids are
 * ignored. */
void EbForwardClient_Cancel(EbForwardClient *client, uint64_t attempt_id);

/* Closes the idle connections to a server. */
void EbForwardClient_CloseIdle(EbForwardClient *client, const char *server_id);

/* Pauses or resumes reading the response to a call. Unknown ids are ignored.
 */
void EbForwardClient_Pause(EbForwardClient *client, uint64_t attempt_id,
                           bool paused);

#endif
