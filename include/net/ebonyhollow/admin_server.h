/* EbAdminServer: the administration listener of docs/api.md.
 *
 * Reads the modules directly, since everything runs on one thread. Operators
 * are authenticated by bearer token; each route needs a role, changes of the
 * configuration are checked against the operator's scope, and every change is
 * an audit event. */
#ifndef EBONYHOLLOW_ADMIN_SERVER_H
#define EBONYHOLLOW_ADMIN_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "ebonyhollow/config_manager.h"
#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/limiter.h"
#include "ebonyhollow/membership.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/platform_client.h"
#include "ebonyhollow/quarantine.h"
#include "ebonyhollow/settings.h"

struct event_base;

typedef struct EbAdminServer EbAdminServer;

typedef void (*EbAdminStored)(void *context, const EbStoreReply *reply);

typedef struct {
    struct event_base *base;
    const EbSettings *settings; /* must outlive the server */
    uint64_t incarnation;
    const EbEventSink *events;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    EbConfigManager *config_manager;
    EbMembership *membership;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbPlatformClient *platform;
    bool (*draining)(void *context);
    const char *(*drain_state)(void *context);
    void (*drain)(void *context);
    /* Reads an object of the platform; exactly one call of `done` follows,
     * never from within this call. */
    void (*store)(void *context, EbStoreOperation operation, const char *kind,
                  const char *name, EbAdminStored done, void *done_context);
    /* Has the actions that a call caused performed. */
    void (*schedule_actions)(void *context);
    void *context;
} EbAdminServerOptions;

/* Listens. Returns NULL with `error` set when the address can't be bound. */
EbAdminServer *EbAdminServer_New(const EbAdminServerOptions *options,
                                 EbError *error);

/* Closes every connection. Calls that wait for the platform are dropped; the
 * modules must not report to them any more. */
void EbAdminServer_Free(EbAdminServer *server);

/* Notes for the history that a generation came into force now. */
void EbAdminServer_Applied(EbAdminServer *server, uint64_t generation,
                           const char *source);

uint16_t EbAdminServer_Port(const EbAdminServer *server);

#endif
