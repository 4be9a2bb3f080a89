#include "cluster.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "test_runner.h"

#define STEP_US 1000
#define MESSAGE_DELAY_US 2000
#define REPORT_STAGGER_US (17LL * STEP_US) /* between neighbouring daemons */

typedef struct {
    int64_t due_us;
    uint32_t from;
    uint32_t to;
    bool is_grant;
    EbLimiterShare share;
} Message;

typedef struct {
    int64_t due_us;
    uint32_t daemon;
} RunningRequest;

void
Cluster_Init(Cluster *cluster, const ClusterOptions *options)
{
    memset(cluster, 0, sizeof(*cluster));
    cluster->options = *options;
    EbRandom_Init(&cluster->random, options->seed);
    cluster->customer =
        (EbConfigCustomer){.id = CUSTOMER, .contract = options->contract};
    cluster->config =
        (EbConfig){.customers = &cluster->customer, .customer_count = 1};
    cluster->central_bucket_level = options->contract.burst_requests;
    for (uint32_t i = 0; i < options->daemons; i++) {
        Daemon *daemon = &cluster->daemons[i];
        snprintf(daemon->name, sizeof(daemon->name), "i%u", i);
        daemon->weight = 1;
        daemon->granted = g_new0(Granted, options->daemons);
        daemon->limiter = EbLimiter_New(&(EbLimiterOptions){
            .instance = daemon->name, .config = &cluster->config});
    }
    Cluster_UpdateMembers(cluster);
}

void
Cluster_Clear(Cluster *cluster)
{
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        EbLimiter_Free(cluster->daemons[i].limiter);
        g_free(cluster->daemons[i].granted);
    }
    g_queue_clear_full(&cluster->messages, g_free);
    g_queue_clear_full(&cluster->running, g_free);
}

void
Cluster_Skew(Cluster *cluster, uint32_t first)
{
    uint32_t count = cluster->options.daemons;
    for (uint32_t i = 0; i < count; i++) {
        cluster->daemons[(first + i) % count].weight = 1.0 / (i + 1);
    }
}

void
Cluster_UpdateMembers(Cluster *cluster)
{
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        const char *names[MAX_DAEMONS];
        size_t count = 0;
        for (uint32_t j = 0; j < cluster->options.daemons; j++) {
            const Daemon *other = &cluster->daemons[j];
            if (!other->dead && other->side == cluster->daemons[i].side) {
                names[count++] = other->name;
            }
        }
        if (!cluster->daemons[i].dead) {
            EbLimiter_SetMembers(cluster->daemons[i].limiter, names, count,
                                 cluster->now_us);
        }
    }
}

static uint32_t
find_home(const Cluster *cluster, uint32_t index)
{
    const char *home =
        EbLimiter_Home(cluster->daemons[index].limiter, CUSTOMER);
    uint32_t number = 0;
    CU_ASSERT_EQUAL(sscanf(home, "i%u", &number), 1);
    return number;
}

uint32_t
Cluster_Home(const Cluster *cluster)
{
    return find_home(cluster, 0);
}

static void
send_message(Cluster *cluster, uint32_t from, uint32_t to, bool is_grant,
             const EbLimiterShare *share)
{
    Message *message = g_new0(Message, 1);
    *message = (Message){cluster->now_us + (from == to ? 0 : MESSAGE_DELAY_US),
                         from, to, is_grant, *share};
    /* Messages are ordered by due time, then by time of sending. A message
     * from a daemon to itself takes no time. */
    GList *later = cluster->messages.head;
    while (later != NULL &&
           ((Message *)later->data)->due_us <= message->due_us) {
        later = later->next;
    }
    g_queue_insert_before(&cluster->messages, later, message);
    cluster->message_count += from != to;
}

static void
report(Cluster *cluster, uint32_t index)
{
    uint32_t home = find_home(cluster, index);
    EbLimiterShare share;
    if (EbLimiter_WriteReport(cluster->daemons[index].limiter,
                              cluster->daemons[home].name, &share, 1,
                              cluster->now_us) == 1) {
        send_message(cluster, index, home, false, &share);
    }
}

/* Checks that the grants of one home that have not expired add up to at most
 * the contract plus the floors (limiter.h): a tenth of the rates, and one
 * request in flight for each daemon. Allows for the rounding of the rates. */
static void
check_grants(Cluster *cluster, uint32_t home)
{
    const EbContract *contract = &cluster->options.contract;
    double requests = 0, concurrent = 0, tokens = 0;
    uint32_t count = 0;
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        const Granted *granted = &cluster->daemons[home].granted[i];
        if (cluster->now_us < granted->until_us) {
            requests += (double)granted->share.requests_per_s_milli / 1000;
            concurrent += granted->share.concurrent_requests;
            tokens += (double)granted->share.tokens_per_s;
            count++;
        }
    }
    double limit = (double)contract->requests_per_s_milli / 1000;
    CU_ASSERT_TRUE(requests <= 1.1 * limit + 0.01);
    CU_ASSERT_TRUE(tokens <= 1.1 * (double)contract->tokens_per_s + 1);
    CU_ASSERT_TRUE(concurrent <= contract->concurrent_requests + count);
    cluster->peak_granted_fraction =
        fmax(cluster->peak_granted_fraction, requests / limit);
}

static void
send_grant(Cluster *cluster, uint32_t home, uint32_t to,
           const EbLimiterShare *grant)
{
    cluster->daemons[home].granted[to].share = *grant;
    check_grants(cluster, home);
    send_message(cluster, home, to, true, grant);
}

static void
deliver(Cluster *cluster, const Message *message)
{
    Daemon *to = &cluster->daemons[message->to];
    Daemon *from = &cluster->daemons[message->from];
    if (to->dead || from->side != to->side) {
        return;
    }
    if (message->is_grant) {
        EbLimiter_ApplyGrants(to->limiter, &message->share, 1,
                              cluster->now_us);
        return;
    }
    EbLimiterShare grant;
    size_t count = EbLimiter_AnswerReport(
        to->limiter, from->name, &message->share, 1, &grant, cluster->now_us);
    CU_ASSERT_TRUE(count <= 1);
    to->granted[message->from] =
        (Granted){.until_us = cluster->now_us + EB_LIMITER_GRANT_VALIDITY_US};
    if (count > 0) {
        send_grant(cluster, message->to, message->from, &grant);
    }
    const char *instance;
    while (EbLimiter_NextGrantChange(to->limiter, &instance, &grant,
                                     cluster->now_us)) {
        uint32_t number = 0;
        CU_ASSERT_EQUAL(sscanf(instance, "i%u", &number), 1);
        send_grant(cluster, message->to, number, &grant);
    }
}

static uint32_t
choose_daemon(Cluster *cluster)
{
    double total = 0;
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        const Daemon *daemon = &cluster->daemons[i];
        total += daemon->dead ? 0 : daemon->weight;
    }
    double draw =
        total * (double)EbRandom_Below(&cluster->random, 1 << 30) / (1 << 30);
    uint32_t last = 0;
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        const Daemon *daemon = &cluster->daemons[i];
        if (daemon->dead) {
            continue;
        }
        last = i;
        draw -= daemon->weight;
        if (draw < 0) {
            break;
        }
    }
    return last;
}

static void
offer(Cluster *cluster)
{
    uint32_t index = choose_daemon(cluster);
    Daemon *daemon = &cluster->daemons[index];
    cluster->offered++;
    if (cluster->central_bucket_level >= 1) {
        cluster->central_bucket_level -= 1;
        cluster->central_admitted++;
    }
    EbReason reason =
        EbLimiter_Admit(daemon->limiter, CUSTOMER, cluster->now_us, NULL);
    cluster->decisions[reason]++;
    if (reason == EB_REASON_NONE) {
        cluster->admitted++;
        RunningRequest *running = g_new0(RunningRequest, 1);
        *running = (RunningRequest){
            cluster->now_us + cluster->options.request_duration_us, index};
        g_queue_push_tail(&cluster->running, running);
    }
    if (EbLimiter_UrgentHome(daemon->limiter, cluster->now_us) != NULL) {
        report(cluster, index);
    }
}

static void
finish_requests(Cluster *cluster)
{
    RunningRequest *running;
    while ((running = g_queue_peek_head(&cluster->running)) != NULL &&
           running->due_us <= cluster->now_us) {
        const Daemon *daemon = &cluster->daemons[running->daemon];
        if (!daemon->dead) {
            EbLimiter_ChargeTokens(daemon->limiter, CUSTOMER,
                                   cluster->options.tokens, cluster->now_us);
            EbLimiter_EndRequest(daemon->limiter, CUSTOMER, cluster->now_us);
        }
        g_free(g_queue_pop_head(&cluster->running));
    }
}

static void
step(Cluster *cluster)
{
    const EbContract *contract = &cluster->options.contract;
    double limit = (double)contract->requests_per_s_milli / 1000;
    cluster->central_bucket_level =
        fmin(cluster->central_bucket_level + limit * STEP_US / 1e6,
             contract->burst_requests);
    Message *message;
    while ((message = g_queue_peek_head(&cluster->messages)) != NULL &&
           message->due_us <= cluster->now_us) {
        g_queue_pop_head(&cluster->messages);
        deliver(cluster, message);
        g_free(message);
    }
    finish_requests(cluster);
    /* The gaps of a Poisson process are exponentially distributed. */
    cluster->arrival_phase += cluster->options.offered_per_s * STEP_US / 1e6;
    while (cluster->arrival_phase > 0) {
        double draw = (double)(EbRandom_Below(&cluster->random, 1 << 30) + 1);
        offer(cluster);
        cluster->arrival_phase += log(draw / (1 << 30));
    }
    for (uint32_t i = 0; i < cluster->options.daemons; i++) {
        int64_t phase_us = cluster->now_us + (int64_t)i * REPORT_STAGGER_US;
        if (!cluster->daemons[i].dead &&
            phase_us % EB_LIMITER_REPORT_INTERVAL_US == 0) {
            report(cluster, i);
        }
    }
}

void
Cluster_Run(Cluster *cluster, int64_t duration_us)
{
    int64_t end_us = cluster->now_us + duration_us;
    for (; cluster->now_us < end_us; cluster->now_us += STEP_US) {
        step(cluster);
    }
}

double
Cluster_AdmittedFraction(const Cluster *cluster)
{
    assert(cluster->offered > 0);
    return (double)cluster->admitted / (double)cluster->offered;
}
