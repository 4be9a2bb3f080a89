/* EbPeerLinks: the authenticated TCP links of one daemon to its peers.
 *
 * Both ends prove that they hold the deployment's peer key by a mutual
 * challenge-response over fresh nonces, names, incarnations and roles, which
 * also gives one session key for each direction. After it a link carries
 * frames: 4 bytes length, 16 bytes keyed hash over the frame's sequence number
 * and payload, and the payload, one encoded EbMessage. A malformed frame
 * closes its link and has no other effect.
 *
 * There is at most one link for each peer. Of two that were dialled from both
 * sides at once both ends keep the one dialled by the lower name. */
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

#define EB_PEER_HANDSHAKE_TIMEOUT_US                                          \
    2000000 /* from connecting to authenticated */
#define EB_PEER_HANDSHAKE_MAX_BYTES 512
#define EB_PEER_HANDSHAKES_MAX                                                \
    512 /* at once; beyond, the oldest is closed                              \
         */
#define EB_PEER_OUTPUT_MAX_BYTES (2 * (EB_MESSAGE_MAX_BYTES + 1024))

struct event_base;

typedef struct EbPeerLinks EbPeerLinks;

/* The callbacks may call Connect, Send and Close, but not Free. */
typedef struct {
    struct event_base *base;
    const char *instance;
    uint64_t incarnation;
    const EbAddress *listen; /* port 0: any free port */
    const char *address;     /* told to peers; NULL: the listener's */
    const uint8_t *key;      /* EB_PEER_KEY_BYTES */
    size_t max_output_bytes; /* unsent, by link; 0: the default above */
    /* Accepted connections that are not authenticated; beyond it the oldest
     * is closed. 0: the default above. */
    uint32_t max_handshakes;
    EbMetrics *metrics; /* may be NULL */
    const EbEventSink *events;
    void (*link_up)(void *context, const char *peer, uint64_t incarnation,
                    const char *address);
    /* Called for each link that was up, also after Close. */
    void (*link_down)(void *context, const char *peer);
    /* A dial ended without a link; may be called from within Connect. */
    void (*dial_failed)(void *context, const char *address);
    /* `message` is borrowed for the call. */
    void (*message)(void *context, const char *peer, const EbMessage *message);
    void *context;
} EbPeerLinksOptions;

/* Opens the listener. Returns NULL with `error` set when that fails. */
EbPeerLinks *EbPeerLinks_New(const EbPeerLinksOptions *options,
                             EbError *error);

/* Closes everything without callbacks. Accepts NULL. */
void EbPeerLinks_Free(EbPeerLinks *links);

/* Dials "host:port". Does nothing while a dial to it is under way or a peer
 * with this address is linked. */
void EbPeerLinks_Connect(EbPeerLinks *links, const char *address);

/* Sends one encoded EbMessage to a linked peer. A link whose peer does not
 * read, so that its output would exceed the limit, is closed.
 *
 * Returns false when there is no link or it was closed. */
bool EbPeerLinks_Send(EbPeerLinks *links, const char *peer,
                      const uint8_t *bytes, size_t byte_count);

/* Closes the link to a peer; does nothing when there is none. */
void EbPeerLinks_Close(EbPeerLinks *links, const char *peer);

uint16_t EbPeerLinks_Port(const EbPeerLinks *links);

/* Address that peers are told, "host:port" or "[host]:port". */
const char *EbPeerLinks_Address(const EbPeerLinks *links);

/* Number of links that are up. */
size_t EbPeerLinks_Count(const EbPeerLinks *links);

#endif
