/* EbPrefixIndex: which backend server probably caches a prompt's prefix.
 *
 * Fed by this daemon's own routing and by cache events, which arrive late and
 * with gaps: a gap in a server's sequence numbers forgets what events said of
 * that server until it is resynchronised. */
#ifndef EBONYHOLLOW_PREFIX_INDEX_H
#define EBONYHOLLOW_PREFIX_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbPrefixIndex EbPrefixIndex;

typedef struct {
    uint32_t max_entries;        /* 0: 65536; least recently used go first */
    uint32_t block_bytes;        /* prompt bytes per hash; 0: 256 */
    uint32_t max_blocks;         /* hashes per prompt; 0: 32 */
    int64_t routing_lifetime_us; /* age at which own memory lapses; 0: 60 s */
} EbPrefixIndexOptions;

EbPrefixIndex *EbPrefixIndex_New(const EbPrefixIndexOptions *options);
void EbPrefixIndex_Free(EbPrefixIndex *prefixes);

/* Remembers that a prompt was sent to a server. */
void EbPrefixIndex_RecordRouting(EbPrefixIndex *prefixes, const char *prompt,
                                 size_t prompt_bytes, const char *server_id,
                                 int64_t now_us);

/* Finds the server with the longest cached prefix of a prompt.
 *
 * matched_bytes: set to the length of that prefix; may be NULL.
 *
 * Returns a server id valid until the next change, or NULL. */
const char *EbPrefixIndex_FindServer(EbPrefixIndex *prefixes,
                                     const char *prompt, size_t prompt_bytes,
                                     int64_t now_us, size_t *matched_bytes);

/* Takes a cache event: block `hash` stored or evicted at a server.
 *
 * Returns false when `sequence` shows a gap: the server's entries are
 * forgotten and its events are ignored until EbPrefixIndex_Resynchronise. */
bool EbPrefixIndex_CacheEvent(EbPrefixIndex *prefixes, const char *server_id,
                              uint64_t sequence, uint64_t hash, bool stored,
                              int64_t now_us);

/* Starts over with a server's full list of cached blocks. */
void EbPrefixIndex_Resynchronise(EbPrefixIndex *prefixes,
                                 const char *server_id, uint64_t sequence,
                                 const uint64_t *hashes, size_t hash_count,
                                 int64_t now_us);

/* Forgets a server that crashed or left. */
void EbPrefixIndex_RemoveServer(EbPrefixIndex *prefixes,
                                const char *server_id);

/* Hash of block `index` of a prompt, chained over the blocks before it. */
uint64_t EbPrefixIndex_BlockHash(const EbPrefixIndex *prefixes,
                                 const char *prompt, size_t prompt_bytes,
                                 size_t index);

#endif
