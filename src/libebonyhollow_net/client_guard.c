#include "client_guard.h"

#include <fcntl.h>
#include <malloc.h>
#include <poll.h>
#include <unistd.h>

#include <sys/resource.h>

#include <event2/event.h>
#include <glib.h>

#include "clock.h"

#define DEFAULT_MAX_BYTES (UINT64_C(128) * 1024 * 1024)
/* Freed memory is returned to the system once relief has freed this part of
 * the limit: the allocator keeps small blocks, while bodies in progress are
 * mapped beside them. */
#define TRIM_DIVISOR 8

struct EbClientGuard {
    EbClientGuardOptions options;
    EbIntake *intake;
    uint64_t untrimmed_bytes; /* freed by relief since the last trim */
    struct event *relieve_event;
};

static void
on_relieve(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    EbClientGuard *guard = context;
    uint64_t before = EbIntake_Bytes(guard->intake);
    EbIntake_Relieve(guard->intake, EbClock_Monotonic());
    uint64_t after = EbIntake_Bytes(guard->intake);
    guard->untrimmed_bytes += before > after ? before - after : 0;
    if (guard->untrimmed_bytes > guard->options.max_bytes / TRIM_DIVISOR) {
        guard->untrimmed_bytes = 0;
        malloc_trim(0);
    }
}

EbClientGuard *
EbClientGuard_New(const EbClientGuardOptions *options)
{
    EbClientGuard *guard = g_new0(EbClientGuard, 1);
    guard->options = *options;
    if (guard->options.max_bytes == 0) {
        guard->options.max_bytes = DEFAULT_MAX_BYTES;
    }
    guard->intake = EbIntake_New(
        &(EbIntakeOptions){.max_bytes = guard->options.max_bytes});
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

uint32_t
EbClientGuard_CapLimit(const EbClientGuard *guard, const char *name,
                       uint32_t wanted, uint64_t largest)
{
    if (wanted <= largest) {
        return wanted;
    }
    if (guard->options.events != NULL) {
        EB_EMIT(guard->options.events, EB_EVENT_LIMIT_CAPPED,
                EB_STRING_FIELD("limit", name),
                EB_INTEGER_FIELD("wanted", wanted),
                EB_INTEGER_FIELD("in_force", (int64_t)largest));
    }
    return (uint32_t)largest;
}

uint32_t
EbClientGuard_CapConnections(const EbClientGuard *guard, uint32_t wanted,
                             uint32_t permille)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
        limit.rlim_cur == RLIM_INFINITY) {
        return wanted;
    }
    uint64_t largest = MAX((uint64_t)limit.rlim_cur * permille / 1000, 1);
    return EbClientGuard_CapLimit(guard, "max_connections", wanted, largest);
}

/* Returns whether the process may open another descriptor. */
static bool
has_descriptor(void)
{
    int fd = open("/dev/null", O_RDONLY | O_CLOEXEC);
    if (fd >= 0) {
        close(fd);
    }
    return fd >= 0;
}

void
EbClientGuard_HandleAcceptError(EbClientGuard *guard, int listener_fd)
{
    struct pollfd waiting = {.fd = listener_fd, .events = POLLIN};
    if (poll(&waiting, 1, 0) > 0 && !has_descriptor() &&
        !EbIntake_FreeDescriptor(guard->intake)) {
        EbClientGuard_Count(guard, EB_INTAKE_DESCRIPTORS);
    }
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
