/* Fields of peer messages on the wire, shared by the encoder and the decoder.
 */
#ifndef EB_MESSAGE_FIELDS_H
#define EB_MESSAGE_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/message.h"

/* Keys of the outer map. Numbers never change and are not reused. */
#define EB_MESSAGE_KEY_VERSION 0
#define EB_MESSAGE_KEY_KIND 1

/* Number of elements in the array that encodes a member, share, entry,
 * suspicion, limit or speed. */
#define EB_MESSAGE_MEMBER_ELEMENTS 7
/* A member without the capacity, which earlier versions do not send. */
#define EB_MESSAGE_MEMBER_MIN_ELEMENTS 6
#define EB_MESSAGE_SHARE_ELEMENTS 4
#define EB_MESSAGE_ENTRY_ELEMENTS 4
#define EB_MESSAGE_SUSPICION_ELEMENTS 4
#define EB_MESSAGE_LIMIT_ELEMENTS 4
#define EB_MESSAGE_SPEED_MIN_ELEMENTS 3 /* a report without its age */
#define EB_MESSAGE_SPEED_ELEMENTS 4

typedef enum {
    EB_MESSAGE_FIELD_NAME, /* char *, at most EB_MESSAGE_MAX_NAME_BYTES */
    EB_MESSAGE_FIELD_TEXT, /* char * with its length in text_bytes */
    EB_MESSAGE_FIELD_UINT64,
    EB_MESSAGE_FIELD_UINT32, /* uint32_t or enum, less than `limit` */
    EB_MESSAGE_FIELD_BOOL,
    EB_MESSAGE_FIELD_MEMBERS,
    EB_MESSAGE_FIELD_SHARES,
    EB_MESSAGE_FIELD_ENTRIES,
    EB_MESSAGE_FIELD_SUSPICIONS,
    EB_MESSAGE_FIELD_LIMITS,
    EB_MESSAGE_FIELD_SPEEDS,
    EB_MESSAGE_FIELD_HANDLES
} EbMessageFieldType;

typedef struct {
    uint8_t key;
    EbMessageFieldType type;
    size_t offset;           /* in EbMessage */
    uint32_t kinds;          /* bit set of the kinds that carry the field */
    uint32_t required_kinds; /* bit set of the kinds that must have it */
    uint32_t limit;          /* of a UINT32, exclusive */
    const char *name;
} EbMessageField;

extern const EbMessageField EbMessage_fields[];
extern const size_t EbMessage_field_count;

/* Returns whether messages of a kind carry the field. */
bool EbMessageField_AppliesTo(const EbMessageField *field, EbMessageKind kind);

/* Checks that the bytes are exactly one msgpack object, that its lengths fit
 * into the input, and that its nesting and number of objects are bounded. The
 * library's decoder allocates by the lengths it reads, so untrusted input must
 * pass this check first. */
bool EbMessage_CheckBytes(const uint8_t *bytes, size_t byte_count,
                          EbError *error);

#endif
