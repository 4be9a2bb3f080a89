/* EbClock: the two clocks that the daemon passes to the decisions, and times
 * for libevent. */
#ifndef EB_CLOCK_H
#define EB_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

/* Microseconds that never go back; for deadlines, holds and intervals. */
int64_t EbClock_Monotonic(void);

/* Microseconds since the epoch; only for stamps that others read. */
int64_t EbClock_Wall(void);

struct timeval EbClock_Timeval(int64_t duration_us);

#endif
