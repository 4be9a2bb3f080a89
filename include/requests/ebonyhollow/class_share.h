/* EbClassShare: which class of urgency is served next at a queue.
 *
 * The most urgent class that waits is served, except that each class gets a
 * least share of the service for as long as it waits, so that a lasting
 * shortage doesn't starve it. */
#ifndef EBONYHOLLOW_CLASS_SHARE_H
#define EBONYHOLLOW_CLASS_SHARE_H

#include <stdint.h>

#define EB_CLASS_SHARE_CLASSES 10 /* 0 is the most urgent */

/* A zeroed struct gives each class EB_CLASS_SHARE_DEFAULT_PERMILLE. */
typedef struct {
    uint32_t least_permille; /* 0: the default */
    /* Service that a waiting class was owed and did not get, in turns. */
    double owed[EB_CLASS_SHARE_CLASSES];
} EbClassShare;

#define EB_CLASS_SHARE_DEFAULT_PERMILLE 100

/* Returns the class to serve next and counts the turn.
 *
 * waiting: a bit for each class that waits; at least one is set. A class that
 *     does not wait loses what it is owed. */
uint32_t EbClassShare_Next(EbClassShare *share, uint32_t waiting);

#endif
