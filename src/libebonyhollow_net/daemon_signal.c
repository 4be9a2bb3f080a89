/* The signals that a daemon handles. */
#include <signal.h>

#include "daemon_internal.h"

static const int handled_signals[EB_DAEMON_SIGNALS] = {SIGTERM, SIGINT,
                                                       SIGHUP};

static void
change_mask(int how)
{
    sigset_t set;
    sigemptyset(&set);
    for (size_t i = 0; i < G_N_ELEMENTS(handled_signals); i++) {
        sigaddset(&set, handled_signals[i]);
    }
    pthread_sigmask(how, &set, NULL);
}

void
EbDaemon_BlockSignals(void)
{
    change_mask(SIG_BLOCK);
}

/* SIGTERM and SIGINT start the shutdown; once it has started, they end the
 * requests that are still running. SIGHUP only logs an event. */
static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    EbDaemon *daemon = arg;
    if (fd == SIGHUP) {
        EB_EMIT(daemon->events, EB_EVENT_RELOAD_REQUESTED,
                EB_STRING_FIELD("instance", daemon->settings->instance));
        return;
    }
    if (daemon->drain_state == EB_DRAIN_NONE) {
        EbDaemon_StartDrain(daemon);
    }
    else {
        EbDaemon_AbortRequests(daemon, EbClock_Monotonic());
    }
}

void
EbDaemon_AddSignals(EbDaemon *daemon)
{
    for (size_t i = 0; i < G_N_ELEMENTS(handled_signals); i++) {
        daemon->signals[i] =
            evsignal_new(daemon->base, handled_signals[i], on_signal, daemon);
        event_add(daemon->signals[i], NULL);
    }
    change_mask(SIG_UNBLOCK);
}

void
EbDaemon_FreeSignals(EbDaemon *daemon)
{
    for (size_t i = 0; i < G_N_ELEMENTS(daemon->signals); i++) {
        if (daemon->signals[i] != NULL) {
            event_free(daemon->signals[i]);
        }
    }
}
