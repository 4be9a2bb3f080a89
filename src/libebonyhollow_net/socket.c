#include "socket.h"

#include <assert.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#define PROBE_AFTER_S 1
#define PROBE_INTERVAL_S 1
#define PROBES 2

struct event_base *
EbSocket_NewBase(void)
{
    struct event_config *config = event_config_new();
    assert(config != NULL);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    struct event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    assert(base != NULL);
    return base;
}

void
EbSocket_SetNoDelay(evutil_socket_t socket)
{
    int on = 1;
    if (socket >= 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
}

void
EbSocket_SetKeepAlive(evutil_socket_t socket)
{
    int on = 1;
    int after_s = PROBE_AFTER_S;
    int interval_s = PROBE_INTERVAL_S;
    int probes = PROBES;
    if (socket >= 0) {
        setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &after_s,
                   sizeof(after_s));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                   sizeof(interval_s));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    }
}
