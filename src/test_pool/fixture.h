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
    EbPace *pace;    /* of that pool */
    EbRandom random; /* used by the pool that Fixture_Open creates */
    const EbEvacuations *evacuations; /* NULL: none */
} Fixture;

/* Configures servers s0, s1, ..., which are assigned to the failure domains
 * d0, d1, ... in turn. */
void Fixture_Init(Fixture *fixture, uint32_t servers, uint32_t domains,
                  uint32_t subset, uint32_t capacity);

/* Creates the pool of a daemon in d0; the caller frees it. */
EbPool *Fixture_NewPool(const Fixture *fixture, const char *instance,
                        EbPoolPolicy policy, EbRandom *random);

/* Initialises the fixture and creates an adaptive pool of the daemon "i",
 * which Fixture_Close frees. */
EbPool *Fixture_Open(Fixture *fixture, uint32_t servers, uint32_t domains,
                     uint32_t subset, uint32_t capacity);

void Fixture_Close(Fixture *fixture, EbPool *pool);

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
    double mean_waiting; /* calls waiting at a server */
    double mean_running; /* calls running at a server */
} PoolSimulationResult;

/* Simulates daemons and servers in steps of 1 ms. Each server runs `capacity`
 * calls at once and queues the rest in order of arrival. Every answer carries
 * a load report. */
void SimulatePool(const PoolSimulationOptions *options, int64_t duration_us,
                  PoolSimulationResult *result);

#endif
