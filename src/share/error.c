#include "ebonyhollow/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const char *const EbErrorCode_names[EB_ERROR_COUNT] = {
    [EB_ERROR_NONE] = "none",
    [EB_ERROR_SYNTAX] = "syntax",
    [EB_ERROR_UNKNOWN_FIELD] = "unknown-field",
    [EB_ERROR_MISSING_FIELD] = "missing-field",
    [EB_ERROR_TYPE] = "type",
    [EB_ERROR_RANGE] = "range",
    [EB_ERROR_REFERENCE] = "reference",
    [EB_ERROR_DUPLICATE] = "duplicate",
    [EB_ERROR_LIMIT] = "limit",
    [EB_ERROR_IO] = "io",
    [EB_ERROR_CONFLICT] = "conflict",
    [EB_ERROR_UNAVAILABLE] = "unavailable",
    [EB_ERROR_DENIED] = "denied",
    [EB_ERROR_PROTOCOL] = "protocol",
    [EB_ERROR_USAGE] = "usage",
};

void
EbError_Clear(EbError *error)
{
    if (error != NULL) {
        memset(error, 0, sizeof(*error));
    }
}

void
EbError_Set(EbError *error, EbErrorCode code, const char *format, ...)
{
    if (error == NULL) {
        return;
    }
    error->code = code;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->message, sizeof(error->message), format, arguments);
    va_end(arguments);
}

void
EbError_SetPath(EbError *error, const char *format, ...)
{
    if (error == NULL) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->path, sizeof(error->path), format, arguments);
    va_end(arguments);
}

void
EbError_SetLocation(EbError *error, const char *file, int32_t line,
                    int32_t column)
{
    if (error == NULL) {
        return;
    }
    snprintf(error->file, sizeof(error->file), "%s", file ? file : "");
    error->line = line;
    error->column = column;
}

size_t
EbError_Format(const EbError *error, char *buffer, size_t buffer_bytes)
{
    char location[EB_ERROR_FILE_MAX_BYTES + 32] = "";
    if (error->line > 0) {
        snprintf(location, sizeof(location),
                 "%s:%d:%d: ", error->file[0] ? error->file : "input",
                 error->line, error->column);
    }
    else if (error->file[0] != '\0') {
        snprintf(location, sizeof(location), "%s: ", error->file);
    }
    int length =
        snprintf(buffer, buffer_bytes, "%s%s%s%s", location, error->path,
                 error->path[0] ? ": " : "", error->message);
    if (length < 0) {
        return 0;
    }
    if ((size_t)length >= buffer_bytes) {
        return buffer_bytes > 0 ? buffer_bytes - 1 : 0;
    }
    return (size_t)length;
}
