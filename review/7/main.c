/* One of four servers spoils one answer in fifty: in its place it sends an
 * interim response (102) that has a body, which no interim response may have.
 */
#include <stdio.h>

#include "../stand-ins-2/shop.h"

/* garble: at most share .5 of the servers, x .02 of their answers */
#define FAULTY_SERVERS 1
#define SPOILED_ONE_IN 50
#define FIRST_SPOILED_MS 6000

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int answers; /* of the faulty servers */
static int spoiled;

static bool
must_spoil(const RigServer *server)
{
    if (server->id[2] - '0' >= FAULTY_SERVERS || !Shop_HasTrouble()) {
        return false;
    }
    pthread_mutex_lock(&lock);
    answers++;
    bool spoil = Rig_Now() >= FIRST_SPOILED_MS &&
                 spoiled + 1 <= answers / SPOILED_ONE_IN;
    spoiled += spoil;
    pthread_mutex_unlock(&lock);
    return spoil;
}

static bool
answer(RigServer *server, int number, int fd, RigRequest *request, bool *keep)
{
    (void)request;
    if (!must_spoil(server)) {
        return false;
    }
    Rig_Record("%s spoils its answer to a-%d", server->id, number);
    Rig_SendText(fd,
                 "HTTP/1.1 102 Processing\r\nAttempt-Id: a-%d\r\n"
                 "Content-Length: 15\r\n\r\n{\"progress\":50}",
                 number);
    *keep = false;
    return true;
}

int
main(int argc, char **argv)
{
    Shop_Run(argc > 1 ? argv[1] : ".",
             &(ShopOptions){.route_kind = "idempotent",
                            .answer = answer,
                            .faulty_servers = FAULTY_SERVERS,
                            .run_ms = 9000});
    return 2;
}
