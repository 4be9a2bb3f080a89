#ifndef EB_SEQUENCES_H
#define EB_SEQUENCES_H

#include <stdbool.h>
#include <stdint.h>

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* Runs `count` random sequences with the seeds from `first_seed` on. Stops at
 * the first that violates a rule of the simulation and prints its trace.
 * Returns whether all passed. */
bool Sequences_Run(uint64_t first_seed, uint64_t count);

/* Guards against a wrong outcome after a combination of faults that the table
 * does not cover. The environment variable EB_SEEDS sets the number of seeds;
 * default: 2500. */
void test_sequences(void);

#endif
