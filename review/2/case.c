/* Anonymous routes after a configuration with another tenant. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../common/harness.h"

#define DAEMONS 3
#define BEFORE 30
#define AFTER 120
#define APPLY_MS 3500 /* config_apply_ms 2,000, and some more */

static const char config_format[] =
    "{\"version\":%d,\"routes\":["
    "{\"name\":\"stock-read\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/public/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,"
    "\"goal_ms\":300,\"priority\":2,\"service\":\"pedidos\",\"max_attempts\":"
    "2,"
    "\"anonymous\":true,\"sticky\":false,\"resumable\":false},"
    "{\"name\":\"stock-keyed\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/keyed/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,"
    "\"goal_ms\":300,\"priority\":2,\"service\":\"pedidos\",\"max_attempts\":"
    "2,"
    "\"anonymous\":false,\"sticky\":false,\"resumable\":false}],"
    "\"services\":[{\"name\":\"pedidos\",\"health_path\":\"/healthz\","
    "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
    "\"tenants\":[%s{\"name\":\"disco-recife\",\"api_keys\":[\"key-disco\"]},"
    "{\"name\":\"sebo-fortaleza\",\"api_keys\":[\"key-sebo\"]},"
    "{\"name\":\"vinil-salvador\",\"api_keys\":[\"key-vinil\"]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static Daemon daemons[DAEMONS];
static Server servers[3];

static bool
handle(Server *server, const Message *request, int fd)
{
    record("server %s runs %s %s", server->id,
           message_header(request, "Attempt-Id"), request->path);
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

/* Sends one request and returns the status of the answer, 0 without one. */
static int
ask(int number, const char *path, const char *key)
{
    const Daemon *daemon = &daemons[number % DAEMONS];
    char text[1024];
    char authorization[128] = "";
    Message response = {0};
    if (key != NULL) {
        snprintf(authorization, sizeof(authorization),
                 "Authorization: Bearer %s\r\n", key);
    }
    snprintf(text, sizeof(text),
             "GET %s%d HTTP/1.1\r\nHost: lojas.example\r\nAttempt-Id: a%06d"
             "\r\nDeadline-Ms: 1500\r\n%s\r\n",
             path, number, number, authorization);
    int fd = client_connect(daemon->front_port);
    if (fd < 0 || !client_send(fd, text) ||
        !client_read(fd, &response, 3000) || !response.complete) {
        response.status = 0;
    }
    const char *seal = message_header(&response, "Server-Seal");
    record("%s answers a%06d GET %s%d%s: %d%s", daemon->name, number, path,
           number, key != NULL ? " with a key" : " without a key",
           response.status, seal != NULL ? " sealed" : "");
    message_clear(&response);
    if (fd >= 0) {
        close(fd);
    }
    return response.status;
}

int
main(void)
{
    bool trouble = harness_start("review/2/record.txt");
    for (int i = 0; i < 3; i++) {
        Server *server = &servers[i];
        snprintf(server->id, sizeof(server->id), "i-pedidos-%d", i + 1);
        snprintf(server->zone, sizeof(server->zone), "zone-%d", i + 1);
        snprintf(server->service, sizeof(server->service), "pedidos");
        server->slots = 6;
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
    sleep_ms(3000);
    int number = 0;
    int served_before = 0;
    for (int i = 0; i < BEFORE; i++) {
        served_before += ask(number++, "/public/", NULL) == 200;
    }
    if (served_before < BEFORE) {
        record("only %d of %d requests were served at first", served_before,
               BEFORE);
        harness_exit(2);
    }
    if (trouble) {
        put_config(7, "{\"name\":\"agreste-natal\",\"api_keys\":"
                      "[\"key-agreste\"]},");
    }
    sleep_ms(APPLY_MS);
    int denied = 0;
    int served = 0;
    int keyed = 0;
    for (int i = 0; i < AFTER; i++) {
        int status = ask(number++, "/public/", NULL);
        denied += status == 401 || status == 403 || status == 404;
        served += status == 200;
        keyed +=
            ask(number++, "/keyed/",
                trouble && i % 2 == 0 ? "key-agreste" : "key-vinil") == 200;
        sleep_ms(20);
    }
    int sent = number;
    int allowed = 5 + sent / 500;
    record("after the change: %d of %d anonymous requests served, %d denied "
           "(the rule allows %d of %d); %d of %d with a key served",
           served, AFTER, denied, allowed, sent, keyed, AFTER);
    printf("denied %d, allowed %d\n", denied, allowed);
    harness_exit(denied > allowed ? 1 : 0);
}
