#include "http_reader.h"

#include <string.h>

#include <glib.h>
#include <http_parser.h>

/* What on_headers_complete returns to the parser. */
#define HEAD_READ 0
#define HEAD_READ_NO_BODY 1
#define HEAD_REJECTED (-1)
/* What the parser states as the length of a body that has none. */
#define LENGTH_UNKNOWN UINT64_MAX
/* Bytes of a message outside of its body, as a multiple of the limit on names
 * and values: separators, empty lines and interim responses count too. */
#define FRAMING_FACTOR 2
/* Bytes that each chunk may take in addition for its size and extensions. */
#define CHUNK_FRAMING_BYTES 64

/* The part of a message that is being read. */
typedef enum {
    PART_NONE,    /* no message has begun */
    PART_HEAD,    /* start line and header fields */
    PART_INTERIM, /* behind the head of an interim response */
    PART_BODY     /* behind the head of another message: its body, then the
                     trailer fields */
} MessagePart;

struct EbHttpReader {
    EbHttpReaderOptions options;
    http_parser parser;
    MessagePart part;
    EbHttpMessage *message; /* in PART_HEAD, otherwise NULL */
    GString *target;
    GString *name;
    GString *value;
    size_t header_bytes;
    size_t body_bytes;    /* passed to the callback by the current call */
    size_t framing_bytes; /* parsed and not of the body, interim responses
                             before this message included */
    size_t chunk_count;
    bool in_value;
    bool open_ended; /* the body ends with the input */
    bool complete;
    bool too_large;
    bool bad_field; /* a field has an invalid name or value */
    bool skip_body;
};

/* Adds a field to the head that is being read. Trailer fields are discarded,
 * as RFC 9110, section 6.5.1, allows.
 *
 * The parser accepts spaces in a name, so the next recipient might interpret a
 * field like "Length :" differently; such a field makes the message invalid.
 */
static void
finish_field(EbHttpReader *reader)
{
    const char *name = reader->name->str;
    if (reader->name->len > 0) {
        bool valid = reader->part == PART_HEAD
                         ? EbHttpMessage_AddHeader(reader->message, name,
                                                   reader->value->str)
                         : EbHttpMessage_IsFieldName(name);
        reader->bad_field = reader->bad_field || !valid;
    }
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->in_value = false;
}

static int
count_header_bytes(EbHttpReader *reader, size_t bytes)
{
    reader->header_bytes += bytes;
    reader->too_large =
        reader->header_bytes > reader->options.max_header_bytes;
    return reader->too_large ? 1 : 0;
}

static int
on_begin(http_parser *parser)
{
    EbHttpReader *reader = parser->data;
    reader->part = PART_HEAD;
    reader->bad_field = false;
    reader->header_bytes = 0;
    g_string_truncate(reader->target, 0);
    EbHttpMessage_Unref(reader->message);
    /* on_headers_complete fills in the status, or the method and target. */
    reader->message = EbHttpMessage_NewResponse(0);
    return 0;
}

static int
on_url(http_parser *parser, const char *at, size_t length)
{
    EbHttpReader *reader = parser->data;
    g_string_append_len(reader->target, at, (gssize)length);
    return count_header_bytes(reader, length);
}

static int
on_header_field(http_parser *parser, const char *at, size_t length)
{
    EbHttpReader *reader = parser->data;
    if (reader->in_value) {
        finish_field(reader);
    }
    g_string_append_len(reader->name, at, (gssize)length);
    return count_header_bytes(reader, length);
}

static int
on_header_value(http_parser *parser, const char *at, size_t length)
{
    EbHttpReader *reader = parser->data;
    reader->in_value = true;
    g_string_append_len(reader->value, at, (gssize)length);
    return count_header_bytes(reader, length);
}

/* Returns whether another protocol follows on the connection. A request to
 * change to one is ignored (RFC 9110, section 7.8), but not CONNECT; a
 * response that changes it was not asked for. */
static bool
changes_protocol(const EbHttpReader *reader)
{
    const http_parser *parser = &reader->parser;
    return parser->upgrade != 0 &&
           (reader->options.kind == EB_HTTP_RESPONSES ||
            parser->method == HTTP_CONNECT);
}

static bool
has_valid_status(const EbHttpReader *reader)
{
    unsigned status = reader->parser.status_code;
    return reader->options.kind == EB_HTTP_REQUESTS ||
           (status >= EB_HTTP_MIN_STATUS && status <= EB_HTTP_MAX_STATUS);
}

static int
on_headers_complete(http_parser *parser)
{
    EbHttpReader *reader = parser->data;
    finish_field(reader);
    EbHttpMessage *message = reader->message;
    reader->message = NULL;
    reader->part = PART_BODY;
    if (reader->options.kind == EB_HTTP_RESPONSES) {
        reader->open_ended = (parser->flags & F_CHUNKED) == 0 &&
                             parser->content_length == LENGTH_UNKNOWN;
        message->status = (uint16_t)parser->status_code;
        if (message->status < EB_HTTP_FIRST_FINAL_STATUS) {
            reader->part = PART_INTERIM;
        }
    }
    else {
        message->method =
            g_strdup(http_method_str((enum http_method)parser->method));
        message->target = g_strdup(reader->target->str);
    }
    if (changes_protocol(reader) || reader->bad_field ||
        !has_valid_status(reader)) {
        EbHttpMessage_Unref(message);
        return HEAD_REJECTED;
    }
    if (reader->part == PART_INTERIM) {
        /* It ends with its header section, whatever length it names (RFC 9112,
         * section 6.3). */
        EbHttpMessage_Unref(message);
        return HEAD_READ_NO_BODY;
    }
    bool has_body = reader->options.kind == EB_HTTP_REQUESTS ||
                    EbHttpMessage_StatusAllowsBody(message->status);
    if (!reader->options.head(reader->options.context, message)) {
        return HEAD_REJECTED;
    }
    return reader->skip_body || !has_body ? HEAD_READ_NO_BODY : HEAD_READ;
}

static int
on_body(http_parser *parser, const char *at, size_t length)
{
    EbHttpReader *reader = parser->data;
    if (reader->part != PART_BODY) {
        return -1;
    }
    reader->body_bytes += length;
    return reader->options.body(reader->options.context, (const uint8_t *)at,
                                length)
               ? 0
               : 1;
}

static int
on_chunk_header(http_parser *parser)
{
    EbHttpReader *reader = parser->data;
    reader->chunk_count++;
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    EbHttpReader *reader = parser->data;
    bool interim = reader->part == PART_INTERIM;
    finish_field(reader);
    reader->part = PART_NONE;
    if (reader->bad_field) {
        return -1;
    }
    if (interim) {
        return 0;
    }
    reader->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
    .on_chunk_header = on_chunk_header,
};

EbHttpReader *
EbHttpReader_New(const EbHttpReaderOptions *options)
{
    EbHttpReader *reader = g_new0(EbHttpReader, 1);
    reader->options = *options;
    http_parser_init(&reader->parser, options->kind == EB_HTTP_REQUESTS
                                          ? HTTP_REQUEST
                                          : HTTP_RESPONSE);
    reader->parser.data = reader;
    reader->target = g_string_new(NULL);
    reader->name = g_string_new(NULL);
    reader->value = g_string_new(NULL);
    return reader;
}

void
EbHttpReader_Free(EbHttpReader *reader)
{
    if (reader == NULL) {
        return;
    }
    EbHttpMessage_Unref(reader->message);
    g_string_free(reader->target, TRUE);
    g_string_free(reader->name, TRUE);
    g_string_free(reader->value, TRUE);
    g_free(reader);
}

/* Returns whether a message has so many bytes outside of its body that it
 * might never end. The parser reports some of them to no callback. */
static bool
exceeds_framing(const EbHttpReader *reader)
{
    return reader->framing_bytes >
           FRAMING_FACTOR * reader->options.max_header_bytes +
               CHUNK_FRAMING_BYTES * reader->chunk_count;
}

static bool
report_complete(EbHttpReader *reader)
{
    if (!reader->complete) {
        return false;
    }
    reader->complete = false;
    reader->framing_bytes = 0;
    reader->chunk_count = 0;
    bool reusable = http_should_keep_alive(&reader->parser) != 0;
    reader->options.complete(reader->options.context, reusable);
    return true;
}

EbHttpReadResult
EbHttpReader_Feed(EbHttpReader *reader, const uint8_t *bytes,
                  size_t byte_count, size_t *consumed)
{
    http_parser *parser = &reader->parser;
    if (HTTP_PARSER_ERRNO(parser) == HPE_PAUSED) {
        http_parser_pause(parser, 0);
    }
    reader->body_bytes = 0;
    *consumed = http_parser_execute(parser, &callbacks, (const char *)bytes,
                                    byte_count);
    if (*consumed > reader->body_bytes) {
        reader->framing_bytes += *consumed - reader->body_bytes;
    }
    enum http_errno code = HTTP_PARSER_ERRNO(parser);
    if (reader->too_large || code == HPE_HEADER_OVERFLOW ||
        (!reader->complete && exceeds_framing(reader))) {
        return EB_HTTP_READ_TOO_LARGE;
    }
    if (code != HPE_OK && code != HPE_PAUSED) {
        return EB_HTTP_READ_INVALID;
    }
    return report_complete(reader) ? EB_HTTP_READ_COMPLETE : EB_HTTP_READ_MORE;
}

bool
EbHttpReader_HandleEof(EbHttpReader *reader)
{
    if (reader->part != PART_BODY) {
        return false;
    }
    http_parser_execute(&reader->parser, &callbacks, NULL, 0);
    return report_complete(reader);
}

bool
EbHttpReader_EndsWithEof(const EbHttpReader *reader)
{
    return reader->part == PART_BODY && reader->open_ended;
}

bool
EbHttpReader_IsInMessage(const EbHttpReader *reader)
{
    return reader->part != PART_NONE;
}

size_t
EbHttpReader_HeldBytes(const EbHttpReader *reader)
{
    size_t count = reader->message != NULL ? reader->message->header_count : 0;
    return reader->header_bytes + count * EB_HTTP_HEADER_COST_BYTES;
}

void
EbHttpReader_SetMaxHeaderBytes(EbHttpReader *reader, size_t max_header_bytes)
{
    reader->options.max_header_bytes = max_header_bytes;
}

void
EbHttpReader_SkipBody(EbHttpReader *reader, bool skip)
{
    reader->skip_body = skip;
}
