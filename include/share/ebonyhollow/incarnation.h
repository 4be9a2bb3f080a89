/* EbIncarnation: which start of a backend server something is about. What is
 * known of a server holds for one incarnation. */
#ifndef EBONYHOLLOW_INCARNATION_H
#define EBONYHOLLOW_INCARNATION_H

#include <stdbool.h>
#include <stdint.h>

/* Returns whether a server has started anew since `known`: both incarnations
 * are known (not 0) and they differ. A later one may be the smaller number,
 * when the server's clock was set back. */
static inline bool
EbIncarnation_HasChanged(uint64_t known, uint64_t current)
{
    return known != 0 && current != 0 && known != current;
}

#endif
