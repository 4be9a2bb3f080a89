/* Documentation pages that are generated from a table in code. */
#ifndef EB_TEST_PAGE_H
#define EB_TEST_PAGE_H

/* Asserts that the page in `file` is equal to the generated text. */
void EbTest_ComparePage(const char *file, const char *expected);

/* Asserts that the page in `file` contains the generated text. */
void EbTest_FindInPage(const char *file, const char *expected);

/* Writes a generated page. Returns 0, or 1 after printing an error. */
int EbTest_WritePage(const char *file, const char *text);

#endif
