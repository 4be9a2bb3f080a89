/* EbBackendConnections: kept connections to backend servers.
 *
 * A connection serves one call at a time. evhttp still uses a connection when
 * one of its callbacks returns, so that within them it is closed with
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
    GList *idle_link;   /* in the server's idle ones, NULL while not idle */
    bool wrote;         /* a byte of the current call went to the buffer */
    bool closed;        /* evhttp closed the socket */
    bool close_pending; /* freed in the next loop turn */
    int64_t since_us;   /* start of idling or of a stream's tail */
} EbBackendConnection;

/* The options must outlive the connections and have no field left at 0. */
EbBackendConnections *
EbBackendConnections_New(const EbBackendClientOptions *options);
void EbBackendConnections_Free(EbBackendConnections *pool);

/* Returns a connection for a call, an idle one unless the call asks for a
 * fresh one. */
EbBackendConnection *EbBackendConnections_Acquire(EbBackendConnections *pool,
                                                  const EbSendAttempt *send,
                                                  bool *opened);
/* Closes the idle connections to a server. */
void EbBackendConnections_CloseIdle(EbBackendConnections *pool,
                                    const char *server_id);
size_t EbBackendConnections_IdleCount(const EbBackendConnections *pool,
                                      const char *server_id);

/* Keeps a connection whose answer is complete, or closes it. */
void EbBackendConnection_Release(EbBackendConnection *connection);
void EbBackendConnection_Close(EbBackendConnection *connection);
void EbBackendConnection_CloseLater(EbBackendConnection *connection);

#endif
