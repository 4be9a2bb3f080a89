/* EbDifference: the changes between two JSON values. */
#ifndef EB_DIFFERENCE_H
#define EB_DIFFERENCE_H

#include <jansson.h>

/* Lists the changes that turn `from` into `to`.
 *
 * Returns a new array, sorted by path, of {"change": "added" | "removed" |
 * "changed", "path", "from", "to"}. "from" is absent for an added value, "to"
 * for a removed one. Arrays of different lengths count as one change of the
 * whole array. */
json_t *EbDifference_Compute(json_t *from, json_t *to);

#endif
