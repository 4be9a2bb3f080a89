/* State shared by the files of EbStoreFeed.
 *
 * store_feed.c        what the store returned, and whether to read it
 * store_feed_ask.c    asking a source, and its answers
 * store_feed_serve.c  answering other daemons
 * object_stream.c     the objects of one kind */
#ifndef EB_STORE_FEED_STATE_H
#define EB_STORE_FEED_STATE_H

#include <glib.h>

#include "ebonyhollow/store_feed.h"
#include "object_stream.h"

/* Sources asked in a row before a pause. */
#define EB_FEED_REFUSALS_MAX 6
/* The end of an outage is passed on for this time. */
#define EB_FEED_RECOVERY_TOLD_US 10000000

typedef struct {
    EbObjectStream objects;
    bool must_read;
    bool readable;   /* the last read succeeded */
    int64_t read_us; /* time of the last successful read */
    int64_t listed_us;
    uint32_t failures;      /* of reads, in a row */
    int64_t pause_until_us; /* no reads before this time */
    EbStorePosition wanted; /* a source knows it, but can't send what led
                               there */
} EbFeedStreamState;

/* A daemon that gets its changes from this one. */
typedef struct {
    EbStorePosition positions[EB_FEED_STREAM_COUNT];
    uint32_t stream_count; /* it wants the first of them */
    int64_t expires_us;
} EbFeedSubscriber;

struct EbStoreFeed {
    EbStoreFeedOptions options;
    EbEventSink events;
    EbFeedStreamState streams[EB_FEED_STREAM_COUNT];
    uint32_t stream_count;   /* the first of them are followed */
    GHashTable *subscribers; /* instance -> EbFeedSubscriber */

    bool is_source;
    GPtrArray *sources; /* instances */
    guint current;      /* index of the source that is asked */
    uint64_t request;   /* number of the last request */
    bool awaiting_status;
    int64_t requested_us;
    int64_t next_request_us;
    guint refusals;         /* in a row */
    guint failing_refusals; /* of these, for a failed read of the store */
    /* Every source of the last round of EB_FEED_REFUSALS_MAX had a failed
     * read. */
    bool sources_failing;
    int64_t confirmed_us; /* by a source */
    int64_t recovered_us;
    int64_t answered_us;       /* last answer of the store to this daemon */
    int64_t answer_latency_us; /* of the last probe */
    int64_t asked_us;          /* last request of another daemon */
    bool probing;              /* as decided by the last Tick */
};

/* Names of the streams in the log. */
extern const char *const EbStoreFeed_stream_names[EB_FEED_STREAM_COUNT];

/* store_feed.c */

/* Apply what the store or a source told to the known objects, report the
 * events that change something and pass them on. */
void EbStoreFeed_ApplyList(EbStoreFeed *feed, EbFeedStream index,
                           const EbStorePosition *position,
                           const json_t *items, int64_t now_us);
void EbStoreFeed_ApplyChanges(EbStoreFeed *feed, EbFeedStream index,
                              const EbObjectChanges *changes, int64_t now_us);

/* Makes a stream be read from the store until it has reached the position. */
void EbStoreFeed_Want(EbStoreFeed *feed, EbFeedStream index,
                      const EbStorePosition *position);

/* Sets the fields of a message that tell what this daemon knows of the streams
 * that it follows. */
void EbStoreFeed_WritePositions(const EbStoreFeed *feed, EbMessage *message);

/* Reads these fields. Returns the number of streams that the sender follows
 * too; the positions of the others are zeroed. */
uint32_t EbStoreFeed_ReadPositions(const EbStoreFeed *feed,
                                   const EbMessage *message,
                                   EbStorePosition positions[]);

/* Returns whether every stream was listed. */
bool EbStoreFeed_IsListed(const EbStoreFeed *feed);

/* Returns whether the last read of any stream failed. */
bool EbStoreFeed_HasFailed(const EbStoreFeed *feed);

/* store_feed_ask.c */

/* Asks the current source, or the next one to which a message can be sent. The
 * next one is asked if the last request has no answer. */
void EbStoreFeed_Ask(EbStoreFeed *feed, int64_t now_us);
void EbStoreFeed_HandleStatus(EbStoreFeed *feed, const EbMessage *message,
                              int64_t now_us);
void EbStoreFeed_HandlePeerChanges(EbStoreFeed *feed, const char *peer,
                                   const EbMessage *message, int64_t now_us);

/* store_feed_serve.c */
void EbStoreFeed_AnswerRequest(EbStoreFeed *feed, const char *peer,
                               const EbMessage *request, int64_t now_us);

/* Sends the last changes of a stream to the daemons that asked lately, if this
 * daemon reads the store. */
void EbStoreFeed_SendToSubscribers(EbStoreFeed *feed, EbFeedStream index,
                                   int64_t now_us);

#endif
