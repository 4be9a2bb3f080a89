/* Pages that list the fields of a schema table. */
#ifndef EB_TEST_FIELD_PAGE_H
#define EB_TEST_FIELD_PAGE_H

#include <stddef.h>

#include "ebonyhollow/schema.h"

/* Asserts that docs/configuration.md has exactly the rows of the table behind
 * the line `begin`, and that ebonyhollow-config(5) names each field. */
void FieldPage_Check(const char *begin, const EbSchemaField *fields,
                     size_t field_count);

#endif
