/* EbForwardClient: forwarded calls to backend servers over HTTP/1.1.
 *
 * Performs what the dispatcher and the batcher hand out and reports
 * what happened. It decides nothing: it never sends a call twice and never
 * chooses a server. A connection carries one call at a time; an answer with
 * another request id is a late one to an earlier call and is dropped. */
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
    int64_t idle_timeout_us;      /* closed then, unless told; 0: 10 s */
    int64_t connect_timeout_us;   /* 0: 500 ms */
    size_t max_header_bytes;      /* of an answer; 0: 32 KiB */
    size_t max_body_bytes;        /* of an answer; 0: 8 MiB */
    /* Called with each event; what it points to is valid during the call. */
    void (*event)(void *context, const EbAttemptEvent *event);
    void *context;
} EbForwardClientOptions;

EbForwardClient *EbForwardClient_New(const EbForwardClientOptions *options);

/* Closes every connection; calls end without an event. */
void EbForwardClient_Free(EbForwardClient *client);

typedef struct {
    uint64_t attempt_id;
    const char *server_id;
    const char *host;
    uint16_t port;
    const char *request_id; /* echo that the answer must have, or NULL */
    bool stream;            /* report events of an event stream as they come */
    bool fresh_connection;  /* must not use an idle connection */
    /* To the server, with this one; idle ones are closed to keep it. 0: no
     * limit. */
    uint32_t max_connections;
} EbForwardSend;

/* Sends a message, of which it keeps a reference while it needs one. */
void EbForwardClient_Send(EbForwardClient *client, const EbForwardSend *send,
                          EbHttpMessage *message);

/* Ends a call without an event and closes its connection. Unknown ids are
 * ignored. */
void EbForwardClient_Cancel(EbForwardClient *client, uint64_t attempt_id);

/* Closes the idle connections to a server. */
void EbForwardClient_CloseIdle(EbForwardClient *client, const char *server_id);

/* Stops or resumes reading a call's answer. */
void EbForwardClient_Pause(EbForwardClient *client, uint64_t attempt_id,
                           bool paused);

#endif
