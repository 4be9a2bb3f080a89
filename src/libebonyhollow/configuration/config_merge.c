#include "ebonyhollow/config.h"

/* Merges one member of a patch into `merged`; null removes the member. Returns
 * 0, or -1 when out of memory. */
static int
merge_member(json_t *merged, const char *key, json_t *change)
{
    if (json_is_null(change)) {
        json_object_del(merged, key);
        return 0;
    }
    json_t *value = EbConfig_Merge(json_object_get(merged, key), change);
    if (value == NULL) {
        return -1;
    }
    return json_object_set_new(merged, key, value);
}

json_t *
EbConfig_Merge(const json_t *target, const json_t *patch)
{
    if (!json_is_object(patch)) {
        return json_incref((json_t *)patch);
    }
    json_t *merged =
        json_is_object(target) ? json_copy((json_t *)target) : json_object();
    if (merged == NULL) {
        return NULL;
    }
    const char *key;
    json_t *change;
    json_object_foreach((json_t *)patch, key, change)
    {
        if (merge_member(merged, key, change) != 0) {
            json_decref(merged);
            return NULL;
        }
    }
    return merged;
}
