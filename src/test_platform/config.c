/* Tests of the operator's configuration: its translation, and what operators
 * may write that no site uses, such as names in any order. */
#include <stdlib.h>

#include <glib.h>

#include "platform.h"
#include "test_platform.h"
#include "test_runner.h"

static const char config_text[] =
    "{\"version\":7,\"routes\":[{\"name\":\"draft\",\"host\":\"H.example\","
    "\"path_prefix\":\"/d/\",\"route_kind\":\"streaming\","
    "\"timeout_ms\":6000,\"goal_ms\":1100,\"priority\":1,"
    "\"split\":[{\"service\":\"model\",\"weight\":90},"
    "{\"service\":\"orders\",\"weight\":10}],\"max_attempts\":2,"
    "\"stages\":[{\"service\":\"encode\",\"after\":[],"
    "\"byte_count\":1500000},{\"service\":\"encode\",\"after\":[0],"
    "\"byte_count\":10}],\"anonymous\":false,\"sticky\":true,"
    "\"resumable\":true,\"gap_target_ms\":300},"
    "{\"name\":\"order\",\"host\":\"h.example\",\"path_prefix\":\"/d/o/\","
    "\"route_kind\":\"non_idempotent\",\"timeout_ms\":800,"
    "\"service\":\"orders\",\"max_attempts\":1,\"anonymous\":true},"
    "{\"name\":\"read\",\"host\":\"h.example\",\"path_prefix\":\"/r/\","
    "\"route_kind\":\"idempotent\",\"timeout_ms\":800,"
    "\"service\":\"orders\",\"max_attempts\":2}],"
    "\"services\":[{\"name\":\"model\",\"engine\":{\"slots\":96}},"
    "{\"name\":\"encode\",\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":16,"
    "\"call_ms\":200.0,\"item_ms\":11.5,\"headroom_mb\":36.0,"
    "\"handle_s\":4.0}},{\"name\":\"orders\"}],"
    "\"tenants\":[{\"name\":\"c-1\",\"api_keys\":[\"k1\",\"k2\"],"
    "\"priority\":2}],\"unknown\":{}}";

static EbConfig *
read_valid_config(const EbServerRegistration *const *registrations,
                  size_t count)
{
    json_t *value = json_loads(config_text, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    EbConfigDefects defects;
    EbError error = {0};
    EbConfig *config = EbPlatform_ReadConfig(value, "site", registrations,
                                             count, &defects, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_EQUAL(defects.count, 0);
    json_decref(value);
    return config;
}

static EbConfig *
read_text(const char *text)
{
    json_t *value = json_loads(text, 0, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(value);
    EbConfigDefects defects;
    EbError error = {0};
    EbConfig *config =
        EbPlatform_ReadConfig(value, "site", NULL, 0, &defects, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_EQUAL(defects.count, 0);
    json_decref(value);
    return config;
}

/* Guards against a wrong time at which callers leave a stream, and against one
 * that is assumed where the route doesn't declare what it depends on. */
void
test_abandon_times(void)
{
    static const struct {
        const char *kind;
        const char *times;
        int64_t abandon_us;
    } rows[] = {
        {"streaming", "\"goal_ms\":1800,\"gap_target_ms\":300", 7200000},
        {"streaming", "\"goal_ms\":300,\"gap_target_ms\":200", 2000000},
        {"streaming", "\"goal_ms\":1000,\"gap_target_ms\":700", 5600000},
        {"streaming", "\"goal_ms\":1800", 0},
        {"streaming", "\"gap_target_ms\":300", 0},
        {"idempotent", "\"goal_ms\":1800,\"gap_target_ms\":300", 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = g_strdup_printf(
            "{\"version\":1,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
            "\"path_prefix\":\"/\",\"route_kind\":\"%s\","
            "\"timeout_ms\":20000,\"service\":\"s\",\"max_attempts\":1,%s}],"
            "\"services\":[{\"name\":\"s\"}]}",
            rows[i].kind, rows[i].times);
        EbConfig *config = read_text(text);
        g_free(text);
        CU_ASSERT_EQUAL(config->pipelines[0].forward->abandon_us,
                        rows[i].abandon_us);
        EbConfig_Unref(config);
    }
}

/* Guards against wrong translation of kinds, times, keys and stages, against
 * a wrong choice of the route, and against using a server that is leaving or
 * whose service is unknown. */
void
test_config(void)
{
    EbServerRegistration ready = {.id = "s-1",
                                  .service = "orders",
                                  .host = "10.0.0.9",
                                  .port = 8080,
                                  .failure_domain = "recife",
                                  .slots = 6};
    EbServerRegistration leaving = ready;
    leaving.id = "s-2";
    leaving.leaving = true;
    EbServerRegistration unknown_service_server = ready;
    unknown_service_server.service = "gone";
    const EbServerRegistration *registrations[] = {&ready, &leaving,
                                                   &unknown_service_server};
    EbConfig *config =
        read_valid_config(registrations, G_N_ELEMENTS(registrations));
    CU_ASSERT_EQUAL(config->generation, 7);
    CU_ASSERT_EQUAL(config->server_count, 1);
    CU_ASSERT_EQUAL(config->servers[0].capacity, 6);
    const EbConfigPipeline *draft =
        EbConfig_FindForwardPipeline(config, "h.example", "/d/x");
    const EbConfigPipeline *order =
        EbConfig_FindForwardPipeline(config, "h.example", "/d/o/x");
    const EbConfigPipeline *read =
        EbConfig_FindForwardPipeline(config, "h.example", "/r/");
    CU_ASSERT_PTR_NULL(
        EbConfig_FindForwardPipeline(config, "h.example", "/d"));
    CU_ASSERT_PTR_NULL(EbConfig_FindForwardPipeline(config, "other", "/d/x"));
    CU_ASSERT_STRING_EQUAL(draft->name, "draft");
    CU_ASSERT_TRUE(draft->stages[0].idempotent);
    CU_ASSERT_EQUAL(draft->stages[0].kind, EB_STAGE_GENERATE);
    CU_ASSERT_EQUAL(draft->deadline_us, 6000000);
    CU_ASSERT_EQUAL(draft->forward->latency_goal_us, 1100000);
    CU_ASSERT_EQUAL(draft->forward->abandon_us, 4400000);
    CU_ASSERT_EQUAL(order->forward->abandon_us, 0);
    CU_ASSERT_EQUAL(draft->forward->split_count, 2);
    CU_ASSERT_EQUAL(draft->forward->preparation_count, 2);
    CU_ASSERT_EQUAL(draft->forward->preparations[1].dependencies, 1);
    CU_ASSERT_TRUE(draft->forward->preparations[0].downstream_us >
                   draft->forward->preparations[1].downstream_us);
    CU_ASSERT_TRUE(draft->forward->preparations[0].downstream_min_us >
                   draft->forward->preparations[1].downstream_min_us);
    CU_ASSERT_TRUE(draft->forward->preparations[0].downstream_min_us <
                   draft->forward->preparations[0].downstream_us);
    CU_ASSERT_STRING_EQUAL(order->name, "order");
    CU_ASSERT_FALSE(order->stages[0].idempotent);
    CU_ASSERT_TRUE(order->forward->anonymous);
    CU_ASSERT_TRUE(read->stages[0].idempotent);
    CU_ASSERT_FALSE(read->forward->anonymous);
    const EbConfigPool *encode = EbConfig_FindPool(config, "encode");
    CU_ASSERT_EQUAL(encode->batch.max_items, 16);
    CU_ASSERT_EQUAL(encode->batch.item_us, 11500);
    CU_ASSERT_EQUAL(encode->batch.result_memory_bytes, 36000000);
    CU_ASSERT_EQUAL(EbConfig_FindPool(config, "orders")->batch.max_items, 0);
    CU_ASSERT_STRING_EQUAL(EbConfig_FindCustomerByToken(config, "k2")->id,
                           "c-1");
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, "k3"));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, ""));
    EbConfig_Unref(config);
}

/* Guards against accepting an object that is no configuration, which would
 * replace a valid one. */
void
test_invalid_config(void)
{
    static const char *const texts[] = {
        "{}",
        "{\"version\":\"7\"}",
        "{\"version\":0}",
        "{\"version\":7,\"routes\":{}}",
        "{\"version\":7,\"services\":\"x\"}",
        "{\"version\":7,\"tenants\":1}",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
        json_t *value = json_loads(texts[i], 0, NULL);
        EbConfigDefects defects;
        EbError error = {0};
        CU_ASSERT_PTR_NULL(
            EbPlatform_ReadConfig(value, "site", NULL, 0, &defects, &error));
        CU_ASSERT_NOT_EQUAL(error.code, EB_ERROR_NONE);
        json_decref(value);
    }
}

/* The parts of a route before those that the rows of test_config_defects
 * replace or add. */
#define ROUTE "\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/r/b/\","
#define TIMES "\"route_kind\":\"idempotent\",\"timeout_ms\":5,"

/* Guards against a configuration that is refused as a whole, so that withdrawn
 * keys and moved routes stay, because one part of it can't be used, and
 * against requests of an unusable route that match a shorter prefix instead.
 */
void
test_config_defects(void)
{
    static const struct {
        const char *list;
        const char *entry; /* added to the list */
        bool matches;      /* the entry is a route that refuses requests */
    } rows[] = {
        {"routes", "3", false},
        {"routes", "{\"name\":\"b\"}", false},
        {"routes", "{" ROUTE "\"service\":\"s\"}", true},
        {"routes", "{" ROUTE "\"timeout_ms\":5,\"service\":\"s\"}", true},
        {"routes", "{" ROUTE TIMES "\"service\":\"none\"}", true},
        {"routes", "{" ROUTE TIMES "\"service\":7}", true},
        {"routes",
         "{" ROUTE TIMES "\"split\":[{\"service\":\"s\",\"weight\":-1}]}",
         true},
        {"routes",
         "{" ROUTE TIMES
         "\"service\":\"s\",\"stages\":[{\"service\":\"none\"}]}",
         true},
        {"routes",
         "{" ROUTE TIMES
         "\"service\":\"s\",\"stages\":[{\"service\":\"unbatched\"}]}",
         true},
        {"routes",
         "{" ROUTE TIMES "\"service\":\"s\",\"stages\":[{\"service\":"
         "\"s\",\"after\":[1]}]}",
         true},
        {"routes",
         "{" ROUTE TIMES "\"service\":\"s\",\"stages\":[{\"service\":"
         "\"s\",\"after\":[0]}]}",
         true},
        {"routes",
         "{" ROUTE TIMES "\"service\":\"s\",\"stages\":["
         "{\"service\":\"s\",\"after\":[1]},"
         "{\"service\":\"s\",\"after\":[0]}]}",
         true},
        {"services", "{}", false},
        {"services", "{\"name\":\"s\"}", false},
        {"tenants", "{\"api_keys\":[\"k9\"]}", false},
    };
    static const char text[] =
        "{\"version\":7,\"services\":[{\"name\":\"s\",\"pieces\":{"
        "\"slots\":1,\"batch\":2,\"call_ms\":10,\"item_ms\":1}},"
        "{\"name\":\"unbatched\"}],"
        "\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/r/"
        "\"," TIMES "\"service\":\"s\"}],"
        "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\"]}]}";
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        json_t *value = json_loads(text, 0, NULL);
        json_t *entry = json_loads(rows[i].entry, JSON_DECODE_ANY, NULL);
        CU_ASSERT_PTR_NOT_NULL_FATAL(entry);
        json_array_append_new(json_object_get(value, rows[i].list), entry);
        EbConfigDefects defects;
        EbError error = {0};
        EbConfig *config =
            EbPlatform_ReadConfig(value, "site", NULL, 0, &defects, &error);
        json_decref(value);
        CU_ASSERT_PTR_NOT_NULL_FATAL(config);
        CU_ASSERT_EQUAL(defects.count, 1);
        CU_ASSERT_NOT_EQUAL(defects.first.code, EB_ERROR_NONE);
        CU_ASSERT_PTR_NOT_NULL(EbConfig_FindCustomerByToken(config, "k1"));
        CU_ASSERT_PTR_NULL(EbConfig_FindCustomerByToken(config, "k9"));
        CU_ASSERT_EQUAL(EbConfig_FindPool(config, "s")->batch.max_items, 2);
        CU_ASSERT_FALSE(EbConfig_FindForwardPipeline(config, "h", "/r/x")
                            ->forward->unusable);
        const EbConfigPipeline *other =
            EbConfig_FindForwardPipeline(config, "h", "/r/b/x");
        CU_ASSERT_EQUAL(other->forward->unusable, rows[i].matches);
        EbConfig_Unref(config);
    }
}

/* Guards against 401 for all callers of anonymous routes after a tenant was
 * added whose name sorts before "anonymous", and against pools, pipelines and
 * customers that are not found because their list is not sorted by name. */
void
test_name_order(void)
{
    static const char *const names[] = {"zebra", "agreste", "miolo", "Capas",
                                        "7-polegadas"};
    GString *services = g_string_new(NULL);
    GString *routes = g_string_new(NULL);
    GString *tenants = g_string_new(NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const char *separator = i > 0 ? "," : "";
        g_string_append_printf(services, "%s{\"name\":\"%s\"}", separator,
                               names[i]);
        g_string_append_printf(
            routes,
            "%s{\"name\":\"%s\",\"host\":\"h\",\"path_prefix\":\"/%s/\","
            "\"route_kind\":\"idempotent\",\"timeout_ms\":800,"
            "\"service\":\"%s\",\"anonymous\":true}",
            separator, names[i], names[i], names[i]);
        g_string_append_printf(tenants,
                               "%s{\"name\":\"%s\",\"api_keys\":[\"%s\"]}",
                               separator, names[i], names[i]);
    }
    char *text = g_strdup_printf("{\"version\":7,\"services\":[%s],"
                                 "\"routes\":[%s],\"tenants\":[%s]}",
                                 services->str, routes->str, tenants->str);
    EbConfig *config = read_text(text);
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        CU_ASSERT_PTR_NOT_NULL(EbConfig_FindPool(config, names[i]));
        CU_ASSERT_PTR_NOT_NULL(EbConfig_FindPipeline(config, names[i]));
        const EbConfigCustomer *customer =
            EbConfig_FindCustomer(config, names[i]);
        CU_ASSERT_PTR_NOT_NULL(customer);
        CU_ASSERT_PTR_EQUAL(EbConfig_FindCustomerByToken(config, names[i]),
                            customer);
    }
    CU_ASSERT_PTR_NOT_NULL(EbConfig_FindCustomer(config, "anonymous"));
    CU_ASSERT_PTR_EQUAL(EbConfig_AnonymousCustomer(config),
                        EbConfig_FindCustomer(config, "anonymous"));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomer(config, "unknown"));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomer(config, NULL));
    EbConfig_Unref(config);
    g_free(text);
    g_string_free(services, TRUE);
    g_string_free(routes, TRUE);
    g_string_free(tenants, TRUE);
}

/* Guards against a tenant that shares its id, and with it its place in queues
 * and limits, with the callers without a key, and against losing the keys of a
 * tenant that is listed twice. */
void
test_customer_ids(void)
{
    static const char text[] =
        "{\"version\":7,\"tenants\":["
        "{\"name\":\"anonymous\",\"api_keys\":[\"k1\"]},"
        "{\"name\":\"c\",\"api_keys\":[\"k2\",\"k3\"],\"priority\":3},"
        "{\"name\":\"anonymous-2\",\"api_keys\":[\"k4\"]},"
        "{\"name\":\"c\",\"api_keys\":[\"k5\"],\"priority\":4},"
        "{\"name\":\"\",\"api_keys\":[\"k6\"]}]}";
    static const struct {
        const char *key;
        const char *id;
    } rows[] = {{"k1", "anonymous"},   {"k2", "c"}, {"k3", "c"},
                {"k4", "anonymous-2"}, {"k5", "c"}, {"k6", ""}};
    EbConfig *config = read_text(text);
    CU_ASSERT_EQUAL(config->customer_count, 5);
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *customer = &config->customers[i];
        CU_ASSERT_PTR_EQUAL(EbConfig_FindCustomer(config, customer->id),
                            customer);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        const EbConfigCustomer *customer =
            EbConfig_FindCustomerByToken(config, rows[i].key);
        CU_ASSERT_PTR_NOT_NULL_FATAL(customer);
        CU_ASSERT_STRING_EQUAL(customer->id, rows[i].id);
        CU_ASSERT_FALSE(customer->anonymous);
    }
    CU_ASSERT_EQUAL(EbConfig_FindCustomer(config, "c")->priority, 3);
    CU_ASSERT_STRING_EQUAL(EbConfig_AnonymousCustomer(config)->id,
                           "anonymous-3");
    EbConfig_Unref(config);
}

/* Guards against limits that are not read, and against an odd one that is
 * taken for a limit or costs the others. */
void
test_limits(void)
{
    static const struct {
        const char *limits;
        EbConfigLimits expected;
    } rows[] = {
        {"{\"max_header_bytes\":32768,\"max_body_bytes\":8388608,"
         "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}",
         {32768, 8388608, 3000000, 15000000}},
        {"{\"max_header_bytes\":-1,\"max_body_bytes\":\"8\","
         "\"header_timeout_ms\":0,\"idle_timeout_ms\":15000,\"new\":1}",
         {.idle_timeout_us = 15000000}},
        {"{\"max_body_bytes\":99999999999}", {0}},
        {"[]", {0}},
        {"null", {0}},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text =
            g_strdup_printf("{\"version\":7,\"limits\":%s}", rows[i].limits);
        EbConfig *config = read_text(text);
        const EbConfigLimits *limits = &config->limits;
        CU_ASSERT_EQUAL(limits->max_header_bytes,
                        rows[i].expected.max_header_bytes);
        CU_ASSERT_EQUAL(limits->max_body_bytes,
                        rows[i].expected.max_body_bytes);
        CU_ASSERT_EQUAL(limits->header_timeout_us,
                        rows[i].expected.header_timeout_us);
        CU_ASSERT_EQUAL(limits->idle_timeout_us,
                        rows[i].expected.idle_timeout_us);
        EbConfig_Unref(config);
        g_free(text);
    }
}

/* Returns a configuration with one route whose stages form a chain. The first
 * listed stage is the last of the chain. Free it with g_free. */
static char *
write_reversed_chain(unsigned count)
{
    GString *stages = g_string_new(NULL);
    for (unsigned i = 0; i < count; i++) {
        g_string_append_printf(
            stages, "%s{\"service\":\"s\",\"byte_count\":10,\"after\":[",
            i > 0 ? "," : "");
        if (i + 1 < count) {
            g_string_append_printf(stages, "%u", i + 1);
        }
        g_string_append(stages, "]}");
    }
    char *text = g_strdup_printf(
        "{\"version\":7,\"services\":[{\"name\":\"s\",\"pieces\":{"
        "\"slots\":1,\"batch\":2,\"call_ms\":10,\"item_ms\":1}}],"
        "\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path_prefix\":\"/r/\","
        "\"route_kind\":\"idempotent\",\"timeout_ms\":800,\"service\":\"s\","
        "\"stages\":[%s]}]}",
        stages->str);
    g_string_free(stages, TRUE);
    return text;
}

/* Guards against a configuration that is refused because a route has many
 * stages or lists a stage before one that it depends on, and against planned
 * times that follow the order of the list instead of the dependencies. */
void
test_many_stages(void)
{
    static const unsigned counts[] = {1, 9, EB_CONFIG_MAX_PREPARATIONS};
    for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
        unsigned count = counts[k];
        char *text = write_reversed_chain(count);
        EbConfig *config = read_text(text);
        g_free(text);
        const EbConfigForward *forward = config->pipelines[0].forward;
        CU_ASSERT_EQUAL_FATAL(forward->preparation_count, count);
        for (unsigned i = 0; i < count; i++) {
            const EbConfigPreparation *preparation = &forward->preparations[i];
            CU_ASSERT_EQUAL(preparation->dependencies,
                            i + 1 < count ? EB_PREPARATION_BIT(i + 1) : 0);
            CU_ASSERT_EQUAL(preparation->downstream_min_us,
                            INT64_C(11000) * i);
            CU_ASSERT_EQUAL(preparation->downstream_us, INT64_C(20000) * i);
        }
        EbConfig_Unref(config);
    }
}

/* Guards against 400 for a request to a route with many stages. */
void
test_many_counts(void)
{
    static const unsigned counts[] = {9, EB_CONFIG_MAX_PREPARATIONS,
                                      EB_CONFIG_MAX_PREPARATIONS + 1};
    for (size_t k = 0; k < G_N_ELEMENTS(counts); k++) {
        GString *text = g_string_new("0");
        for (unsigned i = 1; i < counts[k]; i++) {
            g_string_append_printf(text, ",%u", i);
        }
        EbHttpMessage *message = EbHttpMessage_NewRequest("GET", "/");
        EbHttpMessage_AddHeader(message, "Attempt-Id", "9c41");
        EbHttpMessage_AddHeader(message, "Pieces", text->str);
        EbError error = {0};
        EbForwardCall *call =
            EbPlatform_forward_protocol.read_call(message, &error);
        CU_ASSERT_PTR_NOT_NULL_FATAL(call);
        unsigned stored = MIN(counts[k], EB_CONFIG_MAX_PREPARATIONS);
        CU_ASSERT_EQUAL_FATAL(call->item_stage_count, stored);
        CU_ASSERT_EQUAL(call->item_counts[stored - 1], stored - 1);
        EbForwardCall_Unref(call);
        EbHttpMessage_Unref(message);
        g_string_free(text, TRUE);
    }
}

/* Guards against 401 for callers of a configuration that asks for no keys, and
 * against serving callers without a key because its list of tenants is empty.
 */
void
test_missing_tenants(void)
{
    static const struct {
        const char *tenants; /* JSON; NULL: the field is missing */
        bool anonymous;
    } rows[] = {
        {NULL, true},
        {"null", true},
        {"[]", false},
        {"[{\"name\":\"c\",\"api_keys\":[]}]", false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        char *text = write_reversed_chain(1);
        json_t *value = json_loads(text, 0, NULL);
        g_free(text);
        if (rows[i].tenants != NULL) {
            json_object_set_new(
                value, "tenants",
                json_loads(rows[i].tenants, JSON_DECODE_ANY, NULL));
        }
        text = json_dumps(value, 0);
        EbConfig *config = read_text(text);
        CU_ASSERT_EQUAL(config->pipelines[0].forward->anonymous,
                        rows[i].anonymous);
        CU_ASSERT_PTR_NOT_NULL(EbConfig_AnonymousCustomer(config));
        EbConfig_Unref(config);
        json_decref(value);
        free(text);
    }
}
