#include "ebonyhollow/directives.h"

#include <math.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

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
/* A call takes one token. It may start a little earlier, so that rounding of
 * times does not hold it back again. */
#define MIN_TOKENS 0.999999
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
    int64_t leaving_since_us;
    int64_t paused_until_us;
    bool limited;
    double requests_per_s;
    int64_t heard_us; /* of the answer by which limit or its end is known */
    double share;     /* of the limit, as requests a second */
    double tokens;    /* of the share, valid at tokens_us */
    int64_t tokens_us;
    double told_requests_per_s; /* last value known to the others; -1: none */
    int64_t told_us;
    int64_t report_us; /* when to tell the others; INT64_MAX: not */
} Server;

struct EbDirectives {
    char *instance;
    EbRandom *random;
    const EbEventSink *events;
    EbMetrics *metrics;
    GHashTable *servers; /* id to Server */
    GPtrArray *live;     /* names of the live daemons */
    bool is_member;      /* this daemon is among them */
    size_t lost;
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
    directives->instance = g_strdup(options->instance);
    directives->random = options->random;
    directives->events = options->events;
    directives->metrics = options->metrics;
    directives->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_server);
    directives->live = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(directives->live, g_strdup(options->instance));
    directives->is_member = true;
    return directives;
}

void
EbDirectives_Free(EbDirectives *directives)
{
    if (directives == NULL) {
        return;
    }
    g_hash_table_destroy(directives->servers);
    g_ptr_array_unref(directives->live);
    g_free(directives->instance);
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

static uint64_t
hash_pair(const char *instance, uint64_t server_hash)
{
    return XXH64(instance, strlen(instance), server_hash);
}

/* Returns how many daemons come before this one for a server. */
static size_t
find_rank(const EbDirectives *directives, const char *server_id)
{
    uint64_t server_hash = XXH64(server_id, strlen(server_id), 0);
    uint64_t own = hash_pair(directives->instance, server_hash);
    size_t rank = 0;
    for (guint i = 0; i < directives->live->len; i++) {
        rank += hash_pair(g_ptr_array_index(directives->live, i),
                          server_hash) > own;
    }
    return rank;
}

static double
compute_share(const EbDirectives *directives, const Server *server)
{
    size_t live = directives->live->len;
    if (!server->limited || !directives->is_member) {
        return 0;
    }
    double wanted = floor(server->requests_per_s / REQUESTS_PER_S_PER_DAEMON);
    size_t users = (size_t)CLAMP(wanted, 1, (double)live);
    if (find_rank(directives, server->id) >= users) {
        return 0;
    }
    double reachable = (double)live / (double)(live + directives->lost);
    return server->requests_per_s * reachable / (double)users;
}

static double
max_tokens(const Server *server)
{
    return fmax(1, server->share * BURST_S);
}

static double
tokens_at(const Server *server, int64_t now_us)
{
    int64_t passed_us = MAX(now_us - server->tokens_us, 0);
    double gained = (double)passed_us / G_USEC_PER_SEC * server->share;
    return fmin(server->tokens + gained, max_tokens(server));
}

static void
refill(Server *server, int64_t now_us)
{
    server->tokens = tokens_at(server, now_us);
    server->tokens_us = MAX(server->tokens_us, now_us);
}

static void
update_share(const EbDirectives *directives, Server *server, int64_t now_us)
{
    refill(server, now_us);
    server->share = compute_share(directives, server);
    if (server->share <= 0) {
        server->tokens = 0;
    }
    server->tokens = fmin(server->tokens, max_tokens(server));
}

void
EbDirectives_SetMembers(EbDirectives *directives, const char *const *live,
                        size_t live_count, size_t lost, int64_t now_us)
{
    g_ptr_array_set_size(directives->live, 0);
    directives->is_member = false;
    directives->lost = lost;
    for (size_t i = 0; i < live_count; i++) {
        g_ptr_array_add(directives->live, g_strdup(live[i]));
        directives->is_member = directives->is_member ||
                                strcmp(live[i], directives->instance) == 0;
    }
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
    EB_EMIT(directives->events,
            server->limited ? EB_EVENT_SERVER_LIMITED
                            : EB_EVENT_SERVER_LIMIT_ENDED,
            EB_STRING_FIELD("backend_server", server->id),
            EB_INTEGER_FIELD("requests_per_s_milli",
                             llround(server->requests_per_s * 1000)),
            EB_INTEGER_FIELD("share_milli", llround(server->share * 1000)),
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
        server->tokens = 0;
        server->tokens_us = now_us;
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
           (server->share > 0 &&
            now_us - server->told_us >= REPORT_INTERVAL_US);
}

static void
schedule_report(EbDirectives *directives, Server *server, int64_t now_us)
{
    if (!is_news(server, now_us)) {
        server->report_us = INT64_MAX;
    }
    else if (server->report_us == INT64_MAX) {
        uint64_t spread_us = REPORT_SPREAD_US * directives->live->len;
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

void
EbDirectives_SetLeaving(EbDirectives *directives, const char *server_id,
                        bool leaving, int64_t now_us)
{
    Server *server = leaving ? get_server(directives, server_id, now_us)
                             : find_server(directives, server_id);
    if (server != NULL) {
        server->leaving = leaving;
        server->leaving_since_us = now_us;
    }
}

bool
EbDirectives_IsLeaving(const EbDirectives *directives, const char *server_id)
{
    const Server *server = find_server(directives, server_id);
    return server != NULL && server->leaving;
}

/* Calls */

static bool
is_limited(const Server *server, int64_t now_us)
{
    return server->limited && !limit_expired(server, now_us);
}

int64_t
EbDirectives_NextAdmission(const EbDirectives *directives,
                           const char *server_id, int64_t now_us)
{
    const Server *server = find_server(directives, server_id);
    if (server == NULL) {
        return now_us;
    }
    if (server->leaving) {
        return INT64_MAX;
    }
    int64_t next_us = MAX(server->paused_until_us, now_us);
    if (!is_limited(server, now_us)) {
        return next_us;
    }
    double tokens = tokens_at(server, now_us);
    if (tokens >= MIN_TOKENS) {
        return next_us;
    }
    int64_t expires_us = server->heard_us + EB_DIRECTIVES_LIMIT_LIFETIME_US;
    if (server->share <= 0) {
        return MAX(next_us, expires_us);
    }
    double wait_us = (1 - tokens) / server->share * G_USEC_PER_SEC;
    int64_t token_us = now_us + (int64_t)ceil(wait_us);
    return MAX(next_us, MIN(token_us, expires_us));
}

bool
EbDirectives_Admits(const EbDirectives *directives, const char *server_id,
                    int64_t now_us)
{
    return EbDirectives_NextAdmission(directives, server_id, now_us) <= now_us;
}

bool
EbDirectives_FindShare(const EbDirectives *directives, const char *server_id,
                       double *calls_per_s, int64_t now_us)
{
    const Server *server = find_server(directives, server_id);
    if (server == NULL || !is_limited(server, now_us)) {
        return false;
    }
    *calls_per_s = server->share;
    return true;
}

void
EbDirectives_RecordCall(EbDirectives *directives, const char *server_id,
                        int64_t now_us)
{
    Server *server = find_server(directives, server_id);
    if (server != NULL && is_limited(server, now_us)) {
        refill(server, now_us);
        server->tokens -= 1;
    }
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
