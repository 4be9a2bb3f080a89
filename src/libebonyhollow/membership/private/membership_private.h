/* Structures of EbMembership, shared by its source files.
 *
 * membership.c           public functions and messages
 * membership_record.c    member records: merging and sending
 * membership_topology.c  neighbours, live daemons, watchers
 * membership_dial.c      addresses and when to dial them
 * membership_flood.c     flooding with duplicate suppression
 * membership_timer.c     heartbeats, suspicion, death */
#ifndef EB_MEMBERSHIP_PRIVATE_H
#define EB_MEMBERSHIP_PRIVATE_H

#include <glib.h>

#include "ebonyhollow/membership.h"

#define EB_MEMBERS_MAX 2048
#define EB_ORIGINS_MAX 4096
#define EB_MEMBERSHIP_MAX_RAISES 16
#define EB_FLOOD_WINDOW 1024 /* sequences remembered per origin */

/* An address to dial. It is kept while it is a seed, is on the platform's list
 * or is the address of a member. */
typedef struct {
    char *address;
    bool seed;
    bool listed;              /* on the platform's list */
    uint32_t living_members;  /* members with this address that are not dead */
    uint32_t members;         /* members with this address */
    uint32_t failures;        /* consecutive */
    int64_t next_us;          /* earliest time of the next dial */
    int64_t pending_until_us; /* time-out of the dial in progress, or 0 */
    int64_t started_us;       /* when the last dial started */
} EbDial;

typedef struct {
    bool up;
    int64_t received_us;   /* last message of any kind */
    int64_t last_use_us;   /* last application message, to close idle links */
    bool digest_unchecked; /* no heartbeat was compared yet */
    uint32_t mismatches;   /* consecutive heartbeats with another digest */
    int64_t announced_us;  /* last report of this peer's generation, or 0 */
} EbMemberLink;

typedef struct {
    char *name;
    uint64_t ring_position;
    char *address;
    char *failure_domain;
    uint32_t capacity;
    uint64_t incarnation;
    uint64_t sequence;
    EbMemberState state;   /* of the record, as sent to peers */
    EbMemberState visible; /* as seen by the application */
    bool left;             /* it announced that it leaves, or has ended */
    int64_t known_us;      /* when its incarnation became known */
    uint64_t ended;        /* incarnation whose address refused a connection */
    int64_t state_since_us;
    int64_t dead_from_us; /* a state of DEAD becomes visible at this time */
    uint64_t digest;      /* of this record, combined into the table's */
    bool change_pending;  /* the record was not sent to the peers yet */
    uint64_t listed_leaving_incarnation; /* 0: not listed as leaving */
    bool neighbour;
    bool outbound;          /* this daemon dials; otherwise the peer does */
    int64_t suspect_due_us; /* INT64_MAX while linked or not a neighbour */
    EbDial *dial;
    EbMemberLink link;
    GQueue pending; /* of EbPendingSend: messages that wait for a link */
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
    GPtrArray *members;  /* of EbMember, sorted by name */
    GHashTable *by_name; /* name to EbMember */
    GHashTable *dials;   /* address to EbDial */
    GHashTable *origins; /* name to Origin of floods */
    GQueue recent;       /* of RecentFlood, resent on new links */
    size_t recent_bytes;
    GQueue quarantine_floods; /* the same for QUARANTINE messages */
    uint64_t flood_sequence;
    uint64_t digest;     /* of all member records */
    uint64_t generation; /* of the configuration, for heartbeats */
    GPtrArray *live;     /* names, sorted; borrowed */
    uint32_t ring_count; /* members that are not dead */
    uint32_t link_count;
    bool topology_stale;
    bool live_changed;
    uint32_t raises;    /* of this daemon's own incarnation */
    bool heartbeat_now; /* the next Tick sends heartbeats */
    int64_t digest_changed_us;
    int64_t changes_due_us;    /* when to send changed records, or INT64_MAX */
    int64_t next_scan_us;      /* next heartbeat and check of all members */
    int64_t candidate_dial_us; /* next dial of an address other than a
                                  neighbour's */
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

/* Updates digest, visible state and dial counts after a change of a record. */
void EbMembership_UpdateMember(EbMembership *membership, EbMember *member,
                               int64_t now_us);

/* Changes the state of a record and schedules sending it to the peers. */
void EbMembership_SetState(EbMembership *membership, EbMember *member,
                           EbMemberState state, int64_t now_us);

/* Raises this daemon's own sequence beyond `above`, so that its record
 * replaces those that others hold. */
void EbMembership_RaiseOwnSequence(EbMembership *membership, uint64_t above,
                                   int64_t now_us);

/* Merges a record from a peer if it is newer than the known one. */
void EbMembership_MergeRecord(EbMembership *membership,
                              const EbMessageMember *record, int64_t now_us);

/* Sends the records that changed since they were last sent to all peers. */
void EbMembership_SendChangedRecords(EbMembership *membership);

/* Sends all records to one peer. */
void EbMembership_SendAllRecords(EbMembership *membership, EbMember *peer);

/* Sends this daemon's record to a peer. If the peer's record here is not
 * ALIVE, sends that too, so that the peer can refute it. */
void EbMembership_SendOwnRecord(EbMembership *membership, EbMember *peer);

/* membership_topology.c */
void EbMembership_UpdateTopology(EbMembership *membership, int64_t now_us);

/* membership_dial.c */
EbDial *EbMembership_FindDial(EbMembership *membership, const char *address);
void EbMembership_ReleaseDial(EbMembership *membership, EbDial *dial);
void EbMembership_FreeDial(EbDial *dial);
void EbMembership_Dial(EbMembership *membership, EbDial *dial,
                       const char *name, int64_t now_us);
void EbMembership_StartDueDials(EbMembership *membership, int64_t now_us);

/* membership_flood.c */
void EbMembership_FreeFloods(EbMembership *membership);
void EbMembership_ReceiveFlood(EbMembership *membership, EbMember *peer,
                               const EbMessage *message, int64_t now_us);
void EbMembership_ResendFloods(EbMembership *membership, EbMember *peer,
                               int64_t now_us);

/* membership.c */
void EbMembership_SendBytes(EbMembership *membership, const EbMember *peer,
                            const uint8_t *bytes, size_t byte_count);
/* Returns false when the message can't be encoded, which is logged and
 * counted. */
bool EbMembership_SendMessage(EbMembership *membership, const EbMember *peer,
                              const EbMessage *message);
void EbMembership_CloseLink(EbMembership *membership, EbMember *member,
                            int64_t now_us);
void EbMembership_SendHeartbeats(EbMembership *membership);
void EbMembership_ClearPending(EbMember *member);

/* Updates the topology and reports a change of the live daemons to the
 * application. Every public function that may change them ends with it. */
void EbMembership_PublishChanges(EbMembership *membership, int64_t now_us);

#endif
