/* LIMIT: the machines of a deployment whose seeds are down at its first start
 * don't know each other, and each group of them uses the whole limit that a
 * server names.
 *
 * Usage: case_14 FOLDER */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define CONTACT_MS 3000 /* of the settings */
#define SETTLE_MS 4000  /* above contact_ms: the machines are in touch */
#define DAEMONS 8
#define LIMIT 10 /* requests a second, from all machines together */
#define PLAY_MS 14000
#define INTERVAL_MS 80 /* between the requests to one machine */
#define DEADLINE_MS 1500
#define WINDOW_MS 4000
#define ALLOWED (LIMIT * 3 / 2 * WINDOW_MS / 1000 + 5)
#define HEARD_MS                                                              \
    500 /* a machine has to keep to it so long after an answer                \
         */
#define MAX_REQUESTS 10000

static LabServer server = {.id = "i-1", .service = "orders", .slots = 64};
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int64_t named_ms = -1;          /* when the limit was first named */
static int64_t passed_ms[DAEMONS];     /* first answer passed on; 0: none */
static int64_t arrivals[MAX_REQUESTS]; /* those that count */
static int arrival_count;
static int by_machine[DAEMONS];
static int machines[DAEMONS];
static int most;
static volatile bool stopped;

/* Counts an arrival, and the most in any window that ends with one. */
static void
count_arrival(int machine)
{
    int64_t now_ms = lab_now();
    by_machine[machine]++;
    if (passed_ms[machine] == 0 || now_ms < passed_ms[machine] + HEARD_MS ||
        now_ms < named_ms + CONTACT_MS || arrival_count == MAX_REQUESTS) {
        return;
    }
    arrivals[arrival_count++] = now_ms;
    int count = 0;
    for (int i = arrival_count - 1; i >= 0 && arrivals[i] > now_ms - WINDOW_MS;
         i--) {
        count++;
    }
    most = count > most ? count : most;
}

static bool
run(LabConnection *connection, const LabMessage *request)
{
    char id[128];
    char extra[64];
    int machine = atoi(request->target + strlen("/order/"));
    lab_header(request, "Attempt-Id", id, sizeof(id));
    pthread_mutex_lock(&mutex);
    count_arrival(machine);
    lab_record("request %s of front-%d reaches %s", id, machine + 1,
               server.id);
    if (named_ms < 0) {
        named_ms = lab_now();
        lab_record("server %s names its limit, %d a second", server.id, LIMIT);
    }
    pthread_mutex_unlock(&mutex);
    lab_sleep(20);
    snprintf(extra, sizeof(extra), "Server-Limit: %d\r\n", LIMIT);
    return lab_answer(connection, request, 200, extra, "{}");
}

static void *
client(void *argument)
{
    const int *machine_of = argument;
    int machine = *machine_of;
    char id[32];
    char path[32];
    bool complete;
    snprintf(path, sizeof(path), "/order/%d", machine);
    LabAttempt attempt = {.daemon = machine,
                          .method = "POST",
                          .path = path,
                          .body = "{}",
                          .deadline_ms = DEADLINE_MS};
    int status = lab_attempt(&attempt, id, &complete);
    pthread_mutex_lock(&mutex);
    if (status == 200 && passed_ms[machine] == 0) {
        passed_ms[machine] = lab_now();
        lab_record("front-%d passes on its first answer with the limit",
                   machine + 1);
    }
    lab_record("request %s to front-%d: %d", id, machine + 1, status);
    pthread_mutex_unlock(&mutex);
    return NULL;
}

static void *
clients_of(void *machine)
{
    while (!stopped) {
        lab_thread(client, machine);
        lab_sleep(INTERVAL_MS);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    lab_begin(argc > 1 ? argv[1] : ".", 60);
    lab_store_start();
    server.run = run;
    lab_server_start(&server);
    lab_store_put(
        "config", "main",
        "{\"version\":11,\"routes\":[{\"name\":\"order\",\"host\":"
        "\"shop.example\",\"path_prefix\":\"/order/\",\"route_kind\":"
        "\"non_idempotent\",\"timeout_ms\":1500,\"goal_ms\":300,"
        "\"priority\":2,\"max_attempts\":1,\"service\":\"orders\"}],"
        "\"services\":[{\"name\":\"orders\",\"max_conns\":500}],\"tenants\":"
        "[{\"name\":\"shop\",\"api_keys\":[\"key-1\"]}],\"limits\":{"
        "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
        "\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}");
    lab_daemons_prepare(DAEMONS, !lab_trouble());
    lab_record(lab_trouble() ? "the machines of all seeds are down"
                             : "the seeds are the first three machines");
    for (int i = 0; i < DAEMONS; i++) {
        lab_daemon_start(i);
    }
    for (int i = 0; i < DAEMONS; i++) {
        lab_daemon_wait(i);
    }
    lab_sleep(SETTLE_MS);
    for (int i = 0; i < DAEMONS; i++) {
        machines[i] = i;
        lab_thread(clients_of, &machines[i]);
    }
    lab_sleep(PLAY_MS);
    stopped = true;
    lab_sleep(DEADLINE_MS + 200);
    pthread_mutex_lock(&mutex);
    for (int i = 0; i < DAEMONS; i++) {
        lab_record("front-%d sent %d requests", i + 1, by_machine[i]);
    }
    bool broken = most > ALLOWED;
    lab_record("at most %d requests in %d ms, where %d are allowed: LIMIT %s",
               most, WINDOW_MS, ALLOWED, broken ? "broken" : "held");
    lab_end(broken ? 1 : 0);
}
