/* Pipelines that forward requests: look-up by host and path, and the expected
 * time of their preparations. */
#include <assert.h>
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

/* Returns the preparations that need the results of one. */
static EbPreparationSet
find_dependents(const EbConfigForward *forward, uint32_t index)
{
    EbPreparationSet dependents = 0;
    for (uint32_t i = 0; i < forward->preparation_count; i++) {
        if ((forward->preparations[i].dependencies &
             EB_PREPARATION_BIT(index)) != 0) {
            dependents |= EB_PREPARATION_BIT(i);
        }
    }
    return dependents;
}

/* Sets the downstream times of a preparation from those of its dependents. */
static void
plan_preparation(const EbConfig *config, EbConfigForward *forward,
                 uint32_t index, EbPreparationSet dependents)
{
    EbConfigPreparation *preparation = &forward->preparations[index];
    preparation->downstream_us = 0;
    preparation->downstream_min_us = 0;
    for (uint32_t i = 0; i < forward->preparation_count; i++) {
        if ((dependents & EB_PREPARATION_BIT(i)) != 0) {
            const EbConfigPreparation *next = &forward->preparations[i];
            add_path(preparation, next,
                     &config->pools[next->pool_index].batch);
        }
    }
}

bool
EbConfig_PlanForward(const EbConfig *config, EbConfigForward *forward)
{
    assert(forward->preparation_count <= EB_CONFIG_MAX_PREPARATIONS);
    EbPreparationSet planned = 0;
    uint32_t planned_count = 0;
    bool progress = true;
    while (progress && planned_count < forward->preparation_count) {
        progress = false;
        for (uint32_t i = forward->preparation_count; i-- > 0;) {
            EbPreparationSet dependents = find_dependents(forward, i);
            if ((planned & EB_PREPARATION_BIT(i)) == 0 &&
                (dependents & ~planned) == 0) {
                plan_preparation(config, forward, i, dependents);
                planned |= EB_PREPARATION_BIT(i);
                planned_count++;
                progress = true;
            }
        }
    }
    return planned_count == forward->preparation_count;
}

bool
EbConfig_PreparesByUrgency(const EbConfig *config, uint32_t pool_index)
{
    int lowest = -1;
    if (config->pools[pool_index].batch.result_memory_bytes == 0) {
        return false;
    }
    for (uint32_t i = 0; i < config->pipeline_count; i++) {
        const EbConfigForward *forward = config->pipelines[i].forward;
        for (uint32_t k = 0; forward != NULL && k < forward->preparation_count;
             k++) {
            if (forward->preparations[k].pool_index != pool_index) {
                continue;
            }
            if (lowest >= 0 && lowest != forward->priority) {
                return true;
            }
            lowest = forward->priority;
        }
    }
    return false;
}
