/* EbStage: the protocols of the stage kinds, a table of function pointers.
 *
 * A new protocol is one more row: how a call is built from the request and
 * the results of earlier stages, and how its answer is checked. */
#ifndef EBONYHOLLOW_STAGE_H
#define EBONYHOLLOW_STAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/error.h"

/* What a call is built from. `results` holds one value for each earlier
 * stage of the pipeline, in order. */
typedef struct {
    const EbConfigPipeline *pipeline;
    uint32_t stage;
    json_t *request; /* the caller's body */
    json_t *const *results;
    uint64_t resume_token_index; /* generate: tokens already relayed */
    const char *resume_text;     /* generate: their text, or NULL */
} EbStageInput;

typedef struct {
    const char *path; /* NULL: the path is in the stage's configuration */
    bool stream;
    bool may_hedge; /* slow calls may be sent to a second server */
    /* Builds the body of a call. Returns a new reference, or NULL with
     * `error` set when the request lacks what the stage needs. */
    json_t *(*build)(const EbStageInput *input, EbError *error);
    /* Checks the answer and extracts the stage's result. Returns a new
     * reference, or NULL with `error` set when it is malformed. For streams
     * it is given {"text": ..., "tokens": N} after the end. */
    json_t *(*read)(const EbStageInput *input, json_t *answer, EbError *error);
} EbStageProtocol;

/* Table parallel to EbStageKind. */
extern const EbStageProtocol EbStage_protocols[EB_STAGE_KIND_COUNT];

/* Checks a caller's body before admission: an object with a string "input".
 * Returns false with `error` set. */
bool EbStage_CheckRequest(const EbConfigPipeline *pipeline, json_t *request,
                          EbError *error);

/* Bytes of the prompt that a generate call sends, for prefix affinity; the
 * string is borrowed from `body`. */
const char *EbStage_Prompt(json_t *body);

#endif
