/* The forms of misbehaviour. The lengths are those of the users' pages: a body
 * may have 4 MiB and a header section 16 KiB. */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "crowd.h"

#define BODY_BYTES 4194304
#define DOCUMENT_BYTES 1000000 /* below the operators' limit */
#define FIELD_BYTES 15500      /* with the other fields below 16 KiB */
#define TOO_LARGE_BYTES ((size_t)3 * BODY_BYTES)
#define CHUNK_BYTES 16384
#define SMALL_CHUNKS 50000
#define REQUESTS_AHEAD 200

typedef struct {
    char *bytes;
    size_t length;
    size_t size;
} Text;

static void
reserve(Text *text, size_t more)
{
    if (text->length + more > text->size) {
        text->size = 2 * (text->length + more);
        text->bytes = realloc(text->bytes, text->size);
        if (text->bytes == NULL) {
            abort();
        }
    }
}

static void
add(Text *text, const char *format, ...)
{
    char line[512];
    va_list arguments;
    va_start(arguments, format);
    int length = vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    reserve(text, (size_t)length);
    memcpy(text->bytes + text->length, line, (size_t)length);
    text->length += (size_t)length;
}

static void
fill(Text *text, size_t count)
{
    reserve(text, count);
    memset(text->bytes + text->length, 'b', count);
    text->length += count;
}

static void
add_head(Text *text, const char *path, const char *id)
{
    const char *token = getenv("CROWD_TOKEN");
    add(text,
        "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"
        "Content-Type: application/json\r\nAttempt-Id: %s\r\n"
        "Eb-Request-Id: %s\r\nDeadline-Ms: 15000\r\n",
        path, token != NULL ? token : "k-1", id, id);
}

static void
add_length(Text *text, size_t length)
{
    add(text, "Content-Length: %zu\r\n\r\n", length);
}

static void
start_chunks(Text *text, const char *path, const char *id)
{
    add_head(text, path, id);
    add(text, "Transfer-Encoding: chunked\r\n\r\n");
}

static void
add_chunks(Text *text, size_t bytes)
{
    for (size_t done = 0; done < bytes; done += CHUNK_BYTES) {
        add(text, "%x\r\n", CHUNK_BYTES);
        fill(text, CHUNK_BYTES);
        add(text, "\r\n");
    }
}

static size_t
take(Text *text, char **bytes)
{
    *bytes = text->bytes;
    return text->length;
}

static size_t
make_whole_body(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add_length(&text, BODY_BYTES);
    fill(&text, BODY_BYTES);
    return take(&text, bytes);
}

static size_t
make_short_body(const char *path, const char *id, char **bytes)
{
    return make_whole_body(path, id, bytes) - 1;
}

static size_t
make_short_document(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add_length(&text, DOCUMENT_BYTES);
    fill(&text, DOCUMENT_BYTES - 1);
    return take(&text, bytes);
}

static size_t
make_chunks(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    start_chunks(&text, path, id);
    add_chunks(&text, BODY_BYTES);
    return take(&text, bytes);
}

static size_t
make_small_chunks(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    start_chunks(&text, path, id);
    for (int i = 0; i < SMALL_CHUNKS; i++) {
        add(&text, "1;extension=value\r\nb\r\n");
    }
    return take(&text, bytes);
}

static size_t
make_large_body(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add_length(&text, TOO_LARGE_BYTES);
    fill(&text, TOO_LARGE_BYTES);
    return take(&text, bytes);
}

static size_t
make_endless_chunks(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    start_chunks(&text, path, id);
    add_chunks(&text, TOO_LARGE_BYTES);
    return take(&text, bytes);
}

static size_t
make_absurd_length(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add(&text, "Content-Length: 18446744073709551615\r\n\r\n");
    fill(&text, BODY_BYTES);
    return take(&text, bytes);
}

static size_t
make_expectation(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add(&text, "Expect: 100-continue\r\n");
    add_length(&text, BODY_BYTES);
    fill(&text, BODY_BYTES - 1);
    return take(&text, bytes);
}

static void
add_fields(Text *text)
{
    for (size_t done = 0; done < FIELD_BYTES; done += 5) {
        add(text, "a:\r\n");
    }
}

static size_t
make_fields(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add_fields(&text);
    add_length(&text, 2);
    add(&text, "{");
    return take(&text, bytes);
}

static size_t
make_whole_fields(const char *path, const char *id, char **bytes)
{
    size_t length = make_fields(path, id, bytes);
    (*bytes)[length] = '}'; /* a buffer has twice the room that it needs */
    return length + 1;
}

static size_t
make_part_of_head(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add(&text, "Cookie: ");
    fill(&text, 2000);
    return take(&text, bytes);
}

static size_t
make_trailers(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    start_chunks(&text, path, id);
    add(&text, "0\r\n");
    for (int i = 0; i < 100; i++) {
        add_fields(&text);
    }
    return take(&text, bytes);
}

static size_t
make_requests_ahead(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    for (int i = 0; i < REQUESTS_AHEAD; i++) {
        char number[64];
        snprintf(number, sizeof(number), "%s-%d", id, i);
        add_head(&text, path, number);
        add_length(&text, 2048);
        fill(&text, 2048);
    }
    return take(&text, bytes);
}

static size_t
make_request(const char *path, const char *id, char **bytes)
{
    Text text = {0};
    add_head(&text, path, id);
    add_length(&text, 2);
    add(&text, "{}");
    return take(&text, bytes);
}

static size_t
make_nothing(const char *path, const char *id, char **bytes)
{
    (void)path;
    (void)id;
    *bytes = NULL;
    return 0;
}

static const CrowdForm forms[] = {
    {"short-body", make_short_body, 0, CROWD_READS},
    {"short-body-in-pieces", make_short_body, 1024, CROWD_READS},
    {"short-document", make_short_document, 0, CROWD_READS},
    {"whole-body", make_whole_body, 0, CROWD_READS},
    {"chunks", make_chunks, 0, CROWD_READS},
    {"small-chunks", make_small_chunks, 0, CROWD_READS},
    {"large-body", make_large_body, 0, CROWD_READS_NONE},
    {"endless-chunks", make_endless_chunks, 0, CROWD_READS_NONE},
    {"absurd-length", make_absurd_length, 0, CROWD_READS},
    {"expectation", make_expectation, 0, CROWD_READS},
    {"fields", make_fields, 0, CROWD_READS},
    {"whole-fields", make_whole_fields, 0, CROWD_READS},
    {"head-by-bytes", make_part_of_head, 1, CROWD_READS},
    {"trailers", make_trailers, 0, CROWD_READS},
    {"requests-ahead", make_requests_ahead, 0, CROWD_READS_NONE},
    {"answer-unread", make_request, 0, CROWD_READS_NONE},
    {"answer-read-slowly", make_request, 0, CROWD_READS_SLOWLY},
    {"silent", make_nothing, 0, CROWD_READS},
    {"opened-and-closed", make_part_of_head, 0, CROWD_CLOSES},
    {"half-close", make_short_body, 0, CROWD_HALF_CLOSES},
};

const CrowdForm *
Crowd_FindForm(const char *name)
{
    for (size_t i = 0; i < sizeof(forms) / sizeof(forms[0]); i++) {
        if (strcmp(forms[i].name, name) == 0) {
            return &forms[i];
        }
    }
    return NULL;
}
