#include <string.h>

#include "admin.h"
#include "difference.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/file.h"
#include "output.h"

#define POLL_MS 200

/* Reads and validates the document that the first argument names.
 *
 * Returns NULL after a message. */
static EbConfig *
load_document(EbInvocation *invocation)
{
    const char *file = invocation->arguments[0];
    EbError error;
    size_t bytes = 0;
    EbConfig *config = NULL;
    char *text = EbFile_Read(file, EB_CONFIG_MAX_BYTES, &bytes, &error);
    if (text != NULL) {
        config = EbConfig_Parse(text, bytes, NULL, file, &error);
        g_free(text);
    }
    if (config == NULL) {
        EbOutput_Error(invocation, EB_EXIT_USAGE, &error,
                       "correct the document; docs/configuration.md and "
                       "ebonyhollow-config(5) list the fields");
    }
    return config;
}

EbExit
EbCommand_ConfigCheck(EbInvocation *invocation)
{
    EbConfig *config = load_document(invocation);
    if (config == NULL) {
        return EB_EXIT_USAGE;
    }
    json_t *overlays = json_object_get(config->document, "overlays");
    json_t *summary =
        json_pack("{s:b, s:I, s:I, s:I, s:I, s:I}", "valid", 1, "generation",
                  (json_int_t)config->generation, "sites",
                  (json_int_t)json_object_size(overlays), "pipelines",
                  (json_int_t)config->pipeline_count, "backend_servers",
                  (json_int_t)config->server_count, "customers",
                  (json_int_t)config->customer_count);
    if (invocation->json) {
        EbOutput_Json(invocation->out, summary, 0);
    }
    else {
        EbOutput_Pairs(invocation->out, summary);
    }
    json_decref(summary);
    EbConfig_Unref(config);
    return EB_EXIT_DONE;
}

/* Returns the document in force with its generation, or NULL. */
static json_t *
document_of(json_t *answer)
{
    json_t *document = json_object_get(answer, "document");
    json_t *generation = json_object_get(answer, "generation");
    if (!json_is_object(document) || !json_is_integer(generation)) {
        return NULL;
    }
    json_t *complete = json_object();
    json_object_set(complete, "generation", generation);
    json_object_update_missing(complete, document);
    return complete;
}

static EbExit
fail_answer(EbInvocation *invocation)
{
    return EbOutput_Fail(invocation, EB_EXIT_FAILED, EB_ERROR_PROTOCOL,
                         "check that --admin is a daemon of this version",
                         "the answer lacks the configuration");
}

EbExit
EbCommand_ConfigShow(EbInvocation *invocation)
{
    const char *path = invocation->merged ? "/v1/config/merged" : "/v1/config";
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", path, NULL, &answer);
    if (code != EB_EXIT_DONE) {
        return code;
    }
    json_t *shown =
        invocation->merged ? json_incref(answer) : document_of(answer);
    if (shown != NULL) {
        EbOutput_Json(invocation->out, shown,
                      invocation->json ? 0 : JSON_INDENT(2));
    }
    else {
        code = fail_answer(invocation);
    }
    json_decref(shown);
    json_decref(answer);
    return code;
}

static void
print_changes(EbInvocation *invocation, json_t *changes)
{
    static const EbOutputColumn columns[] = {{"CHANGE", "change"},
                                             {"PATH", "path"},
                                             {"FROM", "from"},
                                             {"TO", "to"}};
    if (invocation->json) {
        json_t *document = json_pack("{s:O}", "changes", changes);
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
    }
    else if (json_array_size(changes) == 0) {
        fputs("no difference\n", invocation->out);
    }
    else {
        EbOutput_Table(invocation->out, changes, columns,
                       G_N_ELEMENTS(columns));
    }
}

EbExit
EbCommand_ConfigDiff(EbInvocation *invocation)
{
    EbConfig *config = load_document(invocation);
    if (config == NULL) {
        return EB_EXIT_USAGE;
    }
    json_t *answer;
    EbExit code = EbAdmin_Call(invocation, "GET", "/v1/config", NULL, &answer);
    json_t *in_force = document_of(answer);
    if (in_force != NULL) {
        json_t *changes = EbDifference_Compute(in_force, config->document);
        print_changes(invocation, changes);
        json_decref(changes);
    }
    else if (code == EB_EXIT_DONE) {
        code = fail_answer(invocation);
    }
    json_decref(in_force);
    json_decref(answer);
    EbConfig_Unref(config);
    return code;
}

/* Counts the daemons that have the generation. */
static uint32_t
count_daemons(EbInvocation *invocation, json_int_t generation)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i <= invocation->peer_count; i++) {
        const char *address = i == 0 ? NULL : invocation->peers[i - 1];
        json_t *answer;
        EbError error;
        EbExit code = EbAdmin_Request(invocation, address, "GET", "/v1/status",
                                      NULL, &answer, NULL, NULL, &error);
        json_t *seen = json_object_get(answer, "generation");
        count += code == EB_EXIT_DONE && json_is_integer(seen) &&
                 json_integer_value(seen) >= generation;
        json_decref(answer);
    }
    return count;
}

/* Waits until enough daemons have the generation. */
static EbExit
wait_for_daemons(EbInvocation *invocation, json_int_t generation,
                 uint32_t *count)
{
    int64_t end_us = invocation->now_us() + invocation->timeout_us;
    for (;;) {
        *count = count_daemons(invocation, generation);
        if (*count >= invocation->wait_count) {
            return EB_EXIT_DONE;
        }
        if (invocation->now_us() >= end_us) {
            break;
        }
        invocation->sleep_ms(POLL_MS);
    }
    return EbOutput_Fail(
        invocation, EB_EXIT_FAILED, EB_ERROR_UNAVAILABLE,
        "the change is accepted; see 'ebonyhollow status' of the other "
        "daemons",
        "generation %" JSON_INTEGER_FORMAT " is in force at %u of %u daemons",
        generation, *count, invocation->wait_count);
}

static EbExit
report_applied(EbInvocation *invocation, json_int_t generation)
{
    uint32_t count = 0;
    if (invocation->wait_count > 0) {
        EbExit code = wait_for_daemons(invocation, generation, &count);
        if (code != EB_EXIT_DONE) {
            return code;
        }
    }
    if (invocation->json) {
        json_t *document = json_pack("{s:I}", "generation", generation);
        if (invocation->wait_count > 0) {
            json_object_set_new(document, "daemons", json_integer(count));
        }
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
        return EB_EXIT_DONE;
    }
    fprintf(invocation->out,
            "generation %" JSON_INTEGER_FORMAT " is accepted\n", generation);
    if (invocation->wait_count > 0) {
        fprintf(invocation->out, "in force at %u daemons\n", count);
    }
    return EB_EXIT_DONE;
}

/* Finds out whether a change took effect although its answer was lost: the
 * next generation then has the same base and overlays. */
static bool
settle_lost(EbInvocation *invocation, const EbConfig *config)
{
    json_t *answer;
    EbError error;
    EbAdmin_Request(invocation, NULL, "GET", "/v1/config", NULL, &answer, NULL,
                    NULL, &error);
    json_t *in_force = document_of(answer);
    json_t *expected = json_copy(config->document);
    json_object_set_new(expected, "generation",
                        json_integer((json_int_t)config->generation + 1));
    if (json_object_get(expected, "overlays") == NULL) {
        json_object_set_new(expected, "overlays", json_object());
    }
    bool applied = in_force != NULL && json_equal(in_force, expected);
    json_decref(expected);
    json_decref(in_force);
    json_decref(answer);
    return applied;
}

#define UNSETTLED_NEXT                                                        \
    "the change may have been accepted; run 'ebonyhollow config diff' on "    \
    "the document before applying it again"

static EbExit
report_refused(EbInvocation *invocation, const EbConfig *config, EbExit code,
               int status, bool lost, EbError *error)
{
    json_int_t next = (json_int_t)config->generation + 1;
    if (lost && settle_lost(invocation, config)) {
        return report_applied(invocation, next);
    }
    if (lost || status >= 500) {
        return EbOutput_Error(invocation, EB_EXIT_FAILED, error,
                              UNSETTLED_NEXT);
    }
    if (code == EB_EXIT_CONFLICT) {
        return EbOutput_Error(invocation, code, error,
                              "run 'ebonyhollow config show', make the change "
                              "on its output and apply that");
    }
    return EbOutput_Error(invocation, code, error,
                          EbAdmin_FailureHint(code, status));
}

/* Applies the document on the condition that the generation it names is
 * still in force, so that racing changes never overwrite each other. */
static EbExit
apply_document(EbInvocation *invocation, const EbConfig *config)
{
    json_t *overlays = json_object_get(config->document, "overlays");
    json_t *empty = json_object();
    json_t *body = json_pack("{s:I, s:O, s:O}", "from_generation",
                             (json_int_t)config->generation, "base",
                             json_object_get(config->document, "base"),
                             "overlays", overlays != NULL ? overlays : empty);
    char *text = json_dumps(body, JSON_COMPACT);
    json_t *answer;
    int status;
    bool lost;
    EbError error;
    EbExit code = EbAdmin_Request(invocation, NULL, "PUT", "/v1/config", text,
                                  &answer, &status, &lost, &error);
    json_t *generation = json_object_get(answer, "generation");
    if (code != EB_EXIT_DONE) {
        code = report_refused(invocation, config, code, status, lost, &error);
    }
    else if (!json_is_integer(generation)) {
        code = fail_answer(invocation);
    }
    else {
        code = report_applied(invocation, json_integer_value(generation));
    }
    json_decref(answer);
    free(text);
    json_decref(body);
    json_decref(empty);
    return code;
}

EbExit
EbCommand_ConfigApply(EbInvocation *invocation)
{
    if (invocation->wait_count > invocation->peer_count + 1) {
        return EbOutput_Fail(invocation, EB_EXIT_USAGE, EB_ERROR_USAGE,
                             "give the other daemons' administration "
                             "addresses with --peer",
                             "--wait %u needs %u --peer options",
                             invocation->wait_count,
                             invocation->wait_count - 1);
    }
    EbConfig *config = load_document(invocation);
    if (config == NULL || !EbCommand_ReadToken(invocation)) {
        EbConfig_Unref(config);
        return EB_EXIT_USAGE;
    }
    EbExit code = apply_document(invocation, config);
    EbConfig_Unref(config);
    return code;
}
