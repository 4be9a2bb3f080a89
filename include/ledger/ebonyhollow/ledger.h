/* EbLedger: claims on idempotency keys, kept in the platform's object API.
 *
 * A claim is one object, created before any stage of the request runs. Only
 * the daemon whose claim was confirmed may hand the non-idempotent call out,
 * and only while the hold lasts. The ledger turns results of store
 * operations into EbLedgerResults; how a claim is written stays inside. The
 * object's format is described in docs/design.md. */
#ifndef EBONYHOLLOW_LEDGER_H
#define EBONYHOLLOW_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/random.h"

#define EB_LEDGER_HOLD_US (30LL * 1000 * 1000)
#define EB_LEDGER_RETENTION_US (24LL * 3600 * 1000 * 1000)
#define EB_LEDGER_MAX_UNWRITTEN 1024
#define EB_KEY_DIGEST_HEX_BYTES 65
#define EB_LEDGER_KIND_HEX_DIGITS 3
#define EB_LEDGER_KIND_COUNT 4096

typedef struct EbLedger EbLedger;

/* State of a claim object. */
typedef enum {
    EB_CLAIM_CLAIMED, /* owned; the call may run or have run */
    EB_CLAIM_DONE,    /* answer stored */
    EB_CLAIM_VOID,    /* never run, never will be */
    EB_CLAIM_OPEN,    /* released after a failure; may be claimed again */
    EB_CLAIM_UNKNOWN, /* the call may have run, its answer is not known */
    EB_CLAIM_STATE_COUNT
} EbClaimState;

extern const char *const EbClaimState_names[EB_CLAIM_STATE_COUNT];

typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *peer_address; /* where repeats are asked, "host:port" */
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    uint32_t writes_per_s; /* bound of deferred writes; 0: 50 */
    int64_t (*wall_clock_us)(void *context); /* for retention stamps */
    void *context;
} EbLedgerOptions;

typedef enum {
    EB_LEDGER_OWNED,        /* this daemon may run the request */
    EB_LEDGER_RECORDED,     /* ran before: outcome, reason and body are set */
    EB_LEDGER_BODY_DIFFERS, /* the key was used with another body */
    EB_LEDGER_HELD,         /* another daemon or request holds the claim */
    EB_LEDGER_UNAVAILABLE,  /* the store did not settle the claim */
    EB_LEDGER_RESULT_COUNT
} EbLedgerResultKind;

extern const char *const EbLedgerResultKind_names[EB_LEDGER_RESULT_COUNT];

typedef struct {
    uint64_t claim;
    EbLedgerResultKind kind;
    uint64_t fencing_token; /* OWNED: version of the object */
    bool reopened;          /* OWNED: an earlier copy released the key, so
                               that stages may have run for it */
    EbOutcome outcome;      /* RECORDED */
    EbReason reason;        /* RECORDED */
    json_t *body;           /* RECORDED: new reference, or NULL */
    char instance[128];     /* HELD: owner */
    uint64_t incarnation;   /* HELD */
    char address[64];       /* HELD: owner's peer address */
} EbLedgerResult;

EbLedger *EbLedger_New(const EbLedgerOptions *options);
void EbLedger_Free(EbLedger *ledger);

/* Starts to claim a key for a request.
 *
 * body, body_bytes: the request body, of which a digest is stored.
 *
 * Returns a claim handle, never 0. Exactly one result follows through
 * EbLedger_NextResult, also when the store never answers, by deadline_us at
 * the latest. A second claim on a key that this daemon holds itself gets
 * HELD with this daemon's own instance name. */
uint64_t EbLedger_Claim(EbLedger *ledger, const char *customer,
                        const char *key, const char *body, size_t body_bytes,
                        int64_t deadline_us, int64_t now_us);

/* Takes the next result. Returns false when there is none. */
bool EbLedger_NextResult(EbLedger *ledger, EbLedgerResult *result);

/* Returns whether the holder may hand the call out now: the claim is
 * confirmed and its hold has not run out. */
bool EbLedger_MaySend(const EbLedger *ledger, uint64_t claim, int64_t now_us);

/* End of an owned claim. The object is written later if the store is down;
 * the handle is invalid afterwards. `body` is borrowed.
 *
 * DONE stores the answer; NOT_RUN voids the key; FAILED releases it for
 * another claim; UNKNOWN records that the call may have run. */
void EbLedger_Finish(EbLedger *ledger, uint64_t claim, EbOutcome outcome,
                     EbReason reason, json_t *body, int64_t now_us);

/* Gives up a claim whose result did not arrive yet. If the write takes effect
 * after all, the ledger releases it: no call was handed out. */
void EbLedger_Abandon(EbLedger *ledger, uint64_t claim, int64_t now_us);

/* Takes the reply of a store operation of owner EB_STORE_OWNER_LEDGER. */
void EbLedger_StoreReply(EbLedger *ledger, const EbStoreReply *reply,
                         int64_t now_us);

/* What this daemon itself knows of a key, for repeats asked by peers. */
typedef enum {
    EB_LEDGER_LOCAL_ABSENT,  /* not known here */
    EB_LEDGER_LOCAL_RUNNING, /* claimed and not finished */
    EB_LEDGER_LOCAL_FINISHED /* finished here; outcome and body are set */
} EbLedgerLocalState;

/* A FINISHED claim with outcome FAILED is still held by this daemon; it is
 * about to be released. Whoever learns of it claims the key again: by the
 * time it could repeat "failed", another daemon may have run the call. */
typedef struct {
    EbLedgerLocalState state;
    EbOutcome outcome;
    EbReason reason;
    json_t *body; /* borrowed until the next call, or NULL */
} EbLedgerLocalClaim;

/* key_digest: hex digest as in the object's name. */
void EbLedger_FindLocal(const EbLedger *ledger, const char *customer,
                        const char *key_digest, EbLedgerLocalClaim *local);

/* Hex digest of an idempotency key, the last part of the object's name. */
void EbLedger_KeyDigest(const char *key, char digest[EB_KEY_DIGEST_HEX_BYTES]);

/* Sets the bound of deferred writes a second, which the daemon divides by the
 * number of live daemons. 0: 50. Deletes of expired claims and their listings
 * keep their proportion to it. */
void EbLedger_SetWriteRate(EbLedger *ledger, uint32_t writes_per_s);

/* Kind that holds the claim of a key: claims are spread over
 * EB_LEDGER_KIND_COUNT kinds by the first digits of the key's digest, so that
 * one listing of expired claims stays small. Free with g_free. */
char *EbLedger_ObjectKind(const char *key_digest);

/* Retries deferred writes and times out claims. */
void EbLedger_Tick(EbLedger *ledger, int64_t now_us);

/* Time of the next Tick that does something, or INT64_MAX. */
int64_t EbLedger_NextTimer(const EbLedger *ledger);

/* Finished claims that are not written yet; a drain waits for 0. */
size_t EbLedger_UnwrittenCount(const EbLedger *ledger);

#endif
