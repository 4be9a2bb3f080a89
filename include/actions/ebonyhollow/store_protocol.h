/* EbStoreProtocol: wire format of the calls to the platform's store. */
#ifndef EBONYHOLLOW_STORE_PROTOCOL_H
#define EBONYHOLLOW_STORE_PROTOCOL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/action.h"

/* A state of the store. */
typedef struct {
    uint64_t era; /* 0: the store has no eras */
    uint64_t revision;
} EbStorePosition;

/* Returns a number below, equal to or above 0 as `a` is before, equal to or
 * after `b`. */
int EbStorePosition_Compare(const EbStorePosition *a,
                            const EbStorePosition *b);

/* A table of functions that build requests and convert response bodies to a
 * common form. An object is {"name", "version", "value"}. A list of objects is
 * {"revision", "items"}. Changes are {"revision", "events"}; an event is an
 * object that has "deleted" in addition. The caller frees paths with g_free;
 * JSON results are new references. */
typedef struct {
    /* Header of every response with the era of the store, a number. It rises
     * when the store returns from an older copy of itself. Revisions can be
     * compared within an era only. */
    const char *era_header;
    bool creates_with_post; /* objects are created with POST, not with PUT */
    /* Returns the path of a request. */
    char *(*path)(const EbStoreRequest *request);
    /* Returns the body of a create or an update. */
    json_t *(*body)(const EbStoreRequest *request);
    /* Converts the response to an operation. Returns NULL when something that
     * the operation needs is missing. */
    json_t *(*read)(EbStoreOperation operation, json_t *answer);
    /* Returns the path that lists the objects of a kind, from the one that
     * follows the name `after`, or from the first when `after` is NULL.
     * `stale` allows a list that is some seconds old, if that costs less. */
    char *(*list_path)(const char *kind, const char *after, bool stale);
    /* Returns the path that waits up to `wait_us` for changes after
     * `revision`. */
    char *(*watch_path)(const char *kind, uint64_t revision, int64_t wait_us);
    /* Returns the path of a cheap read that shows whether the store answers.
     * Whether the object exists does not matter. */
    char *(*probe_path)(const char *kind, const char *name);
    /* Converts a list. more: set when another page follows. */
    json_t *(*read_list)(json_t *answer, bool *more);
    /* Converts the changes that a watch returned. */
    json_t *(*read_changes)(json_t *answer);
} EbStoreProtocol;

#endif
