#include "test_page.h"

#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>
#include <glib.h>

static char *
read_page(const char *file)
{
    char *page = NULL;
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(file, &page, NULL, NULL));
    return page;
}

void
EbTest_ComparePage(const char *file, const char *expected)
{
    char *page = read_page(file);
    CU_ASSERT_STRING_EQUAL(page, expected);
    g_free(page);
}

void
EbTest_FindInPage(const char *file, const char *expected)
{
    char *page = read_page(file);
    CU_ASSERT_PTR_NOT_NULL(strstr(page, expected));
    g_free(page);
}

int
EbTest_WritePage(const char *file, const char *text)
{
    GError *error = NULL;
    if (g_file_set_contents(file, text, -1, &error)) {
        return 0;
    }
    fprintf(stderr, "%s\n", error->message);
    g_error_free(error);
    return 1;
}
