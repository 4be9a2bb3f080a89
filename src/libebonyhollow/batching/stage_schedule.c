#include "ebonyhollow/stage_schedule.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

/* A class is owed at most this many items, so that one that returns after a
 * long time doesn't take whole calls. */
#define MAX_OWED 32.0

/* Time constant of the rates. */
#define RATE_TIME_S 1.0

void
EbStageRates_Add(EbStageRates *rates, uint32_t class, double count,
                 int64_t now_us)
{
    rates->per_s[class] =
        EbStageRates_PerSecond(rates, class, now_us) + count / RATE_TIME_S;
    rates->at_us[class] = now_us;
}

double
EbStageRates_PerSecond(const EbStageRates *rates, uint32_t class,
                       int64_t now_us)
{
    double passed_s = (double)(now_us - rates->at_us[class]) / 1e6;
    return rates->per_s[class] * exp(-passed_s / RATE_TIME_S);
}

uint32_t
EbStageSchedule_Class(uint8_t priority, uint8_t route_priority)
{
    return MIN(priority, EB_STAGE_PRIORITIES - 1) * EB_STAGE_PRIORITIES +
           MIN(route_priority, EB_STAGE_PRIORITIES - 1);
}

static int
compare_times(int64_t a, int64_t b)
{
    return a < b ? -1 : a > b;
}

static int
compare_due(const void *left, const void *right)
{
    const EbStageEntry *a = left;
    const EbStageEntry *b = right;
    return compare_times(a->due_us, b->due_us);
}

static int
compare_classes(const EbStageEntry *a, const EbStageEntry *b)
{
    return a->class < b->class ? -1 : a->class > b->class;
}

/* Of late work the newest goes first: the oldest would mostly end at its
 * deadline. What was started goes before it, so that its calls are not wasted.
 */
static int
compare_late(const EbStageEntry *a, const EbStageEntry *b)
{
    if (a->class != b->class) {
        return compare_classes(a, b);
    }
    if (a->started != b->started) {
        return a->started ? -1 : 1;
    }
    if (a->stage != b->stage) {
        return a->stage > b->stage ? -1 : 1;
    }
    return compare_times(b->due_us, a->due_us);
}

/* While there is no shortage, the classes of those in time don't matter. */
static int
compare_usual(const void *left, const void *right)
{
    const EbStageEntry *a = left;
    const EbStageEntry *b = right;
    if (a->late != b->late) {
        return a->late ? 1 : -1;
    }
    if (a->late) {
        return compare_late(a, b);
    }
    if (a->remote != b->remote) {
        return a->remote ? 1 : -1;
    }
    return compare_times(a->due_us, b->due_us);
}

static int
compare_urgency(const void *left, const void *right)
{
    const EbStageEntry *a = left;
    const EbStageEntry *b = right;
    if (!a->late && !b->late && a->class != b->class) {
        return compare_classes(a, b);
    }
    return compare_usual(left, right);
}

static int64_t
time_for(double items, double items_per_s)
{
    return items_per_s > 0 ? (int64_t)(items / items_per_s * 1e6)
                           : INT64_MAX / 4;
}

/* Returns whether the entries that are not late, by due time, can't all be
 * done in time. */
static bool
is_short(const EbStageEntry *entries, size_t count,
         const EbStageCapacity *capacity)
{
    double items = 0;
    for (size_t i = 0; i < count; i++) {
        if (entries[i].late) {
            continue;
        }
        items += entries[i].items;
        int64_t done_us = capacity->now_us + capacity->call_us +
                          time_for(items, capacity->items_per_s);
        if (done_us > entries[i].due_us) {
            return true;
        }
    }
    return false;
}

bool
EbStageSchedule_Order(EbStageEntry *entries, size_t count,
                      const EbStageCapacity *capacity)
{
    if (count == 0) {
        return false;
    }
    bool any_late = false;
    size_t items = 0;
    for (size_t i = 0; i < count; i++) {
        entries[i].late =
            entries[i].due_us < capacity->now_us + capacity->call_us;
        any_late = any_late || entries[i].late;
        items += entries[i].items;
    }
    if (!capacity->by_urgency) {
        qsort(entries, count, sizeof(*entries),
              items > capacity->items_at_once ? compare_urgency
                                              : compare_usual);
        return false;
    }
    qsort(entries, count, sizeof(*entries), compare_due);
    bool shortage = any_late || is_short(entries, count, capacity);
    qsort(entries, count, sizeof(*entries), compare_urgency);
    return shortage;
}

/* Returns when the items before an entry and its own are done. Those of more
 * urgent classes that arrive meanwhile go before it, and before a late one
 * those of its own class. */
static int64_t
project(const EbStageEntry *entry, double items, bool late,
        const EbStageCapacity *capacity)
{
    double rate = capacity->items_per_s;
    for (uint32_t i = 0; i < entry->class + (late ? 1 : 0); i++) {
        rate -= capacity->arrivals_per_s[i];
    }
    rate = MAX(rate, capacity->least_rate_share * capacity->items_per_s);
    return capacity->now_us + capacity->call_us +
           time_for(items + entry->items, rate);
}

void
EbStageSchedule_Project(EbStageEntry *entries, size_t count,
                        const EbStageCapacity *capacity)
{
    double items = 0;
    for (size_t i = 0; i < count; i++) {
        EbStageEntry *entry = &entries[i];
        entry->hopeless = false;
        entry->in_time = !entry->late && project(entry, items, false,
                                                 capacity) <= entry->due_us;
        items += entry->in_time ? entry->items : 0;
    }
    for (size_t i = 0; i < count && capacity->items_per_s > 0; i++) {
        EbStageEntry *entry = &entries[i];
        if (!entry->in_time) {
            entry->hopeless =
                project(entry, items, true, capacity) > entry->deadline_us;
            items += entry->hopeless ? 0 : entry->items;
        }
    }
}

/* Returns the first entry of a class that can be in time. Its late ones get no
 * share, since they would make others late. */
static size_t
first_of_class(const EbStageEntry *entries, size_t count, uint32_t class)
{
    size_t i = 0;
    while (i < count && (entries[i].items == 0 || entries[i].late ||
                         entries[i].class != class)) {
        i++;
    }
    return i;
}

size_t
EbStageShares_Next(const EbStageShares *shares, const EbStageEntry *entries,
                   size_t count)
{
    for (uint32_t class = 0; class < EB_STAGE_CLASSES; class ++) {
        if (shares->owed[class] >= 1) {
            size_t i = first_of_class(entries, count, class);
            if (i < count && shares->owed[class] >= entries[i].items) {
                return i;
            }
        }
    }
    size_t next = 0;
    while (next < count && entries[next].items == 0) {
        next++;
    }
    return next;
}

void
EbStageShares_Record(EbStageShares *shares, uint32_t class, uint32_t items,
                     const EbStageEntry *entries, size_t count,
                     double least_share)
{
    bool waiting[EB_STAGE_CLASSES] = {false};
    for (size_t i = 0; i < count; i++) {
        waiting[entries[i].class] |= entries[i].items > 0;
    }
    for (uint32_t i = 0; i < EB_STAGE_CLASSES; i++) {
        if (i == class) {
            shares->owed[i] = MAX(shares->owed[i] - items, 0);
        }
        else if (waiting[i]) {
            shares->owed[i] =
                MIN(shares->owed[i] + least_share * items, MAX_OWED);
        }
        else {
            shares->owed[i] = 0;
        }
    }
}
