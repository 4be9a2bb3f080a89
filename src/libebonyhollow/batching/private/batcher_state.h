/* State shared by the files of the batching module. */
#ifndef EB_BATCHER_STATE_H
#define EB_BATCHER_STATE_H

#include <glib.h>

#include "ebonyhollow/batcher.h"

typedef struct EbBatchJob EbBatchJob;
typedef struct EbBatchService EbBatchService;

typedef struct {
    EbBatchJob *job;
    uint32_t index;
    uint32_t tries;
    char *handle;      /* when done */
    char *server_id;   /* that made the result */
    bool holds_memory; /* its result takes memory there */
} EbBatchItem;

struct EbBatchJob {
    char *requester;
    EbPreparationJob prepare; /* its own copy */
    EbBatchItem *items;
    GQueue waiting; /* of EbBatchItem */
    uint32_t done_count;
    uint32_t running_count;
    bool finished; /* reported, or ended by its requester */
    bool ended;    /* ended by its requester; freed when nothing runs */
    int64_t added_us;
    int64_t expires_us; /* its results no longer exist */
    /* When it is ended unless its requester comes back; INT64_MAX while that
     * is there. */
    int64_t grace_until_us;
    EbBatchService *service;
    GSequenceIter *queue_position; /* in the service's queue, or NULL */
};

typedef struct {
    char *id;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint32_t running;
    uint32_t failures;
    int64_t blocked_us;  /* no call before */
    int64_t skipped_us;  /* when it was free and no item was for it */
    double slowdown;     /* time of calls as a multiple of what is expected */
    uint64_t held_bytes; /* of results that lie there or are being made */
    uint64_t released_bytes; /* of those in `releases` */
    bool current;            /* in the configuration in force */
    GPtrArray *releases;     /* of char *, handles to be freed */
} EbBatchServer;

struct EbBatchService {
    char *name;
    EbConfigBatch batch;
    GHashTable *servers; /* id to EbBatchServer */
    GSequence *queue;    /* of EbBatchJob with waiting items, by due time */
    size_t waiting_count;
};

typedef struct {
    uint64_t id;
    EbBatchService *service;
    EbBatchServer *server;
    GPtrArray *items; /* of EbBatchItem */
    int64_t started_us;
    int64_t expected_us;
    int64_t timeout_us;
} EbBatchCall;

struct EbBatcher {
    EbBatcherOptions options;
    GHashTable *services;   /* name to EbBatchService */
    GHashTable *jobs;       /* requester and number to EbBatchJob */
    GHashTable *ended;      /* set of EbBatchJob whose items still run */
    GHashTable *calls;      /* attempt id to EbBatchCall */
    GHashTable *requesters; /* instance to the incarnation of its last link */
    GQueue results;         /* of EbBatcherResult */
    uint64_t next_attempt;
    int64_t release_us; /* next release of results, or INT64_MAX */
};

/* batcher.c */

/* Takes a job without waiting items out of its service's queue. */
void EbBatchJob_Dequeue(EbBatchJob *job);
void EbBatchJob_EnqueueItem(EbBatchJob *job, EbBatchItem *item);
/* Gives the result of a job to its requester; the rest of its items is not
 * made. */
void EbBatchJob_Report(EbBatcher *batcher, EbBatchJob *job,
                       EbPreparedStatus status, int64_t now_us);
/* Counts memory as free again that the item's result took. */
void EbBatchJob_FreeResultMemory(const EbBatchJob *job, EbBatchItem *item,
                                 EbBatchServer *server);
/* Has the server of an item free its result. */
void EbBatchJob_ReleaseResult(EbBatcher *batcher, const EbBatchJob *job,
                              EbBatchItem *item, int64_t now_us);
void EbBatchJob_Free(EbBatcher *batcher, EbBatchJob *job);

/* batcher_choice.c */

/* Returns how long a call with so many items takes at a server of usual
 * speed, in microseconds. */
int64_t EbBatchService_ExpectedTime(const EbBatchService *service,
                                    size_t items);
/* Returns the free server that is best for the most urgent job, or NULL. */
EbBatchServer *EbBatchService_ChooseServer(const EbBatchService *service,
                                           int64_t now_us);
/* Takes the most urgent items: first those whose requests can be in time, in
 * the order of priorities while servers are crowded, then those whose results
 * are used near this server. */
void EbBatchCall_SelectItems(EbBatchCall *call, int64_t now_us);

/* batcher_call.c */

void EbBatchCall_Free(gpointer call);
/* Starts calls while items wait and a server is free for them. */
void EbBatchService_StartCalls(EbBatcher *batcher, EbBatchService *service,
                               int64_t now_us);
void EbBatcher_TimeOutCalls(EbBatcher *batcher, int64_t now_us);

#endif
