/* The model engine. Each token of a stream carries the marker of its request,
 * so that a reader notices tokens that are lost, repeated or of another
 * request. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "standin.h"

#define FIRST_TOKEN_MS 20.0
#define PREFILL_MS_PER_KB 2.0 /* of prompt */
#define TOKEN_MS 4.0
#define MARKER_OPEN "[id:"

char *
Engine_FindMarker(const char *text)
{
    const char *found = NULL;
    const char *next = text;
    while (next != NULL && (next = strstr(next, MARKER_OPEN)) != NULL) {
        found = next;
        next++;
    }
    if (found == NULL) {
        return g_strdup("none");
    }
    found += strlen(MARKER_OPEN);
    return g_strndup(found, strcspn(found, "]"));
}

static void
send_chunk(Job *job, const char *line)
{
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add_printf(buffer, "data: %s\n\n", line);
    evhttp_send_reply_chunk(job->request, buffer);
    evbuffer_free(buffer);
}

static void
send_token(Job *job)
{
    char text[128];
    g_snprintf(text, sizeof(text), "%s/%" G_GUINT64_FORMAT " ", job->marker,
               job->token_index);
    json_t *chunk =
        json_pack("{s:[{s:i, s:s}], s:I}", "choices", "index", 0, "text", text,
                  "token_index", (json_int_t)job->token_index);
    char *line = json_dumps(chunk, JSON_COMPACT);
    send_chunk(job, line);
    free(line);
    json_decref(chunk);
    job->token_index++;
}

static void
schedule(Job *job, double delay_ms)
{
    double factor = job->server->standin->time_scale;
    if (job->fault == FAULT_SLOW) {
        factor *= (double)job->fault_amount;
    }
    int64_t delay_us = (int64_t)(delay_ms * factor * 1000.0);
    struct timeval time = {.tv_sec = delay_us / 1000000,
                           .tv_usec = delay_us % 1000000};
    event_add(job->timer, &time);
}

static void
end_stream(Job *job)
{
    send_chunk(job, "{\"choices\":[{\"index\":0,\"text\":\"\","
                    "\"finish_reason\":\"stop\"}]}");
    send_chunk(job, "[DONE]");
    evhttp_connection_set_closecb(evhttp_request_get_connection(job->request),
                                  NULL, NULL);
    evhttp_send_reply_end(job->request);
    job->request = NULL;
    Server_Finish(job, HTTP_OK, NULL);
}

static void
on_token_timer(evutil_socket_t fd, short events, void *context)
{
    (void)fd;
    (void)events;
    Job *job = context;
    if (job->request == NULL) {
        Server_Finish(job, HTTP_OK, NULL);
        return;
    }
    if (job->token_index >= job->token_end) {
        end_stream(job);
        return;
    }
    bool past_half = job->token_index >= job->token_end / 2;
    if (job->fault == FAULT_CUT && past_half) {
        Server_Finish(job, 0, NULL);
        return;
    }
    if (job->fault == FAULT_SILENT && past_half) {
        return;
    }
    send_token(job);
    schedule(job, TOKEN_MS);
}

void
Engine_Start(Job *job)
{
    const char *prompt =
        json_string_value(json_object_get(job->body, "prompt"));
    json_t *limit = json_object_get(job->body, "max_tokens");
    json_t *resume = json_object_get(job->body, "resume");
    uint64_t tokens = job->server->standin->tokens;
    job->token_end = limit != NULL
                         ? MIN((uint64_t)json_integer_value(limit), tokens)
                         : tokens;
    job->token_index =
        (uint64_t)json_integer_value(json_object_get(resume, "token_index"));
    Server_AddHeaders(job);
    evhttp_add_header(evhttp_request_get_output_headers(job->request),
                      "Content-Type", "text/event-stream");
    evhttp_send_reply_start(job->request, HTTP_OK, "OK");
    event_assign(job->timer, job->server->standin->base, -1, 0, on_token_timer,
                 job);
    double prompt_kb = prompt != NULL ? (double)strlen(prompt) / 1024.0 : 0;
    schedule(job, FIRST_TOKEN_MS + prompt_kb * PREFILL_MS_PER_KB);
}
