/* Tests of EbStoreFeed: how changes of the store reach daemons that don't
 * watch it. With --seeds FIRST COUNT [evacuations] the program plays random
 * sequences of faults by hand. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "fleet.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
/* The strictest bound of a deployment within which a change must be in force.
 */
#define BOUND_US INT64_C(2000000)
#define SECOND_US INT64_C(1000000)
#define SEEDS_IN_CI 300
#define SEEDS_WITH_EVACUATIONS 150
#define ERA 3 /* of the store in tests with a single feed */

static void
write_some(uint32_t changes)
{
    for (uint32_t i = 0; i < changes; i++) {
        Fleet_Write((EbFeedStream)EbRandom_Below(&fleet.random, fleet.streams),
                    (uint32_t)EbRandom_Below(&fleet.random, FLEET_OBJECTS),
                    (uint32_t)EbRandom_Below(&fleet.random, 4));
    }
}

/* Guards against a change that costs each daemon a call to the store: 20
 * daemons with 3 sources, one change a second for 30 s. Three sources make two
 * calls for each change and stream; the other 17 make none after they listed
 * both streams. */
static void
test_calls(void)
{
    Fleet_Start(20, 3, 1);
    Fleet_Run(3 * SECOND_US, BOUND_US);
    uint64_t before = fleet.reads;
    for (int i = 0; i < 30; i++) {
        write_some(1);
        Fleet_Run(SECOND_US, BOUND_US);
    }
    CU_ASSERT_TRUE(Fleet_IsCurrent());
    CU_ASSERT_EQUAL(fleet.violations, 0);
    CU_ASSERT_TRUE(before <= 64); /* 20 * 2 lists, 3 * 2 * 4 polls */
    CU_ASSERT_TRUE(fleet.reads - before <= 360); /* 3 * 2 * 2 a second */
    Fleet_Stop();
}

typedef enum {
    FAULT_NONE,
    FAULT_SOURCES_KILLED,
    FAULT_SOURCES_PAUSED,
    FAULT_SOURCES_CUT_FROM_STORE,
    FAULT_SOURCES_SILENTLY_CUT,
    FAULT_SOURCES_CUT_FROM_PEERS,
    FAULT_HISTORY_LOST,
    FAULT_STORE_DOWN
} Fault;

static void
apply_fault(Fault fault, uint32_t sources)
{
    if (fault == FAULT_HISTORY_LOST) {
        Fleet_Compact();
    }
    if (fault == FAULT_STORE_DOWN) {
        Fleet_SetStoreUp(false);
    }
    for (uint32_t i = 0; i < sources; i++) {
        switch (fault) {
        case FAULT_SOURCES_KILLED:
            Fleet_KillDaemon(i);
            break;
        case FAULT_SOURCES_PAUSED:
            fleet.daemons[i].paused_until_us = fleet.now_us + 20 * SECOND_US;
            break;
        case FAULT_SOURCES_CUT_FROM_STORE:
            Fleet_ReachStore(i, false);
            fleet.daemons[i].cut_silently = false;
            break;
        case FAULT_SOURCES_SILENTLY_CUT:
            Fleet_ReachStore(i, false);
            fleet.daemons[i].cut_silently = true;
            break;
        case FAULT_SOURCES_CUT_FROM_PEERS:
            Fleet_Move(i, 1);
            break;
        default:
            break;
        }
    }
}

/* Guards against a daemon that stays behind when the source that it asks, or
 * all of them, die, pause, or lose the store or their peers: each change must
 * be known within the bound at every daemon that runs and reaches the store.
 */
static void
test_lost_sources(void)
{
    static const struct {
        Fault fault;
        uint32_t sources; /* that have the fault, of 6 */
    } rows[] = {
        {FAULT_NONE, 0},
        {FAULT_SOURCES_KILLED, 1},
        {FAULT_SOURCES_KILLED, 6},
        {FAULT_SOURCES_PAUSED, 1},
        {FAULT_SOURCES_PAUSED, 6},
        {FAULT_SOURCES_CUT_FROM_STORE, 1},
        {FAULT_SOURCES_CUT_FROM_STORE, 5},
        {FAULT_SOURCES_SILENTLY_CUT, 1},
        {FAULT_SOURCES_SILENTLY_CUT, 6},
        {FAULT_SOURCES_CUT_FROM_PEERS, 1},
        {FAULT_SOURCES_CUT_FROM_PEERS, 6},
        {FAULT_HISTORY_LOST, 0},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fleet_Start(20, 6, i + 1);
        write_some(5);
        Fleet_Run(4 * SECOND_US, BOUND_US);
        apply_fault(rows[i].fault, rows[i].sources);
        for (int change = 0; change < 40; change++) {
            write_some(1);
            Fleet_Run(SECOND_US / 4, BOUND_US);
        }
        CU_ASSERT_EQUAL(fleet.violations, 0);
        if (fleet.violations > 0) {
            printf("row %zu\n", i);
        }
        Fleet_Stop();
    }
}

/* Guards against daemons that all call a store that is down: while it is, the
 * daemons that are no sources may make a few calls in 10 s each, and they must
 * know of a change soon after it returned. */
static void
test_store_down(void)
{
    static const struct {
        uint32_t sources;
        uint32_t calls_of_another; /* in 10 s */
    } rows[] = {{3, 12}, {8, 6}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fleet_Start(20, rows[i].sources, 7);
        Fleet_Run(4 * SECOND_US, BOUND_US);
        apply_fault(FAULT_STORE_DOWN, 0);
        Fleet_Run(SECOND_US, BOUND_US);
        uint64_t before = fleet.reads;
        Fleet_Run(10 * SECOND_US, BOUND_US);
        uint64_t of_sources =
            (uint64_t)rows[i].sources * EB_FEED_FIRST_STREAMS * 50;
        uint64_t of_others =
            (uint64_t)(20 - rows[i].sources) * rows[i].calls_of_another;
        CU_ASSERT_TRUE(fleet.reads - before <= of_sources + of_others);
        Fleet_SetStoreUp(true);
        write_some(3);
        Fleet_Run(FLEET_CONTACT_US, BOUND_US);
        CU_ASSERT_TRUE(Fleet_IsCurrent());
        CU_ASSERT_EQUAL(fleet.violations, 0);
        Fleet_Stop();
    }
}

/* Guards against a change that is too large for a message and does not reach
 * daemons that pause their own reads, since all sources had failed before. */
static void
test_large_change_after_outage(void)
{
    Fleet_Start(20, 8, 9);
    Fleet_Run(4 * SECOND_US, BOUND_US);
    Fleet_SetStoreUp(false);
    Fleet_Run(5 * SECOND_US, BOUND_US);
    Fleet_SetStoreUp(true);
    fleet.padding_bytes = 70000;
    write_some(4);
    Fleet_Run(FLEET_CONTACT_US, BOUND_US);
    CU_ASSERT_TRUE(Fleet_IsCurrent());
    CU_ASSERT_EQUAL(fleet.violations, 0);
    Fleet_Stop();
}

/* Guards against a daemon that is useless when it restarts while the store is
 * down, and against objects that were removed before and return with it: it
 * must take over what a source or another daemon knows, in a full mesh too. */
static void
test_start_in_outage(void)
{
    static const struct {
        uint32_t sources;
        uint32_t restarted; /* daemons, from the first */
    } rows[] = {{3, 1}, {3, 3}, {3, 10}, {20, 1}, {20, 19}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fleet_Start(20, rows[i].sources, i + 1);
        write_some(20);
        Fleet_Run(3 * SECOND_US, BOUND_US);
        for (uint32_t object = 0; object < FLEET_OBJECTS / 2; object++) {
            Fleet_Write(EB_FEED_CONFIG, object, 0);
        }
        Fleet_Run(SECOND_US, BOUND_US);
        Fleet_SetStoreUp(false);
        Fleet_Run(SECOND_US, BOUND_US);
        for (uint32_t index = 0; index < rows[i].restarted; index++) {
            Fleet_KillDaemon(index);
            Fleet_StartDaemon(index);
        }
        Fleet_Run(3 * SECOND_US, BOUND_US);
        bool current = Fleet_IsCurrent();
        CU_ASSERT_TRUE(current);
        CU_ASSERT_EQUAL(fleet.violations, 0);
        if (!current) {
            printf("row %zu\n", i);
        }
        Fleet_Stop();
    }
}

static void
random_fault(void)
{
    uint32_t index = (uint32_t)EbRandom_Below(&fleet.random, fleet.count);
    switch (EbRandom_Below(&fleet.random, 11)) {
    case 0:
        Fleet_KillDaemon(index);
        break;
    case 1:
        Fleet_StartDaemon(index);
        break;
    case 2:
        Fleet_ReachStore(index, false);
        break;
    case 3:
        for (uint32_t i = 0; i < fleet.count; i++) {
            Fleet_ReachStore(i, true);
        }
        break;
    case 4:
        Fleet_Move(index, 1);
        break;
    case 5:
        for (uint32_t i = 0; i < fleet.count; i++) {
            Fleet_Move(i, 0);
        }
        break;
    case 6:
        fleet.daemons[index].paused_until_us =
            fleet.now_us +
            (int64_t)EbRandom_Below(&fleet.random, 6 * SECOND_US);
        break;
    case 7:
        Fleet_Compact();
        break;
    case 8:
        Fleet_SetStoreUp(!fleet.store_up);
        break;
    case 9:
        Fleet_Restore(EbRandom_Below(&fleet.random, 30));
        break;
    default:
        for (uint32_t i = 0; i < fleet.count; i += 2) {
            Fleet_KillDaemon(i);
        }
        break;
    }
}

/* Plays 20 s of random faults and changes, then 6 s of calm. Returns the
 * number of violations. */
static uint32_t
play_faults(void)
{
    Fleet_Run(SECOND_US, BOUND_US);
    for (int i = 0; i < 60; i++) {
        write_some((uint32_t)EbRandom_Below(&fleet.random, 4));
        if (EbRandom_Below(&fleet.random, 3) == 0) {
            random_fault();
        }
        Fleet_Run((int64_t)EbRandom_Below(&fleet.random, 700000), BOUND_US);
    }
    Fleet_SetStoreUp(true);
    for (uint32_t i = 0; i < fleet.count; i++) {
        Fleet_ReachStore(i, true);
        Fleet_Move(i, 0);
        Fleet_StartDaemon(i);
        fleet.daemons[i].paused_until_us = fleet.now_us;
    }
    Fleet_Run(6 * SECOND_US, BOUND_US);
    uint32_t violations = fleet.violations + !Fleet_IsCurrent();
    Fleet_Stop();
    return violations;
}

/* Plays a deployment without evacuations, or with them, where daemons of an
 * earlier version run beside the others in every second one. */
static uint32_t
play_seed(uint64_t seed, bool evacuations)
{
    uint32_t sources = 1 + (uint32_t)(seed % 5);
    if (evacuations) {
        Fleet_StartMixed(18, sources, seed % 2 == 0 ? 5 : 0, seed);
    }
    else {
        Fleet_Start(18, sources, seed);
    }
    return play_faults();
}

static uint32_t
play_seeds(uint64_t first, uint64_t count, bool evacuations)
{
    uint32_t violations = 0;
    for (uint64_t seed = first; seed < first + count; seed++) {
        uint32_t found = play_seed(seed, evacuations);
        if (found > 0) {
            printf("seed %u: %u violations\n", (unsigned)seed, found);
        }
        violations += found;
    }
    return violations;
}

/* Guards against a removed object that returns, a state that mixes revisions
 * and changes that come too late, over random orders of relays, losses,
 * restarts, splits, outages, lost histories and stores that return from older
 * copies. */
static void
test_random_faults(void)
{
    CU_ASSERT_EQUAL(play_seeds(1, SEEDS_IN_CI, false), 0);
}

/* Guards against the same for a third stream, also while an upgrade has
 * reached only some of the daemons. */
static void
test_random_faults_with_evacuations(void)
{
    CU_ASSERT_EQUAL(play_seeds(1, SEEDS_WITH_EVACUATIONS, true), 0);
}

/* Guards against an evacuation that is not in force within the bound at a
 * daemon that started while the store was down, or whose sources are all of an
 * earlier version, and against a stream that is sent to a daemon which refuses
 * the message. */
static void
test_evacuations(void)
{
    static const struct {
        uint32_t sources;
        uint32_t earlier; /* daemons of an earlier version, from the first */
        bool restart_in_outage;
    } rows[] = {{3, 0, false}, {3, 0, true},  {20, 0, true}, {3, 2, false},
                {3, 3, false}, {3, 10, true}, {20, 5, true}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fleet_StartMixed(20, rows[i].sources, rows[i].earlier, i + 1);
        write_some(10);
        Fleet_Run(4 * SECOND_US, BOUND_US);
        Fleet_Write(EB_FEED_EVACUATIONS, 1, 1);
        Fleet_Write(EB_FEED_EVACUATIONS, 2, 0);
        Fleet_Run(SECOND_US, SECOND_US);
        CU_ASSERT_TRUE(Fleet_IsCurrent());
        if (rows[i].restart_in_outage) {
            Fleet_SetStoreUp(false);
            Fleet_Run(SECOND_US, BOUND_US);
            Fleet_KillDaemon(12);
            Fleet_StartDaemon(12);
            Fleet_Run(3 * SECOND_US, BOUND_US);
            CU_ASSERT_TRUE(Fleet_IsCurrent());
        }
        CU_ASSERT_EQUAL(fleet.violations, 0);
        if (fleet.violations > 0 || !Fleet_IsCurrent()) {
            printf("row %zu\n", i);
        }
        Fleet_Stop();
    }
}

typedef struct {
    EbMessage sent[8]; /* texts are not kept */
    uint32_t sent_count;
    uint32_t events;
    uint32_t restored; /* calls with events of an older copy */
    uint32_t log_events[EB_EVENT_COUNT];
} Recorder;

static bool
record_send(void *context, const char *instance, const EbMessage *message,
            int64_t now_us)
{
    Recorder *recorder = context;
    (void)instance;
    (void)now_us;
    if (recorder->sent_count < TABLE_COUNT(recorder->sent)) {
        recorder->sent[recorder->sent_count++] = *message;
    }
    return true;
}

static void
record_change(void *context, EbFeedStream stream, const json_t *events,
              bool restored, int64_t now_us)
{
    (void)stream;
    (void)now_us;
    ((Recorder *)context)->restored += restored;
    ((Recorder *)context)->events += (uint32_t)json_array_size(events);
}

static void
record_log_event(void *context, EbEventId event, const EbEventField *fields,
                 size_t field_count)
{
    (void)fields;
    (void)field_count;
    ((Recorder *)context)->log_events[event]++;
}

static EbStoreFeed *
new_recorded_feed(Recorder *recorder, EbEventSink *sink)
{
    *sink = (EbEventSink){record_log_event, recorder};
    EbStoreFeed *feed =
        EbStoreFeed_New(&(EbStoreFeedOptions){.events = sink,
                                              .send = record_send,
                                              .changed = record_change,
                                              .context = recorder});
    json_t *items = json_pack("[{s:s, s:i}]", "name", "a", "value", 1);
    EbStorePosition position = {.era = ERA, .revision = 10};
    EbStoreFeed_HandleList(feed, EB_FEED_CONFIG, &position, items, 0);
    EbStoreFeed_HandleList(feed, EB_FEED_SERVERS, &position, items, 0);
    json_decref(items);
    recorder->events = 0;
    return feed;
}

/* Guards against a daemon of a deployment without evacuations that reads them
 * from the store: each watch costs calls. */
static void
test_evacuations_not_followed(void)
{
    Recorder recorder = {0};
    EbEventSink sink;
    EbStoreFeed *feed = new_recorded_feed(&recorder, &sink);
    EbStoreFeed_SetSources(feed, true, NULL, 0, 0);
    EbStoreFeed_Tick(feed, SECOND_US);
    CU_ASSERT_TRUE(EbStoreFeed_MustRead(feed, EB_FEED_SERVERS));
    CU_ASSERT_FALSE(EbStoreFeed_MustRead(feed, EB_FEED_EVACUATIONS));
    EbStoreFeed_Free(feed);
}

/* Guards against relayed changes that bring back what was removed, skip
 * changes or can't be read. */
static void
test_relayed_changes(void)
{
    static const struct {
        uint64_t base;
        uint64_t revision;
        const char *text;
        uint32_t events;
        uint64_t known; /* revision afterwards */
        bool invalid;
    } rows[] = {
        {10, 12, "[{\"name\":\"a\",\"deleted\":true}]", 1, 12, false},
        {8, 12, "[{\"name\":\"a\",\"deleted\":true}]", 1, 12, false},
        {10, 12, NULL, 0, 12, false},
        {10, 12, "[{\"name\":\"a\",\"value\":1}]", 0, 12, false},
        {11, 12, "[{\"name\":\"a\",\"deleted\":true}]", 0, 10, false},
        {8, 10, "[{\"name\":\"b\",\"value\":2}]", 0, 10, false},
        {8, 9, "[{\"name\":\"b\",\"value\":2}]", 0, 10, false},
        {10, 12, "[{\"name\":", 0, 10, true},
        {10, 12, "{}", 0, 10, true},
        {10, 12, "[{\"value\":2}]", 0, 10, true},
        {10, 12, "[7]", 0, 10, true},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Recorder recorder = {0};
        EbEventSink sink;
        EbStoreFeed *feed = new_recorded_feed(&recorder, &sink);
        EbMessage message = {
            .kind = EB_MESSAGE_FEED_CHANGES,
            .feed_stream = EB_FEED_SERVERS,
            .base_revision = rows[i].base,
            .era = ERA,
            .revision = rows[i].revision,
            .text = (char *)rows[i].text,
            .text_bytes = rows[i].text != NULL ? strlen(rows[i].text) : 0};
        EbStoreFeed_SetSources(feed, false, NULL, 0, 0);
        EbStoreFeed_Receive(feed, "i-1", &message, 100);
        EbStoreFeed_Tick(feed, 100);
        CU_ASSERT_EQUAL(recorder.events, rows[i].events);
        EbStorePosition known;
        EbStoreFeed_Position(feed, EB_FEED_SERVERS, &known);
        CU_ASSERT_EQUAL(known.revision, rows[i].known);
        CU_ASSERT_EQUAL(recorder.log_events[EB_EVENT_FEED_INVALID],
                        rows[i].invalid);
        CU_ASSERT_EQUAL(EbStoreFeed_MustRead(feed, EB_FEED_SERVERS),
                        rows[i].invalid);
        EbStoreFeed_Free(feed);
    }
}

/* Guards against a daemon that answers with what it knows only from another
 * one, after its own reads failed, or when the store may be out of its reach
 * while its watch still waits. */
static void
test_answers(void)
{
    static const struct {
        bool is_source;
        bool read;         /* a poll succeeded after the start */
        bool failed;       /* the next one didn't */
        int64_t asked_us;  /* after that */
        int64_t probed_us; /* before the request; -1: no probe */
        bool reading;
    } rows[] = {
        {true, true, false, 0, -1, true},
        {true, true, false, 700000, -1, true},
        {true, true, false, 900000, -1, false},
        {true, true, false, 2900000, 400000, true},
        {true, false, false, 0, 0, false},
        {true, true, true, 0, 0, false},
        {false, false, false, 0, 0, false},
        {false, true, false, 0, 0, false},
    };
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Recorder recorder = {0};
        EbEventSink sink;
        EbStoreFeed *feed = new_recorded_feed(&recorder, &sink);
        json_t *none = json_array();
        EbStoreFeed_SetSources(feed, rows[i].is_source, NULL, 0, 0);
        EbStoreFeed_Tick(feed, 0);
        EbStoreFeed_Tick(feed, SECOND_US);
        for (int stream = 0; rows[i].read && stream < EB_FEED_FIRST_STREAMS;
             stream++) {
            EbStorePosition position = {.era = ERA, .revision = 11};
            EbStoreFeed_HandleChanges(feed, (EbFeedStream)stream, 10,
                                      &position, none, SECOND_US);
        }
        json_decref(none);
        if (rows[i].failed) {
            EbStoreFeed_HandleFailure(feed, EB_FEED_CONFIG, SECOND_US);
        }
        EbStoreFeed_Tick(feed, SECOND_US);
        EbMessage request = {.kind = EB_MESSAGE_FEED_REQUEST,
                             .feed_request = 5,
                             .config_revision = 11,
                             .config_era = ERA,
                             .servers_revision = 11,
                             .servers_era = ERA};
        int64_t asked_us = SECOND_US + rows[i].asked_us;
        if (rows[i].probed_us >= 0) {
            EbStoreFeed_HandleProbe(feed, 5000, asked_us - rows[i].probed_us);
        }
        EbStoreFeed_Receive(feed, "i-9", &request, asked_us);
        CU_ASSERT_EQUAL_FATAL(recorder.sent_count, 1);
        CU_ASSERT_EQUAL(recorder.sent[0].kind, EB_MESSAGE_FEED_STATUS);
        CU_ASSERT_EQUAL(recorder.sent[0].feed_request, 5);
        CU_ASSERT_EQUAL(recorder.sent[0].feed_reading, rows[i].reading);
        EbStoreFeed_Free(feed);
    }
}

/* Guards against servers that are taken for gone at daemons that did not see
 * the store's outage themselves: its end must reach them with the changes. */
static void
test_recovery_is_passed_on(void)
{
    Recorder recorder = {0};
    EbEventSink sink;
    EbStoreFeed *feed = new_recorded_feed(&recorder, &sink);
    CU_ASSERT_EQUAL(EbStoreFeed_RecoveredAt(feed), INT64_MIN);
    EbMessage message = {.kind = EB_MESSAGE_FEED_CHANGES,
                         .feed_stream = EB_FEED_SERVERS,
                         .base_revision = 10,
                         .era = ERA,
                         .revision = 11,
                         .recovered_ago_us = 300000};
    EbStoreFeed_Receive(feed, "i-1", &message, 9 * SECOND_US);
    CU_ASSERT_EQUAL(EbStoreFeed_RecoveredAt(feed), 8700000);
    EbStoreFeed_HandleFailure(feed, EB_FEED_SERVERS, 20 * SECOND_US);
    EbStoreFeed_HandleFailure(feed, EB_FEED_SERVERS, 21 * SECOND_US);
    json_t *none = json_array();
    EbStorePosition position = {.era = ERA, .revision = 12};
    EbStoreFeed_HandleChanges(feed, EB_FEED_SERVERS, 11, &position, none,
                              22 * SECOND_US);
    json_decref(none);
    CU_ASSERT_EQUAL(EbStoreFeed_RecoveredAt(feed), 22 * SECOND_US);
    EbStoreFeed_Free(feed);
}

/* Guards against changes that are ignored, or mixed with others, because a
 * store that returned from an older copy gives out revisions again. */
static void
test_restored_store(void)
{
    static const struct {
        uint32_t sources;
        int lost;    /* changes that the copy lacks */
        int written; /* changes after it, before the daemons are checked */
    } rows[] = {{20, 10, 3}, {20, 10, 25}, {3, 10, 3}, {3, 10, 25}, {6, 0, 1}};
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Fleet_Start(20, rows[i].sources, i + 1);
        for (int change = 0; change < 20; change++) {
            write_some(1);
            Fleet_Run(SECOND_US / 5, BOUND_US);
        }
        Fleet_SetStoreUp(false);
        Fleet_Run(SECOND_US, BOUND_US);
        Fleet_Restore((uint64_t)rows[i].lost);
        Fleet_SetStoreUp(true);
        for (int change = 0; change < rows[i].written; change++) {
            write_some(1);
            Fleet_Run(SECOND_US / 10, BOUND_US);
        }
        Fleet_Run(FLEET_CONTACT_US, BOUND_US);
        CU_ASSERT_TRUE(Fleet_IsCurrent());
        CU_ASSERT_EQUAL(fleet.violations, 0);
        Fleet_Stop();
    }
}

/* Guards against messages and lists of an earlier era that arrive late, and
 * against a list of the older copy that is taken for current news. */
static void
test_eras(void)
{
    Recorder recorder = {0};
    EbEventSink sink;
    EbStoreFeed *feed = new_recorded_feed(&recorder, &sink);
    EbStorePosition known;
    EbStoreFeed_StartEra(feed, ERA + 1, SECOND_US);
    CU_ASSERT_FALSE(EbStoreFeed_Position(feed, EB_FEED_SERVERS, &known));
    EbStoreFeed_Tick(feed, SECOND_US);
    CU_ASSERT_TRUE(EbStoreFeed_MustRead(feed, EB_FEED_SERVERS));
    CU_ASSERT_EQUAL(EbStoreFeed_RecoveredAt(feed), SECOND_US);

    json_t *items = json_pack("[{s:s, s:i}]", "name", "a", "value", 2);
    EbStorePosition copy = {.era = ERA + 1, .revision = 4};
    EbStoreFeed_HandleList(feed, EB_FEED_SERVERS, &copy, items, SECOND_US);
    CU_ASSERT_EQUAL(recorder.events, 1);
    CU_ASSERT_EQUAL(recorder.restored, 1);
    CU_ASSERT_TRUE(EbStoreFeed_Position(feed, EB_FEED_SERVERS, &known));
    CU_ASSERT_EQUAL(known.revision, 4);

    EbStorePosition late = {.era = ERA, .revision = 12};
    EbStoreFeed_HandleList(feed, EB_FEED_SERVERS, &late, items, SECOND_US);
    EbMessage message = {.kind = EB_MESSAGE_FEED_CHANGES,
                         .feed_stream = EB_FEED_SERVERS,
                         .base_revision = 4,
                         .era = ERA,
                         .revision = 11,
                         .text = "[{\"name\":\"a\",\"deleted\":true}]"};
    message.text_bytes = strlen(message.text);
    EbStoreFeed_Receive(feed, "i-1", &message, 2 * SECOND_US);
    CU_ASSERT_EQUAL(recorder.events, 1);
    message.era = ERA + 1;
    EbStoreFeed_Receive(feed, "i-1", &message, 2 * SECOND_US);
    CU_ASSERT_EQUAL(recorder.events, 2);
    CU_ASSERT_EQUAL(recorder.restored, 1);
    json_decref(items);
    EbStoreFeed_Free(feed);
}

int
main(int argc, char **argv)
{
    static const EbTestCase cases[] = {
        {"calls to the store", test_calls},
        {"lost sources", test_lost_sources},
        {"store down", test_store_down},
        {"large change after an outage", test_large_change_after_outage},
        {"start in an outage", test_start_in_outage},
        {"random faults", test_random_faults},
        {"random faults with evacuations",
         test_random_faults_with_evacuations},
        {"evacuations", test_evacuations},
        {"evacuations not followed", test_evacuations_not_followed},
        {"relayed changes", test_relayed_changes},
        {"answers", test_answers},
        {"recovery is passed on", test_recovery_is_passed_on},
        {"restored store", test_restored_store},
        {"eras", test_eras},
    };
    if (argc >= 4 && strcmp(argv[1], "--seeds") == 0) {
        uint32_t violations = play_seeds(
            strtoull(argv[2], NULL, 10), strtoull(argv[3], NULL, 10),
            argc == 5 && strcmp(argv[4], "evacuations") == 0);
        printf("%u violations\n", violations);
        return violations > 0;
    }
    return EbTest_Run("test_store_feed", cases, TABLE_COUNT(cases));
}
