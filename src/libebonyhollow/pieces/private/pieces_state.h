/* State shared by the files of the pieces module. */
#ifndef EB_PIECES_STATE_H
#define EB_PIECES_STATE_H

#include <glib.h>

#include "ebonyhollow/pieces.h"

typedef struct EbPieceJob EbPieceJob;
typedef struct EbPieceService EbPieceService;

typedef struct {
    EbPieceJob *job;
    uint32_t piece;
    uint32_t tries;
    char *handle;    /* when done */
    char *server_id; /* that made the result */
    bool holds_room; /* its result takes memory there */
} EbPiece;

struct EbPieceJob {
    char *origin;
    EbPrepare prepare; /* its own copy */
    EbPiece *pieces;
    GQueue waiting; /* of EbPiece */
    uint32_t done_count;
    uint32_t running_count;
    bool over;  /* reported, or ended by its origin */
    bool ended; /* ended by its origin; freed when nothing runs */
    int64_t added_us;
    int64_t expires_us; /* its results no longer exist */
    /* When it is ended unless its origin comes back; INT64_MAX while that is
     * there. */
    int64_t kept_until_us;
    EbPieceService *service;
    GSequenceIter *place; /* in the service's queue, or NULL */
};

typedef struct {
    char *id;
    char *host;
    uint16_t port;
    char *failure_domain;
    uint32_t running;
    uint32_t failures;
    int64_t blocked_us;  /* no call before */
    int64_t passed_us;   /* when it was free and no item was for it */
    double pace;         /* time of calls as a multiple of what is expected */
    uint64_t held_bytes; /* of results that lie there or are being made */
    uint64_t released_bytes; /* of those in `releases` */
    bool current;            /* in the configuration in force */
    GPtrArray *releases;     /* of char *, handles to be freed */
} EbPieceServer;

struct EbPieceService {
    char *name;
    EbConfigBatch batch;
    GHashTable *servers; /* id to EbPieceServer */
    GSequence *queue;    /* of EbPieceJob with waiting items, by due time */
    size_t waiting_count;
};

typedef struct {
    uint64_t id;
    EbPieceService *service;
    EbPieceServer *server;
    GPtrArray *pieces; /* of EbPiece */
    int64_t started_us;
    int64_t expected_us;
    int64_t timeout_us;
} EbPieceCall;

struct EbPieces {
    EbPiecesOptions options;
    GHashTable *services; /* name to EbPieceService */
    GHashTable *jobs;     /* origin and number to EbPieceJob */
    GHashTable *ended;    /* set of EbPieceJob whose items still run */
    GHashTable *calls;    /* attempt id to EbPieceCall */
    GHashTable *origins;  /* instance to the incarnation of its last link */
    GQueue results;       /* of EbPiecesResult */
    uint64_t next_attempt;
    int64_t release_us; /* next release of results, or INT64_MAX */
};

/* pieces.c */

/* Takes a job without waiting pieces out of its service's queue. */
void EbPieceJob_LeaveQueue(EbPieceJob *job);
void EbPieceJob_WaitAgain(EbPieceJob *job, EbPiece *piece);
/* Gives the result of a job to its origin; the rest of its pieces is not
 * made. */
void EbPieceJob_Report(EbPieces *pieces, EbPieceJob *job,
                       EbPreparedStatus status, int64_t now_us);
/* Counts memory as free again that the piece's result took. */
void EbPieceJob_FreeRoom(const EbPieceJob *job, EbPiece *piece,
                         EbPieceServer *server);
/* Has the server of a piece free its result. */
void EbPieceJob_ReleaseResult(EbPieces *pieces, const EbPieceJob *job,
                              EbPiece *piece, int64_t now_us);
void EbPieceJob_Forget(EbPieces *pieces, EbPieceJob *job);

/* pieces_choice.c */

/* Returns how long a call with so many items takes at a server of usual
 * speed, in microseconds. */
int64_t EbPieceService_ExpectedTime(const EbPieceService *service,
                                    size_t items);
/* Returns the free server that is best for the most urgent job, or NULL. */
EbPieceServer *EbPieceService_ChooseServer(const EbPieceService *service,
                                           int64_t now_us);
/* Takes the most urgent items: first those whose requests can be in time, in
 * the order of priorities while servers are crowded, then those whose results
 * are used near this server. */
void EbPieceCall_Gather(EbPieceCall *call, int64_t now_us);

/* pieces_call.c */

void EbPieceCall_Free(gpointer call);
/* Starts calls while pieces wait and a server is free for them. */
void EbPieceService_Pump(EbPieces *pieces, EbPieceService *service,
                         int64_t now_us);
void EbPieces_TimeOutCalls(EbPieces *pieces, int64_t now_us);

#endif
