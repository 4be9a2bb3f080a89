/* Tests of calls that tell servers to free results. */
#include <event2/event.h>
#include <glib.h>

#include "ebonyhollow/forward_client.h"
#include "forward_net.h"
#include "net_fixture.h"
#include "release_calls.h"
#include "test_runner.h"

#define RELEASES 60
#define TIMEOUT_US 200000

typedef struct {
    struct event_base *base;
    RawServer *server; /* never responds */
    EbForwardClient *client;
    EbReleaseCalls *calls;
    unsigned running;
    unsigned most;
    unsigned handles; /* in calls that were sent */
    unsigned failed;
} ReleaseFixture;

static void
send_release(void *context, const EbReleaseResults *release)
{
    ReleaseFixture *fixture = context;
    fixture->running++;
    fixture->most = MAX(fixture->most, fixture->running);
    fixture->handles += release->handles->len;
    EbHttpMessage *message = EbHttpMessage_NewRequest("POST", "/free");
    EbForwardClient_Send(fixture->client,
                         &(EbForwardSend){.attempt_id = release->attempt_id,
                                          .server_id = release->server_id,
                                          .host = release->host,
                                          .port = release->port,
                                          .timeout_us = TIMEOUT_US},
                         message);
    EbHttpMessage_Unref(message);
}

static void
on_release_event(void *context, const EbAttemptEvent *event)
{
    ReleaseFixture *fixture = context;
    fixture->running--;
    fixture->failed += event->kind == EB_ATTEMPT_BROKEN;
    if (fixture->calls != NULL) {
        EbReleaseCalls_RecordEnd(fixture->calls, event->attempt_id);
    }
}

static void
open_release(ReleaseFixture *fixture)
{
    *fixture = (ReleaseFixture){.base = event_base_new()};
    fixture->server = RawServer_New(fixture->base, NULL, NULL);
    fixture->client = EbForwardClient_New(
        &(EbForwardClientOptions){.base = fixture->base,
                                  .protocol = &test_protocol,
                                  .event = on_release_event,
                                  .context = fixture});
}

static void
close_release(ReleaseFixture *fixture)
{
    EbForwardClient_Free(fixture->client);
    EbReleaseCalls_Free(fixture->calls);
    RawServer_Free(fixture->server);
    event_base_free(fixture->base);
}

static void
release_one(ReleaseFixture *fixture, uint64_t id)
{
    EbReleaseResults release = {.attempt_id = id,
                                .server_id = "s-1",
                                .host = "127.0.0.1",
                                .port = fixture->server->port,
                                .handles = g_ptr_array_new()};
    g_ptr_array_add(release.handles, "h-1");
    if (fixture->calls != NULL) {
        EbReleaseCalls_Add(fixture->calls, &release);
    }
    else {
        send_release(fixture, &release);
    }
    g_ptr_array_unref(release.handles);
}

static bool
has_none_running(void *context)
{
    return ((ReleaseFixture *)context)->running == 0;
}

/* Guards against a call that keeps its connection for ever when the server
 * takes it and never answers. */
void
test_client_timeout(void)
{
    ReleaseFixture fixture;
    open_release(&fixture);
    release_one(&fixture, 1);
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_none_running, &fixture));
    CU_ASSERT_EQUAL(fixture.failed, 1);
    close_release(&fixture);
}

/* Guards against one connection for each release to a server that never
 * answers, and against handles that no call tells. */
void
test_release_calls(void)
{
    ReleaseFixture fixture;
    open_release(&fixture);
    fixture.calls = EbReleaseCalls_New(send_release, &fixture, NULL);
    for (uint64_t id = 1; id <= RELEASES; id++) {
        release_one(&fixture, id);
    }
    CU_ASSERT_TRUE(Loop_Until(fixture.base, has_none_running, &fixture));
    CU_ASSERT_EQUAL(fixture.most, EB_RELEASE_CALLS_MAX);
    CU_ASSERT_EQUAL(fixture.handles, RELEASES);
    CU_ASSERT_TRUE(fixture.server->accepted <= EB_RELEASE_CALLS_MAX + 1);
    close_release(&fixture);
}
