/* Tests of the adapter for the users' platform: the translation of its wire
 * protocol, stored objects and settings. */
#include <string.h>

#include <glib.h>

#include "platform.h"
#include "test_platform.h"
#include "test_runner.h"

static const char server_text[] =
    "{\"service\":\"orders\",\"address\":\"10.0.0.9:8080\","
    "\"zone\":\"recife\",\"slots\":6,\"state\":\"ready\",\"seq\":4}";

/* Guards against using a server whose registration is invalid, for instance
 * because something else wrote the object. */
static void
test_servers(void)
{
    EbServerRegistration registration;
    EbError error = {0};
    json_t *value = json_loads(server_text, 0, NULL);
    CU_ASSERT_TRUE(EbPlatform_ReadServer("s-1", value, &registration, &error));
    CU_ASSERT_STRING_EQUAL(registration.host, "10.0.0.9");
    CU_ASSERT_EQUAL(registration.port, 8080);
    CU_ASSERT_FALSE(registration.leaving);
    CU_ASSERT_EQUAL(registration.incarnation, 0);
    CU_ASSERT_EQUAL(registration.cold_left_us, -1);
    EbServerRegistration_Clear(&registration);
    json_object_set_new(value, "born", json_integer(1700000000000));
    json_object_set_new(value, "cold_left_ms", json_integer(1500));
    CU_ASSERT_TRUE(EbPlatform_ReadServer("s-1", value, &registration, &error));
    CU_ASSERT_EQUAL(registration.incarnation, UINT64_C(1700000000000));
    CU_ASSERT_EQUAL(registration.cold_left_us, 1500000);
    EbServerRegistration_Clear(&registration);
    json_object_set_new(value, "state", json_string("draining"));
    CU_ASSERT_TRUE(EbPlatform_ReadServer("s-1", value, &registration, &error));
    CU_ASSERT_TRUE(registration.leaving);
    EbServerRegistration_Clear(&registration);
    json_decref(value);
    static const struct {
        const char *field;
        const char *value; /* JSON; NULL: the field is missing */
    } rows[] = {
        {"service", NULL},
        {"service", "3"},
        {"state", "\"odd\""},
        {"state", "null"},
        {"slots", "\"6\""},
        {"slots", "0"},
        {"slots", "1.5"},
        {"address", "\"10.0.0.9\""},
        {"address", "\"10.0.0.9:0\""},
        {"address", "\":80\""},
        {"address", "\"10.0.0.9:99999\""},
        {"address", "[]"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        value = json_loads(server_text, 0, NULL);
        json_object_del(value, rows[i].field);
        if (rows[i].value != NULL) {
            json_object_set_new(
                value, rows[i].field,
                json_loads(rows[i].value, JSON_DECODE_ANY, NULL));
        }
        CU_ASSERT_FALSE(
            EbPlatform_ReadServer("s-1", value, &registration, &error));
        EbServerRegistration_Clear(&registration);
        json_decref(value);
    }
    CU_ASSERT_FALSE(EbPlatform_ReadServer("s-1", NULL, &registration, &error));
    EbServerRegistration_Clear(&registration);
}

static EbHttpMessage *
new_caller_message(void)
{
    static const char *const headers[][2] = {
        {"Host", "H.example:80"},
        {"Attempt-Id", "9c41"},
        {"Model", "m"},
        {"Token-Count", "1460,80"},
        {"Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
        {"Deadline-Ms", "8000"},
        {"Authorization", "Bearer secret"},
        {"Pieces", "2,0,6"},
        {"Piece-Key", "7c1e"},
        {"Tenant", "forged"},
        {"Hold", "h"},
        {"Pin-Ms", "9"},
        {"Kv-From", "x"},
        {"Kv-Backup", "x"},
        {"Inputs", "x"},
        {"Connection", "keep-alive, x-hop"},
        {"X-Hop", "1"},
    };
    EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/d/x?q=1");
    for (size_t i = 0; i < G_N_ELEMENTS(headers); i++) {
        EbHttpMessage_AddHeader(message, headers[i][0], headers[i][1]);
    }
    EbHttpMessage_AddBody(message, "body", 4);
    return message;
}

static void
check_header(const EbHttpMessage *message, const char *name,
             const char *expected)
{
    const char *value = EbHttpMessage_FindHeader(message, name);
    CU_ASSERT_EQUAL(value != NULL, expected != NULL);
    if (value != NULL && expected != NULL) {
        CU_ASSERT_STRING_EQUAL(value, expected);
    }
}

/* Guards against forwarding an API key, a forged customer or a header that
 * only this system may set, and against changes to the rest of the request. */
static void
test_call(void)
{
    static const char *const inputs[] = {"10.0.0.1:1/a", "10.0.0.2:1/b"};
    EbHttpMessage *message = new_caller_message();
    EbError error = {0};
    EbForwardCall *call =
        EbPlatform_forward_protocol.read_call(message, &error);
    EbHttpMessage_Unref(message);
    CU_ASSERT_PTR_NOT_NULL_FATAL(call);
    if (call == NULL) {
        return;
    }
    CU_ASSERT_STRING_EQUAL(call->request_id, "9c41");
    CU_ASSERT_STRING_EQUAL(call->host, "h.example");
    CU_ASSERT_STRING_EQUAL(call->path, "/d/x");
    CU_ASSERT_STRING_EQUAL(call->token, "secret");
    CU_ASSERT_EQUAL(call->timeout_us, 8000000);
    CU_ASSERT_EQUAL(call->last_event_id, EB_FORWARD_NO_EVENT);
    CU_ASSERT_EQUAL(call->prompt_tokens, 1460);
    CU_ASSERT_EQUAL(call->output_tokens, 80);
    CU_ASSERT_EQUAL_FATAL(call->part_count, 2);
    CU_ASSERT_EQUAL(call->parts[1].id, 0x91bd3f06);
    CU_ASSERT_EQUAL(call->parts[1].tokens, 410);
    CU_ASSERT_EQUAL_FATAL(call->item_stage_count, 3);
    CU_ASSERT_EQUAL(call->item_counts[2], 6);
    EbHttpMessage *sent = EbPlatform_forward_protocol.write_call(
        call, &(EbForwardAttempt){.server_id = "s-1",
                                  .customer = "c-1",
                                  .remaining_us = 7500900,
                                  .resume_after = 12,
                                  .priority = 2,
                                  .inputs = inputs,
                                  .input_count = 1});
    CU_ASSERT_STRING_EQUAL(sent->target, "/d/x?q=1");
    CU_ASSERT_EQUAL(sent->body_bytes, 4);
    check_header(sent, "Attempt-Id", "9c41");
    check_header(sent, "Prefix-Hash", "5c1e07a2:800,91bd3f06:410");
    check_header(sent, "Deadline-Ms", "7500");
    check_header(sent, "Expected-Instance", "s-1");
    check_header(sent, "Tenant", "c-1");
    check_header(sent, "Request-Priority", "2");
    check_header(sent, "Last-Event-Id", "12");
    check_header(sent, "Inputs", "10.0.0.1:1/a");
    check_header(sent, "Authorization", NULL);
    check_header(sent, "Hold", NULL);
    check_header(sent, "Pin-Ms", NULL);
    check_header(sent, "Kv-From", NULL);
    check_header(sent, "Kv-Backup", NULL);
    check_header(sent, "Connection", NULL);
    check_header(sent, "X-Hop", NULL);
    EbHttpMessage_Unref(sent);
    EbForwardCall_Unref(call);
}

/* Guards against accepting a call with missing or malformed headers. */
static void
test_invalid_calls(void)
{
    static const char *const rows[][2] = {
        {"X", "no id"},   {"Attempt-Id", ""}, {"Pieces", "1,x"},
        {"Pieces", "-1"}, {"Pieces", "1000"}, {"Pieces", "1,1,1,1,1,1,1,1,x"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *message = EbHttpMessage_NewRequest("GET", "/");
        if (i >= 2) { /* the first two rows are about the id itself */
            EbHttpMessage_AddHeader(message, "Attempt-Id", "9c41");
        }
        EbHttpMessage_AddHeader(message, rows[i][0], rows[i][1]);
        EbError error = {0};
        CU_ASSERT_PTR_NULL(
            EbPlatform_forward_protocol.read_call(message, &error));
        CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_NONE);
        EbHttpMessage_Unref(message);
    }
}

/* Guards against a caller's text that can't be carried to the servers of its
 * stages and spoils the calls that it shares with others. */
static void
test_item_texts(void)
{
    static const struct {
        const char *id;
        const char *counts; /* NULL: no stages */
        const char *key;
        bool valid;
    } rows[] = {
        {"9c41", "1", "7c1e", true},    {"9c\xc3\xa9", "1", "\xc3\xa9", true},
        {"9c\xff", "1", "7c1e", false}, {"9c41", "1", "7c\xff", false},
        {"9c\xff", NULL, "7c", true},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/");
        EbHttpMessage_AddHeader(message, "Attempt-Id", rows[i].id);
        EbHttpMessage_AddHeader(message, "Piece-Key", rows[i].key);
        if (rows[i].counts != NULL) {
            EbHttpMessage_AddHeader(message, "Pieces", rows[i].counts);
        }
        EbError error = {0};
        EbForwardCall *call =
            EbPlatform_forward_protocol.read_call(message, &error);
        CU_ASSERT_EQUAL(call != NULL, rows[i].valid);
        EbForwardCall_Unref(call);
        EbHttpMessage_Unref(message);
    }
}

/* Guards against releasing a result at a server that did not make it, and
 * against reading beyond the end of a handle. */
static void
test_handles(void)
{
    char *name = g_strnfill(EB_FORWARD_MAX_HANDLE_BYTES, 'a');
    char *long_handle = g_strconcat("10.1.64.7:8080/", name, NULL);
    const struct {
        const char *handle;
        const char *host; /* NULL: invalid handle */
        uint16_t port;
    } rows[] = {
        {"10.1.64.7:8080/91bd3f06e44", "10.1.64.7", 8080},
        {"10.1.64.7:8080/a/b:9", "10.1.64.7", 8080},
        {"10.1.64.7:8080", NULL, 0},
        {"10.1.64.7/8080", NULL, 0},
        {":8080/91bd", NULL, 0},
        {"10.1.64.7:/91bd", NULL, 0},
        {"10.1.64.7:70000/91bd", NULL, 0},
        {"10.1.64.7:8080/", NULL, 0},
        {"10.1.64.7:8080/91bd\r\n\r\n", NULL, 0},
        {"10.1.64.7:8080/91bd\nTenant: x", NULL, 0},
        {"10.1.64.7:8080/91bd,10.1.64.7:8080/92bd", NULL, 0},
        {"10.1.64.7:8080/91 bd", NULL, 0},
        {"10.1.64.7:8080/\xc3\xa9", NULL, 0},
        {long_handle, NULL, 0},
        {"", NULL, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *host = NULL;
        uint16_t port = 0;
        CU_ASSERT_EQUAL(EbPlatform_forward_protocol.read_handle(rows[i].handle,
                                                                &host, &port),
                        rows[i].host != NULL);
        if (rows[i].host != NULL) {
            CU_ASSERT_STRING_EQUAL(host, rows[i].host);
        }
        CU_ASSERT_EQUAL(port, rows[i].port);
        g_free(host);
    }
    g_free(long_handle);
    g_free(name);
}

/* Guards against a handle of a faulty server that changes the requests which
 * carry it: line ends would end their header section, a comma add an input. */
static void
test_spoiled_handles(void)
{
    static const char *const handles[] = {"10.0.0.1:1/a\\r\\n\\r\\n",
                                          "10.0.0.1:1/a\\nTenant: x",
                                          "10.0.0.1:1/a,10.0.0.1:1/b",
                                          "10.0.0.1:1/",
                                          "a",
                                          "",
                                          "\\u0001"};
    for (size_t i = 0; i < G_N_ELEMENTS(handles); i++) {
        char *text = g_strdup_printf(
            "{\"items\":[{\"handle\":\"%s\",\"reason\":\"gone\"},"
            "{\"handle\":\"10.0.0.1:1/z\"}]}",
            handles[i]);
        EbHttpMessage *response = EbHttpMessage_NewResponse(200);
        EbHttpMessage_AddBody(response, text, strlen(text));
        EbWorkItemResult results[2] = {0};
        EbError error = {0};
        CU_ASSERT_TRUE(EbPlatform_forward_protocol.read_batch_reply(
            response, results, 2, &error));
        CU_ASSERT_EQUAL(results[0].kind, EB_WORK_ITEM_ERROR);
        CU_ASSERT_PTR_NULL(results[0].handle);
        CU_ASSERT_EQUAL(results[1].kind, EB_WORK_ITEM_DONE);
        g_free(results[0].handle);
        g_free(results[1].handle);
        EbHttpMessage_Unref(response);
        g_free(text);
    }
}

/* Guards against a name in the store that changes the requests which carry it,
 * and against withdrawing the keys of a customer that has such a name. */
static void
test_spoiled_names(void)
{
    EbServerRegistration registration;
    EbError error = {0};
    json_t *server = json_pack("{s:s, s:s, s:s, s:i}", "service", "a", "state",
                               "ready", "address", "10.0.0.1:1", "slots", 1);
    CU_ASSERT_TRUE(
        EbPlatform_ReadServer("s-1", server, &registration, &error));
    EbServerRegistration_Clear(&registration);
    CU_ASSERT_FALSE(EbPlatform_ReadServer("s-1\r\nTenant: x", server,
                                          &registration, &error));
    EbServerRegistration_Clear(&registration);
    json_decref(server);
    json_t *value = json_pack("{s:i, s:[{s:s, s:[s]}, {s:s, s:[s]}]}",
                              "version", 1, "tenants", "name", "a", "api_keys",
                              "k-1", "name", "b\r\nX", "api_keys", "k-2");
    EbConfigDefects defects;
    EbConfig *config =
        EbPlatform_ReadConfig(value, "site", NULL, 0, &defects, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_EQUAL(defects.count, 1);
    CU_ASSERT_FALSE(EbConfig_FindCustomer(config, "a")->unusable);
    CU_ASSERT_TRUE(EbConfig_FindCustomerByToken(config, "k-2")->unusable);
    EbConfig_Unref(config);
    json_decref(value);
}

/* Guards against assigning results to the wrong work items. */
static void
test_work_items(void)
{
    static const char response_text[] =
        "{\"items\":[{\"handle\":\"10.0.0.1:1/a\"},{\"reason\":\"gone\"},"
        "{\"reason\":\"late\"},{\"reason\":\"room\"},{\"reason\":\"odd\"},{}]"
        "}";
    static const EbWorkItemResultKind kinds[] = {
        EB_WORK_ITEM_DONE,  EB_WORK_ITEM_INPUT_GONE,
        EB_WORK_ITEM_LATE,  EB_WORK_ITEM_OUT_OF_MEMORY,
        EB_WORK_ITEM_ERROR, EB_WORK_ITEM_ERROR};
    EbHttpMessage *response = EbHttpMessage_NewResponse(200);
    EbHttpMessage_AddBody(response, response_text, strlen(response_text));
    EbWorkItemResult results[6];
    EbError error = {0};
    CU_ASSERT_TRUE_FATAL(EbPlatform_forward_protocol.read_batch_reply(
        response, results, 6, &error));
    for (size_t i = 0; i < 6; i++) {
        CU_ASSERT_EQUAL(results[i].kind, kinds[i]);
        g_free(results[i].handle);
    }
    CU_ASSERT_FALSE(EbPlatform_forward_protocol.read_batch_reply(
        response, results, 5, &error));
    EbHttpMessage_Unref(response);
    static const char *const inputs[] = {"10.0.0.1:1/a"};
    const EbWorkItem items[] = {{.request_id = "r-1",
                                 .stage = 0,
                                 .index = 2,
                                 .remaining_us = 900000,
                                 .key = "7c1e"},
                                {.request_id = "r-2",
                                 .stage = 2,
                                 .remaining_us = -5,
                                 .inputs = inputs,
                                 .input_count = 1}};
    EbHttpMessage *sent =
        EbPlatform_forward_protocol.write_batch("s-1", items, 2);
    check_header(sent, "Expected-Instance", "s-1");
    json_t *body =
        json_loadb((const char *)sent->body, sent->body_bytes, 0, NULL);
    json_t *expected = json_loads(
        "{\"items\":[{\"id\":\"r-1\",\"stage\":0,\"piece\":2,"
        "\"left_ms\":900,\"key\":\"7c1e\"},{\"id\":\"r-2\",\"stage\":2,"
        "\"piece\":0,\"left_ms\":1,\"inputs\":[\"10.0.0.1:1/a\"]}]}",
        0, NULL);
    CU_ASSERT_TRUE(json_equal(body, expected));
    json_decref(body);
    json_decref(expected);
    EbHttpMessage_Unref(sent);
}

/* Guards against store calls with a wrong path, body or version. */
static void
test_store(void)
{
    json_t *value = json_pack("{s:i}", "a", 1);
    static const struct {
        EbStoreOperation operation;
        const char *path;
        const char *body;
    } rows[] = {
        {EB_STORE_GET, "/ebonyhollow/objects/k/n%20m", NULL},
        {EB_STORE_CREATE, "/ebonyhollow/objects/k",
         "{\"metadata\":{\"name\":\"n m\"},\"spec\":{\"a\":1}}"},
        {EB_STORE_UPDATE, "/ebonyhollow/objects/k/n%20m",
         "{\"metadata\":{\"name\":\"n m\",\"revision\":5},"
         "\"spec\":{\"a\":1}}"},
        {EB_STORE_DELETE, "/ebonyhollow/objects/k/n%20m?revision=5", NULL},
        {EB_STORE_LIST, "/ebonyhollow/objects/k", NULL},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbStoreRequest request = {.operation = rows[i].operation,
                                  .kind = "k",
                                  .name = "n m",
                                  .version = 5,
                                  .value = value};
        char *path = EbPlatform_store_protocol.path(&request);
        CU_ASSERT_STRING_EQUAL(path, rows[i].path);
        g_free(path);
        if (rows[i].body != NULL) {
            json_t *body = EbPlatform_store_protocol.body(&request);
            json_t *expected = json_loads(rows[i].body, 0, NULL);
            CU_ASSERT_TRUE(json_equal(body, expected));
            json_decref(expected);
            json_decref(body);
        }
    }
    json_decref(value);
    char *path = EbPlatform_store_protocol.watch_path("k", 9, 2000000);
    CU_ASSERT_STRING_EQUAL(path,
                           "/ebonyhollow/objects/k?watch=9&wait_ms=2000");
    g_free(path);
    static const struct {
        const char *after;
        bool stale;
        const char *path;
    } lists[] = {
        {NULL, false, "/ebonyhollow/objects/k"},
        {"n", false, "/ebonyhollow/objects/k?after=n"},
        {NULL, true, "/ebonyhollow/objects/k?serializable=1"},
        {"n", true, "/ebonyhollow/objects/k?serializable=1&after=n"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(lists); i++) {
        path = EbPlatform_store_protocol.list_path("k", lists[i].after,
                                                   lists[i].stale);
        CU_ASSERT_STRING_EQUAL(path, lists[i].path);
        g_free(path);
    }
}

/* Guards against losing objects of a page, and against accepting malformed
 * ones. */
static void
test_store_responses(void)
{
    json_t *response = json_loads(
        "{\"items\":[{\"metadata\":{\"name\":\"n\",\"revision\":3},"
        "\"spec\":{\"a\":1}},{\"metadata\":{}},7],\"has_more\":true,"
        "\"current_rev\":9}",
        0, NULL);
    bool more = false;
    json_t *list = EbPlatform_store_protocol.read_list(response, &more);
    json_t *expected =
        json_loads("{\"revision\":9,\"items\":[{\"name\":\"n\",\"version\":3,"
                   "\"value\":{\"a\":1}}]}",
                   0, NULL);
    CU_ASSERT_TRUE(json_equal(list, expected));
    CU_ASSERT_TRUE(more);
    json_decref(list);
    json_decref(expected);
    json_decref(response);
    response =
        json_loads("{\"events\":[{\"deleted\":true,\"object\":{\"metadata\":{"
                   "\"name\":\"n\",\"revision\":4}}}],\"current_rev\":10}",
                   0, NULL);
    json_t *changes = EbPlatform_store_protocol.read_changes(response);
    expected = json_loads(
        "{\"revision\":10,\"events\":[{\"name\":\"n\",\"version\":4,"
        "\"value\":null,\"deleted\":true}]}",
        0, NULL);
    CU_ASSERT_TRUE(json_equal(changes, expected));
    json_decref(changes);
    json_decref(expected);
    json_decref(response);
    CU_ASSERT_PTR_NULL(EbPlatform_store_protocol.read_changes(NULL));
    CU_ASSERT_PTR_NULL(EbPlatform_store_protocol.read_list(NULL, &more));
    CU_ASSERT_PTR_NULL(EbPlatform_store_protocol.read(EB_STORE_GET, NULL));
}

/* Guards against what a server asks of its callers being lost, or read from a
 * header that is malformed or has no meaning in this answer. */
static void
test_directives(void)
{
    static const struct {
        uint16_t status;
        const char *name;
        const char *value;
        EbServerDirective expected;
    } rows[] = {
        {200, "Server-Leaving", "1", {.leaving = true}},
        {200, "Server-Leaving", "0", {0}},
        {200,
         "Server-Limit",
         "1.25",
         {.has_limit = true, .requests_per_s_milli = 1250}},
        {503, "Server-Limit", "0", {.has_limit = true}},
        {200,
         "Server-Limit",
         "1e300",
         {.has_limit = true, .requests_per_s_milli = 1000000000}},
        {200, "Server-Limit", "", {0}},
        {200, "Server-Limit", "-1", {0}},
        {200, "Server-Limit", "1,5", {0}},
        {200, "Server-Limit", "nan", {0}},
        {503, "Retry-After", "2", {.retry_after_us = 2000000}},
        {503, "Retry-After", "0.25", {.retry_after_us = 250000}},
        {429, "Retry-After", "1", {.retry_after_us = 1000000}},
        {200, "Retry-After", "2", {0}},
        {503, "Retry-After", "Sat, 05 Dec 2026 14:00:00 GMT", {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *head = EbHttpMessage_NewResponse(rows[i].status);
        EbHttpMessage_AddHeader(head, rows[i].name, rows[i].value);
        EbForwardReply reply;
        EbPlatform_forward_protocol.read_reply(head, &reply);
        const EbServerDirective *expected = &rows[i].expected;
        CU_ASSERT_EQUAL(reply.directive.leaving, expected->leaving);
        CU_ASSERT_EQUAL(reply.directive.has_limit, expected->has_limit);
        CU_ASSERT_EQUAL(reply.directive.requests_per_s_milli,
                        expected->requests_per_s_milli);
        CU_ASSERT_EQUAL(reply.directive.retry_after_us,
                        expected->retry_after_us);
        EbHttpMessage_Unref(head);
    }
}

/* The fourth figure of the load is optional, and a bad one must not be taken
 * for a server that is infinitely fast. */
static void
test_load(void)
{
    static const struct {
        const char *value;
        bool has_load;
        uint32_t running;
        uint32_t waiting;
        uint32_t work_percent;
    } rows[] = {
        {"3,0,8", true, 3, 0, 0},
        {"3,2,8,250", true, 3, 2, 250},
        {" 3 , 2 , 8 , 100 ", true, 3, 2, 100},
        {"3,2,8,250,7", true, 3, 2, 250},
        {"3,2,8,", true, 3, 2, 0},
        {"3,2,8,-5", true, 3, 2, 0},
        {"3,2,8,99999999999", true, 3, 2, 0},
        {"3,2", true, 3, 2, 0},
        {"3", false, 0, 0, 0},
        {"", false, 0, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        EbHttpMessage *head = EbHttpMessage_NewResponse(200);
        EbHttpMessage_AddHeader(head, "Server-Load", rows[i].value);
        EbForwardReply reply;
        EbPlatform_forward_protocol.read_reply(head, &reply);
        CU_ASSERT_EQUAL(reply.has_load, rows[i].has_load);
        CU_ASSERT_EQUAL(reply.load_running, rows[i].running);
        CU_ASSERT_EQUAL(reply.load_waiting, rows[i].waiting);
        CU_ASSERT_EQUAL(reply.load_work_percent, rows[i].work_percent);
        EbHttpMessage_Unref(head);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"load", test_load},
        {"config", test_config},
        {"abandon times", test_abandon_times},
        {"invalid config", test_invalid_config},
        {"config defects", test_config_defects},
        {"names in any order", test_name_order},
        {"customer ids", test_customer_ids},
        {"limits", test_limits},
        {"missing tenants", test_missing_tenants},
        {"many stages", test_many_stages},
        {"many counts", test_many_counts},
        {"servers", test_servers},
        {"call", test_call},
        {"invalid calls", test_invalid_calls},
        {"directives", test_directives},
        {"item texts", test_item_texts},
        {"spoiled handles", test_spoiled_handles},
        {"spoiled names", test_spoiled_names},
        {"work items", test_work_items},
        {"handles", test_handles},
        {"store", test_store},
        {"store responses", test_store_responses},
        {"settings", test_settings},
        {"client memory", test_client_memory},
        {"grace times", test_grace_times},
        {"evacuation setting", test_evacuation_setting},
        {"invalid settings", test_invalid_settings},
    };
    return EbTest_Run("test_platform", cases, G_N_ELEMENTS(cases));
}
