/* Parts of EbPlatformClient shared by its calls and its watches. */
#ifndef EB_PLATFORM_INTERNAL_H
#define EB_PLATFORM_INTERNAL_H

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>

#include "ebonyhollow/platform_client.h"

struct EbPlatformClient {
    EbPlatformClientOptions options;
    char *host;
    char *token;
    GPtrArray *slots; /* of Slot: connections for calls */
    GQueue waiting;   /* of Call */
    uint32_t running;
    GHashTable *watches; /* kind -> Watch */
    uint32_t failures;   /* one after another */
    bool up;
    int64_t down_since_us;
};

/* Opens a connection with the client's limits and evhttp's retries off. */
struct evhttp_connection *
EbPlatformClient_OpenConnection(EbPlatformClient *client, int64_t timeout_us);

/* Creates a request with the headers that every call carries. */
struct evhttp_request *
EbPlatformClient_NewRequest(EbPlatformClient *client,
                            void (*done)(struct evhttp_request *, void *),
                            void *arg);

/* Parses the JSON body of an answer; NULL when there is none. */
json_t *EbPlatformClient_ParseBody(struct evhttp_request *request);

/* Counts a call and tracks whether the platform answers. `cause` is NULL for
 * a call that was answered. */
void EbPlatformClient_RecordCall(EbPlatformClient *client,
                                 const char *operation, const char *status,
                                 const char *cause);

/* For the table of watches. */
void EbPlatformWatch_Free(void *watch);

#endif
