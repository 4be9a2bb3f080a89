/* Measures the processor time that parsing and validating a configuration
 * document takes.
 *
 * Usage: measure_config [SITES SERVERS CUSTOMERS]
 *
 * The default is the design capacity of docs/design.md, section 3. */
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <glib.h>

#include "ebonyhollow/config.h"

#define RUNS 10
#define PIPELINES 7

static double
cpu_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

static void
add_base(GString *text, long servers, long customers)
{
    g_string_append(text, "{\"generation\":1,\"base\":{\"pools\":{");
    for (int i = 0; i < EB_STAGE_KIND_COUNT; i++) {
        g_string_append_printf(text, "%s\"%s\":{\"kind\":\"%s\"}",
                               i ? "," : "", EbStageKind_names[i],
                               EbStageKind_names[i]);
    }
    g_string_append(text, "},\"backend_servers\":{");
    for (long i = 0; i < servers; i++) {
        g_string_append_printf(
            text,
            "%s\"server-%ld\":{\"pool\":\"%s\",\"host\":\"10.0.%ld.%ld\","
            "\"port\":9000,\"failure_domain\":\"domain-%ld\","
            "\"capacity\":8}",
            i ? "," : "", i, EbStageKind_names[i % EB_STAGE_KIND_COUNT],
            i / 256, i % 256, i % 8);
    }
    g_string_append(text, "},\"pipelines\":{");
    for (int i = 0; i < PIPELINES; i++) {
        g_string_append_printf(text, "%s\"p%d\":{\"stages\":[", i ? "," : "",
                               i);
        for (int j = 0; j < EB_STAGE_KIND_COUNT; j++) {
            const char *kind = EbStageKind_names[j];
            g_string_append_printf(
                text, "%s{\"name\":\"%s\",\"kind\":\"%s\",\"pool\":\"%s\"%s}",
                j ? "," : "", kind, kind, kind,
                j == EB_STAGE_GENERATE ? ",\"model\":\"m\""
                : j == EB_STAGE_CALL   ? ",\"path\":\"/p\""
                                       : "");
        }
        g_string_append(text, "]}");
    }
    g_string_append(text, "},\"customers\":{");
    for (long i = 0; i < customers; i++) {
        g_string_append_printf(text,
                               "%s\"customer-%ld\":{\"token_digest\":"
                               "\"%064lx\",\"contract\":{\"weight\":2}}",
                               i ? "," : "", i, i + 1);
    }
    g_string_append(text, "}}");
}

static GString *
make_document(long sites, long servers, long customers)
{
    GString *text = g_string_new(NULL);
    add_base(text, servers, customers);
    g_string_append(text, ",\"overlays\":{");
    for (long i = 0; i < sites; i++) {
        g_string_append_printf(
            text,
            "%s\"site-%ld\":{\"pools\":{\"encode\":{\"queue_max\":%ld}}}",
            i ? "," : "", i, i + 1);
    }
    g_string_append(text, "}}");
    return text;
}

int
main(int argc, char **argv)
{
    long sites = argc > 3 ? strtol(argv[1], NULL, 10) : 8;
    long servers = argc > 3 ? strtol(argv[2], NULL, 10) : 660;
    long customers = argc > 3 ? strtol(argv[3], NULL, 10) : 400;
    GString *text = make_document(sites, servers, customers);
    double best_ms = 0;
    for (int i = 0; i < RUNS; i++) {
        EbError error;
        double start_ms = cpu_ms();
        EbConfig *config =
            EbConfig_Parse(text->str, text->len, "site-0", NULL, &error);
        double run_ms = cpu_ms() - start_ms;
        if (config == NULL) {
            fprintf(stderr, "%s: %s\n", error.path, error.message);
            return 1;
        }
        EbConfig_Unref(config);
        best_ms = i == 0 || run_ms < best_ms ? run_ms : best_ms;
    }
    printf("%ld sites, %ld servers, %ld customers: %zu bytes, best of %d runs "
           "%.1f ms of processor time\n",
           sites, servers, customers, text->len, RUNS, best_ms);
    g_string_free(text, TRUE);
    return 0;
}
