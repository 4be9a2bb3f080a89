/* EbSchema: reads JSON objects into structs by a table of fields.
 *
 * The configuration and the settings each have one table; reading, error
 * messages and docs/configuration.md all follow from it. */
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

/* Type of a field; the comment is the type of the struct member. */
typedef enum {
    EB_SCHEMA_NAME,         /* char *: A-Za-z0-9._- */
    EB_SCHEMA_TEXT,         /* char *: min and max count bytes */
    EB_SCHEMA_HOST,         /* char *: IPv4 or IPv6 address */
    EB_SCHEMA_PATH,         /* char *: path of a URL */
    EB_SCHEMA_CHOICE,       /* enum, or char * when the row says so */
    EB_SCHEMA_BOOLEAN,      /* bool */
    EB_SCHEMA_UINT16,       /* uint16_t */
    EB_SCHEMA_UINT32,       /* uint32_t */
    EB_SCHEMA_UINT64,       /* uint64_t */
    EB_SCHEMA_MILLISECONDS, /* int64_t, in microseconds */
    EB_SCHEMA_DIGEST,       /* uint8_t[32], from hex digits */
    EB_SCHEMA_NAMES,        /* EbSchemaNames */
    EB_SCHEMA_OBJECT,       /* read by the caller */
    EB_SCHEMA_ARRAY,        /* read by the caller */
    EB_SCHEMA_SECRET,       /* read by the caller */
    EB_SCHEMA_TYPE_COUNT
} EbSchemaType;

/* Names parallel to EbSchemaType, for the documentation and messages. */
extern const char *const EbSchemaType_names[EB_SCHEMA_TYPE_COUNT];

#define EB_SCHEMA_REQUIRED "required"
#define EB_SCHEMA_NONE "none" /* absent: the member stays zero */

/* One row of a field table. */
typedef struct {
    const char *path; /* such as "pools.<name>.kind" or "stages[].pool" */
    EbSchemaType type;
    const char *unit; /* "" when it has none */
    int64_t min;      /* of numbers, of the bytes of a text */
    int64_t max;
    const char *const *choices;
    uint32_t choice_count;
    bool choice_as_text;       /* the member is a char * */
    const char *default_value; /* JSON, or one of the two names above */
    size_t offset;             /* of the struct member */
    const char *meaning;
} EbSchemaField;

typedef struct {
    char **items;
    uint32_t count;
} EbSchemaNames;

/* One step of a JSON path; an array index when key is NULL. */
typedef struct {
    const char *key; /* borrowed */
    size_t index;
} EbSchemaStep;

typedef struct {
    EbSchemaStep steps[EB_SCHEMA_MAX_DEPTH + 2];
    size_t count;
} EbSchemaPath;

/* A row and the field's own name, which is the end of its path. */
typedef struct {
    const EbSchemaField *field;
    const char *name;
} EbSchemaRow;

/* The rows directly below one prefix, selected once per reader. */
typedef struct {
    const EbSchemaField *fields;
    const char *prefix;
    EbSchemaRow rows[EB_SCHEMA_MAX_ROWS];
    size_t count;
} EbSchemaRowSet;

/* State of reading one JSON text. `path` leads to the current value. Its
 * place in the text is looked for under each of the roots in turn, since a
 * value of a merged document may come from the overlay or from the base. */
typedef struct {
    const EbSchemaField *fields;
    size_t field_count;
    const char *text; /* well-formed JSON */
    size_t text_bytes;
    const char *file;  /* or NULL */
    EbSchemaPath path; /* below the root */
    EbSchemaPath roots[2];
    size_t root_count;
    const char *site; /* named in messages, or NULL */
    EbError *error;
    EbSchemaRowSet row_sets[EB_SCHEMA_MAX_ROW_SETS]; /* private */
    size_t row_set_count;
} EbSchemaReader;

/* Parses a JSON text within limits of size and nesting; duplicate keys are
 * refused. Returns a new reference, or NULL with `error` set. */
json_t *EbSchema_Load(const char *text, size_t text_bytes, size_t max_bytes,
                      const char *file, EbError *error);

/* Reads the fields of the table that are directly below `prefix` ("" for the
 * top) from a JSON object into a struct. `prefix` lives as long as the reader.
 *
 * Returns false with the reader's error set to the first fault. Strings that
 * were read before the fault are in the struct and are freed with it. */
bool EbSchema_Read(EbSchemaReader *reader, json_t *object, const char *prefix,
                   void *members);

void EbSchema_PushKey(EbSchemaReader *reader, const char *key);
void EbSchema_PushIndex(EbSchemaReader *reader, size_t index);
void EbSchema_Pop(EbSchemaReader *reader);

/* Sets the reader's error with the current path and its place.
 *
 * Always returns false, so that a check can return its value. */
bool EbSchema_Fail(EbSchemaReader *reader, EbErrorCode code,
                   const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* As EbSchema_Fail, for the field `key` of the current object. */
bool EbSchema_FailField(EbSchemaReader *reader, const char *key,
                        EbErrorCode code, const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/* Returns whether `name` is 1 to 64 characters of A-Za-z0-9._-. */
bool EbSchema_IsName(const char *name);

/* Returns whether `host` is an IPv4 or IPv6 address. */
bool EbSchema_IsHost(const char *host);

/* Returns the keys of an object in ascending order, so that the order of
 * entries is the same on every daemon. Free with g_free; the keys are
 * borrowed. */
const char **EbSchema_SortedKeys(json_t *object);

void EbSchema_FreeNames(EbSchemaNames *names);

/* Head of the tables in docs/configuration.md. */
#define EB_SCHEMA_ROW_HEADER                                                  \
    "| field | type | unit | range | default | meaning |\n"                   \
    "|---|---|---|---|---|---|\n"

/* Writes a row of the tables in docs/configuration.md. */
void EbSchema_FormatRow(const EbSchemaField *field, char *buffer,
                        size_t buffer_bytes);

/* Finds the place of a value in a well-formed JSON text.
 *
 * Returns false when the text has no such value, or when a key on the way is
 * written with escapes. */
bool EbSchema_Locate(const char *text, size_t text_bytes,
                     const EbSchemaPath *path, int32_t *line, int32_t *column);

#endif
