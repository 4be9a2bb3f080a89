#include "ebonyhollow/log.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#define LOG_DOMAIN "ebonyhollow"
#define SECOND_US 1000000LL

typedef struct {
    int64_t window_us; /* start of the current second */
    uint32_t written;
    uint64_t suppressed_count;
} EventWindow;

struct EbLog {
    EbLogOptions options;
    EbEventSink sink;
    EventWindow windows[EB_EVENT_COUNT];
    uint64_t dropped_lines; /* not accepted by the output */
};

/* GLib accepts one writer function per process. */
static EbLog *active_log;

static const GLogLevelFlags glib_levels[EB_LEVEL_COUNT] = {
    [EB_LEVEL_ERROR] = G_LOG_LEVEL_CRITICAL,
    [EB_LEVEL_WARNING] = G_LOG_LEVEL_WARNING,
    [EB_LEVEL_NOTICE] = G_LOG_LEVEL_MESSAGE,
    [EB_LEVEL_INFO] = G_LOG_LEVEL_INFO,
    [EB_LEVEL_DEBUG] = G_LOG_LEVEL_DEBUG,
};

static int64_t
now_us(const EbLog *log)
{
    if (log->options.clock_us != NULL) {
        return log->options.clock_us(log->options.context);
    }
    return g_get_real_time();
}

/* Writes a line, or counts it as dropped: a reader that has stopped reading
 * must not block the daemon. */
static void
write_line(EbLog *log, const char *line, size_t line_bytes)
{
    ssize_t written;
    do {
        written = write(log->options.descriptor, line, line_bytes);
    } while (written < 0 && errno == EINTR);
    log->dropped_lines += written < (ssize_t)line_bytes;
}

/* Sets pipes and sockets to non-blocking. Regular files don't block a writer,
 * and the flag of a terminal would affect the other programs that use it. */
static void
set_nonblocking(int descriptor)
{
    struct stat status;
    int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0 && fstat(descriptor, &status) == 0 &&
        (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode))) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Log writer for GLib. Records of this log carry the complete line in the
 * field EB_LINE; the message of any other record, such as one of a library, is
 * wrapped in a JSON object. */
static GLogWriterOutput
write_record(GLogLevelFlags level, const GLogField *fields, gsize field_count,
             gpointer context)
{
    (void)level;
    (void)context;
    const char *message = "";
    for (gsize i = 0; i < field_count; i++) {
        if (strcmp(fields[i].key, "EB_LINE") == 0) {
            write_line(active_log, fields[i].value, (size_t)fields[i].length);
            return G_LOG_WRITER_HANDLED;
        }
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    json_t *line = json_pack("{s:s, s:s}", "event", "library-message",
                             "message", message);
    char *text = line ? json_dumps(line, JSON_COMPACT) : NULL;
    if (text != NULL && active_log != NULL) {
        write_line(active_log, text, strlen(text));
        write_line(active_log, "\n", 1);
    }
    free(text);
    json_decref(line);
    return G_LOG_WRITER_HANDLED;
}

static void
format_time(int64_t time_us, char *buffer, size_t buffer_bytes)
{
    time_t seconds = (time_t)(time_us / SECOND_US);
    struct tm parts;
    gmtime_r(&seconds, &parts);
    char whole_seconds[32];
    strftime(whole_seconds, sizeof(whole_seconds), "%Y-%m-%dT%H:%M:%S",
             &parts);
    g_snprintf(buffer, (gulong)buffer_bytes, "%s.%06dZ", whole_seconds,
               (int)(time_us % SECOND_US));
}

static void
write_event(EbLog *log, EbEventId event, const EbEventField *fields,
            size_t field_count, int64_t time_us)
{
    const EbEventInfo *info = &EbEvent_table[event];
    char time_text[64];
    format_time(time_us, time_text, sizeof(time_text));
    json_t *line =
        json_pack("{s:s, s:s, s:i, s:s, s:s}", "time", time_text, "level",
                  EbLevel_names[info->level], "number", (int)info->number,
                  "event", info->name, "instance",
                  log->options.instance ? log->options.instance : "");
    for (size_t i = 0; i < field_count; i++) {
        json_t *value =
            fields[i].type == EB_FIELD_INTEGER
                ? json_integer(fields[i].integer)
                : json_string(fields[i].string ? fields[i].string : "");
        if (value == NULL) { /* not UTF-8 */
            value = json_string("(not UTF-8)");
        }
        json_object_set_new(line, fields[i].name, value);
    }
    char *text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text == NULL) {
        return;
    }
    char *terminated = g_strconcat(text, "\n", NULL);
    const GLogField record[] = {
        {"EB_LINE", terminated, (gssize)strlen(terminated)},
        {"GLIB_DOMAIN", LOG_DOMAIN, -1},
    };
    g_log_structured_array(glib_levels[info->level], record,
                           G_N_ELEMENTS(record));
    g_free(terminated);
    free(text);
}

static void
report_suppressed(EbLog *log, EbEventId event, int64_t time_us)
{
    EventWindow *window = &log->windows[event];
    if (window->suppressed_count == 0) {
        return;
    }
    const EbEventField fields[] = {
        EB_STRING_FIELD("suppressed_event", EbEvent_table[event].name),
        EB_INTEGER_FIELD("count", window->suppressed_count),
    };
    window->suppressed_count = 0;
    write_event(log, EB_EVENT_EVENTS_SUPPRESSED, fields, G_N_ELEMENTS(fields),
                time_us);
}

/* Returns whether the window's second has ended. A time of day that was set
 * back ends it as well. */
static bool
has_ended(const EventWindow *window, int64_t time_us)
{
    return time_us - window->window_us >= SECOND_US ||
           time_us < window->window_us;
}

static void
emit(void *context, EbEventId event, const EbEventField *fields,
     size_t field_count)
{
    EbLog *log = context;
    assert(event < EB_EVENT_COUNT);
    if (EbEvent_table[event].level > log->options.level) {
        return;
    }
    int64_t time_us = now_us(log);
    EventWindow *window = &log->windows[event];
    if (has_ended(window, time_us)) {
        report_suppressed(log, event, time_us);
        window->window_us = time_us;
        window->written = 0;
    }
    if (window->written >= EB_LOG_EVENT_BURST) {
        window->suppressed_count++;
        if (log->options.suppressed != NULL) {
            log->options.suppressed(log->options.context, event);
        }
        return;
    }
    window->written++;
    write_event(log, event, fields, field_count, time_us);
}

EbLog *
EbLog_New(const EbLogOptions *options)
{
    assert(active_log == NULL);
    EbLog *log = g_new0(EbLog, 1);
    log->options = *options;
    log->sink = (EbEventSink){emit, log};
    active_log = log;
    set_nonblocking(options->descriptor);
    static gboolean writer_set = FALSE;
    if (!writer_set) {
        g_log_set_writer_func(write_record, NULL, NULL);
        writer_set = TRUE;
    }
    return log;
}

void
EbLog_Free(EbLog *log)
{
    if (log == NULL) {
        return;
    }
    for (int event = 0; event < EB_EVENT_COUNT; event++) {
        report_suppressed(log, (EbEventId)event, now_us(log));
    }
    active_log = NULL;
    g_free(log);
}

const EbEventSink *
EbLog_Sink(EbLog *log)
{
    return &log->sink;
}

void
EbLog_SetLevel(EbLog *log, EbLevel level)
{
    log->options.level = level;
}

static void
report_dropped_lines(EbLog *log, int64_t time_us)
{
    if (log->dropped_lines == 0) {
        return;
    }
    const EbEventField fields[] = {
        EB_STRING_FIELD("suppressed_event", "any, the output was full"),
        EB_INTEGER_FIELD("count", log->dropped_lines),
    };
    log->dropped_lines = 0;
    write_event(log, EB_EVENT_EVENTS_SUPPRESSED, fields, G_N_ELEMENTS(fields),
                time_us);
}

void
EbLog_Tick(EbLog *log)
{
    int64_t time_us = now_us(log);
    report_dropped_lines(log, time_us);
    for (int event = 0; event < EB_EVENT_COUNT; event++) {
        if (has_ended(&log->windows[event], time_us)) {
            report_suppressed(log, (EbEventId)event, time_us);
        }
    }
}

EbLevel
EbLevel_Parse(const char *name)
{
    int level = 0;
    while (level < EB_LEVEL_COUNT && strcmp(name, EbLevel_names[level]) != 0) {
        level++;
    }
    return (EbLevel)level;
}
