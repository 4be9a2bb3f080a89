/* EbHttpReader: incremental parser for the HTTP/1.1 messages on a connection.
 *
 * Wraps Debian's http-parser and provides what evhttp does not report: how the
 * end of a response was framed, and whether bytes follow a complete message.
 * Ambiguous framing (RFC 9112, section 6.3) is an error. */
#ifndef EB_HTTP_READER_H
#define EB_HTTP_READER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/http_message.h"

typedef struct EbHttpReader EbHttpReader;

typedef enum { EB_HTTP_REQUESTS, EB_HTTP_RESPONSES } EbHttpReaderKind;

typedef struct {
    EbHttpReaderKind kind;
    size_t max_header_bytes;
    /* Called when the header section is complete. Interim responses (1xx) are
     * skipped. The callback takes ownership of `message`. Returns false to
     * reject the message. */
    bool (*head)(void *context, EbHttpMessage *message);
    /* Called for each part of the body. Returns false to reject the message.
     */
    bool (*body)(void *context, const uint8_t *bytes, size_t byte_count);
    /* Called when the message is complete. `reusable` is true if another
     * message may follow on this connection. */
    void (*complete)(void *context, bool reusable);
    void *context;
} EbHttpReaderOptions;

typedef enum {
    EB_HTTP_READ_MORE,     /* the message is not complete yet */
    EB_HTTP_READ_COMPLETE, /* complete; bytes after it were not consumed */
    EB_HTTP_READ_INVALID,  /* not valid HTTP, or rejected by a callback */
    /* The header section exceeds its limit, or so much else outside of the
     * body comes that the message might never end. */
    EB_HTTP_READ_TOO_LARGE
} EbHttpReadResult;

EbHttpReader *EbHttpReader_New(const EbHttpReaderOptions *options);

/* Accepts NULL. */
void EbHttpReader_Free(EbHttpReader *reader);

/* Parses bytes up to the end of one message.
 *
 * consumed: set to the number of bytes that were parsed. */
EbHttpReadResult EbHttpReader_Feed(EbHttpReader *reader, const uint8_t *bytes,
                                   size_t byte_count, size_t *consumed);

/* Handles the end of the input, when the other side closed the connection
 * without an error. If that completes a response without a length, calls the
 * `complete` callback and returns true; otherwise returns false. */
bool EbHttpReader_HandleEof(EbHttpReader *reader);

/* Returns whether the end of the input would complete the message: a response
 * without a length whose head has been read. */
bool EbHttpReader_EndsWithEof(const EbHttpReader *reader);

/* Returns true if a message has begun and is not complete. */
bool EbHttpReader_IsInMessage(const EbHttpReader *reader);

/* Returns the memory that the header section being read takes. */
size_t EbHttpReader_HeldBytes(const EbHttpReader *reader);

/* Sets the limit for the messages that have not begun. */
void EbHttpReader_SetMaxHeaderBytes(EbHttpReader *reader,
                                    size_t max_header_bytes);

/* Sets whether the following responses have no body, like a response to HEAD.
 */
void EbHttpReader_SkipBody(EbHttpReader *reader, bool skip);

#endif
