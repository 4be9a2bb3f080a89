/* Shared by the files of the ledger: claims in memory and their objects. */
#ifndef EB_LEDGER_PRIVATE_H
#define EB_LEDGER_PRIVATE_H

#include <glib.h>

#include "ebonyhollow/ledger.h"

#define EB_NONCE_HEX_BYTES 33
#define EB_BODY_DIGEST_HEX_BYTES 33

/* Life of a claim in this daemon. */
typedef enum {
    CLAIM_WAITING,   /* behind the release of an earlier claim on the key */
    CLAIM_CREATING,  /* conditional create sent */
    CLAIM_READING,   /* reading the object to settle or to see its owner */
    CLAIM_REOPENING, /* conditional update of an open object sent */
    CLAIM_OWNED,     /* confirmed */
    CLAIM_WRITING,   /* finished, its end is being written */
    CLAIM_WRITTEN,   /* kept for a while for peers that ask */
    CLAIM_PHASE_COUNT
} ClaimPhase;

typedef struct {
    uint64_t id;
    ClaimPhase phase;
    char *name; /* customer and key digest: the object's name */
    char *customer;
    char key_digest[EB_KEY_DIGEST_HEX_BYTES];
    char body_digest[EB_BODY_DIGEST_HEX_BYTES];
    char nonce[EB_NONCE_HEX_BYTES];
    uint64_t version;   /* of the object, once it is known */
    uint64_t operation; /* outstanding store operation, or 0 */
    int64_t created_wall_us;
    int64_t hold_until_us;
    int64_t give_up_us;    /* the result is due by then */
    int64_t retry_at_us;   /* next try of the phase's operation, or 0 */
    uint32_t failures;     /* of the phase's operation, in a row */
    bool answered;         /* the result was given, or nobody wants it */
    bool reopened;         /* an earlier claim released the key */
    bool may_have_applied; /* an unanswered write may have made it ours */
    bool write_lost;       /* an unanswered end may have been written */
    EbOutcome outcome;     /* of a finished claim */
    EbReason reason;
    json_t *body;
} Claim;

struct EbLedger {
    EbLedgerOptions options;
    char *instance;
    char *peer_address;
    GHashTable *by_id;        /* Claim.id to Claim, owns the claims */
    GHashTable *by_name;      /* name to the Claim that occupies the key */
    GHashTable *by_operation; /* operation id to Claim */
    GQueue waiting;           /* claims in phase CLAIM_WAITING */
    GQueue results;           /* of EbLedgerResult */
    GQueue written;           /* claims in phase CLAIM_WRITTEN, oldest first */
    GQueue expired;           /* objects to delete */
    uint64_t next_id;
    uint64_t next_operation;
    size_t unwritten;      /* claims in phase CLAIM_WRITING */
    bool store_failing;    /* the last write of an end was not confirmed */
    int64_t next_timer_us; /* no timer is due before */
    int64_t write_allowance_micro; /* token bucket of deferred writes */
    int64_t write_refill_us;
    int64_t sweep_at_us;
    uint32_t sweep_kind; /* next of the kinds to list */
    uint64_t sweep_operation;
    uint64_t delete_operation;
};

/* One object to delete after its retention. */
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

/* Time for which a claim that nobody waits for any more is still settled, so
 * that a write that took effect late does not leave the key held. */
#define ABANDONED_RESOLVE_US (30LL * 1000 * 1000)

/* Whether the store has still to tell whose the key is. */
static inline bool
EbLedger_IsUnresolved(const Claim *claim)
{
    return claim->phase < CLAIM_OWNED;
}

/* ledger_object.c */

json_t *EbLedgerObject_Encode(const EbLedger *ledger, const Claim *claim,
                              EbClaimState state);

/* Returns false when the value is no claim object. Strings are borrowed. */
bool EbLedgerObject_Decode(json_t *value, ClaimObject *object);

/* ledger.c */

/* Sends a store operation on the claim's object. */
void EbLedger_Send(EbLedger *ledger, Claim *claim, EbStoreOperation operation,
                   json_t *value);

/* Makes sure that Tick runs at `time_us`. */
void EbLedger_SetTimer(EbLedger *ledger, int64_t time_us);

/* Forgets a claim and starts the next one that waits for its key. */
void EbLedger_Remove(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Delay with full jitter before try number `failures`. */
int64_t EbLedger_Backoff(EbLedger *ledger, uint32_t failures);

/* Repeats the operation of the claim's phase. */
void EbLedger_RunRetry(EbLedger *ledger, Claim *claim, int64_t now_us);

/* The store can't be reached: refuses the request. A claim that may have
 * taken effect is settled all the same. */
void EbLedger_GiveUp(EbLedger *ledger, Claim *claim, int64_t now_us);

/* ledger_write.c */

#define EB_LEDGER_WRITES_PER_S 50

/* Bound of this daemon's deferred writes a second. */
uint32_t EbLedger_WriteRate(const EbLedger *ledger);

/* Writes the end of a finished claim, now or later. */
void EbLedger_StartWrite(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Takes the reply to such a write. */
void EbLedger_WriteReply(EbLedger *ledger, Claim *claim,
                         const EbStoreReply *reply, int64_t now_us);

/* Sends a deferred write that is due, as far as the write rate allows. */
void EbLedger_RetryWrite(EbLedger *ledger, Claim *claim, int64_t now_us);

/* Drops written claims that are old or too many. */
void EbLedger_EvictWritten(EbLedger *ledger, int64_t now_us);

/* ledger_sweep.c */

void EbLedger_Sweep(EbLedger *ledger, int64_t now_us);

/* Returns true when the reply belonged to the sweep. */
bool EbLedger_SweepReply(EbLedger *ledger, const EbStoreReply *reply,
                         int64_t now_us);

void EbLedger_FreeExpired(EbLedger *ledger);

#endif
