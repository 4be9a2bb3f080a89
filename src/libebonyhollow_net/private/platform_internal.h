/* Internals of EbPlatformClient, shared by its calls and its watches. */
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
    uint32_t running_count;
    GHashTable *watches;      /* kind -> Watch */
    int64_t watch_latency_us; /* of the last response to a watch */
    void *retrying; /* the Watch that retries while others wait, or NULL */
    void *probe;    /* the Probe, or NULL */
    uint32_t consecutive_failures;
    bool up;
    int64_t down_since_us;
    uint64_t era; /* latest one of a response */
};

/* Opens a connection with the client's limits, without evhttp's retries. */
struct evhttp_connection *
EbPlatformClient_OpenConnection(EbPlatformClient *client, int64_t timeout_us);

/* Creates a request with the headers that are common to all calls. */
struct evhttp_request *
EbPlatformClient_NewRequest(EbPlatformClient *client,
                            void (*done)(struct evhttp_request *, void *),
                            void *arg);

/* Reads the status of a response.
 *
 * evhttp reports an interim response other than 100 like a final one, and
 * would read the final one as the response to the next request. After such a
 * response the connection is closed.
 *
 * request: the response; NULL if there is none
 * evcon: its connection, set to NULL if it was closed
 *
 * Returns the status, or 0 if there is no final response. */
int EbPlatformClient_ReadStatus(struct evhttp_request *request,
                                struct evhttp_connection **evcon);

/* Turns on keep-alive probes for an established connection. Accepts NULL. */
void EbPlatformClient_SetKeepAlive(struct evhttp_connection *evcon);

/* Parses the JSON body of a response. Returns a new reference, or NULL if the
 * body is empty or not valid JSON. */
json_t *EbPlatformClient_ParseBody(struct evhttp_request *request);

/* Reads the era of a response, and begins all watches again if it is a later
 * one. Returns false when the response is of an earlier era and must not be
 * used. */
bool EbPlatformClient_CheckEra(EbPlatformClient *client,
                               struct evhttp_request *request);

/* Begins all watches again, since the store has returned from an older copy.
 */
void EbPlatformWatch_RestartAll(EbPlatformClient *client);

/* Counts a call in the metrics and updates whether the platform is up. `cause`
 * is the reason why the call failed, or NULL if it does not count as a failure
 * of the platform. */
void EbPlatformClient_RecordCall(EbPlatformClient *client,
                                 const char *operation, const char *status,
                                 const char *cause);

/* Frees a watch; the destroy function of the table of watches. */
void EbPlatformWatch_Free(void *watch);

#endif
