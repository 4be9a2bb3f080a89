/* Stand-ins for the review's scripts: the platform's store, backend servers,
 * clients, and the start and end of daemons. One thread for each connection;
 * every address is a loopback address. */
#ifndef REVIEW_HARNESS_H
#define REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_HEADERS 64

/* A message that was read from a connection. */
typedef struct {
    char method[16];
    char path[1024]; /* with the query */
    int status;
    char names[MAX_HEADERS][64];
    char values[MAX_HEADERS][1024];
    int header_count;
    char *body; /* terminated; free it with message_clear */
    size_t body_bytes;
    bool complete; /* false: the connection ended first */
} Message;

const char *message_header(const Message *message, const char *name);
void message_clear(Message *message);

/* Time since the start of the program, in milliseconds. */
int64_t now_ms(void);
void sleep_ms(int64_t duration_ms);

/* Writes a line with the time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Starts the store, opens the record and makes a temporary folder. Returns
 * whether the run has its disruption, that is, TROUBLE is not 0. */
bool harness_start(const char *record_path);

/* Ends all daemons, removes the temporary folder and exits. 0: the rule held,
 * 1: it was broken, 2: the case could not run. */
void harness_exit(int status) __attribute__((noreturn));

/* Writes an object of the store, or removes it when `spec` is NULL. */
void store_put(const char *kind, const char *name, const char *spec);

typedef struct Server Server;

/* Handles one request at a server. Writes the response to `fd`. Returns
 * whether the connection stays open. */
typedef bool (*Handler)(Server *server, const Message *request, int fd);

struct Server {
    char id[32];
    char service[32];
    char zone[32];
    int slots;
    int port;
    Handler handler;
};

/* Listens on a free port. */
void server_listen(Server *server);

/* Writes the server's entry to the store. */
void server_register(const Server *server, const char *state);

/* Writes a response with the given header lines, each ended by CRLF. */
void respond(int fd, int status, const char *headers, const char *body);

/* Writes 200 with the request's id, a seal and a body that contains both. */
void respond_done(const Server *server, const Message *request, int fd);

typedef struct {
    char name[32];
    int front_port;
    int ready_port;
    int control_port;
    pid_t pid;
} Daemon;

/* Writes the settings files of daemons in zones of their own. */
void daemons_prepare(Daemon *daemons, int count);

/* Starts a daemon with the command of the deploy file. */
void daemon_start(Daemon *daemon);

/* Waits until a daemon reports that it is ready. Exits with 2 if it doesn't.
 */
void daemon_await_ready(const Daemon *daemon);

/* Returns whether the process has ended by itself. */
bool daemon_has_ended(Daemon *daemon, int *wait_status);

/* Connects to a port. Returns -1 when that fails. */
int client_connect(int port);
bool client_send(int fd, const char *text);

/* Reads a response, at most until the time limit. */
bool client_read(int fd, Message *response, int64_t timeout_ms);

int free_port(void);

#endif
