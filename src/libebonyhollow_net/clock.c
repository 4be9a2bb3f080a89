#include "clock.h"

#include <time.h>

static int64_t
read_clock(clockid_t id)
{
    struct timespec time;
    clock_gettime(id, &time);
    return (int64_t)time.tv_sec * 1000000 + time.tv_nsec / 1000;
}

int64_t
EbClock_Monotonic(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

int64_t
EbClock_Wall(void)
{
    return read_clock(CLOCK_REALTIME);
}

struct timeval
EbClock_Timeval(int64_t duration_us)
{
    return (struct timeval){duration_us / 1000000, duration_us % 1000000};
}
