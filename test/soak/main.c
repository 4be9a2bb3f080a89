/* Runs daemons, callers and the emulated platform, and injects faults. */
#include "soak.h"

#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <netinet/in.h>

#define STARTUP_US 1500000 /* until the daemons are ready */
#define MIN_FAULT_GAP_US 100000
#define FAULT_GAP_SPREAD_US 900000
#define MAX_FAULT_US 2500000
/* Limits are checked only some seconds after the last disturbance of a daemon,
 * so some of them last into the time without faults. */
#define MAX_LIMIT_US 16000000
/* Time without faults at the end; requests in its second half must succeed. */
#define RECOVERY_US 16000000
#define MIN_RECOVERED_PERCENT 95
#define FINAL_ANSWERS_US 5000000 /* for answers after the last request */
#define MAX_COPY_AGE_US 8000000
#define PORT_FIRST 15000
#define PORT_LAST 31000
#define PORT_STRIDE 61 /* between processes with consecutive ids */

typedef enum {
    FAULT_KILL,
    FAULT_KILL_ALL,
    FAULT_PAUSE,
    FAULT_TERMINATE,
    FAULT_HUP,
    FAULT_STORE_PATH,
    FAULT_STORE_PATHS, /* of all daemons */
    FAULT_SERVER,
    FAULT_DRAIN,
    FAULT_CONFIG,
    FAULT_RESTORE, /* the store returns from an older copy */
    FAULT_COUNT
} Fault;

static const char *const Fault_names[FAULT_COUNT] = {
    [FAULT_KILL] = "kill",
    [FAULT_KILL_ALL] = "kill-all",
    [FAULT_PAUSE] = "pause",
    [FAULT_TERMINATE] = "terminate",
    [FAULT_HUP] = "hup",
    [FAULT_STORE_PATH] = "store-path",
    [FAULT_STORE_PATHS] = "store-paths",
    [FAULT_SERVER] = "server",
    [FAULT_DRAIN] = "drain",
    [FAULT_CONFIG] = "config",
    [FAULT_RESTORE] = "restore",
};

/* A fault that ends after some time. */
typedef struct {
    Soak *soak;
    Server *server;
    Proxy *proxy;
    struct event *timer;
} TimedFault;

static int64_t start_us;

int64_t
Soak_Now(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000LL + now.tv_nsec / 1000;
}

void
Soak_Violation(Soak *soak, const char *guarantee, const char *request_id,
               const char *detail)
{
    soak->violations++;
    printf("%.3f s VIOLATION: %s: request %s: %.200s\n",
           (double)(Soak_Now() - start_us) / 1e6, guarantee, request_id,
           detail);
}

/* The ports are below the kernel's range for outgoing connections; one of
 * those could otherwise take a daemon's port while the daemon restarts. */
uint16_t
Soak_FindFreePort(void)
{
    static uint32_t tried;
    for (;;) {
        uint32_t offset = ((uint32_t)getpid() * PORT_STRIDE + tried++) %
                          (PORT_LAST - PORT_FIRST);
        struct sockaddr_in address = {
            .sin_family = AF_INET,
            .sin_port = htons((uint16_t)(PORT_FIRST + offset)),
            .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int descriptor = socket(AF_INET, SOCK_STREAM, 0);
        bool bound = bind(descriptor, (struct sockaddr *)&address,
                          sizeof(address)) == 0;
        close(descriptor);
        if (bound) {
            return (uint16_t)(PORT_FIRST + offset);
        }
    }
}

char *
Soak_Body(const char *request_id)
{
    return g_strdup_printf("answer to %s", request_id);
}

static uint64_t
below(Soak *soak, uint64_t bound)
{
    return EbRandom_Below(&soak->random, bound);
}

static void
on_fault_end(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    TimedFault *timed = context;
    if (timed->server != NULL) {
        Server_SetFault(timed->server, SERVER_HEALTHY);
    }
    if (timed->proxy != NULL) {
        Proxy_SetFault(timed->proxy, PATH_HEALTHY);
        timed->soak->store_disturbed_us = Soak_Now();
    }
    event_free(timed->timer);
    g_free(timed);
}

static void
schedule_fault_end(Soak *soak, Server *server, Proxy *proxy, int64_t max_us)
{
    TimedFault *timed = g_new0(TimedFault, 1);
    *timed = (TimedFault){.soak = soak, .server = server, .proxy = proxy};
    timed->timer = evtimer_new(soak->base, on_fault_end, timed);
    int64_t after_us = 100000 + (int64_t)below(soak, (uint64_t)max_us);
    struct timeval delay = {after_us / 1000000, after_us % 1000000};
    event_add(timed->timer, &delay);
}

static void
disturb_path(Soak *soak, Proxy *proxy)
{
    soak->store_disturbed_us = Soak_Now() + MAX_FAULT_US;
    Proxy_SetFault(proxy, (PathFault)(1 + below(soak, PATH_FAULT_COUNT - 1)));
    schedule_fault_end(soak, NULL, proxy, MAX_FAULT_US);
}

static void
disturb_server(Soak *soak, Server *server)
{
    uint64_t count =
        soak->extended ? SERVER_FAULT_COUNT - 1 : SERVER_LIMITED - 1;
    ServerFault fault = (ServerFault)(1 + below(soak, count));
    Server_SetFault(server, fault);
    schedule_fault_end(soak, server, NULL,
                       fault == SERVER_LIMITED ? MAX_LIMIT_US : MAX_FAULT_US);
}

static void
inject(Soak *soak, Fault fault)
{
    Daemon *daemon = &soak->daemons[below(soak, soak->daemon_count)];
    Server *server =
        g_ptr_array_index(soak->servers, below(soak, soak->servers->len));
    switch (fault) {
    case FAULT_KILL:
        Daemon_Kill(daemon);
        break;
    case FAULT_KILL_ALL:
        for (uint32_t i = 0; i < soak->daemon_count; i++) {
            Daemon_Kill(&soak->daemons[i]);
        }
        break;
    case FAULT_PAUSE:
        Daemon_Pause(daemon, (int64_t)below(soak, MAX_FAULT_US));
        break;
    case FAULT_TERMINATE:
        Daemon_Terminate(daemon);
        break;
    case FAULT_HUP:
        Daemon_Reload(daemon);
        break;
    case FAULT_STORE_PATH:
        disturb_path(soak, daemon->store_proxy);
        break;
    case FAULT_STORE_PATHS:
        for (uint32_t i = 0; i < soak->daemon_count; i++) {
            disturb_path(soak, soak->daemons[i].store_proxy);
        }
        break;
    case FAULT_SERVER:
        disturb_server(soak, server);
        break;
    case FAULT_DRAIN:
        Emulator_Drain(soak, server);
        break;
    case FAULT_CONFIG:
        Emulator_PutConfig(soak);
        break;
    case FAULT_RESTORE:
        Emulator_Restore(soak, (int64_t)below(soak, MAX_COPY_AGE_US));
        break;
    case FAULT_COUNT:
        break;
    }
}

/* Runs the event loop until the given time. */
static void
run_until(Soak *soak, int64_t until_us)
{
    while (Soak_Now() < until_us) {
        struct timeval slice = {0, 20000};
        event_base_loopexit(soak->base, &slice);
        event_base_dispatch(soak->base);
    }
}

static void
run_faults(Soak *soak, bool verbose)
{
    while (Soak_Now() < soak->end_us) {
        /* All daemons are killed at once only rarely; otherwise they would
         * spend most of the time restarting. */
        Fault fault =
            (Fault)below(soak, soak->extended ? FAULT_COUNT : FAULT_RESTORE);
        if (fault == FAULT_KILL_ALL && below(soak, 6) != 0) {
            fault = FAULT_CONFIG;
        }
        if (verbose) {
            printf("%.3f s %s\n", (double)(Soak_Now() - start_us) / 1e6,
                   Fault_names[fault]);
        }
        inject(soak, fault);
        run_until(soak, Soak_Now() + MIN_FAULT_GAP_US +
                            (int64_t)below(soak, FAULT_GAP_SPREAD_US));
    }
}

static const char usage[] =
    "Usage: soak --program FILE [--seed N] [--seconds N] [--daemons N]\n"
    "            [--callers N] [--directory DIR] [--extended] [--verbose]\n"
    "\n"
    "Runs daemons between callers and an emulated platform, injects faults\n"
    "for the given number of seconds and checks the guarantees. The daemons\n"
    "write their logs to DIR. With --extended the store also returns from\n"
    "older copies, servers name limits, and configurations have routes and\n"
    "entries of unusual form. The exit status is 0 if no\n"
    "guarantee was violated.\n";

static const struct option long_options[] = {
    {"program", required_argument, NULL, 'p'},
    {"seed", required_argument, NULL, 's'},
    {"seconds", required_argument, NULL, 't'},
    {"daemons", required_argument, NULL, 'd'},
    {"callers", required_argument, NULL, 'c'},
    {"directory", required_argument, NULL, 'o'},
    {"extended", no_argument, NULL, 'e'},
    {"verbose", no_argument, NULL, 'v'},
    {NULL, 0, NULL, 0},
};

static void
report(Soak *soak, uint64_t seed)
{
    if (soak->recovered_sent == 0 ||
        soak->recovered_succeeded * 100 <
            soak->recovered_sent * MIN_RECOVERED_PERCENT) {
        char detail[64];
        snprintf(detail, sizeof(detail), "%u of %u after the faults",
                 (unsigned)soak->recovered_succeeded,
                 (unsigned)soak->recovered_sent);
        Soak_Violation(soak, "requests succeed after the faults", "", detail);
    }
    printf("seed %u: %u sent, %u succeeded, %u refused, %u failed, "
           "%u of %u after the faults, %u violations\n",
           (unsigned)seed, (unsigned)soak->sent, (unsigned)soak->succeeded,
           (unsigned)soak->refused, (unsigned)soak->failed,
           (unsigned)soak->recovered_succeeded, (unsigned)soak->recovered_sent,
           soak->violations);
}

int
main(int argc, char **argv)
{
    Soak soak = {.daemon_count = 3};
    uint64_t seed = 1;
    uint32_t callers = 24;
    int64_t seconds = 10;
    bool verbose = false;
    int option;
    while ((option = getopt_long(argc, argv, "", long_options, NULL)) != -1) {
        switch (option) {
        case 'p':
            soak.program = optarg;
            break;
        case 's':
            seed = strtoull(optarg, NULL, 10);
            break;
        case 't':
            seconds = strtoll(optarg, NULL, 10);
            break;
        case 'd':
            soak.daemon_count = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        case 'c':
            callers = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        case 'o':
            soak.directory = g_strdup(optarg);
            break;
        case 'e':
            soak.extended = true;
            break;
        case 'v':
            verbose = true;
            break;
        default:
            fputs(usage, stderr);
            return 2;
        }
    }
    if (soak.program == NULL || soak.daemon_count == 0 || callers == 0) {
        fputs(usage, stderr);
        return 2;
    }
    if (soak.directory == NULL) {
        soak.directory = g_dir_make_tmp("eb-soak-XXXXXX", NULL);
    }
    g_mkdir_with_parents(soak.directory, 0700);
    setvbuf(stdout, NULL, _IOLBF, 0);
    signal(SIGPIPE, SIG_IGN);
    EbRandom_Init(&soak.random, seed);
    EbRandom_Init(&soak.caller_random, ~seed);
    soak.base = event_base_new();
    soak.runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    soak.refused_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    start_us = Soak_Now();
    soak.end_us = start_us + STARTUP_US + seconds * 1000000;
    soak.recovered_us = INT64_MAX;
    soak.stop_us = soak.end_us + RECOVERY_US;
    Emulator_Start(&soak);
    Daemons_Start(&soak);
    run_until(&soak, start_us + STARTUP_US);
    Callers_Start(&soak, callers);
    run_faults(&soak, verbose);
    /* A drain that has just begun lasts up to the grace time, so requests in
     * the first half of the recovery may still fail. */
    soak.recovered_us = Soak_Now() + RECOVERY_US / 2;
    run_until(&soak, soak.stop_us + FINAL_ANSWERS_US);
    Callers_Stop(&soak);
    Daemons_Stop(&soak);
    Emulator_Stop(&soak);
    report(&soak, seed);
    event_base_free(soak.base);
    g_hash_table_destroy(soak.runs);
    g_hash_table_destroy(soak.refused_ids);
    g_free(soak.directory);
    return soak.violations == 0 ? 0 : 1;
}
