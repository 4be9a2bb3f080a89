#include "ebonyhollow/placement.h"

#include <string.h>

struct EbPlacement {
    GHashTable *jobs; /* number to EbPlacedJob */
};

static void
free_job(gpointer pointer)
{
    EbPlacedJob *job = pointer;
    EbPrepare_Clear(&job->prepare);
    g_free(job->home);
    if (job->handles != NULL) {
        g_ptr_array_unref(job->handles);
    }
    g_free(job);
}

EbPlacement *
EbPlacement_New(void)
{
    EbPlacement *placement = g_new0(EbPlacement, 1);
    placement->jobs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_job);
    return placement;
}

void
EbPlacement_Free(EbPlacement *placement)
{
    if (placement != NULL) {
        g_hash_table_destroy(placement->jobs);
        g_free(placement);
    }
}

EbPlacedJob *
EbPlacement_Add(EbPlacement *placement, const EbPrepare *prepare)
{
    EbPlacedJob *job = g_new0(EbPlacedJob, 1);
    job->prepare = EbPrepare_Copy(prepare);
    g_hash_table_insert(placement->jobs, &job->prepare.job, job);
    return job;
}

EbPlacedJob *
EbPlacement_Find(const EbPlacement *placement, uint64_t number)
{
    return g_hash_table_lookup(placement->jobs, &number);
}

void
EbPlacement_Remove(EbPlacement *placement, uint64_t number)
{
    g_hash_table_remove(placement->jobs, &number);
}

void
EbPlacedJob_SetHome(EbPlacedJob *job, const char *home, int64_t now_us)
{
    char *copy = g_strdup(home);
    g_free(job->home);
    job->home = copy;
    job->placed_us = now_us;
}

bool
EbPlacement_Prepared(EbPlacement *placement, const char *instance,
                     uint64_t number, EbPreparedStatus status,
                     char *const *handles, uint32_t handle_count)
{
    EbPlacedJob *job = EbPlacement_Find(placement, number);
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
EbPlacement_Leave(EbPlacement *placement, const char *home)
{
    GPtrArray *left = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, placement->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        EbPlacedJob *job = value;
        if (strcmp(job->home, home) != 0) {
            continue;
        }
        if (job->handles == NULL) {
            g_ptr_array_add(left, job);
        }
        else {
            job->homeless = true;
        }
    }
    return left;
}

GHashTable *
EbPlacement_Homes(const EbPlacement *placement, int64_t before_us)
{
    GHashTable *homes = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, placement->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const EbPlacedJob *job = value;
        if (job->handles == NULL && job->placed_us <= before_us) {
            g_hash_table_add(homes, job->home);
        }
    }
    return homes;
}
