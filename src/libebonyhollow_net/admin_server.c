#include "ebonyhollow/admin_server.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <sodium.h>

#include "admin_internal.h"
#include "clock.h"

#define MAX_BODY_BYTES (EB_CONFIG_MAX_BYTES + 65536)
/* At most half as many as callers may open. */
#define MIN_CONNECTIONS 16
#define MAX_CONNECTIONS 256
#define PROBLEM_TYPE "application/problem+json"

typedef enum {
    ACCESS_NONE,
    ACCESS_VIEWER,
    ACCESS_OPERATOR,
    ACCESS_ADMIN
} AccessLevel;

typedef struct {
    enum evhttp_cmd_type command;
    const char *path;
    bool is_prefix; /* matches every path that begins with `path` */
    AccessLevel access;
    bool requires_config;
    void (*handle)(const EbAdminCall *call);
} Route;

void
EbAdmin_Reply(EbAdminServer *server, struct evhttp_request *request,
              int status, json_t *document)
{
    EbHttpServer_SendJson(server->http, request, status, "application/json",
                          document);
    json_decref(document);
}

static const char *
problem_name(int status)
{
    switch (status) {
    case 400:
        return "bad-request";
    case 401:
        return "unauthenticated";
    case 403:
        return "forbidden";
    case 404:
        return "not-found";
    case 405:
        return "method-not-allowed";
    case 409:
        return "conflict";
    case 422:
        return "invalid";
    default:
        return "unavailable";
    }
}

void
EbAdmin_ReplyProblem(EbAdminServer *server, struct evhttp_request *request,
                     int status, const char *detail, const EbError *error)
{
    const char *name = problem_name(status);
    json_t *document =
        json_pack("{s:o, s:s, s:i, s:s}", "type",
                  json_sprintf("urn:ebonyhollow:problem:%s", name), "title",
                  name, "status", status, "detail", detail);
    if (error != NULL) {
        json_object_set_new(document, "code",
                            json_string(EbErrorCode_names[error->code]));
        json_object_set_new(document, "message", json_string(error->message));
        json_object_set_new(document, "path", json_string(error->path));
        json_object_set_new(document, "line", json_integer(error->line));
        json_object_set_new(document, "column", json_integer(error->column));
    }
    EbHttpServer_SendJson(server->http, request, status, PROBLEM_TYPE,
                          document);
    json_decref(document);
}

EbAdminPendingCall *
EbAdminPendingCall_New(const EbAdminCall *call, const char *object,
                       uint64_t from_version)
{
    EbAdminPendingCall *pending = g_new0(EbAdminPendingCall, 1);
    pending->server = call->server;
    pending->request = call->request;
    pending->connection = evhttp_request_get_connection(call->request);
    pending->operator_id = g_strdup(call->principal->id);
    pending->object = g_strdup(object);
    pending->from_version = from_version;
    g_hash_table_add(call->server->pending, pending);
    return pending;
}

static void
free_pending_call(void *data)
{
    EbAdminPendingCall *pending = data;
    g_free(pending->operator_id);
    g_free(pending->object);
    g_free(pending);
}

void
EbAdminPendingCall_Free(EbAdminPendingCall *pending)
{
    g_hash_table_remove(pending->server->pending, pending);
}

void
EbAdmin_EmitAudit(EbAdminServer *server, const char *operator_id,
                  const char *action, const char *object,
                  uint64_t from_version, const char *result)
{
    EB_EMIT(server->options.events, EB_EVENT_AUDIT,
            EB_STRING_FIELD("operator", operator_id),
            EB_STRING_FIELD("action", action),
            EB_STRING_FIELD("object", object),
            EB_INTEGER_FIELD("from_version", from_version),
            EB_STRING_FIELD("result", result));
}

static void
emit_denied(const EbAdminCall *call)
{
    EB_EMIT(call->server->options.events, EB_EVENT_ADMIN_DENIED,
            EB_STRING_FIELD("operator",
                            call->principal ? call->principal->id : ""),
            EB_STRING_FIELD("action", call->path));
}

void
EbAdmin_Deny(const EbAdminCall *call, const char *detail)
{
    emit_denied(call);
    EbAdmin_ReplyProblem(call->server, call->request, 403, detail, NULL);
}

static void
reply_health(const EbAdminCall *call)
{
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:s}", "status", "ok"));
}

static void
reply_ready(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    const char *status = "ready";
    if (options->draining(options->context)) {
        status = "draining";
    }
    else if (EbConfigManager_Current(options->config_manager) == NULL) {
        status = "no-configuration";
    }
    EbAdmin_Reply(call->server, call->request,
                  strcmp(status, "ready") == 0 ? 200 : 503,
                  json_pack("{s:s}", "status", status));
}

static void
reply_metrics(const EbAdminCall *call)
{
    size_t length;
    char *text = EbMetrics_Format(call->server->options.metrics, &length);
    EbHttpServer_Send(call->server->http, call->request, HTTP_OK,
                      "text/plain; version=0.0.4", text, length);
    free(text);
}

/* A fingerprint does not say which customer it belongs to, so an operator
 * whose scope is limited must not release it. */
static void
release_fingerprint(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    char *end = NULL;
    EbFingerprint fingerprint = g_ascii_strtoull(call->path_suffix, &end, 16);
    if (call->principal->pipeline_count + call->principal->customer_count >
        0) {
        EbAdmin_Deny(call, "the operator's scope does not cover quarantine");
        return;
    }
    int64_t now_us = EbClock_Monotonic();
    bool released = end != call->path_suffix && *end == '\0' &&
                    EbQuarantine_Release(options->quarantine, fingerprint,
                                         "operator", now_us, now_us);
    EbAdmin_EmitAudit(call->server, call->principal->id, "quarantine-release",
                      call->path_suffix, 0,
                      released ? "released" : "not-found");
    if (!released) {
        EbAdmin_ReplyProblem(call->server, call->request, 404,
                             "the fingerprint is not in quarantine", NULL);
        return;
    }
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:s}", "released", call->path_suffix));
    options->schedule_actions(options->context);
}

static void
start_drain(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    EbAdmin_EmitAudit(call->server, call->principal->id, "drain",
                      options->settings->instance, 0, "started");
    options->start_drain(options->context);
    EbAdmin_Reply(
        call->server, call->request, 202,
        json_pack("{s:s}", "drain", options->drain_state(options->context)));
}

static const Route routes[] = {
    {EVHTTP_REQ_GET, "/healthz", false, ACCESS_NONE, false, reply_health},
    {EVHTTP_REQ_GET, "/readyz", false, ACCESS_NONE, false, reply_ready},
    {EVHTTP_REQ_GET, "/metrics", false, ACCESS_NONE, false, reply_metrics},
    {EVHTTP_REQ_GET, "/v1/status", false, ACCESS_VIEWER, false,
     EbAdmin_GetStatus},
    {EVHTTP_REQ_GET, "/v1/config", false, ACCESS_VIEWER, true,
     EbAdmin_GetConfig},
    {EVHTTP_REQ_PUT, "/v1/config", false, ACCESS_OPERATOR, false,
     EbAdmin_ChangeConfig},
    {EVHTTP_REQ_GET, "/v1/config/merged", false, ACCESS_VIEWER, true,
     EbAdmin_GetMergedConfig},
    {EVHTTP_REQ_GET, "/v1/config/history", false, ACCESS_VIEWER, false,
     EbAdmin_GetHistory},
    {EVHTTP_REQ_POST, "/v1/config/check", false, ACCESS_VIEWER, false,
     EbAdmin_CheckConfig},
    {EVHTTP_REQ_GET, "/v1/servers", false, ACCESS_VIEWER, true,
     EbAdmin_ListServers},
    {EVHTTP_REQ_GET, "/v1/peers", false, ACCESS_VIEWER, false,
     EbAdmin_ListPeers},
    {EVHTTP_REQ_GET, "/v1/customers", false, ACCESS_VIEWER, true,
     EbAdmin_ListCustomers},
    {EVHTTP_REQ_GET, "/v1/requests", false, ACCESS_VIEWER, false,
     EbAdmin_ListRequests},
    {EVHTTP_REQ_GET, "/v1/explain", false, ACCESS_VIEWER, true,
     EbAdmin_Explain},
    {EVHTTP_REQ_GET, "/v1/quarantine", false, ACCESS_VIEWER, false,
     EbAdmin_ListQuarantine},
    {EVHTTP_REQ_DELETE, "/v1/quarantine/", true, ACCESS_OPERATOR, false,
     release_fingerprint},
    {EVHTTP_REQ_GET, "/v1/outcomes/", true, ACCESS_VIEWER, false,
     EbAdmin_GetOutcome},
    {EVHTTP_REQ_POST, "/v1/drain", false, ACCESS_ADMIN, false, start_drain},
};

/* Finds the route of a call, or returns NULL. Sets `path_exists` if any route
 * has this path, whatever its method. */
static const Route *
find_route(const char *path, enum evhttp_cmd_type command, bool *path_exists)
{
    *path_exists = false;
    for (size_t i = 0; i < G_N_ELEMENTS(routes); i++) {
        const Route *route = &routes[i];
        bool matches = route->is_prefix ? g_str_has_prefix(path, route->path)
                                        : strcmp(path, route->path) == 0;
        *path_exists = *path_exists || matches;
        if (matches && route->command == command) {
            return route;
        }
    }
    return NULL;
}

/* Returns whether a token has a digest of the settings. */
static bool
has_digest(const char *token, const uint8_t expected[EB_TOKEN_DIGEST_BYTES])
{
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    EbConfig_DigestToken(token, digest);
    return !sodium_is_zero(expected, EB_TOKEN_DIGEST_BYTES) &&
           sodium_memcmp(digest, expected, sizeof(digest)) == 0;
}

/* Returns the operator that a token of the settings acts as, or NULL. Once a
 * configuration is in force, it alone decides who may change anything; who may
 * look is left to the settings while it names no operators, as the users'
 * platform's never does. */
static const EbConfigOperator *
find_settings_operator(const EbSettings *settings, const EbConfig *config,
                       const char *token)
{
    static const EbConfigOperator bootstrap = {.id = (char *)"bootstrap",
                                               .role = EB_ROLE_ADMIN};
    static const EbConfigOperator viewer = {.id = (char *)"viewer",
                                            .role = EB_ROLE_VIEWER};
    if (config == NULL &&
        has_digest(token, settings->bootstrap_token_digest)) {
        return &bootstrap;
    }
    bool has_operators = config != NULL && config->operator_count > 0;
    return !has_operators && has_digest(token, settings->viewer_token_digest)
               ? &viewer
               : NULL;
}

static const EbConfigOperator *
find_operator(const EbAdminServer *server, const EbConfig *config,
              const char *token)
{
    const EbConfigOperator *configured =
        config != NULL ? EbConfig_FindOperatorByToken(config, token) : NULL;
    return configured != NULL ? configured
                              : find_settings_operator(
                                    server->options.settings, config, token);
}

/* Authenticates the operator and checks the role that the route requires. If
 * the call is denied, answers it and returns false. */
static bool
authorize(EbAdminCall *call, const Route *route)
{
    if (route->access == ACCESS_NONE) {
        return true;
    }
    const EbConfig *config =
        EbConfigManager_Current(call->server->options.config_manager);
    const char *token = EbHttp_BearerToken(call->request);
    if (token != NULL) {
        call->principal = find_operator(call->server, config, token);
    }
    if (call->principal == NULL) {
        emit_denied(call);
        EbAdmin_ReplyProblem(call->server, call->request, 401,
                             config == NULL
                                 ? "no configuration is in force, so no "
                                   "operator is known"
                                 : "an operator's bearer token is required",
                             NULL);
        return false;
    }
    /* After ACCESS_NONE, AccessLevel has the roles in the order of EbRole. */
    if ((int)call->principal->role < (int)route->access - ACCESS_VIEWER) {
        EbAdmin_Deny(call, "the operator's role does not allow this");
        return false;
    }
    return true;
}

static void
on_request(struct evhttp_request *request, void *context)
{
    EbAdminServer *server = context;
    const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    const char *path = evhttp_uri_get_path(uri);
    EbAdminCall call = {.server = server,
                        .request = request,
                        .path = path ? path : "",
                        .query = evhttp_uri_get_query(uri)};
    bool path_exists;
    const Route *route = find_route(
        call.path, evhttp_request_get_command(request), &path_exists);
    if (route == NULL) {
        EbAdmin_ReplyProblem(server, request, path_exists ? 405 : 404,
                             path_exists
                                 ? "the path does not support this method"
                                 : "there is no such path",
                             NULL);
        return;
    }
    call.path_suffix = call.path + strlen(route->path);
    if (!authorize(&call, route)) {
        return;
    }
    if (route->requires_config &&
        EbConfigManager_Current(server->options.config_manager) == NULL) {
        EbAdmin_ReplyProblem(server, request, 503,
                             "no configuration is in force", NULL);
        return;
    }
    route->handle(&call);
}

static void
on_connection_closed(struct evhttp_connection *connection, void *context)
{
    EbAdminServer *server = context;
    GHashTableIter iter;
    void *key;
    g_hash_table_iter_init(&iter, server->pending);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        EbAdminPendingCall *pending = key;
        if (pending->connection != connection || pending->request == NULL) {
            continue;
        }
        /* evhttp frees a request with its connection, unless it has detached
         * the request because the connection failed. */
        if (evhttp_request_get_connection(pending->request) == NULL) {
            evhttp_request_free(pending->request);
        }
        pending->request = NULL;
    }
}

uint16_t
EbAdminServer_Port(const EbAdminServer *server)
{
    return EbHttpServer_Port(server->http);
}

EbAdminServer *
EbAdminServer_New(const EbAdminServerOptions *options, EbError *error)
{
    assert(options->base != NULL && options->config_manager != NULL);
    EbAdminServer *server = g_new0(EbAdminServer, 1);
    server->options = *options;
    g_queue_init(&server->history);
    server->pending =
        g_hash_table_new_full(NULL, NULL, free_pending_call, NULL);
    EbHttpServerOptions http = {
        .base = options->base,
        .address = &options->settings->admin,
        .max_body_bytes = MAX_BODY_BYTES,
        .max_header_bytes = options->settings->max_header_bytes,
        .max_connections = CLAMP(options->settings->max_connections / 2,
                                 MIN_CONNECTIONS, MAX_CONNECTIONS),
        .descriptors_permille = EB_OPERATOR_DESCRIPTORS_PERMILLE,
        .header_timeout_us = options->settings->header_timeout_us,
        .guard = options->guard,
        .request = on_request,
        .closed = on_connection_closed,
        .context = server};
    server->http = EbHttpServer_New(&http, error);
    if (server->http == NULL) {
        EbAdminServer_Free(server);
        return NULL;
    }
    return server;
}

void
EbAdminServer_Free(EbAdminServer *server)
{
    if (server == NULL) {
        return;
    }
    EbHttpServer_Free(server->http);
    g_hash_table_destroy(server->pending);
    json_t *entry;
    while ((entry = g_queue_pop_head(&server->history)) != NULL) {
        json_decref(entry);
    }
    g_free(server);
}
