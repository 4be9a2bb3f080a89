/* Messages between daemons. */
#include <stdlib.h>
#include <string.h>

#include "daemon_internal.h"

/* Time after which a configuration is requested again if the peer has not sent
 * it. */
#define CONFIG_REQUEST_INTERVAL_US 500000
/* Limit on the deferred writes of all daemons together, which share it
 * equally. It is below the several hundred writes that the platform accepts
 * per second. */
#define MAX_TOTAL_WRITES_PER_S 400
/* Limit on the deferred writes of one daemon, which applies in a small
 * deployment. */
#define MAX_DAEMON_WRITES_PER_S 50
/* Limits of servers that one message carries; the rest follows in the next. */
#define MAX_LIMIT_REPORTS 64

static void
send_message(EbDaemon *daemon, const char *peer, const EbMessage *message,
             int64_t now_us)
{
    EbMembership_Send(daemon->membership, peer, message, now_us);
    EbDaemon_ScheduleActions(daemon);
}

/* Returns the version of the configuration that this daemon uses or is about
 * to use. */
static uint64_t
known_generation(const EbDaemon *daemon)
{
    return daemon->adapter != NULL
               ? daemon->discovery.restored_config.version
               : EbConfigManager_Generation(daemon->config_manager);
}

void
EbDaemon_OnGenerationAnnounced(void *context, const char *peer,
                               uint64_t generation, int64_t now_us)
{
    EbDaemon *daemon = context;
    if (generation <= known_generation(daemon) ||
        now_us - daemon->config_requested_us < CONFIG_REQUEST_INTERVAL_US) {
        return;
    }
    daemon->config_requested_us = now_us;
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_REQUEST,
                         .generation = generation};
    send_message(daemon, peer, &message, now_us);
}

/* Sends the platform's configuration object. */
static void
send_config_object(EbDaemon *daemon, const char *peer, int64_t now_us)
{
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_BODY};
    const json_t *config = EbDiscovery_Config(daemon, &message.generation);
    char *text = config != NULL ? json_dumps(config, JSON_COMPACT) : NULL;
    if (text != NULL) {
        message.text = text;
        message.text_bytes = strlen(text);
        send_message(daemon, peer, &message, now_us);
        free(text);
    }
}

static void
send_config(EbDaemon *daemon, const char *peer, int64_t now_us)
{
    if (daemon->adapter != NULL) {
        send_config_object(daemon, peer, now_us);
        return;
    }
    EbMessage message = {
        .kind = EB_MESSAGE_CONFIG_BODY,
        .generation = EbConfigManager_Generation(daemon->config_manager)};
    const char *text =
        EbConfigManager_Text(daemon->config_manager, &message.text_bytes);
    if (text != NULL) {
        message.text = (char *)text;
        send_message(daemon, peer, &message, now_us);
    }
}

bool
EbDaemon_AskOwner(void *context, const EbLedgerResult *claim, uint64_t query,
                  const char *customer, const char *key_digest, int64_t now_us)
{
    EbDaemon *daemon = context;
    EbMemberView view;
    if (!EbMembership_Find(daemon->membership, claim->instance, now_us,
                           &view) ||
        view.incarnation != claim->incarnation) {
        return false;
    }
    EbMessage message = {.kind = EB_MESSAGE_OUTCOME_QUERY,
                         .query = query,
                         .customer = (char *)customer,
                         .key_digest = (char *)key_digest};
    if (!EbMembership_Send(daemon->membership, claim->instance, &message,
                           now_us)) {
        return false;
    }
    g_hash_table_insert(daemon->outcome_queries,
                        g_memdup2(&query, sizeof(query)),
                        g_strdup(claim->instance));
    return true;
}

static void
handle_outcome_reply(EbDaemon *daemon, const char *peer,
                     const EbMessage *message, int64_t now_us)
{
    const char *asked_peer =
        g_hash_table_lookup(daemon->outcome_queries, &message->query);
    if (asked_peer == NULL || strcmp(asked_peer, peer) != 0) {
        return;
    }
    g_hash_table_remove(daemon->outcome_queries, &message->query);
    json_t *body = NULL;
    if (message->text != NULL) {
        body = json_loadb(message->text, message->text_bytes, 0, NULL);
    }
    EbLedgerLocalClaim local = {.state =
                                    (EbLedgerLocalState)message->local_state,
                                .outcome = message->outcome,
                                .reason = message->reason,
                                .body = body};
    bool known = message->local_state <= EB_LEDGER_LOCAL_FINISHED;
    EbDispatcher_OwnerReply(daemon->dispatcher, message->query, known, &local,
                            now_us);
    json_decref(body);
}

static void
send_outcome(EbDaemon *daemon, const EbOutcomeQuery *query, int64_t now_us)
{
    EbLedgerLocalClaim local;
    EbLedger_FindLocal(daemon->ledger, query->customer, query->key_digest,
                       &local);
    EbMessage message = {.kind = EB_MESSAGE_OUTCOME_REPLY,
                         .query = query->query,
                         .customer = query->customer,
                         .key_digest = query->key_digest,
                         .local_state = local.state,
                         .outcome = local.outcome,
                         .reason = local.reason};
    char *text = NULL;
    if (local.body != NULL) {
        text = json_dumps(local.body, JSON_COMPACT);
        message.text = text;
        message.text_bytes = text ? strlen(text) : 0;
    }
    send_message(daemon, query->peer, &message, now_us);
    free(text);
}

void
EbDaemon_AnswerOutcomeQueries(EbDaemon *daemon, int64_t now_us)
{
    EbOutcomeQuery query;
    while (EbDispatcher_NextOutcomeQuery(daemon->dispatcher, &query)) {
        send_outcome(daemon, &query, now_us);
        EbOutcomeQuery_Clear(&query);
    }
}

static gboolean
collect_query_of_peer(gpointer key, gpointer value, gpointer context)
{
    struct {
        const char *peer;
        GArray *queries;
    } *search = context;
    if (strcmp(value, search->peer) != 0) {
        return FALSE;
    }
    g_array_append_val(search->queries, *(uint64_t *)key);
    return TRUE;
}

void
EbDaemon_PeerUnreachable(EbDaemon *daemon, const char *peer, int64_t now_us)
{
    struct {
        const char *peer;
        GArray *queries;
    } search = {peer, g_array_new(FALSE, FALSE, sizeof(uint64_t))};
    g_hash_table_foreach_remove(daemon->outcome_queries, collect_query_of_peer,
                                &search);
    for (guint i = 0; i < search.queries->len; i++) {
        EbLedgerLocalClaim absent = {.state = EB_LEDGER_LOCAL_ABSENT};
        EbDispatcher_OwnerReply(daemon->dispatcher,
                                g_array_index(search.queries, uint64_t, i),
                                false, &absent, now_us);
    }
    g_array_free(search.queries, TRUE);
    EbDaemon_ForwardPeerUnreachable(daemon, peer, now_us);
    EbDaemon_ScheduleActions(daemon);
}

/* Sends shares to a peer in one message, a usage report or a grant. */
static void
send_shares(EbDaemon *daemon, const char *peer, EbMessageKind kind,
            const EbLimiterShare *shares, size_t count, int64_t now_us)
{
    EbMessageShare *copies = g_new0(EbMessageShare, count);
    for (size_t i = 0; i < count; i++) {
        copies[i] = (EbMessageShare){
            .customer = (char *)shares[i].customer,
            .requests_per_s_milli = shares[i].requests_per_s_milli,
            .concurrent_requests = shares[i].concurrent_requests,
            .tokens_per_s = shares[i].tokens_per_s};
    }
    EbMessage message = {
        .kind = kind, .shares = copies, .share_count = (uint32_t)count};
    send_message(daemon, peer, &message, now_us);
    g_free(copies);
}

static void
send_grants(EbDaemon *daemon, const char *peer, const EbLimiterShare *grants,
            size_t count, int64_t now_us)
{
    if (strcmp(peer, daemon->settings->instance) == 0) {
        EbLimiter_ApplyGrants(daemon->limiter, grants, count, now_us);
    }
    else if (count > 0) {
        send_shares(daemon, peer, EB_MESSAGE_GRANT, grants, count, now_us);
    }
}

/* Answers a usage report as the home of its customers: grants the peer its
 * shares of their contracts. Also sends changed grants to other daemons, which
 * would otherwise get them only with their next report. */
static void
answer_report(EbDaemon *daemon, const char *peer,
              const EbLimiterShare *reports, size_t count, int64_t now_us)
{
    EbLimiterShare *grants = g_new0(EbLimiterShare, count);
    size_t granted = EbLimiter_AnswerReport(daemon->limiter, peer, reports,
                                            count, grants, now_us);
    send_grants(daemon, peer, grants, granted, now_us);
    g_free(grants);
    const char *instance;
    EbLimiterShare changed;
    while (EbLimiter_NextGrantChange(daemon->limiter, &instance, &changed,
                                     now_us)) {
        send_grants(daemon, instance, &changed, 1, now_us);
    }
}

static void
handle_shares(EbDaemon *daemon, const char *peer, const EbMessage *message,
              int64_t now_us)
{
    EbLimiterShare *shares = g_new0(EbLimiterShare, message->share_count);
    for (uint32_t i = 0; i < message->share_count; i++) {
        const EbMessageShare *share = &message->shares[i];
        shares[i] = (EbLimiterShare){
            .customer = share->customer,
            .requests_per_s_milli = share->requests_per_s_milli,
            .concurrent_requests = share->concurrent_requests,
            .tokens_per_s = share->tokens_per_s};
    }
    if (message->kind == EB_MESSAGE_USAGE) {
        answer_report(daemon, peer, shares, message->share_count, now_us);
    }
    else {
        EbLimiter_ApplyGrants(daemon->limiter, shares, message->share_count,
                              now_us);
    }
    g_free(shares);
}

static void
report_to_home(EbDaemon *daemon, const char *home, size_t max, int64_t now_us)
{
    EbLimiterShare *shares = g_new0(EbLimiterShare, max);
    size_t count =
        EbLimiter_WriteReport(daemon->limiter, home, shares, max, now_us);
    if (count > 0 && strcmp(home, daemon->settings->instance) == 0) {
        answer_report(daemon, home, shares, count, now_us);
    }
    else if (count > 0) {
        send_shares(daemon, home, EB_MESSAGE_USAGE, shares, count, now_us);
    }
    g_free(shares);
}

void
EbDaemon_ReportUsage(EbDaemon *daemon, int64_t now_us)
{
    const EbConfig *config = EbConfigManager_Current(daemon->config_manager);
    if (config == NULL || config->customer_count == 0) {
        return;
    }
    GHashTable *homes = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const char *home =
            EbLimiter_Home(daemon->limiter, config->customers[i].id);
        if (home != NULL && g_hash_table_add(homes, (gpointer)home)) {
            report_to_home(
                daemon, home,
                MIN(config->customer_count, EB_MESSAGE_MAX_ELEMENTS), now_us);
        }
    }
    g_hash_table_destroy(homes);
}

void
EbDaemon_ReportUrgentUsage(EbDaemon *daemon, int64_t now_us)
{
    const EbConfig *config = EbConfigManager_Current(daemon->config_manager);
    const char *home = EbLimiter_UrgentHome(daemon->limiter, now_us);
    if (config != NULL && home != NULL) {
        report_to_home(daemon, home,
                       MIN(config->customer_count, EB_MESSAGE_MAX_ELEMENTS),
                       now_us);
    }
}

void
EbDaemon_OnServerLeaving(void *context, const char *server_id, int64_t now_us)
{
    EbDaemon *daemon = context;
    EbMessage message = {.kind = EB_MESSAGE_SERVER_LEAVING,
                         .server = (char *)server_id,
                         .server_incarnation = EbDirectives_Incarnation(
                             daemon->directives, server_id),
                         .leaving = true};
    EbMembership_Flood(daemon->membership, &message, now_us);
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_PublishLimits(EbDaemon *daemon, int64_t now_us)
{
    EbLimitReport reports[MAX_LIMIT_REPORTS];
    uint32_t count = 0;
    while (
        count < MAX_LIMIT_REPORTS &&
        EbDirectives_NextReport(daemon->directives, &reports[count], now_us)) {
        /* One id that is too long would make the message impossible. */
        if (strlen(reports[count].server_id) <= EB_MESSAGE_MAX_NAME_BYTES) {
            count++;
        }
    }
    if (count > 0) {
        EbMessage message = {.kind = EB_MESSAGE_SERVER_LIMITS,
                             .limits = reports,
                             .limit_count = count};
        EbMembership_Flood(daemon->membership, &message, now_us);
    }
}

void
EbDaemon_PublishSpeeds(EbDaemon *daemon, int64_t now_us)
{
    if (now_us < daemon->next_speed_report_us) {
        return;
    }
    /* The daemons report at different times, so that many of them have heard
     * of a server before they would tell of it. */
    daemon->next_speed_report_us =
        now_us + EB_SPEED_REPORT_INTERVAL_US / 2 +
        (int64_t)EbRandom_Below(&daemon->random, EB_SPEED_REPORT_INTERVAL_US);
    EbSpeedReport reports[EB_SPEED_REPORTS_MAX];
    uint32_t taken = EbDispatcher_TakeSpeedReports(
        daemon->dispatcher, reports, EB_SPEED_REPORTS_MAX, now_us);
    uint32_t count = 0;
    for (uint32_t i = 0; i < taken; i++) {
        /* One id that is too long would make the message impossible. */
        if (strlen(reports[i].server_id) <= EB_MESSAGE_MAX_NAME_BYTES) {
            reports[count++] = reports[i];
        }
    }
    if (count > 0) {
        EbMessage message = {.kind = EB_MESSAGE_SERVER_SPEEDS,
                             .speeds = reports,
                             .speed_count = count};
        EbMembership_SendToNeighbours(daemon->membership, &message,
                                      EB_SPEED_REPORT_LINKS);
    }
}

static void
handle_config_body(EbDaemon *daemon, const char *peer,
                   const EbMessage *message, int64_t now_us)
{
    if (daemon->adapter != NULL) {
        EbDiscovery_OfferConfig(daemon, message->text, message->text_bytes);
        return;
    }
    EbError error = {0};
    EbConfigManager_OfferDocument(daemon->config_manager, message->text,
                                  message->text_bytes, 0, peer, &error,
                                  now_us);
}

/* A daemon without an adapter batches no work items and ignores these
 * messages. */
static void
handle_preparation(EbDaemon *daemon, const char *peer,
                   const EbMessage *message, int64_t now_us)
{
    if (daemon->adapter == NULL) {
        return;
    }
    if (message->kind == EB_MESSAGE_PREPARE) {
        EbDaemon_HandlePrepare(daemon, peer, message, now_us);
    }
    else if (message->kind == EB_MESSAGE_PREPARED) {
        EbDaemon_HandlePrepared(daemon, peer, message, now_us);
    }
    else {
        EbBatcher_EndJob(daemon->batcher, peer, message->job, now_us);
    }
}

void
EbDaemon_OnPeerMessage(void *context, const char *peer,
                       const EbMessage *message, int64_t now_us)
{
    EbDaemon *daemon = context;
    switch (message->kind) {
    case EB_MESSAGE_CONFIG_REQUEST:
        send_config(daemon, peer, now_us);
        break;
    case EB_MESSAGE_CONFIG_BODY:
        handle_config_body(daemon, peer, message, now_us);
        break;
    case EB_MESSAGE_OUTCOME_QUERY:
        EbDispatcher_QueryOutcome(daemon->dispatcher, peer, message->query,
                                  message->customer, message->key_digest,
                                  now_us);
        break;
    case EB_MESSAGE_OUTCOME_REPLY:
        handle_outcome_reply(daemon, peer, message, now_us);
        break;
    case EB_MESSAGE_USAGE:
    case EB_MESSAGE_GRANT:
        handle_shares(daemon, peer, message, now_us);
        break;
    case EB_MESSAGE_QUARANTINE:
        for (uint32_t i = 0; i < message->entry_count; i++) {
            EbQuarantine_Merge(daemon->quarantine, &message->entries[i],
                               now_us);
        }
        break;
    case EB_MESSAGE_SUSPICIONS:
        for (uint32_t i = 0; i < message->suspicion_count; i++) {
            EbSuspects_Merge(daemon->suspects, &message->suspicions[i],
                             now_us);
        }
        break;
    case EB_MESSAGE_SERVER_LIMITS:
        for (uint32_t i = 0; i < message->limit_count; i++) {
            EbDirectives_Merge(daemon->directives, &message->limits[i],
                               now_us);
        }
        break;
    case EB_MESSAGE_SERVER_SPEEDS:
        for (uint32_t i = 0; i < message->speed_count; i++) {
            EbDispatcher_MergeSpeed(daemon->dispatcher, &message->speeds[i],
                                    now_us);
        }
        break;
    case EB_MESSAGE_SERVER_LEAVING:
        EbDispatcher_ServerLeaving(daemon->dispatcher, message->server,
                                   message->server_incarnation,
                                   message->leaving, "peer", now_us);
        break;
    case EB_MESSAGE_PREPARE:
    case EB_MESSAGE_PREPARED:
    case EB_MESSAGE_END_PREPARATION:
        handle_preparation(daemon, peer, message, now_us);
        break;
    case EB_MESSAGE_FEED_REQUEST:
    case EB_MESSAGE_FEED_CHANGES:
    case EB_MESSAGE_FEED_STATUS:
        EbDiscovery_HandleMessage(daemon, peer, message, now_us);
        break;
    case EB_MESSAGE_HEARTBEAT: /* the membership handles these two itself */
    case EB_MESSAGE_MEMBERS:
    case EB_MESSAGE_KIND_COUNT:
        break;
    }
    EbDaemon_ScheduleActions(daemon);
}

void
EbDaemon_OnMembersChanged(void *context, int64_t now_us)
{
    EbDaemon *daemon = context;
    size_t count = EbMembership_Count(daemon->membership);
    const char **names = g_new0(const char *, count + 1);
    const char **lost_names = g_new0(const char *, count + 1);
    size_t live =
        EbMembership_LiveInstances(daemon->membership, names, count + 1);
    /* No instance counts as live once this daemon has announced that it
     * leaves. */
    if (live > 0) {
        EbLimiter_SetMembers(daemon->limiter, names, live, now_us);
        EbDispatcher_SetDaemonCount(daemon->dispatcher, (uint32_t)live,
                                    now_us);
        EbLedger_SetWriteRate(daemon->ledger,
                              CLAMP(MAX_TOTAL_WRITES_PER_S / (uint32_t)live, 1,
                                    MAX_DAEMON_WRITES_PER_S));
    }
    size_t lost =
        EbMembership_LostInstances(daemon->membership, lost_names, count + 1);
    EbDirectives_SetMembers(daemon->directives, names, live, lost_names, lost,
                            now_us);
    EbPace_SetMembers(daemon->pace, names, live, lost_names, lost, now_us);
    g_free(names);
    g_free(lost_names);
    for (size_t i = 0; i < count; i++) {
        EbMemberView view;
        EbMembership_View(daemon->membership, i, now_us, &view);
        if (view.state == EB_MEMBER_DEAD) {
            EbDaemon_PeerUnreachable(daemon, view.instance, now_us);
        }
    }
    if (daemon->adapter != NULL) {
        EbDiscovery_MembersChanged(daemon);
    }
    daemon->next_watch_check_us = daemon->adapter != NULL ? INT64_MAX : now_us;
    EbDaemon_ScheduleActions(daemon);
}
