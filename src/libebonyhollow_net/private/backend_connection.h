/* EbBackendConnections: pool of persistent connections to backend servers.
 *
 * A connection serves one call at a time. evhttp still uses a connection after
 * one of its callbacks returns, so such a callback must close it with
 * EbBackendConnection_CloseLater(). */
#ifndef EB_BACKEND_CONNECTION_H
#define EB_BACKEND_CONNECTION_H

#include <event2/http.h>
#include <glib.h>

#include "ebonyhollow/backend_client.h"

typedef struct EbBackendConnections EbBackendConnections;

typedef struct {
    EbBackendConnections *pool;
    struct EbBackendServer *server;
    struct evhttp_connection *evcon;
    struct EbBackendAttempt *attempt; /* NULL while idle or closing */
    GList *idle_link; /* in the server's idle queue; NULL while not idle */
    bool wrote;       /* a byte of the current call was written */
    size_t received_bytes; /* in the current call */
    size_t buffered_bytes; /* of them, those that are kept until its end */
    bool streams;          /* what is received is parsed and not kept */
    bool closed;           /* evhttp closed the socket */
    bool close_pending;    /* freed in the next iteration of the event loop */
    int64_t call_ended_us;
} EbBackendConnection;

/* Called when more was received in a call than a response can have. The
 * connection is still in use by evhttp. */
typedef void (*EbBackendOverflowHandler)(EbBackendConnection *connection);

/* The options must outlive the connections. Members that are 0 must have been
 * replaced by their defaults. */
EbBackendConnections *
EbBackendConnections_New(const EbBackendClientOptions *options,
                         EbBackendOverflowHandler overflow);
void EbBackendConnections_Free(EbBackendConnections *pool);

/* Returns a connection for a call: an idle one if there is one and the call
 * does not require a fresh one, or else a new one.
 *
 * opened: set to whether the connection is new. */
EbBackendConnection *EbBackendConnections_Acquire(EbBackendConnections *pool,
                                                  const EbSendAttempt *send,
                                                  bool *opened);
/* Closes the idle connections to a server. */
void EbBackendConnections_CloseIdle(EbBackendConnections *pool,
                                    const char *server_id);
size_t EbBackendConnections_IdleCount(const EbBackendConnections *pool,
                                      const char *server_id);

/* Prepares a connection for the bytes of a new call. */
void EbBackendConnection_StartCall(EbBackendConnection *connection);

/* States that the rest of the call's response is a stream. */
void EbBackendConnection_StartStream(EbBackendConnection *connection);

/* Makes a connection idle after its response was read completely, or closes
 * it if it can't be reused. */
void EbBackendConnection_Release(EbBackendConnection *connection);

/* Closes and frees a connection at once. */
void EbBackendConnection_Close(EbBackendConnection *connection);

/* Closes and frees a connection in the next iteration of the event loop. Does
 * nothing if that is pending already. */
void EbBackendConnection_CloseLater(EbBackendConnection *connection);

#endif
