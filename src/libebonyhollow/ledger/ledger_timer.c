/* Timers of the ledger: retries, time-outs of claims, evictions, sweeps. */
#include <glib.h>

#include "ledger_private.h"

static void
tick_claim(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    if (EbLedger_IsUnresolved(claim)) {
        bool result_due =
            !claim->answered && now_us >= claim->phase_deadline_us;
        bool cleanup_due =
            now_us >= claim->phase_deadline_us + ABANDONED_RESOLVE_US;
        if (result_due || cleanup_due) {
            uint64_t id = claim->id;
            EbLedger_TimeOutClaim(ledger, claim, now_us);
            if (g_hash_table_lookup(ledger->by_id, &id) == NULL) {
                return;
            }
        }
    }
    if (claim->retry_at_us != 0 && now_us >= claim->retry_at_us &&
        claim->operation == 0) {
        claim->retry_at_us = 0;
        EbLedger_RetryOperation(ledger, claim, now_us);
    }
}

static int64_t
next_claim_timer(const Claim *claim)
{
    int64_t timer_us = INT64_MAX;
    if (EbLedger_IsUnresolved(claim)) {
        timer_us = claim->answered
                       ? claim->phase_deadline_us + ABANDONED_RESOLVE_US
                       : claim->phase_deadline_us;
    }
    if (claim->retry_at_us != 0) {
        timer_us = MIN(timer_us, claim->retry_at_us);
    }
    return timer_us;
}

void
EbLedger_Tick(EbLedger *ledger, int64_t now_us)
{
    if (now_us < ledger->next_timer_us) {
        return;
    }
    EbLedger_EvictWritten(ledger, now_us);
    EbLedger_Sweep(ledger, now_us);
    GList *ids = g_hash_table_get_keys(ledger->by_id);
    GArray *due_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (GList *item = ids; item != NULL; item = item->next) {
        const Claim *claim = g_hash_table_lookup(ledger->by_id, item->data);
        if (next_claim_timer(claim) <= now_us) {
            g_array_append_val(due_ids, *(uint64_t *)item->data);
        }
    }
    g_list_free(ids);
    for (guint i = 0; i < due_ids->len; i++) {
        Claim *claim = g_hash_table_lookup(
            ledger->by_id, &g_array_index(due_ids, uint64_t, i));
        if (claim != NULL) {
            tick_claim(ledger, claim, now_us);
        }
    }
    g_array_free(due_ids, TRUE);
    ledger->next_timer_us = ledger->next_sweep_us;
    GHashTableIter iterator;
    gpointer claim;
    g_hash_table_iter_init(&iterator, ledger->by_id);
    while (g_hash_table_iter_next(&iterator, NULL, &claim)) {
        EbLedger_SetTimer(ledger, next_claim_timer(claim));
    }
    if (ledger->written.length > 0) {
        EbLedger_EvictWritten(ledger, now_us);
        const Claim *oldest = g_queue_peek_head(&ledger->written);
        if (oldest != NULL) {
            EbLedger_SetTimer(ledger, oldest->phase_deadline_us);
        }
    }
}

int64_t
EbLedger_NextTimer(const EbLedger *ledger)
{
    return ledger->next_timer_us;
}
