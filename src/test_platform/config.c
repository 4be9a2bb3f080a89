/* Tests of configurations that operators may write: names in any order, routes
 * with many stages. */
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
    EbError error = {0};
    EbConfig *config = EbPlatform_ReadConfig(value, "site", NULL, 0, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    json_decref(value);
    return config;
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
    CU_ASSERT_PTR_NOT_NULL(
        EbConfig_FindCustomer(config, EB_CUSTOMER_ANONYMOUS));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomer(config, "unknown"));
    CU_ASSERT_PTR_NULL(EbConfig_FindCustomer(config, NULL));
    EbConfig_Unref(config);
    g_free(text);
    g_string_free(services, TRUE);
    g_string_free(routes, TRUE);
    g_string_free(tenants, TRUE);
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
