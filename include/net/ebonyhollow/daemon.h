/* EbDaemon: one ebonyhollowd process.
 *
 * Owns every module, the connections and one event loop on one thread. Turns
 * socket activity into events for the decisions and their actions into socket
 * operations. */
#ifndef EBONYHOLLOW_DAEMON_H
#define EBONYHOLLOW_DAEMON_H

#include <stdint.h>

#include "ebonyhollow/error.h"
#include "ebonyhollow/platform_adapter.h"
#include "ebonyhollow/settings.h"

#define EB_DAEMON_VERSION "0.1.0"

/* Exit statuses of ebonyhollowd. */
typedef enum {
    EB_EXIT_OK,        /* every request was finished */
    EB_EXIT_FAILURE,   /* could not start */
    EB_EXIT_USAGE,     /* wrong command line or settings */
    EB_EXIT_INCOMPLETE /* requests were ended before they were finished */
} EbExitStatus;

typedef struct EbDaemon EbDaemon;

/* Binds the listeners and starts every module. `settings` must outlive the
 * daemon; `adapter` says what its platform speaks, NULL: docs/protocols.md.
 * Returns NULL with `error` set when something can't be started. */
EbDaemon *EbDaemon_New(const EbSettings *settings,
                       const EbPlatformAdapter *adapter, EbError *error);

/* Closes everything at once. */
void EbDaemon_Free(EbDaemon *daemon);

/* Serves until a graceful shutdown ends. SIGTERM and SIGINT start it, a
 * second signal ends its wait. Returns an exit status. */
EbExitStatus EbDaemon_Run(EbDaemon *daemon);

uint16_t EbDaemon_CallerPort(const EbDaemon *daemon);
uint16_t EbDaemon_AdminPort(const EbDaemon *daemon);
uint16_t EbDaemon_PeerPort(const EbDaemon *daemon);

#endif
