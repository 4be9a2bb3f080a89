/* EbHttpReader: HTTP/1.1 messages from the bytes of one connection.
 *
 * Wraps Debian's http-parser and keeps what evhttp does not tell: how an
 * answer's end was framed, and that bytes follow a complete message. Ambiguous
 * framing (RFC 9112, section 6.3) is an error. */
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
    /* The head is complete; interim answers (1xx) are passed over. `message`
     * belongs to the callee. Returning false refuses the message. */
    bool (*head)(void *context, EbHttpMessage *message);
    /* Body bytes. Returning false refuses the message. */
    bool (*body)(void *context, const uint8_t *bytes, size_t byte_count);
    /* The message is complete. `reusable` says that another may follow on
     * this connection. */
    void (*complete)(void *context, bool reusable);
    void *context;
} EbHttpReaderOptions;

typedef enum {
    EB_HTTP_READ_MORE,     /* the message is not complete */
    EB_HTTP_READ_COMPLETE, /* it is; what follows was not consumed */
    EB_HTTP_READ_INVALID,  /* no HTTP, or refused by a callback */
    EB_HTTP_READ_TOO_LARGE /* the head exceeds its limit */
} EbHttpReadResult;

EbHttpReader *EbHttpReader_New(const EbHttpReaderOptions *options);
void EbHttpReader_Free(EbHttpReader *reader);

/* Takes bytes up to the end of one message.
 *
 * consumed: set to the number of bytes taken. */
EbHttpReadResult EbHttpReader_Feed(EbHttpReader *reader, const uint8_t *bytes,
                                   size_t byte_count, size_t *consumed);

/* The connection was closed in order. Returns true, after `complete`, when
 * that ends an answer without length. */
bool EbHttpReader_HandleEof(EbHttpReader *reader);

/* Returns whether a message has begun and is not complete. */
bool EbHttpReader_IsInMessage(const EbHttpReader *reader);

/* Tells that the next answer has no body, as one to HEAD. */
void EbHttpReader_SkipBody(EbHttpReader *reader, bool skip);

#endif
