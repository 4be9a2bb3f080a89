#include "message_fields.h"

#define MAX_DEPTH 8
/* A member takes the most objects: an array and its elements. Twice that
 * leaves room for elements that later versions append. */
#define MAX_OBJECTS                                                           \
    (2ULL * EB_MESSAGE_MAX_ELEMENTS * (EB_MESSAGE_MEMBER_ELEMENTS + 1))
#define FIRST_TYPED 0xc0
#define LAST_TYPED 0xdf

typedef enum { SHAPE_INVALID, SHAPE_BYTES, SHAPE_ARRAY, SHAPE_MAP } Shape;

/* What follows a type byte: a length of `length_bytes` bytes, then as many
 * bytes or elements as it says, plus `fixed_bytes`. */
typedef struct {
    Shape shape;
    uint8_t length_bytes;
    uint8_t fixed_bytes;
} TypeInfo;

/* Type bytes 0xc0 to 0xdf, from the msgpack specification. */
static const TypeInfo typed_heads[LAST_TYPED - FIRST_TYPED + 1] = {
    {SHAPE_BYTES, 0, 0},   /* nil */
    {SHAPE_INVALID, 0, 0}, /* never used */
    {SHAPE_BYTES, 0, 0},   /* false */
    {SHAPE_BYTES, 0, 0},   /* true */
    {SHAPE_BYTES, 1, 0},   /* bin 8, 16, 32 */
    {SHAPE_BYTES, 2, 0},   {SHAPE_BYTES, 4, 0},
    {SHAPE_BYTES, 1, 1}, /* ext 8, 16, 32 with a type byte */
    {SHAPE_BYTES, 2, 1},   {SHAPE_BYTES, 4, 1},
    {SHAPE_BYTES, 0, 4},                        /* float 32, 64 */
    {SHAPE_BYTES, 0, 8},   {SHAPE_BYTES, 0, 1}, /* uint 8, 16, 32, 64 */
    {SHAPE_BYTES, 0, 2},   {SHAPE_BYTES, 0, 4},
    {SHAPE_BYTES, 0, 8},   {SHAPE_BYTES, 0, 1}, /* int 8, 16, 32, 64 */
    {SHAPE_BYTES, 0, 2},   {SHAPE_BYTES, 0, 4},
    {SHAPE_BYTES, 0, 8},   {SHAPE_BYTES, 0, 2}, /* fixext 1, 2, 4, 8, 16 */
    {SHAPE_BYTES, 0, 3},   {SHAPE_BYTES, 0, 5},
    {SHAPE_BYTES, 0, 9},   {SHAPE_BYTES, 0, 17},
    {SHAPE_BYTES, 1, 0}, /* str 8, 16, 32 */
    {SHAPE_BYTES, 2, 0},   {SHAPE_BYTES, 4, 0},
    {SHAPE_ARRAY, 2, 0},                      /* array 16, 32 */
    {SHAPE_ARRAY, 4, 0},   {SHAPE_MAP, 2, 0}, /* map 16, 32 */
    {SHAPE_MAP, 4, 0},
};

typedef struct {
    const uint8_t *next;
    const uint8_t *end;
    uint64_t pending[MAX_DEPTH + 1]; /* objects yet to be read, by depth */
    uint32_t depth;
    uint64_t objects;
} Scanner;

/* Head of an object: its shape and its length in bytes or elements. */
typedef struct {
    Shape shape;
    uint64_t length;
} Head;

static bool
read_typed(Scanner *scanner, uint8_t type, Head *head)
{
    const TypeInfo *info = &typed_heads[type - FIRST_TYPED];
    if (info->shape == SHAPE_INVALID ||
        (size_t)(scanner->end - scanner->next) < info->length_bytes) {
        return false;
    }
    uint64_t length = 0;
    for (uint8_t i = 0; i < info->length_bytes; i++) {
        length = length << 8 | *scanner->next++;
    }
    *head = (Head){info->shape, length + info->fixed_bytes};
    return true;
}

static bool
read_head(Scanner *scanner, Head *head)
{
    if (scanner->next == scanner->end) {
        return false;
    }
    uint8_t type = *scanner->next++;
    if (type < 0x80 || type > LAST_TYPED) {
        *head = (Head){SHAPE_BYTES, 0}; /* small integer */
    }
    else if (type < 0x90) {
        *head = (Head){SHAPE_MAP, type & 0x0f};
    }
    else if (type < 0xa0) {
        *head = (Head){SHAPE_ARRAY, type & 0x0f};
    }
    else if (type < FIRST_TYPED) {
        *head = (Head){SHAPE_BYTES, type & 0x1f};
    }
    else {
        return read_typed(scanner, type, head);
    }
    return true;
}

static bool
fail(EbError *error, EbErrorCode code, const char *message)
{
    EbError_Set(error, code, "%s", message);
    return false;
}

static bool
enter_object(Scanner *scanner, const Head *head, EbError *error)
{
    size_t bytes_left = (size_t)(scanner->end - scanner->next);
    if (head->shape == SHAPE_BYTES) {
        if (head->length > bytes_left) {
            return fail(error, EB_ERROR_SYNTAX, "truncated value");
        }
        scanner->next += head->length;
        return true;
    }
    if (head->length > EB_MESSAGE_MAX_ELEMENTS) {
        return fail(error, EB_ERROR_LIMIT, "too many elements");
    }
    uint64_t children =
        head->shape == SHAPE_MAP ? head->length * 2 : head->length;
    if (children > bytes_left) {
        return fail(error, EB_ERROR_SYNTAX, "truncated array or map");
    }
    if (scanner->depth == MAX_DEPTH) {
        return fail(error, EB_ERROR_LIMIT, "nested too deeply");
    }
    scanner->pending[++scanner->depth] = children;
    return true;
}

bool
EbMessage_CheckBytes(const uint8_t *bytes, size_t byte_count, EbError *error)
{
    Scanner scanner = {
        .next = bytes, .end = bytes + byte_count, .pending = {1}};
    for (;;) {
        while (scanner.depth > 0 && scanner.pending[scanner.depth] == 0) {
            scanner.depth--;
        }
        if (scanner.pending[scanner.depth] == 0) {
            break;
        }
        scanner.pending[scanner.depth]--;
        if (++scanner.objects > MAX_OBJECTS) {
            return fail(error, EB_ERROR_LIMIT, "too many values");
        }
        Head head;
        if (!read_head(&scanner, &head)) {
            return fail(error, EB_ERROR_SYNTAX, "truncated or invalid value");
        }
        if (!enter_object(&scanner, &head, error)) {
            return false;
        }
    }
    if (scanner.next != scanner.end) {
        return fail(error, EB_ERROR_SYNTAX, "bytes after the message");
    }
    return true;
}
