#include "ebonyhollow/config_manager.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>

/* Time limit for a change. It starts again when the reply to the write is
 * lost. */
#define CHANGE_TIMEOUT_US (10LL * 1000 * 1000)
#define REREAD_DELAY_US (200LL * 1000) /* between reads during a change */
/* First delay after a failed refresh; doubles up to EB_CONFIG_POLL_US. */
#define REFRESH_MIN_RETRY_US (1000LL * 1000)

const char *const EbConfigResult_names[EB_CONFIG_RESULT_COUNT] = {
    [EB_CONFIG_APPLIED] = "applied",
    [EB_CONFIG_UNCHANGED] = "same",
    [EB_CONFIG_STALE] = "stale",
    [EB_CONFIG_INVALID] = "invalid",
};

typedef enum { CHANGE_READING, CHANGE_WRITING, CHANGE_WAITING } ChangeState;

/* An operator's change that is not finished. */
typedef struct {
    EbConfig *config;
    char *text;
    size_t text_bytes;
    EbConfigChangeFinished finished;
    void *context;
    ChangeState state;
    uint64_t operation_id;
    bool may_have_applied; /* the reply to a write was lost */
    bool conflicted;       /* a write found another version */
    uint64_t base_version; /* version that the last write expected; 0: none */
    int64_t reread_us;     /* next read, in CHANGE_WAITING */
    int64_t deadline_us;
} Change;

struct EbConfigManager {
    char *site;
    EbActionQueue *actions;
    EbEventSink events;
    void (*applied)(void *context, EbConfig *config, int64_t now_us);
    void *context;
    EbConfig *current;
    char *text;
    size_t text_bytes;
    uint64_t last_operation_id;
    Change *change;
    uint64_t refresh_operation_id; /* 0 when no read is in progress */
    bool refresh_again;            /* requested while a read was in progress */
    int64_t refresh_us;            /* time of the next read */
    int64_t retry_delay_us;        /* 0 after a successful read */
};

EbConfigManager *
EbConfigManager_New(const EbConfigManagerOptions *options)
{
    EbConfigManager *manager = g_new0(EbConfigManager, 1);
    manager->site = g_strdup(options->site);
    manager->actions = options->actions;
    if (options->events != NULL) {
        manager->events = *options->events;
    }
    manager->applied = options->applied;
    manager->context = options->context;
    return manager;
}

static void
free_change(Change *change)
{
    if (change != NULL) {
        EbConfig_Unref(change->config);
        g_free(change->text);
        g_free(change);
    }
}

void
EbConfigManager_Free(EbConfigManager *manager)
{
    if (manager == NULL) {
        return;
    }
    free_change(manager->change);
    if (manager->current != NULL) {
        EbConfig_Unref(manager->current);
    }
    g_free(manager->text);
    g_free(manager->site);
    g_free(manager);
}

EbConfig *
EbConfigManager_Current(const EbConfigManager *manager)
{
    return manager->current;
}

const char *
EbConfigManager_Text(const EbConfigManager *manager, size_t *text_bytes)
{
    *text_bytes = manager->text_bytes;
    return manager->text;
}

uint64_t
EbConfigManager_Generation(const EbConfigManager *manager)
{
    return manager->current == NULL ? 0 : manager->current->generation;
}

static uint64_t
push_store(EbConfigManager *manager, EbStoreOperation operation,
           uint64_t version, json_t *value)
{
    manager->last_operation_id++;
    EbActionQueue_Push(
        manager->actions,
        &(EbAction){.kind = EB_ACTION_STORE,
                    .as.store = {.owner = EB_STORE_OWNER_CONFIG,
                                 .operation_id = manager->last_operation_id,
                                 .operation = operation,
                                 .kind = g_strdup(EB_CONFIG_OBJECT_KIND),
                                 .name = g_strdup(EB_CONFIG_OBJECT_NAME),
                                 .version = version,
                                 .value = json_incref(value)}});
    return manager->last_operation_id;
}

/* Ends the change. It is detached before the callback, which may submit the
 * next one. */
static void
finish_change(EbConfigManager *manager, const EbError *error)
{
    Change *change = manager->change;
    manager->change = NULL;
    change->finished(change->context, error,
                     error->code == EB_ERROR_NONE ? change->config->generation
                                                  : 0);
    free_change(change);
}

static void
fail_change(EbConfigManager *manager, EbErrorCode code, const char *message)
{
    EbError error = {0};
    EbError_Set(&error, code, "%s", message);
    finish_change(manager, &error);
}

static void
finish_with_conflict(EbConfigManager *manager, uint64_t accepted_generation)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_CONFLICT,
                "another change was accepted as generation %" PRIu64,
                accepted_generation);
    finish_change(manager, &error);
}

/* Ends a change whose write got no reply and whose generation has been
 * replaced. The later generation does not show whether the write took effect
 * first. */
static void
finish_replaced(EbConfigManager *manager, uint64_t accepted_generation)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_UNAVAILABLE,
                "generation %" PRIu64 " may have been accepted; generation "
                "%" PRIu64 " has replaced it",
                manager->change->config->generation, accepted_generation);
    finish_change(manager, &error);
}

static void
finish_unreachable(EbConfigManager *manager)
{
    const Change *change = manager->change;
    if (change->may_have_applied || change->state == CHANGE_WRITING) {
        fail_change(manager, EB_ERROR_UNAVAILABLE,
                    "the platform's reply was lost; the change may have "
                    "been accepted");
    }
    else if (change->conflicted) {
        finish_with_conflict(manager, change->config->generation);
    }
    else {
        fail_change(manager, EB_ERROR_UNAVAILABLE,
                    "the platform cannot be reached; the change was not "
                    "accepted");
    }
}

/* Puts a configuration into force and takes ownership of the reference. */
static void
apply_config(EbConfigManager *manager, EbConfig *config, const char *text,
             size_t text_bytes, const char *source, int64_t now_us)
{
    assert(config->generation > EbConfigManager_Generation(manager));
    if (manager->current != NULL) {
        EbConfig_Unref(manager->current);
    }
    manager->current = config;
    g_free(manager->text);
    manager->text = g_strndup(text, text_bytes);
    manager->text_bytes = text_bytes;
    EB_EMIT(&manager->events, EB_EVENT_CONFIGURATION_APPLIED,
            EB_INTEGER_FIELD("generation", config->generation),
            EB_STRING_FIELD("source", source));
    if (manager->applied != NULL) {
        manager->applied(manager->context, config, now_us);
    }
}

EbConfigResult
EbConfigManager_OfferConfig(EbConfigManager *manager, EbConfig *config,
                            const char *source, int64_t now_us)
{
    uint64_t current = EbConfigManager_Generation(manager);
    if (config->generation < current) {
        return EB_CONFIG_STALE;
    }
    if (config->generation > current) {
        apply_config(manager, EbConfig_Ref(config), "", 0, source, now_us);
        return EB_CONFIG_APPLIED;
    }
    EbConfig_Unref(manager->current);
    manager->current = EbConfig_Ref(config);
    if (manager->applied != NULL) {
        manager->applied(manager->context, config, now_us);
    }
    return EB_CONFIG_UNCHANGED;
}

static void
emit_rejected(EbConfigManager *manager, const char *text, size_t text_bytes,
              const EbError *error)
{
    char reason[EB_ERROR_MESSAGE_MAX_BYTES];
    EbError_Format(error, reason, sizeof(reason));
    json_t *document =
        text_bytes <= (size_t)EB_CONFIG_MAX_BYTES
            ? json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, NULL)
            : NULL;
    EB_EMIT(&manager->events, EB_EVENT_CONFIGURATION_REJECTED,
            EB_INTEGER_FIELD("generation", json_integer_value(json_object_get(
                                               document, "generation"))),
            EB_STRING_FIELD("error", reason));
    json_decref(document);
}

/* Ends the change if the configuration in force shows its result. Every
 * configuration in force was accepted by the platform, so it shows whether a
 * change to the same generation was accepted. */
static void
resolve_change(EbConfigManager *manager)
{
    const Change *change = manager->change;
    if (change == NULL || manager->current == NULL) {
        return;
    }
    uint64_t current = manager->current->generation;
    if (current < change->config->generation) {
        return;
    }
    if (current > change->config->generation) {
        if (!change->may_have_applied && change->state != CHANGE_WRITING) {
            finish_with_conflict(manager, current);
        }
        return;
    }
    if (json_equal(manager->current->document, change->config->document)) {
        finish_change(manager, &(EbError){.code = EB_ERROR_NONE});
    }
    else {
        finish_with_conflict(manager, current);
    }
}

/* Parses a document. Generations start at 1, since 0 means that there is no
 * configuration. */
static EbConfig *
parse_document(const EbConfigManager *manager, const char *text,
               size_t text_bytes, const char *source, EbError *error)
{
    EbConfig *config =
        EbConfig_Parse(text, text_bytes, manager->site, source, error);
    if (config != NULL && config->generation == 0) {
        EbConfig_Unref(config);
        EbError_SetPath(error, "$.generation");
        EbError_Set(error, EB_ERROR_RANGE, "generations start at 1");
        return NULL;
    }
    return config;
}

EbConfigResult
EbConfigManager_OfferDocument(EbConfigManager *manager, const char *text,
                              size_t text_bytes, uint64_t version,
                              const char *source, EbError *error,
                              int64_t now_us)
{
    (void)version;
    EbError local = {0};
    if (error == NULL) {
        error = &local;
    }
    EbConfig *config =
        parse_document(manager, text, text_bytes, source, error);
    if (config == NULL) {
        emit_rejected(manager, text, text_bytes, error);
        return EB_CONFIG_INVALID;
    }
    uint64_t current = EbConfigManager_Generation(manager);
    if (config->generation > current) {
        apply_config(manager, config, text, text_bytes, source, now_us);
        resolve_change(manager);
        return EB_CONFIG_APPLIED;
    }
    bool stale = config->generation < current;
    if (stale) {
        EB_EMIT(&manager->events, EB_EVENT_CONFIGURATION_STALE,
                EB_INTEGER_FIELD("generation", config->generation),
                EB_INTEGER_FIELD("current", current));
    }
    EbConfig_Unref(config);
    return stale ? EB_CONFIG_STALE : EB_CONFIG_UNCHANGED;
}

static void
offer_value(EbConfigManager *manager, json_t *value, uint64_t version,
            int64_t now_us)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    if (text != NULL) {
        EbConfigManager_OfferDocument(manager, text, strlen(text), version,
                                      "platform", NULL, now_us);
        free(text);
    }
}

static void
start_read(EbConfigManager *manager)
{
    Change *change = manager->change;
    change->state = CHANGE_READING;
    change->operation_id = push_store(manager, EB_STORE_GET, 0, NULL);
}

static void
start_write(EbConfigManager *manager, EbStoreOperation operation,
            uint64_t version)
{
    Change *change = manager->change;
    change->state = CHANGE_WRITING;
    change->base_version = version;
    change->operation_id =
        push_store(manager, operation, version, change->config->document);
}

static void
schedule_reread(EbConfigManager *manager, int64_t now_us)
{
    manager->change->state = CHANGE_WAITING;
    manager->change->reread_us = now_us + REREAD_DELAY_US;
}

/* Checks that a change has the generation after the one in force. */
static bool
check_generation(const EbConfigManager *manager, const EbConfig *config,
                 EbError *error)
{
    uint64_t current = EbConfigManager_Generation(manager);
    if (config->generation == current + 1) {
        return true;
    }
    EbError_SetPath(error, "$.generation");
    EbError_Set(error,
                config->generation <= current ? EB_ERROR_CONFLICT
                                              : EB_ERROR_RANGE,
                "generation %" PRIu64 " is in force; the next must be "
                "%" PRIu64 ", not %" PRIu64,
                current, current + 1, config->generation);
    return false;
}

void
EbConfigManager_SubmitChange(EbConfigManager *manager, const char *text,
                             size_t text_bytes,
                             EbConfigChangeFinished finished, void *context,
                             int64_t now_us)
{
    EbError error = {0};
    EbConfig *config = parse_document(manager, text, text_bytes, NULL, &error);
    if (config == NULL) {
        finished(context, &error, 0);
        return;
    }
    if (manager->change != NULL) {
        EbError_Set(&error, EB_ERROR_CONFLICT,
                    "a change to generation %" PRIu64 " is in progress",
                    manager->change->config->generation);
    }
    if (manager->change != NULL ||
        !check_generation(manager, config, &error)) {
        EbConfig_Unref(config);
        finished(context, &error, 0);
        return;
    }
    Change *change = g_new0(Change, 1);
    change->config = config;
    change->text = g_strndup(text, text_bytes);
    change->text_bytes = text_bytes;
    change->finished = finished;
    change->context = context;
    change->deadline_us = now_us + CHANGE_TIMEOUT_US;
    manager->change = change;
    start_read(manager);
}

/* Puts the accepted change into force and ends it. The callback for the
 * applied configuration may have ended it already. */
static void
accept_change(EbConfigManager *manager, int64_t now_us)
{
    Change *change = manager->change;
    if (change->config->generation > EbConfigManager_Generation(manager)) {
        apply_config(manager, EbConfig_Ref(change->config), change->text,
                     change->text_bytes, "operator", now_us);
    }
    if (manager->change == change) {
        finish_change(manager, &(EbError){.code = EB_ERROR_NONE});
    }
}

/* Writes the change if the platform holds the generation that it is based on.
 * After a conflict, a version not above the one that the write expected comes
 * from a stale read; the object is then read again later. */
static void
write_or_schedule_reread(EbConfigManager *manager, uint64_t stored_generation,
                         uint64_t version, int64_t now_us)
{
    const Change *change = manager->change;
    bool stale = change->conflicted && version <= change->base_version;
    if (stored_generation + 1 != change->config->generation || stale) {
        schedule_reread(manager, now_us);
        return;
    }
    start_write(manager, version == 0 ? EB_STORE_CREATE : EB_STORE_UPDATE,
                version);
}

static void
handle_read_value(EbConfigManager *manager, const EbStoreReply *reply,
                  int64_t now_us)
{
    Change *change = manager->change;
    if (json_equal(reply->value, change->config->document)) {
        accept_change(manager, now_us);
        return;
    }
    json_int_t stored_generation =
        json_integer_value(json_object_get(reply->value, "generation"));
    if (stored_generation < 0 ||
        (uint64_t)stored_generation < change->config->generation) {
        write_or_schedule_reread(
            manager, stored_generation < 0 ? 0 : (uint64_t)stored_generation,
            reply->version, now_us);
        return;
    }
    offer_value(manager, reply->value, reply->version, now_us);
    if (manager->change != change) {
        return;
    }
    if (change->may_have_applied &&
        (uint64_t)stored_generation > change->config->generation) {
        finish_replaced(manager, (uint64_t)stored_generation);
    }
    else {
        finish_with_conflict(manager, (uint64_t)stored_generation);
    }
}

static void
handle_read_reply(EbConfigManager *manager, const EbStoreReply *reply,
                  int64_t now_us)
{
    const Change *change = manager->change;
    bool unresolved = change->may_have_applied || change->conflicted;
    switch (reply->status) {
    case EB_STORE_OK:
        handle_read_value(manager, reply, now_us);
        break;
    case EB_STORE_NOT_FOUND:
        if (!unresolved && change->config->generation > 1) {
            fail_change(manager, EB_ERROR_UNAVAILABLE,
                        "the platform holds no configuration; the change "
                        "was not accepted");
        }
        else {
            write_or_schedule_reread(manager, 0, 0, now_us);
        }
        break;
    default:
        if (unresolved) {
            schedule_reread(manager, now_us);
        }
        else {
            finish_unreachable(manager);
        }
    }
}

static void
handle_write_reply(EbConfigManager *manager, const EbStoreReply *reply,
                   int64_t now_us)
{
    Change *change = manager->change;
    switch (reply->status) {
    case EB_STORE_OK:
        accept_change(manager, now_us);
        break;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        change->conflicted = true;
        start_read(manager);
        break;
    case EB_STORE_LOST:
        if (change->may_have_applied) {
            schedule_reread(manager, now_us);
            break;
        }
        change->may_have_applied = true;
        change->deadline_us = now_us + CHANGE_TIMEOUT_US;
        start_read(manager);
        break;
    default:
        if (change->may_have_applied) {
            schedule_reread(manager, now_us);
        }
        else {
            change->state = CHANGE_WAITING;
            finish_unreachable(manager);
        }
    }
}

static void
start_refresh(EbConfigManager *manager)
{
    manager->refresh_operation_id = push_store(manager, EB_STORE_GET, 0, NULL);
    manager->refresh_again = false;
    manager->refresh_us = INT64_MAX;
}

void
EbConfigManager_Refresh(EbConfigManager *manager, int64_t now_us)
{
    (void)now_us;
    if (manager->refresh_operation_id != 0) {
        manager->refresh_again = true;
        return;
    }
    start_refresh(manager);
}

static void
handle_refresh_reply(EbConfigManager *manager, const EbStoreReply *reply,
                     int64_t now_us)
{
    bool answered =
        reply->status == EB_STORE_OK || reply->status == EB_STORE_NOT_FOUND;
    int64_t backoff_us =
        MAX(REFRESH_MIN_RETRY_US, manager->retry_delay_us * 2);
    manager->retry_delay_us =
        answered ? 0 : MIN(backoff_us, EB_CONFIG_POLL_US);
    manager->refresh_us =
        now_us + (answered ? EB_CONFIG_POLL_US : manager->retry_delay_us);
    manager->refresh_operation_id = 0;
    if (reply->status == EB_STORE_OK) {
        offer_value(manager, reply->value, reply->version, now_us);
    }
    if (answered && manager->refresh_again &&
        manager->refresh_operation_id == 0) {
        start_refresh(manager);
    }
}

void
EbConfigManager_StoreReply(EbConfigManager *manager, const EbStoreReply *reply,
                           int64_t now_us)
{
    const Change *change = manager->change;
    if (reply->operation_id == manager->refresh_operation_id) {
        handle_refresh_reply(manager, reply, now_us);
    }
    else if (change != NULL && reply->operation_id == change->operation_id) {
        if (change->state == CHANGE_READING) {
            handle_read_reply(manager, reply, now_us);
        }
        else if (change->state == CHANGE_WRITING) {
            handle_write_reply(manager, reply, now_us);
        }
    }
}

void
EbConfigManager_Tick(EbConfigManager *manager, int64_t now_us)
{
    Change *change = manager->change;
    if (change != NULL && now_us >= change->deadline_us) {
        bool unresolved =
            change->may_have_applied || change->state == CHANGE_WRITING;
        finish_unreachable(manager);
        if (unresolved) {
            EbConfigManager_Refresh(manager, now_us);
        }
    }
    else if (change != NULL && change->state == CHANGE_WAITING &&
             now_us >= change->reread_us) {
        start_read(manager);
    }
    if (now_us >= manager->refresh_us) {
        start_refresh(manager);
    }
}

int64_t
EbConfigManager_NextTimer(const EbConfigManager *manager)
{
    const Change *change = manager->change;
    int64_t next_us = manager->refresh_us;
    if (change != NULL) {
        next_us = MIN(next_us, change->deadline_us);
        if (change->state == CHANGE_WAITING) {
            next_us = MIN(next_us, change->reread_us);
        }
    }
    return next_us;
}
