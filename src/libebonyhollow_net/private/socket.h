/* EbSocket: options of TCP sockets and of the event loop. */
#ifndef EB_SOCKET_H
#define EB_SOCKET_H

#include <stdint.h>

#include <event2/event.h>
#include <event2/util.h>

/* Makes an event loop whose timers are exact to the millisecond. libevent's
 * default reads a coarse clock that advances every 4 ms on common kernels,
 * longer than a fast stage. */
struct event_base *EbSocket_NewEventBase(void);

/* Fills in the address of an IP address and a port.
 *
 * Returns its length, or 0 when the host is no IP address. Port 0 is allowed,
 * unlike in libevent's parser. */
int EbSocket_ParseAddress(const char *host, uint16_t port,
                          struct sockaddr_storage *address);

/* Returns the port to which a socket is bound. */
uint16_t EbSocket_Port(evutil_socket_t socket);

/* Sends small writes at once. Without it a token waits for the receiver's
 * delayed acknowledgement of the one before, about 40 ms. Sockets accepted by
 * a listener inherit the option from it. A negative socket is ignored. */
void EbSocket_SetNoDelay(evutil_socket_t socket);

/* Ends a connection whose sent bytes are not acknowledged for about a second:
 * its peer has lost its power or its path. A negative socket is ignored. */
void EbSocket_SetUserTimeout(evutil_socket_t socket);

/* Has the kernel probe an idle connection, so that one whose path was lost
 * without a reset ends within about three seconds. A negative socket is
 * ignored. */
void EbSocket_SetKeepAlive(evutil_socket_t socket);

#endif
