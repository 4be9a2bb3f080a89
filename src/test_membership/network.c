#include "network.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define CONNECT_TIMEOUT_US 2000000
#define SEEDS 3

typedef enum {
    EVENT_TIMER,
    EVENT_CONNECT,
    EVENT_FAIL,
    EVENT_MESSAGE,
    EVENT_CLOSE
} EventKind;

typedef struct {
    int64_t time_us;
    uint64_t order;
    EventKind kind;
    uint32_t from, to;
    uint32_t epoch;
    uint8_t *bytes;
    size_t byte_count;
    bool refused;
} Event;

Network network;
static GSequence *events; /* of Event, by time */
static uint64_t last_order;
/* Epoch of the link from one daemon to another, as the first one sees it; 0
 * when there is none. */
static uint32_t links[NETWORK_MAX][NETWORK_MAX];
static uint32_t last_epoch;

static gint
compare_events(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    const Event *first = left, *second = right;
    if (first->time_us != second->time_us) {
        return first->time_us < second->time_us ? -1 : 1;
    }
    return first->order < second->order ? -1 : 1;
}

static void
push_event(Event event)
{
    event.order = ++last_order;
    g_sequence_insert_sorted(events, g_memdup2(&event, sizeof(event)),
                             compare_events, NULL);
}

static void
free_event(gpointer event)
{
    free(((Event *)event)->bytes);
    g_free(event);
}

static uint32_t
parse_index(const char *name)
{
    return (uint32_t)strtoul(name + 1, NULL, 10);
}

static void
on_deliver(void *context, const char *peer, const EbMessage *message,
           int64_t now_us)
{
    (void)peer;
    if (message->kind == EB_MESSAGE_SERVER_LEAVING) {
        ((Node *)context)->floods[parse_index(message->server)]++;
    }
    else if (message->kind == EB_MESSAGE_SERVER_SPEEDS) {
        if (network.on_speeds != NULL) {
            network.on_speeds((uint32_t)((Node *)context - network.nodes),
                              message, now_us);
        }
    }
    else if (message->kind == EB_MESSAGE_QUARANTINE) {
        ((Node *)context)->quarantines++;
    }
    else {
        ((Node *)context)->direct++;
    }
}

static void
on_changed(void *context, int64_t now_us)
{
    (void)now_us;
    ((Node *)context)->changed++;
}

static void
on_announced(void *context, const char *peer, uint64_t generation,
             int64_t now_us)
{
    (void)peer;
    (void)now_us;
    Node *node = context;
    node->announced = generation;
    EbMembership_SetGeneration(node->membership, generation);
}

static void
count_bytes(uint32_t index, size_t byte_count)
{
    network.nodes[index].messages++;
    network.nodes[index].bytes += byte_count + OVERHEAD_BYTES;
}

static void
perform_action(uint32_t from, EbAction *action)
{
    EbPeerSend *peer = &action->as.peer;
    uint32_t to = parse_index(peer->peer != NULL ? peer->peer : peer->address);
    bool reachable = network.nodes[from].side == network.nodes[to].side;
    Event event = {.time_us = network.now_us + HOP_US,
                   .from = from,
                   .to = to,
                   .epoch = links[from][to]};
    if (action->kind == EB_ACTION_PEER_CONNECT) {
        event.kind = network.nodes[to].running && reachable ? EVENT_CONNECT
                                                            : EVENT_FAIL;
        event.refused = reachable && !network.nodes[to].running &&
                        network.nodes[to].refuses;
        event.time_us += reachable ? HOP_US : CONNECT_TIMEOUT_US;
        push_event(event);
    }
    else if (action->kind == EB_ACTION_PEER_CLOSE) {
        links[from][to] = 0;
        event.kind = EVENT_CLOSE;
        push_event(event);
    }
    else if (event.epoch != 0) {
        count_bytes(from, peer->byte_count);
        event.kind = EVENT_MESSAGE;
        event.bytes = peer->bytes;
        event.byte_count = peer->byte_count;
        peer->bytes = NULL;
        push_event(event);
    }
}

void
Network_Drain(uint32_t index)
{
    Node *node = &network.nodes[index];
    EbAction action;
    while (EbActionQueue_Pop(node->actions, &action)) {
        perform_action(index, &action);
        EbAction_Clear(&action);
    }
    int64_t next_us =
        MAX(EbMembership_NextTimer(node->membership), network.now_us);
    if (next_us < node->timer_us || node->timer_us <= network.now_us) {
        node->timer_us = next_us;
        push_event((Event){.time_us = next_us,
                           .kind = EVENT_TIMER,
                           .to = index,
                           .epoch = node->starts});
    }
}

static void
connect_nodes(uint32_t from, uint32_t to)
{
    if (links[from][to] != 0 && links[from][to] == links[to][from]) {
        return;
    }
    links[from][to] = links[to][from] = ++last_epoch;
    const uint32_t ends[2] = {from, to};
    for (int i = 0; i < 2; i++) {
        char name[16];
        uint32_t other = ends[1 - i];
        snprintf(name, sizeof(name), "n%u", other);
        EbMembership_LinkUp(network.nodes[ends[i]].membership, name,
                            network.nodes[other].incarnation, name,
                            network.now_us);
        Network_Drain(ends[i]);
    }
}

static void
deliver_message(const Event *event)
{
    uint32_t to = event->to;
    Node *node = &network.nodes[to];
    if (links[to][event->from] != event->epoch ||
        node->side != network.nodes[event->from].side) {
        return;
    }
    count_bytes(to, event->byte_count);
    EbMessage *message =
        EbMessage_Decode(event->bytes, event->byte_count, NULL);
    g_assert_nonnull(message);
    char name[16];
    snprintf(name, sizeof(name), "n%u", event->from);
    EbMembership_Receive(node->membership, name, message, network.now_us);
    EbMessage_Free(message);
}

static void
run_event(const Event *event)
{
    Node *node = &network.nodes[event->to];
    bool for_sender = event->kind == EVENT_FAIL;
    uint32_t index = for_sender ? event->from : event->to;
    char name[16];
    snprintf(name, sizeof(name), "n%u", for_sender ? event->to : event->from);
    if (!network.nodes[index].running) {
        return;
    }
    switch (event->kind) {
    case EVENT_TIMER:
        if (event->time_us == node->timer_us && event->epoch == node->starts) {
            EbMembership_Tick(node->membership, network.now_us);
            node->timer_us = INT64_MAX;
        }
        break;
    case EVENT_CONNECT:
        if (network.nodes[event->from].running &&
            network.nodes[event->from].side == node->side) {
            connect_nodes(event->from, event->to);
        }
        break;
    case EVENT_FAIL:
        EbMembership_DialFailed(network.nodes[index].membership, name,
                                event->refused, network.now_us);
        break;
    case EVENT_MESSAGE:
        deliver_message(event);
        break;
    case EVENT_CLOSE:
        if (links[event->to][event->from] == event->epoch) {
            links[event->to][event->from] = 0;
            EbMembership_LinkDown(node->membership, name, network.now_us);
        }
        break;
    }
    Network_Drain(index);
}

void
Network_Run(int64_t time_us)
{
    int64_t end_us = network.now_us + time_us;
    GSequenceIter *first;
    while (
        !g_sequence_iter_is_end(first = g_sequence_get_begin_iter(events))) {
        const Event *event = g_sequence_get(first);
        if (event->time_us > end_us) {
            break;
        }
        network.now_us = event->time_us;
        run_event(event);
        g_sequence_remove(first);
    }
    network.now_us = end_us;
}

int64_t
Network_RunUntil(bool (*done)(void), int64_t limit_us)
{
    int64_t start_us = network.now_us;
    while (!done()) {
        if (network.now_us - start_us >= limit_us) {
            return -1;
        }
        Network_Run(HOP_US);
    }
    return network.now_us - start_us;
}

static void
on_raised(void *context, uint64_t incarnation)
{
    Node *node = context;
    node->incarnation = incarnation;
}

void
Network_StartNode(uint32_t index)
{
    Network_StartIncarnation(index, network.nodes[index].incarnation + 1);
}

void
Network_StartIncarnation(uint32_t index, uint64_t incarnation)
{
    Node *node = &network.nodes[index];
    char name[16], domain[16];
    snprintf(name, sizeof(name), "n%u", index);
    snprintf(domain, sizeof(domain), "d%u", index % DOMAINS);
    node->actions = EbActionQueue_New();
    node->incarnation = incarnation;
    node->starts++;
    node->running = true;
    node->timer_us = INT64_MAX;
    node->membership = EbMembership_New(
        &(EbMembershipOptions){.instance = name,
                               .incarnation = node->incarnation,
                               .address = name,
                               .failure_domain = domain,
                               .capacity = NETWORK_CAPACITY,
                               .actions = node->actions,
                               .random = &node->random,
                               .deliver = on_deliver,
                               .changed = on_changed,
                               .announced = on_announced,
                               .incarnation_raised = on_raised,
                               .context = node});
    for (uint32_t i = 0; i < SEEDS; i++) {
        snprintf(name, sizeof(name), "n%u", i);
        EbMembership_AddSeed(node->membership, name, network.now_us);
    }
    Network_Drain(index);
}

void
Network_KillNode(uint32_t index)
{
    Node *node = &network.nodes[index];
    node->running = false;
    EbMembership_Free(node->membership);
    EbActionQueue_Free(node->actions);
    node->membership = NULL;
    for (uint32_t i = 0; i < network.count; i++) {
        links[index][i] = 0;
    }
}

void
Network_CutLink(uint32_t left, uint32_t right)
{
    links[left][right] = links[right][left] = 0;
}

void
Network_Start(uint32_t count, uint64_t seed)
{
    memset(&network, 0, sizeof(network));
    memset(links, 0, sizeof(links));
    events = g_sequence_new(free_event);
    network.count = count;
    network.now_us = 1000000;
    for (uint32_t i = 0; i < count; i++) {
        EbRandom_Init(&network.nodes[i].random, seed + i);
        Network_StartNode(i);
    }
}

void
Network_Stop(void)
{
    g_sequence_free(events);
    for (uint32_t i = 0; i < network.count; i++) {
        if (network.nodes[i].running) {
            Network_KillNode(i);
        }
    }
}

bool
Network_IsConverged(void)
{
    static const char *names[NETWORK_MAX];
    for (uint32_t i = 0; i < network.count; i++) {
        const Node *node = &network.nodes[i];
        if (!node->running) {
            continue;
        }
        size_t expected = 0;
        for (uint32_t j = 0; j < network.count; j++) {
            expected += network.nodes[j].running &&
                        network.nodes[j].side == node->side;
        }
        size_t live =
            EbMembership_LiveInstances(node->membership, names, NETWORK_MAX);
        if (live != expected) {
            return false;
        }
        for (size_t j = 0; j < live; j++) {
            const Node *other = &network.nodes[parse_index(names[j])];
            if (!other->running || other->side != node->side) {
                return false;
            }
        }
    }
    return true;
}

void
Network_Flood(uint32_t origin, uint32_t number)
{
    char server[16];
    snprintf(server, sizeof(server), "s%u", number);
    EbMessage message = {
        .kind = EB_MESSAGE_SERVER_LEAVING, .server = server, .leaving = true};
    EbMembership_Flood(network.nodes[origin].membership, &message,
                       network.now_us);
    Network_Drain(origin);
}
