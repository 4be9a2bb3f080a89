/* Handlers of the administration API that describe the state of the daemon,
 * the quarantine and the outcomes of keys. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/keyvalq_struct.h>

#include "admin_internal.h"
#include "clock.h"
#include "ebonyhollow/ledger.h"

#define MAX_LISTED_FINGERPRINTS 4096

static void
add_request_count(void *context, const char *const labels[], uint64_t value,
                  const EbHistogram *histogram)
{
    (void)histogram;
    json_t *list = context;
    json_array_append_new(list, json_pack("{s:s?, s:s?, s:s?, s:I}",
                                          "customer", labels[0], "pipeline",
                                          labels[1], "outcome", labels[2],
                                          "requests", (json_int_t)value));
}

static void
add_in_time_count(void *context, const char *const labels[], uint64_t value,
                  const EbHistogram *histogram)
{
    (void)histogram;
    json_t *list = context;
    json_array_append_new(list, json_pack("{s:s?, s:s?, s:I}", "customer",
                                          labels[0], "pipeline", labels[1],
                                          "requests", (json_int_t)value));
}

/* Cost of one stage of a pipeline. */
typedef struct {
    char *name;
    uint64_t calls;
    uint64_t attempts;
    uint64_t server_us;
} StageCost;

static void
free_cost(void *data)
{
    StageCost *cost = data;
    g_free(cost->name);
    g_free(cost);
}

static StageCost *
find_cost(GTree *costs, const char *pipeline, const char *stage)
{
    char *name = g_strdup_printf("%s/%s", pipeline, stage);
    StageCost *cost = g_tree_lookup(costs, name);
    if (cost == NULL) {
        cost = g_new0(StageCost, 1);
        cost->name = name;
        g_tree_insert(costs, cost->name, cost);
        return cost;
    }
    g_free(name);
    return cost;
}

static void
add_attempts(void *context, const char *const labels[], uint64_t value,
             const EbHistogram *histogram)
{
    (void)histogram;
    StageCost *cost = find_cost(context, labels[0], labels[1]);
    cost->attempts += value;
    if (strcmp(labels[2], EbCallResult_names[EB_CALL_OK]) == 0) {
        cost->calls += value;
    }
}

static void
add_server_time(void *context, const char *const labels[], uint64_t value,
                const EbHistogram *histogram)
{
    (void)histogram;
    find_cost(context, labels[1], labels[2])->server_us += value;
}

static gboolean
add_stage(gpointer key, gpointer value, gpointer context)
{
    const StageCost *cost = value;
    json_array_append_new(
        context, json_pack("{s:s, s:I, s:I, s:f}", "stage", (const char *)key,
                           "calls", (json_int_t)cost->calls, "attempts",
                           (json_int_t)cost->attempts, "server_ms",
                           (double)cost->server_us / 1000.0));
    return FALSE;
}

static int
compare_names(gconstpointer left, gconstpointer right, gpointer context)
{
    (void)context;
    return strcmp(left, right);
}

/* Lists for each stage the answered calls, the attempts and the time that
 * servers spent on them. */
static json_t *
describe_stage_costs(const EbAdminServerOptions *options)
{
    GTree *costs = g_tree_new_full(compare_names, NULL, NULL, free_cost);
    EbMetrics_ForEach(options->metrics, EB_METRIC_ATTEMPTS, add_attempts,
                      costs);
    EbMetrics_ForEach(options->metrics, EB_METRIC_SERVER_TIME_US,
                      add_server_time, costs);
    json_t *stages = json_array();
    g_tree_foreach(costs, add_stage, stages);
    g_tree_destroy(costs);
    return stages;
}

static json_t *
describe_evacuations(const EbEvacuations *evacuations)
{
    json_t *list = json_array();
    int64_t now_us = EbClock_Monotonic();
    for (size_t i = 0; i < EbEvacuations_Count(evacuations); i++) {
        EbEvacuationView view;
        EbEvacuations_View(evacuations, i, now_us, &view);
        json_array_append_new(
            list, json_pack("{s:s, s:s, s:I, s:I, s:I, s:I}", "failure_domain",
                            view.failure_domain, "state",
                            EbEvacuationState_names[view.state], "calls",
                            (json_int_t)view.calls, "age_us",
                            (json_int_t)view.age_us, "era",
                            (json_int_t)view.position.era, "revision",
                            (json_int_t)view.position.revision));
    }
    return list;
}

void
EbAdmin_GetStatus(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    const EbSettings *settings = options->settings;
    json_t *requests = json_array();
    json_t *in_time = json_array();
    EbMetrics_ForEach(options->metrics, EB_METRIC_REQUESTS, add_request_count,
                      requests);
    EbMetrics_ForEach(options->metrics, EB_METRIC_IN_TIME, add_in_time_count,
                      in_time);
    EbMemberView self = {0};
    EbMembership_Find(options->membership, settings->instance,
                      EbClock_Monotonic(), &self);
    json_t *status = json_pack(
        "{s:s, s:I, s:s, s:s, s:I, s:I, s:s, s:s}", "instance",
        settings->instance, "incarnation", (json_int_t)self.incarnation,
        "site", settings->site, "failure_domain", settings->failure_domain,
        "generation",
        (json_int_t)EbConfigManager_Generation(options->config_manager),
        "live_requests",
        (json_int_t)EbDispatcher_LiveCount(options->dispatcher), "drain",
        options->drain_state(options->context), "platform",
        EbPlatformClient_IsUp(options->platform) ? "up" : "down");
    json_object_set_new(
        status, "attainment",
        json_pack("{s:o, s:o}", "requests", requests, "in_time", in_time));
    json_object_set_new(status, "stages", describe_stage_costs(options));
    if (options->evacuations != NULL) {
        json_object_set_new(status, "evacuations",
                            describe_evacuations(options->evacuations));
    }
    EbAdmin_Reply(call->server, call->request, 200, status);
}

static json_t *
describe_server(const EbConfig *config, const EbServerView *view)
{
    const EbConfigBackendServer *server = view->server;
    json_t *address =
        json_sprintf("%s:%u", server->host, (unsigned)server->port);
    return json_pack(
        "{s:s, s:s, s:s, s:o, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
        "s:I}",
        "id", server->id, "pool", config->pools[server->pool_index].name,
        "failure_domain", server->failure_domain, "address", address, "state",
        EbServerState_names[view->state], "cause", view->cause, "in_flight",
        (json_int_t)view->in_flight, "limit", (json_int_t)view->limit,
        "reported_load", (json_int_t)view->reported_load, "latency_us",
        (json_int_t)view->latency_us, "piece_interval_us",
        (json_int_t)view->piece_interval_us, "calls", (json_int_t)view->calls,
        "failures", (json_int_t)view->failures, "cold_left_us",
        (json_int_t)view->cold_left_us);
}

void
EbAdmin_ListServers(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    const EbConfig *config = EbConfigManager_Current(options->config_manager);
    json_t *servers = json_array();
    size_t count = EbDispatcher_PoolCount(options->dispatcher);
    for (size_t i = 0; i < count; i++) {
        const EbPool *pool = EbDispatcher_Pool(options->dispatcher, i);
        for (size_t j = 0; j < EbPool_ServerCount(pool); j++) {
            EbServerView view;
            EbPool_View(pool, j, &view, EbClock_Monotonic());
            json_array_append_new(servers, describe_server(config, &view));
        }
    }
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "servers", servers));
}

void
EbAdmin_ListPeers(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    int64_t now_us = EbClock_Monotonic();
    json_t *peers = json_array();
    size_t count = EbMembership_Count(options->membership);
    for (size_t i = 0; i < count; i++) {
        EbMemberView view;
        EbMembership_View(options->membership, i, now_us, &view);
        json_array_append_new(
            peers,
            json_pack("{s:s, s:I, s:s?, s:s?, s:s, s:b, s:I, s:I}", "instance",
                      view.instance, "incarnation",
                      (json_int_t)view.incarnation, "address", view.address,
                      "failure_domain", view.failure_domain, "state",
                      EbMemberState_names[view.state], "linked", view.linked,
                      "idle_us", (json_int_t)view.idle_us, "round_trip_us",
                      (json_int_t)view.round_trip_us));
    }
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "peers", peers));
}

void
EbAdmin_ListCustomers(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    const EbConfig *config = EbConfigManager_Current(options->config_manager);
    json_t *customers = json_array();
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *customer = &config->customers[i];
        EbLimiterView view = {0};
        EbLimiter_View(options->limiter, customer->id, EbClock_Monotonic(),
                       &view);
        json_array_append_new(
            customers,
            json_pack(
                "{s:s, s:I, s:I, s:I, s:b, s:I, s:I, s:I}", "id", customer->id,
                "weight", (json_int_t)customer->contract.weight, "in_flight",
                (json_int_t)view.in_flight, "refused",
                (json_int_t)view.refused, "granted", view.granted,
                "share_requests_per_s_milli",
                (json_int_t)view.share_requests_per_s_milli,
                "share_concurrent_requests",
                (json_int_t)view.share_concurrent_requests,
                "share_tokens_per_s", (json_int_t)view.share_tokens_per_s));
    }
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "customers", customers));
}

typedef struct {
    json_t *requests;
    bool with_trace;
} RequestList;

/* Adds the description of a request. The values of "request_id" and of the
 * trace's "after_us" are also given under the field names of docs/api.md, "id"
 * and "age_us". */
static void
add_request(void *context, json_t *request)
{
    RequestList *list = context;
    json_object_set(request, "id", json_object_get(request, "request_id"));
    size_t index;
    json_t *entry;
    json_array_foreach(json_object_get(request, "trace"), index, entry)
    {
        json_object_set(entry, "age_us", json_object_get(entry, "after_us"));
    }
    if (!list->with_trace) {
        json_object_del(request, "trace");
    }
    json_array_append(list->requests, request);
}

void
EbAdmin_ListRequests(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    struct evkeyvalq query = {0};
    const char *id = NULL;
    if (call->query != NULL &&
        evhttp_parse_query_str(call->query, &query) == 0) {
        id = evhttp_find_header(&query, "id");
    }
    RequestList list = {json_array(), id != NULL};
    EbDispatcher_DescribeRequests(options->dispatcher, id, EbClock_Monotonic(),
                                  add_request, &list);
    evhttp_clear_headers(&query);
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "requests", list.requests));
}

void
EbAdmin_ListQuarantine(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    EbQuarantineEntry *entries =
        g_new0(EbQuarantineEntry, MAX_LISTED_FINGERPRINTS);
    size_t count =
        EbQuarantine_List(options->quarantine, entries,
                          MAX_LISTED_FINGERPRINTS, EbClock_Monotonic());
    json_t *list = json_array();
    for (size_t i = 0; i < count; i++) {
        char text[17];
        snprintf(text, sizeof(text), "%016" PRIx64, entries[i].fingerprint);
        json_array_append_new(
            list,
            json_pack("{s:s, s:I, s:s, s:I}", "fingerprint", text, "points",
                      (json_int_t)entries[i].crashes, "state",
                      EbFingerprintState_names[entries[i].state],
                      "remaining_us", (json_int_t)entries[i].remaining_us));
    }
    g_free(entries);
    EbAdmin_Reply(call->server, call->request, 200,
                  json_pack("{s:o}", "quarantine", list));
}

/* Returns the name of the outcome that follows from the state of a stored
 * claim. The outcome is unknown in any state that is not in the table. */
static const char *
outcome_of_claim(const json_t *claim)
{
    static const struct {
        EbClaimState state;
        EbOutcome outcome;
    } outcomes[] = {
        {EB_CLAIM_VOID, EB_OUTCOME_NOT_RUN},
        {EB_CLAIM_OPEN, EB_OUTCOME_FAILED},
        {EB_CLAIM_DONE, EB_OUTCOME_DONE},
    };
    const char *state = json_string_value(json_object_get(claim, "state"));
    for (size_t i = 0; state != NULL && i < G_N_ELEMENTS(outcomes); i++) {
        if (strcmp(state, EbClaimState_names[outcomes[i].state]) == 0) {
            return EbOutcome_names[outcomes[i].outcome];
        }
    }
    return EbOutcome_names[EB_OUTCOME_UNKNOWN];
}

static void
on_claim_read(void *context, const EbStoreReply *reply)
{
    EbAdminPendingCall *pending = context;
    EbAdminServer *server = pending->server;
    struct evhttp_request *request = pending->request;
    EbAdminPendingCall_Free(pending);
    if (request == NULL) {
        return;
    }
    if (reply->status == EB_STORE_OK) {
        EbAdmin_Reply(server, request, 200,
                      json_pack("{s:s, s:I, s:O}", "outcome",
                                outcome_of_claim(reply->value), "version",
                                (json_int_t)reply->version, "claim",
                                reply->value));
    }
    else if (reply->status == EB_STORE_NOT_FOUND) {
        EbAdmin_ReplyProblem(server, request, 404, "the key is not recorded",
                             NULL);
    }
    else {
        EbAdmin_ReplyProblem(server, request, 503,
                             "the platform does not answer", NULL);
    }
}

void
EbAdmin_GetOutcome(const EbAdminCall *call)
{
    const EbAdminServerOptions *options = &call->server->options;
    char **parts = g_strsplit(call->path_suffix, "/", 2);
    if (g_strv_length(parts) != 2 || parts[0][0] == '\0' ||
        parts[1][0] == '\0') {
        EbAdmin_ReplyProblem(call->server, call->request, 404,
                             "the path must be /v1/outcomes/{customer}/{key}",
                             NULL);
        g_strfreev(parts);
        return;
    }
    char *customer = evhttp_uridecode(parts[0], 0, NULL);
    char *key = evhttp_uridecode(parts[1], 0, NULL);
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest(key, digest);
    char *name = g_strconcat(customer, ".", digest, NULL);
    /* The ledger distributes its objects over several kinds by digest. */
    char *kind = EbLedger_ObjectKind(digest);
    EbAdminPendingCall *pending = EbAdminPendingCall_New(call, name, 0);
    options->call_store(options->context, EB_STORE_GET, kind, name,
                        on_claim_read, pending);
    g_free(kind);
    g_free(name);
    free(customer);
    free(key);
    g_strfreev(parts);
}
