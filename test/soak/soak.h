/* Soak test: daemons run as separate processes between callers and an emulated
 * platform, while faults are injected from outside.
 *
 * The guarantees are checked from what callers and backend servers observe.
 * The whole program runs in one event loop. The seed determines the faults,
 * but not the order of events in different processes. */
#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/random.h"

#define SOAK_EVENTS 8 /* per stream */
#define SOAK_DEADLINE_MS 3000
#define SOAK_HOST "127.0.0.1"
#define SOAK_KEY "caller-key"
#define SOAK_TENANT "c-1"

typedef enum {
    ROUTE_READ,   /* idempotent */
    ROUTE_ORDER,  /* non-idempotent */
    ROUTE_DRAFT,  /* resumable stream with one preparation stage */
    ROUTE_ANSWER, /* stream that can't be resumed, with two stages */
    ROUTE_OPEN,   /* idempotent, without a key; extended only */
    ROUTE_CHAIN,  /* resumable stream with a chain of stages; extended only */
    ROUTE_COUNT
} Route;

#define SOAK_CHAIN_STAGES 10

extern const char *const Route_prefixes[ROUTE_COUNT];

/* Fault of a backend server. */
typedef enum {
    SERVER_HEALTHY,
    SERVER_SHEDS,    /* answers 503 and states that the request did not run */
    SERVER_ERRORS,   /* runs the request and answers 500 */
    SERVER_RESETS,   /* runs it and closes before or during the answer */
    SERVER_SILENT,   /* runs it and does not answer */
    SERVER_WRONG_ID, /* answers with another request's id */
    SERVER_LIMITED,  /* names a limit of requests */
    SERVER_FAULT_COUNT
} ServerFault;

/* Fault of a network path. */
typedef enum {
    PATH_HEALTHY,
    PATH_DELAYED,
    PATH_SILENT,  /* no bytes pass in either direction */
    PATH_ONE_WAY, /* no bytes come back */
    PATH_RESET,   /* connections are closed */
    PATH_FAULT_COUNT
} PathFault;

typedef struct Soak Soak;
typedef struct Server Server;
typedef struct Proxy Proxy;

typedef struct {
    char *name;
    char *node_file;
    uint16_t front_port;
    uint16_t ready_port;
    uint16_t control_port;
    Proxy *store_proxy; /* its path to the store; extended: of all daemons */
    pid_t pid;          /* 0: not running */
    bool paused;
    int64_t disturbed_us; /* last start or signal, except SIGHUP */
    struct event *timer;  /* next start, or end of a pause */
    Soak *soak;
} Daemon;

struct Soak {
    struct event_base *base;
    /* Used only to choose faults, so that each seed gives the same sequence of
     * faults. */
    EbRandom random;
    EbRandom caller_random;
    const char *program;
    char *directory;
    GPtrArray *callers;
    /* End of the last fault of a path to the store, estimated while the fault
     * lasts, or of the last pause of a daemon. */
    int64_t store_disturbed_us;
    int64_t end_us;       /* no more faults are injected */
    int64_t recovered_us; /* MIN_RECOVERED_PERCENT of the requests sent from
                          then on must succeed */
    int64_t stop_us;      /* callers send no more requests */
    uint32_t daemon_count;
    Daemon *daemons;
    GPtrArray *servers;  /* of Server */
    GHashTable *objects; /* kind and name to json_t */
    GPtrArray *watches;  /* of Watch, see emulator.c */
    GQueue writes;       /* of Write, oldest first, see emulator.c */
    uint64_t revision;
    uint64_t era;
    struct event *rewrite_timer; /* after the store was restored */
    bool extended; /* with the faults that earlier seeds don't have */
    uint64_t config_version;
    uint16_t store_port;
    struct evhttp *store;
    GHashTable *runs;        /* request id to number of executions */
    GHashTable *refused_ids; /* ids of requests answered as not run */
    uint64_t sent;
    uint64_t succeeded;
    uint64_t refused;
    uint64_t failed;
    uint64_t recovered_sent; /* from recovered_us on */
    uint64_t recovered_succeeded;
    uint64_t next_request;
    uint64_t next_server;
    unsigned violations;
};

int64_t Soak_Now(void);

/* Reports a violated guarantee. */
void Soak_Violation(Soak *soak, const char *guarantee, const char *request_id,
                    const char *detail);
uint16_t Soak_FindFreePort(void);

/* emulator.c: the store and the backend servers. */
void Emulator_Start(Soak *soak);
void Emulator_Stop(Soak *soak);
void Emulator_PutConfig(Soak *soak);

/* Makes the store return from a copy of `age_us` ago. The operator and the
 * servers write what it lacks again a little later. */
void Emulator_Restore(Soak *soak, int64_t age_us);
Server *Emulator_AddServer(Soak *soak, const char *service);

/* Marks a server as draining, adds a server that replaces it, and later
 * removes the drained server from the store. */
void Emulator_Drain(Soak *soak, Server *server);
void Server_SetFault(Server *server, ServerFault fault);

/* proxy.c: a network path on which faults can be set. */
Proxy *Proxy_New(struct event_base *base, uint16_t target_port);
void Proxy_Free(Proxy *proxy);
uint16_t Proxy_Port(const Proxy *proxy);
void Proxy_SetFault(Proxy *proxy, PathFault fault);

/* daemons.c: processes. A daemon that was killed or has drained is started
 * again. */
void Daemons_Start(Soak *soak);
void Daemons_Stop(Soak *soak);
void Daemon_Kill(Daemon *daemon);
void Daemon_Pause(Daemon *daemon, int64_t duration_us);
void Daemon_Terminate(Daemon *daemon);
void Daemon_Reload(Daemon *daemon);

/* callers.c: requests and the checks of their answers. */
void Callers_Start(Soak *soak, uint32_t count);
void Callers_Stop(Soak *soak);

/* Body with which a server answers a request. Free it with g_free(). */
char *Soak_Body(const char *request_id);

#endif
