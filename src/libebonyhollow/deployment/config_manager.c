#include "ebonyhollow/config_manager.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#define SETTLE_US (10LL * 1000 * 1000)
#define REREAD_US (200LL * 1000)
#define REFRESH_RETRY_US (1000LL * 1000)

const char *const EbConfigResult_names[EB_CONFIG_RESULT_COUNT] = {
    [EB_CONFIG_APPLIED] = "applied",
    [EB_CONFIG_UNCHANGED] = "same",
    [EB_CONFIG_STALE] = "stale",
    [EB_CONFIG_INVALID] = "invalid",
};

typedef enum { CHANGE_READING, CHANGE_WRITING, CHANGE_WAITING } ChangeStage;

/* An operator's change that is not finished. */
typedef struct {
    EbConfig *config;
    char *text;
    size_t text_bytes;
    EbConfigChangeFinished finished;
    void *context;
    ChangeStage stage;
    uint64_t operation_id;
    bool lost;             /* a write may have taken effect */
    bool refused;          /* a write met another version */
    uint64_t base_version; /* of the last write; 0 for a create */
    int64_t reread_us;
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
    uint64_t refresh_id;   /* 0 when no read is under way */
    bool refresh_again;    /* asked for while one was under way */
    int64_t refresh_us;    /* next read of the platform */
    int64_t retry_wait_us; /* 0 after a successful read */
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

/* Ends the change. The callback comes last, since it may start another. */
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
finish_won_by(EbConfigManager *manager, uint64_t winner)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_CONFLICT,
                "another change won: generation %" PRIu64, winner);
    finish_change(manager, &error);
}

/* A later generation hides whether the lost write came before it. */
static void
finish_replaced(EbConfigManager *manager, uint64_t winner)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_UNAVAILABLE,
                "generation %" PRIu64 " may have been accepted; generation "
                "%" PRIu64 " has replaced it",
                manager->change->config->generation, winner);
    finish_change(manager, &error);
}

static void
finish_unreachable(EbConfigManager *manager)
{
    const Change *change = manager->change;
    if (change->lost || change->stage == CHANGE_WRITING) {
        fail_change(manager, EB_ERROR_UNAVAILABLE,
                    "the platform's answer was lost; the change may have "
                    "been accepted");
    }
    else if (change->refused) {
        finish_won_by(manager, change->config->generation);
    }
    else {
        fail_change(manager, EB_ERROR_UNAVAILABLE,
                    "the platform can't be reached; the change was not "
                    "accepted");
    }
}

/* Puts a configuration into force; takes over the reference. */
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
    uint64_t number = EbConfigManager_Generation(manager);
    if (config->generation < number) {
        return EB_CONFIG_STALE;
    }
    if (config->generation > number) {
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

/* A configuration that is in force somewhere was accepted by the platform, so
 * it settles a change to the same generation. */
static void
settle_change(EbConfigManager *manager)
{
    const Change *change = manager->change;
    if (change == NULL || manager->current == NULL) {
        return;
    }
    uint64_t number = manager->current->generation;
    if (number < change->config->generation) {
        return;
    }
    if (number > change->config->generation) {
        if (!change->lost && change->stage != CHANGE_WRITING) {
            finish_won_by(manager, number);
        }
        return;
    }
    if (json_equal(manager->current->document, change->config->document)) {
        finish_change(manager, &(EbError){.code = EB_ERROR_NONE});
    }
    else {
        finish_won_by(manager, number);
    }
}

/* Parses a document. Generations count from 1, since 0 stands for none. */
static EbConfig *
parse_document(const EbConfigManager *manager, const char *text,
               size_t text_bytes, const char *source, EbError *error)
{
    EbConfig *config =
        EbConfig_Parse(text, text_bytes, manager->site, source, error);
    if (config != NULL && config->generation == 0) {
        EbConfig_Unref(config);
        EbError_SetPath(error, "$.generation");
        EbError_Set(error, EB_ERROR_RANGE, "generations count from 1");
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
    uint64_t number = EbConfigManager_Generation(manager);
    if (config->generation > number) {
        apply_config(manager, config, text, text_bytes, source, now_us);
        settle_change(manager);
        return EB_CONFIG_APPLIED;
    }
    bool stale = config->generation < number;
    if (stale) {
        EB_EMIT(&manager->events, EB_EVENT_CONFIGURATION_STALE,
                EB_INTEGER_FIELD("generation", config->generation),
                EB_INTEGER_FIELD("current", number));
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
    change->stage = CHANGE_READING;
    change->operation_id = push_store(manager, EB_STORE_GET, 0, NULL);
}

static void
start_write(EbConfigManager *manager, EbStoreOperation operation,
            uint64_t version)
{
    Change *change = manager->change;
    change->stage = CHANGE_WRITING;
    change->base_version = version;
    change->operation_id =
        push_store(manager, operation, version, change->config->document);
}

static void
wait_and_reread(EbConfigManager *manager, int64_t now_us)
{
    manager->change->stage = CHANGE_WAITING;
    manager->change->reread_us = now_us + REREAD_US;
}

/* Checks the number of a change against the one in force. */
static bool
check_number(const EbConfigManager *manager, const EbConfig *config,
             EbError *error)
{
    uint64_t number = EbConfigManager_Generation(manager);
    if (config->generation == number + 1) {
        return true;
    }
    EbError_SetPath(error, "$.generation");
    EbError_Set(error,
                config->generation <= number ? EB_ERROR_CONFLICT
                                             : EB_ERROR_RANGE,
                "generation %" PRIu64 " is in force; the next must be "
                "%" PRIu64 ", not %" PRIu64,
                number, number + 1, config->generation);
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
    if (manager->change != NULL || !check_number(manager, config, &error)) {
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
    change->deadline_us = now_us + SETTLE_US;
    manager->change = change;
    start_read(manager);
}

/* Puts the accepted change into force and ends it. */
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

/* Writes when the platform holds the generation that the change was made
 * from. A version at which a write was refused already is a stale read. */
static void
write_or_reread(EbConfigManager *manager, uint64_t held, uint64_t version,
                int64_t now_us)
{
    const Change *change = manager->change;
    bool stale = change->refused && version <= change->base_version;
    if (held + 1 != change->config->generation || stale) {
        wait_and_reread(manager, now_us);
        return;
    }
    start_write(manager, version == 0 ? EB_STORE_CREATE : EB_STORE_UPDATE,
                version);
}

static void
take_read_value(EbConfigManager *manager, const EbStoreReply *reply,
                int64_t now_us)
{
    Change *change = manager->change;
    if (json_equal(reply->value, change->config->document)) {
        accept_change(manager, now_us);
        return;
    }
    json_int_t held =
        json_integer_value(json_object_get(reply->value, "generation"));
    if (held < 0 || (uint64_t)held < change->config->generation) {
        write_or_reread(manager, held < 0 ? 0 : (uint64_t)held, reply->version,
                        now_us);
        return;
    }
    offer_value(manager, reply->value, reply->version, now_us);
    if (manager->change != change) {
        return;
    }
    if (change->lost && (uint64_t)held > change->config->generation) {
        finish_replaced(manager, (uint64_t)held);
    }
    else {
        finish_won_by(manager, (uint64_t)held);
    }
}

static void
take_read(EbConfigManager *manager, const EbStoreReply *reply, int64_t now_us)
{
    const Change *change = manager->change;
    bool settling = change->lost || change->refused;
    switch (reply->status) {
    case EB_STORE_OK:
        take_read_value(manager, reply, now_us);
        break;
    case EB_STORE_NOT_FOUND:
        if (!settling && change->config->generation > 1) {
            fail_change(manager, EB_ERROR_UNAVAILABLE,
                        "the platform holds no configuration; the change "
                        "was not accepted");
        }
        else {
            write_or_reread(manager, 0, 0, now_us);
        }
        break;
    default:
        if (settling) {
            wait_and_reread(manager, now_us);
        }
        else {
            finish_unreachable(manager);
        }
    }
}

static void
take_write(EbConfigManager *manager, const EbStoreReply *reply, int64_t now_us)
{
    Change *change = manager->change;
    switch (reply->status) {
    case EB_STORE_OK:
        accept_change(manager, now_us);
        break;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        change->refused = true;
        start_read(manager);
        break;
    case EB_STORE_LOST:
        if (change->lost) {
            wait_and_reread(manager, now_us);
            break;
        }
        change->lost = true;
        change->deadline_us = now_us + SETTLE_US;
        start_read(manager);
        break;
    default:
        if (change->lost) {
            wait_and_reread(manager, now_us);
        }
        else {
            change->stage = CHANGE_WAITING;
            finish_unreachable(manager);
        }
    }
}

static void
start_refresh(EbConfigManager *manager)
{
    manager->refresh_id = push_store(manager, EB_STORE_GET, 0, NULL);
    manager->refresh_again = false;
    manager->refresh_us = INT64_MAX;
}

void
EbConfigManager_Refresh(EbConfigManager *manager, int64_t now_us)
{
    (void)now_us;
    if (manager->refresh_id != 0) {
        manager->refresh_again = true;
        return;
    }
    start_refresh(manager);
}

static void
take_refresh(EbConfigManager *manager, const EbStoreReply *reply,
             int64_t now_us)
{
    bool answered =
        reply->status == EB_STORE_OK || reply->status == EB_STORE_NOT_FOUND;
    int64_t longer_us = MAX(REFRESH_RETRY_US, manager->retry_wait_us * 2);
    manager->retry_wait_us = answered ? 0 : MIN(longer_us, EB_CONFIG_POLL_US);
    manager->refresh_us =
        now_us + (answered ? EB_CONFIG_POLL_US : manager->retry_wait_us);
    manager->refresh_id = 0;
    if (reply->status == EB_STORE_OK) {
        offer_value(manager, reply->value, reply->version, now_us);
    }
    if (answered && manager->refresh_again && manager->refresh_id == 0) {
        start_refresh(manager);
    }
}

void
EbConfigManager_StoreReply(EbConfigManager *manager, const EbStoreReply *reply,
                           int64_t now_us)
{
    const Change *change = manager->change;
    if (reply->operation_id == manager->refresh_id) {
        take_refresh(manager, reply, now_us);
    }
    else if (change != NULL && reply->operation_id == change->operation_id) {
        if (change->stage == CHANGE_READING) {
            take_read(manager, reply, now_us);
        }
        else if (change->stage == CHANGE_WRITING) {
            take_write(manager, reply, now_us);
        }
    }
}

void
EbConfigManager_Tick(EbConfigManager *manager, int64_t now_us)
{
    Change *change = manager->change;
    if (change != NULL && now_us >= change->deadline_us) {
        bool unsettled = change->lost || change->stage == CHANGE_WRITING;
        finish_unreachable(manager);
        if (unsettled) {
            EbConfigManager_Refresh(manager, now_us);
        }
    }
    else if (change != NULL && change->stage == CHANGE_WAITING &&
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
        if (change->stage == CHANGE_WAITING) {
            next_us = MIN(next_us, change->reread_us);
        }
    }
    return next_us;
}
