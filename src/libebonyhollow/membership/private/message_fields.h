/* Fields of the peer messages on the wire, shared by encoder and decoder. */
#ifndef EB_MESSAGE_FIELDS_H
#define EB_MESSAGE_FIELDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/message.h"

/* Keys of the outer map. Numbers are fixed and not reused. */
#define EB_MESSAGE_KEY_VERSION 0
#define EB_MESSAGE_KEY_KIND 1

/* Elements of the arrays that stand for one member, share or entry. */
#define EB_MESSAGE_MEMBER_ELEMENTS 7
/* Without the capacity, which earlier versions do not send. */
#define EB_MESSAGE_MEMBER_LEAST 6
#define EB_MESSAGE_SHARE_ELEMENTS 4
#define EB_MESSAGE_ENTRY_ELEMENTS 4

typedef enum {
    EB_MESSAGE_FIELD_NAME, /* char *, at most EB_MESSAGE_MAX_NAME_BYTES */
    EB_MESSAGE_FIELD_TEXT, /* char * with its length in text_bytes */
    EB_MESSAGE_FIELD_UINT64,
    EB_MESSAGE_FIELD_UINT32, /* uint32_t or an enum, below `limit` */
    EB_MESSAGE_FIELD_BOOL,
    EB_MESSAGE_FIELD_MEMBERS,
    EB_MESSAGE_FIELD_SHARES,
    EB_MESSAGE_FIELD_ENTRIES,
    EB_MESSAGE_FIELD_HANDLES
} EbMessageFieldType;

typedef struct {
    uint8_t key;
    EbMessageFieldType type;
    size_t offset; /* in EbMessage */
    uint32_t kinds;
    uint32_t required_kinds;
    uint32_t limit;
    const char *name;
} EbMessageField;

extern const EbMessageField EbMessage_fields[];
extern const size_t EbMessage_field_count;

/* Returns whether a message of this kind carries the field. */
bool EbMessageField_IsOf(const EbMessageField *field, EbMessageKind kind);

/* Checks that the bytes are one msgpack object whose lengths fit into the
 * input and whose nesting and number of objects are bounded, so that the
 * library's decoder, which allocates by the lengths given, can be used. */
bool EbMessage_CheckBytes(const uint8_t *bytes, size_t byte_count,
                          EbError *error);

#endif
