/* Tests of socket options. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "socket.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

static int
read_no_delay(int socket_fd)
{
    int on = -1;
    socklen_t bytes = sizeof(on);
    getsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &on, &bytes);
    return on;
}

/* Guards against accepted sockets that do not inherit TCP_NODELAY from their
 * listener, so that tokens wait about 40 ms for a delayed acknowledgement. */
static void
test_no_delay(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t bytes = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL_FATAL(
        bind(listener, (struct sockaddr *)&address, sizeof(address)), 0);
    CU_ASSERT_EQUAL_FATAL(listen(listener, 1), 0);
    EbSocket_SetNoDelay(listener);
    getsockname(listener, (struct sockaddr *)&address, &bytes);
    int client = socket(AF_INET, SOCK_STREAM, 0);
    CU_ASSERT_EQUAL(read_no_delay(client), 0);
    CU_ASSERT_EQUAL_FATAL(
        connect(client, (struct sockaddr *)&address, sizeof(address)), 0);
    int accepted = accept(listener, NULL, NULL);
    CU_ASSERT_NOT_EQUAL(read_no_delay(accepted), 0);
    EbSocket_SetNoDelay(client);
    CU_ASSERT_NOT_EQUAL(read_no_delay(client), 0);
    EbSocket_SetNoDelay(-1);
    close(accepted);
    close(client);
    close(listener);
}

int
main(void)
{
    static const EbTestCase cases[] = {{"no delay", test_no_delay}};
    return EbTest_Run("test_socket", cases, TABLE_COUNT(cases));
}
