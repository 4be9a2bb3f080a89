#include "net_fixture.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#define LOOP_TIMEOUT_S 30

struct RawPeerList {
    GPtrArray *peers; /* of RawPeer */
};

static struct sockaddr_in
local_address(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static uint16_t
bound_port(evutil_socket_t fd)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    getsockname(fd, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

/* Returns the length of the first complete request, or 0 if there is none. */
static size_t
request_length(struct evbuffer *input)
{
    size_t available = evbuffer_get_length(input);
    struct evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, NULL);
    if (end.pos < 0) {
        return 0;
    }
    char *head =
        g_strndup((char *)evbuffer_pullup(input, end.pos), (gsize)end.pos);
    char *field = strstr(head, "Content-Length: ");
    size_t length = (size_t)end.pos + 4;
    if (field != NULL) {
        length += strtoul(field + strlen("Content-Length: "), NULL, 10);
    }
    g_free(head);
    return available >= length ? length : 0;
}

static void
on_server_read(struct bufferevent *bufev, void *arg)
{
    RawPeer *peer = arg;
    struct evbuffer *input = bufferevent_get_input(bufev);
    size_t length;
    while (peer->bufev != NULL && (length = request_length(input)) > 0) {
        char *request = g_malloc0(length + 1);
        evbuffer_remove(input, request, length);
        peer->requests++;
        peer->server->requests++;
        if (peer->server->handler != NULL) {
            peer->server->handler(peer, request);
        }
        g_free(request);
    }
}

static void
on_server_event(struct bufferevent *bufev, short what, void *arg)
{
    (void)bufev;
    RawPeer *peer = arg;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        peer->server->closed++;
        RawPeer_Close(peer, false);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t fd,
          struct sockaddr *address, int length, void *arg)
{
    (void)listener;
    (void)address;
    (void)length;
    RawServer *server = arg;
    RawPeer *peer = g_new0(RawPeer, 1);
    peer->server = server;
    peer->number = ++server->accepted;
    peer->bufev =
        bufferevent_socket_new(server->base, fd, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(peer->bufev, on_server_read, NULL, on_server_event,
                      peer);
    bufferevent_enable(peer->bufev, EV_READ | EV_WRITE);
    g_ptr_array_add(server->peers->peers, peer);
}

static void
free_peer(void *data)
{
    RawPeer_Close(data, false);
    g_free(data);
}

RawServer *
RawServer_New(struct event_base *base, RawHandler handler, void *context)
{
    RawServer *server = g_new0(RawServer, 1);
    server->base = base;
    server->handler = handler;
    server->context = context;
    server->peers = g_new0(struct RawPeerList, 1);
    server->peers->peers = g_ptr_array_new_with_free_func(free_peer);
    struct sockaddr_in address = local_address(0);
    server->listener = evconnlistener_new_bind(
        base, on_accept, server, LEV_OPT_CLOSE_ON_FREE, 1024,
        (struct sockaddr *)&address, sizeof(address));
    g_assert(server->listener != NULL);
    server->port = bound_port(evconnlistener_get_fd(server->listener));
    return server;
}

void
RawServer_Free(RawServer *server)
{
    evconnlistener_free(server->listener);
    g_ptr_array_free(server->peers->peers, TRUE);
    g_free(server->peers);
    g_free(server);
}

void
RawPeer_Send(RawPeer *peer, const char *bytes)
{
    if (peer->bufev != NULL) {
        bufferevent_write(peer->bufev, bytes, strlen(bytes));
    }
}

void
RawPeer_SendJson(RawPeer *peer, const char *json)
{
    char head[128];
    snprintf(head, sizeof(head), "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n",
             strlen(json));
    RawPeer_Send(peer, head);
    RawPeer_Send(peer, "Content-Type: application/json\r\n\r\n");
    RawPeer_Send(peer, json);
}

void
RawPeer_Close(RawPeer *peer, bool reset)
{
    if (peer->bufev == NULL) {
        return;
    }
    if (reset) {
        struct linger linger = {1, 0};
        setsockopt(bufferevent_getfd(peer->bufev), SOL_SOCKET, SO_LINGER,
                   &linger, sizeof(linger));
    }
    bufferevent_free(peer->bufev);
    peer->bufev = NULL;
}

static void
on_client_read(struct bufferevent *bufev, void *arg)
{
    RawClient *client = arg;
    struct evbuffer *input = bufferevent_get_input(bufev);
    size_t length = evbuffer_get_length(input);
    client->text = g_realloc(client->text, client->text_bytes + length + 1);
    evbuffer_remove(input, client->text + client->text_bytes, length);
    client->text_bytes += length;
    client->text[client->text_bytes] = '\0';
}

static void
on_client_event(struct bufferevent *bufev, short what, void *arg)
{
    (void)bufev;
    RawClient *client = arg;
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        client->closed = true;
    }
}

RawClient *
RawClient_New(struct event_base *base, uint16_t port)
{
    RawClient *client = g_new0(RawClient, 1);
    client->text = g_strdup("");
    client->bufev = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(client->bufev, on_client_read, NULL, on_client_event,
                      client);
    bufferevent_enable(client->bufev, EV_READ | EV_WRITE);
    struct sockaddr_in address = local_address(port);
    bufferevent_socket_connect(client->bufev, (struct sockaddr *)&address,
                               sizeof(address));
    return client;
}

void
RawClient_Free(RawClient *client)
{
    bufferevent_free(client->bufev);
    g_free(client->text);
    g_free(client);
}

void
RawClient_Send(RawClient *client, const char *bytes)
{
    bufferevent_write(client->bufev, bytes, strlen(bytes));
}

void
RawClient_Pause(RawClient *client, bool paused)
{
    client->paused = paused;
    if (paused) {
        bufferevent_disable(client->bufev, EV_READ);
    }
    else {
        bufferevent_enable(client->bufev, EV_READ);
    }
}

static void
on_timeout(evutil_socket_t fd, short what, void *arg)
{
    (void)fd;
    (void)what;
    *(bool *)arg = true;
}

bool
Loop_Until(struct event_base *base, bool (*done)(void *context), void *context)
{
    bool expired = false;
    struct event *timer = evtimer_new(base, on_timeout, &expired);
    struct timeval timeout = {LOOP_TIMEOUT_S, 0};
    evtimer_add(timer, &timeout);
    while (!expired && !done(context)) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    event_free(timer);
    return done(context);
}

void
Loop_For(struct event_base *base, int64_t time_us)
{
    bool expired = false;
    struct event *timer = evtimer_new(base, on_timeout, &expired);
    struct timeval timeout = {time_us / 1000000, time_us % 1000000};
    evtimer_add(timer, &timeout);
    while (!expired) {
        event_base_loop(base, EVLOOP_ONCE);
    }
    event_free(timer);
}

uint16_t
Port_FindUnused(void)
{
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    struct sockaddr_in address = local_address(0);
    int status = bind(fd, (struct sockaddr *)&address, sizeof(address));
    g_assert(status == 0);
    uint16_t port = bound_port(fd);
    close(fd);
    return port;
}

uint64_t
Descriptors_Exhaust(void)
{
    struct rlimit limit;
    getrlimit(RLIMIT_NOFILE, &limit);
    uint64_t before = limit.rlim_cur;
    int lowest_free = dup(0);
    close(lowest_free);
    limit.rlim_cur = (rlim_t)lowest_free;
    setrlimit(RLIMIT_NOFILE, &limit);
    return before;
}

void
Descriptors_Restore(uint64_t limit)
{
    struct rlimit restored;
    getrlimit(RLIMIT_NOFILE, &restored);
    restored.rlim_cur = limit;
    setrlimit(RLIMIT_NOFILE, &restored);
}
