/* A dispatcher on a virtual clock with all modules that its choices rest on,
 * and what it did. */
#ifndef EB_TEST_EXPLAIN_WORLD_H
#define EB_TEST_EXPLAIN_WORLD_H

#include "ebonyhollow/dispatcher.h"

#define SECOND_US INT64_C(1000000)
#define TOKEN "caller-token"
#define SERVERS 8

typedef struct {
    EbEventSink sink;
    EbRandom random;
    EbActionQueue *actions;
    EbMetrics *metrics;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbPace *pace;
    EbDirectives *directives;
    EbEvacuations *evacuations;
    EbDispatcher *dispatcher;
    EbConfig *config;
    uint64_t incarnations[SERVERS];
    int64_t now_us;
    uint32_t submit_count;
    GArray *running;   /* of uint64_t, attempts that were not answered */
    GString *log;      /* sends, answers and events, in order */
    char *last_server; /* of the last send; NULL: none since a submission */
    bool answered;     /* a request was, since the last submission */
    EbReason reason;   /* of that answer */
} World;

/* Paths of the requests: a weighted route, a plain one, one with stages. */
extern const char *const World_paths[];
#define WORLD_PATHS 3

void World_Open(World *world, uint64_t seed);
void World_Close(World *world);

/* Applies the configuration with the present incarnations. */
void World_Configure(World *world);

/* Makes a call for World_Submit or an explanation; the caller drops it. */
EbForwardCall *World_NewCall(const World *world, uint32_t path, uint64_t part);

void World_Submit(World *world, uint32_t path, uint64_t part);

/* Passes an event of a running attempt to the dispatcher. */
void World_SendEvent(World *world, uint32_t index,
                     const EbAttemptEvent *event);

void World_Advance(World *world, int64_t by_us);
void World_Evacuate(World *world, const char *failure_domain, bool closed);

#endif
