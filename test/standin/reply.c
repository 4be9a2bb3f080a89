/* Faults, listeners, and helpers for requests and responses. */
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "standin.h"

const char *const Fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "none",
    [FAULT_REFUSE] = "refuse",
    [FAULT_CRASH] = "crash",
    [FAULT_SILENT] = "silent",
    [FAULT_SLOW] = "slow",
    [FAULT_LATE] = "late",
    [FAULT_WRONG_ECHO] = "wrong-echo",
    [FAULT_MALFORMED] = "malformed",
    [FAULT_STATUS] = "status",
    [FAULT_CUT] = "cut",
    [FAULT_LEAVING] = "leaving",
    [FAULT_DOWN] = "down",
    [FAULT_LOSE_ANSWER] = "lose-answer",
    [FAULT_STALE] = "stale",
    [FAULT_GAP] = "gap",
};

FaultKind
Fault_Next(Fault *fault, int64_t *amount)
{
    if (fault->kind == FAULT_NONE || fault->remaining == 0) {
        return FAULT_NONE;
    }
    if (fault->remaining > 0) {
        fault->remaining--;
    }
    *amount = fault->amount;
    return fault->kind;
}

void
Standin_Listen(struct evhttp *http, const char *host, uint16_t port)
{
    struct evhttp_bound_socket *bound =
        evhttp_bind_socket_with_handle(http, host, port);
    if (bound == NULL) {
        g_printerr("standin: cannot listen on %s:%u\n", host, port);
        exit(1);
    }
    EbSocket_SetNoDelay(evhttp_bound_socket_get_fd(bound));
}

void
Reply_Json(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, text, strlen(text));
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "application/json");
    evhttp_send_reply(request, status, NULL, buffer);
    evbuffer_free(buffer);
    free(text);
    json_decref(body);
}

json_t *
Reply_ReadBody(struct evhttp_request *request)
{
    struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
    size_t bytes = evbuffer_get_length(buffer);
    const char *text = (const char *)evbuffer_pullup(buffer, -1);
    return text != NULL ? json_loadb(text, bytes, JSON_DECODE_ANY, NULL)
                        : NULL;
}

const char *
Reply_Header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

const char *
Reply_Query(const struct evkeyvalq *query, const char *name)
{
    return evhttp_find_header(query, name);
}
