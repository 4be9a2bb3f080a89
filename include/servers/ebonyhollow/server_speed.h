/* EbServerSpeed: how fast one backend server of a pool works, on two scales:
 * its usual piece interval, learned over minutes, and its present slowdown,
 * which is forgotten within a second.
 *
 * A piece interval is the time between two pieces of a stream in microseconds.
 * All times are monotonic microseconds. A zeroed EbServerSpeed knows nothing.
 */
#ifndef EBONYHOLLOW_SERVER_SPEED_H
#define EBONYHOLLOW_SERVER_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* Pieces of a stream over which one interval is measured. */
#define EB_SERVER_SPEED_SPAN_EVENTS 4
#define EB_SERVER_SPEED_MAX_SPANS 32 /* of one stream, the latest ones */

/* How daemons tell each other of speeds. Each one sends what is news to it at
 * most once in an interval, to a few neighbours, which pass on what is news to
 * them. At 10 Mbit/s a daemon may spend 1% of its link in each direction on
 * it, 12,500 bytes/s: four messages of 110 bytes and 100 reports of 27 bytes a
 * second are 11,200. Four neighbours chosen at random reach 98% of the daemons
 * (1 - 1/e^4); the others measure by themselves. */
#define EB_SPEED_REPORT_INTERVAL_US 1000000 /* mean; 0.5 to 1.5 times it */
#define EB_SPEED_REPORT_LINKS 4
#define EB_SPEED_REPORTS_MAX 100 /* of one message; the rest follows */
/* A report that is older is ignored and not passed on. */
#define EB_SPEED_REPORT_MAX_AGE_US 60000000

/* What one daemon tells the others of a server's usual piece interval. */
typedef struct {
    char *server_id;
    uint32_t piece_interval_us;
    uint32_t streams; /* of the daemon that measured it, which showed it */
    uint32_t ago_ms;  /* since it was measured */
} EbSpeedReport;

typedef struct {
    double piece_interval_us; /* usual piece interval; 0: unknown */
    uint32_t samples;         /* own streams and reports of others */
    uint32_t outliers;
    double slowdown; /* present piece interval divided by the usual one */
    int64_t slowdown_us;
    int32_t cost_step;       /* see EbServerSpeed_UpdateCost */
    double told_interval_us; /* last news told to or by other daemons */
    int64_t told_us;         /* when that was measured */
    uint32_t relay_streams;  /* of news to pass on; 0: none */
    uint32_t untold_streams; /* own ones since the last news */
    int64_t own_us;          /* end of the last own stream */
    uint32_t work_percent;   /* as the server states it; 0: never */
    int64_t work_us;
} EbServerSpeed;

/* The piece intervals of one stream so far. A zeroed one has seen no event. */
typedef struct {
    int64_t event_us[EB_SERVER_SPEED_SPAN_EVENTS + 1]; /* a ring */
    uint32_t event_count;
    uint32_t span_count;
    uint32_t span_us[EB_SERVER_SPEED_MAX_SPANS]; /* a ring */
} EbPieceIntervals;

/* Counts a piece of a stream. */
void EbPieceIntervals_AddPiece(EbPieceIntervals *intervals, int64_t now_us);

/* Returns the stream's piece interval in microseconds, or 0 when it had too
 * few events. It is the lower quartile of the times of a few successive
 * events: prompts that the server reads in between lengthen some of them, and
 * an event that was delayed on its way shortens those after it. */
double EbPieceIntervals_Result(const EbPieceIntervals *intervals);

/* Adds the piece interval of one of this daemon's streams. A single one that
 * differs much from the usual one changes the present slowdown, and the usual
 * one only when further ones confirm it.
 *
 * piece_interval_us: greater than 0 */
void EbServerSpeed_Observe(EbServerSpeed *speed, double piece_interval_us,
                           int64_t now_us);

/* Adds what another daemon told. A report that isn't newer than the last news
 * is ignored, so that one that goes round counts once. A much slower piece
 * interval than the known one counts only when several streams showed it.
 *
 * report: its piece_interval_us is greater than 0 */
void EbServerSpeed_Merge(EbServerSpeed *speed, const EbSpeedReport *report,
                         int64_t now_us);

/* Records the server's own statement of how long work takes now.
 *
 * percent: of the usual time, at least 1 */
void EbServerSpeed_RecordWork(EbServerSpeed *speed, uint32_t percent,
                              int64_t now_us);

/* Returns whether there is news for other daemons, own or to be passed on, and
 * marks it as told.
 *
 * report: its piece interval, streams and age are set */
bool EbServerSpeed_TakeReport(EbServerSpeed *speed, EbSpeedReport *report,
                              int64_t now_us);

/* Updates the usual cost, for a pool whose typical piece interval is
 * `typical_us`; 0: unknown. It changes in steps of a half, and only when the
 * piece interval is a whole step away, so that daemons whose measurements
 * differ a little agree. */
void EbServerSpeed_UpdateCost(EbServerSpeed *speed, double typical_us);

/* Returns the server's usual time for a piece of work relative to a typical
 * server of its pool: 1 while it is unknown, less for a faster server. */
double EbServerSpeed_UsualCost(const EbServerSpeed *speed);

/* Returns the present time for a piece of work relative to the usual one: the
 * server's own statement if it is fresh, otherwise what streams showed. */
double EbServerSpeed_Slowdown(const EbServerSpeed *speed, int64_t now_us);

#endif
