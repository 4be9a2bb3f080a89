/* EbForward: requests whose body is passed on unread to a backend server.
 *
 * A forwarded request consists of the caller's HTTP message and of the values
 * that scheduling needs, decoded once. Header names and formats belong to the
 * deployment's platform; an EbForwardProtocol reads and writes them. */
#ifndef EBONYHOLLOW_FORWARD_H
#define EBONYHOLLOW_FORWARD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/error.h"
#include "ebonyhollow/http_message.h"
#include "ebonyhollow/server_directive.h"

#define EB_FORWARD_MAX_WORK_ITEMS 256   /* of one preparation */
#define EB_FORWARD_NO_EVENT INT64_C(-1) /* in place of an event id */

/* A part of a prompt. Prompts that begin with the same parts share a prefix.
 */
typedef struct {
    uint64_t id;
    uint32_t tokens;
} EbPromptPart;

/* A forwarded request; reference counted. */
typedef struct {
    uint32_t references;
    EbHttpMessage *message;
    char *request_id;
    char *token;           /* bearer token, NULL when absent */
    char *host;            /* without port, lower case */
    char *path;            /* without query */
    int64_t timeout_us;    /* the caller's time limit; 0: not given */
    int64_t last_event_id; /* resume the stream after it, or NO_EVENT */
    EbPromptPart *parts;   /* in the prompt's order */
    uint32_t part_count;
    uint32_t prompt_tokens;
    uint32_t output_tokens; /* upper bound */
    /* Work items of each preparation stage. */
    uint32_t item_counts[EB_CONFIG_MAX_PREPARATIONS];
    uint32_t item_stage_count;
    char *item_key; /* input of the stages that depend on no other stage */
} EbForwardCall;

/* Adds a reference and returns `call`. */
EbForwardCall *EbForwardCall_Ref(EbForwardCall *call);

/* Drops a reference and frees the call with the last one. Accepts NULL. */
void EbForwardCall_Unref(EbForwardCall *call);

/* Returns a hash of the prompt's prefix that other requests may share: all
 * parts but the last, or the only part. Returns 0 when the call has no parts.
 */
uint64_t EbForwardCall_PromptKey(const EbForwardCall *call);

/* What an attempt adds to a forwarded call. All pointers are borrowed. */
typedef struct {
    const char *server_id;     /* any other server refuses the call */
    const char *customer;      /* NULL: not authenticated */
    int64_t remaining_us;      /* until the request's deadline */
    int64_t resume_after;      /* id of the last event seen, or NO_EVENT */
    uint8_t priority;          /* 0 is the most urgent */
    const char *const *inputs; /* handles of prepared results */
    uint32_t input_count;
} EbForwardAttempt;

/* What the head of a backend server's response says besides the status. */
typedef struct {
    const char *request_id; /* echoed id, NULL when absent; borrowed */
    bool sealed;            /* has the backend server's signature */
    bool not_run;          /* the server states that it did not run the call */
    bool encoded;          /* the body has a content coding */
    bool has_load;         /* the two members below are valid */
    uint32_t load_running; /* calls that run at the server */
    uint32_t load_waiting; /* calls that wait there */
    /* Time that work takes there now, in percent of the usual time; 0: not
     * stated */
    uint32_t load_work_percent;
    EbServerDirective directive;
} EbForwardReply;

/* Handles pass between daemons as names, see EB_MESSAGE_MAX_NAME_BYTES. */
#define EB_FORWARD_MAX_HANDLE_BYTES 127

/* A work item of a preparation, as it is sent to a server of its stage. */
typedef struct {
    const char *request_id;
    uint32_t stage;            /* index of the preparation in the pipeline */
    uint32_t index;            /* of the work item in its stage */
    int64_t remaining_us;      /* until its deadline */
    const char *key;           /* input, if the stage depends on no other */
    const char *const *inputs; /* otherwise handles of earlier results */
    uint32_t input_count;
} EbWorkItem;

typedef enum {
    EB_WORK_ITEM_DONE,
    EB_WORK_ITEM_LATE,          /* its time had run out when it was started */
    EB_WORK_ITEM_INPUT_GONE,    /* an input no longer exists */
    EB_WORK_ITEM_OUT_OF_MEMORY, /* the server has no memory for the result */
    EB_WORK_ITEM_ERROR,
    EB_WORK_ITEM_RESULT_COUNT
} EbWorkItemResultKind;

extern const char *const EbWorkItemResultKind_names[EB_WORK_ITEM_RESULT_COUNT];

typedef struct {
    EbWorkItemResultKind kind;
    char *handle; /* DONE: refers to the result; freed with g_free */
} EbWorkItemResult;

/* A table of functions that translate between one platform's HTTP messages and
 * the types above. The messages that they build have one reference, which the
 * caller drops. */
typedef struct {
    /* Name of the header that carries the request id in both directions. */
    const char *request_id_header;
    /* Decodes a caller's request and keeps a reference to it. Returns NULL
     * with `error` set when a required part is missing or malformed. */
    EbForwardCall *(*read_call)(EbHttpMessage *message, EbError *error);
    /* Builds the request for a backend server. */
    EbHttpMessage *(*write_call)(const EbForwardCall *call,
                                 const EbForwardAttempt *attempt);
    /* Decodes the head of a backend server's response. */
    void (*read_reply)(const EbHttpMessage *head, EbForwardReply *reply);
    /* Builds a batched call with work items. */
    EbHttpMessage *(*write_batch)(const char *server_id,
                                  const EbWorkItem *items, size_t count);
    /* Builds a call that frees results. */
    EbHttpMessage *(*write_release)(const char *const *handles, size_t count);
    /* Reads the response to a batched call into `results`: one for each item,
     * in the same order. An item with an invalid handle has no result. Returns
     * false with `error` set when the response is malformed. */
    bool (*read_batch_reply)(const EbHttpMessage *answer,
                             EbWorkItemResult *results, size_t count,
                             EbError *error);
    /* Reads from a handle the address of the server that holds the result. The
     * caller frees `host` with g_free. Returns false when the handle is
     * invalid: it has no address, or characters or a length that the messages
     * which carry it can't have. */
    bool (*read_handle)(const char *handle, char **host, uint16_t *port);
    /* Returns whether `read_handle` would accept a text. */
    bool (*is_handle)(const char *text);
} EbForwardProtocol;

#endif
