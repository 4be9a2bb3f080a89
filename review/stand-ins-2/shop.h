/* A small deployment with ordinary clients: one daemon, servers of the service
 * `orders`, and clients that send one request after the other on connections
 * that they keep. Counts what the rule LOST counts at any time: requests from
 * a kept connection that were passed on to a sound server, whose connection
 * then ended without an answer. */
#ifndef SHOP_H
#define SHOP_H

#include "rig.h"

#define SHOP_SERVERS 4
#define SHOP_CLIENTS 16
#define SHOP_WORK_MS 400
/* The clause is broken by more than three. */
#define SHOP_ALLOWED 3

typedef struct {
    const char *route_kind; /* of the route that the clients use */
    /* Sends the answer of a server instead of the usual one; may be NULL.
     * Returns false to send the usual one. */
    bool (*answer)(RigServer *server, int number, int fd, RigRequest *request,
                   bool *keep);
    int faulty_servers; /* the first ones; requests to them don't count */
    int run_ms;
    /* Called once, `trouble_ms` after the start; may be NULL. */
    void (*trouble)(void);
    int trouble_ms;
} ShopOptions;

/* Runs the deployment and ends the case. */
void Shop_Run(const char *folder, const ShopOptions *options);
/* Returns the number of a new request. */
int Shop_NextNumber(void);
/* Whether the case runs with its disruption. */
bool Shop_HasTrouble(void);

#endif
