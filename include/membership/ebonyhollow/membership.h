/* EbMembership: which daemons exist, which of them live, and how messages
 * reach them.
 *
 * Knowledge comes from the settings' seeds, the platform's lagging list and
 * other daemons. A higher incarnation of an instance replaces a lower one.
 * Up to EB_MEMBERSHIP_MESH_MAX daemons keep a full mesh of links; beyond it,
 * links go to the successors at power-of-two distances on a hash ring. */
#ifndef EBONYHOLLOW_MEMBERSHIP_H
#define EBONYHOLLOW_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/message.h"
#include "ebonyhollow/random.h"

#define EB_MEMBERSHIP_MESH_MAX 16
#define EB_HEARTBEAT_US 500000
#define EB_HEARTBEAT_MISSED_MAX 4
#define EB_MEMBER_DEAD_US 5000000 /* suspected for so long: dead */
#define EB_MEMBER_FORGET_US 600000000LL
#define EB_WATCHERS_PER_FAILURE_DOMAIN 3

typedef struct EbMembership EbMembership;

typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *address;
    const char *failure_domain;
    uint32_t capacity; /* for duties, told to the others */
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    /* Called for each message that is for the application: every kind but
     * HEARTBEAT and MEMBERS, each flooded message once. */
    void (*deliver)(void *context, const char *peer, const EbMessage *message,
                    int64_t now_us);
    /* Called when the set of live daemons or an incarnation changed. */
    void (*changed)(void *context, int64_t now_us);
    /* Called when a peer announces a configuration generation. */
    void (*announced)(void *context, const char *peer, uint64_t generation,
                      int64_t now_us);
    void *context;
} EbMembershipOptions;

EbMembership *EbMembership_New(const EbMembershipOptions *options);
void EbMembership_Free(EbMembership *membership);

/* Adds the address of a peer whose name is not known yet. */
void EbMembership_AddSeed(EbMembership *membership, const char *address,
                          int64_t now_us);

/* Takes the platform's list of daemons. Absence from it is no proof of death;
 * an entry marked leaving is believed at once. */
void EbMembership_SetListed(EbMembership *membership,
                            const EbMessageMember *members, size_t count,
                            int64_t now_us);

/* Link events from EbPeerLink. `peer` is the authenticated instance name. */
void EbMembership_LinkUp(EbMembership *membership, const char *peer,
                         uint64_t incarnation, const char *address,
                         int64_t now_us);
void EbMembership_LinkDown(EbMembership *membership, const char *peer,
                           int64_t now_us);

/* A dial to an address failed. */
void EbMembership_DialFailed(EbMembership *membership, const char *address,
                             int64_t now_us);

/* Takes a message that arrived on a link. */
void EbMembership_Receive(EbMembership *membership, const char *peer,
                          const EbMessage *message, int64_t now_us);

/* Sends to one daemon, opening a link if there is none.
 *
 * Returns false when the daemon is unknown or dead. */
bool EbMembership_Send(EbMembership *membership, const char *instance,
                       const EbMessage *message, int64_t now_us);

/* Floods a message to all daemons; origin and sequence are filled in. */
void EbMembership_Flood(EbMembership *membership, EbMessage *message,
                        int64_t now_us);

/* Sets the generation that heartbeats announce. */
void EbMembership_SetGeneration(EbMembership *membership, uint64_t generation);

/* Tells all that this daemon takes no duties any more: its capacity is 0. */
void EbMembership_WithdrawCapacity(EbMembership *membership, int64_t now_us);

/* Announces this daemon's shutdown to all. */
void EbMembership_Leave(EbMembership *membership, int64_t now_us);

void EbMembership_Tick(EbMembership *membership, int64_t now_us);
int64_t EbMembership_NextTimer(const EbMembership *membership);

/* One daemon as seen here, for routing and the administration API. */
typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *address;
    const char *failure_domain;
    uint32_t capacity;
    EbMemberState state;
    bool linked;
    int64_t idle_us;       /* since the last message on its link */
    int64_t round_trip_us; /* 0 when not measured */
} EbMemberView;

size_t EbMembership_Count(const EbMembership *membership);
void EbMembership_View(const EbMembership *membership, size_t index,
                       int64_t now_us, EbMemberView *view);

/* Finds a daemon by name. Returns false when it is unknown. */
bool EbMembership_Find(const EbMembership *membership, const char *instance,
                       int64_t now_us, EbMemberView *view);

/* Writes the names of live daemons, this one included, sorted. Returns their
 * number; names are valid until the next change. */
size_t EbMembership_LiveInstances(const EbMembership *membership,
                                  const char **names, size_t max);

/* Returns whether this daemon holds watches at the platform: always up to
 * the mesh limit, beyond it for the first EB_WATCHERS_PER_FAILURE_DOMAIN live
 * daemons of each failure domain by hash. */
bool EbMembership_IsWatcher(const EbMembership *membership);

#endif
