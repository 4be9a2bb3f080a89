/* Sends a planned load to daemons and reports the share of requests that were
 * answered in time (attainment).
 *
 * Usage: load --plan FILE --targets HOST:PORT[,HOST:PORT...]
 *             [--rate PER_SECOND] [--seconds N] [--max N] [--only NAME]
 *             [--seed N] [--control HOST:PORT] [--json FILE]
 *             [--health HOST:PORT[,HOST:PORT...]]
 *
 * With --control, the stand-ins' control listener, the outcomes of keyed
 * requests are compared with the services' own record of executions. --health
 * gives the administration listeners of the targets, in the same order. The
 * exit status is 0 if no answer was cut, crossed or broken (see Tally) and
 * every key was executed as often as its outcome allows, 1 otherwise, and 2
 * after a usage error. */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "load.h"

#define MAX_DRAIN_S 40 /* for answers after the end of the load */

typedef struct {
    const char *plan;
    const char *targets;
    const char *only;
    const char *control;
    const char *json;
    const char *health;
    double seconds;
} Arguments;

static const struct option options[] = {
    {"plan", required_argument, NULL, 'p'},
    {"targets", required_argument, NULL, 't'},
    {"rate", required_argument, NULL, 'r'},
    {"seconds", required_argument, NULL, 's'},
    {"max", required_argument, NULL, 'm'},
    {"only", required_argument, NULL, 'o'},
    {"seed", required_argument, NULL, 'e'},
    {"control", required_argument, NULL, 'c'},
    {"json", required_argument, NULL, 'j'},
    {"health", required_argument, NULL, 'h'},
    {NULL, 0, NULL, 0},
};

static void
parse_arguments(int argc, char **argv, Arguments *arguments, Load *load)
{
    int option;
    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        switch (option) {
        case 'p':
            arguments->plan = optarg;
            break;
        case 't':
            arguments->targets = optarg;
            break;
        case 'r':
            load->rate_per_s = g_ascii_strtod(optarg, NULL);
            break;
        case 's':
            arguments->seconds = g_ascii_strtod(optarg, NULL);
            break;
        case 'm':
            load->max_requests = strtoull(optarg, NULL, 10);
            break;
        case 'o':
            arguments->only = optarg;
            break;
        case 'e':
            load->seed = strtoull(optarg, NULL, 10);
            break;
        case 'c':
            arguments->control = optarg;
            break;
        case 'j':
            arguments->json = optarg;
            break;
        case 'h':
            arguments->health = optarg;
            break;
        default:
            exit(2);
        }
    }
    if (arguments->plan == NULL || arguments->targets == NULL) {
        fprintf(stderr, "load: --plan and --targets are required\n");
        exit(2);
    }
}

static char *
read_address(const char *text, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL) {
        fprintf(stderr, "load: %s is not HOST:PORT\n", text);
        exit(2);
    }
    *port = (uint16_t)strtoul(colon + 1, NULL, 10);
    return g_strndup(text, (gsize)(colon - text));
}

static void
read_targets(Load *load, const char *text)
{
    char **parts = g_strsplit(text, ",", MAX_TARGETS);
    for (guint i = 0; parts[i] != NULL; i++) {
        Target *target = &load->targets[load->target_count++];
        target->host = read_address(parts[i], &target->port);
        target->ready = true;
        target->load = load;
        g_queue_init(&target->idle);
    }
    g_strfreev(parts);
}

static void
read_health(Load *load, const char *text)
{
    char **parts = g_strsplit(text, ",", MAX_TARGETS);
    for (guint i = 0; i < load->target_count && parts[i] != NULL; i++) {
        Target *target = &load->targets[i];
        target->health_host = read_address(parts[i], &target->health_port);
    }
    g_strfreev(parts);
    Client_StartProbes(load);
}

static void
end_load(Load *load)
{
    load->sending_ended = true;
    if (load->in_flight == 0) {
        event_base_loopbreak(load->base);
        return;
    }
    event_base_loopexit(load->base, &(struct timeval){.tv_sec = MAX_DRAIN_S});
}

static void
send_due_requests(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Load *load = context;
    int64_t now_us = EbClock_Monotonic();
    while (load->next_arrival_us <= now_us) {
        if (now_us >= load->end_us ||
            (load->max_requests > 0 &&
             load->next_number >= load->max_requests)) {
            end_load(load);
            return;
        }
        uint32_t index;
        const RequestKind *kind = Plan_ChooseKind(load, &index);
        Client_Send(load, kind, index);
        double uniform =
            ((double)EbRandom_Below(&load->random, 1000000) + 1.0) / 1000001.0;
        load->next_arrival_us +=
            (int64_t)(-log(uniform) / load->rate_per_s * 1e6) + 1;
    }
    int64_t wait_us = load->next_arrival_us - now_us;
    event_add(load->arrival_timer,
              &(struct timeval){.tv_sec = wait_us / 1000000,
                                .tv_usec = wait_us % 1000000});
}

static void
handle_runs(struct evhttp_request *request, void *context)
{
    json_t **runs = context;
    if (request == NULL) {
        return;
    }
    struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
    size_t bytes = evbuffer_get_length(buffer);
    *runs =
        json_loadb((const char *)evbuffer_pullup(buffer, -1), bytes, 0, NULL);
}

static json_t *
fetch_runs(Load *load, const char *address)
{
    uint16_t port;
    char *host = read_address(address, &port);
    struct evhttp_connection *connection =
        evhttp_connection_base_new(load->base, NULL, host, port);
    json_t *runs = NULL;
    struct evhttp_request *request = evhttp_request_new(handle_runs, &runs);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    evhttp_make_request(connection, request, EVHTTP_REQ_GET, "/runs");
    for (int i = 0; i < 200 && runs == NULL; i++) {
        event_base_loopexit(load->base, &(struct timeval){.tv_usec = 20000});
        event_base_dispatch(load->base);
    }
    evhttp_connection_free(connection);
    g_free(host);
    return runs;
}

static uint64_t
check_runs(Load *load, const char *control)
{
    if (control == NULL) {
        return 0;
    }
    json_t *runs = fetch_runs(load, control);
    if (runs == NULL) {
        fprintf(stderr, "load: no answer from %s\n", control);
        return 1;
    }
    uint64_t violations = Report_CheckRuns(load, runs);
    json_decref(runs);
    return violations;
}

static void
free_load(Load *load)
{
    struct evhttp_connection *failed;
    while ((failed = g_queue_pop_head(&load->failed_connections)) != NULL) {
        evhttp_connection_free(failed);
    }
    for (uint32_t i = 0; i < load->target_count; i++) {
        struct evhttp_connection *idle;
        while ((idle = g_queue_pop_head(&load->targets[i].idle)) != NULL) {
            evhttp_connection_free(idle);
        }
        if (load->targets[i].probe_connection != NULL) {
            evhttp_connection_free(load->targets[i].probe_connection);
        }
        g_free(load->targets[i].host);
        g_free(load->targets[i].health_host);
    }
    for (guint i = 0; i < load->keyed->len; i++) {
        g_free(g_array_index(load->keyed, KeyedResult, i).key);
    }
    g_array_free(load->keyed, TRUE);
    g_hash_table_destroy(load->reasons);
    event_free(load->arrival_timer);
    if (load->probe_timer != NULL) {
        event_free(load->probe_timer);
    }
    event_base_free(load->base);
    Plan_Clear(load);
}

int
main(int argc, char **argv)
{
    Arguments arguments = {.seconds = 5.0};
    Load load = {.rate_per_s = 50.0, .seed = 1};
    parse_arguments(argc, argv, &arguments, &load);
    signal(SIGPIPE, SIG_IGN);
    load.base = event_base_new();
    load.reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    load.keyed = g_array_new(FALSE, FALSE, sizeof(KeyedResult));
    EbRandom_Init(&load.random, load.seed);
    Plan_Read(&load, arguments.plan, arguments.only);
    read_targets(&load, arguments.targets);
    if (arguments.health != NULL) {
        read_health(&load, arguments.health);
    }
    load.arrival_timer = event_new(load.base, -1, 0, send_due_requests, &load);
    int64_t start_us = EbClock_Monotonic();
    load.next_arrival_us = start_us;
    load.end_us = start_us + (int64_t)(arguments.seconds * 1e6);
    send_due_requests(-1, 0, &load);
    event_base_dispatch(load.base);
    double seconds = (double)(EbClock_Monotonic() - start_us) / 1e6;
    Report_Print(&load, seconds);
    uint64_t violations = Report_Violations(&load) + load.in_flight +
                          check_runs(&load, arguments.control);
    printf("violations: %" G_GUINT64_FORMAT "\n", violations);
    if (arguments.json != NULL) {
        json_t *report = Report_Json(&load, seconds);
        json_object_set_new(report, "violations",
                            json_integer((json_int_t)violations));
        json_dump_file(report, arguments.json, JSON_INDENT(2));
        json_decref(report);
    }
    free_load(&load);
    return violations == 0 ? 0 : 1;
}
