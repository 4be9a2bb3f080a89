/* Handlers of the administration API that read and change the configuration.
 */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "admin_internal.h"
#include "clock.h"
#include "json_difference.h"

/* Number of changes listed in the answer to a check. */
#define MAX_LISTED_CHANGES 1000
/* Number of generations that the history keeps. */
#define MAX_HISTORY_ENTRIES 64

void
EbAdmin_GetConfig(const EbAdminCall *call)
{
    const EbConfig *config =
        EbConfigManager_Current(call->server->options.config_manager);
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:I, s:O}", "generation",
                            (json_int_t)config->generation, "document",
                            config->document));
}

void
EbAdmin_GetMergedConfig(const EbAdminCall *call)
{
    const EbConfig *config =
        EbConfigManager_Current(call->server->options.config_manager);
    EbAdmin_Reply(call->server, call->request, 200,
                  json_incref(config->merged));
}

void
EbAdmin_GetHistory(const EbAdminCall *call)
{
    json_t *history = json_array();
    for (const GList *item = call->server->history.head; item != NULL;
         item = item->next) {
        json_array_append(history, item->data);
    }
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "history", history));
}

void
EbAdminServer_RecordGeneration(EbAdminServer *server, uint64_t generation,
                               const char *source)
{
    GDateTime *time = g_date_time_new_now_utc();
    char *text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%SZ");
    g_date_time_unref(time);
    g_queue_push_head(&server->history,
                      json_pack("{s:I, s:s, s:s}", "generation",
                                (json_int_t)generation, "source", source,
                                "time", text));
    g_free(text);
    if (server->history.length > MAX_HISTORY_ENTRIES) {
        json_decref(g_queue_pop_tail(&server->history));
    }
}

static void
add_change(void *context, const char *const *path, size_t path_length,
           const json_t *from, const json_t *to)
{
    json_t *list = context;
    if (json_array_size(list) >= MAX_LISTED_CHANGES) {
        return;
    }
    GString *text = g_string_new("$");
    for (size_t i = 0; i < path_length; i++) {
        g_string_append_printf(text, ".%s", path[i]);
    }
    const char *kind = from == NULL ? "added"
                       : to == NULL ? "removed"
                                    : "changed";
    json_t *change =
        json_pack("{s:s, s:s}", "change", kind, "path", text->str);
    if (from != NULL) {
        json_object_set(change, "from", (json_t *)from);
    }
    if (to != NULL) {
        json_object_set(change, "to", (json_t *)to);
    }
    json_array_append_new(list, change);
    g_string_free(text, TRUE);
}

/* Returns the body of a call, which is borrowed and not null-terminated. */
static const char *
read_body(const EbAdminCall *call, size_t *length)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(call->request);
    *length = evbuffer_get_length(input);
    const char *text = (const char *)evbuffer_pullup(input, -1);
    return text != NULL ? text : "";
}

void
EbAdmin_CheckConfig(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    size_t length;
    const char *text = read_body(call, &length);
    EbError error = {0};
    EbConfig *config =
        EbConfig_Parse(text, length, options->settings->site, NULL, &error);
    if (config == NULL) {
        EbAdmin_ReplyProblem(call->server, call->request, 422,
                             "the document is not valid", &error);
        return;
    }
    json_t *changes = json_array();
    const EbConfig *current = EbConfigManager_Current(options->config_manager);
    EbJsonDifference_ForEach(current != NULL ? current->document : NULL,
                             config->document, add_change, changes);
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:b, s:o}", "valid", 1, "changes", changes));
    EbConfig_Unref(config);
}

typedef struct {
    const EbConfigOperator *principal;
    char *denied_path; /* first path that the operator may not change */
} ScopeCheck;

static bool
contains_name(char **names, uint32_t count, const char *name)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether an operator may change a path below the base or below the
 * overlay of a site. Only admins may change operators, since others could
 * give themselves a higher role. */
static bool
may_change(const EbConfigOperator *principal, const char *section,
           const char *entry)
{
    if (strcmp(section, "operators") == 0 &&
        principal->role != EB_ROLE_ADMIN) {
        return false;
    }
    if (principal->pipeline_count + principal->customer_count == 0) {
        return true;
    }
    if (strcmp(section, "pipelines") == 0 || strcmp(section, "routes") == 0) {
        return contains_name(principal->pipelines, principal->pipeline_count,
                             entry);
    }
    return strcmp(section, "customers") == 0 &&
           contains_name(principal->customers, principal->customer_count,
                         entry);
}

static void
check_change(void *context, const char *const *path, size_t path_length,
             const json_t *from, const json_t *to)
{
    (void)from;
    (void)to;
    ScopeCheck *check = context;
    if (check->denied_path != NULL || path_length == 0 ||
        strcmp(path[0], "generation") == 0) {
        return;
    }
    /* The path begins with base.SECTION.ENTRY or overlays.SITE.SECTION.ENTRY,
     * or is a shorter part of these. */
    size_t start = strcmp(path[0], "overlays") == 0 ? 2 : 1;
    const char *section = path_length > start ? path[start] : "";
    const char *entry = path_length > start + 1 ? path[start + 1] : "";
    if (!may_change(check->principal, section, entry)) {
        check->denied_path = g_strjoin(".", path[0], section, entry, NULL);
    }
}

/* Builds the document of the next generation from the body of a PUT request.
 * Returns NULL when the body is not an object with a valid "from_generation".
 */
static json_t *
build_document(const EbAdminCall *call, uint64_t *from)
{
    size_t length;
    const char *text = read_body(call, &length);
    json_t *body = json_loadb(text, length, JSON_REJECT_DUPLICATES, NULL);
    const json_t *generation = json_object_get(body, "from_generation");
    json_t *document = NULL;
    if (json_is_integer(generation) && json_integer_value(generation) >= 0) {
        *from = (uint64_t)json_integer_value(generation);
        document = json_copy(body);
        json_object_del(document, "from_generation");
        json_object_set_new(document, "generation",
                            json_integer((json_int_t)*from + 1));
    }
    json_decref(body);
    return document;
}

static int
status_for_error(EbErrorCode code)
{
    switch (code) {
    case EB_ERROR_NONE:
        return 200;
    case EB_ERROR_CONFLICT:
        return 409;
    case EB_ERROR_UNAVAILABLE:
        return 503;
    default:
        return 422;
    }
}

static void
on_change_done(void *context, const EbError *error, uint64_t generation)
{
    EbAdminPendingCall *pending = context;
    EbAdminServer *server = pending->server;
    bool accepted = error == NULL || error->code == EB_ERROR_NONE;
    EbAdmin_EmitAudit(server, pending->operator_id, "config-change",
                      pending->object, pending->from_version,
                      accepted ? "accepted" : EbErrorCode_names[error->code]);
    if (pending->request == NULL) {
        EbAdminPendingCall_Free(pending);
        return;
    }
    struct evhttp_request *request = pending->request;
    EbAdminPendingCall_Free(pending);
    if (accepted) {
        EbAdmin_Reply(
            server, request, 200,
            json_pack("{s:I}", "generation", (json_int_t)generation));
        return;
    }
    /* Line and column refer to the document as it was built for the store and
     * would be wrong for the body that the operator sent. */
    EbError described = *error;
    described.line = 0;
    described.column = 0;
    EbAdmin_ReplyProblem(server, request, status_for_error(described.code),
                         described.message, &described);
}

static bool
check_scope(const EbAdminCall *call, const json_t *document)
{
    const EbConfig *current =
        EbConfigManager_Current(call->server->options.config_manager);
    ScopeCheck check = {.principal = call->principal};
    EbJsonDifference_ForEach(current != NULL ? current->document : NULL,
                             document, check_change, &check);
    if (check.denied_path == NULL) {
        return true;
    }
    char *detail =
        g_strdup_printf("the operator may not change %s", check.denied_path);
    EbAdmin_Deny(call, detail);
    g_free(detail);
    g_free(check.denied_path);
    return false;
}

static void
submit_change(const EbAdminCall *call, json_t *document, uint64_t from)
{
    EbAdminServer *server = call->server;
    char *text = json_dumps(document, JSON_COMPACT);
    EbAdminPendingCall *pending =
        EbAdminPendingCall_New(call, "configuration", from);
    EbConfigManager_SubmitChange(server->options.config_manager, text,
                                 strlen(text), on_change_done, pending,
                                 EbClock_Monotonic());
    free(text);
    server->options.schedule_actions(server->options.context);
}

void
EbAdmin_ChangeConfig(const EbAdminCall *call)
{
    EbAdminServer *server = call->server;
    uint64_t from = 0;
    json_t *document = build_document(call, &from);
    if (document == NULL) {
        EbAdmin_ReplyProblem(server, call->request, 400,
                             "the body must be a JSON object with the integer "
                             "\"from_generation\"",
                             NULL);
        return;
    }
    uint64_t current =
        EbConfigManager_Generation(server->options.config_manager);
    if (from != current) {
        char *detail = g_strdup_printf(
            "generation %" G_GUINT64_FORMAT " is in force here", current);
        EbAdmin_EmitAudit(server, call->principal->id, "config-change",
                          "configuration", from, "conflict");
        EbAdmin_ReplyProblem(server, call->request, 409, detail, NULL);
        g_free(detail);
    }
    else if (check_scope(call, document)) {
        submit_change(call, document, from);
    }
    json_decref(document);
}
