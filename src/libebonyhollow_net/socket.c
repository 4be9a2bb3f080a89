#include "socket.h"

#include <assert.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
