#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "membership_private.h"

#define WINDOW_WORDS (EB_FLOOD_WINDOW / 64)
/* Recent floods are sent again on a new link, since its peer may have had no
 * link when they were sent. */
#define RECENT_US 10000000
#define RECENT_MAX 64
/* A daemon that starts needs what is quarantined as long as it lasts. */
#define QUARANTINE_FLOOD_US EB_QUARANTINE_DURATION_US
#define RECENT_MAX_BYTES ((size_t)256 * 1024)

/* Sequences seen from one origin: a bit for each of the highest
 * EB_FLOOD_WINDOW, at the sequence modulo the window. Older sequences count as
 * duplicates. */
typedef struct {
    uint64_t incarnation;
    uint64_t highest;
    uint64_t seen[WINDOW_WORDS];
    int64_t last_use_us;
} Origin;

typedef struct {
    uint8_t *bytes;
    size_t byte_count;
    int64_t expires_us;
} RecentFlood;

static void
free_recent(gpointer data)
{
    RecentFlood *flood = data;
    free(flood->bytes);
    g_free(flood);
}

void
EbMembership_FreeFloods(EbMembership *membership)
{
    g_queue_clear_full(&membership->recent, free_recent);
    g_queue_clear_full(&membership->quarantine_floods, free_recent);
    g_hash_table_destroy(membership->origins);
}

static void
drop_oldest(EbMembership *membership, GQueue *floods)
{
    RecentFlood *oldest = g_queue_pop_head(floods);
    if (floods == &membership->recent) {
        membership->recent_bytes -= oldest->byte_count;
    }
    free_recent(oldest);
}

/* Stores a flood for new links. Takes ownership of the bytes. */
static void
keep_recent(EbMembership *membership, EbMessageKind kind, uint8_t *bytes,
            size_t byte_count, int64_t now_us)
{
    bool quarantine = kind == EB_MESSAGE_QUARANTINE;
    GQueue *floods =
        quarantine ? &membership->quarantine_floods : &membership->recent;
    RecentFlood *flood = g_new0(RecentFlood, 1);
    *flood =
        (RecentFlood){bytes, byte_count,
                      now_us + (quarantine ? QUARANTINE_FLOOD_US : RECENT_US)};
    g_queue_push_tail(floods, flood);
    if (!quarantine) {
        membership->recent_bytes += byte_count;
    }
    while (floods->length > RECENT_MAX ||
           (!quarantine && membership->recent_bytes > RECENT_MAX_BYTES)) {
        drop_oldest(membership, floods);
    }
}

static void
resend(EbMembership *membership, GQueue *floods, EbMember *peer,
       int64_t now_us)
{
    while (floods->length > 0 &&
           ((RecentFlood *)floods->head->data)->expires_us <= now_us) {
        drop_oldest(membership, floods);
    }
    for (GList *item = floods->head; item != NULL; item = item->next) {
        const RecentFlood *flood = item->data;
        EbMembership_SendBytes(membership, peer, flood->bytes,
                               flood->byte_count);
    }
}

void
EbMembership_ResendFloods(EbMembership *membership, EbMember *peer,
                          int64_t now_us)
{
    resend(membership, &membership->recent, peer, now_us);
    resend(membership, &membership->quarantine_floods, peer, now_us);
}

static void
drop_oldest_origin(EbMembership *membership)
{
    GHashTableIter iterator;
    gpointer key, value;
    gpointer oldest_key = NULL;
    int64_t oldest_us = INT64_MAX;
    g_hash_table_iter_init(&iterator, membership->origins);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        if (((const Origin *)value)->last_use_us < oldest_us) {
            oldest_us = ((const Origin *)value)->last_use_us;
            oldest_key = key;
        }
    }
    if (oldest_key != NULL) {
        g_hash_table_remove(membership->origins, oldest_key);
    }
}

static Origin *
find_origin(EbMembership *membership, const EbMessage *message, int64_t now_us)
{
    Origin *origin = g_hash_table_lookup(membership->origins, message->origin);
    if (origin == NULL) {
        if (g_hash_table_size(membership->origins) >= EB_ORIGINS_MAX) {
            drop_oldest_origin(membership);
        }
        origin = g_new0(Origin, 1);
        origin->incarnation = message->origin_incarnation;
        g_hash_table_insert(membership->origins, g_strdup(message->origin),
                            origin);
    }
    else if (message->origin_incarnation > origin->incarnation) {
        *origin = (Origin){.incarnation = message->origin_incarnation};
    }
    origin->last_use_us = now_us;
    return origin;
}

/* Raises the highest sequence and clears the bits of those that enter the
 * window. */
static void
advance_window(Origin *origin, uint64_t sequence)
{
    if (sequence - origin->highest >= EB_FLOOD_WINDOW) {
        memset(origin->seen, 0, sizeof(origin->seen));
    }
    else {
        for (uint64_t i = origin->highest + 1; i <= sequence; i++) {
            uint64_t bit = i % EB_FLOOD_WINDOW;
            origin->seen[bit / 64] &= ~(1ULL << (bit % 64));
        }
    }
    origin->highest = sequence;
}

/* Marks a flood as seen. Returns false when it is a duplicate. */
static bool
mark_seen(Origin *origin, const EbMessage *message)
{
    uint64_t sequence = message->sequence;
    if (message->origin_incarnation < origin->incarnation || sequence == 0) {
        return false;
    }
    if (sequence > origin->highest) {
        advance_window(origin, sequence);
    }
    else if (origin->highest - sequence >= EB_FLOOD_WINDOW) {
        return false;
    }
    uint64_t bit = sequence % EB_FLOOD_WINDOW;
    uint64_t mask = 1ULL << (bit % 64);
    bool first = (origin->seen[bit / 64] & mask) == 0;
    origin->seen[bit / 64] |= mask;
    return first;
}

/* Sends a flood on every link except the one that it came from. */
static void
propagate_flood(EbMembership *membership, const EbMember *source,
                const EbMessage *message, int64_t now_us)
{
    uint8_t *bytes;
    size_t byte_count;
    if (!EbMessage_Encode(message, &bytes, &byte_count)) {
        return;
    }
    for (guint i = 0; i < membership->members->len; i++) {
        const EbMember *peer = membership->members->pdata[i];
        if (peer->link.up && peer != source) {
            EbMembership_SendBytes(membership, peer, bytes, byte_count);
        }
    }
    keep_recent(membership, message->kind, bytes, byte_count, now_us);
}

void
EbMembership_ReceiveFlood(EbMembership *membership, EbMember *peer,
                          const EbMessage *message, int64_t now_us)
{
    /* What an earlier process of this instance sent is news to this one. */
    bool own = strcmp(message->origin, membership->self->name) == 0 &&
               message->origin_incarnation >= membership->self->incarnation;
    if (own || !mark_seen(find_origin(membership, message, now_us), message)) {
        return;
    }
    if (message->kind != EB_MESSAGE_SERVER_SPEEDS) {
        propagate_flood(membership, peer, message, now_us);
    }
    membership->options.deliver(membership->options.context, peer->name,
                                message, now_us);
}

static void
set_origin(EbMembership *membership, EbMessage *message)
{
    message->origin = membership->self->name;
    message->origin_incarnation = membership->self->incarnation;
    message->sequence = ++membership->flood_sequence;
}

uint32_t
EbMembership_SendToNeighbours(EbMembership *membership, EbMessage *message,
                              uint32_t max_links)
{
    char *caller_origin = message->origin;
    set_origin(membership, message);
    uint8_t *bytes;
    size_t byte_count;
    bool encoded = EbMessage_Encode(message, &bytes, &byte_count);
    message->origin = caller_origin;
    if (!encoded) {
        return 0;
    }
    uint32_t candidates = 0;
    for (guint i = 0; i < membership->members->len; i++) {
        const EbMember *peer = membership->members->pdata[i];
        candidates += peer->neighbour && peer->link.up;
    }
    uint32_t wanted = MIN(max_links, candidates);
    uint32_t sent = 0;
    for (guint i = 0; sent < wanted; i++) {
        const EbMember *peer = membership->members->pdata[i];
        if (!peer->neighbour || !peer->link.up) {
            continue;
        }
        /* Each set of `wanted` candidates is equally likely. */
        if (EbRandom_Below(membership->options.random, candidates) <
            wanted - sent) {
            EbMembership_SendBytes(membership, peer, bytes, byte_count);
            sent++;
        }
        candidates--;
    }
    free(bytes);
    return sent;
}

void
EbMembership_Flood(EbMembership *membership, EbMessage *message,
                   int64_t now_us)
{
    char *caller_origin = message->origin;
    set_origin(membership, message);
    propagate_flood(membership, NULL, message, now_us);
    message->origin = caller_origin;
}
