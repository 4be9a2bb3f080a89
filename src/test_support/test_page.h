/* Documentation pages that are generated from a table in code. */
#ifndef EB_TEST_PAGE_H
#define EB_TEST_PAGE_H

/* Asserts that a committed page equals the generated text. */
void EbTest_ComparePage(const char *file, const char *expected);

/* Asserts that a committed page contains the generated text. */
void EbTest_FindInPage(const char *file, const char *expected);

/* Writes a generated page. Returns the program's exit status. */
int EbTest_WritePage(const char *file, const char *text);

#endif
