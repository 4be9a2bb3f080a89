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

/* Of the descriptors of the process, these parts may be connections of callers
 * and of operators and probes. A request needs up to one connection to a
 * server besides the caller's, so half is left. */
#define EB_CALLER_DESCRIPTORS_PERMILLE 375
#define EB_OPERATOR_DESCRIPTORS_PERMILLE 125
/* Time until the callers' listener tries again after it could not accept; long
 * enough not to use a processor. */
#define EB_ACCEPT_PAUSE_US 50000

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

/* Returns `wanted`, or `largest` if that is less. A limit that is lowered so
 * is logged under its name. */
uint32_t EbClientGuard_CapLimit(const EbClientGuard *guard, const char *name,
                                uint32_t wanted, uint64_t largest);

/* Returns how many of the `wanted` connections of a listener may be open: at
 * most `permille` of the descriptors that the process may have. What all
 * listeners together leave is for servers, the store and peers. If the limit
 * is lowered, that is logged. */
uint32_t EbClientGuard_CapConnections(const EbClientGuard *guard,
                                      uint32_t wanted, uint32_t permille);

/* To be called when a connection can't be accepted: ends a connection without
 * a request if another one waits at `listener_fd` and the process has no
 * descriptor left; accept fails then also if none waits. The listener must
 * pause, since the connection that waits keeps it readable. */
void EbClientGuard_HandleAcceptError(EbClientGuard *guard, int listener_fd);

/* Updates an account. If the limit is exceeded, connections are ended after
 * the current callback of the event loop, before another connection is read.
 */
void EbClientGuard_Update(EbClientGuard *guard, EbIntakeAccount *account,
                          EbIntakePhase phase, uint64_t bytes);

/* Counts a client that was refused or ended, and logs it at most once a second
 * for each reason. */
void EbClientGuard_Count(EbClientGuard *guard, EbIntakeReason reason);

#endif
