#include "ebonyhollow/schema.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#define DIGEST_BYTES 32

const char *const EbSchemaType_names[EB_SCHEMA_TYPE_COUNT] = {
    [EB_SCHEMA_NAME] = "name",       [EB_SCHEMA_TEXT] = "string",
    [EB_SCHEMA_HOST] = "IP address", [EB_SCHEMA_PATH] = "path",
    [EB_SCHEMA_CHOICE] = "choice",   [EB_SCHEMA_BOOLEAN] = "boolean",
    [EB_SCHEMA_UINT16] = "integer",  [EB_SCHEMA_UINT32] = "integer",
    [EB_SCHEMA_UINT64] = "integer",  [EB_SCHEMA_MILLISECONDS] = "integer",
    [EB_SCHEMA_DIGEST] = "digest",   [EB_SCHEMA_NAMES] = "array of names",
    [EB_SCHEMA_OBJECT] = "object",   [EB_SCHEMA_ARRAY] = "array",
    [EB_SCHEMA_SECRET] = "secret",
};

static const char *
json_type_name(const json_t *value)
{
    switch (json_typeof(value)) {
    case JSON_OBJECT:
        return "an object";
    case JSON_ARRAY:
        return "an array";
    case JSON_STRING:
        return "a string";
    case JSON_INTEGER:
        return "an integer";
    case JSON_REAL:
        return "a number with a fraction";
    case JSON_TRUE:
    case JSON_FALSE:
        return "a boolean";
    case JSON_NULL:
        break;
    }
    return "null";
}

bool
EbSchema_IsName(const char *name)
{
    size_t length = strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz0123456789._-");
    return name[length] == '\0' && length >= 1 &&
           length <= EB_SCHEMA_NAME_MAX_BYTES;
}

bool
EbSchema_IsHost(const char *host)
{
    unsigned char address[sizeof(struct in6_addr)];
    return inet_pton(AF_INET, host, address) == 1 ||
           inet_pton(AF_INET6, host, address) == 1;
}

static bool
is_path(const char *path)
{
    if (path[0] != '/' || strlen(path) > 1024) {
        return false;
    }
    for (const char *c = path; *c != '\0'; c++) {
        if (*c <= ' ' || *c > '~' || *c == '#' || *c == '?') {
            return false;
        }
    }
    return true;
}

/* Reports a value of the wrong JSON type. */
static bool
fail_type(EbSchemaReader *reader, const json_t *value, const char *expected)
{
    EbSchema_Fail(reader, EB_ERROR_TYPE, "expected %s, found %s", expected,
                  json_type_name(value));
    return false;
}

static bool
read_integer(EbSchemaReader *reader, const EbSchemaField *field, json_t *value,
             int64_t *number)
{
    *number = json_integer_value(value);
    if (json_is_integer(value) && *number >= field->min &&
        *number <= field->max) {
        return true;
    }
    char expected[128];
    snprintf(expected, sizeof(expected),
             "an integer of %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT "%s%s",
             field->min, field->max, field->unit[0] ? " " : "", field->unit);
    if (!json_is_integer(value)) {
        return fail_type(reader, value, expected);
    }
    return EbSchema_Fail(reader, EB_ERROR_RANGE,
                         "expected %s, found %" G_GINT64_FORMAT, expected,
                         *number);
}

static bool
is_number(const EbSchemaField *field)
{
    return field->type == EB_SCHEMA_UINT16 ||
           field->type == EB_SCHEMA_UINT32 ||
           field->type == EB_SCHEMA_UINT64 ||
           field->type == EB_SCHEMA_MILLISECONDS;
}

static void
assign_number(const EbSchemaField *field, int64_t number, void *member)
{
    switch (field->type) {
    case EB_SCHEMA_UINT16:
        *(uint16_t *)member = (uint16_t)number;
        break;
    case EB_SCHEMA_UINT32:
        *(uint32_t *)member = (uint32_t)number;
        break;
    case EB_SCHEMA_UINT64:
        *(uint64_t *)member = (uint64_t)number;
        break;
    default:
        *(int64_t *)member = number * 1000;
        break;
    }
}

static bool
store_number(EbSchemaReader *reader, const EbSchemaField *field, json_t *value,
             void *member)
{
    int64_t number = 0;
    if (!read_integer(reader, field, value, &number)) {
        return false;
    }
    assign_number(field, number, member);
    return true;
}

static bool
check_text(EbSchemaReader *reader, const EbSchemaField *field,
           const char *text)
{
    switch (field->type) {
    case EB_SCHEMA_NAME:
        if (!EbSchema_IsName(text)) {
            return EbSchema_Fail(reader, EB_ERROR_RANGE,
                                 "a name is 1 to %d characters of "
                                 "A-Za-z0-9._-",
                                 EB_SCHEMA_NAME_MAX_BYTES);
        }
        return true;
    case EB_SCHEMA_HOST:
        if (!EbSchema_IsHost(text)) {
            return EbSchema_Fail(reader, EB_ERROR_RANGE,
                                 "expected an IPv4 or IPv6 address, found "
                                 "\"%.64s\"",
                                 text);
        }
        return true;
    case EB_SCHEMA_PATH:
        if (!is_path(text)) {
            return EbSchema_Fail(reader, EB_ERROR_RANGE,
                                 "a path begins with / and has at most 1024 "
                                 "printable ASCII characters other than "
                                 "space, ? and #");
        }
        return true;
    default:
        if ((int64_t)strlen(text) < field->min ||
            (int64_t)strlen(text) > field->max) {
            return EbSchema_Fail(reader, EB_ERROR_RANGE,
                                 "expected %" G_GINT64_FORMAT
                                 " to %" G_GINT64_FORMAT " bytes, found %zu",
                                 field->min, field->max, strlen(text));
        }
        return true;
    }
}

static bool
store_text(EbSchemaReader *reader, const EbSchemaField *field, json_t *value,
           void *member)
{
    if (!json_is_string(value)) {
        return fail_type(reader, value, "a string");
    }
    if (!check_text(reader, field, json_string_value(value))) {
        return false;
    }
    g_free(*(char **)member);
    *(char **)member = g_strdup(json_string_value(value));
    return true;
}

static bool
store_choice(EbSchemaReader *reader, const EbSchemaField *field, json_t *value,
             void *member)
{
    if (!json_is_string(value)) {
        return fail_type(reader, value, "a string");
    }
    const char *text = json_string_value(value);
    GString *choice_list = g_string_new(NULL);
    for (uint32_t i = 0; i < field->choice_count; i++) {
        if (strcmp(field->choices[i], text) == 0) {
            if (field->choice_as_text) {
                *(char **)member = g_strdup(text);
            }
            else {
                *(unsigned *)member = i;
            }
            g_string_free(choice_list, TRUE);
            return true;
        }
        g_string_append_printf(choice_list, "%s%s", i > 0 ? ", " : "",
                               field->choices[i]);
    }
    EbSchema_Fail(reader, EB_ERROR_RANGE,
                  "expected one of %s; found \"%.64s\"", choice_list->str,
                  text);
    g_string_free(choice_list, TRUE);
    return false;
}

/* Reads exactly 32 bytes. The text is not quoted in the error, since it may be
 * a token that was entered in place of its digest. */
static bool
store_digest(EbSchemaReader *reader, json_t *value, void *member)
{
    if (!json_is_string(value)) {
        return fail_type(reader, value, "a string of 64 hex digits");
    }
    size_t length = json_string_length(value);
    size_t bytes = 0;
    if (length != 2 * (size_t)DIGEST_BYTES ||
        sodium_hex2bin(member, DIGEST_BYTES, json_string_value(value), length,
                       NULL, &bytes, NULL) != 0 ||
        bytes != DIGEST_BYTES) {
        return EbSchema_Fail(reader, EB_ERROR_RANGE,
                             "expected 64 hex digits; 'ebonyhollow digest' "
                             "prints the digest of a token");
    }
    return true;
}

static bool
store_names(EbSchemaReader *reader, json_t *value, void *member)
{
    if (!json_is_array(value)) {
        return fail_type(reader, value, "an array of names");
    }
    EbSchemaNames *names = member;
    static const EbSchemaField item = {.type = EB_SCHEMA_NAME};
    names->items = g_new0(char *, json_array_size(value) + 1);
    for (size_t i = 0; i < json_array_size(value); i++) {
        EbSchema_PushIndex(reader, i);
        if (!store_text(reader, &item, json_array_get(value, i),
                        &names->items[i])) {
            return false;
        }
        names->count++;
        for (size_t j = 0; j < i; j++) {
            if (g_strcmp0(names->items[i], names->items[j]) == 0) {
                return EbSchema_Fail(reader, EB_ERROR_DUPLICATE,
                                     "\"%s\" is listed twice",
                                     names->items[i]);
            }
        }
        EbSchema_Pop(reader);
    }
    return true;
}

static bool
store_value(EbSchemaReader *reader, const EbSchemaField *field, json_t *value,
            void *member)
{
    switch (field->type) {
    case EB_SCHEMA_NAME:
    case EB_SCHEMA_TEXT:
    case EB_SCHEMA_HOST:
    case EB_SCHEMA_PATH:
        return store_text(reader, field, value, member);
    case EB_SCHEMA_CHOICE:
        return store_choice(reader, field, value, member);
    case EB_SCHEMA_BOOLEAN:
        if (!json_is_boolean(value)) {
            return fail_type(reader, value, "true or false");
        }
        *(bool *)member = json_is_true(value);
        return true;
    case EB_SCHEMA_UINT16:
    case EB_SCHEMA_UINT32:
    case EB_SCHEMA_UINT64:
    case EB_SCHEMA_MILLISECONDS:
        return store_number(reader, field, value, member);
    case EB_SCHEMA_DIGEST:
        return store_digest(reader, value, member);
    case EB_SCHEMA_NAMES:
        return store_names(reader, value, member);
    case EB_SCHEMA_OBJECT:
        return json_is_object(value) || fail_type(reader, value, "an object");
    case EB_SCHEMA_ARRAY:
        return json_is_array(value) || fail_type(reader, value, "an array");
    case EB_SCHEMA_SECRET:
    case EB_SCHEMA_TYPE_COUNT:
        break;
    }
    return true;
}

/* Stores a default as if it had been written in the document. Most defaults
 * are numbers. They are not parsed as JSON, since a large document needs them
 * for each of its customers at each site. */
static void
store_default(EbSchemaReader *reader, const EbSchemaField *field, void *member)
{
    if (is_number(field)) {
        assign_number(field, g_ascii_strtoll(field->default_value, NULL, 10),
                      member);
        return;
    }
    json_t *value = json_loads(field->default_value, JSON_DECODE_ANY, NULL);
    assert(value != NULL);
    bool stored = store_value(reader, field, value, member);
    assert(stored);
    (void)stored;
    json_decref(value);
}

/* Returns the last part of the field's path if the field is directly below
 * `prefix`, else NULL. */
static const char *
name_directly_below(const EbSchemaField *field, const char *prefix)
{
    size_t length = strlen(prefix);
    const char *name = field->path;
    if (length > 0) {
        if (strncmp(name, prefix, length) != 0 || name[length] != '.') {
            return NULL;
        }
        name += length + 1;
    }
    return strpbrk(name, ".[<") == NULL ? name : NULL;
}

/* Returns the Levenshtein distance, or SIZE_MAX for a name that is longer than
 * any field's. */
static size_t
edit_distance(const char *left, const char *right)
{
    size_t row[EB_SCHEMA_NAME_MAX_BYTES + 1];
    size_t left_length = strlen(left);
    size_t right_length = strlen(right);
    if (left_length > EB_SCHEMA_NAME_MAX_BYTES ||
        right_length > EB_SCHEMA_NAME_MAX_BYTES) {
        return SIZE_MAX;
    }
    for (size_t j = 0; j <= right_length; j++) {
        row[j] = j;
    }
    for (size_t i = 1; i <= left_length; i++) {
        size_t diagonal = row[0];
        row[0] = i;
        for (size_t j = 1; j <= right_length; j++) {
            size_t above = row[j];
            size_t change = diagonal + (left[i - 1] != right[j - 1]);
            row[j] = MIN(MIN(above, row[j - 1]) + 1, change);
            diagonal = above;
        }
    }
    return row[right_length];
}

static bool
fail_unknown(EbSchemaReader *reader, const EbSchemaRowSet *set,
             const char *key)
{
    const char *nearest = NULL;
    size_t nearest_distance = SIZE_MAX;
    for (size_t i = 0; i < set->count; i++) {
        size_t distance = edit_distance(key, set->rows[i].name);
        if (distance < nearest_distance) {
            nearest = set->rows[i].name;
            nearest_distance = distance;
        }
    }
    if (nearest == NULL) {
        return EbSchema_FailField(reader, key, EB_ERROR_UNKNOWN_FIELD,
                                  "unknown field");
    }
    return EbSchema_FailField(reader, key, EB_ERROR_UNKNOWN_FIELD,
                              "unknown field; the nearest known one is "
                              "\"%s\"",
                              nearest);
}

/* Returns the rows directly below a prefix. They are selected from the table
 * only once per prefix, since a document may have thousands of entries of one
 * kind. */
static const EbSchemaRowSet *
select_rows(EbSchemaReader *reader, const char *prefix)
{
    for (size_t i = 0; i < reader->row_set_count; i++) {
        if (reader->row_sets[i].fields == reader->fields &&
            strcmp(reader->row_sets[i].prefix, prefix) == 0) {
            return &reader->row_sets[i];
        }
    }
    assert(reader->row_set_count < EB_SCHEMA_MAX_ROW_SETS);
    EbSchemaRowSet *set = &reader->row_sets[reader->row_set_count++];
    set->fields = reader->fields;
    set->prefix = prefix;
    for (size_t i = 0; i < reader->field_count; i++) {
        const char *name = name_directly_below(&reader->fields[i], prefix);
        if (name != NULL) {
            assert(set->count < EB_SCHEMA_MAX_ROWS);
            set->rows[set->count++] = (EbSchemaRow){&reader->fields[i], name};
        }
    }
    return set;
}

static bool
is_known(const EbSchemaRowSet *set, const char *key)
{
    for (size_t i = 0; i < set->count; i++) {
        if (strcmp(set->rows[i].name, key) == 0) {
            return true;
        }
    }
    return false;
}

static bool
read_field(EbSchemaReader *reader, const EbSchemaRow *row, json_t *object,
           void *members)
{
    const EbSchemaField *field = row->field;
    const char *name = row->name;
    void *member = (char *)members + field->offset;
    json_t *value = json_object_get(object, name);
    if (value != NULL) {
        EbSchema_PushKey(reader, name);
        bool read = store_value(reader, field, value, member);
        EbSchema_Pop(reader);
        return read;
    }
    if (strcmp(field->default_value, EB_SCHEMA_REQUIRED) == 0) {
        return EbSchema_FailField(reader, name, EB_ERROR_MISSING_FIELD,
                                  "the required field is missing");
    }
    if (strcmp(field->default_value, EB_SCHEMA_NONE) != 0) {
        store_default(reader, field, member);
    }
    return true;
}

bool
EbSchema_Read(EbSchemaReader *reader, json_t *object, const char *prefix,
              void *members)
{
    if (!json_is_object(object)) {
        return fail_type(reader, object, "an object");
    }
    const EbSchemaRowSet *set = select_rows(reader, prefix);
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        if (!is_known(set, key)) {
            return fail_unknown(reader, set, key);
        }
    }
    for (size_t i = 0; i < set->count; i++) {
        if (!read_field(reader, &set->rows[i], object, members)) {
            return false;
        }
    }
    return true;
}

static int
compare_keys(const void *left, const void *right)
{
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

const char **
EbSchema_SortedKeys(json_t *object)
{
    const char **keys = g_new0(const char *, json_object_size(object) + 1);
    size_t count = 0;
    const char *key;
    json_t *value;
    json_object_foreach(object, key, value)
    {
        keys[count++] = key;
    }
    qsort(keys, count, sizeof(keys[0]), compare_keys);
    return keys;
}

void
EbSchema_FreeNames(EbSchemaNames *names)
{
    for (uint32_t i = 0; i < names->count; i++) {
        g_free(names->items[i]);
    }
    g_free(names->items);
    *names = (EbSchemaNames){0};
}
