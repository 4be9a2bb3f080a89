/* EbPeerLinks: the authenticated TCP links of one daemon to its peers.
 *
 * Both ends prove that they hold the deployment's peer key in a mutual
 * challenge-response handshake over fresh nonces, names, incarnations and
 * roles. The handshake also derives one session key for each direction. An
 * established link carries frames. A frame consists of its length (4 bytes), a
 * keyed hash of the frame's sequence number and payload (16 bytes), and the
 * payload, which is one encoded EbMessage. A malformed frame closes its link
 * and has no other effect.
 *
 * There is at most one link to each peer. If both ends dial at the same time,
 * both keep the link that was dialled by the daemon with the lower name. */
#ifndef EBONYHOLLOW_PEER_LINK_H
#define EBONYHOLLOW_PEER_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/event.h"
#include "ebonyhollow/message.h"
#include "ebonyhollow/metrics.h"
#include "ebonyhollow/settings.h"

/* From connecting to the end of the handshake. */
#define EB_PEER_HANDSHAKE_TIMEOUT_US 2000000
#define EB_PEER_HANDSHAKE_MAX_BYTES 512
/* Accepted connections that may be in a handshake at the same time. */
#define EB_PEER_HANDSHAKES_MAX 512
#define EB_PEER_OUTPUT_MAX_BYTES (2 * (EB_MESSAGE_MAX_BYTES + 1024))

struct event_base;

typedef struct EbPeerLinks EbPeerLinks;

/* The callbacks may call EbPeerLinks_Connect, _Send and _Close, but not
 * EbPeerLinks_Free. */
typedef struct {
    struct event_base *base;
    const char *instance;
    uint64_t incarnation;
    const EbAddress *listen; /* port 0: any free port */
    const char *address;     /* announced to peers; NULL: the listener's */
    const uint8_t *key;      /* EB_PEER_KEY_BYTES */
    size_t max_output_bytes; /* unsent on a link; 0: the default above */
    /* Largest number of accepted connections that are not authenticated yet.
     * Beyond it the oldest is closed. 0: the default above. */
    uint32_t max_handshakes;
    EbMetrics *metrics; /* may be NULL */
    const EbEventSink *events;
    /* Called when a link was established. `address` is the one that the peer
     * announced. */
    void (*link_up)(void *context, const char *peer, uint64_t incarnation,
                    const char *address);
    /* Called when an established link was closed, including by
     * EbPeerLinks_Close. */
    void (*link_down)(void *context, const char *peer);
    /* Called when a dial ended without a link, possibly from within
     * EbPeerLinks_Connect. `refused` tells that the connection was refused, so
     * that nothing listens at the address. */
    void (*dial_failed)(void *context, const char *address, bool refused);
    /* Called for each message. `message` is valid only during the call. */
    void (*message)(void *context, const char *peer, const EbMessage *message);
    void *context;
} EbPeerLinksOptions;

/* Opens the listener. Strings, `listen`, `key` and the sink `events` are
 * copied; `base` and `metrics` are borrowed and must outlive the links.
 *
 * Returns links to be freed with EbPeerLinks_Free, or NULL with `error` set on
 * failure. */
EbPeerLinks *EbPeerLinks_New(const EbPeerLinksOptions *options,
                             EbError *error);

/* Closes the listener and every link without callbacks. Accepts NULL. */
void EbPeerLinks_Free(EbPeerLinks *links);

/* Sets the incarnation of this daemon for links that are opened from now on.
 */
void EbPeerLinks_SetIncarnation(EbPeerLinks *links, uint64_t incarnation);

/* Dials the address "host:port" or "[host]:port". Does nothing if it is being
 * dialled already or if a peer with this address is linked. */
void EbPeerLinks_Connect(EbPeerLinks *links, const char *address);

/* Sends one encoded EbMessage to a linked peer. If the unsent output would
 * exceed its limit because the peer does not read, the link is closed.
 *
 * Returns false if there is no link, if the message exceeds
 * EB_MESSAGE_MAX_BYTES or if the link was closed. */
bool EbPeerLinks_Send(EbPeerLinks *links, const char *peer,
                      const uint8_t *bytes, size_t byte_count);

/* Closes the link to a peer. Does nothing if there is none. */
void EbPeerLinks_Close(EbPeerLinks *links, const char *peer);

/* Returns the port on which the daemon listens for peers. */
uint16_t EbPeerLinks_Port(const EbPeerLinks *links);

/* Returns the address that is announced to peers, "host:port" or
 * "[host]:port". */
const char *EbPeerLinks_Address(const EbPeerLinks *links);

/* Returns the number of established links. */
size_t EbPeerLinks_Count(const EbPeerLinks *links);

#endif
