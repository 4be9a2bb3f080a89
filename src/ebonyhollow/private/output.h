/* EbOutput: tables for people and JSON for programs. */
#ifndef EB_OUTPUT_H
#define EB_OUTPUT_H

#include <stdio.h>

#include <jansson.h>

#include "command.h"

typedef struct {
    const char *title;
    const char *field; /* of each row; an absent one is shown as "-" */
} EbOutputColumn;

/* Prints one line per element of `rows`, columns aligned. */
void EbOutput_Table(FILE *out, json_t *rows, const EbOutputColumn *columns,
                    size_t column_count);

/* Prints "name  value" lines; nested names are joined by dots. */
void EbOutput_Pairs(FILE *out, json_t *object);

/* Prints one JSON document and a newline. */
void EbOutput_Json(FILE *out, json_t *value, size_t flags);

/* Prints text without the control characters that a terminal would obey. */
void EbOutput_Text(FILE *out, const char *text);

/* Describes an error as JSON; returns a new reference. */
json_t *EbOutput_ErrorJson(const EbError *error, const char *next);

/* Prints an error and what to do next: on the error stream, and as a JSON
 * document on the output when that is asked for. Returns `code`. */
EbExit EbOutput_Error(EbInvocation *invocation, EbExit code,
                      const EbError *error, const char *next);

/* As EbOutput_Error for a plain message. */
EbExit EbOutput_Fail(EbInvocation *invocation, EbExit code, EbErrorCode kind,
                     const char *next, const char *format, ...)
    __attribute__((format(printf, 5, 6)));

#endif
