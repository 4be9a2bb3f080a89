/* Measures membership in the in-memory network of src/test_membership:
 * messages, bytes and processor time per daemon at rest, after the loss of a
 * failure domain and per flooded message, and the time until all views agree.
 *
 * Processor time is that of EbMembership_Receive, EbMembership_Tick,
 * EbMembership_LinkUp, EbMembership_LinkDown and EbMessage_Decode, which the
 * linker wraps here; the time of the network itself does not count. Keyed
 * hashes and sockets belong to EbPeerLink and are not included.
 *
 * Usage: measure_membership [DAEMONS...]
 *        measure_membership --reports DAEMONS REPORTS
 *        measure_membership --speeds DAEMONS SERVERS CALLS
 *
 * In the second form each daemon sends REPORTS usage reports per second to
 * home daemons chosen at random, each answered by a grant. This is the traffic
 * of customers whose requests are spread over all daemons. In the third form
 * each daemon measures the speeds of servers by CALLS calls per second, and
 * tells others what is news; the first daemon has links to all others. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "network.h"
#include "speeds.h"

#define SECOND_US 1000000LL
#define REST_S 10
#define LOSS_S 30
#define FLOODS 20
#define RUNS 3
#define REPORT_WARM_UP_S 40 /* longer than idle links stay open */
#define REPORT_S 3
#define SPEEDS_S 10
#define SPEEDS_PERIODS 4
#define STEP_US 10000
#define CALIBRATION_READINGS 100000
#define ANNOUNCED_GENERATION 9 /* any number above 0 */

static int64_t spent_ns;
static int64_t clock_ns; /* time that one pair of clock readings takes */
static uint32_t daemon_count;
static int depth; /* of nested measured calls */

static int64_t
processor_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static int64_t
begin(void)
{
    depth++;
    return depth == 1 ? processor_ns() : 0;
}

static void
end(int64_t start_ns)
{
    depth--;
    if (depth == 0) {
        spent_ns += processor_ns() - start_ns - clock_ns;
    }
}

void __real_EbMembership_Receive(EbMembership *membership, const char *peer,
                                 const EbMessage *message, int64_t now_us);
void __wrap_EbMembership_Receive(EbMembership *membership, const char *peer,
                                 const EbMessage *message, int64_t now_us);
void
__wrap_EbMembership_Receive(EbMembership *membership, const char *peer,
                            const EbMessage *message, int64_t now_us)
{
    int64_t start_ns = begin();
    __real_EbMembership_Receive(membership, peer, message, now_us);
    end(start_ns);
}

void __real_EbMembership_Tick(EbMembership *membership, int64_t now_us);
void __wrap_EbMembership_Tick(EbMembership *membership, int64_t now_us);
void
__wrap_EbMembership_Tick(EbMembership *membership, int64_t now_us)
{
    int64_t start_ns = begin();
    __real_EbMembership_Tick(membership, now_us);
    end(start_ns);
}

void __real_EbMembership_LinkUp(EbMembership *membership, const char *peer,
                                uint64_t incarnation, const char *address,
                                int64_t now_us);
void __wrap_EbMembership_LinkUp(EbMembership *membership, const char *peer,
                                uint64_t incarnation, const char *address,
                                int64_t now_us);
void
__wrap_EbMembership_LinkUp(EbMembership *membership, const char *peer,
                           uint64_t incarnation, const char *address,
                           int64_t now_us)
{
    int64_t start_ns = begin();
    __real_EbMembership_LinkUp(membership, peer, incarnation, address, now_us);
    end(start_ns);
}

void __real_EbMembership_LinkDown(EbMembership *membership, const char *peer,
                                  int64_t now_us);
void __wrap_EbMembership_LinkDown(EbMembership *membership, const char *peer,
                                  int64_t now_us);
void
__wrap_EbMembership_LinkDown(EbMembership *membership, const char *peer,
                             int64_t now_us)
{
    int64_t start_ns = begin();
    __real_EbMembership_LinkDown(membership, peer, now_us);
    end(start_ns);
}

EbMessage *__real_EbMessage_Decode(const uint8_t *bytes, size_t byte_count,
                                   EbError *error);
EbMessage *__wrap_EbMessage_Decode(const uint8_t *bytes, size_t byte_count,
                                   EbError *error);
EbMessage *
__wrap_EbMessage_Decode(const uint8_t *bytes, size_t byte_count,
                        EbError *error)
{
    int64_t start_ns = begin();
    EbMessage *message = __real_EbMessage_Decode(bytes, byte_count, error);
    end(start_ns);
    return message;
}

static void
calibrate(void)
{
    int64_t start_ns = processor_ns();
    for (int i = 0; i < CALIBRATION_READINGS; i++) {
        processor_ns();
    }
    clock_ns = (processor_ns() - start_ns) / CALIBRATION_READINGS;
}

static void
reset(void)
{
    spent_ns = 0;
    for (uint32_t i = 0; i < daemon_count; i++) {
        network.nodes[i].messages = network.nodes[i].bytes = 0;
    }
}

/* Prints traffic and processor time per running daemon since the last reset.
 */
static void
print_use(const char *step, double seconds)
{
    uint64_t messages = 0, bytes = 0, most = 0;
    uint32_t running = 0;
    for (uint32_t i = 0; i < daemon_count; i++) {
        const Node *node = &network.nodes[i];
        if (node->running) {
            running++;
            messages += node->messages;
            bytes += node->bytes;
            most = node->bytes > most ? node->bytes : most;
        }
    }
    printf("%u daemons, %s, each: %.1f messages/s, %.0f bytes/s (at most "
           "%.0f), %.1f us/s\n",
           daemon_count, step, (double)messages / seconds / running,
           (double)bytes / seconds / running, (double)most / seconds,
           (double)spent_ns / 1000 / seconds / running);
    fflush(stdout);
}

static bool
is_flooded(void)
{
    for (uint32_t i = 0; i < daemon_count; i++) {
        for (uint32_t j = 0; j < FLOODS; j++) {
            if (network.nodes[i].running && i != j % daemon_count &&
                network.nodes[i].floods[j] == 0) {
                return false;
            }
        }
    }
    return true;
}

static void
measure_floods(void)
{
    reset();
    for (uint32_t i = 0; i < FLOODS; i++) {
        Network_Flood(i % daemon_count, i);
    }
    int64_t took_us = Network_RunUntil(is_flooded, 5 * SECOND_US);
    int64_t flood_ns = spent_ns;
    uint64_t messages = 0, bytes = 0;
    for (uint32_t i = 0; i < daemon_count; i++) {
        messages += network.nodes[i].messages;
        bytes += network.nodes[i].bytes;
    }
    printf("%u daemons, %d floods at once: %.2f s, each flood at each daemon "
           "%.2f messages, %.0f bytes, %.1f us\n",
           daemon_count, FLOODS, (double)took_us / 1e6,
           (double)messages / FLOODS / daemon_count,
           (double)bytes / FLOODS / daemon_count,
           (double)flood_ns / 1000 / FLOODS / daemon_count);
}

static bool
is_announced(void)
{
    for (uint32_t i = 1; i < daemon_count; i++) {
        if (network.nodes[i].announced != ANNOUNCED_GENERATION) {
            return false;
        }
    }
    return true;
}

static void
measure_size(uint64_t seed)
{
    Network_Start(daemon_count, seed);
    reset();
    int64_t took_us = Network_RunUntil(Network_IsConverged, 60 * SECOND_US);
    printf("%u daemons, all started at once: converged in %.2f s, %.0f us "
           "each\n",
           daemon_count, (double)took_us / 1e6,
           (double)spent_ns / 1000 / daemon_count);
    Network_Run(
        40 * SECOND_US); /* until the links of the start are closed as idle */
    reset();
    Network_Run(REST_S * SECOND_US);
    print_use("at rest", REST_S);
    measure_floods();
    EbMembership_SetGeneration(network.nodes[0].membership,
                               ANNOUNCED_GENERATION);
    Network_Drain(0);
    took_us = Network_RunUntil(is_announced, 5 * SECOND_US);
    printf("%u daemons: a generation is announced to all in %.2f s\n",
           daemon_count, (double)took_us / 1e6);
    reset();
    for (uint32_t i = 0; i < daemon_count; i += DOMAINS) {
        Network_KillNode(i);
    }
    took_us = Network_RunUntil(Network_IsConverged, LOSS_S * SECOND_US);
    printf("%u daemons, a failure domain lost: converged in %.2f s\n",
           daemon_count, (double)took_us / 1e6);
    if (took_us >= 0) {
        Network_Run(LOSS_S * SECOND_US - took_us);
    }
    print_use("30 s after the loss", LOSS_S);
    Network_Stop();
}

/* Sends one message with a share to another daemon. */
static void
send_share(uint32_t from, uint32_t to, EbMessageKind kind)
{
    char name[16];
    snprintf(name, sizeof(name), "n%u", to);
    EbMessageShare share = {(char *)"customer-17", 12000, 4, 2000};
    EbMessage message = {.kind = kind, .shares = &share, .share_count = 1};
    int64_t start_ns = begin();
    EbMembership_Send(network.nodes[from].membership, name, &message,
                      network.now_us);
    end(start_ns);
    Network_Drain(from);
}

static void
run_reports(EbRandom *random, double reports_per_s, int64_t time_us)
{
    double due = 0;
    for (int64_t us = 0; us < time_us; us += STEP_US) {
        due += reports_per_s * daemon_count * STEP_US / SECOND_US;
        uint32_t count = (uint32_t)due;
        due -= count;
        for (uint32_t i = 0; i < count; i++) {
            uint32_t from = (uint32_t)EbRandom_Below(random, daemon_count);
            uint32_t to = (uint32_t)EbRandom_Below(random, daemon_count - 1);
            to += to >= from;
            send_share(from, to, EB_MESSAGE_USAGE);
            send_share(to, from, EB_MESSAGE_GRANT);
        }
        Network_Run(STEP_US);
    }
}

static void
measure_reports(double reports_per_s)
{
    EbRandom random;
    EbRandom_Init(&random, 20260402);
    Network_Start(daemon_count, 20260402);
    Network_RunUntil(Network_IsConverged, 60 * SECOND_US);
    run_reports(&random, reports_per_s, REPORT_WARM_UP_S * SECOND_US);
    reset();
    run_reports(&random, reports_per_s, REPORT_S * SECOND_US);
    char step[64];
    snprintf(step, sizeof(step), "%.1f reports/s each", reports_per_s);
    print_use(step, REPORT_S);
    uint64_t links = 0;
    for (uint32_t i = 0; i < daemon_count; i++) {
        EbMemberView view;
        size_t count = EbMembership_Count(network.nodes[i].membership);
        for (size_t j = 0; j < count; j++) {
            EbMembership_View(network.nodes[i].membership, j, network.now_us,
                              &view);
            links += view.linked;
        }
    }
    printf("%u daemons, %.1f reports/s each: %.1f links each\n", daemon_count,
           reports_per_s, (double)links / daemon_count);
    Network_Stop();
}

/* Opens links between a daemon and all others, as a home of work items has
 * them. */
static void
link_with_all(uint32_t hub)
{
    for (uint32_t i = 0; i < daemon_count; i++) {
        if (i != hub) {
            send_share(hub, i, EB_MESSAGE_USAGE);
        }
    }
    Network_Run(SECOND_US);
}

static void
measure_speeds(uint32_t servers, double calls_per_s)
{
    Network_Start(daemon_count, 20260402);
    Network_RunUntil(Network_IsConverged, 60 * SECOND_US);
    Network_Run(40 * SECOND_US);
    link_with_all(0);
    reset();
    Network_Run(SPEEDS_S * SECOND_US);
    print_use("without speeds", SPEEDS_S);
    Speeds_Start(servers, calls_per_s, 20260402);
    for (int i = 0; i < SPEEDS_PERIODS; i++) {
        link_with_all(0);
        reset();
        Speeds_Run(SPEEDS_S * SECOND_US);
        char step[64];
        snprintf(step, sizeof(step), "speeds of %u servers, %d s", servers,
                 (i + 1) * SPEEDS_S);
        print_use(step, SPEEDS_S);
        printf("%u daemons, speeds known: %.3f\n", daemon_count,
               Speeds_Known());
    }
    Speeds_Change(1, 0);
    Speeds_Run(SPEEDS_S * SECOND_US);
    printf("%u daemons, a change known after %d s: %.3f\n", daemon_count,
           SPEEDS_S, Speeds_KnownOf(0));
    Speeds_Stop();
    Network_Stop();
}

int
main(int argc, char **argv)
{
    static const uint32_t sizes[] = {8, 17, 64, NETWORK_MAX};
    calibrate();
    printf("one pair of clock readings: %" PRId64 " ns, subtracted\n",
           clock_ns);
    if (argc == 4 && strcmp(argv[1], "--reports") == 0) {
        daemon_count = (uint32_t)strtoul(argv[2], NULL, 10);
        measure_reports(strtod(argv[3], NULL));
        return 0;
    }
    if (argc == 5 && strcmp(argv[1], "--speeds") == 0) {
        daemon_count = (uint32_t)strtoul(argv[2], NULL, 10);
        measure_speeds((uint32_t)strtoul(argv[3], NULL, 10),
                       strtod(argv[4], NULL));
        return 0;
    }
    for (int run = 0; run < RUNS; run++) {
        for (int i = 0; i < (argc > 1 ? argc - 1 : 4); i++) {
            daemon_count =
                argc > 1 ? (uint32_t)strtoul(argv[1 + i], NULL, 10) : sizes[i];
            if (daemon_count < 4 || daemon_count > NETWORK_MAX) {
                fprintf(stderr, "the number of daemons must be 4 to %d\n",
                        NETWORK_MAX);
                return 1;
            }
            measure_size(20260402 + (uint64_t)run);
        }
    }
    return 0;
}
