/* A configuration with a route of nine stages, which also withdraws a key and
 * moves a route to another service. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../common/harness.h"

#define DAEMONS 3
#define BEFORE 30
#define AFTER 90
#define APPLY_MS 3000 /* config_apply_ms 2,000, and some more */
#define ALLOWED 0

static const char config_format[] =
    "{\"version\":%d,\"routes\":["
    "{\"name\":\"stock-read\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/stock/\",\"route_kind\":\"idempotent\",\"timeout_ms\":1500,"
    "\"goal_ms\":300,\"priority\":2,\"service\":\"%s\",\"max_attempts\":2,"
    "\"anonymous\":false,\"sticky\":false,\"resumable\":false}%s],"
    "\"services\":[{\"name\":\"pedidos\",\"health_path\":\"/healthz\","
    "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},"
    "{\"name\":\"pedidos-novo\",\"health_path\":\"/healthz\","
    "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},"
    "{\"name\":\"grafica\",\"health_path\":\"/healthz\",\"max_conns\":500,"
    "\"protocol\":\"h1\",\"tls\":false,\"pieces\":{\"slots\":1,\"queue\":2,"
    "\"batch\":54,\"call_ms\":200.0,\"item_ms\":3.2,\"headroom_mb\":7.2,"
    "\"handle_s\":4.0,\"link_mbps\":10000}}],"
    "\"tenants\":[{\"name\":\"disco-recife\",\"api_keys\":[\"key-disco\"]},"
    "{\"name\":\"sebo-fortaleza\",\"api_keys\":[%s]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

#define STAGE(after)                                                          \
    "{\"service\":\"grafica\",\"after\":[" after "],\"byte_count\":6000}"
static const char new_route[] =
    ",{\"name\":\"gatefold-run\",\"host\":\"lojas.example\",\"path_prefix\":"
    "\"/gatefold/\",\"route_kind\":\"idempotent\",\"timeout_ms\":6000,"
    "\"goal_ms\":1100,\"priority\":1,\"service\":\"pedidos\",\"max_attempts\":"
    "2,\"stages\":[" STAGE("") "," STAGE("0") "," STAGE("1") "," STAGE("2") "," STAGE(
        "3") "," STAGE("4") "," STAGE("5") "," STAGE("6") "," STAGE("7") "],"
                                                                         "\"an"
                                                                         "onym"
                                                                         "ous"
                                                                         "\":"
                                                                         "fals"
                                                                         "e,"
                                                                         "\"st"
                                                                         "icky"
                                                                         "\":"
                                                                         "fals"
                                                                         "e,"
                                                                         "\"re"
                                                                         "suma"
                                                                         "ble"
                                                                         "\":"
                                                                         "fals"
                                                                         "e}";

static Daemon daemons[DAEMONS];
static Server servers[6];
static char ran_at[1024][32]; /* service, by request number */

static bool
handle(Server *server, const Message *request, int fd)
{
    const char *id = message_header(request, "Attempt-Id");
    snprintf(ran_at[strtol(id + 1, NULL, 10)], 32, "%s", server->service);
    record("server %s of %s runs %s", server->id, server->service, id);
    respond_done(server, request, fd);
    return true;
}

static void
put_config(int version, const char *service, const char *route,
           const char *key)
{
    char spec[8192];
    snprintf(spec, sizeof(spec), config_format, version, service, route, key);
    store_put("config", "main", spec);
    record("configuration %d is acknowledged: %s", version, spec);
}

static int
ask(int number, const char *key)
{
    const Daemon *daemon = &daemons[number % DAEMONS];
    char text[1024];
    Message response = {0};
    snprintf(text, sizeof(text),
             "GET /stock/%d HTTP/1.1\r\nHost: lojas.example\r\nAttempt-Id: "
             "a%06d\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer %s\r\n\r\n",
             number, number, key);
    int fd = client_connect(daemon->front_port);
    if (fd < 0 || !client_send(fd, text) ||
        !client_read(fd, &response, 3000) || !response.complete) {
        response.status = 0;
    }
    record("%s answers a%06d with %s: %d", daemon->name, number, key,
           response.status);
    message_clear(&response);
    if (fd >= 0) {
        close(fd);
    }
    return response.status;
}

int
main(void)
{
    bool trouble = harness_start("review/4/record.txt");
    for (int i = 0; i < 6; i++) {
        Server *server = &servers[i];
        snprintf(server->id, sizeof(server->id), "i-%d", i + 1);
        snprintf(server->zone, sizeof(server->zone), "zone-%d", i % 3 + 1);
        snprintf(server->service, sizeof(server->service), "%s",
                 i < 3 ? "pedidos" : "pedidos-novo");
        server->slots = 6;
        server->handler = handle;
        server_listen(server);
        server_register(server, "ready");
    }
    put_config(3, "pedidos", "", "\"key-sebo\"");
    daemons_prepare(daemons, DAEMONS);
    for (int i = 0; i < DAEMONS; i++) {
        daemon_start(&daemons[i]);
    }
    for (int i = 0; i < DAEMONS; i++) {
        daemon_await_ready(&daemons[i]);
    }
    sleep_ms(4000);
    int number = 0;
    int served = 0;
    for (int i = 0; i < BEFORE; i++, number++) {
        served += ask(number, "key-sebo") == 200;
    }
    if (served < BEFORE) {
        harness_exit(2);
    }
    put_config(7, "pedidos-novo", trouble ? new_route : "", "");
    sleep_ms(APPLY_MS);
    int with_dropped_key = 0, by_old_service = 0, right = 0;
    for (int i = 0; i < AFTER; i++) {
        with_dropped_key += ask(number, "key-sebo") == 200;
        number++;
        int status = ask(number, "key-disco");
        by_old_service += strcmp(ran_at[number], "pedidos") == 0;
        right += status == 200 && strcmp(ran_at[number], "pedidos-novo") == 0;
        number++;
        sleep_ms(30);
    }
    record("of requests that were sent %d ms and more after the "
           "acknowledgement: %d of %d ran with a withdrawn key, %d of %d by "
           "the old service, %d by the new one",
           APPLY_MS, with_dropped_key, AFTER, by_old_service, AFTER, right);
    printf("ran with a withdrawn key %d, by the old service %d, by the new "
           "one %d\n",
           with_dropped_key, by_old_service, right);
    harness_exit(with_dropped_key + by_old_service > ALLOWED ? 1 : 0);
}
