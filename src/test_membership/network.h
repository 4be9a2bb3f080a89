/* An in-memory network of EbMembership objects on a virtual clock. */
#ifndef EB_TEST_NETWORK_H
#define EB_TEST_NETWORK_H

#include "ebonyhollow/membership.h"

#define NETWORK_MAX 330
#define HOP_US 10000
#define DOMAINS 8
#define NETWORK_CAPACITY 100 /* of each daemon */
/* Per message: frame (length and keyed hash) and TCP/IP headers with
 * timestamps. */
#define OVERHEAD_BYTES (4 + 16 + 52)

typedef struct {
    EbMembership *membership;
    EbActionQueue *actions;
    EbRandom random;
    uint64_t incarnation;
    uint32_t starts;
    bool running;
    int side;     /* daemons on different sides can't reach each other */
    bool refuses; /* dials, while it is not running: its machine answers */
    int64_t timer_us;
    uint32_t changed;
    uint64_t announced;
    uint32_t direct;   /* messages sent to this daemon alone, received */
    uint64_t messages; /* sent and received */
    uint64_t bytes;
    uint8_t floods[64];   /* deliveries, by number of the flood */
    uint32_t quarantines; /* QUARANTINE messages received */
} Node;

typedef struct {
    uint32_t count;
    int64_t now_us;
    Node nodes[NETWORK_MAX];
    /* Called for each SERVER_SPEEDS message that a daemon receives, or NULL.
     */
    void (*on_speeds)(uint32_t index, const EbMessage *message,
                      int64_t now_us);
} Network;

extern Network network;

/* Starts `count` daemons, with the first three as seeds. */
void Network_Start(uint32_t count, uint64_t seed);
void Network_Stop(void);

/* Starts a daemon with its next incarnation. */
void Network_StartNode(uint32_t index);

/* Starts a daemon with an incarnation that may be below the last one. */
void Network_StartIncarnation(uint32_t index, uint64_t incarnation);

/* Stops a daemon without notice to its peers. */
void Network_KillNode(uint32_t index);

/* Breaks a link without notice to its ends. It stays broken until one of them
 * dials again. */
void Network_CutLink(uint32_t left, uint32_t right);

/* Runs until `done` returns true, checked every 10 ms, or until `limit_us`
 * have passed.
 *
 * Returns the time taken in microseconds, or -1. */
int64_t Network_RunUntil(bool (*done)(void), int64_t limit_us);
void Network_Run(int64_t time_us);

/* Performs a daemon's queued actions. Tests call it after they call the
 * daemon's membership. */
void Network_Drain(uint32_t index);

/* Returns whether every running daemon sees exactly the running daemons on its
 * side as live. */
bool Network_IsConverged(void);

/* Floods a SERVER_LEAVING message for server `number` from a daemon. */
void Network_Flood(uint32_t origin, uint32_t number);

#endif
