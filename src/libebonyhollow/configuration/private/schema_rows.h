/* Rows of the field tables of configuration and settings. */
#ifndef EB_SCHEMA_ROWS_H
#define EB_SCHEMA_ROWS_H

#include <stddef.h>

#include "ebonyhollow/schema.h"

/* A field that is read into `member` of the struct `holder`. */
#define ROW(path, type, unit, min, max, initial, holder, member, meaning)     \
    {                                                                         \
        path, EB_SCHEMA_##type, unit, min, max, NULL, 0, false, initial,      \
            offsetof(holder, member), meaning                                 \
    }

/* A field whose value is read by code of its own. */
#define PART_ROW(path, type, initial, max, meaning)                           \
    {                                                                         \
        path, EB_SCHEMA_##type, "", 0, max, NULL, 0, false, initial, 0,       \
            meaning                                                           \
    }

#endif
