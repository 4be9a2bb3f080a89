/* EbServerSpeed: how fast one backend server of a pool works, on two scales:
 * its usual pace, learned over minutes, and its present slowdown, which is
 * forgotten within a second.
 *
 * A pace is the time between two pieces of a stream in microseconds. All times
 * are monotonic microseconds. A zeroed EbServerSpeed knows nothing. */
#ifndef EBONYHOLLOW_SERVER_SPEED_H
#define EBONYHOLLOW_SERVER_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Events of a stream over which one pace is measured. */
#define EB_SERVER_SPEED_SPAN_EVENTS 4

/* What one daemon tells the others of a server's usual pace. */
typedef struct {
    char *server_id;
    uint32_t pace_us;
} EbSpeedReport;

typedef struct {
    double pace_us;   /* usual pace; 0: unknown */
    uint32_t samples; /* own streams and reports of others */
    uint32_t outliers;
    double slowdown; /* present pace divided by the usual one */
    int64_t slowdown_us;
    double told_pace_us;     /* last value told to or by other daemons */
    uint32_t untold_streams; /* own ones since then */
    uint32_t work_percent;   /* as the server states it; 0: never */
    int64_t work_us;
} EbServerSpeed;

/* The pace of one stream so far. A zeroed one has seen no event. */
typedef struct {
    int64_t event_us[EB_SERVER_SPEED_SPAN_EVENTS + 1]; /* a ring */
    uint32_t event_count;
    int64_t least_us; /* shortest time of SPAN_EVENTS events; 0: unknown */
} EbStreamPace;

/* Counts an event of a stream. */
void EbStreamPace_AddEvent(EbStreamPace *pace, int64_t now_us);

/* Returns the stream's pace in microseconds, or 0 when it had too few events.
 * It is the shortest over a few successive events, so that neither prompts
 * that the server read in between nor delays on the network count. */
double EbStreamPace_Result(const EbStreamPace *pace);

/* Adds the pace of one of this daemon's streams. A single pace that differs
 * much from the usual one changes the present slowdown, and the usual pace
 * only when further ones confirm it.
 *
 * pace_us: greater than 0 */
void EbServerSpeed_Observe(EbServerSpeed *speed, double pace_us,
                           int64_t now_us);

/* Adds what another daemon told.
 *
 * pace_us: greater than 0 */
void EbServerSpeed_Merge(EbServerSpeed *speed, double pace_us);

/* Records the server's own statement of how long work takes now.
 *
 * percent: of the usual time, at least 1 */
void EbServerSpeed_RecordWork(EbServerSpeed *speed, uint32_t percent,
                              int64_t now_us);

/* Returns whether the usual pace is news to other daemons, and marks it as
 * told. */
bool EbServerSpeed_TakeReport(EbServerSpeed *speed);

/* Returns the server's usual time for a piece of work relative to
 * `typical_us`, in steps of a half, so that daemons whose measurements differ
 * a little agree: 1 while either is unknown, less for a faster server. */
double EbServerSpeed_UsualCost(const EbServerSpeed *speed, double typical_us);

/* Returns the present time for a piece of work relative to the usual one: the
 * server's own statement if it is fresh, otherwise what streams showed. */
double EbServerSpeed_Slowdown(const EbServerSpeed *speed, int64_t now_us);

#endif
