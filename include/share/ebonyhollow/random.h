/* EbRandom: a seeded pseudo-random generator. It is passed in to the modules
 * that need it, so that tests can replay a run from its seed. Not for secrets;
 * those come from libsodium.
 *
 * The algorithm is SplitMix64 (Steele, Lea, Flood: "Fast splittable
 * pseudorandom number generators", 2014). */
#ifndef EBONYHOLLOW_RANDOM_H
#define EBONYHOLLOW_RANDOM_H

#include <stdint.h>

typedef struct {
    uint64_t state;
} EbRandom;

/* Seeds a generator; equal seeds give equal sequences. */
void EbRandom_Init(EbRandom *random, uint64_t seed);

/* Returns the next 64 random bits. */
uint64_t EbRandom_Next(EbRandom *random);

/* Returns a value in [0, bound); 0 when bound is 0. */
uint64_t EbRandom_Below(EbRandom *random, uint64_t bound);

#endif
