#include "difference.h"

#include <string.h>

#include <glib.h>

#include "ebonyhollow/schema.h"

static void
append_change(json_t *changes, const char *path, json_t *from, json_t *to)
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

static void compare_values(json_t *changes, const char *path, json_t *from,
                           json_t *to);

static void
compare_objects(json_t *changes, const char *path, json_t *from, json_t *to)
{
    json_t *all_members = json_copy(from);
    json_object_update_missing(all_members, to);
    const char **keys = EbSchema_SortedKeys(all_members);
    for (size_t i = 0; keys[i] != NULL; i++) {
        char *child_path = g_strdup_printf("%s.%s", path, keys[i]);
        compare_values(changes, child_path, json_object_get(from, keys[i]),
                       json_object_get(to, keys[i]));
        g_free(child_path);
    }
    g_free(keys);
    json_decref(all_members);
}

/* The recursion is bounded: the parser of the documents limits their
 * nesting. */
static void
compare_values(json_t *changes, const char *path, json_t *from, json_t *to)
{
    if (json_is_object(from) && json_is_object(to)) {
        compare_objects(changes, path, from, to);
    }
    else if (json_is_array(from) && json_is_array(to) &&
             json_array_size(from) == json_array_size(to)) {
        for (size_t i = 0; i < json_array_size(from); i++) {
            char *child_path = g_strdup_printf("%s[%zu]", path, i);
            compare_values(changes, child_path, json_array_get(from, i),
                           json_array_get(to, i));
            g_free(child_path);
        }
    }
    else if (from == NULL || to == NULL || !json_equal(from, to)) {
        append_change(changes, path, from, to);
    }
}

json_t *
EbDifference_Compute(json_t *from, json_t *to)
{
    json_t *changes = json_array();
    compare_values(changes, "$", from, to);
    return changes;
}
