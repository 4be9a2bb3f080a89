/* Stand-ins for one case: a store, backend servers and clients in threads of
 * one process, and daemons as processes of their own, all on loopback.
 *
 * The store speaks the object API of PROTOCOL.md (list, watch, get, create,
 * replace, delete). A server calls a handler for each request that it reads.
 */
#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#ifndef RIG_MAX_DAEMONS
#define RIG_MAX_DAEMONS 8
#endif

typedef struct {
    char method[16];
    char target[2048];
    char head[16384]; /* the header section, without the first line */
    char *body;
    size_t body_bytes;
    bool complete;
} RigRequest;

typedef struct {
    int status; /* 0: none came */
    char head[16384];
    char *body;
    size_t body_bytes;
    bool complete; /* as its framing says */
    bool closed;   /* the connection ended */
    bool timed_out;
    bool malformed; /* the bytes are no answer */
} RigAnswer;

typedef struct RigServer RigServer;

/* Returns whether the connection is kept. */
typedef bool (*RigHandler)(RigServer *server, int fd, RigRequest *request);

struct RigServer {
    char id[64];
    char service[64];
    char zone[32];
    int slots;
    int port;
    int listener;
    int64_t born;
    int seq;
    RigHandler handler;
    volatile bool down;
    void *context;
};

/* Opens record.txt in the folder and a temporary folder for logs. */
void Rig_Begin(const char *folder);
/* Ends all processes, removes the temporary folder unless RIG_KEEP is set, and
 * exits: 1 when the rule was broken, 0 when it held, 2 when the case couldn't
 * run. */
void Rig_End(int status);
void Rig_Record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t Rig_Now(void); /* ms since Rig_Begin */
void Rig_Sleep(int ms);
int Rig_FreePort(void);
const char *Rig_Temp(void);

/* Store */
int Rig_StoreStart(void);
void Rig_StorePut(const char *kind, const char *name, const char *spec);
void Rig_StoreDelete(const char *kind, const char *name);
/* Closes the store's connections and listener, or opens them again. */
void Rig_StoreDown(bool down);

/* Servers */
RigServer *Rig_ServerStart(const char *id, const char *service, int slots,
                           RigHandler handler);
/* Writes the server's entry, state "ready" or "draining". */
void Rig_ServerEntry(RigServer *server, const char *state);
/* Ends all connections of a server and refuses new ones, and the reverse. */
void Rig_ServerCrash(RigServer *server);
void Rig_ServerBack(RigServer *server);
const char *Rig_Header(const char *head, const char *name, char *value,
                       size_t bytes);
void Rig_Send(int fd, const void *bytes, size_t count);
void Rig_SendText(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Reads one request; false at the end of the connection. */
bool Rig_ReadRequest(int fd, RigRequest *request);
void Rig_FreeRequest(RigRequest *request);
/* Sends a sealed answer to a request with its id. */
void Rig_Answer(int fd, const RigRequest *request, int status,
                const char *extra, const char *body);

/* Daemons */
void Rig_DaemonStart(int index, const char *zone);
bool Rig_DaemonReady(int index, int timeout_ms);
void Rig_DaemonSignal(int index, int number);
/* Waits for the end; returns the status of waitpid, or -1 when it runs on. */
int Rig_DaemonWait(int index, int timeout_ms);
bool Rig_DaemonAlive(int index);
int Rig_Front(int index);
int Rig_Ready(int index);
pid_t Rig_DaemonPid(int index);

/* Clients */
int Rig_Connect(int port);
void Rig_ReadAnswer(int fd, bool head_request, int timeout_ms,
                    RigAnswer *answer);
void Rig_FreeAnswer(RigAnswer *answer);
/* Whether bytes wait to be read within the time; -1 at the end. */
int Rig_Pending(int fd, int timeout_ms, char *bytes, size_t max);

#endif
