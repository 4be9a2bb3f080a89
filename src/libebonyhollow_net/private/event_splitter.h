/* EbEventSplitter: splits an event stream into whole events.
 *
 * Splits a stream (text/event-stream, HTML Living Standard, section 9.2) at
 * the empty lines between events and reads the events' ids. The bytes of an
 * event are passed on unchanged. An incomplete event is buffered until the
 * rest of it arrives. */
#ifndef EB_EVENT_SPLITTER_H
#define EB_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbEventSplitter EbEventSplitter;

/* Called for each whole event, including its terminating empty line. `id` is
 * -1 if the event has no id. The callback may call EbEventSplitter_Reset. */
typedef void (*EbEventSplitterCallback)(void *context, int64_t id,
                                        const uint8_t *bytes,
                                        size_t byte_count);

EbEventSplitter *EbEventSplitter_New(EbEventSplitterCallback callback,
                                     void *context);

/* Accepts NULL. */
void EbEventSplitter_Free(EbEventSplitter *splitter);

/* Discards an incomplete event. */
void EbEventSplitter_Reset(EbEventSplitter *splitter);

/* Adds bytes of the stream and calls the callback for each event that they
 * complete. Returns false if the event that is still incomplete afterwards
 * exceeds 1 MiB. */
bool EbEventSplitter_Feed(EbEventSplitter *splitter, const uint8_t *bytes,
                          size_t byte_count);

/* Returns the bytes of the incomplete event that is buffered, or 0. */
size_t EbEventSplitter_BufferedBytes(const EbEventSplitter *splitter);

#endif
