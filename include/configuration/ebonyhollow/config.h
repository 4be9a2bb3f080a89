/* EbConfig: the merged configuration of one site.
 *
 * A configuration document is a JSON object
 *
 *     {"generation": N, "base": {...}, "overlays": {"<site>": {...}}}
 *
 * The overlay of a site is a JSON merge patch (RFC 7396) for the base. A
 * document is valid only if the merged result for every site is valid. A
 * parsed configuration is immutable and reference counted; a request keeps the
 * one that it started with. docs/configuration.md lists every field. */
#ifndef EBONYHOLLOW_CONFIG_H
#define EBONYHOLLOW_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/schema.h"

#define EB_CONFIG_MAX_BYTES 1048576 /* the platform's value limit */
#define EB_CONFIG_MIN_STAGES 3
#define EB_CONFIG_MAX_STAGES 6
/* Limits on the number of entries, at least twice the design capacity of
 * docs/design.md. A change is validated for all sites on the daemon's only
 * thread, so these limits bound the time for which it handles nothing else. */
#define EB_CONFIG_MAX_SITES 16
#define EB_CONFIG_MAX_POOLS 64
#define EB_CONFIG_MAX_SERVERS 4096
#define EB_CONFIG_MAX_PIPELINES 64
#define EB_CONFIG_MAX_CUSTOMERS 4096
#define EB_CONFIG_MAX_OPERATORS 1024
/* Limit on the sum of queue_max over the pools of a site, which bounds the
 * attempts that wait at a daemon. */
#define EB_CONFIG_MAX_QUEUED 65536
#define EB_TOKEN_DIGEST_BYTES 32
#define EB_CONFIG_MAX_PREPARATIONS 64 /* of one forwarding pipeline */

typedef enum {
    EB_STAGE_ENCODE,
    EB_STAGE_RETRIEVE,
    EB_STAGE_RERANK,
    EB_STAGE_GENERATE,
    EB_STAGE_CALL,
    EB_STAGE_KIND_COUNT
} EbStageKind;

/* Wire names, indexed by EbStageKind. */
extern const char *const EbStageKind_names[EB_STAGE_KIND_COUNT];

typedef struct {
    char *id;
    char *host; /* IP address */
    uint16_t port;
    char *failure_domain;
    uint32_t pool_index; /* into EbConfig.pools */
    uint32_t capacity;   /* calls that it runs concurrently */
    /* Identifies one start of the server; 0: unknown. What is known of a
     * server by its id holds for one incarnation. */
    uint64_t incarnation;
} EbConfigBackendServer;

/* Batching of a pool: calls with work items of several requests. */
typedef struct {
    uint32_t max_items;           /* per call; 0: no work items are sent */
    uint32_t max_calls;           /* concurrent calls per server */
    int64_t call_us;              /* approximate fixed time of a call */
    int64_t item_us;              /* approximate additional time per item */
    uint64_t result_memory_bytes; /* for results, per server */
    int64_t result_lifetime_us;   /* how long a server keeps a result */
} EbConfigBatch;

/* A pool of backend servers that serve the same kind of call. */
typedef struct {
    char *name;
    EbStageKind kind;
    uint32_t *server_indexes; /* into EbConfig.servers */
    uint32_t server_count;
    uint32_t subset_size; /* servers that one daemon uses; 0: all */
    uint32_t queue_max;   /* attempts that may wait at one daemon */
    bool checks_fencing;  /* call: the service refuses old fencing tokens */
    bool resumes_streams; /* generate: the engine can resume a stream */
    char *outcome_path;   /* call: path that looks up a key; NULL: none */
    int64_t service_estimate_us; /* call time assumed until one is measured */
    EbConfigBatch batch;         /* zero unless work items are sent to it */
    uint32_t max_connections;   /* per server, from all daemons; 0: no limit */
    int64_t cold_us;            /* how long a server is cold after its start */
    double cold_requests_per_s; /* that a cold server takes; 0: no limit */
} EbConfigPool;

typedef struct {
    char *name;
    EbStageKind kind;
    uint32_t pool_index; /* into EbConfig.pools */
    bool idempotent;     /* false only for kind call */
    char *model;         /* generate; NULL otherwise */
    char *prompt;        /* generate: instruction placed before the input */
    char *path;          /* call: request path */
    uint32_t top_k;      /* retrieve, rerank: documents kept */
    uint32_t max_tokens; /* generate: limit on generated tokens */
    int64_t timeout_us;  /* for the whole call */
    int64_t first_token_timeout_us; /* generate */
    int64_t token_gap_timeout_us;   /* generate: between two tokens */
} EbConfigStage;

/* A pool that gets a part of a forwarding pipeline's requests. */
typedef struct {
    uint32_t pool_index; /* into EbConfig.pools */
    uint32_t weight;     /* share relative to the other splits */
} EbConfigSplit;

/* A set of the preparations of one pipeline: bit i stands for preparation i.
 */
typedef uint64_t EbPreparationSet;

#define EB_PREPARATION_BIT(index) (UINT64_C(1) << (index))

/* A stage whose results a forwarded request needs before it can run. It may be
 * listed before the ones that it depends on. */
typedef struct {
    uint32_t pool_index;           /* into EbConfig.pools */
    EbPreparationSet dependencies; /* whose results it needs */
    uint64_t result_bytes; /* approximate size of a work item's result */
    int64_t downstream_us; /* time to allow for the preparations after it */
    int64_t downstream_min_us; /* that they take at least */
} EbConfigPreparation;

/* Further members of a pipeline that forwards requests; it has one stage. */
typedef struct {
    char *host;        /* lower case */
    char *path_prefix; /* begins and ends with a slash */
    bool anonymous;    /* callers need no token */
    bool resumable;    /* a broken stream may continue at another server */
    /* A part that its requests need can't be used: they are refused. Its lists
     * are empty then and its pools have no meaning. */
    bool unusable;
    uint8_t priority; /* 0 is the most urgent */
    uint32_t max_attempts;
    int64_t latency_goal_us; /* an answer within this time is in time */
    /* Callers leave a stream that gives them no event for this long; 0: not
     * known, or no stream. */
    int64_t abandon_us;
    EbConfigSplit *splits;
    uint32_t split_count;
    EbConfigPreparation *preparations;
    uint32_t preparation_count;
} EbConfigForward;

typedef struct {
    char *name;
    EbConfigStage *stages;
    uint32_t stage_count;
    int64_t deadline_us; /* default and upper bound of a request's deadline */
    bool needs_key;      /* its last stage is a non-idempotent call */
    EbConfigForward *forward; /* NULL unless it forwards requests */
} EbConfigPipeline;

/* The limits of a customer. They apply to the sum over the daemons of all
 * sites and are therefore the same at each site. 0: no limit. */
typedef struct {
    uint32_t weight; /* relative share of a contended pool, at least 1 */
    uint64_t requests_per_s_milli; /* in 1/1,000 requests per second */
    uint32_t burst_requests;       /* at once; 0: those of one second */
    uint32_t concurrent_requests;
    uint64_t tokens_per_s; /* generated tokens per second */
} EbContract;

typedef struct {
    char *id;
    uint8_t token_digest[EB_TOKEN_DIGEST_BYTES]; /* BLAKE2b-256 */
    /* Digests of further tokens of the same customer. */
    uint8_t (*more_digests)[EB_TOKEN_DIGEST_BYTES];
    uint32_t more_digest_count;
    EbContract contract;
    int16_t priority; /* of its forwarded requests; -1: the pipeline's */
    bool anonymous;   /* stands for all callers of pipelines without tokens */
    bool unusable;    /* its id can't be sent; its requests are refused */
} EbConfigCustomer;

/* Limits on the requests of clients. 0: not given, the earlier one stays. */
typedef struct {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    int64_t header_timeout_us; /* to receive a header section */
    int64_t idle_timeout_us;   /* between two requests of a connection */
} EbConfigLimits;

#define EB_ROUTE_ANY UINT32_MAX

/* Allows a customer to use a pipeline. */
typedef struct {
    uint32_t pipeline_index; /* into EbConfig.pipelines */
    uint32_t customer_index; /* or EB_ROUTE_ANY for every customer */
} EbConfigRoute;

typedef enum {
    EB_ROLE_VIEWER,
    EB_ROLE_OPERATOR,
    EB_ROLE_ADMIN,
    EB_ROLE_COUNT
} EbRole;

/* Wire names, indexed by EbRole. */
extern const char *const EbRole_names[EB_ROLE_COUNT];

/* An operator. If pipelines or customers are listed, the operator may change
 * only these. */
typedef struct {
    char *id;
    uint8_t token_digest[EB_TOKEN_DIGEST_BYTES];
    EbRole role;
    char **pipelines;
    uint32_t pipeline_count;
    char **customers;
    uint32_t customer_count;
} EbConfigOperator;

typedef struct EbConfigNames EbConfigNames;

/* The lists may be in any order. Names and ids are unique within a list. */
typedef struct EbConfig {
    uint32_t references;  /* private */
    EbConfigNames *names; /* private: name tables of the lists */
    uint64_t generation;
    char *site;
    EbConfigPool *pools;
    uint32_t pool_count;
    EbConfigBackendServer *servers;
    uint32_t server_count;
    EbConfigPipeline *pipelines;
    uint32_t pipeline_count;
    EbConfigCustomer *customers;
    uint32_t customer_count;
    EbConfigRoute *routes;
    uint32_t route_count;
    EbConfigOperator *operators;
    uint32_t operator_count;
    EbConfigLimits limits;
    json_t *merged;   /* merged JSON of the site */
    json_t *document; /* the whole document */
} EbConfig;

/* The field table. The first rows, up to "overlays", are the fields of the
 * document; the rest are those of the merged configuration. */
extern const EbSchemaField EbConfig_fields[];
extern const size_t EbConfig_field_count;

/* Parses and validates a configuration document for `site`.
 *
 * text, text_bytes: the JSON text, at most EB_CONFIG_MAX_BYTES bytes.
 * site: the site whose merged configuration is returned. For NULL, and for a
 *     site without an overlay, it is the base. The base and the merged results
 *     of all overlays are validated in any case.
 * file: name used in errors, or NULL.
 *
 * Returns a configuration with one reference, or NULL with `error` set to the
 * first error found. A syntax error has file, line and column. Any other error
 * has the JSON path, and line and column if the value is in the text. */
EbConfig *EbConfig_Parse(const char *text, size_t text_bytes, const char *site,
                         const char *file, EbError *error);

/* Applies the JSON merge patch `patch` to a copy of `target` (RFC 7396).
 * Neither argument is modified; the result shares unchanged values with
 * `target` and new ones with `patch`.
 *
 * Returns a new reference, or NULL when out of memory. */
json_t *EbConfig_Merge(const json_t *target, const json_t *patch);

/* Adds a reference and returns `config`. */
EbConfig *EbConfig_Ref(EbConfig *config);

/* Drops a reference and frees the configuration with the last one. Accepts
 * NULL. */
void EbConfig_Unref(EbConfig *config);

/* Look up an entry by its name or id. They return NULL when there is none; the
 * result is borrowed from the configuration. */
const EbConfigPipeline *EbConfig_FindPipeline(const EbConfig *config,
                                              const char *name);
const EbConfigCustomer *EbConfig_FindCustomer(const EbConfig *config,
                                              const char *id);
const EbConfigPool *EbConfig_FindPool(const EbConfig *config,
                                      const char *name);
const EbConfigBackendServer *EbConfig_FindServer(const EbConfig *config,
                                                 const char *id);
const EbConfigBackendServer *
EbConfig_FindServerByAddress(const EbConfig *config, const char *host,
                             uint16_t port);

/* Returns the customer that stands for all callers of pipelines without
 * tokens, or NULL if there is none. */
const EbConfigCustomer *EbConfig_AnonymousCustomer(const EbConfig *config);

/* Finds the customer with this bearer token. The token's digest is compared
 * with every configured digest in constant time, so that the time taken
 * reveals nothing about the match. Returns NULL for an unknown, empty or NULL
 * token. */
const EbConfigCustomer *EbConfig_FindCustomerByToken(const EbConfig *config,
                                                     const char *token);

/* Finds the pipeline that forwards requests for `host` and `path`: of those
 * whose path_prefix matches, the one with the longest. Returns NULL when there
 * is none. */
const EbConfigPipeline *EbConfig_FindForwardPipeline(const EbConfig *config,
                                                     const char *host,
                                                     const char *path);

/* Returns an empty configuration for a platform adapter to fill in. The caller
 * gets its only reference and drops it with EbConfig_Unref. `site` is copied.
 */
EbConfig *EbConfig_New(const char *site, uint64_t generation);

/* Returns the time in microseconds to allow for a batched call: that of a full
 * one and the wait for a free server, as in a burst. Work that is ordered by
 * due times from shorter ones is late when servers are busy. */
int64_t EbConfig_BatchCallTime(const EbConfigBatch *batch);

/* Returns the time in microseconds that a batched call takes at least. */
int64_t EbConfig_BatchCallMinTime(const EbConfigBatch *batch);

/* Computes the downstream times of a pipeline's preparations. Returns false if
 * some of them depend on each other in a cycle, so that none of these can
 * start. */
bool EbConfig_PlanForward(const EbConfig *config, EbConfigForward *forward);

/* Returns whether routes of different priority prepare at a pool with limited
 * memory for results, whose items are then done by urgency. */
bool EbConfig_PreparesByUrgency(const EbConfig *config, uint32_t pool_index);

/* Finds the operator with this bearer token, like
 * EbConfig_FindCustomerByToken. */
const EbConfigOperator *EbConfig_FindOperatorByToken(const EbConfig *config,
                                                     const char *token);

/* Returns whether a route allows the customer to use the pipeline. Both must
 * be entries of `config`. */
bool EbConfig_Allows(const EbConfig *config, const EbConfigCustomer *customer,
                     const EbConfigPipeline *pipeline);

/* Computes the digest (BLAKE2b-256) under which a bearer token is configured.
 */
void EbConfig_DigestToken(const char *token,
                          uint8_t digest[EB_TOKEN_DIGEST_BYTES]);

#endif
