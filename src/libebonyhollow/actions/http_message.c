#include "ebonyhollow/http_message.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* RFC 9110, section 7.6.1. Content-Length and Expect are in the list since
 * they are generated anew for each connection. */
static const char *const hop_headers[] = {
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect",
};

#define MIN_HEADER_CAPACITY 8

#define TEXT_BLOCK_BYTES 1000

/* Holds names and values of headers: a message may have thousands of them, and
 * allocations of their own would take several times their length. */
typedef struct EbHttpTextBlock {
    struct EbHttpTextBlock *next;
    size_t used_bytes;
    size_t size_bytes;
    char bytes[];
} TextBlock;

static void
free_blocks(TextBlock *block)
{
    while (block != NULL) {
        TextBlock *next = block->next;
        g_free(block);
        block = next;
    }
}

/* Copies a string into the blocks of a message. */
static char *
add_text(EbHttpMessage *message, const char *text)
{
    size_t bytes = strlen(text) + 1;
    TextBlock *block = message->text_blocks;
    if (block == NULL || block->size_bytes - block->used_bytes < bytes) {
        size_t size = MAX(bytes, TEXT_BLOCK_BYTES);
        block = g_malloc(sizeof(*block) + size);
        block->next = message->text_blocks;
        block->used_bytes = 0;
        block->size_bytes = size;
        message->text_blocks = block;
    }
    char *copy = block->bytes + block->used_bytes;
    memcpy(copy, text, bytes);
    block->used_bytes += bytes;
    return copy;
}

bool
EbHttpMessage_IsFieldName(const char *name)
{
    static const char symbols[] = "!#$%&'*+-.^_`|~";
    if (name[0] == '\0') {
        return false;
    }
    for (; *name != '\0'; name++) {
        if (!g_ascii_isalnum(*name) && strchr(symbols, *name) == NULL) {
            return false;
        }
    }
    return true;
}

bool
EbHttpMessage_IsFieldValue(const char *value)
{
    for (; *value != '\0'; value++) {
        if (g_ascii_iscntrl(*value) && *value != '\t') {
            return false;
        }
    }
    return true;
}

static bool
is_target(const char *target)
{
    return EbHttpMessage_IsFieldValue(target) && target[0] != '\0' &&
           strpbrk(target, " \t") == NULL;
}

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
    message->invalid =
        !EbHttpMessage_IsFieldName(method) || !is_target(target);
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
    free_blocks(message->text_blocks);
    g_free(message->headers);
    g_free(message->method);
    g_free(message->target);
    g_free(message->body);
    g_free(message);
}

bool
EbHttpMessage_AddHeader(EbHttpMessage *message, const char *name,
                        const char *value)
{
    if (!EbHttpMessage_IsFieldName(name) ||
        !EbHttpMessage_IsFieldValue(value)) {
        message->invalid = true;
        return false;
    }
    if (message->header_count == message->header_capacity) {
        message->header_capacity =
            MAX(MIN_HEADER_CAPACITY, message->header_capacity / 2 * 3);
        message->headers =
            g_renew(EbHttpHeader, message->headers, message->header_capacity);
    }
    char *name_copy = add_text(message, name);
    char *value_copy = add_text(message, value);
    message->headers[message->header_count++] =
        (EbHttpHeader){name_copy, value_copy};
    return true;
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

bool
EbHttpMessage_StatusAllowsBody(uint16_t status)
{
    return status >= EB_HTTP_FIRST_FINAL_STATUS &&
           status != EB_HTTP_NO_CONTENT && status != EB_HTTP_NOT_MODIFIED;
}

/* Grows by half, so that a body that comes in many small pieces isn't copied
 * for each of them. */
static void
reserve_body(EbHttpMessage *message, size_t byte_count)
{
    if (byte_count > message->body_capacity) {
        message->body_capacity =
            MAX(byte_count, message->body_capacity / 2 * 3);
        message->body = g_realloc(message->body, message->body_capacity);
    }
}

void
EbHttpMessage_ReserveBody(EbHttpMessage *message, size_t byte_count)
{
    reserve_body(message, byte_count);
}

void
EbHttpMessage_AddBody(EbHttpMessage *message, const void *bytes,
                      size_t byte_count)
{
    if (byte_count == 0) {
        return;
    }
    reserve_body(message, message->body_bytes + byte_count);
    memcpy(message->body + message->body_bytes, bytes, byte_count);
    message->body_bytes += byte_count;
}

size_t
EbHttpMessage_HeldBytes(const EbHttpMessage *message)
{
    size_t bytes = sizeof(*message) + message->body_bytes;
    for (uint32_t i = 0; i < message->header_count; i++) {
        bytes += EB_HTTP_HEADER_COST_BYTES + strlen(message->headers[i].name) +
                 strlen(message->headers[i].value);
    }
    return bytes;
}

/* Returns whether a header of this name ends here in every message. */
static bool
is_hop_header(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_headers); i++) {
        if (g_ascii_strcasecmp(hop_headers[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the values of all Connection headers as one list; NULL: there is
 * none. */
static char *
join_connection_headers(const EbHttpMessage *message)
{
    GString *list = NULL;
    for (uint32_t i = 0; i < message->header_count; i++) {
        const EbHttpHeader *header = &message->headers[i];
        if (g_ascii_strcasecmp(header->name, "Connection") != 0) {
            continue;
        }
        if (list == NULL) {
            list = g_string_new(header->value);
            continue;
        }
        g_string_append_c(list, ',');
        g_string_append(list, header->value);
    }
    return list != NULL ? g_string_free(list, FALSE) : NULL;
}

static int
compare_names(const void *a, const void *b)
{
    return g_ascii_strcasecmp(*(const char *const *)a,
                              *(const char *const *)b);
}

void
EbHopHeaders_Init(EbHopHeaders *headers, const EbHttpMessage *message)
{
    *headers = (EbHopHeaders){.list = join_connection_headers(message)};
    if (headers->list == NULL) {
        return;
    }
    size_t capacity = strlen(headers->list) / 2 + 1;
    headers->names = g_new(const char *, capacity);
    char *next = headers->list;
    while (*next != '\0') {
        size_t length = strcspn(next, ",");
        char *name = next;
        next += length;
        if (*next == ',') {
            *next++ = '\0';
        }
        if (g_strstrip(name)[0] != '\0') {
            headers->names[headers->count++] = name;
        }
    }
    qsort(headers->names, headers->count, sizeof(*headers->names),
          compare_names);
}

bool
EbHopHeaders_Contain(const EbHopHeaders *headers, const char *name)
{
    return is_hop_header(name) ||
           (headers->count > 0 &&
            bsearch(&name, headers->names, headers->count,
                    sizeof(*headers->names), compare_names) != NULL);
}

void
EbHopHeaders_Clear(EbHopHeaders *headers)
{
    g_free(headers->list);
    g_free(headers->names);
    *headers = (EbHopHeaders){0};
}
