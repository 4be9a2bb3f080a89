/* What the daemons and the store are told of quarantined fingerprints, and
 * what is learned of them from the store. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "daemon_internal.h"

#define ENTRY_NAME_BYTES 17 /* 16 hex digits and the terminator */
/* The clocks of instances differ, so an expired entry is kept for this time
 * before any daemon deletes it. */
#define EXPIRED_RETENTION_US 60000000
/* Pause before a write of a quarantine entry that got no response is repeated,
 * and how often that is done. */
#define WRITE_RETRY_US 1000000
#define MAX_WRITE_RETRIES 60
/* Evidence that one message carries; the rest follows in the next one. */
#define MAX_SUSPICIONS 64
/* Entries that are compared with a list; more are not expected. */
#define MAX_RESTORED_ENTRIES 256

static void
ignore_reply(void *context, const EbStoreReply *reply)
{
    (void)context;
    (void)reply;
}

/* A quarantine entry that has to be stored or deleted. */
typedef struct {
    EbDaemon *daemon;
    char name[ENTRY_NAME_BYTES];
    json_t *value;    /* NULL: delete the object */
    bool superseded;  /* by a later change of the entry */
    int64_t retry_us; /* INT64_MAX while a call runs */
    uint32_t retries;
} QuarantineWrite;

static void
finish_write(QuarantineWrite *write)
{
    g_ptr_array_remove_fast(write->daemon->quarantine_writes, write);
}

/* Retries a write whose call got no response, since daemons that start later
 * depend on it. */
static void
retry_or_finish_write(QuarantineWrite *write)
{
    if (write->superseded || ++write->retries > MAX_WRITE_RETRIES) {
        finish_write(write);
        return;
    }
    write->retry_us = EbClock_Monotonic() + WRITE_RETRY_US;
    EbDaemon_ScheduleActions(write->daemon);
}

static bool
has_response(const EbStoreReply *reply)
{
    return reply->status != EB_STORE_UNAVAILABLE &&
           reply->status != EB_STORE_LOST;
}

static void
on_entry_written(void *context, const EbStoreReply *reply)
{
    QuarantineWrite *write = context;
    if (has_response(reply)) {
        finish_write(write);
    }
    else {
        retry_or_finish_write(write);
    }
}

static void
on_entry_read(void *context, const EbStoreReply *reply)
{
    QuarantineWrite *write = context;
    bool found = reply->status == EB_STORE_OK;
    if (!has_response(reply)) {
        retry_or_finish_write(write);
    }
    else if (write->superseded || (write->value == NULL && !found)) {
        finish_write(write);
    }
    else if (write->value == NULL) {
        EbDaemon_CallStore(write->daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND,
                           write->name, reply->version, NULL, on_entry_written,
                           write);
    }
    else {
        /* An earlier quarantine of the fingerprint may still be stored. */
        EbDaemon_CallStore(
            write->daemon, found ? EB_STORE_UPDATE : EB_STORE_CREATE,
            EB_QUARANTINE_KIND, write->name, found ? reply->version : 0,
            write->value, on_entry_written, write);
    }
}

static void
start_write(QuarantineWrite *write)
{
    write->retry_us = INT64_MAX;
    EbDaemon_CallStore(write->daemon, EB_STORE_GET, EB_QUARANTINE_KIND,
                       write->name, 0, NULL, on_entry_read, write);
}

void
EbDaemon_FreeQuarantineWrite(void *pointer)
{
    QuarantineWrite *write = pointer;
    json_decref(write->value);
    g_free(write);
}

void
EbDaemon_RetryQuarantineWrites(EbDaemon *daemon, int64_t now_us)
{
    for (guint i = 0; i < daemon->quarantine_writes->len; i++) {
        QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i);
        if (write->retry_us <= now_us) {
            start_write(write);
        }
    }
}

int64_t
EbDaemon_NextQuarantineWrite(const EbDaemon *daemon)
{
    int64_t next_us = INT64_MAX;
    for (guint i = 0; i < daemon->quarantine_writes->len; i++) {
        const QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i);
        next_us = MIN(next_us, write->retry_us);
    }
    return next_us;
}

/* Ends the earlier writes of an entry, unless a call of theirs runs. */
static void
supersede_writes(EbDaemon *daemon, const char *name)
{
    for (guint i = daemon->quarantine_writes->len; i > 0; i--) {
        QuarantineWrite *write =
            g_ptr_array_index(daemon->quarantine_writes, i - 1);
        if (strcmp(write->name, name) != 0) {
            continue;
        }
        write->superseded = true;
        if (write->retry_us != INT64_MAX) {
            finish_write(write);
        }
    }
}

/* Stores a quarantined fingerprint or deletes a released one. Running daemons
 * learn of the change from the peers' messages; only daemons that start later
 * depend on the objects. */
static void
store_quarantine_entry(EbDaemon *daemon, const EbQuarantineEntry *entry)
{
    if (entry->state == EB_FINGERPRINT_SUSPECTED) {
        return;
    }
    QuarantineWrite *write = g_new0(QuarantineWrite, 1);
    write->daemon = daemon;
    snprintf(write->name, sizeof(write->name), "%016" PRIx64,
             entry->fingerprint);
    supersede_writes(daemon, write->name);
    g_ptr_array_add(daemon->quarantine_writes, write);
    if (entry->state == EB_FINGERPRINT_QUARANTINED) {
        int64_t until_us = EbClock_Wall() + entry->remaining_us;
        write->value =
            json_pack("{s:I, s:I}", "points", (json_int_t)entry->crashes,
                      "until_wall_us", (json_int_t)until_us);
    }
    start_write(write);
}

/* Returns whether this daemon is the one that stores entries again. */
static bool
is_first_daemon(const EbDaemon *daemon)
{
    const char *first = NULL;
    return EbMembership_LiveInstances(daemon->membership, &first, 1) > 0 &&
           strcmp(first, daemon->settings->instance) == 0;
}

static bool
is_listed(const json_t *items, const char *name)
{
    size_t index;
    const json_t *item;
    json_array_foreach(items, index, item)
    {
        if (strcmp(EbDaemon_GetString(item, "name"), name) == 0) {
            return true;
        }
    }
    return false;
}

/* Stores the entries in force that the list lacks after the store returned
 * from an older copy. One daemon does so for all. */
static void
store_missing_entries(EbDaemon *daemon, const json_t *items, int64_t now_us)
{
    if (!daemon->quarantine_outdated) {
        return;
    }
    daemon->quarantine_outdated = false;
    if (!is_first_daemon(daemon)) {
        return;
    }
    EbQuarantineEntry entries[MAX_RESTORED_ENTRIES];
    size_t count = EbQuarantine_List(daemon->quarantine, entries,
                                     MAX_RESTORED_ENTRIES, now_us);
    for (size_t i = 0; i < MIN(count, MAX_RESTORED_ENTRIES); i++) {
        char name[ENTRY_NAME_BYTES];
        snprintf(name, sizeof(name), "%016" PRIx64, entries[i].fingerprint);
        if (entries[i].state == EB_FINGERPRINT_QUARANTINED &&
            !is_listed(items, name)) {
            store_quarantine_entry(daemon, &entries[i]);
        }
    }
}

/* Stored entries give the end of their quarantine as wall clock time, because
 * the monotonic clocks of instances are unrelated. */
void
EbDaemon_HandleQuarantineList(EbDaemon *daemon, json_t *items)
{
    int64_t now_us = EbClock_Monotonic();
    int64_t wall_us = EbClock_Wall();
    size_t index;
    json_t *item;
    json_array_foreach(items, index, item)
    {
        const char *name = EbDaemon_GetString(item, "name");
        const json_t *value = json_object_get(item, "value");
        EbQuarantineEntry entry = {
            .fingerprint = g_ascii_strtoull(name, NULL, 16),
            .crashes =
                (uint32_t)json_integer_value(json_object_get(value, "points")),
            .state = EB_FINGERPRINT_QUARANTINED,
            .remaining_us =
                json_integer_value(json_object_get(value, "until_wall_us")) -
                wall_us};
        if (entry.remaining_us > 0) {
            EbQuarantine_Merge(daemon->quarantine, &entry, now_us);
        }
        else if (entry.remaining_us < -EXPIRED_RETENTION_US) {
            uint64_t version =
                (uint64_t)json_integer_value(json_object_get(item, "version"));
            EbDaemon_CallStore(daemon, EB_STORE_DELETE, EB_QUARANTINE_KIND,
                               name, version, NULL, ignore_reply, NULL);
        }
    }
    store_missing_entries(daemon, items, now_us);
}

void
EbDaemon_PublishSuspicions(EbDaemon *daemon, int64_t now_us)
{
    EbSuspicion suspicions[MAX_SUSPICIONS];
    uint32_t count = 0;
    while (
        count < MAX_SUSPICIONS &&
        EbSuspects_NextReport(daemon->suspects, &suspicions[count], now_us)) {
        count++;
    }
    if (count > 0) {
        EbMessage message = {.kind = EB_MESSAGE_SUSPICIONS,
                             .suspicions = suspicions,
                             .suspicion_count = count};
        EbMembership_Flood(daemon->membership, &message, now_us);
    }
}

void
EbDaemon_PublishQuarantine(EbDaemon *daemon, int64_t now_us)
{
    EbQuarantineEntry entry;
    while (EbQuarantine_NextChange(daemon->quarantine, &entry, now_us)) {
        EbMessage message = {.kind = EB_MESSAGE_QUARANTINE,
                             .entries = &entry,
                             .entry_count = 1};
        EbMembership_Flood(daemon->membership, &message, now_us);
        store_quarantine_entry(daemon, &entry);
    }
}
