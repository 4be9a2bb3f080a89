/* Serves the stand-ins for one configuration document until SIGTERM or SIGINT.
 *
 * Usage: standin --document FILE --site SITE --platform HOST:PORT
 *        --control HOST:PORT [--time-scale FACTOR] [--tokens N] */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

typedef struct {
    const char *document;
    const char *site;
    const char *platform;
    const char *control;
    double time_scale;
    uint32_t tokens;
} Arguments;

static const struct option options[] = {
    {"document", required_argument, NULL, 'd'},
    {"site", required_argument, NULL, 's'},
    {"platform", required_argument, NULL, 'p'},
    {"control", required_argument, NULL, 'c'},
    {"time-scale", required_argument, NULL, 't'},
    {"tokens", required_argument, NULL, 'n'},
    {NULL, 0, NULL, 0},
};

static void
parse_arguments(int argc, char **argv, Arguments *arguments)
{
    int option;
    while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
        switch (option) {
        case 'd':
            arguments->document = optarg;
            break;
        case 's':
            arguments->site = optarg;
            break;
        case 'p':
            arguments->platform = optarg;
            break;
        case 'c':
            arguments->control = optarg;
            break;
        case 't':
            arguments->time_scale = g_ascii_strtod(optarg, NULL);
            break;
        case 'n':
            arguments->tokens = (uint32_t)strtoul(optarg, NULL, 10);
            break;
        default:
            exit(2);
        }
    }
    if (arguments->document == NULL || arguments->site == NULL ||
        arguments->platform == NULL || arguments->control == NULL) {
        fprintf(stderr, "standin: --document, --site, --platform and "
                        "--control are required\n");
        exit(2);
    }
}

static void
split_address(const char *text, char *host, size_t host_bytes, uint16_t *port)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL) {
        fprintf(stderr, "standin: %s is not HOST:PORT\n", text);
        exit(2);
    }
    g_strlcpy(host, text, MIN(host_bytes, (size_t)(colon - text) + 1));
    *port = (uint16_t)strtoul(colon + 1, NULL, 10);
}

static EbConfig *
load_config(const Arguments *arguments)
{
    char *text;
    gsize bytes;
    GError *file_error = NULL;
    if (!g_file_get_contents(arguments->document, &text, &bytes,
                             &file_error)) {
        fprintf(stderr, "standin: %s\n", file_error->message);
        exit(2);
    }
    EbError error = {0};
    EbConfig *config = EbConfig_Parse(text, bytes, arguments->site,
                                      arguments->document, &error);
    g_free(text);
    if (config == NULL) {
        char message[1024];
        EbError_Format(&error, message, sizeof(message));
        fprintf(stderr, "standin: %s\n", message);
        exit(2);
    }
    return config;
}

static void
stop(evutil_socket_t signal_number, short events, void *context)
{
    (void)signal_number;
    (void)events;
    event_base_loopbreak(context);
}

static void
free_record(gpointer pointer)
{
    Record *record = pointer;
    g_free(record->server);
    g_free(record->request_id);
    g_free(record->key);
    g_free(record);
}

int
main(int argc, char **argv)
{
    Arguments arguments = {.time_scale = 1.0, .tokens = DEFAULT_TOKENS};
    parse_arguments(argc, argv, &arguments);
    signal(SIGPIPE, SIG_IGN);
    Standin standin = {.base = EbSocket_NewEventBase(),
                       .config = load_config(&arguments),
                       .servers = g_ptr_array_new(),
                       .records = g_ptr_array_new_with_free_func(free_record),
                       .services = g_hash_table_new_full(
                           g_str_hash, g_str_equal, g_free, Service_Free),
                       .time_scale = arguments.time_scale,
                       .tokens = arguments.tokens};
    char host[64];
    uint16_t port;
    split_address(arguments.platform, host, sizeof(host), &port);
    standin.platform = Platform_New(&standin, host, port);
    for (uint32_t i = 0; i < standin.config->server_count; i++) {
        g_ptr_array_add(standin.servers, Server_New(&standin, i));
    }
    split_address(arguments.control, host, sizeof(host), &port);
    struct evhttp *control = Control_New(&standin, host, port);
    struct event *signals[] = {
        evsignal_new(standin.base, SIGTERM, stop, standin.base),
        evsignal_new(standin.base, SIGINT, stop, standin.base),
    };
    event_add(signals[0], NULL);
    event_add(signals[1], NULL);
    printf("standin: %u backend servers\n", standin.config->server_count);
    fflush(stdout);
    event_base_dispatch(standin.base);
    event_free(signals[0]);
    event_free(signals[1]);
    evhttp_free(control);
    for (guint i = 0; i < standin.servers->len; i++) {
        Server_Free(g_ptr_array_index(standin.servers, i));
    }
    Platform_Free(standin.platform);
    g_ptr_array_free(standin.servers, TRUE);
    g_ptr_array_free(standin.records, TRUE);
    g_hash_table_destroy(standin.services);
    EbConfig_Unref(standin.config);
    event_base_free(standin.base);
    return 0;
}
