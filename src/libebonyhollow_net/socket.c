#include "socket.h"

#include <assert.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <xxhash.h>

#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 1000
/* Events have the lower one unless it is set; see EbClientGuard. */
#define EVENT_PRIORITIES 2

struct event_base *
EbSocket_NewEventBase(void)
{
    struct event_config *config = event_config_new();
    assert(config != NULL);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    struct event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    assert(base != NULL);
    event_base_priority_init(base, EVENT_PRIORITIES);
    return base;
}

int
EbSocket_ParseAddress(const char *host, uint16_t port,
                      struct sockaddr_storage *address)
{
    *address = (struct sockaddr_storage){0};
    struct sockaddr_in *v4 = (struct sockaddr_in *)address;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
    if (inet_pton(AF_INET, host, &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(port);
        return sizeof(*v4);
    }
    if (inet_pton(AF_INET6, host, &v6->sin6_addr) == 1) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(port);
        return sizeof(*v6);
    }
    return 0;
}

uint16_t
EbSocket_Port(evutil_socket_t socket)
{
    struct sockaddr_storage storage = {0};
    socklen_t length = sizeof(storage);
    getsockname(socket, (struct sockaddr *)&storage, &length);
    return ntohs(storage.ss_family == AF_INET6
                     ? ((struct sockaddr_in6 *)&storage)->sin6_port
                     : ((struct sockaddr_in *)&storage)->sin_port);
}

uint64_t
EbSocket_HashAddress(const struct sockaddr *address, int length)
{
    if (address == NULL || length <= 0) {
        return 0;
    }
    if (address->sa_family == AF_INET6) {
        const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
        return XXH3_64bits(&v6->sin6_addr, sizeof(v6->sin6_addr));
    }
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
    return XXH3_64bits(&v4->sin_addr, sizeof(v4->sin_addr));
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
    int idle_s = KEEPALIVE_IDLE_S;
    int interval_s = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    if (socket >= 0) {
        setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                   sizeof(interval_s));
        setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    }
}

void
EbSocket_SetUserTimeout(evutil_socket_t socket)
{
    unsigned timeout_ms = USER_TIMEOUT_MS;
    if (socket >= 0) {
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                   sizeof(timeout_ms));
    }
}
