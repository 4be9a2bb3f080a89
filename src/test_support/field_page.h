/* Check of the documentation that lists the fields of a schema table. */
#ifndef EB_TEST_FIELD_PAGE_H
#define EB_TEST_FIELD_PAGE_H

#include <stddef.h>

#include "ebonyhollow/schema.h"

/* Asserts that docs/configuration.md has exactly the rows of the table after
 * the line `begin`, and that the manual page ebonyhollow-config(5) has an
 * entry for each field. */
void FieldPage_Check(const char *begin, const EbSchemaField *fields,
                     size_t field_count);

#endif
