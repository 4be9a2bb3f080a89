/* EbQueue: attempts that wait for a backend server of one pool.
 *
 * Between customers: weighted fair queuing by virtual finish time (Demers,
 * Keshav, Shenker 1989; start-time variant of Goyal, Vin, Cheng 1996). Within
 * one customer: the earliest deadline that can still be met first. An entry
 * whose deadline can't be met any more is handed back by EbQueue_PopExpired
 * and never served. */
#ifndef EBONYHOLLOW_QUEUE_H
#define EBONYHOLLOW_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbQueue EbQueue;

/* Order of service, a row of function pointers in queue.c. */
typedef enum {
    EB_QUEUE_WEIGHTED_FAIR,
    EB_QUEUE_FIRST_COME, /* baseline for measurements */
    EB_QUEUE_ORDER_COUNT
} EbQueueOrder;

typedef struct {
    EbQueueOrder order;
    uint32_t max_entries; /* 0: 4096 */
} EbQueueOptions;

typedef struct {
    uint64_t id;          /* caller's handle, unique in the queue */
    const char *customer; /* copied by the queue */
    uint32_t weight;      /* at least 1 */
    uint32_t cost;        /* expected work, in any unit, at least 1 */
    int64_t deadline_us;  /* latest useful finish of the whole request */
    int64_t needed_us;    /* predicted time from service start to the end */
    int64_t queued_us;    /* set by EbQueue_Push */
} EbQueueEntry;

EbQueue *EbQueue_New(const EbQueueOptions *options);
void EbQueue_Free(EbQueue *queue);

/* Adds an entry. Returns false when the queue is full. */
bool EbQueue_Push(EbQueue *queue, const EbQueueEntry *entry, int64_t now_us);

/* Removes the next entry to serve. Returns false when none is waiting. The
 * customer string of the result is valid until the next call. */
bool EbQueue_Pop(EbQueue *queue, int64_t now_us, EbQueueEntry *entry);

/* Removes one entry that can't finish in time any more. */
bool EbQueue_PopExpired(EbQueue *queue, int64_t now_us, EbQueueEntry *entry);

/* Removes an entry by id. Returns false when it is not waiting. */
bool EbQueue_Remove(EbQueue *queue, uint64_t id);

size_t EbQueue_Count(const EbQueue *queue);

/* Time at which the next entry expires, or INT64_MAX. */
int64_t EbQueue_NextExpiry(const EbQueue *queue);

#endif
