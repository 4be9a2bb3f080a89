/* EbConfig: the configuration in force at one site.
 *
 * A configuration document is one JSON object
 *
 *     {"generation": N, "base": {...}, "overlays": {"<site>": {...}}}
 *
 * The overlay of a site is a JSON merge patch (RFC 7396) on the base. A
 * document is valid only if the merged result of every site is valid. The
 * parsed configuration is immutable and reference counted; requests keep the
 * one they started with. docs/configuration.md lists every field. */
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
/* Bounds of the entries: at least twice the design capacity of docs/design.md.
 * Every change is validated for all sites on the daemon's one thread, so that
 * sites times entries bounds how long it answers nothing else. */
#define EB_CONFIG_MAX_SITES 16
#define EB_CONFIG_MAX_POOLS 64
#define EB_CONFIG_MAX_SERVERS 4096
#define EB_CONFIG_MAX_PIPELINES 64
#define EB_CONFIG_MAX_CUSTOMERS 4096
#define EB_CONFIG_MAX_OPERATORS 1024
/* Sum of queue_max over the pools of a site: bounds what a daemon holds. */
#define EB_CONFIG_MAX_QUEUED 65536
#define EB_TOKEN_DIGEST_BYTES 32

typedef enum {
    EB_STAGE_ENCODE,
    EB_STAGE_RETRIEVE,
    EB_STAGE_RERANK,
    EB_STAGE_GENERATE,
    EB_STAGE_CALL,
    EB_STAGE_KIND_COUNT
} EbStageKind;

/* Wire names parallel to EbStageKind. */
extern const char *const EbStageKind_names[EB_STAGE_KIND_COUNT];

/* One backend server. */
typedef struct {
    char *id;
    char *host; /* IP address */
    uint16_t port;
    char *failure_domain;
    uint32_t pool_index;
    uint32_t capacity; /* calls that it runs at once */
} EbConfigBackendServer;

/* How a pool takes work items of several requests in one call. */
typedef struct {
    uint32_t max_items;           /* in a call; 0: the pool takes none */
    uint32_t max_calls;           /* running at one server at once */
    int64_t call_us;              /* time of a call without items */
    int64_t item_us;              /* and of each item, about */
    uint64_t result_memory_bytes; /* for the results that lie at one server */
    int64_t result_lifetime_us;   /* how long a result lasts */
} EbConfigBatch;

/* A pool of backend servers that answer the same kind of call. */
typedef struct {
    char *name;
    EbStageKind kind;
    uint32_t *server_indexes; /* into EbConfig.servers */
    uint32_t server_count;
    uint32_t subset_size; /* servers a daemon uses; 0 means all */
    uint32_t queue_max;   /* waiting attempts a daemon holds */
    bool checks_fencing;  /* refuses old fencing tokens */
    bool resumes_streams; /* generate only */
    char *outcome_path;   /* asks a service for a key; NULL when it can't */
    int64_t service_estimate_us; /* used until calls were measured */
    EbConfigBatch batch;         /* zero unless work items are sent to it */
    uint32_t max_connections;    /* that a server takes from all daemons; 0: no
                                    limit */
} EbConfigPool;

typedef struct {
    char *name;
    EbStageKind kind;
    uint32_t pool_index;
    bool idempotent;     /* false only for kind call */
    char *model;         /* generate; NULL otherwise */
    char *prompt;        /* generate: instruction put before the input */
    char *path;          /* call: request path */
    uint32_t top_k;      /* retrieve, rerank */
    uint32_t max_tokens; /* generate */
    int64_t timeout_us;  /* whole call */
    int64_t first_token_timeout_us; /* generate */
    int64_t token_gap_timeout_us;   /* generate */
} EbConfigStage;

/* A share of a forwarded route's requests. */
typedef struct {
    uint32_t pool_index;
    uint32_t weight;
} EbConfigSplit;

/* A stage whose results a forwarded request needs before it can run. */
typedef struct {
    uint32_t pool_index;
    uint32_t after; /* bit i: needs the results of preparation i */
    uint64_t result_bytes;
    int64_t downstream_us; /* expected time of the preparations after it */
} EbConfigPreparation;

/* What a pipeline that forwards requests has beside its one stage. */
typedef struct {
    char *host;        /* lower case */
    char *path_prefix; /* begins and ends with a slash */
    bool anonymous;    /* callers need no token */
    bool resumable;    /* a stream may go on at another server */
    uint8_t priority;  /* 0 is the most urgent */
    uint32_t max_attempts;
    int64_t latency_goal_us; /* answers within it are in time */
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

/* What a customer may use, across the daemons of all sites; the same at each
 * site. 0: no limit. */
typedef struct {
    uint32_t weight; /* share of a contended pool, at least 1 */
    uint64_t requests_per_s_milli;
    uint32_t burst_requests;
    uint32_t concurrent_requests;
    uint64_t tokens_per_s;
} EbContract;

typedef struct {
    char *id;
    uint8_t token_digest[EB_TOKEN_DIGEST_BYTES]; /* BLAKE2b-256 */
    /* Further tokens of the same customer. */
    uint8_t (*more_digests)[EB_TOKEN_DIGEST_BYTES];
    uint32_t more_digest_count;
    EbContract contract;
    int16_t priority; /* of its forwarded requests; -1: the route's */
} EbConfigCustomer;

/* Customer of requests on routes that need no token. */
#define EB_CUSTOMER_ANONYMOUS "anonymous"

/* Allows a customer, or all with customer_index EB_ROUTE_ANY, a pipeline. */
#define EB_ROUTE_ANY UINT32_MAX

typedef struct {
    uint32_t pipeline_index;
    uint32_t customer_index;
} EbConfigRoute;

typedef enum {
    EB_ROLE_VIEWER,
    EB_ROLE_OPERATOR,
    EB_ROLE_ADMIN,
    EB_ROLE_COUNT
} EbRole;

extern const char *const EbRole_names[EB_ROLE_COUNT];

/* An operator. A non-empty scope restricts changes to these pipelines and
 * customers. */
typedef struct {
    char *id;
    uint8_t token_digest[EB_TOKEN_DIGEST_BYTES];
    EbRole role;
    char **pipelines;
    uint32_t pipeline_count;
    char **customers;
    uint32_t customer_count;
} EbConfigOperator;

typedef struct EbConfig {
    uint32_t references; /* private */
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
    json_t *merged;   /* merged JSON of the site */
    json_t *document; /* the whole document */
} EbConfig;

/* The field table. The fields after "overlays" are those of the merged
 * configuration. */
extern const EbSchemaField EbConfig_fields[];
extern const size_t EbConfig_field_count;

/* Parses and validates a configuration document for `site`.
 *
 * text, text_bytes: the JSON text; more than EB_CONFIG_MAX_BYTES is refused.
 * site: site whose merged configuration is returned. A site without an
 *     overlay gets the base; NULL stands for one. The base and the merged
 *     result of every overlay are validated whatever the site.
 * file: name used in errors, or NULL.
 *
 * Returns a configuration with one reference, or NULL with `error` set to
 * the first fault: file, line and column for syntax, JSON path and, when
 * the text has the value, line and column otherwise. */
EbConfig *EbConfig_Parse(const char *text, size_t text_bytes, const char *site,
                         const char *file, EbError *error);

/* Merges `patch` into a copy of `target` as RFC 7396 says. Values that the
 * patch does not touch are shared with `target`; neither is modified.
 *
 * Returns a new reference, or NULL when out of memory. */
json_t *EbConfig_Merge(const json_t *target, const json_t *patch);

EbConfig *EbConfig_Ref(EbConfig *config);
void EbConfig_Unref(EbConfig *config);

/* Look-ups return NULL when there is no such entry. */
const EbConfigPipeline *EbConfig_FindPipeline(const EbConfig *config,
                                              const char *name);
const EbConfigCustomer *EbConfig_FindCustomer(const EbConfig *config,
                                              const char *id);
const EbConfigPool *EbConfig_FindPool(const EbConfig *config,
                                      const char *name);
const EbConfigBackendServer *EbConfig_FindServer(const EbConfig *config,
                                                 const char *id);

/* Finds the customer whose token has this digest. Every digest is compared in
 * constant time, so that the time taken tells nothing of the match. */
const EbConfigCustomer *EbConfig_FindCustomerByToken(const EbConfig *config,
                                                     const char *token);

/* Finds the pipeline that forwards requests to `host` with the longest prefix
 * of `path`. */
const EbConfigPipeline *EbConfig_FindForwardPipeline(const EbConfig *config,
                                                     const char *host,
                                                     const char *path);

/* Returns an empty configuration with one reference, to be filled by a
 * deployment's own reader. */
EbConfig *EbConfig_New(const char *site, uint64_t generation);

/* Expected time of a half full call of a pool, with the wait before it. */
int64_t EbConfig_BatchCallTime(const EbConfigBatch *batch);

/* Fills in EbConfigPreparation.downstream_us. */
void EbConfig_PlanPreparations(EbConfig *config);

/* Finds the operator with this bearer token, as above. */
const EbConfigOperator *EbConfig_FindOperatorByToken(const EbConfig *config,
                                                     const char *token);

/* Returns whether a route binds the customer to the pipeline. */
bool EbConfig_Allows(const EbConfig *config, const EbConfigCustomer *customer,
                     const EbConfigPipeline *pipeline);

/* Writes the digest under which a bearer token is configured. */
void EbConfig_DigestToken(const char *token,
                          uint8_t digest[EB_TOKEN_DIGEST_BYTES]);

#endif
