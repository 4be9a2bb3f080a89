/* Asking a source, and its answers. */
#include <string.h>

#include "store_feed_state.h"

static void
ask_next_source(EbStoreFeed *feed)
{
    if (feed->sources->len > 0) {
        feed->current = (feed->current + 1) % feed->sources->len;
    }
}

/* Asks the current source, or the next one to which a message can be sent. */
static void
send_request(EbStoreFeed *feed, int64_t now_us)
{
    EbMessage request = {.kind = EB_MESSAGE_FEED_REQUEST,
                         .feed_request = ++feed->request};
    EbStoreFeed_WritePositions(feed, &request);
    guint attempts = MIN(feed->sources->len, EB_FEED_REFUSALS_MAX);
    feed->awaiting_status = false;
    for (guint i = 0; i < attempts && !feed->awaiting_status; i++) {
        feed->awaiting_status = feed->options.send(
            feed->options.context, feed->sources->pdata[feed->current],
            &request, now_us);
        if (!feed->awaiting_status) {
            ask_next_source(feed);
        }
    }
    feed->requested_us = now_us;
    feed->next_request_us = now_us + EB_FEED_REQUEST_INTERVAL_US;
}

/* Asks the next source at once, unless a round of them has refused. */
static void
handle_refusal(EbStoreFeed *feed, bool failing, int64_t now_us)
{
    ask_next_source(feed);
    feed->refusals++;
    feed->failing_refusals += failing;
    if (feed->refusals < MIN(feed->sources->len, EB_FEED_REFUSALS_MAX)) {
        send_request(feed, now_us);
        return;
    }
    feed->sources_failing = feed->failing_refusals >= EB_FEED_REFUSALS_MAX;
    feed->refusals = 0;
    feed->failing_refusals = 0;
}

static void
note_recovery(EbStoreFeed *feed, const EbMessage *message, int64_t now_us)
{
    if (message->recovered_ago_us > 0 &&
        message->recovered_ago_us <= EB_FEED_RECOVERY_TOLD_US) {
        feed->recovered_us = MAX(feed->recovered_us,
                                 now_us - (int64_t)message->recovered_ago_us);
    }
}

/* The state is confirmed as of the time at which the store last answered the
 * source, reckoned back from the request, since clocks are unrelated. */
void
EbStoreFeed_HandleStatus(EbStoreFeed *feed, const EbMessage *message,
                         int64_t now_us)
{
    if (!feed->awaiting_status || message->feed_request != feed->request) {
        return;
    }
    feed->awaiting_status = false;
    EbStorePosition positions[EB_FEED_STREAM_COUNT];
    uint32_t shared = EbStoreFeed_ReadPositions(feed, message, positions);
    if (!message->feed_reading || shared < feed->stream_count) {
        handle_refusal(feed, message->feed_failing, now_us);
        return;
    }
    feed->refusals = 0;
    feed->failing_refusals = 0;
    feed->sources_failing = false;
    note_recovery(feed, message, now_us);
    bool complete = true;
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        EbFeedStreamState *stream = &feed->streams[i];
        /* The store is back, if it was away. */
        stream->pause_until_us = 0;
        stream->failures = stream->must_read ? stream->failures : 0;
        if (EbStorePosition_Compare(&stream->objects.position, &positions[i]) <
            0) {
            EbStoreFeed_Want(feed, (EbFeedStream)i, &positions[i]);
            complete = false;
        }
        /* What the source knows may be outdated. */
        complete = complete && positions[i].era >= stream->wanted.era;
    }
    if (complete) {
        feed->confirmed_us =
            feed->requested_us -
            (int64_t)MIN(message->confirmed_ago_us, EB_FEED_CONFIRMED_US);
    }
}

/* Returns the events of a message as a new reference, or NULL when it holds
 * something else. */
static json_t *
parse_events(const EbMessage *message)
{
    if (message->text == NULL) {
        return json_array();
    }
    json_t *events = json_loadb(message->text, message->text_bytes,
                                JSON_REJECT_DUPLICATES, NULL);
    bool valid = json_is_array(events);
    for (size_t i = 0; valid && i < json_array_size(events); i++) {
        valid =
            json_is_string(json_object_get(json_array_get(events, i), "name"));
    }
    if (!valid) {
        json_decref(events);
        return NULL;
    }
    return events;
}

void
EbStoreFeed_HandlePeerChanges(EbStoreFeed *feed, const char *peer,
                              const EbMessage *message, int64_t now_us)
{
    EbFeedStream index = (EbFeedStream)message->feed_stream;
    EbFeedStreamState *stream = &feed->streams[index];
    EbStorePosition position = {message->era, message->revision};
    if (index >= feed->stream_count) {
        return;
    }
    json_t *events = parse_events(message);
    if (events == NULL) {
        EB_EMIT(&feed->events, EB_EVENT_FEED_INVALID,
                EB_STRING_FIELD("peer", peer),
                EB_STRING_FIELD("kind", EbStoreFeed_stream_names[index]));
        EbStoreFeed_Want(feed, index, &position);
        return;
    }
    note_recovery(feed, message, now_us);
    if (message->base_revision == 0) {
        /* All objects, for a daemon without a list. They count as unconfirmed.
         */
        if (!stream->objects.listed) {
            EbStoreFeed_ApplyList(feed, index, &position, events, now_us);
        }
    }
    else {
        EbObjectChanges changes = {.base_revision = message->base_revision,
                                   .position = position,
                                   .exact_base = message->exact_base,
                                   .events = events};
        EbStoreFeed_ApplyChanges(feed, index, &changes, now_us);
    }
    json_decref(events);
}

void
EbStoreFeed_Ask(EbStoreFeed *feed, int64_t now_us)
{
    if (feed->awaiting_status) {
        ask_next_source(feed);
    }
    send_request(feed, now_us);
}
