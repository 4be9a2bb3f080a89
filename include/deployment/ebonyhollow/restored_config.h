/* EbRestoredConfig: which version of the platform's configuration a daemon
 * takes when the store may have come back from an older copy of itself.
 *
 * A daemon that runs keeps the newest version that it has read, and from then
 * on announces it to its peers if the copy has an older one. A daemon that
 * starts when the store has come back at least once waits for such an
 * announcement before it takes its first version, for at most
 * EB_RESTORED_CONFIG_WAIT_US. In the store's first era nothing waits and
 * nothing is announced.
 *
 * Times are in microseconds on the monotonic clock. */
#ifndef EBONYHOLLOW_RESTORED_CONFIG_H
#define EBONYHOLLOW_RESTORED_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/store_protocol.h"

/* Time for links to the running daemons and their first heartbeats. */
#define EB_RESTORED_CONFIG_WAIT_US 1500000
/* The store's era before it has come back from a copy; 0: it has no eras. */
#define EB_RESTORED_CONFIG_FIRST_ERA 1

/* Zero-initialized when no version is known. */
typedef struct {
    uint64_t version;   /* newest known; 0: none */
    uint64_t announced; /* to be told to the peers; 0: none */
    int64_t wait_until_us;
} EbRestoredConfig;

/* Records the version that the store holds as of `position`. Returns whether
 * it is newer than what was known and is to be used. */
bool EbRestoredConfig_RecordStored(EbRestoredConfig *config, uint64_t version,
                                   const EbStorePosition *position,
                                   int64_t now_us);

/* Records a version that a peer sent. Returns whether it is newer than what
 * was known and is to be used. */
bool EbRestoredConfig_RecordTold(EbRestoredConfig *config, uint64_t version);

/* Returns whether the newest known version has to wait, since a peer may know
 * a newer one. The daemon has none in force yet. */
bool EbRestoredConfig_MustWait(const EbRestoredConfig *config, int64_t now_us);

/* Returns when the wait ends, or INT64_MAX when there is none. */
int64_t EbRestoredConfig_NextTimer(const EbRestoredConfig *config,
                                   int64_t now_us);

#endif
