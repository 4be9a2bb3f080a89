#define _GNU_SOURCE /* accept4 */
#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROGRAM "target/src/ebonyhollowd/ebonyhollowd"
#define MAX_DAEMONS 16
#define MAX_OBJECTS 1024
#define MAX_EVENTS 8192
#define READY_TIMEOUT_MS 15000

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t start_ms;
static char folder[64];
static int store_port;
static Daemon *started[MAX_DAEMONS];
static int started_count;

static int64_t
monotonic_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
    return monotonic_ms() - start_ms;
}

void
sleep_ms(int64_t duration_ms)
{
    if (duration_ms > 0) {
        usleep((useconds_t)duration_ms * 1000);
    }
}

void
record(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%7.3f ", (double)now_ms() / 1000);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* Messages */

const char *
message_header(const Message *message, const char *name)
{
    for (int i = 0; i < message->header_count; i++) {
        if (strcasecmp(message->names[i], name) == 0) {
            return message->values[i];
        }
    }
    return NULL;
}

void
message_clear(Message *message)
{
    free(message->body);
    message->body = NULL;
}

/* Reads up to `size` bytes that are there, waiting for the first at most until
 * the time. Returns their number, 0 at the end. */
static size_t
read_some(int fd, char *bytes, size_t size, int64_t until_ms)
{
    for (;;) {
        int64_t left_ms = until_ms - now_ms();
        struct pollfd waiting = {.fd = fd, .events = POLLIN};
        if (left_ms <= 0 || poll(&waiting, 1, (int)left_ms) <= 0) {
            return 0;
        }
        ssize_t count = read(fd, bytes, size);
        if (count > 0) {
            return (size_t)count;
        }
        if (count == 0 || errno != EINTR) {
            return 0;
        }
    }
}

static bool
read_line(int fd, char *line, size_t size, int64_t until_ms)
{
    size_t length = 0;
    char byte;
    while (read_some(fd, &byte, 1, until_ms) > 0) {
        if (byte == '\n') {
            if (length > 0 && line[length - 1] == '\r') {
                length--;
            }
            line[length] = '\0';
            return true;
        }
        if (length + 1 < size) {
            line[length++] = byte;
        }
    }
    return false;
}

static bool
read_bytes(int fd, Message *message, size_t count, int64_t until_ms)
{
    message->body = realloc(message->body, message->body_bytes + count + 1);
    size_t read = 1;
    while (count > 0 && read > 0) {
        read = read_some(fd, message->body + message->body_bytes, count,
                         until_ms);
        message->body_bytes += read;
        count -= read;
    }
    message->body[message->body_bytes] = '\0';
    return count == 0;
}

static bool
read_chunks(int fd, Message *message, int64_t until_ms)
{
    char line[256];
    while (read_line(fd, line, sizeof(line), until_ms)) {
        size_t size = strtoul(line, NULL, 16);
        if (!read_bytes(fd, message, size, until_ms) ||
            !read_line(fd, line, sizeof(line), until_ms)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

/* Reads a request or response. Returns false when none began. */
static bool
read_message(int fd, Message *message, int64_t until_ms)
{
    char line[2048];
    memset(message, 0, sizeof(*message));
    if (!read_line(fd, line, sizeof(line), until_ms)) {
        return false;
    }
    if (strncmp(line, "HTTP/1.1 ", 9) == 0) {
        message->status = atoi(line + 9);
    }
    else if (sscanf(line, "%15s %1023s", message->method, message->path) !=
             2) {
        return false;
    }
    while (read_line(fd, line, sizeof(line), until_ms)) {
        if (line[0] == '\0') {
            const char *length = message_header(message, "Content-Length");
            const char *coding = message_header(message, "Transfer-Encoding");
            if (coding != NULL) {
                message->complete = read_chunks(fd, message, until_ms);
            }
            else {
                message->complete = read_bytes(
                    fd, message,
                    length != NULL ? strtoul(length, NULL, 10) : 0, until_ms);
            }
            return true;
        }
        char *colon = strchr(line, ':');
        if (colon != NULL && message->header_count < MAX_HEADERS) {
            int i = message->header_count++;
            *colon = '\0';
            snprintf(message->names[i], sizeof(message->names[i]), "%.63s",
                     line);
            snprintf(message->values[i], sizeof(message->values[i]), "%.1023s",
                     colon + 1 + strspn(colon + 1, " "));
        }
    }
    return true;
}

static bool
write_all(int fd, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t written = send(fd, bytes, count, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        bytes += written;
        count -= (size_t)written;
    }
    return true;
}

void
respond(int fd, int status, const char *headers, const char *body)
{
    size_t size = strlen(headers) + strlen(body) + 256;
    char *text = malloc(size);
    int length = snprintf(text, size,
                          "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n"
                          "\r\n%s",
                          status, headers, strlen(body), body);
    write_all(fd, text, (size_t)length);
    free(text);
}

void
respond_done(const Server *server, const Message *request, int fd)
{
    const char *id = message_header(request, "Attempt-Id");
    char headers[512];
    char body[256];
    snprintf(headers, sizeof(headers),
             "Attempt-Id: %s\r\nServer-Seal: %s.%s\r\n", id, server->id, id);
    snprintf(body, sizeof(body), "answer of %s to %s", server->id, id);
    respond(fd, 200, headers, body);
}

/* Listeners */

static int
bind_port(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t length = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
        perror("bind");
        exit(2);
    }
    getsockname(fd, (struct sockaddr *)&address, &length);
    *port = ntohs(address.sin_port);
    return fd;
}

/* The ports are below the kernel's range for outgoing connections, which might
 * otherwise take one before a daemon listens on it. */
int
free_port(void)
{
    static uint32_t tried;
    for (;;) {
        struct sockaddr_in address = {
            .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        int port = 15000 + (int)(((uint32_t)getpid() * 61 + tried++) % 16000);
        address.sin_port = htons((uint16_t)port);
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bool bound =
            bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
        close(fd);
        if (bound) {
            return port;
        }
    }
}

typedef struct {
    int fd;
    void (*serve)(int fd, void *context);
    void *context;
} Work;

static void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    pthread_attr_setstacksize(&attributes, (size_t)512 * 1024);
    if (pthread_create(&thread, &attributes, run, argument) != 0) {
        fprintf(stderr, "no thread could be started\n");
        exit(2);
    }
    pthread_attr_destroy(&attributes);
}

static void *
run_connection(void *argument)
{
    Work work = *(Work *)argument;
    free(argument);
    work.serve(work.fd, work.context);
    close(work.fd);
    return NULL;
}

static void *
run_listener(void *argument)
{
    Work *listener = argument;
    for (;;) {
        int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        Work *work = malloc(sizeof(*work));
        *work = (Work){fd, listener->serve, listener->context};
        start_thread(run_connection, work);
    }
    return NULL;
}

static int
start_listener(void (*serve)(int, void *), void *context)
{
    int port;
    Work *listener = malloc(sizeof(*listener));
    *listener = (Work){bind_port(&port), serve, context};
    start_thread(run_listener, listener);
    return port;
}

/* Store */

typedef struct {
    char kind[64];
    char name[128];
    char *spec; /* NULL: deleted */
    uint64_t revision;
} Object;

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static Object objects[MAX_OBJECTS];
static int object_count;
static Object history[MAX_EVENTS];
static int event_count;
static uint64_t revision = 1;

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
put_locked(const char *kind, const char *name, const char *spec)
{
    Object *object = find_object(kind, name);
    if (object == NULL) {
        if (object_count == MAX_OBJECTS || event_count == MAX_EVENTS) {
            fprintf(stderr, "the store is full\n");
            exit(2);
        }
        object = &objects[object_count++];
        snprintf(object->kind, sizeof(object->kind), "%.63s", kind);
        snprintf(object->name, sizeof(object->name), "%.127s", name);
    }
    else if (object->spec != NULL && spec != NULL &&
             strcmp(object->spec, spec) == 0) {
        return object;
    }
    object->spec = spec != NULL ? strdup(spec) : NULL;
    object->revision = ++revision;
    history[event_count++] = *object;
    pthread_cond_broadcast(&store_changed);
    return object;
}

void
store_put(const char *kind, const char *name, const char *spec)
{
    pthread_mutex_lock(&store_lock);
    put_locked(kind, name, spec);
    pthread_mutex_unlock(&store_lock);
}

static void
write_object(FILE *out, const Object *object)
{
    fprintf(out,
            "{\"metadata\":{\"name\":\"%s\",\"revision\":%llu,\"created\":1,"
            "\"finalizers\":[],\"deletion_pending\":false},\"spec\":%s,"
            "\"status\":null}",
            object->name, (unsigned long long)object->revision,
            object->spec != NULL ? object->spec : "null");
}

static void
write_list(FILE *out, const char *kind)
{
    bool first = true;
    fprintf(out, "{\"items\":[");
    for (int i = 0; i < object_count; i++) {
        if (strcmp(objects[i].kind, kind) == 0 && objects[i].spec != NULL) {
            fprintf(out, "%s", first ? "" : ",");
            write_object(out, &objects[i]);
            first = false;
        }
    }
    fprintf(out, "],\"has_more\":false,\"current_rev\":%llu}",
            (unsigned long long)revision);
}

static bool
has_events(const char *kind, uint64_t since)
{
    for (int i = event_count - 1; i >= 0 && history[i].revision > since; i--) {
        if (strcmp(history[i].kind, kind) == 0) {
            return true;
        }
    }
    return false;
}

/* Waits until there are events or the time is over, with the lock held. */
static void
write_changes(FILE *out, const char *kind, uint64_t since, long wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += wait_ms % 1000 * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    while (!has_events(kind, since) &&
           pthread_cond_timedwait(&store_changed, &store_lock, &until) == 0) {
    }
    bool first = true;
    fprintf(out, "{\"events\":[");
    for (int i = 0; i < event_count; i++) {
        if (history[i].revision > since &&
            strcmp(history[i].kind, kind) == 0) {
            fprintf(out, "%s{\"deleted\":%s,\"object\":", first ? "" : ",",
                    history[i].spec == NULL ? "true" : "false");
            write_object(out, &history[i]);
            fprintf(out, "}");
            first = false;
        }
    }
    fprintf(out, "],\"current_rev\":%llu}", (unsigned long long)revision);
}

/* Copies the string after a key of a JSON text. */
static bool
find_text(const char *json, const char *key, char *value, size_t size)
{
    const char *found = json != NULL ? strstr(json, key) : NULL;
    if (found == NULL) {
        return false;
    }
    found += strlen(key);
    size_t length = strcspn(found, "\"");
    snprintf(value, size, "%.*s", (int)length, found);
    return true;
}

/* Handles a create or an update with the lock held. Returns the status. */
static int
write_call(FILE *out, const Message *request, const char *kind, char *name)
{
    char created_name[128];
    bool create = strcmp(request->method, "POST") == 0;
    if (create) {
        if (!find_text(request->body, "\"name\":\"", created_name,
                       sizeof(created_name))) {
            return 400;
        }
        name = created_name;
    }
    Object *object = find_object(kind, name);
    bool exists = object != NULL && object->spec != NULL;
    const char *text = strstr(request->body, "\"revision\":");
    uint64_t expected = text != NULL ? strtoull(text + 11, NULL, 10) : 0;
    if (!create && !exists) {
        return 404;
    }
    if ((create && exists) ||
        (!create && expected > 0 && expected != object->revision)) {
        write_object(out, object);
        return 409;
    }
    char *spec = strstr(request->body, "\"spec\":");
    if (spec == NULL) {
        return 400;
    }
    char *copy = strdup(spec + 7);
    copy[strlen(copy) - 1] = '\0'; /* the end of the whole body */
    write_object(out, put_locked(kind, name, copy));
    free(copy);
    return 200;
}

static int
answer_store(FILE *out, const Message *request)
{
    char kind[64] = "";
    char name[128] = "";
    char path[1024];
    snprintf(path, sizeof(path), "%s", request->path);
    char *query = strchr(path, '?');
    if (query != NULL) {
        *query++ = '\0';
    }
    int parts = sscanf(path, "/ebonyhollow/objects/%63[^/]/%127s", kind, name);
    if (parts < 1) {
        return 404;
    }
    if (strcmp(request->method, "GET") != 0) {
        if (strcmp(request->method, "DELETE") == 0) {
            put_locked(kind, name, NULL);
            fprintf(out, "{}");
            return 200;
        }
        return write_call(out, request, kind, name);
    }
    const char *watch = query != NULL ? strstr(query, "watch=") : NULL;
    const char *wait = query != NULL ? strstr(query, "wait_ms=") : NULL;
    if (parts == 2) {
        const Object *object = find_object(kind, name);
        if (object == NULL || object->spec == NULL) {
            return 404;
        }
        write_object(out, object);
    }
    else if (watch != NULL) {
        write_changes(out, kind, strtoull(watch + 6, NULL, 10),
                      wait != NULL ? strtol(wait + 8, NULL, 10) : 1000);
    }
    else {
        write_list(out, kind);
    }
    return 200;
}

static void
serve_store(int fd, void *context)
{
    (void)context;
    Message request;
    while (read_message(fd, &request, now_ms() + 120000) && request.complete) {
        char *text = NULL;
        size_t bytes = 0;
        FILE *out = open_memstream(&text, &bytes);
        pthread_mutex_lock(&store_lock);
        int status = answer_store(out, &request);
        pthread_mutex_unlock(&store_lock);
        fclose(out);
        respond(fd, status, "Content-Type: application/json\r\n", text);
        free(text);
        message_clear(&request);
    }
}

/* Servers */

static void
serve_server(int fd, void *context)
{
    Server *server = context;
    Message request;
    bool open = true;
    while (open && read_message(fd, &request, now_ms() + 120000) &&
           request.complete) {
        const char *expected = message_header(&request, "Expected-Instance");
        if (expected != NULL && strcmp(expected, server->id) != 0) {
            char header[80];
            snprintf(header, sizeof(header), "Instance-Id: %s\r\n",
                     server->id);
            respond(fd, 421, header, "");
        }
        else {
            open = server->handler(server, &request, fd);
        }
        message_clear(&request);
    }
}

void
server_listen(Server *server)
{
    server->port = start_listener(serve_server, server);
}

void
server_register(const Server *server, const char *state)
{
    char spec[512];
    snprintf(spec, sizeof(spec),
             "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":"
             "\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_left_ms\":0,\"seq\":1,\"born\":1}",
             server->service, server->port, server->zone, server->slots,
             state);
    store_put("servers", server->id, spec);
}

/* Daemons */

/* The settings of a small deployment, as in the example of the users' page.
 */
static const char settings_format[] =
    "node: \"%s\"\nrole: \"daemon\"\nmachine_class: \"front\"\n"
    "serves:\n  - \"front\"\n  - \"control\"\nip: \"127.0.0.1\"\n"
    "zone: \"zone-%d\"\nregion: \"nordeste\"\n"
    "listen:\n  front: \"127.0.0.1:%d\"\n  ready: \"127.0.0.1:%d\"\n"
    "  control: \"127.0.0.1:%d\"\n"
    "seeds:\n  - \"127.0.0.1:%d\"\nbootstrap: true\n"
    "limits:\n  cpu_share: 1.0\n  cores: 1\n  memory_mb: 260\n"
    "  max_fds: 4100\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_dir: null\n"
    "discovery: \"platform\"\nentry: \"vip\"\nheartbeat_ms: 1200\n"
    "bounds:\n  contact_ms: 3000\n  ack_ms: 4000\n  drain_ms: 2000\n"
    "  grace_s: 8\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n"
    "  back_ms: 250\n  stretch_max_ms: 5000\n"
    "platform:\n  address: \"127.0.0.1:%d\"\n  form: \"objects\"\n"
    "  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n"
    "  value_bytes: 1048576\n";

static void
settings_path(const Daemon *daemon, char *path, size_t size)
{
    snprintf(path, size, "%s/%s.yaml", folder, daemon->name);
}

void
daemons_prepare(Daemon *daemons, int count)
{
    for (int i = 0; i < count; i++) {
        Daemon *daemon = &daemons[i];
        snprintf(daemon->name, sizeof(daemon->name), "front-%d", i + 1);
        daemon->front_port = free_port();
        daemon->ready_port = free_port();
        daemon->control_port = free_port();
        char path[128];
        settings_path(daemon, path, sizeof(path));
        FILE *file = fopen(path, "w");
        if (file == NULL) {
            perror(path);
            harness_exit(2);
        }
        fprintf(file, settings_format, daemon->name, i % 3 + 1,
                daemon->front_port, daemon->ready_port, daemon->control_port,
                daemons[0].control_port, store_port);
        fclose(file);
    }
}

void
daemon_start(Daemon *daemon)
{
    char path[128];
    char log[128];
    settings_path(daemon, path, sizeof(path));
    snprintf(log, sizeof(log), "%s/%s.log", folder, daemon->name);
    daemon->pid = fork();
    if (daemon->pid < 0) {
        perror("fork");
        harness_exit(2);
    }
    if (daemon->pid == 0) {
        int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        /* A daemon must not outlive this program, however it ends. */
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("EBONYHOLLOW_NODE_FILE", path, 1);
        execl(PROGRAM, PROGRAM, "--platform", (char *)NULL);
        _exit(127);
    }
    bool known = false;
    for (int i = 0; i < started_count; i++) {
        known = known || started[i] == daemon;
    }
    if (!known) {
        started[started_count++] = daemon;
    }
}

bool
daemon_has_ended(Daemon *daemon, int *wait_status)
{
    if (daemon->pid > 0 &&
        waitpid(daemon->pid, wait_status, WNOHANG) == daemon->pid) {
        daemon->pid = 0;
        return true;
    }
    return false;
}

void
daemon_await_ready(const Daemon *daemon)
{
    int64_t until_ms = now_ms() + READY_TIMEOUT_MS;
    while (now_ms() < until_ms) {
        Message response = {0};
        int fd = client_connect(daemon->ready_port);
        bool ready = fd >= 0 &&
                     client_send(fd, "GET /readyz HTTP/1.1\r\nHost: ready\r\n"
                                     "Connection: close\r\n\r\n") &&
                     client_read(fd, &response, 1000) &&
                     response.status == 200;
        message_clear(&response);
        if (fd >= 0) {
            close(fd);
        }
        if (ready) {
            return;
        }
        sleep_ms(50);
    }
    fprintf(stderr, "%s is not ready\n", daemon->name);
    harness_exit(2);
}

/* Clients */

int
client_connect(int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

bool
client_send(int fd, const char *text)
{
    return write_all(fd, text, strlen(text));
}

bool
client_read(int fd, Message *response, int64_t timeout_ms)
{
    return read_message(fd, response, now_ms() + timeout_ms);
}

/* Start and end */

bool
harness_start(const char *record_path)
{
    start_ms = monotonic_ms();
    signal(SIGPIPE, SIG_IGN);
    record_file = fopen(record_path, "w");
    snprintf(folder, sizeof(folder), "/tmp/ebonyhollow-review-XXXXXX");
    if (record_file == NULL || mkdtemp(folder) == NULL ||
        access(PROGRAM, X_OK) != 0) {
        fprintf(stderr, "no record, folder or " PROGRAM "\n");
        exit(2);
    }
    store_port = start_listener(serve_store, NULL);
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

static void
remove_folder(void)
{
    const char *keep = getenv("KEEP");
    if (keep != NULL) {
        fprintf(stderr, "kept %s\n", folder);
        return;
    }
    for (int i = 0; i < started_count; i++) {
        char path[128];
        settings_path(started[i], path, sizeof(path));
        unlink(path);
        snprintf(path, sizeof(path), "%s/%s.log", folder, started[i]->name);
        unlink(path);
    }
    rmdir(folder);
}

void
harness_exit(int status)
{
    for (int i = 0; i < started_count; i++) {
        if (started[i]->pid > 0) {
            kill(started[i]->pid, SIGCONT);
            kill(started[i]->pid, SIGKILL);
            waitpid(started[i]->pid, NULL, 0);
        }
    }
    remove_folder();
    record("exit %d", status);
    fflush(NULL);
    _exit(status);
}
