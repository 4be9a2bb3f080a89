/* Requests in progress when a tenant named "anonymous" is configured. */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../common/harness.h"

#define DAEMONS 6
#define SERVERS 3
#define CLIENTS (4 * DAEMONS) /* with a long request each */
#define READS_EACH 30         /* requests without a key at each machine */
#define WORK_MS 4500          /* of a long request */
#define DEADLINE_MS 20000
#define COUNTED_MS 3000 /* config_apply_ms + 1 s after the acknowledgement */
#define RESTART_MS 500

static const char config_format[] =
    "{\"version\":%d,\"routes\":["
    "{\"name\":\"counter-chat\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/chat/\",\"route_kind\":\"idempotent\",\"timeout_ms\":20000,"
    "\"goal_ms\":1800,\"priority\":2,\"service\":\"pedidos\",\"max_attempts\":"
    "2,\"anonymous\":false,\"sticky\":false,\"resumable\":false},"
    "{\"name\":\"public-read\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/public/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,"
    "\"goal_ms\":300,\"priority\":2,\"service\":\"pedidos\",\"max_attempts\":"
    "2,"
    "\"anonymous\":true,\"sticky\":false,\"resumable\":false}],"
    "\"services\":[{\"name\":\"pedidos\",\"health_path\":\"/healthz\","
    "\"max_conns\":500,\"protocol\":\"h1\",\"tls\":false}],"
    "\"tenants\":[%s{\"name\":\"disco-recife\",\"api_keys\":[\"key-disco\"]},"
    "{\"name\":\"sebo-fortaleza\",\"api_keys\":[\"key-sebo\"]},"
    "{\"name\":\"vinil-salvador\",\"api_keys\":[\"key-vinil\"]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static Daemon daemons[DAEMONS];
static Server servers[SERVERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool passed_on[CLIENTS];
static bool lost[CLIENTS];
static bool answered[CLIENTS];
static int64_t changed_ms;
static int ended;

static bool
handle(Server *server, const Message *request, int fd)
{
    const char *id = message_header(request, "Attempt-Id");
    bool is_long = id[0] == 'c';
    if (is_long) {
        pthread_mutex_lock(&lock);
        passed_on[atoi(id + 1)] = true;
        pthread_mutex_unlock(&lock);
    }
    record("server %s runs %s", server->id, id);
    sleep_ms(is_long ? WORK_MS : 0);
    respond_done(server, request, fd);
    return true;
}

static void
put_config(int version, const char *first_tenant)
{
    char spec[4096];
    snprintf(spec, sizeof(spec), config_format, version, first_tenant);
    store_put("config", "main", spec);
    record("configuration %d is acknowledged: %s", version, spec);
}

/* Sends a request and waits for the answer. Returns its status, 0 without. */
static int
ask(const Daemon *daemon, const char *path, const char *id, const char *key)
{
    char text[1024];
    Message response = {0};
    snprintf(text, sizeof(text),
             "GET %s HTTP/1.1\r\nHost: lojas.example\r\nAttempt-Id: %s\r\n"
             "Deadline-Ms: %d\r\n%s%s%s\r\n",
             path, id, DEADLINE_MS,
             key != NULL ? "Authorization: Bearer " : "",
             key != NULL ? key : "", key != NULL ? "\r\n" : "");
    int fd = client_connect(daemon->front_port);
    bool complete = fd >= 0 && client_send(fd, text) &&
                    client_read(fd, &response, DEADLINE_MS) &&
                    response.complete;
    int status = complete ? response.status : 0;
    record("%s: %s %s: %s%d", daemon->name, id, path,
           complete ? "answer " : "the connection ended, ", status);
    message_clear(&response);
    if (fd >= 0) {
        close(fd);
    }
    return status;
}

static void *
run_client(void *argument)
{
    int client = *(const int *)argument;
    char id[16];
    snprintf(id, sizeof(id), "c%06d", client);
    int64_t sent_ms = now_ms();
    int status = ask(&daemons[client % DAEMONS], "/chat/1", id, "key-disco");
    int64_t took_ms = now_ms() - sent_ms;
    pthread_mutex_lock(&lock);
    answered[client] = status == 200;
    lost[client] = status == 0 && passed_on[client] && changed_ms > 0 &&
                   now_ms() <= changed_ms + COUNTED_MS &&
                   took_ms < DEADLINE_MS * 7 / 10;
    pthread_mutex_unlock(&lock);
    return NULL;
}

/* Starts processes again that have ended, as the platform does. */
static void
watch_daemons(int64_t until_ms)
{
    int64_t restart_ms[DAEMONS] = {0};
    while (now_ms() < until_ms) {
        for (int i = 0; i < DAEMONS; i++) {
            int status = 0;
            if (daemon_has_ended(&daemons[i], &status)) {
                ended++;
                restart_ms[i] = now_ms() + RESTART_MS;
                record("%s has ended by itself: %s %d", daemons[i].name,
                       WIFSIGNALED(status) ? "signal" : "status",
                       WIFSIGNALED(status) ? WTERMSIG(status)
                                           : WEXITSTATUS(status));
            }
            if (restart_ms[i] > 0 && now_ms() >= restart_ms[i]) {
                restart_ms[i] = 0;
                record("%s is started again", daemons[i].name);
                daemon_start(&daemons[i]);
            }
        }
        sleep_ms(10);
    }
}

int
main(void)
{
    bool trouble = harness_start("review/1/record.txt");
    for (int i = 0; i < SERVERS; i++) {
        Server *server = &servers[i];
        snprintf(server->id, sizeof(server->id), "i-pedidos-%d", i + 1);
        snprintf(server->zone, sizeof(server->zone), "zone-%d", i + 1);
        snprintf(server->service, sizeof(server->service), "pedidos");
        server->slots = 48;
        server->handler = handle;
        server_listen(server);
        server_register(server, "ready");
    }
    put_config(3, "");
    daemons_prepare(daemons, DAEMONS);
    for (int i = 0; i < DAEMONS; i++) {
        daemon_start(&daemons[i]);
    }
    for (int i = 0; i < DAEMONS; i++) {
        daemon_await_ready(&daemons[i]);
    }
    sleep_ms(4000);
    pthread_t clients[CLIENTS];
    int numbers[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        numbers[i] = i;
        pthread_create(&clients[i], NULL, run_client, &numbers[i]);
    }
    sleep_ms(200);
    int reads = 0;
    for (int i = 0; i < READS_EACH * DAEMONS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "p%06d", i);
        reads += ask(&daemons[i % DAEMONS], "/public/1", id, NULL) == 200;
    }
    pthread_mutex_lock(&lock);
    changed_ms = now_ms();
    pthread_mutex_unlock(&lock);
    put_config(7, trouble ? "{\"name\":\"anonymous\",\"api_keys\":"
                            "[\"key-anonymous\"]},"
                          : "{\"name\":\"cafe-natal\",\"api_keys\":"
                            "[\"key-cafe\"]},");
    watch_daemons(now_ms() + WORK_MS + 1000);
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    int lost_count = 0, answered_count = 0;
    for (int i = 0; i < CLIENTS; i++) {
        lost_count += lost[i];
        answered_count += answered[i];
    }
    record("%d requests without a key served before the change; of %d long "
           "requests %d answered, %d cut after they had been passed on, "
           "within %d ms of the change; processes ended by themselves %d "
           "times",
           reads, CLIENTS, answered_count, lost_count, COUNTED_MS, ended);
    printf("lost %d, answered %d of %d; processes ended by themselves %d "
           "times\n",
           lost_count, answered_count, CLIENTS, ended);
    if (reads < READS_EACH * DAEMONS) {
        harness_exit(2);
    }
    harness_exit(lost_count > 0 ? 1 : 0);
}
