#include "difference.h"

#include <string.h>

#include <glib.h>

#include "ebonyhollow/schema.h"

static void
add_change(json_t *changes, const char *path, json_t *from, json_t *to)
{
    const char *change = from == NULL ? "added"
                         : to == NULL ? "removed"
                                      : "changed";
    json_t *entry = json_pack("{s:s, s:s}", "change", change, "path", path);
    if (from != NULL) {
        json_object_set(entry, "from", from);
    }
    if (to != NULL) {
        json_object_set(entry, "to", to);
    }
    json_array_append_new(changes, entry);
}

static void compare(json_t *changes, const char *path, json_t *from,
                    json_t *to);

static void
compare_objects(json_t *changes, const char *path, json_t *from, json_t *to)
{
    json_t *both = json_copy(from);
    json_object_update_missing(both, to);
    const char **keys = EbSchema_SortedKeys(both);
    for (size_t i = 0; keys[i] != NULL; i++) {
        char *below = g_strdup_printf("%s.%s", path, keys[i]);
        compare(changes, below, json_object_get(from, keys[i]),
                json_object_get(to, keys[i]));
        g_free(below);
    }
    g_free(keys);
    json_decref(both);
}

/* The documents come from a parser that bounds their nesting. */
static void
compare(json_t *changes, const char *path, json_t *from, json_t *to)
{
    if (json_is_object(from) && json_is_object(to)) {
        compare_objects(changes, path, from, to);
    }
    else if (json_is_array(from) && json_is_array(to) &&
             json_array_size(from) == json_array_size(to)) {
        for (size_t i = 0; i < json_array_size(from); i++) {
            char *below = g_strdup_printf("%s[%zu]", path, i);
            compare(changes, below, json_array_get(from, i),
                    json_array_get(to, i));
            g_free(below);
        }
    }
    else if (from == NULL || to == NULL || !json_equal(from, to)) {
        add_change(changes, path, from, to);
    }
}

json_t *
EbDifference_Compute(json_t *from, json_t *to)
{
    json_t *changes = json_array();
    compare(changes, "$", from, to);
    return changes;
}
