#include "ebonyhollow/store_feed.h"

#include <string.h>

#include "store_feed_state.h"

/* A source starts to watch the store this long after it listed its objects. By
 * then most daemons that started together know each other, and those that are
 * no sources have found out. */
#define SOURCE_START_US 700000
/* Failed reads of a stream in a row that count as an outage of the store. */
#define OUTAGE_FAILURES 2
/* From the second failed read in a row a daemon that is no source pauses
 * before it tries again, so that in an outage the calls of all daemons don't
 * add up. It is below the 3 s that a deployment allows for finding out that
 * the store is back. */
#define READ_PAUSE_US 2500000
/* The pause when a whole round of sources could not read the store either. The
 * first of them that can again answers the next request. */
#define OUTAGE_PAUSE_US 8000000
/* A daemon that nobody asked for this time needs no probes. */
#define ASKED_US 3000000

const char *const EbStoreFeed_stream_names[EB_FEED_STREAM_COUNT] = {
    [EB_FEED_CONFIG] = "configuration",
    [EB_FEED_SERVERS] = "servers",
    [EB_FEED_EVACUATIONS] = "evacuations",
};

EbStoreFeed *
EbStoreFeed_New(const EbStoreFeedOptions *options)
{
    EbStoreFeed *feed = g_new0(EbStoreFeed, 1);
    feed->options = *options;
    if (options->events != NULL) {
        feed->events = *options->events;
    }
    feed->stream_count = options->follow_evacuations ? EB_FEED_STREAM_COUNT
                                                     : EB_FEED_FIRST_STREAMS;
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        feed->streams[i] =
            (EbFeedStreamState){.must_read = (uint32_t)i < feed->stream_count,
                                .read_us = INT64_MIN};
        EbObjectStream_Init(&feed->streams[i].objects);
    }
    feed->subscribers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->is_source = true;
    feed->sources = g_ptr_array_new_with_free_func(g_free);
    feed->confirmed_us = INT64_MIN;
    feed->recovered_us = INT64_MIN;
    feed->answered_us = INT64_MIN;
    feed->asked_us = INT64_MIN;
    return feed;
}

void
EbStoreFeed_Free(EbStoreFeed *feed)
{
    if (feed == NULL) {
        return;
    }
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        EbObjectStream_Clear(&feed->streams[i].objects);
    }
    g_hash_table_destroy(feed->subscribers);
    g_ptr_array_free(feed->sources, TRUE);
    g_free(feed);
}

void
EbStoreFeed_SetSources(EbStoreFeed *feed, bool is_source,
                       const char *const *sources, size_t count,
                       int64_t now_us)
{
    char *asked = feed->sources->len > 0
                      ? g_strdup(feed->sources->pdata[feed->current])
                      : NULL;
    bool kept = false;
    feed->is_source = is_source;
    feed->current = 0;
    g_ptr_array_set_size(feed->sources, 0);
    for (size_t i = 0; i < count; i++) {
        g_ptr_array_add(feed->sources, g_strdup(sources[i]));
        if (asked != NULL && strcmp(asked, sources[i]) == 0) {
            feed->current = (guint)i;
            kept = true;
        }
    }
    g_free(asked);
    if (!kept) {
        feed->awaiting_status = false;
        feed->next_request_us = now_us;
    }
}

bool
EbStoreFeed_IsListed(const EbStoreFeed *feed)
{
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        if (!feed->streams[i].objects.listed) {
            return false;
        }
    }
    return true;
}

bool
EbStoreFeed_HasFailed(const EbStoreFeed *feed)
{
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        if (feed->streams[i].failures > 0) {
            return true;
        }
    }
    return false;
}

void
EbStoreFeed_WritePositions(const EbStoreFeed *feed, EbMessage *message)
{
    const EbStorePosition *config =
        &feed->streams[EB_FEED_CONFIG].objects.position;
    const EbStorePosition *servers =
        &feed->streams[EB_FEED_SERVERS].objects.position;
    message->config_revision = config->revision;
    message->config_era = config->era;
    message->servers_revision = servers->revision;
    message->servers_era = servers->era;
    if (feed->stream_count > EB_FEED_FIRST_STREAMS) {
        const EbStorePosition *evacuations =
            &feed->streams[EB_FEED_EVACUATIONS].objects.position;
        message->evacuations_revision = evacuations->revision;
        message->evacuations_era = evacuations->era;
        message->feed_streams = feed->stream_count;
    }
}

uint32_t
EbStoreFeed_ReadPositions(const EbStoreFeed *feed, const EbMessage *message,
                          EbStorePosition positions[])
{
    positions[EB_FEED_CONFIG] =
        (EbStorePosition){message->config_era, message->config_revision};
    positions[EB_FEED_SERVERS] =
        (EbStorePosition){message->servers_era, message->servers_revision};
    positions[EB_FEED_EVACUATIONS] = (EbStorePosition){
        message->evacuations_era, message->evacuations_revision};
    return MIN(MAX(message->feed_streams, EB_FEED_FIRST_STREAMS),
               feed->stream_count);
}

/* What the store returned */

/* Reports the events that an update of a stream returned and passes them on.
 * Takes over the reference. */
static void
publish(EbStoreFeed *feed, EbFeedStream index, json_t *events, bool restored,
        int64_t now_us)
{
    if (json_array_size(events) > 0) {
        feed->options.changed(feed->options.context, index, events, restored,
                              now_us);
        EbStoreFeed_SendToSubscribers(feed, index, now_us);
    }
    json_decref(events);
}

void
EbStoreFeed_ApplyList(EbStoreFeed *feed, EbFeedStream index,
                      const EbStorePosition *position, const json_t *items,
                      int64_t now_us)
{
    EbObjectStream *objects = &feed->streams[index].objects;
    bool restored = objects->listed && position->era > objects->position.era;
    if (!objects->listed) {
        feed->streams[index].listed_us = now_us;
    }
    publish(feed, index,
            EbObjectStream_ApplyList(objects, position, items, now_us),
            restored, now_us);
}

void
EbStoreFeed_ApplyChanges(EbStoreFeed *feed, EbFeedStream index,
                         const EbObjectChanges *changes, int64_t now_us)
{
    publish(feed, index,
            EbObjectStream_ApplyChanges(&feed->streams[index].objects, changes,
                                        now_us),
            false, now_us);
}

void
EbStoreFeed_Want(EbStoreFeed *feed, EbFeedStream index,
                 const EbStorePosition *position)
{
    EbFeedStreamState *stream = &feed->streams[index];
    if (EbStorePosition_Compare(&stream->wanted, position) < 0) {
        stream->wanted = *position;
    }
}

void
EbStoreFeed_StartEra(EbStoreFeed *feed, uint64_t era, int64_t now_us)
{
    EbStorePosition start = {.era = era};
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        const EbObjectStream *objects = &feed->streams[i].objects;
        if (objects->listed && objects->position.era < era) {
            feed->recovered_us = now_us;
        }
        EbStoreFeed_Want(feed, (EbFeedStream)i, &start);
    }
}

static void
mark_read(EbStoreFeed *feed, EbFeedStreamState *stream, int64_t now_us)
{
    if (stream->failures >= OUTAGE_FAILURES) {
        feed->recovered_us = now_us;
    }
    stream->readable = true;
    stream->read_us = now_us;
    feed->answered_us = now_us;
    stream->failures = 0;
}

void
EbStoreFeed_HandleList(EbStoreFeed *feed, EbFeedStream index,
                       const EbStorePosition *position, const json_t *items,
                       int64_t now_us)
{
    mark_read(feed, &feed->streams[index], now_us);
    EbStoreFeed_ApplyList(feed, index, position, items, now_us);
}

void
EbStoreFeed_HandleChanges(EbStoreFeed *feed, EbFeedStream index,
                          uint64_t base_revision,
                          const EbStorePosition *position,
                          const json_t *events, int64_t now_us)
{
    EbObjectChanges changes = {.base_revision = base_revision,
                               .position = *position,
                               .events = events};
    mark_read(feed, &feed->streams[index], now_us);
    EbStoreFeed_ApplyChanges(feed, index, &changes, now_us);
}

void
EbStoreFeed_HandleProbe(EbStoreFeed *feed, int64_t latency_us, int64_t now_us)
{
    feed->answered_us = now_us;
    feed->answer_latency_us = latency_us;
}

void
EbStoreFeed_HandleFailure(EbStoreFeed *feed, EbFeedStream index,
                          int64_t now_us)
{
    EbFeedStreamState *stream = &feed->streams[index];
    stream->readable = false;
    stream->failures++;
    if (!feed->is_source && stream->objects.listed && stream->failures > 1) {
        stream->pause_until_us =
            now_us + (feed->sources_failing ? OUTAGE_PAUSE_US : READ_PAUSE_US);
    }
}

int64_t
EbStoreFeed_RecoveredAt(const EbStoreFeed *feed)
{
    return feed->recovered_us;
}

void
EbStoreFeed_Receive(EbStoreFeed *feed, const char *peer,
                    const EbMessage *message, int64_t now_us)
{
    switch (message->kind) {
    case EB_MESSAGE_FEED_REQUEST:
        EbStoreFeed_AnswerRequest(feed, peer, message, now_us);
        break;
    case EB_MESSAGE_FEED_CHANGES:
        EbStoreFeed_HandlePeerChanges(feed, peer, message, now_us);
        break;
    case EB_MESSAGE_FEED_STATUS:
        EbStoreFeed_HandleStatus(feed, message, now_us);
        break;
    default:
        break;
    }
}

/* Whether to read the store */

static int64_t
confirmed_until(const EbStoreFeed *feed)
{
    int64_t own_us = INT64_MAX;
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        own_us = MIN(own_us, feed->streams[i].read_us);
    }
    int64_t confirmed_us = MAX(own_us, feed->confirmed_us);
    return confirmed_us == INT64_MIN ? INT64_MIN
                                     : confirmed_us + EB_FEED_CONFIRMED_US;
}

/* Returns whether a stream is not read since another one shows whether the
 * store answers. While it fails, one stream is enough to find out. */
static bool
waits_for_other(const EbStoreFeed *feed, const EbFeedStreamState *stream)
{
    const EbFeedStreamState *first = &feed->streams[EB_FEED_CONFIG];
    return stream != first && stream->objects.listed && first->failures > 0;
}

/* Returns why a stream is to be read from the store, or NULL. */
static const char *
read_cause(const EbStoreFeed *feed, const EbFeedStreamState *stream,
           int64_t now_us)
{
    if (!stream->objects.listed) {
        return "start";
    }
    if (feed->is_source) {
        return now_us >= stream->listed_us + SOURCE_START_US ? "source" : NULL;
    }
    if (now_us < stream->pause_until_us) {
        return NULL;
    }
    if (EbStorePosition_Compare(&stream->objects.position, &stream->wanted) <
        0) {
        return "behind";
    }
    return now_us >= confirmed_until(feed) && !waits_for_other(feed, stream)
               ? "unconfirmed"
               : NULL;
}

static void
decide_reads(EbStoreFeed *feed, int64_t now_us)
{
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        EbFeedStreamState *stream = &feed->streams[i];
        const char *cause = read_cause(feed, stream, now_us);
        if ((cause != NULL) == stream->must_read) {
            continue;
        }
        stream->must_read = cause != NULL;
        stream->readable = false;
        EB_EMIT(
            &feed->events, EB_EVENT_STORE_READS,
            EB_STRING_FIELD("kind", EbStoreFeed_stream_names[i]),
            EB_STRING_FIELD("cause", cause != NULL ? cause : "confirmed"),
            EB_INTEGER_FIELD("revision", stream->objects.position.revision));
    }
}

/* Returns whether this daemon asks other daemons: for changes unless it is a
 * source, or for everything when it could not list the objects itself. */
static bool
must_ask(const EbStoreFeed *feed)
{
    if (feed->sources->len == 0) {
        return false;
    }
    if (EbStoreFeed_IsListed(feed)) {
        return !feed->is_source;
    }
    return EbStoreFeed_HasFailed(feed);
}

void
EbStoreFeed_Tick(EbStoreFeed *feed, int64_t now_us)
{
    if (must_ask(feed) && now_us >= feed->next_request_us) {
        EbStoreFeed_Ask(feed, now_us);
    }
    decide_reads(feed, now_us);
    feed->probing = feed->is_source && feed->asked_us != INT64_MIN &&
                    now_us - feed->asked_us < ASKED_US;
}

int64_t
EbStoreFeed_NextTimer(const EbStoreFeed *feed)
{
    int64_t next_us = must_ask(feed) ? feed->next_request_us : INT64_MAX;
    if (!EbStoreFeed_IsListed(feed)) {
        return next_us;
    }
    for (uint32_t i = 0; i < feed->stream_count; i++) {
        const EbFeedStreamState *stream = &feed->streams[i];
        if (stream->must_read ||
            (!feed->is_source && waits_for_other(feed, stream))) {
            continue;
        }
        int64_t due_us = feed->is_source ? stream->listed_us + SOURCE_START_US
                                         : MAX(confirmed_until(feed),
                                               stream->pause_until_us);
        next_us = MIN(next_us, due_us);
    }
    return next_us;
}

bool
EbStoreFeed_MustRead(const EbStoreFeed *feed, EbFeedStream stream)
{
    return feed->streams[stream].must_read;
}

bool
EbStoreFeed_MustProbe(const EbStoreFeed *feed)
{
    return feed->probing;
}

bool
EbStoreFeed_Position(const EbStoreFeed *feed, EbFeedStream stream,
                     EbStorePosition *position)
{
    const EbFeedStreamState *state = &feed->streams[stream];
    *position = state->objects.position;
    return state->objects.listed && position->era >= state->wanted.era;
}

bool
EbStoreFeed_IsKnown(const EbStoreFeed *feed, EbFeedStream stream)
{
    return feed->streams[stream].objects.listed;
}
