/* Answering other daemons. */
#include <stdlib.h>
#include <string.h>

#include "store_feed_state.h"

/* A daemon that sent no request for this time is sent no more changes. */
#define SUBSCRIBER_US (3LL * EB_FEED_REQUEST_INTERVAL_US)
/* A source without an answer of the store for this time answers no requests.
 * While the store is slow, the time of its answers does not count up to the
 * maximum. */
#define ANSWER_AGE_MAX_US (2LL * EB_FEED_PROBE_INTERVAL_US)
#define LATENCY_MAX_US 4000000

static bool
is_stream_current(const EbFeedStreamState *stream)
{
    return stream->objects.listed && stream->must_read && stream->readable &&
           stream->failures == 0 &&
           EbStorePosition_Compare(&stream->objects.position,
                                   &stream->wanted) >= 0;
}

/* Returns the time since the store last answered, not counting the time that
 * it took for that answer. */
static int64_t
answer_age(const EbStoreFeed *feed, int64_t now_us)
{
    int64_t latency_us = MIN(feed->answer_latency_us, LATENCY_MAX_US);
    return MAX(now_us - feed->answered_us - latency_us, 0);
}

/* Returns whether this daemon reads every stream and the store answered
 * lately, so that it may answer others. */
static bool
is_reading(const EbStoreFeed *feed, int64_t now_us)
{
    if (feed->answered_us == INT64_MIN ||
        answer_age(feed, now_us) > ANSWER_AGE_MAX_US) {
        return false;
    }
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        if (!is_stream_current(&feed->streams[i])) {
            return false;
        }
    }
    return true;
}

static uint64_t
recovered_ago(const EbStoreFeed *feed, int64_t now_us)
{
    if (feed->recovered_us == INT64_MIN ||
        now_us - feed->recovered_us > EB_FEED_RECOVERY_TOLD_US) {
        return 0;
    }
    return (uint64_t)MAX(now_us - feed->recovered_us, 1);
}

/* Sends events of a stream and frees their text. Completes the message. */
static bool
send_events(const EbStoreFeed *feed, const char *instance, EbMessage *message,
            char *text, int64_t now_us)
{
    message->kind = EB_MESSAGE_FEED_CHANGES;
    const EbStorePosition *position =
        &feed->streams[message->feed_stream].objects.position;
    message->era = position->era;
    message->revision = position->revision;
    message->recovered_ago_us = recovered_ago(feed, now_us);
    message->text = text;
    message->text_bytes = strlen(text);
    bool sent =
        feed->options.send(feed->options.context, instance, message, now_us);
    free(text);
    return sent;
}

/* Sends a subscriber the changes since the revision that it has. Changes that
 * are no longer kept or are too large are not sent; the status tells the
 * subscriber that it lacks something. */
static void
send_changes(EbStoreFeed *feed, const char *instance,
             EbFeedSubscriber *subscriber, EbFeedStream index, int64_t now_us)
{
    EbObjectStream *objects = &feed->streams[index].objects;
    const EbStorePosition *from = &subscriber->positions[index];
    EbMessage message = {.feed_stream = index,
                         .base_revision = from->revision};
    if (EbStorePosition_Compare(from, &objects->position) >= 0) {
        return;
    }
    char *text = EbObjectStream_WriteChanges(
        objects, from, EB_FEED_MAX_TEXT_BYTES, &message.exact_base);
    if (text != NULL && send_events(feed, instance, &message, text, now_us)) {
        subscriber->positions[index] = objects->position;
    }
}

/* Sends a daemon that has no list of a stream all that is known. */
static void
send_all_objects(const EbStoreFeed *feed, const char *instance,
                 EbFeedStream index, int64_t now_us)
{
    const EbObjectStream *objects = &feed->streams[index].objects;
    char *text =
        objects->listed
            ? EbObjectStream_WriteAll(objects, EB_FEED_MAX_SNAPSHOT_BYTES)
            : NULL;
    if (text != NULL) {
        EbMessage message = {.feed_stream = index};
        send_events(feed, instance, &message, text, now_us);
    }
}

static gboolean
has_expired(gpointer key, gpointer value, gpointer context)
{
    (void)key;
    return ((const EbFeedSubscriber *)value)->expires_us <=
           *(const int64_t *)context;
}

void
EbStoreFeed_SendToSubscribers(EbStoreFeed *feed, EbFeedStream index,
                              int64_t now_us)
{
    if (!is_reading(feed, now_us)) {
        return;
    }
    g_hash_table_foreach_remove(feed->subscribers, has_expired, &now_us);
    GHashTableIter iter;
    gpointer instance;
    gpointer subscriber;
    g_hash_table_iter_init(&iter, feed->subscribers);
    while (g_hash_table_iter_next(&iter, &instance, &subscriber)) {
        if (index < ((const EbFeedSubscriber *)subscriber)->stream_count) {
            send_changes(feed, instance, subscriber, index, now_us);
        }
    }
}

/* Sends the changes that a daemon asks for, and from now on those that come.
 */
static void
add_subscriber(EbStoreFeed *feed, const char *peer,
               const EbStorePosition positions[], uint32_t stream_count,
               int64_t now_us)
{
    EbFeedSubscriber *subscriber =
        g_hash_table_lookup(feed->subscribers, peer);
    if (subscriber == NULL) {
        subscriber = g_new0(EbFeedSubscriber, 1);
        g_hash_table_insert(feed->subscribers, g_strdup(peer), subscriber);
    }
    subscriber->expires_us = now_us + SUBSCRIBER_US;
    subscriber->stream_count = stream_count;
    for (uint32_t i = 0; i < stream_count; i++) {
        subscriber->positions[i] = positions[i];
        send_changes(feed, peer, subscriber, (EbFeedStream)i, now_us);
    }
}

void
EbStoreFeed_AnswerRequest(EbStoreFeed *feed, const char *peer,
                          const EbMessage *request, int64_t now_us)
{
    EbStorePosition positions[EB_FEED_STREAM_COUNT];
    uint32_t shared = EbStoreFeed_ReadPositions(feed, request, positions);
    bool all_listed_there = true;
    feed->asked_us = now_us;
    for (uint32_t i = 0; i < shared; i++) {
        if (positions[i].revision == 0) {
            send_all_objects(feed, peer, (EbFeedStream)i, now_us);
            all_listed_there = false;
        }
    }
    EbMessage status = {.kind = EB_MESSAGE_FEED_STATUS,
                        .feed_request = request->feed_request,
                        .feed_reading = is_reading(feed, now_us),
                        .feed_failing = EbStoreFeed_HasFailed(feed),
                        .recovered_ago_us = recovered_ago(feed, now_us)};
    if (status.feed_reading) {
        status.confirmed_ago_us = (uint64_t)answer_age(feed, now_us);
        EbStoreFeed_WritePositions(feed, &status);
    }
    if (status.feed_reading && all_listed_there) {
        add_subscriber(feed, peer, positions, shared, now_us);
    }
    feed->options.send(feed->options.context, peer, &status, now_us);
}
