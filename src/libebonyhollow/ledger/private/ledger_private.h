/* Declarations shared by the source files of the ledger. */
#ifndef EB_LEDGER_PRIVATE_H
#define EB_LEDGER_PRIVATE_H

#include <glib.h>

#include "ebonyhollow/ledger.h"

#define EB_NONCE_HEX_BYTES 33
#define EB_BODY_DIGEST_HEX_BYTES 33

/* Phase of a claim in this daemon. */
typedef enum {
    CLAIM_WAITING,   /* until an earlier claim on the key is released */
    CLAIM_CREATING,  /* conditional create sent */
    CLAIM_READING,   /* reading the object to learn whose it is */
    CLAIM_REOPENING, /* conditional update of an open object sent */
    CLAIM_OWNED,     /* confirmed */
    CLAIM_WRITING,   /* finished; its outcome is being written */
    CLAIM_WRITTEN,   /* kept for a while to answer peers */
    CLAIM_PHASE_COUNT
} ClaimPhase;

typedef struct {
    uint64_t id;
    ClaimPhase phase;
    char *name; /* of the object: customer and key digest */
    char *customer;
    char key_digest[EB_KEY_DIGEST_HEX_BYTES];
    char body_digest[EB_BODY_DIGEST_HEX_BYTES];
    char nonce[EB_NONCE_HEX_BYTES];
    uint64_t version;   /* of the object, once known */
    uint64_t operation; /* outstanding store operation, or 0 */
    int64_t created_wall_us;
    int64_t hold_until_us;
    int64_t phase_deadline_us; /* when a result is due; of a written claim,
                                  when it is evicted */
    int64_t retry_at_us;       /* when to retry the phase's operation, or 0 */
    uint32_t failures;         /* consecutive, of the phase's operation */
    bool answered;         /* the result was queued, or nobody waits for it */
    bool reopened;         /* an earlier claim released the key */
    bool may_have_applied; /* the reply to a claiming write was lost */
    bool write_reply_lost; /* the reply to a write of the outcome was lost */
    EbOutcome outcome;     /* set once finished, as are reason and body */
    EbReason reason;
    json_t *body;
} Claim;

struct EbLedger {
    EbLedgerOptions options;
    char *instance;
    char *peer_address;
    GHashTable *by_id;        /* Claim.id to Claim, owns the claims */
    GHashTable *by_name;      /* name to the Claim on it that is not waiting */
    GHashTable *by_operation; /* operation id to Claim */
    GQueue waiting;           /* claims in phase CLAIM_WAITING */
    GQueue results;           /* of EbLedgerResult */
    GQueue written;           /* claims in phase CLAIM_WRITTEN, oldest first */
    GQueue expired;           /* of ExpiredObject: to delete */
    uint64_t next_id;
    uint64_t next_operation;
    size_t unwritten;      /* claims in phase CLAIM_WRITING */
    bool store_failing;    /* the last write of an outcome was not confirmed */
    int64_t next_timer_us; /* lower bound of the timers */
    int64_t write_tokens_micro; /* bucket that limits deferred writes */
    int64_t write_refill_us;
    int64_t next_sweep_us;
    uint32_t sweep_kind; /* index of the next kind to list */
    uint64_t sweep_operation;
    uint64_t delete_operation;
};

/* An object to delete because its retention time has passed. */
typedef struct {
    char *kind;
    char *name;
    uint64_t version;
} ExpiredObject;

/* Fields of a claim object as read from the store. */
typedef struct {
    EbClaimState state;
    const char *nonce;
    const char *body_digest;
    const char *instance;
    uint64_t incarnation;
    const char *address;
    int64_t created_us;
    EbOutcome outcome;
    EbReason reason;
    json_t *body; /* borrowed */
} ClaimObject;

/* Time for which the ledger goes on resolving a claim that nobody waits for
 * any more, so that a write that takes effect late does not leave the key
 * held. */
#define ABANDONED_RESOLVE_US (30LL * 1000 * 1000)

/* Whether the store has not yet said who owns the key. */
static inline bool
EbLedger_IsUnresolved(const Claim *claim)
{
    return claim->phase < CLAIM_OWNED;
}

/* ledger_object.c */

/* Returns a new reference to the value of the claim's object. */
json_t *EbLedgerObject_Encode(const EbLedger *ledger, const Claim *claim,
                              EbClaimState state);

/* Returns false when the value is not a claim object. Strings and the body are
 * borrowed from `value`. */
bool EbLedgerObject_Decode(json_t *value, ClaimObject *object);

/* ledger.c */

/* Sends a store operation on the claim's object. Takes over the reference to
 * `value`. */
void EbLedger_Send(EbLedger *ledger, Claim *claim, EbStoreOperation operation,
                   json_t *value);

/* Makes sure that EbLedger_Tick runs at `time_us` at the latest. */
void EbLedger_SetTimer(EbLedger *ledger, int64_t time_us);

/* Frees a claim and starts the next one that waits for its key. */
void EbLedger_Remove(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Returns the delay in microseconds before a retry after `failures` earlier
 * failures: exponential, with full jitter. */
int64_t EbLedger_Backoff(EbLedger *ledger, uint32_t failures);

/* Repeats the store operation of the claim's phase. */
void EbLedger_RetryOperation(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Queues UNAVAILABLE as the result of a claim that the store did not resolve
 * in time. Goes on resolving a claim whose write may have taken effect, up to
 * ABANDONED_RESOLVE_US. */
void EbLedger_TimeOutClaim(EbLedger *ledger, Claim *claim, int64_t now_us);

/* ledger_write.c */

/* Default of EbLedgerOptions.writes_per_s. */
#define EB_LEDGER_WRITES_PER_S 50

/* Returns this daemon's limit on deferred writes per second. */
uint32_t EbLedger_WriteRate(const EbLedger *ledger);

/* Writes the outcome of a finished claim, or defers the write while the store
 * is failing. */
void EbLedger_StartWrite(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Handles the reply to the write of an outcome. */
void EbLedger_HandleWriteReply(EbLedger *ledger, Claim *claim,
                               const EbStoreReply *reply, int64_t now_us);

/* Sends a deferred write that is due, or defers it again when the write rate
 * is used up. */
void EbLedger_RetryWrite(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Removes written claims that are too old or too many. */
void EbLedger_EvictWritten(EbLedger *ledger, int64_t now_us);

/* ledger_sweep.c */

/* Lists the claims of the next kind or deletes the next expired object, when
 * it is time. */
void EbLedger_Sweep(EbLedger *ledger, int64_t now_us);

/* Returns true when the reply belonged to the sweep. */
bool EbLedger_HandleSweepReply(EbLedger *ledger, const EbStoreReply *reply,
                               int64_t now_us);

void EbLedger_FreeExpired(EbLedger *ledger);

#endif
