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

typedef struct {
    const char *address; /* HOST:PORT or [IPv6]:PORT */
    const char *method;  /* GET, POST, PUT or DELETE */
    const char *path;
    const char *token; /* bearer token, or NULL */
    const char *body;  /* JSON text, or NULL */
    EbHttpHeader headers[EB_HTTP_MAX_HEADERS];
    size_t header_count;
    int64_t timeout_us; /* of the whole call */
    /* Takes the parts of an event stream as they arrive; NULL collects them
     * in the body. */
    void (*handle_chunk)(void *context, const char *bytes, size_t count);
    void *chunk_context;
} EbHttpRequest;

typedef struct {
    int status;
    GString *body;
    char *content_type; /* the strings are NULL when the header is absent */
    char *outcome;
    char *request_id;
    char *retry_after;
    bool replayed;
} EbHttpResponse;

typedef enum {
    EB_HTTP_ANSWERED,
    EB_HTTP_UNREACHABLE, /* no connection: nothing was sent */
    EB_HTTP_ANSWER_LOST, /* the call may have taken effect */
} EbHttpResult;

/* Calls a server and runs `base` until the answer is complete.
 *
 * Returns EB_HTTP_ANSWERED with `response` filled in; otherwise `error` is
 * set. The response is to be cleared in every case. */
EbHttpResult EbHttpClient_Call(struct event_base *base,
                               const EbHttpRequest *request,
                               EbHttpResponse *response, EbError *error);

void EbHttpResponse_Clear(EbHttpResponse *response);

/* Splits HOST:PORT or [IPv6]:PORT. Returns false for anything else; free the
 * host with g_free. */
bool EbHttpClient_SplitAddress(const char *address, char **host,
                               uint16_t *port);

#endif
