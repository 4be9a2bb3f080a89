/* Crashes of backend servers and the requests suspected of causing them. */
#include <glib.h>

#include "dispatcher_private.h"

/* Always false with the plain policy, which has no quarantine. */
static bool
has_fingerprint_state(EbRequest *request, EbFingerprintState state,
                      int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    return !EbDispatcher_IsPlain(dispatcher) &&
           EbQuarantine_State(dispatcher->options.quarantine,
                              request->fingerprint, now_us) == state;
}

bool
EbRequest_IsSuspected(EbRequest *request, int64_t now_us)
{
    return has_fingerprint_state(request, EB_FINGERPRINT_SUSPECTED, now_us);
}

/* A forwarded request is refused for what it shares with others, which may
 * turn out to be sound, so its caller may come back. */
EbReason
EbRequest_CheckQuarantine(EbRequest *request, int64_t now_us)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (request->forward == NULL || dispatcher->options.suspects == NULL) {
        return has_fingerprint_state(request, EB_FINGERPRINT_QUARANTINED,
                                     now_us)
                   ? EB_REASON_QUARANTINED
                   : EB_REASON_NONE;
    }
    bool blocked = !EbDispatcher_IsPlain(dispatcher) &&
                   EbSuspects_Blocks(dispatcher->options.suspects,
                                     &request->forward->suspects, now_us);
    return blocked ? EB_REASON_SUSPECT_QUARANTINED : EB_REASON_NONE;
}

bool
EbRequest_HasRunningCopy(EbRequest *request, int64_t now_us)
{
    return EbRequest_IsSuspected(request, now_us) &&
           g_hash_table_contains(request->dispatcher->attempts_by_fingerprint,
                                 &request->fingerprint);
}

bool
EbRequest_AcceptsServer(void *context, const char *server_id)
{
    EbRequest *request = context;
    EbDispatcher *dispatcher = request->dispatcher;
    GPtrArray *running =
        g_hash_table_lookup(dispatcher->attempts_by_server, server_id);
    for (guint i = 0; running != NULL && i < running->len; i++) {
        EbAttempt *attempt = g_ptr_array_index(running, i);
        if (!attempt->lookup &&
            attempt->request->fingerprint != request->fingerprint &&
            EbRequest_IsSuspected(attempt->request, dispatcher->now_us)) {
            return false;
        }
    }
    return true;
}

void
EbAttempt_RecordCrash(EbAttempt *attempt, int64_t now_us)
{
    EbDispatcher *dispatcher = attempt->request->dispatcher;
    /* A crash breaks the connections of all calls on the server. It is counted
     * at the first of them, for all. */
    if (EbDispatcher_IsPlain(dispatcher) || attempt->crash_recorded) {
        return;
    }
    GPtrArray *running = g_hash_table_lookup(dispatcher->attempts_by_server,
                                             attempt->server_id);
    GHashTable *suspects = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (guint i = 0; i < running->len; i++) {
        EbAttempt *other = g_ptr_array_index(running, i);
        if (!other->lookup) {
            other->crash_recorded = true;
            g_hash_table_add(suspects, &other->request->fingerprint);
        }
    }
    EB_EMIT(dispatcher->options.events, EB_EVENT_SERVER_CRASHED,
            EB_STRING_FIELD("backend_server", attempt->server_id),
            EB_INTEGER_FIELD("in_flight", running->len));
    GHashTableIter iter;
    gpointer fingerprint;
    g_hash_table_iter_init(&iter, suspects);
    while (g_hash_table_iter_next(&iter, &fingerprint, NULL)) {
        EbQuarantine_RecordCrash(dispatcher->options.quarantine,
                                 *(EbFingerprint *)fingerprint, now_us);
    }
    g_hash_table_destroy(suspects);
}
