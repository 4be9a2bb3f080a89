#include "ebonyhollow/class_share.h"

#include <assert.h>

uint32_t
EbClassShare_Next(EbClassShare *share, uint32_t waiting)
{
    assert(waiting != 0 && waiting >> EB_CLASS_SHARE_CLASSES == 0);
    uint32_t permille = share->least_permille != 0
                            ? share->least_permille
                            : EB_CLASS_SHARE_DEFAULT_PERMILLE;
    uint32_t next = EB_CLASS_SHARE_CLASSES;
    uint32_t most_urgent = EB_CLASS_SHARE_CLASSES;
    for (uint32_t i = 0; i < EB_CLASS_SHARE_CLASSES; i++) {
        if ((waiting & 1U << i) == 0) {
            share->owed[i] = 0;
            continue;
        }
        if (most_urgent == EB_CLASS_SHARE_CLASSES) {
            most_urgent = i;
            continue;
        }
        share->owed[i] += permille / 1000.0;
        if (next == EB_CLASS_SHARE_CLASSES && share->owed[i] >= 1) {
            next = i;
        }
    }
    if (next == EB_CLASS_SHARE_CLASSES) {
        next = most_urgent;
    }
    else {
        share->owed[next] -= 1;
    }
    return next;
}
