/* EbGeneration: the highest configuration generation this daemon has.
 *
 * Accepts documents from the platform, from peers and from an operator's
 * change, keeps the highest valid one and never goes back to a lower one. */
#ifndef EBONYHOLLOW_GENERATION_H
#define EBONYHOLLOW_GENERATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"

#define EB_GENERATION_KIND "configuration"
#define EB_GENERATION_NAME "current"
#define EB_GENERATION_POLL_US (60LL * 1000 * 1000)

typedef struct EbGeneration EbGeneration;

typedef enum {
    EB_GENERATION_APPLIED,
    EB_GENERATION_SAME,
    EB_GENERATION_STALE,   /* lower than the one in force */
    EB_GENERATION_INVALID, /* does not validate; the one in force stays */
    EB_GENERATION_RESULT_COUNT
} EbGenerationResult;

extern const char *const EbGenerationResult_names[EB_GENERATION_RESULT_COUNT];

typedef struct {
    const char *site;
    EbActionQueue *actions;
    const EbEventSink *events;
    /* Called with each configuration that comes into force. */
    void (*applied)(void *context, EbConfig *config, int64_t now_us);
    void *context;
} EbGenerationOptions;

EbGeneration *EbGeneration_New(const EbGenerationOptions *options);
void EbGeneration_Free(EbGeneration *generation);

/* Offers a document. `version` is the object's version when it came from the
 * platform, 0 otherwise. `source` names the origin for the log. */
EbGenerationResult EbGeneration_Offer(EbGeneration *generation,
                                      const char *text, size_t text_bytes,
                                      uint64_t version, const char *source,
                                      EbError *error, int64_t now_us);

/* Takes a configuration that a deployment's own reader made; it keeps a
 * reference. One of the generation in force replaces it, since its servers may
 * differ; one of a lower generation does not. */
EbGenerationResult EbGeneration_Adopt(EbGeneration *generation,
                                      EbConfig *config, const char *source,
                                      int64_t now_us);

/* The configuration in force, or NULL before the first. Borrowed. */
EbConfig *EbGeneration_Current(const EbGeneration *generation);

/* Its document text, for peers that ask; NULL before the first. */
const char *EbGeneration_Text(const EbGeneration *generation,
                              size_t *text_bytes);

uint64_t EbGeneration_Number(const EbGeneration *generation);

/* An operator's change: validates `document`, whose "generation" must be the
 * one in force plus one, writes it on the condition that the platform still
 * holds the generation it was made from, and settles a lost answer by reading
 * back. The result comes through `finished`, exactly once:
 *
 *     EB_ERROR_NONE         accepted and in force here
 *     EB_ERROR_CONFLICT     another change won; the message names its number
 *     EB_ERROR_UNAVAILABLE  not accepted, the platform can't be reached
 *     others                the document is not valid
 *
 * When a lost answer can't be settled within 10 s the result is
 * EB_ERROR_UNAVAILABLE with a message that says that it may have been
 * accepted; it is never in force here before that is known. */
typedef void (*EbGenerationFinished)(void *context, const EbError *error,
                                     uint64_t generation);

void EbGeneration_Change(EbGeneration *generation, const char *text,
                         size_t text_bytes, EbGenerationFinished finished,
                         void *context, int64_t now_us);

/* Reads the platform's object now, after a watch event or a gap. */
void EbGeneration_Refresh(EbGeneration *generation, int64_t now_us);

void EbGeneration_StoreReply(EbGeneration *generation,
                             const EbStoreReply *reply, int64_t now_us);

void EbGeneration_Tick(EbGeneration *generation, int64_t now_us);
int64_t EbGeneration_NextTimer(const EbGeneration *generation);

#endif
