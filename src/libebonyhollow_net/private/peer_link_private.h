/* Structures of EbPeerLinks, shared by its source files.
 *
 * peer_link.c       listener, dialling, the table of links
 * peer_stream.c     bytes of one link: handshake steps and frames
 * peer_handshake.c  handshake messages and keys, without I/O */
#ifndef EB_PEER_LINK_PRIVATE_H
#define EB_PEER_LINK_PRIVATE_H

#include <glib.h>

#include "ebonyhollow/peer_link.h"

#define EB_PEER_NONCE_BYTES 32
#define EB_PEER_PROOF_BYTES 32
#define EB_PEER_LENGTH_BYTES 4
#define EB_PEER_HASH_BYTES 16
#define EB_PEER_HELLO_MAX_BYTES 320

typedef enum { EB_PEER_DIALLER, EB_PEER_ACCEPTOR } EbPeerRole;

/* First message of each side. */
typedef struct {
    EbPeerRole role;
    uint8_t nonce[EB_PEER_NONCE_BYTES];
    uint64_t incarnation;
    char instance[EB_MESSAGE_MAX_NAME_BYTES + 1];
    char address[EB_MESSAGE_MAX_NAME_BYTES + 1];
} EbPeerHello;

/* The encoded hellos of both sides; proofs and keys are derived from them. */
typedef struct {
    uint8_t bytes[2 * EB_PEER_HELLO_MAX_BYTES];
    size_t byte_count;
} EbPeerTranscript;

/* Derives proofs and session keys; each label gives another secret. */
#define EB_PEER_SECRET_BYTES 32
#define EB_PEER_ACCEPTOR_PROOF "acceptor proof"
#define EB_PEER_DIALLER_PROOF "dialler proof"
#define EB_PEER_TO_ACCEPTOR "key to acceptor"
#define EB_PEER_TO_DIALLER "key to dialler"

size_t EbPeerHello_Encode(const EbPeerHello *hello,
                          uint8_t bytes[EB_PEER_HELLO_MAX_BYTES]);

/* Decodes a hello at the start of the bytes. Returns its length, or 0 when it
 * is malformed or has another role. */
size_t EbPeerHello_Decode(const uint8_t *bytes, size_t byte_count,
                          EbPeerRole role, EbPeerHello *hello);

void EbPeerTranscript_Add(EbPeerTranscript *transcript, const uint8_t *bytes,
                          size_t byte_count);
void EbPeerTranscript_Derive(const EbPeerTranscript *transcript,
                             const uint8_t *key, const char *label,
                             uint8_t secret[EB_PEER_SECRET_BYTES]);

/* Writes the hash of one frame. */
void EbPeerFrame_Hash(const uint8_t key[EB_PEER_SECRET_BYTES],
                      uint64_t sequence, const uint8_t *payload,
                      size_t payload_bytes, uint8_t hash[EB_PEER_HASH_BYTES]);

typedef enum {
    EB_LINK_CONNECTING,
    EB_LINK_HELLO, /* waits for the other side's hello */
    EB_LINK_PROOF, /* acceptor: waits for the dialler's proof */
    EB_LINK_UP,
    EB_LINK_CLOSED
} EbPeerLinkState;

typedef struct {
    EbPeerLinks *owner;
    EbPeerLinkState state;
    bool dialled;
    char *dial_address; /* NULL when accepted */
    char *remote;       /* for logs */
    struct bufferevent *stream;
    struct event *timer; /* end of the handshake */
    GList *place;        /* in the owner's handshakes; NULL once up */
    EbPeerHello peer;
    EbPeerTranscript transcript;
    uint8_t send_key[EB_PEER_SECRET_BYTES];
    uint8_t receive_key[EB_PEER_SECRET_BYTES];
    uint64_t sent;
    uint64_t received;
    int64_t up_us;
} EbPeerLink;

struct EbPeerLinks {
    EbPeerLinksOptions options;
    EbEventSink events;
    char *instance;
    char *address;
    uint8_t key[EB_PEER_KEY_BYTES];
    struct evconnlistener *listener;
    struct event *accept_timer;
    uint16_t port;
    GHashTable *up;    /* instance to EbPeerLink */
    GQueue handshakes; /* of EbPeerLink, oldest first */
    GQueue closed;     /* of EbPeerLink, freed by `sweep` */
    struct event *sweep;
};

/* peer_link.c */

/* Closes a link for a cause that is logged. A malformed frame is an event of
 * its own. */
void EbPeerLink_Close(EbPeerLink *link, const char *cause, bool bad_frame);

/* Takes a link into the table after both sides are authenticated. Returns
 * false when it was closed in favour of another link to the same peer. */
bool EbPeerLink_Establish(EbPeerLink *link);

/* peer_stream.c */
void EbPeerLink_Start(EbPeerLink *link, struct bufferevent *stream);
void EbPeerLink_SendHello(EbPeerLink *link);
bool EbPeerLink_SendFrame(EbPeerLink *link, const uint8_t *bytes,
                          size_t byte_count);

#endif
