#include "forward_response.h"

#include <inttypes.h>
#include <string.h>

#include <event2/buffer.h>
#include <glib.h>

static const char *
reason_phrase(uint16_t status)
{
    static const struct {
        uint16_t status;
        const char *phrase;
    } phrases[] = {
        {200, "OK"},
        {204, "No Content"},
        {304, "Not Modified"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {404, "Not Found"},
        {408, "Request Timeout"},
        {413, "Content Too Large"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(phrases); i++) {
        if (phrases[i].status == status) {
            return phrases[i].phrase;
        }
    }
    return "Status";
}

static void
write_head(struct evbuffer *output, const EbHttpMessage *response, bool close,
           const char *framing)
{
    evbuffer_add_printf(output, "HTTP/1.1 %u %s\r\n",
                        (unsigned)response->status,
                        reason_phrase(response->status));
    EbHopHeaders hop;
    EbHopHeaders_Init(&hop, response);
    for (uint32_t i = 0; i < response->header_count; i++) {
        const EbHttpHeader *header = &response->headers[i];
        if (!EbHopHeaders_Contain(&hop, header->name)) {
            evbuffer_add_printf(output, "%s: %s\r\n", header->name,
                                header->value);
        }
    }
    EbHopHeaders_Clear(&hop);
    if (close) {
        evbuffer_add_printf(output, "Connection: close\r\n");
    }
    evbuffer_add_printf(output, "%s\r\n", framing);
}

static void
release_message(const void *bytes, size_t byte_count, void *message)
{
    (void)bytes;
    (void)byte_count;
    EbHttpMessage_Unref(message);
}

/* Writes the header that states the length of a response without a body: that
 * of the response to GET, if the server has named it. */
static void
write_absent_length(char *framing, size_t framing_bytes,
                    const EbHttpMessage *response)
{
    const char *length = EbHttpMessage_FindHeader(response, "Content-Length");
    uint64_t bytes = response->body_bytes;
    bool known =
        bytes > 0 ||
        (length != NULL &&
         g_ascii_string_to_unsigned(length, 10, 0, UINT64_MAX, &bytes, NULL));
    framing[0] = '\0';
    if (known && response->status != EB_HTTP_NO_CONTENT) {
        g_snprintf(framing, framing_bytes, "Content-Length: %" PRIu64 "\r\n",
                   bytes);
    }
}

void
EbForwardResponse_Write(struct evbuffer *output, const EbHttpMessage *response,
                        bool head_request, bool close)
{
    char framing[64];
    bool has_body =
        !head_request && EbHttpMessage_StatusAllowsBody(response->status);
    if (has_body) {
        g_snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
                   response->body_bytes);
    }
    else {
        write_absent_length(framing, sizeof(framing), response);
    }
    write_head(output, response, close, framing);
    if (has_body && response->body_bytes > 0) {
        EbHttpMessage *reference =
            EbHttpMessage_Ref((EbHttpMessage *)response);
        evbuffer_add_reference(output, response->body, response->body_bytes,
                               release_message, reference);
    }
}

void
EbForwardResponse_WriteStreamHead(struct evbuffer *output,
                                  const EbHttpMessage *head, bool close)
{
    write_head(output, head, close, "Transfer-Encoding: chunked\r\n");
}

void
EbForwardResponse_WriteChunk(struct evbuffer *output, const uint8_t *bytes,
                             size_t byte_count)
{
    evbuffer_add_printf(output, "%zx\r\n", byte_count);
    evbuffer_add(output, bytes, byte_count);
    evbuffer_add(output, "\r\n", 2);
}

EbHttpMessage *
EbForwardResponse_New(const EbForwardProtocol *protocol,
                      const char *request_id, const EbAnswer *answer)
{
    const EbReasonInfo *info = &EbReason_table[answer->reason];
    uint16_t status = info->http_status;
    bool may_have_run = answer->outcome != EB_OUTCOME_NOT_RUN;
    /* Status 429 and 503 guarantee that the request has not run. */
    if (may_have_run && (status == 429 || status == 503)) {
        status = 502;
    }
    else if (!may_have_run && status >= 500) {
        status = 503;
    }
    EbHttpMessage *message = EbHttpMessage_NewResponse(status);
    EbHttpMessage_AddHeader(message, protocol->request_id_header, request_id);
    if (answer->retry_after_us > 0 && !may_have_run) {
        char seconds[32];
        g_snprintf(seconds, sizeof(seconds), "%" PRId64 ".%03" PRId64,
                   answer->retry_after_us / 1000000,
                   answer->retry_after_us / 1000 % 1000);
        EbHttpMessage_AddHeader(message, "Retry-After", seconds);
    }
    EbHttpMessage_AddHeader(message, "Content-Type", "text/plain");
    EbHttpMessage_AddBody(message, info->title, strlen(info->title));
    return message;
}
