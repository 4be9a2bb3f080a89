/* Pipelines that forward requests: look-up by host and path, and the expected
 * time of their preparations. */
#include <string.h>

#include <glib.h>

#include "ebonyhollow/config.h"

/* Waiting for a server that is busy with another call, as a part of the time
 * of a full call: two thirds. */
#define WAIT_NUMERATOR 2
#define WAIT_DENOMINATOR 3

const EbConfigPipeline *
EbConfig_FindForwardPipeline(const EbConfig *config, const char *host,
                             const char *path)
{
    const EbConfigPipeline *found = NULL;
    size_t longest = 0;
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        const EbConfigForward *forward = config->pipelines[i].forward;
        if (forward == NULL || strcmp(forward->host, host) != 0) {
            continue;
        }
        size_t length = strlen(forward->path_prefix);
        if (length > longest &&
            strncmp(forward->path_prefix, path, length) == 0) {
            found = &config->pipelines[i];
            longest = length;
        }
    }
    return found;
}

int64_t
EbConfig_BatchCallTime(const EbConfigBatch *batch)
{
    int64_t call_us = batch->call_us + batch->max_items * batch->item_us;
    return call_us + call_us * WAIT_NUMERATOR / WAIT_DENOMINATOR;
}

int64_t
EbConfig_BatchCallMinTime(const EbConfigBatch *batch)
{
    return batch->call_us + batch->item_us;
}

/* Raises a preparation's downstream times to those by way of a dependent. */
static void
add_path(EbConfigPreparation *preparation, const EbConfigPreparation *next,
         const EbConfigBatch *batch)
{
    preparation->downstream_us =
        MAX(preparation->downstream_us,
            next->downstream_us + EbConfig_BatchCallTime(batch));
    preparation->downstream_min_us =
        MAX(preparation->downstream_min_us,
            next->downstream_min_us + EbConfig_BatchCallMinTime(batch));
}

void
EbConfig_PlanPreparations(EbConfig *config)
{
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        EbConfigForward *forward = config->pipelines[i].forward;
        if (forward == NULL) {
            continue;
        }
        /* Goes from the last to the first. A preparation comes after those
         * that it depends on, so the times of its dependents are already
         * known. */
        for (uint32_t k = forward->preparation_count; k > 0; k--) {
            EbConfigPreparation *preparation = &forward->preparations[k - 1];
            preparation->downstream_us = 0;
            preparation->downstream_min_us = 0;
            for (uint32_t n = k; n < forward->preparation_count; n++) {
                const EbConfigPreparation *next = &forward->preparations[n];
                if ((next->dependencies & 1U << (k - 1)) != 0) {
                    add_path(preparation, next,
                             &config->pools[next->pool_index].batch);
                }
            }
        }
    }
}
