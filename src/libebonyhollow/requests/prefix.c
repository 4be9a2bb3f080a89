#include "ebonyhollow/prefix.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#define DEFAULT_MAX_ENTRIES 65536
#define DEFAULT_BLOCK_BYTES 256
#define DEFAULT_MAX_BLOCKS 32
#define DEFAULT_MEMORY_US 60000000
#define NEVER_US INT64_MIN
/* A prompt prefix that every request shares ends up on every server; more
 * servers for one block would only lengthen the search. */
#define MAX_SERVERS_PER_BLOCK 32

/* One block cached at one server. It is in the list of its block, in the list
 * of its server and in the list by last use. */
typedef struct Entry {
    uint64_t hash;
    struct Server *server;
    struct Entry *next; /* same block, other server */
    int64_t routed_us;  /* last own routing, or NEVER_US */
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
    uint64_t mark; /* search step that matched it last */
} Server;

struct EbPrefix {
    EbPrefixOptions options;
    GHashTable *blocks; /* set of the first entry of each block */
    GHashTable *servers;
    GQueue by_use; /* most recently used first */
    uint64_t marks;
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

EbPrefix *
EbPrefix_New(const EbPrefixOptions *options)
{
    EbPrefix *prefix = g_new0(EbPrefix, 1);
    prefix->options = *options;
    if (options->max_entries == 0) {
        prefix->options.max_entries = DEFAULT_MAX_ENTRIES;
    }
    if (options->block_bytes == 0) {
        prefix->options.block_bytes = DEFAULT_BLOCK_BYTES;
    }
    if (options->max_blocks == 0) {
        prefix->options.max_blocks = DEFAULT_MAX_BLOCKS;
    }
    if (options->memory_us == 0) {
        prefix->options.memory_us = DEFAULT_MEMORY_US;
    }
    prefix->blocks = g_hash_table_new(hash_entry, equal_entries);
    prefix->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    g_queue_init(&prefix->by_use);
    return prefix;
}

void
EbPrefix_Free(EbPrefix *prefix)
{
    if (prefix == NULL) {
        return;
    }
    GList *link;
    while ((link = g_queue_pop_head_link(&prefix->by_use)) != NULL) {
        g_free(link->data);
    }
    g_hash_table_destroy(prefix->blocks);
    g_hash_table_destroy(prefix->servers);
    g_free(prefix);
}

static Server *
get_server(EbPrefix *prefix, const char *id)
{
    Server *server = g_hash_table_lookup(prefix->servers, id);
    if (server == NULL) {
        server = g_new0(Server, 1);
        server->id = g_strdup(id);
        g_queue_init(&server->entries);
        g_hash_table_insert(prefix->servers, server->id, server);
    }
    return server;
}

static Entry *
find_block(const EbPrefix *prefix, uint64_t hash)
{
    const Entry key = {.hash = hash};
    return g_hash_table_lookup(prefix->blocks, &key);
}

static Entry *
find_entry(const EbPrefix *prefix, uint64_t hash, const Server *server)
{
    Entry *entry = find_block(prefix, hash);
    while (entry != NULL && entry->server != server) {
        entry = entry->next;
    }
    return entry;
}

static void
remove_entry(EbPrefix *prefix, Entry *entry)
{
    Entry *first = find_block(prefix, entry->hash);
    if (first == entry) {
        if (entry->next != NULL) {
            g_hash_table_add(prefix->blocks, entry->next);
        }
        else {
            g_hash_table_remove(prefix->blocks, entry);
        }
    }
    else {
        while (first->next != entry) {
            first = first->next;
        }
        first->next = entry->next;
    }
    g_queue_unlink(&entry->server->entries, &entry->by_server);
    g_queue_unlink(&prefix->by_use, &entry->by_use);
    g_free(entry);
}

/* Adds an entry as the first of its block and drops the last when the block
 * is on too many servers. */
static void
link_to_block(EbPrefix *prefix, Entry *entry)
{
    entry->next = find_block(prefix, entry->hash);
    g_hash_table_add(prefix->blocks, entry);
    int count = 1;
    Entry *last = entry;
    while (last->next != NULL) {
        last = last->next;
        count++;
    }
    if (count > MAX_SERVERS_PER_BLOCK) {
        remove_entry(prefix, last);
    }
}

/* Finds or adds an entry and makes it the most recently used. */
static Entry *
use_entry(EbPrefix *prefix, uint64_t hash, Server *server)
{
    Entry *entry = find_entry(prefix, hash, server);
    if (entry != NULL) {
        g_queue_unlink(&prefix->by_use, &entry->by_use);
        g_queue_push_head_link(&prefix->by_use, &entry->by_use);
        return entry;
    }
    if (prefix->by_use.length >= prefix->options.max_entries) {
        remove_entry(prefix, g_queue_peek_tail(&prefix->by_use));
    }
    entry = g_new0(Entry, 1);
    entry->hash = hash;
    entry->server = server;
    entry->routed_us = NEVER_US;
    entry->by_server.data = entry;
    entry->by_use.data = entry;
    g_queue_push_head_link(&server->entries, &entry->by_server);
    g_queue_push_head_link(&prefix->by_use, &entry->by_use);
    link_to_block(prefix, entry);
    return entry;
}

/* Number of whole blocks that are looked at. A partial block is not cached by
 * the engines either. */
static size_t
count_blocks(const EbPrefix *prefix, size_t prompt_bytes)
{
    size_t blocks = prompt_bytes / prefix->options.block_bytes;
    return MIN(blocks, prefix->options.max_blocks);
}

/* Hash of one block, with the hash of the one before it as the seed. */
static uint64_t
hash_block(const EbPrefix *prefix, const char *prompt, size_t index,
           uint64_t before)
{
    size_t bytes = prefix->options.block_bytes;
    return XXH64(prompt + index * bytes, bytes, before);
}

uint64_t
EbPrefix_Hash(const EbPrefix *prefix, const char *prompt, size_t prompt_bytes,
              size_t index)
{
    assert(index < count_blocks(prefix, prompt_bytes));
    uint64_t hash = 0;
    for (size_t i = 0; i <= index; i++) {
        hash = hash_block(prefix, prompt, i, hash);
    }
    return hash;
}

void
EbPrefix_Record(EbPrefix *prefix, const char *prompt, size_t prompt_bytes,
                const char *server_id, int64_t now_us)
{
    Server *server = get_server(prefix, server_id);
    size_t blocks = count_blocks(prefix, prompt_bytes);
    uint64_t hash = 0;
    for (size_t i = 0; i < blocks; i++) {
        hash = hash_block(prefix, prompt, i, hash);
        use_entry(prefix, hash, server)->routed_us = now_us;
    }
}

static bool
is_live(const EbPrefix *prefix, const Entry *entry, int64_t now_us)
{
    return entry->cached ||
           (entry->routed_us != NEVER_US &&
            now_us - entry->routed_us < prefix->options.memory_us);
}

/* Returns the most recently routed of the servers that cache a block and
 * matched the step before, and marks those servers with this step. */
static Server *
match_block(const EbPrefix *prefix, uint64_t hash, uint64_t step, bool first,
            int64_t now_us)
{
    const Entry *best = NULL;
    for (Entry *entry = find_block(prefix, hash); entry != NULL;
         entry = entry->next) {
        if (!is_live(prefix, entry, now_us) ||
            (!first && entry->server->mark != step - 1)) {
            continue;
        }
        entry->server->mark = step;
        if (best == NULL || entry->routed_us > best->routed_us) {
            best = entry;
        }
    }
    return best != NULL ? best->server : NULL;
}

const char *
EbPrefix_Find(EbPrefix *prefix, const char *prompt, size_t prompt_bytes,
              int64_t now_us, size_t *matched_bytes)
{
    const Server *found = NULL;
    size_t blocks = count_blocks(prefix, prompt_bytes);
    size_t matched = 0;
    uint64_t hash = 0;
    prefix->marks++; /* so that no mark of an earlier search matches */
    while (matched < blocks) {
        hash = hash_block(prefix, prompt, matched, hash);
        Server *server =
            match_block(prefix, hash, ++prefix->marks, matched == 0, now_us);
        if (server == NULL) {
            break;
        }
        found = server;
        matched++;
    }
    if (matched_bytes != NULL) {
        *matched_bytes = matched * prefix->options.block_bytes;
    }
    return found != NULL ? found->id : NULL;
}

/* Forgets what cache events said of a server; own routing memory stays. */
static void
forget_events(EbPrefix *prefix, Server *server)
{
    for (GList *link = server->entries.head; link != NULL;) {
        GList *next = link->next;
        Entry *entry = link->data;
        entry->cached = false;
        if (entry->routed_us == NEVER_US) {
            remove_entry(prefix, entry);
        }
        link = next;
    }
}

bool
EbPrefix_CacheEvent(EbPrefix *prefix, const char *server_id, uint64_t sequence,
                    uint64_t hash, bool stored, int64_t now_us)
{
    (void)now_us;
    Server *server = get_server(prefix, server_id);
    if (server->has_sequence) {
        if (!server->is_synchronised) {
            return false;
        }
        if (sequence == server->sequence) {
            return true; /* repeated */
        }
        /* A lower number means that the server started over. */
        if (sequence != server->sequence + 1) {
            server->is_synchronised = false;
            forget_events(prefix, server);
            return false;
        }
    }
    server->has_sequence = true;
    server->is_synchronised = true;
    server->sequence = sequence;
    if (stored) {
        use_entry(prefix, hash, server)->cached = true;
        return true;
    }
    Entry *entry = find_entry(prefix, hash, server);
    if (entry != NULL) {
        remove_entry(prefix, entry);
    }
    return true;
}

void
EbPrefix_Resynchronise(EbPrefix *prefix, const char *server_id,
                       uint64_t sequence, const uint64_t *hashes,
                       size_t hash_count, int64_t now_us)
{
    (void)now_us;
    Server *server = get_server(prefix, server_id);
    forget_events(prefix, server);
    server->has_sequence = true;
    server->is_synchronised = true;
    server->sequence = sequence;
    for (size_t i = 0; i < hash_count; i++) {
        use_entry(prefix, hashes[i], server)->cached = true;
    }
}

void
EbPrefix_Forget(EbPrefix *prefix, const char *server_id)
{
    Server *server = g_hash_table_lookup(prefix->servers, server_id);
    if (server == NULL) {
        return;
    }
    Entry *entry;
    while ((entry = g_queue_peek_head(&server->entries)) != NULL) {
        remove_entry(prefix, entry);
    }
    g_hash_table_remove(prefix->servers, server_id);
}
