/* The protocol of these tests: a single header with the request id. */
#include <glib.h>

#include "forward_net.h"

static EbForwardCall *
read_call(EbHttpMessage *message, EbError *error)
{
    const char *id = EbHttpMessage_FindHeader(message, ID);
    if (id == NULL) {
        EbError_Set(error, EB_ERROR_MISSING_FIELD, "no " ID);
        return NULL;
    }
    EbForwardCall *call = g_new0(EbForwardCall, 1);
    call->references = 1;
    call->message = EbHttpMessage_Ref(message);
    call->request_id = g_strdup(id);
    return call;
}

static void
read_reply(const EbHttpMessage *head, EbForwardReply *reply)
{
    *reply =
        (EbForwardReply){.request_id = EbHttpMessage_FindHeader(head, ID)};
}

const EbForwardProtocol test_protocol = {
    .request_id_header = ID,
    .read_call = read_call,
    .read_reply = read_reply,
};
