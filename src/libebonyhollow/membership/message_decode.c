#include <string.h>

#include <glib.h>
#include <msgpack.h>

#include "message_fields.h"

static bool
fail_field(EbError *error, EbErrorCode code, const char *name)
{
    EbError_Set(error, code, "field %s", name);
    return false;
}

/* Reads an unsigned integer below `exclusive_limit`; 0 means no limit. */
static bool
read_uint(const msgpack_object *object, uint64_t exclusive_limit,
          uint64_t *value)
{
    if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        (exclusive_limit != 0 && object->via.u64 >= exclusive_limit)) {
        return false;
    }
    *value = object->via.u64;
    return true;
}

static bool
read_uint32(const msgpack_object *object, uint32_t *value)
{
    uint64_t wide;
    if (!read_uint(object, 1ULL << 32, &wide)) {
        return false;
    }
    *value = (uint32_t)wide;
    return true;
}

static bool
read_int64(const msgpack_object *object, int64_t *value)
{
    if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
        *value = object->via.i64;
        return true;
    }
    uint64_t wide;
    if (!read_uint(object, 1ULL << 63, &wide)) {
        return false;
    }
    *value = (int64_t)wide;
    return true;
}

/* Reads a name. It must be UTF-8, since names go into logs and JSON. */
static bool
read_name(const msgpack_object *object, char **name)
{
    if (object->type != MSGPACK_OBJECT_STR ||
        object->via.str.size > EB_MESSAGE_MAX_NAME_BYTES ||
        !g_utf8_validate(object->via.str.ptr, object->via.str.size, NULL)) {
        return false;
    }
    *name = g_strndup(object->via.str.ptr, object->via.str.size);
    return true;
}

static bool
read_text(const msgpack_object *object, EbMessage *message)
{
    if (object->type != MSGPACK_OBJECT_STR) {
        return false;
    }
    message->text_bytes = object->via.str.size;
    message->text = g_malloc(message->text_bytes + 1);
    memcpy(message->text, object->via.str.ptr, message->text_bytes);
    message->text[message->text_bytes] = '\0';
    return true;
}

/* Returns the elements of an array that has at least `min_count`, or NULL. */
static const msgpack_object *
read_elements(const msgpack_object *object, uint32_t min_count)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size < min_count) {
        return NULL;
    }
    return object->via.array.ptr;
}

static bool
read_member(const msgpack_object *object, void *target)
{
    EbMessageMember *member = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_MEMBER_MIN_ELEMENTS);
    uint64_t state;
    if (elements == NULL || !read_name(&elements[0], &member->instance) ||
        !read_uint(&elements[1], 0, &member->incarnation) ||
        !read_name(&elements[2], &member->address) ||
        !read_name(&elements[3], &member->failure_domain) ||
        !read_uint(&elements[4], EB_MEMBER_STATE_COUNT, &state) ||
        !read_uint(&elements[5], 0, &member->sequence)) {
        return false;
    }
    member->state = (EbMemberState)state;
    if (object->via.array.size > EB_MESSAGE_MEMBER_MIN_ELEMENTS &&
        !read_uint32(&elements[EB_MESSAGE_MEMBER_MIN_ELEMENTS],
                     &member->capacity)) {
        return false;
    }
    return member->instance[0] != '\0';
}

static bool
read_share(const msgpack_object *object, void *target)
{
    EbMessageShare *share = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_SHARE_ELEMENTS);
    return elements != NULL && read_name(&elements[0], &share->customer) &&
           read_uint(&elements[1], 0, &share->requests_per_s_milli) &&
           read_uint32(&elements[2], &share->concurrent_requests) &&
           read_uint(&elements[3], 0, &share->tokens_per_s);
}

static bool
read_entry(const msgpack_object *object, void *target)
{
    EbQuarantineEntry *entry = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_ENTRY_ELEMENTS);
    uint64_t state;
    if (elements == NULL || !read_uint(&elements[0], 0, &entry->fingerprint) ||
        !read_uint32(&elements[1], &entry->crashes) ||
        !read_uint(&elements[2], EB_FINGERPRINT_STATE_COUNT, &state) ||
        !read_int64(&elements[3], &entry->remaining_us)) {
        return false;
    }
    entry->state = (EbFingerprintState)state;
    return true;
}

static bool
read_suspect_set(const msgpack_object *object, EbSuspectSet *set)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > EB_SUSPECTS_MAX) {
        return false;
    }
    set->count = object->via.array.size;
    for (uint32_t i = 0; i < set->count; i++) {
        if (!read_uint(&object->via.array.ptr[i], 0, &set->fingerprints[i])) {
            return false;
        }
    }
    return true;
}

static bool
read_suspicion(const msgpack_object *object, void *target)
{
    EbSuspicion *suspicion = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_SUSPICION_ELEMENTS);
    uint64_t alone;
    if (elements == NULL || !read_uint(&elements[0], 0, &suspicion->server) ||
        !read_uint(&elements[1], 0, &suspicion->ago_us) ||
        !read_uint(&elements[2], 2, &alone) ||
        !read_suspect_set(&elements[3], &suspicion->set)) {
        return false;
    }
    suspicion->alone = alone != 0;
    return true;
}

static bool
read_limit(const msgpack_object *object, void *target)
{
    EbLimitReport *report = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_LIMIT_ELEMENTS);
    uint64_t limited;
    if (elements == NULL || !read_name(&elements[0], &report->server_id) ||
        !read_uint(&elements[1], 2, &limited) ||
        !read_uint32(&elements[2], &report->requests_per_s_milli) ||
        !read_uint(&elements[3], 0, &report->ago_us)) {
        return false;
    }
    report->limited = limited != 0;
    return true;
}

static bool
read_speed(const msgpack_object *object, void *target)
{
    EbSpeedReport *report = target;
    const msgpack_object *elements =
        read_elements(object, EB_MESSAGE_SPEED_MIN_ELEMENTS);
    if (elements == NULL || !read_name(&elements[0], &report->server_id) ||
        !read_uint32(&elements[1], &report->piece_interval_us) ||
        !read_uint32(&elements[2], &report->streams)) {
        return false;
    }
    return object->via.array.size < EB_MESSAGE_SPEED_ELEMENTS ||
           read_uint32(&elements[EB_MESSAGE_SPEED_MIN_ELEMENTS],
                       &report->ago_ms);
}

static bool
read_handle(const msgpack_object *object, void *target)
{
    return read_name(object, target);
}

/* Reads an array. On failure the elements read so far stay in the message, for
 * EbMessage_Free. */
static bool
read_array(const msgpack_object *object, size_t element_bytes, void **array,
           uint32_t *count,
           bool (*read_element)(const msgpack_object *, void *))
{
    if (object->type != MSGPACK_OBJECT_ARRAY) {
        return false;
    }
    *array = g_malloc0_n(object->via.array.size, element_bytes);
    *count = object->via.array.size;
    for (uint32_t i = 0; i < *count; i++) {
        if (!read_element(&object->via.array.ptr[i],
                          (char *)*array + i * element_bytes)) {
            return false;
        }
    }
    return true;
}

static bool
read_bounded_uint32(const msgpack_object *object, const EbMessageField *field,
                    void *target)
{
    uint64_t value;
    if (!read_uint(object, field->limit, &value)) {
        return false;
    }
    uint32_t narrow = (uint32_t)value;
    memcpy(target, &narrow, sizeof(narrow));
    return true;
}

static bool
read_value(const msgpack_object *object, const EbMessageField *field,
           EbMessage *message)
{
    void *target = (char *)message + field->offset;
    switch (field->type) {
    case EB_MESSAGE_FIELD_NAME:
        return read_name(object, target);
    case EB_MESSAGE_FIELD_TEXT:
        return read_text(object, message);
    case EB_MESSAGE_FIELD_UINT64:
        return read_uint(object, 0, target);
    case EB_MESSAGE_FIELD_UINT32:
        return read_bounded_uint32(object, field, target);
    case EB_MESSAGE_FIELD_BOOL:
        *(bool *)target =
            object->type == MSGPACK_OBJECT_BOOLEAN && object->via.boolean;
        return object->type == MSGPACK_OBJECT_BOOLEAN;
    case EB_MESSAGE_FIELD_MEMBERS:
        return read_array(object, sizeof(EbMessageMember),
                          (void **)&message->members, &message->member_count,
                          read_member);
    case EB_MESSAGE_FIELD_SHARES:
        return read_array(object, sizeof(EbMessageShare),
                          (void **)&message->shares, &message->share_count,
                          read_share);
    case EB_MESSAGE_FIELD_ENTRIES:
        return read_array(object, sizeof(EbQuarantineEntry),
                          (void **)&message->entries, &message->entry_count,
                          read_entry);
    case EB_MESSAGE_FIELD_SUSPICIONS:
        return read_array(object, sizeof(EbSuspicion),
                          (void **)&message->suspicions,
                          &message->suspicion_count, read_suspicion);
    case EB_MESSAGE_FIELD_SPEEDS:
        return read_array(object, sizeof(EbSpeedReport),
                          (void **)&message->speeds, &message->speed_count,
                          read_speed);
    case EB_MESSAGE_FIELD_LIMITS:
        return read_array(object, sizeof(EbLimitReport),
                          (void **)&message->limits, &message->limit_count,
                          read_limit);
    case EB_MESSAGE_FIELD_HANDLES:
        return read_array(object, sizeof(char *), (void **)&message->handles,
                          &message->handle_count, read_handle);
    }
    return false;
}

/* Finds the value of a key. Sets `repeated` when the key occurs more than
 * once. */
static const msgpack_object *
find_value(const msgpack_object_map *map, uint64_t key, bool *repeated)
{
    const msgpack_object *found = NULL;
    for (uint32_t i = 0; i < map->size; i++) {
        const msgpack_object *candidate = &map->ptr[i].key;
        if (candidate->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
            candidate->via.u64 != key) {
            continue;
        }
        *repeated = *repeated || found != NULL;
        found = &map->ptr[i].val;
    }
    return found;
}

static bool
read_fields(const msgpack_object_map *map, EbMessage *message, EbError *error)
{
    for (size_t i = 0; i < EbMessage_field_count; i++) {
        const EbMessageField *field = &EbMessage_fields[i];
        if (!EbMessageField_AppliesTo(field, message->kind)) {
            continue;
        }
        bool repeated = false;
        const msgpack_object *value = find_value(map, field->key, &repeated);
        if (repeated) {
            return fail_field(error, EB_ERROR_DUPLICATE, field->name);
        }
        if (value == NULL) {
            if ((field->required_kinds & 1U << message->kind) != 0) {
                return fail_field(error, EB_ERROR_MISSING_FIELD, field->name);
            }
            continue;
        }
        if (!read_value(value, field, message)) {
            return fail_field(error, EB_ERROR_TYPE, field->name);
        }
    }
    return true;
}

static EbMessage *
read_message(const msgpack_object *object, EbError *error)
{
    if (object->type != MSGPACK_OBJECT_MAP) {
        EbError_Set(error, EB_ERROR_TYPE, "a message must be a map");
        return NULL;
    }
    bool repeated = false;
    const msgpack_object *version =
        find_value(&object->via.map, EB_MESSAGE_KEY_VERSION, &repeated);
    const msgpack_object *kind =
        find_value(&object->via.map, EB_MESSAGE_KEY_KIND, &repeated);
    uint64_t number;
    if (repeated || version == NULL || kind == NULL ||
        !read_uint(version, 0, &number) || number == 0 ||
        !read_uint(kind, 0, &number)) {
        EbError_Set(error, EB_ERROR_MISSING_FIELD,
                    "version or kind is missing or invalid");
        return NULL;
    }
    if (number >= EB_MESSAGE_KIND_COUNT) {
        EbError_Set(error, EB_ERROR_UNKNOWN_FIELD, "unknown message kind");
        return NULL;
    }
    EbMessage *message = g_new0(EbMessage, 1);
    message->kind = (EbMessageKind)number;
    if (!read_fields(&object->via.map, message, error)) {
        EbMessage_Free(message);
        return NULL;
    }
    return message;
}

EbMessage *
EbMessage_Decode(const uint8_t *bytes, size_t byte_count, EbError *error)
{
    if (byte_count > EB_MESSAGE_MAX_BYTES) {
        EbError_Set(error, EB_ERROR_LIMIT, "message is too large");
        return NULL;
    }
    if (!EbMessage_CheckBytes(bytes, byte_count, error)) {
        return NULL;
    }
    msgpack_unpacked unpacked;
    msgpack_unpacked_init(&unpacked);
    size_t offset = 0;
    EbMessage *message = NULL;
    if (msgpack_unpack_next(&unpacked, (const char *)bytes, byte_count,
                            &offset) == MSGPACK_UNPACK_SUCCESS) {
        message = read_message(&unpacked.data, error);
    }
    else {
        EbError_Set(error, EB_ERROR_SYNTAX, "invalid msgpack value");
    }
    msgpack_unpacked_destroy(&unpacked);
    return message;
}
