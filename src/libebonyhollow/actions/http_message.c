#include "ebonyhollow/http_message.h"

#include <assert.h>
#include <string.h>

#include <glib.h>

/* RFC 9110, section 7.6.1; Content-Length and Expect are set anew for each
 * connection. */
static const char *const connection_headers[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect",
};

static EbHttpMessage *
new_message(void)
{
    EbHttpMessage *message = g_new0(EbHttpMessage, 1);
    message->references = 1;
    return message;
}

EbHttpMessage *
EbHttpMessage_NewRequest(const char *method, const char *target)
{
    EbHttpMessage *message = new_message();
    message->method = g_strdup(method);
    message->target = g_strdup(target);
    return message;
}

EbHttpMessage *
EbHttpMessage_NewResponse(uint16_t status)
{
    EbHttpMessage *message = new_message();
    message->status = status;
    return message;
}

EbHttpMessage *
EbHttpMessage_Ref(EbHttpMessage *message)
{
    assert(message->references > 0);
    message->references++;
    return message;
}

void
EbHttpMessage_Unref(EbHttpMessage *message)
{
    if (message == NULL || --message->references > 0) {
        return;
    }
    for (uint32_t i = 0; i < message->header_count; i++) {
        g_free(message->headers[i].name);
        g_free(message->headers[i].value);
    }
    g_free(message->headers);
    g_free(message->method);
    g_free(message->target);
    g_free(message->body);
    g_free(message);
}

void
EbHttpMessage_AddHeader(EbHttpMessage *message, const char *name,
                        const char *value)
{
    message->headers = g_renew(EbHttpHeader, message->headers,
                               (size_t)message->header_count + 1);
    message->headers[message->header_count++] =
        (EbHttpHeader){g_strdup(name), g_strdup(value)};
}

const char *
EbHttpMessage_FindHeader(const EbHttpMessage *message, const char *name)
{
    for (uint32_t i = 0; i < message->header_count; i++) {
        if (g_ascii_strcasecmp(message->headers[i].name, name) == 0) {
            return message->headers[i].value;
        }
    }
    return NULL;
}

void
EbHttpMessage_AddBody(EbHttpMessage *message, const void *bytes,
                      size_t byte_count)
{
    if (byte_count == 0) {
        return;
    }
    message->body = g_realloc(message->body, message->body_bytes + byte_count);
    memcpy(message->body + message->body_bytes, bytes, byte_count);
    message->body_bytes += byte_count;
}

static bool
is_listed(const char *list, const char *name)
{
    char **names = g_strsplit(list, ",", -1);
    bool found = false;
    for (size_t i = 0; names[i] != NULL && !found; i++) {
        found = g_ascii_strcasecmp(g_strstrip(names[i]), name) == 0;
    }
    g_strfreev(names);
    return found;
}

bool
EbHttpMessage_IsConnectionHeader(const EbHttpMessage *message,
                                 const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(connection_headers); i++) {
        if (g_ascii_strcasecmp(connection_headers[i], name) == 0) {
            return true;
        }
    }
    const char *connection = EbHttpMessage_FindHeader(message, "Connection");
    return connection != NULL && is_listed(connection, name);
}
