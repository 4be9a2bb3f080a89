#include "ebonyhollow/daemon_load.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#define FULL_CAPACITY_DIVISOR 4

static void
add_late(EbDaemonLoad *load, int64_t delay_us, int64_t now_us)
{
    int64_t due_us = now_us - delay_us;
    if (load->late_count == 0 ||
        due_us - load->last_late_us > EB_DAEMON_LOAD_GAP_US) {
        load->late_count = 0;
        load->late_since_us = now_us;
    }
    load->late_count++;
    load->last_late_us = now_us;
}

static bool
is_overdue(const EbDaemonLoad *load)
{
    return load->late_count >= EB_DAEMON_LOAD_FULL_SAMPLES &&
           load->last_late_us - load->late_since_us >=
               EB_DAEMON_LOAD_FULL_AFTER_US;
}

static void
become_full(EbDaemonLoad *load, int64_t now_us)
{
    bool again = load->hold_us > 0 &&
                 now_us - load->calm_since_us < EB_DAEMON_LOAD_MAX_HOLD_US;
    load->hold_us = again ? MIN(2 * load->hold_us, EB_DAEMON_LOAD_MAX_HOLD_US)
                          : EB_DAEMON_LOAD_HOLD_US;
    load->state = EB_DAEMON_LOAD_FULL;
}

bool
EbDaemonLoad_AddDelay(EbDaemonLoad *load, int64_t delay_us, int64_t now_us)
{
    if (delay_us >= EB_DAEMON_LOAD_LATE_US) {
        add_late(load, delay_us, now_us);
        if (load->state == EB_DAEMON_LOAD_CALM && is_overdue(load)) {
            become_full(load, now_us);
            return true;
        }
    }
    if (load->state == EB_DAEMON_LOAD_FULL &&
        now_us - load->last_late_us >= load->hold_us) {
        load->state = EB_DAEMON_LOAD_CALM;
        load->calm_since_us = now_us;
        return true;
    }
    return false;
}

uint32_t
EbDaemonLoad_Capacity(const EbDaemonLoad *load, uint32_t capacity)
{
    return load->state == EB_DAEMON_LOAD_FULL
               ? MAX(capacity / FULL_CAPACITY_DIVISOR, 1)
               : capacity;
}

const char *
EbDaemonLoad_ChooseHome(const EbHomeCandidate *candidates, size_t count,
                        const char *service)
{
    uint32_t max_capacity = 0;
    for (size_t i = 0; i < count; i++) {
        max_capacity = MAX(max_capacity, candidates[i].capacity);
    }
    uint32_t min_capacity = max_capacity > 0 ? MAX(max_capacity / 2, 1) : 0;
    const char *home = NULL;
    uint64_t seed = XXH64(service, strlen(service), 0);
    uint64_t highest = 0;
    for (size_t i = 0; i < count; i++) {
        const char *instance = candidates[i].instance;
        uint64_t weight = XXH64(instance, strlen(instance), seed);
        if (candidates[i].capacity >= min_capacity && weight > highest) {
            highest = weight;
            home = instance;
        }
    }
    return home;
}
