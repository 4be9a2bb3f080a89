/* Tests of the routing memory of prompt prefixes. */
#include <stdio.h>
#include <string.h>

#include "ebonyhollow/prefix_index.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define BLOCK 4

static EbPrefixIndex *
new_prefix(uint32_t max_entries)
{
    return EbPrefixIndex_New(
        &(EbPrefixIndexOptions){.max_entries = max_entries,
                                .block_bytes = BLOCK,
                                .max_blocks = 5,
                                .routing_lifetime_us = 1000});
}

static void
record(EbPrefixIndex *prefixes, const char *prompt, const char *server,
       int64_t now)
{
    EbPrefixIndex_RecordRouting(prefixes, prompt, strlen(prompt), server, now);
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

/* Guards against a server with a shorter cached prefix, and against blocks
 * that match at another place in the prompt. */
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
    EbPrefixIndex *prefixes = new_prefix(0);
    record(prefixes, "aaaabbbbddddxx", "s2", 1);
    record(prefixes, "aaaabbbbccccxx", "s1", 2);
    record(prefixes, "1111222233334444555566667777", "s3", 3);
    record(prefixes, "aaaa", "s2", 4); /* most recent for the first block */
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        expect(prefixes, rows[i].prompt, rows[i].server, rows[i].matched, 10);
    }
    EbPrefixIndex_Free(prefixes);
}

/* Guards against own memory that never lapses and against events that lapse
 * like it. */
static void
test_memory(void)
{
    EbPrefixIndex *prefixes = new_prefix(0);
    record(prefixes, "aaaa", "s1", 0);
    expect(prefixes, "aaaa", "s1", 4, 999);
    expect(prefixes, "aaaa", NULL, 0, 1000);
    CU_ASSERT_TRUE(EbPrefixIndex_CacheEvent(
        prefixes, "s2", 1, hash_of(prefixes, "aaaa", 0), true, 0));
    expect(prefixes, "aaaa", "s2", 4, 1000000);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against stale entries after lost events, and against a server that
 * is never believed again. */
static void
test_events(void)
{
    EbPrefixIndex *prefixes = new_prefix(0);
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
    record(prefixes, "aaaabbbb", "s1", 0); /* own memory still counts */
    expect(prefixes, "aaaabbbb", "s1", 8, 0);
    EbPrefixIndex_Resynchronise(prefixes, "s1", 20, &first, 1, 0);
    expect(prefixes, "aaaabbbb", "s1", 4, 5000);
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 21, second, true, 0));
    expect(prefixes, "aaaabbbb", "s1", 8, 5000);
    /* The server started over. */
    CU_ASSERT_FALSE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 1, second, true, 0));
    expect(prefixes, "aaaabbbb", NULL, 0, 5000);
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    CU_ASSERT_TRUE(
        EbPrefixIndex_CacheEvent(prefixes, "s1", 1, first, true, 0));
    expect(prefixes, "aaaabbbb", "s1", 4, 5000);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against entries of a server that outlive it. */
static void
test_forget(void)
{
    EbPrefixIndex *prefixes = new_prefix(0);
    record(prefixes, "aaaabbbb", "s1", 0);
    record(prefixes, "aaaacccc", "s2", 0);
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    EbPrefixIndex_RemoveServer(prefixes, "s1");
    expect(prefixes, "aaaabbbb", "s2", 4, 0);
    EbPrefixIndex_RemoveServer(prefixes, "s2");
    expect(prefixes, "aaaabbbb", NULL, 0, 0);
    EbPrefixIndex_Free(prefixes);
}

/* Guards against memory that grows without bound and against an order of
 * removal other than last use. */
static void
test_least_recently_used(void)
{
    EbPrefixIndex *prefixes = new_prefix(3);
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

/* Guards against broken links between the lists under a random mix of
 * operations; the sanitizers find them. The newest record is always found. */
static void
test_random_operations(void)
{
    EbPrefixIndex *prefixes = new_prefix(60);
    EbRandom random;
    EbRandom_Init(&random, 9);
    uint64_t sequence = 0;
    for (int i = 0; i < 50000; i++) {
        char prompt[21], server[16];
        snprintf(server, sizeof(server), "s%d",
                 (int)EbRandom_Below(&random, 50));
        for (size_t c = 0; c < 20; c++) {
            uint64_t letter = c % BLOCK == 0 ? EbRandom_Below(&random, 2) : 0;
            prompt[c] = (char)('a' + letter);
        }
        prompt[EbRandom_Below(&random, 21)] = '\0';
        prompt[20] = '\0';
        uint64_t hash = strlen(prompt) >= BLOCK ? hash_of(prefixes, prompt, 0)
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
            expect(prefixes, prompt, strlen(prompt) >= BLOCK ? server : NULL,
                   strlen(prompt) / BLOCK * BLOCK, i);
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
        {"memory", test_memory},
        {"events", test_events},
        {"forget", test_forget},
        {"least recently used", test_least_recently_used},
        {"random operations", test_random_operations},
    };
    return EbTest_Run("test_prefix_index", cases, TABLE_COUNT(cases));
}
