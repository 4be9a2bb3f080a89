#include "field_page.h"

#include <glib.h>

#include "test_page.h"

#define PAGE EB_SOURCE_DIRECTORY "/docs/configuration.md"
#define MANUAL EB_SOURCE_DIRECTORY "/man/ebonyhollow-config.5"
#define ROW_MAX_BYTES 1024

void
FieldPage_Check(const char *begin, const EbSchemaField *fields,
                size_t field_count)
{
    GString *expected = g_string_new(begin);
    g_string_append(expected, EB_SCHEMA_ROW_HEADER);
    for (size_t i = 0; i < field_count; i++) {
        char row[ROW_MAX_BYTES];
        EbSchema_FormatRow(&fields[i], row, sizeof(row));
        g_string_append_printf(expected, "%s\n", row);
        char *entry = g_strdup_printf(".B %s\n", fields[i].path);
        EbTest_FindInPage(MANUAL, entry);
        g_free(entry);
    }
    g_string_append(expected, "<!-- end -->");
    EbTest_FindInPage(PAGE, expected->str);
    g_string_free(expected, TRUE);
}
