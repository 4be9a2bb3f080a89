/* EbHttpClient: one HTTP call at a time, for the operators' command. */
#ifndef EB_HTTP_CLIENT_H
#define EB_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/error.h"

#define EB_HTTP_MAX_BODY_BYTES 16777216
#define EB_HTTP_MAX_HEADERS 8

typedef struct {
    const char *name;
    const char *value;
} EbHttpHeader;

/* A call to make. The strings are borrowed. */
typedef struct {
    const char *address; /* HOST:PORT or [IPv6]:PORT */
    const char *method;  /* GET, POST, PUT or DELETE */
    const char *path;
    const char *token; /* bearer token, or NULL */
    const char *body;  /* JSON text, or NULL */
    EbHttpHeader headers[EB_HTTP_MAX_HEADERS];
    size_t header_count;
    int64_t timeout_us; /* of the whole call, and of each attempt to connect */
    /* Receives each part of an event stream (status 200) as it arrives, with
     * `chunk_context`. If NULL, the stream is collected in the body. */
    void (*handle_chunk)(void *context, const char *bytes, size_t count);
    void *chunk_context;
} EbHttpRequest;

typedef struct {
    int status; /* 0: no complete answer */
    GString *body;
    /* Values of headers; NULL if the answer does not have the header. */
    char *content_type;
    char *outcome;
    char *request_id;
    char *retry_after;
    bool replayed;
} EbHttpResponse;

typedef enum {
    EB_HTTP_ANSWERED,
    EB_HTTP_UNREACHABLE, /* no connection or an invalid request: nothing was
                          * sent */
    EB_HTTP_ANSWER_LOST, /* no complete answer: the call may have taken
                          * effect */
} EbHttpResult;

/* Calls a server and runs `base` until the answer is complete or the time
 * limit has passed.
 *
 * response: always initialized; the caller frees its members with
 *     EbHttpResponse_Clear, whatever the result.
 * error: set unless the result is EB_HTTP_ANSWERED. The code is
 *     EB_ERROR_USAGE for an invalid address or header, otherwise
 *     EB_ERROR_UNAVAILABLE.
 *
 * Returns EB_HTTP_ANSWERED with `response` filled in for an answer with any
 * status. */
EbHttpResult EbHttpClient_Call(struct event_base *base,
                               const EbHttpRequest *request,
                               EbHttpResponse *response, EbError *error);

/* Frees the members of a response. */
void EbHttpResponse_Clear(EbHttpResponse *response);

/* Splits HOST:PORT or [IPv6]:PORT.
 *
 * host: set to the host without brackets; freed with g_free.
 * port: set to the port, 1 to 65535.
 *
 * Returns false for anything else, with `host` and `port` unchanged. */
bool EbHttpClient_SplitAddress(const char *address, char **host,
                               uint16_t *port);

#endif
