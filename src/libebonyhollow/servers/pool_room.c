/* When waiting calls get a server. */
#include <math.h>

#include "pool_state.h"

/* Returns whether calls may be sent to the server: it is not leaving, its
 * failure domain is open, and it is not ejected unless all others are as well.
 */
static bool
takes_calls(const EbPool *pool, const EbPoolServer *server, bool has_usable)
{
    return !server->leaving && !EbPool_IsClosed(pool, server) &&
           !(server->ejected && has_usable);
}

bool
EbPool_HasFreeSlot(const EbPool *pool, int64_t now_us)
{
    bool has_usable = EbPool_HasUsableServer(pool);
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        if (takes_calls(pool, server, has_usable) &&
            EbPool_HasRoom(pool, server, now_us)) {
            return true;
        }
    }
    return false;
}

int64_t
EbPool_LimitDelay(const EbPool *pool, size_t waiting, int64_t now_us)
{
    if (pool->directives == NULL) {
        return 0;
    }
    bool has_usable = EbPool_HasUsableServer(pool);
    double calls_per_s = 0;
    double free_now = 0;
    int64_t pause_us = INT64_MAX; /* until a server ends its pause */
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        double share = 0;
        if (!takes_calls(pool, server, has_usable)) {
            continue;
        }
        int64_t next_us =
            EbDirectives_NextAdmission(pool->directives, server->id, now_us);
        if (EbDirectives_FindShare(pool->directives, server->id, &share,
                                   now_us)) {
            calls_per_s += share;
            free_now += next_us <= now_us;
        }
        if (share <= 0) {
            pause_us = MIN(pause_us, next_us - now_us);
        }
    }
    double ahead = (double)waiting + 1 - free_now;
    if (ahead <= 0) {
        return 0;
    }
    double delay_us = ahead / calls_per_s * G_USEC_PER_SEC;
    return delay_us < (double)EB_DIRECTIVES_LIMIT_LIFETIME_US
               ? MIN((int64_t)delay_us, pause_us)
               : pause_us;
}

int64_t
EbPool_NextAdmission(const EbPool *pool, int64_t now_us)
{
    bool has_usable = EbPool_HasUsableServer(pool);
    int64_t next_us = INT64_MAX;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        if (pool->directives == NULL ||
            !takes_calls(pool, server, has_usable) ||
            server->in_flight >= EbPool_Slots(pool, server, now_us)) {
            continue;
        }
        int64_t admission_us =
            EbDirectives_NextAdmission(pool->directives, server->id, now_us);
        if (admission_us > now_us) {
            next_us = MIN(next_us, admission_us);
        }
    }
    return next_us;
}

bool
EbPool_HasUsableServer(const EbPool *pool)
{
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        if (!server->leaving && !server->ejected &&
            !EbPool_IsClosed(pool, server)) {
            return true;
        }
    }
    return false;
}

int64_t
EbPool_PredictLatency(const EbPool *pool, size_t waiting, int64_t now_us)
{
    double service = pool->service_samples > 0
                         ? pool->service_us
                         : (double)pool->config->service_estimate_us;
    bool has_usable = EbPool_HasUsableServer(pool);
    double slots = 0, busy = 0;
    for (uint32_t i = 0; i < pool->member_count; i++) {
        const EbPoolServer *server = pool->members[i];
        if (takes_calls(pool, server, has_usable)) {
            uint32_t limit = EbPool_Slots(pool, server, now_us);
            slots += limit;
            busy += MIN(server->in_flight, limit);
        }
    }
    /* Calls that have to end first. Each slot ends one per service time. */
    double ahead = (double)waiting + 1 - (slots - busy);
    double wait = ahead > 0 ? ahead * service / fmax(slots, 1) : 0;
    return (int64_t)(wait + service);
}
