/* Callers. Each keeps connections open, sends one request after another and
 * checks the answers. */
#include <stdio.h>
#include <string.h>

#include <event2/buffer.h>

#include "soak.h"

#define MAX_PAUSE_US 60000 /* between requests of a caller */
/* Unless the daemon was disturbed, an answer or the end of the connection must
 * come at most this long after the deadline. */
#define ANSWER_SLACK_US 1000000
/* How long a daemon counts as disturbed after its start or a signal. */
#define DISTURBED_US 7500000
#define ABANDON_ONE_IN 25 /* requests */

const char *const Route_prefixes[ROUTE_COUNT] = {
    [ROUTE_READ] = "/read/",   [ROUTE_ORDER] = "/order/",
    [ROUTE_DRAFT] = "/draft/", [ROUTE_ANSWER] = "/answer/",
    [ROUTE_OPEN] = "/open/",   [ROUTE_CHAIN] = "/chain/",
};

/* Values of Pieces; NULL: the route has no stages. */
static const char *const piece_counts[ROUTE_COUNT] = {
    [ROUTE_DRAFT] = "1,2",
    [ROUTE_ANSWER] = "1,2",
    [ROUTE_CHAIN] = "1,1,2,1,1,1,1,1,1,1",
};

typedef struct {
    Soak *soak;
    struct evhttp_connection **connections; /* one per daemon, may be NULL */
    struct event *timer;
    uint32_t daemon;
    Route route;
    char *id;
    int64_t sent_us;
    bool busy;
    bool after_faults; /* sent from recovered_us on */
    bool abandons;
} Caller;

static void
pause_then_send(Caller *caller)
{
    struct timeval delay = {
        0,
        1 + (int)EbRandom_Below(&caller->soak->caller_random, MAX_PAUSE_US)};
    event_add(caller->timer, &delay);
}

/* Returns whether the body is the plain answer, or has every event once and in
 * order. */
static bool
is_complete(const Caller *caller, const char *body)
{
    if (caller->route == ROUTE_READ || caller->route == ROUTE_ORDER ||
        caller->route == ROUTE_OPEN) {
        char *expected = Soak_Body(caller->id);
        bool equal = strcmp(body, expected) == 0;
        g_free(expected);
        return equal;
    }
    GString *expected = g_string_new(NULL);
    for (int i = 0; i < SOAK_EVENTS; i++) {
        g_string_append_printf(expected, "id: %d\ndata: %s\n\n", i,
                               caller->id);
    }
    bool equal = strcmp(body, expected->str) == 0;
    g_string_free(expected, TRUE);
    return equal;
}

static guint
runs_of(const Caller *caller)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(caller->soak->runs, caller->id));
}

static void
check_success(Caller *caller, struct evhttp_request *request)
{
    Soak *soak = caller->soak;
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    char *body = g_strndup(
        length > 0 ? (char *)evbuffer_pullup(input, -1) : "", length);
    struct evkeyvalq *headers = evhttp_request_get_input_headers(request);
    const char *id = evhttp_find_header(headers, "Attempt-Id");
    if (evhttp_find_header(headers, "Server-Seal") == NULL ||
        g_strcmp0(id, caller->id) != 0 || !is_complete(caller, body)) {
        Soak_Violation(
            soak, "a successful answer is complete and belongs to its request",
            caller->id, body);
    }
    g_free(body);
    soak->succeeded++;
    soak->recovered_succeeded += caller->after_faults;
}

static void
check_answer(Caller *caller, struct evhttp_request *request)
{
    Soak *soak = caller->soak;
    int status =
        request != NULL ? evhttp_request_get_response_code(request) : 0;
    bool not_run = status == 503 || status == 429;
    char detail[64];
    snprintf(detail, sizeof(detail), "status %d", status);
    if (caller->after_faults && status != 200) {
        printf(
            "after the faults: request %s on route %s to %s: status %d after "
            "%d ms\n",
            caller->id, Route_prefixes[caller->route],
            soak->daemons[caller->daemon].name, status,
            (int)((Soak_Now() - caller->sent_us) / 1000));
    }
    if (status == 200) {
        check_success(caller, request);
    }
    else if (not_run) {
        soak->refused++;
        g_hash_table_add(soak->refused_ids, g_strdup(caller->id));
        if (runs_of(caller) > 0) {
            Soak_Violation(soak, "a request answered as not run does not run",
                           caller->id, detail);
        }
    }
    else {
        soak->failed++;
    }
    if (status >= 400 && status < 500 && !not_run) {
        Soak_Violation(soak, "a valid request is not rejected as invalid",
                       caller->id, detail);
    }
    bool non_idempotent =
        caller->route == ROUTE_ORDER || caller->route == ROUTE_ANSWER;
    if (non_idempotent && runs_of(caller) > 1) {
        Soak_Violation(soak, "a non-idempotent request runs once", caller->id,
                       detail);
    }
}

static void
finish_request(Caller *caller)
{
    caller->busy = false;
    g_free(caller->id);
    caller->id = NULL;
    if (Soak_Now() < caller->soak->stop_us) {
        pause_then_send(caller);
    }
}

static void
on_answer(struct evhttp_request *request, void *context)
{
    Caller *caller = context;
    if (!caller->busy) {
        return;
    }
    event_del(caller->timer);
    check_answer(caller, request);
    finish_request(caller);
}

static void
drop_connection(Caller *caller)
{
    struct evhttp_connection **connection =
        &caller->connections[caller->daemon];
    if (*connection != NULL) {
        evhttp_connection_free(*connection);
        *connection = NULL;
    }
}

/* The time for an answer is over, or the caller abandons the request. */
static void
give_up(Caller *caller)
{
    Soak *soak = caller->soak;
    const Daemon *daemon = &soak->daemons[caller->daemon];
    bool disturbed = daemon->pid == 0 || daemon->paused ||
                     daemon->disturbed_us + DISTURBED_US > caller->sent_us;
    if (!caller->abandons && !disturbed) {
        Soak_Violation(soak, "every request is answered in time", caller->id,
                       daemon->name);
    }
    soak->failed++;
    caller->busy = false;
    drop_connection(caller);
    finish_request(caller);
}

static void
send_request(Caller *caller)
{
    Soak *soak = caller->soak;
    caller->daemon =
        (uint32_t)EbRandom_Below(&soak->caller_random, soak->daemon_count);
    caller->route = (Route)EbRandom_Below(
        &soak->caller_random, soak->extended ? ROUTE_COUNT : ROUTE_OPEN);
    caller->id = g_strdup_printf("r%08u", (unsigned)++soak->next_request);
    caller->sent_us = Soak_Now();
    caller->after_faults = caller->sent_us >= soak->recovered_us;
    caller->abandons =
        !caller->after_faults &&
        EbRandom_Below(&soak->caller_random, ABANDON_ONE_IN) == 0;
    caller->busy = true;
    soak->sent++;
    soak->recovered_sent += caller->after_faults;
    struct evhttp_connection **connection =
        &caller->connections[caller->daemon];
    if (*connection == NULL) {
        *connection = evhttp_connection_base_new(
            soak->base, NULL, SOAK_HOST,
            soak->daemons[caller->daemon].front_port);
        evhttp_connection_set_retries(*connection, 0);
    }
    struct evhttp_request *request = evhttp_request_new(on_answer, caller);
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char deadline[16];
    snprintf(deadline, sizeof(deadline), "%d", SOAK_DEADLINE_MS);
    evhttp_add_header(headers, "Host", "h");
    evhttp_add_header(headers, "Attempt-Id", caller->id);
    evhttp_add_header(headers, "Deadline-Ms", deadline);
    if (caller->route != ROUTE_OPEN) {
        evhttp_add_header(headers, "Authorization", "Bearer " SOAK_KEY);
    }
    if (piece_counts[caller->route] != NULL) {
        evhttp_add_header(headers, "Pieces", piece_counts[caller->route]);
        evhttp_add_header(headers, "Piece-Key", caller->id);
    }
    evbuffer_add_printf(evhttp_request_get_output_buffer(request), "%s",
                        caller->id);
    char *path =
        g_strdup_printf("%s%s", Route_prefixes[caller->route], caller->id);
    int64_t limit_us =
        caller->abandons
            ? (int64_t)EbRandom_Below(&soak->caller_random, 100000)
            : SOAK_DEADLINE_MS * 1000 + ANSWER_SLACK_US;
    struct timeval limit = {limit_us / 1000000, limit_us % 1000000};
    event_add(caller->timer, &limit);
    if (evhttp_make_request(*connection, request, EVHTTP_REQ_POST, path) !=
            0 &&
        caller->busy) {
        event_del(caller->timer);
        soak->failed++;
        finish_request(caller);
    }
    g_free(path);
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    Caller *caller = context;
    if (caller->busy) {
        give_up(caller);
    }
    else {
        send_request(caller);
    }
}

void
Callers_Start(Soak *soak, uint32_t count)
{
    soak->callers = g_ptr_array_new();
    for (uint32_t i = 0; i < count; i++) {
        Caller *caller = g_new0(Caller, 1);
        caller->soak = soak;
        caller->connections =
            g_new0(struct evhttp_connection *, soak->daemon_count);
        caller->timer = evtimer_new(soak->base, on_timer, caller);
        g_ptr_array_add(soak->callers, caller);
        pause_then_send(caller);
    }
}

void
Callers_Stop(Soak *soak)
{
    for (guint i = 0; i < soak->callers->len; i++) {
        Caller *caller = g_ptr_array_index(soak->callers, i);
        for (uint32_t j = 0; j < soak->daemon_count; j++) {
            if (caller->connections[j] != NULL) {
                evhttp_connection_free(caller->connections[j]);
            }
        }
        event_free(caller->timer);
        g_free(caller->connections);
        g_free(caller->id);
        g_free(caller);
    }
    g_ptr_array_unref(soak->callers);
}
