/* Tests of the codec of peer messages. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ebonyhollow/message.h"
#include "ebonyhollow/random.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SEED 20260401
#define ROUNDS 20000

static EbMessageMember sample_members[] = {
    {"i-1", 7, "10.0.0.1:7000", "recife", EB_MEMBER_LEAVING, 3, 500},
    {"i-2", UINT64_MAX, "", "", EB_MEMBER_ALIVE, 0, 0}};
static EbMessageShare sample_shares[] = {{"c-1", 1500, 4, UINT64_MAX}};
static EbLimitReport sample_limits[] = {
    {.server_id = "s-1",
     .limited = true,
     .requests_per_s_milli = 1250,
     .ago_us = 7},
    {.server_id = "s-2"},
};

static EbSpeedReport sample_speeds[] = {
    {.server_id = "s-1",
     .piece_interval_us = UINT32_MAX,
     .streams = 7,
     .ago_ms = 9},
    {.server_id = "s-2", .piece_interval_us = 1},
};

static EbSuspicion sample_suspicions[] = {
    {.set = {{UINT64_MAX, 1, 5}, 3}, .server = 17, .alone = true, .ago_us = 3},
    {.set = {{1}, 1}, .ago_us = UINT64_MAX},
};

static EbQuarantineEntry sample_entries[] = {
    {UINT64_MAX, 3, EB_FINGERPRINT_QUARANTINED, EB_QUARANTINE_DURATION_US},
    {5, 1, EB_FINGERPRINT_SUSPECTED, -1}};

static char *sample_handles[] = {"10.0.0.1:7000/ab", "10.0.0.2:7000/cd"};

/* A message of each kind, with the fields that the kind carries. */
static const EbMessage samples[] = {
    {.kind = EB_MESSAGE_HEARTBEAT, .generation = 4, .digest = 1ULL << 60},
    {.kind = EB_MESSAGE_MEMBERS, .members = sample_members, .member_count = 2},
    {.kind = EB_MESSAGE_CONFIG_REQUEST, .generation = 9},
    {.kind = EB_MESSAGE_CONFIG_BODY,
     .generation = 9,
     .text = "{\0}",
     .text_bytes = 3},
    {.kind = EB_MESSAGE_OUTCOME_QUERY,
     .query = 8,
     .customer = "c-1",
     .key_digest = "00ff"},
    {.kind = EB_MESSAGE_OUTCOME_REPLY,
     .query = 8,
     .customer = "c-1",
     .key_digest = "00ff",
     .local_state = 2,
     .outcome = EB_OUTCOME_UNKNOWN,
     .reason = EB_REASON_SHUTDOWN,
     .text = "{}",
     .text_bytes = 2},
    {.kind = EB_MESSAGE_USAGE, .shares = sample_shares, .share_count = 1},
    {.kind = EB_MESSAGE_GRANT, .shares = sample_shares, .share_count = 1},
    {.kind = EB_MESSAGE_QUARANTINE,
     .origin = "i-1",
     .origin_incarnation = 7,
     .sequence = 11,
     .entries = sample_entries,
     .entry_count = 2},
    {.kind = EB_MESSAGE_SERVER_LEAVING,
     .origin = "i-1",
     .origin_incarnation = 7,
     .sequence = 12,
     .server = "s-1",
     .server_incarnation = 6,
     .leaving = true},
    {.kind = EB_MESSAGE_PREPARE,
     .job = 3,
     .request_id = "r-1",
     .service = "retrieve",
     .stage = 2,
     .piece_count = EB_FORWARD_MAX_WORK_ITEMS,
     .priority = 2,
     .result_bytes = 1500000,
     .transfer_bytes = 2000000,
     .failure_domain = "recife",
     .due_in_us = 400000,
     .late_us = 0,
     .left_us = 5000000,
     .handles = sample_handles,
     .handle_count = 2},
    {.kind = EB_MESSAGE_PREPARED,
     .job = 3,
     .prepared = EB_PREPARED_LATE,
     .handles = sample_handles,
     .handle_count = 2},
    {.kind = EB_MESSAGE_END_PREPARATION, .job = UINT64_MAX},
    {.kind = EB_MESSAGE_FEED_REQUEST,
     .feed_request = 1,
     .config_revision = 9,
     .servers_revision = UINT64_MAX,
     .evacuations_revision = 11,
     .evacuations_era = 2,
     .feed_streams = EB_FEED_STREAM_COUNT},
    {.kind = EB_MESSAGE_FEED_CHANGES,
     .feed_stream = EB_FEED_SERVERS,
     .base_revision = 8,
     .revision = 12,
     .exact_base = true,
     .recovered_ago_us = 5,
     .text = "[]",
     .text_bytes = 2},
    {.kind = EB_MESSAGE_FEED_STATUS,
     .feed_request = 7,
     .config_revision = 9,
     .servers_revision = 12,
     .feed_reading = true,
     .feed_failing = true,
     .confirmed_ago_us = 17,
     .recovered_ago_us = UINT64_MAX},
    {.kind = EB_MESSAGE_SERVER_LIMITS,
     .origin = "instance-a",
     .origin_incarnation = 1,
     .sequence = 10,
     .limits = sample_limits,
     .limit_count = 2},
    {.kind = EB_MESSAGE_SERVER_SPEEDS,
     .origin = "instance-a",
     .origin_incarnation = 1,
     .sequence = 11,
     .speeds = sample_speeds,
     .speed_count = 2},
    {.kind = EB_MESSAGE_SUSPICIONS,
     .origin = "i-2",
     .origin_incarnation = 5,
     .sequence = 8,
     .suspicions = sample_suspicions,
     .suspicion_count = 2},
};

static void
check_arrays(const EbMessage *got, const EbMessage *sent)
{
    CU_ASSERT_EQUAL_FATAL(got->member_count, sent->member_count);
    for (uint32_t i = 0; i < got->member_count; i++) {
        const EbMessageMember *left = &got->members[i];
        const EbMessageMember *right = &sent->members[i];
        CU_ASSERT_STRING_EQUAL(left->instance, right->instance);
        CU_ASSERT_STRING_EQUAL(left->address, right->address);
        CU_ASSERT_STRING_EQUAL(left->failure_domain, right->failure_domain);
        CU_ASSERT_EQUAL(left->incarnation, right->incarnation);
        CU_ASSERT_EQUAL(left->state, right->state);
        CU_ASSERT_EQUAL(left->sequence, right->sequence);
        CU_ASSERT_EQUAL(left->capacity, right->capacity);
    }
    CU_ASSERT_EQUAL_FATAL(got->share_count, sent->share_count);
    if (got->share_count > 0) {
        CU_ASSERT_STRING_EQUAL(got->shares->customer, sent->shares->customer);
        CU_ASSERT_EQUAL(got->shares->tokens_per_s, sent->shares->tokens_per_s);
        CU_ASSERT_EQUAL(got->shares->requests_per_s_milli, 1500);
        CU_ASSERT_EQUAL(got->shares->concurrent_requests, 4);
    }
    CU_ASSERT_EQUAL_FATAL(got->entry_count, sent->entry_count);
    for (uint32_t i = 0; i < got->entry_count; i++) {
        CU_ASSERT_EQUAL(got->entries[i].fingerprint,
                        sent->entries[i].fingerprint);
        CU_ASSERT_EQUAL(got->entries[i].crashes, sent->entries[i].crashes);
        CU_ASSERT_EQUAL(got->entries[i].state, sent->entries[i].state);
        CU_ASSERT_EQUAL(got->entries[i].remaining_us,
                        sent->entries[i].remaining_us);
    }
    CU_ASSERT_EQUAL_FATAL(got->limit_count, sent->limit_count);
    for (uint32_t i = 0; i < got->limit_count; i++) {
        const EbLimitReport *report = &sent->limits[i];
        CU_ASSERT_STRING_EQUAL(got->limits[i].server_id, report->server_id);
        CU_ASSERT_EQUAL(got->limits[i].limited, report->limited);
        CU_ASSERT_EQUAL(got->limits[i].requests_per_s_milli,
                        report->requests_per_s_milli);
        CU_ASSERT_EQUAL(got->limits[i].ago_us, report->ago_us);
    }
    CU_ASSERT_EQUAL_FATAL(got->speed_count, sent->speed_count);
    for (uint32_t i = 0; i < got->speed_count; i++) {
        CU_ASSERT_STRING_EQUAL(got->speeds[i].server_id,
                               sent->speeds[i].server_id);
        CU_ASSERT_EQUAL(got->speeds[i].piece_interval_us,
                        sent->speeds[i].piece_interval_us);
        CU_ASSERT_EQUAL(got->speeds[i].streams, sent->speeds[i].streams);
        CU_ASSERT_EQUAL(got->speeds[i].ago_ms, sent->speeds[i].ago_ms);
    }
    CU_ASSERT_EQUAL_FATAL(got->suspicion_count, sent->suspicion_count);
    for (uint32_t i = 0; i < got->suspicion_count; i++) {
        const EbSuspectSet *set = &got->suspicions[i].set;
        CU_ASSERT_EQUAL_FATAL(set->count, sent->suspicions[i].set.count);
        for (uint32_t k = 0; k < set->count; k++) {
            CU_ASSERT_EQUAL(set->fingerprints[k],
                            sent->suspicions[i].set.fingerprints[k]);
        }
        CU_ASSERT_EQUAL(got->suspicions[i].server, sent->suspicions[i].server);
        CU_ASSERT_EQUAL(got->suspicions[i].alone, sent->suspicions[i].alone);
        CU_ASSERT_EQUAL(got->suspicions[i].ago_us, sent->suspicions[i].ago_us);
    }
}

static void
check_preparation(const EbMessage *got, const EbMessage *sent)
{
    CU_ASSERT_EQUAL(got->job, sent->job);
    CU_ASSERT_EQUAL(got->stage, sent->stage);
    CU_ASSERT_EQUAL(got->piece_count, sent->piece_count);
    CU_ASSERT_EQUAL(got->priority, sent->priority);
    CU_ASSERT_EQUAL(got->result_bytes, sent->result_bytes);
    CU_ASSERT_EQUAL(got->transfer_bytes, sent->transfer_bytes);
    CU_ASSERT_EQUAL(got->due_in_us, sent->due_in_us);
    CU_ASSERT_EQUAL(got->late_us, sent->late_us);
    CU_ASSERT_EQUAL(got->left_us, sent->left_us);
    CU_ASSERT_EQUAL(got->prepared, sent->prepared);
    CU_ASSERT_EQUAL_FATAL(got->handle_count, sent->handle_count);
    for (uint32_t i = 0; i < got->handle_count; i++) {
        CU_ASSERT_STRING_EQUAL(got->handles[i], sent->handles[i]);
    }
}

static void
check_feed(const EbMessage *got, const EbMessage *sent)
{
    CU_ASSERT_EQUAL(got->feed_request, sent->feed_request);
    CU_ASSERT_EQUAL(got->config_revision, sent->config_revision);
    CU_ASSERT_EQUAL(got->servers_revision, sent->servers_revision);
    CU_ASSERT_EQUAL(got->evacuations_revision, sent->evacuations_revision);
    CU_ASSERT_EQUAL(got->evacuations_era, sent->evacuations_era);
    CU_ASSERT_EQUAL(got->feed_streams, sent->feed_streams);
    CU_ASSERT_EQUAL(got->feed_reading, sent->feed_reading);
    CU_ASSERT_EQUAL(got->feed_failing, sent->feed_failing);
    CU_ASSERT_EQUAL(got->confirmed_ago_us, sent->confirmed_ago_us);
    CU_ASSERT_EQUAL(got->feed_stream, sent->feed_stream);
    CU_ASSERT_EQUAL(got->base_revision, sent->base_revision);
    CU_ASSERT_EQUAL(got->revision, sent->revision);
    CU_ASSERT_EQUAL(got->exact_base, sent->exact_base);
    CU_ASSERT_EQUAL(got->recovered_ago_us, sent->recovered_ago_us);
}

static void
check_string(const char *got, const char *sent)
{
    CU_ASSERT_STRING_EQUAL(got == NULL ? "" : got, sent == NULL ? "" : sent);
}

/* Guards against a field that is lost or changed on the wire. */
static void
test_round_trip(void)
{
    CU_ASSERT_EQUAL(TABLE_COUNT(samples), EB_MESSAGE_KIND_COUNT);
    for (size_t i = 0; i < TABLE_COUNT(samples); i++) {
        const EbMessage *sent = &samples[i];
        uint8_t *bytes;
        size_t count;
        CU_ASSERT_TRUE_FATAL(EbMessage_Encode(sent, &bytes, &count));
        CU_ASSERT_EQUAL(EbMessage_PeekKind(bytes, count), sent->kind);
        EbMessage *got = EbMessage_Decode(bytes, count, NULL);
        free(bytes);
        CU_ASSERT_PTR_NOT_NULL_FATAL(got);
        CU_ASSERT_EQUAL(got->kind, sent->kind);
        CU_ASSERT_EQUAL(got->origin_incarnation, sent->origin_incarnation);
        CU_ASSERT_EQUAL(got->sequence, sent->sequence);
        CU_ASSERT_EQUAL(got->generation, sent->generation);
        CU_ASSERT_EQUAL(got->digest, sent->digest);
        CU_ASSERT_EQUAL(got->query, sent->query);
        CU_ASSERT_EQUAL(got->local_state, sent->local_state);
        CU_ASSERT_EQUAL(got->outcome, sent->outcome);
        CU_ASSERT_EQUAL(got->reason, sent->reason);
        CU_ASSERT_EQUAL(got->leaving, sent->leaving);
        check_string(got->origin, sent->origin);
        check_string(got->customer, sent->customer);
        check_string(got->key_digest, sent->key_digest);
        check_string(got->server, sent->server);
        CU_ASSERT_EQUAL_FATAL(got->text_bytes, sent->text_bytes);
        CU_ASSERT_TRUE(got->text_bytes == 0 ||
                       memcmp(got->text, sent->text, got->text_bytes) == 0);
        check_arrays(got, sent);
        check_preparation(got, sent);
        check_feed(got, sent);
        check_string(got->request_id, sent->request_id);
        check_string(got->service, sent->service);
        check_string(got->failure_domain, sent->failure_domain);
        EbMessage_Free(got);
    }
}

/* Guards against malformed input that is accepted, and against additions of
 * later versions that are rejected. */
static void
test_fixed_inputs(void)
{
    static const struct {
        const char *bytes;
        size_t count;
        EbErrorCode expected; /* EB_ERROR_NONE: accepted */
    } rows[] = {
        {"", 0, EB_ERROR_SYNTAX},
        {"\x82\x00\x01\x01\x00", 5, EB_ERROR_NONE},
        {"\x82\x01\x00\x00\x07", 5, EB_ERROR_NONE}, /* kind first, version 7 */
        {"\x83\x00\x01\x01\x00\x7f\x92\xc0\x90", 9, EB_ERROR_NONE},
        {"\x83\x00\x01\x01\x00\xa1x\xc3", 8, EB_ERROR_NONE},
        {"\x82\x00\x01\x01\x7f", 5, EB_ERROR_UNKNOWN_FIELD},
        {"\x82\x00\x01\x01\x00\x00", 6, EB_ERROR_SYNTAX}, /* trailing byte */
        {"\x82\x00\x01\x01", 4, EB_ERROR_SYNTAX},
        {"\x81\x00\x01", 3, EB_ERROR_MISSING_FIELD},
        {"\x82\x00\x00\x01\x00", 5, EB_ERROR_MISSING_FIELD}, /* version 0 */
        {"\x83\x00\x01\x01\x00\x01\x00", 7, EB_ERROR_MISSING_FIELD},
        {"\x82\x00\x01\x01\x03", 5, EB_ERROR_MISSING_FIELD}, /* no text */
        {"\x83\x00\x01\x01\x00\x05\xff", 7, EB_ERROR_TYPE},
        {"\x84\x00\x01\x01\x00\x05\x01\x05\x01", 9, EB_ERROR_DUPLICATE},
        {"\x83\x00\x01\x01\x01\x07\x91\x90", 8, EB_ERROR_TYPE},
        {"\x83\x00\x01\x01\x05\x0d\x04", 7, EB_ERROR_TYPE}, /* outcome 4 */
        {"\x84\x00\x01\x01\x04\x0a\xa2\xc3\x28\x0b\xa0", 11, EB_ERROR_TYPE},
        {"\x84\x00\x01\x01\x04\x0a\xa2"
         "a\0\x0b\xa0",
         11, EB_ERROR_TYPE},
        {"\x83\x00\x01\x01\x09\x12\x2a", 7, EB_ERROR_MISSING_FIELD},
        /* A speed without its age, as the former version sends it. */
        {"\x84\x00\x01\x01\x12\x02\xa1x\x32\x91\x93\xa1s\x14\x01", 15,
         EB_ERROR_NONE},
        {"\x84\x00\x01\x01\x12\x02\xa1x\x32\x91\x94\xa1s\x14\x01\xc0", 16,
         EB_ERROR_TYPE},
        {"\x91\xc1", 2, EB_ERROR_SYNTAX},
        {"\xdd\xff\xff\xff\xff", 5, EB_ERROR_LIMIT},
        {"\xdf\x00\x00\x0f\xff\x00", 6, EB_ERROR_SYNTAX},
        {"\xdb\xff\xff\xff\xff", 5, EB_ERROR_SYNTAX},
        {"\xc9\xff\xff\xff\xff\x00", 6, EB_ERROR_SYNTAX},
        {"\x91\x91\x91\x91\x91\x91\x91\x91\x91\x90", 10, EB_ERROR_LIMIT},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error = {0};
        EbMessage *message = EbMessage_Decode((const uint8_t *)rows[i].bytes,
                                              rows[i].count, &error);
        CU_ASSERT_EQUAL(message != NULL, rows[i].expected == EB_ERROR_NONE);
        CU_ASSERT_EQUAL(error.code, rows[i].expected);
        if (error.code != rows[i].expected) {
            printf("row %zu: %s\n", i, error.message);
        }
        EbMessage_Free(message);
    }
}

/* Decodes a copy that ends where its allocation ends, so that the sanitizer
 * reports a read beyond it, and encodes the message again if it was accepted.
 */
static bool
decode_exact_copy(const uint8_t *bytes, size_t count)
{
    uint8_t *copy = malloc(count > 0 ? count : 1);
    memcpy(copy, bytes, count);
    EbMessage *message = EbMessage_Decode(copy, count, NULL);
    free(copy);
    uint8_t *again = NULL;
    size_t again_count;
    if (message != NULL && EbMessage_Encode(message, &again, &again_count)) {
        free(again);
    }
    EbMessage_Free(message);
    return message != NULL;
}

/* Guards against memory errors when decoding truncated, altered or random
 * input. */
static void
test_hostile_input(void)
{
    EbRandom random;
    EbRandom_Init(&random, SEED);
    for (size_t i = 0; i < TABLE_COUNT(samples); i++) {
        uint8_t *bytes;
        size_t count;
        CU_ASSERT_TRUE_FATAL(EbMessage_Encode(&samples[i], &bytes, &count));
        for (size_t cut = 0; cut < count; cut++) {
            CU_ASSERT_FALSE(decode_exact_copy(bytes, cut));
        }
        for (int round = 0; round < ROUNDS / 10; round++) {
            size_t at = EbRandom_Below(&random, count);
            uint8_t old = bytes[at];
            bytes[at] = (uint8_t)EbRandom_Next(&random);
            decode_exact_copy(bytes, count);
            bytes[at] = old;
        }
        free(bytes);
    }
    for (int round = 0; round < ROUNDS; round++) {
        uint8_t bytes[96] = {0x83, 0x00, 0x01, 0x01};
        size_t count = 4 + EbRandom_Below(&random, sizeof(bytes) - 4);
        size_t start = round % 2 == 0 ? 0 : 4;
        for (size_t i = start; i < count; i++) {
            bytes[i] = (uint8_t)EbRandom_Next(&random);
        }
        decode_exact_copy(bytes, count);
    }
}

/* Guards against an encoder or a decoder that accepts messages beyond the
 * limits, and against deep nesting that overflows the stack. */
static void
test_limits(void)
{
    size_t count = EB_MESSAGE_MAX_BYTES + 1;
    uint8_t *bytes = malloc(count);
    EbError error = {0};
    memset(bytes, 0x91, count);
    CU_ASSERT_PTR_NULL(EbMessage_Decode(bytes, count, &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_LIMIT);
    CU_ASSERT_FALSE(decode_exact_copy(bytes, count - 1));
    memset(bytes, 'x', count);
    EbMessage body = {.kind = EB_MESSAGE_CONFIG_BODY, .text = (char *)bytes};
    uint8_t *encoded = NULL;
    size_t encoded_count;
    body.text_bytes = EB_MESSAGE_MAX_BYTES;
    CU_ASSERT_FALSE(EbMessage_Encode(&body, &encoded, &encoded_count));
    body.text_bytes = EB_MESSAGE_MAX_BYTES - 100;
    CU_ASSERT_TRUE_FATAL(EbMessage_Encode(&body, &encoded, &encoded_count));
    CU_ASSERT_TRUE(decode_exact_copy(encoded, encoded_count));
    free(encoded);
    bytes[EB_MESSAGE_MAX_NAME_BYTES + 1] = '\0';
    EbMessage leaving = {.kind = EB_MESSAGE_SERVER_LEAVING, .origin = "i"};
    CU_ASSERT_FALSE(EbMessage_Encode(&leaving, &encoded, &encoded_count));
    leaving.server = (char *)bytes;
    CU_ASSERT_FALSE(EbMessage_Encode(&leaving, &encoded, &encoded_count));
    leaving.server++;
    CU_ASSERT_TRUE_FATAL(EbMessage_Encode(&leaving, &encoded, &encoded_count));
    free(encoded);
    free(bytes);
    leaving.server = "s-\xff"; /* the receiver would end the link */
    CU_ASSERT_FALSE(EbMessage_Encode(&leaving, &encoded, &encoded_count));
}

/* Guards against decoder limits that reject a message with the largest allowed
 * number of members. */
static void
test_largest_list(void)
{
    EbMessageMember *members =
        calloc(EB_MESSAGE_MAX_ELEMENTS + 1, sizeof(*members));
    for (size_t i = 0; i <= EB_MESSAGE_MAX_ELEMENTS; i++) {
        members[i] = sample_members[0];
    }
    EbMessage message = {.kind = EB_MESSAGE_MEMBERS,
                         .members = members,
                         .member_count = EB_MESSAGE_MAX_ELEMENTS};
    uint8_t *bytes;
    size_t count;
    CU_ASSERT_TRUE_FATAL(EbMessage_Encode(&message, &bytes, &count));
    CU_ASSERT_TRUE(decode_exact_copy(bytes, count));
    free(bytes);
    message.member_count++;
    CU_ASSERT_FALSE(EbMessage_Encode(&message, &bytes, &count));
    free(members);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"round trip", test_round_trip},
        {"fixed inputs", test_fixed_inputs},
        {"hostile input", test_hostile_input},
        {"limits", test_limits},
        {"largest list", test_largest_list},
    };
    return EbTest_Run("test_message", cases, TABLE_COUNT(cases));
}
