/* EbQuarantine: blocks requests that crash backend servers.
 *
 * A fingerprint identifies a request by customer, pipeline and body. The
 * idempotency key is not part of it, since the caller may send the request
 * again with another key. A fingerprint that was in flight on a server when it
 * crashed is suspected; after three crashes without a success between them it
 * is quarantined. So one request crashes at most three servers one after
 * another, and two crashes beside another request do not quarantine it. A
 * request that is alone on the server counts no more than others, since a
 * daemon does not know the calls of the other daemons. The number of crashes
 * is sent to them; the highest wins.
 *
 * EbSuspects finds the parts of prompts that crash servers, and forwarded
 * requests that do, by other evidence. It adds their fingerprints here with
 * EbQuarantine_Add.
 *
 * All times are monotonic microseconds. */
#ifndef EBONYHOLLOW_QUARANTINE_H
#define EBONYHOLLOW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/event.h"

/* Crashes after which a fingerprint is quarantined. */
#define EB_QUARANTINE_CRASHES 3
/* Both times count from the last crash. */
#define EB_QUARANTINE_DURATION_US (600LL * 1000 * 1000)
#define EB_SUSPICION_DURATION_US (60LL * 1000 * 1000)

typedef struct EbQuarantine EbQuarantine;

typedef uint64_t EbFingerprint;

typedef enum {
    EB_FINGERPRINT_CLEAR,
    EB_FINGERPRINT_SUSPECTED,
    EB_FINGERPRINT_QUARANTINED,
    EB_FINGERPRINT_STATE_COUNT
} EbFingerprintState;

extern const char *const EbFingerprintState_names[EB_FINGERPRINT_STATE_COUNT];

typedef struct {
    uint32_t max_entries; /* 0: 4096; the oldest suspicion is evicted first */
    const EbEventSink *events;
} EbQuarantineOptions;

/* One entry, as listed for operators, flooded to peers and stored in the
 * platform. The time is relative, since clocks differ between instances. */
typedef struct {
    EbFingerprint fingerprint;
    uint32_t crashes;
    EbFingerprintState state;
    int64_t remaining_us; /* until the entry expires */
} EbQuarantineEntry;

/* Creates an empty quarantine. `events` may be NULL; the sink that it points
 * to is copied. Free the quarantine with EbQuarantine_Free. */
EbQuarantine *EbQuarantine_New(const EbQuarantineOptions *options);

/* Accepts NULL. */
void EbQuarantine_Free(EbQuarantine *quarantine);

/* Returns the fingerprint of a request. `body` need not end with a NUL byte.
 */
EbFingerprint EbQuarantine_Fingerprint(const char *customer,
                                       const char *pipeline, const char *body,
                                       size_t body_bytes);

/* Returns the state of a fingerprint now; an expired entry is removed. */
EbFingerprintState EbQuarantine_State(EbQuarantine *quarantine,
                                      EbFingerprint fingerprint,
                                      int64_t now_us);

/* Counts a crash of a server on which the fingerprint was in flight. Returns
 * the new state. */
EbFingerprintState EbQuarantine_RecordCrash(EbQuarantine *quarantine,
                                            EbFingerprint fingerprint,
                                            int64_t now_us);

/* Clears a suspicion after the request succeeded on a server. A quarantined
 * fingerprint stays quarantined. */
void EbQuarantine_RecordSuccess(EbQuarantine *quarantine,
                                EbFingerprint fingerprint, int64_t now_us);

/* Merges an entry from a peer or the store: the stronger state, the longer
 * time and the more crashes win, and a clear entry releases the fingerprint.
 * Nothing changes until a release that was made here has been sent. Returns
 * true when something changed. */
bool EbQuarantine_Merge(EbQuarantine *quarantine,
                        const EbQuarantineEntry *entry, int64_t now_us);

/* Quarantines a fingerprint that crashed `crashes` servers.
 *
 * publish_us: when EbQuarantine_NextChange returns the change, for the other
 *     daemons, unless one of them sends it before.
 *
 * Does nothing when the fingerprint is quarantined already. */
void EbQuarantine_Add(EbQuarantine *quarantine, EbFingerprint fingerprint,
                      uint32_t crashes, int64_t publish_us, int64_t now_us);

/* Releases a fingerprint, here and at the other daemons.
 *
 * cause: for the log, such as "operator".
 * publish_us: as for EbQuarantine_Add.
 *
 * Returns false when it is neither suspected nor quarantined. */
bool EbQuarantine_Release(EbQuarantine *quarantine, EbFingerprint fingerprint,
                          const char *cause, int64_t publish_us,
                          int64_t now_us);

/* Writes up to `max` suspected or quarantined entries, in no particular order.
 * Returns the number written. */
size_t EbQuarantine_List(EbQuarantine *quarantine, EbQuarantineEntry *entries,
                         size_t max, int64_t now_us);

/* Returns the number of entries in a state. */
size_t EbQuarantine_Count(const EbQuarantine *quarantine,
                          EbFingerprintState state, int64_t now_us);

/* Returns the next change that was made at this daemon and has to be sent to
 * the others now; each change is returned once. Returns false when there is
 * none. */
bool EbQuarantine_NextChange(EbQuarantine *quarantine,
                             EbQuarantineEntry *entry, int64_t now_us);

/* Returns the earliest time at which EbQuarantine_NextChange has a change to
 * return, or INT64_MAX. */
int64_t EbQuarantine_NextTimer(const EbQuarantine *quarantine);

#endif
