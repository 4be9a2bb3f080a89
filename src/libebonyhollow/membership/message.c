#include "ebonyhollow/message.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <msgpack.h>

#include "message_fields.h"

#define BIT(kind) (1U << EB_MESSAGE_##kind)
#define FLOODED                                                               \
    (BIT(QUARANTINE) | BIT(SERVER_LEAVING) | BIT(SUSPICIONS) |                \
     BIT(SERVER_LIMITS) | BIT(SERVER_SPEEDS))
#define OUTCOMES (BIT(OUTCOME_QUERY) | BIT(OUTCOME_REPLY))
#define CONFIGS (BIT(CONFIG_REQUEST) | BIT(CONFIG_BODY))
#define SHARES (BIT(USAGE) | BIT(GRANT))
#define PREPARATIONS (BIT(PREPARE) | BIT(PREPARED) | BIT(END_PREPARATION))
#define FEED_POSITIONS (BIT(FEED_REQUEST) | BIT(FEED_STATUS))
#define FEED_RESPONSES (BIT(FEED_CHANGES) | BIT(FEED_STATUS))
#define FIELD(key, type, member, kinds, required, limit)                      \
    {                                                                         \
        key, EB_MESSAGE_FIELD_##type, offsetof(EbMessage, member), kinds,     \
            required, limit, #member                                          \
    }

const char *const EbMessageKind_names[EB_MESSAGE_KIND_COUNT] = {
    [EB_MESSAGE_HEARTBEAT] = "heartbeat",
    [EB_MESSAGE_MEMBERS] = "members",
    [EB_MESSAGE_CONFIG_REQUEST] = "config-request",
    [EB_MESSAGE_CONFIG_BODY] = "config-body",
    [EB_MESSAGE_OUTCOME_QUERY] = "outcome-query",
    [EB_MESSAGE_OUTCOME_REPLY] = "outcome-reply",
    [EB_MESSAGE_USAGE] = "usage",
    [EB_MESSAGE_GRANT] = "grant",
    [EB_MESSAGE_QUARANTINE] = "quarantine",
    [EB_MESSAGE_SERVER_LEAVING] = "server-leaving",
    [EB_MESSAGE_PREPARE] = "prepare",
    [EB_MESSAGE_PREPARED] = "prepared",
    [EB_MESSAGE_END_PREPARATION] = "end-preparation",
    [EB_MESSAGE_FEED_REQUEST] = "feed-request",
    [EB_MESSAGE_FEED_CHANGES] = "feed-changes",
    [EB_MESSAGE_FEED_STATUS] = "feed-status",
    [EB_MESSAGE_SUSPICIONS] = "suspicions",
    [EB_MESSAGE_SERVER_LIMITS] = "server-limits",
    [EB_MESSAGE_SERVER_SPEEDS] = "server-speeds",
};

const char *const EbMemberState_names[EB_MEMBER_STATE_COUNT] = {
    [EB_MEMBER_ALIVE] = "alive",
    [EB_MEMBER_SUSPECTED] = "suspected",
    [EB_MEMBER_LEAVING] = "leaving",
    [EB_MEMBER_DEAD] = "dead",
};

const EbMessageField EbMessage_fields[] = {
    FIELD(2, NAME, origin, FLOODED, FLOODED, 0),
    FIELD(3, UINT64, origin_incarnation, FLOODED, 0, 0),
    FIELD(4, UINT64, sequence, FLOODED, 0, 0),
    FIELD(5, UINT64, generation, BIT(HEARTBEAT) | CONFIGS, 0, 0),
    FIELD(6, UINT64, digest, BIT(HEARTBEAT), 0, 0),
    FIELD(7, MEMBERS, members, BIT(MEMBERS), 0, 0),
    FIELD(8, TEXT, text,
          BIT(CONFIG_BODY) | BIT(OUTCOME_REPLY) | BIT(FEED_CHANGES),
          BIT(CONFIG_BODY), 0),
    FIELD(9, UINT64, query, OUTCOMES, 0, 0),
    FIELD(10, NAME, customer, OUTCOMES, BIT(OUTCOME_QUERY), 0),
    FIELD(11, NAME, key_digest, OUTCOMES, BIT(OUTCOME_QUERY), 0),
    FIELD(12, UINT32, local_state, BIT(OUTCOME_REPLY), 0, UINT32_MAX),
    FIELD(13, UINT32, outcome, BIT(OUTCOME_REPLY), 0, EB_OUTCOME_COUNT),
    FIELD(14, UINT32, reason, BIT(OUTCOME_REPLY), 0, EB_REASON_COUNT),
    FIELD(15, SHARES, shares, SHARES, 0, 0),
    FIELD(16, ENTRIES, entries, BIT(QUARANTINE), 0, 0),
    FIELD(17, NAME, server, BIT(SERVER_LEAVING), BIT(SERVER_LEAVING), 0),
    FIELD(55, UINT64, server_incarnation, BIT(SERVER_LEAVING), 0, 0),
    FIELD(18, BOOL, leaving, BIT(SERVER_LEAVING), 0, 0),
    FIELD(19, UINT64, job, PREPARATIONS, PREPARATIONS, 0),
    FIELD(20, NAME, request_id, BIT(PREPARE), BIT(PREPARE), 0),
    FIELD(21, NAME, service, BIT(PREPARE), BIT(PREPARE), 0),
    FIELD(22, UINT32, stage, BIT(PREPARE), 0, EB_CONFIG_MAX_PREPARATIONS),
    FIELD(23, UINT32, piece_count, BIT(PREPARE), BIT(PREPARE),
          EB_FORWARD_MAX_WORK_ITEMS + 1),
    FIELD(24, NAME, piece_key, BIT(PREPARE), 0, 0),
    FIELD(25, UINT64, due_in_us, BIT(PREPARE), 0, 0),
    FIELD(26, UINT64, late_us, BIT(PREPARE), 0, 0),
    FIELD(27, UINT64, left_us, BIT(PREPARE), 0, 0),
    FIELD(110, UINT32, route_priority, BIT(PREPARE), 0, UINT8_MAX + 1),
    FIELD(111, UINT64, room_in_us, BIT(PREPARED), 0, 0),
    FIELD(28, UINT32, prepared, BIT(PREPARED), 0, EB_PREPARED_STATUS_COUNT),
    FIELD(30, UINT64, result_bytes, BIT(PREPARE), 0, 0),
    FIELD(44, UINT64, transfer_bytes, BIT(PREPARE), 0, 0),
    FIELD(31, NAME, failure_domain, BIT(PREPARE), 0, 0),
    FIELD(32, UINT32, priority, BIT(PREPARE), 0, UINT8_MAX + 1),
    FIELD(29, HANDLES, handles, BIT(PREPARE) | BIT(PREPARED), 0, 0),
    FIELD(33, UINT64, feed_request, FEED_POSITIONS, FEED_POSITIONS, 0),
    FIELD(34, UINT64, config_revision, FEED_POSITIONS, 0, 0),
    FIELD(35, UINT64, servers_revision, FEED_POSITIONS, 0, 0),
    FIELD(36, BOOL, feed_reading, BIT(FEED_STATUS), 0, 0),
    FIELD(37, UINT32, feed_stream, BIT(FEED_CHANGES), 0, EB_FEED_STREAM_COUNT),
    FIELD(38, UINT64, base_revision, BIT(FEED_CHANGES), 0, 0),
    FIELD(39, UINT64, revision, BIT(FEED_CHANGES), BIT(FEED_CHANGES), 0),
    FIELD(40, UINT64, recovered_ago_us, FEED_RESPONSES, 0, 0),
    FIELD(41, BOOL, exact_base, BIT(FEED_CHANGES), 0, 0),
    FIELD(42, UINT64, confirmed_ago_us, BIT(FEED_STATUS), 0, 0),
    FIELD(43, BOOL, feed_failing, BIT(FEED_STATUS), 0, 0),
    FIELD(45, SUSPICIONS, suspicions, BIT(SUSPICIONS), 0, 0),
    FIELD(47, UINT64, config_era, FEED_POSITIONS, 0, 0),
    FIELD(48, UINT64, servers_era, FEED_POSITIONS, 0, 0),
    FIELD(49, UINT64, era, BIT(FEED_CHANGES), 0, 0),
    FIELD(46, LIMITS, limits, BIT(SERVER_LIMITS), 0, 0),
    FIELD(60, UINT64, evacuations_revision, FEED_POSITIONS, 0, 0),
    FIELD(61, UINT64, evacuations_era, FEED_POSITIONS, 0, 0),
    FIELD(62, UINT32, feed_streams, FEED_POSITIONS, 0, UINT8_MAX),
    FIELD(50, SPEEDS, speeds, BIT(SERVER_SPEEDS), 0, 0),
};

const size_t EbMessage_field_count =
    sizeof(EbMessage_fields) / sizeof(EbMessage_fields[0]);

bool
EbMessage_IsFlooded(EbMessageKind kind)
{
    assert(kind < EB_MESSAGE_KIND_COUNT);
    return (FLOODED & 1U << kind) != 0;
}

bool
EbMessageField_AppliesTo(const EbMessageField *field, EbMessageKind kind)
{
    return (field->kinds & 1U << kind) != 0;
}

static void
pack_string(msgpack_packer *packer, const char *string, size_t length)
{
    msgpack_pack_str(packer, length);
    msgpack_pack_str_body(packer, string, length);
}

static void
pack_name(msgpack_packer *packer, const char *name)
{
    pack_string(packer, name == NULL ? "" : name,
                name == NULL ? 0 : strlen(name));
}

static void
pack_members(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->member_count);
    for (uint32_t i = 0; i < message->member_count; i++) {
        const EbMessageMember *member = &message->members[i];
        msgpack_pack_array(packer, EB_MESSAGE_MEMBER_ELEMENTS);
        pack_name(packer, member->instance);
        msgpack_pack_uint64(packer, member->incarnation);
        pack_name(packer, member->address);
        pack_name(packer, member->failure_domain);
        msgpack_pack_uint32(packer, member->state);
        msgpack_pack_uint64(packer, member->sequence);
        msgpack_pack_uint32(packer, member->capacity);
    }
}

static void
pack_shares(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->share_count);
    for (uint32_t i = 0; i < message->share_count; i++) {
        const EbMessageShare *share = &message->shares[i];
        msgpack_pack_array(packer, EB_MESSAGE_SHARE_ELEMENTS);
        pack_name(packer, share->customer);
        msgpack_pack_uint64(packer, share->requests_per_s_milli);
        msgpack_pack_uint32(packer, share->concurrent_requests);
        msgpack_pack_uint64(packer, share->tokens_per_s);
    }
}

static void
pack_entries(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->entry_count);
    for (uint32_t i = 0; i < message->entry_count; i++) {
        const EbQuarantineEntry *entry = &message->entries[i];
        msgpack_pack_array(packer, EB_MESSAGE_ENTRY_ELEMENTS);
        msgpack_pack_uint64(packer, entry->fingerprint);
        msgpack_pack_uint32(packer, entry->crashes);
        msgpack_pack_uint32(packer, entry->state);
        msgpack_pack_int64(packer, entry->remaining_us);
    }
}

static void
pack_handles(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->handle_count);
    for (uint32_t i = 0; i < message->handle_count; i++) {
        pack_name(packer, message->handles[i]);
    }
}

static const void *
field_value(const EbMessage *message, const EbMessageField *field)
{
    return (const char *)message + field->offset;
}

static const char *
field_string(const EbMessage *message, const EbMessageField *field)
{
    return *(char *const *)field_value(message, field);
}

static uint32_t
field_uint32(const EbMessage *message, const EbMessageField *field)
{
    uint32_t value;
    memcpy(&value, field_value(message, field), sizeof(value));
    return value;
}

static void
pack_suspicions(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->suspicion_count);
    for (uint32_t i = 0; i < message->suspicion_count; i++) {
        const EbSuspicion *suspicion = &message->suspicions[i];
        msgpack_pack_array(packer, EB_MESSAGE_SUSPICION_ELEMENTS);
        msgpack_pack_uint64(packer, suspicion->server);
        msgpack_pack_uint64(packer, suspicion->ago_us);
        msgpack_pack_uint8(packer, suspicion->alone);
        msgpack_pack_array(packer, suspicion->set.count);
        for (uint32_t k = 0; k < suspicion->set.count; k++) {
            msgpack_pack_uint64(packer, suspicion->set.fingerprints[k]);
        }
    }
}

static void
pack_limits(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->limit_count);
    for (uint32_t i = 0; i < message->limit_count; i++) {
        const EbLimitReport *report = &message->limits[i];
        msgpack_pack_array(packer, EB_MESSAGE_LIMIT_ELEMENTS);
        pack_name(packer, report->server_id);
        msgpack_pack_uint8(packer, report->limited);
        msgpack_pack_uint32(packer, report->requests_per_s_milli);
        msgpack_pack_uint64(packer, report->ago_us);
    }
}

static void
pack_speeds(msgpack_packer *packer, const EbMessage *message)
{
    msgpack_pack_array(packer, message->speed_count);
    for (uint32_t i = 0; i < message->speed_count; i++) {
        msgpack_pack_array(packer, EB_MESSAGE_SPEED_ELEMENTS);
        pack_name(packer, message->speeds[i].server_id);
        msgpack_pack_uint32(packer, message->speeds[i].piece_interval_us);
        msgpack_pack_uint32(packer, message->speeds[i].streams);
        msgpack_pack_uint32(packer, message->speeds[i].ago_ms);
    }
}

/* Whether a field is omitted because it has the value that the decoder assumes
 * for an absent one. */
static bool
is_absent(const EbMessage *message, const EbMessageField *field)
{
    switch (field->type) {
    case EB_MESSAGE_FIELD_NAME:
    case EB_MESSAGE_FIELD_TEXT:
        return field_string(message, field) == NULL;
    case EB_MESSAGE_FIELD_UINT64:
        return *(const uint64_t *)field_value(message, field) == 0;
    case EB_MESSAGE_FIELD_UINT32:
        return field_uint32(message, field) == 0;
    case EB_MESSAGE_FIELD_BOOL:
        return !*(const bool *)field_value(message, field);
    case EB_MESSAGE_FIELD_MEMBERS:
        return message->member_count == 0;
    case EB_MESSAGE_FIELD_SHARES:
        return message->share_count == 0;
    case EB_MESSAGE_FIELD_ENTRIES:
        return message->entry_count == 0;
    case EB_MESSAGE_FIELD_SUSPICIONS:
        return message->suspicion_count == 0;
    case EB_MESSAGE_FIELD_LIMITS:
        return message->limit_count == 0;
    case EB_MESSAGE_FIELD_SPEEDS:
        return message->speed_count == 0;
    case EB_MESSAGE_FIELD_HANDLES:
        return message->handle_count == 0;
    }
    return true;
}

static void
pack_field(msgpack_packer *packer, const EbMessage *message,
           const EbMessageField *field)
{
    msgpack_pack_uint8(packer, field->key);
    switch (field->type) {
    case EB_MESSAGE_FIELD_NAME:
        pack_name(packer, field_string(message, field));
        break;
    case EB_MESSAGE_FIELD_TEXT:
        pack_string(packer, message->text, message->text_bytes);
        break;
    case EB_MESSAGE_FIELD_UINT64:
        msgpack_pack_uint64(packer,
                            *(const uint64_t *)field_value(message, field));
        break;
    case EB_MESSAGE_FIELD_UINT32:
        msgpack_pack_uint32(packer, field_uint32(message, field));
        break;
    case EB_MESSAGE_FIELD_BOOL:
        msgpack_pack_true(packer);
        break;
    case EB_MESSAGE_FIELD_MEMBERS:
        pack_members(packer, message);
        break;
    case EB_MESSAGE_FIELD_SHARES:
        pack_shares(packer, message);
        break;
    case EB_MESSAGE_FIELD_ENTRIES:
        pack_entries(packer, message);
        break;
    case EB_MESSAGE_FIELD_SUSPICIONS:
        pack_suspicions(packer, message);
        break;
    case EB_MESSAGE_FIELD_LIMITS:
        pack_limits(packer, message);
        break;
    case EB_MESSAGE_FIELD_SPEEDS:
        pack_speeds(packer, message);
        break;
    case EB_MESSAGE_FIELD_HANDLES:
        pack_handles(packer, message);
        break;
    }
}

/* Returns whether the receiver accepts a name. It ends the link at a message
 * that it can't read, with all that others have sent on it. */
static bool
is_name_valid(const char *name)
{
    return name == NULL || (strnlen(name, EB_MESSAGE_MAX_NAME_BYTES + 1) <=
                                EB_MESSAGE_MAX_NAME_BYTES &&
                            g_utf8_validate(name, -1, NULL));
}

static bool
are_elements_in_limits(const EbMessage *message)
{
    if (message->member_count > EB_MESSAGE_MAX_ELEMENTS ||
        message->share_count > EB_MESSAGE_MAX_ELEMENTS ||
        message->entry_count > EB_MESSAGE_MAX_ELEMENTS ||
        message->handle_count > EB_MESSAGE_MAX_ELEMENTS ||
        message->limit_count > EB_MESSAGE_MAX_ELEMENTS ||
        message->speed_count > EB_MESSAGE_MAX_ELEMENTS) {
        return false;
    }
    for (uint32_t i = 0; i < message->speed_count; i++) {
        if (!is_name_valid(message->speeds[i].server_id)) {
            return false;
        }
    }
    for (uint32_t i = 0; i < message->limit_count; i++) {
        if (!is_name_valid(message->limits[i].server_id)) {
            return false;
        }
    }
    for (uint32_t i = 0; i < message->handle_count; i++) {
        if (!is_name_valid(message->handles[i])) {
            return false;
        }
    }
    for (uint32_t i = 0; i < message->member_count; i++) {
        const EbMessageMember *member = &message->members[i];
        if (!is_name_valid(member->instance) ||
            !is_name_valid(member->address) ||
            !is_name_valid(member->failure_domain)) {
            return false;
        }
    }
    for (uint32_t i = 0; i < message->share_count; i++) {
        if (!is_name_valid(message->shares[i].customer)) {
            return false;
        }
    }
    return true;
}

/* Counts the fields to write. Returns false when a required field is missing
 * or a limit is exceeded. */
static bool
count_fields(const EbMessage *message, uint32_t *count)
{
    *count = 0;
    for (size_t i = 0; i < EbMessage_field_count; i++) {
        const EbMessageField *field = &EbMessage_fields[i];
        if (!EbMessageField_AppliesTo(field, message->kind)) {
            continue;
        }
        bool absent = is_absent(message, field);
        if (absent && (field->required_kinds & 1U << message->kind) != 0) {
            return false;
        }
        if (field->type == EB_MESSAGE_FIELD_NAME &&
            !is_name_valid(field_string(message, field))) {
            return false;
        }
        *count += !absent;
    }
    return message->text_bytes <= EB_MESSAGE_MAX_BYTES &&
           are_elements_in_limits(message);
}

bool
EbMessage_Encode(const EbMessage *message, uint8_t **bytes, size_t *byte_count)
{
    assert(message->kind < EB_MESSAGE_KIND_COUNT);
    uint32_t count;
    if (!count_fields(message, &count)) {
        return false;
    }
    msgpack_sbuffer buffer;
    msgpack_sbuffer_init(&buffer);
    msgpack_packer packer;
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_map(&packer, count + 2);
    msgpack_pack_uint8(&packer, EB_MESSAGE_KEY_VERSION);
    msgpack_pack_uint8(&packer, EB_MESSAGE_VERSION);
    msgpack_pack_uint8(&packer, EB_MESSAGE_KEY_KIND);
    msgpack_pack_uint32(&packer, message->kind);
    for (size_t i = 0; i < EbMessage_field_count; i++) {
        const EbMessageField *field = &EbMessage_fields[i];
        if (EbMessageField_AppliesTo(field, message->kind) &&
            !is_absent(message, field)) {
            pack_field(&packer, message, field);
        }
    }
    if (buffer.size > EB_MESSAGE_MAX_BYTES) {
        msgpack_sbuffer_destroy(&buffer);
        return false;
    }
    *byte_count = buffer.size;
    *bytes = (uint8_t *)msgpack_sbuffer_release(&buffer);
    return true;
}

EbMessageKind
EbMessage_PeekKind(const uint8_t *bytes, size_t byte_count)
{
    /* One byte each: map head, version key and value, kind key and value. */
    if (byte_count < 5 || bytes[1] != EB_MESSAGE_KEY_VERSION ||
        bytes[3] != EB_MESSAGE_KEY_KIND || bytes[4] >= EB_MESSAGE_KIND_COUNT) {
        return EB_MESSAGE_KIND_COUNT;
    }
    return (EbMessageKind)bytes[4];
}

void
EbMessage_Free(EbMessage *message)
{
    if (message == NULL) {
        return;
    }
    for (uint32_t i = 0; i < message->member_count; i++) {
        g_free(message->members[i].instance);
        g_free(message->members[i].address);
        g_free(message->members[i].failure_domain);
    }
    for (uint32_t i = 0; i < message->share_count; i++) {
        g_free(message->shares[i].customer);
    }
    for (uint32_t i = 0; i < message->handle_count; i++) {
        g_free(message->handles[i]);
    }
    for (uint32_t i = 0; i < message->limit_count; i++) {
        g_free(message->limits[i].server_id);
    }
    g_free(message->limits);
    for (uint32_t i = 0; i < message->speed_count; i++) {
        g_free(message->speeds[i].server_id);
    }
    g_free(message->speeds);
    g_free(message->handles);
    g_free(message->request_id);
    g_free(message->service);
    g_free(message->piece_key);
    g_free(message->failure_domain);
    g_free(message->members);
    g_free(message->shares);
    g_free(message->entries);
    g_free(message->suspicions);
    g_free(message->origin);
    g_free(message->text);
    g_free(message->customer);
    g_free(message->key_digest);
    g_free(message->server);
    g_free(message);
}
