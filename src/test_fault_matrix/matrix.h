#ifndef EB_MATRIX_H
#define EB_MATRIX_H

#include <glib.h>

/* Guard against an outcome, a number of runs or a claim that differs from
 * the table after one fault, the same fault twice, or two faults. */
void test_single_faults(void);
void test_repeated_faults(void);
void test_pairs(void);

/* Guards against a committed page that differs from the table. */
void test_page(void);

/* The table as Markdown. */
GString *Matrix_Format(void);

#endif
