/* Routes that forward requests, and the plan of their preparations. */
#include <string.h>

#include <glib.h>

#include "ebonyhollow/config.h"

/* A preparation waits about half a call for a free server. */
#define WAIT_SHARE 2

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
    int64_t call_us = batch->call_us + batch->max_items / 2 * batch->item_us;
    return call_us + call_us / WAIT_SHARE;
}

void
EbConfig_PlanPreparations(EbConfig *config)
{
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        EbConfigForward *forward = config->pipelines[i].forward;
        if (forward == NULL) {
            continue;
        }
        /* A preparation comes after those it needs. */
        for (uint32_t k = forward->preparation_count; k > 0; k--) {
            EbConfigPreparation *row = &forward->preparations[k - 1];
            row->downstream_us = 0;
            for (uint32_t n = k; n < forward->preparation_count; n++) {
                const EbConfigPreparation *next = &forward->preparations[n];
                if ((next->after & 1U << (k - 1)) != 0) {
                    int64_t after_us =
                        next->downstream_us +
                        EbConfig_BatchCallTime(
                            &config->pools[next->pool_index].batch);
                    row->downstream_us = MAX(row->downstream_us, after_us);
                }
            }
        }
    }
}
