/* EbHttpServer: evhttp with additional limits.
 *
 * Adds a limit on connections and a least rate for receiving a request and for
 * taking an answer. evhttp restarts its own time-out with each byte, so it
 * would never close the connection of a caller that sends or takes one byte at
 * a time. */
#ifndef EB_HTTP_SERVER_H
#define EB_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "client_guard.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/settings.h"

typedef struct EbHttpServer EbHttpServer;

typedef struct {
    struct event_base *base;
    const EbAddress *address;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_connections;
    /* Part of the descriptors of the process that its connections may have;
     * used with a guard. 0: no limit. */
    uint32_t descriptors_permille;
    /* Size of the kernel's send buffer for each connection; 0: the system's
     * default. A caller that does not read can occupy this much kernel memory
     * in addition to the process's own buffer. */
    uint32_t send_buffer_bytes;
    /* Longest time while idle, to receive a request and for a client to take
     * its answer; the last two get a second more for each kilobyte that has
     * passed. Without a guard, all three together without more. */
    int64_t header_timeout_us;
    /* Accounts of the clients' memory, shared with other listeners and
     * borrowed. NULL: none are kept. */
    EbClientGuard *guard;
    void (*request)(struct evhttp_request *request, void *context);
    /* Called when a connection on which a request arrived is being closed. May
     * be NULL. */
    void (*closed)(struct evhttp_connection *evcon, void *context);
    void *context;
} EbHttpServerOptions;

/* Starts listening. Returns NULL with `error` set if the address can't be
 * bound. */
EbHttpServer *EbHttpServer_New(const EbHttpServerOptions *options,
                               EbError *error);

/* Closes the listener and every connection. Accepts NULL. */
void EbHttpServer_Free(EbHttpServer *server);

uint16_t EbHttpServer_Port(const EbHttpServer *server);

/* Closes the listener. Open connections are closed after their next response.
 */
void EbHttpServer_StopAccepting(EbHttpServer *server);

size_t EbHttpServer_ConnectionCount(const EbHttpServer *server);

/* Starts the deadline for the connection's next request. After
 * EbHttpServer_StopAccepting, also adds "Connection: close" to the response.
 * Must be called for a complete response, before it is handed to evhttp. */
void EbHttpServer_ResponseComplete(EbHttpServer *server,
                                   struct evhttp_request *request);

/* Returns true if a connection still has output to send. */
bool EbHttpServer_HasUnsent(const EbHttpServer *server);

/* Sends a response and ends the request. A response to HEAD has the length of
 * the text and no body. */
void EbHttpServer_Send(EbHttpServer *server, struct evhttp_request *request,
                       int status, const char *content_type, const char *text,
                       size_t text_bytes);

/* Sends a response with a JSON body and ends the request. */
void EbHttpServer_SendJson(EbHttpServer *server,
                           struct evhttp_request *request, int status,
                           const char *content_type, const json_t *document);

/* Returns the bearer token of a request, or NULL if it has none. The token
 * belongs to the request. */
const char *EbHttp_BearerToken(struct evhttp_request *request);

/* Returns the value of a request header, or NULL if it is absent. The value
 * belongs to the request. */
const char *EbHttp_Header(struct evhttp_request *request, const char *name);

#endif
