/* Requests that can't be served while failure domains are evacuated. */
#include <glib.h>

#include "dispatcher_private.h"

/* An order lasts for a while and holds at every daemon, so an earlier retry
 * would only be refused again. */
#define EVACUATED_RETRY_US 1000000

static bool
is_preparation_evacuated(const EbRequest *request, uint32_t index)
{
    const EbPreparation *preparation = &request->forward->preparations[index];
    if (!preparation->needed || preparation->done) {
        return false;
    }
    const EbConfigPreparation *config =
        &EbRequest_ForwardConfig(request)->preparations[index];
    const EbDispatcherPool *pool = EbDispatcher_FindPool(
        request->dispatcher, &request->config->pools[config->pool_index]);
    return pool != NULL && EbPool_IsEvacuated(pool->pool);
}

bool
EbRequest_IsEvacuated(const EbRequest *request)
{
    if (EbPool_IsEvacuated(request->pools[request->stage]->pool)) {
        return true;
    }
    uint32_t count =
        request->forward != NULL ? request->forward->preparation_count : 0;
    for (uint32_t i = 0; i < count; i++) {
        if (is_preparation_evacuated(request, i)) {
            return true;
        }
    }
    return false;
}

void
EbRequest_FailEvacuated(EbRequest *request, int64_t now_us)
{
    EbRequest_SetRetryAfter(request, EVACUATED_RETRY_US);
    EbRequest_Fail(request, EB_REASON_EVACUATED, NULL, now_us);
}
