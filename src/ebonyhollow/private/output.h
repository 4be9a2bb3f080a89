/* EbOutput: tables for people and JSON for programs. */
#ifndef EB_OUTPUT_H
#define EB_OUTPUT_H

#include <stdio.h>

#include <jansson.h>

#include "command.h"

typedef struct {
    const char *title;
    const char *field; /* key in each row; an absent value is shown as "-" */
} EbOutputColumn;

/* Prints a header line and one line per element of `rows`, with aligned
 * columns. `column_count` is 1 to 16. */
void EbOutput_Table(FILE *out, json_t *rows, const EbOutputColumn *columns,
                    size_t column_count);

/* Prints a "name  value" line for each member; the names of nested objects
 * are joined by dots. */
void EbOutput_Pairs(FILE *out, json_t *object);

/* Prints one JSON document and a newline. `flags` are those of jansson. */
void EbOutput_Json(FILE *out, json_t *value, size_t flags);

/* Prints text with each control character replaced by "?", so that it cannot
 * control the terminal. Line breaks and tabs stay. */
void EbOutput_Text(FILE *out, const char *text);

/* Returns an error as a new JSON object. `hint` may be NULL. */
json_t *EbOutput_ErrorJson(const EbError *error, const char *hint);

/* Prints an error and a hint on what to do next on the error stream, and also
 * as a JSON document on the output with --output json.
 *
 * hint: may be NULL.
 *
 * Returns `code`. */
EbExit EbOutput_Error(EbInvocation *invocation, EbExit code,
                      const EbError *error, const char *hint);

/* As EbOutput_Error, for an error made of a code and a formatted message. */
EbExit EbOutput_Fail(EbInvocation *invocation, EbExit code,
                     EbErrorCode error_code, const char *hint,
                     const char *format, ...)
    __attribute__((format(printf, 5, 6)));

#endif
