#include "ebonyhollow/quarantine.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#define MAX_ENTRIES_DEFAULT 4096
#define FINGERPRINT_HEX_BYTES 17
#define NOT_PENDING_US INT64_MAX

const char *const EbFingerprintState_names[EB_FINGERPRINT_STATE_COUNT] = {
    [EB_FINGERPRINT_CLEAR] = "clear",
    [EB_FINGERPRINT_SUSPECTED] = "suspected",
    [EB_FINGERPRINT_QUARANTINED] = "quarantined",
};

/* An entry in state clear is a release that still has to be sent to the other
 * daemons. */
typedef struct {
    EbFingerprint fingerprint; /* the key in the table points to it */
    uint32_t crashes;
    EbFingerprintState state;
    int64_t until_us;
    int64_t publish_us; /* when its change is sent, or NOT_PENDING_US */
} Entry;

struct EbQuarantine {
    uint32_t max_entries;
    EbEventSink events;
    GHashTable *entries; /* of Entry, by fingerprint */
    uint32_t pending_change_count;
};

EbQuarantine *
EbQuarantine_New(const EbQuarantineOptions *options)
{
    EbQuarantine *quarantine = g_new0(EbQuarantine, 1);
    quarantine->max_entries =
        options->max_entries > 0 ? options->max_entries : MAX_ENTRIES_DEFAULT;
    if (options->events != NULL) {
        quarantine->events = *options->events;
    }
    quarantine->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return quarantine;
}

void
EbQuarantine_Free(EbQuarantine *quarantine)
{
    if (quarantine == NULL) {
        return;
    }
    g_hash_table_destroy(quarantine->entries);
    g_free(quarantine);
}

static void
hash_part(crypto_generichash_state *state, const void *bytes,
          size_t byte_count)
{
    uint64_t length = byte_count;
    crypto_generichash_update(state, (const unsigned char *)&length,
                              sizeof(length));
    crypto_generichash_update(state, bytes, byte_count);
}

/* A cryptographic hash is used so that no customer can craft a body with the
 * fingerprint of another customer's request. */
EbFingerprint
EbQuarantine_Fingerprint(const char *customer, const char *pipeline,
                         const char *body, size_t body_bytes)
{
    crypto_generichash_state state;
    unsigned char digest[crypto_generichash_BYTES_MIN];
    crypto_generichash_init(&state, NULL, 0, sizeof(digest));
    hash_part(&state, customer, strlen(customer));
    hash_part(&state, pipeline, strlen(pipeline));
    hash_part(&state, body, body_bytes);
    crypto_generichash_final(&state, digest, sizeof(digest));
    EbFingerprint fingerprint;
    memcpy(&fingerprint, digest, sizeof(fingerprint));
    return GUINT64_FROM_LE(fingerprint);
}

static void
format_fingerprint(EbFingerprint fingerprint, char text[FINGERPRINT_HEX_BYTES])
{
    snprintf(text, FINGERPRINT_HEX_BYTES, "%016" PRIx64, fingerprint);
}

static bool
has_pending_change(const Entry *entry)
{
    return entry->publish_us != NOT_PENDING_US;
}

static void
set_publish_time(EbQuarantine *quarantine, Entry *entry, int64_t publish_us)
{
    quarantine->pending_change_count -= has_pending_change(entry);
    entry->publish_us = publish_us;
    quarantine->pending_change_count += has_pending_change(entry);
}

static void
remove_entry(EbQuarantine *quarantine, Entry *entry)
{
    set_publish_time(quarantine, entry, NOT_PENDING_US);
    g_hash_table_remove(quarantine->entries, &entry->fingerprint);
}

static void
emit_released(EbQuarantine *quarantine, EbFingerprint fingerprint,
              const char *cause)
{
    char text[FINGERPRINT_HEX_BYTES];
    format_fingerprint(fingerprint, text);
    EB_EMIT(&quarantine->events, EB_EVENT_REQUEST_RELEASED,
            EB_STRING_FIELD("fingerprint", text),
            EB_STRING_FIELD("cause", cause));
}

static void
emit_state(EbQuarantine *quarantine, const Entry *entry)
{
    char text[FINGERPRINT_HEX_BYTES];
    format_fingerprint(entry->fingerprint, text);
    if (entry->state == EB_FINGERPRINT_QUARANTINED) {
        EB_EMIT(&quarantine->events, EB_EVENT_REQUEST_QUARANTINED,
                EB_STRING_FIELD("fingerprint", text),
                EB_INTEGER_FIELD("crashes", entry->crashes),
                EB_INTEGER_FIELD("until_us", entry->until_us));
    }
    else {
        EB_EMIT(&quarantine->events, EB_EVENT_REQUEST_SUSPECTED,
                EB_STRING_FIELD("fingerprint", text),
                EB_INTEGER_FIELD("crashes", entry->crashes));
    }
}

/* Returns the entry of a fingerprint, or NULL. An expired entry is removed. */
static Entry *
find_entry(EbQuarantine *quarantine, EbFingerprint fingerprint, int64_t now_us)
{
    Entry *entry = g_hash_table_lookup(quarantine->entries, &fingerprint);
    if (entry == NULL || entry->state == EB_FINGERPRINT_CLEAR ||
        now_us < entry->until_us) {
        return entry;
    }
    if (entry->state == EB_FINGERPRINT_QUARANTINED) {
        emit_released(quarantine, fingerprint, "expired");
    }
    remove_entry(quarantine, entry);
    return NULL;
}

/* Returns whether `left` is evicted before `right` when the table is full:
 * weaker states first, then the entry that expires first. */
static bool
is_evicted_before(const Entry *left, const Entry *right)
{
    if (left->state != right->state) {
        return left->state < right->state;
    }
    return left->until_us < right->until_us;
}

static void
evict_entries(EbQuarantine *quarantine)
{
    while (g_hash_table_size(quarantine->entries) >= quarantine->max_entries) {
        GHashTableIter iterator;
        gpointer value;
        Entry *first = NULL;
        g_hash_table_iter_init(&iterator, quarantine->entries);
        while (g_hash_table_iter_next(&iterator, NULL, &value)) {
            Entry *entry = value;
            if (first == NULL || is_evicted_before(entry, first)) {
                first = entry;
            }
        }
        assert(first != NULL);
        remove_entry(quarantine, first);
    }
}

static Entry *
add_entry(EbQuarantine *quarantine, EbFingerprint fingerprint)
{
    evict_entries(quarantine);
    Entry *entry = g_new0(Entry, 1);
    entry->fingerprint = fingerprint;
    entry->publish_us = NOT_PENDING_US;
    g_hash_table_insert(quarantine->entries, &entry->fingerprint, entry);
    return entry;
}

EbFingerprintState
EbQuarantine_State(EbQuarantine *quarantine, EbFingerprint fingerprint,
                   int64_t now_us)
{
    const Entry *entry = find_entry(quarantine, fingerprint, now_us);
    return entry == NULL ? EB_FINGERPRINT_CLEAR : entry->state;
}

EbFingerprintState
EbQuarantine_RecordCrash(EbQuarantine *quarantine, EbFingerprint fingerprint,
                         int64_t now_us)
{
    Entry *entry = find_entry(quarantine, fingerprint, now_us);
    if (entry == NULL) {
        entry = add_entry(quarantine, fingerprint);
    }
    if (entry->crashes < UINT32_MAX) {
        entry->crashes++;
    }
    bool quarantined = entry->crashes >= EB_QUARANTINE_CRASHES;
    entry->state =
        quarantined ? EB_FINGERPRINT_QUARANTINED : EB_FINGERPRINT_SUSPECTED;
    entry->until_us = now_us + (quarantined ? EB_QUARANTINE_DURATION_US
                                            : EB_SUSPICION_DURATION_US);
    set_publish_time(quarantine, entry, now_us);
    emit_state(quarantine, entry);
    return entry->state;
}

void
EbQuarantine_RecordSuccess(EbQuarantine *quarantine, EbFingerprint fingerprint,
                           int64_t now_us)
{
    Entry *entry = find_entry(quarantine, fingerprint, now_us);
    if (entry != NULL && entry->state == EB_FINGERPRINT_SUSPECTED) {
        remove_entry(quarantine, entry);
    }
}

static bool
merge_release(EbQuarantine *quarantine, EbFingerprint fingerprint,
              int64_t now_us)
{
    Entry *entry = find_entry(quarantine, fingerprint, now_us);
    if (entry == NULL) {
        return false;
    }
    bool changed = entry->state != EB_FINGERPRINT_CLEAR;
    if (changed) {
        emit_released(quarantine, fingerprint, "peer");
    }
    remove_entry(quarantine, entry);
    return changed;
}

bool
EbQuarantine_Merge(EbQuarantine *quarantine, const EbQuarantineEntry *received,
                   int64_t now_us)
{
    if (received->state == EB_FINGERPRINT_CLEAR) {
        return merge_release(quarantine, received->fingerprint, now_us);
    }
    if (received->state >= EB_FINGERPRINT_STATE_COUNT ||
        received->remaining_us <= 0) {
        return false;
    }
    EbFingerprintState state = received->crashes >= EB_QUARANTINE_CRASHES
                                   ? EB_FINGERPRINT_QUARANTINED
                                   : received->state;
    int64_t max_us = state == EB_FINGERPRINT_QUARANTINED
                         ? EB_QUARANTINE_DURATION_US
                         : EB_SUSPICION_DURATION_US;
    int64_t until_us = now_us + MIN(received->remaining_us, max_us);
    Entry *entry = find_entry(quarantine, received->fingerprint, now_us);
    if (entry == NULL) {
        entry = add_entry(quarantine, received->fingerprint);
    }
    else if (entry->state == EB_FINGERPRINT_CLEAR) {
        /* Its sender has yet to learn of the release. */
        return false;
    }
    bool stronger = state > entry->state;
    bool longer = state == entry->state && until_us > entry->until_us;
    bool higher = received->crashes > entry->crashes;
    if (stronger || longer) {
        entry->state = state;
        entry->until_us = until_us;
    }
    if (higher) {
        entry->crashes = received->crashes;
    }
    if (state == EB_FINGERPRINT_QUARANTINED) {
        set_publish_time(quarantine, entry, NOT_PENDING_US);
    }
    if (stronger) {
        emit_state(quarantine, entry);
    }
    return stronger || longer || higher;
}

void
EbQuarantine_Add(EbQuarantine *quarantine, EbFingerprint fingerprint,
                 uint32_t crashes, int64_t publish_us, int64_t now_us)
{
    Entry *entry = find_entry(quarantine, fingerprint, now_us);
    if (entry != NULL && entry->state == EB_FINGERPRINT_QUARANTINED) {
        return;
    }
    if (entry == NULL) {
        entry = add_entry(quarantine, fingerprint);
    }
    entry->crashes = MAX(crashes, EB_QUARANTINE_CRASHES);
    entry->state = EB_FINGERPRINT_QUARANTINED;
    entry->until_us = now_us + EB_QUARANTINE_DURATION_US;
    set_publish_time(quarantine, entry, publish_us);
    emit_state(quarantine, entry);
}

bool
EbQuarantine_Release(EbQuarantine *quarantine, EbFingerprint fingerprint,
                     const char *cause, int64_t publish_us, int64_t now_us)
{
    Entry *entry = find_entry(quarantine, fingerprint, now_us);
    if (entry == NULL || entry->state == EB_FINGERPRINT_CLEAR) {
        return false;
    }
    entry->state = EB_FINGERPRINT_CLEAR;
    entry->crashes = 0;
    set_publish_time(quarantine, entry, publish_us);
    emit_released(quarantine, fingerprint, cause);
    return true;
}

static EbQuarantineEntry
describe_entry(const Entry *entry, int64_t now_us)
{
    bool clear = entry->state == EB_FINGERPRINT_CLEAR;
    return (EbQuarantineEntry){entry->fingerprint, entry->crashes,
                               entry->state,
                               clear ? 0 : entry->until_us - now_us};
}

size_t
EbQuarantine_List(EbQuarantine *quarantine, EbQuarantineEntry *entries,
                  size_t max, int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (count < max && g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry *entry = value;
        if (entry->state != EB_FINGERPRINT_CLEAR && now_us < entry->until_us) {
            entries[count++] = describe_entry(entry, now_us);
        }
    }
    return count;
}

size_t
EbQuarantine_Count(const EbQuarantine *quarantine, EbFingerprintState state,
                   int64_t now_us)
{
    GHashTableIter iterator;
    gpointer value;
    size_t count = 0;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry *entry = value;
        count += entry->state == state && now_us < entry->until_us;
    }
    return count;
}

bool
EbQuarantine_NextChange(EbQuarantine *quarantine, EbQuarantineEntry *change,
                        int64_t now_us)
{
    if (quarantine->pending_change_count == 0) {
        return false;
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        Entry *entry = value;
        if (entry->publish_us > now_us) {
            continue;
        }
        set_publish_time(quarantine, entry, NOT_PENDING_US);
        *change = describe_entry(entry, now_us);
        bool clear = entry->state == EB_FINGERPRINT_CLEAR;
        if (clear) {
            g_hash_table_iter_remove(&iterator);
        }
        if (clear || change->remaining_us > 0) {
            return true;
        }
    }
    return false;
}

int64_t
EbQuarantine_NextTimer(const EbQuarantine *quarantine)
{
    int64_t next_us = INT64_MAX;
    if (quarantine->pending_change_count == 0) {
        return next_us;
    }
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, quarantine->entries);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const Entry *entry = value;
        next_us = MIN(next_us, entry->publish_us);
    }
    return next_us;
}
