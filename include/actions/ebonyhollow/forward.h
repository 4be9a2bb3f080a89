/* EbForward: requests whose body is passed on unread to a backend server.
 *
 * A forwarded request is the caller's HTTP message with what the decisions
 * need of it, decoded once. The names on the wire are a deployment's own: an
 * EbForwardProtocol, a table of function pointers, reads and writes them. */
#ifndef EBONYHOLLOW_FORWARD_H
#define EBONYHOLLOW_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/http_message.h"

#define EB_FORWARD_MAX_PREPARATIONS 8 /* stages before a forwarded request */
#define EB_FORWARD_MAX_WORK_ITEMS 256 /* work items of one such stage */
#define EB_FORWARD_NO_EVENT INT64_C(-1)

/* A part of a prompt that requests may share, in the prompt's order. */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} EbPromptPart;

typedef struct {
    uint32_t references;
    EbHttpMessage *message;
    char *request_id;
    char *token;           /* bearer token, NULL when absent */
    char *host;            /* without port, lower case */
    char *path;            /* without query */
    int64_t timeout_us;    /* how long the caller waits; 0: not said */
    int64_t last_event_id; /* a stream goes on after it, or NO_EVENT */
    EbPromptPart *parts;
    uint32_t part_count;
    uint32_t prompt_tokens;
    uint32_t output_tokens;                            /* upper bound */
    uint32_t item_counts[EB_FORWARD_MAX_PREPARATIONS]; /* by stage */
    uint32_t item_stage_count;
    char *item_key; /* input of stages without an earlier one */
} EbForwardCall;

EbForwardCall *EbForwardCall_Ref(EbForwardCall *call);

/* Accepts NULL. */
void EbForwardCall_Unref(EbForwardCall *call);

/* Returns a hash of the parts of the prompt that other requests may share,
 * all but the last one, or 0 when the call names none. */
uint64_t EbForwardCall_PromptKey(const EbForwardCall *call);

/* What one sending of a call adds to it. */
typedef struct {
    const char *server_id;     /* any other server refuses the call */
    const char *customer;      /* NULL: not authenticated */
    int64_t remaining_us;      /* until the request's deadline */
    int64_t resume_after;      /* event id, or NO_EVENT */
    uint8_t priority;          /* 0 is the most urgent */
    const char *const *inputs; /* handles of prepared results */
    uint32_t input_count;
} EbForwardAttempt;

/* What an answer's head says beside its status. */
typedef struct {
    const char *request_id; /* echo; NULL when absent; borrowed */
    bool sealed;            /* signed by the backend server */
    bool not_run;           /* the server states that it did not run it */
    bool encoded;           /* the body has a content coding */
    bool has_load;
    uint32_t load_running;
    uint32_t load_waiting;
} EbForwardReply;

/* One work item of a preparation, as it is sent to a server of its stage. */
typedef struct {
    const char *request_id;
    uint32_t stage; /* in the route */
    uint32_t index; /* in the stage */
    int64_t remaining_us;
    const char *key;           /* of a stage without an earlier one */
    const char *const *inputs; /* handles of earlier results otherwise */
    uint32_t input_count;
} EbWorkItem;

typedef enum {
    EB_WORK_ITEM_DONE,
    EB_WORK_ITEM_LATE,    /* its time was over at its turn */
    EB_WORK_ITEM_GONE,    /* an input no longer exists */
    EB_WORK_ITEM_NO_ROOM, /* the server has no memory for the result */
    EB_WORK_ITEM_ERROR,
    EB_WORK_ITEM_RESULT_COUNT
} EbWorkItemResultKind;

extern const char *const EbWorkItemResultKind_names[EB_WORK_ITEM_RESULT_COUNT];

typedef struct {
    EbWorkItemResultKind kind;
    char *handle; /* DONE: where the result lies; owned by the taker */
} EbWorkItemResult;

typedef struct {
    /* Name of the header that carries the request id in both directions. */
    const char *request_id_header;
    /* Decodes a caller's request, of which it keeps a reference. Returns NULL
     * with `error` set when something it needs is missing or malformed. */
    EbForwardCall *(*read_call)(EbHttpMessage *message, EbError *error);
    /* Builds what is sent to a backend server. */
    EbHttpMessage *(*write_call)(const EbForwardCall *call,
                                 const EbForwardAttempt *attempt);
    void (*read_reply)(const EbHttpMessage *head, EbForwardReply *reply);
    /* Builds a call for work items, and one that frees results. */
    EbHttpMessage *(*write_batch)(const char *server_id,
                                  const EbWorkItem *items, size_t count);
    EbHttpMessage *(*write_release)(const char *const *handles, size_t count);
    /* Reads the answer to write_batch: one result for each item, in order.
     * Returns false with `error` set when it is malformed. */
    bool (*read_batch_reply)(const EbHttpMessage *answer,
                             EbWorkItemResult *results, size_t count,
                             EbError *error);
    /* Reads the address of the server that made a result from its handle.
     * `host` is to be freed. Returns false when the handle names none. */
    bool (*read_handle)(const char *handle, char **host, uint16_t *port);
} EbForwardProtocol;

#endif
