#include "ebonyhollow/store_protocol.h"

int
EbStorePosition_Compare(const EbStorePosition *a, const EbStorePosition *b)
{
    if (a->era != b->era) {
        return a->era < b->era ? -1 : 1;
    }
    return (a->revision > b->revision) - (a->revision < b->revision);
}
