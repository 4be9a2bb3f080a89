/* Tests of the authenticated links between daemons over 127.0.0.1. A relay
 * between two daemons alters, repeats, reorders or truncates the records of a
 * connection, or stops reading from it. */
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
#define WAIT_TIMEOUT_US (20LL * G_USEC_PER_SEC)
#define MAX_HANDSHAKES 4

typedef struct {
    EbPeerLinks *links;
    EbMetrics *metrics;
    EbEventSink sink;
    char peer[64]; /* peer of the last link that was established */
    uint64_t peer_incarnation;
    char peer_address[64];
    int up, down, failed_dials, refused_dials, messages, bad_frames;
    uint64_t generation; /* of the last message */
    size_t text_bytes;   /* of the last message */
} Endpoint;

/* What the relay does to one record (hello, proof or frame) from the dialler.
 */
typedef enum {
    PASS,     /* forwards it unchanged */
    FLIP,     /* flips one bit */
    REPEAT,   /* sends it twice */
    SWAP,     /* sends it after the next record */
    TRUNCATE, /* sends only its start, and nothing after it */
    GROW      /* sets its length field to the largest value */
} Fault;

typedef struct {
    Fault fault;
    int record;       /* index of the record that the fault affects */
    size_t at;        /* FLIP: offset of the byte; TRUNCATE: bytes to send */
    int record_count; /* records received so far */
    struct evconnlistener *listener;
    struct bufferevent *sides[2]; /* dialler, acceptor */
    uint16_t target_port;
    GByteArray *withheld;
} Relay;

static struct event_base *base;
static const uint8_t key[EB_PEER_KEY_BYTES] = "the same key on both sides";
static const uint8_t other_key[EB_PEER_KEY_BYTES] = "another key";

static void
on_link_up(void *context, const char *peer, uint64_t incarnation,
           const char *address)
{
    Endpoint *endpoint = context;
    endpoint->up++;
    endpoint->peer_incarnation = incarnation;
    g_strlcpy(endpoint->peer, peer, sizeof(endpoint->peer));
    g_strlcpy(endpoint->peer_address, address, sizeof(endpoint->peer_address));
}

static void
on_link_down(void *context, const char *peer)
{
    (void)peer;
    ((Endpoint *)context)->down++;
}

static void
on_dial_failed(void *context, const char *address, bool refused)
{
    (void)address;
    ((Endpoint *)context)->failed_dials++;
    ((Endpoint *)context)->refused_dials += refused;
}

static void
on_message(void *context, const char *peer, const EbMessage *message)
{
    (void)peer;
    Endpoint *endpoint = context;
    endpoint->messages++;
    endpoint->generation = message->generation;
    endpoint->text_bytes = message->text_bytes;
}

static void
on_log_event(void *context, EbEventId event, const EbEventField *fields,
             size_t field_count)
{
    (void)fields;
    (void)field_count;
    ((Endpoint *)context)->bad_frames += event == EB_EVENT_PEER_BAD_FRAME;
}

static void
open_endpoint(Endpoint *endpoint, const char *name, const uint8_t *link_key)
{
    *endpoint = (Endpoint){.metrics = EbMetrics_New()};
    endpoint->sink = (EbEventSink){on_log_event, endpoint};
    EbAddress listen = {"127.0.0.1", 0};
    EbError error = {0};
    endpoint->links =
        EbPeerLinks_New(&(EbPeerLinksOptions){.base = base,
                                              .instance = name,
                                              .incarnation = 7,
                                              .listen = &listen,
                                              .key = link_key,
                                              .max_handshakes = MAX_HANDSHAKES,
                                              .metrics = endpoint->metrics,
                                              .events = &endpoint->sink,
                                              .link_up = on_link_up,
                                              .link_down = on_link_down,
                                              .dial_failed = on_dial_failed,
                                              .message = on_message,
                                              .context = endpoint},
                        &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(endpoint->links);
}

static void
close_endpoint(Endpoint *endpoint)
{
    EbPeerLinks_Free(endpoint->links);
    EbMetrics_Free(endpoint->metrics);
}

/* Runs the loop until a counter reaches a value. Returns false on a time-out.
 */
static bool
wait_for(const int *counter, int value)
{
    int64_t limit_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
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
send_config_body(Endpoint *endpoint, const char *peer, uint64_t generation,
                 size_t text_bytes)
{
    char *text = g_strnfill(text_bytes, 'x');
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_BODY,
                         .generation = generation,
                         .text = text,
                         .text_bytes = text_bytes};
    uint8_t *bytes;
    size_t byte_count;
    bool sent = EbMessage_Encode(&message, &bytes, &byte_count) &&
                EbPeerLinks_Send(endpoint->links, peer, bytes, byte_count);
    free(bytes);
    g_free(text);
    return sent;
}

/* Forwards one record, with the relay's fault if it is the chosen record.
 * Returns false if the record was truncated. */
static bool
relay_record(Relay *relay, GByteArray *record)
{
    struct evbuffer *output = bufferevent_get_output(relay->sides[1]);
    int number = relay->record_count++;
    Fault fault = number == relay->record ? relay->fault : PASS;
    if (fault == FLIP) {
        record->data[relay->at] ^= 1;
    }
    else if (fault == GROW) {
        memset(record->data, 0xff, 4);
    }
    else if (fault == SWAP) {
        g_byte_array_append(relay->withheld, record->data, record->len);
        return true;
    }
    size_t length = fault == TRUNCATE ? relay->at : record->len;
    evbuffer_add(output, record->data, length);
    if (fault == REPEAT) {
        evbuffer_add(output, record->data, length);
    }
    evbuffer_add(output, relay->withheld->data, relay->withheld->len);
    g_byte_array_set_size(relay->withheld, 0);
    return fault != TRUNCATE;
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
        GByteArray *record = g_byte_array_new();
        g_byte_array_set_size(record, 4 + ntohl(length));
        evbuffer_remove(input, record->data, record->len);
        if (!relay_record(relay, record)) {
            bufferevent_disable(stream, EV_READ);
        }
        g_byte_array_free(record, TRUE);
    }
}

/* Closes both connections when one of them closes. */
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
                                 .sin_port = htons(relay->target_port)};
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
open_relay(Relay *relay, const Endpoint *target, char address[32])
{
    struct sockaddr_in local = {.sin_family = AF_INET};
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    relay->target_port = EbPeerLinks_Port(target->links);
    relay->withheld = g_byte_array_new();
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
    g_byte_array_free(relay->withheld, TRUE);
}

/* Guards against links that are not established, lose or reorder messages, or
 * count them wrongly. */
static void
test_link(void)
{
    Endpoint a, b;
    open_endpoint(&a, "a", key);
    open_endpoint(&b, "b", key);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE_FATAL(wait_for(&a.up, 1) && wait_for(&b.up, 1));
    CU_ASSERT_STRING_EQUAL(a.peer, "b");
    CU_ASSERT_EQUAL(a.peer_incarnation, 7);
    CU_ASSERT_STRING_EQUAL(a.peer_address, EbPeerLinks_Address(b.links));
    CU_ASSERT_TRUE(send_config_body(&b, "a", 1, 10));
    CU_ASSERT_TRUE(send_config_body(&b, "a", 2, EB_MESSAGE_MAX_BYTES - 64));
    CU_ASSERT_TRUE(send_config_body(&a, "b", 3, 1));
    CU_ASSERT_FALSE(send_config_body(&a, "c", 3, 1));
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
    CU_ASSERT_EQUAL(
        a.bad_frames + b.bad_frames + a.failed_dials + b.failed_dials, 0);
    close_endpoint(&a);
    close_endpoint(&b);
}

/* Guards against links between daemons with different keys or with the same
 * name, and against failed dials that are not reported. */
static void
test_refused(void)
{
    Endpoint a, b, namesake;
    open_endpoint(&a, "a", key);
    open_endpoint(&b, "b", other_key);
    open_endpoint(&namesake, "a", key);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&b.failed_dials, 1));
    CU_ASSERT_EQUAL(b.bad_frames, 1);
    EbPeerLinks_Connect(namesake.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&namesake.failed_dials, 1));
    char *address = g_strdup(EbPeerLinks_Address(b.links));
    close_endpoint(&b);
    EbPeerLinks_Connect(a.links, address); /* nothing listens there */
    CU_ASSERT_TRUE(wait_for(&a.failed_dials, 1));
    CU_ASSERT_EQUAL(a.refused_dials, 1);
    EbPeerLinks_Connect(a.links, "no address");
    CU_ASSERT_EQUAL(a.failed_dials, 2);
    CU_ASSERT_EQUAL(a.refused_dials + b.refused_dials + namesake.refused_dials,
                    1);
    CU_ASSERT_EQUAL(a.up + namesake.up, 0);
    g_free(address);
    close_endpoint(&a);
    close_endpoint(&namesake);
}

/* Guards against altered, repeated, reordered, truncated or oversized records
 * that have any effect other than closing their own link. A second link must
 * stay up. */
static void
test_altered(void)
{
    static const struct {
        Fault fault;
        int record;
        size_t at;
        int expected_links; /* links established at the acceptor */
        int messages;       /* delivered out of three */
        int bad_frames;     /* at the acceptor */
    } rows[] = {
        {PASS, 0, 0, 1, 3, 0},
        {FLIP, 0, 4, 0, 0, 1},  /* magic */
        {FLIP, 0, 8, 0, 0, 1},  /* role */
        {FLIP, 0, 20, 0, 0, 0}, /* nonce: rejected by the dialler */
        {FLIP, 0, 50, 0, 0, 0}, /* name */
        {FLIP, 1, 9, 0, 0, 1},  /* proof */
        {REPEAT, 0, 0, 0, 0, 1},
        {REPEAT, 1, 0, 1, 0, 1}, /* the proof is read as a frame */
        {GROW, 0, 0, 0, 0, 1},
        {FLIP, 2, 30, 1, 0, 1}, /* payload */
        {FLIP, 2, 5, 1, 0, 1},  /* hash */
        {FLIP, 3, 22, 1, 1, 1},
        {REPEAT, 2, 0, 1, 1, 1},
        {SWAP, 2, 0, 1, 0, 1},
        {GROW, 3, 0, 1, 1, 1},
    };
    Endpoint a, other;
    open_endpoint(&a, "a", key);
    open_endpoint(&other, "other", key);
    EbPeerLinks_Connect(other.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE_FATAL(wait_for(&a.up, 1) && wait_for(&other.up, 1));
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        Endpoint b;
        open_endpoint(&b, "b", key);
        Relay relay = {.fault = rows[i].fault,
                       .record = rows[i].record,
                       .at = rows[i].at};
        char address[32];
        open_relay(&relay, &a, address);
        a.up = a.down = a.messages = a.bad_frames = 0;
        EbPeerLinks_Connect(b.links, address);
        while (b.up + b.failed_dials == 0) {
            run_for(1000);
        }
        for (uint64_t j = 0; j < 3 && b.up > 0; j++) {
            send_config_body(&b, "a", j, 40);
        }
        wait_for(rows[i].bad_frames > 0 ? &a.bad_frames : &a.messages,
                 rows[i].bad_frames > 0 ? 1 : rows[i].messages);
        CU_ASSERT_EQUAL(a.up, rows[i].expected_links);
        CU_ASSERT_EQUAL(a.messages, rows[i].messages);
        CU_ASSERT_EQUAL(a.bad_frames, rows[i].bad_frames);
        CU_ASSERT_EQUAL(a.down,
                        rows[i].expected_links > 0 && rows[i].bad_frames > 0);
        CU_ASSERT_EQUAL(other.down, 0);
        close_relay(&relay);
        close_endpoint(&b);
        CU_ASSERT_TRUE(wait_for(&a.down, a.up));
    }
    a.messages = 0;
    CU_ASSERT_TRUE(send_config_body(&other, "a", 1, 10));
    CU_ASSERT_TRUE(wait_for(&a.messages, 1));
    close_endpoint(&a);
    close_endpoint(&other);
}

/* Guards against connections that never time out because their handshake stops
 * at the start or in the middle. */
static void
test_silent(void)
{
    Endpoint a, b;
    open_endpoint(&a, "a", key);
    /* The hello is cut after 0, 12 and 24 bytes, the proof after 6 and 18. By
     * the time the proof is sent, the dialler counts the link as up. */
    for (size_t at = 0; at < 60; at += 12) {
        open_endpoint(&b, "b", key);
        Relay relay = {
            .fault = TRUNCATE, .record = at % 24 == 0 ? 0 : 1, .at = at / 2};
        char address[32];
        open_relay(&relay, &a, address);
        int64_t start_us = g_get_monotonic_time();
        EbPeerLinks_Connect(b.links, address);
        CU_ASSERT_TRUE(
            wait_for(relay.record == 0 ? &b.failed_dials : &b.down, 1));
        CU_ASSERT_TRUE(g_get_monotonic_time() - start_us >=
                       EB_PEER_HANDSHAKE_TIMEOUT_US / 2);
        CU_ASSERT_EQUAL(a.up, 0);
        close_relay(&relay);
        close_endpoint(&b);
    }
    close_endpoint(&a);
}

/* Guards against many silent connections that keep daemons from connecting. */
static void
test_many_silent(void)
{
    Endpoint a, b;
    open_endpoint(&a, "a", key);
    open_endpoint(&b, "b", key);
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(EbPeerLinks_Port(a.links))};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int sockets[3 * MAX_HANDSHAKES];
    for (size_t i = 0; i < TABLE_COUNT(sockets); i++) {
        sockets[i] = socket(AF_INET, SOCK_STREAM, 0);
        CU_ASSERT_EQUAL(
            connect(sockets[i], (struct sockaddr *)&target, sizeof(target)),
            0);
    }
    run_for(20000);
    /* The oldest connection was closed, the newest is still open. */
    char byte;
    CU_ASSERT_EQUAL(recv(sockets[0], &byte, 1, MSG_DONTWAIT), 0);
    CU_ASSERT_EQUAL(
        recv(sockets[TABLE_COUNT(sockets) - 1], &byte, 1, MSG_DONTWAIT), -1);
    EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
    CU_ASSERT_TRUE(wait_for(&a.up, 1));
    for (size_t i = 0; i < TABLE_COUNT(sockets); i++) {
        evutil_closesocket(sockets[i]);
    }
    close_endpoint(&a);
    close_endpoint(&b);
}

/* Guards against unbounded output to a peer that does not read. */
static void
test_not_reading(void)
{
    Endpoint a, b;
    open_endpoint(&a, "a", key);
    open_endpoint(&b, "b", key);
    Relay relay = {.fault = PASS};
    char address[32];
    open_relay(&relay, &a, address);
    EbPeerLinks_Connect(b.links, address);
    CU_ASSERT_TRUE_FATAL(wait_for(&b.up, 1) && wait_for(&a.up, 1));
    bufferevent_disable(relay.sides[0], EV_READ);
    size_t sent = 0;
    while (send_config_body(&b, "a", sent, 1U << 20) && sent < 100) {
        sent++;
        run_for(1000);
    }
    CU_ASSERT_TRUE(sent < 100);
    CU_ASSERT_EQUAL(b.down, 1);
    CU_ASSERT_EQUAL(EbPeerLinks_Count(b.links), 0);
    close_relay(&relay);
    close_endpoint(&a);
    close_endpoint(&b);
}

/* Guards against two links, or none, when both sides dial at the same time,
 * and against an old link that keeps a restarted daemon from connecting. */
static void
test_both_dial(void)
{
    Endpoint a, b;
    /* The link that the daemon with the lower name dialled is kept, so both
     * orders of the names are tried. */
    for (int round = 0; round < 50; round++) {
        open_endpoint(&a, round % 2 == 0 ? "a" : "c", key);
        open_endpoint(&b, "b", key);
        EbPeerLinks_Connect(a.links, EbPeerLinks_Address(b.links));
        for (int i = 0; i < round % 10; i++) {
            event_base_loop(base, EVLOOP_NONBLOCK);
        }
        EbPeerLinks_Connect(b.links, EbPeerLinks_Address(a.links));
        CU_ASSERT_TRUE(wait_for(&a.up, 1) && wait_for(&b.up, 1));
        /* Messages sent on the link that is not kept may be lost. */
        int64_t limit_us = g_get_monotonic_time() + WAIT_TIMEOUT_US;
        while ((a.messages == 0 || b.messages == 0) &&
               g_get_monotonic_time() < limit_us) {
            send_config_body(&a, "b", 1, 10);
            send_config_body(&b, b.peer, 1, 10);
            run_for(1000);
        }
        CU_ASSERT_TRUE(a.messages > 0 && b.messages > 0);
        CU_ASSERT_EQUAL(EbPeerLinks_Count(a.links), 1);
        CU_ASSERT_EQUAL(EbPeerLinks_Count(b.links), 1);
        CU_ASSERT_EQUAL(a.up - a.down, 1);
        CU_ASSERT_EQUAL(b.up - b.down, 1);
        close_endpoint(&a);
        close_endpoint(&b);
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
