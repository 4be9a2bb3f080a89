/* Tests of EbHttpReader and EbEventSplitter. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "event_splitter.h"
#include "forward_net.h"
#include "http_reader.h"
#include "test_runner.h"

typedef struct {
    GString *body;
    unsigned heads;
    unsigned completes;
    bool reusable;
} ReadResult;

static bool
on_head(void *context, EbHttpMessage *message)
{
    ((ReadResult *)context)->heads++;
    EbHttpMessage_Unref(message);
    return true;
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    g_string_append_len(((ReadResult *)context)->body, (const char *)bytes,
                        (gssize)byte_count);
    return true;
}

static void
on_complete(void *context, bool reusable)
{
    ReadResult *read = context;
    read->completes++;
    read->reusable = reusable;
}

typedef struct {
    EbHttpReaderKind kind;
    const char *bytes;
    EbHttpReadResult result;
    const char *body;
    const char *rest; /* bytes that are not consumed; NULL: not checked */
    bool ends;        /* closing the connection completes the message */
} ReaderCase;

/* Guards against accepting ambiguous framing, and against treating bytes after
 * a message as a part of it. */
void
test_reader(void)
{
    static const ReaderCase rows[] = {
        {EB_HTTP_REQUESTS, "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET",
         EB_HTTP_READ_COMPLETE, "", "GET", false},
        {EB_HTTP_REQUESTS, "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcd",
         EB_HTTP_READ_COMPLETE, "abc", "d", false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nab\r\n1\r\nc\r\n0\r\n\r\nX",
         EB_HTTP_READ_COMPLETE, "abc", "X", false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
         "Content-Length: 4\r\n\r\nabcd",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_REQUESTS, "GET /a HTTP/1.1\r\nBad Name: x\r\n\r\n",
         EB_HTTP_READ_INVALID, "", NULL, false},
        {EB_HTTP_RESPONSES, "HTTP/1.1 200 OK\r\n\r\nabc", EB_HTTP_READ_MORE,
         "abc", "", true},
        {EB_HTTP_RESPONSES, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
         EB_HTTP_READ_MORE, "abc", "", false},
        {EB_HTTP_RESPONSES,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
         EB_HTTP_READ_MORE, "abc", "", false},
        {EB_HTTP_RESPONSES,
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
         "Content-Length: 1\r\n\r\na",
         EB_HTTP_READ_COMPLETE, "a", "", false},
        {EB_HTTP_RESPONSES, "nonsense", EB_HTTP_READ_INVALID, "", NULL, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ReadResult read = {.body = g_string_new(NULL)};
        EbHttpReader *reader =
            EbHttpReader_New(&(EbHttpReaderOptions){.kind = rows[i].kind,
                                                    .max_header_bytes = 200,
                                                    .head = on_head,
                                                    .body = on_body,
                                                    .complete = on_complete,
                                                    .context = &read});
        size_t consumed = 0;
        size_t length = strlen(rows[i].bytes);
        EbHttpReadResult result = EbHttpReader_Feed(
            reader, (const uint8_t *)rows[i].bytes, length, &consumed);
        if (result != rows[i].result) {
            printf("row %zu: result %d\n", i, (int)result);
        }
        CU_ASSERT_EQUAL(result, rows[i].result);
        CU_ASSERT_STRING_EQUAL(read.body->str, rows[i].body);
        CU_ASSERT_EQUAL(read.completes, result == EB_HTTP_READ_COMPLETE);
        if (rows[i].rest != NULL) {
            CU_ASSERT_STRING_EQUAL(rows[i].bytes + consumed, rows[i].rest);
        }
        if (result == EB_HTTP_READ_MORE) {
            CU_ASSERT_EQUAL(EbHttpReader_HandleEof(reader), rows[i].ends);
        }
        EbHttpReader_Free(reader);
        g_string_free(read.body, TRUE);
    }
}

/* Guards against unlimited memory use for a header that never ends. */
void
test_header_limit(void)
{
    ReadResult read = {.body = g_string_new(NULL)};
    EbHttpReader *reader =
        EbHttpReader_New(&(EbHttpReaderOptions){.kind = EB_HTTP_REQUESTS,
                                                .max_header_bytes = 64,
                                                .head = on_head,
                                                .body = on_body,
                                                .complete = on_complete,
                                                .context = &read});
    char *value = g_strnfill(200, 'a');
    char *bytes = g_strconcat("GET / HTTP/1.1\r\nX: ", value, NULL);
    size_t consumed = 0;
    CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)bytes,
                                      strlen(bytes), &consumed),
                    EB_HTTP_READ_TOO_LARGE);
    g_free(bytes);
    g_free(value);
    EbHttpReader_Free(reader);
    g_string_free(read.body, TRUE);
}

/* Guards against reading for ever what is no response: each row's unit comes
 * again and again, and reading must end with an error within a few times the
 * header limit. */
void
test_endless_bytes(void)
{
    static const struct {
        const char *name;
        const char *start;
        const char *unit;
    } rows[] = {
        {"empty lines before the status line", "", "\r\n"},
        {"status line", "HTTP/1.1 200 ", "aaaaaaaa"},
        {"header name", "HTTP/1.1 200 OK\r\n", "aaaaaaaa"},
        {"header value", "HTTP/1.1 200 OK\r\nX: ", "aaaaaaaa"},
        {"space before a header value", "HTTP/1.1 200 OK\r\nX:", "        "},
        {"headers", "HTTP/1.1 200 OK\r\n", "X: a\r\n"},
        {"empty headers", "HTTP/1.1 200 OK\r\n", "X:\r\n"},
        {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim responses with headers", "",
         "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
        {"chunk size", HEAD "Transfer-Encoding: chunked\r\n\r\n", "00000000"},
        {"chunk extension", HEAD "Transfer-Encoding: chunked\r\n\r\n1;",
         "aaaaaaaa"},
        {"long chunk extensions", HEAD "Transfer-Encoding: chunked\r\n\r\n",
         "1;aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "\r\na\r\n"},
        {"trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "X: a\r\n"},
        {"empty trailers", HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n",
         "X:\r\n"},
    };
    static const size_t max_header_bytes = 4096;
    static const size_t limit_bytes = 262144;
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        ReadResult read = {.body = g_string_new(NULL)};
        EbHttpReader *reader = EbHttpReader_New(
            &(EbHttpReaderOptions){.kind = EB_HTTP_RESPONSES,
                                   .max_header_bytes = max_header_bytes,
                                   .head = on_head,
                                   .body = on_body,
                                   .complete = on_complete,
                                   .context = &read});
        size_t fed = 0;
        size_t consumed = 0;
        const char *bytes = rows[i].start;
        EbHttpReadResult result = EB_HTTP_READ_MORE;
        while (result == EB_HTTP_READ_MORE && fed < limit_bytes) {
            result = EbHttpReader_Feed(reader, (const uint8_t *)bytes,
                                       strlen(bytes), &consumed);
            fed += strlen(bytes);
            bytes = rows[i].unit;
        }
        bool ended =
            result == EB_HTTP_READ_TOO_LARGE || result == EB_HTTP_READ_INVALID;
        if (!ended) {
            printf("%s: still read after %zu bytes\n", rows[i].name, fed);
        }
        CU_ASSERT_TRUE(ended);
        CU_ASSERT_EQUAL(read.completes, 0);
        EbHttpReader_Free(reader);
        g_string_free(read.body, TRUE);
    }
}

/* Guards against a limit that also ends a sound response: many small chunks
 * take more bytes for their sizes than for their contents. */
void
test_small_chunks(void)
{
    static const unsigned chunks = 20000;
    ReadResult read = {.body = g_string_new(NULL)};
    EbHttpReader *reader =
        EbHttpReader_New(&(EbHttpReaderOptions){.kind = EB_HTTP_RESPONSES,
                                                .max_header_bytes = 4096,
                                                .head = on_head,
                                                .body = on_body,
                                                .complete = on_complete,
                                                .context = &read});
    static const char head[] = HEAD "Transfer-Encoding: chunked\r\n\r\n";
    static const char chunk[] = "1;a=b\r\nx\r\n";
    static const char end[] = "0\r\n\r\n";
    size_t consumed = 0;
    EbHttpReader_Feed(reader, (const uint8_t *)head, strlen(head), &consumed);
    for (unsigned i = 0; i < chunks; i++) {
        CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)chunk,
                                          strlen(chunk), &consumed),
                        EB_HTTP_READ_MORE);
    }
    CU_ASSERT_EQUAL(EbHttpReader_Feed(reader, (const uint8_t *)end,
                                      strlen(end), &consumed),
                    EB_HTTP_READ_COMPLETE);
    CU_ASSERT_EQUAL(read.body->len, chunks);
    EbHttpReader_Free(reader);
    g_string_free(read.body, TRUE);
}

typedef struct {
    GString *text;
    int64_t last_id;
    unsigned count;
} SeenEvents;

static void
on_stream_event(void *context, int64_t id, const uint8_t *bytes,
                size_t byte_count)
{
    SeenEvents *seen = context;
    seen->last_id = id;
    seen->count++;
    g_string_append_len(seen->text, (const char *)bytes, (gssize)byte_count);
}

/* Guards against events that are truncated, changed or passed on incomplete,
 * wherever reads split the stream. */
void
test_event_splitter(void)
{
    static const char stream[] =
        "id: 3\ndata: a\n\nversion: 2\nid: 4\ndata: b\n\ndata: c\r\n\r\nid: 9";
    static const size_t whole_bytes = sizeof(stream) - 1 - strlen("id: 9");
    for (size_t step = 1; step < sizeof(stream); step++) {
        SeenEvents seen = {.text = g_string_new(NULL)};
        EbEventSplitter *splitter =
            EbEventSplitter_New(on_stream_event, &seen);
        for (size_t at = 0; at < sizeof(stream) - 1; at += step) {
            size_t count = MIN(step, sizeof(stream) - 1 - at);
            CU_ASSERT_TRUE(EbEventSplitter_Feed(
                splitter, (const uint8_t *)stream + at, count));
        }
        CU_ASSERT_EQUAL(seen.count, 3);
        CU_ASSERT_EQUAL(seen.last_id, -1);
        CU_ASSERT_EQUAL(seen.text->len, whole_bytes);
        CU_ASSERT_EQUAL(memcmp(seen.text->str, stream, whole_bytes), 0);
        CU_ASSERT_TRUE(EbEventSplitter_BufferedBytes(splitter) > 0);
        EbEventSplitter_Free(splitter);
        g_string_free(seen.text, TRUE);
    }
}
