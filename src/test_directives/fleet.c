#include "fleet.h"

#include <string.h>

#include <glib.h>

#include "ebonyhollow/directives.h"

#define SECOND_US INT64_C(1000000)
#define STEP_US 5000
#define WINDOW_US (4 * SECOND_US)
/* What callers of this system demand: calls of WINDOW_US as a multiple of the
 * limit, and in addition, counted from FLEET_CONTACT_US after the limit was
 * named.
 */
#define BOUND_FACTOR 1.5
#define BOUND_CALLS 5
/* A daemon counts once it knew of the limit for this time. */
#define KNOWN_US 500000
#define ANSWER_US 30000
#define MESSAGE_MIN_US 2000
#define MESSAGE_MAX_US 80000
/* Until the others know that a daemon started, left, or is dead. */
#define JOIN_SEEN_MAX_US 600000
#define LEAVE_SEEN_MAX_US 300000
/* Until they know that it has ended, if its machine refuses connections. */
#define END_SEEN_MIN_US 500000
#define END_SEEN_MAX_US 3000000
#define DEAD_SEEN_MIN_US 5000000
#define DEAD_SEEN_MAX_US 8000000
#define HASH_TRIES 3 /* servers that a daemon tries for a request */

typedef struct {
    bool running;
    bool leaving;
    int64_t started_us;
    EbRandom random;
    EbDirectives *directives;
    int64_t heard_us[FLEET_MAX_SERVERS]; /* own answers with a limit */
    /* What it knows of the others, and when it will learn their state. */
    bool sees[FLEET_MAX_DAEMONS];
    bool lost[FLEET_MAX_DAEMONS];
    int64_t change_us[FLEET_MAX_DAEMONS];
} Daemon;

typedef struct {
    int64_t due_us;
    uint32_t daemon;
    uint32_t server;
    bool is_report;
    EbLimitReport report;
    EbServerDirective directive;
    int64_t sent_us;
} Event;

typedef struct {
    const FleetOptions *options;
    FleetResult *result;
    EbRandom random;
    Daemon *daemons;
    char names[FLEET_MAX_DAEMONS][16];
    char servers[FLEET_MAX_SERVERS][16];
    GQueue *calls[FLEET_MAX_SERVERS]; /* times of counted calls */
    GPtrArray *events;                /* of Event */
    int64_t now_us;
    double requests_due;
} Fleet;

static int64_t
draw(Fleet *fleet, int64_t min_us, int64_t max_us)
{
    return min_us + (int64_t)EbRandom_Below(&fleet->random,
                                            (uint64_t)(max_us - min_us));
}

static bool
is_limit_named(const Fleet *fleet, uint32_t server)
{
    const FleetOptions *options = fleet->options;
    return server < options->limited_servers &&
           fleet->now_us >= options->limit_from_us &&
           fleet->now_us < options->limit_until_us;
}

static bool
are_divided(const Fleet *fleet, uint32_t a, uint32_t b)
{
    int64_t partition_us = fleet->options->partition_us;
    return partition_us > 0 && fleet->now_us >= partition_us && a % 2 != b % 2;
}

static void
update_members(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    const char *live[FLEET_MAX_DAEMONS];
    const char *lost[FLEET_MAX_DAEMONS];
    size_t count = 0;
    size_t lost_count = 0;
    for (uint32_t i = 0; i < fleet->options->daemon_count; i++) {
        bool self = i == index;
        if ((self && !daemon->leaving) || (!self && daemon->sees[i])) {
            live[count++] = fleet->names[i];
        }
        if (daemon->lost[i]) {
            lost[lost_count++] = fleet->names[i];
        }
    }
    EbDirectives_SetMembers(daemon->directives, live, count, lost, lost_count,
                            fleet->now_us);
}

/* Schedules when the others learn of a change of one daemon. */
static void
announce(Fleet *fleet, uint32_t changed, int64_t min_us, int64_t max_us)
{
    for (uint32_t i = 0; i < fleet->options->daemon_count; i++) {
        if (i != changed) {
            fleet->daemons[i].change_us[changed] =
                fleet->now_us + draw(fleet, min_us, max_us);
        }
    }
}

static void
start_daemon(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    EbRandom_Init(&daemon->random, fleet->options->seed * 1000 + index);
    daemon->directives = EbDirectives_New(&(EbDirectivesOptions){
        .instance = fleet->names[index], .random = &daemon->random});
    daemon->running = true;
    daemon->started_us = fleet->now_us;
    announce(fleet, index, MESSAGE_MIN_US, JOIN_SEEN_MAX_US);
    for (uint32_t i = 0; i < fleet->options->daemon_count; i++) {
        if (i != index && fleet->daemons[i].running) {
            daemon->change_us[i] =
                fleet->now_us + draw(fleet, MESSAGE_MIN_US, JOIN_SEEN_MAX_US);
        }
    }
}

static void
stop_daemon(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    daemon->running = false;
    EbDirectives_Free(daemon->directives);
    daemon->directives = NULL;
}

static void
learn_changes(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    bool changed = false;
    for (uint32_t i = 0; i < fleet->options->daemon_count; i++) {
        if (daemon->change_us[i] == 0 ||
            daemon->change_us[i] > fleet->now_us) {
            continue;
        }
        const Daemon *other = &fleet->daemons[i];
        bool reachable = other->running && !are_divided(fleet, index, i);
        daemon->change_us[i] = 0;
        daemon->lost[i] = !reachable && !other->leaving;
        daemon->sees[i] = reachable && !other->leaving;
        changed = true;
    }
    if (changed) {
        update_members(fleet, index);
    }
}

static bool
happens_now(const Fleet *fleet, int64_t time_us)
{
    return time_us > 0 && fleet->now_us >= time_us &&
           fleet->now_us - STEP_US < time_us;
}

static void
change_daemons(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    uint32_t quarter = options->daemon_count / 4;
    if (happens_now(fleet, options->join_us)) {
        for (uint32_t i = 0; i < quarter; i++) {
            start_daemon(fleet, i);
        }
    }
    if (happens_now(fleet, options->leave_us)) {
        fleet->daemons[quarter].leaving = true;
        update_members(fleet, quarter);
        announce(fleet, quarter, MESSAGE_MIN_US, LEAVE_SEEN_MAX_US);
    }
    if (happens_now(fleet, options->kill_us)) {
        for (uint32_t i = quarter + 1; i < 2 * quarter + 1; i++) {
            stop_daemon(fleet, i);
            /* What has ended is not lost, as if it had left. */
            fleet->daemons[i].leaving = options->kill_refuses;
            announce(
                fleet, i,
                options->kill_refuses ? END_SEEN_MIN_US : DEAD_SEEN_MIN_US,
                options->kill_refuses ? END_SEEN_MAX_US : DEAD_SEEN_MAX_US);
        }
    }
    if (happens_now(fleet, options->partition_us)) {
        for (uint32_t i = 0; i < options->daemon_count; i++) {
            announce(fleet, i, DEAD_SEEN_MIN_US, DEAD_SEEN_MAX_US);
        }
    }
}

/* Adds a call to the use before or after daemons were killed. */
static void
count_use(const Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    int64_t from_us = options->limit_from_us + FLEET_CONTACT_US;
    int64_t after_us = options->kill_us + FLEET_RETURN_US;
    double per_us =
        options->limit_per_s * options->limited_servers / SECOND_US;
    if (fleet->now_us >= from_us && fleet->now_us < options->kill_us) {
        fleet->result->used_before +=
            1 / (per_us * (double)(options->kill_us - from_us));
    }
    else if (options->kill_us > 0 && fleet->now_us >= after_us) {
        fleet->result->used_after +=
            1 / (per_us * (double)(options->limit_until_us - after_us));
    }
}

/* Counts a call and checks the window that it ends. */
static void
count_call(Fleet *fleet, uint32_t server, bool known)
{
    const FleetOptions *options = fleet->options;
    FleetResult *result = fleet->result;
    if (!is_limit_named(fleet, server)) {
        result->calls_after_end += server < options->limited_servers &&
                                   fleet->now_us >= options->limit_until_us;
        return;
    }
    result->calls++;
    count_use(fleet);
    if (!known || fleet->now_us < options->limit_from_us + FLEET_CONTACT_US) {
        return;
    }
    GQueue *calls = fleet->calls[server];
    g_queue_push_tail(calls, GINT_TO_POINTER((gint)fleet->now_us));
    while (GPOINTER_TO_INT(g_queue_peek_head(calls)) <=
           fleet->now_us - WINDOW_US) {
        g_queue_pop_head(calls);
    }
    result->worst_calls = MAX(result->worst_calls, calls->length);
    result->breaches += calls->length > result->allowed_calls;
}

static void
push_event(Fleet *fleet, const Event *event)
{
    g_ptr_array_add(fleet->events, g_memdup2(event, sizeof(*event)));
}

static void
send_call(Fleet *fleet, uint32_t index, uint32_t server)
{
    Daemon *daemon = &fleet->daemons[index];
    EbDirectives_RecordCall(daemon->directives, fleet->servers[server],
                            fleet->now_us);
    int64_t heard_us = daemon->heard_us[server];
    count_call(fleet, server,
               heard_us > 0 && fleet->now_us - heard_us >= KNOWN_US);
    bool named = is_limit_named(fleet, server);
    push_event(fleet,
               &(Event){.due_us = fleet->now_us + ANSWER_US,
                        .daemon = index,
                        .server = server,
                        .sent_us = fleet->now_us,
                        .directive = {
                            .has_limit = named,
                            .requests_per_s_milli =
                                (uint32_t)(fleet->options->limit_per_s * 1000),
                        }});
}

/* Sends a request to a server that admits it, of those from `first` on. */
static bool
send_to_any(Fleet *fleet, uint32_t index, uint32_t first, uint32_t count)
{
    const Daemon *daemon = &fleet->daemons[index];
    uint64_t offset = count > 0 ? EbRandom_Below(&fleet->random, count) : 0;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t server = first + (uint32_t)((offset + i) % count);
        if (EbDirectives_Admits(daemon->directives, fleet->servers[server],
                                fleet->now_us)) {
            send_call(fleet, index, server);
            return true;
        }
    }
    return false;
}

/* Sends a request of a caller from a daemon, to a limited server if one admits
 * it. */
static void
serve_request(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    uint32_t index =
        (uint32_t)EbRandom_Below(&fleet->random, options->daemon_count);
    /* A caller whose connection is refused tries another daemon. */
    while (options->kill_refuses && !fleet->daemons[index].running) {
        index =
            (uint32_t)EbRandom_Below(&fleet->random, options->daemon_count);
    }
    const Daemon *daemon = &fleet->daemons[index];
    if (!daemon->running || daemon->leaving) {
        return;
    }
    fleet->result->requests++;
    uint32_t limited = options->limited_servers;
    fleet->result->served +=
        send_to_any(fleet, index, 0, limited) ||
        send_to_any(fleet, index, limited, options->server_count - limited);
}

static void
handle_event(Fleet *fleet, const Event *event)
{
    Daemon *daemon = &fleet->daemons[event->daemon];
    if (!daemon->running) {
        return;
    }
    if (event->is_report) {
        EbDirectives_Merge(daemon->directives, &event->report, fleet->now_us);
        return;
    }
    if (event->directive.has_limit && daemon->heard_us[event->server] == 0) {
        daemon->heard_us[event->server] = fleet->now_us;
    }
    EbDirectives_RecordAnswer(daemon->directives,
                              fleet->servers[event->server], &event->directive,
                              event->sent_us, fleet->now_us);
}

static void
handle_due_events(Fleet *fleet)
{
    for (guint i = 0; i < fleet->events->len;) {
        Event *event = g_ptr_array_index(fleet->events, i);
        if (event->due_us > fleet->now_us) {
            i++;
            continue;
        }
        handle_event(fleet, event);
        g_ptr_array_remove_index_fast(fleet->events, i);
    }
}

static void
flood(Fleet *fleet, uint32_t from, const EbLimitReport *report)
{
    fleet->result->reports++;
    for (uint32_t i = 0; i < fleet->options->daemon_count; i++) {
        int64_t delay_us = draw(fleet, MESSAGE_MIN_US, MESSAGE_MAX_US);
        if (i == from || are_divided(fleet, from, i)) {
            continue;
        }
        Event event = {.due_us = fleet->now_us + delay_us,
                       .daemon = i,
                       .is_report = true,
                       .report = *report};
        for (uint32_t k = 0; k < fleet->options->server_count; k++) {
            if (strcmp(fleet->servers[k], report->server_id) == 0) {
                event.report.server_id = fleet->servers[k];
            }
        }
        event.report.ago_us += (uint64_t)delay_us;
        push_event(fleet, &event);
    }
}

static void
run_step(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    change_daemons(fleet);
    handle_due_events(fleet);
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        Daemon *daemon = &fleet->daemons[i];
        EbLimitReport report;
        if (!daemon->running) {
            continue;
        }
        learn_changes(fleet, i);
        while (EbDirectives_NextReport(daemon->directives, &report,
                                       fleet->now_us)) {
            flood(fleet, i, &report);
        }
    }
    fleet->requests_due += options->requests_per_s * STEP_US / SECOND_US;
    while (fleet->requests_due >= 1) {
        fleet->requests_due -= 1;
        serve_request(fleet);
    }
}

void
Fleet_Play(const FleetOptions *options, FleetResult *result)
{
    Fleet *fleet = g_new0(Fleet, 1);
    *result = (FleetResult){
        .allowed_calls = BOUND_CALLS + BOUND_FACTOR * options->limit_per_s *
                                           WINDOW_US / SECOND_US};
    fleet->options = options;
    fleet->result = result;
    fleet->daemons = g_new0(Daemon, options->daemon_count);
    fleet->events = g_ptr_array_new_with_free_func(g_free);
    EbRandom_Init(&fleet->random, options->seed);
    for (uint32_t i = 0; i < options->server_count; i++) {
        g_snprintf(fleet->servers[i], sizeof(fleet->servers[i]), "s-%u", i);
        fleet->calls[i] = g_queue_new();
    }
    uint32_t late = options->join_us > 0 ? options->daemon_count / 4 : 0;
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        g_snprintf(fleet->names[i], sizeof(fleet->names[i]), "i-%u", i);
    }
    for (uint32_t i = late; i < options->daemon_count; i++) {
        start_daemon(fleet, i);
    }
    for (; fleet->now_us < options->end_us; fleet->now_us += STEP_US) {
        run_step(fleet);
    }
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        EbDirectives_Free(fleet->daemons[i].directives);
    }
    for (uint32_t i = 0; i < options->server_count; i++) {
        g_queue_free(fleet->calls[i]);
    }
    g_ptr_array_unref(fleet->events);
    g_free(fleet->daemons);
    g_free(fleet);
}
