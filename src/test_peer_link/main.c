/* Tests of the authenticated links between daemons, over 127.0.0.1 and a
 * relay that alters, repeats, cuts or holds the bytes between two ends. */
#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <glib.h>

#include "ebonyhollow/peer_link.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define LONGEST_US (20LL * G_USEC_PER_SEC)
#define HANDSHAKES 4

typedef struct {
    EbPeerLinks *links;
    EbMetrics *metrics;
    EbEventSink sink;
    char peer[64]; /* last peer of a link that came up */
    uint64_t peer_incarnation;
    char peer_address[64];
    int up, down, failed, messages, bad_frames;
    uint64_t generation; /* of the last message */
    size_t text_bytes;
} End;

/* What the relay does with one unit (hello, proof or frame) of the dialler. */
typedef enum { PASS, FLIP, REPEAT, SWAP, CUT, GROW, HOLD } Deed;

typedef struct {
    Deed deed;
    int unit;
    size_t at; /* byte of the unit that is altered, or cut after */
    int seen;
    struct evconnlistener *listener;
    struct bufferevent *sides[2]; /* dialler, acceptor */
    uint16_t target;
    GByteArray *kept;
} Relay;

static struct event_base *base;
static const uint8_t key[EB_PEER_KEY_BYTES] = "the same key on both sides";
static const uint8_t other_key[EB_PEER_KEY_BYTES] = "another key";

static void
on_up(void *context, const char *peer, uint64_t incarnation,
      const char *address)
{
    End *end = context;
    end->up++;
    end->peer_incarnation = incarnation;
    g_strlcpy(end->peer, peer, sizeof(end->peer));
    g_strlcpy(end->peer_address, address, sizeof(end->peer_address));
}

static void
on_down(void *context, const char *peer)
{
    (void)peer;
    ((End *)context)->down++;
}

static void
on_failed(void *context, const char *address)
{
    (void)address;
    ((End *)context)->failed++;
}

static void
on_message(void *context, const char *peer, const EbMessage *message)
{
    (void)peer;
    End *end = context;
    end->messages++;
    end->generation = message->generation;
    end->text_bytes = message->text_bytes;
}

static void
on_log(void *context, EbEventId event, const EbEventField *fields,
       size_t field_count)
{
    (void)fields;
    (void)field_count;
    ((End *)context)->bad_frames += event == EB_EVENT_PEER_BAD_FRAME;
}

static void
open_end(End *end, const char *name, const uint8_t *with_key)
{
    *end = (End){.metrics = EbMetrics_New()};
    end->sink = (EbEventSink){on_log, end};
    EbAddress listen = {"127.0.0.1", 0};
    EbError error = {0};
    end->links =
        EbPeerLinks_New(&(EbPeerLinksOptions){.base = base,
                                              .instance = name,
                                              .incarnation = 7,
                                              .listen = &listen,
                                              .key = with_key,
                                              .max_handshakes = HANDSHAKES,
                                              .metrics = end->metrics,
                                              .events = &end->sink,
                                              .link_up = on_up,
                                              .link_down = on_down,
                                              .dial_failed = on_failed,
                                              .message = on_message,
                                              .context = end},
                        &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(end->links);
}

static void
close_end(End *end)
{
    EbPeerLinks_Free(end->links);
    EbMetrics_Free(end->metrics);
}

/* Runs the loop until a counter reaches a value or the limit passes. */
static bool
wait_for(const int *counter, int value)
{
    int64_t limit_us = g_get_monotonic_time() + LONGEST_US;
    while (*counter < value && g_get_monotonic_time() < limit_us) {
        event_base_loopexit(base, &(struct timeval){0, 50000});
        event_base_loop(base, EVLOOP_ONCE);
    }
    return *counter >= value;
}

static void
run_for(int64_t time_us)
{
    int64_t end_us = g_get_monotonic_time() + time_us;
    while (g_get_monotonic_time() < end_us) {
        event_base_loopexit(base, &(struct timeval){0, 10000});
        event_base_dispatch(base);
    }
}

static bool
send_body(End *end, const char *peer, uint64_t generation, size_t text_bytes)
{
    char *text = g_strnfill(text_bytes, 'x');
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_BODY,
                         .generation = generation,
                         .text = text,
                         .text_bytes = text_bytes};
    uint8_t *bytes;
    size_t byte_count;
    bool sent = EbMessage_Encode(&message, &bytes, &byte_count) &&
                EbPeerLinks_Send(end->links, peer, bytes, byte_count);
    free(bytes);
    g_free(text);
    return sent;
}

/* Sends one unit on, or does the deed. Returns false when the connection was
 * cut. */
static bool
relay_unit(Relay *relay, GByteArray *unit)
{
    struct evbuffer *output = bufferevent_get_output(relay->sides[1]);
    int number = relay->seen++;
    Deed deed = number == relay->unit ? relay->deed : PASS;
    if (deed == FLIP) {
        unit->data[relay->at] ^= 1;
    }
    else if (deed == GROW) {
        memset(unit->data, 0xff, 4);
    }
    else if (deed == SWAP) {
        g_byte_array_append(relay->kept, unit->data, unit->len);
        return true;
    }
    size_t length = deed == CUT ? relay->at : unit->len;
    evbuffer_add(output, unit->data, length);
    if (deed == REPEAT) {
        evbuffer_add(output, unit->data, length);
    }
    evbuffer_add(output, relay->kept->data, relay->kept->len);
    g_byte_array_set_size(relay->kept, 0);
    return deed != CUT;
}

static void
on_relay_read(struct bufferevent *stream, void *context)
{
    Relay *relay = context;
    struct evbuffer *input = bufferevent_get_input(stream);
    if (stream == relay->sides[1]) {
        bufferevent_write_buffer(relay->sides[0], input);
        return;
    }
    uint32_t length;
    while (evbuffer_copyout(input, &length, 4) == 4 &&
           evbuffer_get_length(input) >= 4 + ntohl(length)) {
        GByteArray *unit = g_byte_array_new();
        g_byte_array_set_size(unit, 4 + ntohl(length));
        evbuffer_remove(input, unit->data, unit->len);
        if (!relay_unit(relay, unit)) {
            bufferevent_disable(stream, EV_READ);
        }
        g_byte_array_free(unit, TRUE);
    }
}

/* Passes a closed connection on to the other side. */
static void
on_relay_event(struct bufferevent *stream, short what, void *context)
{
    (void)stream;
    Relay *relay = context;
    for (int i = 0; i < 2 && (what & BEV_EVENT_CONNECTED) == 0; i++) {
        if (relay->sides[i] != NULL) {
            bufferevent_free(relay->sides[i]);
            relay->sides[i] = NULL;
        }
    }
}

static void
on_relay_accept(struct evconnlistener *listener, evutil_socket_t socket,
                struct sockaddr *address, int address_bytes, void *context)
{
    (void)listener;
    (void)address;
    (void)address_bytes;
    Relay *relay = context;
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(relay->target)};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    relay->sides[0] =
        bufferevent_socket_new(base, socket, BEV_OPT_CLOSE_ON_FREE);
    relay->sides[1] = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    for (int i = 0; i < 2; i++) {
        bufferevent_setcb(relay->sides[i], on_relay_read, NULL, on_relay_event,
                          relay);
        bufferevent_enable(relay->sides[i], EV_READ | EV_WRITE);
    }
    bufferevent_socket_connect(relay->sides[1], (struct sockaddr *)&target,
                               sizeof(target));
}

static void
open_relay(Relay *relay, const End *target, char address[32])
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    relay->target = EbPeerLinks_Port(target->links);
    relay->kept = g_byte_array_new();
    relay->listener = evconnlistener_new_bind(
        base, on_relay_accept, relay, LEV_OPT_CLOSE_ON_FREE, 8,
        (struct sockaddr *)&local, sizeof(local));
    socklen_t length = sizeof(local);
    getsockname(evconnlistener_get_fd(relay->listener),
                (struct sockaddr *)&local, &length);
    g_snprintf(address, 32, "127.0.0.1:%u", ntohs(local.sin_port));
}

static void
close_relay(Relay *relay)
{
    for (int i = 0; i < 2; i++) {
        if (relay->sides[i] != NULL) {
            bufferevent_free(relay->sides[i]);
        }
    }
    evconnlistener_free(relay->listener);
    g_byte_array_free(relay->kept, TRUE);
}

/* Guards against links that do not come up, lose or reorder messages, or
 * count them wrongly. */
static void
test_link(void)
{
    End a, b;
    open_end(&a, "a", key);
    open_end(&b, "b", key);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE_FATAL(wait_for(&a.up, 1) && wait_for(&b.up, 1));
    CU_ASSERT_STRING_EQUAL(a.peer, "b");
    CU_ASSERT_EQUAL(a.peer_incarnation, 7);
    CU_ASSERT_STRING_EQUAL(a.peer_address, EbPeerLinks_Address(b.links));
    CU_ASSERT_TRUE(send_body(&b, "a", 1, 10));
    CU_ASSERT_TRUE(send_body(&b, "a", 2, EB_MESSAGE_MAX_BYTES - 64));
    CU_ASSERT_TRUE(send_body(&a, "b", 3, 1));
    CU_ASSERT_FALSE(send_body(&a, "c", 3, 1));
    CU_ASSERT_TRUE(wait_for(&a.messages, 2) && wait_for(&b.messages, 1));
    CU_ASSERT_EQUAL(a.generation, 2);
    CU_ASSERT_EQUAL(a.text_bytes, EB_MESSAGE_MAX_BYTES - 64);
    CU_ASSERT_EQUAL(EbMetrics_Read(b.metrics, EB_METRIC_PEER_MESSAGES, "sent",
                                   "config-body", NULL),
                    2);
    CU_ASSERT_EQUAL(EbMetrics_Read(a.metrics, EB_METRIC_PEER_MESSAGES,
                                   "received", "config-body", NULL),
                    2);
    CU_ASSERT_EQUAL(
        EbMetrics_Read(a.metrics, EB_METRIC_PEER_BYTES, "received", NULL,
                       NULL),
        EbMetrics_Read(b.metrics, EB_METRIC_PEER_BYTES, "sent", NULL, NULL));
    EbPeerLinks_Close(a.links, "b");
    CU_ASSERT_TRUE(a.down == 1 && wait_for(&b.down, 1));
    CU_ASSERT_EQUAL(EbPeerLinks_Count(b.links), 0);
    CU_ASSERT_EQUAL(a.bad_frames + b.bad_frames + a.failed + b.failed, 0);
    close_end(&a);
    close_end(&b);
}

/* Guards against a daemon without the key that is let in or that lets others
 * in, against a link to oneself, and against failed dials that go unnoticed.
 */
static void
test_refused(void)
{
    End a, b, same;
    open_end(&a, "a", key);
    open_end(&b, "b", other_key);
    open_end(&same, "a", key);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&b.failed, 1));
    CU_ASSERT_EQUAL(b.bad_frames, 1);
    EbPeerLinks_Connect(same.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&same.failed, 1));
    char *address = g_strdup(EbPeerLinks_Address(b.links));
    close_end(&b);
    EbPeerLinks_Connect(a.links, address); /* nothing listens there */
    CU_ASSERT_TRUE(wait_for(&a.failed, 1));
    EbPeerLinks_Connect(a.links, "no address");
    CU_ASSERT_EQUAL(a.failed, 2);
    CU_ASSERT_EQUAL(a.up + same.up, 0);
    g_free(address);
    close_end(&a);
    close_end(&same);
}

/* Guards against altered, repeated, reordered, truncated or oversized units
 * that have another effect than closing their link: a second link stays. */
static void
test_altered(void)
{
    static const struct {
        Deed deed;
        int unit;
        size_t at;
        int ups;        /* of the acceptor, from this link */
        int messages;   /* delivered of three */
        int bad_frames; /* at the acceptor */
    } rows[] = {
        {PASS, 0, 0, 1, 3, 0},
        {FLIP, 0, 4, 0, 0, 1},  /* magic */
        {FLIP, 0, 8, 0, 0, 1},  /* role */
        {FLIP, 0, 20, 0, 0, 0}, /* nonce: the dialler refuses */
        {FLIP, 0, 50, 0, 0, 0}, /* name */
        {FLIP, 1, 9, 0, 0, 1},  /* proof */
        {REPEAT, 0, 0, 0, 0, 1},
        {REPEAT, 1, 0, 1, 0, 1}, /* proof as a frame */
        {GROW, 0, 0, 0, 0, 1},
        {FLIP, 2, 30, 1, 0, 1}, /* payload */
        {FLIP, 2, 5, 1, 0, 1},  /* hash */
        {FLIP, 3, 22, 1, 1, 1},
        {REPEAT, 2, 0, 1, 1, 1},
        {SWAP, 2, 0, 1, 0, 1},
        {GROW, 3, 0, 1, 1, 1},
    };
    End a, other;
    open_end(&a, "a", key);
    open_end(&other, "other", key);
    EbPeerLinks_Connect(other.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE_FATAL(wait_for(&a.up, 1) && wait_for(&other.up, 1));
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        End b;
        open_end(&b, "b", key);
        Relay relay = {
            .deed = rows[i].deed, .unit = rows[i].unit, .at = rows[i].at};
        char address[32];
        open_relay(&relay, &a, address);
        a.up = a.down = a.messages = a.bad_frames = 0;
        EbPeerLinks_Connect(b.links, address);
        while (b.up + b.failed == 0) {
            run_for(1000);
        }
        for (uint64_t j = 0; j < 3 && b.up > 0; j++) {
            send_body(&b, "a", j, 40);
        }
        wait_for(rows[i].bad_frames > 0 ? &a.bad_frames : &a.messages,
                 rows[i].bad_frames > 0 ? 1 : rows[i].messages);
        CU_ASSERT_EQUAL(a.up, rows[i].ups);
        CU_ASSERT_EQUAL(a.messages, rows[i].messages);
        CU_ASSERT_EQUAL(a.bad_frames, rows[i].bad_frames);
        CU_ASSERT_EQUAL(a.down, rows[i].ups > 0 && rows[i].bad_frames > 0);
        CU_ASSERT_EQUAL(other.down, 0);
        close_relay(&relay);
        close_end(&b);
        CU_ASSERT_TRUE(wait_for(&a.down, a.up));
    }
    a.messages = 0;
    CU_ASSERT_TRUE(send_body(&other, "a", 1, 10));
    CU_ASSERT_TRUE(wait_for(&a.messages, 1));
    close_end(&a);
    close_end(&other);
}

/* Guards against connections that hold a place without a handshake: silent,
 * or with one that stops part of the way. */
static void
test_silent(void)
{
    End a, b;
    open_end(&a, "a", key);
    for (size_t at = 0; at < 60; at += 12) {
        open_end(&b, "b", key);
        Relay relay = {
            .deed = CUT, .unit = at % 24 == 0 ? 0 : 1, .at = at / 2};
        char address[32];
        open_relay(&relay, &a, address);
        int64_t start_us = g_get_monotonic_time();
        EbPeerLinks_Connect(b.links, address);
        CU_ASSERT_TRUE(wait_for(relay.unit == 0 ? &b.failed : &b.down, 1));
        CU_ASSERT_TRUE(g_get_monotonic_time() - start_us >=
                       EB_PEER_HANDSHAKE_TIMEOUT_US / 2);
        CU_ASSERT_EQUAL(a.up, 0);
        close_relay(&relay);
        close_end(&b);
    }
    close_end(&a);
}

/* Guards against silent connections that keep daemons out. */
static void
test_many_silent(void)
{
    End a, b;
    open_end(&a, "a", key);
    open_end(&b, "b", key);
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(EbPeerLinks_Port(a.links))};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int sockets[3 * HANDSHAKES];
    for (size_t i = 0; i < TABLE_COUNT(sockets); i++) {
        sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL(
            connect(sockets[i], (struct sockaddr *)&target, sizeof(target)),
            0);
    }
    run_for(20000);
    char byte;
    CU_ASSERT_EQUAL(recv(sockets[0], &byte, 1, MSG_DONTWAIT), 0);
    CU_ASSERT_EQUAL(
        recv(sockets[TABLE_COUNT(sockets) - 1], &byte, 1, MSG_DONTWAIT), -1);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&a.up, 1));
    for (size_t i = 0; i < TABLE_COUNT(sockets); i++) {
        evutil_closesocket(sockets[i]);
    }
    close_end(&a);
    close_end(&b);
}

/* Guards against unbounded output to a peer that does not read. */
static void
test_not_reading(void)
{
    End a, b;
    open_end(&a, "a", key);
    open_end(&b, "b", key);
    Relay relay = {.deed = PASS};
    char address[32];
    open_relay(&relay, &a, address);
    EbPeerLinks_Connect(b.links, address);
    CU_ASSERT_TRUE_FATAL(wait_for(&b.up, 1) && wait_for(&a.up, 1));
    bufferevent_disable(relay.sides[0], EV_READ);
    size_t sent = 0;
    while (send_body(&b, "a", sent, 1U << 20) && sent < 100) {
        sent++;
        run_for(1000);
    }
    CU_ASSERT_TRUE(sent < 100);
    CU_ASSERT_EQUAL(b.down, 1);
    CU_ASSERT_EQUAL(EbPeerLinks_Count(b.links), 0);
    close_relay(&relay);
    close_end(&a);
    close_end(&b);
}

/* Guards against two links, or none, when both sides dial at once, and
 * against a restarted daemon that is kept out by its old link. */
static void
test_both_dial(void)
{
    End a, b;
    for (int round = 0; round < 50; round++) {
        open_end(&a, round % 2 == 0 ? "a" : "c", key);
        open_end(&b, "b", key);
        EbPeerLinks_Connect(a.links, EbPeerLinks_Address(b.links));
        for (int i = 0; i < round % 10; i++) {
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
        CU_ASSERT_TRUE(wait_for(&a.up, 1) && wait_for(&b.up, 1));
        /* What is sent on the link that is given up may be lost. */
        int64_t limit_us = g_get_monotonic_time() + LONGEST_US;
        while ((a.messages == 0 || b.messages == 0) &&
               g_get_monotonic_time() < limit_us) {
            send_body(&a, "b", 1, 10);
            send_body(&b, b.peer, 1, 10);
            run_for(1000);
        }
        CU_ASSERT_TRUE(a.messages > 0 && b.messages > 0);
        CU_ASSERT_EQUAL(EbPeerLinks_Count(a.links), 1);
        CU_ASSERT_EQUAL(EbPeerLinks_Count(b.links), 1);
        CU_ASSERT_EQUAL(a.up - a.down, 1);
        CU_ASSERT_EQUAL(b.up - b.down, 1);
        close_end(&a);
        close_end(&b);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"link", test_link},
        {"refused", test_refused},
        {"altered", test_altered},
        {"silent", test_silent},
        {"many silent", test_many_silent},
        {"not reading", test_not_reading},
        {"both dial", test_both_dial},
    };
    base = event_base_new();
    int status = EbTest_Run("test_peer_link", cases, TABLE_COUNT(cases));
    event_base_free(base);
    return status;
}
