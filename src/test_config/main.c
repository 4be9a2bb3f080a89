/* Tests of the configuration: merge patches, field table, checks, malformed
 * input. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/file.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/settings.h"
#include "field_page.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* A valid document, to which the tests apply merge patches. Each %s stands for
 * the hex digest of a token. */
static const char valid_document[] =
    "{\n"
    " \"generation\": 4,\n"
    " \"base\": {\n"
    "  \"pools\": {\n"
    "   \"enc\": {\"kind\": \"encode\"},\n"
    "   \"ret\": {\"kind\": \"retrieve\", \"subset_size\": 2},\n"
    "   \"gen\": {\"kind\": \"generate\", \"resumes_streams\": true},\n"
    "   \"orders\": {\"kind\": \"call\", \"outcome_path\": \"/v1/ran\"}},\n"
    "  \"backend_servers\": {\n"
    "   \"e2\": {\"pool\": \"enc\", \"host\": \"10.0.0.2\", \"port\": 80,\n"
    "     \"failure_domain\": \"b\"},\n"
    "   \"e1\": {\"pool\": \"enc\", \"host\": \"10.0.0.1\", \"port\": 80,\n"
    "     \"failure_domain\": \"a\", \"capacity\": 3},\n"
    "   \"r1\": {\"pool\": \"ret\", \"host\": \"::1\", \"port\": 81,\n"
    "     \"failure_domain\": \"a\"},\n"
    "   \"g1\": {\"pool\": \"gen\", \"host\": \"10.0.0.1\", \"port\": 82,\n"
    "     \"failure_domain\": \"a\"},\n"
    "   \"o1\": {\"pool\": \"orders\", \"host\": \"10.0.0.1\", \"port\": 83,\n"
    "     \"failure_domain\": \"a\"}},\n"
    "  \"pipelines\": {\"note\": {\"deadline_ms\": 9000, \"stages\": [\n"
    "   {\"name\": \"embed\", \"kind\": \"encode\", \"pool\": \"enc\"},\n"
    "   {\"name\": \"find\", \"kind\": \"retrieve\", \"pool\": \"ret\"},\n"
    "   {\"name\": \"draft\", \"kind\": \"generate\", \"pool\": \"gen\",\n"
    "    \"model\": \"m1\", \"timeout_ms\": 4000},\n"
    "   {\"name\": \"order\", \"kind\": \"call\", \"pool\": \"orders\",\n"
    "    \"path\": \"/v1/orders\", \"idempotent\": false}]}},\n"
    "  \"customers\": {\n"
    "   \"large\": {\"token_digest\": \"%s\",\n"
    "    \"contract\": {\"requests_per_s_milli\": 2500}},\n"
    "   \"small\": {\"token_digest\": \"%s\"}},\n"
    "  \"routes\": {\"note\": [\"large\"]},\n"
    "  \"operators\": {\"maria\": {\"token_digest\": \"%s\",\n"
    "   \"role\": \"operator\", \"pipelines\": [\"note\"]}}\n"
    " },\n"
    " \"overlays\": {\"recife\": {\"pools\": {\"enc\": {\"queue_max\": 9}}}}\n"
    "}\n";

/* Ends the test if a pointer that it needs is NULL. */
static void
require(const void *pointer)
{
    CU_ASSERT_PTR_NOT_NULL_FATAL(pointer);
    if (pointer == NULL) {
        abort();
    }
}

static char *
hex_digest(const char *token)
{
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    EbConfig_DigestToken(token, digest);
    GString *hex = g_string_new(NULL);
    for (size_t i = 0; i < sizeof(digest); i++) {
        g_string_append_printf(hex, "%02x", digest[i]);
    }
    return g_string_free(hex, FALSE);
}

static char *
make_document(void)
{
    char *digests[] = {hex_digest("token-large"), hex_digest("token-small"),
                       hex_digest("token-maria")};
    char **parts = g_strsplit(valid_document, "%s", -1);
    CU_ASSERT_EQUAL_FATAL(g_strv_length(parts), 4);
    char *text = g_strconcat(parts[0], digests[0], parts[1], digests[1],
                             parts[2], digests[2], parts[3], NULL);
    g_strfreev(parts);
    for (size_t i = 0; i < TABLE_COUNT(digests); i++) {
        g_free(digests[i]);
    }
    return text;
}

/* Parses the valid document with a merge patch applied. */
static EbConfig *
parse_patched(const char *patch_text, const char *site, EbError *error)
{
    char *valid = make_document();
    json_t *document = json_loads(valid, 0, NULL);
    json_t *patch = json_loads(patch_text, 0, NULL);
    require(document);
    require(patch);
    json_t *patched = EbConfig_Merge(document, patch);
    char *text = json_dumps(patched, 0);
    EbConfig *config = EbConfig_Parse(text, strlen(text), site, "f", error);
    free(text);
    json_decref(patched);
    json_decref(patch);
    json_decref(document);
    g_free(valid);
    return config;
}

/* Guards against a merge that differs from RFC 7396. The rows are the examples
 * of its appendix A. */
static void
test_merge(void)
{
    static const char *const rows[][3] = {
        {"{\"a\":\"b\"}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
        {"{\"a\":\"b\"}", "{\"b\":\"c\"}", "{\"a\":\"b\",\"b\":\"c\"}"},
        {"{\"a\":\"b\"}", "{\"a\":null}", "{}"},
        {"{\"a\":\"b\",\"b\":\"c\"}", "{\"a\":null}", "{\"b\":\"c\"}"},
        {"{\"a\":[\"b\"]}", "{\"a\":\"c\"}", "{\"a\":\"c\"}"},
        {"{\"a\":\"c\"}", "{\"a\":[\"b\"]}", "{\"a\":[\"b\"]}"},
        {"{\"a\":{\"b\":\"c\"}}", "{\"a\":{\"b\":\"d\",\"c\":null}}",
         "{\"a\":{\"b\":\"d\"}}"},
        {"{\"a\":[{\"b\":\"c\"}]}", "{\"a\":[1]}", "{\"a\":[1]}"},
        {"[\"a\",\"b\"]", "[\"c\",\"d\"]", "[\"c\",\"d\"]"},
        {"{\"a\":\"b\"}", "[\"c\"]", "[\"c\"]"},
        {"{\"a\":\"foo\"}", "null", "null"},
        {"{\"a\":\"foo\"}", "\"bar\"", "\"bar\""},
        {"{\"e\":null}", "{\"a\":1}", "{\"e\":null,\"a\":1}"},
        {"[1,2]", "{\"a\":\"b\",\"c\":null}", "{\"a\":\"b\"}"},
        {"{}", "{\"a\":{\"bb\":{\"ccc\":null}}}", "{\"a\":{\"bb\":{}}}"},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        json_t *target = json_loads(rows[i][0], JSON_DECODE_ANY, NULL);
        json_t *before = json_deep_copy(target);
        json_t *patch = json_loads(rows[i][1], JSON_DECODE_ANY, NULL);
        json_t *expected = json_loads(rows[i][2], JSON_DECODE_ANY, NULL);
        json_t *merged = EbConfig_Merge(target, patch);
        CU_ASSERT_TRUE(json_equal(merged, expected));
        CU_ASSERT_TRUE(json_equal(target, before));
        json_decref(merged);
        json_decref(expected);
        json_decref(patch);
        json_decref(before);
        json_decref(target);
    }
}

/* Guards against members that are read wrongly, defaults that differ from the
 * table, and an overlay that is applied to another site. */
static void
test_read(void)
{
    EbError error;
    char *text = make_document();
    EbConfig *config =
        EbConfig_Parse(text, strlen(text), "recife", "f", &error);
    require(config);
    CU_ASSERT_EQUAL(config->generation, 4);
    CU_ASSERT_STRING_EQUAL(config->site, "recife");
    const EbConfigPool *pool = EbConfig_FindPool(config, "enc");
    CU_ASSERT_EQUAL(pool->queue_max, 9);
    CU_ASSERT_EQUAL(pool->service_estimate_us, 100000);
    CU_ASSERT_EQUAL(pool->server_count, 2);
    const EbConfigBackendServer *server =
        &config->servers[pool->server_indexes[0]];
    CU_ASSERT_STRING_EQUAL(server->id, "e1");
    CU_ASSERT_EQUAL(server->capacity, 3);
    CU_ASSERT_EQUAL(EbConfig_FindServer(config, "e2")->capacity, 8);
    const EbConfigPipeline *pipeline = EbConfig_FindPipeline(config, "note");
    CU_ASSERT_TRUE(pipeline->needs_key);
    CU_ASSERT_EQUAL(pipeline->deadline_us, 9000000);
    CU_ASSERT_EQUAL(pipeline->stages[0].timeout_us, 9000000);
    CU_ASSERT_EQUAL(pipeline->stages[1].top_k, 8);
    CU_ASSERT_EQUAL(pipeline->stages[2].first_token_timeout_us, 4000000);
    CU_ASSERT_EQUAL(pipeline->stages[2].token_gap_timeout_us, 2000000);
    CU_ASSERT_EQUAL(pipeline->stages[2].max_tokens, 512);
    CU_ASSERT_EQUAL(pipeline->stages[3].max_tokens, 0);
    const EbConfigCustomer *large = EbConfig_FindCustomer(config, "large");
    CU_ASSERT_EQUAL(large->contract.burst_requests, 3);
    CU_ASSERT_EQUAL(large->contract.weight, 1);
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomer(config, "larg"));
    CU_ASSERT_PTR_NULL(EbConfig_FindPool(config, NULL));
    CU_ASSERT_PTR_EQUAL(EbConfig_Ref(config), config);
    EbConfig_Unref(config);
    EbConfig_Unref(config);
    config = EbConfig_Parse(text, strlen(text), "natal", "f", &error);
    require(config);
    CU_ASSERT_EQUAL(EbConfig_FindPool(config, "enc")->queue_max, 256);
    EbConfig_Unref(config);
    g_free(text);
}

/* Guards against a token that is accepted as that of another customer or
 * operator, and against a route that admits customers that it does not list.
 */
static void
test_tokens_and_routes(void)
{
    EbError error;
    EbConfig *config = parse_patched("{}", "recife", &error);
    require(config);
    const EbConfigCustomer *small =
        EbConfig_FindCustomerByToken(config, "token-small");
    require(small);
    CU_ASSERT_STRING_EQUAL(small->id, "small");
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, "token-maria"));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, ""));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, NULL));
    CU_ASSERT_STRING_EQUAL(
        EbConfig_FindOperatorByToken(config, "token-maria")->id, "maria");
    CU_ASSERT_PTR_NULL(EbConfig_FindOperatorByToken(config, "token-small"));
    const EbConfigPipeline *note = EbConfig_FindPipeline(config, "note");
    CU_ASSERT_FALSE(EbConfig_Allows(config, small, note));
    CU_ASSERT_TRUE(
        EbConfig_Allows(config, EbConfig_FindCustomer(config, "large"), note));
    EbConfig_Unref(config);
    config = parse_patched("{\"base\":{\"routes\":{\"note\":[\"*\"]}}}", NULL,
                           &error);
    require(config);
    CU_ASSERT_TRUE(EbConfig_Allows(config,
                                   EbConfig_FindCustomer(config, "small"),
                                   EbConfig_FindPipeline(config, "note")));
    EbConfig_Unref(config);
}

/* A patch that makes the document invalid, and the expected error. */
typedef struct {
    const char *patch;
    EbErrorCode code;
    const char *path;
    const char *message; /* text that the message must contain */
} InvalidDocument;

#define STAGE(fields)                                                         \
    "{\"base\":{\"pipelines\":{\"note\":{\"stages\":["                        \
    "{\"name\":\"embed\",\"kind\":\"encode\",\"pool\":\"enc\"},"              \
    "{\"name\":\"find\",\"kind\":\"retrieve\",\"pool\":\"ret\"},"             \
    "{" fields "}]}}}}"
#define GENERATE "\"kind\":\"generate\",\"pool\":\"gen\",\"model\":\"m\""
#define DIGEST                                                                \
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define STAGE_PATH "$.base.pipelines.note.stages"

static const InvalidDocument invalid_documents[] = {
    {"{\"generation\":null}", EB_ERROR_MISSING_FIELD, "$.generation", ""},
    {"{\"generation\":-1}", EB_ERROR_RANGE, "$.generation", "found -1"},
    {"{\"overlay\":{}}", EB_ERROR_UNKNOWN_FIELD, "$.overlay", "\"overlays\""},
    {"{\"base\":[]}", EB_ERROR_TYPE, "$.base", "object, found an array"},
    {"{\"overlays\":{\"a b\":{}}}", EB_ERROR_RANGE, "$.overlays[\"a b\"]", ""},
    {"{\"overlays\":{\"a\":3}}", EB_ERROR_TYPE, "$.overlays.a", "object"},
    {"{\"base\":{\"pool\":{}}}", EB_ERROR_UNKNOWN_FIELD, "$.base.pool",
     "\"pools\""},
    {"{\"base\":{\"pools\":{\"a/b\":{\"kind\":\"call\"}}}}", EB_ERROR_RANGE,
     "$.base.pools[\"a/b\"]", "A-Za-z0-9"},
    {"{\"base\":{\"pools\":{\"enc\":{\"quue_max\":3}}}}",
     EB_ERROR_UNKNOWN_FIELD, "$.base.pools.enc.quue_max", "\"queue_max\""},
    {"{\"base\":{\"pools\":{\"enc\":{\"queue_max\":\"9\"}}}}", EB_ERROR_TYPE,
     "$.base.pools.enc.queue_max", "1 to 65536 attempts, found a string"},
    {"{\"base\":{\"pools\":{\"enc\":{\"queue_max\":9.5}}}}", EB_ERROR_TYPE,
     "$.base.pools.enc.queue_max", "a fraction"},
    {"{\"base\":{\"pools\":{\"enc\":{\"queue_max\":65000},"
     "\"gen\":{\"queue_max\":537}}}}",
     EB_ERROR_RANGE, "$.base.pools.gen.queue_max", "sum over the pools"},
    {"{\"base\":{\"pools\":{\"enc\":{\"kind\":\"decode\"}}}}", EB_ERROR_RANGE,
     "$.base.pools.enc.kind", "expected one of encode, retrieve"},
    {"{\"base\":{\"pools\":{\"enc\":{\"checks_fencing\":true}}}}",
     EB_ERROR_RANGE, "$.base.pools.enc.checks_fencing", "kind call"},
    {"{\"base\":{\"pools\":{\"enc\":{\"checks_fencing\":1}}}}", EB_ERROR_TYPE,
     "$.base.pools.enc.checks_fencing", "true or false, found an integer"},
    {"{\"base\":{\"pools\":{\"orders\":{\"outcome_path\":\"v1\"}}}}",
     EB_ERROR_RANGE, "$.base.pools.orders.outcome_path", "begins with /"},
    {"{\"overlays\":{\"recife\":{\"pools\":{\"enc\":{\"queue_max\":0}}}}}",
     EB_ERROR_RANGE, "$.overlays.recife.pools.enc.queue_max", "site recife"},
    {"{\"overlays\":{\"recife\":{\"customers\":{\"large\":{\"contract\":"
     "{\"weight\":9}}}}}}",
     EB_ERROR_RANGE, "$.overlays.recife.customers.large.contract",
     "all sites"},
    {"{\"overlays\":{\"a\":{\"customers\":{\"new\":{\"token_digest\":\"" DIGEST
     "\"}}},\"b\":{\"customers\":{\"new\":{\"token_digest\":\"" DIGEST
     "\",\"contract\":{\"weight\":2}}}}}}",
     EB_ERROR_RANGE, "$.overlays.b.customers.new.contract", "(site b)"},
    {"{\"base\":{\"backend_servers\":{\"e1\":{\"host\":\"localhost\"}}}}",
     EB_ERROR_RANGE, "$.base.backend_servers.e1.host", "IPv4 or IPv6"},
    {"{\"base\":{\"backend_servers\":{\"e1\":{\"port\":65536}}}}",
     EB_ERROR_RANGE, "$.base.backend_servers.e1.port", "1 to 65535"},
    {"{\"base\":{\"backend_servers\":{\"e1\":{\"pool\":null}}}}",
     EB_ERROR_MISSING_FIELD, "$.base.backend_servers.e1.pool", "missing"},
    {"{\"base\":{\"backend_servers\":{\"e1\":{\"pool\":\"x\"}}}}",
     EB_ERROR_REFERENCE, "$.base.backend_servers.e1.pool", "\"x\""},
    {"{\"base\":{\"backend_servers\":{\"r2\":{\"pool\":\"ret\",\"host\":"
     "\"0::1\",\"port\":81,\"failure_domain\":\"a\"}}}}",
     EB_ERROR_DUPLICATE, "$.base.backend_servers.r2.host", "\"r1\""},
    {"{\"base\":{\"backend_servers\":{\"r1\":null}}}", EB_ERROR_REFERENCE,
     STAGE_PATH "[1].pool", "no backend server"},
    {"{\"base\":{\"pipelines\":{\"note\":{\"deadline_ms\":400}}}}",
     EB_ERROR_RANGE, STAGE_PATH "[2].timeout_ms", "more than the pipeline"},
    {"{\"base\":{\"pools\":{\"enc\":{\"service_estimate_ms\":8700}}}}",
     EB_ERROR_RANGE, "$.base.pipelines.note.deadline_ms", "9000 ms"},
    {"{\"base\":{\"pipelines\":{\"note\":{\"stages\":[]}}}}", EB_ERROR_RANGE,
     STAGE_PATH, "3 to 6 stages, found 0"},
    {STAGE("\"name\":\"x\",\"kind\":\"rerank\",\"pool\":\"gen\""),
     EB_ERROR_REFERENCE, STAGE_PATH "[2].kind", "kind generate"},
    {STAGE("\"name\":\"x\",\"kind\":\"generate\",\"pool\":\"gen\""),
     EB_ERROR_MISSING_FIELD, STAGE_PATH "[2].model", "needs this field"},
    {STAGE("\"name\":\"x\",\"path\":\"/p\"," GENERATE), EB_ERROR_RANGE,
     STAGE_PATH "[2].path", "kind generate has no such field"},
    {STAGE("\"name\":\"find\"," GENERATE), EB_ERROR_DUPLICATE,
     STAGE_PATH "[2].name", "stage 1"},
    {STAGE("\"name\":\"x\",\"idempotent\":false," GENERATE), EB_ERROR_RANGE,
     STAGE_PATH "[2].idempotent", "only a stage of kind call"},
    {STAGE("\"name\":\"x\",\"timeout_ms\":10,\"token_gap_timeout_ms\":"
           "11," GENERATE),
     EB_ERROR_RANGE, STAGE_PATH "[2].token_gap_timeout_ms", "11 ms is more"},
    {STAGE("\"name\":\"o\",\"kind\":\"call\",\"pool\":\"orders\",\"path\":"
           "\"/o\",\"idempotent\":false},{\"name\":\"x\"," GENERATE),
     EB_ERROR_RANGE, STAGE_PATH "[2].idempotent", "must be the last"},
    {"{\"base\":{\"customers\":{\"small\":{\"token_digest\":\"secret\"}}}}",
     EB_ERROR_RANGE, "$.base.customers.small.token_digest", "64 hex digits"},
    {"{\"base\":{\"customers\":{\"large\":{\"contract\":{\"weight\":0}}}}}",
     EB_ERROR_RANGE, "$.base.customers.large.contract.weight", "1 to 1000"},
    {"{\"base\":{\"routes\":{\"x\":[]}}}", EB_ERROR_REFERENCE,
     "$.base.routes.x", "no pipeline"},
    {"{\"base\":{\"routes\":{\"note\":[\"large\",\"x\"]}}}",
     EB_ERROR_REFERENCE, "$.base.routes.note[1]", "no customer \"x\""},
    {"{\"base\":{\"routes\":{\"note\":[\"*\",\"*\"]}}}", EB_ERROR_DUPLICATE,
     "$.base.routes.note[1]", "twice"},
    {"{\"base\":{\"operators\":{\"maria\":{\"role\":\"root\"}}}}",
     EB_ERROR_RANGE, "$.base.operators.maria.role", "viewer, operator, admin"},
    {"{\"base\":{\"operators\":{\"maria\":{\"customers\":[\"x\"]}}}}",
     EB_ERROR_REFERENCE, "$.base.operators.maria.customers", "\"x\""},
    {"{\"base\":{\"operators\":{\"maria\":{\"pipelines\":[\"note\",\"note\"]"
     "}}}}",
     EB_ERROR_DUPLICATE, "$.base.operators.maria.pipelines[1]", "twice"},
};

/* Guards against an invalid document that is accepted, and against an error
 * with a wrong path or a message that doesn't say what was expected. */
static void
test_invalid_documents(void)
{
    for (size_t i = 0; i < TABLE_COUNT(invalid_documents); i++) {
        EbError error;
        EbConfig *config =
            parse_patched(invalid_documents[i].patch, "recife", &error);
        CU_ASSERT_PTR_NULL(config);
        bool matches =
            error.code == invalid_documents[i].code &&
            strcmp(error.path, invalid_documents[i].path) == 0 &&
            strstr(error.message, invalid_documents[i].message) != NULL &&
            error.line > 0 && strstr(error.message, "secret") == NULL;
        CU_ASSERT_TRUE(matches);
        if (!matches) {
            char text[1024];
            EbError_Format(&error, text, sizeof(text));
            printf("\n%s\n gave %s: %s\n", invalid_documents[i].patch,
                   EbErrorCode_names[error.code], text);
        }
        EbConfig_Unref(config);
    }
}

/* Guards against an overlay that removes what the base refers to and is
 * accepted because the configuration of another site is requested. */
static void
test_invalid_overlay(void)
{
    char *valid = make_document();
    char **parts = g_strsplit(valid, "{\"queue_max\": 9}", -1);
    char *text = g_strjoinv("null", parts);
    EbError error;
    CU_ASSERT_PTR_NULL(
        EbConfig_Parse(text, strlen(text), "natal", "f", &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_REFERENCE);
    CU_ASSERT_STRING_EQUAL(error.path, "$.base.backend_servers.e1.pool");
    CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "(site recife)"));
    g_free(text);
    g_strfreev(parts);
    g_free(valid);
}

/* Guards against one token for two customers, or for a customer and an
 * operator.
 */
static void
test_duplicate_tokens(void)
{
    char *digest = hex_digest("token-large");
    static const char *const rows[][2] = {{"customers", "small"},
                                          {"operators", "maria"}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error;
        char *patch = g_strdup_printf(
            "{\"base\":{\"%s\":{\"%s\":{\"token_digest\":\"%s\"}}}}",
            rows[i][0], rows[i][1], digest);
        CU_ASSERT_PTR_NULL(parse_patched(patch, NULL, &error));
        CU_ASSERT_EQUAL(error.code, EB_ERROR_DUPLICATE);
        CU_ASSERT_PTR_NOT_NULL(strstr(error.message, "\"large\""));
        g_free(patch);
    }
    g_free(digest);
}

/* Guards against an error whose line and column don't point to its cause. */
static void
test_locations(void)
{
    static const struct {
        const char *text;
        EbErrorCode code;
        int32_t line;
        int32_t column;
    } rows[] = {
        {"{\"generation\": 1,\n \"base\": {]}", EB_ERROR_SYNTAX, 2, 11},
        {"{\"generation\": 1,\n \"generation\": 2, \"base\": {}}",
         EB_ERROR_DUPLICATE, 2, 13},
        {"{\"generation\": 1,\n  \"base\": 7}", EB_ERROR_TYPE, 2, 11},
        {"{\"base\": {},\n\"\xC3\xA9\\\"]\": [\"}\"], \"generation\": 1.5}",
         EB_ERROR_UNKNOWN_FIELD, 1, 1},
        {"{\"overlays\": {\"a\": {\"b\": [\"}\\\"\", {}]}, \"\xC3\xA9\": "
         "\"\"},\n"
         " \"base\": {\"\xC3\xA9\": 4}, \"generation\": 1}",
         EB_ERROR_RANGE, 1, 45},
        {"[]", EB_ERROR_TYPE, 0, 0},
        {"", EB_ERROR_SYNTAX, 1, 0},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbError error;
        CU_ASSERT_PTR_NULL(EbConfig_Parse(rows[i].text, strlen(rows[i].text),
                                          "a", "f", &error));
        CU_ASSERT_EQUAL(error.code, rows[i].code);
        CU_ASSERT_EQUAL(error.line, rows[i].line);
        CU_ASSERT_EQUAL(error.column, rows[i].column);
        CU_ASSERT_STRING_EQUAL(error.file, "f");
    }
}

/* Guards against exhausting stack or memory with a document that is too long,
 * too deeply nested or has too many entries. */
static void
test_limits(void)
{
    EbError error;
    GString *text = g_string_new(NULL);
    for (size_t i = 0; i < 100000; i++) {
        g_string_append(text, "{\"a\":[");
    }
    CU_ASSERT_PTR_NULL(EbConfig_Parse(text->str, text->len, "a", "f", &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_LIMIT);
    g_string_set_size(text, 0);
    while (text->len <= EB_CONFIG_MAX_BYTES) {
        g_string_append(text, "                                ");
    }
    CU_ASSERT_PTR_NULL(EbConfig_Parse(text->str, text->len, "a", "f", &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_LIMIT);
    g_string_assign(text, "{\"generation\":1,\"base\":{\"pools\":{");
    for (int i = 0; i <= EB_CONFIG_MAX_POOLS; i++) {
        g_string_append_printf(text, "%s\"p%d\":{\"kind\":\"encode\"}",
                               i > 0 ? "," : "", i);
    }
    g_string_append(text, "}}}");
    CU_ASSERT_PTR_NULL(EbConfig_Parse(text->str, text->len, "a", "f", &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_LIMIT);
    CU_ASSERT_STRING_EQUAL(error.path, "$.base.pools");
    g_string_free(text, TRUE);
}

/* Guards against a crash or leak on truncated and mutated documents. A mutated
 * document may be valid, a truncated one never is. */
static void
test_malformed_text(void)
{
    EbError error;
    char *valid = make_document();
    size_t length = strlen(valid);
    for (size_t i = 0; i < length - 2; i++) {
        /* A copy of this size lets the sanitizer detect reads beyond it. */
        char *truncated = g_memdup2(valid, i + 1);
        CU_ASSERT_PTR_NULL(
            EbConfig_Parse(truncated, i, "recife", "f", &error));
        CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_NONE);
        g_free(truncated);
    }
    EbRandom random;
    EbRandom_Init(&random, 20261204);
    size_t accepted = 0;
    static const char bytes[] = "{}[],:\"\\0-9.eantru \n\x80\xff";
    for (int i = 0; i < 6000; i++) {
        char *text = g_memdup2(valid, length);
        uint64_t changes = 1 + EbRandom_Below(&random, 4);
        for (uint64_t j = 0; j < changes; j++) {
            text[EbRandom_Below(&random, length)] =
                bytes[EbRandom_Below(&random, sizeof(bytes))];
        }
        EbConfig *config = EbConfig_Parse(text, length, "recife", "f", &error);
        CU_ASSERT_EQUAL(config == NULL, error.code != EB_ERROR_NONE);
        accepted += config != NULL;
        EbConfig_Unref(config);
        g_free(text);
    }
    CU_ASSERT_TRUE(accepted > 0 && accepted < 6000);
    g_free(valid);
}

static EbConfig *
load_example(const char *deployment, const char *site)
{
    char *path = g_strdup_printf("%s/examples/%s/configuration.json",
                                 EB_SOURCE_DIRECTORY, deployment);
    EbError error;
    size_t bytes;
    char *text = EbFile_Read(path, EB_CONFIG_MAX_BYTES, &bytes, &error);
    require(text);
    EbConfig *config = EbConfig_Parse(text, bytes, site, path, &error);
    if (config == NULL) {
        printf("\n%s:%d: %s: %s\n", path, error.line, error.path,
               error.message);
    }
    require(config);
    g_free(text);
    g_free(path);
    return config;
}

static void
check_example_settings(const char *deployment, const char *site)
{
    char *path = g_strdup_printf("%s/examples/%s/settings-%s.json",
                                 EB_SOURCE_DIRECTORY, deployment, site);
    EbError error;
    EbSettings *settings = EbSettings_Load(path, &error);
    require(settings);
    CU_ASSERT_STRING_EQUAL(settings->site, site);
    CU_ASSERT_STRING_EQUAL(settings->failure_domain, site);
    CU_ASSERT_EQUAL(settings->seed_count, 2);
    CU_ASSERT_TRUE(settings->drain_limit_us >= 11000000);
    EbSettings_Free(settings);
    g_free(path);
}

/* Replaces or removes a random value below `node`, which must not be empty. */
static void
mutate_value(json_t *node, EbRandom *random)
{
    static const char *const values[] = {"null",
                                         "true",
                                         "-1",
                                         "0",
                                         "9223372036854775807",
                                         "1.5",
                                         "\"\"",
                                         "\"*\"",
                                         "\"x\"",
                                         "[]",
                                         "{}",
                                         "[[]]",
                                         "{\"kind\":\"call\"}"};
    size_t size =
        json_is_object(node) ? json_object_size(node) : json_array_size(node);
    size_t index = EbRandom_Below(random, size);
    void *iterator = json_object_iter(node);
    for (size_t i = 0; json_is_object(node) && i < index; i++) {
        iterator = json_object_iter_next(node, iterator);
    }
    const char *key = json_object_iter_key(iterator);
    json_t *child = json_is_object(node) ? json_object_iter_value(iterator)
                                         : json_array_get(node, index);
    if (json_object_size(child) + json_array_size(child) > 0 &&
        EbRandom_Below(random, 8) > 0) {
        mutate_value(child, random);
        return;
    }
    json_t *value =
        json_loads(values[EbRandom_Below(random, TABLE_COUNT(values))],
                   JSON_DECODE_ANY, NULL);
    if (json_is_array(node)) {
        json_array_set_new(node, index, value);
    }
    else if (EbRandom_Below(random, 4) > 0) {
        json_object_set_new(node, key, value);
    }
    else {
        json_decref(value);
        json_object_del(node, key);
    }
}

/* Guards against a crash, a leak or an error without a path when any value of
 * a well-formed document has a wrong type or range. */
static void
test_mutated_values(void)
{
    char *valid = make_document();
    EbRandom random;
    EbRandom_Init(&random, 4120);
    for (int i = 0; i < 4000; i++) {
        json_t *document = json_loads(valid, 0, NULL);
        mutate_value(document, &random);
        char *text = json_dumps(document, 0);
        EbError error;
        EbConfig *config =
            EbConfig_Parse(text, strlen(text), "recife", "f", &error);
        CU_ASSERT_EQUAL(config == NULL, error.code != EB_ERROR_NONE);
        CU_ASSERT_EQUAL(config == NULL, error.path[0] == '$');
        CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_SYNTAX);
        EbConfig_Unref(config);
        free(text);
        json_decref(document);
    }
    g_free(valid);
}

/* Guards against examples that don't load, that lack a part of their
 * deployment (docs/design.md, section 1), or whose sites don't differ. */
static void
test_examples(void)
{
    static const struct {
        const char *deployment;
        const char *sites[3];
        const char *token;
        const char *keyed_pipeline;
        const char *services[3];
        uint32_t assistants;
    } rows[] = {
        {"capas",
         {"recife", "salvador", "fortaleza"},
         "demo-capas-agulha-de-caruaru",
         "reorder-note",
         {"royalty-billing", "print-scheduling", "shop-directory"},
         20},
        {"kernwerk",
         {"graz", "wien", "eisenstadt"},
         "demo-kernwerk-cooperative-tanda",
         "payment-release",
         {"quality-records", "importer-portal", "cooperative-uploads"},
         12},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        json_t *merged[3];
        for (size_t j = 0; j < TABLE_COUNT(rows[i].sites); j++) {
            EbConfig *config =
                load_example(rows[i].deployment, rows[i].sites[j]);
            check_example_settings(rows[i].deployment, rows[i].sites[j]);
            merged[j] = json_incref(config->merged);
            CU_ASSERT_EQUAL(
                EbConfig_FindPool(config, "assistants")->server_count,
                rows[i].assistants);
            for (size_t k = 0; k < TABLE_COUNT(rows[i].services); k++) {
                CU_ASSERT_EQUAL(EbConfig_FindPool(config, rows[i].services[k])
                                    ->server_count,
                                5);
            }
            CU_ASSERT_EQUAL(config->customer_count, 5);
            CU_ASSERT_PTR_NOT_NULL(
                EbConfig_FindCustomerByToken(config, rows[i].token));
            for (uint32_t k = 0; k < config->pipeline_count; k++) {
                const EbConfigPipeline *pipeline = &config->pipelines[k];
                CU_ASSERT_EQUAL(pipeline->deadline_us, 11000000);
                CU_ASSERT_EQUAL(
                    pipeline->needs_key,
                    strcmp(pipeline->name, rows[i].keyed_pipeline) == 0);
            }
            EbConfig_Unref(config);
        }
        CU_ASSERT_FALSE(json_equal(merged[0], merged[1]));
        CU_ASSERT_FALSE(json_equal(merged[1], merged[2]));
        CU_ASSERT_FALSE(json_equal(merged[0], merged[2]));
        for (size_t j = 0; j < TABLE_COUNT(merged); j++) {
            json_decref(merged[j]);
        }
    }
}

/* Guards against documentation that differs from the field table, and against
 * a manual page that lacks a field. */
static void
test_documentation(void)
{
    FieldPage_Check("<!-- configuration fields -->\n", EbConfig_fields,
                    EbConfig_field_count);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"merge", test_merge},
        {"read", test_read},
        {"tokens and routes", test_tokens_and_routes},
        {"invalid documents", test_invalid_documents},
        {"invalid overlay", test_invalid_overlay},
        {"duplicate tokens", test_duplicate_tokens},
        {"locations", test_locations},
        {"limits", test_limits},
        {"malformed text", test_malformed_text},
        {"mutated values", test_mutated_values},
        {"examples", test_examples},
        {"documentation", test_documentation},
    };
    return EbTest_Run("test_config", cases, TABLE_COUNT(cases));
}
