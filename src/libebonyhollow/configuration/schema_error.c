#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/schema.h"

void
EbSchema_PushKey(EbSchemaReader *reader, const char *key)
{
    assert(reader->path.count < EB_SCHEMA_MAX_DEPTH);
    reader->path.steps[reader->path.count++] = (EbSchemaStep){.key = key};
}

void
EbSchema_PushIndex(EbSchemaReader *reader, size_t index)
{
    assert(reader->path.count < EB_SCHEMA_MAX_DEPTH);
    reader->path.steps[reader->path.count++] = (EbSchemaStep){.index = index};
}

void
EbSchema_Pop(EbSchemaReader *reader)
{
    assert(reader->path.count > 0);
    reader->path.count--;
}

static EbSchemaPath
join_paths(const EbSchemaPath *root, const EbSchemaPath *path)
{
    EbSchemaPath joined = *root;
    for (size_t i = 0; i < path->count; i++) {
        assert(joined.count < G_N_ELEMENTS(joined.steps));
        joined.steps[joined.count++] = path->steps[i];
    }
    return joined;
}

/* Appends a key to a path. A key with characters other than letters, digits, _
 * and - is quoted and escaped: a terminal must not get control characters. */
static void
append_key(GString *text, const char *key)
{
    bool plain = key[0] != '\0';
    for (const char *c = key; *c != '\0'; c++) {
        plain = plain && (g_ascii_isalnum(*c) || *c == '_' || *c == '-');
    }
    if (plain) {
        g_string_append_printf(text, ".%s", key);
        return;
    }
    char *escaped = g_strescape(key, NULL);
    g_string_append_printf(text, "[\"%.80s\"]", escaped);
    g_free(escaped);
}

static void
set_path(EbError *error, const EbSchemaPath *path)
{
    GString *text = g_string_new("$");
    for (size_t i = 0; i < path->count; i++) {
        if (path->steps[i].key != NULL) {
            append_key(text, path->steps[i].key);
        }
        else {
            g_string_append_printf(text, "[%zu]", path->steps[i].index);
        }
    }
    EbError_SetPath(error, "%s", text->str);
    g_string_free(text, TRUE);
}

/* Sets the path and location of the error, below the first root that has the
 * value in the text. A missing field has no location; the error then gets that
 * of the object that lacks it. */
static void
set_location(EbSchemaReader *reader)
{
    int32_t line = 0;
    int32_t column = 0;
    EbSchemaPath found = join_paths(&reader->roots[0], &reader->path);
    EbSchemaPath path = reader->path;
    for (size_t parents = 0; parents <= 1 && line == 0; parents++) {
        path.count = reader->path.count - MIN(parents, reader->path.count);
        for (size_t i = 0; i < reader->root_count && line == 0; i++) {
            EbSchemaPath candidate = join_paths(&reader->roots[i], &path);
            if (EbSchema_Locate(reader->text, reader->text_bytes, &candidate,
                                &line, &column)) {
                found = join_paths(&reader->roots[i], &reader->path);
            }
        }
    }
    set_path(reader->error, &found);
    EbError_SetLocation(reader->error, reader->file, line, column);
}

__attribute__((format(printf, 3, 0))) static void
fail(EbSchemaReader *reader, EbErrorCode code, const char *format,
     va_list arguments)
{
    if (reader->error == NULL) {
        return;
    }
    char message[EB_ERROR_MESSAGE_MAX_BYTES];
    vsnprintf(message, sizeof(message), format, arguments);
    EbError_Clear(reader->error);
    set_location(reader);
    if (reader->site != NULL) {
        EbError_Set(reader->error, code, "%s (site %s)", message,
                    reader->site);
    }
    else {
        EbError_Set(reader->error, code, "%s", message);
    }
}

bool
EbSchema_Fail(EbSchemaReader *reader, EbErrorCode code, const char *format,
              ...)
{
    va_list arguments;
    va_start(arguments, format);
    fail(reader, code, format, arguments);
    va_end(arguments);
    return false;
}

bool
EbSchema_FailField(EbSchemaReader *reader, const char *key, EbErrorCode code,
                   const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    EbSchema_PushKey(reader, key);
    fail(reader, code, format, arguments);
    EbSchema_Pop(reader);
    va_end(arguments);
    return false;
}

static void
format_range(const EbSchemaField *field, GString *text)
{
    switch (field->type) {
    case EB_SCHEMA_UINT16:
    case EB_SCHEMA_UINT32:
    case EB_SCHEMA_UINT64:
    case EB_SCHEMA_MILLISECONDS:
        g_string_append_printf(text,
                               "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                               field->min, field->max);
        break;
    case EB_SCHEMA_TEXT:
        g_string_append_printf(
            text, "%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT " bytes",
            field->min, field->max);
        break;
    case EB_SCHEMA_CHOICE:
        for (uint32_t i = 0; i < field->choice_count; i++) {
            g_string_append_printf(text, "%s%s", i > 0 ? ", " : "",
                                   field->choices[i]);
        }
        break;
    default:
        if (field->max > 0) {
            g_string_append_printf(text, "at most %" G_GINT64_FORMAT,
                                   field->max);
        }
        break;
    }
}

void
EbSchema_FormatRow(const EbSchemaField *field, char *buffer,
                   size_t buffer_bytes)
{
    GString *range = g_string_new(NULL);
    format_range(field, range);
    snprintf(buffer, buffer_bytes, "| `%s` | %s | %s | %s | %s | %s |",
             field->path, EbSchemaType_names[field->type],
             field->unit[0] ? field->unit : "-",
             range->len > 0 ? range->str : "-", field->default_value,
             field->meaning);
    g_string_free(range, TRUE);
}
