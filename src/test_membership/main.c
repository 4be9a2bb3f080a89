/* Tests of EbMembership in an in-memory network with a virtual clock. */
#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "limit_shares.h"
#include "network.h"
#include "speeds.h"
#include "test_runner.h"

#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))
#define SEED 20260402
#define SECOND_US 1000000LL
/* Limit on the control traffic of each daemon, from the project's brief. */
#define BYTES_PER_S_MAX 13000
/* Time in which a server's new speed has to be known, as docs/design/
 * server-choice.md states it. */
#define SPEED_NEWS_US (10 * SECOND_US)
/* Longest time until all daemons see a death: four missed heartbeats, noticed
 * within two more intervals, a second to reconnect, the time from suspicion to
 * death, and two seconds to spread the record. */
#define DEATH_MAX_US                                                          \
    ((EB_HEARTBEAT_MISSED_MAX + 2LL) * EB_HEARTBEAT_US + SECOND_US +          \
     EB_MEMBER_DEAD_US + 2 * SECOND_US)
#define FLOODS 20

static uint32_t size;

static bool
are_floods_delivered(void)
{
    for (uint32_t i = 0; i < size; i++) {
        for (uint32_t j = 0; j < FLOODS; j++) {
            if (network.nodes[i].running && i != j % size &&
                network.nodes[i].floods[j] == 0) {
                return false;
            }
        }
    }
    return true;
}

static void
run_until_converged(const char *step, int64_t limit_us)
{
    int64_t took_us = Network_RunUntil(Network_IsConverged, limit_us);
    printf("  %u daemons, %s: %.2f s\n", size, step, (double)took_us / 1e6);
    CU_ASSERT_TRUE(took_us >= 0);
}

static void
check_traffic(void)
{
    enum { SECONDS = 20 };
    Network_Run(40 * SECOND_US); /* until unused links are closed */
    for (uint32_t i = 0; i < size; i++) {
        network.nodes[i].messages = network.nodes[i].bytes = 0;
    }
    Network_Run(SECONDS * SECOND_US);
    uint64_t most = 0, messages = 0;
    for (uint32_t i = 0; i < size; i++) {
        most = network.nodes[i].bytes > most ? network.nodes[i].bytes : most;
        messages += network.nodes[i].messages;
    }
    printf("  %u daemons, quiet: %.1f messages/s each, at most %" PRIu64
           " bytes/s (both directions, with TCP/IP headers)\n",
           size, (double)messages / SECONDS / size, most / SECONDS);
    CU_ASSERT_TRUE(most / SECONDS <= BYTES_PER_S_MAX);
}

static void
check_flood(void)
{
    assert(size > 0);
    for (uint32_t i = 0; i < size; i++) {
        memset(network.nodes[i].floods, 0, sizeof(network.nodes[i].floods));
    }
    for (uint32_t i = 0; i < FLOODS; i++) {
        Network_Flood(i % size, i);
    }
    int64_t took_us = Network_RunUntil(are_floods_delivered, 2 * SECOND_US);
    printf("  %u daemons, %d floods: %.2f s\n", size, FLOODS,
           (double)took_us / 1e6);
    CU_ASSERT_TRUE(took_us >= 0);
    Network_Run(2 * SECOND_US);
    for (uint32_t i = 0; i < size; i++) {
        for (uint32_t j = 0; j < FLOODS; j++) {
            CU_ASSERT_EQUAL(network.nodes[i].floods[j], i != j % size);
        }
    }
}

/* Guards against a daemon that asks itself, one that does not watch, or one in
 * another failure domain while its own has watchers, and against daemons that
 * all ask the same one first. */
static void
check_listed_watchers(void)
{
    GHashTable *first_names = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < size; i++) {
        const char *names[NETWORK_MAX];
        const EbMembership *membership = network.nodes[i].membership;
        char own_domain[16];
        snprintf(own_domain, sizeof(own_domain), "d%u", i % DOMAINS);
        size_t count =
            EbMembership_ListWatchers(membership, names, NETWORK_MAX);
        size_t expected =
            size <= EB_MEMBERSHIP_MESH_MAX
                ? size
                : MIN(DOMAINS, size) * EB_WATCHERS_PER_FAILURE_DOMAIN;
        CU_ASSERT_TRUE(count <= expected);
        CU_ASSERT_TRUE(count + 1 >= expected || size < 3 * DOMAINS);
        bool in_own_domain = true;
        for (size_t k = 0; k < count; k++) {
            EbMemberView view;
            CU_ASSERT_TRUE_FATAL(EbMembership_Find(membership, names[k],
                                                   network.now_us, &view));
            bool own = strcmp(view.failure_domain, own_domain) == 0;
            CU_ASSERT_TRUE(in_own_domain || !own);
            in_own_domain = own;
        }
        if (count > 0) {
            g_hash_table_add(first_names, (gpointer)names[0]);
        }
    }
    CU_ASSERT_TRUE(size <= EB_MEMBERSHIP_MESH_MAX ||
                   g_hash_table_size(first_names) >= DOMAINS);
    g_hash_table_destroy(first_names);
}

static void
check_watchers(void)
{
    check_listed_watchers();
    uint32_t watchers[DOMAINS] = {0};
    for (uint32_t i = 0; i < size; i++) {
        watchers[i % DOMAINS] +=
            EbMembership_IsWatcher(network.nodes[i].membership);
    }
    for (uint32_t i = 0; i < DOMAINS && i < size; i++) {
        uint32_t daemons = (size - i + DOMAINS - 1) / DOMAINS;
        CU_ASSERT_EQUAL(watchers[i],
                        size <= EB_MEMBERSHIP_MESH_MAX ||
                                daemons < EB_WATCHERS_PER_FAILURE_DOMAIN
                            ? daemons
                            : EB_WATCHERS_PER_FAILURE_DOMAIN);
    }
}

static bool
is_announced(void)
{
    for (uint32_t i = 1; i < size; i++) {
        if (network.nodes[i].announced != 9) {
            return false;
        }
    }
    return true;
}

static void
check_announced(void)
{
    EbMembership_SetGeneration(network.nodes[0].membership, 9);
    Network_Drain(0);
    int64_t took_us = Network_RunUntil(is_announced, 2 * SECOND_US);
    printf("  %u daemons, generation announced: %.2f s\n", size,
           (double)took_us / 1e6);
    CU_ASSERT_TRUE(took_us >= 0);
}

static void
check_deaths(void)
{
    Network_KillNode(size - 1);
    run_until_converged("one death", DEATH_MAX_US);
    Network_StartNode(size - 1);
    run_until_converged("its restart", 10 * SECOND_US);
    for (uint32_t i = 1; i < size; i += DOMAINS) {
        Network_KillNode(i);
    }
    run_until_converged("death of a failure domain", DEATH_MAX_US);
    for (uint32_t i = 1; i < size; i += DOMAINS) {
        Network_StartNode(i);
    }
    run_until_converged("its restart", 10 * SECOND_US);
}

static void
check_partition(void)
{
    for (uint32_t i = 0; i < size; i += 3) {
        network.nodes[i].side = 1;
    }
    /* Daemons on a side link to new neighbours as those on the other side are
     * declared dead. */
    run_until_converged("partition", 2 * DEATH_MAX_US);
    Network_Run(20 * SECOND_US);
    for (uint32_t i = 0; i < size; i++) {
        network.nodes[i].side = 0;
        network.nodes[i].bytes = 0;
    }
    run_until_converged("its healing", 10 * SECOND_US);
    uint64_t most = 0;
    for (uint32_t i = 0; i < size; i++) {
        most = network.nodes[i].bytes > most ? network.nodes[i].bytes : most;
    }
    printf("  %u daemons, healing: at most %" PRIu64 " bytes\n", size, most);
}

static void
run_scenario(uint32_t count)
{
    size = count;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    check_traffic();
    check_watchers();
    check_flood();
    check_announced();
    check_deaths();
    check_partition();
    Network_Run(5 * SECOND_US);
    check_flood();
    CU_ASSERT_TRUE(Network_IsConverged());
    Network_Stop();
}

/* Guards against daemons that disagree on which ones are live after deaths,
 * restarts and partitions, against floods that are lost, late or delivered
 * twice, and against control traffic above its limit. The four tests run the
 * smallest network, a mesh, the smallest ring and the design capacity. */
static void
test_two(void)
{
    run_scenario(2);
}

static void
test_mesh(void)
{
    run_scenario(8);
}

static void
test_small_ring(void)
{
    run_scenario(EB_MEMBERSHIP_MESH_MAX + 1);
}

static void
test_large_ring(void)
{
    run_scenario(NETWORK_MAX);
}

static EbMemberState
state_of(uint32_t viewer, const char *name)
{
    EbMemberView view;
    CU_ASSERT_TRUE(EbMembership_Find(network.nodes[viewer].membership, name,
                                     network.now_us, &view));
    return view.state;
}

/* Guards against a daemon that counts as dead although others reach it, while
 * one of its links keeps breaking or after a false record of its death. */
static void
test_refutation(void)
{
    size = 8;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    uint32_t changed = network.nodes[0].changed;
    for (int i = 0; i < 300; i++) {
        Network_CutLink(0, 1);
        Network_Run(SECOND_US / 10);
        CU_ASSERT_NOT_EQUAL(state_of(0, "n1"), EB_MEMBER_DEAD);
        CU_ASSERT_NOT_EQUAL(state_of(5, "n1"), EB_MEMBER_DEAD);
    }
    CU_ASSERT_EQUAL(network.nodes[0].changed, changed);
    EbMessageMember false_record = {"n1",           1,   "n1", "d1",
                                    EB_MEMBER_DEAD, 900, 0};
    EbMessage message = {.kind = EB_MESSAGE_MEMBERS,
                         .members = &false_record,
                         .member_count = 1};
    EbMembership_Receive(network.nodes[0].membership, "n2", &message,
                         network.now_us);
    Network_Drain(0);
    Network_Run(SECOND_US);
    for (uint32_t i = 0; i < size; i++) {
        CU_ASSERT_EQUAL(state_of(i, "n1"), EB_MEMBER_ALIVE);
    }
    Network_Stop();
}

/* Guards against a daemon that shuts down or is full and is still chosen as a
 * home, because the others do not learn its capacity, and against one that
 * gets no home again. */
static void
test_capacity(void)
{
    static const uint32_t capacities[] = {0, NETWORK_CAPACITY / 4,
                                          NETWORK_CAPACITY};
    Network_Start(8, SEED);
    Network_Run(2 * SECOND_US);
    EbMemberView view;
    CU_ASSERT_TRUE(EbMembership_Find(network.nodes[0].membership, "n3",
                                     network.now_us, &view));
    CU_ASSERT_EQUAL(view.capacity, NETWORK_CAPACITY);
    for (size_t row = 0; row < G_N_ELEMENTS(capacities); row++) {
        EbMembership_SetCapacity(network.nodes[3].membership, capacities[row],
                                 network.now_us);
        Network_Drain(3);
        Network_Run(SECOND_US / 10);
        for (uint32_t i = 0; i < 8; i++) {
            CU_ASSERT_TRUE(EbMembership_Find(network.nodes[i].membership, "n3",
                                             network.now_us, &view));
            CU_ASSERT_EQUAL(view.capacity, capacities[row]);
            CU_ASSERT_EQUAL(view.state, EB_MEMBER_ALIVE);
        }
    }
    Network_Stop();
}

/* Guards against daemons that stay dead to the others because their clock was
 * stepped back before they were restarted. */
static void
test_clock_stepped_back(void)
{
    enum { QUICK = 5, DEAD = 20, TWICE = 33 };
    static const uint64_t later = 3600ULL * SECOND_US;
    static const uint32_t nodes[] = {QUICK, DEAD, TWICE};
    size = 40;
    Network_Start(size, SEED);
    for (size_t i = 0; i < TABLE_COUNT(nodes); i++) {
        Network_KillNode(nodes[i]);
        Network_StartIncarnation(nodes[i], later);
    }
    Network_Run(10 * SECOND_US);
    run_until_converged("restarts", 10 * SECOND_US);
    Network_KillNode(DEAD);
    run_until_converged("one death", DEATH_MAX_US);
    Network_StartIncarnation(DEAD, 1);
    Network_KillNode(QUICK);
    Network_StartIncarnation(QUICK, 1);
    Network_KillNode(TWICE);
    Network_StartIncarnation(TWICE, 2);
    Network_Run(5 * SECOND_US);
    run_until_converged("restarts with earlier clocks", 10 * SECOND_US);
    Network_KillNode(TWICE);
    Network_StartIncarnation(TWICE, 1);
    Network_Run(5 * SECOND_US);
    run_until_converged("another such restart", 10 * SECOND_US);
    EbMemberView view;
    for (size_t i = 0; i < TABLE_COUNT(nodes); i++) {
        char name[16];
        snprintf(name, sizeof(name), "n%u", nodes[i]);
        CU_ASSERT_TRUE(EbMembership_Find(network.nodes[0].membership, name,
                                         network.now_us, &view));
        CU_ASSERT_EQUAL(view.state, EB_MEMBER_ALIVE);
        CU_ASSERT_EQUAL(view.incarnation, network.nodes[nodes[i]].incarnation);
        CU_ASSERT_TRUE(view.incarnation > later);
    }
    Network_Stop();
}

/* Guards against a leaving daemon that still counts as live, and against a
 * restarted daemon that counts as leaving because the platform's list lags. */
static void
test_leaving(void)
{
    size = 8;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    EbMembership_Leave(network.nodes[3].membership, network.now_us);
    Network_Drain(3);
    Network_Run(SECOND_US);
    const char *names[8];
    CU_ASSERT_EQUAL(state_of(0, "n3"), EB_MEMBER_LEAVING);
    CU_ASSERT_EQUAL(
        EbMembership_LiveInstances(network.nodes[0].membership, names, 8), 7);
    EbMessageMember listed[] = {{"n5", 0, "n5", "d5", EB_MEMBER_LEAVING, 0, 0},
                                {"n6", 0, "n6", "d6", EB_MEMBER_ALIVE, 0, 0}};
    EbMembership_SetListed(network.nodes[0].membership, listed, 2,
                           network.now_us);
    CU_ASSERT_EQUAL(state_of(0, "n5"), EB_MEMBER_LEAVING);
    CU_ASSERT_EQUAL(state_of(0, "n7"), EB_MEMBER_ALIVE); /* not on the list */
    Network_KillNode(5);
    Network_StartNode(5);
    Network_Run(5 * SECOND_US);
    EbMembership_SetListed(network.nodes[0].membership, listed, 2,
                           network.now_us);
    CU_ASSERT_EQUAL(state_of(0, "n5"), EB_MEMBER_ALIVE);
    Network_Stop();
}

/* Guards against floods that are dropped or delivered twice when they arrive
 * out of order, repeatedly, or from another incarnation of their origin. */
static void
test_duplicates(void)
{
    static const struct {
        uint64_t incarnation, sequence;
        bool delivered;
    } rows[] = {
        {2, 5, true},     {2, 5, false},    {2, 4, true},
        {2, 4, false},    {2, 1028, true},  {2, 5, false},
        {2, 6, true},     {2, 4, false},    {2, 90000, true},
        {2, 1028, false}, {2, 89999, true}, {1, 90001, false},
        {3, 1, true},     {3, 1, false},    {3, 0, false},
    };
    size = 2;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    uint8_t *deliveries = &network.nodes[0].floods[1];
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        EbMessage message = {.kind = EB_MESSAGE_SERVER_LEAVING,
                             .origin = "x",
                             .server = "s1",
                             .origin_incarnation = rows[i].incarnation,
                             .sequence = rows[i].sequence};
        *deliveries = 0;
        EbMembership_Receive(network.nodes[0].membership, "n1", &message,
                             network.now_us);
        CU_ASSERT_EQUAL(*deliveries, rows[i].delivered);
    }
    Network_Stop();
}

/* Guards against daemons that don't know what is quarantined since they
 * started later, also the one that had quarantined it before its restart. */
static void
test_quarantine_after_restart(void)
{
    enum { ORIGIN = 3, OTHER = 5 };
    size = 8;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    EbQuarantineEntry entry = {.fingerprint = 9,
                               .crashes = EB_QUARANTINE_CRASHES,
                               .state = EB_FINGERPRINT_QUARANTINED,
                               .remaining_us = EB_QUARANTINE_DURATION_US};
    EbMessage message = {
        .kind = EB_MESSAGE_QUARANTINE, .entries = &entry, .entry_count = 1};
    EbMembership_Flood(network.nodes[ORIGIN].membership, &message,
                       network.now_us);
    Network_Drain(ORIGIN);
    for (uint32_t i = 0; i < 100; i++) {
        Network_Flood(0, i % 64);
    }
    Network_Run(60 * SECOND_US);
    static const uint32_t restarted[] = {ORIGIN, OTHER};
    for (size_t i = 0; i < TABLE_COUNT(restarted); i++) {
        Network_KillNode(restarted[i]);
        Network_StartNode(restarted[i]);
        network.nodes[restarted[i]].quarantines = 0;
    }
    run_until_converged("restart", 10 * SECOND_US);
    for (uint32_t i = 0; i < size; i++) {
        CU_ASSERT_EQUAL(network.nodes[i].quarantines, 1);
    }
    Network_Stop();
}

/* Guards against a daemon that can be reached only by its neighbours, and
 * against links opened on demand that are never closed. */
static void
test_on_demand_links(void)
{
    size = EB_MEMBERSHIP_MESH_MAX * 2;
    Network_Start(size, SEED);
    run_until_converged("start", 10 * SECOND_US);
    Network_Run(40 * SECOND_US);
    EbMembership *membership = network.nodes[0].membership;
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_REQUEST, .generation = 3};
    uint32_t links[2] = {0, 0};
    for (int round = 0; round < 2; round++) {
        for (size_t i = 0; i < EbMembership_Count(membership); i++) {
            EbMemberView view;
            EbMembership_View(membership, i, network.now_us, &view);
            links[round] += view.linked;
            CU_ASSERT_EQUAL(EbMembership_Send(membership, view.instance,
                                              &message, network.now_us),
                            strcmp(view.instance, "n0") != 0);
            Network_Drain(0);
        }
        Network_Run(40 * SECOND_US);
        for (uint32_t i = 1; i < size; i++) {
            CU_ASSERT_EQUAL(network.nodes[i].direct, (uint32_t)round + 1);
        }
    }
    CU_ASSERT_EQUAL(links[0], links[1]);
    CU_ASSERT_FALSE(EbMembership_Send(membership, "n99", &message, 0));
    Network_Stop();
}

/* Opens links between a daemon and all others, as a home of work items has
 * them. */
static void
link_with_all(uint32_t hub)
{
    EbMessage message = {.kind = EB_MESSAGE_CONFIG_REQUEST, .generation = 3};
    for (uint32_t i = 0; i < network.count; i++) {
        char name[16];
        snprintf(name, sizeof(name), "n%u", i);
        EbMembership_Send(network.nodes[hub].membership, name, &message,
                          network.now_us);
        Network_Drain(hub);
    }
    Network_Run(SECOND_US);
}

/* Writes how many bytes a daemon has sent and received. */
static void
read_bytes(uint64_t *bytes)
{
    for (uint32_t i = 0; i < network.count; i++) {
        bytes[i] = network.nodes[i].bytes;
    }
}

/* Prints and returns the most bytes per second that a daemon spends on speeds
 * while the fleet learns those of twice as many servers. */
static double
measure_speeds(void)
{
    static uint64_t start[NETWORK_MAX], rest[NETWORK_MAX], end[NETWORK_MAX];
    link_with_all(0);
    read_bytes(start);
    Network_Run(10 * SECOND_US);
    read_bytes(rest);
    Speeds_Start(2 * size, 3, SEED);
    Speeds_Run(10 * SECOND_US);
    read_bytes(end);
    double sum = 0, most = 0;
    for (uint32_t i = 0; i < size; i++) {
        double bytes_per_s =
            ((double)(end[i] - rest[i]) - (double)(rest[i] - start[i])) / 10;
        sum += bytes_per_s;
        most = MAX(most, bytes_per_s);
    }
    printf("  %u daemons: %.0f bytes/s, at most %.0f\n", size, sum / size,
           most);
    return most;
}

/* Guards against traffic of SERVER_SPEEDS that grows with the daemons, or with
 * the links of a home, beyond 1% of 10 Mbit/s sent and as much received, and
 * against news that reaches the fleet late or not at all. */
static void
test_speeds(void)
{
    static const uint32_t sizes[] = {5, 30, 100, 300};
    for (size_t i = 0; i < TABLE_COUNT(sizes); i++) {
        size = sizes[i];
        Network_Start(size, SEED);
        run_until_converged("start", 20 * SECOND_US);
        Network_Run(40 * SECOND_US);
        CU_ASSERT_TRUE(measure_speeds() < 2 * 12500);
        Speeds_Run(10 * SECOND_US);
        double known = Speeds_Known();
        Speeds_Change(size - 1, 0);
        Speeds_Run(SPEED_NEWS_US);
        printf("  known %.3f, a change after %d s %.3f\n", known,
               (int)(SPEED_NEWS_US / SECOND_US), Speeds_KnownOf(0));
        CU_ASSERT_TRUE(known > 0.95);
        CU_ASSERT_TRUE(Speeds_KnownOf(0) > 0.95);
        Speeds_Stop();
        Network_Stop();
    }
}

/* Guards against a message that is dropped without notice to its sender since
 * a name in it is too long, with a link and without. */
static void
test_unsendable_message(void)
{
    size = 2;
    Network_Start(size, SEED);
    EbMembership *membership = network.nodes[0].membership;
    char service[200];
    memset(service, 'a', sizeof(service));
    service[sizeof(service) - 1] = '\0';
    EbMessage message = {.kind = EB_MESSAGE_PREPARE,
                         .job = 1,
                         .request_id = (char *)"r-1",
                         .service = service,
                         .piece_count = 1,
                         .piece_key = (char *)"key"};
    run_until_converged("start", 10 * SECOND_US);
    CU_ASSERT_FALSE(
        EbMembership_Send(membership, "n1", &message, network.now_us));
    message.service = (char *)"encode";
    CU_ASSERT_TRUE(
        EbMembership_Send(membership, "n1", &message, network.now_us));
    Network_Stop();
}

int
main(void)
{
    static const EbTestCase cases[] = {
        {"two daemons", test_two},
        {"mesh", test_mesh},
        {"small ring", test_small_ring},
        {"large ring", test_large_ring},
        {"refutation", test_refutation},
        {"leaving", test_leaving},
        {"capacity", test_capacity},
        {"capacity", test_capacity},
        {"duplicates", test_duplicates},
        {"quarantine after a restart", test_quarantine_after_restart},
        {"clock stepped back", test_clock_stepped_back},
        {"on-demand links", test_on_demand_links},
        {"ended daemons", LimitShares_TestEnded},
        {"daemons without power", LimitShares_TestPowerLoss},
        {"cut-off daemons", LimitShares_TestPartition},
        {"wrong refusal", LimitShares_TestWrongRefusal},
        {"unsendable message", test_unsendable_message},
        {"speeds", test_speeds},
    };
    return EbTest_Run("test_membership", cases, TABLE_COUNT(cases));
}
