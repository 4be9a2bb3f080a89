/* State shared by the files of the pace module. */
#ifndef EB_PACE_STATE_H
#define EB_PACE_STATE_H

#include <glib.h>

#include "ebonyhollow/answer_times.h"
#include "ebonyhollow/fleet_share.h"
#include "ebonyhollow/pace.h"

typedef struct {
    char *id;
    char *failure_domain; /* NULL until it was in a configuration */
    uint64_t incarnation;
    bool current; /* in the configuration in force */
    uint32_t capacity;

    double cold_per_s; /* of its pool; 0: not bounded */
    int64_t pool_cold_us;
    int64_t cold_until_us;
    int64_t doubted_us; /* since when it may be cold; valid with a doubt */
    int64_t doubt_until_us;
    EbTokenBucket part;

    bool paced;
    bool by_turns; /* all daemons began at about the same time */
    const char *cause;
    int64_t since_us;
    size_t rank;
    double slots;
    bool probing;    /* slots double in each round trip: it was not slow yet */
    int64_t slow_us; /* when it was found slow, or pace began */
    int64_t suspected_us; /* when calls last spoke against it, or pace began */
    EbAnswerTest answers;
    EbAnswerReference *reference; /* of its pool; NULL: unknown */
} EbPaceServer;

struct EbPace {
    EbPaceOptions options;
    char *instance;
    EbFleetShare *fleet;
    GHashTable *servers;    /* id to EbPaceServer */
    GHashTable *references; /* name of a pool to EbAnswerReference */
    bool configured;
    int64_t cold_end_us; /* no server is cold from then on */
    uint32_t paced_count;
};

/* pace.c */

/* Returns NULL for a server that isn't known. */
EbPaceServer *EbPace_FindServer(const EbPace *pace, const char *id);

/* pace_bound.c */

/* Returns when a server stops to count as cold; 0 without a bound. */
int64_t EbPace_ColdEnd(const EbPaceServer *server);
/* Returns a server that counts as cold now, or NULL. */
EbPaceServer *EbPace_FindCold(const EbPace *pace, const char *server_id,
                              int64_t now_us);
/* Sets the rate of this daemon's calls by the present members. */
void EbPace_UpdatePart(const EbPace *pace, EbPaceServer *server,
                       int64_t now_us);
/* Puts a change of a server's cold time into force. */
void EbPace_ColdChanged(EbPace *pace, EbPaceServer *server, bool was_cold,
                        int64_t now_us);
/* Counts a server as cold until its entry says otherwise. */
void EbPace_DoubtServer(EbPace *pace, EbPaceServer *server, int64_t now_us);

/* pace_learned.c */

/* Begins the pace of a server.
 *
 * by_turns: all daemons begin at about the same time */
void EbPace_Begin(EbPace *pace, EbPaceServer *server, const char *cause,
                  bool by_turns, int64_t now_us);
/* Returns a server on pace, after ending the pace if it is time, or NULL. */
EbPaceServer *EbPace_FindPaced(EbPace *pace, const char *server_id,
                               int64_t now_us);

#endif
