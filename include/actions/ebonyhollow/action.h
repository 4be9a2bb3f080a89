/* EbAction: an I/O operation that a module asks the daemon to carry out.
 *
 * The modules of libebonyhollow do no I/O themselves. They append actions to
 * the EbActionQueue that they are given, and the daemon carries them out in
 * order after each event. Tests take them from the queue and answer them
 * instead. An action owns its memory, which EbAction_Clear frees. */
#ifndef EBONYHOLLOW_ACTION_H
#define EBONYHOLLOW_ACTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/forward.h"
#include "ebonyhollow/outcome.h"

/* Set in the attempt ids that the batcher assigns, so that they differ from
 * those of the dispatcher. */
#define EB_BATCH_ATTEMPT_BIT (UINT64_C(1) << 63)

typedef enum {
    EB_ACTION_SEND_ATTEMPT,
    EB_ACTION_CANCEL_ATTEMPT,
    EB_ACTION_RETIRE_CONNECTIONS,
    EB_ACTION_RELAY,
    EB_ACTION_ANSWER,
    EB_ACTION_PREPARE,
    EB_ACTION_END_PREPARATION,
    EB_ACTION_SEND_BATCH,
    EB_ACTION_RELEASE_RESULTS,
    EB_ACTION_STORE,
    EB_ACTION_PEER_SEND,
    EB_ACTION_PEER_CONNECT,
    EB_ACTION_PEER_CLOSE,
    EB_ACTION_COUNT
} EbActionKind;

/* Names indexed by EbActionKind. */
extern const char *const EbActionKind_names[EB_ACTION_COUNT];

/* A call to a backend server. The response must echo request_id, stage and
 * attempt; one with other values is discarded. */
typedef struct {
    uint64_t attempt_id; /* unique in this daemon */
    char *request_id;
    uint32_t stage;
    uint32_t attempt;
    EbStageKind kind;
    char *server_id;
    char *host;
    uint16_t port;
    char *path;
    json_t *body;
    char *idempotency_key;  /* NULL when there is none */
    char *traceparent;      /* W3C trace context, NULL when there is none */
    uint64_t fencing_token; /* 0 when none is sent */
    bool lookup;            /* GET that asks a service for a key's outcome */
    bool stream;            /* the response is a stream of tokens */
    bool fresh_connection;  /* must not use an idle connection */

    /* A forwarded call has the members below. Of those above it uses only
     * attempt_id, request_id, server_id, host, port, stream and
     * fresh_connection. */
    EbForwardCall *forward;   /* NULL for other calls */
    char *customer;           /* NULL: not authenticated */
    int64_t remaining_us;     /* until the request's deadline */
    int64_t resume_after;     /* last event seen or EB_FORWARD_NO_EVENT */
    uint8_t priority;         /* 0 is the most urgent */
    GPtrArray *inputs;        /* of char *, handles of prepared results */
    uint32_t max_connections; /* to the server, including this; 0: no limit */
} EbSendAttempt;

/* A preparation of a forwarded request: a stage whose work items are sent,
 * batched with those of other requests, to the servers of a service. */
typedef struct {
    uint64_t job; /* unique in this daemon */
    char *request_id;
    char *service;
    uint32_t stage; /* index of the preparation in the pipeline */
    uint32_t item_count;
    uint64_t result_bytes; /* approximate size of one work item's result */
    /* Approximate bytes that are moved between servers for one work item: its
     * inputs, and its result once for each work item that needs it. */
    uint64_t transfer_bytes;
    bool near_inputs;     /* most of these are inputs */
    char *failure_domain; /* where the work should be done; NULL: unknown */
    char *key;            /* input, if the stage depends on no other */
    GPtrArray *inputs;    /* of char *; otherwise handles of earlier results */
    uint8_t priority;     /* of the request; 0 is the most urgent */
    /* Of the request's pipeline. Decides between requests of the same
     * priority, which is the customer's if it has one. */
    uint8_t route_priority;
    int64_t due_us;      /* when it should be done; decides the order */
    int64_t deadline_us; /* when the results are of no use any more */
} EbPreparationJob;

/* A batched call: work items of several requests for one server. */
typedef struct {
    uint64_t attempt_id; /* has EB_BATCH_ATTEMPT_BIT set */
    char *server_id;
    char *host;
    uint16_t port;
    GArray *items;      /* of EbWorkItem, whose strings are in `strings` */
    GPtrArray *strings; /* owns the memory that `items` point to */
} EbSendBatch;

/* Tells a server to free results that are no longer needed. */
typedef struct {
    uint64_t attempt_id;
    char *server_id;
    char *host;
    uint16_t port;
    GPtrArray *handles; /* of char * */
} EbReleaseResults;

typedef enum {
    EB_STORE_GET,
    EB_STORE_CREATE, /* only if it does not exist */
    EB_STORE_UPDATE, /* only if it has `version` */
    EB_STORE_DELETE, /* only if it has `version` */
    EB_STORE_LIST,
    EB_STORE_OPERATION_COUNT
} EbStoreOperation;

/* Names for the metrics, indexed by EbStoreOperation. */
extern const char *const EbStoreOperation_names[EB_STORE_OPERATION_COUNT];

/* The module that receives the reply to a store operation. */
typedef enum {
    EB_STORE_OWNER_LEDGER,
    EB_STORE_OWNER_QUARANTINE,
    EB_STORE_OWNER_CONFIG,
    EB_STORE_OWNER_ADMIN,
    EB_STORE_OWNER_COUNT
} EbStoreOwner;

typedef struct {
    EbStoreOwner owner;
    uint64_t operation_id; /* unique within the owner */
    EbStoreOperation operation;
    char *kind; /* such as "claims" */
    char *name;
    uint64_t version; /* expected version, for update and delete */
    json_t *value;    /* for create and update */
} EbStoreRequest;

typedef enum {
    EB_STORE_OK,
    EB_STORE_CONFLICT, /* the object exists, or has another version */
    EB_STORE_NOT_FOUND,
    EB_STORE_LOST,        /* sent but not answered: may have taken effect */
    EB_STORE_UNAVAILABLE, /* not sent, or refused without effect */
    EB_STORE_STATUS_COUNT
} EbStoreStatus;

/* Names for the metrics, indexed by EbStoreStatus. */
extern const char *const EbStoreStatus_names[EB_STORE_STATUS_COUNT];

typedef struct {
    EbStoreOwner owner;
    uint64_t operation_id;
    EbStoreStatus status;
    uint64_t version; /* OK: the object's version after the operation */
    json_t *value;    /* result of get and list; borrowed */
} EbStoreReply;

/* The final answer to a caller. */
typedef struct {
    uint64_t request; /* handle from EbDispatcher_Submit */
    EbOutcome outcome;
    EbReason reason;
    char *detail;           /* explanation for people; may be NULL */
    json_t *body;           /* DONE: {"answer": ..., "usage": ...} */
    EbHttpMessage *reply;   /* a server's response to a forwarded request */
    int64_t retry_after_us; /* 0: no Retry-After */
    bool replayed;          /* outcome of an earlier request with the key */
} EbAnswer;

/* A part of a streamed answer: generated text or, for a forwarded request, the
 * head of the response or bytes of its event stream. */
typedef struct {
    uint64_t request;
    uint64_t token_index; /* of the first token in `text` */
    uint32_t token_count;
    char *text;
    EbHttpMessage *head; /* sent once, before the first event; else NULL */
    uint8_t *bytes;      /* whole events */
    size_t byte_count;
} EbRelay;

/* The peer and message of PEER_SEND, PEER_CONNECT and PEER_CLOSE. */
typedef struct {
    char *peer;     /* instance name */
    char *address;  /* "host:port", for PEER_CONNECT and on-demand links */
    uint8_t *bytes; /* one encoded EbMessage, for PEER_SEND */
    size_t byte_count;
} EbPeerSend;

typedef struct {
    EbActionKind kind;
    union {
        EbSendAttempt send;
        uint64_t cancel_attempt_id;
        char *retire_server_id;
        EbRelay relay;
        EbAnswer answer;
        EbPreparationJob prepare;
        uint64_t end_job; /* END_PREPARATION: stop the job, free its results */
        EbSendBatch batch;
        EbReleaseResults release;
        EbStoreRequest store;
        EbPeerSend peer;
    } as;
} EbAction;

typedef struct EbActionQueue EbActionQueue;

/* Returns an empty queue that the caller frees with EbActionQueue_Free. */
EbActionQueue *EbActionQueue_New(void);

/* Frees the queue and the actions that are still in it. Accepts NULL. */
void EbActionQueue_Free(EbActionQueue *queue);

/* Appends a copy of `action` and takes ownership of the memory that the action
 * owns. */
void EbActionQueue_Push(EbActionQueue *queue, const EbAction *action);

/* Moves the oldest action from the queue into `action`, which the caller frees
 * with EbAction_Clear.
 *
 * Returns false when the queue is empty. */
bool EbActionQueue_Pop(EbActionQueue *queue, EbAction *action);

/* Returns the number of actions in the queue. */
size_t EbActionQueue_Count(const EbActionQueue *queue);

/* Returns a copy of a preparation job; it shares the array of inputs. */
EbPreparationJob EbPreparationJob_Copy(const EbPreparationJob *preparation);

/* Frees what a preparation job owns and zeroes it. */
void EbPreparationJob_Clear(EbPreparationJob *preparation);

/* Frees the members of a release and resets it. */
void EbReleaseResults_Clear(EbReleaseResults *release);

/* Frees what an action owns and resets it. */
void EbAction_Clear(EbAction *action);

#endif
