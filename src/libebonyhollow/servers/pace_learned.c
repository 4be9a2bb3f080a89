#include <math.h>

#include "pace_state.h"

#define INITIAL_CAPACITY_SHARE 0.25
/* The number of daemons that use the server doubles in this time. With a
 * quarter of 16 slots at the start, 66 daemons use it after 1.6 s and 300
 * after 2.5 s. */
#define TURN_DOUBLING_US 400000.0
#define QUIET_US INT64_C(4000000)
#define MAX_PACE_US INT64_C(30000000)

/* Returns the calls of all daemons with which pace begins. */
static double
initial_calls(const EbPaceServer *server)
{
    return fmax(server->capacity * INITIAL_CAPACITY_SHARE, 1);
}

/* Returns the calls that each daemon has when they use the server alike. */
static double
fair_calls(const EbPace *pace, const EbPaceServer *server)
{
    double daemons = (double)EbFleetShare_LiveCount(pace->fleet);
    return fmax(server->capacity / fmax(daemons, 1), 1);
}

void
EbPace_Begin(EbPace *pace, EbPaceServer *server, const char *cause,
             bool by_turns, int64_t now_us)
{
    pace->paced_count += !server->paced;
    server->paced = true;
    server->by_turns = by_turns;
    server->cause = cause;
    server->since_us = now_us;
    server->rank = EbFleetShare_LiveRank(pace->fleet, server->id);
    server->slots =
        by_turns ? fmax(fair_calls(pace, server) * INITIAL_CAPACITY_SHARE, 1)
                 : 1;
    server->probing = true;
    server->slow_us = now_us;
    server->suspected_us = now_us;
    server->answers = (EbAnswerTest){0};
    EB_EMIT(pace->options.events, EB_EVENT_PACE_BEGUN,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("cause", cause));
}

static void
end_pace(EbPace *pace, EbPaceServer *server, const char *cause, int64_t now_us)
{
    server->paced = false;
    server->cause = "";
    pace->paced_count--;
    EB_EMIT(pace->options.events, EB_EVENT_PACE_ENDED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("cause", cause),
            EB_INTEGER_FIELD("after_us", now_us - server->since_us));
    if (pace->options.metrics != NULL) {
        EbMetrics_Add(pace->options.metrics, EB_METRIC_PACE_ENDED, 1, cause,
                      NULL, NULL);
    }
}

/* Returns when this daemon's turn begins. */
static int64_t
turn_begins(const EbPaceServer *server)
{
    double calls = initial_calls(server);
    if (!server->by_turns || (double)server->rank < calls) {
        return server->since_us;
    }
    double doublings = log2((double)(server->rank + 1) / calls);
    return server->since_us + (int64_t)(doublings * TURN_DOUBLING_US);
}

EbPaceServer *
EbPace_FindPaced(EbPace *pace, const char *server_id, int64_t now_us)
{
    EbPaceServer *server =
        pace->paced_count > 0 ? EbPace_FindServer(pace, server_id) : NULL;
    if (server == NULL || !server->paced) {
        return NULL;
    }
    int64_t quiet_us =
        MAX(turn_begins(server), server->suspected_us) + QUIET_US;
    bool old = now_us >= server->since_us + MAX_PACE_US;
    if (now_us < EbPace_ColdEnd(server) || (now_us < quiet_us && !old)) {
        return server;
    }
    end_pace(pace, server, old ? "time" : "quiet", now_us);
    return NULL;
}

bool
EbPace_IsHeld(EbPace *pace, const char *server_id, int64_t now_us)
{
    const EbPaceServer *server = EbPace_FindPaced(pace, server_id, now_us);
    return server != NULL && now_us < turn_begins(server);
}

double
EbPace_Slots(EbPace *pace, const char *server_id, double limit, int64_t now_us)
{
    const EbPaceServer *server = EbPace_FindPaced(pace, server_id, now_us);
    return server != NULL ? fmin(server->slots, limit) : limit;
}

static void
raise_slots(EbPaceServer *server)
{
    double raise = server->probing ? 1 : 1 / server->slots;
    server->slots = fmin(server->slots + raise, fmax(server->capacity, 1));
}

/* Calls that began before count no more, so a round trip lowers the slots
 * once. */
static void
lower_slots(EbPaceServer *server, double slots, int64_t now_us)
{
    server->slots = fmax(slots, 1);
    server->probing = false;
    server->slow_us = now_us;
    server->suspected_us = now_us;
    server->answers = (EbAnswerTest){0};
}

/* Adds a call of a server that is not on pace to the reference of its pool. */
static void
add_reference(EbAnswerReference *reference, const EbPaceCall *call)
{
    if (call->result == EB_PACE_ANSWERED && call->time > 0) {
        EbAnswerReference_AddAnswer(reference, call->time);
    }
    else if (call->result == EB_PACE_FAILED) {
        EbAnswerReference_AddFailure(reference);
    }
}

/* Compares a call of a server on pace with those of the others. */
static EbAnswerVerdict
judge_call(EbPaceServer *server, const EbPaceCall *call)
{
    static const EbAnswerReference unknown = {0};
    const EbAnswerReference *reference =
        server->reference != NULL ? server->reference : &unknown;
    if (call->result == EB_PACE_FAILED) {
        return EbAnswerTest_AddFailure(&server->answers, reference);
    }
    if (call->time <= 0) {
        return EB_ANSWERS_UNDECIDED;
    }
    return call->result == EB_PACE_ANSWERED
               ? EbAnswerTest_AddAnswer(&server->answers, reference,
                                        call->time)
               : EbAnswerTest_AddGivenUp(&server->answers, reference,
                                         call->time);
}

static void
record_paced_call(EbPace *pace, EbPaceServer *server, const EbPaceCall *call,
                  int64_t now_us)
{
    if (call->result == EB_PACE_REFUSED) {
        lower_slots(server, 1, now_us);
        return;
    }
    if (call->started_us < server->slow_us) {
        return;
    }
    EbAnswerVerdict verdict = judge_call(server, call);
    if (verdict == EB_ANSWERS_SLOW) {
        lower_slots(server, server->slots / 2, now_us);
        return;
    }
    if (server->answers.evidence > 0) {
        server->suspected_us = now_us;
    }
    if (call->result == EB_PACE_ANSWERED) {
        raise_slots(server);
    }
    if (verdict != EB_ANSWERS_USUAL) {
        return;
    }
    server->probing = true;
    if (server->slots >= fair_calls(pace, server) &&
        now_us >= EbPace_ColdEnd(server)) {
        end_pace(pace, server, "answers", now_us);
    }
}

void
EbPace_RecordResult(EbPace *pace, const char *server_id,
                    const EbPaceCall *call, int64_t now_us)
{
    EbPaceServer *server = EbPace_FindServer(pace, server_id);
    if (server == NULL) {
        return;
    }
    if (call->result == EB_PACE_REFUSED && server->cold_per_s > 0) {
        EbPace_DoubtServer(pace, server, now_us);
    }
    if (EbPace_FindPaced(pace, server_id, now_us) != NULL) {
        record_paced_call(pace, server, call, now_us);
    }
    else if (server->reference != NULL) {
        add_reference(server->reference, call);
    }
}
