/* Servers in evacuated failure domains. */
#include <string.h>

#include "batcher_state.h"

void
EbBatchServer_CheckEvacuation(const EbBatcher *batcher, EbBatchServer *server)
{
    server->evacuated = EbEvacuations_IsClosed(batcher->options.evacuations,
                                               server->failure_domain);
}

guint
EbBatchService_CountOpen(const EbBatchService *service)
{
    guint count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        count += !((const EbBatchServer *)value)->evacuated;
    }
    return count;
}

bool
EbBatchService_IsEvacuated(const EbBatchService *service)
{
    bool closed = false;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, service->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchServer *server = value;
        if (server->current && !server->evacuated) {
            return false;
        }
        closed = closed || server->current;
    }
    return closed;
}

void
EbBatcher_EvacuationsChanged(EbBatcher *batcher, int64_t now_us)
{
    GHashTableIter services;
    GHashTableIter servers;
    gpointer service;
    gpointer server;
    g_hash_table_iter_init(&services, batcher->services);
    while (g_hash_table_iter_next(&services, NULL, &service)) {
        g_hash_table_iter_init(&servers, ((EbBatchService *)service)->servers);
        while (g_hash_table_iter_next(&servers, NULL, &server)) {
            EbBatchServer_CheckEvacuation(batcher, server);
        }
        EbBatchService_StartCalls(batcher, service, now_us);
    }
}

uint32_t
EbBatcher_CountCalls(const EbBatcher *batcher, const char *failure_domain)
{
    uint32_t count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, batcher->calls);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbBatchCall *call = value;
        count += strcmp(call->server->failure_domain, failure_domain) == 0;
    }
    return count;
}
