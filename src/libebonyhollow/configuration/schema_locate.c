#include <string.h>

#include "ebonyhollow/schema.h"

/* A position in a JSON text that jansson has accepted, so that only the ends
 * of values have to be found. */
typedef struct {
    const char *text;
    size_t bytes;
    size_t position;
} Cursor;

/* Skips white space and returns the next character, or NUL at the end. */
static char
peek(Cursor *cursor)
{
    while (cursor->position < cursor->bytes &&
           strchr(" \t\r\n", cursor->text[cursor->position]) != NULL &&
           cursor->text[cursor->position] != '\0') {
        cursor->position++;
    }
    if (cursor->position >= cursor->bytes) {
        return '\0';
    }
    return cursor->text[cursor->position];
}

/* Skips a string. Returns its content as written, with escapes. */
static const char *
skip_string(Cursor *cursor, size_t *length)
{
    size_t start = ++cursor->position;
    while (cursor->position < cursor->bytes &&
           cursor->text[cursor->position] != '"') {
        cursor->position += cursor->text[cursor->position] == '\\' ? 2 : 1;
    }
    if (cursor->position > cursor->bytes) {
        cursor->position = cursor->bytes;
    }
    *length = cursor->position - start;
    if (cursor->position < cursor->bytes) {
        cursor->position++;
    }
    return cursor->text + start;
}

static void
skip_value(Cursor *cursor)
{
    size_t depth = 0;
    size_t length;
    do {
        char next = peek(cursor);
        if (next == '\0') {
            return;
        }
        if (next == '"') {
            skip_string(cursor, &length);
            continue;
        }
        if (next == '{' || next == '[') {
            depth++;
        }
        else if (next == '}' || next == ']') {
            if (depth == 0) {
                return;
            }
            depth--;
        }
        else if (next != ',' && next != ':') {
            while (cursor->position < cursor->bytes &&
                   strchr(",:]} \t\r\n", cursor->text[cursor->position]) ==
                       NULL) {
                cursor->position++;
            }
            continue;
        }
        cursor->position++;
    } while (depth > 0);
}

/* Moves the cursor from the start of an object to the value of `key` in it. */
static bool
enter_key(Cursor *cursor, const char *key)
{
    if (peek(cursor) != '{') {
        return false;
    }
    cursor->position++;
    while (peek(cursor) == '"') {
        size_t length;
        const char *name = skip_string(cursor, &length);
        if (peek(cursor) != ':') {
            return false;
        }
        cursor->position++;
        peek(cursor);
        if (length == strlen(key) && memcmp(name, key, length) == 0) {
            return true;
        }
        skip_value(cursor);
        if (peek(cursor) == ',') {
            cursor->position++;
        }
    }
    return false;
}

/* Moves the cursor from the start of an array to its element `index`. */
static bool
enter_index(Cursor *cursor, size_t index)
{
    if (peek(cursor) != '[') {
        return false;
    }
    cursor->position++;
    for (size_t i = 0; i < index; i++) {
        size_t before = cursor->position;
        skip_value(cursor);
        if (peek(cursor) != ',' || cursor->position == before) {
            return false;
        }
        cursor->position++;
    }
    char next = peek(cursor);
    return next != ']' && next != '\0';
}

/* Computes the line and column of the cursor. Columns count characters, as in
 * jansson's errors. */
static void
compute_location(const Cursor *cursor, int32_t *line, int32_t *column)
{
    *line = 1;
    *column = 1;
    for (size_t i = 0; i < cursor->position; i++) {
        if (cursor->text[i] == '\n') {
            (*line)++;
            *column = 1;
        }
        else if (((unsigned char)cursor->text[i] & 0xC0) != 0x80) {
            (*column)++;
        }
    }
}

bool
EbSchema_Locate(const char *text, size_t text_bytes, const EbSchemaPath *path,
                int32_t *line, int32_t *column)
{
    Cursor cursor = {text, text_bytes, 0};
    for (size_t i = 0; i < path->count; i++) {
        const EbSchemaStep *step = &path->steps[i];
        bool found = step->key != NULL ? enter_key(&cursor, step->key)
                                       : enter_index(&cursor, step->index);
        if (!found) {
            return false;
        }
    }
    if (peek(&cursor) == '\0') {
        return false;
    }
    compute_location(&cursor, line, column);
    return true;
}
