/* Internals of EbPeerLinks, shared by its source files.
 *
 * peer_link.c       listener, dialling, table of links
 * peer_stream.c     byte stream of one link: handshake steps and frames
 * peer_handshake.c  handshake messages and keys, without I/O */
#ifndef EB_PEER_LINK_INTERNAL_H
#define EB_PEER_LINK_INTERNAL_H

#include <glib.h>

#include "ebonyhollow/peer_link.h"

#define EB_PEER_NONCE_BYTES 32
#define EB_PEER_PROOF_BYTES 32
/* Length of a frame or handshake message, which precedes it. */
#define EB_PEER_LENGTH_BYTES 4
/* Keyed hash of a frame. */
#define EB_PEER_HASH_BYTES 16
/* A hello with two names of EB_MESSAGE_MAX_NAME_BYTES has 301 bytes. */
#define EB_PEER_HELLO_MAX_BYTES 320

typedef enum { EB_PEER_DIALLER, EB_PEER_ACCEPTOR } EbPeerRole;

/* The first handshake message of each side. */
typedef struct {
    EbPeerRole role;
    uint8_t nonce[EB_PEER_NONCE_BYTES];
    uint64_t incarnation;
    char instance[EB_MESSAGE_MAX_NAME_BYTES + 1];
    char address[EB_MESSAGE_MAX_NAME_BYTES + 1];
} EbPeerHello;

/* The encoded hellos of both sides, from which proofs and session keys are
 * derived. */
typedef struct {
    uint8_t bytes[2 * EB_PEER_HELLO_MAX_BYTES];
    size_t byte_count;
} EbPeerTranscript;

#define EB_PEER_SECRET_BYTES 32

/* Labels for EbPeerTranscript_Derive; each one yields a different secret. */
#define EB_PEER_ACCEPTOR_PROOF "acceptor proof"
#define EB_PEER_DIALLER_PROOF "dialler proof"
#define EB_PEER_TO_ACCEPTOR "key to acceptor"
#define EB_PEER_TO_DIALLER "key to dialler"

size_t EbPeerHello_Encode(const EbPeerHello *hello,
                          uint8_t bytes[EB_PEER_HELLO_MAX_BYTES]);

/* Decodes a hello at the start of the bytes. Returns its length in bytes, or 0
 * if it is malformed or its role is not `role`. */
size_t EbPeerHello_Decode(const uint8_t *bytes, size_t byte_count,
                          EbPeerRole role, EbPeerHello *hello);

void EbPeerTranscript_Add(EbPeerTranscript *transcript, const uint8_t *bytes,
                          size_t byte_count);

/* Derives the proof or session key that belongs to a label from the transcript
 * and the deployment's peer key. */
void EbPeerTranscript_Derive(const EbPeerTranscript *transcript,
                             const uint8_t *key, const char *label,
                             uint8_t secret[EB_PEER_SECRET_BYTES]);

/* Computes the keyed hash of one frame. */
void EbPeerFrame_Hash(const uint8_t key[EB_PEER_SECRET_BYTES],
                      uint64_t sequence, const uint8_t *payload,
                      size_t payload_bytes, uint8_t hash[EB_PEER_HASH_BYTES]);

typedef enum {
    EB_LINK_CONNECTING,
    EB_LINK_HELLO, /* waiting for the other side's hello */
    EB_LINK_PROOF, /* acceptor: waiting for the dialler's proof */
    EB_LINK_UP,
    EB_LINK_CLOSED
} EbPeerLinkState;

typedef struct {
    EbPeerLinks *owner;
    EbPeerLinkState state;
    bool dialled;
    bool refused;         /* the connection, when it was dialled */
    char *dial_address;   /* NULL if accepted */
    char *remote_address; /* for logs */
    struct bufferevent *stream;
    struct event *handshake_timer;
    GList *handshake_node; /* in the owner's `handshakes`; NULL once up */
    EbPeerHello peer;
    EbPeerTranscript transcript;
    uint8_t send_key[EB_PEER_SECRET_BYTES];
    uint8_t receive_key[EB_PEER_SECRET_BYTES];
    uint64_t frames_sent;
    uint64_t frames_received;
    int64_t up_since_us;
} EbPeerLink;

struct EbPeerLinks {
    EbPeerLinksOptions options;
    EbEventSink events;
    char *instance;
    char *address;
    uint8_t key[EB_PEER_KEY_BYTES];
    struct evconnlistener *listener;
    struct event *accept_retry_timer;
    uint16_t port;
    GHashTable *up;    /* instance -> EbPeerLink */
    GQueue handshakes; /* of EbPeerLink, oldest first */
    GQueue closed;     /* of EbPeerLink, freed by `free_event` */
    struct event *free_event;
};

/* peer_link.c */

/* Closes a link and logs the cause. `bad_frame` also logs a peer-bad-frame
 * event. */
void EbPeerLink_Close(EbPeerLink *link, const char *cause, bool bad_frame);

/* Adds a link to the table after both sides were authenticated. Returns false
 * if the link was closed, for instance in favour of another link to the same
 * peer. */
bool EbPeerLink_Establish(EbPeerLink *link);

/* peer_stream.c */

/* Starts reading the stream of a link, of which the link takes ownership. */
void EbPeerLink_Start(EbPeerLink *link, struct bufferevent *stream);

/* Starts the handshake as the dialler. */
void EbPeerLink_SendHello(EbPeerLink *link);

/* Sends one frame. Returns false if the payload is too large or the link was
 * closed because its unsent output exceeded the limit. */
bool EbPeerLink_SendFrame(EbPeerLink *link, const uint8_t *bytes,
                          size_t byte_count);

#endif
