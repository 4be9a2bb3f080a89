#include "ebonyhollow/event.h"

const char *const EbLevel_names[EB_LEVEL_COUNT] = {
    [EB_LEVEL_ERROR] = "error",   [EB_LEVEL_WARNING] = "warning",
    [EB_LEVEL_NOTICE] = "notice", [EB_LEVEL_INFO] = "info",
    [EB_LEVEL_DEBUG] = "debug",
};

const EbEventInfo EbEvent_table[EB_EVENT_COUNT] = {
#define EB_EVENT_ROW(symbol, number, name, level, meaning, fields, action)    \
    [EB_EVENT_##symbol] = {number, name, level, meaning, fields, action},
    EB_EVENT_TABLE(EB_EVENT_ROW)
#undef EB_EVENT_ROW
};

void
EbEvent_Emit(const EbEventSink *sink, EbEventId event,
             const EbEventField *fields, size_t field_count)
{
    if (sink != NULL && sink->emit != NULL) {
        sink->emit(sink->context, event, fields, field_count);
    }
}
