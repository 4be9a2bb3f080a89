#include "ebonyhollow/stage.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

/* Bound on one stage's result. Text, documents and result together stay below
 * the platform's limit of 1 MB for a value, so that a finished answer can
 * always be recorded. */
#define MAX_RESULT_BYTES ((size_t)256 * 1024)

static const EbConfigStage *
stage_of(const EbStageInput *input)
{
    assert(input->stage < input->pipeline->stage_count);
    return &input->pipeline->stages[input->stage];
}

/* Returns a member of the result of the latest earlier stage that has it, or
 * NULL. Borrowed. */
static json_t *
find_part(const EbStageInput *input, const char *name)
{
    for (uint32_t i = input->stage; i > 0; i--) {
        json_t *part = json_object_get(input->results[i - 1], name);
        if (part != NULL) {
            return part;
        }
    }
    return NULL;
}

static json_t *
check_size(json_t *result, EbError *error)
{
    if (result != NULL &&
        json_dumpb(result, NULL, 0, JSON_COMPACT) > MAX_RESULT_BYTES) {
        EbError_Set(error, EB_ERROR_LIMIT, "the answer exceeds %zu bytes",
                    MAX_RESULT_BYTES);
        json_decref(result);
        return NULL;
    }
    return result;
}

static bool
is_object_with(json_t *value, const char *member, json_type type)
{
    json_t *found = json_object_get(value, member);
    return found != NULL && json_typeof(found) == type;
}

static json_t *
build_encode(const EbStageInput *input, EbError *error)
{
    (void)error;
    return json_pack("{s:[O]}", "inputs",
                     json_object_get(input->request, "input"));
}

static json_t *
read_encode(const EbStageInput *input, json_t *answer, EbError *error)
{
    (void)input;
    json_t *vectors = json_object_get(answer, "vectors");
    json_t *vector = json_array_get(vectors, 0);
    if (json_array_size(vectors) != 1 || json_array_size(vector) == 0) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "expected one vector");
        return NULL;
    }
    size_t index;
    json_t *number;
    json_array_foreach(vector, index, number)
    {
        if (!json_is_number(number)) {
            EbError_Set(error, EB_ERROR_PROTOCOL,
                        "element %zu is not a number", index);
            return NULL;
        }
    }
    return check_size(json_pack("{s:O}", "vector", vector), error);
}

static json_t *
build_retrieve(const EbStageInput *input, EbError *error)
{
    (void)error;
    json_t *body = json_pack("{s:O, s:i}", "text",
                             json_object_get(input->request, "input"), "top_k",
                             (int)stage_of(input)->top_k);
    json_t *vector = find_part(input, "vector");
    if (vector != NULL) {
        json_object_set(body, "vector", vector);
    }
    return body;
}

static json_t *
read_retrieve(const EbStageInput *input, json_t *answer, EbError *error)
{
    json_t *documents = json_object_get(answer, "documents");
    if (!json_is_array(documents) ||
        json_array_size(documents) > stage_of(input)->top_k) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "expected at most %u documents",
                    stage_of(input)->top_k);
        return NULL;
    }
    size_t index;
    json_t *document;
    json_array_foreach(documents, index, document)
    {
        if (!is_object_with(document, "id", JSON_STRING) ||
            !is_object_with(document, "text", JSON_STRING)) {
            EbError_Set(error, EB_ERROR_PROTOCOL,
                        "document %zu has no id or text", index);
            return NULL;
        }
    }
    return check_size(json_pack("{s:O}", "documents", documents), error);
}

static json_t *
build_rerank(const EbStageInput *input, EbError *error)
{
    json_t *documents = find_part(input, "documents");
    if (documents == NULL) {
        EbError_Set(error, EB_ERROR_REFERENCE,
                    "no earlier stage returns documents");
        return NULL;
    }
    json_t *candidates = json_array();
    size_t index;
    json_t *document;
    json_array_foreach(documents, index, document)
    {
        json_array_append_new(
            candidates,
            json_pack("{s:O, s:O}", "id", json_object_get(document, "id"),
                      "text", json_object_get(document, "text")));
    }
    return json_pack("{s:O, s:o, s:i}", "query",
                     json_object_get(input->request, "input"), "documents",
                     candidates, "top_k", (int)stage_of(input)->top_k);
}

/* Appends the document that one result refers to. `used` marks the documents
 * that earlier results referred to. Returns false if the result is invalid. */
static bool
append_ranked(json_t *ranked, json_t *documents, json_t *item, bool *used)
{
    json_t *position = json_object_get(item, "index");
    json_t *score = json_object_get(item, "score");
    if (!json_is_integer(position) || !json_is_number(score)) {
        return false;
    }
    json_int_t index = json_integer_value(position);
    if (index < 0 || (size_t)index >= json_array_size(documents) ||
        used[index]) {
        return false;
    }
    used[index] = true;
    json_t *document = json_copy(json_array_get(documents, (size_t)index));
    json_object_set(document, "score", score);
    json_array_append_new(ranked, document);
    return true;
}

static json_t *
read_rerank(const EbStageInput *input, json_t *answer, EbError *error)
{
    json_t *documents = find_part(input, "documents");
    json_t *results = json_object_get(answer, "results");
    if (!json_is_array(results) ||
        json_array_size(results) > stage_of(input)->top_k) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "expected at most %u results",
                    stage_of(input)->top_k);
        return NULL;
    }
    bool *used = g_new0(bool, json_array_size(documents) + 1);
    json_t *ranked = json_array();
    bool valid = true;
    for (size_t i = 0; i < json_array_size(results) && valid; i++) {
        valid =
            append_ranked(ranked, documents, json_array_get(results, i), used);
    }
    g_free(used);
    if (!valid) {
        json_decref(ranked);
        EbError_Set(error, EB_ERROR_PROTOCOL,
                    "a result has no score or a wrong or repeated index");
        return NULL;
    }
    return check_size(json_pack("{s:o}", "documents", ranked), error);
}

/* Puts the fixed instruction first and the caller's text last, so that the
 * prompts of different requests share the longest possible prefix. */
static char *
build_prompt(const EbStageInput *input)
{
    GString *prompt = g_string_new(stage_of(input)->prompt);
    size_t index;
    json_t *document;
    json_array_foreach(find_part(input, "documents"), index, document)
    {
        if (prompt->len > 0) {
            g_string_append_c(prompt, '\n');
        }
        g_string_append(prompt,
                        json_string_value(json_object_get(document, "text")));
    }
    if (prompt->len > 0) {
        g_string_append_c(prompt, '\n');
    }
    g_string_append(
        prompt, json_string_value(json_object_get(input->request, "input")));
    return g_string_free(prompt, FALSE);
}

static json_int_t
token_bound(const EbStageInput *input)
{
    json_int_t bound = stage_of(input)->max_tokens;
    json_t *wanted = json_object_get(input->request, "max_tokens");
    if (wanted != NULL && json_integer_value(wanted) < bound) {
        bound = json_integer_value(wanted);
    }
    return bound;
}

static json_t *
build_generate(const EbStageInput *input, EbError *error)
{
    (void)error;
    char *prompt = build_prompt(input);
    const char *model = stage_of(input)->model;
    json_t *body = json_pack("{s:s, s:s, s:I, s:b}", "model",
                             model != NULL ? model : "", "prompt", prompt,
                             "max_tokens", token_bound(input), "stream", 1);
    g_free(prompt);
    if (body != NULL && input->resume_token_index > 0) {
        json_object_set_new(
            body, "resume",
            json_pack("{s:I, s:s}", "token_index",
                      (json_int_t)input->resume_token_index, "text",
                      input->resume_text != NULL ? input->resume_text : ""));
    }
    return body;
}

static json_t *
read_generate(const EbStageInput *input, json_t *answer, EbError *error)
{
    json_t *tokens = json_object_get(answer, "tokens");
    if (!is_object_with(answer, "text", JSON_STRING) ||
        !json_is_integer(tokens)) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "expected text and tokens");
        return NULL;
    }
    if (json_integer_value(tokens) < 0 ||
        json_integer_value(tokens) > token_bound(input)) {
        EbError_Set(error, EB_ERROR_PROTOCOL,
                    "%" JSON_INTEGER_FORMAT " tokens exceed the bound",
                    json_integer_value(tokens));
        return NULL;
    }
    return check_size(json_incref(answer), error);
}

static json_t *
build_call(const EbStageInput *input, EbError *error)
{
    (void)error;
    json_t *body =
        json_pack("{s:O}", "input", json_object_get(input->request, "input"));
    json_t *parameters = json_object_get(input->request, "parameters");
    json_object_set_new(body, "parameters",
                        parameters != NULL ? json_incref(parameters)
                                           : json_object());
    static const char *const parts[] = {"text", "documents"};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        json_t *part = find_part(input, parts[i]);
        if (part != NULL) {
            json_object_set(body, parts[i], part);
        }
    }
    return body;
}

static json_t *
read_call(const EbStageInput *input, json_t *answer, EbError *error)
{
    (void)input;
    if (!json_is_object(answer)) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "the answer is not an object");
        return NULL;
    }
    return check_size(json_pack("{s:O}", "result", answer), error);
}

const EbStageProtocol EbStage_protocols[EB_STAGE_KIND_COUNT] = {
    [EB_STAGE_ENCODE] = {"/v1/encode", false, true, build_encode, read_encode},
    [EB_STAGE_RETRIEVE] = {"/v1/retrieve", false, true, build_retrieve,
                           read_retrieve},
    [EB_STAGE_RERANK] = {"/v1/rerank", false, true, build_rerank, read_rerank},
    [EB_STAGE_GENERATE] = {"/v1/completions", true, false, build_generate,
                           read_generate},
    [EB_STAGE_CALL] = {NULL, false, true, build_call, read_call},
};

static bool
check_max_tokens(const EbConfigPipeline *pipeline, json_t *value,
                 EbError *error)
{
    json_int_t bound = 0;
    for (uint32_t i = 0; i < pipeline->stage_count; i++) {
        if (pipeline->stages[i].kind == EB_STAGE_GENERATE) {
            bound = MAX(bound, (json_int_t)pipeline->stages[i].max_tokens);
        }
    }
    if (!json_is_integer(value)) {
        EbError_Set(error, EB_ERROR_TYPE, "expected an integer");
    }
    else if (json_integer_value(value) < 1 ||
             (bound > 0 && json_integer_value(value) > bound)) {
        EbError_Set(error, EB_ERROR_RANGE,
                    "expected 1 to %" JSON_INTEGER_FORMAT, bound);
    }
    else {
        return true;
    }
    EbError_SetPath(error, "$.max_tokens");
    return false;
}

bool
EbStage_CheckRequest(const EbConfigPipeline *pipeline, json_t *request,
                     EbError *error)
{
    if (!json_is_object(request)) {
        EbError_SetPath(error, "$");
        EbError_Set(error, EB_ERROR_TYPE, "expected an object");
        return false;
    }
    json_t *input = json_object_get(request, "input");
    if (!json_is_string(input) || json_string_length(input) == 0) {
        EbError_SetPath(error, "$.input");
        EbError_Set(error,
                    input == NULL ? EB_ERROR_MISSING_FIELD : EB_ERROR_TYPE,
                    "expected a non-empty string");
        return false;
    }
    json_t *parameters = json_object_get(request, "parameters");
    if (parameters != NULL && !json_is_object(parameters)) {
        EbError_SetPath(error, "$.parameters");
        EbError_Set(error, EB_ERROR_TYPE, "expected an object");
        return false;
    }
    json_t *max_tokens = json_object_get(request, "max_tokens");
    return max_tokens == NULL || check_max_tokens(pipeline, max_tokens, error);
}

const char *
EbStage_Prompt(json_t *body)
{
    return json_string_value(json_object_get(body, "prompt"));
}
