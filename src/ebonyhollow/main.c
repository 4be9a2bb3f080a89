#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include <event2/event.h>

#include "command.h"
#include "ebonyhollow/config.h"
#include "http_client.h"

static void
sleep_ms(uint32_t ms)
{
    g_usleep((gulong)ms * 1000);
}

int
main(int argc, char **argv)
{
    EbInvocation invocation = {
        .in = stdin,
        .out = stdout,
        .err = stderr,
        .http_call = EbHttpClient_Call,
        .sleep_ms = sleep_ms,
        .now_us = g_get_monotonic_time,
        .base = event_base_new(),
    };
    if (invocation.base == NULL) {
        fputs("ebonyhollow: cannot create the event loop\n", stderr);
        return EB_EXIT_FAILED;
    }
    /* Without this, a daemon that closes the connection while a request is
     * being written would end the command without a message. */
    signal(SIGPIPE, SIG_IGN);
    int code = EbCommand_Main(argc, argv, &invocation);
    event_base_free(invocation.base);
    return code;
}
