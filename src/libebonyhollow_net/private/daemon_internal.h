/* Parts of EbDaemon shared by its files. */
#ifndef EB_DAEMON_INTERNAL_H
#define EB_DAEMON_INTERNAL_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <glib.h>

#include "clock.h"
#include "ebonyhollow/action.h"
#include "ebonyhollow/admin_server.h"
#include "ebonyhollow/backend_client.h"
#include "ebonyhollow/batcher.h"
#include "ebonyhollow/caller_server.h"
#include "ebonyhollow/config_manager.h"
#include "ebonyhollow/daemon.h"
#include "ebonyhollow/dispatcher.h"
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

#define EB_INSTANCES_KIND "instances"
#define EB_QUARANTINE_KIND "quarantine"

typedef enum {
    EB_DRAIN_NONE,
    EB_DRAIN_DELAY,     /* not ready; listeners stay open */
    EB_DRAIN_FINISHING, /* no new requests; the others finish */
    EB_DRAIN_LEAVING,   /* peers are told */
    EB_DRAIN_STATE_COUNT
} EbDrainState;

extern const char *const EbDrainState_names[EB_DRAIN_STATE_COUNT];

typedef enum {
    EB_LISTED_INSTANCES,
    EB_LISTED_QUARANTINE,
    EB_LISTED_KIND_COUNT
} EbListedKind;

/* Listing of one kind after changes. */
typedef struct {
    bool wanted; /* something changed since the last list began */
    bool running;
    int64_t earliest_us; /* of the next list */
} EbDaemonListing;

/* What the store of a platform with an adapter says of the deployment. */
typedef struct {
    json_t *config;      /* newest configuration object, or NULL */
    GHashTable *servers; /* name to the entry of a server */
    bool servers_listed; /* a whole list was read */
    bool daemons_listed;
    bool changed;               /* to be put into force */
    bool was_up;                /* the store answered last */
    int64_t store_recovered_us; /* end of the store's last outage */
    int64_t removal_due_us;     /* next server to be taken as gone */
    int64_t register_us;        /* next write of this daemon's entry */
    uint64_t own_version;       /* of that entry, 0 when there is none */
} EbDiscovery;

struct EbDaemon {
    const EbSettings *settings;
    const EbPlatformAdapter
        *adapter; /* NULL: docs/protocols.md and docs/api.md */
    uint64_t incarnation;
    char *peer_address;
    EbRandom random;
    struct event_base *base;
    EbLog *log;
    EbEventSink sink; /* to the log, and to the history of generations */
    const EbEventSink *events;
    EbMetrics *metrics;

    EbActionQueue *actions;
    GQueue pending_actions; /* of PendingAction: actions with the attempt they
                               stem from */
    struct event *drain_event; /* works the actions off */
    struct event *timer;

    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDispatcher *dispatcher;
    EbConfigManager *config_manager;
    EbMembership *membership;

    EbBackendClient *backend;
    EbPlatformClient *platform;
    EbCallerServer *callers;
    EbAdminServer *admin;
    EbPeerLinks *links;

    /* With an adapter; they take the place of `callers` and `backend`. */
    EbDiscovery discovery;
    EbForwardServer *forward_server;
    EbForwardClient *forward_client;
    EbBatcher *batcher;
    EbPreparationTable *preparations;
    GHashTable *unreachable; /* instance to the time until which it is no
                                home of preparations */

    GHashTable *flows;   /* request handle -> Flow */
    GHashTable *queries; /* outcome query -> peer */
    GHashTable *stores;  /* operation id -> StoreCall */
    GHashTable *leaving; /* backend instance that the platform listed as
                            leaving -> its address */
    EbDaemonListing lists[EB_LISTED_KIND_COUNT];
    GPtrArray *entry_writes; /* quarantine entries on their way to the
                                platform */
    uint64_t last_operation_id;
    int64_t report_us;    /* next usage reports */
    int64_t watch_us;     /* next check of watches */
    int64_t poll_us;      /* next poll of a daemon without watches */
    int64_t requested_us; /* last request of a configuration body */
    bool watching;

    EbDrainState drain_state;
    int64_t drain_us;     /* end of the state, or INT64_MAX */
    int64_t finishing_us; /* when the listener was closed */
    bool aborted;
    uint64_t cut_requests;
    struct event *signals[3];
};

/* Action routing: daemon_action.c */

/* Moves new actions to the pending ones; `attempt_id` is the attempt whose
 * event caused them, or 0. */
void EbDaemon_CollectActions(EbDaemon *daemon, uint64_t attempt_id);

/* Has the actions worked off before the loop waits again. Actions are never
 * performed from within a client's callback, since evhttp still uses the
 * connection there. */
void EbDaemon_ScheduleActions(EbDaemon *daemon);

void EbDaemon_OnDrainEvent(evutil_socket_t fd, short what, void *arg);
void EbDaemon_OnAttempt(void *context, const EbAttemptEvent *event);
void EbDaemon_OnStoreReply(void *context, const EbStoreReply *reply);
uint64_t EbDaemon_OnSubmit(void *context, const EbSubmission *submission);
void EbDaemon_OnCallerGone(void *context, uint64_t request);
void EbDaemon_OnFlowControl(void *context, uint64_t request, bool paused);
void EbDaemon_FreePendingActions(EbDaemon *daemon);

/* A store operation of the daemon itself or of the administration API.
 * Exactly one call of `done` follows; `reply` is borrowed. */
typedef void (*EbDaemonStored)(void *context, const EbStoreReply *reply);

void EbDaemon_Store(EbDaemon *daemon, EbStoreOperation operation,
                    const char *kind, const char *name, uint64_t version,
                    json_t *value, EbDaemonStored done, void *context);

/* Peer messages: daemon_peer.c */
void EbDaemon_OnDeliver(void *context, const char *peer,
                        const EbMessage *message, int64_t now_us);
void EbDaemon_OnMembersChanged(void *context, int64_t now_us);
void EbDaemon_OnAnnounced(void *context, const char *peer, uint64_t generation,
                          int64_t now_us);
bool EbDaemon_AskOwner(void *context, const EbLedgerResult *held,
                       uint64_t query, const char *customer,
                       const char *key_digest, int64_t now_us);
void EbDaemon_OnServerLeaving(void *context, const char *server_id,
                              int64_t now_us);

/* Answers queries that can be answered now. */
void EbDaemon_AnswerOutcomeQueries(EbDaemon *daemon, int64_t now_us);

/* Fails queries to a peer that can't be reached any more. */
void EbDaemon_PeerUnreachable(EbDaemon *daemon, const char *peer,
                              int64_t now_us);

/* Reports the demand of customers to their home daemons. */
void EbDaemon_ReportUsage(EbDaemon *daemon, int64_t now_us);

/* Reports to the home daemon whose customers' demand outgrew its report. */
void EbDaemon_ReportUrgent(EbDaemon *daemon, int64_t now_us);

/* Platform: daemon_platform.c */
void EbDaemon_OnListed(void *context, const char *kind, json_t *items);
void EbDaemon_OnChanged(void *context, const char *kind, json_t *events);

/* Holds watches, or polls, as the membership says. */
void EbDaemon_CheckWatches(EbDaemon *daemon, int64_t now_us);

/* Starts the lists that are due. */
void EbDaemon_StartDueListings(EbDaemon *daemon, int64_t now_us);
int64_t EbDaemon_NextListingTime(const EbDaemon *daemon);

/* Frees an element of entry_writes. */
void EbDaemon_FreeEntryWrite(void *pointer);

/* Marks servers that the platform lists as leaving, after a change of the
 * configuration. */
void EbDaemon_MarkLeaving(EbDaemon *daemon, int64_t now_us);

/* Floods and stores changed quarantine entries. */
void EbDaemon_PublishQuarantine(EbDaemon *daemon, int64_t now_us);

/* Deployment of a platform with an adapter: daemon_discovery.c */
void EbDiscovery_Init(EbDiscovery *discovery);
void EbDiscovery_Clear(EbDiscovery *discovery);
void EbDiscovery_Watch(EbDaemon *daemon);
void EbDiscovery_Listed(EbDaemon *daemon, const char *kind, json_t *items);
void EbDiscovery_Changed(EbDaemon *daemon, const char *kind, json_t *events);

/* Puts changes into force and does what is due. */
void EbDiscovery_ApplyChanges(EbDaemon *daemon, int64_t now_us);
int64_t EbDiscovery_NextTimer(const EbDaemon *daemon);

/* Forwarded requests: daemon_forward.c */
bool EbDaemon_CreateForward(EbDaemon *daemon, EbError *error);
void EbDaemon_FreeForward(EbDaemon *daemon);
void EbDaemon_SendForward(EbDaemon *daemon, const EbSendAttempt *send);
void EbDaemon_SendBatch(EbDaemon *daemon, const EbSendBatch *send);
void EbDaemon_ReleaseResults(EbDaemon *daemon,
                             const EbReleaseResults *release);
void EbDaemon_Prepare(EbDaemon *daemon, const EbPreparationJob *prepare);
void EbDaemon_EndPreparation(EbDaemon *daemon, uint64_t job);
void EbDaemon_HandlePrepare(EbDaemon *daemon, const char *peer,
                            const EbMessage *message, int64_t now_us);
void EbDaemon_HandlePrepared(EbDaemon *daemon, const char *peer,
                             const EbMessage *message, int64_t now_us);

/* Passes ended preparations on to the daemons whose requests need them. */
void EbDaemon_SendPreparationResults(EbDaemon *daemon, int64_t now_us);

/* Moves preparations away from homes to which no link came up. */
void EbDaemon_CheckHomes(EbDaemon *daemon, int64_t now_us);

/* Takes back what a peer gathered that can't be reached any more. */
void EbDaemon_ForwardPeerUnreachable(EbDaemon *daemon, const char *peer,
                                     int64_t now_us);

/* Takes up again what a peer is linked for. */
void EbDaemon_ForwardPeerUp(EbDaemon *daemon, const char *peer,
                            uint64_t incarnation, int64_t now_us);

/* Timers: daemon_timer.c */
void EbDaemon_OnTimer(evutil_socket_t fd, short what, void *arg);
void EbDaemon_ArmTimer(EbDaemon *daemon);

/* Shutdown: daemon_drain.c */
void EbDaemon_OnSignal(evutil_socket_t fd, short what, void *arg);
void EbDaemon_StartDrain(void *context);
void EbDaemon_CheckDrain(EbDaemon *daemon, int64_t now_us);

#endif
