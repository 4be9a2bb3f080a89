/* The store: versioned objects, conditional writes and faults. */
#include <string.h>

#include "simulation_private.h"

#define SLOW_US 400000
#define LATE_EFFECT_US 300000

typedef struct {
    uint64_t version; /* 0: absent */
    json_t *value;
    uint64_t previous_version; /* for stale reads */
    json_t *previous;
} StoredObject;

void
Simulation_FreeObject(gpointer pointer)
{
    StoredObject *object = pointer;
    json_decref(object->value);
    json_decref(object->previous);
    g_free(object);
}

static StoredObject *
find_object(Simulation *simulation, const char *kind, const char *name)
{
    char *path = g_strdup_printf("%s/%s", kind, name);
    StoredObject *object = g_hash_table_lookup(simulation->objects, path);
    if (object == NULL) {
        object = g_new0(StoredObject, 1);
        g_hash_table_insert(simulation->objects, g_strdup(path), object);
    }
    g_free(path);
    return object;
}

static EbStoreStatus
apply_write(Simulation *simulation, StoredObject *object,
            const EbStoreRequest *store)
{
    if (store->operation == EB_STORE_DELETE && object->version == 0) {
        return EB_STORE_NOT_FOUND;
    }
    uint64_t expected =
        store->operation == EB_STORE_CREATE ? 0 : store->version;
    if (object->version != expected) {
        return EB_STORE_CONFLICT;
    }
    json_decref(object->previous);
    object->previous = object->value;
    object->previous_version = object->version;
    object->value = NULL;
    object->version = 0;
    if (store->operation != EB_STORE_DELETE) {
        object->version = ++simulation->store_version;
        object->value = json_deep_copy(store->value);
    }
    return EB_STORE_OK;
}

static EbStoreStatus
apply(Simulation *simulation, SimulationEvent *event, bool stale,
      EbStoreReply *reply)
{
    const EbStoreRequest *store = &event->store;
    StoredObject *object = find_object(simulation, store->kind, store->name);
    if (store->operation == EB_STORE_LIST) {
        reply->value = json_array();
        return EB_STORE_OK;
    }
    if (store->operation != EB_STORE_GET) {
        EbStoreStatus status = apply_write(simulation, object, store);
        reply->version = object->version;
        return status;
    }
    uint64_t version = stale ? object->previous_version : object->version;
    reply->version = version;
    reply->value = json_incref(stale ? object->previous : object->value);
    return version == 0 ? EB_STORE_NOT_FOUND : EB_STORE_OK;
}

/* Returns whether a request belongs to STEP_CLAIM: all reads, and writes of a
 * claim or of an object without a state. Writes of other states belong to
 * STEP_RECORD. */
static bool
is_claim(const EbStoreRequest *store)
{
    const char *state =
        json_string_value(json_object_get(store->value, "state"));
    return store->operation == EB_STORE_GET || state == NULL ||
           strcmp(state, "claimed") == 0;
}

static const char *
claim_state(const EbStoreRequest *store)
{
    const char *state =
        json_string_value(json_object_get(store->value, "state"));
    return state != NULL ? state : "-";
}

void
Simulation_SendStoreRequest(Simulation *simulation, uint32_t daemon,
                            EbStoreRequest *store)
{
    SimulationEvent *event =
        Simulation_Schedule(simulation, Simulation_Latency(simulation),
                            EVENT_STORE_REQUEST, daemon);
    event->store = *store;
    *store = (EbStoreRequest){0};
    Simulation_Trigger(simulation,
                       is_claim(&event->store) ? STEP_CLAIM : STEP_RECORD,
                       daemon, NULL);
}

void
Simulation_ApplyStoreRequest(Simulation *simulation, SimulationEvent *event)
{
    EbStoreReply reply = {0};
    EbStoreStatus status = apply(simulation, event, false, &reply);
    json_decref(reply.value);
    Simulation_Log(simulation, "store: late effect of %s %s: %s",
                   EbStoreOperation_names[event->store.operation],
                   event->store.name, EbStoreStatus_names[status]);
}

void
Simulation_ReceiveStoreRequest(Simulation *simulation, SimulationEvent *event)
{
    EbStoreRequest *store = &event->store;
    Step step = is_claim(store) ? STEP_CLAIM : STEP_RECORD;
    Fault fault = Simulation_ChooseFault(simulation, step, true);
    SimulationEvent *answer =
        Simulation_Schedule(simulation,
                            Simulation_Latency(simulation) +
                                (fault == FAULT_STORE_SLOW ? SLOW_US : 0),
                            EVENT_STORE_REPLY, event->daemon);
    answer->incarnation = event->incarnation;
    answer->reply.owner = store->owner;
    answer->reply.operation_id = store->operation_id;
    if (fault == FAULT_STORE_UNAVAILABLE) {
        answer->reply.status = EB_STORE_UNAVAILABLE;
    }
    else if (fault == FAULT_STORE_LOST) {
        answer->reply.status = EB_STORE_LOST;
    }
    else if (fault == FAULT_STORE_LOST_LATE) {
        answer->reply.status = EB_STORE_LOST;
        SimulationEvent *late = Simulation_Schedule(
            simulation, LATE_EFFECT_US, EVENT_STORE_APPLY, event->daemon);
        late->store = *store;
        *store = (EbStoreRequest){0};
    }
    else {
        answer->reply.status = apply(
            simulation, event, fault == FAULT_STORE_STALE, &answer->reply);
        answer->body = answer->reply.value;
        if (fault == FAULT_STORE_LOST_EFFECT) {
            answer->reply.status = EB_STORE_LOST;
        }
    }
    if (store->name != NULL) {
        Simulation_Log(simulation, "store: d%u %s %s state %s: %s, %s",
                       event->daemon, EbStoreOperation_names[store->operation],
                       store->name, claim_state(store),
                       EbStoreStatus_names[answer->reply.status],
                       Fault_names[fault]);
    }
}

const char *
Simulation_ClaimState(Simulation *simulation, const char *key)
{
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest(key, digest);
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, simulation->objects);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const StoredObject *object = value;
        if (strstr(name, digest) != NULL && object->version != 0) {
            /* Interned, so that the string outlives the object. */
            return g_intern_string(
                json_string_value(json_object_get(object->value, "state")));
        }
    }
    return "absent";
}
