/* Speeds of servers that the daemons of the in-memory network measure and pass
 * on to each other. Each daemon calls servers chosen at random; a server has
 * one of two piece intervals. */
#ifndef EB_TEST_SPEEDS_H
#define EB_TEST_SPEEDS_H

#include <stdint.h>

#include "network.h"

/* Begins with daemons that know no speed.
 *
 * calls_per_s: of each daemon */
void Speeds_Start(uint32_t server_count, double calls_per_s, uint64_t seed);
void Speeds_Stop(void);

/* Runs the network. Calls end and reports are sent meanwhile. */
void Speeds_Run(int64_t time_us);

/* Makes a server twice as fast, shown by one call of one daemon. */
void Speeds_Change(uint32_t daemon, uint32_t server);

/* Returns the share of pairs of daemon and server where the daemon knows the
 * server's piece interval to within a half. */
double Speeds_Known(void);

/* The same of one server. */
double Speeds_KnownOf(uint32_t server);

#endif
