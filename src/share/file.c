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
    char chunk[4096];
    size_t chunk_bytes;
    while (content->len <= max_bytes &&
           (chunk_bytes = fread(chunk, 1, sizeof(chunk), file)) > 0) {
        g_string_append_len(content, chunk, (gssize)chunk_bytes);
    }
    int read_error = ferror(file) ? errno : 0;
    fclose(file);
    if (read_error != 0) {
        EbError_Set(error, EB_ERROR_IO, "cannot read: %s",
                    strerror(read_error));
    }
    else if (content->len > max_bytes) {
        EbError_Set(error, EB_ERROR_LIMIT,
                    "the file is larger than the limit of %zu bytes",
                    max_bytes);
    }
    else {
        *bytes = content->len;
        return g_string_free(content, FALSE);
    }
    g_string_free(content, TRUE);
    return NULL;
}
