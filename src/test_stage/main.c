/* Tests of EbStage, the protocols of the stage kinds. */
#include <stdlib.h>
#include <string.h>

#include "ebonyhollow/stage.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* One stage of each kind, in the order of EbStageKind: a kind is also the
 * index of its stage. */
static EbConfigStage stages[] = {
    {.name = "encode", .kind = EB_STAGE_ENCODE},
    {.name = "retrieve", .kind = EB_STAGE_RETRIEVE, .top_k = 3},
    {.name = "rerank", .kind = EB_STAGE_RERANK, .top_k = 2},
    {.name = "generate",
     .kind = EB_STAGE_GENERATE,
     .max_tokens = 32,
     .model = "m",
     .prompt = "Write:"},
    {.name = "call", .kind = EB_STAGE_CALL, .path = "/pay"},
};
static const EbConfigPipeline pipeline = {
    .name = "pay", .stages = stages, .stage_count = TABLE_COUNT(stages)};

static json_t *
parse(const char *text)
{
    json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    return value;
}

typedef struct {
    EbStageKind kind;
    const char *request;
    uint64_t resume_token_index;
    const char *expected; /* body of the call */
} BuildRow;

static json_t *results[TABLE_COUNT(stages)];

static void
set_results(void)
{
    results[0] = parse("{\"vector\": [1, 2]}");
    results[1] = parse("{\"documents\": [{\"id\": \"a\", \"text\": \"A\", "
                       "\"score\": 1.0}, {\"id\": \"b\", \"text\": \"B\"}]}");
    results[2] = parse("{\"documents\": [{\"id\": \"b\", \"text\": \"B\", "
                       "\"score\": 0.5}]}");
    results[3] = parse("{\"text\": \"draft\", \"tokens\": 1}");
}

static void
clear_results(void)
{
    for (size_t i = 0; i < TABLE_COUNT(results); i++) {
        json_decref(results[i]);
        results[i] = NULL;
    }
}

/* Guards against calls that don't follow docs/protocols.md. */
static void
test_build(void)
{
    static const BuildRow rows[] = {
        {EB_STAGE_ENCODE, "{\"input\": \"q\"}", 0, "{\"inputs\": [\"q\"]}"},
        {EB_STAGE_RETRIEVE, "{\"input\": \"q\"}", 0,
         "{\"vector\": [1, 2], \"text\": \"q\", \"top_k\": 3}"},
        {EB_STAGE_RERANK, "{\"input\": \"q\"}", 0,
         "{\"query\": \"q\", \"top_k\": 2, \"documents\": [{\"id\": \"a\", "
         "\"text\": \"A\"}, {\"id\": \"b\", \"text\": \"B\"}]}"},
        {EB_STAGE_GENERATE, "{\"input\": \"q\", \"max_tokens\": 8}", 0,
         "{\"model\": \"m\", \"prompt\": \"Write:\\nB\\nq\", "
         "\"max_tokens\": 8, \"stream\": true}"},
        {EB_STAGE_GENERATE, "{\"input\": \"q\"}", 4,
         "{\"model\": \"m\", \"prompt\": \"Write:\\nB\\nq\", "
         "\"max_tokens\": 32, \"stream\": true, \"resume\": "
         "{\"token_index\": 4, \"text\": \"half\"}}"},
        {EB_STAGE_CALL, "{\"input\": \"q\", \"parameters\": {\"n\": 1}}", 0,
         "{\"input\": \"q\", \"parameters\": {\"n\": 1}, \"text\": \"draft\", "
         "\"documents\": [{\"id\": \"b\", \"text\": \"B\", "
         "\"score\": 0.5}]}"},
    };
    set_results();
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        json_t *request = parse(rows[i].request);
        json_t *expected = parse(rows[i].expected);
        EbStageInput input = {.pipeline = &pipeline,
                              .stage = (uint32_t)rows[i].kind,
                              .request = request,
                              .results = results,
                              .resume_token_index = rows[i].resume_token_index,
                              .resume_text = "half"};
        json_t *body = EbStage_protocols[rows[i].kind].build(&input, NULL);
        CU_ASSERT_TRUE(json_equal(body, expected));
        json_decref(body);
        json_decref(expected);
        json_decref(request);
    }
    clear_results();
}

/* Guards against a rerank stage that runs without documents. */
static void
test_missing_documents(void)
{
    json_t *request = parse("{\"input\": \"q\"}");
    EbStageInput input = {.pipeline = &pipeline,
                          .stage = EB_STAGE_RERANK,
                          .request = request,
                          .results = results};
    EbError error;
    EbError_Clear(&error);
    CU_ASSERT_PTR_NULL(
        EbStage_protocols[EB_STAGE_RERANK].build(&input, &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_REFERENCE);
    json_decref(request);
}

typedef struct {
    EbStageKind kind;
    const char *answer;
    const char *expected; /* result; NULL: the answer is malformed */
} ReadRow;

/* Guards against malformed answers that are accepted as results. */
static void
test_read(void)
{
    static const ReadRow rows[] = {
        {EB_STAGE_ENCODE, "{\"vectors\": [[1, 2]]}", "{\"vector\": [1, 2]}"},
        {EB_STAGE_ENCODE, "{\"vectors\": [[1], [2]]}", NULL},
        {EB_STAGE_ENCODE, "{\"vectors\": [[]]}", NULL},
        {EB_STAGE_ENCODE, "{\"vectors\": [[\"a\"]]}", NULL},
        {EB_STAGE_ENCODE, "[]", NULL},
        {EB_STAGE_RETRIEVE, "{\"documents\": []}", "{\"documents\": []}"},
        {EB_STAGE_RETRIEVE, "{\"documents\": [{\"id\": \"a\"}]}", NULL},
        {EB_STAGE_RETRIEVE, "{\"documents\": [1]}", NULL},
        {EB_STAGE_RETRIEVE, "{}", NULL},
        {EB_STAGE_RERANK,
         "{\"results\": [{\"index\": 1, \"score\": 0.9}, "
         "{\"index\": 0, \"score\": 0.1}]}",
         "{\"documents\": [{\"id\": \"b\", \"text\": \"B\", \"score\": 0.9}, "
         "{\"id\": \"a\", \"text\": \"A\", \"score\": 0.1}]}"},
        {EB_STAGE_RERANK, "{\"results\": [{\"index\": 2, \"score\": 1}]}",
         NULL},
        {EB_STAGE_RERANK, "{\"results\": [{\"index\": -1, \"score\": 1}]}",
         NULL},
        {EB_STAGE_RERANK, "{\"results\": [{\"index\": 0}]}", NULL},
        {EB_STAGE_RERANK,
         "{\"results\": [{\"index\": 0, \"score\": 1}, "
         "{\"index\": 0, \"score\": 1}]}",
         NULL},
        {EB_STAGE_GENERATE, "{\"text\": \"t\", \"tokens\": 32}",
         "{\"text\": \"t\", \"tokens\": 32}"},
        {EB_STAGE_GENERATE, "{\"text\": \"t\", \"tokens\": 33}", NULL},
        {EB_STAGE_GENERATE, "{\"text\": \"t\"}", NULL},
        {EB_STAGE_CALL, "{\"a\": 1}", "{\"result\": {\"a\": 1}}"},
        {EB_STAGE_CALL, "[1]", NULL},
    };
    set_results();
    json_t *request = parse("{\"input\": \"q\"}");
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbStageInput input = {.pipeline = &pipeline,
                              .stage = (uint32_t)rows[i].kind,
                              .request = request,
                              .results = results};
        json_t *answer = parse(rows[i].answer);
        EbError error;
        EbError_Clear(&error);
        json_t *result =
            EbStage_protocols[rows[i].kind].read(&input, answer, &error);
        json_t *expected =
            rows[i].expected != NULL ? parse(rows[i].expected) : NULL;
        CU_ASSERT_TRUE(result == expected || json_equal(result, expected));
        CU_ASSERT_EQUAL(error.code == EB_ERROR_NONE, expected != NULL);
        json_decref(expected);
        json_decref(result);
        json_decref(answer);
    }
    json_decref(request);
    clear_results();
}

/* Guards against results that are too large for the ledger, and against a
 * missing answer that is accepted. */
static void
test_limits(void)
{
    enum { TEXT_BYTES = 300000 }; /* a result has at most 262144 bytes */
    char *text = malloc(TEXT_BYTES + 1);
    memset(text, 'x', TEXT_BYTES);
    text[TEXT_BYTES] = '\0';
    json_t *request = parse("{\"input\": \"q\"}");
    json_t *answer = json_pack("{s:s}", "a", text);
    EbStageInput input = {.pipeline = &pipeline,
                          .stage = EB_STAGE_CALL,
                          .request = request,
                          .results = results};
    EbError error;
    EbError_Clear(&error);
    CU_ASSERT_PTR_NULL(
        EbStage_protocols[EB_STAGE_CALL].read(&input, answer, &error));
    CU_ASSERT_EQUAL(error.code, EB_ERROR_LIMIT);
    for (int kind = 0; kind < EB_STAGE_KIND_COUNT; kind++) {
        input.stage = (uint32_t)kind;
        CU_ASSERT_PTR_NULL(EbStage_protocols[kind].read(&input, NULL, &error));
    }
    json_decref(answer);
    json_decref(request);
    free(text);
}

/* Guards against invalid requests that fail in a stage instead of being
 * refused at admission. */
static void
test_check_request(void)
{
    static const struct {
        const char *request;
        EbErrorCode code;
        const char *path;
    } rows[] = {
        {"{\"input\": \"q\"}", EB_ERROR_NONE, ""},
        {"{\"input\": \"q\", \"max_tokens\": 32}", EB_ERROR_NONE, ""},
        {"[]", EB_ERROR_TYPE, "$"},
        {"{}", EB_ERROR_MISSING_FIELD, "$.input"},
        {"{\"input\": 1}", EB_ERROR_TYPE, "$.input"},
        {"{\"input\": \"\"}", EB_ERROR_TYPE, "$.input"},
        {"{\"input\": \"q\", \"parameters\": 1}", EB_ERROR_TYPE,
         "$.parameters"},
        {"{\"input\": \"q\", \"max_tokens\": 33}", EB_ERROR_RANGE,
         "$.max_tokens"},
        {"{\"input\": \"q\", \"max_tokens\": 0}", EB_ERROR_RANGE,
         "$.max_tokens"},
        {"{\"input\": \"q\", \"max_tokens\": \"1\"}", EB_ERROR_TYPE,
         "$.max_tokens"},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        json_t *request = parse(rows[i].request);
        EbError error;
        EbError_Clear(&error);
        CU_ASSERT_EQUAL(EbStage_CheckRequest(&pipeline, request, &error),
                        rows[i].code == EB_ERROR_NONE);
        CU_ASSERT_EQUAL(error.code, rows[i].code);
        CU_ASSERT_STRING_EQUAL(error.path, rows[i].path);
        json_decref(request);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"build", test_build},
        {"missing documents", test_missing_documents},
        {"read", test_read},
        {"limits", test_limits},
        {"check request", test_check_request},
    };
    return EbTest_Run("test_stage", cases, TABLE_COUNT(cases));
}
