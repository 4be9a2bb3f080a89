/* Plays the load of a deployment on batchers, with emulated servers of the
 * stages, on a virtual clock.
 *
 * A request passes through the stages of its class one after another, as the
 * dispatcher does it, then runs for a while on an engine that is never full.
 * A server works on one call at a time, keeps results until they are released
 * or expire, and makes no result for which it has no memory. */
#ifndef EB_TEST_LOAD_H
#define EB_TEST_LOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define LOAD_STAGES_MAX 3
#define LOAD_CLASSES_MAX 4

typedef struct {
    uint32_t servers;
    uint32_t batch_items;
    int64_t call_us;
    int64_t item_us;
    uint64_t memory_bytes; /* for results, of each server */
} LoadService;

typedef struct {
    uint32_t service;
    uint32_t items;
    uint64_t result_bytes;
    uint32_t items_max; /* above 0: `items` to this many, at random */
    double work_factor; /* of the time of an item; 0: 1 */
} LoadStage;

typedef struct {
    const char *name;
    double per_s;       /* arrivals outside of the burst */
    double burst_per_s; /* arrivals in the burst */
    uint8_t priority;
    int64_t goal_us;
    int64_t deadline_us;
    int64_t engine_us; /* until the first event, which frees the inputs */
    uint32_t stage_count;
    LoadStage stages[LOAD_STAGES_MAX];
} LoadClass;

typedef struct {
    LoadService services[LOAD_STAGES_MAX];
    uint32_t service_count;
    LoadClass classes[LOAD_CLASSES_MAX];
    uint32_t class_count;
    int64_t burst_from_us;
    int64_t burst_until_us;
    int64_t end_us; /* of the arrivals */
    uint64_t seed;
    bool routes; /* the configuration holds the routes with their priorities */
    /* Refused callers ask once more after Retry-After, bounded by a third of
     * the time that they have left. Their goal counts from the first time, and
     * so do due times, as in the dispatcher. */
    bool callers_return;
} LoadPlan;

typedef struct {
    uint32_t asked;
    uint32_t in_goal;
    uint32_t late;
    uint32_t refused;
    uint32_t refused_early;   /* within an eighth of the goal */
    int64_t refused_after_us; /* mean time until the last refusal */
    uint32_t returned;        /* refused once, and asked again */
    uint32_t returned_late;   /* of these, served late */
} LoadOutcome;

typedef struct {
    LoadOutcome classes[LOAD_CLASSES_MAX];
    uint32_t calls[LOAD_STAGES_MAX];
    uint32_t items[LOAD_STAGES_MAX];
    uint32_t no_room;
    uint32_t inputs_gone;
    uint32_t unused_results;
    int64_t work_us;   /* of the servers, in all */
    int64_t wasted_us; /* of it, for requests that were not served */
    double busy_share[LOAD_STAGES_MAX]; /* of the servers, in the burst */
} LoadReport;

/* Plays a plan and fills in the report. */
void Load_Play(const LoadPlan *plan, LoadReport *report);

/* Prints a report. */
void Load_Print(const LoadPlan *plan, const LoadReport *report);

#endif
