#include "event_splitter.h"

#include <string.h>

#include <glib.h>

/* Limit on an incomplete event. */
#define MAX_EVENT_BYTES 1048576

struct EbEventSplitter {
    EbEventSplitterCallback callback;
    void *context;
    GByteArray *buffer;
    size_t scanned_bytes; /* no empty line begins in these bytes of `buffer` */
};

EbEventSplitter *
EbEventSplitter_New(EbEventSplitterCallback callback, void *context)
{
    EbEventSplitter *splitter = g_new0(EbEventSplitter, 1);
    splitter->callback = callback;
    splitter->context = context;
    splitter->buffer = g_byte_array_new();
    return splitter;
}

void
EbEventSplitter_Free(EbEventSplitter *splitter)
{
    if (splitter == NULL) {
        return;
    }
    g_byte_array_free(splitter->buffer, TRUE);
    g_free(splitter);
}

void
EbEventSplitter_Reset(EbEventSplitter *splitter)
{
    g_byte_array_set_size(splitter->buffer, 0);
    splitter->scanned_bytes = 0;
}

size_t
EbEventSplitter_BufferedBytes(const EbEventSplitter *splitter)
{
    return splitter->buffer->len;
}

/* Returns the id of an event, or -1 if it has none. */
static int64_t
find_id(const uint8_t *bytes, size_t byte_count)
{
    static const char field[] = "id:";
    size_t line_start = 0;
    while (line_start < byte_count) {
        const uint8_t *end =
            memchr(bytes + line_start, '\n', byte_count - line_start);
        size_t line_end = end != NULL ? (size_t)(end - bytes) : byte_count;
        if (line_end - line_start > strlen(field) &&
            memcmp(bytes + line_start, field, strlen(field)) == 0) {
            char text[24] = "";
            size_t start = line_start + strlen(field);
            size_t length = MIN(line_end - start, sizeof(text) - 1);
            memcpy(text, bytes + start, length);
            return g_ascii_strtoll(text, NULL, 10);
        }
        line_start = line_end + 1;
    }
    return -1;
}

/* Returns the length of the first whole event in bytes, or 0 if there is none.
 */
static size_t
find_end(EbEventSplitter *splitter)
{
    const uint8_t *bytes = splitter->buffer->data;
    size_t length = splitter->buffer->len;
    for (size_t i = splitter->scanned_bytes; i + 1 < length; i++) {
        if (bytes[i] != '\n') {
            continue;
        }
        if (bytes[i + 1] == '\n') {
            return i + 2;
        }
        if (i + 2 < length && bytes[i + 1] == '\r' && bytes[i + 2] == '\n') {
            return i + 3;
        }
    }
    splitter->scanned_bytes = length > 3 ? length - 3 : 0;
    return 0;
}

bool
EbEventSplitter_Feed(EbEventSplitter *splitter, const uint8_t *bytes,
                     size_t byte_count)
{
    g_byte_array_append(splitter->buffer, bytes, (guint)byte_count);
    size_t end;
    while ((end = find_end(splitter)) > 0) {
        int64_t id = find_id(splitter->buffer->data, end);
        splitter->callback(splitter->context, id, splitter->buffer->data, end);
        if (splitter->buffer->len < end) {
            return true; /* the callback reset the splitter */
        }
        g_byte_array_remove_range(splitter->buffer, 0, (guint)end);
        splitter->scanned_bytes = 0;
    }
    return splitter->buffer->len <= MAX_EVENT_BYTES;
}
