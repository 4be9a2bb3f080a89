#include "fleet.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/suspects.h"

#define MAX_DAEMONS 100
#define SERVER_COUNT 18
#define STEP_US 5000
#define RUN_US 30000000
#define POISON_FROM_US 3000000
#define REQUESTS_PER_STEP_PERMILLE 250 /* 50 a second */
#define FIRST_PARTS 3                  /* begin all prompts */
#define POISON_FIRST_PART 1 /* begins prompts with the part that crashes */
#define MIDDLE_PARTS 150
#define POISON_PART 999
#define PARTS 3 /* of a prompt; 0: none */
#define COMPANION_PART 998
#define RESTART_US 2000000    /* until a crashed server is back */
#define MAX_PREFILL_US 300000 /* from sending to the answer's beginning */
#define MAX_ANSWER_US 4000000 /* from there to its end */
#define CHECK_DELAY_US 100000 /* from a break to its record as a crash */
/* Between daemons; messages may overtake each other on their paths. */
#define MIN_MESSAGE_DELAY_US 1000
#define MAX_MESSAGE_DELAY_US 50000
#define CONTACT_US INT64_C(3000000)
/* Until a call that broke before its answer is repeated, and the same if one
 * of its suspects is doubted. */
#define REPEAT_DELAY_US 20000
#define DOUBTED_REPEAT_DELAY_US 150000

typedef struct {
    EbQuarantine *quarantine;
    EbSuspects *suspects;
    EbRandom random;
} Daemon;

typedef struct {
    uint32_t daemon;
    uint32_t server;
    uint64_t parts[PARTS];
    bool poison;
    bool answering;
    bool repeated;
    int64_t next_us; /* the repeat, or the begin or end of the answer */
} Call;

typedef struct {
    uint32_t daemon;
    char server_id[16];
    uint64_t parts[PARTS];
    bool unanswered;
    bool alone;
    int64_t at_us;
} Broken;

typedef struct {
    int64_t due_us;
    uint32_t to;
    EbSuspicion suspicion;
    EbQuarantineEntry entry;
    bool is_entry;
} Message;

typedef struct {
    const FleetOptions *options;
    FleetResult result;
    EbRandom random;
    EbRandom delay_random;
    Daemon daemons[MAX_DAEMONS];
    GArray *calls;
    GArray *repeats; /* of Call */
    GArray *broken;
    GArray *messages;
    int64_t back_us[SERVER_COUNT];
    uint32_t starts[SERVER_COUNT]; /* a server's id changes at each start */
    int64_t fifth_crash_us;
    int64_t now_us;
} Fleet;

static void
open_daemon(Fleet *fleet, uint32_t index)
{
    Daemon *daemon = &fleet->daemons[index];
    EbRandom_Init(&daemon->random, fleet->options->seed * 1000 + index);
    daemon->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    daemon->suspects = EbSuspects_New(&(EbSuspectsOptions){
        .random = &daemon->random, .quarantine = daemon->quarantine});
    EbSuspects_SetDaemonCount(daemon->suspects, fleet->options->daemon_count);
}

/* The quarantined entries of another daemon stand for those in the store,
 * which a daemon lists when it starts. */
static void
list_quarantine(const Daemon *daemon, const Daemon *other, int64_t now_us)
{
    EbQuarantineEntry entries[64];
    size_t count = EbQuarantine_List(other->quarantine, entries,
                                     G_N_ELEMENTS(entries), now_us);
    for (size_t i = 0; i < count; i++) {
        EbQuarantine_Merge(daemon->quarantine, &entries[i], now_us);
    }
}

static void
close_daemon(Daemon *daemon)
{
    EbSuspects_Free(daemon->suspects);
    EbQuarantine_Free(daemon->quarantine);
}

static EbSuspectSet
make_set(const uint64_t parts[PARTS])
{
    EbSuspectSet set = {0};
    for (uint32_t i = 0; i < PARTS; i++) {
        if (parts[i] != 0) {
            set.fingerprints[set.count++] =
                EbSuspects_PartFingerprint(parts[i]);
        }
    }
    return set;
}

static void
schedule_repeat(Fleet *fleet, const Call *call)
{
    EbSuspectSet set = make_set(call->parts);
    bool doubted = EbSuspects_AreDoubted(fleet->daemons[call->daemon].suspects,
                                         &set, fleet->now_us);
    Call repeat = *call;
    repeat.repeated = true;
    repeat.next_us =
        fleet->now_us + (doubted ? DOUBTED_REPEAT_DELAY_US : REPEAT_DELAY_US);
    g_array_append_val(fleet->repeats, repeat);
}

static void
break_call(Fleet *fleet, guint index)
{
    const Call *call = &g_array_index(fleet->calls, Call, index);
    Broken broken = {.daemon = call->daemon,
                     .unanswered = !call->answering,
                     .alone = true,
                     .at_us = fleet->now_us};
    memcpy(broken.parts, call->parts, sizeof(broken.parts));
    snprintf(broken.server_id, sizeof(broken.server_id), "s-%u-%u",
             call->server, fleet->starts[call->server]);
    for (guint i = 0; i < fleet->broken->len; i++) {
        Broken *other = &g_array_index(fleet->broken, Broken, i);
        if (other->daemon == broken.daemon &&
            strcmp(other->server_id, broken.server_id) == 0) {
            other->alone = false;
            broken.alone = false;
        }
    }
    g_array_append_val(fleet->broken, broken);
    if (!call->answering && !call->repeated) {
        schedule_repeat(fleet, call);
    }
    g_array_remove_index_fast(fleet->calls, index);
}

static void
break_calls(Fleet *fleet, uint32_t server)
{
    for (guint i = fleet->calls->len; i > 0; i--) {
        if (g_array_index(fleet->calls, Call, i - 1).server == server) {
            break_call(fleet, i - 1);
        }
    }
}

static void
crash_server(Fleet *fleet, uint32_t server)
{
    break_calls(fleet, server);
    fleet->back_us[server] = fleet->now_us + RESTART_US;
    fleet->starts[server]++;
}

static void
count_request(Fleet *fleet, const Call *call, bool refused)
{
    FleetResult *result = &fleet->result;
    int64_t after_us =
        fleet->fifth_crash_us > 0 ? fleet->now_us - fleet->fifth_crash_us : 0;
    if (call->poison) {
        result->late_poison_sends += !refused && after_us >= CONTACT_US;
        return;
    }
    if (call->repeated) {
        return;
    }
    result->sound++;
    result->sound_refused += refused;
    if (after_us >= 2 * CONTACT_US && call->parts[0] == POISON_FIRST_PART) {
        result->related_late++;
        result->related_late_refused += refused;
    }
}

/* Returns a server that is up, or one that is down if all are. */
static uint32_t
choose_server(Fleet *fleet)
{
    uint32_t first = (uint32_t)EbRandom_Below(&fleet->random, SERVER_COUNT);
    for (uint32_t i = 0; i < SERVER_COUNT; i++) {
        uint32_t server = (first + i) % SERVER_COUNT;
        if (fleet->back_us[server] <= fleet->now_us) {
            return server;
        }
    }
    return first;
}

static void
send_call(Fleet *fleet, Call *call)
{
    call->server = choose_server(fleet);
    call->next_us = fleet->now_us + 1 +
                    (int64_t)EbRandom_Below(&fleet->random, MAX_PREFILL_US);
    EbSuspectSet set = make_set(call->parts);
    bool refused = EbSuspects_Blocks(fleet->daemons[call->daemon].suspects,
                                     &set, fleet->now_us);
    count_request(fleet, call, refused);
    if (!refused && fleet->back_us[call->server] <= fleet->now_us) {
        g_array_append_val(fleet->calls, *call);
    }
}

static void
start_request(Fleet *fleet)
{
    EbRandom *random = &fleet->random;
    Call call = {
        .daemon =
            (uint32_t)EbRandom_Below(random, fleet->options->daemon_count),
        .parts = {POISON_FIRST_PART + EbRandom_Below(random, FIRST_PARTS),
                  10 + EbRandom_Below(random, MIDDLE_PARTS)}};
    bool with_part =
        EbRandom_Below(random, 100) < fleet->options->poison_percent;
    call.poison = with_part && fleet->now_us >= POISON_FROM_US;
    if (call.poison || (with_part && fleet->options->poison_was_sound)) {
        call.parts[0] = POISON_FIRST_PART;
        call.parts[2] = POISON_PART;
    }
    /* A part of sound requests that all requests with the other part carry. */
    if (fleet->options->companion &&
        (with_part || EbRandom_Below(random, 100) < 2)) {
        call.parts[1] = COMPANION_PART;
    }
    send_call(fleet, &call);
}

static void
send_repeats(Fleet *fleet)
{
    for (guint i = fleet->repeats->len; i > 0; i--) {
        Call call = g_array_index(fleet->repeats, Call, i - 1);
        if (call.next_us <= fleet->now_us) {
            g_array_remove_index_fast(fleet->repeats, i - 1);
            send_call(fleet, &call);
        }
    }
}

static void
begin_answer(Fleet *fleet, Call *call)
{
    const Daemon *daemon = &fleet->daemons[call->daemon];
    call->answering = true;
    call->next_us =
        fleet->now_us + (int64_t)EbRandom_Below(&fleet->random, MAX_ANSWER_US);
    EbSuspectSet set = make_set(call->parts);
    for (uint32_t i = 0; i < set.count; i++) {
        EbSuspects_RecordAnswer(daemon->suspects, set.fingerprints[i], true,
                                fleet->now_us);
    }
}

static void
crash_by_request(Fleet *fleet, uint32_t server)
{
    if (++fleet->result.poison_crashes == 5) {
        fleet->fifth_crash_us = fleet->now_us;
    }
    crash_server(fleet, server);
}

static bool
is_lost(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    int64_t since_us = fleet->now_us - options->lost_from_us;
    return since_us >= 0 && since_us < options->lost_for_us &&
           EbRandom_Below(&fleet->random, 100) < options->lost_percent;
}

/* Handles one call that is due. Returns false when none is. */
static bool
continue_call(Fleet *fleet)
{
    for (guint i = 0; i < fleet->calls->len; i++) {
        Call *call = &g_array_index(fleet->calls, Call, i);
        if (call->next_us > fleet->now_us) {
            continue;
        }
        if (call->answering) {
            g_array_remove_index_fast(fleet->calls, i);
        }
        else if (call->poison) {
            crash_by_request(fleet, call->server);
        }
        else if (is_lost(fleet)) {
            break_call(fleet, i);
        }
        else {
            begin_answer(fleet, call);
        }
        return true;
    }
    return false;
}

static void
record_crashes(Fleet *fleet)
{
    for (guint i = fleet->broken->len; i > 0; i--) {
        Broken broken = g_array_index(fleet->broken, Broken, i - 1);
        if (broken.at_us + CHECK_DELAY_US > fleet->now_us) {
            continue;
        }
        g_array_remove_index_fast(fleet->broken, i - 1);
        EbSuspectSet set = {0};
        if (broken.unanswered) {
            set = make_set(broken.parts);
        }
        EbSuspects_RecordCrash(fleet->daemons[broken.daemon].suspects, &set,
                               broken.server_id, broken.alone, broken.at_us,
                               fleet->now_us);
    }
}

static void
send_message(Fleet *fleet, uint32_t from, Message *message)
{
    for (uint32_t to = 0; to < fleet->options->daemon_count; to++) {
        if (to == from) {
            continue;
        }
        message->to = to;
        message->due_us = fleet->now_us + MIN_MESSAGE_DELAY_US +
                          (int64_t)EbRandom_Below(&fleet->delay_random,
                                                  MAX_MESSAGE_DELAY_US -
                                                      MIN_MESSAGE_DELAY_US);
        g_array_append_val(fleet->messages, *message);
    }
}

static void
collect_messages(Fleet *fleet, uint32_t from)
{
    const Daemon *daemon = &fleet->daemons[from];
    Message message = {0};
    while (EbSuspects_NextReport(daemon->suspects, &message.suspicion,
                                 fleet->now_us)) {
        send_message(fleet, from, &message);
    }
    message.is_entry = true;
    while (EbQuarantine_NextChange(daemon->quarantine, &message.entry,
                                   fleet->now_us)) {
        send_message(fleet, from, &message);
    }
}

static void
deliver_messages(Fleet *fleet)
{
    guint kept = 0;
    for (guint i = 0; i < fleet->messages->len; i++) {
        const Message *message = &g_array_index(fleet->messages, Message, i);
        const Daemon *daemon = &fleet->daemons[message->to];
        if (message->due_us > fleet->now_us) {
            g_array_index(fleet->messages, Message, kept++) = *message;
        }
        else if (message->is_entry) {
            EbQuarantine_Merge(daemon->quarantine, &message->entry,
                               fleet->now_us);
        }
        else {
            EbSuspects_Merge(daemon->suspects, &message->suspicion,
                             fleet->now_us);
        }
    }
    g_array_set_size(fleet->messages, kept);
}

/* Crashes that no request causes. */
static void
crash_servers(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    if (fleet->now_us == 0) {
        return;
    }
    if (fleet->now_us == options->joint_crash_us) {
        for (uint32_t i = 0; i < SERVER_COUNT; i += 3) {
            crash_server(fleet, i);
        }
    }
    if (options->crash_every_us > 0 &&
        fleet->now_us % options->crash_every_us == 0) {
        crash_server(fleet,
                     (uint32_t)EbRandom_Below(&fleet->random, SERVER_COUNT));
    }
}

static void
step(Fleet *fleet)
{
    const FleetOptions *options = fleet->options;
    if (EbRandom_Below(&fleet->random, 1000) < REQUESTS_PER_STEP_PERMILLE) {
        start_request(fleet);
    }
    send_repeats(fleet);
    crash_servers(fleet);
    if (fleet->now_us == options->restart_daemon_us && fleet->now_us > 0) {
        close_daemon(&fleet->daemons[0]);
        open_daemon(fleet, 0);
        list_quarantine(&fleet->daemons[0], &fleet->daemons[1], fleet->now_us);
    }
    while (continue_call(fleet)) {
    }
    record_crashes(fleet);
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        collect_messages(fleet, i);
    }
    deliver_messages(fleet);
}

FleetResult
Fleet_Run(const FleetOptions *options)
{
    Fleet fleet = {.options = options};
    EbRandom_Init(&fleet.random, options->seed);
    EbRandom_Init(&fleet.delay_random, options->seed);
    fleet.calls = g_array_new(FALSE, FALSE, sizeof(Call));
    fleet.repeats = g_array_new(FALSE, FALSE, sizeof(Call));
    fleet.broken = g_array_new(FALSE, FALSE, sizeof(Broken));
    fleet.messages = g_array_new(FALSE, FALSE, sizeof(Message));
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        open_daemon(&fleet, i);
    }
    for (fleet.now_us = 0; fleet.now_us < RUN_US; fleet.now_us += STEP_US) {
        step(&fleet);
    }
    for (uint32_t i = 0; i < options->daemon_count; i++) {
        close_daemon(&fleet.daemons[i]);
    }
    g_array_free(fleet.calls, TRUE);
    g_array_free(fleet.repeats, TRUE);
    g_array_free(fleet.broken, TRUE);
    g_array_free(fleet.messages, TRUE);
    return fleet.result;
}
