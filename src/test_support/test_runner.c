#include "test_runner.h"

#include <stdio.h>

#include <CUnit/Basic.h>

static int
register_cases(const char *suite, const EbTestCase *cases, size_t count)
{
    if (CU_initialize_registry() != CUE_SUCCESS) {
        return -1;
    }
    CU_pSuite handle = CU_add_suite(suite, NULL, NULL);
    if (handle == NULL) {
        return -1;
    }
    for (size_t i = 0; i < count; i++) {
        if (CU_add_test(handle, cases[i].name, cases[i].function) == NULL) {
            return -1;
        }
    }
    return 0;
}

int
EbTest_Run(const char *suite, const EbTestCase *cases, size_t count)
{
    if (register_cases(suite, cases, count) != 0) {
        fprintf(stderr, "%s: %s\n", suite, CU_get_error_msg());
        return 1;
    }
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    unsigned ran = CU_get_number_of_tests_run();
    unsigned failed = CU_get_number_of_tests_failed();
    CU_cleanup_registry();
    printf("%s: %u passed, %u failed\n", suite, ran - failed, failed);
    return ran == count && ran > 0 && failed == 0 ? 0 : 1;
}
