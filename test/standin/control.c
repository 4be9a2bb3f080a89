/* The control listener, through which tests set faults and read records. */
#include <stdlib.h>
#include <string.h>

#include <event2/keyvalq_struct.h>

#include "standin.h"

static json_t *
describe_record(const Record *record)
{
    return json_pack("{s:s, s:s?, s:s?, s:I, s:I, s:b, s:I}", "server",
                     record->server, "request_id", record->request_id, "key",
                     record->key, "stage", (json_int_t)record->stage,
                     "attempt", (json_int_t)record->attempt, "ran",
                     record->ran, "at_us", (json_int_t)record->at_us);
}

/* Executions by idempotency key, for checks that each ran at most once. */
static json_t *
count_runs(const Standin *standin)
{
    json_t *runs = json_object();
    for (guint i = 0; i < standin->records->len; i++) {
        const Record *record = g_ptr_array_index(standin->records, i);
        if (record->key == NULL || !record->ran) {
            continue;
        }
        json_int_t count =
            json_integer_value(json_object_get(runs, record->key));
        json_object_set_new(runs, record->key, json_integer(count + 1));
    }
    return runs;
}

static json_t *
describe_all(const Standin *standin)
{
    json_t *servers = json_array();
    for (guint i = 0; i < standin->servers->len; i++) {
        json_array_append_new(
            servers, Server_Describe(g_ptr_array_index(standin->servers, i)));
    }
    return json_pack("{s:I, s:o, s:o}", "now_us",
                     (json_int_t)EbClock_Monotonic(), "platform",
                     Platform_Describe(standin->platform), "servers", servers);
}

static json_t *
list_records(const Standin *standin)
{
    json_t *records = json_array();
    for (guint i = 0; i < standin->records->len; i++) {
        json_array_append_new(
            records, describe_record(g_ptr_array_index(standin->records, i)));
    }
    return records;
}

static bool
parse_fault(json_t *body, Fault *fault)
{
    const char *name = json_string_value(json_object_get(body, "fault"));
    json_t *count = json_object_get(body, "count");
    fault->amount = json_integer_value(json_object_get(body, "amount"));
    fault->remaining = count != NULL ? json_integer_value(count) : -1;
    for (int i = 0; name != NULL && i < FAULT_COUNT; i++) {
        if (strcmp(name, Fault_names[i]) == 0) {
            fault->kind = (FaultKind)i;
            return true;
        }
    }
    return false;
}

/* Sets a fault on the platform ("platform"), one server, all servers of a
 * pool, or all servers ("all"). Returns the number of targets. */
static int
set_fault(Standin *standin, const char *target, Fault fault)
{
    if (strcmp(target, "platform") == 0) {
        Platform_SetFault(standin->platform, fault);
        return 1;
    }
    int count = 0;
    for (guint i = 0; i < standin->servers->len; i++) {
        Server *server = g_ptr_array_index(standin->servers, i);
        if (strcmp(target, server->description->id) == 0 ||
            strcmp(target, server->pool->name) == 0 ||
            strcmp(target, "all") == 0) {
            Server_SetFault(server, fault);
            count++;
        }
    }
    return count;
}

static void
handle_fault(Standin *standin, struct evhttp_request *request)
{
    json_t *body = Reply_ReadBody(request);
    const char *target = json_string_value(json_object_get(body, "target"));
    Fault fault = {0};
    int count = 0;
    if (target != NULL && parse_fault(body, &fault)) {
        count = set_fault(standin, target, fault);
    }
    Reply_Json(request, count > 0 ? HTTP_OK : HTTP_BADREQUEST,
               json_pack("{s:i}", "targets", count));
    json_decref(body);
}

static void
handle_instance(Standin *standin, struct evhttp_request *request)
{
    json_t *body = Reply_ReadBody(request);
    const char *name = json_string_value(json_object_get(body, "name"));
    json_t *value = json_object_get(body, "value");
    bool valid = name != NULL && value != NULL;
    if (valid) {
        Platform_ListInstance(standin->platform, name, value);
    }
    Reply_Json(request, valid ? HTTP_OK : HTTP_BADREQUEST, json_object());
    json_decref(body);
}

static void
handle_request(struct evhttp_request *request, void *context)
{
    Standin *standin = context;
    const char *path =
        evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    if (strcmp(path, "/fault") == 0) {
        handle_fault(standin, request);
    }
    else if (strcmp(path, "/instance") == 0) {
        handle_instance(standin, request);
    }
    else if (strcmp(path, "/runs") == 0) {
        Reply_Json(request, HTTP_OK, count_runs(standin));
    }
    else if (strcmp(path, "/records") == 0) {
        Reply_Json(request, HTTP_OK, list_records(standin));
    }
    else if (strcmp(path, "/status") == 0) {
        Reply_Json(request, HTTP_OK, describe_all(standin));
    }
    else {
        Reply_Json(request, HTTP_NOTFOUND, json_object());
    }
}

struct evhttp *
Control_New(Standin *standin, const char *host, uint16_t port)
{
    struct evhttp *http = evhttp_new(standin->base);
    evhttp_set_gencb(http, handle_request, standin);
    Standin_Listen(http, host, port);
    return http;
}
