/* Parts of EbAdminServer shared by its files. */
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
    GHashTable *pending; /* set of EbAdminPending */
    GQueue history;      /* of json_t, the newest generation first */
};

/* A call that is being answered. */
typedef struct {
    EbAdminServer *server;
    struct evhttp_request *request;
    const EbConfigOperator *operator; /* NULL on open routes */
    const char *path;                 /* undecoded */
    const char *query;                /* NULL when absent */
    const char *rest;                 /* of the path, behind the route */
} EbAdminCall;

/* A call that waits for the platform. `request` is NULL once the operator's
 * connection closed. */
typedef struct {
    EbAdminServer *server;
    struct evhttp_request *request;
    struct evhttp_connection *evcon;
    char *operator_id;
    char *object;
    uint64_t from_version;
} EbAdminPending;

void EbAdmin_Reply(EbAdminServer *server, struct evhttp_request *request,
                   int status, json_t *document);

/* Sends a problem document. `error` may be NULL. */
void EbAdmin_Problem(EbAdminServer *server, struct evhttp_request *request,
                     int status, const char *detail, const EbError *error);

EbAdminPending *EbAdminPending_New(const EbAdminCall *call, const char *object,
                                   uint64_t from_version);
void EbAdminPending_Free(EbAdminPending *pending);

void EbAdmin_Audit(EbAdminServer *server, const char *operator_id,
                   const char *action, const char *object,
                   uint64_t from_version, const char *result);

/* Refuses a call with 403 and an event. */
void EbAdmin_Deny(const EbAdminCall *call, const char *detail);

/* Views: admin_view.c */
void EbAdmin_Status(const EbAdminCall *call);
void EbAdmin_Servers(const EbAdminCall *call);
void EbAdmin_Peers(const EbAdminCall *call);
void EbAdmin_Customers(const EbAdminCall *call);
void EbAdmin_Requests(const EbAdminCall *call);
void EbAdmin_Quarantine(const EbAdminCall *call);
void EbAdmin_Outcome(const EbAdminCall *call);

/* Configuration: admin_config.c */
void EbAdmin_Config(const EbAdminCall *call);
void EbAdmin_MergedConfig(const EbAdminCall *call);
void EbAdmin_History(const EbAdminCall *call);
void EbAdmin_CheckConfig(const EbAdminCall *call);
void EbAdmin_ChangeConfig(const EbAdminCall *call);

#endif
