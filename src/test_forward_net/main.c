/* Tests of the network code for forwarded requests: EbHttpReader,
 * EbEventSplitter, EbForwardClient and EbForwardServer. */
#include <signal.h>

#include <glib.h>

#include "forward_net.h"
#include "test_runner.h"

int
main(void)
{
    static const EbTestCase cases[] = {
        {"reader", test_reader},
        {"header limit", test_header_limit},
        {"endless bytes", test_endless_bytes},
        {"small chunks", test_small_chunks},
        {"event splitter", test_event_splitter},
        {"message trailers", test_message_trailers},
        {"message interim", test_message_interim},
        {"message status", test_message_status},
        {"message no body", test_message_no_body},
        {"message upgrade", test_message_upgrade},
        {"client responses", test_client_responses},
        {"client cut responses", test_client_cut_responses},
        {"client late copy", test_client_late_copy},
        {"client endless late body", test_client_endless_late_body},
        {"client endless stream", test_client_endless_stream},
        {"client endless bodies", test_client_endless_bodies},
        {"client announced bodies", test_client_announced_bodies},
        {"client endless events", test_client_endless_events},
        {"client connection limit", test_client_connection_limit},
        {"client refused", test_client_refused},
        {"client reset upload", test_client_reset_upload},
        {"client invalid message", test_client_invalid},
        {"client cancel", test_client_cancel},
        {"client timeout", test_client_timeout},
        {"release calls", test_release_calls},
        {"server rejects", test_server_rejects},
        {"server error responses", test_server_error_responses},
        {"server stream", test_server_stream},
        {"server no body", test_server_no_body},
        {"server stream head", test_server_stream_head},
        {"server pipelined", test_server_pipelined},
        {"server trailers", test_server_trailers},
        {"server unread answers", test_server_unread_answers},
        {"server limits", test_server_limits},
        {"server idle timeout", test_server_idle_timeout},
        {"server slow head", test_server_slow_head},
        {"server memory", test_server_memory},
        {"server connections", test_server_connections},
        {"server descriptors", test_server_descriptors},
        {"server descriptor limit", test_server_descriptor_limit},
        {"server caller gone", test_server_caller_gone},
        {"server drain", test_server_drain},
        {"server drain, requests that just arrived",
         test_server_drain_arrived},
        {"server slow reader", test_server_slow_reader},
    };
    signal(SIGPIPE, SIG_IGN); /* as in the daemon */
    return EbTest_Run("test_forward_net", cases, G_N_ELEMENTS(cases));
}
