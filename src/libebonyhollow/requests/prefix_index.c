#include "ebonyhollow/prefix_index.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#define DEFAULT_MAX_ENTRIES 65536
#define DEFAULT_BLOCK_BYTES 256
#define DEFAULT_MAX_BLOCKS 32
#define DEFAULT_ROUTING_LIFETIME_US 60000000
#define NEVER_US INT64_MIN
/* A prefix that all prompts share is soon cached on every server. Keeping more
 * servers for one block would only make the search longer. */
#define MAX_SERVERS_PER_BLOCK 32

/* One block cached at one server. It is linked into the list of its block, the
 * list of its server and the list of all entries by last use. */
typedef struct Entry {
    uint64_t hash;
    struct Server *server;
    struct Entry *next; /* same block at another server */
    int64_t routed_us;  /* last routing by this daemon, or NEVER_US */
    bool cached;        /* according to cache events */
    GList by_server;
    GList by_use;
} Entry;

typedef struct Server {
    char *id;
    GQueue entries;
    bool has_sequence;
    bool is_synchronised;
    uint64_t sequence;
    uint64_t matched_step; /* last search step that it matched */
} Server;

struct EbPrefixIndex {
    EbPrefixIndexOptions options;
    GHashTable *blocks;  /* set of the first Entry of each block */
    GHashTable *servers; /* id to Server */
    GQueue by_use;       /* most recently used first */
    uint64_t last_step;  /* numbers the steps of all searches */
};

static guint
hash_entry(gconstpointer entry)
{
    return (guint)((const Entry *)entry)->hash;
}

static gboolean
equal_entries(gconstpointer left, gconstpointer right)
{
    return ((const Entry *)left)->hash == ((const Entry *)right)->hash;
}

static void
free_server(gpointer pointer)
{
    Server *server = pointer;
    g_free(server->id);
    g_free(server);
}

EbPrefixIndex *
EbPrefixIndex_New(const EbPrefixIndexOptions *options)
{
    EbPrefixIndex *prefixes = g_new0(EbPrefixIndex, 1);
    prefixes->options = *options;
    if (options->max_entries == 0) {
        prefixes->options.max_entries = DEFAULT_MAX_ENTRIES;
    }
    if (options->block_bytes == 0) {
        prefixes->options.block_bytes = DEFAULT_BLOCK_BYTES;
    }
    if (options->max_blocks == 0) {
        prefixes->options.max_blocks = DEFAULT_MAX_BLOCKS;
    }
    if (options->routing_lifetime_us == 0) {
        prefixes->options.routing_lifetime_us = DEFAULT_ROUTING_LIFETIME_US;
    }
    prefixes->blocks = g_hash_table_new(hash_entry, equal_entries);
    prefixes->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    g_queue_init(&prefixes->by_use);
    return prefixes;
}

void
EbPrefixIndex_Free(EbPrefixIndex *prefixes)
{
    if (prefixes == NULL) {
        return;
    }
    GList *link;
    while ((link = g_queue_pop_head_link(&prefixes->by_use)) != NULL) {
        g_free(link->data);
    }
    g_hash_table_destroy(prefixes->blocks);
    g_hash_table_destroy(prefixes->servers);
    g_free(prefixes);
}

static Server *
get_server(EbPrefixIndex *prefixes, const char *id)
{
    Server *server = g_hash_table_lookup(prefixes->servers, id);
    if (server == NULL) {
        server = g_new0(Server, 1);
        server->id = g_strdup(id);
        g_queue_init(&server->entries);
        g_hash_table_insert(prefixes->servers, server->id, server);
    }
    return server;
}

static Entry *
find_block(const EbPrefixIndex *prefixes, uint64_t hash)
{
    const Entry key = {.hash = hash};
    return g_hash_table_lookup(prefixes->blocks, &key);
}

static Entry *
find_entry(const EbPrefixIndex *prefixes, uint64_t hash, const Server *server)
{
    Entry *entry = find_block(prefixes, hash);
    while (entry != NULL && entry->server != server) {
        entry = entry->next;
    }
    return entry;
}

static void
remove_entry(EbPrefixIndex *prefixes, Entry *entry)
{
    Entry *first = find_block(prefixes, entry->hash);
    if (first == entry) {
        if (entry->next != NULL) {
            g_hash_table_add(prefixes->blocks, entry->next);
        }
        else {
            g_hash_table_remove(prefixes->blocks, entry);
        }
    }
    else {
        while (first->next != entry) {
            first = first->next;
        }
        first->next = entry->next;
    }
    g_queue_unlink(&entry->server->entries, &entry->by_server);
    g_queue_unlink(&prefixes->by_use, &entry->by_use);
    g_free(entry);
}

/* Adds an entry as the first of its block, and removes the last one when the
 * block has too many servers. */
static void
link_to_block(EbPrefixIndex *prefixes, Entry *entry)
{
    entry->next = find_block(prefixes, entry->hash);
    g_hash_table_add(prefixes->blocks, entry);
    int count = 1;
    Entry *last = entry;
    while (last->next != NULL) {
        last = last->next;
        count++;
    }
    if (count > MAX_SERVERS_PER_BLOCK) {
        remove_entry(prefixes, last);
    }
}

/* Finds or adds an entry and makes it the most recently used. */
static Entry *
use_entry(EbPrefixIndex *prefixes, uint64_t hash, Server *server)
{
    Entry *entry = find_entry(prefixes, hash, server);
    if (entry != NULL) {
        g_queue_unlink(&prefixes->by_use, &entry->by_use);
        g_queue_push_head_link(&prefixes->by_use, &entry->by_use);
        return entry;
    }
    if (prefixes->by_use.length >= prefixes->options.max_entries) {
        remove_entry(prefixes, g_queue_peek_tail(&prefixes->by_use));
    }
    entry = g_new0(Entry, 1);
    entry->hash = hash;
    entry->server = server;
    entry->routed_us = NEVER_US;
    entry->by_server.data = entry;
    entry->by_use.data = entry;
    g_queue_push_head_link(&server->entries, &entry->by_server);
    g_queue_push_head_link(&prefixes->by_use, &entry->by_use);
    link_to_block(prefixes, entry);
    return entry;
}

/* Returns the number of blocks of a prompt that are indexed: whole blocks
 * only, since engines don't cache partial blocks either, and at most
 * max_blocks. */
static size_t
count_blocks(const EbPrefixIndex *prefixes, size_t prompt_bytes)
{
    size_t blocks = prompt_bytes / prefixes->options.block_bytes;
    return MIN(blocks, prefixes->options.max_blocks);
}

/* Hashes one block, with the hash of the block before it as the seed. */
static uint64_t
hash_block(const EbPrefixIndex *prefixes, const char *prompt, size_t index,
           uint64_t before)
{
    size_t bytes = prefixes->options.block_bytes;
    return XXH64(prompt + index * bytes, bytes, before);
}

uint64_t
EbPrefixIndex_BlockHash(const EbPrefixIndex *prefixes, const char *prompt,
                        size_t prompt_bytes, size_t index)
{
    assert(index < count_blocks(prefixes, prompt_bytes));
    uint64_t hash = 0;
    for (size_t i = 0; i <= index; i++) {
        hash = hash_block(prefixes, prompt, i, hash);
    }
    return hash;
}

void
EbPrefixIndex_RecordRouting(EbPrefixIndex *prefixes, const char *prompt,
                            size_t prompt_bytes, const char *server_id,
                            int64_t now_us)
{
    Server *server = get_server(prefixes, server_id);
    size_t blocks = count_blocks(prefixes, prompt_bytes);
    uint64_t hash = 0;
    for (size_t i = 0; i < blocks; i++) {
        hash = hash_block(prefixes, prompt, i, hash);
        use_entry(prefixes, hash, server)->routed_us = now_us;
    }
}

static bool
is_live(const EbPrefixIndex *prefixes, const Entry *entry, int64_t now_us)
{
    return entry->cached ||
           (entry->routed_us != NEVER_US &&
            now_us - entry->routed_us < prefixes->options.routing_lifetime_us);
}

/* Returns, among the servers that cache a block and matched the step before,
 * the one to which the block was routed last, and records this step at all of
 * them. `first` is true for the first step of a search. */
static Server *
match_block(const EbPrefixIndex *prefixes, uint64_t hash, uint64_t step,
            bool first, int64_t now_us)
{
    const Entry *best = NULL;
    for (Entry *entry = find_block(prefixes, hash); entry != NULL;
         entry = entry->next) {
        if (!is_live(prefixes, entry, now_us) ||
            (!first && entry->server->matched_step != step - 1)) {
            continue;
        }
        entry->server->matched_step = step;
        if (best == NULL || entry->routed_us > best->routed_us) {
            best = entry;
        }
    }
    return best != NULL ? best->server : NULL;
}

const char *
EbPrefixIndex_FindServer(EbPrefixIndex *prefixes, const char *prompt,
                         size_t prompt_bytes, int64_t now_us,
                         size_t *matched_bytes)
{
    const Server *found = NULL;
    size_t blocks = count_blocks(prefixes, prompt_bytes);
    size_t matched = 0;
    uint64_t hash = 0;
    /* A gap in the numbers, so that no step of an earlier search matches. */
    prefixes->last_step++;
    while (matched < blocks) {
        hash = hash_block(prefixes, prompt, matched, hash);
        Server *server = match_block(prefixes, hash, ++prefixes->last_step,
                                     matched == 0, now_us);
        if (server == NULL) {
            break;
        }
        found = server;
        matched++;
    }
    if (matched_bytes != NULL) {
        *matched_bytes = matched * prefixes->options.block_bytes;
    }
    return found != NULL ? found->id : NULL;
}

/* Forgets the blocks of a server that only cache events reported. Blocks that
 * this daemon routed there itself stay. */
static void
forget_events(EbPrefixIndex *prefixes, Server *server)
{
    for (GList *link = server->entries.head; link != NULL;) {
        GList *next = link->next;
        Entry *entry = link->data;
        entry->cached = false;
        if (entry->routed_us == NEVER_US) {
            remove_entry(prefixes, entry);
        }
        link = next;
    }
}

bool
EbPrefixIndex_CacheEvent(EbPrefixIndex *prefixes, const char *server_id,
                         uint64_t sequence, uint64_t hash, bool stored,
                         int64_t now_us)
{
    (void)now_us;
    Server *server = get_server(prefixes, server_id);
    if (server->has_sequence) {
        if (!server->is_synchronised) {
            return false;
        }
        if (sequence == server->sequence) {
            return true; /* repeated */
        }
        /* A lower number means that the server restarted. */
        if (sequence != server->sequence + 1) {
            server->is_synchronised = false;
            forget_events(prefixes, server);
            return false;
        }
    }
    server->has_sequence = true;
    server->is_synchronised = true;
    server->sequence = sequence;
    if (stored) {
        use_entry(prefixes, hash, server)->cached = true;
        return true;
    }
    Entry *entry = find_entry(prefixes, hash, server);
    if (entry != NULL) {
        remove_entry(prefixes, entry);
    }
    return true;
}

void
EbPrefixIndex_Resynchronise(EbPrefixIndex *prefixes, const char *server_id,
                            uint64_t sequence, const uint64_t *hashes,
                            size_t hash_count, int64_t now_us)
{
    (void)now_us;
    Server *server = get_server(prefixes, server_id);
    forget_events(prefixes, server);
    server->has_sequence = true;
    server->is_synchronised = true;
    server->sequence = sequence;
    for (size_t i = 0; i < hash_count; i++) {
        use_entry(prefixes, hashes[i], server)->cached = true;
    }
}

void
EbPrefixIndex_RemoveServer(EbPrefixIndex *prefixes, const char *server_id)
{
    Server *server = g_hash_table_lookup(prefixes->servers, server_id);
    if (server == NULL) {
        return;
    }
    Entry *entry;
    while ((entry = g_queue_peek_head(&server->entries)) != NULL) {
        remove_entry(prefixes, entry);
    }
    g_hash_table_remove(prefixes->servers, server_id);
}
