/* Tests of EbIntake. */
#include "ebonyhollow/intake.h"

#include <glib.h>

#include "ebonyhollow/random.h"
#include "test_runner.h"

#define CLIENTS 16
#define SECOND_US INT64_C(1000000)
#define KIB UINT64_C(1024)

typedef struct {
    EbIntakeAccount *account;
    EbIntakePhase phase;
    uint64_t bytes;
    bool ended;
    EbIntakeReason reason;
    uint32_t order; /* in which it was ended, from 1 */
    uint32_t *count;
} Client;

typedef struct {
    EbIntake *intake;
    Client clients[CLIENTS];
    uint32_t ended;
} Fixture;

static void
on_end(void *context, EbIntakeReason reason)
{
    Client *client = context;
    client->ended = true;
    client->reason = reason;
    client->order = ++*client->count;
    EbIntake_Close(client->account);
    client->account = NULL;
}

static void
open_fixture(Fixture *fixture, const EbIntakeOptions *options)
{
    *fixture = (Fixture){.intake = EbIntake_New(options)};
}

static void
open_client(Fixture *fixture, int i, uint64_t address, int64_t now_us)
{
    Client *client = &fixture->clients[i];
    *client = (Client){.count = &fixture->ended};
    client->account = EbIntake_Open(fixture->intake,
                                    &(EbIntakeClient){.end = on_end,
                                                      .context = client,
                                                      .group = fixture,
                                                      .address = address},
                                    now_us);
}

static void
set(Fixture *fixture, int i, EbIntakePhase phase, uint64_t bytes,
    int64_t now_us)
{
    Client *client = &fixture->clients[i];
    client->phase = phase;
    client->bytes = bytes;
    EbIntake_Update(client->account, phase, bytes, now_us);
}

static void
close_fixture(Fixture *fixture)
{
    for (int i = 0; i < CLIENTS; i++) {
        EbIntake_Close(fixture->clients[i].account);
    }
    EbIntake_Free(fixture->intake);
}

/* Guards against ending a request that was passed on, or a small one that
 * arrives, while a stalled or a large one holds the memory. */
static void
test_order(void)
{
    static const struct {
        EbIntakePhase phase;
        uint64_t bytes;
        int64_t progress_us;
        uint32_t order; /* 0: stays */
        EbIntakeReason reason;
    } rows[] = {
        {EB_INTAKE_RUNNING, 900 * KIB, 0, 0, 0},
        {EB_INTAKE_READING, 100 * KIB, 0, 1, EB_INTAKE_STALLED},
        {EB_INTAKE_ANSWERING, 90 * KIB, 0, 2, EB_INTAKE_STALLED},
        {EB_INTAKE_READING, 800 * KIB, 9 * SECOND_US, 3, EB_INTAKE_LARGEST},
        {EB_INTAKE_READING, 300 * KIB, 9 * SECOND_US, 4, EB_INTAKE_LARGEST},
        {EB_INTAKE_ANSWERING, 990 * KIB, 9 * SECOND_US, 5, EB_INTAKE_UNREAD},
        {EB_INTAKE_READING, 4 * KIB, 0, 0, 0},
        {EB_INTAKE_READING, 2 * KIB, 9 * SECOND_US, 0, 0},
        {EB_INTAKE_IDLE, 0, 0, 0, 0},
    };
    Fixture fixture;
    open_fixture(&fixture, &(EbIntakeOptions){.max_bytes = 907 * KIB});
    for (int i = 0; i < (int)G_N_ELEMENTS(rows); i++) {
        open_client(&fixture, i, 1, 0);
        set(&fixture, i, rows[i].phase, rows[i].bytes, rows[i].progress_us);
    }
    EbIntake_Relieve(fixture.intake, 9 * SECOND_US + 1);
    for (int i = 0; i < (int)G_N_ELEMENTS(rows); i++) {
        const Client *client = &fixture.clients[i];
        CU_ASSERT_EQUAL(client->order, rows[i].order);
        if (client->ended) {
            CU_ASSERT_EQUAL(client->reason, rows[i].reason);
        }
    }
    CU_ASSERT_FALSE(EbIntake_IsShort(fixture.intake));
    close_fixture(&fixture);
}

/* Guards against reading a request that no ending of others makes room for,
 * and against refusing one while only unfinished ones hold the memory. */
static void
test_admission(void)
{
    Fixture fixture;
    open_fixture(&fixture, &(EbIntakeOptions){.max_bytes = 100});
    open_client(&fixture, 0, 1, 0);
    open_client(&fixture, 1, 1, 0);
    set(&fixture, 0, EB_INTAKE_READING, 90, 0);
    CU_ASSERT_TRUE(EbIntake_Admits(fixture.intake, 100));
    CU_ASSERT_FALSE(EbIntake_Admits(fixture.intake, 101));
    set(&fixture, 1, EB_INTAKE_RUNNING, 60, 0);
    CU_ASSERT_TRUE(EbIntake_Admits(fixture.intake, 40));
    CU_ASSERT_FALSE(EbIntake_Admits(fixture.intake, 41));
    CU_ASSERT_TRUE(EbIntake_IsShort(fixture.intake));
    set(&fixture, 1, EB_INTAKE_ANSWERING, 5, 0);
    CU_ASSERT_TRUE(EbIntake_Admits(fixture.intake, 100));
    CU_ASSERT_EQUAL(EbIntake_Bytes(fixture.intake), 95);
    close_fixture(&fixture);
}

/* Guards against one address that takes the memory of all others. */
static void
test_address(void)
{
    Fixture fixture;
    open_fixture(&fixture, &(EbIntakeOptions){.max_bytes = 1000,
                                              .max_address_bytes = 100});
    for (int i = 0; i < 4; i++) {
        open_client(&fixture, i, i < 3 ? 7 : 8, 0);
        set(&fixture, i, EB_INTAKE_READING, i == 3 ? 90 : 40, 0);
    }
    CU_ASSERT_TRUE(EbIntake_IsShort(fixture.intake));
    CU_ASSERT_EQUAL(EbIntake_Relieve(fixture.intake, 1), 1);
    CU_ASSERT_FALSE(fixture.clients[3].ended);
    CU_ASSERT_FALSE(EbIntake_IsShort(fixture.intake));
    close_fixture(&fixture);
}

/* Guards against refusing a new connection because silent ones hold all
 * places, and against ending one with a request in progress. */
static void
test_idle(void)
{
    Fixture fixture;
    open_fixture(&fixture, &(EbIntakeOptions){.max_bytes = 1000});
    for (int i = 0; i < 4; i++) {
        open_client(&fixture, i, 1, i);
    }
    set(&fixture, 0, EB_INTAKE_RUNNING, 10, 5);
    set(&fixture, 1, EB_INTAKE_RUNNING, 10, 5);
    set(&fixture, 1, EB_INTAKE_IDLE, 0, 6); /* served before */
    CU_ASSERT_TRUE(EbIntake_EndIdle(fixture.intake, &fixture, 9));
    CU_ASSERT_TRUE(fixture.clients[2].ended);
    CU_ASSERT_TRUE(EbIntake_EndIdle(fixture.intake, &fixture, 9));
    CU_ASSERT_TRUE(fixture.clients[3].ended);
    CU_ASSERT_EQUAL(fixture.clients[3].reason, EB_INTAKE_CONNECTIONS);
    CU_ASSERT_FALSE(EbIntake_EndIdle(fixture.intake, NULL, 9));
    CU_ASSERT_TRUE(EbIntake_EndIdle(fixture.intake, &fixture, 9));
    CU_ASSERT_TRUE(fixture.clients[1].ended);
    CU_ASSERT_FALSE(EbIntake_EndIdle(fixture.intake, &fixture, 9));
    close_fixture(&fixture);
}

/* Guards against ending a slow but sound client, and against waiting for one
 * that sends a byte now and then. */
static void
test_pace(void)
{
    static const struct {
        int64_t elapsed_us;
        uint64_t bytes;
        bool slow;
    } rows[] = {
        {10 * SECOND_US, 0, false},
        {10 * SECOND_US + 1, 0, true},
        {60 * SECOND_US, 50 * KIB, false}, /* 50 KiB over a slow line */
        {61 * SECOND_US, 50 * KIB, true},
        {30 * SECOND_US, 30, true}, /* a byte a second */
        {4000 * SECOND_US, 4096 * KIB, false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        CU_ASSERT_EQUAL(EbIntake_IsTooSlow(rows[i].elapsed_us, rows[i].bytes,
                                           10 * SECOND_US),
                        rows[i].slow);
    }
}

/* Guards against a log line for each client of a crowd. */
static void
test_count(void)
{
    EbIntake *intake = EbIntake_New(&(EbIntakeOptions){.max_bytes = 1});
    int64_t now_us = 5 * SECOND_US;
    CU_ASSERT_EQUAL(EbIntake_Count(intake, EB_INTAKE_SLOW, now_us), 1);
    for (int i = 0; i < 10; i++) {
        CU_ASSERT_EQUAL(EbIntake_Count(intake, EB_INTAKE_SLOW, now_us), 0);
    }
    CU_ASSERT_EQUAL(EbIntake_Count(intake, EB_INTAKE_STALLED, now_us), 1);
    CU_ASSERT_EQUAL(EbIntake_Count(intake, EB_INTAKE_SLOW, now_us + SECOND_US),
                    11);
    EbIntake_Free(intake);
}

static void
step(Fixture *fixture, EbRandom *random, int64_t now_us)
{
    int i = (int)EbRandom_Below(random, CLIENTS);
    Client *client = &fixture->clients[i];
    if (client->account == NULL) {
        open_client(fixture, i, EbRandom_Below(random, 3), now_us);
    }
    EbIntakePhase phase = (EbIntakePhase)EbRandom_Below(random, 4);
    uint64_t bytes =
        phase == EB_INTAKE_IDLE ? 0 : EbRandom_Below(random, 60 * KIB);
    if (phase == EB_INTAKE_RUNNING &&
        !EbIntake_Admits(fixture->intake, bytes)) {
        phase = EB_INTAKE_READING;
    }
    set(fixture, i, phase, bytes, now_us);
}

/* Guards against a sum that drifts from what the connections hold, against a
 * limit that isn't kept, and against ending requests that were passed on. */
static void
test_random(void)
{
    enum { SEEDS = 200, STEPS = 300 };
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        Fixture fixture;
        EbRandom random;
        EbRandom_Init(&random, seed);
        open_fixture(&fixture, &(EbIntakeOptions){.max_bytes = 200 * KIB});
        for (int64_t now_us = 1; now_us < STEPS * SECOND_US;
             now_us += SECOND_US) {
            step(&fixture, &random, now_us);
            EbIntake_Relieve(fixture.intake, now_us);
            uint64_t sum = 0;
            uint64_t running = 0;
            for (int i = 0; i < CLIENTS; i++) {
                const Client *client = &fixture.clients[i];
                bool open = client->account != NULL;
                sum += open ? client->bytes : 0;
                running += open && client->phase == EB_INTAKE_RUNNING
                               ? client->bytes
                               : 0;
                CU_ASSERT_FALSE(client->ended &&
                                client->phase == EB_INTAKE_RUNNING);
            }
            CU_ASSERT_EQUAL(EbIntake_Bytes(fixture.intake), sum);
            CU_ASSERT_TRUE(sum <= MAX(200 * KIB, running));
        }
        close_fixture(&fixture);
    }
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"order", test_order},     {"admission", test_admission},
        {"address", test_address}, {"idle", test_idle},
        {"pace", test_pace},       {"count", test_count},
        {"random", test_random},
    };
    return EbTest_Run("test_intake", cases, G_N_ELEMENTS(cases));
}
