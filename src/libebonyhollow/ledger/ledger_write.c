#include "ledger_private.h"

#include <assert.h>

#define ALLOWANCE_MICRO 1000000LL /* of one write */
#define ALLOWANCE_MAX_S 1
/* Peers that read the claim before its end was written ask for it shortly
 * after; later they find it in the store. */
#define WRITTEN_KEPT_US (60LL * 1000 * 1000)
#define WRITTEN_KEPT_MAX 1024

static const EbClaimState end_states[EB_OUTCOME_COUNT] = {
    [EB_OUTCOME_DONE] = EB_CLAIM_DONE,
    [EB_OUTCOME_NOT_RUN] = EB_CLAIM_VOID,
    [EB_OUTCOME_FAILED] = EB_CLAIM_OPEN,
    [EB_OUTCOME_UNKNOWN] = EB_CLAIM_UNKNOWN,
};

static void
send_write(EbLedger *ledger, Claim *claim)
{
    EbLedger_Send(
        ledger, claim, EB_STORE_UPDATE,
        EbLedgerObject_Encode(ledger, claim, end_states[claim->outcome]));
}

static void
defer_write(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    claim->retry_at_us = now_us + EbLedger_Backoff(ledger, claim->failures);
    claim->failures++;
    EbLedger_SetTimer(ledger, claim->retry_at_us);
}

void
EbLedger_SetWriteRate(EbLedger *ledger, uint32_t writes_per_s)
{
    ledger->options.writes_per_s = writes_per_s;
}

uint32_t
EbLedger_WriteRate(const EbLedger *ledger)
{
    return ledger->options.writes_per_s > 0 ? ledger->options.writes_per_s
                                            : EB_LEDGER_WRITES_PER_S;
}

void
EbLedger_StartWrite(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    if (ledger->unwritten >= EB_LEDGER_MAX_UNWRITTEN) {
        /* The object stays claimed by this daemon, which answers repeats
         * with the weaker outcome "unknown". */
        EB_EMIT(ledger->options.events, EB_EVENT_LEDGER_QUEUE_FULL,
                EB_STRING_FIELD("customer", claim->customer),
                EB_STRING_FIELD("key_digest", claim->key_digest));
        EbLedger_Remove(ledger, claim, now_us);
        return;
    }
    ledger->unwritten++;
    claim->failures = 0;
    if (ledger->store_failing) {
        /* Joins the rate-limited writes, so that the store is not met by a
         * burst when it answers again. */
        defer_write(ledger, claim, now_us);
        return;
    }
    send_write(ledger, claim);
}

static void
finish_write(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    assert(ledger->unwritten > 0);
    ledger->unwritten--;
    if (claim->outcome == EB_OUTCOME_FAILED) {
        /* Once released, another daemon may own the key: what is known here
         * is out of date. */
        EbLedger_Remove(ledger, claim, now_us);
        return;
    }
    claim->phase = CLAIM_WRITTEN;
    claim->give_up_us = now_us + WRITTEN_KEPT_US;
    g_queue_push_tail(&ledger->written, claim);
    EbLedger_SetTimer(ledger, claim->give_up_us);
    EbLedger_EvictWritten(ledger, now_us);
}

void
EbLedger_WriteReply(EbLedger *ledger, Claim *claim, const EbStoreReply *reply,
                    int64_t now_us)
{
    ledger->store_failing = reply->status == EB_STORE_LOST ||
                            reply->status == EB_STORE_UNAVAILABLE;
    switch (reply->status) {
    case EB_STORE_OK:
        finish_write(ledger, claim, now_us);
        return;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        /* Only the owner writes a claimed object, so the version moved on
         * through an own write whose answer was lost, or the object was
         * deleted by an operator. Either way there is nothing to write. */
        EB_EMIT(ledger->options.events, EB_EVENT_CLAIM_SETTLED,
                EB_STRING_FIELD("customer", claim->customer),
                EB_STRING_FIELD("key_digest", claim->key_digest),
                EB_STRING_FIELD("result",
                                claim->write_lost ? "written" : "changed"));
        finish_write(ledger, claim, now_us);
        return;
    case EB_STORE_LOST:
        claim->write_lost = true;
        defer_write(ledger, claim, now_us);
        return;
    default:
        defer_write(ledger, claim, now_us);
        return;
    }
}

/* Takes one deferred write from the token bucket. */
static bool
take_write(EbLedger *ledger, int64_t now_us)
{
    int64_t rate = EbLedger_WriteRate(ledger);
    int64_t passed_us = now_us - ledger->write_refill_us;
    int64_t room = rate * ALLOWANCE_MAX_S * ALLOWANCE_MICRO -
                   ledger->write_allowance_micro;
    int64_t refill = passed_us >= ALLOWANCE_MAX_S * 1000000LL
                         ? room
                         : MIN(room, passed_us * rate);
    ledger->write_allowance_micro += refill;
    ledger->write_refill_us = now_us;
    if (ledger->write_allowance_micro < ALLOWANCE_MICRO) {
        return false;
    }
    ledger->write_allowance_micro -= ALLOWANCE_MICRO;
    return true;
}

void
EbLedger_RetryWrite(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    if (take_write(ledger, now_us)) {
        send_write(ledger, claim);
        return;
    }
    claim->retry_at_us = now_us + EbLedger_Backoff(ledger, claim->failures);
    EbLedger_SetTimer(ledger, claim->retry_at_us);
}

void
EbLedger_EvictWritten(EbLedger *ledger, int64_t now_us)
{
    Claim *oldest = g_queue_peek_head(&ledger->written);
    while (oldest != NULL && (now_us >= oldest->give_up_us ||
                              ledger->written.length > WRITTEN_KEPT_MAX)) {
        g_queue_pop_head(&ledger->written);
        EbLedger_Remove(ledger, oldest, now_us);
        oldest = g_queue_peek_head(&ledger->written);
    }
}
