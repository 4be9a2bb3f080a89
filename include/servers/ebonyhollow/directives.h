/* EbDirectives: keeps to what backend servers ask of their callers in their
 * answers: a limit of requests, a pause, or no further calls.
 *
 * All calls to a server pass this module, whatever sends them: pools and
 * batchers ask EbDirectives_Admits before a call and report the call with
 * EbDirectives_RecordCall.
 *
 * A limit holds for all daemons together. Its server is assigned to as many
 * daemons as the limit has requests a second, at least one and at most all, by
 * rendezvous hashing (Thaler, Ravishankar 1998). They divide the limit; the
 * others send nothing there. So no daemon has to ask another one before a
 * call, and shares stay large enough to be used. The shares add up to the
 * limit or less while membership changes:
 *
 * - A daemon that gets a share, or learns of a limit, begins without tokens.
 * - Dead daemons keep their part of each limit until they are forgotten, as
 *   they may only be cut off. Those that left in an orderly way, or whose
 *   process is known to have ended, don't.
 *
 * A limit is known from the answers to calls of this daemon and from reports
 * of others. It ends when a call that was sent after the last answer which
 * named it is answered without it, or when no daemon has heard of it for
 * EB_DIRECTIVES_LIMIT_LIFETIME_US. A pause concerns this daemon only.
 *
 * Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_DIRECTIVES_H
#define EBONYHOLLOW_DIRECTIVES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/config.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/pace.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/server_directive.h"

#define EB_DIRECTIVES_LIMIT_LIFETIME_US (45LL * 1000 * 1000)

typedef struct EbDirectives EbDirectives;

typedef struct {
    const char *instance; /* this daemon; copied */
    EbRandom *random;
    const EbEventSink *events; /* may be NULL */
    EbMetrics *metrics;        /* may be NULL */
    EbPace *pace; /* limits calls to cold servers; NULL: none are cold */
} EbDirectivesOptions;

/* What one daemon tells the others of a server's limit. */
typedef struct {
    char *server_id;
    bool limited; /* false: the limit has ended */
    uint32_t requests_per_s_milli;
    uint64_t ago_us; /* since the answer that it is known from */
} EbLimitReport;

/* Creates a module that knows only this daemon. The modules in `options` are
 * borrowed and must outlive it. Free it with EbDirectives_Free. */
EbDirectives *EbDirectives_New(const EbDirectivesOptions *options);

/* Accepts NULL. */
void EbDirectives_Free(EbDirectives *directives);

/* Sets the daemons that share the limits.
 *
 * live: names of the live daemons; copied. Without this daemon among them it
 *     has no share of any limit, as while it shuts down.
 * lost: names of daemons that died without leaving and may only be cut off;
 *     copied. They keep their part of each limit. */
void EbDirectives_SetMembers(EbDirectives *directives, const char *const *live,
                             size_t live_count, const char *const *lost,
                             size_t lost_count, int64_t now_us);

/* Handles what the head of a server's answer says.
 *
 * sent_us: when the call was sent. */
void EbDirectives_RecordAnswer(EbDirectives *directives, const char *server_id,
                               const EbServerDirective *directive,
                               int64_t sent_us, int64_t now_us);

/* Sets the present starts of the servers. What an earlier start of a server
 * asked for ends. The pace of the servers is updated as well. */
void EbDirectives_SetConfig(EbDirectives *directives, const EbConfig *config,
                            int64_t now_us);

/* Returns the incarnation of a server in the configuration, 0 if unknown. */
uint64_t EbDirectives_Incarnation(const EbDirectives *directives,
                                  const char *server_id);

/* Returns whether a call that was sent at this time went to the server's
 * present start. */
bool EbDirectives_IsPresent(const EbDirectives *directives,
                            const char *server_id, int64_t sent_us);

/* Returns the pace of the servers; may be NULL. */
EbPace *EbDirectives_Pace(const EbDirectives *directives);

/* Marks a server as leaving, or with false as back.
 *
 * incarnation: which start of the server this is about, 0 for the present one.
 *     A mark about another start has no effect on the present one. */
void EbDirectives_SetLeaving(EbDirectives *directives, const char *server_id,
                             uint64_t incarnation, bool leaving,
                             int64_t now_us);

bool EbDirectives_IsLeaving(const EbDirectives *directives,
                            const char *server_id);

/* Returns whether a call may be sent to the server now. */
bool EbDirectives_Admits(const EbDirectives *directives, const char *server_id,
                         int64_t now_us);

/* Returns the earliest time at which a call may be sent to the server, which
 * is `now_us` if it may now, or INT64_MAX if none is known. */
int64_t EbDirectives_NextAdmission(const EbDirectives *directives,
                                   const char *server_id, int64_t now_us);

/* Returns whether the server named a limit that holds. */
bool EbDirectives_IsLimited(const EbDirectives *directives,
                            const char *server_id, int64_t now_us);

/* Returns whether the server named a limit or is cold. If so, `calls_per_s` is
 * set to this daemon's part of its calls, which may be 0. */
bool EbDirectives_FindShare(const EbDirectives *directives,
                            const char *server_id, double *calls_per_s,
                            int64_t now_us);

/* Counts a call that is sent to the server, of any kind. */
void EbDirectives_RecordCall(EbDirectives *directives, const char *server_id,
                             int64_t now_us);

/* Passes the result of a call on to the pace of the server, if there is one.
 */
void EbDirectives_RecordResult(EbDirectives *directives, const char *server_id,
                               const EbPaceCall *call, int64_t now_us);

/* Returns whether it is first the turn of other daemons to use a server on
 * pace. */
bool EbDirectives_IsHeld(const EbDirectives *directives, const char *server_id,
                         int64_t now_us);

/* Adds what another daemon told. */
void EbDirectives_Merge(EbDirectives *directives, const EbLimitReport *report,
                        int64_t now_us);

/* Returns the next report that is due to be sent to the other daemons; each is
 * returned once. `report->server_id` is borrowed until the next call of the
 * module. Returns false when there is none. */
bool EbDirectives_NextReport(EbDirectives *directives, EbLimitReport *report,
                             int64_t now_us);

/* Returns the earliest time at which EbDirectives_NextReport has something to
 * return, or INT64_MAX. */
int64_t EbDirectives_NextTimer(const EbDirectives *directives);

#endif
