/* EbPace: how fast backend servers that have just started, recovered or become
 * cold get calls.
 *
 * Two things hold at once:
 *
 * - The bound. A cold server of a pool with cold_requests_per_s gets at most
 *   cold_requests_per_s x cold_overrun + cold_margin calls in any second from
 *   all daemons together. Its calls are divided by EbFleetShare, with the
 *   daemons that are lost keeping their place, so that the sides of a
 *   partition use the same parts. A daemon without a part sends nothing to the
 *   server. A daemon that just started, or that just gained a part, has no
 *   tokens.
 * - The learned pace, for servers of any pool. It begins with a quarter of the
 *   server's capacity, divided among daemons in the order of EbFleetShare; the
 *   number of daemons that use the server doubles in a fixed time. The number
 *   of concurrent calls of each of them doubles in each round trip until
 *   EbAnswerTimes finds the server slow, which halves it; from then on it
 *   grows by one in each round trip (slow start, additive increase and
 *   multiplicative decrease). Pace ends when the server answers like the
 *   others of its pool and the daemon has its part of the capacity, or when
 *   the server was not slow for a while. It is a preference: a daemon whose
 *   turn it isn't yet uses the server if it has no other one.
 *
 * A server is cold for the time that its entry states; where none is stated,
 * for the pool's cold_us after its start. It may be cold, and counts as such
 * until its entry says otherwise, when a connection to it was refused and when
 * its failure domain is in use again after an evacuation.
 *
 * The module does no I/O. Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_PACE_H
#define EBONYHOLLOW_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/metrics.h"

typedef struct EbPace EbPace;

typedef struct {
    const char *instance; /* this daemon; copied */
    double cold_overrun;  /* factor of a cold server's rate; 0 counts as 1 */
    double cold_margin;   /* calls in a second, in addition */
    /* Daemons that the settings name, this one included: the parts are not
     * larger than if there were so many. */
    size_t min_members;
    int64_t started_us;        /* of this daemon */
    const EbEventSink *events; /* may be NULL */
    EbMetrics *metrics;        /* may be NULL */
} EbPaceOptions;

/* How a call ended, for the pace of its server. */
typedef enum {
    EB_PACE_ANSWERED,
    EB_PACE_GIVEN_UP, /* by the daemon, e.g. in favour of its hedge */
    EB_PACE_FAILED,
    EB_PACE_REFUSED /* the connection was refused: no process listens */
} EbPaceResult;

typedef struct {
    EbPaceResult result;
    double time; /* that it took, see EbAnswerTimes; 0: unknown */
    int64_t started_us;
} EbPaceCall;

/* Creates a module that knows only this daemon. `events` and `metrics` are
 * borrowed and must outlive it. Free it with EbPace_Free. */
EbPace *EbPace_New(const EbPaceOptions *options);

/* Copies what is known of the servers, for questions that must not end the
 * pace of one here. The copy has no events and metrics and knows no other
 * daemon. Free it with EbPace_Free. */
EbPace *EbPace_Copy(const EbPace *pace);

/* Accepts NULL. */
void EbPace_Free(EbPace *pace);

/* Sets the known daemons, as EbFleetShare_SetMembers. */
void EbPace_SetMembers(EbPace *pace, const char *const *live,
                       size_t live_count, const char *const *lost,
                       size_t lost_count, int64_t now_us);

/* Sets the servers and the rates of their pools. */
void EbPace_SetConfig(EbPace *pace, const EbConfig *config, int64_t now_us);

/* Handles an entry that a server wrote.
 *
 * incarnation: of the server; 0: unknown.
 * cold_left_us: how long it stays cold; -1: unknown. */
void EbPace_RecordEntry(EbPace *pace, const char *server_id,
                        uint64_t incarnation, int64_t cold_left_us,
                        int64_t now_us);

/* Records that the servers of a failure domain are used again after an
 * evacuation. */
void EbPace_DomainReturned(EbPace *pace, const char *failure_domain,
                           int64_t now_us);

/* Begins the pace of a server that this daemon did not use for a while. */
void EbPace_Readmitted(EbPace *pace, const char *server_id, int64_t now_us);

/* Counts a call that is sent to a server, of any kind. */
void EbPace_RecordCall(EbPace *pace, const char *server_id, int64_t now_us);

/* Handles the end of a call to a server. Those of servers that are not on pace
 * are the reference for the others of their pool. */
void EbPace_RecordResult(EbPace *pace, const char *server_id,
                         const EbPaceCall *call, int64_t now_us);

/* Returns the earliest time at which the bound allows a call, `now_us` if it
 * does now. */
int64_t EbPace_NextAdmission(EbPace *pace, const char *server_id,
                             int64_t now_us);

/* Returns whether the server is cold and its calls are bounded. If so,
 * `calls_per_s` is set to this daemon's part, which may be 0. */
bool EbPace_FindShare(EbPace *pace, const char *server_id, double *calls_per_s,
                      int64_t now_us);

/* Returns whether another daemon's turn to use the server comes first. */
bool EbPace_IsHeld(EbPace *pace, const char *server_id, int64_t now_us);

/* Returns how many of `limit` concurrent calls this daemon may have, at least
 * 1 if the limit is. */
double EbPace_Slots(EbPace *pace, const char *server_id, double limit,
                    int64_t now_us);

typedef struct {
    bool paced;
    const char *cause;    /* why; "" without pace */
    int64_t cold_left_us; /* that it is, or may be, cold */
} EbPaceView;

void EbPace_View(EbPace *pace, const char *server_id, EbPaceView *view,
                 int64_t now_us);

/* Returns the number of servers on pace. */
uint32_t EbPace_Count(const EbPace *pace);

#endif
