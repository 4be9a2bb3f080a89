/* EbStage: the protocols of the stage kinds, as a table of function pointers.
 *
 * A row says how a call is built from the request and the results of earlier
 * stages, and how its answer is checked. A new protocol is one more row. The
 * protocols are described in docs/protocols.md. */
#ifndef EBONYHOLLOW_STAGE_H
#define EBONYHOLLOW_STAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/error.h"

/* What a call is built from. Everything is borrowed. */
typedef struct {
    const EbConfigPipeline *pipeline;
    uint32_t stage;              /* index in the pipeline */
    json_t *request;             /* the caller's body */
    json_t *const *results;      /* of the earlier stages, in their order */
    uint64_t resume_token_index; /* generate: tokens received; 0: no resume */
    const char *resume_text;     /* generate: their text, or NULL */
} EbStageInput;

typedef struct {
    const char *path; /* NULL: the path is in the stage's configuration */
    bool stream;      /* the answer is a stream of tokens */
    bool may_hedge;   /* a slow call may also be sent to a second server */
    /* Builds the body of a call. Returns a new reference, or NULL with
     * `error` set when something that the stage needs is missing. */
    json_t *(*build)(const EbStageInput *input, EbError *error);
    /* Checks an answer and extracts the stage's result. Returns a new
     * reference, or NULL with `error` set when the answer is malformed or too
     * large. For a stream, `answer` is {"text": ..., "tokens": N}, built
     * from its tokens when it ends. */
    json_t *(*read)(const EbStageInput *input, json_t *answer, EbError *error);
} EbStageProtocol;

/* The protocols, indexed by EbStageKind. */
extern const EbStageProtocol EbStage_protocols[EB_STAGE_KIND_COUNT];

/* Checks a caller's body before admission. It must be an object with a
 * non-empty string "input". "parameters", if present, must be an object, and
 * "max_tokens" an integer of at least 1 and, when the pipeline has generate
 * stages, at most the largest max_tokens of those.
 *
 * Returns false with `error` and its path set when the body is invalid. */
bool EbStage_CheckRequest(const EbConfigPipeline *pipeline, json_t *request,
                          EbError *error);

/* Returns the prompt in the body of a generate call, for prefix affinity, or
 * NULL when the body has none. Borrowed from `body`. */
const char *EbStage_Prompt(json_t *body);

#endif
