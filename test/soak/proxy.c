/* A TCP proxy on loopback between a daemon and the store. */
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include "soak.h"

#define DELAY_US 150000

typedef struct {
    Proxy *proxy;
    struct bufferevent *daemon_side;
    struct bufferevent *store_side;
    struct event *timer; /* forwards delayed bytes */
} Pair;

struct Proxy {
    struct event_base *base;
    struct evconnlistener *listener;
    uint16_t port;
    uint16_t target_port;
    PathFault fault;
    GHashTable *pairs; /* set of Pair */
};

static void
free_pair(gpointer data)
{
    Pair *pair = data;
    bufferevent_free(pair->daemon_side);
    bufferevent_free(pair->store_side);
    event_free(pair->timer);
    g_free(pair);
}

static void
move_bytes(struct bufferevent *from, struct bufferevent *to)
{
    bufferevent_write_buffer(to, bufferevent_get_input(from));
}

/* Forwards the bytes that the path's fault lets through; the others stay in
 * the buffers. */
static void
forward_bytes(Pair *pair)
{
    PathFault fault = pair->proxy->fault;
    if (fault == PATH_SILENT || fault == PATH_RESET) {
        return;
    }
    move_bytes(pair->daemon_side, pair->store_side);
    if (fault != PATH_ONE_WAY) {
        move_bytes(pair->store_side, pair->daemon_side);
    }
}

static void
on_timer(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    forward_bytes(context);
}

static void
on_read(struct bufferevent *bufev, void *context)
{
    (void)bufev;
    Pair *pair = context;
    if (pair->proxy->fault == PATH_DELAYED) {
        struct timeval delay = {0, DELAY_US};
        event_add(pair->timer, &delay);
        return;
    }
    forward_bytes(pair);
}

static void
on_event(struct bufferevent *bufev, short what, void *context)
{
    (void)bufev;
    Pair *pair = context;
    if ((what & BEV_EVENT_CONNECTED) == 0) {
        g_hash_table_remove(pair->proxy->pairs, pair);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t socket,
          struct sockaddr *address, int length, void *context)
{
    (void)listener;
    (void)address;
    (void)length;
    Proxy *proxy = context;
    if (proxy->fault == PATH_RESET) {
        evutil_closesocket(socket);
        return;
    }
    Pair *pair = g_new0(Pair, 1);
    pair->proxy = proxy;
    pair->timer = evtimer_new(proxy->base, on_timer, pair);
    pair->daemon_side =
        bufferevent_socket_new(proxy->base, socket, BEV_OPT_CLOSE_ON_FREE);
    pair->store_side =
        bufferevent_socket_new(proxy->base, -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(pair->daemon_side, on_read, NULL, on_event, pair);
    bufferevent_setcb(pair->store_side, on_read, NULL, on_event, pair);
    g_hash_table_add(proxy->pairs, pair);
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(proxy->target_port),
                                 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    bufferevent_enable(pair->daemon_side, EV_READ | EV_WRITE);
    bufferevent_enable(pair->store_side, EV_READ | EV_WRITE);
    bufferevent_socket_connect(pair->store_side, (struct sockaddr *)&target,
                               sizeof(target));
}

Proxy *
Proxy_New(struct event_base *base, uint16_t target_port)
{
    Proxy *proxy = g_new0(Proxy, 1);
    proxy->base = base;
    proxy->target_port = target_port;
    proxy->pairs = g_hash_table_new_full(NULL, NULL, free_pair, NULL);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    proxy->listener = evconnlistener_new_bind(
        base, on_accept, proxy, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        (struct sockaddr *)&address, sizeof(address));
    g_assert(proxy->listener != NULL);
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(proxy->listener),
                (struct sockaddr *)&address, &length);
    proxy->port = ntohs(address.sin_port);
    return proxy;
}

void
Proxy_Free(Proxy *proxy)
{
    evconnlistener_free(proxy->listener);
    g_hash_table_destroy(proxy->pairs);
    g_free(proxy);
}

uint16_t
Proxy_Port(const Proxy *proxy)
{
    return proxy->port;
}

void
Proxy_SetFault(Proxy *proxy, PathFault fault)
{
    proxy->fault = fault;
    if (fault == PATH_RESET) {
        g_hash_table_remove_all(proxy->pairs);
        return;
    }
    GHashTableIter iter;
    gpointer pair;
    g_hash_table_iter_init(&iter, proxy->pairs);
    while (g_hash_table_iter_next(&iter, &pair, NULL)) {
        forward_bytes(pair);
    }
}
