#include "speeds.h"

#include <stdio.h>
#include <stdlib.h>

#include <glib.h>

#define SECOND_US INT64_C(1000000)
#define STEP_US 10000
#define SLOW_US 40000
#define FAST_US 20000
#define NEAR_FACTOR 1.5

static EbServerSpeed *speeds; /* by daemon and server */
static uint32_t servers;
static double *intervals_us; /* true ones, by server */
static double calls_per_s, calls_due;
static int64_t next_us[NETWORK_MAX]; /* report of a daemon */
static EbRandom random_numbers;

static EbServerSpeed *
find(uint32_t daemon, uint32_t server)
{
    return &speeds[(size_t)daemon * servers + server];
}

static void
on_speeds(uint32_t daemon, const EbMessage *message, int64_t now_us)
{
    for (uint32_t i = 0; i < message->speed_count; i++) {
        uint32_t server =
            (uint32_t)strtoul(message->speeds[i].server_id + 7, NULL, 10);
        EbServerSpeed_Merge(find(daemon, server), &message->speeds[i], now_us);
    }
}

void
Speeds_Start(uint32_t server_count, double calls, uint64_t seed)
{
    EbRandom_Init(&random_numbers, seed);
    servers = server_count;
    calls_per_s = calls;
    calls_due = 0;
    speeds = g_new0(EbServerSpeed, (gsize)network.count * servers);
    intervals_us = g_new(double, servers);
    for (uint32_t i = 0; i < servers; i++) {
        intervals_us[i] = i % 2 == 0 ? SLOW_US : FAST_US;
    }
    for (uint32_t i = 0; i < network.count; i++) {
        next_us[i] = network.now_us;
    }
    network.on_speeds = on_speeds;
}

void
Speeds_Stop(void)
{
    network.on_speeds = NULL;
    g_free(speeds);
    g_free(intervals_us);
}

static void
observe(uint32_t daemon, uint32_t server)
{
    double noise = 0.95 + (double)EbRandom_Below(&random_numbers, 100) / 1000;
    EbServerSpeed_Observe(find(daemon, server), intervals_us[server] * noise,
                          network.now_us);
}

static void
report(uint32_t daemon)
{
    static char ids[EB_SPEED_REPORTS_MAX][24];
    EbSpeedReport reports[EB_SPEED_REPORTS_MAX];
    uint32_t count = 0;
    for (uint32_t i = 0; i < servers && count < EB_SPEED_REPORTS_MAX; i++) {
        if (EbServerSpeed_TakeReport(find(daemon, i), &reports[count],
                                     network.now_us)) {
            snprintf(ids[count], sizeof(ids[count]), "engine-%u", i);
            reports[count].server_id = ids[count];
            count++;
        }
    }
    if (count == 0) {
        return;
    }
    EbMessage message = {.kind = EB_MESSAGE_SERVER_SPEEDS,
                         .speeds = reports,
                         .speed_count = count};
    EbMembership_SendToNeighbours(network.nodes[daemon].membership, &message,
                                  EB_SPEED_REPORT_LINKS);
    Network_Drain(daemon);
}

void
Speeds_Run(int64_t time_us)
{
    for (int64_t us = 0; us < time_us; us += STEP_US) {
        calls_due += calls_per_s * network.count * STEP_US / SECOND_US;
        uint32_t calls = (uint32_t)calls_due;
        calls_due -= calls;
        for (uint32_t i = 0; i < calls; i++) {
            observe((uint32_t)EbRandom_Below(&random_numbers, network.count),
                    (uint32_t)EbRandom_Below(&random_numbers, servers));
        }
        for (uint32_t i = 0; i < network.count; i++) {
            if (network.now_us >= next_us[i]) {
                next_us[i] = network.now_us + EB_SPEED_REPORT_INTERVAL_US / 2 +
                             (int64_t)EbRandom_Below(
                                 &random_numbers, EB_SPEED_REPORT_INTERVAL_US);
                report(i);
            }
        }
        Network_Run(STEP_US);
    }
}

void
Speeds_Change(uint32_t daemon, uint32_t server)
{
    intervals_us[server] /= 2;
    observe(daemon, server);
}

double
Speeds_KnownOf(uint32_t server)
{
    uint32_t known = 0;
    for (uint32_t i = 0; i < network.count; i++) {
        double interval_us = find(i, server)->piece_interval_us;
        known += interval_us > intervals_us[server] / NEAR_FACTOR &&
                 interval_us < intervals_us[server] * NEAR_FACTOR;
    }
    return (double)known / network.count;
}

double
Speeds_Known(void)
{
    double sum = 0;
    for (uint32_t i = 0; i < servers; i++) {
        sum += Speeds_KnownOf(i);
    }
    return sum / servers;
}
