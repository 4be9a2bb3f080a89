/* EbConfigManager: keeps the newest valid configuration and carries out
 * operators' changes.
 *
 * It accepts documents from the platform, from peers and from operators, keeps
 * the valid one with the highest generation and never goes back to a lower
 * generation. All times are in microseconds on the daemon's monotonic clock.
 */
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
/* Interval at which the platform's object is read, with or without a watch. */
#define EB_CONFIG_POLL_US (60LL * 1000 * 1000)

typedef struct EbConfigManager EbConfigManager;

typedef enum {
    EB_CONFIG_APPLIED,   /* in force now */
    EB_CONFIG_UNCHANGED, /* the same generation as the one in force */
    EB_CONFIG_STALE,     /* a lower generation than the one in force */
    EB_CONFIG_INVALID,   /* not valid; the one in force stays */
    EB_CONFIG_RESULT_COUNT
} EbConfigResult;

/* Names indexed by EbConfigResult. */
extern const char *const EbConfigResult_names[EB_CONFIG_RESULT_COUNT];

typedef struct {
    const char *site;          /* site of this daemon; copied */
    EbActionQueue *actions;    /* receives store operations; borrowed */
    const EbEventSink *events; /* copied; may be NULL */
    /* Called with each configuration that comes into force; may be NULL. The
     * callee takes its own reference if it keeps the configuration. */
    void (*applied)(void *context, EbConfig *config, int64_t now_us);
    void *context;
} EbConfigManagerOptions;

/* Returns a manager without a configuration, freed with EbConfigManager_Free.
 */
EbConfigManager *EbConfigManager_New(const EbConfigManagerOptions *options);

/* Frees the manager; a change in progress is dropped without a result. Accepts
 * NULL. */
void EbConfigManager_Free(EbConfigManager *manager);

/* Offers a configuration document.
 *
 * version: the object's version when it came from the platform, else 0.
 * source: where the document came from, for events and error messages.
 * error: set when the document is not valid; may be NULL. */
EbConfigResult EbConfigManager_OfferDocument(
    EbConfigManager *manager, const char *text, size_t text_bytes,
    uint64_t version, const char *source, EbError *error, int64_t now_us);

/* Offers a configuration that a platform adapter has read. The manager takes a
 * reference of its own. A configuration of the generation in force replaces
 * the current one, since its servers may differ, and the result is
 * EB_CONFIG_UNCHANGED. A lower generation is ignored. */
EbConfigResult EbConfigManager_OfferConfig(EbConfigManager *manager,
                                           EbConfig *config,
                                           const char *source, int64_t now_us);

/* Returns the configuration in force, or NULL before the first one. Borrowed.
 */
EbConfig *EbConfigManager_Current(const EbConfigManager *manager);

/* Returns the text of the document in force, for peers that request it, or
 * NULL before the first one. Borrowed. The text is empty if the configuration
 * came from a platform adapter. */
const char *EbConfigManager_Text(const EbConfigManager *manager,
                                 size_t *text_bytes);

/* Returns the generation in force, or 0 before the first one. */
uint64_t EbConfigManager_Generation(const EbConfigManager *manager);

/* Receives the result of an operator's change. `generation` is that of the
 * accepted change, or 0; `error` is valid during the call only. */
typedef void (*EbConfigChangeFinished)(void *context, const EbError *error,
                                       uint64_t generation);

/* Carries out an operator's change. The document's "generation" must be the
 * one in force plus one. It is written only if the platform still holds the
 * generation that the change is based on; if the reply is lost, the object is
 * read back to find out whether the write took effect.
 *
 * `finished` is called exactly once, possibly before this function returns,
 * with one of these error codes:
 *
 *     EB_ERROR_NONE         accepted and in force here
 *     EB_ERROR_CONFLICT     another change was accepted, whose generation the
 *                           message names, or one is still in progress here
 *     EB_ERROR_UNAVAILABLE  not accepted, the platform can't be reached
 *     others                the document is not valid
 *
 * A change ends after 10 s at the latest; the 10 s start again once, when the
 * reply to a write is lost. If it is still not known then whether the write
 * took effect, the result is EB_ERROR_UNAVAILABLE with a message that says
 * that the change may have been accepted. A change is never put into force
 * here before it is known to be accepted. */
void EbConfigManager_SubmitChange(EbConfigManager *manager, const char *text,
                                  size_t text_bytes,
                                  EbConfigChangeFinished finished,
                                  void *context, int64_t now_us);

/* Reads the platform's object now. To be called after a watch event and when a
 * watch has lost events. */
void EbConfigManager_Refresh(EbConfigManager *manager, int64_t now_us);

/* Handles the reply to a store operation of this manager. */
void EbConfigManager_StoreReply(EbConfigManager *manager,
                                const EbStoreReply *reply, int64_t now_us);

/* Runs what is due: the first read, polls, repeated reads and time-outs. */
void EbConfigManager_Tick(EbConfigManager *manager, int64_t now_us);

/* Returns when EbConfigManager_Tick has to be called next. */
int64_t EbConfigManager_NextTimer(const EbConfigManager *manager);

#endif
