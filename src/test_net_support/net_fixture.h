/* Raw TCP clients and servers for tests of HTTP code, all in one event loop.
 * Listeners are bound to a free port of 127.0.0.1. */
#ifndef EB_NET_FIXTURE_H
#define EB_NET_FIXTURE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bufferevent;
struct event_base;

typedef struct RawServer RawServer;

/* One accepted connection of a raw server. */
typedef struct {
    RawServer *server;
    struct bufferevent *bufev;
    unsigned number;   /* 1 for the first connection */
    unsigned requests; /* requests received on it so far */
} RawPeer;

/* Called with each complete request. The length of its body is taken from
 * Content-Length. */
typedef void (*RawHandler)(RawPeer *peer, const char *request);

struct RawServer {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    RawHandler handler; /* NULL: never responds */
    void *context;
    unsigned accepted; /* connections */
    unsigned requests; /* received on all connections */
    unsigned closed;   /* connections that were closed by the other side */
    struct RawPeerList *peers; /* every connection accepted so far */
};

RawServer *RawServer_New(struct event_base *base, RawHandler handler,
                         void *context);
void RawServer_Free(RawServer *server);

void RawPeer_Send(RawPeer *peer, const char *bytes);

/* Sends a response with status 200 and a JSON body. */
void RawPeer_SendJson(RawPeer *peer, const char *json);

/* Closes the connection. With `reset` the other side gets a connection reset.
 */
void RawPeer_Close(RawPeer *peer, bool reset);

/* A client that collects the bytes it receives. */
typedef struct {
    struct bufferevent *bufev;
    char *text; /* zero-terminated */
    size_t text_bytes;
    bool closed; /* by the other side */
    bool paused;
} RawClient;

RawClient *RawClient_New(struct event_base *base, uint16_t port);
void RawClient_Free(RawClient *client);
void RawClient_Send(RawClient *client, const char *bytes);

/* Stops or resumes reading. */
void RawClient_Pause(RawClient *client, bool paused);

/* Runs the loop until `done` returns true. Returns false after 30 s, which
 * means that the test hangs. */
bool Loop_Until(struct event_base *base, bool (*done)(void *context),
                void *context);

/* Runs the loop for a fixed time, to check that something does not happen. */
void Loop_For(struct event_base *base, int64_t time_us);

/* Lowers the limit on descriptors until the process can't open another one.
 * Returns the limit for Descriptors_Restore. */
uint64_t Descriptors_Exhaust(void);
void Descriptors_Restore(uint64_t limit);

/* Returns a port on which nothing listens. */
uint16_t Port_FindUnused(void);

#endif
