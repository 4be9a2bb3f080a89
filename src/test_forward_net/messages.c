/* Tests of EbHttpReader with several messages on one connection. Each row is
 * read as a whole and cut in two at every byte, with the same result. */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "forward_net.h"
#include "http_reader.h"
#include "test_runner.h"

#define MAX_HEADER_BYTES 4096

typedef struct {
    const char *name;
    EbHttpReaderKind kind;
    const char *bytes;
    /* What the callbacks and the reader report, in this order. A head is
     * "(200 Name=value ...)" or "(POST /target Name=value ...)", a body its
     * bytes, the end of a message "." if another one may follow on the
     * connection, or "|". The last is "!" for invalid bytes and "#" for too
     * many, behind which nothing is read. */
    const char *transcript;
} MessageRow;

static bool
on_head(void *context, EbHttpMessage *message)
{
    GString *transcript = context;
    if (message->method != NULL) {
        g_string_append_printf(transcript, "(%s %s", message->method,
                               message->target);
    }
    else {
        g_string_append_printf(transcript, "(%u", (unsigned)message->status);
    }
    for (uint32_t i = 0; i < message->header_count; i++) {
        g_string_append_printf(transcript, " %s=%s", message->headers[i].name,
                               message->headers[i].value);
    }
    g_string_append_c(transcript, ')');
    EbHttpMessage_Unref(message);
    return true;
}

static bool
on_body(void *context, const uint8_t *bytes, size_t byte_count)
{
    g_string_append_len(context, (const char *)bytes, (gssize)byte_count);
    return true;
}

static void
on_complete(void *context, bool reusable)
{
    g_string_append_c(context, reusable ? '.' : '|');
}

/* Feeds bytes until they are used up. Returns false after an error. */
static bool
feed(EbHttpReader *reader, GString *transcript, const char *bytes,
     size_t length)
{
    while (length > 0) {
        size_t consumed = 0;
        EbHttpReadResult result = EbHttpReader_Feed(
            reader, (const uint8_t *)bytes, length, &consumed);
        if (result == EB_HTTP_READ_INVALID ||
            result == EB_HTTP_READ_TOO_LARGE) {
            g_string_append_c(transcript,
                              result == EB_HTTP_READ_INVALID ? '!' : '#');
            return false;
        }
        bytes += consumed;
        length -= consumed;
    }
    return true;
}

static void
check_cut(const MessageRow *row, size_t cut)
{
    GString *transcript = g_string_new(NULL);
    EbHttpReader *reader = EbHttpReader_New(
        &(EbHttpReaderOptions){.kind = row->kind,
                               .max_header_bytes = MAX_HEADER_BYTES,
                               .head = on_head,
                               .body = on_body,
                               .complete = on_complete,
                               .context = transcript});
    if (feed(reader, transcript, row->bytes, cut) &&
        feed(reader, transcript, row->bytes + cut, strlen(row->bytes) - cut)) {
        EbHttpReader_HandleEof(reader);
    }
    if (strcmp(transcript->str, row->transcript) != 0) {
        printf("%s, cut at %zu: %s\n", row->name, cut, transcript->str);
    }
    CU_ASSERT_STRING_EQUAL(transcript->str, row->transcript);
    EbHttpReader_Free(reader);
    g_string_free(transcript, TRUE);
}

static void
check_rows(const MessageRow *rows, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        for (size_t cut = 0; cut <= strlen(rows[i].bytes); cut++) {
            check_cut(&rows[i], cut);
        }
    }
}

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* Guards against a trailer field (RFC 9112, section 7.1.2) that is added to
 * the next message on the connection, or to one that was handed over. */
void
test_message_trailers(void)
{
    static const MessageRow rows[] = {
        {"two requests with a trailer field", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\n" CHUNKED "1\r\nx\r\n0\r\nSum: 1\r\n\r\n"
         "POST /b HTTP/1.1\r\n" CHUNKED "1\r\ny\r\n0\r\nSum: 2\r\n\r\n",
         "(POST /a Transfer-Encoding=chunked)x."
         "(POST /b Transfer-Encoding=chunked)y."},
        {"two responses with trailer fields", EB_HTTP_RESPONSES,
         "HTTP/1.1 200 OK\r\n" CHUNKED "1\r\nx\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"
         "HTTP/1.1 201 Created\r\nContent-Length: 1\r\n\r\ny",
         "(200 Transfer-Encoding=chunked)x.(201 Content-Length=1)y."},
        {"a trailer field without a value", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\n" CHUNKED "0\r\nSum:\r\n\r\n"
         "GET /b HTTP/1.1\r\n\r\n",
         "(POST /a Transfer-Encoding=chunked).(GET /b)."},
        {"trailer fields that name another length", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\n" CHUNKED
         "0\r\nContent-Length: 9\r\nTransfer-Encoding: gzip\r\n\r\n"
         "GET /b HTTP/1.1\r\n\r\n",
         "(POST /a Transfer-Encoding=chunked).(GET /b)."},
        {"a trailer field whose name is no token", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\n" CHUNKED "0\r\nBad Name: 1\r\n\r\n"
         "GET /b HTTP/1.1\r\n\r\n",
         "(POST /a Transfer-Encoding=chunked)!"},
    };
    check_rows(rows, G_N_ELEMENTS(rows));
}

#define FINAL "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"

/* Guards against an interim response with a body, which it can't have (RFC
 * 9110, section 15.2): its bytes must neither reach a callback nor count as a
 * part of the final response. */
void
test_message_interim(void)
{
    static const MessageRow rows[] = {
        {"bytes behind an interim response", EB_HTTP_RESPONSES,
         "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nbody" FINAL,
         "!"},
        {"chunks behind an interim response", EB_HTTP_RESPONSES,
         "HTTP/1.1 102 Processing\r\n" CHUNKED "1\r\nx\r\n0\r\n\r\n" FINAL,
         "!"},
        {"a length without bytes", EB_HTTP_RESPONSES,
         "HTTP/1.1 102 Processing\r\nContent-Length: 40\r\n\r\n" FINAL,
         "(200 Content-Length=1)a."},
        {"chunks that are only announced", EB_HTTP_RESPONSES,
         "HTTP/1.1 103 Early Hints\r\n" CHUNKED FINAL,
         "(200 Content-Length=1)a."},
        {"two, one of which closes", EB_HTTP_RESPONSES,
         "HTTP/1.1 103 Early Hints\r\nConnection: close\r\n\r\n"
         "HTTP/1.1 100 Continue\r\n\r\n" FINAL,
         "(200 Content-Length=1)a."},
        {"the end of the connection behind one", EB_HTTP_RESPONSES,
         "HTTP/1.1 103 Early Hints\r\nA: 1\r\n\r\n", ""},
    };
    check_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against taking a response with a status that doesn't exist (RFC 9110,
 * section 15) for an answer, or skipping it as an interim one. */
void
test_message_status(void)
{
    static const MessageRow rows[] = {
        {"000", EB_HTTP_RESPONSES,
         "HTTP/1.1 000 Trouble\r\nContent-Length: 1\r\n\r\na", "!"},
        {"000 before a final response", EB_HTTP_RESPONSES,
         "HTTP/1.1 000 Trouble\r\n\r\n" FINAL, "!"},
        {"one digit", EB_HTTP_RESPONSES, "HTTP/1.1 2 OK\r\n\r\na", "!"},
        {"099", EB_HTTP_RESPONSES, "HTTP/1.1 099 Trouble\r\n\r\n" FINAL, "!"},
        {"600", EB_HTTP_RESPONSES,
         "HTTP/1.1 600 Trouble\r\nContent-Length: 1\r\n\r\na", "!"},
        {"999", EB_HTTP_RESPONSES, "HTTP/1.1 999 Trouble\r\n\r\na", "!"},
        {"four digits", EB_HTTP_RESPONSES, "HTTP/1.1 2000 OK\r\n\r\na", "!"},
        {"no digits", EB_HTTP_RESPONSES, "HTTP/1.1 OK\r\n\r\na", "!"},
        {"599", EB_HTTP_RESPONSES,
         "HTTP/1.1 599 Own\r\nContent-Length: 1\r\n\r\na",
         "(599 Content-Length=1)a."},
    };
    check_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against reading a body behind a response that can't have one (RFC
 * 9112, section 6.3), or waiting for it. */
void
test_message_no_body(void)
{
    static const MessageRow rows[] = {
        {"204 with bytes behind it", EB_HTTP_RESPONSES,
         "HTTP/1.1 204 No Content\r\nContent-Length: 2\r\n\r\n{}",
         "(204 Content-Length=2).!"},
        {"304 with the length of the whole", EB_HTTP_RESPONSES,
         "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n" FINAL,
         "(304 Content-Length=9).(200 Content-Length=1)a."},
        {"304 in chunks", EB_HTTP_RESPONSES,
         "HTTP/1.1 304 Not Modified\r\n" CHUNKED FINAL,
         "(304 Transfer-Encoding=chunked).(200 Content-Length=1)a."},
        {"204 without a length", EB_HTTP_RESPONSES,
         "HTTP/1.1 204 No Content\r\n\r\n" FINAL,
         "(204).(200 Content-Length=1)a."},
    };
    check_rows(rows, G_N_ELEMENTS(rows));
}

/* Guards against refusing a request that offers another protocol, and against
 * reading what follows it, or a tunnel, as something else. */
void
test_message_upgrade(void)
{
    static const MessageRow rows[] = {
        {"h2c without a body", EB_HTTP_REQUESTS,
         "GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
         "GET /b HTTP/1.1\r\n\r\n",
         "(GET /a Connection=Upgrade Upgrade=h2c).(GET /b)."},
        {"h2c with a body", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
         "Content-Length: 2\r\n\r\nabGET /b HTTP/1.1\r\n\r\n",
         "(POST /a Connection=Upgrade Upgrade=h2c Content-Length=2)ab."
         "(GET /b)."},
        {"h2c with a body in chunks", EB_HTTP_REQUESTS,
         "POST /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n" CHUNKED
         "1\r\nx\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n",
         "(POST /a Connection=Upgrade Upgrade=h2c Transfer-Encoding=chunked)x."
         "(GET /b)."},
        {"a tunnel", EB_HTTP_REQUESTS,
         "CONNECT h:1 HTTP/1.1\r\nHost: h:1\r\n\r\nGET", "!"},
        {"a response that changes the protocol", EB_HTTP_RESPONSES,
         "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
         "Upgrade: h2c\r\n\r\n" FINAL,
         "!"},
    };
    check_rows(rows, G_N_ELEMENTS(rows));
}
