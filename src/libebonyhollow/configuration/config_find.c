#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "config_private.h"

const EbConfigPipeline *
EbConfig_FindPipeline(const EbConfig *config, const char *name)
{
    uint32_t index = EbConfig_PipelineIndex(config, name);
    return index == UINT32_MAX ? NULL : &config->pipelines[index];
}

const EbConfigCustomer *
EbConfig_FindCustomer(const EbConfig *config, const char *id)
{
    uint32_t index = EbConfig_CustomerIndex(config, id);
    return index == UINT32_MAX ? NULL : &config->customers[index];
}

const EbConfigCustomer *
EbConfig_AnonymousCustomer(const EbConfig *config)
{
    for (uint32_t i = 0; i < config->customer_count; i++) {
        if (config->customers[i].anonymous) {
            return &config->customers[i];
        }
    }
    return NULL;
}

const EbConfigPool *
EbConfig_FindPool(const EbConfig *config, const char *name)
{
    uint32_t index = EbConfig_PoolIndex(config, name);
    return index == UINT32_MAX ? NULL : &config->pools[index];
}

const EbConfigBackendServer *
EbConfig_FindServer(const EbConfig *config, const char *id)
{
    uint32_t index = EbConfig_ServerIndex(config, id);
    return index == UINT32_MAX ? NULL : &config->servers[index];
}

const EbConfigBackendServer *
EbConfig_FindServerByAddress(const EbConfig *config, const char *host,
                             uint16_t port)
{
    for (uint32_t i = 0; i < config->server_count; i++) {
        const EbConfigBackendServer *server = &config->servers[i];
        if (server->port == port && strcmp(server->host, host) == 0) {
            return server;
        }
    }
    return NULL;
}

void
EbConfig_DigestToken(const char *token, uint8_t digest[EB_TOKEN_DIGEST_BYTES])
{
    if (sodium_init() < 0) {
        abort();
    }
    crypto_generichash(digest, EB_TOKEN_DIGEST_BYTES,
                       (const unsigned char *)token, strlen(token), NULL, 0);
}

/* Compares the token's digest with every entry and without a branch on the
 * result, so that the time taken reveals nothing about the match. */
static uint32_t
find_digest(const uint8_t *first, size_t entry_bytes, uint32_t count,
            const char *token)
{
    if (token == NULL || token[0] == '\0') {
        return UINT32_MAX;
    }
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    EbConfig_DigestToken(token, digest);
    uint32_t found = UINT32_MAX;
    for (uint32_t i = 0; i < count; i++) {
        int differs = sodium_memcmp(first + i * entry_bytes, digest,
                                    EB_TOKEN_DIGEST_BYTES);
        uint32_t mask = (uint32_t)differs; /* all ones or 0 */
        found = (found & mask) | (i & ~mask);
    }
    sodium_memzero(digest, sizeof(digest));
    return found;
}

const EbConfigCustomer *
EbConfig_FindCustomerByToken(const EbConfig *config, const char *token)
{
    if (config->customer_count == 0) {
        return NULL;
    }
    uint32_t index = find_digest(config->customers[0].token_digest,
                                 sizeof(config->customers[0]),
                                 config->customer_count, token);
    for (uint32_t i = 0; i < config->customer_count; i++) {
        const EbConfigCustomer *customer = &config->customers[i];
        if (customer->more_digest_count > 0 &&
            find_digest(customer->more_digests[0], EB_TOKEN_DIGEST_BYTES,
                        customer->more_digest_count, token) != UINT32_MAX) {
            index = i;
        }
    }
    return index == UINT32_MAX ? NULL : &config->customers[index];
}

const EbConfigOperator *
EbConfig_FindOperatorByToken(const EbConfig *config, const char *token)
{
    if (config->operator_count == 0) {
        return NULL;
    }
    uint32_t index = find_digest(config->operators[0].token_digest,
                                 sizeof(config->operators[0]),
                                 config->operator_count, token);
    return index == UINT32_MAX ? NULL : &config->operators[index];
}

bool
EbConfig_Allows(const EbConfig *config, const EbConfigCustomer *customer,
                const EbConfigPipeline *pipeline)
{
    uint32_t customer_index = (uint32_t)(customer - config->customers);
    uint32_t pipeline_index = (uint32_t)(pipeline - config->pipelines);
    for (uint32_t i = 0; i < config->route_count; i++) {
        const EbConfigRoute *route = &config->routes[i];
        if (route->pipeline_index == pipeline_index &&
            (route->customer_index == EB_ROUTE_ANY ||
             route->customer_index == customer_index)) {
            return true;
        }
    }
    return false;
}
