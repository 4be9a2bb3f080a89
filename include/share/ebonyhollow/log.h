/* EbLog: writes events as one JSON object a line through GLib's structured
 * logging.
 *
 * Repeated events are limited to EB_LOG_EVENT_BURST a second for each event
 * number; what was held back is reported with its count. Writing never
 * blocks the loop for long: lines that the destination does not take are
 * counted as held back. */
#ifndef EBONYHOLLOW_LOG_H
#define EBONYHOLLOW_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/event.h"

#define EB_LOG_EVENT_BURST 200 /* lines a second of one event */

typedef struct EbLog EbLog;

typedef struct {
    EbLevel level;        /* events below it are dropped */
    const char *instance; /* field of every line */
    int descriptor;       /* file descriptor to write to */
    /* Monotonic and wall clock, for tests; NULL: the system's. */
    int64_t (*clock_us)(void *context);
    void *context;
    /* Called with each suppressed event, for the metrics; may be NULL. */
    void (*suppressed)(void *context, EbEventId event);
} EbLogOptions;

EbLog *EbLog_New(const EbLogOptions *options);

/* Reports what is still held back and releases the log. */
void EbLog_Free(EbLog *log);

/* Sink that writes to this log; valid until EbLog_Free. */
const EbEventSink *EbLog_Sink(EbLog *log);

void EbLog_SetLevel(EbLog *log, EbLevel level);

/* Reports events held back for more than a second. */
void EbLog_Tick(EbLog *log);

/* Parses a level name. Returns EB_LEVEL_COUNT for an unknown one. */
EbLevel EbLevel_Parse(const char *name);

#endif
