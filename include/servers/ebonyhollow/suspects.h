/* EbSuspects: finds out what it is in requests that crashes backend servers.
 *
 * A suspect is a fingerprint that a call carries: that of the whole request,
 * or that of a part of its prompt which other requests may share. Crashes and
 * answers are evidence:
 *
 * - A server crashed while a call with the suspect was on it whose answer had
 *   not begun. That counts EB_SUSPECT_CRASH_POINTS, or one if no other call of
 *   any daemon is known to have broken with it, since a single connection may
 *   break without a crash. Crashes of several servers within
 *   EB_SUSPECT_SPACING_US count once, since they have a cause outside of the
 *   requests.
 * - A server began an answer to a call with the suspect. This voids all
 *   crashes before it, because such a call would have crashed the server.
 *
 * EB_SUSPECT_POINTS without an answer between them quarantine the suspect;
 * EB_SUSPECT_KNOWN_POINTS if it was answered in the time before, so that parts
 * which sound requests share with those that crash servers stay free. An
 * answer that arrives later releases it.
 *
 * Suspects that came together at every crash can't be told apart. A request is
 * blocked if it carries all of them. One that carries only some is let
 * through: its answer or its crash shows which of them it is.
 *
 * All daemons collect the same evidence: each sends the crashes that it saw,
 * one of those that saw the crash of which another tells confirms it, and one
 * of those that know of an answer tells the others about it when a crash puts
 * the suspect in doubt. Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_SUSPECTS_H
#define EBONYHOLLOW_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/random.h"

#define EB_SUSPECTS_MAX 16         /* of one request */
#define EB_SUSPECT_CRASH_POINTS 2  /* of a crash that broke several calls */
#define EB_SUSPECT_POINTS 6        /* that quarantine a suspect */
#define EB_SUSPECT_KNOWN_POINTS 10 /* the same, after recent answers */
#define EB_SUSPECT_SPACING_US 100000
/* How long answers and crashes are remembered. */
#define EB_SUSPECT_MEMORY_US (60LL * 1000 * 1000)

typedef struct EbSuspects EbSuspects;

/* Suspects of one request. */
typedef struct {
    EbFingerprint fingerprints[EB_SUSPECTS_MAX];
    uint32_t count;
} EbSuspectSet;

/* One piece of evidence, as it is sent to the other daemons. */
typedef struct {
    EbSuspectSet set; /* of a request; the suspect that was answered */
    uint64_t server;  /* digest of the id of the server that crashed; 0: a
                         server began an answer */
    bool alone;       /* no other call is known to have broken with it */
    uint64_t ago_us;  /* since the crash or the answer */
} EbSuspicion;

typedef struct {
    uint32_t max_entries; /* 0: 8192; the one least recently used goes first */
    EbRandom *random;
    EbQuarantine *quarantine; /* where suspects are quarantined */
} EbSuspectsOptions;

/* Creates a table without suspects. `random` and `quarantine` are borrowed and
 * must outlive it. Free it with EbSuspects_Free. */
EbSuspects *EbSuspects_New(const EbSuspectsOptions *options);

/* Accepts NULL. */
void EbSuspects_Free(EbSuspects *suspects);

/* Sets how many daemons exchange evidence, this one included; 0 at first. What
 * several of them may tell is spread over a time that grows with their number,
 * so that a constant number tells it before the others have heard of it. */
void EbSuspects_SetDaemonCount(EbSuspects *suspects, uint32_t daemon_count);

/* Returns the fingerprint of a part of a prompt. */
EbFingerprint EbSuspects_PartFingerprint(uint64_t part_id);

/* Records that a server crashed at `at_us`, not after `now_us`, while a call
 * with the suspects was on it whose answer had not begun.
 *
 * set: empty if the answer had begun.
 * alone: no other call of this daemon broke with it. */
void EbSuspects_RecordCrash(EbSuspects *suspects, const EbSuspectSet *set,
                            const char *server_id, bool alone, int64_t at_us,
                            int64_t now_us);

/* Records that a server began an answer to a call with the suspect.
 *
 * shared: other requests may carry it too, so the answer is remembered even if
 *     there is no crash to void yet. */
void EbSuspects_RecordAnswer(EbSuspects *suspects, EbFingerprint fingerprint,
                             bool shared, int64_t now_us);

/* Returns whether a request with these suspects must not be sent to a server:
 * it carries one that is quarantined, and with it all that came together with
 * that one at every crash. */
bool EbSuspects_Blocks(EbSuspects *suspects, const EbSuspectSet *set,
                       int64_t now_us);

/* Returns whether a server crashed lately under one of the suspects, and none
 * has begun an answer to it since. */
bool EbSuspects_AreDoubted(EbSuspects *suspects, const EbSuspectSet *set,
                           int64_t now_us);

/* Adds evidence from another daemon. */
void EbSuspects_Merge(EbSuspects *suspects, const EbSuspicion *suspicion,
                      int64_t now_us);

/* Returns the next evidence that is due to be sent to the other daemons; each
 * is returned once. Returns false when there is none. */
bool EbSuspects_NextReport(EbSuspects *suspects, EbSuspicion *suspicion,
                           int64_t now_us);

/* Returns the earliest time at which EbSuspects_NextReport has something to
 * return, or INT64_MAX. */
int64_t EbSuspects_NextTimer(const EbSuspects *suspects);

#endif
