/* Tests of the shared utilities: errors, events, log, random, outcomes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/log.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

static int64_t virtual_time_us;

static int64_t
read_virtual_time(void *context)
{
    (void)context;
    return virtual_time_us;
}

/* Guards against a place in the input that is lost or printed wrongly. */
static void
test_error_format(void)
{
    static const struct {
        const char *file;
        int32_t line;
        const char *path;
        const char *expected;
    } rows[] = {
        {"a.json", 3, "", "a.json:3:7: expected x"},
        {"a.json", 0, "$.b[1]", "a.json: $.b[1]: expected x"},
        {NULL, 2, "", "input:2:7: expected x"},
        {NULL, 0, "", "expected x"},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error = {0};
        EbError_SetPlace(&error, rows[i].file, rows[i].line, 7);
        EbError_SetPath(&error, "%s", rows[i].path);
        EbError_Set(&error, EB_ERROR_TYPE, "expected %s", "x");
        char text[1024];
        size_t length = EbError_Format(&error, text, sizeof(text));
        CU_ASSERT_STRING_EQUAL(text, rows[i].expected);
        CU_ASSERT_EQUAL(length, strlen(rows[i].expected));
    }
}

/* Guards against an overflow when the buffer is shorter than the text. */
static void
test_error_truncated(void)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_IO, "0123456789");
    char text[5];
    CU_ASSERT_EQUAL(EbError_Format(&error, text, sizeof(text)), 4);
    CU_ASSERT_STRING_EQUAL(text, "0123");
}

/* Guards against reused numbers and incomplete rows of the event table. */
static void
test_event_table(void)
{
    for (int i = 0; i < EB_EVENT_COUNT; i++) {
        const EbEventInfo *info = &EbEvent_table[i];
        CU_ASSERT_TRUE(info->number >= 100);
        CU_ASSERT_TRUE(strlen(info->name) > 0);
        CU_ASSERT_TRUE(strlen(info->action) > 0);
        for (int j = 0; j < i; j++) {
            CU_ASSERT_NOT_EQUAL(info->number, EbEvent_table[j].number);
            CU_ASSERT_STRING_NOT_EQUAL(info->name, EbEvent_table[j].name);
        }
    }
}

/* Guards against two outcomes or reasons with one wire name, and against a
 * reason without a status. */
static void
test_outcome_names(void)
{
    for (int i = 0; i < EB_OUTCOME_COUNT; i++) {
        CU_ASSERT_EQUAL(EbOutcome_Parse(EbOutcome_names[i]), i);
    }
    for (int i = 0; i < EB_REASON_COUNT; i++) {
        CU_ASSERT_EQUAL(EbReason_Parse(EbReason_table[i].name), i);
        CU_ASSERT_TRUE(EbReason_table[i].http_status >= 200);
    }
    CU_ASSERT_EQUAL(EbOutcome_Parse("finished"), EB_OUTCOME_COUNT);
    CU_ASSERT_EQUAL(EbReason_Parse(""), EB_REASON_COUNT);
}

/* Guards against a generator that leaves its range or ignores its seed. */
static void
test_random(void)
{
    EbRandom first, second, other;
    EbRandom_Init(&first, 7);
    EbRandom_Init(&second, 7);
    EbRandom_Init(&other, 8);
    int different = 0;
    for (int i = 0; i < 1000; i++) {
        uint64_t value = EbRandom_Next(&first);
        CU_ASSERT_EQUAL(value, EbRandom_Next(&second));
        different += value != EbRandom_Next(&other);
        CU_ASSERT_TRUE(EbRandom_Below(&first, 10) < 10);
        EbRandom_Below(&second, 10);
    }
    CU_ASSERT_TRUE(different > 990);
    CU_ASSERT_EQUAL(EbRandom_Below(&first, 0), 0);
}

/* Reads everything that was written to a pipe whose write end is closed. */
static size_t
read_pipe(int descriptor, char *buffer, size_t buffer_bytes)
{
    size_t used = 0;
    ssize_t got;
    while ((got = read(descriptor, buffer + used, buffer_bytes - used - 1)) >
           0) {
        used += (size_t)got;
    }
    buffer[used] = '\0';
    return used;
}

/* Guards against log lines that are not one JSON object each, and against
 * levels that are ignored. */
static void
test_log_lines(void)
{
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    EbLog *log = EbLog_New(&(EbLogOptions){.level = EB_LEVEL_NOTICE,
                                           .instance = "i-1",
                                           .descriptor = ends[1],
                                           .clock_us = read_virtual_time});
    virtual_time_us = 1700000000000001;
    EB_EMIT(EbLog_Sink(log), EB_EVENT_SERVER_LEAVING,
            EB_STRING_FIELD("backend_server", "a\"b\n"),
            EB_INTEGER_FIELD("source", -4));
    EB_EMIT(EbLog_Sink(log), EB_EVENT_LATE_ANSWER_DROPPED,
            EB_INTEGER_FIELD("attempt_id", 1));
    EbLog_Free(log);
    close(ends[1]);
    char text[4096];
    read_pipe(ends[0], text, sizeof(text));
    close(ends[0]);
    CU_ASSERT_EQUAL(strchr(text, '\n'), strrchr(text, '\n'));
    json_t *line = json_loads(text, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(line);
    CU_ASSERT_STRING_EQUAL(
        json_string_value(json_object_get(line, "backend_server")), "a\"b\n");
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(line, "source")), -4);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(line, "number")), 402);
    CU_ASSERT_STRING_EQUAL(json_string_value(json_object_get(line, "time")),
                           "2023-11-14T22:13:20.000001Z");
    json_decref(line);
}

/* Guards against a repeated event that fills the log, and against events that
 * are held back without being counted. */
static void
test_log_rate_limit(void)
{
    int ends[2];
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    EbLog *log = EbLog_New(&(EbLogOptions){.level = EB_LEVEL_DEBUG,
                                           .descriptor = ends[1],
                                           .clock_us = read_virtual_time});
    virtual_time_us = 5000000;
    for (int i = 0; i < EB_LOG_EVENT_BURST + 30; i++) {
        EB_EMIT(EbLog_Sink(log), EB_EVENT_LATE_ANSWER_DROPPED,
                EB_INTEGER_FIELD("attempt_id", i));
    }
    virtual_time_us += 1000000;
    EbLog_Tick(log);
    EbLog_Free(log);
    close(ends[1]);
    static char text[256 * 1024];
    read_pipe(ends[0], text, sizeof(text));
    close(ends[0]);
    char **lines = g_strsplit(text, "\n", -1);
    CU_ASSERT_EQUAL(g_strv_length(lines), EB_LOG_EVENT_BURST + 2);
    json_t *last = json_loads(lines[EB_LOG_EVENT_BURST], 0, NULL);
    CU_ASSERT_EQUAL(json_integer_value(json_object_get(last, "count")), 30);
    json_decref(last);
    g_strfreev(lines);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"error format", test_error_format},
        {"error truncated", test_error_truncated},
        {"event table", test_event_table},
        {"outcome names", test_outcome_names},
        {"random", test_random},
        {"log lines", test_log_lines},
        {"log rate limit", test_log_rate_limit},
    };
    return EbTest_Run("test_share", cases, TABLE_COUNT(cases));
}
