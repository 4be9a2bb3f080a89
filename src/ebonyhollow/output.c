#include "output.h"

#include <assert.h>
#include <stdarg.h>
#include <string.h>

#define MAX_COLUMNS 16
#define COLUMN_GAP "  "

/* Returns a copy with each control character replaced by "?". Line breaks and
 * tabs are replaced only if `one_line` is set. The caller frees the copy with
 * g_free. */
static char *
sanitize(const char *text, bool one_line)
{
    char *valid = g_utf8_make_valid(text, -1);
    GString *sanitized = g_string_new(NULL);
    for (const char *position = valid; *position != '\0';
         position = g_utf8_next_char(position)) {
        gunichar character = g_utf8_get_char(position);
        bool allowed = !one_line && (character == '\n' || character == '\t');
        if (g_unichar_iscntrl(character) && !allowed) {
            g_string_append_c(sanitized, '?');
        }
        else {
            g_string_append_unichar(sanitized, character);
        }
    }
    g_free(valid);
    return g_string_free(sanitized, FALSE);
}

static char *
cell_text(json_t *value)
{
    if (value == NULL || json_is_null(value)) {
        return g_strdup("-");
    }
    if (json_is_string(value)) {
        const char *text = json_string_value(value);
        return text[0] != '\0' ? sanitize(text, true) : g_strdup("-");
    }
    if (json_is_boolean(value)) {
        return g_strdup(json_is_true(value) ? "yes" : "no");
    }
    char *serialized = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
                                             JSON_REAL_PRECISION(6));
    char *text = sanitize(serialized != NULL ? serialized : "-", true);
    free(serialized);
    return text;
}

static void
print_padded(FILE *out, const char *text, size_t width, bool last)
{
    fputs(text, out);
    size_t length = (size_t)g_utf8_strlen(text, -1);
    while (!last && length++ < width) {
        fputc(' ', out);
    }
    fputs(last ? "\n" : COLUMN_GAP, out);
}

void
EbOutput_Table(FILE *out, json_t *rows, const EbOutputColumn *columns,
               size_t column_count)
{
    size_t widths[MAX_COLUMNS] = {0};
    assert(column_count > 0 && column_count <= MAX_COLUMNS);
    GPtrArray *cells = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < column_count; i++) {
        widths[i] = strlen(columns[i].title);
    }
    size_t index;
    json_t *row;
    json_array_foreach(rows, index, row)
    {
        for (size_t i = 0; i < column_count; i++) {
            char *cell = cell_text(json_object_get(row, columns[i].field));
            widths[i] = MAX(widths[i], (size_t)g_utf8_strlen(cell, -1));
            g_ptr_array_add(cells, cell);
        }
    }
    for (size_t i = 0; i < column_count; i++) {
        print_padded(out, columns[i].title, widths[i], i + 1 == column_count);
    }
    for (size_t i = 0; i < cells->len; i++) {
        size_t column = i % column_count;
        print_padded(out, g_ptr_array_index(cells, i), widths[column],
                     column + 1 == column_count);
    }
    g_ptr_array_free(cells, TRUE);
}

static void
print_pairs(FILE *out, json_t *object, const char *prefix)
{
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        char *name =
            g_strdup_printf("%s%s%s", prefix, prefix[0] ? "." : "", key);
        if (json_is_object(value)) {
            print_pairs(out, value, name);
        }
        else {
            char *label = sanitize(name, true);
            char *text = cell_text(value);
            fprintf(out, "%-28s  %s\n", label, text);
            g_free(text);
            g_free(label);
        }
        g_free(name);
    }
}

void
EbOutput_Pairs(FILE *out, json_t *object)
{
    print_pairs(out, object, "");
}

void
EbOutput_Json(FILE *out, json_t *value, size_t flags)
{
    json_dumpf(value, out, flags | JSON_ENCODE_ANY);
    fputc('\n', out);
}

void
EbOutput_Text(FILE *out, const char *text)
{
    char *sanitized = sanitize(text, false);
    fputs(sanitized, out);
    g_free(sanitized);
}

json_t *
EbOutput_ErrorJson(const EbError *error, const char *hint)
{
    json_t *object =
        json_pack("{s:s, s:s}", "code", EbErrorCode_names[error->code],
                  "message", error->message);
    if (error->file[0] != '\0') {
        json_object_set_new(object, "file", json_string(error->file));
    }
    if (error->path[0] != '\0') {
        json_object_set_new(object, "path", json_string(error->path));
    }
    if (error->line > 0) {
        json_object_set_new(object, "line", json_integer(error->line));
        json_object_set_new(object, "column", json_integer(error->column));
    }
    if (hint != NULL) {
        json_object_set_new(object, "next", json_string(hint));
    }
    return object;
}

EbExit
EbOutput_Error(EbInvocation *invocation, EbExit code, const EbError *error,
               const char *hint)
{
    char text[1536];
    EbError_Format(error, text, sizeof(text));
    char *sanitized = sanitize(text, true);
    fprintf(invocation->err, "ebonyhollow: %s\n", sanitized);
    g_free(sanitized);
    if (hint != NULL) {
        fprintf(invocation->err, "next: %s\n", hint);
    }
    if (invocation->json) {
        json_t *document =
            json_pack("{s:o}", "error", EbOutput_ErrorJson(error, hint));
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
    }
    return code;
}

EbExit
EbOutput_Fail(EbInvocation *invocation, EbExit code, EbErrorCode error_code,
              const char *hint, const char *format, ...)
{
    EbError error = {0};
    char message[EB_ERROR_MESSAGE_MAX_BYTES];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(message, sizeof(message), format, arguments);
    va_end(arguments);
    EbError_Set(&error, error_code, "%s", message);
    return EbOutput_Error(invocation, code, &error, hint);
}
