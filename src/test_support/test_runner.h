/* Runs the CUnit suite of one test program. */
#ifndef EB_TEST_RUNNER_H
#define EB_TEST_RUNNER_H

#include <stddef.h>

#include <CUnit/CUnit.h>

typedef struct {
    const char *name;
    void (*function)(void);
} EbTestCase;

/* Registers and runs `count` test cases as one suite. The last line that it
 * prints is "suite: N passed, N failed"; .ci/run adds up these lines.
 *
 * Returns 0 when all cases ran, at least one, and none failed; 1 otherwise. */
int EbTest_Run(const char *suite, const EbTestCase *cases, size_t count);

#endif
