/* EbAction: what the decisions want done, in order.
 *
 * Every module that needs I/O appends actions to the EbActionQueue it was
 * given; the daemon drains the queue after each event. Tests drain it and
 * answer from a table. Memory of an action belongs to it and is released by
 * EbAction_Clear. */
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

/* Set in the attempt ids of calls with work items, which the dispatcher does
 * not know. */
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

extern const char *const EbActionKind_names[EB_ACTION_COUNT];

/* A call to a backend server. The echo of request_id, stage and attempt in
 * the answer must match. */
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
    bool stream;
    bool fresh_connection; /* must not use an idle connection */

    /* A forwarded call: the fields above but the server, `stream` and
     * `fresh_connection` are not used. */
    EbForwardCall *forward;   /* NULL for other calls */
    char *customer;           /* NULL: not authenticated */
    int64_t remaining_us;     /* until the request's deadline */
    int64_t resume_after;     /* event id or EB_FORWARD_NO_EVENT */
    uint8_t priority;         /* 0 is the most urgent */
    GPtrArray *inputs;        /* of char *, handles of prepared results */
    uint32_t max_connections; /* to the server, with this one */
} EbSendAttempt;

/* A stage of a forwarded request that has to be prepared: its work items go,
 * together with those of other requests, to the servers of a service. */
typedef struct {
    uint64_t job; /* unique in this daemon */
    char *request_id;
    char *service;
    uint32_t stage;
    uint32_t item_count;
    uint64_t result_bytes; /* of one work item, about */
    char *failure_domain;  /* where the results will be used; NULL: unknown */
    char *key;             /* of a stage without an earlier one */
    GPtrArray *inputs;   /* of char *, handles of earlier results otherwise */
    uint8_t priority;    /* of its request, 0 is the most urgent */
    int64_t due_us;      /* when it should be done, for the order */
    int64_t deadline_us; /* when nobody waits for it any more */
} EbPreparationJob;

/* A call to a server of a stage with work items of several requests. */
typedef struct {
    uint64_t attempt_id; /* has EB_BATCH_ATTEMPT_BIT set */
    char *server_id;
    char *host;
    uint16_t port;
    GArray *items; /* of EbWorkItem; their memory is in `strings` */
    GPtrArray *strings;
} EbSendBatch;

/* Results that are not needed any more, all at one server. */
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

extern const char *const EbStoreOperation_names[EB_STORE_OPERATION_COUNT];

/* The module to which the reply of a store operation goes. */
typedef enum {
    EB_STORE_OWNER_LEDGER,
    EB_STORE_OWNER_QUARANTINE,
    EB_STORE_OWNER_CONFIG,
    EB_STORE_OWNER_ADMIN,
    EB_STORE_OWNER_COUNT
} EbStoreOwner;

typedef struct {
    EbStoreOwner owner;
    uint64_t operation_id; /* unique for the owner */
    EbStoreOperation operation;
    char *kind; /* such as "claims" */
    char *name;
    uint64_t version;
    json_t *value; /* create, update */
} EbStoreRequest;

typedef enum {
    EB_STORE_OK,
    EB_STORE_CONFLICT, /* exists, or has another version */
    EB_STORE_NOT_FOUND,
    EB_STORE_LOST,        /* sent, no answer: may have taken effect */
    EB_STORE_UNAVAILABLE, /* not sent, or refused without effect */
    EB_STORE_STATUS_COUNT
} EbStoreStatus;

extern const char *const EbStoreStatus_names[EB_STORE_STATUS_COUNT];

typedef struct {
    EbStoreOwner owner;
    uint64_t operation_id;
    EbStoreStatus status;
    uint64_t version; /* OK: version after the operation */
    json_t *value;    /* get, list; borrowed */
} EbStoreReply;

/* Final answer of a request. `body` is the result when it is done. */
typedef struct {
    uint64_t request; /* handle from EbDispatcher_Submit */
    EbOutcome outcome;
    EbReason reason;
    char *detail;           /* sentence for people, may be NULL */
    json_t *body;           /* {"answer": ..., "usage": ...} */
    EbHttpMessage *reply;   /* a server's answer to a forwarded request */
    int64_t retry_after_us; /* 0 when none */
    bool replayed;          /* answered from the ledger */
} EbAnswer;

/* Generated text for a streaming caller. */
typedef struct {
    uint64_t request;
    uint64_t token_index; /* of the first token in `text` */
    uint32_t token_count;
    char *text;
    /* A forwarded stream: its head, once, or whole events. */
    EbHttpMessage *head; /* NULL when absent */
    uint8_t *bytes;
    size_t byte_count;
} EbRelay;

/* A message to another daemon; the bytes are one encoded EbMessage. */
typedef struct {
    char *peer;    /* instance name */
    char *address; /* "host:port", for PEER_CONNECT and on-demand links */
    uint8_t *bytes;
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
        uint64_t end_job; /* END_PREPARATION: stop it, free its results */
        EbSendBatch batch;
        EbReleaseResults release;
        EbStoreRequest store;
        EbPeerSend peer;
    } as;
} EbAction;

typedef struct EbActionQueue EbActionQueue;

EbActionQueue *EbActionQueue_New(void);
void EbActionQueue_Free(EbActionQueue *queue);

/* Appends an action and takes over its memory. */
void EbActionQueue_Push(EbActionQueue *queue, const EbAction *action);

/* Removes the oldest action into `action`.
 *
 * Returns false when the queue is empty. The caller clears the action. */
bool EbActionQueue_Pop(EbActionQueue *queue, EbAction *action);

size_t EbActionQueue_Count(const EbActionQueue *queue);

/* Copies a preparation; its inputs are shared. */
EbPreparationJob EbPreparationJob_Copy(const EbPreparationJob *prepare);

/* Releases what a preparation owns. */
void EbPreparationJob_Clear(EbPreparationJob *prepare);

/* Releases what an action owns. */
void EbAction_Clear(EbAction *action);

#endif
