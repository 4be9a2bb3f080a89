/* EbObjectStream: the known objects of one kind, their revision, and the
 * recent changes that led there.
 *
 * A change is an event {"name", "value", "deleted"}. Changes are kept for
 * EB_STREAM_LOG_US, so that other daemons that are a little behind can be sent
 * just these.
 *
 * When the store returns from an older copy of itself, its era rises and its
 * revisions go back. Revisions are compared within an era only, and only a
 * list leads from one era to the next.
 *
 * Events that the store returned lead to their revision from any state within
 * their range. The difference between a known state and a list lacks what
 * changed and changed back in between, so it leads there only from exactly
 * that state. */
#ifndef EB_OBJECT_STREAM_H
#define EB_OBJECT_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/store_protocol.h"

#define EB_STREAM_LOG_US 20000000
#define EB_STREAM_LOG_MAX_EVENTS 1024

typedef struct {
    bool listed; /* a complete list was read */
    /* Of the known state; never goes back. */
    EbStorePosition position;
    GHashTable *objects;   /* name -> json_t, the value */
    GQueue batches;        /* of Batch: changes after `log_revision` */
    uint64_t log_revision; /* of the same era as `position` */
    size_t logged_events;
} EbObjectStream;

void EbObjectStream_Init(EbObjectStream *stream);
void EbObjectStream_Clear(EbObjectStream *stream);

/* Replaces the known state by a complete list as of `position`. Changes before
 * a list of a later era can't be sent to others.
 *
 * Returns the events that lead from the known state to the list, as a new
 * reference, or NULL when the list is older than the known state. */
json_t *EbObjectStream_ApplyList(EbObjectStream *stream,
                                 const EbStorePosition *position,
                                 const json_t *items, int64_t now_us);

/* A range of changes. */
typedef struct {
    uint64_t base_revision;
    EbStorePosition position; /* after them, in the era of the base */
    bool exact_base;          /* they apply to the state of the base only */
    const json_t *events;     /* borrowed */
} EbObjectChanges;

/* Applies changes.
 *
 * Returns those events that change something, as a new reference, or NULL when
 * the changes don't follow on the known state or are not newer. */
json_t *EbObjectStream_ApplyChanges(EbObjectStream *stream,
                                    const EbObjectChanges *changes,
                                    int64_t now_us);

/* Writes the events that lead from `position` to the known state as the text
 * of a JSON array.
 *
 * exact_base: set as in EbObjectChanges.
 *
 * Returns the text, which the caller frees, or NULL when the events are not
 * kept or the text would exceed `max_bytes`. */
char *EbObjectStream_WriteChanges(EbObjectStream *stream,
                                  const EbStorePosition *position,
                                  size_t max_bytes, bool *exact_base);

/* Writes all known objects as events, as above. */
char *EbObjectStream_WriteAll(const EbObjectStream *stream, size_t max_bytes);

#endif
