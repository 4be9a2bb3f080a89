#include "release_calls.h"

#include <glib.h>

typedef struct {
    uint32_t running;
    EbReleaseResults waiting; /* no handles: none */
} Server;

struct EbReleaseCalls {
    void (*send)(void *context, const EbReleaseResults *release);
    void *context;
    const EbEventSink *events;
    GHashTable *servers; /* id -> Server, of those with a running call */
    GHashTable *running; /* attempt id -> id of the server */
};

static void
free_server(gpointer pointer)
{
    Server *server = pointer;
    EbReleaseResults_Clear(&server->waiting);
    g_free(server);
}

EbReleaseCalls *
EbReleaseCalls_New(void (*send)(void *context,
                                const EbReleaseResults *release),
                   void *context, const EbEventSink *events)
{
    EbReleaseCalls *calls = g_new0(EbReleaseCalls, 1);
    calls->send = send;
    calls->context = context;
    calls->events = events;
    calls->servers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_server);
    calls->running =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return calls;
}

void
EbReleaseCalls_Free(EbReleaseCalls *calls)
{
    if (calls == NULL) {
        return;
    }
    g_hash_table_destroy(calls->servers);
    g_hash_table_destroy(calls->running);
    g_free(calls);
}

static Server *
get_server(EbReleaseCalls *calls, const char *id)
{
    Server *server = g_hash_table_lookup(calls->servers, id);
    if (server == NULL) {
        server = g_new0(Server, 1);
        server->waiting.handles = g_ptr_array_new_with_free_func(g_free);
        g_hash_table_insert(calls->servers, g_strdup(id), server);
    }
    return server;
}

static void
start_call(EbReleaseCalls *calls, Server *server,
           const EbReleaseResults *release)
{
    server->running++;
    g_hash_table_insert(
        calls->running,
        g_memdup2(&release->attempt_id, sizeof(release->attempt_id)),
        g_strdup(release->server_id));
    calls->send(calls->context, release);
}

/* Adds handles to those that wait. The next call goes to the address that was
 * named last. */
static void
add_waiting(const EbReleaseCalls *calls, Server *server,
            const EbReleaseResults *release)
{
    EbReleaseResults *waiting = &server->waiting;
    g_free(waiting->server_id);
    g_free(waiting->host);
    waiting->server_id = g_strdup(release->server_id);
    waiting->host = g_strdup(release->host);
    waiting->port = release->port;
    waiting->attempt_id = release->attempt_id;
    guint room = EB_RELEASE_CALLS_MAX_WAITING - waiting->handles->len;
    guint taken = MIN(room, release->handles->len);
    for (guint i = 0; i < taken; i++) {
        g_ptr_array_add(waiting->handles,
                        g_strdup(g_ptr_array_index(release->handles, i)));
    }
    if (taken < release->handles->len) {
        EB_EMIT(calls->events, EB_EVENT_RESULTS_NOT_RELEASED,
                EB_STRING_FIELD("backend_server", release->server_id),
                EB_INTEGER_FIELD("handles", release->handles->len - taken));
    }
}

void
EbReleaseCalls_Add(EbReleaseCalls *calls, const EbReleaseResults *release)
{
    Server *server = get_server(calls, release->server_id);
    if (server->running < EB_RELEASE_CALLS_MAX) {
        start_call(calls, server, release);
    }
    else {
        add_waiting(calls, server, release);
    }
}

void
EbReleaseCalls_RecordEnd(EbReleaseCalls *calls, uint64_t attempt_id)
{
    const char *id = g_hash_table_lookup(calls->running, &attempt_id);
    if (id == NULL) {
        return;
    }
    Server *server = g_hash_table_lookup(calls->servers, id);
    server->running--;
    if (server->waiting.handles->len > 0) {
        g_hash_table_remove(calls->running, &attempt_id);
        EbReleaseResults next = server->waiting;
        server->waiting = (EbReleaseResults){
            .handles = g_ptr_array_new_with_free_func(g_free)};
        start_call(calls, server, &next);
        EbReleaseResults_Clear(&next);
        return;
    }
    if (server->running == 0) {
        g_hash_table_remove(calls->servers, id);
    }
    g_hash_table_remove(calls->running, &attempt_id);
}
