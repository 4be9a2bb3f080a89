#include "json_difference.h"

#include <stdbool.h>

typedef struct {
    const char *path[EB_JSON_DIFFERENCE_MAX_DEPTH];
    size_t length;
    EbJsonDifferenceVisit visit;
    void *context;
} Walk;

static void compare(Walk *walk, const json_t *from, const json_t *to);

static void
compare_member(Walk *walk, const char *key, const json_t *from,
               const json_t *to)
{
    walk->path[walk->length++] = key;
    compare(walk, json_object_get(from, key), json_object_get(to, key));
    walk->length--;
}

static void
compare_objects(Walk *walk, const json_t *from, const json_t *to)
{
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)from, key, value)
    {
        compare_member(walk, key, from, to);
    }
    json_object_foreach((json_t *)to, key, value)
    {
        if (json_object_get(from, key) == NULL) {
            compare_member(walk, key, from, to);
        }
    }
}

/* NOLINTNEXTLINE(misc-no-recursion): bounded by EB_JSON_DIFFERENCE_MAX_DEPTH
 */
static void
compare(Walk *walk, const json_t *from, const json_t *to)
{
    if (json_equal(from, to)) {
        return;
    }
    const json_t *given = from != NULL ? from : to;
    size_t members = json_object_size(from) + json_object_size(to);
    bool objects = json_is_object(given) &&
                   (from == NULL || to == NULL || json_is_object(to));
    if (objects && members > 0 &&
        walk->length < EB_JSON_DIFFERENCE_MAX_DEPTH) {
        compare_objects(walk, from, to);
    }
    else {
        walk->visit(walk->context, walk->path, walk->length, from, to);
    }
}

void
EbJsonDifference_ForEach(const json_t *from, const json_t *to,
                         EbJsonDifferenceVisit visit, void *context)
{
    Walk walk = {.visit = visit, .context = context};
    compare(&walk, from, to);
}
