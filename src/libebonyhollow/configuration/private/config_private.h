/* Parts of the configuration parser, one file each. */
#ifndef EB_CONFIG_PRIVATE_H
#define EB_CONFIG_PRIVATE_H

#include "ebonyhollow/config.h"
#include "ebonyhollow/schema.h"

/* Rows of EbConfig_fields that belong to the document; the others belong to
 * the merged configuration. */
#define EB_CONFIG_DOCUMENT_FIELDS 3

/* Reads the merged JSON of one site into `config` and resolves references.
 * Returns false with the reader's error set. */
bool EbConfig_ReadSite(EbConfig *config, json_t *merged,
                       EbSchemaReader *reader);

/* Checks what concerns more than one entry of a configuration that was read.
 * Returns false with the reader's error set. */
bool EbConfig_Check(const EbConfig *config, EbSchemaReader *reader);

/* Indexes by name; the entries are sorted. Returns UINT32_MAX when absent. */
uint32_t EbConfig_PoolIndex(const EbConfig *config, const char *name);
uint32_t EbConfig_PipelineIndex(const EbConfig *config, const char *name);
uint32_t EbConfig_CustomerIndex(const EbConfig *config, const char *id);

#endif
