/* EbFleetShare: divides what a backend server takes among daemons, without
 * messages.
 *
 * For each server the daemons are ordered by rendezvous hashing (Thaler,
 * Ravishankar 1998). All daemons that know the same members find the same
 * order, so that each finds by itself whether it is among the first ones,
 * which alone use the server.
 *
 * EbTokenBucket holds a daemon's part. Times are monotonic microseconds. */
#ifndef EBONYHOLLOW_FLEET_SHARE_H
#define EBONYHOLLOW_FLEET_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbFleetShare EbFleetShare;

/* Creates a fleet of this daemon alone. Free it with EbFleetShare_Free. */
EbFleetShare *EbFleetShare_New(const char *instance);

/* Accepts NULL. */
void EbFleetShare_Free(EbFleetShare *fleet);

/* Sets the known daemons; the names are copied.
 *
 * live: without this daemon among them it has no part.
 * lost: names of daemons that died without leaving and may only be cut off. */
void EbFleetShare_SetMembers(EbFleetShare *fleet, const char *const *live,
                             size_t live_count, const char *const *lost,
                             size_t lost_count);

/* Returns whether this daemon is among the live ones. */
bool EbFleetShare_IsMember(const EbFleetShare *fleet);
size_t EbFleetShare_LiveCount(const EbFleetShare *fleet);
/* Returns the number of live and lost daemons. */
size_t EbFleetShare_KnownCount(const EbFleetShare *fleet);

/* Returns how many live daemons come before this one for a server. */
size_t EbFleetShare_LiveRank(const EbFleetShare *fleet, const char *server_id);

/* Returns how many live and lost daemons come before this one for a server.
 * Two sides of a partition find the same order. */
size_t EbFleetShare_KnownRank(const EbFleetShare *fleet,
                              const char *server_id);

typedef struct {
    double per_s;      /* tokens gained */
    double max_tokens; /* that are saved up */
    double tokens;     /* valid at filled_us */
    int64_t filled_us;
} EbTokenBucket;

/* Returns the tokens at a time, which may be negative. */
double EbTokenBucket_TokensAt(const EbTokenBucket *bucket, int64_t now_us);

/* Changes the rate from now on. A rate of 0 takes the tokens away. */
void EbTokenBucket_SetRate(EbTokenBucket *bucket, double per_s,
                           double max_tokens, int64_t now_us);

/* Takes a token, also when there is none. */
void EbTokenBucket_Take(EbTokenBucket *bucket, int64_t now_us);

/* Returns when a token is there: `now_us` if one is, INT64_MAX if none will
 * be. */
int64_t EbTokenBucket_NextToken(const EbTokenBucket *bucket, int64_t now_us);

#endif
