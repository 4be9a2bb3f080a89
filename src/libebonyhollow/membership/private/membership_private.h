/* Structures of EbMembership, shared by its source files.
 *
 * membership.c           public functions and messages
 * membership_record.c    member records and how they are merged and told
 * membership_topology.c  neighbours, live daemons, watch holders
 * membership_dial.c      addresses and when they are dialled
 * membership_flood.c     flooding with duplicate suppression
 * membership_timer.c     heartbeats, suspicion, death */
#ifndef EB_MEMBERSHIP_PRIVATE_H
#define EB_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "ebonyhollow/membership.h"

#define EB_MEMBERS_MAX 2048
#define EB_ORIGINS_MAX 4096
#define EB_FLOOD_WINDOW 1024 /* sequences remembered for each origin */

/* An address that may be dialled. */
typedef struct {
    char *address;
    bool seed;
    bool listed;
    uint32_t living_members; /* members with this address not dead */
    uint32_t members;
    uint32_t failures;
    int64_t next_us;
    int64_t pending_until_us; /* 0 when no dial is under way */
} EbDial;

typedef struct {
    bool up;
    int64_t heard_us;
    int64_t used_us; /* last application message, for closing idle links */
    bool fresh;      /* digests were not compared yet */
    uint32_t mismatches;
    int64_t announced_us; /* last announcement handed on */
} EbMemberLink;

typedef struct {
    char *name;
    uint64_t ring_position;
    char *address;
    char *failure_domain;
    uint32_t capacity;
    uint64_t incarnation;
    uint64_t sequence;
    EbMemberState state;   /* of the record, as told to others */
    EbMemberState visible; /* as seen by the application */
    int64_t state_since_us;
    int64_t dead_from_us; /* a death without suspicion counts from here */
    uint64_t digest;      /* part of the table's digest */
    bool change_pending;  /* the record is news for the links */
    uint64_t listed_leaving_incarnation; /* 0: not listed as leaving */
    bool neighbour;
    bool dials;             /* this daemon dials, the other side waits */
    int64_t suspect_due_us; /* INT64_MAX while linked or no neighbour */
    EbDial *dial;
    EbMemberLink link;
    GQueue pending; /* of EbPendingSend: messages until a link is up */
} EbMember;

typedef struct {
    uint8_t *bytes;
    size_t byte_count;
    int64_t expires_us;
} EbPendingSend;

struct EbMembership {
    EbMembershipOptions options;
    EbEventSink events;
    EbMember *self;
    GPtrArray *members;  /* of EbMember, by name */
    GHashTable *by_name; /* name to EbMember */
    GHashTable *dials;   /* address to EbDial */
    GHashTable *origins; /* name to origin of floods */
    GQueue recent;       /* recent floods, for links that come up */
    size_t recent_bytes;
    uint64_t flood_sequence;
    uint64_t digest;
    uint64_t generation;
    GPtrArray *live; /* names, sorted; borrowed */
    uint32_t ring_count;
    uint32_t link_count;
    bool topology_stale;
    bool live_changed;
    bool heartbeat_now;
    int64_t digest_changed_us;
    int64_t changes_due_us;    /* INT64_MAX when there are none */
    int64_t scan_us;           /* next heartbeat and check of all members */
    int64_t candidate_dial_us; /* next dial beyond the neighbours */
};

/* membership_record.c */
EbMember *EbMembership_FindMember(const EbMembership *membership,
                                  const char *name);
EbMember *EbMembership_AddMember(EbMembership *membership, const char *name,
                                 const char *address, int64_t now_us);
void EbMembership_RemoveMember(EbMembership *membership, EbMember *member);
void EbMembership_FreeMember(EbMember *member);
void EbMembership_SetAddress(EbMembership *membership, EbMember *member,
                             const char *address);

/* Recomputes what follows from a record after it changed. */
void EbMembership_UpdateMember(EbMembership *membership, EbMember *member,
                               int64_t now_us);

/* Changes the state of a record by this daemon's own observation. */
void EbMembership_SetState(EbMembership *membership, EbMember *member,
                           EbMemberState state, int64_t now_us);

/* Raises this daemon's own sequence, so that its record wins. */
void EbMembership_RaiseOwnSequence(EbMembership *membership, uint64_t above,
                                   int64_t now_us);

/* Merges a record from a peer. */
void EbMembership_MergeRecord(EbMembership *membership,
                              const EbMessageMember *record, int64_t now_us);

/* Sends records that are news to all links. */
void EbMembership_SendChangedRecords(EbMembership *membership);

/* Sends all records to one link. */
void EbMembership_SendAllRecords(EbMembership *membership, EbMember *peer);

/* Sends this daemon's record and, if others doubt the peer, the peer's. */
void EbMembership_SendOwnRecord(EbMembership *membership, EbMember *peer);

/* membership_topology.c */
void EbMembership_UpdateTopology(EbMembership *membership, int64_t now_us);

/* membership_dial.c */
EbDial *EbMembership_FindDial(EbMembership *membership, const char *address);
void EbMembership_ReleaseDial(EbMembership *membership, EbDial *dial);
void EbMembership_FreeDial(EbDial *dial);
void EbMembership_Dial(EbMembership *membership, EbDial *dial,
                       const char *name, int64_t now_us);
void EbMembership_DialPending(EbMembership *membership, int64_t now_us);

/* membership_flood.c */
void EbMembership_FreeFloods(EbMembership *membership);
void EbMembership_ReceiveFlood(EbMembership *membership, EbMember *peer,
                               const EbMessage *message, int64_t now_us);
void EbMembership_ResendFloods(EbMembership *membership, EbMember *peer,
                               int64_t now_us);

/* membership.c */
void EbMembership_SendBytes(EbMembership *membership, const EbMember *peer,
                            const uint8_t *bytes, size_t byte_count);
void EbMembership_SendMessage(EbMembership *membership, const EbMember *peer,
                              const EbMessage *message);
void EbMembership_CloseLink(EbMembership *membership, EbMember *member,
                            int64_t now_us);
void EbMembership_SendHeartbeats(EbMembership *membership);
void EbMembership_ClearPending(EbMember *member);

/* Updates the topology and reports a changed set of live daemons. Ends every
 * public function that may change them. */
void EbMembership_PublishChanges(EbMembership *membership, int64_t now_us);

#endif
