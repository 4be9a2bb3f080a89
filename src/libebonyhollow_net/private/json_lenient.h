/* Reads JSON of which other writers control a part.
 *
 * One value that the library can't read, since it is nested too deeply, out of
 * range or not valid text, must not make all others unreadable. */
#ifndef EB_JSON_LENIENT_H
#define EB_JSON_LENIENT_H

#include <stddef.h>

#include <jansson.h>

/* Containers are nested at most this deeply in a text that has to be repaired.
 */
#define EB_JSON_LENIENT_DEPTH 64

/* Parses a text. If that fails, parses it again with null in place of each
 * string, number and literal that can't be read and of each container that is
 * nested too deeply; a name that can't be read becomes empty.
 *
 * Returns a new reference, or NULL when the structure itself is malformed. */
json_t *EbJson_LoadLenient(const char *bytes, size_t byte_count);

#endif
