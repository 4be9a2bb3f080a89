#include "ebonyhollow/peer_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sodium.h>

#include "clock.h"
#include "peer_link_internal.h"
#include "socket.h"

#define LISTEN_BACKLOG 512
/* If two links to a peer, one dialled by each side, come up within this time,
 * both sides dialled at the same time. */
#define SIMULTANEOUS_DIAL_US 2000000
/* Delay before accepting again after an error, such as a lack of file
 * descriptors. */
#define ACCEPT_RETRY_DELAY_US 100000

static void
free_link(EbPeerLink *link)
{
    g_free(link->dial_address);
    g_free(link->remote_address);
    sodium_memzero(link->send_key, sizeof(link->send_key));
    sodium_memzero(link->receive_key, sizeof(link->receive_key));
    g_free(link);
}

/* Removes a link from the tables and closes its socket. Its memory is freed in
 * the next iteration of the event loop, because one of its callbacks may be
 * running. */
static void
detach_link(EbPeerLink *link)
{
    EbPeerLinks *owner = link->owner;
    if (link->handshake_node != NULL) {
        g_queue_delete_link(&owner->handshakes, link->handshake_node);
        link->handshake_node = NULL;
    }
    if (link->state == EB_LINK_UP) {
        g_hash_table_remove(owner->up, link->peer.instance);
    }
    link->state = EB_LINK_CLOSED;
    event_free(link->handshake_timer);
    bufferevent_free(link->stream);
    link->stream = NULL;
    g_queue_push_tail(&owner->closed, link);
    event_active(owner->free_event, EV_TIMEOUT, 0);
}

static void
free_closed(gpointer link)
{
    free_link(link);
}

static void
on_free_closed(evutil_socket_t socket, short what, void *context)
{
    (void)socket;
    (void)what;
    EbPeerLinks *links = context;
    g_queue_clear_full(&links->closed, free_closed);
}

static void
emit_closed(const EbPeerLink *link, bool was_up, const char *cause,
            bool bad_frame)
{
    const EbEventSink *sink = &link->owner->events;
    if (bad_frame) {
        EB_EMIT(sink, EB_EVENT_PEER_BAD_FRAME,
                EB_STRING_FIELD("address", link->remote_address),
                EB_STRING_FIELD("cause", cause));
    }
    if (was_up) {
        EB_EMIT(sink, EB_EVENT_PEER_LINK_DOWN,
                EB_STRING_FIELD("peer", link->peer.instance),
                EB_STRING_FIELD("address", link->remote_address),
                EB_STRING_FIELD("cause", cause));
    }
}

void
EbPeerLink_Close(EbPeerLink *link, const char *cause, bool bad_frame)
{
    if (link->state == EB_LINK_CLOSED) {
        return;
    }
    const EbPeerLinksOptions *options = &link->owner->options;
    bool was_up = link->state == EB_LINK_UP;
    detach_link(link);
    emit_closed(link, was_up, cause, bad_frame);
    if (was_up) {
        options->link_down(options->context, link->peer.instance);
    }
    else if (link->dialled) {
        options->dial_failed(options->context, link->dial_address,
                             link->refused);
    }
}

/* Returns true if a new link should replace an existing one to the same peer.
 */
static bool
is_preferred(const EbPeerLink *link, const EbPeerLink *existing)
{
    if (link->peer.incarnation != existing->peer.incarnation) {
        return link->peer.incarnation > existing->peer.incarnation;
    }
    bool simultaneous =
        link->dialled != existing->dialled &&
        EbClock_Monotonic() - existing->up_since_us < SIMULTANEOUS_DIAL_US;
    if (simultaneous) {
        bool this_is_lower =
            strcmp(link->owner->instance, link->peer.instance) < 0;
        return link->dialled == this_is_lower;
    }
    /* If this daemon dialled, it knows whether its existing link works, and
     * keeps it. If the peer dialled, this daemon can't tell whether the
     * existing link works, but the peer would not have dialled if it still had
     * that link. */
    return !link->dialled;
}

bool
EbPeerLink_Establish(EbPeerLink *link)
{
    EbPeerLinks *owner = link->owner;
    EbPeerLink *existing = g_hash_table_lookup(owner->up, link->peer.instance);
    if (existing != NULL && !is_preferred(link, existing)) {
        EbPeerLink_Close(link, "another link to the peer was kept", false);
        return false;
    }
    if (existing != NULL) {
        EbPeerLink_Close(existing, "replaced by another link", false);
    }
    g_queue_delete_link(&owner->handshakes, link->handshake_node);
    link->handshake_node = NULL;
    evtimer_del(link->handshake_timer);
    link->state = EB_LINK_UP;
    link->up_since_us = EbClock_Monotonic();
    g_hash_table_insert(owner->up, link->peer.instance, link);
    EB_EMIT(&owner->events, EB_EVENT_PEER_LINK_UP,
            EB_STRING_FIELD("peer", link->peer.instance),
            EB_STRING_FIELD("address", link->remote_address));
    owner->options.link_up(owner->options.context, link->peer.instance,
                           link->peer.incarnation, link->peer.address);
    return link->state == EB_LINK_UP;
}

static void
on_handshake_timeout(evutil_socket_t socket, short what, void *context)
{
    (void)socket;
    (void)what;
    EbPeerLink_Close(context, "handshake timed out", false);
}

static EbPeerLink *
new_link(EbPeerLinks *links, const char *dial_address,
         const char *remote_address)
{
    EbPeerLink *link = g_new0(EbPeerLink, 1);
    link->owner = links;
    link->dialled = dial_address != NULL;
    link->state = link->dialled ? EB_LINK_CONNECTING : EB_LINK_HELLO;
    link->dial_address = g_strdup(dial_address);
    link->remote_address = g_strdup(remote_address);
    g_queue_push_tail(&links->handshakes, link);
    link->handshake_node = links->handshakes.tail;
    link->handshake_timer =
        evtimer_new(links->options.base, on_handshake_timeout, link);
    const struct timeval timeout =
        EbClock_Timeval(EB_PEER_HANDSHAKE_TIMEOUT_US);
    evtimer_add(link->handshake_timer, &timeout);
    return link;
}

/* Writes "host:port" or "[host]:port". */
static char *
format_address(const struct sockaddr *address)
{
    char host[INET6_ADDRSTRLEN] = "";
    if (address->sa_family == AF_INET6) {
        const struct sockaddr_in6 *ipv6 = (const void *)address;
        inet_ntop(AF_INET6, &ipv6->sin6_addr, host, sizeof(host));
        return g_strdup_printf("[%s]:%u", host, ntohs(ipv6->sin6_port));
    }
    const struct sockaddr_in *ipv4 = (const void *)address;
    inet_ntop(AF_INET, &ipv4->sin_addr, host, sizeof(host));
    return g_strdup_printf("%s:%u", host, ntohs(ipv4->sin_port));
}

/* Closes the oldest accepted connection if there are too many handshakes, so
 * that silent connections can't keep daemons out. */
static void
drop_oldest_handshake(EbPeerLinks *links)
{
    uint32_t accepted = 0;
    EbPeerLink *oldest = NULL;
    for (GList *node = links->handshakes.head; node != NULL;
         node = node->next) {
        EbPeerLink *link = node->data;
        if (!link->dialled) {
            oldest = oldest == NULL ? link : oldest;
            accepted++;
        }
    }
    if (oldest != NULL && accepted >= links->options.max_handshakes) {
        EbPeerLink_Close(oldest, "too many handshakes", false);
    }
}

static void
on_accept(struct evconnlistener *listener, evutil_socket_t socket,
          struct sockaddr *address, int address_bytes, void *context)
{
    (void)listener;
    (void)address_bytes;
    EbPeerLinks *links = context;
    drop_oldest_handshake(links);
    struct bufferevent *stream = bufferevent_socket_new(
        links->options.base, socket, BEV_OPT_CLOSE_ON_FREE);
    if (stream == NULL) {
        evutil_closesocket(socket);
        return;
    }
    EbSocket_SetNoDelay(socket);
    EbSocket_SetUserTimeout(socket);
    char *remote_address = format_address(address);
    EbPeerLink_Start(new_link(links, NULL, remote_address), stream);
    g_free(remote_address);
}

static void
on_accept_error(struct evconnlistener *listener, void *context)
{
    EbPeerLinks *links = context;
    const struct timeval delay = {0, ACCEPT_RETRY_DELAY_US};
    evconnlistener_disable(listener);
    evtimer_add(links->accept_retry_timer, &delay);
}

static void
on_accept_retry(evutil_socket_t socket, short what, void *context)
{
    (void)socket;
    (void)what;
    EbPeerLinks *links = context;
    evconnlistener_enable(links->listener);
}

static bool
parse_address(const char *text, struct sockaddr_storage *address,
              int *address_bytes)
{
    *address_bytes = sizeof(*address);
    memset(address, 0, sizeof(*address));
    return evutil_parse_sockaddr_port(text, (struct sockaddr *)address,
                                      address_bytes) == 0;
}

static bool
open_listener(EbPeerLinks *links, const EbAddress *listen, EbError *error)
{
    char *text = g_strdup_printf(strchr(listen->host, ':') != NULL ? "[%s]:%u"
                                                                   : "%s:%u",
                                 listen->host, listen->port);
    struct sockaddr_storage address;
    int address_bytes;
    /* libevent does not accept port 0 in the text form. */
    bool parsed = parse_address(listen->port != 0 ? text : listen->host,
                                &address, &address_bytes);
    if (parsed) {
        links->listener = evconnlistener_new_bind(
            links->options.base, on_accept, links,
            LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
            LISTEN_BACKLOG, (struct sockaddr *)&address, address_bytes);
    }
    if (links->listener == NULL) {
        EbError_Set(error, EB_ERROR_IO, "cannot listen on %s: %s", text,
                    parsed
                        ? evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR())
                        : "not an address");
        g_free(text);
        return false;
    }
    g_free(text);
    evconnlistener_set_error_cb(links->listener, on_accept_error);
    socklen_t bound_bytes = sizeof(address);
    getsockname(evconnlistener_get_fd(links->listener),
                (struct sockaddr *)&address, &bound_bytes);
    links->address = format_address((struct sockaddr *)&address);
    links->port =
        (uint16_t)strtoul(strrchr(links->address, ':') + 1, NULL, 10);
    return true;
}

EbPeerLinks *
EbPeerLinks_New(const EbPeerLinksOptions *options, EbError *error)
{
    if (strlen(options->instance) > EB_MESSAGE_MAX_NAME_BYTES ||
        options->instance[0] == '\0') {
        EbError_Set(error, EB_ERROR_LIMIT,
                    "the instance name is empty or too long");
        return NULL;
    }
    EbPeerLinks *links = g_new0(EbPeerLinks, 1);
    links->options = *options;
    if (links->options.max_output_bytes == 0) {
        links->options.max_output_bytes = EB_PEER_OUTPUT_MAX_BYTES;
    }
    if (links->options.max_handshakes == 0) {
        links->options.max_handshakes = EB_PEER_HANDSHAKES_MAX;
    }
    if (options->events != NULL) {
        links->events = *options->events;
    }
    links->instance = g_strdup(options->instance);
    memcpy(links->key, options->key, sizeof(links->key));
    links->up = g_hash_table_new(g_str_hash, g_str_equal);
    g_queue_init(&links->handshakes);
    g_queue_init(&links->closed);
    links->free_event = event_new(options->base, -1, 0, on_free_closed, links);
    links->accept_retry_timer =
        evtimer_new(options->base, on_accept_retry, links);
    if (sodium_init() < 0 || !open_listener(links, options->listen, error)) {
        EbPeerLinks_Free(links);
        return NULL;
    }
    if (options->address != NULL) {
        g_free(links->address);
        links->address = g_strdup(options->address);
    }
    return links;
}

void
EbPeerLinks_Free(EbPeerLinks *links)
{
    if (links == NULL) {
        return;
    }
    EbPeerLink *link;
    while ((link = g_queue_peek_head(&links->handshakes)) != NULL) {
        detach_link(link);
    }
    GList *up = g_hash_table_get_values(links->up);
    for (GList *node = up; node != NULL; node = node->next) {
        detach_link(node->data);
    }
    g_list_free(up);
    g_queue_clear_full(&links->closed, free_closed);
    g_hash_table_destroy(links->up);
    if (links->listener != NULL) {
        evconnlistener_free(links->listener);
    }
    event_free(links->accept_retry_timer);
    event_free(links->free_event);
    sodium_memzero(links->key, sizeof(links->key));
    g_free(links->instance);
    g_free(links->address);
    g_free(links);
}

static bool
is_dialled_or_linked(const EbPeerLinks *links, const char *address)
{
    for (GList *node = links->handshakes.head; node != NULL;
         node = node->next) {
        const EbPeerLink *link = node->data;
        if (link->dialled && strcmp(link->dial_address, address) == 0) {
            return true;
        }
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, links->up);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        if (strcmp(((const EbPeerLink *)value)->peer.address, address) == 0) {
            return true;
        }
    }
    return false;
}

void
EbPeerLinks_Connect(EbPeerLinks *links, const char *address)
{
    if (is_dialled_or_linked(links, address)) {
        return;
    }
    struct sockaddr_storage target;
    int target_bytes;
    struct bufferevent *stream = NULL;
    if (parse_address(address, &target, &target_bytes)) {
        stream = bufferevent_socket_new(links->options.base, -1,
                                        BEV_OPT_CLOSE_ON_FREE);
    }
    if (stream == NULL) {
        links->options.dial_failed(links->options.context, address, false);
        return;
    }
    EbPeerLink *link = new_link(links, address, address);
    EbPeerLink_Start(link, stream);
    EVUTIL_SET_SOCKET_ERROR(0);
    if (bufferevent_socket_connect(stream, (struct sockaddr *)&target,
                                   target_bytes) != 0) {
        EbPeerLink_Close(link, "connect failed", false);
    }
    else if (link->state != EB_LINK_CLOSED) {
        /* A refusal within the call is reported by an event, which comes
         * without the socket's error. */
        link->refused = EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
        EbSocket_SetNoDelay(bufferevent_getfd(stream));
        EbSocket_SetUserTimeout(bufferevent_getfd(stream));
    }
}

bool
EbPeerLinks_Send(EbPeerLinks *links, const char *peer, const uint8_t *bytes,
                 size_t byte_count)
{
    EbPeerLink *link = g_hash_table_lookup(links->up, peer);
    return link != NULL && EbPeerLink_SendFrame(link, bytes, byte_count);
}

void
EbPeerLinks_Close(EbPeerLinks *links, const char *peer)
{
    EbPeerLink *link = g_hash_table_lookup(links->up, peer);
    if (link != NULL) {
        EbPeerLink_Close(link, "closed by this daemon", false);
    }
}

void
EbPeerLinks_SetIncarnation(EbPeerLinks *links, uint64_t incarnation)
{
    links->options.incarnation = incarnation;
}

uint16_t
EbPeerLinks_Port(const EbPeerLinks *links)
{
    return links->port;
}

const char *
EbPeerLinks_Address(const EbPeerLinks *links)
{
    return links->address;
}

size_t
EbPeerLinks_Count(const EbPeerLinks *links)
{
    return g_hash_table_size(links->up);
}
