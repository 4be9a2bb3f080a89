/* EbBatcher: gathers work items of many requests into batched calls to the
 * servers of the stages that prepare them.
 *
 * One daemon, the home of a service, gathers the items of all daemons, because
 * a call costs far more than an item. An item waits until a server has a free
 * slot. The most urgent items that can still be done in time go first, up to
 * the largest batch that the service takes. Items that a server did not
 * complete are sent to another one.
 *
 * All times are monotonic microseconds. Strings that are passed in are
 * borrowed for the duration of the call. */
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
#include "ebonyhollow/metrics.h"

/* Results are freed when the link to their requester has been down for this
 * long. */
#define EB_BATCHER_REQUESTER_GRACE_US 1000000

typedef struct EbBatcher EbBatcher;

typedef struct {
    EbActionQueue *actions;    /* receives the calls to send; borrowed */
    const EbEventSink *events; /* borrowed; NULL: none */
    EbDirectives *directives;  /* borrowed; must outlive the batcher */
    EbMetrics *metrics;        /* borrowed; NULL: none */
    const EbEvacuations
        *evacuations; /* borrowed; NULL: every domain is open */
} EbBatcherOptions;

/* Creates a batcher without services. Free it with EbBatcher_Free. */
EbBatcher *EbBatcher_New(const EbBatcherOptions *options);

/* Frees a batcher, its jobs and undelivered results. Accepts NULL. */
void EbBatcher_Free(EbBatcher *batcher);

/* Applies the configuration in force: services and their servers. */
void EbBatcher_SetConfig(EbBatcher *batcher, EbConfig *config, int64_t now_us);

/* Adds the work items of one preparation. `spec` is copied.
 *
 * A requester may add a job again after its link broke: nothing is added then,
 * and results that are complete are delivered again. If the requester uses the
 * number for another preparation, it has been restarted, and the old job ends.
 *
 * requester: instance whose request needs the results. Job numbers are unique
 *     per requester only. */
void EbBatcher_AddJob(EbBatcher *batcher, const char *requester,
                      const EbPreparationJob *spec, int64_t now_us);

/* Ends a job: waiting items are dropped and results are freed at their
 * servers. Unknown jobs are ignored. */
void EbBatcher_EndJob(EbBatcher *batcher, const char *requester, uint64_t job,
                      int64_t now_us);

/* Schedules the release of a result that was prepared through another daemon,
 * at the server of a service that holds it. Unknown services and servers are
 * ignored.
 *
 * host, port: address of the server.
 * handle: the result, as the server named it. */
void EbBatcher_ReleaseResult(EbBatcher *batcher, const char *service,
                             const char *host, uint16_t port,
                             const char *handle, int64_t now_us);

/* Reports that the link to an instance broke. Its unfinished jobs end. The
 * results of its prepared jobs are kept for EB_BATCHER_REQUESTER_GRACE_US,
 * since its requests still use them if only the link broke. */
void EbBatcher_RequesterLost(EbBatcher *batcher, const char *requester,
                             int64_t now_us);

/* Reports that a link to an instance is up. A new incarnation does not know
 * the jobs of the previous one, so these end. */
void EbBatcher_RequesterLinked(EbBatcher *batcher, const char *requester,
                               uint64_t incarnation, int64_t now_us);

/* Handles the complete answer to a call. Unknown calls are ignored.
 *
 * results: one for each item, in the order of the call. Handles are taken over
 *     and set to NULL.
 * count: must be the number of items, see EbBatcher_CallItemCount. */
void EbBatcher_CallAnswered(EbBatcher *batcher, uint64_t attempt_id,
                            EbWorkItemResult *results, size_t count,
                            int64_t now_us);

/* Handles a failed call. Unknown calls are ignored.
 *
 * cause: for the log. */
void EbBatcher_CallFailed(EbBatcher *batcher, uint64_t attempt_id,
                          EbCallResult result, const char *cause,
                          int64_t now_us);

/* Handles what the head of the answer to a call asks for. Call it before
 * EbBatcher_CallAnswered or EbBatcher_CallFailed.
 *
 * Returns the id of the call's server, borrowed until the next call of the
 * module, or NULL for an unknown call. */
const char *EbBatcher_RecordDirective(EbBatcher *batcher, uint64_t attempt_id,
                                      const EbServerDirective *directive,
                                      int64_t now_us);

/* Handles that failure domains were closed or opened. Items that wait go to
 * servers in open domains; where a service has none, their jobs fail. Results
 * in closed domains are not freed: they expire. */
void EbBatcher_EvacuationsChanged(EbBatcher *batcher, int64_t now_us);

/* Returns the number of calls that run at the servers of a failure domain. */
uint32_t EbBatcher_CountCalls(const EbBatcher *batcher,
                              const char *failure_domain);

/* Returns the number of jobs that are not prepared, failed or ended. */
size_t EbBatcher_PendingJobCount(const EbBatcher *batcher);

/* Returns the number of items in a running call, 0 for an unknown one. */
size_t EbBatcher_CallItemCount(const EbBatcher *batcher, uint64_t attempt_id);

/* Outcome of a job, for its requester. */
typedef struct {
    char *requester;
    uint64_t job;
    EbPreparedStatus status;
    char **handles; /* one for each work item when the status is ok */
    uint32_t handle_count;
    /* Of a job that can't be done in time: when the work that waits is done.
     */
    int64_t room_in_us;
} EbBatcherResult;

/* Removes the oldest undelivered result; the caller clears it with
 * EbBatcherResult_Clear. Returns false when there is none. */
bool EbBatcher_NextResult(EbBatcher *batcher, EbBatcherResult *result);
void EbBatcherResult_Clear(EbBatcherResult *result);

/* Runs what is due: time-outs of calls, expiry of jobs, releases of results
 * and new calls. */
void EbBatcher_Tick(EbBatcher *batcher, int64_t now_us);

/* Returns when EbBatcher_Tick has to be called next, or INT64_MAX. */
int64_t EbBatcher_NextTimer(const EbBatcher *batcher);

#endif
