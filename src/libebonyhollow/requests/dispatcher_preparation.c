/* Results of preparations: collecting their handles and releasing them. */
#include <glib.h>

#include "dispatcher_private.h"

EbPreparationSet
EbRequest_IntermediatePreparations(const EbRequest *request)
{
    EbPreparationSet required = 0;
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if (request->forward->preparations[i].needed) {
            required |=
                EbRequest_ForwardConfig(request)->preparations[i].dependencies;
        }
    }
    return required;
}

static void
add_handles(GPtrArray *inputs, const EbPreparation *preparation)
{
    for (guint i = 0;
         preparation->handles != NULL && i < preparation->handles->len; i++) {
        g_ptr_array_add(inputs,
                        g_strdup(g_ptr_array_index(preparation->handles, i)));
    }
}

GPtrArray *
EbRequest_CollectHandles(const EbRequest *request, EbPreparationSet set)
{
    GPtrArray *inputs = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0;
         i < EbRequest_ForwardConfig(request)->preparation_count; i++) {
        if ((set & EB_PREPARATION_BIT(i)) != 0) {
            add_handles(inputs, &request->forward->preparations[i]);
        }
    }
    return inputs;
}

GPtrArray *
EbRequest_CollectInputs(const EbRequest *request)
{
    return EbRequest_CollectHandles(
        request, ~EbRequest_IntermediatePreparations(request));
}

void
EbRequest_EndPreparation(EbRequest *request, EbPreparation *preparation)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (preparation->job == 0) {
        return;
    }
    g_hash_table_remove(dispatcher->jobs, &preparation->job);
    EbAction action = {.kind = EB_ACTION_END_PREPARATION};
    action.as.end_job = preparation->job;
    EbActionQueue_Push(dispatcher->options.actions, &action);
    preparation->job = 0;
}

void
EbRequest_EndPreparations(EbRequest *request)
{
    for (uint32_t i = 0; i < request->forward->preparation_count; i++) {
        EbRequest_EndPreparation(request, &request->forward->preparations[i]);
    }
}

void
EbRequest_DropPreparations(EbRequest *request)
{
    EbRequest_EndPreparations(request);
    for (uint32_t i = 0; i < request->forward->preparation_count; i++) {
        EbPreparation *preparation = &request->forward->preparations[i];
        preparation->done = false;
        if (preparation->handles != NULL) {
            g_ptr_array_unref(preparation->handles);
            preparation->handles = NULL;
        }
    }
}
