#include "ebonyhollow/generation.h"

#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#define SETTLE_US (10LL * 1000 * 1000)
#define REREAD_US (200LL * 1000)
#define REFRESH_RETRY_US (1000LL * 1000)

const char *const EbGenerationResult_names[EB_GENERATION_RESULT_COUNT] = {
    [EB_GENERATION_APPLIED] = "applied",
    [EB_GENERATION_SAME] = "same",
    [EB_GENERATION_STALE] = "stale",
    [EB_GENERATION_INVALID] = "invalid",
};

typedef enum { CHANGE_READING, CHANGE_WRITING, CHANGE_WAITING } ChangeStage;

/* An operator's change that is not finished. */
typedef struct {
    EbConfig *config;
    char *text;
    size_t text_bytes;
    EbGenerationFinished finished;
    void *context;
    ChangeStage stage;
    uint64_t operation_id;
    bool lost;             /* a write may have taken effect */
    bool refused;          /* a write met another version */
    uint64_t base_version; /* of the last write; 0 for a create */
    int64_t reread_us;
    int64_t deadline_us;
} Change;

struct EbGeneration {
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

EbGeneration *
EbGeneration_New(const EbGenerationOptions *options)
{
    EbGeneration *generation = g_new0(EbGeneration, 1);
    generation->site = g_strdup(options->site);
    generation->actions = options->actions;
    if (options->events != NULL) {
        generation->events = *options->events;
    }
    generation->applied = options->applied;
    generation->context = options->context;
    return generation;
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
EbGeneration_Free(EbGeneration *generation)
{
    if (generation == NULL) {
        return;
    }
    free_change(generation->change);
    if (generation->current != NULL) {
        EbConfig_Unref(generation->current);
    }
    g_free(generation->text);
    g_free(generation->site);
    g_free(generation);
}

EbConfig *
EbGeneration_Current(const EbGeneration *generation)
{
    return generation->current;
}

const char *
EbGeneration_Text(const EbGeneration *generation, size_t *text_bytes)
{
    *text_bytes = generation->text_bytes;
    return generation->text;
}

uint64_t
EbGeneration_Number(const EbGeneration *generation)
{
    return generation->current == NULL ? 0 : generation->current->generation;
}

static uint64_t
push_store(EbGeneration *generation, EbStoreOperation operation,
           uint64_t version, json_t *value)
{
    generation->last_operation_id++;
    EbActionQueue_Push(
        generation->actions,
        &(EbAction){.kind = EB_ACTION_STORE,
                    .as.store = {.owner = EB_STORE_OWNER_GENERATION,
                                 .operation_id = generation->last_operation_id,
                                 .operation = operation,
                                 .kind = g_strdup(EB_GENERATION_KIND),
                                 .name = g_strdup(EB_GENERATION_NAME),
                                 .version = version,
                                 .value = json_incref(value)}});
    return generation->last_operation_id;
}

/* Ends the change. The callback comes last, since it may start another. */
static void
finish_change(EbGeneration *generation, const EbError *error)
{
    Change *change = generation->change;
    generation->change = NULL;
    change->finished(change->context, error,
                     error->code == EB_ERROR_NONE ? change->config->generation
                                                  : 0);
    free_change(change);
}

static void
fail_change(EbGeneration *generation, EbErrorCode code, const char *message)
{
    EbError error = {0};
    EbError_Set(&error, code, "%s", message);
    finish_change(generation, &error);
}

static void
finish_won_by(EbGeneration *generation, uint64_t winner)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_CONFLICT,
                "another change won: generation %" PRIu64, winner);
    finish_change(generation, &error);
}

/* A later generation hides whether the lost write came before it. */
static void
finish_replaced(EbGeneration *generation, uint64_t winner)
{
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_UNAVAILABLE,
                "generation %" PRIu64 " may have been accepted; generation "
                "%" PRIu64 " has replaced it",
                generation->change->config->generation, winner);
    finish_change(generation, &error);
}

static void
finish_unreachable(EbGeneration *generation)
{
    const Change *change = generation->change;
    if (change->lost || change->stage == CHANGE_WRITING) {
        fail_change(generation, EB_ERROR_UNAVAILABLE,
                    "the platform's answer was lost; the change may have "
                    "been accepted");
    }
    else if (change->refused) {
        finish_won_by(generation, change->config->generation);
    }
    else {
        fail_change(generation, EB_ERROR_UNAVAILABLE,
                    "the platform can't be reached; the change was not "
                    "accepted");
    }
}

/* Puts a configuration into force; takes over the reference. */
static void
apply_config(EbGeneration *generation, EbConfig *config, const char *text,
             size_t text_bytes, const char *source, int64_t now_us)
{
    assert(config->generation > EbGeneration_Number(generation));
    if (generation->current != NULL) {
        EbConfig_Unref(generation->current);
    }
    generation->current = config;
    g_free(generation->text);
    generation->text = g_strndup(text, text_bytes);
    generation->text_bytes = text_bytes;
    EB_EMIT(&generation->events, EB_EVENT_CONFIGURATION_APPLIED,
            EB_INTEGER_FIELD("generation", config->generation),
            EB_STRING_FIELD("source", source));
    if (generation->applied != NULL) {
        generation->applied(generation->context, config, now_us);
    }
}

EbGenerationResult
EbGeneration_Adopt(EbGeneration *generation, EbConfig *config,
                   const char *source, int64_t now_us)
{
    uint64_t number = EbGeneration_Number(generation);
    if (config->generation < number) {
        return EB_GENERATION_STALE;
    }
    if (config->generation > number) {
        apply_config(generation, EbConfig_Ref(config), "", 0, source, now_us);
        return EB_GENERATION_APPLIED;
    }
    EbConfig_Unref(generation->current);
    generation->current = EbConfig_Ref(config);
    if (generation->applied != NULL) {
        generation->applied(generation->context, config, now_us);
    }
    return EB_GENERATION_SAME;
}

static void
emit_rejected(EbGeneration *generation, const char *text, size_t text_bytes,
              const EbError *error)
{
    char reason[EB_ERROR_MESSAGE_MAX_BYTES];
    EbError_Format(error, reason, sizeof(reason));
    json_t *document =
        text_bytes <= (size_t)EB_CONFIG_MAX_BYTES
            ? json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, NULL)
            : NULL;
    EB_EMIT(&generation->events, EB_EVENT_CONFIGURATION_REJECTED,
            EB_INTEGER_FIELD("generation", json_integer_value(json_object_get(
                                               document, "generation"))),
            EB_STRING_FIELD("error", reason));
    json_decref(document);
}

/* A configuration that is in force somewhere was accepted by the platform, so
 * it settles a change to the same generation. */
static void
settle_change(EbGeneration *generation)
{
    const Change *change = generation->change;
    if (change == NULL || generation->current == NULL) {
        return;
    }
    uint64_t number = generation->current->generation;
    if (number < change->config->generation) {
        return;
    }
    if (number > change->config->generation) {
        if (!change->lost && change->stage != CHANGE_WRITING) {
            finish_won_by(generation, number);
        }
        return;
    }
    if (json_equal(generation->current->document, change->config->document)) {
        finish_change(generation, &(EbError){.code = EB_ERROR_NONE});
    }
    else {
        finish_won_by(generation, number);
    }
}

/* Parses a document. Generations count from 1, since 0 stands for none. */
static EbConfig *
parse_document(const EbGeneration *generation, const char *text,
               size_t text_bytes, const char *source, EbError *error)
{
    EbConfig *config =
        EbConfig_Parse(text, text_bytes, generation->site, source, error);
    if (config != NULL && config->generation == 0) {
        EbConfig_Unref(config);
        EbError_SetPath(error, "$.generation");
        EbError_Set(error, EB_ERROR_RANGE, "generations count from 1");
        return NULL;
    }
    return config;
}

EbGenerationResult
EbGeneration_Offer(EbGeneration *generation, const char *text,
                   size_t text_bytes, uint64_t version, const char *source,
                   EbError *error, int64_t now_us)
{
    (void)version;
    EbError local = {0};
    if (error == NULL) {
        error = &local;
    }
    EbConfig *config =
        parse_document(generation, text, text_bytes, source, error);
    if (config == NULL) {
        emit_rejected(generation, text, text_bytes, error);
        return EB_GENERATION_INVALID;
    }
    uint64_t number = EbGeneration_Number(generation);
    if (config->generation > number) {
        apply_config(generation, config, text, text_bytes, source, now_us);
        settle_change(generation);
        return EB_GENERATION_APPLIED;
    }
    bool stale = config->generation < number;
    if (stale) {
        EB_EMIT(&generation->events, EB_EVENT_CONFIGURATION_STALE,
                EB_INTEGER_FIELD("generation", config->generation),
                EB_INTEGER_FIELD("current", number));
    }
    EbConfig_Unref(config);
    return stale ? EB_GENERATION_STALE : EB_GENERATION_SAME;
}

static void
offer_value(EbGeneration *generation, json_t *value, uint64_t version,
            int64_t now_us)
{
    char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
    if (text != NULL) {
        EbGeneration_Offer(generation, text, strlen(text), version, "platform",
                           NULL, now_us);
        free(text);
    }
}

static void
start_read(EbGeneration *generation)
{
    Change *change = generation->change;
    change->stage = CHANGE_READING;
    change->operation_id = push_store(generation, EB_STORE_GET, 0, NULL);
}

static void
start_write(EbGeneration *generation, EbStoreOperation operation,
            uint64_t version)
{
    Change *change = generation->change;
    change->stage = CHANGE_WRITING;
    change->base_version = version;
    change->operation_id =
        push_store(generation, operation, version, change->config->document);
}

static void
wait_and_reread(EbGeneration *generation, int64_t now_us)
{
    generation->change->stage = CHANGE_WAITING;
    generation->change->reread_us = now_us + REREAD_US;
}

/* Checks the number of a change against the one in force. */
static bool
check_number(const EbGeneration *generation, const EbConfig *config,
             EbError *error)
{
    uint64_t number = EbGeneration_Number(generation);
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
EbGeneration_Change(EbGeneration *generation, const char *text,
                    size_t text_bytes, EbGenerationFinished finished,
                    void *context, int64_t now_us)
{
    EbError error = {0};
    EbConfig *config =
        parse_document(generation, text, text_bytes, NULL, &error);
    if (config == NULL) {
        finished(context, &error, 0);
        return;
    }
    if (generation->change != NULL) {
        EbError_Set(&error, EB_ERROR_CONFLICT,
                    "a change to generation %" PRIu64 " is in progress",
                    generation->change->config->generation);
    }
    if (generation->change != NULL ||
        !check_number(generation, config, &error)) {
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
    generation->change = change;
    start_read(generation);
}

/* Puts the accepted change into force and ends it. */
static void
accept_change(EbGeneration *generation, int64_t now_us)
{
    Change *change = generation->change;
    if (change->config->generation > EbGeneration_Number(generation)) {
        apply_config(generation, EbConfig_Ref(change->config), change->text,
                     change->text_bytes, "operator", now_us);
    }
    if (generation->change == change) {
        finish_change(generation, &(EbError){.code = EB_ERROR_NONE});
    }
}

/* Writes when the platform holds the generation that the change was made
 * from. A version at which a write was refused already is a stale read. */
static void
write_or_reread(EbGeneration *generation, uint64_t held, uint64_t version,
                int64_t now_us)
{
    const Change *change = generation->change;
    bool stale = change->refused && version <= change->base_version;
    if (held + 1 != change->config->generation || stale) {
        wait_and_reread(generation, now_us);
        return;
    }
    start_write(generation, version == 0 ? EB_STORE_CREATE : EB_STORE_UPDATE,
                version);
}

static void
take_read_value(EbGeneration *generation, const EbStoreReply *reply,
                int64_t now_us)
{
    Change *change = generation->change;
    if (json_equal(reply->value, change->config->document)) {
        accept_change(generation, now_us);
        return;
    }
    json_int_t held =
        json_integer_value(json_object_get(reply->value, "generation"));
    if (held < 0 || (uint64_t)held < change->config->generation) {
        write_or_reread(generation, held < 0 ? 0 : (uint64_t)held,
                        reply->version, now_us);
        return;
    }
    offer_value(generation, reply->value, reply->version, now_us);
    if (generation->change != change) {
        return;
    }
    if (change->lost && (uint64_t)held > change->config->generation) {
        finish_replaced(generation, (uint64_t)held);
    }
    else {
        finish_won_by(generation, (uint64_t)held);
    }
}

static void
take_read(EbGeneration *generation, const EbStoreReply *reply, int64_t now_us)
{
    const Change *change = generation->change;
    bool settling = change->lost || change->refused;
    switch (reply->status) {
    case EB_STORE_OK:
        take_read_value(generation, reply, now_us);
        break;
    case EB_STORE_NOT_FOUND:
        if (!settling && change->config->generation > 1) {
            fail_change(generation, EB_ERROR_UNAVAILABLE,
                        "the platform holds no configuration; the change "
                        "was not accepted");
        }
        else {
            write_or_reread(generation, 0, 0, now_us);
        }
        break;
    default:
        if (settling) {
            wait_and_reread(generation, now_us);
        }
        else {
            finish_unreachable(generation);
        }
    }
}

static void
take_write(EbGeneration *generation, const EbStoreReply *reply, int64_t now_us)
{
    Change *change = generation->change;
    switch (reply->status) {
    case EB_STORE_OK:
        accept_change(generation, now_us);
        break;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        change->refused = true;
        start_read(generation);
        break;
    case EB_STORE_LOST:
        if (change->lost) {
            wait_and_reread(generation, now_us);
            break;
        }
        change->lost = true;
        change->deadline_us = now_us + SETTLE_US;
        start_read(generation);
        break;
    default:
        if (change->lost) {
            wait_and_reread(generation, now_us);
        }
        else {
            change->stage = CHANGE_WAITING;
            finish_unreachable(generation);
        }
    }
}

static void
start_refresh(EbGeneration *generation)
{
    generation->refresh_id = push_store(generation, EB_STORE_GET, 0, NULL);
    generation->refresh_again = false;
    generation->refresh_us = INT64_MAX;
}

void
EbGeneration_Refresh(EbGeneration *generation, int64_t now_us)
{
    (void)now_us;
    if (generation->refresh_id != 0) {
        generation->refresh_again = true;
        return;
    }
    start_refresh(generation);
}

static void
take_refresh(EbGeneration *generation, const EbStoreReply *reply,
             int64_t now_us)
{
    bool answered =
        reply->status == EB_STORE_OK || reply->status == EB_STORE_NOT_FOUND;
    int64_t longer_us = MAX(REFRESH_RETRY_US, generation->retry_wait_us * 2);
    generation->retry_wait_us =
        answered ? 0 : MIN(longer_us, EB_GENERATION_POLL_US);
    generation->refresh_us = now_us + (answered ? EB_GENERATION_POLL_US
                                                : generation->retry_wait_us);
    generation->refresh_id = 0;
    if (reply->status == EB_STORE_OK) {
        offer_value(generation, reply->value, reply->version, now_us);
    }
    if (answered && generation->refresh_again && generation->refresh_id == 0) {
        start_refresh(generation);
    }
}

void
EbGeneration_StoreReply(EbGeneration *generation, const EbStoreReply *reply,
                        int64_t now_us)
{
    const Change *change = generation->change;
    if (reply->operation_id == generation->refresh_id) {
        take_refresh(generation, reply, now_us);
    }
    else if (change != NULL && reply->operation_id == change->operation_id) {
        if (change->stage == CHANGE_READING) {
            take_read(generation, reply, now_us);
        }
        else if (change->stage == CHANGE_WRITING) {
            take_write(generation, reply, now_us);
        }
    }
}

void
EbGeneration_Tick(EbGeneration *generation, int64_t now_us)
{
    Change *change = generation->change;
    if (change != NULL && now_us >= change->deadline_us) {
        bool unsettled = change->lost || change->stage == CHANGE_WRITING;
        finish_unreachable(generation);
        if (unsettled) {
            EbGeneration_Refresh(generation, now_us);
        }
    }
    else if (change != NULL && change->stage == CHANGE_WAITING &&
             now_us >= change->reread_us) {
        start_read(generation);
    }
    if (now_us >= generation->refresh_us) {
        start_refresh(generation);
    }
}

int64_t
EbGeneration_NextTimer(const EbGeneration *generation)
{
    const Change *change = generation->change;
    int64_t next_us = generation->refresh_us;
    if (change != NULL) {
        next_us = MIN(next_us, change->deadline_us);
        if (change->stage == CHANGE_WAITING) {
            next_us = MIN(next_us, change->reread_us);
        }
    }
    return next_us;
}
