/* Half of the stage servers spoil one answer in fifty: the handle of its first
 * piece is followed by line ends. Each request has one piece and a body; the
 * model servers compare the body that they run with the one that was sent. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../stand-ins-2/rig.h"

#define STAGE_SERVERS 2
#define CLIENTS 8
#define PIECES 1
#define RUN_MS 12000
/* garble: share .5 of the servers, x .02 of their answers */
#define FAULTY_SERVERS (STAGE_SERVERS / 2)
#define SPOILED_ONE_IN 50
#define MAX_NUMBERS 100000

static const char config[] =
    "{\"version\":3,\"routes\":[{\"name\":\"draft\","
    "\"host\":\"shop.example\",\"path_prefix\":\"/draft/\","
    "\"route_kind\":\"streaming\",\"timeout_ms\":6000,\"goal_ms\":1100,"
    "\"gap_target_ms\":300,\"service\":\"model\",\"max_attempts\":3,"
    "\"sticky\":true,\"stages\":[{\"service\":\"encode\",\"after\":[],"
    "\"byte_count\":1000}]}],"
    "\"services\":[{\"name\":\"model\",\"slots\":32,\"max_conns\":500,"
    "\"engine\":{\"slots\":32},\"health_path\":\"/healthz\"},"
    "{\"name\":\"encode\",\"slots\":1,\"max_conns\":500,"
    "\"health_path\":\"/healthz\",\"pieces\":{\"slots\":1,\"queue\":2,"
    "\"batch\":4,\"call_ms\":20,\"item_ms\":2,\"headroom_mb\":36,"
    "\"handle_s\":8,\"link_mbps\":1000}}],"
    "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
    "\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000}}";

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int stage_answers, spoiled, handles;
static int sent, answered, changed;

static void
body_of(int number, char *body, size_t bytes)
{
    snprintf(body, bytes, "{\"prompt\":\"liner notes %d\"}", number);
}

static bool
must_spoil(const RigServer *server)
{
    const char *trouble = getenv("TROUBLE");
    if (server->id[2] - '0' >= FAULTY_SERVERS ||
        (trouble != NULL && strcmp(trouble, "0") == 0)) {
        return false;
    }
    pthread_mutex_lock(&lock);
    stage_answers++;
    bool spoil = spoiled + 1 <= stage_answers / SPOILED_ONE_IN;
    spoiled += spoil;
    pthread_mutex_unlock(&lock);
    return spoil;
}

static bool
on_stage(RigServer *server, int fd, RigRequest *request)
{
    if (strstr(request->target, "stage-free") != NULL) {
        Rig_SendText(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return true;
    }
    Rig_Sleep(25);
    bool spoil = must_spoil(server);
    char body[8192];
    int length = snprintf(body, sizeof(body), "{\"items\":[");
    bool first = true;
    for (const char *item = request->body;
         (item = strstr(item, "\"id\":")) != NULL; item++) {
        int number = __sync_add_and_fetch(&handles, 1);
        length += snprintf(body + length, sizeof(body) - (size_t)length,
                           "%s{\"handle\":\"127.0.0.1:%d/h%d%s\"}",
                           first ? "" : ",", server->port, number,
                           spoil && first ? "\\r\\n\\r\\n" : "");
        first = false;
    }
    length += snprintf(body + length, sizeof(body) - (size_t)length, "]}");
    if (spoil) {
        Rig_Record("%s spoils its answer: %s", server->id, body);
    }
    Rig_SendText(fd,
                 "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                 "Server-Load: 1,0,1\r\nContent-Length: %d\r\n\r\n%s",
                 length, body);
    return true;
}

static bool
has_inputs(const char *head)
{
    char inputs[4096];
    return Rig_Header(head, "Inputs", inputs, sizeof(inputs)) != NULL &&
           inputs[0] != '\0';
}

static void
check_request(const RigServer *server, const RigRequest *request,
              const char *id)
{
    char body[128];
    int number = 0;
    sscanf(id, "a-%d", &number);
    body_of(number, body, sizeof(body));
    bool same = request->body_bytes == strlen(body) &&
                memcmp(request->body, body, strlen(body)) == 0;
    if (same) {
        return;
    }
    pthread_mutex_lock(&lock);
    changed++;
    pthread_mutex_unlock(&lock);
    Rig_Record("%s runs %s with %zu of %zu bytes of its body", server->id, id,
               request->body_bytes, strlen(body));
}

static bool
on_model(RigServer *server, int fd, RigRequest *request)
{
    char id[64] = "";
    if (Rig_Header(request->head, "Attempt-Id", id, sizeof(id)) == NULL) {
        Rig_Record("%s gets a further request, without an id: '%s %.60s'",
                   server->id, request->method, request->target);
        Rig_SendText(fd, "HTTP/1.1 400 Bad\r\nNot-Executed: 1\r\n"
                         "Connection: close\r\nContent-Length: 0\r\n\r\n");
        return false;
    }
    if (!has_inputs(request->head)) {
        Rig_SendText(fd,
                     "HTTP/1.1 400 Bad\r\nAttempt-Id: %s\r\n"
                     "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                     id);
        return true;
    }
    check_request(server, request, id);
    char event[64];
    int length = snprintf(event, sizeof(event), "id: 1\ndata: done\n\n");
    Rig_SendText(fd,
                 "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                 "Server-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
                 id, id, length, event);
    return true;
}

static void *
run_client(void *unused)
{
    (void)unused;
    int fd = -1;
    while (Rig_Now() < RUN_MS) {
        if (fd < 0 && (fd = Rig_Connect(Rig_Front(0))) < 0) {
            Rig_Sleep(100);
            continue;
        }
        int number = __sync_add_and_fetch(&sent, 1);
        char body[128];
        body_of(number, body, sizeof(body));
        Rig_SendText(fd,
                     "POST /draft/%d HTTP/1.1\r\nHost: shop.example\r\n"
                     "Attempt-Id: a-%d\r\nDeadline-Ms: 6000\r\n"
                     "Authorization: Bearer key-1\r\nModel: m\r\n"
                     "Token-Count: 100,20\r\nPrefix-Hash: aa:60,b%x:40\r\n"
                     "Pieces: %d\r\nPiece-Key: 7c1e07a291bd\r\n"
                     "Content-Length: %zu\r\n\r\n%s",
                     number, number, (unsigned)number, PIECES, strlen(body),
                     body);
        RigAnswer answer;
        Rig_ReadAnswer(fd, false, 8000, &answer);
        __sync_add_and_fetch(&answered, answer.complete);
        if (!answer.complete || answer.status != 200) {
            Rig_Record("a-%d: status %d%s", number, answer.status,
                       answer.complete ? "" : ", not complete");
        }
        if (!answer.complete) {
            close(fd);
            fd = -1;
        }
        Rig_FreeAnswer(&answer);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    Rig_Begin(argc > 1 ? argv[1] : ".");
    Rig_StoreStart();
    Rig_StorePut("config", "main", config);
    for (int i = 0; i < STAGE_SERVERS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "e-%d", i);
        Rig_ServerStart(id, "encode", 1, on_stage);
    }
    Rig_ServerStart("m-0", "model", 32, on_model);
    Rig_ServerStart("m-1", "model", 32, on_model);
    Rig_DaemonStart(0, "z0");
    if (!Rig_DaemonReady(0, 10000)) {
        Rig_End(2);
    }
    pthread_t clients[CLIENTS];
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&clients[i], NULL, run_client, NULL);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    Rig_Record("%d requests sent, %d answered; the faulty server spoiled %d "
               "of its %d answers; %d requests ran with another body",
               sent, answered, spoiled, stage_answers, changed);
    if (answered < 50) {
        Rig_End(2);
    }
    Rig_End(changed > 0 ? 1 : 0);
}
