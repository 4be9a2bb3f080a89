/* EbQueue: attempts that wait for a backend server of one pool.
 *
 * More urgent entries are served first, and each class of urgency gets a least
 * share (EbClassShare). Within one, customers share the pool by weighted fair
 * queuing with virtual time (Demers, Keshav, Shenker 1989; start-time variant
 * of Goyal, Vin, Cheng 1996). Within one customer, the entry with the earliest
 * deadline that can still be met is served first. An entry whose deadline can
 * no longer be met is never served; EbQueue_PopExpired returns it. Times are
 * monotonic microseconds. */
#ifndef EBONYHOLLOW_QUEUE_H
#define EBONYHOLLOW_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbQueue EbQueue;

/* Order of service. Each is a row of function pointers in queue.c. */
typedef enum {
    EB_QUEUE_WEIGHTED_FAIR,
    EB_QUEUE_FIRST_COME, /* ignores customers; baseline for measurements */
    EB_QUEUE_ORDER_COUNT
} EbQueueOrder;

typedef struct {
    EbQueueOrder order;
    uint32_t max_entries; /* bound on waiting entries; 0: 4096 */
    /* Share of the turns that a waiting class of urgency gets at least; 0:
     * EB_CLASS_SHARE_DEFAULT_PERMILLE. */
    uint32_t least_class_permille;
} EbQueueOptions;

typedef struct {
    uint64_t id;          /* caller's handle, unique in the queue */
    const char *customer; /* copied by the queue */
    uint32_t weight;      /* at least 1 */
    uint32_t cost;        /* expected work, in any unit, at least 1 */
    int64_t deadline_us;  /* time by which the whole request must finish */
    int64_t needed_us;    /* predicted time from start of service to the end */
    int64_t queued_us;    /* set by EbQueue_Push */
    /* 0 is the most urgent; larger values than EB_CLASS_SHARE_CLASSES - 1
     * count as that. Not used by EB_QUEUE_FIRST_COME. */
    uint32_t urgency;
} EbQueueEntry;

/* Creates an empty queue. Free it with EbQueue_Free. */
EbQueue *EbQueue_New(const EbQueueOptions *options);

/* Frees a queue and its entries. Accepts NULL. */
void EbQueue_Free(EbQueue *queue);

/* Adds a copy of an entry.
 *
 * Returns false when the queue is full. */
bool EbQueue_Push(EbQueue *queue, const EbQueueEntry *entry, int64_t now_us);

/* Removes the next entry to serve.
 *
 * entry: set to the entry. Its customer string belongs to the queue and is
 *     valid until the next call.
 *
 * Returns false when no entry that can still finish in time is waiting. */
bool EbQueue_Pop(EbQueue *queue, int64_t now_us, EbQueueEntry *entry);

/* Removes one entry that can no longer finish in time.
 *
 * entry: as for EbQueue_Pop.
 *
 * Returns false when there is none. */
bool EbQueue_PopExpired(EbQueue *queue, int64_t now_us, EbQueueEntry *entry);

/* Removes an entry by its id.
 *
 * Returns false when it is not in the queue. */
bool EbQueue_Remove(EbQueue *queue, uint64_t id);

/* Returns the number of entries, expired ones included. */
size_t EbQueue_Count(const EbQueue *queue);

/* Returns the time at which EbQueue_PopExpired next finds an entry, or
 * INT64_MAX. A time in the past means that one has expired already. */
int64_t EbQueue_NextExpiry(const EbQueue *queue);

#endif
