/* EbHttpMessage: an HTTP request or response whose body is passed on unread.
 *
 * Reference counted, and immutable once it is shared. */
#ifndef EBONYHOLLOW_HTTP_MESSAGE_H
#define EBONYHOLLOW_HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    char *name;
    char *value;
} EbHttpHeader;

/* Status codes (RFC 9110, section 15) that the treatment of a message depends
 * on. */
#define EB_HTTP_MIN_STATUS 100
#define EB_HTTP_FIRST_FINAL_STATUS 200
#define EB_HTTP_NO_CONTENT 204
#define EB_HTTP_NOT_MODIFIED 304
#define EB_HTTP_MAX_STATUS 599

/* Memory of a header besides its text: its entry, and the room that the list
 * has for more. */
#define EB_HTTP_HEADER_COST_BYTES 40

typedef struct {
    uint32_t references;
    char *method;    /* of a request */
    char *target;    /* of a request: path and query as received */
    uint16_t status; /* of a response */
    EbHttpHeader *headers;
    uint32_t header_count;
    uint8_t *body; /* NULL when empty */
    size_t body_bytes;
    bool invalid; /* a part of it was refused; it must not be sent */
    uint32_t header_capacity;            /* private */
    struct EbHttpTextBlock *text_blocks; /* private: names and values */
    size_t body_capacity;                /* private */
} EbHttpMessage;

/* Create a request or a response with one reference. The strings are copied.
 * A request is marked as invalid if its method is no token or its target has
 * control characters or spaces. */
EbHttpMessage *EbHttpMessage_NewRequest(const char *method,
                                        const char *target);
EbHttpMessage *EbHttpMessage_NewResponse(uint16_t status);

/* Adds a reference and returns `message`. */
EbHttpMessage *EbHttpMessage_Ref(EbHttpMessage *message);

/* Drops a reference and frees the message with the last one. Accepts NULL. */
void EbHttpMessage_Unref(EbHttpMessage *message);

/* Returns whether `name` can be the name of a field: a token (RFC 9110,
 * section 5.6.2). */
bool EbHttpMessage_IsFieldName(const char *name);

/* Returns whether `value` can be the value of a field (RFC 9110, section 5.5):
 * it has no control characters besides the tab. A line end would begin another
 * field or end the header section. */
bool EbHttpMessage_IsFieldValue(const char *value);

/* Adds a header; both strings are copied.
 *
 * Returns false, with the message unchanged but marked as invalid, if the name
 * or the value can't be one of a field. */
bool EbHttpMessage_AddHeader(EbHttpMessage *message, const char *name,
                             const char *value);

/* Finds a header by name, ignoring case (RFC 9110, section 5.1).
 *
 * Returns the value of the first header with this name, or NULL. Borrowed. */
const char *EbHttpMessage_FindHeader(const EbHttpMessage *message,
                                     const char *name);

/* Returns whether a response with this status has a body: not an interim one,
 * 204 and 304 (RFC 9112, section 6.3), whatever length they name. */
bool EbHttpMessage_StatusAllowsBody(uint16_t status);

/* Makes room for a body of this size. */
void EbHttpMessage_ReserveBody(EbHttpMessage *message, size_t byte_count);

/* Appends a copy of the bytes to the body. */
void EbHttpMessage_AddBody(EbHttpMessage *message, const void *bytes,
                           size_t byte_count);

/* Returns the memory that a message takes, the cost of each header included.
 */
size_t EbHttpMessage_HeldBytes(const EbHttpMessage *message);

/* The headers of one message that apply to its connection only and must not be
 * forwarded (RFC 9110, section 7.6.1): those that describe the connection or
 * the message framing, and those that its Connection headers list. */
typedef struct {
    char *list;         /* private: the names, each with its end */
    const char **names; /* private: the names in `list`, sorted */
    size_t count;       /* private */
} EbHopHeaders;

/* Reads all Connection headers of a message once. The names are sorted, so
 * that a long list, whatever its names, doesn't hold up the caller.
 * EbHopHeaders_Clear frees what it takes. */
void EbHopHeaders_Init(EbHopHeaders *headers, const EbHttpMessage *message);

/* Returns whether a header of this name, in any case, must not be forwarded.
 */
bool EbHopHeaders_Contain(const EbHopHeaders *headers, const char *name);

void EbHopHeaders_Clear(EbHopHeaders *headers);

#endif
