/* EbPreparationTable: the preparations of this daemon's requests, and at which
 * homes they are.
 *
 * A home that can't be reached is left: what it has not prepared goes to
 * another home. What it has prepared stays, since the results lie at their
 * servers and this daemon has their handles. */
#ifndef EBONYHOLLOW_PREPARATION_TABLE_H
#define EBONYHOLLOW_PREPARATION_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/dispatcher.h"

typedef struct EbPreparationTable EbPreparationTable;

typedef struct {
    EbPreparationJob prepare; /* its own copy */
    char *home;               /* instance; NULL until SetHome */
    int64_t placed_us;        /* when it was sent there */
    GPtrArray *handles;       /* of char *, its results; NULL until prepared */
    bool home_abandoned;      /* its home was left after it had prepared it */
} EbPlacedPreparation;

EbPreparationTable *EbPreparationTable_New(void);
void EbPreparationTable_Free(EbPreparationTable *preparations);

/* Adds a preparation; `prepare` is copied. The job is valid until Remove. */
EbPlacedPreparation *EbPreparationTable_Add(EbPreparationTable *preparations,
                                            const EbPreparationJob *prepare);

/* Returns NULL when there is no such job. */
EbPlacedPreparation *
EbPreparationTable_Find(const EbPreparationTable *preparations,
                        uint64_t number);
void EbPreparationTable_Remove(EbPreparationTable *preparations,
                               uint64_t number);

void EbPlacedPreparation_SetHome(EbPlacedPreparation *job, const char *home,
                                 int64_t now_us);

/* Takes what an instance says of a job. Returns false when the job is not at
 * that instance. */
bool EbPreparationTable_RecordResult(EbPreparationTable *preparations,
                                     const char *instance, uint64_t number,
                                     EbPreparedStatus status,
                                     char *const *handles,
                                     uint32_t handle_count);

/* Returns the jobs that have to be placed anew when a home is left, to be
 * freed with g_ptr_array_unref. The results of the others have to be released
 * by this daemon, as the home may have forgotten them. */
GPtrArray *EbPreparationTable_AbandonHome(EbPreparationTable *preparations,
                                          const char *home);

/* Returns the homes of jobs that wait for their results since `before_us` or
 * longer: a set of borrowed names, to be destroyed. */
GHashTable *
EbPreparationTable_PendingHomes(const EbPreparationTable *preparations,
                                int64_t before_us);

#endif
