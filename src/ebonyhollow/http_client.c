#include "http_client.h"

#include <errno.h>
#include <netdb.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/util.h>

/* A call in progress. */
typedef struct {
    struct event_base *base;
    struct evhttp_request *evhttp;
    const EbHttpRequest *request;
    EbHttpResponse *response;
    bool finished;
    bool too_large;
    bool timed_out;
} Call;

bool
EbHttpClient_SplitAddress(const char *address, char **host, uint16_t *port)
{
    const char *colon = strrchr(address, ':');
    if (colon == NULL || colon == address) {
        return false;
    }
    char *end;
    errno = 0;
    unsigned long number = strtoul(colon + 1, &end, 10);
    if (!g_ascii_isdigit(colon[1]) || *end != '\0' || errno != 0 ||
        number == 0 || number > UINT16_MAX) {
        return false;
    }
    const char *host_start = address;
    const char *host_end = colon;
    if (address[0] == '[' && colon[-1] == ']') {
        host_start++;
        host_end--;
    }
    else if (memchr(address, ':', (size_t)(colon - address)) != NULL) {
        return false;
    }
    if (host_start >= host_end) {
        return false;
    }
    *host = g_strndup(host_start, (gsize)(host_end - host_start));
    *port = (uint16_t)number;
    return true;
}

void
EbHttpResponse_Clear(EbHttpResponse *response)
{
    if (response->body != NULL) {
        g_string_free(response->body, TRUE);
    }
    g_free(response->content_type);
    g_free(response->outcome);
    g_free(response->request_id);
    g_free(response->retry_after);
    *response = (EbHttpResponse){0};
}

/* Connects within the time limit and closes the connection again.
 *
 * Returns 0 or an errno value. */
static int
try_connect(const struct addrinfo *info, int64_t timeout_us)
{
    int descriptor =
        socket(info->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return errno;
    }
    int error_number = 0;
    if (connect(descriptor, info->ai_addr, info->ai_addrlen) != 0) {
        error_number = errno;
    }
    if (error_number == EINPROGRESS) {
        struct pollfd poll_entry = {.fd = descriptor, .events = POLLOUT};
        int ready = poll(&poll_entry, 1, (int)(timeout_us / 1000));
        socklen_t size = sizeof(error_number);
        if (ready == 0) {
            error_number = ETIMEDOUT;
        }
        else if (ready < 0 || getsockopt(descriptor, SOL_SOCKET, SO_ERROR,
                                         &error_number, &size) != 0) {
            error_number = errno;
        }
    }
    close(descriptor);
    return error_number;
}

/* Resolves the address and checks that a connection is possible. evhttp does
 * not distinguish a refused connection from one that broke after the request
 * was sent, and only the former means that the call had no effect.
 *
 * Returns the numeric address, freed with g_free, or NULL with `error` set. */
static char *
resolve_and_probe(const EbHttpRequest *request, uint16_t *port, EbError *error)
{
    char *host;
    if (!EbHttpClient_SplitAddress(request->address, &host, port)) {
        EbError_Set(error, EB_ERROR_USAGE,
                    "\"%s\" is not HOST:PORT or [IPv6]:PORT",
                    request->address);
        return NULL;
    }
    struct addrinfo hints = {.ai_socktype = SOCK_STREAM};
    struct addrinfo *addresses = NULL;
    char *service = g_strdup_printf("%u", *port);
    int resolve_result = getaddrinfo(host, service, &hints, &addresses);
    g_free(service);
    g_free(host);
    if (resolve_result != 0) {
        EbError_Set(error, EB_ERROR_UNAVAILABLE, "%s: %s", request->address,
                    gai_strerror(resolve_result));
        return NULL;
    }
    char numeric[NI_MAXHOST] = "";
    int error_number = 0;
    for (struct addrinfo *info = addresses; info != NULL;
         info = info->ai_next) {
        error_number = try_connect(info, request->timeout_us);
        if (error_number == 0 &&
            getnameinfo(info->ai_addr, info->ai_addrlen, numeric,
                        sizeof(numeric), NULL, 0, NI_NUMERICHOST) == 0) {
            break;
        }
    }
    freeaddrinfo(addresses);
    if (numeric[0] == '\0') {
        EbError_Set(error, EB_ERROR_UNAVAILABLE, "cannot connect to %s: %s",
                    request->address, strerror(error_number));
        return NULL;
    }
    return g_strdup(numeric);
}

static char *
copy_header(struct evhttp_request *evhttp, const char *name)
{
    return g_strdup(
        evhttp_find_header(evhttp_request_get_input_headers(evhttp), name));
}

static bool
is_stream(const Call *call, struct evhttp_request *evhttp)
{
    const char *type = evhttp_find_header(
        evhttp_request_get_input_headers(evhttp), "Content-Type");
    return call->request->handle_chunk != NULL && type != NULL &&
           evhttp_request_get_response_code(evhttp) == 200 &&
           g_ascii_strncasecmp(type, "text/event-stream", 17) == 0;
}

static void
receive_chunk(struct evhttp_request *evhttp, void *context)
{
    Call *call = context;
    struct evbuffer *input = evhttp_request_get_input_buffer(evhttp);
    size_t count = evbuffer_get_length(input);
    if (call->response->body->len + count > EB_HTTP_MAX_BODY_BYTES) {
        call->too_large = true;
        event_base_loopbreak(call->base);
        return;
    }
    char *bytes = g_malloc(count + 1);
    ev_ssize_t copied = evbuffer_copyout(input, bytes, count);
    if (copied > 0 && is_stream(call, evhttp)) {
        call->request->handle_chunk(call->request->chunk_context, bytes,
                                    (size_t)copied);
    }
    else if (copied > 0) {
        g_string_append_len(call->response->body, bytes, copied);
    }
    g_free(bytes);
}

static void
handle_response(struct evhttp_request *evhttp, void *context)
{
    Call *call = context;
    call->evhttp = NULL; /* evhttp frees it */
    EbHttpResponse *response = call->response;
    if (evhttp != NULL && evhttp_request_get_response_code(evhttp) != 0) {
        response->status = evhttp_request_get_response_code(evhttp);
        response->content_type = copy_header(evhttp, "Content-Type");
        response->outcome = copy_header(evhttp, "Eb-Outcome");
        response->request_id = copy_header(evhttp, "Eb-Request-Id");
        response->retry_after = copy_header(evhttp, "Retry-After");
        char *replayed = copy_header(evhttp, "Eb-Replayed");
        response->replayed = g_strcmp0(replayed, "true") == 0;
        g_free(replayed);
        call->finished = true;
    }
    event_base_loopbreak(call->base);
}

static void
handle_timeout(evutil_socket_t descriptor, short events, void *context)
{
    (void)descriptor;
    (void)events;
    Call *call = context;
    call->timed_out = true;
    event_base_loopbreak(call->base);
}

/* Adds a header. Returns false for a value with line breaks, which evhttp
 * rejects. */
static bool
add_header(struct evkeyvalq *headers, const char *name, const char *value)
{
    return evhttp_add_header(headers, name, value) == 0;
}

static bool
add_headers(const EbHttpRequest *request, struct evhttp_request *evhttp)
{
    struct evkeyvalq *headers = evhttp_request_get_output_headers(evhttp);
    bool added = add_header(headers, "Host", request->address) &&
                 add_header(headers, "Connection", "close");
    if (request->token != NULL) {
        char *value = g_strconcat("Bearer ", request->token, NULL);
        added = added && add_header(headers, "Authorization", value);
        g_free(value);
    }
    if (request->body != NULL) {
        added =
            added && add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(evhttp), request->body,
                     strlen(request->body));
    }
    for (size_t i = 0; i < request->header_count; i++) {
        added = added && add_header(headers, request->headers[i].name,
                                    request->headers[i].value);
    }
    return added;
}

static enum evhttp_cmd_type
method_type(const char *method)
{
    if (strcmp(method, "POST") == 0) {
        return EVHTTP_REQ_POST;
    }
    if (strcmp(method, "PUT") == 0) {
        return EVHTTP_REQ_PUT;
    }
    return strcmp(method, "DELETE") == 0 ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

/* Sends the request and runs the event loop until the answer is complete, the
 * connection breaks or the time limit has passed.
 *
 * Returns false if the request could not be sent. */
static bool
run_call(Call *call, struct evhttp_connection *connection)
{
    const EbHttpRequest *request = call->request;
    struct timeval limit = {.tv_sec = request->timeout_us / 1000000,
                            .tv_usec = request->timeout_us % 1000000};
    /* The connection's own time limit applies between reads; the timer below
     * limits the whole call. */
    evhttp_connection_set_timeout_tv(connection, &limit);
    evhttp_connection_set_max_body_size(connection, EB_HTTP_MAX_BODY_BYTES);
    call->evhttp = evhttp_request_new(handle_response, call);
    evhttp_request_set_chunked_cb(call->evhttp, receive_chunk);
    if (!add_headers(request, call->evhttp)) {
        evhttp_request_free(call->evhttp);
        call->evhttp = NULL;
        return false;
    }
    struct event *timer = evtimer_new(call->base, handle_timeout, call);
    evtimer_add(timer, &limit);
    if (evhttp_make_request(connection, call->evhttp,
                            method_type(request->method),
                            request->path) != 0) {
        call->evhttp = NULL;
        event_free(timer);
        return false;
    }
    event_base_dispatch(call->base);
    event_free(timer);
    if (call->evhttp != NULL) {
        evhttp_cancel_request(call->evhttp);
    }
    return true;
}

EbHttpResult
EbHttpClient_Call(struct event_base *base, const EbHttpRequest *request,
                  EbHttpResponse *response, EbError *error)
{
    *response = (EbHttpResponse){.body = g_string_new(NULL)};
    EbError_Clear(error);
    uint16_t port = 0;
    char *host = resolve_and_probe(request, &port, error);
    if (host == NULL) {
        return EB_HTTP_UNREACHABLE;
    }
    Call call = {.base = base, .request = request, .response = response};
    struct evhttp_connection *connection =
        evhttp_connection_base_new(base, NULL, host, port);
    g_free(host);
    bool started = run_call(&call, connection);
    evhttp_connection_free(connection);
    if (!started) {
        EbError_Set(error, EB_ERROR_USAGE,
                    "the request could not be built; a header contains a line "
                    "break");
        return EB_HTTP_UNREACHABLE;
    }
    if (call.finished) {
        return EB_HTTP_ANSWERED;
    }
    EbError_Set(error, EB_ERROR_UNAVAILABLE, "%s: %s", request->address,
                call.timed_out   ? "no complete answer within the time limit"
                : call.too_large ? "the answer is larger than 16 MB"
                                 : "the connection broke before the answer "
                                   "was complete");
    return EB_HTTP_ANSWER_LOST;
}
