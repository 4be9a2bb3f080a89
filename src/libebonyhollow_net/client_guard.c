#include "client_guard.h"

#include <event2/event.h>
#include <glib.h>

#include "clock.h"

#define DEFAULT_MAX_BYTES (UINT64_C(128) * 1024 * 1024)

struct EbClientGuard {
    EbClientGuardOptions options;
    EbIntake *intake;
    struct event *relieve_event;
};

static void
on_relieve(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    EbClientGuard *guard = context;
    EbIntake_Relieve(guard->intake, EbClock_Monotonic());
}

EbClientGuard *
EbClientGuard_New(const EbClientGuardOptions *options)
{
    EbClientGuard *guard = g_new0(EbClientGuard, 1);
    guard->options = *options;
    guard->intake = EbIntake_New(&(EbIntakeOptions){
        .max_bytes =
            options->max_bytes > 0 ? options->max_bytes : DEFAULT_MAX_BYTES});
    guard->relieve_event = event_new(options->base, -1, 0, on_relieve, guard);
    event_priority_set(guard->relieve_event, 0);
    return guard;
}

void
EbClientGuard_Free(EbClientGuard *guard)
{
    if (guard == NULL) {
        return;
    }
    event_free(guard->relieve_event);
    EbIntake_Free(guard->intake);
    g_free(guard);
}

EbIntake *
EbClientGuard_Intake(EbClientGuard *guard)
{
    return guard->intake;
}

void
EbClientGuard_Update(EbClientGuard *guard, EbIntakeAccount *account,
                     EbIntakePhase phase, uint64_t bytes)
{
    if (account == NULL) {
        return; /* its connection is being closed */
    }
    EbIntake_Update(account, phase, bytes, EbClock_Monotonic());
    if (EbIntake_IsShort(guard->intake)) {
        event_active(guard->relieve_event, EV_TIMEOUT, 0);
    }
}

void
EbClientGuard_Count(EbClientGuard *guard, EbIntakeReason reason)
{
    const char *name = EbIntakeReason_names[reason];
    if (guard->options.metrics != NULL) {
        EbMetrics_Add(guard->options.metrics, EB_METRIC_CLIENTS_ENDED, 1, name,
                      NULL, NULL);
    }
    uint64_t count =
        EbIntake_Count(guard->intake, reason, EbClock_Monotonic());
    if (count > 0 && guard->options.events != NULL) {
        EB_EMIT(
            guard->options.events, EB_EVENT_CLIENTS_ENDED,
            EB_STRING_FIELD("reason", name), EB_INTEGER_FIELD("count", count),
            EB_INTEGER_FIELD("client_bytes", EbIntake_Bytes(guard->intake)));
    }
}
