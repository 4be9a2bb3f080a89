/* EbError: a typed error with its location in the input.
 *
 * The caller provides the struct; a function that fails fills it in and
 * returns a failure value. Functions that report an error accept NULL when the
 * caller does not need the details. */
#ifndef EBONYHOLLOW_ERROR_H
#define EBONYHOLLOW_ERROR_H

#include <stddef.h>
#include <stdint.h>

#define EB_ERROR_FILE_MAX_BYTES 256
#define EB_ERROR_PATH_MAX_BYTES 256
#define EB_ERROR_MESSAGE_MAX_BYTES 512

typedef enum {
    EB_ERROR_NONE,
    EB_ERROR_SYNTAX,        /* input is not well-formed */
    EB_ERROR_UNKNOWN_FIELD, /* a field that is not defined */
    EB_ERROR_MISSING_FIELD, /* a required field is absent */
    EB_ERROR_TYPE,          /* a value of the wrong type */
    EB_ERROR_RANGE,         /* a value outside its range */
    EB_ERROR_REFERENCE,     /* a reference to a name that is not defined */
    EB_ERROR_DUPLICATE,     /* a name defined twice */
    EB_ERROR_LIMIT,         /* a size or nesting limit exceeded */
    EB_ERROR_IO,            /* a file or socket operation failed */
    EB_ERROR_CONFLICT,      /* the object changed since it was read */
    EB_ERROR_UNAVAILABLE,   /* a remote party cannot be reached */
    EB_ERROR_DENIED,        /* the credentials do not allow the action */
    EB_ERROR_PROTOCOL,      /* a remote party broke the protocol */
    EB_ERROR_USAGE,         /* wrong command line */
    EB_ERROR_COUNT
} EbErrorCode;

/* Names for logs and JSON, indexed by EbErrorCode. */
extern const char *const EbErrorCode_names[EB_ERROR_COUNT];

typedef struct {
    EbErrorCode code;
    int32_t line;                       /* 1-based; 0 when unknown */
    int32_t column;                     /* 1-based; 0 when unknown */
    char file[EB_ERROR_FILE_MAX_BYTES]; /* empty when there is no file */
    char path[EB_ERROR_PATH_MAX_BYTES]; /* JSON path such as $.pools[2].name */
    char message[EB_ERROR_MESSAGE_MAX_BYTES];
} EbError;

/* Resets an error to EB_ERROR_NONE. */
void EbError_Clear(EbError *error);

/* Sets code and message; file, line, column and path are kept. */
void EbError_Set(EbError *error, EbErrorCode code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

/* Sets the JSON path; a path that is too long is truncated. */
void EbError_SetPath(EbError *error, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/* Sets file name, line and column. `file` may be NULL; line and column are
 * 1-based, 0 when unknown. */
void EbError_SetLocation(EbError *error, const char *file, int32_t line,
                         int32_t column);

/* Formats an error as "file:line:column: path: message", without the parts
 * that are absent. Text that does not fit into the buffer is cut off.
 *
 * Returns the length written, without the terminating NUL. */
size_t EbError_Format(const EbError *error, char *buffer, size_t buffer_bytes);

#endif
