/* Declarations shared by the files of EbDaemon. */
#ifndef EB_DAEMON_INTERNAL_H
#define EB_DAEMON_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "client_guard.h"
#include "clock.h"
#include "ebonyhollow/action.h"
#include "ebonyhollow/admin_server.h"
#include "ebonyhollow/backend_client.h"
#include "ebonyhollow/batcher.h"
#include "ebonyhollow/caller_server.h"
#include "ebonyhollow/config_manager.h"
#include "ebonyhollow/daemon.h"
#include "ebonyhollow/daemon_load.h"
#include "ebonyhollow/directives.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/evacuations.h"
#include "ebonyhollow/forward_client.h"
#include "ebonyhollow/forward_server.h"
#include "ebonyhollow/ledger.h"
#include "ebonyhollow/limiter.h"
#include "ebonyhollow/log.h"
#include "ebonyhollow/membership.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/peer_link.h"
#include "ebonyhollow/platform_adapter.h"
#include "ebonyhollow/platform_client.h"
#include "ebonyhollow/preparation_table.h"
#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/random.h"
#include "ebonyhollow/restored_config.h"
#include "ebonyhollow/server_registry.h"
#include "ebonyhollow/store_feed.h"
#include "ebonyhollow/suspects.h"
#include "release_calls.h"

#define EB_DAEMON_SIGNALS 3 /* SIGTERM, SIGINT, SIGHUP */
#define EB_INSTANCES_KIND "instances"
#define EB_QUARANTINE_KIND "quarantine"

/* States of a graceful shutdown, in their order. */
typedef enum {
    EB_DRAIN_NONE,
    EB_DRAIN_DELAY,     /* not ready; the listeners stay open */
    EB_DRAIN_FINISHING, /* refuses new requests, finishes the others */
    EB_DRAIN_LEAVING,   /* announces to the peers that it leaves */
    EB_DRAIN_STATE_COUNT
} EbDrainState;

extern const char *const EbDrainState_names[EB_DRAIN_STATE_COUNT];

/* Kinds of objects that are listed whole after a change. */
typedef enum {
    EB_LISTED_INSTANCES,
    EB_LISTED_QUARANTINE,
    EB_LISTED_KIND_COUNT
} EbListedKind;

/* State of the listings of one kind. */
typedef struct {
    bool wanted; /* something changed since the last listing started */
    bool running;
    int64_t earliest_us; /* the next listing starts no earlier than this */
} EbDaemonListing;

/* Configuration, backend servers, evacuations and daemons as read from the
 * store of a platform with an adapter. */
typedef struct {
    EbStoreFeed *feed;                  /* from whom changes are learned */
    bool reading[EB_FEED_STREAM_COUNT]; /* the stream's kind is watched */
    bool sources_stale;                 /* the members changed */
    int64_t sources_due_us;             /* earliest time to look at them */
    json_t *config; /* newest configuration object, or NULL */
    EbRestoredConfig restored_config; /* its version, and whether it waits */
    json_t *readable_config;       /* the newest that could be read, or NULL */
    EbServerRegistry *registry;    /* backend servers */
    bool servers_listed;           /* a complete list was read */
    bool daemons_listed;           /* a complete list was read */
    bool evacuations_known;        /* or the deployment has none */
    bool needs_apply;              /* there are changes not yet in force */
    int64_t next_registration_us;  /* next write of this daemon's entry, or
                                      INT64_MAX */
    uint64_t registration_version; /* of that entry; 0 when there is none */
} EbDiscovery;

struct EbDaemon {
    const EbSettings *settings;
    EbDaemonReload reload;
    /* NULL: the protocols of docs/protocols.md and docs/api.md are used. */
    const EbPlatformAdapter *adapter;
    uint64_t incarnation;
    char *peer_address;
    EbRandom random;
    struct event_base *base;
    EbLog *log;
    EbEventSink sink; /* writes to the log and the configuration's history */
    const EbEventSink *events; /* points to `sink` */
    EbMetrics *metrics;

    EbActionQueue *actions;
    GQueue pending_actions;     /* of PendingAction *: actions to perform, each
                                   with the attempt that caused it */
    struct event *action_event; /* performs the pending actions */
    struct event *timer;
    int64_t timer_due_us; /* when `timer` should fire */
    EbDaemonLoad load;

    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    bool quarantine_outdated; /* the stored entries, since the store returned
                                 from an older copy */
    EbSuspects *suspects;
    EbDirectives *directives;
    EbEvacuations *evacuations;
    EbPace *pace;
    EbDispatcher *dispatcher;
    EbConfigManager *config_manager;
    EbMembership *membership;

    EbBackendClient *backend_client;
    EbPlatformClient *platform_client;
    EbClientGuard *client_guard; /* of all listeners but the peers' */
    EbCallerServer *caller_server;
    EbAdminServer *admin_server;
    EbPeerLinks *peer_links;

    /* Used with an adapter. The forward server and client replace
     * `caller_server` and `backend_client`. */
    EbDiscovery discovery;
    EbReleaseCalls *release_calls;
    EbForwardServer *forward_server;
    EbForwardClient *forward_client;
    EbBatcher *batcher;
    EbPreparationTable *preparations;
    /* Instance -> int64_t, the time in microseconds until which it is not
     * chosen as a home of preparations. */
    GHashTable *excluded_homes;

    GHashTable *relays;          /* request handle -> RelayState */
    GHashTable *outcome_queries; /* query number -> peer that was asked */
    GHashTable *store_calls;     /* operation id -> StoreCall */
    GHashTable *leaving_servers; /* name of a backend server's entry that the
                                    platform lists as leaving -> its address */
    EbDaemonListing listings[EB_LISTED_KIND_COUNT];
    GPtrArray *quarantine_writes; /* of QuarantineWrite *: entries that still
                                     have to be stored or deleted */
    uint64_t last_operation_id;
    int64_t next_usage_report_us;
    int64_t next_speed_report_us;
    int64_t next_watch_check_us;
    int64_t next_poll_us;        /* next listing by a daemon without watches */
    int64_t config_requested_us; /* last request for a configuration */
    bool watching;               /* the platform's objects are watched */

    EbDrainState drain_state;
    int64_t drain_state_end_us; /* time limit of the state, or INT64_MAX */
    int64_t finishing_since_us; /* when the listener was closed */
    bool aborted; /* the requests still running were ended early */
    uint64_t unfinished_requests; /* number of these requests */
    struct event *signals[EB_DAEMON_SIGNALS];
};

/* Actions: daemon_action.c */

/* Moves the actions that the modules queued to the pending ones. `attempt_id`
 * is the attempt whose event caused them, or 0. */
void EbDaemon_CollectActions(EbDaemon *daemon, uint64_t attempt_id);

/* Schedules the pending actions, which are then performed before the event
 * loop waits again. Actions are never performed within a client's callback,
 * because evhttp still uses the connection there. */
void EbDaemon_ScheduleActions(EbDaemon *daemon);

/* Callback of `action_event`. */
void EbDaemon_OnActionEvent(evutil_socket_t fd, short what, void *arg);
void EbDaemon_FreePendingActions(EbDaemon *daemon);

/* Callbacks of the clients and of the callers' listener. */
void EbDaemon_OnAttemptEvent(void *context, const EbAttemptEvent *event);
void EbDaemon_OnStoreReply(void *context, const EbStoreReply *reply);
uint64_t EbDaemon_OnSubmit(void *context, const EbSubmission *submission);
void EbDaemon_OnCallerGone(void *context, uint64_t request);
void EbDaemon_OnFlowControl(void *context, uint64_t request, bool paused);

/* Receives the result of EbDaemon_CallStore; `reply` is borrowed. */
typedef void (*EbDaemonStoreDone)(void *context, const EbStoreReply *reply);

/* Starts a store operation of the daemon itself or of the administration API.
 * `done` is called exactly once, but never from within this call.
 *
 * kind, name: of the object; copied. A listing has an empty name.
 * version: expected version of the object for updates and deletions.
 * value: new value for writes, NULL otherwise; the operation takes its own
 *     reference. */
void EbDaemon_CallStore(EbDaemon *daemon, EbStoreOperation operation,
                        const char *kind, const char *name, uint64_t version,
                        json_t *value, EbDaemonStoreDone done, void *context);

/* Messages between daemons: daemon_peer.c */

/* Callbacks of the membership and the dispatcher. */
void EbDaemon_OnPeerMessage(void *context, const char *peer,
                            const EbMessage *message, int64_t now_us);
void EbDaemon_OnMembersChanged(void *context, int64_t now_us);
void EbDaemon_OnGenerationAnnounced(void *context, const char *peer,
                                    uint64_t generation, int64_t now_us);

/* Asks the owner of a claim for the outcome of its key. Returns false if the
 * owner has restarted since it made the claim or can't be reached.
 *
 * query: number that the reply carries. */
bool EbDaemon_AskOwner(void *context, const EbLedgerResult *claim,
                       uint64_t query, const char *customer,
                       const char *key_digest, int64_t now_us);
void EbDaemon_OnServerLeaving(void *context, const char *server_id,
                              int64_t now_us);

/* Answers the peers' outcome queries that can be answered now. */
void EbDaemon_AnswerOutcomeQueries(EbDaemon *daemon, int64_t now_us);

/* Handles the loss of a peer: fails this daemon's outcome queries to it and
 * calls EbDaemon_ForwardPeerUnreachable. */
void EbDaemon_PeerUnreachable(EbDaemon *daemon, const char *peer,
                              int64_t now_us);

/* Reports the demand at this daemon to the home daemon of each customer. */
void EbDaemon_ReportUsage(EbDaemon *daemon, int64_t now_us);

/* Reports to a home daemon at once if the demand of its customers has grown
 * beyond the last report. */
void EbDaemon_ReportUrgentUsage(EbDaemon *daemon, int64_t now_us);

/* The platform's objects: daemon_platform.c */

/* Callbacks of the platform client's watches. */
void EbDaemon_OnObjectsListed(void *context, const char *kind,
                              const EbStorePosition *position, json_t *items);
void EbDaemon_OnObjectsChanged(void *context, const char *kind,
                               uint64_t base_revision,
                               const EbStorePosition *position,
                               json_t *events);
void EbDaemon_OnStoreRestored(void *context, uint64_t era);
void EbDaemon_OnReadFailed(void *context, const char *kind);
void EbDaemon_OnProbed(void *context, int64_t latency_us);

/* Returns a string member of an object of the store, "" when there is none. */
static inline const char *
EbDaemon_GetString(const json_t *object, const char *key)
{
    const char *value = json_string_value(json_object_get(object, key));
    return value != NULL ? value : "";
}

/* Watches the platform's objects if the membership chose this daemon as a
 * watcher; otherwise polls them. */
void EbDaemon_CheckWatches(EbDaemon *daemon, int64_t now_us);

/* Starts the listings that are due. */
void EbDaemon_StartDueListings(EbDaemon *daemon, int64_t now_us);

/* Returns when the next listing is due, or INT64_MAX. */
int64_t EbDaemon_NextListingTime(const EbDaemon *daemon);

/* Tells the dispatcher which backend servers the platform lists as leaving.
 * Must be called after each change of the configuration, because the list may
 * include servers that were not configured before. */
void EbDaemon_MarkLeavingServers(EbDaemon *daemon, int64_t now_us);

/* Quarantine, at the other daemons and in the store: daemon_quarantine.c */

/* Handles the list of the quarantine entries in the store. */
void EbDaemon_HandleQuarantineList(EbDaemon *daemon, json_t *items);

/* Frees an element of `quarantine_writes`; a GDestroyNotify. */
void EbDaemon_FreeQuarantineWrite(void *pointer);

/* Repeats the writes of quarantine entries that are due, and returns when the
 * next one is. */
void EbDaemon_RetryQuarantineWrites(EbDaemon *daemon, int64_t now_us);
int64_t EbDaemon_NextQuarantineWrite(const EbDaemon *daemon);

/* Sends evidence on what crashes servers to all peers. */
void EbDaemon_PublishSuspicions(EbDaemon *daemon, int64_t now_us);

/* Sends what was learned of the limits of servers to all peers. */
void EbDaemon_PublishLimits(EbDaemon *daemon, int64_t now_us);

/* Sends what was learned of the speed of servers to all peers, once in a few
 * seconds. */
void EbDaemon_PublishSpeeds(EbDaemon *daemon, int64_t now_us);

/* Sends changed quarantine entries to all peers and stores them. */
void EbDaemon_PublishQuarantine(EbDaemon *daemon, int64_t now_us);

/* Discovery for a platform with an adapter: daemon_discovery.c */
void EbDiscovery_Init(EbDaemon *daemon);
void EbDiscovery_Clear(EbDiscovery *discovery);

/* Starts watching the configuration and the servers, and listing the daemons
 * periodically. */
void EbDiscovery_Watch(EbDaemon *daemon);

/* Handles a complete list of the objects of a kind; `items` is borrowed. */
void EbDiscovery_HandleList(EbDaemon *daemon, const char *kind,
                            const EbStorePosition *position, json_t *items);

/* Handles the response to a watch; `events` is borrowed. */
void EbDiscovery_HandleChanges(EbDaemon *daemon, const char *kind,
                               uint64_t base_revision,
                               const EbStorePosition *position,
                               json_t *events);

/* Handles that the store has returned from an older copy of itself. */
void EbDiscovery_StartEra(EbDaemon *daemon, uint64_t era);

/* Handles the store's answer to a probe. */
void EbDiscovery_HandleProbe(EbDaemon *daemon, int64_t latency_us);

/* Handles a failed list or watch. */
void EbDiscovery_HandleFailure(EbDaemon *daemon, const char *kind);

/* Handles a FEED_* message. */
void EbDiscovery_HandleMessage(EbDaemon *daemon, const char *peer,
                               const EbMessage *message, int64_t now_us);

/* Must be called when the set of live daemons changed. */
void EbDiscovery_MembersChanged(EbDaemon *daemon);

/* Removes servers that are due for removal, registers this daemon when that is
 * due and puts all changes into force. */
void EbDiscovery_ApplyChanges(EbDaemon *daemon, int64_t now_us);

/* Returns the time at which EbDiscovery_ApplyChanges next has work due, or
 * INT64_MAX. */
int64_t EbDiscovery_NextTimer(const EbDaemon *daemon);

/* Returns the configuration object that is used, borrowed, or NULL, and sets
 * its version. */
const json_t *EbDiscovery_Config(const EbDaemon *daemon, uint64_t *version);

/* Takes over a configuration object that a peer sent, if it is newer. */
void EbDiscovery_OfferConfig(EbDaemon *daemon, const char *text,
                             size_t text_bytes);

/* Forwarded requests and their preparations: daemon_forward.c */

/* Creates the modules that serve requests on a platform with an adapter.
 * Returns false with `error` set if the listener can't be opened. */
bool EbDaemon_CreateForward(EbDaemon *daemon, EbError *error);
void EbDaemon_FreeForward(EbDaemon *daemon);

/* Returns the home of a service, the daemon that batches its work items; valid
 * until the membership changes. */
const char *EbDaemon_FindHome(const EbDaemon *daemon, const char *service,
                              int64_t now_us);

/* Each of these performs the action of the same name. */
void EbDaemon_SendForward(EbDaemon *daemon, const EbSendAttempt *send);
void EbDaemon_SendBatch(EbDaemon *daemon, const EbSendBatch *send);
void EbDaemon_ReleaseResults(EbDaemon *daemon,
                             const EbReleaseResults *release);
void EbDaemon_Prepare(EbDaemon *daemon, const EbPreparationJob *prepare);
void EbDaemon_EndPreparation(EbDaemon *daemon, uint64_t job);

/* Each of these handles the peer message of the same name. `message` is
 * borrowed. */
void EbDaemon_HandlePrepare(EbDaemon *daemon, const char *peer,
                            const EbMessage *message, int64_t now_us);
void EbDaemon_HandlePrepared(EbDaemon *daemon, const char *peer,
                             const EbMessage *message, int64_t now_us);

/* Sends the results of ended preparations to the daemons that asked for them.
 */
void EbDaemon_SendPreparationResults(EbDaemon *daemon, int64_t now_us);

/* Moves preparations away from homes to which no link came up in time. */
void EbDaemon_CheckHomes(EbDaemon *daemon, int64_t now_us);

/* Moves preparations away from a peer that can't be reached any more. Ends the
 * unfinished jobs that it has here; the results of the others are kept for
 * EB_BATCHER_REQUESTER_GRACE_US. */
void EbDaemon_ForwardPeerUnreachable(EbDaemon *daemon, const char *peer,
                                     int64_t now_us);

/* Handles a new link to a peer: keeps the results of the jobs that it has
 * here, or ends these jobs if the peer has restarted. */
void EbDaemon_ForwardPeerUp(EbDaemon *daemon, const char *peer,
                            uint64_t incarnation, int64_t now_us);

/* Timers: daemon_timer.c */
void EbDaemon_OnTimer(evutil_socket_t fd, short what, void *arg);

/* Sets the timer to the earliest time at which a module has work due. */
void EbDaemon_ArmTimer(EbDaemon *daemon);

/* Graceful shutdown: daemon_drain.c */

/* Starts the shutdown unless it has started. `context` is the daemon. */
void EbDaemon_StartDrain(void *context);

/* Ends every request with the outcome that is true now, and allows two seconds
 * for sending the answers. */
void EbDaemon_AbortRequests(EbDaemon *daemon, int64_t now_us);

/* Moves on to the next state of a shutdown when its condition is met. */
void EbDaemon_CheckDrain(EbDaemon *daemon, int64_t now_us);

/* Signals: daemon_signal.c */

/* Handles the signals from the next turn of the event loop on, also those that
 * came while they were blocked. */
void EbDaemon_AddSignals(EbDaemon *daemon);

void EbDaemon_FreeSignals(EbDaemon *daemon);

#endif
