/* Tests of the translation of the platform's settings file. */

#include <glib.h>
#include <glib/gstdio.h>

#include "platform.h"
#include "test_platform.h"
#include "test_runner.h"

static const char node_text[] =
    "node: \"front-1\"\nzone: \"recife\"\nregion: \"nordeste\"\n"
    "listen:\n  front: \"10.1.0.41:8625\"\n  ready: \"10.1.0.41:8621\"\n"
    "  control: \"10.1.0.41:8628\"\nseeds:\n  - \"10.1.0.41:8628\"\n"
    "  - \"10.2.0.25:8628\"\nlimits:\n  max_fds: 4100\n"
    "bounds:\n  contact_ms: 3000\n  grace_s: 8\nplatform:\n  address: "
    "\"10.200.1.7:8624\"\n"
    "new_field: [1, {a: b}]\n";

static EbSettings *
load_settings(const char *text, EbError *error)
{
    char *file = NULL;
    int descriptor = g_file_open_tmp("eb-node-XXXXXX", &file, NULL);
    CU_ASSERT_TRUE_FATAL(descriptor >= 0);
    g_close(descriptor, NULL);
    CU_ASSERT_TRUE(g_file_set_contents(file, text, -1, NULL));
    EbSettings *settings = EbPlatform_LoadSettings(file, error);
    g_remove(file);
    g_free(file);
    return settings;
}

/* Longest pause before the store is read again after one lost response, and
 * the time for reading and applying a large configuration. */
#define FIRST_RETRY_US 100000
#define READ_US 500000

/* Guards against wrong addresses, against unknown fields that prevent a daemon
 * from starting, against a drain that exceeds the grace time, against a lost
 * watch that is noticed after contact_ms, and against homes that stay on a
 * slow daemon. */
void
test_settings(void)
{
    EbError error = {0};
    EbSettings *settings = load_settings(node_text, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    if (settings == NULL) {
        return;
    }
    CU_ASSERT_STRING_EQUAL(settings->instance, "front-1");
    CU_ASSERT_STRING_EQUAL(settings->failure_domain, "recife");
    CU_ASSERT_STRING_EQUAL(settings->caller.host, "10.1.0.41");
    CU_ASSERT_EQUAL(settings->caller.port, 8625);
    CU_ASSERT_EQUAL(settings->admin.port, 8621);
    CU_ASSERT_EQUAL(settings->peer.port, 8628);
    CU_ASSERT_EQUAL(settings->platform.port, 8624);
    CU_ASSERT_EQUAL(settings->seed_count, 1); /* without its own address */
    CU_ASSERT_TRUE(settings->balancer_delay_us + settings->drain_limit_us <
                   8000000);
    CU_ASSERT_TRUE(settings->store_silence_us + FIRST_RETRY_US + READ_US <=
                   3000000);
    CU_ASSERT_TRUE(settings->yield_homes);
    EbSettings_Free(settings);
}

/* Guards against a deployment without evacuations whose daemons watch them at
 * the store, which costs calls, and against one with them that ignores them.
 */
void
test_evacuation_setting(void)
{
    static const struct {
        const char *bound;
        bool evacuations;
    } rows[] = {{"", false}, {"  evacuate_ms: 5000\n", true}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char **parts = g_strsplit(node_text, "bounds:\n", 2);
        char *text =
            g_strconcat(parts[0], "bounds:\n", rows[i].bound, parts[1], NULL);
        EbError error = {0};
        EbSettings *settings = load_settings(text, &error);
        CU_ASSERT_PTR_NOT_NULL(settings);
        if (settings != NULL) {
            CU_ASSERT_EQUAL(settings->evacuations, rows[i].evacuations);
        }
        EbSettings_Free(settings);
        g_free(text);
        g_strfreev(parts);
    }
}

/* Guards against memory for clients in which the largest body and its copy
 * don't fit, and against more than the machine has. */
void
test_client_memory(void)
{
    static const struct {
        const char *memory;
        uint32_t mebibytes;
    } rows[] = {{"memory_mb: 260\n", 52},  {"memory_mb: 120\n", 24},
                {"memory_mb: 20\n", 12},   {"memory_mb: 99999999\n", 1024},
                {"memory_mb: none\n", 12}, {"", 102}};
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *limits = g_strdup_printf("limits:\n  cores: 1\n%s%s",
                                       rows[i].memory[0] != '\0' ? "  " : "",
                                       rows[i].memory);
        char **parts = g_strsplit(node_text, "limits:\n", 2);
        char *text = g_strjoinv(limits, parts);
        EbError error = {0};
        EbSettings *settings = load_settings(text, &error);
        CU_ASSERT_PTR_NOT_NULL(settings);
        if (settings != NULL) {
            CU_ASSERT_EQUAL(settings->client_memory_bytes / 1048576,
                            rows[i].mebibytes);
            CU_ASSERT_TRUE(settings->client_memory_bytes >=
                           2 * settings->max_body_bytes);
        }
        EbSettings_Free(settings);
        g_free(text);
        g_strfreev(parts);
        g_free(limits);
    }
}

/* Guards against a grace time that is spent on waiting for the load balancer,
 * after which requests that were taken meanwhile are ended at once, and
 * against a drain that exceeds it. */
void
test_grace_times(void)
{
    static const unsigned grace_s[] = {1, 2, 3, 5, 8, 30};
    for (size_t i = 0; i < G_N_ELEMENTS(grace_s); i++) {
        char *grace = g_strdup_printf("grace_s: %u\n", grace_s[i]);
        char **parts = g_strsplit(node_text, "grace_s: 8\n", 2);
        char *text = g_strjoinv(grace, parts);
        EbError error = {0};
        EbSettings *settings = load_settings(text, &error);
        CU_ASSERT_PTR_NOT_NULL(settings);
        if (settings != NULL) {
            int64_t grace_us = INT64_C(1000000) * grace_s[i];
            int64_t drain_us = settings->drain_limit_us;
            CU_ASSERT_TRUE(settings->balancer_delay_us + drain_us < grace_us);
            CU_ASSERT_TRUE(drain_us >= grace_us / 3);
        }
        EbSettings_Free(settings);
        g_free(text);
        g_strfreev(parts);
        g_free(grace);
    }
}

/* Guards against starting a daemon with invalid settings. */
void
test_invalid_settings(void)
{
    static const char *const texts[] = {
        "", "- a\n", "a: [", "node: \"x\"\n",
        "node: \"x\"\nzone: z\nregion: r\nlisten:\n  front: \"nonsense\"\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        EbError error = {0};
        CU_ASSERT_PTR_NULL(load_settings(texts[i], &error));
        CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_NONE);
    }
}
