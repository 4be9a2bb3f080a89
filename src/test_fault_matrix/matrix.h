#ifndef EB_MATRIX_H
#define EB_MATRIX_H

#include <glib.h>

/* Guard against an outcome, a number of executions or a claim that differs
 * from the table, after one fault, the same fault twice, or two faults. */
void test_single_faults(void);
void test_repeated_faults(void);
void test_pairs(void);

/* Guards against differences between docs/fault-matrix.md and the table. */
void test_page(void);

/* Returns the table as a Markdown page; free it with g_string_free(). */
GString *Matrix_Format(void);

#endif
