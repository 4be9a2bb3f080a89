/* EbSchema: reads JSON objects into structs, driven by a table of fields.
 *
 * The configuration and the settings have one table each. It determines how
 * they are read, the error messages and the rows of docs/configuration.md. */
#ifndef EBONYHOLLOW_SCHEMA_H
#define EBONYHOLLOW_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/error.h"

#define EB_SCHEMA_MAX_DEPTH 16 /* nesting of objects and arrays */
#define EB_SCHEMA_NAME_MAX_BYTES 64
#define EB_SCHEMA_MAX_ROWS 32     /* fields of one object */
#define EB_SCHEMA_MAX_ROW_SETS 12 /* kinds of objects in one table */

/* Type of a field. The comments give the type of the struct member. */
typedef enum {
    EB_SCHEMA_NAME,         /* char *: A-Za-z0-9._- */
    EB_SCHEMA_TEXT,         /* char *: min to max bytes */
    EB_SCHEMA_HOST,         /* char *: IPv4 or IPv6 address */
    EB_SCHEMA_PATH,         /* char *: path of a URL */
    EB_SCHEMA_CHOICE,       /* enum, or char * with choice_as_text */
    EB_SCHEMA_BOOLEAN,      /* bool */
    EB_SCHEMA_UINT16,       /* uint16_t */
    EB_SCHEMA_UINT32,       /* uint32_t */
    EB_SCHEMA_UINT64,       /* uint64_t */
    EB_SCHEMA_MILLISECONDS, /* int64_t, converted to microseconds */
    EB_SCHEMA_DIGEST,       /* uint8_t[32], from hex digits */
    EB_SCHEMA_NAMES,        /* EbSchemaNames */
    EB_SCHEMA_OBJECT,       /* read by the caller */
    EB_SCHEMA_ARRAY,        /* read by the caller */
    EB_SCHEMA_SECRET,       /* read by the caller */
    EB_SCHEMA_TYPE_COUNT
} EbSchemaType;

/* Names for the documentation, indexed by EbSchemaType. */
extern const char *const EbSchemaType_names[EB_SCHEMA_TYPE_COUNT];

/* Special values of EbSchemaField.default_value. */
#define EB_SCHEMA_REQUIRED "required" /* the field must be present */
#define EB_SCHEMA_NONE "none"         /* if absent, the member stays zero */

/* One row of a field table. */
typedef struct {
    const char *path; /* such as "pools.<name>.kind" or "stages[].pool" */
    EbSchemaType type;
    const char *unit; /* "" for none */
    int64_t min;      /* range of a number, or of a text's length in bytes */
    int64_t max;      /* of an object or array: limit on its entries, or 0 */
    const char *const *choices;
    uint32_t choice_count;
    bool choice_as_text;       /* store the choice as a char *, not an enum */
    const char *default_value; /* JSON, or one of the special values above */
    size_t offset;             /* of the struct member */
    const char *meaning;       /* for the documentation */
} EbSchemaField;

/* Value of a field of type EB_SCHEMA_NAMES. */
typedef struct {
    char **items;
    uint32_t count;
} EbSchemaNames;

/* One step of a JSON path: an object key, or an array index if key is NULL. */
typedef struct {
    const char *key; /* borrowed */
    size_t index;
} EbSchemaStep;

typedef struct {
    EbSchemaStep steps[EB_SCHEMA_MAX_DEPTH + 2];
    size_t count;
} EbSchemaPath;

/* A row of the table and the field's own name, the last part of its path. */
typedef struct {
    const EbSchemaField *field;
    const char *name;
} EbSchemaRow;

/* The rows directly below one prefix. A reader selects them only once. */
typedef struct {
    const EbSchemaField *fields;
    const char *prefix;
    EbSchemaRow rows[EB_SCHEMA_MAX_ROWS];
    size_t count;
} EbSchemaRowSet;

/* State of a reader of one JSON text. The path of the current value is tracked
 * so that an error can report the value's location in the text. The value is
 * looked for under each of the roots in turn, since a value of a merged
 * document may come from the overlay or from the base. */
typedef struct {
    const EbSchemaField *fields;
    size_t field_count;
    const char *text; /* well-formed JSON */
    size_t text_bytes;
    const char *file;  /* name used in errors, or NULL */
    EbSchemaPath path; /* of the current value, below the root */
    EbSchemaPath roots[2];
    size_t root_count;
    const char *site; /* named in error messages, or NULL */
    EbError *error;
    EbSchemaRowSet row_sets[EB_SCHEMA_MAX_ROW_SETS]; /* private */
    size_t row_set_count;
} EbSchemaReader;

/* Parses a JSON text whose top level is an object. A text that is too long or
 * nested deeper than EB_SCHEMA_MAX_DEPTH, and duplicate keys, are errors.
 *
 * max_bytes: limit on text_bytes.
 * file: name used in errors, or NULL.
 *
 * Returns a new reference, or NULL with `error` set. */
json_t *EbSchema_Load(const char *text, size_t text_bytes, size_t max_bytes,
                      const char *file, EbError *error);

/* Reads the fields of a JSON object into a struct.
 *
 * prefix: selects the rows of the table directly below it, "" for those of the
 *     top level. It must stay valid as long as the reader.
 * members: the struct that the rows' offsets refer to.
 *
 * Returns false with the reader's error set to the first error found. Strings
 * read before it are in the struct; the caller frees them in either case. */
bool EbSchema_Read(EbSchemaReader *reader, json_t *object, const char *prefix,
                   void *members);

/* Append a key or an array index to the reader's current path. `key` is
 * borrowed until it is popped. */
void EbSchema_PushKey(EbSchemaReader *reader, const char *key);
void EbSchema_PushIndex(EbSchemaReader *reader, size_t index);

/* Removes the last step of the current path. */
void EbSchema_Pop(EbSchemaReader *reader);

/* Sets the reader's error for the current path, with the location of its value
 * in the text. A missing value gets the location of the object that lacks it.
 *
 * Always returns false, so that a check can return the result. */
bool EbSchema_Fail(EbSchemaReader *reader, EbErrorCode code,
                   const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Like EbSchema_Fail, for the field `key` of the current object. */
bool EbSchema_FailField(EbSchemaReader *reader, const char *key,
                        EbErrorCode code, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Returns whether `name` is 1 to 64 characters of A-Za-z0-9._-. */
bool EbSchema_IsName(const char *name);

/* Returns whether `host` is an IPv4 or IPv6 address. */
bool EbSchema_IsHost(const char *host);

/* Returns the keys of an object in ascending order, so that the order of
 * entries is the same on every daemon. The array ends with NULL and is freed
 * with g_free; the keys are borrowed from the object. */
const char **EbSchema_SortedKeys(json_t *object);

/* Frees the names and the array, and zeroes the struct. */
void EbSchema_FreeNames(EbSchemaNames *names);

/* Header row of the tables in docs/configuration.md. */
#define EB_SCHEMA_ROW_HEADER                                                  \
    "| field | type | unit | range | default | meaning |\n"                   \
    "|---|---|---|---|---|---|\n"

/* Formats a field as a row of the tables in docs/configuration.md. */
void EbSchema_FormatRow(const EbSchemaField *field, char *buffer,
                        size_t buffer_bytes);

/* Finds the line and column, both 1-based, of a value in a well-formed JSON
 * text.
 *
 * Returns false when the text has no such value, or when a key of the path is
 * written with escapes in the text. */
bool EbSchema_Locate(const char *text, size_t text_bytes,
                     const EbSchemaPath *path, int32_t *line, int32_t *column);

#endif
