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

/* Reads the settings again. Invalid ones change nothing. */
static void
reload_settings(EbDaemon *daemon)
{
    const EbDaemonReload *reload = &daemon->reload;
    EB_EMIT(daemon->events, EB_EVENT_RELOAD_REQUESTED,
            EB_STRING_FIELD("instance", daemon->settings->instance));
    if (reload->load == NULL) {
        return;
    }
    EbError error = {0};
    EbSettings *newer = reload->load(reload->context, &error);
    if (newer == NULL) {
        char cause[EB_ERROR_MESSAGE_MAX_BYTES + EB_ERROR_PATH_MAX_BYTES];
        EbError_Format(&error, cause, sizeof(cause));
        EB_EMIT(daemon->events, EB_EVENT_SETTINGS_REFUSED,
                EB_STRING_FIELD("cause", cause));
        return;
    }
    EbSettingsChange change;
    EbSettings_TakeOver(reload->settings, newer, &change);
    EbSettings_Free(newer);
    EbLog_SetLevel(daemon->log, reload->settings->log_level);
    EB_EMIT(daemon->events, EB_EVENT_SETTINGS_RELOADED,
            EB_STRING_FIELD("applied", change.applied),
            EB_STRING_FIELD("restart", change.restart));
    EbSettingsChange_Clear(&change);
}

/* SIGTERM and SIGINT start the shutdown; once it has started, they end the
 * requests that are still running. */
static void
on_signal(evutil_socket_t fd, short what, void *arg)
{
    (void)what;
    EbDaemon *daemon = arg;
    if (fd == SIGHUP) {
        reload_settings(daemon);
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
