/* Open-loop load generator for ebonyhollowd, bounded in count and time.
 *
 * Requests are sent at the times of a Poisson process, whether or not earlier
 * ones were answered. Each token that the stand-ins generate carries the
 * marker of its request, so that every answer can be checked for tokens that
 * are lost, repeated or of another request. */
#ifndef LOAD_H
#define LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#include "clock.h"
#include "ebonyhollow/histogram.h"
#include "ebonyhollow/outcome.h"
#include "ebonyhollow/random.h"

#define MAX_TARGETS 64
#define MAX_KINDS 64

/* One kind of request of the plan. */
typedef struct {
    char *name;
    char *customer; /* for the report */
    char *pipeline;
    char *token;
    uint32_t weight;
    bool keyed;
    bool stream;
    int64_t timeout_us;
    char *suffix; /* text after the marker in the input */
} RequestKind;

/* Counts and latencies of one kind of request. */
typedef struct {
    uint64_t sent;
    uint64_t done;
    uint64_t in_time;
    uint64_t in_window; /* in time and before the end of the load */
    uint64_t outcomes[EB_OUTCOME_COUNT];
    uint64_t cut;     /* connection ended without an outcome */
    uint64_t crossed; /* text or result of another request */
    uint64_t broken;  /* tokens lost, repeated or out of order */
    EbHistogram total_us;
    EbHistogram first_token_us;
    EbHistogram token_gap_us;
} Tally;

/* Outcome of a keyed request, to compare with the services' own record. */
typedef struct {
    char *key;
    EbOutcome outcome; /* EB_OUTCOME_COUNT: cut */
} KeyedResult;

typedef struct Load Load;

/* A daemon. Like a load balancer, the program sends to daemons that are ready.
 * If a connection is refused it tries another, since nothing was sent. */
typedef struct {
    char *host;
    uint16_t port;
    GQueue idle;       /* of struct evhttp_connection */
    char *health_host; /* of the readiness probe; NULL: no probe */
    uint16_t health_port;
    bool ready;
    bool probing;
    struct evhttp_connection *probe_connection;
    Load *load;
} Target;

struct Load {
    struct event_base *base;
    Target targets[MAX_TARGETS];
    uint32_t target_count;
    RequestKind kinds[MAX_KINDS];
    uint32_t kind_count;
    uint32_t weight_sum;
    Tally tallies[MAX_KINDS];
    GHashTable *reasons; /* "CUSTOMER REASON" to count */
    GArray *keyed;       /* of KeyedResult */
    double rate_per_s;
    int64_t end_us;
    uint64_t max_requests;
    uint64_t next_number;
    uint64_t in_flight;
    uint64_t seed;
    EbRandom random;
    struct event *arrival_timer;
    int64_t next_arrival_us;
    struct event *probe_timer;
    GQueue failed_connections; /* freed at the end, since evhttp
                                  still uses them in its callback */
    bool sending_ended;
};

/* plan.c */

/* Reads the kinds of requests from a JSON file; ends the program when the
 * plan is not valid. */
void Plan_Read(Load *load, const char *file, const char *only);

/* Chooses a kind at random by weight and returns it with its index. */
const RequestKind *Plan_ChooseKind(Load *load, uint32_t *index);
void Plan_Clear(Load *load);

/* client.c */
void Client_Send(Load *load, const RequestKind *kind, uint32_t kind_index);

/* Starts to probe the readiness of the targets that have a health address. */
void Client_StartProbes(Load *load);

/* report.c */

/* Compares the keyed requests with the services' record of executions, a JSON
 * object of key to count. Returns the number of violations. */
uint64_t Report_CheckRuns(const Load *load, json_t *runs);
json_t *Report_Json(const Load *load, double seconds);
void Report_Print(const Load *load, double seconds);
/* Returns the number of requests whose answer was cut, crossed or broken. */
uint64_t Report_Violations(const Load *load);

#endif
