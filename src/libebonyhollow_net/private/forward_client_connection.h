/* Connections of EbForwardClient and the calls on them, shared by its source
 * files. */
#ifndef EB_FORWARD_CLIENT_CONNECTION_H
#define EB_FORWARD_CLIENT_CONNECTION_H

#include <event2/bufferevent.h>
#include <glib.h>

#include "ebonyhollow/forward_client.h"
#include "event_splitter.h"
#include "http_reader.h"

typedef struct {
    EbForwardClient *client;
    char *server_id;
    struct bufferevent *bufev;
    EbHttpReader *reader;

    uint64_t attempt_id; /* 0: no call */
    char *request_id;
    bool stream;
    bool head_request; /* the response has no body */
    bool wrote;        /* bytes of the call may have been sent */
    bool reused;       /* the connection carried an earlier call */
    EbHttpMessage *response;
    size_t body_bytes; /* of its body, in `buffered_bytes` */
    EbForwardReply reply;
    bool streaming;        /* the response is an event stream */
    int64_t last_event_id; /* greatest of the stream, -1: none */
    size_t stale_event_bytes;
    bool late_response; /* the response belongs to an earlier call */
    size_t late_bytes;  /* of the bodies of such responses */
    EbEventSplitter *splitter;
    size_t event_bytes; /* of an incomplete event, in `buffered_bytes` */
    int64_t idle_since_us;
    int64_t idle_timeout_us;
    struct event *timeout; /* of the call; NULL: none */
    bool done;             /* the call ended; reuse or free the connection */
    bool reusable;
} EbForwardClientConnection;

struct EbForwardClient {
    EbForwardClientOptions options;
    GHashTable *calls; /* attempt id -> connection */
    GHashTable *idle;  /* server id -> GQueue of connections, newest first */
    GHashTable *connections; /* set */
    size_t buffered_bytes;   /* of the bodies of incomplete responses and of
                                incomplete events */
};

/* Creates what reads the responses on a connection. */
void EbForwardClientCall_OpenReader(EbForwardClientConnection *connection);

/* Reports the last event of a call and detaches it from the connection. */
void EbForwardClientCall_End(EbForwardClientConnection *connection,
                             EbAttemptEventKind kind);

/* Frees the response that is being read, or the last one. */
void EbForwardClientCall_DropResponse(EbForwardClientConnection *connection);

/* Discards the bytes of an event that is not complete. */
void EbForwardClientCall_DropEvent(EbForwardClientConnection *connection);

/* Stops the time-out of a call, if it has one. */
void EbForwardClientCall_ClearTimeout(EbForwardClientConnection *connection);

#endif
