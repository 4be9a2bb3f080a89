/* EbEventBlocks: whole events of an event stream, with their bytes unchanged.
 *
 * Divides a stream (text/event-stream, HTML Living Standard, section 9.2) at
 * the empty lines between events and reads their ids; the part of an event
 * that has not ended is kept back. */
#ifndef EB_EVENT_BLOCKS_H
#define EB_EVENT_BLOCKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbEventBlocks EbEventBlocks;

/* Takes one whole event with its empty line. An event without an id has the
 * id -1. */
typedef void (*EbEventBlocksFound)(void *context, int64_t id,
                                   const uint8_t *bytes, size_t byte_count);

EbEventBlocks *EbEventBlocks_New(EbEventBlocksFound found, void *context);
void EbEventBlocks_Free(EbEventBlocks *blocks);
void EbEventBlocks_Reset(EbEventBlocks *blocks);

/* Returns false when an event exceeds 1 MiB. */
bool EbEventBlocks_Feed(EbEventBlocks *blocks, const uint8_t *bytes,
                        size_t byte_count);

/* Returns whether no part of an event is kept back. */
bool EbEventBlocks_IsEmpty(const EbEventBlocks *blocks);

#endif
