/* EbLedger: claims on idempotency keys, kept in the platform's object API.
 *
 * A claim is a lease on an idempotency key. It is one object in the store,
 * created before any stage of the request runs. Only the daemon whose claim
 * the store confirmed may send the non-idempotent call, and only until the
 * hold of the claim expires. The ledger issues store operations as actions
 * and turns their replies into EbLedgerResults; callers need not know how a
 * claim is written. docs/design.md describes the object's format.
 *
 * All times are in microseconds. `now_us` and deadlines are on the monotonic
 * clock of the process. */
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

/* How long after the first write of a claim its owner may send the call. */
#define EB_LEDGER_HOLD_US (30LL * 1000 * 1000)
/* Age that a claim object has to reach before it is deleted. */
#define EB_LEDGER_RETENTION_US (24LL * 3600 * 1000 * 1000)
/* Finished claims that may wait to be written; the outcomes of further ones
 * are dropped. */
#define EB_LEDGER_MAX_UNWRITTEN 1024
/* Hex digest of a key, with its terminating null byte. */
#define EB_KEY_DIGEST_HEX_BYTES 65
#define EB_LEDGER_KIND_HEX_DIGITS 3
#define EB_LEDGER_KIND_COUNT 4096

typedef struct EbLedger EbLedger;

/* State of a claim object. */
typedef enum {
    EB_CLAIM_CLAIMED, /* owned; the call may be running or may have run */
    EB_CLAIM_DONE,    /* the call succeeded; its answer is stored */
    EB_CLAIM_VOID,    /* the call did not run and never will */
    EB_CLAIM_OPEN,    /* released after a failure; may be claimed again */
    EB_CLAIM_UNKNOWN, /* the call may have run; its answer is not known */
    EB_CLAIM_STATE_COUNT
} EbClaimState;

extern const char *const EbClaimState_names[EB_CLAIM_STATE_COUNT];

typedef struct {
    const char *instance;
    uint64_t incarnation;
    const char *peer_address; /* "host:port" where other daemons ask
                                 for the outcome of a claim */
    EbActionQueue *actions;
    EbRandom *random;
    const EbEventSink *events;
    uint32_t writes_per_s; /* limit on deferred writes; 0: 50 */
    /* Wall clock for the creation times by which expired claims are deleted.
     * May be NULL; then this daemon deletes nothing. */
    int64_t (*wall_clock_us)(void *context);
    void *context; /* of wall_clock_us */
} EbLedgerOptions;

typedef enum {
    EB_LEDGER_OWNED,    /* this daemon may run the request */
    EB_LEDGER_RECORDED, /* finished earlier; outcome, reason, body are set */
    EB_LEDGER_BODY_DIFFERS, /* the key was used with another body */
    EB_LEDGER_HELD,         /* another daemon or request holds the claim */
    EB_LEDGER_UNAVAILABLE,  /* the store did not resolve the claim in time */
    EB_LEDGER_RESULT_COUNT
} EbLedgerResultKind;

extern const char *const EbLedgerResultKind_names[EB_LEDGER_RESULT_COUNT];

/* Result of EbLedger_Claim. A comment names the kind for which a member is
 * set. */
typedef struct {
    uint64_t claim; /* handle from EbLedger_Claim */
    EbLedgerResultKind kind;
    uint64_t fencing_token; /* OWNED: version of the object */
    bool reopened;        /* OWNED: an earlier request with the key failed and
                             released it; some of its stages may have run */
    EbOutcome outcome;    /* RECORDED */
    EbReason reason;      /* RECORDED */
    json_t *body;         /* RECORDED: new reference, or NULL */
    char instance[128];   /* HELD: owner */
    uint64_t incarnation; /* HELD */
    char address[64];     /* HELD: owner's peer address */
} EbLedgerResult;

/* Creates a ledger. Strings in `options` are copied; `actions`, `random` and
 * `events` are borrowed and must outlive the ledger. `events` may be NULL.
 * Free it with EbLedger_Free. */
EbLedger *EbLedger_New(const EbLedgerOptions *options);

/* Frees a ledger and the results not yet taken. Accepts NULL. Store
 * operations under way are not undone. */
void EbLedger_Free(EbLedger *ledger);

/* Starts claiming a key for a request.
 *
 * body, body_bytes: the request body; only a digest of it is stored.
 *
 * Returns a claim handle, which is never 0. Exactly one result follows through
 * EbLedger_NextResult, at the latest at `deadline_us` and even if the store
 * never answers. A second claim on a key that this daemon already holds gets
 * HELD with this daemon's own instance name. */
uint64_t EbLedger_Claim(EbLedger *ledger, const char *customer,
                        const char *key, const char *body, size_t body_bytes,
                        int64_t deadline_us, int64_t now_us);

/* Removes the oldest result from the queue and stores it in `result`; the
 * caller owns `result->body`. Returns false when there is none. */
bool EbLedger_NextResult(EbLedger *ledger, EbLedgerResult *result);

/* Returns whether the call may be sent now: the store has confirmed the claim
 * and its hold has not expired. */
bool EbLedger_MaySend(const EbLedger *ledger, uint64_t claim, int64_t now_us);

/* Finishes an owned claim and writes its outcome to the store, later if the
 * store is down. The handle is invalid afterwards.
 *
 * outcome: DONE stores the answer; NOT_RUN voids the key; FAILED releases it
 * for another claim; UNKNOWN records that the call may have run.
 * body: the answer, or NULL; borrowed, the ledger takes its own reference. */
void EbLedger_Finish(EbLedger *ledger, uint64_t claim, EbOutcome outcome,
                     EbReason reason, json_t *body, int64_t now_us);

/* Abandons a claim whose result has not arrived yet. If its write takes
 * effect all the same, the ledger releases the key, since no call was sent.
 * Ignores a handle that is no longer valid. */
void EbLedger_Abandon(EbLedger *ledger, uint64_t claim, int64_t now_us);

/* Handles the reply to a store operation of owner EB_STORE_OWNER_LEDGER. */
void EbLedger_StoreReply(EbLedger *ledger, const EbStoreReply *reply,
                         int64_t now_us);

/* What this daemon itself knows about a key, to answer peers that received a
 * request with the same key. */
typedef enum {
    EB_LEDGER_LOCAL_ABSENT,  /* this daemon has no claim on it */
    EB_LEDGER_LOCAL_RUNNING, /* claimed and not finished */
    EB_LEDGER_LOCAL_FINISHED /* finished here; outcome, reason, body are set */
} EbLedgerLocalState;

/* A FINISHED claim with outcome FAILED is still held by this daemon but about
 * to be released. A peer that is told so must claim the key again and not
 * answer "failed" to its caller: by then another daemon may have run the
 * call. */
typedef struct {
    EbLedgerLocalState state;
    EbOutcome outcome;
    EbReason reason;
    json_t *body; /* borrowed until the next call, or NULL */
} EbLedgerLocalClaim;

/* Looks up what this daemon knows about a key.
 *
 * key_digest: hex digest, as in the object's name. */
void EbLedger_FindLocal(const EbLedger *ledger, const char *customer,
                        const char *key_digest, EbLedgerLocalClaim *local);

/* Writes the hex digest of an idempotency key, which is the last part of the
 * object's name. */
void EbLedger_KeyDigest(const char *key, char digest[EB_KEY_DIGEST_HEX_BYTES]);

/* Sets this daemon's limit on deferred writes per second; 0 means 50. The
 * daemon divides the total by the number of live daemons. The rates of deletes
 * and listings of expired claims scale with it. */
void EbLedger_SetWriteRate(EbLedger *ledger, uint32_t writes_per_s);

/* Sets the incarnation of this daemon that later claims name as their owner.
 */
void EbLedger_SetIncarnation(EbLedger *ledger, uint64_t incarnation);

/* Returns the object kind under which the claim on a key is stored. Claims are
 * spread over EB_LEDGER_KIND_COUNT kinds by the first digits of the key's
 * digest, so that a single listing of expired claims stays small. Free the
 * result with g_free. */
char *EbLedger_ObjectKind(const char *key_digest);

/* Retries store operations, times out claims and deletes expired objects. */
void EbLedger_Tick(EbLedger *ledger, int64_t now_us);

/* Returns the earliest time at which EbLedger_Tick has work to do, or
 * INT64_MAX. */
int64_t EbLedger_NextTimer(const EbLedger *ledger);

/* Returns the number of finished claims whose outcome is not yet written. A
 * drain waits until it is 0. */
size_t EbLedger_UnwrittenCount(const EbLedger *ledger);

#endif
