/* EbDaemon: one ebonyhollowd process.
 *
 * Owns every module, all connections and the event loop, which runs on one
 * thread. Translates socket activity into events for the modules that decide,
 * and their actions into socket operations. */
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
    EB_EXIT_FAILURE,   /* the daemon could not start */
    EB_EXIT_USAGE,     /* wrong command line or settings */
    EB_EXIT_INCOMPLETE /* requests were ended before they were finished */
} EbExitStatus;

typedef struct EbDaemon EbDaemon;

/* Blocks SIGTERM, SIGINT and SIGHUP until EbDaemon_New has installed their
 * handlers. To be called first in main: otherwise a signal that arrives during
 * the start ends the process without a shutdown. */
void EbDaemon_BlockSignals(void);

/* Binds the listeners and starts every module. Ignores SIGPIPE in the whole
 * process.
 *
 * settings: must outlive the daemon. Only EbDaemonReload changes them.
 * adapter: translates the protocols of the deployment's platform and must
 *     outlive the daemon. NULL selects those of docs/protocols.md and
 *     docs/api.md.
 *
 * Returns a daemon to be freed with EbDaemon_Free, or NULL with `error` set
 * when something can't be started. */
EbDaemon *EbDaemon_New(const EbSettings *settings,
                       const EbPlatformAdapter *adapter, EbError *error);

/* How SIGHUP reads the settings again. */
typedef struct {
    EbSettings *settings; /* those of the daemon, to be changed */
    /* Returns the settings as they are now, to be freed with EbSettings_Free,
     * or NULL with `error` set. */
    EbSettings *(*load)(void *context, EbError *error);
    void *context;
} EbDaemonReload;

/* Makes SIGHUP read the settings again; otherwise it only writes a log line.
 * `reload` is copied. To be called before EbDaemon_Run. */
void EbDaemon_SetReload(EbDaemon *daemon, const EbDaemonReload *reload);

/* Closes all connections immediately, without a graceful shutdown, and frees
 * the daemon. Accepts NULL. */
void EbDaemon_Free(EbDaemon *daemon);

/* Serves until a graceful shutdown has ended. The first SIGTERM or SIGINT
 * starts the shutdown; a second one ends the requests that still run. Returns
 * the exit status of the process. */
EbExitStatus EbDaemon_Run(EbDaemon *daemon);

/* Ports that the listeners are bound to; they differ from the settings when
 * these ask for any free port (0). */
uint16_t EbDaemon_CallerPort(const EbDaemon *daemon);
uint16_t EbDaemon_AdminPort(const EbDaemon *daemon);
uint16_t EbDaemon_PeerPort(const EbDaemon *daemon);

#endif
