/* EbPool: this daemon's view of the backend servers of one pool.
 *
 * Keeps for each server the calls in flight, concurrency limit, latency, last
 * load report, ejection and leaving state. What it knows of a server ends when
 * the server starts anew. All times are monotonic microseconds. */
#ifndef EBONYHOLLOW_POOL_H
#define EBONYHOLLOW_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/directives.h"
#include "ebonyhollow/evacuations.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/home_regions.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/server_speed.h"

typedef struct EbPool EbPool;

typedef enum {
    EB_SERVER_AVAILABLE,
    EB_SERVER_EJECTED,
    EB_SERVER_SLOW_START,
    EB_SERVER_LEAVING,
    EB_SERVER_EVACUATED, /* in a failure domain that is closed */
    EB_SERVER_STATE_COUNT
} EbServerState;

extern const char *const EbServerState_names[EB_SERVER_STATE_COUNT];

typedef enum {
    EB_POOL_ADAPTIVE,
    EB_POOL_ROUND_ROBIN, /* baseline for measurements */
    EB_POOL_POLICY_COUNT
} EbPoolPolicy;

typedef struct {
    const EbConfig *config; /* borrowed until EbPool_Free or SetConfig */
    uint32_t pool_index;    /* in config->pools */
    const char *instance;   /* this daemon; decides its subset of servers */
    const char *failure_domain; /* of this daemon; its servers are preferred */
    EbPoolPolicy policy;
    EbRandom *random;
    const EbEventSink *events;
    EbDirectives *directives; /* NULL: servers don't limit their calls */
    const EbEvacuations *evacuations; /* NULL: every domain is open */
    EbPace *pace; /* of servers that start or recover; NULL: all take calls at
                     once */
    bool measure_speeds; /* false: piece intervals are ignored */
} EbPoolOptions;

/* How a call ended, for the pool's statistics. */
typedef enum {
    EB_CALL_OK,
    EB_CALL_REFUSED,    /* connect failed: nothing was sent */
    EB_CALL_OVERLOADED, /* the server answered 429 or 503 */
    EB_CALL_ERROR,      /* 5xx or a malformed answer */
    EB_CALL_REJECTED,   /* 4xx: the call is at fault, not the server */
    EB_CALL_BROKEN,     /* connection broke mid-call: the server may be dead */
    EB_CALL_SILENT,     /* no progress within the time-out */
    EB_CALL_CANCELLED,  /* by this daemon: the duration is a lower bound */
    EB_CALL_RESULT_COUNT
} EbCallResult;

extern const char *const EbCallResult_names[EB_CALL_RESULT_COUNT];

#define EB_POOL_MAX_EXCLUDED 8

/* Criteria for the choice of a server. A zeroed struct accepts every server.
 */
typedef struct {
    const char *excluded[EB_POOL_MAX_EXCLUDED]; /* ids of tried servers */
    uint32_t excluded_count;
    /* Id of the server with a cached prefix, used unless it is too busy; NULL:
     * none. */
    const char *preferred;
    /* Returns whether a server may be chosen; NULL: all may. */
    bool (*accept)(void *context, const char *server_id);
    void *context;
    const EbHomeRegions *homes; /* NULL: servers of any region */
} EbPoolCriteria;

/* Creates a pool for a daemon that knows of no others. Strings in `options`
 * are copied; `random`, `events`, `directives` and `evacuations` are borrowed
 * and must outlive the pool.
 *
 * Returns a pool to be freed with EbPool_Free, or NULL with `error` set when
 * pool_index is out of range. */
EbPool *EbPool_New(const EbPoolOptions *options, EbError *error);

/* Accepts NULL. */
void EbPool_Free(EbPool *pool);

/* Applies a new configuration. Servers that were in the old one keep their
 * statistics. Calls in flight on removed servers may still be ended. */
void EbPool_SetConfig(EbPool *pool, const EbConfig *config,
                      uint32_t pool_index);

/* Sets the number of live daemons, this one included. They share the
 * connections that a server takes. */
void EbPool_SetDaemonCount(EbPool *pool, uint32_t daemons);

/* Returns how many connections this daemon may have to each server, at least
 * 1; UINT32_MAX when the configuration sets no limit. */
uint32_t EbPool_ConnectionShare(const EbPool *pool);

/* Chooses a server with a free slot and counts the call as in flight.
 *
 * Returns the server, valid until SetConfig, or NULL when no server can take
 * the call now. */
const EbConfigBackendServer *
EbPool_BeginCall(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us);

/* Chooses the server for calls with an affinity key. All daemons choose the
 * same one, by rendezvous hashing (Thaler, Ravishankar 1998), so that the
 * content which the calls share is cached once. Servers that are slow, ejected
 * or much busier than the others are skipped. No call is begun.
 *
 * Returns the server, valid until SetConfig, or NULL when none is suitable. */
const EbConfigBackendServer *
EbPool_ChooseAffine(const EbPool *pool, const EbPoolCriteria *criteria,
                    uint64_t key, int64_t now_us);

/* Ends a call that EbPool_BeginCall counted. Unknown ids are ignored.
 *
 * duration_us: from EbPool_BeginCall to the end of the call, or to the first
 *     token of a stream. */
void EbPool_EndCall(EbPool *pool, const char *server_id, EbCallResult result,
                    int64_t duration_us, int64_t now_us);

/* Like EbPool_EndCall, for a call of a kind whose usual duration is known, so
 * that servers are compared by calls of any length.
 *
 * expected_us: usual duration of such a call; 0: unknown */
void EbPool_EndCallOfKind(EbPool *pool, const char *server_id,
                          EbCallResult result, int64_t duration_us,
                          int64_t expected_us, int64_t now_us);

/* Records the piece interval of a stream that ended. Unknown ids are ignored.
 *
 * piece_interval_us: see EbPieceIntervals_Result; 0: unknown */
void EbPool_RecordPieceInterval(EbPool *pool, const char *server_id,
                                double piece_interval_us, int64_t now_us);

/* Records how long work takes at a server now, as it states itself. Unknown
 * ids are ignored.
 *
 * percent: of the usual time; 0: not stated */
void EbPool_RecordWork(EbPool *pool, const char *server_id, uint32_t percent,
                       int64_t now_us);

/* Adds what another daemon told. Unknown ids are ignored. */
void EbPool_MergeSpeed(EbPool *pool, const EbSpeedReport *report,
                       int64_t now_us);

/* Writes up to `max` speeds that other daemons have to be told, each once.
 * Their `server_id` is borrowed until EbPool_SetConfig. Returns their number.
 */
uint32_t EbPool_TakeSpeedReports(EbPool *pool, EbSpeedReport *reports,
                                 uint32_t max, int64_t now_us);

/* Records a load report: calls running and waiting at the server. Reports
 * older than the last one and unknown ids are ignored. */
void EbPool_ReportLoad(EbPool *pool, const char *server_id, uint32_t running,
                       uint32_t waiting, int64_t reported_us, int64_t now_us);

/* Marks a server as leaving, or with false as staying. Either change ends an
 * ejection.
 *
 * Returns true when the mark changed, false also for an unknown id. */
bool EbPool_SetLeaving(EbPool *pool, const char *server_id, bool leaving,
                       int64_t now_us);

/* Handles that failure domains were closed or opened. */
void EbPool_EvacuationsChanged(EbPool *pool);

/* Returns whether the pool has servers, and all that don't leave are in
 * failure domains that are closed. */
bool EbPool_IsEvacuated(const EbPool *pool);

/* Returns the number of calls in flight to the servers of a failure domain. */
uint32_t EbPool_CountCalls(const EbPool *pool, const char *failure_domain);

/* Updates ejections. Call it at least once a second. */
void EbPool_Tick(EbPool *pool, int64_t now_us);

/* Returns whether any server could take a call now. */
bool EbPool_HasFreeSlot(const EbPool *pool, int64_t now_us);

/* Returns how long a call has to wait behind `waiting` others because servers
 * limit their calls, in microseconds; INT64_MAX when this daemon may send to
 * none of them. Returns 0 when any server takes calls without a limit. */
int64_t EbPool_LimitDelay(const EbPool *pool, size_t waiting, int64_t now_us);

/* Returns the earliest time at which a server with a free slot that limits its
 * calls takes one from this daemon, or INT64_MAX. */
int64_t EbPool_NextAdmission(const EbPool *pool, int64_t now_us);

/* Returns whether any server of the subset is neither leaving nor ejected nor
 * in a failure domain that is closed. */
bool EbPool_HasUsableServer(const EbPool *pool);

/* Predicts how long one more call takes in this pool, in microseconds: the
 * wait behind `waiting` calls in this daemon's queue plus the service time.
 * Both derive from the measured time between EbPool_BeginCall and
 * EbPool_EndCall, or from the configured estimate before any call succeeded.
 */
int64_t EbPool_PredictLatency(const EbPool *pool, size_t waiting,
                              int64_t now_us);

/* Returns the 95th percentile of the durations of recent successful calls in
 * microseconds, or 0 while fewer than 20 are known. */
int64_t EbPool_LatencyP95(const EbPool *pool);

/* Returns the number of calls to a server that began and have not ended, 0 for
 * an unknown id. */
uint32_t EbPool_InFlight(const EbPool *pool, const char *server_id);

/* State of one server, for the administration API. */
typedef struct {
    const EbConfigBackendServer *server;
    EbServerState state;
    const char *cause; /* of the current ejection or pace, otherwise "" */
    uint32_t in_flight;
    uint32_t limit;            /* calls that this daemon may have in flight */
    uint32_t reported_load;    /* calls at the server, from all daemons */
    int64_t latency_us;        /* moving average; 0: not measured */
    int64_t piece_interval_us; /* usual time between pieces of a stream; 0:
                                  unknown */
    int64_t until_us;          /* end of the current ejection, otherwise 0 */
    int64_t cold_left_us;      /* time that it is, or may be, cold */
    uint64_t calls;
    uint64_t failures;
} EbServerView;

/* Returns the number of servers in this daemon's subset. */
size_t EbPool_ServerCount(const EbPool *pool);

/* Describes one server of the subset; index is below EbPool_ServerCount. */
void EbPool_View(const EbPool *pool, size_t index, EbServerView *view,
                 int64_t now_us);

#endif
