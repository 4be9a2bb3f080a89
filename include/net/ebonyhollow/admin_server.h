/* EbAdminServer: the administration API of docs/api.md over HTTP.
 *
 * Reads the modules directly, since everything runs on one thread. Operators
 * are authenticated by bearer token. Each route requires a role, changes to
 * the configuration are checked against the operator's scope, and every
 * change emits an audit event. */
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
struct EbClientGuard;

typedef struct EbAdminServer EbAdminServer;

/* Receives the result of a store operation; `reply` is borrowed. */
typedef void (*EbAdminStoreDone)(void *context, const EbStoreReply *reply);

/* The modules must outlive the server. */
typedef struct {
    struct event_base *base;
    const EbSettings *settings; /* must outlive the server */
    /* Accounts of the clients' memory, shared with other listeners and
     * borrowed. NULL: none are kept. */
    struct EbClientGuard *guard;
    const EbEventSink *events;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    EbConfigManager *config_manager;
    EbMembership *membership;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    const EbEvacuations *evacuations; /* may be NULL */
    EbPlatformClient *platform;
    /* Whether a graceful shutdown has started. */
    bool (*draining)(void *context);
    /* Name of the shutdown's current state, a static string. */
    const char *(*drain_state)(void *context);
    /* Starts a graceful shutdown; does nothing when it has started. */
    void (*start_drain)(void *context);
    /* Performs an operation on one object of the platform's store. `done` is
     * called exactly once, but never from within this call. */
    void (*call_store)(void *context, EbStoreOperation operation,
                       const char *kind, const char *name,
                       EbAdminStoreDone done, void *done_context);
    /* Returns the daemon that batches the work items of a stage service now,
     * a borrowed string. NULL: there are no such services. */
    const char *(*stage_home)(void *context, const char *service);
    /* Schedules the actions that an API call queued in the modules. */
    void (*schedule_actions)(void *context);
    void *context;
} EbAdminServerOptions;

/* Opens the listener. `options` is copied. Returns a server to be freed with
 * EbAdminServer_Free, or NULL with `error` set when the address can't be
 * bound. */
EbAdminServer *EbAdminServer_New(const EbAdminServerOptions *options,
                                 EbError *error);

/* Closes every connection and drops the API calls that wait for the platform.
 * Their callbacks must not be called any more. Accepts NULL. */
void EbAdminServer_Free(EbAdminServer *server);

/* Adds to the history that a generation of the configuration came into force
 * now.
 *
 * source: where it came from: "platform" or the name of a peer; copied. */
void EbAdminServer_RecordGeneration(EbAdminServer *server, uint64_t generation,
                                    const char *source);

/* Port that the listener is bound to. */
uint16_t EbAdminServer_Port(const EbAdminServer *server);

#endif
