/* Opens connections that misbehave in one form and holds them.
 *
 * Usage: crowd HOST:PORT FORM PATH COUNT
 *
 * The requests carry the bearer token of the variable CROWD_TOKEN.
 *
 * Prints "held" when no connection makes progress any more. At the end of its
 * own input, or after three minutes, it reads the answers that are there,
 * prints "refused ID" for each request that was refused with 429 or 503, and
 * ends. */
#define _GNU_SOURCE /* memmem */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "crowd.h"

#define MAX_CONNECTIONS 1024
#define QUIET_MS 1500     /* without progress: held */
#define MAX_BUSY_MS 60000 /* held also after this long with progress */
#define MAX_MS 180000     /* until the end */
#define RECONNECTS 20     /* of each connection that closes */
#define SLOW_READ_MS 1000

typedef struct {
    int fd; /* -1: closed */
    char id[64];
    char *bytes;
    size_t length;
    size_t sent;
    char answer[256]; /* the beginning */
    size_t answer_bytes;
    int reconnects;
} Connection;

static Connection connections[MAX_CONNECTIONS];
static struct sockaddr_in address;
static const CrowdForm *form;
static const char *path;

static int64_t
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static void
open_connection(Connection *connection)
{
    connection->sent = 0;
    connection->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    /* Connecting on loopback doesn't wait unless the backlog is full. */
    if (connect(connection->fd, (struct sockaddr *)&address,
                sizeof(address)) != 0) {
        close(connection->fd);
        connection->fd = -1;
        return;
    }
    fcntl(connection->fd, F_SETFL, O_NONBLOCK);
}

static void
close_connection(Connection *connection)
{
    close(connection->fd);
    connection->fd = -1;
}

static void
finish_output(Connection *connection)
{
    if (form->end == CROWD_HALF_CLOSES) {
        shutdown(connection->fd, SHUT_WR);
    }
    else if (form->end == CROWD_CLOSES) {
        close_connection(connection);
        if (connection->reconnects++ < RECONNECTS) {
            open_connection(connection);
        }
    }
}

static bool
write_piece(Connection *connection)
{
    size_t left = connection->length - connection->sent;
    size_t piece = form->piece_bytes != 0 && form->piece_bytes < left
                       ? form->piece_bytes
                       : left;
    ssize_t sent = send(connection->fd, connection->bytes + connection->sent,
                        piece, MSG_NOSIGNAL);
    if (sent < 0) {
        if (errno != EAGAIN && form->end == CROWD_READS_NONE) {
            close_connection(connection);
        }
        else if (errno != EAGAIN) {
            connection->length =
                connection->sent; /* its answer may be there */
        }
        return false;
    }
    connection->sent += (size_t)sent;
    if (connection->sent == connection->length) {
        finish_output(connection);
    }
    return true;
}

static bool
read_answer(Connection *connection, size_t limit)
{
    char bytes[65536];
    ssize_t got = recv(connection->fd, bytes,
                       limit < sizeof(bytes) ? limit : sizeof(bytes), 0);
    if (got <= 0) {
        if (got == 0 || errno != EAGAIN) {
            close_connection(connection);
        }
        return false;
    }
    size_t room = sizeof(connection->answer) - 1 - connection->answer_bytes;
    size_t kept = (size_t)got < room ? (size_t)got : room;
    memcpy(connection->answer + connection->answer_bytes, bytes, kept);
    connection->answer_bytes += kept;
    return true;
}

/* Lets every connection go on once. Returns whether one made progress. */
static bool
go_on(int count, bool read_slow)
{
    struct pollfd polls[MAX_CONNECTIONS];
    bool progress = false;
    bool reads = form->end != CROWD_READS_NONE &&
                 (form->end != CROWD_READS_SLOWLY || read_slow);
    for (int i = 0; i < count; i++) {
        bool writes = connections[i].sent < connections[i].length;
        polls[i] = (struct pollfd){
            .fd = connections[i].fd,
            .events = (short)((writes ? POLLOUT : 0) | (reads ? POLLIN : 0))};
    }
    poll(polls, (nfds_t)count, 20);
    for (int i = 0; i < count; i++) {
        Connection *connection = &connections[i];
        if (connection->fd >= 0 && (polls[i].revents & POLLIN) != 0 && reads) {
            progress |= read_answer(connection, form->end == CROWD_READS_SLOWLY
                                                    ? 1
                                                    : sizeof(polls));
        }
        if (connection->fd >= 0 &&
            (polls[i].revents & (POLLOUT | POLLERR | POLLHUP)) != 0 &&
            connection->sent < connection->length) {
            progress |= write_piece(connection);
        }
    }
    return progress;
}

static bool
input_has_ended(void)
{
    char byte;
    struct pollfd input = {.fd = STDIN_FILENO, .events = POLLIN};
    return poll(&input, 1, 0) > 0 && read(STDIN_FILENO, &byte, 1) <= 0;
}

static void
run(int count)
{
    int64_t start = now_ms();
    int64_t progress = start;
    int64_t slow_read = start;
    bool held = false;
    while (now_ms() < start + MAX_MS && !input_has_ended()) {
        bool read_slow = now_ms() > slow_read + SLOW_READ_MS;
        if (read_slow) {
            slow_read = now_ms();
        }
        if (go_on(count, read_slow) && form->end != CROWD_READS_SLOWLY) {
            progress = now_ms();
        }
        if (!held && (now_ms() > progress + QUIET_MS ||
                      now_ms() > start + MAX_BUSY_MS)) {
            held = true;
            printf("held\n");
            fflush(stdout);
        }
    }
}

static void
report(const Connection *connection)
{
    if (strncmp(connection->answer, "HTTP/1.1 503", 12) == 0 ||
        strncmp(connection->answer, "HTTP/1.1 429", 12) == 0) {
        printf("refused %s\n", connection->id);
    }
    if (connection->answer_bytes > 0) {
        printf("answer %.12s\n", connection->answer);
    }
}

int
main(int argc, char **argv)
{
    char *colon = argc == 5 ? strrchr(argv[1], ':') : NULL;
    form = argc == 5 ? Crowd_FindForm(argv[2]) : NULL;
    int count = argc == 5 ? atoi(argv[4]) : 0;
    if (colon == NULL || form == NULL || count < 1 ||
        count > MAX_CONNECTIONS) {
        fprintf(stderr, "Usage: crowd HOST:PORT FORM PATH COUNT\n");
        return 2;
    }
    *colon = '\0';
    path = argv[3];
    signal(SIGPIPE, SIG_IGN);
    address = (struct sockaddr_in){
        .sin_family = AF_INET, .sin_port = htons((uint16_t)atoi(colon + 1))};
    inet_pton(AF_INET, argv[1], &address.sin_addr);
    for (int i = 0; i < count; i++) {
        Connection *connection = &connections[i];
        snprintf(connection->id, sizeof(connection->id), "%s-%d-%d",
                 form->name, (int)getpid(), i);
        connection->length =
            form->make(path, connection->id, &connection->bytes);
        open_connection(connection);
    }
    run(count);
    for (int i = 0; i < count; i++) {
        report(&connections[i]);
        free(connections[i].bytes);
    }
    return 0;
}
