/* EbReleaseCalls: calls that tell servers to free results, at most
 * EB_RELEASE_CALLS_MAX at a time for each server. What is to be freed
 * meanwhile goes with the next call. */
#ifndef EB_RELEASE_CALLS_H
#define EB_RELEASE_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/event.h"

#define EB_RELEASE_CALLS_MAX 2
/* Handles of a server that wait for a call; further ones are given up, and
 * their results stay until the server discards them itself. */
#define EB_RELEASE_CALLS_MAX_WAITING 4096
/* A call without an answer for this time has failed. */
#define EB_RELEASE_CALLS_TIMEOUT_US 2000000

typedef struct EbReleaseCalls EbReleaseCalls;

/* Creates an object without calls. `events` is borrowed; it may be NULL. Free
 * it with EbReleaseCalls_Free.
 *
 * send: starts a call. `release` is borrowed. The end of the call may be
 *     reported before this returns. */
EbReleaseCalls *EbReleaseCalls_New(
    void (*send)(void *context, const EbReleaseResults *release),
    void *context, const EbEventSink *events);

/* Accepts NULL. */
void EbReleaseCalls_Free(EbReleaseCalls *calls);

/* Sends a release now or with a later call. `release` is copied. */
void EbReleaseCalls_Add(EbReleaseCalls *calls,
                        const EbReleaseResults *release);

/* Records that a call was answered or failed, and sends what waited for it.
 * Ids of other calls are ignored. */
void EbReleaseCalls_RecordEnd(EbReleaseCalls *calls, uint64_t attempt_id);

#endif
