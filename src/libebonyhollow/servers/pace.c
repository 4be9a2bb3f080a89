#include "ebonyhollow/pace.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "ebonyhollow/fleet_share.h"

/* Servers that are kept, those of earlier configurations included. */
#define MAX_SERVERS 4096
/* Part of the bound that is divided. The rest is for calls of daemons whose
 * views of the membership differ for a moment. */
#define BOUND_PART 0.9
/* A bucket with one token and a rate below a whole number of calls sends at
 * most that many in any second. */
#define RATE_MARGIN_PER_S 0.05
/* A daemon that just started knows only some of the others. */
#define START_HOLD_US INT64_C(3000000)
/* An entry that arrives sooner after an event may have been written before it.
 */
#define ENTRY_DELAY_US INT64_C(500000)
/* Without an entry, a server that may be cold counts as cold for this time, in
 * addition to that of its pool. */
#define DOUBT_US INT64_C(10000000)

#define INITIAL_CAPACITY_SHARE 0.25
/* The number of daemons that use the server doubles in this time. With a
 * quarter of 16 slots at the start, 66 daemons use it after 1.6 s and 300
 * after 2.5 s. */
#define TURN_DOUBLING_US 400000.0
#define USUAL_ANSWERS 8
#define QUIET_US INT64_C(4000000)
#define MAX_PACE_US INT64_C(30000000)

typedef struct {
    char *id;
    char *failure_domain; /* NULL until it was in a configuration */
    uint64_t incarnation;
    bool current; /* in the configuration in force */
    uint32_t capacity;

    double cold_per_s; /* of its pool; 0: not bounded */
    int64_t pool_cold_us;
    int64_t cold_until_us;
    int64_t doubted_us; /* since when it may be cold; valid with a doubt */
    int64_t doubt_until_us;
    EbTokenBucket part;

    bool paced;
    bool by_turns; /* all daemons began at about the same time */
    const char *cause;
    int64_t since_us;
    int64_t unusual_us; /* last unusual answer */
    size_t rank;
    double slots;
    uint32_t usual; /* answers without an unusual one between them */
} Server;

struct EbPace {
    EbPaceOptions options;
    char *instance;
    EbFleetShare *fleet;
    GHashTable *servers; /* id to Server */
    bool configured;
    int64_t cold_end_us; /* no server is cold from then on */
    uint32_t paced_count;
};

static void
free_server(gpointer pointer)
{
    Server *server = pointer;
    g_free(server->id);
    g_free(server->failure_domain);
    g_free(server);
}

EbPace *
EbPace_New(const EbPaceOptions *options)
{
    EbPace *pace = g_new0(EbPace, 1);
    pace->options = *options;
    pace->instance = g_strdup(options->instance);
    pace->options.instance = pace->instance;
    pace->fleet = EbFleetShare_New(options->instance);
    pace->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    return pace;
}

void
EbPace_Free(EbPace *pace)
{
    if (pace == NULL) {
        return;
    }
    g_hash_table_destroy(pace->servers);
    EbFleetShare_Free(pace->fleet);
    g_free(pace->instance);
    g_free(pace);
}

EbPace *
EbPace_Copy(const EbPace *pace)
{
    EbPaceOptions options = pace->options;
    options.events = NULL;
    options.metrics = NULL;
    EbPace *copy = EbPace_New(&options);
    copy->configured = pace->configured;
    copy->cold_end_us = pace->cold_end_us;
    copy->paced_count = pace->paced_count;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Server *server = g_memdup2(value, sizeof(*server));
        server->id = g_strdup(server->id);
        server->failure_domain = g_strdup(server->failure_domain);
        g_hash_table_insert(copy->servers, server->id, server);
    }
    return copy;
}

static Server *
find_server(const EbPace *pace, const char *id)
{
    return g_hash_table_lookup(pace->servers, id);
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    const Server *server = value;
    return !server->current && !server->paced;
}

/* Returns NULL when there is no room for a server. */
static Server *
add_server(EbPace *pace, const char *id)
{
    if (g_hash_table_size(pace->servers) >= MAX_SERVERS) {
        g_hash_table_foreach_remove(pace->servers, is_unused, NULL);
    }
    if (g_hash_table_size(pace->servers) >= MAX_SERVERS) {
        return NULL;
    }
    Server *server = g_new0(Server, 1);
    server->id = g_strdup(id);
    server->cause = "";
    g_hash_table_insert(pace->servers, server->id, server);
    return server;
}

/* The bound */

static int64_t
cold_end(const Server *server)
{
    return server->cold_per_s > 0
               ? MAX(server->cold_until_us, server->doubt_until_us)
               : 0;
}

/* Returns the calls a second that this daemon may send to a cold server. In
 * any second, a daemon sends a whole number of calls, which is why the bound
 * is divided by calls first and the rate follows. */
static double
compute_part(const EbPace *pace, const Server *server, int64_t now_us)
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

static void
update_part(const EbPace *pace, Server *server, int64_t now_us)
{
    EbTokenBucket_SetRate(&server->part, compute_part(pace, server, now_us), 1,
                          now_us);
}

/* Returns a number from 0 to 1 that differs between daemons and servers. */
static double
phase(const EbPace *pace, const Server *server)
{
    uint64_t seed = XXH64(pace->instance, strlen(pace->instance), 0);
    uint64_t hash = XXH64(server->id, strlen(server->id), seed);
    return (double)(hash >> 32) / (double)UINT32_MAX;
}

/* Puts a change of a server's cold time into force. A daemon that has a part
 * when the server becomes cold begins with a part of a token, so that the
 * first calls of all daemons spread over the time of one token. */
static void
cold_changed(EbPace *pace, Server *server, bool was_cold, int64_t now_us)
{
    int64_t end_us = cold_end(server);
    pace->cold_end_us = MAX(pace->cold_end_us, end_us);
    bool cold = now_us < end_us;
    if (cold == was_cold) {
        return;
    }
    if (cold) {
        server->part = (EbTokenBucket){.tokens = phase(pace, server),
                                       .max_tokens = 1,
                                       .filled_us = now_us};
        update_part(pace, server, now_us);
    }
    EB_EMIT(
        pace->options.events,
        cold ? EB_EVENT_SERVER_COLD : EB_EVENT_SERVER_WARM,
        EB_STRING_FIELD("backend_server", server->id),
        EB_INTEGER_FIELD("left_us", cold ? end_us - now_us : 0),
        EB_INTEGER_FIELD("share_milli", llround(server->part.per_s * 1000)));
}

/* Counts a server as cold until its entry says otherwise. */
static void
doubt_server(EbPace *pace, Server *server, int64_t now_us)
{
    bool was_cold = now_us < cold_end(server);
    server->doubted_us = now_us;
    server->doubt_until_us = now_us + DOUBT_US + server->pool_cold_us;
    cold_changed(pace, server, was_cold, now_us);
}

static Server *
find_cold(const EbPace *pace, const char *server_id, int64_t now_us)
{
    if (now_us >= pace->cold_end_us) {
        return NULL;
    }
    Server *server = find_server(pace, server_id);
    return server != NULL && now_us < cold_end(server) ? server : NULL;
}

int64_t
EbPace_NextAdmission(EbPace *pace, const char *server_id, int64_t now_us)
{
    const Server *server = find_cold(pace, server_id, now_us);
    return server != NULL ? MIN(EbTokenBucket_NextToken(&server->part, now_us),
                                cold_end(server))
                          : now_us;
}

bool
EbPace_FindShare(EbPace *pace, const char *server_id, double *calls_per_s,
                 int64_t now_us)
{
    const Server *server = find_cold(pace, server_id, now_us);
    if (server == NULL) {
        return false;
    }
    *calls_per_s = server->part.per_s;
    return true;
}

void
EbPace_RecordCall(EbPace *pace, const char *server_id, int64_t now_us)
{
    Server *server = find_cold(pace, server_id, now_us);
    if (server != NULL) {
        EbTokenBucket_Take(&server->part, now_us);
    }
    if (pace->options.metrics != NULL && server != NULL) {
        EbMetrics_Add(pace->options.metrics, EB_METRIC_COLD_CALLS, 1, NULL,
                      NULL, NULL);
    }
}

/* The learned pace */

static double
initial_calls(const Server *server)
{
    return fmax(server->capacity * INITIAL_CAPACITY_SHARE, 1);
}

static void
begin_pace(EbPace *pace, Server *server, const char *cause, bool by_turns,
           int64_t now_us)
{
    double daemons = (double)EbFleetShare_LiveCount(pace->fleet);
    pace->paced_count += !server->paced;
    server->paced = true;
    server->by_turns = by_turns;
    server->cause = cause;
    server->since_us = now_us;
    server->unusual_us = now_us;
    server->rank = EbFleetShare_LiveRank(pace->fleet, server->id);
    server->slots =
        by_turns ? fmax(initial_calls(server) / fmax(daemons, 1), 1) : 1;
    server->usual = 0;
    EB_EMIT(pace->options.events, EB_EVENT_PACE_BEGUN,
            EB_STRING_FIELD("backend_server", server->id),
            EB_STRING_FIELD("cause", cause));
}

static void
end_pace(EbPace *pace, Server *server, const char *cause, int64_t now_us)
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
turn_begins(const Server *server)
{
    double calls = initial_calls(server);
    if (!server->by_turns || (double)server->rank < calls) {
        return server->since_us;
    }
    double doublings = log2((double)(server->rank + 1) / calls);
    return server->since_us + (int64_t)(doublings * TURN_DOUBLING_US);
}

/* Returns a server on pace, after ending the pace if it is time. */
static Server *
find_paced(EbPace *pace, const char *server_id, int64_t now_us)
{
    Server *server =
        pace->paced_count > 0 ? find_server(pace, server_id) : NULL;
    if (server == NULL || !server->paced) {
        return NULL;
    }
    int64_t quiet_us = MAX(turn_begins(server), server->unusual_us) + QUIET_US;
    bool old = now_us >= server->since_us + MAX_PACE_US;
    if (now_us < cold_end(server) || (now_us < quiet_us && !old)) {
        return server;
    }
    end_pace(pace, server, old ? "time" : "quiet", now_us);
    return NULL;
}

bool
EbPace_IsHeld(EbPace *pace, const char *server_id, int64_t now_us)
{
    const Server *server = find_paced(pace, server_id, now_us);
    return server != NULL && now_us < turn_begins(server);
}

double
EbPace_Slots(EbPace *pace, const char *server_id, double limit, int64_t now_us)
{
    const Server *server = find_paced(pace, server_id, now_us);
    return server != NULL ? fmin(server->slots, limit) : limit;
}

static void
record_usual(EbPace *pace, Server *server, int64_t now_us)
{
    server->usual++;
    server->slots = fmin(server->slots + 1, fmax(server->capacity, 1));
    if (server->usual >= USUAL_ANSWERS && now_us >= cold_end(server)) {
        end_pace(pace, server, "answers", now_us);
    }
}

void
EbPace_RecordResult(EbPace *pace, const char *server_id, EbPaceResult result,
                    int64_t now_us)
{
    if (result == EB_PACE_REFUSED) {
        Server *refusing = find_server(pace, server_id);
        if (refusing != NULL && refusing->cold_per_s > 0) {
            doubt_server(pace, refusing, now_us);
        }
    }
    Server *server = find_paced(pace, server_id, now_us);
    if (server == NULL) {
        return;
    }
    if (result == EB_PACE_USUAL) {
        record_usual(pace, server, now_us);
        return;
    }
    server->usual = 0;
    server->unusual_us = now_us;
    server->slots = result == EB_PACE_SLOW ? fmax(server->slots / 2, 1) : 1;
}

void
EbPace_Readmitted(EbPace *pace, const char *server_id, int64_t now_us)
{
    Server *server = find_server(pace, server_id);
    if (server == NULL) {
        server = add_server(pace, server_id);
    }
    if (server != NULL) {
        begin_pace(pace, server, "readmitted", false, now_us);
    }
}

/* What is known of the servers */

void
EbPace_SetMembers(EbPace *pace, const char *const *live, size_t live_count,
                  const char *const *lost, size_t lost_count, int64_t now_us)
{
    EbFleetShare_SetMembers(pace->fleet, live, live_count, lost, lost_count);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Server *server = value;
        if (now_us < cold_end(server)) {
            update_part(pace, server, now_us);
        }
        if (server->paced) {
            server->rank = EbFleetShare_LiveRank(pace->fleet, server->id);
        }
    }
}

/* Handles a start of a server that this daemon did not know of. */
static void
record_start(EbPace *pace, Server *server, uint64_t incarnation,
             int64_t cold_left_us, int64_t now_us)
{
    bool was_cold = now_us < cold_end(server);
    server->incarnation = incarnation;
    server->doubt_until_us = 0;
    server->cold_until_us =
        now_us + (cold_left_us >= 0 ? cold_left_us : server->pool_cold_us);
    cold_changed(pace, server, was_cold, now_us);
    begin_pace(pace, server, "started", true, now_us);
}

void
EbPace_RecordEntry(EbPace *pace, const char *server_id, uint64_t incarnation,
                   int64_t cold_left_us, int64_t now_us)
{
    Server *server = find_server(pace, server_id);
    bool is_new = server == NULL;
    if (is_new) {
        server = add_server(pace, server_id);
        if (server == NULL) {
            return;
        }
        server->incarnation = incarnation;
    }
    if (pace->configured &&
        (is_new || (incarnation != 0 && server->incarnation != 0 &&
                    incarnation != server->incarnation))) {
        record_start(pace, server, incarnation, cold_left_us, now_us);
        return;
    }
    server->incarnation = incarnation != 0 ? incarnation : server->incarnation;
    if (cold_left_us < 0) {
        return;
    }
    bool was_cold = now_us < cold_end(server);
    server->cold_until_us = now_us + cold_left_us;
    if (now_us >= server->doubted_us + ENTRY_DELAY_US) {
        server->doubt_until_us = 0;
    }
    cold_changed(pace, server, was_cold, now_us);
    if (cold_left_us > 0 && !was_cold && !server->paced) {
        begin_pace(pace, server, "cold", true, now_us);
    }
}

void
EbPace_DomainReturned(EbPace *pace, const char *failure_domain, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Server *server = value;
        if (server->current &&
            g_strcmp0(server->failure_domain, failure_domain) == 0) {
            doubt_server(pace, server, now_us);
            begin_pace(pace, server, "evacuation", true, now_us);
        }
    }
}

static void
set_server(EbPace *pace, const EbConfigPool *pool,
           const EbConfigBackendServer *row, int64_t now_us)
{
    Server *server = find_server(pace, row->id);
    bool is_new = server == NULL;
    if (is_new) {
        server = add_server(pace, row->id);
    }
    if (server == NULL) {
        return;
    }
    bool was_cold = now_us < cold_end(server);
    server->current = true;
    server->capacity = row->capacity;
    server->cold_per_s = pool->cold_requests_per_s;
    server->pool_cold_us = pool->cold_us;
    if (g_strcmp0(server->failure_domain, row->failure_domain) != 0) {
        g_free(server->failure_domain);
        server->failure_domain = g_strdup(row->failure_domain);
    }
    if (is_new && pace->configured) {
        record_start(pace, server, row->incarnation, -1, now_us);
        return;
    }
    cold_changed(pace, server, was_cold, now_us);
    if (was_cold) {
        update_part(pace, server, now_us);
    }
}

void
EbPace_SetConfig(EbPace *pace, const EbConfig *config, int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pace->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Server *)value)->current = false;
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        const EbConfigBackendServer *row = &config->servers[i];
        set_server(pace, &config->pools[row->pool_index], row, now_us);
    }
    pace->configured = true;
}

void
EbPace_View(EbPace *pace, const char *server_id, EbPaceView *view,
            int64_t now_us)
{
    const Server *cold = find_cold(pace, server_id, now_us);
    const Server *paced = find_paced(pace, server_id, now_us);
    *view = (EbPaceView){
        .paced = paced != NULL,
        .cause = paced != NULL ? paced->cause : "",
        .cold_left_us = cold != NULL ? cold_end(cold) - now_us : 0,
    };
}

uint32_t
EbPace_Count(const EbPace *pace)
{
    return pace->paced_count;
}
