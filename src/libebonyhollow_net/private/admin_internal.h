/* Declarations shared by the files of EbAdminServer. */
#ifndef EB_ADMIN_INTERNAL_H
#define EB_ADMIN_INTERNAL_H

#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "ebonyhollow/admin_server.h"
#include "http_server.h"

struct EbAdminServer {
    EbAdminServerOptions options;
    EbHttpServer *http;
    GHashTable *pending; /* set of EbAdminPendingCall * */
    GQueue history;      /* of json_t *, the newest generation first */
};

/* A call that is being handled. All members are borrowed. */
typedef struct {
    EbAdminServer *server;
    struct evhttp_request *request;
    const EbConfigOperator *principal; /* authenticated operator; NULL on
                                          routes without authentication */
    const char *path;                  /* percent-encoded, as received */
    const char *query;                 /* NULL when absent */
    const char *path_suffix;           /* rest of `path` after the route's */
} EbAdminCall;

/* A call that waits for the platform's store. `request` is NULL once the
 * operator's connection is closed. */
typedef struct {
    EbAdminServer *server;
    struct evhttp_request *request;
    struct evhttp_connection *connection;
    char *operator_id;
    char *object;
    uint64_t from_version;
} EbAdminPendingCall;

/* Sends a JSON document and frees it. */
void EbAdmin_Reply(EbAdminServer *server, struct evhttp_request *request,
                   int status, json_t *document);

/* Sends a problem document. `error` adds code, message and position; it may be
 * NULL. */
void EbAdmin_ReplyProblem(EbAdminServer *server,
                          struct evhttp_request *request, int status,
                          const char *detail, const EbError *error);

/* Adds a call that waits for the platform's store to the server's table.
 * `object` is copied. */
EbAdminPendingCall *EbAdminPendingCall_New(const EbAdminCall *call,
                                           const char *object,
                                           uint64_t from_version);

/* Removes a call from the server's table and frees it, but not its request. */
void EbAdminPendingCall_Free(EbAdminPendingCall *pending);

/* Emits the audit event of a change. */
void EbAdmin_EmitAudit(EbAdminServer *server, const char *operator_id,
                       const char *action, const char *object,
                       uint64_t from_version, const char *result);

/* Answers a call with status 403 and emits an admin-denied event. */
void EbAdmin_Deny(const EbAdminCall *call, const char *detail);

/* Handlers of the views: admin_view.c */
void EbAdmin_GetStatus(const EbAdminCall *call);
void EbAdmin_ListServers(const EbAdminCall *call);
void EbAdmin_ListPeers(const EbAdminCall *call);
void EbAdmin_ListCustomers(const EbAdminCall *call);
void EbAdmin_ListRequests(const EbAdminCall *call);
void EbAdmin_ListQuarantine(const EbAdminCall *call);
void EbAdmin_GetOutcome(const EbAdminCall *call);

/* Handler of the explanation of a request: admin_explain.c */
void EbAdmin_Explain(const EbAdminCall *call);

/* Handlers of the configuration: admin_config.c */
void EbAdmin_GetConfig(const EbAdminCall *call);
void EbAdmin_GetMergedConfig(const EbAdminCall *call);
void EbAdmin_GetHistory(const EbAdminCall *call);
void EbAdmin_CheckConfig(const EbAdminCall *call);
void EbAdmin_ChangeConfig(const EbAdminCall *call);

#endif
