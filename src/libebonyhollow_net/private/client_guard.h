/* EbClientGuard: connects EbIntake to the event loop, the log and the metrics.
 *
 * The listeners of a daemon share one. */
#ifndef EB_CLIENT_GUARD_H
#define EB_CLIENT_GUARD_H

#include <stdint.h>

#include "ebonyhollow/event.h"
#include "ebonyhollow/intake.h"
#include "ebonyhollow/metrics.h"

struct event_base;

typedef struct EbClientGuard EbClientGuard;

typedef struct {
    struct event_base *base;
    uint64_t max_bytes;        /* 0: 128 MiB */
    const EbEventSink *events; /* may be NULL */
    EbMetrics *metrics;        /* may be NULL */
} EbClientGuardOptions;

/* `options` is copied; what it points to must outlive the guard. */
EbClientGuard *EbClientGuard_New(const EbClientGuardOptions *options);

/* Accepts NULL. */
void EbClientGuard_Free(EbClientGuard *guard);

EbIntake *EbClientGuard_Intake(EbClientGuard *guard);

/* Updates an account. If the limit is exceeded, connections are ended after
 * the current callback of the event loop, before another connection is read.
 */
void EbClientGuard_Update(EbClientGuard *guard, EbIntakeAccount *account,
                          EbIntakePhase phase, uint64_t bytes);

/* Counts a client that was refused or ended, and logs it at most once a second
 * for each reason. */
void EbClientGuard_Count(EbClientGuard *guard, EbIntakeReason reason);

#endif
