/* DRAIN: a request reaches a server that has left, after the configuration has
 * moved its route to another service and no longer lists the old one.
 *
 * Usage: case_11 FOLDER */
#include <stdio.h>
#include <string.h>

#include "lab.h"

#define DRAIN_MS 2000  /* of the settings */
#define SETTLE_MS 4000 /* above contact_ms: the machines are in touch */
#define STREAMS 8
#define EVENTS 30
#define PAUSE_MS 200
#define DEADLINE_MS 20000
#define LEAVE_MS 7000 /* from `draining` until the server exits */

static LabServer old_servers[2] = {
    {.id = "i-old-1", .service = "assistant-1", .slots = 4},
    {.id = "i-old-2", .service = "assistant-1", .slots = 4},
};
static LabServer new_server = {
    .id = "i-new-1", .service = "assistant-2", .slots = 64};
static volatile int64_t draining_ms; /* 0: not yet */
static volatile int late_requests;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;

static bool
run(LabConnection *connection, const LabMessage *request)
{
    char id[128];
    const LabServer *server = connection->server;
    lab_header(request, "Attempt-Id", id, sizeof(id));
    pthread_mutex_lock(&mutex);
    int64_t after_ms = draining_ms > 0 ? lab_now() - draining_ms : 0;
    bool late = server != &new_server && after_ms > DRAIN_MS;
    late_requests += late;
    if (late) {
        lab_record("request %s reaches and runs at %s, %lld ms after the "
                   "store had acknowledged that it is draining",
                   id, server->id, (long long)after_ms);
    }
    else {
        lab_record("request %s reaches and runs at %s", id, server->id);
    }
    pthread_mutex_unlock(&mutex);
    return lab_stream(connection, request, EVENTS, PAUSE_MS);
}

static void
configure(int version, const char *service, const char *services)
{
    char text[2048];
    snprintf(text, sizeof(text),
             "{\"version\":%d,\"routes\":[{\"name\":\"chat\",\"host\":"
             "\"shop.example\",\"path_prefix\":\"/chat/\",\"route_kind\":"
             "\"streaming\",\"timeout_ms\":20000,\"goal_ms\":1800,"
             "\"gap_target_ms\":300,\"priority\":2,\"max_attempts\":2,"
             "\"resumable\":true,\"sticky\":true,\"service\":\"%s\"}],"
             "\"services\":[%s],\"tenants\":[{\"name\":\"shop\",\"api_keys\":"
             "[\"key-1\"]}],\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":1048576,\"header_timeout_ms\":5000,"
             "\"idle_timeout_ms\":10000}}",
             version, service, services);
    lab_store_put("config", "main", text);
    lab_record("the store acknowledges: configuration %d, route to %s",
               version, service);
}

static void *
client(void *argument)
{
    (void)argument;
    char id[32];
    bool complete;
    LabAttempt attempt = {.daemon = 0,
                          .method = "POST",
                          .path = "/chat/1",
                          .headers =
                              "Model: m\r\nToken-Count: 715,280\r\n"
                              "Prefix-Hash: 5c1e07a2:172,91bd3f06:543\r\n",
                          .body = "{}",
                          .deadline_ms = DEADLINE_MS};
    lab_record("a client sends its request to front-1");
    int status = lab_attempt(&attempt, id, &complete);
    lab_record("the client of %s gets %d, %s", id, status,
               complete ? "whole" : "cut off");
    return NULL;
}

int
main(int argc, char **argv)
{
    static const char both[] =
        "{\"name\":\"assistant-1\",\"engine\":{},\"max_conns\":500},"
        "{\"name\":\"assistant-2\",\"engine\":{},\"max_conns\":500}";
    static const char one[] =
        "{\"name\":\"assistant-2\",\"engine\":{},\"max_conns\":500}";
    lab_begin(argc > 1 ? argv[1] : ".", 60);
    lab_store_start();
    for (int i = 0; i < 2; i++) {
        old_servers[i].run = run;
        lab_server_start(&old_servers[i]);
    }
    new_server.run = run;
    lab_server_start(&new_server);
    configure(11, "assistant-1", both);
    lab_daemons_prepare(3, true);
    for (int i = 0; i < 3; i++) {
        lab_daemon_start(i);
    }
    for (int i = 0; i < 3; i++) {
        lab_daemon_wait(i);
    }
    lab_sleep(SETTLE_MS);
    for (int i = 0; i < STREAMS; i++) {
        lab_thread(client, NULL);
    }
    lab_sleep(1000);
    /* Planned work: the route moves, then the servers of the old service
     * leave. With TROUBLE=0 the service stays listed. */
    configure(14, "assistant-2", lab_trouble() ? one : both);
    lab_sleep(1000);
    for (int i = 0; i < 2; i++) {
        lab_server_report(&old_servers[i], "draining");
    }
    draining_ms = lab_now();
    lab_sleep(LEAVE_MS);
    for (int i = 0; i < 2; i++) {
        lab_record("server %s exits", old_servers[i].id);
        lab_server_crash(&old_servers[i]);
        lab_store_put("servers", old_servers[i].id, NULL);
    }
    lab_sleep(4000);
    lab_record("%d requests reached a server later than %d ms after the "
               "acknowledgement that it was draining: DRAIN %s",
               late_requests, DRAIN_MS, late_requests > 0 ? "broken" : "held");
    lab_end(late_requests > 0 ? 1 : 0);
}
