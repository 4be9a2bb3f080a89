/* EbStoreProtocol: how the calls to the platform's store look on the wire. */
#ifndef EBONYHOLLOW_STORE_PROTOCOL_H
#define EBONYHOLLOW_STORE_PROTOCOL_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/action.h"

/* A table of function pointers. Objects are {"name", "version", "value"}, a
 * list {"revision", "items"} and changes {"revision", "events"} whose elements
 * are objects with "deleted" as well. Paths are freed with g_free; JSON
 * results are new references. */
typedef struct {
    bool creates_with_post; /* PUT otherwise */
    char *(*path)(const EbStoreRequest *request);
    /* Body of a create or an update. */
    json_t *(*body)(const EbStoreRequest *request);
    /* Answer to an operation. NULL when it lacks what the operation needs. */
    json_t *(*read)(EbStoreOperation operation, json_t *answer);
    /* `after`: name after which the list goes on, or NULL. */
    char *(*list_path)(const char *kind, const char *after);
    char *(*watch_path)(const char *kind, uint64_t revision, int64_t wait_us);
    /* more: set when the list is not complete. */
    json_t *(*read_list)(json_t *answer, bool *more);
    json_t *(*read_changes)(json_t *answer);
} EbStoreProtocol;

#endif
