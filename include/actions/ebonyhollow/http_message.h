/* EbHttpMessage: one HTTP request or answer whose body is passed on unread.
 *
 * Reference counted; immutable once it is shared. */
#ifndef EBONYHOLLOW_HTTP_MESSAGE_H
#define EBONYHOLLOW_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    char *name;
    char *value;
} EbHttpHeader;

typedef struct {
    uint32_t references;
    char *method;    /* requests */
    char *target;    /* requests: path and query as received */
    uint16_t status; /* answers */
    EbHttpHeader *headers;
    uint32_t header_count;
    uint8_t *body; /* NULL when empty */
    size_t body_bytes;
} EbHttpMessage;

/* Creates a request; both strings are copied. */
EbHttpMessage *EbHttpMessage_NewRequest(const char *method,
                                        const char *target);
EbHttpMessage *EbHttpMessage_NewResponse(uint16_t status);
EbHttpMessage *EbHttpMessage_Ref(EbHttpMessage *message);

/* Accepts NULL. */
void EbHttpMessage_Unref(EbHttpMessage *message);

/* Adds a header; both strings are copied. */
void EbHttpMessage_AddHeader(EbHttpMessage *message, const char *name,
                             const char *value);

/* Finds a header by name without regard to case (RFC 9110, section 5.1).
 *
 * Returns its first value, or NULL. */
const char *EbHttpMessage_FindHeader(const EbHttpMessage *message,
                                     const char *name);

/* Appends a copy of the bytes to the body. */
void EbHttpMessage_AddBody(EbHttpMessage *message, const void *bytes,
                           size_t byte_count);

/* Returns whether a header of this name belongs to one connection only (RFC
 * 9110, section 7.6.1): those that describe it or its framing, and those that
 * the message lists in Connection. */
bool EbHttpMessage_IsConnectionHeader(const EbHttpMessage *message,
                                      const char *name);

#endif
