#include "ebonyhollow/home_regions.h"

#include <stddef.h>
#include <string.h>

static const char *
find_region(const EbHomeRegions *homes, const char *failure_domain)
{
    for (uint32_t i = 0; i < homes->domain_count; i++) {
        if (strcmp(homes->domains[i].failure_domain, failure_domain) == 0) {
            return homes->domains[i].region;
        }
    }
    return NULL;
}

static bool
allows(const EbRegionList *list, const char *region)
{
    for (uint32_t i = 0; region != NULL && i < list->count; i++) {
        if (strcmp(list->names[i], region) == 0) {
            return true;
        }
    }
    return list->count == 0;
}

bool
EbHomeRegions_Allow(const EbHomeRegions *homes, const char *failure_domain)
{
    if (homes == NULL) {
        return true;
    }
    const char *region = find_region(homes, failure_domain);
    return allows(&homes->pipeline, region) &&
           allows(&homes->customer, region);
}
