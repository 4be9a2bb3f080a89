#include <string.h>

#include <sodium.h>

#include "peer_link_internal.h"

#define MAGIC_BYTES 4

static const uint8_t magic[MAGIC_BYTES] = {'E', 'B', 'L', '1'};

static uint8_t *
write_name(uint8_t *bytes, const char *name)
{
    size_t length = strnlen(name, EB_MESSAGE_MAX_NAME_BYTES);
    *bytes++ = (uint8_t)length;
    memcpy(bytes, name, length);
    return bytes + length;
}

size_t
EbPeerHello_Encode(const EbPeerHello *hello,
                   uint8_t bytes[EB_PEER_HELLO_MAX_BYTES])
{
    uint8_t *next = bytes;
    memcpy(next, magic, MAGIC_BYTES);
    next += MAGIC_BYTES;
    *next++ = (uint8_t)hello->role;
    memcpy(next, hello->nonce, EB_PEER_NONCE_BYTES);
    next += EB_PEER_NONCE_BYTES;
    uint64_t incarnation = GUINT64_TO_BE(hello->incarnation);
    memcpy(next, &incarnation, sizeof(incarnation));
    next += sizeof(incarnation);
    next = write_name(next, hello->instance);
    next = write_name(next, hello->address);
    return (size_t)(next - bytes);
}

/* Reads a length-prefixed name. Returns the position after it, or NULL if it
 * is malformed or `next` is NULL. */
static const uint8_t *
read_name(const uint8_t *next, const uint8_t *end,
          char name[EB_MESSAGE_MAX_NAME_BYTES + 1])
{
    if (next == NULL || next == end) {
        return NULL;
    }
    size_t length = *next++;
    if (length == 0 || length > EB_MESSAGE_MAX_NAME_BYTES ||
        length > (size_t)(end - next) ||
        !g_utf8_validate((const char *)next, (gssize)length, NULL)) {
        return NULL;
    }
    memcpy(name, next, length);
    name[length] = '\0';
    return next + length;
}

size_t
EbPeerHello_Decode(const uint8_t *bytes, size_t byte_count, EbPeerRole role,
                   EbPeerHello *hello)
{
    uint64_t incarnation;
    size_t fixed = MAGIC_BYTES + 1 + EB_PEER_NONCE_BYTES + sizeof(incarnation);
    if (byte_count < fixed || memcmp(bytes, magic, MAGIC_BYTES) != 0 ||
        bytes[MAGIC_BYTES] != role) {
        return 0;
    }
    hello->role = role;
    const uint8_t *next = bytes + MAGIC_BYTES + 1;
    memcpy(hello->nonce, next, EB_PEER_NONCE_BYTES);
    memcpy(&incarnation, next + EB_PEER_NONCE_BYTES, sizeof(incarnation));
    hello->incarnation = GUINT64_FROM_BE(incarnation);
    next = read_name(bytes + fixed, bytes + byte_count, hello->instance);
    next = read_name(next, bytes + byte_count, hello->address);
    return next == NULL ? 0 : (size_t)(next - bytes);
}

void
EbPeerTranscript_Add(EbPeerTranscript *transcript, const uint8_t *bytes,
                     size_t byte_count)
{
    g_assert(byte_count <= sizeof(transcript->bytes) - transcript->byte_count);
    memcpy(transcript->bytes + transcript->byte_count, bytes, byte_count);
    transcript->byte_count += byte_count;
}

void
EbPeerTranscript_Derive(const EbPeerTranscript *transcript, const uint8_t *key,
                        const char *label,
                        uint8_t secret[EB_PEER_SECRET_BYTES])
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, key, EB_PEER_KEY_BYTES,
                            EB_PEER_SECRET_BYTES);
    /* The terminator is included to separate the label from the transcript. */
    crypto_generichash_update(&state, (const uint8_t *)label,
                              strlen(label) + 1);
    crypto_generichash_update(&state, transcript->bytes,
                              transcript->byte_count);
    crypto_generichash_final(&state, secret, EB_PEER_SECRET_BYTES);
    sodium_memzero(&state, sizeof(state));
}

void
EbPeerFrame_Hash(const uint8_t key[EB_PEER_SECRET_BYTES], uint64_t sequence,
                 const uint8_t *payload, size_t payload_bytes,
                 uint8_t hash[EB_PEER_HASH_BYTES])
{
    crypto_generichash_state state;
    uint64_t number = GUINT64_TO_BE(sequence);
    crypto_generichash_init(&state, key, EB_PEER_SECRET_BYTES,
                            EB_PEER_HASH_BYTES);
    crypto_generichash_update(&state, (const uint8_t *)&number,
                              sizeof(number));
    crypto_generichash_update(&state, payload, payload_bytes);
    crypto_generichash_final(&state, hash, EB_PEER_HASH_BYTES);
    sodium_memzero(&state, sizeof(state));
}
