#include "ebonyhollow/forward.h"

#include <assert.h>

#include <glib.h>
#include <xxhash.h>

const char *const EbWorkItemResultKind_names[EB_WORK_ITEM_RESULT_COUNT] = {
    [EB_WORK_ITEM_DONE] = "done",   [EB_WORK_ITEM_LATE] = "late",
    [EB_WORK_ITEM_GONE] = "gone",   [EB_WORK_ITEM_NO_ROOM] = "no-room",
    [EB_WORK_ITEM_ERROR] = "error",
};

EbForwardCall *
EbForwardCall_Ref(EbForwardCall *call)
{
    assert(call->references > 0);
    call->references++;
    return call;
}

void
EbForwardCall_Unref(EbForwardCall *call)
{
    if (call == NULL || --call->references > 0) {
        return;
    }
    EbHttpMessage_Unref(call->message);
    g_free(call->request_id);
    g_free(call->token);
    g_free(call->host);
    g_free(call->path);
    g_free(call->parts);
    g_free(call->item_key);
    g_free(call);
}

uint64_t
EbForwardCall_PromptKey(const EbForwardCall *call)
{
    uint32_t count =
        call->part_count > 1 ? call->part_count - 1 : call->part_count;
    uint64_t key = 0;
    for (uint32_t i = 0; i < count; i++) {
        key = XXH64(&call->parts[i].id, sizeof(call->parts[i].id), key);
    }
    return key;
}
