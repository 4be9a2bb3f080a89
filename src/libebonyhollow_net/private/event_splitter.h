/* EbEventSplitter: whole events of an event stream, with their bytes
 * unchanged.
 *
 * Divides a stream (text/event-stream, HTML Living Standard, section 9.2) at
 * the empty lines between events and reads their ids; the part of an event
 * that has not ended is kept back. */
#ifndef EB_EVENT_SPLITTER_H
#define EB_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbEventSplitter EbEventSplitter;

/* Takes one whole event with its empty line. An event without an id has the
 * id -1. */
typedef void (*EbEventSplitterCallback)(void *context, int64_t id,
                                        const uint8_t *bytes,
                                        size_t byte_count);

EbEventSplitter *EbEventSplitter_New(EbEventSplitterCallback found,
                                     void *context);
void EbEventSplitter_Free(EbEventSplitter *blocks);
void EbEventSplitter_Reset(EbEventSplitter *blocks);

/* Returns false when an event exceeds 1 MiB. */
bool EbEventSplitter_Feed(EbEventSplitter *blocks, const uint8_t *bytes,
                          size_t byte_count);

/* Returns whether no part of an event is kept back. */
bool EbEventSplitter_IsEmpty(const EbEventSplitter *blocks);

#endif
