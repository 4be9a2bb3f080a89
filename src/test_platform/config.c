/* Tests of configurations that operators may write: names in any order, routes
 * with many stages. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "platform.h"
#include "test_platform.h"
#include "test_runner.h"

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
