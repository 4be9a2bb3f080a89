/* Configurations and a simulated pool for the tests of EbPool. */
#ifndef EB_TEST_POOL_FIXTURE_H
#define EB_TEST_POOL_FIXTURE_H

#include "ebonyhollow/pool.h"

#define MAX_SERVERS 64
#define MAX_DAEMONS 8

typedef struct {
    EbConfig config;
    EbConfigPool pool;
    EbConfigBackendServer servers[MAX_SERVERS];
    uint32_t indexes[MAX_SERVERS];
    char ids[MAX_SERVERS][16];
    char domains[MAX_SERVERS][16];
    EbRandom random; /* of the pool that Fixture_Open creates */
} Fixture;

/* Servers s0, s1, ... in turn in the failure domains d0, d1, ... */
void Fixture_Init(Fixture *fixture, uint32_t servers, uint32_t domains,
                  uint32_t subset, uint32_t capacity);

EbPool *Fixture_NewPool(const Fixture *fixture, const char *instance,
                        EbPoolPolicy policy, EbRandom *random);

/* Fixture_Init and an adaptive pool of the daemon "i"; to be freed. */
EbPool *Fixture_Open(Fixture *fixture, uint32_t servers, uint32_t domains,
                     uint32_t subset, uint32_t capacity);

typedef struct {
    Fixture fixture;
    uint32_t daemons;
    EbPoolPolicy policy;
    double calls_per_ms; /* offered by each daemon */
    int64_t service_us[MAX_SERVERS];
    uint64_t seed;
} PoolSimulationOptions;

typedef struct {
    uint64_t calls[MAX_SERVERS];
    uint64_t ended;
    double mean_waiting; /* per server, waiting at the server */
    double mean_running; /* per server */
} PoolSimulationResult;

/* Runs daemons against servers that run `capacity` calls at once and queue
 * the rest first come, first served; steps of 1 ms. Every answer carries a
 * load report. */
void SimulatePool(const PoolSimulationOptions *options, int64_t duration_us,
                  PoolSimulationResult *result);

#endif
