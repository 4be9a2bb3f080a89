#include "ebonyhollow/settings.h"

#include <inttypes.h>
#include <string.h>

#include <glib.h>
#include <sodium.h>

#include "ebonyhollow/file.h"

#define SECRET_FILE_MAX_BYTES 4096

void
EbSettings_Free(EbSettings *settings)
{
    if (settings == NULL) {
        return;
    }
    if (settings->platform_token != NULL) {
        sodium_memzero(settings->platform_token,
                       strlen(settings->platform_token));
    }
    sodium_memzero(settings->peer_key, sizeof(settings->peer_key));
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        g_free(settings->seeds[i].host);
    }
    g_free(settings->seeds);
    g_free(settings->instance);
    g_free(settings->site);
    g_free(settings->failure_domain);
    g_free(settings->region);
    g_free(settings->caller.host);
    g_free(settings->admin.host);
    g_free(settings->peer.host);
    g_free(settings->platform.host);
    g_free(settings->platform_token);
    g_free(settings->policy);
    g_free(settings);
}

/* Returns the content of a secret's file, without white space at its ends. */
static char *
read_secret_file(const char *path, EbSchemaReader *reader)
{
    char *directory = g_path_get_dirname(reader->file ? reader->file : ".");
    char *full = g_path_is_absolute(path)
                     ? g_strdup(path)
                     : g_build_filename(directory, path, NULL);
    size_t bytes;
    EbError error;
    char *content = EbFile_Read(full, SECRET_FILE_MAX_BYTES, &bytes, &error);
    if (content == NULL) {
        EbSchema_Fail(reader, error.code, "%s: %s", full, error.message);
    }
    else if (strlen(content) != bytes) {
        sodium_memzero(content, bytes);
        g_free(content);
        content = NULL;
        EbSchema_Fail(reader, EB_ERROR_RANGE, "%s has a NUL byte", full);
    }
    g_free(full);
    g_free(directory);
    return content != NULL ? g_strstrip(content) : NULL;
}

/* Reads a string or {"file": PATH}. Returns NULL with the error set. */
static char *
read_secret(json_t *value, EbSchemaReader *reader)
{
    if (json_is_string(value)) {
        return g_strdup(json_string_value(value));
    }
    json_t *path = json_object_get(value, "file");
    if (json_object_size(value) != 1 || !json_is_string(path)) {
        EbSchema_Fail(reader, EB_ERROR_TYPE,
                      "expected a string or {\"file\": PATH}");
        return NULL;
    }
    return read_secret_file(json_string_value(path), reader);
}

static void
free_secret(char *secret)
{
    if (secret != NULL) {
        sodium_memzero(secret, strlen(secret));
        g_free(secret);
    }
}

static bool
read_peer_key(EbSettings *settings, json_t *object, EbSchemaReader *reader)
{
    EbSchema_PushKey(reader, "peer_key");
    char *secret = read_secret(json_object_get(object, "peer_key"), reader);
    bool read = secret != NULL;
    size_t bytes = 0;
    if (read && (strlen(secret) != 2 * sizeof(settings->peer_key) ||
                 sodium_hex2bin(settings->peer_key, EB_PEER_KEY_BYTES, secret,
                                strlen(secret), NULL, &bytes, NULL) != 0 ||
                 bytes != EB_PEER_KEY_BYTES)) {
        read = EbSchema_Fail(reader, EB_ERROR_RANGE, "expected %d hex digits",
                             2 * EB_PEER_KEY_BYTES);
    }
    else if (read && sodium_is_zero(settings->peer_key, EB_PEER_KEY_BYTES)) {
        read = EbSchema_Fail(reader, EB_ERROR_RANGE,
                             "the key must not be all zero");
    }
    free_secret(secret);
    EbSchema_Pop(reader);
    return read;
}

/* The token goes into a header, so that only visible ASCII is allowed. */
static bool
is_token(const char *text)
{
    size_t length = strlen(text);
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_isgraph(text[i])) {
            return false;
        }
    }
    return length >= 1 && length <= EB_PLATFORM_TOKEN_MAX_BYTES;
}

static bool
read_platform_token(EbSettings *settings, json_t *object,
                    EbSchemaReader *reader)
{
    json_t *value = json_object_get(object, "platform_token");
    if (value == NULL) {
        return true;
    }
    EbSchema_PushKey(reader, "platform_token");
    settings->platform_token = read_secret(value, reader);
    bool read = settings->platform_token != NULL;
    if (read && !is_token(settings->platform_token)) {
        read = EbSchema_Fail(reader, EB_ERROR_RANGE,
                             "expected 1 to %d visible ASCII characters",
                             EB_PLATFORM_TOKEN_MAX_BYTES);
    }
    EbSchema_Pop(reader);
    return read;
}

static bool
read_seeds(EbSettings *settings, json_t *object, EbSchemaReader *reader)
{
    json_t *seeds = json_object_get(object, "seeds");
    size_t count = json_array_size(seeds);
    EbSchema_PushKey(reader, "seeds");
    if (count > EB_SETTINGS_MAX_SEEDS) {
        return EbSchema_Fail(reader, EB_ERROR_LIMIT,
                             "%zu seeds are more than the limit of %d", count,
                             EB_SETTINGS_MAX_SEEDS);
    }
    settings->seeds = g_new0(EbAddress, count);
    for (size_t i = 0; i < count; i++) {
        EbSchema_PushIndex(reader, i);
        settings->seed_count++;
        if (!EbSchema_Read(reader, json_array_get(seeds, i), "seeds[]",
                           &settings->seeds[i])) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    EbSchema_Pop(reader);
    return true;
}

static bool
read_addresses(EbSettings *settings, json_t *object, EbSchemaReader *reader)
{
    static const char *const names[] = {"caller", "admin", "peer", "platform"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        EbSchema_PushKey(reader, names[i]);
        if (!EbSchema_Read(reader, json_object_get(object, names[i]), names[i],
                           settings)) {
            return false;
        }
        EbSchema_Pop(reader);
    }
    return true;
}

static bool
same_address(const EbAddress *left, const EbAddress *right)
{
    return left->port != 0 && left->port == right->port &&
           strcmp(left->host, right->host) == 0;
}

static bool
check_settings(const EbSettings *settings, EbSchemaReader *reader)
{
    if (same_address(&settings->caller, &settings->admin) ||
        same_address(&settings->admin, &settings->peer)) {
        return EbSchema_FailField(reader, "admin", EB_ERROR_DUPLICATE,
                                  "another listener has the same address");
    }
    if (same_address(&settings->caller, &settings->peer)) {
        return EbSchema_FailField(reader, "peer", EB_ERROR_DUPLICATE,
                                  "\"caller\" has the same address");
    }
    int64_t held =
        (int64_t)settings->max_requests * settings->max_body_bytes +
        (int64_t)settings->max_connections * settings->max_buffer_bytes;
    if (held > EB_SETTINGS_MAX_BUFFERED_BYTES) {
        return EbSchema_FailField(
            reader, "max_requests", EB_ERROR_RANGE,
            "max_requests x max_body_bytes + max_connections x "
            "max_buffer_bytes is %" PRId64 " bytes, more than %" PRId64,
            held, EB_SETTINGS_MAX_BUFFERED_BYTES);
    }
    return true;
}

EbSettings *
EbSettings_Parse(const char *text, size_t text_bytes, const char *file,
                 EbError *error)
{
    json_t *object =
        EbSchema_Load(text, text_bytes, EB_SETTINGS_MAX_BYTES, file, error);
    if (object == NULL) {
        return NULL;
    }
    EbSchemaReader reader = {.fields = EbSettings_fields,
                             .field_count = EbSettings_field_count,
                             .text = text,
                             .text_bytes = text_bytes,
                             .file = file,
                             .root_count = 1,
                             .error = error};
    EbSettings *settings = g_new0(EbSettings, 1);
    if (!EbSchema_Read(&reader, object, "", settings) ||
        !read_addresses(settings, object, &reader) ||
        !read_seeds(settings, object, &reader) ||
        !read_peer_key(settings, object, &reader) ||
        !read_platform_token(settings, object, &reader) ||
        !check_settings(settings, &reader)) {
        EbSettings_Free(settings);
        settings = NULL;
    }
    json_decref(object);
    return settings;
}

EbSettings *
EbSettings_Load(const char *file, EbError *error)
{
    size_t bytes;
    char *text = EbFile_Read(file, EB_SETTINGS_MAX_BYTES, &bytes, error);
    if (text == NULL) {
        return NULL;
    }
    EbSettings *settings = EbSettings_Parse(text, bytes, file, error);
    sodium_memzero(text, bytes);
    g_free(text);
    return settings;
}
