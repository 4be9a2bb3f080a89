#include "ebonyhollow/store_feed.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "object_stream.h"

/* A source starts to watch the store this long after it listed its objects. By
 * then most daemons that started together know each other, and those that are
 * no sources have found out. */
#define SOURCE_START_US 700000
/* Sources asked in a row before a pause. */
#define REFUSALS_MAX 6
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
/* A daemon that sent no request for this time is sent no more changes. */
#define SUBSCRIBER_US (3LL * EB_FEED_REQUEST_INTERVAL_US)
/* A source without an answer of the store for this time answers no requests.
 * While the store is slow, the time of its answers does not count up to the
 * maximum. */
#define ANSWER_AGE_MAX_US (2LL * EB_FEED_PROBE_INTERVAL_US)
#define LATENCY_MAX_US 4000000
/* A daemon that nobody asked for this time needs no probes. */
#define ASKED_US 3000000
/* The end of an outage is passed on for this time. */
#define RECOVERY_TOLD_US 10000000

typedef struct {
    EbObjectStream objects;
    bool must_read;
    bool readable;   /* the last read succeeded */
    int64_t read_us; /* time of the last successful read */
    int64_t listed_us;
    uint32_t failures;        /* of reads, in a row */
    int64_t pause_until_us;   /* no reads before this time */
    uint64_t wanted_revision; /* a source knows it, but can't send what led
                                 there */
} Stream;

/* A daemon that gets its changes from this one. */
typedef struct {
    uint64_t revisions[EB_FEED_STREAM_COUNT];
    int64_t expires_us;
} Subscriber;

struct EbStoreFeed {
    EbStoreFeedOptions options;
    EbEventSink events;
    Stream streams[EB_FEED_STREAM_COUNT];
    GHashTable *subscribers; /* instance -> Subscriber */

    bool is_source;
    GPtrArray *sources; /* instances */
    guint current;      /* index of the source that is asked */
    uint64_t request;   /* number of the last request */
    bool awaiting_status;
    int64_t requested_us;
    int64_t next_request_us;
    guint refusals;         /* in a row */
    guint failing_refusals; /* of these, for a failed read of the store */
    /* Every source of the last round of REFUSALS_MAX had a failed read. */
    bool sources_failing;
    int64_t confirmed_us; /* by a source */
    int64_t recovered_us;
    int64_t answered_us;       /* last answer of the store to this daemon */
    int64_t answer_latency_us; /* of the last probe */
    int64_t asked_us;          /* last request of another daemon */
    bool probing;              /* as decided by the last Tick */
};

static const char *const stream_names[EB_FEED_STREAM_COUNT] = {
    [EB_FEED_CONFIG] = "configuration",
    [EB_FEED_SERVERS] = "servers",
};

EbStoreFeed *
EbStoreFeed_New(const EbStoreFeedOptions *options)
{
    EbStoreFeed *feed = g_new0(EbStoreFeed, 1);
    feed->options = *options;
    if (options->events != NULL) {
        feed->events = *options->events;
    }
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        feed->streams[i] = (Stream){.must_read = true, .read_us = INT64_MIN};
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

static bool
all_listed(const EbStoreFeed *feed)
{
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        if (!feed->streams[i].objects.listed) {
            return false;
        }
    }
    return true;
}

static bool
is_stream_current(const Stream *stream)
{
    return stream->objects.listed && stream->must_read && stream->readable &&
           stream->failures == 0 &&
           stream->objects.revision >= stream->wanted_revision;
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
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        if (!is_stream_current(&feed->streams[i])) {
            return false;
        }
    }
    return true;
}

static bool
has_failed(const EbStoreFeed *feed)
{
    return feed->streams[EB_FEED_CONFIG].failures > 0 ||
           feed->streams[EB_FEED_SERVERS].failures > 0;
}

/* Sending changes to other daemons */

static uint64_t
recovered_ago(const EbStoreFeed *feed, int64_t now_us)
{
    if (feed->recovered_us == INT64_MIN ||
        now_us - feed->recovered_us > RECOVERY_TOLD_US) {
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
    message->revision = feed->streams[message->feed_stream].objects.revision;
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
send_changes(EbStoreFeed *feed, const char *instance, Subscriber *subscriber,
             EbFeedStream index, int64_t now_us)
{
    EbObjectStream *objects = &feed->streams[index].objects;
    EbMessage message = {.feed_stream = index,
                         .base_revision = subscriber->revisions[index]};
    if (message.base_revision >= objects->revision) {
        return;
    }
    char *text = EbObjectStream_WriteChanges(objects, message.base_revision,
                                             EB_FEED_MAX_TEXT_BYTES,
                                             &message.exact_base);
    if (text != NULL && send_events(feed, instance, &message, text, now_us)) {
        subscriber->revisions[index] = objects->revision;
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
    return ((const Subscriber *)value)->expires_us <=
           *(const int64_t *)context;
}

static void
send_to_subscribers(EbStoreFeed *feed, EbFeedStream index, int64_t now_us)
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
        send_changes(feed, instance, subscriber, index, now_us);
    }
}

/* Sends the changes that a daemon asks for, and from now on those that come.
 */
static void
add_subscriber(EbStoreFeed *feed, const char *peer,
               const uint64_t revisions[EB_FEED_STREAM_COUNT], int64_t now_us)
{
    Subscriber *subscriber = g_hash_table_lookup(feed->subscribers, peer);
    if (subscriber == NULL) {
        subscriber = g_new0(Subscriber, 1);
        g_hash_table_insert(feed->subscribers, g_strdup(peer), subscriber);
    }
    subscriber->expires_us = now_us + SUBSCRIBER_US;
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        subscriber->revisions[i] = revisions[i];
        send_changes(feed, peer, subscriber, (EbFeedStream)i, now_us);
    }
}

static void
answer_request(EbStoreFeed *feed, const char *peer, const EbMessage *request,
               int64_t now_us)
{
    const uint64_t revisions[EB_FEED_STREAM_COUNT] = {
        [EB_FEED_CONFIG] = request->config_revision,
        [EB_FEED_SERVERS] = request->servers_revision};
    bool all_listed_there = true;
    feed->asked_us = now_us;
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        if (revisions[i] == 0) {
            send_all_objects(feed, peer, (EbFeedStream)i, now_us);
            all_listed_there = false;
        }
    }
    EbMessage status = {.kind = EB_MESSAGE_FEED_STATUS,
                        .feed_request = request->feed_request,
                        .feed_reading = is_reading(feed, now_us),
                        .feed_failing = has_failed(feed),
                        .recovered_ago_us = recovered_ago(feed, now_us)};
    if (status.feed_reading) {
        status.confirmed_ago_us = (uint64_t)answer_age(feed, now_us);
        status.config_revision =
            feed->streams[EB_FEED_CONFIG].objects.revision;
        status.servers_revision =
            feed->streams[EB_FEED_SERVERS].objects.revision;
    }
    if (status.feed_reading && all_listed_there) {
        add_subscriber(feed, peer, revisions, now_us);
    }
    feed->options.send(feed->options.context, peer, &status, now_us);
}

/* What the store returned */

/* Reports the events that an update of a stream returned and passes them on.
 * Takes over the reference. */
static void
publish(EbStoreFeed *feed, EbFeedStream index, json_t *events, int64_t now_us)
{
    if (json_array_size(events) > 0) {
        feed->options.changed(feed->options.context, index, events, now_us);
        send_to_subscribers(feed, index, now_us);
    }
    json_decref(events);
}

static void
mark_read(EbStoreFeed *feed, Stream *stream, int64_t now_us)
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
                       uint64_t revision, const json_t *items, int64_t now_us)
{
    Stream *stream = &feed->streams[index];
    if (!stream->objects.listed) {
        stream->listed_us = now_us;
    }
    mark_read(feed, stream, now_us);
    publish(
        feed, index,
        EbObjectStream_ApplyList(&stream->objects, revision, items, now_us),
        now_us);
}

void
EbStoreFeed_HandleChanges(EbStoreFeed *feed, EbFeedStream index,
                          uint64_t base_revision, uint64_t revision,
                          const json_t *events, int64_t now_us)
{
    Stream *stream = &feed->streams[index];
    mark_read(feed, stream, now_us);
    EbObjectChanges changes = {.base_revision = base_revision,
                               .revision = revision,
                               .events = events};
    publish(feed, index,
            EbObjectStream_ApplyChanges(&stream->objects, &changes, now_us),
            now_us);
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
    Stream *stream = &feed->streams[index];
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

/* Asking a source */

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
    EbMessage request = {
        .kind = EB_MESSAGE_FEED_REQUEST,
        .feed_request = ++feed->request,
        .config_revision = feed->streams[EB_FEED_CONFIG].objects.revision,
        .servers_revision = feed->streams[EB_FEED_SERVERS].objects.revision};
    guint attempts = MIN(feed->sources->len, REFUSALS_MAX);
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
    if (feed->refusals < MIN(feed->sources->len, REFUSALS_MAX)) {
        send_request(feed, now_us);
        return;
    }
    feed->sources_failing = feed->failing_refusals >= REFUSALS_MAX;
    feed->refusals = 0;
    feed->failing_refusals = 0;
}

static void
note_recovery(EbStoreFeed *feed, const EbMessage *message, int64_t now_us)
{
    if (message->recovered_ago_us > 0 &&
        message->recovered_ago_us <= RECOVERY_TOLD_US) {
        feed->recovered_us = MAX(feed->recovered_us,
                                 now_us - (int64_t)message->recovered_ago_us);
    }
}

/* The state is confirmed as of the time at which the store last answered the
 * source, reckoned back from the request, since clocks are unrelated. */
static void
handle_status(EbStoreFeed *feed, const EbMessage *message, int64_t now_us)
{
    if (!feed->awaiting_status || message->feed_request != feed->request) {
        return;
    }
    feed->awaiting_status = false;
    if (!message->feed_reading) {
        handle_refusal(feed, message->feed_failing, now_us);
        return;
    }
    feed->refusals = 0;
    feed->failing_refusals = 0;
    feed->sources_failing = false;
    note_recovery(feed, message, now_us);
    const uint64_t revisions[EB_FEED_STREAM_COUNT] = {
        [EB_FEED_CONFIG] = message->config_revision,
        [EB_FEED_SERVERS] = message->servers_revision};
    bool complete = true;
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        Stream *stream = &feed->streams[i];
        /* The store is back, if it was away. */
        stream->pause_until_us = 0;
        stream->failures = stream->must_read ? stream->failures : 0;
        if (stream->objects.revision < revisions[i]) {
            stream->wanted_revision = revisions[i];
            complete = false;
        }
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

/* Takes over another daemon's list of a stream if there is none yet. It counts
 * as unconfirmed. */
static void
take_all_objects(EbStoreFeed *feed, EbFeedStream index, uint64_t revision,
                 const json_t *items, int64_t now_us)
{
    Stream *stream = &feed->streams[index];
    if (stream->objects.listed) {
        return;
    }
    stream->listed_us = now_us;
    publish(
        feed, index,
        EbObjectStream_ApplyList(&stream->objects, revision, items, now_us),
        now_us);
}

static void
handle_changes(EbStoreFeed *feed, const char *peer, const EbMessage *message,
               int64_t now_us)
{
    EbFeedStream index = (EbFeedStream)message->feed_stream;
    Stream *stream = &feed->streams[index];
    json_t *events = parse_events(message);
    if (events == NULL) {
        EB_EMIT(&feed->events, EB_EVENT_FEED_INVALID,
                EB_STRING_FIELD("peer", peer),
                EB_STRING_FIELD("kind", stream_names[index]));
        stream->wanted_revision =
            MAX(stream->wanted_revision, message->revision);
        return;
    }
    note_recovery(feed, message, now_us);
    if (message->base_revision == 0) {
        take_all_objects(feed, index, message->revision, events, now_us);
        json_decref(events);
        return;
    }
    EbObjectChanges changes = {.base_revision = message->base_revision,
                               .revision = message->revision,
                               .exact_base = message->exact_base,
                               .events = events};
    publish(feed, index,
            EbObjectStream_ApplyChanges(&stream->objects, &changes, now_us),
            now_us);
    json_decref(events);
}

void
EbStoreFeed_Receive(EbStoreFeed *feed, const char *peer,
                    const EbMessage *message, int64_t now_us)
{
    switch (message->kind) {
    case EB_MESSAGE_FEED_REQUEST:
        answer_request(feed, peer, message, now_us);
        break;
    case EB_MESSAGE_FEED_CHANGES:
        handle_changes(feed, peer, message, now_us);
        break;
    case EB_MESSAGE_FEED_STATUS:
        handle_status(feed, message, now_us);
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
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        own_us = MIN(own_us, feed->streams[i].read_us);
    }
    int64_t confirmed_us = MAX(own_us, feed->confirmed_us);
    return confirmed_us == INT64_MIN ? INT64_MIN
                                     : confirmed_us + EB_FEED_CONFIRMED_US;
}

/* Returns whether a stream is not read since another one shows whether the
 * store answers. While it fails, one stream is enough to find out. */
static bool
waits_for_other(const EbStoreFeed *feed, const Stream *stream)
{
    const Stream *first = &feed->streams[EB_FEED_CONFIG];
    return stream != first && stream->objects.listed && first->failures > 0;
}

/* Returns why a stream is to be read from the store, or NULL. */
static const char *
read_cause(const EbStoreFeed *feed, const Stream *stream, int64_t now_us)
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
    if (stream->objects.revision < stream->wanted_revision) {
        return "behind";
    }
    return now_us >= confirmed_until(feed) && !waits_for_other(feed, stream)
               ? "unconfirmed"
               : NULL;
}

static void
decide_reads(EbStoreFeed *feed, int64_t now_us)
{
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        Stream *stream = &feed->streams[i];
        const char *cause = read_cause(feed, stream, now_us);
        if ((cause != NULL) == stream->must_read) {
            continue;
        }
        stream->must_read = cause != NULL;
        stream->readable = false;
        EB_EMIT(&feed->events, EB_EVENT_STORE_READS,
                EB_STRING_FIELD("kind", stream_names[i]),
                EB_STRING_FIELD("cause", cause != NULL ? cause : "confirmed"),
                EB_INTEGER_FIELD("revision", stream->objects.revision));
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
    if (all_listed(feed)) {
        return !feed->is_source;
    }
    return has_failed(feed);
}

void
EbStoreFeed_Tick(EbStoreFeed *feed, int64_t now_us)
{
    if (must_ask(feed) && now_us >= feed->next_request_us) {
        if (feed->awaiting_status) {
            ask_next_source(feed);
        }
        send_request(feed, now_us);
    }
    decide_reads(feed, now_us);
    feed->probing = feed->is_source && feed->asked_us != INT64_MIN &&
                    now_us - feed->asked_us < ASKED_US;
}

int64_t
EbStoreFeed_NextTimer(const EbStoreFeed *feed)
{
    int64_t next_us = must_ask(feed) ? feed->next_request_us : INT64_MAX;
    if (!all_listed(feed)) {
        return next_us;
    }
    for (int i = 0; i < EB_FEED_STREAM_COUNT; i++) {
        const Stream *stream = &feed->streams[i];
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

uint64_t
EbStoreFeed_Revision(const EbStoreFeed *feed, EbFeedStream stream)
{
    const EbObjectStream *objects = &feed->streams[stream].objects;
    return objects->listed ? objects->revision : 0;
}
