#include "ebonyhollow/directives.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/fleet_share.h"
#include "ebonyhollow/incarnation.h"

/* Servers that are kept: more than those of two deployments of the planned
 * size. Further ones are not limited until an entry has expired. */
#define MAX_SERVERS 4096
/* A lower limit counts as this one. Without any call its end would never be
 * learned. */
#define MIN_REQUESTS_PER_S 0.1
/* Rate for which one daemon more shares the limit. All daemons may use their
 * tokens at once, so it bounds how far a burst is above the limit. */
#define REQUESTS_PER_S_PER_DAEMON 1.0
/* A daemon saves up tokens for this time, but at least one. */
#define BURST_S 0.25
/* The mark of a leaving server is kept for this time at least, by which the
 * server has ended. */
#define LEAVING_LIFETIME_US (60LL * 60 * 1000 * 1000)
#define MAX_PAUSE_US (10LL * 60 * 1000 * 1000)
/* What several daemons may have learned at once is told by the first one: each
 * waits for a random time of up to this much a daemon. */
#define REPORT_SPREAD_US UINT64_C(2000)
/* The daemons that use a limit repeat it to the others. */
#define REPORT_INTERVAL_US (15LL * 1000 * 1000)
/* A limit that changed by less than this part is not told again. */
#define REPORT_MIN_CHANGE 0.05

typedef struct {
    char *id;
    bool leaving;
    uint64_t leaving_incarnation; /* that is leaving; 0: any */
    int64_t leaving_since_us;
    int64_t paused_until_us;
    bool limited;
    double requests_per_s;
    int64_t heard_us;    /* of the answer by which limit or its end is known */
    EbTokenBucket share; /* of the limit */
    double told_requests_per_s; /* last value known to the others; -1: none */
    int64_t told_us;
    int64_t report_us; /* when to tell the others; INT64_MAX: not */
} Server;

/* The present start of a server. */
typedef struct {
    uint64_t incarnation;
    int64_t known_us; /* since when this daemon knows of it */
    bool current;     /* in the configuration in force */
} Start;

struct EbDirectives {
    EbRandom *random;
    const EbEventSink *events;
    EbMetrics *metrics;
    EbPace *pace;        /* may be NULL */
    GHashTable *servers; /* id to Server */
    GHashTable *starts;  /* id to Start */
    EbFleetShare *fleet;
};

static void
free_server(gpointer pointer)
{
    Server *server = pointer;
    g_free(server->id);
    g_free(server);
}

EbDirectives *
EbDirectives_New(const EbDirectivesOptions *options)
{
    EbDirectives *directives = g_new0(EbDirectives, 1);
    directives->random = options->random;
    directives->events = options->events;
    directives->metrics = options->metrics;
    directives->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    directives->starts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    directives->fleet = EbFleetShare_New(options->instance);
    directives->pace = options->pace;
    return directives;
}

void
EbDirectives_Free(EbDirectives *directives)
{
    if (directives == NULL) {
        return;
    }
    g_hash_table_destroy(directives->servers);
    g_hash_table_destroy(directives->starts);
    EbFleetShare_Free(directives->fleet);
    g_free(directives);
}

/* Entries */

static bool
limit_expired(const Server *server, int64_t now_us)
{
    return now_us - server->heard_us >= EB_DIRECTIVES_LIMIT_LIFETIME_US;
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    const Server *server = value;
    int64_t now_us = *(const int64_t *)context;
    bool leaving = server->leaving &&
                   now_us - server->leaving_since_us < LEAVING_LIFETIME_US;
    return !leaving && server->paused_until_us <= now_us &&
           limit_expired(server, now_us);
}

static Server *
find_server(const EbDirectives *directives, const char *id)
{
    return g_hash_table_lookup(directives->servers, id);
}

/* Returns the entry of a server, or NULL when there is no room for it. */
static Server *
get_server(EbDirectives *directives, const char *id, int64_t now_us)
{
    Server *server = find_server(directives, id);
    if (server != NULL) {
        return server;
    }
    if (g_hash_table_size(directives->servers) >= MAX_SERVERS) {
        g_hash_table_foreach_remove(directives->servers, is_unused, &now_us);
    }
    if (g_hash_table_size(directives->servers) >= MAX_SERVERS) {
        return NULL;
    }
    server = g_new0(Server, 1);
    server->id = g_strdup(id);
    server->heard_us = INT64_MIN / 2;
    server->told_requests_per_s = -1;
    server->report_us = INT64_MAX;
    g_hash_table_insert(directives->servers, server->id, server);
    return server;
}

/* Shares */

static double
compute_share(const EbDirectives *directives, const Server *server)
{
    if (!server->limited || !EbFleetShare_IsMember(directives->fleet)) {
        return 0;
    }
    /* Lost daemons keep their places: daemons that disagree on who is lost, as
     * at the start of a partition, still choose the same users. */
    double known = (double)EbFleetShare_KnownCount(directives->fleet);
    double wanted = floor(server->requests_per_s / REQUESTS_PER_S_PER_DAEMON);
    size_t users = (size_t)CLAMP(wanted, 1, known);
    if (EbFleetShare_KnownRank(directives->fleet, server->id) >= users) {
        return 0;
    }
    return server->requests_per_s / (double)users;
}

static void
update_share(const EbDirectives *directives, Server *server, int64_t now_us)
{
    double share = compute_share(directives, server);
    EbTokenBucket_SetRate(&server->share, share, fmax(1, share * BURST_S),
                          now_us);
}

void
EbDirectives_SetMembers(EbDirectives *directives, const char *const *live,
                        size_t live_count, const char *const *lost,
                        size_t lost_count, int64_t now_us)
{
    EbFleetShare_SetMembers(directives->fleet, live, live_count, lost,
                            lost_count);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directives->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        update_share(directives, value, now_us);
    }
}

/* Limits */

static void
report_change(const EbDirectives *directives, const Server *server,
              const char *source)
{
    EB_EMIT(
        directives->events,
        server->limited ? EB_EVENT_SERVER_LIMITED
                        : EB_EVENT_SERVER_LIMIT_ENDED,
        EB_STRING_FIELD("backend_server", server->id),
        EB_INTEGER_FIELD("requests_per_s_milli",
                         llround(server->requests_per_s * 1000)),
        EB_INTEGER_FIELD("share_milli", llround(server->share.per_s * 1000)),
        EB_STRING_FIELD("source", source));
}

/* Sets or ends the limit. `requests_per_s` is 0 when there is none. */
static void
set_limit(EbDirectives *directives, Server *server, bool limited,
          double requests_per_s, int64_t heard_us, const char *source,
          int64_t now_us)
{
    bool was_limited = server->limited && !limit_expired(server, now_us);
    bool changed = limited != was_limited ||
                   (limited && requests_per_s != server->requests_per_s);
    server->heard_us = heard_us;
    if (!changed) {
        return;
    }
    if (!was_limited) {
        server->share = (EbTokenBucket){.filled_us = now_us};
    }
    server->limited = limited;
    server->requests_per_s = requests_per_s;
    update_share(directives, server, now_us);
    report_change(directives, server, source);
}

/* Returns whether the others have to be told what this daemon just learned. */
static bool
is_news(const Server *server, int64_t now_us)
{
    double told = server->told_requests_per_s;
    if (!server->limited) {
        return told > 0;
    }
    return told <= 0 ||
           fabs(server->requests_per_s - told) > REPORT_MIN_CHANGE * told ||
           (server->share.per_s > 0 &&
            now_us - server->told_us >= REPORT_INTERVAL_US);
}

static void
schedule_report(EbDirectives *directives, Server *server, int64_t now_us)
{
    if (!is_news(server, now_us)) {
        server->report_us = INT64_MAX;
    }
    else if (server->report_us == INT64_MAX) {
        uint64_t spread_us =
            REPORT_SPREAD_US * EbFleetShare_LiveCount(directives->fleet);
        server->report_us =
            now_us +
            (int64_t)EbRandom_Below(directives->random, MAX(spread_us, 1));
    }
}

static double
read_limit(const EbServerDirective *directive)
{
    return fmax(directive->requests_per_s_milli / 1000.0, MIN_REQUESTS_PER_S);
}

static void
record_limit(EbDirectives *directives, Server *server,
             const EbServerDirective *directive, int64_t sent_us,
             int64_t now_us)
{
    if (!directive->has_limit &&
        (!server->limited || sent_us <= server->heard_us)) {
        return;
    }
    set_limit(directives, server, directive->has_limit,
              directive->has_limit ? read_limit(directive) : 0, now_us,
              "answer", now_us);
    schedule_report(directives, server, now_us);
}

static void
count_directive(const EbDirectives *directives, bool asked, const char *kind)
{
    if (asked && directives->metrics != NULL) {
        EbMetrics_Add(directives->metrics, EB_METRIC_DIRECTIVES, 1, kind, NULL,
                      NULL);
    }
}

void
EbDirectives_RecordAnswer(EbDirectives *directives, const char *server_id,
                          const EbServerDirective *directive, int64_t sent_us,
                          int64_t now_us)
{
    bool asks = directive->has_limit || directive->retry_after_us > 0;
    count_directive(directives, directive->has_limit, "limit");
    count_directive(directives, directive->retry_after_us > 0, "pause");
    count_directive(directives, directive->leaving, "leaving");
    if (!EbDirectives_IsPresent(directives, server_id, sent_us)) {
        return;
    }
    Server *server = asks ? get_server(directives, server_id, now_us)
                          : find_server(directives, server_id);
    if (server == NULL) {
        return;
    }
    record_limit(directives, server, directive, sent_us, now_us);
    if (directive->retry_after_us > 0) {
        int64_t pause_us = MIN(directive->retry_after_us, MAX_PAUSE_US);
        server->paused_until_us =
            MAX(server->paused_until_us, now_us + pause_us);
        EB_EMIT(directives->events, EB_EVENT_SERVER_PAUSED,
                EB_STRING_FIELD("backend_server", server->id),
                EB_INTEGER_FIELD("pause_us", pause_us));
    }
}

/* Incarnations */

static const Start *
find_start(const EbDirectives *directives, const char *server_id)
{
    return g_hash_table_lookup(directives->starts, server_id);
}

uint64_t
EbDirectives_Incarnation(const EbDirectives *directives, const char *server_id)
{
    const Start *start = find_start(directives, server_id);
    return start != NULL ? start->incarnation : 0;
}

bool
EbDirectives_IsPresent(const EbDirectives *directives, const char *server_id,
                       int64_t sent_us)
{
    const Start *start = find_start(directives, server_id);
    return start == NULL || sent_us >= start->known_us;
}

/* Ends what an earlier start of a server asked for. Marks of leaving name the
 * start that they belong to. */
static void
reset_server(Server *server, int64_t now_us)
{
    server->paused_until_us = 0;
    server->limited = false;
    server->requests_per_s = 0;
    server->heard_us = now_us;
    server->share = (EbTokenBucket){.filled_us = now_us};
    server->told_requests_per_s = -1;
    server->report_us = INT64_MAX;
}

static void
set_start(EbDirectives *directives, const EbConfigBackendServer *row,
          int64_t now_us)
{
    Start *start = g_hash_table_lookup(directives->starts, row->id);
    if (start == NULL) {
        start = g_new0(Start, 1);
        start->incarnation = row->incarnation;
        start->known_us = INT64_MIN;
        g_hash_table_insert(directives->starts, g_strdup(row->id), start);
    }
    start->current = true;
    if (start->incarnation == row->incarnation) {
        return;
    }
    bool was_known = start->incarnation != 0;
    start->incarnation = row->incarnation;
    if (!was_known) {
        return;
    }
    start->known_us = now_us;
    Server *server = find_server(directives, row->id);
    if (server != NULL) {
        reset_server(server, now_us);
    }
    EB_EMIT(directives->events, EB_EVENT_SERVER_STARTED,
            EB_STRING_FIELD("backend_server", row->id),
            EB_INTEGER_FIELD("incarnation", (int64_t)row->incarnation));
}

static gboolean
is_old_start(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    (void)context;
    return !((const Start *)value)->current;
}

void
EbDirectives_SetConfig(EbDirectives *directives, const EbConfig *config,
                       int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directives->starts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((Start *)value)->current = false;
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        set_start(directives, &config->servers[i], now_us);
    }
    if (g_hash_table_size(directives->starts) > MAX_SERVERS) {
        g_hash_table_foreach_remove(directives->starts, is_old_start, NULL);
    }
    if (directives->pace != NULL) {
        EbPace_SetConfig(directives->pace, config, now_us);
    }
}

EbPace *
EbDirectives_Pace(const EbDirectives *directives)
{
    return directives != NULL ? directives->pace : NULL;
}

/* Returns whether a mark of leaving holds for the server's present start. */
static bool
mark_holds(const EbDirectives *directives, const Server *server)
{
    uint64_t present = EbDirectives_Incarnation(directives, server->id);
    return server->leaving &&
           !EbIncarnation_HasChanged(server->leaving_incarnation, present);
}

void
EbDirectives_SetLeaving(EbDirectives *directives, const char *server_id,
                        uint64_t incarnation, bool leaving, int64_t now_us)
{
    Server *server = leaving ? get_server(directives, server_id, now_us)
                             : find_server(directives, server_id);
    uint64_t present = EbDirectives_Incarnation(directives, server_id);
    bool other = incarnation != 0 && incarnation != present;
    if (server == NULL || (other && mark_holds(directives, server))) {
        return;
    }
    server->leaving = leaving;
    server->leaving_incarnation = incarnation != 0 ? incarnation : present;
    server->leaving_since_us = now_us;
}

bool
EbDirectives_IsLeaving(const EbDirectives *directives, const char *server_id)
{
    const Server *server = find_server(directives, server_id);
    return server != NULL && mark_holds(directives, server);
}

/* Calls */

static bool
is_limited(const Server *server, int64_t now_us)
{
    return server->limited && !limit_expired(server, now_us);
}

/* Returns when a server's own directives allow a call. */
static int64_t
next_allowed(const EbDirectives *directives, const Server *server,
             int64_t now_us)
{
    if (mark_holds(directives, server)) {
        return INT64_MAX;
    }
    int64_t next_us = MAX(server->paused_until_us, now_us);
    if (!is_limited(server, now_us)) {
        return next_us;
    }
    int64_t expires_us = server->heard_us + EB_DIRECTIVES_LIMIT_LIFETIME_US;
    int64_t token_us = EbTokenBucket_NextToken(&server->share, now_us);
    return MAX(next_us, MIN(token_us, expires_us));
}

int64_t
EbDirectives_NextAdmission(const EbDirectives *directives,
                           const char *server_id, int64_t now_us)
{
    const Server *server = find_server(directives, server_id);
    int64_t next_us =
        server != NULL ? next_allowed(directives, server, now_us) : now_us;
    if (directives->pace == NULL || next_us == INT64_MAX) {
        return next_us;
    }
    return MAX(next_us,
               EbPace_NextAdmission(directives->pace, server_id, now_us));
}

bool
EbDirectives_Admits(const EbDirectives *directives, const char *server_id,
                    int64_t now_us)
{
    return EbDirectives_NextAdmission(directives, server_id, now_us) <= now_us;
}

bool
EbDirectives_IsLimited(const EbDirectives *directives, const char *server_id,
                       int64_t now_us)
{
    const Server *server = find_server(directives, server_id);
    return server != NULL && is_limited(server, now_us);
}

bool
EbDirectives_FindShare(const EbDirectives *directives, const char *server_id,
                       double *calls_per_s, int64_t now_us)
{
    const Server *server = find_server(directives, server_id);
    bool limited = server != NULL && is_limited(server, now_us);
    double cold_calls_per_s = 0;
    bool cold = directives->pace != NULL &&
                EbPace_FindShare(directives->pace, server_id,
                                 &cold_calls_per_s, now_us);
    if (limited) {
        *calls_per_s = server->share.per_s;
    }
    if (cold) {
        *calls_per_s =
            limited ? fmin(*calls_per_s, cold_calls_per_s) : cold_calls_per_s;
    }
    return limited || cold;
}

void
EbDirectives_RecordCall(EbDirectives *directives, const char *server_id,
                        int64_t now_us)
{
    Server *server = find_server(directives, server_id);
    if (server != NULL && is_limited(server, now_us)) {
        EbTokenBucket_Take(&server->share, now_us);
    }
    if (directives->pace != NULL) {
        EbPace_RecordCall(directives->pace, server_id, now_us);
    }
}

void
EbDirectives_RecordResult(EbDirectives *directives, const char *server_id,
                          const EbPaceCall *call, int64_t now_us)
{
    if (directives->pace != NULL) {
        EbPace_RecordResult(directives->pace, server_id, call, now_us);
    }
}

bool
EbDirectives_IsHeld(const EbDirectives *directives, const char *server_id,
                    int64_t now_us)
{
    return directives->pace != NULL &&
           EbPace_IsHeld(directives->pace, server_id, now_us);
}

/* Reports */

static void
record_told(Server *server, double requests_per_s, int64_t now_us)
{
    server->told_requests_per_s = requests_per_s;
    server->told_us = now_us;
    server->report_us = INT64_MAX;
}

void
EbDirectives_Merge(EbDirectives *directives, const EbLimitReport *report,
                   int64_t now_us)
{
    int64_t heard_us = now_us - (int64_t)MIN(report->ago_us, (uint64_t)now_us);
    Server *server = report->limited
                         ? get_server(directives, report->server_id, now_us)
                         : find_server(directives, report->server_id);
    if (server == NULL || heard_us <= server->heard_us) {
        return;
    }
    EbServerDirective directive = {.has_limit = report->limited,
                                   .requests_per_s_milli =
                                       report->requests_per_s_milli};
    double requests_per_s = report->limited ? read_limit(&directive) : 0;
    record_told(server, requests_per_s, now_us);
    set_limit(directives, server, report->limited, requests_per_s, heard_us,
              "peer", now_us);
}

bool
EbDirectives_NextReport(EbDirectives *directives, EbLimitReport *report,
                        int64_t now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directives->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        Server *server = value;
        if (server->report_us > now_us) {
            continue;
        }
        *report = (EbLimitReport){
            .server_id = server->id,
            .limited = server->limited,
            .requests_per_s_milli =
                (uint32_t)llround(server->requests_per_s * 1000),
            .ago_us = (uint64_t)(now_us - server->heard_us),
        };
        record_told(server, server->requests_per_s, now_us);
        return true;
    }
    return false;
}

int64_t
EbDirectives_NextTimer(const EbDirectives *directives)
{
    int64_t next_us = INT64_MAX;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, directives->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        next_us = MIN(next_us, ((const Server *)value)->report_us);
    }
    return next_us;
}
