/* A server that answers a call before it has read it, and then resets the
 * connection or takes the rest of the call. */
#ifndef EB_RESETTING_SERVER_H
#define EB_RESETTING_SERVER_H

#include <stdbool.h>
#include <stdint.h>

struct event;
struct event_base;
struct evconnlistener;

typedef struct {
    const char *response;
    int64_t reset_delay_us; /* from the response to the reset */
    bool reads_first;       /* takes a part of the call before it answers */
    bool half_closes;       /* ends its output with the response */
    bool takes_rest;        /* takes the rest of the call, without a reset */
    uint16_t port;          /* set by ResettingServer_Open */
    struct event_base *base;
    struct evconnlistener *listener;
    struct event *event;
    int fd; /* of the connection; -1: none */
} ResettingServer;

/* Listens for one connection. */
void ResettingServer_Open(ResettingServer *server, struct event_base *base);

void ResettingServer_Close(ResettingServer *server);

#endif
