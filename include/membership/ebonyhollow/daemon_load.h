/* EbDaemonLoad: whether a daemon has room for duties that it has for others.
 *
 * The homes of work items (docs/platform.md, "Who decides") serve all daemons,
 * so a home whose event loop is late delays the requests of the whole fleet.
 * A daemon measures how late its own timer fires. While that stays above
 * EB_DAEMON_LOAD_LATE_US it is full and names a quarter of its capacity to its
 * peers, by which homes are chosen. See docs/design/uneven-daemons.md. */
#ifndef EBONYHOLLOW_DAEMON_LOAD_H
#define EBONYHOLLOW_DAEMON_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A timer that fires this late is late: half of the interval at which a home
 * reviews its waiting items. */
#define EB_DAEMON_LOAD_LATE_US 25000
/* Time for which a calm daemon must have late timers until it is full, with
 * less than the gap between two of them. A home without room still has some in
 * time. One pause of the process, however long, is a single late timer. */
#define EB_DAEMON_LOAD_FULL_AFTER_US 300000
#define EB_DAEMON_LOAD_FULL_SAMPLES 3
#define EB_DAEMON_LOAD_GAP_US 200000
/* Time without a late timer after which a full daemon is calm. It doubles, up
 * to the maximum, each time that the daemon is full again within the maximum,
 * since each move of a home loses its view of the servers. */
#define EB_DAEMON_LOAD_HOLD_US 30000000
#define EB_DAEMON_LOAD_MAX_HOLD_US 480000000

typedef enum {
    EB_DAEMON_LOAD_CALM,
    EB_DAEMON_LOAD_FULL,
} EbDaemonLoadState;

typedef struct {
    EbDaemonLoadState state;
    uint32_t late_count;   /* late timers without a gap */
    int64_t late_since_us; /* first of them */
    int64_t last_late_us;  /* last late timer */
    int64_t calm_since_us; /* end of the last full state */
    int64_t hold_us;       /* of the last full state; 0: there was none */
} EbDaemonLoad;

/* One daemon that may be a home. */
typedef struct {
    const char *instance;
    uint32_t capacity;
} EbHomeCandidate;

/* Records that a timer fired `delay_us` after its time. A structure of zeros
 * is a calm daemon. Returns true if the state changed. */
bool EbDaemonLoad_AddDelay(EbDaemonLoad *load, int64_t delay_us,
                           int64_t now_us);

/* Returns the capacity that a daemon with the configured `capacity` names to
 * its peers, at least 1. A quarter is below half of what a daemon of the same
 * size names, so that homes move there, and leaves the order of daemons as it
 * is when all of them are full. */
uint32_t EbDaemonLoad_Capacity(const EbDaemonLoad *load, uint32_t capacity);

/* Chooses the home of a service by rendezvous hashing (Thaler, Ravishankar
 * 1998) among the candidates with at least half of the largest capacity. A
 * daemon that is shutting down has no capacity. Returns the instance of a
 * candidate, or NULL if there are none. */
const char *EbDaemonLoad_ChooseHome(const EbHomeCandidate *candidates,
                                    size_t count, const char *service);

#endif
