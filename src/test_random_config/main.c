/* Random configurations: what the adapter accepts keeps the rules of EbConfig,
 * and requests run while one configuration replaces another. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "ebonyhollow/dispatcher.h"
#include "platform.h"
#include "random_config.h"
#include "test_runner.h"

#define SECOND_US INT64_C(1000000)
#define CONFIG_SEEDS 3000
#define RUN_SEEDS 60
#define CHANGES_PER_RUN 12
#define REQUESTS_PER_CONFIG 6
#define SERVERS 12
#define MAX_DEADLINE_US (12 * SECOND_US)

/* Reports a failed check together with the seed that leads to it. */
static void
check(bool holds, const char *property, uint64_t seed)
{
    if (!holds) {
        printf("seed %u: %s\n", (unsigned)seed, property);
    }
    CU_ASSERT_TRUE(holds);
}

static bool
has_unique_names(const EbConfig *config)
{
    bool unique = true;
    for (uint32_t i = 0; i < config->pool_count; i++) {
        unique = unique && EbConfig_FindPool(config, config->pools[i].name) ==
                               &config->pools[i];
    }
    for (uint32_t i = 0; i < config->customer_count; i++) {
        unique =
            unique && EbConfig_FindCustomer(config, config->customers[i].id) ==
                          &config->customers[i];
    }
    for (uint32_t i = 0; i < config->server_count; i++) {
        unique =
            unique && EbConfig_FindServer(config, config->servers[i].id) ==
                          &config->servers[i];
    }
    return unique;
}

static bool
has_one_anonymous_customer(const EbConfig *config)
{
    unsigned count = 0;
    for (uint32_t i = 0; i < config->customer_count; i++) {
        count += config->customers[i].anonymous;
    }
    return count == 1;
}

static bool
is_route_usable(const EbConfig *config, const EbConfigPipeline *pipeline)
{
    EbConfigForward *forward = pipeline->forward;
    bool usable = pipeline->deadline_us > 0 &&
                  pipeline->stages[0].pool_index < config->pool_count;
    for (uint32_t i = 0; i < forward->split_count; i++) {
        usable = usable && forward->splits[i].pool_index < config->pool_count;
    }
    for (uint32_t i = 0; i < forward->preparation_count; i++) {
        uint32_t pool_index = forward->preparations[i].pool_index;
        usable = usable && pool_index < config->pool_count &&
                 config->pools[pool_index].batch.max_items > 0;
    }
    return usable && EbConfig_PlanForward(config, forward);
}

static bool
are_routes_consistent(const EbConfig *config)
{
    bool consistent = true;
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        const EbConfigPipeline *pipeline = &config->pipelines[i];
        consistent = consistent && (pipeline->forward->unusable ||
                                    is_route_usable(config, pipeline));
    }
    return consistent;
}

/* Returns whether every route with a host and a prefix is there. */
static bool
has_all_routes(const EbConfig *config, const json_t *value)
{
    bool found = true;
    size_t index;
    const json_t *route;
    json_array_foreach(json_object_get(value, "routes"), index, route)
    {
        const char *host = json_string_value(json_object_get(route, "host"));
        const char *prefix =
            json_string_value(json_object_get(route, "path_prefix"));
        if (host != NULL && prefix != NULL && prefix[0] != '\0') {
            char *lower = g_ascii_strdown(host, -1);
            found = found && EbConfig_FindForwardPipeline(config, lower,
                                                          prefix) != NULL;
            g_free(lower);
        }
    }
    return found;
}

static bool
lists_key(const json_t *tenant, const char *key)
{
    size_t index;
    const json_t *item;
    json_array_foreach(json_object_get(tenant, "api_keys"), index, item)
    {
        if (g_strcmp0(json_string_value(item), key) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether each key belongs to a customer who lists it, and a key that
 * no tenant with a name lists belongs to nobody. */
static bool
has_right_keys(const EbConfig *config, const json_t *value)
{
    bool right = true;
    for (unsigned i = 0; i < RANDOM_KEYS; i++) {
        char key[16];
        snprintf(key, sizeof(key), "key-%u", i);
        const EbConfigCustomer *customer =
            EbConfig_FindCustomerByToken(config, key);
        bool listed = false;
        bool own = false;
        size_t index;
        const json_t *tenant;
        json_array_foreach(json_object_get(value, "tenants"), index, tenant)
        {
            const char *name =
                json_string_value(json_object_get(tenant, "name"));
            bool has_key = name != NULL && lists_key(tenant, key);
            listed = listed || has_key;
            own = own || (has_key && customer != NULL &&
                          strcmp(customer->id, name) == 0);
        }
        right = right && (customer != NULL) == listed && (!listed || own);
    }
    return right;
}

static EbConfig *
read_config(const json_t *value, const EbServerRegistration *servers,
            EbConfigDefects *defects)
{
    const EbServerRegistration *list[SERVERS];
    for (size_t i = 0; i < SERVERS; i++) {
        list[i] = &servers[i];
    }
    EbError error = {0};
    return EbPlatform_ReadConfig(value, "site", list, SERVERS, defects,
                                 &error);
}

static void
make_servers(EbServerRegistration *servers)
{
    static char *const services[] = {"a", "B", "zebra", "anonymous", "", "*"};
    static char ids[SERVERS][8];
    for (size_t i = 0; i < SERVERS; i++) {
        snprintf(ids[i], sizeof(ids[i]), "s-%u", (unsigned)(i * 7 % SERVERS));
        servers[i] = (EbServerRegistration){
            .id = ids[i],
            .service = services[i % G_N_ELEMENTS(services)],
            .host = "10.0.0.1",
            .port = (uint16_t)(7000 + i),
            .failure_domain = "z",
            .slots = 4};
    }
}

/* Guards against a configuration that breaks the rules of EbConfig, loses a
 * route or a key, or is refused as a whole, whatever its parts are. */
static void
test_read(void)
{
    EbServerRegistration servers[SERVERS];
    make_servers(servers);
    for (uint64_t seed = 1; seed <= CONFIG_SEEDS; seed++) {
        EbRandom random;
        EbRandom_Init(&random, seed);
        json_t *value = RandomConfig_New(&random, seed);
        EbConfigDefects defects;
        EbConfig *config = read_config(value, servers, &defects);
        check(config != NULL, "the configuration is read", seed);
        if (config != NULL) {
            check(has_unique_names(config), "names are unique", seed);
            check(has_one_anonymous_customer(config),
                  "one customer is anonymous", seed);
            check(are_routes_consistent(config), "routes are consistent",
                  seed);
            check(has_all_routes(config, value), "all routes are there", seed);
            check(has_right_keys(config, value), "keys have their customers",
                  seed);
        }
        EbConfig_Unref(config);
        json_decref(value);
    }
}

/* A dispatcher whose servers and homes answer at once. */
typedef struct {
    EbRandom random;
    EbActionQueue *actions;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDirectives *directives;
    EbSuspects *suspects;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    int64_t now_us;
    unsigned submitted;
    unsigned answered;
    unsigned done;
} Run;

static int64_t
no_clock(void *context)
{
    (void)context;
    return 0;
}

static void
open_run(Run *run, uint64_t seed, EbConfig *config)
{
    *run = (Run){.now_us = SECOND_US, .actions = EbActionQueue_New()};
    EbRandom_Init(&run->random, seed);
    run->metrics = EbMetrics_New();
    run->ledger = EbLedger_New(&(EbLedgerOptions){.instance = "i-1",
                                                  .peer_address = "10.0.0.9:1",
                                                  .actions = run->actions,
                                                  .random = &run->random,
                                                  .wall_clock_us = no_clock});
    run->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = "i-1", .config = config});
    run->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    run->directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = "i-1", .random = &run->random});
    run->suspects = EbSuspects_New(&(EbSuspectsOptions){
        .random = &run->random, .quarantine = run->quarantine});
    run->dispatcher =
        EbDispatcher_New(&(EbDispatcherOptions){.instance = "i-1",
                                                .failure_domain = "z",
                                                .actions = run->actions,
                                                .random = &run->random,
                                                .ledger = run->ledger,
                                                .limiter = run->limiter,
                                                .quarantine = run->quarantine,
                                                .directives = run->directives,
                                                .suspects = run->suspects,
                                                .metrics = run->metrics});
    EbDispatcher_SetConfig(run->dispatcher, config, run->now_us);
}

static void
close_run(Run *run)
{
    EbDispatcher_Free(run->dispatcher);
    EbLedger_Free(run->ledger);
    EbLimiter_Free(run->limiter);
    EbSuspects_Free(run->suspects);
    EbDirectives_Free(run->directives);
    EbQuarantine_Free(run->quarantine);
    EbMetrics_Free(run->metrics);
    EbActionQueue_Free(run->actions);
}

static void
answer_call(Run *run, const EbSendAttempt *send)
{
    EbHttpMessage *reply = EbHttpMessage_NewResponse(200);
    EbDispatcher_AttemptEvent(
        run->dispatcher,
        &(EbAttemptEvent){
            .attempt_id = send->attempt_id,
            .kind = EB_ATTEMPT_ANSWERED,
            .http_status = 200,
            .reply = reply,
            .forward = {.request_id = send->request_id, .sealed = true}},
        run->now_us);
    EbHttpMessage_Unref(reply);
}

static void
end_preparation(Run *run, const EbPreparationJob *job)
{
    char **handles = g_new0(char *, job->item_count + 1);
    for (uint32_t i = 0; i < job->item_count; i++) {
        handles[i] = g_strdup_printf("10.0.0.1:7000/%u", i);
    }
    EbDispatcher_PreparationEnded(run->dispatcher, job->job, EB_PREPARED_OK,
                                  handles, job->item_count, run->now_us);
    g_strfreev(handles);
}

static void
process_actions(Run *run)
{
    EbAction action;
    while (EbActionQueue_Pop(run->actions, &action)) {
        if (action.kind == EB_ACTION_SEND_ATTEMPT) {
            answer_call(run, &action.as.send);
        }
        else if (action.kind == EB_ACTION_PREPARE) {
            end_preparation(run, &action.as.prepare);
        }
        else if (action.kind == EB_ACTION_ANSWER) {
            run->answered++;
            run->done += action.as.answer.outcome == EB_OUTCOME_DONE;
        }
        EbAction_Clear(&action);
    }
}

static void
submit(Run *run)
{
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    char key[16];
    snprintf(key, sizeof(key), "key-%u",
             (unsigned)EbRandom_Below(&run->random, RANDOM_KEYS));
    const char *host = RandomConfig_hosts[EbRandom_Below(
        &run->random, G_N_ELEMENTS(RandomConfig_hosts))];
    const char *prefix = RandomConfig_prefixes[EbRandom_Below(
        &run->random, G_N_ELEMENTS(RandomConfig_prefixes))];
    call->references = 1;
    call->path = g_strdup_printf("%sx", prefix);
    call->message = EbHttpMessage_NewRequest("POST", call->path);
    call->request_id = g_strdup_printf("r-%u", ++run->submitted);
    call->token = EbRandom_Below(&run->random, 3) > 0 ? g_strdup(key) : NULL;
    call->host = g_ascii_strdown(host, -1);
    call->last_event_id = EB_FORWARD_NO_EVENT;
    call->item_stage_count =
        (uint32_t)EbRandom_Below(&run->random, EB_CONFIG_MAX_PREPARATIONS + 1);
    for (uint32_t i = 0; i < call->item_stage_count; i++) {
        call->item_counts[i] = (uint32_t)EbRandom_Below(&run->random, 4);
    }
    EbDispatcher_Submit(run->dispatcher, &(EbSubmission){.forward = call},
                        run->now_us);
    EbForwardCall_Unref(call);
}

static void
advance(Run *run, int64_t by_us)
{
    int64_t end_us = run->now_us + by_us;
    process_actions(run);
    while (run->now_us < end_us) {
        int64_t next_us = EbDispatcher_NextTimer(run->dispatcher);
        run->now_us = CLAMP(next_us, run->now_us + 1000, end_us);
        EbDispatcher_Tick(run->dispatcher, run->now_us);
        process_actions(run);
    }
}

/* Guards against requests that are lost, or answered twice, while
 * configurations of any form replace each other, and against a process that
 * ends. */
static void
test_changes(void)
{
    EbServerRegistration servers[SERVERS];
    make_servers(servers);
    unsigned done = 0;
    for (uint64_t seed = 1; seed <= RUN_SEEDS; seed++) {
        EbRandom random;
        EbRandom_Init(&random, ~seed);
        Run run = {0};
        for (uint64_t version = 1; version <= CHANGES_PER_RUN; version++) {
            json_t *value = RandomConfig_New(&random, version);
            EbConfigDefects defects;
            EbConfig *config = read_config(value, servers, &defects);
            CU_ASSERT_PTR_NOT_NULL_FATAL(config);
            json_decref(value);
            if (run.dispatcher == NULL) {
                open_run(&run, seed, config);
            }
            EbLimiter_SetConfig(run.limiter, config);
            EbDispatcher_SetConfig(run.dispatcher, config, run.now_us);
            EbConfig_Unref(config);
            for (int i = 0; i < REQUESTS_PER_CONFIG; i++) {
                submit(&run);
            }
            /* Some requests are still running at the next change. */
            if (EbRandom_Below(&random, 2) == 0) {
                advance(&run, SECOND_US / 10);
            }
        }
        advance(&run, MAX_DEADLINE_US);
        check(run.answered == run.submitted, "each request has one answer",
              seed);
        check(EbDispatcher_LiveCount(run.dispatcher) == 0,
              "no request is left", seed);
        done += run.done;
        close_run(&run);
    }

    CU_ASSERT_TRUE(done > RUN_SEEDS); /* the runs are not all refusals */
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"read", test_read},
        {"changes", test_changes},
    };
    return EbTest_Run("test_random_config", cases, G_N_ELEMENTS(cases));
}
