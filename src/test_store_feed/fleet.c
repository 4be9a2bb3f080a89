#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define HOP_US 10000
#define STORE_US 10000
#define LONG_POLL_US 3000000
#define FIRST_POLL_US 20000
#define RETRY_US 400000
#define POLL_GRACE_US 2000000

typedef struct {
    int64_t due_us;
    uint32_t from;
    uint32_t to;
    uint8_t *bytes;
    size_t byte_count;
} Delivery;

Fleet fleet;

static void
free_delivery(gpointer data)
{
    Delivery *delivery = data;
    free(delivery->bytes);
    g_free(delivery);
}

static char *
daemon_name(uint32_t index)
{
    return g_strdup_printf("i-%02u", index);
}

static bool
runs(uint32_t index)
{
    return fleet.daemons[index].feed != NULL;
}

static bool
can_talk(uint32_t left, uint32_t right)
{
    return runs(left) && runs(right) &&
           fleet.daemons[left].side == fleet.daemons[right].side;
}

static bool
send_message(void *context, const char *instance, const EbMessage *message,
             int64_t now_us)
{
    uint32_t from = (uint32_t)((FleetDaemon *)context - fleet.daemons);
    uint32_t to = (uint32_t)atoi(instance + 2);
    if (!can_talk(from, to)) {
        /* A link that broke is noticed half of the time. */
        return runs(to) && EbRandom_Below(&fleet.random, 2) == 0;
    }
    Delivery *delivery = g_new0(Delivery, 1);
    *delivery = (Delivery){.due_us = now_us + HOP_US, .from = from, .to = to};
    if (!EbMessage_Encode(message, &delivery->bytes, &delivery->byte_count)) {
        fleet.violations++;
        g_free(delivery);
        return false;
    }
    g_queue_push_tail(&fleet.messages, delivery);
    return true;
}

static void
on_changed(void *context, EbFeedStream stream, const json_t *events,
           bool restored, int64_t now_us)
{
    FleetDaemon *daemon = context;
    (void)restored;
    (void)now_us;
    size_t index;
    const json_t *event;
    json_array_foreach(events, index, event)
    {
        const char *name = json_string_value(json_object_get(event, "name"));
        uint32_t object = (uint32_t)atoi(name + 2);
        bool deleted = json_is_true(json_object_get(event, "deleted"));
        daemon->known.values[stream][object] =
            deleted ? 0
                    : (uint32_t)json_integer_value(json_object_get(
                          json_object_get(event, "value"), "number"));
    }
}

static uint32_t
stream_count(const FleetDaemon *daemon)
{
    return daemon->earlier_version ? EB_FEED_FIRST_STREAMS : fleet.streams;
}

static bool
is_listed(uint32_t index)
{
    const FleetDaemon *daemon = &fleet.daemons[index];
    for (uint32_t i = 0; i < stream_count(daemon); i++) {
        if (!EbStoreFeed_IsKnown(daemon->feed, (EbFeedStream)i)) {
            return false;
        }
    }
    return true;
}

static void
set_sources(uint32_t index)
{
    const char *names[FLEET_MAX] = {NULL};
    char *owned[FLEET_MAX];
    size_t count = 0;
    uint32_t found = 0;
    bool is_source = false;
    bool ask_any = !is_listed(index);
    for (uint32_t i = 0; i < fleet.count; i++) {
        if (!runs(i)) {
            continue;
        }
        bool of_sources = found++ < fleet.source_count;
        is_source = is_source || (of_sources && i == index);
        if (i == index || !(of_sources || ask_any)) {
            continue;
        }
        owned[count] = daemon_name(i);
        names[count] = owned[count];
        count++;
    }
    EbStoreFeed_SetSources(fleet.daemons[index].feed, is_source, names, count,
                           fleet.now_us);
    for (size_t i = 0; i < count; i++) {
        g_free(owned[i]);
    }
}

static void
set_all_sources(void)
{
    for (uint32_t i = 0; i < fleet.count; i++) {
        if (runs(i)) {
            set_sources(i);
        }
    }
}

void
Fleet_StartDaemon(uint32_t index)
{
    FleetDaemon *daemon = &fleet.daemons[index];
    if (daemon->feed != NULL) {
        return;
    }
    int side = daemon->side;
    bool reachable = daemon->store_reachable;
    bool cut_silently = daemon->cut_silently;
    bool earlier_version = daemon->earlier_version;
    *daemon = (FleetDaemon){.side = side,
                            .earlier_version = earlier_version,
                            .cut_silently = cut_silently,
                            .store_reachable = reachable,
                            .sound_since_us = fleet.now_us};
    daemon->feed = EbStoreFeed_New(&(EbStoreFeedOptions){
        .follow_evacuations = stream_count(daemon) > EB_FEED_FIRST_STREAMS,
        .send = send_message,
        .changed = on_changed,
        .context = daemon});
    set_all_sources();
}

void
Fleet_KillDaemon(uint32_t index)
{
    EbStoreFeed_Free(fleet.daemons[index].feed);
    fleet.daemons[index].feed = NULL;
    set_all_sources();
}

void
Fleet_ReachStore(uint32_t index, bool reachable)
{
    fleet.daemons[index].store_reachable = reachable;
    fleet.daemons[index].cut_silently = EbRandom_Below(&fleet.random, 2) == 0;
    fleet.daemons[index].sound_since_us = fleet.now_us;
}

void
Fleet_SetStoreUp(bool up)
{
    fleet.store_up = up;
    fleet.store_up_since_us = fleet.now_us;
}

void
Fleet_Move(uint32_t index, int side)
{
    fleet.daemons[index].side = side;
}

void
Fleet_Write(EbFeedStream stream, uint32_t object, uint32_t value)
{
    if (fleet.version + 1 >= FLEET_VERSIONS_MAX) {
        return;
    }
    fleet.version++;
    fleet.states[fleet.version] = fleet.states[fleet.version - 1];
    fleet.states[fleet.version].values[stream][object] = value;
    fleet.positions[fleet.version] = fleet.positions[fleet.version - 1];
    fleet.positions[fleet.version].revision++;
    fleet.changed_us[fleet.version] = fleet.now_us;
}

void
Fleet_Restore(uint64_t lost)
{
    if (fleet.version + 1 >= FLEET_VERSIONS_MAX) {
        return;
    }
    uint64_t copy = fleet.version - MIN(lost, fleet.version - 1);
    uint64_t era = fleet.positions[fleet.version].era + 1;
    fleet.version++;
    fleet.states[fleet.version] = fleet.states[copy];
    fleet.positions[fleet.version] =
        (EbStorePosition){era, fleet.positions[copy].revision};
    fleet.changed_us[fleet.version] = fleet.now_us;
    fleet.oldest_version = fleet.version;
}

/* Returns the version of the store's state that a daemon knows, 0 when it
 * knows none. */
static uint64_t
known_version(const FleetDaemon *daemon, EbFeedStream stream)
{
    EbStorePosition position;
    EbStoreFeed_Position(daemon->feed, stream, &position);
    if (!EbStoreFeed_IsKnown(daemon->feed, stream)) {
        return 0;
    }
    for (uint64_t i = fleet.version; i > 0; i--) {
        if (EbStorePosition_Compare(&fleet.positions[i], &position) == 0) {
            return i;
        }
    }
    return 0;
}

void
Fleet_Compact(void)
{
    fleet.oldest_version = fleet.version;
}

static void
add_object(json_t *array, uint32_t object, uint32_t value, bool event)
{
    char name[16];
    snprintf(name, sizeof(name), "o-%02u", object);
    char *padding = g_strnfill(fleet.padding_bytes, 'x');
    json_t *item = json_pack("{s:s, s:{s:i, s:s}}", "name", name, "value",
                             "number", (int)value, "padding", padding);
    g_free(padding);
    if (event) {
        json_object_set_new(item, "deleted", json_boolean(value == 0));
    }
    json_array_append_new(array, item);
}

static json_t *
list_objects(EbFeedStream stream)
{
    json_t *items = json_array();
    for (uint32_t i = 0; i < FLEET_OBJECTS; i++) {
        uint32_t value = fleet.states[fleet.version].values[stream][i];
        if (value != 0) {
            add_object(items, i, value, false);
        }
    }
    return items;
}

static json_t *
list_events(EbFeedStream stream, uint64_t base)
{
    json_t *events = json_array();
    for (uint64_t version = base + 1; version <= fleet.version; version++) {
        for (uint32_t i = 0; i < FLEET_OBJECTS; i++) {
            uint32_t before = fleet.states[version - 1].values[stream][i];
            uint32_t after = fleet.states[version].values[stream][i];
            if (before != after) {
                add_object(events, i, after, true);
            }
        }
    }
    return events;
}

/* Starts the read that a daemon's feed asks for. */
static void
start_read(FleetDaemon *daemon, EbFeedStream stream, int64_t poll_us)
{
    EbStorePosition position;
    bool poll = EbStoreFeed_Position(daemon->feed, stream, &position);
    fleet.reads++;
    daemon->reads[stream].active = true;
    daemon->reads[stream].poll = poll;
    daemon->reads[stream].base = known_version(daemon, stream);
    daemon->reads[stream].sent_us = fleet.now_us;
    daemon->reads[stream].due_us = fleet.now_us + (poll ? poll_us : STORE_US);
}

/* Handles the first answer of an era: what was read before it is dropped, and
 * listed again. A process that had no answer yet only drops what it was to go
 * on from. Returns whether the answer is dropped as well. */
static bool
start_era(FleetDaemon *daemon, uint64_t poll_era)
{
    uint64_t era = fleet.positions[fleet.version].era;
    if (daemon->era == era) {
        return false;
    }
    bool first = daemon->era == 0;
    daemon->era = era;
    EbStoreFeed_StartEra(daemon->feed, era, fleet.now_us);
    if (first) {
        return poll_era != 0 && poll_era != era;
    }
    for (uint32_t i = 0; i < stream_count(daemon); i++) {
        daemon->reads[i].active = false;
        daemon->reads[i].due_us = fleet.now_us;
    }
    return true;
}

static void
finish_read(FleetDaemon *daemon, EbFeedStream stream)
{
    uint64_t base = daemon->reads[stream].base;
    const EbStorePosition *position = &fleet.positions[fleet.version];
    daemon->reads[stream].active = false;
    bool poll = daemon->reads[stream].poll;
    if (start_era(daemon, poll ? fleet.positions[base].era : 0)) {
        return;
    }
    if (!poll || base < fleet.oldest_version) {
        json_t *items = list_objects(stream);
        EbStoreFeed_HandleList(daemon->feed, stream, position, items,
                               fleet.now_us);
        json_decref(items);
    }
    else {
        json_t *events = list_events(stream, base);
        EbStoreFeed_HandleChanges(daemon->feed, stream,
                                  fleet.positions[base].revision, position,
                                  events, fleet.now_us);
        json_decref(events);
    }
}

static void
run_read(FleetDaemon *daemon, EbFeedStream stream)
{
    bool must = EbStoreFeed_MustRead(daemon->feed, stream);
    if (must != daemon->watching[stream]) {
        daemon->watching[stream] = must;
        daemon->reads[stream].active = false;
        if (must) {
            start_read(daemon, stream, FIRST_POLL_US);
        }
        return;
    }
    if (!must) {
        return;
    }
    if (!daemon->reads[stream].active) {
        if (fleet.now_us >= daemon->reads[stream].due_us) {
            start_read(daemon, stream, LONG_POLL_US);
        }
        return;
    }
    bool reachable = fleet.store_up && daemon->store_reachable;
    if (!reachable && daemon->cut_silently &&
        fleet.now_us < daemon->reads[stream].due_us + POLL_GRACE_US) {
        return;
    }
    if (!reachable) {
        daemon->reads[stream].active = false;
        daemon->reads[stream].due_us =
            fleet.now_us + (int64_t)EbRandom_Below(&fleet.random, RETRY_US);
        EbStoreFeed_HandleFailure(daemon->feed, stream, fleet.now_us);
        return;
    }
    bool news = daemon->reads[stream].poll &&
                fleet.now_us >= daemon->reads[stream].sent_us + STORE_US &&
                fleet.version > daemon->reads[stream].base;
    if (news || fleet.now_us >= daemon->reads[stream].due_us) {
        finish_read(daemon, stream);
        daemon->reads[stream].due_us = fleet.now_us;
    }
}

static void
run_probe(FleetDaemon *daemon)
{
    if (!EbStoreFeed_MustProbe(daemon->feed) ||
        fleet.now_us < daemon->probe_us) {
        return;
    }
    daemon->probe_us = fleet.now_us + EB_FEED_PROBE_INTERVAL_US;
    if (fleet.store_up && daemon->store_reachable) {
        fleet.probes++;
        start_era(daemon, 0);
        EbStoreFeed_HandleProbe(daemon->feed, STORE_US, fleet.now_us);
    }
}

static void
deliver_due(void)
{
    Delivery *delivery;
    while ((delivery = g_queue_peek_head(&fleet.messages)) != NULL &&
           delivery->due_us <= fleet.now_us) {
        g_queue_pop_head(&fleet.messages);
        FleetDaemon *to = &fleet.daemons[delivery->to];
        if (can_talk(delivery->from, delivery->to)) {
            if (to->paused_until_us > fleet.now_us) {
                delivery->due_us = to->paused_until_us + HOP_US;
                g_queue_push_tail(&fleet.messages, delivery);
                continue;
            }
            EbMessage *message =
                EbMessage_Decode(delivery->bytes, delivery->byte_count, NULL);
            /* The decoder of an earlier version refuses such a message. */
            fleet.violations += message->feed_stream >= stream_count(to);
            char *name = daemon_name(delivery->from);
            EbStoreFeed_Receive(to->feed, name, message, fleet.now_us);
            g_free(name);
            EbMessage_Free(message);
        }
        free_delivery(delivery);
    }
}

static void
report(uint32_t index, EbFeedStream stream, const char *what)
{
    const FleetDaemon *daemon = &fleet.daemons[index];
    fleet.violations++;
    if (fleet.violations <= 5) {
        printf("at %.2f s: daemon %u, stream %d, version %u of %u: %s\n",
               (double)fleet.now_us / 1e6, index, (int)stream,
               (unsigned)daemon->versions[stream], (unsigned)fleet.version,
               what);
    }
}

/* Returns whether a stream changed after a version and no later than a time.
 */
static bool
has_missed(EbFeedStream stream, uint64_t version, int64_t until_us)
{
    for (uint64_t i = version + 1; i <= fleet.version; i++) {
        if (fleet.changed_us[i] <= until_us &&
            memcmp(fleet.states[i].values[stream],
                   fleet.states[i - 1].values[stream],
                   sizeof(fleet.states[i].values[stream])) != 0) {
            return true;
        }
    }
    return false;
}

static void
check_daemon(uint32_t index, int64_t bound_us)
{
    FleetDaemon *daemon = &fleet.daemons[index];
    for (uint32_t i = 0; i < stream_count(daemon); i++) {
        EbFeedStream stream = (EbFeedStream)i;
        uint64_t version = known_version(daemon, stream);
        if (version < daemon->versions[i]) {
            report(index, stream, "the position went back");
        }
        daemon->versions[i] = version;
        if (version > 0 &&
            memcmp(daemon->known.values[i], fleet.states[version].values[i],
                   sizeof(daemon->known.values[i])) != 0) {
            report(index, stream, "the state isn't that of the position");
        }
        int64_t since_us =
            MAX(daemon->sound_since_us, daemon->paused_until_us);
        since_us = MAX(since_us, fleet.store_up_since_us);
        bool sound = fleet.store_up && daemon->store_reachable &&
                     fleet.now_us - since_us >= FLEET_CONTACT_US + bound_us;
        if (sound && has_missed(stream, version, fleet.now_us - bound_us)) {
            report(index, stream, "a change came too late");
        }
    }
}

void
Fleet_Run(int64_t time_us, int64_t bound_us)
{
    int64_t end_us = fleet.now_us + time_us;
    while (fleet.now_us < end_us) {
        fleet.now_us += FLEET_STEP_US;
        deliver_due();
        for (uint32_t i = 0; i < fleet.count; i++) {
            FleetDaemon *daemon = &fleet.daemons[i];
            if (daemon->feed == NULL ||
                daemon->paused_until_us > fleet.now_us) {
                continue;
            }
            if (!daemon->listed && is_listed(i)) {
                daemon->listed = true;
                set_sources(i);
            }
            EbStoreFeed_Tick(daemon->feed, fleet.now_us);
            for (uint32_t k = 0; k < stream_count(daemon); k++) {
                run_read(daemon, (EbFeedStream)k);
            }
            run_probe(daemon);
            check_daemon(i, bound_us);
        }
    }
}

bool
Fleet_IsCurrent(void)
{
    const FleetState *state = &fleet.states[fleet.version];
    for (uint32_t i = 0; i < fleet.count; i++) {
        const FleetDaemon *daemon = &fleet.daemons[i];
        if (runs(i) &&
            memcmp(daemon->known.values, state->values,
                   sizeof(state->values[0]) * stream_count(daemon)) != 0) {
            return false;
        }
    }
    return true;
}

static void
start(uint32_t count, uint32_t sources, uint32_t streams, uint32_t earlier,
      uint64_t seed)
{
    memset(&fleet, 0, sizeof(fleet));
    fleet.count = count;
    fleet.streams = streams;
    fleet.source_count = sources;
    fleet.now_us = 1000000;
    fleet.store_up = true;
    fleet.version = 1;
    fleet.oldest_version = 1;
    fleet.positions[1] = (EbStorePosition){.era = 1, .revision = 1};
    EbRandom_Init(&fleet.random, seed);
    g_queue_init(&fleet.messages);
    for (uint32_t i = 0; i < count; i++) {
        fleet.daemons[i].store_reachable = true;
        fleet.daemons[i].earlier_version = i < earlier;
        Fleet_StartDaemon(i);
    }
}

void
Fleet_Start(uint32_t count, uint32_t sources, uint64_t seed)
{
    start(count, sources, EB_FEED_FIRST_STREAMS, 0, seed);
}

void
Fleet_StartMixed(uint32_t count, uint32_t sources, uint32_t earlier,
                 uint64_t seed)
{
    start(count, sources, EB_FEED_STREAM_COUNT, earlier, seed);
}

void
Fleet_Stop(void)
{
    for (uint32_t i = 0; i < fleet.count; i++) {
        EbStoreFeed_Free(fleet.daemons[i].feed);
        fleet.daemons[i].feed = NULL;
    }
    g_queue_clear_full(&fleet.messages, free_delivery);
}
