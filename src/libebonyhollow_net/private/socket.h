/* EbSocket: TCP socket options, IP addresses and the event loop. */
#ifndef EB_SOCKET_H
#define EB_SOCKET_H

#include <stdint.h>

#include <event2/event.h>
#include <event2/util.h>

/* Creates an event loop whose timers are accurate to the millisecond. By
 * default libevent reads a coarse clock that advances every 4 ms on common
 * kernels, which is longer than a fast stage takes. Events have the lower of
 * two priorities; those with priority 0 run before all others. */
struct event_base *EbSocket_NewEventBase(void);

/* Fills in the socket address for an IP address and a port.
 *
 * Returns the length of the socket address, or 0 if the host is not an IP
 * address. Port 0 is allowed, unlike in libevent's parser. */
int EbSocket_ParseAddress(const char *host, uint16_t port,
                          struct sockaddr_storage *address);

/* Returns the port to which a socket is bound. */
uint16_t EbSocket_Port(evutil_socket_t socket);

/* Sends small writes without delay (TCP_NODELAY). Otherwise each token waits
 * for the receiver's delayed acknowledgement of the previous one, about 40 ms.
 * Accepted sockets inherit the option from their listener. A negative socket
 * is ignored. */
void EbSocket_SetNoDelay(evutil_socket_t socket);

/* Breaks a connection whose sent data is not acknowledged for about a second
 * (TCP_USER_TIMEOUT), because the peer lost its power or its network path. A
 * negative socket is ignored. */
void EbSocket_SetUserTimeout(evutil_socket_t socket);

/* Makes the kernel probe an idle connection (SO_KEEPALIVE), so that it breaks
 * within about three seconds if its network path is lost without a reset. A
 * negative socket is ignored. */
void EbSocket_SetKeepAlive(evutil_socket_t socket);

/* Returns a hash of an IP address without its port; 0 for NULL. */
uint64_t EbSocket_HashAddress(const struct sockaddr *address, int length);

#endif
