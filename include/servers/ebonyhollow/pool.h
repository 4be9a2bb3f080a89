/* EbPool: this daemon's view of the backend servers of one pool.
 *
 * Owns per server: calls in flight, concurrency limit, latency, last load
 * report, ejection, slow start and leaving state. Times are monotonic
 * microseconds. */
#ifndef EBONYHOLLOW_POOL_H
#define EBONYHOLLOW_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/random.h"

typedef struct EbPool EbPool;

typedef enum {
    EB_SERVER_AVAILABLE,
    EB_SERVER_EJECTED,
    EB_SERVER_SLOW_START,
    EB_SERVER_LEAVING,
    EB_SERVER_STATE_COUNT
} EbServerState;

extern const char *const EbServerState_names[EB_SERVER_STATE_COUNT];

typedef enum {
    EB_POOL_ADAPTIVE,
    EB_POOL_ROUND_ROBIN, /* baseline for measurements */
    EB_POOL_POLICY_COUNT
} EbPoolPolicy;

typedef struct {
    const EbConfig *config; /* referenced until EbPool_Free or SetConfig */
    uint32_t pool_index;
    const char *instance;       /* this daemon, for the subset */
    const char *failure_domain; /* preferred servers */
    EbPoolPolicy policy;
    EbRandom *random;
    const EbEventSink *events;
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
    EB_CALL_CANCELLED,  /* by this daemon: its duration is a lower bound */
    EB_CALL_RESULT_COUNT
} EbCallResult;

extern const char *const EbCallResult_names[EB_CALL_RESULT_COUNT];

#define EB_POOL_MAX_EXCLUDED 8

/* What a choice has to respect. A zeroed struct has no wishes. */
typedef struct {
    const char *excluded[EB_POOL_MAX_EXCLUDED]; /* server ids, tried before */
    uint32_t excluded_count;
    const char *preferred; /* prefix affinity; used unless it is loaded */
    /* When set, servers for which it returns false are passed over. */
    bool (*accept)(void *context, const char *server_id);
    void *context;
} EbPoolCriteria;

EbPool *EbPool_New(const EbPoolOptions *options, EbError *error);
void EbPool_Free(EbPool *pool);

/* Takes a new configuration; servers known before keep their statistics.
 * Calls in flight on servers that are gone may still be ended. */
void EbPool_SetConfig(EbPool *pool, const EbConfig *config,
                      uint32_t pool_index);

/* Sets the number of live daemons, which share a server's connections. */
void EbPool_SetDaemonCount(EbPool *pool, uint32_t daemons);

/* Connections that this daemon may have to each server, UINT32_MAX without
 * limit. */
uint32_t EbPool_ConnectionShare(const EbPool *pool);

/* Chooses a server with a free slot and counts the call as in flight.
 *
 * Returns the server, valid until SetConfig, or NULL when no server can take
 * the call now. */
const EbConfigBackendServer *
EbPool_BeginCall(EbPool *pool, const EbPoolCriteria *criteria, int64_t now_us);

/* Returns the server on which all daemons put calls with this key, by
 * rendezvous hashing (Thaler, Ravishankar 1998), so that what the calls share
 * is cached once. Servers that are slow, ejected or far busier than others are
 * passed over. Returns NULL when none is left; valid until SetConfig. */
const EbConfigBackendServer *
EbPool_ChooseAffine(const EbPool *pool, const EbPoolCriteria *criteria,
                    uint64_t key, int64_t now_us);

/* Ends a call that EbPool_BeginCall counted. duration_us is from Begin to the
 * end, or to the first token of a stream. Unknown ids are ignored. */
void EbPool_EndCall(EbPool *pool, const char *server_id, EbCallResult result,
                    int64_t duration_us, int64_t now_us);

/* Takes a load report: calls running and waiting at the server. */
void EbPool_ReportLoad(EbPool *pool, const char *server_id, uint32_t running,
                       uint32_t waiting, int64_t reported_us, int64_t now_us);

/* Marks a server as leaving or, with false, as back.
 *
 * Returns true when the mark changed. */
bool EbPool_SetLeaving(EbPool *pool, const char *server_id, bool leaving,
                       int64_t now_us);

/* Updates ejections and slow start. Call it at least once a second. */
void EbPool_Tick(EbPool *pool, int64_t now_us);

/* Returns whether some server could take a call now. */
bool EbPool_HasFreeSlot(const EbPool *pool, int64_t now_us);

/* Returns whether any server of the subset is neither leaving nor ejected. */
bool EbPool_HasUsableServer(const EbPool *pool);

/* Predicts the time that one more call takes in this pool: the wait behind
 * `waiting` calls in this daemon's queue plus the service itself, both from
 * the measured time between EbPool_BeginCall and EbPool_EndCall. */
int64_t EbPool_PredictLatency(const EbPool *pool, size_t waiting,
                              int64_t now_us);

/* Returns the 95th percentile of successful calls, or 0 before 20 calls. */
int64_t EbPool_LatencyP95(const EbPool *pool);

/* Calls that EbPool_BeginCall counted and that have not ended; 0 for an
 * unknown id. */
uint32_t EbPool_InFlight(const EbPool *pool, const char *server_id);

/* State of one server, for the administration API. */
typedef struct {
    const EbConfigBackendServer *server;
    EbServerState state;
    const char *cause; /* of an ejection, "" otherwise */
    uint32_t in_flight;
    uint32_t limit;
    uint32_t reported_load;
    int64_t latency_us; /* moving average */
    int64_t until_us;   /* end of an ejection */
    uint64_t calls;
    uint64_t failures;
} EbServerView;

size_t EbPool_ServerCount(const EbPool *pool);
void EbPool_View(const EbPool *pool, size_t index, EbServerView *view);

#endif
