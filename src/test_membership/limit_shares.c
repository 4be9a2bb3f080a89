#include "limit_shares.h"

#include <stdio.h>

#include <glib.h>

#include "ebonyhollow/directives.h"
#include "network.h"
#include "test_runner.h"

#define SECOND_US 1000000LL
#define CHECK_US 250000
#define SEEDS 4
/* Calls a second; the daemons that share it are those that it names, or all.
 */
#define LIMIT_PER_S 200
#define ROUNDING 1e-6
/* Until the parts of daemons that have ended are used by the others. */
#define RETURN_MAX_US (5 * SECOND_US)

static const uint32_t sizes[] = {2, 8, 30, 300};

typedef enum { OFF_ENDED, OFF_POWER } OffKind;

/* Returns the part of a daemon that knows of the limit. */
static double
compute_share(uint32_t index)
{
    const EbMembership *membership = network.nodes[index].membership;
    const char *live[NETWORK_MAX];
    const char *lost[NETWORK_MAX];
    char name[16];
    snprintf(name, sizeof(name), "n%u", index);
    size_t count = EbMembership_LiveInstances(membership, live, NETWORK_MAX);
    EbRandom random;
    EbRandom_Init(&random, index);
    EbDirectives *directives = EbDirectives_New(
        &(EbDirectivesOptions){.instance = name, .random = &random});
    size_t lost_count =
        EbMembership_LostInstances(membership, lost, NETWORK_MAX);
    EbDirectives_SetMembers(directives, live, count, lost, lost_count, 1);
    EbDirectives_RecordAnswer(
        directives, "s",
        &(EbServerDirective){.has_limit = true,
                             .requests_per_s_milli = LIMIT_PER_S * 1000},
        1, 2);
    double share = 0;
    EbDirectives_FindShare(directives, "s", &share, 2);
    EbDirectives_Free(directives);
    return share;
}

/* Returns which part of the limit the running daemons have together. */
static double
sum_shares(void)
{
    double sum = 0;
    for (uint32_t i = 0; i < network.count; i++) {
        sum += network.nodes[i].running ? compute_share(i) : 0;
    }
    return sum / LIMIT_PER_S;
}

/* Runs and checks that the sum of the parts does not pass the limit.
 *
 * Returns when the sum was last below `used`, from now. */
static int64_t
run_checked(int64_t time_us, double used)
{
    int64_t below_us = 0;
    for (int64_t passed_us = 0; passed_us < time_us; passed_us += CHECK_US) {
        double sum = sum_shares();
        if (sum > 1 + ROUNDING) {
            printf("  %u daemons, %.2f s: %.4f of the limit\n", network.count,
                   (double)network.now_us / SECOND_US, sum);
        }
        CU_ASSERT_TRUE(sum <= 1 + ROUNDING);
        below_us = sum < used ? passed_us + CHECK_US : below_us;
        Network_Run(CHECK_US);
    }
    return below_us;
}

static void
start(uint32_t count, uint64_t seed)
{
    Network_Start(count, seed);
    CU_ASSERT_TRUE(Network_RunUntil(Network_IsConverged, 10 * SECOND_US) >= 0);
    Network_Run(3 * SECOND_US); /* until no first dial is in progress */
    CU_ASSERT_DOUBLE_EQUAL(sum_shares(), 1, ROUNDING);
}

/* Ends a quarter of the daemons, at least one. */
static uint32_t
end_quarter(EbRandom *random, OffKind kind)
{
    uint32_t quarter = MAX(network.count / 4, 1);
    for (uint32_t ended = 0; ended < quarter;) {
        uint32_t index = (uint32_t)EbRandom_Below(random, network.count);
        if (network.nodes[index].running) {
            Network_KillNode(index);
            network.nodes[index].refuses = kind == OFF_ENDED;
            ended++;
        }
    }
    return quarter;
}

static size_t
count_max_lost(void)
{
    size_t lost = 0;
    for (uint32_t i = 0; i < network.count; i++) {
        if (network.nodes[i].running) {
            lost = MAX(lost, EbMembership_LostInstances(
                                 network.nodes[i].membership, NULL, 0));
        }
    }
    return lost;
}

/* Guards against parts of a limit that stay unused for 10 minutes after the
 * processes that held them have ended, and against parts that are given out
 * twice meanwhile. */
void
LimitShares_TestEnded(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        /* The largest size takes most of the time. */
        uint64_t seeds = sizes[i] == 300 ? 1 : SEEDS;
        for (uint64_t seed = 1; seed <= seeds; seed++) {
            EbRandom random;
            EbRandom_Init(&random, seed);
            start(sizes[i], seed);
            end_quarter(&random, OFF_ENDED);
            int64_t took_us = run_checked(10 * SECOND_US, 1 - ROUNDING);
            printf("  %u daemons, seed %u: parts returned after %.2f s\n",
                   sizes[i], (unsigned)seed, (double)took_us / SECOND_US);
            CU_ASSERT_TRUE(took_us <= RETURN_MAX_US);
            CU_ASSERT_EQUAL(count_max_lost(), 0);
            Network_Stop();
        }
    }
}

/* Guards against a time-out that counts as the end of a daemon, and against
 * parts that stay unused once the machines are back without the processes. */
void
LimitShares_TestPowerLoss(void)
{
    for (size_t i = 0; i + 1 < G_N_ELEMENTS(sizes); i++) {
        EbRandom random;
        EbRandom_Init(&random, i + 1);
        start(sizes[i], i + 1);
        uint32_t quarter = end_quarter(&random, OFF_POWER);
        run_checked(30 * SECOND_US, 0);
        double kept = 1 - (double)quarter / sizes[i];
        CU_ASSERT_EQUAL(count_max_lost(), quarter);
        CU_ASSERT_DOUBLE_EQUAL(sum_shares(), kept, ROUNDING);
        for (uint32_t k = 0; k < sizes[i]; k++) {
            network.nodes[k].refuses = true;
        }
        run_checked(180 * SECOND_US, 0);
        CU_ASSERT_EQUAL(count_max_lost(), 0);
        Network_Stop();
    }
}

/* Guards against sides of a partition that use each other's parts. */
void
LimitShares_TestPartition(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (int sides = 2; sides <= 3; sides++) {
            EbRandom random;
            EbRandom_Init(&random, (uint64_t)sides);
            start(sizes[i], (uint64_t)sides);
            for (uint32_t k = 0; k < sizes[i]; k++) {
                network.nodes[k].side =
                    (int)EbRandom_Below(&random, (uint64_t)sides);
            }
            run_checked(20 * SECOND_US, 0);
            end_quarter(&random, OFF_ENDED);
            run_checked(5 * SECOND_US, 0);
            for (uint32_t k = 0; k < sizes[i]; k++) {
                network.nodes[k].side = 0;
            }
            run_checked(5 * SECOND_US, 0);
            Network_Stop();
        }
    }
}

static EbMemberState
state_of(uint32_t viewer, const char *name)
{
    EbMemberView view = {.state = EB_MEMBER_STATE_COUNT};
    EbMembership_Find(network.nodes[viewer].membership, name, network.now_us,
                      &view);
    return view.state;
}

/* Breaks the link from n0 to n1 and lets n0 dial again. */
static EbMembership *
redial(void)
{
    EbMembership *membership = network.nodes[0].membership;
    EbMembership_LinkDown(membership, "n1", network.now_us);
    EbMembership_Tick(membership, network.now_us + SECOND_US);
    return membership;
}

/* Guards against a daemon that loses its part for good, or again and again,
 * since something on the path to it refuses connections, and against a refusal
 * that counts against a process that started after the dial. */
void
LimitShares_TestWrongRefusal(void)
{
    start(8, 1);
    EbMembership *membership = redial();
    EbMembership_DialFailed(membership, "n1", true,
                            network.now_us + SECOND_US);
    CU_ASSERT_EQUAL(state_of(0, "n1"), EB_MEMBER_LEAVING);
    Network_Drain(0);
    Network_Run(2 * SECOND_US);
    CU_ASSERT_TRUE(Network_IsConverged());
    CU_ASSERT_DOUBLE_EQUAL(sum_shares(), 1, ROUNDING);
    redial();
    EbMembership_DialFailed(membership, "n1", true,
                            network.now_us + SECOND_US);
    CU_ASSERT_EQUAL(state_of(0, "n1"), EB_MEMBER_ALIVE);
    Network_Drain(0);
    Network_Run(2 * SECOND_US);
    redial();
    EbMessageMember record = {"n1",
                              network.nodes[1].incarnation + 1,
                              "n1",
                              "d1",
                              EB_MEMBER_ALIVE,
                              1,
                              NETWORK_CAPACITY};
    EbMembership_Receive(membership, "n2",
                         &(EbMessage){.kind = EB_MESSAGE_MEMBERS,
                                      .members = &record,
                                      .member_count = 1},
                         network.now_us + SECOND_US + 1);
    EbMembership_DialFailed(membership, "n1", true,
                            network.now_us + SECOND_US + 2);
    CU_ASSERT_EQUAL(state_of(0, "n1"), EB_MEMBER_ALIVE);
    Network_Stop();
}
