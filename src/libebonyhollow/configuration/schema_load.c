#include <string.h>

#include "ebonyhollow/schema.h"

/* Refuses a text that is nested too deeply, before it is parsed. jansson
 * itself allows 2,048 levels, with which recursion over the result would use a
 * large amount of stack. */
static bool
check_depth(const char *text, size_t text_bytes, const char *file,
            EbError *error)
{
    size_t depth = 0;
    int32_t line = 1;
    int32_t column = 0;
    bool in_string = false;
    for (size_t i = 0; i < text_bytes; i++) {
        char c = text[i];
        column++;
        if (c == '\n') {
            line++;
            column = 0;
        }
        else if (in_string) {
            if (c == '\\' && i + 1 < text_bytes && text[i + 1] != '\n') {
                i++;
                column++;
            }
            else if (c == '"') {
                in_string = false;
            }
        }
        else if (c == '"') {
            in_string = true;
        }
        else if (c == '{' || c == '[') {
            if (++depth > EB_SCHEMA_MAX_DEPTH) {
                EbError_SetLocation(error, file, line, column);
                EbError_Set(error, EB_ERROR_LIMIT,
                            "objects and arrays are nested more than %d deep",
                            EB_SCHEMA_MAX_DEPTH);
                return false;
            }
        }
        else if ((c == '}' || c == ']') && depth > 0) {
            depth--;
        }
    }
    return true;
}

json_t *
EbSchema_Load(const char *text, size_t text_bytes, size_t max_bytes,
              const char *file, EbError *error)
{
    EbError_Clear(error);
    EbError_SetLocation(error, file, 0, 0);
    if (text_bytes > max_bytes) {
        EbError_Set(error, EB_ERROR_LIMIT,
                    "%zu bytes are more than the limit of %zu", text_bytes,
                    max_bytes);
        return NULL;
    }
    if (!check_depth(text, text_bytes, file, error)) {
        return NULL;
    }
    json_error_t parse_error;
    json_t *root =
        json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, &parse_error);
    if (root == NULL) {
        bool duplicate =
            json_error_code(&parse_error) == json_error_duplicate_key;
        /* jansson quotes the text near the error, which may be a secret of a
         * settings file. */
        char *quoted = strstr(parse_error.text, " near '");
        if (quoted != NULL && !duplicate) {
            *quoted = '\0';
        }
        EbError_SetLocation(error, file, parse_error.line, parse_error.column);
        EbError_Set(error, duplicate ? EB_ERROR_DUPLICATE : EB_ERROR_SYNTAX,
                    "%s", parse_error.text);
        return NULL;
    }
    if (!json_is_object(root)) {
        EbError_SetPath(error, "$");
        EbError_Set(error, EB_ERROR_TYPE,
                    "expected an object, found an array");
        json_decref(root);
        return NULL;
    }
    return root;
}
