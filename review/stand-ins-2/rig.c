
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_OBJECTS 256
#define MAX_STORE_CONNECTIONS 256
#define RUN_LIMIT_S 115

typedef struct {
    char kind[64];
    char name[128];
    char *spec;
    uint64_t revision;
    bool deleted;
} Object;

typedef struct {
    pid_t pid;
    int status;
    bool ended;
    int front, ready, control;
} Daemon;

static FILE *record;
static char temp[64];
static int64_t begin_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static Daemon daemons[RIG_MAX_DAEMONS];
static int store_port, store_listener = -1;
static volatile bool store_down;
static Object objects[MAX_OBJECTS];
static int object_count;
static uint64_t revision = 10;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static int store_fds[MAX_STORE_CONNECTIONS];
static const char *program = "target/src/ebonyhollowd/ebonyhollowd";

static int64_t
wall_ms(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
Rig_Now(void)
{
    return wall_ms(CLOCK_MONOTONIC) - begin_ms;
}

void
Rig_Sleep(int ms)
{
    struct timespec wait = {ms / 1000, ms % 1000 * 1000000L};
    nanosleep(&wait, NULL);
}

const char *
Rig_Temp(void)
{
    return temp;
}

void
Rig_Record(const char *format, ...)
{
    va_list list;
    pthread_mutex_lock(&record_lock);
    for (int i = 0; i < 2; i++) {
        FILE *out = i == 0 ? record : stdout;
        va_start(list, format);
        fprintf(out, "%7.3f ", (double)Rig_Now() / 1000);
        vfprintf(out, format, list);
        fputc('\n', out);
        fflush(out);
        va_end(list);
    }
    pthread_mutex_unlock(&record_lock);
}

static void
kill_daemons(void)
{
    for (int i = 0; i < RIG_MAX_DAEMONS; i++) {
        if (daemons[i].pid > 0 && !daemons[i].ended) {
            kill(daemons[i].pid, SIGCONT);
            kill(daemons[i].pid, SIGKILL);
            waitpid(daemons[i].pid, NULL, 0);
            daemons[i].ended = true;
        }
    }
}

static void *
watchdog(void *unused)
{
    (void)unused;
    Rig_Sleep(RUN_LIMIT_S * 1000);
    Rig_Record("the case took too long");
    kill_daemons();
    _exit(2);
}

void
Rig_Begin(const char *folder)
{
    char path[512];
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record = fopen(path, "w");
    snprintf(temp, sizeof(temp), "/tmp/review-2-XXXXXX");
    if (record == NULL || mkdtemp(temp) == NULL) {
        fprintf(stderr, "can't write to %s or /tmp\n", folder);
        exit(2);
    }
    if (getenv("RIG_DAEMON") != NULL) {
        program = getenv("RIG_DAEMON");
    }
    signal(SIGPIPE, SIG_IGN);
    begin_ms = wall_ms(CLOCK_MONOTONIC);
    pthread_t thread;
    pthread_create(&thread, NULL, watchdog, NULL);
}

void
Rig_End(int status)
{
    kill_daemons();
    Rig_Record("%s", status == 0   ? "HELD"
                     : status == 1 ? "BROKEN"
                                   : "COULD NOT RUN");
    if (getenv("RIG_KEEP") != NULL) {
        printf("kept %s\n", temp);
    }
    else {
        for (int i = 0; i < RIG_MAX_DAEMONS; i++) {
            char path[128];
            snprintf(path, sizeof(path), "%s/node-%d.yaml", temp, i);
            unlink(path);
            snprintf(path, sizeof(path), "%s/front-%d.log", temp, i);
            unlink(path);
        }
        rmdir(temp);
    }
    fclose(record);
    _exit(status);
}

/* Sockets */

static int
listen_on(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
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

int
Rig_FreePort(void)
{
    int fd = listen_on(0);
    int port = port_of(fd);
    close(fd);
    return port;
}

void
Rig_Send(int fd, const void *bytes, size_t count)
{
    const char *next = bytes;
    while (count > 0) {
        ssize_t sent = send(fd, next, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        next += sent;
        count -= (size_t)sent;
    }
}

void
Rig_SendText(int fd, const char *format, ...)
{
    char *text = NULL;
    va_list list;
    va_start(list, format);
    int length = vasprintf(&text, format, list);
    va_end(list);
    Rig_Send(fd, text, (size_t)length);
    free(text);
}

const char *
Rig_Header(const char *head, const char *name, char *value, size_t bytes)
{
    size_t length = strlen(name);
    for (const char *line = head; line != NULL && *line != '\0';) {
        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *start = line + length + 1;
            start += strspn(start, " \t");
            size_t count = strcspn(start, "\r\n");
            if (count >= bytes) {
                count = bytes - 1;
            }
            memcpy(value, start, count);
            value[count] = '\0';
            return value;
        }
        line = strchr(line, '\n');
        line = line != NULL ? line + 1 : NULL;
    }
    return NULL;
}

/* Reads one byte; -1 at the end, -2 after the time. */
static int
read_byte(int fd, int64_t until_ms)
{
    unsigned char byte;
    for (;;) {
        struct pollfd poll_fd = {fd, POLLIN, 0};
        int64_t left = until_ms - wall_ms(CLOCK_MONOTONIC);
        if (left < 0 || poll(&poll_fd, 1, (int)left) == 0) {
            return -2;
        }
        ssize_t count = recv(fd, &byte, 1, 0);
        if (count == 1) {
            return byte;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        return count == 0 ? -1 : -3; /* end, reset */
    }
}

static int
read_bytes(int fd, char *bytes, size_t count, int64_t until_ms)
{
    size_t have = 0;
    while (have < count) {
        struct pollfd poll_fd = {fd, POLLIN, 0};
        int64_t left = until_ms - wall_ms(CLOCK_MONOTONIC);
        if (left < 0 || poll(&poll_fd, 1, (int)left) == 0) {
            return -2;
        }
        ssize_t got = recv(fd, bytes + have, count - have, 0);
        if (got <= 0) {
            return got == 0 ? -1 : -3;
        }
        have += (size_t)got;
    }
    return 0;
}

static int
read_line(int fd, char *line, size_t bytes, int64_t until_ms)
{
    size_t length = 0;
    for (;;) {
        int byte = read_byte(fd, until_ms);
        if (byte < 0) {
            return byte;
        }
        if (byte == '\n') {
            line[length] = '\0';
            if (length > 0 && line[length - 1] == '\r') {
                line[length - 1] = '\0';
            }
            return 0;
        }
        if (length + 1 < bytes) {
            line[length++] = (char)byte;
        }
    }
}

static int
read_head(int fd, char *head, size_t bytes, int64_t until_ms)
{
    size_t length = 0;
    head[0] = '\0';
    for (;;) {
        char line[8192];
        int result = read_line(fd, line, sizeof(line), until_ms);
        if (result < 0 || line[0] == '\0') {
            return result;
        }
        length +=
            (size_t)snprintf(head + length, bytes - length, "%s\n", line);
        if (length >= bytes) {
            return -4;
        }
    }
}

/* Reads a chunked body. */
static int
read_chunks(int fd, char **body, size_t *body_bytes, int64_t until_ms)
{
    char line[256];
    for (;;) {
        int result = read_line(fd, line, sizeof(line), until_ms);
        if (result < 0) {
            return result;
        }
        char *end;
        size_t size = strtoul(line, &end, 16);
        if (end == line) {
            return -4;
        }
        *body = realloc(*body, *body_bytes + size + 1);
        if (size > 0) {
            result = read_bytes(fd, *body + *body_bytes, size, until_ms);
            if (result < 0) {
                return result;
            }
            *body_bytes += size;
        }
        result = read_line(fd, line, sizeof(line), until_ms);
        if (result < 0 || line[0] != '\0') {
            return result < 0 ? result : -4;
        }
        if (size == 0) {
            return 0;
        }
    }
}

bool
Rig_ReadRequest(int fd, RigRequest *request)
{
    *request = (RigRequest){0};
    int64_t until_ms = wall_ms(CLOCK_MONOTONIC) + 100000;
    char line[4096];
    if (read_line(fd, line, sizeof(line), until_ms) < 0) {
        return false;
    }
    if (sscanf(line, "%15s %2047s", request->method, request->target) != 2 ||
        read_head(fd, request->head, sizeof(request->head), until_ms) < 0) {
        return false;
    }
    char value[64];
    if (Rig_Header(request->head, "Content-Length", value, sizeof(value))) {
        request->body_bytes = strtoul(value, NULL, 10);
        request->body = calloc(1, request->body_bytes + 1);
        return read_bytes(fd, request->body, request->body_bytes, until_ms) ==
               0;
    }
    if (Rig_Header(request->head, "Transfer-Encoding", value, sizeof(value))) {
        return read_chunks(fd, &request->body, &request->body_bytes,
                           until_ms) == 0;
    }
    return true;
}

void
Rig_FreeRequest(RigRequest *request)
{
    free(request->body);
    request->body = NULL;
}

void
Rig_Answer(int fd, const RigRequest *request, int status, const char *extra,
           const char *body)
{
    char id[256] = "";
    Rig_Header(request->head, "Attempt-Id", id, sizeof(id));
    Rig_SendText(fd,
                 "HTTP/1.1 %d Answer\r\nAttempt-Id: %s\r\n"
                 "Server-Seal: seal-%s\r\n%sContent-Length: %zu\r\n\r\n%s",
                 status, id, id, extra != NULL ? extra : "", strlen(body),
                 strcmp(request->method, "HEAD") == 0 ? "" : body);
}

/* Store */

static void
reply_json(int fd, int status, const char *json)
{
    Rig_SendText(fd,
                 "HTTP/1.1 %d Reply\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n%s",
                 status, strlen(json), json);
}

static void
append(char **text, const char *format, ...)
{
    char *more = NULL;
    va_list list;
    va_start(list, format);
    vasprintf(&more, format, list);
    va_end(list);
    size_t length = *text != NULL ? strlen(*text) : 0;
    size_t more_bytes = strlen(more) + 1;
    *text = realloc(*text, length + more_bytes);
    memcpy(*text + length, more, more_bytes);
    free(more);
}

static void
append_object(char **text, const Object *object)
{
    append(text,
           "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":1,"
           "\"finalizers\":[],\"deletion_pending\":false},\"spec\":%s,"
           "\"status\":null}",
           object->name, (unsigned long long)object->revision, object->spec);
}

static Object *
find_object(const char *kind, const char *name)
{
    for (int i = 0; i < object_count; i++) {
        if (strcmp(objects[i].kind, kind) == 0 &&
            strcmp(objects[i].name, name) == 0) {
            return &objects[i];
        }
    }
    return NULL;
}

static Object *
set_object(const char *kind, const char *name, const char *spec, bool deleted)
{
    Object *object = find_object(kind, name);
    if (object == NULL) {
        object = &objects[object_count++];
        snprintf(object->kind, sizeof(object->kind), "%s", kind);
        snprintf(object->name, sizeof(object->name), "%s", name);
        object->spec = strdup("null");
    }
    if (spec != NULL) {
        free(object->spec);
        object->spec = strdup(spec);
    }
    object->deleted = deleted;
    object->revision = ++revision;
    pthread_cond_broadcast(&store_changed);
    return object;
}

void
Rig_StorePut(const char *kind, const char *name, const char *spec)
{
    pthread_mutex_lock(&store_lock);
    set_object(kind, name, spec, false);
    pthread_mutex_unlock(&store_lock);
}

void
Rig_StoreDelete(const char *kind, const char *name)
{
    pthread_mutex_lock(&store_lock);
    set_object(kind, name, NULL, true);
    pthread_mutex_unlock(&store_lock);
}

static void
answer_list(int fd, const char *kind)
{
    char *text = NULL;
    bool first = true;
    append(&text, "{\"items\":[");
    for (int i = 0; i < object_count; i++) {
        if (strcmp(objects[i].kind, kind) == 0 && !objects[i].deleted) {
            append(&text, "%s", first ? "" : ",");
            append_object(&text, &objects[i]);
            first = false;
        }
    }
    append(&text, "],\"has_more\":false,\"current_rev\":%llu}",
           (unsigned long long)revision);
    pthread_mutex_unlock(&store_lock);
    reply_json(fd, 200, text);
    free(text);
}

static bool
has_news(const char *kind, uint64_t since)
{
    for (int i = 0; i < object_count; i++) {
        if (strcmp(objects[i].kind, kind) == 0 &&
            objects[i].revision > since) {
            return true;
        }
    }
    return false;
}

static void
answer_watch(int fd, const char *kind, uint64_t since, long wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += wait_ms % 1000 * 1000000L;
    if (until.tv_nsec >= 1000000000L) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000L;
    }
    while (!has_news(kind, since) &&
           pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0) {
    }
    char *text = NULL;
    bool first = true;
    append(&text, "{\"events\":[");
    for (int i = 0; i < object_count; i++) {
        if (strcmp(objects[i].kind, kind) == 0 &&
            objects[i].revision > since) {
            append(&text, "%s{\"deleted\":%s,\"object\":", first ? "" : ",",
                   objects[i].deleted ? "true" : "false");
            append_object(&text, &objects[i]);
            append(&text, "}");
            first = false;
        }
    }
    append(&text, "],\"current_rev\":%llu}", (unsigned long long)revision);
    pthread_mutex_unlock(&store_lock);
    reply_json(fd, 200, text);
    free(text);
}

/* Returns the JSON value of a field of an object's text, by its braces. */
static char *
cut_value(const char *text, const char *field)
{
    char quoted[64];
    snprintf(quoted, sizeof(quoted), "\"%s\":", field);
    const char *start = text != NULL ? strstr(text, quoted) : NULL;
    if (start == NULL) {
        return strdup("null");
    }
    start += strlen(quoted);
    start += strspn(start, " ");
    int depth = 0;
    bool in_string = false;
    const char *end = start;
    for (; *end != '\0'; end++) {
        if (in_string) {
            if (*end == '\\' && end[1] != '\0') {
                end++;
            }
            else if (*end == '"') {
                in_string = false;
            }
            continue;
        }
        if (*end == '"') {
            in_string = true;
        }
        else if (*end == '{' || *end == '[') {
            depth++;
        }
        else if (*end == '}' || *end == ']') {
            if (--depth < 0) {
                break;
            }
        }
        else if (*end == ',' && depth == 0) {
            break;
        }
    }
    return strndup(start, (size_t)(end - start));
}

static void
answer_write(int fd, const RigRequest *request, const char *kind,
             const char *name)
{
    char own[128] = "";
    char *metadata = cut_value(request->body, "metadata");
    char *spec = cut_value(request->body, "spec");
    char *given = cut_value(metadata, "name");
    char *wanted = cut_value(metadata, "revision");
    if (name == NULL) {
        sscanf(given, "\"%127[^\"]\"", own);
    }
    else {
        snprintf(own, sizeof(own), "%s", name);
    }
    Object *known = find_object(kind, own);
    bool exists = known != NULL && !known->deleted;
    int status = 200;
    if (strcmp(request->method, "POST") == 0) {
        status = exists ? 409 : 201;
    }
    else if (!exists) {
        status = 404;
    }
    else if (strcmp(wanted, "null") != 0 &&
             strtoull(wanted, NULL, 10) != known->revision) {
        status = 409;
    }
    if (status < 300 && strcmp(request->method, "DELETE") == 0) {
        known = set_object(kind, own, NULL, true);
    }
    else if (status < 300) {
        known = set_object(kind, own, spec, false);
    }
    char *text = NULL;
    if (known != NULL) {
        append_object(&text, known);
    }
    else {
        append(&text, "{}");
    }
    pthread_mutex_unlock(&store_lock);
    reply_json(fd, status, text);
    free(text);
    free(metadata);
    free(spec);
    free(given);
    free(wanted);
}

static void
answer_store(int fd, const RigRequest *request)
{
    char path[2048];
    snprintf(path, sizeof(path), "%s", request->target);
    char *query = strchr(path, '?');
    if (query != NULL) {
        *query++ = '\0';
    }
    char kind[64] = "";
    char name[128] = "";
    int parts =
        sscanf(path, "/ebonyhollow/objects/%63[^/]/%127[^/]", kind, name);
    const char *watch = query != NULL ? strstr(query, "watch=") : NULL;
    const char *wait = query != NULL ? strstr(query, "wait_ms=") : NULL;
    pthread_mutex_lock(&store_lock);
    if (strcmp(request->method, "GET") != 0) {
        answer_write(fd, request, kind, parts > 1 ? name : NULL);
    }
    else if (watch != NULL) {
        answer_watch(fd, kind, strtoull(watch + 6, NULL, 10),
                     wait != NULL ? strtol(wait + 8, NULL, 10) : 1000);
    }
    else if (parts > 1) {
        const Object *object = find_object(kind, name);
        char *text = NULL;
        bool found = object != NULL && !object->deleted;
        if (found) {
            append_object(&text, object);
        }
        pthread_mutex_unlock(&store_lock);
        reply_json(fd, found ? 200 : 404, found ? text : "{}");
        free(text);
    }
    else {
        answer_list(fd, kind);
    }
}

static void
note_store_fd(int fd, bool open)
{
    for (int i = 0; i < MAX_STORE_CONNECTIONS; i++) {
        if (store_fds[i] == (open ? 0 : fd)) {
            store_fds[i] = open ? fd : 0;
            return;
        }
    }
}

static void *
store_connection(void *argument)
{
    int fd = *(int *)argument;
    free(argument);
    RigRequest request;
    while (!store_down && Rig_ReadRequest(fd, &request)) {
        if (store_down) {
            Rig_FreeRequest(&request);
            break;
        }
        answer_store(fd, &request);
        Rig_FreeRequest(&request);
    }
    pthread_mutex_lock(&store_lock);
    note_store_fd(fd, false);
    pthread_mutex_unlock(&store_lock);
    close(fd);
    return NULL;
}

static void *
store_loop(void *unused)
{
    (void)unused;
    for (;;) {
        int fd = accept4(store_listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            Rig_Sleep(5);
            continue;
        }
        if (store_down) {
            close(fd);
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        pthread_mutex_lock(&store_lock);
        note_store_fd(fd, true);
        pthread_mutex_unlock(&store_lock);
        pthread_t thread;
        int *accepted = malloc(sizeof(*accepted));
        *accepted = fd;
        pthread_create(&thread, NULL, store_connection, accepted);
        pthread_detach(thread);
    }
    return NULL;
}

int
Rig_StoreStart(void)
{
    store_listener = listen_on(0);
    store_port = port_of(store_listener);
    pthread_t thread;
    pthread_create(&thread, NULL, store_loop, NULL);
    return store_port;
}

void
Rig_StoreDown(bool down)
{
    store_down = down;
    Rig_Record("the store is %s", down ? "down" : "back");
    pthread_mutex_lock(&store_lock);
    for (int i = 0; down && i < MAX_STORE_CONNECTIONS; i++) {
        if (store_fds[i] != 0) {
            shutdown(store_fds[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&store_lock);
}

/* Servers */

typedef struct {
    RigServer *server;
    int fd;
} Accepted;

#define MAX_SERVER_CONNECTIONS 512

static struct {
    const RigServer *server;
    int fd;
} server_fds[MAX_SERVER_CONNECTIONS];
static pthread_mutex_t server_lock = PTHREAD_MUTEX_INITIALIZER;

static void
note_server_fd(const RigServer *server, int fd, bool open)
{
    pthread_mutex_lock(&server_lock);
    for (int i = 0; i < MAX_SERVER_CONNECTIONS; i++) {
        if (open ? server_fds[i].server == NULL
                 : server_fds[i].server == server && server_fds[i].fd == fd) {
            server_fds[i].server = open ? server : NULL;
            server_fds[i].fd = fd;
            break;
        }
    }
    pthread_mutex_unlock(&server_lock);
}

void
Rig_ServerCrash(RigServer *server)
{
    Rig_Record("%s crashes", server->id);
    server->down = true;
    shutdown(server->listener, SHUT_RDWR);
    close(server->listener);
    server->listener = -1;
    pthread_mutex_lock(&server_lock);
    for (int i = 0; i < MAX_SERVER_CONNECTIONS; i++) {
        if (server_fds[i].server == server) {
            shutdown(server_fds[i].fd, SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&server_lock);
}

void
Rig_ServerBack(RigServer *server)
{
    server->listener = listen_on(server->port);
    server->down = false;
    Rig_Record("%s is back", server->id);
}

static void *
server_connection(void *argument)
{
    Accepted accepted = *(Accepted *)argument;
    free(argument);
    RigRequest request;
    while (Rig_ReadRequest(accepted.fd, &request)) {
        bool keep = true;
        char expected[64];
        if (Rig_Header(request.head, "Expected-Instance", expected,
                       sizeof(expected)) != NULL &&
            strcmp(expected, accepted.server->id) != 0) {
            Rig_SendText(accepted.fd,
                         "HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n");
        }
        else {
            keep = accepted.server->handler(accepted.server, accepted.fd,
                                            &request);
        }
        Rig_FreeRequest(&request);
        if (!keep) {
            break;
        }
    }
    note_server_fd(accepted.server, accepted.fd, false);
    close(accepted.fd);
    return NULL;
}

static void *
server_loop(void *argument)
{
    RigServer *server = argument;
    for (;;) {
        int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            Rig_Sleep(5);
            continue;
        }
        if (server->down) {
            close(fd);
            continue;
        }
        int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        Accepted *accepted = malloc(sizeof(*accepted));
        *accepted = (Accepted){server, fd};
        note_server_fd(server, fd, true);
        pthread_t thread;
        pthread_create(&thread, NULL, server_connection, accepted);
        pthread_detach(thread);
    }
    return NULL;
}

void
Rig_ServerEntry(RigServer *server, const char *state)
{
    char spec[512];
    snprintf(spec, sizeof(spec),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
             "\"zone\":\"%s\",\"version\":1,\"slots\":%d,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"seq\":%d,\"born\":%lld}",
             server->service, server->port, server->zone, server->slots, state,
             ++server->seq, (long long)server->born);
    Rig_StorePut("servers", server->id, spec);
}

RigServer *
Rig_ServerStart(const char *id, const char *service, int slots,
                RigHandler handler)
{
    RigServer *server = calloc(1, sizeof(*server));
    snprintf(server->id, sizeof(server->id), "%s", id);
    snprintf(server->service, sizeof(server->service), "%s", service);
    snprintf(server->zone, sizeof(server->zone), "z0");
    server->slots = slots;
    server->handler = handler;
    server->born = wall_ms(CLOCK_REALTIME);
    server->listener = listen_on(0);
    server->port = port_of(server->listener);
    Rig_ServerEntry(server, "ready");
    pthread_t thread;
    pthread_create(&thread, NULL, server_loop, server);
    return server;
}

/* Daemons */

int
Rig_Front(int index)
{
    return daemons[index].front;
}

pid_t
Rig_DaemonPid(int index)
{
    return daemons[index].pid;
}

void
Rig_DaemonStart(int index, const char *zone)
{
    Daemon *daemon = &daemons[index];
    if (daemon->front == 0) {
        for (int i = 0; i < RIG_MAX_DAEMONS && daemons[0].control == 0; i++) {
            daemons[i].front = Rig_FreePort();
            daemons[i].ready = Rig_FreePort();
            daemons[i].control = i > 0 ? Rig_FreePort() : 0;
            if (i == RIG_MAX_DAEMONS - 1) {
                daemons[0].control = Rig_FreePort();
            }
        }
    }
    char settings[128];
    char log[128];
    snprintf(settings, sizeof(settings), "%s/node-%d.yaml", temp, index);
    snprintf(log, sizeof(log), "%s/front-%d.log", temp, index);
    FILE *file = fopen(settings, "w");
    fprintf(file,
            "node: \"front-%d\"\nrole: \"daemon\"\nmachine_class: \"front\"\n"
            "zone: \"%s\"\nregion: \"r\"\nzones:\n  z0: \"r\"\n  z1: \"r\"\n"
            "listen:\n  front: \"127.0.0.1:%d\"\n  ready: \"127.0.0.1:%d\"\n"
            "  control: \"127.0.0.1:%d\"\nseeds:\n  - \"127.0.0.1:%d\"\n"
            "bootstrap: true\n"
            "limits: {cpu_share: 0.25, cores: 1, memory_mb: 260, "
            "max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}\n"
            "heartbeat_ms: 1200\n"
            "bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, "
            "ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, "
            "loss_slack_ms: 200, config_apply_ms: 2000, back_ms: 250}\n"
            "platform:\n  address: \"127.0.0.1:%d\"\n  form: \"objects\"\n",
            index, zone, daemon->front, daemon->ready, daemon->control,
            daemons[0].control, store_port);
    fclose(file);
    daemon->ended = false;
    daemon->pid = fork();
    if (daemon->pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("EBONYHOLLOW_NODE_FILE", settings, 1);
        execl(program, program, "--platform", (char *)NULL);
        _exit(127);
    }
}

bool
Rig_DaemonAlive(int index)
{
    Daemon *daemon = &daemons[index];
    if (!daemon->ended &&
        waitpid(daemon->pid, &daemon->status, WNOHANG) == daemon->pid) {
        daemon->ended = true;
    }
    return !daemon->ended;
}

int
Rig_DaemonWait(int index, int timeout_ms)
{
    int64_t until = Rig_Now() + timeout_ms;
    while (Rig_DaemonAlive(index)) {
        if (Rig_Now() > until) {
            return -1;
        }
        Rig_Sleep(10);
    }
    return daemons[index].status;
}

void
Rig_DaemonSignal(int index, int number)
{
    Rig_Record("front-%d gets signal %d", index, number);
    kill(daemons[index].pid, number);
}

bool
Rig_DaemonReady(int index, int timeout_ms)
{
    int64_t until = Rig_Now() + timeout_ms;
    while (Rig_Now() < until && Rig_DaemonAlive(index)) {
        int fd = Rig_Connect(daemons[index].ready);
        if (fd >= 0) {
            Rig_SendText(fd, "GET /readyz HTTP/1.1\r\n"
                             "Host: h\r\nConnection: close\r\n\r\n");
            RigAnswer answer;
            Rig_ReadAnswer(fd, false, 1000, &answer);
            int status = answer.status;
            Rig_FreeAnswer(&answer);
            close(fd);
            if (status == 200) {
                return true;
            }
        }
        Rig_Sleep(50);
    }
    return false;
}

/* Clients */

int
Rig_Connect(int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
end_answer(RigAnswer *answer, int result)
{
    answer->timed_out = result == -2;
    answer->closed = result == -1 || result == -3;
    answer->malformed = result == -4;
    answer->complete = result == 0;
}

void
Rig_ReadAnswer(int fd, bool head_request, int timeout_ms, RigAnswer *answer)
{
    *answer = (RigAnswer){0};
    int64_t until_ms = wall_ms(CLOCK_MONOTONIC) + timeout_ms;
    char line[4096];
    char value[64];
    do {
        int result = read_line(fd, line, sizeof(line), until_ms);
        if (result < 0) {
            end_answer(answer, result);
            return;
        }
        if (sscanf(line, "HTTP/1.1 %d", &answer->status) != 1) {
            snprintf(answer->head, sizeof(answer->head), "%s", line);
            answer->status = 0;
            answer->malformed = true;
            return;
        }
        result = read_head(fd, answer->head, sizeof(answer->head), until_ms);
        if (result < 0) {
            end_answer(answer, result);
            return;
        }
    } while (answer->status < 200);
    int result = 0;
    if (head_request || answer->status == 204 || answer->status == 304) {
        result = 0;
    }
    else if (Rig_Header(answer->head, "Transfer-Encoding", value,
                        sizeof(value))) {
        result = read_chunks(fd, &answer->body, &answer->body_bytes, until_ms);
    }
    else if (Rig_Header(answer->head, "Content-Length", value,
                        sizeof(value))) {
        answer->body_bytes = strtoul(value, NULL, 10);
        answer->body = calloc(1, answer->body_bytes + 1);
        result = read_bytes(fd, answer->body, answer->body_bytes, until_ms);
    }
    if (answer->body != NULL) {
        answer->body = realloc(answer->body, answer->body_bytes + 1);
        answer->body[answer->body_bytes] = '\0';
    }
    end_answer(answer, result);
}

void
Rig_FreeAnswer(RigAnswer *answer)
{
    free(answer->body);
    answer->body = NULL;
}

int
Rig_Pending(int fd, int timeout_ms, char *bytes, size_t max)
{
    struct pollfd poll_fd = {fd, POLLIN, 0};
    if (poll(&poll_fd, 1, timeout_ms) == 0) {
        return 0;
    }
    ssize_t count = recv(fd, bytes, max - 1, MSG_PEEK);
    if (count <= 0) {
        return -1;
    }
    bytes[count] = '\0';
    return (int)count;
}

int
Rig_Ready(int index)
{
    return daemons[index].ready;
}
