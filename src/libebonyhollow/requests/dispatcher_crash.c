/* Crashes of backend servers and the requests suspected of causing them. */
#include <inttypes.h>

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

bool
EbRequest_IsQuarantined(EbRequest *request, int64_t now_us)
{
    return has_fingerprint_state(request, EB_FINGERPRINT_QUARANTINED, now_us);
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
    bool alone = g_hash_table_size(suspects) == 1;
    GHashTableIter iter;
    gpointer fingerprint;
    g_hash_table_iter_init(&iter, suspects);
    while (g_hash_table_iter_next(&iter, &fingerprint, NULL)) {
        EbQuarantine_RecordCrash(dispatcher->options.quarantine,
                                 *(EbFingerprint *)fingerprint, alone, now_us);
    }
    g_hash_table_destroy(suspects);
}

/* Returns the ids of the parts that other requests may share, separated by
 * blanks. Free with g_free. */
static char *
list_shared_parts(const EbForwardCall *call)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i + 1 < call->part_count; i++) {
        g_string_append_printf(text, "%s%" PRIx64, i > 0 ? " " : "",
                               call->parts[i].id);
    }
    return g_string_free(text, FALSE);
}

void
EbAttempt_RecordUnanswered(const EbAttempt *attempt)
{
    const EbRequest *request = attempt->request;
    char *parts = list_shared_parts(request->forward->call);
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_CALL_UNANSWERED,
            EB_STRING_FIELD("request_id", request->summary->request_id),
            EB_INTEGER_FIELD("attempt", attempt->number),
            EB_STRING_FIELD("backend_server", attempt->server_id),
            EB_STRING_FIELD("parts", parts));
    g_free(parts);
}
