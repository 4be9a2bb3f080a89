#include "lab.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#define STACK_BYTES ((size_t)1024 * 1024)
#define HOST "127.0.0.1"
#define MAX_OBJECTS 256
#define MAX_CHANGES 4096
#define READY_LIMIT_MS 15000
#define STORE_ANSWER_MS 4 /* as the users' sheets have it */

static int64_t start_ms;
static int time_limit_s;
static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms(clockid_t id)
{
    struct timespec now;
    clock_gettime(id, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
lab_now(void)
{
    return clock_ms(CLOCK_MONOTONIC) - start_ms;
}

void
lab_sleep(int64_t ms)
{
    if (ms > 0) {
        struct timespec pause = {ms / 1000, ms % 1000 * 1000000};
        nanosleep(&pause, NULL);
    }
}

void
lab_record(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    pthread_mutex_lock(&record_mutex);
    fprintf(record, "%8.3f s  ", (double)lab_now() / 1000);
    vfprintf(record, format, arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_mutex);
    va_end(arguments);
}

bool
lab_trouble(void)
{
    const char *text = getenv("TROUBLE");
    return text == NULL || strcmp(text, "0") != 0;
}

void
lab_thread(void *(*function)(void *), void *argument)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    if (pthread_create(&thread, &attributes, function, argument) != 0) {
        lab_fail("no thread");
    }
    pthread_attr_destroy(&attributes);
}

static void *
watch_time(void *argument)
{
    const int *seconds = argument;
    lab_sleep((int64_t)*seconds * 1000);
    lab_fail("the time is over");
}

void
lab_begin(const char *folder, int seconds)
{
    char path[1024];
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    if (record == NULL) {
        fprintf(stderr, "cannot write %s\n", path);
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    start_ms = clock_ms(CLOCK_MONOTONIC);
    time_limit_s = seconds;
    lab_thread(watch_time, &time_limit_s);
    lab_record("trouble: %s", lab_trouble() ? "yes" : "no");
}

/* Sockets */

static int
listen_at(int port)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, HOST, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
        lab_fail("cannot listen");
    }
    return fd;
}

static int
port_of(int fd)
{
    struct sockaddr_in address;
    socklen_t length = sizeof(address);
    getsockname(fd, (struct sockaddr *)&address, &length);
    return ntohs(address.sin_port);
}

static int
free_port(void)
{
    int fd = listen_at(0);
    int port = port_of(fd);
    close(fd);
    return port;
}

static int
connect_to(int port)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, HOST, &address.sin_addr);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static bool
send_all(int fd, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

static bool
send_text(int fd, const char *text)
{
    return send_all(fd, text, strlen(text));
}

/* Reads one byte before `end_ms`; 0: without a limit. */
static int
read_byte(int fd, int64_t end_ms)
{
    unsigned char byte;
    if (end_ms > 0) {
        struct pollfd waiting = {.fd = fd, .events = POLLIN};
        int64_t left_ms = end_ms - lab_now();
        if (left_ms <= 0 || poll(&waiting, 1, (int)left_ms) <= 0) {
            return -2;
        }
    }
    return recv(fd, &byte, 1, 0) == 1 ? byte : -1;
}

/* Reads until `ending`. Returns 0, or what read_byte returned instead. */
static int
read_until(int fd, const char *ending, char *text, size_t text_bytes,
           int64_t end_ms)
{
    size_t length = 0;
    size_t ending_bytes = strlen(ending);
    while (length + 1 < text_bytes) {
        int byte = read_byte(fd, end_ms);
        if (byte < 0) {
            return byte;
        }
        text[length++] = (char)byte;
        text[length] = '\0';
        if (length >= ending_bytes &&
            strcmp(text + length - ending_bytes, ending) == 0) {
            return 0;
        }
    }
    return -1;
}

void
lab_header(const LabMessage *message, const char *name, char *value,
           size_t value_bytes)
{
    size_t name_bytes = strlen(name);
    const char *line = message->head;
    value[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, name_bytes) == 0 &&
            line[name_bytes] == ':') {
            const char *start = line + name_bytes + 1;
            start += strspn(start, " ");
            size_t length = strcspn(start, "\r\n");
            length = length < value_bytes - 1 ? length : value_bytes - 1;
            memcpy(value, start, length);
            value[length] = '\0';
            return;
        }
    }
}

static int
append_body(LabMessage *message, int fd, size_t count, int64_t end_ms)
{
    message->body = realloc(message->body, message->body_bytes + count + 1);
    for (size_t i = 0; i < count; i++) {
        int byte = read_byte(fd, end_ms);
        if (byte < 0) {
            return byte;
        }
        message->body[message->body_bytes++] = (char)byte;
        message->body[message->body_bytes] = '\0';
    }
    return 0;
}

static int
read_chunks(LabMessage *message, int fd, int64_t end_ms)
{
    char line[64];
    while (true) {
        int error = read_until(fd, "\r\n", line, sizeof(line), end_ms);
        if (error != 0) {
            return error;
        }
        size_t count = strtoul(line, NULL, 16);
        error = append_body(message, fd, count, end_ms);
        if (error == 0) {
            error = read_until(fd, "\r\n", line, sizeof(line), end_ms);
        }
        if (error != 0 || count == 0) {
            return error;
        }
    }
}

/* Reads a message into a new LabMessage. Returns NULL if there is none;
 * `error` is then -1 at the end of the connection and -2 at `end_ms`. */
static LabMessage *
read_message(int fd, int64_t end_ms, int *error)
{
    LabMessage *message = calloc(1, sizeof(*message));
    *error = read_until(fd, "\r\n\r\n", message->head, sizeof(message->head),
                        end_ms);
    if (*error != 0) {
        free(message);
        return NULL;
    }
    if (strncmp(message->head, "HTTP/", 5) == 0) {
        message->status = atoi(message->head + 9);
    }
    else {
        sscanf(message->head, "%15s %1023s", message->method, message->target);
    }
    char value[64];
    lab_header(message, "Transfer-Encoding", value, sizeof(value));
    if (strcasecmp(value, "chunked") == 0) {
        *error = read_chunks(message, fd, end_ms);
    }
    else {
        lab_header(message, "Content-Length", value, sizeof(value));
        *error = append_body(message, fd, strtoul(value, NULL, 10), end_ms);
    }
    message->complete = *error == 0;
    return message;
}

static void
free_message(LabMessage *message)
{
    if (message != NULL) {
        free(message->body);
        free(message);
    }
}

/* The store */

typedef struct {
    char kind[64];
    char name[64];
    char *spec; /* NULL: removed */
    uint64_t revision;
    int64_t at_ms; /* of its last change */
} Object;

static struct {
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    int listener;
    uint64_t revision;
    Object objects[MAX_OBJECTS];
    int object_count;
    Object changes[MAX_CHANGES]; /* their specs are kept */
    int change_count;
} store = {.mutex = PTHREAD_MUTEX_INITIALIZER,
           .changed = PTHREAD_COND_INITIALIZER,
           .revision = 7};

int
lab_store_port(void)
{
    return port_of(store.listener);
}

static Object *
find_object(const char *kind, const char *name)
{
    for (int i = 0; i < store.object_count; i++) {
        Object *object = &store.objects[i];
        if (strcmp(object->kind, kind) == 0 &&
            strcmp(object->name, name) == 0) {
            return object;
        }
    }
    return NULL;
}

int64_t lab_store_age_ms;
void (*lab_store_listed)(const char *kind, bool stale, const char *list);
void (*lab_store_written)(const char *kind, const char *name, bool removed);

static void
set_object(const char *kind, const char *name, const char *spec)
{
    Object *object = find_object(kind, name);
    if (object == NULL) {
        if (store.object_count == MAX_OBJECTS) {
            lab_fail("the store is full");
        }
        object = &store.objects[store.object_count++];
        snprintf(object->kind, sizeof(object->kind), "%s", kind);
        snprintf(object->name, sizeof(object->name), "%s", name);
    }
    object->spec = spec != NULL ? strdup(spec) : NULL;
    object->revision = ++store.revision;
    object->at_ms = lab_now();
    if (store.change_count == MAX_CHANGES) {
        lab_fail("the store's history is full");
    }
    store.changes[store.change_count++] = *object;
    if (lab_store_written != NULL) {
        lab_store_written(kind, name, spec == NULL);
    }
    pthread_cond_broadcast(&store.changed);
}

void
lab_store_put(const char *kind, const char *name, const char *spec)
{
    pthread_mutex_lock(&store.mutex);
    set_object(kind, name, spec);
    pthread_mutex_unlock(&store.mutex);
}

typedef struct {
    char *text;
    size_t length;
} Text;

static void
append(Text *text, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    int count = vsnprintf(NULL, 0, format, arguments);
    va_end(arguments);
    text->text = realloc(text->text, text->length + (size_t)count + 1);
    va_start(arguments, format);
    vsnprintf(text->text + text->length, (size_t)count + 1, format, arguments);
    va_end(arguments);
    text->length += (size_t)count;
}

static void
append_object(Text *text, const Object *object)
{
    append(text,
           "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":1,"
           "\"finalizers\":[],\"deletion_pending\":false},\"spec\":%s,"
           "\"status\":null}",
           object->name, (unsigned long long)object->revision,
           object->spec != NULL ? object->spec : "null");
}

static uint64_t
query_number(const char *target, const char *name)
{
    char key[32];
    snprintf(key, sizeof(key), "%s=", name);
    const char *found = strstr(target, key);
    return found != NULL ? strtoull(found + strlen(key), NULL, 10) : 0;
}

static int
count_changes(const char *kind, uint64_t after, Text *text)
{
    int count = 0;
    for (int i = 0; i < store.change_count; i++) {
        const Object *change = &store.changes[i];
        if (strcmp(change->kind, kind) != 0 || change->revision <= after) {
            continue;
        }
        if (text != NULL) {
            append(text, "%s{\"object\":", count > 0 ? "," : "");
            append_object(text, change);
            append(text, ",\"deleted\":%s}",
                   change->spec == NULL ? "true" : "false");
        }
        count++;
    }
    return count;
}

static void
write_changes(const char *kind, const char *target, Text *text)
{
    uint64_t after = query_number(target, "watch");
    int64_t end_ms =
        clock_ms(CLOCK_REALTIME) + (int64_t)query_number(target, "wait_ms");
    struct timespec end = {end_ms / 1000, end_ms % 1000 * 1000000};
    while (count_changes(kind, after, NULL) == 0 &&
           pthread_cond_timedwait(&store.changed, &store.mutex, &end) == 0) {
    }
    append(text, "{\"events\":[");
    count_changes(kind, after, text);
    append(text, "],\"current_rev\":%llu}",
           (unsigned long long)store.revision);
}

/* Returns whether a change was the last one of its object up to a time. */
static bool
is_last(int index, int64_t until_ms)
{
    const Object *change = &store.changes[index];
    for (int i = index + 1; i < store.change_count; i++) {
        const Object *later = &store.changes[i];
        if (later->at_ms <= until_ms &&
            strcmp(later->kind, change->kind) == 0 &&
            strcmp(later->name, change->name) == 0) {
            return false;
        }
    }
    return change->at_ms <= until_ms;
}

/* Lists the objects as they were `age_ms` ago. */
static void
write_list(const char *kind, int64_t age_ms, Text *text)
{
    int64_t until_ms = lab_now() - age_ms;
    uint64_t revision = 7;
    bool first = true;
    append(text, "{\"items\":[");
    for (int i = 0; i < store.change_count; i++) {
        const Object *change = &store.changes[i];
        if (change->at_ms <= until_ms) {
            revision = change->revision;
        }
        if (change->spec != NULL && strcmp(change->kind, kind) == 0 &&
            is_last(i, until_ms)) {
            append(text, "%s", first ? "" : ",");
            append_object(text, change);
            first = false;
        }
    }
    append(text, "],\"has_more\":false,\"current_rev\":%llu}",
           (unsigned long long)revision);
    if (lab_store_listed != NULL) {
        lab_store_listed(kind, age_ms > 0, text->text);
    }
}

/* Handles POST, PUT and DELETE. Returns the status. */
static int
write_object(const LabMessage *request, const char *kind, char *name,
             Text *text)
{
    const char *body = request->body != NULL ? request->body : "";
    if (name[0] == '\0') {
        const char *found = strstr(body, "\"name\":\"");
        if (found == NULL) {
            return 400;
        }
        sscanf(found + 8, "%63[^\"]", name);
    }
    Object *object = find_object(kind, name);
    bool exists = object != NULL && object->spec != NULL;
    const char *condition = strstr(body, "\"revision\":");
    uint64_t revision = condition != NULL
                            ? strtoull(condition + 11, NULL, 10)
                            : query_number(request->target, "revision");
    bool create = strcmp(request->method, "POST") == 0;
    if (!exists && !create) {
        return 404;
    }
    if (exists && (create || (revision > 0 && revision != object->revision))) {
        append_object(text, object);
        return 409;
    }
    if (strcmp(request->method, "DELETE") == 0) {
        set_object(kind, name, NULL);
        return 200;
    }
    const char *spec = strstr(body, "\"spec\":");
    if (spec == NULL) {
        return 400;
    }
    char *copy = strdup(spec + 7);
    copy[strlen(copy) - 1] = '\0'; /* the end of the object */
    set_object(kind, name, copy);
    free(copy);
    append_object(text, find_object(kind, name));
    return create ? 201 : 200;
}

static int
answer_store(const LabMessage *request, Text *text)
{
    char kind[64] = "";
    char name[64] = "";
    sscanf(request->target, "/ebonyhollow/objects/%63[^/?]/%63[^/?]", kind,
           name);
    if (strcmp(request->method, "GET") != 0) {
        return write_object(request, kind, name, text);
    }
    if (name[0] != '\0') {
        const Object *object = find_object(kind, name);
        if (object == NULL || object->spec == NULL) {
            return 404;
        }
        append_object(text, object);
    }
    else if (strstr(request->target, "watch=") != NULL) {
        write_changes(kind, request->target, text);
    }
    else {
        bool stale = strstr(request->target, "serializable=1") != NULL;
        write_list(kind, stale ? lab_store_age_ms : 0, text);
    }
    return 200;
}

static void *
serve_store(void *argument)
{
    int fd = *(int *)argument;
    free(argument);
    int error;
    LabMessage *request;
    while ((request = read_message(fd, 0, &error)) != NULL) {
        Text text = {0};
        append(&text, "%s", "");
        lab_sleep(STORE_ANSWER_MS);
        pthread_mutex_lock(&store.mutex);
        int status = answer_store(request, &text);
        pthread_mutex_unlock(&store.mutex);
        char head[160];
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status, text.length);
        bool sent =
            send_text(fd, head) && send_all(fd, text.text, text.length);
        free(text.text);
        free_message(request);
        if (!sent) {
            break;
        }
    }
    close(fd);
    return NULL;
}

static void *
accept_store(void *argument)
{
    (void)argument;
    int fd;
    while ((fd = accept4(store.listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        int *copy = malloc(sizeof(*copy));
        if (copy == NULL) {
            lab_fail("no memory");
        }
        *copy = fd;
        lab_thread(serve_store, copy);
    }
    return NULL;
}

void
lab_store_start(void)
{
    store.listener = listen_at(0);
    lab_thread(accept_store, NULL);
}

/* Backend servers */

void
lab_server_report(LabServer *server, const char *state)
{
    char spec[512];
    snprintf(spec, sizeof(spec),
             "{\"service\":\"%s\",\"address\":\"" HOST
             ":%d\",\"zone\":\"zone-a\",\"version\":1,\"slots\":%d,"
             "\"state\":\"%s\",\"cold_left_ms\":0,\"seq\":1,\"born\":%lld}",
             server->service, server->port, server->slots, state,
             (long long)server->born_ms);
    lab_store_put("servers", server->id, spec);
    lab_record("the store acknowledges: server %s is %s", server->id, state);
}

bool
lab_answer(LabConnection *connection, const LabMessage *request, int status,
           const char *extra, const char *body)
{
    char id[128];
    char head[1024];
    lab_header(request, "Attempt-Id", id, sizeof(id));
    snprintf(head, sizeof(head),
             "HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\n"
             "%sContent-Length: %zu\r\n\r\n",
             status, id, connection->server->id, id, extra, strlen(body));
    return send_text(connection->fd, head) && send_text(connection->fd, body);
}

bool
lab_stream(LabConnection *connection, const LabMessage *request, int events,
           int pause_ms)
{
    char id[128];
    char last[32];
    char text[512];
    lab_header(request, "Attempt-Id", id, sizeof(id));
    lab_header(request, "Last-Event-Id", last, sizeof(last));
    snprintf(text, sizeof(text),
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Attempt-Id: %s\r\nServer-Seal: %s.%s\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             id, connection->server->id, id);
    if (!send_text(connection->fd, text)) {
        return false;
    }
    for (int i = atoi(last) + 1; i <= events; i++) {
        char event[64];
        lab_sleep(pause_ms);
        snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);
        snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event), event);
        if (!send_text(connection->fd, text)) {
            return false;
        }
    }
    return send_text(connection->fd, "0\r\n\r\n");
}

/* Handles a health check, or a request for another server. */
static bool
answer_itself(LabConnection *connection, const LabMessage *request, bool *kept)
{
    char expected[64];
    char extra[128];
    const char *id = connection->server->id;
    if (strcmp(request->target, "/healthz") == 0) {
        snprintf(extra, sizeof(extra), "Instance-Id: %s\r\n", id);
        *kept = lab_answer(connection, request, 200, extra, "");
        return true;
    }
    lab_header(request, "Expected-Instance", expected, sizeof(expected));
    if (expected[0] != '\0' && strcmp(expected, id) != 0) {
        *kept =
            lab_answer(connection, request, 421, "Not-Executed: 1\r\n", "");
        return true;
    }
    return false;
}

static void
forget_fd(LabServer *server, int fd)
{
    pthread_mutex_lock(&server->mutex);
    for (int i = 0; i < server->fd_count; i++) {
        if (server->fds[i] == fd) {
            server->fds[i] = server->fds[--server->fd_count];
            break;
        }
    }
    close(fd);
    pthread_mutex_unlock(&server->mutex);
}

static void *
serve_backend(void *argument)
{
    LabConnection *connection = argument;
    int error;
    bool kept = true;
    LabMessage *request;
    while (kept &&
           (request = read_message(connection->fd, 0, &error)) != NULL) {
        if (!answer_itself(connection, request, &kept)) {
            kept = connection->server->run(connection, request);
        }
        free_message(request);
    }
    forget_fd(connection->server, connection->fd);
    free(connection);
    return NULL;
}

static void *
accept_backend(void *argument)
{
    LabServer *server = argument;
    int listener = server->listener;
    int fd;
    while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        LabConnection *connection = calloc(1, sizeof(*connection));
        *connection = (LabConnection){server, fd};
        pthread_mutex_lock(&server->mutex);
        bool refused = server->down || server->fd_count == 1024;
        if (!refused) {
            server->fds[server->fd_count++] = fd;
        }
        pthread_mutex_unlock(&server->mutex);
        if (refused) {
            close(fd);
            free(connection);
            continue;
        }
        lab_thread(serve_backend, connection);
    }
    return NULL;
}

void
lab_server_start(LabServer *server)
{
    pthread_mutex_init(&server->mutex, NULL);
    server->listener = listen_at(0);
    server->port = port_of(server->listener);
    server->born_ms = clock_ms(CLOCK_REALTIME);
    lab_thread(accept_backend, server);
    lab_server_report(server, "ready");
}

bool
lab_server_crash(LabServer *server)
{
    const struct sockaddr none = {.sa_family = AF_UNSPEC};
    pthread_mutex_lock(&server->mutex);
    if (server->down) {
        pthread_mutex_unlock(&server->mutex);
        return false;
    }
    server->down = true;
    shutdown(server->listener, SHUT_RDWR);
    close(server->listener);
    for (int i = 0; i < server->fd_count; i++) {
        /* Resets the connection at once; its thread closes the socket. */
        (void)connect(server->fds[i], &none, sizeof(none));
    }
    pthread_mutex_unlock(&server->mutex);
    return true;
}

void
lab_server_restart(LabServer *server)
{
    pthread_mutex_lock(&server->mutex);
    server->listener = listen_at(server->port);
    server->down = false;
    server->born_ms = clock_ms(CLOCK_REALTIME);
    pthread_mutex_unlock(&server->mutex);
    lab_thread(accept_backend, server);
    lab_server_report(server, "ready");
}

/* Daemons */

typedef struct {
    int front;
    int ready;
    int control;
    pid_t pid;
} Daemon;

static char folder[64];
static Daemon daemons[LAB_MAX_DAEMONS];
static int daemon_count;
static atomic_bool ending;

static void
write_settings(int index, const int seeds[3])
{
    static const char zones[3][8] = {"zone-a", "zone-b", "zone-c"};
    const Daemon *daemon = &daemons[index];
    char path[128];
    snprintf(path, sizeof(path), "%s/node-%d.yaml", folder, index);
    FILE *file = fopen(path, "w");
    if (file == NULL) {
        lab_fail("cannot write the settings");
    }
    fprintf(file,
            "node: \"front-%d\"\nrole: \"daemon\"\nmachine_class: \"front\"\n"
            "serves:\n  - \"front\"\n  - \"control\"\nip: \"" HOST "\"\n"
            "zone: \"%s\"\nregion: \"region\"\nzones:\n"
            "  zone-a: \"region\"\n  zone-b: \"region\"\n"
            "  zone-c: \"region\"\nlisten:\n  front: \"" HOST ":%d\"\n"
            "  ready: \"" HOST ":%d\"\n  control: \"" HOST ":%d\"\n",
            index + 1, zones[index % 3], daemon->front, daemon->ready,
            daemon->control);
    fprintf(file,
            "seeds:\n  - \"" HOST ":%d\"\n  - \"" HOST ":%d\"\n  - \"" HOST
            ":%d\"\n",
            seeds[0], seeds[1], seeds[2]);
    fprintf(file,
            "bootstrap: true\nloss_counts: false\nlimits:\n"
            "  cpu_share: 0.25\n  cores: 1\n  memory_mb: 260\n"
            "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\n"
            "data_dir: null\ndiscovery: \"platform\"\nentry: \"vip\"\n"
            "heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n"
            "  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n"
            "  catch_up_s: 4\n  drain_ms: 2000\n  grace_s: 8\n"
            "  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
            "  back_ms: 250\n  retry_budget_ratio: 0.2\n"
            "  budget_window_s: 10\n  budget_extra: 56\nplatform:\n"
            "  address: \"" HOST ":%d\"\n  form: \"objects\"\n"
            "  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
            "  value_bytes: 1048576\n  ttl_min_ms: 1000\n",
            lab_store_port());
    fclose(file);
}

void
lab_daemons_prepare(int count, bool live_seeds)
{
    snprintf(folder, sizeof(folder), "/tmp/review-3-XXXXXX");
    if (mkdtemp(folder) == NULL) {
        lab_fail("no temporary folder");
    }
    daemon_count = count;
    for (int i = 0; i < count; i++) {
        daemons[i] = (Daemon){free_port(), free_port(), free_port(), 0};
    }
    int down[3] = {free_port(), free_port(), free_port()};
    for (int i = 0; i < count; i++) {
        int live[3] = {daemons[0].control, daemons[1 % count].control,
                       daemons[2 % count].control};
        write_settings(i, live_seeds ? live : down);
    }
}

void
lab_daemon_start(int index)
{
    char settings[128];
    char log[128];
    snprintf(settings, sizeof(settings),
             "EBONYHOLLOW_NODE_FILE=%s/node-%d.yaml", folder, index);
    snprintf(log, sizeof(log), "%s/log-%d", folder, index);
    pid_t pid = fork();
    if (pid == 0) {
        /* It ends with the script, also if that is killed. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        char *const words[] = {"target/src/ebonyhollowd/ebonyhollowd",
                               "--platform", NULL};
        char *const environment[] = {settings, "PATH=/usr/bin:/bin",
                                     "HOME=/tmp", NULL};
        if (freopen(log, "a", stdout) == NULL ||
            freopen(log, "a", stderr) == NULL) {
            _exit(127);
        }
        execve(words[0], words, environment);
        _exit(127);
    }
    daemons[index].pid = pid;
    lab_record("daemon front-%d starts, front port %d", index + 1,
               daemons[index].front);
}

static bool
is_ready(const Daemon *daemon)
{
    int error;
    int fd = connect_to(daemon->ready);
    if (fd < 0) {
        return false;
    }
    send_text(fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                  "Connection: close\r\n\r\n");
    LabMessage *answer = read_message(fd, lab_now() + 1000, &error);
    bool ready = answer != NULL && answer->status == 200;
    free_message(answer);
    close(fd);
    return ready;
}

void
lab_daemon_wait(int index)
{
    int64_t end_ms = lab_now() + READY_LIMIT_MS;
    while (!is_ready(&daemons[index])) {
        if (lab_now() > end_ms ||
            waitpid(daemons[index].pid, NULL, WNOHANG) > 0) {
            lab_fail("a daemon does not become ready");
        }
        lab_sleep(50);
    }
}

static void
end_daemons(void)
{
    for (int i = 0; i < daemon_count; i++) {
        if (daemons[i].pid > 0) {
            kill(daemons[i].pid, SIGKILL);
            waitpid(daemons[i].pid, NULL, 0);
        }
    }
    if (folder[0] != '\0' && getenv("KEEP") == NULL) {
        char path[128];
        for (int i = 0; i < daemon_count; i++) {
            snprintf(path, sizeof(path), "%s/node-%d.yaml", folder, i);
            unlink(path);
            snprintf(path, sizeof(path), "%s/log-%d", folder, i);
            unlink(path);
        }
        rmdir(folder);
    }
}

void
lab_end(int status)
{
    if (atomic_exchange(&ending, true)) {
        pause();
    }
    end_daemons();
    _exit(status);
}

void
lab_fail(const char *why)
{
    if (record != NULL) {
        lab_record("the case could not run: %s", why);
    }
    fprintf(stderr, "the case could not run: %s\n", why);
    lab_end(2);
}

/* Clients */

static atomic_uint last_attempt;

int
lab_attempt(const LabAttempt *attempt, char id[32], bool *complete)
{
    char head[LAB_MAX_TEXT];
    int error;
    snprintf(id, 32, "%08x%08x", (unsigned)clock_ms(CLOCK_REALTIME),
             atomic_fetch_add(&last_attempt, 1));
    *complete = false;
    int64_t end_ms = lab_now() + attempt->deadline_ms;
    int fd = connect_to(daemons[attempt->daemon].front);
    if (fd < 0) {
        return 0;
    }
    snprintf(head, sizeof(head),
             "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
             "Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\n%s"
             "Content-Length: %zu\r\n\r\n%s",
             attempt->method, attempt->path, id, attempt->deadline_ms,
             attempt->headers != NULL ? attempt->headers : "",
             strlen(attempt->body), attempt->body);
    int status = 0;
    if (send_text(fd, head)) {
        LabMessage *answer = read_message(fd, end_ms, &error);
        status = answer != NULL ? answer->status : error == -2 ? -1 : 0;
        *complete = answer != NULL && answer->complete;
        free_message(answer);
    }
    close(fd);
    return status;
}
