#include "ebonyhollow/suspects.h"

#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "crash_witness.h"

#define MAX_ENTRIES_DEFAULT 8192
#define MAX_CRASHES EB_SUSPECT_KNOWN_POINTS
/* What several daemons may tell is told by each after a random part of this
 * time for each daemon, unless another one told it first. */
#define SPREAD_PER_DAEMON_US 12500
#define MIN_SPREAD_US 100000
/* A daemon that quarantines or releases a suspect after the report of another
 * one leaves it to that one to tell the others, and does so itself after this
 * time and a random one. */
#define PUBLISH_DELAY_US 200000
/* Time in which a daemon finds out whether its calls broke in a crash. */
#define WITNESS_DELAY_US 50000
/* Reports of one server that are less than this apart are of one crash. */
#define SAME_CRASH_US 1000000
#define NEVER_US INT64_MIN

typedef struct {
    EbFingerprint fingerprint; /* the key in the table points to it */
    EbCrash *crashes; /* their sets are of all calls with the suspect */
    uint32_t crash_count;
    int64_t answered_us;      /* last known answer, or NEVER_US */
    int64_t announced_us;     /* last answer that all daemons know of */
    int64_t answer_report_us; /* when to tell of answered_us; INT64_MAX */
    GList by_use;
} Entry;

struct EbSuspects {
    EbSuspectsOptions options;
    GHashTable *entries; /* of Entry, by fingerprint */
    GQueue by_use;       /* of Entry, most recently used first */
    EbCrashWitness *witness;
    uint32_t daemon_count;
    GArray *crash_reports;     /* of EbCrash, to be sent */
    GPtrArray *answer_reports; /* of Entry whose answered_us is to be sent */
};

static void
free_entry(gpointer pointer)
{
    Entry *entry = pointer;
    g_free(entry->crashes);
    g_free(entry);
}

EbSuspects *
EbSuspects_New(const EbSuspectsOptions *options)
{
    EbSuspects *suspects = g_new0(EbSuspects, 1);
    suspects->options = *options;
    if (options->max_entries == 0) {
        suspects->options.max_entries = MAX_ENTRIES_DEFAULT;
    }
    suspects->entries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_entry);
    g_queue_init(&suspects->by_use);
    suspects->witness = EbCrashWitness_New();
    suspects->crash_reports = g_array_new(FALSE, FALSE, sizeof(EbCrash));
    suspects->answer_reports = g_ptr_array_new();
    return suspects;
}

void
EbSuspects_Free(EbSuspects *suspects)
{
    if (suspects == NULL) {
        return;
    }
    g_hash_table_destroy(suspects->entries);
    EbCrashWitness_Free(suspects->witness);
    g_array_free(suspects->crash_reports, TRUE);
    g_ptr_array_free(suspects->answer_reports, TRUE);
    g_free(suspects);
}

void
EbSuspects_SetDaemonCount(EbSuspects *suspects, uint32_t daemon_count)
{
    suspects->daemon_count = daemon_count;
}

EbFingerprint
EbSuspects_PartFingerprint(uint64_t part_id)
{
    return EbQuarantine_Fingerprint("", "prompt part", (const char *)&part_id,
                                    sizeof(part_id));
}

static Entry *
find_entry(EbSuspects *suspects, EbFingerprint fingerprint)
{
    Entry *entry = g_hash_table_lookup(suspects->entries, &fingerprint);
    if (entry != NULL) {
        g_queue_unlink(&suspects->by_use, &entry->by_use);
        g_queue_push_head_link(&suspects->by_use, &entry->by_use);
    }
    return entry;
}

static void
evict_oldest(EbSuspects *suspects)
{
    Entry *oldest = suspects->by_use.tail->data;
    g_queue_unlink(&suspects->by_use, &oldest->by_use);
    g_ptr_array_remove_fast(suspects->answer_reports, oldest);
    g_hash_table_remove(suspects->entries, &oldest->fingerprint);
}

static Entry *
get_entry(EbSuspects *suspects, EbFingerprint fingerprint)
{
    Entry *entry = find_entry(suspects, fingerprint);
    if (entry != NULL) {
        return entry;
    }
    if (g_hash_table_size(suspects->entries) >=
        suspects->options.max_entries) {
        evict_oldest(suspects);
    }
    entry = g_new0(Entry, 1);
    *entry = (Entry){.fingerprint = fingerprint,
                     .answered_us = NEVER_US,
                     .announced_us = NEVER_US,
                     .answer_report_us = INT64_MAX,
                     .by_use = {.data = entry}};
    g_hash_table_insert(suspects->entries, &entry->fingerprint, entry);
    g_queue_push_head_link(&suspects->by_use, &entry->by_use);
    return entry;
}

static bool
is_quarantined(EbSuspects *suspects, EbFingerprint fingerprint, int64_t now_us)
{
    return EbQuarantine_State(suspects->options.quarantine, fingerprint,
                              now_us) == EB_FINGERPRINT_QUARANTINED;
}

static bool
is_within_memory(int64_t at_us, int64_t now_us)
{
    return at_us != NEVER_US && at_us > now_us - EB_SUSPECT_MEMORY_US;
}

/* Removes the crashes up to a time. */
static void
remove_crashes(Entry *entry, int64_t until_us)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (entry->crashes[i].at_us > until_us) {
            entry->crashes[kept++] = entry->crashes[i];
        }
    }
    entry->crash_count = kept;
}

static bool
contains(const EbSuspectSet *set, EbFingerprint fingerprint)
{
    for (uint32_t i = 0; i < set->count; i++) {
        if (set->fingerprints[i] == fingerprint) {
            return true;
        }
    }
    return false;
}

static void
add_all(EbSuspectSet *set, const EbSuspectSet *added)
{
    for (uint32_t i = 0; i < added->count; i++) {
        if (set->count < EB_SUSPECTS_MAX &&
            !contains(set, added->fingerprints[i])) {
            set->fingerprints[set->count++] = added->fingerprints[i];
        }
    }
}

/* Returns the known crash that a report is about, or NULL: several calls with
 * the suspect may have been on the server, also from other daemons. */
static EbCrash *
find_crash(Entry *entry, const EbCrash *report)
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        EbCrash *crash = &entry->crashes[i];
        int64_t apart_us = ABS(crash->at_us - report->at_us);
        if (apart_us < EB_SUSPECT_SPACING_US ||
            (crash->server == report->server && apart_us < SAME_CRASH_US)) {
            return crash;
        }
    }
    return NULL;
}

static void
append_crash(Entry *entry, const EbCrash *crash)
{
    if (entry->crash_count == MAX_CRASHES) {
        memmove(&entry->crashes[0], &entry->crashes[1],
                (MAX_CRASHES - 1) * sizeof(entry->crashes[0]));
        entry->crash_count--;
    }
    entry->crashes =
        g_renew(EbCrash, entry->crashes, (gsize)entry->crash_count + 1);
    entry->crashes[entry->crash_count++] = *crash;
}

/* Returns whether the crash is new, or counts for more now. */
static bool
add_crash(Entry *entry, const EbCrash *report, int64_t now_us)
{
    remove_crashes(entry, now_us - EB_SUSPECT_MEMORY_US);
    if (entry->answered_us >= report->at_us) {
        return false;
    }
    EbCrash *known = find_crash(entry, report);
    if (known == NULL) {
        append_crash(entry, report);
        return true;
    }
    bool joined = known->alone;
    known->alone = false;
    add_all(&known->set, &report->set);
    return joined;
}

static uint32_t
count_points(const Entry *entry)
{
    uint32_t points = 0;
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        points += entry->crashes[i].alone ? 1 : EB_SUSPECT_CRASH_POINTS;
    }
    return points;
}

/* Returns a random time, so that few daemons tell the same. */
static int64_t
spread(EbSuspects *suspects)
{
    int64_t max_us = suspects->daemon_count * (int64_t)SPREAD_PER_DAEMON_US;
    return (int64_t)EbRandom_Below(suspects->options.random,
                                   (uint64_t)MAX(max_us, MIN_SPREAD_US));
}

/* Schedules the report of an answer that the others may not know of. */
static void
report_answer(EbSuspects *suspects, Entry *entry, int64_t now_us)
{
    if (entry->answer_report_us == INT64_MAX) {
        entry->answer_report_us = now_us + spread(suspects);
        g_ptr_array_add(suspects->answer_reports, entry);
    }
}

static void
cancel_answer_report(EbSuspects *suspects, Entry *entry)
{
    if (entry->answer_report_us != INT64_MAX) {
        entry->answer_report_us = INT64_MAX;
        g_ptr_array_remove_fast(suspects->answer_reports, entry);
    }
}

/* Tells the others, half-way through the time for which they remember it, that
 * the suspect was answered before the crash. */
static void
announce_earlier_answer(EbSuspects *suspects, Entry *entry, int64_t now_us)
{
    if (is_within_memory(entry->answered_us, now_us) &&
        (entry->announced_us == NEVER_US ||
         entry->announced_us < now_us - EB_SUSPECT_MEMORY_US / 2)) {
        report_answer(suspects, entry, now_us);
    }
}

/* Returns when the other daemons are told of a change.
 *
 * own: the evidence is of this daemon. */
static int64_t
publish_time(EbSuspects *suspects, bool own, int64_t now_us)
{
    return own ? now_us : now_us + PUBLISH_DELAY_US + spread(suspects);
}

static void
quarantine_if_due(EbSuspects *suspects, const Entry *entry, bool own,
                  int64_t now_us)
{
    uint32_t limit = is_within_memory(entry->answered_us, now_us)
                         ? EB_SUSPECT_KNOWN_POINTS
                         : EB_SUSPECT_POINTS;
    if (count_points(entry) < limit) {
        return;
    }
    EbQuarantine_Add(suspects->options.quarantine, entry->fingerprint,
                     entry->crash_count, publish_time(suspects, own, now_us),
                     now_us);
}

static void
merge_crash(EbSuspects *suspects, const EbCrash *report, bool own,
            int64_t now_us)
{
    bool news = false;
    for (uint32_t i = 0; i < report->set.count; i++) {
        Entry *entry = get_entry(suspects, report->set.fingerprints[i]);
        if (add_crash(entry, report, now_us)) {
            news = true;
            announce_earlier_answer(suspects, entry, now_us);
            quarantine_if_due(suspects, entry, own, now_us);
        }
    }
    if (own && news) {
        g_array_append_val(suspects->crash_reports, *report);
    }
}

void
EbSuspects_RecordCrash(EbSuspects *suspects, const EbSuspectSet *set,
                       const char *server_id, bool alone, int64_t at_us,
                       int64_t now_us)
{
    EbCrash report = {.set = *set,
                      .server =
                          MAX(XXH3_64bits(server_id, strlen(server_id)), 1),
                      .alone = alone,
                      .at_us = at_us};
    EbCrashWitness_RecordBreak(suspects->witness, report.server, at_us);
    merge_crash(suspects, &report, true, now_us);
}

/* Returns whether another suspect came with the entry's one at every crash. */
static bool
always_came_with(const Entry *entry, EbFingerprint other)
{
    for (uint32_t i = 0; i < entry->crash_count; i++) {
        if (!contains(&entry->crashes[i].set, other)) {
            return false;
        }
    }
    return true;
}

/* Returns whether the request carries all quarantined suspects that came with
 * the entry's one at every crash. */
static bool
carries_companions(EbSuspects *suspects, const Entry *entry,
                   const EbSuspectSet *set, int64_t now_us)
{
    if (entry->crash_count == 0) {
        return true;
    }
    const EbSuspectSet *first = &entry->crashes[0].set;
    for (uint32_t i = 0; i < first->count; i++) {
        EbFingerprint other = first->fingerprints[i];
        if (!contains(set, other) && always_came_with(entry, other) &&
            is_quarantined(suspects, other, now_us)) {
            return false;
        }
    }
    return true;
}

bool
EbSuspects_Blocks(EbSuspects *suspects, const EbSuspectSet *set,
                  int64_t now_us)
{
    for (uint32_t i = 0; i < set->count; i++) {
        EbFingerprint fingerprint = set->fingerprints[i];
        if (!is_quarantined(suspects, fingerprint, now_us)) {
            continue;
        }
        const Entry *entry = find_entry(suspects, fingerprint);
        if (entry == NULL ||
            carries_companions(suspects, entry, set, now_us)) {
            return true;
        }
    }
    return false;
}

static void
release(EbSuspects *suspects, const Entry *entry, bool own, int64_t now_us)
{
    if (is_quarantined(suspects, entry->fingerprint, now_us)) {
        EbQuarantine_Release(suspects->options.quarantine, entry->fingerprint,
                             "answered", publish_time(suspects, own, now_us),
                             now_us);
    }
}

bool
EbSuspects_AreDoubted(EbSuspects *suspects, const EbSuspectSet *set,
                      int64_t now_us)
{
    for (uint32_t i = 0; i < set->count; i++) {
        Entry *entry = find_entry(suspects, set->fingerprints[i]);
        if (entry == NULL) {
            continue;
        }
        remove_crashes(entry, now_us - EB_SUSPECT_MEMORY_US);
        if (count_points(entry) >= EB_SUSPECT_CRASH_POINTS) {
            return true;
        }
    }
    return false;
}

void
EbSuspects_RecordAnswer(EbSuspects *suspects, EbFingerprint fingerprint,
                        bool shared, int64_t now_us)
{
    Entry *entry = shared ? get_entry(suspects, fingerprint)
                          : find_entry(suspects, fingerprint);
    if (entry == NULL) {
        return;
    }
    /* With a single crash the others are not told: they are likely to see
     * answers of their own before the next one. */
    if (entry->crash_count > 1) {
        report_answer(suspects, entry, now_us);
    }
    entry->answered_us = now_us;
    remove_crashes(entry, now_us);
    release(suspects, entry, true, now_us);
}

static void
merge_answer(EbSuspects *suspects, EbFingerprint fingerprint, int64_t at_us,
             int64_t now_us)
{
    Entry *entry = get_entry(suspects, fingerprint);
    entry->answered_us = MAX(entry->answered_us, at_us);
    entry->announced_us = MAX(entry->announced_us, at_us);
    bool doubted = entry->crash_count > 0;
    remove_crashes(entry, at_us);
    if (doubted && entry->crash_count == 0) {
        release(suspects, entry, false, now_us);
    }
    cancel_answer_report(suspects, entry);
}

void
EbSuspects_Merge(EbSuspects *suspects, const EbSuspicion *suspicion,
                 int64_t now_us)
{
    if (suspicion->ago_us >= (uint64_t)EB_SUSPECT_MEMORY_US) {
        return;
    }
    int64_t at_us = now_us - (int64_t)suspicion->ago_us;
    if (suspicion->server != 0) {
        EbCrash report = {suspicion->set, suspicion->server, suspicion->alone,
                          at_us};
        merge_crash(suspects, &report, false, now_us);
        if (report.alone) {
            EbCrashWitness_AddReport(suspects->witness, &report,
                                     now_us + WITNESS_DELAY_US +
                                         spread(suspects));
        }
        return;
    }
    for (uint32_t i = 0; i < suspicion->set.count; i++) {
        merge_answer(suspects, suspicion->set.fingerprints[i], at_us, now_us);
    }
}

static bool
next_answer(EbSuspects *suspects, EbSuspicion *suspicion, int64_t now_us)
{
    for (guint i = 0; i < suspects->answer_reports->len; i++) {
        Entry *entry = g_ptr_array_index(suspects->answer_reports, i);
        if (entry->answer_report_us <= now_us) {
            cancel_answer_report(suspects, entry);
            entry->announced_us = entry->answered_us;
            *suspicion = (EbSuspicion){
                .set = {{entry->fingerprint}, 1},
                .ago_us = (uint64_t)MAX(now_us - entry->answered_us, 0)};
            return true;
        }
    }
    return false;
}

/* Reports crashes again that another daemon saw as a call that broke alone and
 * this one saw too. */
static void
confirm_crashes(EbSuspects *suspects, int64_t now_us)
{
    EbCrash crash;
    while (EbCrashWitness_Next(suspects->witness, &crash, now_us)) {
        crash.alone = false;
        merge_crash(suspects, &crash, true, now_us);
    }
}

bool
EbSuspects_NextReport(EbSuspects *suspects, EbSuspicion *suspicion,
                      int64_t now_us)
{
    confirm_crashes(suspects, now_us);
    guint count = suspects->crash_reports->len;
    if (count == 0) {
        return next_answer(suspects, suspicion, now_us);
    }
    const EbCrash *report =
        &g_array_index(suspects->crash_reports, EbCrash, count - 1);
    *suspicion =
        (EbSuspicion){.set = report->set,
                      .server = report->server,
                      .alone = report->alone,
                      .ago_us = (uint64_t)MAX(now_us - report->at_us, 0)};
    g_array_set_size(suspects->crash_reports, count - 1);
    return true;
}

int64_t
EbSuspects_NextTimer(const EbSuspects *suspects)
{
    int64_t next_us = suspects->crash_reports->len > 0
                          ? 0
                          : EbCrashWitness_NextTimer(suspects->witness);
    for (guint i = 0; i < suspects->answer_reports->len; i++) {
        const Entry *entry = g_ptr_array_index(suspects->answer_reports, i);
        next_us = MIN(next_us, entry->answer_report_us);
    }
    return next_us;
}
