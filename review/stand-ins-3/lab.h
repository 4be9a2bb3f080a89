/* Stand-ins for the users' platform, backend servers and clients, and the
 * start of the project's daemons, for the scripts in review/11 and later.
 *
 * Everything runs in one process with a thread for each connection; only the
 * daemons are processes of their own. All addresses are loopback addresses.
 * Functions end the program with status 2 if the case can't run. */
#ifndef LAB_H
#define LAB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LAB_MAX_TEXT 65536

/* Milliseconds since lab_begin on the steady clock. */
int64_t lab_now(void);
void lab_sleep(int64_t ms);

/* Opens FOLDER/record.txt and sets the time limit of the whole script. */
void lab_begin(const char *folder, int seconds);
/* Writes a line with the time. */
void lab_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Ends all daemons and the program. Status 1: the rule was broken. */
void lab_end(int status) __attribute__((noreturn));
void lab_fail(const char *why) __attribute__((noreturn));
/* Whether the disruption is to take place: false with TROUBLE=0. */
bool lab_trouble(void);

/* A message as it was read. Texts are terminated. */
typedef struct {
    int status; /* of an answer */
    char method[16];
    char target[1024];
    char head[LAB_MAX_TEXT]; /* header lines, each after "\r\n" */
    char *body;
    size_t body_bytes;
    bool complete; /* false: the connection ended before */
} LabMessage;

/* Copies the value of a header; "" if there is none. */
void lab_header(const LabMessage *message, const char *name, char *value,
                size_t value_bytes);

/* The platform's store: lists, single objects, watches, conditional writes. */
void lab_store_start(void);
int lab_store_port(void);
/* How old the data is that calls with `serializable` get. */
extern int64_t lab_store_age_ms;
/* Called, while the store is locked, for each list and each change; NULL: not.
 */
extern void (*lab_store_listed)(const char *kind, bool stale,
                                const char *list);
extern void (*lab_store_written)(const char *kind, const char *name,
                                 bool removed);
/* What the operator and the servers write. Returns when it is acknowledged. */
void lab_store_put(const char *kind, const char *name, const char *spec);

/* A backend server. */
typedef struct LabServer LabServer;
typedef struct {
    LabServer *server;
    int fd;
} LabConnection;
struct LabServer {
    char id[32];
    char service[32];
    int slots;
    /* Answers a request that isn't a health check and was meant for this
     * server. Returns whether the connection is kept. */
    bool (*run)(LabConnection *connection, const LabMessage *request);
    int port;
    int64_t born_ms;
    int listener;
    int fds[1024]; /* open connections */
    int fd_count;
    bool down;
    pthread_mutex_t mutex;
};
/* Starts a server at a free port and writes its entry. */
void lab_server_start(LabServer *server);
/* Writes the entry, with the state `ready` or `draining`. */
void lab_server_report(LabServer *server, const char *state);
/* Resets all connections and stops to listen. Returns false if the server was
 * down already. */
bool lab_server_crash(LabServer *server);
/* Listens again, as a new start under the same id. */
void lab_server_restart(LabServer *server);
/* Writes an answer; `extra` holds further header lines, each with its CRLF. */
bool lab_answer(LabConnection *connection, const LabMessage *request,
                int status, const char *extra, const char *body);
/* Writes a stream of `events` events with a pause before each, or what is left
 * of it if the request resumes it. */
bool lab_stream(LabConnection *connection, const LabMessage *request,
                int events, int pause_ms);

/* Daemons */
#define LAB_MAX_DAEMONS 16
/* Writes the settings of `count` machines. With `live_seeds` the seeds are the
 * first three of them; otherwise three machines that are down. */
void lab_daemons_prepare(int count, bool live_seeds);
void lab_daemon_start(int index);
/* Waits until the machine says that it is ready. */
void lab_daemon_wait(int index);

/* A client attempt at a daemon, on a new connection, with an id of its own. */
typedef struct {
    int daemon;
    const char *method;
    const char *path;
    const char *headers; /* further header lines, each with its CRLF */
    const char *body;
    int deadline_ms;
} LabAttempt;
/* Sends it, and writes its id to `id`. Returns the status; 0: the connection
 * ended without an answer; -1: no whole answer at the deadline. */
int lab_attempt(const LabAttempt *attempt, char id[32], bool *complete);
void lab_thread(void *(*function)(void *), void *argument);

#endif
