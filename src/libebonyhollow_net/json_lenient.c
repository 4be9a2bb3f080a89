#include "json_lenient.h"

#include <stdbool.h>
#include <string.h>

#include <glib.h>

typedef struct {
    const char *bytes;
    size_t byte_count;
    size_t position;
    GString *repaired;
} Scanner;

static bool
is_scalar_byte(char byte)
{
    return strchr("{}[]\",: \t\r\n", byte) == NULL || byte == '\0';
}

/* Returns the position after the string that starts at `start`. */
static size_t
find_string_end(const Scanner *scanner, size_t start)
{
    size_t i = start + 1;
    while (i < scanner->byte_count && scanner->bytes[i] != '"') {
        i += scanner->bytes[i] == '\\' ? 2 : 1;
    }
    return MIN(i + 1, scanner->byte_count);
}

static size_t
find_scalar_end(const Scanner *scanner, size_t start)
{
    size_t i = start;
    while (i < scanner->byte_count && is_scalar_byte(scanner->bytes[i])) {
        i++;
    }
    return i;
}

/* Returns the position after the container that starts at `start`. */
static size_t
find_container_end(const Scanner *scanner, size_t start)
{
    size_t depth = 0;
    size_t i = start;
    while (i < scanner->byte_count) {
        char byte = scanner->bytes[i];
        if (byte == '"') {
            i = find_string_end(scanner, i);
            continue;
        }
        depth += byte == '{' || byte == '[';
        i++;
        if ((byte == '}' || byte == ']') && --depth == 0) {
            break;
        }
    }
    return i;
}

static bool
is_name(const Scanner *scanner, size_t end)
{
    while (end < scanner->byte_count &&
           strchr(" \t\r\n", scanner->bytes[end]) != NULL) {
        end++;
    }
    return end < scanner->byte_count && scanner->bytes[end] == ':';
}

/* Copies a string, number or literal, or its replacement. */
static void
copy_scalar(Scanner *scanner, size_t end)
{
    const char *text = scanner->bytes + scanner->position;
    size_t length = end - scanner->position;
    json_t *value = json_loadb(text, length, JSON_DECODE_ANY, NULL);
    if (value != NULL) {
        g_string_append_len(scanner->repaired, text, (gssize)length);
    }
    else {
        g_string_append(scanner->repaired,
                        is_name(scanner, end) ? "\"\"" : "null");
    }
    json_decref(value);
    scanner->position = end;
}

static GString *
repair(const char *bytes, size_t byte_count)
{
    Scanner scanner = {bytes, byte_count, 0, g_string_new(NULL)};
    size_t depth = 0;
    while (scanner.position < byte_count) {
        char byte = bytes[scanner.position];
        bool opens = byte == '{' || byte == '[';
        if (opens && depth == EB_JSON_LENIENT_DEPTH) {
            g_string_append(scanner.repaired, "null");
            scanner.position = find_container_end(&scanner, scanner.position);
        }
        else if (byte == '"') {
            copy_scalar(&scanner, find_string_end(&scanner, scanner.position));
        }
        else if (is_scalar_byte(byte)) {
            copy_scalar(&scanner, find_scalar_end(&scanner, scanner.position));
        }
        else {
            depth += opens;
            depth -= (byte == '}' || byte == ']') && depth > 0;
            g_string_append_c(scanner.repaired, byte);
            scanner.position++;
        }
    }
    return scanner.repaired;
}

json_t *
EbJson_LoadLenient(const char *bytes, size_t byte_count)
{
    json_t *value = json_loadb(bytes, byte_count, JSON_DECODE_ANY, NULL);
    if (value != NULL) {
        return value;
    }
    GString *repaired = repair(bytes, byte_count);
    value = json_loadb(repaired->str, repaired->len, JSON_DECODE_ANY, NULL);
    g_string_free(repaired, TRUE);
    return value;
}
