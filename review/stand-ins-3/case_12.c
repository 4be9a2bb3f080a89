/* LOST: a part that sound requests share with those that crash servers was
 * quarantined and released, and comes back from a read of the store that is
 * seconds old. From then on all sound requests with it are refused.
 *
 * Usage: case_12 FOLDER */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define CONTACT_MS 3000 /* of the settings */
#define SETTLE_MS 4000  /* above contact_ms: the machines are in touch */
#define SERVERS 8
#define DAEMONS 3
#define SOUND_INTERVAL_MS 1000
#define BAD_INTERVAL_MS 150
#define BAD_GROUPS 10
#define AGE_MS 1500   /* of serializable reads */
#define LIST_MS 60000 /* between the lists of a daemon */
#define FIRST_EVENT_MS 1000
#define BACK_MS 2000 /* from a crash until the server is back */
#define DEADLINE_MS 6000
#define LEAST 20 /* requests of either kind, by the rule */
#define BAD_PART "bad0ba00:100,"

typedef struct {
    int number;
    int topic;
    bool bad;
} Request;

/* Sound requests that were sent in one of the spans that the rule compares,
 * and those that began at their first attempt. */
typedef struct {
    int sent;
    int begun;
} Span;

static LabServer servers[SERVERS];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int crashes;
static int64_t fifth_ms;
static int64_t first_list_ms = -1;
static Span before;
static Span after;
static int64_t bad_begin_ms = INT64_MAX;

static void
record_list(const char *kind, bool stale, const char *list)
{
    bool empty = strstr(list, "\"name\"") == NULL;
    if (stale && strcmp(kind, "daemons") != 0) {
        if (first_list_ms < 0) {
            first_list_ms = lab_now();
        }
        lab_record("a machine lists %s, %d ms old: %s", kind, AGE_MS,
                   empty ? "none" : list);
    }
}

static void
record_write(const char *kind, const char *name, bool removed)
{
    lab_record("the store: %s/%s %s", kind, name,
               removed ? "is removed" : "is written");
}

static void *
bring_back(void *argument)
{
    lab_sleep(BACK_MS);
    lab_server_restart(argument);
    return NULL;
}

static void
crash(LabServer *server)
{
    if (!lab_server_crash(server)) {
        return;
    }
    pthread_mutex_lock(&mutex);
    crashes++;
    if (crashes <= 5) {
        fifth_ms = lab_now();
    }
    lab_record("server %s crashes, crash %d", server->id, crashes);
    pthread_mutex_unlock(&mutex);
    lab_thread(bring_back, server);
}

static bool
run(LabConnection *connection, const LabMessage *request)
{
    char parts[1024];
    lab_header(request, "Prefix-Hash", parts, sizeof(parts));
    if (strstr(parts, BAD_PART) != NULL) {
        lab_sleep(FIRST_EVENT_MS);
        if (lab_trouble()) {
            crash(connection->server);
            return false;
        }
    }
    return lab_stream(connection, request, 5, 20);
}

static void *
client(void *argument)
{
    Request *request = argument;
    char id[32];
    char path[32];
    char headers[512];
    bool complete;
    int64_t sent_ms = lab_now();
    snprintf(headers, sizeof(headers),
             "Prefix-Hash: 5c1e07a2:341,%s%x:227,%x:1232\r\nModel: m\r\n"
             "Token-Count: 1800,24\r\n",
             request->bad ? BAD_PART : "", 0x77a10000 + request->topic,
             0x91bd0000 + request->number);
    snprintf(path, sizeof(path), "/query/%d", request->number);
    LabAttempt attempt = {.daemon = request->number % DAEMONS,
                          .method = "POST",
                          .path = path,
                          .headers = headers,
                          .body = "{}",
                          .deadline_ms = DEADLINE_MS};
    int status = lab_attempt(&attempt, id, &complete);
    pthread_mutex_lock(&mutex);
    bool is_after = crashes > 0 && sent_ms > fifth_ms + 2L * CONTACT_MS;
    Span *span = sent_ms < bad_begin_ms ? &before : is_after ? &after : NULL;
    if (!request->bad && span != NULL) {
        span->sent++;
        span->begun += status == 200;
    }
    lab_record("request %s to front-%d, %s: %d", id, attempt.daemon + 1,
               request->bad ? "with the part" : "sound", status);
    pthread_mutex_unlock(&mutex);
    free(request);
    return NULL;
}

static void
start_client(int topic, bool bad)
{
    static int last;
    Request *request = calloc(1, sizeof(*request));
    *request = (Request){++last, topic, bad};
    lab_thread(client, request);
}

/* Sends sound requests until a time. */
static void
send_sound(int64_t until_ms)
{
    while (lab_now() < until_ms) {
        start_client(rand() % BAD_GROUPS, false);
        lab_sleep(SOUND_INTERVAL_MS);
    }
}

/* Sends requests with the part, two at a time. */
static void
send_bad(void)
{
    bad_begin_ms = lab_now();
    for (int i = 0; i < BAD_GROUPS; i++) {
        start_client(i, true);
        start_client(i, true);
        lab_sleep(BAD_INTERVAL_MS);
    }
}

static void
configure(void)
{
    lab_store_put(
        "config", "main",
        "{\"version\":11,\"routes\":[{\"name\":\"query\",\"host\":"
        "\"shop.example\",\"path_prefix\":\"/query/\",\"route_kind\":"
        "\"streaming\",\"timeout_ms\":6000,\"goal_ms\":1900,"
        "\"gap_target_ms\":300,\"priority\":1,\"max_attempts\":1,"
        "\"sticky\":true,\"service\":\"assistant\"}],\"services\":[{\"name\":"
        "\"assistant\",\"engine\":{},\"max_conns\":500}],\"tenants\":["
        "{\"name\":\"shop\",\"api_keys\":[\"key-1\"]}],\"limits\":{"
        "\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
        "\"header_timeout_ms\":5000,\"idle_timeout_ms\":10000}}");
}

int
main(int argc, char **argv)
{
    lab_begin(argc > 1 ? argv[1] : ".", 118);
    lab_store_age_ms = AGE_MS;
    lab_store_listed = record_list;
    lab_store_written = record_write;
    lab_store_start();
    for (int i = 0; i < SERVERS; i++) {
        snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i + 1);
        strcpy(servers[i].service, "assistant");
        servers[i].slots = 32;
        servers[i].run = run;
        lab_server_start(&servers[i]);
    }
    configure();
    lab_daemons_prepare(DAEMONS, true);
    for (int i = 0; i < DAEMONS; i++) {
        lab_daemon_start(i);
    }
    for (int i = 0; i < DAEMONS; i++) {
        lab_daemon_wait(i);
    }
    lab_sleep(SETTLE_MS);
    int64_t list_ms = first_list_ms + LIST_MS;
    send_sound(list_ms - 5600);
    lab_sleep(list_ms - 4800 - lab_now());
    send_bad();
    lab_sleep(list_ms - 800 - lab_now());
    while (lab_now() < list_ms + 36000) {
        send_sound(lab_now() + 4L * SOUND_INTERVAL_MS);
        start_client(0, true); /* such requests still come */
    }
    lab_sleep(2000);
    pthread_mutex_lock(&mutex);
    bool compared = before.sent >= LEAST && after.sent >= LEAST;
    bool broken =
        compared && after.begun * before.sent * 2 < before.begun * after.sent;
    lab_record("%d crashes; sound requests begun at the first attempt: %d of "
               "%d before, %d of %d from 2 x contact_ms after the fifth "
               "crash: LOST %s",
               crashes, before.begun, before.sent, after.begun, after.sent,
               broken ? "broken" : "held");
    lab_end(broken ? 1 : 0);
}
