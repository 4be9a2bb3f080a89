/* Tests of the quarantine for requests that crash backend servers. */
#include <string.h>

#include "ebonyhollow/quarantine.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SECOND_US 1000000LL

static EbQuarantine *
new_quarantine(uint32_t max_entries)
{
    return EbQuarantine_New(
        &(EbQuarantineOptions){.max_entries = max_entries});
}

/* Guards against requests of different customers, pipelines or bodies that get
 * the same fingerprint, also when only the boundaries between the parts
 * differ. */
static void
test_fingerprint(void)
{
    EbFingerprint base = EbQuarantine_Fingerprint("ab", "cd", "ef", 2);
    CU_ASSERT_EQUAL(base, EbQuarantine_Fingerprint("ab", "cd", "efg", 2));
    CU_ASSERT_NOT_EQUAL(base, EbQuarantine_Fingerprint("abc", "d", "ef", 2));
    CU_ASSERT_NOT_EQUAL(base, EbQuarantine_Fingerprint("ab", "c", "def", 3));
    CU_ASSERT_NOT_EQUAL(base, EbQuarantine_Fingerprint("ab", "cd", "eg", 2));
    CU_ASSERT_NOT_EQUAL(base, EbQuarantine_Fingerprint("ab", "cd", "", 0));
}

/* Guards against a request that crashes more than three servers, and against
 * the quarantine of a request that was twice on a server which another
 * daemon's request crashed. Steps: `c` crash, `+` success, `w` wait until
 * suspicions have expired. */
static void
test_crashes(void)
{
    static const struct {
        const char *steps;
        EbFingerprintState expected;
    } rows[] = {
        {"c", EB_FINGERPRINT_SUSPECTED},
        {"cc", EB_FINGERPRINT_SUSPECTED},
        {"ccc", EB_FINGERPRINT_QUARANTINED},
        {"c+", EB_FINGERPRINT_CLEAR},
        {"cc+", EB_FINGERPRINT_CLEAR},
        {"cc+cc", EB_FINGERPRINT_SUSPECTED},
        {"cc+ccc", EB_FINGERPRINT_QUARANTINED},
        {"cw", EB_FINGERPRINT_CLEAR},
        {"ccwcc", EB_FINGERPRINT_SUSPECTED},
        {"ccc+", EB_FINGERPRINT_QUARANTINED},
        {"cccw", EB_FINGERPRINT_QUARANTINED},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbQuarantine *quarantine = new_quarantine(0);
        int64_t now_us = 5;
        for (const char *step = rows[i].steps; *step != '\0'; step++) {
            if (*step == '+') {
                EbQuarantine_RecordSuccess(quarantine, 7, now_us);
            }
            else if (*step == 'w') {
                now_us += EB_SUSPICION_DURATION_US;
            }
            else {
                EbQuarantine_RecordCrash(quarantine, 7, now_us);
            }
        }
        CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 7, now_us),
                        rows[i].expected);
        CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 8, now_us),
                        EB_FINGERPRINT_CLEAR);
        EbQuarantine_Free(quarantine);
    }
}

/* Guards against a quarantine that never ends. */
static void
test_expiry(void)
{
    EbQuarantine *quarantine = new_quarantine(0);
    for (int64_t at_us = 8; at_us <= 10; at_us++) {
        EbQuarantine_RecordCrash(quarantine, 7, at_us);
    }
    CU_ASSERT_EQUAL(
        EbQuarantine_State(quarantine, 7, 9 + EB_QUARANTINE_DURATION_US),
        EB_FINGERPRINT_QUARANTINED);
    CU_ASSERT_EQUAL(
        EbQuarantine_State(quarantine, 7, 10 + EB_QUARANTINE_DURATION_US),
        EB_FINGERPRINT_CLEAR);
    EbQuarantine_Free(quarantine);
}

/* Guards against a peer's entry that weakens a stronger one, lasts longer than
 * the limits, or is sent on to the peers again. */
static void
test_merge(void)
{
    EbQuarantine *quarantine = new_quarantine(0);
    EbQuarantineEntry entry = {7, 2, EB_FINGERPRINT_SUSPECTED, INT64_MAX};
    CU_ASSERT_TRUE(EbQuarantine_Merge(quarantine, &entry, 0));
    CU_ASSERT_FALSE(EbQuarantine_Merge(quarantine, &entry, 0));
    EbQuarantineEntry change;
    CU_ASSERT_FALSE(EbQuarantine_NextChange(quarantine, &change, 0));
    CU_ASSERT_EQUAL(EbQuarantine_RecordCrash(quarantine, 7, 0),
                    EB_FINGERPRINT_QUARANTINED);
    CU_ASSERT_FALSE(EbQuarantine_Merge(quarantine, &entry, 0));
    CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 7, SECOND_US),
                    EB_FINGERPRINT_QUARANTINED);
    entry = (EbQuarantineEntry){8, 9, EB_FINGERPRINT_SUSPECTED, INT64_MAX};
    CU_ASSERT_TRUE(EbQuarantine_Merge(quarantine, &entry, 0));
    CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 8, 0),
                    EB_FINGERPRINT_QUARANTINED);
    CU_ASSERT_EQUAL(
        EbQuarantine_State(quarantine, 8, EB_QUARANTINE_DURATION_US),
        EB_FINGERPRINT_CLEAR);
    entry.remaining_us = 0;
    CU_ASSERT_FALSE(EbQuarantine_Merge(quarantine, &entry, 0));
    EbQuarantine_Free(quarantine);
}

/* Guards against changes that are not passed to the other daemons, among them
 * a release by an operator. */
static void
test_changes(void)
{
    EbQuarantine *here = new_quarantine(0), *there = new_quarantine(0);
    for (int i = 0; i < EB_QUARANTINE_CRASHES; i++) {
        EbQuarantine_RecordCrash(here, 7, 0);
    }
    EbQuarantineEntry change;
    CU_ASSERT_TRUE_FATAL(EbQuarantine_NextChange(here, &change, SECOND_US));
    CU_ASSERT_EQUAL(change.crashes, 3);
    CU_ASSERT_EQUAL(change.remaining_us,
                    EB_QUARANTINE_DURATION_US - SECOND_US);
    CU_ASSERT_FALSE(EbQuarantine_NextChange(here, &change, SECOND_US));
    CU_ASSERT_TRUE(EbQuarantine_Merge(there, &change, 0));
    CU_ASSERT_EQUAL(EbQuarantine_State(there, 7, 0),
                    EB_FINGERPRINT_QUARANTINED);
    CU_ASSERT_TRUE(
        EbQuarantine_Release(here, 7, "operator", SECOND_US, SECOND_US));
    CU_ASSERT_FALSE(
        EbQuarantine_Release(here, 7, "operator", SECOND_US, SECOND_US));
    CU_ASSERT_EQUAL(EbQuarantine_List(here, &change, 1, SECOND_US), 0);
    CU_ASSERT_TRUE_FATAL(EbQuarantine_NextChange(here, &change, SECOND_US));
    CU_ASSERT_TRUE(EbQuarantine_Merge(there, &change, 0));
    CU_ASSERT_EQUAL(EbQuarantine_State(there, 7, 0), EB_FINGERPRINT_CLEAR);
    CU_ASSERT_FALSE(EbQuarantine_NextChange(here, &change, SECOND_US));
    EbQuarantine_Free(here);
    EbQuarantine_Free(there);
}

/* Guards against a release that is lost since an entry which was sent before
 * it arrives after it. */
static void
test_release_before_older_entry(void)
{
    EbQuarantine *here = new_quarantine(0);
    EbQuarantineEntry older = {7, EB_QUARANTINE_CRASHES,
                               EB_FINGERPRINT_QUARANTINED,
                               EB_QUARANTINE_DURATION_US};
    CU_ASSERT_TRUE(EbQuarantine_Merge(here, &older, 0));
    CU_ASSERT_TRUE(EbQuarantine_Release(here, 7, "answered", SECOND_US, 0));
    CU_ASSERT_FALSE(EbQuarantine_Merge(here, &older, 0));
    CU_ASSERT_EQUAL(EbQuarantine_State(here, 7, 0), EB_FINGERPRINT_CLEAR);
    EbQuarantineEntry change;
    CU_ASSERT_FALSE(EbQuarantine_NextChange(here, &change, SECOND_US - 1));
    CU_ASSERT_TRUE_FATAL(EbQuarantine_NextChange(here, &change, SECOND_US));
    CU_ASSERT_EQUAL(change.state, EB_FINGERPRINT_CLEAR);
    CU_ASSERT_TRUE(EbQuarantine_Merge(here, &older, SECOND_US));
    EbQuarantine_Free(here);
}

/* Guards against unbounded memory, and against many suspicions that evict
 * quarantined fingerprints. */
static void
test_bounded(void)
{
    enum { MAX = 16 };
    EbQuarantine *quarantine = new_quarantine(MAX);
    for (int i = 0; i < EB_QUARANTINE_CRASHES; i++) {
        EbQuarantine_RecordCrash(quarantine, 1, 0);
    }
    for (EbFingerprint i = 2; i < 100; i++) {
        EbQuarantine_RecordCrash(quarantine, i, (int64_t)i);
    }
    EbQuarantineEntry entries[100], change;
    CU_ASSERT_EQUAL(EbQuarantine_List(quarantine, entries, 100, 100), MAX);
    CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 1, 100),
                    EB_FINGERPRINT_QUARANTINED);
    CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 2, 100),
                    EB_FINGERPRINT_CLEAR);
    CU_ASSERT_EQUAL(EbQuarantine_State(quarantine, 99, 100),
                    EB_FINGERPRINT_SUSPECTED);
    for (int i = 0; i < MAX; i++) {
        CU_ASSERT_TRUE(EbQuarantine_NextChange(quarantine, &change, 100));
    }
    CU_ASSERT_FALSE(EbQuarantine_NextChange(quarantine, &change, 100));
    EbQuarantine_Free(quarantine);
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"fingerprint", test_fingerprint},
        {"crashes", test_crashes},
        {"expiry", test_expiry},
        {"merge", test_merge},
        {"changes", test_changes},
        {"release before an older entry", test_release_before_older_entry},
        {"bounded", test_bounded},
    };
    return EbTest_Run("test_quarantine", cases, TABLE_COUNT(cases));
}
