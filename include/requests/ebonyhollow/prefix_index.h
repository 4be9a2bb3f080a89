/* EbPrefixIndex: predicts which backend server caches a prompt's prefix.
 *
 * The index learns from this daemon's own routing and from the servers' cache
 * events. Events may arrive late or get lost: after a gap in a server's
 * sequence numbers the index drops what events said about that server and
 * ignores its events until it is resynchronised.
 *
 * A prompt is divided into blocks of block_bytes. Only whole blocks count, and
 * only the first max_blocks of a prompt. Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_PREFIX_INDEX_H
#define EBONYHOLLOW_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbPrefixIndex EbPrefixIndex;

typedef struct {
    /* Bound on pairs of block and server; the least recently used one is
     * removed first. 0: 65536. */
    uint32_t max_entries;
    uint32_t block_bytes; /* prompt bytes per block; 0: 256 */
    uint32_t max_blocks;  /* blocks per prompt; 0: 32 */
    /* Time after which a recorded routing no longer counts. 0: 60 s. */
    int64_t routing_lifetime_us;
} EbPrefixIndexOptions;

/* Creates an empty index. Free it with EbPrefixIndex_Free. */
EbPrefixIndex *EbPrefixIndex_New(const EbPrefixIndexOptions *options);

/* Accepts NULL. */
void EbPrefixIndex_Free(EbPrefixIndex *prefixes);

/* Records that a prompt was sent to a server. */
void EbPrefixIndex_RecordRouting(EbPrefixIndex *prefixes, const char *prompt,
                                 size_t prompt_bytes, const char *server_id,
                                 int64_t now_us);

/* Finds the server with the longest cached prefix of a prompt. Among several,
 * the one to which the last matching block was routed most recently.
 *
 * matched_bytes: set to the length of that prefix; may be NULL.
 *
 * Returns a server id, valid until the index changes, or NULL when no block
 * matches. */
const char *EbPrefixIndex_FindServer(EbPrefixIndex *prefixes,
                                     const char *prompt, size_t prompt_bytes,
                                     int64_t now_us, size_t *matched_bytes);

/* Handles a cache event of a server.
 *
 * sequence: number of the event. It grows by one with each event; a repeated
 *     number is ignored.
 * hash: the block, as EbPrefixIndex_BlockHash returns it.
 * stored: true when the block was stored, false when it was evicted.
 *
 * Returns false when there is a gap before `sequence`: what events said about
 * the server is dropped, and further events are ignored with the same result
 * until EbPrefixIndex_Resynchronise. */
bool EbPrefixIndex_CacheEvent(EbPrefixIndex *prefixes, const char *server_id,
                              uint64_t sequence, uint64_t hash, bool stored,
                              int64_t now_us);

/* Replaces what events said about a server by its full list of cached blocks.
 *
 * sequence: number of the last event that the list includes. */
void EbPrefixIndex_Resynchronise(EbPrefixIndex *prefixes,
                                 const char *server_id, uint64_t sequence,
                                 const uint64_t *hashes, size_t hash_count,
                                 int64_t now_us);

/* Removes a server that crashed or left. Unknown ids are ignored. */
void EbPrefixIndex_RemoveServer(EbPrefixIndex *prefixes,
                                const char *server_id);

/* Returns the hash of a block of a prompt (XXH64), chained over the blocks
 * before it.
 *
 * index: must be less than the number of indexed blocks of the prompt. */
uint64_t EbPrefixIndex_BlockHash(const EbPrefixIndex *prefixes,
                                 const char *prompt, size_t prompt_bytes,
                                 size_t index);

#endif
