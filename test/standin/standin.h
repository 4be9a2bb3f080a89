/* Stand-ins for the platform and the backend servers of one configuration.
 *
 * One process serves the platform's object API and all backend servers of a
 * configuration document, each on its own address. Through a control listener
 * a test sets faults and reads which calls were really executed. */
#ifndef STANDIN_H
#define STANDIN_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "ebonyhollow/config.h"
#include "socket.h"

typedef enum {
    FAULT_NONE,
    FAULT_REFUSE,     /* the listener is closed */
    FAULT_CRASH,      /* on a call: drops all calls, restarts after 2 s */
    FAULT_SILENT,     /* never answers; a stream stops halfway */
    FAULT_SLOW,       /* takes `amount` times as long */
    FAULT_LATE,       /* answers `amount` milliseconds late */
    FAULT_WRONG_ECHO, /* answers with another request's id */
    FAULT_MALFORMED,  /* answers with a body that breaks the protocol */
    FAULT_STATUS,  /* answers with status `amount` without running the call */
    FAULT_CUT,     /* runs the call, closes before the end of the answer */
    FAULT_LEAVING, /* announces that the server leaves */
    FAULT_DOWN,    /* platform: answers 503, without effect */
    FAULT_LOSE_ANSWER, /* platform: takes effect and closes the connection */
    FAULT_STALE,       /* platform: reads return the previous version */
    FAULT_GAP,         /* platform: watches answer 410 */
    FAULT_COUNT
} FaultKind;

extern const char *const Fault_names[FAULT_COUNT];

#define DEFAULT_TOKENS 12

typedef struct {
    FaultKind kind;
    int64_t amount;
    int64_t remaining; /* calls that it still affects; negative: unlimited */
} Fault;

/* Returns the fault for the next call and counts the call. */
FaultKind Fault_Next(Fault *fault, int64_t *amount);

typedef struct Standin Standin;
typedef struct Server Server;
typedef struct Platform Platform;

/* One call that a backend server received. */
typedef struct {
    char *server;
    char *request_id;
    char *key; /* idempotency key, or NULL */
    int64_t stage;
    int64_t attempt;
    bool ran; /* execution began */
    int64_t at_us;
} Record;

struct Standin {
    struct event_base *base;
    EbConfig *config;
    GPtrArray *servers;   /* of Server */
    GPtrArray *records;   /* of Record */
    GHashTable *services; /* pool name to Service */
    Platform *platform;
    double time_scale; /* factor on all service times */
    uint32_t tokens;   /* per stream, unless the request sets a lower limit */
};

/* Data that the servers of one pool share, like the database of a service. */
typedef struct {
    GHashTable *results; /* key to json_t */
    GHashTable *fences;  /* key to highest fencing token seen */
} Service;

/* reply.c */
void Reply_Json(struct evhttp_request *request, int status, json_t *body);
json_t *Reply_ReadBody(struct evhttp_request *request);
const char *Reply_Header(struct evhttp_request *request, const char *name);
/* Listens on an address, with TCP_NODELAY. Ends the program if that fails. */
void Standin_Listen(struct evhttp *http, const char *host, uint16_t port);
const char *Reply_Query(const struct evkeyvalq *query, const char *name);

/* platform.c */
Platform *Platform_New(Standin *standin, const char *host, uint16_t port);
void Platform_SetFault(Platform *platform, Fault fault);
json_t *Platform_Describe(const Platform *platform);
/* Writes an entry of the list of instances, as the platform does. */
void Platform_ListInstance(Platform *platform, const char *name,
                           json_t *value);
void Platform_Free(Platform *platform);

/* backend.c */
typedef struct Job Job;

/* A call that waits or is being processed. */
struct Job {
    Server *server;
    struct evhttp_request *request; /* NULL once the caller has disconnected */
    json_t *body;
    Record *record; /* borrowed */
    char *marker;   /* name in the input; see Engine_FindMarker() */
    struct event *timer;
    FaultKind fault;
    int64_t fault_amount;
    bool started;
    /* Only of generate calls. */
    uint64_t token_index;
    uint64_t token_end;
};

struct Server {
    Standin *standin;
    const EbConfigBackendServer *description;
    const EbConfigPool *pool;
    struct evhttp *http;
    GQueue running; /* of Job */
    GQueue waiting; /* of Job */
    Service *service;
    Fault fault;
    bool leaving;
    uint64_t runs;
    uint64_t crashes;
    /* Load report; outdated by up to REPORT_LAG_US. */
    uint32_t reported_running;
    uint32_t reported_waiting;
    int64_t reported_us;
    struct event *restart;
};

Server *Server_New(Standin *standin, uint32_t index);
void Server_SetFault(Server *server, Fault fault);
void Server_Crash(Server *server);
void Server_Free(Server *server);
/* Frees a Service; for Standin.services. */
void Service_Free(void *pointer);
json_t *Server_Describe(const Server *server);

/* Ends a job and starts the next. A response is sent if there is a body;
 * without one, a connection that is still open is closed. */
void Server_Finish(Job *job, int status, json_t *body);
/* Adds the echoed identifiers, the load report and, if the server is leaving,
 * the notice of it to the response. */
void Server_AddHeaders(Job *job);

/* engine.c */
void Engine_Start(Job *job);
/* Finds the last "[id:NAME]" in a text. Returns a copy of NAME, or of "none";
 * free it with g_free(). */
char *Engine_FindMarker(const char *text);

/* control.c */
struct evhttp *Control_New(Standin *standin, const char *host, uint16_t port);

#endif
