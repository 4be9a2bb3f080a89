/* A simulated fleet: daemons that forward requests to servers and tell each
 * other what they learn. Some requests carry a prompt part that crashes each
 * server which begins to answer them. */
#ifndef EB_TEST_SUSPECTS_FLEET_H
#define EB_TEST_SUSPECTS_FLEET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
    uint64_t seed;
    uint32_t daemon_count;
    uint32_t poison_percent; /* of the requests */
    bool poison_was_sound;   /* the part was answered before */
    /* All requests with the part carry another one, as do some sound ones. */
    bool companion;
    int64_t joint_crash_us; /* a third of the servers crash at this time,
                               not because of a request; 0: never */
    int64_t crash_every_us; /* one server crashes, not because of a request;
                               0: never */
    uint32_t lost_percent;  /* of the answers, with the connection */
    int64_t lost_from_us;
    int64_t lost_for_us;
    int64_t restart_daemon_us; /* one daemon starts again; 0: never */
} FleetOptions;

/* What happened in 30 s. */
typedef struct {
    uint32_t poison_crashes;
    uint32_t late_poison_sends; /* 3 s or more after the fifth crash */
    uint32_t sound;             /* sound requests */
    /* Sound requests with the same first part, 6 s or more after it. */
    uint32_t related_late;
    uint32_t related_late_refused;
    uint32_t sound_refused; /* at any time */
} FleetResult;

FleetResult Fleet_Run(const FleetOptions *options);

#endif
