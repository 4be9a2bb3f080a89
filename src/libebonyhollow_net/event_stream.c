#include "event_stream.h"

#include <string.h>

#include <glib.h>

struct EbEventStream {
    GString *line; /* start of an incomplete line */
    size_t max_line_bytes;
    EbEventStreamCallback callback;
    void *context;
};

EbEventStream *
EbEventStream_New(size_t max_line_bytes, EbEventStreamCallback callback,
                  void *context)
{
    EbEventStream *stream = g_new0(EbEventStream, 1);
    stream->line = g_string_new(NULL);
    stream->max_line_bytes = max_line_bytes;
    stream->callback = callback;
    stream->context = context;
    return stream;
}

void
EbEventStream_Free(EbEventStream *stream)
{
    if (stream == NULL) {
        return;
    }
    g_string_free(stream->line, TRUE);
    g_free(stream);
}

/* Handles a complete line without its newline. */
static bool
handle_line(EbEventStream *stream, const char *line, size_t length)
{
    static const char field[] = "data:";
    if (length > 0 && line[length - 1] == '\r') {
        length--;
    }
    if (length < sizeof(field) - 1 ||
        memcmp(line, field, sizeof(field) - 1) != 0) {
        return true;
    }
    line += sizeof(field) - 1;
    length -= sizeof(field) - 1;
    if (length > 0 && line[0] == ' ') {
        line++;
        length--;
    }
    return stream->callback(stream->context, line, length);
}

bool
EbEventStream_Feed(EbEventStream *stream, const char *bytes, size_t byte_count)
{
    while (byte_count > 0) {
        const char *newline = memchr(bytes, '\n', byte_count);
        size_t line_bytes = newline ? (size_t)(newline - bytes) : byte_count;
        if (stream->line->len + line_bytes > stream->max_line_bytes) {
            return false;
        }
        g_string_append_len(stream->line, bytes, (gssize)line_bytes);
        if (newline == NULL) {
            return true;
        }
        bool proceed =
            handle_line(stream, stream->line->str, stream->line->len);
        g_string_truncate(stream->line, 0);
        if (!proceed) {
            return false;
        }
        bytes = newline + 1;
        byte_count -= line_bytes + 1;
    }
    return true;
}
