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
    uint64_t held_back;
} EventWindow;

struct EbLog {
    EbLogOptions options;
    EbEventSink sink;
    EventWindow windows[EB_EVENT_COUNT];
    uint64_t lost; /* lines that the output did not take */
};

/* GLib accepts one writer function a process. */
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

/* Writes a line or counts it as lost: a reader that stands still must not hold
 * the daemon back. */
static void
write_line(EbLog *log, const char *line, size_t line_bytes)
{
    ssize_t written;
    do {
        written = write(log->options.descriptor, line, line_bytes);
    } while (written < 0 && errno == EINTR);
    log->lost += written < (ssize_t)line_bytes;
}

/* Pipes and sockets are written without waiting. Files don't hold a writer
 * back, and a terminal is shared with other programs. */
static void
avoid_waiting(int descriptor)
{
    struct stat status;
    int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0 && fstat(descriptor, &status) == 0 &&
        (S_ISFIFO(status.st_mode) || S_ISSOCK(status.st_mode))) {
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

/* Writes a record of GLib's structured logging: the field EB_LINE holds the
 * finished line of an event; records of other libraries get a plain one. */
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
    char whole[32];
    strftime(whole, sizeof(whole), "%Y-%m-%dT%H:%M:%S", &parts);
    g_snprintf(buffer, (gulong)buffer_bytes, "%s.%06dZ", whole,
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
    char *full = g_strconcat(text, "\n", NULL);
    const GLogField record[] = {
        {"EB_LINE", full, (gssize)strlen(full)},
        {"GLIB_DOMAIN", LOG_DOMAIN, -1},
    };
    g_log_structured_array(glib_levels[info->level], record,
                           G_N_ELEMENTS(record));
    g_free(full);
    free(text);
}

static void
report_held_back(EbLog *log, EbEventId event, int64_t time_us)
{
    EventWindow *window = &log->windows[event];
    if (window->held_back == 0) {
        return;
    }
    const EbEventField fields[] = {
        EB_STRING_FIELD("suppressed_event", EbEvent_table[event].name),
        EB_INTEGER_FIELD("count", window->held_back),
    };
    window->held_back = 0;
    write_event(log, EB_EVENT_EVENTS_SUPPRESSED, fields, G_N_ELEMENTS(fields),
                time_us);
}

/* A time of day that went back begins a new second as well. */
static bool
is_over(const EventWindow *window, int64_t time_us)
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
    if (is_over(window, time_us)) {
        report_held_back(log, event, time_us);
        window->window_us = time_us;
        window->written = 0;
    }
    if (window->written >= EB_LOG_EVENT_BURST) {
        window->held_back++;
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
    avoid_waiting(options->descriptor);
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
        report_held_back(log, (EbEventId)event, now_us(log));
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
report_lost(EbLog *log, int64_t time_us)
{
    if (log->lost == 0) {
        return;
    }
    const EbEventField fields[] = {
        EB_STRING_FIELD("suppressed_event", "any, the output was full"),
        EB_INTEGER_FIELD("count", log->lost),
    };
    log->lost = 0;
    write_event(log, EB_EVENT_EVENTS_SUPPRESSED, fields, G_N_ELEMENTS(fields),
                time_us);
}

void
EbLog_Tick(EbLog *log)
{
    int64_t time_us = now_us(log);
    report_lost(log, time_us);
    for (int event = 0; event < EB_EVENT_COUNT; event++) {
        if (is_over(&log->windows[event], time_us)) {
            report_held_back(log, (EbEventId)event, time_us);
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
