#include "event_splitter.h"

#include <string.h>

#include <glib.h>

#define MAX_EVENT_BYTES 1048576

struct EbEventSplitter {
    EbEventSplitterCallback found;
    void *context;
    GByteArray *held;
    size_t scanned; /* bytes of `held` without an empty line */
};

EbEventSplitter *
EbEventSplitter_New(EbEventSplitterCallback found, void *context)
{
    EbEventSplitter *blocks = g_new0(EbEventSplitter, 1);
    blocks->found = found;
    blocks->context = context;
    blocks->held = g_byte_array_new();
    return blocks;
}

void
EbEventSplitter_Free(EbEventSplitter *blocks)
{
    if (blocks == NULL) {
        return;
    }
    g_byte_array_free(blocks->held, TRUE);
    g_free(blocks);
}

void
EbEventSplitter_Reset(EbEventSplitter *blocks)
{
    g_byte_array_set_size(blocks->held, 0);
    blocks->scanned = 0;
}

bool
EbEventSplitter_IsEmpty(const EbEventSplitter *blocks)
{
    return blocks->held->len == 0;
}

/* Returns the id of an event, or -1 when it has none. */
static int64_t
find_id(const uint8_t *bytes, size_t byte_count)
{
    static const char field[] = "id:";
    size_t at = 0;
    while (at < byte_count) {
        const uint8_t *end = memchr(bytes + at, '\n', byte_count - at);
        size_t line_end = end != NULL ? (size_t)(end - bytes) : byte_count;
        if (line_end - at > strlen(field) &&
            memcmp(bytes + at, field, strlen(field)) == 0) {
            char text[24] = "";
            size_t start = at + strlen(field);
            size_t length = MIN(line_end - start, sizeof(text) - 1);
            memcpy(text, bytes + start, length);
            return g_ascii_strtoll(text, NULL, 10);
        }
        at = line_end + 1;
    }
    return -1;
}

/* Returns the length of the first whole event, or 0. */
static size_t
find_end(EbEventSplitter *blocks)
{
    const uint8_t *bytes = blocks->held->data;
    size_t length = blocks->held->len;
    for (size_t i = blocks->scanned; i + 1 < length; i++) {
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
    blocks->scanned = length > 3 ? length - 3 : 0;
    return 0;
}

bool
EbEventSplitter_Feed(EbEventSplitter *blocks, const uint8_t *bytes,
                     size_t byte_count)
{
    g_byte_array_append(blocks->held, bytes, (guint)byte_count);
    size_t end;
    while ((end = find_end(blocks)) > 0) {
        int64_t id = find_id(blocks->held->data, end);
        blocks->found(blocks->context, id, blocks->held->data, end);
        if (blocks->held->len < end) {
            return true; /* reset by the callee */
        }
        g_byte_array_remove_range(blocks->held, 0, (guint)end);
        blocks->scanned = 0;
    }
    return blocks->held->len <= MAX_EVENT_BYTES;
}
