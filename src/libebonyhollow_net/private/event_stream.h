/* EbEventStream: incremental parser of server-sent events.
 *
 * Only `data:` lines are of interest; comments and other fields are skipped.
 * Input may be split at any byte. */
#ifndef EB_EVENT_STREAM_H
#define EB_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

typedef struct EbEventStream EbEventStream;

/* Takes the value of one data line. Returns false to stop parsing. */
typedef bool (*EbEventStreamCallback)(void *context, const char *value,
                                      size_t value_bytes);

EbEventStream *EbEventStream_New(size_t max_line_bytes,
                                 EbEventStreamCallback line, void *context);
void EbEventStream_Free(EbEventStream *stream);

/* Takes input. Returns false when a line is too long or `line` stopped. */
bool EbEventStream_Feed(EbEventStream *stream, const char *bytes,
                        size_t byte_count);

#endif
