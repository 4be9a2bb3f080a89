/* Declarations shared by the files of test_random_config. */
#ifndef EB_TEST_RANDOM_CONFIG_H
#define EB_TEST_RANDOM_CONFIG_H

#include <jansson.h>

#include "ebonyhollow/random.h"

#define RANDOM_KEYS 8 /* "key-0" and so on */
#define MAX_LISTED_STAGES 70

/* Hosts and paths of routes. */
extern const char *const RandomConfig_hosts[3];
extern const char *const RandomConfig_prefixes[4];

/* Returns a random configuration object as an operator might write it: names
 * of any bytes and order, given twice or equal to words that the product uses,
 * stages in any order, and in some objects fields that are missing or have
 * another type. */
json_t *RandomConfig_New(EbRandom *random, uint64_t version);

#endif
