#include "ebonyhollow/preparation_table.h"

#include <string.h>

struct EbPreparationTable {
    GHashTable *jobs; /* number to EbPlacedPreparation */
};

static void
free_job(gpointer pointer)
{
    EbPlacedPreparation *job = pointer;
    EbPreparationJob_Clear(&job->prepare);
    g_free(job->home);
    if (job->handles != NULL) {
        g_ptr_array_unref(job->handles);
    }
    g_free(job);
}

EbPreparationTable *
EbPreparationTable_New(void)
{
    EbPreparationTable *preparations = g_new0(EbPreparationTable, 1);
    preparations->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
    return preparations;
}

void
EbPreparationTable_Free(EbPreparationTable *preparations)
{
    if (preparations != NULL) {
        g_hash_table_destroy(preparations->jobs);
        g_free(preparations);
    }
}

EbPlacedPreparation *
EbPreparationTable_Add(EbPreparationTable *preparations,
                       const EbPreparationJob *prepare)
{
    EbPlacedPreparation *job = g_new0(EbPlacedPreparation, 1);
    job->prepare = EbPreparationJob_Copy(prepare);
    g_hash_table_insert(preparations->jobs, &job->prepare.job, job);
    return job;
}

EbPlacedPreparation *
EbPreparationTable_Find(const EbPreparationTable *preparations,
                        uint64_t number)
{
    return g_hash_table_lookup(preparations->jobs, &number);
}

void
EbPreparationTable_Remove(EbPreparationTable *preparations, uint64_t number)
{
    g_hash_table_remove(preparations->jobs, &number);
}

void
EbPlacedPreparation_SetHome(EbPlacedPreparation *job, const char *home,
                            int64_t now_us)
{
    char *copy = g_strdup(home);
    g_free(job->home);
    job->home = copy;
    job->placed_us = now_us;
}

bool
EbPreparationTable_RecordResult(EbPreparationTable *preparations,
                                const char *instance, uint64_t number,
                                EbPreparedStatus status, char *const *handles,
                                uint32_t handle_count)
{
    EbPlacedPreparation *job = EbPreparationTable_Find(preparations, number);
    if (job == NULL || strcmp(job->home, instance) != 0) {
        return false;
    }
    if (status == EB_PREPARED_OK && job->handles == NULL) {
        job->handles = g_ptr_array_new_with_free_func(g_free);
        for (uint32_t i = 0; i < handle_count; i++) {
            g_ptr_array_add(job->handles, g_strdup(handles[i]));
        }
    }
    return true;
}

GPtrArray *
EbPreparationTable_AbandonHome(EbPreparationTable *preparations,
                               const char *home)
{
    GPtrArray *left = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, preparations->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPlacedPreparation *job = value;
        if (strcmp(job->home, home) != 0) {
            continue;
        }
        if (job->handles == NULL) {
            g_ptr_array_add(left, job);
        }
        else {
            job->home_abandoned = true;
        }
    }
    return left;
}

GHashTable *
EbPreparationTable_PendingHomes(const EbPreparationTable *preparations,
                                int64_t before_us)
{
    GHashTable *homes = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, preparations->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPlacedPreparation *job = value;
        if (job->handles == NULL && job->placed_us <= before_us) {
            g_hash_table_add(homes, job->home);
        }
    }
    return homes;
}
