/* EbFile: reads small files with an upper bound on their size. */
#ifndef EBONYHOLLOW_FILE_H
#define EBONYHOLLOW_FILE_H

#include <stddef.h>

#include "ebonyhollow/error.h"

/* Reads a whole file into memory.
 *
 * max_bytes: a larger file is refused with EB_ERROR_LIMIT.
 * bytes: set to the length of the content, without the NUL that is added.
 * error: may be NULL; its file name is set to `path`.
 *
 * Returns the content, which the caller frees with g_free, or NULL with
 * `error` set to EB_ERROR_IO or EB_ERROR_LIMIT. */
char *EbFile_Read(const char *path, size_t max_bytes, size_t *bytes,
                  EbError *error);

#endif
