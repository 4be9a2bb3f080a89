#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "command.h"
#include "ebonyhollow/config.h"
#include "ebonyhollow/file.h"
#include "output.h"

/* A token is sent in a header, so only visible ASCII is allowed. */
static bool
is_token(const char *token)
{
    for (const char *c = token; *c != '\0'; c++) {
        if (!g_ascii_isgraph(*c)) {
            return false;
        }
    }
    return token[0] != '\0';
}

bool
EbCommand_ReadToken(EbInvocation *invocation)
{
    if (invocation->token != NULL) {
        return true;
    }
    EbError error = {0};
    size_t bytes = 0;
    const char *environment = getenv("EBONYHOLLOW_TOKEN");
    if (invocation->token_file != NULL) {
        invocation->token =
            EbFile_Read(invocation->token_file, EB_COMMAND_TOKEN_MAX_BYTES,
                        &bytes, &error);
        if (invocation->token == NULL) {
            EbOutput_Error(invocation, EB_EXIT_USAGE, &error,
                           "specify a readable file with --token-file");
            return false;
        }
        g_strstrip(invocation->token);
    }
    else if (environment != NULL) {
        invocation->token = g_strdup(environment);
    }
    if (invocation->token == NULL || !is_token(invocation->token)) {
        EbOutput_Fail(invocation, EB_EXIT_USAGE, EB_ERROR_USAGE,
                      "specify a file with --token-file or set "
                      "EBONYHOLLOW_TOKEN",
                      invocation->token == NULL
                          ? "no token was given"
                          : "the token must be visible ASCII without spaces");
        return false;
    }
    return true;
}

EbExit
EbCommand_Digest(EbInvocation *invocation)
{
    char token[EB_COMMAND_TOKEN_MAX_BYTES + 2];
    size_t length = fread(token, 1, sizeof(token) - 1, invocation->in);
    token[length] = '\0';
    bool complete = length <= EB_COMMAND_TOKEN_MAX_BYTES &&
                    strlen(token) == length && !ferror(invocation->in);
    g_strstrip(token);
    if (!complete || !is_token(token)) {
        sodium_memzero(token, sizeof(token));
        return EbOutput_Fail(
            invocation, EB_EXIT_USAGE, EB_ERROR_USAGE,
            "pass the token on standard input",
            "the token must be 1 to %d characters of visible ASCII "
            "without spaces",
            EB_COMMAND_TOKEN_MAX_BYTES);
    }
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    EbConfig_DigestToken(token, digest);
    sodium_memzero(token, sizeof(token));
    char hex[2 * EB_TOKEN_DIGEST_BYTES + 1];
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    if (invocation->json) {
        json_t *document = json_pack("{s:s}", "token_digest", hex);
        EbOutput_Json(invocation->out, document, 0);
        json_decref(document);
    }
    else {
        fprintf(invocation->out, "%s\n", hex);
    }
    return EB_EXIT_DONE;
}
