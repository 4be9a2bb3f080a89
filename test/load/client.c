/* Requests to the daemons, checks of their answers, and readiness probes. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "load.h"

/* An answer may come this much after the deadline; a request that has none by
 * then counts as cut. */
#define ANSWER_SLACK_S 10
#define MAX_RESENDS 5
#define PROBE_INTERVAL_US 100000
#define PROBE_TIMEOUT_S 1

/* One request in flight. */
typedef struct {
    Load *load;
    const RequestKind *kind;
    Tally *tally;
    Target *target;
    struct evhttp_connection *connection;
    char *marker;
    char *key; /* NULL when not keyed */
    int64_t sent_us;
    int64_t last_token_us;
    uint64_t next_token;
    GString *unparsed; /* bytes of the stream that are not parsed yet */
    GString *streamed; /* text of the token events */
    bool outcome_event;
    EbOutcome outcome;
    uint32_t resends;
} Call;

static void send_call(Call *call);

static void
count_reason(const Call *call, const char *reason)
{
    GHashTable *reasons = call->load->reasons;
    char *name = g_strdup_printf("%s %s", call->kind->customer, reason);
    gpointer count = g_hash_table_lookup(reasons, name);
    g_hash_table_replace(reasons, name,
                         GSIZE_TO_POINTER(GPOINTER_TO_SIZE(count) + 1));
}

/* Checks that the text is "MARKER/0 MARKER/1 ...", token by token. */
static void
check_text(Call *call, const char *text)
{
    char *trimmed = g_strchomp(g_strdup(text));
    char **tokens = g_strsplit(trimmed, " ", -1);
    for (guint i = 0; tokens[i] != NULL; i++) {
        char expected[160];
        g_snprintf(expected, sizeof(expected), "%s/%u", call->marker, i);
        if (strcmp(tokens[i], expected) == 0) {
            continue;
        }
        size_t marker_bytes = strlen(call->marker);
        bool own_marker =
            strncmp(tokens[i], call->marker, marker_bytes) == 0 &&
            tokens[i][marker_bytes] == '/';
        call->tally->crossed += !own_marker;
        call->tally->broken += own_marker;
        break;
    }
    g_strfreev(tokens);
    g_free(trimmed);
}

static void
check_answer(Call *call, json_t *answer)
{
    const char *text = json_string_value(json_object_get(answer, "text"));
    if (text != NULL) {
        check_text(call, text);
        if (call->kind->stream && strcmp(text, call->streamed->str) != 0) {
            call->tally->broken++;
        }
    }
    const char *marker = json_string_value(
        json_object_get(json_object_get(answer, "result"), "marker"));
    if (marker != NULL && strcmp(marker, call->marker) != 0) {
        call->tally->crossed++;
    }
}

static void
record_outcome(Call *call, json_t *body)
{
    const char *name = json_string_value(json_object_get(body, "outcome"));
    const char *reason = json_string_value(json_object_get(body, "reason"));
    EbOutcome outcome =
        name != NULL ? EbOutcome_Parse(name) : EB_OUTCOME_COUNT;
    call->outcome = outcome;
    if (outcome == EB_OUTCOME_COUNT) {
        return;
    }
    call->tally->outcomes[outcome]++;
    if (outcome != EB_OUTCOME_DONE) {
        count_reason(call, reason != NULL ? reason : "");
        return;
    }
    int64_t total_us = EbClock_Monotonic() - call->sent_us;
    call->tally->done++;
    bool in_time = total_us <= call->kind->timeout_us;
    call->tally->in_time += in_time;
    call->tally->in_window +=
        in_time && EbClock_Monotonic() <= call->load->end_us;
    EbHistogram_Add(&call->tally->total_us, total_us);
    check_answer(call, json_object_get(body, "answer"));
}

static void
record_token(Call *call, json_t *data)
{
    int64_t now_us = EbClock_Monotonic();
    const char *text = json_string_value(json_object_get(data, "text"));
    if (call->next_token == 0) {
        EbHistogram_Add(&call->tally->first_token_us, now_us - call->sent_us);
    }
    else {
        EbHistogram_Add(&call->tally->token_gap_us,
                        now_us - call->last_token_us);
    }
    call->last_token_us = now_us;
    call->next_token++;
    g_string_append(call->streamed, text != NULL ? text : "");
}

static void
handle_event(Call *call, const char *block)
{
    bool is_token = strstr(block, "event: token\n") != NULL;
    const char *data = strstr(block, "data: ");
    json_t *body =
        data != NULL ? json_loads(data + strlen("data: "), 0, NULL) : NULL;
    if (body != NULL && is_token) {
        record_token(call, body);
    }
    else if (body != NULL) {
        call->outcome_event = true;
        record_outcome(call, body);
    }
    json_decref(body);
}

static void
parse_stream(Call *call)
{
    char *end;
    while ((end = strstr(call->unparsed->str, "\n\n")) != NULL) {
        *end = '\0';
        char *block = g_strconcat(call->unparsed->str, "\n", NULL);
        g_string_erase(call->unparsed, 0, end - call->unparsed->str + 2);
        handle_event(call, block);
        g_free(block);
    }
}

static void
handle_chunk(struct evhttp_request *request, void *context)
{
    Call *call = context;
    struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
    size_t bytes = evbuffer_get_length(buffer);
    g_string_append_len(call->unparsed,
                        (const char *)evbuffer_pullup(buffer, -1),
                        (gssize)bytes);
    evbuffer_drain(buffer, bytes);
    parse_stream(call);
}

static void
free_call(Call *call)
{
    g_string_free(call->unparsed, TRUE);
    g_string_free(call->streamed, TRUE);
    g_free(call->marker);
    g_free(call->key);
    g_free(call);
}

static void
end_call(Call *call)
{
    Load *load = call->load;
    if (call->outcome == EB_OUTCOME_COUNT) {
        call->tally->cut++;
    }
    if (call->key != NULL) {
        KeyedResult result = {g_strdup(call->key), call->outcome};
        g_array_append_val(load->keyed, result);
    }
    load->in_flight--;
    free_call(call);
    if (load->sending_ended && load->in_flight == 0) {
        event_base_loopbreak(load->base);
    }
}

static void
handle_response(struct evhttp_request *request, void *context)
{
    Call *call = context;
    bool refused =
        request != NULL && evhttp_request_get_response_code(request) == 0;
    if (refused && call->resends < MAX_RESENDS) {
        call->resends++;
        g_queue_push_tail(&call->load->failed_connections, call->connection);
        send_call(call);
        return;
    }
    if (request == NULL || refused) {
        g_queue_push_tail(&call->load->failed_connections, call->connection);
        end_call(call);
        return;
    }
    if (call->kind->stream && call->outcome_event) {
        g_queue_push_tail(&call->target->idle, call->connection);
        end_call(call);
        return;
    }
    struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
    size_t bytes = evbuffer_get_length(buffer);
    const char *text = (const char *)evbuffer_pullup(buffer, -1);
    json_t *body = bytes > 0 ? json_loadb(text, bytes, 0, NULL)
                             : json_loadb(call->unparsed->str,
                                          call->unparsed->len, 0, NULL);
    record_outcome(call, body);
    json_decref(body);
    g_queue_push_tail(&call->target->idle, call->connection);
    end_call(call);
}

static struct evhttp_connection *
get_connection(Load *load, Target *target)
{
    struct evhttp_connection *idle = g_queue_pop_tail(&target->idle);
    if (idle != NULL) {
        return idle;
    }
    struct evhttp_connection *connection = evhttp_connection_base_new(
        load->base, NULL, target->host, target->port);
    evhttp_connection_set_retries(connection, 0);
    return connection;
}

static void
add_headers(Call *call, struct evhttp_request *request)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(request);
    char text[160];
    g_snprintf(text, sizeof(text), "Bearer %s", call->kind->token);
    evhttp_add_header(headers, "Authorization", text);
    evhttp_add_header(headers, "Content-Type", "application/json");
    evhttp_add_header(headers, "Host", call->target->host);
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT,
               call->kind->timeout_us / 1000);
    evhttp_add_header(headers, "Eb-Timeout-Ms", text);
    if (call->key != NULL) {
        evhttp_add_header(headers, "Idempotency-Key", call->key);
    }
    if (call->kind->stream) {
        evhttp_add_header(headers, "Accept", "text/event-stream");
    }
}

static void
add_body(Call *call, struct evhttp_request *request)
{
    char *input = g_strdup_printf("question [id:%s] %s", call->marker,
                                  call->kind->suffix);
    json_t *body = json_pack("{s:s}", "input", input);
    char *text = json_dumps(body, JSON_COMPACT);
    evbuffer_add(evhttp_request_get_output_buffer(request), text,
                 strlen(text));
    free(text);
    json_decref(body);
    g_free(input);
}

static Target *
choose_target(Load *load)
{
    uint64_t first = EbRandom_Below(&load->random, load->target_count);
    for (uint32_t i = 0; i < load->target_count; i++) {
        Target *target = &load->targets[(first + i) % load->target_count];
        if (target->ready) {
            return target;
        }
    }
    return &load->targets[first];
}

static void
send_call(Call *call)
{
    Load *load = call->load;
    call->target = choose_target(load);
    call->connection = get_connection(load, call->target);
    evhttp_connection_set_timeout(call->connection,
                                  (int)(call->kind->timeout_us / 1000000) +
                                      ANSWER_SLACK_S);
    struct evhttp_request *request = evhttp_request_new(handle_response, call);
    evhttp_request_set_chunked_cb(request, handle_chunk);
    add_headers(call, request);
    add_body(call, request);
    char path[256];
    g_snprintf(path, sizeof(path), "/v1/pipelines/%s", call->kind->pipeline);
    evhttp_make_request(call->connection, request, EVHTTP_REQ_POST, path);
}

void
Client_Send(Load *load, const RequestKind *kind, uint32_t kind_index)
{
    Call *call = g_new0(Call, 1);
    uint64_t number = load->next_number++;
    call->load = load;
    call->kind = kind;
    call->tally = &load->tallies[kind_index];
    call->marker = g_strdup_printf("s%" G_GUINT64_FORMAT "n%" G_GUINT64_FORMAT,
                                   load->seed, number);
    call->key = kind->keyed ? g_strdup_printf("key-%s", call->marker) : NULL;
    call->unparsed = g_string_new(NULL);
    call->streamed = g_string_new(NULL);
    call->outcome = EB_OUTCOME_COUNT;
    call->sent_us = EbClock_Monotonic();
    call->tally->sent++;
    load->in_flight++;
    send_call(call);
}

static void
close_idle_connections(Target *target)
{
    struct evhttp_connection *idle;
    while ((idle = g_queue_pop_head(&target->idle)) != NULL) {
        evhttp_connection_free(idle);
    }
}

static void
handle_probe_response(struct evhttp_request *request, void *context)
{
    Target *target = context;
    bool ready = request != NULL &&
                 evhttp_request_get_response_code(request) == HTTP_OK;
    target->probing = false;
    if (target->ready && !ready) {
        close_idle_connections(target);
    }
    target->ready = ready;
}

static void
probe_target(Load *load, Target *target)
{
    if (target->probe_connection == NULL) {
        target->probe_connection = evhttp_connection_base_new(
            load->base, NULL, target->health_host, target->health_port);
        evhttp_connection_set_timeout(target->probe_connection,
                                      PROBE_TIMEOUT_S);
    }
    struct evhttp_request *request =
        evhttp_request_new(handle_probe_response, target);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Connection",
                      "close");
    target->probing = true;
    evhttp_make_request(target->probe_connection, request, EVHTTP_REQ_GET,
                        "/readyz");
}

static void
probe_all(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Load *load = context;
    for (uint32_t i = 0; i < load->target_count; i++) {
        Target *target = &load->targets[i];
        if (target->health_host != NULL && !target->probing) {
            probe_target(load, target);
        }
    }
}

void
Client_StartProbes(Load *load)
{
    load->probe_timer = event_new(load->base, -1, EV_PERSIST, probe_all, load);
    event_add(load->probe_timer,
              &(struct timeval){.tv_usec = PROBE_INTERVAL_US});
}
