/* A fleet of daemons that send to servers which name limits, on a virtual
 * clock. */
#ifndef EB_TEST_DIRECTIVES_FLEET_H
#define EB_TEST_DIRECTIVES_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#define FLEET_MAX_DAEMONS 300
#define FLEET_MAX_SERVERS 32
#define FLEET_CONTACT_US INT64_C(3000000)
#define FLEET_RETURN_US INT64_C(5000000)

typedef struct {
    uint64_t seed;
    uint32_t daemon_count;
    uint32_t server_count;
    uint32_t limited_servers; /* the first ones name the limit */
    double limit_per_s;
    double requests_per_s; /* of all callers */
    /* Times in microseconds; 0: it does not happen. */
    int64_t limit_from_us;
    int64_t limit_until_us;
    int64_t join_us;      /* a quarter of the daemons starts only now */
    int64_t leave_us;     /* a daemon announces that it leaves, and stops */
    int64_t kill_us;      /* a quarter of the daemons is killed */
    bool kill_refuses;    /* and their machines refuse connections */
    int64_t partition_us; /* half of the daemons loses the other half */
    int64_t end_us;
} FleetOptions;

typedef struct {
    uint32_t calls;       /* to limited servers while their limits held */
    uint32_t worst_calls; /* to one server within WINDOW_US, by daemons that
                             knew of its limit */
    double allowed_calls; /* in that time, see FLEET_BOUND_FACTOR */
    uint32_t breaches;    /* windows with more calls than allowed */
    /* Parts of the limits that were used from FLEET_CONTACT_US after they were
     * named until daemons were killed, and from FLEET_RETURN_US after that. */
    double used_before;
    double used_after;
    uint32_t requests;
    uint32_t served;
    uint32_t calls_after_end; /* to servers that were limited before */
    uint32_t reports;         /* floods, from all daemons */
} FleetResult;

/* Plays the fleet and counts. */
void Fleet_Play(const FleetOptions *options, FleetResult *result);

#endif
