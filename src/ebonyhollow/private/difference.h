/* EbDifference: what changes between two JSON values. */
#ifndef EB_DIFFERENCE_H
#define EB_DIFFERENCE_H

#include <jansson.h>

/* Returns an array of {"change": "added" | "removed" | "changed", "path",
 * "from", "to"}, in the order of paths; "from" or "to" is absent when there
 * is no value. Arrays of different length are compared as a whole. */
json_t *EbDifference_Compute(json_t *from, json_t *to);

#endif
