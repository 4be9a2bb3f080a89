/* EbEventStream: incremental parser for server-sent events.
 *
 * Reports the values of `data:` lines and skips comments and other fields. The
 * input may be split at any byte. */
#ifndef EB_EVENT_STREAM_H
#define EB_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>

typedef struct EbEventStream EbEventStream;

/* Called with the value of each data line. Returns false to stop parsing. */
typedef bool (*EbEventStreamCallback)(void *context, const char *value,
                                      size_t value_bytes);

/* Creates a parser that accepts lines of up to `max_line_bytes`. */
EbEventStream *EbEventStream_New(size_t max_line_bytes,
                                 EbEventStreamCallback callback,
                                 void *context);

/* Accepts NULL. */
void EbEventStream_Free(EbEventStream *stream);

/* Parses the next bytes of the stream. Returns false if a line is too long or
 * the callback stopped parsing. */
bool EbEventStream_Feed(EbEventStream *stream, const char *bytes,
                        size_t byte_count);

#endif
