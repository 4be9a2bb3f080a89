/* EbForwardResponse: writes responses to callers of forwarded requests. */
#ifndef EB_FORWARD_RESPONSE_H
#define EB_FORWARD_RESPONSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/http_message.h"

struct evbuffer;

/* Builds the response to a request that no backend server answered. The caller
 * drops its reference.
 *
 * request_id: of the request, which the response repeats. */
EbHttpMessage *EbForwardResponse_New(const EbForwardProtocol *protocol,
                                     const char *request_id,
                                     const EbAnswer *answer);

/* Appends a whole response. Its body is not copied: a reference to the
 * response is kept until the body has been sent.
 *
 * A response to HEAD and one whose status allows no body (RFC 9112, section
 * 6.3) ends with its head. The head then has the length that the response
 * itself names, if it may have one (RFC 9110, section 8.6).
 *
 * head_request: it answers a HEAD request.
 * close: the connection is closed after it. */
void EbForwardResponse_Write(struct evbuffer *output,
                             const EbHttpMessage *response, bool head_request,
                             bool close);

/* Appends the head of a response whose body follows in chunks. */
void EbForwardResponse_WriteStreamHead(struct evbuffer *output,
                                       const EbHttpMessage *head, bool close);

/* Appends a chunk (RFC 9112, 7.1); `byte_count` is at least 1. */
void EbForwardResponse_WriteChunk(struct evbuffer *output,
                                  const uint8_t *bytes, size_t byte_count);

#endif
