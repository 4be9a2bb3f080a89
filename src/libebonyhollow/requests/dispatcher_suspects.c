/* Evidence on what in forwarded requests crashes backend servers. */
#include <inttypes.h>
#include <string.h>

#include <glib.h>

#include "dispatcher_private.h"

/* A crash breaks all connections to a server, but a connection may also break
 * alone. After this time the server counts as crashed unless a call that was
 * on it still runs. */
#define CRASH_CHECK_DELAY_US 100000
/* The same, and until the reports of the other daemons have arrived. */
#define CRASH_EVIDENCE_DELAY_US 150000

/* All parts but the last, which belongs to one request or session. */
static uint32_t
count_shared_parts(const EbForwardCall *call)
{
    return call->part_count > 0 ? call->part_count - 1 : 0;
}

/* Of a long prompt the first parts are left out, which most requests share. */
void
EbRequest_SetSuspects(EbRequest *request)
{
    EbForwardState *state = request->forward;
    EbSuspectSet *set = &state->suspects;
    set->fingerprints[set->count++] = request->fingerprint;
    for (uint32_t i = count_shared_parts(state->call);
         i > 0 && set->count < EB_SUSPECTS_MAX; i--) {
        set->fingerprints[set->count++] =
            EbSuspects_PartFingerprint(state->call->parts[i - 1].id);
    }
}

/* Returns the ids and fingerprints of the shared parts, separated by blanks.
 * Free with g_free. */
static char *
list_shared_parts(const EbForwardState *state)
{
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < count_shared_parts(state->call); i++) {
        uint64_t id = state->call->parts[i].id;
        g_string_append_printf(text, "%s%" PRIx64 "/%016" PRIx64,
                               i > 0 ? " " : "", id,
                               EbSuspects_PartFingerprint(id));
    }
    return g_string_free(text, FALSE);
}

static void
report_unanswered(const EbAttempt *attempt)
{
    const EbRequest *request = attempt->request;
    char *parts = list_shared_parts(request->forward);
    EB_EMIT(request->dispatcher->options.events, EB_EVENT_CALL_UNANSWERED,
            EB_STRING_FIELD("request_id", request->summary->request_id),
            EB_INTEGER_FIELD("attempt", attempt->number),
            EB_STRING_FIELD("backend_server", attempt->server_id),
            EB_STRING_FIELD("parts", parts));
    g_free(parts);
}

/* Marks calls that broke together. */
static void
join_broken_calls(const EbDispatcher *dispatcher, EbBrokenCall *call)
{
    for (GList *item = dispatcher->broken_calls.head; item != NULL;
         item = item->next) {
        EbBrokenCall *earlier = item->data;
        if (strcmp(earlier->server_id, call->server_id) == 0) {
            earlier->alone = false;
            call->alone = false;
        }
    }
}

void
EbAttempt_RecordBroken(const EbAttempt *attempt, int64_t now_us)
{
    EbDispatcher *dispatcher = attempt->request->dispatcher;
    const EbForwardState *state = attempt->request->forward;
    if (!attempt->has_tokens) {
        report_unanswered(attempt);
    }
    if (dispatcher->options.suspects == NULL) {
        return;
    }
    EbBrokenCall *call = g_new0(EbBrokenCall, 1);
    *call = (EbBrokenCall){.server_id = g_strdup(attempt->server_id),
                           .at_us = now_us,
                           .alone = true};
    if (!attempt->has_tokens) {
        call->suspects = state->suspects;
    }
    join_broken_calls(dispatcher, call);
    g_queue_push_tail(&dispatcher->broken_calls, call);
}

void
EbAttempt_RecordAnswered(const EbAttempt *attempt, int64_t now_us)
{
    EbSuspects *suspects = attempt->request->dispatcher->options.suspects;
    const EbSuspectSet *set = &attempt->request->forward->suspects;
    for (uint32_t i = 0; suspects != NULL && i < set->count; i++) {
        EbSuspects_RecordAnswer(suspects, set->fingerprints[i], i > 0, now_us);
    }
}

int64_t
EbRequest_CrashEvidenceDelay(const EbRequest *request, int64_t now_us)
{
    EbSuspects *suspects = request->dispatcher->options.suspects;
    const EbForwardState *state = request->forward;
    if (state == NULL || state->head != NULL || suspects == NULL) {
        return 0;
    }
    return EbSuspects_AreDoubted(suspects, &state->suspects, now_us)
               ? CRASH_EVIDENCE_DELAY_US
               : 0;
}

void
EbBrokenCall_Free(gpointer pointer)
{
    EbBrokenCall *call = pointer;
    g_free(call->server_id);
    g_free(call);
}

/* Returns whether a call still runs that was on the server when the other one
 * broke. */
static bool
has_survived(const EbDispatcher *dispatcher, const EbBrokenCall *call)
{
    const GPtrArray *running =
        g_hash_table_lookup(dispatcher->attempts_by_server, call->server_id);
    for (guint i = 0; running != NULL && i < running->len; i++) {
        const EbAttempt *attempt = g_ptr_array_index(running, i);
        if (attempt->started_us < call->at_us) {
            return true;
        }
    }
    return false;
}

void
EbDispatcher_CheckBrokenCalls(EbDispatcher *dispatcher, int64_t now_us)
{
    while (EbDispatcher_NextBrokenCallCheck(dispatcher) <= now_us) {
        EbBrokenCall *call = g_queue_pop_head(&dispatcher->broken_calls);
        if (!has_survived(dispatcher, call)) {
            EbSuspects_RecordCrash(dispatcher->options.suspects,
                                   &call->suspects, call->server_id,
                                   call->alone, call->at_us, now_us);
        }
        EbBrokenCall_Free(call);
    }
}

int64_t
EbDispatcher_NextBrokenCallCheck(const EbDispatcher *dispatcher)
{
    const EbBrokenCall *oldest =
        g_queue_peek_head((GQueue *)&dispatcher->broken_calls);
    return oldest != NULL ? oldest->at_us + CRASH_CHECK_DELAY_US : INT64_MAX;
}
