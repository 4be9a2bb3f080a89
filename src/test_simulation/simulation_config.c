/* The configuration document of the simulation. */
#include <string.h>

#include <sodium.h>

#include "simulation_private.h"

static void
append_pools(GString *text, const SimulationConfig *config)
{
    static const char *const members[EB_STAGE_KIND_COUNT] = {
        [EB_STAGE_ENCODE] = "",
        [EB_STAGE_RETRIEVE] = "",
        [EB_STAGE_RERANK] = "",
        [EB_STAGE_GENERATE] = ", \"resumes_streams\": true",
        [EB_STAGE_CALL] = ", \"checks_fencing\": true",
    };
    g_string_append(text, "\"pools\": {");
    for (int kind = 0; kind < EB_STAGE_KIND_COUNT; kind++) {
        const char *name = EbStageKind_names[kind];
        bool cannot_resume =
            kind == EB_STAGE_GENERATE && config->cannot_resume;
        g_string_append_printf(
            text, "%s\"%s\": {\"kind\": \"%s\", \"service_estimate_ms\": 5%s",
            kind > 0 ? ", " : "", name, name,
            cannot_resume ? "" : members[kind]);
        if (kind == EB_STAGE_CALL && config->lookup) {
            g_string_append(text, ", \"outcome_path\": \"/outcome\"");
        }
        g_string_append_c(text, '}');
    }
    g_string_append(text, "}, \"backend_servers\": {");
    uint32_t servers = config->servers > 0 ? config->servers : 3;
    for (int kind = 0; kind < EB_STAGE_KIND_COUNT; kind++) {
        for (uint32_t i = 0; i < servers; i++) {
            g_string_append_printf(
                text,
                "%s\"%s%u\": {\"pool\": \"%s\", \"host\": \"127.0.0.1\", "
                "\"port\": %u, \"failure_domain\": \"fd%u\", "
                "\"capacity\": %u}",
                kind + i > 0 ? ", " : "", EbStageKind_names[kind], i,
                EbStageKind_names[kind], 1000 + 100 * (unsigned)kind + i,
                i % 3, config->capacity > 0 ? config->capacity : 8);
        }
    }
    g_string_append(text, "}, ");
}

static void
append_pipeline(GString *text, const SimulationConfig *config,
                const char *name, const EbStageKind *kinds, size_t count)
{
    uint32_t deadline_ms =
        config->deadline_ms > 0 ? config->deadline_ms : 4000;
    bool is_full = strcmp(name, "full") == 0;
    uint32_t max_tokens =
        is_full && config->full_max_tokens > 0 ? config->full_max_tokens : 64;
    g_string_append_printf(text, "\"%s\": {\"deadline_ms\": %u, \"stages\": [",
                           name, deadline_ms);
    for (size_t i = 0; i < count; i++) {
        const char *kind = EbStageKind_names[kinds[i]];
        g_string_append_printf(text,
                               "%s{\"name\": \"%s\", \"kind\": \"%s\", "
                               "\"pool\": \"%s\", \"timeout_ms\": 1000",
                               i > 0 ? ", " : "", kind, kind, kind);
        if (kinds[i] == EB_STAGE_GENERATE) {
            g_string_append_printf(text,
                                   ", \"model\": \"m\", \"prompt\": \"Write:\""
                                   ", \"first_token_timeout_ms\": 500"
                                   ", \"token_gap_timeout_ms\": 300"
                                   ", \"max_tokens\": %u",
                                   max_tokens);
        }
        else if (kinds[i] == EB_STAGE_CALL) {
            g_string_append(text, ", \"path\": \"/pay\", "
                                  "\"idempotent\": false");
        }
        g_string_append_c(text, '}');
    }
    g_string_append(text, "]}");
}

static void
digest_token(const char *token, char *hex, size_t hex_bytes)
{
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    EbConfig_DigestToken(token, digest);
    sodium_bin2hex(hex, hex_bytes, digest, sizeof(digest));
}

char *
Simulation_Config(const SimulationConfig *config)
{
    static const EbStageKind ask[] = {EB_STAGE_ENCODE, EB_STAGE_RETRIEVE,
                                      EB_STAGE_GENERATE};
    static const EbStageKind pay[] = {EB_STAGE_ENCODE, EB_STAGE_RETRIEVE,
                                      EB_STAGE_RERANK, EB_STAGE_GENERATE,
                                      EB_STAGE_CALL};
    char hex[2 * EB_TOKEN_DIGEST_BYTES + 1];
    char other_hex[2 * EB_TOKEN_DIGEST_BYTES + 1];
    digest_token(SIMULATION_TOKEN, hex, sizeof(hex));
    digest_token(SIMULATION_OTHER_TOKEN, other_hex, sizeof(other_hex));
    GString *text = g_string_new(NULL);
    g_string_append_printf(text,
                           "{\"generation\": %" G_GUINT64_FORMAT
                           ", \"overlays\": {}, \"base\": {",
                           config->generation);
    append_pools(text, config);
    g_string_append(text, "\"pipelines\": {");
    append_pipeline(text, config, "ask", ask, G_N_ELEMENTS(ask));
    g_string_append(text, ", ");
    append_pipeline(text, config, "full", pay, G_N_ELEMENTS(pay) - 1);
    g_string_append(text, ", ");
    append_pipeline(text, config, "pay", pay, G_N_ELEMENTS(pay));
    g_string_append_printf(
        text,
        "}, \"customers\": {\"c\": {\"token_digest\": \"%s\", \"contract\": "
        "{%s}}, \"d\": {\"token_digest\": \"%s\", \"contract\": {}}}, "
        "\"routes\": {\"ask\": [\"*\"], \"full\": [\"*\"], "
        "\"pay\": [\"c\"]}}}",
        hex, config->contract != NULL ? config->contract : "", other_hex);
    return g_string_free(text, FALSE);
}
