/* Tests of EbHttpMessage. */
#include <stdio.h>
#include <string.h>

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

int
main(void)
{
    static const EbTestCase cases[] = {
        {"invalid fields", test_invalid_fields},
        {"request line", test_request_line},
    };
    return EbTest_Run("test_http_message", cases, G_N_ELEMENTS(cases));
}
