/* EbStageSchedule: the order in which the home of a stage service works on the
 * items that wait there, and which of them it can't do in time any more.
 *
 * Those that can still be in time go first, among them the more urgent class,
 * then work in the server's failure domain, then requests whose earlier stages
 * are done, then the earliest due time. In a shortage a share of the items is
 * kept for the classes that would otherwise get nothing.
 *
 * The functions do no I/O and keep no reference to what they are given. All
 * times are monotonic microseconds. */
#ifndef EBONYHOLLOW_STAGE_SCHEDULE_H
#define EBONYHOLLOW_STAGE_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Priorities, and priorities of routes, that are told apart; less urgent ones
 * count as the last. */
#define EB_STAGE_PRIORITIES 4
/* Classes of urgency: a priority and the priority of a route. */
#define EB_STAGE_CLASSES (EB_STAGE_PRIORITIES * EB_STAGE_PRIORITIES)

/* One job that waits. */
typedef struct {
    void *job; /* of the caller */
    uint32_t items;
    uint32_t class;      /* see EbStageSchedule_Class */
    uint32_t stage;      /* of its request */
    bool started;        /* some of its items run or are done */
    bool remote;         /* its results are used in another failure domain */
    int64_t due_us;      /* when it should be done at the usual speed */
    int64_t deadline_us; /* later results are of no use */
    /* Set by EbStageSchedule_Order. */
    bool late; /* its request can't be in time any more */
    /* Set by EbStageSchedule_Project. */
    bool in_time;  /* it will be done when it is due */
    bool hopeless; /* it won't be done before its deadline */
} EbStageEntry;

/* What the servers of a service do. */
typedef struct {
    int64_t now_us;
    /* Whether the classes matter for all items in time. Otherwise they do
     * while more than `items_at_once` wait, and no class is kept a share. */
    bool by_urgency;
    size_t items_at_once; /* that all servers take in one call each */
    int64_t call_us;      /* time of a call with one item */
    double items_per_s;   /* of all servers that can be used */
    /* Items a second, by class, that arrive in time. */
    double arrivals_per_s[EB_STAGE_CLASSES];
    /* Of the items, for each class that has waiting ones. */
    double least_share;
    /* Of items_per_s, which a class is expected to get at least. */
    double least_rate_share;
} EbStageCapacity;

/* Moving averages of events a second, by class. All zeros is the initial
 * state. */
typedef struct {
    double per_s[EB_STAGE_CLASSES];
    int64_t at_us[EB_STAGE_CLASSES];
} EbStageRates;

/* Counts events of a class. */
void EbStageRates_Add(EbStageRates *rates, uint32_t class, double count,
                      int64_t now_us);

/* Returns the rate of a class over about the last second. */
double EbStageRates_PerSecond(const EbStageRates *rates, uint32_t class,
                              int64_t now_us);

/* What the classes have been given. All zeros is the initial state. */
typedef struct {
    double owed[EB_STAGE_CLASSES]; /* items by least share, not yet given */
} EbStageShares;

/* Returns a class; lower ones are more urgent. */
uint32_t EbStageSchedule_Class(uint8_t priority, uint8_t route_priority);

/* Sorts entries in the order in which they are to be done, and sets `late`.
 * Returns true in a shortage: the servers can't do all of them in time. */
bool EbStageSchedule_Order(EbStageEntry *entries, size_t count,
                           const EbStageCapacity *capacity);

/* Sets `in_time` and `hopeless` of entries that EbStageSchedule_Order has
 * sorted. One that won't be in time waits for all that will be, and is done
 * with what the arrivals in time of its class and of more urgent ones leave.
 */
void EbStageSchedule_Project(EbStageEntry *entries, size_t count,
                             const EbStageCapacity *capacity);

/* Returns the index of the entry whose items go into a call next, `count` when
 * no entry has items. It is the first one, unless a less urgent class is owed
 * as many items as its first entry has.
 *
 * entries: in order; those with `items` 0 are skipped. */
size_t EbStageShares_Next(const EbStageShares *shares,
                          const EbStageEntry *entries, size_t count);

/* Records that items of a class go into a call in a shortage: each other class
 * with waiting items is owed its least share of them. */
void EbStageShares_Record(EbStageShares *shares, uint32_t class,
                          uint32_t items, const EbStageEntry *entries,
                          size_t count, double least_share);

#endif
