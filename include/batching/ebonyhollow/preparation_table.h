/* EbPreparationTable: the preparations that this daemon's requests need, and
 * the home daemon of each.
 *
 * When a home can't be reached, the preparations that it has not finished move
 * to another home. Finished ones stay, since their results are kept by the
 * servers that made them and this daemon has the handles. */
#ifndef EBONYHOLLOW_PREPARATION_TABLE_H
#define EBONYHOLLOW_PREPARATION_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "ebonyhollow/action.h"
#include "ebonyhollow/dispatcher.h"

typedef struct EbPreparationTable EbPreparationTable;

/* One preparation and its home. */
typedef struct {
    EbPreparationJob spec; /* owned copy */
    char *home;            /* instance; NULL until SetHome */
    int64_t placed_us;     /* when it was sent to its home */
    GPtrArray *handles;    /* of char *, its results; NULL until prepared */
    bool home_abandoned;   /* prepared, but its home is no longer used */
} EbPlacedPreparation;

/* Creates an empty table. Free it with EbPreparationTable_Free. */
EbPreparationTable *EbPreparationTable_New(void);

/* Accepts NULL. */
void EbPreparationTable_Free(EbPreparationTable *preparations);

/* Adds a preparation; `spec` is copied. The entry is valid until
 * EbPreparationTable_Remove. */
EbPlacedPreparation *EbPreparationTable_Add(EbPreparationTable *preparations,
                                            const EbPreparationJob *spec);

/* Returns NULL when there is no job with this number. */
EbPlacedPreparation *
EbPreparationTable_Find(const EbPreparationTable *preparations,
                        uint64_t number);

/* Removes and frees a job. Unknown numbers are ignored. */
void EbPreparationTable_Remove(EbPreparationTable *preparations,
                               uint64_t number);

/* Sets the home and the time of placement; the name is copied. */
void EbPlacedPreparation_SetHome(EbPlacedPreparation *job, const char *home,
                                 int64_t now_us);

/* Records the outcome that an instance reports for a job. Handles are copied
 * when the status is ok. Returns false when the job is unknown or not placed
 * at that instance. */
bool EbPreparationTable_RecordResult(EbPreparationTable *preparations,
                                     const char *instance, uint64_t number,
                                     EbPreparedStatus status,
                                     char *const *handles,
                                     uint32_t handle_count);

/* Marks the finished jobs of a home with home_abandoned: this daemon has to
 * release their results itself, as the home may have forgotten them.
 *
 * Returns the home's unfinished jobs, which have to be placed again. The jobs
 * are borrowed; the caller frees the array with g_ptr_array_unref. */
GPtrArray *EbPreparationTable_AbandonHome(EbPreparationTable *preparations,
                                          const char *home);

/* Returns the homes of jobs that were placed at or before `before_us` and have
 * no results yet: a set of borrowed names. The caller destroys the set. */
GHashTable *
EbPreparationTable_PendingHomes(const EbPreparationTable *preparations,
                                int64_t before_us);

#endif
