/* Tests of the settings: defaults, errors, secrets in files, malformed input.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/settings.h"
#include "field_page.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define KEY_2                                                                 \
    "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define KEY "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

static const char valid_settings[] =
    "{\"instance\": \"i-1\", \"site\": \"graz\", \"failure_domain\": \"d1\",\n"
    " \"region\": \"at\", \"caller\": {\"host\": \"0.0.0.0\", \"port\": 80},\n"
    " \"admin\": {\"host\": \"127.0.0.1\", \"port\": 81},\n"
    " \"peer\": {\"host\": \"10.0.0.1\", \"port\": 82},\n"
    " \"platform\": {\"host\": \"10.0.9.1\", \"port\": 83},\n"
    " \"seeds\": [{\"host\": \"10.0.0.2\", \"port\": 82}],\n"
    " \"peer_key\": \"" KEY "\"}\n";

/* Parses the valid settings with a merge patch applied. */
static EbSettings *
parse_patched(const char *patch_text, EbError *error)
{
    json_t *valid = json_loads(valid_settings, 0, NULL);
    json_t *patch = json_loads(patch_text, 0, NULL);
    json_t *patched = EbConfig_Merge(valid, patch);
    char *text = json_dumps(patched, 0);
    EbSettings *settings = EbSettings_Parse(text, strlen(text), "f", error);
    free(text);
    json_decref(patched);
    json_decref(patch);
    json_decref(valid);
    return settings;
}

/* Guards against limits without a default, and against members that are read
 * wrongly. */
static void
test_defaults(void)
{
    EbError error;
    EbSettings *settings = parse_patched("{}", &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(settings);
    if (settings == NULL) {
        return;
    }
    CU_ASSERT_STRING_EQUAL(settings->instance, "i-1");
    CU_ASSERT_EQUAL(settings->peer.port, 82);
    CU_ASSERT_STRING_EQUAL(settings->platform.host, "10.0.9.1");
    CU_ASSERT_EQUAL(settings->seed_count, 1);
    CU_ASSERT_EQUAL(settings->peer_key[1], 0x23);
    CU_ASSERT_PTR_NULL(settings->platform_token);
    CU_ASSERT_EQUAL(settings->store_silence_us, 27000000);
    CU_ASSERT_EQUAL(settings->log_level, EB_LEVEL_INFO);
    CU_ASSERT_EQUAL(settings->balancer_delay_us, 10000000);
    CU_ASSERT_EQUAL(settings->drain_limit_us, 30000000);
    CU_ASSERT_EQUAL(settings->max_body_bytes, 262144);
    CU_ASSERT_EQUAL(settings->max_header_bytes, 16384);
    CU_ASSERT_EQUAL(settings->max_connections, 1024);
    CU_ASSERT_EQUAL(settings->max_requests, 512);
    CU_ASSERT_EQUAL(settings->max_buffer_bytes, 131072);
    CU_ASSERT_EQUAL(settings->header_timeout_us, 10000000);
    CU_ASSERT_STRING_EQUAL(settings->policy, "adaptive");
    EbSettings_Free(settings);
}

/* Guards against invalid settings that are accepted, and against an error with
 * a wrong path, without its cause, or with a secret in its message. */
static void
test_invalid_settings(void)
{
    static const struct {
        const char *patch;
        EbErrorCode code;
        const char *path;
        const char *message;
    } rows[] = {
        {"{\"instance\":null}", EB_ERROR_MISSING_FIELD, "$.instance", ""},
        {"{\"site\":\"a b\"}", EB_ERROR_RANGE, "$.site", "A-Za-z0-9"},
        {"{\"instanec\":1}", EB_ERROR_UNKNOWN_FIELD, "$.instanec",
         "\"instance\""},
        {"{\"caller\":{\"prt\":1}}", EB_ERROR_UNKNOWN_FIELD, "$.caller.prt",
         "\"port\""},
        {"{\"caller\":{\"host\":\"example.org\"}}", EB_ERROR_RANGE,
         "$.caller.host", "IPv4 or IPv6"},
        {"{\"platform\":{\"port\":0}}", EB_ERROR_RANGE, "$.platform.port",
         "1 to 65535"},
        {"{\"admin\":{\"host\":\"0.0.0.0\",\"port\":80}}", EB_ERROR_DUPLICATE,
         "$.admin", "same address"},
        {"{\"seeds\":[{\"host\":\"10.0.0.2\"}]}", EB_ERROR_MISSING_FIELD,
         "$.seeds[0].port", ""},
        {"{\"peer_key\":\"" KEY "00\"}", EB_ERROR_RANGE, "$.peer_key",
         "64 hex digits"},
        {"{\"peer_key\":{\"file\":\"/nonexistent\"}}", EB_ERROR_IO,
         "$.peer_key", "/nonexistent: cannot open"},
        {"{\"peer_key\":{\"path\":\"x\"}}", EB_ERROR_TYPE, "$.peer_key",
         "{\"file\": PATH}"},
        {"{\"peer_key\":{\"file\":\"/dev/zero\"}}", EB_ERROR_LIMIT,
         "$.peer_key", "limit"},
        {"{\"platform_token\":\"a\\nb\"}", EB_ERROR_RANGE, "$.platform_token",
         "visible ASCII"},
        {"{\"log_level\":\"loud\"}", EB_ERROR_RANGE, "$.log_level",
         "error, warning, notice, info, debug"},
        {"{\"balancer_delay_ms\":-1}", EB_ERROR_RANGE, "$.balancer_delay_ms",
         "0 to 3600000 ms"},
        {"{\"max_requests\":65536,\"max_body_bytes\":16777216}",
         EB_ERROR_RANGE, "$.max_requests", "more than 1073741824"},
        {"{\"policy\":\"fast\"}", EB_ERROR_RANGE, "$.policy",
         "adaptive, plain"},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error;
        EbSettings *settings = parse_patched(rows[i].patch, &error);
        CU_ASSERT_PTR_NULL(settings);
        bool matches = error.code == rows[i].code && error.line > 0 &&
                       strcmp(error.path, rows[i].path) == 0 &&
                       strstr(error.message, rows[i].message) != NULL &&
                       strstr(error.message, KEY) == NULL;
        CU_ASSERT_TRUE(matches);
        if (!matches) {
            printf("\n%s gave %s: %s: %s\n", rows[i].patch,
                   EbErrorCode_names[error.code], error.path, error.message);
        }
        EbSettings_Free(settings);
    }
}

/* Guards against resolving the path of a secret file against the working
 * directory, and against a final newline that becomes part of the secret. */
static void
test_secret_files(void)
{
    char *directory = g_dir_make_tmp("eb-settings-XXXXXX", NULL);
    char *file = g_build_filename(directory, "settings.json", NULL);
    char *key = g_build_filename(directory, "key", NULL);
    char *token = g_build_filename(directory, "token", NULL);
    char **parts = g_strsplit(valid_settings, "\"" KEY "\"", 2);
    char *text = g_strjoinv(
        "{\"file\": \"key\"}, \"platform_token\": {\"file\": \"token\"}",
        parts);
    CU_ASSERT_TRUE(g_file_set_contents(file, text, -1, NULL));
    CU_ASSERT_TRUE(g_file_set_contents(key, KEY "\n", -1, NULL));
    CU_ASSERT_TRUE(g_file_set_contents(token, " t-1\n", -1, NULL));
    EbError error;
    EbSettings *settings = EbSettings_Load(file, &error);
    CU_ASSERT_PTR_NOT_NULL(settings);
    if (settings != NULL) {
        CU_ASSERT_STRING_EQUAL(settings->platform_token, "t-1");
        CU_ASSERT_EQUAL(settings->peer_key[31], 0xef);
    }
    EbSettings_Free(settings);
    g_unlink(file);
    CU_ASSERT_PTR_NULL(EbSettings_Load(file, &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_IO);
    CU_ASSERT_STRING_EQUAL(error.file, file);
    g_unlink(key);
    g_unlink(token);
    g_rmdir(directory);
    g_strfreev(parts);
    g_free(text);
    g_free(token);
    g_free(key);
    g_free(file);
    g_free(directory);
}

/* Guards against a syntax error whose message quotes a secret. */
static void
test_syntax_error_hides_secret(void)
{
    static const char text[] = "{\"peer_key\": " KEY "}";
    EbError error;
    CU_ASSERT_PTR_NULL(EbSettings_Parse(text, strlen(text), "f", &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_SYNTAX);
    CU_ASSERT_PTR_NULL(strstr(error.message, "0123"));
}

/* Guards against a crash or leak on truncated and mutated settings. */
static void
test_malformed_text(void)
{
    EbError error;
    size_t length = strlen(valid_settings);
    for (size_t i = 0; i < length - 1; i++) {
        char *truncated = g_memdup2(valid_settings, i + 1);
        EbSettings *settings = EbSettings_Parse(truncated, i, "f", &error);
        CU_ASSERT_EQUAL(settings == NULL, i < length - 1);
        EbSettings_Free(settings);
        g_free(truncated);
    }
    EbRandom random;
    EbRandom_Init(&random, 1204);
    size_t accepted = 0;
    static const char bytes[] = "{}[],:\"\\0-9.eantru \n\x80\xff";
    for (int i = 0; i < 6000; i++) {
        char *text = g_memdup2(valid_settings, length);
        for (uint64_t j = EbRandom_Below(&random, 4); j < 4; j++) {
            text[EbRandom_Below(&random, length)] =
                bytes[EbRandom_Below(&random, sizeof(bytes))];
        }
        EbSettings *settings = EbSettings_Parse(text, length, "f", &error);
        CU_ASSERT_EQUAL(settings == NULL, error.code != EB_ERROR_NONE);
        accepted += settings != NULL;
        EbSettings_Free(settings);
        g_free(text);
    }
    CU_ASSERT_TRUE(accepted > 0 && accepted < 6000);
}

/* Guards against a changed setting that a reload neither puts into force nor
 * names, and against one that is changed under a running process. */
static void
test_take_over(void)
{
    static const struct {
        const char *patch, *applied, *restart;
    } rows[] = {
        {"{}", "", ""},
        {"{\"log_level\": \"debug\"}", "log_level", ""},
        {"{\"drain_limit_ms\": 5, \"balancer_delay_ms\": 6}",
         "balancer_delay_ms drain_limit_ms", ""},
        {"{\"instance\": \"i-2\", \"log_level\": \"error\"}", "log_level",
         "instance"},
        {"{\"caller\": {\"port\": 90}}", "", "caller.port"},
        {"{\"admin\": {\"host\": \"127.0.0.2\"}}", "", "admin.host"},
        {"{\"seeds\": []}", "", "seeds"},
        {"{\"seeds\": [{\"host\": \"10.0.0.2\", \"port\": 83}]}", "", "seeds"},
        {"{\"peer_key\": \"" KEY_2 "\"}", "", "peer_key"},
        {"{\"platform_token\": \"t\"}", "", "platform_token"},
        {"{\"bootstrap_token_digest\": \"" KEY "\"}", "",
         "bootstrap_token_digest"},
        {"{\"viewer_token_digest\": \"" KEY "\"}", "", "viewer_token_digest"},
        {"{\"evacuations\": true, \"policy\": \"plain\"}", "",
         "evacuations policy"},
        {"{\"server_speeds\": \"shared\"}", "", "server_speeds"},
        {"{\"store_silence_ms\": 5000, \"max_requests\": 7}", "",
         "store_silence_ms max_requests"},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error;
        EbSettings *settings = parse_patched("{}", &error);
        EbSettings *newer = parse_patched(rows[i].patch, &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(newer);
        EbSettingsChange change;
        EbSettings_TakeOver(settings, newer, &change);
        CU_ASSERT_STRING_EQUAL(change.applied, rows[i].applied);
        CU_ASSERT_STRING_EQUAL(change.restart, rows[i].restart);
        CU_ASSERT_EQUAL(settings->log_level, newer->log_level);
        CU_ASSERT_EQUAL(settings->drain_limit_us, newer->drain_limit_us);
        CU_ASSERT_STRING_EQUAL(settings->instance, "i-1");
        CU_ASSERT_EQUAL(settings->caller.port, 80);
        EbSettingsChange_Clear(&change);
        EbSettings_Free(newer);
        EbSettings_Free(settings);
    }
}

/* Guards against documentation that differs from the field table, and against
 * a manual page that lacks a field. */
static void
test_documentation(void)
{
    FieldPage_Check("<!-- settings fields -->\n", EbSettings_fields,
                    EbSettings_field_count);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"defaults", test_defaults},
        {"invalid settings", test_invalid_settings},
        {"secret files", test_secret_files},
        {"syntax error hides secret", test_syntax_error_hides_secret},
        {"malformed text", test_malformed_text},
        {"take over", test_take_over},
        {"documentation", test_documentation},
    };
    return EbTest_Run("test_settings", cases, TABLE_COUNT(cases));
}
