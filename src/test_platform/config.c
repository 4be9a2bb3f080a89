/* Tests of configurations that operators may write: names in any order. */
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
