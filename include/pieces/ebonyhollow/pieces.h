/* EbPieces: work items of many requests, gathered into calls to the servers
 * of the stages that prepare them.
 *
 * One daemon, the home of a service, gathers the items of all daemons, since
 * a call costs far more than an item. An item waits until a server has a free
 * place; the most urgent items that can still be in time go first, up to the
 * size of a call. Items that a server did not do go to another one. */
#ifndef EBONYHOLLOW_PIECES_H
#define EBONYHOLLOW_PIECES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/forward.h"

/* An instance without a link for so long takes its results no more. */
#define EB_PIECES_ORIGIN_GRACE_US 1000000

typedef struct EbPieces EbPieces;

typedef struct {
    EbActionQueue *actions;
    const EbEventSink *events;
} EbPiecesOptions;

EbPieces *EbPieces_New(const EbPiecesOptions *options);
void EbPieces_Free(EbPieces *pieces);

/* Takes the configuration in force: services and their servers. */
void EbPieces_SetConfig(EbPieces *pieces, EbConfig *config, int64_t now_us);

/* Adds the items of one preparation. Everything is borrowed. The results of
 * a job that is prepared already are given again.
 *
 * origin: instance whose request needs them; job numbers are its own. */
void EbPieces_Add(EbPieces *pieces, const char *origin,
                  const EbPrepare *prepare, int64_t now_us);

/* Ends a job: items that wait are dropped and results are freed. Unknown jobs
 * are ignored. */
void EbPieces_End(EbPieces *pieces, const char *origin, uint64_t job,
                  int64_t now_us);

/* Has a server of a service free a result that another daemon had made.
 * Unknown servers are ignored. */
void EbPieces_Release(EbPieces *pieces, const char *service, const char *host,
                      uint16_t port, const char *handle, int64_t now_us);

/* The link to an instance broke. Its jobs that wait for results end; the
 * results of the others are kept for EB_PIECES_ORIGIN_GRACE_US, since its
 * requests go on with them if only the link broke. */
void EbPieces_OriginGone(EbPieces *pieces, const char *origin, int64_t now_us);

/* A link to an instance is up. A new incarnation knows no jobs of the one
 * before, which are ended. */
void EbPieces_OriginBack(EbPieces *pieces, const char *origin,
                         uint64_t incarnation, int64_t now_us);

/* Takes the whole answer to a call: one result for each item. Handles are
 * taken over. */
void EbPieces_Answered(EbPieces *pieces, uint64_t attempt_id,
                       EbPieceResult *results, size_t count, int64_t now_us);

/* Takes a failed call. `cause` is for the log. */
void EbPieces_Failed(EbPieces *pieces, uint64_t attempt_id,
                     EbCallResult result, const char *cause, int64_t now_us);

/* Jobs that are neither prepared nor failed nor ended. */
size_t EbPieces_PendingCount(const EbPieces *pieces);

/* Items in a running call, 0 for an unknown one. */
size_t EbPieces_ItemCount(const EbPieces *pieces, uint64_t attempt_id);

typedef struct {
    char *origin;
    uint64_t job;
    EbPreparedStatus status;
    char **handles; /* one for each piece when the status is ok */
    uint32_t handle_count;
} EbPiecesResult;

/* Takes the next job that ended; clear it with EbPiecesResult_Clear. Returns
 * false when there is none. */
bool EbPieces_NextResult(EbPieces *pieces, EbPiecesResult *result);
void EbPiecesResult_Clear(EbPiecesResult *result);

void EbPieces_Tick(EbPieces *pieces, int64_t now_us);
int64_t EbPieces_NextTimer(const EbPieces *pieces);

#endif
