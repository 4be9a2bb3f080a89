#include "crash_witness.h"

#include <stdlib.h>

#include <glib.h>

/* The oldest goes first when there are more. */
#define MAX_BREAKS 256
#define MAX_REPORTS 256

typedef struct {
    uint64_t server;
    int64_t at_us;
} Break;

typedef struct {
    EbCrash crash;
    int64_t due_us;
} Report;

struct EbCrashWitness {
    GArray *breaks;  /* of Break, oldest first */
    GArray *reports; /* of Report, in order of arrival */
};

EbCrashWitness *
EbCrashWitness_New(void)
{
    EbCrashWitness *witness = g_new0(EbCrashWitness, 1);
    witness->breaks = g_array_new(FALSE, FALSE, sizeof(Break));
    witness->reports = g_array_new(FALSE, FALSE, sizeof(Report));
    return witness;
}

void
EbCrashWitness_Free(EbCrashWitness *witness)
{
    g_array_free(witness->breaks, TRUE);
    g_array_free(witness->reports, TRUE);
    g_free(witness);
}

static void
make_room(GArray *array, guint max)
{
    if (array->len == max) {
        g_array_remove_index(array, 0);
    }
}

void
EbCrashWitness_RecordBreak(EbCrashWitness *witness, uint64_t server,
                           int64_t at_us)
{
    make_room(witness->breaks, MAX_BREAKS);
    Break broken = {server, at_us};
    g_array_append_val(witness->breaks, broken);
}

void
EbCrashWitness_AddReport(EbCrashWitness *witness, const EbCrash *report,
                         int64_t due_us)
{
    make_room(witness->reports, MAX_REPORTS);
    Report added = {.crash = *report, .due_us = due_us};
    g_array_append_val(witness->reports, added);
}

static bool
has_seen(const EbCrashWitness *witness, const EbCrash *crash)
{
    for (guint i = 0; i < witness->breaks->len; i++) {
        const Break *broken = &g_array_index(witness->breaks, Break, i);
        if (broken->server == crash->server &&
            llabs(broken->at_us - crash->at_us) < EB_SUSPECT_SPACING_US) {
            return true;
        }
    }
    return false;
}

bool
EbCrashWitness_Next(EbCrashWitness *witness, EbCrash *crash, int64_t now_us)
{
    for (guint i = 0; i < witness->reports->len;) {
        const Report *report = &g_array_index(witness->reports, Report, i);
        if (report->due_us > now_us) {
            i++;
            continue;
        }
        *crash = report->crash;
        g_array_remove_index(witness->reports, i);
        if (has_seen(witness, crash)) {
            return true;
        }
    }
    return false;
}

int64_t
EbCrashWitness_NextTimer(const EbCrashWitness *witness)
{
    int64_t next_us = INT64_MAX;
    for (guint i = 0; i < witness->reports->len; i++) {
        next_us =
            MIN(next_us, g_array_index(witness->reports, Report, i).due_us);
    }
    return next_us;
}
