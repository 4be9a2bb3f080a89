#include "ebonyhollow/random.h"

void
EbRandom_Init(EbRandom *random, uint64_t seed)
{
    random->state = seed;
}

uint64_t
EbRandom_Next(EbRandom *random)
{
    random->state += 0x9E3779B97F4A7C15ULL;
    uint64_t mixed = random->state;
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
}

uint64_t
EbRandom_Below(EbRandom *random, uint64_t bound)
{
    if (bound == 0) {
        return 0;
    }
    /* The high half of the 128-bit product is below `bound`; the bias is
     * below bound / 2^64. */
    return (uint64_t)(((unsigned __int128)EbRandom_Next(random) * bound) >>
                      64);
}
