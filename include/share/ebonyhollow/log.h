/* EbLog: writes each event as one line with a JSON object, through GLib's
 * structured logging.
 *
 * At most EB_LOG_EVENT_BURST lines a second are written for each event. The
 * rest are suppressed, and an events-suppressed event reports their number.
 * Pipes and sockets are written without blocking, so that a slow reader does
 * not stop the event loop; lines that the output does not accept are dropped
 * and reported in the same way. */
#ifndef EBONYHOLLOW_LOG_H
#define EBONYHOLLOW_LOG_H

#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/event.h"

#define EB_LOG_EVENT_BURST 200 /* lines per second for one event */

typedef struct EbLog EbLog;

typedef struct {
    EbLevel level;        /* less severe events are dropped */
    const char *instance; /* written in every line; borrowed */
    int descriptor;       /* output file descriptor; not closed by the log */
    /* Returns the time of day in microseconds since 1970, for the timestamps
     * and for the limit. NULL: the system's clock. */
    int64_t (*clock_us)(void *context);
    void *context; /* passed to both callbacks */
    /* Called for each event over the limit, for the metrics; may be NULL. */
    void (*suppressed)(void *context, EbEventId event);
} EbLogOptions;

/* Creates the log and installs it as GLib's log writer. Only one log may exist
 * at a time, since GLib accepts one writer function per process. A pipe or
 * socket as `descriptor` is set to non-blocking.
 *
 * Returns a log that the caller frees with EbLog_Free. */
EbLog *EbLog_New(const EbLogOptions *options);

/* Reports the events that are still suppressed and frees the log. Accepts
 * NULL. */
void EbLog_Free(EbLog *log);

/* Returns the sink that writes to this log; valid until EbLog_Free. */
const EbEventSink *EbLog_Sink(EbLog *log);

/* Changes the least severe level that is written. */
void EbLog_SetLevel(EbLog *log, EbLevel level);

/* Reports dropped lines, and suppressed events whose second has ended. To be
 * called regularly. */
void EbLog_Tick(EbLog *log);

/* Returns the level of this name, or EB_LEVEL_COUNT for an unknown name. */
EbLevel EbLevel_Parse(const char *name);

#endif
