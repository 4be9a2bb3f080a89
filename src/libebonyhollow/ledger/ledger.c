#include "ebonyhollow/ledger.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

#include "ledger_private.h"

/* Longest wait for the store to say who owns a key, before the request is
 * refused. */
#define RESOLVE_TIMEOUT_US (5LL * 1000 * 1000)
#define BACKOFF_FIRST_US (50LL * 1000)
#define BACKOFF_MAX_US (8LL * 1000 * 1000)
#define BACKOFF_MAX_SHIFT 8 /* gives more than BACKOFF_MAX_US */
#define NONCE_BYTES 16
#define BODY_DIGEST_BYTES 16
#define KEY_DIGEST_BYTES 32

static void
free_claim(gpointer pointer)
{
    Claim *claim = pointer;
    g_free(claim->name);
    g_free(claim->customer);
    json_decref(claim->body);
    g_free(claim);
}

EbLedger *
EbLedger_New(const EbLedgerOptions *options)
{
    assert(options->instance != NULL && options->peer_address != NULL);
    assert(options->actions != NULL && options->random != NULL);
    EbLedger *ledger = g_new0(EbLedger, 1);
    ledger->options = *options;
    ledger->instance = g_strdup(options->instance);
    ledger->peer_address = g_strdup(options->peer_address);
    ledger->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_claim);
    ledger->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    ledger->by_operation =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    g_queue_init(&ledger->waiting);
    g_queue_init(&ledger->results);
    g_queue_init(&ledger->written);
    g_queue_init(&ledger->expired);
    return ledger;
}

void
EbLedger_Free(EbLedger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    EbLedgerResult result;
    while (EbLedger_NextResult(ledger, &result)) {
        json_decref(result.body);
    }
    EbLedger_FreeExpired(ledger);
    g_queue_clear(&ledger->waiting);
    g_queue_clear(&ledger->written);
    g_hash_table_destroy(ledger->by_operation);
    g_hash_table_destroy(ledger->by_name);
    g_hash_table_destroy(ledger->by_id);
    g_free(ledger->instance);
    g_free(ledger->peer_address);
    g_free(ledger);
}

void
EbLedger_SetTimer(EbLedger *ledger, int64_t time_us)
{
    ledger->next_timer_us = MIN(ledger->next_timer_us, time_us);
}

int64_t
EbLedger_Backoff(EbLedger *ledger, uint32_t failures)
{
    uint32_t shift = MIN(failures, BACKOFF_MAX_SHIFT);
    int64_t bound = MIN(BACKOFF_FIRST_US << shift, BACKOFF_MAX_US);
    return 1 +
           (int64_t)EbRandom_Below(ledger->options.random, (uint64_t)bound);
}

void
EbLedger_Send(EbLedger *ledger, Claim *claim, EbStoreOperation operation,
              json_t *value)
{
    assert(claim->operation == 0);
    claim->operation = ++ledger->next_operation;
    claim->retry_at_us = 0;
    uint64_t *key = g_memdup2(&claim->operation, sizeof(claim->operation));
    g_hash_table_insert(ledger->by_operation, key, claim);
    EbActionQueue_Push(
        ledger->options.actions,
        &(EbAction){.kind = EB_ACTION_STORE,
                    .as.store = {
                        .owner = EB_STORE_OWNER_LEDGER,
                        .operation_id = claim->operation,
                        .operation = operation,
                        .kind = EbLedger_ObjectKind(claim->key_digest),
                        .name = g_strdup(claim->name),
                        .version = claim->version,
                        .value = value,
                    }});
}

static void
push_result(EbLedger *ledger, const EbLedgerResult *result)
{
    g_queue_push_tail(&ledger->results, g_memdup2(result, sizeof(*result)));
}

/* Queues the claim's only result. Returns false when nobody waits for it. */
static bool
answer_claim(EbLedger *ledger, Claim *claim, EbLedgerResult result)
{
    if (claim->answered) {
        return false;
    }
    claim->answered = true;
    result.claim = claim->id;
    push_result(ledger, &result);
    return true;
}

static void
start_create(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    claim->phase = CLAIM_CREATING;
    claim->version = 0;
    /* The hold starts before the first write that may take effect, so that it
     * ends within EB_LEDGER_HOLD_US of the object's creation. */
    if (!claim->may_have_applied) {
        claim->hold_until_us = now_us + EB_LEDGER_HOLD_US;
    }
    claim->created_wall_us =
        ledger->options.wall_clock_us != NULL
            ? ledger->options.wall_clock_us(ledger->options.context)
            : now_us;
    EbLedger_Send(ledger, claim, EB_STORE_CREATE,
                  EbLedgerObject_Encode(ledger, claim, EB_CLAIM_CLAIMED));
}

static void
start_read(EbLedger *ledger, Claim *claim)
{
    claim->phase = CLAIM_READING;
    EbLedger_Send(ledger, claim, EB_STORE_GET, NULL);
}

static void
start_reopen(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    claim->phase = CLAIM_REOPENING;
    claim->reopened = true;
    if (!claim->may_have_applied) {
        claim->hold_until_us = now_us + EB_LEDGER_HOLD_US;
    }
    EbLedger_Send(ledger, claim, EB_STORE_UPDATE,
                  EbLedgerObject_Encode(ledger, claim, EB_CLAIM_CLAIMED));
}

static void
start_on_free_key(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    g_hash_table_insert(ledger->by_name, claim->name, claim);
    start_create(ledger, claim, now_us);
}

static void
start_next_waiting(EbLedger *ledger, const char *name, int64_t now_us)
{
    for (GList *item = ledger->waiting.head; item != NULL; item = item->next) {
        Claim *claim = item->data;
        if (strcmp(claim->name, name) == 0) {
            g_queue_delete_link(&ledger->waiting, item);
            start_on_free_key(ledger, claim, now_us);
            return;
        }
    }
}

void
EbLedger_Remove(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    if (claim->operation != 0) {
        g_hash_table_remove(ledger->by_operation, &claim->operation);
    }
    if (claim->phase == CLAIM_WAITING) {
        g_queue_remove(&ledger->waiting, claim);
    }
    bool occupied = g_hash_table_lookup(ledger->by_name, claim->name) == claim;
    char *name = g_strdup(claim->name);
    if (occupied) {
        g_hash_table_remove(ledger->by_name, claim->name);
    }
    g_hash_table_remove(ledger->by_id, &claim->id);
    if (occupied) {
        start_next_waiting(ledger, name, now_us);
    }
    g_free(name);
}

/* Schedules a retry of the phase's operation. */
static void
retry_later(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    claim->retry_at_us = now_us + EbLedger_Backoff(ledger, claim->failures);
    claim->failures++;
    EbLedger_SetTimer(ledger, claim->retry_at_us);
}

/* Queues a result other than OWNED and removes the claim. Takes over
 * result.body. */
static void
end_claim(EbLedger *ledger, Claim *claim, EbLedgerResult result,
          int64_t now_us)
{
    if (!answer_claim(ledger, claim, result)) {
        json_decref(result.body);
    }
    EbLedger_Remove(ledger, claim, now_us);
}

static void
become_owner(EbLedger *ledger, Claim *claim, uint64_t version, int64_t now_us)
{
    claim->version = version;
    claim->phase = CLAIM_OWNED;
    claim->failures = 0;
    if (answer_claim(ledger, claim,
                     (EbLedgerResult){.kind = EB_LEDGER_OWNED,
                                      .fencing_token = version,
                                      .reopened = claim->reopened})) {
        return;
    }
    /* Nobody waits for the claim any more. No call was sent, so the key is
     * released. */
    EbLedger_Finish(ledger, claim->id, EB_OUTCOME_FAILED, EB_REASON_NONE, NULL,
                    now_us);
}

void
EbLedger_TimeOutClaim(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    answer_claim(ledger, claim,
                 (EbLedgerResult){.kind = EB_LEDGER_UNAVAILABLE});
    bool may_be_ours = claim->may_have_applied || claim->operation != 0;
    if (claim->phase == CLAIM_WAITING || !may_be_ours ||
        now_us >= claim->phase_deadline_us + ABANDONED_RESOLVE_US) {
        EbLedger_Remove(ledger, claim, now_us);
        return;
    }
    EbLedger_SetTimer(ledger, claim->phase_deadline_us + ABANDONED_RESOLVE_US);
}

static void
handle_claim_write_reply(EbLedger *ledger, Claim *claim,
                         const EbStoreReply *reply, int64_t now_us)
{
    switch (reply->status) {
    case EB_STORE_OK:
        become_owner(ledger, claim, reply->version, now_us);
        return;
    case EB_STORE_CONFLICT:
    case EB_STORE_NOT_FOUND:
        start_read(ledger, claim);
        return;
    case EB_STORE_LOST:
        /* Before the write is repeated, the object is read and its nonce
         * compared. */
        claim->may_have_applied = true;
        claim->phase = CLAIM_READING;
        retry_later(ledger, claim, now_us);
        return;
    default:
        if (claim->answered && !claim->may_have_applied) {
            EbLedger_Remove(ledger, claim, now_us);
            return;
        }
        retry_later(ledger, claim, now_us);
        return;
    }
}

static EbLedgerResult
recorded_result(EbOutcome outcome, EbReason reason, json_t *body)
{
    return (EbLedgerResult){.kind = EB_LEDGER_RECORDED,
                            .outcome = outcome,
                            .reason = reason,
                            .body = json_incref(body)};
}

static EbLedgerResult
held_result(const char *instance, uint64_t incarnation, const char *address)
{
    EbLedgerResult result = {.kind = EB_LEDGER_HELD,
                             .incarnation = incarnation};
    g_strlcpy(result.instance, instance, sizeof(result.instance));
    g_strlcpy(result.address, address, sizeof(result.address));
    return result;
}

static void
resolve_own_object(EbLedger *ledger, Claim *claim, const ClaimObject *object,
                   uint64_t version, int64_t now_us)
{
    if (object->state != EB_CLAIM_CLAIMED) {
        end_claim(
            ledger, claim,
            recorded_result(object->outcome, object->reason, object->body),
            now_us);
        return;
    }
    EB_EMIT(ledger->options.events, EB_EVENT_CLAIM_SETTLED,
            EB_STRING_FIELD("customer", claim->customer),
            EB_STRING_FIELD("key_digest", claim->key_digest),
            EB_STRING_FIELD("result", "owned"));
    become_owner(ledger, claim, version, now_us);
}

static void
resolve_other_object(EbLedger *ledger, Claim *claim, const ClaimObject *object,
                     uint64_t version, int64_t now_us)
{
    if (strcmp(object->body_digest, claim->body_digest) != 0) {
        end_claim(ledger, claim,
                  (EbLedgerResult){.kind = EB_LEDGER_BODY_DIFFERS}, now_us);
        return;
    }
    switch (object->state) {
    case EB_CLAIM_OPEN:
        if (claim->answered && claim->may_have_applied) {
            /* This claim's own write may still take effect. */
            retry_later(ledger, claim, now_us);
            return;
        }
        if (claim->answered) {
            EbLedger_Remove(ledger, claim, now_us);
            return;
        }
        claim->version = version;
        start_reopen(ledger, claim, now_us);
        return;
    case EB_CLAIM_CLAIMED:
        end_claim(ledger, claim,
                  held_result(object->instance, object->incarnation,
                              object->address),
                  now_us);
        return;
    default:
        end_claim(
            ledger, claim,
            recorded_result(object->outcome, object->reason, object->body),
            now_us);
        return;
    }
}

static void
handle_read_reply(EbLedger *ledger, Claim *claim, const EbStoreReply *reply,
                  int64_t now_us)
{
    if (reply->status == EB_STORE_NOT_FOUND) {
        if (!claim->answered) {
            /* Both creates carry the same nonce. If the first one takes
             * effect late, the second one conflicts and the read that
             * follows finds this claim's nonce. */
            start_create(ledger, claim, now_us);
            return;
        }
        retry_later(ledger, claim, now_us);
        return;
    }
    if (reply->status != EB_STORE_OK) {
        retry_later(ledger, claim, now_us);
        return;
    }
    ClaimObject object;
    if (!EbLedgerObject_Decode(reply->value, &object)) {
        /* Not a claim object. Whether the call ran is unknown, so it must not
         * run under this key. */
        end_claim(ledger, claim,
                  recorded_result(EB_OUTCOME_UNKNOWN,
                                  EB_REASON_STORE_UNAVAILABLE, NULL),
                  now_us);
        return;
    }
    if (strcmp(object.nonce, claim->nonce) == 0) {
        resolve_own_object(ledger, claim, &object, reply->version, now_us);
        return;
    }
    resolve_other_object(ledger, claim, &object, reply->version, now_us);
}

void
EbLedger_StoreReply(EbLedger *ledger, const EbStoreReply *reply,
                    int64_t now_us)
{
    assert(reply->owner == EB_STORE_OWNER_LEDGER);
    if (EbLedger_HandleSweepReply(ledger, reply, now_us)) {
        return;
    }
    Claim *claim =
        g_hash_table_lookup(ledger->by_operation, &reply->operation_id);
    if (claim == NULL) {
        return;
    }
    g_hash_table_remove(ledger->by_operation, &reply->operation_id);
    claim->operation = 0;
    switch (claim->phase) {
    case CLAIM_CREATING:
    case CLAIM_REOPENING:
        handle_claim_write_reply(ledger, claim, reply, now_us);
        break;
    case CLAIM_READING:
        handle_read_reply(ledger, claim, reply, now_us);
        break;
    case CLAIM_WRITING:
        EbLedger_HandleWriteReply(ledger, claim, reply, now_us);
        break;
    default:
        assert(!"reply to a store operation in a phase without one");
    }
}

static void
fill_digests(EbLedger *ledger, Claim *claim, const char *key, const char *body,
             size_t body_bytes)
{
    EbLedger_KeyDigest(key, claim->key_digest);
    unsigned char digest[BODY_DIGEST_BYTES];
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)body,
                       body_bytes, NULL, 0);
    sodium_bin2hex(claim->body_digest, sizeof(claim->body_digest), digest,
                   sizeof(digest));
    unsigned char nonce[NONCE_BYTES];
    for (size_t i = 0; i < NONCE_BYTES; i += sizeof(uint64_t)) {
        uint64_t bits = EbRandom_Next(ledger->options.random);
        memcpy(nonce + i, &bits, sizeof(bits));
    }
    sodium_bin2hex(claim->nonce, sizeof(claim->nonce), nonce, sizeof(nonce));
}

/* Answers a claim from `occupant`, this daemon's own claim on the same key.
 * Returns false when `occupant` is about to release the key; the new claim
 * then waits for that. */
static bool
answer_locally(EbLedger *ledger, Claim *claim, const Claim *occupant)
{
    if (strcmp(occupant->body_digest, claim->body_digest) != 0) {
        return answer_claim(ledger, claim,
                            (EbLedgerResult){.kind = EB_LEDGER_BODY_DIFFERS});
    }
    if (occupant->phase != CLAIM_WRITING && occupant->phase != CLAIM_WRITTEN) {
        return answer_claim(ledger, claim,
                            held_result(ledger->instance,
                                        ledger->options.incarnation,
                                        ledger->peer_address));
    }
    if (occupant->outcome == EB_OUTCOME_FAILED) {
        return false;
    }
    return answer_claim(
        ledger, claim,
        recorded_result(occupant->outcome, occupant->reason, occupant->body));
}

void
EbLedger_SetIncarnation(EbLedger *ledger, uint64_t incarnation)
{
    ledger->options.incarnation = incarnation;
}

uint64_t
EbLedger_Claim(EbLedger *ledger, const char *customer, const char *key,
               const char *body, size_t body_bytes, int64_t deadline_us,
               int64_t now_us)
{
    Claim *claim = g_new0(Claim, 1);
    claim->id = ++ledger->next_id;
    claim->customer = g_strdup(customer);
    fill_digests(ledger, claim, key, body, body_bytes);
    claim->name = g_strdup_printf("%s.%s", customer, claim->key_digest);
    claim->phase_deadline_us = MIN(deadline_us, now_us + RESOLVE_TIMEOUT_US);
    uint64_t id = claim->id;
    g_hash_table_insert(ledger->by_id, &claim->id, claim);
    EbLedger_SetTimer(ledger, claim->phase_deadline_us);
    Claim *occupant = g_hash_table_lookup(ledger->by_name, claim->name);
    if (occupant == NULL) {
        start_on_free_key(ledger, claim, now_us);
        return id;
    }
    claim->phase = CLAIM_WAITING;
    if (answer_locally(ledger, claim, occupant)) {
        EbLedger_Remove(ledger, claim, now_us);
        return id;
    }
    g_queue_push_tail(&ledger->waiting, claim);
    return id;
}

bool
EbLedger_NextResult(EbLedger *ledger, EbLedgerResult *result)
{
    EbLedgerResult *oldest = g_queue_pop_head(&ledger->results);
    if (oldest == NULL) {
        return false;
    }
    *result = *oldest;
    g_free(oldest);
    return true;
}

bool
EbLedger_MaySend(const EbLedger *ledger, uint64_t claim_id, int64_t now_us)
{
    const Claim *claim = g_hash_table_lookup(ledger->by_id, &claim_id);
    return claim != NULL && claim->phase == CLAIM_OWNED &&
           now_us < claim->hold_until_us;
}

void
EbLedger_Finish(EbLedger *ledger, uint64_t claim_id, EbOutcome outcome,
                EbReason reason, json_t *body, int64_t now_us)
{
    Claim *claim = g_hash_table_lookup(ledger->by_id, &claim_id);
    assert(claim != NULL && claim->phase == CLAIM_OWNED);
    claim->phase = CLAIM_WRITING;
    claim->outcome = outcome;
    claim->reason = reason;
    claim->body = json_incref(body);
    EbLedger_StartWrite(ledger, claim, now_us);
}

void
EbLedger_Abandon(EbLedger *ledger, uint64_t claim_id, int64_t now_us)
{
    Claim *claim = g_hash_table_lookup(ledger->by_id, &claim_id);
    if (claim == NULL) {
        return;
    }
    assert(claim->phase != CLAIM_OWNED);
    claim->answered = true;
    if (claim->phase == CLAIM_WAITING) {
        EbLedger_Remove(ledger, claim, now_us);
    }
}

void
EbLedger_FindLocal(const EbLedger *ledger, const char *customer,
                   const char *key_digest, EbLedgerLocalClaim *local)
{
    *local = (EbLedgerLocalClaim){.state = EB_LEDGER_LOCAL_ABSENT};
    char *name = g_strdup_printf("%s.%s", customer, key_digest);
    const Claim *claim = g_hash_table_lookup(ledger->by_name, name);
    g_free(name);
    if (claim == NULL) {
        return;
    }
    if (claim->phase != CLAIM_WRITING && claim->phase != CLAIM_WRITTEN) {
        local->state = EB_LEDGER_LOCAL_RUNNING;
        return;
    }
    local->state = EB_LEDGER_LOCAL_FINISHED;
    local->outcome = claim->outcome;
    local->reason = claim->reason;
    local->body = claim->body;
}

void
EbLedger_KeyDigest(const char *key, char digest[EB_KEY_DIGEST_HEX_BYTES])
{
    unsigned char bytes[KEY_DIGEST_BYTES];
    crypto_generichash(bytes, sizeof(bytes), (const unsigned char *)key,
                       strlen(key), NULL, 0);
    sodium_bin2hex(digest, EB_KEY_DIGEST_HEX_BYTES, bytes, sizeof(bytes));
}

void
EbLedger_RetryOperation(EbLedger *ledger, Claim *claim, int64_t now_us)
{
    switch (claim->phase) {
    case CLAIM_CREATING:
        start_create(ledger, claim, now_us);
        break;
    case CLAIM_READING:
        start_read(ledger, claim);
        break;
    case CLAIM_REOPENING:
        start_reopen(ledger, claim, now_us);
        break;
    case CLAIM_WRITING:
        EbLedger_RetryWrite(ledger, claim, now_us);
        break;
    default:
        assert(!"retry in a phase without a store operation");
    }
}

size_t
EbLedger_UnwrittenCount(const EbLedger *ledger)
{
    return ledger->unwritten;
}
