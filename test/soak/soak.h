/* The fault soak: daemons as separate processes between callers and an
 * emulated platform, under faults from outside of them.
 *
 * The promises are checked from what callers and backend servers see. All runs
 * in one event loop; a run is drawn from its seed, but the order of events
 * between processes is the machine's. */
#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/random.h"

#define SOAK_EVENTS 8 /* of each stream */
#define SOAK_DEADLINE_MS 3000
#define SOAK_HOST "127.0.0.1"
#define SOAK_KEY "caller-key"

typedef enum {
    ROUTE_READ,   /* idempotent */
    ROUTE_ORDER,  /* non-idempotent */
    ROUTE_DRAFT,  /* stream that may be resumed, with a stage */
    ROUTE_ANSWER, /* stream that may not, with two stages */
    ROUTE_COUNT
} Route;

extern const char *const Route_prefixes[ROUTE_COUNT];

/* What is wrong with a backend server. */
typedef enum {
    SERVER_HEALTHY,
    SERVER_SHEDS,    /* 503, states that it did not run the request */
    SERVER_ERRORS,   /* runs it, 500 */
    SERVER_RESETS,   /* runs it, closes without or amid the answer */
    SERVER_SILENT,   /* runs it, never answers */
    SERVER_WRONG_ID, /* answers with another request's id */
    SERVER_FAULT_COUNT
} ServerFault;

/* What is wrong with a path. */
typedef enum {
    PATH_HEALTHY,
    PATH_DELAYED,
    PATH_SILENT,  /* nothing passes, both ways */
    PATH_ONE_WAY, /* nothing comes back */
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
    Proxy *store; /* its path to the store */
    pid_t pid;    /* 0: not running */
    bool paused;
    int64_t disturbed_us; /* end of its last disturbance */
    struct event *timer;  /* its next start, or end of a pause */
    Soak *soak;
} Daemon;

struct Soak {
    struct event_base *base;
    EbRandom random; /* of the faults, so that a seed gives one plan */
    EbRandom caller_random;
    const char *program;
    char *directory;
    GPtrArray *callers;
    int64_t store_disturbed_us; /* when a path to the store or a daemon was
                                harmed last */
    int64_t end_us;             /* faults end */
    int64_t recovered_us;       /* requests sent from then on must succeed */
    int64_t stop_us;            /* callers end */
    uint32_t daemon_count;
    Daemon *daemons;
    GPtrArray *servers;  /* of Server */
    GHashTable *objects; /* kind and name to json_t */
    GPtrArray *watches;  /* of waiting evhttp requests */
    uint64_t revision;
    uint64_t config_version;
    uint16_t store_port;
    struct evhttp *store;
    GHashTable *runs;        /* request id to the number of its runs */
    GHashTable *refused_ids; /* request ids that were told "not run" */
    uint64_t sent;
    uint64_t succeeded;
    uint64_t refused;
    uint64_t failed;
    uint64_t recovered_sent; /* after the faults */
    uint64_t recovered_succeeded;
    uint64_t next_request;
    uint64_t next_server;
    unsigned violations;
};

int64_t Soak_Now(void);

/* Reports a broken promise. */
void Soak_Violation(Soak *soak, const char *promise, const char *request_id,
                    const char *detail);
uint16_t Soak_FindFreePort(void);

/* emulator.c: the store and the backend servers. */
void Emulator_Start(Soak *soak);
void Emulator_Stop(Soak *soak);
void Emulator_PutConfig(Soak *soak);
Server *Emulator_AddServer(Soak *soak, const char *service);
void Emulator_Drain(Soak *soak, Server *server);
void Server_SetFault(Server *server, ServerFault fault);

/* proxy.c: a path that can be harmed. */
Proxy *Proxy_New(struct event_base *base, uint16_t target_port);
void Proxy_Free(Proxy *proxy);
uint16_t Proxy_Port(const Proxy *proxy);
void Proxy_SetFault(Proxy *proxy, PathFault fault);

/* daemons.c: processes. */
void Daemons_Start(Soak *soak);
void Daemons_Stop(Soak *soak);
void Daemon_Kill(Daemon *daemon);
void Daemon_Pause(Daemon *daemon, int64_t for_us);
void Daemon_Terminate(Daemon *daemon);
void Daemon_Reload(Daemon *daemon);

/* callers.c: requests and what callers check. */
void Callers_Start(Soak *soak, uint32_t count);
void Callers_Stop(Soak *soak);

/* Bodies by which callers and servers know a request. */
char *Soak_Body(const char *request_id);

#endif
