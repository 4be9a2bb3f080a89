/* EbPlacement: where the work of a stage is best done.
 *
 * Each work item fetches all results of the stages before it. Where these are
 * larger than its own result, the work belongs in the failure domain that has
 * most of them. */
#ifndef EBONYHOLLOW_PLACEMENT_H
#define EBONYHOLLOW_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/config.h"

/* Returns the failure domain that has the most results of a list, the first
 * one of those that have as many. Results at servers that are not configured
 * don't count; NULL when none does. The name is borrowed from `config`.
 *
 * read_handle: EbForwardProtocol.read_handle.
 * inputs: of char *, handles of results; may be NULL. */
const char *EbPlacement_FindInputDomain(const EbConfig *config,
                                        bool (*read_handle)(const char *handle,
                                                            char **host,
                                                            uint16_t *port),
                                        const GPtrArray *inputs);

#endif
