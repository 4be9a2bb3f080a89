#include "ledger_private.h"

#include <assert.h>

#define WRITE_TOKEN_MICRO 1000000LL /* cost of one write */
#define WRITE_BURST_S 1
/* A peer that read the object before the outcome was written asks for the
 * outcome shortly after. Later ones find it in the store. */
#define WRITTEN_LIFETIME_US (60LL * 1000 * 1000)
#define WRITTEN_MAX 1024

static const EbClaimState outcome_states[EB_OUTCOME_COUNT] = {
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
        EbLedgerObject_Encode(ledger, claim, outcome_states[claim->outcome]));
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
        /* The object in the store stays in state "claimed" with this daemon as
         * its owner, so that later requests with the key get the weaker
         * outcome "unknown". */
        EB_EMIT(ledger->options.events, EB_EVENT_LEDGER_QUEUE_FULL,
                EB_STRING_FIELD("customer", claim->customer),
                EB_STRING_FIELD("key_digest", claim->key_digest));
        EbLedger_Remove(ledger, claim, now_us);
        return;
    }
    ledger->unwritten++;
    claim->failures = 0;
    if (ledger->store_failing) {
        /* Deferred writes are rate-limited, so that a store that recovers does
         * not get a burst. */
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
        /* The key is released, so another daemon may own it now and the
         * local claim is out of date. */
        EbLedger_Remove(ledger, claim, now_us);
        return;
    }
    claim->phase = CLAIM_WRITTEN;
    claim->phase_deadline_us = now_us + WRITTEN_LIFETIME_US;
    g_queue_push_tail(&ledger->written, claim);
    EbLedger_SetTimer(ledger, claim->phase_deadline_us);
    EbLedger_EvictWritten(ledger, now_us);
}

void
EbLedger_HandleWriteReply(EbLedger *ledger, Claim *claim,
                          const EbStoreReply *reply, int64_t now_us)
{
    ledger->store_failing = reply->status == EB_STORE_LOST ||
                            reply->status == EB_STORE_UNAVAILABLE;
    switch (reply->status) {
    case EB_STORE_OK:
        finish_write(ledger, claim, now_us);
        return;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        /* Only the owner writes a claimed object. So either an earlier write
         * of this daemon took effect and its reply was lost, or an operator
         * deleted the object. Neither leaves anything to write. */
        EB_EMIT(ledger->options.events, EB_EVENT_CLAIM_SETTLED,
                EB_STRING_FIELD("customer", claim->customer),
                EB_STRING_FIELD("key_digest", claim->key_digest),
                EB_STRING_FIELD("result", claim->write_reply_lost
                                              ? "written"
                                              : "changed"));
        finish_write(ledger, claim, now_us);
        return;
    case EB_STORE_LOST:
        claim->write_reply_lost = true;
        defer_write(ledger, claim, now_us);
        return;
    default:
        defer_write(ledger, claim, now_us);
        return;
    }
}

/* Takes the token for one deferred write from the bucket. Returns false when
 * there is none. */
static bool
take_write_token(EbLedger *ledger, int64_t now_us)
{
    int64_t rate = EbLedger_WriteRate(ledger);
    int64_t elapsed_us = now_us - ledger->write_refill_us;
    int64_t missing_micro =
        rate * WRITE_BURST_S * WRITE_TOKEN_MICRO - ledger->write_tokens_micro;
    int64_t refill_micro = elapsed_us >= WRITE_BURST_S * 1000000LL
                               ? missing_micro
                               : MIN(missing_micro, elapsed_us * rate);
    ledger->write_tokens_micro += refill_micro;
    ledger->write_refill_us = now_us;
    if (ledger->write_tokens_micro < WRITE_TOKEN_MICRO) {
        return false;
    }
    ledger->write_tokens_micro -= WRITE_TOKEN_MICRO;
    return true;
}

void
EbLedger_RetryWrite(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    if (take_write_token(ledger, now_us)) {
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
    while (oldest != NULL && (now_us >= oldest->phase_deadline_us ||
                              ledger->written.length > WRITTEN_MAX)) {
        g_queue_pop_head(&ledger->written);
        EbLedger_Remove(ledger, oldest, now_us);
        oldest = g_queue_peek_head(&ledger->written);
    }
}
