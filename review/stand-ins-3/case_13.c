/* BUDGET: the ids of parts of prompts with more than 16 hexadecimal digits are
 * taken for one and the same, so that a part that crashes servers is never
 * told from the others and its requests go on to reach servers.
 *
 * Usage: case_13 FOLDER */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

#define CONTACT_MS 3000 /* of the settings */
#define SETTLE_MS 4000  /* above contact_ms: the machines are in touch */
#define SERVERS 6
#define DAEMONS 3
#define REQUESTS 300
#define INTERVAL_MS 100
#define BAD_EVERY 20 /* one request in so many has the part */
#define TOPICS 12    /* a part of the prompt that requests share */
#define BACK_MS 2000 /* from a crash until the server is back */
#define DEADLINE_MS 6000
#define ALLOWED 3 /* by the rule, later than contact_ms after crash 5 */
/* Ids of 128 bits, such as those of usual hashes. */
#define FIRST_PART "5c1e07a2b4401fd38c2a90e7715d6f03"
#define BAD_PART "bad0ba00e1d94c7700aa51f2c9d3e864"
#define MORE_PART "9e40c37d15fa8826b07dd2c1a4937e55"
#define TOPIC_PART "77a1f0c65b2e4d918e3307ac%08x"
#define OWN_PART "91bd03f04ce27a6815f9b0d3%08x"

static LabServer servers[SERVERS];
static int numbers[REQUESTS];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int crashes;
static int64_t fifth_ms;
static int bad_requests;
static int late_bad_requests;
static int sound_requests;
static int sound_whole;
static int sound_cut;

static void *
bring_back(void *argument)
{
    lab_sleep(BACK_MS);
    lab_server_restart(argument);
    return NULL;
}

static void
record_bad(const LabServer *server, const char *id)
{
    pthread_mutex_lock(&mutex);
    bool late = crashes >= 5 && lab_now() > fifth_ms + CONTACT_MS;
    bad_requests++;
    late_bad_requests += late;
    lab_record("request %s with the part reaches %s, after %d crashes%s", id,
               server->id, crashes,
               late ? ", later than contact_ms after the fifth" : "");
    pthread_mutex_unlock(&mutex);
}

static void
crash(LabServer *server)
{
    if (!lab_server_crash(server)) {
        return;
    }
    pthread_mutex_lock(&mutex);
    if (++crashes == 5) {
        fifth_ms = lab_now();
    }
    lab_record("server %s crashes, crash %d", server->id, crashes);
    pthread_mutex_unlock(&mutex);
    lab_thread(bring_back, server);
}

static bool
run(LabConnection *connection, const LabMessage *request)
{
    char id[128];
    char parts[512];
    lab_header(request, "Attempt-Id", id, sizeof(id));
    lab_header(request, "Prefix-Hash", parts, sizeof(parts));
    if (strstr(parts, &BAD_PART[24]) != NULL) {
        record_bad(connection->server, id);
        lab_sleep(50);
        if (lab_trouble()) {
            crash(connection->server);
            return false;
        }
    }
    return lab_stream(connection, request, 6, 150);
}

/* Writes the parts of a prompt. SHORT=1, for comparison: only the last eight
 * digits of each id. */
static void
write_parts(char *text, size_t text_bytes, int number, bool bad)
{
    bool is_short = getenv("SHORT") != NULL;
    int skipped = is_short ? 24 : 0;
    char topic[40];
    char own[40];
    snprintf(topic, sizeof(topic), TOPIC_PART, 0x700U + number % TOPICS);
    snprintf(own, sizeof(own), OWN_PART, 0x10000U + number);
    const char *second = bad ? BAD_PART : number % 2 == 0 ? MORE_PART : NULL;
    snprintf(text, text_bytes,
             "Prefix-Hash: %s:341,%s%s%s:227,%s:1232\r\nModel: m\r\n"
             "Token-Count: 1800,24\r\n",
             &FIRST_PART[skipped], second != NULL ? &second[skipped] : "",
             second != NULL ? ":100," : "", &topic[skipped], &own[skipped]);
}

static void *
client(void *argument)
{
    const int *number_of = argument;
    int number = *number_of;
    bool bad = number % BAD_EVERY == BAD_EVERY - 1;
    char id[32];
    char path[64];
    char headers[512];
    bool complete;
    snprintf(path, sizeof(path), "/query/%d", number);
    write_parts(headers, sizeof(headers), number, bad);
    LabAttempt attempt = {.daemon = number % DAEMONS,
                          .method = "POST",
                          .path = path,
                          .headers = headers,
                          .body = "{}",
                          .deadline_ms = DEADLINE_MS};
    int status = lab_attempt(&attempt, id, &complete);
    pthread_mutex_lock(&mutex);
    sound_requests += !bad;
    sound_whole += !bad && status == 200 && complete;
    sound_cut += !bad && status == 200 && !complete;
    lab_record("request %s to front-%d, %s: %d, %s", id, attempt.daemon + 1,
               bad ? "with the part" : "sound", status,
               complete ? "whole" : "cut off");
    pthread_mutex_unlock(&mutex);
    return NULL;
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
    lab_begin(argc > 1 ? argv[1] : ".", 90);
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
    for (int i = 0; i < REQUESTS; i++) {
        numbers[i] = i;
        lab_thread(client, &numbers[i]);
        lab_sleep(INTERVAL_MS);
    }
    lab_sleep(DEADLINE_MS + 500);
    bool broken = late_bad_requests > ALLOWED;
    pthread_mutex_lock(&mutex);
    lab_record("%d crashes; %d requests with the part reached servers, %d of "
               "them later than %d ms after the fifth crash, where %d are "
               "allowed: BUDGET %s",
               crashes, bad_requests, crashes >= 5 ? late_bad_requests : 0,
               CONTACT_MS, ALLOWED, broken ? "broken" : "held");
    lab_record("%d sound requests: %d answered whole, %d cut off by a crash",
               sound_requests, sound_whole, sound_cut);
    lab_end(broken ? 1 : 0);
}
