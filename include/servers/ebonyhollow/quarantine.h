/* EbQuarantine: keeps requests that crash backend servers from running.
 *
 * A fingerprint identifies a request by customer, pipeline and body, not by
 * its key, since the caller may send it again with another key. A fingerprint
 * in flight on a server that crashed is suspected and scores: 2 points when it
 * was alone on the server, 1 when it was not. At 3 points it is quarantined,
 * so that one request crashes at most three servers one after another, and
 * two crashes next to others do not quarantine a request. A success clears
 * the score. Scores are told to the other daemons, the highest wins. */
#ifndef EBONYHOLLOW_QUARANTINE_H
#define EBONYHOLLOW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/event.h"

#define EB_QUARANTINE_POINTS 3
#define EB_CRASH_POINTS_ALONE 2
#define EB_CRASH_POINTS_SHARED 1
#define EB_QUARANTINE_US (600LL * 1000 * 1000)
#define EB_SUSPICION_US (60LL * 1000 * 1000)

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
    uint32_t max_entries; /* 0: 4096; the oldest suspicion goes first */
    const EbEventSink *events;
} EbQuarantineOptions;

/* One entry, as listed, flooded to peers and stored in the platform. Ages
 * and remaining times are relative, since clocks differ between instances. */
typedef struct {
    EbFingerprint fingerprint;
    uint32_t points;
    EbFingerprintState state;
    int64_t remaining_us;
} EbQuarantineEntry;

EbQuarantine *EbQuarantine_New(const EbQuarantineOptions *options);
void EbQuarantine_Free(EbQuarantine *quarantine);

EbFingerprint EbQuarantine_Fingerprint(const char *customer,
                                       const char *pipeline, const char *body,
                                       size_t body_bytes);

/* State of a fingerprint now. */
EbFingerprintState EbQuarantine_State(EbQuarantine *quarantine,
                                      EbFingerprint fingerprint,
                                      int64_t now_us);

/* Counts a crash during which the fingerprint was in flight.
 *
 * `alone`: no other fingerprint was in flight on the server.
 *
 * Returns the new state. */
EbFingerprintState EbQuarantine_RecordCrash(EbQuarantine *quarantine,
                                            EbFingerprint fingerprint,
                                            bool alone, int64_t now_us);

/* Clears a suspicion after the request succeeded on a server. A quarantined
 * fingerprint stays. */
void EbQuarantine_RecordSuccess(EbQuarantine *quarantine,
                                EbFingerprint fingerprint, int64_t now_us);

/* Takes an entry from a peer or the store; the stronger state and the higher
 * count win. Returns true when it changed something. */
bool EbQuarantine_Merge(EbQuarantine *quarantine,
                        const EbQuarantineEntry *entry, int64_t now_us);

/* Releases a fingerprint on an operator's order. */
bool EbQuarantine_Release(EbQuarantine *quarantine, EbFingerprint fingerprint,
                          int64_t now_us);

/* Writes up to `max` entries; returns the number written. */
size_t EbQuarantine_List(EbQuarantine *quarantine, EbQuarantineEntry *entries,
                         size_t max, int64_t now_us);

/* Number of entries in a state. */
size_t EbQuarantine_Count(const EbQuarantine *quarantine,
                          EbFingerprintState state, int64_t now_us);

/* Takes the next entry whose state changed here and has to be told to the
 * other daemons. Returns false when there is none. */
bool EbQuarantine_NextChange(EbQuarantine *quarantine,
                             EbQuarantineEntry *entry, int64_t now_us);

#endif
