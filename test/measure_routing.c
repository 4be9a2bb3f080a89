/* Prints the time per operation and the memory of the queue, the pool, the
 * prefix index and the limiter for several numbers of servers, customers,
 * waiting entries and daemons. Every row takes about 50 ms of processor time.
 * Build without sanitizers. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "ebonyhollow/limiter.h"
#include "ebonyhollow/pool.h"
#include "ebonyhollow/prefix_index.h"
#include "ebonyhollow/queue.h"

#define ROW_NS 50000000
#define BATCH 256 /* operations between two readings of the clock */
#define NAME_BYTES 16
#define MAX_NAMES 660
#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

static char names[MAX_NAMES][NAME_BYTES];
static EbRandom random_state;

static int64_t
processor_ns(void)
{
    struct timespec now;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static size_t
allocated_bytes(void)
{
    return mallinfo2().uordblks;
}

/* Runs an operation for ROW_NS and returns the nanoseconds that one takes. */
static double
measure(void (*operation)(void *context, uint64_t round), void *context)
{
    uint64_t rounds = 0;
    int64_t start_ns = processor_ns();
    int64_t elapsed_ns;
    do {
        for (int i = 0; i < BATCH; i++) {
            operation(context, rounds++);
        }
        elapsed_ns = processor_ns() - start_ns;
    } while (elapsed_ns < ROW_NS);
    return (double)elapsed_ns / (double)rounds;
}

static void
print_row(const char *operation, double ns, size_t bytes)
{
    printf("%-58s %10.0f ns", operation, ns);
    if (bytes > 0) {
        printf(" %10zu bytes", bytes);
    }
    printf("\n");
}

typedef struct {
    EbQueue *queue;
    uint32_t customers;
    uint64_t next_id;
} QueueCase;

static void
push_one(QueueCase *row)
{
    uint64_t id = row->next_id++;
    EbQueueEntry entry = {
        .id = id,
        .customer = names[EbRandom_Below(&random_state, row->customers)],
        .weight = 1 + (uint32_t)(id % 4),
        .cost = 1 + (uint32_t)EbRandom_Below(&random_state, 100),
        .deadline_us =
            1000000 + (int64_t)EbRandom_Below(&random_state, 11000000),
        .needed_us = 1000,
    };
    EbQueue_Push(row->queue, &entry, 0);
}

static void
push_and_pop(void *context, uint64_t round)
{
    (void)round;
    QueueCase *row = context;
    push_one(row);
    EbQueueEntry entry;
    EbQueue_Pop(row->queue, 0, &entry);
}

static void
measure_queue(void)
{
    static const uint32_t waiting[] = {10, 100, 1000, 4095};
    static const uint32_t customers[] = {5, 50, 400};
    for (size_t i = 0; i < TABLE_COUNT(waiting); i++) {
        for (size_t j = 0; j < TABLE_COUNT(customers); j++) {
            size_t before = allocated_bytes();
            QueueCase row = {EbQueue_New(&(EbQueueOptions){0}), customers[j],
                             1};
            for (uint32_t k = 0; k < waiting[i]; k++) {
                push_one(&row);
            }
            size_t bytes = allocated_bytes() - before;
            char label[80];
            snprintf(label, sizeof(label),
                     "queue push and pop, %u waiting, %u customers",
                     waiting[i], customers[j]);
            print_row(label, measure(push_and_pop, &row), bytes);
            EbQueue_Free(row.queue);
        }
    }
}

typedef struct {
    EbPool *pool;
    EbConfig config;
    EbConfigPool pool_config;
    EbConfigBackendServer servers[MAX_NAMES];
    uint32_t indexes[MAX_NAMES];
    const char *in_flight[MAX_NAMES];
    uint32_t in_flight_count;
} PoolCase;

static void
init_pool(PoolCase *row, uint32_t servers, uint32_t subset)
{
    static char domains[8][4] = {"d0", "d1", "d2", "d3",
                                 "d4", "d5", "d6", "d7"};
    memset(row, 0, sizeof(*row));
    for (uint32_t i = 0; i < servers; i++) {
        row->indexes[i] = i;
        row->servers[i] = (EbConfigBackendServer){
            .id = names[i], .failure_domain = domains[i % 8], .capacity = 4};
    }
    row->pool_config = (EbConfigPool){.name = "pool",
                                      .server_indexes = row->indexes,
                                      .server_count = servers,
                                      .subset_size = subset,
                                      .service_estimate_us = 50000};
    row->config = (EbConfig){.pools = &row->pool_config,
                             .pool_count = 1,
                             .servers = row->servers,
                             .server_count = servers};
    row->pool = EbPool_New(&(EbPoolOptions){.config = &row->config,
                                            .instance = "i0",
                                            .failure_domain = "d0",
                                            .random = &random_state},
                           NULL);
}

/* One call with its load report; about one call per server is in flight. */
static void
begin_and_end(void *context, uint64_t round)
{
    PoolCase *row = context;
    int64_t now_us = (int64_t)round * 100;
    const EbConfigBackendServer *server =
        EbPool_BeginCall(row->pool, &(EbPoolCriteria){0}, now_us);
    size_t slot = round % EbPool_ServerCount(row->pool);
    const char *ended = row->in_flight[slot];
    row->in_flight[slot] = server != NULL ? server->id : NULL;
    if (ended != NULL) {
        EbPool_ReportLoad(row->pool, ended, 2, 0, now_us - 1000, now_us);
        EbPool_EndCall(row->pool, ended, EB_CALL_OK,
                       40000 + (int64_t)(round % 64) * 300, now_us);
    }
}

static void
begin_without_slot(void *context, uint64_t round)
{
    PoolCase *row = context;
    EbPool_BeginCall(row->pool, &(EbPoolCriteria){0}, (int64_t)round);
}

static void
predict(void *context, uint64_t round)
{
    PoolCase *row = context;
    EbPool_PredictLatency(row->pool, round & 63, (int64_t)round);
}

static void
tick_pool(void *context, uint64_t round)
{
    PoolCase *row = context;
    EbPool_Tick(row->pool, (int64_t)round);
}

static void
set_leaving(void *context, uint64_t round)
{
    PoolCase *row = context;
    EbPool_SetLeaving(row->pool, names[1], (round & 1) == 0, (int64_t)round);
}

static void
measure_pool(void)
{
    static const struct {
        uint32_t servers, subset;
    } rows[] = {{8, 0}, {64, 0}, {64, 20}, {660, 0}, {660, 20}};
    static const struct {
        const char *name;
        void (*operation)(void *context, uint64_t round);
    } operations[] = {{"choice, report and end", begin_and_end},
                      {"prediction", predict},
                      {"tick", tick_pool},
                      {"leaving mark", set_leaving}};
    static PoolCase row;
    for (size_t i = 0; i < TABLE_COUNT(rows); i++) {
        size_t before = allocated_bytes();
        init_pool(&row, rows[i].servers, rows[i].subset);
        size_t bytes = allocated_bytes() - before;
        char label[80];
        for (size_t j = 0; j < TABLE_COUNT(operations); j++) {
            snprintf(label, sizeof(label), "pool %s, %u servers, subset %u",
                     operations[j].name, rows[i].servers, rows[i].subset);
            print_row(label, measure(operations[j].operation, &row),
                      j == 0 ? bytes : 0);
        }
        while (EbPool_BeginCall(row.pool, &(EbPoolCriteria){0}, 0) != NULL) {
        }
        snprintf(label, sizeof(label),
                 "pool choice without a free slot, %u servers, subset %u",
                 rows[i].servers, rows[i].subset);
        print_row(label, measure(begin_without_slot, &row), 0);
        EbPool_Free(row.pool);
    }
}

#define PROMPT_BYTES 8192

typedef struct {
    EbPrefixIndex *prefixes;
    uint32_t servers;
    char prompt[PROMPT_BYTES];
} PrefixCase;

/* Chooses one of 4,096 prompts, each of which shares its first 2 KB with 63
 * others. */
static void
change_prompt(PrefixCase *row, uint64_t round)
{
    uint64_t number = round * 2654435761u % 4096;
    snprintf(row->prompt, NAME_BYTES, "%u", (unsigned)(number / 64));
    snprintf(row->prompt + 2048, NAME_BYTES, "%u", (unsigned)number);
}

static void
record_prompt(void *context, uint64_t round)
{
    PrefixCase *row = context;
    change_prompt(row, round);
    EbPrefixIndex_RecordRouting(
        row->prefixes, row->prompt, PROMPT_BYTES,
        names[EbRandom_Below(&random_state, row->servers)], (int64_t)round);
}

static void
find_prompt(void *context, uint64_t round)
{
    PrefixCase *row = context;
    change_prompt(row, round);
    EbPrefixIndex_FindServer(row->prefixes, row->prompt, PROMPT_BYTES,
                             (int64_t)round, NULL);
}

static void
cache_event(void *context, uint64_t round)
{
    PrefixCase *row = context;
    EbPrefixIndex_CacheEvent(row->prefixes, "events", round + 1,
                             round / 2 * 7919, (round & 1) == 0, 0);
}

static void
measure_prefix(void)
{
    static const uint32_t servers[] = {8, 64, 660};
    static PrefixCase row;
    for (size_t i = 0; i < TABLE_COUNT(servers); i++) {
        memset(row.prompt, 'x', sizeof(row.prompt));
        size_t before = allocated_bytes();
        row.prefixes = EbPrefixIndex_New(&(EbPrefixIndexOptions){0});
        row.servers = servers[i];
        char label[80];
        for (uint64_t round = 0; round < 8192; round++) {
            record_prompt(&row, round);
        }
        size_t bytes = allocated_bytes() - before;
        snprintf(label, sizeof(label),
                 "prefix record of 32 blocks, %u servers, full", servers[i]);
        print_row(label, measure(record_prompt, &row), bytes);
        snprintf(label, sizeof(label),
                 "prefix search of 32 blocks, %u servers", servers[i]);
        print_row(label, measure(find_prompt, &row), 0);
        snprintf(label, sizeof(label), "prefix cache event, %u servers",
                 servers[i]);
        print_row(label, measure(cache_event, &row), 0);
        int64_t start_ns = processor_ns();
        EbPrefixIndex_RemoveServer(row.prefixes, names[0]);
        snprintf(label, sizeof(label), "prefix removal of one of %u servers",
                 servers[i]);
        print_row(label, (double)(processor_ns() - start_ns), 0);
        EbPrefixIndex_Free(row.prefixes);
    }
}

typedef struct {
    EbLimiter *limiter;
    EbConfig config;
    EbConfigCustomer customers[MAX_NAMES];
    uint32_t daemons;
    EbLimiterShare shares[MAX_NAMES];
} LimiterCase;

static void
init_limiter(LimiterCase *row, uint32_t customers, uint32_t daemons)
{
    memset(row, 0, sizeof(*row));
    for (uint32_t i = 0; i < customers; i++) {
        row->customers[i] =
            (EbConfigCustomer){.id = names[i],
                               .contract = {.weight = 1,
                                            .requests_per_s_milli = 100000,
                                            .burst_requests = 100,
                                            .concurrent_requests = 64,
                                            .tokens_per_s = 50000}};
    }
    row->config =
        (EbConfig){.customers = row->customers, .customer_count = customers};
    row->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = names[0], .config = &row->config});
    const char *instances[MAX_NAMES];
    for (uint32_t i = 0; i < daemons; i++) {
        instances[i] = names[i];
    }
    EbLimiter_SetMembers(row->limiter, instances, daemons, 0);
    row->daemons = daemons;
}

static void
admit_and_finish(void *context, uint64_t round)
{
    LimiterCase *row = context;
    int64_t now_us = (int64_t)round * 150;
    const char *customer =
        names[EbRandom_Below(&random_state, row->config.customer_count)];
    if (EbLimiter_Admit(row->limiter, customer, now_us, NULL) ==
        EB_REASON_NONE) {
        EbLimiter_ChargeTokens(row->limiter, customer, 20, now_us);
        EbLimiter_EndRequest(row->limiter, customer, now_us);
    }
}

/* One report interval of a daemon: reports of all customers to all homes. */
static void
report_all(void *context, uint64_t round)
{
    LimiterCase *row = context;
    int64_t now_us = (int64_t)round * EB_LIMITER_REPORT_INTERVAL_US;
    for (uint32_t i = 0; i < row->config.customer_count; i++) {
        EbLimiter_Admit(row->limiter, names[i], now_us, NULL);
        EbLimiter_EndRequest(row->limiter, names[i], now_us);
    }
    for (uint32_t i = 0; i < row->daemons; i++) {
        EbLimiter_WriteReport(row->limiter, names[i], row->shares, MAX_NAMES,
                              now_us);
    }
}

/* One report of one customer, answered by its home, and the changed grants of
 * other daemons. */
static void
answer_report(void *context, uint64_t round)
{
    LimiterCase *row = context;
    int64_t now_us = (int64_t)(round * 1000000 / row->daemons);
    EbLimiterShare share = {.customer = names[0],
                            .requests_per_s_milli =
                                100 + EbRandom_Below(&random_state, 900),
                            .concurrent_requests = 1,
                            .tokens_per_s = 100};
    EbLimiterShare grant;
    const char *instance;
    EbLimiter_AnswerReport(row->limiter, names[round % row->daemons], &share,
                           1, &grant, now_us);
    while (
        EbLimiter_NextGrantChange(row->limiter, &instance, &grant, now_us)) {
    }
}

static void
measure_limiter(void)
{
    static const uint32_t customers[] = {5, 50, 400};
    static const uint32_t daemons[] = {8, 64, 330};
    static LimiterCase row;
    char label[80];
    for (size_t i = 0; i < TABLE_COUNT(customers); i++) {
        size_t before = allocated_bytes();
        init_limiter(&row, customers[i], 8);
        size_t bytes = allocated_bytes() - before;
        snprintf(label, sizeof(label),
                 "limiter admit, charge and finish, %u customers",
                 customers[i]);
        print_row(label, measure(admit_and_finish, &row), bytes);
        EbLimiter_Free(row.limiter);
    }
    for (size_t i = 0; i < TABLE_COUNT(daemons); i++) {
        init_limiter(&row, 1, daemons[i]);
        size_t before = allocated_bytes();
        for (uint64_t round = 0; round < daemons[i]; round++) {
            answer_report(&row, round);
        }
        size_t bytes = allocated_bytes() - before;
        snprintf(label, sizeof(label),
                 "limiter report answered by its home, %u daemons",
                 daemons[i]);
        print_row(label, measure(answer_report, &row), bytes);
        EbLimiter_Free(row.limiter);
        init_limiter(&row, 400, daemons[i]);
        snprintf(label, sizeof(label),
                 "limiter interval, 400 active customers, %u daemons",
                 daemons[i]);
        print_row(label, measure(report_all, &row), 0);
        EbLimiter_Free(row.limiter);
    }
}

int
main(void)
{
    EbRandom_Init(&random_state, 1);
    for (int i = 0; i < MAX_NAMES; i++) {
        snprintf(names[i], sizeof(names[i]), "name-%d", i);
    }
    measure_queue();
    measure_pool();
    measure_prefix();
    measure_limiter();
    return 0;
}
