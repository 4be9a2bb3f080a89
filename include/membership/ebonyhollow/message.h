/* EbMessage: the messages between daemons and their msgpack codec.
 *
 * A message is a msgpack map with integer field numbers as keys; unknown
 * fields and trailing fields of later versions are skipped. Decoding treats
 * every byte as untrusted and allocates no more than the input justifies. */
#ifndef EBONYHOLLOW_MESSAGE_H
#define EBONYHOLLOW_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/quarantine.h"

#define EB_MESSAGE_VERSION 1
#define EB_MESSAGE_MAX_BYTES ((size_t)1280 * 1024)
#define EB_MESSAGE_MAX_NAME_BYTES 127
#define EB_MESSAGE_MAX_ELEMENTS 4096 /* elements of one array */

typedef enum {
    EB_MESSAGE_HEARTBEAT,      /* on every link, twice a second */
    EB_MESSAGE_MEMBERS,        /* member records, passed on when news */
    EB_MESSAGE_CONFIG_REQUEST, /* asks for the configuration body */
    EB_MESSAGE_CONFIG_BODY,
    EB_MESSAGE_OUTCOME_QUERY, /* asks the owner of a claim */
    EB_MESSAGE_OUTCOME_REPLY,
    EB_MESSAGE_USAGE,           /* demand of customers, to their home */
    EB_MESSAGE_GRANT,           /* shares, from the home */
    EB_MESSAGE_QUARANTINE,      /* fingerprints, flooded */
    EB_MESSAGE_SERVER_LEAVING,  /* a backend server's leaving, flooded */
    EB_MESSAGE_PREPARE,         /* work items, to the home of their service */
    EB_MESSAGE_PREPARED,        /* their results, from the home */
    EB_MESSAGE_END_PREPARATION, /* results are not needed any more */
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

typedef struct {
    char *instance;
    uint64_t incarnation;
    char *address; /* "host:port" of the peer listener */
    char *failure_domain;
    EbMemberState state;
    /* Raised by the member itself when it refutes a state or leaves. */
    uint64_t sequence;
    uint32_t capacity; /* for duties, by EbSettings.capacity */
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

    /* Flooded kinds: dropped as duplicates by origin and sequence. */
    char *origin;
    uint64_t origin_incarnation;
    uint64_t sequence;

    /* HEARTBEAT, CONFIG_REQUEST, CONFIG_BODY */
    uint64_t generation; /* of the configuration */

    /* HEARTBEAT: digest of the member records, to notice differences */
    uint64_t digest;

    /* MEMBERS */
    EbMessageMember *members;
    uint32_t member_count;

    /* CONFIG_BODY: document text; OUTCOME_REPLY: body as JSON text */
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

    /* SERVER_LEAVING */
    char *server;
    bool leaving;

    /* PREPARE, PREPARED, END_PREPARATION; `job` is the asking daemon's */
    uint64_t job;
    char *request_id;
    char *service;
    uint32_t stage;
    uint32_t piece_count;
    uint32_t priority;
    uint64_t result_bytes;
    char *failure_domain;
    char *piece_key;
    /* Times from the sending, since monotonic clocks of instances have nothing
     * in common; `late_us` is how long the due time has passed. */
    uint64_t due_in_us;
    uint64_t late_us;
    uint64_t left_us;
    uint32_t prepared; /* EbPreparedStatus */
    /* PREPARE: inputs; PREPARED: results */
    char **handles;
    uint32_t handle_count;
} EbMessage;

/* Returns whether a kind is flooded to all daemons with origin and sequence.
 * MEMBERS is not: a record is passed on when it is news to the receiver. */
bool EbMessage_IsFlooded(EbMessageKind kind);

/* Encodes a message into new memory that the caller frees with free().
 *
 * Returns false when it exceeds a limit or lacks a field that its kind
 * requires. */
bool EbMessage_Encode(const EbMessage *message, uint8_t **bytes,
                      size_t *byte_count);

/* Returns the kind of a message that EbMessage_Encode made, or
 * EB_MESSAGE_KIND_COUNT for other bytes. */
EbMessageKind EbMessage_PeekKind(const uint8_t *bytes, size_t byte_count);

/* Decodes one message.
 *
 * Returns a message for EbMessage_Free, or NULL with `error` set. The error is
 * EB_ERROR_UNKNOWN_FIELD for a well-formed message of an unknown kind, which
 * a later version may send and which is to be ignored. */
EbMessage *EbMessage_Decode(const uint8_t *bytes, size_t byte_count,
                            EbError *error);

/* Releases a decoded message. Accepts NULL. */
void EbMessage_Free(EbMessage *message);

#endif
