/* Declarations shared by the files of test_platform. */
#ifndef EB_TEST_PLATFORM_H
#define EB_TEST_PLATFORM_H

/* config.c */

void test_abandon_times(void);
void test_config(void);
void test_invalid_config(void);
void test_config_defects(void);
void test_name_order(void);
void test_customer_ids(void);
void test_limits(void);
void test_missing_tenants(void);
void test_many_stages(void);
void test_many_counts(void);

/* settings.c */

void test_settings(void);
void test_client_memory(void);
void test_grace_times(void);
void test_evacuation_setting(void);
void test_invalid_settings(void);

#endif
