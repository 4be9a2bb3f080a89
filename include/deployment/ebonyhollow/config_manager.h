/* EbConfigManager: the highest configuration generation this daemon has.
 *
 * Accepts documents from the platform, from peers and from an operator's
 * change, keeps the highest valid one and never goes back to a lower one. */
#ifndef EBONYHOLLOW_CONFIG_MANAGER_H
#define EBONYHOLLOW_CONFIG_MANAGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"

#define EB_CONFIG_OBJECT_KIND "configuration"
#define EB_CONFIG_OBJECT_NAME "current"
#define EB_CONFIG_POLL_US (60LL * 1000 * 1000)

typedef struct EbConfigManager EbConfigManager;

typedef enum {
    EB_CONFIG_APPLIED,
    EB_CONFIG_UNCHANGED,
    EB_CONFIG_STALE,   /* lower than the one in force */
    EB_CONFIG_INVALID, /* does not validate; the one in force stays */
    EB_CONFIG_RESULT_COUNT
} EbConfigResult;

extern const char *const EbConfigResult_names[EB_CONFIG_RESULT_COUNT];

typedef struct {
    const char *site;
    EbActionQueue *actions;
    const EbEventSink *events;
    /* Called with each configuration that comes into force. */
    void (*applied)(void *context, EbConfig *config, int64_t now_us);
    void *context;
} EbConfigManagerOptions;

EbConfigManager *EbConfigManager_New(const EbConfigManagerOptions *options);
void EbConfigManager_Free(EbConfigManager *manager);

/* Offers a document. `version` is the object's version when it came from the
 * platform, 0 otherwise. `source` names the origin for the log. */
EbConfigResult EbConfigManager_OfferDocument(
    EbConfigManager *manager, const char *text, size_t text_bytes,
    uint64_t version, const char *source, EbError *error, int64_t now_us);

/* Takes a configuration that a deployment's own reader made; it keeps a
 * reference. One of the generation in force replaces it, since its servers may
 * differ; one of a lower generation does not. */
EbConfigResult EbConfigManager_OfferConfig(EbConfigManager *manager,
                                           EbConfig *config,
                                           const char *source, int64_t now_us);

/* The configuration in force, or NULL before the first. Borrowed. */
EbConfig *EbConfigManager_Current(const EbConfigManager *manager);

/* Its document text, for peers that ask; NULL before the first. */
const char *EbConfigManager_Text(const EbConfigManager *manager,
                                 size_t *text_bytes);

uint64_t EbConfigManager_Generation(const EbConfigManager *manager);

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
typedef void (*EbConfigChangeFinished)(void *context, const EbError *error,
                                       uint64_t generation);

void EbConfigManager_SubmitChange(EbConfigManager *manager, const char *text,
                                  size_t text_bytes,
                                  EbConfigChangeFinished finished,
                                  void *context, int64_t now_us);

/* Reads the platform's object now, after a watch event or a gap. */
void EbConfigManager_Refresh(EbConfigManager *manager, int64_t now_us);

void EbConfigManager_StoreReply(EbConfigManager *manager,
                                const EbStoreReply *reply, int64_t now_us);

void EbConfigManager_Tick(EbConfigManager *manager, int64_t now_us);
int64_t EbConfigManager_NextTimer(const EbConfigManager *manager);

#endif
