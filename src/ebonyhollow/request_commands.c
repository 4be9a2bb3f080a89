#include <errno.h>
#include <string.h>

#include "admin.h"
#include "answer_stream.h"
#include "ebonyhollow/file.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/schema.h"
#include "output.h"

#define BODY_MAX_BYTES 16777216

/* How long after the request's own deadline its answer may arrive. */
#define ANSWER_MARGIN_US 2000000

static EbExit
exit_code_for_outcome(EbOutcome outcome)
{
    switch (outcome) {
    case EB_OUTCOME_DONE:
        return EB_EXIT_DONE;
    case EB_OUTCOME_NOT_RUN:
        return EB_EXIT_NOT_RUN;
    case EB_OUTCOME_FAILED:
        return EB_EXIT_OUTCOME_FAILED;
    case EB_OUTCOME_UNKNOWN:
    case EB_OUTCOME_COUNT:
        break;
    }
    return EB_EXIT_UNKNOWN;
}

static const char *
outcome_hint(EbOutcome outcome, bool keyed)
{
    switch (outcome) {
    case EB_OUTCOME_DONE:
        return NULL;
    case EB_OUTCOME_NOT_RUN:
        return keyed ? "if the request is still wanted, submit it with a new "
                       "--key"
                     : "if the request is still wanted, submit it again";
    case EB_OUTCOME_FAILED:
        return keyed ? "submit again with the same --key"
                     : "the request may be submitted again";
    case EB_OUTCOME_UNKNOWN:
    case EB_OUTCOME_COUNT:
        break;
    }
    return keyed ? "submit again with the same --key and input, or run "
                   "'ebonyhollow outcome CUSTOMER KEY'"
                 : "submit again only if the pipeline is idempotent";
}

EbExit
EbCommand_Outcome(EbInvocation *invocation)
{
    char *customer =
        g_uri_escape_string(invocation->arguments[0], NULL, FALSE);
    char *key = g_uri_escape_string(invocation->arguments[1], NULL, FALSE);
    char *path = g_strdup_printf("/v1/outcomes/%s/%s", customer, key);
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", path, NULL, &answer);
    g_free(path);
    g_free(key);
    g_free(customer);
    if (code != EB_EXIT_DONE) {
        return code;
    }
    if (invocation->json) {
        EbOutput_Json(invocation->out, answer, 0);
    }
    else {
        EbOutput_Pairs(invocation->out, answer);
    }
    const char *name = json_string_value(json_object_get(answer, "outcome"));
    EbOutcome outcome =
        name != NULL ? EbOutcome_Parse(name) : EB_OUTCOME_UNKNOWN;
    const char *hint = outcome_hint(outcome, true);
    if (hint != NULL) {
        fprintf(invocation->err, "next: %s\n", hint);
    }
    json_decref(answer);
    return exit_code_for_outcome(outcome);
}

/* Builds the request body from --input or --body.
 *
 * Returns JSON text, freed with free, or NULL after printing a message. */
static char *
make_body(EbInvocation *invocation)
{
    EbError error = {0};
    json_t *body = NULL;
    if ((invocation->input != NULL) == (invocation->body_file != NULL)) {
        EbError_Set(&error, EB_ERROR_USAGE,
                    "specify either --input TEXT or --body FILE");
    }
    else if (invocation->input != NULL) {
        body = json_pack("{s:s}", "input", invocation->input);
        if (body == NULL) {
            EbError_Set(&error, EB_ERROR_USAGE, "--input is not UTF-8");
        }
    }
    else {
        size_t bytes = 0;
        char *text =
            EbFile_Read(invocation->body_file, BODY_MAX_BYTES, &bytes, &error);
        if (text != NULL) {
            body = EbSchema_Load(text, bytes, BODY_MAX_BYTES,
                                 invocation->body_file, &error);
            g_free(text);
        }
    }
    if (body != NULL &&
        json_string_length(json_object_get(body, "input")) == 0) {
        EbError_SetPath(&error, "$.input");
        EbError_Set(&error, EB_ERROR_MISSING_FIELD,
                    "a non-empty string is required");
        json_decref(body);
        body = NULL;
    }
    if (body == NULL) {
        EbOutput_Error(invocation, EB_EXIT_USAGE, &error,
                       "see 'ebonyhollow --help'");
        return NULL;
    }
    char *text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    return text;
}

static void
add_header(EbHttpRequest *request, const char *name, const char *value)
{
    g_assert(request->header_count < EB_HTTP_MAX_HEADERS);
    request->headers[request->header_count++] = (EbHttpHeader){name, value};
}

/* Prints a complete answer with the outcome done.
 *
 * text_was_printed: whether the text was printed while the stream arrived. */
static void
print_answer(EbInvocation *invocation, json_t *answer, bool text_was_printed)
{
    if (invocation->json) {
        EbOutput_Json(invocation->out, answer, 0);
        return;
    }
    json_t *answer_fields = json_object_get(answer, "answer");
    const char *text =
        json_string_value(json_object_get(answer_fields, "text"));
    if (text_was_printed) {
        fputc('\n', invocation->out);
    }
    else if (text != NULL) {
        EbOutput_Text(invocation->out, text);
        fputc('\n', invocation->out);
    }
    json_t *result = json_object_get(answer_fields, "result");
    if (result != NULL) {
        EbOutput_Json(invocation->out, result, JSON_INDENT(2));
    }
    json_t *documents = json_object_get(answer_fields, "documents");
    if (text == NULL && result == NULL && documents != NULL) {
        EbOutput_Json(invocation->out, documents, JSON_INDENT(2));
    }
}

/* Reports an outcome other than done, with the details of the problem
 * document, which may be NULL. */
static EbExit
report_unsuccessful_outcome(EbInvocation *invocation, EbOutcome outcome,
                            json_t *problem, const EbHttpResponse *response)
{
    bool keyed = invocation->key != NULL;
    const char *name =
        outcome < EB_OUTCOME_COUNT ? EbOutcome_names[outcome] : "unknown";
    const char *detail = json_string_value(json_object_get(problem, "detail"));
    const char *title = json_string_value(json_object_get(problem, "title"));
    const char *reason = json_string_value(json_object_get(problem, "reason"));
    const char *hint = outcome_hint(outcome, keyed);
    EbError error = {0};
    EbError_Set(&error, EB_ERROR_UNAVAILABLE, "outcome %s: %s", name,
                detail   ? detail
                : title  ? title
                : reason ? reason
                         : "the answer states no reason");
    char text[1024];
    EbError_Format(&error, text, sizeof(text));
    fputs("ebonyhollow: ", invocation->err);
    EbOutput_Text(invocation->err, text);
    fprintf(invocation->err, "\nnext: %s\n", hint);
    if (response->retry_after != NULL) {
        fputs("retry after (seconds): ", invocation->err);
        EbOutput_Text(invocation->err, response->retry_after);
        fputc('\n', invocation->err);
    }
    if (invocation->json) {
        json_t *document =
            problem != NULL ? json_incref(problem) : json_object();
        if (json_object_get(document, "outcome") == NULL) {
            json_object_set_new(document, "outcome", json_string(name));
        }
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
    }
    return exit_code_for_outcome(outcome);
}

/* Reports an answer: a complete one, a problem document or a stream. */
static EbExit
report_answer(EbInvocation *invocation, const EbHttpResponse *response,
              const EbAnswerStream *stream, bool streamed)
{
    json_t *body = streamed
                       ? json_incref(stream->outcome)
                       : json_loadb(response->body->str, response->body->len,
                                    JSON_REJECT_DUPLICATES, NULL);
    const char *name = json_string_value(json_object_get(body, "outcome"));
    if (name == NULL && !streamed) {
        name = response->outcome;
    }
    EbOutcome outcome =
        name != NULL ? EbOutcome_Parse(name) : EB_OUTCOME_UNKNOWN;
    EbExit code = EB_EXIT_DONE;
    if (outcome == EB_OUTCOME_DONE && json_is_object(body)) {
        print_answer(invocation, body, streamed && stream->out != NULL);
    }
    else {
        if (outcome == EB_OUTCOME_DONE) {
            /* The header says done, but the answer is missing or invalid. */
            outcome = EB_OUTCOME_UNKNOWN;
        }
        if (streamed && stream->out != NULL) {
            fputc('\n', invocation->out);
        }
        code = report_unsuccessful_outcome(
            invocation, outcome, json_is_object(body) ? body : NULL, response);
    }
    if (response->replayed) {
        fputs("ebonyhollow: this answer was recorded for an earlier request "
              "with the same key\n",
              invocation->err);
    }
    json_decref(body);
    return code;
}

/* Reports a call without a complete answer. */
static EbExit
report_no_answer(EbInvocation *invocation, EbHttpResult result, EbError *error)
{
    if (result == EB_HTTP_UNREACHABLE) {
        EbExit code = error->code == EB_ERROR_USAGE ? EB_EXIT_USAGE
                                                    : EB_EXIT_UNREACHABLE;
        return EbOutput_Error(invocation, code, error,
                              "nothing was sent; check --caller");
    }
    return EbOutput_Error(
        invocation, EB_EXIT_UNKNOWN, error,
        outcome_hint(EB_OUTCOME_UNKNOWN, invocation->key != NULL));
}

static EbExit
send_request(EbInvocation *invocation, const EbHttpRequest *base_request)
{
    EbHttpRequest request = *base_request;
    EbAnswerStream stream;
    EbAnswerStream_Init(&stream, invocation->json ? NULL : invocation->out);
    if (invocation->stream) {
        request.handle_chunk = EbAnswerStream_Feed;
        request.chunk_context = &stream;
        add_header(&request, "Accept", "text/event-stream");
    }
    EbHttpResponse response;
    EbError error;
    EbHttpResult result =
        invocation->http_call(invocation->base, &request, &response, &error);
    bool streamed =
        invocation->stream && response.status == 200 &&
        response.content_type != NULL &&
        g_str_has_prefix(response.content_type, "text/event-stream");
    EbExit code;
    if (result == EB_HTTP_ANSWERED || stream.outcome != NULL) {
        code = report_answer(invocation, &response, &stream,
                             streamed || stream.outcome != NULL);
    }
    else {
        code = report_no_answer(invocation, result, &error);
    }
    EbHttpResponse_Clear(&response);
    EbAnswerStream_Clear(&stream);
    return code;
}

EbExit
EbCommand_Submit(EbInvocation *invocation)
{
    char *body = make_body(invocation);
    if (body == NULL || !EbCommand_ReadToken(invocation)) {
        free(body);
        return EB_EXIT_USAGE;
    }
    char *name = g_uri_escape_string(invocation->arguments[0], NULL, FALSE);
    char *path = g_strdup_printf("/v1/pipelines/%s", name);
    char *timeout_ms =
        g_strdup_printf("%" G_GINT64_FORMAT, invocation->caller_timeout_ms);
    EbHttpRequest request = {.address = invocation->caller,
                             .method = "POST",
                             .path = path,
                             .token = invocation->token,
                             .body = body,
                             .timeout_us = invocation->timeout_us};
    if (invocation->caller_timeout_ms > 0) {
        request.timeout_us =
            MAX(request.timeout_us,
                invocation->caller_timeout_ms * 1000 + ANSWER_MARGIN_US);
        add_header(&request, "Eb-Timeout-Ms", timeout_ms);
    }
    if (invocation->key != NULL) {
        add_header(&request, "Idempotency-Key", invocation->key);
    }
    EbExit code = send_request(invocation, &request);
    g_free(timeout_ms);
    g_free(path);
    g_free(name);
    free(body);
    return code;
}
