#include "shop.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_REQUESTS 100000
#define RESTART_DELAY_MS 500

static const char config_format[] =
    "{\"version\":3,\"routes\":[{\"name\":\"stock\","
    "\"host\":\"shop.example\",\"path_prefix\":\"/stock/\","
    "\"route_kind\":\"%s\",\"timeout_ms\":3000,\"goal_ms\":300,"
    "\"service\":\"orders\",\"max_attempts\":2}],"
    "\"services\":[{\"name\":\"orders\",\"slots\":6,\"max_conns\":110,"
    "\"health_path\":\"/healthz\"}],"
    "\"tenants\":[{\"name\":\"t-1\",\"api_keys\":[\"key-1\"]}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,"
    "\"header_timeout_ms\":10000,\"idle_timeout_ms\":30000}}";

static const ShopOptions *shop;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int sent, answered, lost;
static bool sound[MAX_REQUESTS]; /* was last passed on to a sound server */

bool
Shop_HasTrouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

int
Shop_NextNumber(void)
{
    pthread_mutex_lock(&lock);
    int number = ++sent;
    pthread_mutex_unlock(&lock);
    return number;
}

static bool
on_request(RigServer *server, int fd, RigRequest *request)
{
    char id[64] = "";
    int number = 0;
    bool keep = true;
    Rig_Header(request->head, "Attempt-Id", id, sizeof(id));
    sscanf(id, "a-%d", &number);
    sound[number] = server->id[2] - '0' >= shop->faulty_servers;
    Rig_Record("%s runs %s", server->id, id);
    Rig_Sleep(SHOP_WORK_MS);
    if (shop->answer == NULL ||
        !shop->answer(server, number, fd, request, &keep)) {
        Rig_Answer(fd, request, 200, NULL, "in stock");
    }
    return keep;
}

static void
note_lost(int number, bool kept, const RigAnswer *answer)
{
    bool counts = kept && sound[number] && answer->closed;
    lost += counts;
    Rig_Record("a-%d: connection %s without an answer; %s, %s%s", number,
               answer->closed ? "closed" : "silent", kept ? "kept" : "new",
               sound[number] ? "passed on to a sound server"
                             : "not passed on to a sound server",
               counts ? ": counts" : "");
}

static void *
run_client(void *unused)
{
    (void)unused;
    int fd = -1;
    int used = 0; /* answers on this connection */
    while (Rig_Now() < shop->run_ms) {
        if (fd < 0 && (fd = Rig_Connect(Rig_Front(0))) < 0) {
            Rig_Sleep(100);
            continue;
        }
        int number = Shop_NextNumber();
        Rig_SendText(fd,
                     "POST /stock/%d HTTP/1.1\r\nHost: shop.example\r\n"
                     "Attempt-Id: a-%d\r\nDeadline-Ms: 3000\r\n"
                     "Authorization: Bearer key-1\r\n"
                     "Content-Length: 4\r\n\r\nnote",
                     number, number);
        RigAnswer answer;
        Rig_ReadAnswer(fd, false, 5000, &answer);
        bool failed = !answer.complete;
        pthread_mutex_lock(&lock);
        if (failed) {
            note_lost(number, used > 0, &answer);
            close(fd);
            fd = -1;
            used = 0;
        }
        else {
            Rig_Record("a-%d: status %d", number, answer.status);
            answered++;
            used++;
        }
        pthread_mutex_unlock(&lock);
        Rig_FreeAnswer(&answer);
        Rig_Sleep(failed ? 1000 : 10);
    }
    return NULL;
}

/* Starts the daemon again when it ends, as the platform does. */
static int
watch_daemon(void)
{
    int ends = 0;
    bool troubled = !Shop_HasTrouble() && shop->trouble == NULL;
    while (Rig_Now() < shop->run_ms) {
        if (!troubled && Rig_Now() >= shop->trouble_ms) {
            troubled = true;
            if (shop->trouble != NULL) {
                shop->trouble();
            }
        }
        if (!Rig_DaemonAlive(0)) {
            ends++;
            Rig_Record("the daemon ended by itself, wait status 0x%x; the "
                       "platform starts it again",
                       (unsigned)Rig_DaemonWait(0, 0));
            Rig_Sleep(RESTART_DELAY_MS);
            Rig_DaemonStart(0, "z0");
        }
        Rig_Sleep(20);
    }
    return ends;
}

void
Shop_Run(const char *folder, const ShopOptions *options)
{
    shop = options;
    Rig_Begin(folder);
    Rig_StoreStart();
    char config[2048];
    snprintf(config, sizeof(config), config_format, options->route_kind);
    Rig_StorePut("config", "main", config);
    for (int i = 0; i < SHOP_SERVERS; i++) {
        char id[16];
        snprintf(id, sizeof(id), "i-%d", i);
        Rig_ServerStart(id, "orders", 6, on_request);
    }
    Rig_DaemonStart(0, "z0");
    if (!Rig_DaemonReady(0, 10000)) {
        Rig_Record("the daemon isn't ready");
        Rig_End(2);
    }
    pthread_t clients[SHOP_CLIENTS];
    for (int i = 0; i < SHOP_CLIENTS; i++) {
        pthread_create(&clients[i], NULL, run_client, NULL);
    }
    int ends = watch_daemon();
    for (int i = 0; i < SHOP_CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    Rig_Record("%d requests sent, %d answered; the daemon ended by itself %d "
               "times; %d requests from kept connections, passed on to sound "
               "servers, ended without an answer (allowed: %d)",
               sent, answered, ends, lost, SHOP_ALLOWED);
    if (answered < 50) {
        Rig_End(2);
    }
    Rig_End(lost > SHOP_ALLOWED ? 1 : 0);
}
