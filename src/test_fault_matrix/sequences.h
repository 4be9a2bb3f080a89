#ifndef EB_SEQUENCES_H
#define EB_SEQUENCES_H

#include <stdbool.h>
#include <stdint.h>

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* Runs `count` seeds; stops at the first that breaks a rule and prints its
 * trace. */
bool Sequences_Run(uint64_t first_seed, uint64_t count);

/* Guards against an outcome that is wrong under some order of faults. */
void test_sequences(void);

#endif
