#include "admin.h"

#include <string.h>

#include "output.h"

/* Fills in the error from a problem document. */
static void
read_problem(const EbHttpResponse *response, EbError *error)
{
    json_t *problem = json_loadb(response->body->str, response->body->len,
                                 JSON_REJECT_DUPLICATES, NULL);
    const char *detail = json_string_value(json_object_get(problem, "detail"));
    const char *title = json_string_value(json_object_get(problem, "title"));
    const char *name = json_string_value(json_object_get(problem, "code"));
    const char *path = json_string_value(json_object_get(problem, "path"));
    EbErrorCode code = EB_ERROR_PROTOCOL;
    for (int i = 0; name != NULL && i < EB_ERROR_COUNT; i++) {
        if (strcmp(EbErrorCode_names[i], name) == 0) {
            code = (EbErrorCode)i;
        }
    }
    if (response->status == 401 || response->status == 403) {
        code = EB_ERROR_DENIED;
    }
    else if (response->status == 409) {
        code = EB_ERROR_CONFLICT;
    }
    const char *text = detail != NULL ? detail : title;
    EbError_Set(error, code, "%s (status %d)",
                text != NULL ? text : "the daemon refused the call",
                response->status);
    if (path != NULL) {
        EbError_SetPath(error, "%s", path);
    }
    json_t *line = json_object_get(problem, "line");
    if (json_integer_value(line) > 0) {
        json_t *column = json_object_get(problem, "column");
        EbError_SetPlace(error, NULL, (int32_t)json_integer_value(line),
                         (int32_t)json_integer_value(column));
    }
    json_decref(problem);
}

static EbExit
exit_of_status(int status)
{
    switch (status) {
    case 400:
    case 413:
    case 422:
        return EB_EXIT_USAGE;
    case 409:
        return EB_EXIT_CONFLICT;
    default:
        return EB_EXIT_FAILED;
    }
}

const char *
EbAdmin_FailureHint(EbExit code, int status)
{
    if (code == EB_EXIT_UNREACHABLE) {
        return "check --admin or --caller, and that the daemon runs";
    }
    switch (status) {
    case 401:
        return "check the token in --token-file or EBONYHOLLOW_TOKEN";
    case 403:
        return "use the token of an operator whose role and scope allow this";
    case 404:
        return "check the name; the daemon may also be of another version";
    case 409:
        return "read the present state and make the change on it";
    case 400:
    case 422:
        return "correct the input";
    case 429:
    case 503:
        return "try again in a few seconds";
    default:
        return "look at the daemon's log";
    }
}

static EbExit
read_answer(const EbHttpResponse *response, json_t **answer, EbError *error)
{
    if (response->status < 200 || response->status > 299) {
        read_problem(response, error);
        return exit_of_status(response->status);
    }
    if (response->body->len == 0) {
        *answer = json_object();
        return EB_EXIT_DONE;
    }
    *answer = json_loadb(response->body->str, response->body->len,
                         JSON_REJECT_DUPLICATES, NULL);
    if (*answer == NULL) {
        EbError_Set(error, EB_ERROR_PROTOCOL, "the answer is not JSON");
        return EB_EXIT_FAILED;
    }
    return EB_EXIT_DONE;
}

EbExit
EbAdmin_Request(EbInvocation *invocation, const char *address,
                const char *method, const char *path, const char *body,
                json_t **answer, int *status, bool *lost, EbError *error)
{
    *answer = NULL;
    EbError_Clear(error);
    EbHttpRequest request = {
        .address = address != NULL ? address : invocation->admin,
        .method = method,
        .path = path,
        .token = invocation->token,
        .body = body,
        .timeout_us = invocation->timeout_us,
    };
    EbHttpResponse response;
    EbHttpResult result =
        invocation->call(invocation->base, &request, &response, error);
    EbExit code;
    if (result == EB_HTTP_ANSWERED) {
        code = read_answer(&response, answer, error);
    }
    else {
        code = error->code == EB_ERROR_USAGE ? EB_EXIT_USAGE
                                             : EB_EXIT_UNREACHABLE;
    }
    if (status != NULL) {
        *status = response.status;
    }
    if (lost != NULL) {
        *lost = result == EB_HTTP_LOST;
    }
    EbHttpResponse_Clear(&response);
    return code;
}

EbExit
EbAdmin_Call(EbInvocation *invocation, const char *method, const char *path,
             const char *body, json_t **answer)
{
    *answer = NULL;
    if (!EbCommand_ReadToken(invocation)) {
        return EB_EXIT_USAGE;
    }
    EbError error;
    int status;
    bool lost;
    EbExit code = EbAdmin_Request(invocation, NULL, method, path, body, answer,
                                  &status, &lost, &error);
    const char *next = EbAdmin_FailureHint(code, status);
    if (lost && strcmp(method, "GET") == 0) {
        next = "try again, or with a longer --timeout";
    }
    else if (lost) {
        code = EB_EXIT_FAILED;
        next = "the call may have taken effect; look at the state first";
    }
    if (code != EB_EXIT_DONE) {
        EbOutput_Error(invocation, code, &error, next);
    }
    return code;
}

json_t *
EbAdmin_FindArray(json_t *answer, const char *name)
{
    json_t *rows =
        json_is_array(answer) ? answer : json_object_get(answer, name);
    return json_is_array(rows) ? rows : NULL;
}
