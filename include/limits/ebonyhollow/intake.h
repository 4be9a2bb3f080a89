/* EbIntake: the memory that a daemon holds for its clients, and which of them
 * goes first when it runs short.
 *
 * Every connection of a client has an account: what was read of its request,
 * the request while it is in progress, and what is unsent of its answer. If
 * the sum exceeds the limit, connections are ended, the ones whose loss costs
 * least first: those without progress, then those with the most bytes of an
 * unfinished request, then unsent answers. A request that was passed on is
 * never ended; while such requests take all of the memory, new ones are
 * refused before they are read. */
#ifndef EBONYHOLLOW_INTAKE_H
#define EBONYHOLLOW_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct EbIntake EbIntake;
typedef struct EbIntakeAccount EbIntakeAccount;

typedef enum {
    EB_INTAKE_IDLE,      /* no request has begun */
    EB_INTAKE_READING,   /* a request is being read */
    EB_INTAKE_RUNNING,   /* it was passed on */
    EB_INTAKE_ANSWERING, /* its answer is being sent */
} EbIntakePhase;

/* Why a client was refused or its connection ended. */
typedef enum {
    EB_INTAKE_STALLED,     /* memory is short; it made no progress */
    EB_INTAKE_LARGEST,     /* memory is short; its request is the largest */
    EB_INTAKE_UNREAD,      /* memory is short; its answer is the largest */
    EB_INTAKE_NO_MEMORY,   /* the request was refused before it was read */
    EB_INTAKE_CONNECTIONS, /* too many connections; it had no request */
    EB_INTAKE_SLOW,        /* its request took too long to arrive */
    EB_INTAKE_DESCRIPTORS, /* no descriptor is left; it had no request */
    EB_INTAKE_REASON_COUNT
} EbIntakeReason;

/* Names in logs and metrics, indexed by EbIntakeReason. */
extern const char *const EbIntakeReason_names[EB_INTAKE_REASON_COUNT];

typedef struct {
    uint64_t max_bytes;         /* for all clients */
    uint64_t max_address_bytes; /* for one address; 0: max_bytes */
    /* A connection has made no progress if it neither sent nor took a byte for
     * this long; 0: 1 s. */
    int64_t stall_us;
} EbIntakeOptions;

typedef struct {
    /* Ends the connection or frees what it holds. Must call EbIntake_Update
     * with fewer bytes, or EbIntake_Close. */
    void (*end)(void *context, EbIntakeReason reason);
    void *context;
    /* Connections of one listener have the same group. */
    const void *group;
    uint64_t address; /* hash of the client's address */
} EbIntakeClient;

/* `options` is copied. The caller frees the result with EbIntake_Free. */
EbIntake *EbIntake_New(const EbIntakeOptions *options);

/* All accounts must be closed. Accepts NULL. */
void EbIntake_Free(EbIntake *intake);

/* Opens the account of a new connection, which holds nothing. `client` is
 * copied. */
EbIntakeAccount *EbIntake_Open(EbIntake *intake, const EbIntakeClient *client,
                               int64_t now_us);

/* Frees an account. Accepts NULL. */
void EbIntake_Close(EbIntakeAccount *account);

/* Sets what a connection holds. A change of the phase or of the bytes is
 * progress. */
void EbIntake_Update(EbIntakeAccount *account, EbIntakePhase phase,
                     uint64_t bytes, int64_t now_us);

/* Records that a connection made progress, sent or took a part, although what
 * is held for it stays the same. */
void EbIntake_Progress(EbIntakeAccount *account, int64_t now_us);

/* Returns whether a request of `bytes` may be read or passed on: whether it
 * fits beside those that were passed on already. */
bool EbIntake_Admits(const EbIntake *intake, uint64_t bytes);

/* Returns whether the limit is exceeded. */
bool EbIntake_IsShort(const EbIntake *intake);

/* Ends connections until the limit is kept or none is left that may be ended.
 * Returns the number of connections ended. */
uint32_t EbIntake_Relieve(EbIntake *intake, int64_t now_us);

/* Ends one connection of a group that has no request in progress, to make room
 * for a new one: one that never sent a whole request before one that did, the
 * one without progress for the longest time first. Returns false if there is
 * none. */
bool EbIntake_EndIdle(EbIntake *intake, const void *group, int64_t now_us);

/* Ends one connection of any group that has no request in progress, in the
 * same order, when the process has no descriptor left. Returns false if there
 * is none. */
bool EbIntake_FreeDescriptor(EbIntake *intake);

/* Returns the bytes held for all clients. */
uint64_t EbIntake_Bytes(const EbIntake *intake);

/* Returns whether a request or an answer that began `elapsed_us` ago and of
 * which `bytes` have passed is slower than with any sound client: it has
 * `grace_us`, and a second more for every kilobyte that has passed. */
bool EbIntake_IsTooSlow(int64_t elapsed_us, uint64_t bytes, int64_t grace_us);

/* Counts a client that was refused or ended. Returns the number since the last
 * log line if a line is due, which is once a second for each reason; otherwise
 * 0. */
uint64_t EbIntake_Count(EbIntake *intake, EbIntakeReason reason,
                        int64_t now_us);

#endif
