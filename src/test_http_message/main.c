/* Tests of EbHttpMessage. */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "ebonyhollow/http_message.h"
#include "test_runner.h"

/* Guards against a name or value that begins another field, or ends the header
 * section, for the recipient of the message. */
static void
test_invalid_fields(void)
{
    static const struct {
        const char *name;
        const char *value;
        bool valid;
    } rows[] = {
        {"Inputs", "10.0.0.1:1/a", true},
        {"Inputs", "", true},
        {"Inputs", "a\tb \xc3\xa9 \xff", true},
        {"!#$%&'*+-.^_`|~09azAZ", "a", true},
        {"Inputs", "10.0.0.1:1/a\r\n\r\n", false},
        {"Inputs", "a\rb", false},
        {"Inputs", "a\nTenant: b", false},
        {"Inputs", "a\x01", false},
        {"Inputs", "a\x7f", false},
        {"", "a", false},
        {"Inputs:", "a", false},
        {"In puts", "a", false},
        {"Inputs\r\nTenant", "a", false},
        {"Inputs\xc3\xa9", "a", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/a?b");
        bool added =
            EbHttpMessage_AddHeader(message, rows[i].name, rows[i].value);
        if (added != rows[i].valid) {
            printf("row %zu\n", i);
        }
        CU_ASSERT_EQUAL(added, rows[i].valid);
        CU_ASSERT_EQUAL(message->invalid, !rows[i].valid);
        CU_ASSERT_EQUAL(message->header_count, rows[i].valid);
        /* A valid field doesn't make up for the invalid one. */
        CU_ASSERT_TRUE(EbHttpMessage_AddHeader(message, "A", "b"));
        CU_ASSERT_EQUAL(message->invalid, !rows[i].valid);
        EbHttpMessage_Unref(message);
    }
}

/* Guards against a method or target that changes the request line. */
static void
test_request_line(void)
{
    static const struct {
        const char *method;
        const char *target;
        bool valid;
    } rows[] = {
        {"POST", "/a?b=%20", true},
        {"M-SEARCH", "*", true},
        {"GET", "/a b", false},
        {"GET", "/a\r\nX: b", false},
        {"GET", "", false},
        {"GET /x HTTP/1.1\r\nA: b\r\n\r\nGET", "/a", false},
        {"", "/a", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *message =
            EbHttpMessage_NewRequest(rows[i].method, rows[i].target);
        CU_ASSERT_EQUAL(message->invalid, !rows[i].valid);
        EbHttpMessage_Unref(message);
    }
}

/* Guards against forwarding a header that a Connection header lists, whichever
 * of several, and against dropping others. */
static void
test_hop_headers(void)
{
    EbHttpMessage *message = EbHttpMessage_NewRequest("GET", "/");
    EbHttpMessage_AddHeader(message, "Connection", "close, X-One ,,\tx-two");
    EbHttpMessage_AddHeader(message, "A", "X-Three");
    EbHttpMessage_AddHeader(message, "connection", "X-Four");
    EbHopHeaders hop;
    EbHopHeaders_Init(&hop, message);
    static const struct {
        const char *name;
        bool contained;
    } rows[] = {
        {"Connection", true}, {"keep-alive", true}, {"Content-Length", true},
        {"x-one", true},      {"X-TWO", true},      {"x-four", true},
        {"X-Three", false},   {"A", false},         {"Host", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CU_ASSERT_EQUAL(EbHopHeaders_Contain(&hop, rows[i].name),
                        rows[i].contained);
    }
    EbHopHeaders_Clear(&hop);
    EbHttpMessage_Unref(message);
}

/* Returns the processor time of finding the hop headers of a message with so
 * many fields and as many names in Connection, the least of three runs. */
static int64_t
time_hop_headers(unsigned count)
{
    EbHttpMessage *message = EbHttpMessage_NewRequest("GET", "/");
    GString *list = g_string_new("close");
    for (unsigned i = 0; i < count; i++) {
        g_string_append_printf(list, ",x%u", i);
    }
    for (unsigned i = 0; i < count; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "y%u", i);
        EbHttpMessage_AddHeader(message, name, "1");
    }
    EbHttpMessage_AddHeader(message, "Connection", list->str);
    g_string_free(list, TRUE);
    int64_t least = INT64_MAX;
    for (int run = 0; run < 3; run++) {
        clock_t start = clock();
        EbHopHeaders hop;
        EbHopHeaders_Init(&hop, message);
        for (unsigned i = 0; i < message->header_count; i++) {
            EbHopHeaders_Contain(&hop, message->headers[i].name);
        }
        EbHopHeaders_Clear(&hop);
        least = MIN(least, (int64_t)(clock() - start));
    }
    EbHttpMessage_Unref(message);
    return least;
}

/* Guards against a legal request of many short fields and a long list in
 * Connection that holds up the event loop: the time must grow with the length
 * of the message, not with its square, which would be a hundred times. */
static void
test_many_hop_headers(void)
{
    enum { FIELDS = 2000, FACTOR = 10, MAX_GROWTH = 40 };
    int64_t few = MAX(time_hop_headers(FIELDS), 1);
    int64_t many = time_hop_headers(FIELDS * FACTOR);
    if (many > MAX_GROWTH * few) {
        printf("%d fields: %d, %d fields: %d\n", FIELDS, (int)few,
               FIELDS * FACTOR, (int)many);
    }
    CU_ASSERT_TRUE(many <= MAX_GROWTH * few);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"invalid fields", test_invalid_fields},
        {"request line", test_request_line},
        {"hop headers", test_hop_headers},
        {"many hop headers", test_many_hop_headers},
    };
    return EbTest_Run("test_http_message", cases, G_N_ELEMENTS(cases));
}
