/* Measures the modules of a daemon that take its decisions and do no network
 * I/O (libebonyhollow), for several sizes of a deployment: processor
 * time and memory of the dispatcher, the ledger, the quarantine, the limiter
 * and the message codec, and the time that applying a configuration takes.
 *
 * The clock is virtual. A store and backend servers in this process answer at
 * once; their own time is included. Every time is processor time, given as the
 * smallest and the largest of three runs.
 *
 * Usage: measure_decisions */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <sodium.h>

#include "ebonyhollow/dispatcher.h"
#include "ebonyhollow/message.h"

#define RUNS 3
#define DAEMONS 330
#define PIPELINES 7
#define TOKEN "caller-token"
#define SUBSET 20
#define REQUESTS 2000
#define REQUEST_INTERVAL_US 1000 /* of virtual time */
#define TABLE_COUNT(table) (sizeof(table) / sizeof((table)[0]))

/* A call sent to a backend server. */
typedef struct {
    uint64_t attempt_id;
    char *request_id;
    uint32_t stage;
    uint32_t attempt;
    EbStageKind kind;
} Call;

/* The modules of one daemon that take decisions. */
typedef struct {
    int64_t now_us;
    EbRandom random;
    EbConfig *config;
    EbActionQueue *actions;
    EbLedger *ledger;
    EbLimiter *limiter;
    EbQuarantine *quarantine;
    EbDirectives *directives;
    EbMetrics *metrics;
    EbDispatcher *dispatcher;
    GQueue calls; /* of Call, not yet answered */
    uint64_t version;
    uint64_t done;
    size_t value_bytes; /* JSON size of the object written last */
    uint32_t tokens;    /* per stream */
    bool silent;        /* backend servers do not answer */
    json_t *answers[EB_STAGE_KIND_COUNT];
} Daemon;

static char names[DAEMONS][16];
static const char *members[DAEMONS];

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
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
print_range(const char *label, const double values[RUNS], const char *unit)
{
    double smallest = values[0];
    double largest = values[0];
    for (int i = 1; i < RUNS; i++) {
        smallest = MIN(smallest, values[i]);
        largest = MAX(largest, values[i]);
    }
    printf("%-62s %10.2f to %10.2f %s\n", label, smallest, largest, unit);
    fflush(stdout);
}

/* Configuration */

static void
append_pools(GString *text)
{
    g_string_append(text, "\"pools\":{");
    for (int i = 0; i < EB_STAGE_KIND_COUNT; i++) {
        g_string_append_printf(
            text, "%s\"%s\":{\"kind\":\"%s\",\"subset_size\":%d%s}",
            i ? "," : "", EbStageKind_names[i], EbStageKind_names[i], SUBSET,
            i == EB_STAGE_CALL ? ",\"checks_fencing\":true" : "");
    }
    g_string_append(text, "},");
}

static void
append_servers(GString *text, uint32_t servers)
{
    g_string_append(text, "\"backend_servers\":{");
    for (uint32_t i = 0; i < servers; i++) {
        g_string_append_printf(
            text,
            "%s\"server-%u\":{\"pool\":\"%s\",\"host\":\"10.0.%u.%u\","
            "\"port\":9000,\"failure_domain\":\"domain-%u\","
            "\"capacity\":64}",
            i ? "," : "", i, EbStageKind_names[i % EB_STAGE_KIND_COUNT],
            i / 256, i % 256, i / EB_STAGE_KIND_COUNT % 8);
    }
    g_string_append(text, "},");
}

/* Pipelines p0 to p5 have four stages; p6 has five and needs an idempotency
 * key. */
static void
append_pipelines(GString *text)
{
    g_string_append(text, "\"pipelines\":{");
    for (int i = 0; i < PIPELINES; i++) {
        int stages = i == PIPELINES - 1 ? EB_STAGE_KIND_COUNT : EB_STAGE_CALL;
        g_string_append_printf(text, "%s\"p%d\":{\"stages\":[", i ? "," : "",
                               i);
        for (int j = 0; j < stages; j++) {
            const char *kind = EbStageKind_names[j];
            g_string_append_printf(
                text, "%s{\"name\":\"%s\",\"kind\":\"%s\",\"pool\":\"%s\"%s}",
                j ? "," : "", kind, kind, kind,
                j == EB_STAGE_GENERATE ? ",\"model\":\"m\""
                : j == EB_STAGE_CALL ? ",\"path\":\"/p\",\"idempotent\":false"
                                     : "");
        }
        g_string_append(text, "]}");
    }
    g_string_append(text, "},");
}

static void
append_customers(GString *text, uint32_t customers)
{
    uint8_t digest[EB_TOKEN_DIGEST_BYTES];
    char hex[2 * EB_TOKEN_DIGEST_BYTES + 1];
    EbConfig_DigestToken(TOKEN, digest);
    sodium_bin2hex(hex, sizeof(hex), digest, sizeof(digest));
    g_string_append(text, "\"customers\":{");
    for (uint32_t i = 0; i < customers; i++) {
        if (i > 0) {
            snprintf(hex, sizeof(hex), "%064x", i);
        }
        /* Limits far above the load, so that the limiter runs but refuses no
         * request. */
        g_string_append_printf(
            text,
            "%s\"customer-%u\":{\"token_digest\":\"%s\",\"contract\":{"
            "\"weight\":2,\"requests_per_s_milli\":900000000,"
            "\"concurrent_requests\":900000,\"tokens_per_s\":900000000}}",
            i ? "," : "", i, hex);
    }
    g_string_append(text, "},\"routes\":{");
    for (int i = 0; i < PIPELINES; i++) {
        g_string_append_printf(text, "%s\"p%d\":[\"*\"]", i ? "," : "", i);
    }
    g_string_append(text, "}");
}

static GString *
make_document(uint32_t sites, uint32_t servers, uint32_t customers,
              uint64_t generation)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(
        text, "{\"generation\":%" G_GUINT64_FORMAT ",\"base\":{", generation);
    append_pools(text);
    append_servers(text, servers);
    append_pipelines(text);
    append_customers(text, customers);
    g_string_append(text, "},\"overlays\":{");
    for (uint32_t i = 0; i < sites; i++) {
        g_string_append_printf(
            text, "%s\"site-%u\":{\"pools\":{\"encode\":{\"queue_max\":%u}}}",
            i ? "," : "", i, i + 1);
    }
    g_string_append(text, "}}");
    return text;
}

static EbConfig *
parse(const GString *text)
{
    EbError error = {0};
    EbConfig *config =
        EbConfig_Parse(text->str, text->len, "site-0", NULL, &error);
    if (config == NULL) {
        fprintf(stderr, "%s: %s\n", error.path, error.message);
        exit(1);
    }
    return config;
}

static EbConfig *
make_config(uint32_t servers, uint32_t customers)
{
    GString *text = make_document(8, servers, customers, 1);
    EbConfig *config = parse(text);
    g_string_free(text, TRUE);
    return config;
}

/* Daemon */

static int64_t
wall_clock(void *context)
{
    return ((Daemon *)context)->now_us;
}

static void
make_answers(Daemon *daemon)
{
    json_t *vector = json_array();
    for (int i = 0; i < 64; i++) {
        json_array_append_new(vector, json_real(0.5));
    }
    daemon->answers[EB_STAGE_ENCODE] = json_pack("{s:[o]}", "vectors", vector);
    json_t *documents = json_array();
    json_t *ranks = json_array();
    for (int i = 0; i < 8; i++) {
        json_array_append_new(
            documents, json_pack("{s:s, s:s, s:f}", "id", "document", "text",
                                 "some text of a document", "score", 0.5));
        json_array_append_new(
            ranks, json_pack("{s:i, s:f}", "index", i, "score", 0.5));
    }
    daemon->answers[EB_STAGE_RETRIEVE] =
        json_pack("{s:o}", "documents", documents);
    daemon->answers[EB_STAGE_RERANK] = json_pack("{s:o}", "results", ranks);
    daemon->answers[EB_STAGE_CALL] = json_pack("{s:s}", "receipt", "r");
}

static Daemon *
start_daemon(uint32_t servers, uint32_t customers, uint32_t tokens)
{
    Daemon *daemon = g_new0(Daemon, 1);
    daemon->now_us = 1000000;
    daemon->tokens = tokens;
    EbRandom_Init(&daemon->random, 7);
    make_answers(daemon);
    daemon->config = make_config(servers, customers);
    daemon->actions = EbActionQueue_New();
    daemon->ledger =
        EbLedger_New(&(EbLedgerOptions){.instance = names[0],
                                        .incarnation = 1,
                                        .peer_address = "10.0.0.1:8082",
                                        .actions = daemon->actions,
                                        .random = &daemon->random,
                                        .wall_clock_us = wall_clock,
                                        .context = daemon});
    daemon->limiter = EbLimiter_New(
        &(EbLimiterOptions){.instance = names[0], .config = daemon->config});
    EbLimiter_SetMembers(daemon->limiter, members, DAEMONS, daemon->now_us);
    daemon->quarantine = EbQuarantine_New(&(EbQuarantineOptions){0});
    daemon->directives = EbDirectives_New(&(EbDirectivesOptions){
        .instance = names[0], .random = &daemon->random});
    daemon->metrics = EbMetrics_New();
    daemon->dispatcher = EbDispatcher_New(&(EbDispatcherOptions){
        .instance = names[0],
        .incarnation = 1,
        .failure_domain = "domain-0",
        .max_requests = 8192,
        .actions = daemon->actions,
        .random = &daemon->random,
        .ledger = daemon->ledger,
        .limiter = daemon->limiter,
        .quarantine = daemon->quarantine,
        .directives = daemon->directives,
        .metrics = daemon->metrics,
    });
    EbDispatcher_SetConfig(daemon->dispatcher, daemon->config, daemon->now_us);
    return daemon;
}

static void
free_call(gpointer pointer)
{
    Call *call = pointer;
    g_free(call->request_id);
    g_free(call);
}

static void
stop_daemon(Daemon *daemon)
{
    EbDispatcher_Free(daemon->dispatcher);
    EbMetrics_Free(daemon->metrics);
    EbQuarantine_Free(daemon->quarantine);
    EbDirectives_Free(daemon->directives);
    EbLimiter_Free(daemon->limiter);
    EbLedger_Free(daemon->ledger);
    EbActionQueue_Free(daemon->actions);
    EbConfig_Unref(daemon->config);
    g_queue_clear_full(&daemon->calls, free_call);
    for (int i = 0; i < EB_STAGE_KIND_COUNT; i++) {
        json_decref(daemon->answers[i]);
    }
    g_free(daemon);
}

static void
record_call(Daemon *daemon, const EbSendAttempt *send)
{
    Call *call = g_new0(Call, 1);
    call->attempt_id = send->attempt_id;
    call->request_id = g_strdup(send->request_id);
    call->stage = send->stage;
    call->attempt = send->attempt;
    call->kind = send->kind;
    g_queue_push_tail(&daemon->calls, call);
}

/* Answers every store request at once with success. */
static void
reply_store(Daemon *daemon, const EbStoreRequest *store)
{
    if (store->value != NULL) {
        daemon->value_bytes = json_dumpb(store->value, NULL, 0, JSON_COMPACT);
    }
    EbStoreReply reply = {.owner = store->owner,
                          .operation_id = store->operation_id,
                          .status = EB_STORE_OK,
                          .version = ++daemon->version};
    EbLedger_StoreReply(daemon->ledger, &reply, daemon->now_us);
    EbDispatcher_LedgerResults(daemon->dispatcher, daemon->now_us);
}

static void
run_actions(Daemon *daemon)
{
    EbAction action;
    while (EbActionQueue_Pop(daemon->actions, &action)) {
        if (action.kind == EB_ACTION_SEND_ATTEMPT) {
            record_call(daemon, &action.as.send);
        }
        else if (action.kind == EB_ACTION_STORE) {
            reply_store(daemon, &action.as.store);
        }
        else if (action.kind == EB_ACTION_ANSWER) {
            daemon->done += action.as.answer.outcome == EB_OUTCOME_DONE;
        }
        EbAction_Clear(&action);
    }
}

static void
answer_call(Daemon *daemon, const Call *call)
{
    EbAttemptEvent event = {.attempt_id = call->attempt_id,
                            .kind = EB_ATTEMPT_ANSWERED,
                            .http_status = 200,
                            .body = daemon->answers[call->kind],
                            .echo_request_id = call->request_id,
                            .echo_stage = call->stage,
                            .echo_attempt = call->attempt};
    if (call->kind == EB_STAGE_GENERATE) {
        event.body = NULL;
        event.kind = EB_ATTEMPT_TOKENS;
        event.token_count = 1;
        event.text = " sleeve";
        for (uint32_t i = 0; i < daemon->tokens; i++) {
            event.token_index = i;
            EbDispatcher_AttemptEvent(daemon->dispatcher, &event,
                                      daemon->now_us);
            run_actions(daemon);
        }
        event.kind = EB_ATTEMPT_ENDED;
        event.token_count = 0;
        event.text = NULL;
    }
    EbDispatcher_AttemptEvent(daemon->dispatcher, &event, daemon->now_us);
    run_actions(daemon);
}

/* Submits one request and, unless the servers are silent, runs it to its
 * end. */
static void
run_request(Daemon *daemon, uint32_t number, const char *pipeline, bool keyed)
{
    char id[32], key[32], body[64];
    snprintf(id, sizeof(id), "request-%u", number);
    snprintf(key, sizeof(key), "key-%u", number);
    snprintf(body, sizeof(body), "{\"input\": \"question %u\"}", number);
    daemon->now_us += REQUEST_INTERVAL_US;
    EbDispatcher_Submit(daemon->dispatcher,
                        &(EbSubmission){.request_id = id,
                                        .token = TOKEN,
                                        .pipeline = pipeline,
                                        .body = body,
                                        .body_bytes = strlen(body),
                                        .idempotency_key = keyed ? key : NULL,
                                        .stream = true},
                        daemon->now_us);
    run_actions(daemon);
    Call *call;
    while (!daemon->silent &&
           (call = g_queue_pop_head(&daemon->calls)) != NULL) {
        answer_call(daemon, call);
        free_call(call);
    }
    if (daemon->now_us >= EbDispatcher_NextTimer(daemon->dispatcher)) {
        EbDispatcher_Tick(daemon->dispatcher, daemon->now_us);
        run_actions(daemon);
    }
}

/* Requests and tokens */

static double
time_requests(uint32_t servers, uint32_t customers, uint32_t tokens,
              const char *pipeline, bool keyed)
{
    Daemon *daemon = start_daemon(servers, customers, tokens);
    uint32_t requests = tokens > 100 ? REQUESTS / 10 : REQUESTS;
    int64_t start_ns = processor_ns();
    for (uint32_t i = 0; i < requests; i++) {
        run_request(daemon, i, pipeline, keyed);
    }
    double us = (double)(processor_ns() - start_ns) / 1000 / requests;
    if (daemon->done != requests) {
        fprintf(stderr,
                "%" G_GUINT64_FORMAT " of %u requests done, %u tokens\n",
                daemon->done, requests, tokens);
    }
    stop_daemon(daemon);
    return us;
}

static void
measure_requests(uint32_t servers, uint32_t customers)
{
    char label[96];
    double few[RUNS], many[RUNS], slope[RUNS], keyed[RUNS];
    for (int i = 0; i < RUNS; i++) {
        few[i] = time_requests(servers, customers, 10, "p0", false);
        many[i] = time_requests(servers, customers, 410, "p0", false);
        slope[i] = (many[i] - few[i]) / 400;
        keyed[i] = time_requests(servers, customers, 10, "p6", true);
    }
    snprintf(label, sizeof(label),
             "request, 4 stages, 10 tokens, %u servers, %u customers", servers,
             customers);
    print_range(label, few, "us");
    snprintf(label, sizeof(label),
             "relayed token (410 minus 10), %u servers, %u customers", servers,
             customers);
    print_range(label, slope, "us");
    snprintf(label, sizeof(label),
             "keyed request, 5 stages, 10 tokens, %u servers, %u customers",
             servers, customers);
    print_range(label, keyed, "us");
}

/* Memory */

static void
measure_memory(void)
{
    enum { LIVE = 500, KEYS = 1000, ENTRIES = 4096 };
    static const char *const pipelines[] = {"p0", "p6"};
    for (size_t i = 0; i < TABLE_COUNT(pipelines); i++) {
        Daemon *daemon = start_daemon(660, 400, 10);
        daemon->silent = true;
        size_t before = allocated_bytes();
        for (uint32_t j = 0; j < LIVE; j++) {
            run_request(daemon, j, pipelines[i], i == 1);
        }
        printf("live request%s: %.0f bytes, with its call (%zu live)\n",
               i == 1 ? ", keyed" : "",
               (double)(allocated_bytes() - before) / LIVE,
               EbDispatcher_LiveCount(daemon->dispatcher));
        stop_daemon(daemon);
    }
    Daemon *daemon = start_daemon(660, 400, 10);
    size_t before = allocated_bytes();
    for (uint32_t j = 0; j < KEYS; j++) {
        char key[32];
        snprintf(key, sizeof(key), "key-%u", j);
        uint64_t claim = EbLedger_Claim(daemon->ledger, "customer-0", key,
                                        "{}", 2, INT64_MAX, daemon->now_us);
        run_actions(daemon);
        json_t *body = json_pack("{s:s}", "text", "a short answer");
        EbLedger_Finish(daemon->ledger, claim, EB_OUTCOME_DONE, EB_REASON_NONE,
                        body, daemon->now_us);
        json_decref(body);
        run_actions(daemon);
    }
    printf("key in the ledger, kept after its write: %.0f bytes\n",
           (double)(allocated_bytes() - before) / KEYS);
    printf("object of a claim that is done: %zu bytes of JSON with an answer "
           "of 14 bytes\n",
           daemon->value_bytes);
    before = allocated_bytes();
    for (uint32_t j = 0; j < ENTRIES; j++) {
        EbQuarantine_RecordCrash(daemon->quarantine, j + 1, daemon->now_us);
    }
    printf("fingerprint in the quarantine: %.0f bytes\n",
           (double)(allocated_bytes() - before) / ENTRIES);
    stop_daemon(daemon);
}

/* Prints the memory of all modules of one daemon, by servers and customers. */
static void
measure_size_memory(void)
{
    static const uint32_t sizes[][2] = {
        {50, 5}, {660, 5}, {50, 400}, {660, 400}};
    for (size_t i = 0; i < TABLE_COUNT(sizes); i++) {
        size_t before = allocated_bytes();
        Daemon *daemon = start_daemon(sizes[i][0], sizes[i][1], 10);
        printf(
            "decisions of one daemon, %u servers, %u customers: %zu bytes\n",
            sizes[i][0], sizes[i][1], allocated_bytes() - before);
        stop_daemon(daemon);
    }
}

/* Configuration */

static void
measure_config(uint32_t sites, uint32_t servers, uint32_t customers)
{
    char label[96];
    double parsed[RUNS], pools[RUNS], dispatcher[RUNS], limiter[RUNS];
    GString *text = make_document(sites, servers, customers, 2);
    Daemon *daemon = start_daemon(servers, customers, 10);
    EbPool *pool = EbPool_New(&(EbPoolOptions){.config = daemon->config,
                                               .pool_index = 0,
                                               .instance = names[0],
                                               .failure_domain = "domain-0",
                                               .random = &daemon->random},
                              NULL);
    size_t size = 0;
    for (int i = 0; i < RUNS; i++) {
        size_t before = allocated_bytes();
        int64_t start_ns = processor_ns();
        EbConfig *config = parse(text);
        parsed[i] = (double)(processor_ns() - start_ns) / 1e6;
        size = allocated_bytes() - before;
        start_ns = processor_ns();
        EbPool_SetConfig(pool, config, 0);
        pools[i] = (double)(processor_ns() - start_ns) / 1e6;
        start_ns = processor_ns();
        EbDispatcher_SetConfig(daemon->dispatcher, config, daemon->now_us);
        dispatcher[i] = (double)(processor_ns() - start_ns) / 1e6;
        start_ns = processor_ns();
        EbLimiter_SetConfig(daemon->limiter, config);
        limiter[i] = (double)(processor_ns() - start_ns) / 1e6;
        EbConfig_Unref(daemon->config);
        daemon->config = config;
    }
    printf("document, %u sites, %u servers, %u customers: %zu bytes, parsed "
           "%zu bytes\n",
           sites, servers, customers, text->len, size);
    snprintf(label, sizeof(label),
             "EbConfig_Parse, %u sites, %u servers, %u customers", sites,
             servers, customers);
    print_range(label, parsed, "ms");
    print_range("  EbPool_SetConfig, one pool", pools, "ms");
    print_range("  EbDispatcher_SetConfig, 5 pools", dispatcher, "ms");
    print_range("  EbLimiter_SetConfig, 330 daemons", limiter, "ms");
    EbPool_Free(pool);
    stop_daemon(daemon);
    g_string_free(text, TRUE);
}

/* Limiter */

/* Report intervals of a daemon whose customers are all active. */
static void
measure_limiter(uint32_t customers, uint32_t daemons)
{
    enum { INTERVALS = 20 };
    char label[96];
    double set[RUNS], report[RUNS], answer[RUNS];
    EbConfig *config = make_config(50, customers);
    EbLimiterShare *shares = g_new0(EbLimiterShare, customers);
    EbLimiterShare *grants = g_new0(EbLimiterShare, customers);
    for (int run = 0; run < RUNS; run++) {
        EbLimiter *limiter = EbLimiter_New(
            &(EbLimiterOptions){.instance = names[0], .config = config});
        int64_t now_us = 1000000;
        int64_t start_ns = processor_ns();
        EbLimiter_SetMembers(limiter, members, daemons, now_us);
        set[run] = (double)(processor_ns() - start_ns) / 1000;
        int64_t report_ns = 0, answer_ns = 0;
        uint64_t answered = 0;
        for (int i = 0; i < INTERVALS; i++) {
            for (uint32_t j = 0; j < customers; j++) {
                for (int k = 0; k < 1 + i; k++) {
                    EbLimiter_Admit(limiter, config->customers[j].id, now_us,
                                    NULL);
                }
            }
            now_us += EB_LIMITER_REPORT_INTERVAL_US;
            start_ns = processor_ns();
            size_t count = 0;
            for (uint32_t d = 0; d < daemons; d++) {
                count +=
                    EbLimiter_WriteReport(limiter, names[d], shares + count,
                                          customers - count, now_us);
            }
            report_ns += processor_ns() - start_ns;
            start_ns = processor_ns();
            for (uint32_t d = 0; d < daemons; d++) {
                EbLimiter_AnswerReport(limiter, names[d], shares,
                                       MIN(count, 1), grants, now_us);
                answered += MIN(count, 1);
            }
            answer_ns += processor_ns() - start_ns;
        }
        report[run] = (double)report_ns / 1000 / INTERVALS;
        answer[run] = (double)answer_ns / 1000 / (double)MAX(answered, 1);
        EbLimiter_Free(limiter);
    }
    snprintf(label, sizeof(label),
             "EbLimiter_SetMembers, %u customers, %u daemons", customers,
             daemons);
    print_range(label, set, "us");
    snprintf(label, sizeof(label),
             "EbLimiter_WriteReport to all homes, %u customers, %u daemons",
             customers, daemons);
    print_range(label, report, "us per interval");
    snprintf(label, sizeof(label),
             "EbLimiter_AnswerReport, one report, %u daemons", daemons);
    print_range(label, answer, "us");
    g_free(shares);
    g_free(grants);
    EbConfig_Unref(config);
}

/* Timers without requests, and look-up of a token */

static void
measure_idle(uint32_t servers, uint32_t customers)
{
    enum { TICKS = 1000, LOOKUPS = 2000 };
    char label[96];
    double tick[RUNS], lookup[RUNS];
    Daemon *daemon = start_daemon(servers, customers, 10);
    for (int run = 0; run < RUNS; run++) {
        int64_t start_ns = processor_ns();
        for (int i = 0; i < TICKS; i++) {
            daemon->now_us += 500000;
            EbDispatcher_Tick(daemon->dispatcher, daemon->now_us);
        }
        tick[run] = (double)(processor_ns() - start_ns) / 1000 / TICKS;
        start_ns = processor_ns();
        for (int i = 0; i < LOOKUPS; i++) {
            EbConfig_FindCustomerByToken(daemon->config, TOKEN);
        }
        lookup[run] = (double)(processor_ns() - start_ns) / 1000 / LOOKUPS;
    }
    snprintf(label, sizeof(label), "EbDispatcher_Tick at rest, %u servers",
             servers);
    print_range(label, tick, "us");
    snprintf(label, sizeof(label), "look-up of a token, %u customers",
             customers);
    print_range(label, lookup, "us");
    stop_daemon(daemon);
}

/* Codec */

static void
measure_message(const EbMessage *message)
{
    enum { ROUNDS = 2000 };
    char label[96];
    double encode[RUNS], decode[RUNS];
    size_t byte_count = 0;
    int rounds = message->text_bytes > 100000 || message->member_count > 100
                     ? ROUNDS / 20
                     : ROUNDS;
    for (int run = 0; run < RUNS; run++) {
        uint8_t *bytes = NULL;
        int64_t start_ns = processor_ns();
        for (int i = 0; i < rounds; i++) {
            free(bytes);
            if (!EbMessage_Encode(message, &bytes, &byte_count)) {
                fprintf(stderr, "%s: encoding failed\n",
                        EbMessageKind_names[message->kind]);
                return;
            }
        }
        encode[run] = (double)(processor_ns() - start_ns) / 1000 / rounds;
        start_ns = processor_ns();
        for (int i = 0; i < rounds; i++) {
            EbMessage_Free(EbMessage_Decode(bytes, byte_count, NULL));
        }
        decode[run] = (double)(processor_ns() - start_ns) / 1000 / rounds;
        free(bytes);
    }
    snprintf(label, sizeof(label), "encode %s, %zu bytes",
             EbMessageKind_names[message->kind], byte_count);
    print_range(label, encode, "us");
    snprintf(label, sizeof(label), "decode %s, %zu bytes",
             EbMessageKind_names[message->kind], byte_count);
    print_range(label, decode, "us");
}

static void
measure_messages(void)
{
    char digest[EB_KEY_DIGEST_HEX_BYTES];
    EbLedger_KeyDigest("key", digest);
    EbMessageMember *records = g_new0(EbMessageMember, DAEMONS);
    for (int i = 0; i < DAEMONS; i++) {
        records[i] = (EbMessageMember){.instance = names[i],
                                       .incarnation = 1700000000000000,
                                       .address = (char *)"10.0.0.1:8082",
                                       .failure_domain = (char *)"domain-0",
                                       .sequence = 3};
    }
    EbMessageShare shares[2] = {{(char *)"customer-17", 12000, 4, 2000},
                                {(char *)"customer-18", 12000, 4, 2000}};
    EbQuarantineEntry entry = {1234567890123, 3, EB_FINGERPRINT_QUARANTINED,
                               600000000};
    GString *text = make_document(8, 660, 400, 1);
    const EbMessage table[] = {
        {.kind = EB_MESSAGE_HEARTBEAT,
         .generation = 900,
         .digest = 1ULL << 60},
        {.kind = EB_MESSAGE_MEMBERS, .members = records, .member_count = 1},
        {.kind = EB_MESSAGE_MEMBERS,
         .members = records,
         .member_count = DAEMONS},
        {.kind = EB_MESSAGE_CONFIG_REQUEST, .generation = 900},
        {.kind = EB_MESSAGE_CONFIG_BODY,
         .generation = 900,
         .text = text->str,
         .text_bytes = text->len},
        {.kind = EB_MESSAGE_OUTCOME_QUERY,
         .query = 7,
         .customer = (char *)"customer-17",
         .key_digest = digest},
        {.kind = EB_MESSAGE_OUTCOME_REPLY,
         .query = 7,
         .local_state = EB_LEDGER_LOCAL_RUNNING,
         .customer = (char *)"customer-17",
         .key_digest = digest},
        {.kind = EB_MESSAGE_USAGE, .shares = shares, .share_count = 2},
        {.kind = EB_MESSAGE_GRANT, .shares = shares, .share_count = 2},
        {.kind = EB_MESSAGE_QUARANTINE,
         .origin = names[0],
         .origin_incarnation = 1700000000000000,
         .sequence = 9,
         .entries = &entry,
         .entry_count = 1},
        {.kind = EB_MESSAGE_SERVER_LEAVING,
         .origin = names[0],
         .origin_incarnation = 1700000000000000,
         .sequence = 9,
         .server = (char *)"server-17",
         .leaving = true},
    };
    for (size_t i = 0; i < TABLE_COUNT(table); i++) {
        measure_message(&table[i]);
    }
    g_string_free(text, TRUE);
    g_free(records);
}

/* Metrics */

/* Measures the memory of all series that the given number of customers can
 * have, and the time that formatting them takes. */
static void
measure_metrics(uint32_t customers)
{
    char customer[32], pipeline[8], label[96];
    size_t before = allocated_bytes();
    EbMetrics *metrics = EbMetrics_New();
    for (uint32_t i = 0; i < customers; i++) {
        snprintf(customer, sizeof(customer), "customer-%u", i);
        EbMetrics_Observe(metrics, EB_METRIC_TOTAL_TIME_US, 1000 + i, customer,
                          NULL, NULL);
        EbMetrics_Observe(metrics, EB_METRIC_FIRST_TOKEN_US, 1000 + i,
                          customer, NULL, NULL);
        EbMetrics_Observe(metrics, EB_METRIC_TOKEN_GAP_US, 1000 + i, customer,
                          NULL, NULL);
        for (int j = 0; j < PIPELINES; j++) {
            snprintf(pipeline, sizeof(pipeline), "p%d", j);
            EbMetrics_Add(metrics, EB_METRIC_IN_TIME, 1, customer, pipeline,
                          NULL);
            EbMetrics_Add(metrics, EB_METRIC_TOKENS, 1, customer, pipeline,
                          NULL);
            for (int k = 0; k < EB_OUTCOME_COUNT; k++) {
                EbMetrics_Add(metrics, EB_METRIC_REQUESTS, 1, customer,
                              pipeline, EbOutcome_names[k]);
            }
            for (int k = 0; k < EB_STAGE_KIND_COUNT; k++) {
                EbMetrics_Add(metrics, EB_METRIC_SERVER_TIME_US, 1, customer,
                              pipeline, EbStageKind_names[k]);
            }
        }
    }
    size_t bytes = allocated_bytes() - before;
    double format[RUNS];
    size_t text_bytes = 0;
    for (int run = 0; run < RUNS; run++) {
        int64_t start_ns = processor_ns();
        free(EbMetrics_Format(metrics, &text_bytes));
        format[run] = (double)(processor_ns() - start_ns) / 1e6;
    }
    printf("metrics, %u customers, %d pipelines: %zu bytes, exposition %zu "
           "bytes\n",
           customers, PIPELINES, bytes, text_bytes);
    snprintf(label, sizeof(label), "EbMetrics_Format, %u customers",
             customers);
    print_range(label, format, "ms");
    EbMetrics_Free(metrics);
}

/* Lists from the platform */

/* Parses a list of objects as the platform client does. */
static void
measure_list(const char *kind, const char *name, const char *value,
             uint32_t items)
{
    char label[96];
    double parsed[RUNS];
    GString *text = g_string_new("{\"revision\":1,\"items\":[");
    for (uint32_t i = 0; i < items; i++) {
        g_string_append_printf(
            text, "%s{\"name\":\"%s-%05u\",\"version\":%u,\"value\":%s}",
            i ? "," : "", name, i, 100000 + i, value);
    }
    g_string_append(text, "]}");
    size_t bytes = 0;
    for (int run = 0; run < RUNS; run++) {
        size_t before = allocated_bytes();
        int64_t start_ns = processor_ns();
        json_t *list = json_loadb(text->str, text->len, 0, NULL);
        parsed[run] = (double)(processor_ns() - start_ns) / 1e6;
        bytes = allocated_bytes() - before;
        json_decref(list);
    }
    printf("list of %u %s: %zu bytes, parsed %zu bytes\n", items, kind,
           text->len, bytes);
    snprintf(label, sizeof(label), "parsing the list");
    print_range(label, parsed, "ms");
    g_string_free(text, TRUE);
}

static void
measure_lists(void)
{
    static const char instance[] =
        "{\"role\":\"backend\",\"state\":\"live\",\"address\":"
        "\"10.0.1.17:9000\",\"failure_domain\":\"domain-1\"}";
    measure_list("instances", "instance", instance, 60);
    measure_list("instances", "instance", instance, 990);
    /* A claim as EbLedger writes it. With an answer of 12 tokens and a receipt
     * it takes 1,145 bytes in a list (test/measure/daemon.sh). */
    static const char claim[] =
        "{\"state\":\"done\",\"nonce\":\"0123456789abcdef0123456789abcdef\","
        "\"body_digest\":\"0123456789abcdef0123456789abcdef\",\"instance\":"
        "\"capas-recife-1\",\"incarnation\":1700000000000000,\"address\":"
        "\"10.81.0.11:8082\",\"created_us\":1700000000000000,\"outcome\":"
        "\"done\",\"reason\":\"none\",\"body\":{\"answer\":\"%s\"}}";
    static const char name[] =
        "customer-17.0123456789abcdef0123456789abcdef0123456789abcdef"
        "0123456789a";
    char answer[750];
    memset(answer, 'x', sizeof(answer) - 1);
    answer[sizeof(answer) - 1] = '\0';
    char *value = g_strdup_printf(claim, answer);
    measure_list("claims", name, value, 457);
    measure_list("claims", name, value, 4570);
    g_free(value);
}

int
main(void)
{
    static const uint32_t sizes[][3] = {
        {3, 10, 5},  {3, 50, 5},    {8, 50, 400},  {8, 200, 100},
        {8, 660, 5}, {8, 660, 400}, {3, 660, 400}, {16, 660, 400}};
    /* Fixes the mmap threshold, so that large blocks count like small ones. */
    mallopt(M_MMAP_THRESHOLD, 1 << 30);
    for (int i = 0; i < DAEMONS; i++) {
        snprintf(names[i], sizeof(names[i]), "daemon-%d", i);
        members[i] = names[i];
    }
    measure_requests(50, 5);
    measure_requests(660, 400);
    measure_memory();
    measure_size_memory();
    for (size_t i = 0; i < TABLE_COUNT(sizes); i++) {
        measure_config(sizes[i][0], sizes[i][1], sizes[i][2]);
    }
    measure_limiter(5, 8);
    measure_limiter(400, 8);
    measure_limiter(400, DAEMONS);
    measure_idle(50, 5);
    measure_idle(660, 400);
    measure_messages();
    measure_metrics(5);
    measure_metrics(400);
    measure_lists();
    return 0;
}
