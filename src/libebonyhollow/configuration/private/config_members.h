/* Structs that the rows of the configuration's field table refer to. They add
 * to the public structs the names that are resolved to indexes after reading.
 */
#ifndef EB_CONFIG_MEMBERS_H
#define EB_CONFIG_MEMBERS_H

#include "config_private.h"

typedef struct {
    uint64_t generation;
} DocumentMembers;

typedef struct {
    EbConfigBackendServer server;
    char *pool;
} ServerMembers;

typedef struct {
    EbConfigStage stage;
    char *pool;
} StageMembers;

typedef struct {
    EbConfigOperator operator;
    EbSchemaNames pipelines;
    EbSchemaNames customers;
} OperatorMembers;

#endif
