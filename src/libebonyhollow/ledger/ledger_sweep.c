#include "ledger_private.h"

#include <string.h>

/* Mean time between listings at the default write rate. */
#define SWEEP_INTERVAL_US (60LL * 1000 * 1000)
/* Margin for clocks that differ between instances. If a claim were deleted too
 * early, a request with its key could run again. */
#define CLOCK_MARGIN_US (3600LL * 1000 * 1000)
/* Expired objects that wait to be deleted; a later listing finds the rest. */
#define EXPIRED_MAX 256
/* 5 deletes per second at the default write rate, a tenth of that rate. */
#define DELETE_INTERVAL_US (200LL * 1000)

static void
free_expired(gpointer pointer)
{
    ExpiredObject *object = pointer;
    g_free(object->kind);
    g_free(object->name);
    g_free(object);
}

void
EbLedger_FreeExpired(EbLedger *ledger)
{
    ExpiredObject *object;
    while ((object = g_queue_pop_head(&ledger->expired)) != NULL) {
        free_expired(object);
    }
}

static uint64_t
push_operation(EbLedger *ledger, EbStoreOperation operation, char *kind,
               char *name, uint64_t version)
{
    uint64_t id = ++ledger->next_operation;
    EbActionQueue_Push(ledger->options.actions,
                       &(EbAction){.kind = EB_ACTION_STORE,
                                   .as.store = {
                                       .owner = EB_STORE_OWNER_LEDGER,
                                       .operation_id = id,
                                       .operation = operation,
                                       .kind = kind,
                                       .name = name,
                                       .version = version,
                                   }});
    return id;
}

static void
delete_next(EbLedger *ledger)
{
    ExpiredObject *object = g_queue_pop_head(&ledger->expired);
    ledger->delete_operation =
        push_operation(ledger, EB_STORE_DELETE, g_strdup(object->kind),
                       g_strdup(object->name), object->version);
    free_expired(object);
}

static void
list_next_kind(EbLedger *ledger)
{
    char *kind = g_strdup_printf("claims-%0*x", EB_LEDGER_KIND_HEX_DIGITS,
                                 (unsigned)ledger->sweep_kind);
    ledger->sweep_kind = (ledger->sweep_kind + 1) % EB_LEDGER_KIND_COUNT;
    ledger->sweep_operation =
        push_operation(ledger, EB_STORE_LIST, kind, g_strdup(""), 0);
}

/* Schedules the next listing or delete. Intervals grow as the write rate
 * falls, so that the total of all daemons does not grow with their number.
 * Jitter keeps daemons from listing at the same time. */
static void
schedule_sweep(EbLedger *ledger, int64_t interval_us, int64_t now_us)
{
    interval_us =
        interval_us * EB_LEDGER_WRITES_PER_S / EbLedger_WriteRate(ledger);
    uint64_t jitter_us =
        EbRandom_Below(ledger->options.random, (uint64_t)interval_us);
    ledger->next_sweep_us = now_us + interval_us / 2 + (int64_t)jitter_us;
    EbLedger_SetTimer(ledger, ledger->next_sweep_us);
}

void
EbLedger_Sweep(EbLedger *ledger, int64_t now_us)
{
    if (ledger->options.wall_clock_us == NULL) {
        ledger->next_sweep_us = INT64_MAX;
        return;
    }
    if (ledger->next_sweep_us == 0) {
        /* Daemons start at random kinds, so that together they cover all
         * kinds sooner. */
        ledger->sweep_kind = (uint32_t)EbRandom_Below(ledger->options.random,
                                                      EB_LEDGER_KIND_COUNT);
        schedule_sweep(ledger, SWEEP_INTERVAL_US, now_us);
    }
    if (now_us < ledger->next_sweep_us) {
        return;
    }
    bool busy = ledger->sweep_operation != 0 || ledger->delete_operation != 0;
    if (!busy && ledger->expired.length > 0) {
        delete_next(ledger);
    }
    else if (!busy) {
        list_next_kind(ledger);
    }
    schedule_sweep(ledger,
                   ledger->expired.length > 0 ? DELETE_INTERVAL_US
                                              : SWEEP_INTERVAL_US,
                   now_us);
}

static void
collect_expired(EbLedger *ledger, json_t *value)
{
    int64_t expired_before_us =
        ledger->options.wall_clock_us(ledger->options.context) -
        EB_LEDGER_RETENTION_US - CLOCK_MARGIN_US;
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(value, "items"), index, item)
    {
        ClaimObject object;
        const char *name = json_string_value(json_object_get(item, "name"));
        json_t *content = json_object_get(item, "value");
        if (ledger->expired.length >= EXPIRED_MAX || name == NULL ||
            !EbLedgerObject_Decode(content, &object) ||
            object.created_us >= expired_before_us) {
            continue;
        }
        const char *digest = strrchr(name, '.');
        if (digest == NULL) {
            continue;
        }
        ExpiredObject *expired = g_new0(ExpiredObject, 1);
        expired->kind = EbLedger_ObjectKind(digest + 1);
        expired->name = g_strdup(name);
        expired->version =
            (uint64_t)json_integer_value(json_object_get(item, "version"));
        g_queue_push_tail(&ledger->expired, expired);
    }
}

bool
EbLedger_HandleSweepReply(EbLedger *ledger, const EbStoreReply *reply,
                          int64_t now_us)
{
    if (reply->operation_id == ledger->delete_operation) {
        ledger->delete_operation = 0;
        return true;
    }
    if (reply->operation_id != ledger->sweep_operation) {
        return false;
    }
    ledger->sweep_operation = 0;
    if (reply->status == EB_STORE_OK) {
        collect_expired(ledger, reply->value);
    }
    if (ledger->expired.length > 0) {
        schedule_sweep(ledger, DELETE_INTERVAL_US, now_us);
    }
    return true;
}
