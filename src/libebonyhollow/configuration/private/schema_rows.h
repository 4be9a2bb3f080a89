/* Macros for the rows of the field tables of configuration and settings. */
#ifndef EB_SCHEMA_ROWS_H
#define EB_SCHEMA_ROWS_H

#include <stddef.h>

#include "ebonyhollow/schema.h"

/* A field that EbSchema_Read stores in `member` of `struct_type`. */
#define ROW(path, type, unit, min, max, default_value, struct_type, member,   \
            meaning)                                                          \
    {                                                                         \
        path, EB_SCHEMA_##type, unit, min, max, NULL, 0, false,               \
            default_value, offsetof(struct_type, member), meaning             \
    }

/* A field of which EbSchema_Read checks only the type; its value is read
 * separately. */
#define CUSTOM_ROW(path, type, default_value, max, meaning)                   \
    {                                                                         \
        path, EB_SCHEMA_##type, "", 0, max, NULL, 0, false, default_value, 0, \
            meaning                                                           \
    }

#endif
