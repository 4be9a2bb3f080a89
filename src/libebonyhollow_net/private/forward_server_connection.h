/* Connections of EbForwardServer, shared by its source files. */
#ifndef EB_FORWARD_SERVER_CONNECTION_H
#define EB_FORWARD_SERVER_CONNECTION_H

#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <glib.h>

#include "client_guard.h"
#include "ebonyhollow/forward_server.h"
#include "http_reader.h"

/* What the connection waits for; each has a time-out of its own. */
typedef enum {
    EB_FORWARD_WAIT_NONE, /* for the answer, or until its output is sent */
    EB_FORWARD_WAIT_REQUEST,
    EB_FORWARD_WAIT_HEAD,
    EB_FORWARD_WAIT_BODY,
    EB_FORWARD_WAIT_CLOSE, /* input is discarded */
} EbForwardWait;

typedef struct {
    EbForwardServer *server;
    struct bufferevent *bufev;
    EbIntakeAccount *account;
    EbForwardWait wait;
    int64_t begin_us;       /* of the message being read */
    size_t head_held_bytes; /* of `message` while its body is read */
    size_t running_bytes;   /* of the running request and its copies */
    size_t answer_bytes;    /* of answers, kept until all output is sent */
    EbHttpReader *reader;
    EbHttpMessage *message;    /* being read */
    bool used;                 /* a request came on it */
    uint64_t request;          /* handle; 0: none is running */
    char *request_id;          /* of the running request */
    bool head_request;         /* the response has no body */
    bool head_sent;            /* of a stream */
    bool reusable;             /* the caller may send another request */
    bool paused;               /* reading from the backend server is paused */
    bool closing;              /* to be closed once the output is sent */
    int64_t linger_end_us;     /* when its input is being discarded */
    uint16_t rejection_status; /* for the message being read, or 0 */
} EbForwardConnection;

struct EbForwardServer {
    EbForwardServerOptions options;
    struct evconnlistener *listener; /* NULL after the server was stopped */
    struct event *accept_event;      /* the listener pauses until then */
    uint32_t max_connections;        /* within the descriptors */
    uint16_t port;
    struct EbClientGuard *guard;
    bool owns_guard;
    EbConfigLimits limits;   /* in force */
    GHashTable *connections; /* set of EbForwardConnection */
    GHashTable *requests;    /* handle -> EbForwardConnection */
    bool announce_close;
    bool stopped;
};

/* Adds a connection for an accepted socket, which it then owns. `address` is a
 * hash of the client's address. */
void EbForwardConnection_Open(EbForwardServer *server, struct event_base *base,
                              evutil_socket_t socket, uint64_t address);

/* Frees a connection; the destructor of the set of connections. */
void EbForwardConnection_Free(void *data);

/* Closes a connection. A running request is reported as abandoned. */
void EbForwardConnection_Close(EbForwardConnection *connection);

/* Closes the connection when its output has been sent, or now if it has none.
 */
void EbForwardConnection_CloseAfterOutput(EbForwardConnection *connection);

/* Returns whether the connection is closed after its next response. */
bool
EbForwardConnection_ClosesAfterResponse(const EbForwardConnection *connection);

void EbForwardConnection_WriteResponse(EbForwardConnection *connection,
                                       const EbHttpMessage *response);

/* Sets the time-out of what the connection waits for. */
void EbForwardConnection_SetWait(EbForwardConnection *connection,
                                 EbForwardWait wait);

/* Updates the account and the time-out after what the connection holds has
 * changed. */
void EbForwardConnection_Update(EbForwardConnection *connection);

/* Removes the running request and reads the next one. The connection may be
 * freed when this function returns. */
void EbForwardConnection_FinishRequest(EbForwardConnection *connection);

#endif
