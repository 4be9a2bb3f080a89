/* EbFile: bounded reading of small files. */
#ifndef EBONYHOLLOW_FILE_H
#define EBONYHOLLOW_FILE_H

#include <stddef.h>

#include "ebonyhollow/error.h"

/* Reads a whole file of at most `max_bytes` bytes.
 *
 * bytes: set to the length; the content is also terminated by a NUL.
 *
 * Returns the content, freed with g_free, or NULL with `error` set. */
char *EbFile_Read(const char *path, size_t max_bytes, size_t *bytes,
                  EbError *error);

#endif
