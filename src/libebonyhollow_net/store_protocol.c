/* The store protocol described in docs/protocols.md. */
#include <stdlib.h>

#include <event2/http.h>
#include <glib.h>

#include "ebonyhollow/platform_client.h"

static char *
build_path(const EbStoreRequest *request)
{
    char *kind = evhttp_encode_uri(request->kind);
    char *name = evhttp_encode_uri(request->name ? request->name : "");
    char *path = NULL;
    switch (request->operation) {
    case EB_STORE_LIST:
        path = g_strdup_printf("/v1/objects/%s", kind);
        break;
    case EB_STORE_CREATE:
        path = g_strdup_printf("/v1/objects/%s/%s?version=0", kind, name);
        break;
    case EB_STORE_UPDATE:
    case EB_STORE_DELETE:
        path = g_strdup_printf("/v1/objects/%s/%s?version=%" G_GUINT64_FORMAT,
                               kind, name, request->version);
        break;
    case EB_STORE_GET:
    case EB_STORE_OPERATION_COUNT:
        path = g_strdup_printf("/v1/objects/%s/%s", kind, name);
        break;
    }
    free(kind);
    free(name);
    return path;
}

static json_t *
build_body(const EbStoreRequest *request)
{
    return json_incref(request->value);
}

static json_t *
read_response(EbStoreOperation operation, json_t *response)
{
    bool valid = true;
    switch (operation) {
    case EB_STORE_GET:
        valid = json_is_integer(json_object_get(response, "version")) &&
                json_object_get(response, "value") != NULL;
        break;
    case EB_STORE_CREATE:
    case EB_STORE_UPDATE:
        valid = json_is_integer(json_object_get(response, "version"));
        break;
    case EB_STORE_LIST:
        valid = json_is_integer(json_object_get(response, "revision")) &&
                json_is_array(json_object_get(response, "items"));
        break;
    case EB_STORE_DELETE:
        return response != NULL ? json_incref(response) : json_object();
    case EB_STORE_OPERATION_COUNT:
        break;
    }
    return valid ? json_incref(response) : NULL;
}

static char *
build_list_path(const char *kind, const char *after, bool stale)
{
    (void)after; /* lists are not paged */
    (void)stale;
    char *encoded = evhttp_encode_uri(kind);
    char *path = g_strdup_printf("/v1/objects/%s", encoded);
    free(encoded);
    return path;
}

static char *
build_watch_path(const char *kind, uint64_t revision, int64_t wait_us)
{
    char *encoded = evhttp_encode_uri(kind);
    char *path = g_strdup_printf("/v1/watch/%s?since=%" G_GUINT64_FORMAT
                                 "&timeout_ms=%" G_GINT64_FORMAT,
                                 encoded, revision, wait_us / 1000);
    free(encoded);
    return path;
}

static char *
build_probe_path(const char *kind, const char *name)
{
    return build_path(&(EbStoreRequest){.operation = EB_STORE_GET,
                                        .kind = (char *)kind,
                                        .name = (char *)name});
}

static json_t *
read_list(json_t *response, bool *more)
{
    *more = false;
    return read_response(EB_STORE_LIST, response);
}

static json_t *
read_changes(json_t *response)
{
    return json_is_integer(json_object_get(response, "revision"))
               ? json_incref(response)
               : NULL;
}

const EbStoreProtocol EbStoreProtocol_native = {
    .era_header = "Eb-Store-Era",
    .creates_with_post = false,
    .path = build_path,
    .body = build_body,
    .read = read_response,
    .list_path = build_list_path,
    .watch_path = build_watch_path,
    .probe_path = build_probe_path,
    .read_list = read_list,
    .read_changes = read_changes,
};
