#include "resetting_server.h"

#include <string.h>
#include <unistd.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <CUnit/CUnit.h>
#include <event2/event.h>
#include <event2/listener.h>

static void
reset_connection(evutil_socket_t fd, short what, void *context)
{
    (void)fd;
    (void)what;
    ResettingServer *server = context;
    struct linger linger = {.l_onoff = 1, .l_linger = 0};
    setsockopt(server->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(server->fd);
    server->fd = -1;
}

static void
read_rest(evutil_socket_t fd, short what, void *context)
{
    (void)what;
    const ResettingServer *server = context;
    char bytes[65536];
    if (recv(fd, bytes, sizeof(bytes), 0) <= 0) {
        event_del(server->event);
    }
}

static void
answer_call(evutil_socket_t fd, short what, void *context)
{
    (void)what;
    ResettingServer *server = context;
    char bytes[4096];
    if (server->reads_first) {
        CU_ASSERT_TRUE(recv(fd, bytes, sizeof(bytes), 0) > 0);
    }
    ssize_t length = (ssize_t)strlen(server->response);
    CU_ASSERT_EQUAL(send(fd, server->response, (size_t)length, MSG_NOSIGNAL),
                    length);
    if (server->half_closes) {
        shutdown(fd, SHUT_WR);
    }
    event_free(server->event);
    if (server->takes_rest) {
        server->event = event_new(server->base, fd, EV_READ | EV_PERSIST,
                                  read_rest, server);
        event_add(server->event, NULL);
        return;
    }
    server->event = evtimer_new(server->base, reset_connection, server);
    struct timeval delay = {.tv_usec = server->reset_delay_us};
    evtimer_add(server->event, &delay);
}

static void
accept_call(struct evconnlistener *listener, evutil_socket_t fd,
            struct sockaddr *address, int length, void *context)
{
    (void)listener;
    (void)address;
    (void)length;
    ResettingServer *server = context;
    server->fd = fd;
    server->event = event_new(server->base, fd, EV_READ, answer_call, server);
    event_add(server->event, NULL);
}

void
ResettingServer_Open(ResettingServer *server, struct event_base *base)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    server->base = base;
    server->fd = -1;
    server->event = NULL;
    server->listener = evconnlistener_new_bind(
        base, accept_call, server, LEV_OPT_CLOSE_ON_FREE, 1,
        (struct sockaddr *)&address, sizeof(address));
    CU_ASSERT_PTR_NOT_NULL_FATAL(server->listener);
    getsockname(evconnlistener_get_fd(server->listener),
                (struct sockaddr *)&address, &length);
    server->port = ntohs(address.sin_port);
}

void
ResettingServer_Close(ResettingServer *server)
{
    if (server->event != NULL) {
        event_free(server->event);
    }
    evconnlistener_free(server->listener);
    if (server->fd >= 0) {
        close(server->fd);
    }
}
