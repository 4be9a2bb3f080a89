/* EbHttpServer: evhttp with limits that it lacks.
 *
 * Adds a bound of connections and a deadline for a whole request: evhttp's
 * own time-out starts again with each byte, so that a caller that sends one
 * byte at a time would never be closed. */
#ifndef EB_HTTP_SERVER_H
#define EB_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <jansson.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/settings.h"

typedef struct EbHttpServer EbHttpServer;

typedef struct {
    struct event_base *base;
    const EbAddress *address;
    uint32_t max_body_bytes;
    uint32_t max_header_bytes;
    uint32_t max_connections;
    /* Socket buffer for output; 0: the system's. A caller that does not read
     * holds that much of the kernel's memory besides the process's. */
    uint32_t send_buffer_bytes;
    int64_t header_timeout_us; /* for a whole request, and while idle */
    void (*request)(struct evhttp_request *request, void *context);
    /* A connection on which a request arrived is going down. */
    void (*closed)(struct evhttp_connection *evcon, void *context);
    void *context;
} EbHttpServerOptions;

EbHttpServer *EbHttpServer_New(const EbHttpServerOptions *options,
                               EbError *error);
void EbHttpServer_Free(EbHttpServer *server);
uint16_t EbHttpServer_Port(const EbHttpServer *server);
void EbHttpServer_StopAccepting(EbHttpServer *server);
size_t EbHttpServer_ConnectionCount(const EbHttpServer *server);

/* Starts the deadline of the connection's next request. Call it when a
 * response is complete, before it is given to evhttp. */
void EbHttpServer_ResponseComplete(EbHttpServer *server,
                                   struct evhttp_request *request);

/* Connections whose last response may not be sent completely. */
bool EbHttpServer_HasUnsent(const EbHttpServer *server);

/* Sends a JSON document with a status and ends the request. */
void EbHttpServer_SendJson(EbHttpServer *server,
                           struct evhttp_request *request, int status,
                           const char *content_type, const json_t *document);

/* Returns the bearer token of a request, or NULL. */
const char *EbHttp_BearerToken(struct evhttp_request *request);

const char *EbHttp_Header(struct evhttp_request *request, const char *name);

#endif
