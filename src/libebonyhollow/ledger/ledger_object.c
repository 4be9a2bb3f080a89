#include "ledger_private.h"

#include <string.h>

const char *const EbClaimState_names[EB_CLAIM_STATE_COUNT] = {
    [EB_CLAIM_CLAIMED] = "claimed", [EB_CLAIM_DONE] = "done",
    [EB_CLAIM_VOID] = "void",       [EB_CLAIM_OPEN] = "open",
    [EB_CLAIM_UNKNOWN] = "unknown",
};

const char *const EbLedgerResultKind_names[EB_LEDGER_RESULT_COUNT] = {
    [EB_LEDGER_OWNED] = "owned",
    [EB_LEDGER_RECORDED] = "recorded",
    [EB_LEDGER_BODY_DIFFERS] = "body-differs",
    [EB_LEDGER_HELD] = "held",
    [EB_LEDGER_UNAVAILABLE] = "unavailable",
};

char *
EbLedger_ObjectKind(const char *key_digest)
{
    return g_strdup_printf("claims-%.*s", EB_LEDGER_KIND_HEX_DIGITS,
                           key_digest);
}

json_t *
EbLedgerObject_Encode(const EbLedger *ledger, const Claim *claim,
                      EbClaimState state)
{
    json_t *value = json_pack(
        "{s:s, s:s, s:s, s:I, s:{s:s, s:I, s:s}}", "state",
        EbClaimState_names[state], "nonce", claim->nonce, "body_digest",
        claim->body_digest, "created_us", (json_int_t)claim->created_wall_us,
        "owner", "instance", ledger->instance, "incarnation",
        (json_int_t)ledger->options.incarnation, "address",
        ledger->peer_address);
    if (claim->phase == CLAIM_WRITING) {
        json_object_set_new(value, "outcome",
                            json_string(EbOutcome_names[claim->outcome]));
        json_object_set_new(value, "reason",
                            json_string(EbReason_table[claim->reason].name));
        if (claim->body != NULL) {
            json_object_set(value, "body", claim->body);
        }
    }
    return value;
}

static EbClaimState
parse_state(const char *name)
{
    int state = 0;
    while (state < EB_CLAIM_STATE_COUNT &&
           strcmp(name, EbClaimState_names[state]) != 0) {
        state++;
    }
    return (EbClaimState)state;
}

bool
EbLedgerObject_Decode(json_t *value, ClaimObject *object)
{
    const char *state = NULL, *outcome = NULL, *reason = NULL;
    json_int_t created_us = 0, incarnation = 0;
    memset(object, 0, sizeof(*object));
    if (value == NULL ||
        json_unpack(value,
                    "{s:s, s:s, s:s, s:I, s:{s:s, s:I, s:s}, s?s, s?s, s?o}",
                    "state", &state, "nonce", &object->nonce, "body_digest",
                    &object->body_digest, "created_us", &created_us, "owner",
                    "instance", &object->instance, "incarnation", &incarnation,
                    "address", &object->address, "outcome", &outcome, "reason",
                    &reason, "body", &object->body) != 0) {
        return false;
    }
    object->state = parse_state(state);
    object->incarnation = (uint64_t)incarnation;
    object->created_us = created_us;
    object->outcome =
        outcome != NULL ? EbOutcome_Parse(outcome) : EB_OUTCOME_UNKNOWN;
    object->reason = reason != NULL ? EbReason_Parse(reason) : EB_REASON_NONE;
    return object->state != EB_CLAIM_STATE_COUNT &&
           object->outcome != EB_OUTCOME_COUNT &&
           object->reason != EB_REASON_COUNT;
}
