/* The emulated platform. */
#include "emulator.h"

#include <string.h>

#include <event2/buffer.h>

const char *
Emulator_Header(struct evhttp_request *request, const char *name)
{
    return evhttp_find_header(evhttp_request_get_input_headers(request), name);
}

void
Emulator_AddHeader(struct evhttp_request *request, const char *name,
                   const char *value)
{
    evhttp_add_header(evhttp_request_get_output_headers(request), name, value);
}

void
Emulator_ReplyJson(struct evhttp_request *request, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);
    struct evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, text, strlen(text));
    Emulator_AddHeader(request, "Content-Type", "application/json");
    evhttp_send_reply(request, status, "Status", buffer);
    evbuffer_free(buffer);
    free(text);
    json_decref(body);
}

json_t *
Emulator_ReadBody(struct evhttp_request *request)
{
    struct evbuffer *input = evhttp_request_get_input_buffer(request);
    size_t length = evbuffer_get_length(input);
    return length > 0 ? json_loadb((char *)evbuffer_pullup(input, -1), length,
                                   0, NULL)
                      : NULL;
}

void
Emulator_FreeOrphan(struct evhttp_request *request)
{
    if (evhttp_request_get_connection(request) == NULL) {
        evhttp_request_free(request);
    }
}

void
Emulator_Start(Soak *soak)
{
    Store_Start(soak);
    Servers_Start(soak);
}

void
Emulator_Stop(Soak *soak)
{
    Servers_Stop(soak);
    Store_Stop(soak);
}
