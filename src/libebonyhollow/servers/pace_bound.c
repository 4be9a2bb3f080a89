#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "pace_state.h"

/* Part of the bound that is divided. The rest is for calls of daemons whose
 * views of the membership differ for a moment. */
#define BOUND_PART 0.9
/* A bucket with one token and a rate below a whole number of calls sends at
 * most that many in any second. */
#define RATE_MARGIN_PER_S 0.05
/* A daemon that just started knows only some of the others. */
#define START_HOLD_US INT64_C(3000000)
/* Without an entry, a server that may be cold counts as cold for this time, in
 * addition to that of its pool. */
#define DOUBT_US INT64_C(10000000)

int64_t
EbPace_ColdEnd(const EbPaceServer *server)
{
    return server->cold_per_s > 0
               ? MAX(server->cold_until_us, server->doubt_until_us)
               : 0;
}

/* Returns the calls a second that this daemon may send to a cold server. In
 * any second, a daemon sends a whole number of calls, which is why the bound
 * is divided by calls first and the rate follows. */
static double
compute_part(const EbPace *pace, const EbPaceServer *server, int64_t now_us)
{
    const EbPaceOptions *options = &pace->options;
    double overrun = options->cold_overrun > 0 ? options->cold_overrun : 1;
    double bound = server->cold_per_s * overrun + options->cold_margin;
    double known = (double)MAX(EbFleetShare_KnownCount(pace->fleet),
                               options->min_members);
    bool starting = options->min_members > 1 &&
                    now_us - options->started_us < START_HOLD_US;
    if (starting || bound < 1 || !EbFleetShare_IsMember(pace->fleet)) {
        return 0;
    }
    double divided = fmax(bound * BOUND_PART, 1);
    double users = fmin(floor(divided), known);
    if ((double)EbFleetShare_KnownRank(pace->fleet, server->id) >= users) {
        return 0;
    }
    double max_per_s = floor(divided / users) - RATE_MARGIN_PER_S;
    return fmin(server->cold_per_s / users, max_per_s);
}

void
EbPace_UpdatePart(const EbPace *pace, EbPaceServer *server, int64_t now_us)
{
    EbTokenBucket_SetRate(&server->part, compute_part(pace, server, now_us), 1,
                          now_us);
}

/* Returns a number from 0 to 1 that differs between daemons and servers. */
static double
phase(const EbPace *pace, const EbPaceServer *server)
{
    uint64_t seed = XXH64(pace->instance, strlen(pace->instance), 0);
    uint64_t hash = XXH64(server->id, strlen(server->id), seed);
    return (double)(hash >> 32) / (double)UINT32_MAX;
}

/* A daemon that has a part
 * when the server becomes cold begins with a part of a token, so that the
 * first calls of all daemons spread over the time of one token. */
void
EbPace_ColdChanged(EbPace *pace, EbPaceServer *server, bool was_cold,
                   int64_t now_us)
{
    int64_t end_us = EbPace_ColdEnd(server);
    pace->cold_end_us = MAX(pace->cold_end_us, end_us);
    bool cold = now_us < end_us;
    if (cold == was_cold) {
        return;
    }
    if (cold) {
        server->part = (EbTokenBucket){.tokens = phase(pace, server),
                                       .max_tokens = 1,
                                       .filled_us = now_us};
        EbPace_UpdatePart(pace, server, now_us);
    }
    EB_EMIT(
        pace->options.events,
        cold ? EB_EVENT_SERVER_COLD : EB_EVENT_SERVER_WARM,
        EB_STRING_FIELD("backend_server", server->id),
        EB_INTEGER_FIELD("left_us", cold ? end_us - now_us : 0),
        EB_INTEGER_FIELD("share_milli", llround(server->part.per_s * 1000)));
}

void
EbPace_DoubtServer(EbPace *pace, EbPaceServer *server, int64_t now_us)
{
    bool was_cold = now_us < EbPace_ColdEnd(server);
    server->doubted_us = now_us;
    server->doubt_until_us = now_us + DOUBT_US + server->pool_cold_us;
    EbPace_ColdChanged(pace, server, was_cold, now_us);
}

EbPaceServer *
EbPace_FindCold(const EbPace *pace, const char *server_id, int64_t now_us)
{
    if (now_us >= pace->cold_end_us) {
        return NULL;
    }
    EbPaceServer *server = EbPace_FindServer(pace, server_id);
    return server != NULL && now_us < EbPace_ColdEnd(server) ? server : NULL;
}

int64_t
EbPace_NextAdmission(EbPace *pace, const char *server_id, int64_t now_us)
{
    const EbPaceServer *server = EbPace_FindCold(pace, server_id, now_us);
    return server != NULL ? MIN(EbTokenBucket_NextToken(&server->part, now_us),
                                EbPace_ColdEnd(server))
                          : now_us;
}

bool
EbPace_FindShare(EbPace *pace, const char *server_id, double *calls_per_s,
                 int64_t now_us)
{
    const EbPaceServer *server = EbPace_FindCold(pace, server_id, now_us);
    if (server == NULL) {
        return false;
    }
    *calls_per_s = server->part.per_s;
    return true;
}

void
EbPace_RecordCall(EbPace *pace, const char *server_id, int64_t now_us)
{
    EbPaceServer *server = EbPace_FindCold(pace, server_id, now_us);
    if (server != NULL) {
        EbTokenBucket_Take(&server->part, now_us);
    }
    if (pace->options.metrics != NULL && server != NULL) {
        EbMetrics_Add(pace->options.metrics, EB_METRIC_COLD_CALLS, 1, NULL,
                      NULL, NULL);
    }
}
