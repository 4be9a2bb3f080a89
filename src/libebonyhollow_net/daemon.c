#include "ebonyhollow/daemon.h"

#include <assert.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include <sodium.h>

#include "daemon_internal.h"
#include "socket.h"

/* The part of store_silence_ms that is left for the response after a poll's
 * time-out, at most WATCH_GRACE_MAX_US. */
#define WATCH_GRACE_DIVISOR 4
#define WATCH_GRACE_MAX_US 2000000
/* Delay of the next long poll after changes, so that changes in quick
 * succession cost one poll. It is far shorter than the time within which a
 * change must be in force. */
#define WATCH_BATCH_DELAY_US 400000

static void
on_suppressed(void *context, EbEventId event)
{
    EbDaemon *daemon = context;
    EbMetrics_Add(daemon->metrics, EB_METRIC_EVENTS_SUPPRESSED, 1,
                  EbEvent_table[event].name, NULL, NULL);
}

/* Writes each event to the log. Also adds each applied configuration to the
 * history, because only its event states the source of the generation. */
static void
on_event(void *context, EbEventId event, const EbEventField *fields,
         size_t field_count)
{
    EbDaemon *daemon = context;
    EbEvent_Emit(EbLog_Sink(daemon->log), event, fields, field_count);
    if (event != EB_EVENT_CONFIGURATION_APPLIED ||
        daemon->admin_server == NULL) {
        return;
    }
    uint64_t generation = 0;
    const char *source = "";
    for (size_t i = 0; i < field_count; i++) {
        if (strcmp(fields[i].name, "generation") == 0) {
            generation = (uint64_t)fields[i].integer;
        }
        else if (strcmp(fields[i].name, "source") == 0) {
            source = fields[i].string;
        }
    }
    EbAdminServer_RecordGeneration(daemon->admin_server, generation, source);
}

static int64_t
read_wall_clock(void *context)
{
    (void)context;
    return EbClock_Wall();
}

static void
on_config_applied(void *context, EbConfig *config, int64_t now_us)
{
    EbDaemon *daemon = context;
    EbLimiter_SetConfig(daemon->limiter, config);
    EbDirectives_SetConfig(daemon->directives, config, now_us);
    EbDispatcher_SetConfig(daemon->dispatcher, config, now_us);
    if (daemon->adapter != NULL) {
        EbBatcher_SetConfig(daemon->batcher, config, now_us);
        EbForwardServer_SetLimits(daemon->forward_server, &config->limits);
    }
    else {
        EbMembership_SetGeneration(daemon->membership, config->generation);
        EbDaemon_MarkLeavingServers(daemon, now_us);
    }
    EbDaemon_ScheduleActions(daemon);
}

static void
on_incarnation_raised(void *context, uint64_t incarnation)
{
    EbDaemon *daemon = context;
    daemon->incarnation = incarnation;
    EbPeerLinks_SetIncarnation(daemon->peer_links, incarnation);
    EbLedger_SetIncarnation(daemon->ledger, incarnation);
    EbDispatcher_SetIncarnation(daemon->dispatcher, incarnation);
}

static void
on_link_up(void *context, const char *peer, uint64_t incarnation,
           const char *address)
{
    EbDaemon *daemon = context;
    int64_t now_us = EbClock_Monotonic();
    EbMembership_LinkUp(daemon->membership, peer, incarnation, address,
                        now_us);
    EbDaemon_ForwardPeerUp(daemon, peer, incarnation, now_us);
    EbDaemon_ScheduleActions(daemon);
}

static void
on_link_down(void *context, const char *peer)
{
    EbDaemon *daemon = context;
    int64_t now_us = EbClock_Monotonic();
    EbMembership_LinkDown(daemon->membership, peer, now_us);
    EbDaemon_PeerUnreachable(daemon, peer, now_us);
}

static void
on_dial_failed(void *context, const char *address, bool refused)
{
    EbDaemon *daemon = context;
    EbMembership_DialFailed(daemon->membership, address, refused,
                            EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

static void
on_message(void *context, const char *peer, const EbMessage *message)
{
    EbDaemon *daemon = context;
    EbMembership_Receive(daemon->membership, peer, message,
                         EbClock_Monotonic());
    EbDaemon_ScheduleActions(daemon);
}

static void
create_tables(EbDaemon *daemon)
{
    g_queue_init(&daemon->pending_actions);
    daemon->relays =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    daemon->outcome_queries =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    daemon->store_calls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    daemon->leaving_servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    daemon->quarantine_writes =
        g_ptr_array_new_with_free_func(EbDaemon_FreeQuarantineWrite);
}

static void
create_infrastructure(EbDaemon *daemon)
{
    const EbSettings *settings = daemon->settings;
    uint64_t seed;
    randombytes_buf(&seed, sizeof(seed));
    EbRandom_Init(&daemon->random, seed);
    /* Peers take the process with the higher incarnation for the newer one. */
    daemon->incarnation = (uint64_t)EbClock_Wall();
    daemon->drain_state_end_us = INT64_MAX;
    daemon->base = EbSocket_NewEventBase();
    daemon->metrics = EbMetrics_New();
    daemon->log = EbLog_New(&(EbLogOptions){.level = settings->log_level,
                                            .instance = settings->instance,
                                            .descriptor = STDOUT_FILENO,
                                            .suppressed = on_suppressed,
                                            .context = daemon});
    daemon->sink = (EbEventSink){on_event, daemon};
    daemon->events = &daemon->sink;
    daemon->actions = EbActionQueue_New();
    daemon->action_event =
        event_new(daemon->base, -1, 0, EbDaemon_OnActionEvent, daemon);
    daemon->timer = evtimer_new(daemon->base, EbDaemon_OnTimer, daemon);
    create_tables(daemon);
}

static bool
create_peer_links(EbDaemon *daemon, EbError *error)
{
    const EbSettings *settings = daemon->settings;
    daemon->peer_links = EbPeerLinks_New(
        &(EbPeerLinksOptions){.base = daemon->base,
                              .instance = settings->instance,
                              .incarnation = daemon->incarnation,
                              .listen = &settings->peer,
                              .key = settings->peer_key,
                              .metrics = daemon->metrics,
                              .events = daemon->events,
                              .link_up = on_link_up,
                              .link_down = on_link_down,
                              .dial_failed = on_dial_failed,
                              .message = on_message,
                              .context = daemon},
        error);
    if (daemon->peer_links == NULL) {
        return false;
    }
    daemon->peer_address = g_strdup(EbPeerLinks_Address(daemon->peer_links));
    return true;
}

/* Counts the calls to the servers of a failure domain that run. */
static uint32_t
count_calls(void *context, const char *failure_domain)
{
    const EbDaemon *daemon = context;
    return EbDispatcher_CountCalls(daemon->dispatcher, failure_domain) +
           (daemon->batcher != NULL
                ? EbBatcher_CountCalls(daemon->batcher, failure_domain)
                : 0);
}

/* The servers of a domain that was evacuated may have been restarted. */
static void
on_domain_opened(void *context, const char *failure_domain, int64_t now_us)
{
    EbDaemon *daemon = context;
    EbPace_DomainReturned(daemon->pace, failure_domain, now_us);
}

static void
create_state_modules(EbDaemon *daemon)
{
    static const EbConfig no_config;
    const EbSettings *settings = daemon->settings;
    daemon->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = settings->instance,
                                        .incarnation = daemon->incarnation,
                                        .peer_address = daemon->peer_address,
                                        .actions = daemon->actions,
                                        .random = &daemon->random,
                                        .events = daemon->events,
                                        .wall_clock_us = read_wall_clock});
    daemon->limiter = EbLimiter_New(&(EbLimiterOptions){
        .instance = settings->instance, .config = &no_config});
    daemon->quarantine =
        EbQuarantine_New(&(EbQuarantineOptions){.events = daemon->events});
    daemon->pace = EbPace_New(&(EbPaceOptions){
        .instance = settings->instance,
        .cold_overrun = settings->cold_overrun_permille / 1000.0,
        .cold_margin = settings->cold_margin,
        .min_members = (size_t)settings->seed_count + 1,
        .started_us = EbClock_Monotonic(),
        .events = daemon->events,
        .metrics = daemon->metrics});
    daemon->directives =
        EbDirectives_New(&(EbDirectivesOptions){.instance = settings->instance,
                                                .random = &daemon->random,
                                                .events = daemon->events,
                                                .metrics = daemon->metrics,
                                                .pace = daemon->pace});
    daemon->evacuations =
        EbEvacuations_New(&(EbEvacuationsOptions){.events = daemon->events,
                                                  .metrics = daemon->metrics,
                                                  .count_calls = count_calls,
                                                  .opened = on_domain_opened,
                                                  .context = daemon});
    daemon->suspects = EbSuspects_New(&(EbSuspectsOptions){
        .random = &daemon->random, .quarantine = daemon->quarantine});
    daemon->config_manager = EbConfigManager_New(
        &(EbConfigManagerOptions){.site = settings->site,
                                  .actions = daemon->actions,
                                  .events = daemon->events,
                                  .applied = on_config_applied,
                                  .context = daemon});
    daemon->membership = EbMembership_New(
        &(EbMembershipOptions){.instance = settings->instance,
                               .incarnation = daemon->incarnation,
                               .address = daemon->peer_address,
                               .failure_domain = settings->failure_domain,
                               .capacity = settings->capacity,
                               .actions = daemon->actions,
                               .random = &daemon->random,
                               .events = daemon->events,
                               .metrics = daemon->metrics,
                               .deliver = EbDaemon_OnPeerMessage,
                               .changed = EbDaemon_OnMembersChanged,
                               .announced = EbDaemon_OnGenerationAnnounced,
                               .incarnation_raised = on_incarnation_raised,
                               .context = daemon});
}

static void
create_dispatcher(EbDaemon *daemon)
{
    const EbSettings *settings = daemon->settings;
    EbPolicy policy = EB_POLICY_ADAPTIVE;
    if (settings->policy != NULL &&
        strcmp(settings->policy, EbPolicy_names[EB_POLICY_PLAIN]) == 0) {
        policy = EB_POLICY_PLAIN;
    }
    daemon->dispatcher = EbDispatcher_New(&(EbDispatcherOptions){
        .instance = settings->instance,
        .incarnation = daemon->incarnation,
        .failure_domain = settings->failure_domain,
        .policy = policy,
        .max_requests = settings->max_requests,
        .measure_speeds = settings->server_speeds == EB_SERVER_SPEEDS_SHARED,
        .least_class_permille = settings->least_class_permille,
        .actions = daemon->actions,
        .random = &daemon->random,
        .events = daemon->events,
        .ledger = daemon->ledger,
        .limiter = daemon->limiter,
        .quarantine = daemon->quarantine,
        .directives = daemon->directives,
        .evacuations = daemon->evacuations,
        .suspects = daemon->suspects,
        .metrics = daemon->metrics,
        .ask_owner = EbDaemon_AskOwner,
        .server_leaving = EbDaemon_OnServerLeaving,
        .context = daemon});
}

static void
create_clients(EbDaemon *daemon)
{
    const EbSettings *settings = daemon->settings;
    int64_t watch_grace_us = MIN(
        settings->store_silence_us / WATCH_GRACE_DIVISOR, WATCH_GRACE_MAX_US);
    daemon->backend_client = EbBackendClient_New(
        &(EbBackendClientOptions){.base = daemon->base,
                                  .event = EbDaemon_OnAttemptEvent,
                                  .context = daemon});
    daemon->platform_client = EbPlatformClient_New(&(EbPlatformClientOptions){
        .base = daemon->base,
        .host = settings->platform.host,
        .port = settings->platform.port,
        .protocol = daemon->adapter != NULL ? daemon->adapter->store : NULL,
        .token = settings->platform_token,
        .watch_timeout_us = settings->store_silence_us - watch_grace_us,
        .watch_grace_us = watch_grace_us,
        .batch_delay_us = WATCH_BATCH_DELAY_US,
        .random = &daemon->random,
        .metrics = daemon->metrics,
        .events = daemon->events,
        .reply = EbDaemon_OnStoreReply,
        .listed = EbDaemon_OnObjectsListed,
        .changed = EbDaemon_OnObjectsChanged,
        .failed = EbDaemon_OnReadFailed,
        .probed = EbDaemon_OnProbed,
        .era_changed = EbDaemon_OnStoreRestored,
        .context = daemon});
}

static bool
is_draining(void *context)
{
    return ((EbDaemon *)context)->drain_state != EB_DRAIN_NONE;
}

static const char *
drain_state(void *context)
{
    return EbDrainState_names[((EbDaemon *)context)->drain_state];
}

static void
schedule_actions(void *context)
{
    EbDaemon_ScheduleActions(context);
}

static void
call_store_for_admin(void *context, EbStoreOperation operation,
                     const char *kind, const char *name, EbAdminStoreDone done,
                     void *done_context)
{
    EbDaemon_CallStore(context, operation, kind, name, 0, NULL, done,
                       done_context);
}

static const char *
stage_home(void *context, const char *service)
{
    return EbDaemon_FindHome(context, service, EbClock_Monotonic());
}

static bool
create_servers(EbDaemon *daemon, EbError *error)
{
    daemon->client_guard = EbClientGuard_New(&(EbClientGuardOptions){
        .base = daemon->base,
        .max_bytes = daemon->settings->client_memory_bytes,
        .events = daemon->events,
        .metrics = daemon->metrics});
    if (daemon->adapter != NULL) {
        if (!EbDaemon_CreateForward(daemon, error)) {
            return false;
        }
    }
    else {
        daemon->caller_server = EbCallerServer_New(
            &(EbCallerServerOptions){.base = daemon->base,
                                     .settings = daemon->settings,
                                     .guard = daemon->client_guard,
                                     .submit = EbDaemon_OnSubmit,
                                     .caller_gone = EbDaemon_OnCallerGone,
                                     .flow_control = EbDaemon_OnFlowControl,
                                     .context = daemon},
            error);
        if (daemon->caller_server == NULL) {
            return false;
        }
    }
    daemon->admin_server = EbAdminServer_New(
        &(EbAdminServerOptions){
            .base = daemon->base,
            .settings = daemon->settings,
            .guard = daemon->client_guard,
            .events = daemon->events,
            .metrics = daemon->metrics,
            .dispatcher = daemon->dispatcher,
            .config_manager = daemon->config_manager,
            .membership = daemon->membership,
            .limiter = daemon->limiter,
            .quarantine = daemon->quarantine,
            .evacuations = daemon->evacuations,
            .platform = daemon->platform_client,
            .draining = is_draining,
            .drain_state = drain_state,
            .start_drain = EbDaemon_StartDrain,
            .call_store = call_store_for_admin,
            .stage_home = daemon->adapter != NULL ? stage_home : NULL,
            .schedule_actions = schedule_actions,
            .context = daemon},
        error);
    return daemon->admin_server != NULL;
}

/* Adds the seeds to the membership, starts to read the platform's objects and
 * handles signals. */
static void
start(EbDaemon *daemon)
{
    const EbSettings *settings = daemon->settings;
    int64_t now_us = EbClock_Monotonic();
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        char *address = g_strdup_printf("%s:%u", settings->seeds[i].host,
                                        (unsigned)settings->seeds[i].port);
        EbMembership_AddSeed(daemon->membership, address, now_us);
        g_free(address);
    }
    EbDaemon_OnMembersChanged(daemon, now_us);
    if (daemon->adapter != NULL) {
        EbDiscovery_Watch(daemon);
        daemon->next_watch_check_us = INT64_MAX;
    }
    else {
        EbConfigManager_Refresh(daemon->config_manager, now_us);
        EbDaemon_CheckWatches(daemon, now_us);
    }
    daemon->next_usage_report_us = now_us + EB_LIMITER_REPORT_INTERVAL_US;
    EbDaemon_AddSignals(daemon);
    EB_EMIT(daemon->events, EB_EVENT_DAEMON_STARTED,
            EB_STRING_FIELD("instance", settings->instance),
            EB_INTEGER_FIELD("incarnation", daemon->incarnation),
            EB_STRING_FIELD("failure_domain", settings->failure_domain));
    EbDaemon_ScheduleActions(daemon);
}

EbDaemon *
EbDaemon_New(const EbSettings *settings, const EbPlatformAdapter *adapter,
             EbError *error)
{
    if (sodium_init() < 0) {
        EbError_Set(error, EB_ERROR_IO, "libsodium cannot be initialized");
        return NULL;
    }
    /* A write to a closed connection must only fail that connection, not end
     * the process. */
    signal(SIGPIPE, SIG_IGN);
    EbDaemon *daemon = g_new0(EbDaemon, 1);
    daemon->settings = settings;
    daemon->adapter = adapter;
    create_infrastructure(daemon);
    if (!create_peer_links(daemon, error)) {
        EbDaemon_Free(daemon);
        return NULL;
    }
    create_state_modules(daemon);
    create_dispatcher(daemon);
    create_clients(daemon);
    if (!create_servers(daemon, error)) {
        EbDaemon_Free(daemon);
        return NULL;
    }
    start(daemon);
    return daemon;
}

void
EbDaemon_SetReload(EbDaemon *daemon, const EbDaemonReload *reload)
{
    daemon->reload = *reload;
}

EbExitStatus
EbDaemon_Run(EbDaemon *daemon)
{
    event_base_dispatch(daemon->base);
    EB_EMIT(daemon->events, EB_EVENT_DAEMON_STOPPED,
            EB_STRING_FIELD("instance", daemon->settings->instance),
            EB_INTEGER_FIELD("cut_requests", daemon->unfinished_requests));
    return daemon->unfinished_requests > 0 ? EB_EXIT_INCOMPLETE : EB_EXIT_OK;
}

static void
free_modules(EbDaemon *daemon)
{
    EbDispatcher_Free(daemon->dispatcher);
    EbLedger_Free(daemon->ledger);
    EbLimiter_Free(daemon->limiter);
    EbSuspects_Free(daemon->suspects);
    EbEvacuations_Free(daemon->evacuations);
    EbDirectives_Free(daemon->directives);
    EbPace_Free(daemon->pace);
    EbQuarantine_Free(daemon->quarantine);
    EbConfigManager_Free(daemon->config_manager);
    EbMembership_Free(daemon->membership);
}

void
EbDaemon_Free(EbDaemon *daemon)
{
    if (daemon == NULL) {
        return;
    }
    EbAdminServer_Free(daemon->admin_server);
    EbCallerServer_Free(daemon->caller_server);
    EbDaemon_FreeForward(daemon);
    EbClientGuard_Free(daemon->client_guard);
    EbPeerLinks_Free(daemon->peer_links);
    EbBackendClient_Free(daemon->backend_client);
    EbPlatformClient_Free(daemon->platform_client);
    if (daemon->dispatcher != NULL) {
        free_modules(daemon);
    }
    EbDaemon_FreePendingActions(daemon);
    EbActionQueue_Free(daemon->actions);
    EbDaemon_FreeSignals(daemon);
    event_free(daemon->action_event);
    event_free(daemon->timer);
    g_hash_table_destroy(daemon->relays);
    g_hash_table_destroy(daemon->outcome_queries);
    g_hash_table_destroy(daemon->store_calls);
    g_hash_table_destroy(daemon->leaving_servers);
    g_ptr_array_free(daemon->quarantine_writes, TRUE);
    EbLog_Free(daemon->log);
    EbMetrics_Free(daemon->metrics);
    g_free(daemon->peer_address);
    event_base_free(daemon->base);
    g_free(daemon);
}

uint16_t
EbDaemon_CallerPort(const EbDaemon *daemon)
{
    return daemon->adapter != NULL
               ? EbForwardServer_Port(daemon->forward_server)
               : EbCallerServer_Port(daemon->caller_server);
}

uint16_t
EbDaemon_AdminPort(const EbDaemon *daemon)
{
    return EbAdminServer_Port(daemon->admin_server);
}

uint16_t
EbDaemon_PeerPort(const EbDaemon *daemon)
{
    return EbPeerLinks_Port(daemon->peer_links);
}
