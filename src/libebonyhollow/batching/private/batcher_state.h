/* State shared by the files of the batching module. */
#ifndef EB_BATCHER_STATE_H
#define EB_BATCHER_STATE_H

#include <glib.h>

#include "ebonyhollow/batcher.h"
#include "ebonyhollow/stage_schedule.h"

/* Waiting jobs are reviewed this often. */
#define EB_BATCH_REVIEW_US 50000

typedef struct EbBatchJob EbBatchJob;
typedef struct EbBatchService EbBatchService;

typedef struct {
    EbBatchJob *job;
    uint32_t index;
    uint32_t attempts; /* that failed with an error */
    char *handle;      /* of the result; NULL until done */
    char *server_id;   /* server that made the result; NULL until done */
    bool holds_memory; /* its result counts in the server's held_bytes */
} EbBatchItem;

struct EbBatchJob {
    char *requester;
    uint64_t sequence;     /* of arrival at this home */
    EbPreparationJob spec; /* owned copy */
    EbBatchItem *items;
    GQueue waiting; /* of EbBatchItem */
    uint32_t done_count;
    uint32_t running_count; /* items in running calls */
    bool finished;          /* its outcome was reported, or it was ended */
    bool ended; /* its results are not needed; freed when no item runs */
    int64_t added_us;
    int64_t expires_us; /* when its results no longer exist */
    int64_t room_in_us; /* see EbBatcherResult */
    /* When the job ends unless its requester reconnects; INT64_MAX while the
     * requester is connected. */
    int64_t grace_until_us;
    EbBatchService *service;
    GSequenceIter *queue_position;    /* in the service's queue, or NULL */
    GSequenceIter *deadline_position; /* in `unfinished`; NULL: finished */
};

typedef struct {
    char *id;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint64_t incarnation;
    uint32_t running;         /* calls in flight */
    uint32_t failures;        /* failed calls since the last success */
    int64_t blocked_until_us; /* gets no call before this time */
    int64_t skipped_us;    /* last time that it was free but no item suited */
    int64_t idle_since_us; /* end of its last call */
    double slowdown;       /* moving average: call time / expected call time */
    uint64_t held_bytes;   /* of results stored or being made there */
    /* Taken by results that this home doesn't know, when the server last had
     * no room for one: those of an earlier home, or of one that was cut off.
     */
    uint64_t foreign_bytes;
    int64_t foreign_seen_us;
    uint64_t released_bytes; /* of the results in `releases` */
    bool current;            /* in the configuration in force */
    bool evacuated;          /* its failure domain is closed */
    GPtrArray *releases;     /* of char *, handles of results to free */
} EbBatchServer;

struct EbBatchService {
    char *name;
    EbConfigBatch batch;
    GHashTable *servers;    /* id to EbBatchServer */
    GSequence *queue;       /* of EbBatchJob with waiting items, by due time */
    size_t waiting_count;   /* items in the queue */
    uint64_t waiting_bytes; /* that their results will take */
    /* Routes of different priority use it, and its memory is limited. */
    bool by_urgency;
    EbStageShares shares;   /* of the classes in a shortage */
    EbStageRates arrivals;  /* of items in time, by class */
    EbStageRates done;      /* of items; the first class counts all */
    int64_t short_since_us; /* 0: no shortage */
    int64_t next_review_us; /* of the jobs that wait */
    int64_t next_report_us; /* of a shortage */
};

typedef struct {
    uint64_t id;
    EbBatchService *service;
    EbBatchServer *server;
    GPtrArray *items; /* of EbBatchItem */
    int64_t started_us;
    int64_t expected_us;
    int64_t timeout_at_us; /* when the call fails without an answer */
} EbBatchCall;

struct EbBatcher {
    EbBatcherOptions options;
    GHashTable *services;   /* name to EbBatchService */
    GHashTable *jobs;       /* requester and number to EbBatchJob */
    GSequence *unfinished;  /* of EbBatchJob, by deadline */
    GHashTable *ended_jobs; /* set of EbBatchJob whose items still run */
    GHashTable *calls;      /* attempt id to EbBatchCall */
    GHashTable *requesters; /* instance to the incarnation of its last link */
    GQueue results;         /* of EbBatcherResult */
    uint64_t last_sequence; /* of EbBatchJob */
    uint64_t last_attempt_id; /* without EB_BATCH_ATTEMPT_BIT */
    int64_t next_release_us;  /* or INT64_MAX */
};

/* batcher.c */

/* Removes a job that has no waiting items from its service's queue. */
void EbBatchJob_Dequeue(EbBatchJob *job);
void EbBatchJob_EnqueueItem(EbBatchJob *job, EbBatchItem *item);
/* Takes a job's waiting items out of its service's queue. */
void EbBatchJob_DropWaiting(EbBatchJob *job);
/* Returns the server that made an item's result, or NULL when there is no
 * result or the server is no longer configured. */
EbBatchServer *EbBatchJob_FindItemServer(const EbBatchJob *job,
                                         const EbBatchItem *item);
/* Queues the outcome of a job for its requester and drops its waiting items.
 */
void EbBatchJob_Report(EbBatcher *batcher, EbBatchJob *job,
                       EbPreparedStatus status, int64_t now_us);
/* Counts the memory of an item's result as free again. */
void EbBatchJob_FreeResultMemory(const EbBatchJob *job, EbBatchItem *item,
                                 EbBatchServer *server);
/* Schedules the release of an item's result at its server. */
void EbBatchJob_ReleaseResult(EbBatcher *batcher, const EbBatchJob *job,
                              EbBatchItem *item, int64_t now_us);
void EbBatchJob_Free(EbBatcher *batcher, EbBatchJob *job);
/* Ends a job whose results are not needed any more, and frees it when none of
 * its items runs. */
void EbBatchJob_End(EbBatcher *batcher, EbBatchJob *job, int64_t now_us);

/* batcher_admission.c */

/* Reports a job that can't be done before its deadline, and counts it.
 *
 * cause: "projected" or "expired". */
void EbBatchJob_ReportLate(EbBatcher *batcher, EbBatchJob *job,
                           const char *cause, int64_t now_us);

/* Returns what the servers of a service do that can be used now. */
EbStageCapacity EbBatchService_Capacity(const EbBatchService *service,
                                        int64_t now_us);
/* Reports the waiting jobs that can't be done before their deadline in view of
 * all that goes before them. Does nothing within EB_BATCH_REVIEW_US after the
 * last time. */
void EbBatchService_ReviewJobs(EbBatcher *batcher, EbBatchService *service,
                               int64_t now_us);

/* batcher_evacuation.c */

/* Notes whether a server's failure domain is closed. */
void EbBatchServer_CheckEvacuation(const EbBatcher *batcher,
                                   EbBatchServer *server);
/* Returns the number of servers whose failure domain is open. */
guint EbBatchService_CountOpen(const EbBatchService *service);
/* Returns whether the service has servers, all in closed failure domains. */
bool EbBatchService_IsEvacuated(const EbBatchService *service);

/* batcher_choice.c */

/* Returns the number of items that all servers to which calls may be sent take
 * in one call each. */
size_t EbBatchService_ItemsAtOnce(const EbBatchService *service);

/* Returns whether a server has memory for the results of the next call. */
bool EbBatchService_HasMemory(const EbBatchService *service,
                              const EbBatchServer *server, int64_t now_us);
/* Returns the memory for results that is free at a server. */
uint64_t EbBatchService_FreeMemory(const EbBatchService *service,
                                   const EbBatchServer *server,
                                   int64_t now_us);
/* Records that a server had no room for `missing_bytes` of results, although
 * there should have been: results that this home doesn't know take it. They
 * expire one after another within the lifetime of a result. */
void EbBatchService_RecordFullMemory(const EbBatchService *service,
                                     EbBatchServer *server,
                                     uint64_t missing_bytes, int64_t now_us);

/* Returns how long a call with `items` items takes at a server of usual speed,
 * in microseconds. */
int64_t EbBatchService_ExpectedTime(const EbBatchService *service,
                                    size_t items);
/* Returns an entry for each job that waits and may be sent to a server. The
 * caller frees the array.
 *
 * server: NULL: all jobs. */
GArray *EbBatchService_ListEntries(const EbBatchService *service,
                                   const EbBatchServer *server,
                                   int64_t done_us);
/* Returns the best free server for the most urgent job, or NULL when none is
 * free or it is so slow that waiting for a faster one is better. */
EbBatchServer *EbBatchService_ChooseServer(const EbBatcher *batcher,
                                           const EbBatchService *service,
                                           int64_t now_us);
/* Fills a call with waiting items in the order of EbStageSchedule. Items that
 * move many bytes are left out while they can wait for a server in their
 * failure domain. */
void EbBatchCall_SelectItems(EbBatchCall *call, int64_t now_us);

/* batcher_call.c */

void EbBatchCall_Free(gpointer call);
/* Starts calls until no item waits or no server is free. */
void EbBatchService_StartCalls(EbBatcher *batcher, EbBatchService *service,
                               int64_t now_us);
void EbBatcher_TimeOutCalls(EbBatcher *batcher, int64_t now_us);

#endif
