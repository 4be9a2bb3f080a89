#include <string.h>

#include <glib.h>

#include "ebonyhollow/settings.h"

/* Settings that a running process takes over; all of a fixed size. */
static const char *const changeable[] = {"log_level", "balancer_delay_ms",
                                         "drain_limit_ms"};

static size_t
member_bytes(EbSchemaType type)
{
    switch (type) {
    case EB_SCHEMA_BOOLEAN:
        return sizeof(bool);
    case EB_SCHEMA_UINT16:
        return sizeof(uint16_t);
    case EB_SCHEMA_CHOICE:
        return sizeof(EbLevel);
    case EB_SCHEMA_UINT32:
        return sizeof(uint32_t);
    case EB_SCHEMA_UINT64:
    case EB_SCHEMA_MILLISECONDS:
        return sizeof(uint64_t);
    case EB_SCHEMA_DIGEST:
        return EB_SETTINGS_DIGEST_BYTES;
    default:
        return 0;
    }
}

static bool
are_seeds_equal(const EbSettings *a, const EbSettings *b)
{
    bool equal = a->seed_count == b->seed_count;
    for (uint32_t i = 0; equal && i < a->seed_count; i++) {
        equal = a->seeds[i].port == b->seeds[i].port &&
                strcmp(a->seeds[i].host, b->seeds[i].host) == 0;
    }
    return equal;
}

/* Compares a setting that EbSchema_Read doesn't store. The members of an
 * address have rows of their own. */
static bool
is_custom_equal(const char *path, const EbSettings *a, const EbSettings *b)
{
    if (strcmp(path, "seeds") == 0) {
        return are_seeds_equal(a, b);
    }
    if (strcmp(path, "peer_key") == 0) {
        return memcmp(a->peer_key, b->peer_key, sizeof(a->peer_key)) == 0;
    }
    if (strcmp(path, "platform_token") == 0) {
        return g_strcmp0(a->platform_token, b->platform_token) == 0;
    }
    return true;
}

static bool
is_equal(const EbSchemaField *field, const EbSettings *a, const EbSettings *b)
{
    const uint8_t *at_a = (const uint8_t *)a + field->offset;
    const uint8_t *at_b = (const uint8_t *)b + field->offset;
    if (strstr(field->path, "[]") != NULL) {
        return true;
    }
    switch (field->type) {
    case EB_SCHEMA_OBJECT:
    case EB_SCHEMA_ARRAY:
    case EB_SCHEMA_SECRET:
        return is_custom_equal(field->path, a, b);
    default:
        break;
    }
    size_t bytes = field->choice_as_text ? 0 : member_bytes(field->type);
    return bytes > 0
               ? memcmp(at_a, at_b, bytes) == 0
               : g_strcmp0(*(char *const *)at_a, *(char *const *)at_b) == 0;
}

static bool
is_changeable(const char *path)
{
    for (size_t i = 0; i < G_N_ELEMENTS(changeable); i++) {
        if (strcmp(path, changeable[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
append_name(GString *names, const char *name)
{
    g_string_append_printf(names, "%s%s", names->len > 0 ? " " : "", name);
}

void
EbSettings_TakeOver(EbSettings *settings, const EbSettings *newer,
                    EbSettingsChange *change)
{
    GString *applied = g_string_new(NULL);
    GString *restart = g_string_new(NULL);
    for (size_t i = 0; i < EbSettings_field_count; i++) {
        const EbSchemaField *field = &EbSettings_fields[i];
        if (is_equal(field, settings, newer)) {
            continue;
        }
        bool taken = is_changeable(field->path);
        append_name(taken ? applied : restart, field->path);
        if (taken) {
            memcpy((uint8_t *)settings + field->offset,
                   (const uint8_t *)newer + field->offset,
                   member_bytes(field->type));
        }
    }
    change->applied = g_string_free(applied, FALSE);
    change->restart = g_string_free(restart, FALSE);
}

void
EbSettingsChange_Clear(EbSettingsChange *change)
{
    g_free(change->applied);
    g_free(change->restart);
    *change = (EbSettingsChange){0};
}
