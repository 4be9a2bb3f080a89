/* EbJsonDifference: what changed between two JSON documents. */
#ifndef EB_JSON_DIFFERENCE_H
#define EB_JSON_DIFFERENCE_H

#include <stddef.h>

#include <jansson.h>

/* Objects at this depth are compared as a whole. */
#define EB_JSON_DIFFERENCE_MAX_DEPTH 16

/* Called for each value that differs. `path` holds the object keys that lead
 * to it; `from` or `to` is NULL where it is absent. */
typedef void (*EbJsonDifferenceVisit)(void *context, const char *const *path,
                                      size_t path_length, const json_t *from,
                                      const json_t *to);

/* Compares two values. Objects are compared member by member down to
 * EB_JSON_DIFFERENCE_MAX_DEPTH, other values as a whole. If an object is
 * absent on one side, each of its members is reported; an empty one is
 * reported itself. */
void EbJsonDifference_ForEach(const json_t *from, const json_t *to,
                              EbJsonDifferenceVisit visit, void *context);

#endif
