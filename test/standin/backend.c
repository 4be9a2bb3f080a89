/* Backend servers: slots, service times, faults and the record of calls. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "standin.h"

#define MAX_WAITING 256
#define REPORT_LAG_US 500000
#define RESTART_S 2
#define POISON_TEXT "CRASH-THE-SERVER"

static void run_next(Server *server);

/* Service times. Those of generate calls are in engine.c. */
static const double service_ms[EB_STAGE_KIND_COUNT] = {
    [EB_STAGE_ENCODE] = 3,   [EB_STAGE_RETRIEVE] = 5, [EB_STAGE_RERANK] = 6,
    [EB_STAGE_GENERATE] = 0, [EB_STAGE_CALL] = 8,
};

static json_t *
answer_encode(Job *job)
{
    (void)job;
    return json_pack("{s:[[f,f,f,f]]}", "vectors", 0.1, 0.2, 0.3, 0.4);
}

static json_t *
answer_retrieve(Job *job)
{
    json_t *documents = json_array();
    json_int_t top_k = json_integer_value(json_object_get(job->body, "top_k"));
    for (json_int_t i = 0; i < MIN(MAX(top_k, 1), 32); i++) {
        char id[160], text[160];
        g_snprintf(id, sizeof(id), "%s-%d", job->marker, (int)i);
        g_snprintf(text, sizeof(text), "document %d for [id:%s]", (int)i,
                   job->marker);
        json_array_append_new(documents,
                              json_pack("{s:s, s:s, s:f}", "id", id, "text",
                                        text, "score", 1.0 / (double)(i + 1)));
    }
    return json_pack("{s:o}", "documents", documents);
}

static json_t *
answer_rerank(Job *job)
{
    json_t *results = json_array();
    size_t count = json_array_size(json_object_get(job->body, "documents"));
    size_t top_k =
        (size_t)json_integer_value(json_object_get(job->body, "top_k"));
    size_t wanted = top_k > 0 ? MIN(top_k, count) : count;
    for (size_t i = 0; i < wanted; i++) {
        json_array_append_new(results, json_pack("{s:i, s:f}", "index",
                                                 (int)(count - 1 - i), "score",
                                                 1.0 / (double)(i + 1)));
    }
    return json_pack("{s:o}", "results", results);
}

static json_t *
answer_call(Job *job)
{
    return json_pack("{s:s, s:s, s:I}", "marker", job->marker, "server",
                     job->server->description->id, "number",
                     (json_int_t)job->server->runs);
}

typedef json_t *(*AnswerFunction)(Job *job);

static const AnswerFunction answers[EB_STAGE_KIND_COUNT] = {
    [EB_STAGE_ENCODE] = answer_encode,
    [EB_STAGE_RETRIEVE] = answer_retrieve,
    [EB_STAGE_RERANK] = answer_rerank,
    [EB_STAGE_CALL] = answer_call,
};

static void
free_job(Job *job)
{
    if (job->request != NULL) {
        struct evhttp_connection *connection =
            evhttp_request_get_connection(job->request);
        if (connection != NULL) {
            evhttp_connection_set_closecb(connection, NULL, NULL);
        }
    }
    event_free(job->timer);
    json_decref(job->body);
    g_free(job->marker);
    g_free(job);
}

void
Server_AddHeaders(Job *job)
{
    struct evkeyvalq *headers =
        evhttp_request_get_output_headers(job->request);
    static const char *const echoed[] = {"Eb-Request-Id", "Eb-Stage",
                                         "Eb-Attempt"};
    for (size_t i = 0; i < G_N_ELEMENTS(echoed); i++) {
        const char *value = Reply_Header(job->request, echoed[i]);
        if (value != NULL) {
            bool wrong = i == 0 && job->fault == FAULT_WRONG_ECHO;
            evhttp_add_header(headers, echoed[i],
                              wrong ? "another-request" : value);
        }
    }
    Server *server = job->server;
    if (server->leaving) {
        evhttp_add_header(headers, "Eb-Leaving", "1");
    }
    if (EbClock_Monotonic() - server->reported_us > REPORT_LAG_US) {
        server->reported_us = EbClock_Monotonic();
        server->reported_running = server->running.length;
        server->reported_waiting = server->waiting.length;
    }
    char load[64];
    g_snprintf(load, sizeof(load), "%u/%u", server->reported_running,
               server->reported_waiting);
    evhttp_add_header(headers, "Eb-Load", load);
}

void
Server_Finish(Job *job, int status, json_t *body)
{
    Server *server = job->server;
    g_queue_remove(&server->running, job);
    struct evhttp_connection *connection =
        job->request != NULL ? evhttp_request_get_connection(job->request)
                             : NULL;
    if (connection != NULL && body != NULL) {
        Server_AddHeaders(job);
        struct evhttp_request *request = job->request;
        evhttp_connection_set_closecb(connection, NULL, NULL);
        job->request = NULL;
        Reply_Json(request, status, body);
    }
    else if (connection != NULL) {
        evhttp_connection_set_closecb(connection, NULL, NULL);
        job->request = NULL;
        evhttp_connection_free(connection);
    }
    else {
        json_decref(body);
    }
    free_job(job);
    run_next(server);
}

static void
finish_service(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Job *job = context;
    if (job->fault == FAULT_SILENT) {
        return;
    }
    if (job->fault == FAULT_CUT) {
        Server_Finish(job, 0, NULL);
        return;
    }
    json_t *body = answers[job->server->pool->kind](job);
    if (job->record->key != NULL) {
        g_hash_table_replace(job->server->service->results,
                             g_strdup(job->record->key), json_incref(body));
    }
    if (job->fault == FAULT_MALFORMED) {
        json_decref(body);
        body = json_pack("[s]", "not the expected answer");
    }
    Server_Finish(job, HTTP_OK, body);
}

static void
start_job(Job *job)
{
    Server *server = job->server;
    g_queue_push_tail(&server->running, job);
    job->started = true;
    job->record->ran = true;
    server->runs++;
    if (server->pool->kind == EB_STAGE_GENERATE) {
        Engine_Start(job);
        return;
    }
    double delay_ms =
        service_ms[server->pool->kind] * server->standin->time_scale;
    if (job->fault == FAULT_SLOW) {
        delay_ms *= (double)job->fault_amount;
    }
    if (job->fault == FAULT_LATE) {
        delay_ms += (double)job->fault_amount;
    }
    int64_t delay_us = (int64_t)(delay_ms * 1000.0);
    event_add(job->timer, &(struct timeval){.tv_sec = delay_us / 1000000,
                                            .tv_usec = delay_us % 1000000});
}

static void
run_next(Server *server)
{
    while (server->running.length < server->description->capacity &&
           server->waiting.length > 0) {
        start_job(g_queue_pop_head(&server->waiting));
    }
}

/* The caller has closed its connection: a waiting call is dropped, a stream is
 * cancelled, and any other call runs to its end. */
static void
caller_gone(struct evhttp_connection *connection, void *context)
{
    (void)connection;
    Job *job = context;
    Server *server = job->server;
    job->request = NULL;
    if (!job->started) {
        g_queue_remove(&server->waiting, job);
        free_job(job);
    }
    else if (server->pool->kind == EB_STAGE_GENERATE ||
             job->fault == FAULT_SILENT) {
        g_queue_remove(&server->running, job);
        free_job(job);
        run_next(server);
    }
}

static Record *
add_record(Server *server, struct evhttp_request *request)
{
    Record *record = g_new0(Record, 1);
    const char *stage = Reply_Header(request, "Eb-Stage");
    const char *attempt = Reply_Header(request, "Eb-Attempt");
    record->server = g_strdup(server->description->id);
    record->request_id = g_strdup(Reply_Header(request, "Eb-Request-Id"));
    record->key = g_strdup(Reply_Header(request, "Idempotency-Key"));
    record->stage = stage != NULL ? atoll(stage) : -1;
    record->attempt = attempt != NULL ? atoll(attempt) : -1;
    record->at_us = EbClock_Monotonic();
    g_ptr_array_add(server->standin->records, record);
    return record;
}

static char *
find_marker(json_t *body)
{
    static const char *const fields[] = {"prompt", "input", "text", "query"};
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        const char *text = json_string_value(json_object_get(body, fields[i]));
        if (text != NULL) {
            return Engine_FindMarker(text);
        }
    }
    json_t *inputs = json_object_get(body, "inputs");
    return Engine_FindMarker(json_string_value(json_array_get(inputs, 0)));
}

/* Returns whether the call's fencing token is lower than one seen for its key.
 */
static bool
is_fenced(Server *server, struct evhttp_request *request)
{
    const char *key = Reply_Header(request, "Idempotency-Key");
    const char *token = Reply_Header(request, "Eb-Fencing-Token");
    if (!server->pool->checks_fencing || key == NULL) {
        return false;
    }
    uint64_t number = token != NULL ? strtoull(token, NULL, 10) : 0;
    uint64_t highest =
        GPOINTER_TO_SIZE(g_hash_table_lookup(server->service->fences, key));
    if (number < highest) {
        return true;
    }
    g_hash_table_replace(server->service->fences, g_strdup(key),
                         GSIZE_TO_POINTER(number));
    return false;
}

static void
answer_look_up(Server *server, struct evhttp_request *request)
{
    struct evkeyvalq query;
    const char *text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    evhttp_parse_query_str(text != NULL ? text : "", &query);
    const char *key = Reply_Query(&query, "key");
    json_t *result = key != NULL
                         ? g_hash_table_lookup(server->service->results, key)
                         : NULL;
    Job job = {.server = server, .request = request};
    Server_AddHeaders(&job);
    Reply_Json(request, HTTP_OK,
               result != NULL
                   ? json_pack("{s:b, s:O}", "ran", 1, "result", result)
                   : json_pack("{s:b}", "ran", 0));
    evhttp_clear_headers(&query);
}

static bool
is_poison(json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    bool poison = text != NULL && strstr(text, POISON_TEXT) != NULL;
    free(text);
    return poison;
}

static void
handle_call(struct evhttp_request *request, void *context)
{
    Server *server = context;
    int64_t amount = 0;
    if (evhttp_request_get_command(request) == EVHTTP_REQ_GET) {
        answer_look_up(server, request);
        return;
    }
    FaultKind fault = Fault_Next(&server->fault, &amount);
    json_t *body = Reply_ReadBody(request);
    Record *record = add_record(server, request);
    bool generates = server->pool->kind == EB_STAGE_GENERATE;
    if (fault == FAULT_CRASH || (generates && is_poison(body))) {
        record->ran = true;
        json_decref(body);
        Server_Crash(server);
        return;
    }
    int status = fault == FAULT_STATUS ? (int)amount : 0;
    if (is_fenced(server, request)) {
        status = 409;
    }
    if (server->waiting.length >= MAX_WAITING) {
        status = HTTP_SERVUNAVAIL;
    }
    Job *job = g_new0(Job, 1);
    job->server = server;
    job->request = request;
    job->body = body;
    job->record = record;
    job->fault = fault;
    job->fault_amount = amount;
    job->marker = find_marker(body);
    job->timer = event_new(server->standin->base, -1, 0, finish_service, job);
    if (status != 0) {
        Server_Finish(job, status, json_object());
        return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(request),
                                  caller_gone, job);
    g_queue_push_tail(&server->waiting, job);
    run_next(server);
}

static void
start_listening(Server *server)
{
    server->http = evhttp_new(server->standin->base);
    evhttp_set_allowed_methods(server->http, EVHTTP_REQ_POST | EVHTTP_REQ_GET);
    evhttp_set_gencb(server->http, handle_call, server);
    Standin_Listen(server->http, server->description->host,
                   server->description->port);
}

/* Closes the listener and all connections, and drops all calls. */
static void
stop_listening(Server *server)
{
    GQueue *queues[] = {&server->running, &server->waiting};
    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        Job *job;
        while ((job = g_queue_pop_head(queues[i])) != NULL) {
            free_job(job);
        }
    }
    if (server->http != NULL) {
        evhttp_free(server->http);
        server->http = NULL;
    }
}

static void
restart(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Server *server = context;
    if (server->http == NULL && server->fault.kind != FAULT_REFUSE) {
        start_listening(server);
    }
}

static void
crash_now(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Server *server = context;
    stop_listening(server);
    event_assign(server->restart, server->standin->base, -1, 0, restart,
                 server);
    event_add(server->restart, &(struct timeval){.tv_sec = RESTART_S});
}

void
Server_Crash(Server *server)
{
    server->crashes++;
    /* Deferred, since evhttp must not be freed in its own callback. */
    event_assign(server->restart, server->standin->base, -1, 0, crash_now,
                 server);
    event_active(server->restart, EV_TIMEOUT, 0);
}

void
Server_SetFault(Server *server, Fault fault)
{
    server->fault = fault;
    if (fault.kind == FAULT_LEAVING || fault.kind == FAULT_NONE) {
        server->leaving = fault.kind == FAULT_LEAVING;
        server->fault.kind = FAULT_NONE;
    }
    if (fault.kind == FAULT_REFUSE) {
        stop_listening(server);
    }
    else if (server->http == NULL) {
        start_listening(server);
    }
}

void
Service_Free(void *pointer)
{
    Service *service = pointer;
    g_hash_table_destroy(service->results);
    g_hash_table_destroy(service->fences);
    g_free(service);
}

static Service *
get_service(Standin *standin, const char *pool)
{
    Service *service = g_hash_table_lookup(standin->services, pool);
    if (service == NULL) {
        service = g_new0(Service, 1);
        service->results = g_hash_table_new_full(
            g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
        service->fences =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(standin->services, g_strdup(pool), service);
    }
    return service;
}

Server *
Server_New(Standin *standin, uint32_t index)
{
    Server *server = g_new0(Server, 1);
    server->standin = standin;
    server->description = &standin->config->servers[index];
    server->pool = &standin->config->pools[server->description->pool_index];
    g_queue_init(&server->running);
    g_queue_init(&server->waiting);
    server->service = get_service(standin, server->pool->name);
    server->restart = event_new(standin->base, -1, 0, restart, server);
    start_listening(server);
    return server;
}

void
Server_Free(Server *server)
{
    stop_listening(server);
    event_free(server->restart);
    g_free(server);
}

json_t *
Server_Describe(const Server *server)
{
    return json_pack(
        "{s:s, s:s, s:I, s:I, s:i, s:i, s:s}", "id", server->description->id,
        "pool", server->pool->name, "runs", (json_int_t)server->runs,
        "crashes", (json_int_t)server->crashes, "running",
        (int)server->running.length, "waiting", (int)server->waiting.length,
        "fault", Fault_names[server->fault.kind]);
}
