/* Functions shared by the files of the configuration parser. */
#ifndef EB_CONFIG_PRIVATE_H
#define EB_CONFIG_PRIVATE_H

#include "ebonyhollow/config.h"
#include "ebonyhollow/schema.h"

/* Number of rows at the start of EbConfig_fields that describe the document;
 * the others describe the merged configuration. */
#define EB_CONFIG_DOCUMENT_FIELDS 3

/* Reads the merged JSON of one site into `config` and resolves references to
 * other entries. Returns false with the reader's error set. */
bool EbConfig_ReadSite(EbConfig *config, json_t *merged,
                       EbSchemaReader *reader);

/* Checks the rules that involve several entries or fields of a configuration
 * that has been read. Returns false with the reader's error set. */
bool EbConfig_Check(const EbConfig *config, EbSchemaReader *reader);

EbConfigNames *EbConfigNames_New(void);
void EbConfigNames_Free(EbConfigNames *names);

/* Return the index of the first entry with this name, or UINT32_MAX if there
 * is none or `name` is NULL. The entries may be in any order, and more may be
 * appended between two calls. */
uint32_t EbConfig_PoolIndex(const EbConfig *config, const char *name);
uint32_t EbConfig_ServerIndex(const EbConfig *config, const char *id);
uint32_t EbConfig_PipelineIndex(const EbConfig *config, const char *name);
uint32_t EbConfig_CustomerIndex(const EbConfig *config, const char *id);

#endif
