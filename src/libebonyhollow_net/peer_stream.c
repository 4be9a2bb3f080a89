#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sodium.h>

#include "peer_link_internal.h"

static void
count_bytes(const EbPeerLink *link, const char *direction, size_t byte_count)
{
    if (link->owner->options.metrics != NULL) {
        EbMetrics_Add(link->owner->options.metrics, EB_METRIC_PEER_BYTES,
                      byte_count, direction, NULL, NULL);
    }
}

static void
count_message(const EbPeerLink *link, const char *direction,
              EbMessageKind kind)
{
    if (link->owner->options.metrics != NULL) {
        EbMetrics_Add(link->owner->options.metrics, EB_METRIC_PEER_MESSAGES, 1,
                      direction,
                      kind < EB_MESSAGE_KIND_COUNT ? EbMessageKind_names[kind]
                                                   : "unknown",
                      NULL);
    }
}

/* Writes one record, a frame or a handshake message: first its length and then
 * its two parts, of which the second may be empty. */
static void
write_record(EbPeerLink *link, const uint8_t *first, size_t first_bytes,
             const uint8_t *second, size_t second_bytes)
{
    uint32_t length = htonl((uint32_t)(first_bytes + second_bytes));
    struct evbuffer *output = bufferevent_get_output(link->stream);
    evbuffer_add(output, &length, sizeof(length));
    evbuffer_add(output, first, first_bytes);
    evbuffer_add(output, second, second_bytes);
    count_bytes(link, "sent", sizeof(length) + first_bytes + second_bytes);
}

static void
add_own_hello(EbPeerLink *link, uint8_t bytes[EB_PEER_HELLO_MAX_BYTES],
              size_t *byte_count)
{
    const EbPeerLinks *owner = link->owner;
    EbPeerHello hello = {.role = link->dialled ? EB_PEER_DIALLER
                                               : EB_PEER_ACCEPTOR,
                         .incarnation = owner->options.incarnation};
    randombytes_buf(hello.nonce, sizeof(hello.nonce));
    g_strlcpy(hello.instance, owner->instance, sizeof(hello.instance));
    g_strlcpy(hello.address, owner->address, sizeof(hello.address));
    *byte_count = EbPeerHello_Encode(&hello, bytes);
    EbPeerTranscript_Add(&link->transcript, bytes, *byte_count);
}

void
EbPeerLink_SendHello(EbPeerLink *link)
{
    uint8_t bytes[EB_PEER_HELLO_MAX_BYTES];
    size_t byte_count;
    add_own_hello(link, bytes, &byte_count);
    link->state = EB_LINK_HELLO;
    write_record(link, bytes, byte_count, NULL, 0);
}

static void
derive_secret(const EbPeerLink *link, const char *label,
              uint8_t secret[EB_PEER_SECRET_BYTES])
{
    EbPeerTranscript_Derive(&link->transcript, link->owner->key, label,
                            secret);
}

static bool
is_valid_proof(const EbPeerLink *link, const char *label, const uint8_t *bytes,
               size_t byte_count)
{
    uint8_t expected[EB_PEER_PROOF_BYTES];
    derive_secret(link, label, expected);
    return byte_count == sizeof(expected) &&
           sodium_memcmp(bytes, expected, sizeof(expected)) == 0;
}

/* Reads the other side's hello. Returns its length in bytes, or 0 if the link
 * was closed. */
static size_t
handle_hello(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    size_t hello_length = EbPeerHello_Decode(
        bytes, byte_count, link->dialled ? EB_PEER_ACCEPTOR : EB_PEER_DIALLER,
        &link->peer);
    if (hello_length == 0) {
        EbPeerLink_Close(link, "malformed handshake", true);
        return 0;
    }
    if (strcmp(link->peer.instance, link->owner->instance) == 0) {
        EbPeerLink_Close(link, "the peer has the name of this daemon", false);
        return 0;
    }
    EbPeerTranscript_Add(&link->transcript, bytes, hello_length);
    return hello_length;
}

static void
finish_handshake(EbPeerLink *link)
{
    derive_secret(link, EB_PEER_TO_ACCEPTOR,
                  link->dialled ? link->send_key : link->receive_key);
    derive_secret(link, EB_PEER_TO_DIALLER,
                  link->dialled ? link->receive_key : link->send_key);
    bufferevent_setwatermark(link->stream, EV_READ, 0,
                             EB_MESSAGE_MAX_BYTES + EB_PEER_LENGTH_BYTES +
                                 EB_PEER_HASH_BYTES);
    EbPeerLink_Establish(link);
}

/* As the dialler, handles the acceptor's hello and proof. */
static void
handle_acceptor_hello(EbPeerLink *link, const uint8_t *bytes,
                      size_t byte_count)
{
    size_t hello_length = handle_hello(link, bytes, byte_count);
    if (hello_length == 0) {
        return;
    }
    if (!is_valid_proof(link, EB_PEER_ACCEPTOR_PROOF, bytes + hello_length,
                        byte_count - hello_length)) {
        EbPeerLink_Close(link, "authentication failed", true);
        return;
    }
    uint8_t proof[EB_PEER_PROOF_BYTES];
    derive_secret(link, EB_PEER_DIALLER_PROOF, proof);
    write_record(link, proof, sizeof(proof), NULL, 0);
    finish_handshake(link);
}

/* As the acceptor, handles the dialler's hello and replies with a hello and a
 * proof. */
static void
handle_dialler_hello(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    size_t hello_length = handle_hello(link, bytes, byte_count);
    if (hello_length == 0) {
        return;
    }
    if (hello_length != byte_count) {
        EbPeerLink_Close(link, "malformed handshake", true);
        return;
    }
    uint8_t hello[EB_PEER_HELLO_MAX_BYTES];
    uint8_t proof[EB_PEER_PROOF_BYTES];
    size_t hello_bytes;
    add_own_hello(link, hello, &hello_bytes);
    derive_secret(link, EB_PEER_ACCEPTOR_PROOF, proof);
    write_record(link, hello, hello_bytes, proof, sizeof(proof));
    link->state = EB_LINK_PROOF;
}

/* As the acceptor, handles the dialler's proof. */
static void
handle_proof(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    if (!is_valid_proof(link, EB_PEER_DIALLER_PROOF, bytes, byte_count)) {
        EbPeerLink_Close(link, "authentication failed", true);
        return;
    }
    finish_handshake(link);
}

static void
handle_payload(EbPeerLink *link, const uint8_t *payload, size_t payload_bytes)
{
    EbError error = {0};
    EbMessage *message = EbMessage_Decode(payload, payload_bytes, &error);
    if (message == NULL && error.code != EB_ERROR_UNKNOWN_FIELD) {
        EbPeerLink_Close(link, error.message, true);
        return;
    }
    count_message(link, "received",
                  message == NULL ? EB_MESSAGE_KIND_COUNT : message->kind);
    if (message != NULL) {
        const EbPeerLinksOptions *options = &link->owner->options;
        options->message(options->context, link->peer.instance, message);
        EbMessage_Free(message);
    }
}

static void
handle_frame(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    uint8_t hash[EB_PEER_HASH_BYTES];
    const uint8_t *payload = bytes + EB_PEER_HASH_BYTES;
    size_t payload_bytes = byte_count - EB_PEER_HASH_BYTES;
    EbPeerFrame_Hash(link->receive_key, link->frames_received++, payload,
                     payload_bytes, hash);
    if (sodium_memcmp(hash, bytes, sizeof(hash)) != 0) {
        EbPeerLink_Close(link, "wrong hash", true);
        return;
    }
    handle_payload(link, payload, payload_bytes);
}

static void
handle_record(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    if (link->state == EB_LINK_UP) {
        handle_frame(link, bytes, byte_count);
    }
    else if (link->state == EB_LINK_PROOF) {
        handle_proof(link, bytes, byte_count);
    }
    else if (link->dialled) {
        handle_acceptor_hello(link, bytes, byte_count);
    }
    else {
        handle_dialler_hello(link, bytes, byte_count);
    }
}

/* Checks the length of the next record before its bytes are buffered. Returns
 * false if the record is not complete yet or the link was closed. */
static bool
find_record(EbPeerLink *link, struct evbuffer *input, size_t *record_bytes)
{
    uint32_t encoded;
    if (evbuffer_copyout(input, &encoded, sizeof(encoded)) !=
        sizeof(encoded)) {
        return false;
    }
    size_t length = ntohl(encoded);
    bool up = link->state == EB_LINK_UP;
    size_t min_length = up ? EB_PEER_HASH_BYTES : 1;
    size_t max_length = up ? EB_MESSAGE_MAX_BYTES + EB_PEER_HASH_BYTES
                           : EB_PEER_HANDSHAKE_MAX_BYTES;
    if (length < min_length || length > max_length) {
        EbPeerLink_Close(link, "length out of range", true);
        return false;
    }
    *record_bytes = length;
    return evbuffer_get_length(input) >= EB_PEER_LENGTH_BYTES + length;
}

static void
on_readable(struct bufferevent *stream, void *context)
{
    EbPeerLink *link = context;
    size_t record_bytes;
    while (link->state != EB_LINK_CLOSED &&
           find_record(link, bufferevent_get_input(stream), &record_bytes)) {
        struct evbuffer *input = bufferevent_get_input(stream);
        size_t total_bytes = EB_PEER_LENGTH_BYTES + record_bytes;
        count_bytes(link, "received", total_bytes);
        const uint8_t *bytes = evbuffer_pullup(input, (ev_ssize_t)total_bytes);
        handle_record(link, bytes + EB_PEER_LENGTH_BYTES, record_bytes);
        if (link->state != EB_LINK_CLOSED) {
            evbuffer_drain(input, total_bytes);
        }
    }
}

static void
on_event(struct bufferevent *stream, short what, void *context)
{
    (void)stream;
    EbPeerLink *link = context;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        EbPeerLink_SendHello(link);
    }
    else if (link->state == EB_LINK_CONNECTING) {
        link->refused =
            link->refused || ((what & BEV_EVENT_ERROR) != 0 &&
                              EVUTIL_SOCKET_ERROR() == ECONNREFUSED);
        EbPeerLink_Close(link, "connection refused or unreachable", false);
    }
    else {
        EbPeerLink_Close(link,
                         (what & BEV_EVENT_EOF) != 0 ? "closed by the peer"
                                                     : "connection error",
                         false);
    }
}

void
EbPeerLink_Start(EbPeerLink *link, struct bufferevent *stream)
{
    link->stream = stream;
    bufferevent_setwatermark(stream, EV_READ, 0,
                             EB_PEER_HANDSHAKE_MAX_BYTES +
                                 EB_PEER_LENGTH_BYTES);
    bufferevent_setcb(stream, on_readable, NULL, on_event, link);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

bool
EbPeerLink_SendFrame(EbPeerLink *link, const uint8_t *bytes, size_t byte_count)
{
    size_t limit = link->owner->options.max_output_bytes;
    size_t unsent = evbuffer_get_length(bufferevent_get_output(link->stream));
    size_t total_bytes =
        EB_PEER_LENGTH_BYTES + EB_PEER_HASH_BYTES + byte_count;
    if (byte_count > EB_MESSAGE_MAX_BYTES) {
        return false;
    }
    if (unsent + total_bytes > limit) {
        EbPeerLink_Close(link, "the peer does not read", false);
        return false;
    }
    uint8_t hash[EB_PEER_HASH_BYTES];
    EbPeerFrame_Hash(link->send_key, link->frames_sent++, bytes, byte_count,
                     hash);
    write_record(link, hash, sizeof(hash), bytes, byte_count);
    count_message(link, "sent", EbMessage_PeekKind(bytes, byte_count));
    return true;
}
