/* A store and daemons with an EbStoreFeed each, on a virtual clock, with links
 * that delay, break and split. */
#ifndef EB_TEST_FLEET_H
#define EB_TEST_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/random.h"
#include "ebonyhollow/store_feed.h"

#define FLEET_MAX 24
#define FLEET_OBJECTS 12 /* names per stream */
#define FLEET_STEP_US 10000
/* After a fault of the store, or of a daemon or its path to the store, bounds
 * hold again from this time on: the strictest contact_ms of a deployment. */
#define FLEET_CONTACT_US 3000000
/* Versions of the store's state that are remembered for comparison. */
#define FLEET_VERSIONS_MAX 4096

/* The value of each object as of a version; 0: there is none. */
typedef struct {
    uint32_t values[EB_FEED_STREAM_COUNT][FLEET_OBJECTS];
} FleetState;

typedef struct {
    EbStoreFeed *feed; /* NULL while the daemon is stopped */
    /* Follows EB_FEED_FIRST_STREAMS and knows of no others. */
    bool earlier_version;
    FleetState known;                        /* as reported by the feed */
    uint64_t versions[EB_FEED_STREAM_COUNT]; /* of the store's state */
    uint64_t era; /* latest one that the store told this daemon */
    bool store_reachable;
    /* Reads and probes hang while the store can't be reached, instead of
     * failing at once. */
    bool cut_silently;
    int side;                /* daemons on different sides can't talk */
    int64_t paused_until_us; /* the process doesn't run before */
    int64_t sound_since_us;  /* runs and reaches the store since */
    /* Read in progress of each stream. */
    struct {
        bool active;
        int64_t sent_us;
        int64_t due_us; /* of the response */
        bool poll;
        uint64_t base; /* version */
    } reads[EB_FEED_STREAM_COUNT];
    bool watching[EB_FEED_STREAM_COUNT];
    int64_t probe_us; /* time of the next probe */
    bool listed;      /* every stream */
} FleetDaemon;

typedef struct {
    uint32_t count;
    uint32_t streams;      /* that the store holds and daemons follow */
    uint32_t source_count; /* the first daemons that run are sources */
    int64_t now_us;
    EbRandom random;
    bool store_up;
    int64_t store_up_since_us;
    /* The store's states, numbered in the order of time, unlike the positions
     * under which daemons know them. */
    uint64_t version;
    uint64_t oldest_version; /* a watch from an older one is a gap */
    FleetState states[FLEET_VERSIONS_MAX];
    EbStorePosition positions[FLEET_VERSIONS_MAX];
    int64_t changed_us[FLEET_VERSIONS_MAX]; /* when a version was made */
    FleetDaemon daemons[FLEET_MAX];
    GQueue messages;        /* of Delivery, in order of their time */
    uint32_t padding_bytes; /* in each value, to exceed limits of messages */
    uint64_t reads;         /* calls to the store that list or watch */
    uint64_t probes;        /* calls that only show that it answers */
    uint32_t violations;
} Fleet;

extern Fleet fleet;

/* Starts daemons that follow EB_FEED_FIRST_STREAMS, or with Fleet_StartMixed
 * all streams, except that the first `earlier` are of an earlier version. */
void Fleet_Start(uint32_t count, uint32_t sources, uint64_t seed);
void Fleet_StartMixed(uint32_t count, uint32_t sources, uint32_t earlier,
                      uint64_t seed);
void Fleet_Stop(void);

/* Starts or ends the process of a daemon. */
void Fleet_StartDaemon(uint32_t index);
void Fleet_KillDaemon(uint32_t index);

/* Sets whether a daemon reaches the store, or all of them. */
void Fleet_ReachStore(uint32_t index, bool reachable);
void Fleet_SetStoreUp(bool up);

/* Moves a daemon to a side of a split; messages on the way are lost. */
void Fleet_Move(uint32_t index, int side);

/* Sets, or deletes when `value` is 0, an object in the store. */
void Fleet_Write(EbFeedStream stream, uint32_t object, uint32_t value);

/* Makes the store return from a copy that lacks the last `lost` changes. */
void Fleet_Restore(uint64_t lost);

/* Drops the store's history. */
void Fleet_Compact(void);

/* Runs for a time. Counts a violation when a daemon's state isn't that of its
 * position, when its position goes back, when it is sent a stream that it
 * doesn't know, or when it has run and reached the
 * store for FLEET_CONTACT_US and then lacks a change for `bound_us`. */
void Fleet_Run(int64_t time_us, int64_t bound_us);

/* Returns whether every running daemon has the store's state. */
bool Fleet_IsCurrent(void);

#endif
