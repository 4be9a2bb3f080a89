#include "ebonyhollow/file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

char *
EbFile_Read(const char *path, size_t max_bytes, size_t *bytes, EbError *error)
{
    EbError_Clear(error);
    EbError_SetLocation(error, path, 0, 0);
    FILE *file = fopen(path, "rbe");
    if (file == NULL) {
        EbError_Set(error, EB_ERROR_IO, "cannot open: %s", strerror(errno));
        return NULL;
    }
    GString *content = g_string_new(NULL);
    char part[4096];
    size_t got;
    while (content->len <= max_bytes &&
           (got = fread(part, 1, sizeof(part), file)) > 0) {
        g_string_append_len(content, part, (gssize)got);
    }
    int read_error = ferror(file) ? errno : 0;
    fclose(file);
    if (read_error != 0) {
        EbError_Set(error, EB_ERROR_IO, "cannot read: %s",
                    strerror(read_error));
    }
    else if (content->len > max_bytes) {
        EbError_Set(error, EB_ERROR_LIMIT,
                    "the file has more than the limit of %zu bytes",
                    max_bytes);
    }
    else {
        *bytes = content->len;
        return g_string_free(content, FALSE);
    }
    g_string_free(content, TRUE);
    return NULL;
}
