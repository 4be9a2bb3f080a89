/* EbClock: the monotonic clock, the wall clock and the conversion of times for
 * libevent. */
#ifndef EB_CLOCK_H
#define EB_CLOCK_H

#include <stdint.h>
#include <sys/time.h>

/* Returns the monotonic time in microseconds, for deadlines, holds and
 * intervals. */
int64_t EbClock_Monotonic(void);

/* Returns the microseconds since the epoch, only for timestamps that other
 * processes read. */
int64_t EbClock_Wall(void);

/* Converts a duration in microseconds. */
struct timeval EbClock_Timeval(int64_t duration_us);

#endif
