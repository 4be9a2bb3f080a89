/* EbBatcher: work items of many requests, gathered into calls to the servers
 * of the stages that prepare them.
 *
 * One daemon, the home of a service, gathers the items of all daemons, since
 * a call costs far more than an item. An item waits until a server has a free
 * place; the most urgent items that can still be in time go first, up to the
 * size of a call. Items that a server did not do go to another one. */
#ifndef EBONYHOLLOW_BATCHER_H
#define EBONYHOLLOW_BATCHER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/forward.h"

/* An instance without a link for so long takes its results no more. */
#define EB_BATCHER_REQUESTER_GRACE_US 1000000

typedef struct EbBatcher EbBatcher;

typedef struct {
    EbActionQueue *actions;
    const EbEventSink *events;
} EbBatcherOptions;

EbBatcher *EbBatcher_New(const EbBatcherOptions *options);
void EbBatcher_Free(EbBatcher *batcher);

/* Takes the configuration in force: services and their servers. */
void EbBatcher_SetConfig(EbBatcher *batcher, EbConfig *config, int64_t now_us);

/* Adds the items of one preparation. Everything is borrowed. The results of
 * a job that is prepared already are given again.
 *
 * requester: instance whose request needs them; job numbers are its own. */
void EbBatcher_AddJob(EbBatcher *batcher, const char *requester,
                      const EbPreparationJob *prepare, int64_t now_us);

/* Ends a job: items that wait are dropped and results are freed. Unknown jobs
 * are ignored. */
void EbBatcher_EndJob(EbBatcher *batcher, const char *requester, uint64_t job,
                      int64_t now_us);

/* Has a server of a service free a result that another daemon had made.
 * Unknown servers are ignored. */
void EbBatcher_ReleaseResult(EbBatcher *batcher, const char *service,
                             const char *host, uint16_t port,
                             const char *handle, int64_t now_us);

/* The link to an instance broke. Its jobs that wait for results end; the
 * results of the others are kept for EB_BATCHER_REQUESTER_GRACE_US, since its
 * requests go on with them if only the link broke. */
void EbBatcher_RequesterLost(EbBatcher *batcher, const char *requester,
                             int64_t now_us);

/* A link to an instance is up. A new incarnation knows no jobs of the one
 * before, which are ended. */
void EbBatcher_RequesterLinked(EbBatcher *batcher, const char *requester,
                               uint64_t incarnation, int64_t now_us);

/* Takes the whole answer to a call: one result for each item. Handles are
 * taken over. */
void EbBatcher_CallAnswered(EbBatcher *batcher, uint64_t attempt_id,
                            EbWorkItemResult *results, size_t count,
                            int64_t now_us);

/* Takes a failed call. `cause` is for the log. */
void EbBatcher_CallFailed(EbBatcher *batcher, uint64_t attempt_id,
                          EbCallResult result, const char *cause,
                          int64_t now_us);

/* Jobs that are neither prepared nor failed nor ended. */
size_t EbBatcher_PendingJobCount(const EbBatcher *batcher);

/* Items in a running call, 0 for an unknown one. */
size_t EbBatcher_CallItemCount(const EbBatcher *batcher, uint64_t attempt_id);

typedef struct {
    char *requester;
    uint64_t job;
    EbPreparedStatus status;
    char **handles; /* one for each work item when the status is ok */
    uint32_t handle_count;
} EbBatcherResult;

/* Takes the next job that ended; clear it with EbBatcherResult_Clear. Returns
 * false when there is none. */
bool EbBatcher_NextResult(EbBatcher *batcher, EbBatcherResult *result);
void EbBatcherResult_Clear(EbBatcherResult *result);

void EbBatcher_Tick(EbBatcher *batcher, int64_t now_us);
int64_t EbBatcher_NextTimer(const EbBatcher *batcher);

#endif
