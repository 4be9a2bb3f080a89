#include "object_stream.h"

#include <stdlib.h>
#include <string.h>

typedef struct {
    uint64_t base_revision; /* of the state before the events */
    uint64_t revision;      /* after them */
    bool exact_base;        /* as in EbObjectChanges */
    json_t *events;
    char *text; /* of the events without the array's brackets, or NULL while
                   nobody asked for it */
    size_t text_bytes;
    int64_t applied_us;
} Batch;

static void
free_value(gpointer value)
{
    json_decref(value);
}

static void
free_batch(gpointer data)
{
    Batch *batch = data;
    json_decref(batch->events);
    free(batch->text);
    g_free(batch);
}

void
EbObjectStream_Init(EbObjectStream *stream)
{
    *stream = (EbObjectStream){
        .objects =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value),
    };
    g_queue_init(&stream->batches);
}

void
EbObjectStream_Clear(EbObjectStream *stream)
{
    g_hash_table_destroy(stream->objects);
    g_queue_clear_full(&stream->batches, free_batch);
}

static void
drop_old_batches(EbObjectStream *stream, int64_t now_us)
{
    Batch *oldest;
    while ((oldest = g_queue_peek_head(&stream->batches)) != NULL &&
           (now_us - oldest->applied_us > EB_STREAM_LOG_US ||
            stream->logged_events > EB_STREAM_LOG_MAX_EVENTS)) {
        stream->log_revision = oldest->revision;
        stream->logged_events -= json_array_size(oldest->events);
        free_batch(g_queue_pop_head(&stream->batches));
    }
}

/* Advances to a revision. `events` is borrowed. An empty difference is kept
 * too, since something may have changed and changed back. */
static void
log_events(EbObjectStream *stream, uint64_t revision, bool exact_base,
           json_t *events, int64_t now_us)
{
    uint64_t base_revision = stream->position.revision;
    stream->position.revision = revision;
    if (json_array_size(events) > 0 ||
        (exact_base && revision > base_revision)) {
        Batch *batch = g_new0(Batch, 1);
        *batch = (Batch){.base_revision = base_revision,
                         .revision = revision,
                         .exact_base = exact_base,
                         .events = json_incref(events),
                         .applied_us = now_us};
        g_queue_push_tail(&stream->batches, batch);
        stream->logged_events += json_array_size(events);
    }
    drop_old_batches(stream, now_us);
}

static const char *
object_name(const json_t *object)
{
    return json_string_value(json_object_get(object, "name"));
}

static json_t *
new_event(const char *name, json_t *value, bool deleted)
{
    return json_pack("{s:s, s:O?, s:b}", "name", name, "value", value,
                     "deleted", deleted);
}

static void
set_object(EbObjectStream *stream, const char *name, json_t *value,
           json_t *effective)
{
    const json_t *known = g_hash_table_lookup(stream->objects, name);
    if (known != NULL && value != NULL && json_equal(known, value)) {
        return;
    }
    g_hash_table_replace(stream->objects, g_strdup(name),
                         value != NULL ? json_incref(value) : json_null());
    json_array_append_new(effective, new_event(name, value, false));
}

static void
delete_object(EbObjectStream *stream, const char *name, json_t *effective)
{
    if (g_hash_table_contains(stream->objects, name)) {
        json_array_append_new(effective, new_event(name, NULL, true));
        g_hash_table_remove(stream->objects, name);
    }
}

static void
delete_unlisted(EbObjectStream *stream, const json_t *items, json_t *effective)
{
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    size_t index;
    const json_t *item;
    json_array_foreach(items, index, item)
    {
        const char *name = object_name(item);
        if (name != NULL) {
            g_hash_table_add(listed, (gpointer)name);
        }
    }
    GList *names = g_hash_table_get_keys(stream->objects);
    for (GList *name = names; name != NULL; name = name->next) {
        if (!g_hash_table_contains(listed, name->data)) {
            delete_object(stream, name->data, effective);
        }
    }
    g_list_free(names);
    g_hash_table_destroy(listed);
}

static void
apply_events(EbObjectStream *stream, const json_t *events, json_t *effective)
{
    size_t index;
    const json_t *event;
    json_array_foreach(events, index, event)
    {
        const char *name = object_name(event);
        if (name == NULL) {
            continue;
        }
        if (json_is_true(json_object_get(event, "deleted"))) {
            delete_object(stream, name, effective);
        }
        else {
            set_object(stream, name, json_object_get(event, "value"),
                       effective);
        }
    }
}

static void
start_era(EbObjectStream *stream, const EbStorePosition *position)
{
    g_queue_clear_full(&stream->batches, free_batch);
    stream->logged_events = 0;
    stream->listed = true;
    stream->position = *position;
    stream->log_revision = position->revision;
}

json_t *
EbObjectStream_ApplyList(EbObjectStream *stream,
                         const EbStorePosition *position, const json_t *items,
                         int64_t now_us)
{
    if (stream->listed &&
        EbStorePosition_Compare(position, &stream->position) < 0) {
        return NULL;
    }
    json_t *effective = json_array();
    delete_unlisted(stream, items, effective);
    apply_events(stream, items, effective);
    if (stream->listed && stream->position.era == position->era) {
        log_events(stream, position->revision, true, effective, now_us);
    }
    else {
        start_era(stream, position);
    }
    return effective;
}

json_t *
EbObjectStream_ApplyChanges(EbObjectStream *stream,
                            const EbObjectChanges *changes, int64_t now_us)
{
    if (!stream->listed || changes->position.era != stream->position.era ||
        changes->base_revision > stream->position.revision ||
        changes->position.revision <= stream->position.revision) {
        return NULL;
    }
    if (changes->exact_base &&
        changes->base_revision != stream->position.revision) {
        return NULL;
    }
    json_t *effective = json_array();
    apply_events(stream, changes->events, effective);
    log_events(stream, changes->position.revision, changes->exact_base,
               effective, now_us);
    return effective;
}

/* Writes a batch's events once for all daemons that ask for them. */
static void
write_batch(Batch *batch)
{
    if (batch->text != NULL) {
        return;
    }
    char *array = json_dumps(batch->events, JSON_COMPACT);
    batch->text_bytes = strlen(array) - strlen("[]");
    memmove(array, array + 1, batch->text_bytes);
    array[batch->text_bytes] = '\0';
    batch->text = array;
}

static void
append_batch(GString *text, const Batch *batch)
{
    if (batch->text_bytes > 0) {
        g_string_append_c(text, text->len > 0 ? ',' : '[');
        g_string_append_len(text, batch->text, (gssize)batch->text_bytes);
    }
}

/* Ends the array of a text that append_batch began. */
static char *
finish_array(GString *text)
{
    g_string_append(text, text->len > 0 ? "]" : "[]");
    char *copy = strdup(text->str);
    g_string_free(text, TRUE);
    return copy;
}

char *
EbObjectStream_WriteChanges(EbObjectStream *stream,
                            const EbStorePosition *position, size_t max_bytes,
                            bool *exact_base)
{
    uint64_t revision = position->revision;
    *exact_base = false;
    if (!stream->listed || position->era != stream->position.era ||
        revision < stream->log_revision) {
        return NULL;
    }
    GString *text = g_string_new(NULL);
    bool possible = true;
    for (const GList *item = stream->batches.head; item != NULL && possible;
         item = item->next) {
        Batch *batch = item->data;
        if (batch->revision <= revision) {
            continue;
        }
        write_batch(batch);
        *exact_base = *exact_base || batch->exact_base;
        possible = (!batch->exact_base || batch->base_revision >= revision) &&
                   text->len + batch->text_bytes + strlen("[]") <= max_bytes;
        if (possible) {
            append_batch(text, batch);
        }
    }
    if (!possible) {
        g_string_free(text, TRUE);
        return NULL;
    }
    return finish_array(text);
}

char *
EbObjectStream_WriteAll(const EbObjectStream *stream, size_t max_bytes)
{
    json_t *items = json_array();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, stream->objects);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        json_array_append_new(items, new_event(name, value, false));
    }
    char *text = json_dumps(items, JSON_COMPACT);
    json_decref(items);
    if (strlen(text) > max_bytes) {
        free(text);
        return NULL;
    }
    return text;
}
