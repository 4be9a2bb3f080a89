/* The daemons: node files, starts and signals. Only processes that this
 * program started are signalled, by their ids. */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "soak.h"

/* From a signal to the restart, and between checks whether a drain has ended.
 */
#define RESTART_US 300000
/* Exit statuses after a drain, see ebonyhollowd(8). */
#define EXIT_DONE 0
#define EXIT_INCOMPLETE 3
#define MAX_EXIT_US 9000000 /* of all daemons; includes the grace time */

static const char node_format[] =
    "node: \"%s\"\nzone: \"z%u\"\nregion: \"r\"\nlisten:\n"
    "  front: \"" SOAK_HOST ":%u\"\n  ready: \"" SOAK_HOST ":%u\"\n"
    "  control: \"" SOAK_HOST ":%u\"\nseeds:\n  - \"" SOAK_HOST ":%u\"\n"
    "limits:\n  cpu_share: 1.0\n  max_fds: 1024\n  link_mbps: 1000\n"
    "bounds:\n  grace_s: 6\nplatform:\n  address: \"" SOAK_HOST ":%u\"\n";

static void
schedule(Daemon *daemon, int64_t after_us)
{
    struct timeval delay = {after_us / 1000000, after_us % 1000000};
    event_add(daemon->timer, &delay);
}

/* Blocks or unblocks the signals that a daemon handles. A child inherits the
 * mask and keeps it over exec: forked while they are blocked, the daemon has
 * to drain or go on even if they come before its main has begun. */
static void
mask_signals(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGHUP);
    sigprocmask(how, &set, NULL);
}

static void
start_daemon(Daemon *daemon)
{
    Soak *soak = daemon->soak;
    char *log = g_strdup_printf("%s/%s.log", soak->directory, daemon->name);
    mask_signals(SIG_BLOCK);
    daemon->pid = fork();
    g_assert(daemon->pid >= 0);
    if (daemon->pid == 0) {
        int output =
            open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        /* If a daemon inherited connections of this process, they would stay
         * open for their peers after this process has closed them. */
        close_range(STDERR_FILENO + 1, UINT32_MAX, CLOSE_RANGE_CLOEXEC);
        setenv("EBONYHOLLOW_NODE_FILE", daemon->node_file, 1);
        execl(soak->program, soak->program, "--platform", (char *)NULL);
        _exit(127);
    }
    mask_signals(SIG_UNBLOCK);
    g_free(log);
    daemon->disturbed_us = Soak_Now();
}

/* Collects the exit status of the process if it has ended. Returns whether it
 * is not running. */
static bool
has_ended(Daemon *daemon)
{
    int status;
    if (daemon->pid != 0 &&
        waitpid(daemon->pid, &status, WNOHANG) == daemon->pid) {
        daemon->pid = 0;
        bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
        bool drained =
            WIFEXITED(status) && (WEXITSTATUS(status) == EXIT_DONE ||
                                  WEXITSTATUS(status) == EXIT_INCOMPLETE);
        if (!killed && !drained) {
            char detail[64];
            snprintf(detail, sizeof(detail), "%s ended with wait status %d",
                     daemon->name, status);
            Soak_Violation(daemon->soak,
                           "a daemon ends only by a drain or a kill", "",
                           detail);
        }
    }
    return daemon->pid == 0;
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Daemon *daemon = context;
    if (daemon->paused) {
        daemon->paused = false;
        kill(daemon->pid, SIGCONT);
        daemon->disturbed_us = Soak_Now();
        daemon->soak->store_disturbed_us = Soak_Now();
        return;
    }
    if (has_ended(daemon)) {
        start_daemon(daemon);
    }
    else {
        schedule(daemon, RESTART_US); /* it is still draining */
    }
}

/* Returns whether a daemon has a path of its own to the store. Daemons accept
 * each other only if they know the store by the same address, so those with
 * paths of their own have no links. */
static bool
has_own_path(const Soak *soak, uint32_t index)
{
    return index == 0 || !soak->extended;
}

void
Daemons_Start(Soak *soak)
{
    soak->daemons = g_new0(Daemon, soak->daemon_count);
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        Daemon *daemon = &soak->daemons[i];
        daemon->soak = soak;
        daemon->name = g_strdup_printf("d%u", i);
        daemon->front_port = Soak_FindFreePort();
        daemon->ready_port = Soak_FindFreePort();
        daemon->control_port = Soak_FindFreePort();
        daemon->store_proxy = has_own_path(soak, i)
                                  ? Proxy_New(soak->base, soak->store_port)
                                  : soak->daemons[0].store_proxy;
        daemon->timer = evtimer_new(soak->base, on_timer, daemon);
        daemon->node_file =
            g_strdup_printf("%s/%s.yaml", soak->directory, daemon->name);
        char *text = g_strdup_printf(
            node_format, daemon->name, i % 3, (unsigned)daemon->front_port,
            (unsigned)daemon->ready_port, (unsigned)daemon->control_port,
            (unsigned)soak->daemons[0].control_port,
            (unsigned)Proxy_Port(daemon->store_proxy));
        g_assert(g_file_set_contents(daemon->node_file, text, -1, NULL));
        g_free(text);
        start_daemon(daemon);
    }
}

void
Daemon_Kill(Daemon *daemon)
{
    if (daemon->pid == 0 || daemon->paused) {
        return;
    }
    daemon->disturbed_us = Soak_Now();
    kill(daemon->pid, SIGKILL);
    schedule(daemon, RESTART_US);
}

void
Daemon_Pause(Daemon *daemon, int64_t duration_us)
{
    if (daemon->pid == 0 || daemon->paused ||
        evtimer_pending(daemon->timer, NULL)) {
        return;
    }
    daemon->paused = true;
    daemon->disturbed_us = Soak_Now();
    kill(daemon->pid, SIGSTOP);
    schedule(daemon, duration_us);
}

void
Daemon_Terminate(Daemon *daemon)
{
    if (daemon->pid == 0 || daemon->paused ||
        evtimer_pending(daemon->timer, NULL)) {
        return;
    }
    daemon->disturbed_us = Soak_Now();
    kill(daemon->pid, SIGTERM);
    schedule(daemon, RESTART_US);
}

void
Daemon_Reload(Daemon *daemon)
{
    if (daemon->pid != 0 && !daemon->paused) {
        kill(daemon->pid, SIGHUP);
    }
}

void
Daemons_Stop(Soak *soak)
{
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        Daemon *daemon = &soak->daemons[i];
        event_del(daemon->timer);
        if (!has_ended(daemon)) {
            kill(daemon->pid, SIGCONT);
            kill(daemon->pid, SIGTERM);
        }
    }
    int64_t limit_us = Soak_Now() + MAX_EXIT_US;
    for (uint32_t i = 0; i < soak->daemon_count; i++) {
        Daemon *daemon = &soak->daemons[i];
        while (!has_ended(daemon) && Soak_Now() < limit_us) {
            event_base_loop(soak->base, EVLOOP_NONBLOCK);
            g_usleep(10000);
        }
        if (daemon->pid != 0) {
            Soak_Violation(soak, "a drain ends in time", "", daemon->name);
            kill(daemon->pid, SIGKILL);
            waitpid(daemon->pid, NULL, 0);
        }
        if (has_own_path(soak, i)) {
            Proxy_Free(daemon->store_proxy);
        }
        event_free(daemon->timer);
        g_free(daemon->name);
        g_free(daemon->node_file);
    }
    g_free(soak->daemons);
}
