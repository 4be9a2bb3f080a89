#include <string.h>

#include "ebonyhollow/schema.h"

/* A cursor over JSON text that jansson has accepted; it only has to find the
 * ends of values. */
typedef struct {
    const char *text;
    size_t bytes;
    size_t at;
} Cursor;

static char
peek(Cursor *cursor)
{
    while (cursor->at < cursor->bytes &&
           strchr(" \t\r\n", cursor->text[cursor->at]) != NULL &&
           cursor->text[cursor->at] != '\0') {
        cursor->at++;
    }
    if (cursor->at >= cursor->bytes) {
        return '\0';
    }
    return cursor->text[cursor->at];
}

/* Skips a string and returns its raw content. */
static const char *
skip_string(Cursor *cursor, size_t *length)
{
    size_t start = ++cursor->at;
    while (cursor->at < cursor->bytes && cursor->text[cursor->at] != '"') {
        cursor->at += cursor->text[cursor->at] == '\\' ? 2 : 1;
    }
    if (cursor->at > cursor->bytes) {
        cursor->at = cursor->bytes;
    }
    *length = cursor->at - start;
    if (cursor->at < cursor->bytes) {
        cursor->at++;
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
            while (cursor->at < cursor->bytes &&
                   strchr(",:]} \t\r\n", cursor->text[cursor->at]) == NULL) {
                cursor->at++;
            }
            continue;
        }
        cursor->at++;
    } while (depth > 0);
}

/* Moves the cursor to the member `key` of the object under it. */
static bool
enter_key(Cursor *cursor, const char *key)
{
    if (peek(cursor) != '{') {
        return false;
    }
    cursor->at++;
    while (peek(cursor) == '"') {
        size_t length;
        const char *name = skip_string(cursor, &length);
        if (peek(cursor) != ':') {
            return false;
        }
        cursor->at++;
        peek(cursor);
        if (length == strlen(key) && memcmp(name, key, length) == 0) {
            return true;
        }
        skip_value(cursor);
        if (peek(cursor) == ',') {
            cursor->at++;
        }
    }
    return false;
}

static bool
enter_index(Cursor *cursor, size_t index)
{
    if (peek(cursor) != '[') {
        return false;
    }
    cursor->at++;
    for (size_t i = 0; i < index; i++) {
        size_t before = cursor->at;
        skip_value(cursor);
        if (peek(cursor) != ',' || cursor->at == before) {
            return false;
        }
        cursor->at++;
    }
    char next = peek(cursor);
    return next != ']' && next != '\0';
}

/* Columns count characters, as jansson's errors do. */
static void
find_place(const Cursor *cursor, int32_t *line, int32_t *column)
{
    *line = 1;
    *column = 1;
    for (size_t i = 0; i < cursor->at; i++) {
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
    find_place(&cursor, line, column);
    return true;
}
