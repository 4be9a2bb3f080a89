/* Which crashes that other daemons report were seen here too.
 *
 * A call that breaks alone at its daemon may have lost only its connection.
 * Calls of another daemon that broke on the same server at the same time show
 * that the server crashed. */
#ifndef EB_CRASH_WITNESS_H
#define EB_CRASH_WITNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/suspects.h"

/* A crash of a server. */
typedef struct {
    EbSuspectSet set; /* of the call that broke */
    uint64_t server;  /* digest of its id */
    bool alone;       /* see EbSuspicion */
    int64_t at_us;
} EbCrash;

typedef struct EbCrashWitness EbCrashWitness;

/* Free the witness with EbCrashWitness_Free. */
EbCrashWitness *EbCrashWitness_New(void);

void EbCrashWitness_Free(EbCrashWitness *witness);

/* Records that calls of this daemon broke on the server. */
void EbCrashWitness_RecordBreak(EbCrashWitness *witness, uint64_t server,
                                int64_t at_us);

/* Adds a crash that another daemon reported of a call which broke alone.
 *
 * due_us: when this daemon will know whether its calls broke, too. */
void EbCrashWitness_AddReport(EbCrashWitness *witness, const EbCrash *report,
                              int64_t due_us);

/* Returns the next reported crash that is due and was seen here; each is
 * returned once. Returns false when there is none. */
bool EbCrashWitness_Next(EbCrashWitness *witness, EbCrash *crash,
                         int64_t now_us);

/* Returns the earliest time at which a report is due, or INT64_MAX. */
int64_t EbCrashWitness_NextTimer(const EbCrashWitness *witness);

#endif
