/* EbEvacuations: the failure domains to whose backend servers nothing new is
 * sent, by order of the operator.
 *
 * A domain is closed from the time at which this daemon learns of the order
 * until it learns that the order was withdrawn. Calls that run there go on to
 * their end. A domain that was opened again counts as returning for
 * EB_EVACUATION_RETURN_US, since its servers may have been restarted.
 *
 * Each order is known as of a position of the platform's store, which the
 * feed of the store's objects keeps from going back. All times are monotonic
 * microseconds. */
#ifndef EBONYHOLLOW_EVACUATIONS_H
#define EBONYHOLLOW_EVACUATIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/event.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/store_protocol.h"

#define EB_EVACUATION_RETURN_US 15000000

typedef struct EbEvacuations EbEvacuations;

typedef enum {
    EB_EVACUATION_NONE,
    EB_EVACUATION_EVACUATING, /* closed; calls of this daemon run there */
    EB_EVACUATION_EVACUATED,  /* closed; no call of this daemon runs there */
    EB_EVACUATION_RETURNING,  /* opened again lately */
    EB_EVACUATION_STATE_COUNT
} EbEvacuationState;

extern const char *const EbEvacuationState_names[EB_EVACUATION_STATE_COUNT];

typedef struct {
    const EbEventSink *events; /* borrowed; NULL: none */
    EbMetrics *metrics;        /* borrowed; NULL: none */
    /* Returns the number of this daemon's calls that run at the servers of a
     * failure domain. */
    uint32_t (*count_calls)(void *context, const char *failure_domain);
    /* Called when a closed domain is opened; may be NULL. */
    void (*opened)(void *context, const char *failure_domain, int64_t now_us);
    void *context;
} EbEvacuationsOptions;

/* Creates a table in which every domain is open. Free it with
 * EbEvacuations_Free. */
EbEvacuations *EbEvacuations_New(const EbEvacuationsOptions *options);

/* Accepts NULL. */
void EbEvacuations_Free(EbEvacuations *evacuations);

/* Handles an order, or with `evacuate` false its withdrawal, as read from the
 * store as of `position`. Repeated orders change nothing but the position. */
void EbEvacuations_Set(EbEvacuations *evacuations, const char *failure_domain,
                       bool evacuate, const EbStorePosition *position,
                       int64_t now_us);

/* Returns whether nothing new may be sent to the servers of a domain.
 *
 * evacuations: NULL when the deployment has no evacuations; false then. */
bool EbEvacuations_IsClosed(const EbEvacuations *evacuations,
                            const char *failure_domain);

/* Returns the state of a domain as of the last EbEvacuations_Set or
 * EbEvacuations_Tick. */
EbEvacuationState EbEvacuations_State(const EbEvacuations *evacuations,
                                      const char *failure_domain);

/* Counts the calls that still run in closed domains, and ends returns. Call it
 * when calls may have ended, at least once a second. */
void EbEvacuations_Tick(EbEvacuations *evacuations, int64_t now_us);

/* Returns whether domains were closed or opened since the last call. */
bool EbEvacuations_TakeChange(EbEvacuations *evacuations);

/* What is known of one domain. */
typedef struct {
    const char *failure_domain;
    EbEvacuationState state;
    EbStorePosition position; /* of the order or its withdrawal */
    int64_t age_us;           /* since this daemon learned of it */
    uint32_t calls;           /* of this daemon that run there */
} EbEvacuationView;

/* Returns the number of domains that are not in state none. */
size_t EbEvacuations_Count(const EbEvacuations *evacuations);

/* Describes one of them, sorted by name; index is below
 * EbEvacuations_Count. */
void EbEvacuations_View(const EbEvacuations *evacuations, size_t index,
                        int64_t now_us, EbEvacuationView *view);

#endif
