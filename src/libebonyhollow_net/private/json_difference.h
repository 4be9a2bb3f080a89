/* EbJsonDifference: what changed between two JSON documents. */
#ifndef EB_JSON_DIFFERENCE_H
#define EB_JSON_DIFFERENCE_H

#include <stddef.h>

#include <jansson.h>

#define EB_JSON_DIFFERENCE_MAX_DEPTH 16

/* Called for each value that differs. `path` holds the object keys that lead
 * to it; `from` or `to` is NULL where it is absent. */
typedef void (*EbJsonDifferenceVisit)(void *context, const char *const *path,
                                      size_t path_length, const json_t *from,
                                      const json_t *to);

/* Compares two values. Objects are compared member by member, an absent
 * object as an empty one; other values as a whole. */
void EbJsonDifference_ForEach(const json_t *from, const json_t *to,
                              EbJsonDifferenceVisit visit, void *context);

#endif
