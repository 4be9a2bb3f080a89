/* Results of preparations: which a request needs, and when they end. */
#include <glib.h>

#include "dispatcher_private.h"

uint32_t
EbRequest_RequiredPreparations(const EbRequest *request)
{
    uint32_t followed = 0;
    for (uint32_t i = 0; i < EbRequest_Route(request)->preparation_count;
         i++) {
        if (request->forward->preparations[i].needed) {
            followed |= EbRequest_Route(request)->preparations[i].after;
        }
    }
    return followed;
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
EbRequest_CollectHandles(const EbRequest *request, uint32_t bits)
{
    GPtrArray *inputs = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < EbRequest_Route(request)->preparation_count;
         i++) {
        if ((bits & 1U << i) != 0) {
            add_handles(inputs, &request->forward->preparations[i]);
        }
    }
    return inputs;
}

GPtrArray *
EbRequest_Inputs(const EbRequest *request)
{
    return EbRequest_CollectHandles(request,
                                    ~EbRequest_RequiredPreparations(request));
}

void
EbRequest_EndPreparation(EbRequest *request, EbPreparation *row)
{
    EbDispatcher *dispatcher = request->dispatcher;
    if (row->job == 0) {
        return;
    }
    g_hash_table_remove(dispatcher->jobs, &row->job);
    EbAction action = {.kind = EB_ACTION_END_PREPARATION};
    action.as.end_job = row->job;
    EbActionQueue_Push(dispatcher->options.actions, &action);
    row->job = 0;
}

void
EbRequest_EndPreparations(EbRequest *request)
{
    for (size_t i = 0; i < EB_FORWARD_MAX_PREPARATIONS; i++) {
        EbRequest_EndPreparation(request, &request->forward->preparations[i]);
    }
}

void
EbRequest_DropPreparations(EbRequest *request)
{
    EbRequest_EndPreparations(request);
    for (size_t i = 0; i < EB_FORWARD_MAX_PREPARATIONS; i++) {
        EbPreparation *row = &request->forward->preparations[i];
        row->done = false;
        if (row->handles != NULL) {
            g_ptr_array_unref(row->handles);
            row->handles = NULL;
        }
    }
}
