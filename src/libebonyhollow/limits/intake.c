#include "ebonyhollow/intake.h"

#include <assert.h>

#include <glib.h>

#define DEFAULT_STALL_US 1000000
/* Connections that hold less go after all others: to end them frees little. */
#define SMALL_BYTES 16384
#define LOG_INTERVAL_US 1000000
/* A second for each kilobyte is below the rate of any line in use. */
#define SLOWEST_BYTES_PER_S 1024
#define US_PER_S 1000000

struct EbIntakeAccount {
    EbIntake *intake;
    EbIntakeClient client;
    EbIntakePhase phase;
    uint64_t bytes;
    bool served; /* it sent a whole request once */
    int64_t progress_us;
};

typedef struct {
    uint64_t unlogged;
    int64_t logged_us; /* 0: never */
} ReasonCount;

struct EbIntake {
    EbIntakeOptions options;
    GPtrArray *accounts; /* of EbIntakeAccount */
    uint64_t bytes;
    uint64_t running_bytes; /* of the requests that were passed on */
    GHashTable *addresses;  /* hash -> bytes; only with a limit for each */
    ReasonCount counts[EB_INTAKE_REASON_COUNT];
};

const char *const EbIntakeReason_names[EB_INTAKE_REASON_COUNT] = {
    [EB_INTAKE_STALLED] = "stalled",
    [EB_INTAKE_LARGEST] = "largest",
    [EB_INTAKE_UNREAD] = "unread",
    [EB_INTAKE_NO_MEMORY] = "no-memory",
    [EB_INTAKE_CONNECTIONS] = "connections",
    [EB_INTAKE_SLOW] = "slow",
    [EB_INTAKE_DESCRIPTORS] = "descriptors",
};

EbIntake *
EbIntake_New(const EbIntakeOptions *options)
{
    EbIntake *intake = g_new0(EbIntake, 1);
    intake->options = *options;
    if (intake->options.stall_us == 0) {
        intake->options.stall_us = DEFAULT_STALL_US;
    }
    intake->accounts = g_ptr_array_new();
    intake->addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    return intake;
}

void
EbIntake_Free(EbIntake *intake)
{
    if (intake == NULL) {
        return;
    }
    assert(intake->accounts->len == 0);
    g_ptr_array_unref(intake->accounts);
    g_hash_table_destroy(intake->addresses);
    g_free(intake);
}

static uint64_t
address_bytes(const EbIntake *intake, uint64_t address)
{
    const uint64_t *bytes = g_hash_table_lookup(intake->addresses, &address);
    return bytes != NULL ? *bytes : 0;
}

static void
add_address_bytes(EbIntake *intake, uint64_t address, int64_t change)
{
    if (intake->options.max_address_bytes == 0 || change == 0) {
        return;
    }
    uint64_t bytes = address_bytes(intake, address) + (uint64_t)change;
    if (bytes == 0) {
        g_hash_table_remove(intake->addresses, &address);
        return;
    }
    g_hash_table_replace(intake->addresses,
                         g_memdup2(&address, sizeof(address)),
                         g_memdup2(&bytes, sizeof(bytes)));
}

static void
set_bytes(EbIntakeAccount *account, EbIntakePhase phase, uint64_t bytes)
{
    EbIntake *intake = account->intake;
    if (account->phase == EB_INTAKE_RUNNING) {
        intake->running_bytes -= account->bytes;
    }
    if (phase == EB_INTAKE_RUNNING) {
        intake->running_bytes += bytes;
    }
    intake->bytes += bytes - account->bytes;
    add_address_bytes(intake, account->client.address,
                      (int64_t)(bytes - account->bytes));
    account->phase = phase;
    account->bytes = bytes;
}

EbIntakeAccount *
EbIntake_Open(EbIntake *intake, const EbIntakeClient *client, int64_t now_us)
{
    EbIntakeAccount *account = g_new0(EbIntakeAccount, 1);
    account->intake = intake;
    account->client = *client;
    account->progress_us = now_us;
    g_ptr_array_add(intake->accounts, account);
    return account;
}

void
EbIntake_Close(EbIntakeAccount *account)
{
    if (account == NULL) {
        return;
    }
    set_bytes(account, EB_INTAKE_IDLE, 0);
    g_ptr_array_remove_fast(account->intake->accounts, account);
    g_free(account);
}

void
EbIntake_Update(EbIntakeAccount *account, EbIntakePhase phase, uint64_t bytes,
                int64_t now_us)
{
    if (phase == account->phase && bytes == account->bytes) {
        return;
    }
    account->served = account->served || phase == EB_INTAKE_RUNNING ||
                      phase == EB_INTAKE_ANSWERING;
    account->progress_us = now_us;
    set_bytes(account, phase, bytes);
}

void
EbIntake_Progress(EbIntakeAccount *account, int64_t now_us)
{
    account->progress_us = now_us;
}

bool
EbIntake_Admits(const EbIntake *intake, uint64_t bytes)
{
    return intake->running_bytes + bytes <= intake->options.max_bytes;
}

/* Returns whether the account belongs to an address that holds more than its
 * part. */
static bool
address_is_over(const EbIntake *intake, const EbIntakeAccount *account)
{
    return intake->options.max_address_bytes > 0 &&
           address_bytes(intake, account->client.address) >
               intake->options.max_address_bytes;
}

bool
EbIntake_IsShort(const EbIntake *intake)
{
    if (intake->bytes > intake->options.max_bytes) {
        return true;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, intake->addresses);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (*(uint64_t *)value > intake->options.max_address_bytes) {
            return true;
        }
    }
    return false;
}

/* Returns why a connection may be ended, or EB_INTAKE_REASON_COUNT if it may
 * not. */
static EbIntakeReason
find_reason(const EbIntake *intake, const EbIntakeAccount *account,
            int64_t now_us)
{
    if (account->phase == EB_INTAKE_RUNNING || account->bytes == 0) {
        return EB_INTAKE_REASON_COUNT;
    }
    if (now_us - account->progress_us >= intake->options.stall_us) {
        return EB_INTAKE_STALLED;
    }
    return account->phase == EB_INTAKE_ANSWERING ? EB_INTAKE_UNREAD
                                                 : EB_INTAKE_LARGEST;
}

/* Returns the rank of a connection that may be ended; a smaller one goes
 * first. */
static uint32_t
rank(EbIntakeReason reason, const EbIntakeAccount *account)
{
    return (uint32_t)reason +
           (account->bytes < SMALL_BYTES ? EB_INTAKE_REASON_COUNT : 0);
}

/* Chooses the connection to be ended next, or NULL. */
static EbIntakeAccount *
choose(const EbIntake *intake, int64_t now_us, EbIntakeReason *reason)
{
    bool all = intake->bytes > intake->options.max_bytes;
    EbIntakeAccount *chosen = NULL;
    uint32_t lowest = UINT32_MAX;
    for (guint i = 0; i < intake->accounts->len; i++) {
        EbIntakeAccount *account = g_ptr_array_index(intake->accounts, i);
        EbIntakeReason own = find_reason(intake, account, now_us);
        if (own == EB_INTAKE_REASON_COUNT ||
            (!all && !address_is_over(intake, account))) {
            continue;
        }
        uint32_t own_rank = rank(own, account);
        if (own_rank < lowest ||
            (own_rank == lowest && account->bytes > chosen->bytes)) {
            chosen = account;
            lowest = own_rank;
            *reason = own;
        }
    }
    return chosen;
}

uint32_t
EbIntake_Relieve(EbIntake *intake, int64_t now_us)
{
    uint32_t ended = 0;
    while (EbIntake_IsShort(intake)) {
        EbIntakeReason reason;
        EbIntakeAccount *account = choose(intake, now_us, &reason);
        if (account == NULL) {
            break;
        }
        uint64_t before = intake->bytes;
        account->client.end(account->client.context, reason);
        ended++;
        if (intake->bytes >= before) {
            break; /* its refusal takes as much; the next call goes on */
        }
    }
    return ended;
}

/* Returns whether `left` is to be ended before `right`. */
static bool
goes_first(const EbIntakeAccount *left, const EbIntakeAccount *right)
{
    if (left->served != right->served) {
        return !left->served;
    }
    return left->progress_us < right->progress_us;
}

/* Ends a connection without a request, of one group or, with NULL, of any. */
static bool
end_idle(const EbIntake *intake, const void *group, EbIntakeReason reason)
{
    EbIntakeAccount *chosen = NULL;
    for (guint i = 0; i < intake->accounts->len; i++) {
        EbIntakeAccount *account = g_ptr_array_index(intake->accounts, i);
        if ((group != NULL && account->client.group != group) ||
            account->phase == EB_INTAKE_RUNNING ||
            account->phase == EB_INTAKE_ANSWERING) {
            continue;
        }
        if (chosen == NULL || goes_first(account, chosen)) {
            chosen = account;
        }
    }
    if (chosen != NULL) {
        chosen->client.end(chosen->client.context, reason);
    }
    return chosen != NULL;
}

bool
EbIntake_EndIdle(EbIntake *intake, const void *group, int64_t now_us)
{
    (void)now_us;
    return group != NULL && end_idle(intake, group, EB_INTAKE_CONNECTIONS);
}

bool
EbIntake_FreeDescriptor(EbIntake *intake)
{
    return end_idle(intake, NULL, EB_INTAKE_DESCRIPTORS);
}

uint64_t
EbIntake_Bytes(const EbIntake *intake)
{
    return intake->bytes;
}

bool
EbIntake_IsTooSlow(int64_t elapsed_us, uint64_t bytes, int64_t grace_us)
{
    int64_t transfer_us = (int64_t)(bytes * US_PER_S / SLOWEST_BYTES_PER_S);
    return elapsed_us > grace_us + transfer_us;
}

uint64_t
EbIntake_Count(EbIntake *intake, EbIntakeReason reason, int64_t now_us)
{
    ReasonCount *count = &intake->counts[reason];
    count->unlogged++;
    if (count->logged_us != 0 && now_us - count->logged_us < LOG_INTERVAL_US) {
        return 0;
    }
    uint64_t unlogged = count->unlogged;
    count->unlogged = 0;
    count->logged_us = now_us;
    return unlogged;
}
