/* Tests of EbPrefixIndex, which predicts the servers that cache a prefix. */
#include <stdio.h>
#include <string.h>

#include "ebonyhollow/prefix_index.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define BLOCK_BYTES 4

static EbPrefixIndex *
new_index(uint32_t max_entries)
{
    return EbPrefixIndex_New(
        &(EbPrefixIndexOptions){.max_entries = max_entries,
                                .block_bytes = BLOCK_BYTES,
                                .max_blocks = 5,
                                .routing_lifetime_us = 1000});
}

static void
record(EbPrefixIndex *prefixes, const char *prompt, const char *server,
       int64_t now_us)
{
    EbPrefixIndex_RecordRouting(prefixes, prompt, strlen(prompt), server,
                                now_us);
}

static void
expect(EbPrefixIndex *prefixes, const char *prompt, const char *server,
       size_t matched_bytes, int64_t now_us)
{
    size_t matched = 99;
    const char *found = EbPrefixIndex_FindServer(
        prefixes, prompt, strlen(prompt), now_us, &matched);
    CU_ASSERT_EQUAL(matched, matched_bytes);
    if (server == NULL) {
        CU_ASSERT_PTR_NULL(found);
        return;
    }
    CU_ASSERT_TRUE(found != NULL && strcmp(found, server) == 0);
}

static uint64_t
hash_of(const EbPrefixIndex *prefixes, const char *prompt, size_t index)
{
    return EbPrefixIndex_BlockHash(prefixes, prompt, strlen(prompt), index);
}

/* Guards against the choice of a server that caches a shorter prefix than
 * another one, and against blocks that match at a wrong place in a prompt. */
static void
test_longest_prefix(void)
{
    static const struct {
        const char *prompt;
        const char *server;
        size_t matched;
    } rows[] = {
        {"aaaabbbbcccc", "s1", 12},
        {"aaaabbbbcccd", "s1", 8},
        {"aaaabbbbdddd", "s2", 12},
        {"aaaaeeee", "s2", 4},
        {"bbbbcccc", NULL, 0},
        {"aaa", NULL, 0},
        {"", NULL, 0},
        {"aaaabbbbccccdddd", "s1", 12},
        {"1111222233334444555566667777", "s3", 20},
    };
    EbPrefixIndex *prefixes = new_index(0);
    record(prefixes, "aaaabbbbddddxx", "s2", 1);
    record(prefixes, "aaaabbbbccccxx", "s1", 2);
    record(prefixes, "1111222233334444555566667777", "s3", 3);
    record(prefixes, "aaaa", "s2", 4); /* most recent routing of "aaaa" */
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        expect(prefixes, rows[i].prompt, rows[i].server, rows[i].matched, 10);
    }
    EbPrefixIndex_Free(prefixes);
}

/* Guards against recorded routings that never expire, and against cache events
 * that expire like routings. */
static void
test_expiry(void)
{
    EbPrefixIndex *prefixes = new_index(0);
    record(prefixes, "aaaa", "s1", 0);
    expect(prefixes, "aaaa", "s1", 4, 999);
    expect(prefixes, "aaaa", NULL, 0, 1000);
    CU_ASSERT_TRUE(EbPrefixIndex_CacheEvent(
        prefixes, "s2", 1, hash_of(prefixes, "aaaa", 0), true, 0));
    expect(prefixes, "aaaa", "s2", 4, 1000000);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against stale entries after lost cache events, and against events
 * that stay ignored after the server was resynchronised or removed. */
static void
test_cache_events(void)
{
    EbPrefixIndex *prefixes = new_index(0);
    uint64_t first = hash_of(prefixes, "aaaabbbb", 0);
    uint64_t second = hash_of(prefixes, "aaaabbbb", 1);
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 7, first, true, 0));
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 8, second, true, 0));
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 8, second, true, 0));
    expect(prefixes, "aaaabbbb", "s1", 8, 0);
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 9, second, false, 0));
    expect(prefixes, "aaaabbbb", "s1", 4, 0);
    CU_ASSERT_FALSE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 11, second, true, 0));
    expect(prefixes, "aaaabbbb", NULL, 0, 0);
    CU_ASSERT_FALSE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 12, second, true, 0));
    expect(prefixes, "aaaabbbb", NULL, 0, 0);
    record(prefixes, "aaaabbbb", "s1", 0); /* routings still count */
    expect(prefixes, "aaaabbbb", "s1", 8, 0);
    EbPrefixIndex_Resynchronise(prefixes, "s1", 20, &first, 1, 0);
    expect(prefixes, "aaaabbbb", "s1", 4, 5000);
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 21, second, true, 0));
    expect(prefixes, "aaaabbbb", "s1", 8, 5000);
    /* The server restarted. */
    CU_ASSERT_FALSE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 1, second, true, 0));
    expect(prefixes, "aaaabbbb", NULL, 0, 5000);
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 1, first, true, 0));
    expect(prefixes, "aaaabbbb", "s1", 4, 5000);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against entries of a removed server that are still found. */
static void
test_remove_server(void)
{
    EbPrefixIndex *prefixes = new_index(0);
    record(prefixes, "aaaabbbb", "s1", 0);
    record(prefixes, "aaaacccc", "s2", 0);
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    expect(prefixes, "aaaabbbb", "s2", 4, 0);
    EbPrefixIndex_RemoveServer(prefixes, "s2");
    expect(prefixes, "aaaabbbb", NULL, 0, 0);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against an index that grows without bound, and against the removal of
 * an entry other than the least recently used one. */
static void
test_least_recently_used(void)
{
    EbPrefixIndex *prefixes = new_index(3);
    record(prefixes, "aaaa", "s1", 0);
    record(prefixes, "bbbb", "s2", 0);
    record(prefixes, "cccc", "s3", 0);
    record(prefixes, "aaaa", "s1", 0);
    record(prefixes, "dddd", "s4", 0);
    expect(prefixes, "aaaa", "s1", 4, 0);
    expect(prefixes, "bbbb", NULL, 0, 0);
    expect(prefixes, "cccc", "s3", 4, 0);
    expect(prefixes, "dddd", "s4", 4, 0);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against corruption of the linked lists in the index by a random mix
 * of operations, which the sanitizers detect, and against a recorded routing
 * that is not found. */
static void
test_random_operations(void)
{
    EbPrefixIndex *prefixes = new_index(60);
    EbRandom random;
    EbRandom_Init(&random, 9);
    uint64_t sequence = 0;
    for (int i = 0; i < 50000; i++) {
        char prompt[21], server[16];
        snprintf(server, sizeof(server), "s%d",
                 (int)EbRandom_Below(&random, 50));
        for (size_t c = 0; c < 20; c++) {
            uint64_t letter =
                c % BLOCK_BYTES == 0 ? EbRandom_Below(&random, 2) : 0;
            prompt[c] = (char)('a' + letter);
        }
        prompt[EbRandom_Below(&random, 21)] = '\0';
        prompt[20] = '\0';
        uint64_t hash = strlen(prompt) >= BLOCK_BYTES
                            ? hash_of(prefixes, prompt, 0)
                            : EbRandom_Next(&random);
        switch (EbRandom_Below(&random, 8)) {
        case 0:
            EbPrefixIndex_RemoveServer(prefixes, server);
            break;
        case 1:
            EbPrefixIndex_Resynchronise(prefixes, server, sequence, &hash, 1,
                                        i);
            break;
        case 2:
        case 3:
            sequence += EbRandom_Below(&random, 2);
            EbPrefixIndex_CacheEvent(prefixes, "s1", sequence, hash,
                                     EbRandom_Below(&random, 3) > 0, i);
            break;
        default:
            record(prefixes, prompt, server, i);
            expect(prefixes, prompt,
                   strlen(prompt) >= BLOCK_BYTES ? server : NULL,
                   strlen(prompt) / BLOCK_BYTES * BLOCK_BYTES, i);
            break;
        }
    }
    EbPrefixIndex_Free(prefixes);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"longest prefix", test_longest_prefix},
        {"expiry", test_expiry},
        {"cache events", test_cache_events},
        {"remove server", test_remove_server},
        {"least recently used", test_least_recently_used},
        {"random operations", test_random_operations},
    };
    return EbTest_Run("test_prefix_index", cases, TABLE_COUNT(cases));
}
