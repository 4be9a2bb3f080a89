/* Probes of the platform client: cheap reads that show whether it answers. */
#include "clock.h"
#include "platform_internal.h"

/* A probe whose answer takes longer, beyond the latency of the watches, is
 * repeated on another connection. */
#define PROBE_TIMEOUT_US 500000

typedef struct {
    EbPlatformClient *client;
    struct evhttp_connection *evcon; /* NULL until a probe opens one */
    struct event *timer;
    char *path;
    int64_t interval_us;
    int64_t sent_us;
} Probe;

static void
schedule(const Probe *probe, int64_t delay_us)
{
    struct timeval delay = EbClock_Timeval(delay_us);
    event_add(probe->timer, &delay);
}

static void
on_answer(struct evhttp_request *request, void *arg)
{
    Probe *probe = arg;
    EbPlatformClient *client = probe->client;
    int64_t now_us = EbClock_Monotonic();
    int status = EbPlatformClient_ReadStatus(request, &probe->evcon);
    EbPlatformClient_SetKeepAlive(probe->evcon);
    bool answered = (status == 200 || status == 404) &&
                    EbPlatformClient_CheckEra(client, request);
    EbPlatformClient_RecordCall(
        client, "probe", answered ? "ok" : "unavailable",
        answered || status == 429 ? NULL : "probe failed");
    if (answered && client->options.probed != NULL) {
        client->options.probed(client->options.context,
                               now_us - probe->sent_us);
    }
    schedule(probe, MAX(probe->sent_us + probe->interval_us - now_us, 0));
}

static void
send_probe(evutil_socket_t fd, short what, void *arg)
{
    Probe *probe = arg;
    (void)fd;
    (void)what;
    struct evhttp_request *request =
        EbPlatformClient_NewRequest(probe->client, on_answer, probe);
    probe->sent_us = EbClock_Monotonic();
    if (probe->evcon == NULL) {
        probe->evcon =
            EbPlatformClient_OpenConnection(probe->client, PROBE_TIMEOUT_US);
    }
    struct timeval timeout =
        EbClock_Timeval(PROBE_TIMEOUT_US + probe->client->watch_latency_us);
    evhttp_connection_set_timeout_tv(probe->evcon, &timeout);
    if (evhttp_make_request(probe->evcon, request, EVHTTP_REQ_GET,
                            probe->path) != 0) {
        schedule(probe, probe->interval_us);
    }
}

void
EbPlatformClient_StartProbes(EbPlatformClient *client, const char *kind,
                             const char *name, int64_t interval_us)
{
    if (client->probe != NULL) {
        return;
    }
    Probe *probe = g_new0(Probe, 1);
    probe->client = client;
    probe->path = client->options.protocol->probe_path(kind, name);
    probe->interval_us = interval_us;
    probe->timer = evtimer_new(client->options.base, send_probe, probe);
    client->probe = probe;
    schedule(probe, 0);
}

void
EbPlatformClient_StopProbes(EbPlatformClient *client)
{
    Probe *probe = client->probe;
    if (probe == NULL) {
        return;
    }
    client->probe = NULL;
    if (probe->evcon != NULL) {
        evhttp_connection_free(probe->evcon);
    }
    event_free(probe->timer);
    g_free(probe->path);
    g_free(probe);
}
