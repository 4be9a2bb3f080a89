/* EbHomeRegions: the regions in which a request may be served.
 *
 * A pipeline and a customer may each name home regions. Where both do, both
 * bind: a server must be in a home region of each. A server whose region is
 * not known is in none. */
#ifndef EBONYHOLLOW_HOME_REGIONS_H
#define EBONYHOLLOW_HOME_REGIONS_H

#include <stdbool.h>
#include <stdint.h>

/* Names of regions; borrowed. */
typedef struct {
    const char *const *names;
    uint32_t count; /* 0: every region */
} EbRegionList;

/* The region of a failure domain. */
typedef struct {
    const char *failure_domain;
    const char *region;
} EbDomainRegion;

/* What a request names, and what is known of the failure domains. Everything
 * is borrowed. */
typedef struct {
    EbRegionList pipeline;
    EbRegionList customer;
    const EbDomainRegion *domains;
    uint32_t domain_count;
} EbHomeRegions;

/* Returns whether the request may be served in a failure domain.
 *
 * homes: NULL when the request names none; true then. */
bool EbHomeRegions_Allow(const EbHomeRegions *homes,
                         const char *failure_domain);

#endif
