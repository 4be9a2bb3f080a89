/* EbMembership: which daemons exist, which of them are live, and how messages
 * reach them.
 *
 * Daemons are known from the seeds in the settings, from the platform's list,
 * which lags, and from other daemons. A higher incarnation of an instance
 * replaces a lower one. Up to EB_MEMBERSHIP_MESH_MAX daemons keep a full mesh
 * of links. Larger sets link each daemon to its successors at power-of-two
 * distances on a hash ring.
 *
 * All times are in microseconds on the monotonic clock of the process. */
#ifndef EBONYHOLLOW_MEMBERSHIP_H
#define EBONYHOLLOW_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/message.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/random.h"

#define EB_MEMBERSHIP_MESH_MAX 16
#define EB_HEARTBEAT_US 500000          /* between heartbeats on a link */
#define EB_HEARTBEAT_MISSED_MAX 4       /* missed in a row: link closed */
#define EB_MEMBER_DEAD_US 5000000       /* time from suspicion to death */
#define EB_MEMBER_FORGET_US 600000000LL /* time from death to removal */
#define EB_WATCHERS_PER_FAILURE_DOMAIN 3

typedef struct EbMembership EbMembership;

typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *address; /* "host:port" of this daemon's peer listener */
    const char *failure_domain;
    /* Weight as a home of work items; sent to the other daemons. */
    uint32_t capacity;
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    EbMetrics *metrics; /* counts messages that can't be sent; NULL: none */
    /* Called for each message except HEARTBEAT and MEMBERS, and once for each
     * flooded message. */
    void (*deliver)(void *context, const char *peer, const EbMessage *message,
                    int64_t now_us);
    /* Called after the set of live daemons or an incarnation changed. */
    void (*changed)(void *context, int64_t now_us);
    /* Called when a peer announces a newer configuration generation. */
    void (*announced)(void *context, const char *peer, uint64_t generation,
                      int64_t now_us);
    /* Called when this daemon has raised its own incarnation, since the others
     * knew a higher one: that of an earlier process of this instance, whose
     * clock was ahead. May be NULL. */
    void (*incarnation_raised)(void *context, uint64_t incarnation);
    void *context;
} EbMembershipOptions;

/* Creates the membership of a daemon that knows only itself. Strings in
 * `options` are copied; `actions` and `random` are borrowed and must outlive
 * the membership. `events` may be NULL. Free it with EbMembership_Free. */
EbMembership *EbMembership_New(const EbMembershipOptions *options);

/* Frees a membership without a message to its peers. Accepts NULL. */
void EbMembership_Free(EbMembership *membership);

/* Adds the address of a peer whose name is not known yet. */
void EbMembership_AddSeed(EbMembership *membership, const char *address,
                          int64_t now_us);

/* Updates the membership from the platform's list of daemons. A daemon that
 * is missing from the list is not considered dead. One that is marked as
 * leaving counts as leaving at once. */
void EbMembership_SetListed(EbMembership *membership,
                            const EbMessageMember *members, size_t count,
                            int64_t now_us);

/* Report that a link of EbPeerLinks was established or lost.
 *
 * peer: the authenticated instance name. */
void EbMembership_LinkUp(EbMembership *membership, const char *peer,
                         uint64_t incarnation, const char *address,
                         int64_t now_us);
void EbMembership_LinkDown(EbMembership *membership, const char *peer,
                           int64_t now_us);

/* Reports that dialling an address failed.
 *
 * refused: whether the connection was refused, so that no process listens
 *     there. Daemons without a link that were known at this address before the
 *     dial have ended then: they count as leaving, which they can refute. */
void EbMembership_DialFailed(EbMembership *membership, const char *address,
                             bool refused, int64_t now_us);

/* Handles a message that arrived on a link. Ignores it when the peer has no
 * link. */
void EbMembership_Receive(EbMembership *membership, const char *peer,
                          const EbMessage *message, int64_t now_us);

/* Sends a message to one daemon. Without a link the message is queued while
 * one is opened, for 5 s at most.
 *
 * Returns false when the daemon is unknown, dead or this one, or when the
 * message can't be encoded or queued. */
bool EbMembership_Send(EbMembership *membership, const char *instance,
                       const EbMessage *message, int64_t now_us);

/* Floods a message to all daemons. Fills in the origin's incarnation and the
 * sequence; the origin is set only while sending. */
void EbMembership_Flood(EbMembership *membership, EbMessage *message,
                        int64_t now_us);

/* Sends a message of a flooded kind to up to `max_links` linked neighbours
 * that are chosen at random. For SERVER_SPEEDS, which the receivers don't pass
 * on unchanged: they tell what was news to them in messages of their own, so
 * that the traffic of a daemon doesn't grow with the links and the daemons.
 * Fills in what EbMembership_Flood does.
 *
 * Returns the number of daemons it was sent to. */
uint32_t EbMembership_SendToNeighbours(EbMembership *membership,
                                       EbMessage *message, uint32_t max_links);

/* Sets the configuration generation that heartbeats announce. Ignores one that
 * is not higher than the last. */
void EbMembership_SetGeneration(EbMembership *membership, uint64_t generation);

/* Sets this daemon's capacity and announces it. With capacity 0 the daemon is
 * no longer chosen as a home of work items. */
void EbMembership_SetCapacity(EbMembership *membership, uint32_t capacity,
                              int64_t now_us);

/* Announces to all daemons that this one is leaving. */
void EbMembership_Leave(EbMembership *membership, int64_t now_us);

/* Sends heartbeats and changed records, and checks links and states, when they
 * are due. */
void EbMembership_Tick(EbMembership *membership, int64_t now_us);

/* Returns the earliest time at which EbMembership_Tick has work to do; 0 means
 * at once. */
int64_t EbMembership_NextTimer(const EbMembership *membership);

/* One daemon as this one sees it, for routing and the administration API.
 * Strings are borrowed until the next change. */
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

/* Returns the number of known daemons, including this one and dead ones. */
size_t EbMembership_Count(const EbMembership *membership);

/* Describes the daemon at an index below EbMembership_Count, sorted by name.
 */
void EbMembership_View(const EbMembership *membership, size_t index,
                       int64_t now_us, EbMemberView *view);

/* Finds a daemon by name. Returns false when it is unknown. */
bool EbMembership_Find(const EbMembership *membership, const char *instance,
                       int64_t now_us, EbMemberView *view);

/* Writes the sorted names of up to `max` live daemons, this one included.
 * Names are borrowed until the next change.
 *
 * Returns the number of live daemons, which may exceed `max`. */
size_t EbMembership_LiveInstances(const EbMembership *membership,
                                  const char **names, size_t max);

/* Writes up to `max` names of daemons that count as dead, did not leave in an
 * orderly way and are not forgotten yet. They may only be cut off. Those whose
 * process is known to have ended, see EbMembership_DialFailed, don't count.
 *
 * names: borrowed until the next change; may be NULL if `max` is 0
 *
 * Returns the number of these daemons, which may exceed `max`. */
size_t EbMembership_LostInstances(const EbMembership *membership,
                                  const char **names, size_t max);

/* Writes the names of up to `max` other live daemons that keep watches open at
 * the platform, those of this daemon's failure domain first. Within and
 * outside of the domain each daemon has an order of its own, so that asking
 * the first one divides the load. Names are borrowed until the next change.
 *
 * Returns the number of names written. */
size_t EbMembership_ListWatchers(const EbMembership *membership,
                                 const char **names, size_t max);

/* Returns whether this daemon keeps watches open at the platform. Up to
 * EB_MEMBERSHIP_MESH_MAX daemons all do; beyond that only the first
 * EB_WATCHERS_PER_FAILURE_DOMAIN live daemons of each failure domain, in hash
 * order. */
bool EbMembership_IsWatcher(const EbMembership *membership);

#endif
