/* EbMessage: the messages between daemons and their msgpack codec.
 *
 * A message is a msgpack map with integer field numbers as keys. Unknown
 * fields, and array elements that later versions append, are skipped. The
 * decoder trusts no byte of its input and bounds its memory by the input's
 * size. */
#ifndef EBONYHOLLOW_MESSAGE_H
#define EBONYHOLLOW_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/directives.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/server_speed.h"
#include "ebonyhollow/suspects.h"

#define EB_MESSAGE_VERSION 1
#define EB_MESSAGE_MAX_BYTES ((size_t)1280 * 1024)
#define EB_MESSAGE_MAX_NAME_BYTES 127
#define EB_MESSAGE_MAX_ELEMENTS 4096 /* of one array */

typedef enum {
    EB_MESSAGE_HEARTBEAT,      /* on every link, twice a second */
    EB_MESSAGE_MEMBERS,        /* changed member records */
    EB_MESSAGE_CONFIG_REQUEST, /* asks for the configuration body */
    EB_MESSAGE_CONFIG_BODY,
    EB_MESSAGE_OUTCOME_QUERY, /* for the outcome, to the owner of a claim */
    EB_MESSAGE_OUTCOME_REPLY,
    EB_MESSAGE_USAGE,           /* demand of customers, to their homes */
    EB_MESSAGE_GRANT,           /* shares of limits, from the home */
    EB_MESSAGE_QUARANTINE,      /* fingerprints, flooded */
    EB_MESSAGE_SERVER_LEAVING,  /* a backend server that leaves, flooded */
    EB_MESSAGE_PREPARE,         /* work items, to the service's home */
    EB_MESSAGE_PREPARED,        /* their results, from the home */
    EB_MESSAGE_END_PREPARATION, /* the results are no longer needed */
    EB_MESSAGE_FEED_REQUEST,    /* asks a reader of the store for changes */
    EB_MESSAGE_FEED_CHANGES,  /* changes of one kind of the store's objects */
    EB_MESSAGE_FEED_STATUS,   /* what the reader knows; ends its response */
    EB_MESSAGE_SUSPICIONS,    /* evidence on what crashes servers, flooded */
    EB_MESSAGE_SERVER_LIMITS, /* limits that servers named, flooded */
    EB_MESSAGE_SERVER_SPEEDS, /* measured speeds of servers, passed on as news
                               */
    EB_MESSAGE_KIND_COUNT
} EbMessageKind;

extern const char *const EbMessageKind_names[EB_MESSAGE_KIND_COUNT];

typedef enum {
    EB_MEMBER_ALIVE,
    EB_MEMBER_SUSPECTED,
    EB_MEMBER_LEAVING,
    EB_MEMBER_DEAD,
    EB_MEMBER_STATE_COUNT
} EbMemberState;

extern const char *const EbMemberState_names[EB_MEMBER_STATE_COUNT];

/* Streams that daemons without EbMessage.feed_streams know. */
#define EB_FEED_FIRST_STREAMS 2

/* Kinds of the store's objects that one daemon passes to others. */
typedef enum {
    EB_FEED_CONFIG,
    EB_FEED_SERVERS,
    EB_FEED_EVACUATIONS, /* only where the settings ask for it */
    EB_FEED_STREAM_COUNT
} EbFeedStream;

typedef struct {
    char *instance;
    uint64_t incarnation;
    char *address; /* "host:port" of the peer listener */
    char *failure_domain;
    EbMemberState state;
    /* Raised only by the member itself, when it refutes a state, withdraws its
     * capacity or leaves. */
    uint64_t sequence;
    /* Weight as a home of work items, EbSettings.capacity. */
    uint32_t capacity;
} EbMessageMember;

typedef struct {
    char *customer;
    uint64_t requests_per_s_milli;
    uint32_t concurrent_requests;
    uint64_t tokens_per_s;
} EbMessageShare;

/* One message. Only the fields of its kind are set; the others are zero. */
typedef struct {
    EbMessageKind kind;

    /* Flooded kinds: duplicates are recognized by these. */
    char *origin;
    uint64_t origin_incarnation;
    uint64_t sequence;

    /* HEARTBEAT, CONFIG_REQUEST, CONFIG_BODY */
    uint64_t generation; /* of the configuration */

    /* HEARTBEAT: digest of the member records, by which peers detect that
     * theirs differ */
    uint64_t digest;

    /* MEMBERS */
    EbMessageMember *members;
    uint32_t member_count;

    /* CONFIG_BODY: text of the document; OUTCOME_REPLY: body as JSON text;
     * FEED_CHANGES: the events as a JSON array, absent when there are none */
    char *text;
    size_t text_bytes;

    /* OUTCOME_QUERY, OUTCOME_REPLY */
    uint64_t query;
    char *customer;
    char *key_digest;
    uint32_t local_state; /* EbLedgerLocalState */
    EbOutcome outcome;
    EbReason reason;

    /* USAGE, GRANT */
    EbMessageShare *shares;
    uint32_t share_count;

    /* QUARANTINE */
    EbQuarantineEntry *entries;
    uint32_t entry_count;

    /* SUSPICIONS */
    EbSuspicion *suspicions;
    uint32_t suspicion_count;

    /* SERVER_LIMITS */
    EbLimitReport *limits;
    uint32_t limit_count;

    /* SERVER_SPEEDS */
    EbSpeedReport *speeds;
    uint32_t speed_count;

    /* SERVER_LEAVING */
    char *server;
    uint64_t server_incarnation; /* that is leaving; 0: unknown */
    bool leaving;

    /* PREPARE, PREPARED, END_PREPARATION; the requester assigns `job`. */
    uint64_t job;
    char *request_id;
    char *service;
    uint32_t stage;
    uint32_t piece_count;
    uint32_t priority;
    uint64_t result_bytes;
    uint64_t transfer_bytes;
    char *failure_domain;
    char *piece_key;
    /* Times relative to the sending of the message, since monotonic clocks of
     * instances are unrelated. `late_us`: time since the due time. */
    uint64_t due_in_us;
    uint64_t late_us;
    uint64_t left_us;
    uint32_t route_priority; /* 0 from a daemon that does not send it */
    uint32_t prepared;       /* EbPreparedStatus */
    /* PREPARED, late: when the home's present work is done; 0: not known */
    uint64_t room_in_us;
    /* PREPARE: inputs; PREPARED: results */
    char **handles;
    uint32_t handle_count;

    /* FEED_REQUEST, FEED_STATUS: `feed_request` numbers a request and is
     * repeated in its response. Eras and revisions are those up to which the
     * sender knows the store's objects, see EbStoreFeed. */
    uint64_t feed_request;
    uint64_t config_revision;
    uint64_t config_era;
    uint64_t servers_revision;
    uint64_t servers_era;
    uint64_t evacuations_revision;
    uint64_t evacuations_era;
    /* Number of the first streams that the sender knows of and wants; 0: those
     * of the first version, EB_FEED_FIRST_STREAMS. Changes of a stream are
     * sent only to daemons that want it, since others refuse the message. */
    uint32_t feed_streams;
    bool feed_reading; /* FEED_STATUS: the sender reads the store itself */
    bool feed_failing; /* FEED_STATUS: it tries to, and its last read failed */
    /* FEED_STATUS: time since the store last answered the sender */
    uint64_t confirmed_ago_us;
    /* FEED_CHANGES: the changes after `base_revision` up to `revision` in the
     * store's `era`, or all objects when `base_revision` is 0; `exact_base`
     * when they lead there from that revision only */
    uint32_t feed_stream; /* EbFeedStream */
    uint64_t base_revision;
    uint64_t revision;
    uint64_t era;
    bool exact_base;
    /* FEED_CHANGES, FEED_STATUS: time since the end of the store's last
     * outage; 0: unknown or long ago */
    uint64_t recovered_ago_us;
} EbMessage;

/* Returns whether a kind is flooded to all daemons with origin and sequence.
 * MEMBERS is not: a receiver passes on just the records that it did not know.
 */
bool EbMessage_IsFlooded(EbMessageKind kind);

/* Encodes a message into new memory, which the caller frees with free().
 *
 * Returns false when the message exceeds a limit or lacks a field that its
 * kind requires. */
bool EbMessage_Encode(const EbMessage *message, uint8_t **bytes,
                      size_t *byte_count);

/* Returns the kind of a message encoded by EbMessage_Encode, or
 * EB_MESSAGE_KIND_COUNT for any other bytes. */
EbMessageKind EbMessage_PeekKind(const uint8_t *bytes, size_t byte_count);

/* Decodes one message.
 *
 * Returns a message to release with EbMessage_Free, or NULL with `error` set,
 * which may be NULL. The error is EB_ERROR_UNKNOWN_FIELD for a well-formed
 * message of an unknown kind: a later version may send it, and the receiver
 * should ignore it. */
EbMessage *EbMessage_Decode(const uint8_t *bytes, size_t byte_count,
                            EbError *error);

/* Releases a message that EbMessage_Decode returned. Accepts NULL. */
void EbMessage_Free(EbMessage *message);

#endif
