/* EbEvent: the numbered events of the system and the sink they go to.
 *
 * The modules of libebonyhollow emit events through an EbEventSink and never
 * write to a log themselves. docs/events.md is generated from the table in
 * event_table.h. */
#ifndef EBONYHOLLOW_EVENT_H
#define EBONYHOLLOW_EVENT_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
    EB_LEVEL_ERROR,
    EB_LEVEL_WARNING,
    EB_LEVEL_NOTICE,
    EB_LEVEL_INFO,
    EB_LEVEL_DEBUG,
    EB_LEVEL_COUNT
} EbLevel;

extern const char *const EbLevel_names[EB_LEVEL_COUNT];

/* X(symbol, number, name, level, meaning, fields, operator action) */
#include "ebonyhollow/event_table.h"

typedef enum {
#define EB_EVENT_ENUM(symbol, number, name, level, meaning, fields, action)   \
    EB_EVENT_##symbol,
    EB_EVENT_TABLE(EB_EVENT_ENUM)
#undef EB_EVENT_ENUM
        EB_EVENT_COUNT
} EbEventId;

typedef struct {
    uint16_t number; /* never reused */
    const char *name;
    EbLevel level;
    const char *meaning;
    const char *fields; /* comma-separated field names */
    const char *action; /* what an operator should do */
} EbEventInfo;

/* Table parallel to EbEventId. */
extern const EbEventInfo EbEvent_table[EB_EVENT_COUNT];

typedef enum { EB_FIELD_STRING, EB_FIELD_INTEGER } EbFieldType;

/* One field of an event. The strings are borrowed for the duration of the call
 * that emits it. */
typedef struct {
    const char *name;
    EbFieldType type;
    const char *string; /* NULL is written as an empty string */
    int64_t integer;
} EbEventField;

#define EB_STRING_FIELD(name, value)                                          \
    ((EbEventField){(name), EB_FIELD_STRING, (value), 0})
#define EB_INTEGER_FIELD(name, value)                                         \
    ((EbEventField){(name), EB_FIELD_INTEGER, NULL, (int64_t)(value)})

/* Receiver of events. A zero-initialized sink discards them. `emit` must not
 * block. */
typedef struct {
    void (*emit)(void *context, EbEventId event, const EbEventField *fields,
                 size_t field_count);
    void *context;
} EbEventSink;

/* Sends an event to a sink. Does nothing when `sink` is NULL or has no `emit`.
 */
void EbEvent_Emit(const EbEventSink *sink, EbEventId event,
                  const EbEventField *fields, size_t field_count);

/* Emits an event with the given EbEventField values. */
#define EB_EMIT(sink, event, ...)                                             \
    EbEvent_Emit((sink), (event), (const EbEventField[]){__VA_ARGS__},        \
                 sizeof((const EbEventField[]){__VA_ARGS__}) /                \
                     sizeof(EbEventField))

#endif
