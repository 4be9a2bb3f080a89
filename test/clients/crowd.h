/* A crowd of clients that misbehave.
 *
 * crowd.c   connections, what they send and how they read
 * forms.c   the forms of misbehaviour */
#ifndef CROWD_H
#define CROWD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* How a connection goes on after it has sent everything. */
typedef enum {
    CROWD_READS,      /* reads the answers */
    CROWD_READS_NONE, /* never reads */
    CROWD_READS_SLOWLY,
    CROWD_HALF_CLOSES, /* ends its output and reads */
    CROWD_CLOSES,      /* closes at once, and connects again */
} CrowdEnd;

typedef struct {
    const char *name;
    /* Writes the bytes that one connection sends into a buffer from malloc().
     * `id` is that of the first request. Returns their number. */
    size_t (*make)(const char *path, const char *id, char **bytes);
    size_t piece_bytes; /* of each write; 0: as many as fit */
    CrowdEnd end;
} CrowdForm;

/* Returns a form, or NULL. */
const CrowdForm *Crowd_FindForm(const char *name);

#endif
